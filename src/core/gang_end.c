/*
 * gang_end.c - the end of a gang: stops, refusals, failures, lost servers and retries.
 *
 * A job is aborted when a member ends otherwise than well: all its members are stopped, and once
 * all have ended it is queued again, finished or discarded.  See gang.c for the leases.
 */
#include <stdio.h>
#include <string.h>

#include "sched.h"

/*
 * A job fails for good after attempts_max times this many failed attempts, including
 * those that were retracted when a server was quarantined.
 */
#define TOTAL_FAILURES_FACTOR 3

/*
 * Asks the server to stop TASK, after a checkpoint if the job supports it and will
 * be retried.  The lease is withheld, so the task ends within one lease even if the
 * request is lost.  A task that was never sent to its server is just discharged.
 */
void
ms_gang_stop_task(struct ms_sched *sched, struct ms_task *task)
{
    switch (task->state) {
    case MS_TASK_UNPLACED:
    case MS_TASK_FINISHED:
    case MS_TASK_STOPPING:
    case MS_TASK_ORPHANED:
        return;
    case MS_TASK_CHARGED:
        ms_task_discharge(sched, task);
        task->state = MS_TASK_UNPLACED;
        return;
    case MS_TASK_PREPARING:
    case MS_TASK_PREPARED:
    case MS_TASK_STARTING:
    case MS_TASK_RUNNING:
        break;
    }
    bool checkpoint = task->job->spec.checkpointable && task->state == MS_TASK_RUNNING &&
                      task->job->abort_action == MS_ABORT_RETRY;
    ms_emit_task_action(sched, task, checkpoint ? MS_OP_CHECKPOINT : MS_OP_STOP);
    int64_t timeout_ms = checkpoint ? sched->limits.checkpoint_ms : MS_STOP_CONFIRM_MS;
    task->state = MS_TASK_STOPPING;
    ms_gang_withhold_lease(sched, task);
    task->stop_resend_at = sched->now + timeout_ms;
    ms_set_timer(sched, task->stop_resend_at);
}

/* Whether a task of JOB is still charged to a server. */
static bool
has_charged_tasks(const struct ms_job *job)
{
    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        if (job->tasks[i].server != NULL) {
            return true;
        }
    }
    return false;
}

/* Backoff in ms before the next attempt: exponential, with jitter. */
static int64_t
retry_delay(const struct ms_sched *sched, const struct ms_job *job)
{
    uint32_t attempts = job->failed_attempts + job->lost_attempts;
    if (attempts == 0) {
        return sched->limits.retry_base_ms;
    }
    int64_t delay = sched->limits.retry_base_ms << MIN(attempts - 1, 20);
    delay = MIN(delay, sched->limits.retry_max_ms);
    /* Between half and all of the delay.  The jitter is a hash of job and attempt, not
       a random number, so that a replay gives the same result. */
    return delay / 2 + (int64_t)((g_str_hash(job->id) + attempts * 7919) % (guint)(delay / 2 + 1));
}

/* Does what job->abort_action says, once all members of an aborting job have ended. */
static void
finish_abort(struct ms_sched *sched, struct ms_job *job)
{
    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        job->tasks[i].state = MS_TASK_UNPLACED;
        job->tasks[i].start_sent = false;
    }
    switch (job->abort_action) {
    case MS_ABORT_RETRY:
        ms_health_relax_avoidance(sched, job);
        job->retry_at = sched->now + retry_delay(sched, job);
        ms_job_enqueue(sched, job);
        break;
    case MS_ABORT_FINISH:
        ms_job_finish(sched, job, job->outcome_code, job->outcome_detail);
        break;
    case MS_ABORT_DISCARD:
        ms_job_discard(sched, job);
        break;
    }
}

/*
 * Stops every member of JOB.  ABORT_ACTION says what is done when all have ended;
 * CODE and DETAIL are the outcome for MS_ABORT_FINISH.  A later call may replace
 * MS_ABORT_RETRY, but not the other two.  If no member is charged to a server, JOB
 * is queued, finished or discarded at once.
 */
void
ms_gang_abort(struct ms_sched *sched, struct ms_job *job, enum ms_abort_action abort_action,
              enum ms_outcome_code code, const char *detail)
{
    bool aborting = job->state == MS_JOB_ABORTING;
    if (aborting && job->abort_action != MS_ABORT_RETRY) {
        return;
    }
    job->abort_action = abort_action;
    job->outcome_code = code;
    g_strlcpy(job->outcome_detail, detail, sizeof(job->outcome_detail));
    if (abort_action == MS_ABORT_RETRY) {
        g_strlcpy(job->wait_reason, detail, sizeof(job->wait_reason));
    }
    job->state = MS_JOB_ABORTING;
    job->state_deadline = INT64_MAX;
    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        ms_gang_stop_task(sched, &job->tasks[i]);
    }
    if (!has_charged_tasks(job)) {
        finish_abort(sched, job);
    }
}

/*
 * Whether another attempt of JOB is allowed: it is idempotent, no attempt can have
 * run, or it resumes from a checkpoint.
 */
bool
ms_gang_may_retry(const struct ms_job *job)
{
    return job->spec.idempotent || !job->may_have_run || job->has_checkpoint;
}

/*
 * Aborts JOB after a member ended without a result.  JOB is retried if that is
 * allowed, else finished; a job that was not submitted here is discarded.
 */
static void
handle_lost_contact(struct ms_sched *sched, struct ms_job *job, const char *server)
{
    char detail[MS_DETAIL_MAX];
    snprintf(detail, sizeof(detail), "contact with backend server %s was lost", server);
    job->lost_attempts++;
    if (!job->submitted) {
        ms_gang_abort(sched, job, MS_ABORT_DISCARD, MS_OUTCOME_LOST_CONTACT, detail);
    }
    else if (ms_gang_may_retry(job)) {
        ms_gang_abort(sched, job, MS_ABORT_RETRY, MS_OUTCOME_LOST_CONTACT, detail);
    }
    else {
        ms_gang_abort(sched, job, MS_ABORT_FINISH, MS_OUTCOME_LOST_CONTACT, detail);
    }
}

/* Handles a server's refusal to prepare or start TASK: the whole job is aborted. */
void
ms_gang_task_refused(struct ms_sched *sched, struct ms_task *task)
{
    struct ms_job *job = task->job;
    char detail[MS_DETAIL_MAX];
    if (task->state != MS_TASK_PREPARING && task->state != MS_TASK_STARTING) {
        return;
    }
    snprintf(detail, sizeof(detail), "backend server %s refused the task", task->server->name);
    bool was_prepared = job->spec.tasks > 1 && task->state == MS_TASK_STARTING;
    if (job->spec.tasks == 1) {
        job->may_have_run = job->may_have_run_earlier; /* the only member never started */
    }
    ms_task_discharge(sched, task);
    task->state = MS_TASK_UNPLACED;
    job->lost_attempts++;
    if (was_prepared && !ms_gang_may_retry(job)) {
        ms_gang_abort(sched, job, MS_ABORT_FINISH, MS_OUTCOME_FAILED, detail);
        return;
    }
    ms_gang_abort(sched, job, MS_ABORT_RETRY, MS_OUTCOME_UNAVAILABLE, detail);
}

/* Stores the output of member 0, and the server it ran on, as the result of the job. */
static void
store_output(struct ms_sched *sched, struct ms_task *task, const struct ms_task_event *event)
{
    struct ms_job *job = task->job;
    if (task != &job->tasks[0]) {
        return;
    }
    g_strlcpy(job->output_server, task->server->name, sizeof(job->output_server));
    if (event->output_len == 0 || job->output != NULL) {
        return;
    }
    job->output = ms_sched_alloc(sched, event->output_len);
    if (job->output == NULL) {
        g_error("event=out_of_memory where=output id=%s", job->id);
    }
    memcpy(job->output, event->output, event->output_len);
    job->output_len = event->output_len;
}

/* Finishes JOB if the member that succeeded was the last one. */
static void
member_succeeded(struct ms_sched *sched, struct ms_job *job)
{
    if (job->state == MS_JOB_ABORTING || !ms_gang_all_tasks_in(job, MS_TASK_FINISHED)) {
        return;
    }
    ms_account_record_run_time(job->account, job, sched->now - job->started_at);
    ms_job_finish(sched, job, MS_OUTCOME_DONE, "all tasks ended well");
}

/* Counts the failure against JOB and SERVER, then retries JOB or ends it. */
static void
member_failed(struct ms_sched *sched, struct ms_job *job, struct ms_server *server)
{
    char detail[MS_DETAIL_MAX];
    job->failed_attempts++;
    job->failed_attempts_total++;
    ms_health_record_failure(sched, server, job);
    snprintf(detail, sizeof(detail), "a task failed on backend server %s", server->name);
    bool job_at_fault =
        job->failed_server_count >= sched->limits.job_fail_servers ||
        job->failed_attempts >= sched->limits.attempts_max ||
        job->failed_attempts_total >= TOTAL_FAILURES_FACTOR * sched->limits.attempts_max;
    if (job_at_fault || !ms_gang_may_retry(job)) {
        ms_gang_abort(sched, job, MS_ABORT_FINISH, MS_OUTCOME_FAILED, detail);
        return;
    }
    ms_gang_abort(sched, job, MS_ABORT_RETRY, MS_OUTCOME_FAILED, detail);
}

/* Handles the end of a member that was not asked to stop. */
static void
member_ended(struct ms_sched *sched, struct ms_job *job, struct ms_server *server,
             enum ms_task_result result)
{
    switch (result) {
    case MS_TASK_OK:
        ms_health_record_success(sched, server);
        member_succeeded(sched, job);
        break;
    case MS_TASK_FAILED:
        member_failed(sched, job, server);
        break;
    case MS_TASK_STOPPED:
    case MS_TASK_CHECKPOINTED:
    case MS_TASK_LEASE_EXPIRED:
    case MS_TASK_NOT_STARTED:
        handle_lost_contact(sched, job, server->name);
        break;
    }
}

/*
 * Handles the end of TASK, reported by its server or assumed because its lease has
 * expired.  Acknowledges it, so that the server can forget the task, unless the
 * server is lost.
 */
void
ms_gang_task_ended(struct ms_sched *sched, struct ms_task *task, const struct ms_task_event *event)
{
    struct ms_job *job = task->job;
    struct ms_server *server = task->server;
    bool aborting = job->state == MS_JOB_ABORTING;
    if (event->result == MS_TASK_OK) {
        store_output(sched, task, event);
    }
    if (event->result == MS_TASK_CHECKPOINTED) {
        job->has_checkpoint = true;
    }
    if (event->result == MS_TASK_NOT_STARTED && job->spec.tasks == 1) {
        job->may_have_run = job->may_have_run_earlier;
    }
    if (server->state != MS_SERVER_LOST) {
        ms_emit_task_action(sched, task, MS_OP_ACK);
    }
    task->state = MS_TASK_FINISHED;
    task->result = event->result;
    ms_task_discharge(sched, task);
    if (!aborting) {
        member_ended(sched, job, server, event->result);
        return;
    }
    if (has_charged_tasks(job)) {
        return;
    }
    if (ms_gang_all_tasks_in(job, MS_TASK_FINISHED)) {
        bool all_ok = true;
        for (uint32_t i = 0; i < job->spec.tasks; i++) {
            all_ok &= job->tasks[i].result == MS_TASK_OK;
        }
        if (all_ok) { /* all members succeeded before the stop reached them */
            ms_job_finish(sched, job, MS_OUTCOME_DONE, "all tasks ended well");
            return;
        }
    }
    if (job->abort_action == MS_ABORT_RETRY && !ms_gang_may_retry(job)) {
        ms_job_finish(sched, job, MS_OUTCOME_FAILED, job->outcome_detail);
        return;
    }
    finish_abort(sched, job);
}

/*
 * Handles the loss of SERVER.  Tasks that were sent to it become ORPHANED until
 * their leases expire at server->leases_end_at.  Gangs of several tasks, and jobs not
 * sent yet, are aborted.
 */
void
ms_gang_server_lost(struct ms_sched *sched, struct ms_server *server)
{
    MS_LIST_FOREACH(link, &server->tasks)
    {
        struct ms_task *task = MS_CONTAINER_OF(link, struct ms_task, server_link);
        bool op_sent = task->state != MS_TASK_CHARGED;
        task->state = op_sent ? MS_TASK_ORPHANED : MS_TASK_CHARGED;
    }
    MS_LIST_FOREACH(link, &server->tasks)
    {
        struct ms_task *task = MS_CONTAINER_OF(link, struct ms_task, server_link);
        struct ms_job *job = task->job;
        bool op_unsent = task->state == MS_TASK_CHARGED;
        if (job->state == MS_JOB_ABORTING || (job->spec.tasks == 1 && !op_unsent)) {
            continue; /* the server may report a single task when it returns */
        }
        ms_gang_withhold_all_leases(sched, job);
        handle_lost_contact(sched, job, server->name);
        /* The abort may have removed any tasks from this list: iterate from its head. */
        link_next = server->tasks.next;
    }
}

/* Sends STOP again if the stop of TASK was not confirmed in time. */
void
ms_gang_resend_stop(struct ms_sched *sched, struct ms_task *task)
{
    if (task->state != MS_TASK_STOPPING || task->stop_resend_at > sched->now) {
        return;
    }
    ms_emit_task_action(sched, task, MS_OP_STOP);
    task->stop_resend_at = sched->now + MS_STOP_CONFIRM_MS;
}
