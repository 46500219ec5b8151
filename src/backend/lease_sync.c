/*
 * lease_sync.c - lease renewals at backend servers.
 *
 * A renewal is a long poll: the server answers after at most sync_wait_ms, or
 * at once when a task ends, so renewals also deliver the results of tasks.
 */
#include <string.h>

#include "backend/private.h"
#include "obs/clock.h"
#include "obs/log.h"

#define SYNC_REPLY_MARGIN_MS 400 /* added to the long-poll time for the HTTP timeout */
#define SYNC_RETRY_MS 100        /* after a failed exchange */
#define CONFLICT_RETRY_MS 250    /* after 409, see backend.h */

static json_t *
withheld_to_json(const struct ms_server_link *link)
{
    json_t *list = json_array();
    GHashTableIter iterator;
    gpointer key = NULL;
    g_hash_table_iter_init(&iterator, link->withheld_leases);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        json_array_append_new(list, json_string(key));
    }
    return list;
}

void
ms_sync_start(struct ms_backend *backend, struct ms_server_link *link)
{
    /* No long poll for a first sync or one after a failure: its answer is needed at once. */
    bool long_poll = link->acquired && !link->last_sync_failed;
    int64_t wait_ms = long_poll ? backend->settings->sync_wait_ms : 0;
    json_t *body = json_object();
    json_object_set_new(body, "holder", json_string(backend->settings->name));
    json_object_set_new(body, "epoch", json_integer((json_int_t)backend->epoch));
    json_object_set_new(body, "fence", json_integer((json_int_t)link->fence));
    json_object_set_new(body, "as_of", json_integer(link->as_of));
    json_object_set_new(body, "wait_ms", json_integer(wait_ms));
    if (g_hash_table_size(link->withheld_leases) > 0) {
        json_object_set_new(body, "withhold", withheld_to_json(link));
    }
    char *url = g_strdup_printf("%s/sync", link->url);
    ms_http_prepare(link->sync_http, url, body, (long)wait_ms + SYNC_REPLY_MARGIN_MS,
                    link->last_sync_failed);
    g_free(url);
    link->sync_in_flight = true;
    ms_http_loop_add(backend->loop, link->sync_http);
}

/* Copies the fields that identify a task from REPORT, an item of an answer of SERVER. */
static void
read_task_id(const json_t *report, const char *server, struct ms_task_event *task)
{
    g_strlcpy(task->server, server, sizeof(task->server));
    ms_json_copy_string(report, "id", task->id, sizeof(task->id));
    task->member_index = (uint32_t)ms_json_get_int(report, "member", 0);
    task->attempt = (uint32_t)ms_json_get_int(report, "attempt", 0);
}

/* Reads result and output; a result that is missing or unknown counts as failed. */
static void
read_result(const json_t *report, struct ms_event_copy *copy)
{
    char result[MS_NAME_MAX];
    ms_json_copy_string(report, "result", result, sizeof(result));
    if (ms_task_result_parse(result, &copy->event.task.result) != MS_OK) {
        copy->event.task.result = MS_TASK_FAILED;
    }
    const json_t *output = json_object_get(report, "output");
    if (json_is_string(output)) {
        copy->output_ref = g_bytes_new(json_string_value(output), json_string_length(output));
        gsize length = 0;
        copy->event.task.output = g_bytes_get_data(copy->output_ref, &length);
        copy->event.task.output_len = length;
    }
}

static void
read_spec(const json_t *report, struct ms_job_spec *spec)
{
    char text[MS_NAME_MAX];
    ms_json_copy_string(report, "account", spec->account, sizeof(spec->account));
    ms_json_copy_string(report, "key", spec->key, sizeof(spec->key));
    spec->tasks = (uint32_t)ms_json_get_int(report, "tasks", 1);
    spec->accels = (uint32_t)ms_json_get_int(report, "accels", 0);
    ms_json_copy_string(report, "adjacent", text, sizeof(text));
    ms_adjacency_parse(text, &spec->adjacency);
    ms_json_copy_string(report, "class", text, sizeof(text));
    ms_class_parse(text, &spec->job_class);
    spec->idempotent = json_is_true(json_object_get(report, "idempotent"));
    spec->checkpointable = json_is_true(json_object_get(report, "checkpointable"));
    spec->declared_ms = ms_json_get_int(report, "declared_ms", 0);
}

/* Adds an event for each task that a newly granted server reports. */
static void
report_tasks(const struct ms_server_link *link, const json_t *tasks, GPtrArray *events)
{
    size_t index = 0;
    json_t *report = NULL;
    json_array_foreach((json_t *)tasks, index, report)
    {
        char state[MS_NAME_MAX];
        struct ms_event_copy *copy = ms_backend_add_event(events, MS_EVENT_TASK_REPORTED);
        read_task_id(report, link->name, &copy->event.task);
        read_result(report, copy);
        read_spec(report, &copy->event.task.spec);
        ms_json_copy_string(report, "state", state, sizeof(state));
        copy->event.task.reported_state = MS_REPORTED_RUNNING;
        if (strcmp(state, "prepared") == 0) {
            copy->event.task.reported_state = MS_REPORTED_PREPARED;
        }
        if (strcmp(state, "ended") == 0) {
            copy->event.task.reported_state = MS_REPORTED_ENDED;
        }
    }
}

/* Adds the events of a server that was just granted to this host. */
static void
report_grant(const struct ms_server_link *link, const json_t *answer, GPtrArray *events)
{
    const json_t *tasks = json_object_get(answer, "tasks");
    struct ms_event_copy *copy = ms_backend_add_event(events, MS_EVENT_SERVER_UP);
    struct ms_server_event *server = &copy->event.server;
    g_strlcpy(server->name, link->name, sizeof(server->name));
    ms_json_copy_string(answer, "rack", server->rack, sizeof(server->rack));
    server->slots = (uint32_t)ms_json_get_int(answer, "slots", 0);
    server->accels = (uint32_t)ms_json_get_int(answer, "accels", 0);
    server->reported_task_count = (uint32_t)json_array_size(tasks);
    report_tasks(link, tasks, events);
}

/* Adds an event for each task in ENDED. */
static void
report_ended(const struct ms_server_link *link, const json_t *ended, GPtrArray *events)
{
    size_t index = 0;
    json_t *report = NULL;
    json_array_foreach((json_t *)ended, index, report)
    {
        struct ms_event_copy *copy = ms_backend_add_event(events, MS_EVENT_TASK_ENDED);
        read_task_id(report, link->name, &copy->event.task);
        read_result(report, copy);
    }
}

/* Adds an event for each task in USAGE. */
static void
report_usage(const struct ms_server_link *link, const json_t *usage, GPtrArray *events)
{
    size_t index = 0;
    json_t *report = NULL;
    json_array_foreach((json_t *)usage, index, report)
    {
        struct ms_event_copy *copy = ms_backend_add_event(events, MS_EVENT_USAGE);
        read_task_id(report, link->name, &copy->event.task);
        copy->event.task.used_accels = (uint32_t)ms_json_get_int(report, "used_accels", 0);
    }
}

/* Handles a sync that was answered with 200. */
static void
handle_sync_answer(struct ms_backend *backend, struct ms_server_link *link, const json_t *answer)
{
    GPtrArray *events = g_ptr_array_new_with_free_func(ms_event_copy_free);
    uint64_t fence = (uint64_t)ms_json_get_int(answer, "fence", 0);
    bool granted = json_is_true(json_object_get(answer, "new")) || !link->acquired;
    link->as_of = ms_json_get_int(answer, "as_of", 0);
    link->last_answer_at = ms_clock_monotonic_ms();
    link->fence = fence;
    if (granted && !json_is_true(json_object_get(answer, "new"))) {
        /*
         * The server renewed a grant that this host had already declared lost:
         * ask for a new grant, whose answer reports all tasks.
         */
        link->fence = 0;
        link->next_sync_at = ms_clock_monotonic_ms();
        g_ptr_array_unref(events);
        return;
    }
    if (granted) {
        if (link->acquired) {
            /* The new grant replaces one that this host had not declared lost. */
            ms_backend_mark_lost(backend, link);
            link->fence = fence;
        }
        link->acquired = true;
        report_grant(link, answer, events);
    }
    if (!link->leaving_reported && json_is_true(json_object_get(answer, "leaving"))) {
        link->leaving_reported = true;
        struct ms_event_copy *copy = ms_backend_add_event(events, MS_EVENT_SERVER_LEAVING);
        g_strlcpy(copy->event.server.name, link->name, MS_NAME_MAX);
    }
    if (!granted) {
        report_ended(link, json_object_get(answer, "ended"), events);
    }
    report_usage(link, json_object_get(answer, "usage"), events);
    ms_backend_send_events(backend, events);
}

void
ms_sync_finish(struct ms_backend *backend, struct ms_server_link *link, CURLcode code)
{
    long status = 0;
    json_t *answer = ms_http_parse_response(link->sync_http, code, &status);
    link->sync_in_flight = false;
    ms_counter_add(backend->counters, MS_COUNT_BACKEND_BYTES,
                   ms_http_transferred_bytes(link->sync_http));
    if (link->removed || backend->generation == 0) {
        json_decref(answer);
        return;
    }
    if (status == 200 && json_is_object(answer)) {
        ms_counter_add(backend->counters, MS_COUNT_LEASE_RENEWALS, 1);
        link->last_sync_failed = false;
        link->next_sync_at = 0;
        handle_sync_answer(backend, link, answer);
    }
    else if (status == 409) {
        link->last_sync_failed = false;
        link->next_sync_at = ms_clock_monotonic_ms() + CONFLICT_RETRY_MS;
        link->fence = 0;
        ms_backend_mark_lost(backend, link);
    }
    else {
        ms_counter_add(backend->counters, MS_COUNT_LEASE_RENEWALS_FAILED, 1);
        link->last_sync_failed = true;
        link->next_sync_at = ms_clock_monotonic_ms() + SYNC_RETRY_MS;
    }
    json_decref(answer);
}
