/*
 * logstate.c - replicated state built from the records of the platform's log.
 *
 * A replicated state machine whose commands are ordered by the log (Schneider,
 * "Implementing Fault-Tolerant Services Using the State Machine Approach", ACM
 * Computing Surveys 1990): of conflicting records, the first in the log wins.
 */
#include <stdio.h>
#include <string.h>

#include "logstate/private.h"
#include "wire/convert.h"

void
ms_token_free(void *token)
{
    ms__wire__token__free_unpacked(token, NULL);
}

void
ms_outcome_free(void *outcome)
{
    ms__wire__outcome__free_unpacked(outcome, NULL);
}

void
ms_accepted_job_free(void *memory)
{
    struct ms_accepted_job *entry = memory;
    g_free((void *)entry->spec.payload);
    g_free(entry);
}

/* protobuf-c has no copy function, so a message is packed and unpacked again. */
Ms__Wire__Token *
ms_token_copy(const Ms__Wire__Token *token)
{
    size_t size = ms__wire__token__get_packed_size(token);
    uint8_t *packed = g_malloc(size + 1);
    ms__wire__token__pack(token, packed);
    Ms__Wire__Token *copy = ms__wire__token__unpack(NULL, size, packed);
    g_free(packed);
    return copy;
}

Ms__Wire__Outcome *
ms_outcome_copy(const Ms__Wire__Outcome *outcome)
{
    size_t size = ms__wire__outcome__get_packed_size(outcome);
    uint8_t *packed = g_malloc(size + 1);
    ms__wire__outcome__pack(outcome, packed);
    Ms__Wire__Outcome *copy = ms__wire__outcome__unpack(NULL, size, packed);
    g_free(packed);
    return copy;
}

struct ms_logstate *
ms_logstate_new(void)
{
    struct ms_logstate *state = g_new0(struct ms_logstate, 1);
    state->complete = true;
    state->rules = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    state->tokens = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, ms_token_free);
    state->accepted_jobs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, ms_accepted_job_free);
    state->outcomes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, ms_outcome_free);
    state->outcome_order = g_queue_new();
    state->epochs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    state->rule_history = g_queue_new();
    state->partial_snapshots =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, ms_partial_snapshot_free);
    state->deferred_records = g_queue_new();
    return state;
}

static void
deferred_record_free(void *memory)
{
    struct ms_deferred_record *deferred = memory;
    g_bytes_unref(deferred->bytes);
    g_free(deferred);
}

void
ms_logstate_clear(struct ms_logstate *state)
{
    g_hash_table_remove_all(state->rules);
    g_hash_table_remove_all(state->tokens);
    g_hash_table_remove_all(state->accepted_jobs);
    g_hash_table_remove_all(state->outcomes);
    g_queue_clear_full(state->outcome_order, g_free);
    g_hash_table_remove_all(state->epochs);
}

void
ms_logstate_free(struct ms_logstate *state)
{
    if (state == NULL) {
        return;
    }
    ms_logstate_clear(state);
    g_hash_table_destroy(state->rules);
    g_hash_table_destroy(state->tokens);
    g_hash_table_destroy(state->accepted_jobs);
    g_hash_table_destroy(state->outcomes);
    g_queue_free_full(state->outcome_order, g_free);
    g_hash_table_destroy(state->epochs);
    g_queue_free_full(state->rule_history, g_free);
    g_hash_table_destroy(state->partial_snapshots);
    g_queue_free_full(state->deferred_records, deferred_record_free);
    g_free(state);
}

uint64_t
ms_logstate_next_offset(const struct ms_logstate *state)
{
    return state->next_offset;
}

bool
ms_logstate_is_complete(const struct ms_logstate *state)
{
    return state->complete;
}

uint64_t
ms_logstate_newest_snapshot_offset(const struct ms_logstate *state)
{
    return state->snapshot_offset;
}

/* Appends CHANGE to the rule history; REASON is NULL when it took effect. */
static void
add_to_history(struct ms_logstate *state, const Ms__Wire__RuleChange *change, uint64_t version,
               const char *reason)
{
    struct ms_rule_history_entry *entry = g_new0(struct ms_rule_history_entry, 1);
    entry->version = version;
    entry->accepted = reason == NULL;
    g_strlcpy(entry->key, change->key, sizeof(entry->key));
    g_strlcpy(entry->text, change->line, sizeof(entry->text));
    g_strlcpy(entry->requester, change->requester, sizeof(entry->requester));
    g_strlcpy(entry->reason, reason != NULL ? reason : "", sizeof(entry->reason));
    g_queue_push_tail(state->rule_history, entry);
    if (g_queue_get_length(state->rule_history) > MS_RULE_HISTORY_MAX) {
        g_free(g_queue_pop_head(state->rule_history));
    }
}

/*
 * Checks that CHANGE is based on the current version of its rule and, for a
 * guarantee, of all guarantees.  Returns NULL, or REASON with the conflict.
 */
static const char *
find_rule_conflict(const struct ms_logstate *state, const Ms__Wire__RuleChange *change,
                   char *reason, size_t size)
{
    const struct ms_rule_entry *entry = g_hash_table_lookup(state->rules, change->key);
    uint64_t current = entry != NULL ? entry->version : 0;
    if (current != change->replaces) {
        snprintf(reason, size,
                 "the rule was at version %" G_GUINT64_FORMAT ", last changed by %.60s", current,
                 entry != NULL ? entry->parsed.requester : "nobody");
        return reason;
    }
    bool guarantee = g_str_has_prefix(change->key, "guarantee ");
    if (guarantee && change->guarantees_version != state->guarantees_version) {
        snprintf(reason, size, "the guarantees were last changed in version %" G_GUINT64_FORMAT,
                 state->guarantees_version);
        return reason;
    }
    return NULL;
}

static enum ms_applied_kind
apply_rule(struct ms_logstate *state, const Ms__Wire__RuleChange *change, uint64_t version)
{
    char reason[MS_DETAIL_MAX];
    struct ms_rule_line line;
    bool removed = change->line[0] == '\0';
    /* The parser takes the requester from the comment of the line. */
    char *with_comment = g_strdup_printf("%s # %s", change->line, change->requester);
    enum ms_result parsed =
        removed ? MS_OK : ms_rule_line_parse(with_comment, &line, reason, sizeof(reason));
    g_free(with_comment);
    if (parsed != MS_OK || strlen(change->key) >= MS_RULE_KEY_MAX) {
        add_to_history(state, change, version, "the record is malformed");
        return MS_APPLIED_RULE_CONFLICT;
    }
    const char *conflict = find_rule_conflict(state, change, reason, sizeof(reason));
    if (conflict != NULL) {
        add_to_history(state, change, version, conflict);
        return MS_APPLIED_RULE_CONFLICT;
    }
    struct ms_rule_entry *entry = g_hash_table_lookup(state->rules, change->key);
    if (entry == NULL) {
        if (removed) {
            return MS_APPLIED_NO_EFFECT;
        }
        entry = g_new0(struct ms_rule_entry, 1);
        g_strlcpy(entry->key, change->key, sizeof(entry->key));
        g_hash_table_insert(state->rules, entry->key, entry);
    }
    if (!removed) {
        entry->parsed = line;
    }
    g_strlcpy(entry->parsed.requester, change->requester, sizeof(entry->parsed.requester));
    entry->removed = removed;
    entry->parsed.rule.removed = removed;
    entry->version = version;
    state->rules_version = version;
    if (g_str_has_prefix(change->key, "guarantee ")) {
        state->guarantees_version = version;
    }
    add_to_history(state, change, version, NULL);
    return MS_APPLIED_RULE;
}

/*
 * The first run token of a job wins.  Its holder may replace it in the same epoch
 * to name other servers for a later attempt, which it does only if the earlier
 * attempt did not run.
 */
static enum ms_applied_kind
apply_token(struct ms_logstate *state, const Ms__Wire__Token *token)
{
    const Ms__Wire__Token *current = g_hash_table_lookup(state->tokens, token->id);
    const Ms__Wire__Outcome *outcome = g_hash_table_lookup(state->outcomes, token->id);
    if (outcome != NULL) {
        return MS_APPLIED_TOKEN_CONFLICT;
    }
    bool same_holder = current != NULL && current->epoch == token->epoch &&
                       strcmp(current->dc, token->dc) == 0 &&
                       strcmp(current->holder, token->holder) == 0;
    if (current != NULL && !same_holder) {
        return MS_APPLIED_TOKEN_CONFLICT;
    }
    Ms__Wire__Token *copy = ms_token_copy(token);
    g_hash_table_replace(state->tokens, copy->id, copy);
    return MS_APPLIED_TOKEN;
}

struct ms_accepted_job *
ms_accepted_job_new(const Ms__Wire__Accept *accept, uint64_t version)
{
    struct ms_accepted_job *entry = g_new0(struct ms_accepted_job, 1);
    if (ms_spec_from_wire(accept->spec, 0, &entry->spec) != MS_OK) {
        g_free(entry);
        return NULL;
    }
    entry->remaining_deadline_ms = accept->spec->start_within_ms;
    entry->spec.payload = g_memdup2(accept->spec->payload.data, accept->spec->payload.len);
    g_strlcpy(entry->dc, accept->dc, sizeof(entry->dc));
    entry->version = version;
    return entry;
}

void
ms_accepted_job_to_wire(const struct ms_accepted_job *entry, Ms__Wire__Accept *accept,
                        Ms__Wire__Spec *spec)
{
    ms__wire__accept__init(accept);
    ms_spec_to_wire(&entry->spec, 0, spec);
    spec->start_within_ms = entry->remaining_deadline_ms;
    accept->spec = spec;
    accept->dc = (char *)entry->dc;
}

static enum ms_applied_kind
apply_accept(struct ms_logstate *state, const Ms__Wire__Accept *accept, uint64_t version)
{
    if (accept->spec == NULL) {
        return MS_APPLIED_NO_EFFECT;
    }
    char *id = g_strdup_printf("%s/%s", accept->spec->account, accept->spec->key);
    const struct ms_accepted_job *current = g_hash_table_lookup(state->accepted_jobs, id);
    uint64_t current_version = current != NULL ? current->version : 0;
    if (current_version != accept->replaces || g_hash_table_contains(state->outcomes, id)) {
        g_free(id);
        return MS_APPLIED_ACCEPT_CONFLICT;
    }
    struct ms_accepted_job *entry = ms_accepted_job_new(accept, version);
    if (entry == NULL) {
        g_free(id);
        return MS_APPLIED_NO_EFFECT;
    }
    g_hash_table_replace(state->accepted_jobs, id, entry);
    return MS_APPLIED_ACCEPT;
}

void
ms_logstate_add_outcome(struct ms_logstate *state, const Ms__Wire__Outcome *outcome)
{
    Ms__Wire__Outcome *copy = ms_outcome_copy(outcome);
    g_hash_table_replace(state->outcomes, copy->id, copy);
    g_queue_push_tail(state->outcome_order, g_strdup(copy->id));
    while (g_queue_get_length(state->outcome_order) > MS_OUTCOMES_MAX) {
        char *oldest = g_queue_pop_head(state->outcome_order);
        g_hash_table_remove(state->outcomes, oldest);
        g_free(oldest);
    }
}

/*
 * Drops the token and the acceptance of a job and stores its outcome.  If the
 * job did not run and was not accepted, the outcome is not stored, so that its
 * key can be submitted again.
 */
static enum ms_applied_kind
apply_done(struct ms_logstate *state, const Ms__Wire__Done *done)
{
    if (done->outcome == NULL || g_hash_table_contains(state->outcomes, done->outcome->id)) {
        return MS_APPLIED_NO_EFFECT;
    }
    g_hash_table_remove(state->tokens, done->outcome->id);
    bool accepted = g_hash_table_remove(state->accepted_jobs, done->outcome->id);
    if (done->outcome->ran != MS_RAN_NO || accepted) {
        ms_logstate_add_outcome(state, done->outcome);
    }
    return MS_APPLIED_OUTCOME;
}

static enum ms_applied_kind
apply_epoch(struct ms_logstate *state, const Ms__Wire__Epoch *epoch, uint64_t version)
{
    struct ms_dc_epoch *entry = g_hash_table_lookup(state->epochs, epoch->dc);
    if (entry == NULL) {
        entry = g_new0(struct ms_dc_epoch, 1);
        g_strlcpy(entry->dc, epoch->dc, sizeof(entry->dc));
        g_hash_table_insert(state->epochs, entry->dc, entry);
    }
    g_strlcpy(entry->leader, epoch->host, sizeof(entry->leader));
    entry->epoch = version;
    return MS_APPLIED_EPOCH;
}

static enum ms_applied_kind
apply_record(struct ms_logstate *state, const Ms__Wire__LogRecord *record, uint64_t version)
{
    switch (record->body_case) {
    case MS__WIRE__LOG_RECORD__BODY_RULE:
        return apply_rule(state, record->rule, version);
    case MS__WIRE__LOG_RECORD__BODY_TOKEN:
        return apply_token(state, record->token);
    case MS__WIRE__LOG_RECORD__BODY_ACCEPT:
        return apply_accept(state, record->accept, version);
    case MS__WIRE__LOG_RECORD__BODY_DONE:
        return apply_done(state, record->done);
    case MS__WIRE__LOG_RECORD__BODY_EPOCH:
        return apply_epoch(state, record->epoch, version);
    case MS__WIRE__LOG_RECORD__BODY_SNAPSHOT:
        return MS_APPLIED_SNAPSHOT;
    default:
        return MS_APPLIED_NO_EFFECT;
    }
}

struct callback {
    void (*function)(void *opaque, const struct ms_applied_record *applied);
    void *opaque;
};

static void
decode_and_apply(struct ms_logstate *state, uint64_t offset, const uint8_t *bytes, size_t length,
                 const struct callback *callback)
{
    Ms__Wire__LogRecord *record = ms__wire__log_record__unpack(NULL, length, bytes);
    if (record == NULL) {
        return;
    }
    struct ms_applied_record applied = {.record = record, .version = offset + 1};
    applied.kind = apply_record(state, record, offset + 1);
    if (callback->function != NULL) {
        callback->function(callback->opaque, &applied);
    }
    ms__wire__log_record__free_unpacked(record, NULL);
}

/* Applies the deferred records that the snapshot just restored does not include. */
static void
apply_deferred(struct ms_logstate *state, const struct callback *callback)
{
    struct ms_deferred_record *deferred = NULL;
    while ((deferred = g_queue_pop_head(state->deferred_records)) != NULL) {
        if (deferred->offset >= state->next_offset) {
            gsize length = 0;
            const uint8_t *bytes = g_bytes_get_data(deferred->bytes, &length);
            decode_and_apply(state, deferred->offset, bytes, length, callback);
            state->next_offset = deferred->offset + 1;
        }
        deferred_record_free(deferred);
    }
}

/*
 * If the record is a snapshot part, adds it.  If that restored the state, the
 * deferred records, among them this one, are applied as well.
 */
static void
collect_snapshot_part(struct ms_logstate *state, const uint8_t *bytes, size_t length,
                      const struct callback *callback)
{
    Ms__Wire__LogRecord *record = ms__wire__log_record__unpack(NULL, length, bytes);
    if (record == NULL) {
        return;
    }
    if (record->body_case == MS__WIRE__LOG_RECORD__BODY_SNAPSHOT) {
        uint64_t next = state->next_offset;
        if (ms_snapshot_add_part(state, record->snapshot)) {
            apply_deferred(state, callback);
        }
        state->next_offset = MAX(state->next_offset, next);
    }
    ms__wire__log_record__free_unpacked(record, NULL);
}

enum ms_result
ms_logstate_apply(struct ms_logstate *state, uint64_t offset, const uint8_t *bytes, size_t length,
                  void (*function)(void *opaque, const struct ms_applied_record *applied),
                  void *opaque)
{
    struct callback callback = {.function = function, .opaque = opaque};
    if (offset != state->next_offset) {
        return MS_E_CONFLICT;
    }
    if (!state->complete) {
        struct ms_deferred_record *deferred = g_new0(struct ms_deferred_record, 1);
        deferred->offset = offset;
        deferred->bytes = g_bytes_new(bytes, length);
        g_queue_push_tail(state->deferred_records, deferred);
    }
    state->next_offset = offset + 1;
    collect_snapshot_part(state, bytes, length, &callback);
    if (state->complete) {
        /* A record that completed a snapshot was applied above already, but it changes nothing. */
        decode_and_apply(state, offset, bytes, length, &callback);
    }
    return MS_OK;
}

bool
ms_logstate_skip_to(struct ms_logstate *state, uint64_t offset)
{
    if (offset <= state->next_offset) {
        return false;
    }
    state->next_offset = offset;
    state->gap_end = offset;
    state->complete = false;
    g_queue_clear_full(state->deferred_records, deferred_record_free);
    g_hash_table_remove_all(state->partial_snapshots);
    return true;
}

const struct ms_rule_entry *
ms_logstate_rule(const struct ms_logstate *state, const char *key)
{
    return g_hash_table_lookup(state->rules, key);
}

const Ms__Wire__Token *
ms_logstate_token(const struct ms_logstate *state, const char *id)
{
    return g_hash_table_lookup(state->tokens, id);
}

const struct ms_accepted_job *
ms_logstate_accepted_job(const struct ms_logstate *state, const char *id)
{
    return g_hash_table_lookup(state->accepted_jobs, id);
}

const Ms__Wire__Outcome *
ms_logstate_outcome(const struct ms_logstate *state, const char *id)
{
    return g_hash_table_lookup(state->outcomes, id);
}

const struct ms_dc_epoch *
ms_logstate_epoch(const struct ms_logstate *state, const char *dc)
{
    return g_hash_table_lookup(state->epochs, dc);
}

uint64_t
ms_logstate_guarantees_version(const struct ms_logstate *state)
{
    return state->guarantees_version;
}

uint64_t
ms_logstate_rules_version(const struct ms_logstate *state)
{
    return state->rules_version;
}

bool
ms_logstate_dc_is_out(const struct ms_logstate *state, const char *dc)
{
    char key[MS_RULE_KEY_MAX];
    snprintf(key, sizeof(key), "datacentre %s", dc);
    const struct ms_rule_entry *entry = g_hash_table_lookup(state->rules, key);
    return entry != NULL && !entry->removed && entry->parsed.rule.out_of_service;
}

static gint
compare_by_key(gconstpointer a, gconstpointer b)
{
    const struct ms_rule_entry *left = *(const struct ms_rule_entry *const *)a;
    const struct ms_rule_entry *right = *(const struct ms_rule_entry *const *)b;
    return strcmp(left->key, right->key);
}

GPtrArray *
ms_logstate_active_rules(const struct ms_logstate *state)
{
    GPtrArray *rules = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, state->rules);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct ms_rule_entry *entry = value;
        if (!entry->removed) {
            g_ptr_array_add(rules, entry);
        }
    }
    g_ptr_array_sort(rules, compare_by_key);
    return rules;
}

GPtrArray *
ms_logstate_accepted_job_ids(const struct ms_logstate *state)
{
    GPtrArray *ids = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer key = NULL;
    g_hash_table_iter_init(&iterator, state->accepted_jobs);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        g_ptr_array_add(ids, key);
    }
    return ids;
}

const GQueue *
ms_logstate_rule_history(const struct ms_logstate *state)
{
    return state->rule_history;
}

void
ms_logstate_counts(const struct ms_logstate *state, struct ms_logstate_counts *counts)
{
    counts->rules = g_hash_table_size(state->rules);
    counts->tokens = g_hash_table_size(state->tokens);
    counts->accepted_jobs = g_hash_table_size(state->accepted_jobs);
    counts->outcomes = g_hash_table_size(state->outcomes);
}
