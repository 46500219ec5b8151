/*
 * engine_cap.h - the caps of accounts in a placement pass.
 *
 * A unit that fits under its account's cap is placed as if there were none.  Another one
 * waits; it takes no capacity of servers, neither free nor reserved, and preempts nothing of
 * other accounts.  Only a unit within its guarantee does, once stops that are ordered make room
 * for it.  A unit is granted room under the cap, so that later units of its account cannot
 * take it, at the first of these levels:
 *
 *     releasing   it fits once tasks of its account that are being stopped have ended
 *     preempt     it fits if tasks of its account with a lower priority are stopped
 *     reserve     it has waited for a while
 */
#ifndef MS_BATCH_ENGINE_CAP_H
#define MS_BATCH_ENGINE_CAP_H

#include "batch/engine_placement.h"

#define MS_NO_PREEMPTION (-1) /* cost limit of a unit that may not preempt yet */

/* Resets the per-pass fields of all accounts; call before servers are collected. */
void ms_cap_begin_pass(struct ms_placement_pass *pass);

/* Updates the counts of each account and frees what the pass has collected. */
void ms_cap_end_pass(struct ms_placement_pass *pass, const GPtrArray *steps);

/* How many of UNIT's tasks its account's cap allows to start now; all or none of a gang. */
uint32_t ms_cap_max_tasks(const struct ms_unit *unit);

/* Reserves room under the cap for the current unit, for which capacity of servers is reserved. */
void ms_cap_reserve(const struct ms_placement_pass *pass);

/*
 * The current unit has waited for WAITED_MS and does not fit under its account's cap: tries the
 * levels above and sets the pass's outcomes.  It may preempt tasks of its account at a cost of up
 * to COST_MAX core-seconds.  Returns for how many of its tasks ordered stops make room.
 */
uint32_t ms_cap_wait(struct ms_placement_pass *pass, int64_t waited_ms, int64_t cost_max);

#endif
