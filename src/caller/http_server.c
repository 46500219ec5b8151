/*
 * http_server.c - HTTP server of mustardspreadd.
 *
 * libmicrohttpd runs one thread.  A connection is suspended while the node
 * processes its call; ms_call_complete() resumes it.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>
#include <microhttpd.h>

#include "caller/http_server.h"
#include "caller/job_json.h"
#include "config/address.h"
#include "node/message.h"
#include "obs/log.h"

#define BODY_MAX (4u << 20) /* bytes of a request body */
#define CONNECTIONS_MAX 2048u
#define IDLE_TIMEOUT_S 300u /* a connection without activity is closed after this */
#define BUSY_RETRY_MS 200   /* retry_after_ms if the node's ring is full */

struct ms_http_server {
    struct MHD_Daemon *daemon;
    struct ms_counters *counters;
    struct ms_ring *node_ring;
};

/* State of one HTTP request, passed by libmicrohttpd to each callback. */
struct exchange {
    GByteArray *body;
    bool too_large;       /* the body exceeds BODY_MAX; its rest is discarded */
    bool submitted;       /* the call was passed to the node */
    struct ms_call *call; /* owned by the node until the connection is resumed */
};

struct ms_call *
ms_call_new(enum ms_call_kind kind)
{
    struct ms_call *call = g_new0(struct ms_call, 1);
    call->kind = kind;
    return call;
}

void
ms_call_free(struct ms_call *call)
{
    if (call == NULL) {
        return;
    }
    if (call->payload != NULL) {
        g_bytes_unref(call->payload);
    }
    if (call->outcome.output != NULL) {
        g_bytes_unref(call->outcome.output);
    }
    free(call->response_body);
    g_free(call->request_body);
    g_free(call);
}

void
ms_call_complete(struct ms_call *call)
{
    MHD_resume_connection(call->connection);
}

static enum MHD_Result
reply(struct MHD_Connection *connection, unsigned int status, const char *type, const char *body)
{
    struct MHD_Response *response =
        MHD_create_response_from_buffer(strlen(body), (void *)body, MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, type);
    if (status == MHD_HTTP_SERVICE_UNAVAILABLE) {
        MHD_add_response_header(response, MHD_HTTP_HEADER_RETRY_AFTER, "1");
    }
    enum MHD_Result result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return result;
}

/* Replies to a request that is refused before it reaches the node, so that nothing has run. */
static enum MHD_Result
reply_error(struct MHD_Connection *connection, unsigned int status, const char *error)
{
    json_t *root = json_object();
    json_object_set_new(root, "error", json_string(error));
    json_object_set_new(root, "ran", json_string("no"));
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    enum MHD_Result result = reply(connection, status, "application/json", text);
    free(text);
    return result;
}

/* Sends the reply that the node stored in CALL. */
static enum MHD_Result
reply_call(struct MHD_Connection *connection, const struct ms_call *call)
{
    if (call->response_body != NULL) {
        return reply(connection, call->http_status, "application/json", call->response_body);
    }
    char *text = ms_json_format_outcome(call->id, &call->outcome);
    enum MHD_Result result = reply(connection, call->http_status, "application/json", text);
    free(text);
    return result;
}

/* Whether the query parameter NAME is "1". */
static bool
query_flag(struct MHD_Connection *connection, const char *name)
{
    const char *value = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, name);
    return value != NULL && strcmp(value, "1") == 0;
}

/* Value of the query parameter wait_ms; 0 if it is missing or not from 0 to MS_CALL_WAIT_MAX_MS. */
static int64_t
query_wait(struct MHD_Connection *connection)
{
    const char *value = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "wait_ms");
    gint64 wait = 0;
    if (value == NULL ||
        !g_ascii_string_to_signed(value, 10, 0, MS_CALL_WAIT_MAX_MS, &wait, NULL)) {
        return 0;
    }
    return wait;
}

/* Creates the call for /v1/jobs/ID; NULL if the method or ID is not valid. */
static struct ms_call *
create_job_call(struct MHD_Connection *connection, const char *id, const char *method)
{
    enum ms_call_kind kind = MS_CALL_JOB_STATUS;
    size_t length = strlen(id);
    if (strcmp(method, "DELETE") == 0) {
        kind = MS_CALL_CANCEL;
    }
    else if (strcmp(method, "GET") != 0) {
        return NULL;
    }
    else if (query_flag(connection, "explain")) {
        kind = MS_CALL_EXPLAIN;
    }
    if (length == 0 || length >= MS_ID_MAX) {
        return NULL;
    }
    struct ms_call *call = ms_call_new(kind);
    memcpy(call->id, id, length);
    call->wait_ms = query_wait(connection);
    return call;
}

/* Creates a call that carries the request body as text. */
static struct ms_call *
create_body_call(enum ms_call_kind kind, const struct exchange *exchange)
{
    struct ms_call *call = ms_call_new(kind);
    call->request_body = g_strndup((const char *)exchange->body->data, exchange->body->len);
    return call;
}

/* Creates the call for a GET request without parameters; NULL if PATH is unknown. */
static struct ms_call *
create_get_call(const char *path)
{
    static const struct {
        const char *path;
        enum ms_call_kind kind;
    } routes[] = {
        {"/v1/rules", MS_CALL_RULES_SHOW},    {"/v1/rules/history", MS_CALL_RULES_HISTORY},
        {"/v1/status", MS_CALL_STATUS},       {"/v1/state", MS_CALL_STATE_SAVE},
        {"/health/ready", MS_CALL_READINESS},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
        if (strcmp(routes[i].path, path) == 0) {
            return ms_call_new(routes[i].kind);
        }
    }
    return NULL;
}

/*
 * Creates the call for a request.  Returns NULL if there is none, with a reason
 * in ERROR if the body is malformed and with an empty ERROR if the path or
 * method is unknown.
 */
static struct ms_call *
create_call(struct MHD_Connection *connection, const char *path, const char *method,
            const struct exchange *exchange, char *error, size_t size)
{
    struct ms_call *call = NULL;
    error[0] = '\0';
    if (strcmp(path, "/v1/jobs") == 0 && strcmp(method, "POST") == 0) {
        call = ms_call_new(MS_CALL_SUBMIT);
        const char *parent =
            MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "traceparent");
        g_strlcpy(call->trace_parent, parent != NULL ? parent : "", sizeof(call->trace_parent));
        if (ms_json_parse_job((const char *)exchange->body->data, exchange->body->len, call, error,
                              size) != MS_OK) {
            ms_call_free(call);
            return NULL;
        }
        return call;
    }
    if (g_str_has_prefix(path, "/v1/jobs/")) {
        return create_job_call(connection, path + strlen("/v1/jobs/"), method);
    }
    if (strcmp(path, "/v1/rules") == 0 && strcmp(method, "POST") == 0) {
        call = create_body_call(MS_CALL_RULES_APPLY, exchange);
        call->replace_all = query_flag(connection, "replace");
        call->check_only = query_flag(connection, "check");
        return call;
    }
    if (strcmp(path, "/v1/state") == 0 && strcmp(method, "POST") == 0) {
        return create_body_call(MS_CALL_STATE_RESTORE, exchange);
    }
    return strcmp(method, "GET") == 0 ? create_get_call(path) : NULL;
}

/* Suspends the connection and pushes CALL to the node.  If its ring is full, replies 503. */
static enum MHD_Result
submit_call(struct ms_http_server *http_server, struct MHD_Connection *connection,
            struct exchange *exchange, struct ms_call *call)
{
    struct ms_message *message = ms_message_new(MS_MESSAGE_CALL);
    message->call = call;
    call->connection = connection;
    exchange->call = call;
    exchange->submitted = true;
    /* Suspend first: the node may answer before ms_ring_push() returns. */
    MHD_suspend_connection(connection);
    if (ms_ring_push(http_server->node_ring, message)) {
        return MHD_YES;
    }
    ms_message_free(message);
    ms_counter_add(http_server->counters, MS_COUNT_QUEUE_FULL, 1);
    call->http_status = MHD_HTTP_SERVICE_UNAVAILABLE;
    call->outcome = (struct ms_call_outcome){
        .code = MS_OUTCOME_UNAVAILABLE, .ran = MS_RAN_NO, .retry_after_ms = BUSY_RETRY_MS};
    g_strlcpy(call->outcome.detail, "this entry host is busy", sizeof(call->outcome.detail));
    MHD_resume_connection(connection);
    return MHD_YES;
}

static enum MHD_Result
process_request(struct ms_http_server *http_server, struct MHD_Connection *connection,
                const char *path, const char *method, struct exchange *exchange)
{
    char error[MS_DETAIL_MAX * 2];
    if (exchange->too_large) {
        ms_counter_add(http_server->counters, MS_COUNT_BAD_REQUESTS, 1);
        snprintf(error, sizeof(error), "body: larger than %u bytes", BODY_MAX);
        return reply_error(connection, MHD_HTTP_CONTENT_TOO_LARGE, error);
    }
    if (strcmp(path, "/metrics") == 0) {
        char *text = ms_counters_format_prometheus(http_server->counters);
        enum MHD_Result result = reply(connection, MHD_HTTP_OK, "text/plain; version=0.0.4", text);
        g_free(text);
        return result;
    }
    if (strcmp(path, "/health/live") == 0) {
        return reply(connection, MHD_HTTP_OK, "text/plain", "ok\n");
    }
    struct ms_call *call = create_call(connection, path, method, exchange, error, sizeof(error));
    if (call == NULL) {
        ms_counter_add(http_server->counters, MS_COUNT_BAD_REQUESTS, 1);
        if (error[0] != '\0') {
            return reply_error(connection, MHD_HTTP_BAD_REQUEST, error);
        }
        return reply_error(connection, MHD_HTTP_NOT_FOUND, "path: no such resource or method");
    }
    return submit_call(http_server, connection, exchange, call);
}

/*
 * MHD_AccessHandlerCallback.  Called once with the headers, then for each part
 * of the body, then with *DATA_SIZE 0 at the end of the body and once more after
 * the connection was resumed.
 */
static enum MHD_Result
handle_request(void *opaque, struct MHD_Connection *connection, const char *path,
               const char *method, const char *version, const char *data, size_t *data_size,
               void **state)
{
    struct ms_http_server *http_server = opaque;
    struct exchange *exchange = *state;
    (void)version;
    if (exchange == NULL) {
        exchange = g_new0(struct exchange, 1);
        exchange->body = g_byte_array_new();
        *state = exchange;
        return MHD_YES;
    }
    if (*data_size > 0) {
        if (exchange->body->len + *data_size > BODY_MAX) {
            exchange->too_large = true;
        }
        else {
            g_byte_array_append(exchange->body, (const guint8 *)data, (guint)*data_size);
        }
        *data_size = 0;
        return MHD_YES;
    }
    if (exchange->submitted) {
        return reply_call(connection, exchange->call);
    }
    return process_request(http_server, connection, path, method, exchange);
}

static void
request_completed(void *opaque, struct MHD_Connection *connection, void **state,
                  enum MHD_RequestTerminationCode code)
{
    struct exchange *exchange = *state;
    (void)opaque;
    (void)connection;
    (void)code;
    if (exchange == NULL) {
        return;
    }
    g_byte_array_unref(exchange->body);
    ms_call_free(exchange->call);
    g_free(exchange);
    *state = NULL;
}

struct ms_http_server *
ms_http_server_start(const struct ms_settings *settings, struct ms_counters *counters,
                     struct ms_ring *node_ring)
{
    struct sockaddr_in address;
    struct ms_http_server *http_server = g_new0(struct ms_http_server, 1);
    http_server->counters = counters;
    http_server->node_ring = node_ring;
    if (!ms_address_parse(settings->caller_address, &address)) {
        g_free(http_server);
        return NULL;
    }
    http_server->daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, handle_request,
        http_server, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_CONNECTION_LIMIT, CONNECTIONS_MAX,
        MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S, MHD_OPTION_NOTIFY_COMPLETED,
        request_completed, http_server, MHD_OPTION_END);
    if (http_server->daemon == NULL) {
        g_free(http_server);
        return NULL;
    }
    return http_server;
}

void
ms_http_server_stop_accepting(struct ms_http_server *http_server)
{
    MHD_socket fd = MHD_quiesce_daemon(http_server->daemon);
    if (fd != MHD_INVALID_SOCKET) {
        shutdown(fd, SHUT_RDWR);
        close(fd);
    }
}

void
ms_http_server_stop(struct ms_http_server *http_server)
{
    if (http_server == NULL) {
        return;
    }
    MHD_stop_daemon(http_server->daemon);
    g_free(http_server);
}
