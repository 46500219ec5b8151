/*
 * job.c - submission and cancellation of jobs, and their final outcomes.
 */
#include <stdio.h>
#include <string.h>

#include "sched.h"

static const char never_fits_detail[] =
    "no set of servers could hold it, beside the guarantees if it cannot be stopped";

/*
 * Creates the job ID from SPEC, without the payload, and adds it to the
 * scheduler.  Its state is MS_JOB_WAITING, but it is in no queue yet.  Returns
 * NULL when memory runs out.
 */
struct ms_job *
ms_job_new(struct ms_sched *sched, const struct ms_job_spec *spec, const char *id)
{
    struct ms_account *account = ms_account_get_or_create(sched, spec->account);
    struct ms_job *job = ms_sched_alloc(sched, sizeof(*job));
    struct ms_task *tasks = ms_sched_alloc(sched, spec->tasks * sizeof(*tasks));
    if (account == NULL || job == NULL || tasks == NULL) {
        ms_sched_release(sched, job);
        ms_sched_release(sched, tasks);
        return NULL;
    }
    memset(job, 0, sizeof(*job));
    memset(tasks, 0, spec->tasks * sizeof(*tasks));
    g_strlcpy(job->id, id, sizeof(job->id));
    job->spec = *spec;
    job->spec.payload = NULL;
    job->spec.payload_len = 0;
    job->account = account;
    job->tasks = tasks;
    job->sequence = sched->next_sequence++;
    job->submitted_at = sched->now;
    job->state_deadline = INT64_MAX;
    ms_list_link_init(&job->queue_link);
    ms_list_link_init(&job->link);
    for (uint32_t i = 0; i < spec->tasks; i++) {
        tasks[i].job = job;
        tasks[i].stop_resend_at = INT64_MAX;
        ms_list_link_init(&tasks[i].server_link);
    }
    ms_list_append(&sched->jobs, &job->link);
    g_hash_table_insert(sched->job_index, job->id, job);
    return job;
}

/* Copies the payload of SPEC to JOB unless it has one; false when memory runs out. */
bool
ms_job_set_payload(struct ms_sched *sched, struct ms_job *job, const struct ms_job_spec *spec)
{
    if (spec->payload_len == 0 || job->spec.payload != NULL) {
        return true;
    }
    uint8_t *copy = ms_sched_alloc(sched, spec->payload_len);
    if (copy == NULL) {
        return false;
    }
    memcpy(copy, spec->payload, spec->payload_len);
    job->spec.payload = copy;
    job->spec.payload_len = spec->payload_len;
    return true;
}

/* Frees JOB and what it owns; it must be in no list or index any more. */
void
ms_job_free(struct ms_sched *sched, struct ms_job *job)
{
    ms_sched_release(sched, (void *)job->spec.payload);
    ms_sched_release(sched, job->output);
    ms_sched_release(sched, job->tasks);
    ms_sched_release(sched, job);
}

void
ms_kept_outcome_free(struct ms_sched *sched, struct ms_kept_outcome *outcome)
{
    ms_sched_release(sched, outcome->output);
    ms_sched_release(sched, outcome);
}

/* Emits OUTCOME.  The action points into it, so it must exist until the next step. */
static void
emit_outcome(struct ms_sched *sched, const struct ms_kept_outcome *outcome)
{
    struct ms_action *action = ms_emit_action(sched, MS_ACTION_OUTCOME, outcome->id);
    action->outcome = (struct ms_outcome_action){
        .code = outcome->code,
        .ran = outcome->ran,
        .detail = outcome->detail,
        .server = outcome->server,
        .spec = &outcome->spec,
        .output = outcome->output,
        .output_len = outcome->output_len,
        .queued_ms = outcome->queued_ms,
        .ran_ms = outcome->ran_ms,
    };
}

/*
 * Removes the oldest kept outcomes beyond limits.recent_max.  They are freed at
 * the next step, as actions of this step may point into them.
 */
static void
evict_oldest_outcomes(struct ms_sched *sched)
{
    while (sched->kept_outcome_count > sched->limits.recent_max) {
        struct ms_kept_outcome *oldest =
            MS_CONTAINER_OF(sched->kept_outcomes.next, struct ms_kept_outcome, link);
        ms_list_remove(&oldest->link);
        if (g_hash_table_lookup(sched->kept_outcome_index, oldest->id) == oldest) {
            g_hash_table_remove(sched->kept_outcome_index, oldest->id);
        }
        g_ptr_array_add(sched->retired_outcomes, oldest);
        sched->kept_outcome_count--;
    }
}

/* Whether JOB, which ends with the outcome CODE, has run. */
static enum ms_ran
job_ran(const struct ms_job *job, enum ms_outcome_code code)
{
    if (code == MS_OUTCOME_DUPLICATE) {
        return MS_RAN_UNKNOWN; /* the leader that got the run token may have run it */
    }
    if (!job->may_have_run) {
        return MS_RAN_NO;
    }
    return code == MS_OUTCOME_LOST_CONTACT ? MS_RAN_UNKNOWN : MS_RAN_YES;
}

/*
 * Whether later submissions of the same key are answered with this outcome.  A
 * job that did not run may be submitted again, and the outcome of a duplicate is
 * known only to the leader that got the run token.
 */
static bool
outcome_may_be_repeated(const struct ms_kept_outcome *outcome)
{
    return outcome->ran != MS_RAN_NO && outcome->code != MS_OUTCOME_DUPLICATE;
}

/* Fills in OUTCOME from JOB, and moves ownership of the output to it. */
static void
fill_outcome(struct ms_kept_outcome *outcome, struct ms_job *job, const struct ms_sched *sched)
{
    g_strlcpy(outcome->id, job->id, sizeof(outcome->id));
    g_strlcpy(outcome->server, job->output_server, sizeof(outcome->server));
    outcome->spec = job->spec;
    outcome->spec.payload = NULL;
    outcome->spec.payload_len = 0;
    outcome->output = job->output;
    outcome->output_len = job->output_len;
    job->output = NULL;
    int64_t started = job->started_at > 0 ? job->started_at : sched->now;
    outcome->queued_ms = started - job->submitted_at;
    outcome->ran_ms = sched->now - started;
}

/*
 * Ends JOB with the outcome CODE: emits the outcome, keeps it for repeated
 * submissions if it may be repeated, and discards the job.
 */
void
ms_job_finish(struct ms_sched *sched, struct ms_job *job, enum ms_outcome_code code,
              const char *detail)
{
    struct ms_kept_outcome *outcome = ms_sched_alloc(sched, sizeof(*outcome));
    if (outcome == NULL) {
        g_error("event=out_of_memory where=outcome id=%s", job->id);
    }
    memset(outcome, 0, sizeof(*outcome));
    ms_list_link_init(&outcome->link);
    outcome->code = code;
    outcome->ran = job_ran(job, code);
    g_strlcpy(outcome->detail, detail, sizeof(outcome->detail));
    fill_outcome(outcome, job, sched);
    emit_outcome(sched, outcome);
    if (outcome_may_be_repeated(outcome)) {
        ms_list_append(&sched->kept_outcomes, &outcome->link);
        g_hash_table_replace(sched->kept_outcome_index, outcome->id, outcome);
        sched->kept_outcome_count++;
        evict_oldest_outcomes(sched);
    }
    else {
        g_ptr_array_add(sched->retired_outcomes, outcome);
    }
    ms_job_discard(sched, job);
}

/*
 * Removes JOB from every list and index without emitting an outcome.  It is
 * freed at the next step, as actions of this step may point into it.
 */
void
ms_job_discard(struct ms_sched *sched, struct ms_job *job)
{
    ms_account_dequeue(job);
    ms_backfill_release_job(sched, job);
    ms_list_remove(&job->link);
    g_hash_table_remove(sched->job_index, job->id);
    g_ptr_array_add(sched->retired_jobs, job);
    sched->queue_dirty = true;
}

/*
 * Ends the waiting jobs that can never start because of the guarantees: jobs
 * that are not preemptible must stay out of cells, and too little is left
 * beside the cells even on empty servers.
 */
void
ms_job_refuse_unplaceable(struct ms_sched *sched)
{
    MS_LIST_FOREACH(link, &sched->jobs)
    {
        struct ms_job *job = MS_CONTAINER_OF(link, struct ms_job, link);
        if (job->state == MS_JOB_WAITING && !ms_job_preemptible(job) &&
            !ms_job_fits_empty_dc(sched, job, false)) {
            ms_job_finish(sched, job, MS_OUTCOME_NEVER_FITS, never_fits_detail);
        }
    }
}

/* Queues JOB, or ends it when the data centre is out of service. */
void
ms_job_enqueue(struct ms_sched *sched, struct ms_job *job)
{
    if (sched->dc_out) {
        ms_job_finish(sched, job, MS_OUTCOME_DC_OUT, "its data centre is out of service");
        return;
    }
    job->state = MS_JOB_WAITING;
    job->state_deadline = INT64_MAX;
    job->in_cells = false;
    ms_account_enqueue(sched, job);
    ms_set_timer(sched, ms_gang_next_timer(job, sched->now));
}

/*
 * Returns the outcome with which the new JOB is to be refused, and stores the
 * reason in DETAIL (SIZE bytes); -1 when the job is accepted.
 */
static int
check_admission(const struct ms_sched *sched, const struct ms_job *job, char *detail, size_t size)
{
    const struct ms_account *account = job->account;
    if (!account->has_rule) {
        snprintf(detail, size, "no rule creates the client account %s", account->name);
        return MS_OUTCOME_NO_ACCOUNT;
    }
    if (sched->dc_out) {
        snprintf(detail, size, "data centre %s is out of service", sched->dc);
        return MS_OUTCOME_DC_OUT;
    }
    uint32_t accels = job->spec.tasks * job->spec.accels;
    if ((account->limit_accels > 0 && accels > account->limit_accels) ||
        (account->limit_running > 0 && job->spec.tasks > account->limit_running)) {
        snprintf(detail, size, "the job alone exceeds the limits of client account %s",
                 account->name);
        return MS_OUTCOME_NEVER_FITS;
    }
    if (!ms_job_fits_empty_dc(sched, job, false)) {
        g_strlcpy(detail, never_fits_detail, size);
        return MS_OUTCOME_NEVER_FITS;
    }
    uint32_t queue_max =
        account->limit_queued > 0 ? account->limit_queued : sched->limits.queue_max;
    if (account->waiting_count >= queue_max) {
        snprintf(detail, size, "%u jobs of client account %s are already waiting",
                 account->waiting_count, account->name);
        return MS_OUTCOME_LIMIT;
    }
    return -1;
}

/*
 * Handles a submission of an id that is already known.  If the job has not ended,
 * adds what the servers' reports lacked (the payload) and marks it as submitted;
 * if its outcome is kept, emits that again.  Returns false when the id is unknown.
 */
static bool
handle_resubmission(struct ms_sched *sched, const struct ms_submit_event *submit, const char *id)
{
    struct ms_job *job = ms_job_find(sched, id);
    if (job != NULL) {
        if (!ms_job_set_payload(sched, job, &submit->spec)) {
            return true;
        }
        job->submitted = true;
        if (job->state == MS_JOB_ABORTING && job->abort_action == MS_ABORT_DISCARD) {
            /* The submitter expects an outcome now, so the job must not be discarded. */
            bool retry = job->spec.idempotent || !job->may_have_run;
            job->abort_action = retry ? MS_ABORT_RETRY : MS_ABORT_FINISH;
        }
        job->spec.detached |= submit->spec.detached;
        return true;
    }
    const struct ms_kept_outcome *outcome = g_hash_table_lookup(sched->kept_outcome_index, id);
    if (outcome != NULL) {
        emit_outcome(sched, outcome);
        return true;
    }
    return false;
}

/*
 * Lets a non-idempotent job that an earlier leader may have started wait until
 * the servers report its tasks.  After two lease lengths without a report,
 * ms_adopt_decide() decides what happens to it.
 */
static void
wait_for_server_reports(struct ms_sched *sched, struct ms_job *job)
{
    job->may_have_run = true;
    job->state = MS_JOB_ADOPTING;
    job->state_deadline = sched->now + 2 * sched->limits.lease_ms;
    ms_set_timer(sched, job->state_deadline);
}

/* Handles a valid submission: queues the job, refuses it or answers a resubmission. */
void
ms_job_submit(struct ms_sched *sched, const struct ms_submit_event *submit)
{
    char id[MS_ID_MAX];
    char detail[MS_DETAIL_MAX] = "";
    snprintf(id, sizeof(id), "%s/%s", submit->spec.account, submit->spec.key);
    if (handle_resubmission(sched, submit, id)) {
        return;
    }
    struct ms_job *job = ms_job_new(sched, &submit->spec, id);
    if (job == NULL || !ms_job_set_payload(sched, job, &submit->spec)) {
        g_error("event=out_of_memory where=submit id=%s", id);
    }
    job->submitted = true;
    if (submit->may_have_run && !job->spec.idempotent) {
        wait_for_server_reports(sched, job);
        return;
    }
    job->may_have_run = submit->may_have_run;
    int code = check_admission(sched, job, detail, sizeof(detail));
    if (code >= 0) {
        ms_job_finish(sched, job, (enum ms_outcome_code)code, detail);
        return;
    }
    ms_job_enqueue(sched, job);
}

/* Cancels JOB: it ends with MS_OUTCOME_CANCELLED once its tasks, if any, have stopped. */
void
ms_job_cancel(struct ms_sched *sched, struct ms_job *job)
{
    const char *detail = "the caller cancelled the job";
    if (job->state == MS_JOB_WAITING) {
        ms_job_finish(sched, job, MS_OUTCOME_CANCELLED, detail);
        return;
    }
    ms_gang_abort(sched, job, MS_ABORT_FINISH, MS_OUTCOME_CANCELLED, detail);
}

/* Emits the outcome of the job ID again; no effect when none is kept. */
void
ms_job_resend_outcome(struct ms_sched *sched, const char *id)
{
    const struct ms_kept_outcome *outcome = g_hash_table_lookup(sched->kept_outcome_index, id);
    if (outcome != NULL) {
        emit_outcome(sched, outcome);
    }
}
