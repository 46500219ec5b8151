/*
 * mustardspread.h - the public interface of libmustardspread.
 *
 * This header is the manual of the library.  It covers the decision core of
 * one data centre: a step function that takes one event and the current time
 * and returns the actions that the embedder has to carry out.  The core does
 * no I/O, reads no clock, starts no thread and draws no random number, so the
 * same events at the same times always give the same actions.
 *
 * Life of a scheduler:
 *
 *     struct ms_sched *sched = ms_sched_new("dc-1", NULL, NULL);
 *     struct ms_event event = {.kind = MS_EVENT_TICK};
 *     ms_sched_step(sched, &event, now_ms);
 *     for (size_t i = 0; i < ms_sched_action_count(sched); i++)
 *         carry_out(ms_sched_action(sched, i));
 *     ms_sched_free(sched);
 *
 * Times are milliseconds of any clock that does not run backwards.  Strings
 * are NUL-terminated UTF-8.  The library copies what it keeps from an event;
 * pointers inside an action belong to the library and stay valid until the
 * next call of ms_sched_step() or ms_sched_free() on the same scheduler.  One
 * scheduler is used by one thread at a time; several schedulers may be used by
 * several threads.
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

/* Limits. */
#define MS_NAME_MAX 64                       /* bytes of a name, with its NUL */
#define MS_KEY_MAX 96                        /* bytes of a request key, with its NUL */
#define MS_ID_MAX (MS_NAME_MAX + MS_KEY_MAX) /* bytes of a job id */
#define MS_DETAIL_MAX 160                    /* bytes of an explanation, with its NUL */
#define MS_GANG_MAX 128                      /* tasks of one job */
#define MS_ACCELS_MAX 64                     /* accelerators of one task */
#define MS_PAYLOAD_MAX (1 << 20)             /* bytes of a job's payload */
#define MS_OUTPUT_MAX (8 << 20)              /* bytes of a job's output */

/* Return codes of every function that can fail: 0 or a negative value. */
enum ms_result {
    MS_OK = 0,
    MS_E_NOMEM = -1,    /* an allocation failed; the state is unchanged */
    MS_E_INVALID = -2,  /* an argument or a text is malformed */
    MS_E_FULL = -3,     /* a documented bound is reached */
    MS_E_NOTFOUND = -4, /* no such item */
    MS_E_CONFLICT = -5, /* another version or holder came first */
    MS_E_IO = -6,       /* the operating system or a peer failed */
};

/* Names a return code in English.  The string is static. */
const char *ms_result_name(enum ms_result result);

/* How close the tasks of one job have to be. */
enum ms_adjacency {
    MS_ADJACENT_DC = 0, /* anywhere in one data centre */
    MS_ADJACENT_RACK,   /* one rack */
    MS_ADJACENT_SERVER, /* one backend server */
};

/* Order of jobs within a client account; a lower value goes first. */
enum ms_class {
    MS_CLASS_URGENT = 0, /* may stop stoppable work of other classes */
    MS_CLASS_NORMAL,
    MS_CLASS_BATCH, /* goes last */
};

/* Whether the work of a job has run. */
enum ms_ran {
    MS_RAN_NO = 0,  /* no task of it ever started, and none will */
    MS_RAN_YES,     /* at least one task started */
    MS_RAN_UNKNOWN, /* it may have started; contact was lost */
};

/* Final outcome of a job. */
enum ms_outcome_code {
    MS_OUTCOME_DONE = 0,     /* all tasks ended well; the output is whole */
    MS_OUTCOME_FAILED,       /* the job itself fails wherever it runs */
    MS_OUTCOME_CANCELLED,    /* the caller cancelled it */
    MS_OUTCOME_DEADLINE,     /* the deadline passed first */
    MS_OUTCOME_NEVER_FITS,   /* larger than the data centre or its limits */
    MS_OUTCOME_LIMIT,        /* the client account's queue is full */
    MS_OUTCOME_NO_ACCOUNT,   /* no rule creates the client account */
    MS_OUTCOME_DC_OUT,       /* the data centre is out of service */
    MS_OUTCOME_UNAVAILABLE,  /* nothing can take it now; try again later */
    MS_OUTCOME_LOST_CONTACT, /* may have run, and must not run again */
    MS_OUTCOME_DUPLICATE,    /* another holder has the run token of the key */
};

/* What a caller asks to be run. */
struct ms_job_spec {
    char account[MS_NAME_MAX];   /* client account */
    char key[MS_KEY_MAX];        /* request key, unique in the account */
    uint32_t tasks;              /* members of the gang, 1..MS_GANG_MAX */
    uint32_t accels;             /* accelerators of each task */
    enum ms_adjacency adjacency; /* where the tasks may be */
    enum ms_class job_class;
    bool idempotent;     /* false: runs at most once */
    bool checkpointable; /* tasks can be checkpointed and resumed */
    bool detached;       /* outlives the caller's connection */
    int64_t declared_ms; /* declared run time; a hint, 0 when unknown */
    int64_t deadline_ms; /* latest start on the step's clock, 0: none */
    const uint8_t *payload;
    size_t payload_len;
};

/* One rule, as parsed from a line of the rules file. */
enum ms_rule_kind {
    MS_RULE_ACCOUNT = 0,
    MS_RULE_GUARANTEE,
    MS_RULE_LIMIT,
    MS_RULE_DC,
};

struct ms_rule {
    enum ms_rule_kind kind;
    char name[MS_NAME_MAX];      /* account, guarantee or data centre */
    char account[MS_NAME_MAX];   /* GUARANTEE: its client account */
    char dc[MS_NAME_MAX];        /* GUARANTEE: its data centre */
    uint32_t share;              /* ACCOUNT: weight of the fair order, >= 1 */
    uint32_t tasks;              /* GUARANTEE: tasks of the shape */
    uint32_t accels;             /* GUARANTEE: accelerators of each task.
                                    LIMIT: accelerators in use, 0: no limit */
    uint32_t running;            /* LIMIT: running tasks, 0: no limit */
    uint32_t queued;             /* LIMIT: waiting jobs, 0: the default */
    enum ms_adjacency adjacency; /* GUARANTEE */
    bool out;                    /* DC: true when out of service */
    bool removed;                /* the rule of this kind and name is gone */
};

/* How a task ended, as its backend server reports it. */
enum ms_task_result {
    MS_TASK_OK = 0,
    MS_TASK_FAILED,       /* the task's own program failed */
    MS_TASK_STOPPED,      /* stopped on request */
    MS_TASK_CHECKPOINTED, /* stopped on request, progress kept */
    MS_TASK_LAPSED,       /* its lease ran out */
    MS_TASK_NOT_STARTED,  /* prepared, never started */
};

/* State of a task that a backend server reports to a new holder. */
enum ms_seen_state { MS_SEEN_PREPARED = 0, MS_SEEN_RUNNING, MS_SEEN_ENDED };

/* Answer to a request for a run token. */
enum ms_token_answer {
    MS_TOKEN_GRANTED = 0, /* first in log order */
    MS_TOKEN_DENIED,      /* another holder's token came first */
    MS_TOKEN_UNAVAILABLE, /* the log cannot be reached */
};

enum ms_event_kind {
    MS_EVENT_TICK = 0,
    MS_EVENT_RULE,           /* .rule */
    MS_EVENT_SERVER_UP,      /* .server: held, with its size */
    MS_EVENT_SERVER_LOST,    /* .server: the hold is lost or silent */
    MS_EVENT_SERVER_LEAVING, /* .server: takes no new work */
    MS_EVENT_TASK_SEEN,      /* .task: reported by a newly held server */
    MS_EVENT_SUBMIT,         /* .submit */
    MS_EVENT_CANCEL,         /* .job */
    MS_EVENT_ASK,            /* .job: its outcome again, if it has ended */
    MS_EVENT_TASK_PREPARED,  /* .task */
    MS_EVENT_TASK_STARTED,   /* .task */
    MS_EVENT_TASK_REFUSED,   /* .task: the server did not take it */
    MS_EVENT_TASK_ENDED,     /* .task */
    MS_EVENT_USAGE,          /* .task: used_accels */
    MS_EVENT_TOKEN,          /* .token */
    MS_EVENT_PAUSE,          /* .pause: no start until resumed */
};

struct ms_server_event {
    char name[MS_NAME_MAX];
    char rack[MS_NAME_MAX];
    uint32_t slots;      /* tasks it can run at once */
    uint32_t accels;     /* accelerators it has */
    uint32_t seen_count; /* UP: TASK_SEEN events that follow before it is used */
};

struct ms_task_event {
    char server[MS_NAME_MAX];
    char id[MS_ID_MAX]; /* job id: "account/key" */
    uint32_t member;    /* index in the gang, from 0 */
    uint32_t attempt;   /* as in the action that started it */
    enum ms_task_result result;
    enum ms_seen_state seen;
    uint32_t used_accels;    /* USAGE */
    struct ms_job_spec spec; /* TASK_SEEN: without payload */
    const uint8_t *output;
    size_t output_len;
};

struct ms_submit_event {
    struct ms_job_spec spec;
    bool may_have_run; /* an earlier holder may have started it */
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
    MS_OP_PREPARE = 0, /* admit and hold the resources, do not run */
    MS_OP_START,       /* admit and run (gangs of one) */
    MS_OP_GO,          /* run what was prepared */
    MS_OP_STOP,
    MS_OP_CHECKPOINT, /* checkpoint, then stop */
    MS_OP_THROTTLE,   /* hold it to its declared size */
    MS_OP_ACK,        /* forget the ended task */
    MS_OP_WITHHOLD,   /* do not renew the task's lease from now on */
    MS_OP_RENEW,      /* renew the task's lease again */
};

enum ms_action_kind { MS_ACTION_TASK = 0, MS_ACTION_TOKEN, MS_ACTION_OUTCOME };

struct ms_task_action {
    enum ms_task_op op;
    const char *server;
    uint32_t member;
    uint32_t attempt;
    const struct ms_job_spec *spec;
};

struct ms_token_action {
    uint32_t attempt;
    const struct ms_job_spec *spec;
    const char *const *servers; /* where the tasks would run */
    size_t server_count;
};

struct ms_outcome_action {
    enum ms_outcome_code code;
    enum ms_ran ran;
    const char *detail; /* one English sentence */
    const char *server; /* where member 0 ran, "" when nowhere */
    const struct ms_job_spec *spec;
    const uint8_t *output;
    size_t output_len;
    int64_t queued_ms; /* from submission to the last start */
    int64_t ran_ms;    /* from the last start to the end */
};

struct ms_action {
    enum ms_action_kind kind;
    char id[MS_ID_MAX];
    union {
        struct ms_task_action task;
        struct ms_token_action token;
        struct ms_outcome_action outcome;
    };
};

/*
 * Times and bounds of a scheduler.  ms_sched_defaults() fills in the values
 * that the daemons use; a caller changes what it needs and passes the struct
 * to ms_sched_new().
 */
struct ms_sched_limits {
    int64_t lease_ms;          /* length of a task lease at a backend server */
    int64_t gang_start_ms;     /* longest time from first prepare to last start */
    int64_t checkpoint_ms;     /* time to checkpoint before a plain stop */
    int64_t retry_base_ms;     /* first delay before another attempt */
    int64_t retry_max_ms;      /* longest delay before another attempt */
    uint32_t attempts_max;     /* attempts of one job */
    uint32_t job_fail_servers; /* distinct servers on which a job at fault fails */
    uint32_t server_fail_jobs; /* distinct jobs failing in a row: quarantine */
    int64_t quarantine_ms;     /* first time before a quarantined server's probe */
    int64_t backfill_wait_ms;  /* wait after which a gang keeps servers free */
    uint32_t queue_max;        /* waiting jobs of one client account */
    uint32_t recent_max;       /* final outcomes kept for repeated submissions */
};

/* Allocation hooks; both or neither are given.  release(NULL) must be safe. */
struct ms_hooks {
    void *(*alloc)(void *opaque, size_t size);
    void (*release)(void *opaque, void *memory);
    void *opaque;
};

struct ms_sched;

void ms_sched_defaults(struct ms_sched_limits *limits);

/*
 * Creates the scheduler of the data centre DC.  LIMITS and HOOKS may be NULL
 * for the defaults; both are copied.  Returns NULL when memory runs out or a
 * limit is out of range.  The caller frees it with ms_sched_free().
 */
struct ms_sched *ms_sched_new(const char *dc, const struct ms_sched_limits *limits,
                              const struct ms_hooks *hooks);

/* Frees the scheduler and everything it owns.  NULL is allowed. */
void ms_sched_free(struct ms_sched *sched);

/*
 * Applies one event at the time NOW (milliseconds).  A NOW below an earlier
 * one counts as the earlier one.  Returns MS_OK, MS_E_INVALID for a malformed
 * event or MS_E_NOMEM; in both of the latter cases the event had no effect.
 */
enum ms_result ms_sched_step(struct ms_sched *sched, const struct ms_event *event, int64_t now);

/* The actions of the last step, in the order in which to carry them out. */
size_t ms_sched_action_count(const struct ms_sched *sched);
const struct ms_action *ms_sched_action(const struct ms_sched *sched, size_t index);

/*
 * The time at which the scheduler next has something to do without an event,
 * or INT64_MAX.  The embedder sends MS_EVENT_TICK then.
 */
int64_t ms_sched_next_tick(const struct ms_sched *sched);

/* Figures of a scheduler, all as of the last step. */
struct ms_sched_stats {
    uint32_t servers;     /* held and usable for new work */
    uint32_t quarantined; /* servers in quarantine */
    uint32_t accels;      /* accelerators of usable servers */
    uint32_t accels_free;
    uint32_t slots_free;
    uint32_t rack_free_max;    /* free accelerators of the emptiest rack */
    uint32_t waiting;          /* jobs waiting */
    uint32_t running;          /* tasks that hold resources */
    uint32_t largest_waiting;  /* accelerators of the largest waiting gang */
    uint32_t stranded;         /* free accelerators that this gang cannot use */
    uint32_t guarantees_unmet; /* guarantees without all their cells */
    bool dc_out;
};

void ms_sched_stats(const struct ms_sched *sched, struct ms_sched_stats *stats);

/*
 * Writes one sentence about the job ID to TEXT (SIZE bytes): why it waits or
 * where it runs.  Returns MS_OK or MS_E_NOTFOUND.
 */
enum ms_result ms_sched_explain(const struct ms_sched *sched, const char *id, char *text,
                                size_t size);

/*
 * Checks every invariant of the state and writes the first violation to TEXT.
 * Returns MS_OK when all hold, MS_E_CONFLICT otherwise.  Costs time in
 * proportion to the whole state; meant for tests.
 */
enum ms_result ms_sched_check(const struct ms_sched *sched, char *text, size_t size);

/* Names of the enumerations, as used in traces, logs and the HTTP interface. */
const char *ms_outcome_name(enum ms_outcome_code code);
const char *ms_ran_name(enum ms_ran ran);
const char *ms_adjacency_name(enum ms_adjacency adjacency);
const char *ms_class_name(enum ms_class job_class);
const char *ms_op_name(enum ms_task_op op);
const char *ms_task_result_name(enum ms_task_result result);

/* Inverses of the above: MS_OK, or MS_E_INVALID and *VALUE unchanged. */
enum ms_result ms_adjacency_parse(const char *name, enum ms_adjacency *value);
enum ms_result ms_class_parse(const char *name, enum ms_class *value);
enum ms_result ms_outcome_parse(const char *name, enum ms_outcome_code *value);
enum ms_result ms_ran_parse(const char *name, enum ms_ran *value);
enum ms_result ms_task_result_parse(const char *name, enum ms_task_result *value);

/*
 * Checks the fields of SPEC.  Returns MS_OK, or MS_E_INVALID with the name of
 * the offending field and the reason in TEXT.
 */
enum ms_result ms_job_spec_check(const struct ms_job_spec *spec, char *text, size_t size);

/*
 * Traces.  An event is one line "TIME KIND name=value ...", an action one line
 * "KIND name=value ...".  A recorded trace replays to the same actions.
 * ms_trace_parse() takes one line and fills EVENT and *NOW; pointers in EVENT
 * point into BUFFER, of SIZE bytes, which must outlive it.  On MS_E_INVALID
 * TEXT says which word is wrong.  The writers return a string to be freed with
 * ms_trace_release().
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
