/*
 * order_queue.h - the orders to one backend server that have not been sent.
 */
#ifndef MS_ENTRY_ORDER_QUEUE_H
#define MS_ENTRY_ORDER_QUEUE_H

#include "batch/engine.h"

/* An order that has not been sent. */
struct ms_order_command {
    struct ms_engine_action *order; /* owned */
    uint64_t epoch;
};

/*
 * Adds COMMAND to WAITING (struct ms_order_command, the next one to send in front).  A stop goes
 * ahead of the starts of other tasks: an incomplete gang has to be stopped in time, and a late
 * start is useless.  The orders for one task, and all orders of one kind, keep their order.
 */
void ms_order_queue_add(GQueue *waiting, struct ms_order_command *command);

/*
 * Removes the start that WITHDRAWAL (MS_ENGINE_WITHDRAW) names from WAITING and returns it, or
 * returns NULL if it does not wait there.
 */
struct ms_order_command *ms_order_queue_withdraw(GQueue *waiting,
                                                 const struct ms_order_command *withdrawal);

/* Frees COMMAND and its order. */
void ms_order_command_free(gpointer command);

#endif
