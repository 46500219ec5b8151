/*
 * http_loop.h - event loop (epoll) for many concurrent HTTP exchanges in one thread.
 *
 * The loop enforces the time limits of its exchanges itself.  Time in which its thread did
 * not run, as the host was suspended, paused or out of CPU time, does not count towards
 * them: the server may have answered in the meantime.
 */
#ifndef MS_HTTP_LOOP_H
#define MS_HTTP_LOOP_H

#include "platform/http.h"

struct ms_http_loop;

/* Called when an exchange has ended.  The callback may start another one with HTTP. */
typedef void ms_http_done_callback(void *opaque, struct ms_http *http, CURLcode code);

/*
 * Creates a loop; NULL when that fails.  At most MAX_IDLE_CONNECTIONS are kept
 * open for reuse.  At most MAX_PER_SERVER connections (0: no limit) are open to
 * one server; further exchanges with it wait.  ms_http_loop_run() also returns
 * when WAKE_FD becomes readable, and leaves it to the caller to clear it.  DONE
 * is called with OPAQUE for each exchange that ends.
 */
struct ms_http_loop *ms_http_loop_new(long max_idle_connections, long max_per_server, int wake_fd,
                                      ms_http_done_callback *done, void *opaque);
/* Sets how many connections may be open at a time, to all servers; further exchanges wait. */
void ms_http_loop_limit_connections(struct ms_http_loop *loop, long max_connections);
/* Frees LOOP.  Exchanges that have not ended must have been removed before.  NULL is allowed. */
void ms_http_loop_free(struct ms_http_loop *loop);

/* Starts the exchange for which HTTP was prepared. */
void ms_http_loop_add(struct ms_http_loop *loop, struct ms_http *http);

/* Aborts an exchange that has not ended; the callback is not called for it. */
void ms_http_loop_remove(struct ms_http_loop *loop, struct ms_http *http);

/* Waits for events for at most MAX_MS, and handles them. */
void ms_http_loop_run(struct ms_http_loop *loop, int64_t max_ms);

#endif
