/*
 * message.c - allocates, frees and pushes messages to the decision thread.
 */
#include "node/message.h"

#define RING_FULL_RETRY_US 1000 /* pause before a push into a full ring is retried */

struct ms_message *
ms_message_new(enum ms_message_kind kind)
{
    struct ms_message *message = g_new0(struct ms_message, 1);
    message->kind = kind;
    return message;
}

void
ms_event_copy_free(void *event_copy)
{
    struct ms_event_copy *copy = event_copy;
    if (copy->output_ref != NULL) {
        g_bytes_unref(copy->output_ref);
    }
    g_free(copy);
}

void
ms_message_free(struct ms_message *message)
{
    switch (message->kind) {
    case MS_MESSAGE_PEER_ENVELOPE:
        if (message->peer.envelope != NULL) {
            ms__wire__envelope__free_unpacked(message->peer.envelope, NULL);
        }
        break;
    case MS_MESSAGE_LOG_RECORDS:
        g_ptr_array_unref(message->records.records);
        break;
    case MS_MESSAGE_HOST_LIST:
        g_array_unref(message->host_list);
        break;
    case MS_MESSAGE_BACKEND_EVENTS:
        g_ptr_array_unref(message->backend.events);
        break;
    case MS_MESSAGE_CALL:
    case MS_MESSAGE_PEER_UP:
    case MS_MESSAGE_PEER_DOWN:
    case MS_MESSAGE_LOG_TRUNCATED:
    case MS_MESSAGE_LOG_REACHABLE:
    case MS_MESSAGE_SHUTDOWN:
        break;
    }
    g_free(message);
}

void
ms_message_push(struct ms_ring *ring, const atomic_bool *stopping, struct ms_message *message)
{
    while (!ms_ring_push(ring, message)) {
        if (atomic_load(stopping)) {
            ms_message_free(message);
            return;
        }
        g_usleep(RING_FULL_RETRY_US);
    }
}
