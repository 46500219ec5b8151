/*
 * unit_health.c - tests of quarantine: which failed runs count against a backend server.
 *
 * The engine runs alone with two servers; the test answers its orders and reports the ends
 * of runs.
 */
#include <string.h>

#include "batch/unit.h"
#include "batch/engine.h"

#define EPOCH 1
#define TICK_MS 10
#define PLACE_TIMEOUT_MS 2000
#define SERVER_COUNT 2
#define RUNS_MAX 8
#define SERVER_ACCELS 8
#define START_UNIX_MS 5000
#define FIRST_QUARANTINE_MS 4000 /* QUARANTINE_MS of src/batch/engine_health.c */

/* A run that the engine has ordered. */
struct started_run {
    char task[MS_TASK_NAME_MAX];
    char server[MS_NAME_MAX];
    uint32_t run;
    bool ended;
};

struct fixture {
    struct ms_engine *engine;
    int64_t now;
    struct started_run runs[RUNS_MAX]; /* in the order of their starts */
    size_t run_count;
    uint64_t end_count; /* ends reported, by all servers together */
    struct ms_stored_job jobs[RUNS_MAX];
    size_t job_count;
};

static const char *const server_ids[SERVER_COUNT] = {"one", "two"};

static const struct ms_policy *
one_queue_policy(void)
{
    static struct ms_queue_rule queues[] = {
        {.name = "q0", .service = "service", .failures_max = 9}};
    static const struct ms_policy policy = {.version = 1, .queues = queues, .queue_count = 1};
    return &policy;
}

/* The server of RENEWAL answers it with what runs there and, unless it is NULL, with END. */
static void
report_runs(struct fixture *fixture, const struct ms_engine_action *renewal,
            struct ms_reported_end *end)
{
    struct ms_reported_run running[RUNS_MAX];
    struct ms_server_report report = {.start_unix_ms = START_UNIX_MS,
                                      .clock_ms = fixture->now,
                                      .running = running,
                                      .ended = end,
                                      .ended_count = end != NULL};
    memset(running, 0, sizeof(running));
    for (size_t i = 0; i < fixture->run_count; i++) {
        const struct started_run *run = &fixture->runs[i];
        if (!run->ended && strcmp(run->server, renewal->server) == 0) {
            struct ms_reported_run *row = &running[report.running_count++];
            g_strlcpy(row->task, run->task, sizeof(row->task));
            row->run = run->run;
        }
    }
    ms_engine_on_renewal_answer(fixture->engine, renewal, MS_ORDER_OK, &report, fixture->now,
                                fixture->now);
}

/* Answers ACTION, which the engine has queued. */
static void
answer(void *opaque, const struct ms_engine_action *action)
{
    struct fixture *fixture = opaque;
    struct started_run *run = NULL;
    switch (action->kind) {
    case MS_ENGINE_RENEW_LEASE:
        report_runs(fixture, action, NULL);
        return;
    case MS_ENGINE_START:
        ck_assert_uint_lt(fixture->run_count, RUNS_MAX);
        run = &fixture->runs[fixture->run_count++];
        g_strlcpy(run->task, action->task, sizeof(run->task));
        g_strlcpy(run->server, action->server, sizeof(run->server));
        run->run = action->run;
        ms_engine_on_order_answer(fixture->engine, action, MS_ORDER_OK, fixture->now, fixture->now);
        return;
    case MS_ENGINE_STORE:
        ms_engine_on_stored(fixture->engine, fixture->now);
        return;
    default:
        ck_abort_msg("unexpected action");
    }
}

/* Advances the clock by one tick; each renewal due is answered once. */
static void
tick(struct fixture *fixture)
{
    fixture->now += TICK_MS;
    ms_engine_tick(fixture->engine, fixture->now, fixture->now);
    answer_queued_actions(fixture->engine, answer, fixture);
}

static void
fixture_init(struct fixture *fixture)
{
    struct ms_engine_limits limits;
    memset(fixture, 0, sizeof(*fixture));
    ms_engine_limits_defaults(&limits);
    fixture->now = 1000;
    fixture->engine = ms_engine_new(&limits, EPOCH, 0, fixture->now);
    ms_engine_set_policy(fixture->engine, one_queue_policy());
    for (size_t i = 0; i < SERVER_COUNT; i++) {
        struct ms_directory_entry entry = {.start_unix_ms = START_UNIX_MS,
                                           .capacity = {64000, 64000, SERVER_ACCELS},
                                           .label_count = 1};
        g_strlcpy(entry.id, server_ids[i], sizeof(entry.id));
        g_strlcpy(entry.labels[0], server_ids[i], sizeof(entry.labels[0]));
        g_strlcpy(entry.address, "127.0.0.1:1", sizeof(entry.address));
        g_strlcpy(entry.dc, "dc", sizeof(entry.dc));
        g_strlcpy(entry.service, "service", sizeof(entry.service));
        ms_engine_update_server(fixture->engine, &entry, fixture->now);
    }
    tick(fixture);
}

static void
fixture_clear(struct fixture *fixture)
{
    ms_engine_free(fixture->engine);
    for (size_t i = 0; i < fixture->job_count; i++) {
        ms_batch_spec_clear(&fixture->jobs[i].spec);
    }
}

/* Advances the clock until COUNT runs have been started in all. */
static void
wait_for_runs(struct fixture *fixture, size_t count)
{
    int64_t until = fixture->now + PLACE_TIMEOUT_MS;
    while (fixture->run_count < count && fixture->now < until) {
        tick(fixture);
    }
    ck_assert_uint_eq(fixture->run_count, count);
}

/*
 * Submits job ID, of COUNT tasks with ACCELS accelerators each, on servers with LABEL ("": any),
 * and waits for their starts.
 */
static void
start_job(struct fixture *fixture, const char *id, uint32_t count, int64_t accels,
          const char *label)
{
    struct ms_stored_job *job = &fixture->jobs[fixture->job_count++];
    g_strlcpy(job->id, id, sizeof(job->id));
    job->accepted = true;
    simple_spec(&job->spec, id, "q0", count, accels);
    job->spec.steps[0].gang = count > 1;
    g_strlcpy(job->spec.steps[0].label, label, sizeof(job->spec.steps[0].label));
    ms_engine_add_job(fixture->engine, job, fixture->now);
    wait_for_runs(fixture, fixture->run_count + count);
}

/* The server of run INDEX reports that it has ended as HOW says. */
static void
end_run(struct fixture *fixture, size_t index, enum ms_run_end how)
{
    struct started_run *run = &fixture->runs[index];
    struct ms_reported_end end = {.position = ++fixture->end_count, .run = run->run, .end = how};
    struct ms_engine_action renewal = {.kind = MS_ENGINE_RENEW_LEASE, .epoch = EPOCH};
    g_strlcpy(renewal.server, run->server, sizeof(renewal.server));
    g_strlcpy(end.task, run->task, sizeof(end.task));
    run->ended = true;
    report_runs(fixture, &renewal, &end);
}

/* Starts job ID on the server with LABEL, where its run fails; the job is cancelled then. */
static void
fail_job_on(struct fixture *fixture, const char *id, const char *label)
{
    start_job(fixture, id, 1, SERVER_ACCELS, label);
    end_run(fixture, fixture->run_count - 1, MS_RUN_END_FAILED);
    ms_engine_cancel_job(fixture->engine, id, fixture->now);
}

static uint32_t
usable_servers(const struct fixture *fixture)
{
    struct ms_engine_stats stats;
    ms_engine_stats(fixture->engine, &stats);
    return stats.servers_usable;
}

/* A server on which jobs fail one after the other must get no more of them for a while. */
START_TEST(server_is_quarantined_after_failures_of_two_jobs)
{
    struct fixture fixture;
    fixture_init(&fixture);
    fail_job_on(&fixture, "first", "two");
    ck_assert_uint_eq(usable_servers(&fixture), 2);
    fail_job_on(&fixture, "second", "two");
    ck_assert_uint_eq(usable_servers(&fixture), 1);
    fixture_clear(&fixture);
}
END_TEST

/* The end of a gang, reported by one server, was not counted as a success of the others. */
START_TEST(success_of_gang_counts_for_all_its_servers)
{
    struct fixture fixture;
    fixture_init(&fixture);
    fail_job_on(&fixture, "first", "two");
    start_job(&fixture, "gang", 2, SERVER_ACCELS, "");
    size_t on_one = strcmp(fixture.runs[1].server, "one") == 0 ? 1 : 2;
    ck_assert_str_eq(fixture.runs[on_one].server, "one");
    end_run(&fixture, on_one, MS_RUN_END_DONE);
    fixture.runs[1].ended = true;
    fixture.runs[2].ended = true;
    fail_job_on(&fixture, "second", "two");
    ck_assert_uint_eq(usable_servers(&fixture), 2);
    fixture_clear(&fixture);
}
END_TEST

/* Starts job ID, which fails on both servers, one after the other; it is cancelled then. */
static void
fail_job_on_both(struct fixture *fixture, const char *id)
{
    start_job(fixture, id, 1, SERVER_ACCELS, "");
    const struct started_run *first = &fixture->runs[fixture->run_count - 1];
    end_run(fixture, fixture->run_count - 1, MS_RUN_END_FAILED);
    wait_for_runs(fixture, fixture->run_count + 1);
    ck_assert_str_ne(fixture->runs[fixture->run_count - 1].server, first->server);
    end_run(fixture, fixture->run_count - 1, MS_RUN_END_FAILED);
    ms_engine_cancel_job(fixture->engine, id, fixture->now);
}

/* Two jobs that fail wherever they run excluded every server on which they were retried. */
START_TEST(jobs_that_fail_everywhere_do_not_exclude_all_servers)
{
    struct fixture fixture;
    fixture_init(&fixture);
    fail_job_on_both(&fixture, "first");
    fail_job_on_both(&fixture, "second");
    ck_assert_uint_ge(usable_servers(&fixture), 1);
    fixture_clear(&fixture);
}
END_TEST

/* Runs that failed during a quarantine doubled it, though they had started before it. */
START_TEST(quarantine_is_not_extended_by_runs_started_before_it)
{
    const uint32_t job_count = 6;
    struct fixture fixture;
    fixture_init(&fixture);
    for (uint32_t i = 0; i < job_count; i++) {
        char id[MS_JOB_ID_MAX];
        g_snprintf(id, sizeof(id), "job%u", i);
        start_job(&fixture, id, 1, 1, "two");
    }
    for (uint32_t i = 0; i < job_count; i++) {
        end_run(&fixture, i, MS_RUN_END_FAILED);
        ms_engine_cancel_job(fixture.engine, fixture.jobs[i].id, fixture.now);
    }
    ck_assert_uint_eq(usable_servers(&fixture), 1);
    for (int64_t until = fixture.now + FIRST_QUARANTINE_MS + 100; fixture.now < until;) {
        tick(&fixture);
    }
    ck_assert_uint_eq(usable_servers(&fixture), 2);
    fixture_clear(&fixture);
}
END_TEST

TCase *
health_cases(void)
{
    TCase *cases = tcase_create("health");
    tcase_add_test(cases, server_is_quarantined_after_failures_of_two_jobs);
    tcase_add_test(cases, success_of_gang_counts_for_all_its_servers);
    tcase_add_test(cases, jobs_that_fail_everywhere_do_not_exclude_all_servers);
    tcase_add_test(cases, quarantine_is_not_extended_by_runs_started_before_it);
    return cases;
}
