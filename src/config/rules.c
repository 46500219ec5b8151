/*
 * rules.c - the operators' rules file.
 */
#include <stdio.h>
#include <string.h>

#include "config/rules.h"

/* Fields that a kind of rule may set, as bits of one mask. */
enum field {
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
#define SHARE_MAX 1000

struct kind {
    const char *word;
    enum ms_rule_kind kind;
    unsigned int allowed;
    unsigned int required;
};

static const struct kind kinds[] = {
    {"account", MS_RULE_ACCOUNT, FIELD_SHARE, 0},
    {"guarantee", MS_RULE_GUARANTEE,
     FIELD_ACCOUNT | FIELD_DC | FIELD_TASKS | FIELD_ACCELS | FIELD_ADJACENT,
     FIELD_ACCOUNT | FIELD_DC | FIELD_TASKS | FIELD_ACCELS},
    {"limit", MS_RULE_LIMIT, FIELD_ACCELS | FIELD_RUNNING | FIELD_QUEUED, 0},
    {"datacentre", MS_RULE_DC, 0, 0},
};

static const struct kind *
kind_of(const char *word)
{
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        if (strcmp(kinds[i].word, word) == 0) {
            return &kinds[i];
        }
    }
    return NULL;
}

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

static bool
name_is_plain(const char *name)
{
    size_t plain =
        strspn(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-:");
    return plain > 0 && name[plain] == '\0' && plain < MS_NAME_MAX;
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

static enum ms_result
set_name(const char *name, const char *value, char *out, char *error, size_t size)
{
    if (!name_is_plain(value)) {
        snprintf(error, size, "%s: %s is not a name", name, value);
        return MS_E_INVALID;
    }
    g_strlcpy(out, value, MS_NAME_MAX);
    return MS_OK;
}

static enum ms_result
set_field(struct ms_rule *rule, enum field field, const char *name, const char *value, char *error,
          size_t size)
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

/* Parses "name=value" words; SEEN collects the fields. */
static enum ms_result
parse_field(const char *word, const struct kind *kind, struct ms_rule *rule, unsigned int *seen,
            char *error, size_t size)
{
    const char *equals = strchr(word, '=');
    if (equals == NULL) {
        snprintf(error, size, "unknown word %s", word);
        return MS_E_INVALID;
    }
    char *name = g_strndup(word, (gsize)(equals - word));
    int index = field_index(name);
    unsigned int bit = index >= 0 ? 1U << index : 0;
    enum ms_result result = MS_E_INVALID;
    if ((kind->allowed & bit) == 0) {
        snprintf(error, size, "unknown word %s for a rule of kind %s", name, kind->word);
    }
    else if ((*seen & bit) != 0) {
        snprintf(error, size, "%s is given twice", name);
    }
    else {
        *seen |= bit;
        result = set_field(rule, (enum field)bit, name, equals + 1, error, size);
    }
    g_free(name);
    return result;
}

static enum ms_result
parse_words(char **words, guint count, struct ms_rule_line *out, char *error, size_t size)
{
    const struct kind *kind = count > 0 ? kind_of(words[0]) : NULL;
    if (kind == NULL) {
        snprintf(error, size,
                 "unknown word %s; a rule starts with account, guarantee, limit or "
                 "datacentre",
                 count > 0 ? words[0] : "");
        return MS_E_INVALID;
    }
    if (count < 2 || !name_is_plain(words[1])) {
        snprintf(error, size, "%s: a name must follow", kind->word);
        return MS_E_INVALID;
    }
    out->rule.kind = kind->kind;
    out->rule.share = 1;
    g_strlcpy(out->rule.name, words[1], sizeof(out->rule.name));
    snprintf(out->key, sizeof(out->key), "%s %s", words[0], words[1]);
    unsigned int seen = 0;
    guint next = 2;
    if (kind->kind == MS_RULE_DC) {
        if (count != 3 || (strcmp(words[2], "in") != 0 && strcmp(words[2], "out") != 0)) {
            snprintf(error, size, "datacentre %s: in or out must follow", words[1]);
            return MS_E_INVALID;
        }
        out->rule.out = strcmp(words[2], "out") == 0;
        next = 3;
    }
    for (guint i = next; i < count; i++) {
        enum ms_result result = parse_field(words[i], kind, &out->rule, &seen, error, size);
        if (result != MS_OK) {
            return result;
        }
    }
    unsigned int missing = kind->required & ~seen;
    for (size_t i = 0; i < FIELD_COUNT; i++) {
        if ((missing & (1U << i)) != 0) {
            snprintf(error, size, "%s %s: %s= is missing", kind->word, words[1], field_names[i]);
            return MS_E_INVALID;
        }
    }
    return MS_OK;
}

/* Words of TEXT between blanks; NULL-terminated, to be freed with g_strfreev(). */
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
        snprintf(error, size, "longer than %d bytes", MS_RULE_LINE_MAX - 1);
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
    enum ms_result result = parse_words(words, g_strv_length(words), out, error, size);
    g_free(joined);
    g_strfreev(words);
    g_free(body);
    return result;
}

/* Line number of an earlier rule with the same key, or 0. */
static unsigned int
earlier_line(const GArray *lines, const char *key)
{
    for (guint i = 0; i < lines->len; i++) {
        const struct ms_rule_line *line = &g_array_index(lines, struct ms_rule_line, i);
        if (strcmp(line->key, key) == 0) {
            return line->number;
        }
    }
    return 0;
}

GArray *
ms_rules_parse(const char *text, char *error, size_t size)
{
    GArray *lines = g_array_new(FALSE, FALSE, sizeof(struct ms_rule_line));
    char **raw = g_strsplit(text, "\n", -1);
    bool good = true;
    for (guint i = 0; raw[i] != NULL && good; i++) {
        struct ms_rule_line line;
        char reason[MS_DETAIL_MAX];
        g_strstrip(raw[i]);
        if (raw[i][0] == '\0' || raw[i][0] == '#') {
            continue;
        }
        if (ms_rule_line_parse(raw[i], &line, reason, sizeof(reason)) != MS_OK) {
            snprintf(error, size, "line %u: %s", i + 1, reason);
            good = false;
            break;
        }
        unsigned int earlier = earlier_line(lines, line.key);
        if (earlier > 0) {
            snprintf(error, size, "line %u: %s stands on line %u already", i + 1, line.key,
                     earlier);
            good = false;
            break;
        }
        line.number = i + 1;
        g_array_append_val(lines, line);
    }
    g_strfreev(raw);
    if (!good) {
        g_array_unref(lines);
        return NULL;
    }
    return lines;
}

/* A scheduler of DC with the servers of that data centre, all empty. */
static struct ms_sched *
empty_dc(const char *dc, const GArray *servers)
{
    struct ms_sched *sched = ms_sched_new(dc, NULL, NULL);
    for (guint i = 0; i < servers->len; i++) {
        const struct ms_server_size *size = &g_array_index(servers, struct ms_server_size, i);
        if (strcmp(size->dc, dc) != 0) {
            continue;
        }
        struct ms_event event = {.kind = MS_EVENT_SERVER_UP, .server = size->server};
        event.server.seen_count = 0;
        ms_sched_step(sched, &event, 0);
    }
    return sched;
}

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
            sched = empty_dc(line->rule.dc, servers);
            g_hash_table_insert(scheds, (gpointer)line->rule.dc, sched);
        }
        struct ms_event event = {.kind = MS_EVENT_RULE, .rule = line->rule};
        struct ms_sched_stats stats;
        ms_sched_step(sched, &event, 0);
        ms_sched_stats(sched, &stats);
        if (stats.guarantees_unmet > 0) {
            snprintf(error, size,
                     "line %u: %s cannot be met in %s beside the guarantees before it (%u servers, "
                     "%u accelerators)",
                     line->number, line->key, line->rule.dc, stats.servers, stats.accels);
            result = MS_E_CONFLICT;
        }
    }
    g_hash_table_destroy(scheds);
    return result;
}
