/*
 * http_frontend.c - the HTTP listeners of an entry host.
 *
 * A connection is suspended while the decision thread handles its call;
 * ms_entry_call_answer() resumes it.
 *
 * libmicrohttpd aborts the process if it is stopped with suspended connections.  So
 * ms_http_frontend_stop() stops listening, answers the calls that are still open, refuses new
 * ones, and gives the answers a short time to be sent.
 */
#include <errno.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <microhttpd.h>

#include "config/address.h"
#include "core/list.h"
#include "entry/http_frontend.h"
#include "entry/forwarder.h"
#include "obs/clock.h"
#include "obs/log.h"
#include "ports/caller_api.h"

#define BODY_MAX (1u << 20)            /* bytes of a request body */
#define IDLE_TIMEOUT_S 120u            /* then an idle connection is closed */
#define CALLER_TIMEOUT_DEFAULT_MS 3000 /* when the caller names none */
#define CALLER_TIMEOUT_MAX_MS 60000
#define RETRY_AFTER_S "1" /* Retry-After header of the statuses 429 and 503 */
#define METRICS_PATH "/metrics"
#define FLUSH_MAX_MS 200 /* limit of the wait for answers to be sent, when stopping */
#define FLUSH_POLL_MS 5

struct ms_http_frontend {
    struct MHD_Daemon *caller_daemon;
    struct MHD_Daemon *ready_daemon; /* readiness probe */
    struct MHD_Daemon *metrics_daemon;
    struct ms_counters *counters;
    struct ms_ring *ring; /* to the decision thread */
    atomic_bool ready;
    atomic_bool closing;           /* answers close their connection */
    GMutex lock;                   /* protects the rest */
    bool stopping;                 /* no more calls are accepted */
    struct ms_list_link suspended; /* struct exchange: calls without an answer */
    char *account_metrics;         /* gauges of client accounts, or NULL */
};

/* State of one HTTP exchange between the callbacks of libmicrohttpd. */
struct exchange {
    struct ms_http_frontend *frontend;
    struct ms_list_link suspended_link; /* in frontend->suspended while the call is open */
    GByteArray *body;
    bool too_large;
    bool submitted; /* the call was passed to the decision thread */
    struct ms_entry_call *call;
};

/* Resumes the connection of EXCHANGE, whose call has its answer; with the lock held. */
static void
resume(struct exchange *exchange)
{
    ms_list_remove(&exchange->suspended_link);
    MHD_resume_connection(exchange->call->connection);
}

void
ms_entry_call_answer(struct ms_entry_call *call)
{
    struct exchange *exchange = call->exchange;
    struct ms_http_frontend *frontend = exchange->frontend;
    g_mutex_lock(&frontend->lock);
    resume(exchange);
    g_mutex_unlock(&frontend->lock);
}

/* Sends BODY, which is copied, with the content type TYPE. */
static enum MHD_Result
reply(struct ms_http_frontend *frontend, struct MHD_Connection *connection, unsigned int status,
      const char *type, const char *body)
{
    struct MHD_Response *response =
        MHD_create_response_from_buffer(strlen(body), (void *)body, MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, type);
    if (status == MHD_HTTP_SERVICE_UNAVAILABLE || status == MHD_HTTP_TOO_MANY_REQUESTS) {
        MHD_add_response_header(response, MHD_HTTP_HEADER_RETRY_AFTER, RETRY_AFTER_S);
    }
    if (atomic_load(&frontend->closing)) {
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    enum MHD_Result result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return result;
}

static enum MHD_Result
reply_error(struct ms_http_frontend *frontend, struct MHD_Connection *connection,
            unsigned int status, const char *error)
{
    char *text = ms_api_encode_error(error);
    enum MHD_Result result = reply(frontend, connection, status, "application/json", text);
    free(text);
    return result;
}

static enum ms_entry_method
parse_method(const char *method)
{
    if (strcmp(method, MHD_HTTP_METHOD_GET) == 0) {
        return MS_METHOD_GET;
    }
    if (strcmp(method, MHD_HTTP_METHOD_POST) == 0) {
        return MS_METHOD_POST;
    }
    return strcmp(method, MHD_HTTP_METHOD_DELETE) == 0 ? MS_METHOD_DELETE : MS_METHOD_OTHER;
}

/* Returns how long the caller waits for an answer, in milliseconds. */
static int64_t
read_caller_timeout(struct MHD_Connection *connection)
{
    const char *text =
        MHD_lookup_connection_value(connection, MHD_HEADER_KIND, ms_api_timeout_header);
    gint64 timeout = text != NULL ? g_ascii_strtoll(text, NULL, 10) : 0;
    return timeout > 0 ? MIN(timeout, CALLER_TIMEOUT_MAX_MS) : CALLER_TIMEOUT_DEFAULT_MS;
}

/* Returns the call that a complete request makes. */
static struct ms_entry_call *
read_call(struct MHD_Connection *connection, const char *url, const char *method,
          struct exchange *exchange)
{
    struct ms_entry_call *call = g_new0(struct ms_entry_call, 1);
    const char *host =
        MHD_lookup_connection_value(connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_HOST);
    call->method = parse_method(method);
    call->host = g_strdup(host != NULL ? host : "");
    call->path = g_strdup(url);
    call->key = g_strdup(ms_api_parse_key(
        MHD_lookup_connection_value(connection, MHD_HEADER_KIND, ms_api_key_header)));
    call->timeout_ms = read_caller_timeout(connection);
    call->connection = connection;
    call->exchange = exchange;
    call->raw_body = exchange->body;
    const char *version =
        MHD_lookup_connection_value(connection, MHD_HEADER_KIND, MS_FORWARDED_HEADER);
    call->from_peer = version != NULL;
    call->min_config_version = version != NULL ? g_ascii_strtoull(version, NULL, 10) : 0;
    if (call->method == MS_METHOD_POST) {
        ms_api_decode_job((const char *)exchange->body->data, exchange->body->len, &call->spec,
                          call->error, sizeof(call->error));
    }
    return call;
}

/* Fills in the answer to CALL, which was not handled, for REASON. */
static void
refuse_call(struct ms_entry_call *call, const char *reason)
{
    call->status = MHD_HTTP_SERVICE_UNAVAILABLE;
    call->reason = reason;
}

/* Sends the answer that was filled in to CALL. */
static enum MHD_Result
send_answer(struct ms_http_frontend *frontend, struct MHD_Connection *connection,
            const struct ms_entry_call *call)
{
    if (call->response_body != NULL) {
        return reply(frontend, connection, call->status, "application/json", call->response_body);
    }
    if (call->status >= MHD_HTTP_BAD_REQUEST) {
        return reply_error(frontend, connection, call->status,
                           call->reason != NULL ? call->reason : "refused");
    }
    return reply(frontend, connection, call->status, "application/json", "{}");
}

/*
 * Passes the request to the decision thread and suspends CONNECTION, which is resumed
 * when the answer is there; with a full queue it is resumed at once, with a refusal.  While the
 * frontend stops, the call is refused without that.
 */
static enum MHD_Result
submit_call(struct ms_http_frontend *frontend, struct MHD_Connection *connection, const char *url,
            const char *method, struct exchange *exchange)
{
    exchange->call = read_call(connection, url, method, exchange);
    exchange->call->arrived_at = ms_clock_boot_ms();
    exchange->submitted = true;
    g_mutex_lock(&frontend->lock);
    if (frontend->stopping) {
        g_mutex_unlock(&frontend->lock);
        refuse_call(exchange->call, "stopping");
        return send_answer(frontend, connection, exchange->call);
    }
    struct ms_entry_message *message = ms_entry_message_new(MS_ENTRY_CALL);
    message->call = exchange->call;
    MHD_suspend_connection(connection);
    ms_list_append(&frontend->suspended, &exchange->suspended_link);
    if (!ms_ring_push(frontend->ring, message)) {
        ms_entry_message_free(message);
        ms_counter_add(frontend->counters, MS_COUNT_QUEUE_FULL, 1);
        refuse_call(exchange->call, "busy");
        resume(exchange);
    }
    g_mutex_unlock(&frontend->lock);
    return MHD_YES;
}

/*
 * Access handler for callers and readiness probes.  libmicrohttpd calls it for the
 * headers, for each part of the body, at the end of the request, and again when a
 * suspended connection is resumed.
 */
static enum MHD_Result
handle_request(void *opaque, struct MHD_Connection *connection, const char *url, const char *method,
               const char *version, const char *data, size_t *size, void **state)
{
    struct ms_http_frontend *frontend = opaque;
    struct exchange *exchange = *state;
    (void)version;
    if (exchange == NULL) {
        exchange = g_new0(struct exchange, 1);
        exchange->frontend = frontend;
        ms_list_link_init(&exchange->suspended_link);
        exchange->body = g_byte_array_new();
        *state = exchange;
        return MHD_YES;
    }
    if (*size > 0) {
        exchange->too_large |= exchange->body->len + *size > BODY_MAX;
        if (!exchange->too_large) {
            g_byte_array_append(exchange->body, (const guint8 *)data, (guint)*size);
        }
        *size = 0;
        return MHD_YES;
    }
    if (strcmp(url, ms_api_ready_path) == 0) {
        bool ready = atomic_load(&frontend->ready);
        return reply(frontend, connection, ready ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE,
                     "application/json", "{}");
    }
    if (exchange->too_large) {
        return reply_error(frontend, connection, MHD_HTTP_CONTENT_TOO_LARGE,
                           "body: larger than 1 MiB");
    }
    if (!exchange->submitted) {
        return submit_call(frontend, connection, url, method, exchange);
    }
    return send_answer(frontend, connection, exchange->call);
}

/* Access handler of the metrics listener. */
static enum MHD_Result
handle_metrics(void *opaque, struct MHD_Connection *connection, const char *url, const char *method,
               const char *version, const char *data, size_t *size, void **state)
{
    struct ms_http_frontend *frontend = opaque;
    (void)method;
    (void)version;
    (void)data;
    (void)state;
    *size = 0;
    if (strcmp(url, METRICS_PATH) != 0) {
        return reply_error(frontend, connection, MHD_HTTP_NOT_FOUND,
                           "not found: only " METRICS_PATH " is served here");
    }
    char *counters = ms_counters_format_prometheus(frontend->counters);
    g_mutex_lock(&frontend->lock);
    char *text = g_strconcat(counters, frontend->account_metrics, NULL);
    g_mutex_unlock(&frontend->lock);
    g_free(counters);
    enum MHD_Result result = reply(frontend, connection, MHD_HTTP_OK, "text/plain", text);
    g_free(text);
    return result;
}

/* Called when a request has ended in any way: frees its exchange. */
static void
request_completed(void *opaque, struct MHD_Connection *connection, void **state,
                  enum MHD_RequestTerminationCode code)
{
    struct exchange *exchange = *state;
    (void)opaque;
    (void)connection;
    (void)code;
    if (exchange != NULL) {
        g_byte_array_unref(exchange->body);
        ms_entry_call_free(exchange->call);
        g_free(exchange);
        *state = NULL;
    }
}

/* Starts a listener at the address TEXT for up to CONNECTIONS; NULL on failure. */
static struct MHD_Daemon *
listen_at(struct ms_http_frontend *frontend, const char *text, MHD_AccessHandlerCallback handler,
          unsigned int connections)
{
    struct sockaddr_in address;
    if (!ms_address_parse(text, &address)) {
        return NULL;
    }
    return MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
                            handler, frontend, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address,
                            MHD_OPTION_CONNECTION_LIMIT, connections, MHD_OPTION_CONNECTION_TIMEOUT,
                            IDLE_TIMEOUT_S, MHD_OPTION_NOTIFY_COMPLETED, request_completed, NULL,
                            MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_LISTEN_BACKLOG_SIZE,
                            1024u, MHD_OPTION_END);
}

struct ms_http_frontend *
ms_http_frontend_start(const struct ms_entry_settings *settings, struct ms_counters *counters,
                       struct ms_ring *ring, char *error, size_t size)
{
    struct ms_http_frontend *frontend = g_new0(struct ms_http_frontend, 1);
    const char *address = settings->caller_address;
    frontend->counters = counters;
    frontend->ring = ring;
    g_mutex_init(&frontend->lock);
    ms_list_link_init(&frontend->suspended);
    frontend->caller_daemon =
        listen_at(frontend, address, handle_request, ms_entry_caller_connections_max(settings));
    if (frontend->caller_daemon == NULL) {
        goto fail;
    }
    address = settings->ready_address;
    frontend->ready_daemon = listen_at(frontend, address, handle_request, 64);
    if (frontend->ready_daemon == NULL) {
        goto fail;
    }
    address = settings->metrics_address;
    frontend->metrics_daemon = listen_at(frontend, address, handle_metrics, 64);
    if (frontend->metrics_daemon == NULL) {
        goto fail;
    }
    return frontend;

fail:
    snprintf(error, size, "cannot listen on %s: %s", address, g_strerror(errno));
    ms_http_frontend_stop(frontend);
    return NULL;
}

void
ms_http_frontend_set_ready(struct ms_http_frontend *frontend, bool ready)
{
    atomic_store(&frontend->ready, ready);
}

void
ms_http_frontend_set_account_metrics(struct ms_http_frontend *frontend, char *text)
{
    g_mutex_lock(&frontend->lock);
    g_free(frontend->account_metrics);
    frontend->account_metrics = text;
    g_mutex_unlock(&frontend->lock);
}

void
ms_http_frontend_close_connections(struct ms_http_frontend *frontend)
{
    atomic_store(&frontend->ready, false);
    atomic_store(&frontend->closing, true);
}

/*
 * Answers the calls that the decision thread, which has ended, has left open.  A submission or
 * cancellation may have been carried out.
 */
static void
answer_open_calls(struct ms_http_frontend *frontend)
{
    g_mutex_lock(&frontend->lock);
    frontend->stopping = true;
    while (!ms_list_is_empty(&frontend->suspended)) {
        struct exchange *exchange =
            MS_CONTAINER_OF(frontend->suspended.next, struct exchange, suspended_link);
        struct ms_entry_call *call = exchange->call;
        refuse_call(call, "stopping");
        if (call->method != MS_METHOD_GET) {
            call->status = MHD_HTTP_GATEWAY_TIMEOUT;
        }
        ms_log(MS_LOG_NOTICE, "event=call_cut_short path=%s status=%u", call->path, call->status);
        resume(exchange);
    }
    g_mutex_unlock(&frontend->lock);
}

/* Stops listening, so that callers go to other hosts from now on. */
static void
stop_listening(struct ms_http_frontend *frontend)
{
    MHD_socket listener = MHD_quiesce_daemon(frontend->caller_daemon);
    if (listener != MHD_INVALID_SOCKET) {
        close(listener);
    }
}

/*
 * Waits until all connections are closed, which their next answer does, for a short time at
 * most: a connection may be idle.
 */
static void
flush_answers(struct ms_http_frontend *frontend)
{
    int64_t deadline = ms_clock_boot_ms() + FLUSH_MAX_MS;
    const union MHD_DaemonInfo *info = NULL;
    do {
        g_usleep(FLUSH_POLL_MS * 1000);
        info = MHD_get_daemon_info(frontend->caller_daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
    } while (info != NULL && info->num_connections > 0 && ms_clock_boot_ms() < deadline);
}

void
ms_http_frontend_stop(struct ms_http_frontend *frontend)
{
    if (frontend == NULL) {
        return;
    }
    ms_http_frontend_close_connections(frontend);
    if (frontend->caller_daemon != NULL) {
        stop_listening(frontend);
        answer_open_calls(frontend);
        flush_answers(frontend);
        MHD_stop_daemon(frontend->caller_daemon);
    }
    if (frontend->ready_daemon != NULL) {
        MHD_stop_daemon(frontend->ready_daemon);
    }
    if (frontend->metrics_daemon != NULL) {
        MHD_stop_daemon(frontend->metrics_daemon);
    }
    g_mutex_clear(&frontend->lock);
    g_free(frontend->account_metrics);
    g_free(frontend);
}
