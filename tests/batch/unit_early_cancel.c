/*
 * unit_early_cancel.c - tests of cancellations that are stored before their job is.
 */
#include <string.h>

#include "batch/engine.h"
#include "batch/job_table.h"
#include "batch/unit.h"

#define JOB "00000000000000a1"

static const struct ms_early_cancel_scope own = {.queue = "q0", .account = "account"};

/* Applies the record of the early cancellation of JOB in SCOPE; returns what it has changed. */
static enum ms_table_change
apply_cancel(struct ms_job_table *table, const struct ms_early_cancel_scope *scope)
{
    char key[MS_EARLY_CANCEL_KEY_MAX];
    struct ms_stored_job *job = NULL;
    size_t length = 0;
    uint8_t *value = ms_early_cancel_pack(JOB, scope, &length);
    ck_assert(ms_early_cancel_key(JOB, scope, key));
    char *record_key = g_strconcat(MS_KEY_EARLY_CANCEL, key, NULL);
    enum ms_table_change change = ms_job_table_apply(table, record_key, value, length, &job);
    g_free(record_key);
    g_free(value);
    return change;
}

/* Removes the same from the log. */
static void
remove_cancel(struct ms_job_table *table, const struct ms_early_cancel_scope *scope)
{
    char key[MS_EARLY_CANCEL_KEY_MAX];
    struct ms_stored_job *job = NULL;
    ck_assert(ms_early_cancel_key(JOB, scope, key));
    char *record_key = g_strconcat(MS_KEY_EARLY_CANCEL, key, NULL);
    ms_job_table_apply(table, record_key, NULL, 0, &job);
    g_free(record_key);
}

/* Applies the record of JOB, of account "account" in queue "q0". */
static enum ms_table_change
apply_job(struct ms_job_table *table)
{
    struct ms_batch_spec spec;
    struct ms_stored_job *job = NULL;
    size_t length = 0;
    simple_spec(&spec, JOB, "q0", 1, 1);
    uint8_t *value = ms_batch_spec_pack(&spec, &length);
    enum ms_table_change change = ms_job_table_apply(table, MS_KEY_JOB JOB, value, length, &job);
    g_free(value);
    ms_batch_spec_clear(&spec);
    return change;
}

static enum ms_phase
phase_of_job(const struct ms_job_table *table)
{
    const struct ms_stored_job *job = ms_job_table_find(table, JOB);
    ck_assert_ptr_nonnull(job);
    return ms_stored_job_phase(job);
}

/* Guards against a job that runs though its cancellation was acknowledged before (review/13). */
START_TEST(job_accepted_after_its_cancellation_is_cancelled)
{
    struct ms_job_table *table = ms_job_table_new();
    ck_assert_int_eq(apply_cancel(table, &own), MS_CHANGED_EARLY_CANCEL);
    ck_assert_ptr_null(ms_job_table_find(table, JOB)); /* nobody has submitted it: not shown */
    ck_assert_int_eq(apply_job(table), MS_CHANGED_ACCEPTED);
    ck_assert_int_eq(phase_of_job(table), MS_PHASE_CANCELLED);
    ck_assert_uint_eq(ms_job_table_count_waiting(table, "q0"), 0);
    ms_job_table_free(table);
}
END_TEST

/* The same if the job was accepted just before, unseen by the host that was asked. */
START_TEST(job_accepted_just_before_its_early_cancellation_is_cancelled)
{
    struct ms_job_table *table = ms_job_table_new();
    ck_assert_int_eq(apply_job(table), MS_CHANGED_ACCEPTED);
    ck_assert_int_eq(apply_cancel(table, &own), MS_CHANGED_CANCELLED);
    ck_assert_int_eq(phase_of_job(table), MS_PHASE_CANCELLED);
    ms_job_table_free(table);
}
END_TEST

/* Guards against a cancellation that keeps out the job of another account, or of another queue. */
START_TEST(early_cancellation_applies_to_its_own_account_and_queue_only)
{
    static const struct ms_early_cancel_scope others[] = {
        {.queue = "q0", .account = "other"},
        {.queue = "q0", .account = ""},
        {.queue = "q1", .account = "account"},
        {.queue = "q1", .account = "", .any_account = true}};
    struct ms_job_table *table = ms_job_table_new();
    for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
        apply_cancel(table, &others[i]);
    }
    apply_job(table);
    ck_assert_int_eq(phase_of_job(table), MS_PHASE_OPEN);
    apply_cancel(table, &own); /* the others have not replaced it */
    ck_assert_int_eq(phase_of_job(table), MS_PHASE_CANCELLED);
    ms_job_table_free(table);
}
END_TEST

/* A queue that is open to callers without a key lets each of them cancel each job in it. */
START_TEST(early_cancellation_in_an_open_queue_applies_to_any_account)
{
    static const struct ms_early_cancel_scope scope = {
        .queue = "q0", .account = "", .any_account = true};
    struct ms_job_table *table = ms_job_table_new();
    apply_cancel(table, &scope);
    apply_job(table);
    ck_assert_int_eq(phase_of_job(table), MS_PHASE_CANCELLED);
    ms_job_table_free(table);
}
END_TEST

/* Guards against a cancellation that is lost with a snapshot, or kept though it was removed. */
START_TEST(early_cancellation_lives_as_long_as_its_record)
{
    struct ms_job_table *table = ms_job_table_new();
    apply_cancel(table, &own);
    ms_job_table_begin_snapshot(table);
    apply_cancel(table, &own);
    ms_job_table_end_snapshot(table);
    ck_assert_uint_eq(ms_early_cancels_count(table->early_cancels, "account"), 1);
    ms_job_table_begin_snapshot(table);
    ms_job_table_end_snapshot(table);
    ck_assert_uint_eq(ms_early_cancels_count(table->early_cancels, "account"), 0);
    apply_cancel(table, &own);
    remove_cancel(table, &own);
    apply_job(table);
    ck_assert_int_eq(phase_of_job(table), MS_PHASE_OPEN);
    ms_job_table_free(table);
}
END_TEST

/* Old items are found by when they were read first; a second read does not renew them. */
START_TEST(early_cancellations_are_found_by_age)
{
    char key[MS_EARLY_CANCEL_KEY_MAX];
    struct ms_job_table *table = ms_job_table_new();
    GPtrArray *found = g_ptr_array_new();
    apply_cancel(table, &own);
    ck_assert(ms_early_cancel_key(JOB, &own, key));
    ms_early_cancels_note_read(table->early_cancels, key, 1000);
    ms_early_cancels_note_read(table->early_cancels, key, 9000);
    ms_early_cancels_find_old(table->early_cancels, 1000, found);
    ck_assert_uint_eq(found->len, 0);
    ms_early_cancels_find_old(table->early_cancels, 1001, found);
    ck_assert_uint_eq(found->len, 1);
    g_ptr_array_unref(found);
    ms_job_table_free(table);
}
END_TEST

/* An id that no job can have has no key; a record that does not fit is reported. */
START_TEST(odd_early_cancellations_are_refused)
{
    char key[MS_EARLY_CANCEL_KEY_MAX];
    char id[MS_JOB_ID_MAX + 1];
    static const uint8_t garbage[] = {0xff, 0xff, 0xff};
    struct ms_stored_job *job = NULL;
    struct ms_job_table *table = ms_job_table_new();
    memset(id, 'a', MS_JOB_ID_MAX);
    id[MS_JOB_ID_MAX] = '\0';
    ck_assert(!ms_early_cancel_key(id, &own, key));
    id[MS_JOB_ID_MAX - 1] = '\0';
    ck_assert(ms_early_cancel_key(id, &own, key));
    ck_assert_int_eq(
        ms_job_table_apply(table, MS_KEY_EARLY_CANCEL "x/1", garbage, sizeof(garbage), &job),
        MS_CHANGED_UNREADABLE);
    ms_job_table_free(table);
}
END_TEST

/*
 * Guards against a job that runs once its early cancellation was removed from the log: the leader
 * stores that it is cancelled, as a host that starts later reads the job without the cancellation.
 */
START_TEST(leader_stores_that_a_job_was_cancelled_early)
{
    struct ms_engine_limits limits;
    struct ms_engine_action *action = NULL;
    struct ms_stored_job stored = {.id = JOB, .accepted = true, .cancelled = true};
    struct ms_job_table *table = ms_job_table_new();
    simple_spec(&stored.spec, JOB, "q0", 1, 1);
    ms_engine_limits_defaults(&limits);
    struct ms_engine *engine = ms_engine_new(&limits, 1, 0, 1000);
    ms_engine_add_job(engine, &stored, 1000);
    apply_job(table);
    for (int64_t now = 1000; now < 3000; now += 20) {
        ms_engine_tick(engine, now, now);
        while ((action = ms_engine_pop_action(engine)) != NULL) {
            ck_assert_int_eq(action->kind, MS_ENGINE_STORE);
            const struct ms_store_record *record = g_ptr_array_index(action->records, 0);
            gsize length = 0;
            const uint8_t *data = g_bytes_get_data(record->value, &length);
            struct ms_stored_job *job = NULL;
            ms_job_table_apply(table, record->key, data, length, &job);
            ms_engine_on_stored(engine, now);
            ms_engine_action_free(action);
        }
    }
    ck_assert_int_eq(phase_of_job(table), MS_PHASE_CANCELLED);
    ms_engine_free(engine);
    ms_batch_spec_clear(&stored.spec);
    ms_job_table_free(table);
}
END_TEST

TCase *
early_cancel_cases(void)
{
    TCase *cases = tcase_create("early cancel");
    tcase_add_test(cases, job_accepted_after_its_cancellation_is_cancelled);
    tcase_add_test(cases, job_accepted_just_before_its_early_cancellation_is_cancelled);
    tcase_add_test(cases, early_cancellation_applies_to_its_own_account_and_queue_only);
    tcase_add_test(cases, early_cancellation_in_an_open_queue_applies_to_any_account);
    tcase_add_test(cases, early_cancellation_lives_as_long_as_its_record);
    tcase_add_test(cases, early_cancellations_are_found_by_age);
    tcase_add_test(cases, odd_early_cancellations_are_refused);
    tcase_add_test(cases, leader_stores_that_a_job_was_cancelled_early);
    return cases;
}
