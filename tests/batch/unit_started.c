/*
 * unit_started.c - tests of which jobs count as waiting, that is, as not started yet.
 *
 * The engine runs alone with one server and one job.  The test says what becomes of starts; the
 * table of stored jobs gets the states that the engine stores, as on every host.
 */
#include <string.h>

#include "batch/engine.h"
#include "batch/unit.h"

#define TICK_MS 10
#define VISIBLE_MS 2000 /* after which the number of waiting jobs has to be right */
#define ID "job"
#define TASK ID ".0.0.0"

struct fixture {
    struct ms_engine *engine;
    struct ms_job_table *table;
    uint64_t epoch;
    int64_t now;
    enum ms_order_result start_result;
    uint32_t start_count;
    uint32_t run;           /* number of the last run that was ordered */
    bool runs;              /* it runs on the server */
    bool done;              /* it has ended as done there */
    bool answers_renewals;  /* of the server */
    uint32_t states_stored; /* records */
};

static void
create_engine(struct fixture *fixture)
{
    static struct ms_queue_rule queues[] = {
        {.name = "q0", .service = "service", .failures_max = 9}};
    static const struct ms_policy policy = {.version = 1, .queues = queues, .queue_count = 1};
    const struct ms_directory_entry entry = {.start_unix_ms = 5000,
                                             .id = "one",
                                             .address = "127.0.0.1:1",
                                             .dc = "dc",
                                             .service = "service",
                                             .clock_ms = fixture->now,
                                             .capacity = {64000, 64000, 8}};
    struct ms_engine_limits limits;
    ms_engine_limits_defaults(&limits);
    fixture->engine = ms_engine_new(&limits, ++fixture->epoch, 0, fixture->now);
    ms_engine_set_policy(fixture->engine, &policy);
    ms_engine_update_server(fixture->engine, &entry, fixture->now);
    ms_engine_add_job(fixture->engine, ms_job_table_find(fixture->table, ID), fixture->now);
}

static void
fixture_init(struct fixture *fixture, enum ms_order_result start_result)
{
    struct ms_batch_spec spec;
    struct ms_stored_job *job = NULL;
    size_t length = 0;
    memset(fixture, 0, sizeof(*fixture));
    fixture->now = 1000;
    fixture->start_result = start_result;
    fixture->answers_renewals = true;
    fixture->table = ms_job_table_new();
    simple_spec(&spec, ID, "q0", 1, 1);
    uint8_t *bytes = ms_batch_spec_pack(&spec, &length);
    ms_job_table_apply(fixture->table, MS_KEY_JOB ID, bytes, length, &job);
    g_free(bytes);
    ms_batch_spec_clear(&spec);
    create_engine(fixture);
}

static void
fixture_clear(struct fixture *fixture)
{
    ms_engine_free(fixture->engine);
    ms_job_table_free(fixture->table);
}

static void
answer_renewal(struct fixture *fixture, const struct ms_engine_action *renewal)
{
    struct ms_reported_run running = {.task = TASK, .run = fixture->run};
    struct ms_reported_end ended = {
        .position = 1, .task = TASK, .run = fixture->run, .end = MS_RUN_END_DONE};
    struct ms_server_report report = {.start_unix_ms = 5000,
                                      .clock_ms = fixture->now,
                                      .running = &running,
                                      .running_count = fixture->runs,
                                      .ended = &ended,
                                      .ended_count = fixture->done};
    bool answers = fixture->answers_renewals;
    ms_engine_on_renewal_answer(fixture->engine, renewal,
                                answers ? MS_ORDER_OK : MS_ORDER_NO_ANSWER,
                                answers ? &report : NULL, fixture->now, fixture->now);
}

static void
apply_states(struct fixture *fixture, const struct ms_engine_action *store)
{
    for (guint i = 0; i < store->records->len; i++) {
        const struct ms_store_record *record = g_ptr_array_index(store->records, i);
        struct ms_stored_job *job = NULL;
        gsize length = 0;
        const uint8_t *value = g_bytes_get_data(record->value, &length);
        ms_job_table_apply(fixture->table, record->key, value, length, &job);
        fixture->states_stored++;
    }
    ms_engine_on_stored(fixture->engine, fixture->now);
}

static void
answer(void *opaque, const struct ms_engine_action *action)
{
    struct fixture *fixture = opaque;
    switch (action->kind) {
    case MS_ENGINE_START:
        fixture->start_count++;
        fixture->run = action->run;
        ms_engine_on_order_answer(fixture->engine, action, fixture->start_result, 0, fixture->now);
        break;
    case MS_ENGINE_STOP:
        ms_engine_on_order_answer(fixture->engine, action, MS_ORDER_OK, 0, fixture->now);
        break;
    case MS_ENGINE_RENEW_LEASE:
        answer_renewal(fixture, action);
        break;
    case MS_ENGINE_STORE:
        apply_states(fixture, action);
        break;
    case MS_ENGINE_WITHDRAW:
    case MS_ENGINE_QUERY_ADVICE:
    case MS_ENGINE_STEP_DOWN:
        break;
    }
}

static void
run(struct fixture *fixture, int64_t ms)
{
    for (int64_t until = fixture->now + ms; fixture->now < until;) {
        fixture->now += TICK_MS;
        ms_engine_tick(fixture->engine, fixture->now, fixture->now);
        answer_queued_actions(fixture->engine, answer, fixture);
    }
}

static void
run_until_start(struct fixture *fixture)
{
    for (int i = 0; i < 100 && fixture->start_count == 0; i++) {
        run(fixture, TICK_MS);
    }
    ck_assert_uint_gt(fixture->start_count, 0);
}

/* After VISIBLE_MS, and at each time in the next VISIBLE_MS, WAITING jobs are waiting. */
static void
expect_waiting(struct fixture *fixture, uint32_t waiting)
{
    run(fixture, VISIBLE_MS);
    for (int64_t ms = 0; ms < VISIBLE_MS; ms += TICK_MS) {
        run(fixture, TICK_MS);
        ck_assert_uint_eq(ms_job_table_count_waiting(fixture->table, "q0"), waiting);
    }
}

/* Guards against jobs that are not counted as waiting though each of their starts is refused. */
START_TEST(job_whose_starts_are_refused_is_waiting)
{
    struct fixture fixture;
    fixture_init(&fixture, MS_ORDER_UNAVAILABLE);
    expect_waiting(&fixture, 1);
    ck_assert_uint_gt(fixture.start_count, 1);
    fixture_clear(&fixture);
}
END_TEST

/* The same for a job whose start has no answer, whether the server answers renewals or not. */
START_TEST(job_whose_start_has_no_answer_is_waiting)
{
    struct fixture fixture;
    fixture_init(&fixture, MS_ORDER_NO_ANSWER);
    run_until_start(&fixture);
    fixture.answers_renewals = _i == 0;
    expect_waiting(&fixture, 1);
    fixture_clear(&fixture);
}
END_TEST

/* The same over a change of the leader, which learns from the server that no task has started. */
START_TEST(job_that_never_started_is_waiting_after_a_takeover)
{
    struct fixture fixture;
    fixture_init(&fixture, MS_ORDER_NO_ANSWER);
    run_until_start(&fixture);
    ms_engine_free(fixture.engine);
    fixture.start_result = MS_ORDER_UNAVAILABLE;
    create_engine(&fixture);
    expect_waiting(&fixture, 1);
    fixture_clear(&fixture);
}
END_TEST

/* A job is not waiting once its start is confirmed, nor later when its task waits again. */
START_TEST(job_that_has_started_is_not_waiting)
{
    struct fixture fixture;
    fixture_init(&fixture, MS_ORDER_OK);
    run_until_start(&fixture);
    fixture.runs = true;
    expect_waiting(&fixture, 0);
    ck_assert_uint_eq(fixture.states_stored, 2); /* its placement and its start */
    fixture.runs = false;                        /* the run is lost */
    fixture.start_result = MS_ORDER_UNAVAILABLE;
    expect_waiting(&fixture, 0);
    fixture_clear(&fixture);
}
END_TEST

/* The same if a report, of the run or of its end, confirms a start that had no answer. */
START_TEST(report_shows_that_a_job_has_started)
{
    struct fixture fixture;
    fixture_init(&fixture, MS_ORDER_NO_ANSWER);
    run_until_start(&fixture);
    fixture.runs = _i == 0;
    fixture.done = _i == 1;
    expect_waiting(&fixture, 0);
    fixture_clear(&fixture);
}
END_TEST

TCase *
started_cases(void)
{
    TCase *cases = tcase_create("started");
    tcase_add_test(cases, job_whose_starts_are_refused_is_waiting);
    tcase_add_loop_test(cases, job_whose_start_has_no_answer_is_waiting, 0, 2);
    tcase_add_test(cases, job_that_never_started_is_waiting_after_a_takeover);
    tcase_add_test(cases, job_that_has_started_is_not_waiting);
    tcase_add_loop_test(cases, report_shows_that_a_job_has_started, 0, 2);
    return cases;
}
