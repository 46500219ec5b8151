/*
 * forwarder.c - the thread that forwards calls to other entry hosts.
 *
 * The caller's request is sent, with a header that marks it as forwarded, to the
 * address at which the other host serves callers.
 */
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#include "entry/forwarder.h"
#include "platform/http_loop.h"
#include "ports/caller_api.h"

#define RING_SLOTS 1024
#define CONNECTIONS_MAX 64      /* idle connections kept open, to all hosts together */
#define CONNECT_TIMEOUT_MS 250L /* longest time to connect to a host */
#define SLEEP_MAX_MS 30000      /* longest sleep of the thread */

/* One HTTP request to another host. */
struct exchange {
    struct ms_http *http;
    struct ms_forward *forward;
};

struct ms_forwarder {
    struct ms_ring *commands; /* calls to forward: struct ms_forward */
    struct ms_ring *answers;  /* owned by the caller of ms_forwarder_start() */
    struct ms_http_loop *loop;
    GHashTable *in_flight; /* set of exchange */
    pthread_t thread;
    atomic_bool stopping;
};

static void
free_exchange(struct exchange *exchange)
{
    ms_forward_free(exchange->forward);
    ms_http_free(exchange->http);
    g_free(exchange);
}

/* Called when an exchange has ended: passes its result to the decision thread. */
static void
exchange_done(void *opaque, struct ms_http *http, CURLcode code)
{
    struct ms_forwarder *forwarder = opaque;
    struct exchange *exchange = http->user_data;
    struct ms_forward *forward = exchange->forward;
    struct ms_entry_message *message = ms_entry_message_new(MS_ENTRY_FORWARDED);
    long status = 0;
    if (code == CURLE_OK) {
        curl_easy_getinfo(http->curl, CURLINFO_RESPONSE_CODE, &status);
        forward->response_body =
            strndup((const char *)http->response_body->data, http->response_body->len);
    }
    forward->status = (unsigned int)status;
    forward->not_sent = ms_http_not_sent(http, code);
    message->forward = forward;
    exchange->forward = NULL;
    g_hash_table_remove(forwarder->in_flight, exchange);
    free_exchange(exchange);
    while (!ms_ring_push(forwarder->answers, message) && !atomic_load(&forwarder->stopping)) {
        g_usleep(1000);
    }
}

static void
prepare_request(struct ms_http *http, const struct ms_forward *forward)
{
    char *path = g_uri_escape_string(forward->path, "/", FALSE);
    char *url = g_strdup_printf("http://%s%s", forward->peer_address, path);
    char *version = g_strdup_printf("%" G_GUINT64_FORMAT, forward->config_version);
    char *timeout = g_strdup_printf("%" G_GINT64_FORMAT, forward->timeout_ms);
    ms_http_prepare(http, url, NULL, (long)forward->timeout_ms, false);
    ms_http_set_connect_timeout(http, CONNECT_TIMEOUT_MS);
    if (forward->method == MS_METHOD_POST) {
        gsize length = 0;
        const void *body = g_bytes_get_data(forward->body, &length);
        ms_http_set_raw_body(http, body, length);
    }
    else if (forward->method == MS_METHOD_DELETE) {
        curl_easy_setopt(http->curl, CURLOPT_CUSTOMREQUEST, "DELETE");
    }
    ms_http_add_header(http, "Host", forward->host);
    ms_http_add_header(http, MS_FORWARDED_HEADER, version);
    ms_http_add_header(http, ms_api_timeout_header, timeout);
    if (forward->key != NULL) {
        char *key = ms_api_format_key(forward->key);
        ms_http_add_header(http, ms_api_key_header, key);
        g_free(key);
    }
    g_free(path);
    g_free(url);
    g_free(version);
    g_free(timeout);
}

/* Starts the queued calls. */
static void
run_commands(struct ms_forwarder *forwarder)
{
    struct ms_forward *forward = NULL;
    ms_ring_clear_wakeup(forwarder->commands);
    while ((forward = ms_ring_pop(forwarder->commands)) != NULL) {
        struct exchange *exchange = g_new0(struct exchange, 1);
        exchange->http = ms_http_new();
        if (exchange->http == NULL) {
            g_error("out of memory");
        }
        exchange->http->user_data = exchange;
        exchange->forward = forward;
        prepare_request(exchange->http, forward);
        g_hash_table_add(forwarder->in_flight, exchange);
        ms_http_loop_add(forwarder->loop, exchange->http);
    }
}

static void *
forward_thread(void *opaque)
{
    struct ms_forwarder *forwarder = opaque;
    while (!atomic_load(&forwarder->stopping)) {
        run_commands(forwarder);
        ms_http_loop_run(forwarder->loop, SLEEP_MAX_MS);
    }
    return NULL;
}

struct ms_forwarder *
ms_forwarder_start(struct ms_ring *answers)
{
    struct ms_forwarder *forwarder = g_new0(struct ms_forwarder, 1);
    forwarder->answers = answers;
    forwarder->in_flight = g_hash_table_new(NULL, NULL);
    forwarder->commands = ms_ring_new(RING_SLOTS);
    if (forwarder->commands != NULL) {
        forwarder->loop = ms_http_loop_new(CONNECTIONS_MAX, 0, ms_ring_fd(forwarder->commands),
                                           exchange_done, forwarder);
    }
    if (forwarder->loop == NULL ||
        pthread_create(&forwarder->thread, NULL, forward_thread, forwarder) != 0) {
        ms_http_loop_free(forwarder->loop);
        ms_ring_free(forwarder->commands);
        g_hash_table_destroy(forwarder->in_flight);
        g_free(forwarder);
        return NULL;
    }
    return forwarder;
}

bool
ms_forwarder_push(struct ms_forwarder *forwarder, struct ms_forward *forward)
{
    return ms_ring_push(forwarder->commands, forward);
}

void
ms_forwarder_stop(struct ms_forwarder *forwarder)
{
    if (forwarder == NULL) {
        return;
    }
    atomic_store(&forwarder->stopping, true);
    ms_ring_wake(forwarder->commands);
    pthread_join(forwarder->thread, NULL);
    struct ms_forward *forward = NULL;
    while ((forward = ms_ring_pop(forwarder->commands)) != NULL) {
        ms_forward_free(forward);
    }
    GHashTableIter iterator;
    gpointer key = NULL;
    g_hash_table_iter_init(&iterator, forwarder->in_flight);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        struct exchange *exchange = key;
        ms_http_loop_remove(forwarder->loop, exchange->http);
        free_exchange(exchange);
    }
    ms_http_loop_free(forwarder->loop);
    ms_ring_free(forwarder->commands);
    g_hash_table_destroy(forwarder->in_flight);
    g_free(forwarder);
}
