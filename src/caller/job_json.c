/*
 * job_json.c - JSON of job submissions and outcomes.
 */
#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "caller/job_json.h"

/* State of one ms_json_parse_job(): the body and the buffer of the first error. */
struct parser {
    const json_t *root;
    char *error;
    size_t size;
    bool failed;
};

/* Records an error, unless there is one already. */
static void
fail(struct parser *parser, const char *field, const char *reason)
{
    if (!parser->failed) {
        snprintf(parser->error, parser->size, "%s: %s", field, reason);
        parser->failed = true;
    }
}

/* Value of a string field; NULL if it is missing or not valid. */
static const char *
get_text(struct parser *parser, const char *field, bool required)
{
    const json_t *value = json_object_get(parser->root, field);
    if (value == NULL && !required) {
        return NULL;
    }
    if (!json_is_string(value)) {
        fail(parser, field, value == NULL ? "is missing" : "must be a string");
        return NULL;
    }
    if (strlen(json_string_value(value)) != json_string_length(value)) {
        fail(parser, field, "must not contain a NUL character");
        return NULL;
    }
    return json_string_value(value);
}

/* Copies a required string field to OUT (SIZE bytes). */
static void
copy_text(struct parser *parser, const char *field, char *out, size_t size)
{
    const char *value = get_text(parser, field, true);
    if (value != NULL && g_strlcpy(out, value, size) >= size) {
        fail(parser, field, "is too long");
    }
}

/* Value of an integer field; FALLBACK if it is missing or not from MIN to MAX. */
static int64_t
get_int(struct parser *parser, const char *field, int64_t fallback, int64_t min, int64_t max)
{
    const json_t *value = json_object_get(parser->root, field);
    char reason[96];
    if (value == NULL) {
        return fallback;
    }
    int64_t number = json_is_integer(value) ? json_integer_value(value) : min - 1;
    if (number < min || number > max) {
        snprintf(reason, sizeof(reason),
                 "must be a whole number from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT, min, max);
        fail(parser, field, reason);
        return fallback;
    }
    return number;
}

static bool
get_bool(struct parser *parser, const char *field, bool fallback)
{
    const json_t *value = json_object_get(parser->root, field);
    if (value == NULL) {
        return fallback;
    }
    if (!json_is_boolean(value)) {
        fail(parser, field, "must be true or false");
        return fallback;
    }
    return json_is_true(value);
}

/* Records an error if the body has an unknown field. */
static void
check_fields(struct parser *parser)
{
    static const char *const known[] = {
        "account",         "key",        "tasks",          "accels",   "adjacent",
        "class",           "idempotent", "checkpointable", "detached", "declared_ms",
        "start_within_ms", "wait_ms",    "payload"};
    const char *field = NULL;
    json_t *value = NULL;
    json_object_foreach((json_t *)parser->root, field, value)
    {
        bool found = false;
        for (size_t i = 0; i < G_N_ELEMENTS(known); i++) {
            found |= strcmp(known[i], field) == 0;
        }
        if (!found) {
            fail(parser, field, "unknown field");
        }
    }
}

/* Stores the optional payload in CALL, which owns it; the job's spec points into it. */
static void
get_payload(struct parser *parser, struct ms_call *call)
{
    const json_t *value = json_object_get(parser->root, "payload");
    if (value == NULL) {
        return;
    }
    if (!json_is_string(value)) {
        fail(parser, "payload", "must be a string");
        return;
    }
    call->payload = g_bytes_new(json_string_value(value), json_string_length(value));
    call->spec.payload = g_bytes_get_data(call->payload, &call->spec.payload_len);
}

/* Fills CALL from all fields of the body. */
static void
read_call(struct parser *parser, struct ms_call *call)
{
    struct ms_job_spec *spec = &call->spec;
    copy_text(parser, "account", spec->account, sizeof(spec->account));
    copy_text(parser, "key", spec->key, sizeof(spec->key));
    spec->tasks = (uint32_t)get_int(parser, "tasks", 1, 1, MS_GANG_MAX);
    spec->accels = (uint32_t)get_int(parser, "accels", 0, 0, MS_ACCELS_MAX);
    const char *adjacent = get_text(parser, "adjacent", false);
    if (adjacent != NULL && ms_adjacency_parse(adjacent, &spec->adjacency) != MS_OK) {
        fail(parser, "adjacent", "must be server, rack or dc");
    }
    spec->job_class = MS_CLASS_NORMAL;
    const char *job_class = get_text(parser, "class", false);
    if (job_class != NULL && ms_class_parse(job_class, &spec->job_class) != MS_OK) {
        fail(parser, "class", "must be urgent, normal or batch");
    }
    spec->idempotent = get_bool(parser, "idempotent", false);
    spec->checkpointable = get_bool(parser, "checkpointable", false);
    spec->detached = get_bool(parser, "detached", false);
    spec->declared_ms = get_int(parser, "declared_ms", 0, 0, G_MAXINT32 * 1000LL);
    call->start_within_ms = get_int(parser, "start_within_ms", 0, 0, G_MAXINT32 * 1000LL);
    call->wait_ms = get_int(parser, "wait_ms", MS_CALL_WAIT_DEFAULT_MS, 0, MS_CALL_WAIT_MAX_MS);
    get_payload(parser, call);
}

enum ms_result
ms_json_parse_job(const char *text, size_t length, struct ms_call *call, char *error, size_t size)
{
    json_error_t json_error;
    json_t *root = json_loadb(text, length, JSON_REJECT_DUPLICATES, &json_error);
    if (!json_is_object(root)) {
        snprintf(error, size, "body: line %d, column %d: %s", json_error.line, json_error.column,
                 root == NULL ? json_error.text : "must be an object");
        json_decref(root);
        return MS_E_INVALID;
    }
    struct parser parser = {.root = root, .error = error, .size = size};
    check_fields(&parser);
    read_call(&parser, call);
    json_decref(root);
    if (parser.failed || ms_job_spec_check(&call->spec, error, size) != MS_OK) {
        return MS_E_INVALID;
    }
    snprintf(call->id, sizeof(call->id), "%s/%s", call->spec.account, call->spec.key);
    return MS_OK;
}

/* Adds OUTPUT as "output", or in base64 as "output_base64" if it is not valid UTF-8. */
static void
add_output(json_t *root, GBytes *output)
{
    gsize length = 0;
    const char *bytes = g_bytes_get_data(output, &length);
    json_t *text = json_stringn(bytes, length);
    if (text != NULL) {
        json_object_set_new(root, "output", text);
        return;
    }
    char *encoded = g_base64_encode((const guchar *)bytes, length);
    json_object_set_new(root, "output_base64", json_string(encoded));
    g_free(encoded);
}

char *
ms_json_format_outcome(const char *id, const struct ms_call_outcome *outcome)
{
    json_t *root = json_object();
    json_object_set_new(root, "id", json_string(id));
    if (outcome->pending) {
        json_object_set_new(root, "outcome", json_string("pending"));
        json_object_set_new(root, "detail", json_string(outcome->detail));
    }
    else {
        json_object_set_new(root, "outcome", json_string(ms_outcome_name(outcome->code)));
        json_object_set_new(root, "ran", json_string(ms_ran_name(outcome->ran)));
        json_object_set_new(root, "detail", json_string(outcome->detail));
        json_object_set_new(root, "dc", json_string(outcome->dc));
        json_object_set_new(root, "server", json_string(outcome->server));
        json_object_set_new(root, "queued_ms", json_integer(outcome->queued_ms));
        json_object_set_new(root, "ran_ms", json_integer(outcome->ran_ms));
    }
    if (outcome->retry_after_ms > 0) {
        json_object_set_new(root, "retry_after_ms", json_integer(outcome->retry_after_ms));
    }
    if (outcome->output != NULL) {
        add_output(root, outcome->output);
    }
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}
