/*
 * pending_jobs.c - jobs that callers of this entry host await.
 *
 * A job is dispatched to the leader of one data centre at a time and sent
 * again until that host confirms receipt.  When the host is lost, or the data
 * centre refuses or loses a job that may run again (it did not run, or is
 * idempotent), the job is dispatched again.  This file does not prevent a second
 * run of a non-idempotent job: its run token in the log does.
 */
#include <stdio.h>
#include <string.h>

#include "node/private.h"
#include "obs/log.h"
#include "wire/convert.h"

#define ACCEPT_APPEND_TIMEOUT_MS 5000
#define NO_CALLERS_MAX_MS 600000 /* a pending job without callers is then dropped */
/* Times after which callers are told to retry a refused job. */
#define RETRY_AFTER_MS 1000       /* unavailable, or data centre out of service */
#define QUEUE_RETRY_AFTER_MS 5000 /* queue of the client account is full */

unsigned int
ms_outcome_http_status(const struct ms_call_outcome *outcome)
{
    if (outcome->pending) {
        return 202;
    }
    switch (outcome->code) {
    case MS_OUTCOME_DONE:
    case MS_OUTCOME_FAILED:
    case MS_OUTCOME_CANCELLED:
        return 200;
    case MS_OUTCOME_DEADLINE:
        return 408;
    case MS_OUTCOME_NEVER_FITS:
        return 422;
    case MS_OUTCOME_LIMIT:
        return 429;
    case MS_OUTCOME_NO_ACCOUNT:
        return 403;
    case MS_OUTCOME_DC_OUT:
    case MS_OUTCOME_UNAVAILABLE:
        return 503;
    case MS_OUTCOME_LOST_CONTACT:
        return 502;
    case MS_OUTCOME_DUPLICATE:
        return 409;
    }
    return 500;
}

static void
outcome_set(struct ms_call_outcome *outcome, enum ms_outcome_code code, enum ms_ran ran,
            const char *detail)
{
    memset(outcome, 0, sizeof(*outcome));
    outcome->code = code;
    outcome->ran = ran;
    g_strlcpy(outcome->detail, detail, sizeof(outcome->detail));
    if (ran == MS_RAN_NO && (code == MS_OUTCOME_UNAVAILABLE || code == MS_OUTCOME_DC_OUT)) {
        outcome->retry_after_ms = RETRY_AFTER_MS;
    }
    if (code == MS_OUTCOME_LIMIT) {
        outcome->retry_after_ms = QUEUE_RETRY_AFTER_MS;
    }
}

static void
count_outcome(struct ms_node *node, const struct ms_call_outcome *outcome)
{
    enum ms_counter counter = MS_COUNT_OUTCOME_DONE;
    if (outcome->ran == MS_RAN_UNKNOWN) {
        counter = MS_COUNT_OUTCOME_UNKNOWN;
    }
    else if (outcome->ran == MS_RAN_NO) {
        counter = MS_COUNT_OUTCOME_REFUSED;
    }
    ms_counter_add(node->counters, counter, 1);
}

/* Answers one call with a copy of OUTCOME; hands the call back to the HTTP thread. */
static void
answer_call(struct ms_node *node, struct ms_call *call, const struct ms_call_outcome *outcome)
{
    call->outcome = *outcome;
    if (outcome->output != NULL) {
        call->outcome.output = g_bytes_ref(outcome->output);
    }
    if (!outcome->pending) {
        count_outcome(node, outcome);
    }
    call->http_status = ms_outcome_http_status(outcome);
    ms_call_complete(call);
}

static void
pending_free(struct ms_pending_job *pending)
{
    if (pending->payload != NULL) {
        g_bytes_unref(pending->payload);
    }
    g_ptr_array_free(pending->calls, TRUE);
    g_free(pending);
}

static struct ms_pending_job *
pending_get_or_add(struct ms_node *node, const char *id)
{
    struct ms_pending_job *pending = g_hash_table_lookup(node->pending_jobs, id);
    if (pending == NULL) {
        pending = g_new0(struct ms_pending_job, 1);
        g_strlcpy(pending->id, id, sizeof(pending->id));
        pending->calls = g_ptr_array_new();
        pending->created_at = node->now;
        g_hash_table_insert(node->pending_jobs, pending->id, pending);
    }
    return pending;
}

void
ms_jobs_finish(struct ms_node *node, struct ms_pending_job *pending,
               const struct ms_call_outcome *outcome)
{
    char span_text[MS_DETAIL_MAX];
    for (guint i = 0; i < pending->calls->len; i++) {
        answer_call(node, g_ptr_array_index(pending->calls, i), outcome);
    }
    if (pending->has_spec) {
        snprintf(span_text, sizeof(span_text), "%s, ran=%s, sent %u times",
                 ms_outcome_name(outcome->code), ms_ran_name(outcome->ran), pending->send_count);
        ms_span_end(node->spans, &pending->span, span_text);
    }
    g_hash_table_remove(node->pending_jobs, pending->id);
    pending_free(pending);
}

/*
 * A refusal may say "not run" only when that is certain.  It is not when the job
 * was sent to another host before, which may have started it.
 */
void
ms_jobs_correct_ran(const struct ms_pending_job *pending, struct ms_call_outcome *outcome)
{
    if (outcome->ran != MS_RAN_NO || !pending->may_have_run) {
        return;
    }
    outcome->ran = MS_RAN_UNKNOWN;
    outcome->code = MS_OUTCOME_LOST_CONTACT;
    outcome->retry_after_ms = 0;
    g_strlcpy(outcome->detail, "a host that had the job was lost; it may have run",
              sizeof(outcome->detail));
}

void
ms_jobs_refuse(struct ms_node *node, struct ms_pending_job *pending, enum ms_outcome_code code,
               const char *detail)
{
    struct ms_call_outcome outcome;
    outcome_set(&outcome, code, MS_RAN_NO, detail);
    ms_jobs_correct_ran(pending, &outcome);
    ms_jobs_finish(node, pending, &outcome);
}

/* Answers CALL if the log already has the outcome of its job; returns whether it did. */
static bool
answer_from_log(struct ms_node *node, struct ms_call *call)
{
    const Ms__Wire__Outcome *done = ms_logstate_outcome(node->logstate, call->id);
    if (done == NULL) {
        return false;
    }
    struct ms_call_outcome outcome;
    outcome_set(&outcome, (enum ms_outcome_code)done->code, (enum ms_ran)done->ran, done->detail);
    g_strlcpy(outcome.dc, done->dc, sizeof(outcome.dc));
    g_strlcpy(outcome.server, done->server, sizeof(outcome.server));
    outcome.queued_ms = done->queued_ms;
    outcome.ran_ms = done->ran_ms;
    if (done->output.len > 0) {
        outcome.output = g_bytes_new(done->output.data, done->output.len);
    }
    answer_call(node, call, &outcome);
    if (outcome.output != NULL) {
        g_bytes_unref(outcome.output);
    }
    return true;
}

/* Why a new job has to be rejected, with the outcome in CODE; NULL if it can be taken. */
static const char *
rejection_reason(const struct ms_node *node, const struct ms_call *call, enum ms_outcome_code *code)
{
    char key[MS_RULE_KEY_MAX];
    *code = MS_OUTCOME_UNAVAILABLE;
    if (node->draining) {
        return "this entry host is shutting down";
    }
    if (!ms_logstate_is_complete(node->logstate) || ms_logstate_next_offset(node->logstate) == 0) {
        return "this entry host has no configuration yet";
    }
    snprintf(key, sizeof(key), "account %s", call->spec.account);
    const struct ms_rule_entry *entry = ms_logstate_rule(node->logstate, key);
    if (entry == NULL || entry->removed) {
        *code = MS_OUTCOME_NO_ACCOUNT;
        return "no rule creates the client account";
    }
    if (node->log_reachable) {
        return NULL;
    }
    if (call->spec.detached) {
        return "the log cannot be reached, so the job cannot be accepted";
    }
    if (!call->spec.idempotent && !ms_members_any_leader_has_log(node)) {
        return "the log cannot be reached, and a second run must be ruled out";
    }
    return NULL;
}

/* Appends the acceptance of a detached job to the log. */
static void
append_acceptance(struct ms_node *node, struct ms_pending_job *pending)
{
    Ms__Wire__LogRecord record;
    Ms__Wire__Accept accept;
    Ms__Wire__Spec spec;
    const char *dc = ms_route_choose_dc(node, pending);
    ms__wire__log_record__init(&record);
    ms__wire__accept__init(&accept);
    ms_spec_to_wire(&pending->spec, node->now, &spec);
    accept.spec = &spec;
    accept.dc = (char *)(dc != NULL ? dc : node->settings->dc);
    record.body_case = MS__WIRE__LOG_RECORD__BODY_ACCEPT;
    record.accept = &accept;
    if (!ms_records_append(node, &record, pending->accept_writer, ACCEPT_APPEND_TIMEOUT_MS)) {
        ms_jobs_refuse(node, pending, MS_OUTCOME_UNAVAILABLE, "too many records wait for the log");
        return;
    }
    pending->awaiting_acceptance = true;
}

/* Copies the specification of CALL and takes a reference to its payload. */
static void
pending_set_spec(struct ms_pending_job *pending, struct ms_call *call)
{
    pending->spec = call->spec;
    if (call->payload != NULL) {
        pending->payload = g_bytes_ref(call->payload);
        pending->spec.payload = g_bytes_get_data(pending->payload, &pending->spec.payload_len);
    }
    pending->has_spec = true;
    ms_span_begin(&pending->span, pending->id, "entry", call->trace_parent);
}

void
ms_jobs_submit(struct ms_node *node, struct ms_call *call)
{
    enum ms_outcome_code code = MS_OUTCOME_UNAVAILABLE;
    if (answer_from_log(node, call)) {
        return;
    }
    struct ms_pending_job *pending = g_hash_table_lookup(node->pending_jobs, call->id);
    bool known = (pending != NULL && pending->has_spec) ||
                 ms_logstate_token(node->logstate, call->id) != NULL ||
                 ms_logstate_accepted_job(node->logstate, call->id) != NULL;
    const char *reason = known ? NULL : rejection_reason(node, call, &code);
    if (reason != NULL) {
        struct ms_call_outcome outcome;
        /* A host that lacks log records cannot know whether the job has run. */
        bool behind = !call->spec.idempotent && ms_members_self_is_behind(node);
        outcome_set(&outcome, code, behind ? MS_RAN_UNKNOWN : MS_RAN_NO, reason);
        answer_call(node, call, &outcome);
        return;
    }
    pending = pending_get_or_add(node, call->id);
    g_ptr_array_add(pending->calls, call);
    if (pending->has_spec) {
        return; /* a repeated request waits for the same outcome as the first */
    }
    pending_set_spec(pending, call);
    pending->accepted = ms_logstate_accepted_job(node->logstate, call->id) != NULL;
    if (call->spec.detached && !pending->accepted) {
        append_acceptance(node, pending);
        return;
    }
    ms_dispatch_job(node, pending);
}

/* Answers the submissions of the job with "accepted"; its other calls go on waiting. */
void
ms_jobs_accepted(struct ms_node *node, const char *writer, const char *id, bool taken)
{
    struct ms_pending_job *pending = g_hash_table_lookup(node->pending_jobs, id);
    (void)taken; /* if another acceptance of the id came first, the job is accepted too */
    if (pending == NULL || !pending->awaiting_acceptance ||
        strcmp(pending->accept_writer, writer) != 0) {
        return;
    }
    struct ms_call_outcome outcome = {.pending = true};
    g_strlcpy(outcome.detail, "accepted", sizeof(outcome.detail));
    pending->awaiting_acceptance = false;
    pending->accepted = true;
    for (guint i = pending->calls->len; i > 0; i--) {
        struct ms_call *call = g_ptr_array_index(pending->calls, i - 1);
        if (call->kind == MS_CALL_SUBMIT) {
            g_ptr_array_remove_index(pending->calls, i - 1);
            answer_call(node, call, &outcome);
        }
    }
    node->dispatch_due = true;
}

/* Sends ENVELOPE to all other leaders, because any of them may have the job. */
static void
send_to_leaders(struct ms_node *node, const Ms__Wire__Envelope *envelope)
{
    GHashTableIter iterator;
    gpointer key = NULL;
    g_hash_table_iter_init(&iterator, node->dc_regions);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        const char *leader = ms_members_leader(node, key);
        if (leader != NULL && strcmp(leader, node->settings->name) != 0) {
            ms_peers_send(node->peers, leader, envelope);
        }
    }
}

void
ms_jobs_query(struct ms_node *node, struct ms_call *call)
{
    if (answer_from_log(node, call)) {
        return;
    }
    Ms__Wire__Envelope envelope;
    Ms__Wire__Follow follow;
    char id[MS_ID_MAX];
    ms__wire__envelope__init(&envelope);
    ms__wire__follow__init(&follow);
    follow.id = call->id;
    envelope.body_case = MS__WIRE__ENVELOPE__BODY_FOLLOW;
    envelope.follow = &follow;
    send_to_leaders(node, &envelope);
    g_strlcpy(id, call->id, sizeof(id));
    g_ptr_array_add(pending_get_or_add(node, id)->calls, call);
    ms_dc_leader_subscribe(node, id, node->settings->name);
}

void
ms_jobs_cancel(struct ms_node *node, struct ms_call *call)
{
    Ms__Wire__Envelope envelope;
    Ms__Wire__Cancel cancel;
    char id[MS_ID_MAX];
    if (answer_from_log(node, call)) {
        return;
    }
    ms__wire__envelope__init(&envelope);
    ms__wire__cancel__init(&cancel);
    cancel.id = call->id;
    envelope.body_case = MS__WIRE__ENVELOPE__BODY_CANCEL;
    envelope.cancel = &cancel;
    send_to_leaders(node, &envelope);
    g_strlcpy(id, call->id, sizeof(id));
    g_ptr_array_add(pending_get_or_add(node, id)->calls, call);
    ms_dc_leader_cancel(node, id, node->settings->name);
}

/* Whether PENDING, which ended with OUTCOME, may be dispatched to another data centre. */
static bool
may_try_other_dc(const struct ms_pending_job *pending, const struct ms_call_outcome *outcome)
{
    if (!pending->has_spec || pending->accepted ||
        (outcome->ran != MS_RAN_NO && !pending->spec.idempotent)) {
        return false;
    }
    switch (outcome->code) {
    case MS_OUTCOME_DC_OUT:
    case MS_OUTCOME_UNAVAILABLE:
    case MS_OUTCOME_NEVER_FITS:
    case MS_OUTCOME_LIMIT:
    case MS_OUTCOME_LOST_CONTACT:
        return pending->excluded_dc_count < MS_EXCLUDED_DCS_MAX;
    case MS_OUTCOME_DONE:
    case MS_OUTCOME_FAILED:
    case MS_OUTCOME_CANCELLED:
    case MS_OUTCOME_DEADLINE:
    case MS_OUTCOME_NO_ACCOUNT:
    case MS_OUTCOME_DUPLICATE:
        break;
    }
    return false;
}

static void
outcome_from_wire(const Ms__Wire__Outcome *message, struct ms_call_outcome *outcome)
{
    outcome_set(outcome, (enum ms_outcome_code)message->code, (enum ms_ran)message->ran,
                message->detail);
    g_strlcpy(outcome->dc, message->dc, sizeof(outcome->dc));
    g_strlcpy(outcome->server, message->server, sizeof(outcome->server));
    outcome->queued_ms = message->queued_ms;
    outcome->ran_ms = message->ran_ms;
    if (message->output.len > 0) {
        outcome->output = g_bytes_new(message->output.data, message->output.len);
    }
}

/* Excludes DC, which refused or lost the job, and lets the job be dispatched again. */
static void
exclude_dc(struct ms_node *node, struct ms_pending_job *pending,
           const struct ms_call_outcome *outcome, const char *dc)
{
    if (!ms_route_is_excluded(pending, dc)) {
        g_strlcpy(pending->excluded_dcs[pending->excluded_dc_count++], dc, MS_NAME_MAX);
    }
    pending->may_have_run |= outcome->ran != MS_RAN_NO;
    pending->last_refusal = *outcome;
    pending->last_refusal.output = NULL;
    pending->dc[0] = '\0';
    pending->leader_host[0] = '\0';
    pending->confirmed = false;
    node->dispatch_due = true;
}

void
ms_jobs_on_outcome(struct ms_node *node, const Ms__Wire__Outcome *message)
{
    struct ms_pending_job *pending = g_hash_table_lookup(node->pending_jobs, message->id);
    struct ms_call_outcome outcome;
    if (pending == NULL || message->code > MS_OUTCOME_DUPLICATE || message->ran > MS_RAN_UNKNOWN) {
        return;
    }
    outcome_from_wire(message, &outcome);
    bool stale = pending->has_spec && outcome.ran == MS_RAN_NO && pending->dc[0] != '\0' &&
                 strcmp(pending->dc, message->dc) != 0;
    if (stale) {
        /* Refused by a data centre that the job is no longer dispatched to: ignored. */
    }
    else if (outcome.code == MS_OUTCOME_DUPLICATE && pending->has_spec) {
        /* Another leader has the run token: the outcome will be read from the log. */
        pending->dc[0] = '\0';
        pending->leader_host[0] = '\0';
        pending->confirmed = false;
        pending->last_sent_at = node->now;
    }
    else if (may_try_other_dc(pending, &outcome)) {
        exclude_dc(node, pending, &outcome, message->dc);
    }
    else {
        ms_jobs_correct_ran(pending, &outcome);
        ms_jobs_finish(node, pending, &outcome);
    }
    if (outcome.output != NULL) {
        g_bytes_unref(outcome.output);
    }
}

void
ms_jobs_done(struct ms_node *node, const Ms__Wire__Outcome *message)
{
    struct ms_pending_job *pending = g_hash_table_lookup(node->pending_jobs, message->id);
    struct ms_call_outcome outcome;
    bool sent_by_leader = message->ran == MS_RAN_NO || message->output_omitted;
    if (pending == NULL || (sent_by_leader && pending->has_spec)) {
        return; /* the leader sends it directly, see ms_jobs_on_outcome() */
    }
    outcome_from_wire(message, &outcome);
    ms_jobs_finish(node, pending, &outcome);
    if (outcome.output != NULL) {
        g_bytes_unref(outcome.output);
    }
}

void
ms_jobs_on_received(struct ms_node *node, const char *host, const char *id)
{
    struct ms_pending_job *pending = g_hash_table_lookup(node->pending_jobs, id);
    if (pending != NULL && strcmp(pending->leader_host, host) == 0) {
        pending->confirmed = true;
    }
}

void
ms_jobs_host_lost(struct ms_node *node, const char *host)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, node->pending_jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct ms_pending_job *pending = value;
        if (strcmp(pending->leader_host, host) != 0) {
            continue;
        }
        pending->may_have_run = true; /* even without a confirmation it may have arrived */
        pending->leader_host[0] = '\0';
        pending->dc[0] = '\0';
        pending->confirmed = false;
    }
    node->dispatch_due = true;
}

/* Answers calls whose wait time is over with "no outcome yet". */
static void
answer_expired_calls(struct ms_node *node, struct ms_pending_job *pending)
{
    for (guint i = pending->calls->len; i > 0; i--) {
        struct ms_call *call = g_ptr_array_index(pending->calls, i - 1);
        if (call->deadline_at > node->now) {
            continue;
        }
        struct ms_call_outcome outcome = {.pending = true};
        g_strlcpy(outcome.detail, "no outcome yet; ask again", sizeof(outcome.detail));
        g_ptr_array_remove_index(pending->calls, i - 1);
        answer_call(node, call, &outcome);
    }
}

/*
 * Copies the ids of all pending jobs.  Dispatching a job to the core of this host
 * may finish and free any other, so loops go over ids and look each job up.
 */
static GPtrArray *
pending_ids(const struct ms_node *node)
{
    GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iterator;
    gpointer key = NULL;
    g_hash_table_iter_init(&iterator, node->pending_jobs);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        g_ptr_array_add(ids, g_strdup(key));
    }
    return ids;
}

/*
 * Answers expired calls, then finishes or drops PENDING at its time limits, or
 * dispatches it when that is due.  May free PENDING.
 */
static void
update_pending(struct ms_node *node, struct ms_pending_job *pending)
{
    answer_expired_calls(node, pending);
    bool no_callers = pending->calls->len == 0;
    if (no_callers && (!pending->has_spec || pending->accepted ||
                       node->now - pending->created_at >= NO_CALLERS_MAX_MS)) {
        g_hash_table_remove(node->pending_jobs, pending->id);
        pending_free(pending);
        return;
    }
    if (pending->awaiting_acceptance &&
        node->now - pending->created_at >= 2 * ACCEPT_APPEND_TIMEOUT_MS) {
        struct ms_call_outcome outcome;
        outcome_set(&outcome, MS_OUTCOME_LOST_CONTACT, MS_RAN_UNKNOWN,
                    "the log did not confirm the acceptance in time");
        ms_jobs_finish(node, pending, &outcome);
        return;
    }
    if (ms_dispatch_is_due(node, pending)) {
        ms_dispatch_job(node, pending);
    }
}

void
ms_jobs_dispatch_due(struct ms_node *node)
{
    node->dispatch_due = false;
    GPtrArray *ids = pending_ids(node);
    for (guint i = 0; i < ids->len; i++) {
        struct ms_pending_job *pending =
            g_hash_table_lookup(node->pending_jobs, g_ptr_array_index(ids, i));
        if (pending != NULL && ms_dispatch_is_due(node, pending)) {
            ms_dispatch_job(node, pending);
        }
    }
    g_ptr_array_unref(ids);
}

void
ms_jobs_tick(struct ms_node *node)
{
    GPtrArray *ids = pending_ids(node);
    for (guint i = 0; i < ids->len; i++) {
        struct ms_pending_job *pending =
            g_hash_table_lookup(node->pending_jobs, g_ptr_array_index(ids, i));
        if (pending != NULL) {
            update_pending(node, pending);
        }
    }
    g_ptr_array_unref(ids);
    ms_relocate_tick(node);
    ms_counter_set(node->counters, MS_GAUGE_REQUESTS_PENDING,
                   g_hash_table_size(node->pending_jobs));
}

/* Jobs that were sent out or accepted are reported as "may have run". */
void
ms_jobs_refuse_all(struct ms_node *node)
{
    GPtrArray *ids = pending_ids(node);
    for (guint i = 0; i < ids->len; i++) {
        struct ms_pending_job *pending =
            g_hash_table_lookup(node->pending_jobs, g_ptr_array_index(ids, i));
        pending->may_have_run |= pending->send_count > 0 || pending->accepted;
        ms_jobs_refuse(node, pending, MS_OUTCOME_UNAVAILABLE, "this entry host is shutting down");
    }
    g_ptr_array_unref(ids);
}

void
ms_jobs_free(struct ms_node *node)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, node->pending_jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct ms_pending_job *pending = value;
        for (guint i = 0; i < pending->calls->len; i++) {
            ms_node_answer(node, g_ptr_array_index(pending->calls, i), 503, NULL);
        }
        pending_free(pending);
    }
    g_hash_table_destroy(node->pending_jobs);
}
