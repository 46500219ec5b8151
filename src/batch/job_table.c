/*
 * job_table.c - applies log records about stored jobs, entry hosts and the leader.
 */
#include <string.h>

#include "batch/job_table.h"
#include "wire/batch.pb-c.h"

static void
free_job(gpointer opaque)
{
    struct ms_stored_job *job = opaque;
    if (job->accepted) {
        ms_batch_spec_clear(&job->spec);
    }
    if (job->state != NULL) {
        g_bytes_unref(job->state);
    }
    g_free(job);
}

struct ms_job_table *
ms_job_table_new(void)
{
    struct ms_job_table *table = g_new0(struct ms_job_table, 1);
    table->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_job);
    table->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    table->early_cancels = ms_early_cancels_new();
    return table;
}

void
ms_job_table_free(struct ms_job_table *table)
{
    if (table == NULL) {
        return;
    }
    g_hash_table_destroy(table->jobs);
    g_hash_table_destroy(table->hosts);
    ms_early_cancels_free(table->early_cancels);
    g_free(table);
}

struct ms_stored_job *
ms_job_table_find(const struct ms_job_table *table, const char *id)
{
    return g_hash_table_lookup(table->jobs, id);
}

/* The job, which is added if it is new. */
static struct ms_stored_job *
find_or_add_job(struct ms_job_table *table, const char *id)
{
    struct ms_stored_job *job = ms_job_table_find(table, id);
    if (job == NULL) {
        job = g_new0(struct ms_stored_job, 1);
        g_strlcpy(job->id, id, sizeof(job->id));
        g_hash_table_insert(table->jobs, job->id, job);
    }
    job->snapshot_number = table->snapshot_number;
    return job;
}

void
ms_job_table_begin_snapshot(struct ms_job_table *table)
{
    table->snapshot_number++;
}

static gboolean
is_missing_job(gpointer id, gpointer value, gpointer opaque)
{
    const struct ms_stored_job *job = value;
    const struct ms_job_table *table = opaque;
    (void)id;
    return job->snapshot_number != table->snapshot_number;
}

static gboolean
is_missing_host(gpointer name, gpointer value, gpointer opaque)
{
    const struct ms_entry_host *host = value;
    const struct ms_job_table *table = opaque;
    (void)name;
    return host->snapshot_number != table->snapshot_number;
}

guint
ms_job_table_end_snapshot(struct ms_job_table *table)
{
    g_hash_table_foreach_remove(table->hosts, is_missing_host, table);
    ms_early_cancels_drop_missing(table->early_cancels, table->snapshot_number);
    return g_hash_table_foreach_remove(table->jobs, is_missing_job, table);
}

static enum ms_table_change
apply_leader(struct ms_job_table *table, const uint8_t *value, size_t length)
{
    Ms__Batch__LeadRecord *record = ms__batch__lead_record__unpack(NULL, length, value);
    if (record == NULL) {
        return MS_CHANGED_UNREADABLE;
    }
    struct ms_leader *leader = &table->leader;
    bool valid = false;
    switch ((enum ms_leader_record_kind)record->kind) {
    case MS_LEADER_CLAIM:
        valid = record->epoch == leader->epoch + 1 || leader->epoch == 0;
        break;
    case MS_LEADER_RENEW:
        /* Only the leader renews, so this decides between two claims of one epoch. */
        valid = record->epoch >= leader->epoch;
        break;
    case MS_LEADER_RESIGN:
        valid = record->epoch >= leader->epoch;
        break;
    }
    if (valid) {
        g_strlcpy(leader->name, record->holder, sizeof(leader->name));
        leader->epoch = record->epoch;
        leader->resigned = record->kind == MS_LEADER_RESIGN;
    }
    ms__batch__lead_record__free_unpacked(record, NULL);
    return valid ? MS_CHANGED_LEADER : MS_CHANGED_NOTHING;
}

static enum ms_table_change
apply_host(struct ms_job_table *table, const char *name, const uint8_t *value, size_t length)
{
    if (length == 0) {
        g_hash_table_remove(table->hosts, name);
        return MS_CHANGED_NOTHING;
    }
    Ms__Batch__HostRecord *record = ms__batch__host_record__unpack(NULL, length, value);
    if (record == NULL) {
        return MS_CHANGED_UNREADABLE;
    }
    struct ms_entry_host *host = g_hash_table_lookup(table->hosts, name);
    if (host == NULL) {
        host = g_new0(struct ms_entry_host, 1);
        g_strlcpy(host->name, name, sizeof(host->name));
        g_hash_table_insert(table->hosts, host->name, host);
    }
    host->snapshot_number = table->snapshot_number;
    g_strlcpy(host->address, record->address, sizeof(host->address));
    g_strlcpy(host->dc, record->dc, sizeof(host->dc));
    g_strlcpy(host->region, record->region, sizeof(host->region));
    ms__batch__host_record__free_unpacked(record, NULL);
    return MS_CHANGED_HOST;
}

static enum ms_table_change
apply_accepted(struct ms_job_table *table, const char *id, const uint8_t *value, size_t length,
               struct ms_stored_job **job_out)
{
    struct ms_stored_job *job = find_or_add_job(table, id);
    *job_out = job;
    if (job->accepted) {
        return MS_CHANGED_NOTHING;
    }
    if (ms_batch_spec_unpack(id, value, length, &job->spec) != MS_OK) {
        return MS_CHANGED_UNREADABLE;
    }
    job->accepted = true;
    job->cancelled |= ms_early_cancels_match(table->early_cancels, id, &job->spec);
    return MS_CHANGED_ACCEPTED;
}

/* An early cancellation also applies to a job that was accepted just before it. */
static enum ms_table_change
apply_early_cancel(struct ms_job_table *table, const char *key, const uint8_t *value, size_t length,
                   struct ms_stored_job **job_out)
{
    if (length == 0) {
        ms_early_cancels_remove(table->early_cancels, key);
        return MS_CHANGED_NOTHING;
    }
    const struct ms_early_cancel *item =
        ms_early_cancels_apply(table->early_cancels, key, value, length, table->snapshot_number);
    if (item == NULL) {
        return MS_CHANGED_UNREADABLE;
    }
    struct ms_stored_job *job = ms_job_table_find(table, item->id);
    if (job == NULL || !job->accepted || job->cancelled ||
        !ms_early_cancels_match(table->early_cancels, item->id, &job->spec)) {
        return MS_CHANGED_EARLY_CANCEL;
    }
    job->cancelled = true;
    *job_out = job;
    return MS_CHANGED_CANCELLED;
}

static enum ms_table_change
apply_state(struct ms_job_table *table, const char *id, const uint8_t *value, size_t length,
            struct ms_stored_job **job_out)
{
    Ms__Batch__StateRecord *record = ms__batch__state_record__unpack(NULL, length, value);
    if (record == NULL) {
        return MS_CHANGED_UNREADABLE;
    }
    struct ms_stored_job *job = find_or_add_job(table, id);
    *job_out = job;
    job->phase = (enum ms_phase)record->phase;
    job->started = record->begun;
    if (job->state != NULL) {
        g_bytes_unref(job->state);
    }
    job->state = g_bytes_new(value, length);
    ms__batch__state_record__free_unpacked(record, NULL);
    return MS_CHANGED_STATE;
}

enum ms_table_change
ms_job_table_apply(struct ms_job_table *table, const char *key, const uint8_t *value, size_t length,
                   struct ms_stored_job **job)
{
    *job = NULL;
    if (strcmp(key, MS_KEY_LEADER) == 0) {
        return apply_leader(table, value, length);
    }
    const char *id = key + 2;
    if (g_str_has_prefix(key, MS_KEY_HOST)) {
        return apply_host(table, id, value, length);
    }
    if (g_str_has_prefix(key, MS_KEY_EARLY_CANCEL)) {
        return apply_early_cancel(table, id, value, length, job);
    }
    if (strlen(key) < 3 || strlen(id) >= MS_JOB_ID_MAX) {
        return MS_CHANGED_UNREADABLE;
    }
    bool is_job = g_str_has_prefix(key, MS_KEY_JOB);
    if (length == 0) {
        /* All keys of a job are removed together: the first removal drops the job. */
        g_hash_table_remove(table->jobs, id);
        return MS_CHANGED_NOTHING;
    }
    if (is_job) {
        return apply_accepted(table, id, value, length, job);
    }
    if (g_str_has_prefix(key, MS_KEY_STATE)) {
        return apply_state(table, id, value, length, job);
    }
    if (!g_str_has_prefix(key, MS_KEY_CANCEL)) {
        return MS_CHANGED_UNREADABLE;
    }
    *job = find_or_add_job(table, id);
    bool already_cancelled = (*job)->cancelled;
    (*job)->cancelled = true;
    return already_cancelled ? MS_CHANGED_NOTHING : MS_CHANGED_CANCELLED;
}

enum ms_phase
ms_stored_job_phase(const struct ms_stored_job *job)
{
    if (job->phase == MS_PHASE_OPEN && job->cancelled) {
        return MS_PHASE_CANCELLED;
    }
    return job->phase;
}

uint32_t
ms_job_table_count_waiting(const struct ms_job_table *table, const char *queue)
{
    uint32_t waiting = 0;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, table->jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct ms_stored_job *job = value;
        if (job->accepted && !job->started && ms_stored_job_phase(job) == MS_PHASE_OPEN &&
            strcmp(job->spec.queue, queue) == 0) {
            waiting++;
        }
    }
    return waiting;
}

uint8_t *
ms_host_record_pack(const struct ms_entry_host *host, int64_t unix_ms, size_t *length)
{
    Ms__Batch__HostRecord record = MS__BATCH__HOST_RECORD__INIT;
    record.address = (char *)host->address;
    record.dc = (char *)host->dc;
    record.region = (char *)host->region;
    record.told_ms = unix_ms;
    *length = ms__batch__host_record__get_packed_size(&record);
    uint8_t *bytes = g_malloc(*length + 1);
    ms__batch__host_record__pack(&record, bytes);
    return bytes;
}

uint8_t *
ms_leader_record_pack(const char *name, uint64_t epoch, enum ms_leader_record_kind kind,
                      size_t *length)
{
    Ms__Batch__LeadRecord record = MS__BATCH__LEAD_RECORD__INIT;
    record.holder = (char *)name;
    record.epoch = epoch;
    record.kind = kind;
    *length = ms__batch__lead_record__get_packed_size(&record);
    uint8_t *bytes = g_malloc(*length + 1);
    ms__batch__lead_record__pack(&record, bytes);
    return bytes;
}
