/*
 * server_types.h - what the engine learns about backend servers: their directory entries,
 * their answers to orders and their reports of runs.
 */
#ifndef MS_BATCH_SERVER_TYPES_H
#define MS_BATCH_SERVER_TYPES_H

#include "batch/job_spec.h"

#define MS_LABELS_MAX 16         /* labels of one server */
#define MS_SERVER_ADDRESS_MAX 64 /* bytes of "IP:PORT", with its NUL */

/*
 * One entry of the directory of backend servers.  Each start of a server under the
 * same id is another incarnation, told apart by `start_unix_ms`.
 */
struct ms_directory_entry {
    char id[MS_NAME_MAX];
    int64_t start_unix_ms; /* Unix ms of the start of this incarnation, 0: unknown */
    char address[MS_SERVER_ADDRESS_MAX];
    char dc[MS_NAME_MAX];
    char service[MS_NAME_MAX];
    bool draining;               /* takes no new work and shuts down later */
    int64_t shutdown_in_ms;      /* DRAINING: minimum time until it shuts down, 0: unknown */
    int64_t warmup_remaining_ms; /* remaining warm-up time, in which it is slow */
    int64_t clock_ms;            /* reading of the server's own clock */
    struct ms_resources capacity;
    char labels[MS_LABELS_MAX][MS_NAME_MAX];
    size_t label_count;
    char rack[MS_NAME_MAX]; /* "" when unknown */
};

/* How a run ended, as reported by its server. */
enum ms_run_end {
    MS_RUN_END_DONE = 0,
    MS_RUN_END_FAILED,          /* the cause may be the task or the server */
    MS_RUN_END_STOPPED,         /* by a stop order */
    MS_RUN_END_LEASE_EXPIRED,   /* the server's lease expired */
    MS_RUN_END_GANG_BROKEN,     /* another member of the gang ended */
    MS_RUN_END_GANG_INCOMPLETE, /* the other members of the gang did not start in time */
};

/* The name of HOW in log lines. */
const char *ms_run_end_name(enum ms_run_end how);

/* A run in progress. */
struct ms_reported_run {
    char task[MS_TASK_NAME_MAX];
    uint32_t run;
    char checkpoint[MS_CHECKPOINT_MAX];
    uint32_t percent; /* progress */
};

/* A run that has ended.  Its server keeps it until the end is acknowledged. */
struct ms_reported_end {
    uint64_t position; /* sequence number of the end within the server's incarnation */
    char task[MS_TASK_NAME_MAX];
    uint32_t run;
    enum ms_run_end end;
    char checkpoint[MS_CHECKPOINT_MAX];
};

/* Outcome of an order or of a lease renewal. */
enum ms_order_result {
    MS_ORDER_OK = 0,
    MS_ORDER_NO_ANSWER,         /* it may have been carried out, or still may be */
    MS_ORDER_FENCED,            /* the server has seen a higher fence: a newer leader exists */
    MS_ORDER_STALE_RUN,         /* that run, or a later one, was stopped or has ended there */
    MS_ORDER_DEADLINE_PASSED,   /* its lease deadline had passed on arrival */
    MS_ORDER_NO_CAPACITY,       /* the server's available capacity is too small */
    MS_ORDER_INVALID_TICKET,    /* advised queue: the ticket is invalid or has expired */
    MS_ORDER_UNAVAILABLE,       /* the server accepts no orders now; this one had no effect */
    MS_ORDER_OTHER_INCARNATION, /* another incarnation of the server answered */
    MS_ORDER_REJECTED,          /* any other refusal */
    MS_ORDER_WITHDRAWN,         /* it was withdrawn before it was sent */
};

/* The name of RESULT in log lines. */
const char *ms_order_result_name(enum ms_order_result result);

/* Why a server may not be given tasks; the first reason that applies. */
enum ms_server_exclusion {
    MS_SERVER_USABLE = 0,   /* it may be given tasks */
    MS_SERVER_UNLISTED,     /* the directory does not contain it */
    MS_SERVER_UNFENCED,     /* it has not yet confirmed the fence of this leader */
    MS_SERVER_UNRESPONSIVE, /* its last call had no answer */
    MS_SERVER_DRAINING,     /* it will shut down */
    MS_SERVER_UNKNOWN_RUNS, /* it has runs that no record allows */
    MS_SERVER_LEASE_FROZEN, /* its lease may not be extended now, see engine_lease.c */
    MS_SERVER_QUARANTINED,  /* too many jobs have failed on it */
    MS_SERVER_DC_OUT,       /* its data centre is out of service */
    MS_SERVER_EXCLUSION_COUNT
};

/* The name of EXCLUSION in log lines. */
const char *ms_server_exclusion_name(enum ms_server_exclusion exclusion);

#define MS_TICKET_MAX 128 /* bytes of a ticket, with its NUL */

/* A server that may run the tasks of a step according to the advice service. */
struct ms_advised_server {
    char server_id[MS_NAME_MAX];
    char ticket[MS_TICKET_MAX]; /* sent with each start of such a task on this server */
};

/* A server's answer to a lease renewal: its runs and the ends not yet acknowledged. */
struct ms_server_report {
    int64_t start_unix_ms; /* Unix ms of the incarnation's start, 0: unknown */
    int64_t clock_ms;      /* reading of the server's own clock */
    struct ms_reported_run *running;
    size_t running_count;
    struct ms_reported_end *ended;
    size_t ended_count;
};

/* Frees REPORT and its rows; NULL is allowed. */
void ms_server_report_free(struct ms_server_report *report);

#endif
