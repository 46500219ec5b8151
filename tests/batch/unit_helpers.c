/*
 * unit_helpers.c - functions that the tests of stored jobs share.
 */
#include <glib.h>
#include <string.h>

#include "batch/unit.h"

void
simple_spec(struct ms_batch_spec *spec, const char *id, const char *queue, uint32_t count,
            int64_t accels)
{
    memset(spec, 0, sizeof(*spec));
    g_strlcpy(spec->id, id, sizeof(spec->id));
    g_strlcpy(spec->queue, queue, sizeof(spec->queue));
    g_strlcpy(spec->account, "account", sizeof(spec->account));
    spec->payload = g_strdup("payload");
    spec->step_count = 1;
    spec->steps = g_new0(struct ms_step, 1);
    spec->steps[0].task_count = count;
    spec->steps[0].task_resources = (struct ms_resources){1000, 1000, accels};
    spec->steps[0].estimate_ms = 1500;
}

void
expect_phase(struct simulator *simulator, const char *id, enum ms_phase phase)
{
    ck_assert_str_eq(simulator_violation(simulator), "");
    ck_assert_int_eq(simulator_job_phase(simulator, id), phase);
}

void
answer_queued_actions(struct ms_engine *engine,
                      void (*answer)(void *opaque, const struct ms_engine_action *action),
                      void *opaque)
{
    GQueue actions = G_QUEUE_INIT;
    struct ms_engine_action *action = NULL;
    while ((action = ms_engine_pop_action(engine)) != NULL) {
        g_queue_push_tail(&actions, action);
    }
    while ((action = g_queue_pop_head(&actions)) != NULL) {
        answer(opaque, action);
        ms_engine_action_free(action);
    }
}
