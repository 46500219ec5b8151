/*
 * control.c - requests of operators: status, rules, explanations of jobs and
 * copies of the state.  Also updates the gauges of the metrics.
 */
#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "node/private.h"
#include "obs/log.h"

#define QUERY_TIMEOUT_MS 2000  /* how long other hosts have to answer a query about a job */
#define GAUGES_INTERVAL_MS 250 /* between two updates of the gauges */

/* The reply body {"error": ERROR}; freed with free(). */
char *
ms_json_error(const char *error)
{
    json_t *root = json_object();
    json_object_set_new(root, "error", json_string(error));
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}

char *
ms_json_dump(json_t *root)
{
    char *text = json_dumps(root, JSON_INDENT(1));
    json_decref(root);
    return text;
}

void
ms_control_tick(struct ms_node *node)
{
    ms_rules_change_tick(node);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, node->explain_queries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct ms_call *call = value;
        if (node->now - call->arrived_at >= QUERY_TIMEOUT_MS) {
            g_hash_table_iter_remove(&iterator);
            ms_node_answer(node, call, 404, ms_json_error("no host knows this job"));
        }
    }
    if (node->now >= node->next_gauges_at) {
        node->next_gauges_at = node->now + GAUGES_INTERVAL_MS;
        ms_control_update_gauges(node);
    }
}

static void
show_rules(struct ms_node *node, struct ms_call *call)
{
    json_t *array = json_array();
    GPtrArray *rules = ms_logstate_active_rules(node->logstate);
    for (guint i = 0; i < rules->len; i++) {
        const struct ms_rule_entry *entry = g_ptr_array_index(rules, i);
        json_t *rule = json_object();
        json_object_set_new(rule, "line", json_string(entry->parsed.text));
        json_object_set_new(rule, "requester", json_string(entry->parsed.requester));
        json_object_set_new(rule, "version", json_integer((json_int_t)entry->version));
        json_array_append_new(array, rule);
    }
    g_ptr_array_free(rules, TRUE);
    json_t *root = json_object();
    json_object_set_new(root, "version",
                        json_integer((json_int_t)ms_logstate_rules_version(node->logstate)));
    json_object_set_new(root, "applied",
                        json_integer((json_int_t)ms_logstate_next_offset(node->logstate)));
    json_object_set_new(root, "rules", array);
    ms_node_answer(node, call, 200, ms_json_dump(root));
}

static void
show_history(struct ms_node *node, struct ms_call *call)
{
    json_t *array = json_array();
    const GQueue *history = ms_logstate_rule_history(node->logstate);
    for (GList *link = history->head; link != NULL; link = link->next) {
        const struct ms_rule_history_entry *entry = link->data;
        json_t *change = json_object();
        json_object_set_new(change, "version", json_integer((json_int_t)entry->version));
        json_object_set_new(change, "key", json_string(entry->key));
        json_object_set_new(change, "line", json_string(entry->text));
        json_object_set_new(change, "requester", json_string(entry->requester));
        json_object_set_new(change, "taken", json_boolean(entry->accepted));
        json_object_set_new(change, "reason", json_string(entry->reason));
        json_array_append_new(array, change);
    }
    json_t *root = json_object();
    json_object_set_new(root, "history", array);
    ms_node_answer(node, call, 200, ms_json_dump(root));
}

static json_t *
host_json(const struct ms_node *node, const struct ms_host *host)
{
    json_t *object = json_object();
    json_object_set_new(object, "name", json_string(host->name));
    json_object_set_new(object, "dc", json_string(host->dc));
    json_object_set_new(object, "alive", json_boolean(ms_host_is_alive(node, host)));
    json_object_set_new(object, "draining", json_boolean(host->draining));
    json_object_set_new(object, "places", json_boolean(host->is_leader));
    json_object_set_new(object, "applied", json_integer((json_int_t)host->next_offset));
    json_object_set_new(object, "log_reachable", json_boolean(host->log_reachable));
    return object;
}

static json_t *
dc_json(const struct ms_node *node, const char *dc)
{
    struct ms_dc_summary summary;
    json_t *object = json_object();
    const char *leader = ms_members_leader(node, dc);
    json_object_set_new(object, "name", json_string(dc));
    json_object_set_new(object, "region", json_string(ms_members_dc_region(node, dc)));
    json_object_set_new(object, "out", json_boolean(ms_logstate_dc_is_out(node->logstate, dc)));
    json_object_set_new(object, "placed_by", json_string(leader != NULL ? leader : ""));
    if (ms_members_dc_summary(node, dc, &summary)) {
        json_object_set_new(object, "servers", json_integer(summary.servers));
        json_object_set_new(object, "accels", json_integer(summary.accels));
        json_object_set_new(object, "accels_free", json_integer(summary.accels_free));
        json_object_set_new(object, "waiting", json_integer(summary.waiting));
        json_object_set_new(object, "running", json_integer(summary.running));
        json_object_set_new(object, "quarantined", json_integer(summary.quarantined));
        json_object_set_new(object, "guarantees_unmet", json_integer(summary.guarantees_unmet));
    }
    return object;
}

static void
show_status(struct ms_node *node, struct ms_call *call)
{
    json_t *hosts = json_array();
    json_t *dcs = json_array();
    GHashTableIter iterator;
    gpointer key = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, node->hosts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        json_array_append_new(hosts, host_json(node, value));
    }
    g_hash_table_iter_init(&iterator, node->dc_regions);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        json_array_append_new(dcs, dc_json(node, key));
    }
    json_t *root = json_object();
    json_object_set_new(root, "name", json_string(node->settings->name));
    json_object_set_new(root, "dc", json_string(node->settings->dc));
    json_object_set_new(root, "version", json_string(MS_VERSION));
    json_object_set_new(root, "places", json_boolean(node->leader.active));
    json_object_set_new(root, "settled",
                        json_boolean(node->leader.active && node->leader.starts_allowed));
    json_object_set_new(root, "epoch", json_integer((json_int_t)node->leader.epoch));
    json_object_set_new(root, "draining", json_boolean(node->draining));
    json_object_set_new(root, "log_reachable", json_boolean(node->log_reachable));
    json_object_set_new(root, "applied",
                        json_integer((json_int_t)ms_logstate_next_offset(node->logstate)));
    json_object_set_new(root, "pending", json_integer(g_hash_table_size(node->pending_jobs)));
    json_object_set_new(root, "hosts", hosts);
    json_object_set_new(root, "dcs", dcs);
    ms_node_answer(node, call, 200, ms_json_dump(root));
}

/*
 * Ready: the rules are known, at least one data centre has a leader, and this
 * host is not draining.
 */
static void
show_ready(struct ms_node *node, struct ms_call *call)
{
    bool has_leader = false;
    GHashTableIter iterator;
    gpointer key = NULL;
    g_hash_table_iter_init(&iterator, node->dc_regions);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        has_leader |= ms_members_leader(node, key) != NULL;
    }
    bool ready = ms_logstate_is_complete(node->logstate) &&
                 ms_logstate_next_offset(node->logstate) > 0 && has_leader && !node->draining;
    json_t *root = json_object();
    json_object_set_new(root, "ready", json_boolean(ready));
    ms_node_answer(node, call, ready ? 200 : 503, ms_json_dump(root));
}

/* Replies with a packed copy of the state, for a host that cannot reach the log. */
static void
copy_state(struct ms_node *node, struct ms_call *call)
{
    GByteArray *bytes = ms_logstate_pack_snapshot(node->logstate);
    char *encoded = g_base64_encode(bytes->data, bytes->len);
    json_t *root = json_object();
    json_object_set_new(root, "applied",
                        json_integer((json_int_t)ms_logstate_next_offset(node->logstate)));
    json_object_set_new(root, "state", json_string(encoded));
    ms_node_answer(node, call, 200, ms_json_dump(root));
    g_free(encoded);
    g_byte_array_unref(bytes);
}

/* Restores a copy of the state that an operator brings to a host that cannot reach the log. */
static void
restore_state(struct ms_node *node, struct ms_call *call)
{
    json_t *root = json_loads(call->request_body, 0, NULL);
    const char *encoded = json_string_value(json_object_get(root, "state"));
    if (encoded == NULL) {
        ms_node_answer(node, call, 400, ms_json_error("state: a string is required"));
    }
    else {
        gsize length = 0;
        guchar *bytes = g_base64_decode(encoded, &length);
        ms_records_restore_state(node, bytes, length);
        g_free(bytes);
        json_t *reply = json_object();
        json_object_set_new(reply, "applied",
                            json_integer((json_int_t)ms_logstate_next_offset(node->logstate)));
        ms_node_answer(node, call, 200, ms_json_dump(reply));
    }
    json_decref(root);
}

/* Appends to TEXT what this host knows about a job; false when it knows nothing. */
static bool
describe_job(const struct ms_node *node, const char *id, GString *text)
{
    char explanation[512];
    gsize before = text->len;
    if (node->leader.active &&
        ms_sched_explain(node->leader.sched, id, explanation, sizeof(explanation)) == MS_OK) {
        g_string_append_printf(text, "%s\n", explanation);
    }
    const Ms__Wire__Outcome *done = ms_logstate_outcome(node->logstate, id);
    if (done != NULL) {
        g_string_append_printf(text, "log: %s, ran=%s, in %s on %s: %s\n",
                               ms_outcome_name((enum ms_outcome_code)done->code),
                               ms_ran_name((enum ms_ran)done->ran), done->dc, done->server,
                               done->detail);
    }
    const struct ms_accepted_job *accept = ms_logstate_accepted_job(node->logstate, id);
    if (accept != NULL) {
        g_string_append_printf(text, "log: accepted for %s, no outcome yet\n", accept->dc);
    }
    const struct ms_pending_job *pending = g_hash_table_lookup(node->pending_jobs, id);
    if (pending != NULL && pending->has_spec) {
        g_string_append_printf(text, "%s: with %s in %s, sent %u times%s\n", node->settings->name,
                               pending->leader_host[0] != '\0' ? pending->leader_host : "no host",
                               pending->dc[0] != '\0' ? pending->dc : "no data centre",
                               pending->send_count, pending->may_have_run ? ", may have run" : "");
    }
    ms_spans_append_text(node->spans, id, text);
    return text->len > before;
}

/*
 * Collects what this host knows about a job and asks every leader that is
 * another host.  When none can be asked, the operator is answered at once.
 * Otherwise call->request_body, which an EXPLAIN request does not use, stores the
 * text of this host until a reply arrives.
 */
static void
explain_job(struct ms_node *node, struct ms_call *call)
{
    GString *text = g_string_new(NULL);
    bool found = describe_job(node, call->id, text);
    Ms__Wire__Envelope envelope;
    Ms__Wire__Query query;
    GHashTableIter iterator;
    gpointer key = NULL;
    call->request_body = g_string_free(text, FALSE);
    uint64_t request_number = ++node->last_query_number;
    ms__wire__envelope__init(&envelope);
    ms__wire__query__init(&query);
    query.id = call->id;
    query.request = request_number;
    envelope.body_case = MS__WIRE__ENVELOPE__BODY_QUERY;
    envelope.query = &query;
    bool query_sent = false;
    g_hash_table_iter_init(&iterator, node->dc_regions);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        const char *leader = ms_members_leader(node, key);
        if (leader != NULL && strcmp(leader, node->settings->name) != 0) {
            query_sent |= ms_peers_send(node->peers, leader, &envelope);
        }
    }
    if (query_sent) {
        g_hash_table_insert(node->explain_queries,
                            g_memdup2(&request_number, sizeof(request_number)), call);
        return;
    }
    json_t *root = json_object();
    json_object_set_new(root, "explanation", json_string(call->request_body));
    ms_node_answer(node, call, found ? 200 : 404, ms_json_dump(root));
}

/* Answers the query of another host about a job. */
void
ms_control_answer_query(struct ms_node *node, const char *from, const Ms__Wire__Query *query)
{
    Ms__Wire__Envelope envelope;
    Ms__Wire__QueryReply reply;
    GString *text = g_string_new(NULL);
    ms__wire__envelope__init(&envelope);
    ms__wire__query_reply__init(&reply);
    reply.id = query->id;
    reply.request = query->request;
    reply.found = describe_job(node, query->id, text);
    reply.text = text->str;
    envelope.body_case = MS__WIRE__ENVELOPE__BODY_QUERY_REPLY;
    envelope.query_reply = &reply;
    ms_peers_send(node->peers, from, &envelope);
    g_string_free(text, TRUE);
}

/*
 * Answers the operator with what this host and the first replying host know.  A
 * reply without information is ignored while this host knows nothing either.
 */
void
ms_control_on_query_reply(struct ms_node *node, const Ms__Wire__QueryReply *reply)
{
    struct ms_call *call = g_hash_table_lookup(node->explain_queries, &reply->request);
    if (call == NULL || (!reply->found && call->request_body[0] == '\0')) {
        return;
    }
    g_hash_table_remove(node->explain_queries, &reply->request);
    char *full_text = g_strconcat(call->request_body, reply->text, NULL);
    json_t *root = json_object();
    json_object_set_new(root, "explanation", json_string(full_text));
    g_free(full_text);
    ms_node_answer(node, call, 200, ms_json_dump(root));
}

/* Handles a request of an operator; those of callers are handled by pending_jobs.c. */
void
ms_control_handle_call(struct ms_node *node, struct ms_call *call)
{
    switch (call->kind) {
    case MS_CALL_EXPLAIN:
        explain_job(node, call);
        break;
    case MS_CALL_RULES_APPLY:
        ms_rules_change_begin(node, call);
        break;
    case MS_CALL_RULES_SHOW:
        show_rules(node, call);
        break;
    case MS_CALL_RULES_HISTORY:
        show_history(node, call);
        break;
    case MS_CALL_STATE_RESTORE:
        restore_state(node, call);
        break;
    case MS_CALL_STATE_SAVE:
        copy_state(node, call);
        break;
    case MS_CALL_STATUS:
        show_status(node, call);
        break;
    case MS_CALL_READINESS:
        show_ready(node, call);
        break;
    case MS_CALL_SUBMIT:
    case MS_CALL_JOB_STATUS:
    case MS_CALL_CANCEL:
        break; /* handled by pending_jobs.c */
    }
}

/* Updates the gauges; those of the decision core are 0 while this host is not a leader. */
void
ms_control_update_gauges(struct ms_node *node)
{
    struct ms_sched_stats stats = {0};
    struct ms_logstate_counts counts;
    uint64_t alive = 0;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, node->hosts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        alive += ms_host_is_alive(node, value) ? 1 : 0;
    }
    if (node->leader.active) {
        ms_sched_stats(node->leader.sched, &stats);
    }
    ms_logstate_counts(node->logstate, &counts);
    struct ms_counters *counters = node->counters;
    ms_counter_set(counters, MS_GAUGE_LEADER, node->leader.active);
    ms_counter_set(counters, MS_GAUGE_EPOCH, node->leader.epoch);
    ms_counter_set(counters, MS_GAUGE_APPLIED_OFFSET, ms_logstate_next_offset(node->logstate));
    ms_counter_set(counters, MS_GAUGE_LOG_REACHABLE, node->log_reachable);
    ms_counter_set(counters, MS_GAUGE_PEERS_ALIVE, alive);
    ms_counter_set(counters, MS_GAUGE_SERVERS, stats.servers);
    ms_counter_set(counters, MS_GAUGE_ACCELS_FREE, stats.accels_free);
    ms_counter_set(counters, MS_GAUGE_JOBS_WAITING, stats.waiting);
    ms_counter_set(counters, MS_GAUGE_TASKS_RUNNING, stats.running);
    ms_counter_set(counters, MS_GAUGE_ACCELS_STRANDED, stats.stranded);
    ms_counter_set(counters, MS_GAUGE_GUARANTEES_UNMET, stats.guarantees_unmet);
    ms_counter_set(counters, MS_GAUGE_RUN_TOKENS, counts.tokens);
    ms_counter_set(counters, MS_GAUGE_ACCEPTED, counts.accepted_jobs);
    ms_counter_set(counters, MS_GAUGE_OUTCOMES, counts.outcomes);
}

void
ms_control_free(struct ms_node *node)
{
    ms_rules_change_free_all(node);
    g_hash_table_destroy(node->explain_queries);
}
