/*
 * backend.c - the thread that exchanges HTTP requests with the backend servers.
 */
#include <string.h>
#include <unistd.h>

#include "backend/private.h"
#include "obs/clock.h"
#include "obs/log.h"

#define COMMAND_RING_SLOTS 16384
#define POLL_MAX_MS 100            /* longest wait before timers are checked again */
#define IDLE_POLL_MAX_MS 1000      /* the same while no servers are requested */
#define IDLE_CONNECTIONS_MAX 4096L /* kept open for reuse, to all servers together */

void
ms_server_op_free(void *memory)
{
    struct ms_server_op *op = memory;
    if (op->payload != NULL) {
        g_bytes_unref(op->payload);
    }
    g_free(op);
}

static void
link_free(void *memory)
{
    struct ms_server_link *link = memory;
    ms_http_free(link->sync_http);
    ms_http_free(link->ops_http);
    g_queue_free_full(link->queued_ops, ms_server_op_free);
    g_queue_free_full(link->sent_ops, ms_server_op_free);
    g_hash_table_destroy(link->withheld_leases);
    g_free(link);
}

void
ms_backend_send_events(struct ms_backend *backend, GPtrArray *events)
{
    if (events->len == 0) {
        g_ptr_array_unref(events);
        return;
    }
    struct ms_message *message = ms_message_new(MS_MESSAGE_BACKEND_EVENTS);
    message->backend.generation = backend->generation;
    message->backend.events = events;
    ms_message_push(backend->node_ring, &backend->stopping, message);
}

struct ms_event_copy *
ms_backend_add_event(GPtrArray *events, enum ms_event_kind kind)
{
    struct ms_event_copy *copy = g_new0(struct ms_event_copy, 1);
    copy->event.kind = kind;
    g_ptr_array_add(events, copy);
    return copy;
}

/*
 * Discards the operations of a server; the timeouts of the scheduler handle
 * their missing answers.  A call in flight is kept until its exchange ends.
 */
static void
discard_ops(struct ms_server_link *link)
{
    g_queue_clear_full(link->queued_ops, ms_server_op_free);
    g_hash_table_remove_all(link->withheld_leases);
    if (!link->ops_in_flight) {
        g_queue_clear_full(link->sent_ops, ms_server_op_free);
    }
    link->ops_failures = 0;
    link->call_number = 0;
}

void
ms_backend_mark_lost(struct ms_backend *backend, struct ms_server_link *link)
{
    if (!link->acquired) {
        return;
    }
    link->acquired = false;
    link->fence = 0;
    link->leaving_reported = false;
    discard_ops(link);
    ms_counter_add(backend->counters, MS_COUNT_SERVERS_LOST, 1);
    ms_log(MS_LOG_WARNING, "event=server_lost server=%s", link->name);
    GPtrArray *events = g_ptr_array_new_with_free_func(ms_event_copy_free);
    struct ms_event_copy *copy = ms_backend_add_event(events, MS_EVENT_SERVER_LOST);
    g_strlcpy(copy->event.server.name, link->name, MS_NAME_MAX);
    ms_backend_send_events(backend, events);
}

static void
add_link(struct ms_backend *backend, const struct ms_backend_command *command)
{
    struct ms_server_link *link = g_hash_table_lookup(backend->links, command->name);
    if (link != NULL) {
        g_strlcpy(link->url, command->url, sizeof(link->url));
        return;
    }
    link = g_new0(struct ms_server_link, 1);
    g_strlcpy(link->name, command->name, sizeof(link->name));
    g_strlcpy(link->url, command->url, sizeof(link->url));
    link->sync_http = ms_http_new();
    link->ops_http = ms_http_new();
    link->sync_http->user_data = link;
    link->ops_http->user_data = link;
    link->queued_ops = g_queue_new();
    link->sent_ops = g_queue_new();
    link->withheld_leases = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_hash_table_insert(backend->links, link->name, link);
}

static void
remove_link(struct ms_backend *backend, const char *name)
{
    struct ms_server_link *link = g_hash_table_lookup(backend->links, name);
    if (link == NULL) {
        return;
    }
    ms_backend_mark_lost(backend, link);
    g_hash_table_steal(backend->links, name);
    link->removed = true;
    g_ptr_array_add(backend->removed_links, link);
}

/* Drops all grants, so that each server has to be granted again; the node is not informed. */
static void
reset_links(struct ms_backend *backend)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, backend->links);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct ms_server_link *link = value;
        link->acquired = false;
        link->fence = 0;
        link->leaving_reported = false;
        link->next_sync_at = 0;
        discard_ops(link);
    }
}

static void
handle_command(struct ms_backend *backend, struct ms_backend_command *command)
{
    struct ms_server_link *link = NULL;
    switch (command->kind) {
    case MS_BACKEND_CMD_ACQUIRE:
        backend->generation = command->generation;
        backend->epoch = command->epoch;
        reset_links(backend);
        break;
    case MS_BACKEND_CMD_RELEASE:
        backend->generation = 0;
        reset_links(backend);
        break;
    case MS_BACKEND_CMD_ADD_SERVER:
        add_link(backend, command);
        break;
    case MS_BACKEND_CMD_REMOVE_SERVER:
        remove_link(backend, command->name);
        break;
    case MS_BACKEND_CMD_TASK_OP:
        link = g_hash_table_lookup(backend->links, command->op->server);
        if (link != NULL && backend->generation != 0) {
            ms_ops_enqueue(backend, link, command->op);
        }
        else {
            ms_server_op_free(command->op);
        }
        break;
    }
    g_free(command);
}

static void
handle_commands(struct ms_backend *backend)
{
    struct ms_backend_command *command = NULL;
    ms_ring_clear_wakeup(backend->commands);
    while ((command = ms_ring_pop(backend->commands)) != NULL) {
        handle_command(backend, command);
    }
}

static void
on_exchange_done(void *opaque, struct ms_http *http, CURLcode code)
{
    struct ms_backend *backend = opaque;
    struct ms_server_link *link = http->user_data;
    if (http == link->sync_http) {
        ms_sync_finish(backend, link, code);
    }
    else {
        ms_ops_finish(backend, link, code);
    }
}

/* Starts the exchanges that are due and marks unresponsive servers as lost. */
static void
update_links(struct ms_backend *backend)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    int64_t now = ms_clock_monotonic_ms();
    g_hash_table_iter_init(&iterator, backend->links);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct ms_server_link *link = value;
        if (link->acquired && now - link->last_answer_at >= backend->settings->server_timeout_ms) {
            ms_backend_mark_lost(backend, link);
        }
        if (backend->generation != 0 && !link->sync_in_flight && now >= link->next_sync_at) {
            ms_sync_start(backend, link);
        }
        bool ops_pending = !g_queue_is_empty(link->queued_ops) || !g_queue_is_empty(link->sent_ops);
        if (link->acquired && !link->ops_in_flight && ops_pending && now >= link->next_ops_at) {
            ms_ops_start(backend, link);
        }
    }
}

static void
free_removed_links(struct ms_backend *backend)
{
    for (guint i = backend->removed_links->len; i > 0; i--) {
        struct ms_server_link *link = g_ptr_array_index(backend->removed_links, i - 1);
        if (!link->sync_in_flight && !link->ops_in_flight) {
            g_ptr_array_remove_index(backend->removed_links, i - 1);
            link_free(link);
        }
    }
}

static void *
backend_thread(void *opaque)
{
    struct ms_backend *backend = opaque;
    while (!atomic_load(&backend->stopping)) {
        handle_commands(backend);
        update_links(backend);
        free_removed_links(backend);
        ms_http_loop_run(backend->loop, backend->generation != 0 ? POLL_MAX_MS : IDLE_POLL_MAX_MS);
    }
    return NULL;
}

struct ms_backend *
ms_backend_start(const struct ms_settings *settings, struct ms_counters *counters,
                 struct ms_ring *node_ring)
{
    struct ms_backend *backend = g_new0(struct ms_backend, 1);
    backend->settings = settings;
    backend->counters = counters;
    backend->node_ring = node_ring;
    backend->links = g_hash_table_new(g_str_hash, g_str_equal);
    backend->removed_links = g_ptr_array_new();
    backend->commands = ms_ring_new(COMMAND_RING_SLOTS);
    if (backend->commands == NULL) {
        goto fail;
    }
    backend->loop = ms_http_loop_new(IDLE_CONNECTIONS_MAX, 0, ms_ring_fd(backend->commands),
                                     on_exchange_done, backend);
    if (backend->loop == NULL) {
        goto fail;
    }
    if (pthread_create(&backend->thread, NULL, backend_thread, backend) != 0) {
        goto fail;
    }
    return backend;

fail:
    ms_http_loop_free(backend->loop);
    ms_ring_free(backend->commands);
    g_hash_table_destroy(backend->links);
    g_ptr_array_free(backend->removed_links, TRUE);
    g_free(backend);
    return NULL;
}

static void
free_all_links(struct ms_backend *backend)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, backend->links);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        g_ptr_array_add(backend->removed_links, value);
    }
    for (guint i = 0; i < backend->removed_links->len; i++) {
        struct ms_server_link *link = g_ptr_array_index(backend->removed_links, i);
        ms_http_loop_remove(backend->loop, link->sync_http);
        ms_http_loop_remove(backend->loop, link->ops_http);
        link_free(link);
    }
    g_hash_table_destroy(backend->links);
    g_ptr_array_free(backend->removed_links, TRUE);
}

void
ms_backend_stop(struct ms_backend *backend)
{
    if (backend == NULL) {
        return;
    }
    atomic_store(&backend->stopping, true);
    ms_ring_wake(backend->commands);
    pthread_join(backend->thread, NULL);
    struct ms_backend_command *command = NULL;
    while ((command = ms_ring_pop(backend->commands)) != NULL) {
        if (command->op != NULL) {
            ms_server_op_free(command->op);
        }
        g_free(command);
    }
    free_all_links(backend);
    ms_http_loop_free(backend->loop);
    ms_ring_free(backend->commands);
    g_free(backend);
}

/* Queues COMMAND; frees it and returns false when the queue is full. */
static bool
push_command(struct ms_backend *backend, struct ms_backend_command *command)
{
    if (ms_ring_push(backend->commands, command)) {
        return true;
    }
    if (command->op != NULL) {
        ms_server_op_free(command->op);
    }
    g_free(command);
    return false;
}

static struct ms_backend_command *
command_new(enum ms_backend_command_kind kind)
{
    struct ms_backend_command *command = g_new0(struct ms_backend_command, 1);
    command->kind = kind;
    return command;
}

bool
ms_backend_acquire(struct ms_backend *backend, uint64_t generation, uint64_t epoch)
{
    struct ms_backend_command *command = command_new(MS_BACKEND_CMD_ACQUIRE);
    command->generation = generation;
    command->epoch = epoch;
    return push_command(backend, command);
}

bool
ms_backend_release(struct ms_backend *backend)
{
    return push_command(backend, command_new(MS_BACKEND_CMD_RELEASE));
}

bool
ms_backend_add_server(struct ms_backend *backend, const char *name, const char *url)
{
    struct ms_backend_command *command = command_new(MS_BACKEND_CMD_ADD_SERVER);
    g_strlcpy(command->name, name, sizeof(command->name));
    g_strlcpy(command->url, url, sizeof(command->url));
    return push_command(backend, command);
}

bool
ms_backend_remove_server(struct ms_backend *backend, const char *name)
{
    struct ms_backend_command *command = command_new(MS_BACKEND_CMD_REMOVE_SERVER);
    g_strlcpy(command->name, name, sizeof(command->name));
    return push_command(backend, command);
}

bool
ms_backend_send_task_op(struct ms_backend *backend, const struct ms_action *action)
{
    const struct ms_task_action *task = &action->task;
    struct ms_backend_command *command = command_new(MS_BACKEND_CMD_TASK_OP);
    struct ms_server_op *op = g_new0(struct ms_server_op, 1);
    op->op = task->op;
    op->member = task->member_index;
    op->attempt = task->attempt;
    g_strlcpy(op->server, task->server, sizeof(op->server));
    g_strlcpy(op->id, action->id, sizeof(op->id));
    if (task->spec != NULL) {
        op->spec = *task->spec;
        op->spec.payload = NULL;
        if (task->spec->payload_len > 0 && (op->op == MS_OP_PREPARE || op->op == MS_OP_START)) {
            op->payload = g_bytes_new(task->spec->payload, task->spec->payload_len);
        }
    }
    command->op = op;
    return push_command(backend, command);
}
