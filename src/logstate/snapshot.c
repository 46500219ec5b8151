/*
 * snapshot.c - snapshots of the state, stored as records of the log.
 *
 * The log retains records for a limited time only, so the whole state is
 * published again before the oldest record that it depends on expires.  Any
 * host may publish; a host whose state is complete does not restore snapshots
 * from the log.
 */
#include <string.h>

#include "logstate/private.h"

void
ms_partial_snapshot_free(void *memory)
{
    struct ms_partial_snapshot *partial = memory;
    for (uint32_t i = 0; i < partial->part_count; i++) {
        if (partial->data[i] != NULL) {
            g_byte_array_unref(partial->data[i]);
        }
    }
    g_free(partial->data);
    g_free(partial);
}

/*
 * A snapshot message under construction.  It refers to strings of the state, and
 * `allocations` are the messages and arrays that were allocated for it.
 */
struct snapshot_builder {
    Ms__Wire__Snapshot snapshot;
    GPtrArray *allocations;
};

static void *
builder_alloc(struct snapshot_builder *builder, size_t size)
{
    void *memory = g_malloc0(size);
    g_ptr_array_add(builder->allocations, memory);
    return memory;
}

static void
build_rules(struct snapshot_builder *builder, const struct ms_logstate *state)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    size_t count = g_hash_table_size(state->rules);
    builder->snapshot.rules = builder_alloc(builder, (count + 1) * sizeof(void *));
    g_hash_table_iter_init(&iterator, state->rules);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct ms_rule_entry *entry = value;
        Ms__Wire__RuleState *rule = builder_alloc(builder, sizeof(*rule));
        ms__wire__rule_state__init(rule);
        rule->key = entry->key;
        rule->line = entry->parsed.text;
        rule->version = entry->version;
        rule->requester = entry->parsed.requester;
        rule->removed = entry->removed;
        builder->snapshot.rules[builder->snapshot.n_rules++] = rule;
    }
}

static void
build_tokens(struct snapshot_builder *builder, const struct ms_logstate *state)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    size_t count = g_hash_table_size(state->tokens);
    builder->snapshot.tokens = builder_alloc(builder, (count + 1) * sizeof(void *));
    g_hash_table_iter_init(&iterator, state->tokens);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        Ms__Wire__TokenState *token = builder_alloc(builder, sizeof(*token));
        ms__wire__token_state__init(token);
        token->token = value;
        builder->snapshot.tokens[builder->snapshot.n_tokens++] = token;
    }
}

static void
build_accepted_jobs(struct snapshot_builder *builder, const struct ms_logstate *state)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    size_t count = g_hash_table_size(state->accepted_jobs);
    builder->snapshot.accepts = builder_alloc(builder, (count + 1) * sizeof(void *));
    g_hash_table_iter_init(&iterator, state->accepted_jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct ms_accepted_job *entry = value;
        Ms__Wire__AcceptState *accept = builder_alloc(builder, sizeof(*accept));
        ms__wire__accept_state__init(accept);
        accept->accept = builder_alloc(builder, sizeof(*accept->accept));
        ms_accepted_job_to_wire(entry, accept->accept,
                                builder_alloc(builder, sizeof(Ms__Wire__Spec)));
        accept->version = entry->version;
        builder->snapshot.accepts[builder->snapshot.n_accepts++] = accept;
    }
}

static void
build_epochs(struct snapshot_builder *builder, const struct ms_logstate *state)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    size_t count = g_hash_table_size(state->epochs);
    builder->snapshot.epochs = builder_alloc(builder, (count + 1) * sizeof(void *));
    g_hash_table_iter_init(&iterator, state->epochs);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct ms_dc_epoch *entry = value;
        Ms__Wire__EpochState *epoch = builder_alloc(builder, sizeof(*epoch));
        ms__wire__epoch_state__init(epoch);
        epoch->epoch = builder_alloc(builder, sizeof(*epoch->epoch));
        ms__wire__epoch__init(epoch->epoch);
        epoch->epoch->dc = entry->dc;
        epoch->epoch->host = entry->leader;
        epoch->number = entry->epoch;
        builder->snapshot.epochs[builder->snapshot.n_epochs++] = epoch;
    }
}

static void
build_outcomes(struct snapshot_builder *builder, const struct ms_logstate *state)
{
    size_t count = g_queue_get_length(state->outcome_order);
    builder->snapshot.dones = builder_alloc(builder, (count + 1) * sizeof(void *));
    for (GList *node = state->outcome_order->head; node != NULL; node = node->next) {
        Ms__Wire__Outcome *outcome = g_hash_table_lookup(state->outcomes, node->data);
        if (outcome == NULL) {
            continue;
        }
        Ms__Wire__DoneState *done = builder_alloc(builder, sizeof(*done));
        ms__wire__done_state__init(done);
        done->outcome = outcome;
        builder->snapshot.dones[builder->snapshot.n_dones++] = done;
    }
}

GByteArray *
ms_logstate_pack_snapshot(const struct ms_logstate *state)
{
    struct snapshot_builder builder = {.allocations = g_ptr_array_new_with_free_func(g_free)};
    ms__wire__snapshot__init(&builder.snapshot);
    builder.snapshot.as_of = state->next_offset;
    builder.snapshot.guarantees_version = state->guarantees_version;
    build_rules(&builder, state);
    build_tokens(&builder, state);
    build_accepted_jobs(&builder, state);
    build_epochs(&builder, state);
    build_outcomes(&builder, state);
    size_t size = ms__wire__snapshot__get_packed_size(&builder.snapshot);
    GByteArray *bytes = g_byte_array_new();
    g_byte_array_set_size(bytes, (guint)size);
    ms__wire__snapshot__pack(&builder.snapshot, bytes->data);
    g_ptr_array_free(builder.allocations, TRUE);
    return bytes;
}

/* The requester is parsed from the comment of a rule line, so it is appended as one. */
static void
restore_rule(struct ms_logstate *state, const Ms__Wire__RuleState *rule)
{
    char reason[MS_DETAIL_MAX];
    struct ms_rule_entry *entry = g_new0(struct ms_rule_entry, 1);
    char *text = g_strdup_printf("%s # %s", rule->line, rule->requester);
    if (ms_rule_line_parse(text, &entry->parsed, reason, sizeof(reason)) == MS_OK) {
        g_strlcpy(entry->key, rule->key, sizeof(entry->key));
        entry->version = rule->version;
        entry->removed = rule->removed;
        entry->parsed.rule.removed = rule->removed;
        state->rules_version = MAX(state->rules_version, rule->version);
        g_hash_table_replace(state->rules, entry->key, entry);
    }
    else {
        g_free(entry);
    }
    g_free(text);
}

static void
restore_epoch(struct ms_logstate *state, const Ms__Wire__EpochState *epoch)
{
    if (epoch->epoch == NULL) {
        return;
    }
    struct ms_dc_epoch *entry = g_new0(struct ms_dc_epoch, 1);
    g_strlcpy(entry->dc, epoch->epoch->dc, sizeof(entry->dc));
    g_strlcpy(entry->leader, epoch->epoch->host, sizeof(entry->leader));
    entry->epoch = epoch->number;
    g_hash_table_replace(state->epochs, entry->dc, entry);
}

static void
restore_accepted_job(struct ms_logstate *state, const Ms__Wire__AcceptState *accept)
{
    if (accept->accept == NULL || accept->accept->spec == NULL) {
        return;
    }
    struct ms_accepted_job *entry = ms_accepted_job_new(accept->accept, accept->version);
    if (entry != NULL) {
        char *id = g_strdup_printf("%s/%s", entry->spec.account, entry->spec.key);
        g_hash_table_replace(state->accepted_jobs, id, entry);
    }
}

enum ms_result
ms_logstate_restore_snapshot(struct ms_logstate *state, const uint8_t *bytes, size_t length)
{
    Ms__Wire__Snapshot *snapshot = ms__wire__snapshot__unpack(NULL, length, bytes);
    if (snapshot == NULL) {
        return MS_E_INVALID;
    }
    if (state->complete && snapshot->as_of <= state->next_offset) {
        ms__wire__snapshot__free_unpacked(snapshot, NULL);
        return MS_E_CONFLICT;
    }
    ms_logstate_clear(state);
    state->guarantees_version = snapshot->guarantees_version;
    for (size_t i = 0; i < snapshot->n_rules; i++) {
        restore_rule(state, snapshot->rules[i]);
    }
    for (size_t i = 0; i < snapshot->n_tokens; i++) {
        if (snapshot->tokens[i]->token != NULL) {
            Ms__Wire__Token *token = ms_token_copy(snapshot->tokens[i]->token);
            g_hash_table_replace(state->tokens, token->id, token);
        }
    }
    for (size_t i = 0; i < snapshot->n_accepts; i++) {
        restore_accepted_job(state, snapshot->accepts[i]);
    }
    for (size_t i = 0; i < snapshot->n_epochs; i++) {
        restore_epoch(state, snapshot->epochs[i]);
    }
    for (size_t i = 0; i < snapshot->n_dones; i++) {
        if (snapshot->dones[i]->outcome != NULL) {
            ms_logstate_add_outcome(state, snapshot->dones[i]->outcome);
        }
    }
    state->next_offset = snapshot->as_of;
    state->complete = true;
    ms__wire__snapshot__free_unpacked(snapshot, NULL);
    return MS_OK;
}

/*
 * Returns the partial snapshot that PART belongs to.  There is one for each
 * publisher; if its offset or number of parts differs from PART, a new one replaces it.
 */
static struct ms_partial_snapshot *
partial_snapshot_for(struct ms_logstate *state, const Ms__Wire__SnapshotPart *part)
{
    struct ms_partial_snapshot *partial =
        g_hash_table_lookup(state->partial_snapshots, part->publisher);
    if (partial != NULL && partial->as_of == part->as_of && partial->part_count == part->parts) {
        return partial;
    }
    partial = g_new0(struct ms_partial_snapshot, 1);
    partial->as_of = part->as_of;
    partial->part_count = part->parts;
    partial->data = g_new0(GByteArray *, part->parts);
    g_hash_table_replace(state->partial_snapshots, g_strdup(part->publisher), partial);
    return partial;
}

static GByteArray *
join_parts(const struct ms_partial_snapshot *partial)
{
    GByteArray *whole = g_byte_array_new();
    for (uint32_t i = 0; i < partial->part_count; i++) {
        g_byte_array_append(whole, partial->data[i]->data, partial->data[i]->len);
    }
    return whole;
}

bool
ms_snapshot_add_part(struct ms_logstate *state, const Ms__Wire__SnapshotPart *part)
{
    /* The limit keeps a malformed record from having a huge array allocated. */
    if (part->parts == 0 || part->part >= part->parts || part->parts > 65536) {
        return false;
    }
    struct ms_partial_snapshot *partial = partial_snapshot_for(state, part);
    if (partial->data[part->part] == NULL) {
        partial->data[part->part] = g_byte_array_new();
        g_byte_array_append(partial->data[part->part], part->data.data, (guint)part->data.len);
        partial->received_count++;
    }
    if (partial->received_count < partial->part_count) {
        return false;
    }
    state->snapshot_offset = MAX(state->snapshot_offset, partial->as_of);
    bool restored = false;
    /* After an older snapshot, records before gap_end would still be missing. */
    if (!state->complete && partial->as_of >= state->gap_end) {
        GByteArray *whole = join_parts(partial);
        restored = ms_logstate_restore_snapshot(state, whole->data, whole->len) == MS_OK;
        g_byte_array_unref(whole);
    }
    g_hash_table_remove(state->partial_snapshots, part->publisher);
    return restored;
}
