/*
 * engine_server.c - backend servers: directory, incarnations, loss of servers.
 */
#include <string.h>

#include "batch/engine_late_start.h"
#include "batch/engine_private.h"

bool
ms_batch_server_has_label(const struct ms_batch_server *server, const char *label)
{
    if (label[0] == '\0') {
        return true;
    }
    for (size_t i = 0; i < server->entry.label_count; i++) {
        if (strcmp(server->entry.labels[i], label) == 0) {
            return true;
        }
    }
    return false;
}

bool
ms_batch_server_in_dc_out(const struct ms_engine *engine, const struct ms_batch_server *server)
{
    return engine->dcs_out != NULL && g_hash_table_contains(engine->dcs_out, server->entry.dc);
}

enum ms_server_exclusion
ms_batch_server_exclusion(const struct ms_engine *engine, const struct ms_batch_server *server)
{
    if (!server->listed) {
        return MS_SERVER_UNLISTED;
    }
    if (!server->fence_confirmed) {
        return MS_SERVER_UNFENCED;
    }
    if (server->unresponsive) {
        return MS_SERVER_UNRESPONSIVE;
    }
    if (server->entry.draining) {
        return MS_SERVER_DRAINING;
    }
    if (server->unknown_run_count > 0) {
        return MS_SERVER_UNKNOWN_RUNS;
    }
    if (server->lease_state != MS_LEASE_NORMAL || server->lapse_due) {
        return MS_SERVER_LEASE_FROZEN;
    }
    if (engine->now < server->quarantined_until) {
        return MS_SERVER_QUARANTINED;
    }
    if (ms_batch_server_in_dc_out(engine, server)) {
        return MS_SERVER_DC_OUT;
    }
    return MS_SERVER_USABLE;
}

bool
ms_batch_server_usable(const struct ms_engine *engine, const struct ms_batch_server *server)
{
    return ms_batch_server_exclusion(engine, server) == MS_SERVER_USABLE;
}

/* Whether a start order of TASK has no answer and may still arrive. */
static bool
start_may_come_late(const struct ms_engine *engine, const struct ms_batch_task *task)
{
    /* No start is ordered once the run has been seen. */
    int64_t seen_ms = task->running_since > 0 ? engine->now - task->running_since : 0;
    return task->order_unanswered && seen_ms < MS_ORDER_TIMEOUT_MS + MS_ORDER_LATE_MS;
}

/*
 * TASK, whose server has started again, may run under the new incarnation: the first report of that
 * one decides.  A start under way counts as unanswered, as its answer will be ignored.
 */
static void
keep_until_report(struct ms_engine *engine, struct ms_batch_task *task)
{
    ms_batch_task_withdraw_start(engine, task);
    if (start_may_come_late(engine, task)) {
        ms_batch_server_expect_late_start(engine, task->server);
    }
    task->start_pending = false;
    task->awaits_report = true;
    task->start_confirmed = false;
    task->stop_confirmed = true;
    task->order_pending = false;
    task->last_answer_at = 0;
}

/*
 * SERVER has restarted under the same id, so its earlier runs are gone and their tasks are
 * lost.  Tasks that were not ordered yet are kept.  So are tasks whose start the earlier
 * incarnation has not confirmed, as their order, also one of an earlier leader, may reach the new
 * one or may have done so, also if they have been stopped since, as the new incarnation knows of no
 * stop; and tasks that have started but were in no report, whose start the new
 * incarnation may have confirmed: its first report decides whether these run.
 */
static void
lose_tasks_of_restarted(struct ms_engine *engine, struct ms_batch_server *server)
{
    bool rescan = true;
    while (rescan) {
        rescan = false;
        MS_LIST_FOREACH(link, &server->tasks)
        {
            struct ms_batch_task *task = MS_CONTAINER_OF(link, struct ms_batch_task, server_link);
            bool ordered =
                task->state == MS_BATCH_TASK_STARTING || task->state == MS_BATCH_TASK_STOPPING;
            bool start_under_way = task->start_pending && !task->seen_in_report;
            bool unreported = task->state == MS_BATCH_TASK_RUNNING && !task->seen_in_report;
            task->order_unanswered |= start_under_way;
            if (task->order_unanswered || unreported || (ordered && task->order_pending)) {
                keep_until_report(engine, task);
                continue;
            }
            if (task->state != MS_BATCH_TASK_RECORDING) {
                ms_batch_task_on_lost(engine, task, "reborn");
                rescan = true;
                break;
            }
        }
    }
}

/* The runs of all tasks of SERVER have ended with its lease, if they ever began. */
static void
note_lapse(struct ms_engine *engine, const struct ms_batch_server *server)
{
    MS_LIST_FOREACH(link, (struct ms_list_link *)&server->tasks)
    {
        ms_late_start_on_lapse(engine, MS_CONTAINER_OF(link, struct ms_batch_task, server_link),
                               server);
    }
}

/* Declares the runs of all tasks of SERVER lost. */
static void
lose_all_tasks(struct ms_engine *engine, struct ms_batch_server *server, const char *reason)
{
    while (!ms_list_is_empty(&server->tasks)) {
        struct ms_batch_task *task =
            MS_CONTAINER_OF(server->tasks.next, struct ms_batch_task, server_link);
        ms_batch_task_on_lost(engine, task, reason);
    }
}

uint64_t
ms_batch_server_fence(const struct ms_engine *engine, const struct ms_batch_server *server)
{
    return engine->epoch * MS_FENCES_PER_EPOCH + MIN(server->fence_number, MS_FENCES_PER_EPOCH - 1);
}

void
ms_batch_server_raise_fence(struct ms_engine *engine, struct ms_batch_server *server)
{
    server->fence_number++;
    server->fence_acknowledges = false;
    if (server->fence_number == MS_FENCES_PER_EPOCH) {
        ms_engine_step_down(engine, "fences_used_up"); /* the next epoch has further ones */
    }
}

bool
ms_batch_server_overtook(const struct ms_engine *engine, const struct ms_batch_server *server,
                         const struct ms_engine_action *action)
{
    return action->fence < ms_batch_server_fence(engine, server);
}

/* Forgets all that is known of the incarnation of SERVER that was noticed last, but its tasks. */
static void
forget_incarnation(struct ms_engine *engine, struct ms_batch_server *server)
{
    server->incarnation++;
    ms_batch_server_raise_fence(engine, server);
    server->entry.start_unix_ms = 0; /* that incarnation is over */
    server->start_disputed = false;
    server->listed = false;
    server->fence_confirmed = false;
    server->unresponsive = false;
    server->renewal_failure_count = 0;
    server->renewal_pending = false;
    server->next_renewal_at = INT64_MAX;
    server->lease_deadline_max = 0;
    server->clock_ms = 0;
    server->ends_seen = 0;
    server->ends_storing = 0;
    server->ends_stored = 0;
    server->ends_acked = 0;
    server->withheld_end = 0;
    ms_late_start_forget_ends(server);
    server->lapse_due = false;
    server->report_full = false;
    server->unknown_run_count = 0;
}

void
ms_batch_server_on_replaced(struct ms_engine *engine, struct ms_batch_server *server)
{
    static const char reason[] = "other_life";
    ms_engine_log_event(engine, "event=server_reset server=%s reason=%s", server->id, reason);
    forget_incarnation(engine, server);
    lose_all_tasks(engine, server, reason);
    ms_late_start_on_replaced(engine, server);
    ms_batch_server_lease_on_reset(engine, server);
}

void
ms_batch_server_on_restart(struct ms_engine *engine, struct ms_batch_server *server,
                           int64_t start_unix_ms, int64_t clock_ms, const char *source)
{
    ms_engine_log_event(engine, "event=server_reset server=%s reason=reborn source=%s", server->id,
                        source);
    if (server->entry.start_unix_ms != 0) {
        server->earlier_start_unix_ms = server->entry.start_unix_ms;
    }
    forget_incarnation(engine, server);
    lose_tasks_of_restarted(engine, server);
    server->entry.start_unix_ms = start_unix_ms;
    server->last_answer_at = engine->now;
    server->clock_ms = clock_ms;
    server->next_renewal_at = engine->now;
    if (!ms_list_is_empty(&server->tasks)) {
        ms_batch_server_assume_longest_lease(engine, server);
        ms_batch_server_note_uncertain_run(engine, server);
    }
    ms_batch_server_lease_on_reset(engine, server);
}

/* See ms_engine_get_or_add_server(). */
static struct ms_batch_server *
get_or_add_server(struct ms_engine *engine, const char *id)
{
    struct ms_batch_server *server = g_hash_table_lookup(engine->servers_by_id, id);
    if (server == NULL) {
        server = g_new0(struct ms_batch_server, 1);
        g_strlcpy(server->id, id, sizeof(server->id));
        server->next_renewal_at = INT64_MAX;
        ms_list_link_init(&server->tasks);
        ms_list_link_init(&server->servers_link);
        ms_list_link_init(&server->late_starts);
        ms_list_link_init(&server->held_ends);
        ms_list_append(&engine->servers, &server->servers_link);
        server->index = engine->servers_by_index->len;
        g_ptr_array_add(engine->servers_by_index, server);
        ms_attention_add(engine, server);
        g_hash_table_insert(engine->servers_by_id, server->id, server);
    }
    return server;
}

struct ms_batch_server *
ms_engine_get_or_add_server(struct ms_engine *engine, const char *id)
{
    return get_or_add_server(engine, id);
}

/*
 * Whether ENTRY was delayed, and SERVER has started again since.  Its time of day may have been
 * set back in between.  If SERVER does not answer and has no tasks, ENTRY may also be of a later
 * incarnation, after such a step.
 */
static bool
is_of_earlier_incarnation(const struct ms_batch_server *server,
                          const struct ms_directory_entry *entry)
{
    if (entry->start_unix_ms != 0 && entry->start_unix_ms == server->earlier_start_unix_ms) {
        return true;
    }
    bool started_earlier = server->entry.id[0] != '\0' && entry->start_unix_ms != 0 &&
                           entry->start_unix_ms < server->entry.start_unix_ms;
    bool may_be_gone = server->unresponsive && ms_list_is_empty(&server->tasks);
    return started_earlier && !may_be_gone;
}

/* Makes a renewal due if only an answer makes SERVER, which is listed, usable and none is due. */
static void
renew_if_not_responding(const struct ms_engine *engine, struct ms_batch_server *server)
{
    if (server->renewal_pending || server->next_renewal_at != INT64_MAX) {
        return;
    }
    if (!server->fence_confirmed) {
        server->last_answer_at = engine->now;
        server->clock_ms = server->entry.clock_ms;
    }
    if (!server->fence_confirmed || server->unresponsive) {
        server->next_renewal_at = engine->now;
    }
}

void
ms_engine_update_server(struct ms_engine *engine, const struct ms_directory_entry *entry,
                        int64_t now)
{
    engine->now = MAX(engine->now, now);
    struct ms_batch_server *server = get_or_add_server(engine, entry->id);
    bool restarted = server->entry.start_unix_ms != 0 && entry->start_unix_ms != 0 &&
                     server->entry.start_unix_ms != entry->start_unix_ms;
    if (is_of_earlier_incarnation(server, entry)) {
        return;
    }
    ms_attention_add(engine, server);
    if (restarted) {
        ms_batch_server_on_restart(engine, server, entry->start_unix_ms, entry->clock_ms,
                                   "directory");
    }
    bool draining_changed = server->entry.draining != entry->draining;
    if (entry->draining && (draining_changed || !server->listed)) {
        server->available_until = engine->now + entry->shutdown_in_ms;
    }
    bool was_listed = server->listed;
    int64_t known_start_unix_ms = server->entry.start_unix_ms;
    server->entry = *entry;
    server->capacity = entry->capacity;
    if (entry->start_unix_ms == 0 || server->start_disputed) {
        server->entry.start_unix_ms = known_start_unix_ms;
    }
    server->listed = true;
    server->snapshot_number = engine->snapshot_number;
    renew_if_not_responding(engine, server);
    if (draining_changed || !was_listed) {
        ms_engine_log_event(engine, "event=server_listed server=%s dc=%s rack=%s draining=%d",
                            entry->id, entry->dc, entry->rack, entry->draining);
        engine->placement_due = true;
    }
}

void
ms_engine_unlist_server(struct ms_engine *engine, const char *id, int64_t now)
{
    engine->now = MAX(engine->now, now);
    struct ms_batch_server *server = g_hash_table_lookup(engine->servers_by_id, id);
    if (server == NULL || !server->listed) {
        return;
    }
    server->listed = false;
    ms_attention_add(engine, server);
    server->next_renewal_at = MIN(server->next_renewal_at, engine->now);
    ms_engine_log_event(engine, "event=server_unlisted server=%s draining=%d tasks=%d", id,
                        server->entry.draining, !ms_list_is_empty(&server->tasks));
}

static void
tick_task(struct ms_engine *engine, struct ms_batch_task *task)
{
    struct ms_batch_step *step = task->step;
    if (task->state == MS_BATCH_TASK_STARTING && task->order_pending) {
        ms_batch_task_recheck_start(engine, task);
    }
    else if (task->state == MS_BATCH_TASK_STARTING && !task->awaits_report) {
        ms_batch_task_send_order(engine, task);
    }
    else if (task->state == MS_BATCH_TASK_STOPPING && !task->stop_confirmed) {
        ms_batch_task_send_order(engine, task);
    }
    else {
        ms_batch_task_check_health(engine, task);
    }
    if (step->spec->gang && task->state == MS_BATCH_TASK_STARTING && step->gang_started_at > 0 &&
        engine->now - step->gang_started_at > engine->limits.gang_start_ms) {
        ms_batch_task_stop_unit(engine, task, "gang_incomplete");
    }
}

void
ms_batch_server_tick(struct ms_engine *engine, struct ms_batch_server *server)
{
    bool expired = engine->now >= ms_batch_server_lease_end(engine, server);
    if (expired && !ms_list_is_empty(&server->tasks) &&
        (server->unresponsive || !server->fence_confirmed)) {
        /* If all tasks are RECORDING, they are kept: none of their runs was ordered yet. */
        bool recording_only = true;
        MS_LIST_FOREACH(link, &server->tasks)
        {
            recording_only &= MS_CONTAINER_OF(link, struct ms_batch_task, server_link)->state ==
                              MS_BATCH_TASK_RECORDING;
        }
        if (!recording_only) {
            note_lapse(engine, server);
            lose_all_tasks(engine, server, "lease_lapsed");
        }
    }
    MS_LIST_FOREACH(link, &server->tasks)
    {
        tick_task(engine, MS_CONTAINER_OF(link, struct ms_batch_task, server_link));
    }
    ms_batch_server_lease_tick(engine, server);
    ms_late_start_tick(engine, server);
    ms_batch_server_renew_if_due(engine, server);
    ms_attention_update(engine, server);
}

void
ms_engine_begin_directory_snapshot(struct ms_engine *engine)
{
    engine->snapshot_number++;
}

void
ms_engine_end_directory_snapshot(struct ms_engine *engine, int64_t now)
{
    engine->now = MAX(engine->now, now);
    MS_LIST_FOREACH(link, &engine->servers)
    {
        const struct ms_batch_server *server =
            MS_CONTAINER_OF(link, struct ms_batch_server, servers_link);
        if (server->listed && server->snapshot_number != engine->snapshot_number) {
            ms_engine_unlist_server(engine, server->id, now);
        }
    }
    engine->placement_due = true;
}
