/*
 * unit_log.c - tests of the log lines that tell why tasks wait, and of the statistics about
 * waits.  Most of them run the engine in the simulator and read its trace.
 */
#include <stdlib.h>
#include <string.h>

#include "batch/server_types.h"
#include "batch/simulator.h"
#include "batch/unit.h"

#define WAIT_LINES_PER_S_MAX 4 /* event=waiting; the same number of event=gang_blocked */

#define SHOWN_TRACE_BYTES 3000 /* of the end of the trace, when a test fails */

static const struct simulator_faults no_faults;

/* A simulator whose trace is kept in memory. */
struct fixture {
    struct simulator *simulator;
    FILE *stream;
    char *trace;
    size_t trace_size;
};

static void
fixture_set_up(struct fixture *fixture, size_t servers)
{
    memset(fixture, 0, sizeof(*fixture));
    fixture->stream = open_memstream(&fixture->trace, &fixture->trace_size);
    fixture->simulator = simulator_new(11, servers, &no_faults, fixture->stream);
}

static void
fixture_tear_down(struct fixture *fixture)
{
    ck_assert_str_eq(simulator_violation(fixture->simulator), "");
    simulator_free(fixture->simulator);
    ck_assert_int_eq(fclose(fixture->stream), 0);
    free(fixture->trace);
}

/* Submits a job of COUNT tasks with ACCELS accelerators each; a server has 8. */
static void
submit(const struct fixture *fixture, const char *id, const char *queue, uint32_t count,
       int64_t accels, bool gang)
{
    struct ms_batch_spec spec;
    simple_spec(&spec, id, queue, count, accels);
    spec.steps[0].gang = gang;
    simulator_submit_job(fixture->simulator, &spec);
}

/* The number of lines that contain EVENT and, in this order, PART. */
static uint32_t
count_lines(const struct fixture *fixture, const char *event, const char *part)
{
    uint32_t count = 0;
    ck_assert_int_eq(fflush(fixture->stream), 0);
    char **lines = g_strsplit(fixture->trace, "\n", -1);
    for (size_t i = 0; lines[i] != NULL; i++) {
        const char *found = strstr(lines[i], event);
        count += found != NULL && strstr(found, part) != NULL;
    }
    g_strfreev(lines);
    return count;
}

/* Asserts that such a line exists; a failure prints the end of the trace. */
static void
expect_line(const struct fixture *fixture, const char *event, const char *part)
{
    bool found = count_lines(fixture, event, part) > 0;
    size_t skipped = fixture->trace_size - MIN(fixture->trace_size, SHOWN_TRACE_BYTES);
    ck_assert_msg(found, "no %s with %s in the trace, which ends:\n%s", event, part,
                  fixture->trace + skipped);
}

/* A gang that waits because a server is excluded: both lines count it, one by its reason. */
START_TEST(excluded_server_is_logged_by_reason)
{
    struct fixture fixture;
    fixture_set_up(&fixture, 4);
    simulator_disconnect_server(fixture.simulator, 3, 60000);
    submit(&fixture, "gang", "q1", 4, 8, true);
    simulator_run(fixture.simulator, 6000);
    expect_line(&fixture, "event=placing", "servers=3 ");
    expect_line(&fixture, "event=placing", "unlisted=0 unfenced=1 unresponsive=0");
    expect_line(&fixture, "event=waiting task=gang.0.0.0 count=4 gang=1", "servers=3 excluded=1 ");
    expect_line(&fixture, "event=waiting task=gang.0.0.0", "free_servers=3 free_tasks=3");
    ck_assert_uint_eq(count_lines(&fixture, "event=gang_blocked", ""), 0);
    fixture_tear_down(&fixture);
}
END_TEST

/*
 * A gang that waits because urgent tasks leave less than it needs on each server: the line
 * says what each level refused.
 */
START_TEST(starved_gang_is_logged_with_outcomes_of_all_levels)
{
    struct fixture fixture;
    fixture_set_up(&fixture, 4);
    submit(&fixture, "urgent", "q0", 60, 5, false);
    submit(&fixture, "gang", "q1", 2, 8, true);
    simulator_run(fixture.simulator, 6000);
    expect_line(&fixture, "event=waiting task=gang.0.0.0 count=2 gang=1", "servers=4 excluded=0 ");
    expect_line(&fixture, "event=waiting task=gang.0.0.0",
                "free_servers=0 free_tasks=0 empty_servers=3 free=no_capacity");
    expect_line(&fixture, "event=waiting task=gang.0.0.0",
                "preempt=no_capacity reserve=too_much_idle reserved_idle=");
    ck_assert_uint_eq(count_lines(&fixture, "event=gang_blocked", ""), 0);
    fixture_tear_down(&fixture);
}
END_TEST

/*
 * A gang stalls and is stopped, but one of its servers is lost, and then the leader changes:
 * the line names the server, its state and when the wait ends.
 */
START_TEST(gang_bound_to_lost_server_is_logged)
{
    struct fixture fixture;
    fixture_set_up(&fixture, 4);
    submit(&fixture, "gang", "q1", 3, 8, true);
    simulator_run(fixture.simulator, 400);
    for (size_t i = 0; i < 3; i++) {
        simulator_stall_runs(fixture.simulator, i, 60000);
    }
    simulator_run(fixture.simulator, 1000);
    simulator_disconnect_server(fixture.simulator, 0, 60000);
    simulator_run(fixture.simulator, 3000);
    simulator_change_leader(fixture.simulator, 500);
    simulator_run(fixture.simulator, 14000);
    expect_line(&fixture, "event=gang_blocked task=gang.0.0.0 run=1", "waiting=2 ");
    expect_line(&fixture, "event=gang_blocked task=gang.0.0.0 run=1",
                "server=server-0 server_state=unfenced heard_age_ms=");
    expect_line(&fixture, "event=placing waiting=0", "unfenced=1");
    expect_line(&fixture, "event=place task=gang.0.0.0 run=2", "");
    fixture_tear_down(&fixture);
}
END_TEST

/* Many waiting units must not flood the log; each of them still gets its turn. */
START_TEST(lines_about_waits_are_bounded)
{
    enum { UNITS = 40, RUN_S = 30 };
    struct fixture fixture;
    fixture_set_up(&fixture, 4);
    for (int i = 0; i < UNITS; i++) {
        char id[MS_JOB_ID_MAX];
        g_snprintf(id, sizeof(id), "job%d", i);
        submit(&fixture, id, "q1", 5, 8, true); /* five servers: never placed */
    }
    simulator_run(fixture.simulator, (int64_t)RUN_S * 1000);
    uint32_t lines = count_lines(&fixture, "event=waiting", "");
    ck_assert_uint_le(lines, (uint32_t)RUN_S * WAIT_LINES_PER_S_MAX);
    ck_assert_uint_ge(lines, (uint32_t)RUN_S * WAIT_LINES_PER_S_MAX / 2);
    ck_assert_uint_le(count_lines(&fixture, "event=placing", ""), RUN_S + 1);
    for (int i = 0; i < UNITS; i++) {
        char part[MS_JOB_ID_MAX + 16];
        g_snprintf(part, sizeof(part), "task=job%d.0.0.0", i);
        expect_line(&fixture, "event=waiting", part);
    }
    expect_line(&fixture, "event=waiting", "preempt=not_tried reserve=not_tried");
    fixture_tear_down(&fixture);
}
END_TEST

/* The statistics, which become metrics, count excluded servers and the longest wait. */
START_TEST(excluded_servers_and_longest_wait_are_counted)
{
    enum { WAIT_MS = 3000 };
    static struct ms_queue_rule queues[] = {{.name = "q0", .service = "service"}};
    static const struct ms_policy policy = {.version = 1, .queues = queues, .queue_count = 1};
    struct ms_engine_limits limits;
    struct ms_stored_job job = {.id = "job", .accepted = true};
    struct ms_engine_stats stats;
    struct ms_directory_entry entry = {.start_unix_ms = 7, .address = "127.0.0.1:1"};
    ms_engine_limits_defaults(&limits);
    struct ms_engine *engine = ms_engine_new(&limits, 1, 0, 0);
    ms_engine_set_policy(engine, &policy);
    g_strlcpy(entry.id, "one", sizeof(entry.id));
    ms_engine_update_server(engine, &entry, 0);
    g_strlcpy(entry.id, "two", sizeof(entry.id));
    ms_engine_update_server(engine, &entry, 0);
    ms_engine_unlist_server(engine, "two", 0);
    simple_spec(&job.spec, "job", "q0", 1, 1);
    ms_engine_add_job(engine, &job, 0);
    ms_engine_tick(engine, 1000, 1000);
    ms_engine_tick(engine, 1000 + WAIT_MS, 1000 + WAIT_MS);
    ms_engine_stats(engine, &stats);
    ck_assert_uint_eq(stats.servers_usable, 0);
    ck_assert_uint_eq(stats.servers_by_exclusion[MS_SERVER_UNFENCED], 1);
    ck_assert_uint_eq(stats.servers_by_exclusion[MS_SERVER_UNLISTED], 1);
    ck_assert_int_eq(stats.longest_wait_ms, WAIT_MS);
    ms_engine_cancel_job(engine, "job", 1000 + WAIT_MS);
    ms_engine_tick(engine, 2000 + WAIT_MS, 2000 + WAIT_MS);
    ms_engine_stats(engine, &stats);
    ck_assert_int_eq(stats.longest_wait_ms, 0);
    ms_engine_free(engine);
    ms_batch_spec_clear(&job.spec);
}
END_TEST

START_TEST(exclusions_have_names)
{
    ck_assert_str_eq(ms_server_exclusion_name(MS_SERVER_USABLE), "usable");
    for (int i = 0; i < MS_SERVER_EXCLUSION_COUNT; i++) {
        ck_assert_ptr_nonnull(ms_server_exclusion_name((enum ms_server_exclusion)i));
    }
    ck_assert_str_eq(ms_server_exclusion_name(MS_SERVER_DC_OUT), "dc_out");
}
END_TEST

TCase *
log_cases(void)
{
    TCase *cases = tcase_create("log");
    tcase_add_test(cases, excluded_server_is_logged_by_reason);
    tcase_add_test(cases, starved_gang_is_logged_with_outcomes_of_all_levels);
    tcase_add_test(cases, gang_bound_to_lost_server_is_logged);
    tcase_add_test(cases, lines_about_waits_are_bounded);
    tcase_add_test(cases, excluded_servers_and_longest_wait_are_counted);
    tcase_add_test(cases, exclusions_have_names);
    return cases;
}
