/*
 * adopt.c - adoption of tasks that backend servers run already under a new leader.
 *
 * When a host becomes the leader, it knows only of the tasks that the servers
 * report.  A gang is adopted when all its members have been reported.  Until then
 * the leases of its members are not renewed, so the members of an incomplete gang
 * end when their leases expire.
 */
#include <stdio.h>
#include <string.h>

#include "sched.h"

/* The job of the reported task; a job that is not known is created in state ADOPTING. */
static struct ms_job *
find_or_create_job(struct ms_sched *sched, const struct ms_task_event *event)
{
    struct ms_job *job = ms_job_find(sched, event->id);
    if (job != NULL) {
        return job;
    }
    job = ms_job_new(sched, &event->spec, event->id);
    if (job == NULL) {
        g_error("event=out_of_memory where=adopt id=%s", event->id);
    }
    job->state = MS_JOB_ADOPTING;
    job->attempt = event->attempt;
    job->started_at = sched->now;
    job->may_have_run = true;
    return job;
}

/* Tells the server to stop a task that is not adopted, or to forget it if it has ended. */
static void
reject_task(struct ms_sched *sched, const struct ms_server *server,
            const struct ms_task_event *event)
{
    struct ms_action *action = ms_emit_action(sched, MS_ACTION_TASK, event->id);
    action->task.op = event->reported_state == MS_REPORTED_ENDED ? MS_OP_ACK : MS_OP_STOP;
    action->task.server = server->name;
    action->task.member_index = event->member_index;
    action->task.attempt = event->attempt;
}

/*
 * Whether the reported task may be adopted: JOB is being adopted or still waits,
 * the member is charged to no server, and the report is not of an older attempt.
 * Moves a waiting job to state ADOPTING, and JOB to a newer attempt.
 */
static bool
prepare_adoption(struct ms_job *job, const struct ms_task_event *event)
{
    bool unplaced = job->tasks[event->member_index].server == NULL &&
                    job->tasks[event->member_index].state == MS_TASK_UNPLACED;
    if (job->state == MS_JOB_WAITING && unplaced && event->attempt >= job->attempt) {
        /* The job was submitted again before its server reported the task. */
        ms_account_dequeue(job);
        job->state = MS_JOB_ADOPTING;
        job->attempt = event->attempt;
        job->may_have_run = true;
        return true;
    }
    if (job->state != MS_JOB_ADOPTING || !unplaced) {
        return false;
    }
    if (event->attempt > job->attempt) {
        job->attempt = event->attempt;
    }
    return event->attempt == job->attempt;
}

/*
 * Charges a reported task of a job that is being adopted to SERVER.  Every report
 * extends the wait for the other members to one lease from now.
 */
static void
adopt_task(struct ms_sched *sched, struct ms_server *server, struct ms_job *job,
           const struct ms_task_event *event)
{
    struct ms_task *task = &job->tasks[event->member_index];
    ms_task_charge(sched, task, server, NULL);
    task->reported = true;
    task->state =
        event->reported_state == MS_REPORTED_PREPARED ? MS_TASK_PREPARED : MS_TASK_RUNNING;
    task->start_sent = event->reported_state != MS_REPORTED_PREPARED;
    job->state_deadline = sched->now + sched->limits.lease_ms;
    ms_set_timer(sched, job->state_deadline);
    if (job->spec.tasks > 1 && event->reported_state != MS_REPORTED_ENDED) {
        task->lease_withheld = true;
        ms_emit_task_action(sched, task, MS_OP_WITHHOLD_LEASE);
    }
}

/*
 * Applies a report of a task that is charged to SERVER already, as after the server
 * was lost and has come back.  Returns false if the task is charged elsewhere or not
 * at all, or the report is of another attempt.
 */
static bool
match_charged_task(struct ms_sched *sched, struct ms_server *server, struct ms_job *job,
                   const struct ms_task_event *event)
{
    struct ms_task *task = &job->tasks[event->member_index];
    if (task->server != server || event->attempt != job->attempt) {
        return false;
    }
    task->reported = true;
    if (task->state != MS_TASK_ORPHANED) {
        return true;
    }
    if (job->state == MS_JOB_STARTING && event->reported_state != MS_REPORTED_PREPARED) {
        task->state = MS_TASK_STARTING;
        ms_gang_task_started(sched, task);
        return true;
    }
    task->state =
        event->reported_state == MS_REPORTED_PREPARED ? MS_TASK_PREPARED : MS_TASK_RUNNING;
    if (job->state == MS_JOB_ABORTING && event->reported_state != MS_REPORTED_ENDED) {
        ms_gang_stop_task(sched, task);
    }
    return true;
}

/*
 * Handles the report of a task that SERVER already had when it came up: matches it
 * with a known task, adopts it, or has the server stop or forget it.
 */
void
ms_adopt_reported_task(struct ms_sched *sched, struct ms_server *server,
                       const struct ms_task_event *event)
{
    if (g_hash_table_contains(sched->kept_outcome_index, event->id)) {
        reject_task(sched, server, event); /* the job has its final outcome already */
        return;
    }
    struct ms_job *job = find_or_create_job(sched, event);
    if (event->member_index >= job->spec.tasks) {
        reject_task(sched, server, event);
        return;
    }
    if (!match_charged_task(sched, server, job, event)) {
        if (!prepare_adoption(job, event)) {
            reject_task(sched, server, event);
            return;
        }
        adopt_task(sched, server, job, event);
    }
    if (event->reported_state == MS_REPORTED_ENDED) {
        struct ms_task *task = &job->tasks[event->member_index];
        if (job->state == MS_JOB_ADOPTING && event->result != MS_TASK_OK) {
            job->state = MS_JOB_RUNNING; /* a member did not succeed: do not wait for the others */
        }
        ms_gang_task_ended(sched, task, event);
    }
}

/*
 * Called when SERVER has reported all its tasks.  Tasks that were sent to it
 * before and are not reported count as ended.  The server then takes new work, and
 * the adoption of jobs that it reported is decided where possible.
 */
void
ms_adopt_finish_sync(struct ms_sched *sched, struct ms_server *server)
{
    struct ms_task_event lease_expired = {.result = MS_TASK_LEASE_EXPIRED};
    MS_LIST_FOREACH(link, &server->tasks)
    {
        struct ms_task *task = MS_CONTAINER_OF(link, struct ms_task, server_link);
        if (!task->reported && task->state != MS_TASK_CHARGED) {
            ms_gang_task_ended(sched, task, &lease_expired);
            link_next = server->tasks.next;
        }
    }
    server->state = MS_SERVER_UP;
    sched->queue_dirty = true;
    sched->cells_dirty = true;
    MS_LIST_FOREACH(link, &server->tasks)
    {
        struct ms_job *job = MS_CONTAINER_OF(link, struct ms_task, server_link)->job;
        if (job->state == MS_JOB_ADOPTING) {
            ms_adopt_decide(sched, job);
        }
    }
}

/* Counts the members of JOB that were reported, and those of them that run or have run. */
static void
count_members(const struct ms_job *job, uint32_t *reported, uint32_t *running)
{
    *reported = 0;
    *running = 0;
    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        enum ms_task_state state = job->tasks[i].state;
        *reported += state != MS_TASK_UNPLACED ? 1 : 0;
        bool ended = state == MS_TASK_FINISHED && job->tasks[i].result != MS_TASK_NOT_STARTED;
        *running += state == MS_TASK_RUNNING || ended ? 1 : 0;
    }
}

/* Completes the adoption of JOB, all members of which run. */
static void
finish_adoption(struct ms_sched *sched, struct ms_job *job)
{
    job->state = MS_JOB_RUNNING;
    job->state_deadline = INT64_MAX;
    ms_gang_renew_leases(sched, job);
}

/*
 * Adopts JOB if all members run, aborts it if that can no longer happen, and else
 * keeps waiting for reports.  A gang of which some members run and others are only
 * prepared is aborted: sending GO to the others now would start them up to one lease
 * later than the first ones.
 */
void
ms_adopt_decide(struct ms_sched *sched, struct ms_job *job)
{
    uint32_t reported = 0;
    uint32_t running = 0;
    count_members(job, &reported, &running);
    bool complete = reported == job->spec.tasks;
    if (complete && running == reported) {
        finish_adoption(sched, job);
        return;
    }
    if (!complete && job->state_deadline > sched->now) {
        return;
    }
    const char *detail = "an earlier holder may have run it, and not all of it was found";
    if (complete && running == 0 && !job->spec.idempotent) {
        job->may_have_run = false; /* its only attempt was prepared, never started */
    }
    if (job->submitted && (job->spec.idempotent || !job->may_have_run)) {
        ms_gang_abort(sched, job, MS_ABORT_RETRY, MS_OUTCOME_LOST_CONTACT, detail);
        return;
    }
    enum ms_abort_action abort_action = job->submitted ? MS_ABORT_FINISH : MS_ABORT_DISCARD;
    ms_gang_abort(sched, job, abort_action, MS_OUTCOME_LOST_CONTACT, detail);
}
