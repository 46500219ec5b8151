/*
 * unit_speed.c - tests of slow servers: the measured rate of a run, the weighing of a stop, and
 * which runs the engine stops.
 *
 * The servers of the simulator have 64 cores; a task of these tests uses 30, so two fit.
 */
#include <string.h>

#include "batch/run_speed.h"
#include "batch/slow_stop.h"
#include "batch/unit.h"
#include "entry/settings.h"

#define TASK_CPU_MILLIS 30000
#define RUN_MS 9000
#define HEAVY_FACTOR 7
#define SLOW_FACTOR 5
#define MINUTES_MS 240000 /* a server that is slow for long */
#define REPORT_MS 1000    /* time between reports */

static const struct simulator_faults no_faults;

/* ---- the rate of a run ---- */

/* Reports every REPORT_MS until UNTIL a run that gains PERCENT_PER_S from FROM_PERCENT at SINCE. */
static void
report_until(struct ms_run_speed *speed, int64_t since, int64_t until, double from_percent,
             double percent_per_s)
{
    for (int64_t now = since; now <= until; now += REPORT_MS) {
        double percent = from_percent + percent_per_s * (double)(now - since) / 1000.0;
        ms_run_speed_note(speed, now, (uint32_t)percent);
    }
}

/* Load: one run whose server is 5 times slower from the fifth second on, for 8 s. */
START_TEST(fallen_rate_is_seen_and_so_is_its_return)
{
    struct ms_run_speed speed = {0};
    report_until(&speed, 1000, 6000, 8, 8);
    ck_assert_int_eq(speed.fell_at, 0);
    ck_assert_int_eq(ms_run_speed_normal(&speed), 8 * MS_RATE_SCALE_MS / 1000);
    report_until(&speed, 7000, 14000, 49.6, 1.6);
    ck_assert_int_eq(speed.fell_at, 6000);
    ck_assert_int_lt(ms_run_speed_present(&speed) * 3, ms_run_speed_normal(&speed));
    report_until(&speed, 15000, 17000, 68, 8);
    ck_assert_int_eq(speed.fell_at, 0);
}
END_TEST

/* Load: runs of 20 s to 200 s, at a constant rate.  Whole percents made their rates jump. */
START_TEST(constant_rate_never_falls)
{
    for (int64_t run_s = 20; run_s <= 200; run_s++) {
        struct ms_run_speed speed = {0};
        for (int64_t s = 1; s < run_s; s++) {
            ms_run_speed_note(&speed, s * REPORT_MS, (uint32_t)(s * 100 / run_s));
            ck_assert_int_eq(speed.fell_at, 0);
        }
        ck_assert_int_ge(ms_run_speed_normal(&speed), MS_RATE_SCALE_MS / run_s / 10 * 9 / 10);
    }
}
END_TEST

/* Load: a run that restores a checkpoint at 60 %.  The jump was taken for its rate. */
START_TEST(restored_progress_is_no_rate)
{
    struct ms_run_speed speed = {0};
    report_until(&speed, 1000, 2000, 0, 0);
    report_until(&speed, 3000, 8000, 60, 5);
    ck_assert_int_eq(ms_run_speed_normal(&speed), 5 * MS_RATE_SCALE_MS / 1000);
    ck_assert_int_eq(speed.fell_at, 0);
}
END_TEST

/* ---- weighing a stop ---- */

/* A run of 26 cores that has done a tenth of its work, on a server that is slow for long. */
static struct ms_slow_run
early_slow_run(void)
{
    return (struct ms_slow_run){.remaining_ms = 9000,
                                .redo_ms = 1000,
                                .spent_ms = 1500,
                                .slowdown = 500,
                                .slow_for_ms = 60000,
                                .has_room = true,
                                .due_in_ms = INT64_MAX,
                                .cpu_millis = 26000};
}

/* Load: a server slow for a minute, room elsewhere.  Its runs must not be left there. */
START_TEST(early_run_leaves_server_that_stays_slow)
{
    struct ms_slow_run run = early_slow_run();
    struct ms_stop_weight weight = ms_slow_run_weigh(&run);
    ck_assert(weight.pays);
    ck_assert_int_eq(weight.lost_core_s, 39);
    ck_assert_int_gt(weight.gain_ms, 30000);
}
END_TEST

/* Load: servers slow for 5 to 12 s.  A stop shortly before the end of that only loses work. */
START_TEST(slowness_that_ends_soon_is_waited_for)
{
    struct ms_slow_run run = early_slow_run();
    run.slow_for_ms = 7500;
    ck_assert(!ms_slow_run_weigh(&run).pays);
    run.slow_for_ms = 1000;
    ck_assert(ms_slow_run_weigh(&run).pays);
}
END_TEST

/* Load: a run without checkpoints that has nearly ended; and the same one with them. */
START_TEST(lost_work_counts_against_a_stop)
{
    struct ms_slow_run run = early_slow_run();
    run.slow_for_ms = 1000;
    run.remaining_ms = 6000;
    run.redo_ms = 4000;
    ck_assert(!ms_slow_run_weigh(&run).pays);
    run.redo_ms = 200;
    ck_assert(ms_slow_run_weigh(&run).pays);
}
END_TEST

/* Load: a full service.  A run that is stopped there waits, and its work is lost. */
START_TEST(no_stop_without_room_once_there_is_progress)
{
    struct ms_slow_run run = early_slow_run();
    run.has_room = false;
    ck_assert(!ms_slow_run_weigh(&run).pays);
    run.redo_ms = 100;
    run.wait_ms = 2000;
    ck_assert(ms_slow_run_weigh(&run).pays);
    run.wait_ms = 90000;
    ck_assert(!ms_slow_run_weigh(&run).pays);
}
END_TEST

/* Load: a job of priority 0 that meets its target only if it leaves the slow server. */
START_TEST(urgent_run_may_lose_more)
{
    struct ms_slow_run run = early_slow_run();
    run.slow_for_ms = 1000;
    run.redo_ms = 3000;
    ck_assert(!ms_slow_run_weigh(&run).pays);
    run.due_in_ms = 14000;
    ck_assert(ms_slow_run_weigh(&run).pays);
    run.due_in_ms = 60000;
    ck_assert(!ms_slow_run_weigh(&run).pays);
}
END_TEST

/* Load: a task that is slow wherever it runs.  Each stop makes the next one less likely. */
START_TEST(repeated_stops_need_more_gain)
{
    struct ms_slow_run run = early_slow_run();
    run.slow_for_ms = 1000;
    ck_assert(ms_slow_run_weigh(&run).pays);
    run.earlier_stops = 4;
    ck_assert(!ms_slow_run_weigh(&run).pays);
}
END_TEST

/* ---- the engine ---- */

struct fixture {
    struct simulator *simulator;
    const char *heavy;                    /* name of a task with much more work, or NULL */
    int64_t run_ms;                       /* of the other tasks */
    int64_t estimate_ms;                  /* of all tasks, 0: their run time */
    uint32_t per_server_max;              /* of all steps */
    uint32_t stalls;                      /* stops of runs without progress */
    uint32_t stops;                       /* of runs on slow servers */
    uint32_t gang_stops;                  /* the same, of members of gangs */
    uint32_t runs[SIMULATOR_SERVERS_MAX]; /* placed on each server so far */
    uint32_t left[SIMULATOR_SERVERS_MAX]; /* stops on each server, but those of gangs */
};

static int64_t
run_ms(void *opaque, const char *task)
{
    const struct fixture *fixture = opaque;
    bool heavy = fixture->heavy != NULL && strcmp(fixture->heavy, task) == 0;
    return heavy ? fixture->run_ms * HEAVY_FACTOR : fixture->run_ms;
}

/* The index of the server that LINE of the log names. */
static size_t
server_index(const char *line)
{
    return (size_t)g_ascii_strtoull(strstr(line, "server=server-") + 14, NULL, 10);
}

static void
note_line(void *opaque, const char *line)
{
    struct fixture *fixture = opaque;
    if (g_str_has_prefix(line, "event=place ")) {
        fixture->runs[server_index(line)]++;
    }
    if (g_str_has_prefix(line, "event=stop ") && strstr(line, "reason=no_progress") != NULL) {
        fixture->stalls++;
    }
    if (g_str_has_prefix(line, "event=stop ") && strstr(line, "reason=slow_server") != NULL) {
        bool gang = strstr(line, "task=gang.") != NULL;
        fixture->stops++;
        fixture->gang_stops += gang;
        fixture->left[server_index(line)] += !gang;
    }
}

static void
fixture_init(struct fixture *fixture, size_t servers, bool weigh)
{
    memset(fixture, 0, sizeof(*fixture));
    const struct simulator_speeds speeds = {
        .weigh_slow_stops = weigh, .run_ms = run_ms, .opaque = fixture};
    fixture->run_ms = RUN_MS;
    fixture->simulator = simulator_new_with_speeds(5, servers, &no_faults, &speeds, NULL);
    simulator_set_log(fixture->simulator, note_line, fixture);
    simulator_run(fixture->simulator, 100);
}

static void
fixture_clear(struct fixture *fixture)
{
    simulator_free(fixture->simulator);
}

/* Submits job ID of COUNT tasks. */
static void
submit(struct fixture *fixture, const char *id, uint32_t count, bool gang)
{
    struct ms_batch_spec spec;
    simple_spec(&spec, id, "q1", count, 0);
    spec.steps[0].task_resources.cpu_millis = TASK_CPU_MILLIS;
    spec.steps[0].gang = gang;
    spec.steps[0].per_server_max = fixture->per_server_max;
    spec.steps[0].estimate_ms = fixture->estimate_ms > 0 ? fixture->estimate_ms : fixture->run_ms;
    simulator_submit_job(fixture->simulator, &spec);
}

/* A server that runs something, which becomes slow. */
static size_t
slow_one_server(struct fixture *fixture, int64_t ms)
{
    size_t index = 0;
    while (fixture->runs[index] == 0) {
        index++;
    }
    simulator_slow_server(fixture->simulator, index, SLOW_FACTOR, ms);
    return index;
}

/* The number of stops, but those of gangs, on other servers than INDEX. */
static uint32_t
stops_elsewhere(const struct fixture *fixture, size_t index)
{
    return fixture->stops - fixture->gang_stops - fixture->left[index];
}

/*
 * Load: no slow server, speeds of 80, 100 and 125 %, one task with 7 times the work.  The
 * comparison with siblings stops it again and again.
 */
START_TEST(task_with_much_work_is_not_stopped)
{
    for (int weigh = 0; weigh < 2; weigh++) {
        static const int64_t speeds[] = {80, 100, 125};
        struct fixture fixture;
        fixture_init(&fixture, 12, weigh == 1);
        fixture.heavy = "job.0.0.4";
        for (size_t i = 0; i < 12; i++) {
            simulator_set_speed(fixture.simulator, i, speeds[i % G_N_ELEMENTS(speeds)]);
        }
        submit(&fixture, "job", 13, false);
        submit(&fixture, "other", 5, false);
        simulator_run(fixture.simulator, 30000);
        expect_phase(fixture.simulator, "other", MS_PHASE_SUCCEEDED);
        ck_assert(weigh == 1 ? fixture.stops == 0 : fixture.stops > 0);
        fixture_clear(&fixture);
    }
}
END_TEST

/* Load: the same, and the leader is lost: the new one knows no earlier rates. */
START_TEST(task_with_much_work_is_not_stopped_after_takeover)
{
    struct fixture fixture;
    fixture_init(&fixture, 12, true);
    fixture.heavy = "job.0.0.4";
    submit(&fixture, "job", 13, false);
    submit(&fixture, "other", 5, false);
    simulator_run(fixture.simulator, 3000);
    simulator_change_leader(fixture.simulator, 500);
    simulator_run(fixture.simulator, 60000);
    expect_phase(fixture.simulator, "other", MS_PHASE_SUCCEEDED);
    ck_assert_uint_eq(fixture.stops, 0);
    fixture_clear(&fixture);
}
END_TEST

/* Load: one of 8 servers is 5 times slower for minutes, runs of 36 s, a few seconds old. */
START_TEST(runs_leave_server_that_is_slow_for_minutes)
{
    struct fixture fixture;
    fixture_init(&fixture, 8, true);
    fixture.run_ms = 4 * RUN_MS;
    submit(&fixture, "first", 4, false);
    submit(&fixture, "second", 4, false);
    simulator_run(fixture.simulator, 2500);
    size_t slow = slow_one_server(&fixture, MINUTES_MS);
    simulator_run(fixture.simulator, 80000);
    expect_phase(fixture.simulator, "first", MS_PHASE_SUCCEEDED);
    expect_phase(fixture.simulator, "second", MS_PHASE_SUCCEEDED);
    ck_assert_uint_gt(fixture.left[slow], 0);
    ck_assert_uint_eq(stops_elsewhere(&fixture, slow), 0);
    fixture_clear(&fixture);
}
END_TEST

/*
 * Load: the same, but the leader is lost while the server is slow.  The new leader never saw
 * the runs at their normal rates; runs of two steps lag behind their siblings.
 */
START_TEST(runs_leave_slow_server_after_takeover)
{
    struct fixture fixture;
    fixture_init(&fixture, 8, true);
    fixture.run_ms = 4 * RUN_MS;
    submit(&fixture, "first", 5, false);
    simulator_run(fixture.simulator, 300);
    size_t slow = 0;
    while (fixture.runs[slow] != 1) {
        slow++;
    }
    submit(&fixture, "second", 5, false);
    simulator_run(fixture.simulator, 300);
    ck_assert_uint_eq(fixture.runs[slow], 2); /* one of each job */
    simulator_slow_server(fixture.simulator, slow, SLOW_FACTOR, MINUTES_MS);
    simulator_change_leader(fixture.simulator, 200);
    simulator_run(fixture.simulator, 100000);
    ck_assert_uint_gt(fixture.stops, 0);
    ck_assert_uint_eq(stops_elsewhere(&fixture, slow), 0);
    fixture_clear(&fixture);
}
END_TEST

/* Load: a gang of 6 on 3 of 8 servers, alone there; one of them is slow for minutes. */
START_TEST(gang_leaves_servers_of_which_one_is_slow_for_minutes)
{
    struct fixture fixture;
    fixture_init(&fixture, 8, true);
    fixture.run_ms = 10 * RUN_MS;
    submit(&fixture, "gang", 6, true);
    simulator_run(fixture.simulator, 5000);
    slow_one_server(&fixture, MINUTES_MS);
    simulator_run(fixture.simulator, 150000);
    expect_phase(fixture.simulator, "gang", MS_PHASE_SUCCEEDED);
    ck_assert_uint_eq(fixture.stops, 6);
    fixture_clear(&fixture);
}
END_TEST

/*
 * Load: a gang of 6 with a slow server, and single runs beside it on the others.  Its rate
 * must not condemn those servers.
 */
START_TEST(gang_condemns_no_sound_server)
{
    struct fixture fixture;
    fixture_init(&fixture, 8, true);
    fixture.run_ms = 4 * RUN_MS;
    fixture.per_server_max = 1;
    submit(&fixture, "single", 5, false);
    simulator_run(fixture.simulator, 300);
    fixture.per_server_max = 0;
    submit(&fixture, "gang", 6, true);
    simulator_run(fixture.simulator, 5000);
    size_t slow = slow_one_server(&fixture, MINUTES_MS);
    ck_assert_uint_eq(fixture.runs[slow], 2);
    simulator_run(fixture.simulator, 80000);
    expect_phase(fixture.simulator, "gang", MS_PHASE_SUCCEEDED);
    ck_assert_uint_gt(fixture.gang_stops, 0);
    ck_assert_uint_eq(stops_elsewhere(&fixture, slow), 0);
    fixture_clear(&fixture);
}
END_TEST

/* Load: every server is full, one is slow for minutes.  A stopped run would only wait. */
START_TEST(no_run_is_stopped_without_free_room)
{
    struct fixture fixture;
    fixture_init(&fixture, 4, true);
    submit(&fixture, "first", 4, false);
    submit(&fixture, "second", 4, false);
    submit(&fixture, "waiting", 20, false);
    simulator_run(fixture.simulator, 3000);
    slow_one_server(&fixture, MINUTES_MS);
    simulator_run(fixture.simulator, 4000);
    ck_assert_uint_eq(fixture.stops, 0);
    fixture_clear(&fixture);
}
END_TEST

/* Load: all runs of one slow server at once, room for one of them elsewhere. */
START_TEST(free_room_is_counted_on_once)
{
    struct fixture fixture;
    fixture_init(&fixture, 4, true);
    fixture.run_ms = 4 * RUN_MS;
    submit(&fixture, "first", 4, false);
    submit(&fixture, "second", 3, false);
    simulator_run(fixture.simulator, 4000);
    size_t slow = 0;
    while (fixture.runs[slow] != 2) {
        slow++;
    }
    simulator_slow_server(fixture.simulator, slow, SLOW_FACTOR, MINUTES_MS);
    simulator_run(fixture.simulator, 28000);
    ck_assert_uint_eq(fixture.stops, 1);
    fixture_clear(&fixture);
}
END_TEST

/* Load: 2 of 8 servers are 5 times slower for 5.2 s; their runs are past a third. */
START_TEST(short_slowness_stops_no_run_with_progress)
{
    struct fixture fixture;
    fixture_init(&fixture, 8, true);
    submit(&fixture, "first", 4, false);
    submit(&fixture, "second", 4, false);
    simulator_run(fixture.simulator, 4500);
    simulator_slow_server(fixture.simulator, slow_one_server(&fixture, 5200) + 1, SLOW_FACTOR,
                          5200);
    simulator_run(fixture.simulator, 20000);
    expect_phase(fixture.simulator, "first", MS_PHASE_SUCCEEDED);
    ck_assert_uint_eq(fixture.stops, 0);
    fixture_clear(&fixture);
}
END_TEST

/*
 * Load: one server is 5 times slower for 10 s, with runs of 72 s whose estimates are a tenth of
 * that.  A percent takes 3.6 s there, so that the runs were taken for stalled ones.
 */
START_TEST(slow_run_is_not_taken_for_a_stalled_one)
{
    struct fixture fixture;
    fixture_init(&fixture, 8, true);
    fixture.run_ms = 8 * RUN_MS;
    fixture.estimate_ms = fixture.run_ms / 10;
    submit(&fixture, "first", 4, false);
    simulator_run(fixture.simulator, 12000);
    slow_one_server(&fixture, 10000);
    simulator_run(fixture.simulator, 80000);
    expect_phase(fixture.simulator, "first", MS_PHASE_SUCCEEDED);
    ck_assert_uint_eq(fixture.stalls, 0);
    ck_assert_uint_eq(fixture.stops, 0);
    fixture_clear(&fixture);
}
END_TEST

/* ---- the setting ---- */

/* Without the key a deployment must be served as before. */
START_TEST(setting_is_off_by_default)
{
    static const char required[] =
        "name = \"a\"\ndc = \"d\"\nregion = \"r\"\ncaller_address = \"1.2.3.4:1\"\n"
        "ready_address = \"1.2.3.4:2\"\nmetrics_address = \"1.2.3.4:3\"\n"
        "log_address = \"1.2.3.4:4\"\nkey_age_max_ms = 5000\nlease_max_ms = 10000\n"
        "gang_start_max_ms = 4000\nstop_grace_ms = 900\nunknown_after_ms = 1000\n"
        "state_kept_s = 60\nshutdown_s = 5\ncpu_share = 0.5\n";
    struct ms_entry_settings settings;
    char error[256];
    char text[1024];
    ck_assert_msg(ms_entry_settings_parse(required, &settings, error, sizeof(error)) == MS_OK, "%s",
                  error);
    ck_assert(!settings.weigh_slow_stops);
    g_snprintf(text, sizeof(text), "%sweigh_slow_stops = true\n", required);
    ck_assert_int_eq(ms_entry_settings_parse(text, &settings, error, sizeof(error)), MS_OK);
    ck_assert(settings.weigh_slow_stops);
    g_snprintf(text, sizeof(text), "%sweigh_slow_stops = 1\n", required);
    ck_assert_int_eq(ms_entry_settings_parse(text, &settings, error, sizeof(error)), MS_E_INVALID);
    ck_assert_ptr_nonnull(strstr(error, "weigh_slow_stops"));
}
END_TEST

TCase *
speed_cases(void)
{
    TCase *cases = tcase_create("speed");
    tcase_set_timeout(cases, 30);
    tcase_add_test(cases, fallen_rate_is_seen_and_so_is_its_return);
    tcase_add_test(cases, constant_rate_never_falls);
    tcase_add_test(cases, restored_progress_is_no_rate);
    tcase_add_test(cases, early_run_leaves_server_that_stays_slow);
    tcase_add_test(cases, slowness_that_ends_soon_is_waited_for);
    tcase_add_test(cases, lost_work_counts_against_a_stop);
    tcase_add_test(cases, no_stop_without_room_once_there_is_progress);
    tcase_add_test(cases, urgent_run_may_lose_more);
    tcase_add_test(cases, repeated_stops_need_more_gain);
    tcase_add_test(cases, task_with_much_work_is_not_stopped);
    tcase_add_test(cases, task_with_much_work_is_not_stopped_after_takeover);
    tcase_add_test(cases, runs_leave_server_that_is_slow_for_minutes);
    tcase_add_test(cases, runs_leave_slow_server_after_takeover);
    tcase_add_test(cases, gang_leaves_servers_of_which_one_is_slow_for_minutes);
    tcase_add_test(cases, gang_condemns_no_sound_server);
    tcase_add_test(cases, no_run_is_stopped_without_free_room);
    tcase_add_test(cases, free_room_is_counted_on_once);
    tcase_add_test(cases, short_slowness_stops_no_run_with_progress);
    tcase_add_test(cases, slow_run_is_not_taken_for_a_stalled_one);
    tcase_add_test(cases, setting_is_off_by_default);
    return cases;
}
