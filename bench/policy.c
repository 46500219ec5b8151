/*
 * policy.c - compares the decision core with the reference scheduler.
 *
 * usage: bench-policy [SEED]
 *
 * Both run the same seeded workload in the simulator, in simulated time.  Prints
 * key=value lines, which docs/DESIGN.md defines; `naive` is the reference
 * scheduler.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "naive/simulator.h"

#define HOUR_MS 3600000LL
#define BURST_INTERVAL_MS 60000
/*
 * Exclusive upper bounds of the small jobs in a burst: about half, and nearly all, of the
 * capacity.
 */
#define SMALL_JOBS_MODERATE 80
#define SMALL_JOBS_HIGH 190
#define LARGE_GANG_ACCELS 32 /* a job with this many accelerators or more is a large gang */

static const char *const accounts[] = {"recipes", "reorders", "heating", "archive"};

static void
add_rules(struct simulator *sim)
{
    for (size_t i = 0; i < G_N_ELEMENTS(accounts); i++) {
        struct ms_rule rule = {.kind = MS_RULE_ACCOUNT, .share = 1};
        g_strlcpy(rule.name, accounts[i], sizeof(rule.name));
        sim_set_rule(sim, 0, &rule);
    }
}

/* Submits bursts of small and large jobs with wrong declared run times for DURATION_MS. */
static void
add_workload(struct simulator *sim, uint32_t seed, unsigned int dc_count, int64_t duration_ms,
             int max_small_count)
{
    GRand *random = g_rand_new_with_seed(seed);
    int job_number = 0;
    for (int64_t burst_at = 0; burst_at < duration_ms; burst_at += BURST_INTERVAL_MS) {
        int small_count = g_rand_int_range(random, 10, max_small_count) * (int)dc_count;
        int large_count = g_rand_int_range(random, 0, 3) * (int)dc_count;
        for (int i = 0; i < small_count + large_count; i++) {
            bool is_gang = i >= small_count;
            struct ms_job_spec spec = {.idempotent = true, .job_class = MS_CLASS_NORMAL};
            g_strlcpy(spec.account, accounts[g_rand_int_range(random, 0, 4)], MS_NAME_MAX);
            g_snprintf(spec.key, sizeof(spec.key), "j%d", job_number++);
            spec.tasks = is_gang ? (uint32_t)g_rand_int_range(random, 4, 9) : 1;
            spec.accels = is_gang ? 8 : (uint32_t)g_rand_int_range(random, 0, 5);
            spec.adjacency = is_gang ? MS_ADJACENT_RACK : MS_ADJACENT_DC;
            spec.checkpointable = g_rand_int_range(random, 0, 2) == 0;
            int64_t run_time_ms = is_gang ? g_rand_int_range(random, 60000, 240000)
                                          : g_rand_int_range(random, 5000, 120000);
            /* The declared time is between 1/8 of the real run time and 8 times as long. */
            spec.declared_ms = run_time_ms * g_rand_int_range(random, 1, 65) / 8;
            sim_submit_job(sim, burst_at + g_rand_int_range(random, 0, BURST_INTERVAL_MS / 2),
                           (unsigned int)g_rand_int_range(random, 0, (gint32)dc_count), &spec,
                           run_time_ms);
        }
    }
    g_rand_free(random);
}

static gint
compare_int64(gconstpointer a, gconstpointer b)
{
    int64_t first = *(const int64_t *)a;
    int64_t second = *(const int64_t *)b;
    return (first > second) - (first < second);
}

/* The value below which SHARE (0 to 1) of VALUES lie; sorts VALUES. */
static int64_t
percentile(GArray *values, double share)
{
    if (values->len == 0) {
        return 0;
    }
    g_array_sort(values, compare_int64);
    return g_array_index(values, int64_t, (guint)((double)(values->len - 1) * share));
}

struct results {
    int64_t completion_p50_ms;
    int64_t completion_p99_ms;
    int64_t gang_delay_p50_ms;
    int64_t gang_delay_p99_ms;
    double fragmentation;
    double work;
    guint done_count;
};

/*
 * Fills RESULTS.  Times count from the submission; a job that has not ended (or started)
 * by UNTIL counts with the time until then.  gang_delay_* are start delays of large gangs.
 */
static void
compute_results(const struct simulator *sim, int64_t until, struct results *results)
{
    GArray *completion_times = g_array_new(FALSE, FALSE, sizeof(int64_t));
    GArray *gang_delays = g_array_new(FALSE, FALSE, sizeof(int64_t));
    GPtrArray *jobs = sim_jobs(sim);
    for (guint i = 0; i < jobs->len; i++) {
        const struct sim_job *job = g_ptr_array_index(jobs, i);
        int64_t completion_ms = (job->ended_at >= 0 ? job->ended_at : until) - job->submitted_at;
        int64_t start_delay_ms =
            (job->started_at >= 0 ? job->started_at : until) - job->submitted_at;
        g_array_append_val(completion_times, completion_ms);
        if (job->spec.tasks * job->spec.accels >= LARGE_GANG_ACCELS) {
            g_array_append_val(gang_delays, start_delay_ms);
        }
        results->done_count += job->code == MS_OUTCOME_DONE && job->outcome_count > 0 ? 1 : 0;
    }
    results->completion_p50_ms = percentile(completion_times, 0.5);
    results->completion_p99_ms = percentile(completion_times, 0.99);
    results->gang_delay_p50_ms = percentile(gang_delays, 0.5);
    results->gang_delay_p99_ms = percentile(gang_delays, 0.99);
    results->fragmentation = sim_mean_fragmentation(sim);
    g_array_free(completion_times, TRUE);
    g_array_free(gang_delays, TRUE);
}

static void
print_results(const char *measure, const char *scheduler, uint32_t seed,
              const struct results *results)
{
    printf("measure=%s policy=%s seed=%u done=%u completion_p50_ms=%" G_GINT64_FORMAT
           " completion_p99_ms=%" G_GINT64_FORMAT " gang_delay_p50_ms=%" G_GINT64_FORMAT
           " gang_delay_p99_ms=%" G_GINT64_FORMAT " fragmentation=%.3f\n",
           measure, scheduler, seed, results->done_count, results->completion_p50_ms,
           results->completion_p99_ms, results->gang_delay_p50_ms, results->gang_delay_p99_ms,
           results->fragmentation);
}

static double
ratio(int64_t reference, int64_t core)
{
    return (double)reference / (double)MAX(core, 1);
}

/* Completion times and fragmentation in one data centre with an hour of bursts. */
static void
measure_load(uint32_t seed, const char *measure, int max_small_count)
{
    struct results results[2] = {0};
    for (int scheduler = SIM_SCHEDULER_CORE; scheduler <= SIM_SCHEDULER_REFERENCE; scheduler++) {
        struct sim_options options = {.seed = seed,
                                      .scheduler = (enum sim_scheduler)scheduler,
                                      .dc_count = 1,
                                      .servers_per_dc = 50,
                                      .servers_per_rack = 8,
                                      .slots_per_server = 16,
                                      .accels_per_server = 8,
                                      .max_delay_ms = 3};
        struct simulator *sim = sim_new(&options);
        add_rules(sim);
        add_workload(sim, seed, 1, HOUR_MS, max_small_count);
        sim_run(sim, 2 * HOUR_MS);
        compute_results(sim, 2 * HOUR_MS, &results[scheduler]);
        print_results(measure, scheduler == SIM_SCHEDULER_CORE ? "core" : "naive", seed,
                      &results[scheduler]);
        sim_free(sim);
    }
    printf("measure=%s ratio seed=%u completion_p50=%.2f completion_p99=%.2f gang_delay_p99=%.2f"
           " fragmentation=%.2f\n",
           measure, seed, ratio(results[1].completion_p50_ms, results[0].completion_p50_ms),
           ratio(results[1].completion_p99_ms, results[0].completion_p99_ms),
           ratio(results[1].gang_delay_p99_ms, results[0].gang_delay_p99_ms),
           results[1].fragmentation / MAX(results[0].fragmentation, 0.001));
}

/*
 * Work done while one of three data centres is out of service for ten minutes,
 * as a share of what the other two could do at most: the smaller of their
 * capacity and the demand.  The demand is the work done in a third simulation
 * (the decision core again) without the outage.
 */
static void
measure_dc_outage(uint32_t seed)
{
    const int64_t from = 10 * 60000;
    const int64_t until = 20 * 60000;
    double work_accel_ms[2] = {0};
    double demand_accel_ms = 0;
    /* Of the two data centres that stay in service. */
    const double capacity_accel_ms = 2.0 * 16 * 8 * (double)(until - from);
    for (int variant = 0; variant < 3; variant++) {
        struct sim_options options = {.seed = seed,
                                      .scheduler = variant == 1 ? SIM_SCHEDULER_REFERENCE
                                                                : SIM_SCHEDULER_CORE,
                                      .dc_count = 3,
                                      .servers_per_dc = 16,
                                      .servers_per_rack = 8,
                                      .slots_per_server = 16,
                                      .accels_per_server = 8,
                                      .max_delay_ms = 3};
        struct simulator *sim = sim_new(&options);
        add_rules(sim);
        add_workload(sim, seed, 3, until + 60000, SMALL_JOBS_HIGH / 4);
        if (variant < 2) {
            sim_dc_outage(sim, from, until, 1, 5000);
        }
        sim_run(sim, until + HOUR_MS);
        if (variant < 2) {
            work_accel_ms[variant] = sim_useful_accel_ms(sim, from, until);
        }
        else {
            demand_accel_ms = sim_useful_accel_ms(sim, from, until);
        }
        sim_free(sim);
    }
    double possible_accel_ms = MIN(capacity_accel_ms, demand_accel_ms);
    printf("measure=absence seed=%u possible_accel_s=%.0f core_accel_s=%.0f naive_accel_s=%.0f"
           " core_share=%.3f naive_share=%.3f\n",
           seed, possible_accel_ms / 1000, work_accel_ms[0] / 1000, work_accel_ms[1] / 1000,
           work_accel_ms[0] / possible_accel_ms, work_accel_ms[1] / possible_accel_ms);
}

/*
 * Start delay of jobs that use a guarantee while the data centre is full of
 * preemptible jobs of another account.
 */
static void
measure_guarantee_delay(uint32_t seed)
{
    struct sim_options options = {.seed = seed,
                                  .dc_count = 1,
                                  .servers_per_dc = 50,
                                  .servers_per_rack = 8,
                                  .slots_per_server = 16,
                                  .accels_per_server = 8,
                                  .max_delay_ms = 20,
                                  .check_invariants = true};
    struct simulator *sim = sim_new(&options);
    GArray *delays = g_array_new(FALSE, FALSE, sizeof(int64_t));
    struct ms_rule rule = {
        .kind = MS_RULE_GUARANTEE, .tasks = 4, .accels = 8, .adjacency = MS_ADJACENT_RACK};
    add_rules(sim);
    g_strlcpy(rule.name, "g1", sizeof(rule.name));
    g_strlcpy(rule.account, "recipes", sizeof(rule.account));
    g_strlcpy(rule.dc, "dc-1", sizeof(rule.dc));
    sim_set_rule(sim, 0, &rule);
    for (int i = 0; i < 600; i++) {
        struct ms_job_spec spec = {.idempotent = i % 3 > 0,
                                   .checkpointable = i % 2 == 0,
                                   .tasks = 1,
                                   .accels = 1 + (uint32_t)(i % 4) * 2,
                                   .job_class = MS_CLASS_NORMAL};
        spec.idempotent = spec.idempotent || !spec.checkpointable;
        g_strlcpy(spec.account, "archive", MS_NAME_MAX);
        g_snprintf(spec.key, sizeof(spec.key), "b%d", i);
        sim_submit_job(sim, 10, 0, &spec, 4 * HOUR_MS);
    }
    for (int i = 0; i < 50; i++) {
        struct ms_job_spec spec = {.idempotent = true,
                                   .tasks = 4,
                                   .accels = 8,
                                   .adjacency = MS_ADJACENT_RACK,
                                   .job_class = MS_CLASS_NORMAL};
        g_strlcpy(spec.account, "recipes", MS_NAME_MAX);
        g_snprintf(spec.key, sizeof(spec.key), "claim%d", i);
        sim_submit_job(sim, 30000 + (int64_t)i * 30000, 0, &spec, 10000);
    }
    sim_run(sim, HOUR_MS);
    GPtrArray *jobs = sim_jobs(sim);
    for (guint i = 0; i < jobs->len; i++) {
        const struct sim_job *job = g_ptr_array_index(jobs, i);
        if (strcmp(job->spec.account, "recipes") == 0) {
            int64_t delay = (job->started_at >= 0 ? job->started_at : HOUR_MS) - job->submitted_at;
            g_array_append_val(delays, delay);
        }
    }
    printf("measure=reclaim seed=%u claims=%u p50_ms=%" G_GINT64_FORMAT " max_ms=%" G_GINT64_FORMAT
           " bound_ms=5000 violation=%s\n",
           seed, delays->len, percentile(delays, 0.5), percentile(delays, 1.0),
           sim_violation(sim) != NULL ? sim_violation(sim) : "none");
    g_array_free(delays, TRUE);
    sim_free(sim);
}

/* Start delay of urgent jobs while normal jobs fill the data centre. */
static void
measure_urgent_delay(uint32_t seed)
{
    struct sim_options options = {.seed = seed,
                                  .dc_count = 1,
                                  .servers_per_dc = 400,
                                  .servers_per_rack = 8,
                                  .slots_per_server = 13,
                                  .accels_per_server = 2,
                                  .max_delay_ms = 20};
    struct simulator *sim = sim_new(&options);
    GArray *delays = g_array_new(FALSE, FALSE, sizeof(int64_t));
    add_rules(sim);
    for (uint32_t i = 0; i < 5600; i++) {
        struct ms_job_spec spec = {.idempotent = true,
                                   .checkpointable = i % 2 == 0,
                                   .tasks = 1,
                                   .accels = i % 13 < 2 ? 1 : 0,
                                   .job_class = MS_CLASS_NORMAL};
        g_strlcpy(spec.account, "archive", MS_NAME_MAX);
        g_snprintf(spec.key, sizeof(spec.key), "f%u", i);
        sim_submit_job(sim, 10 + i, 0, &spec, 4 * HOUR_MS);
    }
    for (int i = 0; i < 100; i++) {
        struct ms_job_spec spec = {.idempotent = true,
                                   .tasks = 1 + (uint32_t)(i % 8),
                                   .accels = 1,
                                   .adjacency = MS_ADJACENT_RACK,
                                   .job_class = MS_CLASS_URGENT};
        g_strlcpy(spec.account, "recipes", MS_NAME_MAX);
        g_snprintf(spec.key, sizeof(spec.key), "u%d", i);
        sim_submit_job(sim, 30000 + (int64_t)i * 1000, 0, &spec, 5000);
    }
    sim_run(sim, 300000);
    GPtrArray *jobs = sim_jobs(sim);
    for (guint i = 0; i < jobs->len; i++) {
        const struct sim_job *job = g_ptr_array_index(jobs, i);
        if (job->spec.job_class == MS_CLASS_URGENT) {
            int64_t delay = (job->started_at >= 0 ? job->started_at : 300000) - job->submitted_at;
            g_array_append_val(delays, delay);
        }
    }
    printf("measure=urgent seed=%u servers=400 jobs=%u p50_ms=%" G_GINT64_FORMAT
           " max_ms=%" G_GINT64_FORMAT " bound_ms=1500\n",
           seed, delays->len, percentile(delays, 0.5), percentile(delays, 1.0));
    g_array_free(delays, TRUE);
    sim_free(sim);
}

/* Real time of a scheduler step with many servers and tasks, and with gangs of 128. */
static void
measure_step_cost(uint32_t seed, unsigned int servers)
{
    struct sim_options options = {.seed = seed,
                                  .dc_count = 1,
                                  .servers_per_dc = servers,
                                  .servers_per_rack = 8,
                                  .slots_per_server = 24,
                                  .accels_per_server = 8,
                                  .max_delay_ms = 3};
    struct simulator *sim = sim_new(&options);
    uint32_t tasks = servers * 13;
    size_t step_count = 0;
    double p99_us = 0;
    double max_us = 0;
    add_rules(sim);
    for (uint32_t i = 0; i < tasks; i++) {
        struct ms_job_spec spec = {.idempotent = true,
                                   .tasks = 1,
                                   .accels = i % 13 == 0 ? 1 : 0,
                                   .job_class = MS_CLASS_NORMAL};
        g_strlcpy(spec.account, accounts[i % 4], MS_NAME_MAX);
        g_snprintf(spec.key, sizeof(spec.key), "t%u", i);
        sim_submit_job(sim, 10 + i, 0, &spec, HOUR_MS + (int64_t)i * 10);
    }
    for (int i = 0; i < 20; i++) {
        struct ms_job_spec spec = {.idempotent = true,
                                   .tasks = 128,
                                   .accels = 1,
                                   .adjacency = MS_ADJACENT_DC,
                                   .job_class = MS_CLASS_NORMAL};
        g_strlcpy(spec.account, "heating", MS_NAME_MAX);
        g_snprintf(spec.key, sizeof(spec.key), "gang%d", i);
        sim_submit_job(sim, 100000 + (int64_t)i * 2000, 0, &spec, 1000);
    }
    sim_run(sim, 200000);
    sim_step_times(sim, &step_count, &p99_us, &max_us);
    printf("measure=cost servers=%u tasks=%u steps=%zu step_p99_us=%.0f step_max_us=%.0f\n",
           servers, tasks, step_count, p99_us, max_us);
    sim_free(sim);
}

int
main(int argc, char **argv)
{
    uint32_t seed = argc > 1 ? (uint32_t)atoi(argv[1]) : 1;
    for (uint32_t i = 0; i < 3; i++) {
        measure_load(seed + i, "load_moderate", SMALL_JOBS_MODERATE);
        measure_load(seed + i, "load_high", SMALL_JOBS_HIGH);
        measure_dc_outage(seed + i);
    }
    measure_guarantee_delay(seed);
    measure_urgent_delay(seed);
    static const unsigned int sizes[] = {50, 100, 200, 400, 1600};
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        measure_step_cost(seed, sizes[i]);
    }
    return 0;
}
