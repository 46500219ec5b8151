/*
 * policy.c - the brief's measures: decision core beside the naive version.
 *
 * usage: bench-policy [SEED]
 *
 * The same seeded workload goes through both in one run, in virtual time.
 * Prints key=value lines; docs/DESIGN.md defines each.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "naive/world.h"

#define HOUR_MS 3600000LL
#define BURST_MS 60000
/* Most small jobs in one burst: about half, and nearly all, of the capacity. */
#define SMALL_MODERATE 80
#define SMALL_HIGH 190
#define LARGE_ACCELS 32 /* a gang counts as large from here on */

static const char *const accounts[] = {"recipes", "reorders", "heating", "archive"};

static void
add_rules(struct world *world)
{
    for (size_t i = 0; i < G_N_ELEMENTS(accounts); i++) {
        struct ms_rule rule = {.kind = MS_RULE_ACCOUNT, .share = 1};
        g_strlcpy(rule.name, accounts[i], sizeof(rule.name));
        world_rule(world, 0, &rule);
    }
}

/* Bursts of small and large jobs with wrong declared times. */
static void
add_work(struct world *world, uint32_t seed, unsigned int dcs, int64_t length, int small_max)
{
    GRand *random = g_rand_new_with_seed(seed);
    int number = 0;
    for (int64_t burst = 0; burst < length; burst += BURST_MS) {
        int small = g_rand_int_range(random, 10, small_max) * (int)dcs;
        int large = g_rand_int_range(random, 0, 3) * (int)dcs;
        for (int i = 0; i < small + large; i++) {
            bool gang = i >= small;
            struct ms_job_spec spec = {.idempotent = true, .job_class = MS_CLASS_NORMAL};
            g_strlcpy(spec.account, accounts[g_rand_int_range(random, 0, 4)], MS_NAME_MAX);
            g_snprintf(spec.key, sizeof(spec.key), "j%d", number++);
            spec.tasks = gang ? (uint32_t)g_rand_int_range(random, 4, 9) : 1;
            spec.accels = gang ? 8 : (uint32_t)g_rand_int_range(random, 0, 5);
            spec.adjacency = gang ? MS_ADJACENT_RACK : MS_ADJACENT_DC;
            spec.checkpointable = g_rand_int_range(random, 0, 2) == 0;
            int64_t run = gang ? g_rand_int_range(random, 60000, 240000)
                               : g_rand_int_range(random, 5000, 120000);
            /* Declared times are off by up to eight times, either way. */
            spec.declared_ms = run * g_rand_int_range(random, 1, 65) / 8;
            world_submit(world, burst + g_rand_int_range(random, 0, BURST_MS / 2),
                         (unsigned int)g_rand_int_range(random, 0, (gint32)dcs), &spec, run);
        }
    }
    g_rand_free(random);
}

static gint
by_number(gconstpointer a, gconstpointer b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;
    return (left > right) - (left < right);
}

static int64_t
percentile(GArray *values, double share)
{
    if (values->len == 0) {
        return 0;
    }
    g_array_sort(values, by_number);
    return g_array_index(values, int64_t, (guint)((double)(values->len - 1) * share));
}

struct figures {
    int64_t completion_p50;
    int64_t completion_p99;
    int64_t gang_delay_p50;
    int64_t gang_delay_p99;
    double fragmentation;
    double work;
    guint done;
};

/* Completion time from submission; start delay of large gangs apart. */
static void
read_figures(const struct world *world, int64_t until, struct figures *figures)
{
    GArray *completion = g_array_new(FALSE, FALSE, sizeof(int64_t));
    GArray *delay = g_array_new(FALSE, FALSE, sizeof(int64_t));
    GPtrArray *jobs = world_jobs(world);
    for (guint i = 0; i < jobs->len; i++) {
        const struct world_job *job = g_ptr_array_index(jobs, i);
        int64_t took = (job->ended_at >= 0 ? job->ended_at : until) - job->submitted_at;
        int64_t waited = (job->started_at >= 0 ? job->started_at : until) - job->submitted_at;
        g_array_append_val(completion, took);
        if (job->spec.tasks * job->spec.accels >= LARGE_ACCELS) {
            g_array_append_val(delay, waited);
        }
        figures->done += job->code == MS_OUTCOME_DONE && job->outcomes > 0 ? 1 : 0;
    }
    figures->completion_p50 = percentile(completion, 0.5);
    figures->completion_p99 = percentile(completion, 0.99);
    figures->gang_delay_p50 = percentile(delay, 0.5);
    figures->gang_delay_p99 = percentile(delay, 0.99);
    figures->fragmentation = world_fragmentation(world);
    g_array_free(completion, TRUE);
    g_array_free(delay, TRUE);
}

static void
print_figures(const char *measure, const char *policy, uint32_t seed, const struct figures *figures)
{
    printf("measure=%s policy=%s seed=%u done=%u completion_p50_ms=%" G_GINT64_FORMAT
           " completion_p99_ms=%" G_GINT64_FORMAT " gang_delay_p50_ms=%" G_GINT64_FORMAT
           " gang_delay_p99_ms=%" G_GINT64_FORMAT " fragmentation=%.3f\n",
           measure, policy, seed, figures->done, figures->completion_p50, figures->completion_p99,
           figures->gang_delay_p50, figures->gang_delay_p99, figures->fragmentation);
}

static double
ratio(int64_t naive, int64_t core)
{
    return (double)naive / (double)MAX(core, 1);
}

/* Completion time and fragmentation: one data centre, an hour of bursts. */
static void
measure_load(uint32_t seed, const char *name, int small_max)
{
    struct figures figures[2] = {0};
    for (int policy = WORLD_CORE; policy <= WORLD_NAIVE; policy++) {
        struct world_options options = {.seed = seed,
                                        .policy = (enum world_policy)policy,
                                        .dcs = 1,
                                        .servers = 50,
                                        .rack_servers = 8,
                                        .slots = 16,
                                        .accels = 8,
                                        .delay_max = 3};
        struct world *world = world_new(&options);
        add_rules(world);
        add_work(world, seed, 1, HOUR_MS, small_max);
        world_run(world, 2 * HOUR_MS);
        read_figures(world, 2 * HOUR_MS, &figures[policy]);
        print_figures(name, policy == WORLD_CORE ? "core" : "naive", seed, &figures[policy]);
        world_free(world);
    }
    printf("measure=%s ratio seed=%u completion_p50=%.2f completion_p99=%.2f gang_delay_p99=%.2f"
           " fragmentation=%.2f\n",
           name, seed, ratio(figures[1].completion_p50, figures[0].completion_p50),
           ratio(figures[1].completion_p99, figures[0].completion_p99),
           ratio(figures[1].gang_delay_p99, figures[0].gang_delay_p99),
           figures[1].fragmentation / MAX(figures[0].fragmentation, 0.001));
}

/*
 * Work done while one of three data centres is away for ten minutes, against
 * what the others could do: the smaller of their capacity and the demand, by a
 * run in which that data centre never leaves.
 */
static void
measure_absence(uint32_t seed)
{
    const int64_t from = 10 * 60000;
    const int64_t until = 20 * 60000;
    double done[2] = {0};
    double demand = 0;
    const double capacity = 2.0 * 16 * 8 * (double)(until - from);
    for (int run = 0; run < 3; run++) {
        struct world_options options = {.seed = seed,
                                        .policy = run == 1 ? WORLD_NAIVE : WORLD_CORE,
                                        .dcs = 3,
                                        .servers = 16,
                                        .rack_servers = 8,
                                        .slots = 16,
                                        .accels = 8,
                                        .delay_max = 3};
        struct world *world = world_new(&options);
        add_rules(world);
        add_work(world, seed, 3, until + 60000, SMALL_HIGH / 4);
        if (run < 2) {
            world_dc_away(world, from, until, 1, 5000);
        }
        world_run(world, until + HOUR_MS);
        if (run < 2) {
            done[run] = world_work(world, from, until);
        }
        else {
            demand = world_work(world, from, until);
        }
        world_free(world);
    }
    double possible = MIN(capacity, demand);
    printf("measure=absence seed=%u possible_accel_s=%.0f core_accel_s=%.0f naive_accel_s=%.0f"
           " core_share=%.3f naive_share=%.3f\n",
           seed, possible / 1000, done[0] / 1000, done[1] / 1000, done[0] / possible,
           done[1] / possible);
}

/* Time from a claim of a guarantee to its start, the data centre being full. */
static void
measure_reclaim(uint32_t seed)
{
    struct world_options options = {.seed = seed,
                                    .dcs = 1,
                                    .servers = 50,
                                    .rack_servers = 8,
                                    .slots = 16,
                                    .accels = 8,
                                    .delay_max = 20,
                                    .check = true};
    struct world *world = world_new(&options);
    GArray *delays = g_array_new(FALSE, FALSE, sizeof(int64_t));
    struct ms_rule rule = {
        .kind = MS_RULE_GUARANTEE, .tasks = 4, .accels = 8, .adjacency = MS_ADJACENT_RACK};
    add_rules(world);
    g_strlcpy(rule.name, "g1", sizeof(rule.name));
    g_strlcpy(rule.account, "recipes", sizeof(rule.account));
    g_strlcpy(rule.dc, "dc-1", sizeof(rule.dc));
    world_rule(world, 0, &rule);
    for (int i = 0; i < 600; i++) {
        struct ms_job_spec spec = {.idempotent = i % 3 > 0,
                                   .checkpointable = i % 2 == 0,
                                   .tasks = 1,
                                   .accels = 1 + (uint32_t)(i % 4) * 2,
                                   .job_class = MS_CLASS_NORMAL};
        spec.idempotent = spec.idempotent || !spec.checkpointable;
        g_strlcpy(spec.account, "archive", MS_NAME_MAX);
        g_snprintf(spec.key, sizeof(spec.key), "b%d", i);
        world_submit(world, 10, 0, &spec, 4 * HOUR_MS);
    }
    for (int i = 0; i < 50; i++) {
        struct ms_job_spec spec = {.idempotent = true,
                                   .tasks = 4,
                                   .accels = 8,
                                   .adjacency = MS_ADJACENT_RACK,
                                   .job_class = MS_CLASS_NORMAL};
        g_strlcpy(spec.account, "recipes", MS_NAME_MAX);
        g_snprintf(spec.key, sizeof(spec.key), "claim%d", i);
        world_submit(world, 30000 + (int64_t)i * 30000, 0, &spec, 10000);
    }
    world_run(world, HOUR_MS);
    GPtrArray *jobs = world_jobs(world);
    for (guint i = 0; i < jobs->len; i++) {
        const struct world_job *job = g_ptr_array_index(jobs, i);
        if (strcmp(job->spec.account, "recipes") == 0) {
            int64_t delay = (job->started_at >= 0 ? job->started_at : HOUR_MS) - job->submitted_at;
            g_array_append_val(delays, delay);
        }
    }
    printf("measure=reclaim seed=%u claims=%u p50_ms=%" G_GINT64_FORMAT " max_ms=%" G_GINT64_FORMAT
           " bound_ms=5000 violation=%s\n",
           seed, delays->len, percentile(delays, 0.5), percentile(delays, 1.0),
           world_violation(world) != NULL ? world_violation(world) : "none");
    g_array_free(delays, TRUE);
    world_free(world);
}

/* Start delay of urgent jobs while other work fills the data centre. */
static void
measure_urgent(uint32_t seed)
{
    struct world_options options = {.seed = seed,
                                    .dcs = 1,
                                    .servers = 400,
                                    .rack_servers = 8,
                                    .slots = 13,
                                    .accels = 2,
                                    .delay_max = 20};
    struct world *world = world_new(&options);
    GArray *delays = g_array_new(FALSE, FALSE, sizeof(int64_t));
    add_rules(world);
    for (uint32_t i = 0; i < 5600; i++) {
        struct ms_job_spec spec = {.idempotent = true,
                                   .checkpointable = i % 2 == 0,
                                   .tasks = 1,
                                   .accels = i % 13 < 2 ? 1 : 0,
                                   .job_class = MS_CLASS_NORMAL};
        g_strlcpy(spec.account, "archive", MS_NAME_MAX);
        g_snprintf(spec.key, sizeof(spec.key), "f%u", i);
        world_submit(world, 10 + i, 0, &spec, 4 * HOUR_MS);
    }
    for (int i = 0; i < 100; i++) {
        struct ms_job_spec spec = {.idempotent = true,
                                   .tasks = 1 + (uint32_t)(i % 8),
                                   .accels = 1,
                                   .adjacency = MS_ADJACENT_RACK,
                                   .job_class = MS_CLASS_URGENT};
        g_strlcpy(spec.account, "recipes", MS_NAME_MAX);
        g_snprintf(spec.key, sizeof(spec.key), "u%d", i);
        world_submit(world, 30000 + (int64_t)i * 1000, 0, &spec, 5000);
    }
    world_run(world, 300000);
    GPtrArray *jobs = world_jobs(world);
    for (guint i = 0; i < jobs->len; i++) {
        const struct world_job *job = g_ptr_array_index(jobs, i);
        if (job->spec.job_class == MS_CLASS_URGENT) {
            int64_t delay = (job->started_at >= 0 ? job->started_at : 300000) - job->submitted_at;
            g_array_append_val(delays, delay);
        }
    }
    printf("measure=urgent seed=%u servers=400 jobs=%u p50_ms=%" G_GINT64_FORMAT
           " max_ms=%" G_GINT64_FORMAT " bound_ms=1500\n",
           seed, delays->len, percentile(delays, 0.5), percentile(delays, 1.0));
    g_array_free(delays, TRUE);
    world_free(world);
}

/* Cost of a step with many servers and tasks, and of placing a gang of 128. */
static void
measure_cost(uint32_t seed, unsigned int servers)
{
    struct world_options options = {.seed = seed,
                                    .dcs = 1,
                                    .servers = servers,
                                    .rack_servers = 8,
                                    .slots = 24,
                                    .accels = 8,
                                    .delay_max = 3};
    struct world *world = world_new(&options);
    uint32_t tasks = servers * 13;
    size_t count = 0;
    double p99 = 0;
    double max = 0;
    add_rules(world);
    for (uint32_t i = 0; i < tasks; i++) {
        struct ms_job_spec spec = {.idempotent = true,
                                   .tasks = 1,
                                   .accels = i % 13 == 0 ? 1 : 0,
                                   .job_class = MS_CLASS_NORMAL};
        g_strlcpy(spec.account, accounts[i % 4], MS_NAME_MAX);
        g_snprintf(spec.key, sizeof(spec.key), "t%u", i);
        world_submit(world, 10 + i, 0, &spec, HOUR_MS + (int64_t)i * 10);
    }
    for (int i = 0; i < 20; i++) {
        struct ms_job_spec spec = {.idempotent = true,
                                   .tasks = 128,
                                   .accels = 1,
                                   .adjacency = MS_ADJACENT_DC,
                                   .job_class = MS_CLASS_NORMAL};
        g_strlcpy(spec.account, "heating", MS_NAME_MAX);
        g_snprintf(spec.key, sizeof(spec.key), "gang%d", i);
        world_submit(world, 100000 + (int64_t)i * 2000, 0, &spec, 1000);
    }
    world_run(world, 200000);
    world_step_times(world, &count, &p99, &max);
    printf("measure=cost servers=%u tasks=%u steps=%zu step_p99_us=%.0f step_max_us=%.0f\n",
           servers, tasks, count, p99, max);
    world_free(world);
}

int
main(int argc, char **argv)
{
    uint32_t seed = argc > 1 ? (uint32_t)atoi(argv[1]) : 1;
    for (uint32_t i = 0; i < 3; i++) {
        measure_load(seed + i, "load_moderate", SMALL_MODERATE);
        measure_load(seed + i, "load_high", SMALL_HIGH);
        measure_absence(seed + i);
    }
    measure_reclaim(seed);
    measure_urgent(seed);
    static const unsigned int sizes[] = {50, 100, 200, 400, 1600};
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        measure_cost(seed, sizes[i]);
    }
    return 0;
}
