/*
 * node.h - starts and stops an entry host with its decision thread.
 *
 * The decision thread owns all state of the host and makes all decisions.  The
 * other threads do I/O: they pass it messages and carry out its commands.
 */
#ifndef MS_NODE_H
#define MS_NODE_H

#include <stdio.h>

#include "config/settings.h"
#include "obs/counters.h"

struct ms_node;

/*
 * Starts all threads of a host.  SETTINGS and COUNTERS must outlive the node.
 * TRACE_FILE, if not NULL, receives a trace of the decision core's events; it is
 * not closed by the node.  On failure returns NULL and writes the reason to ERROR
 * (SIZE bytes).
 */
struct ms_node *ms_node_start(const struct ms_settings *settings, struct ms_counters *counters,
                              FILE *trace_file, char *error, size_t size);

/*
 * Begins a graceful shutdown; may be called from any thread.  New jobs are
 * refused, and callers that still wait are refused after settings->drain_ms.
 * Blocks while the message ring is full.
 */
void ms_node_shutdown(struct ms_node *node);

/* Whether the shutdown is complete; may be called from any thread. */
bool ms_node_finished(const struct ms_node *node);

/* Ends all threads and frees NODE, which may be NULL. */
void ms_node_stop(struct ms_node *node);

#endif
