/*
 * parse.c - the JSON body of a submission, and of its answer.
 */
#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "caller/parse.h"

/* A parse under way: where the error goes. */
struct reader {
    const json_t *root;
    char *error;
    size_t size;
    bool failed;
};

static void
fail(struct reader *reader, const char *field, const char *reason)
{
    if (!reader->failed) {
        snprintf(reader->error, reader->size, "%s: %s", field, reason);
        reader->failed = true;
    }
}

static const char *
get_text(struct reader *reader, const char *field, bool required)
{
    const json_t *value = json_object_get(reader->root, field);
    if (value == NULL && !required) {
        return NULL;
    }
    if (!json_is_string(value)) {
        fail(reader, field, value == NULL ? "is missing" : "must be a text");
        return NULL;
    }
    if (strlen(json_string_value(value)) != json_string_length(value)) {
        fail(reader, field, "must not contain a NUL character");
        return NULL;
    }
    return json_string_value(value);
}

static void
copy_text(struct reader *reader, const char *field, char *out, size_t size)
{
    const char *value = get_text(reader, field, true);
    if (value != NULL && g_strlcpy(out, value, size) >= size) {
        fail(reader, field, "is too long");
    }
}

static int64_t
get_int(struct reader *reader, const char *field, int64_t fallback, int64_t min, int64_t max)
{
    const json_t *value = json_object_get(reader->root, field);
    char reason[96];
    if (value == NULL) {
        return fallback;
    }
    int64_t number = json_is_integer(value) ? json_integer_value(value) : min - 1;
    if (number < min || number > max) {
        snprintf(reason, sizeof(reason),
                 "must be a whole number from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT, min, max);
        fail(reader, field, reason);
        return fallback;
    }
    return number;
}

static bool
get_bool(struct reader *reader, const char *field, bool fallback)
{
    const json_t *value = json_object_get(reader->root, field);
    if (value == NULL) {
        return fallback;
    }
    if (!json_is_boolean(value)) {
        fail(reader, field, "must be true or false");
        return fallback;
    }
    return json_is_true(value);
}

static void
check_fields(struct reader *reader)
{
    static const char *const known[] = {
        "account",         "key",        "tasks",          "accels",   "adjacent",
        "class",           "idempotent", "checkpointable", "detached", "declared_ms",
        "start_within_ms", "wait_ms",    "payload"};
    const char *field = NULL;
    json_t *value = NULL;
    json_object_foreach((json_t *)reader->root, field, value)
    {
        bool found = false;
        for (size_t i = 0; i < G_N_ELEMENTS(known); i++) {
            found |= strcmp(known[i], field) == 0;
        }
        if (!found) {
            fail(reader, field, "unknown field");
        }
    }
}

static void
get_payload(struct reader *reader, struct ms_call *call)
{
    const json_t *value = json_object_get(reader->root, "payload");
    if (value == NULL) {
        return;
    }
    if (!json_is_string(value)) {
        fail(reader, "payload", "must be a text");
        return;
    }
    call->payload = g_bytes_new(json_string_value(value), json_string_length(value));
    call->spec.payload = g_bytes_get_data(call->payload, &call->spec.payload_len);
}

static void
read_spec(struct reader *reader, struct ms_call *call)
{
    struct ms_job_spec *spec = &call->spec;
    copy_text(reader, "account", spec->account, sizeof(spec->account));
    copy_text(reader, "key", spec->key, sizeof(spec->key));
    spec->tasks = (uint32_t)get_int(reader, "tasks", 1, 1, MS_GANG_MAX);
    spec->accels = (uint32_t)get_int(reader, "accels", 0, 0, MS_ACCELS_MAX);
    const char *adjacent = get_text(reader, "adjacent", false);
    if (adjacent != NULL && ms_adjacency_parse(adjacent, &spec->adjacency) != MS_OK) {
        fail(reader, "adjacent", "must be server, rack or dc");
    }
    spec->job_class = MS_CLASS_NORMAL;
    const char *job_class = get_text(reader, "class", false);
    if (job_class != NULL && ms_class_parse(job_class, &spec->job_class) != MS_OK) {
        fail(reader, "class", "must be urgent, normal or batch");
    }
    spec->idempotent = get_bool(reader, "idempotent", false);
    spec->checkpointable = get_bool(reader, "checkpointable", false);
    spec->detached = get_bool(reader, "detached", false);
    spec->declared_ms = get_int(reader, "declared_ms", 0, 0, G_MAXINT32 * 1000LL);
    call->start_within_ms = get_int(reader, "start_within_ms", 0, 0, G_MAXINT32 * 1000LL);
    call->wait_ms = get_int(reader, "wait_ms", MS_WAIT_DEFAULT_MS, 0, MS_WAIT_MAX_MS);
    get_payload(reader, call);
}

enum ms_result
ms_parse_submit(const char *text, size_t length, struct ms_call *call, char *error, size_t size)
{
    json_error_t json_error;
    json_t *root = json_loadb(text, length, JSON_REJECT_DUPLICATES, &json_error);
    if (!json_is_object(root)) {
        snprintf(error, size, "body: line %d, column %d: %s", json_error.line, json_error.column,
                 root == NULL ? json_error.text : "must be an object");
        json_decref(root);
        return MS_E_INVALID;
    }
    struct reader reader = {.root = root, .error = error, .size = size};
    check_fields(&reader);
    read_spec(&reader, call);
    json_decref(root);
    if (reader.failed || ms_job_spec_check(&call->spec, error, size) != MS_OK) {
        return MS_E_INVALID;
    }
    snprintf(call->id, sizeof(call->id), "%s/%s", call->spec.account, call->spec.key);
    return MS_OK;
}

/* OUTPUT as a JSON text, or in base64 under another name when it is not UTF-8. */
static void
put_output(json_t *root, GBytes *output)
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
ms_outcome_json(const char *id, const struct ms_call_outcome *outcome)
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
        put_output(root, outcome->output);
    }
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}
