/*
 * unit_successor.c - tests of what a new leader may assume of a backend server that it does not
 * reach: how long the runs of earlier leaders go on there.
 *
 * Engines of several leaders follow one another, with one server, modelled here.  The directory
 * goes on showing the server's first incarnation, unless a test has it show the present one.  The
 * server's clock is 2 % slow.
 */
#include <string.h>

#include "batch/engine.h"
#include "batch/unit.h"

#define TICK_MS 10
#define LEASE_MS 8000
#define LEASE_MAX_MS 10000
#define CLOCK_RATE 0.98
#define FIRST_START_UNIX_MS 5000
#define UPTIME_MS 500000 /* of the server at the start */
#define STORED_MS 1500   /* after which the log says that a job has started */
#define STORE_MS 350     /* after which a change of a job is stored */
#define FROZEN_MS 500    /* after which a new leader has stored that a lease is frozen */
#define ORDER_TIMEOUT_MS 1000
#define RENEWAL_UNDER_WAY_MS 2400 /* less than its time-out with a long poll */
#define LATE_LEADER_MS 3000       /* from a resignation until the next leader takes over */
#define IDLE_MS 80000
#define RESIGNED_WAIT_MS 8740 /* what src/entry/leader.c counts from a resignation */
#define NOTICED_MS 1000       /* from a take-over until the directory shows a restart */
#define LATE_START_MS 8000    /* from the loss of a leader until a start of its is carried out */
#define SETTLED_MS 30000      /* after which a run on a server that is gone has been given up */
#define GIVEN_UP_MS 500       /* from the end of a lease until its runs are given up */

struct fixture {
    struct ms_engine *engine;
    struct ms_stored_job job;
    GBytes *state;
    uint64_t epoch;
    int64_t now;
    int64_t started_at; /* when the server started */
    int64_t start_unix_ms;
    bool listed_again; /* the directory shows the present incarnation */
    bool reachable;
    bool loses_answers; /* it receives calls, and carries them out */
    bool runs;          /* run 1 of the job's task */
    int64_t lease_until;
    uint32_t start_count;
    int64_t lost_at;          /* when a leader gave the run up */
    int64_t lost_lease_until; /* when its lease expired, as it was then */
};

static int64_t
server_clock(const struct fixture *fixture)
{
    return (int64_t)((double)(fixture->now - fixture->started_at) * CLOCK_RATE);
}

static void
extend_lease(struct fixture *fixture, int64_t deadline_ms)
{
    int64_t left_ms = MIN(deadline_ms - server_clock(fixture), LEASE_MAX_MS);
    int64_t until = fixture->now + (int64_t)((double)left_ms / CLOCK_RATE);
    fixture->lease_until = MAX(fixture->lease_until, until);
}

static void
note_event(void *opaque, const char *text)
{
    struct fixture *fixture = opaque;
    if (strstr(text, "event=run_lost") != NULL) {
        fixture->lost_at = fixture->now;
        fixture->lost_lease_until = fixture->lease_until;
    }
}

/* The directory shows the server, as its first incarnation unless it is LISTED_AGAIN. */
static void
list_server(const struct fixture *fixture)
{
    struct ms_directory_entry entry = {.start_unix_ms = FIRST_START_UNIX_MS,
                                       .id = "one",
                                       .address = "127.0.0.1:1",
                                       .dc = "dc",
                                       .service = "service",
                                       .capacity = {64000, 64000, 8}};
    entry.clock_ms = (int64_t)((double)(UPTIME_MS + fixture->now) * CLOCK_RATE);
    if (fixture->listed_again) {
        entry.start_unix_ms = fixture->start_unix_ms;
        entry.clock_ms = server_clock(fixture);
    }
    ms_engine_update_server(fixture->engine, &entry, fixture->now);
}

/* The directory shows the present incarnation of the server. */
static void
list_present_incarnation(struct fixture *fixture)
{
    fixture->listed_again = true;
    list_server(fixture);
}

/* Creates the engine of the next leader, which waits WAIT_MS for our leases of the one before. */
static void
begin_term(struct fixture *fixture, int64_t wait_ms)
{
    static struct ms_queue_rule queues[] = {
        {.name = "q0", .service = "service", .failures_max = 9}};
    static const struct ms_policy policy = {.version = 1, .queues = queues, .queue_count = 1};
    struct ms_engine_limits limits;
    ms_engine_limits_defaults(&limits);
    limits.lease_ms = LEASE_MS;
    limits.lease_max_ms = LEASE_MAX_MS;
    ms_engine_free(fixture->engine);
    fixture->epoch++;
    fixture->engine = ms_engine_new(&limits, fixture->epoch, fixture->now + wait_ms, fixture->now);
    ms_engine_set_policy(fixture->engine, &policy);
    ms_engine_set_log(fixture->engine, note_event, fixture);
    list_server(fixture);
    fixture->job.state = fixture->state;
    ms_engine_add_job(fixture->engine, &fixture->job, fixture->now);
}

static void
fixture_init(struct fixture *fixture)
{
    memset(fixture, 0, sizeof(*fixture));
    fixture->now = 1000;
    fixture->started_at = -UPTIME_MS;
    fixture->start_unix_ms = FIRST_START_UNIX_MS;
    fixture->reachable = true;
    g_strlcpy(fixture->job.id, "job", sizeof(fixture->job.id));
    simple_spec(&fixture->job.spec, "job", "q0", 1, 1);
    fixture->job.spec.steps[0].estimate_ms = 100000;
    begin_term(fixture, 0);
}

/* Submits the job, of one task. */
static void
submit(struct fixture *fixture)
{
    fixture->job.accepted = true;
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

/* The server starts again under its id: it has nothing of before. */
static void
restart(struct fixture *fixture)
{
    fixture->started_at = fixture->now;
    fixture->start_unix_ms += 1000;
    fixture->runs = false;
    fixture->lease_until = 0;
}

static void
answer_renewal(struct fixture *fixture, const struct ms_engine_action *renewal)
{
    struct ms_reported_run running = {.task = "job.0.0.0", .run = 1, .percent = 10};
    struct ms_server_report report = {.start_unix_ms = fixture->start_unix_ms,
                                      .clock_ms = server_clock(fixture),
                                      .running = &running,
                                      .running_count = fixture->runs};
    bool answers = fixture->reachable && !fixture->loses_answers;
    if (fixture->reachable) {
        extend_lease(fixture, renewal->deadline_ms);
    }
    ms_engine_on_renewal_answer(fixture->engine, renewal,
                                answers ? MS_ORDER_OK : MS_ORDER_NO_ANSWER,
                                answers ? &report : NULL, fixture->now, fixture->now);
}

static void
answer_start(struct fixture *fixture, const struct ms_engine_action *start)
{
    bool answers = fixture->reachable && !fixture->loses_answers;
    if (fixture->reachable) {
        fixture->runs = true;
        fixture->start_count++;
        extend_lease(fixture, start->deadline_ms);
    }
    ms_engine_on_order_answer(fixture->engine, start, answers ? MS_ORDER_OK : MS_ORDER_NO_ANSWER,
                              answers ? server_clock(fixture) : 0, fixture->now);
}

static void
keep_state(struct fixture *fixture, const struct ms_engine_action *store)
{
    const struct ms_store_record *record = g_ptr_array_index(store->records, 0);
    if (fixture->state != NULL) {
        g_bytes_unref(fixture->state);
    }
    fixture->state = g_bytes_ref(record->value);
    fixture->job.state_read_at = fixture->now;
    ms_engine_on_stored(fixture->engine, fixture->now);
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
        keep_state(fixture, action);
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
 * The server starts again, unseen, and carries out the start of the job's task.  Its answer is
 * lost, and the server is cut off, if LOST.
 */
static void
start_after_unseen_restart(struct fixture *fixture, bool lost)
{
    run(fixture, 500);
    restart(fixture);
    fixture->loses_answers = lost;
    submit(fixture);
    while (fixture->start_count == 0) {
        run(fixture, TICK_MS);
    }
    fixture->loses_answers = false;
    fixture->reachable = !lost;
}

/* The run has been given up, not before the lease has ended. */
static void
expect_lease_waited_for(struct fixture *fixture)
{
    run(fixture, SETTLED_MS);
    ck_assert_int_gt(fixture->lost_at, 0);
    ck_assert_int_ge(fixture->lost_at, fixture->lost_lease_until);
    fixture_clear(fixture);
}

/*
 * Guards against a second run beside the first one (twice-f80d5c1f): a leader resigns and a server
 * is cut off, just after a start whose answer is lost.  The server had started again, which no
 * leader knows, so that it holds the longest lease that it grants, longer than ours.
 */
START_TEST(start_without_answer_of_a_leader_that_resigned_is_waited_for)
{
    struct fixture fixture;
    fixture_init(&fixture);
    start_after_unseen_restart(&fixture, true);
    begin_term(&fixture, RESIGNED_WAIT_MS);
    expect_lease_waited_for(&fixture);
}
END_TEST

/* The same if a start was under way when its leader resigned, and arrives a second later. */
START_TEST(start_under_way_when_its_leader_resigned_is_waited_for)
{
    struct fixture fixture;
    fixture_init(&fixture);
    run(&fixture, 500);
    restart(&fixture);
    submit(&fixture);
    struct ms_engine_action *start = take_start(&fixture);
    begin_term(&fixture, RESIGNED_WAIT_MS);
    fixture.reachable = false;
    run(&fixture, ORDER_TIMEOUT_MS);
    fixture.runs = true;
    extend_lease(&fixture, start->deadline_ms);
    ms_engine_action_free(start);
    expect_lease_waited_for(&fixture);
}
END_TEST

/* The same if the next leader has stored when the lease ends, and resigns as well. */
START_TEST(end_of_a_frozen_lease_covers_a_start_without_answer)
{
    struct fixture fixture;
    fixture_init(&fixture);
    start_after_unseen_restart(&fixture, true);
    begin_term(&fixture, RESIGNED_WAIT_MS);
    run(&fixture, FROZEN_MS);
    begin_term(&fixture, RESIGNED_WAIT_MS);
    expect_lease_waited_for(&fixture);
}
END_TEST

/*
 * Guards against a run that a new leader takes for one of before a restart of which the directory
 * tells: the server had confirmed the start after it, so that its clock had told of the restart.
 */
START_TEST(run_confirmed_after_a_restart_is_not_lost_with_it)
{
    struct fixture fixture;
    fixture_init(&fixture);
    start_after_unseen_restart(&fixture, false);
    fixture.reachable = false;
    ms_engine_cancel_job(fixture.engine, "job", fixture.now); /* its state is stored */
    run(&fixture, STORE_MS);
    begin_term(&fixture, RESIGNED_WAIT_MS);
    list_present_incarnation(&fixture);
    expect_lease_waited_for(&fixture);
}
END_TEST

/*
 * The same if the lease is one of ours again: the record names the incarnation that has confirmed
 * the run, while the directory goes on showing the one before for a while.
 */
START_TEST(run_of_the_incarnation_in_its_record_is_not_lost_with_the_one_listed)
{
    struct fixture fixture;
    fixture_init(&fixture);
    start_after_unseen_restart(&fixture, false);
    run(&fixture, 2 * LEASE_MAX_MS);
    fixture.reachable = false;
    ms_engine_cancel_job(fixture.engine, "job", fixture.now); /* its state is stored */
    run(&fixture, STORE_MS);
    begin_term(&fixture, RESIGNED_WAIT_MS);
    run(&fixture, FROZEN_MS);
    list_present_incarnation(&fixture);
    expect_lease_waited_for(&fixture);
}
END_TEST

/* The same if a report tells of the restart: the run goes on, and is found again. */
START_TEST(run_begun_after_a_restart_that_a_report_tells_of_goes_on)
{
    struct fixture fixture;
    fixture_init(&fixture);
    start_after_unseen_restart(&fixture, true);
    begin_term(&fixture, RESIGNED_WAIT_MS);
    fixture.reachable = true;
    run(&fixture, SETTLED_MS);
    ck_assert_int_eq(fixture.lost_at, 0);
    ck_assert_int_eq(fixture.start_count, 1);
    fixture_clear(&fixture);
}
END_TEST

/*
 * Guards against a lease that a new leader extends without knowing the clock that it goes by: its
 * renewals arrive and their answers are lost, and the clock in the directory is an earlier one.
 */
START_TEST(first_renewals_of_a_leader_do_not_extend_a_lease)
{
    struct fixture fixture;
    fixture_init(&fixture);
    start_after_unseen_restart(&fixture, true);
    fixture.reachable = true;
    fixture.loses_answers = true;
    begin_term(&fixture, RESIGNED_WAIT_MS);
    expect_lease_waited_for(&fixture);
}
END_TEST

/* The same for the first renewal alone, of a leader that takes over long after the one before has
 * resigned: its arrival is later than that of any call of the leader before. */
START_TEST(first_renewal_of_a_late_leader_does_not_extend_a_lease)
{
    struct fixture fixture;
    fixture_init(&fixture);
    start_after_unseen_restart(&fixture, true);
    fixture.reachable = true;
    fixture.loses_answers = true;
    fixture.now += LATE_LEADER_MS;
    begin_term(&fixture, RESIGNED_WAIT_MS - LATE_LEADER_MS);
    expect_lease_waited_for(&fixture);
}
END_TEST

/* Guards against a wait that is longer than needed: the log says that the server had confirmed the
 * run, so that its lease is one of ours. */
START_TEST(confirmed_run_is_given_up_when_our_lease_has_ended)
{
    struct fixture fixture;
    fixture_init(&fixture);
    run(&fixture, LEASE_MAX_MS - LEASE_MS + 500); /* the lease is one of ours again */
    submit(&fixture);
    run(&fixture, STORED_MS);
    fixture.reachable = false;
    int64_t resigned_at = fixture.now;
    begin_term(&fixture, RESIGNED_WAIT_MS);
    run(&fixture, 1000);
    begin_term(&fixture, RESIGNED_WAIT_MS); /* does not start the wait anew */
    run(&fixture, SETTLED_MS);
    ck_assert_int_ge(fixture.lost_at, fixture.lost_lease_until);
    ck_assert_int_le(fixture.lost_at, resigned_at + RESIGNED_WAIT_MS + GIVEN_UP_MS);
    fixture_clear(&fixture);
}
END_TEST

/*
 * Guards against a run that the log takes for confirmed although its server holds the longest
 * lease: an answer has told, by its clock, that the server has started again.
 */
START_TEST(run_confirmed_by_a_new_incarnation_is_waited_for)
{
    struct fixture fixture;
    fixture_init(&fixture);
    start_after_unseen_restart(&fixture, false);
    fixture.reachable = false;
    ms_engine_cancel_job(fixture.engine, "job", fixture.now); /* its state is stored */
    run(&fixture, STORE_MS);
    begin_term(&fixture, RESIGNED_WAIT_MS);
    expect_lease_waited_for(&fixture);
}
END_TEST

/*
 * Guards against the same on a server that was idle for long: its clock is slower than assumed when
 * the deadline of the start was computed, so that its lease is longer than the one requested.
 */
START_TEST(run_on_a_server_that_was_idle_for_long_is_waited_for)
{
    struct fixture fixture;
    fixture_init(&fixture);
    run(&fixture, IDLE_MS);
    submit(&fixture);
    while (fixture.start_count == 0) {
        run(&fixture, TICK_MS);
    }
    fixture.reachable = false;
    begin_term(&fixture, RESIGNED_WAIT_MS);
    expect_lease_waited_for(&fixture);
}
END_TEST

/*
 * Guards against a second run beside the first one: the directory tells the next leader that the
 * server has started again, but not whether a start without an answer, of the leader before, has
 * reached it before or after.
 */
START_TEST(start_without_answer_is_waited_for_if_the_next_leader_notices_a_restart)
{
    struct fixture fixture;
    fixture_init(&fixture);
    start_after_unseen_restart(&fixture, true);
    begin_term(&fixture, RESIGNED_WAIT_MS);
    run(&fixture, NOTICED_MS);
    list_present_incarnation(&fixture);
    expect_lease_waited_for(&fixture);
}
END_TEST

/*
 * Guards against a second run beside the first one: the log and the directory tell the next leader
 * that the server has started again since a start of the leader before, which the new incarnation
 * carries out seconds late.
 */
START_TEST(late_start_of_the_leader_before_is_waited_for_after_a_restart)
{
    struct fixture fixture;
    fixture_init(&fixture);
    run(&fixture, 500);
    submit(&fixture);
    struct ms_engine_action *start = take_start(&fixture);
    restart(&fixture);
    fixture.reachable = false;
    fixture.listed_again = true;
    begin_term(&fixture, RESIGNED_WAIT_MS);
    run(&fixture, LATE_START_MS);
    fixture.runs = true;
    extend_lease(&fixture, start->deadline_ms);
    ms_engine_action_free(start);
    expect_lease_waited_for(&fixture);
}
END_TEST

/*
 * Guards against the same if the leader before has noticed the restart, and the job's state has
 * been stored since: it names the new incarnation, so that the next leader sees no restart.
 */
START_TEST(late_start_is_waited_for_by_the_leader_after_the_one_that_noticed_a_restart)
{
    struct fixture fixture;
    fixture_init(&fixture);
    run(&fixture, 500);
    submit(&fixture);
    struct ms_engine_action *start = take_start(&fixture);
    restart(&fixture);
    fixture.reachable = false;
    ms_engine_on_order_answer(fixture.engine, start, MS_ORDER_NO_ANSWER, 0, fixture.now);
    list_present_incarnation(&fixture);
    run(&fixture, FROZEN_MS);
    ms_engine_cancel_job(fixture.engine, "job", fixture.now); /* its state is stored */
    run(&fixture, STORE_MS);
    begin_term(&fixture, RESIGNED_WAIT_MS);
    run(&fixture, LATE_START_MS);
    fixture.runs = true;
    extend_lease(&fixture, start->deadline_ms);
    ms_engine_action_free(start);
    expect_lease_waited_for(&fixture);
}
END_TEST

/* Guards against a wait that is longer than needed: the log says that the incarnation before had
 * confirmed the run, so that it has ended with it. */
START_TEST(confirmed_run_is_given_up_when_the_next_leader_notices_a_restart)
{
    struct fixture fixture;
    fixture_init(&fixture);
    run(&fixture, LEASE_MAX_MS - LEASE_MS + 500); /* the lease is one of ours again */
    submit(&fixture);
    run(&fixture, STORED_MS);
    restart(&fixture);
    fixture.reachable = false;
    begin_term(&fixture, RESIGNED_WAIT_MS);
    run(&fixture, NOTICED_MS);
    list_present_incarnation(&fixture);
    run(&fixture, GIVEN_UP_MS);
    ck_assert_int_gt(fixture.lost_at, 0);
    fixture_clear(&fixture);
}
END_TEST

/*
 * Guards against a run that is given up at once while it goes on, as the first answer tells a new
 * leader that the server has started again: an earlier leader's start has reached that incarnation.
 */
START_TEST(run_at_a_new_incarnation_that_answers_once_is_waited_for)
{
    struct fixture fixture;
    fixture_init(&fixture);
    start_after_unseen_restart(&fixture, true);
    fixture.reachable = true;
    begin_term(&fixture, RESIGNED_WAIT_MS);
    run(&fixture, TICK_MS);
    fixture.reachable = false;
    expect_lease_waited_for(&fixture);
}
END_TEST

/*
 * Guards against the same with a run that the log confirms, on the incarnation that it names: the
 * directory still shows the one before.
 */
START_TEST(run_confirmed_at_an_incarnation_that_the_directory_lacks_is_waited_for)
{
    struct fixture fixture;
    fixture_init(&fixture);
    run(&fixture, 500);
    restart(&fixture);
    list_present_incarnation(&fixture);
    run(&fixture, LEASE_MAX_MS - LEASE_MS + 500); /* the lease is one of ours again */
    submit(&fixture);
    run(&fixture, 2 * STORED_MS);
    ck_assert_uint_eq(fixture.start_count, 1);
    fixture.listed_again = false;
    begin_term(&fixture, RESIGNED_WAIT_MS);
    run(&fixture, TICK_MS);
    fixture.reachable = false;
    expect_lease_waited_for(&fixture);
}
END_TEST

/*
 * Guards against a lease that the log takes for one of ours: a leader had frozen it, the server has
 * answered, and nothing of its lease is known yet when this leader resigns.
 */
START_TEST(lease_of_a_server_that_was_frozen_is_not_stored_as_ours)
{
    struct fixture fixture;
    fixture_init(&fixture);
    run(&fixture, 500);
    restart(&fixture);
    submit(&fixture);
    struct ms_engine_action *start = take_start(&fixture);
    fixture.reachable = false;
    begin_term(&fixture, RESIGNED_WAIT_MS);
    ms_engine_unlist_server(fixture.engine, "one", fixture.now);
    run(&fixture, ORDER_TIMEOUT_MS - 100);
    fixture.runs = true;
    extend_lease(&fixture, start->deadline_ms);
    ms_engine_action_free(start);
    fixture.reachable = true;
    list_present_incarnation(&fixture);
    run(&fixture, FROZEN_MS);
    fixture.reachable = false;
    begin_term(&fixture, RESIGNED_WAIT_MS);
    expect_lease_waited_for(&fixture);
}
END_TEST

/*
 * Guards against a wait that covers the time-out of a start but not that of a renewal, which is
 * longer: both were under way when their leader resigned.
 */
START_TEST(renewal_under_way_when_its_leader_resigned_is_waited_for)
{
    struct fixture fixture;
    fixture_init(&fixture);
    run(&fixture, 500);
    restart(&fixture);
    submit(&fixture);
    struct ms_engine_action *start = take_start(&fixture);
    int64_t deadline_ms = start->deadline_ms; /* that of a renewal sent now would be the same */
    begin_term(&fixture, RESIGNED_WAIT_MS);
    fixture.reachable = false;
    fixture.runs = true;
    extend_lease(&fixture, deadline_ms);
    ms_engine_action_free(start);
    run(&fixture, RENEWAL_UNDER_WAY_MS);
    extend_lease(&fixture, deadline_ms);
    expect_lease_waited_for(&fixture);
}
END_TEST

/*
 * Guards against a run that is given up while it goes on: a renewal of the leader before this one
 * has reached a new incarnation without runs and has given it the longest lease.
 */
START_TEST(lease_of_an_idle_new_incarnation_is_waited_for_after_a_takeover)
{
    struct fixture fixture;
    fixture_init(&fixture);
    run(&fixture, 500);
    restart(&fixture);
    extend_lease(&fixture, server_clock(&fixture) + LEASE_MAX_MS);
    fixture.now += 600;
    begin_term(&fixture, RESIGNED_WAIT_MS);
    list_present_incarnation(&fixture);
    submit(&fixture);
    while (fixture.start_count == 0) {
        run(&fixture, TICK_MS);
    }
    fixture.reachable = false;
    expect_lease_waited_for(&fixture);
}
END_TEST

TCase *
successor_cases(void)
{
    TCase *cases = tcase_create("successor");
    tcase_add_test(cases, start_without_answer_of_a_leader_that_resigned_is_waited_for);
    tcase_add_test(cases, start_under_way_when_its_leader_resigned_is_waited_for);
    tcase_add_test(cases, end_of_a_frozen_lease_covers_a_start_without_answer);
    tcase_add_test(cases, run_confirmed_after_a_restart_is_not_lost_with_it);
    tcase_add_test(cases, run_of_the_incarnation_in_its_record_is_not_lost_with_the_one_listed);
    tcase_add_test(cases, run_begun_after_a_restart_that_a_report_tells_of_goes_on);
    tcase_add_test(cases, first_renewals_of_a_leader_do_not_extend_a_lease);
    tcase_add_test(cases, first_renewal_of_a_late_leader_does_not_extend_a_lease);
    tcase_add_test(cases, confirmed_run_is_given_up_when_our_lease_has_ended);
    tcase_add_test(cases, run_confirmed_by_a_new_incarnation_is_waited_for);
    tcase_add_test(cases, run_on_a_server_that_was_idle_for_long_is_waited_for);
    tcase_add_test(cases, start_without_answer_is_waited_for_if_the_next_leader_notices_a_restart);
    tcase_add_test(cases, late_start_of_the_leader_before_is_waited_for_after_a_restart);
    tcase_add_test(cases,
                   late_start_is_waited_for_by_the_leader_after_the_one_that_noticed_a_restart);
    tcase_add_test(cases, confirmed_run_is_given_up_when_the_next_leader_notices_a_restart);
    tcase_add_test(cases, run_at_a_new_incarnation_that_answers_once_is_waited_for);
    tcase_add_test(cases, lease_of_a_server_that_was_frozen_is_not_stored_as_ours);
    tcase_add_test(cases, renewal_under_way_when_its_leader_resigned_is_waited_for);
    tcase_add_test(cases, lease_of_an_idle_new_incarnation_is_waited_for_after_a_takeover);
    tcase_add_test(cases, run_confirmed_at_an_incarnation_that_the_directory_lacks_is_waited_for);
    return cases;
}
