/*
 * http_server.h - HTTP server of mustardspreadd, for callers and operators.
 * docs/API.md describes the API.
 */
#ifndef MS_HTTP_SERVER_H
#define MS_HTTP_SERVER_H

#include "config/settings.h"
#include "obs/counters.h"
#include "obs/ring.h"

struct ms_http_server;

/*
 * Listens on settings->caller_address and starts the HTTP thread.  COUNTERS and
 * NODE_RING must outlive the result.  Returns NULL on failure.
 */
struct ms_http_server *ms_http_server_start(const struct ms_settings *settings,
                                            struct ms_counters *counters,
                                            struct ms_ring *node_ring);

/* Stops accepting connections; requests on open connections are still served. */
void ms_http_server_stop_accepting(struct ms_http_server *http_server);

/*
 * Closes all connections and frees HTTP_SERVER.  Every call must have been returned
 * with ms_call_complete() before.  NULL is allowed.
 */
void ms_http_server_stop(struct ms_http_server *http_server);

#endif
