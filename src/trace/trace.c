/*
 * trace.c - parses and formats the lines of traces.
 *
 * An event is one line "TIME KIND name=value ...", an action one line "KIND
 * name=value ...".  g_shell_parse_argv() splits an event into words, so a value
 * with blanks must be quoted as in a shell.  Binary values are in base64.
 */
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "mustardspread/mustardspread.h"

/* Indexed by enum ms_event_kind, ms_rule_kind, ms_reported_state and ms_token_answer. */
static const char *const event_names[] = {
    "tick",   "rule",   "server_up", "server_lost", "server_leaving", "task_seen",
    "submit", "cancel", "ask",       "prepared",    "started",        "refused",
    "ended",  "usage",  "token",     "pause",
};
static const char *const rule_names[] = {"account", "guarantee", "limit", "datacentre"};
static const char *const reported_state_names[] = {"prepared", "running", "ended"};
static const char *const token_names[] = {"granted", "denied", "unavailable"};

#define ARRAY_LENGTH(array) (sizeof(array) / sizeof((array)[0]))

/* State of one ms_trace_parse(). */
struct parser {
    char **words;    /* of the line, NULL-terminated */
    uint8_t *buffer; /* unused rest of the caller's buffer, for binary values */
    size_t size;     /* bytes of it */
    char *text;      /* receives the first error */
    size_t text_size;
    bool failed;
};

/* Records an error, unless there is one already. */
static void G_GNUC_PRINTF(2, 3) fail(struct parser *parser, const char *format, ...)
{
    if (parser->failed) {
        return;
    }
    parser->failed = true;
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(parser->text, parser->text_size, format, arguments);
    va_end(arguments);
}

/* Index of NAME in NAMES, or -1. */
static int
find_name(const char *const *names, size_t count, const char *name)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(names[i], name) == 0) {
            return (int)i;
        }
    }
    return -1;
}

/* Value of the first word "NAME=value" after the time and kind, or NULL. */
static const char *
value_of(const struct parser *parser, const char *name)
{
    size_t length = strlen(name);
    for (char **word = parser->words + 2; *word != NULL; word++) {
        if (strncmp(*word, name, length) == 0 && (*word)[length] == '=') {
            return *word + length + 1;
        }
    }
    return NULL;
}

/* Copies a value to OUT (SIZE bytes); "" if it is missing. */
static void
get_text(struct parser *parser, const char *name, char *out, size_t size)
{
    const char *value = value_of(parser, name);
    if (value == NULL) {
        out[0] = '\0';
        return;
    }
    if (g_strlcpy(out, value, size) >= size) {
        fail(parser, "%s: longer than %zu bytes", name, size - 1);
    }
}

static int64_t
get_int(struct parser *parser, const char *name, int64_t fallback)
{
    const char *value = value_of(parser, name);
    if (value == NULL) {
        return fallback;
    }
    gint64 number = 0;
    if (!g_ascii_string_to_signed(value, 10, 0, INT64_MAX, &number, NULL)) {
        fail(parser, "%s: %s is not a whole number of 0 or more", name, value);
        return fallback;
    }
    return number;
}

static uint32_t
get_u32(struct parser *parser, const char *name, uint32_t fallback)
{
    int64_t number = get_int(parser, name, fallback);
    if (number > UINT32_MAX) {
        fail(parser, "%s: too large", name);
        return fallback;
    }
    return (uint32_t)number;
}

/* Index of a value in NAMES; FALLBACK if it is missing.  An unknown value is an error. */
static int
get_name(struct parser *parser, const char *name, const char *const *names, size_t count,
         int fallback)
{
    const char *value = value_of(parser, name);
    if (value == NULL) {
        return fallback;
    }
    int index = find_name(names, count, value);
    if (index < 0) {
        fail(parser, "%s: unknown value %s", name, value);
        return fallback;
    }
    return index;
}

/* Decodes a base64 value into the rest of the caller's buffer. */
static void
get_bytes(struct parser *parser, const char *name, const uint8_t **bytes, size_t *length)
{
    const char *value = value_of(parser, name);
    if (value == NULL) {
        return;
    }
    gsize decoded_length = 0;
    guchar *decoded = g_base64_decode(value, &decoded_length);
    if (decoded_length > parser->size) {
        fail(parser, "%s: %zu bytes do not fit into the buffer", name, decoded_length);
    }
    else if (decoded_length > 0) {
        memcpy(parser->buffer, decoded, decoded_length);
        *bytes = parser->buffer;
        *length = decoded_length;
        parser->buffer += decoded_length;
        parser->size -= decoded_length;
    }
    g_free(decoded);
}

static void
get_spec(struct parser *parser, struct ms_job_spec *spec)
{
    get_text(parser, "account", spec->account, sizeof(spec->account));
    get_text(parser, "key", spec->key, sizeof(spec->key));
    spec->tasks = get_u32(parser, "tasks", 1);
    spec->accels = get_u32(parser, "accels", 0);
    const char *value = value_of(parser, "adjacent");
    if (value != NULL && ms_adjacency_parse(value, &spec->adjacency) != MS_OK) {
        fail(parser, "adjacent: unknown value %s", value);
    }
    spec->job_class = MS_CLASS_NORMAL;
    value = value_of(parser, "class");
    if (value != NULL && ms_class_parse(value, &spec->job_class) != MS_OK) {
        fail(parser, "class: unknown value %s", value);
    }
    spec->idempotent = get_u32(parser, "idempotent", 1) != 0;
    spec->checkpointable = get_u32(parser, "checkpointable", 0) != 0;
    spec->detached = get_u32(parser, "detached", 0) != 0;
    spec->declared_ms = get_int(parser, "declared_ms", 0);
    spec->deadline_ms = get_int(parser, "deadline_ms", 0);
    get_bytes(parser, "payload", &spec->payload, &spec->payload_len);
}

static void
get_rule(struct parser *parser, struct ms_rule *rule)
{
    rule->kind =
        (enum ms_rule_kind)get_name(parser, "kind", rule_names, ARRAY_LENGTH(rule_names), 0);
    get_text(parser, "name", rule->name, sizeof(rule->name));
    get_text(parser, "account", rule->account, sizeof(rule->account));
    get_text(parser, "dc", rule->dc, sizeof(rule->dc));
    rule->share = get_u32(parser, "share", 1);
    rule->tasks = get_u32(parser, "tasks", 1);
    rule->accels = get_u32(parser, "accels", 0);
    rule->running = get_u32(parser, "running", 0);
    rule->queued = get_u32(parser, "queued", 0);
    const char *value = value_of(parser, "adjacent");
    if (value != NULL && ms_adjacency_parse(value, &rule->adjacency) != MS_OK) {
        fail(parser, "adjacent: unknown value %s", value);
    }
    rule->out_of_service = get_u32(parser, "out", 0) != 0;
    rule->removed = get_u32(parser, "removed", 0) != 0;
    if (rule->kind == MS_RULE_GUARANTEE && (rule->tasks < 1 || rule->tasks > MS_GANG_MAX)) {
        fail(parser, "tasks: must be from 1 to %d", MS_GANG_MAX);
    }
}

static void
get_server(struct parser *parser, struct ms_server_event *server)
{
    get_text(parser, "name", server->name, sizeof(server->name));
    get_text(parser, "rack", server->rack, sizeof(server->rack));
    server->slots = get_u32(parser, "slots", 0);
    server->accels = get_u32(parser, "accels", 0);
    server->reported_task_count = get_u32(parser, "seen", 0);
}

static void
get_task(struct parser *parser, enum ms_event_kind kind, struct ms_task_event *task)
{
    get_text(parser, "server", task->server, sizeof(task->server));
    get_text(parser, "id", task->id, sizeof(task->id));
    task->member_index = get_u32(parser, "member", 0);
    task->attempt = get_u32(parser, "attempt", 1);
    task->used_accels = get_u32(parser, "used_accels", 0);
    const char *value = value_of(parser, "result");
    if (value != NULL && ms_task_result_parse(value, &task->result) != MS_OK) {
        fail(parser, "result: unknown value %s", value);
    }
    get_bytes(parser, "output", &task->output, &task->output_len);
    if (kind == MS_EVENT_TASK_REPORTED) {
        task->reported_state = (enum ms_reported_state)get_name(
            parser, "seen", reported_state_names, ARRAY_LENGTH(reported_state_names),
            MS_REPORTED_RUNNING);
        get_spec(parser, &task->spec);
    }
}

static void
get_body(struct parser *parser, struct ms_event *event)
{
    switch (event->kind) {
    case MS_EVENT_TICK:
        break;
    case MS_EVENT_RULE:
        get_rule(parser, &event->rule);
        break;
    case MS_EVENT_SERVER_UP:
    case MS_EVENT_SERVER_LOST:
    case MS_EVENT_SERVER_LEAVING:
        get_server(parser, &event->server);
        break;
    case MS_EVENT_TASK_REPORTED:
    case MS_EVENT_TASK_PREPARED:
    case MS_EVENT_TASK_STARTED:
    case MS_EVENT_TASK_REFUSED:
    case MS_EVENT_TASK_ENDED:
    case MS_EVENT_USAGE:
        get_task(parser, event->kind, &event->task);
        break;
    case MS_EVENT_SUBMIT:
        get_spec(parser, &event->submit.spec);
        event->submit.may_have_run = get_u32(parser, "may_have_run", 0) != 0;
        break;
    case MS_EVENT_CANCEL:
    case MS_EVENT_QUERY_OUTCOME:
        get_text(parser, "id", event->job, sizeof(event->job));
        break;
    case MS_EVENT_TOKEN_ANSWER:
        get_text(parser, "id", event->token.id, sizeof(event->token.id));
        event->token.attempt = get_u32(parser, "attempt", 1);
        event->token.answer = (enum ms_token_answer)get_name(parser, "answer", token_names,
                                                             ARRAY_LENGTH(token_names), 0);
        break;
    case MS_EVENT_PAUSE:
        event->pause = get_u32(parser, "on", 1) != 0;
        break;
    }
}

enum ms_result
ms_trace_parse(const char *line, struct ms_event *event, int64_t *now, uint8_t *buffer, size_t size,
               char *text, size_t text_size)
{
    struct parser parser = {.buffer = buffer, .size = size, .text = text, .text_size = text_size};
    gint count = 0;
    memset(event, 0, sizeof(*event));
    if (!g_shell_parse_argv(line, &count, &parser.words, NULL)) {
        snprintf(text, text_size, "line: empty, or a quote is not closed");
        return MS_E_INVALID;
    }
    gint64 time = 0;
    int kind = count >= 2 ? find_name(event_names, ARRAY_LENGTH(event_names), parser.words[1]) : -1;
    if (!g_ascii_string_to_signed(parser.words[0], 10, 0, INT64_MAX, &time, NULL)) {
        fail(&parser, "time: %s is not a whole number", parser.words[0]);
    }
    else if (kind < 0) {
        fail(&parser, "kind: unknown event %s", count >= 2 ? parser.words[1] : "");
    }
    else {
        event->kind = (enum ms_event_kind)kind;
        get_body(&parser, event);
    }
    *now = time;
    g_strfreev(parser.words);
    return parser.failed ? MS_E_INVALID : MS_OK;
}

static void
put_bytes(GString *line, const char *name, const uint8_t *bytes, size_t length)
{
    if (length == 0) {
        return;
    }
    gchar *encoded = g_base64_encode(bytes, length);
    g_string_append_printf(line, " %s=%s", name, encoded);
    g_free(encoded);
}

static void
put_spec(GString *line, const struct ms_job_spec *spec)
{
    g_string_append_printf(
        line,
        " account=%s key=%s tasks=%u accels=%u adjacent=%s class=%s idempotent=%d"
        " checkpointable=%d detached=%d declared_ms=%" PRId64 " deadline_ms=%" PRId64,
        spec->account, spec->key, spec->tasks, spec->accels, ms_adjacency_name(spec->adjacency),
        ms_class_name(spec->job_class), spec->idempotent, spec->checkpointable, spec->detached,
        spec->declared_ms, spec->deadline_ms);
    put_bytes(line, "payload", spec->payload, spec->payload_len);
}

static void
put_rule(GString *line, const struct ms_rule *rule)
{
    g_string_append_printf(line,
                           " kind=%s name=%s account=%s dc=%s share=%u tasks=%u accels=%u"
                           " running=%u queued=%u adjacent=%s out=%d removed=%d",
                           rule_names[rule->kind], rule->name, rule->account, rule->dc, rule->share,
                           rule->tasks, rule->accels, rule->running, rule->queued,
                           ms_adjacency_name(rule->adjacency), rule->out_of_service, rule->removed);
}

static void
put_task(GString *line, const struct ms_event *event)
{
    const struct ms_task_event *task = &event->task;
    g_string_append_printf(line, " server=%s id=%s member=%u attempt=%u", task->server, task->id,
                           task->member_index, task->attempt);
    if (event->kind == MS_EVENT_TASK_ENDED || event->kind == MS_EVENT_TASK_REPORTED) {
        g_string_append_printf(line, " result=%s", ms_task_result_name(task->result));
        put_bytes(line, "output", task->output, task->output_len);
    }
    if (event->kind == MS_EVENT_TASK_REPORTED) {
        g_string_append_printf(line, " seen=%s", reported_state_names[task->reported_state]);
        put_spec(line, &task->spec);
    }
    if (event->kind == MS_EVENT_USAGE) {
        g_string_append_printf(line, " used_accels=%u", task->used_accels);
    }
}

char *
ms_trace_event(const struct ms_event *event, int64_t now)
{
    GString *line = g_string_new(NULL);
    g_string_append_printf(line, "%" PRId64 " %s", now, event_names[event->kind]);
    switch (event->kind) {
    case MS_EVENT_TICK:
        break;
    case MS_EVENT_RULE:
        put_rule(line, &event->rule);
        break;
    case MS_EVENT_SERVER_UP:
        g_string_append_printf(line, " name=%s rack=%s slots=%u accels=%u seen=%u",
                               event->server.name, event->server.rack, event->server.slots,
                               event->server.accels, event->server.reported_task_count);
        break;
    case MS_EVENT_SERVER_LOST:
    case MS_EVENT_SERVER_LEAVING:
        g_string_append_printf(line, " name=%s", event->server.name);
        break;
    case MS_EVENT_TASK_REPORTED:
    case MS_EVENT_TASK_PREPARED:
    case MS_EVENT_TASK_STARTED:
    case MS_EVENT_TASK_REFUSED:
    case MS_EVENT_TASK_ENDED:
    case MS_EVENT_USAGE:
        put_task(line, event);
        break;
    case MS_EVENT_SUBMIT:
        put_spec(line, &event->submit.spec);
        g_string_append_printf(line, " may_have_run=%d", event->submit.may_have_run);
        break;
    case MS_EVENT_CANCEL:
    case MS_EVENT_QUERY_OUTCOME:
        g_string_append_printf(line, " id=%s", event->job);
        break;
    case MS_EVENT_TOKEN_ANSWER:
        g_string_append_printf(line, " id=%s attempt=%u answer=%s", event->token.id,
                               event->token.attempt, token_names[event->token.answer]);
        break;
    case MS_EVENT_PAUSE:
        g_string_append_printf(line, " on=%d", event->pause);
        break;
    }
    return g_string_free(line, FALSE);
}

char *
ms_trace_action(const struct ms_action *action)
{
    GString *line = g_string_new(NULL);
    switch (action->kind) {
    case MS_ACTION_TASK:
        g_string_append_printf(line, "task op=%s server=%s id=%s member=%u attempt=%u",
                               ms_op_name(action->task.op), action->task.server, action->id,
                               action->task.member_index, action->task.attempt);
        break;
    case MS_ACTION_TOKEN:
        g_string_append_printf(line, "token id=%s attempt=%u servers=", action->id,
                               action->token.attempt);
        for (size_t i = 0; i < action->token.server_count; i++) {
            g_string_append_printf(line, "%s%s", i > 0 ? "," : "", action->token.servers[i]);
        }
        break;
    case MS_ACTION_OUTCOME:
        g_string_append_printf(line, "outcome id=%s code=%s ran=%s detail='%s'", action->id,
                               ms_outcome_name(action->outcome.code),
                               ms_ran_name(action->outcome.ran), action->outcome.detail);
        put_bytes(line, "output", action->outcome.output, action->outcome.output_len);
        break;
    }
    return g_string_free(line, FALSE);
}

void
ms_trace_release(char *line)
{
    g_free(line);
}
