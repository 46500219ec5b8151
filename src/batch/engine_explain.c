/*
 * engine_explain.c - log lines that tell why tasks wait; see engine_explain.h.
 */
#include <string.h>

#include "batch/engine_placement.h"

#define LOG_INTERVAL_MS 1000       /* between two sets of lines */
#define EXPLAIN_WAIT_MS 2000       /* shorter waits are not explained */
#define BLOCKED_GANGS_LOGGED_MAX 4 /* gangs with a line of their own in one second */

static const char *
outcome_name(enum ms_level_outcome outcome)
{
    static const char *const names[] = {
        "not_tried", "granted",       "no_capacity", "off_rack_wait", "not_yet",    "too_costly",
        "too_many",  "too_much_idle", "over_cap",    "orders_held",   "late_start",
    };
    return names[outcome];
}

/* Whether a line about the pass is due. */
static bool
is_log_due(const struct ms_engine *engine)
{
    return engine->now - engine->placement_logged_at >= LOG_INTERVAL_MS;
}

static bool
has_long_wait(const struct ms_engine *engine, const struct ms_batch_step *step)
{
    return step->unplaced_since > 0 && engine->now - step->unplaced_since > EXPLAIN_WAIT_MS;
}

/* Orders steps by falling wait. */
static gint
compare_waits(gconstpointer left, gconstpointer right)
{
    const struct ms_batch_step *a = *(struct ms_batch_step *const *)left;
    const struct ms_batch_step *b = *(struct ms_batch_step *const *)right;
    return a->unplaced_since < b->unplaced_since ? -1 : a->unplaced_since > b->unplaced_since;
}

/* The step with the longest wait comes first; the others take turns. */
void
ms_explain_begin_pass(struct ms_placement_pass *pass, const GPtrArray *steps)
{
    struct ms_engine *engine = pass->engine;
    struct ms_explained_steps *explained = &pass->explained;
    if (!is_log_due(engine)) {
        return;
    }
    GPtrArray *long_waits = g_ptr_array_new();
    for (guint i = 0; i < steps->len; i++) {
        if (has_long_wait(engine, g_ptr_array_index(steps, i))) {
            g_ptr_array_add(long_waits, g_ptr_array_index(steps, i));
        }
    }
    g_ptr_array_sort(long_waits, compare_waits);
    explained->count = MIN(long_waits->len, MS_EXPLAINED_STEPS_MAX);
    for (uint32_t i = 0; i < explained->count; i++) {
        guint index = i == 0 ? 0 : 1 + engine->explain_cursor++ % (long_waits->len - 1);
        explained->steps[i] = g_ptr_array_index(long_waits, index);
    }
    g_ptr_array_unref(long_waits);
}

/* Whether STEP is to be explained in this pass. */
static bool
is_explained(const struct ms_placement_pass *pass, const struct ms_batch_step *step)
{
    for (uint32_t i = 0; i < pass->explained.count; i++) {
        if (pass->explained.steps[i] == step) {
            return has_long_wait(pass->engine, step); /* not if some of its tasks have started */
        }
    }
    return false;
}

/* STEP has its line: other units of it get none in this pass. */
static void
mark_explained(struct ms_placement_pass *pass, const struct ms_batch_step *step)
{
    for (uint32_t i = 0; i < pass->explained.count; i++) {
        if (pass->explained.steps[i] == step) {
            pass->explained.steps[i] = NULL;
        }
    }
}

/* Counts the servers and tasks of the current unit for which there is capacity. */
static void
count_capacity(struct ms_placement_pass *pass)
{
    struct ms_level_outcomes *outcomes = &pass->outcomes;
    for (guint i = 0; i < pass->servers->len; i++) {
        const struct ms_batch_server *server = g_ptr_array_index(pass->servers, i);
        uint32_t free_tasks =
            ms_capacity_max_tasks(pass, server, MS_LEVEL_FREE, pass->unit->step->spec->task_count);
        outcomes->free_servers += free_tasks > 0;
        outcomes->free_tasks += free_tasks;
        outcomes->empty_servers += ms_capacity_max_tasks(pass, server, MS_LEVEL_RESERVE, 1);
    }
}

void
ms_explain_begin_unit(struct ms_placement_pass *pass, enum ms_level_outcome free_outcome)
{
    memset(&pass->outcomes, 0, sizeof(pass->outcomes));
    pass->outcomes.by_level[MS_LEVEL_FREE] = free_outcome;
    if (is_explained(pass, pass->unit->step)) {
        count_capacity(pass);
    }
}

/* Appends which of the servers that the engine knows are usable. */
static void
append_servers(const struct ms_placement_pass *pass, GString *line)
{
    const struct ms_engine *engine = pass->engine;
    guint known = g_hash_table_size(engine->servers_by_id);
    g_string_append_printf(line, " servers=%u excluded=%u", pass->servers->len,
                           known - pass->servers->len);
}

/* Appends what waits: COUNT tasks of STEP, of which TASK is the first. */
static void
append_need(const struct ms_engine *engine, GString *line, const struct ms_batch_task *task,
            uint32_t count)
{
    char name[MS_TASK_NAME_MAX];
    const struct ms_batch_step *step = task->step;
    const struct ms_resources *need = &step->spec->task_resources;
    g_string_append_printf(
        line,
        " task=%s count=%u gang=%d cpu_millis=%" G_GINT64_FORMAT " memory_mb=%" G_GINT64_FORMAT
        " accels=%" G_GINT64_FORMAT " priority=%u waited_ms=%" G_GINT64_FORMAT
        " unplaced_ms=%" G_GINT64_FORMAT,
        ms_batch_task_name(task, name), count, step->spec->gang, need->cpu_millis, need->memory_mb,
        need->accels, ms_batch_job_priority(step->occurrence->job), engine->now - step->ready_since,
        engine->now - step->unplaced_since);
}

/* Appends the account of STEP, and its place in the order between accounts if any has a weight. */
static void
append_account(const struct ms_engine *engine, GString *line, const struct ms_batch_step *step)
{
    const struct ms_batch_account *account = step->occurrence->job->account;
    if (account->capped || engine->has_weights) {
        g_string_append_printf(line, " account=%s", account->name);
    }
    if (engine->has_weights) {
        g_string_append_printf(line, " share=%" G_GINT64_FORMAT " ahead_ms=%" G_GINT64_FORMAT,
                               account->relative_share, ms_order_step_ahead_ms(engine, step));
    }
}

/* Appends what each level said of the current unit. */
static void
append_outcomes(GString *line, const struct ms_level_outcomes *outcomes)
{
    const enum ms_level_outcome *by_level = outcomes->by_level;
    g_string_append_printf(line,
                           " free_servers=%u free_tasks=%u empty_servers=%u free=%s releasing=%s"
                           " preempt=%s",
                           outcomes->free_servers, outcomes->free_tasks, outcomes->empty_servers,
                           outcome_name(by_level[MS_LEVEL_FREE]),
                           outcome_name(by_level[MS_LEVEL_RELEASING]),
                           outcome_name(by_level[MS_LEVEL_PREEMPT]));
    if (outcomes->preempt_cost > 0 && outcomes->preempt_cost_max < INT64_MAX) {
        g_string_append_printf(
            line, " preempt_cost=%" G_GINT64_FORMAT " preempt_cost_max=%" G_GINT64_FORMAT,
            outcomes->preempt_cost, outcomes->preempt_cost_max);
    }
    g_string_append_printf(line, " reserve=%s", outcome_name(by_level[MS_LEVEL_RESERVE]));
    if (outcomes->reserved_idle_max > 0) {
        g_string_append_printf(
            line, " reserved_idle=%" G_GINT64_FORMAT " reserved_idle_max=%" G_GINT64_FORMAT,
            outcomes->reserved_idle, outcomes->reserved_idle_max);
    }
}

/* Appends what the account of the current unit uses and its cap, if the unit exceeds that. */
static void
append_cap(const struct ms_placement_pass *pass, GString *line)
{
    const struct ms_batch_account *account = pass->unit->step->occurrence->job->account;
    if (pass->outcomes.by_level[MS_LEVEL_FREE] != MS_OUTCOME_OVER_CAP) {
        return;
    }
    const struct ms_resources *used = &account->allocated;
    const struct ms_resources *cap = &account->rule->cap;
    g_string_append_printf(line,
                           " used_cpu_millis=%" G_GINT64_FORMAT " used_memory_mb=%" G_GINT64_FORMAT
                           " used_accels=%" G_GINT64_FORMAT " cap_cpu_millis=%" G_GINT64_FORMAT
                           " cap_memory_mb=%" G_GINT64_FORMAT " cap_accels=%" G_GINT64_FORMAT,
                           used->cpu_millis, used->memory_mb, used->accels, cap->cpu_millis,
                           cap->memory_mb, cap->accels);
}

/* Logs LINE and frees it. */
static void
log_line(struct ms_engine *engine, GString *line)
{
    ms_engine_log_event(engine, "%s", line->str);
    g_string_free(line, TRUE);
}

void
ms_explain_unit(struct ms_placement_pass *pass)
{
    const struct ms_unit *unit = pass->unit;
    if (!is_explained(pass, unit->step)) {
        return;
    }
    mark_explained(pass, unit->step);
    GString *line = g_string_new("event=waiting");
    append_need(pass->engine, line, unit->tasks[0], unit->count);
    append_account(pass->engine, line, unit->step);
    append_servers(pass, line);
    append_outcomes(line, &pass->outcomes);
    append_cap(pass, line);
    log_line(pass->engine, line);
}

void
ms_explain_backoff(struct ms_placement_pass *pass, const struct ms_batch_step *step)
{
    struct ms_engine *engine = pass->engine;
    const struct ms_batch_task *first = NULL;
    uint32_t backoff_count = 0;
    int64_t backoff_ms = 0;
    if (!is_explained(pass, step)) {
        return;
    }
    for (uint32_t i = 0; i < step->spec->task_count; i++) {
        const struct ms_batch_task *task = &step->tasks[i];
        if (task->state == MS_BATCH_TASK_WAITING && engine->now < task->not_before) {
            first = first == NULL ? task : first;
            backoff_ms = MAX(backoff_ms, task->not_before - engine->now);
            backoff_count++;
        }
    }
    if (first == NULL) {
        return; /* its tasks were planned one by one */
    }
    mark_explained(pass, step);
    GString *line = g_string_new("event=waiting");
    append_need(engine, line, first, step->waiting);
    append_account(engine, line, step);
    append_servers(pass, line);
    g_string_append_printf(line, " free=backoff backoff=%u backoff_ms=%" G_GINT64_FORMAT,
                           backoff_count, backoff_ms);
    log_line(engine, line);
}

/* When TASK is certainly settled if its server stays unresponsive; 0 if the server answers. */
static int64_t
settled_at(const struct ms_engine *engine, const struct ms_batch_task *task)
{
    const struct ms_batch_server *server = task->server;
    bool answers = server->fence_confirmed && !server->unresponsive;
    return answers ? 0 : ms_batch_server_lease_end(engine, server);
}

/* The active member of the gang STEP that is settled last. */
static const struct ms_batch_task *
blocking_member(const struct ms_engine *engine, const struct ms_batch_step *step)
{
    const struct ms_batch_task *last = NULL;
    for (uint32_t i = 0; i < step->spec->task_count; i++) {
        const struct ms_batch_task *task = &step->tasks[i];
        if (task->server != NULL &&
            (last == NULL || settled_at(engine, task) > settled_at(engine, last))) {
            last = task;
        }
    }
    return last;
}

/* Appends the number of members of the gang STEP in each state. */
static void
append_member_states(GString *line, const struct ms_batch_step *step)
{
    static const char *const names[] = {"waiting", "recording", "starting",
                                        "running", "stopping",  "done"};
    uint32_t counts[G_N_ELEMENTS(names)] = {0};
    for (uint32_t i = 0; i < step->spec->task_count; i++) {
        counts[step->tasks[i].state]++;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        g_string_append_printf(line, " %s=%u", names[i], counts[i]);
    }
}

static void
log_blocked_gang(struct ms_engine *engine, const struct ms_batch_step *step)
{
    char name[MS_TASK_NAME_MAX];
    const struct ms_batch_task *member = blocking_member(engine, step);
    const struct ms_batch_server *server = member->server;
    int64_t lease_end = ms_batch_server_lease_end(engine, server);
    GString *line = g_string_new("event=gang_blocked");
    g_string_append_printf(line, " task=%s run=%u awaits_report=%d unplaced_ms=%" G_GINT64_FORMAT,
                           ms_batch_task_name(member, name), member->run, member->awaits_report,
                           engine->now - step->unplaced_since);
    append_member_states(line, step);
    g_string_append_printf(line,
                           " server=%s server_state=%s heard_age_ms=%" G_GINT64_FORMAT
                           " lease_left_ms=%" G_GINT64_FORMAT,
                           server->id,
                           ms_server_exclusion_name(ms_batch_server_exclusion(engine, server)),
                           engine->now - server->last_answer_at, MAX(lease_end - engine->now, 0));
    log_line(engine, line);
}

/* Logs the gangs of GANGS that a member has blocked for long, those first that wait longest. */
static void
log_blocked_gangs(struct ms_engine *engine, GPtrArray *gangs)
{
    g_ptr_array_sort(gangs, compare_waits);
    for (guint i = 0; i < MIN(gangs->len, BLOCKED_GANGS_LOGGED_MAX); i++) {
        const struct ms_batch_step *step = g_ptr_array_index(gangs, i);
        if (has_long_wait(engine, step)) {
            log_blocked_gang(engine, step);
        }
    }
}

/* The lower of SINCE and the times since when STEPS wait; 0 stands for none. */
static int64_t
oldest_wait(const GPtrArray *steps, int64_t since)
{
    for (guint i = 0; i < steps->len; i++) {
        const struct ms_batch_step *step = g_ptr_array_index(steps, i);
        if (step->unplaced_since > 0 && (since == 0 || step->unplaced_since < since)) {
            since = step->unplaced_since;
        }
    }
    return since;
}

/* Logs the number of waiting units, the free and reserved capacity, and the excluded servers. */
static void
log_pass(const struct ms_placement_pass *pass)
{
    struct ms_engine *engine = pass->engine;
    int64_t free = 0;
    uint32_t restricted = 0;
    struct ms_engine_stats stats;
    for (guint i = 0; i < pass->servers->len; i++) {
        const struct ms_batch_server *server = g_ptr_array_index(pass->servers, i);
        free += server->entry.capacity.accels - server->allocated.accels;
        restricted += engine->now < server->restricted_until;
    }
    ms_engine_stats(engine, &stats);
    GString *line = g_string_new("event=placing");
    g_string_append_printf(line,
                           " waiting=%u servers=%u accels_free=%" G_GINT64_FORMAT
                           " keepers=%u kept_servers=%" G_GINT64_FORMAT " restricted=%u",
                           engine->units_waiting, pass->servers->len, free, pass->reservation_count,
                           pass->reserved_idle / MS_WHOLE_SERVER, restricted);
    g_string_append_printf(line,
                           " orders=%u orders_to_come=%u order_us=%.0f oldest_order_ms"
                           "=%" G_GINT64_FORMAT " orders_held=%d",
                           stats.orders_unanswered, engine->orders.to_come,
                           engine->orders.order_ms * 1000, stats.oldest_order_ms,
                           pass->orders_held);
    for (int i = MS_SERVER_USABLE + 1; i < MS_SERVER_EXCLUSION_COUNT; i++) {
        g_string_append_printf(line, " %s=%u",
                               ms_server_exclusion_name((enum ms_server_exclusion)i),
                               stats.servers_by_exclusion[i]);
    }
    log_line(engine, line);
}

void
ms_explain_end_pass(struct ms_placement_pass *pass, const GPtrArray *steps)
{
    struct ms_engine *engine = pass->engine;
    engine->oldest_unplaced_since = oldest_wait(pass->blocked_gangs, oldest_wait(steps, 0));
    bool waiting =
        engine->units_waiting > 0 || pass->blocked_gangs->len > 0 || pass->explained.count > 0;
    if (!waiting || !is_log_due(engine)) {
        return;
    }
    engine->placement_logged_at = engine->now;
    log_pass(pass);
    log_blocked_gangs(engine, pass->blocked_gangs);
}
