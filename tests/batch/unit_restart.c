/*
 * unit_restart.c - tests of a backend server that starts again under its id, without a fence, with
 * a new clock, and with ends that are numbered from 1 again.
 *
 * The engine runs alone with one server, modelled here.  The directory shows its start late, so
 * that only its answers tell of it at first.
 */
#include <string.h>

#include "batch/engine.h"
#include "batch/unit.h"

#define TICK_MS 10
#define FIRST_START_UNIX_MS 5000
#define SECOND_START_UNIX_MS 9000
#define THIRD_START_UNIX_MS 12000
#define STEPPED_BACK_START_UNIX_MS 3000
#define IDLE_MS 60000
#define YOUNG_CLOCK_MS 1000
#define LATE_ANSWER_MS 6000
#define LATE_START_MS 3000
#define ORDER_TIMEOUT_MS 1000
#define DARK_MS 600           /* from the end of an incarnation to the start of the next one */
#define ORDER_LATE_MS 12000   /* by which an order may come after its time limit */
#define STARTED_AGAIN_MS 1500 /* from when a server answers until a task has started again */
#define NOTICED_MS 500        /* from a cut until the directory shows a start */
#define JOB_COUNT 2
#define LISTED_ENDS_MAX 4
#define LEASE_MAX_MS 10000  /* the longest lease that the server grants, on its clock */
#define CLOCK_RATE_MIN 0.98 /* a clock may be 2 % slow */

struct fixture {
    struct ms_engine *engine;
    struct ms_stored_job jobs[JOB_COUNT];
    int64_t now;
    int64_t clock_started_at; /* when the server's clock was 0 */
    int64_t start_unix_ms;
    char task[MS_TASK_NAME_MAX]; /* that the server runs, or "" */
    uint32_t run;
    struct ms_reported_end ends[LISTED_ENDS_MAX]; /* not acknowledged */
    size_t end_count;
    uint64_t last_position;
    uint64_t reported_position;   /* of the last end in a report of this incarnation */
    uint64_t fence;               /* of the last renewal */
    bool loses_answers_to_starts; /* it carries them out */
    bool loses_answers;           /* the same for all calls */
    bool reachable;
    uint32_t start_count;
    int64_t lease_until; /* when its lease expires, by the engine's clock, if its own is slow */
    int64_t lost_lease_until; /* the same when the engine gave up a run last */
    int64_t lost_at;          /* when the engine gave up a run last */
};

/* The directory shows the server's present entry. */
static void
list_server(const struct fixture *fixture)
{
    struct ms_directory_entry entry = {.start_unix_ms = fixture->start_unix_ms,
                                       .id = "one",
                                       .address = "127.0.0.1:1",
                                       .dc = "dc",
                                       .service = "service",
                                       .clock_ms = fixture->now - fixture->clock_started_at,
                                       .capacity = {64000, 64000, 8}};
    ms_engine_update_server(fixture->engine, &entry, fixture->now);
}

static void
note_lost_run(void *opaque, const char *text)
{
    struct fixture *fixture = opaque;
    if (strstr(text, "event=run_lost") != NULL) {
        fixture->lost_at = fixture->now;
        fixture->lost_lease_until = fixture->lease_until;
    }
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
    fixture->start_unix_ms = FIRST_START_UNIX_MS;
    fixture->reachable = true;
    ms_engine_limits_defaults(&limits);

    fixture->engine = ms_engine_new(&limits, 1, 0, fixture->now);
    ms_engine_set_policy(fixture->engine, &policy);
    ms_engine_set_log(fixture->engine, note_lost_run, fixture);
    list_server(fixture);
}

static void
fixture_clear(struct fixture *fixture)
{
    ms_engine_free(fixture->engine);
    for (size_t i = 0; i < JOB_COUNT; i++) {
        ms_batch_spec_clear(&fixture->jobs[i].spec);
    }
}

/* Submits job INDEX, of one task. */
static void
submit(struct fixture *fixture, size_t index, const char *id)
{
    struct ms_stored_job *job = &fixture->jobs[index];
    g_strlcpy(job->id, id, sizeof(job->id));
    job->accepted = true;
    simple_spec(&job->spec, id, "q0", 1, 1);
    ms_engine_add_job(fixture->engine, job, fixture->now);
}

/* Submits a job of one gang of two. */
static void
submit_gang(struct fixture *fixture)
{
    struct ms_stored_job *job = &fixture->jobs[0];
    g_strlcpy(job->id, "gang", sizeof(job->id));
    job->accepted = true;
    simple_spec(&job->spec, "gang", "q0", 2, 1);
    job->spec.steps[0].gang = true;
    ms_engine_add_job(fixture->engine, job, fixture->now);
}

/* The server starts again under its id: it has nothing of before. */
static void
restart(struct fixture *fixture)
{
    fixture->start_unix_ms = SECOND_START_UNIX_MS;
    fixture->clock_started_at = fixture->now;
    fixture->task[0] = '\0';
    fixture->end_count = 0;
    fixture->last_position = 0;
    fixture->reported_position = 0;
    fixture->fence = 0;
    fixture->lease_until = 0;
}

/* The run on the server ends as done. */
static void
end_run(struct fixture *fixture)
{
    struct ms_reported_end *end = &fixture->ends[fixture->end_count++];
    ck_assert_uint_le(fixture->end_count, LISTED_ENDS_MAX);
    *end = (struct ms_reported_end){
        .position = ++fixture->last_position, .run = fixture->run, .end = MS_RUN_END_DONE};
    g_strlcpy(end->task, fixture->task, sizeof(end->task));
    fixture->task[0] = '\0';
}

static void
forget_ends(struct fixture *fixture, uint64_t position)
{
    while (fixture->end_count > 0 && fixture->ends[0].position <= position) {
        ck_assert_uint_le(fixture->ends[0].position, fixture->reported_position);
        fixture->end_count--;
        memmove(&fixture->ends[0], &fixture->ends[1],
                fixture->end_count * sizeof(fixture->ends[0]));
    }
}

/* The server extends its lease to DEADLINE_MS on its clock, by LEASE_MAX_MS at most. */
static void
extend_lease(struct fixture *fixture, int64_t deadline_ms)
{
    int64_t clock_ms = fixture->now - fixture->clock_started_at;
    int64_t left_ms = MIN(deadline_ms - clock_ms, LEASE_MAX_MS);
    fixture->lease_until =
        MAX(fixture->lease_until, fixture->now + (int64_t)((double)left_ms / CLOCK_RATE_MIN));
}

static void
answer_renewal(struct fixture *fixture, const struct ms_engine_action *renewal)
{
    struct ms_reported_run running = {.run = fixture->run, .percent = 10};
    struct ms_server_report report = {.start_unix_ms = fixture->start_unix_ms,
                                      .clock_ms = fixture->now - fixture->clock_started_at};
    if (fixture->reachable) {
        extend_lease(fixture, renewal->deadline_ms);
    }
    if (!fixture->reachable || fixture->loses_answers) {
        ms_engine_on_renewal_answer(fixture->engine, renewal, MS_ORDER_NO_ANSWER, NULL,
                                    fixture->now, fixture->now);
        return;
    }
    fixture->fence = renewal->fence;
    forget_ends(fixture, renewal->ack_position);
    g_strlcpy(running.task, fixture->task, sizeof(running.task));
    report.running = &running;
    report.running_count = fixture->task[0] != '\0';
    report.ended = fixture->ends;
    report.ended_count = fixture->end_count;
    fixture->reported_position = fixture->last_position;
    ms_engine_on_renewal_answer(fixture->engine, renewal, MS_ORDER_OK, &report, fixture->now,
                                fixture->now);
}

static void
answer_start(struct fixture *fixture, const struct ms_engine_action *start)
{
    if (fixture->reachable) {
        g_strlcpy(fixture->task, start->task, sizeof(fixture->task));
        fixture->run = start->run;
        fixture->start_count++;
        extend_lease(fixture, start->deadline_ms);
    }
    bool answers =
        fixture->reachable && !fixture->loses_answers_to_starts && !fixture->loses_answers;
    ms_engine_on_order_answer(fixture->engine, start, answers ? MS_ORDER_OK : MS_ORDER_NO_ANSWER,
                              answers ? fixture->now - fixture->clock_started_at : 0, fixture->now);
}

static void
answer_stop(struct fixture *fixture, const struct ms_engine_action *stop)
{
    bool answers = fixture->reachable && !fixture->loses_answers;
    ms_engine_on_order_answer(fixture->engine, stop, answers ? MS_ORDER_OK : MS_ORDER_NO_ANSWER,
                              answers ? fixture->now - fixture->clock_started_at : 0, fixture->now);
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
        answer_start(fixture, action);
        break;
    case MS_ENGINE_STORE:
        ms_engine_on_stored(fixture->engine, fixture->now);
        break;
    case MS_ENGINE_STOP:
        answer_stop(fixture, action);
        break;
    case MS_ENGINE_WITHDRAW:
    case MS_ENGINE_QUERY_ADVICE:
    case MS_ENGINE_STEP_DOWN:
        break;
    }
}

/* Answers the actions that are queued now; what these answers lead to stays in the queue. */
static void
answer_queued(struct fixture *fixture)
{
    answer_queued_actions(fixture->engine, answer, fixture);
}

static void
run(struct fixture *fixture, int64_t ms)
{
    int64_t until = fixture->now + ms;
    for (; fixture->now < until; fixture->now += TICK_MS) {
        ms_engine_tick(fixture->engine, fixture->now, fixture->now);
        answer_queued(fixture);
    }
}

/* Takes the next start order out of the queue, unanswered; answers all other actions. */
static struct ms_engine_action *
take_start(struct fixture *fixture)
{
    for (;; fixture->now += TICK_MS) {
        struct ms_engine_action *action = NULL;
        ms_engine_tick(fixture->engine, fixture->now, fixture->now);
        while ((action = ms_engine_pop_action(fixture->engine)) != NULL) {
            if (action->kind == MS_ENGINE_START) {
                return action;
            }
            answer(fixture, action);
            ms_engine_action_free(action);
        }
    }
}

/*
 * Guards against a late start order that a server carries out after it has started again, though
 * the engine already knows of that start: the next renewal raised its fence only once the
 * directory showed the start as well.
 */
START_TEST(renewal_follows_the_report_of_a_new_start_at_once)
{
    struct fixture fixture;
    fixture_init(&fixture);
    submit(&fixture, 0, "job");
    run(&fixture, 500);
    ck_assert_uint_eq(fixture.start_count, 1);
    uint64_t fence = fixture.fence;
    ck_assert_uint_gt(fence, 0);
    restart(&fixture);
    answer_queued(&fixture); /* the renewal in flight, still with the earlier fence */
    ck_assert_uint_eq(fixture.fence, fence);
    answer_queued(&fixture);
    ck_assert_uint_gt(fixture.fence, fence);
    fixture_clear(&fixture);
}
END_TEST

/*
 * Guards against runs that are given up while they go on: the server's time of day has stepped
 * back, and the entry of its earlier start, with the later time, arrives after its first reports.
 */
START_TEST(late_entry_of_an_earlier_start_does_not_lose_runs)
{
    struct fixture fixture;
    fixture_init(&fixture);
    run(&fixture, 500);
    restart(&fixture);
    fixture.start_unix_ms = STEPPED_BACK_START_UNIX_MS;
    submit(&fixture, 0, "job");
    run(&fixture, 500);
    ck_assert_uint_eq(fixture.start_count, 1);
    fixture.start_unix_ms = FIRST_START_UNIX_MS;
    list_server(&fixture);
    fixture.start_unix_ms = STEPPED_BACK_START_UNIX_MS;
    run(&fixture, 3000);
    ck_assert_int_eq(fixture.lost_at, 0);
    ck_assert_uint_eq(fixture.start_count, 1);
    fixture_clear(&fixture);
}
END_TEST

/* A job has succeeded on the server, which has started again since. */
static void
restart_after_a_job(struct fixture *fixture)
{
    submit(fixture, 0, "earlier");
    run(fixture, 500);
    end_run(fixture);
    run(fixture, 300);
    ck_assert_uint_eq(fixture->end_count, 0);
    restart(fixture);
}

/*
 * Guards against a task that runs again after it is done: the end of its run was acknowledged
 * unseen, as a renewal carried a position that an earlier incarnation had reported.
 */
START_TEST(ends_of_a_new_incarnation_are_not_acknowledged_unseen)
{
    struct fixture fixture;
    fixture_init(&fixture);
    restart_after_a_job(&fixture);
    fixture.loses_answers_to_starts = true;
    submit(&fixture, 1, "later");
    while (fixture.start_count < 2) {
        run(&fixture, TICK_MS);
    }
    end_run(&fixture);
    fixture.loses_answers_to_starts = false;
    run(&fixture, 1000);
    list_server(&fixture);
    run(&fixture, 3000);
    ck_assert_uint_eq(fixture.start_count, 2);
    fixture_clear(&fixture);
}
END_TEST

/*
 * Guards against an end that is acknowledged unseen by a renewal long after the last report, with
 * no call to the server between: it has started again and has carried out a late order.
 */
START_TEST(ends_are_not_acknowledged_by_an_old_report)
{
    struct fixture fixture;
    fixture_init(&fixture);
    restart_after_a_job(&fixture);
    run(&fixture, 3000);
    g_strlcpy(fixture.task, "late.0.0.0", sizeof(fixture.task));
    end_run(&fixture);
    ms_engine_unlist_server(fixture.engine, "one", fixture.now); /* a renewal is due */
    run(&fixture, 1000);
    ck_assert_uint_eq(fixture.reported_position, 1);
    fixture_clear(&fixture);
}
END_TEST

/*
 * The server has carried out and answered a start, and is cut off; the directory shows that it has
 * started again if LISTED.  The deadline in the order was one of the earlier clock, so that the
 * server has granted the longest lease that it grants.
 */
static void
expect_longest_lease_waited_for(bool listed)
{
    struct fixture fixture;
    fixture_init(&fixture);
    restart_after_a_job(&fixture);
    submit(&fixture, 1, "later");
    while (fixture.start_count < 2) {
        run(&fixture, TICK_MS);
    }
    int64_t lease_end = fixture.now + (int64_t)(LEASE_MAX_MS / CLOCK_RATE_MIN);
    fixture.reachable = false;
    if (listed) {
        list_server(&fixture);
    }
    run(&fixture, 3 * LEASE_MAX_MS);
    ck_assert_int_ge(fixture.lost_at, lease_end);
    fixture_clear(&fixture);
}

/*
 * Guards against a run that is given up while it goes on, on a server known to have started again:
 * the engine waited for the end of a lease as it grants them.
 */
START_TEST(longest_lease_of_a_server_listed_as_started_again_is_waited_for)
{
    expect_longest_lease_waited_for(true);
}
END_TEST

/* The same if nothing but the clock in an answer tells that the server has started again. */
START_TEST(longest_lease_of_a_server_with_a_new_clock_is_waited_for)
{
    expect_longest_lease_waited_for(false);
}
END_TEST

/*
 * Guards against a run that is given up while it goes on: the server has started again, which
 * nothing tells, carries out a start whose answer is lost, and is cut off.  The deadline of the
 * start was on the clock of its earlier incarnation, so that it has granted the longest lease.
 */
START_TEST(longest_lease_is_waited_for_after_a_start_without_answer)
{
    struct fixture fixture;
    fixture_init(&fixture);
    restart_after_a_job(&fixture);
    fixture.loses_answers_to_starts = true;
    submit(&fixture, 1, "later");
    while (fixture.start_count < 2) {
        run(&fixture, TICK_MS);
    }
    fixture.reachable = false;
    run(&fixture, 3 * LEASE_MAX_MS);
    ck_assert_int_ge(fixture.lost_at, fixture.lost_lease_until);
    fixture_clear(&fixture);
}
END_TEST

/*
 * Guards against the same if renewals still reach the server and only its answers are lost: each
 * renewal with a deadline would extend the lease of the run, which has no bound that we know then.
 */
START_TEST(renewals_without_answers_do_not_extend_the_lease_of_a_start_without_answer)
{
    struct fixture fixture;
    fixture_init(&fixture);
    restart_after_a_job(&fixture);
    fixture.loses_answers = true;
    submit(&fixture, 1, "later");
    while (fixture.start_count < 2) {
        run(&fixture, TICK_MS);
    }
    run(&fixture, 3 * LEASE_MAX_MS);
    ck_assert_int_gt(fixture.lost_at, 0);
    ck_assert_int_ge(fixture.lost_at, fixture.lost_lease_until);
    fixture_clear(&fixture);
}
END_TEST

/*
 * Guards against a run that is given up while it goes on: a start was on its way when the directory
 * told that the server had started again, and reaches the new incarnation a second later.
 */
START_TEST(start_under_way_when_a_restart_is_noticed_is_waited_for)
{
    struct fixture fixture;
    fixture_init(&fixture);
    run(&fixture, 500);
    submit(&fixture, 0, "job");
    struct ms_engine_action *start = take_start(&fixture);
    restart(&fixture);
    list_server(&fixture);
    fixture.reachable = false;
    run(&fixture, ORDER_TIMEOUT_MS);
    fixture.reachable = true;
    fixture.loses_answers_to_starts = true;
    answer_start(&fixture, start);
    ms_engine_action_free(start);
    fixture.reachable = false;
    run(&fixture, 3 * LEASE_MAX_MS);
    ck_assert_int_ge(fixture.lost_at, fixture.lost_lease_until);
    fixture_clear(&fixture);
}
END_TEST

/*
 * The run of TASK, a member of a gang, is stopped while its START is under way, as the other member
 * was refused.  The server answers the stop if ANSWERS_STOP, starts again, carries out START, whose
 * answer is lost, and is cut off; the directory shows its start 500 ms later.
 */
static void
expect_stopped_start_waited_for(bool answers_stop)
{
    struct fixture fixture;
    fixture_init(&fixture);
    run(&fixture, 500);
    submit_gang(&fixture);
    struct ms_engine_action *start = take_start(&fixture);
    struct ms_engine_action *other = take_start(&fixture);
    ms_engine_on_order_answer(fixture.engine, other, MS_ORDER_NO_CAPACITY, 0, fixture.now);
    fixture.reachable = answers_stop;
    answer_queued(&fixture);
    restart(&fixture);
    fixture.reachable = true;
    fixture.loses_answers = true;
    if (answers_stop) {
        list_server(&fixture);
    }
    answer_start(&fixture, start);
    fixture.reachable = false;
    run(&fixture, NOTICED_MS);
    list_server(&fixture);
    run(&fixture, 3 * LEASE_MAX_MS);
    ck_assert_int_gt(fixture.lease_until, 0);
    ck_assert_int_ge(fixture.lost_at, fixture.lease_until);
    ms_engine_action_free(start);
    ms_engine_action_free(other);
    fixture_clear(&fixture);
}

/*
 * Guards against a run that is given up while it goes on: it was being stopped when its start went
 * unanswered and the server was seen to have started again, as one that knows no stops.
 */
START_TEST(start_without_answer_is_waited_for_after_a_stop_without_answer)
{
    expect_stopped_start_waited_for(false);
}
END_TEST

/* The same if the incarnation before has confirmed the stop, and the start is still under way. */
START_TEST(start_under_way_is_waited_for_after_a_confirmed_stop)
{
    expect_stopped_start_waited_for(true);
}
END_TEST

/*
 * Guards against a run that is given up while it goes on: the clock in an answer had told of the
 * server's start, its report had listed the run, and then an entry of the earlier incarnation
 * arrived, so that the next report was taken for that of a further start.
 */
START_TEST(late_entry_of_the_earlier_incarnation_does_not_reset_the_next_one)
{
    struct fixture fixture;
    fixture_init(&fixture);
    restart_after_a_job(&fixture);
    submit(&fixture, 1, "later");
    while (fixture.start_count < 2) {
        run(&fixture, TICK_MS);
    }
    run(&fixture, 100); /* the run is in a report */
    ck_assert_int_eq(fixture.lost_at, 0);
    fixture.start_unix_ms = FIRST_START_UNIX_MS;
    list_server(&fixture);
    fixture.start_unix_ms = SECOND_START_UNIX_MS;
    run(&fixture, 100);
    ck_assert_int_eq(fixture.lost_at, 0);
    fixture_clear(&fixture);
}
END_TEST

/*
 * Guards against a further start that goes unnoticed while the directory does not even show the
 * one before, of which the clock in an answer had told: the ends of the new incarnation were
 * taken for ends seen before, so that a task ran again after it was done.
 */
START_TEST(further_start_is_noticed_before_the_directory_shows_the_one_before)
{
    struct fixture fixture;
    fixture_init(&fixture);
    restart_after_a_job(&fixture);
    submit(&fixture, 1, "later");
    while (fixture.start_count < 2) {
        run(&fixture, TICK_MS);
    }
    run(&fixture, 100); /* the run is in a report */
    uint64_t fence = fixture.fence;
    restart(&fixture);
    fixture.start_unix_ms = THIRD_START_UNIX_MS;
    run(&fixture, 100);
    ck_assert_uint_gt(fixture.fence, fence);
    fixture_clear(&fixture);
}
END_TEST

/*
 * Guards against a start that goes unnoticed after an entry without a start time, of another
 * writer: the engine forgot the time that it knew.
 */
START_TEST(start_is_noticed_after_an_entry_without_a_start_time)
{
    struct fixture fixture;
    fixture_init(&fixture);
    submit(&fixture, 0, "job");
    run(&fixture, 500);
    ck_assert_uint_eq(fixture.start_count, 1);
    uint64_t fence = fixture.fence;
    fixture.start_unix_ms = 0;
    list_server(&fixture);
    restart(&fixture);
    run(&fixture, 100);
    ck_assert_uint_gt(fixture.fence, fence);
    fixture_clear(&fixture);
}
END_TEST

/*
 * Guards against a task that is held up for as long as its server was idle: the server, heard last
 * when its clock was young, has started again, which was not noticed as its clock was hardly
 * behind that reading; the old, high deadline was then counted from the new, low clock.
 */
START_TEST(run_is_given_up_in_time_if_the_clock_was_read_long_ago)
{
    struct fixture fixture;
    fixture_init(&fixture);
    fixture.clock_started_at = fixture.now - YOUNG_CLOCK_MS;
    list_server(&fixture);
    run(&fixture, IDLE_MS);
    restart(&fixture);
    submit(&fixture, 0, "job");
    while (fixture.start_count < 1) {
        run(&fixture, TICK_MS);
    }
    int64_t lease_end = fixture.now + (int64_t)(LEASE_MAX_MS / CLOCK_RATE_MIN);
    fixture.reachable = false;
    run(&fixture, 2 * LEASE_MAX_MS);
    ck_assert_int_ge(fixture.lost_at, lease_end);
    fixture_clear(&fixture);
}
END_TEST

/*
 * Guards against a sound server that is taken for one that has started again, so that its runs are
 * given up: an answer was processed long after a newer one.
 */
START_TEST(answer_that_comes_very_late_does_not_reset_its_server)
{
    struct fixture fixture;
    fixture_init(&fixture);
    submit(&fixture, 0, "job");
    run(&fixture, 500);
    ck_assert_uint_eq(fixture.start_count, 1);
    uint64_t fence = fixture.fence;
    submit(&fixture, 1, "later");
    struct ms_engine_action *start = take_start(&fixture);
    int64_t clock_ms = fixture.now - fixture.clock_started_at;
    run(&fixture, LATE_ANSWER_MS);
    ms_engine_on_order_answer(fixture.engine, start, MS_ORDER_OK, clock_ms, fixture.now);
    ms_engine_action_free(start);
    run(&fixture, 100);
    ck_assert_uint_eq(fixture.fence, fence);
    fixture_clear(&fixture);
}
END_TEST

/* Guards against runs that are given up while they go on, as their server stood still for a while.
 */
START_TEST(clock_that_stood_still_does_not_lose_runs)
{
    struct fixture fixture;
    fixture_init(&fixture);
    submit(&fixture, 0, "job");
    run(&fixture, 500);
    ck_assert_uint_eq(fixture.start_count, 1);
    submit(&fixture, 1, "later");
    struct ms_engine_action *start = take_start(&fixture);
    int64_t clock_ms = fixture.now - fixture.clock_started_at - LATE_ANSWER_MS;
    ms_engine_on_order_answer(fixture.engine, start, MS_ORDER_UNAVAILABLE, clock_ms, fixture.now);
    ms_engine_action_free(start);
    run(&fixture, 100);
    ck_assert_int_eq(fixture.lost_at, 0);
    fixture_clear(&fixture);
}
END_TEST

/*
 * A start has no answer, its server has started again, which the directory shows, and is not
 * reached.  The new incarnation carries out the start LATE_MS later, and grants the longest lease
 * from then on.  The start is known to have no answer before the restart is noticed, or, if
 * NOTICED_FIRST, after its time limit.
 */
static void
expect_late_start_waited_for(int64_t late_ms, bool noticed_first)
{
    struct fixture fixture;
    fixture_init(&fixture);
    run(&fixture, 500);
    submit(&fixture, 0, "job");
    struct ms_engine_action *start = take_start(&fixture);
    restart(&fixture);
    fixture.reachable = false;
    if (noticed_first) {
        list_server(&fixture);
        run(&fixture, ORDER_TIMEOUT_MS);
    }
    answer_start(&fixture, start);
    list_server(&fixture);
    run(&fixture, late_ms); /* it is carried out then */
    int64_t lease_end = fixture.now + (int64_t)(LEASE_MAX_MS / CLOCK_RATE_MIN);
    ms_engine_action_free(start);
    run(&fixture, 3 * LEASE_MAX_MS);
    ck_assert_int_ge(fixture.lost_at, lease_end);
    fixture_clear(&fixture);
}

/*
 * Guards against a run that is given up while it goes on: a server that is known to have started
 * again, and has not been reached since, carries out the start order late and grants the longest
 * lease from then on, not from the moment at which its start was noticed.
 */
START_TEST(late_start_after_a_noticed_restart_is_waited_for)
{
    expect_late_start_waited_for(LATE_START_MS, false);
}
END_TEST

/* The same if the start comes as late as an order may. */
START_TEST(latest_start_after_a_noticed_restart_is_waited_for)
{
    expect_late_start_waited_for(ORDER_LATE_MS, false);
    expect_late_start_waited_for(ORDER_LATE_MS, true);
}
END_TEST

/*
 * Guards against waits that are longer than needed: the new incarnation answers, so that it refuses
 * the late start and has no run.  The task is started again at once.
 */
START_TEST(late_start_is_not_waited_for_once_the_new_incarnation_has_answered)
{
    struct fixture fixture;
    fixture_init(&fixture);
    run(&fixture, 500);
    submit(&fixture, 0, "job");
    struct ms_engine_action *start = take_start(&fixture);
    restart(&fixture);
    fixture.reachable = false;
    answer_start(&fixture, start);
    list_server(&fixture);
    run(&fixture, NOTICED_MS);
    fixture.reachable = true;
    run(&fixture, STARTED_AGAIN_MS);
    ck_assert_uint_eq(fixture.start_count, 1);
    ms_engine_action_free(start);
    fixture_clear(&fixture);
}
END_TEST

/*
 * Guards against the same for a run that was confirmed so long ago that no copy of its start can
 * come any more: the end of the longest lease is waited for, as for a start without an answer.
 */
START_TEST(start_without_answer_of_an_old_run_is_not_waited_for_as_a_late_one)
{
    struct fixture fixture;
    fixture_init(&fixture);
    run(&fixture, 500);
    submit(&fixture, 0, "job");
    struct ms_engine_action *start = take_start(&fixture);
    ms_engine_on_order_answer(fixture.engine, start, MS_ORDER_NO_ANSWER, 0, fixture.now);
    ms_engine_action_free(start);
    run(&fixture, 2 * ORDER_LATE_MS);
    ck_assert_uint_eq(fixture.start_count, 1);
    restart(&fixture);
    fixture.reachable = false;
    list_server(&fixture);
    int64_t noticed_at = fixture.now;
    run(&fixture, 3 * LEASE_MAX_MS);
    ck_assert_int_gt(fixture.lost_at, noticed_at);
    ck_assert_int_le(fixture.lost_at, noticed_at + LEASE_MAX_MS + ORDER_TIMEOUT_MS);
    fixture_clear(&fixture);
}
END_TEST

/* Takes the next renewal, and the next start if WITH_START, out of the queue, unanswered. */
static void
take_orders(struct fixture *fixture, bool with_start, struct ms_engine_action **renewal,
            struct ms_engine_action **start)
{
    *renewal = NULL;
    *start = NULL;
    for (; *renewal == NULL || (with_start && *start == NULL); fixture->now += TICK_MS) {
        struct ms_engine_action *action = NULL;
        ms_engine_tick(fixture->engine, fixture->now, fixture->now);
        while ((action = ms_engine_pop_action(fixture->engine)) != NULL) {
            if (action->kind == MS_ENGINE_RENEW_LEASE) {
                ck_assert_ptr_null(*renewal);
                *renewal = action;
            }
            else if (action->kind == MS_ENGINE_START) {
                ck_assert_ptr_null(*start);
                *start = action;
            }
            else {
                answer(fixture, action);
                ms_engine_action_free(action);
            }
        }
    }
}

/* The first job's task runs on the server for a while. */
static void
run_first_job(struct fixture *fixture)
{
    run(fixture, 500);
    submit(fixture, 0, "job");
    while (fixture->start_count < 1) {
        run(fixture, TICK_MS);
    }
    run(fixture, 500);
}

/*
 * Guards against a run that is given up while it goes on: a renewal that was under way when the
 * server started again has reached the new incarnation, which has no run yet, and has given it the
 * longest lease.  Its answer tells of the start; the next task runs there at once.
 */
START_TEST(lease_of_a_new_incarnation_without_runs_is_waited_for)
{
    struct fixture fixture;
    struct ms_engine_action *renewal = NULL;
    struct ms_engine_action *start = NULL;
    fixture_init(&fixture);
    run_first_job(&fixture);
    take_orders(&fixture, false, &renewal, &start);
    restart(&fixture);
    fixture.now += DARK_MS;
    answer_renewal(&fixture, renewal);
    ms_engine_action_free(renewal);
    list_server(&fixture);
    while (fixture.start_count < 2) {
        run(&fixture, TICK_MS);
    }
    fixture.lost_at = 0; /* of the first run */
    run(&fixture, 300);
    fixture.reachable = false;
    run(&fixture, 3 * LEASE_MAX_MS);
    ck_assert_int_gt(fixture.lost_at, 0);
    ck_assert_int_ge(fixture.lost_at, fixture.lost_lease_until);
    fixture_clear(&fixture);
}
END_TEST

/*
 * Guards against a run that is given up while it goes on: the clock in the answer to its start has
 * told that the server has started again, and a renewal that was sent before arrives a second
 * later; its answer is lost.
 */
START_TEST(renewal_under_way_when_a_clock_has_gone_back_is_waited_for)
{
    struct fixture fixture;
    struct ms_engine_action *renewal = NULL;
    struct ms_engine_action *start = NULL;
    fixture_init(&fixture);
    run_first_job(&fixture);
    submit(&fixture, 1, "later");
    take_orders(&fixture, true, &renewal, &start);
    restart(&fixture);
    fixture.now += DARK_MS;
    answer_start(&fixture, start);
    ms_engine_action_free(start);
    run(&fixture, ORDER_TIMEOUT_MS);
    fixture.loses_answers = true;
    answer_renewal(&fixture, renewal);
    ms_engine_action_free(renewal);
    fixture.reachable = false;
    run(&fixture, 3 * LEASE_MAX_MS);
    ck_assert_int_ge(fixture.lost_at, fixture.lost_lease_until);
    fixture_clear(&fixture);
}
END_TEST

TCase *
restart_cases(void)
{
    TCase *cases = tcase_create("restart");
    tcase_add_test(cases, renewal_follows_the_report_of_a_new_start_at_once);
    tcase_add_test(cases, late_entry_of_an_earlier_start_does_not_lose_runs);
    tcase_add_test(cases, ends_of_a_new_incarnation_are_not_acknowledged_unseen);
    tcase_add_test(cases, ends_are_not_acknowledged_by_an_old_report);
    tcase_add_test(cases, longest_lease_of_a_server_listed_as_started_again_is_waited_for);
    tcase_add_test(cases, longest_lease_of_a_server_with_a_new_clock_is_waited_for);
    tcase_add_test(cases, longest_lease_is_waited_for_after_a_start_without_answer);
    tcase_add_test(cases,
                   renewals_without_answers_do_not_extend_the_lease_of_a_start_without_answer);
    tcase_add_test(cases, start_under_way_when_a_restart_is_noticed_is_waited_for);
    tcase_add_test(cases, start_without_answer_is_waited_for_after_a_stop_without_answer);
    tcase_add_test(cases, start_under_way_is_waited_for_after_a_confirmed_stop);
    tcase_add_test(cases, late_start_after_a_noticed_restart_is_waited_for);
    tcase_add_test(cases, latest_start_after_a_noticed_restart_is_waited_for);
    tcase_add_test(cases, late_start_is_not_waited_for_once_the_new_incarnation_has_answered);
    tcase_add_test(cases, start_without_answer_of_an_old_run_is_not_waited_for_as_a_late_one);
    tcase_add_test(cases, late_entry_of_the_earlier_incarnation_does_not_reset_the_next_one);
    tcase_add_test(cases, further_start_is_noticed_before_the_directory_shows_the_one_before);
    tcase_add_test(cases, start_is_noticed_after_an_entry_without_a_start_time);
    tcase_add_test(cases, run_is_given_up_in_time_if_the_clock_was_read_long_ago);
    tcase_add_test(cases, answer_that_comes_very_late_does_not_reset_its_server);
    tcase_add_test(cases, clock_that_stood_still_does_not_lose_runs);
    tcase_add_test(cases, lease_of_a_new_incarnation_without_runs_is_waited_for);
    tcase_add_test(cases, renewal_under_way_when_a_clock_has_gone_back_is_waited_for);
    return cases;
}
