/*
 * engine.h - scheduler of stored jobs: decides which backend server runs which task.
 *
 * The engine runs on the leader, the one entry host that has claimed the current
 * epoch.  Like the decision core of one data centre (mustardspread.h) it does no I/O
 * and reads no clock: the caller reports events with the current time and carries out
 * the actions that the engine queues.  Times are milliseconds of a clock that keeps
 * counting while the host is suspended.
 *
 * To start a run, the engine first stores the run in the log, then orders the server
 * to start it, and repeats the order until the server answers.  When a run ends, the
 * engine first stores the end, then acknowledges it, after which the server may
 * forget it.  A new leader therefore finds in the log every run that may
 * exist and every end that a server may have forgotten.
 *
 * An order may wait long before it is sent, as few are sent to one server at a time.  The
 * engine withdraws a start whose run is no longer wanted, or no longer allowed: if it has
 * not been sent, it never is, and its answer is MS_ORDER_WITHDRAWN.
 *
 * A server that restarts under the same id has lost the fence it had seen, so a
 * delayed order to its previous incarnation would be carried out.  Orders therefore
 * carry a fence made of the epoch and a number that rises with each incarnation of the
 * server seen in it; once the server has seen the new fence it refuses orders with an
 * older one.  The number also rises with a start that follows a renewal with an
 * acknowledgement: a late copy of that renewal could otherwise acknowledge the end of
 * the start's run at an incarnation that is not known yet.
 */
#ifndef MS_BATCH_ENGINE_H
#define MS_BATCH_ENGINE_H

#include <glib.h>

#include "batch/advice_pacing.h"
#include "batch/policy.h"
#include "batch/server_types.h"
#include "batch/job_table.h"

/* Time limits; ms_engine_limits_defaults() fills in the defaults. */
struct ms_engine_limits {
    int64_t lease_ms;           /* lease that we request, on the server's clock */
    int64_t lease_max_ms;       /* the longest lease that a server grants */
    int64_t gang_start_ms;      /* time for all members of a gang to start; else it is stopped */
    int64_t stop_grace_ms;      /* maximum time that stopping a run takes */
    int64_t start_early_ms;     /* occurrences may start this long before they are due */
    int64_t ended_retention_ms; /* how long the states of ended jobs stay in the log */
    /*
     * Whether the gain of a stop on a slow server is weighed against the lost work
     * (engine_speed.c); else runs are only compared with their siblings (engine_health.c).
     */
    bool weigh_slow_stops;
};

enum ms_engine_action_kind {
    MS_ENGINE_START = 0,    /* order the server to start a run */
    MS_ENGINE_STOP,         /* order the server to stop a run */
    MS_ENGINE_WITHDRAW,     /* do not send the START of a run if it is unsent; has no answer */
    MS_ENGINE_RENEW_LEASE,  /* renew the server's lease; the answer reports its runs */
    MS_ENGINE_QUERY_ADVICE, /* ask the advice service which `candidates` may run step `task` */
    MS_ENGINE_STORE,        /* store `records`, then call ms_engine_on_stored() */
    MS_ENGINE_STEP_DOWN,    /* stop placing, for `reason`: a further epoch exists or is needed */
};

/* A record to store in the log; a NULL value removes the key. */
struct ms_store_record {
    char key[MS_KEYED_LOG_KEY_MAX];
    GBytes *value;
};

/* An action for the caller to carry out.  It owns all that it points to. */
struct ms_engine_action {
    enum ms_engine_action_kind kind;
    const char *reason; /* STEP_DOWN: a word for the log, not owned */
    uint64_t epoch;     /* of the engine, which ignores answers to actions of other epochs */
    char server[MS_NAME_MAX];
    char address[MS_SERVER_ADDRESS_MAX]; /* START, STOP, RENEW_LEASE: of the server */
    /* Incarnation of the server, counted by the engine, which ignores answers to earlier ones. */
    uint32_t incarnation;
    int64_t clock_min_ms; /* a lower clock in the answer: the server has started again */
    uint64_t fence;       /* rises with the epoch, and within it as said above */
    /* START, STOP, WITHDRAW: name of the task; QUERY_ADVICE: of the step. */
    char task[MS_TASK_NAME_MAX];
    uint32_t run;                       /* START, STOP, WITHDRAW: number of the run of the task */
    char *payload;                      /* START: payload of the job */
    char checkpoint[MS_CHECKPOINT_MAX]; /* START: where to resume, or "" */
    char ticket[MS_TICKET_MAX];         /* START on an advised queue, else "" */
    GPtrArray *candidates;              /* QUERY_ADVICE: ids of servers */
    struct ms_advice_call advice_call;  /* QUERY_ADVICE */
    /* START, RENEW_LEASE: end of the lease on the server's clock; 0: the lease is not extended. */
    int64_t deadline_ms;
    uint64_t ack_position; /* RENEW_LEASE: last acknowledged end of a run */
    int64_t queued_at;     /* START, STOP, QUERY_ADVICE: when the engine queued it */
    uint32_t orders_ahead; /* START, STOP: orders that were unanswered then */
    int64_t queue_wait_ms; /* START: from when the task was ready until it was placed */
    /* RENEW_LEASE: how long the server may wait for a run to end before it answers. */
    int64_t long_poll_ms;
    bool server_has_tasks; /* RENEW_LEASE: tasks are assigned to the server */
    GPtrArray *records;    /* STORE: ms_store_record */
};

/* Time limits of calls to servers: one without an answer is not sent any more after that. */
#define MS_ORDER_TIMEOUT_MS 1000         /* START, STOP */
#define MS_RENEWAL_TIMEOUT_MS 1000       /* RENEW_LEASE, beyond `long_poll_ms` */
#define MS_RENEWAL_LONG_POLL_MAX_MS 1500 /* highest `long_poll_ms` */
/* By how much later the server may still carry out a START or STOP; see docs/PLATFORM.md. */
#define MS_ORDER_LATE_MS 12000

struct ms_engine;

void ms_engine_limits_defaults(struct ms_engine_limits *limits);

/*
 * Creates the engine of the leader of EPOCH.  Until EARLIER_LEASES_UNTIL, runs ordered by an
 * earlier leader may still be active on servers that have not answered yet, under leases of
 * limits.lease_ms; for starts that the log does not say to be confirmed, the engine waits longer.
 */
struct ms_engine *ms_engine_new(const struct ms_engine_limits *limits, uint64_t epoch,
                                int64_t earlier_leases_until, int64_t now);
void ms_engine_free(struct ms_engine *engine);

/* Sets the policy.  The caller owns POLICY and sets another one before freeing it. */
void ms_engine_set_policy(struct ms_engine *engine, const struct ms_policy *policy);

/* Sets the data centres that are out of service: a set of names, owned by the caller. */
void ms_engine_set_dcs_out(struct ms_engine *engine, GHashTable *dcs);

/*
 * Adds the job STORED, with its state if the log has one; a job that is already known
 * or not yet accepted is ignored.  The engine keeps a pointer to the spec, which has
 * to stay valid until the job's record is removed from the log.
 */
void ms_engine_add_job(struct ms_engine *engine, const struct ms_stored_job *stored, int64_t now);
/* Cancels job ID: stops its runs and places no more of its tasks. */
void ms_engine_cancel_job(struct ms_engine *engine, const char *id, int64_t now);

/* Adds a server, or updates it, from its directory entry. */
void ms_engine_update_server(struct ms_engine *engine, const struct ms_directory_entry *entry,
                             int64_t now);
/* Reports that the directory no longer lists server ID.  It gets no more tasks. */
void ms_engine_unlist_server(struct ms_engine *engine, const char *id, int64_t now);

/*
 * Starts a snapshot of the directory.  The caller passes every entry to
 * ms_engine_update_server(), then calls ms_engine_end_directory_snapshot(), which unlists the
 * servers that the snapshot does not contain.
 */
void ms_engine_begin_directory_snapshot(struct ms_engine *engine);
void ms_engine_end_directory_snapshot(struct ms_engine *engine, int64_t now);

/*
 * The answers to actions may also arrive in a later term of the same host: an engine ignores
 * those to actions of another epoch.
 */

/*
 * Reports the answer to the START or STOP in ORDER.  CLOCK_MS is the server's clock,
 * 0 when unknown.
 */
void ms_engine_on_order_answer(struct ms_engine *engine, const struct ms_engine_action *order,
                               enum ms_order_result result, int64_t clock_ms, int64_t now);

/*
 * Reports the answer to the RENEW_LEASE in RENEWAL, which was sent at SENT_AT.  REPORT is NULL
 * when the answer has none.
 */
void ms_engine_on_renewal_answer(struct ms_engine *engine, const struct ms_engine_action *renewal,
                                 enum ms_order_result result, const struct ms_server_report *report,
                                 int64_t sent_at, int64_t now);

/*
 * Reports the answer to the QUERY_ADVICE in QUERY.  ROWS (struct ms_advised_server) lists the
 * servers that may run the step; NULL when there was no answer.
 */
void ms_engine_on_advice_answer(struct ms_engine *engine, const struct ms_engine_action *query,
                                const GArray *rows, int64_t now);

/* Reports that the log has stored the records of the last STORE. */
void ms_engine_on_stored(struct ms_engine *engine, int64_t now);

/* Runs due timers and places waiting tasks; UNIX_MS is the time of day. */
void ms_engine_tick(struct ms_engine *engine, int64_t now, int64_t unix_ms);

/* The time at which ms_engine_tick() should be called next. */
int64_t ms_engine_next_tick(const struct ms_engine *engine);

/* Removes and returns the oldest action, or NULL; freed with ms_engine_action_free(). */
struct ms_engine_action *ms_engine_pop_action(struct ms_engine *engine);
void ms_engine_action_free(struct ms_engine_action *action);

struct ms_engine_stats {
    uint32_t jobs;
    uint32_t tasks_active; /* tasks assigned to a server */
    uint32_t servers;
    uint32_t servers_usable; /* servers that may be given tasks */
    /* Known servers by ms_server_exclusion; the unlisted ones include those gone for good. */
    uint32_t servers_by_exclusion[MS_SERVER_EXCLUSION_COUNT];
    /* Gangs, and groups of single tasks of one step, that the last pass did not place in full. */
    uint32_t units_waiting;
    /* Of these, those of accounts above their share, or ahead of their rate. */
    uint32_t units_over_share;
    int64_t longest_wait_ms; /* longest time for which a step with waiting tasks got none placed */
    uint32_t orders_unanswered; /* starts and stops that were queued and have no answer yet */
    int64_t oldest_order_ms;    /* age of the oldest of them that a task waits for, 0: none */
    uint32_t orders_held_total; /* passes that held back starts because orders were behind */
    uint32_t advice_asked;      /* calls to the advice service in this term */
    uint32_t advice_answered;   /* of these: answered */
    uint32_t advice_given_up;   /* of these: given up by their time limit */
    int64_t advice_took_ms;     /* time of the last one that was answered */
};

void ms_engine_stats(const struct ms_engine *engine, struct ms_engine_stats *stats);

/*
 * The accounts that the engine knows (struct ms_batch_account); the caller releases the array, not
 * the accounts, which are valid until the next call of the engine.
 */
GPtrArray *ms_engine_accounts(const struct ms_engine *engine);

/* Sets the callback that gets a line of key=value pairs for each logged event. */
void ms_engine_set_log(struct ms_engine *engine, void (*line)(void *opaque, const char *text),
                       void *opaque);

#endif
