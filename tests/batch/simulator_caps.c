/*
 * simulator_caps.c - caps of accounts: their changes, and the invariant that no start brings an
 * account above its cap, checked from the simulator's own records of runs.
 */
#include <string.h>

#include "batch/simulator_private.h"

/* Another cap may be in force for so long beside the next one; the higher one counts. */
#define CAP_OVERLAP_MS 4000
#define CAP_LEARNED_MAX_MS 3000 /* the leader learns of a change within this time */

/* A cap of an account; it is replaced by the account's next one. */
struct cap_change {
    struct ms_account_rule *rule;
    struct ms_resources cap; /* 0: no limit */
    int64_t from;
    int64_t learned_at; /* when the leader learns of it */
    bool learned;
};

static struct ms_account_rule *
find_rule(const struct simulator *simulator, const char *account)
{
    for (size_t i = 0; i < simulator->policy->account_count; i++) {
        if (strcmp(simulator->policy->accounts[i].name, account) == 0) {
            return &simulator->policy->accounts[i];
        }
    }
    return NULL;
}

GArray *
simulator_new_cap_changes(void)
{
    return g_array_new(FALSE, FALSE, sizeof(struct cap_change));
}

void
simulator_set_cap(struct simulator *simulator, const char *account, struct ms_resources cap,
                  int64_t delay_ms)
{
    struct cap_change change = {
        .rule = find_rule(simulator, account),
        .cap = cap,
        .from = simulator->now,
        .learned_at = simulator->now + MIN(delay_ms, CAP_LEARNED_MAX_MS),
    };
    for (guint i = 0; i < simulator->cap_changes->len; i++) {
        const struct cap_change *earlier =
            &g_array_index(simulator->cap_changes, struct cap_change, i);
        change.learned_at = MAX(change.learned_at, earlier->learned_at);
    }
    g_array_append_val(simulator->cap_changes, change);
    simulator->unlearned_caps++;
    simulator_learn_caps(simulator);
}

void
simulator_learn_caps(struct simulator *simulator)
{
    if (simulator->unlearned_caps == 0) {
        return;
    }
    uint32_t unlearned = simulator->unlearned_caps;
    for (guint i = 0; i < simulator->cap_changes->len; i++) {
        struct cap_change *change = &g_array_index(simulator->cap_changes, struct cap_change, i);
        if (!change->learned && simulator->now >= change->learned_at) {
            change->learned = true;
            change->rule->cap = change->cap;
            simulator->unlearned_caps--;
        }
    }
    if (simulator->engine != NULL && simulator->unlearned_caps < unlearned) {
        ms_engine_set_policy(simulator->engine, simulator->policy);
    }
}

/* The larger of A and B, of which 0 is no limit. */
static int64_t
higher_limit(int64_t a, int64_t b)
{
    return a == 0 || b == 0 ? 0 : MAX(a, b);
}

/* The lower of A and B, of which 0 is no limit. */
static int64_t
lower_limit(int64_t a, int64_t b)
{
    if (a == 0 || b == 0) {
        return MAX(a, b);
    }
    return MIN(a, b);
}

/*
 * The highest (or lowest) limits of ACCOUNT that were in force at any time in the last
 * OVERLAP_MS, in each resource; 0: no limit.
 */
static struct ms_resources
recent_limits(const struct simulator *simulator, const char *account, int64_t overlap_ms,
              int64_t (*combine)(int64_t a, int64_t b))
{
    struct ms_resources limits = {0, 0, 0};
    bool found = false;
    int64_t until = INT64_MAX; /* when the change being looked at was replaced */
    for (guint i = simulator->cap_changes->len; i > 0; i--) {
        const struct cap_change *change =
            &g_array_index(simulator->cap_changes, struct cap_change, i - 1);
        if (strcmp(change->rule->name, account) != 0) {
            continue;
        }
        if (until < simulator->now - overlap_ms) {
            return limits;
        }
        const struct ms_resources *cap = &change->cap;
        limits.cpu_millis = found ? combine(limits.cpu_millis, cap->cpu_millis) : cap->cpu_millis;
        limits.memory_mb = found ? combine(limits.memory_mb, cap->memory_mb) : cap->memory_mb;
        limits.accels = found ? combine(limits.accels, cap->accels) : cap->accels;
        found = true;
        until = change->from;
    }
    if (found && until >= simulator->now - overlap_ms) {
        /* Before its first change the account had no cap. */
        limits.cpu_millis = combine(limits.cpu_millis, 0);
        limits.memory_mb = combine(limits.memory_mb, 0);
        limits.accels = combine(limits.accels, 0);
    }
    return limits;
}

/* The submitted job that TASK belongs to. */
static const struct ms_batch_spec *
find_spec(const struct simulator *simulator, const char *task)
{
    char id[MS_JOB_ID_MAX];
    uint32_t occurrence = 0;
    uint32_t step = 0;
    uint32_t index = 0;
    if (ms_task_name_parse(task, id, &occurrence, &step, &index) != MS_OK) {
        return NULL;
    }
    return g_hash_table_lookup(simulator->specs, id);
}

struct ms_resources
simulator_account_usage(const struct simulator *simulator, const char *account)
{
    struct ms_resources used = {0, 0, 0};
    for (size_t i = 0; i < simulator->server_count; i++) {
        const GArray *runs = simulator->servers[i].runs;
        for (guint k = 0; k < runs->len; k++) {
            const struct run *run = &g_array_index(runs, struct run, k);
            const struct ms_batch_spec *spec = find_spec(simulator, run->task);
            if (spec != NULL && strcmp(spec->account, account) == 0) {
                ms_resources_add(&used, &simulator_find_step(simulator, run->task)->task_resources,
                                 1);
            }
        }
    }
    return used;
}

/*
 * How long ago a cap may have been replaced that START may still go by.  A late start that is
 * carried out while there is no leader, which could have stopped it, may go by those from when
 * it was sent.
 */
static int64_t
cap_overlap_ms(const struct simulator *simulator, const struct event *start)
{
    bool stoppable = !start->delayed || simulator->engine != NULL;
    return stoppable ? CAP_OVERLAP_MS : CAP_OVERLAP_MS + simulator->now - start->sent_at;
}

void
simulator_check_cap(struct simulator *simulator, const struct event *start)
{
    const char *task = start->action->task;
    const struct ms_batch_spec *spec = find_spec(simulator, task);
    if (spec == NULL || simulator->cap_changes->len == 0) {
        return;
    }
    struct ms_resources limits =
        recent_limits(simulator, spec->account, cap_overlap_ms(simulator, start), higher_limit);
    struct ms_resources used = simulator_account_usage(simulator, spec->account);
    ms_resources_add(&used, &simulator_find_step(simulator, task)->task_resources, 1);
    if ((limits.cpu_millis > 0 && used.cpu_millis > limits.cpu_millis) ||
        (limits.memory_mb > 0 && used.memory_mb > limits.memory_mb) ||
        (limits.accels > 0 && used.accels > limits.accels)) {
        simulator_report_violation(simulator, "cap of the account exceeded", task);
    }
}

bool
simulator_uses_half_of_cap(const struct simulator *simulator, const char *account,
                           int64_t recent_ms)
{
    if (simulator->cap_changes->len == 0) {
        return false;
    }
    struct ms_resources limits = recent_limits(simulator, account, recent_ms, lower_limit);
    struct ms_resources used = simulator_account_usage(simulator, account);
    return (limits.cpu_millis > 0 && 2 * used.cpu_millis >= limits.cpu_millis) ||
           (limits.memory_mb > 0 && 2 * used.memory_mb >= limits.memory_mb) ||
           (limits.accels > 0 && 2 * used.accels >= limits.accels);
}
