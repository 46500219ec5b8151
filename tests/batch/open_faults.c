/*
 * open_faults.c - tests that fail, of faults that are not mended yet; KNOWN-RED.txt lists them.
 *
 * A test moves to the file of its subject together with the mend.
 */
#include <stdio.h>
#include <stdlib.h>

#include "batch/engine.h"
#include "batch/unit.h"
#include "batch/simulator.h"
#include "batch/simulator_private.h"

#define LONG_RUN_MS 6000
#define TEST_TIMEOUT_S 60

static const struct simulator_faults no_faults;

static void
submit_single(struct simulator *simulator, const char *prefix, int number, const char *queue,
              int64_t accels)
{
    struct ms_batch_spec spec;
    char id[MS_JOB_ID_MAX];
    snprintf(id, sizeof(id), "%s%d", prefix, number);
    simple_spec(&spec, id, queue, 1, accels);
    simulator_submit_job(simulator, &spec);
}

/* Lets all runs of the simulator's small jobs take LONG_RUN_MS. */
static void
prolong_small_runs(struct simulator *simulator)
{
    for (size_t i = 0; i < simulator->server_count; i++) {
        GArray *runs = simulator->servers[i].runs;
        for (guint k = 0; k < runs->len; k++) {
            struct run *run = &g_array_index(runs, struct run, k);
            if (g_str_has_prefix(run->task, "small")) {
                run->ends_at = run->started_at + LONG_RUN_MS;
            }
        }
    }
}

/* Submits COUNT small jobs, one each INTERVAL_MS. */
static void
submit_small_jobs(struct simulator *simulator, int *number, int count, int64_t interval_ms)
{
    for (int i = 0; i < count; i++) {
        submit_single(simulator, "small", (*number)++, "q1", 1);
        for (int64_t ms = 0; ms < interval_ms; ms += 20) {
            simulator_run(simulator, 20);
            prolong_small_runs(simulator);
        }
    }
}

/*
 * Small tasks of a gang's own priority must not keep it from starting for as long as they
 * arrive, though less than half of the capacity is in use.
 */
START_TEST(wide_gang_is_not_starved_by_small_tasks_while_capacity_is_ample)
{
    struct simulator *simulator = simulator_new(33, 16, &no_faults, NULL);
    struct ms_batch_spec spec;
    int number = 0;
    submit_small_jobs(simulator, &number, 60, 120);
    simple_spec(&spec, "gang", "q1", 12, 8);
    spec.steps[0].gang = true;
    simulator_submit_job(simulator, &spec);
    submit_small_jobs(simulator, &number, 500, 120);
    ck_assert_str_eq(simulator_violation(simulator), "");
    ck_assert_int_eq(simulator_job_phase(simulator, "gang"), MS_PHASE_SUCCEEDED);
    simulator_free(simulator);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("open faults");
    TCase *cases = tcase_create("all");
    tcase_set_timeout(cases, TEST_TIMEOUT_S);
    tcase_add_test(cases, wide_gang_is_not_starved_by_small_tasks_while_capacity_is_ample);
    suite_add_tcase(suite, cases);
    suite_add_tcase(suite, late_copy_open_cases());
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
