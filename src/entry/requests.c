/*
 * requests.c - handles the calls of callers: checks them, submits jobs, and answers.  Queries
 * and cancellations are in job_calls.c.
 *
 * A submission or cancellation is refused only when no append of its record can be
 * in the log or can still reach it; otherwise the answer is that the outcome is
 * unknown.  API keys are checked only against a configuration that was the newest one
 * a short time ago; a host without such a configuration handles no calls itself.
 */
#include <stdlib.h>
#include <string.h>

#include "batch/account.h"
#include "entry/private.h"
#include "obs/log.h"
#include "ports/caller_api.h"
#include "wire/compress.h"

#define ANSWER_MARGIN_MS 150      /* answers are sent this long before the caller's timeout */
#define APPEND_FORWARDABLE_MS 350 /* time for appends here while another host can take the call */
#define CONFIG_AGE_MAX_SHARE 0.85 /* of key_age_max_ms: an older configuration is not used */

/* Returns the time since the configuration was known to be the newest one. */
static int64_t
config_age(const struct ms_entry *entry)
{
    return entry->now - entry->rules_current_at;
}

/* Whether the configuration is recent enough to check API keys. */
static bool
config_is_current(const struct ms_entry *entry)
{
    return entry->policy != NULL &&
           (double)config_age(entry) <
               (double)entry->settings->key_age_max_ms * CONFIG_AGE_MAX_SHARE;
}

bool
ms_requests_is_ready(const struct ms_entry *entry)
{
    return !entry->draining && entry->jobs_loaded && entry->reachable[MS_STREAM_JOBS] &&
           config_is_current(entry);
}

/* The job ID that CALL names: the last part of its path. */
static const char *
job_id_of(const struct ms_entry_call *call)
{
    const char *slash = strrchr(call->path, '/');
    return slash != NULL ? slash + 1 : call->path;
}

void
ms_requests_answer(struct ms_entry *entry, struct ms_entry_call *call, unsigned int status,
                   const char *reason)
{
    /* An attempt may have been carried out: the call cannot be refused any more. */
    if (call->may_have_run && status >= MS_STATUS_BAD_REQUEST) {
        status = MS_STATUS_OUTCOME_UNKNOWN;
    }
    if (call->method == MS_METHOD_POST && status >= MS_STATUS_BAD_REQUEST &&
        status != MS_STATUS_OUTCOME_UNKNOWN) {
        ms_refused_jobs_add(entry->refused_jobs, job_id_of(call), status, reason,
                            call->spec.accepted_ms, entry->now);
    }
    ms_entry_peers_detach_forward(call);
    static const char *const methods[] = {"get", "post", "delete", "other"};
    call->status = status;
    call->reason = reason;
    ms_log(MS_LOG_INFO,
           "event=answer method=%s path=%s status=%u reason=%s took_ms=%" G_GINT64_FORMAT
           " config=%" G_GUINT64_FORMAT " config_age_ms=%" G_GINT64_FORMAT
           " jobs_age_ms=%" G_GINT64_FORMAT " from_peer=%d",
           methods[call->method], call->path, status, reason, entry->now - call->arrived_at,
           entry->policy != NULL ? entry->policy->version : 0, config_age(entry),
           entry->now - entry->jobs_current_at, call->from_peer);
    ms_counter_add(
        entry->counters,
        status < MS_STATUS_BAD_REQUEST ? MS_COUNT_OUTCOME_DONE : MS_COUNT_OUTCOME_REFUSED, 1);
    ms_histogram_observe(entry->counters, MS_HISTOGRAM_ANSWER, entry->now - call->arrived_at);
    entry->open_call_count--;
    ms_entry_call_answer(call);
}

void
ms_requests_forward_or_refuse(struct ms_entry *entry, struct ms_entry_call *call,
                              const char *reason)
{
    if (!ms_entry_peers_forward(entry, call, reason)) {
        ms_requests_answer(entry, call, MS_STATUS_UNAVAILABLE, reason);
    }
}

/* Prefix of the key of the record that an append of KIND, one of a call, has. */
static const char *
key_prefix(enum ms_append_kind kind)
{
    if (kind == MS_APPEND_EARLY_CANCEL) {
        return MS_KEY_EARLY_CANCEL;
    }
    return kind == MS_APPEND_ACCEPT ? MS_KEY_JOB : MS_KEY_CANCEL;
}

/* The record of KIND that CALL asked for is in the log, as REASON says for the log line. */
static void
answer_stored(struct ms_entry *entry, struct ms_entry_call *call, enum ms_append_kind kind,
              const char *reason)
{
    if (kind != MS_APPEND_EARLY_CANCEL) {
        ms_requests_answer(entry, call, MS_STATUS_OK, reason);
        return;
    }
    call->may_have_run = false; /* whatever an earlier attempt did, there is no job */
    ms_requests_answer(entry, call, MS_STATUS_GONE, "no_such_job");
}

void
ms_requests_append(struct ms_entry *entry, struct ms_entry_call *call, enum ms_append_kind kind,
                   const char *id, GBytes *value)
{
    struct ms_append *append = ms_append_new(kind);
    append->call = call;
    append->queued_at = entry->now;
    bool forwardable = ms_entry_peers_can_forward(entry, call);
    append->deadline_at =
        MIN(call->deadline_at, forwardable ? entry->now + APPEND_FORWARDABLE_MS
                                           : call->arrived_at + MS_CALL_ATTEMPTS_MAX_MS);
    g_strlcpy(append->record_id, id, sizeof(append->record_id));
    ms_append_add_record(append, key_prefix(kind), id, value);
    if (!ms_appender_push(entry->unfenced_appender, append)) {
        ms_append_free(append);
        ms_counter_add(entry->counters, MS_COUNT_QUEUE_FULL, 1);
        ms_requests_forward_or_refuse(entry, call, "append_queue_full");
        return;
    }
    GPtrArray *appends = g_hash_table_lookup(entry->pending_appends, id);
    if (appends == NULL) {
        appends = g_ptr_array_new();
        g_hash_table_insert(entry->pending_appends, g_strdup(id), appends);
    }
    g_ptr_array_add(appends, append);
}

/* Removes APPEND from the pending appends of its job. */
static void
remove_pending(struct ms_entry *entry, const struct ms_append *append)
{
    GPtrArray *appends = g_hash_table_lookup(entry->pending_appends, append->record_id);
    if (appends == NULL) {
        return;
    }
    g_ptr_array_remove(appends, (gpointer)append);
    if (appends->len == 0) {
        g_hash_table_remove(entry->pending_appends, append->record_id);
    }
}

/* APPEND has ended: answers or forwards its call. */
void
ms_requests_append_done(struct ms_entry *entry, struct ms_append *append)
{
    struct ms_entry_call *call = append->call;
    remove_pending(entry, append);
    entry->append_failed_at = append->result == MS_KEYED_LOG_OK ? 0 : entry->now;
    entry->consecutive_append_failures =
        append->result == MS_KEYED_LOG_OK ? 0 : entry->consecutive_append_failures + 1;
    if (call == NULL) {
        return; /* answered when the record was read from the log */
    }
    switch (append->result) {
    case MS_KEYED_LOG_OK:
        answer_stored(entry, call, append->kind,
                      append->kind == MS_APPEND_ACCEPT ? "accepted" : "cancelled");
        break;
    case MS_KEYED_LOG_NO_ANSWER:
        call->may_have_run = true;
        ms_requests_forward_or_refuse(entry, call, "log_no_answer");
        break;
    case MS_KEYED_LOG_REFUSED:
    case MS_KEYED_LOG_FENCED:
    case MS_KEYED_LOG_WRONG_SEQUENCE:
    case MS_KEYED_LOG_END_MISMATCH:
    case MS_KEYED_LOG_EXPIRED:
    case MS_KEYED_LOG_MALFORMED:
        ms_requests_forward_or_refuse(entry, call, "log_refused");
        break;
    }
}

/* A record of KIND for the job ID was read from the log: answers the calls that wait for it. */
void
ms_requests_record_read(struct ms_entry *entry, const char *id, enum ms_append_kind kind)
{
    GPtrArray *appends = g_hash_table_lookup(entry->pending_appends, id);
    if (kind == MS_APPEND_ACCEPT) {
        const struct ms_stored_job *job = ms_job_table_find(entry->table, id);
        ms_refused_jobs_stored(entry->refused_jobs, id, job->spec.accepted_ms, entry->now);
    }
    for (guint i = 0; appends != NULL && i < appends->len; i++) {
        struct ms_append *append = g_ptr_array_index(appends, i);
        if (append->kind == kind && append->call != NULL) {
            answer_stored(entry, append->call, kind, "seen_in_log");
            append->call = NULL;
        }
    }
}

/*
 * Refuses the job of CALL, which can never run under its account's cap.  The outcome is unknown if
 * an append of an earlier call is in progress, as that may still store the job.
 */
static void
refuse_over_cap(struct ms_entry *entry, struct ms_entry_call *call, const char *id)
{
    call->may_have_run |= g_hash_table_contains(entry->pending_appends, id);
    ms_requests_answer(entry, call, MS_STATUS_OVER_CAP, "over_cap");
}

/*
 * Stores the job of CALL by ACCOUNT, or by a caller without a key if that is NULL.  A job ID that
 * was accepted before is answered as accepted and not stored again, so that a caller can repeat a
 * submission.
 */
static void
submit_job(struct ms_entry *entry, struct ms_entry_call *call, const struct ms_queue_rule *queue,
           const struct ms_account_rule *account, const char *id)
{
    const struct ms_stored_job *existing = ms_job_table_find(entry->table, id);
    if (call->error[0] != '\0') {
        ms_counter_add(entry->counters, MS_COUNT_BAD_REQUESTS, 1);
        ms_requests_answer(entry, call, MS_STATUS_BAD_REQUEST, call->error);
        return;
    }
    if (existing != NULL && existing->accepted) {
        ms_requests_answer(entry, call, MS_STATUS_OK, "known");
        return;
    }
    struct ms_batch_spec *spec = &call->spec;
    g_strlcpy(spec->id, id, sizeof(spec->id));
    g_strlcpy(spec->queue, queue->name, sizeof(spec->queue));
    g_strlcpy(spec->account, account != NULL ? account->name : "", sizeof(spec->account));
    if (spec->accepted_ms == 0) { /* all appends of a call have the same record */
        spec->accepted_ms = g_get_real_time() / 1000;
    }
    if (strlen(id) >= sizeof(spec->id) ||
        ms_batch_spec_check(spec, call->error, sizeof(call->error)) != MS_OK) {
        ms_counter_add(entry->counters, MS_COUNT_BAD_REQUESTS, 1);
        ms_requests_answer(entry, call, MS_STATUS_BAD_REQUEST,
                           strlen(id) >= sizeof(spec->id) ? "id: too long" : call->error);
        return;
    }
    if (!ms_account_job_fits(spec, account)) {
        refuse_over_cap(entry, call, id);
        return;
    }
    if (!entry->reachable[MS_STREAM_JOBS]) {
        ms_requests_forward_or_refuse(entry, call, "log_unreachable");
        return;
    }
    /* Appends of this host failed a moment ago: prefer another host. */
    if (ms_entry_peers_append_failed_recently(entry) &&
        ms_entry_peers_forward(entry, call, "append_lost")) {
        return;
    }
    if (ms_entry_peers_log_unavailable(entry)) {
        ms_requests_answer(entry, call, MS_STATUS_UNAVAILABLE, "log_lost");
        return;
    }
    size_t length = 0;
    uint8_t *bytes = ms_batch_spec_pack(spec, &length);
    GBytes *value = g_bytes_new_take(bytes, length);
    if (entry->settings->compress_records) {
        value = ms_value_compress(value);
    }
    ms_requests_append(entry, call, MS_APPEND_ACCEPT, id, value);
}

/* Checks the configuration, the queue and the API key, then handles CALL by its method. */
static void
handle_call(struct ms_entry *entry, struct ms_entry_call *call)
{
    if (!config_is_current(entry) || !entry->jobs_loaded) {
        ms_requests_forward_or_refuse(entry, call, "config_not_current");
        return;
    }
    if (call->min_config_version > entry->policy->version) {
        ms_requests_answer(entry, call, MS_STATUS_UNAVAILABLE, "config_behind_peer");
        return;
    }
    const struct ms_queue_rule *queue = ms_policy_find_route(entry->policy, call->host, call->path);
    if (queue == NULL) {
        ms_requests_answer(entry, call, MS_STATUS_NOT_FOUND, "no_such_queue");
        return;
    }
    const struct ms_account_rule *account =
        call->key != NULL ? ms_policy_find_account_by_key(entry->policy, call->key) : NULL;
    if (account == NULL && !queue->allow_anonymous) {
        ms_requests_answer(entry, call, MS_STATUS_UNAUTHORIZED, "unknown_key");
        return;
    }
    const char *id = call->path + strlen(queue->path_prefix);
    if (id[0] == '\0' && call->method == MS_METHOD_GET) {
        ms_job_calls_answer_queue(entry, call, queue);
    }
    else if (call->method == MS_METHOD_OTHER || id[0] == '\0') {
        ms_requests_answer(entry, call, MS_STATUS_METHOD_NOT_ALLOWED, "method_not_allowed");
    }
    else if (call->method == MS_METHOD_POST) {
        submit_job(entry, call, queue, account, id);
    }
    else {
        ms_job_calls_handle(entry, call, queue, account != NULL ? account->name : "", id);
    }
}

void
ms_requests_retry(struct ms_entry *entry, struct ms_entry_call *call)
{
    handle_call(entry, call);
}

void
ms_requests_handle(struct ms_entry *entry, struct ms_entry_call *call)
{
    entry->open_call_count++;
    ms_counter_add(entry->counters, MS_COUNT_REQUESTS, call->method == MS_METHOD_POST);
    call->deadline_at = call->arrived_at + call->timeout_ms - ANSWER_MARGIN_MS;
    handle_call(entry, call);
}

/* Handles the calls that waited for a read of the log and got it, or waited long enough. */
void
ms_requests_resume_refreshed(struct ms_entry *entry)
{
    for (guint i = 0; i < entry->calls_awaiting_refresh->len;) {
        struct ms_entry_call *call = g_ptr_array_index(entry->calls_awaiting_refresh, i);
        if (entry->jobs_current_at < call->arrived_at && entry->now < call->refresh_deadline_at) {
            i++;
            continue;
        }
        g_ptr_array_remove_index(entry->calls_awaiting_refresh, i);
        handle_call(entry, call);
    }
}
