/*
 * node.c - the decision thread: handles messages, runs timers, shuts down.
 */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "node/private.h"
#include "obs/clock.h"
#include "obs/log.h"
#include "wire/convert.h"

#define NODE_RING_SLOTS 16384
#define MAX_SLEEP_MS 100 /* longest sleep of the thread, and interval of its timers */

void
ms_node_answer(struct ms_node *node, struct ms_call *call, unsigned int status, char *json)
{
    (void)node;
    call->http_status = status;
    call->response_body = json;
    ms_call_complete(call);
}

static void
handle_envelope(struct ms_node *node, const struct ms_peer_message *peer)
{
    const Ms__Wire__Envelope *envelope = peer->envelope;
    struct ms_job_spec spec;
    switch (envelope->body_case) {
    case MS__WIRE__ENVELOPE__BODY_HEARTBEAT:
        ms_members_on_heartbeat(node, peer->name, envelope->heartbeat);
        break;
    case MS__WIRE__ENVELOPE__BODY_SUBMIT:
        if (ms_spec_from_wire(envelope->submit->spec, node->now, &spec) == MS_OK) {
            ms_dc_leader_submit(node, &spec, peer->name, envelope->submit->may_have_run,
                                envelope->submit->trace_parent);
        }
        break;
    case MS__WIRE__ENVELOPE__BODY_RECEIVED:
        ms_jobs_on_received(node, peer->name, envelope->received->id);
        break;
    case MS__WIRE__ENVELOPE__BODY_OUTCOME:
        ms_jobs_on_outcome(node, envelope->outcome);
        break;
    case MS__WIRE__ENVELOPE__BODY_CANCEL:
        ms_dc_leader_cancel(node, envelope->cancel->id, peer->name);
        break;
    case MS__WIRE__ENVELOPE__BODY_FOLLOW:
        ms_dc_leader_subscribe(node, envelope->follow->id, peer->name);
        break;
    case MS__WIRE__ENVELOPE__BODY_QUERY:
        ms_control_answer_query(node, peer->name, envelope->query);
        break;
    case MS__WIRE__ENVELOPE__BODY_QUERY_REPLY:
        ms_control_on_query_reply(node, envelope->query_reply);
        break;
    case MS__WIRE__ENVELOPE__BODY_RECORDS:
        ms_records_apply_from_peer(node, envelope->records);
        break;
    case MS__WIRE__ENVELOPE__BODY_STATE_COPY:
        ms_records_restore_state(node, envelope->state_copy->snapshot.data,
                                 envelope->state_copy->snapshot.len);
        break;
    default:
        break;
    }
}

static void
handle_call(struct ms_node *node, struct ms_call *call)
{
    call->arrived_at = node->now;
    call->deadline_at = node->now + call->wait_ms;
    if (call->start_within_ms > 0) {
        call->spec.deadline_ms = node->now + call->start_within_ms;
    }
    switch (call->kind) {
    case MS_CALL_SUBMIT:
        ms_counter_add(node->counters, MS_COUNT_REQUESTS, 1);
        ms_jobs_submit(node, call);
        break;
    case MS_CALL_JOB_STATUS:
        ms_jobs_query(node, call);
        break;
    case MS_CALL_CANCEL:
        ms_jobs_cancel(node, call);
        break;
    case MS_CALL_EXPLAIN:
    case MS_CALL_RULES_APPLY:
    case MS_CALL_RULES_SHOW:
    case MS_CALL_RULES_HISTORY:
    case MS_CALL_STATE_RESTORE:
    case MS_CALL_STATE_SAVE:
    case MS_CALL_STATUS:
    case MS_CALL_READINESS:
        ms_control_handle_call(node, call);
        break;
    }
}

static void
begin_drain(struct ms_node *node)
{
    if (node->draining) {
        return;
    }
    node->draining = true;
    node->drain_deadline_at = node->now + node->settings->drain_ms;
    ms_log(MS_LOG_NOTICE, "event=drain_begin pending=%u", g_hash_table_size(node->pending_jobs));
    ms_http_server_stop_accepting(node->http_server);
}

static void
handle_message(struct ms_node *node, struct ms_message *message)
{
    switch (message->kind) {
    case MS_MESSAGE_CALL:
        handle_call(node, message->call);
        break;
    case MS_MESSAGE_PEER_UP:
        ms_members_on_peer_up(node, &message->peer);
        break;
    case MS_MESSAGE_PEER_DOWN:
        ms_members_on_peer_down(node, message->peer.name);
        break;
    case MS_MESSAGE_PEER_ENVELOPE:
        handle_envelope(node, &message->peer);
        break;
    case MS_MESSAGE_LOG_RECORDS:
        ms_records_apply_batch(node, &message->records);
        break;
    case MS_MESSAGE_LOG_TRUNCATED:
        ms_records_log_truncated(node, message->offset);
        break;
    case MS_MESSAGE_LOG_REACHABLE:
        node->log_reachable = message->reachable;
        node->log_was_reached |= message->reachable;
        ms_log(MS_LOG_NOTICE, "event=log_state reachable=%d", message->reachable);
        break;
    case MS_MESSAGE_HOST_LIST:
        ms_members_update_list(node, message->host_list);
        break;
    case MS_MESSAGE_BACKEND_EVENTS:
        ms_dc_leader_backend_events(node, &message->backend);
        break;
    case MS_MESSAGE_SHUTDOWN:
        begin_drain(node);
        break;
    }
    ms_message_free(message);
}

/*
 * Ends the thread once no job is pending, this host is not the leader and no
 * change of rules is under way.  Jobs still pending at the drain deadline are
 * refused.  The host steps down as leader at the start of the shutdown, so that another
 * host becomes the leader while this one still waits for outcomes.
 */
static void
check_drained(struct ms_node *node)
{
    if (!node->draining) {
        return;
    }
    bool timed_out = node->now >= node->drain_deadline_at;
    if (timed_out) {
        ms_jobs_refuse_all(node);
    }
    if (g_hash_table_size(node->pending_jobs) == 0 && !node->leader.active &&
        g_queue_is_empty(node->rules_changes)) {
        ms_log(MS_LOG_NOTICE, "event=drain_end late=%d", timed_out);
        atomic_store(&node->finished, true);
    }
}

static void
run_timers(struct ms_node *node)
{
    ms_members_tick(node);
    ms_dc_leader_tick(node);
    ms_jobs_tick(node);
    ms_records_tick(node);
    ms_control_tick(node);
    check_drained(node);
}

static void *
node_thread(void *opaque)
{
    struct ms_node *node = opaque;
    int64_t next_timers_at = 0;
    while (!atomic_load(&node->finished)) {
        struct ms_message *message = NULL;
        node->now = ms_clock_monotonic_ms();
        int64_t next = MIN(next_timers_at, ms_dc_leader_next_tick(node));
        ms_ring_wait(node->ring, (int)CLAMP(next - node->now, 0, MAX_SLEEP_MS));
        node->now = ms_clock_monotonic_ms();
        while ((message = ms_ring_pop(node->ring)) != NULL) {
            handle_message(node, message);
            if (node->dispatch_due) {
                ms_jobs_dispatch_due(node);
            }
        }
        if (node->now >= MIN(next_timers_at, ms_dc_leader_next_tick(node))) {
            run_timers(node);
            next_timers_at = MIN(node->now + MAX_SLEEP_MS, node->next_heartbeat_at);
        }
    }
    return NULL;
}

static struct ms_node *
node_new(const struct ms_settings *settings, struct ms_counters *counters, FILE *trace_file)
{
    struct ms_node *node = g_new0(struct ms_node, 1);
    node->settings = settings;
    node->counters = counters;
    node->trace_file = trace_file;
    node->now = ms_clock_monotonic_ms();
    node->started_at = node->now;
    node->last_snapshot_at = node->now;
    node->incarnation = ((uint64_t)g_random_int() << 20) ^ (uint64_t)g_get_real_time();
    node->logstate = ms_logstate_new();
    node->relay_buffer = g_queue_new();
    node->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    node->servers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    node->dc_regions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    node->pending_jobs = g_hash_table_new(g_str_hash, g_str_equal);
    node->dc_last_alive_at = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    node->rules_changes = g_queue_new();
    node->explain_queries = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    node->token_requests = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    node->spans = ms_spans_new();
    node->ring = ms_ring_new(NODE_RING_SLOTS);
    return node;
}

static void
node_free(struct ms_node *node)
{
    struct ms_message *message = NULL;
    while (node->ring != NULL && (message = ms_ring_pop(node->ring)) != NULL) {
        ms_message_free(message);
    }
    ms_jobs_free(node);
    ms_control_free(node);
    ms_records_free_relay_buffer(node);
    ms_logstate_free(node->logstate);
    g_hash_table_destroy(node->hosts);
    g_hash_table_destroy(node->servers);
    g_hash_table_destroy(node->dc_regions);
    g_hash_table_destroy(node->dc_last_alive_at);
    g_hash_table_destroy(node->token_requests);
    ms_spans_free(node->spans);
    ms_ring_free(node->ring);
    g_free(node);
}

struct ms_node *
ms_node_start(const struct ms_settings *settings, struct ms_counters *counters, FILE *trace_file,
              char *error, size_t size)
{
    struct ms_node *node = node_new(settings, counters, trace_file);
    const char *component = "the message queue";
    if (node->ring == NULL) {
        goto fail;
    }
    component = "the peer address";
    node->peers = ms_peers_start(settings, counters, node->ring);
    if (node->peers == NULL) {
        goto fail;
    }
    component = "the links to backend servers";
    node->backend = ms_backend_start(settings, counters, node->ring);
    if (node->backend == NULL) {
        goto fail;
    }
    component = "the platform threads";
    node->platform = ms_platform_start(settings, counters, node->ring);
    if (node->platform == NULL) {
        goto fail;
    }
    component = "the caller address";
    node->http_server = ms_http_server_start(settings, counters, node->ring);
    if (node->http_server == NULL) {
        goto fail;
    }
    ms_members_init(node);
    component = "the decision thread";
    if (pthread_create(&node->thread, NULL, node_thread, node) != 0) {
        goto fail;
    }
    return node;

fail:
    g_snprintf(error, (gulong)size, "%s could not be set up", component);
    ms_http_server_stop(node->http_server);
    ms_platform_stop(node->platform);
    ms_backend_stop(node->backend);
    ms_peers_stop(node->peers);
    node_free(node);
    return NULL;
}

void
ms_node_shutdown(struct ms_node *node)
{
    struct ms_message *message = ms_message_new(MS_MESSAGE_SHUTDOWN);
    while (!ms_ring_push(node->ring, message)) {
        g_usleep(1000);
    }
}

bool
ms_node_finished(const struct ms_node *node)
{
    return atomic_load(&node->finished);
}

void
ms_node_stop(struct ms_node *node)
{
    if (node == NULL) {
        return;
    }
    atomic_store(&node->finished, true);
    ms_ring_wake(node->ring);
    pthread_join(node->thread, NULL);
    ms_dc_leader_end(node, "stop");
    ms_http_server_stop(node->http_server);
    ms_platform_stop(node->platform);
    ms_backend_stop(node->backend);
    ms_peers_stop(node->peers);
    node_free(node);
}
