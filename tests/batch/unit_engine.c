/*
 * unit_engine.c - tests of the engine, most of them in the simulator.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "batch/unit.h"
#include "batch/simulator.h"
#include "batch/simulator_private.h"

#define EPOCH 1

static const struct simulator_faults no_faults;

START_TEST(gang_runs_before_dependent_step)
{
    struct simulator *simulator = simulator_new(1, 8, &no_faults, NULL);
    struct ms_batch_spec spec;
    simple_spec(&spec, "job", "q1", 6, 4);
    spec.steps = g_renew(struct ms_step, spec.steps, 2);
    spec.steps[0].gang = true;
    spec.steps[1] = spec.steps[0];
    spec.steps[1].depends_on = g_new0(uint32_t, 1);
    spec.steps[1].depends_on_count = 1;
    spec.step_count = 2;
    simulator_submit_job(simulator, &spec);
    simulator_run(simulator, 8000);
    expect_phase(simulator, "job", MS_PHASE_SUCCEEDED);
    struct simulator_counts counts;
    simulator_counts(simulator, &counts);
    ck_assert_uint_eq(counts.starts, 12);
    simulator_free(simulator);
}
END_TEST

START_TEST(top_priority_preempts_lower)
{
    struct simulator *simulator = simulator_new(2, 4, &no_faults, NULL);
    struct ms_batch_spec spec;
    simple_spec(&spec, "low", "q2", 32, 1);
    simulator_submit_job(simulator, &spec);
    simulator_run(simulator, 200);
    simple_spec(&spec, "top", "q0", 2, 8);
    spec.steps[0].gang = true;
    simulator_submit_job(simulator, &spec);
    simulator_run(simulator, 3400);
    expect_phase(simulator, "top", MS_PHASE_SUCCEEDED);
    simulator_run(simulator, 15000);
    expect_phase(simulator, "low", MS_PHASE_SUCCEEDED);
    simulator_free(simulator);
}
END_TEST

/*
 * When preempted capacity becomes free again soon, lower priorities must not take it at
 * once: the next task of the top priority would have to preempt them again.
 */
START_TEST(preempted_server_takes_only_top_priority_for_a_while)
{
    struct simulator *simulator = simulator_new(14, 1, &no_faults, NULL);
    struct ms_batch_spec spec;
    struct simulator_counts counts;
    simple_spec(&spec, "low", "q2", 8, 1);
    simulator_submit_job(simulator, &spec);
    simulator_run(simulator, 400);
    simple_spec(&spec, "top", "q0", 1, 8);
    simulator_submit_job(simulator, &spec);
    simulator_run(simulator, 700);
    simulator_counts(simulator, &counts);
    ck_assert_uint_eq(counts.starts, 9);
    simulator_cancel_job(simulator, "top");
    simulator_run(simulator, 700);
    simulator_counts(simulator, &counts);
    ck_assert_uint_eq(counts.starts, 9); /* the server is free, but takes only top-priority work */
    simulator_run(simulator, 8000);
    expect_phase(simulator, "low", MS_PHASE_SUCCEEDED);
    simulator_free(simulator);
}
END_TEST

/* ---- the engine alone, without the simulator ---- */

/* Directory entry of a server with 8 accelerators. */
static struct ms_directory_entry
directory_entry(const char *id)
{
    struct ms_directory_entry entry = {.start_unix_ms = 7, .capacity = {64000, 64000, 8}};
    g_strlcpy(entry.id, id, sizeof(entry.id));
    g_strlcpy(entry.address, "127.0.0.1:1", sizeof(entry.address));
    g_strlcpy(entry.dc, "dc", sizeof(entry.dc));
    g_strlcpy(entry.service, "service", sizeof(entry.service));
    g_strlcpy(entry.rack, "rack", sizeof(entry.rack));
    return entry;
}

static void
count_unlisted_servers(void *opaque, const char *text)
{
    uint32_t *count = opaque;
    *count += g_str_has_prefix(text, "event=server_unlisted");
}

/*
 * The removal of a server may be missed when the records since the last snapshot of the
 * directory have expired from the log; its absence in the next snapshot has to unlist it.
 */
START_TEST(servers_missing_from_snapshot_are_unlisted)
{
    struct ms_engine_limits limits;
    struct ms_directory_entry one = directory_entry("one");
    struct ms_directory_entry two = directory_entry("two");
    uint32_t unlisted = 0;
    ms_engine_limits_defaults(&limits);
    struct ms_engine *engine = ms_engine_new(&limits, EPOCH, 0, 0);
    ms_engine_set_log(engine, count_unlisted_servers, &unlisted);
    ms_engine_begin_directory_snapshot(engine);
    ms_engine_update_server(engine, &one, 0);
    ms_engine_update_server(engine, &two, 0);
    ms_engine_end_directory_snapshot(engine, 0);
    ck_assert_uint_eq(unlisted, 0);
    ms_engine_begin_directory_snapshot(engine); /* the second snapshot does not contain "two" */
    ms_engine_update_server(engine, &one, 100);
    ms_engine_end_directory_snapshot(engine, 100);
    ck_assert_uint_eq(unlisted, 1);
    ms_engine_free(engine);
}
END_TEST

/* Runs ENGINE for MS and answers only stores; returns the number of orders except renewals. */
static uint32_t
run_without_answers(struct ms_engine *engine, int64_t from, int64_t ms)
{
    uint32_t orders = 0;
    for (int64_t now = from; now < from + ms; now += 50) {
        struct ms_engine_action *action = NULL;
        ms_engine_tick(engine, now, now);
        while ((action = ms_engine_pop_action(engine)) != NULL) {
            if (action->kind == MS_ENGINE_RENEW_LEASE) {
                ms_engine_on_renewal_answer(engine, action, MS_ORDER_NO_ANSWER, NULL, now, now);
            }
            else if (action->kind == MS_ENGINE_STORE) {
                ms_engine_on_stored(engine, now);
            }
            else {
                orders++;
                ms_engine_on_order_answer(engine, action, MS_ORDER_NO_ANSWER, 0, now);
            }
            ms_engine_action_free(action);
        }
    }
    return orders;
}

/* An engine with server "one", which has answered a lease renewal with REPORT, and JOB. */
static struct ms_engine *
new_engine_with_server(const struct ms_stored_job *job, const struct ms_server_report *report)
{
    static struct ms_queue_rule queues[] = {
        {.name = "q0", .service = "service", .failures_max = 3}};
    static const struct ms_policy policy = {.version = 1, .queues = queues, .queue_count = 1};
    struct ms_directory_entry entry = directory_entry("one");
    struct ms_engine_limits limits;
    ms_engine_limits_defaults(&limits);
    struct ms_engine *engine = ms_engine_new(&limits, EPOCH, 0, 0);
    ms_engine_set_policy(engine, &policy);
    ms_engine_begin_directory_snapshot(engine);
    ms_engine_update_server(engine, &entry, 0);
    ms_engine_end_directory_snapshot(engine, 0);
    ms_engine_tick(engine, 50, 50);
    struct ms_engine_action *renewal = ms_engine_pop_action(engine);
    ck_assert_int_eq(renewal->kind, MS_ENGINE_RENEW_LEASE);
    ms_engine_on_renewal_answer(engine, renewal, MS_ORDER_OK, report, 50, 60);
    ms_engine_action_free(renewal);
    ms_engine_add_job(engine, job, 60);
    return engine;
}

/* Orders to an unresponsive server must not be repeated; renewals show when it is back. */
START_TEST(unresponsive_server_gets_only_renewals)
{
    struct ms_server_report report = {.start_unix_ms = 7, .clock_ms = 1};
    struct ms_stored_job job = {.id = "job", .accepted = true};
    simple_spec(&job.spec, "job", "q0", 8, 1);
    struct ms_engine *engine = new_engine_with_server(&job, &report);
    /* Each of the 8 tasks is started once before the server is known to be unresponsive. */
    ck_assert_uint_eq(run_without_answers(engine, 100, 5000), 8);
    ms_engine_free(engine);
    ms_batch_spec_clear(&job.spec);
}
END_TEST

/* Answers the stores and starts of ENGINE at NOW with success; *RUN is set to the last started. */
static void
answer_orders(struct ms_engine *engine, int64_t now, uint32_t *run)
{
    struct ms_engine_action *action = NULL;
    ms_engine_tick(engine, now, now);
    while ((action = ms_engine_pop_action(engine)) != NULL) {
        if (action->kind == MS_ENGINE_STORE) {
            ms_engine_on_stored(engine, now);
        }
        else if (action->kind == MS_ENGINE_START) {
            *run = action->run;
            ms_engine_on_order_answer(engine, action, MS_ORDER_OK, now, now);
        }
        ms_engine_action_free(action);
    }
}

/*
 * A start order may reach a server just after it has restarted.  The new incarnation then
 * reports the run, which must be neither stopped nor started again.
 */
START_TEST(run_reported_by_new_incarnation_is_kept)
{
    struct ms_server_report report = {.start_unix_ms = 7, .clock_ms = 1};
    struct ms_reported_run reported_run = {.run = 1};
    struct ms_stored_job job = {.id = "job", .accepted = true};
    struct ms_directory_entry restarted = directory_entry("one");
    simple_spec(&job.spec, "job", "q0", 1, 1);
    job.spec.steps[0].gang = true; /* a lost run is recovered unless a member was placed again */
    ms_task_name_format(reported_run.task, "job", 0, 0, 0);
    struct ms_engine *engine = new_engine_with_server(&job, &report);
    uint32_t run = 0;
    for (int64_t now = 100; now < 500; now += 10) {
        answer_orders(engine, now, &run);
    }
    ck_assert_uint_eq(run, 1);
    restarted.start_unix_ms = 8; /* it restarted just before the start order reached it */
    ms_engine_update_server(engine, &restarted, 500);
    report.start_unix_ms = 8;
    report.running = &reported_run;
    report.running_count = 1;
    for (int64_t now = 510; now < 1500; now += 10) {
        struct ms_engine_action *action = NULL;
        ms_engine_tick(engine, now, now);
        while ((action = ms_engine_pop_action(engine)) != NULL) {
            ck_assert_int_ne(action->kind, MS_ENGINE_START);
            ck_assert_int_ne(action->kind, MS_ENGINE_STOP);
            bool is_renewal = action->kind == MS_ENGINE_RENEW_LEASE;
            if (is_renewal) {
                ms_engine_on_renewal_answer(engine, action, MS_ORDER_OK, &report, now, now);
            }
            ms_engine_action_free(action);
            if (is_renewal) {
                break; /* the next renewal is answered 10 ms later */
            }
        }
    }
    ms_engine_free(engine);
    ms_batch_spec_clear(&job.spec);
}
END_TEST

/* Pops all actions; stores succeed, orders are answered with ORDERS.  Counts starts of RUN. */
static uint32_t
answer_all_but_renewals(struct ms_engine *engine, enum ms_order_result orders, uint32_t run,
                        int64_t now)
{
    uint32_t starts = 0;
    struct ms_engine_action *action = NULL;
    ms_engine_tick(engine, now, now);
    while ((action = ms_engine_pop_action(engine)) != NULL) {
        if (action->kind == MS_ENGINE_STORE) {
            ms_engine_on_stored(engine, now);
        }
        else if (action->kind != MS_ENGINE_RENEW_LEASE) {
            starts += action->kind == MS_ENGINE_START && action->run == run;
            ms_engine_on_order_answer(engine, action, orders, now, now);
        }
        ms_engine_action_free(action);
    }
    return starts;
}

/* Reports to ENGINE the answer to the renewal of server ID that is pending at NOW. */
static void
answer_renewal(struct ms_engine *engine, const char *id, const struct ms_server_report *report,
               int64_t now)
{
    struct ms_engine_action renewal = {.kind = MS_ENGINE_RENEW_LEASE, .epoch = EPOCH};
    g_strlcpy(renewal.server, id, sizeof(renewal.server));
    ms_engine_on_renewal_answer(engine, &renewal, report != NULL ? MS_ORDER_OK : MS_ORDER_NO_ANSWER,
                                report, now, now);
}

/*
 * A gang that has ended as done must not run again because its server was unreachable for
 * longer than a lease: the end was acknowledged but not counted if the other members of the
 * gang were still being stopped.
 */
START_TEST(late_end_of_gang_counts_while_other_members_are_stopped)
{
    struct ms_server_report idle = {.start_unix_ms = 7, .clock_ms = 1};
    struct ms_reported_end end = {.position = 1, .run = 1, .end = MS_RUN_END_DONE};
    struct ms_stored_job job = {.id = "job", .accepted = true};
    struct ms_directory_entry two = directory_entry("two");
    uint32_t starts = 0;
    simple_spec(&job.spec, "job", "q0", 2, 8);
    job.spec.steps[0].gang = true;
    struct ms_engine *engine = new_engine_with_server(&job, &idle);
    ms_engine_update_server(engine, &two, 60);
    answer_all_but_renewals(engine, MS_ORDER_OK, 1, 70);
    answer_renewal(engine, "two", &idle, 80);
    for (int64_t now = 100; now < 500; now += 10) {
        starts += answer_all_but_renewals(engine, MS_ORDER_OK, 1, now);
    }
    ck_assert_uint_eq(starts, 2);
    answer_renewal(engine, "one", NULL, 20000); /* unresponsive, and its lease has expired */
    answer_all_but_renewals(engine, MS_ORDER_NO_ANSWER, 2, 20010);
    const char *name = "job.0.0.0";
    g_strlcpy(end.task, name, sizeof(end.task));
    struct ms_server_report ended = {
        .start_unix_ms = 7, .clock_ms = 20000, .ended = &end, .ended_count = 1};
    answer_renewal(engine, "one", &ended, 20020);
    starts = 0;
    for (int64_t now = 20030; now < 23000; now += 10) {
        starts += answer_all_but_renewals(engine, MS_ORDER_OK, 2, now);
        answer_renewal(engine, "two", &idle, now);
    }
    ck_assert_uint_eq(starts, 0);
    ms_engine_free(engine);
    ms_batch_spec_clear(&job.spec);
}
END_TEST

/* The end of a backoff must trigger a placement pass, not wait for the next change. */
START_TEST(failed_task_is_placed_again_after_backoff)
{
    const int64_t failed_at = 1000;
    const int64_t delay_max_ms = 150; /* the backoff of 100 ms plus time for placement */
    struct ms_server_report report = {.start_unix_ms = 7, .clock_ms = 1};
    struct ms_reported_end reported_end = {.position = 1, .run = 1, .end = MS_RUN_END_FAILED};
    struct ms_stored_job job = {.id = "job", .accepted = true};
    simple_spec(&job.spec, "job", "q0", 1, 1);
    ms_task_name_format(reported_end.task, "job", 0, 0, 0);
    struct ms_engine *engine = new_engine_with_server(&job, &report);
    uint32_t run = 0;
    for (int64_t now = 100; now < failed_at; now += 10) {
        answer_orders(engine, now, &run);
    }
    ck_assert_uint_eq(run, 1);
    struct ms_engine_action renewal = {
        .kind = MS_ENGINE_RENEW_LEASE, .epoch = EPOCH, .server = "one"};
    report.ended = &reported_end;
    report.ended_count = 1;
    ms_engine_on_renewal_answer(engine, &renewal, MS_ORDER_OK, &report, failed_at, failed_at);
    int64_t placed_at = failed_at;
    while (run == 1 && placed_at < failed_at + 1000) {
        placed_at += 10;
        answer_orders(engine, placed_at, &run);
    }
    ck_assert_uint_eq(run, 2);
    ck_assert_int_le(placed_at, failed_at + delay_max_ms);
    ms_engine_free(engine);
    ms_batch_spec_clear(&job.spec);
}
END_TEST

static void
note_success(void *opaque, const char *text)
{
    bool *succeeded = opaque;
    *succeeded |= strstr(text, "event=job_end") != NULL && strstr(text, "outcome=succeeded");
}

/*
 * Starts a gang of two members on server "one", whose report then lists only member 0: member 1
 * is lost and member 0 is being stopped.  Reports that member ENDED has ended as done; the
 * gang has succeeded, and none of its members may start again.
 */
static void
check_late_end_of_gang(uint32_t ended)
{
    struct ms_server_report report = {.start_unix_ms = 7, .clock_ms = 1};
    struct ms_reported_run reported_run = {.run = 1};
    struct ms_reported_end reported_end = {.position = 1, .run = 1, .end = MS_RUN_END_DONE};
    struct ms_stored_job job = {.id = "job", .accepted = true};
    bool succeeded = false;
    uint32_t run = 0;
    int64_t now = 100;
    simple_spec(&job.spec, "job", "q0", 2, 1);
    job.spec.steps[0].gang = true;
    ms_task_name_format(reported_run.task, "job", 0, 0, 0);
    ms_task_name_format(reported_end.task, "job", 0, 0, ended);
    struct ms_engine *engine = new_engine_with_server(&job, &report);
    ms_engine_set_log(engine, note_success, &succeeded);
    for (; now < 500; now += 10) {
        answer_orders(engine, now, &run);
    }
    report.running = &reported_run;
    report.running_count = 1;
    struct ms_engine_action renewal = {
        .kind = MS_ENGINE_RENEW_LEASE, .epoch = EPOCH, .server = "one"};
    ms_engine_on_renewal_answer(engine, &renewal, MS_ORDER_OK, &report, now, now);
    ck_assert(!succeeded);
    report.running_count = 0;
    report.ended = &reported_end;
    report.ended_count = 1;
    ms_engine_on_renewal_answer(engine, &renewal, MS_ORDER_OK, &report, now, now);
    ck_assert(succeeded);
    for (; now < 3000; now += 10) {
        answer_orders(engine, now, &run);
    }
    ck_assert_uint_eq(run, 1);
    ms_engine_free(engine);
    ms_batch_spec_clear(&job.spec);
}

/*
 * The members of a gang succeed together, so the end of one counts for all, also after the
 * ends of the others were lost with their server.
 */
START_TEST(gang_succeeds_with_one_end_after_others_were_lost)
{
    check_late_end_of_gang(0);
}
END_TEST

/* The end of a lost member was acknowledged and not counted while another one was stopped. */
START_TEST(gang_succeeds_with_end_of_lost_member_while_another_is_stopped)
{
    check_late_end_of_gang(1);
}
END_TEST

static void
count_jobs_without_queue(void *opaque, const char *text)
{
    uint32_t *count = opaque;
    *count += g_str_has_prefix(text, "event=queue_missing");
}

/*
 * An accepted job whose queue the policy does not have crashed the leader, and each next one.
 * It has to wait, with a log line, and must not keep others from starting.
 */
START_TEST(job_whose_queue_is_missing_waits)
{
    static struct ms_queue_rule queues[] = {
        {.name = "q0", .service = "service", .failures_max = 3},
        {.name = "removed", .service = "service", .failures_max = 3}};
    static const struct ms_policy restored = {.version = 2, .queues = queues, .queue_count = 2};
    struct ms_server_report report = {.start_unix_ms = 7, .clock_ms = 1};
    struct ms_stored_job orphan = {.id = "orphan", .accepted = true};
    struct ms_stored_job job = {.id = "job", .accepted = true};
    uint32_t lines = 0;
    uint32_t run = 0;
    simple_spec(&orphan.spec, "orphan", "removed", 4, 8);
    orphan.spec.steps[0].gang = true;
    simple_spec(&job.spec, "job", "q0", 1, 1);
    struct ms_engine *engine = new_engine_with_server(&orphan, &report);
    ms_engine_set_log(engine, count_jobs_without_queue, &lines);
    for (int64_t now = 100; now < 5000; now += 10) {
        answer_orders(engine, now, &run);
    }
    ck_assert_uint_eq(run, 0);
    ck_assert_uint_eq(lines, 1);
    ms_engine_add_job(engine, &job, 5000);
    for (int64_t now = 5000; now < 6000; now += 10) {
        answer_orders(engine, now, &run);
    }
    ck_assert_uint_eq(run, 1);
    ck_assert_uint_eq(lines, 1);
    ms_engine_set_policy(engine, &restored);
    struct ms_engine_stats stats;
    for (int64_t now = 6000; now < 7000; now += 10) {
        answer_orders(engine, now, &run);
    }
    ms_engine_stats(engine, &stats);
    ck_assert_uint_eq(stats.units_waiting, 1); /* it waits for capacity as any other job */
    ms_engine_free(engine);
    ms_batch_spec_clear(&orphan.spec);
    ms_batch_spec_clear(&job.spec);
}
END_TEST

/* ---- in the simulator ---- */

/* A new leader has to adopt the runs of the earlier one instead of starting them again. */
START_TEST(runs_survive_leader_change)
{
    struct simulator *simulator = simulator_new(3, 4, &no_faults, NULL);
    struct ms_batch_spec spec;
    struct simulator_counts counts;
    simple_spec(&spec, "job", "q1", 8, 1);
    simulator_submit_job(simulator, &spec);
    simulator_run(simulator, 300);
    simulator_change_leader(simulator, 1500);
    simulator_run(simulator, 8000);
    expect_phase(simulator, "job", MS_PHASE_SUCCEEDED);
    simulator_counts(simulator, &counts);
    ck_assert_uint_eq(counts.starts, 8);
    ck_assert_uint_eq(counts.leader_changes, 1);
    simulator_free(simulator);
}
END_TEST

/* The end of one member counts for all only if all have ended so: a gang runs again as a whole. */
START_TEST(gang_that_lost_a_member_runs_again)
{
    struct simulator *simulator = simulator_new(21, 4, &no_faults, NULL);
    struct ms_batch_spec spec;
    struct simulator_counts counts;
    simple_spec(&spec, "job", "q1", 3, 8);
    spec.steps[0].gang = true;
    simulator_submit_job(simulator, &spec);
    simulator_run(simulator, 300);
    simulator_lose_server(simulator, 0);
    simulator_run(simulator, 12000);
    expect_phase(simulator, "job", MS_PHASE_SUCCEEDED);
    simulator_counts(simulator, &counts);
    ck_assert_uint_eq(counts.starts, 6);
    simulator_free(simulator);
}
END_TEST

START_TEST(stalled_run_is_placed_elsewhere)
{
    struct simulator *simulator = simulator_new(11, 4, &no_faults, NULL);
    struct ms_batch_spec spec;
    struct simulator_counts counts;
    simple_spec(&spec, "job", "q0", 4, 8);
    simulator_submit_job(simulator, &spec);
    simulator_run(simulator, 300);
    simulator_stall_runs(simulator, 0, 8000);
    simulator_run(simulator, 5000);
    expect_phase(simulator, "job", MS_PHASE_SUCCEEDED);
    simulator_counts(simulator, &counts);
    ck_assert_uint_eq(counts.stopped, 1);
    simulator_free(simulator);
}
END_TEST

/* A best-effort task would lengthen the response times of a task with a latency target. */
START_TEST(best_effort_task_leaves_server_of_latency_sensitive_task)
{
    struct simulator *simulator = simulator_new(12, 1, &no_faults, NULL);
    struct ms_batch_spec spec;
    struct simulator_counts counts;
    simple_spec(&spec, "fill", "q2", 1, 0);
    spec.steps[0].best_effort = true;
    spec.steps[0].long_running = true;
    simulator_submit_job(simulator, &spec);
    simulator_run(simulator, 500);
    simple_spec(&spec, "serve", "q1", 1, 1);
    spec.steps[0].long_running = true;
    spec.steps[0].target_latency_ms = 50;
    simulator_submit_job(simulator, &spec);
    simulator_run(simulator, 1000);
    simulator_counts(simulator, &counts);
    ck_assert_uint_eq(counts.starts, 2);
    ck_assert_uint_eq(counts.stopped, 1);
    ck_assert_str_eq(simulator_violation(simulator), "");
    simulator_free(simulator);
}
END_TEST

START_TEST(cancelled_job_is_stopped)
{
    struct simulator *simulator = simulator_new(6, 4, &no_faults, NULL);
    struct ms_batch_spec spec;
    struct simulator_counts counts;
    simple_spec(&spec, "job", "q1", 8, 2);
    simulator_submit_job(simulator, &spec);
    simulator_run(simulator, 300);
    simulator_cancel_job(simulator, "job");
    simulator_run(simulator, 1000);
    expect_phase(simulator, "job", MS_PHASE_CANCELLED);
    simulator_counts(simulator, &counts);
    ck_assert_uint_eq(counts.stopped, 8);
    ck_assert_uint_eq(counts.done, 0);
    simulator_free(simulator);
}
END_TEST

START_TEST(job_fails_after_max_attempts)
{
    struct simulator_faults faults = {.run_failure = 1000};
    struct simulator *simulator = simulator_new(7, 6, &faults, NULL);
    struct ms_batch_spec spec;
    struct simulator_counts counts;
    simple_spec(&spec, "job", "q1", 1, 1);
    simulator_submit_job(simulator, &spec);
    simulator_run(simulator, 30000);
    expect_phase(simulator, "job", MS_PHASE_FAILED);
    simulator_counts(simulator, &counts);
    ck_assert_uint_eq(counts.starts, 3);
    simulator_free(simulator);
}
END_TEST

START_TEST(occurrences_start_on_time)
{
    struct simulator *simulator = simulator_new(8, 4, &no_faults, NULL);
    struct ms_batch_spec spec;
    struct simulator_counts counts;
    simple_spec(&spec, "job", "q1", 1, 1);
    spec.repeat_count = 3;
    spec.start_ms = 3000;
    spec.interval_ms = 2000;
    simulator_submit_job(simulator, &spec);
    simulator_run(simulator, 1900);
    simulator_counts(simulator, &counts);
    ck_assert_uint_eq(counts.starts, 0);
    simulator_run(simulator, 3500);
    simulator_counts(simulator, &counts);
    ck_assert_uint_eq(counts.starts, 2);
    simulator_run(simulator, 7000);
    expect_phase(simulator, "job", MS_PHASE_SUCCEEDED);
    simulator_free(simulator);
}
END_TEST

/* Sets the end of the run on the server that has one, other than SKIP; it ends as failed. */
static void
fail_run_at(struct simulator *simulator, const struct simulated_server *skip, int64_t ends_at)
{
    for (size_t i = 0; i < simulator->server_count; i++) {
        const struct simulated_server *server = &simulator->servers[i];
        if (server != skip && server->runs->len > 0) {
            struct run *run = &g_array_index(server->runs, struct run, 0);
            run->ends_at = ends_at;
            run->will_fail = true;
        }
    }
}

#define ENDING_TASK_INTERVAL_MS 50 /* from one end of a task of the wide step to the next */
#define ROUND_MS 50                /* from one small job to the next */
#define STATE_INTERVAL_MS 300      /* the wide job is stored once in this time at most */

/* Run time of TASK: the tasks of the job "wide" end one after the other, others soon. */
static int64_t
staggered_run_ms(void *opaque, const char *task)
{
    (void)opaque;
    const char *index = strrchr(task, '.') + 1;
    return g_str_has_prefix(task, "wide.") ? ENDING_TASK_INTERVAL_MS * (1 + atoi(index)) : 100;
}

/*
 * Load: the tasks of a wide step end one by one while other jobs start, 20 a second.  Guards
 * against a start that also stores the states of other jobs: the state of a wide step holds all its
 * tasks, and every host reads it.
 */
START_TEST(urgent_store_leaves_other_states_alone)
{
    const struct simulator_speeds speeds = {.run_ms = staggered_run_ms};
    const int rounds = 60; /* of ROUND_MS */
    struct simulator *simulator = simulator_new_with_speeds(41, 16, &no_faults, &speeds, NULL);
    struct simulator_counts counts;
    struct ms_batch_spec spec;
    simple_spec(&spec, "wide", "q2", 60, 1);
    simulator_submit_job(simulator, &spec);
    for (int i = 0; i < rounds; i++) {
        char id[MS_JOB_ID_MAX];
        snprintf(id, sizeof(id), "small%d", i);
        simple_spec(&spec, id, "q1", 1, 1);
        simulator_submit_job(simulator, &spec);
        simulator_run(simulator, ROUND_MS);
    }
    simulator_counts(simulator, &counts);
    ck_assert_str_eq(simulator_violation(simulator), "");
    /* Two for each small job; for the wide one its start, its end and those in between. */
    ck_assert_uint_le(counts.states_stored, 2 * rounds + 2 + rounds * ROUND_MS / STATE_INTERVAL_MS);
    simulator_free(simulator);
}
END_TEST

/*
 * A failure that its server reports late, when the next run of the task has started, must count:
 * the end is acknowledged, and the task may not be started more often than its queue allows.
 */
START_TEST(late_failure_counts_beside_later_run)
{
    struct simulator *simulator = simulator_new(34, 3, &no_faults, NULL);
    struct ms_batch_spec spec;
    size_t first = 0;
    simple_spec(&spec, "job", "q1", 1, 8);
    spec.steps[0].estimate_ms = 100000;
    simulator_submit_job(simulator, &spec);
    simulator_run(simulator, 300);
    while (simulator->servers[first].runs->len == 0) {
        first++;
    }
    fail_run_at(simulator, NULL, simulator->now + 300);
    simulator_disconnect_server(simulator, first, 10000);
    for (int i = 0; i < 1300; i++) { /* the second run goes on until the first server is back */
        simulator_run(simulator, 10);
        fail_run_at(simulator, &simulator->servers[first], simulator->now + 500);
    }
    for (int i = 0; i < 1000; i++) {
        simulator_run(simulator, 10);
        fail_run_at(simulator, NULL, simulator->now);
    }
    guint acked = GPOINTER_TO_UINT(g_hash_table_lookup(simulator->acked_failures, "job.0.0.0"));
    ck_assert_uint_le(acked, TASK_FAILURES_MAX);
    ck_assert_str_eq(simulator_violation(simulator), "");
    simulator_free(simulator);
}
END_TEST

TCase *
engine_cases(void)
{
    TCase *cases = tcase_create("engine");
    tcase_add_test(cases, late_failure_counts_beside_later_run);
    tcase_add_test(cases, gang_runs_before_dependent_step);
    tcase_add_test(cases, top_priority_preempts_lower);
    tcase_add_test(cases, preempted_server_takes_only_top_priority_for_a_while);
    tcase_add_test(cases, servers_missing_from_snapshot_are_unlisted);
    tcase_add_test(cases, unresponsive_server_gets_only_renewals);
    tcase_add_test(cases, failed_task_is_placed_again_after_backoff);
    tcase_add_test(cases, run_reported_by_new_incarnation_is_kept);
    tcase_add_test(cases, late_end_of_gang_counts_while_other_members_are_stopped);
    tcase_add_test(cases, gang_succeeds_with_one_end_after_others_were_lost);
    tcase_add_test(cases, gang_succeeds_with_end_of_lost_member_while_another_is_stopped);
    tcase_add_test(cases, job_whose_queue_is_missing_waits);
    tcase_add_test(cases, runs_survive_leader_change);
    tcase_add_test(cases, gang_that_lost_a_member_runs_again);
    tcase_add_test(cases, stalled_run_is_placed_elsewhere);
    tcase_add_test(cases, best_effort_task_leaves_server_of_latency_sensitive_task);
    tcase_add_test(cases, cancelled_job_is_stopped);
    tcase_add_test(cases, job_fails_after_max_attempts);
    tcase_add_test(cases, occurrences_start_on_time);
    tcase_add_test(cases, urgent_store_leaves_other_states_alone);
    return cases;
}
