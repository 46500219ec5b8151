/*
 * peer.h - connections between the hosts of the system.
 *
 * One thread keeps one TCP connection to every other host.  Of two hosts the
 * one whose name sorts first connects.  Received envelopes go to the node's
 * ring.  The node decides by heartbeats whether a connection is silent and
 * has it closed; it is then set up anew.
 */
#ifndef MS_PEER_H
#define MS_PEER_H

#include "config/settings.h"
#include "obs/counters.h"
#include "obs/ring.h"
#include "wire/inner.pb-c.h"

struct ms_peers;

/* Listens on settings->peer_address.  NULL when that fails. */
struct ms_peers *ms_peers_start(const struct ms_settings *settings, struct ms_counters *counters,
                                struct ms_ring *node_ring);
void ms_peers_stop(struct ms_peers *peers);

/* Adds the host NAME, or changes its address ("IP:PORT"). */
bool ms_peers_add(struct ms_peers *peers, const char *name, const char *address);

/* Packs ENVELOPE and sends it to NAME.  Returns false when the ring is full. */
bool ms_peers_send(struct ms_peers *peers, const char *name, const Ms__Wire__Envelope *envelope);

/* Closes the connection to NAME; it is set up anew. */
bool ms_peers_close(struct ms_peers *peers, const char *name);

#endif
