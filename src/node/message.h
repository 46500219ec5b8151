/*
 * message.h - messages from the other threads to the decision thread.
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

/* An event for the decision core, with a reference that keeps the event's output alive. */
struct ms_event_copy {
    struct ms_event event;
    GBytes *output_ref; /* what the event's output points into, or NULL */
};

/* An entry of the platform's host list: a host or a backend server. */
struct ms_host_list_entry {
    char name[MS_NAME_MAX];
    char dc[MS_NAME_MAX];
    char region[MS_NAME_MAX];
    char address[MS_ADDRESS_MAX]; /* IP:PORT of a host, base URL of a backend server */
    char rack[MS_NAME_MAX];
    uint32_t slots;
    uint32_t accels;
    bool is_server; /* a backend server, otherwise a host */
    bool leaving;   /* the server is being taken out of service */
};

enum ms_message_kind {
    MS_MESSAGE_CALL = 0,       /* .call: a request of a caller or an operator */
    MS_MESSAGE_PEER_UP,        /* .peer without .envelope: that host connected */
    MS_MESSAGE_PEER_DOWN,      /* .peer.name: that host disconnected */
    MS_MESSAGE_PEER_ENVELOPE,  /* .peer: received from that host */
    MS_MESSAGE_LOG_RECORDS,    /* .records: read from the log */
    MS_MESSAGE_LOG_TRUNCATED,  /* .offset of the oldest record; older ones have expired */
    MS_MESSAGE_LOG_REACHABLE,  /* .reachable: whether the log can be reached */
    MS_MESSAGE_HOST_LIST,      /* .host_list: array of struct ms_host_list_entry */
    MS_MESSAGE_BACKEND_EVENTS, /* .backend: events for the decision core */
    MS_MESSAGE_SHUTDOWN,       /* begin a graceful shutdown */
};

/* A message from another host, or about the connection to it. */
struct ms_peer_message {
    char name[MS_NAME_MAX];
    char dc[MS_NAME_MAX];
    Ms__Wire__Envelope *envelope; /* owned */
};

/* Consecutive log records. */
struct ms_records_message {
    uint64_t first_offset;
    GPtrArray *records; /* GBytes */
};

struct ms_backend_message {
    uint64_t generation; /* of the claim that was in force, see ms_backend_acquire() */
    GPtrArray *events;   /* struct ms_event_copy */
};

struct ms_message {
    enum ms_message_kind kind;
    union {
        struct ms_call *call;
        struct ms_peer_message peer;
        struct ms_records_message records;
        struct ms_backend_message backend;
        GArray *host_list;
        uint64_t offset;
        bool reachable;
    };
};

/* Allocates a message; free with ms_message_free().  Aborts when out of memory. */
struct ms_message *ms_message_new(enum ms_message_kind kind);
/* Frees MESSAGE and what it owns, but not .call. */
void ms_message_free(struct ms_message *message);

/*
 * Pushes MESSAGE into RING.  Blocks while the ring is full, which slows the
 * sender down.  If *STOPPING becomes true meanwhile, the message is freed.
 */
void ms_message_push(struct ms_ring *ring, const atomic_bool *stopping, struct ms_message *message);

/* Frees a struct ms_event_copy; usable as a GDestroyNotify. */
void ms_event_copy_free(void *event_copy);

#endif
