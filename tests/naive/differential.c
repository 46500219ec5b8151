/*
 * differential.c - compares the decision core with the reference scheduler and
 * with an exhaustive search, over seeded random scenarios.
 *
 * usage: differential [faults|guarantees|agree|all] [FIRST_SEED [COUNT]]
 *        differential trace SEED FILE [DC]
 *
 * faults:      with random faults of servers, leaders, the log and data centres;
 *              the invariants are checked after every step, and every job must
 *              end once the faults are over
 * guarantees:  the check of the rules accepts a set of guarantees if and only if
 *              an exhaustive search finds a placement for it
 * agree:       without faults, core and reference scheduler give the same
 *              outcomes, and a job that uses its account's guarantee starts
 *              within GUARANTEE_START_LIMIT_MS
 * trace:       runs one seed of `faults` and writes the events of data centre DC
 *              (0 or 1, by default 0) to FILE, for `mustardspread replay`
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/rules_file.h"
#include "naive/simulator.h"

#define FAULTS_UNTIL_MS 60000 /* all faults are over by then */
#define END_MS 400000         /* every job must have ended by then */
#define JOB_COUNT 60
#define GUARANTEE_START_LIMIT_MS 5000

static const char *const accounts[] = {"alpha", "beta", "gamma"};

static void
add_accounts(struct simulator *sim)
{
    for (size_t i = 0; i < G_N_ELEMENTS(accounts); i++) {
        struct ms_rule rule = {.kind = MS_RULE_ACCOUNT, .share = (uint32_t)i + 1};
        g_strlcpy(rule.name, accounts[i], sizeof(rule.name));
        sim_set_rule(sim, 0, &rule);
    }
}

static void
add_guarantee(struct simulator *sim, const char *name, const char *account, const char *dc,
              uint32_t tasks, uint32_t accels)
{
    struct ms_rule rule = {
        .kind = MS_RULE_GUARANTEE, .tasks = tasks, .accels = accels, .adjacency = MS_ADJACENT_RACK};
    g_strlcpy(rule.name, name, sizeof(rule.name));
    g_strlcpy(rule.account, account, sizeof(rule.account));
    g_strlcpy(rule.dc, dc, sizeof(rule.dc));
    sim_set_rule(sim, 1, &rule);
}

static struct ms_job_spec
random_spec(struct simulator *sim, int number)
{
    static const uint32_t accel_counts[] = {0, 1, 1, 2, 4, 8};
    static const uint32_t task_counts[] = {1, 1, 1, 2, 3, 4};
    struct ms_job_spec spec = {0};
    g_strlcpy(spec.account, accounts[sim_random(sim, 0, 3)], sizeof(spec.account));
    g_snprintf(spec.key, sizeof(spec.key), "k%d", number);
    spec.tasks = task_counts[sim_random(sim, 0, 6)];
    spec.accels = accel_counts[sim_random(sim, 0, 6)];
    spec.adjacency = (enum ms_adjacency)sim_random(sim, 0, 2);
    spec.job_class = (enum ms_class)sim_random(sim, 0, 3);
    spec.idempotent = sim_random(sim, 0, 3) > 0;
    spec.checkpointable = sim_random(sim, 0, 4) == 0;
    spec.declared_ms = sim_random(sim, 0, 2) * sim_random(sim, 100, 20000);
    if (sim_random(sim, 0, 10) == 0) {
        spec.deadline_ms = sim_random(sim, 1000, 70000);
    }
    return spec;
}

static void
add_random_faults(struct simulator *sim)
{
    for (int i = 0; i < 6; i++) {
        int64_t at = sim_random(sim, 100, FAULTS_UNTIL_MS - 15000);
        int64_t until = at + sim_random(sim, 10, 12000);
        unsigned int dc = (unsigned int)sim_random(sim, 0, 2);
        unsigned int server = (unsigned int)sim_random(sim, 0, 6);
        switch (sim_random(sim, 0, 7)) {
        case 0:
        case 1:
            sim_disconnect_server(sim, at, until, dc, server);
            break;
        case 2:
            sim_restart_server(sim, at, dc, server);
            break;
        case 3:
            sim_change_leader(sim, at, dc);
            break;
        case 4:
            sim_log_outage(sim, at, until);
            break;
        case 5:
            sim_fail_tasks(sim, at, until, dc, server);
            break;
        default:
            sim_dc_outage(sim, at, until, dc, sim_random(sim, 0, 3000));
            break;
        }
    }
}

/* Returns NULL if all jobs have ended, else TEXT, to which it writes why one has not. */
static const char *
check_all_ended(const struct simulator *sim, char *text, size_t size)
{
    GPtrArray *jobs = sim_jobs(sim);
    for (guint i = 0; i < jobs->len; i++) {
        const struct sim_job *job = g_ptr_array_index(jobs, i);
        if (job->outcome_count == 0) {
            char explanation[MS_DETAIL_MAX] = "";
            sim_explain(sim, job, explanation, sizeof(explanation));
            g_snprintf(text, (gulong)size, "job %.40s never ended: %.110s", job->id, explanation);
            return text;
        }
        if (job->running_count > 0) {
            g_snprintf(text, (gulong)size, "job %s ended, but some of its tasks still run",
                       job->id);
            return text;
        }
    }
    return NULL;
}

static struct simulator *
sim_with_faults(uint32_t seed, FILE *trace, unsigned int trace_dc)
{
    struct sim_options options = {.seed = seed,
                                  .dc_count = 2,
                                  .servers_per_dc = 6,
                                  .servers_per_rack = 3,
                                  .slots_per_server = 8,
                                  .accels_per_server = 8,
                                  .loss_probability = seed % 3 == 0 ? 0.03 : 0,
                                  .duplicate_probability = seed % 2 == 0 ? 0.05 : 0,
                                  .max_delay_ms = seed % 5 == 0 ? 100 : 5,
                                  .check_invariants = true,
                                  .trace_file = trace,
                                  .trace_dc = trace_dc};
    struct simulator *sim = sim_new(&options);
    add_accounts(sim);
    add_guarantee(sim, "g1", "alpha", "dc-1", 2, 8);
    add_guarantee(sim, "g2", "beta", "dc-1", 3, 2);
    add_guarantee(sim, "g3", "gamma", "dc-2", 2, 4);
    for (int i = 0; i < JOB_COUNT; i++) {
        struct ms_job_spec spec = random_spec(sim, i);
        int64_t at = sim_random(sim, 2, FAULTS_UNTIL_MS - 10000);
        struct sim_job *job = sim_submit_job(sim, at, (unsigned int)sim_random(sim, 0, 2), &spec,
                                             sim_random(sim, 5, 8000));
        job->always_fails = sim_random(sim, 0, 20) == 0;
        if (sim_random(sim, 0, 8) == 0) {
            sim_cancel_job(sim, at + sim_random(sim, 1, 5000), job->id);
        }
    }
    add_random_faults(sim);
    return sim;
}

/* Runs one seed of `faults` and writes the events of data centre DC (0 or 1) to PATH. */
static int
write_trace(uint32_t seed, const char *path, unsigned int dc)
{
    FILE *file = fopen(path, "w");
    if (file == NULL) {
        perror(path);
        return EXIT_FAILURE;
    }
    struct simulator *sim = sim_with_faults(seed, file, dc);
    sim_run(sim, END_MS);
    sim_free(sim);
    fclose(file);
    return EXIT_SUCCESS;
}

/* Runs one seed; prints why it failed and how many events were handled by then. */
static bool
run_faults(uint32_t seed)
{
    char text[MS_DETAIL_MAX];
    struct simulator *sim = sim_with_faults(seed, NULL, 0);
    sim_run(sim, END_MS);
    const char *violation = sim_violation(sim);
    if (violation == NULL) {
        violation = check_all_ended(sim, text, sizeof(text));
    }
    if (violation != NULL) {
        /* The simulation stops at the first violation, and so does the count. */
        printf("failed test=faults seed=%u events=%" G_GUINT64_FORMAT " reason=\"%s\"\n", seed,
               sim_event_count(sim), violation);
    }
    bool passed = violation == NULL;
    sim_free(sim);
    return passed;
}

/* ---- guarantees compared with an exhaustive search ---- */

#define PACKING_SERVERS 4
#define PACKING_SERVERS_PER_RACK 2

/* Guarantees to be placed on a few servers that run nothing else. */
struct packing {
    int available_accels[PACKING_SERVERS];
    int guarantee_count;
    struct ms_rule guarantees[3];
};

static bool pack_tasks(struct packing *packing, int guarantee, uint32_t placed_count,
                       int first_server, int rack);

/* Whether the guarantees from index GUARANTEE on can be placed: tries every rack and server. */
static bool
pack_guarantees(struct packing *packing, int guarantee)
{
    if (guarantee == packing->guarantee_count) {
        return true;
    }
    if (packing->guarantees[guarantee].adjacency == MS_ADJACENT_RACK) {
        for (int rack = 0; rack < PACKING_SERVERS / PACKING_SERVERS_PER_RACK; rack++) {
            if (pack_tasks(packing, guarantee, 0, 0, rack)) {
                return true;
            }
        }
        return false;
    }
    return pack_tasks(packing, guarantee, 0, 0, -1);
}

/*
 * Places the tasks of a guarantee from number PLACED_COUNT on, on servers from
 * FIRST_SERVER on and within RACK (-1: any), then the guarantees that follow.
 */
static bool
pack_tasks(struct packing *packing, int guarantee, uint32_t placed_count, int first_server,
           int rack)
{
    const struct ms_rule *rule = &packing->guarantees[guarantee];
    if (placed_count == rule->tasks) {
        return pack_guarantees(packing, guarantee + 1);
    }
    for (int s = first_server; s < PACKING_SERVERS; s++) {
        if ((rack >= 0 && s / PACKING_SERVERS_PER_RACK != rack) ||
            packing->available_accels[s] < (int)rule->accels) {
            continue;
        }
        if (rule->adjacency == MS_ADJACENT_SERVER && placed_count > 0 && s != first_server) {
            continue;
        }
        packing->available_accels[s] -= (int)rule->accels;
        bool placed = pack_tasks(packing, guarantee, placed_count + 1, s, rack);
        packing->available_accels[s] += (int)rule->accels;
        if (placed) {
            return true;
        }
    }
    return false;
}

static GArray *
create_servers(void)
{
    GArray *servers = g_array_new(FALSE, TRUE, sizeof(struct ms_dc_server));
    for (int i = 0; i < PACKING_SERVERS; i++) {
        struct ms_dc_server dc_server = {.dc = "dc-1", .server = {.slots = 64, .accels = 8}};
        g_snprintf(dc_server.server.name, MS_NAME_MAX, "s%d", i);
        g_snprintf(dc_server.server.rack, MS_NAME_MAX, "r%d", i / PACKING_SERVERS_PER_RACK);
        g_array_append_val(servers, dc_server);
    }
    return servers;
}

/* Compares the check of one random set of guarantees with the exhaustive search. */
static bool
run_guarantees(uint32_t seed)
{
    GRand *random = g_rand_new_with_seed(seed);
    struct packing packing = {.guarantee_count = g_rand_int_range(random, 1, 4)};
    GArray *lines = g_array_new(FALSE, TRUE, sizeof(struct ms_rule_line));
    char error[512];
    for (int i = 0; i < PACKING_SERVERS; i++) {
        packing.available_accels[i] = 8;
    }
    for (int i = 0; i < packing.guarantee_count; i++) {
        struct ms_rule_line line = {.line_number = (unsigned int)i + 1};
        line.rule.kind = MS_RULE_GUARANTEE;
        g_snprintf(line.rule.name, MS_NAME_MAX, "g%d", i);
        g_strlcpy(line.rule.account, "alpha", MS_NAME_MAX);
        g_strlcpy(line.rule.dc, "dc-1", MS_NAME_MAX);
        line.rule.tasks = (uint32_t)g_rand_int_range(random, 1, 5);
        line.rule.accels = (uint32_t)g_rand_int_range(random, 1, 9);
        line.rule.adjacency = (enum ms_adjacency)g_rand_int_range(random, 0, 3);
        packing.guarantees[i] = line.rule;
        g_array_append_val(lines, line);
    }
    bool packable = pack_guarantees(&packing, 0);
    GArray *servers = create_servers();
    bool accepted = ms_rules_check_guarantees(lines, servers, error, sizeof(error)) == MS_OK;
    if (accepted != packable) {
        printf("failed test=guarantees seed=%u possible=%d accepted=%d\n", seed, packable,
               accepted);
    }
    g_array_unref(servers);
    g_array_unref(lines);
    g_rand_free(random);
    return accepted == packable;
}

/* ---- agreement with the reference scheduler ---- */

static struct simulator *
sim_without_faults(uint32_t seed, enum sim_scheduler scheduler)
{
    struct sim_options options = {.seed = seed,
                                  .scheduler = scheduler,
                                  .dc_count = 1,
                                  .servers_per_dc = 6,
                                  .servers_per_rack = 3,
                                  .slots_per_server = 8,
                                  .accels_per_server = 8,
                                  .max_delay_ms = 3,
                                  .check_invariants = true};
    struct simulator *sim = sim_new(&options);
    add_accounts(sim);
    if (scheduler == SIM_SCHEDULER_CORE) {
        add_guarantee(sim, "g1", "alpha", "dc-1", 2, 8);
    }
    GRand *random = g_rand_new_with_seed(seed + 77);
    for (int i = 0; i < JOB_COUNT; i++) {
        struct ms_job_spec spec = {.idempotent = true, .job_class = MS_CLASS_NORMAL};
        spec.idempotent = g_rand_int_range(random, 0, 3) > 0;
        /* Only job 30 belongs to alpha, so that the guarantee is unused until it arrives. */
        g_strlcpy(spec.account, i == 30 ? "alpha" : "beta", sizeof(spec.account));
        g_snprintf(spec.key, sizeof(spec.key), "k%d", i);
        spec.tasks = (uint32_t)g_rand_int_range(random, 1, 5);
        spec.accels = (uint32_t)g_rand_int_range(random, 0, 9);
        spec.adjacency = (enum ms_adjacency)g_rand_int_range(random, 0, 2);
        int64_t run_time_ms = g_rand_int_range(random, 5, 8000);
        int64_t at = g_rand_int_range(random, 2, 30000);
        if (i == 30) {
            spec.tasks = 2;
            spec.accels = 8;
        }
        struct sim_job *job = sim_submit_job(sim, at, 0, &spec, run_time_ms);
        job->uses_guarantee = i == 30;
        job->always_fails = i % 17 == 3;
    }
    g_rand_free(random);
    return sim;
}

/*
 * The core must give each job one outcome, the same as the reference scheduler.
 * Jobs that never fit are excepted: the reference scheduler leaves them waiting.
 */
static bool
same_outcomes(uint32_t seed, const struct simulator *core, const struct simulator *reference)
{
    GPtrArray *core_jobs = sim_jobs(core);
    GPtrArray *reference_jobs = sim_jobs(reference);
    for (guint i = 0; i < core_jobs->len; i++) {
        const struct sim_job *core_job = g_ptr_array_index(core_jobs, i);
        const struct sim_job *reference_job = g_ptr_array_index(reference_jobs, i);
        bool never_fits =
            core_job->code == MS_OUTCOME_NEVER_FITS && reference_job->outcome_count == 0;
        if (core_job->outcome_count != 1 ||
            (!never_fits &&
             (reference_job->outcome_count != 1 || core_job->code != reference_job->code))) {
            printf("failed test=agree seed=%u job=%s core=%s naive=%s\n", seed, core_job->id,
                   core_job->outcome_count > 0 ? ms_outcome_name(core_job->code) : "none",
                   reference_job->outcome_count > 0 ? ms_outcome_name(reference_job->code)
                                                    : "none");
            return false;
        }
        if (core_job->uses_guarantee &&
            core_job->started_at - core_job->submitted_at > GUARANTEE_START_LIMIT_MS) {
            printf("failed test=agree seed=%u job=%s claim_ms=%" G_GINT64_FORMAT "\n", seed,
                   core_job->id, core_job->started_at - core_job->submitted_at);
            return false;
        }
    }
    return true;
}

static bool
run_agree(uint32_t seed)
{
    struct simulator *core = sim_without_faults(seed, SIM_SCHEDULER_CORE);
    struct simulator *reference = sim_without_faults(seed, SIM_SCHEDULER_REFERENCE);
    sim_run(core, END_MS);
    sim_run(reference, END_MS);
    const char *violation = sim_violation(core);
    bool passed = violation == NULL;
    if (!passed) {
        printf("failed test=agree seed=%u reason=\"%s\"\n", seed, violation);
    }
    passed = passed && same_outcomes(seed, core, reference);
    sim_free(core);
    sim_free(reference);
    return passed;
}

struct test {
    const char *name;
    bool (*run)(uint32_t seed); /* returns whether the seed passed */
    uint32_t count;             /* seeds to run by default */
};

static const struct test tests[] = {
    {"faults", run_faults, 2000},
    {"guarantees", run_guarantees, 5000},
    {"agree", run_agree, 300},
};

int
main(int argc, char **argv)
{
    const char *selected = argc > 1 ? argv[1] : "all";
    uint32_t first = argc > 2 ? (uint32_t)atoi(argv[2]) : 1;
    uint32_t failed = 0;
    if (strcmp(selected, "trace") == 0 && argc >= 4) {
        return write_trace(first, argv[3], argc > 4 ? (unsigned int)atoi(argv[4]) : 0);
    }
    for (size_t t = 0; t < G_N_ELEMENTS(tests); t++) {
        if (strcmp(selected, "all") != 0 && strcmp(selected, tests[t].name) != 0) {
            continue;
        }
        uint32_t count = argc > 3 ? (uint32_t)atoi(argv[3]) : tests[t].count;
        uint32_t passed_count = 0;
        for (uint32_t i = 0; i < count; i++) {
            passed_count += tests[t].run(first + i) ? 1 : 0;
        }
        printf("test=%s first_seed=%u seeds=%u passed=%u failed=%u\n", tests[t].name, first, count,
               passed_count, count - passed_count);
        failed += count - passed_count;
    }
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
