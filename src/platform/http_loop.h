/*
 * http_loop.h - many HTTP exchanges in one thread, by events (epoll).
 */
#ifndef MS_HTTP_LOOP_H
#define MS_HTTP_LOOP_H

#include "platform/http.h"

struct ms_http_loop;

/* Called when an exchange has ended; HTTP may be used again at once. */
typedef void ms_http_done(void *opaque, struct ms_http *http, CURLcode code);

/*
 * Creates a loop that keeps at most CONNECTIONS open when idle, and PER_SERVER
 * (0: any number) to one server; further exchanges with that server wait.
 * Waiting also ends when WAKE_FD becomes readable.
 */
struct ms_http_loop *ms_http_loop_new(long connections, long per_server, int wake_fd,
                                      ms_http_done *done, void *opaque);
void ms_http_loop_free(struct ms_http_loop *loop);

/* Begins the exchange that HTTP was prepared for. */
void ms_http_loop_add(struct ms_http_loop *loop, struct ms_http *http);

/* Drops an exchange that has not ended. */
void ms_http_loop_remove(struct ms_http_loop *loop, struct ms_http *http);

/* Waits for events, at most MAX_MS, and lets the exchanges go on. */
void ms_http_loop_run(struct ms_http_loop *loop, int64_t max_ms);

#endif
