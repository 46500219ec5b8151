/*
 * gang.c - the life of a job from its placement to its end.
 *
 * A gang starts in two phases: every member is prepared, then all are told to
 * go.  Losing one member stops all, and the leases of the others are no longer
 * renewed, so the members of a cut-off gang end within one lease of each other
 * (two-phase commit with leases in place of a blocking coordinator: Gray,
 * "Notes on Data Base Operating Systems", 1978).
 */
#include <stdio.h>
#include <string.h>

#include "sched.h"

/* Wait for a stop to be confirmed before the lease is left to lapse. */
#define STOP_CONFIRM_MS 1000
/* Failures to get a run token before a caller who waits is refused. */
#define TOKEN_FAILURES_MAX 2
/* Bound on all failures of a job, forgiven ones included, in attempts_max. */
#define FORGIVEN_FACTOR 3

static void
set_phase(struct ms_sched *sched, struct ms_job *job, enum ms_job_state state, int64_t limit_ms)
{
    job->state = state;
    job->phase_until = limit_ms == INT64_MAX ? INT64_MAX : sched->now + limit_ms;
    ms_set_timer(sched, job->phase_until);
}

/* Sends OP for every member and moves each to STATE. */
static void
send_all(struct ms_sched *sched, struct ms_job *job, enum ms_task_op op, enum ms_task_state state)
{
    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        job->tasks[i].state = state;
        job->tasks[i].started = op != MS_OP_PREPARE;
        ms_emit_task(sched, &job->tasks[i], op);
    }
}

/* Sends the first message to the servers of a placed job. */
static void
launch(struct ms_sched *sched, struct ms_job *job)
{
    if (job->spec.tasks == 1) {
        job->may_have_run = true;
        set_phase(sched, job, MS_JOB_STARTING, sched->limits.gang_start_ms);
        send_all(sched, job, MS_OP_START, MS_TASK_STARTING);
        return;
    }
    set_phase(sched, job, MS_JOB_PREPARING, sched->limits.gang_start_ms);
    send_all(sched, job, MS_OP_PREPARE, MS_TASK_PREPARING);
}

static void
ask_for_token(struct ms_sched *sched, struct ms_job *job)
{
    const char **servers = ms_sched_alloc(sched, job->spec.tasks * sizeof(*servers));
    if (servers == NULL) {
        g_error("event=out_of_memory where=token id=%s", job->id);
    }
    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        servers[i] = job->tasks[i].server->name;
    }
    set_phase(sched, job, MS_JOB_TOKEN, INT64_MAX);
    struct ms_action *action = ms_emit(sched, MS_ACTION_TOKEN, job->id);
    action->token.attempt = job->attempt;
    action->token.spec = &job->spec;
    action->token.servers = servers;
    action->token.server_count = job->spec.tasks;
}

static void
proceed(struct ms_sched *sched, struct ms_job *job)
{
    if (job->spec.idempotent) {
        launch(sched, job);
    }
    else {
        ask_for_token(sched, job);
    }
}

/* Whether the work that was in the way of JOB has ended. */
static bool
room_is_made(const struct ms_job *job)
{
    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        const struct ms_server *server = job->tasks[i].server;
        if (server->slots_free < 0 || server->accels_free < 0) {
            return false;
        }
    }
    return true;
}

/* Starts the job whose tasks were just charged to servers. */
void
ms_gang_begin(struct ms_sched *sched, struct ms_job *job)
{
    ms_account_dequeue(job);
    ms_backfill_release(sched, job);
    job->attempt++;
    job->ran_before = job->may_have_run;
    job->started_at = sched->now;
    job->after = MS_AFTER_RETRY;
    if (room_is_made(job)) {
        proceed(sched, job);
        return;
    }
    int64_t limit = sched->limits.checkpoint_ms + STOP_CONFIRM_MS + sched->limits.lease_ms;
    set_phase(sched, job, MS_JOB_RECLAIMING, limit);
}

/* Lets jobs that waited for room on SERVER go on. */
void
ms_gang_room_check(struct ms_sched *sched, struct ms_server *server)
{
    if (server->slots_free < 0 || server->accels_free < 0) {
        return;
    }
    MS_LIST_EACH(link, &server->tasks)
    {
        struct ms_job *job = MS_CONTAINER(link, struct ms_task, server_link)->job;
        if (job->state == MS_JOB_RECLAIMING && room_is_made(job)) {
            proceed(sched, job);
        }
    }
}

void
ms_gang_token(struct ms_sched *sched, struct ms_job *job, enum ms_token_answer answer)
{
    switch (answer) {
    case MS_TOKEN_GRANTED:
        job->has_token = true;
        launch(sched, job);
        break;
    case MS_TOKEN_DENIED:
        ms_gang_abort(sched, job, MS_AFTER_OUTCOME, MS_OUTCOME_DUPLICATE,
                      "another holder has the run token of this key");
        break;
    case MS_TOKEN_UNAVAILABLE:
        job->token_failures++;
        job->placement_losses++;
        /* A job that was accepted waits for the log; a caller who waits is told. */
        ms_gang_abort(sched, job,
                      !job->spec.detached && job->token_failures >= TOKEN_FAILURES_MAX
                          ? MS_AFTER_OUTCOME
                          : MS_AFTER_RETRY,
                      MS_OUTCOME_UNAVAILABLE, "the log cannot be reached for the run token");
        break;
    }
}

static bool
all_in(const struct ms_job *job, enum ms_task_state state)
{
    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        if (job->tasks[i].state != state) {
            return false;
        }
    }
    return true;
}

/* Lets the lease of TASK run out at its server. */
static void
withhold(struct ms_sched *sched, struct ms_task *task)
{
    if (!task->withheld && task->server->state != MS_SERVER_LOST) {
        task->withheld = true;
        ms_emit_task(sched, task, MS_OP_WITHHOLD);
    }
}

/* Stops renewing the leases of the members of JOB that still run. */
static void
withhold_all(struct ms_sched *sched, struct ms_job *job)
{
    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        if (job->tasks[i].server != NULL) {
            withhold(sched, &job->tasks[i]);
        }
    }
}

/* Renews the leases of all members of JOB again. */
void
ms_gang_renew(struct ms_sched *sched, struct ms_job *job)
{
    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        struct ms_task *task = &job->tasks[i];
        if (task->withheld && task->server != NULL) {
            task->withheld = false;
            ms_emit_task(sched, task, MS_OP_RENEW);
        }
    }
}

void
ms_gang_prepared(struct ms_sched *sched, struct ms_task *task)
{
    struct ms_job *job = task->job;
    if (task->state != MS_TASK_PREPARING) {
        return;
    }
    task->state = MS_TASK_PREPARED;
    if (job->state == MS_JOB_PREPARING && all_in(job, MS_TASK_PREPARED)) {
        job->may_have_run = true;
        set_phase(sched, job, MS_JOB_STARTING, sched->limits.gang_start_ms);
        /* Renewed again once all have started: a member that does not start
           must not leave the others running for longer than a lease. */
        withhold_all(sched, job);
        send_all(sched, job, MS_OP_GO, MS_TASK_STARTING);
    }
}

void
ms_gang_started(struct ms_sched *sched, struct ms_task *task)
{
    struct ms_job *job = task->job;
    if (task->state != MS_TASK_STARTING) {
        return;
    }
    task->state = MS_TASK_RUNNING;
    if (job->state == MS_JOB_STARTING && all_in(job, MS_TASK_RUNNING)) {
        set_phase(sched, job, MS_JOB_RUNNING, INT64_MAX);
        job->started_at = sched->now;
        ms_gang_renew(sched, job);
    }
}

/*
 * Asks the server to stop TASK, with a checkpoint first when it can.  Its
 * lease is not renewed any more, so it ends within one lease even when the
 * request does not arrive.
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
    case MS_TASK_RESERVED:
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
                      task->job->after == MS_AFTER_RETRY;
    ms_emit_task(sched, task, checkpoint ? MS_OP_CHECKPOINT : MS_OP_STOP);
    int64_t wait = checkpoint ? sched->limits.checkpoint_ms : STOP_CONFIRM_MS;
    task->state = MS_TASK_STOPPING;
    withhold(sched, task);
    task->stop_at = sched->now + wait;
    ms_set_timer(sched, task->stop_at);
}

/* Whether a task of JOB still holds resources. */
static bool
holds_resources(const struct ms_job *job)
{
    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        if (job->tasks[i].server != NULL) {
            return true;
        }
    }
    return false;
}

static int64_t
retry_delay(const struct ms_sched *sched, const struct ms_job *job)
{
    uint32_t tries = job->failures + job->placement_losses;
    if (tries == 0) {
        return sched->limits.retry_base_ms;
    }
    int64_t delay = sched->limits.retry_base_ms << MIN(tries - 1, 20);
    delay = MIN(delay, sched->limits.retry_max_ms);
    /* Jitter without a random source: a fixed fraction for each job and try. */
    return delay / 2 + (int64_t)((g_str_hash(job->id) + tries * 7919) % (guint)(delay / 2 + 1));
}

/* Acts on `after` once an aborting job holds nothing any more. */
static void
finish_abort(struct ms_sched *sched, struct ms_job *job)
{
    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        job->tasks[i].state = MS_TASK_UNPLACED;
        job->tasks[i].started = false;
    }
    switch (job->after) {
    case MS_AFTER_RETRY:
        ms_health_relax(sched, job);
        job->not_before = sched->now + retry_delay(sched, job);
        ms_job_wait(sched, job);
        break;
    case MS_AFTER_OUTCOME:
        ms_job_finish(sched, job, job->code, job->detail);
        break;
    case MS_AFTER_FORGET:
        ms_job_drop(sched, job);
        break;
    }
}

/*
 * Stops every member of JOB; AFTER says what follows.  A later call may turn a
 * retry into an outcome, never the other way.
 */
void
ms_gang_abort(struct ms_sched *sched, struct ms_job *job, enum ms_after after,
              enum ms_outcome_code code, const char *detail)
{
    bool aborting = job->state == MS_JOB_ABORTING;
    if (aborting && job->after != MS_AFTER_RETRY) {
        return;
    }
    job->after = after;
    job->code = code;
    g_strlcpy(job->detail, detail, sizeof(job->detail));
    if (after == MS_AFTER_RETRY) {
        g_strlcpy(job->wait_reason, detail, sizeof(job->wait_reason));
    }
    job->state = MS_JOB_ABORTING;
    job->phase_until = INT64_MAX;
    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        ms_gang_stop_task(sched, &job->tasks[i]);
    }
    if (!holds_resources(job)) {
        finish_abort(sched, job);
    }
}

/* Whether JOB may be tried again after an attempt that may have run. */
static bool
may_retry(const struct ms_job *job)
{
    return job->spec.idempotent || !job->may_have_run || job->has_progress;
}

/* Ends or retries JOB after a member was lost without a report. */
static void
contact_lost(struct ms_sched *sched, struct ms_job *job, const char *server)
{
    char detail[MS_DETAIL_MAX];
    snprintf(detail, sizeof(detail), "contact with backend server %s was lost", server);
    job->placement_losses++;
    if (!job->submitted) {
        ms_gang_abort(sched, job, MS_AFTER_FORGET, MS_OUTCOME_LOST_CONTACT, detail);
    }
    else if (may_retry(job)) {
        ms_gang_abort(sched, job, MS_AFTER_RETRY, MS_OUTCOME_LOST_CONTACT, detail);
    }
    else {
        ms_gang_abort(sched, job, MS_AFTER_OUTCOME, MS_OUTCOME_LOST_CONTACT, detail);
    }
}

void
ms_gang_refused(struct ms_sched *sched, struct ms_task *task)
{
    struct ms_job *job = task->job;
    char detail[MS_DETAIL_MAX];
    if (task->state != MS_TASK_PREPARING && task->state != MS_TASK_STARTING) {
        return;
    }
    snprintf(detail, sizeof(detail), "backend server %s refused the task", task->server->name);
    bool was_prepared = job->spec.tasks > 1 && task->state == MS_TASK_STARTING;
    if (job->spec.tasks == 1) {
        job->may_have_run = job->ran_before; /* the only member never started */
    }
    ms_task_discharge(sched, task);
    task->state = MS_TASK_UNPLACED;
    job->placement_losses++;
    if (was_prepared && !may_retry(job)) {
        ms_gang_abort(sched, job, MS_AFTER_OUTCOME, MS_OUTCOME_FAILED, detail);
        return;
    }
    ms_gang_abort(sched, job, MS_AFTER_RETRY, MS_OUTCOME_UNAVAILABLE, detail);
}

/* Remembers the output of member 0 as the job's answer. */
static void
keep_output(struct ms_sched *sched, struct ms_task *task, const struct ms_task_event *event)
{
    struct ms_job *job = task->job;
    if (task != &job->tasks[0]) {
        return;
    }
    g_strlcpy(job->ran_on, task->server->name, sizeof(job->ran_on));
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

static void
member_ok(struct ms_sched *sched, struct ms_job *job)
{
    if (job->state == MS_JOB_ABORTING || !all_in(job, MS_TASK_FINISHED)) {
        return;
    }
    ms_account_observe_run(job->account, job, sched->now - job->started_at);
    ms_job_finish(sched, job, MS_OUTCOME_DONE, "all tasks ended well");
}

static void
member_failed(struct ms_sched *sched, struct ms_job *job, struct ms_server *server)
{
    char detail[MS_DETAIL_MAX];
    job->failures++;
    job->failures_total++;
    ms_health_failed(sched, server, job);
    snprintf(detail, sizeof(detail), "a task failed on backend server %s", server->name);
    bool at_fault = job->failed_count >= sched->limits.job_fail_servers ||
                    job->failures >= sched->limits.attempts_max ||
                    job->failures_total >= FORGIVEN_FACTOR * sched->limits.attempts_max;
    if (at_fault || !may_retry(job)) {
        ms_gang_abort(sched, job, MS_AFTER_OUTCOME, MS_OUTCOME_FAILED, detail);
        return;
    }
    ms_gang_abort(sched, job, MS_AFTER_RETRY, MS_OUTCOME_FAILED, detail);
}

/* Reacts to a member that ended other than by our own request. */
static void
member_ended(struct ms_sched *sched, struct ms_job *job, struct ms_server *server,
             enum ms_task_result result)
{
    switch (result) {
    case MS_TASK_OK:
        ms_health_succeeded(sched, server);
        member_ok(sched, job);
        break;
    case MS_TASK_FAILED:
        member_failed(sched, job, server);
        break;
    case MS_TASK_STOPPED:
    case MS_TASK_CHECKPOINTED:
    case MS_TASK_LAPSED:
    case MS_TASK_NOT_STARTED:
        contact_lost(sched, job, server->name);
        break;
    }
}

/* Handles the end of TASK, by report or because its lease has lapsed. */
void
ms_gang_ended(struct ms_sched *sched, struct ms_task *task, const struct ms_task_event *event)
{
    struct ms_job *job = task->job;
    struct ms_server *server = task->server;
    bool aborting = job->state == MS_JOB_ABORTING;
    if (event->result == MS_TASK_OK) {
        keep_output(sched, task, event);
    }
    if (event->result == MS_TASK_CHECKPOINTED) {
        job->has_progress = true;
    }
    if (event->result == MS_TASK_NOT_STARTED && job->spec.tasks == 1) {
        job->may_have_run = job->ran_before;
    }
    if (server->state != MS_SERVER_LOST) {
        ms_emit_task(sched, task, MS_OP_ACK);
    }
    task->state = MS_TASK_FINISHED;
    task->result = event->result;
    ms_task_discharge(sched, task);
    if (!aborting) {
        member_ended(sched, job, server, event->result);
        return;
    }
    if (holds_resources(job)) {
        return;
    }
    if (all_in(job, MS_TASK_FINISHED)) {
        bool all_ok = true;
        for (uint32_t i = 0; i < job->spec.tasks; i++) {
            all_ok &= job->tasks[i].result == MS_TASK_OK;
        }
        if (all_ok) { /* it ended before the stop reached it */
            ms_job_finish(sched, job, MS_OUTCOME_DONE, "all tasks ended well");
            return;
        }
    }
    if (job->after == MS_AFTER_RETRY && !may_retry(job)) {
        ms_job_finish(sched, job, MS_OUTCOME_FAILED, job->detail);
        return;
    }
    finish_abort(sched, job);
}

/* Marks the tasks of a lost server; their leases lapse at server->lost_until. */
void
ms_gang_server_lost(struct ms_sched *sched, struct ms_server *server)
{
    MS_LIST_EACH(link, &server->tasks)
    {
        struct ms_task *task = MS_CONTAINER(link, struct ms_task, server_link);
        bool sent = task->state != MS_TASK_RESERVED;
        task->state = sent ? MS_TASK_ORPHANED : MS_TASK_RESERVED;
    }
    MS_LIST_EACH(link, &server->tasks)
    {
        struct ms_task *task = MS_CONTAINER(link, struct ms_task, server_link);
        struct ms_job *job = task->job;
        bool unsent = task->state == MS_TASK_RESERVED;
        if (job->state == MS_JOB_ABORTING || (job->spec.tasks == 1 && !unsent)) {
            continue; /* a single task may be found again when the server returns */
        }
        withhold_all(sched, job);
        contact_lost(sched, job, server->name);
        /* Members on this server may be gone from the list: start over. */
        link_next = server->tasks.next;
    }
}

/* Escalates a stop that was not confirmed in time. */
static void
escalate_stop(struct ms_sched *sched, struct ms_task *task)
{
    if (task->state != MS_TASK_STOPPING || task->stop_at > sched->now) {
        return;
    }
    ms_emit_task(sched, task, MS_OP_STOP);
    task->stop_at = sched->now + STOP_CONFIRM_MS;
}

/* Handles a state whose time limit has passed. */
static void
phase_expired(struct ms_sched *sched, struct ms_job *job)
{
    switch (job->state) {
    case MS_JOB_RECLAIMING:
        job->placement_losses++;
        ms_gang_abort(sched, job, MS_AFTER_RETRY, MS_OUTCOME_UNAVAILABLE,
                      "work in the way did not stop in time");
        break;
    case MS_JOB_PREPARING:
    case MS_JOB_STARTING:
        job->placement_losses++;
        if (job->state == MS_JOB_STARTING && !may_retry(job)) {
            ms_gang_abort(sched, job, MS_AFTER_OUTCOME, MS_OUTCOME_LOST_CONTACT,
                          "the start was not confirmed in time");
            break;
        }
        ms_gang_abort(sched, job, MS_AFTER_RETRY, MS_OUTCOME_UNAVAILABLE,
                      "the start was not confirmed in time");
        break;
    case MS_JOB_ADOPTING:
        ms_adopt_check(sched, job);
        break;
    case MS_JOB_WAITING:
    case MS_JOB_TOKEN:
    case MS_JOB_RUNNING:
    case MS_JOB_ABORTING:
        break;
    }
}

/* Runs the timers of JOB that are due; may finish it. */
void
ms_gang_tick(struct ms_sched *sched, struct ms_job *job)
{
    if (job->state == MS_JOB_WAITING) {
        if (job->spec.deadline_ms > 0 && job->spec.deadline_ms <= sched->now) {
            ms_job_finish(sched, job, MS_OUTCOME_DEADLINE, "the deadline passed before a start");
            return;
        }
        sched->dirty |= job->not_before <= sched->now;
        return;
    }
    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        escalate_stop(sched, &job->tasks[i]);
    }
    if (job->phase_until <= sched->now) {
        phase_expired(sched, job);
    }
}

/* The next time at which ms_gang_tick() has something to do for JOB. */
int64_t
ms_gang_next(const struct ms_job *job, int64_t now)
{
    int64_t next = job->phase_until;
    if (job->state == MS_JOB_WAITING) {
        if (job->spec.deadline_ms > 0) {
            next = MIN(next, job->spec.deadline_ms);
        }
        if (job->not_before > now) {
            next = MIN(next, job->not_before);
        }
        return next;
    }
    if (job->state == MS_JOB_ABORTING) {
        for (uint32_t i = 0; i < job->spec.tasks; i++) {
            if (job->tasks[i].state == MS_TASK_STOPPING) {
                next = MIN(next, job->tasks[i].stop_at);
            }
        }
    }
    return next;
}
