/*
 * engine_fuzz.c - runs the engine in the simulator with random jobs and faults.
 *
 * usage: batch-fuzz [liveness | starvation | takeovers | weights | frequent | waits | restarts]
 *        FIRST LAST [trace]
 *
 * Runs the seeds FIRST to LAST; an argument after them, whatever it is, prints a trace.  The
 * seed determines the jobs and the faults.  No invariant of the simulator may be violated, and
 * every job has to end once the faults are over.  Prints each seed that fails, then totals.
 *
 * "liveness" runs other scenarios, and checks that jobs make progress when they could: wide
 * gangs of large tasks beside many small tasks of the lowest priority, which go on after the
 * faults; directory entries that expire, series of leader losses, and servers that are lost or
 * stall while they run a member of a gang.  At the end a gang that needs every server in service
 * has to run.  "starvation" runs the same scenarios, and counts capacity that runs of a lower
 * priority use as available.  In "takeovers" more servers are lost, and the leader is lost in
 * series until the end, which is no excuse for jobs that wait for a server lost long before.
 * "weights" runs the scenarios of "liveness" with jobs of several accounts that have weights.
 *
 * In each third seed of every mode the account has a cap, which changes at random while faults
 * occur; after them it is one under which each job fits.
 *
 * "frequent" runs the scenarios without a mode, each with a takeover every 1.7 s and servers
 * whose answers are lost for seconds.  "waits" runs them with many starts that wait for up to 6 s
 * before they are sent.
 *
 * "restarts" has runs that are longer than a lease, servers that were idle for long, and starts at
 * servers that have restarted unseen and are cut off while the leader resigns or is lost.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "batch/simulator.h"

#define SERVER_COUNT 16
#define JOB_COUNT 12
#define FAULTS_DURATION_MS 25000    /* in which faults occur and jobs are submitted */
#define FREQUENT_TAKEOVERS_EVERY 5  /* every 5th seed: a takeover each 1.7 s, silent servers */
#define START_WAIT_PERMILLE 200     /* in mode "waits" */
#define RESTARTS_IDLE_MAX_MS 150000 /* in mode "restarts": before the first job */
#define RESTARTS_RUN_MIN_MS 7000
#define RESTARTS_RUN_SPREAD_MS 14000
#define RESTARTS_RECOVERY_MS 400000
#define RESTARTS_DRAINS_JOBS 4 /* after which no server drains: the gangs need six */
#define SLOW_SERVERS_EVERY 4   /* every 4th seed: slow servers, and runs of 4 to 12 s */
#define SLOW_SERVERS_PER_JOB 2 /* servers that become slow, for up to 31 s, with each job */
#define LONG_RUN_MIN_MS 4000
#define LONG_RUN_SPREAD_MS 8000
#define RECOVERY_DURATION_MS 90000 /* without faults; all jobs have to end in it */
/*
 * The same, in addition, with long runs under a cap: as much as one gang may fill the cap, so that
 * the steps of all jobs, two at most each, may have to run one after the other.
 */
#define CAPPED_LONG_RUNS_MS (JOB_COUNT * 2 * (LONG_RUN_MIN_MS + LONG_RUN_SPREAD_MS))

#define CAPS_EVERY 3        /* every 3rd seed: the account has a cap */
#define CAP_INTERVAL_MS 250 /* between two times at which it may change */
#define CAP_CHANGE_PERMILLE 80
#define CAP_DELAY_MAX_MS 3000 /* until the leader learns of a change */
/* Not less than each job of simulator_random_spec() needs: a gang of 6 tasks. */
static const struct ms_resources final_cap = {126000, 366000, 48};
/* Twice what the widest gang of simulator_wide_gang_spec() needs, and the above. */
static const struct ms_resources liveness_cap = {624000, 3360000, 96};

/* Of the scenarios of all modes that check liveness. */
#define LIVENESS_SERVER_COUNT 24
#define LIVENESS_CALM_MS 25000   /* after the faults, in which jobs are submitted too */
#define LIVENESS_SETTLE_MS 20000 /* after the last leader loss, without jobs */
#define LIVENESS_GANG_MS 5000    /* in which a gang ends that needs all servers and has them */
#define LIVENESS_ROUND_MS 200    /* between two jobs of small tasks */
#define LIVENESS_LARGE_JOB_PERMILLE 80    /* of the rounds, for each other kind of job */
#define TAKEOVERS_SERVER_LOSS_PERMILLE 30 /* in mode "takeovers": of servers that run a gang */
#define TAKEOVERS_SERIES_PERMILLE 12      /* of leader losses, after the other faults */
#define WEIGHTS_ACCOUNT_COUNT 4           /* in mode "weights" */

/* Checks that the JOB_COUNT jobs of SEED have ended, and prints what was violated. */
static bool
check_end(const struct simulator *simulator, uint64_t seed, uint32_t job_count)
{
    if (simulator_violation(simulator)[0] != '\0') {
        printf("seed=%lu broken=\"%s\"\n", (unsigned long)seed, simulator_violation(simulator));
        return false;
    }
    for (uint32_t i = 0; i < job_count; i++) {
        char id[MS_JOB_ID_MAX];
        snprintf(id, sizeof(id), "job%u", i);
        if (simulator_job_phase(simulator, id) == MS_PHASE_OPEN) {
            printf("seed=%lu broken=\"%s has not ended\"\n", (unsigned long)seed, id);
            return false;
        }
    }
    return true;
}

static void
add_counts(struct simulator_counts *totals, const struct simulator *simulator)
{
    struct simulator_counts counts;
    simulator_counts(simulator, &counts);
    totals->starts += counts.starts;
    totals->done += counts.done;
    totals->failed += counts.failed;
    totals->stopped += counts.stopped;
    totals->leader_changes += counts.leader_changes;
    totals->resignations += counts.resignations;
    totals->struck_starts += counts.struck_starts;
    totals->idle_ms_max = MAX(totals->idle_ms_max, counts.idle_ms_max);
}

/* A cap, from so little that nothing fits to more than there is; often none. */
static struct ms_resources
random_cap(uint64_t *random_state)
{
    struct ms_resources cap = {0, 0, 0};
    if (simulator_random(random_state, 4) > 0) {
        cap.accels = 1 + simulator_random(random_state, 8 * SERVER_COUNT);
    }
    if (simulator_random(random_state, 3) == 0) {
        cap.cpu_millis = 1000 + simulator_random(random_state, 400000);
    }
    if (simulator_random(random_state, 3) == 0) {
        cap.memory_mb = 1000 + simulator_random(random_state, 1500000);
    }
    return cap;
}

/* Runs for MS; CAP_STATE, unless it is NULL, is the random state of changes of the cap. */
static void
run_with_caps(struct simulator *simulator, uint64_t *cap_state, int64_t ms)
{
    while (cap_state != NULL && ms > 0) {
        if (simulator_random(cap_state, 1000) < CAP_CHANGE_PERMILLE) {
            struct ms_resources cap = random_cap(cap_state);
            simulator_set_cap(simulator, "account", cap,
                              simulator_random(cap_state, CAP_DELAY_MAX_MS));
        }
        simulator_run(simulator, MIN(ms, CAP_INTERVAL_MS));
        ms -= CAP_INTERVAL_MS;
    }
    simulator_run(simulator, MAX(ms, 0));
}

/* Run time of TASK in the seeds with slow servers: long enough for a run to leave one. */
static int64_t
long_run_ms(void *opaque, const char *task)
{
    (void)opaque;
    return LONG_RUN_MIN_MS + g_str_hash(task) % LONG_RUN_SPREAD_MS;
}

/* Makes a random server slow. */
static void
slow_random_server(struct simulator *simulator, uint64_t *random_state)
{
    size_t index = simulator_random(random_state, SERVER_COUNT);
    int64_t factor = 3 + simulator_random(random_state, 5);
    simulator_slow_server(simulator, index, factor, 1000 + simulator_random(random_state, 30000));
}

/* The modes that do not check liveness. */
enum plain_mode { MODE_PLAIN = 0, MODE_FREQUENT, MODE_WAITS, MODE_RESTARTS };

/* Runs one seed and adds its counts to TOTALS; returns whether it passed. */
static bool
run_seed(uint64_t seed, enum plain_mode mode, struct simulator_counts *totals, FILE *trace)
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
    if (mode == MODE_WAITS) {
        faults.start_wait = START_WAIT_PERMILLE;
    }
    if (mode == MODE_FREQUENT || seed % FREQUENT_TAKEOVERS_EVERY == 0) {
        faults.leader_change = 60;
        faults.server_silence = 5;
    }
    uint64_t cap_random = seed * 31337u + 3;
    uint64_t *cap_state = seed % CAPS_EVERY == 0 ? &cap_random : NULL;
    bool slow_servers = seed % SLOW_SERVERS_EVERY == 1;
    const struct simulator_speeds speeds = {.weigh_slow_stops = seed % 2 == 1,
                                            .run_ms = slow_servers ? long_run_ms : NULL};
    struct simulator *simulator =
        simulator_new_with_speeds(seed, SERVER_COUNT, &faults, &speeds, trace);
    for (uint32_t i = 0; i < JOB_COUNT; i++) {
        struct ms_batch_spec spec;
        simulator_random_spec(&random_state, i, &spec);
        simulator_submit_job(simulator, &spec);
        for (uint32_t k = 0; slow_servers && k < SLOW_SERVERS_PER_JOB; k++) {
            slow_random_server(simulator, &random_state);
        }
        run_with_caps(simulator, cap_state, FAULTS_DURATION_MS / JOB_COUNT);
    }
    simulator_disable_faults(simulator);
    if (cap_state != NULL) {
        simulator_set_cap(simulator, "account", final_cap, 0);
    }
    simulator_run(simulator, RECOVERY_DURATION_MS);
    if (slow_servers && cap_state != NULL) {
        simulator_run(simulator, CAPPED_LONG_RUNS_MS);
    }
    bool passed = check_end(simulator, seed, JOB_COUNT);
    add_counts(totals, simulator);
    simulator_free(simulator);
    return passed;
}

/* Run time of TASK in mode "restarts": about as long as a lease, up to twice that. */
static int64_t
lease_long_run_ms(void *opaque, const char *task)
{
    (void)opaque;
    return RESTARTS_RUN_MIN_MS + g_str_hash(task) % RESTARTS_RUN_SPREAD_MS;
}

/* As run_seed(), for the mode "restarts". */
static bool
run_restarts_seed(uint64_t seed, struct simulator_counts *totals, FILE *trace)
{
    uint64_t random_state = seed * 55511u + 11;
    struct simulator_faults faults = {
        .answer_loss = (int)simulator_random(&random_state, 20),
        .order_loss = (int)simulator_random(&random_state, 20),
        .server_restart = (int)simulator_random(&random_state, 2),
        .server_disconnect = (int)simulator_random(&random_state, 3),
        .leader_change = (int)simulator_random(&random_state, 5),
        .run_failure = (int)simulator_random(&random_state, 20),
        .server_drain = simulator_random(&random_state, 4) == 0,
        .struck_start = 20 + (int)simulator_random(&random_state, 150),
    };
    const struct simulator_speeds speeds = {.run_ms = lease_long_run_ms};
    struct simulator *simulator =
        simulator_new_with_speeds(seed, SERVER_COUNT, &faults, &speeds, trace);
    if (seed % 2 == 0) {
        simulator_disable_faults(simulator);
        simulator_run(simulator, simulator_random(&random_state, RESTARTS_IDLE_MAX_MS));
        simulator_set_faults(simulator, &faults);
    }
    for (uint32_t i = 0; i < JOB_COUNT; i++) {
        struct ms_batch_spec spec;
        simulator_random_spec(&random_state, i, &spec);
        simulator_submit_job(simulator, &spec);
        if (i == RESTARTS_DRAINS_JOBS) {
            faults.server_drain = 0;
            simulator_set_faults(simulator, &faults);
        }
        simulator_run(simulator, 2 * FAULTS_DURATION_MS / JOB_COUNT);
    }
    simulator_disable_faults(simulator);
    simulator_run(simulator, RESTARTS_RECOVERY_MS);
    bool passed = check_end(simulator, seed, JOB_COUNT);
    add_counts(totals, simulator);
    simulator_free(simulator);
    return passed;
}

/* A mode that checks liveness. */
struct liveness_mode {
    const char *name;
    enum simulator_liveness liveness;
    bool takeovers; /* the leader is lost in series until the end */
    bool weights;   /* the jobs are those of several accounts with weights */
};

static const struct liveness_mode liveness_modes[] = {
    {"liveness", SIMULATOR_LIVENESS_FREE, false, false},
    {"starvation", SIMULATOR_LIVENESS_PREEMPTIBLE, false, false},
    {"takeovers", SIMULATOR_LIVENESS_FREE, true, false},
    {"weights", SIMULATOR_LIVENESS_FREE, false, true},
};

/* The jobs of one seed of these modes. */
struct job_mix {
    uint32_t small_tasks_max; /* of one job of small tasks */
    uint32_t job_count;       /* submitted so far */
    uint32_t account_count;   /* accounts with weights, 0: all jobs are of one without */
};

/* Submits SPEC for the account whose turn it is. */
static void
submit_mixed_job(struct simulator *simulator, const struct job_mix *mix, struct ms_batch_spec *spec)
{
    if (mix->account_count > 0) {
        snprintf(spec->account, sizeof(spec->account), "account%u",
                 mix->job_count % mix->account_count);
    }
    simulator_submit_job(simulator, spec);
}

/* Gives each account of MIX a weight of 1 to 8. */
static void
set_weights(struct simulator *simulator, uint64_t *random_state, const struct job_mix *mix)
{
    for (uint32_t i = 0; i < mix->account_count; i++) {
        char name[MS_NAME_MAX];
        snprintf(name, sizeof(name), "account%u", i);
        simulator_set_weight(simulator, name, 1 + simulator_random(random_state, 8));
    }
}

/* Submits jobs for DURATION_MS; CAP_STATE is as for run_with_caps(). */
static void
submit_mixed_jobs(struct simulator *simulator, uint64_t *random_state, uint64_t *cap_state,
                  int64_t duration_ms, struct job_mix *mix)
{
    for (int64_t elapsed_ms = 0; elapsed_ms < duration_ms; elapsed_ms += LIVENESS_ROUND_MS) {
        struct ms_batch_spec spec;
        simulator_small_tasks_spec(random_state, mix->job_count++, mix->small_tasks_max, &spec);
        submit_mixed_job(simulator, mix, &spec);
        if (simulator_random(random_state, 1000) < LIVENESS_LARGE_JOB_PERMILLE) {
            uint32_t priority = simulator_random(random_state, 2);
            uint32_t width = 2 + simulator_random(random_state, LIVENESS_SERVER_COUNT / 2 - 1);
            simulator_wide_gang_spec(mix->job_count++, priority, width, &spec);
            submit_mixed_job(simulator, mix, &spec);
        }
        if (simulator_random(random_state, 1000) < LIVENESS_LARGE_JOB_PERMILLE) {
            simulator_random_spec(random_state, mix->job_count++, &spec);
            submit_mixed_job(simulator, mix, &spec);
        }
        run_with_caps(simulator, cap_state, LIVENESS_ROUND_MS);
    }
}

/* Submits a gang with a member on each server in service, and lets it end. */
static void
submit_gang_on_all_servers(struct simulator *simulator, struct job_mix *mix)
{
    struct ms_batch_spec spec;
    uint32_t width = simulator_count_usable_servers(simulator);
    simulator_wide_gang_spec(mix->job_count++, 0, width, &spec);
    simulator_submit_job(simulator, &spec);
    simulator_run(simulator, LIVENESS_GANG_MS);
}

/* As run_seed(), for a MODE that checks liveness. */
static bool
run_liveness_seed(uint64_t seed, const struct liveness_mode *mode, struct simulator_counts *totals,
                  FILE *trace)
{
    uint64_t random_state = seed * 99991u + 7;
    struct simulator_faults faults = {
        .answer_loss = (int)simulator_random(&random_state, 30),
        .order_loss = (int)simulator_random(&random_state, 20),
        .server_restart = (int)simulator_random(&random_state, 2),
        .server_disconnect = (int)simulator_random(&random_state, 4),
        .leader_change = (int)simulator_random(&random_state, 10),
        .log_outage = (int)simulator_random(&random_state, 10),
        .run_failure = (int)simulator_random(&random_state, 40),
        .job_cancellation = (int)simulator_random(&random_state, 10),
        .run_stall = (int)simulator_random(&random_state, 2),
        .directory_expiry = (int)simulator_random(&random_state, 3),
        .leader_change_series = (int)simulator_random(&random_state, 10),
        .gang_server_loss = (int)simulator_random(&random_state, 6),
        .gang_stall = (int)simulator_random(&random_state, 15),
    };
    if (simulator_random(&random_state, 3) == 0) {
        faults.order_delay = 10;
    }
    if (simulator_random(&random_state, 4) == 0) {
        faults.directory_expiry = 20; /* at most times most servers are not listed */
    }
    if (mode->takeovers) {
        faults.gang_server_loss = TAKEOVERS_SERVER_LOSS_PERMILLE;
    }
    struct job_mix mix = {.small_tasks_max = 4 + simulator_random(&random_state, 20)};
    uint64_t cap_random = seed * 31337u + 3;
    uint64_t *cap_state = seed % CAPS_EVERY == 0 ? &cap_random : NULL;
    const struct simulator_speeds speeds = {.weigh_slow_stops = seed % 2 == 1};
    struct simulator *simulator =
        simulator_new_with_speeds(seed, LIVENESS_SERVER_COUNT, &faults, &speeds, trace);
    if (mode->weights) {
        mix.account_count = WEIGHTS_ACCOUNT_COUNT;
        set_weights(simulator, &random_state, &mix);
    }
    simulator_set_liveness(simulator, mode->liveness);
    submit_mixed_jobs(simulator, &random_state, cap_state, FAULTS_DURATION_MS, &mix);
    if (cap_state != NULL) {
        simulator_set_cap(simulator, "account", liveness_cap, 0);
    }
    if (mode->takeovers) {
        simulator_disable_server_faults(simulator, TAKEOVERS_SERIES_PERMILLE);
    }
    else {
        simulator_disable_faults(simulator);
    }
    submit_mixed_jobs(simulator, &random_state, NULL, LIVENESS_CALM_MS, &mix);
    simulator_run(simulator, RECOVERY_DURATION_MS);
    simulator_disable_faults(simulator);
    simulator_run(simulator, LIVENESS_SETTLE_MS);
    if (cap_state != NULL) {
        simulator_set_cap(simulator, "account", (struct ms_resources){0, 0, 0}, 0);
    }
    submit_gang_on_all_servers(simulator, &mix);
    bool passed = check_end(simulator, seed, mix.job_count);
    add_counts(totals, simulator);
    simulator_free(simulator);
    return passed;
}

/* The mode called NAME, or NULL. */
static const struct liveness_mode *
find_mode(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(liveness_modes); i++) {
        if (strcmp(name, liveness_modes[i].name) == 0) {
            return &liveness_modes[i];
        }
    }
    return NULL;
}

static enum plain_mode
find_plain_mode(const char *name)
{
    if (strcmp(name, "frequent") == 0) {
        return MODE_FREQUENT;
    }
    if (strcmp(name, "restarts") == 0) {
        return MODE_RESTARTS;
    }
    return strcmp(name, "waits") == 0 ? MODE_WAITS : MODE_PLAIN;
}

int
main(int argc, char **argv)
{
    const struct liveness_mode *mode = argc > 1 ? find_mode(argv[1]) : NULL;
    enum plain_mode plain_mode = argc > 1 ? find_plain_mode(argv[1]) : MODE_PLAIN;
    if (mode != NULL || plain_mode != MODE_PLAIN) {
        argc--;
        argv++;
    }
    if (argc != 3 && argc != 4) {
        fprintf(stderr,
                "usage: batch-fuzz [liveness | starvation | takeovers | weights | frequent |"
                " waits | restarts] FIRST LAST [trace]\n");
        return 2;
    }
    uint64_t first = strtoull(argv[1], NULL, 10);
    uint64_t last = strtoull(argv[2], NULL, 10);
    FILE *trace = argc == 4 ? stdout : NULL;
    uint64_t failed = 0;
    struct simulator_counts totals = {0};
    for (uint64_t seed = first; seed <= last; seed++) {
        bool passed = false;
        if (mode != NULL) {
            passed = run_liveness_seed(seed, mode, &totals, trace);
        }
        else if (plain_mode == MODE_RESTARTS) {
            passed = run_restarts_seed(seed, &totals, trace);
        }
        else {
            passed = run_seed(seed, plain_mode, &totals, trace);
        }
        failed += !passed;
    }
    printf("starts=%u done=%u failed=%u stopped=%u take_overs=%u\n", totals.starts, totals.done,
           totals.failed, totals.stopped, totals.leader_changes);
    if (mode != NULL) {
        printf("idle_ms_max=%" G_GINT64_FORMAT "\n", totals.idle_ms_max);
    }
    if (plain_mode == MODE_RESTARTS) {
        printf("struck_starts=%u resignations=%u\n", totals.struck_starts, totals.resignations);
    }
    printf("%lu seeds, %lu failed\n", (unsigned long)last - (unsigned long)first + 1,
           (unsigned long)failed);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
