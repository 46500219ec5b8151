/*
 * mustardspread.h - the public interface of libmustardspread.
 *
 * This header is the manual of the library.  It covers the decision core of
 * one data centre: a step function that takes one event and the current time
 * and returns the actions that the embedder has to carry out.  The core does
 * no I/O, reads no clock, starts no thread and uses no random numbers, so the
 * same events at the same times always give the same actions.
 *
 * Typical use:
 *
 *     struct ms_sched *sched = ms_sched_new("dc-1", NULL, NULL);
 *     struct ms_event event = {.kind = MS_EVENT_TICK};
 *     ms_sched_step(sched, &event, now_ms);
 *     for (size_t i = 0; i < ms_sched_action_count(sched); i++)
 *         carry_out(ms_sched_action(sched, i));
 *     ms_sched_free(sched);
 *
 * Times are in milliseconds and come from one monotonic clock of the
 * embedder's choice.  Strings are NUL-terminated UTF-8.  The library copies
 * everything that it keeps from an event.  Pointers inside an action belong to
 * the library and stay valid until the next call of ms_sched_step() or
 * ms_sched_free() on the same scheduler.  A scheduler is not thread-safe;
 * different schedulers can be used by different threads at the same time.
 *
 * A job is preemptible if it is idempotent or checkpointable.  Its tasks may be
 * stopped for an urgent job, for a job that its account's guarantee covers, or,
 * if it is checkpointable, for a gang that has waited long.  It runs again or
 * resumes later.
 */
#ifndef MUSTARDSPREAD_H
#define MUSTARDSPREAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define MS_VERSION "0.1.0"

/* Sizes of buffers and largest values. */
#define MS_NAME_MAX 64                       /* bytes of a name, including the NUL */
#define MS_KEY_MAX 96                        /* bytes of a request key, including the NUL */
#define MS_ID_MAX (MS_NAME_MAX + MS_KEY_MAX) /* bytes of a job id, "account/key" */
#define MS_DETAIL_MAX 160                    /* bytes of an explanation, including the NUL */
#define MS_GANG_MAX 128                      /* tasks of one job (its gang) */
#define MS_ACCELS_MAX 64                     /* accelerators of one task */
#define MS_PAYLOAD_MAX (1 << 20)             /* bytes of a job's payload */
#define MS_OUTPUT_MAX (8 << 20)              /* bytes of a job's output */

/* Return codes of every function that can fail: 0 or a negative value. */
enum ms_result {
    MS_OK = 0,
    MS_E_NOMEM = -1,    /* an allocation failed; the state is unchanged */
    MS_E_INVALID = -2,  /* an argument or an input text is malformed */
    MS_E_FULL = -3,     /* a documented limit is reached */
    MS_E_NOTFOUND = -4, /* no such item */
    MS_E_CONFLICT = -5, /* conflicts with the present state or another change */
    MS_E_IO = -6,       /* the operating system or another host failed */
};

/* Describes a return code in English.  The string is static. */
const char *ms_result_name(enum ms_result result);

/* How close together the tasks of one job have to run. */
enum ms_adjacency {
    MS_ADJACENT_DC = 0, /* anywhere in one data centre */
    MS_ADJACENT_RACK,   /* all in one rack */
    MS_ADJACENT_SERVER, /* all on one backend server */
};

/* Priority class of a job within its client account; the lowest value is served first. */
enum ms_class {
    MS_CLASS_URGENT = 0, /* may preempt preemptible work of other classes */
    MS_CLASS_NORMAL,
    MS_CLASS_BATCH, /* served last */
};

/* Whether the work of a job has run. */
enum ms_ran {
    MS_RAN_NO = 0,  /* no task has started, and none will */
    MS_RAN_YES,     /* at least one task was ordered to start */
    MS_RAN_UNKNOWN, /* a task may have run: contact was lost, or another leader has the token */
};

/* Final outcome of a job. */
enum ms_outcome_code {
    MS_OUTCOME_DONE = 0,     /* all tasks succeeded; the output is complete */
    MS_OUTCOME_FAILED,       /* a task failed, and the job is not tried again */
    MS_OUTCOME_CANCELLED,    /* cancelled by the caller */
    MS_OUTCOME_DEADLINE,     /* the deadline passed while it waited to start or to be retried */
    MS_OUTCOME_NEVER_FITS,   /* too large for the data centre or the account's limits */
    MS_OUTCOME_LIMIT,        /* the client account's queue is full */
    MS_OUTCOME_NO_ACCOUNT,   /* no account rule defines the client account */
    MS_OUTCOME_DC_OUT,       /* the data centre is out of service */
    MS_OUTCOME_UNAVAILABLE,  /* cannot be run at present; submit it again later */
    MS_OUTCOME_LOST_CONTACT, /* may have run; not idempotent, so not run again */
    MS_OUTCOME_DUPLICATE,    /* the run token of this key was granted to another leader */
};

/* A job as submitted by a caller. */
struct ms_job_spec {
    char account[MS_NAME_MAX];   /* client account */
    char key[MS_KEY_MAX];        /* request key, unique in the account */
    uint32_t tasks;              /* tasks of the gang, 1..MS_GANG_MAX */
    uint32_t accels;             /* accelerators of each task, 0..MS_ACCELS_MAX */
    enum ms_adjacency adjacency; /* how close together the tasks have to run */
    enum ms_class job_class;
    bool idempotent;        /* may safely run more than once; false: runs at most once,
                               except to resume from a checkpoint */
    bool checkpointable;    /* the tasks can be checkpointed and resumed */
    bool detached;          /* keeps running after the caller disconnects */
    int64_t declared_ms;    /* expected run time, only a hint; 0: unknown */
    int64_t deadline_ms;    /* latest start, on the clock of ms_sched_step(); 0: none */
    const uint8_t *payload; /* passed to every task */
    size_t payload_len;
};

enum ms_rule_kind {
    MS_RULE_ACCOUNT = 0, /* defines a client account */
    MS_RULE_GUARANTEE,   /* promises capacity to a client account */
    MS_RULE_LIMIT,       /* limits what a client account may use */
    MS_RULE_DC,          /* takes a data centre out of service or back in */
};

/*
 * One rule, as parsed from a line of the rules file.  A field after a label
 * such as GUARANTEE is used by rules of that kind only.
 */
struct ms_rule {
    enum ms_rule_kind kind;
    char name[MS_NAME_MAX];      /* of the account, guarantee or data centre */
    char account[MS_NAME_MAX];   /* GUARANTEE: its client account */
    char dc[MS_NAME_MAX];        /* GUARANTEE: its data centre */
    uint32_t share;              /* ACCOUNT: weight in the fair-share order, >= 1 */
    uint32_t tasks;              /* GUARANTEE: number of tasks (cells) */
    uint32_t accels;             /* GUARANTEE: accelerators of each task.
                                    LIMIT: most accelerators allocated, 0: no limit */
    uint32_t running;            /* LIMIT: most tasks with resources allocated, 0: no limit */
    uint32_t queued;             /* LIMIT: most waiting jobs, 0: ms_sched_limits.queue_max */
    enum ms_adjacency adjacency; /* GUARANTEE: how close together its tasks run */
    bool out_of_service;         /* DC: true when out of service */
    bool removed;                /* deletes the rule of this kind and name */
};

/* How a task ended, as reported by its backend server. */
enum ms_task_result {
    MS_TASK_OK = 0,
    MS_TASK_FAILED,        /* the program of the task failed */
    MS_TASK_STOPPED,       /* stopped on request */
    MS_TASK_CHECKPOINTED,  /* stopped on request after a checkpoint */
    MS_TASK_LEASE_EXPIRED, /* its lease expired */
    MS_TASK_NOT_STARTED,   /* it was prepared, but never started */
};

/* State of a task that a backend server reports to a new leader. */
enum ms_reported_state { MS_REPORTED_PREPARED = 0, MS_REPORTED_RUNNING, MS_REPORTED_ENDED };

/*
 * Answer to a request for a run token.  The token is a record in the log and
 * makes sure that a job that is not idempotent runs at most once.
 */
enum ms_token_answer {
    MS_TOKEN_GRANTED = 0, /* its record is the first one in the log */
    MS_TOKEN_DENIED,      /* another record for the same job came first */
    MS_TOKEN_UNAVAILABLE, /* the log cannot be reached */
};

/* Kinds of events; each comment names the member of struct ms_event that the kind uses. */
enum ms_event_kind {
    MS_EVENT_TICK = 0,       /* time passed; see ms_sched_next_tick() */
    MS_EVENT_RULE,           /* .rule: a rule was added, changed or deleted */
    MS_EVENT_SERVER_UP,      /* .server: accepts orders of this leader; its capacity */
    MS_EVENT_SERVER_LOST,    /* .server: unresponsive, or follows another leader */
    MS_EVENT_SERVER_LEAVING, /* .server: finishes its tasks and takes no new ones */
    MS_EVENT_TASK_REPORTED,  /* .task: found on a server that just came up */
    MS_EVENT_SUBMIT,         /* .submit: a new job */
    MS_EVENT_CANCEL,         /* .job: cancel it */
    MS_EVENT_QUERY_OUTCOME,  /* .job: emit its outcome again if it is still kept */
    MS_EVENT_TASK_PREPARED,  /* .task: answer to MS_OP_PREPARE */
    MS_EVENT_TASK_STARTED,   /* .task: answer to MS_OP_START or MS_OP_GO */
    MS_EVENT_TASK_REFUSED,   /* .task: the server did not admit it */
    MS_EVENT_TASK_ENDED,     /* .task: its result and output */
    MS_EVENT_USAGE,          /* .task: accelerators that it uses now (used_accels) */
    MS_EVENT_TOKEN_ANSWER,   /* .token: answer to MS_ACTION_TOKEN */
    MS_EVENT_PAUSE,          /* .pause: true: start no jobs, bind no cells; false: resume */
};

struct ms_server_event {
    char name[MS_NAME_MAX];
    char rack[MS_NAME_MAX];
    uint32_t slots;  /* tasks that can run at the same time */
    uint32_t accels; /* accelerators of the server */
    /* SERVER_UP: the server is used after this many TASK_REPORTED events. */
    uint32_t reported_task_count;
};

struct ms_task_event {
    char server[MS_NAME_MAX];
    char id[MS_ID_MAX];                    /* job id: "account/key" */
    uint32_t member_index;                 /* index of the task in its gang, from 0 */
    uint32_t attempt;                      /* copied from the action about this task */
    enum ms_task_result result;            /* TASK_ENDED; TASK_REPORTED of an ended task */
    enum ms_reported_state reported_state; /* TASK_REPORTED */
    uint32_t used_accels;                  /* USAGE */
    struct ms_job_spec spec;               /* TASK_REPORTED: without payload */
    const uint8_t *output;                 /* of the same events as result */
    size_t output_len;
};

struct ms_submit_event {
    struct ms_job_spec spec;
    bool may_have_run; /* an earlier leader may have started it */
};

struct ms_token_event {
    char id[MS_ID_MAX];
    uint32_t attempt;
    enum ms_token_answer answer;
};

struct ms_event {
    enum ms_event_kind kind;
    union {
        struct ms_rule rule;
        struct ms_server_event server;
        struct ms_task_event task;
        struct ms_submit_event submit;
        struct ms_token_event token;
        char job[MS_ID_MAX];
        bool pause;
    };
};

/* What a backend server is asked to do with a task. */
enum ms_task_op {
    MS_OP_PREPARE = 0,    /* admit and allocate the resources, do not run yet */
    MS_OP_START,          /* admit and run (gangs of one) */
    MS_OP_GO,             /* run a task that was prepared */
    MS_OP_STOP,           /* stop without a checkpoint */
    MS_OP_CHECKPOINT,     /* checkpoint, then stop */
    MS_OP_THROTTLE,       /* limit it to the accelerators that its job declares */
    MS_OP_ACK,            /* the result was received: forget the ended task */
    MS_OP_WITHHOLD_LEASE, /* stop renewing the task's lease */
    MS_OP_RENEW_LEASE,    /* renew the task's lease again */
};

enum ms_action_kind {
    MS_ACTION_TASK = 0, /* .task: send an order to a backend server */
    MS_ACTION_TOKEN,    /* .token: request a run token; answered by MS_EVENT_TOKEN_ANSWER */
    MS_ACTION_OUTCOME   /* .outcome: report the final outcome of a job */
};

struct ms_task_action {
    enum ms_task_op op;
    const char *server;
    uint32_t member_index;          /* index of the task in its gang, from 0 */
    uint32_t attempt;               /* number of the job's attempt */
    const struct ms_job_spec *spec; /* NULL in MS_OP_ACK or MS_OP_STOP of a task that is
                                       unknown or is not adopted */
};

struct ms_token_action {
    uint32_t attempt;
    const struct ms_job_spec *spec;
    const char *const *servers; /* of the tasks, in the order of the gang */
    size_t server_count;
};

struct ms_outcome_action {
    enum ms_outcome_code code;
    enum ms_ran ran;
    const char *detail; /* one English sentence */
    const char *server; /* on which the first task succeeded, "" if it did not */
    const struct ms_job_spec *spec;
    const uint8_t *output; /* of the first task */
    size_t output_len;
    int64_t queued_ms; /* from submission to the start of the last attempt */
    int64_t ran_ms;    /* from that start to the end */
};

struct ms_action {
    enum ms_action_kind kind;
    char id[MS_ID_MAX]; /* job id */
    union {
        struct ms_task_action task;
        struct ms_token_action token;
        struct ms_outcome_action outcome;
    };
};

/*
 * Times and limits of a scheduler.  ms_sched_defaults() fills in the defaults
 * of the library; a caller changes what it needs and passes the struct to
 * ms_sched_new().  checkpoint_ms, backfill_wait_ms and recent_max may be 0, the
 * others must be at least 1.  retry_max_ms must not be less than retry_base_ms,
 * and job_fail_servers and server_fail_jobs must be at most 8.
 */
struct ms_sched_limits {
    int64_t lease_ms;      /* duration of a task lease at a backend server */
    int64_t gang_start_ms; /* longest time to prepare a gang, and then to start it */
    int64_t checkpoint_ms; /* time for a checkpoint; after it, the task is stopped without one */
    int64_t retry_base_ms; /* backoff before the second attempt; then doubles */
    int64_t retry_max_ms;  /* longest backoff before another attempt */
    uint32_t attempts_max; /* a job that fails in this many attempts has failed */
    uint32_t job_fail_servers; /* a job that fails on this many distinct servers has failed */
    uint32_t server_fail_jobs; /* a server on which this many distinct jobs fail in a row is
                                  quarantined */
    int64_t quarantine_ms;     /* first quarantine of a server; doubled by each further one, up
                                  to 600 s, until a task succeeds there after it */
    int64_t backfill_wait_ms;  /* wait after which a gang gets servers reserved */
    uint32_t queue_max;        /* waiting jobs of one client account */
    uint32_t recent_max;       /* final outcomes kept to answer repeated submissions */
};

/*
 * Functions that allocate and free the memory of a scheduler's own structs;
 * GLib's containers inside it allocate for themselves.  Both are required.
 * alloc() returns NULL when memory runs out; release(NULL) must do nothing.
 */
struct ms_allocator {
    void *(*alloc)(void *opaque, size_t size);
    void (*release)(void *opaque, void *memory);
    void *opaque;
};

struct ms_sched;

/* Fills in the default of every limit. */
void ms_sched_defaults(struct ms_sched_limits *limits);

/*
 * Creates a scheduler for the data centre DC.  LIMITS may be NULL for the
 * defaults, ALLOCATOR for malloc() and free(); both are copied.  Returns NULL
 * when memory runs out or a limit is out of range.  The caller frees the
 * scheduler with ms_sched_free().
 */
struct ms_sched *ms_sched_new(const char *dc, const struct ms_sched_limits *limits,
                              const struct ms_allocator *allocator);

/* Frees the scheduler and everything it owns.  NULL is allowed. */
void ms_sched_free(struct ms_sched *sched);

/*
 * Applies one event at the time NOW (milliseconds).  When NOW is less than in
 * an earlier call, the earlier time is used.  Returns MS_OK, MS_E_INVALID for a
 * malformed event, MS_E_CONFLICT for a MS_EVENT_TASK_REPORTED of a server that
 * expects none, or MS_E_NOMEM.  In every case but MS_OK the event has no effect
 * and there are no actions.  When memory runs out after the state has begun to
 * change, the process is aborted with g_error().
 */
enum ms_result ms_sched_step(struct ms_sched *sched, const struct ms_event *event, int64_t now);

/* The actions of the last step, in the order in which they have to be carried out. */
size_t ms_sched_action_count(const struct ms_sched *sched);
const struct ms_action *ms_sched_action(const struct ms_sched *sched, size_t index);

/*
 * The time at which the next timer of the scheduler is due, or INT64_MAX when
 * there is none.  The embedder has to send MS_EVENT_TICK at that time.
 */
int64_t ms_sched_next_tick(const struct ms_sched *sched);

/* Statistics of a scheduler, as of the last step. */
struct ms_sched_stats {
    uint32_t servers;          /* usable for new work */
    uint32_t quarantined;      /* servers in quarantine */
    uint32_t accels;           /* accelerators of usable servers */
    uint32_t accels_free;      /* of usable servers */
    uint32_t slots_free;       /* of usable servers */
    uint32_t rack_free_max;    /* largest number of free accelerators in one rack */
    uint32_t waiting;          /* waiting jobs */
    uint32_t running;          /* tasks that have resources allocated */
    uint32_t largest_waiting;  /* accelerators that the largest waiting gang needs */
    uint32_t stranded;         /* free accelerators that this gang cannot use */
    uint32_t guarantees_unmet; /* guarantees with a cell that is not bound to a server */
    bool dc_out;               /* the data centre is out of service */
};

void ms_sched_stats(const struct ms_sched *sched, struct ms_sched_stats *stats);

/*
 * Writes one sentence about the job ID to TEXT (SIZE bytes): why it waits,
 * where it runs or how it ended.  Returns MS_OK or MS_E_NOTFOUND.
 */
enum ms_result ms_sched_explain(const struct ms_sched *sched, const char *id, char *text,
                                size_t size);

/*
 * Checks every invariant of the state.  Returns MS_OK when all hold; otherwise
 * writes a violation to TEXT and returns MS_E_CONFLICT.  Visits the whole state,
 * so it is meant for tests.
 */
enum ms_result ms_sched_check(const struct ms_sched *sched, char *text, size_t size);

/* Names of enumeration values, as used in traces, logs and the HTTP interface. */
const char *ms_outcome_name(enum ms_outcome_code code);
const char *ms_ran_name(enum ms_ran ran);
const char *ms_adjacency_name(enum ms_adjacency adjacency);
const char *ms_class_name(enum ms_class job_class);
const char *ms_op_name(enum ms_task_op op);
const char *ms_task_result_name(enum ms_task_result result);

/* Inverses of the above.  On an unknown name return MS_E_INVALID and leave *VALUE unchanged. */
enum ms_result ms_adjacency_parse(const char *name, enum ms_adjacency *value);
enum ms_result ms_class_parse(const char *name, enum ms_class *value);
enum ms_result ms_outcome_parse(const char *name, enum ms_outcome_code *value);
enum ms_result ms_ran_parse(const char *name, enum ms_ran *value);
enum ms_result ms_task_result_parse(const char *name, enum ms_task_result *value);

/*
 * Checks the fields of SPEC.  Returns MS_OK, or MS_E_INVALID and writes the name
 * of the invalid field and the reason to TEXT.
 */
enum ms_result ms_job_spec_check(const struct ms_job_spec *spec, char *text, size_t size);

/*
 * Traces.  An event is one line "TIME KIND name=value ...", an action one line
 * "KIND name=value ...".  Replaying a recorded trace gives the same actions.
 * ms_trace_parse() parses the line of one event into EVENT and *NOW.  Pointers
 * in EVENT point into BUFFER (SIZE bytes), which must outlive EVENT.  On
 * MS_E_INVALID TEXT (TEXT_SIZE bytes) says which word is wrong.
 * ms_trace_event() and ms_trace_action() format a line; the caller frees it
 * with ms_trace_release().
 */
enum ms_result ms_trace_parse(const char *line, struct ms_event *event, int64_t *now,
                              uint8_t *buffer, size_t size, char *text, size_t text_size);
char *ms_trace_event(const struct ms_event *event, int64_t now);
char *ms_trace_action(const struct ms_action *action);
void ms_trace_release(char *line);

#ifdef __cplusplus
}
#endif

#endif
