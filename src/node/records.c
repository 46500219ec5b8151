/*
 * records.c - the log: applying records, appending, snapshots, and handing
 * records on to hosts that cannot reach the platform.
 */
#include <stdio.h>
#include <string.h>

#include "node/private.h"
#include "obs/log.h"
#include "wire/convert.h"

#define TAIL_MAX 4000           /* applied records kept for relays */
#define RELAY_RECORDS_MAX 500   /* records in one relay */
#define RELAY_AGAIN_MS 1000     /* before the same records are sent again */
#define SNAPSHOT_AGAIN_MS 10000 /* before a snapshot is published again */
#define TOKEN_GRACE_MS 200

static void
tail_free(void *memory)
{
    struct ms_tail_record *tail = memory;
    g_bytes_unref(tail->bytes);
    g_free(tail);
}

void
ms_records_free_tail(struct ms_node *node)
{
    g_queue_free_full(node->tail, tail_free);
}

static void
keep_in_tail(struct ms_node *node, uint64_t offset, const uint8_t *bytes, size_t length)
{
    struct ms_tail_record *tail = g_new0(struct ms_tail_record, 1);
    tail->offset = offset;
    tail->bytes = g_bytes_new(bytes, length);
    g_queue_push_tail(node->tail, tail);
    if (g_queue_get_length(node->tail) > TAIL_MAX) {
        tail_free(g_queue_pop_head(node->tail));
    }
}

static void
feed_all_rules(struct ms_node *node)
{
    GPtrArray *rules = ms_logstate_rules(node->log);
    for (guint i = 0; i < rules->len; i++) {
        const struct ms_rule_entry *entry = g_ptr_array_index(rules, i);
        ms_hold_rule(node, &entry->line.rule);
    }
    g_ptr_array_free(rules, TRUE);
}

static void
epoch_applied(struct ms_node *node, const struct ms_applied *applied)
{
    const Ms__Wire__Epoch *epoch = applied->record->epoch;
    if (strcmp(epoch->dc, node->settings->dc) != 0) {
        return;
    }
    if (strcmp(applied->record->writer, node->epoch_writer) != 0) {
        return; /* of another host, or of an earlier life of this one */
    }
    node->epoch_asked = false;
    if (node->hold.active) {
        ms_hold_confirm(node, applied->version);
    }
    else if (!node->draining) {
        ms_hold_begin(node, applied->version);
    }
}

static void
rule_applied(struct ms_node *node, const struct ms_applied *applied)
{
    const char *key = applied->record->rule->key;
    ms_change_rule_seen(node, applied);
    if (applied->kind != MS_APPLIED_RULE) {
        return;
    }
    const struct ms_rule_entry *entry = ms_logstate_rule(node->log, key);
    ms_log(MS_LOG_NOTICE, "event=rule_applied key=\"%s\" version=%" G_GUINT64_FORMAT " removed=%d",
           key, applied->version, entry->removed);
    ms_hold_rule(node, &entry->line.rule);
}

static void
accept_applied(struct ms_node *node, const struct ms_applied *applied)
{
    const Ms__Wire__Accept *accept = applied->record->accept;
    char id[MS_ID_MAX];
    snprintf(id, sizeof(id), "%s/%s", accept->spec->account, accept->spec->key);
    ms_jobs_accepted(node, applied->record->writer, id, applied->kind == MS_APPLIED_ACCEPT);
    if (applied->kind == MS_APPLIED_ACCEPT) {
        ms_hold_accepted(node, id);
    }
}

/* Reacts to one record that was applied. */
static void
record_applied(void *opaque, const struct ms_applied *applied)
{
    struct ms_node *node = opaque;
    switch (applied->kind) {
    case MS_APPLIED_NOTHING:
        break;
    case MS_APPLIED_RULE:
    case MS_APPLIED_RULE_LOST:
        rule_applied(node, applied);
        break;
    case MS_APPLIED_TOKEN:
        ms_hold_token(node, applied->record->writer, MS_TOKEN_GRANTED);
        break;
    case MS_APPLIED_TOKEN_LOST:
        ms_hold_token(node, applied->record->writer, MS_TOKEN_DENIED);
        break;
    case MS_APPLIED_ACCEPT:
    case MS_APPLIED_ACCEPT_LOST:
        accept_applied(node, applied);
        break;
    case MS_APPLIED_DONE:
        ms_jobs_done(node, applied->record->done->outcome);
        break;
    case MS_APPLIED_EPOCH:
        epoch_applied(node, applied);
        break;
    case MS_APPLIED_SNAPSHOT:
        feed_all_rules(node);
        break;
    }
}

static void
apply_one(struct ms_node *node, uint64_t offset, const uint8_t *bytes, size_t length)
{
    if (offset < ms_logstate_next(node->log)) {
        return; /* known already, from a peer or an earlier read */
    }
    if (ms_logstate_apply(node->log, offset, bytes, length, record_applied, node) == MS_OK) {
        keep_in_tail(node, offset, bytes, length);
    }
}

static void
note_snapshot(struct ms_node *node)
{
    uint64_t offset = ms_logstate_snapshot_offset(node->log);
    if (offset != node->snapshot_seen) {
        node->snapshot_seen = offset;
        node->snapshot_seen_at = node->now;
    }
}

void
ms_records_apply(struct ms_node *node, const struct ms_records_message *message)
{
    if (message->first_offset > ms_logstate_next(node->log)) {
        /* The reader is ahead of the state: make it go back. */
        ms_platform_seek(node->platform, ms_logstate_next(node->log));
        return;
    }
    for (guint i = 0; i < message->records->len; i++) {
        gsize length = 0;
        const uint8_t *bytes = g_bytes_get_data(g_ptr_array_index(message->records, i), &length);
        apply_one(node, message->first_offset + i, bytes, length);
    }
    note_snapshot(node);
}

void
ms_records_gap(struct ms_node *node, uint64_t offset)
{
    if (ms_logstate_skip_to(node->log, offset)) {
        ms_log(MS_LOG_WARNING, "event=log_gap begins=%" G_GUINT64_FORMAT, offset);
        ms_platform_seek(node->platform, offset);
    }
}

void
ms_records_from_peer(struct ms_node *node, const Ms__Wire__Records *records)
{
    if (records->first_offset > ms_logstate_next(node->log) || !ms_logstate_complete(node->log)) {
        return;
    }
    uint64_t before = ms_logstate_next(node->log);
    for (size_t i = 0; i < records->n_records; i++) {
        apply_one(node, records->first_offset + i, records->records[i].data,
                  records->records[i].len);
    }
    if (ms_logstate_next(node->log) > before) {
        ms_platform_seek(node->platform, ms_logstate_next(node->log));
    }
}

void
ms_records_state_copy(struct ms_node *node, const uint8_t *bytes, size_t length)
{
    if (ms_logstate_restore(node->log, bytes, length) != MS_OK) {
        return;
    }
    ms_log(MS_LOG_NOTICE, "event=state_copied next=%" G_GUINT64_FORMAT,
           ms_logstate_next(node->log));
    g_queue_clear_full(node->tail, tail_free);
    ms_platform_seek(node->platform, ms_logstate_next(node->log));
    feed_all_rules(node);
}

/* Sends the records from offset FROM on, as far as they are kept. */
static bool
send_tail(struct ms_node *node, struct ms_host *host, uint64_t from)
{
    const struct ms_tail_record *oldest = g_queue_peek_head(node->tail);
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
    for (GList *link = node->tail->head; link != NULL && records.n_records < RELAY_RECORDS_MAX;
         link = link->next) {
        const struct ms_tail_record *tail = link->data;
        if (tail->offset < from) {
            continue;
        }
        gsize length = 0;
        data[records.n_records].data = (uint8_t *)g_bytes_get_data(tail->bytes, &length);
        data[records.n_records].len = length;
        records.n_records++;
    }
    envelope.body_case = MS__WIRE__ENVELOPE__BODY_RECORDS;
    envelope.records = &records;
    ms_peers_send(node->peers, host->name, &envelope);
    host->relayed = from + records.n_records;
    return true;
}

static void
send_state(struct ms_node *node, struct ms_host *host)
{
    Ms__Wire__Envelope envelope;
    Ms__Wire__StateCopy copy;
    GByteArray *bytes = ms_logstate_snapshot(node->log);
    ms__wire__envelope__init(&envelope);
    ms__wire__state_copy__init(&copy);
    copy.snapshot.data = bytes->data;
    copy.snapshot.len = bytes->len;
    envelope.body_case = MS__WIRE__ENVELOPE__BODY_STATE_COPY;
    envelope.state_copy = &copy;
    ms_peers_send(node->peers, host->name, &envelope);
    host->relayed = ms_logstate_next(node->log);
    g_byte_array_unref(bytes);
}

/* Hands on what HOST, which cannot read the log itself, has not applied. */
void
ms_records_relay(struct ms_node *node, struct ms_host *host)
{
    uint64_t next = ms_logstate_next(node->log);
    if (host->log_reachable || !ms_logstate_complete(node->log) || host->applied >= next) {
        return;
    }
    uint64_t from = host->applied;
    if (host->relayed > from && node->now - host->relayed_at < RELAY_AGAIN_MS) {
        from = host->relayed;
    }
    if (from >= next) {
        return;
    }
    host->relayed_at = node->now;
    if (!send_tail(node, host, from)) {
        send_state(node, host);
    }
}

bool
ms_records_append(struct ms_node *node, Ms__Wire__LogRecord *record, char *writer,
                  int64_t give_up_ms)
{
    char name[MS_NAME_MAX];
    snprintf(name, sizeof(name), "%.24s.%08x.%" G_GUINT64_FORMAT, node->settings->name,
             (unsigned int)node->incarnation, ++node->writer_count);
    record->writer = name;
    if (writer != NULL) {
        g_strlcpy(writer, name, MS_NAME_MAX);
    }
    GByteArray *bytes = ms_record_pack(record);
    record->writer = (char *)protobuf_c_empty_string;
    return ms_platform_append(node->platform, bytes, give_up_ms);
}

static void
publish_snapshot(struct ms_node *node)
{
    GByteArray *bytes = ms_logstate_snapshot(node->log);
    uint32_t parts = (bytes->len + MS_SNAPSHOT_PART_MAX - 1) / MS_SNAPSHOT_PART_MAX;
    for (uint32_t i = 0; i < parts; i++) {
        Ms__Wire__LogRecord record;
        Ms__Wire__SnapshotPart part;
        ms__wire__log_record__init(&record);
        ms__wire__snapshot_part__init(&part);
        part.as_of = ms_logstate_next(node->log);
        part.part = i;
        part.parts = parts;
        part.publisher = (char *)node->settings->name;
        part.data.data = bytes->data + (size_t)i * MS_SNAPSHOT_PART_MAX;
        part.data.len = MIN(MS_SNAPSHOT_PART_MAX, bytes->len - i * MS_SNAPSHOT_PART_MAX);
        record.body_case = MS__WIRE__LOG_RECORD__BODY_SNAPSHOT;
        record.snapshot = &part;
        ms_records_append(node, &record, NULL, SNAPSHOT_AGAIN_MS);
    }
    node->snapshot_sent_at = node->now;
    ms_counter_add(node->counters, MS_COUNT_SNAPSHOTS, 1);
    ms_log(MS_LOG_NOTICE, "event=snapshot_published as_of=%" G_GUINT64_FORMAT " bytes=%u parts=%u",
           ms_logstate_next(node->log), bytes->len, parts);
    g_byte_array_unref(bytes);
}

/* Publishes a snapshot when the last one grows old and it is our turn. */
static void
consider_snapshot(struct ms_node *node)
{
    uint64_t next = ms_logstate_next(node->log);
    if (!node->log_reachable || !ms_logstate_complete(node->log) || next == node->snapshot_seen) {
        return;
    }
    bool many = next - node->snapshot_seen >= (uint64_t)node->settings->snapshot_records;
    bool old = node->now - node->snapshot_seen_at >= node->settings->log_retention_ms / 3;
    if (!many && !old) {
        return;
    }
    if (node->snapshot_sent_at > 0 && node->now - node->snapshot_sent_at < SNAPSHOT_AGAIN_MS) {
        return;
    }
    if (ms_members_first_alive(node, "snapshot")) {
        publish_snapshot(node);
    }
}

/* Gives up on run tokens that the log did not confirm in time. */
static void
expire_tokens(struct ms_node *node)
{
    GPtrArray *late = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer key = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, node->token_writers);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        const struct ms_token_wait *wait = value;
        if (wait->give_up_at + TOKEN_GRACE_MS <= node->now) {
            g_ptr_array_add(late, g_strdup(key));
        }
    }
    for (guint i = 0; i < late->len; i++) {
        char *writer = g_ptr_array_index(late, i);
        ms_hold_token(node, writer, MS_TOKEN_UNAVAILABLE);
        g_free(writer);
    }
    g_ptr_array_free(late, TRUE);
}

void
ms_records_tick(struct ms_node *node)
{
    expire_tokens(node);
    consider_snapshot(node);
}
