/*
 * peer.h - TCP connections between entry hosts.
 *
 * One thread maintains one TCP connection to every other host.  Of each pair
 * of hosts, the one whose name sorts first connects.  Received envelopes are
 * pushed to the node's ring.  The node detects unresponsive hosts by their
 * heartbeats and calls ms_peers_close(); the connection is then set up again.
 */
#ifndef MS_PEER_H
#define MS_PEER_H

#include "config/settings.h"
#include "obs/counters.h"
#include "obs/ring.h"
#include "wire/inner.pb-c.h"

struct ms_peers;

/*
 * Listens on settings->peer_address and starts the thread.  The arguments must
 * outlive the result.  Returns NULL on failure.
 */
struct ms_peers *ms_peers_start(const struct ms_settings *settings, struct ms_counters *counters,
                                struct ms_ring *node_ring);

/* Stops the thread, closes all connections and frees PEERS.  NULL is allowed. */
void ms_peers_stop(struct ms_peers *peers);

/*
 * The following functions queue a command for the thread and do not block.
 * They return false if the command ring is full.
 */

/* Adds the host NAME, or changes its address ("IP:PORT"). */
bool ms_peers_add(struct ms_peers *peers, const char *name, const char *address);

/*
 * Packs ENVELOPE and sends it to NAME.  The envelope is dropped if there is no
 * open connection to NAME, so senders repeat what must arrive.
 */
bool ms_peers_send(struct ms_peers *peers, const char *name, const Ms__Wire__Envelope *envelope);

/* Closes the connection to NAME, if any.  It is then set up again. */
bool ms_peers_close(struct ms_peers *peers, const char *name);

#endif
