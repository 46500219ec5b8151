/*
 * message.h - messages from the other threads of an entry host to its decision
 * thread, and the requests that come back in them.
 */
#ifndef MS_ENTRY_MESSAGE_H
#define MS_ENTRY_MESSAGE_H

#include "batch/engine.h"
#include "entry/call.h"
#include "ports/keyed_log.h"

/*
 * The comments name the fields of struct ms_entry_message that are set.  The answers to an
 * order, a lease renewal and an advice query all return it in `order`.
 */
enum ms_entry_message_kind {
    MS_ENTRY_CALL = 0,     /* a caller's request: call */
    MS_ENTRY_SNAPSHOT,     /* the newest record of each key: stream, batch, current_at */
    MS_ENTRY_RECORDS,      /* the next records of a stream: stream, batch, current_at */
    MS_ENTRY_READ_FAILED,  /* stream, log_result */
    MS_ENTRY_APPENDED,     /* an append has ended, with any result: append */
    MS_ENTRY_ORDER_ANSWER, /* answer to a START or STOP: order, order_result, server_clock_ms */
    /* Answer to a lease renewal: order, order_result, report, order_sent_at. */
    MS_ENTRY_LEASE_ANSWER,
    MS_ENTRY_ADVICE_ANSWER, /* answer of the advice service: order, advice */
    MS_ENTRY_FORWARDED,     /* a forwarded call has ended, with any result: forward */
    MS_ENTRY_SHUTDOWN,      /* begin a graceful shutdown */
};

enum ms_append_kind {
    MS_APPEND_ACCEPT = 0,    /* the job that `call` submits */
    MS_APPEND_CANCEL,        /* the cancellation that `call` asks for */
    MS_APPEND_EARLY_CANCEL,  /* the same, of a job that the log does not have */
    MS_APPEND_LEADER_CLAIM,  /* claim to become the leader */
    MS_APPEND_WRITER_EPOCH,  /* no record: sets the epoch of the leader's writer */
    MS_APPEND_JOB_STATE,     /* states of jobs, by the leader */
    MS_APPEND_LEADER_RENEW,  /* heartbeat of the leader */
    MS_APPEND_LEADER_RESIGN, /* the leader resigns */
    /* Records of entry hosts: this one is up or leaves, others are lost; old early cancellations.
     */
    MS_APPEND_HOST_RECORD,
};

/* A request to append records to the jobs stream of the log, and its result. */
struct ms_append {
    enum ms_append_kind kind;
    GPtrArray *records;         /* ms_store_record */
    uint64_t epoch;             /* of the leader's writer; not used by the unfenced appender */
    uint64_t expected_end;      /* where the stream must end, or MS_KEYED_LOG_ANY_OFFSET */
    struct ms_entry_call *call; /* ACCEPT, CANCEL, EARLY_CANCEL; NULL once it was answered */
    /* ACCEPT, CANCEL: the job's id; EARLY_CANCEL: the key of struct ms_early_cancel. */
    char record_id[MS_EARLY_CANCEL_KEY_MAX];
    int64_t deadline_at; /* unfenced: the append is not repeated after this */
    int64_t queued_at;   /* when it was given to the appender */
    /* The result. */
    enum ms_keyed_log_result result;
    bool may_be_stored;  /* an attempt had no answer */
    uint64_t end_offset; /* OK, END_MISMATCH: offset of the end of the stream */
};

/* A call that is forwarded to another entry host, and that host's answer. */
struct ms_forward {
    struct ms_entry_call *call; /* for the decision thread only; NULL once answered without it */
    char peer[MS_NAME_MAX];     /* name of that host */
    char peer_address[MS_HOST_ADDRESS_MAX];
    enum ms_entry_method method;
    char *host; /* Host header of the call */
    char *path;
    char *key;               /* API key, NULL when none was given */
    GBytes *body;            /* POST: the request body */
    uint64_t config_version; /* the peer must have this configuration or a newer one */
    int64_t timeout_ms;
    /* The answer. */
    unsigned int status; /* HTTP status, 0 without an answer */
    bool not_sent;       /* status 0: the request was certainly not sent */
    char *response_body; /* freed with free(), or NULL */
};

/* A message.  Owns what its pointers refer to, except `call`. */
struct ms_entry_message {
    enum ms_entry_message_kind kind;
    enum ms_stream stream;
    struct ms_keyed_log_batch *batch;
    int64_t current_at; /* time up to which the stream was read; 0: it has more records */
    enum ms_keyed_log_result log_result;
    struct ms_append *append;
    struct ms_entry_call *call;
    struct ms_forward *forward;
    struct ms_engine_action *order; /* START, STOP, RENEW_LEASE or QUERY_ADVICE */
    enum ms_order_result order_result;
    int64_t server_clock_ms;         /* the server's own clock, 0: not known */
    struct ms_server_report *report; /* the server's report, or NULL */
    GArray *advice;                  /* ms_advised_server, or NULL without an answer */
    int64_t order_sent_at;           /* when `order` was sent */
};

struct ms_entry_message *ms_entry_message_new(enum ms_entry_message_kind kind);
void ms_entry_message_free(struct ms_entry_message *message);

/* Returns a request without records and without a condition on the end of the stream. */
struct ms_append *ms_append_new(enum ms_append_kind kind);

/*
 * Adds a record with the key PREFIX + ID.  Takes ownership of VALUE; NULL
 * removes the key.
 */
void ms_append_add_record(struct ms_append *append, const char *prefix, const char *id,
                          GBytes *value);

/* Free APPEND or FORWARD, but not its call; NULL is ignored. */
void ms_append_free(struct ms_append *append);
void ms_forward_free(struct ms_forward *forward);

#endif
