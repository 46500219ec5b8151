/*
 * unit_placement.c - tests of the placement pass: that waiting units get the capacity that
 * is there for them.  They run in the simulator.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "batch/unit.h"
#include "batch/simulator.h"
#include "batch/simulator_private.h"

static const struct simulator_faults no_faults;

/* Submits COUNT jobs PREFIX0, PREFIX1, ... to QUEUE, each of one task that needs RESOURCES. */
static void
submit_single_jobs(struct simulator *simulator, const char *prefix, const char *queue, int count,
                   struct ms_resources resources)
{
    for (int i = 0; i < count; i++) {
        struct ms_batch_spec spec;
        char id[MS_JOB_ID_MAX];
        snprintf(id, sizeof(id), "%s%d", prefix, i);
        simple_spec(&spec, id, queue, 1, 0);
        spec.steps[0].task_resources = resources;
        simulator_submit_job(simulator, &spec);
    }
}

/*
 * A gang that preempts tasks must be able to use the servers that it has emptied.  When these
 * were left to the top priority, a gang of a lower one preempted tasks on server after server.
 */
START_TEST(preempting_gang_of_lower_priority_gets_the_servers)
{
    struct simulator *simulator = simulator_new(21, 8, &no_faults, NULL);
    struct ms_batch_spec spec;
    struct simulator_counts counts;
    for (int i = 0; i < 16; i++) {
        char id[MS_JOB_ID_MAX];
        snprintf(id, sizeof(id), "low%d", i);
        simple_spec(&spec, id, "q2", 1, 4);
        spec.steps[0].estimate_ms = 20000;
        spec.steps[0].checkpoints = true;
        simulator_submit_job(simulator, &spec);
    }
    simulator_run(simulator, 200);
    simple_spec(&spec, "gang", "q1", 4, 8);
    spec.steps[0].gang = true;
    spec.steps[0].estimate_ms = 100;
    simulator_submit_job(simulator, &spec);
    simulator_run(simulator, 2800);
    simulator_counts(simulator, &counts);
    ck_assert_str_eq(simulator_violation(simulator), "");
    ck_assert_int_eq(simulator_job_phase(simulator, "gang"), MS_PHASE_SUCCEEDED);
    ck_assert_uint_le(counts.stopped, 8); /* at most two tasks on each of four servers */
    simulator_free(simulator);
}
END_TEST

/*
 * A wide gang must not wait for good because small tasks of a lower priority leave too little
 * room on each server.  To preempt one on each server exceeded the limit on the cost, however
 * long the gang had waited.
 */
START_TEST(wide_gang_is_not_starved_by_small_tasks)
{
    struct simulator *simulator = simulator_new(22, 20, &no_faults, NULL);
    struct ms_batch_spec spec;
    submit_single_jobs(simulator, "small", "q2", 400, (struct ms_resources){5600, 100000, 1});
    simulator_run(simulator, 1500);
    simple_spec(&spec, "gang", "q1", 20, 1);
    spec.steps[0].task_resources = (struct ms_resources){26000, 140000, 1};
    spec.steps[0].gang = true;
    simulator_submit_job(simulator, &spec);
    simulator_run(simulator, 6000);
    ck_assert_str_eq(simulator_violation(simulator), "");
    ck_assert_int_eq(simulator_job_phase(simulator, "gang"), MS_PHASE_SUCCEEDED);
    simulator_free(simulator);
}
END_TEST

/*
 * A gang that needs many whole servers must not wait for good while later jobs of its own
 * priority take each server that becomes free.  Its reservation would have left more servers
 * idle than reservations may in all, so it never had one.
 */
START_TEST(wide_gang_is_not_starved_by_later_jobs_of_its_priority)
{
    struct simulator *simulator = simulator_new(23, 16, &no_faults, NULL);
    submit_single_jobs(simulator, "early", "q1", 16, (struct ms_resources){1000, 1000, 8});
    simulator_run(simulator, 100);
    struct ms_batch_spec spec;
    simple_spec(&spec, "gang", "q1", 8, 8);
    spec.steps[0].gang = true;
    simulator_submit_job(simulator, &spec);
    simulator_run(simulator, 100);
    submit_single_jobs(simulator, "late", "q1", 200, (struct ms_resources){1000, 1000, 8});
    simulator_run(simulator, 8000);
    ck_assert_str_eq(simulator_violation(simulator), "");
    ck_assert_int_eq(simulator_job_phase(simulator, "gang"), MS_PHASE_SUCCEEDED);
    simulator_free(simulator);
}
END_TEST

/*
 * A gang that prefers one rack must not wait for it for seconds while all servers are
 * idle and no rack has enough of them.
 */
START_TEST(gang_leaves_its_rack_soon_while_capacity_is_ample)
{
    struct simulator *simulator = simulator_new(24, 16, &no_faults, NULL);
    struct ms_batch_spec spec;
    for (size_t i = 0; i < 16; i += 4) {
        simulator_disconnect_server(simulator, i, 60000); /* one of the four servers of a rack */
    }
    simulator_run(simulator, 3000);
    simple_spec(&spec, "gang", "q1", 4, 8);
    spec.steps[0].gang = true;
    spec.steps[0].same_rack = true;
    spec.steps[0].estimate_ms = 20000;
    simulator_submit_job(simulator, &spec);
    simulator_run(simulator, 4000);
    ck_assert_str_eq(simulator_violation(simulator), "");
    ck_assert_int_eq(simulator_job_phase(simulator, "gang"), MS_PHASE_SUCCEEDED);
    simulator_free(simulator);
}
END_TEST

/*
 * A gang must not lose the time that it has waited when the leader changes: with a new leader
 * every second it never waited long enough to preempt others.
 */
START_TEST(wait_of_gang_counts_over_leader_changes)
{
    struct simulator *simulator = simulator_new(25, 8, &no_faults, NULL);
    struct ms_batch_spec spec;
    submit_single_jobs(simulator, "small", "q2", 200, (struct ms_resources){5600, 100000, 1});
    simulator_run(simulator, 500);
    simple_spec(&spec, "gang", "q1", 8, 1);
    spec.steps[0].task_resources = (struct ms_resources){26000, 140000, 1};
    spec.steps[0].gang = true;
    simulator_submit_job(simulator, &spec);
    for (int i = 0; i < 6; i++) {
        simulator_run(simulator, 1000);
        simulator_change_leader(simulator, 20);
    }
    simulator_run(simulator, 1000);
    ck_assert_str_eq(simulator_violation(simulator), "");
    ck_assert_int_eq(simulator_job_phase(simulator, "gang"), MS_PHASE_SUCCEEDED);
    simulator_free(simulator);
}
END_TEST

/* The number of lines of TRACE that say that a run of JOB was preempted. */
static uint32_t
count_preemptions(const char *trace, const char *job)
{
    uint32_t count = 0;
    char prefix[MS_TASK_NAME_MAX];
    snprintf(prefix, sizeof(prefix), "event=stop task=%s.", job);
    char **lines = g_strsplit(trace, "\n", -1);
    for (size_t i = 0; lines[i] != NULL; i++) {
        count += strstr(lines[i], prefix) != NULL && strstr(lines[i], "reason=reclaimed") != NULL;
    }
    g_strfreev(lines);
    return count;
}

/*
 * Preemptions must not hit the same task again and again: one that has just been restarted has
 * the least work to lose.
 */
START_TEST(preemptions_spread_over_tasks)
{
    char *trace = NULL;
    size_t trace_size = 0;
    FILE *stream = open_memstream(&trace, &trace_size);
    struct simulator *simulator = simulator_new(26, 1, &no_faults, stream);
    struct ms_batch_spec spec;
    for (int i = 0; i < 8; i++) {
        char id[MS_JOB_ID_MAX];
        snprintf(id, sizeof(id), "long%d", i);
        simple_spec(&spec, id, "q2", 1, 1);
        spec.steps[0].estimate_ms = 100000;
        simulator_submit_job(simulator, &spec);
    }
    simulator_run(simulator, 300);
    simulator_stall_runs(simulator, 0, 1000000); /* the runs do not end */
    for (int i = 0; i < 6; i++) {
        char id[MS_JOB_ID_MAX];
        snprintf(id, sizeof(id), "urgent%d", i);
        simple_spec(&spec, id, "q0", 1, 1);
        spec.steps[0].estimate_ms = 100000;
        simulator_submit_job(simulator, &spec);
        simulator_run(simulator, 2000);
        simulator_cancel_job(simulator, id);
        simulator_run(simulator, 3000);
    }
    ck_assert_str_eq(simulator_violation(simulator), "");
    simulator_free(simulator);
    ck_assert_int_eq(fclose(stream), 0);
    uint32_t total = 0;
    for (int i = 0; i < 8; i++) {
        char id[MS_JOB_ID_MAX];
        snprintf(id, sizeof(id), "long%d", i);
        uint32_t count = count_preemptions(trace, id);
        ck_assert_uint_le(count, 3);
        total += count;
    }
    ck_assert_uint_ge(total, 6);
    free(trace);
}
END_TEST

/*
 * With a new leader a gang must wait for its rack again: servers are back soon after a
 * takeover, and outside its rack the gang would take much longer.
 */
START_TEST(gang_waits_for_its_rack_after_leader_change)
{
    struct simulator *simulator = simulator_new(27, 8, &no_faults, NULL);
    struct ms_batch_spec spec;
    struct simulator_counts counts;
    simulator_disconnect_server(simulator, 0, 8500); /* one of the four servers of each rack */
    simulator_disconnect_server(simulator, 4, 60000);
    simulator_run(simulator, 500);
    simple_spec(&spec, "gang", "q1", 4, 8);
    spec.steps[0].gang = true;
    spec.steps[0].same_rack = true;
    spec.steps[0].estimate_ms = 20000;
    simulator_submit_job(simulator, &spec);
    simulator_run(simulator, 5000);
    simulator_change_leader(simulator, 20);
    simulator_run(simulator, 2500);
    simulator_counts(simulator, &counts);
    ck_assert_uint_eq(counts.starts, 0);
    simulator_run(simulator, 4000); /* the first rack is complete again */
    ck_assert_str_eq(simulator_violation(simulator), "");
    ck_assert_int_eq(simulator_job_phase(simulator, "gang"), MS_PHASE_SUCCEEDED);
    simulator_free(simulator);
}
END_TEST

/*
 * A gang that can never start beside tasks that run until they are cancelled must not keep
 * most servers idle for good.
 */
START_TEST(gang_that_waits_for_long_running_tasks_does_not_starve_others)
{
    struct simulator *simulator = simulator_new(32, 16, &no_faults, NULL);
    struct ms_batch_spec spec;
    simple_spec(&spec, "service", "q1", 8, 8);
    spec.steps[0].long_running = true;
    spec.steps[0].estimate_ms = 1000000;
    simulator_submit_job(simulator, &spec);
    simulator_run(simulator, 400);
    for (size_t i = 0; i < simulator->server_count; i++) {
        if (simulator->servers[i].runs->len > 0) {
            simulator_stall_runs(simulator, i, 1000000); /* its run does not end */
        }
    }
    simple_spec(&spec, "gang", "q1", 16, 8);
    spec.steps[0].gang = true;
    simulator_submit_job(simulator, &spec);
    simulator_run(simulator, 3000);
    submit_single_jobs(simulator, "later", "q1", 8, (struct ms_resources){1000, 1000, 8});
    simulator_run(simulator, 30000);
    ck_assert_str_eq(simulator_violation(simulator), "");
    for (int i = 0; i < 8; i++) {
        char id[MS_JOB_ID_MAX];
        snprintf(id, sizeof(id), "later%d", i);
        ck_assert_int_eq(simulator_job_phase(simulator, id), MS_PHASE_SUCCEEDED);
    }
    simulator_free(simulator);
}
END_TEST

/*
 * A host whose clock is a minute behind accepts a job.  It has waited for a moment only, so it must
 * not preempt at once what a job that has waited for a minute may preempt.
 */
START_TEST(clock_of_accepting_host_does_not_lengthen_wait)
{
    struct simulator *simulator = simulator_new(35, 8, &no_faults, NULL);
    struct ms_batch_spec spec;
    struct simulator_counts counts;
    simulator_run(simulator, 61000);
    submit_single_jobs(simulator, "small", "q2", 8, (struct ms_resources){1000, 1000, 8});
    simulator_run(simulator, 100);
    for (size_t i = 0; i < simulator->server_count; i++) {
        simulator_stall_runs(simulator, i, 1000000);
    }
    simulator_run(simulator, 400);
    simple_spec(&spec, "gang", "q1", 8, 8);
    spec.steps[0].gang = true;
    simulator_submit_job(simulator, &spec);
    struct ms_stored_job *job = g_hash_table_lookup(simulator->table->jobs, "gang");
    job->spec.accepted_ms -= 60000;
    simulator_run(simulator, 800); /* less than half of its slack */
    simulator_counts(simulator, &counts);
    ck_assert_uint_eq(counts.stopped, 0);
    simulator_free(simulator);
}
END_TEST

/* Submits COUNT jobs of ACCOUNT, numbered from *NEXT on, each of one small task. */
static void
submit_load(struct simulator *simulator, const char *account, uint32_t count, uint32_t *next)
{
    for (uint32_t i = 0; i < count; i++) {
        struct ms_batch_spec spec;
        char id[MS_JOB_ID_MAX];
        snprintf(id, sizeof(id), "%s%u", account, (*next)++);
        simple_spec(&spec, id, "q1", 1, 1);
        g_strlcpy(spec.account, account, sizeof(spec.account));
        spec.steps[0].task_resources = (struct ms_resources){4000, 29000, 1};
        simulator_submit_job(simulator, &spec);
    }
}

/*
 * A gang that needs much of its account's cap, and many servers, must not wait for one and then for
 * the other for good while small tasks of its account take the one that it does not wait for.
 */
START_TEST(gang_gets_servers_and_room_under_cap)
{
    struct simulator *simulator = simulator_new(36, 8, &no_faults, NULL);
    struct ms_batch_spec spec;
    uint32_t own = 0;
    uint32_t others = 0;
    simulator_set_cap(simulator, "account", (struct ms_resources){0, 1024000, 0}, 0);
    for (int i = 0; i < 170; i++) {
        if (i == 20) {
            simple_spec(&spec, "gang", "q1", 6, 1);
            spec.steps[0].task_resources = (struct ms_resources){26000, 140000, 1};
            spec.steps[0].gang = true;
            simulator_submit_job(simulator, &spec);
        }
        submit_load(simulator, "account", 2, &own);
        submit_load(simulator, "other", 4, &others);
        simulator_run(simulator, 200);
    }
    expect_phase(simulator, "gang", MS_PHASE_SUCCEEDED);
    simulator_free(simulator);
}
END_TEST

TCase *
placement_cases(void)
{
    TCase *cases = tcase_create("placement");
    tcase_add_test(cases, gang_gets_servers_and_room_under_cap);
    tcase_add_test(cases, clock_of_accepting_host_does_not_lengthen_wait);
    tcase_add_test(cases, gang_that_waits_for_long_running_tasks_does_not_starve_others);
    tcase_add_test(cases, gang_waits_for_its_rack_after_leader_change);
    tcase_add_test(cases, preemptions_spread_over_tasks);
    tcase_add_test(cases, wait_of_gang_counts_over_leader_changes);
    tcase_add_test(cases, gang_leaves_its_rack_soon_while_capacity_is_ample);
    tcase_add_test(cases, wide_gang_is_not_starved_by_later_jobs_of_its_priority);
    tcase_add_test(cases, wide_gang_is_not_starved_by_small_tasks);
    tcase_add_test(cases, preempting_gang_of_lower_priority_gets_the_servers);
    return cases;
}
