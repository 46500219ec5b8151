/*
 * backend.c - the thread of the links to backend servers.
 */
#include <string.h>
#include <unistd.h>

#include "backend/private.h"
#include "obs/clock.h"
#include "obs/log.h"

#define COMMAND_RING_SLOTS 16384
#define STEP_MAX_MS 100  /* longest sleep between looks at the clocks */
#define IDLE_MAX_MS 1000 /* the same while nothing is claimed */
#define CONNECTIONS_MAX 4096L

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
    struct ms_link_state *link = memory;
    ms_http_free(link->sync);
    ms_http_free(link->ops);
    g_queue_free_full(link->waiting, ms_server_op_free);
    g_queue_free_full(link->sent, ms_server_op_free);
    g_hash_table_destroy(link->withheld);
    g_free(link);
}

/* Hands EVENTS to the node; waits while its ring is full. */
void
ms_backend_tell(struct ms_backend *backend, GPtrArray *events)
{
    if (events->len == 0) {
        g_ptr_array_unref(events);
        return;
    }
    struct ms_message *message = ms_message_new(MS_MESSAGE_BACKEND);
    message->backend.generation = backend->generation;
    message->backend.events = events;
    ms_message_send(backend->node_ring, &backend->stopping, message);
}

struct ms_owned_event *
ms_backend_event(GPtrArray *events, enum ms_event_kind kind)
{
    struct ms_owned_event *owned = g_new0(struct ms_owned_event, 1);
    owned->event.kind = kind;
    g_ptr_array_add(events, owned);
    return owned;
}

/* Drops what was to be sent; the node's own timers handle the rest. */
static void
drop_ops(struct ms_link_state *link)
{
    g_queue_clear_full(link->waiting, ms_server_op_free);
    g_hash_table_remove_all(link->withheld);
    if (!link->sending) {
        g_queue_clear_full(link->sent, ms_server_op_free);
    }
    link->send_failures = 0;
    link->call = 0;
}

/* Counts a server as lost and tells the node. */
void
ms_backend_lost(struct ms_backend *backend, struct ms_link_state *link)
{
    if (!link->held) {
        return;
    }
    link->held = false;
    link->fence = 0;
    link->leaving = false;
    drop_ops(link);
    ms_counter_add(backend->counters, MS_COUNT_SERVERS_LOST, 1);
    ms_log(MS_LOG_WARNING, "event=server_lost server=%s", link->name);
    GPtrArray *events = g_ptr_array_new_with_free_func(ms_owned_event_free);
    struct ms_owned_event *owned = ms_backend_event(events, MS_EVENT_SERVER_LOST);
    g_strlcpy(owned->event.server.name, link->name, MS_NAME_MAX);
    ms_backend_tell(backend, events);
}

static void
add_link(struct ms_backend *backend, const struct ms_backend_command *command)
{
    struct ms_link_state *link = g_hash_table_lookup(backend->links, command->name);
    if (link != NULL) {
        g_strlcpy(link->url, command->url, sizeof(link->url));
        return;
    }
    link = g_new0(struct ms_link_state, 1);
    g_strlcpy(link->name, command->name, sizeof(link->name));
    g_strlcpy(link->url, command->url, sizeof(link->url));
    link->sync = ms_http_new();
    link->ops = ms_http_new();
    link->sync->owner = link;
    link->ops->owner = link;
    link->waiting = g_queue_new();
    link->sent = g_queue_new();
    link->withheld = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_hash_table_insert(backend->links, link->name, link);
}

static void
remove_link(struct ms_backend *backend, const char *name)
{
    struct ms_link_state *link = g_hash_table_lookup(backend->links, name);
    if (link == NULL) {
        return;
    }
    ms_backend_lost(backend, link);
    g_hash_table_steal(backend->links, name);
    link->removed = true;
    g_ptr_array_add(backend->removed, link);
}

/* Forgets the fences; each server has to be granted anew. */
static void
reset_links(struct ms_backend *backend)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, backend->links);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct ms_link_state *link = value;
        link->held = false;
        link->fence = 0;
        link->leaving = false;
        link->sync_at = 0;
        drop_ops(link);
    }
}

static void
run_command(struct ms_backend *backend, struct ms_backend_command *command)
{
    struct ms_link_state *link = NULL;
    switch (command->kind) {
    case MS_BACKEND_CLAIM:
        backend->generation = command->generation;
        backend->epoch = command->epoch;
        reset_links(backend);
        break;
    case MS_BACKEND_RELEASE:
        backend->generation = 0;
        reset_links(backend);
        break;
    case MS_BACKEND_ADD:
        add_link(backend, command);
        break;
    case MS_BACKEND_REMOVE:
        remove_link(backend, command->name);
        break;
    case MS_BACKEND_OP:
        link = g_hash_table_lookup(backend->links, command->op->server);
        if (link != NULL && backend->generation != 0) {
            ms_ops_queue(backend, link, command->op);
        }
        else {
            ms_server_op_free(command->op);
        }
        break;
    }
    g_free(command);
}

static void
run_commands(struct ms_backend *backend)
{
    struct ms_backend_command *command = NULL;
    ms_ring_clear(backend->commands);
    while ((command = ms_ring_pop(backend->commands)) != NULL) {
        run_command(backend, command);
    }
}

static void
finish_exchange(void *opaque, struct ms_http *http, CURLcode code)
{
    struct ms_backend *backend = opaque;
    struct ms_link_state *link = http->owner;
    if (http == link->sync) {
        ms_sync_done(backend, link, code);
    }
    else {
        ms_ops_done(backend, link, code);
    }
}

/* Starts what is due on every link and gives silent servers up. */
static void
look_at_links(struct ms_backend *backend)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    int64_t now = ms_clock_ms();
    g_hash_table_iter_init(&iterator, backend->links);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct ms_link_state *link = value;
        if (link->held && now - link->last_answer_at >= backend->settings->server_timeout_ms) {
            ms_backend_lost(backend, link);
        }
        if (backend->generation != 0 && !link->syncing && now >= link->sync_at) {
            ms_sync_start(backend, link);
        }
        bool to_send = !g_queue_is_empty(link->waiting) || !g_queue_is_empty(link->sent);
        if (link->held && !link->sending && to_send && now >= link->send_at) {
            ms_ops_start(backend, link);
        }
    }
}

static void
free_removed(struct ms_backend *backend)
{
    for (guint i = backend->removed->len; i > 0; i--) {
        struct ms_link_state *link = g_ptr_array_index(backend->removed, i - 1);
        if (!link->syncing && !link->sending) {
            g_ptr_array_remove_index(backend->removed, i - 1);
            link_free(link);
        }
    }
}

static void *
backend_thread(void *opaque)
{
    struct ms_backend *backend = opaque;
    while (!atomic_load(&backend->stopping)) {
        run_commands(backend);
        look_at_links(backend);
        free_removed(backend);
        ms_http_loop_run(backend->loop, backend->generation != 0 ? STEP_MAX_MS : IDLE_MAX_MS);
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
    backend->removed = g_ptr_array_new();
    backend->commands = ms_ring_new(COMMAND_RING_SLOTS);
    if (backend->commands == NULL) {
        goto fail;
    }
    backend->loop = ms_http_loop_new(CONNECTIONS_MAX, 0, ms_ring_fd(backend->commands),
                                     finish_exchange, backend);
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
    g_ptr_array_free(backend->removed, TRUE);
    g_free(backend);
    return NULL;
}

static void
free_links(struct ms_backend *backend)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, backend->links);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        g_ptr_array_add(backend->removed, value);
    }
    for (guint i = 0; i < backend->removed->len; i++) {
        struct ms_link_state *link = g_ptr_array_index(backend->removed, i);
        ms_http_loop_remove(backend->loop, link->sync);
        ms_http_loop_remove(backend->loop, link->ops);
        link_free(link);
    }
    g_hash_table_destroy(backend->links);
    g_ptr_array_free(backend->removed, TRUE);
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
    free_links(backend);
    ms_http_loop_free(backend->loop);
    ms_ring_free(backend->commands);
    g_free(backend);
}

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
ms_backend_claim(struct ms_backend *backend, uint64_t generation, uint64_t epoch)
{
    struct ms_backend_command *command = command_new(MS_BACKEND_CLAIM);
    command->generation = generation;
    command->epoch = epoch;
    return push_command(backend, command);
}

bool
ms_backend_release(struct ms_backend *backend)
{
    return push_command(backend, command_new(MS_BACKEND_RELEASE));
}

bool
ms_backend_add(struct ms_backend *backend, const char *name, const char *url)
{
    struct ms_backend_command *command = command_new(MS_BACKEND_ADD);
    g_strlcpy(command->name, name, sizeof(command->name));
    g_strlcpy(command->url, url, sizeof(command->url));
    return push_command(backend, command);
}

bool
ms_backend_remove(struct ms_backend *backend, const char *name)
{
    struct ms_backend_command *command = command_new(MS_BACKEND_REMOVE);
    g_strlcpy(command->name, name, sizeof(command->name));
    return push_command(backend, command);
}

bool
ms_backend_task(struct ms_backend *backend, const struct ms_action *action)
{
    const struct ms_task_action *task = &action->task;
    struct ms_backend_command *command = command_new(MS_BACKEND_OP);
    struct ms_server_op *op = g_new0(struct ms_server_op, 1);
    op->op = task->op;
    op->member = task->member;
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
