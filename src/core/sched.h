/*
 * sched.h - state and internal functions of the scheduler, private to src/core.
 *
 * Ownership: struct ms_sched owns servers, jobs, accounts, guarantees and kept
 * outcomes; a job owns its tasks; a guarantee owns its cells.  Membership in a
 * list (struct ms_list_link) does not imply ownership.
 *
 * Times are milliseconds on the clock passed to ms_sched_step(); fields ending
 * in _ms are durations, except the time ms_job_spec.deadline_ms.
 *
 * A task is "charged" to a server while it counts against the slots and
 * accelerators of the server and against the limits of its client account.
 */
#ifndef MS_SCHED_H
#define MS_SCHED_H

#include <glib.h>

#include "mustardspread/mustardspread.h"
#include "list.h"

/* Time for a server to confirm a stop; after it, STOP is sent again. */
#define MS_STOP_CONFIRM_MS 1000

/* Failures remembered: distinct servers per job, and distinct jobs per server. */
#define MS_FAILURE_HISTORY_MAX 8

/* Most gangs that have servers reserved at the same time, see backfill.c. */
#define MS_RESERVATIONS_MAX 8

/* How often one job may be preempted for gangs that have a reservation. */
#define MS_BACKFILL_PREEMPTIONS_MAX 3

/* Most waiting jobs of one account that are tried in vain before the next account. */
#define MS_ACCOUNT_SCAN_MAX 64

enum ms_server_state {
    MS_SERVER_UP = 0,      /* accepts new tasks */
    MS_SERVER_SYNCING,     /* follows this leader, still reports the tasks that it has */
    MS_SERVER_LEAVING,     /* finishes its tasks, accepts no new ones */
    MS_SERVER_QUARANTINED, /* too many distinct jobs failed; no new tasks until probe_at */
    MS_SERVER_PROBING,     /* accepts one job: its success ends the quarantine,
                              its failure starts a longer one */
    MS_SERVER_LOST,        /* unresponsive or follows another leader; its tasks end when
                              their leases expire */
};

struct ms_server {
    char name[MS_NAME_MAX];
    char rack[MS_NAME_MAX];
    enum ms_server_state state;
    struct ms_list_link link;       /* in sched->servers, in name order */
    struct ms_list_link tasks;      /* tasks charged to this server, by ms_task.server_link */
    uint32_t slots;                 /* tasks that it can run at once */
    uint32_t accels;                /* accelerators that it has */
    int32_t slots_free;             /* slots minus charged tasks; negative while preempted
                                       tasks and those that replace them are both charged */
    int32_t accels_free;            /* likewise for accelerators */
    uint32_t cell_slots;            /* cells bound to this server, occupied or not */
    uint32_t cell_accels;           /* accelerators of those cells */
    uint32_t nonpreemptible_slots;  /* non-preemptible tasks outside cells */
    uint32_t nonpreemptible_accels; /* accelerators of those tasks.  Invariant while the
                                       server is UP: cell_slots + nonpreemptible_slots <= slots,
                                       and the same for accelerators */
    uint32_t reports_pending;       /* SYNCING: TASK_REPORTED events not yet received */
    int64_t leases_end_at;          /* LOST: when the leases of its tasks have expired */
    int64_t probe_at;               /* QUARANTINED, PROBING: when PROBING begins or began */
    int64_t quarantine_length_ms;   /* length of the last quarantine, doubled by the next;
                                       0: none since a task last succeeded */
    uint32_t failed_job_count;      /* entries of failed_jobs */
    /* Distinct jobs that failed here since the last success or quarantine. */
    char failed_jobs[MS_FAILURE_HISTORY_MAX][MS_ID_MAX];
    struct ms_job *reserved_for; /* gang that has reserved this server, or NULL */
    uint32_t rack_id;            /* index into ms_sched.rack_capacities */
    int32_t sort_key;            /* scratch value of one placement: how many tasks or
                                    cells fit, or the wait in ms (backfill.c) */
};

/*
 * A task is charged to a server from its placement until the server reports its
 * end or, if the server is lost, until its lease has expired.
 */
enum ms_task_state {
    MS_TASK_UNPLACED = 0, /* not charged to any server */
    MS_TASK_CHARGED,      /* charged; nothing sent to the server yet */
    MS_TASK_PREPARING,    /* PREPARE sent */
    MS_TASK_PREPARED,     /* the server confirmed that it allocated the resources */
    MS_TASK_STARTING,     /* START or GO sent */
    MS_TASK_RUNNING,      /* the server confirmed the start */
    MS_TASK_STOPPING,     /* STOP or CHECKPOINT sent */
    MS_TASK_ORPHANED,     /* its server is lost; charged until the lease expires */
    MS_TASK_FINISHED,     /* ended; no longer charged */
};

struct ms_task {
    struct ms_job *job;
    struct ms_server *server;        /* server that it is charged to, or NULL */
    struct ms_list_link server_link; /* in server->tasks */
    enum ms_task_state state;
    struct ms_cell *cell;       /* guarantee cell that it occupies, or NULL */
    int64_t stop_resend_at;     /* STOPPING: when to send STOP (again) */
    bool start_sent;            /* START or GO was sent in this attempt */
    bool lease_withheld;        /* its server was told not to renew its lease */
    bool reported;              /* its server has reported it since it last came up */
    enum ms_task_result result; /* FINISHED: how it ended */
};

enum ms_job_state {
    MS_JOB_WAITING = 0,    /* in its account's queue */
    MS_JOB_RECLAIMING,     /* placed; waits until the preempted tasks have ended */
    MS_JOB_AWAITING_TOKEN, /* placed; waits for the answer to its run token request */
    MS_JOB_PREPARING,      /* gang: PREPARE sent, waits until all tasks are prepared */
    MS_JOB_STARTING,       /* START or GO sent, waits until all starts are confirmed */
    MS_JOB_RUNNING,        /* all tasks run */
    MS_JOB_ABORTING,       /* tasks are being stopped; `abort_action` says what follows */
    MS_JOB_ADOPTING,       /* may have been started by an earlier leader; waits until
                              servers have reported all its tasks */
};

/* What to do with an aborting job once none of its tasks is charged. */
enum ms_abort_action {
    MS_ABORT_RETRY = 0, /* back to the queue, with a backoff */
    MS_ABORT_FINISH,    /* finish it with outcome_code and outcome_detail */
    MS_ABORT_DISCARD,   /* discard it without an outcome: not all its tasks were
                           reported, and it was not submitted here */
};

struct ms_job {
    char id[MS_ID_MAX];
    struct ms_job_spec spec; /* the job owns the payload */
    struct ms_account *account;
    enum ms_job_state state;
    struct ms_list_link link;           /* in sched->jobs */
    struct ms_list_link queue_link;     /* WAITING: in account->queue */
    struct ms_task *tasks;              /* spec.tasks items */
    uint64_t sequence;                  /* order of arrival, lowest first */
    uint32_t attempt;                   /* number of the latest placement, from 1; 0: none */
    uint32_t failed_attempts;           /* failed attempts, less those on servers that were
                                           quarantined later */
    uint32_t failed_attempts_total;     /* all failed attempts */
    uint32_t lost_attempts;             /* attempts that ended through no fault of the job:
                                           refused, not confirmed, contact or token lost */
    bool submitted;                     /* false: so far only reported by servers */
    bool has_token;                     /* its run token was granted */
    uint32_t token_failures;            /* token requests that failed: log unreachable */
    bool may_have_run;                  /* START or GO may have been sent in some attempt */
    bool may_have_run_earlier;          /* may_have_run as of the start of this attempt */
    bool has_checkpoint;                /* a checkpoint exists */
    bool in_cells;                      /* its tasks occupy cells of a guarantee */
    bool has_reservation;               /* has servers reserved, see backfill.c */
    int64_t reserved_start_at;          /* when it is expected to start on them */
    uint32_t backfill_preemptions;      /* times preempted for a gang with a reservation */
    int64_t submitted_at;               /* when it became known to this scheduler */
    int64_t retry_at;                   /* WAITING: earliest start after a backoff */
    int64_t state_deadline;             /* deadline of the present state, or INT64_MAX */
    int64_t placed_at;                  /* placement of the last attempt made here, 0: none */
    int64_t started_at;                 /* placement, then confirmed start, of this attempt */
    enum ms_abort_action abort_action;  /* ABORTING: what follows */
    enum ms_outcome_code outcome_code;  /* ABORTING: the outcome, for MS_ABORT_FINISH */
    char outcome_detail[MS_DETAIL_MAX]; /* ABORTING: why, in English */
    char wait_reason[MS_DETAIL_MAX];    /* WAITING: why it has not started, or "" */
    uint32_t failed_server_count;       /* entries of failed_servers */
    char failed_servers[MS_FAILURE_HISTORY_MAX][MS_NAME_MAX]; /* avoided by later attempts */
    uint8_t *output;                 /* output of task 0 if it succeeded, owned, or NULL */
    size_t output_len;               /* bytes */
    char output_server[MS_NAME_MAX]; /* server on which task 0 succeeded, or "" */
};

struct ms_account {
    char name[MS_NAME_MAX];
    struct ms_list_link link;  /* in sched->accounts, in name order */
    struct ms_list_link queue; /* waiting jobs by class, then arrival */
    bool has_rule;             /* an account rule exists for it */
    uint32_t share;            /* weight of the fair order, >= 1 */
    uint32_t limit_accels;     /* most accelerators charged at once, 0: no limit */
    uint32_t limit_running;    /* most tasks charged at once, 0: no limit */
    uint32_t limit_queued;     /* most waiting jobs, 0: ms_sched_limits.queue_max */
    uint32_t waiting_count;    /* number of jobs in queue */
    uint32_t charged_accels;   /* accelerators of charged tasks */
    uint32_t charged_tasks;    /* number of charged tasks */
    double run_time_ratio;     /* moving mean of actual over declared run time */
};

/*
 * A cell is the capacity for one task of a guarantee, bound to one server.
 * Non-preemptible tasks of other accounts never use the resources of a cell, so
 * its owner can always get them back by preemption.
 */
struct ms_cell {
    struct ms_guarantee *guarantee;
    struct ms_server *server; /* server that it is bound to, NULL: unbound */
    struct ms_task *task;     /* task of the guarantee's account in it, or NULL */
};

/* Capacity that a client account can claim at any time: rule.tasks cells. */
struct ms_guarantee {
    struct ms_rule rule;
    struct ms_list_link link; /* in sched->guarantees, most demanding shape first */
    struct ms_cell *cells;    /* rule.tasks items */
    bool satisfied;           /* all cells are bound, with the adjacency of the rule */
};

/* The outcome of an ended job, kept to answer repeated submissions of its id. */
struct ms_kept_outcome {
    struct ms_list_link link; /* in sched->kept_outcomes, oldest first */
    char id[MS_ID_MAX];
    enum ms_outcome_code code;
    enum ms_ran ran;
    char detail[MS_DETAIL_MAX];
    char server[MS_NAME_MAX]; /* server on which task 0 succeeded, or "" */
    struct ms_job_spec spec;  /* without payload */
    uint8_t *output;          /* owned, or NULL */
    size_t output_len;        /* bytes */
    int64_t queued_ms;        /* from submission to the last start */
    int64_t ran_ms;           /* from the last start to the end */
};

struct ms_sched {
    char dc[MS_NAME_MAX];
    struct ms_sched_limits limits;
    struct ms_allocator allocator;
    int64_t now;            /* time of the current or last step; never decreases */
    bool dc_out;            /* a rule takes the data centre out of service */
    bool paused;            /* this leader may not start work: binds no cells and
                               runs no scheduling pass until resumed */
    bool queue_dirty;       /* a scheduling pass may be able to start a job */
    bool cells_dirty;       /* binding may be able to bind another cell */
    int64_t next_rebind_at; /* earliest time of the next full rebinding */
    int64_t next_timer;     /* no timer is due before this time */
    uint64_t next_sequence; /* ms_job.sequence of the next job */
    struct ms_list_link servers;
    struct ms_list_link jobs; /* jobs without a final outcome */
    struct ms_list_link accounts;
    struct ms_list_link guarantees;
    struct ms_list_link kept_outcomes; /* kept outcomes, oldest first */
    uint32_t kept_outcome_count;       /* length of kept_outcomes */
    GHashTable *server_index;          /* name -> ms_server */
    GHashTable *job_index;             /* id -> ms_job */
    GHashTable *account_index;         /* name -> ms_account */
    GHashTable *kept_outcome_index;    /* id -> ms_kept_outcome */
    GHashTable *rack_index;            /* name -> rack_id + 1, as NULL means absent */
    GArray *rack_capacities;           /* struct ms_rack_capacity by rack_id; scratch space of
                                          one placement */
    GPtrArray *candidate_servers;      /* struct ms_server; scratch space of one placement */
    uint32_t reservation_count;        /* gangs that have servers reserved */
    struct ms_action *actions;         /* actions of the last step */
    size_t action_count;
    size_t action_capacity;
    GPtrArray *retired_jobs;     /* ended jobs, freed at the next step because actions
                                    of this step may point into them */
    GPtrArray *retired_outcomes; /* likewise for outcomes */
};

/* sched.c: the step function, memory, actions and timers. */
void *ms_sched_alloc(struct ms_sched *sched, size_t size);
void ms_sched_release(struct ms_sched *sched, void *memory);
struct ms_action *ms_emit_action(struct ms_sched *sched, enum ms_action_kind kind, const char *id);
void ms_set_timer(struct ms_sched *sched, int64_t at);
void ms_emit_task_action(struct ms_sched *sched, const struct ms_task *task, enum ms_task_op op);
struct ms_server *ms_server_find(const struct ms_sched *sched, const char *name);
struct ms_job *ms_job_find(const struct ms_sched *sched, const char *id);

/* account.c: queues, limits and expected run times of client accounts. */
struct ms_account *ms_account_get_or_create(struct ms_sched *sched, const char *name);
void ms_account_enqueue(struct ms_sched *sched, struct ms_job *job);
void ms_account_dequeue(struct ms_job *job);
bool ms_account_within_limits(const struct ms_account *account, const struct ms_job *job);
void ms_account_record_run_time(struct ms_account *account, const struct ms_job *job,
                                int64_t ran_ms);
int64_t ms_job_expected_run_ms(const struct ms_job *job);

/* place.c: choice of servers, preemption and the charging of tasks. */
struct ms_rack_capacity {
    uint32_t fitting_tasks; /* tasks, or cells, that fit into the rack */
    uint32_t free_accels;   /* free accelerators of the rack */
};

/* Which tasks may be preempted for a job; a task in a cell never is. */
enum ms_preempt_scope {
    MS_PREEMPT_NONE = 0,
    MS_PREEMPT_ANY,            /* tasks of idempotent or checkpointable jobs */
    MS_PREEMPT_NOT_URGENT,     /* of those, tasks of jobs neither urgent nor RECLAIMING */
    MS_PREEMPT_CHECKPOINTABLE, /* running tasks of checkpointable jobs that are not urgent
                                  and were preempted less than MS_BACKFILL_PREEMPTIONS_MAX times */
};

void ms_rack_capacities_clear(const struct ms_sched *sched);
uint32_t ms_rack_id(struct ms_sched *sched, const char *name);
bool ms_job_preemptible(const struct ms_job *job);
bool ms_server_accepts_job(const struct ms_server *server, const struct ms_job *job);
bool ms_place_job(struct ms_sched *sched, struct ms_job *job);
void ms_preempt_on_server(struct ms_sched *sched, struct ms_server *server,
                          const struct ms_job *claimant, enum ms_preempt_scope scope);
bool ms_place_preempting(struct ms_sched *sched, struct ms_job *job, enum ms_preempt_scope scope);
void ms_task_charge(struct ms_sched *sched, struct ms_task *task, struct ms_server *server,
                    struct ms_cell *cell);
void ms_task_discharge(struct ms_sched *sched, struct ms_task *task);
bool ms_job_fits_empty_dc(const struct ms_sched *sched, const struct ms_job *job, bool avoiding);
uint32_t ms_place_count_fitting(struct ms_sched *sched, const struct ms_job *job);

/* backfill.c: servers reserved for gangs that have waited long. */
bool ms_backfill_try_reserve(struct ms_sched *sched, struct ms_job *job);
void ms_backfill_server_unusable(struct ms_sched *sched, const struct ms_server *server);
void ms_backfill_release_job(struct ms_sched *sched, struct ms_job *job);
bool ms_backfill_allows_job(const struct ms_sched *sched, const struct ms_server *server,
                            const struct ms_job *job);

/* guarantee.c: binding of guarantee cells to servers, placement in cells. */
struct ms_guarantee *ms_guarantee_find(const struct ms_sched *sched, const char *name);
void ms_guarantee_apply_rule(struct ms_sched *sched, const struct ms_rule *rule);
void ms_guarantee_bind_all(struct ms_sched *sched);
void ms_guarantee_unbind_server(struct ms_sched *sched, struct ms_server *server);
bool ms_guarantee_place_job(struct ms_sched *sched, struct ms_job *job);
bool ms_guarantee_fits_job(const struct ms_sched *sched, const struct ms_job *job);
void ms_guarantee_free(struct ms_sched *sched, struct ms_guarantee *guarantee);
void ms_cell_attach_task(struct ms_cell *cell, struct ms_task *task);
void ms_cell_detach_task(struct ms_cell *cell);

/* event.c: the event of a step. */
enum ms_result ms_sched_apply_event(struct ms_sched *sched, const struct ms_event *event);

/* gang.c: the states of a job from its placement until it runs; its timers. */
void ms_gang_start_job(struct ms_sched *sched, struct ms_job *job);
void ms_gang_token_answered(struct ms_sched *sched, struct ms_job *job,
                            enum ms_token_answer answer);
void ms_gang_task_prepared(struct ms_sched *sched, struct ms_task *task);
void ms_gang_renew_leases(struct ms_sched *sched, struct ms_job *job);
void ms_gang_task_started(struct ms_sched *sched, struct ms_task *task);
void ms_gang_run_timers(struct ms_sched *sched, struct ms_job *job);
int64_t ms_gang_next_timer(const struct ms_job *job, int64_t now);
void ms_gang_check_reclaiming(struct ms_sched *sched, struct ms_server *server);
bool ms_gang_all_tasks_in(const struct ms_job *job, enum ms_task_state state);
void ms_gang_withhold_lease(struct ms_sched *sched, struct ms_task *task);
void ms_gang_withhold_all_leases(struct ms_sched *sched, struct ms_job *job);

/* gang_end.c: stops, refusals, failures, lost servers and retries. */
void ms_gang_task_refused(struct ms_sched *sched, struct ms_task *task);
void ms_gang_task_ended(struct ms_sched *sched, struct ms_task *task,
                        const struct ms_task_event *event);
void ms_gang_server_lost(struct ms_sched *sched, struct ms_server *server);
void ms_gang_abort(struct ms_sched *sched, struct ms_job *job, enum ms_abort_action abort_action,
                   enum ms_outcome_code code, const char *detail);
void ms_gang_stop_task(struct ms_sched *sched, struct ms_task *task);
void ms_gang_resend_stop(struct ms_sched *sched, struct ms_task *task);
bool ms_gang_may_retry(const struct ms_job *job);

/* adopt.c: tasks that a server reports to a new leader. */
void ms_adopt_reported_task(struct ms_sched *sched, struct ms_server *server,
                            const struct ms_task_event *event);
void ms_adopt_finish_sync(struct ms_sched *sched, struct ms_server *server);
void ms_adopt_decide(struct ms_sched *sched, struct ms_job *job);

/* health.c: quarantine of failing servers, servers that a job avoids. */
void ms_health_record_failure(struct ms_sched *sched, struct ms_server *server, struct ms_job *job);
void ms_health_relax_avoidance(const struct ms_sched *sched, struct ms_job *job);
void ms_health_record_success(struct ms_sched *sched, struct ms_server *server);
bool ms_health_may_probe(const struct ms_server *server, const struct ms_job *job);
void ms_health_run_timers(struct ms_sched *sched, struct ms_server *server);
bool ms_health_job_avoids(const struct ms_job *job, const struct ms_server *server);

/* job.c: submission, cancellation and outcomes. */
struct ms_job *ms_job_new(struct ms_sched *sched, const struct ms_job_spec *spec, const char *id);
bool ms_job_set_payload(struct ms_sched *sched, struct ms_job *job, const struct ms_job_spec *spec);
void ms_job_free(struct ms_sched *sched, struct ms_job *job);
void ms_job_enqueue(struct ms_sched *sched, struct ms_job *job);
void ms_job_finish(struct ms_sched *sched, struct ms_job *job, enum ms_outcome_code code,
                   const char *detail);
void ms_job_discard(struct ms_sched *sched, struct ms_job *job);
void ms_job_refuse_unplaceable(struct ms_sched *sched);
void ms_job_submit(struct ms_sched *sched, const struct ms_submit_event *submit);
void ms_job_resend_outcome(struct ms_sched *sched, const char *id);
void ms_job_cancel(struct ms_sched *sched, struct ms_job *job);
void ms_kept_outcome_free(struct ms_sched *sched, struct ms_kept_outcome *outcome);

/* queue.c: the scheduling pass over the waiting jobs. */
void ms_queue_run_pass(struct ms_sched *sched);

#endif
