/*
 * http_frontend.h - the HTTP listeners of an entry host: for callers, for the readiness probe
 * of the load balancer and for metrics.  libmicrohttpd runs one thread for each.
 */
#ifndef MS_ENTRY_HTTP_FRONTEND_H
#define MS_ENTRY_HTTP_FRONTEND_H

#include "entry/message.h"
#include "entry/settings.h"
#include "obs/counters.h"
#include "obs/ring.h"

struct ms_http_frontend;

/*
 * Starts the listeners; calls go to RING as MS_ENTRY_CALL messages.  Returns NULL, with
 * a message in ERROR (SIZE bytes), on failure.
 */
struct ms_http_frontend *ms_http_frontend_start(const struct ms_entry_settings *settings,
                                                struct ms_counters *counters, struct ms_ring *ring,
                                                char *error, size_t size);

/* Sets the answer to the readiness probe; not ready until this is called. */
void ms_http_frontend_set_ready(struct ms_http_frontend *frontend, bool ready);

/* Sets the gauges of client accounts in the Prometheus format; takes TEXT, NULL for none. */
void ms_http_frontend_set_account_metrics(struct ms_http_frontend *frontend, char *text);

/* For a shutdown: not ready any more, and each answer closes its connection. */
void ms_http_frontend_close_connections(struct ms_http_frontend *frontend);

/* Stops the listeners and frees FRONTEND; NULL is ignored. */
void ms_http_frontend_stop(struct ms_http_frontend *frontend);

#endif
