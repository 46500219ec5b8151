/*
 * engine_task.c - state transitions of tasks, and the end of jobs.
 */
#include <string.h>

#include "batch/engine_private.h"

#define RETRY_BACKOFF_MS 100    /* before a lost or failed task is placed again */
#define REFUSED_BACKOFF_MS 300  /* before a refused task is placed again */
#define REFUSED_SUSPECT_MS 2000 /* how long a server without capacity is chosen last */

int64_t
ms_batch_task_work_core_s(const struct ms_engine *engine, const struct ms_batch_task *task)
{
    const struct ms_resources *request = &task->step->spec->task_resources;
    int64_t cores = request->cpu_millis / 1000 + request->accels * MS_ACCEL_CORE_EQUIVALENT;
    return task->running_since > 0 ? cores * (engine->now - task->running_since) / 1000 : 0;
}

void
ms_batch_task_set_checkpoint(struct ms_batch_task *task, const char *checkpoint)
{
    if (checkpoint[0] == '\0') {
        return;
    }
    if (!task->step->spec->gang) {
        g_strlcpy(task->checkpoint, checkpoint, sizeof(task->checkpoint));
        return;
    }
    /* All members of a gang restart together from the same checkpoint. */
    for (uint32_t i = 0; i < task->step->spec->task_count; i++) {
        g_strlcpy(task->step->tasks[i].checkpoint, checkpoint, sizeof(task->checkpoint));
    }
}

/* Adds DELTA (1 or -1) to the counters of TASK's step and job for the task's state. */
static void
adjust_counts(struct ms_batch_task *task, int delta)
{
    struct ms_batch_step *step = task->step;
    switch (task->state) {
    case MS_BATCH_TASK_WAITING:
        step->waiting += (uint32_t)delta;
        break;
    case MS_BATCH_TASK_RECORDING:
    case MS_BATCH_TASK_STARTING:
    case MS_BATCH_TASK_RUNNING:
    case MS_BATCH_TASK_STOPPING:
        step->active += (uint32_t)delta;
        step->occurrence->job->active_count += (uint32_t)delta;
        break;
    case MS_BATCH_TASK_DONE:
        step->done += (uint32_t)delta;
        break;
    }
}

static void
set_state(struct ms_batch_task *task, enum ms_batch_task_state state)
{
    adjust_counts(task, -1);
    task->state = state;
    adjust_counts(task, 1);
}

void
ms_batch_task_assign(struct ms_engine *engine, struct ms_batch_task *task,
                     struct ms_batch_server *server)
{
    set_state(task, MS_BATCH_TASK_RECORDING);
    engine->orders.to_come++;
    task->server = server;
    task->last_server = server;
    task->store_pending = false;
    task->awaits_report = false;
    task->order_pending = false;
    task->start_pending = false;
    task->stop_confirmed = false;
    task->preempted = false;
    task->seen_in_report = false;
    task->start_confirmed = false;
    task->order_unanswered = false;
    task->unanswered_packed = false;
    task->unanswered_stored = false;
    task->last_answer_at = 0;
    task->running_since = 0;
    task->resumed_percent = 0;
    memset(&task->speed, 0, sizeof(task->speed));
    task->progress_percent = 0;
    task->last_progress_at = engine->now;
    ms_list_append(&server->tasks, &task->server_link);
    ms_attention_add(engine, server);
    ms_resources_add(&server->allocated, &task->step->spec->task_resources, 1);
    ms_resources_add(&ms_batch_task_job(task)->account->allocated,
                     &task->step->spec->task_resources, 1);
}

void
ms_batch_task_release(struct ms_engine *engine, struct ms_batch_task *task,
                      enum ms_batch_task_state state)
{
    struct ms_batch_server *server = task->server;
    if (task->state == MS_BATCH_TASK_RECORDING) {
        engine->orders.to_come--;
    }
    if (server != NULL) {
        ms_list_remove(&task->server_link);
        ms_attention_add(engine, server);
        ms_resources_add(&server->allocated, &task->step->spec->task_resources, -1);
        ms_resources_add(&ms_batch_task_job(task)->account->allocated,
                         &task->step->spec->task_resources, -1);
        task->server = NULL;
    }
    task->order_pending = false;
    set_state(task, state);
    if (task->step->active == 0) {
        task->step->gang_started_at = 0;
    }
    engine->placement_due = true;
}

void
ms_batch_task_stop(struct ms_engine *engine, struct ms_batch_task *task, const char *reason)
{
    char name[MS_TASK_NAME_MAX];
    switch (task->state) {
    case MS_BATCH_TASK_RECORDING:
        /* Not ordered yet: no server has this run. */
        ms_batch_task_release(engine, task, MS_BATCH_TASK_WAITING);
        ms_engine_mark_dirty(engine, ms_batch_task_job(task), false);
        return;
    case MS_BATCH_TASK_STARTING:
    case MS_BATCH_TASK_RUNNING:
        ms_engine_log_event(engine,
                            "event=stop task=%s run=%u server=%s reason=%s percent=%u"
                            " core_s=%" G_GINT64_FORMAT " checkpoints=%d",
                            ms_batch_task_name(task, name), task->run, task->server->id, reason,
                            task->progress_percent, ms_batch_task_work_core_s(engine, task),
                            task->step->spec->checkpoints);
        ms_batch_task_withdraw_start(engine, task);
        set_state(task, MS_BATCH_TASK_STOPPING);
        ms_attention_add(engine, task->server);
        task->awaits_report = false;
        task->order_pending = false;
        task->stop_confirmed = false;
        task->next_order_at = engine->now;
        ms_batch_task_send_order(engine, task);
        return;
    case MS_BATCH_TASK_WAITING:
    case MS_BATCH_TASK_STOPPING:
    case MS_BATCH_TASK_DONE:
        return;
    }
}

void
ms_batch_task_stop_unit(struct ms_engine *engine, struct ms_batch_task *task, const char *reason)
{
    if (!task->step->spec->gang) {
        ms_batch_task_stop(engine, task, reason);
        return;
    }
    for (uint32_t i = 0; i < task->step->spec->task_count; i++) {
        ms_batch_task_stop(engine, &task->step->tasks[i], reason);
    }
}

void
ms_batch_job_stop_tasks(struct ms_engine *engine, struct ms_batch_job *job, const char *reason)
{
    for (guint i = 0; i < job->occurrences->len; i++) {
        struct ms_batch_occurrence *occurrence = g_ptr_array_index(job->occurrences, i);
        for (size_t s = 0; occurrence->steps != NULL && s < job->spec->step_count; s++) {
            struct ms_batch_step *step = &occurrence->steps[s];
            for (uint32_t k = 0; step->active > 0 && k < step->spec->task_count; k++) {
                ms_batch_task_stop(engine, &step->tasks[k], reason);
            }
        }
    }
}

/* Frees the steps of OCCURRENCE if all of them are done; it is complete then. */
static void
complete_if_done(struct ms_batch_job *job, struct ms_batch_occurrence *occurrence)
{
    for (size_t s = 0; s < job->spec->step_count; s++) {
        if (occurrence->steps[s].done < occurrence->steps[s].spec->task_count) {
            return;
        }
    }
    for (size_t s = 0; s < job->spec->step_count; s++) {
        ms_batch_step_clear(&occurrence->steps[s]);
    }
    g_free(occurrence->steps);
    occurrence->steps = NULL;
    job->occurrences_done++;
}

void
ms_batch_job_update_phase(struct ms_engine *engine, struct ms_batch_job *job)
{
    if (job->phase != MS_PHASE_OPEN) {
        return;
    }
    uint32_t failures_max = job->queue != NULL ? MAX(job->queue->failures_max, 1) : UINT32_MAX;
    bool failed = false;
    for (guint i = 0; i < job->occurrences->len; i++) {
        struct ms_batch_occurrence *occurrence = g_ptr_array_index(job->occurrences, i);
        for (size_t s = 0; occurrence->steps != NULL && s < job->spec->step_count; s++) {
            struct ms_batch_step *step = &occurrence->steps[s];
            for (uint32_t k = 0; !step->spec->long_running && k < step->spec->task_count; k++) {
                failed |= step->tasks[k].failures >= failures_max;
            }
        }
        if (occurrence->steps != NULL) {
            complete_if_done(job, occurrence);
        }
    }
    if (failed) {
        job->phase = MS_PHASE_FAILED;
        ms_batch_job_stop_tasks(engine, job, "job_failed");
    }
    else if (job->occurrences_done == MAX(job->spec->repeat_count, 1)) {
        job->phase = MS_PHASE_SUCCEEDED;
    }
    if (job->phase != MS_PHASE_OPEN) {
        ms_engine_note_job_ended(engine, job);
        ms_engine_log_event(
            engine, "event=job_end id=%s outcome=%s since_seen_ms=%" G_GINT64_FORMAT, job->id,
            failed ? "failed" : "succeeded", engine->now - job->accepted_at);
        ms_engine_mark_dirty(engine, job, true);
    }
}

/* Stops the other members of TASK's gang, if it has one, after TASK has ended. */
static void
stop_rest_of_gang(struct ms_engine *engine, struct ms_batch_task *task, const char *reason)
{
    if (task->step->spec->gang) {
        ms_batch_task_stop_unit(engine, task, reason);
    }
}

/* TASK is not placed again for DELAY_MS; a placement pass is due as soon as that has passed. */
static void
back_off(struct ms_engine *engine, struct ms_batch_task *task, int64_t delay_ms)
{
    task->not_before = engine->now + delay_ms;
    engine->next_retry_at = MIN(engine->next_retry_at, task->not_before);
}

void
ms_batch_task_hold_back(struct ms_engine *engine, struct ms_batch_task *task, int64_t delay_ms)
{
    if (task->state == MS_BATCH_TASK_RECORDING) {
        ms_batch_task_stop_unit(engine, task, "late_run"); /* this drops the run */
    }
    if (task->state == MS_BATCH_TASK_WAITING && task->not_before < engine->now + delay_ms) {
        back_off(engine, task, delay_ms);
    }
}

bool
ms_batch_task_is_lost_run(const struct ms_batch_task *task, uint32_t run)
{
    for (size_t i = 0; i < MS_LOST_RUNS_MAX; i++) {
        if (run != 0 && task->lost_runs[i] == run) {
            return true;
        }
    }
    return false;
}

/* Puts RUN in front of the lost runs of TASK; the oldest one is dropped if there are too many. */
static void
add_lost_run(struct ms_batch_task *task, uint32_t run)
{
    memmove(&task->lost_runs[1], &task->lost_runs[0],
            (MS_LOST_RUNS_MAX - 1) * sizeof(task->lost_runs[0]));
    task->lost_runs[0] = run;
}

static void
remove_lost_run(struct ms_batch_task *task, uint32_t run)
{
    size_t kept = 0;
    for (size_t i = 0; i < MS_LOST_RUNS_MAX; i++) {
        if (task->lost_runs[i] != run) {
            task->lost_runs[kept++] = task->lost_runs[i];
        }
    }
    while (kept < MS_LOST_RUNS_MAX) {
        task->lost_runs[kept++] = 0;
    }
}

void
ms_batch_task_on_lost(struct ms_engine *engine, struct ms_batch_task *task, const char *reason)
{
    char name[MS_TASK_NAME_MAX];
    struct ms_batch_job *job = ms_batch_task_job(task);
    ms_engine_log_event(engine,
                        "event=run_lost task=%s run=%u server=%s reason=%s start_confirmed=%d"
                        " heard_age_ms=%" G_GINT64_FORMAT,
                        ms_batch_task_name(task, name), task->run, task->server->id, reason,
                        task->start_confirmed, engine->now - task->server->last_answer_at);
    if (task->failed_run != task->run) {
        add_lost_run(task, task->run); /* its gang has not failed in this run */
    }
    ms_batch_task_withdraw_start(engine, task);
    ms_batch_task_release(engine, task, MS_BATCH_TASK_WAITING);
    back_off(engine, task, RETRY_BACKOFF_MS);
    ms_engine_mark_dirty(engine, job, false);
    stop_rest_of_gang(engine, task, "member_lost");
}

void
ms_batch_task_recover_run(struct ms_engine *engine, struct ms_batch_task *task,
                          struct ms_batch_server *server)
{
    char name[MS_TASK_NAME_MAX];
    ms_engine_log_event(engine, "event=run_found task=%s run=%u server=%s",
                        ms_batch_task_name(task, name), task->run, server->id);
    ms_batch_job_note_started(engine, ms_batch_task_job(task));
    ms_batch_task_assign(engine, task, server);
    task->state = MS_BATCH_TASK_RUNNING;
    task->start_confirmed = true;
    engine->orders.to_come--;
    task->running_since = engine->now;
    ms_engine_mark_dirty(engine, ms_batch_task_job(task), false);
}

static void
avoid_server(struct ms_batch_task *task, const char *server)
{
    g_strlcpy(task->avoided_servers[task->avoided_server_count % MS_AVOIDED_SERVERS_MAX], server,
              sizeof(task->avoided_servers[0]));
    task->avoided_server_count++;
}

uint32_t
ms_batch_task_avoid_count(const struct ms_batch_task *task, const struct ms_batch_server *server)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < MIN(task->avoided_server_count, MS_AVOIDED_SERVERS_MAX); i++) {
        count += strcmp(task->avoided_servers[i], server->id) == 0;
    }
    return count;
}

/* Counts the failure of RUN for TASK itself, unless it has been counted. */
static void
count_own_failure(struct ms_batch_task *task, const char *server, uint32_t run)
{
    remove_lost_run(task, run); /* no later report of it counts */
    avoid_server(task, server);
    if (task->failed_run == run) {
        return;
    }
    task->failures++;
    task->failed_run = MAX(task->failed_run, run);
}

/*
 * Counts the failure of RUN of TASK, which avoids SERVER from now on.  A gang fails as a whole:
 * its run counts as one failure of each member, whichever members report it.
 */
static void
count_failure(struct ms_batch_task *task, const char *server, uint32_t run)
{
    struct ms_batch_step *step = task->step;
    if (!step->spec->gang) {
        count_own_failure(task, server, run);
        return;
    }
    for (uint32_t i = 0; i < step->spec->task_count; i++) {
        count_own_failure(&step->tasks[i], server, run);
    }
}

void
ms_batch_task_on_late_failure(struct ms_engine *engine, struct ms_batch_task *task,
                              const struct ms_batch_server *server, uint32_t run)
{
    count_failure(task, server->id, run);
    ms_engine_mark_dirty(engine, ms_batch_task_job(task), false);
    ms_batch_job_update_phase(engine, ms_batch_task_job(task));
}

/* Marks all tasks of a gang as done: its members succeed together, so one end is enough. */
static void
finish_gang(struct ms_engine *engine, struct ms_batch_step *step)
{
    for (uint32_t i = 0; i < step->spec->task_count; i++) {
        struct ms_batch_task *member = &step->tasks[i];
        if (member->server != NULL) {
            ms_batch_server_on_success(member->server);
        }
        if (member->state != MS_BATCH_TASK_DONE) {
            ms_batch_task_release(engine, member, MS_BATCH_TASK_DONE);
        }
    }
}

void
ms_batch_task_on_ended(struct ms_engine *engine, struct ms_batch_task *task, enum ms_run_end how,
                       const char *checkpoint)
{
    char name[MS_TASK_NAME_MAX];
    struct ms_batch_job *job = ms_batch_task_job(task);
    struct ms_batch_server *server = task->server;
    ms_engine_log_event(
        engine,
        "event=run_end task=%s run=%u server=%s how=%s after_ms=%" G_GINT64_FORMAT " failures=%u",
        ms_batch_task_name(task, name), task->run, server->id, ms_run_end_name(how),
        task->running_since > 0 ? engine->now - task->running_since : -1, task->failures);
    ms_batch_task_set_checkpoint(task, checkpoint);
    if (task->preempted) {
        ms_batch_server_restrict(engine, server, task->preemptor_priority);
    }
    switch (how) {
    case MS_RUN_END_DONE:
        ms_batch_server_on_success(server);
        if (task->step->spec->long_running) {
            /* Runs until its job is cancelled: place it again. */
            ms_batch_task_release(engine, task, MS_BATCH_TASK_WAITING);
            break;
        }
        if (task->step->spec->gang) {
            finish_gang(engine, task->step);
        }
        else {
            ms_batch_task_release(engine, task, MS_BATCH_TASK_DONE);
        }
        break;
    case MS_RUN_END_FAILED:
        ms_batch_server_on_failure(engine, server, task);
        ms_batch_task_release(engine, task, MS_BATCH_TASK_WAITING);
        back_off(engine, task, RETRY_BACKOFF_MS);
        count_failure(task, server->id, task->run);
        stop_rest_of_gang(engine, task, "member_failed");
        break;
    case MS_RUN_END_STOPPED:
    case MS_RUN_END_LEASE_EXPIRED:
    case MS_RUN_END_GANG_BROKEN:
    case MS_RUN_END_GANG_INCOMPLETE:
        ms_batch_task_release(engine, task, MS_BATCH_TASK_WAITING);
        back_off(engine, task, how == MS_RUN_END_STOPPED ? 0 : RETRY_BACKOFF_MS);
        stop_rest_of_gang(engine, task, "member_ended");
        break;
    }
    ms_engine_mark_dirty(engine, job, false);
    ms_batch_job_update_phase(engine, job);
}

void
ms_batch_job_note_started(struct ms_engine *engine, struct ms_batch_job *job)
{
    if (!job->started && job->phase == MS_PHASE_OPEN) {
        job->started = true;
        job->started_at = engine->now;
        ms_list_append(&engine->started, &job->started_link);
    }
}

void
ms_batch_task_on_started(struct ms_engine *engine, struct ms_batch_task *task)
{
    set_state(task, MS_BATCH_TASK_RUNNING);
    task->start_confirmed = true;
    ms_batch_job_note_started(engine, ms_batch_task_job(task));
    task->running_since = engine->now;
    task->last_progress_at = engine->now;
    task->server->next_renewal_at = MIN(task->server->next_renewal_at, engine->now);
}

void
ms_batch_task_on_refused(struct ms_engine *engine, struct ms_batch_task *task,
                         enum ms_order_result result)
{
    struct ms_batch_server *server = task->server;
    if (task->order_unanswered) {
        /* An earlier, unanswered order of this run may still arrive. */
        ms_batch_task_stop_unit(engine, task, "refused_uncertain");
        return;
    }
    ms_batch_task_release(engine, task, MS_BATCH_TASK_WAITING);
    back_off(engine, task, REFUSED_BACKOFF_MS);
    if (result == MS_ORDER_UNAVAILABLE || result == MS_ORDER_NO_CAPACITY) {
        avoid_server(task, server->id);
        server->suspect_until = engine->now + REFUSED_SUSPECT_MS;
    }
    ms_engine_mark_dirty(engine, ms_batch_task_job(task), false);
    stop_rest_of_gang(engine, task, "member_refused");
}

void
ms_batch_task_on_withdrawn(struct ms_engine *engine, struct ms_batch_task *task)
{
    if (task->order_unanswered) {
        /* An earlier, unanswered order of this run may still arrive. */
        ms_batch_task_stop_unit(engine, task, "withdrawn_uncertain");
        return;
    }
    ms_batch_task_on_ended(engine, task, MS_RUN_END_STOPPED, "");
}

bool
ms_batch_step_ready(const struct ms_engine *engine, const struct ms_batch_step *step)
{
    if (step->waiting == 0 || (step->spec->gang && step->active > 0) ||
        step->occurrence->due_ms > engine->unix_ms) {
        return false;
    }
    for (size_t i = 0; i < step->spec->depends_on_count; i++) {
        const struct ms_batch_step *predecessor =
            &step->occurrence->steps[step->spec->depends_on[i]];
        if (predecessor->done < predecessor->spec->task_count) {
            return false;
        }
    }
    return true;
}
