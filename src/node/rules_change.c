/*
 * rules_change.c - changes of the rules that operators request.
 *
 * The text of an operator is checked as a whole.  Then each rule that changes is
 * appended to the log in a record of its own.  The operator gets the answer once
 * all these records were read back and the other hosts have applied them, or on
 * timeout.
 */
#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "node/private.h"
#include "obs/log.h"

#define LOG_TIMEOUT_MS 5000     /* until the records must have been read back from the log */
#define CONFIRM_TIMEOUT_MS 3000 /* until the other hosts must have applied them */
#define APPEND_TIMEOUT_MS 4000  /* how long one append is retried */
#define ERROR_MAX 512           /* bytes of the text of an error */

/* Capacities of all servers in the host list, against which guarantees are checked. */
static GArray *
server_capacities(const struct ms_node *node)
{
    GArray *capacities = g_array_new(FALSE, TRUE, sizeof(struct ms_dc_server));
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, node->servers);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct ms_host_list_entry *listed = value;
        struct ms_dc_server capacity = {
            .server = {.slots = listed->slots, .accels = listed->accels}};
        g_strlcpy(capacity.dc, listed->dc, sizeof(capacity.dc));
        g_strlcpy(capacity.server.name, listed->name, sizeof(capacity.server.name));
        g_strlcpy(capacity.server.rack, listed->rack, sizeof(capacity.server.rack));
        g_array_append_val(capacities, capacity);
    }
    return capacities;
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

/*
 * The rules that would result from applying LINES: those of LINES and, unless
 * REPLACE_ALL, the rules in force that LINES leave unchanged.
 */
static GArray *
resulting_rules(const struct ms_node *node, const GArray *lines, bool replace_all)
{
    GArray *result_lines = g_array_new(FALSE, FALSE, sizeof(struct ms_rule_line));
    GPtrArray *current = ms_logstate_active_rules(node->logstate);
    for (guint i = 0; i < current->len && !replace_all; i++) {
        const struct ms_rule_entry *entry = g_ptr_array_index(current, i);
        if (!has_key(lines, entry->key)) {
            g_array_append_val(result_lines, entry->parsed);
        }
    }
    for (guint i = 0; i < lines->len; i++) {
        g_array_append_val(result_lines, g_array_index(lines, struct ms_rule_line, i));
    }
    g_ptr_array_free(current, TRUE);
    return result_lines;
}

/*
 * Checks that guarantees and limits name accounts that have a rule, and that
 * guarantees and rules for data centres name known data centres.
 */
static enum ms_result
check_references(const struct ms_node *node, const GArray *result_lines, char *error, size_t size)
{
    for (guint i = 0; i < result_lines->len; i++) {
        const struct ms_rule_line *line = &g_array_index(result_lines, struct ms_rule_line, i);
        const char *account = line->rule.kind == MS_RULE_GUARANTEE ? line->rule.account
                              : line->rule.kind == MS_RULE_LIMIT   ? line->rule.name
                                                                   : NULL;
        const char *dc = line->rule.kind == MS_RULE_GUARANTEE ? line->rule.dc
                         : line->rule.kind == MS_RULE_DC      ? line->rule.name
                                                              : NULL;
        char key[MS_RULE_KEY_MAX];
        snprintf(key, sizeof(key), "account %s", account != NULL ? account : "");
        if (account != NULL && !has_key(result_lines, key)) {
            snprintf(error, size, "line %u: %s: no rule creates the client account %s",
                     line->line_number, line->key, account);
            return MS_E_INVALID;
        }
        if (dc != NULL && !g_hash_table_contains(node->dc_regions, dc)) {
            snprintf(error, size, "line %u: %s: no data centre is called %s", line->line_number,
                     line->key, dc);
            return MS_E_INVALID;
        }
    }
    return MS_OK;
}

/*
 * Checks the rules that would result from applying LINES.  When LINES have a
 * guarantee, also checks that all guarantees can be met; returns MS_E_IO while no
 * server is known to check them against.
 */
static enum ms_result
check_rules(const struct ms_node *node, const GArray *lines, bool replace_all, char *error,
            size_t size)
{
    GArray *result_lines = resulting_rules(node, lines, replace_all);
    GArray *capacities = server_capacities(node);
    enum ms_result result = check_references(node, result_lines, error, size);
    bool has_guarantee = false;
    for (guint i = 0; i < lines->len; i++) {
        has_guarantee |=
            g_array_index(lines, struct ms_rule_line, i).rule.kind == MS_RULE_GUARANTEE;
    }
    if (result == MS_OK && has_guarantee) {
        if (capacities->len == 0) {
            snprintf(error, size, "the backend servers are not known yet; try again later");
            result = MS_E_IO;
        }
        else {
            result = ms_rules_check_guarantees(result_lines, capacities, error, size);
        }
    }
    g_array_unref(capacities);
    g_array_unref(result_lines);
    return result;
}

/* Appends one rule; an empty TEXT removes the rule of KEY. */
static void
append_rule(struct ms_node *node, struct ms_rules_change *change, const char *key, const char *text,
            const char *requester)
{
    Ms__Wire__LogRecord record;
    Ms__Wire__RuleChange rule;
    char writer[MS_NAME_MAX];
    const struct ms_rule_entry *entry = ms_logstate_rule(node->logstate, key);
    ms__wire__log_record__init(&record);
    ms__wire__rule_change__init(&rule);
    rule.key = (char *)key;
    rule.line = (char *)text;
    rule.requester = (char *)requester;
    rule.replaces = entry != NULL ? entry->version : 0;
    rule.guarantees_version = ms_logstate_guarantees_version(node->logstate);
    record.body_case = MS__WIRE__LOG_RECORD__BODY_RULE;
    record.rule = &rule;
    if (ms_records_append(node, &record, writer, APPEND_TIMEOUT_MS)) {
        g_ptr_array_add(change->pending_writers, g_strdup(writer));
        change->pending_records++;
    }
    else {
        g_ptr_array_add(change->conflicts,
                        g_strdup_printf("%s: too many records wait for the log", key));
    }
}

/*
 * Appends the rules of LINES that differ from those in force: only guarantees,
 * or only other rules.  At most one guarantee is appended per call, because its
 * record names the version of the guarantees that it was checked against, and
 * each guarantee that is applied changes this version.  Returns whether
 * something was appended.
 */
static bool
append_changed_rules(struct ms_node *node, struct ms_rules_change *change, const GArray *lines,
                     bool guarantees)
{
    bool appended = false;
    for (guint i = 0; i < lines->len; i++) {
        const struct ms_rule_line *line = &g_array_index(lines, struct ms_rule_line, i);
        const struct ms_rule_entry *entry = ms_logstate_rule(node->logstate, line->key);
        bool unchanged =
            entry != NULL && !entry->removed && strcmp(entry->parsed.text, line->text) == 0;
        if (unchanged || (line->rule.kind == MS_RULE_GUARANTEE) != guarantees) {
            continue;
        }
        append_rule(node, change, line->key, line->text, line->requester);
        appended = true;
        if (guarantees) {
            return true;
        }
    }
    return appended;
}

/* Like append_changed_rules(), but removes the rules in force that are not in LINES. */
static bool
append_removals(struct ms_node *node, struct ms_rules_change *change, const GArray *lines,
                bool guarantees)
{
    GPtrArray *current = ms_logstate_active_rules(node->logstate);
    bool appended = false;
    for (guint i = 0; i < current->len; i++) {
        const struct ms_rule_entry *entry = g_ptr_array_index(current, i);
        bool is_guarantee = entry->parsed.rule.kind == MS_RULE_GUARANTEE;
        if (has_key(lines, entry->key) || is_guarantee != guarantees) {
            continue;
        }
        append_rule(node, change, entry->key, "", "removed: not in the applied file");
        appended = true;
        if (guarantees) {
            break;
        }
    }
    g_ptr_array_free(current, TRUE);
    return appended;
}

/*
 * Appends the next changes that bring the rules in force to the operator's text.
 * Returns false when none is left.
 */
static bool
append_differences(struct ms_node *node, struct ms_rules_change *change)
{
    char error[ERROR_MAX];
    GArray *lines = ms_rules_parse(change->call->request_body, error, sizeof(error));
    if (lines == NULL) {
        return false;
    }
    bool replace = change->call->replace_all;
    /*
     * The order matters: removing guarantees frees the capacity for new ones, and an account
     * must exist before a guarantee names it.
     */
    bool appended = replace && append_removals(node, change, lines, true);
    appended = appended || append_changed_rules(node, change, lines, false);
    appended = appended || append_changed_rules(node, change, lines, true);
    appended = appended || (replace && append_removals(node, change, lines, false));
    g_array_unref(lines);
    return appended;
}

static void
change_free(struct ms_rules_change *change)
{
    g_ptr_array_free(change->pending_writers, TRUE);
    g_ptr_array_free(change->conflicts, TRUE);
    g_free(change);
}

/*
 * Names of the hosts that have (CONFIRMED) or have not applied VERSION, the offset
 * of a record plus one.  A host that is not alive counts as one that has not.
 */
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
        bool has_applied = ms_host_is_alive(node, host) && host->next_offset >= version;
        if (has_applied == confirmed) {
            json_array_append_new(names, json_string(host->name));
        }
    }
    return names;
}

static json_t *
json_string_array(const GPtrArray *texts)
{
    json_t *array = json_array();
    for (guint i = 0; i < texts->len; i++) {
        json_array_append_new(array, json_string(g_ptr_array_index(texts, i)));
    }
    return array;
}

/* Answers the operator and frees CHANGE. */
static void
finish_change(struct ms_node *node, struct ms_rules_change *change, unsigned int status,
              const char *state)
{
    json_t *root = json_object();
    json_object_set_new(root, "state", json_string(state));
    json_object_set_new(root, "version", json_integer((json_int_t)change->version));
    json_object_set_new(root, "lost", json_string_array(change->conflicts));
    json_object_set_new(root, "confirmed", confirmations(node, change->version, true));
    json_object_set_new(root, "unconfirmed", confirmations(node, change->version, false));
    ms_node_answer(node, change->call, status, ms_json_dump(root));
    change_free(change);
}

/* Whether all known hosts, alive or not, have applied VERSION. */
static bool
all_confirmed(const struct ms_node *node, uint64_t version)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, node->hosts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct ms_host *host = value;
        if (host->next_offset < version) {
            return false;
        }
    }
    return true;
}

/* Continues CHANGE as far as possible now.  Returns true when it is finished and freed. */
static bool
advance_change(struct ms_node *node, struct ms_rules_change *change)
{
    bool timed_out = node->now >= change->deadline_at;
    if (change->pending_records > 0) {
        if (!timed_out) {
            return false;
        }
        finish_change(node, change, 504, "unknown: the log did not confirm in time");
        return true;
    }
    if (change->conflicts->len == 0 && append_differences(node, change)) {
        change->deadline_at = node->now + LOG_TIMEOUT_MS;
        return false;
    }
    if (change->conflicts->len > 0) {
        finish_change(node, change, 409, "another change came first");
        return true;
    }
    if (all_confirmed(node, change->version)) {
        finish_change(node, change, 200, "in force on every host");
        return true;
    }
    if (timed_out) {
        finish_change(node, change, 200, "in force, but not confirmed by every host");
        return true;
    }
    return false;
}

/* Continues every change. */
void
ms_rules_change_tick(struct ms_node *node)
{
    GList *link = node->rules_changes->head;
    while (link != NULL) {
        GList *next = link->next;
        if (advance_change(node, link->data)) {
            g_queue_delete_link(node->rules_changes, link);
        }
        link = next;
    }
}

/*
 * Checks the rules that CALL carries, and begins to apply them unless it only
 * asks for the check.
 */
void
ms_rules_change_begin(struct ms_node *node, struct ms_call *call)
{
    char error[ERROR_MAX];
    GArray *lines = ms_rules_parse(call->request_body, error, sizeof(error));
    enum ms_result result = MS_E_INVALID;
    if (lines != NULL) {
        result = check_rules(node, lines, call->replace_all, error, sizeof(error));
        g_array_unref(lines);
    }
    if (result != MS_OK) {
        ms_node_answer(node, call, result == MS_E_IO ? 503 : 400, ms_json_error(error));
        return;
    }
    if (call->check_only) {
        json_t *root = json_object();
        json_object_set_new(root, "state", json_string("the rules are well-formed and can be met"));
        ms_node_answer(node, call, 200, ms_json_dump(root));
        return;
    }
    if (!node->log_reachable) {
        ms_node_answer(node, call, 503,
                       ms_json_error("the log cannot be reached; nothing was applied"));
        return;
    }
    struct ms_rules_change *change = g_new0(struct ms_rules_change, 1);
    change->call = call;
    change->pending_writers = g_ptr_array_new_with_free_func(g_free);
    change->conflicts = g_ptr_array_new_with_free_func(g_free);
    change->deadline_at = node->now + LOG_TIMEOUT_MS;
    g_queue_push_tail(node->rules_changes, change);
    ms_rules_change_tick(node);
}

/* Removes WRITER from the records that CHANGE waits for; false when it is not among them. */
static bool
remove_writer(const struct ms_rules_change *change, const char *writer)
{
    for (guint i = 0; i < change->pending_writers->len; i++) {
        if (strcmp(g_ptr_array_index(change->pending_writers, i), writer) == 0) {
            g_ptr_array_remove_index(change->pending_writers, i);
            return true;
        }
    }
    return false;
}

/* A record with a rule was read back from the log: updates the change that it belongs to. */
void
ms_rules_change_logged(struct ms_node *node, const struct ms_applied_record *applied)
{
    for (GList *link = node->rules_changes->head; link != NULL; link = link->next) {
        struct ms_rules_change *change = link->data;
        if (!remove_writer(change, applied->record->writer)) {
            continue;
        }
        change->pending_records--;
        change->deadline_at = node->now + CONFIRM_TIMEOUT_MS;
        if (applied->kind == MS_APPLIED_RULE) {
            change->version = applied->version;
            continue;
        }
        /* The latest entry of the history says why the record had no effect. */
        const struct ms_rule_history_entry *entry =
            g_queue_peek_tail((GQueue *)ms_logstate_rule_history(node->logstate));
        g_ptr_array_add(change->conflicts, g_strdup_printf("%s: %s", entry->key, entry->reason));
    }
}

void
ms_rules_change_free_all(struct ms_node *node)
{
    g_queue_free_full(node->rules_changes, (GDestroyNotify)change_free);
}
