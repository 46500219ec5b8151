/*
 * rules_file.c - parser of the operators' rules file.
 */
#include <stdio.h>
#include <string.h>

#include "config/rules_file.h"

/* Fields of rules, as bits of a mask; bit I is named by field_names[I]. */
enum rule_field {
    FIELD_SHARE = 1 << 0,
    FIELD_ACCOUNT = 1 << 1,
    FIELD_DC = 1 << 2,
    FIELD_TASKS = 1 << 3,
    FIELD_ACCELS = 1 << 4,
    FIELD_ADJACENT = 1 << 5,
    FIELD_RUNNING = 1 << 6,
    FIELD_QUEUED = 1 << 7,
};

static const char *const field_names[] = {"share",  "account",  "dc",      "tasks",
                                          "accels", "adjacent", "running", "queued"};

#define FIELD_COUNT (sizeof(field_names) / sizeof(field_names[0]))
#define SHARE_MAX 1000 /* largest share of an account */

/* Syntax of one kind of rule. */
struct rule_syntax {
    const char *keyword; /* first word of the line */
    enum ms_rule_kind kind;
    unsigned int allowed;  /* mask of enum rule_field */
    unsigned int required; /* mask of enum rule_field */
};

static const struct rule_syntax rule_kinds[] = {
    {"account", MS_RULE_ACCOUNT, FIELD_SHARE, 0},
    {"guarantee", MS_RULE_GUARANTEE,
     FIELD_ACCOUNT | FIELD_DC | FIELD_TASKS | FIELD_ACCELS | FIELD_ADJACENT,
     FIELD_ACCOUNT | FIELD_DC | FIELD_TASKS | FIELD_ACCELS},
    {"limit", MS_RULE_LIMIT, FIELD_ACCELS | FIELD_RUNNING | FIELD_QUEUED, 0},
    {"datacentre", MS_RULE_DC, 0, 0},
};

/* The syntax of rules that start with KEYWORD, or NULL. */
static const struct rule_syntax *
find_syntax(const char *keyword)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rule_kinds); i++) {
        if (strcmp(rule_kinds[i].keyword, keyword) == 0) {
            return &rule_kinds[i];
        }
    }
    return NULL;
}

/* Index of NAME in field_names, or -1. */
static int
field_index(const char *name)
{
    for (size_t i = 0; i < FIELD_COUNT; i++) {
        if (strcmp(field_names[i], name) == 0) {
            return (int)i;
        }
    }
    return -1;
}

/* Whether NAME is made of letters, digits and "._-:" only and fits into MS_NAME_MAX bytes. */
static bool
is_valid_name(const char *name)
{
    size_t length =
        strspn(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-:");
    return length > 0 && name[length] == '\0' && length < MS_NAME_MAX;
}

static bool
parse_number(const char *value, uint32_t max, uint32_t *number)
{
    guint64 parsed = 0;
    if (!g_ascii_string_to_unsigned(value, 10, 0, max, &parsed, NULL)) {
        return false;
    }
    *number = (uint32_t)parsed;
    return true;
}

/* Parses VALUE as a number from MIN to MAX; NAME is the field's name for error messages. */
static enum ms_result
set_number(const char *name, const char *value, uint32_t min, uint32_t max, uint32_t *number,
           char *error, size_t size)
{
    if (!parse_number(value, max, number) || *number < min) {
        snprintf(error, size, "%s: must be a whole number from %u to %u, not %s", name, min, max,
                 value);
        return MS_E_INVALID;
    }
    return MS_OK;
}

/* Copies VALUE to OUT if it is a valid name; NAME is the field's name for error messages. */
static enum ms_result
set_name(const char *name, const char *value, char *out, char *error, size_t size)
{
    if (!is_valid_name(value)) {
        snprintf(error, size, "%s: %s is not a valid name", name, value);
        return MS_E_INVALID;
    }
    g_strlcpy(out, value, MS_NAME_MAX);
    return MS_OK;
}

/* Parses VALUE into the FIELD of RULE; NAME is the field's name for error messages. */
static enum ms_result
set_field(struct ms_rule *rule, enum rule_field field, const char *name, const char *value,
          char *error, size_t size)
{
    switch (field) {
    case FIELD_SHARE:
        return set_number(name, value, 1, SHARE_MAX, &rule->share, error, size);
    case FIELD_ACCOUNT:
        return set_name(name, value, rule->account, error, size);
    case FIELD_DC:
        return set_name(name, value, rule->dc, error, size);
    case FIELD_TASKS:
        return set_number(name, value, 1, MS_GANG_MAX, &rule->tasks, error, size);
    case FIELD_ACCELS:
        return set_number(name, value, 0, UINT16_MAX, &rule->accels, error, size);
    case FIELD_ADJACENT:
        if (ms_adjacency_parse(value, &rule->adjacency) != MS_OK) {
            snprintf(error, size, "adjacent: must be server, rack or dc, not %s", value);
            return MS_E_INVALID;
        }
        return MS_OK;
    case FIELD_RUNNING:
        return set_number(name, value, 1, UINT16_MAX, &rule->running, error, size);
    case FIELD_QUEUED:
        return set_number(name, value, 1, UINT16_MAX, &rule->queued, error, size);
    }
    return MS_E_INVALID;
}

/* Parses one word "name=value" and adds the field to the mask *FIELDS_SEEN. */
static enum ms_result
parse_field(const char *word, const struct rule_syntax *syntax, struct ms_rule *rule,
            unsigned int *fields_seen, char *error, size_t size)
{
    const char *equals = strchr(word, '=');
    if (equals == NULL) {
        snprintf(error, size, "%s is not of the form name=value", word);
        return MS_E_INVALID;
    }
    char *name = g_strndup(word, (gsize)(equals - word));
    int index = field_index(name);
    unsigned int bit = index >= 0 ? 1U << index : 0;
    enum ms_result result = MS_E_INVALID;
    if ((syntax->allowed & bit) == 0) {
        snprintf(error, size, "unknown field %s in a rule of kind %s", name, syntax->keyword);
    }
    else if ((*fields_seen & bit) != 0) {
        snprintf(error, size, "%s is given twice", name);
    }
    else {
        *fields_seen |= bit;
        result = set_field(rule, (enum rule_field)bit, name, equals + 1, error, size);
    }
    g_free(name);
    return result;
}

/* Parses the COUNT words of a rule without its comment into OUT->rule and OUT->key. */
static enum ms_result
parse_rule(char **words, guint count, struct ms_rule_line *out, char *error, size_t size)
{
    const struct rule_syntax *syntax = count > 0 ? find_syntax(words[0]) : NULL;
    if (syntax == NULL) {
        snprintf(error, size,
                 "unknown rule kind %s; a rule starts with account, guarantee, limit or "
                 "datacentre",
                 count > 0 ? words[0] : "");
        return MS_E_INVALID;
    }
    if (count < 2 || !is_valid_name(words[1])) {
        snprintf(error, size, "%s must be followed by a valid name", syntax->keyword);
        return MS_E_INVALID;
    }
    out->rule.kind = syntax->kind;
    out->rule.share = 1;
    g_strlcpy(out->rule.name, words[1], sizeof(out->rule.name));
    snprintf(out->key, sizeof(out->key), "%s %s", words[0], words[1]);
    unsigned int fields_seen = 0;
    guint next = 2;
    if (syntax->kind == MS_RULE_DC) {
        if (count != 3 || (strcmp(words[2], "in") != 0 && strcmp(words[2], "out") != 0)) {
            snprintf(error, size, "datacentre %s must be followed by in or out only", words[1]);
            return MS_E_INVALID;
        }
        out->rule.out_of_service = strcmp(words[2], "out") == 0;
        next = 3;
    }
    for (guint i = next; i < count; i++) {
        enum ms_result result =
            parse_field(words[i], syntax, &out->rule, &fields_seen, error, size);
        if (result != MS_OK) {
            return result;
        }
    }
    unsigned int missing = syntax->required & ~fields_seen;
    for (size_t i = 0; i < FIELD_COUNT; i++) {
        if ((missing & (1U << i)) != 0) {
            snprintf(error, size, "%s %s: %s= is missing", syntax->keyword, words[1],
                     field_names[i]);
            return MS_E_INVALID;
        }
    }
    return MS_OK;
}

/* Splits TEXT at blanks.  Returns a NULL-terminated array; free it with g_strfreev(). */
static char **
split_words(const char *text)
{
    char **parts = g_strsplit_set(text, " \t\r", -1);
    guint kept = 0;
    for (guint i = 0; parts[i] != NULL; i++) {
        if (parts[i][0] == '\0') {
            g_free(parts[i]);
            continue;
        }
        parts[kept++] = parts[i];
    }
    parts[kept] = NULL;
    return parts;
}

enum ms_result
ms_rule_line_parse(const char *line, struct ms_rule_line *out, char *error, size_t size)
{
    memset(out, 0, sizeof(*out));
    if (strlen(line) >= MS_RULE_LINE_MAX) {
        snprintf(error, size, "the line is longer than %d bytes", MS_RULE_LINE_MAX - 1);
        return MS_E_INVALID;
    }
    const char *hash = strchr(line, '#');
    if (hash != NULL) {
        g_strlcpy(out->requester, hash + 1, sizeof(out->requester));
        g_strstrip(out->requester);
    }
    if (out->requester[0] == '\0') {
        snprintf(error, size, "a comment that names who asked for the rule is missing");
        return MS_E_INVALID;
    }
    char *body = g_strndup(line, (gsize)(hash - line));
    char **words = split_words(body);
    char *joined = g_strjoinv(" ", words);
    g_strlcpy(out->text, joined, sizeof(out->text));
    enum ms_result result = parse_rule(words, g_strv_length(words), out, error, size);
    g_free(joined);
    g_strfreev(words);
    g_free(body);
    return result;
}

/* Returns the line number of the rule in LINES with the given KEY, or 0. */
static unsigned int
find_line_number(const GArray *lines, const char *key)
{
    for (guint i = 0; i < lines->len; i++) {
        const struct ms_rule_line *line = &g_array_index(lines, struct ms_rule_line, i);
        if (strcmp(line->key, key) == 0) {
            return line->line_number;
        }
    }
    return 0;
}

GArray *
ms_rules_parse(const char *text, char *error, size_t size)
{
    GArray *lines = g_array_new(FALSE, FALSE, sizeof(struct ms_rule_line));
    char **texts = g_strsplit(text, "\n", -1);
    bool valid = true;
    for (guint i = 0; texts[i] != NULL && valid; i++) {
        struct ms_rule_line line;
        char reason[MS_DETAIL_MAX];
        g_strstrip(texts[i]);
        if (texts[i][0] == '\0' || texts[i][0] == '#') {
            continue;
        }
        if (ms_rule_line_parse(texts[i], &line, reason, sizeof(reason)) != MS_OK) {
            snprintf(error, size, "line %u: %s", i + 1, reason);
            valid = false;
            break;
        }
        unsigned int first = find_line_number(lines, line.key);
        if (first > 0) {
            snprintf(error, size, "line %u: %s is already defined on line %u", i + 1, line.key,
                     first);
            valid = false;
            break;
        }
        line.line_number = i + 1;
        g_array_append_val(lines, line);
    }
    g_strfreev(texts);
    if (!valid) {
        g_array_unref(lines);
        return NULL;
    }
    return lines;
}

/* Creates a scheduler for DC with those of SERVERS that are in DC and no jobs. */
static struct ms_sched *
new_sched_with_servers(const char *dc, const GArray *servers)
{
    struct ms_sched *sched = ms_sched_new(dc, NULL, NULL);
    for (guint i = 0; i < servers->len; i++) {
        const struct ms_dc_server *server = &g_array_index(servers, struct ms_dc_server, i);
        if (strcmp(server->dc, dc) != 0) {
            continue;
        }
        struct ms_event event = {.kind = MS_EVENT_SERVER_UP, .server = server->server};
        event.server.reported_task_count = 0;
        ms_sched_step(sched, &event, 0);
    }
    return sched;
}

/*
 * Applies the guarantees to schedulers without jobs, one for each data centre, and
 * stops at the first one that leaves a guarantee unmet.
 */
enum ms_result
ms_rules_check_guarantees(const GArray *lines, const GArray *servers, char *error, size_t size)
{
    GHashTable *scheds =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, (GDestroyNotify)ms_sched_free);
    enum ms_result result = MS_OK;
    for (guint i = 0; i < lines->len && result == MS_OK; i++) {
        const struct ms_rule_line *line = &g_array_index(lines, struct ms_rule_line, i);
        if (line->rule.kind != MS_RULE_GUARANTEE) {
            continue;
        }
        struct ms_sched *sched = g_hash_table_lookup(scheds, line->rule.dc);
        if (sched == NULL) {
            sched = new_sched_with_servers(line->rule.dc, servers);
            g_hash_table_insert(scheds, (gpointer)line->rule.dc, sched);
        }
        struct ms_event event = {.kind = MS_EVENT_RULE, .rule = line->rule};
        struct ms_sched_stats stats;
        ms_sched_step(sched, &event, 0);
        ms_sched_stats(sched, &stats);
        if (stats.guarantees_unmet > 0) {
            snprintf(error, size,
                     "line %u: %s cannot be met in %s together with the guarantees before it (%u "
                     "servers, %u accelerators)",
                     line->line_number, line->key, line->rule.dc, stats.servers, stats.accels);
            result = MS_E_CONFLICT;
        }
    }
    g_hash_table_destroy(scheds);
    return result;
}
