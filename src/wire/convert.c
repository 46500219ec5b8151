/*
 * convert.c - conversion between the library's structs and protocol messages.
 */
#include <string.h>

#include <glib.h>

#include "wire/convert.h"

void
ms_spec_to_wire(const struct ms_job_spec *spec, int64_t now, Ms__Wire__Spec *message)
{
    ms__wire__spec__init(message);
    message->account = (char *)spec->account;
    message->key = (char *)spec->key;
    message->tasks = spec->tasks;
    message->accels = spec->accels;
    message->adjacency = spec->adjacency;
    message->job_class = spec->job_class;
    message->idempotent = spec->idempotent;
    message->checkpointable = spec->checkpointable;
    message->detached = spec->detached;
    message->declared_ms = spec->declared_ms;
    if (spec->deadline_ms > 0) {
        message->start_within_ms = MAX(spec->deadline_ms - now, 1);
    }
    message->payload.data = (uint8_t *)spec->payload;
    message->payload.len = spec->payload_len;
}

enum ms_result
ms_spec_from_wire(const Ms__Wire__Spec *message, int64_t now, struct ms_job_spec *spec)
{
    char reason[MS_DETAIL_MAX];
    memset(spec, 0, sizeof(*spec));
    if (message == NULL || message->adjacency > MS_ADJACENT_SERVER ||
        message->job_class > MS_CLASS_BATCH) {
        return MS_E_INVALID;
    }
    if (g_strlcpy(spec->account, message->account, sizeof(spec->account)) >=
            sizeof(spec->account) ||
        g_strlcpy(spec->key, message->key, sizeof(spec->key)) >= sizeof(spec->key)) {
        return MS_E_INVALID;
    }
    spec->tasks = message->tasks;
    spec->accels = message->accels;
    spec->adjacency = (enum ms_adjacency)message->adjacency;
    spec->job_class = (enum ms_class)message->job_class;
    spec->idempotent = message->idempotent;
    spec->checkpointable = message->checkpointable;
    spec->detached = message->detached;
    spec->declared_ms = message->declared_ms;
    spec->deadline_ms = message->start_within_ms > 0 ? now + message->start_within_ms : 0;
    spec->payload = message->payload.data;
    spec->payload_len = message->payload.len;
    return ms_job_spec_check(spec, reason, sizeof(reason));
}

GByteArray *
ms_log_record_pack(const Ms__Wire__LogRecord *record)
{
    size_t size = ms__wire__log_record__get_packed_size(record);
    GByteArray *bytes = g_byte_array_sized_new((guint)size);
    g_byte_array_set_size(bytes, (guint)size);
    ms__wire__log_record__pack(record, bytes->data);
    return bytes;
}
