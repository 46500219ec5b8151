/*
 * log_streams.c - applies records and snapshots that were read from the log's streams.
 */
#include <string.h>

#include "entry/private.h"
#include "obs/log.h"
#include "ports/operator_records.h"
#include "wire/compress.h"

static const char *const stream_names[MS_STREAM_COUNT] = {"jobs", "rules", "servers"};

static void
set_reachable(struct ms_entry *entry, enum ms_stream stream, bool reachable, const char *reason)
{
    if (entry->reachable[stream] != reachable) {
        ms_log(MS_LOG_NOTICE, "event=log_%s stream=%s reason=%s", reachable ? "regained" : "lost",
               stream_names[stream], reason);
    }
    entry->reachable[stream] = reachable;
    if (stream == MS_STREAM_JOBS) {
        ms_counter_set(entry->counters, MS_GAUGE_LOG_REACHABLE, reachable);
        if (!reachable) {
            entry->jobs_readable_since = 0;
        }
        else if (entry->jobs_readable_since == 0) {
            entry->jobs_readable_since = entry->now;
        }
    }
}

/* Passes a change of the jobs table on: to waiting calls, the engine, the leader election. */
static void
handle_change(struct ms_entry *entry, enum ms_table_change change, struct ms_stored_job *job)
{
    switch (change) {
    case MS_CHANGED_ACCEPTED:
        job->accepted_read_at = entry->now;
        ms_requests_record_read(entry, job->id, MS_APPEND_ACCEPT);
        if (entry->engine != NULL) {
            ms_engine_add_job(entry->engine, job, entry->now);
        }
        break;
    case MS_CHANGED_CANCELLED:
        ms_requests_record_read(entry, job->id, MS_APPEND_CANCEL);
        if (entry->engine != NULL) {
            ms_engine_cancel_job(entry->engine, job->id, entry->now);
        }
        break;
    case MS_CHANGED_LEADER:
        ms_leader_record_applied(entry);
        break;
    case MS_CHANGED_STATE:
        job->state_read_at = entry->now;
        ms_leader_job_state_applied(entry);
        break;
    case MS_CHANGED_EARLY_CANCEL:
    case MS_CHANGED_HOST:
    case MS_CHANGED_NOTHING:
    case MS_CHANGED_UNREADABLE:
        break;
    }
}

/* A record of the entry host NAME was read: the host is up. */
static void
note_host_record(struct ms_entry *entry, const char *name)
{
    struct ms_entry_host *host = g_hash_table_lookup(entry->table->hosts, name);
    if (host->last_seen_at == 0) {
        ms_log(MS_LOG_NOTICE, "event=host_listed peer=%s dc=%s address=%s", name, host->dc,
               host->address);
    }
    host->last_seen_at = entry->now;
}

/*
 * A snapshot replaces the table, as this host may have missed removals.  One with unreadable
 * items does not, as these may be jobs.  Nor does one that is read while this host places
 * jobs: it has read all that was written before its term, and what it removes itself.
 */
static bool
replaces_table(const struct ms_entry *entry, const struct ms_keyed_log_batch *batch, bool snapshot)
{
    return snapshot && batch->complete && entry->engine == NULL;
}

/* Applies RECORD to the table and passes the change on. */
static void
apply_job_record(struct ms_entry *entry, const struct ms_keyed_log_record *record)
{
    struct ms_stored_job *job = NULL;
    gsize length = 0;
    const uint8_t *data = NULL;
    GBytes *value = record->value != NULL ? ms_value_expand(record->value) : NULL;
    enum ms_table_change change = MS_CHANGED_UNREADABLE;
    /* An empty value removes the key, which a compressed one must not do. */
    bool emptied =
        value != NULL && g_bytes_get_size(value) == 0 && g_bytes_get_size(record->value) > 0;
    if (!emptied && (value != NULL || record->value == NULL)) {
        data = value != NULL ? g_bytes_get_data(value, &length) : NULL;
        change = ms_job_table_apply(entry->table, record->key, data, length, &job);
    }
    if (change == MS_CHANGED_UNREADABLE) {
        ms_log(MS_LOG_WARNING, "event=record_unreadable stream=jobs key=%s bytes=%zu", record->key,
               record->value != NULL ? g_bytes_get_size(record->value) : 0);
    }
    if (change == MS_CHANGED_HOST) {
        note_host_record(entry, record->key + strlen(MS_KEY_HOST));
    }
    if (change != MS_CHANGED_UNREADABLE && length > 0 &&
        g_str_has_prefix(record->key, MS_KEY_EARLY_CANCEL)) {
        ms_early_cancel_read(entry, record->key + strlen(MS_KEY_EARLY_CANCEL));
    }
    handle_change(entry, change, job);
    if (value != NULL) {
        g_bytes_unref(value);
    }
}

static void
apply_jobs(struct ms_entry *entry, const struct ms_keyed_log_batch *batch, bool snapshot)
{
    bool replace = replaces_table(entry, batch, snapshot);
    if (replace) {
        ms_job_table_begin_snapshot(entry->table);
    }
    for (guint i = 0; i < batch->records->len; i++) {
        apply_job_record(entry, &g_array_index(batch->records, struct ms_keyed_log_record, i));
    }
    if (replace) {
        guint dropped = ms_job_table_end_snapshot(entry->table);
        ms_log(MS_LOG_NOTICE, "event=snapshot_applied stream=jobs jobs=%u dropped=%u",
               g_hash_table_size(entry->table->jobs), dropped);
    }
    entry->jobs_next_offset = batch->next_offset;
    ms_counter_set(entry->counters, MS_GAUGE_APPLIED_OFFSET, entry->jobs_next_offset);
    ms_counter_add(entry->counters, MS_COUNT_LOG_RECORDS_READ, batch->records->len);
}

/* Replaces the configuration if VALUE is a readable, newer version. */
static void
apply_policy(struct ms_entry *entry, GBytes *value)
{
    char error[MS_DETAIL_MAX];
    struct ms_policy *policy = ms_policy_decode(value, error, sizeof(error));
    if (policy == NULL) {
        ms_log(MS_LOG_WARNING,
               "event=config_unreadable error=\"%s\" kept_version=%" G_GUINT64_FORMAT, error,
               entry->policy != NULL ? entry->policy->version : 0);
        return;
    }
    if (entry->policy != NULL && policy->version <= entry->policy->version) {
        ms_policy_free(policy);
        return;
    }
    ms_log(MS_LOG_NOTICE,
           "event=config_applied version=%" G_GUINT64_FORMAT " queues=%zu accounts=%zu",
           policy->version, policy->queue_count, policy->account_count);
    struct ms_policy *replaced = entry->policy;
    entry->policy = policy;
    if (entry->engine != NULL) {
        ms_engine_set_policy(entry->engine, policy);
    }
    ms_policy_free(replaced);
}

static void
apply_rules(struct ms_entry *entry, const struct ms_keyed_log_batch *batch, bool snapshot)
{
    char dc[MS_NAME_MAX];
    if (snapshot) {
        g_hash_table_remove_all(entry->dcs_out_of_service);
    }
    for (guint i = 0; i < batch->records->len; i++) {
        const struct ms_keyed_log_record *record =
            &g_array_index(batch->records, struct ms_keyed_log_record, i);
        switch (ms_operator_record_kind(record->key, dc)) {
        case MS_OPERATOR_RECORD_POLICY:
            if (record->value != NULL) {
                apply_policy(entry, record->value);
            }
            break;
        case MS_OPERATOR_RECORD_DC_OUT:
            ms_log(MS_LOG_NOTICE, "event=dc_%s dc=%s", record->value != NULL ? "out" : "in", dc);
            if (record->value != NULL) {
                g_hash_table_add(entry->dcs_out_of_service, g_strdup(dc));
            }
            else {
                g_hash_table_remove(entry->dcs_out_of_service, dc);
            }
            break;
        case MS_OPERATOR_RECORD_OTHER:
            break;
        }
    }
    if (entry->engine != NULL) {
        ms_engine_set_dcs_out(entry->engine, entry->dcs_out_of_service);
    }
}

static void
apply_batch(struct ms_entry *entry, const struct ms_entry_message *message, bool snapshot)
{
    set_reachable(entry, message->stream, true, "answer");
    switch (message->stream) {
    case MS_STREAM_JOBS:
        apply_jobs(entry, message->batch, snapshot);
        entry->jobs_loaded = true;
        entry->jobs_current_at = MAX(entry->jobs_current_at, message->current_at);
        break;
    case MS_STREAM_RULES:
        apply_rules(entry, message->batch, snapshot);
        entry->rules_current_at = MAX(entry->rules_current_at, message->current_at);
        break;
    case MS_STREAM_SERVERS:
        ms_actions_apply_directory(entry, message->batch, snapshot);
        break;
    case MS_STREAM_COUNT:
        break;
    }
}

void
ms_streams_apply_message(struct ms_entry *entry, const struct ms_entry_message *message)
{
    switch (message->kind) {
    case MS_ENTRY_SNAPSHOT:
        apply_batch(entry, message, true);
        break;
    case MS_ENTRY_RECORDS:
        apply_batch(entry, message, false);
        break;
    default:
        ms_counter_add(entry->counters, MS_COUNT_LOG_READS_FAILED, 1);
        if (message->log_result != MS_KEYED_LOG_EXPIRED) {
            set_reachable(entry, message->stream, false,
                          ms_keyed_log_result_name(message->log_result));
        }
        break;
    }
}
