/*
 * unit.h - test cases of stored jobs, and the helpers that they share.
 */
#ifndef MS_TEST_BATCH_UNIT_H
#define MS_TEST_BATCH_UNIT_H

#include <check.h>

#include "batch/engine.h"
#include "batch/job_spec.h"
#include "batch/simulator.h"

/*
 * Fills SPEC with a job of account "account" that has one step of COUNT tasks with ACCELS
 * accelerators each.  The caller releases it with ms_batch_spec_clear().
 */
void simple_spec(struct ms_batch_spec *spec, const char *id, const char *queue, uint32_t count,
                 int64_t accels);

/* Asserts that no invariant was violated and that job ID is in PHASE. */
void expect_phase(struct simulator *simulator, const char *id, enum ms_phase phase);

/*
 * Passes each action that ENGINE has queued to ANSWER, with OPAQUE, and frees it.  Actions that the
 * answers lead to stay queued.
 */
void answer_queued_actions(struct ms_engine *engine,
                           void (*answer)(void *opaque, const struct ms_engine_action *action),
                           void *opaque);

TCase *engine_cases(void);
TCase *retention_cases(void);
TCase *advice_cases(void);
TCase *early_cancel_cases(void);
TCase *advice_pacing_cases(void);
TCase *log_cases(void);
TCase *placement_cases(void);
TCase *server_cases(void);
TCase *lease_cases(void);
TCase *health_cases(void);
TCase *speed_cases(void);
TCase *takeover_cases(void);
TCase *term_cases(void);
TCase *withheld_cases(void);
TCase *closed_cases(void);
TCase *restart_cases(void);
TCase *lost_answer_cases(void);
TCase *account_cases(void);
TCase *account_order_cases(void);
TCase *load_cases(void);
TCase *withdraw_cases(void);
TCase *attempts_cases(void);
TCase *started_cases(void);
TCase *fence_cases(void);
TCase *successor_cases(void);
TCase *late_cases(void);
TCase *late_copy_cases(void);
/* Tests of faults that are not mended yet, for open_faults.c. */
TCase *late_copy_open_cases(void);

#endif
