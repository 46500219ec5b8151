/*
 * http_loop.c - event loop (epoll) for many concurrent HTTP exchanges in one thread.
 *
 * Uses libcurl's socket interface, because curl_multi_perform() examines every
 * transfer on each event, while most transfers only wait.
 *
 * After each exchange libcurl unregisters the socket, and registers it again for
 * the next exchange on the same connection.  The socket stays registered with epoll
 * in between, which saves two system calls per exchange.  It is removed when it
 * is closed, or when an event arrives for it that libcurl does not wait for.
 *
 * libcurl's own timeouts are switched off, as they end exchanges whose answers have
 * arrived while the thread was stalled.  The loop notices a stall by the time between two
 * calls of epoll_wait(), or by one that returns late, and allows each exchange that much
 * more time.  An exchange only times out after the events that were pending are handled.
 */
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "obs/clock.h"
#include "platform/http_loop.h"

#define EPOLL_EVENTS 64                /* events per call of epoll_wait() */
#define TIMEOUT_CHECK_INTERVAL_MS 100  /* between two searches for exchanges that timed out */
#define STALL_MIN_MS 50                /* shorter delays are not counted as stalls */
#define CURL_CONNECT_TIMEOUT_MS 60000L /* libcurl's own, which is never reached */
#define STALLED_MAX_MS 10000 /* of one exchange: it times out at the latest this much later */

/* A socket of libcurl, registered with epoll or not. */
struct watched_socket {
    uint32_t events; /* registered with epoll for these, 0: not registered */
    bool wanted;     /* libcurl waits for the events */
};

struct ms_http_loop {
    CURLM *multi;
    int epoll_fd;
    int wake_fd;
    GArray *sockets;               /* struct watched_socket, indexed by file descriptor */
    int64_t curl_timeout_at;       /* when libcurl's timeout expires, INT64_MAX: none is set */
    struct ms_list_link exchanges; /* struct ms_http that were added and have not ended */
    int64_t timeouts_checked_at;   /* last search for exchanges that timed out */
    int64_t polled_at;             /* when epoll_wait() returned last, 0: never */
    int64_t stalled_ms;            /* total of all stalls */
    ms_http_done_callback *done;
    void *opaque;
};

/* The entry of FD, added if missing.  Valid until the next call. */
static struct watched_socket *
get_socket(struct ms_http_loop *loop, curl_socket_t fd)
{
    if (loop->sockets->len <= (guint)fd) {
        g_array_set_size(loop->sockets, (guint)fd + 1);
    }
    return &g_array_index(loop->sockets, struct watched_socket, fd);
}

/* Registers FD with epoll for EVENTS, or unregisters it when EVENTS is 0. */
static void
set_events(struct ms_http_loop *loop, struct watched_socket *socket, curl_socket_t fd,
           uint32_t events)
{
    struct epoll_event event = {.events = events, .data.fd = fd};
    int operation = socket->events == 0 ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
    if (events == socket->events) {
        return;
    }
    if (events == 0) {
        operation = EPOLL_CTL_DEL;
    }
    epoll_ctl(loop->epoll_fd, operation, fd, &event);
    socket->events = events;
}

/* libcurl callback: sets the events that libcurl waits for on one of its sockets. */
static int
set_socket_events(CURL *easy, curl_socket_t fd, int poll_events, void *opaque, void *socket_data)
{
    struct ms_http_loop *loop = opaque;
    struct watched_socket *socket = get_socket(loop, fd);
    (void)easy;
    (void)socket_data;
    socket->wanted = poll_events != CURL_POLL_REMOVE;
    if (socket->wanted) {
        set_events(loop, socket, fd,
                   ((poll_events & CURL_POLL_IN) != 0 ? EPOLLIN : 0u) |
                       ((poll_events & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0u));
    }
    return 0;
}

/* libcurl callback: closes a socket, upon which the kernel removes it from epoll. */
static int
close_socket(void *opaque, curl_socket_t fd)
{
    struct ms_http_loop *loop = opaque;
    memset(get_socket(loop, fd), 0, sizeof(struct watched_socket));
    return close(fd);
}

/* libcurl callback: sets libcurl's timeout, or clears it when TIMEOUT_MS is -1. */
static int
set_curl_timeout(CURLM *multi, long timeout_ms, void *opaque)
{
    struct ms_http_loop *loop = opaque;
    (void)multi;
    loop->curl_timeout_at = timeout_ms < 0 ? INT64_MAX : ms_clock_monotonic_ms() + timeout_ms;
    return 0;
}

struct ms_http_loop *
ms_http_loop_new(long max_idle_connections, long max_per_server, int wake_fd,
                 ms_http_done_callback *done, void *opaque)
{
    struct ms_http_loop *loop = g_new0(struct ms_http_loop, 1);
    struct epoll_event event = {.events = EPOLLIN, .data.fd = wake_fd};
    loop->sockets = g_array_new(FALSE, TRUE, sizeof(struct watched_socket));
    loop->multi = curl_multi_init();
    loop->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    loop->wake_fd = wake_fd;
    loop->curl_timeout_at = INT64_MAX;
    ms_list_link_init(&loop->exchanges);
    loop->done = done;
    loop->opaque = opaque;
    if (loop->multi == NULL || loop->epoll_fd < 0 ||
        epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, wake_fd, &event) != 0) {
        ms_http_loop_free(loop);
        return NULL;
    }
    curl_multi_setopt(loop->multi, CURLMOPT_SOCKETFUNCTION, set_socket_events);
    curl_multi_setopt(loop->multi, CURLMOPT_SOCKETDATA, loop);
    curl_multi_setopt(loop->multi, CURLMOPT_TIMERFUNCTION, set_curl_timeout);
    curl_multi_setopt(loop->multi, CURLMOPT_TIMERDATA, loop);
    curl_multi_setopt(loop->multi, CURLMOPT_MAXCONNECTS, max_idle_connections);
    curl_multi_setopt(loop->multi, CURLMOPT_MAX_HOST_CONNECTIONS, max_per_server);
    curl_multi_setopt(loop->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    return loop;
}

void
ms_http_loop_limit_connections(struct ms_http_loop *loop, long max_connections)
{
    curl_multi_setopt(loop->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS, max_connections);
}

void
ms_http_loop_free(struct ms_http_loop *loop)
{
    if (loop == NULL) {
        return;
    }
    if (loop->multi != NULL) {
        curl_multi_cleanup(loop->multi);
    }
    if (loop->epoll_fd >= 0) {
        close(loop->epoll_fd);
    }
    g_array_unref(loop->sockets);
    g_free(loop);
}

void
ms_http_loop_add(struct ms_http_loop *loop, struct ms_http *http)
{
    curl_easy_setopt(http->curl, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
    curl_easy_setopt(http->curl, CURLOPT_CLOSESOCKETDATA, loop);
    curl_easy_setopt(http->curl, CURLOPT_TIMEOUT_MS, 0L);
    curl_easy_setopt(http->curl, CURLOPT_CONNECTTIMEOUT_MS, CURL_CONNECT_TIMEOUT_MS);
    http->loop_added_at = ms_clock_monotonic_ms();
    http->loop_stalled_ms = loop->stalled_ms;
    http->loop_request_sent = false;
    if (ms_list_is_empty(&loop->exchanges)) {
        loop->polled_at = 0; /* the time without exchanges was no stall */
    }
    ms_list_append(&loop->exchanges, &http->loop_link);
    curl_multi_add_handle(loop->multi, http->curl);
}

void
ms_http_loop_remove(struct ms_http_loop *loop, struct ms_http *http)
{
    ms_list_remove(&http->loop_link);
    curl_multi_remove_handle(loop->multi, http->curl);
}

/* Lets libcurl handle its timeout when that has expired. */
static void
run_expired_timeout(struct ms_http_loop *loop)
{
    int running = 0;
    if (loop->curl_timeout_at <= ms_clock_monotonic_ms()) {
        loop->curl_timeout_at = INT64_MAX;
        curl_multi_socket_action(loop->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    }
}

/* Calls the callback for each exchange that has ended. */
static void
report_finished(struct ms_http_loop *loop)
{
    CURLMsg *info = NULL;
    int remaining = 0;
    while ((info = curl_multi_info_read(loop->multi, &remaining)) != NULL) {
        if (info->msg != CURLMSG_DONE) {
            continue;
        }
        CURL *easy = info->easy_handle;
        CURLcode code = info->data.result;
        struct ms_http *http = NULL;
        curl_easy_getinfo(easy, CURLINFO_PRIVATE, &http);
        ms_http_loop_remove(loop, http);
        loop->done(loop->opaque, http, code);
    }
}

/* Whether the request of HTTP was sent. */
static bool
is_request_sent(struct ms_http *http)
{
    if (!http->loop_request_sent) {
        long request_size = 0;
        curl_easy_getinfo(http->curl, CURLINFO_REQUEST_SIZE, &request_size);
        http->loop_request_sent = request_size > 0;
    }
    return http->loop_request_sent;
}

/* Whether HTTP has reached one of its time limits. */
static bool
has_timed_out(const struct ms_http_loop *loop, struct ms_http *http, int64_t now)
{
    int64_t stalled_ms = MIN(loop->stalled_ms - http->loop_stalled_ms, STALLED_MAX_MS);
    int64_t elapsed_ms = now - http->loop_added_at - stalled_ms;
    if (elapsed_ms >= http->timeout_ms) {
        return true;
    }
    return elapsed_ms >= http->connect_timeout_ms && !is_request_sent(http);
}

/* Ends the exchanges that have timed out, if that is due. */
static void
end_timed_out(struct ms_http_loop *loop)
{
    int64_t now = ms_clock_monotonic_ms();
    GPtrArray *timed_out = NULL;
    if (now - loop->timeouts_checked_at < TIMEOUT_CHECK_INTERVAL_MS) {
        return;
    }
    loop->timeouts_checked_at = now;
    MS_LIST_FOREACH(link, &loop->exchanges)
    {
        struct ms_http *http = MS_CONTAINER_OF(link, struct ms_http, loop_link);
        if (has_timed_out(loop, http, now)) {
            timed_out = timed_out != NULL ? timed_out : g_ptr_array_new();
            g_ptr_array_add(timed_out, http);
        }
    }
    for (guint i = 0; timed_out != NULL && i < timed_out->len; i++) {
        ms_http_loop_remove(loop, g_ptr_array_index(timed_out, i));
    }
    /* The callbacks come last, as they may add exchanges. */
    for (guint i = 0; timed_out != NULL && i < timed_out->len; i++) {
        loop->done(loop->opaque, g_ptr_array_index(timed_out, i), CURLE_OPERATION_TIMEDOUT);
    }
    if (timed_out != NULL) {
        g_ptr_array_unref(timed_out);
    }
}

/* Adds DELAY_MS, by which the thread was late, to the stalls unless it is short. */
static void
note_delay(struct ms_http_loop *loop, int64_t delay_ms)
{
    if (delay_ms >= STALL_MIN_MS) {
        loop->stalled_ms += delay_ms;
    }
}

/* Passes the EVENTS of a socket to libcurl. */
static void
handle_event(struct ms_http_loop *loop, curl_socket_t fd, uint32_t events)
{
    struct watched_socket *socket = get_socket(loop, fd);
    int running = 0;
    if (!socket->wanted) {
        set_events(loop, socket, fd, 0);
        return;
    }
    int flags = ((events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0) |
                ((events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0) |
                ((events & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0);
    curl_multi_socket_action(loop->multi, fd, flags, &running);
}

/*
 * Waits for events up to MAX_MS, libcurl's timeout or the next search for exchanges that
 * timed out, and handles them.  Returns false if more events may be pending.
 */
static bool
wait_events(struct ms_http_loop *loop, int64_t max_ms)
{
    struct epoll_event events[EPOLL_EVENTS];
    int64_t now = ms_clock_monotonic_ms();
    int64_t timeout_ms = MIN(max_ms, MAX(loop->curl_timeout_at - now, 0));
    if (!ms_list_is_empty(&loop->exchanges)) {
        timeout_ms = MIN(timeout_ms, TIMEOUT_CHECK_INTERVAL_MS);
    }
    note_delay(loop, loop->polled_at != 0 ? now - loop->polled_at : 0);
    int count = epoll_wait(loop->epoll_fd, events, EPOLL_EVENTS, (int)timeout_ms);
    loop->polled_at = ms_clock_monotonic_ms();
    note_delay(loop, loop->polled_at - now - timeout_ms);
    for (int i = 0; i < count; i++) {
        if (events[i].data.fd != loop->wake_fd) {
            handle_event(loop, events[i].data.fd, events[i].events);
        }
    }
    return count < EPOLL_EVENTS;
}

void
ms_http_loop_run(struct ms_http_loop *loop, int64_t max_ms)
{
    run_expired_timeout(loop);
    report_finished(loop);
    bool all_handled = wait_events(loop, max_ms);
    run_expired_timeout(loop);
    report_finished(loop);
    if (all_handled) {
        end_timed_out(loop);
    }
}
