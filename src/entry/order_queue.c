/*
 * order_queue.c - the order in which orders to one server are sent; see order_queue.h.
 */
#include <string.h>

#include "entry/order_queue.h"

/* Whether the stop STOP may be sent before EARLIER, which was queued before it. */
static bool
may_overtake(const struct ms_engine_action *stop, const struct ms_engine_action *earlier)
{
    return earlier->kind == MS_ENGINE_START && strcmp(earlier->task, stop->task) != 0;
}

void
ms_order_queue_add(GQueue *waiting, struct ms_order_command *command)
{
    GList *position = waiting->tail;
    while (command->order->kind == MS_ENGINE_STOP && position != NULL &&
           may_overtake(command->order, ((struct ms_order_command *)position->data)->order)) {
        position = position->prev;
    }
    if (position == NULL) {
        g_queue_push_head(waiting, command);
    }
    else {
        g_queue_insert_after(waiting, position, command);
    }
}

void
ms_order_command_free(gpointer opaque)
{
    struct ms_order_command *command = opaque;
    ms_engine_action_free(command->order);
    g_free(command);
}
