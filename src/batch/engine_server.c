/*
 * engine_server.c - backend servers: directory, leases, renewals, loss of servers.
 *
 * A server ends its runs when its lease expires.  The lease deadline is a time on the
 * server's own clock, which may run 2 % slow.  The engine computes from the last clock
 * reading received when the lease of an unresponsive server has expired at the latest;
 * only then are the server's tasks placed again.
 */
#include <string.h>

#include "batch/engine_private.h"

#define RENEWAL_WAIT_MS 1500  /* a server may wait this long for a run to end before it answers */
#define YOUNG_RUN_WAIT_MS 800 /* the same while one of its runs is younger than YOUNG_RUN_MS */
#define YOUNG_RUN_MS 700
#define TOP_PRIORITY_WAIT_MS 700 /* the same while it has a run of the top priority */
#define DRAINING_LEASE_MS 4500   /* lease of a draining server */
#define FAST_RETRY_MS 300        /* between the first FAST_RETRIES_MAX unanswered renewals */
#define FAST_RETRIES_MAX 5
#define SLOW_RETRY_MS 1000       /* between later ones, and for a server without tasks */
#define WITHHELD_INTERVAL_MS 500 /* between renewals while an end is withheld (engine_report.c) */
#define UNKNOWN_RUNS_INTERVAL_MS 200 /* between renewals while unknown runs are being stopped */
#define STORE_WAIT_MS 300       /* maximum wait for reported ends to be stored before a renewal */
#define CLOCK_DRIFT_FACTOR 1.03 /* for a server's clock that may run 2 % slow */
#define LEASE_MARGIN_MS 100     /* added to the computed end of a lease */

int64_t
ms_bserver_deadline(struct ms_engine *engine, struct ms_bserver *server)
{
    /* A call to an unresponsive server may still arrive and must not extend its lease. */
    if (server->silent && server->deadline_max > 0 && !ms_list_empty(&server->tasks)) {
        return server->deadline_max;
    }
    int64_t clock = server->clock_ms + (engine->now - server->heard_at);
    int64_t lease = engine->limits.lease_ms;
    if (server->entry.draining) {
        /* It may shut down without notice; this bounds the wait until its runs are placed again. */
        lease = MIN(lease, DRAINING_LEASE_MS);
    }
    int64_t deadline = clock + lease;
    server->deadline_max = MAX(server->deadline_max, deadline);
    return deadline;
}

int64_t
ms_bserver_dead_at(const struct ms_engine *engine, const struct ms_bserver *server)
{
    double remaining = (double)(server->deadline_max - server->clock_ms) * CLOCK_DRIFT_FACTOR;
    int64_t lease_end = server->heard_at + (int64_t)MAX(remaining, 0.0) + LEASE_MARGIN_MS;
    return server->fenced ? lease_end : MAX(lease_end, engine->old_leases_until);
}

bool
ms_bserver_has_label(const struct ms_bserver *server, const char *label)
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
ms_bserver_usable(const struct ms_engine *engine, const struct ms_bserver *server)
{
    return server->listed && server->fenced && !server->silent && !server->entry.draining &&
           server->foreign == 0 && engine->now >= server->avoid_until &&
           (engine->dcs_out == NULL || !g_hash_table_contains(engine->dcs_out, server->entry.dc));
}

/*
 * SERVER has restarted under the same id, so its earlier runs are gone: their tasks are
 * lost.  Kept are tasks whose unanswered order may still arrive, and tasks that no report
 * has listed, whose start the new incarnation may have answered: its first report tells.
 */
static void
lose_tasks_of_restarted(struct ms_engine *engine, struct ms_bserver *server)
{
    bool rescan = true;
    while (rescan) {
        rescan = false;
        MS_LIST_EACH(link, &server->tasks)
        {
            struct ms_btask *task = MS_CONTAINER(link, struct ms_btask, server_link);
            bool ordered = task->state == MS_BTASK_STARTING || task->state == MS_BTASK_STOPPING;
            bool unreported = task->state == MS_BTASK_RUNNING && !task->reported;
            if (task->uncertain || unreported || (ordered && task->order_pending)) {
                task->adopted = true;
                task->stop_confirmed = true;
                task->order_pending = false;
                task->answered_at = 0;
                continue;
            }
            if (task->state != MS_BTASK_RECORDING) {
                ms_btask_lost(engine, task, "reborn");
                rescan = true;
                break;
            }
        }
    }
}

/* Gives up all tasks of SERVER. */
static void
lose_all_tasks(struct ms_engine *engine, struct ms_bserver *server, const char *reason)
{
    while (!ms_list_empty(&server->tasks)) {
        struct ms_btask *task = MS_CONTAINER(server->tasks.next, struct ms_btask, server_link);
        ms_btask_lost(engine, task, reason);
    }
}

void
ms_bserver_reset(struct ms_engine *engine, struct ms_bserver *server, bool restarted,
                 const char *reason)
{
    ms_engine_note(engine, "event=server_reset server=%s reason=%s", server->id, reason);
    server->life++;
    server->listed = false;
    server->fenced = false;
    server->silent = false;
    server->hold_failures = 0;
    server->hold_pending = false;
    server->hold_at = INT64_MAX;
    server->deadline_max = 0;
    server->clock_ms = 0;
    server->ends_seen = 0;
    server->ends_storing = 0;
    server->ends_stored = 0;
    server->ends_acked = 0;
    server->withheld = 0;
    server->foreign = 0;
    if (restarted) {
        lose_tasks_of_restarted(engine, server);
        /* Kept tasks are given up if the new incarnation does not answer within a lease. */
        server->heard_at = engine->now;
        server->deadline_max = ms_list_empty(&server->tasks) ? 0 : engine->limits.lease_ms;
    }
    else {
        lose_all_tasks(engine, server, reason);
    }
}

/* The server with this id; a missing one is added, unlisted. */
static struct ms_bserver *
get_or_add_server(struct ms_engine *engine, const char *id)
{
    struct ms_bserver *server = g_hash_table_lookup(engine->servers_by_id, id);
    if (server == NULL) {
        server = g_new0(struct ms_bserver, 1);
        g_strlcpy(server->id, id, sizeof(server->id));
        server->hold_at = INT64_MAX;
        ms_link_init(&server->tasks);
        ms_link_init(&server->link);
        ms_list_append(&engine->servers, &server->link);
        g_hash_table_insert(engine->servers_by_id, server->id, server);
    }
    return server;
}

struct ms_bserver *
ms_engine_server_by_id(struct ms_engine *engine, const char *id)
{
    return get_or_add_server(engine, id);
}

void
ms_engine_server(struct ms_engine *engine, const struct ms_directory_entry *entry, int64_t now)
{
    engine->now = MAX(engine->now, now);
    struct ms_bserver *server = get_or_add_server(engine, entry->id);
    bool restarted =
        server->entry.born != 0 && entry->born != 0 && server->entry.born != entry->born;
    if (server->entry.id[0] != '\0' && entry->born != 0 && entry->born < server->entry.born) {
        return; /* delayed entry of an earlier incarnation */
    }
    if (restarted) {
        ms_bserver_reset(engine, server, true, "reborn");
    }
    bool changed = server->entry.draining != entry->draining;
    if (entry->draining && (changed || !server->listed)) {
        server->leaves_at = engine->now + entry->remaining_ms;
    }
    bool was_listed = server->listed;
    server->entry = *entry;
    server->listed = true;
    server->listing = engine->listing;
    if (!server->fenced && !server->hold_pending && server->hold_at == INT64_MAX) {
        server->heard_at = engine->now;
        server->clock_ms = entry->clock_ms;
        server->hold_at = engine->now;
    }
    if (changed || !was_listed) {
        ms_engine_note(engine, "event=server_listed server=%s dc=%s rack=%s draining=%d", entry->id,
                       entry->dc, entry->rack, entry->draining);
        engine->place_due = true;
    }
}

void
ms_engine_server_gone(struct ms_engine *engine, const char *id, int64_t now)
{
    engine->now = MAX(engine->now, now);
    struct ms_bserver *server = g_hash_table_lookup(engine->servers_by_id, id);
    if (server == NULL || !server->listed) {
        return;
    }
    server->listed = false;
    server->hold_at = MIN(server->hold_at, engine->now);
    ms_engine_note(engine, "event=server_unlisted server=%s draining=%d tasks=%d", id,
                   server->entry.draining, !ms_list_empty(&server->tasks));
}

/* Counts all ends that SERVER has reported as stored when nothing is left to store. */
static void
mark_ends_stored(const struct ms_engine *engine, struct ms_bserver *server)
{
    if (!engine->storing && ms_list_empty(&engine->dirty)) {
        server->ends_stored = server->ends_seen;
    }
}

/* Position of the last end that SERVER may forget. */
static uint64_t
ack_position(const struct ms_bserver *server)
{
    return server->withheld != 0 ? MIN(server->ends_stored, server->withheld - 1)
                                 : server->ends_stored;
}

/* Sets when the lease of SERVER is renewed next; INT64_MAX if there is no need to. */
static void
schedule_renewal(struct ms_engine *engine, struct ms_bserver *server)
{
    bool busy = !ms_list_empty(&server->tasks) || server->foreign > 0;
    mark_ends_stored(engine, server);
    if (server->ends_seen > server->ends_stored) {
        server->hold_at = engine->now + STORE_WAIT_MS;
    }
    else if (server->foreign > 0) {
        server->hold_at = engine->now + UNKNOWN_RUNS_INTERVAL_MS;
    }
    else if (busy && server->withheld != 0) {
        server->hold_at = engine->now + WITHHELD_INTERVAL_MS;
    }
    else if (busy || ack_position(server) > server->ends_acked) {
        server->hold_at = engine->now;
    }
    else {
        server->hold_at = INT64_MAX;
    }
}

/* A renewal of SERVER had no usable answer: schedules a retry. */
static void
renewal_failed(struct ms_engine *engine, struct ms_bserver *server)
{
    if (!server->silent) {
        ms_engine_note(engine, "event=server_silent server=%s heard_age_ms=%" G_GINT64_FORMAT,
                       server->id, engine->now - server->heard_at);
    }
    server->silent = true;
    server->hold_failures++;
    bool busy = !ms_list_empty(&server->tasks);
    if (!busy && !server->listed) {
        server->hold_at = INT64_MAX;
        return;
    }
    bool fast_retry = (busy || !server->fenced) && server->hold_failures <= FAST_RETRIES_MAX;
    server->hold_at = engine->now + (fast_retry ? FAST_RETRY_MS : SLOW_RETRY_MS);
}

/*
 * How long SERVER may wait for a run to end before it answers a renewal.  Shorter for
 * young runs, whose first progress shows whether the server is slow, and for runs of
 * the top priority, which can least afford to lose time.
 */
static int64_t
renewal_wait(const struct ms_engine *engine, const struct ms_bserver *server)
{
    int64_t wait = RENEWAL_WAIT_MS;
    MS_LIST_EACH(link, (struct ms_link *)&server->tasks)
    {
        const struct ms_btask *task = MS_CONTAINER(link, struct ms_btask, server_link);
        if (task->state != MS_BTASK_RUNNING) {
            continue;
        }
        const struct ms_queue_rule *queue = ms_btask_job(task)->queue;
        if (queue != NULL && queue->priority == 0) {
            return TOP_PRIORITY_WAIT_MS;
        }
        if (engine->now - task->began_at < YOUNG_RUN_MS) {
            wait = YOUNG_RUN_WAIT_MS;
        }
    }
    return wait;
}

/* Queues a renewal of the lease of SERVER. */
static void
send_renewal(struct ms_engine *engine, struct ms_bserver *server)
{
    mark_ends_stored(engine, server);
    bool may_wait = server->fenced && !server->silent && !ms_list_empty(&server->tasks) &&
                    server->ends_seen == server->ends_stored && server->foreign == 0;
    struct ms_engine_action *action = ms_engine_emit(engine, MS_ENGINE_HOLD, server);
    action->deadline_ms = ms_bserver_deadline(engine, server);
    action->ack_position = ack_position(server);
    action->wait_ms = may_wait ? renewal_wait(engine, server) : 0;
    server->hold_pending = true;
    server->hold_at = INT64_MAX;
}

static void
renew_if_due(struct ms_engine *engine, struct ms_bserver *server)
{
    if (!server->hold_pending && engine->now >= server->hold_at &&
        server->entry.address[0] != '\0') {
        send_renewal(engine, server);
    }
}

void
ms_engine_hold_answer(struct ms_engine *engine, const struct ms_engine_action *order,
                      enum ms_order_result result, const struct ms_hold_report *report,
                      int64_t sent_at, int64_t now)
{
    engine->now = MAX(engine->now, now);
    struct ms_bserver *server = g_hash_table_lookup(engine->servers_by_id, order->server);
    if (server == NULL || server->life != order->life) {
        return;
    }
    server->hold_pending = false;
    if (result == MS_ORDER_FENCED) {
        if (!engine->stepped_down) {
            engine->stepped_down = true;
            ms_engine_emit(engine, MS_ENGINE_STEP_DOWN, NULL);
        }
        return;
    }
    bool other_incarnation = report != NULL && report->born != 0 && server->entry.born != 0 &&
                             report->born != server->entry.born;
    if (result == MS_ORDER_OTHER_LIFE || other_incarnation) {
        ms_bserver_reset(engine, server, other_incarnation && result != MS_ORDER_OTHER_LIFE,
                         "other_life");
        return;
    }
    if (result != MS_ORDER_OK || report == NULL) {
        renewal_failed(engine, server);
        return;
    }
    if (!server->fenced || server->silent) {
        ms_engine_note(
            engine, "event=server_held server=%s epoch=%" G_GUINT64_FORMAT " running=%zu ended=%zu",
            server->id, engine->epoch, report->running_count, report->ended_count);
        engine->place_due = true;
    }
    server->fenced = true;
    server->silent = false;
    server->hold_failures = 0;
    server->heard_at = engine->now;
    server->clock_ms = report->clock_ms;
    server->reported_at = engine->now;
    server->ends_acked = MAX(server->ends_acked, order->ack_position);
    ms_bserver_report(engine, server, report, sent_at);
    ms_bhealth_report(engine, server);
    schedule_renewal(engine, server);
    renew_if_due(engine, server);
}

static void
tick_task(struct ms_engine *engine, struct ms_btask *task)
{
    struct ms_bstep *step = task->step;
    if (task->state == MS_BTASK_STARTING && !task->adopted) {
        ms_btask_order(engine, task);
    }
    else if (task->state == MS_BTASK_STOPPING && !task->stop_confirmed) {
        ms_btask_order(engine, task);
    }
    else {
        ms_bhealth_tick(engine, task);
    }
    if (step->spec->gang && task->state == MS_BTASK_STARTING && step->gang_since > 0 &&
        engine->now - step->gang_since > engine->limits.gang_start_ms) {
        ms_btask_stop_unit(engine, task, "gang_incomplete");
    }
}

void
ms_bserver_tick(struct ms_engine *engine, struct ms_bserver *server)
{
    bool expired = engine->now >= ms_bserver_dead_at(engine, server);
    if (expired && !ms_list_empty(&server->tasks) && (server->silent || !server->fenced)) {
        /* Tasks that are all RECORDING are kept: no run of theirs was ordered yet. */
        bool recording_only = true;
        MS_LIST_EACH(link, &server->tasks)
        {
            recording_only &=
                MS_CONTAINER(link, struct ms_btask, server_link)->state == MS_BTASK_RECORDING;
        }
        if (!recording_only) {
            lose_all_tasks(engine, server, "lease_lapsed");
        }
    }
    MS_LIST_EACH(link, &server->tasks)
    {
        tick_task(engine, MS_CONTAINER(link, struct ms_btask, server_link));
    }
    renew_if_due(engine, server);
}

void
ms_engine_directory_begin(struct ms_engine *engine)
{
    engine->listing++;
}

void
ms_engine_directory_read(struct ms_engine *engine, int64_t now)
{
    engine->now = MAX(engine->now, now);
    MS_LIST_EACH(link, &engine->servers)
    {
        const struct ms_bserver *server = MS_CONTAINER(link, struct ms_bserver, link);
        if (server->listed && server->listing != engine->listing) {
            ms_engine_server_gone(engine, server->id, now);
        }
    }
    engine->place_due = true;
}
