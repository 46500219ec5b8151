/*
 * edge.h - the HTTP side of an entry host: callers, the balancer's readiness
 * probe, metrics.  Each address has a thread of libmicrohttpd's.
 */
#ifndef MS_ENTRY_EDGE_H
#define MS_ENTRY_EDGE_H

#include "entry/message.h"
#include "entry/settings.h"
#include "obs/counters.h"
#include "obs/ring.h"

struct ms_edge;

/* Starts to listen; calls go to RING.  NULL, with ERROR, when that fails. */
struct ms_edge *ms_edge_start(const struct ms_entry_settings *settings,
                              struct ms_counters *counters, struct ms_ring *ring, char *error,
                              size_t size);

/* What the readiness probe is told. */
void ms_edge_ready(struct ms_edge *edge, bool ready);

/* From now on each answer ends its connection. */
void ms_edge_quiesce(struct ms_edge *edge);

void ms_edge_stop(struct ms_edge *edge);

#endif
