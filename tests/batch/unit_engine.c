/*
 * unit_engine.c - the engine's promises one by one, in the model world.
 */
#include <string.h>

#include "batch/unit.h"
#include "batch/world.h"

static const struct world_faults no_faults;

static void
expect_good(struct world *world, const char *id, enum ms_phase phase)
{
    ck_assert_str_eq(world_broken(world), "");
    ck_assert_int_eq(world_phase(world, id), phase);
}

START_TEST(a_gang_and_its_next_step_run)
{
    struct world *world = world_new(1, 8, &no_faults, NULL);
    struct ms_batch_spec spec;
    simple_spec(&spec, "job", "q1", 6, 4);
    spec.steps = g_renew(struct ms_step, spec.steps, 2);
    spec.steps[0].gang = true;
    spec.steps[1] = spec.steps[0];
    spec.steps[1].depends_on = g_new0(uint32_t, 1);
    spec.steps[1].depends_on_count = 1;
    spec.step_count = 2;
    world_submit(world, &spec);
    world_run(world, 8000);
    expect_good(world, "job", MS_PHASE_SUCCEEDED);
    struct world_counts counts;
    world_counts(world, &counts);
    ck_assert_uint_eq(counts.starts, 12);
    world_free(world);
}
END_TEST

START_TEST(top_priority_reclaims_room)
{
    struct world *world = world_new(2, 4, &no_faults, NULL);
    struct ms_batch_spec spec;
    simple_spec(&spec, "low", "q2", 32, 1);
    world_submit(world, &spec);
    world_run(world, 200);
    simple_spec(&spec, "top", "q0", 2, 8);
    spec.steps[0].gang = true;
    world_submit(world, &spec);
    world_run(world, 3400);
    expect_good(world, "top", MS_PHASE_SUCCEEDED);
    world_run(world, 15000);
    expect_good(world, "low", MS_PHASE_SUCCEEDED);
    world_free(world);
}
END_TEST

START_TEST(reclaimed_room_is_left_to_the_top_priority_for_a_while)
{
    struct world *world = world_new(14, 1, &no_faults, NULL);
    struct ms_batch_spec spec;
    struct world_counts counts;
    simple_spec(&spec, "low", "q2", 8, 1);
    world_submit(world, &spec);
    world_run(world, 400);
    simple_spec(&spec, "top", "q0", 1, 8);
    world_submit(world, &spec);
    world_run(world, 700);
    world_counts(world, &counts);
    ck_assert_uint_eq(counts.starts, 9);
    world_cancel(world, "top");
    world_run(world, 700);
    world_counts(world, &counts);
    ck_assert_uint_eq(counts.starts, 9); /* the room is free, and kept */
    world_run(world, 8000);
    expect_good(world, "low", MS_PHASE_SUCCEEDED);
    world_free(world);
}
END_TEST

/* ---- the engine alone, without a world ---- */

/* Entry of a server with 8 accelerators. */
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
count_unlisted(void *opaque, const char *text)
{
    uint32_t *count = opaque;
    *count += g_str_has_prefix(text, "event=server_unlisted");
}

START_TEST(servers_that_a_new_directory_does_not_have_are_gone)
{
    struct ms_engine_limits limits;
    struct ms_directory_entry one = directory_entry("one");
    struct ms_directory_entry two = directory_entry("two");
    uint32_t unlisted = 0;
    ms_engine_limits_defaults(&limits);
    struct ms_engine *engine = ms_engine_new(&limits, 1, 0, 0);
    ms_engine_set_log(engine, count_unlisted, &unlisted);
    ms_engine_begin_directory_snapshot(engine);
    ms_engine_update_server(engine, &one, 0);
    ms_engine_update_server(engine, &two, 0);
    ms_engine_end_directory_snapshot(engine, 0);
    ck_assert_uint_eq(unlisted, 0);
    ms_engine_begin_directory_snapshot(engine); /* the records in between have expired */
    ms_engine_update_server(engine, &one, 100);
    ms_engine_end_directory_snapshot(engine, 100);
    ck_assert_uint_eq(unlisted, 1);
    ms_engine_free(engine);
}
END_TEST

/* Renewals of a server without an answer; returns how many other orders were given. */
static uint32_t
let_holds_fail(struct ms_engine *engine, int64_t from, int64_t ms)
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

/* An engine with one server, "one", that was held, and JOB. */
static struct ms_engine *
held_engine(const struct ms_stored_job *job, const struct ms_server_report *report)
{
    static struct ms_queue_rule queues[] = {
        {.name = "q0", .service = "service", .attempts_max = 3}};
    static const struct ms_policy policy = {.version = 1, .queues = queues, .queue_count = 1};
    struct ms_directory_entry entry = directory_entry("one");
    struct ms_engine_limits limits;
    ms_engine_limits_defaults(&limits);
    struct ms_engine *engine = ms_engine_new(&limits, 1, 0, 0);
    ms_engine_set_policy(engine, &policy);
    ms_engine_begin_directory_snapshot(engine);
    ms_engine_update_server(engine, &entry, 0);
    ms_engine_end_directory_snapshot(engine, 0);
    ms_engine_tick(engine, 50, 50);
    struct ms_engine_action *hold = ms_engine_pop_action(engine);
    ck_assert_int_eq(hold->kind, MS_ENGINE_RENEW_LEASE);
    ms_engine_on_renewal_answer(engine, hold, MS_ORDER_OK, report, 50, 60);
    ms_engine_action_free(hold);
    ms_engine_add_job(engine, job, 60);
    return engine;
}

START_TEST(a_silent_server_gets_renewals_only)
{
    struct ms_server_report report = {.start_unix_ms = 7, .clock_ms = 1};
    struct ms_stored_job job = {.id = "job", .accepted = true};
    simple_spec(&job.spec, "job", "q0", 8, 1);
    struct ms_engine *engine = held_engine(&job, &report);
    /* The first start of each task finds out that the server is silent. */
    ck_assert_uint_eq(let_holds_fail(engine, 100, 5000), 8);
    ms_engine_free(engine);
    ms_batch_spec_clear(&job.spec);
}
END_TEST

/* Answers what ENGINE orders at NOW as a sound server would; *RUN is the last start's. */
static void
obey(struct ms_engine *engine, int64_t now, uint32_t *run)
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

START_TEST(a_start_that_a_new_life_has_answered_counts)
{
    struct ms_server_report report = {.start_unix_ms = 7, .clock_ms = 1};
    struct ms_reported_run row = {.run = 1};
    struct ms_stored_job job = {.id = "job", .accepted = true};
    struct ms_directory_entry reborn = directory_entry("one");
    simple_spec(&job.spec, "job", "q0", 1, 1);
    job.spec.steps[0].gang = true; /* runs of a gang are not taken up again one by one */
    ms_task_name_format(row.task, "job", 0, 0, 0);
    struct ms_engine *engine = held_engine(&job, &report);
    uint32_t run = 0;
    for (int64_t now = 100; now < 500; now += 10) {
        obey(engine, now, &run);
    }
    ck_assert_uint_eq(run, 1);
    reborn.start_unix_ms = 8; /* it started anew just before that start reached it */
    ms_engine_update_server(engine, &reborn, 500);
    report.start_unix_ms = 8;
    report.running = &row;
    report.running_count = 1;
    for (int64_t now = 510; now < 1500; now += 10) {
        struct ms_engine_action *action = NULL;
        ms_engine_tick(engine, now, now);
        while ((action = ms_engine_pop_action(engine)) != NULL) {
            ck_assert_int_ne(action->kind, MS_ENGINE_START);
            ck_assert_int_ne(action->kind, MS_ENGINE_STOP);
            bool hold = action->kind == MS_ENGINE_RENEW_LEASE;
            if (hold) {
                ms_engine_on_renewal_answer(engine, action, MS_ORDER_OK, &report, now, now);
            }
            ms_engine_action_free(action);
            if (hold) {
                break; /* the next one is answered 10 ms later */
            }
        }
    }
    ms_engine_free(engine);
    ms_batch_spec_clear(&job.spec);
}
END_TEST

START_TEST(a_failed_task_is_placed_again_when_its_backoff_is_over)
{
    const int64_t failed_at = 1000;
    const int64_t soon_ms = 150; /* a backoff of 100 ms, and time to place */
    struct ms_server_report report = {.start_unix_ms = 7, .clock_ms = 1};
    struct ms_reported_end row = {.position = 1, .run = 1, .end = MS_RUN_END_FAILED};
    struct ms_stored_job job = {.id = "job", .accepted = true};
    simple_spec(&job.spec, "job", "q0", 1, 1);
    ms_task_name_format(row.task, "job", 0, 0, 0);
    struct ms_engine *engine = held_engine(&job, &report);
    uint32_t run = 0;
    for (int64_t now = 100; now < failed_at; now += 10) {
        obey(engine, now, &run);
    }
    ck_assert_uint_eq(run, 1);
    struct ms_engine_action hold = {.kind = MS_ENGINE_RENEW_LEASE, .server = "one"};
    report.ended = &row;
    report.ended_count = 1;
    ms_engine_on_renewal_answer(engine, &hold, MS_ORDER_OK, &report, failed_at, failed_at);
    int64_t again_at = failed_at;
    while (run == 1 && again_at < failed_at + 1000) {
        again_at += 10;
        obey(engine, again_at, &run);
    }
    ck_assert_uint_eq(run, 2);
    ck_assert_int_le(again_at, failed_at + soon_ms);
    ms_engine_free(engine);
    ms_batch_spec_clear(&job.spec);
}
END_TEST

START_TEST(a_take_over_keeps_what_runs)
{
    struct world *world = world_new(3, 4, &no_faults, NULL);
    struct ms_batch_spec spec;
    struct world_counts counts;
    simple_spec(&spec, "job", "q1", 8, 1);
    world_submit(world, &spec);
    world_run(world, 300);
    world_take_over(world, 1500);
    world_run(world, 8000);
    expect_good(world, "job", MS_PHASE_SUCCEEDED);
    world_counts(world, &counts);
    ck_assert_uint_eq(counts.starts, 8);
    ck_assert_uint_eq(counts.take_overs, 1);
    world_free(world);
}
END_TEST

START_TEST(a_cut_server_keeps_its_runs)
{
    struct world *world = world_new(4, 2, &no_faults, NULL);
    struct ms_batch_spec spec;
    struct world_counts counts;
    simple_spec(&spec, "job", "q1", 4, 4);
    world_submit(world, &spec);
    world_run(world, 300);
    world_cut(world, 0, 5500);
    world_run(world, 12000);
    expect_good(world, "job", MS_PHASE_SUCCEEDED);
    world_counts(world, &counts);
    ck_assert_uint_eq(counts.starts, 4);
    world_free(world);
}
END_TEST

START_TEST(a_draining_server_that_is_cut_off_keeps_its_runs)
{
    struct world *world = world_new(13, 2, &no_faults, NULL);
    struct ms_batch_spec spec;
    struct world_counts counts;
    simple_spec(&spec, "job", "q1", 16, 1);
    world_submit(world, &spec);
    world_run(world, 300);
    world_hide(world, 0, 3000);
    world_run(world, 3200);
    world_show(world, 0);
    world_run(world, 3000);
    expect_good(world, "job", MS_PHASE_SUCCEEDED);
    world_counts(world, &counts);
    ck_assert_uint_eq(counts.starts, 16);
    world_free(world);
}
END_TEST

START_TEST(a_lost_server_is_not_waited_for_for_ever)
{
    struct world *world = world_new(5, 4, &no_faults, NULL);
    struct ms_batch_spec spec;
    simple_spec(&spec, "job", "q1", 4, 8);
    world_submit(world, &spec);
    world_run(world, 300);
    world_cut(world, 0, 1000000);
    world_run(world, 16000);
    expect_good(world, "job", MS_PHASE_SUCCEEDED);
    world_free(world);
}
END_TEST

START_TEST(a_run_that_stands_still_goes_elsewhere)
{
    struct world *world = world_new(11, 4, &no_faults, NULL);
    struct ms_batch_spec spec;
    struct world_counts counts;
    simple_spec(&spec, "job", "q0", 4, 8);
    world_submit(world, &spec);
    world_run(world, 300);
    world_hang(world, 0, 8000);
    world_run(world, 5000);
    expect_good(world, "job", MS_PHASE_SUCCEEDED);
    world_counts(world, &counts);
    ck_assert_uint_eq(counts.stopped, 1);
    world_free(world);
}
END_TEST

START_TEST(work_that_fills_keeps_away_from_serving_work)
{
    struct world *world = world_new(12, 1, &no_faults, NULL);
    struct ms_batch_spec spec;
    struct world_counts counts;
    simple_spec(&spec, "fill", "q2", 1, 0);
    spec.steps[0].best_effort = true;
    spec.steps[0].long_running = true;
    world_submit(world, &spec);
    world_run(world, 500);
    simple_spec(&spec, "serve", "q1", 1, 1);
    spec.steps[0].long_running = true;
    spec.steps[0].target_latency_ms = 50;
    world_submit(world, &spec);
    world_run(world, 1000);
    world_counts(world, &counts);
    ck_assert_uint_eq(counts.starts, 2);
    ck_assert_uint_eq(counts.stopped, 1);
    ck_assert_str_eq(world_broken(world), "");
    world_free(world);
}
END_TEST

START_TEST(a_cancelled_job_stops)
{
    struct world *world = world_new(6, 4, &no_faults, NULL);
    struct ms_batch_spec spec;
    struct world_counts counts;
    simple_spec(&spec, "job", "q1", 8, 2);
    world_submit(world, &spec);
    world_run(world, 300);
    world_cancel(world, "job");
    world_run(world, 1000);
    expect_good(world, "job", MS_PHASE_CANCELLED);
    world_counts(world, &counts);
    ck_assert_uint_eq(counts.stopped, 8);
    ck_assert_uint_eq(counts.done, 0);
    world_free(world);
}
END_TEST

START_TEST(a_job_that_always_fails_ends_after_its_attempts)
{
    struct world_faults faults = {.fail = 1000};
    struct world *world = world_new(7, 6, &faults, NULL);
    struct ms_batch_spec spec;
    struct world_counts counts;
    simple_spec(&spec, "job", "q1", 1, 1);
    world_submit(world, &spec);
    world_run(world, 30000);
    expect_good(world, "job", MS_PHASE_FAILED);
    world_counts(world, &counts);
    ck_assert_uint_eq(counts.starts, 3);
    world_free(world);
}
END_TEST

START_TEST(occurrences_start_on_time)
{
    struct world *world = world_new(8, 4, &no_faults, NULL);
    struct ms_batch_spec spec;
    struct world_counts counts;
    simple_spec(&spec, "job", "q1", 1, 1);
    spec.repeat_count = 3;
    spec.start_ms = 3000;
    spec.interval_ms = 2000;
    world_submit(world, &spec);
    world_run(world, 1900);
    world_counts(world, &counts);
    ck_assert_uint_eq(counts.starts, 0);
    world_run(world, 3500);
    world_counts(world, &counts);
    ck_assert_uint_eq(counts.starts, 2);
    world_run(world, 7000);
    expect_good(world, "job", MS_PHASE_SUCCEEDED);
    world_free(world);
}
END_TEST

TCase *
engine_cases(void)
{
    TCase *cases = tcase_create("engine");
    tcase_add_test(cases, a_gang_and_its_next_step_run);
    tcase_add_test(cases, top_priority_reclaims_room);
    tcase_add_test(cases, reclaimed_room_is_left_to_the_top_priority_for_a_while);
    tcase_add_test(cases, servers_that_a_new_directory_does_not_have_are_gone);
    tcase_add_test(cases, a_silent_server_gets_renewals_only);
    tcase_add_test(cases, a_failed_task_is_placed_again_when_its_backoff_is_over);
    tcase_add_test(cases, a_start_that_a_new_life_has_answered_counts);
    tcase_add_test(cases, a_take_over_keeps_what_runs);
    tcase_add_test(cases, a_cut_server_keeps_its_runs);
    tcase_add_test(cases, a_draining_server_that_is_cut_off_keeps_its_runs);
    tcase_add_test(cases, a_lost_server_is_not_waited_for_for_ever);
    tcase_add_test(cases, a_run_that_stands_still_goes_elsewhere);
    tcase_add_test(cases, work_that_fills_keeps_away_from_serving_work);
    tcase_add_test(cases, a_cancelled_job_stops);
    tcase_add_test(cases, a_job_that_always_fails_ends_after_its_attempts);
    tcase_add_test(cases, occurrences_start_on_time);
    return cases;
}
