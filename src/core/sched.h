/*
 * sched.h - the state of the decision core, private to src/core.
 *
 * Ownership: the scheduler owns servers, jobs, accounts and guarantees; a job
 * owns its tasks; a guarantee owns its cells.  Lists hold no ownership.
 */
#ifndef MS_SCHED_H
#define MS_SCHED_H

#include <glib.h>

#include "mustardspread/mustardspread.h"
#include "list.h"

/* Distinct servers remembered per job, and distinct jobs per server. */
#define MS_FAIL_MEMORY 8

/* Gangs for which servers are kept at the same time. */
#define MS_KEEPERS_MAX 8

/* Times that a job may be stopped for waiting gangs. */
#define MS_YIELDS_MAX 3

/* Jobs of one account that one pass looks at before it goes on. */
#define MS_PASS_DEPTH 64

enum ms_server_state {
    MS_SERVER_UP = 0,      /* takes new work */
    MS_SERVER_SYNCING,     /* held; its running tasks are still being reported */
    MS_SERVER_LEAVING,     /* finishes its tasks, takes no new ones */
    MS_SERVER_QUARANTINED, /* failed distinct jobs; waits for its probe */
    MS_SERVER_PROBING,     /* takes one job, which decides its fate */
    MS_SERVER_LOST,        /* not held; its tasks end with their leases */
};

struct ms_server {
    char name[MS_NAME_MAX];
    char rack[MS_NAME_MAX];
    enum ms_server_state state;
    struct ms_link link;  /* in sched->servers, in name order */
    struct ms_link tasks; /* ms_task.server_link of tasks charged here */
    uint32_t slots;
    uint32_t accels;
    int32_t slots_free; /* slots minus charged tasks; below 0 while work
                           is being stopped to make room */
    int32_t accels_free;
    uint32_t cell_slots;   /* cells bound here, occupied or not */
    uint32_t cell_accels;  /* accelerators of those cells */
    uint32_t fixed_slots;  /* tasks outside cells that cannot be stopped */
    uint32_t fixed_accels; /* accelerators of those tasks.  Invariant:
                              cell_x + fixed_x <= x, for slots and accels */
    uint32_t seen_pending; /* TASK_SEEN events still to come */
    int64_t lost_until;    /* LOST: when the leases of its tasks have lapsed */
    int64_t probe_at;      /* QUARANTINED: when to probe */
    int64_t quarantine_ms; /* the last time in quarantine, doubles */
    uint32_t failed_count; /* distinct jobs that failed since a success */
    char failed_jobs[MS_FAIL_MEMORY][MS_ID_MAX];
    struct ms_job *kept_for; /* gang that new starts must not delay */
    uint32_t rack_id;        /* index into the rack totals of place.c */
    int32_t scratch;         /* tasks that fit; used within one placement */
};

/*
 * A task holds resources from the choice of its server until the server says
 * that it ended, or until its lease has lapsed on a lost server.
 */
enum ms_task_state {
    MS_TASK_UNPLACED = 0, /* charged nowhere */
    MS_TASK_RESERVED,     /* charged; nothing sent yet */
    MS_TASK_PREPARING,    /* PREPARE sent */
    MS_TASK_PREPARED,     /* the server holds the resources */
    MS_TASK_STARTING,     /* START or GO sent */
    MS_TASK_RUNNING,      /* the server confirmed the start */
    MS_TASK_STOPPING,     /* STOP or CHECKPOINT sent */
    MS_TASK_ORPHANED,     /* its server is lost; charged until the lease lapses */
    MS_TASK_FINISHED,     /* ended; charged nowhere */
};

struct ms_task {
    struct ms_job *job;
    struct ms_server *server; /* NULL when charged nowhere */
    struct ms_link server_link;
    enum ms_task_state state;
    struct ms_cell *cell;       /* cell of a guarantee that it occupies, or NULL */
    int64_t stop_at;            /* STOPPING: when to escalate */
    bool started;               /* START or GO was sent in this attempt */
    bool withheld;              /* its lease is no longer renewed */
    bool seen;                  /* reported since its server came up */
    enum ms_task_result result; /* FINISHED */
};

enum ms_job_state {
    MS_JOB_WAITING = 0, /* in its account's queue */
    MS_JOB_RECLAIMING,  /* placed; other work is being stopped to make room */
    MS_JOB_TOKEN,       /* placed; waits for its run token */
    MS_JOB_PREPARING,   /* gang: waits until all members are prepared */
    MS_JOB_STARTING,    /* waits until all members are confirmed */
    MS_JOB_RUNNING,     /* all members run */
    MS_JOB_ABORTING,    /* members are being stopped; `after` says what follows */
    MS_JOB_ADOPTING,    /* seen on servers; waits for its other members */
};

/* What follows when an aborting job holds no resources any more. */
enum ms_after {
    MS_AFTER_RETRY = 0,
    MS_AFTER_OUTCOME, /* outcome `code` with `detail` */
    MS_AFTER_FORGET,  /* adopted in part, and nobody here submitted it */
};

struct ms_job {
    char id[MS_ID_MAX];
    struct ms_job_spec spec; /* payload points to memory owned by the job */
    struct ms_account *account;
    enum ms_job_state state;
    struct ms_link link;       /* in sched->jobs */
    struct ms_link queue_link; /* WAITING: in account->queue */
    struct ms_task *tasks;     /* spec.tasks items */
    uint64_t sequence;         /* order of arrival */
    uint32_t attempt;          /* of the last placement, from 1 */
    uint32_t failures;         /* attempts that ended badly, less those forgiven */
    uint32_t failures_total;   /* all attempts that ended badly */
    uint32_t placement_losses; /* attempts lost through no fault of the job */
    bool submitted;            /* false: only seen on servers so far */
    bool has_token;            /* the run token was granted */
    uint32_t token_failures;   /* times that the log could not be reached for it */
    bool may_have_run;         /* some attempt was sent to a server */
    bool ran_before;           /* some attempt before this one was */
    bool has_progress;         /* a checkpoint exists */
    bool guaranteed;           /* its tasks occupy cells of a guarantee */
    bool keeps;                /* servers are kept for it, see backfill.c */
    int64_t keeps_until;       /* when it is expected to start on them */
    uint32_t yielded;          /* times that it was stopped for a waiting gang */
    int64_t submitted_at;
    int64_t not_before;  /* WAITING: backoff */
    int64_t phase_until; /* limit of the present state, or INT64_MAX */
    int64_t started_at;
    enum ms_after after;
    enum ms_outcome_code code;
    char detail[MS_DETAIL_MAX];
    char wait_reason[MS_DETAIL_MAX];
    uint32_t failed_count;
    char failed_servers[MS_FAIL_MEMORY][MS_NAME_MAX];
    uint8_t *output; /* of member 0 */
    size_t output_len;
    char ran_on[MS_NAME_MAX]; /* server of member 0 */
};

struct ms_account {
    char name[MS_NAME_MAX];
    struct ms_link link;  /* in sched->accounts, in name order */
    struct ms_link queue; /* waiting jobs by class, then arrival */
    bool defined;         /* an account rule exists */
    uint32_t share;
    uint32_t limit_accels;
    uint32_t limit_running;
    uint32_t limit_queued;
    uint32_t waiting;     /* jobs in queue */
    uint32_t used_accels; /* charged accelerators */
    uint32_t used_tasks;  /* charged tasks */
    double run_ratio;     /* mean of real to declared run time */
};

/*
 * A cell is the part of a guarantee that is bound to one server: one task of
 * the guaranteed shape.  Work that cannot be stopped never uses resources of
 * another account's cell.
 */
struct ms_cell {
    struct ms_guarantee *guarantee;
    struct ms_server *server; /* NULL while no server can hold it */
    struct ms_task *task;     /* occupying task of the guarantee's account */
};

struct ms_guarantee {
    struct ms_rule rule;
    struct ms_link link;   /* in sched->guarantees, in name order */
    struct ms_cell *cells; /* rule.tasks items */
    bool met;              /* all cells are bound with the adjacency asked for */
};

/* A final outcome, kept for repeated submissions of the same id. */
struct ms_recent {
    struct ms_link link; /* in sched->recents, oldest first */
    char id[MS_ID_MAX];
    enum ms_outcome_code code;
    enum ms_ran ran;
    char detail[MS_DETAIL_MAX];
    char server[MS_NAME_MAX];
    struct ms_job_spec spec;
    uint8_t *output;
    size_t output_len;
    int64_t queued_ms;
    int64_t ran_ms;
};

struct ms_sched {
    char dc[MS_NAME_MAX];
    struct ms_sched_limits limits;
    struct ms_hooks hooks;
    int64_t now;
    bool out;          /* the data centre is out of service */
    bool paused;       /* this holder may not start work */
    bool dirty;        /* something changed that may let a job start */
    bool cells_dirty;  /* something changed that may bind a cell */
    int64_t rebind_at; /* no full rebinding before this time */
    int64_t next_tick; /* no timer is due before this time */
    uint64_t next_sequence;
    struct ms_link servers;
    struct ms_link jobs;
    struct ms_link accounts;
    struct ms_link guarantees;
    struct ms_link recents;
    uint32_t recent_count;
    GHashTable *server_index;  /* name -> ms_server */
    GHashTable *job_index;     /* id -> ms_job */
    GHashTable *account_index; /* name -> ms_account */
    GHashTable *recent_index;  /* id -> ms_recent */
    GHashTable *rack_index;    /* name -> rack_id + 1 */
    GArray *rack_totals;       /* ms_rack_total; used within one placement */
    GPtrArray *candidates;     /* servers; used within one placement */
    uint32_t keeper_count;     /* gangs for which servers are kept */
    struct ms_action *actions;
    size_t action_count;
    size_t action_capacity;
    GPtrArray *dead_jobs; /* freed at the next step: actions point into them */
    GPtrArray *dead_recents;
};

/* sched.c */
void *ms_sched_alloc(struct ms_sched *sched, size_t size);
void ms_sched_release(struct ms_sched *sched, void *memory);
struct ms_action *ms_emit(struct ms_sched *sched, enum ms_action_kind kind, const char *id);
void ms_set_timer(struct ms_sched *sched, int64_t at);
void ms_emit_task(struct ms_sched *sched, const struct ms_task *task, enum ms_task_op op);
struct ms_server *ms_server_find(const struct ms_sched *sched, const char *name);
struct ms_job *ms_job_find(const struct ms_sched *sched, const char *id);

/* account.c */
struct ms_account *ms_account_get(struct ms_sched *sched, const char *name);
void ms_account_enqueue(struct ms_sched *sched, struct ms_job *job);
void ms_account_dequeue(struct ms_job *job);
bool ms_account_within_limits(const struct ms_account *account, const struct ms_job *job);
void ms_account_observe_run(struct ms_account *account, const struct ms_job *job, int64_t ran_ms);
int64_t ms_account_expected_ms(const struct ms_job *job);

/* place.c: choice of servers. */
struct ms_rack_total {
    uint32_t fit;  /* tasks that fit into the rack */
    uint32_t free; /* free accelerators of the rack */
};

/* Which work may be stopped to make room. */
enum ms_victims {
    MS_VICTIMS_NONE = 0,
    MS_VICTIMS_STOPPABLE,   /* whatever can be run again or resumed */
    MS_VICTIMS_LESS_URGENT, /* of that, what is not urgent */
    MS_VICTIMS_RESUMABLE,   /* checkpointable, not urgent, not stopped often */
};

void ms_rack_totals_clear(const struct ms_sched *sched);
uint32_t ms_rack_intern(struct ms_sched *sched, const char *name);
bool ms_job_stoppable(const struct ms_job *job);
bool ms_server_usable(const struct ms_server *server, const struct ms_job *job);
bool ms_place(struct ms_sched *sched, struct ms_job *job);
void ms_make_room(struct ms_sched *sched, struct ms_server *server, const struct ms_job *claimant,
                  enum ms_victims victims);
bool ms_place_by_stopping(struct ms_sched *sched, struct ms_job *job, enum ms_victims victims);
void ms_task_charge(struct ms_sched *sched, struct ms_task *task, struct ms_server *server,
                    struct ms_cell *cell);
void ms_task_discharge(struct ms_sched *sched, struct ms_task *task);
bool ms_job_could_ever_fit(const struct ms_sched *sched, const struct ms_job *job, bool avoiding);
uint32_t ms_place_capacity(struct ms_sched *sched, const struct ms_job *job);

/* backfill.c: servers kept for a gang that has waited long. */
bool ms_backfill_consider(struct ms_sched *sched, struct ms_job *job);
void ms_backfill_clear(struct ms_sched *sched);
void ms_backfill_release(struct ms_sched *sched, struct ms_job *job);
bool ms_backfill_admits(const struct ms_sched *sched, const struct ms_server *server,
                        const struct ms_job *job);

/* guarantee.c: cells of guarantees. */
struct ms_guarantee *ms_guarantee_find(const struct ms_sched *sched, const char *name);
void ms_guarantee_apply(struct ms_sched *sched, const struct ms_rule *rule);
void ms_guarantee_bind_all(struct ms_sched *sched);
void ms_guarantee_unbind_server(struct ms_sched *sched, struct ms_server *server);
bool ms_guarantee_place(struct ms_sched *sched, struct ms_job *job);
bool ms_guarantee_could_hold(const struct ms_sched *sched, const struct ms_job *job);
void ms_guarantee_free(struct ms_sched *sched, struct ms_guarantee *guarantee);
void ms_cell_take(struct ms_cell *cell, struct ms_task *task);
void ms_cell_leave(struct ms_cell *cell);

/* gang.c: the life of a job from its placement to its end. */
void ms_gang_begin(struct ms_sched *sched, struct ms_job *job);
void ms_gang_token(struct ms_sched *sched, struct ms_job *job, enum ms_token_answer answer);
void ms_gang_prepared(struct ms_sched *sched, struct ms_task *task);
void ms_gang_renew(struct ms_sched *sched, struct ms_job *job);
void ms_gang_started(struct ms_sched *sched, struct ms_task *task);
void ms_gang_refused(struct ms_sched *sched, struct ms_task *task);
void ms_gang_ended(struct ms_sched *sched, struct ms_task *task, const struct ms_task_event *event);
void ms_gang_server_lost(struct ms_sched *sched, struct ms_server *server);
void ms_gang_abort(struct ms_sched *sched, struct ms_job *job, enum ms_after after,
                   enum ms_outcome_code code, const char *detail);
void ms_gang_stop_task(struct ms_sched *sched, struct ms_task *task);
void ms_gang_tick(struct ms_sched *sched, struct ms_job *job);
int64_t ms_gang_next(const struct ms_job *job, int64_t now);
void ms_gang_room_check(struct ms_sched *sched, struct ms_server *server);

/* adopt.c: tasks found on newly held servers. */
void ms_adopt_seen(struct ms_sched *sched, struct ms_server *server,
                   const struct ms_task_event *event);
void ms_adopt_server_done(struct ms_sched *sched, struct ms_server *server);
void ms_adopt_check(struct ms_sched *sched, struct ms_job *job);

/* health.c: quarantine of servers, blame of jobs. */
void ms_health_failed(struct ms_sched *sched, struct ms_server *server, struct ms_job *job);
void ms_health_relax(const struct ms_sched *sched, struct ms_job *job);
void ms_health_succeeded(struct ms_sched *sched, struct ms_server *server);
bool ms_health_probe_suits(const struct ms_server *server, const struct ms_job *job);
void ms_health_tick(struct ms_sched *sched, struct ms_server *server);
bool ms_health_avoids(const struct ms_job *job, const struct ms_server *server);

/* job.c */
struct ms_job *ms_job_new(struct ms_sched *sched, const struct ms_job_spec *spec, const char *id);
bool ms_job_set_payload(struct ms_sched *sched, struct ms_job *job, const struct ms_job_spec *spec);
void ms_job_free(struct ms_sched *sched, struct ms_job *job);
void ms_job_wait(struct ms_sched *sched, struct ms_job *job);
void ms_job_finish(struct ms_sched *sched, struct ms_job *job, enum ms_outcome_code code,
                   const char *detail);
void ms_job_drop(struct ms_sched *sched, struct ms_job *job);
void ms_job_recheck_waiting(struct ms_sched *sched);
void ms_job_submit(struct ms_sched *sched, const struct ms_submit_event *submit);
void ms_job_ask(struct ms_sched *sched, const char *id);
void ms_job_cancel(struct ms_sched *sched, struct ms_job *job);
void ms_recent_free(struct ms_sched *sched, struct ms_recent *recent);

/* queue.c: which waiting job goes next. */
void ms_queue_pass(struct ms_sched *sched);

#endif
