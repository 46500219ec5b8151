/*
 * private.h - the state of the decision thread, private to src/node.
 *
 * All of it is touched by that thread only.  Times are milliseconds of the
 * monotonic clock.
 */
#ifndef MS_NODE_PRIVATE_H
#define MS_NODE_PRIVATE_H

#include <pthread.h>
#include <stdatomic.h>

#include <jansson.h>

#include "backend/backend.h"
#include "caller/call.h"
#include "caller/caller.h"
#include "logstate/logstate.h"
#include "membership/claim.h"
#include "membership/detector.h"
#include "node/message.h"
#include "node/node.h"
#include "obs/span.h"
#include "peer/peer.h"
#include "platform/platform.h"

#define MS_TRIED_MAX 8 /* data centres that one job was offered to */

/* Load of a data centre, as its placing host last told. */
struct ms_summary {
    uint32_t servers;
    uint32_t accels;
    uint32_t accels_free;
    uint32_t slots_free;
    uint32_t rack_free_max;
    uint32_t waiting;
    uint32_t running;
    uint32_t quarantined;
    uint32_t guarantees_unmet;
};

/* Another host of the system. */
struct ms_host {
    char name[MS_NAME_MAX];
    char dc[MS_NAME_MAX];
    char region[MS_NAME_MAX];
    char address[MS_ADDRESS_MAX];
    bool configured; /* the address is from the settings */
    bool connected;
    bool heard; /* a heartbeat has arrived on the present connection */
    bool draining;
    bool claims;
    uint64_t epoch;
    uint64_t applied; /* next log offset it applies */
    bool log_reachable;
    uint64_t incarnation;
    uint64_t relayed; /* offset up to which records were handed on to it */
    int64_t relayed_at;
    struct ms_summary summary;
    struct ms_detector detector;
};

/* A job that callers of this entry host wait for. */
struct ms_pending {
    char id[MS_ID_MAX];
    struct ms_job_spec spec; /* payload points into `payload` */
    GBytes *payload;
    GPtrArray *calls;                      /* ms_call, not answered yet */
    bool has_spec;                         /* false: only waits for an outcome */
    bool accepting;                        /* waits until its acceptance is in the log */
    bool accepted;                         /* its acceptance is in the log */
    char accept_writer[MS_NAME_MAX];       /* writer id of that record */
    char dc[MS_NAME_MAX];                  /* data centre that it was sent to, or "" */
    char host[MS_NAME_MAX];                /* placing host there, or "" */
    bool received;                         /* that host confirmed */
    bool uncertain;                        /* a host that had received it was lost */
    char tried[MS_TRIED_MAX][MS_NAME_MAX]; /* data centres that refused it */
    uint32_t tried_count;
    int64_t created_at;
    int64_t sent_at;
    int64_t unroutable_since; /* 0 while a placing host is known */
    uint32_t sends;
    struct ms_call_outcome last_refusal; /* of the last data centre tried */
    struct ms_span span;
};

/* A change of rules that an operator waits for. */
struct ms_change {
    struct ms_call *call;
    GPtrArray *writers;   /* writer ids of its records */
    GPtrArray *lost;      /* "key: reason" of changes that came too late */
    uint32_t outstanding; /* records not yet seen in the log */
    uint64_t version;     /* highest version among its records */
    int64_t give_up_at;
};

/* What this host does as the placing host of its data centre. */
struct ms_hold {
    bool active;
    bool stepping; /* the core's actions are being carried out */
    uint64_t epoch;
    uint64_t generation; /* counts claims of this process */
    int64_t since;
    bool settled; /* starts are allowed */
    struct ms_sched *sched;
    GHashTable *followers; /* job id -> GPtrArray of host names */
    GHashTable *traces;    /* job id -> trace header of its submission */
    GHashTable *held;      /* names of servers that are held */
};

struct ms_node {
    const struct ms_settings *settings;
    struct ms_counters *counters;
    struct ms_ring *ring;
    struct ms_platform *platform;
    struct ms_backend *backend;
    struct ms_peers *peers;
    struct ms_caller *caller;
    struct ms_spans *spans;
    FILE *record; /* trace of the decision core, or NULL */
    pthread_t thread;
    atomic_bool done;

    int64_t now;
    int64_t started_at;
    uint64_t incarnation;
    uint64_t writer_count; /* for writer ids */
    bool log_reachable;
    bool log_was_reached;
    bool draining;
    int64_t drain_until;

    struct ms_logstate *log;
    GQueue *tail; /* ms_tail_record: applied records, for relays */
    int64_t snapshot_seen_at;
    uint64_t snapshot_seen; /* offset */
    int64_t snapshot_sent_at;

    GHashTable *hosts;   /* name -> ms_host */
    GHashTable *servers; /* name -> ms_listed, of every data centre */
    GHashTable *regions; /* data centre -> region, owned strings */
    int64_t gauges_at;
    int64_t heartbeat_at;
    uint64_t heartbeat_count;

    bool epoch_asked;
    int64_t epoch_asked_at;
    char epoch_writer[MS_NAME_MAX];
    struct ms_hold hold;

    GHashTable *pending;  /* id -> ms_pending */
    bool routes_due;      /* some pending job has to be offered anew */
    GHashTable *dc_heard; /* data centre -> time it was last heard, int64_t */
    int64_t rehome_at;
    GQueue *changes;     /* ms_change */
    GHashTable *queries; /* request number -> ms_call */
    uint64_t query_count;
    GHashTable *token_writers; /* writer id -> ms_token_wait */
    double resend_budget;      /* resends that may be made now */
    int64_t resend_refilled_at;
};

/* A run token that was asked for and is not yet in the log. */
struct ms_token_wait {
    char id[MS_ID_MAX];
    uint32_t attempt;
    int64_t give_up_at;
};

/* One applied record, kept to hand it on to hosts without the platform. */
struct ms_tail_record {
    uint64_t offset;
    GBytes *bytes;
};

/* node.c */
void ms_node_answer(struct ms_node *node, struct ms_call *call, unsigned int status, char *json);

/* members.c: hosts, heartbeats, claims. */
void ms_members_init(struct ms_node *node);
void ms_members_listed(struct ms_node *node, const GArray *listed);
void ms_members_peer_up(struct ms_node *node, const struct ms_peer_message *peer);
void ms_members_peer_down(struct ms_node *node, const char *name);
void ms_members_heartbeat(struct ms_node *node, const char *name,
                          const Ms__Wire__Heartbeat *heartbeat);
void ms_members_tick(struct ms_node *node);
void ms_members_send_heartbeats(struct ms_node *node);
bool ms_host_alive(const struct ms_node *node, const struct ms_host *host);
const char *ms_members_holder(const struct ms_node *node, const char *dc);
struct ms_host *ms_members_find(const struct ms_node *node, const char *name);
const char *ms_members_region(const struct ms_node *node, const char *dc);
bool ms_members_summary(const struct ms_node *node, const char *dc, struct ms_summary *summary);
bool ms_members_first_alive(const struct ms_node *node, const char *key);
/* Whether some host that places work, and is heard, can reach the log. */
bool ms_members_log_near(const struct ms_node *node);
/* Whether the host that places the work of DC can reach the log. */
bool ms_members_dc_has_log(const struct ms_node *node, const char *dc);
/* Whether a host that is heard has applied more of the log than this one. */
bool ms_members_behind(const struct ms_node *node);
bool ms_members_dc_heard(const struct ms_node *node, const char *dc);

/* hold.c: placing the work of this data centre. */
void ms_hold_begin(struct ms_node *node, uint64_t epoch);
void ms_hold_confirm(struct ms_node *node, uint64_t epoch);
void ms_hold_end(struct ms_node *node, const char *reason);
void ms_hold_feed(struct ms_node *node, const struct ms_event *event);
void ms_hold_backend(struct ms_node *node, const struct ms_backend_message *message);
void ms_hold_submit(struct ms_node *node, const struct ms_job_spec *spec, const char *follower,
                    bool may_have_run, const char *trace_parent);
void ms_hold_cancel(struct ms_node *node, const char *id, const char *follower);
void ms_hold_follow(struct ms_node *node, const char *id, const char *follower);
void ms_hold_tick(struct ms_node *node);
void ms_hold_rule(struct ms_node *node, const struct ms_rule *rule);
void ms_hold_server_listed(struct ms_node *node, const struct ms_listed *listed);
void ms_hold_server_unlisted(struct ms_node *node, const char *name);
void ms_hold_accepted(struct ms_node *node, const char *id);
void ms_hold_token(struct ms_node *node, const char *writer, enum ms_token_answer answer);
void ms_hold_summary(const struct ms_node *node, struct ms_summary *summary);
int64_t ms_hold_next_tick(const struct ms_node *node);

/* jobs.c: jobs that callers of this host wait for. */
void ms_jobs_submit(struct ms_node *node, struct ms_call *call);
void ms_jobs_query(struct ms_node *node, struct ms_call *call);
void ms_jobs_cancel(struct ms_node *node, struct ms_call *call);
void ms_jobs_outcome(struct ms_node *node, const Ms__Wire__Outcome *outcome);
void ms_jobs_received(struct ms_node *node, const char *host, const char *id);
void ms_jobs_accepted(struct ms_node *node, const char *writer, const char *id, bool taken);
void ms_jobs_done(struct ms_node *node, const Ms__Wire__Outcome *outcome);
void ms_jobs_host_lost(struct ms_node *node, const char *host);
void ms_jobs_tick(struct ms_node *node);
void ms_jobs_route_due(struct ms_node *node);
void ms_jobs_refuse_all(struct ms_node *node);
void ms_jobs_free(struct ms_node *node);
unsigned int ms_outcome_status(const struct ms_call_outcome *outcome);

void ms_jobs_finish(struct ms_node *node, struct ms_pending *pending,
                    const struct ms_call_outcome *outcome);
void ms_jobs_refuse(struct ms_node *node, struct ms_pending *pending, enum ms_outcome_code code,
                    const char *detail);
void ms_jobs_make_true(const struct ms_pending *pending, struct ms_call_outcome *outcome);

/* offer.c: offers jobs to placing hosts; an offer may end the job. */
void ms_offer(struct ms_node *node, struct ms_pending *pending);
bool ms_offer_due(const struct ms_node *node, const struct ms_pending *pending);

/* rehome.c: accepted jobs that move to another data centre. */
bool ms_rehome_move(struct ms_node *node, const char *id, const char *reason);
void ms_rehome_tick(struct ms_node *node);

/* route.c: choice of a data centre. */
const char *ms_route_choose(const struct ms_node *node, const struct ms_pending *pending);
bool ms_route_could_fit(const struct ms_node *node, const char *dc, const struct ms_job_spec *spec);
bool ms_route_tried(const struct ms_pending *pending, const char *dc);

/* records.c: the log. */
void ms_records_apply(struct ms_node *node, const struct ms_records_message *message);
void ms_records_gap(struct ms_node *node, uint64_t offset);
void ms_records_from_peer(struct ms_node *node, const Ms__Wire__Records *records);
void ms_records_state_copy(struct ms_node *node, const uint8_t *bytes, size_t length);
void ms_records_relay(struct ms_node *node, struct ms_host *host);
void ms_records_tick(struct ms_node *node);
void ms_records_free_tail(struct ms_node *node);
/* Appends RECORD, whose writer is set here and copied to WRITER (may be NULL). */
bool ms_records_append(struct ms_node *node, Ms__Wire__LogRecord *record, char *writer,
                       int64_t give_up_ms);

/* change.c: changes of rules that operators wait for. */
void ms_change_begin(struct ms_node *node, struct ms_call *call);
void ms_change_rule_seen(struct ms_node *node, const struct ms_applied *applied);
void ms_change_tick(struct ms_node *node);
void ms_change_free_all(struct ms_node *node);

/* control.c: what operators ask. */
char *ms_error_json(const char *error);
/* The text of ROOT, which is released; freed with free(). */
char *ms_take_json(json_t *root);
void ms_control_call(struct ms_node *node, struct ms_call *call);
void ms_control_query(struct ms_node *node, const char *from, const Ms__Wire__Query *query);
void ms_control_query_reply(struct ms_node *node, const Ms__Wire__QueryReply *reply);
void ms_control_tick(struct ms_node *node);
void ms_control_gauges(struct ms_node *node);
void ms_control_free(struct ms_node *node);

#endif
