/*
 * engine_task.c - state transitions of tasks, and the end of jobs.
 */
#include <string.h>

#include "batch/engine_private.h"

#define ORDER_RETRY_MS 200     /* before an unanswered order is repeated */
#define RETRY_BACKOFF_MS 100   /* before a lost or failed task is placed again */
#define REFUSED_BACKOFF_MS 300 /* before a refused task is placed again */

int64_t
ms_btask_work(const struct ms_engine *engine, const struct ms_btask *task)
{
    const struct ms_resources *request = &task->step->spec->each;
    int64_t cores = request->cpu_millis / 1000 + request->accels * MS_ACCEL_CORES;
    return task->began_at > 0 ? cores * (engine->now - task->began_at) / 1000 : 0;
}

void
ms_btask_checkpoint(struct ms_btask *task, const char *checkpoint)
{
    if (checkpoint[0] == '\0') {
        return;
    }
    if (!task->step->spec->gang) {
        g_strlcpy(task->checkpoint, checkpoint, sizeof(task->checkpoint));
        return;
    }
    /* All members of a gang restart together from the same checkpoint. */
    for (uint32_t i = 0; i < task->step->spec->count; i++) {
        g_strlcpy(task->step->tasks[i].checkpoint, checkpoint, sizeof(task->checkpoint));
    }
}

/* Adds DELTA (1 or -1) to the counters of TASK's step and job for the task's state. */
static void
adjust_counts(struct ms_btask *task, int delta)
{
    struct ms_bstep *step = task->step;
    switch (task->state) {
    case MS_BTASK_WAITING:
        step->waiting += (uint32_t)delta;
        break;
    case MS_BTASK_RECORDING:
    case MS_BTASK_STARTING:
    case MS_BTASK_RUNNING:
    case MS_BTASK_STOPPING:
        step->active += (uint32_t)delta;
        step->occurrence->job->active += (uint32_t)delta;
        break;
    case MS_BTASK_DONE:
        step->done += (uint32_t)delta;
        break;
    }
}

static void
set_state(struct ms_btask *task, enum ms_btask_state state)
{
    adjust_counts(task, -1);
    task->state = state;
    adjust_counts(task, 1);
}

void
ms_btask_assign(struct ms_engine *engine, struct ms_btask *task, struct ms_bserver *server)
{
    set_state(task, MS_BTASK_RECORDING);
    task->server = server;
    task->recorded = false;
    task->adopted = false;
    task->order_pending = false;
    task->stop_confirmed = false;
    task->reclaimed = false;
    task->reported = false;
    task->uncertain = false;
    task->answered_at = 0;
    task->began_at = 0;
    task->percent_at_start = 0;
    task->percent = 0;
    task->progress_at = engine->now;
    ms_list_append(&server->tasks, &task->server_link);
    ms_resources_add(&server->used, &task->step->spec->each, 1);
}

void
ms_btask_release(struct ms_engine *engine, struct ms_btask *task, enum ms_btask_state state)
{
    struct ms_bserver *server = task->server;
    if (server != NULL) {
        ms_list_remove(&task->server_link);
        ms_resources_add(&server->used, &task->step->spec->each, -1);
        task->server = NULL;
    }
    task->order_pending = false;
    set_state(task, state);
    if (task->step->active == 0) {
        task->step->gang_since = 0;
    }
    engine->place_due = true;
}

void
ms_btask_order(struct ms_engine *engine, struct ms_btask *task)
{
    struct ms_bserver *server = task->server;
    /* A server that does not answer gets renewals only, until it answers one. */
    if (task->order_pending || engine->now < task->order_at || server->hold_failures > 0 ||
        server->entry.address[0] == '\0') {
        return;
    }
    bool start = task->state == MS_BTASK_STARTING;
    if (start && !ms_bserver_usable(engine, server) && !server->silent) {
        ms_btask_stop_unit(engine, task, "server_closed");
        return;
    }
    struct ms_engine_action *action =
        ms_engine_emit(engine, start ? MS_ENGINE_START : MS_ENGINE_STOP, server);
    ms_btask_name(task, action->task);
    action->run = task->run;
    if (start && task->step->gang_since == 0) {
        task->step->gang_since = engine->now;
    }
    if (start) {
        action->waited_ms = task->waited_ms;
        action->payload = g_strdup(ms_btask_job(task)->spec->payload);
        g_strlcpy(action->checkpoint, task->checkpoint, sizeof(action->checkpoint));
        g_strlcpy(action->ticket, ms_advice_ticket(task->step, server), sizeof(action->ticket));
        action->deadline_ms = ms_bserver_deadline(engine, server);
    }
    task->order_pending = true;
    task->order_at = engine->now + ORDER_RETRY_MS;
    if (start && !task->uncertain) {
        return; /* the first start order is not logged: event=place tells it */
    }
    ms_engine_note(engine, "event=%s task=%s run=%u server=%s dc=%s clock_age_ms=%" G_GINT64_FORMAT,
                   start ? "order_start" : "order_stop", action->task, action->run, server->id,
                   server->entry.dc, engine->now - server->heard_at);
}

void
ms_btask_stop(struct ms_engine *engine, struct ms_btask *task, const char *reason)
{
    char name[MS_TASK_NAME_MAX];
    switch (task->state) {
    case MS_BTASK_RECORDING:
        /* Not ordered yet: no server has this run. */
        ms_btask_release(engine, task, MS_BTASK_WAITING);
        ms_engine_dirty(engine, ms_btask_job(task), false);
        return;
    case MS_BTASK_STARTING:
    case MS_BTASK_RUNNING:
        ms_engine_note(engine,
                       "event=stop task=%s run=%u server=%s reason=%s percent=%u"
                       " core_s=%" G_GINT64_FORMAT " checkpoints=%d",
                       ms_btask_name(task, name), task->run, task->server->id, reason,
                       task->percent, ms_btask_work(engine, task), task->step->spec->checkpoints);
        set_state(task, MS_BTASK_STOPPING);
        task->adopted = false;
        task->order_pending = false;
        task->stop_confirmed = false;
        task->order_at = engine->now;
        ms_btask_order(engine, task);
        return;
    case MS_BTASK_WAITING:
    case MS_BTASK_STOPPING:
    case MS_BTASK_DONE:
        return;
    }
}

void
ms_btask_stop_unit(struct ms_engine *engine, struct ms_btask *task, const char *reason)
{
    if (!task->step->spec->gang) {
        ms_btask_stop(engine, task, reason);
        return;
    }
    for (uint32_t i = 0; i < task->step->spec->count; i++) {
        ms_btask_stop(engine, &task->step->tasks[i], reason);
    }
}

void
ms_job_stop_all(struct ms_engine *engine, struct ms_bjob *job, const char *reason)
{
    for (guint i = 0; i < job->occurrences->len; i++) {
        struct ms_occurrence *occurrence = g_ptr_array_index(job->occurrences, i);
        for (size_t s = 0; occurrence->steps != NULL && s < job->spec->step_count; s++) {
            struct ms_bstep *step = &occurrence->steps[s];
            for (uint32_t k = 0; step->active > 0 && k < step->spec->count; k++) {
                ms_btask_stop(engine, &step->tasks[k], reason);
            }
        }
    }
}

/* Frees the steps of OCCURRENCE if all of them are done; it is complete then. */
static void
complete_if_done(struct ms_bjob *job, struct ms_occurrence *occurrence)
{
    for (size_t s = 0; s < job->spec->step_count; s++) {
        if (occurrence->steps[s].done < occurrence->steps[s].spec->count) {
            return;
        }
    }
    for (size_t s = 0; s < job->spec->step_count; s++) {
        ms_bstep_clear(&occurrence->steps[s]);
    }
    g_free(occurrence->steps);
    occurrence->steps = NULL;
    job->occurrences_done++;
}

void
ms_job_check(struct ms_engine *engine, struct ms_bjob *job)
{
    if (job->phase != MS_PHASE_OPEN) {
        return;
    }
    uint32_t max_attempts = job->queue != NULL ? MAX(job->queue->attempts_max, 1) : UINT32_MAX;
    bool failed = false;
    for (guint i = 0; i < job->occurrences->len; i++) {
        struct ms_occurrence *occurrence = g_ptr_array_index(job->occurrences, i);
        for (size_t s = 0; occurrence->steps != NULL && s < job->spec->step_count; s++) {
            struct ms_bstep *step = &occurrence->steps[s];
            for (uint32_t k = 0; !step->spec->lasting && k < step->spec->count; k++) {
                failed |= step->tasks[k].failures >= max_attempts;
            }
        }
        if (occurrence->steps != NULL) {
            complete_if_done(job, occurrence);
        }
    }
    if (failed) {
        job->phase = MS_PHASE_FAILED;
        ms_job_stop_all(engine, job, "job_failed");
    }
    else if (job->occurrences_done == MAX(job->spec->repeat_count, 1)) {
        job->phase = MS_PHASE_SUCCEEDED;
    }
    if (job->phase != MS_PHASE_OPEN) {
        job->ended_at = engine->now;
        ms_engine_note(engine, "event=job_end id=%s outcome=%s since_seen_ms=%" G_GINT64_FORMAT,
                       job->id, failed ? "failed" : "succeeded", engine->now - job->accepted_at);
        ms_engine_dirty(engine, job, true);
    }
}

/* Stops the other members of TASK's gang, if it has one, after TASK has ended. */
static void
stop_rest_of_gang(struct ms_engine *engine, struct ms_btask *task, const char *reason)
{
    if (task->step->spec->gang) {
        ms_btask_stop_unit(engine, task, reason);
    }
}

/* TASK is not placed again for MS; a placement pass is due as soon as that time is over. */
static void
back_off(struct ms_engine *engine, struct ms_btask *task, int64_t ms)
{
    task->not_before = engine->now + ms;
    engine->retry_at = MIN(engine->retry_at, task->not_before);
}

void
ms_btask_lost(struct ms_engine *engine, struct ms_btask *task, const char *reason)
{
    char name[MS_TASK_NAME_MAX];
    struct ms_bjob *job = ms_btask_job(task);
    ms_engine_note(engine, "event=run_lost task=%s run=%u server=%s reason=%s",
                   ms_btask_name(task, name), task->run, task->server->id, reason);
    task->lost_run = task->run;
    ms_btask_release(engine, task, MS_BTASK_WAITING);
    back_off(engine, task, RETRY_BACKOFF_MS);
    ms_engine_dirty(engine, job, false);
    stop_rest_of_gang(engine, task, "member_lost");
}

void
ms_btask_found(struct ms_engine *engine, struct ms_btask *task, struct ms_bserver *server)
{
    char name[MS_TASK_NAME_MAX];
    ms_engine_note(engine, "event=run_found task=%s run=%u server=%s", ms_btask_name(task, name),
                   task->run, server->id);
    ms_btask_assign(engine, task, server);
    task->state = MS_BTASK_RUNNING;
    task->began_at = engine->now;
    ms_engine_dirty(engine, ms_btask_job(task), false);
}

static void
avoid_server(struct ms_btask *task, const char *server)
{
    g_strlcpy(task->avoid[task->avoid_count % MS_AVOID_MAX], server, sizeof(task->avoid[0]));
    task->avoid_count++;
}

/*
 * Counts a failed run of TASK, which avoids SERVER from now on.  A gang fails as a whole:
 * its run counts as one failure of each member, whichever member reports it.
 */
static void
count_failure(struct ms_btask *task, const char *server)
{
    struct ms_bstep *step = task->step;
    if (!step->spec->gang) {
        task->failures++;
        avoid_server(task, server);
        return;
    }
    for (uint32_t i = 0; i < step->spec->count; i++) {
        step->tasks[i].failures++;
        avoid_server(&step->tasks[i], server);
    }
}

/* Marks all tasks of a gang as done: its members succeed together, so one end is enough. */
static void
finish_gang(struct ms_engine *engine, struct ms_bstep *step)
{
    for (uint32_t i = 0; i < step->spec->count; i++) {
        if (step->tasks[i].state != MS_BTASK_DONE) {
            ms_btask_release(engine, &step->tasks[i], MS_BTASK_DONE);
        }
    }
}

void
ms_btask_ended(struct ms_engine *engine, struct ms_btask *task, enum ms_run_end how,
               const char *checkpoint)
{
    char name[MS_TASK_NAME_MAX];
    struct ms_bjob *job = ms_btask_job(task);
    struct ms_bserver *server = task->server;
    ms_engine_note(engine,
                   "event=run_end task=%s run=%u server=%s how=%s after_ms=%" G_GINT64_FORMAT
                   " failures=%u",
                   ms_btask_name(task, name), task->run, server->id, ms_run_end_name(how),
                   task->began_at > 0 ? engine->now - task->began_at : -1, task->failures);
    ms_btask_checkpoint(task, checkpoint);
    if (task->reclaimed) {
        ms_bserver_keep_quiet(engine, server);
    }
    switch (how) {
    case MS_END_DONE:
        server->fail_streak = 0;
        server->quarantines = 0;
        if (task->step->spec->lasting) {
            /* Runs until its job is cancelled: place it again. */
            ms_btask_release(engine, task, MS_BTASK_WAITING);
            break;
        }
        if (task->step->spec->gang) {
            finish_gang(engine, task->step);
        }
        else {
            ms_btask_release(engine, task, MS_BTASK_DONE);
        }
        break;
    case MS_END_FAILED:
        ms_bserver_failed(engine, server, job);
        ms_btask_release(engine, task, MS_BTASK_WAITING);
        back_off(engine, task, RETRY_BACKOFF_MS);
        count_failure(task, server->id);
        stop_rest_of_gang(engine, task, "member_failed");
        break;
    case MS_END_STOPPED:
    case MS_END_LAPSED:
    case MS_END_BROKEN:
    case MS_END_ALONE:
        ms_btask_release(engine, task, MS_BTASK_WAITING);
        back_off(engine, task, how == MS_END_STOPPED ? 0 : RETRY_BACKOFF_MS);
        stop_rest_of_gang(engine, task, "member_ended");
        break;
    }
    ms_engine_dirty(engine, job, false);
    ms_job_check(engine, job);
}

bool
ms_bstep_ready(const struct ms_engine *engine, const struct ms_bstep *step)
{
    if (step->waiting == 0 || (step->spec->gang && step->active > 0) ||
        step->occurrence->due_ms > engine->unix_ms) {
        return false;
    }
    for (size_t i = 0; i < step->spec->after_count; i++) {
        const struct ms_bstep *predecessor = &step->occurrence->steps[step->spec->after[i]];
        if (predecessor->done < predecessor->spec->count) {
            return false;
        }
    }
    return true;
}

/* The server has refused the start of TASK, so this order has not created the run. */
static void
start_refused(struct ms_engine *engine, struct ms_btask *task, enum ms_order_result result)
{
    struct ms_bserver *server = task->server;
    if (task->uncertain) {
        /* An earlier, unanswered order of this run may still arrive. */
        ms_btask_stop_unit(engine, task, "refused_uncertain");
        return;
    }
    ms_btask_release(engine, task, MS_BTASK_WAITING);
    back_off(engine, task, REFUSED_BACKOFF_MS);
    if (result == MS_ORDER_UNHEALTHY || result == MS_ORDER_NO_ROOM) {
        avoid_server(task, server->id);
        server->suspect_until = engine->now + 2000;
    }
    ms_engine_dirty(engine, ms_btask_job(task), false);
    stop_rest_of_gang(engine, task, "member_refused");
}

static void
start_answered(struct ms_engine *engine, struct ms_btask *task, enum ms_order_result result)
{
    switch (result) {
    case MS_ORDER_OK:
        set_state(task, MS_BTASK_RUNNING);
        task->began_at = engine->now;
        task->progress_at = engine->now;
        task->server->hold_at = MIN(task->server->hold_at, engine->now);
        break;
    case MS_ORDER_NO_ANSWER:
        task->uncertain = true;
        task->server->silent = true;
        task->server->hold_at = MIN(task->server->hold_at, engine->now);
        break;
    case MS_ORDER_LATE:
        task->order_at = engine->now; /* repeated at once with a new deadline */
        ms_btask_order(engine, task);
        break;
    case MS_ORDER_OLD:
        /* The run was stopped or has ended there: the next report tells which. */
        task->adopted = true;
        task->server->hold_at = MIN(task->server->hold_at, engine->now);
        break;
    case MS_ORDER_NO_TICKET:
        ms_advice_refused(task->step, task->server);
        /* fall through */
    case MS_ORDER_NO_ROOM:
    case MS_ORDER_UNHEALTHY:
    case MS_ORDER_REJECTED:
        start_refused(engine, task, result);
        break;
    case MS_ORDER_FENCED:
    case MS_ORDER_OTHER_LIFE:
        break; /* handled by ms_engine_order_answer() for the whole server */
    }
}

void
ms_engine_order_answer(struct ms_engine *engine, const struct ms_engine_action *order,
                       enum ms_order_result result, int64_t clock_ms, int64_t now)
{
    engine->now = MAX(engine->now, now);
    struct ms_bserver *server = g_hash_table_lookup(engine->servers_by_id, order->server);
    bool start = order->kind == MS_ENGINE_START;
    if (result != MS_ORDER_OK) {
        ms_engine_note(engine, "event=order_answer order=%s task=%s run=%u server=%s result=%s",
                       start ? "start" : "stop", order->task, order->run, order->server,
                       ms_order_result_name(result));
    }
    if (server == NULL || server->life != order->life) {
        return;
    }
    if (result == MS_ORDER_FENCED && !engine->stepped_down) {
        engine->stepped_down = true;
        ms_engine_emit(engine, MS_ENGINE_STEP_DOWN, NULL);
        return;
    }
    if (result == MS_ORDER_OTHER_LIFE) {
        ms_bserver_reset(engine, server, false, "other_life");
        return;
    }
    if (clock_ms > 0) {
        server->heard_at = engine->now;
        server->clock_ms = MAX(server->clock_ms, clock_ms);
    }
    struct ms_btask *task = ms_engine_task(engine, order->task);
    if (task == NULL || task->server != server || task->run != order->run) {
        return;
    }
    if (start && task->state == MS_BTASK_STARTING) {
        task->order_pending = false;
        task->answered_at = engine->now;
        start_answered(engine, task, result);
    }
    else if (!start && task->state == MS_BTASK_STOPPING) {
        task->order_pending = false;
        if (result == MS_ORDER_OK || result == MS_ORDER_OLD) {
            task->stop_confirmed = true;
            task->answered_at = engine->now;
        }
        server->hold_at = MIN(server->hold_at, engine->now);
    }
}
