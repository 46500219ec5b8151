/*
 * task_ops.c - task operations on backend servers.
 *
 * Operations for one server are sent in order, one call at a time; those that
 * are queued meanwhile are batched into the next call.  A call that got no
 * answer is sent again unchanged on a new connection, which is safe because the
 * server executes each call once.
 */
#include <stdio.h>
#include <string.h>

#include "backend/private.h"
#include "obs/clock.h"
#include "obs/log.h"

#define OPS_PER_CALL_MAX 64
#define OPS_TIMEOUT_MS 500L           /* for the answer to one attempt */
#define OPS_RETRY_MS 100              /* delay before the next attempt */
#define OPS_ATTEMPTS_MAX 5            /* attempts of one call */
#define TASK_KEY_MAX (MS_ID_MAX + 16) /* bytes of "ID#MEMBER#ATTEMPT" */

/* Writes "ID#MEMBER#ATTEMPT" of the task of OP, an item of "withhold", to KEY. */
static void
task_key(const struct ms_server_op *op, char *key)
{
    snprintf(key, TASK_KEY_MAX, "%s#%u#%u", op->id, op->member, op->attempt);
}

/*
 * Updates the set of withheld leases, which the next sync sends.  Returns true when
 * OP does nothing else, so that it needs no call of its own.
 */
static bool
update_withheld(struct ms_server_link *link, const struct ms_server_op *op)
{
    char key[TASK_KEY_MAX];
    task_key(op, key);
    switch (op->op) {
    case MS_OP_WITHHOLD_LEASE:
        g_hash_table_add(link->withheld_leases, g_strdup(key));
        return true;
    case MS_OP_RENEW_LEASE:
        g_hash_table_remove(link->withheld_leases, key);
        return true;
    case MS_OP_ACK:
        g_hash_table_remove(link->withheld_leases, key);
        return false;
    case MS_OP_PREPARE:
    case MS_OP_START:
    case MS_OP_GO:
    case MS_OP_STOP:
    case MS_OP_CHECKPOINT:
    case MS_OP_THROTTLE:
        break;
    }
    return false;
}

/*
 * Reports that an operation that should have started a task did not.  Nothing
 * is reported if an earlier call may have started the task: the timeouts of the
 * scheduler and the server's own report then decide.
 */
static void
report_refused(const struct ms_backend *backend, GPtrArray *events, const struct ms_server_op *op)
{
    if (op->op != MS_OP_PREPARE && op->op != MS_OP_START && op->op != MS_OP_GO) {
        return;
    }
    if (op->maybe_executed || op->generation != backend->generation) {
        return;
    }
    struct ms_event_copy *copy = ms_backend_add_event(events, MS_EVENT_TASK_REFUSED);
    struct ms_task_event *task = &copy->event.task;
    g_strlcpy(task->server, op->server, sizeof(task->server));
    g_strlcpy(task->id, op->id, sizeof(task->id));
    task->member_index = op->member;
    task->attempt = op->attempt;
}

void
ms_ops_enqueue(struct ms_backend *backend, struct ms_server_link *link, struct ms_server_op *op)
{
    op->generation = backend->generation;
    if (!link->acquired) {
        /* Nothing was sent, so the task certainly did not start. */
        GPtrArray *events = g_ptr_array_new_with_free_func(ms_event_copy_free);
        report_refused(backend, events, op);
        ms_backend_send_events(backend, events);
        ms_server_op_free(op);
        return;
    }
    if (update_withheld(link, op)) {
        ms_server_op_free(op);
        return;
    }
    g_queue_push_tail(link->queued_ops, op);
}

static json_t *
op_to_json(const struct ms_server_op *op)
{
    json_t *json = json_object();
    json_object_set_new(json, "op", json_string(ms_op_name(op->op)));
    json_object_set_new(json, "id", json_string(op->id));
    json_object_set_new(json, "member", json_integer(op->member));
    json_object_set_new(json, "attempt", json_integer(op->attempt));
    if (op->op != MS_OP_PREPARE && op->op != MS_OP_START) {
        return json;
    }
    const struct ms_job_spec *spec = &op->spec;
    json_object_set_new(json, "account", json_string(spec->account));
    json_object_set_new(json, "key", json_string(spec->key));
    json_object_set_new(json, "tasks", json_integer(spec->tasks));
    json_object_set_new(json, "accels", json_integer(spec->accels));
    json_object_set_new(json, "adjacent", json_string(ms_adjacency_name(spec->adjacency)));
    json_object_set_new(json, "class", json_string(ms_class_name(spec->job_class)));
    json_object_set_new(json, "idempotent", json_boolean(spec->idempotent));
    json_object_set_new(json, "checkpointable", json_boolean(spec->checkpointable));
    json_object_set_new(json, "declared_ms", json_integer(spec->declared_ms));
    if (op->payload != NULL) {
        gsize length = 0;
        const char *payload = g_bytes_get_data(op->payload, &length);
        json_object_set_new(json, "payload", json_stringn(payload, length));
    }
    return json;
}

void
ms_ops_start(struct ms_backend *backend, struct ms_server_link *link)
{
    json_t *ops = json_array();
    if (g_queue_is_empty(link->sent_ops)) {
        link->call_number++;
        while (g_queue_get_length(link->sent_ops) < OPS_PER_CALL_MAX &&
               !g_queue_is_empty(link->queued_ops)) {
            g_queue_push_tail(link->sent_ops, g_queue_pop_head(link->queued_ops));
        }
    }
    for (GList *item = link->sent_ops->head; item != NULL; item = item->next) {
        json_array_append_new(ops, op_to_json(item->data));
    }
    json_t *body = json_object();
    json_object_set_new(body, "fence", json_integer((json_int_t)link->fence));
    json_object_set_new(body, "call", json_integer((json_int_t)link->call_number));
    json_object_set_new(body, "ops", ops);
    char *url = g_strdup_printf("%s/ops", link->url);
    ms_http_prepare(link->ops_http, url, body, OPS_TIMEOUT_MS, link->ops_failures > 0);
    g_free(url);
    ms_counter_add(backend->counters, MS_COUNT_TASK_OPS, g_queue_get_length(link->sent_ops));
    link->ops_in_flight = true;
    ms_http_loop_add(backend->loop, link->ops_http);
}

/* The kind of event that reports the success of OP; -1 when there is none. */
static int
success_event_kind(enum ms_task_op op)
{
    switch (op) {
    case MS_OP_PREPARE:
        return MS_EVENT_TASK_PREPARED;
    case MS_OP_START:
    case MS_OP_GO:
        return MS_EVENT_TASK_STARTED;
    case MS_OP_STOP:
    case MS_OP_CHECKPOINT:
    case MS_OP_THROTTLE:
    case MS_OP_ACK:
    case MS_OP_WITHHOLD_LEASE:
    case MS_OP_RENEW_LEASE:
        break;
    }
    return -1;
}

/* Adds the events for RESULTS, the answers to the operations of the current call in order. */
static void
report_results(const struct ms_backend *backend, const struct ms_server_link *link,
               const json_t *results, GPtrArray *events)
{
    size_t index = 0;
    for (GList *item = link->sent_ops->head; item != NULL; item = item->next, index++) {
        const struct ms_server_op *op = item->data;
        const char *result = json_string_value(json_array_get(results, index));
        int kind = success_event_kind(op->op);
        if (kind < 0 || op->generation != backend->generation) {
            continue;
        }
        if (g_strcmp0(result, "ok") != 0) {
            report_refused(backend, events, op);
            continue;
        }
        struct ms_event_copy *copy = ms_backend_add_event(events, (enum ms_event_kind)kind);
        struct ms_task_event *task = &copy->event.task;
        g_strlcpy(task->server, op->server, sizeof(task->server));
        g_strlcpy(task->id, op->id, sizeof(task->id));
        task->member_index = op->member;
        task->attempt = op->attempt;
    }
}

/*
 * Schedules a retry of a call that was not answered with 200 or 409.  After
 * OPS_ATTEMPTS_MAX attempts, or if the server was lost, discards its operations.
 */
static void
retry_or_discard(struct ms_backend *backend, struct ms_server_link *link)
{
    ms_counter_add(backend->counters, MS_COUNT_TASK_OPS_FAILED, g_queue_get_length(link->sent_ops));
    link->ops_failures++;
    if (link->ops_failures >= OPS_ATTEMPTS_MAX || !link->acquired) {
        /* The scheduler's timeouts for starts and stops handle the missing answers. */
        g_queue_clear_full(link->sent_ops, ms_server_op_free);
        link->ops_failures = 0;
        return;
    }
    link->next_ops_at = ms_clock_monotonic_ms() + OPS_RETRY_MS;
    for (GList *item = link->sent_ops->head; item != NULL; item = item->next) {
        ((struct ms_server_op *)item->data)->maybe_executed = true;
    }
}

void
ms_ops_finish(struct ms_backend *backend, struct ms_server_link *link, CURLcode code)
{
    long status = 0;
    json_t *answer = ms_http_parse_response(link->ops_http, code, &status);
    const json_t *results = json_object_get(answer, "results");
    GPtrArray *events = g_ptr_array_new_with_free_func(ms_event_copy_free);
    link->ops_in_flight = false;
    ms_counter_add(backend->counters, MS_COUNT_BACKEND_BYTES,
                   ms_http_transferred_bytes(link->ops_http));
    if (status == 200 && json_is_array(results)) {
        link->ops_failures = 0;
        report_results(backend, link, results, events);
        g_queue_clear_full(link->sent_ops, ms_server_op_free);
    }
    else if (status == 409) {
        /*
         * The fence or the call is out of date and the server executed nothing now.
         * report_refused() skips operations that an earlier attempt may have executed.
         */
        for (GList *item = link->sent_ops->head; item != NULL; item = item->next) {
            report_refused(backend, events, item->data);
        }
        g_queue_clear_full(link->sent_ops, ms_server_op_free);
    }
    else {
        retry_or_discard(backend, link);
    }
    json_decref(answer);
    if (link->removed || backend->generation == 0) {
        g_ptr_array_unref(events);
        return;
    }
    ms_backend_send_events(backend, events);
}
