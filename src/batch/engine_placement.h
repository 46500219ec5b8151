/*
 * engine_placement.h - state and functions of one placement pass, shared by
 * engine_collect.c, engine_capacity.c, engine_plan.c, engine_place.c and engine_explain.c.
 *
 * A pass places units: a gang, or the waiting tasks of one step that are
 * interchangeable.  Units are tried in order of their queue's priority, then of
 * their account's guarantee, then as account_order.h says.  Each unit is tried at these
 * levels until one succeeds:
 *
 *     free        it fits into free capacity: it starts
 *     idle        it fits into idle capacity, reserved or not: it starts there if it has
 *                 waited for a while although capacity is ample
 *     releasing   it fits once the stops that are already ordered have finished:
 *                 it waits and the capacity is reserved for it
 *     preempt     it fits if tasks of lower priority are stopped: the stops are
 *                 ordered and the capacity is reserved for it
 *     reserve     it fits once running tasks have ended: capacity is reserved for
 *                 it, so that smaller units do not starve it
 */
#ifndef MS_BATCH_ENGINE_PLACEMENT_H
#define MS_BATCH_ENGINE_PLACEMENT_H

#include "batch/engine_explain.h"
#include "batch/engine_private.h"

#define MS_NO_PLAN INT64_MAX /* ms_plan_unit(): the unit does not fit */
#define MS_WHOLE_SERVER 1000 /* parts of a server are given in thousandths */

enum ms_placement_level {
    MS_LEVEL_FREE = 0,
    MS_LEVEL_IDLE,
    MS_LEVEL_RELEASING,
    MS_LEVEL_PREEMPT,
    MS_LEVEL_RESERVE
};

struct ms_unit {
    struct ms_batch_step *step;
    struct ms_batch_task **tasks; /* `count` tasks of the step */
    uint32_t count;
    bool gang; /* all tasks start together or none does */
};

/* What a unit did not fit: a level, or the test for ample capacity. */
enum ms_fit_test { MS_FIT_AMPLE = MS_LEVEL_RESERVE + 1 };

/* Where it did not fit. */
enum ms_fit_scope { MS_FIT_ANYWHERE = 0, MS_FIT_IN_ONE_RACK };

/* A unit that did not fit; see engine_fit.c. */
struct ms_failed_fit {
    enum ms_fit_test test;
    enum ms_fit_scope scope;
    bool gang;
    bool may_preempt_top;
    uint32_t count;
    const struct ms_queue_rule *queue;
    const struct ms_batch_account *account;
    const struct ms_step *spec;
};

#define MS_FAILED_FITS_MAX 64 /* further ones are not kept: this bounds each search */

struct ms_failed_fits {
    uint32_t count;
    struct ms_failed_fit items[MS_FAILED_FITS_MAX];
};

/* State of one placement pass. */
struct ms_placement_pass {
    struct ms_engine *engine;
    GPtrArray *servers;          /* usable ms_batch_server */
    GPtrArray *planned;          /* those of the current plan, in the same order */
    GHashTable *racks;           /* rack name -> GPtrArray of ms_batch_server */
    GHashTable *accounts;        /* account name -> struct ms_account_usage */
    bool orders_held;            /* no more starts: the orders of others have to be sent first */
    bool awaits_servers;         /* servers that may have room are about to answer this leader */
    uint32_t reservation_count;  /* units with a reservation at the reserve level */
    const struct ms_unit *unit;  /* the unit being placed */
    bool within_guarantee;       /* its account requests no more than its guarantee */
    bool may_preempt_top;        /* it may also stop tasks of the top priority */
    bool own_account_only;       /* it may only stop tasks of its own account */
    int64_t reserved_idle;       /* free capacity reserved at that level, 1/1000 of a server */
    uint32_t waiting_unit_count; /* units not within a guarantee tried beyond the free level */
    /* `preemptible` of the servers is up to date for units with these properties. */
    bool preemptible_valid;
    uint32_t preemptible_priority;
    bool preemptible_top;
    const struct ms_batch_account *preemptible_account; /* OWN_ACCOUNT_ONLY, else NULL */
    struct ms_level_outcomes outcomes;                  /* of the current unit, for its log line */
    struct ms_explained_steps explained;
    struct ms_failed_fits failed_fits;
    GPtrArray *blocked_gangs;   /* struct ms_batch_step whose active members keep it waiting */
    GHashTable *cap_candidates; /* engine_cap.c: account -> tasks to preempt; NULL: none yet */
};

/* Accelerators of an account's jobs of the top priority. */
struct ms_account_usage {
    int64_t guaranteed;
    int64_t requested; /* by jobs that have not ended */
    int64_t allocated; /* to its tasks */
};

/* engine_collect.c */

/* Resets the per-pass fields of all servers and collects the usable ones, also by rack. */
void ms_collect_servers(struct ms_placement_pass *pass);

/* Collects in STEPS the steps with tasks ready to be placed, in the order of the pass. */
void ms_collect_steps(struct ms_placement_pass *pass, GPtrArray *steps);

/* engine_order.c */

/* Computes missing virtual arrivals, and the relative shares, if any account has a weight. */
void ms_order_begin_pass(const struct ms_placement_pass *pass);

/* engine_capacity.c: capacity of servers, and the cost of using it. */

/* Priority of JOB's queue; UINT32_MAX (the lowest) if the policy no longer has the queue. */
uint32_t ms_batch_job_priority(const struct ms_batch_job *job);

/* Whether TASK may be stopped to place the current unit. */
bool ms_capacity_may_preempt(const struct ms_placement_pass *pass,
                             const struct ms_batch_task *task);

/*
 * Best-effort tasks and tasks with a latency target should not share a server.  Whether
 * SERVER has tasks with a latency target, if BEST_EFFORT, or else best-effort tasks.
 */
bool ms_capacity_has_conflict(const struct ms_batch_server *server, bool best_effort);

/* Resources of SERVER that are available at LEVEL, less what the pass has reserved. */
struct ms_resources ms_capacity_available(const struct ms_batch_server *server,
                                          enum ms_placement_level level);

/*
 * Whether capacity is ample for the current unit: of the servers that may run it, less than half
 * of each resource is in use, and it fits twice into what is idle.
 */
bool ms_capacity_is_ample(struct ms_placement_pass *pass);

/*
 * Whether tasks of STEP may run on SERVER at all, whatever capacity it has.  Best-effort
 * tasks would lengthen the response times of tasks with a latency target.  After a
 * preemption on the server, tasks of a lower priority than that of the preempting work
 * would only be preempted again; the idle level ignores this.
 */
bool ms_capacity_is_eligible(const struct ms_engine *engine, const struct ms_batch_step *step,
                             const struct ms_batch_server *server, enum ms_placement_level level);

/* How many tasks of the unit's step SERVER can take at LEVEL, at most LIMIT. */
uint32_t ms_capacity_max_tasks(const struct ms_placement_pass *pass,
                               const struct ms_batch_server *server, enum ms_placement_level level,
                               uint32_t limit);

/* Core-seconds of work lost if TASK, or its whole gang, is stopped, and the overhead of that. */
int64_t ms_capacity_preemption_cost(const struct ms_engine *engine,
                                    const struct ms_batch_task *task);

/* The cheapest task on SERVER to preempt, or NULL; *COST is set to its preemption cost. */
struct ms_batch_task *ms_capacity_cheapest_preemptible(const struct ms_placement_pass *pass,
                                                       const struct ms_batch_server *server,
                                                       int64_t *cost);

/*
 * Cost of placing one task of the unit on SERVER at LEVEL; lower is better.  Its unit
 * depends on the level: free capacity of the server (free, releasing), core-seconds of
 * lost work (preempt), or milliseconds until the server's tasks have ended (reserve).
 */
int64_t ms_capacity_cost(const struct ms_placement_pass *pass, const struct ms_batch_server *server,
                         enum ms_placement_level level);

/* Free capacity of SERVER, in thousandths, that the plan would leave idle by reserving it. */
int64_t ms_capacity_reserved_idle(const struct ms_placement_pass *pass,
                                  const struct ms_batch_server *server);

#define MS_NO_RESTRICTION UINT32_MAX

/*
 * Stops TASK, or its whole gang, for more urgent work; REASON is logged.  The resources of runs
 * whose servers answer count as being released from now on.  When they have ended, their servers
 * take no work of a lower priority than RESTRICT_TO for a while, unless that is
 * MS_NO_RESTRICTION.
 */
void ms_capacity_preempt(struct ms_engine *engine, struct ms_batch_task *task, const char *reason,
                         uint32_t restrict_to);

/* Updates `preemptible` of all servers for units like the current one. */
void ms_capacity_update_preemptible(struct ms_placement_pass *pass);

/* engine_plan.c */

/*
 * Chooses servers for the current unit and sets `planned_task_count` of each server.  At the
 * free level the plan may contain only some tasks of a unit that is not a gang.  Returns the
 * plan's score (costs and penalties; lower is better), or MS_NO_PLAN if the unit does not fit
 * at LEVEL.  The engine's `plan_cost` is set to the costs alone.
 */
int64_t ms_plan_unit(struct ms_placement_pass *pass, enum ms_placement_level level);

/* Whether the current unit still has to wait for capacity in one rack. */
bool ms_plan_is_bound_to_rack(const struct ms_placement_pass *pass);

/* engine_place.c */

/* Starts the first COUNT tasks of the current unit, each on its item of SERVERS. */
void ms_place_start(struct ms_placement_pass *pass, struct ms_batch_server *const *servers,
                    uint32_t count);

/* How many tasks of UNIT the order backlog allows to start: all or none of a gang. */
uint32_t ms_place_orderable_count(const struct ms_placement_pass *pass, const struct ms_unit *unit);

/* engine_return.c */

/*
 * Starts UNIT, some of whose earlier starts may still be carried out, on the servers that it had,
 * if they have room; else it waits, without a reservation.
 */
void ms_place_return_unit(struct ms_placement_pass *pass, const struct ms_unit *unit);

/* engine_fit.c */

/* Whether a unit that needs no more than the current one failed TEST in this pass, in SCOPE. */
bool ms_fit_has_failed(const struct ms_placement_pass *pass, enum ms_fit_test test,
                       enum ms_fit_scope scope);

/* The current unit has failed TEST in SCOPE. */
void ms_fit_note_failed(struct ms_placement_pass *pass, enum ms_fit_test test,
                        enum ms_fit_scope scope);

/* Capacity may have grown: units are tried again. */
void ms_fit_forget(struct ms_placement_pass *pass);

#endif
