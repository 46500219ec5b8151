/*
 * private.h - state of an entry host's decision thread, shared by the files of
 * src/entry that run on it.
 *
 * Only that thread accesses it, once it runs, except where a field says otherwise.
 * Times are in milliseconds of ms_clock_boot_ms().
 *
 * One entry host at a time is the leader: it places stored jobs on backend servers.
 * It claims leadership, with a new epoch, by a record in the jobs stream.
 */
#ifndef MS_ENTRY_PRIVATE_H
#define MS_ENTRY_PRIVATE_H

#include <pthread.h>
#include <stdatomic.h>

#include "batch/engine.h"
#include "entry/log_appender.h"
#include "entry/http_frontend.h"
#include "entry/entry.h"
#include "entry/stream_reader.h"
#include "entry/forwarder.h"
#include "entry/order_sender.h"
#include "entry/refused_jobs.h"

/* Pause between two reads of the jobs stream: while following, and from the first claim on. */
#define MS_JOBS_PAUSE_FOLLOWING_MS 500
#define MS_JOBS_PAUSE_PLACING_MS 5

/* All appends and forwards for a call have to end this long after its arrival. */
#define MS_CALL_ATTEMPTS_MAX_MS 1250

/*
 * A host that may use less than this many cores is a low-CPU host.  Its name in claims
 * has the suffix, by which other hosts recognise such a leader and take over from it.
 */
#define MS_LOW_CPU_CORES 0.2
#define MS_LOW_CPU_SUFFIX "/weak"

/* HTTP statuses of answers to callers. */
enum ms_call_status {
    MS_STATUS_OK = 200,
    MS_STATUS_BAD_REQUEST = 400, /* the lowest error */
    MS_STATUS_UNAUTHORIZED = 401,
    MS_STATUS_NOT_FOUND = 404,
    MS_STATUS_METHOD_NOT_ALLOWED = 405,
    MS_STATUS_GONE = 410,
    MS_STATUS_OVER_CAP = 429,        /* refused: the job can never run under its account's cap */
    MS_STATUS_SERVER_ERROR = 500,    /* the lowest one; not sent by entry hosts */
    MS_STATUS_UNAVAILABLE = 503,     /* refused: the call was not and will not be carried out */
    MS_STATUS_OUTCOME_UNKNOWN = 504, /* the call may have been carried out */
};

/* Role of this host in the leader election; the order of the values is that of a takeover. */
enum ms_leader_state {
    MS_FOLLOWING = 0, /* another host is the leader, or none is */
    MS_CLAIMING,      /* an append of our claim is in progress */
    MS_FENCING,       /* the claim succeeded; the earlier leader's writer is being fenced */
    MS_CATCHING_UP,   /* reads what was written before the fence */
    MS_LISTING,       /* reads the server directory */
    MS_PLACING,       /* the leader: places jobs */
};

/* An entry host. */
struct ms_entry {
    const struct ms_entry_settings *settings;
    struct ms_counters *counters;
    char claim_name[MS_LEADER_NAME_MAX]; /* our name in claims: host name, start time, suffix */
    struct ms_ring *message_ring;        /* ms_entry_message; any thread may push */
    struct ms_http_frontend *http_frontend;
    struct ms_stream_reader *stream_readers[MS_STREAM_COUNT];
    struct ms_appender *unfenced_appender; /* writes that need no leader */
    struct ms_appender *fenced_appender;   /* writes of the leader */
    /* Sends the engine's orders, lease renewals and advice queries. */
    struct ms_order_sender *order_sender;
    struct ms_forwarder *forwarder;
    pthread_t thread;
    atomic_bool finished; /* the thread has to end; set and read by any thread */
    int64_t now;          /* time of the present step */

    /* State read from the log's streams. */
    struct ms_job_table *table;
    uint64_t jobs_next_offset;       /* jobs: offset of the next record to apply */
    bool jobs_loaded;                /* jobs: the first snapshot was applied */
    int64_t jobs_current_at;         /* jobs: time up to which the stream is known */
    int64_t jobs_readable_since;     /* jobs: no read has failed since then; 0: the last did */
    struct ms_policy *policy;        /* newest configuration, or NULL */
    int64_t rules_current_at;        /* rules: time up to which the stream is known */
    GHashTable *dcs_out_of_service;  /* set of data centre names */
    bool reachable[MS_STREAM_COUNT]; /* whether the last read succeeded */

    /* Leader election and placing. */
    enum ms_leader_state leader_state;
    uint64_t term_epoch;           /* epoch of our newest term, which may be over; 0: none */
    int64_t last_leader_record_at; /* last record of another leader, or start or end of our term */
    int64_t leader_state_since;    /* when leader_state was entered */
    uint64_t newest_epoch;         /* newest epoch in the log */
    int64_t newest_epoch_since;    /* when that epoch was first seen */
    int64_t earlier_leases_until;  /* leases from earlier leaders may be valid until then */
    int64_t older_leases_until;    /* those from the leaders before the newest epoch */
    uint64_t catch_up_offset;      /* CATCHING_UP: read the jobs stream up to this offset */
    uint64_t claim_retry_offset;   /* CLAIMING: claim again once this is read; 0: not rejected */
    struct ms_engine *engine;      /* LISTING, PLACING; else NULL */
    int64_t next_renewal_at;
    int64_t last_renewal_at;      /* sending time of the newest fenced append that succeeded */
    bool earlier_leader_resigned; /* the leader of the newest epoch, as last heard */
    bool renewal_in_flight;       /* a renewal was sent and not answered yet */

    /* Other entry hosts. */
    int64_t last_announce_at; /* when our host record was sent; 0: never */
    int64_t last_prune_at;    /* last search for records of lost hosts */
    /* Last failure to append an accepted job or a cancellation; 0: none since the last success. */
    int64_t append_failed_at;
    uint32_t consecutive_append_failures; /* such failures since the last success */
    uint32_t forward_count;               /* calls forwarded since the start */

    /* ms_append.record_id -> GPtrArray of ms_append of kind ACCEPT, CANCEL or EARLY_CANCEL */
    GHashTable *pending_appends;
    struct ms_refused_jobs *refused_jobs;
    /* ms_entry_call: calls that wait for a read of the jobs stream. */
    GPtrArray *calls_awaiting_refresh;
    uint32_t open_call_count; /* calls not answered yet */
    bool draining;            /* a graceful shutdown has begun */
    int64_t drain_started_at;
    int64_t drain_deadline; /* the shutdown ends then even with open calls */
};

/* leader.c: leader election among the entry hosts. */

/* A leader record was read from the jobs stream and applied to the table. */
void ms_leader_record_applied(struct ms_entry *entry);
/*
 * The state of a job was read, which only a leader stores.  If that is an earlier one, it renews
 * leases for a while from then, as after a renewal of its epoch.
 */
void ms_leader_job_state_applied(struct ms_entry *entry);
/* Claims, renews or ends the leadership if that is due. */
void ms_leader_tick(struct ms_entry *entry);
/* APPEND (of a claim, or by the fenced appender) was answered; its result may be a failure. */
void ms_leader_append_done(struct ms_entry *entry, const struct ms_append *append);
/* The server directory was read in full: ends MS_LISTING. */
void ms_leader_directory_loaded(struct ms_entry *entry);
/* For how long records of jobs that have ended, and early cancellations, are kept. */
int64_t ms_leader_ended_retention_ms(const struct ms_entry *entry);
/* Ends the takeover or the term, if one has begun; REASON goes to the log. */
void ms_leader_step_down(struct ms_entry *entry, const char *reason);
/* The same, with a record by which other hosts may claim without waiting for a timeout. */
void ms_leader_resign(struct ms_entry *entry);

/* actions.c: carries out the engine's actions, and passes the server directory to it. */

/* Carries out the actions that the engine has queued; this may end the term. */
void ms_actions_run(struct ms_entry *entry);
/* Passes records of the server directory to the engine; SNAPSHOT: BATCH is all of it. */
void ms_actions_apply_directory(struct ms_entry *entry, const struct ms_keyed_log_batch *batch,
                                bool snapshot);
/* Writes a line of the engine's to the log; OPAQUE is the ms_entry. */
void ms_actions_log(void *opaque, const char *text);

/* requests.c: handles the calls of callers. */

void ms_requests_handle(struct ms_entry *entry, struct ms_entry_call *call);
/* The append of an acceptance or a cancellation was answered. */
void ms_requests_append_done(struct ms_entry *entry, struct ms_append *append);
/* A record of KIND for ID (ms_append.record_id) was read: answers the calls that wait for it. */
void ms_requests_record_read(struct ms_entry *entry, const char *id, enum ms_append_kind kind);
/* Resumes the calls whose read of the log is done or has timed out. */
void ms_requests_resume_refreshed(struct ms_entry *entry);
/* What the readiness probe reports. */
bool ms_requests_is_ready(const struct ms_entry *entry);
/* Handles CALL again after a forward of it has failed. */
void ms_requests_retry(struct ms_entry *entry, struct ms_entry_call *call);
/*
 * Answers CALL with the HTTP status STATUS; REASON goes to the log and into error bodies.  An
 * error becomes MS_STATUS_OUTCOME_UNKNOWN if an attempt may have been carried out.
 */
void ms_requests_answer(struct ms_entry *entry, struct ms_entry_call *call, unsigned int status,
                        const char *reason);
/*
 * Forwards CALL, which this host cannot handle for REASON, to another host if one can
 * take it; otherwise answers it as refused, or as unknown after an earlier attempt that
 * had no answer.
 */
void ms_requests_forward_or_refuse(struct ms_entry *entry, struct ms_entry_call *call,
                                   const char *reason);
/*
 * Appends a record with VALUE for ID (ms_append.record_id; ACCEPT, CANCEL or EARLY_CANCEL).  CALL
 * is answered when the append has ended or the record was read from the log, whichever is first.
 * While another host can take CALL, attempts here end early enough to forward it.
 */
void ms_requests_append(struct ms_entry *entry, struct ms_entry_call *call,
                        enum ms_append_kind kind, const char *id, GBytes *value);

/* job_calls.c: queries and cancellations, of callers that were checked. */

/* Handles CALL, a GET or DELETE of the job ID in QUEUE by ACCOUNT. */
void ms_job_calls_handle(struct ms_entry *entry, struct ms_entry_call *call,
                         const struct ms_queue_rule *queue, const char *account, const char *id);
/* Answers CALL with the number of jobs that wait in QUEUE. */
void ms_job_calls_answer_queue(struct ms_entry *entry, struct ms_entry_call *call,
                               const struct ms_queue_rule *queue);

/* early_cancels.c: cancellations of jobs that the log does not have. */

/*
 * Cancels the job ID, which the log does not have, for CALL by a caller with SCOPE: stores that,
 * and then answers that there is no such job.
 */
void ms_early_cancel_store(struct ms_entry *entry, struct ms_entry_call *call, const char *id,
                           const struct ms_early_cancel_scope *scope);
/* The early cancellation KEY was read from the log: answers the calls that wait for it. */
void ms_early_cancel_read(struct ms_entry *entry, const char *key);
/* Removes early cancellations from the log that are old enough; the leader does this. */
void ms_early_cancels_prune(struct ms_entry *entry);

/* peers.c: other entry hosts, and forwarding of calls to them. */

/* Writes this host's record, and as leader removes those of lost hosts, when that is due. */
void ms_entry_peers_tick(struct ms_entry *entry);
/* Removes this host's record from the log. */
void ms_entry_peers_leave(struct ms_entry *entry);
/* Whether CALL may be forwarded: attempts, time and a host are left. */
bool ms_entry_peers_can_forward(const struct ms_entry *entry, const struct ms_entry_call *call);
/* Whether the last append failed, a short time ago. */
bool ms_entry_peers_append_failed_recently(const struct ms_entry *entry);
/* Whether so many appends failed in a row that calls are refused without another attempt. */
bool ms_entry_peers_log_unavailable(const struct ms_entry *entry);
/* Forwards CALL; REASON, why it is not handled here, goes to the log.  False if it cannot. */
bool ms_entry_peers_forward(struct ms_entry *entry, struct ms_entry_call *call, const char *reason);
/* A forward was answered or failed. */
void ms_entry_peers_forward_done(struct ms_entry *entry, struct ms_forward *forward);
/* Call before CALL is answered: detaches its forward, whose result is then ignored. */
void ms_entry_peers_detach_forward(struct ms_entry_call *call);

/* account_metrics.c */

/* Updates the gauges of client accounts; there are none unless this host is the leader. */
void ms_account_metrics_update(struct ms_entry *entry);

/* log_streams.c: applies what was read from the log; MESSAGE may also report a failed read. */
void ms_streams_apply_message(struct ms_entry *entry, const struct ms_entry_message *message);

#endif
