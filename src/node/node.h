/*
 * node.h - the decision thread of an entry host.
 *
 * It owns all state of the host and decides; the other threads only carry
 * messages to it and commands from it.
 */
#ifndef MS_NODE_H
#define MS_NODE_H

#include <stdio.h>

#include "config/settings.h"
#include "obs/counters.h"

struct ms_node;

/*
 * Starts all threads of a host.  SETTINGS and COUNTERS must outlive the node.
 * RECORD, if not NULL, receives a trace of the decision core's events.  On
 * failure returns NULL and writes the reason to ERROR.
 */
struct ms_node *ms_node_start(const struct ms_settings *settings, struct ms_counters *counters,
                              FILE *record, char *error, size_t size);

/* Begins a graceful shutdown; safe from any thread. */
void ms_node_shutdown(struct ms_node *node);

/* Whether the shutdown is complete. */
bool ms_node_finished(const struct ms_node *node);

/* Ends all threads and frees NODE. */
void ms_node_stop(struct ms_node *node);

#endif
