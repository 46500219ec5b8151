/*
 * engine_place.c - the placement pass: starts waiting tasks, preempts others for them or
 * reserves capacity; see engine_placement.h for the terms.
 */
#include <string.h>

#include "batch/engine_cap.h"
#include "batch/engine_late_start.h"
#include "batch/engine_placement.h"
#include "batch/engine_speed.h"

/*
 * When a unit may preempt, and at what cost in core-seconds.  A unit of the top priority
 * that is within its account's guarantee has no limit on the cost.
 */
#define PREEMPT_TOP_WAIT_MS 0        /* wait of a unit of the top priority */
#define PREEMPT_EQUAL_WAIT_MS 1000   /* its wait before it preempts others of the top priority */
#define LONG_WAIT_SLACK_FRACTION 0.4 /* of its slack; a unit of a lower priority waits for it */
#define PREEMPT_TOP_COST_MAX 2500    /* for a unit of the top priority */
#define PREEMPT_COST_MAX 600         /* for a unit of a lower priority */

/*
 * While capacity is ample, a unit waits no longer than this for its rack, or because of
 * reservations and restrictions, which pay only where capacity is scarce.
 */
#define AMPLE_WAIT_MAX_MS 1500
#define RESERVE_WAIT_MS 300 /* wait of a unit before it is tried at the reserve level */
#define RESERVATIONS_MAX 6  /* units that get a reservation at that level in one pass */
/*
 * Of all servers that reservations may leave idle.  The first unit that gets one is exempt after a
 * long wait (long_wait_ms()): it could otherwise wait for as long as other work arrives.
 */
#define RESERVED_IDLE_PERCENT_MAX 12
#define WAITING_UNITS_MAX 24 /* units not within a guarantee tried beyond the free level */

static void
start_task(struct ms_engine *engine, struct ms_batch_task *task, struct ms_batch_server *server,
           uint32_t run)
{
    char name[MS_TASK_NAME_MAX];
    task->run = run;
    task->waited_ms = engine->now - task->step->ready_since;
    ms_batch_task_assign(engine, task, server);
    ms_engine_log_event(engine,
                        "event=place task=%s run=%u server=%s dc=%s rack=%s priority=%u"
                        " waited_ms=%" G_GINT64_FORMAT " heard_age_ms=%" G_GINT64_FORMAT,
                        ms_batch_task_name(task, name), run, server->id, server->entry.dc,
                        server->entry.rack, ms_batch_job_priority(ms_batch_task_job(task)),
                        engine->now - task->step->ready_since,
                        engine->now - server->last_answer_at);
}

/* Stops the best-effort tasks on SERVER; called when a task with a latency target starts there. */
static void
stop_best_effort_tasks(struct ms_engine *engine, struct ms_batch_server *server)
{
    bool rescan = true;
    while (rescan) {
        rescan = false;
        MS_LIST_FOREACH(link, &server->tasks)
        {
            struct ms_batch_task *task = MS_CONTAINER_OF(link, struct ms_batch_task, server_link);
            if (task->step->spec->best_effort && task->state != MS_BATCH_TASK_STOPPING) {
                ms_batch_task_stop_unit(engine, task, "disturbs_serving");
                rescan = true; /* stopping a gang may have removed other tasks from the list */
                break;
            }
        }
    }
}

void
ms_place_start(struct ms_placement_pass *pass, struct ms_batch_server *const *servers,
               uint32_t count)
{
    struct ms_engine *engine = pass->engine;
    const struct ms_unit *unit = pass->unit;
    uint32_t gang_run = 0;
    for (uint32_t i = 0; unit->gang && i < count; i++) {
        gang_run = MAX(gang_run, unit->tasks[i]->run);
    }
    for (uint32_t i = 0; i < count; i++) {
        struct ms_batch_task *task = unit->tasks[i];
        start_task(engine, task, servers[i], 1 + (unit->gang ? gang_run : task->run));
    }
    for (uint32_t i = 0; unit->step->spec->target_latency_ms > 0 && i < count; i++) {
        stop_best_effort_tasks(engine, servers[i]);
        ms_fit_forget(pass);
    }
    unit->step->unplaced_since = 0;
    unit->step->ample_since = 0;
    ms_engine_mark_dirty(engine, unit->step->occurrence->job, true);
}

/* Starts the unit's tasks on the planned servers and returns their number. */
static uint32_t
start_unit(struct ms_placement_pass *pass)
{
    struct ms_batch_server **servers = g_new(struct ms_batch_server *, pass->unit->count);
    uint32_t count = 0;
    for (guint i = 0; i < pass->planned->len; i++) {
        struct ms_batch_server *server = g_ptr_array_index(pass->planned, i);
        for (uint32_t k = 0; k < server->planned_task_count; k++) {
            servers[count++] = server;
        }
    }
    ms_place_start(pass, servers, count);
    g_free(servers);
    return count;
}

/* Reserves the planned capacity, so that later units of this pass cannot use it. */
static void
reserve_unit(const struct ms_placement_pass *pass)
{
    for (guint i = 0; i < pass->planned->len; i++) {
        struct ms_batch_server *server = g_ptr_array_index(pass->planned, i);
        ms_resources_add(&server->reserved, &pass->unit->step->spec->task_resources,
                         server->planned_task_count);
    }
}

/* Orders stops of the cheapest tasks on SERVER until the planned tasks fit. */
static void
preempt_on_server(const struct ms_placement_pass *pass, struct ms_batch_server *server)
{
    uint32_t priority = ms_batch_job_priority(pass->unit->step->occurrence->job);
    struct ms_resources need = {0, 0, 0};
    ms_resources_add(&need, &pass->unit->step->spec->task_resources, server->planned_task_count);
    for (;;) {
        struct ms_resources available = ms_capacity_available(server, MS_LEVEL_RELEASING);
        int64_t cost = 0;
        struct ms_batch_task *cheapest = ms_capacity_cheapest_preemptible(pass, server, &cost);
        if (ms_resources_fit(&available, &need) || cheapest == NULL) {
            return;
        }
        ms_batch_server_restrict(pass->engine, server, priority);
        ms_capacity_preempt(pass->engine, cheapest, "reclaimed", priority);
    }
}

static void
preempt_for_unit(struct ms_placement_pass *pass)
{
    ms_fit_forget(pass);
    for (guint i = 0; i < pass->planned->len; i++) {
        struct ms_batch_server *server = g_ptr_array_index(pass->planned, i);
        if (server->planned_task_count > 0) {
            preempt_on_server(pass, server);
        }
    }
}

/*
 * How long the step may wait before its job misses the target of its queue: the job should
 * take at most stretch * (run time) + target_ms.  The step's estimate stands for the run time.
 */
static int64_t
slack_ms(const struct ms_batch_step *step)
{
    const struct ms_queue_rule *queue = step->occurrence->job->queue;
    double stretch = MAX(queue->stretch - 1.0, 0.0);
    return queue->target_ms + (int64_t)(stretch * (double)step->spec->estimate_ms);
}

/*
 * After this wait the current unit may preempt tasks of a lower priority, and leave more servers
 * idle than other units may.
 */
static int64_t
long_wait_ms(const struct ms_placement_pass *pass)
{
    return MAX((int64_t)(LONG_WAIT_SLACK_FRACTION * (double)slack_ms(pass->unit->step)), 1);
}

/* The highest cost in core-seconds at which the current unit may preempt tasks. */
static int64_t
preempt_cost_max(const struct ms_placement_pass *pass)
{
    bool top_priority = ms_batch_job_priority(pass->unit->step->occurrence->job) == 0;
    if (top_priority && pass->within_guarantee) {
        return INT64_MAX;
    }
    return top_priority ? PREEMPT_TOP_COST_MAX : PREEMPT_COST_MAX;
}

/* Whether a unit that has waited for WAITED_MS may preempt tasks at a cost of COST core-seconds. */
static bool
may_preempt(const struct ms_placement_pass *pass, int64_t waited_ms, int64_t cost)
{
    bool top_priority = ms_batch_job_priority(pass->unit->step->occurrence->job) == 0;
    int64_t wait_ms = top_priority ? PREEMPT_TOP_WAIT_MS : long_wait_ms(pass);
    return waited_ms >= wait_ms && cost <= preempt_cost_max(pass);
}

/*
 * Whether the planned capacity may be reserved.  The capacity that reservations leave idle
 * is limited, so that they do not starve the units that could use it now.
 */
static bool
may_reserve(struct ms_placement_pass *pass, int64_t waited_ms)
{
    int64_t idle = pass->reserved_idle;
    int64_t idle_max =
        (int64_t)pass->servers->len * MS_WHOLE_SERVER * RESERVED_IDLE_PERCENT_MAX / 100;
    bool exempt = pass->reservation_count == 0 && waited_ms >= long_wait_ms(pass);
    for (guint i = 0; i < pass->planned->len; i++) {
        idle += ms_capacity_reserved_idle(pass, g_ptr_array_index(pass->planned, i));
    }
    pass->outcomes.reserved_idle = idle;
    pass->outcomes.reserved_idle_max = idle_max;
    if (idle > idle_max && !exempt) {
        return false;
    }
    pass->reserved_idle = idle;
    return true;
}

/* Why the current unit has no plan at a level. */
static enum ms_level_outcome
no_plan_outcome(const struct ms_placement_pass *pass)
{
    return ms_plan_is_bound_to_rack(pass) ? MS_OUTCOME_OFF_RACK_WAIT : MS_OUTCOME_NO_CAPACITY;
}

/* Reserves capacity for the current unit at the reserve level, if it may have some. */
static enum ms_level_outcome
try_reserve(struct ms_placement_pass *pass, int64_t waited_ms)
{
    if (waited_ms < RESERVE_WAIT_MS) {
        return MS_OUTCOME_NOT_YET;
    }
    if (pass->reservation_count >= RESERVATIONS_MAX) {
        return MS_OUTCOME_TOO_MANY;
    }
    if (ms_plan_unit(pass, MS_LEVEL_RESERVE) == MS_NO_PLAN) {
        return no_plan_outcome(pass);
    }
    if (!may_reserve(pass, waited_ms)) {
        return MS_OUTCOME_TOO_MUCH_IDLE;
    }
    pass->reservation_count++;
    reserve_unit(pass);
    return MS_OUTCOME_GRANTED;
}

/* Whether the current unit is tried beyond the free level, which takes the pass much time. */
static bool
may_try_other_levels(const struct ms_placement_pass *pass)
{
    return pass->within_guarantee || pass->waiting_unit_count < WAITING_UNITS_MAX;
}

/* Starts the current unit at the idle level if it has waited long enough for that. */
static bool
start_in_ample_capacity(struct ms_placement_pass *pass)
{
    int64_t now = pass->engine->now;
    struct ms_batch_step *step = pass->unit->step;
    if (!ms_capacity_is_ample(pass)) {
        step->ample_since = 0;
        return false;
    }
    if (step->ample_since == 0) {
        step->ample_since = now;
    }
    if (now - step->ample_since < AMPLE_WAIT_MAX_MS ||
        ms_plan_unit(pass, MS_LEVEL_IDLE) == MS_NO_PLAN) {
        return false;
    }
    start_unit(pass);
    return true;
}

/*
 * Tries the current unit, which does not fit into free capacity, at the other levels.  Returns
 * whether it fits once stops that are ordered have finished.
 */
static bool
try_other_levels(struct ms_placement_pass *pass)
{
    struct ms_engine *engine = pass->engine;
    struct ms_level_outcomes *outcomes = &pass->outcomes;
    int64_t waited_ms = engine->now - pass->unit->step->ready_since;
    ms_speed_note_waiting(engine, pass->unit->step);
    if (!may_try_other_levels(pass)) {
        return false;
    }
    pass->waiting_unit_count += !pass->within_guarantee;
    if (ms_plan_unit(pass, MS_LEVEL_RELEASING) != MS_NO_PLAN) {
        outcomes->by_level[MS_LEVEL_RELEASING] = MS_OUTCOME_GRANTED;
        reserve_unit(pass);
        return true;
    }
    outcomes->by_level[MS_LEVEL_RELEASING] = no_plan_outcome(pass);
    outcomes->by_level[MS_LEVEL_PREEMPT] = MS_OUTCOME_NOT_YET;
    if (pass->awaits_servers) {
        return false;
    }
    if (may_preempt(pass, waited_ms, 0)) {
        ms_capacity_update_preemptible(pass);
        bool planned = ms_plan_unit(pass, MS_LEVEL_PREEMPT) != MS_NO_PLAN;
        outcomes->preempt_cost = engine->plan_cost;
        outcomes->preempt_cost_max = preempt_cost_max(pass);
        if (planned && may_preempt(pass, waited_ms, engine->plan_cost)) {
            outcomes->by_level[MS_LEVEL_PREEMPT] = MS_OUTCOME_GRANTED;
            preempt_for_unit(pass);
            reserve_unit(pass);
            pass->preemptible_valid = false;
            return true;
        }
        outcomes->by_level[MS_LEVEL_PREEMPT] =
            planned ? MS_OUTCOME_TOO_COSTLY : no_plan_outcome(pass);
    }
    outcomes->by_level[MS_LEVEL_RESERVE] = try_reserve(pass, waited_ms);
    return false;
}

/* Whether capacity of servers is reserved for the current unit, which has been tried. */
static bool
has_reservation(const struct ms_placement_pass *pass)
{
    const enum ms_level_outcome *by_level = pass->outcomes.by_level;
    return by_level[MS_LEVEL_RELEASING] == MS_OUTCOME_GRANTED ||
           by_level[MS_LEVEL_PREEMPT] == MS_OUTCOME_GRANTED ||
           by_level[MS_LEVEL_RESERVE] == MS_OUTCOME_GRANTED;
}

/*
 * Tries UNIT, which waits for servers, at the other levels.  Capacity is freed for one of its tasks
 * at a time, unless it is a gang, or within a guarantee and its account has a cap: it may have
 * waited for stops under the cap already, so the guarantee leaves no time for a stop after the
 * other.  *PART is set to what it was tried with.
 */
static void
wait_for_servers(struct ms_placement_pass *pass, const struct ms_unit *unit, struct ms_unit *part)
{
    bool capped = unit->step->occurrence->job->account->capped;
    *part = *unit;
    pass->unit = part;
    bool at_once = unit->gang || (capped && pass->within_guarantee && unit->count > 1);
    if (at_once) {
        try_other_levels(pass);
        if (unit->gang || has_reservation(pass)) {
            return;
        }
    }
    part->count = 1;
    try_other_levels(pass);
}

/*
 * UNIT does not fit under its account's cap.  It waits without touching the servers, unless it is
 * within its guarantee and stops that are ordered make room for it.
 */
static void
wait_for_cap(struct ms_placement_pass *pass, const struct ms_unit *unit)
{
    int64_t waited_ms = pass->engine->now - unit->step->ready_since;
    struct ms_unit part = *unit;
    pass->unit = unit;
    ms_explain_begin_unit(pass, MS_OUTCOME_OVER_CAP);
    part.count =
        ms_cap_wait(pass, waited_ms,
                    may_preempt(pass, waited_ms, 0) ? preempt_cost_max(pass) : MS_NO_PREEMPTION);
    if (pass->within_guarantee && part.count > 0) {
        struct ms_unit tried;
        wait_for_servers(pass, &part, &tried);
    }
    pass->unit = unit;
    ms_explain_unit(pass);
}

uint32_t
ms_place_orderable_count(const struct ms_placement_pass *pass, const struct ms_unit *unit)
{
    const struct ms_engine *engine = pass->engine;
    int64_t gang_start_ms = engine->limits.gang_start_ms;
    if (pass->orders_held) {
        return 0;
    }
    if (unit->gang) {
        bool allowed = ms_order_backlog_allows_gang(&engine->orders, unit->count, gang_start_ms);
        return allowed ? unit->count : 0;
    }
    return MIN(unit->count, ms_order_backlog_room(&engine->orders, gang_start_ms));
}

/*
 * Whether the current unit, none of whose tasks the order backlog allows to start, is held back:
 * it would fit into free capacity.  Once one is, so are all later ones of the pass, which are
 * less urgent.
 */
static bool
is_held_back(struct ms_placement_pass *pass)
{
    pass->orders_held = pass->orders_held || ms_plan_unit(pass, MS_LEVEL_FREE) != MS_NO_PLAN;
    return pass->orders_held;
}

/* Sets what the units of STEP may do in this pass. */
static void
set_unit_rights(struct ms_placement_pass *pass, const struct ms_batch_step *step)
{
    pass->within_guarantee = step->within_guarantee;
    pass->own_account_only =
        !pass->within_guarantee && step->rank.order_class == MS_ORDER_BEYOND_RATE;
    pass->may_preempt_top =
        pass->within_guarantee && pass->engine->now - step->ready_since >= PREEMPT_EQUAL_WAIT_MS;
}

/* Starts the tasks of UNIT that fit into free capacity and leaves the others in it. */
static void
start_fitting(struct ms_placement_pass *pass, struct ms_unit *unit)
{
    pass->unit = unit;
    while (unit->count > 0 && ms_plan_unit(pass, MS_LEVEL_FREE) != MS_NO_PLAN) {
        uint32_t started = start_unit(pass);
        unit->tasks += started;
        unit->count -= started;
    }
}

/* UNIT, which fits under its account's cap, waits for capacity. */
static void
wait_for_capacity(struct ms_placement_pass *pass, const struct ms_unit *unit)
{
    struct ms_unit part = *unit;
    part.count = unit->gang ? unit->count : 1;
    pass->unit = &part;
    if (may_try_other_levels(pass) && start_in_ample_capacity(pass)) {
        return;
    }
    pass->engine->units_waiting++;
    pass->engine->units_over_share += ms_order_is_delayed(unit->step);
    ms_explain_begin_unit(pass, no_plan_outcome(pass));
    wait_for_servers(pass, unit, &part);
    if (has_reservation(pass)) {
        ms_cap_reserve(pass);
    }
    ms_explain_unit(pass);
}

/* Starts the tasks of the unit that may start now; the others wait. */
static void
place_unit(struct ms_placement_pass *pass, const struct ms_unit *unit)
{
    struct ms_engine *engine = pass->engine;
    struct ms_unit remaining = *unit;
    set_unit_rights(pass, unit->step);
    remaining.count = ms_cap_max_tasks(unit);
    uint32_t over_cap = unit->count - remaining.count;
    uint32_t orderable = ms_place_orderable_count(pass, &remaining);
    uint32_t held = remaining.count - orderable;
    pass->unit = &remaining;
    if (orderable == 0 && held > 0 && is_held_back(pass)) {
        engine->units_waiting++;
        ms_explain_begin_unit(pass, MS_OUTCOME_ORDERS_HELD);
        ms_explain_unit(pass);
    }
    else if (orderable == 0 && held > 0) {
        wait_for_capacity(pass, &remaining);
    }
    else {
        remaining.count = orderable;
        start_fitting(pass, &remaining);
        if (remaining.count == 0 && held > 0) {
            pass->orders_held = true;
            engine->units_waiting++;
        }
        else if (over_cap > 0 && (remaining.count == 0 || pass->within_guarantee)) {
            remaining.count += over_cap;
            engine->units_waiting++;
            wait_for_cap(pass, &remaining);
        }
        else if (remaining.count > 0) {
            wait_for_capacity(pass, &remaining);
        }
    }
    pass->unit = NULL;
}

/* Places UNIT; if it HAS_TO_RETURN, only where copies of earlier starts are left. */
static void
place_or_return(struct ms_placement_pass *pass, const struct ms_unit *unit, bool has_to_return)
{
    if (has_to_return) {
        ms_place_return_unit(pass, unit);
    }
    else {
        place_unit(pass, unit);
    }
}

/* Places the waiting tasks of STEP. */
static void
place_step(struct ms_placement_pass *pass, struct ms_batch_step *step)
{
    struct ms_engine *engine = pass->engine;
    bool gang = step->spec->gang;
    struct ms_batch_task **group = g_new(struct ms_batch_task *, step->spec->task_count);
    struct ms_batch_server *server = NULL;
    bool gang_returns = false;
    uint32_t count = 0;
    for (uint32_t i = 0; i < step->spec->task_count; i++) {
        struct ms_batch_task *task = &step->tasks[i];
        if (task->state != MS_BATCH_TASK_WAITING || engine->now < task->not_before) {
            continue;
        }
        bool may_come_late = ms_late_start_find_scope(engine, task, &server) != MS_LATE_START_NONE;
        gang_returns |= gang && may_come_late;
        if (gang || (task->avoided_server_count == 0 && !may_come_late)) {
            group[count++] = task;
            continue;
        }
        /* A task with servers to avoid, or one to return to, is planned separately. */
        const struct ms_unit unit = {.step = step, .tasks = &task, .count = 1, .gang = false};
        place_or_return(pass, &unit, may_come_late);
    }
    if (count > 0 && (!gang || count == step->spec->task_count)) {
        const struct ms_unit unit = {.step = step, .tasks = group, .count = count, .gang = gang};
        place_or_return(pass, &unit, gang_returns);
    }
    else {
        ms_explain_backoff(pass, step);
    }
    g_free(group);
}

void
ms_engine_run_placement(struct ms_engine *engine)
{
    struct ms_placement_pass pass = {.engine = engine};
    engine->servers_examined = 0;
    GPtrArray *steps = g_ptr_array_new();
    pass.servers = g_ptr_array_new();
    pass.planned = g_ptr_array_new();
    pass.blocked_gangs = g_ptr_array_new();
    pass.racks =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_ptr_array_unref);
    pass.accounts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    ms_cap_begin_pass(&pass);
    ms_collect_servers(&pass);
    ms_collect_steps(&pass, steps);
    engine->units_waiting = 0;
    engine->units_over_share = 0;
    ms_speed_begin_pass(engine);
    ms_explain_begin_pass(&pass, steps);
    for (guint i = 0; i < steps->len; i++) {
        place_step(&pass, g_ptr_array_index(steps, i));
    }
    ms_advice_request(engine, steps);
    engine->orders_held = pass.orders_held;
    engine->orders_held_total += pass.orders_held;
    ms_explain_end_pass(&pass, steps);
    ms_cap_end_pass(&pass, steps);
    g_hash_table_destroy(pass.racks);
    g_hash_table_destroy(pass.accounts);
    g_ptr_array_unref(pass.servers);
    g_ptr_array_unref(pass.planned);
    g_ptr_array_unref(pass.blocked_gangs);
    g_ptr_array_unref(steps);
}
