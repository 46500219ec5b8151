/*
 * engine_cap.c - units that wait for the caps of their accounts; see engine_cap.h.
 */
#include <string.h>

#include "batch/engine_cap.h"

#define CAP_RESERVE_WAIT_MS 300 /* wait of a unit before room under the cap is reserved for it */
/*
 * Between two collections of the tasks that may be preempted, each of which visits all jobs: passes
 * follow each other as quickly as every 20 ms.
 */
#define CANDIDATES_INTERVAL_MS 100

/* A task, or a gang by one of its members, that may be stopped for another unit. */
struct candidate {
    struct ms_batch_task *task;
    int64_t cost; /* core-seconds */
};

void
ms_cap_begin_pass(struct ms_placement_pass *pass)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, pass->engine->accounts_by_name);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct ms_batch_account *account = value;
        memset(&account->releasing, 0, sizeof(account->releasing));
        memset(&account->reserved, 0, sizeof(account->reserved));
        account->waiting_tasks = 0;
        account->delayed_units = 0;
    }
}

void
ms_cap_end_pass(struct ms_placement_pass *pass, const GPtrArray *steps)
{
    for (guint i = 0; i < steps->len; i++) {
        const struct ms_batch_step *step = g_ptr_array_index(steps, i);
        step->occurrence->job->account->waiting_tasks += step->waiting;
    }
    if (pass->cap_candidates != NULL) {
        g_hash_table_destroy(pass->cap_candidates);
        pass->cap_candidates = NULL;
    }
}

uint32_t
ms_cap_max_tasks(const struct ms_unit *unit)
{
    const struct ms_batch_account *account = unit->step->occurrence->job->account;
    uint32_t count = ms_account_max_tasks(account, &unit->step->spec->task_resources, unit->count);
    return unit->gang && count < unit->count ? 0 : count;
}

void
ms_cap_reserve(const struct ms_placement_pass *pass)
{
    const struct ms_unit *unit = pass->unit;
    ms_account_reserve(unit->step->occurrence->job->account, &unit->step->spec->task_resources,
                       unit->count);
}

/* Whether TASK may be stopped so that the current unit, of the same account, fits under its cap. */
static bool
may_stop(const struct ms_placement_pass *pass, const struct ms_batch_task *task)
{
    const struct ms_batch_job *job = pass->unit->step->occurrence->job;
    return ms_batch_job_priority(ms_batch_task_job(task)) > ms_batch_job_priority(job) &&
           ms_capacity_may_preempt(pass, task);
}

/* Whether the end of TASK, if it is stopped, is soon known: its server answers. */
static bool
ends_soon(const struct ms_engine *engine, const struct ms_batch_task *task)
{
    return task->server != NULL && ms_batch_server_usable(engine, task->server);
}

/* Adds to CANDIDATES the tasks of STEP that the current unit's priority may preempt. */
static void
add_candidates(const struct ms_placement_pass *pass, const struct ms_batch_step *step,
               GArray *candidates)
{
    for (uint32_t i = 0; i < step->spec->task_count; i++) {
        struct ms_batch_task *task = &step->tasks[i];
        if (!may_stop(pass, task) || !ends_soon(pass->engine, task)) {
            continue;
        }
        struct candidate candidate = {task, ms_capacity_preemption_cost(pass->engine, task)};
        g_array_append_val(candidates, candidate);
        if (step->spec->gang) {
            return;
        }
    }
}

/* Adds the tasks of JOB to the candidates of its account. */
static void
add_job_candidates(struct ms_placement_pass *pass, struct ms_batch_job *job)
{
    GArray *candidates = g_hash_table_lookup(pass->cap_candidates, job->account);
    if (candidates == NULL) {
        candidates = g_array_new(FALSE, FALSE, sizeof(struct candidate));
        g_hash_table_insert(pass->cap_candidates, job->account, candidates);
    }
    for (guint i = 0; i < job->occurrences->len; i++) {
        const struct ms_batch_occurrence *occurrence = g_ptr_array_index(job->occurrences, i);
        for (size_t s = 0; occurrence->steps != NULL && s < job->spec->step_count; s++) {
            if (occurrence->steps[s].active > 0) {
                add_candidates(pass, &occurrence->steps[s], candidates);
            }
        }
    }
}

static gint
compare_costs(gconstpointer left, gconstpointer right)
{
    const struct candidate *a = left;
    const struct candidate *b = right;
    return a->cost < b->cost ? -1 : a->cost > b->cost;
}

static void
sort_candidates(gpointer account, gpointer candidates, gpointer opaque)
{
    (void)account;
    (void)opaque;
    g_array_sort(candidates, compare_costs);
}

/*
 * Collects the tasks of all accounts with a cap that the current unit's priority may preempt.
 * Units of a lower priority, which are tried later in the pass, may preempt some of them.
 */
static void
collect_candidates(struct ms_placement_pass *pass)
{
    struct ms_engine *engine = pass->engine;
    bool own_account_only = pass->own_account_only;
    pass->own_account_only = false; /* other units will need those of other accounts */
    pass->cap_candidates = g_hash_table_new_full(NULL, NULL, NULL, (GDestroyNotify)g_array_unref);
    MS_LIST_FOREACH(link, &engine->jobs)
    {
        struct ms_batch_job *job = MS_CONTAINER_OF(link, struct ms_batch_job, jobs_link);
        if (job->account->capped && job->active_count > 0 && job->phase == MS_PHASE_OPEN) {
            add_job_candidates(pass, job);
        }
    }
    g_hash_table_foreach(pass->cap_candidates, sort_candidates, NULL);
    pass->own_account_only = own_account_only;
    engine->cap_candidates_at = engine->now;
}

/* The tasks of ACCOUNT that may be stopped, by rising cost; NULL: none, or not collected now. */
static GArray *
candidates_of(struct ms_placement_pass *pass, const struct ms_batch_account *account)
{
    const struct ms_engine *engine = pass->engine;
    if (pass->cap_candidates == NULL &&
        engine->now - engine->cap_candidates_at >= CANDIDATES_INTERVAL_MS) {
        collect_candidates(pass);
    }
    return pass->cap_candidates != NULL ? g_hash_table_lookup(pass->cap_candidates, account) : NULL;
}

/* Resources that a stop of CANDIDATE, which may be a gang, will free soon. */
static struct ms_resources
freed_by(const struct ms_engine *engine, const struct candidate *candidate)
{
    const struct ms_batch_step *step = candidate->task->step;
    struct ms_resources freed = {0, 0, 0};
    for (uint32_t i = 0; step->spec->gang && i < step->spec->task_count; i++) {
        const struct ms_batch_task *member = &step->tasks[i];
        bool counts = member->state != MS_BATCH_TASK_STOPPING && ends_soon(engine, member);
        ms_resources_add(&freed, &step->spec->task_resources, counts);
    }
    if (!step->spec->gang) {
        freed = step->spec->task_resources;
    }
    return freed;
}

static bool
is_missing(const struct ms_resources *missing)
{
    return missing->cpu_millis > 0 || missing->memory_mb > 0 || missing->accels > 0;
}

/* Whether FREED contains some of what is MISSING. */
static bool
helps(const struct ms_resources *freed, const struct ms_resources *missing)
{
    return (missing->cpu_millis > 0 && freed->cpu_millis > 0) ||
           (missing->memory_mb > 0 && freed->memory_mb > 0) ||
           (missing->accels > 0 && freed->accels > 0);
}

/* Drops from CHOSEN the most costly ones that are not needed: MISSING is what the others leave. */
static void
drop_unneeded(const struct ms_engine *engine, GArray *chosen, struct ms_resources missing)
{
    for (guint i = chosen->len; i > 0; i--) {
        struct ms_resources freed =
            freed_by(engine, &g_array_index(chosen, struct candidate, i - 1));
        struct ms_resources without = missing;
        ms_resources_add(&without, &freed, 1);
        if (!is_missing(&without)) {
            missing = without;
            g_array_remove_index(chosen, i - 1);
        }
    }
}

/* Chooses in CHOSEN the cheapest of CANDIDATES that free what is MISSING; false: not enough. */
static bool
choose(const struct ms_placement_pass *pass, const GArray *candidates, struct ms_resources missing,
       GArray *chosen)
{
    for (guint i = 0; i < candidates->len && is_missing(&missing); i++) {
        const struct candidate *candidate = &g_array_index(candidates, struct candidate, i);
        if (!may_stop(pass, candidate->task)) {
            continue; /* it was stopped earlier in this pass, or its priority is too high */
        }
        struct ms_resources freed = freed_by(pass->engine, candidate);
        if (helps(&freed, &missing)) {
            ms_resources_add(&missing, &freed, -1);
            g_array_append_val(chosen, *candidate);
        }
    }
    if (is_missing(&missing)) {
        return false;
    }
    drop_unneeded(pass->engine, chosen, missing);
    return true;
}

/* Stops tasks of the current unit's account so that the unit fits, if the cost allows it. */
static enum ms_level_outcome
try_preempt(struct ms_placement_pass *pass, const struct ms_resources *missing, int64_t cost_max)
{
    GArray *candidates = candidates_of(pass, pass->unit->step->occurrence->job->account);
    if (candidates == NULL) {
        return MS_OUTCOME_NO_CAPACITY;
    }
    GArray *chosen = g_array_new(FALSE, FALSE, sizeof(struct candidate));
    bool enough = choose(pass, candidates, *missing, chosen);
    int64_t cost = 0;
    for (guint i = 0; enough && i < chosen->len; i++) {
        cost += g_array_index(chosen, struct candidate, i).cost;
    }
    pass->outcomes.preempt_cost = cost;
    pass->outcomes.preempt_cost_max = cost_max;
    for (guint i = 0; enough && cost <= cost_max && i < chosen->len; i++) {
        struct ms_batch_task *task = g_array_index(chosen, struct candidate, i).task;
        ms_capacity_preempt(pass->engine, task, "cap_reclaimed", MS_NO_RESTRICTION);
        pass->preemptible_valid = false;
        ms_fit_forget(pass); /* the stops make room */
    }
    g_array_unref(chosen);
    if (!enough) {
        return MS_OUTCOME_NO_CAPACITY;
    }
    return cost <= cost_max ? MS_OUTCOME_GRANTED : MS_OUTCOME_TOO_COSTLY;
}

/* Grants the current unit room at the first level that can; false: none can. */
static bool
grant_room(struct ms_placement_pass *pass, int64_t waited_ms, int64_t cost_max)
{
    const struct ms_unit *unit = pass->unit;
    struct ms_batch_account *account = unit->step->occurrence->job->account;
    const struct ms_resources *request = &unit->step->spec->task_resources;
    enum ms_level_outcome *by_level = pass->outcomes.by_level;
    struct ms_resources missing = ms_account_missing(account, request, unit->count);
    if (!is_missing(&missing)) {
        by_level[MS_LEVEL_RELEASING] = MS_OUTCOME_GRANTED;
        return ms_account_reserve(account, request, unit->count);
    }
    by_level[MS_LEVEL_RELEASING] = MS_OUTCOME_OVER_CAP;
    by_level[MS_LEVEL_PREEMPT] = MS_OUTCOME_NOT_YET;
    if (cost_max != MS_NO_PREEMPTION && !pass->awaits_servers) {
        by_level[MS_LEVEL_PREEMPT] = try_preempt(pass, &missing, cost_max);
        if (by_level[MS_LEVEL_PREEMPT] == MS_OUTCOME_GRANTED) {
            return ms_account_reserve(account, request, unit->count);
        }
    }
    by_level[MS_LEVEL_RESERVE] = MS_OUTCOME_NOT_YET;
    if (waited_ms < CAP_RESERVE_WAIT_MS) {
        return false;
    }
    bool reserved = ms_account_reserve(account, request, unit->count);
    by_level[MS_LEVEL_RESERVE] = reserved ? MS_OUTCOME_GRANTED : MS_OUTCOME_TOO_MANY;
    return reserved;
}

uint32_t
ms_cap_wait(struct ms_placement_pass *pass, int64_t waited_ms, int64_t cost_max)
{
    const struct ms_unit *whole = pass->unit;
    struct ms_batch_account *account = whole->step->occurrence->job->account;
    account->delayed_units++;
    if (!ms_account_step_fits(whole->step->spec, &account->rule->cap)) {
        pass->outcomes.by_level[MS_LEVEL_RESERVE] = MS_OUTCOME_OVER_CAP;
        return 0; /* it can start only if the cap is raised */
    }
    struct ms_unit part = *whole;
    uint32_t rounds = 1;
    if (!whole->gang) {
        /* Room is made for one task at a time, except to meet a guarantee in time. */
        part.count = 1;
        rounds = pass->within_guarantee ? whole->count : 1;
    }
    pass->unit = &part;
    uint32_t freed = 0;
    for (uint32_t i = 0; i < rounds && grant_room(pass, waited_ms, cost_max); i++) {
        const enum ms_level_outcome *by_level = pass->outcomes.by_level;
        bool stops_ordered = by_level[MS_LEVEL_RELEASING] == MS_OUTCOME_GRANTED ||
                             by_level[MS_LEVEL_PREEMPT] == MS_OUTCOME_GRANTED;
        freed += stops_ordered ? part.count : 0;
    }
    pass->unit = whole;
    return freed;
}
