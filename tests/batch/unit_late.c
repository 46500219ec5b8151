/*
 * unit_late.c - tests of a run that a backend server has begun late, after it was given up.
 *
 * The engine runs alone with two servers, modelled here.
 */
#include <string.h>

#include "batch/engine.h"
#include "batch/unit.h"

#define TICK_MS 10
#define STOPPED_MS 600 /* after which the late run has been stopped */
#define PLACED_MS 3000 /* by which the task runs elsewhere after that */
#define MEMBER_COUNT 2

struct fixture {
    struct ms_engine *engine;
    struct ms_stored_job job;
    int64_t now;
    bool late_run;        /* server "one" runs run 1 of the gang's first member */
    uint32_t lost_count;  /* runs that the engine gave up */
    uint32_t start_count; /* of run 2 */
    uint32_t early_count; /* of these: while the late run went on */
};

static void
list_server(const struct fixture *fixture, const char *id)
{
    struct ms_directory_entry entry = {.start_unix_ms = 5000,
                                       .address = "127.0.0.1:1",
                                       .dc = "dc",
                                       .service = "service",
                                       .clock_ms = fixture->now,
                                       .capacity = {64000, 64000, 8}};
    g_strlcpy(entry.id, id, sizeof(entry.id));
    ms_engine_update_server(fixture->engine, &entry, fixture->now);
}

static void
note_event(void *opaque, const char *text)
{
    struct fixture *fixture = opaque;
    fixture->lost_count += strstr(text, "event=run_lost") != NULL;
}

static void
fixture_init(struct fixture *fixture)
{
    static struct ms_queue_rule queues[] = {
        {.name = "q0", .service = "service", .failures_max = 9}};
    static const struct ms_policy policy = {.version = 1, .queues = queues, .queue_count = 1};
    struct ms_engine_limits limits;
    memset(fixture, 0, sizeof(*fixture));
    fixture->now = 1000000;
    ms_engine_limits_defaults(&limits);
    fixture->engine = ms_engine_new(&limits, 1, 0, fixture->now);
    ms_engine_set_policy(fixture->engine, &policy);
    ms_engine_set_log(fixture->engine, note_event, fixture);
    list_server(fixture, "one");
    g_strlcpy(fixture->job.id, "gang", sizeof(fixture->job.id));
    fixture->job.accepted = true;
    simple_spec(&fixture->job.spec, "gang", "q0", MEMBER_COUNT, 1);
    fixture->job.spec.steps[0].gang = true;
    ms_engine_add_job(fixture->engine, &fixture->job, fixture->now);
}

static void
fixture_clear(struct fixture *fixture)
{
    ms_engine_free(fixture->engine);
    ms_batch_spec_clear(&fixture->job.spec);
}

/* A report that lists the late run, if it goes on; run 1 is in none before, so that it is lost. */
static void
answer_renewal(struct fixture *fixture, const struct ms_engine_action *renewal)
{
    struct ms_reported_run running = {.task = "gang.0.0.0", .run = 1, .percent = 10};
    struct ms_server_report report = {
        .start_unix_ms = 5000, .clock_ms = fixture->now, .running = &running};
    report.running_count = fixture->late_run && strcmp(renewal->server, "one") == 0;
    ms_engine_on_renewal_answer(fixture->engine, renewal, MS_ORDER_OK, &report, fixture->now,
                                fixture->now);
}

static void
answer(void *opaque, const struct ms_engine_action *action)
{
    struct fixture *fixture = opaque;
    switch (action->kind) {
    case MS_ENGINE_RENEW_LEASE:
        answer_renewal(fixture, action);
        break;
    case MS_ENGINE_START:
        fixture->start_count += action->run == 2;
        fixture->early_count += action->run == 2 && fixture->late_run;
        /* fall through */
    case MS_ENGINE_STOP:
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

static void
tick(struct fixture *fixture)
{
    ms_engine_tick(fixture->engine, fixture->now, fixture->now);
    answer_queued_actions(fixture->engine, answer, fixture);
    fixture->now += TICK_MS;
}

static void
run(struct fixture *fixture, int64_t ms)
{
    for (int64_t until = fixture->now + ms; fixture->now < until;) {
        tick(fixture);
    }
}

/*
 * Guards against a second run beside a late one that the engine knows of: a server lists a member
 * of a gang, which was given up and waits, and is ordered to stop it, which takes a while.
 */
START_TEST(task_is_not_placed_while_a_late_run_of_it_is_being_stopped)
{
    struct fixture fixture;
    fixture_init(&fixture);
    while (fixture.lost_count == 0) {
        tick(&fixture);
    }
    fixture.late_run = true;
    ms_engine_unlist_server(fixture.engine, "one", fixture.now); /* a renewal is due */
    list_server(&fixture, "two");
    run(&fixture, STOPPED_MS);
    ck_assert_uint_eq(fixture.early_count, 0);
    fixture.late_run = false;
    run(&fixture, PLACED_MS);
    ck_assert_uint_eq(fixture.start_count, MEMBER_COUNT);
    fixture_clear(&fixture);
}
END_TEST

TCase *
late_cases(void)
{
    TCase *cases = tcase_create("late");
    tcase_add_test(cases, task_is_not_placed_while_a_late_run_of_it_is_being_stopped);
    return cases;
}
