/*
 * unit_takeover.c - tests of a new leader that has not heard from all servers yet, as after
 * the loss of all entry hosts: servers that run tasks answer first, idle ones later.
 *
 * The engine runs alone with two servers; the test decides when each answers.
 */
#include <string.h>

#include "batch/engine.h"
#include "batch/unit.h"

#define TICK_MS 10
#define EPOCH 2 /* of the first leader */
#define ACCELS 8
#define SERVER_COUNT 2

struct fixture {
    struct ms_engine *engine;
    int64_t now;
    bool reachable[SERVER_COUNT];               /* the server answers */
    char tasks[SERVER_COUNT][MS_TASK_NAME_MAX]; /* the last task that was started there */
    uint32_t percent[SERVER_COUNT];             /* its progress */
    uint32_t starts[SERVER_COUNT];
    uint32_t stops;
    GBytes *state; /* the job's state, as stored last */
    struct ms_stored_job jobs[SERVER_COUNT];
};

static const char *const server_ids[SERVER_COUNT] = {"busy", "idle"};

static const struct ms_policy *
two_queue_policy(void)
{
    static struct ms_queue_rule queues[] = {
        {.name = "q0", .service = "service", .priority = 0, .failures_max = 9},
        {.name = "q1", .service = "service", .priority = 1, .failures_max = 9}};
    static const struct ms_policy policy = {.version = 1, .queues = queues, .queue_count = 2};
    return &policy;
}

static void
list_server(struct fixture *fixture, size_t index)
{
    struct ms_directory_entry entry = {.start_unix_ms = 5000, .clock_ms = fixture->now};
    entry.capacity = (struct ms_resources){64000, 64000, ACCELS};
    g_strlcpy(entry.id, server_ids[index], sizeof(entry.id));
    g_strlcpy(entry.address, "127.0.0.1:1", sizeof(entry.address));
    g_strlcpy(entry.dc, "dc", sizeof(entry.dc));
    g_strlcpy(entry.service, "service", sizeof(entry.service));
    ms_engine_update_server(fixture->engine, &entry, fixture->now);
}

/* A job of QUEUE whose one task needs all accelerators of a server is read from the log. */
static void
add_job(struct fixture *fixture, size_t index, const char *id, const char *queue)
{
    struct ms_stored_job *job = &fixture->jobs[index];
    g_strlcpy(job->id, id, sizeof(job->id));
    simple_spec(&job->spec, id, queue, 1, ACCELS);
    job->spec.steps[0].estimate_ms = 20000;
    job->accepted = true;
    ms_engine_add_job(fixture->engine, job, fixture->now);
}

static void
replace_state(struct fixture *fixture, GBytes *state)
{
    if (fixture->state != NULL) {
        g_bytes_unref(fixture->state);
    }
    fixture->state = state;
}

/* Keeps the last job state among the records of STORE. */
static void
keep_state(struct fixture *fixture, const struct ms_engine_action *store)
{
    for (guint i = 0; i < store->records->len; i++) {
        const struct ms_store_record *record = g_ptr_array_index(store->records, i);
        if (record->value != NULL) {
            replace_state(fixture, g_bytes_ref(record->value));
        }
    }
}

static void
answer(void *opaque, const struct ms_engine_action *action)
{
    struct fixture *fixture = opaque;
    size_t index = strcmp(action->server, server_ids[0]) == 0 ? 0 : 1;
    struct ms_reported_run run = {.run = 1};
    struct ms_server_report report = {.start_unix_ms = 5000, .clock_ms = fixture->now};
    switch (action->kind) {
    case MS_ENGINE_RENEW_LEASE:
        if (fixture->reachable[index]) {
            g_strlcpy(run.task, fixture->tasks[index], sizeof(run.task));
            run.percent = fixture->percent[index];
            report.running = &run;
            report.running_count = fixture->starts[index] > 0;
            ms_engine_on_renewal_answer(fixture->engine, action, MS_ORDER_OK, &report, fixture->now,
                                        fixture->now);
        }
        return; /* else its answer is still awaited */
    case MS_ENGINE_START:
        fixture->starts[index]++;
        g_strlcpy(fixture->tasks[index], action->task, sizeof(fixture->tasks[index]));
        break;
    case MS_ENGINE_STOP:
        fixture->stops++;
        break;
    case MS_ENGINE_STORE:
        keep_state(fixture, action);
        ms_engine_on_stored(fixture->engine, fixture->now);
        return;
    case MS_ENGINE_WITHDRAW:
    case MS_ENGINE_QUERY_ADVICE:
    case MS_ENGINE_STEP_DOWN:
        return;
    }
    ms_engine_on_order_answer(fixture->engine, action, MS_ORDER_OK, fixture->now, fixture->now);
}

static void
run(struct fixture *fixture, int64_t ms)
{
    int64_t until = fixture->now + ms;
    for (; fixture->now < until; fixture->now += TICK_MS) {
        ms_engine_tick(fixture->engine, fixture->now, fixture->now);
        answer_queued_actions(fixture->engine, answer, fixture);
    }
}

/* One server runs a task of a low priority, the other has not answered; urgent work waits. */
static void
fixture_init(struct fixture *fixture)
{
    struct ms_engine_limits limits;
    memset(fixture, 0, sizeof(*fixture));
    ms_engine_limits_defaults(&limits);
    fixture->now = 1000;
    fixture->engine = ms_engine_new(&limits, EPOCH, 0, fixture->now);
    ms_engine_set_policy(fixture->engine, two_queue_policy());
    fixture->reachable[0] = true;
    list_server(fixture, 0);
    list_server(fixture, 1);
    add_job(fixture, 0, "low", "q1");
    run(fixture, 200);
    ck_assert_uint_eq(fixture->starts[0], 1);
    add_job(fixture, 1, "urgent", "q0");
}

static void
fixture_clear(struct fixture *fixture)
{
    ms_engine_free(fixture->engine);
    replace_state(fixture, NULL);
    for (size_t i = 0; i < SERVER_COUNT; i++) {
        ms_batch_spec_clear(&fixture->jobs[i].spec);
    }
}

/*
 * Urgent work must not preempt other work while idle servers are about to answer: it would
 * stop runs although there is room for both.
 */
START_TEST(idle_servers_are_heard_before_work_is_preempted)
{
    struct fixture fixture;
    fixture_init(&fixture);
    run(&fixture, 500);
    ck_assert_uint_eq(fixture.stops, 0);
    fixture.reachable[1] = true;
    run(&fixture, 300); /* the renewal that awaited its answer is answered with the next entry */
    struct ms_engine_action renewal = {.kind = MS_ENGINE_RENEW_LEASE, .epoch = EPOCH};
    g_strlcpy(renewal.server, server_ids[1], sizeof(renewal.server));
    answer(&fixture, &renewal);
    run(&fixture, 300);
    ck_assert_uint_eq(fixture.stops, 0);
    ck_assert_uint_eq(fixture.starts[1], 1);
    fixture_clear(&fixture);
}
END_TEST

/* The wait is short: servers that do not answer may be gone, and urgent work cannot wait. */
START_TEST(preemption_does_not_wait_long_for_servers_that_do_not_answer)
{
    struct fixture fixture;
    fixture_init(&fixture);
    run(&fixture, 2000);
    ck_assert_uint_eq(fixture.stops, 1);
    fixture_clear(&fixture);
}
END_TEST

/* A new leader takes over, with the job's state from the log. */
static void
take_over(struct fixture *fixture)
{
    struct ms_engine_limits limits;
    ms_engine_free(fixture->engine);
    ms_engine_limits_defaults(&limits);
    fixture->engine = ms_engine_new(&limits, EPOCH + 1, fixture->now + 8000, fixture->now);
    ms_engine_set_policy(fixture->engine, two_queue_policy());
    list_server(fixture, 0);
    list_server(fixture, 1);
    fixture->jobs[0].state = fixture->state;
    ms_engine_add_job(fixture->engine, &fixture->jobs[0], fixture->now);
}

/*
 * What a run had done before the takeover is not progress since then.  It was counted so: a
 * run with 60 percent seemed to be several times as fast as its sibling with 5 percent, which
 * was stopped as the run of a slow server.
 */
START_TEST(progress_before_a_takeover_does_not_make_siblings_slow)
{
    struct fixture fixture;
    struct ms_engine_limits limits;
    memset(&fixture, 0, sizeof(fixture));
    ms_engine_limits_defaults(&limits);
    fixture.now = 1000;
    fixture.engine = ms_engine_new(&limits, EPOCH, 0, fixture.now);
    ms_engine_set_policy(fixture.engine, two_queue_policy());
    fixture.reachable[0] = fixture.reachable[1] = true;
    list_server(&fixture, 0);
    list_server(&fixture, 1);
    struct ms_stored_job *job = &fixture.jobs[0];
    g_strlcpy(job->id, "pair", sizeof(job->id));
    simple_spec(&job->spec, "pair", "q1", SERVER_COUNT, ACCELS);
    job->spec.steps[0].estimate_ms = 10000;
    job->accepted = true;
    ms_engine_add_job(fixture.engine, job, fixture.now);
    run(&fixture, 300);
    ck_assert_uint_eq(fixture.starts[0] + fixture.starts[1], SERVER_COUNT);
    fixture.percent[0] = 60;
    fixture.percent[1] = 5;
    take_over(&fixture);
    for (int i = 0; i < 20; i++) {
        run(&fixture, 200); /* both make 10 percent in a second */
        fixture.percent[0] += 2;
        fixture.percent[1] += 2;
    }
    ck_assert_uint_eq(fixture.stops, 0);
    fixture_clear(&fixture);
}
END_TEST

TCase *
takeover_cases(void)
{
    TCase *cases = tcase_create("takeover");
    tcase_add_test(cases, idle_servers_are_heard_before_work_is_preempted);
    tcase_add_test(cases, progress_before_a_takeover_does_not_make_siblings_slow);
    tcase_add_test(cases, preemption_does_not_wait_long_for_servers_that_do_not_answer);
    return cases;
}
