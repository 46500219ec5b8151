/*
 * order_sender.c - the thread that sends the engine's orders to backend servers.
 *
 * START and STOP orders to one server share a few connections.  They are queued here,
 * and not in libcurl, until a connection is free, so that the timeout of an order begins
 * when it is sent.  Queries to the advice service are treated like orders to one more
 * server.  A start that is queued here can still be withdrawn; one that was handed to libcurl
 * leaves within its timeout or not at all.
 *
 * Each round of the loop sends stops, then starts, then at most RENEWALS_PER_ROUND renewals to
 * servers that answered the last one, so that orders do not wait behind thousands of renewals.
 *
 * All other renewals have to open a connection first.  After a takeover or a network cut there are
 * thousands of them, and opening them all takes longer than a renewal may.  Each round therefore
 * opens only OPENED_PER_ROUND, so that answers are handled in between.  Servers that run tasks
 * come first, as these tasks end with the lease.
 */
#include <pthread.h>
#include <stdatomic.h>

#include "entry/order_queue.h"
#include "entry/order_sender.h"
#include "obs/clock.h"
#include "obs/log.h"
#include "platform/http_loop.h"
#include "ports/servers.h"

#define RING_SLOTS 8192
#define PER_SERVER_MAX 4 /* connections to one server: one for renewals, the others for orders */
#define ORDERS_PER_SERVER_MAX (PER_SERVER_MAX - 1)
#define IDLE_EXCHANGES_MAX 256 /* kept for reuse */
#define RENEWALS_PER_ROUND 64  /* renewals on open connections, per round of the loop */
#define OPENED_PER_ROUND 16    /* renewals that open a connection, per round of the loop */
#define SLEEP_MAX_MS 1000      /* longest sleep of the thread */
#define STATUS_OK 200

/* One HTTP request that carries an order. */
struct exchange {
    struct ms_http *http;
    struct ms_engine_action *order;
    int64_t sent_at;
};

/* The orders to one server, except lease renewals. */
struct server_queue {
    guint in_flight_count; /* orders that were sent and have no answer yet */
    GQueue *waiting;       /* struct ms_order_command: orders that wait for a free connection */
};

struct ms_order_sender {
    struct ms_ring *commands; /* struct ms_order_command */
    struct ms_ring *answers;  /* owned by the caller of ms_order_sender_start() */
    struct ms_http_loop *loop;
    GPtrArray *idle;         /* exchange, for reuse; owned */
    GHashTable *in_flight;   /* set of exchange */
    GHashTable *queues;      /* address of a server -> server_queue */
    GHashTable *connected;   /* set of addresses: these servers answered the last renewal */
    GPtrArray *stop_queues;  /* server_queue: the round has stops for these */
    GPtrArray *start_queues; /* server_queue: it has other orders for these */
    GQueue *renewals;        /* struct ms_order_command: of servers that are in `connected` */
    /* Renewals (struct ms_order_command) of servers that are not in `connected`. */
    GQueue *opening_with_tasks; /* the server runs tasks: sent first */
    GQueue *opening_without_tasks;
    _Atomic uint64_t min_epoch; /* orders of lower epochs are dropped */
    pthread_t thread;
    atomic_bool stopping;
};

static void
free_exchange(struct exchange *exchange)
{
    ms_engine_action_free(exchange->order);
    ms_http_free(exchange->http);
    g_free(exchange);
}

/* Returns an exchange without an order, a used one if there is any. */
static struct exchange *
get_exchange(struct ms_order_sender *sender)
{
    if (sender->idle->len > 0) {
        return g_ptr_array_remove_index_fast(sender->idle, sender->idle->len - 1);
    }
    struct exchange *exchange = g_new0(struct exchange, 1);
    exchange->http = ms_http_new();
    if (exchange->http == NULL) {
        g_error("out of memory");
    }
    exchange->http->user_data = exchange;
    return exchange;
}

/* Keeps EXCHANGE, which has ended, for reuse, or frees it; the caller now owns its order. */
static void
put_exchange(struct ms_order_sender *sender, struct exchange *exchange)
{
    g_hash_table_remove(sender->in_flight, exchange);
    exchange->order = NULL;
    if (sender->idle->len < IDLE_EXCHANGES_MAX) {
        g_ptr_array_add(sender->idle, exchange);
    }
    else {
        free_exchange(exchange);
    }
}

static void
free_server_queue(gpointer opaque)
{
    struct server_queue *queue = opaque;
    g_queue_free_full(queue->waiting, ms_order_command_free);
    g_free(queue);
}

/* Returns the queue of ORDER's server; creates it if there is none. */
static struct server_queue *
get_queue(struct ms_order_sender *sender, const struct ms_engine_action *order)
{
    struct server_queue *queue = g_hash_table_lookup(sender->queues, order->address);
    if (queue == NULL) {
        queue = g_new0(struct server_queue, 1);
        queue->waiting = g_queue_new();
        g_hash_table_insert(sender->queues, g_strdup(order->address), queue);
    }
    return queue;
}

/* Sends COMMAND and frees it.  Returns false when its epoch is over: it was dropped. */
static bool
send_command(struct ms_order_sender *sender, struct ms_order_command *command)
{
    if (command->epoch < atomic_load(&sender->min_epoch)) {
        ms_order_command_free(command);
        return false;
    }
    struct exchange *exchange = get_exchange(sender);
    exchange->order = command->order;
    exchange->sent_at = ms_clock_boot_ms();
    if (command->order->kind == MS_ENGINE_QUERY_ADVICE) {
        ms_advice_prepare_request(exchange->http, command->order);
    }
    else {
        ms_server_prepare_order(exchange->http, command->order);
    }
    g_hash_table_add(sender->in_flight, exchange);
    ms_http_loop_add(sender->loop, exchange->http);
    g_free(command);
    return true;
}

/* Sends the waiting orders of QUEUE for which there are free connections. */
static void
run_queue(struct ms_order_sender *sender, struct server_queue *queue)
{
    struct ms_order_command *command = NULL;
    while (queue->in_flight_count < ORDERS_PER_SERVER_MAX &&
           (command = g_queue_pop_head(queue->waiting)) != NULL) {
        queue->in_flight_count += send_command(sender, command);
    }
}

/* ORDER has been answered or has failed: sends the next ones; frees an unused queue. */
static void
finish_order(struct ms_order_sender *sender, const struct ms_engine_action *order)
{
    struct server_queue *queue = get_queue(sender, order);
    queue->in_flight_count--;
    run_queue(sender, queue);
    if (queue->in_flight_count == 0) {
        g_hash_table_remove(sender->queues, order->address);
    }
}

/* Returns the message with the answer to ORDER; the message takes ownership of ORDER. */
static struct ms_entry_message *
read_answer(const struct ms_http *http, CURLcode code, struct ms_engine_action *order)
{
    struct ms_entry_message *message = ms_entry_message_new(MS_ENTRY_ORDER_ANSWER);
    message->order = order;
    if (order->kind == MS_ENGINE_QUERY_ADVICE) {
        long status = 0;
        curl_easy_getinfo(http->curl, CURLINFO_RESPONSE_CODE, &status);
        message->kind = MS_ENTRY_ADVICE_ANSWER;
        if (code == CURLE_OK && status == STATUS_OK) {
            message->advice = ms_advice_decode_answer((const char *)http->response_body->data,
                                                      http->response_body->len);
        }
        return message;
    }
    message->kind =
        order->kind == MS_ENGINE_RENEW_LEASE ? MS_ENTRY_LEASE_ANSWER : MS_ENTRY_ORDER_ANSWER;
    message->order_result =
        ms_server_read_answer(http, code, order, &message->server_clock_ms, &message->report);
    return message;
}

/* A renewal was ANSWERED or has failed. */
static void
note_renewal(struct ms_order_sender *sender, const struct ms_engine_action *renewal, bool answered)
{
    if (!answered) {
        g_hash_table_remove(sender->connected, renewal->address);
    }
    else if (!g_hash_table_contains(sender->connected, renewal->address)) {
        g_hash_table_add(sender->connected, g_strdup(renewal->address));
    }
}

/* Logs that the request of EXCHANGE was sent more than once. */
static void
log_resent(const struct exchange *exchange)
{
    static const char *const order_names[] = {[MS_ENGINE_RENEW_LEASE] = "renew",
                                              [MS_ENGINE_START] = "start",
                                              [MS_ENGINE_STOP] = "stop",
                                              [MS_ENGINE_QUERY_ADVICE] = "advise"};
    const struct ms_engine_action *order = exchange->order;
    ms_log(MS_LOG_NOTICE, "event=order_resent order=%s task=%s run=%u server=%s requests=%u",
           order_names[order->kind], order->task, order->run, order->server,
           exchange->http->send_count);
}

/* Passes MESSAGE, with an order and its answer, to the decision thread. */
static void
push_answer(struct ms_order_sender *sender, struct ms_entry_message *message)
{
    while (!ms_ring_push(sender->answers, message) && !atomic_load(&sender->stopping)) {
        g_usleep(1000);
    }
}

/* Called when an exchange has ended: passes the answer to the decision thread. */
static void
exchange_done(void *opaque, struct ms_http *http, CURLcode code)
{
    struct ms_order_sender *sender = opaque;
    struct exchange *exchange = http->user_data;
    struct ms_engine_action *order = exchange->order;
    if (http->send_count > 1) {
        log_resent(exchange);
    }
    struct ms_entry_message *message = read_answer(http, code, order);
    message->order_sent_at = exchange->sent_at;
    put_exchange(sender, exchange);
    if (order->kind == MS_ENGINE_RENEW_LEASE) {
        note_renewal(sender, order, code == CURLE_OK);
    }
    else {
        finish_order(sender, order);
    }
    push_answer(sender, message);
}

/* Answers the start that WITHDRAWAL names as withdrawn, unless it was sent; frees WITHDRAWAL. */
static void
withdraw_start(struct ms_order_sender *sender, struct ms_order_command *withdrawal)
{
    struct server_queue *queue = g_hash_table_lookup(sender->queues, withdrawal->order->address);
    struct ms_order_command *start =
        queue != NULL ? ms_order_queue_withdraw(queue->waiting, withdrawal) : NULL;
    ms_order_command_free(withdrawal);
    if (start == NULL) {
        return;
    }
    struct ms_entry_message *message = ms_entry_message_new(MS_ENTRY_ORDER_ANSWER);
    message->order = start->order;
    message->order_result = MS_ORDER_WITHDRAWN;
    g_free(start);
    push_answer(sender, message);
}

/* Queues the renewal in COMMAND, by whether a connection has to be opened for it. */
static void
queue_renewal(struct ms_order_sender *sender, struct ms_order_command *command)
{
    if (g_hash_table_contains(sender->connected, command->order->address)) {
        g_queue_push_tail(sender->renewals, command);
    }
    else if (command->order->server_has_tasks) {
        g_queue_push_tail(sender->opening_with_tasks, command);
    }
    else {
        g_queue_push_tail(sender->opening_without_tasks, command);
    }
}

/* Sends some renewals to servers that answered the last one.  Returns whether any are left. */
static bool
send_renewals(struct ms_order_sender *sender)
{
    struct ms_order_command *command = NULL;
    int sent = 0;
    while (sent < RENEWALS_PER_ROUND && (command = g_queue_pop_head(sender->renewals)) != NULL) {
        sent += send_command(sender, command);
    }
    return !g_queue_is_empty(sender->renewals);
}

/* Sends some renewals for which connections have to be opened.  Returns whether any are left. */
static bool
open_connections(struct ms_order_sender *sender)
{
    int opened = 0;
    while (opened < OPENED_PER_ROUND) {
        struct ms_order_command *command = g_queue_pop_head(sender->opening_with_tasks);
        if (command == NULL) {
            command = g_queue_pop_head(sender->opening_without_tasks);
        }
        if (command == NULL) {
            return false;
        }
        opened += send_command(sender, command);
    }
    return true;
}

/* Sends the waiting orders of each of QUEUES, which is emptied. */
static void
run_queues(struct ms_order_sender *sender, GPtrArray *queues)
{
    for (guint i = 0; i < queues->len; i++) {
        run_queue(sender, g_ptr_array_index(queues, i));
    }
    g_ptr_array_set_size(queues, 0);
}

/* Queues what was pushed, and sends the orders for which there are free connections. */
static void
run_commands(struct ms_order_sender *sender)
{
    struct ms_order_command *command = NULL;
    ms_ring_clear_wakeup(sender->commands);
    while ((command = ms_ring_pop(sender->commands)) != NULL) {
        if (command->order->kind == MS_ENGINE_RENEW_LEASE) {
            queue_renewal(sender, command);
            continue;
        }
        if (command->order->kind == MS_ENGINE_WITHDRAW) {
            withdraw_start(sender, command);
            continue;
        }
        struct server_queue *queue = get_queue(sender, command->order);
        bool stop = command->order->kind == MS_ENGINE_STOP;
        ms_order_queue_add(queue->waiting, command);
        g_ptr_array_add(stop ? sender->stop_queues : sender->start_queues, queue);
    }
    run_queues(sender, sender->stop_queues);
    run_queues(sender, sender->start_queues);
}

static void *
sender_thread(void *opaque)
{
    struct ms_order_sender *sender = opaque;
    while (!atomic_load(&sender->stopping)) {
        run_commands(sender);
        bool more_renewals = send_renewals(sender);
        bool more_to_open = open_connections(sender);
        ms_http_loop_run(sender->loop, more_renewals || more_to_open ? 0 : SLEEP_MAX_MS);
    }
    return NULL;
}

/* Frees SENDER, whose thread does not run, and all orders that it holds. */
static void
free_sender(struct ms_order_sender *sender)
{
    struct ms_order_command *command = NULL;
    GHashTableIter iterator;
    gpointer key = NULL;
    while ((command = ms_ring_pop(sender->commands)) != NULL) {
        ms_order_command_free(command);
    }
    g_hash_table_iter_init(&iterator, sender->in_flight);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        struct exchange *exchange = key;
        ms_http_loop_remove(sender->loop, exchange->http);
        free_exchange(exchange);
    }
    for (guint i = 0; i < sender->idle->len; i++) {
        free_exchange(g_ptr_array_index(sender->idle, i));
    }
    ms_http_loop_free(sender->loop);
    ms_ring_free(sender->commands);
    g_ptr_array_unref(sender->idle);
    g_hash_table_destroy(sender->in_flight);
    g_hash_table_destroy(sender->queues);
    g_hash_table_destroy(sender->connected);
    g_ptr_array_unref(sender->stop_queues);
    g_ptr_array_unref(sender->start_queues);
    g_queue_free_full(sender->renewals, ms_order_command_free);
    g_queue_free_full(sender->opening_with_tasks, ms_order_command_free);
    g_queue_free_full(sender->opening_without_tasks, ms_order_command_free);
    g_free(sender);
}

struct ms_order_sender *
ms_order_sender_start(struct ms_ring *answers, long connections_max)
{
    struct ms_order_sender *sender = g_new0(struct ms_order_sender, 1);
    sender->answers = answers;
    sender->commands = ms_ring_new(RING_SLOTS);
    if (sender->commands == NULL) {
        g_free(sender);
        return NULL;
    }
    sender->idle = g_ptr_array_new();
    sender->in_flight = g_hash_table_new(NULL, NULL);
    sender->queues = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_server_queue);
    sender->connected = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    sender->stop_queues = g_ptr_array_new();
    sender->start_queues = g_ptr_array_new();
    sender->renewals = g_queue_new();
    sender->opening_with_tasks = g_queue_new();
    sender->opening_without_tasks = g_queue_new();
    sender->loop = ms_http_loop_new(connections_max, PER_SERVER_MAX, ms_ring_fd(sender->commands),
                                    exchange_done, sender);
    if (sender->loop == NULL) {
        free_sender(sender);
        return NULL;
    }
    ms_http_loop_limit_connections(sender->loop, connections_max);
    if (pthread_create(&sender->thread, NULL, sender_thread, sender) != 0) {
        free_sender(sender);
        return NULL;
    }
    return sender;
}

bool
ms_order_sender_push(struct ms_order_sender *sender, struct ms_engine_action *order, uint64_t epoch)
{
    struct ms_order_command *command = g_new0(struct ms_order_command, 1);
    command->order = order;
    command->epoch = epoch;
    if (!ms_ring_push(sender->commands, command)) {
        g_free(command);
        return false;
    }
    return true;
}

void
ms_order_sender_set_min_epoch(struct ms_order_sender *sender, uint64_t epoch)
{
    atomic_store(&sender->min_epoch, epoch);
}

void
ms_order_sender_stop(struct ms_order_sender *sender)
{
    if (sender == NULL) {
        return;
    }
    atomic_store(&sender->stopping, true);
    ms_ring_wake(sender->commands);
    pthread_join(sender->thread, NULL);
    free_sender(sender);
}
