/*
 * private.h - the state of the decision thread, private to src/node.
 *
 * Only that thread reads or writes the state, so it needs no locks.  Members
 * named ..._at, ..._since or now are times in milliseconds of the monotonic
 * clock.
 *
 * In each data centre one host at a time, the leader, places jobs on the
 * backend servers.  Every host is an entry host: it takes jobs from callers and
 * dispatches them to leaders.
 */
#ifndef MS_NODE_PRIVATE_H
#define MS_NODE_PRIVATE_H

#include <pthread.h>
#include <stdatomic.h>

#include <jansson.h>

#include "backend/backend.h"
#include "caller/call.h"
#include "caller/http_server.h"
#include "logstate/logstate.h"
#include "membership/claim.h"
#include "membership/failure_detector.h"
#include "node/message.h"
#include "node/node.h"
#include "obs/span.h"
#include "peer/peer.h"
#include "platform/platform_client.h"

#define MS_EXCLUDED_DCS_MAX 8 /* data centres excluded for one job */

/* Capacity and load of a data centre, as last reported by its leader. */
struct ms_dc_summary {
    uint32_t servers;
    uint32_t accels;
    uint32_t accels_free;
    uint32_t slots_free;
    uint32_t rack_free_max; /* free accelerators of the rack with the most */
    uint32_t waiting;       /* jobs */
    uint32_t running;       /* tasks that have resources allocated */
    uint32_t quarantined;   /* servers */
    uint32_t guarantees_unmet;
};

/* Another host, as known from the settings, the host list and its heartbeats. */
struct ms_host {
    char name[MS_NAME_MAX];
    char dc[MS_NAME_MAX];
    char region[MS_NAME_MAX];
    char address[MS_ADDRESS_MAX];
    bool address_configured; /* from the settings; the host list does not replace it */
    bool connected;
    bool heartbeat_received; /* a heartbeat has arrived on the current connection */
    bool draining;
    bool is_leader;          /* it reports that it is the leader of its data centre */
    uint64_t epoch;          /* of that claim */
    uint64_t next_offset;    /* next log offset that it will apply */
    bool log_reachable;      /* it can reach the log itself */
    uint64_t incarnation;    /* random number of its process; changes with a restart */
    uint64_t relayed_offset; /* next log offset to relay to it */
    int64_t last_relay_at;
    struct ms_dc_summary summary; /* of its data centre, while it is the leader */
    struct ms_failure_detector detector;
};

/*
 * A job of which callers of this entry host await the outcome.  It is dispatched
 * to one leader at a time.
 */
struct ms_pending_job {
    char id[MS_ID_MAX];
    struct ms_job_spec spec; /* payload points into `payload` */
    GBytes *payload;
    GPtrArray *calls;                /* ms_call, not yet answered */
    bool has_spec;                   /* false: queries and cancellations only */
    bool awaiting_acceptance;        /* its acceptance is not yet in the log */
    bool accepted;                   /* its acceptance is in the log */
    char accept_writer[MS_NAME_MAX]; /* writer id of the acceptance record */
    char dc[MS_NAME_MAX];            /* data centre that it is dispatched to, or "" */
    char leader_host[MS_NAME_MAX];   /* leader that it was sent to, or "" */
    bool confirmed;                  /* that host confirmed receipt */
    bool may_have_run;               /* a host that it was sent to may have started it */
    char excluded_dcs[MS_EXCLUDED_DCS_MAX][MS_NAME_MAX]; /* not dispatched to these again */
    uint32_t excluded_dc_count;
    int64_t created_at;
    int64_t last_sent_at;                /* last send, or report that another host has the token */
    int64_t unroutable_since;            /* no leader known since then; 0: one is known */
    uint32_t send_count;                 /* times that it was sent */
    struct ms_call_outcome last_refusal; /* of the data centre that refused last; no output */
    struct ms_span span;
};

/* A change of rules whose result an operator awaits. */
struct ms_rules_change {
    struct ms_call *call;
    GPtrArray *pending_writers; /* writer ids of its records not yet seen in the log */
    GPtrArray *conflicts;       /* "key: reason" of changes rejected because another came first */
    uint32_t pending_records;   /* number of those records */
    uint64_t version;           /* highest version among its records */
    int64_t deadline_at;
};

/*
 * State of this host as the leader of its data centre.  The pointers are
 * valid while it is active.
 */
struct ms_dc_leader {
    bool active;         /* this host is the leader now */
    bool in_core_step;   /* actions of the decision core are being executed */
    uint64_t epoch;      /* of the claim, see membership/claim.h */
    uint64_t generation; /* claims made by this process, the current one included */
    int64_t began_at;
    /* Jobs may start: the servers are leased, or were waited for long enough. */
    bool starts_allowed;
    struct ms_sched *sched;
    GHashTable *subscribers;    /* job id -> GPtrArray of names of hosts that await it */
    GHashTable *trace_parents;  /* job id -> traceparent header of its submission */
    GHashTable *leased_servers; /* names of the servers that have a lease from this host */
};

struct ms_node {
    const struct ms_settings *settings;
    struct ms_counters *counters;
    struct ms_ring *ring;
    struct ms_platform_client *platform;
    struct ms_backend *backend;
    struct ms_peers *peers;
    struct ms_http_server *http_server;
    struct ms_spans *spans;
    FILE *trace_file; /* receives a trace of the decision core's events, or NULL */
    pthread_t thread;
    atomic_bool finished; /* the shutdown is complete, or ms_node_stop() was called */

    int64_t now; /* time of the current iteration of the thread's loop */
    int64_t started_at;
    uint64_t incarnation;  /* random number of this process */
    uint64_t writer_count; /* makes the writer ids of log records unique */
    bool log_reachable;
    bool log_was_reached;      /* at least once */
    bool draining;             /* a graceful shutdown is under way */
    int64_t drain_deadline_at; /* callers still waiting are then refused */

    struct ms_logstate *logstate;
    GQueue *relay_buffer;     /* ms_relay_record: the last applied records, for relays */
    int64_t last_snapshot_at; /* when the latest snapshot was found in the log, or the start */
    uint64_t snapshot_offset; /* log offset of the latest snapshot */
    int64_t last_snapshot_published_at; /* last snapshot that this host published */

    GHashTable *hosts;         /* name -> ms_host */
    GHashTable *servers;       /* name -> ms_host_list_entry: backend servers of all data centres */
    GHashTable *dc_regions;    /* data centre -> region; owned strings */
    int64_t next_gauges_at;    /* next update of the gauges */
    int64_t next_heartbeat_at; /* next heartbeats to the other hosts */
    uint64_t heartbeat_count;

    bool epoch_requested; /* this host appended an epoch record, not yet read back */
    int64_t last_epoch_requested_at;
    char epoch_request_writer[MS_NAME_MAX]; /* writer id of that record */
    struct ms_dc_leader leader;

    GHashTable *pending_jobs;     /* job id -> ms_pending_job */
    bool dispatch_due;            /* some pending job may have to be dispatched */
    GHashTable *dc_last_alive_at; /* data centre -> int64_t: last time a host of it was alive */
    int64_t next_relocate_check_at;
    GQueue *rules_changes;       /* ms_rules_change */
    GHashTable *explain_queries; /* request number -> ms_call: explanations asked of other hosts */
    uint64_t last_query_number;  /* last request number */
    GHashTable *token_requests;  /* writer id of the token record -> ms_token_request */
    double resend_budget;        /* token bucket: jobs that may be sent again now */
    int64_t last_refill_at;
};

/* A request for a run token; its record has not been read back from the log yet. */
struct ms_token_request {
    char id[MS_ID_MAX]; /* of the job */
    uint32_t attempt;
    int64_t deadline_at;
};

/* An applied record, kept to relay it to hosts that cannot reach the log. */
struct ms_relay_record {
    uint64_t offset;
    GBytes *bytes;
};

/*
 * node.c.  Answers CALL with an HTTP status and a JSON body, which may be NULL.
 * Takes ownership of JSON, and hands CALL back to the HTTP thread.
 */
void ms_node_answer(struct ms_node *node, struct ms_call *call, unsigned int status, char *json);

/* members.c: other hosts, heartbeats, leadership of this data centre. */
void ms_members_init(struct ms_node *node);
/* Applies the platform's host list, an array of struct ms_host_list_entry. */
void ms_members_update_list(struct ms_node *node, const GArray *listed);
void ms_members_on_peer_up(struct ms_node *node, const struct ms_peer_message *peer);
void ms_members_on_peer_down(struct ms_node *node, const char *name);
void ms_members_on_heartbeat(struct ms_node *node, const char *name,
                             const Ms__Wire__Heartbeat *heartbeat);
void ms_members_tick(struct ms_node *node);
void ms_members_send_heartbeats(struct ms_node *node);
/* Whether HOST is connected and its heartbeats arrive in time. */
bool ms_host_is_alive(const struct ms_node *node, const struct ms_host *host);
/* Name of the leader of DC, or NULL when none is known. */
const char *ms_members_leader(const struct ms_node *node, const char *dc);
struct ms_host *ms_members_find_host(const struct ms_node *node, const char *name);
/* Region of DC, or "" when it is unknown. */
const char *ms_members_dc_region(const struct ms_node *node, const char *dc);
/* Fills in SUMMARY for DC; false when no leader of DC is known. */
bool ms_members_dc_summary(const struct ms_node *node, const char *dc,
                           struct ms_dc_summary *summary);
/*
 * Whether this host has the highest rendezvous hash for KEY of the live hosts that
 * can reach the log and are not draining.
 */
bool ms_members_is_rendezvous_winner(const struct ms_node *node, const char *key);
/* Whether the leader of any data centre is alive and can reach the log. */
bool ms_members_any_leader_has_log(const struct ms_node *node);
/* Whether the leader of DC can reach the log. */
bool ms_members_dc_leader_has_log(const struct ms_node *node, const char *dc);
/* Whether a live host has applied more of the log than this one. */
bool ms_members_self_is_behind(const struct ms_node *node);
/* Whether any host of DC is alive. */
bool ms_members_dc_is_alive(const struct ms_node *node, const char *dc);

/* dc_leader.c: work of the leader.  While this host is not the leader, most of these do nothing. */

/* Becomes the leader under EPOCH and starts the decision core. */
void ms_dc_leader_begin(struct ms_node *node, uint64_t epoch);
/* The log now has the epoch record of a claim that was made while it was unreachable. */
void ms_dc_leader_confirm_epoch(struct ms_node *node, uint64_t epoch);
/* Steps down as leader; jobs that this host had dispatched to itself are dispatched again. */
void ms_dc_leader_end(struct ms_node *node, const char *reason);
/* Runs one step of the decision core; must not be called within a step. */
void ms_dc_leader_step(struct ms_node *node, const struct ms_event *event);
/* Passes events of backend servers to the core, unless they belong to an earlier claim. */
void ms_dc_leader_backend_events(struct ms_node *node, const struct ms_backend_message *message);
/* Takes a job.  SUBSCRIBER is the host that is sent its outcome. */
void ms_dc_leader_submit(struct ms_node *node, const struct ms_job_spec *spec,
                         const char *subscriber, bool may_have_run, const char *trace_parent);
/* Cancels job ID and sends its outcome to SUBSCRIBER, if the core knows the job. */
void ms_dc_leader_cancel(struct ms_node *node, const char *id, const char *subscriber);
/* Sends the outcome of job ID to SUBSCRIBER once it has ended, if the core knows the job. */
void ms_dc_leader_subscribe(struct ms_node *node, const char *id, const char *subscriber);
void ms_dc_leader_tick(struct ms_node *node);
void ms_dc_leader_apply_rule(struct ms_node *node, const struct ms_rule *rule);
void ms_dc_leader_server_listed(struct ms_node *node, const struct ms_host_list_entry *listed);
void ms_dc_leader_server_unlisted(struct ms_node *node, const char *name);
/* Gives an accepted job to the core, if it belongs to this data centre. */
void ms_dc_leader_job_accepted(struct ms_node *node, const char *id);
/* Answers the run token request whose record has the id WRITER. */
void ms_dc_leader_token_answered(struct ms_node *node, const char *writer,
                                 enum ms_token_answer answer);
/* Fills in SUMMARY for this data centre; all zero while this host is not the leader. */
void ms_dc_leader_summary(const struct ms_node *node, struct ms_dc_summary *summary);
/* When the core's next timer is due; INT64_MAX while this host is not the leader. */
int64_t ms_dc_leader_next_tick(const struct ms_node *node);

/* pending_jobs.c: jobs that callers of this host await. */

/*
 * These three answer CALL at once, or keep it until the job's outcome is known or
 * the call's wait time is over.
 */
void ms_jobs_submit(struct ms_node *node, struct ms_call *call);
void ms_jobs_query(struct ms_node *node, struct ms_call *call);
void ms_jobs_cancel(struct ms_node *node, struct ms_call *call);

/* A leader sent the outcome of a job. */
void ms_jobs_on_outcome(struct ms_node *node, const Ms__Wire__Outcome *message);
/* HOST confirmed that it has received job ID. */
void ms_jobs_on_received(struct ms_node *node, const char *host, const char *id);
/* An acceptance of job ID was read from the log; TAKEN: it is the one in force. */
void ms_jobs_accepted(struct ms_node *node, const char *writer, const char *id, bool taken);
/* The outcome of a job was read from the log. */
void ms_jobs_done(struct ms_node *node, const Ms__Wire__Outcome *message);
/* HOST was lost, or is this host and stepped down; jobs sent to it are dispatched again. */
void ms_jobs_host_lost(struct ms_node *node, const char *host);
void ms_jobs_tick(struct ms_node *node);
/* Dispatches every pending job that is due; must not be called within a step of the core. */
void ms_jobs_dispatch_due(struct ms_node *node);
/* Refuses all pending jobs, at the end of a shutdown. */
void ms_jobs_refuse_all(struct ms_node *node);
void ms_jobs_free(struct ms_node *node);
/* HTTP status of the answer that reports OUTCOME. */
unsigned int ms_outcome_http_status(const struct ms_call_outcome *outcome);

/* Answers all callers of PENDING with OUTCOME, then frees PENDING. */
void ms_jobs_finish(struct ms_node *node, struct ms_pending_job *pending,
                    const struct ms_call_outcome *outcome);
/* Finishes PENDING with a refusal.  DETAIL is copied. */
void ms_jobs_refuse(struct ms_node *node, struct ms_pending_job *pending, enum ms_outcome_code code,
                    const char *detail);
/* Changes "not run" in OUTCOME to "unknown" if the job may have run elsewhere. */
void ms_jobs_correct_ran(const struct ms_pending_job *pending, struct ms_call_outcome *outcome);

/* dispatch.c: dispatches jobs to leaders. */

/*
 * Dispatches PENDING to the best data centre, or to the one that it is bound to.
 * May finish and free PENDING, and other pending jobs as well.
 */
void ms_dispatch_job(struct ms_node *node, struct ms_pending_job *pending);
/* Whether PENDING has to be dispatched, for the first time or again. */
bool ms_dispatch_is_due(const struct ms_node *node, const struct ms_pending_job *pending);

/* relocate.c: relocates accepted jobs to another data centre. */

/*
 * Relocates job ID.  REASON is logged.  Returns false when the job is not an
 * accepted one, no other data centre can take it, or the queue of appends is full.
 */
bool ms_relocate_job(struct ms_node *node, const char *id, const char *reason);
/* Once a second, relocates jobs whose data centre has been unresponsive for too long. */
void ms_relocate_tick(struct ms_node *node);

/* route.c: choice of a data centre. */

/* Name of the best data centre for PENDING, or NULL; valid until the next host list. */
const char *ms_route_choose_dc(const struct ms_node *node, const struct ms_pending_job *pending);
/* Whether the listed servers of DC could hold the job if they were empty. */
bool ms_route_fits_empty_dc(const struct ms_node *node, const char *dc,
                            const struct ms_job_spec *spec);
/* Whether PENDING must not be dispatched to DC again. */
bool ms_route_is_excluded(const struct ms_pending_job *pending, const char *dc);

/* records.c: applies, appends and relays log records. */
void ms_records_apply_batch(struct ms_node *node, const struct ms_records_message *message);
/* The log now begins at OFFSET: older records have expired. */
void ms_records_log_truncated(struct ms_node *node, uint64_t offset);
void ms_records_apply_from_peer(struct ms_node *node, const Ms__Wire__Records *records);
/* Replaces the state by a packed copy from another host, if that is readable and newer. */
void ms_records_restore_state(struct ms_node *node, const uint8_t *bytes, size_t length);
/* Sends HOST, if it cannot reach the log, the records that it lacks. */
void ms_records_relay_to(struct ms_node *node, struct ms_host *host);
void ms_records_tick(struct ms_node *node);
void ms_records_free_relay_buffer(struct ms_node *node);
/*
 * Queues RECORD for appending under a new writer id, which is copied to WRITER
 * (MS_NAME_MAX bytes, may be NULL).  A failed append is retried for
 * RETRY_TIMEOUT_MS.  Returns false when the queue is full.
 */
bool ms_records_append(struct ms_node *node, Ms__Wire__LogRecord *record, char *writer,
                       int64_t retry_timeout_ms);

/* rules_change.c: changes of rules whose result operators await. */

/* Checks the rules that CALL carries and, unless only the check is wanted, applies them. */
void ms_rules_change_begin(struct ms_node *node, struct ms_call *call);
/* A rule change was read from the log. */
void ms_rules_change_logged(struct ms_node *node, const struct ms_applied_record *applied);
void ms_rules_change_tick(struct ms_node *node);
void ms_rules_change_free_all(struct ms_node *node);

/* control.c: requests of operators. */

/* A JSON object with the member "error"; freed with free(). */
char *ms_json_error(const char *error);
/* Formats ROOT and releases it.  The text is freed with free(). */
char *ms_json_dump(json_t *root);
void ms_control_handle_call(struct ms_node *node, struct ms_call *call);
void ms_control_answer_query(struct ms_node *node, const char *from, const Ms__Wire__Query *query);
void ms_control_on_query_reply(struct ms_node *node, const Ms__Wire__QueryReply *reply);
void ms_control_tick(struct ms_node *node);
void ms_control_update_gauges(struct ms_node *node);
void ms_control_free(struct ms_node *node);

#endif
