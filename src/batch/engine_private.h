/*
 * engine_private.h - internal state of the engine, shared by src/batch/engine*.c.
 *
 * Times named *_at, *_since, *_until and not_before are on the engine's clock.
 */
#ifndef MS_BATCH_ENGINE_PRIVATE_H
#define MS_BATCH_ENGINE_PRIVATE_H

#include "batch/account.h"
#include "batch/account_order.h"
#include "batch/engine.h"
#include "batch/order_backlog.h"
#include "batch/run_speed.h"
#include "core/list.h"

/* Fencing tokens of a server per epoch; see ms_batch_server_raise_fence(). */
#define MS_FENCES_PER_EPOCH 1000000u
#define MS_ACCEL_CORE_EQUIVALENT 8 /* one accelerator counts as this many cores of work */
/* A task avoids this many servers: the latest ones where it failed or was refused. */
#define MS_AVOIDED_SERVERS_MAX 6

/* Lower priorities count as the last of these where waits are observed. */
#define MS_PRIORITIES_OBSERVED 8u

/* So many runs that were declared lost are kept for each task: a late failure of these counts. */
#define MS_LOST_RUNS_MAX 4

/* State of a task.  From RECORDING to STOPPING it occupies resources of a server. */
enum ms_batch_task_state {
    MS_BATCH_TASK_WAITING = 0, /* to be placed once its step is ready */
    MS_BATCH_TASK_RECORDING,   /* assigned to a server; the run is not yet stored in the log */
    MS_BATCH_TASK_STARTING,    /* stored; the start is ordered until the server answers */
    MS_BATCH_TASK_RUNNING,     /* the server has confirmed the start */
    MS_BATCH_TASK_STOPPING,    /* the stop is ordered until the server confirms it; not ended yet */
    MS_BATCH_TASK_DONE,
};

/* One task of a step.  Each execution of it is a run, numbered from 1. */
struct ms_batch_task {
    struct ms_batch_step *step;
    uint32_t index; /* within the step */
    enum ms_batch_task_state state;
    uint32_t run;        /* number of the latest run, 0: none */
    uint32_t failures;   /* failed runs */
    uint32_t failed_run; /* the latest run that `failures` includes, 0: none */
    /* Runs that were declared lost and have not failed since, latest first; 0: none. */
    uint32_t lost_runs[MS_LOST_RUNS_MAX];
    char checkpoint[MS_CHECKPOINT_MAX];  /* latest checkpoint, or "" */
    struct ms_batch_server *server;      /* its server; NULL when WAITING or DONE */
    struct ms_list_link server_link;     /* in server->tasks */
    struct ms_batch_server *last_server; /* where it was assigned last, NULL: nowhere yet */
    bool awaits_report;    /* may already run there: the next report decides; no start is ordered */
    bool store_pending;    /* RECORDING: the store in progress contains the run */
    bool order_pending;    /* an order awaits its answer */
    bool start_pending;    /* a start order awaits its answer, also if a stop was ordered since */
    bool start_withdrawn;  /* the pending start has been withdrawn: it may have been sent before */
    bool seen_in_report;   /* a report of the server has listed this run */
    bool start_confirmed;  /* the server has confirmed the start of this run */
    bool order_unanswered; /* a start order went unanswered, or may have, and may still arrive */
    bool unanswered_packed;      /* the store in progress tells of the starts without an answer */
    bool unanswered_stored;      /* the log does: the start may be ordered again */
    bool stop_confirmed;         /* STOPPING: the server has confirmed the stop order */
    bool preempted;              /* STOPPING: preempted by more urgent work */
    uint32_t preemptor_priority; /* PREEMPTED: priority of that work */
    uint32_t preemption_count;   /* how often it has been preempted */
    int64_t next_order_at;       /* no order is sent before then */
    int64_t ordered_at;          /* if ORDER_PENDING: when the order was queued */
    int64_t last_answer_at;    /* when the start call ended or the stop was confirmed, 0: not yet */
    int64_t running_since;     /* when the run was seen to have started, 0: not yet */
    uint32_t progress_percent; /* last reported progress */
    uint32_t resumed_percent;  /* progress from a checkpoint, or from before `running_since` */
    int64_t last_progress_at;  /* when `progress_percent` last changed, or the run began */
    int64_t not_before;        /* WAITING: backoff, not placed before then */
    int64_t waited_ms;         /* from when its step was ready to its latest placement */
    uint32_t avoided_server_count; /* entries ever added to `avoided_servers` */
    char avoided_servers[MS_AVOIDED_SERVERS_MAX][MS_NAME_MAX]; /* ring of ids of servers to avoid */

    struct ms_run_speed speed;   /* of the current run */
    uint32_t checkpoint_percent; /* progress when `checkpoint` was reported, 0: not known */
    uint32_t slow_stops;         /* how often it has been stopped because of a slow server */
};

/* One step of one occurrence of a job. */
struct ms_batch_step {
    struct ms_batch_occurrence *occurrence;
    const struct ms_step *spec;
    uint32_t index;              /* index of the step in the job */
    struct ms_batch_task *tasks; /* spec->task_count items */
    uint32_t waiting;            /* tasks that are WAITING */
    uint32_t active;             /* tasks assigned to a server: RECORDING to STOPPING */
    uint32_t done;               /* tasks that are DONE */
    int64_t ready_since;         /* when it first became ready to be placed, 0: not yet */
    int64_t ample_since;         /* it has waited since then in spite of ample capacity, 0: no */
    int64_t unplaced_since;      /* since when tasks wait and none was placed, 0: none waits */
    int64_t gang_started_at;     /* gang: first start order of its current run, 0: none */
    GHashTable *advice;          /* advised queue: server id -> struct ms_advice_entry, or NULL */
    bool advice_pending;         /* the advice service was asked and has not answered */
    int64_t advice_retry_at;     /* the advice service is not asked again before then */
    bool within_guarantee;       /* last pass: top priority, and the account within its guarantee */
    struct ms_order_rank rank;   /* last pass: its place in the order */
    int64_t peer_rate;           /* median rate of its runs, see engine_speed.c */
    int64_t peer_rate_at;        /* when `peer_rate` was computed, 0: not yet */
    const struct ms_batch_server *slow_server; /* gang: server that holds it back, or NULL */
    int64_t slow_server_until;                 /* gang: `slow_server` is valid until then */
};

/* One execution of all steps of a job; a repeated job has several. */
struct ms_batch_occurrence {
    struct ms_batch_job *job;
    uint32_t index;              /* index in job->occurrences */
    int64_t due_ms;              /* Unix ms; 0: immediately */
    struct ms_batch_step *steps; /* one per step of the spec; NULL once all are done */
    uint32_t steps_done;         /* unused */
};

/* A stored job. */
struct ms_batch_job {
    char id[MS_JOB_ID_MAX];
    const struct ms_batch_spec *spec;  /* owned by the caller of ms_engine_add_job() */
    const struct ms_queue_rule *queue; /* from the current policy, or NULL */
    struct ms_batch_account *account;  /* owned by the engine */
    enum ms_phase phase;
    bool started;                     /* a server has started a task of it */
    GPtrArray *occurrences;           /* struct ms_batch_occurrence *, those due so far, in order */
    uint32_t occurrences_done;        /* complete ones */
    uint64_t sequence;                /* rises with each job that the engine learns of */
    struct ms_list_link jobs_link;    /* in engine->jobs, or engine->ended_jobs once it has ended */
    struct ms_list_link due_link;     /* in engine->due_jobs while it has occurrences to come */
    struct ms_list_link account_link; /* in account->jobs */
    int64_t virtual_us;               /* virtual arrival, see account_order.h */
    struct ms_list_link dirty_link;   /* in engine->dirty while its state has to be stored */
    struct ms_list_link started_link; /* in engine->started while no state has `started` */
    int64_t started_at;               /* when the engine learned that it has started */
    struct ms_list_link late_starts;  /* struct ms_late_start, linked by job_link */
    bool store_pending;               /* in engine->storing: the store in progress has its state */
    bool store_urgent;                /* dirty: its state has to be stored without delay */
    bool removing;                    /* its records are to be removed from the log */
    uint32_t active_count;            /* tasks assigned to a server */
    int64_t ended_at;                 /* when the engine learned of its end */
    int64_t accepted_at;              /* when this host learned of the job */
};

/*
 * Whether the lease of a server may be extended.  A new leader freezes the lease of a server
 * that does not answer, and stores in the states of the jobs there when it ends at the latest:
 * the next leader then need not wait longer, as it would if this leader had extended it.
 */
enum ms_lease_state {
    MS_LEASE_NORMAL = 0, /* each renewal extends it */
    MS_LEASE_FROZEN,     /* not extended: a stored record relies on it, or will do so */
    MS_LEASE_UNFREEZING, /* not extended: the server has answered; these records are replaced */
};

/*
 * A backend server.  The ends_* fields are positions of run ends (struct ms_reported_end):
 * an end is seen in a report, then stored with the state of its job, then acknowledged.
 */
struct ms_batch_server {
    char id[MS_NAME_MAX];
    struct ms_directory_entry entry;  /* latest directory entry */
    struct ms_list_link servers_link; /* in engine->servers */
    uint32_t index;                   /* in engine->servers_by_index */
    bool listed;                      /* the directory contains it */
    bool fence_confirmed;             /* this incarnation has answered a renewal of this epoch */
    bool unresponsive;                /* the last call had no answer */
    bool renewal_pending;             /* a renewal awaits its answer */
    uint32_t snapshot_number;         /* number of the directory snapshot that last listed it */
    bool start_disputed;     /* records and directory name different starts: a report decides */
    bool fence_acknowledges; /* a renewal with this fence has acknowledged ends */
    bool earlier_start_uncertain; /* a task of an earlier leader is not `confirmed` in its record */
    bool unfreeze_storing;        /* UNFREEZING: the store in progress replaces the last record */
    int64_t earlier_start_unix_ms;  /* start of the incarnation before, 0: none known */
    uint32_t incarnation;           /* rises whenever a new incarnation is noticed */
    uint32_t fence_number;          /* within the epoch, of the next call */
    uint32_t renewal_failure_count; /* consecutive renewals without an answer */
    enum ms_lease_state lease_state;
    int64_t next_renewal_at;    /* when to renew its lease, INT64_MAX: not needed */
    int64_t last_answer_at;     /* when it last answered */
    int64_t last_report_at;     /* when its last report arrived */
    int64_t clock_ms;           /* its clock at last_answer_at */
    int64_t lease_deadline_max; /* latest lease deadline sent to it, on its clock */
    /* It may have runs in an unknown incarnation; these have certainly ended by then. */
    int64_t uncertain_lease_until;
    int64_t uncertain_since;   /* a report that was requested later tells of these runs, 0: none */
    int64_t frozen_until;      /* lease not NORMAL: by then it has certainly expired */
    uint64_t ends_seen;        /* last end reported */
    uint64_t ends_storing;     /* ends up to here are stored when the store in progress is */
    uint64_t ends_stored;      /* ends up to here are stored */
    uint64_t ends_acked;       /* ends up to here are acknowledged */
    uint64_t withheld_end;     /* first end that must not be acknowledged, 0: none */
    bool lapse_due;            /* its lease has to expire, so that this end may be */
    bool report_full;          /* the last report may lack ends, see ENDED_ROWS_MAX */
    struct ms_list_link tasks; /* struct ms_batch_task, linked by server_link */
    struct ms_list_link late_starts;  /* struct ms_late_start, linked by server_link */
    struct ms_list_link held_ends;    /* ends not to be acknowledged yet, see engine_late_start.c */
    uint32_t unknown_run_count;       /* runs in the last report that no record allows */
    uint32_t consecutive_failed_jobs; /* since the last success; repeats of one job count once */
    char last_failed_job[MS_JOB_ID_MAX];
    int64_t quarantined_until;    /* quarantined until then */
    int64_t suspect_until;        /* chosen last until then: a run failed or was refused here */
    int64_t slow_until;           /* chosen last until then: its runs are much slower than others */
    int64_t available_until;      /* DRAINING: earliest time of its shutdown, 0: none seen */
    int64_t restricted_until;     /* tasks were preempted here, see ms_batch_server_restrict() */
    uint32_t restricted_priority; /* until then: lowest priority that it takes */
    uint32_t quarantine_count;    /* since the last success */
    /* Plans compare these for all servers: they are kept side by side. */
    struct ms_resources capacity;  /* that of `entry` */
    struct ms_resources allocated; /* by the tasks assigned to it */
    /* Valid within one placement pass only. */
    struct ms_resources reserved;    /* for units that wait */
    struct ms_resources lasting;     /* of long-running tasks, which do not end by themselves */
    struct ms_resources releasing;   /* freed when the stops in progress are done */
    struct ms_resources preemptible; /* of tasks that the unit being placed may preempt */
    uint32_t planned_task_count;     /* tasks of the unit being placed that are planned here */

    /* See engine_speed.c. */
    int64_t slow_since;          /* until `slow_until`: since when it is slow */
    int64_t slowdown;            /* the same: see slow_stop.h, 0: not known for certain */
    struct ms_resources claimed; /* for runs that leave slow servers */
    int64_t claimed_until;       /* `claimed` is valid until then */
};

struct ms_engine {
    struct ms_engine_limits limits;
    uint64_t epoch;                 /* of this leader */
    int64_t now;                    /* time of the current call, never goes back */
    int64_t unix_ms;                /* time of day, plus limits.start_early_ms */
    int64_t created_at;             /* when this leader created the engine */
    int64_t earlier_leases_until;   /* runs of earlier leaders may go on until then */
    const struct ms_policy *policy; /* owned by the caller, or NULL */
    int64_t total_weight;           /* of all accounts of the policy */
    GHashTable *dcs_out;            /* names of data centres out of service, or NULL */
    GHashTable *jobs_by_id;         /* owns the jobs */
    GHashTable *servers_by_id;      /* owns the servers */
    GHashTable *accounts_by_name;   /* owns the accounts, struct ms_batch_account */
    struct ms_list_link jobs;       /* struct ms_batch_job: those that are open */
    struct ms_list_link ended_jobs; /* struct ms_batch_job: ended, oldest first */
    struct ms_list_link due_jobs;   /* struct ms_batch_job: open, with occurrences to come */
    struct ms_list_link started;    /* struct ms_batch_job: whose start has not been stored yet */
    struct ms_list_link servers;    /* struct ms_batch_server */
    GPtrArray *servers_by_index;    /* the same, in the same order */
    GArray *attention;              /* uint64_t: a bit for each server, see engine_attention.c */
    struct ms_list_link dirty;      /* struct ms_batch_job whose states have to be stored */
    int64_t dirty_since;            /* since when `dirty` is not empty */
    GPtrArray *storing;             /* struct ms_batch_job whose states that STORE contains */
    uint64_t last_job_sequence;     /* highest `sequence` of a job */
    int64_t last_placement_at;      /* time of the last placement pass */
    int64_t next_retry_at;          /* next end of a task's backoff, INT64_MAX: none */
    int64_t plan_cost;              /* of the last plan, without penalties */
    uint64_t servers_examined;      /* servers examined in the last placement pass */
    int64_t last_scan_at;           /* time of the last scan */
    int64_t last_full_scan_at;      /* time of the last one of all servers */
    struct ms_order_backlog orders; /* starts and stops that the servers have to answer */
    uint32_t orders_held_total;     /* passes that held back starts for these */
    int64_t placement_logged_at;    /* time of the last summary line about a pass */
    uint32_t explain_cursor;        /* rotates the long waits that are logged */
    int64_t oldest_unplaced_since;  /* lowest `unplaced_since` after the last pass, 0: none */
    int64_t cap_candidates_at;      /* when engine_cap.c last collected tasks to preempt */
    uint32_t units_waiting;         /* units that the last pass could not place */
    uint32_t units_over_share;      /* of these: those that their account's share or rate delays */
    uint32_t jobs_without_queue;    /* open jobs whose queue the policy does not have */
    struct ms_advice_pacing advice_pacing; /* calls to the advice service */
    uint32_t snapshot_number;              /* number of the latest directory snapshot */
    uint32_t late_answer_count;            /* answers to actions of earlier terms of this host */
    bool has_weights;                      /* an account of the policy has a weight */
    bool dirty_urgent;                     /* a dirty job has to be stored without delay */
    bool store_pending;                    /* a STORE awaits ms_engine_on_stored() */
    bool placement_due;                    /* a change may allow a task to be placed */
    bool orders_held;  /* the last pass held back starts for orders that are behind */
    bool stepped_down; /* STEP_DOWN was queued */
    GQueue *actions;   /* struct ms_engine_action, oldest first */
    void (*log_callback)(void *opaque, const char *text);
    void *log_opaque;

    /* By priority: since when a unit that the last pass did not place has waited, 0: none. */
    int64_t waiting_since[MS_PRIORITIES_OBSERVED];
};

/* engine.c */
/* Logs one line of key=value pairs. */
void ms_engine_log_event(struct ms_engine *engine, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/* Queues an action and returns it, to be filled in; SERVER may be NULL. */
struct ms_engine_action *ms_engine_push_action(struct ms_engine *engine,
                                               enum ms_engine_action_kind kind,
                                               const struct ms_batch_server *server);
/* Ends the term of this leader; REASON is a word for the log, which is not copied. */
void ms_engine_step_down(struct ms_engine *engine, const char *reason);
/* Whether ACTION was queued by ENGINE; logs the first answer to another one's. */
bool ms_engine_sent_action(struct ms_engine *engine, const struct ms_engine_action *action);
/* Marks the state of JOB as to be stored: without delay if URGENT. */
void ms_engine_mark_dirty(struct ms_engine *engine, struct ms_batch_job *job, bool urgent);

/* engine_job.c */
/* JOB, whose phase is no longer OPEN, has ended now. */
void ms_engine_note_job_ended(struct ms_engine *engine, struct ms_batch_job *job);
/* Removes JOB, which must have no active tasks, from the engine and frees it. */
void ms_engine_remove_job(struct ms_engine *engine, struct ms_batch_job *job);
/* The task called NAME, or NULL when it is unknown or its occurrence is complete. */
struct ms_batch_task *ms_engine_find_task(const struct ms_engine *engine, const char *name);
/* Writes the task's name to OUT (MS_TASK_NAME_MAX bytes) and returns OUT. */
const char *ms_batch_task_name(const struct ms_batch_task *task, char *out);
struct ms_batch_job *ms_batch_task_job(const struct ms_batch_task *task);

/* Frees what STEP owns, not STEP itself. */
void ms_batch_step_clear(struct ms_batch_step *step);
/* Occurrence INDEX of JOB; it and those before it are added if they are missing. */
struct ms_batch_occurrence *ms_batch_job_get_or_add_occurrence(struct ms_batch_job *job,
                                                               uint32_t index);
/* Frees JOB, a struct ms_batch_job, and its occurrences. */
void ms_batch_job_free(gpointer job);
/* Adds the occurrences of JOB that have become due. */
void ms_batch_job_add_due_occurrences(struct ms_engine *engine, struct ms_batch_job *job);
/* Looks up the queue of JOB in the current policy. */
void ms_batch_job_resolve_queue(const struct ms_engine *engine, struct ms_batch_job *job);
/* Marks jobs for removal from the log ended_retention_ms after their ends. */
void ms_engine_remove_expired_jobs(struct ms_engine *engine);
/* Marks the jobs as to be stored that started a while ago, if no state tells of it yet. */
void ms_engine_store_started_jobs(struct ms_engine *engine);

/* engine_task.c: state transitions of tasks. */
/* Assigns TASK, which has no server, to SERVER; it is RECORDING then. */
void ms_batch_task_assign(struct ms_engine *engine, struct ms_batch_task *task,
                          struct ms_batch_server *server);
/* How often TASK has failed on SERVER or was refused by it, of the times that it remembers. */
uint32_t ms_batch_task_avoid_count(const struct ms_batch_task *task,
                                   const struct ms_batch_server *server);
/* Whether RUN of TASK was declared lost and, as far as is known, has not failed since. */
bool ms_batch_task_is_lost_run(const struct ms_batch_task *task, uint32_t run);
/* Takes TASK off its server, if any; STATE is WAITING or DONE. */
void ms_batch_task_release(struct ms_engine *engine, struct ms_batch_task *task,
                           enum ms_batch_task_state state);
/* Stops TASK; REASON is logged.  A run that was not ordered yet is dropped at once. */
void ms_batch_task_stop(struct ms_engine *engine, struct ms_batch_task *task, const char *reason);
/* Stops TASK, or all members if it belongs to a gang. */
void ms_batch_task_stop_unit(struct ms_engine *engine, struct ms_batch_task *task,
                             const char *reason);
/* The server of TASK, which is STARTING, has confirmed its start. */
void ms_batch_task_on_started(struct ms_engine *engine, struct ms_batch_task *task);
/* The server of TASK, which is STARTING, has refused its start: this order created no run. */
void ms_batch_task_on_refused(struct ms_engine *engine, struct ms_batch_task *task,
                              enum ms_order_result result);
/* TASK, if it has no run that may have been ordered, is not placed for DELAY_MS. */
void ms_batch_task_hold_back(struct ms_engine *engine, struct ms_batch_task *task,
                             int64_t delay_ms);
/* Takes back a run that was declared lost but is reported by SERVER. */
void ms_batch_task_recover_run(struct ms_engine *engine, struct ms_batch_task *task,
                               struct ms_batch_server *server);
/* Declares the current run of TASK lost; the task waits to be placed again. */
void ms_batch_task_on_lost(struct ms_engine *engine, struct ms_batch_task *task,
                           const char *reason);
/* The start order of TASK, which is STARTING or STOPPING, was withdrawn and never sent. */
void ms_batch_task_on_withdrawn(struct ms_engine *engine, struct ms_batch_task *task);
/* The current run of TASK has ended as HOW says, with CHECKPOINT or "". */
void ms_batch_task_on_ended(struct ms_engine *engine, struct ms_batch_task *task,
                            enum ms_run_end how, const char *checkpoint);
/* The lost run RUN of TASK has failed on SERVER; a later run of TASK has been ordered since. */
void ms_batch_task_on_late_failure(struct ms_engine *engine, struct ms_batch_task *task,
                                   const struct ms_batch_server *server, uint32_t run);
/* Work of TASK's current run in core-seconds; an accelerator counts as MS_ACCEL_CORE_EQUIVALENT
 * cores. */
int64_t ms_batch_task_work_core_s(const struct ms_engine *engine, const struct ms_batch_task *task);
/* Keeps CHECKPOINT, unless it is "", for TASK or for all members of its gang. */
void ms_batch_task_set_checkpoint(struct ms_batch_task *task, const char *checkpoint);
/* Whether tasks of STEP may be placed: it is due and the steps it depends on are done. */
bool ms_batch_step_ready(const struct ms_engine *engine, const struct ms_batch_step *step);
/* A server has started a task of JOB. */
void ms_batch_job_note_started(struct ms_engine *engine, struct ms_batch_job *job);
/* Ends JOB if all its tasks are done or one has failed too often. */
void ms_batch_job_update_phase(struct ms_engine *engine, struct ms_batch_job *job);
/* Stops all tasks of JOB. */
void ms_batch_job_stop_tasks(struct ms_engine *engine, struct ms_batch_job *job,
                             const char *reason);

/* engine_task_order.c: orders of tasks. */
/*
 * Queues the start or stop order of TASK if it is due.  Stops TASK instead, or its gang, if it
 * has not started and its server may no longer be given tasks.
 */
void ms_batch_task_send_order(struct ms_engine *engine, struct ms_batch_task *task);
/* Withdraws the start order of TASK if one is pending: it is not sent if it has not been yet. */
void ms_batch_task_withdraw_start(struct ms_engine *engine, struct ms_batch_task *task);
/* Withdraws the pending start order of TASK if it may not be started on its server any more. */
void ms_batch_task_recheck_start(struct ms_engine *engine, struct ms_batch_task *task);

/* engine_server.c */
/* The server with this id; one that is not known yet is added, unlisted. */
struct ms_batch_server *ms_engine_get_or_add_server(struct ms_engine *engine, const char *id);
/* Another server answers at the address of SERVER, whose tasks are all lost. */
void ms_batch_server_on_replaced(struct ms_engine *engine, struct ms_batch_server *server);
/*
 * SERVER has started again under its id at START_UNIX_MS; its clock was at CLOCK_MS a moment ago.
 * Its tasks are lost, except those not ordered yet and those whose orders may still reach the new
 * incarnation or may have reached it.  Until a renewal with the next fence reaches it, it carries
 * out late orders to its earlier incarnation, so that one is due at once.  SOURCE, what told of the
 * start, is for the log.
 */
void ms_batch_server_on_restart(struct ms_engine *engine, struct ms_batch_server *server,
                                int64_t start_unix_ms, int64_t clock_ms, const char *source);
/* The fence of the next call to SERVER. */
uint64_t ms_batch_server_fence(const struct ms_engine *engine,
                               const struct ms_batch_server *server);
/*
 * From now on calls to SERVER have a higher fence: once one of them has reached it, copies of
 * earlier calls have no effect there.  Ends the leader's term if the epoch has no further fence.
 */
void ms_batch_server_raise_fence(struct ms_engine *engine, struct ms_batch_server *server);
/*
 * Whether SERVER has refused ACTION only because a later call of this leader, with a higher fence,
 * has arrived before it.
 */
bool ms_batch_server_overtook(const struct ms_engine *engine, const struct ms_batch_server *server,
                              const struct ms_engine_action *action);
/* Whether the data centre of SERVER is out of service. */
bool ms_batch_server_in_dc_out(const struct ms_engine *engine,
                               const struct ms_batch_server *server);
/* Why SERVER may not be given tasks, or MS_SERVER_USABLE. */
enum ms_server_exclusion ms_batch_server_exclusion(const struct ms_engine *engine,
                                                   const struct ms_batch_server *server);
/* Whether SERVER may be given tasks. */
bool ms_batch_server_usable(const struct ms_engine *engine, const struct ms_batch_server *server);
/* Whether SERVER has LABEL; "" matches any server. */
bool ms_batch_server_has_label(const struct ms_batch_server *server, const char *label);
/* Runs the timers of SERVER and its tasks; declares its runs lost if its lease has expired. */
void ms_batch_server_tick(struct ms_engine *engine, struct ms_batch_server *server);

/* engine_renewal.c */
/* Queues a renewal of the lease of SERVER if one is due and none is under way. */
void ms_batch_server_renew_if_due(struct ms_engine *engine, struct ms_batch_server *server);

/* engine_attention.c: servers that a scan must not leave out. */
/* The next scan handles SERVER. */
void ms_attention_add(struct ms_engine *engine, const struct ms_batch_server *server);
/* Scans leave SERVER out from now on if it needs no attention. */
void ms_attention_update(struct ms_engine *engine, const struct ms_batch_server *server);
/* The first server with an index of INDEX or more that the next scan handles, or NULL. */
struct ms_batch_server *ms_attention_next(const struct ms_engine *engine, uint32_t index);

/* engine_lease.c */
/* The lease deadline of a start on SERVER, on its clock; recorded in lease_deadline_max. */
int64_t ms_batch_server_start_deadline(struct ms_engine *engine, struct ms_batch_server *server);
/* The same for a renewal; 0: it does not extend the lease. */
int64_t ms_batch_server_renewal_deadline(struct ms_engine *engine, struct ms_batch_server *server);
/* What the clock of SERVER has reached by now at least, unless it started again; 0: not known. */
int64_t ms_batch_server_clock_min(const struct ms_engine *engine,
                                  const struct ms_batch_server *server);
/* For how long at most a server goes on with a run that it is not told of any more. */
int64_t ms_batch_longest_lease_ms(const struct ms_engine *engine);
/* When all runs on SERVER have certainly ended if it stays unresponsive. */
int64_t ms_batch_server_lease_end(const struct ms_engine *engine,
                                  const struct ms_batch_server *server);
/*
 * SERVER may have a run in an incarnation that is not known yet: a start has no answer, or one that
 * does not tell which incarnation has carried it out.  The deadline of a call that has reached that
 * incarnation, on the clock of the known one, was far ahead, so that it holds the longest lease.
 */
void ms_batch_server_note_uncertain_run(const struct ms_engine *engine,
                                        struct ms_batch_server *server);
/*
 * SERVER is known to have started again, and a start of the incarnation before may still arrive:
 * until a report says otherwise, it counts as one that comes as late as an order may.
 */
void ms_batch_server_expect_late_start(const struct ms_engine *engine,
                                       struct ms_batch_server *server);
/* A renewal with DEADLINE_MS has no answer: it may have extended the lease of such a run. */
void ms_batch_server_note_unanswered_renewal(const struct ms_engine *engine,
                                             struct ms_batch_server *server, int64_t deadline_ms);
/* SERVER has reported its runs in the answer to a call sent at SENT_AT: they are certain again. */
void ms_batch_server_note_certain_report(struct ms_batch_server *server, int64_t sent_at);
/*
 * Whether SERVER holds no longer lease than one that we have requested.  What a leader before this
 * one has stored of it holds on until SERVER has answered this one.
 */
bool ms_batch_server_holds_our_lease(const struct ms_engine *engine,
                                     const struct ms_batch_server *server);
/* From now on the lease of SERVER is not extended; it has certainly expired by UNTIL. */
void ms_batch_server_freeze_lease(struct ms_batch_server *server, int64_t until);
/* All records that rely on the lease of SERVER, which is UNFREEZING, are replaced: it is NORMAL. */
void ms_batch_server_finish_unfreeze(struct ms_engine *engine, struct ms_batch_server *server);
/*
 * Whether the ends that SERVER has reported may be acknowledged now.  Had it started again since
 * its last report, it would forget ends that nobody has seen, as their positions start anew.
 */
bool ms_batch_server_may_acknowledge(const struct ms_engine *engine,
                                     const struct ms_batch_server *server);
/*
 * Assumes that SERVER granted the longest lease that it grants when it answered last: to a server
 * that has started again, a deadline on its earlier clock is far ahead.
 */
void ms_batch_server_assume_longest_lease(const struct ms_engine *engine,
                                          struct ms_batch_server *server);
/*
 * The clock of SERVER, in an answer to an order, is at CLOCK_MS, behind what it must have reached:
 * SERVER has probably started again.  Its next report tells, and decides about its runs.
 */
void ms_batch_server_on_clock_back(struct ms_engine *engine, struct ms_batch_server *server,
                                   int64_t clock_ms);
/*
 * SERVER has answered a renewal; FIRST_ANSWER: its first one to this leader.  Its lease, which it
 * holds also without runs, may be one from an earlier leader or incarnation.
 */
void ms_batch_server_lease_on_answer(struct ms_engine *engine, struct ms_batch_server *server,
                                     bool first_answer);
/* SERVER has a new incarnation: if its lease was not NORMAL, it stays frozen or is frozen again. */
void ms_batch_server_lease_on_reset(struct ms_engine *engine, struct ms_batch_server *server);
/* Freezes the lease of SERVER, or extends it again, if this is due. */
void ms_batch_server_lease_tick(struct ms_engine *engine, struct ms_batch_server *server);

/* engine_advice.c */
/* Whether the advice service, if the queue has one, lets tasks of STEP run on SERVER. */
bool ms_advice_allows(const struct ms_engine *engine, const struct ms_batch_step *step,
                      const struct ms_batch_server *server);
/* The ticket for starts of STEP on SERVER, or "". */
const char *ms_advice_ticket(const struct ms_batch_step *step,
                             const struct ms_batch_server *server);
/* SERVER has refused the ticket: it is not used again. */
void ms_advice_invalidate_ticket(struct ms_batch_step *step, const struct ms_batch_server *server);
/*
 * Asks the advice service about servers for waiting tasks of STEPS (struct ms_batch_step), most
 * urgent first, whose queues are advised.
 */
void ms_advice_request(struct ms_engine *engine, const GPtrArray *steps);

/* engine_report.c */
/* Processes the REPORT of SERVER, which was requested at SENT_AT. */
void ms_batch_server_on_report(struct ms_engine *engine, struct ms_batch_server *server,
                               const struct ms_server_report *report, int64_t sent_at);

/* engine_health.c */
/*
 * A run of TASK has failed on SERVER; TASK's failures include it only if another member of its gang
 * has reported it before.
 */
void ms_batch_server_on_failure(struct ms_engine *engine, struct ms_batch_server *server,
                                const struct ms_batch_task *task);
/* A run has ended as done on SERVER. */
void ms_batch_server_on_success(struct ms_batch_server *server);
/* Updates whether SERVER counts as slow, after a report. */
void ms_batch_server_update_speed(struct ms_engine *engine, struct ms_batch_server *server);
/* Expected remaining run time of TASK, from its rate of progress, else from its estimate. */
int64_t ms_batch_task_remaining_ms(const struct ms_engine *engine,
                                   const struct ms_batch_task *task);
/* Stops TASK if it stalls, runs on a slow server or has to leave a draining one. */
void ms_batch_task_check_health(struct ms_engine *engine, struct ms_batch_task *task);

/* engine_capacity.c */
/* Work of PRIORITY preempts tasks on SERVER: for a while it takes no work of a lower priority. */
void ms_batch_server_restrict(const struct ms_engine *engine, struct ms_batch_server *server,
                              uint32_t priority);

/* engine_order.c: what the order between accounts is computed from. */
/* Adds JOB to the jobs of its account, or removes it; later virtual arrivals change as well. */
void ms_order_add_job(const struct ms_engine *engine, struct ms_batch_job *job);
void ms_order_remove_job(struct ms_batch_job *job);
/* The rules of the accounts have changed. */
void ms_order_set_policy(struct ms_engine *engine);
/* Milliseconds by which STEP lies ahead of its account's rate, negative if it lies behind. */
int64_t ms_order_step_ahead_ms(const struct ms_engine *engine, const struct ms_batch_step *step);
/* Whether the last pass tried STEP after other work of its priority because of its account. */
bool ms_order_is_delayed(const struct ms_batch_step *step);
/* Sets the rank of STEP, whose account has its share of this pass. */
void ms_order_rank_step(const struct ms_engine *engine, struct ms_batch_step *step);

/* engine_place.c */
/* Runs one placement pass over all waiting tasks. */
void ms_engine_run_placement(struct ms_engine *engine);

/* engine_store.c */
/* Position in SERVERS, texts of StateRecord.servers, of SERVER, from 1; it is added if missing. */
uint32_t ms_store_server_index(const struct ms_engine *engine, GPtrArray *servers,
                               const struct ms_batch_server *server);
/* Queues a STORE with the states of the dirty jobs, of the urgent ones only unless ALL. */
void ms_engine_store_dirty_jobs(struct ms_engine *engine, bool all);
/*
 * Restores the tasks of JOB from its StateRecord, read at READ_AT; one that is malformed is
 * logged and ignored.
 */
void ms_engine_restore_job(struct ms_engine *engine, struct ms_batch_job *job, GBytes *state,
                           int64_t read_at);

#endif
