/*
 * unit_attempts.c - tests of how often work is tried: which failed runs count, and when the limit
 * of its queue applies.
 *
 * The engine runs alone with servers that have room for one member each, or for all.  The test
 * decides how the current run ends on each of them, and when a server reports it.
 */
#include <string.h>

#include "batch/engine.h"
#include "batch/unit.h"

#define TICK_MS 10
#define PLACE_MS 1000       /* in which a gang is placed and started */
#define LEASE_OVER_MS 15000 /* after which the run of a server that is gone has been given up */
#define FAILURES_MAX 2
#define LEASE_MAX_MS 10000

enum { SERVER_COUNT = 4, GANG_TASKS = 2 };

struct model_run {
    char task[MS_TASK_NAME_MAX];
    uint32_t run;
    bool failed;   /* has ended as failed, and not running */
    bool released; /* the server reports the end */
};

struct model_server {
    struct ms_directory_entry entry;
    struct model_run runs[GANG_TASKS * FAILURES_MAX * 4];
    size_t run_count;
    bool silent;
};

struct fixture {
    struct ms_engine *engine;
    struct ms_stored_job job;
    GBytes *state;
    struct model_server servers[SERVER_COUNT];
    int64_t now;
    uint64_t epoch;
    uint32_t last_run;
    bool job_failed;
    bool run_given_up;
};

static void
note_event(void *opaque, const char *text)
{
    struct fixture *fixture = opaque;
    fixture->job_failed |= strstr(text, "event=job_end id=job outcome=failed") != NULL;
    fixture->run_given_up |= strstr(text, "event=run_lost") != NULL;
}

/* Sets a policy with the job's queue, if HAS_QUEUE, whose tasks may fail FAILURES_MAX times. */
static void
set_policy(struct fixture *fixture, bool has_queue, uint32_t failures_max)
{
    static struct ms_queue_rule queues[] = {{.name = "q0", .service = "service"}};
    static struct ms_policy policy = {.queues = queues};
    policy.version++;
    policy.queue_count = has_queue;
    queues[0].failures_max = failures_max;
    ms_engine_set_policy(fixture->engine, &policy);
}

static void
create_engine(struct fixture *fixture)
{
    struct ms_engine_limits limits;
    ms_engine_limits_defaults(&limits);
    fixture->epoch++;
    int64_t earlier_leases_until = fixture->epoch > 1 ? fixture->now + LEASE_MAX_MS : 0;
    fixture->engine = ms_engine_new(&limits, fixture->epoch, earlier_leases_until, fixture->now);
    set_policy(fixture, true, FAILURES_MAX);
    ms_engine_set_log(fixture->engine, note_event, fixture);
    for (size_t i = 0; i < SERVER_COUNT; i++) {
        ms_engine_update_server(fixture->engine, &fixture->servers[i].entry, fixture->now);
    }
    fixture->job.state = fixture->state;
    ms_engine_add_job(fixture->engine, &fixture->job, fixture->now);
}

/* A gang of GANG_TASKS tasks with ACCELS accelerators each, of 8 that a server has. */
static void
fixture_init(struct fixture *fixture, int64_t accels)
{
    memset(fixture, 0, sizeof(*fixture));
    fixture->now = 1000;
    for (size_t i = 0; i < SERVER_COUNT; i++) {
        struct ms_directory_entry *entry = &fixture->servers[i].entry;
        *entry = (struct ms_directory_entry){.start_unix_ms = 5000,
                                             .address = "127.0.0.1:1",
                                             .dc = "dc",
                                             .service = "service",
                                             .clock_ms = fixture->now,
                                             .capacity = {64000, 64000, 8}};
        g_snprintf(entry->id, sizeof(entry->id), "s%zu", i);
    }
    g_strlcpy(fixture->job.id, "job", sizeof(fixture->job.id));
    fixture->job.accepted = true;
    simple_spec(&fixture->job.spec, "job", "q0", GANG_TASKS, accels);
    fixture->job.spec.steps[0].gang = true;
    create_engine(fixture);
}

static void
fixture_clear(struct fixture *fixture)
{
    ms_engine_free(fixture->engine);
    ms_batch_spec_clear(&fixture->job.spec);
    if (fixture->state != NULL) {
        g_bytes_unref(fixture->state);
    }
}

static struct model_server *
find_server(struct fixture *fixture, const char *id)
{
    for (size_t i = 0; i < SERVER_COUNT; i++) {
        if (strcmp(fixture->servers[i].entry.id, id) == 0) {
            return &fixture->servers[i];
        }
    }
    ck_abort_msg("no server %s", id);
    return NULL;
}

static void
start_run(struct fixture *fixture, const struct ms_engine_action *order)
{
    struct model_server *server = find_server(fixture, order->server);
    ck_assert_uint_lt(server->run_count, G_N_ELEMENTS(server->runs));
    struct model_run *run = &server->runs[server->run_count++];
    g_strlcpy(run->task, order->task, sizeof(run->task));
    run->run = order->run;
    fixture->last_run = MAX(fixture->last_run, order->run);
}

/* Answers RENEWAL with the runs of its server, and with the ends that it reports. */
static void
answer_renewal(struct fixture *fixture, const struct ms_engine_action *renewal)
{
    struct model_server *server = find_server(fixture, renewal->server);
    struct ms_reported_run running[G_N_ELEMENTS(server->runs)] = {0};
    struct ms_reported_end ended[G_N_ELEMENTS(server->runs)] = {0};
    struct ms_server_report report = {
        .start_unix_ms = 5000, .clock_ms = fixture->now, .running = running, .ended = ended};
    for (size_t i = 0; i < server->run_count; i++) {
        const struct model_run *run = &server->runs[i];
        if (run->failed && run->released) {
            struct ms_reported_end *end = &ended[report.ended_count++];
            end->position = report.ended_count;
            end->run = run->run;
            end->end = MS_RUN_END_FAILED;
            g_strlcpy(end->task, run->task, sizeof(end->task));
        }
        else {
            struct ms_reported_run *row = &running[report.running_count++];
            row->run = run->run;
            g_strlcpy(row->task, run->task, sizeof(row->task));
        }
    }
    enum ms_order_result result = server->silent ? MS_ORDER_NO_ANSWER : MS_ORDER_OK;
    ms_engine_on_renewal_answer(fixture->engine, renewal, result, server->silent ? NULL : &report,
                                fixture->now, fixture->now);
}

static void
keep_state(struct fixture *fixture, const struct ms_engine_action *store)
{
    for (guint i = 0; i < store->records->len; i++) {
        const struct ms_store_record *record = g_ptr_array_index(store->records, i);
        if (record->value != NULL) {
            if (fixture->state != NULL) {
                g_bytes_unref(fixture->state);
            }
            fixture->state = g_bytes_ref(record->value);
        }
    }
    ms_engine_on_stored(fixture->engine, fixture->now);
}

static void
answer(void *opaque, const struct ms_engine_action *action)
{
    struct fixture *fixture = opaque;
    switch (action->kind) {
    case MS_ENGINE_START:
        start_run(fixture, action);
        /* fall through */
    case MS_ENGINE_STOP:
        ms_engine_on_order_answer(fixture->engine, action, MS_ORDER_OK, fixture->now, fixture->now);
        break;
    case MS_ENGINE_RENEW_LEASE:
        answer_renewal(fixture, action);
        break;
    case MS_ENGINE_STORE:
        keep_state(fixture, action);
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

/* The server that has member INDEX of run RUN of the gang. */
static struct model_server *
server_of_member(struct fixture *fixture, uint32_t run, uint32_t index, struct model_run **found)
{
    char *name = g_strdup_printf("job.0.0.%u", index);
    struct model_server *server = NULL;
    for (size_t i = 0; i < SERVER_COUNT; i++) {
        for (size_t k = 0; k < fixture->servers[i].run_count; k++) {
            struct model_run *candidate = &fixture->servers[i].runs[k];
            if (candidate->run == run && strcmp(candidate->task, name) == 0) {
                server = &fixture->servers[i];
                *found = candidate;
            }
        }
    }
    g_free(name);
    ck_assert_ptr_nonnull(server);
    return server;
}

/* Member INDEX of run RUN fails; its server reports that at once if RELEASED. */
static struct model_server *
fail_member(struct fixture *fixture, uint32_t run, uint32_t index, bool released)
{
    struct model_run *member = NULL;
    struct model_server *server = server_of_member(fixture, run, index, &member);
    member->failed = true;
    member->released = released;
    return server;
}

/* The gang has failed in its first run only: it is tried once more, and fails with that. */
static void
expect_one_failure(struct fixture *fixture)
{
    ck_assert(!fixture->job_failed);
    run(fixture, PLACE_MS);
    ck_assert(!fixture->job_failed);
    ck_assert_uint_eq(fixture->last_run, 2);
    fail_member(fixture, 2, 0, true);
    fail_member(fixture, 2, 1, true);
    run(fixture, PLACE_MS);
    ck_assert(fixture->job_failed);
    ck_assert_uint_eq(fixture->last_run, 2);
}

/*
 * Guards against a gang that is given up before its last attempt: its run counted as failed once
 * for each member that reported it.  Members on servers of their own, or all on one.
 */
START_TEST(run_of_a_gang_fails_once_whoever_reports_it)
{
    struct fixture fixture;
    fixture_init(&fixture, _i == 0 ? 8 : 1);
    run(&fixture, PLACE_MS);
    fail_member(&fixture, 1, 0, true);
    fail_member(&fixture, 1, 1, true);
    run(&fixture, PLACE_MS);
    expect_one_failure(&fixture);
    fixture_clear(&fixture);
}
END_TEST

/* The same, and the members' reports arrive before and after a change of the leader. */
START_TEST(run_of_a_gang_fails_once_over_a_takeover)
{
    struct fixture fixture;
    fixture_init(&fixture, 8);
    run(&fixture, PLACE_MS);
    struct model_run *second = NULL;
    fail_member(&fixture, 1, 0, true);
    server_of_member(&fixture, 1, 1, &second);
    run(&fixture, PLACE_MS);
    ms_engine_free(fixture.engine);
    second->failed = second->released = true;
    create_engine(&fixture);
    run(&fixture, PLACE_MS);
    expect_one_failure(&fixture);
    fixture_clear(&fixture);
}
END_TEST

/*
 * The same, and one report arrives when the run at its server has been given up: after the other
 * member has failed, or before.
 */
START_TEST(run_of_a_gang_fails_once_if_a_report_arrives_late)
{
    struct fixture fixture;
    fixture_init(&fixture, 8);
    run(&fixture, PLACE_MS);
    struct model_server *late = fail_member(&fixture, 1, 1, true);
    late->silent = true;
    run(&fixture, PLACE_MS);
    fail_member(&fixture, 1, 0, _i == 0);
    run(&fixture, LEASE_OVER_MS);
    ck_assert(fixture.run_given_up);
    fail_member(&fixture, 1, 0, true);
    run(&fixture, PLACE_MS);
    late->silent = false;
    run(&fixture, PLACE_MS);
    expect_one_failure(&fixture);
    fixture_clear(&fixture);
}
END_TEST

/* Fails the current run of the gang, RUN_NUMBER, on all its servers. */
static void
fail_gang(struct fixture *fixture, uint32_t run_number)
{
    run(fixture, PLACE_MS);
    ck_assert_uint_eq(fixture->last_run, run_number);
    fail_member(fixture, run_number, 0, true);
    fail_member(fixture, run_number, 1, true);
    run(fixture, TICK_MS);
}

/*
 * Guards against a further start of work whose last attempt failed while its queue was missing from
 * the policy, once the queue is back.
 */
START_TEST(work_without_attempts_left_fails_when_its_queue_is_back)
{
    struct fixture fixture;
    fixture_init(&fixture, 8);
    fail_gang(&fixture, 1);
    run(&fixture, PLACE_MS);
    set_policy(&fixture, false, FAILURES_MAX);
    fail_gang(&fixture, 2);
    ck_assert(!fixture.job_failed);
    set_policy(&fixture, true, FAILURES_MAX);
    ck_assert(fixture.job_failed);
    run(&fixture, PLACE_MS);
    ck_assert_uint_eq(fixture.last_run, 2);
    fixture_clear(&fixture);
}
END_TEST

/* Guards against a further start of work that has failed as often as a new policy allows. */
START_TEST(work_fails_when_its_attempts_are_lowered)
{
    struct fixture fixture;
    fixture_init(&fixture, 8);
    set_policy(&fixture, true, FAILURES_MAX + 2);
    fail_gang(&fixture, 1);
    fail_gang(&fixture, 2);
    ck_assert(!fixture.job_failed);
    set_policy(&fixture, true, FAILURES_MAX);
    ck_assert(fixture.job_failed);
    run(&fixture, PLACE_MS);
    ck_assert_uint_eq(fixture.last_run, 2);
    fixture_clear(&fixture);
}
END_TEST

TCase *
attempts_cases(void)
{
    TCase *cases = tcase_create("attempts");
    tcase_add_loop_test(cases, run_of_a_gang_fails_once_whoever_reports_it, 0, 2);
    tcase_add_test(cases, run_of_a_gang_fails_once_over_a_takeover);
    tcase_add_loop_test(cases, run_of_a_gang_fails_once_if_a_report_arrives_late, 0, 2);
    tcase_add_test(cases, work_without_attempts_left_fails_when_its_queue_is_back);
    tcase_add_test(cases, work_fails_when_its_attempts_are_lowered);
    return cases;
}
