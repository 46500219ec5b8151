/*
 * caller.h - the HTTP interface of an entry host, for callers and operators.
 * docs/API.md is its manual.
 */
#ifndef MS_CALLER_H
#define MS_CALLER_H

#include "config/settings.h"
#include "obs/counters.h"
#include "obs/ring.h"

struct ms_caller;

/* Listens on settings->caller_address.  NULL when that fails. */
struct ms_caller *ms_caller_start(const struct ms_settings *settings, struct ms_counters *counters,
                                  struct ms_ring *node_ring);

/* Takes no new connections from now on; open ones are still answered. */
void ms_caller_quiesce(struct ms_caller *caller);

/* Closes all connections and frees CALLER.  All calls must be answered. */
void ms_caller_stop(struct ms_caller *caller);

#endif
