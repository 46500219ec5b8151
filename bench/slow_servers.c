/*
 * slow_servers.c - compares two ways to decide about the stops of runs on slow servers, on the
 * simulator of tests/batch: that of limits.weigh_slow_stops, and the comparison with siblings.
 *
 * usage: bench-slow-servers [SEEDS [LOAD]]
 *
 * Both serve the same jobs, with the same work in each task, for each seed.  Prints the means
 * over the seeds, and in how many seeds weighing was the better one.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "batch/simulator.h"

#define SERVERS 40
#define SEEDS_DEFAULT 20
#define LOAD_MS 30000   /* jobs arrive during this time */
#define DRAIN_MS 120000 /* they end by this time after it */
#define STEP_MS 50      /* the ends of jobs are seen to this accuracy */
#define HEAVY_PERCENT 3
#define HEAVY_FACTOR 7
#define JOBS_MAX 400
#define KINDS 3
#define SLOW_FACTOR 5

/* Jobs of one priority. */
struct kind {
    uint32_t priority;
    uint32_t tasks;
    int64_t cpu_millis;
    int64_t run_ms;
    double jobs_per_s;   /* at the load 1 */
    double spread;       /* one sigma of the work of a task */
    uint32_t gang_every; /* one job in so many is a gang */
};

static const struct kind kinds[KINDS] = {
    {0, 5, 7500, 2500, 1.0, 0.15, 3},
    {1, 13, 26000, 8500, 0.34, 0.2, 3},
    {2, 39, 5600, 9500, 0.22, 0.3, 1000},
};

struct load {
    const char *name;
    double scale; /* of the arrivals */
    int slow_percent;
    int64_t slow_from_ms;
    int64_t slow_until_ms;
};

static const struct load loads[] = {
    {"none_slow", 1.0, 0, 0, 0},          {"few_slow", 1.0, 14, 5700, 10900},
    {"many_slow", 1.0, 30, 6000, 18000},  {"long_slow", 1.0, 14, 6000, 90000},
    {"near_full", 1.45, 14, 5700, 10900}, {"full_many_slow", 1.45, 30, 6000, 18000},
};

struct job {
    const struct kind *kind;
    int64_t due_ms; /* when it is submitted */
    bool gang;
    int64_t ended_ms; /* 0: not yet */
};

struct trial {
    uint64_t seed;
    struct job jobs[JOBS_MAX];
    size_t count;
    uint32_t stops;      /* of units */
    int64_t lost_core_s; /* of single tasks and members of gangs */
    int64_t completion_ms[KINDS];
    int64_t jobs_done[KINDS];
};

static uint64_t
hash_text(uint64_t seed, const char *text)
{
    uint64_t hash = seed * 0x9e3779b97f4a7c15u + 0x1234567u;
    for (; *text != '\0'; text++) {
        hash = (hash ^ (uint8_t)*text) * 0x100000001b3u;
        hash ^= hash >> 29;
    }
    return hash | 1;
}

/* Run time of a task at the speed 1; depends on the seed and its name only. */
static int64_t
run_ms(void *opaque, const char *task)
{
    const struct trial *trial = opaque;
    const struct kind *kind = trial->jobs[strtoul(task + 3, NULL, 10)].kind;
    uint64_t random_state = hash_text(trial->seed, task);
    double normal = -6.0;
    for (int i = 0; i < 12; i++) {
        normal += simulator_random(&random_state, 10000) / 10000.0;
    }
    double factor = MAX(1.0 + kind->spread * normal, 0.2);
    if (simulator_random(&random_state, 100) < HEAVY_PERCENT) {
        factor *= HEAVY_FACTOR;
    }
    return (int64_t)(factor * (double)kind->run_ms);
}

static int
compare_jobs(const void *left, const void *right)
{
    const struct job *a = left;
    const struct job *b = right;
    return a->due_ms < b->due_ms ? -1 : a->due_ms > b->due_ms;
}

/* Draws the arrivals of all kinds. */
static void
draw_jobs(struct trial *trial, const struct load *load)
{
    uint64_t random_state = trial->seed * 77777 + 5;
    for (size_t k = 0; k < KINDS; k++) {
        double rate = kinds[k].jobs_per_s * load->scale / 1000.0;
        double due_ms = 0;
        for (;;) {
            double uniform = (1 + simulator_random(&random_state, 999999)) / 1000000.0;
            due_ms += -log(uniform) / rate;
            if (due_ms > LOAD_MS || trial->count == JOBS_MAX) {
                break;
            }
            struct job *job = &trial->jobs[trial->count++];
            job->kind = &kinds[k];
            job->due_ms = (int64_t)due_ms;
            job->gang = simulator_random(&random_state, kinds[k].gang_every) == 0;
        }
    }
    qsort(trial->jobs, trial->count, sizeof(trial->jobs[0]), compare_jobs);
}

static void
submit(struct simulator *simulator, const struct trial *trial, size_t index)
{
    const struct job *job = &trial->jobs[index];
    uint64_t random_state = hash_text(trial->seed + 99, "estimate") + index * 31;
    struct ms_batch_spec spec;
    memset(&spec, 0, sizeof(spec));
    snprintf(spec.id, sizeof(spec.id), "job%zu", index);
    snprintf(spec.queue, sizeof(spec.queue), "q%u", job->kind->priority);
    g_strlcpy(spec.account, "account", sizeof(spec.account));
    spec.payload = g_strdup("payload");
    spec.step_count = 1;
    spec.steps = g_new0(struct ms_step, 1);
    spec.steps[0].task_count = job->kind->tasks;
    spec.steps[0].task_resources = (struct ms_resources){job->kind->cpu_millis, 1000, 0};
    spec.steps[0].estimate_ms =
        job->kind->run_ms * (10 + simulator_random(&random_state, 180)) / 100;
    spec.steps[0].gang = job->gang;
    simulator_submit_job(simulator, &spec);
}

/* Counts the stops of runs on slow servers in the engine's log. */
static void
count_stop(void *opaque, const char *line)
{
    struct trial *trial = opaque;
    const char *core_s = strstr(line, " core_s=");
    if (strncmp(line, "event=stop ", 11) == 0 && strstr(line, "reason=slow_server") != NULL) {
        trial->stops++;
        trial->lost_core_s += core_s != NULL ? strtoll(core_s + 8, NULL, 10) : 0;
    }
}

/* Makes the servers slow that the seed selects. */
static void
slow_servers(struct simulator *simulator, const struct trial *trial, const struct load *load)
{
    for (size_t i = 0; i < SERVERS; i++) {
        char name[32];
        snprintf(name, sizeof(name), "slow%zu", i);
        uint64_t random_state = hash_text(trial->seed, name);
        if ((int)simulator_random(&random_state, 100) < load->slow_percent) {
            simulator_slow_server(simulator, i, SLOW_FACTOR,
                                  load->slow_until_ms - load->slow_from_ms);
        }
    }
}

/* Notes which jobs have ended; returns how many are open. */
static size_t
note_ends(const struct simulator *simulator, struct trial *trial, size_t submitted, int64_t now)
{
    size_t open = 0;
    for (size_t i = 0; i < submitted; i++) {
        char id[MS_JOB_ID_MAX];
        struct job *job = &trial->jobs[i];
        if (job->ended_ms != 0) {
            continue;
        }
        snprintf(id, sizeof(id), "job%zu", i);
        if (simulator_job_phase(simulator, id) == MS_PHASE_OPEN) {
            open++;
            continue;
        }
        job->ended_ms = now;
        trial->completion_ms[job->kind - kinds] += now - job->due_ms;
        trial->jobs_done[job->kind - kinds]++;
    }
    return open;
}

/* Serves the jobs of SEED and LOAD. */
static void
run_trial(struct trial *trial, const struct load *load, bool weigh)
{
    static const struct simulator_faults faults = {0};
    static const int64_t percents[] = {80, 100, 125};
    const struct simulator_speeds speeds = {
        .weigh_slow_stops = weigh, .run_ms = run_ms, .opaque = trial};
    draw_jobs(trial, load);
    struct simulator *simulator =
        simulator_new_with_speeds(trial->seed, SERVERS, &faults, &speeds, NULL);
    simulator_set_log(simulator, count_stop, trial);
    for (size_t i = 0; i < SERVERS; i++) {
        simulator_set_speed(simulator, i, percents[i % G_N_ELEMENTS(percents)]);
    }
    size_t submitted = 0;
    size_t open = 1;
    for (int64_t now = 0; now < LOAD_MS + DRAIN_MS && (open > 0 || now < LOAD_MS); now += STEP_MS) {
        if (load->slow_percent > 0 && now >= load->slow_from_ms &&
            now < load->slow_from_ms + STEP_MS) {
            slow_servers(simulator, trial, load);
        }
        while (submitted < trial->count && trial->jobs[submitted].due_ms <= now) {
            submit(simulator, trial, submitted++);
        }
        simulator_run(simulator, STEP_MS);
        open = note_ends(simulator, trial, submitted, now + STEP_MS);
    }
    if (simulator_violation(simulator)[0] != '\0') {
        printf("seed %" G_GUINT64_FORMAT ": %s\n", trial->seed, simulator_violation(simulator));
    }
    for (size_t i = 0; i < trial->count; i++) {
        if (trial->jobs[i].ended_ms == 0) {
            trial->completion_ms[trial->jobs[i].kind - kinds] += LOAD_MS + DRAIN_MS;
            trial->jobs_done[trial->jobs[i].kind - kinds]++;
        }
    }
    simulator_free(simulator);
}

/* Mean completion time of the jobs of KIND, or of all jobs if KIND is KINDS. */
static double
mean_ms(const struct trial *trial, size_t kind)
{
    int64_t sum = 0;
    int64_t count = 0;
    for (size_t k = 0; k < KINDS; k++) {
        if (kind == KINDS || kind == k) {
            sum += trial->completion_ms[k];
            count += trial->jobs_done[k];
        }
    }
    return count > 0 ? (double)sum / (double)count : 0;
}

struct totals {
    double stops;
    double lost_core_s;
    double mean[KINDS + 1];
};

static void
add_trial(struct totals *totals, const struct trial *trial)
{
    totals->stops += trial->stops;
    totals->lost_core_s += (double)trial->lost_core_s;
    for (size_t k = 0; k <= KINDS; k++) {
        totals->mean[k] += mean_ms(trial, k);
    }
}

static void
print_totals(const char *load, const char *decision, const struct totals *totals, uint64_t seeds)
{
    double n = (double)seeds;
    printf("%-15s %-9s %7.1f %9.0f %9.0f %9.0f %9.0f %9.0f\n", load, decision, totals->stops / n,
           totals->lost_core_s / n, totals->mean[0] / n, totals->mean[1] / n, totals->mean[2] / n,
           totals->mean[KINDS] / n);
}

static void
compare(const struct load *load, uint64_t seeds)
{
    struct totals totals[2];
    uint32_t better_top = 0;
    uint32_t better_all = 0;
    memset(totals, 0, sizeof(totals));
    for (uint64_t seed = 1; seed <= seeds; seed++) {
        struct trial *trials = g_new0(struct trial, 2);
        for (int weigh = 0; weigh < 2; weigh++) {
            trials[weigh].seed = seed;
            run_trial(&trials[weigh], load, weigh == 1);
            add_trial(&totals[weigh], &trials[weigh]);
        }
        better_top += mean_ms(&trials[1], 0) <= mean_ms(&trials[0], 0);
        better_all += mean_ms(&trials[1], KINDS) <= mean_ms(&trials[0], KINDS);
        g_free(trials);
    }
    print_totals(load->name, "siblings", &totals[0], seeds);
    print_totals(load->name, "weighed", &totals[1], seeds);
    printf("%-15s better in priority 0: %u, in all: %u of %" G_GUINT64_FORMAT " seeds\n",
           load->name, better_top, better_all, seeds);
    fflush(stdout);
}

int
main(int argc, char **argv)
{
    uint64_t seeds = argc > 1 ? strtoul(argv[1], NULL, 10) : SEEDS_DEFAULT;
    printf("%-15s %-9s %7s %9s %9s %9s %9s %9s\n", "load", "decision", "stops", "core_s", "p0_ms",
           "p1_ms", "p2_ms", "all_ms");
    for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
        if (argc <= 2 || strcmp(argv[2], loads[i].name) == 0) {
            compare(&loads[i], MAX(seeds, 1));
        }
    }
    return EXIT_SUCCESS;
}
