/*
 * simulator.h - deterministic simulator of the surroundings of the decision core (src/core).
 *
 * It simulates the backend servers with their leases and fencing tokens, the
 * run tokens of the log, and the hosts that submit jobs, for one or more data
 * centres.  All random choices come from one seeded generator, so a seed always
 * gives the same events.  The simulator records what ran on the servers and checks
 * it against the guarantees of the scheduler (the invariants).  It works at
 * the interface of the decision core: daemons, the network between hosts and
 * task processes are not simulated.
 *
 * All times are milliseconds of the simulated clock, which starts at 0.
 */
#ifndef MS_SIMULATOR_H
#define MS_SIMULATOR_H

#include <stdio.h>

#include <glib.h>

#include "mustardspread/mustardspread.h"

#define SIM_DCS_MAX 4
#define SIM_LEASE_MS 3000          /* a task ends this long after its lease was last renewed */
#define SIM_SERVER_TIMEOUT_MS 2000 /* an unresponsive server counts as lost after this time */
#define SIM_LEASE_RENEW_MS 500     /* between renewals of a lease */

/* The scheduler under test. */
enum sim_scheduler { SIM_SCHEDULER_CORE = 0, SIM_SCHEDULER_REFERENCE };

struct sim_options {
    uint32_t seed;
    enum sim_scheduler scheduler;
    unsigned int dc_count;
    unsigned int servers_per_dc;
    unsigned int servers_per_rack;
    uint32_t slots_per_server; /* tasks that can run at the same time */
    uint32_t accels_per_server;
    double loss_probability;      /* of each order to and each answer of a server */
    double duplicate_probability; /* that a message is delivered twice */
    int64_t max_delay_ms;         /* of a message; messages may overtake each other */
    bool check_invariants;        /* of the decision core, after every step */
    FILE *trace_file;             /* gets the events of data centre trace_dc, or NULL */
    unsigned int trace_dc;        /* index of a data centre */
};

/* A job and the record of its execution, filled in by the simulator. */
struct sim_job {
    char id[MS_ID_MAX];
    struct ms_job_spec spec;
    int64_t run_time_ms;     /* real run time of each task */
    bool always_fails;       /* its tasks fail on every server */
    bool uses_guarantee;     /* set by the test: fits an unused guarantee of its account */
    unsigned int dc;         /* data centre that has it now */
    uint32_t refused_by_dcs; /* bit mask of data centres that ended it as out of service */
    int64_t submitted_at;
    int64_t started_at;                /* when all members of an attempt first ran, -1: never */
    int64_t ended_at;                  /* time of its outcome, -1: none yet */
    unsigned int outcome_count;        /* outcomes received from schedulers */
    unsigned int outcome_dc;           /* data centre whose leader emitted the outcome */
    unsigned int outcome_leader_epoch; /* epoch of that leader */
    enum ms_outcome_code code;
    enum ms_ran ran;
    uint32_t start_counts[MS_GANG_MAX]; /* of each member, over all attempts */
    int64_t progress_ms[MS_GANG_MAX];   /* of each member, at its last checkpoint */
    uint32_t running_count;             /* members that run now */
    uint32_t running_attempt;           /* attempt of the task that started last */
    int64_t partial_since; /* since when only part of the gang runs, -1: all or none run */
    bool attempt_failed;   /* unused */
    int token_dc;          /* data centre that has its run token, -1: none */
    unsigned int token_leader_epoch; /* epoch of the leader that requested the token */
};

struct simulator;

struct simulator *sim_new(const struct sim_options *options);
void sim_free(struct simulator *sim);

/*
 * The functions below schedule an event of the scenario at time AT.  DC and
 * SERVER are indexes; the returned job belongs to the simulator.
 */
struct sim_job *sim_submit_job(struct simulator *sim, int64_t at, unsigned int dc,
                               const struct ms_job_spec *spec, int64_t run_time_ms);
void sim_cancel_job(struct simulator *sim, int64_t at, const char *id);
void sim_set_rule(struct simulator *sim, int64_t at, const struct ms_rule *rule);
/* The leader and a server cannot reach each other from AT to UNTIL. */
void sim_disconnect_server(struct simulator *sim, int64_t at, int64_t until, unsigned int dc,
                           unsigned int server);
/* A server restarts at once and loses all its tasks. */
void sim_restart_server(struct simulator *sim, int64_t at, unsigned int dc, unsigned int server);
/* All tasks that a server starts between AT and UNTIL fail. */
void sim_fail_tasks(struct simulator *sim, int64_t at, int64_t until, unsigned int dc,
                    unsigned int server);
/* Between AT and UNTIL no run token can be requested. */
void sim_log_outage(struct simulator *sim, int64_t at, int64_t until);
/* Another host becomes leader of DC; the state of the old scheduler is lost. */
void sim_change_leader(struct simulator *sim, int64_t at, unsigned int dc);
/* A server finishes its tasks and takes no new ones. */
void sim_server_leaving(struct simulator *sim, int64_t at, unsigned int dc, unsigned int server);
/* DC is out of service from AT to UNTIL; its servers are disconnected after GRACE_MS. */
void sim_dc_outage(struct simulator *sim, int64_t at, int64_t until, unsigned int dc,
                   int64_t grace_ms);

/* Runs until simulated time UNTIL, or until an invariant is violated. */
void sim_run(struct simulator *sim, int64_t until);

/* The first violated invariant, or NULL; and the number of events handled so far. */
const char *sim_violation(const struct simulator *sim);
uint64_t sim_event_count(const struct simulator *sim);

/* Writes why JOB waits, as explained by the scheduler that has it. */
void sim_explain(const struct simulator *sim, const struct sim_job *job, char *text, size_t size);

GPtrArray *sim_jobs(const struct simulator *sim); /* struct sim_job */

/* Accelerator-milliseconds between two times of tasks that succeeded or were checkpointed. */
double sim_useful_accel_ms(const struct simulator *sim, int64_t from, int64_t to);

/*
 * Mean share of the available accelerators that the largest waiting job cannot
 * use, sampled once a simulated second while such a job waits.
 */
double sim_mean_fragmentation(const struct simulator *sim);

/* Steps of the schedulers: their count, and the p99 and maximum of their real time in us. */
void sim_step_times(const struct simulator *sim, size_t *count, double *p99, double *max);

/* A random number from FROM to BELOW - 1, from the seeded generator. */
int sim_random(struct simulator *sim, int from, int below);

#endif
