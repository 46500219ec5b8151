/*
 * forwarder.h - the thread that forwards calls to other entry hosts.
 */
#ifndef MS_ENTRY_FORWARDER_H
#define MS_ENTRY_FORWARDER_H

#include "entry/message.h"
#include "obs/ring.h"

/*
 * Header of a forwarded call, which is not forwarded again.  Its value is the version
 * of the forwarding host's configuration, 0 without one.
 */
#define MS_FORWARDED_HEADER "Mustardspread-Forwarded"

struct ms_forwarder;

/* Starts the thread; the results go to ANSWERS.  Returns NULL on failure. */
struct ms_forwarder *ms_forwarder_start(struct ms_ring *answers);

/*
 * Queues FORWARD and takes ownership of it; it comes back in an MS_ENTRY_FORWARDED
 * message.  Returns false, and leaves FORWARD to the caller, when the queue is full.
 */
bool ms_forwarder_push(struct ms_forwarder *forwarder, struct ms_forward *forward);

/* Stops the thread, drops calls that are under way and frees the forwarder. */
void ms_forwarder_stop(struct ms_forwarder *forwarder);

#endif
