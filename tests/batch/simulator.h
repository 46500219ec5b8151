/*
 * simulator.h - deterministic simulator of the surroundings of the engine (src/batch): backend
 * servers, the log and the network.
 *
 * The simulator records every run itself and checks the engine's orders against
 * these records; simulator_violation() returns the first violated invariant.  The clock
 * is simulated, and all random numbers derive from one seed.
 */
#ifndef MS_TEST_BATCH_SIMULATOR_H
#define MS_TEST_BATCH_SIMULATOR_H

#include <stdio.h>

#include "batch/engine.h"

#define SIMULATOR_SERVERS_MAX 48
#define SIMULATOR_TEXT_MAX 256 /* bytes of the text of a violation, with its NUL */

/*
 * Probabilities of faults, in per mille.  Those of orders, answers and runs apply to each of
 * them, server_*, run_stall and directory_expiry to each server every 100 ms, the others every
 * 100 ms.
 */
struct simulator_faults {
    int answer_loss;       /* an order is carried out, but its answer is lost */
    int order_loss;        /* an order is never carried out */
    int order_delay;       /* an order gets no answer and is carried out 2 to 12 s later */
    int server_restart;    /* a server restarts under the same id and loses its state */
    int server_disconnect; /* a server is unreachable for 1 to 6 s */
    int leader_change;     /* the engine is lost; later the engine of a new leader starts */
    int log_outage;        /* the log stores nothing for 1 to 4 s */
    int run_failure;       /* a run ends as failed */
    int job_cancellation;  /* a random job is cancelled */
    int server_drain;      /* a server drains, then shuts down for good */
    int server_loss;       /* a server disappears for good without draining */
    int server_silence;    /* a server carries out orders for 1 to 15 s, but no answer arrives */
    int run_stall;         /* the runs on a server make no progress for 1 to 6 s */
    /* A server is unreachable until its directory entry has expired; both return later. */
    int directory_expiry;
    int leader_change_series; /* the leader is lost two to four times within 12 s */
    int gang_server_loss;     /* a server that runs a member of a gang disappears for good */
    int gang_stall;           /* the runs on such a server make no progress for 1 to 6 s */
    int start_wait;           /* a start waits for up to 6 s before it is sent */
    /*
     * A start goes to a server that has mostly restarted unseen and is cut off after it for 11 to
     * 21 s, in both directions or one; the leader resigns or is lost within 2 s.
     */
    int struck_start;
};

/*
 * Capacity in which the tasks of a job have to fit twice over before the job counts as able
 * to run; see simulator_set_liveness().
 */
enum simulator_liveness {
    SIMULATOR_LIVENESS_UNCHECKED = 0,
    SIMULATOR_LIVENESS_FREE,        /* what no run uses */
    SIMULATOR_LIVENESS_PREEMPTIBLE, /* that, and what runs of a lower priority use */
};

struct simulator;

/* How fast runs are.  All zero: a single task takes 500 to 3,000 ms, a gang 1,500 ms. */
struct simulator_speeds {
    bool weigh_slow_stops; /* limits.weigh_slow_stops of the engine */
    /* Run time of a task, of a gang that of its first task, on a server of the speed 1. */
    int64_t (*run_ms)(void *opaque, const char *task);
    void *opaque;
};

/*
 * Creates a simulator with an engine and SERVERS (at most SIMULATOR_SERVERS_MAX) backend
 * servers with 8 accelerators each.  A trace is written to TRACE unless it is NULL.
 */
struct simulator *simulator_new(uint64_t seed, size_t servers,
                                const struct simulator_faults *faults, FILE *trace);
/* The same, with SPEEDS. */
struct simulator *simulator_new_with_speeds(uint64_t seed, size_t servers,
                                            const struct simulator_faults *faults,
                                            const struct simulator_speeds *speeds, FILE *trace);
void simulator_free(struct simulator *simulator);

/* Gives an account of the policy a weight; one that the policy does not have is added. */
void simulator_set_weight(struct simulator *simulator, const char *account, uint32_t weight);

/* Stores a job without delay.  Takes ownership of what SPEC owns and sets SPEC to zero. */
void simulator_submit_job(struct simulator *simulator, struct ms_batch_spec *spec);

/* Stores the cancellation of a job without delay. */
void simulator_cancel_job(struct simulator *simulator, const char *id);

/*
 * Checks from now on that jobs make progress.  Once all faults, and the longest wait for leases
 * after them, are over, no open job may be without a run for 3 s while a step of it is due,
 * under half of each resource is in use, and its tasks (one task, or all members of a gang)
 * fit twice over into the capacity that LIVENESS names of servers that are up, listed, not
 * draining and reachable.  Jobs of an account that uses half of its cap or more may wait.
 */
void simulator_set_liveness(struct simulator *simulator, enum simulator_liveness liveness);

/*
 * Changes the cap of ACCOUNT, "account" or "other" (a resource of 0 is no limit).  The leader
 * learns of it DELAY_MS later, at most 3 s.  From now on each start is checked against the highest
 * cap of its account in the last 4 s.
 */
void simulator_set_cap(struct simulator *simulator, const char *account, struct ms_resources cap,
                       int64_t delay_ms);

/* Resources of the runs of ACCOUNT on all servers, also on those that are unreachable. */
struct ms_resources simulator_account_usage(const struct simulator *simulator, const char *account);

/* Advances the simulated clock by MS, or until an invariant is violated. */
void simulator_run(struct simulator *simulator, int64_t ms);

/* Causes faults of other probabilities from now on. */
void simulator_set_faults(struct simulator *simulator, const struct simulator_faults *faults);

/* Causes no further faults; those in progress end as scheduled. */
void simulator_disable_faults(struct simulator *simulator);

/*
 * The same, but series of leader losses go on with probability PER_MILLE.  They do not count as
 * faults when it is checked that jobs make progress; only the time without a leader, and
 * 3 s from the start of each, are allowed for.
 */
void simulator_disable_server_faults(struct simulator *simulator, int per_mille);

/* Destroys the engine; the engine of a new leader starts after DELAY_MS. */
void simulator_change_leader(struct simulator *simulator, int64_t delay_ms);

/* Lets the leader resign; the engine of a new leader starts after DELAY_MS. */
void simulator_resign_leader(struct simulator *simulator, int64_t delay_ms);

/* Makes server INDEX unreachable for MS; its runs go on. */
void simulator_disconnect_server(struct simulator *simulator, size_t index, int64_t ms);

/* Server INDEX disappears for good without draining. */
void simulator_lose_server(struct simulator *simulator, size_t index);

/* Server INDEX restarts under its id and loses its runs. */
void simulator_restart_server(struct simulator *simulator, size_t index);

/* Loses the answers of server INDEX for MS; it still carries out orders. */
void simulator_silence_server(struct simulator *simulator, size_t index, int64_t ms);

/* Keeps the log from storing anything for MS. */
void simulator_stop_log(struct simulator *simulator, int64_t ms);

/* Keeps the runs on server INDEX from making progress for MS. */
void simulator_stall_runs(struct simulator *simulator, size_t index, int64_t ms);

/* Server INDEX has this speed, in percent of the normal one, except while it is slow. */
void simulator_set_speed(struct simulator *simulator, size_t index, int64_t percent);

/* Makes the runs on server INDEX progress FACTOR times more slowly for MS, gangs as a whole. */
void simulator_slow_server(struct simulator *simulator, size_t index, int64_t factor, int64_t ms);

/* Calls CALLBACK for each line that the engine logs; overrides the trace of these. */
void simulator_set_log(struct simulator *simulator, void (*line)(void *opaque, const char *text),
                       void *opaque);

/*
 * Makes server INDEX drain and unreachable for MS, and removes it from the directory,
 * as happens when its entry expires.
 */
void simulator_drain_and_unlist_server(struct simulator *simulator, size_t index, int64_t ms);

/* Adds server INDEX to the directory again. */
void simulator_relist_server(struct simulator *simulator, size_t index);

/* The number of servers in service: up, listed, not draining and reachable. */
uint32_t simulator_count_usable_servers(const struct simulator *simulator);

/* The first violated invariant with the task and the time, or "". */
const char *simulator_violation(const struct simulator *simulator);

/* The phase of a job according to the log; MS_PHASE_OPEN if no such job was stored. */
enum ms_phase simulator_job_phase(const struct simulator *simulator, const char *id);

/* Totals since the simulator was created; done, failed and stopped count ended runs. */
struct simulator_counts {
    uint32_t starts; /* runs started */
    uint32_t done;
    uint32_t failed;
    uint32_t stopped;
    int64_t stopped_core_ms; /* work of the stopped runs */
    uint32_t leader_changes;
    uint32_t resignations;  /* of these */
    uint32_t struck_starts; /* faults of this name */
    uint32_t states_stored; /* records that the engine has stored */
    int64_t idle_ms_max;    /* the longest time that a job could run and did not, if checked */
};

void simulator_counts(const struct simulator *simulator, struct simulator_counts *counts);

/* These fill SPEC with a random job "jobNUMBER", for simulator_submit_job(). */
/* Of one or two steps. */
void simulator_random_spec(uint64_t *random_state, uint32_t job_number, struct ms_batch_spec *spec);
/* One step of 1 to COUNT_MAX small single tasks, in the queue of the lowest priority. */
void simulator_small_tasks_spec(uint64_t *random_state, uint32_t job_number, uint32_t count_max,
                                struct ms_batch_spec *spec);

/* Fills SPEC with a gang of WIDTH tasks that each need over half of a server's memory. */
void simulator_wide_gang_spec(uint32_t job_number, uint32_t priority, uint32_t width,
                              struct ms_batch_spec *spec);

/* The next pseudo-random number, 0 to BELOW - 1; STATE must not be 0. */
uint32_t simulator_random(uint64_t *state, uint32_t below);

#endif
