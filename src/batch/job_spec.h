/*
 * job_spec.h - specification of a stored job, as its caller has submitted it.
 *
 * A stored job has steps; a step has tasks with equal requirements.  A repeated job has
 * several occurrences, each of which runs all steps.  Points in time are Unix
 * milliseconds.
 */
#ifndef MS_BATCH_JOB_SPEC_H
#define MS_BATCH_JOB_SPEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mustardspread/mustardspread.h"

#define MS_JOB_ID_MAX 40          /* bytes of a stored job's id, with its NUL */
#define MS_TASK_NAME_MAX 96       /* bytes of "ID.OCCURRENCE.STEP.INDEX", with its NUL */
#define MS_CHECKPOINT_MAX 128     /* bytes of a checkpoint, with its NUL */
#define MS_BATCH_PAYLOAD_MAX 4000 /* bytes of a stored job's payload */
#define MS_BATCH_STEPS_MAX 64     /* steps of one job */
#define MS_BATCH_TASKS_MAX 4096   /* tasks of one step */
#define MS_BATCH_OCCURRENCES_MAX 100000

/* Resources of one task, or of one backend server. */
struct ms_resources {
    int64_t cpu_millis; /* thousandths of a core */
    int64_t memory_mb;
    int64_t accels;
};

struct ms_step {
    uint32_t task_count;                /* number of tasks */
    struct ms_resources task_resources; /* of one task */
    int64_t estimate_ms;  /* the caller's rough estimate of a task's run time, 0: unknown */
    uint32_t *depends_on; /* indexes of the steps that have to be done first, all below its own */
    size_t depends_on_count;
    bool checkpoints;         /* a task saves its progress while it runs and when it is stopped */
    bool gang;                /* all tasks run at the same time or none does */
    bool same_rack;           /* should run in one rack: it is much slower over several */
    bool speculative;         /* several copies of a task may run at the same time */
    bool long_running;        /* runs until cancelled; a task that ends is started again */
    bool best_effort;         /* uses only CPU time that other tasks leave; its cpu_millis is 0 */
    char label[MS_NAME_MAX];  /* label that its servers must have, "" for any server */
    char rack[MS_NAME_MAX];   /* rack that holds its data, "" for none */
    char image[MS_NAME_MAX];  /* container image */
    uint32_t per_server_max;  /* tasks of the step on one server, 0: no limit */
    uint32_t max_unavailable; /* if LONG_RUNNING: tasks that may be unavailable at the same time */
    /* If LONG_RUNNING: target for the tail of the response times, 0: none. */
    int64_t target_latency_ms;
};

struct ms_batch_spec {
    char id[MS_JOB_ID_MAX];
    char queue[MS_NAME_MAX];
    char account[MS_NAME_MAX];
    char *payload; /* text, owned by the specification */
    struct ms_step *steps;
    size_t step_count;
    uint32_t repeat_count; /* number of occurrences; 0: one, which starts at once */
    int64_t start_ms;      /* start of the first occurrence */
    int64_t interval_ms;   /* between the starts of occurrences */
    int64_t accepted_ms;   /* when an entry host accepted it */
};

/* Frees what SPEC owns, but not SPEC itself, and sets it to zero. */
void ms_batch_spec_clear(struct ms_batch_spec *spec);

/* Checks SPEC; returns MS_E_INVALID and writes the field and the reason to ERROR (SIZE bytes). */
enum ms_result ms_batch_spec_check(const struct ms_batch_spec *spec, char *error, size_t size);

/* Encodes SPEC as a JobRecord; freed with g_free(). */
uint8_t *ms_batch_spec_pack(const struct ms_batch_spec *spec, size_t *length);

/*
 * Decodes a JobRecord and checks it; the id comes from the record's key.  The caller
 * releases SPEC with ms_batch_spec_clear().  Returns MS_E_INVALID, with SPEC cleared, if
 * the record is malformed or the check fails.
 */
enum ms_result ms_batch_spec_unpack(const char *id, const uint8_t *bytes, size_t length,
                                    struct ms_batch_spec *spec);

/* Writes "ID.OCCURRENCE.STEP.INDEX" to OUT (MS_TASK_NAME_MAX bytes). */
void ms_task_name_format(char *out, const char *id, uint32_t occurrence, uint32_t step,
                         uint32_t index);

/* Parses such a name; ID has MS_JOB_ID_MAX bytes.  MS_E_INVALID if it is malformed. */
enum ms_result ms_task_name_parse(const char *name, char *id, uint32_t *occurrence, uint32_t *step,
                                  uint32_t *index);

/* Whether REQUESTED fits into AVAILABLE in every resource. */
static inline bool
ms_resources_fit(const struct ms_resources *available, const struct ms_resources *requested)
{
    return available->cpu_millis >= requested->cpu_millis &&
           available->memory_mb >= requested->memory_mb && available->accels >= requested->accels;
}

/* Adds OTHER to SUM the given number of TIMES, which may be negative. */
static inline void
ms_resources_add(struct ms_resources *sum, const struct ms_resources *other, int64_t times)
{
    sum->cpu_millis += other->cpu_millis * times;
    sum->memory_mb += other->memory_mb * times;
    sum->accels += other->accels * times;
}

#endif
