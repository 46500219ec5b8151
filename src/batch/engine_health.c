/*
 * engine_health.c - detects servers that fail, stall or are slow, and moves runs off them
 * and off draining servers.
 *
 * Estimated run times are too rough to detect a slow server.  The tasks of one step do
 * equal work, so a run that is much slower than its siblings on other servers indicates
 * that its server is slow.
 */
#include <string.h>

#include "batch/engine_private.h"
#include "batch/engine_speed.h"

#define STALL_MS 1500               /* a run without progress for this long is stalled */
#define STALL_COSTLY_MS 3500        /* the same for a run whose loss is costly */
#define COSTLY_LOSS_MS 3000         /* without checkpoints, a longer run is costly to lose */
#define STALL_ESTIMATE_FRACTION 0.3 /* of the estimate: lower bound of both stall times */
/* Lower bound of both: the time for so many percent at the normal rate, as a slow server may take
 * that long for one. */
#define STALL_PERCENTS 8
#define SUSPECT_MS 3000    /* how long a server with a failed run is chosen last */
#define QUARANTINE_MS 4000 /* first quarantine; doubles with each one until a run succeeds */
#define QUARANTINE_DOUBLINGS 3
#define FAILED_JOBS_MAX 2      /* distinct jobs that fail in a row: the server is quarantined */
#define SLOW_FACTOR 3          /* a run is lagging if a sibling is this many times as fast */
#define SLOW_MS 8000           /* how long a slow server is chosen last */
#define RATE_MIN_AGE_MS 700    /* the progress rate of a younger run is not used */
#define RESTART_PERCENT_MAX 50 /* percent; a run with this progress is not restarted */
#define RESTART_COST_MS 500    /* time that a stop and another start take */
#define DRAIN_MARGIN_MS 500    /* a stop is ordered this long before the latest time for it */

/* Excludes SERVER from placement for a time that doubles with each quarantine. */
static void
quarantine(struct ms_engine *engine, struct ms_batch_server *server)
{
    int64_t duration_ms = (int64_t)QUARANTINE_MS
                          << MIN(server->quarantine_count, QUARANTINE_DOUBLINGS);
    server->quarantined_until = engine->now + duration_ms;
    server->quarantine_count++;
    server->consecutive_failed_jobs = 0;
    ms_engine_log_event(engine, "event=quarantine server=%s for_ms=%" G_GINT64_FORMAT, server->id,
                        duration_ms);
}

void
ms_batch_server_on_failure(struct ms_engine *engine, struct ms_batch_server *server,
                           const struct ms_batch_task *task)
{
    const struct ms_batch_job *job = ms_batch_task_job(task);
    server->suspect_until = engine->now + SUSPECT_MS;
    if (engine->now < server->quarantined_until) {
        return; /* the run started before the quarantine, which it does not extend */
    }
    if (task->failures > 0) {
        return; /* the task has failed before: it is more likely the cause than the server */
    }
    if (strcmp(server->last_failed_job, job->id) != 0) {
        server->consecutive_failed_jobs++;
        g_strlcpy(server->last_failed_job, job->id, sizeof(server->last_failed_job));
    }
    if (server->consecutive_failed_jobs < FAILED_JOBS_MAX) {
        return;
    }
    quarantine(engine, server);
}

void
ms_batch_server_on_success(struct ms_batch_server *server)
{
    server->consecutive_failed_jobs = 0;
    server->quarantine_count = 0;
}

/* Progress of a run in percent per minute; 0 if it is not yet known. */
static int64_t
progress_rate(const struct ms_engine *engine, const struct ms_batch_task *task)
{
    int64_t run_ms = task->last_progress_at - task->running_since;
    if (task->state != MS_BATCH_TASK_RUNNING || task->running_since == 0 ||
        run_ms < RATE_MIN_AGE_MS || engine->now - task->running_since < RATE_MIN_AGE_MS ||
        task->progress_percent <= task->resumed_percent) {
        return 0;
    }
    return (int64_t)(task->progress_percent - task->resumed_percent) * 60000 / run_ms;
}

/* The best progress rate of TASK's siblings on other servers; 0 if there is none. */
static int64_t
best_sibling_rate(const struct ms_engine *engine, const struct ms_batch_task *task)
{
    int64_t best = 0;
    for (uint32_t i = 0; i < task->step->spec->task_count; i++) {
        const struct ms_batch_task *sibling = &task->step->tasks[i];
        if (sibling->server != task->server) {
            best = MAX(best, progress_rate(engine, sibling));
        }
    }
    return best;
}

/*
 * Since when TASK has made no progress.  A gang makes none before all its members run:
 * INT64_MAX while one is missing.
 */
static int64_t
no_progress_since(const struct ms_batch_task *task)
{
    const struct ms_batch_step *step = task->step;
    int64_t since = task->last_progress_at;
    for (uint32_t i = 0; step->spec->gang && i < step->spec->task_count; i++) {
        if (step->tasks[i].state != MS_BATCH_TASK_RUNNING) {
            return INT64_MAX;
        }
        since = MAX(since, step->tasks[i].running_since);
    }
    return since;
}

/* Time without progress after which a run is stalled; longer if its loss is costly. */
static int64_t
stall_limit_ms(const struct ms_batch_task *task, int64_t since)
{
    const struct ms_step *spec = task->step->spec;
    bool costly = !spec->checkpoints && since - task->running_since > COSTLY_LOSS_MS;
    int64_t min_ms = (int64_t)(STALL_ESTIMATE_FRACTION * (double)spec->estimate_ms);
    return MAX(MAX(min_ms, ms_speed_percent_ms(task) * STALL_PERCENTS),
               costly ? STALL_COSTLY_MS : STALL_MS);
}

/*
 * Whether a running task is stalled.  Time counts up to the last report of its server: the
 * time since then says nothing about its progress.
 */
static bool
is_stalled(const struct ms_batch_task *task)
{
    const struct ms_step *spec = task->step->spec;
    if (task->state != MS_BATCH_TASK_RUNNING || spec->long_running || spec->best_effort ||
        task->progress_percent >= 100 || task->server->unresponsive) {
        return false;
    }
    int64_t since = no_progress_since(task);
    return since < task->server->last_report_at &&
           task->server->last_report_at - since >= stall_limit_ms(task, since);
}

int64_t
ms_batch_task_remaining_ms(const struct ms_engine *engine, const struct ms_batch_task *task)
{
    int64_t remaining = 100 - MIN(task->progress_percent, 100);
    int64_t rate = progress_rate(engine, task);
    return rate > 0 ? remaining * 60000 / rate : task->step->spec->estimate_ms * remaining / 100;
}

/* Whether a sibling of TASK on another server is at least SLOW_FACTOR times as fast. */
static bool
is_lagging(const struct ms_engine *engine, const struct ms_batch_task *task)
{
    if (task->step->spec->long_running || task->step->spec->best_effort) {
        return false;
    }
    int64_t rate = progress_rate(engine, task);
    return rate > 0 && best_sibling_rate(engine, task) >= rate * SLOW_FACTOR;
}

void
ms_batch_server_update_speed(struct ms_engine *engine, struct ms_batch_server *server)
{
    uint32_t slow = 0;
    uint32_t normal = 0;
    if (engine->limits.weigh_slow_stops) {
        ms_speed_update_server(engine, server);
        return;
    }
    MS_LIST_FOREACH(link, &server->tasks)
    {
        const struct ms_batch_task *task = MS_CONTAINER_OF(link, struct ms_batch_task, server_link);
        if (progress_rate(engine, task) > 0 && best_sibling_rate(engine, task) > 0) {
            bool lagging = is_lagging(engine, task);
            slow += lagging;
            normal += !lagging;
        }
    }
    if (slow + normal == 0) {
        return;
    }
    if (slow > normal && engine->now >= server->slow_until) {
        ms_engine_log_event(engine, "event=server_slow server=%s slow=%u fair=%u", server->id, slow,
                            normal);
    }
    server->slow_until = slow > normal ? engine->now + SLOW_MS : 0;
}

/*
 * Whether TASK would end clearly sooner on another server.  It would continue from its
 * checkpoint there, or start again; the estimate assumes that it starts again.
 */
static bool
is_faster_elsewhere(const struct ms_engine *engine, const struct ms_batch_task *task)
{
    if (engine->now >= task->server->slow_until || task->progress_percent >= RESTART_PERCENT_MAX ||
        !is_lagging(engine, task)) {
        return false;
    }
    int64_t restart_ms = 100 * 60000 / MAX(best_sibling_rate(engine, task), 1);
    return ms_batch_task_remaining_ms(engine, task) > restart_ms + restart_ms / 2 + RESTART_COST_MS;
}

/* Stops TASK if its server is slow and it should end sooner elsewhere; returns whether it did. */
static bool
leave_slow_server(struct ms_engine *engine, struct ms_batch_task *task)
{
    if (engine->limits.weigh_slow_stops) {
        return ms_speed_leave_slow_server(engine, task);
    }
    if (!is_faster_elsewhere(engine, task)) {
        return false;
    }
    ms_batch_task_stop_unit(engine, task, "slow_server");
    return true;
}

/*
 * Whether TASK has to be stopped now because its draining server may shut down before the
 * task ends.  A task with checkpoints is stopped as late as possible; one without is
 * stopped at once, but only if its progress is below RESTART_PERCENT_MAX.
 */
static bool
must_leave_server(const struct ms_engine *engine, const struct ms_batch_task *task)
{
    const struct ms_batch_server *server = task->server;
    if (!server->entry.draining || task->state != MS_BATCH_TASK_RUNNING ||
        task->step->spec->long_running || server->available_until == 0) {
        return false;
    }
    int64_t remaining = server->available_until - engine->now;
    if (ms_batch_task_remaining_ms(engine, task) <= remaining) {
        return false;
    }
    if (!task->step->spec->checkpoints) {
        return task->progress_percent < RESTART_PERCENT_MAX;
    }
    return remaining <= engine->limits.stop_grace_ms + DRAIN_MARGIN_MS;
}

void
ms_batch_task_check_health(struct ms_engine *engine, struct ms_batch_task *task)
{
    if (is_stalled(task)) {
        if (engine->now >= task->server->quarantined_until) {
            quarantine(engine, task->server);
        }
        ms_batch_task_stop_unit(engine, task, "no_progress");
    }
    else if (!leave_slow_server(engine, task) && must_leave_server(engine, task)) {
        ms_batch_task_stop_unit(engine, task, "server_leaves");
    }
}
