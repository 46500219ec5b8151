/*
 * message.h - what the other threads tell the decision thread.
 *
 * A message is allocated by its sender, pushed into the node's ring, and freed
 * by the decision thread with ms_message_free().
 */
#ifndef MS_MESSAGE_H
#define MS_MESSAGE_H

#include <stdatomic.h>

#include <glib.h>

#include "config/settings.h"
#include "mustardspread/mustardspread.h"
#include "obs/ring.h"
#include "wire/inner.pb-c.h"

struct ms_call; /* caller/call.h */

/* An event of the decision core that owns the bytes it points to. */
struct ms_owned_event {
    struct ms_event event;
    GBytes *output; /* NULL when there is none */
};

/* An entry of the platform's host list. */
struct ms_listed {
    char name[MS_NAME_MAX];
    char dc[MS_NAME_MAX];
    char region[MS_NAME_MAX];
    char address[MS_ADDRESS_MAX]; /* IP:PORT of a host, base URL of a server */
    char rack[MS_NAME_MAX];
    uint32_t slots;
    uint32_t accels;
    bool is_server; /* a backend server, otherwise a host of the system */
    bool leaving;
};

enum ms_message_kind {
    MS_MESSAGE_CALL = 0,      /* .call: a caller or operator asks something */
    MS_MESSAGE_PEER_UP,       /* .peer.name: connected */
    MS_MESSAGE_PEER_DOWN,     /* .peer.name */
    MS_MESSAGE_PEER_ENVELOPE, /* .peer */
    MS_MESSAGE_LOG_RECORDS,   /* .records */
    MS_MESSAGE_LOG_BEGINS,    /* .offset: older records are gone */
    MS_MESSAGE_LOG_STATE,     /* .reachable */
    MS_MESSAGE_HOSTS,         /* .listed: array of struct ms_listed */
    MS_MESSAGE_BACKEND,       /* .backend: events of the decision core */
    MS_MESSAGE_SHUTDOWN,      /* begin a graceful shutdown */
};

struct ms_peer_message {
    char name[MS_NAME_MAX];
    char dc[MS_NAME_MAX];
    Ms__Wire__Envelope *envelope; /* owned */
};

struct ms_records_message {
    uint64_t first_offset;
    GPtrArray *records; /* GBytes */
};

struct ms_backend_message {
    uint64_t generation; /* of the claim that these events belong to */
    GPtrArray *events;   /* struct ms_owned_event */
};

struct ms_message {
    enum ms_message_kind kind;
    union {
        struct ms_call *call;
        struct ms_peer_message peer;
        struct ms_records_message records;
        struct ms_backend_message backend;
        GArray *listed;
        uint64_t offset;
        bool reachable;
    };
};

struct ms_message *ms_message_new(enum ms_message_kind kind);
void ms_message_free(struct ms_message *message);

/*
 * Pushes MESSAGE into RING and waits while that is full, so that the sender
 * slows down.  Once *STOPPING is true the message is freed instead.
 */
void ms_message_send(struct ms_ring *ring, const atomic_bool *stopping, struct ms_message *message);

void ms_owned_event_free(void *event);

#endif
