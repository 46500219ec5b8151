/*
 * differential.c - the decision core against the naive version and against
 * exhaustive search, over seeded sequences of events.
 *
 * usage: differential [faults|guarantees|agree|all|trace] [FIRST_SEED [COUNT]]
 *
 * faults:      random faults; every promise is checked after every step, and
 *              every job has to end once the faults are over
 * guarantees:  the binding of guarantees against an exhaustive search
 * trace SEED FILE [DC]: writes the trace of one seed of `faults`
 * agree:       without faults, core and naive version give the same outcomes
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/rules_file.h"
#include "naive/world.h"

#define FAULTS_UNTIL_MS 60000
#define END_MS 400000
#define JOBS 60
#define RECLAIM_LIMIT_MS 5000

static const char *const accounts[] = {"alpha", "beta", "gamma"};

static void
add_accounts(struct world *world)
{
    for (size_t i = 0; i < G_N_ELEMENTS(accounts); i++) {
        struct ms_rule rule = {.kind = MS_RULE_ACCOUNT, .share = (uint32_t)i + 1};
        g_strlcpy(rule.name, accounts[i], sizeof(rule.name));
        world_rule(world, 0, &rule);
    }
}

static void
add_guarantee(struct world *world, const char *name, const char *account, const char *dc,
              uint32_t tasks, uint32_t accels)
{
    struct ms_rule rule = {
        .kind = MS_RULE_GUARANTEE, .tasks = tasks, .accels = accels, .adjacency = MS_ADJACENT_RACK};
    g_strlcpy(rule.name, name, sizeof(rule.name));
    g_strlcpy(rule.account, account, sizeof(rule.account));
    g_strlcpy(rule.dc, dc, sizeof(rule.dc));
    world_rule(world, 1, &rule);
}

static struct ms_job_spec
random_spec(struct world *world, int number)
{
    static const uint32_t sizes[] = {0, 1, 1, 2, 4, 8};
    static const uint32_t gangs[] = {1, 1, 1, 2, 3, 4};
    struct ms_job_spec spec = {0};
    g_strlcpy(spec.account, accounts[world_random(world, 0, 3)], sizeof(spec.account));
    g_snprintf(spec.key, sizeof(spec.key), "k%d", number);
    spec.tasks = gangs[world_random(world, 0, 6)];
    spec.accels = sizes[world_random(world, 0, 6)];
    spec.adjacency = (enum ms_adjacency)world_random(world, 0, 2);
    spec.job_class = (enum ms_class)world_random(world, 0, 3);
    spec.idempotent = world_random(world, 0, 3) > 0;
    spec.checkpointable = world_random(world, 0, 4) == 0;
    spec.declared_ms = world_random(world, 0, 2) * world_random(world, 100, 20000);
    if (world_random(world, 0, 10) == 0) {
        spec.deadline_ms = world_random(world, 1000, 70000);
    }
    return spec;
}

static void
random_faults(struct world *world)
{
    for (int i = 0; i < 6; i++) {
        int64_t at = world_random(world, 100, FAULTS_UNTIL_MS - 15000);
        int64_t until = at + world_random(world, 10, 12000);
        unsigned int dc = (unsigned int)world_random(world, 0, 2);
        unsigned int server = (unsigned int)world_random(world, 0, 6);
        switch (world_random(world, 0, 7)) {
        case 0:
        case 1:
            world_cut(world, at, until, dc, server);
            break;
        case 2:
            world_restart(world, at, dc, server);
            break;
        case 3:
            world_takeover(world, at, dc);
            break;
        case 4:
            world_log_outage(world, at, until);
            break;
        case 5:
            world_fail_tasks(world, at, until, dc, server);
            break;
        default:
            world_dc_away(world, at, until, dc, world_random(world, 0, 3000));
            break;
        }
    }
}

static const char *
check_all_ended(const struct world *world, char *text, size_t size)
{
    GPtrArray *jobs = world_jobs(world);
    for (guint i = 0; i < jobs->len; i++) {
        const struct world_job *job = g_ptr_array_index(jobs, i);
        if (job->outcomes == 0) {
            char why[MS_ERROR_TEXT_MAX] = "";
            world_explain(world, job, why, sizeof(why));
            g_snprintf(text, (gulong)size, "job %.40s never ended: %.110s", job->id, why);
            return text;
        }
        if (job->running > 0) {
            g_snprintf(text, (gulong)size, "job %s ended, but some of it still runs", job->id);
            return text;
        }
    }
    return NULL;
}

static struct world *
fault_world(uint32_t seed, FILE *trace, unsigned int trace_dc)
{
    struct world_options options = {.seed = seed,
                                    .dcs = 2,
                                    .servers = 6,
                                    .rack_servers = 3,
                                    .slots = 8,
                                    .accels = 8,
                                    .lose = seed % 3 == 0 ? 0.03 : 0,
                                    .duplicate = seed % 2 == 0 ? 0.05 : 0,
                                    .delay_max = seed % 5 == 0 ? 100 : 5,
                                    .check = true,
                                    .trace = trace,
                                    .trace_dc = trace_dc};
    struct world *world = world_new(&options);
    add_accounts(world);
    add_guarantee(world, "g1", "alpha", "dc-1", 2, 8);
    add_guarantee(world, "g2", "beta", "dc-1", 3, 2);
    add_guarantee(world, "g3", "gamma", "dc-2", 2, 4);
    for (int i = 0; i < JOBS; i++) {
        struct ms_job_spec spec = random_spec(world, i);
        int64_t at = world_random(world, 2, FAULTS_UNTIL_MS - 10000);
        struct world_job *job = world_submit(world, at, (unsigned int)world_random(world, 0, 2),
                                             &spec, world_random(world, 5, 8000));
        job->fails = world_random(world, 0, 20) == 0;
        if (world_random(world, 0, 8) == 0) {
            world_cancel(world, at + world_random(world, 1, 5000), job->id);
        }
    }
    random_faults(world);
    return world;
}

/* Writes the events of one data centre (0 or 1) of one seed, for `mustardspread replay`. */
static int
write_trace(uint32_t seed, const char *path, unsigned int dc)
{
    FILE *file = fopen(path, "w");
    if (file == NULL) {
        perror(path);
        return EXIT_FAILURE;
    }
    struct world *world = fault_world(seed, file, dc);
    world_run(world, END_MS);
    world_free(world);
    fclose(file);
    return EXIT_SUCCESS;
}

/* Runs one seed; prints the shortest prefix that fails. */
static bool
run_faults(uint32_t seed)
{
    char text[MS_ERROR_TEXT_MAX];
    struct world *world = fault_world(seed, NULL, 0);
    world_run(world, END_MS);
    const char *violation = world_violation(world);
    if (violation == NULL) {
        violation = check_all_ended(world, text, sizeof(text));
    }
    if (violation != NULL) {
        /* The run stops at the first violation, so its length is the prefix. */
        printf("failed test=faults seed=%u events=%" G_GUINT64_FORMAT " reason=\"%s\"\n", seed,
               world_events(world), violation);
    }
    bool good = violation == NULL;
    world_free(world);
    return good;
}

/* ---- guarantees against exhaustive search ---- */

#define SMALL_SERVERS 4
#define SMALL_RACK 2

struct puzzle {
    int free[SMALL_SERVERS]; /* accelerators */
    int count;
    struct ms_rule shapes[3];
};

static bool pack(struct puzzle *puzzle, int shape, uint32_t task, int first, int rack);

/* Whether shapes from SHAPE on can be packed: tries every rack and server. */
static bool
pack_from(struct puzzle *puzzle, int shape)
{
    if (shape == puzzle->count) {
        return true;
    }
    if (puzzle->shapes[shape].adjacency == MS_ADJACENT_RACK) {
        for (int rack = 0; rack < SMALL_SERVERS / SMALL_RACK; rack++) {
            if (pack(puzzle, shape, 0, 0, rack)) {
                return true;
            }
        }
        return false;
    }
    return pack(puzzle, shape, 0, 0, -1);
}

static bool
pack(struct puzzle *puzzle, int shape, uint32_t task, int first, int rack)
{
    const struct ms_rule *rule = &puzzle->shapes[shape];
    if (task == rule->tasks) {
        return pack_from(puzzle, shape + 1);
    }
    for (int s = first; s < SMALL_SERVERS; s++) {
        if ((rack >= 0 && s / SMALL_RACK != rack) || puzzle->free[s] < (int)rule->accels) {
            continue;
        }
        if (rule->adjacency == MS_ADJACENT_SERVER && task > 0 && s != first) {
            continue;
        }
        puzzle->free[s] -= (int)rule->accels;
        bool good = pack(puzzle, shape, task + 1, s, rack);
        puzzle->free[s] += (int)rule->accels;
        if (good) {
            return true;
        }
    }
    return false;
}

static GArray *
small_servers(void)
{
    GArray *servers = g_array_new(FALSE, TRUE, sizeof(struct ms_dc_server));
    for (int i = 0; i < SMALL_SERVERS; i++) {
        struct ms_dc_server size = {.dc = "dc-1", .server = {.slots = 64, .accels = 8}};
        g_snprintf(size.server.name, MS_NAME_MAX, "s%d", i);
        g_snprintf(size.server.rack, MS_NAME_MAX, "r%d", i / SMALL_RACK);
        g_array_append_val(servers, size);
    }
    return servers;
}

static bool
run_guarantees(uint32_t seed)
{
    GRand *random = g_rand_new_with_seed(seed);
    struct puzzle puzzle = {.count = g_rand_int_range(random, 1, 4)};
    GArray *lines = g_array_new(FALSE, TRUE, sizeof(struct ms_rule_line));
    char error[512];
    for (int i = 0; i < SMALL_SERVERS; i++) {
        puzzle.free[i] = 8;
    }
    for (int i = 0; i < puzzle.count; i++) {
        struct ms_rule_line line = {.line_number = (unsigned int)i + 1};
        line.rule.kind = MS_RULE_GUARANTEE;
        g_snprintf(line.rule.name, MS_NAME_MAX, "g%d", i);
        g_strlcpy(line.rule.account, "alpha", MS_NAME_MAX);
        g_strlcpy(line.rule.dc, "dc-1", MS_NAME_MAX);
        line.rule.tasks = (uint32_t)g_rand_int_range(random, 1, 5);
        line.rule.accels = (uint32_t)g_rand_int_range(random, 1, 9);
        line.rule.adjacency = (enum ms_adjacency)g_rand_int_range(random, 0, 3);
        puzzle.shapes[i] = line.rule;
        g_array_append_val(lines, line);
    }
    bool possible = pack_from(&puzzle, 0);
    GArray *servers = small_servers();
    bool accepted = ms_rules_check_guarantees(lines, servers, error, sizeof(error)) == MS_OK;
    if (accepted != possible) {
        printf("failed test=guarantees seed=%u possible=%d accepted=%d\n", seed, possible,
               accepted);
    }
    g_array_unref(servers);
    g_array_unref(lines);
    g_rand_free(random);
    return accepted == possible;
}

/* ---- agreement with the naive version ---- */

static struct world *
quiet_world(uint32_t seed, enum world_policy policy)
{
    struct world_options options = {.seed = seed,
                                    .policy = policy,
                                    .dcs = 1,
                                    .servers = 6,
                                    .rack_servers = 3,
                                    .slots = 8,
                                    .accels = 8,
                                    .delay_max = 3,
                                    .check = true};
    struct world *world = world_new(&options);
    add_accounts(world);
    if (policy == WORLD_CORE) {
        add_guarantee(world, "g1", "alpha", "dc-1", 2, 8);
    }
    GRand *random = g_rand_new_with_seed(seed + 77);
    for (int i = 0; i < JOBS; i++) {
        struct ms_job_spec spec = {.idempotent = true, .job_class = MS_CLASS_NORMAL};
        spec.idempotent = g_rand_int_range(random, 0, 3) > 0;
        /* alpha's use of its guarantee comes from this job alone */
        g_strlcpy(spec.account, i == 30 ? "alpha" : "beta", sizeof(spec.account));
        g_snprintf(spec.key, sizeof(spec.key), "k%d", i);
        spec.tasks = (uint32_t)g_rand_int_range(random, 1, 5);
        spec.accels = (uint32_t)g_rand_int_range(random, 0, 9);
        spec.adjacency = (enum ms_adjacency)g_rand_int_range(random, 0, 2);
        int64_t run = g_rand_int_range(random, 5, 8000);
        int64_t at = g_rand_int_range(random, 2, 30000);
        if (i == 30) {
            spec.tasks = 2;
            spec.accels = 8;
        }
        struct world_job *job = world_submit(world, at, 0, &spec, run);
        job->claim = i == 30;
        job->fails = i % 17 == 3;
    }
    g_rand_free(random);
    return world;
}

static bool
same_outcomes(uint32_t seed, const struct world *core, const struct world *naive)
{
    GPtrArray *left = world_jobs(core);
    GPtrArray *right = world_jobs(naive);
    for (guint i = 0; i < left->len; i++) {
        const struct world_job *a = g_ptr_array_index(left, i);
        const struct world_job *b = g_ptr_array_index(right, i);
        bool never = a->code == MS_OUTCOME_NEVER_FITS && b->outcomes == 0;
        if (a->outcomes != 1 || (!never && (b->outcomes != 1 || a->code != b->code))) {
            printf("failed test=agree seed=%u job=%s core=%s naive=%s\n", seed, a->id,
                   a->outcomes > 0 ? ms_outcome_name(a->code) : "none",
                   b->outcomes > 0 ? ms_outcome_name(b->code) : "none");
            return false;
        }
        if (a->claim && a->started_at - a->submitted_at > RECLAIM_LIMIT_MS) {
            printf("failed test=agree seed=%u job=%s claim_ms=%" G_GINT64_FORMAT "\n", seed, a->id,
                   a->started_at - a->submitted_at);
            return false;
        }
    }
    return true;
}

static bool
run_agree(uint32_t seed)
{
    struct world *core = quiet_world(seed, WORLD_CORE);
    struct world *naive = quiet_world(seed, WORLD_NAIVE);
    world_run(core, END_MS);
    world_run(naive, END_MS);
    const char *violation = world_violation(core);
    bool good = violation == NULL;
    if (!good) {
        printf("failed test=agree seed=%u reason=\"%s\"\n", seed, violation);
    }
    good = good && same_outcomes(seed, core, naive);
    world_free(core);
    world_free(naive);
    return good;
}

struct test {
    const char *name;
    bool (*run)(uint32_t seed);
    uint32_t count;
};

static const struct test tests[] = {
    {"faults", run_faults, 2000},
    {"guarantees", run_guarantees, 5000},
    {"agree", run_agree, 300},
};

int
main(int argc, char **argv)
{
    const char *which = argc > 1 ? argv[1] : "all";
    uint32_t first = argc > 2 ? (uint32_t)atoi(argv[2]) : 1;
    uint32_t failed = 0;
    if (strcmp(which, "trace") == 0 && argc >= 4) {
        return write_trace(first, argv[3], argc > 4 ? (unsigned int)atoi(argv[4]) : 0);
    }
    for (size_t t = 0; t < G_N_ELEMENTS(tests); t++) {
        if (strcmp(which, "all") != 0 && strcmp(which, tests[t].name) != 0) {
            continue;
        }
        uint32_t count = argc > 3 ? (uint32_t)atoi(argv[3]) : tests[t].count;
        uint32_t passed = 0;
        for (uint32_t i = 0; i < count; i++) {
            passed += tests[t].run(first + i) ? 1 : 0;
        }
        printf("test=%s first_seed=%u seeds=%u passed=%u failed=%u\n", tests[t].name, first, count,
               passed, count - passed);
        failed += count - passed;
    }
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
