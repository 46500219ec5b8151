/*
 * unit_account.c - tests of account caps: that no account uses more than its cap whatever fails,
 * and that the cap holds back no more than it must.  All but the first ones run in the
 * simulator, which checks each start against the cap of the account.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "batch/engine_private.h"
#include "batch/unit.h"
#include "batch/simulator.h"
#include "batch/simulator_private.h"

#define CAP_IN_FORCE_MS 6000 /* the simulator allows what earlier caps allowed until then */
#define LONG_MS 1000000      /* longer than a test */
#define ESTIMATE_MS 20000    /* so that a run counts as stalled after 6 s only */
#define RECLAIM_MS 1000 /* two stops of 300 ms, one after the other, and the steps between them */

static const struct simulator_faults no_faults;

/* Submits COUNT jobs PREFIX0, PREFIX1, ... of ACCOUNT to QUEUE, each of one task with one
 * accelerator. */
static void
submit_small_jobs(struct simulator *simulator, const char *prefix, const char *account,
                  const char *queue, int count)
{
    for (int i = 0; i < count; i++) {
        struct ms_batch_spec spec;
        char id[MS_JOB_ID_MAX];
        snprintf(id, sizeof(id), "%s%d", prefix, i);
        simple_spec(&spec, id, queue, 1, 1);
        g_strlcpy(spec.account, account, sizeof(spec.account));
        spec.steps[0].estimate_ms = ESTIMATE_MS;
        simulator_submit_job(simulator, &spec);
    }
}

/* Submits job ID of ACCOUNT to QUEUE: COUNT tasks with ACCELS accelerators each, or a gang of them.
 */
static void
submit_step(struct simulator *simulator, const char *id, const char *account, const char *queue,
            uint32_t count, int64_t accels, bool gang)
{
    struct ms_batch_spec spec;
    simple_spec(&spec, id, queue, count, accels);
    g_strlcpy(spec.account, account, sizeof(spec.account));
    spec.steps[0].gang = gang;
    spec.steps[0].estimate_ms = ESTIMATE_MS;
    simulator_submit_job(simulator, &spec);
}

static void
cap_accels(struct simulator *simulator, const char *account, int64_t accels)
{
    simulator_set_cap(simulator, account, (struct ms_resources){0, 0, accels}, 0);
}

/* Keeps all runs from ending by themselves. */
static void
stall_all_runs(struct simulator *simulator)
{
    for (size_t i = 0; i < simulator->server_count; i++) {
        simulator_stall_runs(simulator, i, LONG_MS);
    }
}

static void
unstall_all_runs(struct simulator *simulator)
{
    for (size_t i = 0; i < simulator->server_count; i++) {
        simulator_stall_runs(simulator, i, 0);
    }
}

static int64_t
used_accels(const struct simulator *simulator, const char *account)
{
    return simulator_account_usage(simulator, account).accels;
}

/* The runs of ACCOUNT that have been ordered to stop. */
static uint32_t
count_stopping(const struct simulator *simulator, const char *account)
{
    uint32_t count = 0;
    for (size_t i = 0; i < simulator->server_count; i++) {
        const GArray *runs = simulator->servers[i].runs;
        for (guint k = 0; k < runs->len; k++) {
            const struct run *run = &g_array_index(runs, struct run, k);
            char *id = g_strndup(run->task, strcspn(run->task, "."));
            const struct ms_batch_spec *spec = g_hash_table_lookup(simulator->specs, id);
            count += run->stopping && strcmp(spec->account, account) == 0;
            g_free(id);
        }
    }
    return count;
}

/* Runs for MS; returns the highest number of accelerators that "account" used. */
static int64_t
run_and_watch(struct simulator *simulator, int64_t ms)
{
    int64_t highest = 0;
    for (int64_t i = 0; i < ms; i++) {
        simulator_run(simulator, 1);
        highest = MAX(highest, used_accels(simulator, "account"));
    }
    ck_assert_str_eq(simulator_violation(simulator), "");
    return highest;
}

/* The number of lines of TRACE with the texts A and B. */
static uint32_t
count_lines(const char *trace, const char *a, const char *b)
{
    uint32_t count = 0;
    char **lines = g_strsplit(trace, "\n", -1);
    for (size_t i = 0; lines[i] != NULL; i++) {
        count += strstr(lines[i], a) != NULL && strstr(lines[i], b) != NULL;
    }
    g_strfreev(lines);
    return count;
}

/* A wrong count here would let an account exceed its cap, or hold back tasks that fit. */
START_TEST(tasks_under_cap_are_counted)
{
    struct ms_account_rule rule = {.name = "a", .cap = {10000, 0, 4}};
    struct ms_policy policy = {.accounts = &rule, .account_count = 1};
    struct ms_batch_account account = {.name = "a"};
    const struct ms_resources request = {1000, 500, 1};
    const struct ms_resources no_accels = {1000, 500, 0};
    ms_account_set_policy(&account, NULL);
    ck_assert_uint_eq(ms_account_max_tasks(&account, &request, 100), 100);
    ms_account_set_policy(&account, &policy);
    ck_assert_uint_eq(ms_account_max_tasks(&account, &request, 100), 4);
    ck_assert_uint_eq(ms_account_max_tasks(&account, &request, 3), 3);
    account.allocated = (struct ms_resources){3000, 90000, 3};
    ck_assert_uint_eq(ms_account_max_tasks(&account, &request, 100), 1);
    ck_assert(ms_account_reserve(&account, &request, 2));
    ck_assert_uint_eq(ms_account_max_tasks(&account, &request, 100), 0);
    ck_assert_uint_eq(ms_account_max_tasks(&account, &no_accels, 100), 5);
    /* What is being released is used for reservations first. */
    account.releasing = (struct ms_resources){1000, 500, 1};
    ck_assert_uint_eq(ms_account_max_tasks(&account, &request, 100), 0);
    account.releasing = (struct ms_resources){2000, 1000, 2};
    ck_assert_uint_eq(ms_account_max_tasks(&account, &request, 100), 1);
    ck_assert(!ms_account_reserve(&account, &request, 3)); /* more than the cap in all */
    account.allocated.accels = 4;
    ck_assert(!ms_account_is_over_cap(&account));
    account.allocated.accels = 5;
    ck_assert(ms_account_is_over_cap(&account));
    ck_assert_uint_eq(ms_account_max_tasks(&account, &no_accels, 100), 0);
}
END_TEST

/* A unit would preempt too little, or too much, if what it lacks were wrong. */
START_TEST(missing_room_is_counted)
{
    struct ms_account_rule rule = {.name = "a", .cap = {10000, 0, 4}};
    struct ms_policy policy = {.accounts = &rule, .account_count = 1};
    struct ms_batch_account account = {.name = "a", .allocated = {9000, 1, 4}};
    const struct ms_resources request = {1000, 500, 1};
    ms_account_set_policy(&account, &policy);
    struct ms_resources missing = ms_account_missing(&account, &request, 2);
    ck_assert_int_eq(missing.cpu_millis, 1000);
    ck_assert_int_lt(missing.memory_mb, 0);
    ck_assert_int_eq(missing.accels, 2);
    account.releasing = (struct ms_resources){1000, 500, 2};
    missing = ms_account_missing(&account, &request, 2);
    ck_assert_int_eq(missing.cpu_millis, 0);
    ck_assert_int_eq(missing.accels, 0);
    ck_assert(ms_account_reserve(&account, &request, 1));
    ck_assert_int_eq(ms_account_missing(&account, &request, 2).accels, 1);
}
END_TEST

/* A job that can never run must not be accepted, and one that can must not be rejected. */
START_TEST(jobs_that_never_fit_are_recognised)
{
    struct ms_account_rule rule = {.name = "a", .cap = {0, 8000, 4}};
    struct ms_batch_spec spec;
    simple_spec(&spec, "job", "q0", 8, 1);
    ck_assert(ms_account_job_fits(&spec, NULL));
    ck_assert(ms_account_job_fits(&spec, &rule)); /* in waves */
    spec.steps[0].gang = true;
    ck_assert(!ms_account_job_fits(&spec, &rule));
    spec.steps[0].task_count = 4;
    ck_assert(ms_account_job_fits(&spec, &rule));
    spec.steps[0].task_count = 1;
    spec.steps[0].task_resources.cpu_millis = 1000000; /* no limit */
    ck_assert(ms_account_job_fits(&spec, &rule));
    spec.steps[0].task_resources.memory_mb = 8001;
    ck_assert(!ms_account_job_fits(&spec, &rule));
    ms_batch_spec_clear(&spec);
    simple_spec(&spec, "job", "q0", 1, 1);
    spec.steps = g_renew(struct ms_step, spec.steps, 2);
    spec.step_count = 2;
    spec.steps[1] = (struct ms_step){.task_count = 1, .task_resources = {1, 1, 5}};
    ck_assert(!ms_account_job_fits(&spec, &rule)); /* a later step */
    ms_batch_spec_clear(&spec);
}
END_TEST

/*
 * A step that is wider than the cap must run in waves that use all of the cap: it must neither
 * wait until all of its tasks fit nor exceed the cap.
 */
START_TEST(wide_step_runs_in_waves)
{
    struct simulator *simulator = simulator_new(41, 8, &no_faults, NULL);
    cap_accels(simulator, "account", 10);
    submit_step(simulator, "wide", "account", "q1", 30, 1, false);
    ck_assert_int_eq(run_and_watch(simulator, 15000), 10);
    expect_phase(simulator, "wide", MS_PHASE_SUCCEEDED);
    simulator_free(simulator);
}
END_TEST

/* A cap that is raised must let waiting work start at once; other accounts are not concerned. */
START_TEST(raised_cap_lets_work_start)
{
    struct simulator *simulator = simulator_new(42, 8, &no_faults, NULL);
    cap_accels(simulator, "account", 2);
    simulator_run(simulator, 300);
    submit_small_jobs(simulator, "small", "account", "q1", 20);
    submit_small_jobs(simulator, "else", "other", "q1", 20);
    simulator_run(simulator, 100);
    stall_all_runs(simulator);
    simulator_run(simulator, 2000);
    ck_assert_int_eq(used_accels(simulator, "account"), 2);
    ck_assert_int_eq(used_accels(simulator, "other"), 20);
    cap_accels(simulator, "account", 12);
    simulator_run(simulator, 200);
    ck_assert_int_eq(used_accels(simulator, "account"), 12);
    ck_assert_str_eq(simulator_violation(simulator), "");
    simulator_free(simulator);
}
END_TEST

/*
 * Lost answers of starts: their runs go on, so they must count though the leader has not heard of
 * them.  Servers without such starts have room for more.
 */
START_TEST(starts_without_answer_count)
{
    struct simulator *simulator = simulator_new(43, 8, &no_faults, NULL);
    cap_accels(simulator, "account", 4);
    simulator_run(simulator, 3000);
    for (size_t i = 0; i < 4; i++) {
        simulator_silence_server(simulator, i, 5000);
    }
    submit_small_jobs(simulator, "small", "account", "q1", 30);
    simulator_run(simulator, 30);
    stall_all_runs(simulator);
    ck_assert_int_eq(run_and_watch(simulator, 8000), 4);
    unstall_all_runs(simulator);
    run_and_watch(simulator, 30000);
    for (int i = 0; i < 30; i++) {
        char id[MS_JOB_ID_MAX];
        snprintf(id, sizeof(id), "small%d", i);
        expect_phase(simulator, id, MS_PHASE_SUCCEEDED);
    }
    simulator_free(simulator);
}
END_TEST

/* Runs of an earlier leader must count for the next one before any server has reported them. */
START_TEST(runs_of_earlier_leader_count)
{
    struct simulator *simulator = simulator_new(44, 8, &no_faults, NULL);
    cap_accels(simulator, "account", 6);
    submit_small_jobs(simulator, "small", "account", "q1", 30);
    simulator_run(simulator, 300);
    stall_all_runs(simulator);
    for (size_t i = 0; i < 3; i++) {
        simulator_disconnect_server(simulator, i, 3000); /* they report late */
    }
    simulator_change_leader(simulator, 20);
    ck_assert_int_eq(run_and_watch(simulator, 5000), 6);
    simulator_free(simulator);
}
END_TEST

/* Runs on a server behind a partition must count until their lease has certainly expired. */
START_TEST(runs_behind_partition_count)
{
    struct simulator *simulator = simulator_new(45, 8, &no_faults, NULL);
    cap_accels(simulator, "account", 8);
    submit_step(simulator, "wide", "account", "q1", 8, 1, false);
    simulator_run(simulator, 300);
    stall_all_runs(simulator);
    submit_small_jobs(simulator, "small", "account", "q1", 20);
    for (size_t i = 0; i < 8; i++) {
        if (simulator->servers[i].runs->len > 0) {
            simulator_disconnect_server(simulator, i, LONG_MS);
        }
    }
    ck_assert_int_eq(run_and_watch(simulator, 25000), 8);
    ck_assert_int_eq(used_accels(simulator, "account"), 8); /* restarted elsewhere */
    simulator_free(simulator);
}
END_TEST

/*
 * Runs that a server lost when it restarted under its id must not count for good, and those that
 * may be on their way to it must.
 */
START_TEST(restart_of_server_returns_room)
{
    struct simulator *simulator = simulator_new(46, 4, &no_faults, NULL);
    cap_accels(simulator, "account", 8);
    submit_small_jobs(simulator, "small", "account", "q1", 30);
    simulator_run(simulator, 300);
    stall_all_runs(simulator);
    simulator_run(simulator, 500);
    for (size_t i = 0; i < 4; i++) {
        if (simulator->servers[i].runs->len > 0) {
            simulator_restart_server(simulator, i);
        }
    }
    ck_assert_int_eq(used_accels(simulator, "account"), 0);
    ck_assert_int_eq(run_and_watch(simulator, 5000), 8);
    simulator_free(simulator);
}
END_TEST

/*
 * A cap that is lowered while starts are being stored: they must not be ordered.  The simulator
 * itself tolerates the earlier cap for 4 s.
 */
START_TEST(cap_lowered_before_order_stops_start)
{
    struct simulator *simulator = simulator_new(47, 8, &no_faults, NULL);
    struct simulator_counts counts;
    cap_accels(simulator, "account", 20);
    simulator_run(simulator, 3000);
    simulator_stop_log(simulator, 1000);
    submit_step(simulator, "gang", "account", "q1", 12, 1, true);
    submit_step(simulator, "single", "account", "q1", 1, 1, false);
    simulator_run(simulator, 500);
    cap_accels(simulator, "account", 2);
    simulator_run(simulator, 3000);
    simulator_counts(simulator, &counts);
    ck_assert_uint_eq(counts.starts, 1); /* only the single task fits */
    ck_assert_int_eq(simulator_job_phase(simulator, "gang"), MS_PHASE_OPEN);
    cap_accels(simulator, "account", 12);
    simulator_run(simulator, 6000);
    expect_phase(simulator, "gang", MS_PHASE_SUCCEEDED);
    expect_phase(simulator, "single", MS_PHASE_SUCCEEDED);
    simulator_free(simulator);
}
END_TEST

/*
 * A cap that is lowered while the order of a start has no answer: the order must not be repeated,
 * as it may not have been carried out yet.
 */
START_TEST(cap_lowered_stops_repeated_order)
{
    static const struct simulator_faults lost_orders = {.order_loss = 1000};
    struct simulator *simulator = simulator_new(48, 8, &no_faults, NULL);
    struct simulator_counts counts;
    cap_accels(simulator, "account", 20);
    simulator_run(simulator, 3000);
    submit_step(simulator, "wide", "account", "q1", 8, 1, false);
    simulator_run(simulator, 5); /* placed and being stored */
    simulator->faults = lost_orders;
    simulator_run(simulator, 300);
    simulator->faults = no_faults;
    cap_accels(simulator, "account", 4);
    simulator_run(simulator, 3500);
    simulator_counts(simulator, &counts);
    ck_assert_str_eq(simulator_violation(simulator), "");
    ck_assert_int_le(used_accels(simulator, "account"), 4);
    simulator_run(simulator, 20000);
    expect_phase(simulator, "wide", MS_PHASE_SUCCEEDED);
    simulator_free(simulator);
}
END_TEST

/* A cap that is lowered below what is used: runs must go on, and nothing new may start. */
START_TEST(lowered_cap_drains)
{
    struct simulator *simulator = simulator_new(49, 8, &no_faults, NULL);
    struct simulator_counts counts;
    cap_accels(simulator, "account", 20);
    submit_small_jobs(simulator, "small", "account", "q2", 40);
    simulator_run(simulator, 400);
    stall_all_runs(simulator);
    simulator_run(simulator, 1000);
    cap_accels(simulator, "account", 5);
    simulator_counts(simulator, &counts);
    uint32_t starts = counts.starts;
    ck_assert_int_eq(run_and_watch(simulator, 3000), 20);
    simulator_counts(simulator, &counts);
    ck_assert_uint_eq(counts.starts, starts);
    ck_assert_uint_eq(counts.stopped, 0);
    unstall_all_runs(simulator);
    while (used_accels(simulator, "account") > 5) {
        simulator_run(simulator, 1);
    }
    ck_assert_int_le(run_and_watch(simulator, 3000), 5);
    simulator_counts(simulator, &counts);
    ck_assert_uint_gt(counts.starts, starts);
    simulator_free(simulator);
}
END_TEST

/*
 * A gang that waits for its account's cap must not wait for good while small tasks of its account
 * take each accelerator that comes free.
 */
START_TEST(gang_is_not_starved_under_cap)
{
    struct simulator *simulator = simulator_new(50, 8, &no_faults, NULL);
    cap_accels(simulator, "account", 16);
    submit_small_jobs(simulator, "early", "account", "q1", 16);
    simulator_run(simulator, 100);
    submit_step(simulator, "gang", "account", "q1", 14, 1, true);
    simulator_run(simulator, 50);
    submit_small_jobs(simulator, "late", "account", "q1", 300);
    run_and_watch(simulator, 6000);
    expect_phase(simulator, "gang", MS_PHASE_SUCCEEDED);
    simulator_free(simulator);
}
END_TEST

/*
 * Urgent work at its account's cap must get its room from less urgent work of its own account, no
 * more than it needs, and stop nothing of another account.
 */
START_TEST(urgent_work_stops_only_work_of_its_account)
{
    struct simulator *simulator = simulator_new(51, 8, &no_faults, NULL);
    struct simulator_counts counts;
    cap_accels(simulator, "account", 16);
    submit_small_jobs(simulator, "loose", "account", "q2", 30);
    submit_small_jobs(simulator, "else", "other", "q2", 40);
    simulator_run(simulator, 300);
    stall_all_runs(simulator);
    simulator_run(simulator, 1000);
    ck_assert_int_eq(used_accels(simulator, "account"), 16);
    ck_assert_int_eq(used_accels(simulator, "other"), 40);
    submit_step(simulator, "urgent", "account", "q0", 4, 1, true);
    simulator_run(simulator, 100);
    ck_assert_uint_eq(count_stopping(simulator, "account"), 4);
    ck_assert_uint_eq(count_stopping(simulator, "other"), 0);
    simulator_run(simulator, 1000);
    ck_assert_int_eq(used_accels(simulator, "account"), 16);
    ck_assert_int_eq(used_accels(simulator, "other"), 40);
    simulator_counts(simulator, &counts);
    ck_assert_uint_eq(counts.stopped, 4);
    ck_assert_str_eq(simulator_violation(simulator), "");
    simulator_free(simulator);
}
END_TEST

/*
 * A gang that waits for its account's cap while servers are full must not preempt work of another
 * account for room that it cannot use.
 */
START_TEST(work_at_its_cap_preempts_nothing_of_others)
{
    struct simulator *simulator = simulator_new(52, 8, &no_faults, NULL);
    struct simulator_counts counts;
    cap_accels(simulator, "account", 8);
    submit_small_jobs(simulator, "own", "account", "q0", 8); /* may not be preempted */
    submit_small_jobs(simulator, "else", "other", "q2", 80);
    simulator_run(simulator, 300);
    stall_all_runs(simulator);
    simulator_run(simulator, 1000);
    ck_assert_int_eq(used_accels(simulator, "other"), 56);
    submit_step(simulator, "urgent", "account", "q0", 4, 1, true);
    submit_step(simulator, "gang", "account", "q1", 6, 1, true);
    simulator_run(simulator, 5000);
    simulator_counts(simulator, &counts);
    ck_assert_uint_eq(counts.stopped, 0);
    ck_assert_int_eq(used_accels(simulator, "other"), 56);
    simulator_free(simulator);
}
END_TEST

/*
 * RECLAIM: loose work of the account fills its cap, and that of another account the rest of the
 * servers.  All tasks of a job of priority 0 within the guarantee must start in time.
 */
START_TEST(guarantee_is_met_at_the_cap)
{
    for (int gang = 0; gang < 2; gang++) {
        struct simulator *simulator = simulator_new(53 + (uint64_t)gang, 8, &no_faults, NULL);
        cap_accels(simulator, "account", 24);
        submit_small_jobs(simulator, "loose", "account", "q2", 40);
        simulator_run(simulator, 100);
        submit_small_jobs(simulator, "else", "other", "q2", 80);
        simulator_run(simulator, 300);
        stall_all_runs(simulator);
        simulator_run(simulator, 3000);
        ck_assert_int_eq(used_accels(simulator, "account"), 24);
        ck_assert_int_eq(used_accels(simulator, "other"), 40);
        submit_step(simulator, "urgent", "account", "q0", 5, 2, gang == 1);
        simulator_run(simulator, RECLAIM_MS);
        uint32_t started = 0;
        for (size_t i = 0; i < simulator->server_count; i++) {
            const GArray *runs = simulator->servers[i].runs;
            for (guint k = 0; k < runs->len; k++) {
                started += strncmp(g_array_index(runs, struct run, k).task, "urgent.", 7) == 0;
            }
        }
        ck_assert_str_eq(simulator_violation(simulator), "");
        ck_assert_uint_eq(started, 5);
        simulator_free(simulator);
    }
}
END_TEST

/*
 * A job that was accepted before its cap was lowered and is larger than the cap must wait without
 * keeping other work waiting, of its account or of others; it runs once the cap is raised.
 */
START_TEST(gang_larger_than_cap_blocks_nothing)
{
    struct simulator *simulator = simulator_new(55, 8, &no_faults, NULL);
    struct simulator_counts counts;
    cap_accels(simulator, "account", 8);
    submit_step(simulator, "large", "account", "q0", 9, 1, true);
    submit_step(simulator, "task", "account", "q0", 1, 10, false);
    simulator_run(simulator, 2000);
    submit_small_jobs(simulator, "small", "account", "q1", 8);
    submit_small_jobs(simulator, "else", "other", "q2", 8);
    simulator_run(simulator, 200);
    stall_all_runs(simulator);
    simulator_run(simulator, 3000);
    ck_assert_int_eq(used_accels(simulator, "account"), 8);
    ck_assert_int_eq(used_accels(simulator, "other"), 8);
    simulator_counts(simulator, &counts);
    ck_assert_uint_eq(counts.stopped, 0);
    unstall_all_runs(simulator);
    cap_accels(simulator, "account", 20);
    simulator_run(simulator, 6000);
    expect_phase(simulator, "large", MS_PHASE_SUCCEEDED);
    expect_phase(simulator, "task", MS_PHASE_OPEN); /* larger than a server */
    simulator_free(simulator);
}
END_TEST

/*
 * A gang that fits under the cap but into no server must not reserve room under the cap, as its
 * account could use it.
 */
START_TEST(gang_without_servers_reserves_no_room)
{
    struct simulator *simulator = simulator_new(56, 8, &no_faults, NULL);
    struct ms_batch_spec spec;
    cap_accels(simulator, "account", 8);
    simple_spec(&spec, "gang", "q0", 6, 1);
    spec.steps[0].gang = true;
    g_strlcpy(spec.steps[0].label, "nowhere", sizeof(spec.steps[0].label));
    simulator_submit_job(simulator, &spec);
    simulator_run(simulator, 2000);
    submit_small_jobs(simulator, "small", "account", "q1", 20);
    simulator_run(simulator, 200);
    stall_all_runs(simulator);
    simulator_run(simulator, 1000);
    ck_assert_int_eq(used_accels(simulator, "account"), 8);
    ck_assert_str_eq(simulator_violation(simulator), "");
    simulator_free(simulator);
}
END_TEST

/*
 * Hundreds of units that wait for a cap would take the leader's time on 3,000 servers: a pass must
 * not look at any server for them.
 */
START_TEST(waits_for_cap_examine_no_servers)
{
    struct simulator *simulator = simulator_new(58, 8, &no_faults, NULL);
    cap_accels(simulator, "account", 8);
    submit_small_jobs(simulator, "small", "account", "q1", 200);
    simulator_run(simulator, 300);
    stall_all_runs(simulator);
    simulator_run(simulator, 2000);
    const struct ms_engine *engine = simulator->engine;
    GPtrArray *accounts = ms_engine_accounts(engine);
    const struct ms_batch_account *account = g_ptr_array_index(accounts, 0);
    ck_assert_uint_eq(accounts->len, 1);
    ck_assert_uint_eq(account->waiting_tasks, 192);
    ck_assert_uint_eq(account->delayed_units, 192);
    ck_assert_uint_eq(engine->units_waiting, 192);
    ck_assert_uint_eq(engine->servers_examined, 0);
    g_ptr_array_unref(accounts);
    simulator_free(simulator);
}
END_TEST

/* Operators must see that a unit waits for its account's cap, in a bounded number of lines. */
START_TEST(waits_for_cap_are_logged)
{
    char *trace = NULL;
    size_t trace_size = 0;
    FILE *stream = open_memstream(&trace, &trace_size);
    struct simulator *simulator = simulator_new(57, 8, &no_faults, stream);
    cap_accels(simulator, "account", 8);
    submit_small_jobs(simulator, "small", "account", "q1", 200);
    simulator_run(simulator, 300);
    stall_all_runs(simulator);
    simulator_run(simulator, 10000);
    ck_assert_str_eq(simulator_violation(simulator), "");
    simulator_free(simulator);
    ck_assert_int_eq(fclose(stream), 0);
    uint32_t lines = count_lines(trace, "event=waiting ", " free=over_cap ");
    ck_assert_uint_ge(lines, 7);
    ck_assert_uint_le(lines, 40);
    free(trace);
}
END_TEST

/*
 * Load: an account at its cap, a job of it is cancelled, and the leader is lost before the job's
 * runs have ended.  Guards against a new leader that does not count the runs of ended jobs.  In
 * the second and third round their servers are cut off meanwhile; in the third the state of the
 * cancelled job is stored before the leader is lost.
 */
START_TEST(runs_of_cancelled_job_count_after_takeover)
{
    struct simulator *simulator = simulator_new(144, 8, &no_faults, NULL);
    cap_accels(simulator, "account", 8);
    simulator_run(simulator, CAP_IN_FORCE_MS);
    submit_step(simulator, "wide", "account", "q1", 8, 1, false);
    simulator_run(simulator, 300);
    stall_all_runs(simulator);
    submit_small_jobs(simulator, "small", "account", "q1", 20);
    simulator_run(simulator, 500);
    for (size_t i = 0; _i > 0 && i < simulator->server_count; i++) {
        if (simulator->servers[i].runs->len > 0) {
            simulator_disconnect_server(simulator, i, 6000);
        }
    }
    simulator_cancel_job(simulator, "wide");
    simulator_run(simulator, _i == 2 ? 2000 : 1);
    simulator_change_leader(simulator, 20);
    simulator_run(simulator, 9000);
    ck_assert_str_eq(simulator_violation(simulator), "");
    simulator_free(simulator);
}
END_TEST

/*
 * Load: an account beyond its rate waits at its cap with urgent work, while urgent work of another
 * account needs room under its own cap.  Guards against stops under a cap that only consider the
 * tasks of the account that comes first.
 */
START_TEST(account_beyond_its_rate_does_not_block_stops_of_others)
{
    struct simulator *simulator = simulator_new(145, 8, &no_faults, NULL);
    struct simulator_counts counts;
    struct ms_batch_spec spec;
    simulator_set_weight(simulator, "busy", 1);
    simulator_set_weight(simulator, "account", 4);
    cap_accels(simulator, "account", 8);
    submit_small_jobs(simulator, "early", "busy", "q0", 40);
    simulator_run(simulator, 5000);
    cap_accels(simulator, "busy", 4);
    submit_small_jobs(simulator, "loose", "account", "q2", 12);
    submit_small_jobs(simulator, "busy", "busy", "q0", 10);
    simulator_run(simulator, 300);
    stall_all_runs(simulator);
    simple_spec(&spec, "urgent", "q1", 2, 1);
    spec.steps[0].gang = true;
    spec.steps[0].estimate_ms = 1500;
    simulator_submit_job(simulator, &spec);
    simulator_run(simulator, 5000);
    simulator_counts(simulator, &counts);
    ck_assert_str_eq(simulator_violation(simulator), "");
    ck_assert_uint_ge(counts.stopped, 2);
    simulator_free(simulator);
}
END_TEST

/*
 * Load: a step that is wider than the order backlog allows waits for its account's cap.  Guards
 * against holding back the work of others although no order is outstanding.
 */
START_TEST(wide_step_at_its_cap_does_not_hold_back_others)
{
    struct simulator *simulator = simulator_new(147, 8, &no_faults, NULL);
    cap_accels(simulator, "account", 8);
    simulator_run(simulator, 3000);
    submit_step(simulator, "wide", "account", "q1", 600, 1, false);
    simulator_run(simulator, 1000);
    stall_all_runs(simulator);
    submit_small_jobs(simulator, "else", "other", "q1", 20);
    simulator_run(simulator, 400);
    stall_all_runs(simulator);
    simulator_run(simulator, 400);
    ck_assert_int_eq(used_accels(simulator, "other"), 20);
    simulator_free(simulator);
}
END_TEST

TCase *
account_cases(void)
{
    TCase *cases = tcase_create("account caps");
    tcase_add_test(cases, tasks_under_cap_are_counted);
    tcase_add_test(cases, missing_room_is_counted);
    tcase_add_test(cases, jobs_that_never_fit_are_recognised);
    tcase_add_test(cases, wide_step_runs_in_waves);
    tcase_add_test(cases, raised_cap_lets_work_start);
    tcase_add_test(cases, starts_without_answer_count);
    tcase_add_test(cases, runs_of_earlier_leader_count);
    tcase_add_test(cases, runs_behind_partition_count);
    tcase_add_test(cases, restart_of_server_returns_room);
    tcase_add_test(cases, cap_lowered_before_order_stops_start);
    tcase_add_test(cases, cap_lowered_stops_repeated_order);
    tcase_add_test(cases, lowered_cap_drains);
    tcase_add_test(cases, gang_is_not_starved_under_cap);
    tcase_add_test(cases, urgent_work_stops_only_work_of_its_account);
    tcase_add_test(cases, work_at_its_cap_preempts_nothing_of_others);
    tcase_add_test(cases, guarantee_is_met_at_the_cap);
    tcase_add_test(cases, gang_larger_than_cap_blocks_nothing);
    tcase_add_test(cases, gang_without_servers_reserves_no_room);
    tcase_add_test(cases, waits_for_cap_examine_no_servers);
    tcase_add_test(cases, waits_for_cap_are_logged);
    tcase_add_loop_test(cases, runs_of_cancelled_job_count_after_takeover, 0, 3);
    tcase_add_test(cases, account_beyond_its_rate_does_not_block_stops_of_others);
    tcase_add_test(cases, wide_step_at_its_cap_does_not_hold_back_others);
    return cases;
}
