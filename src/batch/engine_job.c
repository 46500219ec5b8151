/*
 * engine_job.c - jobs of the engine: their occurrences, their start, their end and their removal.
 */
#include <string.h>

#include "batch/engine_late_start.h"
#include "batch/engine_private.h"

/*
 * That a job has started is stored with the next change of its state, or after this time: callers
 * may be told a number of waiting jobs that is 2 s old.
 */
#define STARTED_STORE_DELAY_MS 1000

void
ms_batch_step_clear(struct ms_batch_step *step)
{
    if (step->advice != NULL) {
        g_hash_table_destroy(step->advice);
    }
    g_free(step->tasks);
}

static void
free_occurrence(gpointer opaque)
{
    struct ms_batch_occurrence *occurrence = opaque;
    if (occurrence->steps != NULL) {
        for (size_t i = 0; i < occurrence->job->spec->step_count; i++) {
            ms_batch_step_clear(&occurrence->steps[i]);
        }
        g_free(occurrence->steps);
    }
    g_free(occurrence);
}

void
ms_batch_job_free(gpointer opaque)
{
    struct ms_batch_job *job = opaque;
    ms_late_start_clear(job);
    g_ptr_array_unref(job->occurrences);
    g_free(job);
}

struct ms_batch_job *
ms_batch_task_job(const struct ms_batch_task *task)
{
    return task->step->occurrence->job;
}

const char *
ms_batch_task_name(const struct ms_batch_task *task, char *out)
{
    ms_task_name_format(out, ms_batch_task_job(task)->id, task->step->occurrence->index,
                        task->step->index, task->index);
    return out;
}

struct ms_batch_task *
ms_engine_find_task(const struct ms_engine *engine, const char *name)
{
    char id[MS_JOB_ID_MAX];
    uint32_t occurrence_index = 0;
    uint32_t step = 0;
    uint32_t index = 0;
    if (ms_task_name_parse(name, id, &occurrence_index, &step, &index) != MS_OK) {
        return NULL;
    }
    struct ms_batch_job *job = g_hash_table_lookup(engine->jobs_by_id, id);
    if (job == NULL || occurrence_index >= job->occurrences->len || step >= job->spec->step_count ||
        index >= job->spec->steps[step].task_count) {
        return NULL;
    }
    struct ms_batch_occurrence *occurrence = g_ptr_array_index(job->occurrences, occurrence_index);
    return occurrence->steps != NULL ? &occurrence->steps[step].tasks[index] : NULL;
}

/* Adds the next occurrence of JOB, all of its tasks WAITING. */
static void
add_occurrence(struct ms_batch_job *job)
{
    struct ms_batch_occurrence *occurrence = g_new0(struct ms_batch_occurrence, 1);
    occurrence->job = job;
    occurrence->index = job->occurrences->len;
    if (job->spec->repeat_count > 0) {
        occurrence->due_ms =
            job->spec->start_ms + (int64_t)occurrence->index * job->spec->interval_ms;
    }
    occurrence->steps = g_new0(struct ms_batch_step, job->spec->step_count);
    for (size_t i = 0; i < job->spec->step_count; i++) {
        struct ms_batch_step *step = &occurrence->steps[i];
        step->occurrence = occurrence;
        step->spec = &job->spec->steps[i];
        step->index = (uint32_t)i;
        step->waiting = step->spec->task_count;
        step->tasks = g_new0(struct ms_batch_task, step->spec->task_count);
        for (uint32_t k = 0; k < step->spec->task_count; k++) {
            step->tasks[k].step = step;
            step->tasks[k].index = k;
            ms_list_link_init(&step->tasks[k].server_link);
        }
    }
    g_ptr_array_add(job->occurrences, occurrence);
}

void
ms_batch_job_add_due_occurrences(struct ms_engine *engine, struct ms_batch_job *job)
{
    uint32_t total = MAX(job->spec->repeat_count, 1);
    while (job->occurrences->len < total) {
        int64_t due = job->spec->start_ms + (int64_t)job->occurrences->len * job->spec->interval_ms;
        if (job->spec->repeat_count > 0 && due > engine->unix_ms) {
            return;
        }
        add_occurrence(job);
        engine->placement_due = true;
    }
    ms_list_remove(&job->due_link);
}

/* The account called NAME; one that is not known yet is added, with its rule. */
static struct ms_batch_account *
get_or_add_account(struct ms_engine *engine, const char *name)
{
    struct ms_batch_account *account = g_hash_table_lookup(engine->accounts_by_name, name);
    if (account == NULL) {
        account = g_new0(struct ms_batch_account, 1);
        g_strlcpy(account->name, name, sizeof(account->name));
        ms_account_set_policy(account, engine->policy);
        ms_list_link_init(&account->jobs);
        g_hash_table_insert(engine->accounts_by_name, account->name, account);
    }
    return account;
}

void
ms_batch_job_resolve_queue(const struct ms_engine *engine, struct ms_batch_job *job)
{
    job->queue =
        engine->policy != NULL ? ms_policy_find_queue(engine->policy, job->spec->queue) : NULL;
}

void
ms_engine_add_job(struct ms_engine *engine, const struct ms_stored_job *stored, int64_t now)
{
    engine->now = MAX(engine->now, now);
    if (g_hash_table_contains(engine->jobs_by_id, stored->id) || !stored->accepted) {
        return;
    }
    struct ms_batch_job *job = g_new0(struct ms_batch_job, 1);
    g_strlcpy(job->id, stored->id, sizeof(job->id));
    job->spec = &stored->spec;
    job->account = get_or_add_account(engine, stored->spec.account);
    job->started = stored->started;
    job->phase = ms_stored_job_phase(stored);
    job->accepted_at = stored->accepted_read_at > 0 ? stored->accepted_read_at : engine->now;
    job->occurrences = g_ptr_array_new_with_free_func(free_occurrence);
    ms_list_link_init(&job->dirty_link);
    ms_list_link_init(&job->jobs_link);
    ms_list_link_init(&job->due_link);
    ms_list_link_init(&job->started_link);
    ms_list_link_init(&job->late_starts);
    job->sequence = ++engine->last_job_sequence;
    g_hash_table_insert(engine->jobs_by_id, job->id, job);
    ms_order_add_job(engine, job);
    if (job->phase != MS_PHASE_OPEN) {
        /* An earlier leader has not removed its records yet: ended_retention_ms starts anew. */
        ms_engine_note_job_ended(engine, job);
        ms_batch_job_resolve_queue(engine, job);
        if (stored->phase == MS_PHASE_OPEN) {
            ms_engine_mark_dirty(engine, job, false); /* what has cancelled it may be removed */
        }
        /* Its runs that have not ended yet use resources, and are stopped. */
        if (stored->state != NULL) {
            ms_engine_restore_job(engine, job, stored->state, stored->state_read_at);
            ms_batch_job_stop_tasks(engine, job, "job_ended");
        }
        return;
    }
    ms_list_append(&engine->jobs, &job->jobs_link);
    ms_list_append(&engine->due_jobs, &job->due_link);
    ms_batch_job_resolve_queue(engine, job);
    if (stored->state != NULL) {
        ms_engine_restore_job(engine, job, stored->state, stored->state_read_at);
    }
    ms_batch_job_add_due_occurrences(engine, job);
    engine->placement_due = true;
    ms_batch_job_update_phase(engine, job);
}

struct ms_batch_occurrence *
ms_batch_job_get_or_add_occurrence(struct ms_batch_job *job, uint32_t index)
{
    while (job->occurrences->len <= index) {
        add_occurrence(job);
    }
    return g_ptr_array_index(job->occurrences, index);
}

void
ms_engine_cancel_job(struct ms_engine *engine, const char *id, int64_t now)
{
    engine->now = MAX(engine->now, now);
    struct ms_batch_job *job = g_hash_table_lookup(engine->jobs_by_id, id);
    if (job == NULL || job->phase != MS_PHASE_OPEN) {
        return;
    }
    job->phase = MS_PHASE_CANCELLED;
    ms_engine_note_job_ended(engine, job);
    ms_engine_log_event(engine, "event=job_cancel id=%s active=%u", id, job->active_count);
    ms_batch_job_stop_tasks(engine, job, "cancelled");
    ms_engine_mark_dirty(engine, job, false);
}

void
ms_engine_note_job_ended(struct ms_engine *engine, struct ms_batch_job *job)
{
    job->ended_at = engine->now;
    ms_list_remove(&job->due_link);
    ms_list_remove(&job->jobs_link);
    ms_list_append(&engine->ended_jobs, &job->jobs_link);
}

void
ms_engine_remove_job(struct ms_engine *engine, struct ms_batch_job *job)
{
    ms_list_remove(&job->jobs_link);
    ms_list_remove(&job->due_link);
    ms_list_remove(&job->dirty_link);
    ms_list_remove(&job->started_link);
    ms_order_remove_job(job);
    g_hash_table_remove(engine->jobs_by_id, job->id);
}

void
ms_engine_remove_expired_jobs(struct ms_engine *engine)
{
    MS_LIST_FOREACH(link, &engine->ended_jobs)
    {
        struct ms_batch_job *job = MS_CONTAINER_OF(link, struct ms_batch_job, jobs_link);
        if (engine->now - job->ended_at <= engine->limits.ended_retention_ms) {
            return;
        }
        if (job->active_count == 0 && !job->store_pending && !job->removing) {
            job->removing = true;
            ms_engine_mark_dirty(engine, job, false);
        }
    }
}

void
ms_engine_store_started_jobs(struct ms_engine *engine)
{
    while (!ms_list_is_empty(&engine->started)) {
        struct ms_batch_job *job =
            MS_CONTAINER_OF(engine->started.next, struct ms_batch_job, started_link);
        if (engine->now - job->started_at < STARTED_STORE_DELAY_MS) {
            return;
        }
        ms_list_remove(&job->started_link);
        ms_engine_mark_dirty(engine, job, false);
    }
}
