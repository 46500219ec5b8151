/*
 * engine_report.c - matches the runs and run ends that a backend server reports with
 * the tasks that the engine has assigned to it.
 *
 * A reported run that no record allows is stopped.  An end reported after its run was
 * declared lost counts unless a later run of the task has been ordered and is active.
 * A task whose run should be in the report and is not is lost.
 */
#include <string.h>

#include "batch/engine_late_start.h"
#include "batch/engine_private.h"
#include "batch/engine_speed.h"

#define ENDED_ROWS_MAX 500     /* a report with this many ends may be truncated */
#define LATE_RUN_MARGIN_MS 500 /* until the next report, which may list the run again */
#define WITHHELD_ROWS_MAX 100  /* ends that may gather from a withheld one on */

/* An earlier leader's gang without progress has this long to be reported by all its servers. */
#define RESTORED_GANG_WAIT_MS 500
#define RESTORED_MEMBER_WAIT_MS 200    /* the same from the first report of a member on */
#define RESTORED_ESTIMATE_MAX_MS 25000 /* longer runs are excepted: 1 percent of them is costly */

/* Whether TASK is done or has an active run, other than RUN, that may have been ordered. */
static bool
has_other_run(const struct ms_batch_task *task, uint32_t run)
{
    switch (task->state) {
    case MS_BATCH_TASK_WAITING:
    case MS_BATCH_TASK_RECORDING:
        return false;
    case MS_BATCH_TASK_STARTING:
    case MS_BATCH_TASK_RUNNING:
    case MS_BATCH_TASK_STOPPING:
        return task->run != run;
    case MS_BATCH_TASK_DONE:
        return true;
    }
    return true;
}

/*
 * The task of the end in ROW, whose run was declared lost, if the end still counts;
 * else NULL.  It does not count if a later run of the task, or of its gang, is active and
 * may have been ordered; a run that is still being stored is dropped instead.  Only
 * MS_RUN_END_DONE and MS_RUN_END_FAILED count, the latter only if the run is the latest one and
 * was declared lost: otherwise the failure may have been counted already.
 */
static struct ms_batch_task *
find_task_of_late_end(struct ms_engine *engine, const struct ms_reported_end *row)
{
    struct ms_batch_task *task = ms_engine_find_task(engine, row->task);
    if (task == NULL || task->run < row->run || ms_batch_task_job(task)->phase != MS_PHASE_OPEN ||
        (task->state != MS_BATCH_TASK_WAITING && task->state != MS_BATCH_TASK_RECORDING)) {
        return NULL;
    }
    bool latest_failed = row->end == MS_RUN_END_FAILED && task->run == row->run &&
                         ms_batch_task_is_lost_run(task, row->run);
    if (row->end != MS_RUN_END_DONE && !latest_failed) {
        return NULL;
    }
    struct ms_batch_step *step = task->step;
    uint32_t first = step->spec->gang ? 0 : task->index;
    uint32_t last = step->spec->gang ? step->spec->task_count - 1 : task->index;
    for (uint32_t i = first; i <= last; i++) {
        if (has_other_run(&step->tasks[i], row->run)) {
            return NULL;
        }
    }
    for (uint32_t i = first; i <= last; i++) {
        if (step->tasks[i].state == MS_BATCH_TASK_RECORDING) {
            ms_batch_task_release(engine, &step->tasks[i], MS_BATCH_TASK_WAITING);
        }
    }
    return task;
}

/*
 * The task NAME, unless it belongs to a gang, if it waits and RUN is its latest run, so that the
 * run may continue; else NULL.
 */
static struct ms_batch_task *
find_waiting_task(const struct ms_engine *engine, const char *name, uint32_t run)
{
    struct ms_batch_task *task = ms_engine_find_task(engine, name);
    bool run_matches = task != NULL && task->state == MS_BATCH_TASK_WAITING && task->run == run &&
                       ms_batch_task_job(task)->phase == MS_PHASE_OPEN;
    return run_matches && !task->step->spec->gang ? task : NULL;
}

/*
 * Orders SERVER to stop the run in ROW, which no record allows.  Its task, if that waits, is not
 * placed before the run has ended.
 */
static void
stop_unknown_run(struct ms_engine *engine, struct ms_batch_server *server,
                 const struct ms_reported_run *row)
{
    struct ms_engine_action *action = ms_engine_push_action(engine, MS_ENGINE_STOP, server);
    g_strlcpy(action->task, row->task, sizeof(action->task));
    action->run = row->run;
    server->unknown_run_count++;
    struct ms_batch_task *task = ms_engine_find_task(engine, row->task);
    if (task != NULL) {
        ms_batch_task_hold_back(engine, task, engine->limits.stop_grace_ms + LATE_RUN_MARGIN_MS);
    }
    ms_engine_log_event(engine, "event=stop_unknown task=%s run=%u server=%s", row->task, row->run,
                        server->id);
}

/* The task NAME if its current run is RUN, on SERVER, and may have been ordered; else NULL. */
static struct ms_batch_task *
find_assigned_task(const struct ms_engine *engine, const struct ms_batch_server *server,
                   const char *name, uint32_t run)
{
    struct ms_batch_task *task = ms_engine_find_task(engine, name);
    if (task == NULL || task->server != server || task->run != run ||
        task->state == MS_BATCH_TASK_RECORDING) {
        return NULL;
    }
    return task;
}

/*
 * TASK was started by an earlier leader and has made PERCENT of progress.  A gang makes none until
 * all members run, so one without progress now probably lacks a member.  It is stopped unless all
 * members are reported within RESTORED_GANG_WAIT_MS, as their servers' time for its start is
 * running.  A wrong stop loses less than 1 percent of a short run.
 */
static void
limit_wait_of_restored_gang(struct ms_engine *engine, const struct ms_batch_task *task,
                            uint32_t percent)
{
    struct ms_batch_step *step = task->step;
    bool short_run =
        step->spec->estimate_ms > 0 && step->spec->estimate_ms <= RESTORED_ESTIMATE_MAX_MS;
    if (step->spec->gang && short_run && percent == 0 && step->gang_started_at == 0) {
        int64_t until =
            MAX(engine->created_at + RESTORED_GANG_WAIT_MS, engine->now + RESTORED_MEMBER_WAIT_MS);
        step->gang_started_at = until - engine->limits.gang_start_ms;
    }
}

/* Processes a reported run; adds its task to SEEN unless the run is stopped. */
static void
process_running_row(struct ms_engine *engine, struct ms_batch_server *server,
                    const struct ms_reported_run *row, GHashTable *seen)
{
    struct ms_batch_task *task = find_assigned_task(engine, server, row->task, row->run);
    ms_late_start_on_seen(engine, server, row->task, row->run);
    bool ran_before = false; /* this leader did not see the run start */
    if (task == NULL) {
        task = find_waiting_task(engine, row->task, row->run);
        if (task != NULL) {
            ms_batch_task_recover_run(engine, task, server);
            ran_before = true;
        }
    }
    if (task == NULL) {
        stop_unknown_run(engine, server, row);
        return;
    }
    g_hash_table_add(seen, task);
    task->seen_in_report = true;
    task->start_confirmed = true;
    if (task->state == MS_BATCH_TASK_STARTING) {
        if (task->awaits_report) {
            limit_wait_of_restored_gang(engine, task, row->percent);
        }
        /* The report confirms the start, even if the order was not answered. */
        struct ms_engine_action order = {
            .kind = MS_ENGINE_START, .epoch = engine->epoch, .incarnation = server->incarnation};
        g_strlcpy(order.server, server->id, sizeof(order.server));
        g_strlcpy(order.task, row->task, sizeof(order.task));
        order.run = row->run;
        ms_engine_on_order_answer(engine, &order, MS_ORDER_OK, 0, engine->now);
        task->awaits_report = false;
        ran_before = true;
    }
    if (ran_before) {
        task->resumed_percent = row->percent;
    }
    if (row->percent != task->progress_percent) {
        if (task->progress_percent == 0 && task->checkpoint[0] != '\0') {
            task->resumed_percent = row->percent; /* resumed from the checkpoint */
        }
        task->progress_percent = row->percent;
        task->last_progress_at = engine->now;
    }
    if (row->percent > 0 && task->step->spec->gang && task->checkpoint[0] == '\0') {
        task->step->gang_started_at = 0; /* the gang makes progress, so all members run */
    }
    ms_speed_on_progress(engine, task, row->checkpoint);
    ms_batch_task_set_checkpoint(task, row->checkpoint);
}

/*
 * Withholds the acknowledgement of ROW, and of all later ends on SERVER, if ROW reports
 * that a run is done whose task has been started again since.  Once a successful end is
 * acknowledged, no run of its task may start; this end is not, so the later run counts.
 */
static void
withhold_late_end(struct ms_engine *engine, struct ms_batch_server *server,
                  const struct ms_reported_end *row)
{
    const struct ms_batch_task *task = ms_engine_find_task(engine, row->task);
    if (row->end != MS_RUN_END_DONE || task == NULL || task->run <= row->run ||
        server->withheld_end != 0) {
        return;
    }
    server->withheld_end = row->position;
    ms_engine_log_event(engine, "event=end_withheld task=%s run=%u server=%s later_run=%u",
                        row->task, row->run, server->id, task->run);
}

/*
 * ROW is the end of a run whose task has another run now, or none that it belongs to.  It is
 * logged: how a run ended that was given up shows whether it went on beside a later one.
 */
static void
process_superseded_end(struct ms_engine *engine, struct ms_batch_server *server,
                       const struct ms_reported_end *row)
{
    struct ms_batch_task *task = ms_engine_find_task(engine, row->task);
    if (task != NULL) {
        ms_engine_log_event(engine, "event=run_end task=%s run=%u server=%s how=%s later_run=%u",
                            row->task, row->run, server->id, ms_run_end_name(row->end), task->run);
    }
    if (task == NULL || task->run <= row->run) {
        ms_late_start_on_end(engine, server, row); /* it has counted for an earlier leader */
    }
    bool failed_late = task != NULL && row->end == MS_RUN_END_FAILED &&
                       ms_batch_task_is_lost_run(task, row->run) && task->run > row->run &&
                       ms_batch_task_job(task)->phase == MS_PHASE_OPEN;
    if (failed_late) {
        ms_batch_task_on_late_failure(engine, task, server, row->run);
        return;
    }
    withhold_late_end(engine, server, row);
}

/* Processes a reported end unless an earlier report contained it. */
static void
process_ended_row(struct ms_engine *engine, struct ms_batch_server *server,
                  const struct ms_reported_end *row)
{
    if (row->position <= server->ends_seen) {
        return;
    }
    server->ends_seen = row->position;
    ms_late_start_on_seen(engine, server, row->task, row->run);
    const struct ms_batch_task *ended = ms_engine_find_task(engine, row->task);
    if (ended != NULL) {
        ms_batch_job_note_started(engine, ms_batch_task_job(ended));
    }
    struct ms_batch_task *task = find_assigned_task(engine, server, row->task, row->run);
    if (task == NULL) {
        task = find_task_of_late_end(engine, row);
        if (task != NULL) {
            ms_batch_task_recover_run(engine, task, server);
        }
    }
    if (task != NULL) {
        ms_late_start_on_end(engine, server, row);
        ms_batch_task_on_ended(engine, task, row->end, row->checkpoint);
    }
    else {
        process_superseded_end(engine, server, row);
    }
}

/* Whether a report requested at SENT_AT that does not list TASK proves that it has no run. */
static bool
absence_proves_loss(const struct ms_batch_task *task, int64_t sent_at)
{
    if (task->last_answer_at >= sent_at || task->order_pending) {
        return false;
    }
    switch (task->state) {
    case MS_BATCH_TASK_STARTING:
        return task->awaits_report;
    case MS_BATCH_TASK_RUNNING:
        return true;
    case MS_BATCH_TASK_STOPPING:
        return task->stop_confirmed;
    case MS_BATCH_TASK_WAITING:
    case MS_BATCH_TASK_RECORDING:
    case MS_BATCH_TASK_DONE:
        return false;
    }
    return false;
}

void
ms_batch_server_on_report(struct ms_engine *engine, struct ms_batch_server *server,
                          const struct ms_server_report *report, int64_t sent_at)
{
    GHashTable *seen = g_hash_table_new(NULL, NULL);
    server->unknown_run_count = 0;
    for (size_t i = 0; i < report->ended_count; i++) {
        process_ended_row(engine, server, &report->ended[i]);
    }
    for (size_t i = 0; i < report->running_count; i++) {
        process_running_row(engine, server, &report->running[i], seen);
    }
    server->report_full = report->ended_count >= ENDED_ROWS_MAX;
    if (server->withheld_end != 0 && report->ended_count >= WITHHELD_ROWS_MAX &&
        !server->lapse_due) {
        server->lapse_due = true;
        ms_engine_log_event(engine, "event=lease_lapse_due server=%s ends=%zu", server->id,
                            report->ended_count);
    }
    bool rescan = !server->report_full;
    while (rescan) {
        rescan = false;
        MS_LIST_FOREACH(link, &server->tasks)
        {
            struct ms_batch_task *task = MS_CONTAINER_OF(link, struct ms_batch_task, server_link);
            if (!g_hash_table_contains(seen, task) && absence_proves_loss(task, sent_at)) {
                ms_batch_task_on_lost(engine, task, "absent");
                rescan = true; /* other members of its gang may have left the list too */
                break;
            }
        }
    }
    g_hash_table_destroy(seen);
}
