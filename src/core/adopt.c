/*
 * adopt.c - tasks that a newly held backend server already has.
 *
 * After another host held the servers, their reports are all that is known of
 * running work.  A gang is adopted when every member has been reported; until
 * then its leases are not renewed, so a gang that stays incomplete ends by
 * itself.
 */
#include <stdio.h>
#include <string.h>

#include "sched.h"

/* Job of the reported task, created when it is not known here. */
static struct ms_job *
seen_job(struct ms_sched *sched, const struct ms_task_event *event)
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

/* Tells the server to stop or forget a task that no job here accounts for. */
static void
reject(struct ms_sched *sched, const struct ms_server *server, const struct ms_task_event *event)
{
    struct ms_action *action = ms_emit(sched, MS_ACTION_TASK, event->id);
    action->task.op = event->seen == MS_SEEN_ENDED ? MS_OP_ACK : MS_OP_STOP;
    action->task.server = server->name;
    action->task.member = event->member;
    action->task.attempt = event->attempt;
}

static bool
ready_to_adopt(struct ms_job *job, const struct ms_task_event *event)
{
    bool unplaced = job->tasks[event->member].server == NULL &&
                    job->tasks[event->member].state == MS_TASK_UNPLACED;
    if (job->state == MS_JOB_WAITING && unplaced && event->attempt >= job->attempt) {
        /* Submitted again before the servers reported it. */
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

/* Charges a reported task of a job that is being adopted. */
static void
adopt_task(struct ms_sched *sched, struct ms_server *server, struct ms_job *job,
           const struct ms_task_event *event)
{
    struct ms_task *task = &job->tasks[event->member];
    ms_task_charge(sched, task, server, NULL);
    task->seen = true;
    task->state = event->seen == MS_SEEN_PREPARED ? MS_TASK_PREPARED : MS_TASK_RUNNING;
    task->started = event->seen != MS_SEEN_PREPARED;
    job->phase_until = sched->now + sched->limits.lease_ms;
    ms_set_timer(sched, job->phase_until);
    if (job->spec.tasks > 1 && event->seen != MS_SEEN_ENDED) {
        task->withheld = true;
        ms_emit_task(sched, task, MS_OP_WITHHOLD);
    }
}

/* Matches a report with a task that is charged to the server already. */
static bool
match_charged(struct ms_sched *sched, struct ms_server *server, struct ms_job *job,
              const struct ms_task_event *event)
{
    struct ms_task *task = &job->tasks[event->member];
    if (task->server != server || event->attempt != job->attempt) {
        return false;
    }
    task->seen = true;
    if (task->state != MS_TASK_ORPHANED) {
        return true;
    }
    if (job->state == MS_JOB_STARTING && event->seen != MS_SEEN_PREPARED) {
        task->state = MS_TASK_STARTING;
        ms_gang_started(sched, task);
        return true;
    }
    task->state = event->seen == MS_SEEN_PREPARED ? MS_TASK_PREPARED : MS_TASK_RUNNING;
    if (job->state == MS_JOB_ABORTING && event->seen != MS_SEEN_ENDED) {
        ms_gang_stop_task(sched, task);
    }
    return true;
}

void
ms_adopt_seen(struct ms_sched *sched, struct ms_server *server, const struct ms_task_event *event)
{
    if (g_hash_table_contains(sched->recent_index, event->id)) {
        reject(sched, server, event); /* its outcome was told already */
        return;
    }
    struct ms_job *job = seen_job(sched, event);
    if (event->member >= job->spec.tasks) {
        reject(sched, server, event);
        return;
    }
    if (!match_charged(sched, server, job, event)) {
        if (!ready_to_adopt(job, event)) {
            reject(sched, server, event);
            return;
        }
        adopt_task(sched, server, job, event);
    }
    if (event->seen == MS_SEEN_ENDED) {
        struct ms_task *task = &job->tasks[event->member];
        if (job->state == MS_JOB_ADOPTING && event->result != MS_TASK_OK) {
            job->state = MS_JOB_RUNNING; /* nothing to wait for: a member ended badly */
        }
        ms_gang_ended(sched, task, event);
    }
}

/* Ends the tasks charged to SERVER that it did not report, and opens it. */
void
ms_adopt_server_done(struct ms_sched *sched, struct ms_server *server)
{
    struct ms_task_event gone = {.result = MS_TASK_LAPSED};
    MS_LIST_EACH(link, &server->tasks)
    {
        struct ms_task *task = MS_CONTAINER(link, struct ms_task, server_link);
        if (!task->seen && task->state != MS_TASK_RESERVED) {
            ms_gang_ended(sched, task, &gone);
            link_next = server->tasks.next;
        }
    }
    server->state = MS_SERVER_UP;
    sched->dirty = true;
    sched->cells_dirty = true;
    MS_LIST_EACH(link, &server->tasks)
    {
        struct ms_job *job = MS_CONTAINER(link, struct ms_task, server_link)->job;
        if (job->state == MS_JOB_ADOPTING) {
            ms_adopt_check(sched, job);
        }
    }
}

static void
count_members(const struct ms_job *job, uint32_t *present, uint32_t *running)
{
    *present = 0;
    *running = 0;
    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        enum ms_task_state state = job->tasks[i].state;
        *present += state != MS_TASK_UNPLACED ? 1 : 0;
        bool ended = state == MS_TASK_FINISHED && job->tasks[i].result != MS_TASK_NOT_STARTED;
        *running += state == MS_TASK_RUNNING || ended ? 1 : 0;
    }
}

/* Takes over a job all of whose members run. */
static void
adopt_whole(struct ms_sched *sched, struct ms_job *job)
{
    job->state = MS_JOB_RUNNING;
    job->phase_until = INT64_MAX;
    ms_gang_renew(sched, job);
}

/*
 * Decides about an adopting job: whole, still incomplete, or given up.  A gang
 * of which some members run and others are only prepared is given up: letting
 * the others go now would have them run out of step by up to a lease.
 */
void
ms_adopt_check(struct ms_sched *sched, struct ms_job *job)
{
    uint32_t present = 0;
    uint32_t running = 0;
    count_members(job, &present, &running);
    bool whole = present == job->spec.tasks;
    if (whole && running == present) {
        adopt_whole(sched, job);
        return;
    }
    if (!whole && job->phase_until > sched->now) {
        return;
    }
    const char *detail = "an earlier holder may have run it, and not all of it was found";
    if (whole && running == 0 && !job->spec.idempotent) {
        job->may_have_run = false; /* its only attempt was prepared, no more */
    }
    if (job->submitted && (job->spec.idempotent || !job->may_have_run)) {
        ms_gang_abort(sched, job, MS_AFTER_RETRY, MS_OUTCOME_LOST_CONTACT, detail);
        return;
    }
    enum ms_after after = job->submitted ? MS_AFTER_OUTCOME : MS_AFTER_FORGET;
    ms_gang_abort(sched, job, after, MS_OUTCOME_LOST_CONTACT, detail);
}
