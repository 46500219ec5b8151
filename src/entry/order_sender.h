/*
 * order_sender.h - the thread that sends the engine's orders (START and STOP) and lease
 * renewals to backend servers, and its queries to the advice service.  All three are
 * called orders here.
 */
#ifndef MS_ENTRY_ORDER_SENDER_H
#define MS_ENTRY_ORDER_SENDER_H

#include "entry/message.h"
#include "obs/ring.h"

struct ms_order_sender;

/*
 * Starts the thread; the answers go to ANSWERS.  At most CONNECTIONS_MAX connections are open at
 * a time, to all servers together.  Returns NULL on failure.
 */
struct ms_order_sender *ms_order_sender_start(struct ms_ring *answers, long connections_max);

/*
 * Queues ORDER and takes ownership of it; it comes back with its answer in an
 * MS_ENTRY_ORDER_ANSWER, MS_ENTRY_LEASE_ANSWER or MS_ENTRY_ADVICE_ANSWER message.  A WITHDRAW has
 * no answer: if the start that it names is unsent, that comes back as MS_ORDER_WITHDRAWN.  EPOCH
 * is the epoch of the engine that gave it.  Returns false, and leaves ORDER to the caller, when the
 * queue is full.
 */
bool ms_order_sender_push(struct ms_order_sender *sender, struct ms_engine_action *order,
                          uint64_t epoch);

/* Orders of epochs below EPOCH that are still unsent are dropped without an answer. */
void ms_order_sender_set_min_epoch(struct ms_order_sender *sender, uint64_t epoch);

/* Stops the thread, drops all orders and frees SENDER. */
void ms_order_sender_stop(struct ms_order_sender *sender);

#endif
