/*
 * engine_task_order.c - the start and stop orders of tasks, and their answers.
 *
 * A start order may wait for seconds before it is sent, if its server answers none.  Its run may
 * be unwanted by then: the job was cancelled, or has failed, or more urgent work takes its place.
 * Or it may be forbidden: the server is draining, its data centre is out of service, or the cap of
 * the account was lowered.  Such a start is withdrawn.  If it was not sent, its run has ended as
 * if it had been stopped; else its answer arrives as usual.
 */
#include <string.h>

#include "batch/engine_late_start.h"
#include "batch/engine_private.h"

#define ORDER_RETRY_MS 200 /* before an unanswered order is repeated */

/* Whether no start may be ordered on SERVER; that it does not answer just now is no reason. */
static bool
must_not_start(const struct ms_engine *engine, const struct ms_batch_server *server)
{
    return server->entry.draining || ms_batch_server_in_dc_out(engine, server) ||
           (!server->unresponsive && !ms_batch_server_usable(engine, server));
}

/* Why TASK may not be started on its server, a word for the log; NULL if it may. */
static const char *
start_obstacle(const struct ms_engine *engine, const struct ms_batch_task *task)
{
    if (must_not_start(engine, task->server)) {
        return "server_closed";
    }
    if (ms_account_is_over_cap(ms_batch_task_job(task)->account)) {
        return "over_cap"; /* the cap was lowered */
    }
    return NULL;
}

void
ms_batch_task_withdraw_start(struct ms_engine *engine, struct ms_batch_task *task)
{
    if (task->state != MS_BATCH_TASK_STARTING || !task->order_pending || task->start_withdrawn) {
        return;
    }
    struct ms_engine_action *action =
        ms_engine_push_action(engine, MS_ENGINE_WITHDRAW, task->server);
    ms_batch_task_name(task, action->task);
    action->run = task->run;
    task->start_withdrawn = true;
}

void
ms_batch_task_recheck_start(struct ms_engine *engine, struct ms_batch_task *task)
{
    const char *obstacle = start_obstacle(engine, task);
    if (obstacle == NULL || task->start_withdrawn) {
        return;
    }
    char name[MS_TASK_NAME_MAX];
    ms_engine_log_event(engine, "event=withdraw task=%s run=%u server=%s reason=%s",
                        ms_batch_task_name(task, name), task->run, task->server->id, obstacle);
    ms_batch_task_withdraw_start(engine, task);
}

void
ms_batch_task_send_order(struct ms_engine *engine, struct ms_batch_task *task)
{
    struct ms_batch_server *server = task->server;
    /* A server that does not answer gets renewals only, until it answers one. */
    if (task->order_pending || engine->now < task->next_order_at ||
        server->renewal_failure_count > 0 || server->entry.address[0] == '\0') {
        return;
    }
    bool start = task->state == MS_BATCH_TASK_STARTING;
    const char *obstacle = start ? start_obstacle(engine, task) : NULL;
    if (obstacle != NULL) {
        ms_batch_task_stop_unit(engine, task, obstacle);
        return;
    }
    if (start && task->order_unanswered && !task->unanswered_stored) {
        return; /* the next leader has to know of the copy that may still come */
    }
    if (start && server->fence_acknowledges) {
        /* The next incarnation, if this start reaches it, refuses late copies of that renewal. */
        ms_batch_server_raise_fence(engine, server);
    }
    struct ms_engine_action *action =
        ms_engine_push_action(engine, start ? MS_ENGINE_START : MS_ENGINE_STOP, server);
    ms_batch_task_name(task, action->task);
    action->run = task->run;
    if (start && task->step->gang_started_at == 0) {
        task->step->gang_started_at = engine->now;
    }
    if (start) {
        action->queue_wait_ms = task->waited_ms;
        action->payload = g_strdup(ms_batch_task_job(task)->spec->payload);
        g_strlcpy(action->checkpoint, task->checkpoint, sizeof(action->checkpoint));
        g_strlcpy(action->ticket, ms_advice_ticket(task->step, server), sizeof(action->ticket));
        action->deadline_ms = ms_batch_server_start_deadline(engine, server);
    }
    task->order_pending = true;
    task->start_pending |= start;
    task->start_withdrawn = false;
    task->ordered_at = engine->now;
    task->next_order_at = engine->now + ORDER_RETRY_MS;
    if (start && !task->order_unanswered) {
        return; /* the first start order has been logged as event=place */
    }
    ms_engine_log_event(engine,
                        "event=%s task=%s run=%u server=%s dc=%s clock_age_ms=%" G_GINT64_FORMAT,
                        start ? "order_start" : "order_stop", action->task, action->run, server->id,
                        server->entry.dc, engine->now - server->last_answer_at);
}

static void
start_answered(struct ms_engine *engine, struct ms_batch_task *task, enum ms_order_result result)
{
    switch (result) {
    case MS_ORDER_OK:
        ms_batch_task_on_started(engine, task);
        break;
    case MS_ORDER_NO_ANSWER:
        task->order_unanswered = true;
        task->unanswered_packed = false;
        task->unanswered_stored = false;
        task->server->unresponsive = true;
        task->server->next_renewal_at = MIN(task->server->next_renewal_at, engine->now);
        break;
    case MS_ORDER_DEADLINE_PASSED:
    case MS_ORDER_FENCED:
        /* Repeated at once with a new deadline, or with the fence of what has overtaken it. */
        task->next_order_at = engine->now;
        ms_batch_task_send_order(engine, task);
        break;
    case MS_ORDER_STALE_RUN:
        /* The run was stopped or has ended there: the next report shows which. */
        task->awaits_report = true;
        task->server->next_renewal_at = MIN(task->server->next_renewal_at, engine->now);
        break;
    case MS_ORDER_INVALID_TICKET:
        ms_advice_invalidate_ticket(task->step, task->server);
        /* fall through */
    case MS_ORDER_NO_CAPACITY:
    case MS_ORDER_UNAVAILABLE:
    case MS_ORDER_REJECTED:
        ms_batch_task_on_refused(engine, task, result);
        break;
    case MS_ORDER_OTHER_INCARNATION:
        break; /* handled by ms_engine_on_order_answer() for the whole server */
    case MS_ORDER_WITHDRAWN:
        ms_batch_task_on_withdrawn(engine, task);
        break;
    }
}

/* SERVER has answered ORDER with RESULT: its task, if it still has that run, changes its state. */
static void
task_answered(struct ms_engine *engine, struct ms_batch_server *server,
              const struct ms_engine_action *order, enum ms_order_result result)
{
    bool start = order->kind == MS_ENGINE_START;
    struct ms_batch_task *task = ms_engine_find_task(engine, order->task);
    if (task == NULL || task->server != server || task->run != order->run) {
        return;
    }
    if (start && task->state == MS_BATCH_TASK_STARTING) {
        task->order_pending = false;
        task->start_pending = false;
        task->last_answer_at = engine->now;
        start_answered(engine, task, result);
    }
    else if (start && task->state == MS_BATCH_TASK_STOPPING) {
        task->start_pending = false;
        task->order_unanswered |= result == MS_ORDER_NO_ANSWER && !task->seen_in_report;
        if (result == MS_ORDER_WITHDRAWN) {
            ms_batch_task_on_withdrawn(engine, task);
        }
    }
    else if (!start && task->state == MS_BATCH_TASK_STOPPING) {
        task->order_pending = false;
        if (result == MS_ORDER_OK || result == MS_ORDER_STALE_RUN) {
            task->stop_confirmed = true;
            task->last_answer_at = engine->now;
        }
        server->next_renewal_at = MIN(server->next_renewal_at, engine->now);
    }
}

/* ORDER is not unanswered any more; its time shows how fast orders are sent, if it has arrived. */
static void
note_order_answer(struct ms_engine *engine, const struct ms_engine_action *order,
                  enum ms_order_result result)
{
    if (order->queued_at == 0) {
        return; /* of a report that has confirmed a start */
    }
    engine->orders.unanswered -= engine->orders.unanswered > 0;
    /* The time of a stop tells nothing about those ahead of it: it overtakes queued starts. */
    bool arrived = result != MS_ORDER_NO_ANSWER && result != MS_ORDER_WITHDRAWN;
    if (arrived && order->kind == MS_ENGINE_START) {
        ms_order_backlog_note_answer(&engine->orders, order->orders_ahead,
                                     engine->now - order->queued_at);
    }
    engine->placement_due |= engine->orders_held;
}

void
ms_engine_on_order_answer(struct ms_engine *engine, const struct ms_engine_action *order,
                          enum ms_order_result result, int64_t clock_ms, int64_t now)
{
    engine->now = MAX(engine->now, now);
    if (!ms_engine_sent_action(engine, order)) {
        return;
    }
    note_order_answer(engine, order, result);
    struct ms_batch_server *server = g_hash_table_lookup(engine->servers_by_id, order->server);
    bool start = order->kind == MS_ENGINE_START;
    if (result != MS_ORDER_OK) {
        ms_engine_log_event(engine,
                            "event=order_answer order=%s task=%s run=%u server=%s result=%s",
                            start ? "start" : "stop", order->task, order->run, order->server,
                            ms_order_result_name(result));
    }
    if (server == NULL) {
        return;
    }
    if (start && result == MS_ORDER_NO_ANSWER) {
        ms_late_start_on_no_answer(engine, server, order);
    }
    bool other_incarnation = server->incarnation != order->incarnation;
    if (start && (result == MS_ORDER_NO_ANSWER || (other_incarnation && result == MS_ORDER_OK))) {
        ms_batch_server_note_uncertain_run(engine, server);
    }
    if (other_incarnation) {
        return;
    }
    ms_attention_add(engine, server);
    if (result == MS_ORDER_FENCED && !ms_batch_server_overtook(engine, server, order)) {
        ms_engine_step_down(engine, "fenced_at_server");
        return;
    }
    if (result == MS_ORDER_OTHER_INCARNATION) {
        ms_batch_server_on_replaced(engine, server);
        return;
    }
    if (clock_ms > 0 && clock_ms < order->clock_min_ms) {
        ms_batch_server_on_clock_back(engine, server, clock_ms);
    }
    else if (clock_ms > 0) {
        server->last_answer_at = engine->now;
        server->clock_ms = MAX(server->clock_ms, clock_ms);
    }
    task_answered(engine, server, order, result);
}
