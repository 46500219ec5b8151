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

static bool
is_start_of(const struct ms_order_command *command, const struct ms_order_command *withdrawal)
{
    return command->order->kind == MS_ENGINE_START && command->epoch == withdrawal->epoch &&
           command->order->run == withdrawal->order->run &&
           strcmp(command->order->task, withdrawal->order->task) == 0;
}

struct ms_order_command *
ms_order_queue_withdraw(GQueue *waiting, const struct ms_order_command *withdrawal)
{
    for (GList *item = waiting->head; item != NULL; item = item->next) {
        struct ms_order_command *command = item->data;
        if (is_start_of(command, withdrawal)) {
            g_queue_delete_link(waiting, item);
            return command;
        }
    }
    return NULL;
}

void
ms_order_command_free(gpointer opaque)
{
    struct ms_order_command *command = opaque;
    ms_engine_action_free(command->order);
    g_free(command);
}
