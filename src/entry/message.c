/*
 * message.c - allocates and frees the messages to the decision thread and what they carry.
 */
#include <stdio.h>
#include <stdlib.h>

#include "entry/message.h"

struct ms_entry_message *
ms_entry_message_new(enum ms_entry_message_kind kind)
{
    struct ms_entry_message *message = g_new0(struct ms_entry_message, 1);
    message->kind = kind;
    return message;
}

void
ms_entry_message_free(struct ms_entry_message *message)
{
    ms_keyed_log_batch_free(message->batch);
    ms_append_free(message->append);
    ms_engine_action_free(message->order);
    ms_server_report_free(message->report);
    ms_forward_free(message->forward);
    if (message->advice != NULL) {
        g_array_unref(message->advice);
    }
    g_free(message);
}

static void
free_record(gpointer opaque)
{
    struct ms_store_record *record = opaque;
    if (record->value != NULL) {
        g_bytes_unref(record->value);
    }
    g_free(record);
}

struct ms_append *
ms_append_new(enum ms_append_kind kind)
{
    struct ms_append *append = g_new0(struct ms_append, 1);
    append->kind = kind;
    append->expected_end = MS_KEYED_LOG_ANY_OFFSET;
    append->records = g_ptr_array_new_with_free_func(free_record);
    return append;
}

void
ms_append_add_record(struct ms_append *append, const char *prefix, const char *id, GBytes *value)
{
    struct ms_store_record *record = g_new0(struct ms_store_record, 1);
    snprintf(record->key, sizeof(record->key), "%s%s", prefix, id);
    record->value = value;
    g_ptr_array_add(append->records, record);
}

void
ms_append_free(struct ms_append *append)
{
    if (append != NULL) {
        g_ptr_array_unref(append->records);
        g_free(append);
    }
}

void
ms_forward_free(struct ms_forward *forward)
{
    if (forward == NULL) {
        return;
    }
    g_free(forward->host);
    g_free(forward->path);
    g_free(forward->key);
    if (forward->body != NULL) {
        g_bytes_unref(forward->body);
    }
    free(forward->response_body);
    g_free(forward);
}

void
ms_entry_call_free(struct ms_entry_call *call)
{
    if (call == NULL) {
        return;
    }
    ms_batch_spec_clear(&call->spec);
    g_free(call->host);
    g_free(call->path);
    g_free(call->key);
    free(call->response_body);
    g_free(call);
}
