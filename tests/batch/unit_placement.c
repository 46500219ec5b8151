/*
 * unit_placement.c - tests of the placement pass: that waiting units get the capacity that
 * is there for them.  They run in the simulator.
 */
#include <stdio.h>

#include "batch/unit.h"
#include "batch/simulator.h"

static const struct simulator_faults no_faults;

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

/* Submits COUNT jobs of the lowest priority, each of one task with 100,000 MB. */
static void
submit_small_jobs(struct simulator *simulator, int count)
{
    for (int i = 0; i < count; i++) {
        struct ms_batch_spec spec;
        char id[MS_JOB_ID_MAX];
        snprintf(id, sizeof(id), "small%d", i);
        simple_spec(&spec, id, "q2", 1, 1);
        spec.steps[0].task_resources = (struct ms_resources){5600, 100000, 1};
        simulator_submit_job(simulator, &spec);
    }
}

/*
 * A wide gang must not wait for good because small tasks of a lower priority leave too little
 * room on each server.  To preempt one on each server exceeded the limit on the cost, however
 * long the gang had waited.
 */
START_TEST(wide_gang_is_not_starved_by_small_tasks)
{
    struct simulator *simulator = simulator_new(22, 20, &no_faults, NULL);
    struct ms_batch_spec spec;
    submit_small_jobs(simulator, 400);
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

TCase *
placement_cases(void)
{
    TCase *cases = tcase_create("placement");
    tcase_add_test(cases, wide_gang_is_not_starved_by_small_tasks);
    tcase_add_test(cases, preempting_gang_of_lower_priority_gets_the_servers);
    return cases;
}
