/*
 * simulator_private.h - data structures and functions shared by the files of the simulator.
 */
#ifndef MS_SIMULATOR_PRIVATE_H
#define MS_SIMULATOR_PRIVATE_H

#include "naive/simulator.h"

#define TEXT_MAX 512

/* A task on a simulated server; kept after its end until the leader acknowledges it. */
struct task {
    char id[MS_ID_MAX];
    uint32_t member_index;
    uint32_t attempt;
    struct ms_job_spec spec;
    enum ms_reported_state state;
    enum ms_task_result result;
    bool lease_withheld; /* the leader asked not to renew its lease */
    bool will_fail;      /* decided at its start */
    int64_t lease_expires_at;
    int64_t started_at;
    int64_t resumed_from_ms;     /* progress of the job when it started */
    uint64_t end_event_sequence; /* sequence number of the event that ends it */
};

struct server {
    char name[MS_NAME_MAX];
    char rack[MS_NAME_MAX];
    bool disconnected;    /* no message passes between it and the leader */
    bool known_to_leader; /* the leader counts it as up */
    bool fails_tasks;     /* every task that starts here fails */
    bool leaving;
    bool restarted_while_disconnected; /* the leader learns it on reconnection */
    uint64_t fencing_token;            /* orders with another number are dropped */
    GPtrArray *tasks;
    GHashTable *decided_starts; /* "id#member#attempt": admitted or refused starts */
};

struct dc {
    char name[MS_NAME_MAX];
    struct server *servers;
    struct ms_sched *core;       /* the decision core, or NULL */
    struct ref_sched *reference; /* the reference scheduler, or NULL */
    unsigned int leader_epoch;   /* epoch of the current leader, from 0 */
    bool out_of_service;
    int64_t out_of_service_since;
    int64_t next_tick_at; /* due time of the next EVENT_TICK; past: none is scheduled */
};

/* When a task ran that succeeded or was checkpointed, and on how many accelerators. */
struct useful_period {
    int64_t from;
    int64_t to;
    double accels;
};

enum event_kind {
    EVENT_SUBMIT = 0,
    EVENT_CANCEL,
    EVENT_RULE,
    EVENT_MESSAGE_ARRIVES, /* a message arrives at the scheduler of a data centre */
    EVENT_ORDER_ARRIVES,   /* an order arrives at a server */
    EVENT_TASK_END,
    EVENT_LEASE_CHECK,   /* the lease of a task may have expired */
    EVENT_LEASE_RENEWAL, /* the leader renews the leases of its servers */
    EVENT_DISCONNECT,
    EVENT_RECONNECT,
    EVENT_SERVER_TIMEOUT, /* a server has been disconnected for SIM_SERVER_TIMEOUT_MS */
    EVENT_SERVER_RESTART,
    EVENT_TASKS_FAIL,
    EVENT_TASKS_RECOVER,
    EVENT_LOG_OUTAGE,
    EVENT_LOG_RECOVERY,
    EVENT_LEADER_CHANGE,
    EVENT_SERVER_LEAVING,
    EVENT_TICK,
    EVENT_SAMPLE, /* measures the fragmentation */
};

struct event {
    int64_t due_at;
    uint64_t sequence; /* in order of scheduling; orders events of the same time */
    enum event_kind kind;
    unsigned int dc;
    unsigned int server;
    unsigned int leader_epoch;   /* MESSAGE_ARRIVES, TICK: dropped after a change of leader */
    uint64_t fencing_token;      /* ORDER_ARRIVES */
    uint64_t end_event_sequence; /* TASK_END: ignored unless it is that of the task */
    enum ms_task_op op;
    uint32_t member_index;
    uint32_t attempt;
    struct sim_job *job;
    struct ms_event *message; /* owned; MESSAGE_ARRIVES, RULE */
};

struct simulator {
    struct sim_options options;
    GRand *random;
    int64_t now;
    uint64_t handled_count;
    uint64_t next_sequence;
    GPtrArray *event_queue; /* struct event, a binary heap by due_at and sequence */
    struct dc dcs[SIM_DCS_MAX];
    GPtrArray *jobs;
    GHashTable *jobs_by_id;
    GPtrArray *rules;         /* struct ms_event; sent again to each new leader */
    bool log_outage;          /* requests for run tokens fail */
    char violation[TEXT_MAX]; /* the first one; empty: none */
    GArray *useful_periods;
    GArray *step_times_us; /* float, real time of each step */
    double fragmentation_sum;
    uint64_t fragmentation_sample_count;
};

/* Queues an event of KIND; the caller fills in the fields of that kind.  Owned by the queue. */
struct event *sim_schedule(struct simulator *sim, int64_t at, enum event_kind kind, unsigned int dc,
                           unsigned int server);
/* The job with this ID, or NULL. */
struct sim_job *sim_find_job(const struct simulator *sim, const char *id);
/* A copy to be freed with g_free(). */
struct ms_event *sim_copy_message(const struct ms_event *message);

/* Records that an invariant is violated; only the first violation is kept. */
void sim_report_violation(struct simulator *sim, const char *format, ...) G_GNUC_PRINTF(2, 3);

/* Sends a server's answer to the scheduler; it may be lost, duplicated or delayed. */
void sim_send_answer(struct simulator *sim, unsigned int dc, const struct server *server,
                     enum ms_event_kind kind, const struct task *task);

/* Sends a message to the scheduler of DC; it arrives after DELAY_MS, never lost. */
void sim_send_to_scheduler(struct simulator *sim, unsigned int dc, const struct ms_event *message,
                           int64_t delay_ms);
/* A random delay of a message, and true with the given PROBABILITY. */
int64_t sim_random_delay(struct simulator *sim);
bool sim_chance(struct simulator *sim, double probability);

/* Dispatches JOB to the scheduler of DC.  MAY_HAVE_RUN: it may have started before. */
void sim_dispatch(struct simulator *sim, struct sim_job *job, unsigned int dc, bool may_have_run);
/* Executes ACTION of the scheduler of DC. */
void sim_apply_action(struct simulator *sim, unsigned int dc, const struct ms_action *action);

/* Carries out the order in EVENT (EVENT_ORDER_ARRIVES) on its server. */
void sim_carry_out_order(struct simulator *sim, const struct event *event);

/* The task of SERVER, or NULL. */
struct task *sim_find_task(const struct server *server, const char *id, uint32_t member_index,
                           uint32_t attempt);
/* Ends a task with RESULT (NOT_STARTED when it was only prepared) and reports it. */
void sim_end_task(struct simulator *sim, unsigned int dc, struct server *server, struct task *task,
                  enum ms_task_result result);
/* Updates the record of the job (struct sim_job) when a running task has ended. */
void sim_record_task_end(struct simulator *sim, const struct task *task);

#endif
