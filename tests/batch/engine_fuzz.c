/*
 * engine_fuzz.c - runs the engine in the simulator with random jobs and faults.
 *
 * usage: batch-fuzz FIRST LAST [trace]
 *
 * Runs the seeds FIRST to LAST; the third argument, whatever it is, prints a trace.  The
 * seed determines the jobs and the faults.  No invariant of the simulator may be violated, and
 * every job has to end once the faults are over.  Prints each seed that fails, then totals.
 */
#include <stdio.h>
#include <stdlib.h>

#include "batch/simulator.h"

#define JOB_COUNT 12
#define FAULTS_DURATION_MS 25000   /* in which faults occur and jobs are submitted */
#define FREQUENT_TAKEOVERS_EVERY 5 /* every 5th seed: a takeover each 1.7 s, silent servers */
#define RECOVERY_DURATION_MS 90000 /* without faults; all jobs have to end in it */

/* Runs one seed and adds its counts to TOTALS; returns whether it passed. */
static bool
run_seed(uint64_t seed, struct simulator_counts *totals, FILE *trace)
{
    uint64_t random_state = seed * 77777u + 5;
    struct simulator_faults faults = {
        .answer_loss = (int)simulator_random(&random_state, 60),
        .order_loss = (int)simulator_random(&random_state, 40),
        .order_delay = (int)simulator_random(&random_state, 40),
        .server_restart = (int)simulator_random(&random_state, 3),
        .server_disconnect = (int)simulator_random(&random_state, 6),
        .leader_change = (int)simulator_random(&random_state, 20),
        .log_outage = (int)simulator_random(&random_state, 15),
        .run_failure = (int)simulator_random(&random_state, 120),
        .job_cancellation = (int)simulator_random(&random_state, 15),
        .server_drain = 0,
        .server_loss = 0,
    };
    if (simulator_random(&random_state, 3) == 0) {
        faults.server_drain = 1;
    }
    else if (simulator_random(&random_state, 2) == 0) {
        faults.server_loss = 1;
    }
    if (simulator_random(&random_state, 4) == 0) {
        faults.run_stall = 2;
    }
    if (seed % FREQUENT_TAKEOVERS_EVERY == 0) {
        faults.leader_change = 60;
        faults.server_silence = 5;
    }
    struct simulator *simulator = simulator_new(seed, 16, &faults, trace);
    for (uint32_t i = 0; i < JOB_COUNT; i++) {
        struct ms_batch_spec spec;
        simulator_random_spec(&random_state, i, &spec);
        simulator_submit_job(simulator, &spec);
        simulator_run(simulator, FAULTS_DURATION_MS / JOB_COUNT);
    }
    simulator_disable_faults(simulator);
    simulator_run(simulator, RECOVERY_DURATION_MS);
    bool passed = simulator_violation(simulator)[0] == '\0';
    if (!passed) {
        printf("seed=%lu broken=\"%s\"\n", (unsigned long)seed, simulator_violation(simulator));
    }
    for (uint32_t i = 0; passed && i < JOB_COUNT; i++) {
        char id[MS_JOB_ID_MAX];
        snprintf(id, sizeof(id), "job%u", i);
        if (simulator_job_phase(simulator, id) == MS_PHASE_OPEN) {
            printf("seed=%lu broken=\"%s has not ended\"\n", (unsigned long)seed, id);
            passed = false;
        }
    }
    struct simulator_counts counts;
    simulator_counts(simulator, &counts);
    totals->starts += counts.starts;
    totals->done += counts.done;
    totals->failed += counts.failed;
    totals->stopped += counts.stopped;
    totals->leader_changes += counts.leader_changes;
    simulator_free(simulator);
    return passed;
}

int
main(int argc, char **argv)
{
    if (argc != 3 && argc != 4) {
        fprintf(stderr, "usage: batch-fuzz FIRST LAST [trace]\n");
        return 2;
    }
    uint64_t first = strtoull(argv[1], NULL, 10);
    uint64_t last = strtoull(argv[2], NULL, 10);
    uint64_t failed = 0;
    struct simulator_counts totals = {0, 0, 0, 0, 0};
    for (uint64_t seed = first; seed <= last; seed++) {
        failed += !run_seed(seed, &totals, argc == 4 ? stdout : NULL);
    }
    printf("starts=%u done=%u failed=%u stopped=%u take_overs=%u\n", totals.starts, totals.done,
           totals.failed, totals.stopped, totals.leader_changes);
    printf("%lu seeds, %lu failed\n", (unsigned long)last - (unsigned long)first + 1,
           (unsigned long)failed);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
