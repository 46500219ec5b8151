/*
 * unit_retention.c - tests of the removal of ended jobs from the log and the engine.
 */
#include <string.h>

#include "batch/engine.h"
#include "batch/unit.h"

#define RETENTION_MS 1000
#define UNIX_MS 1700000000000

/* A table with the accepted job "job" whose StateRecord has PHASE. */
static struct ms_job_table *
table_with_job(enum ms_phase phase)
{
    struct ms_job_table *table = ms_job_table_new();
    struct ms_stored_job *job = NULL;
    struct ms_batch_spec spec;
    size_t length = 0;
    /* StateRecord: phase = PHASE, begun = true */
    const uint8_t state[] = {0x08, (uint8_t)phase, 0x10, 0x01};
    simple_spec(&spec, "job", "q0", 2, 1);
    uint8_t *bytes = ms_batch_spec_pack(&spec, &length);
    ck_assert_int_eq(ms_job_table_apply(table, "j/job", bytes, length, &job), MS_CHANGED_ACCEPTED);
    ck_assert_int_eq(ms_job_table_apply(table, "s/job", state, sizeof(state), &job),
                     MS_CHANGED_STATE);
    g_free(bytes);
    ms_batch_spec_clear(&spec);
    return table;
}

/* The engine of a new leader (epoch 2) that has read the job from TABLE. */
static struct ms_engine *
new_engine_with_job(const struct ms_job_table *table)
{
    struct ms_engine_limits limits;
    ms_engine_limits_defaults(&limits);
    limits.ended_retention_ms = RETENTION_MS;
    struct ms_engine *engine = ms_engine_new(&limits, 2, 0, 0);
    ms_engine_add_job(engine, ms_job_table_find(table, "job"), 0);
    return engine;
}

/*
 * Runs the engine for MS from time FROM; returns how many keys it has removed from the log.
 * The removals are applied to TABLE unless it is NULL.  A job has three keys: its JobRecord,
 * its StateRecord and its cancellation.
 */
static uint32_t
count_removed_keys(struct ms_engine *engine, int64_t from, int64_t ms, struct ms_job_table *table)
{
    uint32_t removed = 0;
    for (int64_t now = from; now <= from + ms; now += 100) {
        struct ms_engine_action *action = NULL;
        ms_engine_tick(engine, now, UNIX_MS + now);
        while ((action = ms_engine_pop_action(engine)) != NULL) {
            for (guint i = 0; action->kind == MS_ENGINE_STORE && i < action->records->len; i++) {
                const struct ms_store_record *record = g_ptr_array_index(action->records, i);
                struct ms_stored_job *job = NULL;
                removed += record->value == NULL;
                if (record->value == NULL && table != NULL) {
                    ms_job_table_apply(table, record->key, NULL, 0, &job);
                }
            }
            bool stored = action->kind == MS_ENGINE_STORE;
            ms_engine_action_free(action);
            if (stored) {
                /* The table is updated before the store is confirmed. */
                ms_engine_tick(engine, now, UNIX_MS + now);
                ms_engine_on_stored(engine, now);
            }
        }
    }
    return removed;
}

/* A job that ended under an earlier leader must not stay in the log for ever. */
START_TEST(new_leader_removes_jobs_that_ended_before)
{
    struct ms_job_table *table = table_with_job(MS_PHASE_SUCCEEDED);
    struct ms_engine *engine = new_engine_with_job(table);
    ck_assert_uint_eq(count_removed_keys(engine, 0, RETENTION_MS - 200, NULL), 0);
    ck_assert_uint_eq(count_removed_keys(engine, RETENTION_MS, 2 * RETENTION_MS, NULL), 3);
    ms_engine_free(engine);
    ms_job_table_free(table);
}
END_TEST

/*
 * The host may read the removal of a job's records, and free the job's spec, before the
 * store is confirmed to the engine, which must not use the spec any more by then.
 */
START_TEST(removal_may_be_read_before_store_is_confirmed)
{
    struct ms_job_table *table = table_with_job(MS_PHASE_OPEN);
    struct ms_engine *engine = new_engine_with_job(table);
    ms_engine_cancel_job(engine, "job", 0);
    ck_assert_uint_eq(count_removed_keys(engine, 100, 2 * RETENTION_MS, table), 3);
    ck_assert_ptr_null(ms_job_table_find(table, "job"));
    struct ms_engine_stats stats;
    ms_engine_stats(engine, &stats);
    ck_assert_uint_eq(stats.jobs, 0);
    ms_engine_free(engine);
    ms_job_table_free(table);
}
END_TEST

TCase *
retention_cases(void)
{
    TCase *cases = tcase_create("ended jobs");
    tcase_add_test(cases, new_leader_removes_jobs_that_ended_before);
    tcase_add_test(cases, removal_may_be_read_before_store_is_confirmed);
    return cases;
}
