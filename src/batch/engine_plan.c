/*
 * engine_plan.c - chooses servers for a unit: in the rack of its data, or all in one rack,
 * on healthy servers, and where the capacity costs least.
 */
#include <stdlib.h>
#include <string.h>

#include "batch/engine_placement.h"

/*
 * A unit waits for capacity in its preferred rack for this fraction of its estimated run
 * time, at most for the time below, before it may use other racks.
 */
#define OFF_RACK_WAIT_FRACTION 1.0
#define OFF_RACK_WAIT_MAX_MS 6000
#define OFF_RACK_WAIT_TOP_MS 900 /* the maximum for a unit of the top priority */

/* Added to the cost of a server that is less suitable; the sum is the server's score. */
#define PENALTY_OFF_RACK 1000000  /* not in the rack of the data */
#define PENALTY_SUSPECT 100000    /* recently failed a run or refused one */
#define PENALTY_COLD 50000        /* still warming up after its start */
#define PENALTY_SLOW 70000        /* its runs are much slower than their siblings */
#define PENALTY_BEST_EFFORT 30000 /* its best-effort tasks would have to be stopped */

/* The penalty for placing TASK on SERVER. */
static int64_t
server_penalty(const struct ms_placement_pass *pass, const struct ms_batch_task *task,
               const struct ms_batch_server *server)
{
    const struct ms_engine *engine = pass->engine;
    const struct ms_step *spec = pass->unit->step->spec;
    int64_t penalty = 0;
    if (spec->rack[0] != '\0' && strcmp(spec->rack, server->entry.rack) != 0) {
        penalty += PENALTY_OFF_RACK;
    }
    if (spec->target_latency_ms > 0 && ms_capacity_has_conflict(server, false)) {
        penalty += PENALTY_BEST_EFFORT;
    }
    if (engine->now < server->slow_until) {
        penalty += PENALTY_SLOW;
    }
    if (engine->now < server->suspect_until) {
        penalty += PENALTY_SUSPECT;
    }
    if (ms_batch_task_avoid_count(task, server) > 0) {
        penalty += 2 * PENALTY_SUSPECT;
    }
    if (server->entry.warmup_remaining_ms > 0) {
        penalty += PENALTY_COLD;
    }
    return penalty;
}

/* Clears the plan, which is the field `planned_task_count` of each server. */
static void
clear_plan(const struct ms_placement_pass *pass)
{
    for (guint i = 0; i < pass->planned->len; i++) {
        struct ms_batch_server *server = g_ptr_array_index(pass->planned, i);
        server->planned_task_count = 0;
    }
    g_ptr_array_set_size(pass->planned, 0);
}

struct ranked_server {
    struct ms_batch_server *server;
    uint32_t max_tasks; /* tasks of the unit that it can take */
    int64_t cost;       /* for one task */
    int64_t score;      /* cost plus penalty, for one task */
};

/* Orders servers by rising score, those of equal scores as the engine learned of them. */
static int
compare_scores(const void *left, const void *right)
{
    const struct ranked_server *a = left;
    const struct ranked_server *b = right;
    if (a->score != b->score) {
        return a->score < b->score ? -1 : 1;
    }
    return a->server->index < b->server->index ? -1 : a->server->index > b->server->index;
}

/* Restores the order of HEAP (COUNT servers, the highest score first) from POSITION down. */
static void
sift_down(struct ranked_server *heap, guint count, guint position)
{
    struct ranked_server moved = heap[position];
    for (;;) {
        guint child = 2 * position + 1;
        if (child >= count) {
            break;
        }
        if (child + 1 < count && compare_scores(&heap[child], &heap[child + 1]) < 0) {
            child++;
        }
        if (compare_scores(&moved, &heap[child]) >= 0) {
            break;
        }
        heap[position] = heap[child];
        position = child;
    }
    heap[position] = moved;
}

/*
 * Sorts the first KEPT servers, in order, to the front of RANKED; the others follow in no order.
 * A unit needs few of the servers that it fits on, so that this takes less than to sort all.
 */
static void
sort_first(struct ranked_server *ranked, guint count, guint kept)
{
    if (kept < count) {
        for (guint i = kept / 2; i-- > 0;) {
            sift_down(ranked, kept, i);
        }
        for (guint i = kept; i < count; i++) {
            if (compare_scores(&ranked[i], &ranked[0]) < 0) {
                struct ranked_server dropped = ranked[0];
                ranked[0] = ranked[i];
                ranked[i] = dropped;
                sift_down(ranked, kept, 0);
            }
        }
    }
    qsort(ranked, MIN(kept, count), sizeof(*ranked), compare_scores);
}

/*
 * Plans the unit on SERVERS at LEVEL.  Returns the sum of the scores over all tasks, or
 * MS_NO_PLAN if not all tasks fit.  At the free level a unit that is not a gang may be
 * planned in part.  Sets the engine's `plan_cost` to the cost without penalties.
 */
static int64_t
plan_on(const struct ms_placement_pass *pass, const GPtrArray *servers,
        enum ms_placement_level level)
{
    const struct ms_unit *unit = pass->unit;
    const struct ms_batch_task *task = unit->tasks[0];
    struct ranked_server *ranked = g_new(struct ranked_server, servers->len + 1);
    guint count = 0;
    uint32_t total_tasks = 0;
    for (guint i = 0; i < servers->len; i++) {
        struct ms_batch_server *server = g_ptr_array_index(servers, i);
        uint32_t max_tasks = ms_capacity_max_tasks(pass, server, level, unit->count);
        if (max_tasks > 0) {
            ranked[count].server = server;
            ranked[count].max_tasks = max_tasks;
            count++;
            total_tasks += max_tasks;
        }
    }
    pass->engine->servers_examined += servers->len;
    bool partial = !unit->gang && level == MS_LEVEL_FREE;
    pass->engine->plan_cost = 0;
    uint32_t unplanned = partial ? MIN(unit->count, total_tasks) : unit->count;
    bool feasible = total_tasks >= unplanned && unplanned > 0;
    int64_t total_score = 0;
    for (guint i = 0; feasible && i < count; i++) {
        ranked[i].cost = ms_capacity_cost(pass, ranked[i].server, level);
        ranked[i].score = ranked[i].cost + server_penalty(pass, task, ranked[i].server);
    }
    if (feasible) {
        sort_first(ranked, count, MIN(count, unplanned)); /* at least one task on each */
    }
    for (guint i = 0; feasible && i < count && unplanned > 0; i++) {
        uint32_t planned = MIN(ranked[i].max_tasks, unplanned);
        ranked[i].server->planned_task_count = planned;
        g_ptr_array_add(pass->planned, ranked[i].server);
        unplanned -= planned;
        total_score += ranked[i].score * planned;
        pass->engine->plan_cost += ranked[i].cost * planned;
    }
    g_free(ranked);
    return feasible && unplanned == 0 ? total_score : MS_NO_PLAN;
}

/*
 * Whether the unit has waited long enough to run outside its preferred rack.  A unit that has
 * just lost its run has not waited yet, however long ago it became ready.
 */
static bool
may_leave_rack(const struct ms_placement_pass *pass)
{
    const struct ms_batch_step *step = pass->unit->step;
    int64_t wait_ms = (int64_t)((double)step->spec->estimate_ms * OFF_RACK_WAIT_FRACTION);
    bool top_priority = ms_batch_job_priority(step->occurrence->job) == 0;
    wait_ms = MIN(wait_ms, top_priority ? OFF_RACK_WAIT_TOP_MS : OFF_RACK_WAIT_MAX_MS);
    return pass->engine->now - step->unplaced_since >= wait_ms;
}

/* The number of free accelerators of SERVERS. */
static int64_t
free_accels(const GPtrArray *servers)
{
    int64_t accels = 0;
    for (guint i = 0; i < servers->len; i++) {
        accels += ms_capacity_available(g_ptr_array_index(servers, i), MS_LEVEL_FREE).accels;
    }
    return accels;
}

/*
 * Plans the unit within one rack: the rack of its data if it fits there, else the fullest
 * rack (free and releasing levels) or the cheapest one (other levels).
 */
static int64_t
plan_in_one_rack(const struct ms_placement_pass *pass, enum ms_placement_level level)
{
    const struct ms_step *spec = pass->unit->step->spec;
    const char *best = NULL;
    int64_t best_score = MS_NO_PLAN;
    GHashTableIter iterator;
    gpointer key = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, pass->racks);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        clear_plan(pass);
        int64_t score = plan_on(pass, value, level);
        if (score == MS_NO_PLAN) {
            continue;
        }
        if (level == MS_LEVEL_FREE || level == MS_LEVEL_RELEASING || level == MS_LEVEL_IDLE) {
            /* Prefer the fullest rack: its free accelerators replace the cost, penalties stay. */
            score += free_accels(value) - pass->engine->plan_cost;
        }
        if (spec->rack[0] != '\0' && strcmp(spec->rack, key) == 0) {
            score = -1; /* the rack of its data comes first */
        }
        if (best == NULL || score < best_score || (score == best_score && strcmp(key, best) < 0)) {
            best = key;
            best_score = score;
        }
    }
    clear_plan(pass);
    return best != NULL ? plan_on(pass, g_hash_table_lookup(pass->racks, best), level) : MS_NO_PLAN;
}

/* Plans the unit on the servers of the rack that holds its data. */
static int64_t
plan_in_data_rack(const struct ms_placement_pass *pass, enum ms_placement_level level)
{
    const GPtrArray *servers = g_hash_table_lookup(pass->racks, pass->unit->step->spec->rack);
    return servers != NULL ? plan_on(pass, servers, level) : MS_NO_PLAN;
}

bool
ms_plan_is_bound_to_rack(const struct ms_placement_pass *pass)
{
    const struct ms_step *spec = pass->unit->step->spec;
    bool prefers_rack = (spec->same_rack && pass->unit->gang) || spec->rack[0] != '\0';
    return prefers_rack && !may_leave_rack(pass);
}

/* Orders servers as the engine learned of them. */
static gint
compare_indexes(gconstpointer left, gconstpointer right)
{
    const struct ms_batch_server *a = *(struct ms_batch_server *const *)left;
    const struct ms_batch_server *b = *(struct ms_batch_server *const *)right;
    return a->index < b->index ? -1 : a->index > b->index;
}

/* As ms_plan_unit(); BOUND: the unit has to wait for capacity in one rack. */
static int64_t
plan(const struct ms_placement_pass *pass, enum ms_placement_level level, bool bound)
{
    const struct ms_step *spec = pass->unit->step->spec;
    int64_t score = MS_NO_PLAN;
    bool in_one_rack = spec->same_rack && pass->unit->gang;
    if (in_one_rack) {
        score = plan_in_one_rack(pass, level);
    }
    else if (spec->rack[0] != '\0') {
        score = plan_in_data_rack(pass, level);
    }
    if (score != MS_NO_PLAN || bound) {
        return score;
    }
    clear_plan(pass);
    return plan_on(pass, pass->servers, level);
}

int64_t
ms_plan_unit(struct ms_placement_pass *pass, enum ms_placement_level level)
{
    const struct ms_step *spec = pass->unit->step->spec;
    bool bound = level != MS_LEVEL_IDLE && ms_plan_is_bound_to_rack(pass);
    bool in_one_rack = spec->same_rack && pass->unit->gang;
    enum ms_fit_test test = (enum ms_fit_test)level;
    enum ms_fit_scope scope = bound ? MS_FIT_IN_ONE_RACK : MS_FIT_ANYWHERE;
    bool comparable = !bound || in_one_rack; /* else it is bound to the rack of its data */
    clear_plan(pass);
    if (comparable && ms_fit_has_failed(pass, test, scope)) {
        /* The interval between passes follows from the servers that plans would examine. */
        bool twice = in_one_rack && !bound;
        pass->engine->servers_examined += pass->servers->len * (twice ? 2 : 1);
        pass->engine->plan_cost = 0;
        return MS_NO_PLAN;
    }
    int64_t score = plan(pass, level, bound);
    g_ptr_array_sort(pass->planned, compare_indexes);
    if (comparable && score == MS_NO_PLAN) {
        ms_fit_note_failed(pass, test, scope);
    }
    return score;
}
