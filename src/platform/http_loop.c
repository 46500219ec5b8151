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
 */
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "obs/clock.h"
#include "platform/http_loop.h"

#define EPOLL_EVENTS 64 /* events per call of epoll_wait() */

/* A socket of libcurl, registered with epoll or not. */
struct watched_socket {
    uint32_t events; /* registered with epoll for these, 0: not registered */
    bool wanted;     /* libcurl waits for the events */
};

struct ms_http_loop {
    CURLM *multi;
    int epoll_fd;
    int wake_fd;
    GArray *sockets;         /* struct watched_socket, indexed by file descriptor */
    int64_t curl_timeout_at; /* when libcurl's timeout expires, INT64_MAX: none is set */
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
    curl_multi_add_handle(loop->multi, http->curl);
}

void
ms_http_loop_remove(struct ms_http_loop *loop, struct ms_http *http)
{
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
        curl_multi_remove_handle(loop->multi, easy);
        loop->done(loop->opaque, http, code);
    }
}

/* Waits for events up to MAX_MS or libcurl's timeout, and handles them. */
static void
wait_events(struct ms_http_loop *loop, int64_t max_ms)
{
    struct epoll_event events[EPOLL_EVENTS];
    int64_t timeout_ms = MIN(max_ms, MAX(loop->curl_timeout_at - ms_clock_monotonic_ms(), 0));
    int running = 0;
    int count = epoll_wait(loop->epoll_fd, events, EPOLL_EVENTS, (int)timeout_ms);
    for (int i = 0; i < count; i++) {
        if (events[i].data.fd == loop->wake_fd) {
            continue;
        }
        struct watched_socket *socket = get_socket(loop, events[i].data.fd);
        if (!socket->wanted) {
            set_events(loop, socket, events[i].data.fd, 0);
            continue;
        }
        int flags = ((events[i].events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0) |
                    ((events[i].events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0) |
                    ((events[i].events & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0);
        curl_multi_socket_action(loop->multi, events[i].data.fd, flags, &running);
    }
}

void
ms_http_loop_run(struct ms_http_loop *loop, int64_t max_ms)
{
    run_expired_timeout(loop);
    report_finished(loop);
    wait_events(loop, max_ms);
    run_expired_timeout(loop);
    report_finished(loop);
}
