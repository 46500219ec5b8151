/*
 * private.h - the structs behind backend.h.
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
    MS_BACKEND_CLAIM = 0,
    MS_BACKEND_RELEASE,
    MS_BACKEND_ADD,
    MS_BACKEND_REMOVE,
    MS_BACKEND_OP,
};

/* One task operation; owns its payload. */
struct ms_server_op {
    enum ms_task_op op;
    char server[MS_NAME_MAX];
    char id[MS_ID_MAX];
    uint32_t member;
    uint32_t attempt;
    struct ms_job_spec spec;
    GBytes *payload;     /* NULL when there is none */
    uint64_t generation; /* of the claim under which it was queued */
    bool uncertain;      /* an earlier call with it had no answer */
};

struct ms_backend_command {
    enum ms_backend_command_kind kind;
    char name[MS_NAME_MAX];
    char url[MS_ADDRESS_MAX];
    uint64_t generation;
    uint64_t epoch;
    struct ms_server_op *op;
};

/* One backend server.  Times are milliseconds of the monotonic clock. */
struct ms_link_state {
    char name[MS_NAME_MAX];
    char url[MS_ADDRESS_MAX];
    bool held;              /* granted, and heard within the time limit */
    bool removed;           /* freed once no exchange is under way */
    bool leaving;           /* LEAVING was told to the node */
    uint64_t fence;         /* 0 while not held */
    int64_t as_of;          /* server's clock, of the last answer */
    int64_t last_answer_at; /* our clock */
    int64_t sync_at;        /* when to send the next sync */
    struct ms_http *sync;
    bool syncing;
    bool sync_failed; /* the next sync takes a new connection */
    struct ms_http *ops;
    bool sending;
    GQueue *waiting;        /* ms_server_op, to be sent */
    GQueue *sent;           /* ms_server_op, in the exchange under way */
    uint64_t call;          /* number of the last call under this fence */
    uint32_t send_failures; /* of the call in `sent`, which is sent again */
    int64_t send_at;
    GHashTable *withheld; /* "id#member#attempt" of leases not to renew */
};

struct ms_backend {
    const struct ms_settings *settings;
    struct ms_counters *counters;
    struct ms_ring *node_ring;
    struct ms_ring *commands; /* ms_backend_command */
    pthread_t thread;
    atomic_bool stopping;
    struct ms_http_loop *loop;
    GHashTable *links;   /* name -> ms_link_state */
    GPtrArray *removed;  /* links to free */
    uint64_t generation; /* 0: nothing is claimed */
    uint64_t epoch;
};

void ms_server_op_free(void *op);
void ms_backend_tell(struct ms_backend *backend, GPtrArray *events);
struct ms_owned_event *ms_backend_event(GPtrArray *events, enum ms_event_kind kind);
void ms_backend_lost(struct ms_backend *backend, struct ms_link_state *link);

/* sync.c: lease renewals. */
void ms_sync_start(struct ms_backend *backend, struct ms_link_state *link);
void ms_sync_done(struct ms_backend *backend, struct ms_link_state *link, CURLcode code);

/* ops.c: task operations. */
void ms_ops_start(struct ms_backend *backend, struct ms_link_state *link);
void ms_ops_done(struct ms_backend *backend, struct ms_link_state *link, CURLcode code);
void ms_ops_queue(struct ms_backend *backend, struct ms_link_state *link, struct ms_server_op *op);

#endif
