/*
 * records.c - the log: applies and appends records, publishes snapshots, and
 * relays records to hosts that cannot reach the log.
 */
#include <stdio.h>
#include <string.h>

#include "node/private.h"
#include "obs/log.h"
#include "wire/convert.h"

#define RELAY_BUFFER_MAX 4000 /* applied records kept for relaying */
#define RELAY_RECORDS_MAX 500 /* records in one message to another host */
#define RELAY_RETRY_MS 1000   /* time before the same records are sent again */
/* Time before a snapshot is published again; the appends of its parts are retried that long. */
#define SNAPSHOT_RETRY_MS 10000
#define TOKEN_GRACE_MS 200 /* time between the deadline of a token request and its failure */

static void
relay_record_free(void *memory)
{
    struct ms_relay_record *buffered = memory;
    g_bytes_unref(buffered->bytes);
    g_free(buffered);
}

void
ms_records_free_relay_buffer(struct ms_node *node)
{
    g_queue_free_full(node->relay_buffer, relay_record_free);
}

static void
add_to_relay_buffer(struct ms_node *node, uint64_t offset, const uint8_t *bytes, size_t length)
{
    struct ms_relay_record *buffered = g_new0(struct ms_relay_record, 1);
    buffered->offset = offset;
    buffered->bytes = g_bytes_new(bytes, length);
    g_queue_push_tail(node->relay_buffer, buffered);
    if (g_queue_get_length(node->relay_buffer) > RELAY_BUFFER_MAX) {
        relay_record_free(g_queue_pop_head(node->relay_buffer));
    }
}

/* Passes every rule in force to the decision core, if this host is the leader. */
static void
pass_all_rules_to_core(struct ms_node *node)
{
    GPtrArray *rules = ms_logstate_active_rules(node->logstate);
    for (guint i = 0; i < rules->len; i++) {
        const struct ms_rule_entry *entry = g_ptr_array_index(rules, i);
        ms_dc_leader_apply_rule(node, &entry->parsed.rule);
    }
    g_ptr_array_free(rules, TRUE);
}

static void
epoch_applied(struct ms_node *node, const struct ms_applied_record *applied)
{
    const Ms__Wire__Epoch *epoch = applied->record->epoch;
    if (strcmp(epoch->dc, node->settings->dc) != 0) {
        return;
    }
    if (strcmp(applied->record->writer, node->epoch_request_writer) != 0) {
        return; /* written by another host, or by an earlier incarnation of this one */
    }
    node->epoch_requested = false;
    if (node->leader.active) {
        ms_dc_leader_confirm_epoch(node, applied->version);
    }
    else if (!node->draining) {
        ms_dc_leader_begin(node, applied->version);
    }
}

static void
rule_applied(struct ms_node *node, const struct ms_applied_record *applied)
{
    const char *key = applied->record->rule->key;
    ms_rules_change_logged(node, applied);
    if (applied->kind != MS_APPLIED_RULE) {
        return;
    }
    const struct ms_rule_entry *entry = ms_logstate_rule(node->logstate, key);
    ms_log(MS_LOG_NOTICE, "event=rule_applied key=\"%s\" version=%" G_GUINT64_FORMAT " removed=%d",
           key, applied->version, entry->removed);
    ms_dc_leader_apply_rule(node, &entry->parsed.rule);
}

static void
accept_applied(struct ms_node *node, const struct ms_applied_record *applied)
{
    const Ms__Wire__Accept *accept = applied->record->accept;
    char id[MS_ID_MAX];
    snprintf(id, sizeof(id), "%s/%s", accept->spec->account, accept->spec->key);
    ms_jobs_accepted(node, applied->record->writer, id, applied->kind == MS_APPLIED_ACCEPT);
    if (applied->kind == MS_APPLIED_ACCEPT) {
        ms_dc_leader_job_accepted(node, id);
    }
}

/* Called by ms_logstate_apply() for the effect of each record. */
static void
record_applied(void *opaque, const struct ms_applied_record *applied)
{
    struct ms_node *node = opaque;
    switch (applied->kind) {
    case MS_APPLIED_NO_EFFECT:
        break;
    case MS_APPLIED_RULE:
    case MS_APPLIED_RULE_CONFLICT:
        rule_applied(node, applied);
        break;
    case MS_APPLIED_TOKEN:
        ms_dc_leader_token_answered(node, applied->record->writer, MS_TOKEN_GRANTED);
        break;
    case MS_APPLIED_TOKEN_CONFLICT:
        ms_dc_leader_token_answered(node, applied->record->writer, MS_TOKEN_DENIED);
        break;
    case MS_APPLIED_ACCEPT:
    case MS_APPLIED_ACCEPT_CONFLICT:
        accept_applied(node, applied);
        break;
    case MS_APPLIED_OUTCOME:
        ms_jobs_done(node, applied->record->done->outcome);
        break;
    case MS_APPLIED_EPOCH:
        epoch_applied(node, applied);
        break;
    case MS_APPLIED_SNAPSHOT:
        pass_all_rules_to_core(node);
        break;
    }
}

static void
apply_record(struct ms_node *node, uint64_t offset, const uint8_t *bytes, size_t length)
{
    if (offset < ms_logstate_next_offset(node->logstate)) {
        return; /* applied already: from another host or from an earlier read */
    }
    if (ms_logstate_apply(node->logstate, offset, bytes, length, record_applied, node) == MS_OK) {
        add_to_relay_buffer(node, offset, bytes, length);
    }
}

/* Updates the offset and time of the latest snapshot, if the log has a newer one. */
static void
update_snapshot_offset(struct ms_node *node)
{
    uint64_t offset = ms_logstate_newest_snapshot_offset(node->logstate);
    if (offset != node->snapshot_offset) {
        node->snapshot_offset = offset;
        node->last_snapshot_at = node->now;
    }
}

/* Applies a batch of records that was read from the log. */
void
ms_records_apply_batch(struct ms_node *node, const struct ms_records_message *message)
{
    if (message->first_offset > ms_logstate_next_offset(node->logstate)) {
        /* The log reader is ahead of the applied state: read again from there. */
        ms_platform_read_from(node->platform, ms_logstate_next_offset(node->logstate));
        return;
    }
    for (guint i = 0; i < message->records->len; i++) {
        gsize length = 0;
        const uint8_t *bytes = g_bytes_get_data(g_ptr_array_index(message->records, i), &length);
        apply_record(node, message->first_offset + i, bytes, length);
    }
    update_snapshot_offset(node);
}

/* The log begins at OFFSET now, since older records have expired: reads on from there. */
void
ms_records_log_truncated(struct ms_node *node, uint64_t offset)
{
    if (ms_logstate_skip_to(node->logstate, offset)) {
        ms_log(MS_LOG_WARNING, "event=log_gap begins=%" G_GUINT64_FORMAT, offset);
        ms_platform_read_from(node->platform, offset);
    }
}

/* Applies records that another host relayed, then lets the log reader go on after them. */
void
ms_records_apply_from_peer(struct ms_node *node, const Ms__Wire__Records *records)
{
    if (records->first_offset > ms_logstate_next_offset(node->logstate) ||
        !ms_logstate_is_complete(node->logstate)) {
        return;
    }
    uint64_t before = ms_logstate_next_offset(node->logstate);
    for (size_t i = 0; i < records->n_records; i++) {
        apply_record(node, records->first_offset + i, records->records[i].data,
                     records->records[i].len);
    }
    if (ms_logstate_next_offset(node->logstate) > before) {
        ms_platform_read_from(node->platform, ms_logstate_next_offset(node->logstate));
    }
}

/* Replaces the state by a copy from another host, unless the copy is no newer or unreadable. */
void
ms_records_restore_state(struct ms_node *node, const uint8_t *bytes, size_t length)
{
    if (ms_logstate_restore_snapshot(node->logstate, bytes, length) != MS_OK) {
        return;
    }
    ms_log(MS_LOG_NOTICE, "event=state_copied next=%" G_GUINT64_FORMAT,
           ms_logstate_next_offset(node->logstate));
    g_queue_clear_full(node->relay_buffer, relay_record_free);
    ms_platform_read_from(node->platform, ms_logstate_next_offset(node->logstate));
    pass_all_rules_to_core(node);
}

/*
 * Sends the buffered records from offset FROM on, as many as one message takes.
 * Returns false when the record at FROM is no longer buffered.
 */
static bool
send_buffered_records(struct ms_node *node, struct ms_host *host, uint64_t from)
{
    const struct ms_relay_record *oldest = g_queue_peek_head(node->relay_buffer);
    if (oldest == NULL || oldest->offset > from) {
        return false;
    }
    ProtobufCBinaryData data[RELAY_RECORDS_MAX];
    Ms__Wire__Envelope envelope;
    Ms__Wire__Records records;
    ms__wire__envelope__init(&envelope);
    ms__wire__records__init(&records);
    records.first_offset = from;
    records.records = data;
    for (GList *link = node->relay_buffer->head;
         link != NULL && records.n_records < RELAY_RECORDS_MAX; link = link->next) {
        const struct ms_relay_record *buffered = link->data;
        if (buffered->offset < from) {
            continue;
        }
        gsize length = 0;
        data[records.n_records].data = (uint8_t *)g_bytes_get_data(buffered->bytes, &length);
        data[records.n_records].len = length;
        records.n_records++;
    }
    envelope.body_case = MS__WIRE__ENVELOPE__BODY_RECORDS;
    envelope.records = &records;
    ms_peers_send(node->peers, host->name, &envelope);
    host->relayed_offset = from + records.n_records;
    return true;
}

/* Sends the whole state; used when the records that HOST needs are no longer buffered. */
static void
send_state_copy(struct ms_node *node, struct ms_host *host)
{
    Ms__Wire__Envelope envelope;
    Ms__Wire__StateCopy copy;
    GByteArray *bytes = ms_logstate_pack_snapshot(node->logstate);
    ms__wire__envelope__init(&envelope);
    ms__wire__state_copy__init(&copy);
    copy.snapshot.data = bytes->data;
    copy.snapshot.len = bytes->len;
    envelope.body_case = MS__WIRE__ENVELOPE__BODY_STATE_COPY;
    envelope.state_copy = &copy;
    ms_peers_send(node->peers, host->name, &envelope);
    host->relayed_offset = ms_logstate_next_offset(node->logstate);
    g_byte_array_unref(bytes);
}

/*
 * Sends HOST the records that it has not applied, if it cannot read the log
 * itself.  Records that were sent less than RELAY_RETRY_MS ago are not repeated.
 */
void
ms_records_relay_to(struct ms_node *node, struct ms_host *host)
{
    uint64_t next = ms_logstate_next_offset(node->logstate);
    if (host->log_reachable || !ms_logstate_is_complete(node->logstate) ||
        host->next_offset >= next) {
        return;
    }
    uint64_t from = host->next_offset;
    if (host->relayed_offset > from && node->now - host->last_relay_at < RELAY_RETRY_MS) {
        from = host->relayed_offset;
    }
    if (from >= next) {
        return;
    }
    host->last_relay_at = node->now;
    if (!send_buffered_records(node, host, from)) {
        send_state_copy(node, host);
    }
}

/*
 * The record is recognised by its writer id when it is read back.  The id consists
 * of name and incarnation of this host (both shortened) and a counter.
 */
bool
ms_records_append(struct ms_node *node, Ms__Wire__LogRecord *record, char *writer,
                  int64_t retry_timeout_ms)
{
    char name[MS_NAME_MAX];
    snprintf(name, sizeof(name), "%.24s.%08x.%" G_GUINT64_FORMAT, node->settings->name,
             (unsigned int)node->incarnation, ++node->writer_count);
    record->writer = name;
    if (writer != NULL) {
        g_strlcpy(writer, name, MS_NAME_MAX);
    }
    GByteArray *bytes = ms_log_record_pack(record);
    record->writer = (char *)protobuf_c_empty_string;
    return ms_platform_append(node->platform, bytes, retry_timeout_ms);
}

/* Appends a snapshot of the state to the log, split into parts. */
static void
publish_snapshot(struct ms_node *node)
{
    GByteArray *bytes = ms_logstate_pack_snapshot(node->logstate);
    uint32_t parts = (bytes->len + MS_SNAPSHOT_PART_MAX_BYTES - 1) / MS_SNAPSHOT_PART_MAX_BYTES;
    for (uint32_t i = 0; i < parts; i++) {
        Ms__Wire__LogRecord record;
        Ms__Wire__SnapshotPart part;
        ms__wire__log_record__init(&record);
        ms__wire__snapshot_part__init(&part);
        part.as_of = ms_logstate_next_offset(node->logstate);
        part.part = i;
        part.parts = parts;
        part.publisher = (char *)node->settings->name;
        part.data.data = bytes->data + (size_t)i * MS_SNAPSHOT_PART_MAX_BYTES;
        part.data.len =
            MIN(MS_SNAPSHOT_PART_MAX_BYTES, bytes->len - i * MS_SNAPSHOT_PART_MAX_BYTES);
        record.body_case = MS__WIRE__LOG_RECORD__BODY_SNAPSHOT;
        record.snapshot = &part;
        ms_records_append(node, &record, NULL, SNAPSHOT_RETRY_MS);
    }
    node->last_snapshot_published_at = node->now;
    ms_counter_add(node->counters, MS_COUNT_SNAPSHOTS, 1);
    ms_log(MS_LOG_NOTICE, "event=snapshot_published as_of=%" G_GUINT64_FORMAT " bytes=%u parts=%u",
           ms_logstate_next_offset(node->logstate), bytes->len, parts);
    g_byte_array_unref(bytes);
}

/*
 * Publishes a snapshot when enough records follow the last one, or when a third
 * of the log's retention time has passed since.  Only the host that the
 * rendezvous hash chooses does so, so that hosts do not all publish one.
 */
static void
publish_snapshot_if_due(struct ms_node *node)
{
    uint64_t next = ms_logstate_next_offset(node->logstate);
    if (!node->log_reachable || !ms_logstate_is_complete(node->logstate) ||
        next == node->snapshot_offset) {
        return;
    }
    bool enough_records =
        next - node->snapshot_offset >= (uint64_t)node->settings->snapshot_records;
    bool too_old = node->now - node->last_snapshot_at >= node->settings->log_retention_ms / 3;
    if (!enough_records && !too_old) {
        return;
    }
    if (node->last_snapshot_published_at > 0 &&
        node->now - node->last_snapshot_published_at < SNAPSHOT_RETRY_MS) {
        return;
    }
    if (ms_members_is_rendezvous_winner(node, "snapshot")) {
        publish_snapshot(node);
    }
}

/* Answers MS_TOKEN_UNAVAILABLE to requests for run tokens that the log did not confirm in time. */
static void
expire_token_requests(struct ms_node *node)
{
    GPtrArray *expired = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer key = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, node->token_requests);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        const struct ms_token_request *request = value;
        if (request->deadline_at + TOKEN_GRACE_MS <= node->now) {
            g_ptr_array_add(expired, g_strdup(key));
        }
    }
    for (guint i = 0; i < expired->len; i++) {
        char *writer = g_ptr_array_index(expired, i);
        ms_dc_leader_token_answered(node, writer, MS_TOKEN_UNAVAILABLE);
        g_free(writer);
    }
    g_ptr_array_free(expired, TRUE);
}

void
ms_records_tick(struct ms_node *node)
{
    expire_token_requests(node);
    publish_snapshot_if_due(node);
}
