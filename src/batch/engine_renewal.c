/*
 * engine_renewal.c - renewals of the leases of backend servers: when they are due, what they
 * acknowledge, and their answers.
 */
#include "batch/engine_late_start.h"
#include "batch/engine_private.h"

/* How long a server may wait for a run to end before it answers a renewal, in special cases. */
#define YOUNG_RUN_WAIT_MS 800 /* while one of its runs is younger than YOUNG_RUN_MS */
#define YOUNG_RUN_MS 700
#define TOP_PRIORITY_WAIT_MS 700 /* while it has a run of the top priority */

#define FAST_RETRY_MS 300 /* between the first FAST_RETRIES_MAX unanswered renewals */
#define FAST_RETRIES_MAX 5
#define SLOW_RETRY_MS 1000 /* between later ones, and for a confirmed server without tasks */
/* Between renewals while an end is withheld (engine_report.c) or held (engine_late_start.c). */
#define WITHHELD_INTERVAL_MS 500
#define UNKNOWN_RUNS_INTERVAL_MS 200 /* between renewals while unknown runs are being stopped */
#define STORE_WAIT_MS 300 /* maximum wait for reported ends to be stored before a renewal */
#define ACK_REPORT_AGE_MAX_MS 1000 /* of a report whose ends are still acknowledged */

/* If no job state is left to store, all ends that SERVER has reported are stored. */
static void
mark_ends_stored(const struct ms_engine *engine, struct ms_batch_server *server)
{
    if (!engine->store_pending && ms_list_is_empty(&engine->dirty)) {
        server->ends_stored = server->ends_seen;
    }
}

/* Position of the last end that SERVER may forget. */
static uint64_t
ack_position(const struct ms_batch_server *server)
{
    uint64_t held_end = ms_late_start_held_end(server);
    uint64_t position = server->ends_stored;
    position = held_end != 0 ? MIN(position, held_end - 1) : position;
    return server->withheld_end != 0 ? MIN(position, server->withheld_end - 1) : position;
}

/* Whether a start order to SERVER has no answer yet. */
static bool
has_pending_start(const struct ms_batch_server *server)
{
    MS_LIST_FOREACH(link, (struct ms_list_link *)&server->tasks)
    {
        const struct ms_batch_task *task = MS_CONTAINER_OF(link, struct ms_batch_task, server_link);
        if (task->state == MS_BATCH_TASK_STARTING && task->order_pending) {
            return true;
        }
    }
    return false;
}

bool
ms_batch_server_may_acknowledge(const struct ms_engine *engine,
                                const struct ms_batch_server *server)
{
    return !server->unresponsive && server->renewal_failure_count == 0 &&
           engine->now - server->last_report_at <= ACK_REPORT_AGE_MAX_MS;
}

/*
 * Position of the last end that the next renewal of SERVER acknowledges, 0: none.  A late copy of
 * it could cover ends of the next incarnation.  It therefore acknowledges ends only if some have
 * not been yet, and not while a start is pending, as only later starts have a higher fence.
 */
static uint64_t
position_to_acknowledge(const struct ms_engine *engine, const struct ms_batch_server *server)
{
    bool some_new = ack_position(server) > server->ends_acked;
    bool acknowledges =
        some_new && !has_pending_start(server) && ms_batch_server_may_acknowledge(engine, server);
    return acknowledges ? ack_position(server) : 0;
}

/* Sets when the lease of SERVER is renewed next; INT64_MAX if there is no need to. */
static void
schedule_renewal(struct ms_engine *engine, struct ms_batch_server *server)
{
    bool busy = !ms_list_is_empty(&server->tasks) || server->unknown_run_count > 0;
    mark_ends_stored(engine, server);
    if (server->ends_seen > server->ends_stored || server->lease_state != MS_LEASE_NORMAL) {
        server->next_renewal_at = engine->now + STORE_WAIT_MS;
    }
    else if (server->unknown_run_count > 0) {
        server->next_renewal_at = engine->now + UNKNOWN_RUNS_INTERVAL_MS;
    }
    else if (busy && (server->withheld_end != 0 || ms_late_start_held_end(server) != 0)) {
        server->next_renewal_at = engine->now + WITHHELD_INTERVAL_MS;
    }
    else if (busy || ack_position(server) > server->ends_acked) {
        server->next_renewal_at = engine->now;
    }
    else {
        server->next_renewal_at = INT64_MAX;
    }
}

/* A renewal of SERVER had no usable answer: schedules a retry. */
static void
renewal_failed(struct ms_engine *engine, struct ms_batch_server *server)
{
    if (!server->unresponsive) {
        ms_engine_log_event(engine, "event=server_silent server=%s heard_age_ms=%" G_GINT64_FORMAT,
                            server->id, engine->now - server->last_answer_at);
    }
    server->unresponsive = true;
    server->renewal_failure_count++;
    ms_batch_server_lease_tick(engine, server);
    bool busy = !ms_list_is_empty(&server->tasks);
    if (!busy && !server->listed) {
        server->next_renewal_at = INT64_MAX;
        return;
    }
    bool fast_retry =
        (busy || !server->fence_confirmed) && server->renewal_failure_count <= FAST_RETRIES_MAX;
    server->next_renewal_at = engine->now + (fast_retry ? FAST_RETRY_MS : SLOW_RETRY_MS);
}

/*
 * How long SERVER may wait for a run to end before it answers a renewal.  Shorter for
 * young runs, whose first progress shows whether the server is slow, and for runs of
 * the top priority, which can least afford to lose time.
 */
static int64_t
renewal_wait_ms(const struct ms_engine *engine, const struct ms_batch_server *server)
{
    int64_t wait_ms = MS_RENEWAL_LONG_POLL_MAX_MS;
    MS_LIST_FOREACH(link, (struct ms_list_link *)&server->tasks)
    {
        const struct ms_batch_task *task = MS_CONTAINER_OF(link, struct ms_batch_task, server_link);
        if (task->state != MS_BATCH_TASK_RUNNING) {
            continue;
        }
        const struct ms_queue_rule *queue = ms_batch_task_job(task)->queue;
        if (queue != NULL && queue->priority == 0) {
            return TOP_PRIORITY_WAIT_MS;
        }
        if (engine->now - task->running_since < YOUNG_RUN_MS) {
            wait_ms = YOUNG_RUN_WAIT_MS;
        }
    }
    return wait_ms;
}

/* Queues a renewal of the lease of SERVER. */
static void
send_renewal(struct ms_engine *engine, struct ms_batch_server *server)
{
    mark_ends_stored(engine, server);
    bool may_wait = server->fence_confirmed && !server->unresponsive &&
                    !ms_list_is_empty(&server->tasks) && server->ends_seen == server->ends_stored &&
                    server->unknown_run_count == 0 && server->lease_state == MS_LEASE_NORMAL;
    struct ms_engine_action *action = ms_engine_push_action(engine, MS_ENGINE_RENEW_LEASE, server);
    action->deadline_ms = ms_batch_server_renewal_deadline(engine, server);
    action->ack_position = position_to_acknowledge(engine, server);
    server->fence_acknowledges |= action->ack_position > 0;
    action->long_poll_ms = may_wait ? renewal_wait_ms(engine, server) : 0;
    action->server_has_tasks = !ms_list_is_empty(&server->tasks);
    server->renewal_pending = true;
    server->next_renewal_at = INT64_MAX;
}

void
ms_batch_server_renew_if_due(struct ms_engine *engine, struct ms_batch_server *server)
{
    if (!server->renewal_pending && engine->now >= server->next_renewal_at &&
        server->entry.address[0] != '\0') {
        send_renewal(engine, server);
    }
}

static bool
is_of_other_incarnation(const struct ms_batch_server *server, const struct ms_server_report *report)
{
    return report->start_unix_ms != 0 && server->entry.start_unix_ms != 0 &&
           report->start_unix_ms != server->entry.start_unix_ms;
}

/* SERVER has answered RENEWAL, which was sent at SENT_AT, with REPORT. */
static void
accept_report(struct ms_engine *engine, struct ms_batch_server *server,
              const struct ms_engine_action *renewal, const struct ms_server_report *report,
              int64_t sent_at)
{
    bool first_answer = !server->fence_confirmed;
    if (first_answer || server->unresponsive) {
        ms_engine_log_event(
            engine, "event=server_held server=%s epoch=%" G_GUINT64_FORMAT " running=%zu ended=%zu",
            server->id, engine->epoch, report->running_count, report->ended_count);
        engine->placement_due = true;
    }
    if (server->entry.start_unix_ms == 0) {
        server->entry.start_unix_ms = report->start_unix_ms;
        server->start_disputed = false;
    }
    server->fence_confirmed = true;
    server->unresponsive = false;
    server->renewal_failure_count = 0;
    server->last_answer_at = engine->now;
    server->clock_ms = report->clock_ms;
    server->last_report_at = engine->now;
    ms_batch_server_note_certain_report(server, sent_at);
    server->ends_acked = MAX(server->ends_acked, renewal->ack_position);
    ms_batch_server_lease_on_answer(engine, server, first_answer);
    ms_batch_server_on_report(engine, server, report, sent_at);
    ms_late_start_on_report(engine, server, sent_at);
    ms_batch_server_update_speed(engine, server);
    schedule_renewal(engine, server);
    ms_batch_server_renew_if_due(engine, server);
}

void
ms_engine_on_renewal_answer(struct ms_engine *engine, const struct ms_engine_action *renewal,
                            enum ms_order_result result, const struct ms_server_report *report,
                            int64_t sent_at, int64_t now)
{
    engine->now = MAX(engine->now, now);
    if (!ms_engine_sent_action(engine, renewal)) {
        return;
    }
    struct ms_batch_server *server = g_hash_table_lookup(engine->servers_by_id, renewal->server);
    if (server == NULL) {
        return;
    }
    if (result == MS_ORDER_NO_ANSWER) {
        ms_batch_server_note_unanswered_renewal(engine, server, renewal->deadline_ms);
    }
    if (server->incarnation != renewal->incarnation) {
        return;
    }
    server->renewal_pending = false;
    ms_attention_add(engine, server);
    if (result == MS_ORDER_FENCED && ms_batch_server_overtook(engine, server, renewal)) {
        ms_engine_log_event(engine, "event=renewal_overtaken server=%s", server->id);
        server->next_renewal_at = engine->now; /* the refused one had no effect */
        ms_batch_server_renew_if_due(engine, server);
        return;
    }
    if (result == MS_ORDER_FENCED) {
        ms_engine_step_down(engine, "fenced_at_server");
        return;
    }
    if (result == MS_ORDER_OTHER_INCARNATION) {
        ms_batch_server_on_replaced(engine, server);
        return;
    }
    if (report != NULL && is_of_other_incarnation(server, report)) {
        /* The report is not used: until the next fence is seen, late orders may follow it. */
        ms_batch_server_on_restart(engine, server, report->start_unix_ms, report->clock_ms,
                                   "report");
        ms_batch_server_renew_if_due(engine, server);
        return;
    }
    if (result != MS_ORDER_OK || report == NULL) {
        renewal_failed(engine, server);
        return;
    }
    accept_report(engine, server, renewal, report, sent_at);
}
