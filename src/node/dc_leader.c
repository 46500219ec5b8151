/*
 * dc_leader.c - work of this host as the leader of its data centre.
 *
 * Passes events from the backend servers, the log and the other hosts to the
 * decision core, and executes the actions that the core returns.
 */
#include <stdio.h>
#include <string.h>

#include "node/private.h"
#include "obs/log.h"
#include "wire/convert.h"

#define SETTLE_MAX_MS 1500 /* longest wait for all servers before jobs may start */
#define SETTLE_MIN_MS 50   /* shortest wait, even when all servers are leased */
#define LOGGED_OUTPUT_MAX_BYTES (256u << 10) /* larger outputs are left out of the log */
#define OUTCOME_APPEND_TIMEOUT_MS 3600000    /* one hour: an outcome is worth many retries */
#define TOKEN_APPEND_TIMEOUT_MS 2000

static void execute_action(struct ms_node *node, const struct ms_action *action);

void
ms_dc_leader_step(struct ms_node *node, const struct ms_event *event)
{
    if (node->leader.in_core_step) {
        g_error("event=core_step_within_step kind=%d", event->kind);
    }
    if (node->trace_file != NULL) {
        char *line = ms_trace_event(event, node->now);
        fprintf(node->trace_file, "%s\n", line);
        ms_trace_release(line);
    }
    int64_t step_started_us = g_get_monotonic_time();
    enum ms_result result = ms_sched_step(node->leader.sched, event, node->now);
    ms_counter_add(node->counters, MS_COUNT_CORE_EVENTS, 1);
    ms_counter_add(node->counters, MS_COUNT_CORE_TIME_US,
                   (uint64_t)(g_get_monotonic_time() - step_started_us));
    if (result != MS_OK) {
        ms_log(MS_LOG_WARNING, "event=core_refused_event kind=%d reason=%s", event->kind,
               ms_result_name(result));
        return;
    }
    node->leader.in_core_step = true;
    size_t count = ms_sched_action_count(node->leader.sched);
    for (size_t i = 0; i < count; i++) {
        execute_action(node, ms_sched_action(node->leader.sched, i));
    }
    node->leader.in_core_step = false;
}

/* Appends a record that claims the run token of a non-idempotent job. */
static void
request_token(struct ms_node *node, const struct ms_action *action)
{
    Ms__Wire__LogRecord record;
    Ms__Wire__Token token;
    char writer[MS_NAME_MAX];
    struct ms_token_request *request = g_new0(struct ms_token_request, 1);
    g_strlcpy(request->id, action->id, sizeof(request->id));
    request->attempt = action->token.attempt;
    request->deadline_at = node->now + TOKEN_APPEND_TIMEOUT_MS;
    ms__wire__log_record__init(&record);
    ms__wire__token__init(&token);
    token.id = (char *)action->id;
    token.dc = (char *)node->settings->dc;
    token.holder = (char *)node->settings->name;
    token.epoch = node->leader.epoch;
    token.attempt = action->token.attempt;
    token.servers = (char **)action->token.servers;
    token.n_servers = action->token.server_count;
    record.body_case = MS__WIRE__LOG_RECORD__BODY_TOKEN;
    record.token = &token;
    if (!node->log_reachable ||
        !ms_records_append(node, &record, writer, TOKEN_APPEND_TIMEOUT_MS)) {
        /*
         * The core is in the middle of a step and cannot take the answer now.  An
         * expired request makes a later tick answer MS_TOKEN_UNAVAILABLE.
         */
        request->deadline_at = node->now;
        snprintf(writer, sizeof(writer), "none.%" G_GUINT64_FORMAT, ++node->writer_count);
    }
    g_hash_table_replace(node->token_requests, g_strdup(writer), request);
}

void
ms_dc_leader_token_answered(struct ms_node *node, const char *writer, enum ms_token_answer answer)
{
    const struct ms_token_request *request = g_hash_table_lookup(node->token_requests, writer);
    if (request == NULL) {
        return;
    }
    struct ms_event event = {.kind = MS_EVENT_TOKEN_ANSWER};
    g_strlcpy(event.token.id, request->id, sizeof(event.token.id));
    event.token.attempt = request->attempt;
    event.token.answer = answer;
    g_hash_table_remove(node->token_requests, writer);
    if (node->leader.active) {
        ms_dc_leader_step(node, &event);
    }
}

static void
outcome_to_wire(const struct ms_node *node, const struct ms_action *action,
                Ms__Wire__Outcome *message)
{
    const struct ms_outcome_action *outcome = &action->outcome;
    ms__wire__outcome__init(message);
    message->id = (char *)action->id;
    message->code = outcome->code;
    message->ran = outcome->ran;
    message->detail = (char *)outcome->detail;
    message->server = (char *)outcome->server;
    message->dc = (char *)node->settings->dc;
    message->output.data = (uint8_t *)outcome->output;
    message->output.len = outcome->output_len;
    message->queued_ms = outcome->queued_ms;
    message->ran_ms = outcome->ran_ms;
}

/* Appends the outcome of an accepted or non-idempotent job to the log. */
static void
log_outcome(struct ms_node *node, const Ms__Wire__Outcome *outcome)
{
    Ms__Wire__LogRecord record;
    Ms__Wire__Done done;
    Ms__Wire__Outcome logged = *outcome;
    if (logged.output.len > LOGGED_OUTPUT_MAX_BYTES) {
        logged.output.len = 0;
        logged.output_omitted = true;
        logged.detail = "all tasks ended well; the output was too large for the log";
    }
    ms__wire__log_record__init(&record);
    ms__wire__done__init(&done);
    done.outcome = &logged;
    record.body_case = MS__WIRE__LOG_RECORD__BODY_DONE;
    record.done = &done;
    ms_records_append(node, &record, NULL, OUTCOME_APPEND_TIMEOUT_MS);
}

/* Sends the outcome to the subscribers of the job, and removes them. */
static void
send_to_subscribers(struct ms_node *node, const Ms__Wire__Outcome *outcome)
{
    Ms__Wire__Envelope envelope;
    GPtrArray *subscribers = g_hash_table_lookup(node->leader.subscribers, outcome->id);
    ms__wire__envelope__init(&envelope);
    envelope.body_case = MS__WIRE__ENVELOPE__BODY_OUTCOME;
    envelope.outcome = (Ms__Wire__Outcome *)outcome;
    for (guint i = 0; subscribers != NULL && i < subscribers->len; i++) {
        const char *name = g_ptr_array_index(subscribers, i);
        if (strcmp(name, node->settings->name) == 0) {
            ms_jobs_on_outcome(node, outcome);
        }
        else {
            ms_peers_send(node->peers, name, &envelope);
        }
    }
    g_hash_table_remove(node->leader.subscribers, outcome->id);
}

/*
 * Handles the end of a job in the core.  An accepted job that did not run and was
 * not cancelled is relocated to another data centre if possible.  Otherwise the
 * outcome is appended to the log, if the job was accepted or has a run token, and
 * sent to the subscribers.  MS_OUTCOME_DUPLICATE is not logged: another leader has
 * the run token and logs the outcome.
 */
static void
handle_job_end(struct ms_node *node, const struct ms_action *action)
{
    const struct ms_outcome_action *outcome = &action->outcome;
    Ms__Wire__Outcome message;
    struct ms_span span;
    char span_text[MS_DETAIL_MAX];
    outcome_to_wire(node, action, &message);
    ms_span_begin(&span, action->id, "place",
                  g_hash_table_lookup(node->leader.trace_parents, action->id));
    g_hash_table_remove(node->leader.trace_parents, action->id);
    span.start_ms -= outcome->queued_ms + outcome->ran_ms;
    snprintf(span_text, sizeof(span_text),
             "%s in %s on %s: waited %" G_GINT64_FORMAT " ms, ran %" G_GINT64_FORMAT " ms",
             ms_outcome_name(outcome->code), node->settings->dc, outcome->server,
             outcome->queued_ms, outcome->ran_ms);
    ms_span_end(node->spans, &span, span_text);
    bool accepted = ms_logstate_accepted_job(node->logstate, action->id) != NULL;
    bool has_token = ms_logstate_token(node->logstate, action->id) != NULL;
    bool is_duplicate = outcome->code == MS_OUTCOME_DUPLICATE;
    if (accepted && outcome->ran == MS_RAN_NO && outcome->code != MS_OUTCOME_CANCELLED &&
        ms_relocate_job(node, action->id, outcome->detail)) {
        g_hash_table_remove(node->leader.subscribers, action->id);
        return;
    }
    if (!is_duplicate && (accepted || has_token)) {
        log_outcome(node, &message);
    }
    send_to_subscribers(node, &message);
}

static void
send_task_op(struct ms_node *node, const struct ms_action *action)
{
    if (ms_backend_send_task_op(node->backend, action)) {
        return;
    }
    /* The core repeats the operation after its timeout. */
    ms_counter_add(node->counters, MS_COUNT_QUEUE_FULL, 1);
    ms_log(MS_LOG_WARNING, "event=backend_ring_full job=%s op=%s", action->id,
           ms_op_name(action->task.op));
}

static void
execute_action(struct ms_node *node, const struct ms_action *action)
{
    switch (action->kind) {
    case MS_ACTION_TASK:
        send_task_op(node, action);
        break;
    case MS_ACTION_TOKEN:
        request_token(node, action);
        break;
    case MS_ACTION_OUTCOME:
        handle_job_end(node, action);
        break;
    }
}

/* While paused, the core starts no jobs. */
static void
set_core_paused(struct ms_node *node, bool pause)
{
    struct ms_event event = {.kind = MS_EVENT_PAUSE, .pause = pause};
    ms_dc_leader_step(node, &event);
}

void
ms_dc_leader_begin(struct ms_node *node, uint64_t epoch)
{
    if (node->leader.active) {
        return;
    }
    struct ms_dc_leader *leader = &node->leader;
    leader->active = true;
    leader->epoch = epoch;
    leader->generation++;
    leader->began_at = node->now;
    leader->starts_allowed = false;
    leader->sched = ms_sched_new(node->settings->dc, &node->settings->limits, NULL);
    leader->subscribers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
    leader->trace_parents = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    leader->leased_servers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    ms_counter_add(node->counters, MS_COUNT_TAKEOVERS, 1);
    ms_log(MS_LOG_NOTICE, "event=claim dc=%s epoch=%" G_GUINT64_FORMAT, node->settings->dc, epoch);
    set_core_paused(node, true);
    GPtrArray *rules = ms_logstate_active_rules(node->logstate);
    for (guint i = 0; i < rules->len; i++) {
        const struct ms_rule_entry *entry = g_ptr_array_index(rules, i);
        ms_dc_leader_apply_rule(node, &entry->parsed.rule);
    }
    g_ptr_array_free(rules, TRUE);
    ms_backend_acquire(node->backend, leader->generation, epoch);
    GPtrArray *ids = ms_logstate_accepted_job_ids(node->logstate);
    for (guint i = 0; i < ids->len; i++) {
        ms_dc_leader_job_accepted(node, g_ptr_array_index(ids, i));
    }
    g_ptr_array_free(ids, TRUE);
    ms_members_send_heartbeats(node);
}

void
ms_dc_leader_confirm_epoch(struct ms_node *node, uint64_t epoch)
{
    node->leader.epoch = epoch;
    ms_log(MS_LOG_NOTICE, "event=claim_confirmed dc=%s epoch=%" G_GUINT64_FORMAT,
           node->settings->dc, epoch);
    ms_members_send_heartbeats(node);
}

void
ms_dc_leader_end(struct ms_node *node, const char *reason)
{
    struct ms_dc_leader *leader = &node->leader;
    if (!leader->active) {
        return;
    }
    ms_log(MS_LOG_NOTICE, "event=claim_end dc=%s epoch=%" G_GUINT64_FORMAT " reason=\"%s\"",
           node->settings->dc, leader->epoch, reason);
    leader->active = false;
    ms_backend_release(node->backend);
    ms_sched_free(leader->sched);
    leader->sched = NULL;
    g_hash_table_destroy(leader->subscribers);
    g_hash_table_destroy(leader->trace_parents);
    g_hash_table_destroy(leader->leased_servers);
    g_hash_table_remove_all(node->token_requests);
    ms_members_send_heartbeats(node);
    ms_jobs_host_lost(node, node->settings->name);
}

void
ms_dc_leader_backend_events(struct ms_node *node, const struct ms_backend_message *message)
{
    if (!node->leader.active || message->generation != node->leader.generation) {
        return;
    }
    for (guint i = 0; i < message->events->len && node->leader.active; i++) {
        const struct ms_event_copy *copy = g_ptr_array_index(message->events, i);
        if (copy->event.kind == MS_EVENT_SERVER_UP) {
            g_hash_table_add(node->leader.leased_servers, g_strdup(copy->event.server.name));
        }
        if (copy->event.kind == MS_EVENT_SERVER_LOST) {
            g_hash_table_remove(node->leader.leased_servers, copy->event.server.name);
        }
        ms_dc_leader_step(node, &copy->event);
    }
}

/* Makes the host SUBSCRIBER a subscriber of job ID, unless it is one already. */
static void
add_subscriber(struct ms_node *node, const char *id, const char *subscriber)
{
    GPtrArray *subscribers = g_hash_table_lookup(node->leader.subscribers, id);
    if (subscribers == NULL) {
        subscribers = g_ptr_array_new_with_free_func(g_free);
        g_hash_table_insert(node->leader.subscribers, g_strdup(id), subscribers);
    }
    for (guint i = 0; i < subscribers->len; i++) {
        if (strcmp(g_ptr_array_index(subscribers, i), subscriber) == 0) {
            return;
        }
    }
    g_ptr_array_add(subscribers, g_strdup(subscriber));
}

static void
send_received(struct ms_node *node, const char *id, const char *subscriber)
{
    Ms__Wire__Envelope envelope;
    Ms__Wire__Received received;
    ms__wire__envelope__init(&envelope);
    ms__wire__received__init(&received);
    received.id = (char *)id;
    envelope.body_case = MS__WIRE__ENVELOPE__BODY_RECEIVED;
    envelope.received = &received;
    ms_peers_send(node->peers, subscriber, &envelope);
}

void
ms_dc_leader_submit(struct ms_node *node, const struct ms_job_spec *spec, const char *subscriber,
                    bool may_have_run, const char *trace_parent)
{
    struct ms_event event = {.kind = MS_EVENT_SUBMIT};
    char id[MS_ID_MAX];
    snprintf(id, sizeof(id), "%s/%s", spec->account, spec->key);
    if (!node->leader.active) {
        return; /* without a receipt, the sender sends it again or finds another leader */
    }
    bool from_self = strcmp(subscriber, node->settings->name) == 0;
    add_subscriber(node, id, subscriber);
    if (trace_parent[0] != '\0') {
        g_hash_table_replace(node->leader.trace_parents, g_strdup(id), g_strdup(trace_parent));
    }
    if (from_self) {
        ms_jobs_on_received(node, subscriber, id);
    }
    else {
        send_received(node, id, subscriber);
    }
    const Ms__Wire__Outcome *done = ms_logstate_outcome(node->logstate, id);
    if (done != NULL && !done->output_omitted) {
        send_to_subscribers(node, done); /* it has ended, perhaps under an earlier leader */
        return;
    }
    const Ms__Wire__Token *token = ms_logstate_token(node->logstate, id);
    bool may_have_run_before =
        done != NULL || (token != NULL && (token->epoch != node->leader.epoch ||
                                           strcmp(token->holder, node->settings->name) != 0));
    event.submit.spec = *spec;
    /* A non-idempotent job cannot have run without a token in the log. */
    event.submit.may_have_run = spec->idempotent ? may_have_run : may_have_run_before;
    ms_dc_leader_step(node, &event);
}

/* If the job has already ended, the core repeats its outcome. */
void
ms_dc_leader_subscribe(struct ms_node *node, const char *id, const char *subscriber)
{
    struct ms_event event = {.kind = MS_EVENT_QUERY_OUTCOME};
    char text[MS_DETAIL_MAX];
    if (!node->leader.active ||
        ms_sched_explain(node->leader.sched, id, text, sizeof(text)) != MS_OK) {
        return;
    }
    add_subscriber(node, id, subscriber);
    g_strlcpy(event.job, id, sizeof(event.job));
    ms_dc_leader_step(node, &event);
}

void
ms_dc_leader_cancel(struct ms_node *node, const char *id, const char *subscriber)
{
    struct ms_event event = {.kind = MS_EVENT_CANCEL};
    if (!node->leader.active) {
        return;
    }
    ms_dc_leader_subscribe(node, id, subscriber);
    g_strlcpy(event.job, id, sizeof(event.job));
    ms_dc_leader_step(node, &event);
}

void
ms_dc_leader_apply_rule(struct ms_node *node, const struct ms_rule *rule)
{
    struct ms_event event = {.kind = MS_EVENT_RULE, .rule = *rule};
    if (node->leader.active) {
        ms_dc_leader_step(node, &event);
    }
}

/*
 * Also takes a job that was relocated to this data centre, or back to it.  The log
 * stores the time that was left until the deadline; it is counted from now.
 */
void
ms_dc_leader_job_accepted(struct ms_node *node, const char *id)
{
    const struct ms_accepted_job *entry = ms_logstate_accepted_job(node->logstate, id);
    if (!node->leader.active || entry == NULL || strcmp(entry->dc, node->settings->dc) != 0) {
        return;
    }
    struct ms_job_spec spec = entry->spec;
    if (entry->remaining_deadline_ms > 0) {
        spec.deadline_ms = node->now + entry->remaining_deadline_ms;
    }
    ms_dc_leader_submit(node, &spec, node->settings->name, false, "");
}

void
ms_dc_leader_server_listed(struct ms_node *node, const struct ms_host_list_entry *listed)
{
    ms_backend_add_server(node->backend, listed->name, listed->address);
    if (listed->leaving && node->leader.active) {
        struct ms_event event = {.kind = MS_EVENT_SERVER_LEAVING};
        g_strlcpy(event.server.name, listed->name, sizeof(event.server.name));
        ms_dc_leader_step(node, &event);
    }
}

void
ms_dc_leader_server_unlisted(struct ms_node *node, const char *name)
{
    ms_backend_remove_server(node->backend, name);
}

/* Number of listed servers of this data centre: those that should get leases. */
static guint
count_listed_servers(const struct ms_node *node)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    guint count = 0;
    g_hash_table_iter_init(&iterator, node->servers);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct ms_host_list_entry *listed = value;
        count += strcmp(listed->dc, node->settings->dc) == 0 ? 1 : 0;
    }
    return count;
}

void
ms_dc_leader_tick(struct ms_node *node)
{
    struct ms_dc_leader *leader = &node->leader;
    if (!leader->active) {
        return;
    }
    if (!leader->starts_allowed) {
        guint listed = count_listed_servers(node);
        bool all_leased = listed > 0 && g_hash_table_size(leader->leased_servers) >= listed;
        int64_t age = node->now - leader->began_at;
        if ((all_leased && age >= SETTLE_MIN_MS) || age >= SETTLE_MAX_MS) {
            leader->starts_allowed = true;
            ms_log(MS_LOG_NOTICE,
                   "event=settled dc=%s servers=%u listed=%u age_ms=%" G_GINT64_FORMAT,
                   node->settings->dc, g_hash_table_size(leader->leased_servers), listed, age);
            set_core_paused(node, false);
        }
    }
    if (node->now >= ms_sched_next_tick(leader->sched)) {
        struct ms_event event = {.kind = MS_EVENT_TICK};
        ms_dc_leader_step(node, &event);
    }
}

int64_t
ms_dc_leader_next_tick(const struct ms_node *node)
{
    return node->leader.active ? ms_sched_next_tick(node->leader.sched) : INT64_MAX;
}

void
ms_dc_leader_summary(const struct ms_node *node, struct ms_dc_summary *summary)
{
    struct ms_sched_stats stats;
    memset(summary, 0, sizeof(*summary));
    if (!node->leader.active) {
        return;
    }
    ms_sched_stats(node->leader.sched, &stats);
    *summary = (struct ms_dc_summary){
        .servers = stats.servers,
        .accels = stats.accels,
        .accels_free = stats.accels_free,
        .slots_free = stats.slots_free,
        .rack_free_max = stats.rack_free_max,
        .waiting = stats.waiting,
        .running = stats.running,
        .quarantined = stats.quarantined,
        .guarantees_unmet = stats.guarantees_unmet,
    };
}
