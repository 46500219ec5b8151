/*
 * private.h - data structures and functions shared by the files of src/backend.
 */
#ifndef MS_BACKEND_PRIVATE_H
#define MS_BACKEND_PRIVATE_H

#include <pthread.h>
#include <stdatomic.h>

#include "backend/backend.h"
#include "node/message.h"
#include "platform/http.h"
#include "platform/http_loop.h"

enum ms_backend_command_kind {
    MS_BACKEND_CMD_ACQUIRE = 0,
    MS_BACKEND_CMD_RELEASE,
    MS_BACKEND_CMD_ADD_SERVER,
    MS_BACKEND_CMD_REMOVE_SERVER,
    MS_BACKEND_CMD_TASK_OP,
};

/* A task operation addressed to one server; owns its payload. */
struct ms_server_op {
    enum ms_task_op op;
    char server[MS_NAME_MAX];
    char id[MS_ID_MAX];
    uint32_t member;
    uint32_t attempt;
    struct ms_job_spec spec; /* without payload */
    GBytes *payload;         /* payload of the job, NULL when there is none */
    uint64_t generation;     /* ms_backend.generation when it was queued */
    bool maybe_executed;     /* an earlier call that contained it got no answer */
};

/* A command to the thread; the fields in use depend on the kind. */
struct ms_backend_command {
    enum ms_backend_command_kind kind;
    char name[MS_NAME_MAX];
    char url[MS_ADDRESS_MAX];
    uint64_t generation;
    uint64_t epoch;
    struct ms_server_op *op; /* owned; NULL unless MS_BACKEND_CMD_TASK_OP */
};

/*
 * One backend server.  Times are milliseconds of this host's monotonic clock, except
 * `as_of`.
 */
struct ms_server_link {
    char name[MS_NAME_MAX];
    char url[MS_ADDRESS_MAX];
    bool acquired;          /* granted, and answered within server_timeout_ms */
    bool removed;           /* to be freed when no exchange is in flight */
    bool leaving_reported;  /* MS_EVENT_SERVER_LEAVING was sent */
    uint64_t fence;         /* fencing token of the grant; 0: none */
    int64_t as_of;          /* time of the last sync answer on the server's clock, ms */
    int64_t last_answer_at; /* time at which that answer was received */
    int64_t next_sync_at;
    struct ms_http *sync_http;
    bool sync_in_flight;
    bool last_sync_failed; /* the next sync uses a new connection */
    struct ms_http *ops_http;
    bool ops_in_flight;
    GQueue *queued_ops;          /* ms_server_op, not sent yet */
    GQueue *sent_ops;            /* ms_server_op of the current call, kept for a retry */
    uint64_t call_number;        /* of the last call under this fence */
    uint32_t ops_failures;       /* failed attempts of the current call */
    int64_t next_ops_at;         /* earliest time of the retry */
    GHashTable *withheld_leases; /* set of "id#member#attempt": leases not to renew */
};

struct ms_backend {
    const struct ms_settings *settings;
    struct ms_counters *counters;
    struct ms_ring *node_ring;
    struct ms_ring *commands; /* ms_backend_command */
    pthread_t thread;
    atomic_bool stopping;
    struct ms_http_loop *loop;
    GHashTable *links;        /* server name -> ms_server_link */
    GPtrArray *removed_links; /* ms_server_link, freed when no exchange is in flight */
    uint64_t generation;      /* of ms_backend_acquire(); 0: no servers are requested */
    uint64_t epoch;           /* of ms_backend_acquire() */
};

void ms_server_op_free(void *memory);

/* Sends EVENTS to the node and takes ownership of them; blocks while its ring is full. */
void ms_backend_send_events(struct ms_backend *backend, GPtrArray *events);

/* Appends a new event of KIND to EVENTS, which owns it. */
struct ms_event_copy *ms_backend_add_event(GPtrArray *events, enum ms_event_kind kind);

/* Marks a server as lost, discards its operations and informs the node. */
void ms_backend_mark_lost(struct ms_backend *backend, struct ms_server_link *link);

/* lease_sync.c: lease renewals. */
void ms_sync_start(struct ms_backend *backend, struct ms_server_link *link);
void ms_sync_finish(struct ms_backend *backend, struct ms_server_link *link, CURLcode code);

/* task_ops.c: task operations.  ms_ops_enqueue() takes ownership of OP. */
void ms_ops_start(struct ms_backend *backend, struct ms_server_link *link);
void ms_ops_finish(struct ms_backend *backend, struct ms_server_link *link, CURLcode code);
void ms_ops_enqueue(struct ms_backend *backend, struct ms_server_link *link,
                    struct ms_server_op *op);

#endif
