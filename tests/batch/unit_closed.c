/*
 * unit_closed.c - tests of start orders to a server that gets no new work any more.
 *
 * The engine runs alone with one server and one job; the test answers each action.
 */
#include <string.h>

#include "batch/engine.h"
#include "batch/unit.h"

#define TICK_MS 10

struct fixture {
    struct ms_engine *engine;
    struct ms_directory_entry entry;
    struct ms_stored_job job;
    int64_t now;
    uint32_t start_count;
    uint32_t stop_count;
};

static void
fixture_init(struct fixture *fixture)
{
    static struct ms_queue_rule queues[] = {
        {.name = "q0", .service = "service", .failures_max = 9}};
    static const struct ms_policy policy = {.version = 1, .queues = queues, .queue_count = 1};
    struct ms_engine_limits limits;
    memset(fixture, 0, sizeof(*fixture));
    ms_engine_limits_defaults(&limits);
    fixture->now = 1000;
    fixture->entry = (struct ms_directory_entry){.start_unix_ms = 5000,
                                                 .id = "one",
                                                 .address = "127.0.0.1:1",
                                                 .dc = "dc",
                                                 .service = "service",
                                                 .capacity = {64000, 64000, 8}};
    fixture->engine = ms_engine_new(&limits, 1, 0, fixture->now);
    ms_engine_set_policy(fixture->engine, &policy);
    ms_engine_update_server(fixture->engine, &fixture->entry, fixture->now);
    g_strlcpy(fixture->job.id, "job", sizeof(fixture->job.id));
    fixture->job.accepted = true;
    simple_spec(&fixture->job.spec, "job", "q0", 1, 1);
    ms_engine_add_job(fixture->engine, &fixture->job, fixture->now);
}

static void
fixture_clear(struct fixture *fixture)
{
    ms_engine_free(fixture->engine);
    ms_batch_spec_clear(&fixture->job.spec);
}

/*
 * The server answers stops, and renewals until the first start; the renewal after that is in flight
 * until the test ends.  What the server does with starts, nobody knows.
 */
static void
answer(void *opaque, const struct ms_engine_action *action)
{
    struct fixture *fixture = opaque;
    struct ms_server_report report = {.start_unix_ms = fixture->entry.start_unix_ms,
                                      .clock_ms = fixture->now};
    switch (action->kind) {
    case MS_ENGINE_RENEW_LEASE:
        if (fixture->start_count > 0) {
            break;
        }
        ms_engine_on_renewal_answer(fixture->engine, action, MS_ORDER_OK, &report, fixture->now,
                                    fixture->now);
        break;
    case MS_ENGINE_START:
        fixture->start_count++;
        ms_engine_on_order_answer(fixture->engine, action, MS_ORDER_NO_ANSWER, 0, fixture->now);
        break;
    case MS_ENGINE_STOP:
        fixture->stop_count++;
        ms_engine_on_order_answer(fixture->engine, action, MS_ORDER_OK, fixture->now, fixture->now);
        break;
    case MS_ENGINE_STORE:
        ms_engine_on_stored(fixture->engine, fixture->now);
        break;
    case MS_ENGINE_WITHDRAW:
    case MS_ENGINE_QUERY_ADVICE:
    case MS_ENGINE_STEP_DOWN:
        break;
    }
}

/* Ticks, and answers the actions that are queued then. */
static void
tick(struct fixture *fixture)
{
    fixture->now += TICK_MS;
    ms_engine_tick(fixture->engine, fixture->now, fixture->now);
    answer_queued_actions(fixture->engine, answer, fixture);
}

/* A start had no answer; from now on nothing may be ordered to start on the server. */
static void
expect_no_further_start(struct fixture *fixture)
{
    for (int i = 0; i < 100; i++) {
        tick(fixture);
    }
    ck_assert_uint_eq(fixture->start_count, 1);
    ck_assert_uint_gt(fixture->stop_count, 0);
}

static void
run_until_start(struct fixture *fixture)
{
    while (fixture->start_count == 0) {
        tick(fixture);
    }
}

/*
 * Guards against a task that starts on a draining server: a start without an answer was ordered
 * again, as the server counted as unresponsive rather than as draining.
 */
START_TEST(unanswered_start_is_not_repeated_on_a_draining_server)
{
    struct fixture fixture;
    fixture_init(&fixture);
    run_until_start(&fixture);
    fixture.entry.draining = true;
    fixture.entry.shutdown_in_ms = 8000;
    ms_engine_update_server(fixture.engine, &fixture.entry, fixture.now);
    expect_no_further_start(&fixture);
    fixture_clear(&fixture);
}
END_TEST

/* The same in a data centre that is out of service. */
START_TEST(unanswered_start_is_not_repeated_in_a_data_centre_that_is_out)
{
    struct fixture fixture;
    GHashTable *dcs = g_hash_table_new(g_str_hash, g_str_equal);
    fixture_init(&fixture);
    run_until_start(&fixture);
    g_hash_table_add(dcs, "dc");
    ms_engine_set_dcs_out(fixture.engine, dcs);
    expect_no_further_start(&fixture);
    fixture_clear(&fixture);
    g_hash_table_destroy(dcs);
}
END_TEST

TCase *
closed_cases(void)
{
    TCase *cases = tcase_create("closed");
    tcase_add_test(cases, unanswered_start_is_not_repeated_on_a_draining_server);
    tcase_add_test(cases, unanswered_start_is_not_repeated_in_a_data_centre_that_is_out);
    return cases;
}
