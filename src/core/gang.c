/*
 * gang.c - states of a job from its placement until it runs; its timers.
 *
 * The tasks of a job are the members of a gang; most jobs have one.  A larger gang
 * starts in two phases: PREPARE is sent to the server of every member, and GO once
 * all have confirmed it.  When one member is lost, the others are stopped and their
 * leases are no longer renewed, so all members end within one lease of each other
 * even if their servers cannot be reached (two-phase commit with leases in place of
 * a blocking coordinator: Gray, "Notes on Data Base Operating Systems", 1978).
 */
#include <stdio.h>
#include <string.h>

#include "sched.h"

/* Failed token requests after which a job that is not detached ends as unavailable. */
#define TOKEN_FAILURES_MAX 2

/* Moves JOB to STATE; state_timed_out() is called after TIMEOUT_MS (INT64_MAX: never). */
static void
set_state(struct ms_sched *sched, struct ms_job *job, enum ms_job_state state, int64_t timeout_ms)
{
    job->state = state;
    job->state_deadline = timeout_ms == INT64_MAX ? INT64_MAX : sched->now + timeout_ms;
    ms_set_timer(sched, job->state_deadline);
}

/* Sends OP to the server of every member and moves each member to STATE. */
static void
send_to_all(struct ms_sched *sched, struct ms_job *job, enum ms_task_op op,
            enum ms_task_state state)
{
    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        job->tasks[i].state = state;
        job->tasks[i].start_sent = op != MS_OP_PREPARE;
        ms_emit_task_action(sched, &job->tasks[i], op);
    }
}

/* Sends START for a single task, PREPARE for the members of a larger gang. */
static void
launch(struct ms_sched *sched, struct ms_job *job)
{
    if (job->spec.tasks == 1) {
        job->may_have_run = true;
        set_state(sched, job, MS_JOB_STARTING, sched->limits.gang_start_ms);
        send_to_all(sched, job, MS_OP_START, MS_TASK_STARTING);
        return;
    }
    set_state(sched, job, MS_JOB_PREPARING, sched->limits.gang_start_ms);
    send_to_all(sched, job, MS_OP_PREPARE, MS_TASK_PREPARING);
}

/*
 * Requests the run token of this attempt, which keeps a job that is not idempotent
 * from being started by another leader too.
 */
static void
request_token(struct ms_sched *sched, struct ms_job *job)
{
    const char **servers = ms_sched_alloc(sched, job->spec.tasks * sizeof(*servers));
    if (servers == NULL) {
        g_error("event=out_of_memory where=token id=%s", job->id);
    }
    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        servers[i] = job->tasks[i].server->name;
    }
    set_state(sched, job, MS_JOB_AWAITING_TOKEN, INT64_MAX);
    struct ms_action *action = ms_emit_action(sched, MS_ACTION_TOKEN, job->id);
    action->token.attempt = job->attempt;
    action->token.spec = &job->spec;
    action->token.servers = servers;
    action->token.server_count = job->spec.tasks;
}

/*
 * Continues the start of JOB once its resources are available.  A job that is not
 * idempotent needs a run token first.
 */
static void
launch_or_request_token(struct ms_sched *sched, struct ms_job *job)
{
    if (job->spec.idempotent) {
        launch(sched, job);
    }
    else {
        request_token(sched, job);
    }
}

/* Whether the work preempted for JOB has ended: none of its servers is overcommitted. */
static bool
preempted_work_ended(const struct ms_job *job)
{
    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        const struct ms_server *server = job->tasks[i].server;
        if (server->slots_free < 0 || server->accels_free < 0) {
            return false;
        }
    }
    return true;
}

/*
 * Begins a new attempt of JOB, whose tasks were just charged to servers.  If work
 * was preempted for it, the start waits in state RECLAIMING until that has ended.
 */
void
ms_gang_start_job(struct ms_sched *sched, struct ms_job *job)
{
    ms_account_dequeue(job);
    ms_backfill_release_job(sched, job);
    job->attempt++;
    job->may_have_run_earlier = job->may_have_run;
    job->placed_at = sched->now;
    job->started_at = sched->now;
    job->abort_action = MS_ABORT_RETRY;
    if (preempted_work_ended(job)) {
        launch_or_request_token(sched, job);
        return;
    }
    int64_t timeout_ms = sched->limits.checkpoint_ms + MS_STOP_CONFIRM_MS + sched->limits.lease_ms;
    set_state(sched, job, MS_JOB_RECLAIMING, timeout_ms);
}

/* Continues jobs in state RECLAIMING on SERVER for which all preempted work has ended. */
void
ms_gang_check_reclaiming(struct ms_sched *sched, struct ms_server *server)
{
    if (server->slots_free < 0 || server->accels_free < 0) {
        return;
    }
    MS_LIST_FOREACH(link, &server->tasks)
    {
        struct ms_job *job = MS_CONTAINER_OF(link, struct ms_task, server_link)->job;
        if (job->state == MS_JOB_RECLAIMING && preempted_work_ended(job)) {
            launch_or_request_token(sched, job);
        }
    }
}

/* Handles the answer to the token request of the present attempt. */
void
ms_gang_token_answered(struct ms_sched *sched, struct ms_job *job, enum ms_token_answer answer)
{
    switch (answer) {
    case MS_TOKEN_GRANTED:
        job->has_token = true;
        launch(sched, job);
        break;
    case MS_TOKEN_DENIED:
        ms_gang_abort(sched, job, MS_ABORT_FINISH, MS_OUTCOME_DUPLICATE,
                      "another holder has the run token of this key");
        break;
    case MS_TOKEN_UNAVAILABLE:
        job->token_failures++;
        job->lost_attempts++;
        /* A detached job is retried until the log can be reached.  Otherwise a caller
           waits for the answer and gets an outcome. */
        ms_gang_abort(sched, job,
                      !job->spec.detached && job->token_failures >= TOKEN_FAILURES_MAX
                          ? MS_ABORT_FINISH
                          : MS_ABORT_RETRY,
                      MS_OUTCOME_UNAVAILABLE, "the log cannot be reached for the run token");
        break;
    }
}

/* Whether every task of JOB is in STATE. */
bool
ms_gang_all_tasks_in(const struct ms_job *job, enum ms_task_state state)
{
    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        if (job->tasks[i].state != state) {
            return false;
        }
    }
    return true;
}

/* Tells the server of TASK not to renew the lease any more, so that it expires. */
void
ms_gang_withhold_lease(struct ms_sched *sched, struct ms_task *task)
{
    if (!task->lease_withheld && task->server->state != MS_SERVER_LOST) {
        task->lease_withheld = true;
        ms_emit_task_action(sched, task, MS_OP_WITHHOLD_LEASE);
    }
}

/* Withholds the leases of all members of JOB that are charged to a server. */
void
ms_gang_withhold_all_leases(struct ms_sched *sched, struct ms_job *job)
{
    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        if (job->tasks[i].server != NULL) {
            ms_gang_withhold_lease(sched, &job->tasks[i]);
        }
    }
}

/* Tells the servers to renew the withheld leases of the members of JOB again. */
void
ms_gang_renew_leases(struct ms_sched *sched, struct ms_job *job)
{
    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        struct ms_task *task = &job->tasks[i];
        if (task->lease_withheld && task->server != NULL) {
            task->lease_withheld = false;
            ms_emit_task_action(sched, task, MS_OP_RENEW_LEASE);
        }
    }
}

/* Handles the confirmation of PREPARE; sends GO to all members after the last one. */
void
ms_gang_task_prepared(struct ms_sched *sched, struct ms_task *task)
{
    struct ms_job *job = task->job;
    if (task->state != MS_TASK_PREPARING) {
        return;
    }
    task->state = MS_TASK_PREPARED;
    if (job->state == MS_JOB_PREPARING && ms_gang_all_tasks_in(job, MS_TASK_PREPARED)) {
        job->may_have_run = true;
        set_state(sched, job, MS_JOB_STARTING, sched->limits.gang_start_ms);
        /* The leases are renewed again once all members have started.  If one does
           not start, the others end within one lease. */
        ms_gang_withhold_all_leases(sched, job);
        send_to_all(sched, job, MS_OP_GO, MS_TASK_STARTING);
    }
}

/* Handles the confirmation of START or GO; the job runs once all members have started. */
void
ms_gang_task_started(struct ms_sched *sched, struct ms_task *task)
{
    struct ms_job *job = task->job;
    if (task->state != MS_TASK_STARTING) {
        return;
    }
    task->state = MS_TASK_RUNNING;
    if (job->state == MS_JOB_STARTING && ms_gang_all_tasks_in(job, MS_TASK_RUNNING)) {
        set_state(sched, job, MS_JOB_RUNNING, INT64_MAX);
        job->started_at = sched->now;
        ms_gang_renew_leases(sched, job);
    }
}

/* Handles the timeout of the present state of JOB. */
static void
state_timed_out(struct ms_sched *sched, struct ms_job *job)
{
    switch (job->state) {
    case MS_JOB_RECLAIMING:
        job->lost_attempts++;
        ms_gang_abort(sched, job, MS_ABORT_RETRY, MS_OUTCOME_UNAVAILABLE,
                      "preempted work did not stop in time");
        break;
    case MS_JOB_PREPARING:
    case MS_JOB_STARTING:
        job->lost_attempts++;
        if (job->state == MS_JOB_STARTING && !ms_gang_may_retry(job)) {
            ms_gang_abort(sched, job, MS_ABORT_FINISH, MS_OUTCOME_LOST_CONTACT,
                          "the start was not confirmed in time");
            break;
        }
        ms_gang_abort(sched, job, MS_ABORT_RETRY, MS_OUTCOME_UNAVAILABLE,
                      "the start was not confirmed in time");
        break;
    case MS_JOB_ADOPTING:
        ms_adopt_decide(sched, job);
        break;
    case MS_JOB_WAITING:
    case MS_JOB_AWAITING_TOKEN:
    case MS_JOB_RUNNING:
    case MS_JOB_ABORTING:
        break;
    }
}

/* Runs the timers of JOB that are due; may finish JOB. */
void
ms_gang_run_timers(struct ms_sched *sched, struct ms_job *job)
{
    if (job->state == MS_JOB_WAITING) {
        if (job->spec.deadline_ms > 0 && job->spec.deadline_ms <= sched->now) {
            ms_job_finish(sched, job, MS_OUTCOME_DEADLINE, "the deadline passed before a start");
            return;
        }
        sched->queue_dirty |= job->retry_at <= sched->now;
        return;
    }
    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        ms_gang_resend_stop(sched, &job->tasks[i]);
    }
    if (job->state_deadline <= sched->now) {
        state_timed_out(sched, job);
    }
}

/* The next time at which a timer of JOB is due, or INT64_MAX. */
int64_t
ms_gang_next_timer(const struct ms_job *job, int64_t now)
{
    int64_t next = job->state_deadline;
    if (job->state == MS_JOB_WAITING) {
        if (job->spec.deadline_ms > 0) {
            next = MIN(next, job->spec.deadline_ms);
        }
        if (job->retry_at > now) {
            next = MIN(next, job->retry_at);
        }
        return next;
    }
    if (job->state == MS_JOB_ABORTING) {
        for (uint32_t i = 0; i < job->spec.tasks; i++) {
            if (job->tasks[i].state == MS_TASK_STOPPING) {
                next = MIN(next, job->tasks[i].stop_resend_at);
            }
        }
    }
    return next;
}
