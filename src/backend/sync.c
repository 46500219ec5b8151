/*
 * sync.c - lease renewals at backend servers.
 *
 * A renewal waits at the server for up to sync_wait_ms and comes back at once
 * when a task ends, so it is also the way by which results arrive.
 */
#include <string.h>

#include "backend/private.h"
#include "obs/clock.h"
#include "obs/log.h"

#define SYNC_REPLY_SLACK_MS 400 /* beyond the wait that the sync asks for */
#define SYNC_RETRY_MS 100       /* after an exchange that failed */
#define HELD_RETRY_MS 250       /* after "held by another host" */

static json_t *
withhold_list(const struct ms_link_state *link)
{
    json_t *list = json_array();
    GHashTableIter iterator;
    gpointer key = NULL;
    g_hash_table_iter_init(&iterator, link->withheld);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        json_array_append_new(list, json_string(key));
    }
    return list;
}

void
ms_sync_start(struct ms_backend *backend, struct ms_link_state *link)
{
    /* A first or repeated sync does not wait: its answer is needed now. */
    bool wait = link->held && !link->sync_failed;
    int64_t wait_ms = wait ? backend->settings->sync_wait_ms : 0;
    json_t *body = json_object();
    json_object_set_new(body, "holder", json_string(backend->settings->name));
    json_object_set_new(body, "epoch", json_integer((json_int_t)backend->epoch));
    json_object_set_new(body, "fence", json_integer((json_int_t)link->fence));
    json_object_set_new(body, "as_of", json_integer(link->as_of));
    json_object_set_new(body, "wait_ms", json_integer(wait_ms));
    if (g_hash_table_size(link->withheld) > 0) {
        json_object_set_new(body, "withhold", withhold_list(link));
    }
    char *url = g_strdup_printf("%s/sync", link->url);
    ms_http_prepare(link->sync, url, body, (long)wait_ms + SYNC_REPLY_SLACK_MS, link->sync_failed);
    g_free(url);
    link->syncing = true;
    ms_http_loop_add(backend->loop, link->sync);
}

/* Copies what identifies a task from a server's report. */
static void
read_task(const json_t *report, const char *server, struct ms_task_event *task)
{
    g_strlcpy(task->server, server, sizeof(task->server));
    ms_json_text(report, "id", task->id, sizeof(task->id));
    task->member = (uint32_t)ms_json_int(report, "member", 0);
    task->attempt = (uint32_t)ms_json_int(report, "attempt", 0);
}

static void
read_result(const json_t *report, struct ms_owned_event *owned)
{
    char result[MS_NAME_MAX];
    ms_json_text(report, "result", result, sizeof(result));
    if (ms_task_result_parse(result, &owned->event.task.result) != MS_OK) {
        owned->event.task.result = MS_TASK_FAILED;
    }
    const json_t *output = json_object_get(report, "output");
    if (json_is_string(output)) {
        owned->output = g_bytes_new(json_string_value(output), json_string_length(output));
        gsize length = 0;
        owned->event.task.output = g_bytes_get_data(owned->output, &length);
        owned->event.task.output_len = length;
    }
}

static void
read_spec(const json_t *report, struct ms_job_spec *spec)
{
    char text[MS_NAME_MAX];
    ms_json_text(report, "account", spec->account, sizeof(spec->account));
    ms_json_text(report, "key", spec->key, sizeof(spec->key));
    spec->tasks = (uint32_t)ms_json_int(report, "tasks", 1);
    spec->accels = (uint32_t)ms_json_int(report, "accels", 0);
    ms_json_text(report, "adjacent", text, sizeof(text));
    ms_adjacency_parse(text, &spec->adjacency);
    ms_json_text(report, "class", text, sizeof(text));
    ms_class_parse(text, &spec->job_class);
    spec->idempotent = json_is_true(json_object_get(report, "idempotent"));
    spec->checkpointable = json_is_true(json_object_get(report, "checkpointable"));
    spec->declared_ms = ms_json_int(report, "declared_ms", 0);
}

static void
report_seen(const struct ms_link_state *link, const json_t *tasks, GPtrArray *events)
{
    size_t index = 0;
    json_t *report = NULL;
    json_array_foreach((json_t *)tasks, index, report)
    {
        char state[MS_NAME_MAX];
        struct ms_owned_event *owned = ms_backend_event(events, MS_EVENT_TASK_SEEN);
        read_task(report, link->name, &owned->event.task);
        read_result(report, owned);
        read_spec(report, &owned->event.task.spec);
        ms_json_text(report, "state", state, sizeof(state));
        owned->event.task.seen = MS_SEEN_RUNNING;
        if (strcmp(state, "prepared") == 0) {
            owned->event.task.seen = MS_SEEN_PREPARED;
        }
        if (strcmp(state, "ended") == 0) {
            owned->event.task.seen = MS_SEEN_ENDED;
        }
    }
}

/* Events of a server that was just granted to this host. */
static void
report_grant(const struct ms_link_state *link, const json_t *answer, GPtrArray *events)
{
    const json_t *tasks = json_object_get(answer, "tasks");
    struct ms_owned_event *owned = ms_backend_event(events, MS_EVENT_SERVER_UP);
    struct ms_server_event *server = &owned->event.server;
    g_strlcpy(server->name, link->name, sizeof(server->name));
    ms_json_text(answer, "rack", server->rack, sizeof(server->rack));
    server->slots = (uint32_t)ms_json_int(answer, "slots", 0);
    server->accels = (uint32_t)ms_json_int(answer, "accels", 0);
    server->seen_count = (uint32_t)json_array_size(tasks);
    report_seen(link, tasks, events);
}

static void
report_ended(const struct ms_link_state *link, const json_t *ended, GPtrArray *events)
{
    size_t index = 0;
    json_t *report = NULL;
    json_array_foreach((json_t *)ended, index, report)
    {
        struct ms_owned_event *owned = ms_backend_event(events, MS_EVENT_TASK_ENDED);
        read_task(report, link->name, &owned->event.task);
        read_result(report, owned);
    }
}

static void
report_usage(const struct ms_link_state *link, const json_t *usage, GPtrArray *events)
{
    size_t index = 0;
    json_t *report = NULL;
    json_array_foreach((json_t *)usage, index, report)
    {
        struct ms_owned_event *owned = ms_backend_event(events, MS_EVENT_USAGE);
        read_task(report, link->name, &owned->event.task);
        owned->event.task.used_accels = (uint32_t)ms_json_int(report, "used_accels", 0);
    }
}

static void
take_answer(struct ms_backend *backend, struct ms_link_state *link, const json_t *answer)
{
    GPtrArray *events = g_ptr_array_new_with_free_func(ms_owned_event_free);
    uint64_t fence = (uint64_t)ms_json_int(answer, "fence", 0);
    bool granted = json_is_true(json_object_get(answer, "new")) || !link->held;
    link->as_of = ms_json_int(answer, "as_of", 0);
    link->last_answer_at = ms_clock_ms();
    link->fence = fence;
    if (granted && !json_is_true(json_object_get(answer, "new"))) {
        /* Held on the server's side, but given up here: ask for a full report. */
        link->fence = 0;
        link->sync_at = ms_clock_ms();
        g_ptr_array_unref(events);
        return;
    }
    if (granted) {
        if (link->held) {
            ms_backend_lost(backend, link);
            link->fence = fence;
        }
        link->held = true;
        report_grant(link, answer, events);
    }
    if (!link->leaving && json_is_true(json_object_get(answer, "leaving"))) {
        link->leaving = true;
        struct ms_owned_event *owned = ms_backend_event(events, MS_EVENT_SERVER_LEAVING);
        g_strlcpy(owned->event.server.name, link->name, MS_NAME_MAX);
    }
    if (!granted) {
        report_ended(link, json_object_get(answer, "ended"), events);
    }
    report_usage(link, json_object_get(answer, "usage"), events);
    ms_backend_tell(backend, events);
}

void
ms_sync_done(struct ms_backend *backend, struct ms_link_state *link, CURLcode code)
{
    long status = 0;
    json_t *answer = ms_http_finish(link->sync, code, &status);
    link->syncing = false;
    ms_counter_add(backend->counters, MS_COUNT_BACKEND_BYTES, ms_http_bytes(link->sync));
    if (link->removed || backend->generation == 0) {
        json_decref(answer);
        return;
    }
    if (status == 200 && json_is_object(answer)) {
        ms_counter_add(backend->counters, MS_COUNT_SYNCS, 1);
        link->sync_failed = false;
        link->sync_at = 0;
        take_answer(backend, link, answer);
    }
    else if (status == 409) {
        link->sync_failed = false;
        link->sync_at = ms_clock_ms() + HELD_RETRY_MS;
        link->fence = 0;
        ms_backend_lost(backend, link);
    }
    else {
        ms_counter_add(backend->counters, MS_COUNT_SYNCS_FAILED, 1);
        link->sync_failed = true;
        link->sync_at = ms_clock_ms() + SYNC_RETRY_MS;
    }
    json_decref(answer);
}
