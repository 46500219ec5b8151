/*
 * simulator_sender.c - the order sender of the leader's host: starts that wait to be sent, and the
 * checks of starts that were sent too late.
 */
#include <string.h>

#include "batch/simulator_private.h"

#define WAIT_MIN_MS 100
#define WAIT_SPREAD_MS 6000
/* Time from the event that makes a start unwanted to the last such start. */
#define START_BOUND_MS 3000

/* The unsent start of the run that ORDER is about, or NULL. */
static struct event *
find_unsent_start(const struct simulator *simulator, const struct ms_engine_action *order)
{
    for (guint i = 0; i < simulator->events->len; i++) {
        struct event *event = g_ptr_array_index(simulator->events, i);
        if (event->kind == EVENT_ORDER_ARRIVES && event->unsent &&
            event->action->epoch == order->epoch && event->action->run == order->run &&
            strcmp(event->action->task, order->task) == 0) {
            return event;
        }
    }
    return NULL;
}

void
simulator_queue_order(struct simulator *simulator, struct event *order)
{
    if (order->action->kind == MS_ENGINE_STOP) {
        const struct event *start = find_unsent_start(simulator, order->action);
        order->due_at = start != NULL ? start->due_at : order->due_at;
    }
    else if (order->action->kind == MS_ENGINE_START && simulator->faults.start_wait > 0 &&
             simulator_chance(simulator, simulator->faults.start_wait)) {
        order->unsent = true;
        order->due_at += WAIT_MIN_MS + simulator_random(&simulator->random_state, WAIT_SPREAD_MS);
        simulator_note_fault(simulator, order->due_at);
    }
}

void
simulator_withdraw_start(struct simulator *simulator, const struct ms_engine_action *withdrawal)
{
    struct event *start = find_unsent_start(simulator, withdrawal);
    if (start != NULL) {
        start->kind = EVENT_ANSWER_ARRIVES;
        start->result = MS_ORDER_WITHDRAWN;
        start->due_at = simulator->now;
    }
}

/* Whether the time SINCE, 0 if there is none, was more than START_BOUND_MS ago. */
static bool
is_long_ago(const struct simulator *simulator, int64_t since)
{
    return since > 0 && simulator->now > since + START_BOUND_MS;
}

void
simulator_check_start_time(struct simulator *simulator, const struct simulated_server *server,
                           const struct ms_engine_action *start)
{
    char *id = g_strndup(start->task, strcspn(start->task, "."));
    const int64_t *cancelled_at = g_hash_table_lookup(simulator->cancelled, id);
    if (cancelled_at != NULL && is_long_ago(simulator, *cancelled_at)) {
        simulator_report_violation(simulator, "started long after its job was cancelled",
                                   start->task);
    }
    if (is_long_ago(simulator, server->draining_since)) {
        simulator_report_violation(simulator, "started on a server that has been draining for long",
                                   start->task);
    }
    g_free(id);
}
