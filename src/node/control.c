/*
 * control.c - operators: rules, status, explanations.
 */
#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "node/private.h"
#include "obs/log.h"

#define CHANGE_GIVE_UP_MS 5000  /* for a change to be seen in the log */
#define CONFIRM_GIVE_UP_MS 3000 /* for the other hosts to confirm it */
#define QUERY_GIVE_UP_MS 2000
#define GAUGES_MS 250 /* between two looks at the gauges */
#define RULE_GIVE_UP_MS 4000
#define ERROR_MAX 512

static char *
error_json(const char *error)
{
    json_t *root = json_object();
    json_object_set_new(root, "error", json_string(error));
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}

static char *
take_json(json_t *root)
{
    char *text = json_dumps(root, JSON_INDENT(1));
    json_decref(root);
    return text;
}

/* ---- applying rules ---- */

/* Sizes of all listed servers, for the check of guarantees. */
static GArray *
server_sizes(const struct ms_node *node)
{
    GArray *sizes = g_array_new(FALSE, TRUE, sizeof(struct ms_server_size));
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, node->servers);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct ms_listed *listed = value;
        struct ms_server_size size = {.server = {.slots = listed->slots, .accels = listed->accels}};
        g_strlcpy(size.dc, listed->dc, sizeof(size.dc));
        g_strlcpy(size.server.name, listed->name, sizeof(size.server.name));
        g_strlcpy(size.server.rack, listed->rack, sizeof(size.server.rack));
        g_array_append_val(sizes, size);
    }
    return sizes;
}

static bool
has_key(const GArray *lines, const char *key)
{
    for (guint i = 0; i < lines->len; i++) {
        if (strcmp(g_array_index(lines, struct ms_rule_line, i).key, key) == 0) {
            return true;
        }
    }
    return false;
}

/* The rules as they would be: the text's, and those kept beside them. */
static GArray *
rules_after(const struct ms_node *node, const GArray *lines, bool replace_all)
{
    GArray *after = g_array_new(FALSE, FALSE, sizeof(struct ms_rule_line));
    GPtrArray *present = ms_logstate_rules(node->log);
    for (guint i = 0; i < present->len && !replace_all; i++) {
        const struct ms_rule_entry *entry = g_ptr_array_index(present, i);
        if (!has_key(lines, entry->key)) {
            g_array_append_val(after, entry->line);
        }
    }
    for (guint i = 0; i < lines->len; i++) {
        g_array_append_val(after, g_array_index(lines, struct ms_rule_line, i));
    }
    g_ptr_array_free(present, TRUE);
    return after;
}

/* Checks that a guarantee or limit names an account, and a known data centre. */
static enum ms_result
check_references(const struct ms_node *node, const GArray *after, char *error, size_t size)
{
    for (guint i = 0; i < after->len; i++) {
        const struct ms_rule_line *line = &g_array_index(after, struct ms_rule_line, i);
        const char *account = line->rule.kind == MS_RULE_GUARANTEE ? line->rule.account
                              : line->rule.kind == MS_RULE_LIMIT   ? line->rule.name
                                                                   : NULL;
        const char *dc = line->rule.kind == MS_RULE_GUARANTEE ? line->rule.dc
                         : line->rule.kind == MS_RULE_DC      ? line->rule.name
                                                              : NULL;
        char key[MS_RULE_KEY_MAX];
        snprintf(key, sizeof(key), "account %s", account != NULL ? account : "");
        if (account != NULL && !has_key(after, key)) {
            snprintf(error, size, "line %u: %s: no rule creates the client account %s",
                     line->number, line->key, account);
            return MS_E_INVALID;
        }
        if (dc != NULL && !g_hash_table_contains(node->regions, dc)) {
            snprintf(error, size, "line %u: %s: no data centre is called %s", line->number,
                     line->key, dc);
            return MS_E_INVALID;
        }
    }
    return MS_OK;
}

static enum ms_result
check_rules(const struct ms_node *node, const GArray *lines, bool replace_all, char *error,
            size_t size)
{
    GArray *after = rules_after(node, lines, replace_all);
    GArray *sizes = server_sizes(node);
    enum ms_result result = check_references(node, after, error, size);
    bool has_guarantee = false;
    for (guint i = 0; i < lines->len; i++) {
        has_guarantee |=
            g_array_index(lines, struct ms_rule_line, i).rule.kind == MS_RULE_GUARANTEE;
    }
    if (result == MS_OK && has_guarantee) {
        if (sizes->len == 0) {
            snprintf(error, size, "the backend servers are not known yet; try again later");
            result = MS_E_IO;
        }
        else {
            result = ms_rules_check_guarantees(after, sizes, error, size);
        }
    }
    g_array_unref(sizes);
    g_array_unref(after);
    return result;
}

static void
append_change(struct ms_node *node, struct ms_change *change, const char *key, const char *text,
              const char *requester)
{
    Ms__Wire__LogRecord record;
    Ms__Wire__RuleChange rule;
    char writer[MS_NAME_MAX];
    const struct ms_rule_entry *entry = ms_logstate_rule(node->log, key);
    ms__wire__log_record__init(&record);
    ms__wire__rule_change__init(&rule);
    rule.key = (char *)key;
    rule.line = (char *)text;
    rule.requester = (char *)requester;
    rule.replaces = entry != NULL ? entry->version : 0;
    rule.guarantees_version = ms_logstate_guarantees_version(node->log);
    record.body_case = MS__WIRE__LOG_RECORD__BODY_RULE;
    record.rule = &rule;
    if (ms_records_append(node, &record, writer, RULE_GIVE_UP_MS)) {
        g_ptr_array_add(change->writers, g_strdup(writer));
        change->outstanding++;
    }
    else {
        g_ptr_array_add(change->lost,
                        g_strdup_printf("%s: too many records wait for the log", key));
    }
}

/*
 * Guarantees are appended one by one: each names the version of all
 * guarantees that it was checked against, which the one before it changes.
 */
static bool
next_change(struct ms_node *node, struct ms_change *change, const GArray *lines, bool guarantees)
{
    bool any = false;
    for (guint i = 0; i < lines->len; i++) {
        const struct ms_rule_line *line = &g_array_index(lines, struct ms_rule_line, i);
        const struct ms_rule_entry *entry = ms_logstate_rule(node->log, line->key);
        bool same = entry != NULL && !entry->removed && strcmp(entry->line.text, line->text) == 0;
        if (same || (line->rule.kind == MS_RULE_GUARANTEE) != guarantees) {
            continue;
        }
        append_change(node, change, line->key, line->text, line->requester);
        any = true;
        if (guarantees) {
            return true;
        }
    }
    return any;
}

static bool
remove_missing(struct ms_node *node, struct ms_change *change, const GArray *lines, bool guarantees)
{
    GPtrArray *present = ms_logstate_rules(node->log);
    bool any = false;
    for (guint i = 0; i < present->len; i++) {
        const struct ms_rule_entry *entry = g_ptr_array_index(present, i);
        bool is_guarantee = entry->line.rule.kind == MS_RULE_GUARANTEE;
        if (has_key(lines, entry->key) || is_guarantee != guarantees) {
            continue;
        }
        append_change(node, change, entry->key, "", "removed: not in the applied file");
        any = true;
        if (guarantees) {
            break;
        }
    }
    g_ptr_array_free(present, TRUE);
    return any;
}

/* Appends what still differs from the text; false when nothing does. */
static bool
append_more(struct ms_node *node, struct ms_change *change)
{
    char error[ERROR_MAX];
    GArray *lines = ms_rules_parse(change->call->text, error, sizeof(error));
    if (lines == NULL) {
        return false;
    }
    bool replace = change->call->replace_all;
    /* Removed guarantees first, so that new ones find room; accounts before them. */
    bool any = replace && remove_missing(node, change, lines, true);
    any = any || next_change(node, change, lines, false);
    any = any || next_change(node, change, lines, true);
    any = any || (replace && remove_missing(node, change, lines, false));
    g_array_unref(lines);
    return any;
}

static void
change_free(struct ms_change *change)
{
    g_ptr_array_free(change->writers, TRUE);
    g_ptr_array_free(change->lost, TRUE);
    g_free(change);
}

/* Names of the hosts that have, or have not, applied VERSION. */
static json_t *
confirmations(const struct ms_node *node, uint64_t version, bool confirmed)
{
    json_t *names = json_array();
    GHashTableIter iterator;
    gpointer value = NULL;
    if (confirmed) {
        json_array_append_new(names, json_string(node->settings->name));
    }
    g_hash_table_iter_init(&iterator, node->hosts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct ms_host *host = value;
        bool has = ms_host_alive(node, host) && host->applied >= version;
        if (has == confirmed) {
            json_array_append_new(names, json_string(host->name));
        }
    }
    return names;
}

static json_t *
text_array(const GPtrArray *texts)
{
    json_t *array = json_array();
    for (guint i = 0; i < texts->len; i++) {
        json_array_append_new(array, json_string(g_ptr_array_index(texts, i)));
    }
    return array;
}

static void
finish_change(struct ms_node *node, struct ms_change *change, unsigned int status,
              const char *state)
{
    json_t *root = json_object();
    json_object_set_new(root, "state", json_string(state));
    json_object_set_new(root, "version", json_integer((json_int_t)change->version));
    json_object_set_new(root, "lost", text_array(change->lost));
    json_object_set_new(root, "confirmed", confirmations(node, change->version, true));
    json_object_set_new(root, "unconfirmed", confirmations(node, change->version, false));
    ms_node_answer(node, change->call, status, take_json(root));
    change_free(change);
}

/* Whether every host that is heard has applied the change. */
static bool
all_confirmed(const struct ms_node *node, uint64_t version)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, node->hosts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct ms_host *host = value;
        if (host->applied < version) {
            return false;
        }
    }
    return true;
}

/* Moves CHANGE on; true when it is finished and freed. */
static bool
look_at_change(struct ms_node *node, struct ms_change *change)
{
    bool late = node->now >= change->give_up_at;
    if (change->outstanding > 0) {
        if (!late) {
            return false;
        }
        finish_change(node, change, 504, "unknown: the log did not confirm in time");
        return true;
    }
    if (change->lost->len == 0 && append_more(node, change)) {
        change->give_up_at = node->now + CHANGE_GIVE_UP_MS;
        return false;
    }
    if (change->lost->len > 0) {
        finish_change(node, change, 409, "another change came first");
        return true;
    }
    if (all_confirmed(node, change->version)) {
        finish_change(node, change, 200, "in force on every host");
        return true;
    }
    if (late) {
        finish_change(node, change, 200, "in force, but not confirmed by every host");
        return true;
    }
    return false;
}

static void
apply_rules(struct ms_node *node, struct ms_call *call)
{
    char error[ERROR_MAX];
    GArray *lines = ms_rules_parse(call->text, error, sizeof(error));
    enum ms_result result = MS_E_INVALID;
    if (lines != NULL) {
        result = check_rules(node, lines, call->replace_all, error, sizeof(error));
        g_array_unref(lines);
    }
    if (result != MS_OK) {
        ms_node_answer(node, call, result == MS_E_IO ? 503 : 400, error_json(error));
        return;
    }
    if (call->check_only) {
        json_t *root = json_object();
        json_object_set_new(root, "state", json_string("the rules are well-formed and can be met"));
        ms_node_answer(node, call, 200, take_json(root));
        return;
    }
    if (!node->log_reachable) {
        ms_node_answer(node, call, 503,
                       error_json("the log cannot be reached; nothing was applied"));
        return;
    }
    struct ms_change *change = g_new0(struct ms_change, 1);
    change->call = call;
    change->writers = g_ptr_array_new_with_free_func(g_free);
    change->lost = g_ptr_array_new_with_free_func(g_free);
    change->give_up_at = node->now + CHANGE_GIVE_UP_MS;
    g_queue_push_tail(node->changes, change);
    ms_control_tick(node);
}

void
ms_control_tick(struct ms_node *node)
{
    GList *link = node->changes->head;
    while (link != NULL) {
        GList *next = link->next;
        if (look_at_change(node, link->data)) {
            g_queue_delete_link(node->changes, link);
        }
        link = next;
    }
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, node->queries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct ms_call *call = value;
        if (node->now - call->arrived_at >= QUERY_GIVE_UP_MS) {
            g_hash_table_iter_remove(&iterator);
            ms_node_answer(node, call, 404, error_json("no host knows this job"));
        }
    }
    if (node->now >= node->gauges_at) {
        node->gauges_at = node->now + GAUGES_MS;
        ms_control_gauges(node);
    }
}

static bool
wrote(const struct ms_change *change, const char *writer)
{
    for (guint i = 0; i < change->writers->len; i++) {
        if (strcmp(g_ptr_array_index(change->writers, i), writer) == 0) {
            g_ptr_array_remove_index(change->writers, i);
            return true;
        }
    }
    return false;
}

/* A rule change was seen in the log: tells the operator who waits for it. */
void
ms_control_rule_seen(struct ms_node *node, const struct ms_applied *applied)
{
    for (GList *link = node->changes->head; link != NULL; link = link->next) {
        struct ms_change *change = link->data;
        if (!wrote(change, applied->record->writer)) {
            continue;
        }
        change->outstanding--;
        change->give_up_at = node->now + CONFIRM_GIVE_UP_MS;
        if (applied->kind == MS_APPLIED_RULE) {
            change->version = applied->version;
            continue;
        }
        const struct ms_history_entry *entry =
            g_queue_peek_tail((GQueue *)ms_logstate_history(node->log));
        g_ptr_array_add(change->lost, g_strdup_printf("%s: %s", entry->key, entry->reason));
    }
}

/* ---- showing ---- */

static void
show_rules(struct ms_node *node, struct ms_call *call)
{
    json_t *array = json_array();
    GPtrArray *rules = ms_logstate_rules(node->log);
    for (guint i = 0; i < rules->len; i++) {
        const struct ms_rule_entry *entry = g_ptr_array_index(rules, i);
        json_t *rule = json_object();
        json_object_set_new(rule, "line", json_string(entry->line.text));
        json_object_set_new(rule, "requester", json_string(entry->line.requester));
        json_object_set_new(rule, "version", json_integer((json_int_t)entry->version));
        json_array_append_new(array, rule);
    }
    g_ptr_array_free(rules, TRUE);
    json_t *root = json_object();
    json_object_set_new(root, "version",
                        json_integer((json_int_t)ms_logstate_rules_version(node->log)));
    json_object_set_new(root, "applied", json_integer((json_int_t)ms_logstate_next(node->log)));
    json_object_set_new(root, "rules", array);
    ms_node_answer(node, call, 200, take_json(root));
}

static void
show_history(struct ms_node *node, struct ms_call *call)
{
    json_t *array = json_array();
    const GQueue *history = ms_logstate_history(node->log);
    for (GList *link = history->head; link != NULL; link = link->next) {
        const struct ms_history_entry *entry = link->data;
        json_t *change = json_object();
        json_object_set_new(change, "version", json_integer((json_int_t)entry->version));
        json_object_set_new(change, "key", json_string(entry->key));
        json_object_set_new(change, "line", json_string(entry->text));
        json_object_set_new(change, "requester", json_string(entry->requester));
        json_object_set_new(change, "taken", json_boolean(entry->taken));
        json_object_set_new(change, "reason", json_string(entry->reason));
        json_array_append_new(array, change);
    }
    json_t *root = json_object();
    json_object_set_new(root, "history", array);
    ms_node_answer(node, call, 200, take_json(root));
}

static json_t *
host_json(const struct ms_node *node, const struct ms_host *host)
{
    json_t *object = json_object();
    json_object_set_new(object, "name", json_string(host->name));
    json_object_set_new(object, "dc", json_string(host->dc));
    json_object_set_new(object, "alive", json_boolean(ms_host_alive(node, host)));
    json_object_set_new(object, "draining", json_boolean(host->draining));
    json_object_set_new(object, "places", json_boolean(host->claims));
    json_object_set_new(object, "applied", json_integer((json_int_t)host->applied));
    json_object_set_new(object, "log_reachable", json_boolean(host->log_reachable));
    return object;
}

static json_t *
dc_json(const struct ms_node *node, const char *dc)
{
    struct ms_summary summary;
    json_t *object = json_object();
    const char *holder = ms_members_holder(node, dc);
    json_object_set_new(object, "name", json_string(dc));
    json_object_set_new(object, "region", json_string(ms_members_region(node, dc)));
    json_object_set_new(object, "out", json_boolean(ms_logstate_dc_out(node->log, dc)));
    json_object_set_new(object, "placed_by", json_string(holder != NULL ? holder : ""));
    if (ms_members_summary(node, dc, &summary)) {
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
    g_hash_table_iter_init(&iterator, node->regions);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        json_array_append_new(dcs, dc_json(node, key));
    }
    json_t *root = json_object();
    json_object_set_new(root, "name", json_string(node->settings->name));
    json_object_set_new(root, "dc", json_string(node->settings->dc));
    json_object_set_new(root, "version", json_string(MS_VERSION));
    json_object_set_new(root, "places", json_boolean(node->hold.active));
    json_object_set_new(root, "settled", json_boolean(node->hold.active && node->hold.settled));
    json_object_set_new(root, "epoch", json_integer((json_int_t)node->hold.epoch));
    json_object_set_new(root, "draining", json_boolean(node->draining));
    json_object_set_new(root, "log_reachable", json_boolean(node->log_reachable));
    json_object_set_new(root, "applied", json_integer((json_int_t)ms_logstate_next(node->log)));
    json_object_set_new(root, "pending", json_integer(g_hash_table_size(node->pending)));
    json_object_set_new(root, "hosts", hosts);
    json_object_set_new(root, "dcs", dcs);
    ms_node_answer(node, call, 200, take_json(root));
}

/* Ready: configuration is here, and some host places work somewhere. */
static void
show_ready(struct ms_node *node, struct ms_call *call)
{
    bool placed = false;
    GHashTableIter iterator;
    gpointer key = NULL;
    g_hash_table_iter_init(&iterator, node->regions);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        placed |= ms_members_holder(node, key) != NULL;
    }
    bool ready = ms_logstate_complete(node->log) && ms_logstate_next(node->log) > 0 && placed &&
                 !node->draining;
    json_t *root = json_object();
    json_object_set_new(root, "ready", json_boolean(ready));
    ms_node_answer(node, call, ready ? 200 : 503, take_json(root));
}

static void
copy_state(struct ms_node *node, struct ms_call *call)
{
    GByteArray *bytes = ms_logstate_snapshot(node->log);
    char *encoded = g_base64_encode(bytes->data, bytes->len);
    json_t *root = json_object();
    json_object_set_new(root, "applied", json_integer((json_int_t)ms_logstate_next(node->log)));
    json_object_set_new(root, "state", json_string(encoded));
    ms_node_answer(node, call, 200, take_json(root));
    g_free(encoded);
    g_byte_array_unref(bytes);
}

/* Takes a copy of the state that an operator carries to a cut-off host. */
static void
take_state(struct ms_node *node, struct ms_call *call)
{
    json_t *root = json_loads(call->text, 0, NULL);
    const char *encoded = json_string_value(json_object_get(root, "state"));
    if (encoded == NULL) {
        ms_node_answer(node, call, 400, error_json("state: a text is required"));
    }
    else {
        gsize length = 0;
        guchar *bytes = g_base64_decode(encoded, &length);
        ms_records_state_copy(node, bytes, length);
        g_free(bytes);
        json_t *reply = json_object();
        json_object_set_new(reply, "applied",
                            json_integer((json_int_t)ms_logstate_next(node->log)));
        ms_node_answer(node, call, 200, take_json(reply));
    }
    json_decref(root);
}

/* ---- explaining ---- */

/* What this host knows of a job; false when nothing. */
static bool
describe(const struct ms_node *node, const char *id, GString *text)
{
    char sentence[512];
    gsize before = text->len;
    if (node->hold.active &&
        ms_sched_explain(node->hold.sched, id, sentence, sizeof(sentence)) == MS_OK) {
        g_string_append_printf(text, "%s\n", sentence);
    }
    const Ms__Wire__Outcome *done = ms_logstate_done(node->log, id);
    if (done != NULL) {
        g_string_append_printf(text, "log: %s, ran=%s, in %s on %s: %s\n",
                               ms_outcome_name((enum ms_outcome_code)done->code),
                               ms_ran_name((enum ms_ran)done->ran), done->dc, done->server,
                               done->detail);
    }
    const struct ms_accept_entry *accept = ms_logstate_accept(node->log, id);
    if (accept != NULL) {
        g_string_append_printf(text, "log: accepted for %s, no outcome yet\n", accept->dc);
    }
    const struct ms_pending *pending = g_hash_table_lookup(node->pending, id);
    if (pending != NULL && pending->has_spec) {
        g_string_append_printf(text, "%s: with %s in %s, sent %u times%s\n", node->settings->name,
                               pending->host[0] != '\0' ? pending->host : "no host",
                               pending->dc[0] != '\0' ? pending->dc : "no data centre",
                               pending->sends, pending->uncertain ? ", may have run" : "");
    }
    ms_spans_describe(node->spans, id, text);
    return text->len > before;
}

static void
explain(struct ms_node *node, struct ms_call *call)
{
    GString *text = g_string_new(NULL);
    bool found = describe(node, call->id, text);
    Ms__Wire__Envelope envelope;
    Ms__Wire__Query query;
    GHashTableIter iterator;
    gpointer key = NULL;
    call->text = g_string_free(text, FALSE);
    uint64_t number = ++node->query_count;
    ms__wire__envelope__init(&envelope);
    ms__wire__query__init(&query);
    query.id = call->id;
    query.request = number;
    envelope.body_case = MS__WIRE__ENVELOPE__BODY_QUERY;
    envelope.query = &query;
    bool asked = false;
    g_hash_table_iter_init(&iterator, node->regions);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        const char *holder = ms_members_holder(node, key);
        if (holder != NULL && strcmp(holder, node->settings->name) != 0) {
            asked |= ms_peers_send(node->peers, holder, &envelope);
        }
    }
    if (asked) {
        g_hash_table_insert(node->queries, g_memdup2(&number, sizeof(number)), call);
        return;
    }
    json_t *root = json_object();
    json_object_set_new(root, "explanation", json_string(call->text));
    ms_node_answer(node, call, found ? 200 : 404, take_json(root));
}

void
ms_control_query(struct ms_node *node, const char *from, const Ms__Wire__Query *query)
{
    Ms__Wire__Envelope envelope;
    Ms__Wire__QueryReply reply;
    GString *text = g_string_new(NULL);
    ms__wire__envelope__init(&envelope);
    ms__wire__query_reply__init(&reply);
    reply.id = query->id;
    reply.request = query->request;
    reply.found = describe(node, query->id, text);
    reply.text = text->str;
    envelope.body_case = MS__WIRE__ENVELOPE__BODY_QUERY_REPLY;
    envelope.query_reply = &reply;
    ms_peers_send(node->peers, from, &envelope);
    g_string_free(text, TRUE);
}

/* The first answer that knows the job is passed on, with what is known here. */
void
ms_control_query_reply(struct ms_node *node, const Ms__Wire__QueryReply *reply)
{
    struct ms_call *call = g_hash_table_lookup(node->queries, &reply->request);
    if (call == NULL || (!reply->found && call->text[0] == '\0')) {
        return;
    }
    g_hash_table_remove(node->queries, &reply->request);
    char *whole = g_strconcat(call->text, reply->text, NULL);
    json_t *root = json_object();
    json_object_set_new(root, "explanation", json_string(whole));
    g_free(whole);
    ms_node_answer(node, call, 200, take_json(root));
}

void
ms_control_call(struct ms_node *node, struct ms_call *call)
{
    switch (call->kind) {
    case MS_CALL_EXPLAIN:
        explain(node, call);
        break;
    case MS_CALL_RULES_APPLY:
        apply_rules(node, call);
        break;
    case MS_CALL_RULES_SHOW:
        show_rules(node, call);
        break;
    case MS_CALL_RULES_HISTORY:
        show_history(node, call);
        break;
    case MS_CALL_RULES_RELAY:
        take_state(node, call);
        break;
    case MS_CALL_STATE_COPY:
        copy_state(node, call);
        break;
    case MS_CALL_STATUS:
        show_status(node, call);
        break;
    case MS_CALL_READY:
        show_ready(node, call);
        break;
    case MS_CALL_SUBMIT:
    case MS_CALL_JOB:
    case MS_CALL_CANCEL:
        break; /* handled by jobs.c */
    }
}

void
ms_control_gauges(struct ms_node *node)
{
    struct ms_sched_stats stats = {0};
    struct ms_logstate_counts counts;
    uint64_t alive = 0;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, node->hosts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        alive += ms_host_alive(node, value) ? 1 : 0;
    }
    if (node->hold.active) {
        ms_sched_stats(node->hold.sched, &stats);
    }
    ms_logstate_counts(node->log, &counts);
    struct ms_counters *counters = node->counters;
    ms_counter_set(counters, MS_GAUGE_HOLDER, node->hold.active);
    ms_counter_set(counters, MS_GAUGE_EPOCH, node->hold.epoch);
    ms_counter_set(counters, MS_GAUGE_APPLIED, ms_logstate_next(node->log));
    ms_counter_set(counters, MS_GAUGE_LOG_REACHABLE, node->log_reachable);
    ms_counter_set(counters, MS_GAUGE_PEERS_ALIVE, alive);
    ms_counter_set(counters, MS_GAUGE_SERVERS, stats.servers);
    ms_counter_set(counters, MS_GAUGE_ACCELS_FREE, stats.accels_free);
    ms_counter_set(counters, MS_GAUGE_WAITING, stats.waiting);
    ms_counter_set(counters, MS_GAUGE_RUNNING, stats.running);
    ms_counter_set(counters, MS_GAUGE_STRANDED, stats.stranded);
    ms_counter_set(counters, MS_GAUGE_GUARANTEES_UNMET, stats.guarantees_unmet);
    ms_counter_set(counters, MS_GAUGE_TOKENS, counts.tokens);
    ms_counter_set(counters, MS_GAUGE_ACCEPTS, counts.accepts);
    ms_counter_set(counters, MS_GAUGE_DONES, counts.dones);
}

void
ms_control_free(struct ms_node *node)
{
    g_queue_free_full(node->changes, (GDestroyNotify)change_free);
    g_hash_table_destroy(node->queries);
}
