/*
 * unit_withheld.c - tests of ends of runs that were given up and whose tasks run again: an end
 * as done may not be acknowledged, a failure counts.
 *
 * The engine runs alone with two servers.  The first one is cut off while its run ends, so that
 * the task is placed on the second one, where it runs on; then the first one is back.
 */
#include <string.h>

#include "batch/engine.h"
#include "batch/unit.h"

#define TICK_MS 10
#define START_UNIX_MS 5000
#define ENDS_MAX 200
#define GATHERED_ENDS 120   /* further ends of the first server */
#define LEASE_ENDS_MS 14000 /* after this any lease that is not extended has expired */
#define TASK "job.0.0.0"

enum { FIRST = 0, SECOND, SERVER_COUNT };

struct fixture {
    struct ms_engine *engine;
    struct ms_stored_job job;
    int64_t now;
    bool reachable[SERVER_COUNT];
    uint32_t run[SERVER_COUNT];            /* the run that the server has, 0: none */
    struct ms_reported_end ends[ENDS_MAX]; /* of FIRST */
    size_t end_count;
    uint64_t acked;        /* position up to which FIRST may forget its ends */
    int64_t last_deadline; /* of the last renewal of FIRST */
    int64_t lease_end;     /* of FIRST: the latest deadline before its ends were acknowledged */
    GBytes *state;         /* of the job, as stored last */
    bool second_fails;     /* run 2 has failed on SECOND */
    bool job_failed;       /* the engine has logged that the job failed */
};

static const char *const server_ids[SERVER_COUNT] = {"first", "second"};

static void
list_server(struct fixture *fixture, size_t index)
{
    struct ms_directory_entry entry = {.start_unix_ms = START_UNIX_MS,
                                       .address = "127.0.0.1:1",
                                       .dc = "dc",
                                       .service = "service",
                                       .clock_ms = fixture->now,
                                       .capacity = {64000, 64000, 8}};
    g_strlcpy(entry.id, server_ids[index], sizeof(entry.id));
    ms_engine_update_server(fixture->engine, &entry, fixture->now);
    fixture->reachable[index] = true;
}

static void
note_failure(void *opaque, const char *text)
{
    struct fixture *fixture = opaque;
    fixture->job_failed |=
        strstr(text, "event=job_end") != NULL && strstr(text, "outcome=failed") != NULL;
}

/* Creates the engine of the leader of EPOCH.  A task may fail once; the second failure is final. */
static void
create_engine(struct fixture *fixture, uint64_t epoch)
{
    static struct ms_queue_rule queues[] = {
        {.name = "q0", .service = "service", .failures_max = 2}};
    static const struct ms_policy policy = {.version = 1, .queues = queues, .queue_count = 1};
    struct ms_engine_limits limits;
    ms_engine_limits_defaults(&limits);
    fixture->engine = ms_engine_new(&limits, epoch, fixture->now, fixture->now);
    ms_engine_set_policy(fixture->engine, &policy);
    ms_engine_set_log(fixture->engine, note_failure, fixture);
}

static void
fixture_init(struct fixture *fixture)
{
    memset(fixture, 0, sizeof(*fixture));
    fixture->now = 1000;
    create_engine(fixture, 1);
    g_strlcpy(fixture->job.id, "job", sizeof(fixture->job.id));
    fixture->job.accepted = true;
    simple_spec(&fixture->job.spec, "job", "q0", 1, 1);
    list_server(fixture, FIRST);
    ms_engine_add_job(fixture->engine, &fixture->job, fixture->now);
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

/* Keeps the state of the job, the last one of the records of STORE. */
static void
keep_state(struct fixture *fixture, const struct ms_engine_action *store)
{
    const struct ms_store_record *record =
        g_ptr_array_index(store->records, store->records->len - 1);
    if (fixture->state != NULL) {
        g_bytes_unref(fixture->state);
    }
    fixture->state = g_bytes_ref(record->value);
}

/* FIRST lists one more end, of RUN of the task NAME, which ended as HOW says. */
static void
add_end(struct fixture *fixture, const char *name, uint32_t run, enum ms_run_end how)
{
    struct ms_reported_end *end = &fixture->ends[fixture->end_count++];
    ck_assert_uint_le(fixture->end_count, ENDS_MAX);
    end->position = fixture->end_count;
    end->run = run;
    end->end = how;
    g_strlcpy(end->task, name, sizeof(end->task));
}

static void
answer_renewal(struct fixture *fixture, const struct ms_engine_action *renewal, size_t index)
{
    struct ms_reported_run running = {.task = TASK, .run = fixture->run[index], .percent = 10};
    struct ms_server_report report = {.start_unix_ms = START_UNIX_MS, .clock_ms = fixture->now};
    if (!fixture->reachable[index]) {
        ms_engine_on_renewal_answer(fixture->engine, renewal, MS_ORDER_NO_ANSWER, NULL,
                                    fixture->now, fixture->now);
        return;
    }
    if (index == FIRST) {
        fixture->acked = MAX(fixture->acked, renewal->ack_position);
        fixture->last_deadline = renewal->deadline_ms;
        if (fixture->acked == 0) {
            fixture->lease_end = MAX(fixture->lease_end, renewal->deadline_ms);
        }
        report.ended = fixture->ends + fixture->acked;
        report.ended_count = fixture->end_count - fixture->acked;
    }
    struct ms_reported_end failure = {
        .position = 1, .task = TASK, .run = 2, .end = MS_RUN_END_FAILED};
    if (index == SECOND && fixture->second_fails) {
        report.ended = &failure;
        report.ended_count = 1;
    }
    report.running = &running;
    report.running_count = fixture->run[index] != 0;
    ms_engine_on_renewal_answer(fixture->engine, renewal, MS_ORDER_OK, &report, fixture->now,
                                fixture->now);
}

static void
answer(void *opaque, const struct ms_engine_action *action)
{
    struct fixture *fixture = opaque;
    size_t index = strcmp(action->server, server_ids[FIRST]) == 0 ? FIRST : SECOND;
    switch (action->kind) {
    case MS_ENGINE_RENEW_LEASE:
        answer_renewal(fixture, action, index);
        break;
    case MS_ENGINE_START:
        fixture->run[index] = action->run;
        ms_engine_on_order_answer(fixture->engine, action, MS_ORDER_OK, fixture->now, fixture->now);
        break;
    case MS_ENGINE_STORE:
        keep_state(fixture, action);
        ms_engine_on_stored(fixture->engine, fixture->now);
        break;
    case MS_ENGINE_STOP:
    case MS_ENGINE_WITHDRAW:
    case MS_ENGINE_QUERY_ADVICE:
    case MS_ENGINE_STEP_DOWN:
        break;
    }
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

static uint32_t
count_usable(const struct fixture *fixture)
{
    struct ms_engine_stats stats;
    ms_engine_stats(fixture->engine, &stats);
    return stats.servers_usable;
}

/* Run 1 of the task has ended on FIRST, behind a cut, as HOW says; run 2 is on SECOND. */
static void
run_again_after_cut(struct fixture *fixture, enum ms_run_end how)
{
    run(fixture, 500);
    ck_assert_uint_eq(fixture->run[FIRST], 1);
    fixture->reachable[FIRST] = false;
    fixture->run[FIRST] = 0;
    add_end(fixture, TASK, 1, how);
    list_server(fixture, SECOND);
    run(fixture, LEASE_ENDS_MS);
    ck_assert_uint_eq(fixture->run[SECOND], 2);
}

/*
 * The task has ended on FIRST behind a cut and runs on SECOND; FIRST is back with its end and
 * LATER_ENDS more.
 */
static void
end_behind_cut(struct fixture *fixture, int later_ends)
{
    run_again_after_cut(fixture, MS_RUN_END_DONE);
    for (int i = 0; i < later_ends; i++) {
        add_end(fixture, "other.0.0.0", 1, MS_RUN_END_DONE);
    }
    list_server(fixture, FIRST);
    run(fixture, 2000);
    ck_assert_uint_eq(fixture->acked, 0);
}

/* An end that is not acknowledged must not hide the later ends of its server for good. */
START_TEST(many_ends_behind_a_withheld_one_are_acknowledged)
{
    struct fixture fixture;
    fixture_init(&fixture);
    end_behind_cut(&fixture, GATHERED_ENDS);
    run(&fixture, 2 * LEASE_ENDS_MS);
    ck_assert_uint_eq(fixture.acked, GATHERED_ENDS + 1);
    ck_assert_uint_eq(count_usable(&fixture), 2);
    fixture_clear(&fixture);
}
END_TEST

/*
 * The withheld end is acknowledged only after the lease under which its run ended has expired;
 * else the start of the later run counts as one after an end that was taken note of.
 */
START_TEST(withheld_end_is_acknowledged_after_the_lease_has_expired)
{
    struct fixture fixture;
    int64_t lease_end = 0; /* of FIRST, on its clock, which is that of the test */
    fixture_init(&fixture);
    end_behind_cut(&fixture, GATHERED_ENDS);
    while (fixture.acked == 0) {
        lease_end = MAX(lease_end, fixture.last_deadline);
        run(&fixture, TICK_MS);
        ck_assert_int_le(fixture.now, 200000);
    }
    ck_assert_int_gt(fixture.now, lease_end);
    fixture_clear(&fixture);
}
END_TEST

/* The same if a leader before this one has extended that lease last. */
START_TEST(withheld_end_is_acknowledged_after_the_lease_of_an_earlier_leader)
{
    struct fixture fixture;
    fixture_init(&fixture);
    end_behind_cut(&fixture, GATHERED_ENDS);
    ms_engine_free(fixture.engine);
    create_engine(&fixture, 2);
    list_server(&fixture, FIRST);
    list_server(&fixture, SECOND);
    fixture.job.state = fixture.state;
    ms_engine_add_job(fixture.engine, &fixture.job, fixture.now);
    while (fixture.acked == 0) {
        run(&fixture, TICK_MS);
        ck_assert_int_le(fixture.now, 200000);
    }
    ck_assert_int_gt(fixture.now, fixture.lease_end);
    fixture_clear(&fixture);
}
END_TEST

/* A few ends cost less than a server that is out of use for the length of a lease. */
START_TEST(few_withheld_ends_leave_the_server_in_use)
{
    struct fixture fixture;
    fixture_init(&fixture);
    end_behind_cut(&fixture, 0);
    run(&fixture, LEASE_ENDS_MS);
    ck_assert_uint_eq(fixture.acked, 0);
    ck_assert_uint_eq(count_usable(&fixture), 2);
    fixture_clear(&fixture);
}
END_TEST

/*
 * A failure counts although it is reported to a later leader than the one that gave its run
 * up.  It was acknowledged and not counted: the task ran once more than it may fail.
 */
START_TEST(late_failure_counts_after_a_change_of_the_leader)
{
    struct fixture fixture;
    fixture_init(&fixture);
    run_again_after_cut(&fixture, MS_RUN_END_FAILED);
    run(&fixture, 200); /* the state is stored */
    for (uint64_t epoch = 2; epoch <= 3; epoch++) {
        ms_engine_free(fixture.engine);
        create_engine(&fixture, epoch);
        list_server(&fixture, FIRST);
        list_server(&fixture, SECOND);
        fixture.job.state = fixture.state;
        ms_engine_add_job(fixture.engine, &fixture.job, fixture.now);
        fixture.acked = 0; /* the acknowledgement is lost with the leader */
        run(&fixture, 500);
        ck_assert(!fixture.job_failed); /* counted once, by the first of these leaders */
    }
    fixture.run[SECOND] = 0;
    fixture.second_fails = true;
    run(&fixture, 2000);
    ck_assert(fixture.job_failed);
    fixture_clear(&fixture);
}
END_TEST

/*
 * Two runs were given up before the failure of the earlier one is reported.  It was acknowledged
 * and not counted: the task ran once more than it may fail.
 */
START_TEST(failure_counts_although_a_later_run_was_given_up_too)
{
    struct fixture fixture;
    fixture_init(&fixture);
    run_again_after_cut(&fixture, MS_RUN_END_FAILED);
    fixture.reachable[SECOND] = false;
    run(&fixture, LEASE_ENDS_MS);
    ms_engine_free(fixture.engine); /* the leader that gave both up is lost */
    create_engine(&fixture, 2);
    list_server(&fixture, FIRST);
    fixture.job.state = fixture.state;
    ms_engine_add_job(fixture.engine, &fixture.job, fixture.now);
    run(&fixture, LEASE_ENDS_MS);
    ck_assert_uint_eq(fixture.acked, 1);
    ck_assert_uint_eq(fixture.run[FIRST], 3);
    ck_assert(!fixture.job_failed);
    fixture.run[FIRST] = 0;
    add_end(&fixture, TASK, 3, MS_RUN_END_FAILED);
    run(&fixture, 2000);
    ck_assert(fixture.job_failed);
    fixture_clear(&fixture);
}
END_TEST

TCase *
withheld_cases(void)
{
    TCase *cases = tcase_create("withheld");
    tcase_add_test(cases, many_ends_behind_a_withheld_one_are_acknowledged);
    tcase_add_test(cases, withheld_end_is_acknowledged_after_the_lease_has_expired);
    tcase_add_test(cases, withheld_end_is_acknowledged_after_the_lease_of_an_earlier_leader);
    tcase_add_test(cases, late_failure_counts_after_a_change_of_the_leader);
    tcase_add_test(cases, few_withheld_ends_leave_the_server_in_use);
    tcase_add_test(cases, failure_counts_although_a_later_run_was_given_up_too);
    return cases;
}
