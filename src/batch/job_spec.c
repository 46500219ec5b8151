/*
 * job_spec.c - validates, encodes and decodes specifications of stored jobs, and task names.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "batch/job_spec.h"
#include "wire/batch.pb-c.h"

void
ms_batch_spec_clear(struct ms_batch_spec *spec)
{
    for (size_t i = 0; i < spec->step_count; i++) {
        g_free(spec->steps[i].depends_on);
    }
    g_free(spec->steps);
    g_free(spec->payload);
    memset(spec, 0, sizeof(*spec));
}

static enum ms_result
check_step(const struct ms_batch_spec *spec, size_t index, char *error, size_t size)
{
    const struct ms_step *step = &spec->steps[index];
    if (step->task_count < 1 || step->task_count > MS_BATCH_TASKS_MAX) {
        snprintf(error, size, "step %zu: count must be 1 to %d tasks", index, MS_BATCH_TASKS_MAX);
        return MS_E_INVALID;
    }
    if (step->task_resources.cpu_millis < 0 || step->task_resources.memory_mb < 0 ||
        step->task_resources.accels < 0) {
        snprintf(error, size, "step %zu: a resource is negative", index);
        return MS_E_INVALID;
    }
    for (size_t i = 0; i < step->depends_on_count; i++) {
        if (step->depends_on[i] >= index) {
            snprintf(error, size, "step %zu: after must name earlier steps", index);
            return MS_E_INVALID;
        }
    }
    return MS_OK;
}

enum ms_result
ms_batch_spec_check(const struct ms_batch_spec *spec, char *error, size_t size)
{
    if (spec->id[0] == '\0' || strchr(spec->id, '.') != NULL || strchr(spec->id, '/') != NULL) {
        snprintf(error, size, "id: must be 1 to %d bytes without '.' and '/'", MS_JOB_ID_MAX - 1);
        return MS_E_INVALID;
    }
    if (spec->payload == NULL || strlen(spec->payload) > MS_BATCH_PAYLOAD_MAX) {
        snprintf(error, size, "payload: must be text of at most %d bytes", MS_BATCH_PAYLOAD_MAX);
        return MS_E_INVALID;
    }
    if (spec->step_count < 1 || spec->step_count > MS_BATCH_STEPS_MAX) {
        snprintf(error, size, "steps: must be 1 to %d steps", MS_BATCH_STEPS_MAX);
        return MS_E_INVALID;
    }
    if (spec->repeat_count > MS_BATCH_OCCURRENCES_MAX || spec->interval_ms < 0) {
        snprintf(error, size, "repeat: at most %d occurrences; the interval must not be negative",
                 MS_BATCH_OCCURRENCES_MAX);
        return MS_E_INVALID;
    }
    for (size_t i = 0; i < spec->step_count; i++) {
        enum ms_result result = check_step(spec, i, error, size);
        if (result != MS_OK) {
            return result;
        }
    }
    return MS_OK;
}

static void
pack_step(const struct ms_step *step, Ms__Batch__StepRecord *record)
{
    ms__batch__step_record__init(record);
    record->count = step->task_count;
    record->cpu_millis = step->task_resources.cpu_millis;
    record->memory_mb = step->task_resources.memory_mb;
    record->accels = (uint32_t)step->task_resources.accels;
    record->estimate_ms = step->estimate_ms;
    record->n_after = step->depends_on_count;
    record->after = step->depends_on;
    record->checkpoints = step->checkpoints;
    record->gang = step->gang;
    record->same_rack = step->same_rack;
    record->speculative = step->speculative;
    record->lasting = step->long_running;
    record->fills = step->best_effort;
    record->label = (char *)step->label;
    record->rack = (char *)step->rack;
    record->image = (char *)step->image;
    record->per_server_max = step->per_server_max;
    record->away_max = step->max_unavailable;
    record->target_ms = step->target_latency_ms;
}

uint8_t *
ms_batch_spec_pack(const struct ms_batch_spec *spec, size_t *length)
{
    Ms__Batch__JobRecord record = MS__BATCH__JOB_RECORD__INIT;
    Ms__Batch__StepRecord *steps = g_new0(Ms__Batch__StepRecord, spec->step_count);
    Ms__Batch__StepRecord **pointers = g_new0(Ms__Batch__StepRecord *, spec->step_count);
    for (size_t i = 0; i < spec->step_count; i++) {
        pack_step(&spec->steps[i], &steps[i]);
        pointers[i] = &steps[i];
    }
    record.queue = (char *)spec->queue;
    record.account = (char *)spec->account;
    record.payload = spec->payload;
    record.n_steps = spec->step_count;
    record.steps = pointers;
    record.repeat_count = spec->repeat_count;
    record.start_ms = spec->start_ms;
    record.interval_ms = spec->interval_ms;
    record.accepted_ms = spec->accepted_ms;
    *length = ms__batch__job_record__get_packed_size(&record);
    uint8_t *bytes = g_malloc(*length + 1);
    ms__batch__job_record__pack(&record, bytes);
    g_free(pointers);
    g_free(steps);
    return bytes;
}

static void
unpack_step(const Ms__Batch__StepRecord *record, struct ms_step *step)
{
    step->task_count = record->count;
    step->task_resources.cpu_millis = record->cpu_millis;
    step->task_resources.memory_mb = record->memory_mb;
    step->task_resources.accels = record->accels;
    step->estimate_ms = record->estimate_ms;
    step->depends_on_count = record->n_after;
    if (record->n_after > 0) {
        step->depends_on = g_memdup2(record->after, record->n_after * sizeof(*record->after));
    }
    step->checkpoints = record->checkpoints;
    step->gang = record->gang;
    step->same_rack = record->same_rack;
    step->speculative = record->speculative;
    step->long_running = record->lasting;
    step->best_effort = record->fills;
    g_strlcpy(step->label, record->label, sizeof(step->label));
    g_strlcpy(step->rack, record->rack, sizeof(step->rack));
    g_strlcpy(step->image, record->image, sizeof(step->image));
    step->per_server_max = record->per_server_max;
    step->max_unavailable = record->away_max;
    step->target_latency_ms = record->target_ms;
}

enum ms_result
ms_batch_spec_unpack(const char *id, const uint8_t *bytes, size_t length,
                     struct ms_batch_spec *spec)
{
    memset(spec, 0, sizeof(*spec));
    Ms__Batch__JobRecord *record = ms__batch__job_record__unpack(NULL, length, bytes);
    if (record == NULL) {
        return MS_E_INVALID;
    }
    g_strlcpy(spec->id, id, sizeof(spec->id));
    g_strlcpy(spec->queue, record->queue, sizeof(spec->queue));
    g_strlcpy(spec->account, record->account, sizeof(spec->account));
    spec->payload = g_strdup(record->payload);
    spec->step_count = record->n_steps;
    spec->steps = g_new0(struct ms_step, record->n_steps + 1);
    for (size_t i = 0; i < record->n_steps; i++) {
        unpack_step(record->steps[i], &spec->steps[i]);
    }
    spec->repeat_count = record->repeat_count;
    spec->start_ms = record->start_ms;
    spec->interval_ms = record->interval_ms;
    spec->accepted_ms = record->accepted_ms;
    ms__batch__job_record__free_unpacked(record, NULL);
    char error[MS_DETAIL_MAX];
    enum ms_result result = ms_batch_spec_check(spec, error, sizeof(error));
    if (result != MS_OK) {
        ms_batch_spec_clear(spec);
    }
    return result;
}

void
ms_task_name_format(char *out, const char *id, uint32_t occurrence, uint32_t step, uint32_t index)
{
    snprintf(out, MS_TASK_NAME_MAX, "%s.%u.%u.%u", id, occurrence, step, index);
}

/* Parses ".NUMBER" at *TEXT and moves *TEXT behind it; false if it is malformed. */
static bool
parse_part(const char **text, uint32_t *number)
{
    const char *digit = *text + 1;
    uint64_t value = 0;
    if (**text != '.' || !g_ascii_isdigit(*digit)) {
        return false;
    }
    for (; g_ascii_isdigit(*digit) && value <= UINT32_MAX; digit++) {
        value = value * 10 + (uint64_t)(*digit - '0');
    }
    *number = (uint32_t)value;
    *text = digit;
    return value <= UINT32_MAX;
}

enum ms_result
ms_task_name_parse(const char *name, char *id, uint32_t *occurrence, uint32_t *step,
                   uint32_t *index)
{
    const char *dot = strchr(name, '.');
    if (dot == NULL || dot == name || dot - name >= MS_JOB_ID_MAX) {
        return MS_E_INVALID;
    }
    const char *rest = dot;
    if (!parse_part(&rest, occurrence) || !parse_part(&rest, step) || !parse_part(&rest, index) ||
        *rest != '\0') {
        return MS_E_INVALID;
    }
    g_strlcpy(id, name, (size_t)(dot - name) + 1);
    return MS_OK;
}
