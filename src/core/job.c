/*
 * job.c - submission, cancellation, waiting and the final outcome of jobs.
 */
#include <stdio.h>
#include <string.h>

#include "sched.h"

static const char no_room_detail[] =
    "no set of servers could hold it, beside the guarantees if it cannot be stopped";

struct ms_job *
ms_job_new(struct ms_sched *sched, const struct ms_job_spec *spec, const char *id)
{
    struct ms_account *account = ms_account_get(sched, spec->account);
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
    job->phase_until = INT64_MAX;
    ms_link_init(&job->queue_link);
    ms_link_init(&job->link);
    for (uint32_t i = 0; i < spec->tasks; i++) {
        tasks[i].job = job;
        tasks[i].stop_at = INT64_MAX;
        ms_link_init(&tasks[i].server_link);
    }
    ms_list_append(&sched->jobs, &job->link);
    g_hash_table_insert(sched->job_index, job->id, job);
    return job;
}

/* Copies the payload of SPEC into JOB; false when memory runs out. */
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

void
ms_job_free(struct ms_sched *sched, struct ms_job *job)
{
    ms_sched_release(sched, (void *)job->spec.payload);
    ms_sched_release(sched, job->output);
    ms_sched_release(sched, job->tasks);
    ms_sched_release(sched, job);
}

void
ms_recent_free(struct ms_sched *sched, struct ms_recent *recent)
{
    ms_sched_release(sched, recent->output);
    ms_sched_release(sched, recent);
}

/* Emits the outcome that RECENT keeps. */
static void
emit_outcome(struct ms_sched *sched, const struct ms_recent *recent)
{
    struct ms_action *action = ms_emit(sched, MS_ACTION_OUTCOME, recent->id);
    action->outcome = (struct ms_outcome_action){
        .code = recent->code,
        .ran = recent->ran,
        .detail = recent->detail,
        .server = recent->server,
        .spec = &recent->spec,
        .output = recent->output,
        .output_len = recent->output_len,
        .queued_ms = recent->queued_ms,
        .ran_ms = recent->ran_ms,
    };
}

/* Moves outcomes beyond the bound to the list of memory to free. */
static void
trim_recents(struct ms_sched *sched)
{
    while (sched->recent_count > sched->limits.recent_max) {
        struct ms_recent *oldest = MS_CONTAINER(sched->recents.next, struct ms_recent, link);
        ms_list_remove(&oldest->link);
        if (g_hash_table_lookup(sched->recent_index, oldest->id) == oldest) {
            g_hash_table_remove(sched->recent_index, oldest->id);
        }
        g_ptr_array_add(sched->dead_recents, oldest);
        sched->recent_count--;
    }
}

static enum ms_ran
job_ran(const struct ms_job *job, enum ms_outcome_code code)
{
    if (code == MS_OUTCOME_DUPLICATE) {
        return MS_RAN_UNKNOWN; /* the holder of the token may have run it */
    }
    if (!job->may_have_run) {
        return MS_RAN_NO;
    }
    return code == MS_OUTCOME_LOST_CONTACT ? MS_RAN_UNKNOWN : MS_RAN_YES;
}

/*
 * Whether a later submission of the same key may be answered with this
 * outcome.  One that did not run may be tried anew, and a duplicate has its
 * answer elsewhere.
 */
static bool
outcome_is_kept(const struct ms_recent *recent)
{
    return recent->ran != MS_RAN_NO && recent->code != MS_OUTCOME_DUPLICATE;
}

/* Fills RECENT from the job; takes over its output. */
static void
recent_fill(struct ms_recent *recent, struct ms_job *job, const struct ms_sched *sched)
{
    g_strlcpy(recent->id, job->id, sizeof(recent->id));
    g_strlcpy(recent->server, job->ran_on, sizeof(recent->server));
    recent->spec = job->spec;
    recent->spec.payload = NULL;
    recent->spec.payload_len = 0;
    recent->output = job->output;
    recent->output_len = job->output_len;
    job->output = NULL;
    int64_t started = job->started_at > 0 ? job->started_at : sched->now;
    recent->queued_ms = started - job->submitted_at;
    recent->ran_ms = sched->now - started;
}

void
ms_job_finish(struct ms_sched *sched, struct ms_job *job, enum ms_outcome_code code,
              const char *detail)
{
    struct ms_recent *recent = ms_sched_alloc(sched, sizeof(*recent));
    if (recent == NULL) {
        g_error("event=out_of_memory where=outcome id=%s", job->id);
    }
    memset(recent, 0, sizeof(*recent));
    ms_link_init(&recent->link);
    recent->code = code;
    recent->ran = job_ran(job, code);
    g_strlcpy(recent->detail, detail, sizeof(recent->detail));
    recent_fill(recent, job, sched);
    emit_outcome(sched, recent);
    if (outcome_is_kept(recent)) {
        ms_list_append(&sched->recents, &recent->link);
        g_hash_table_replace(sched->recent_index, recent->id, recent);
        sched->recent_count++;
        trim_recents(sched);
    }
    else {
        g_ptr_array_add(sched->dead_recents, recent);
    }
    ms_job_drop(sched, job);
}

/* Forgets JOB without an outcome; it is freed at the next step. */
void
ms_job_drop(struct ms_sched *sched, struct ms_job *job)
{
    ms_account_dequeue(job);
    ms_backfill_release(sched, job);
    ms_list_remove(&job->link);
    g_hash_table_remove(sched->job_index, job->id);
    g_ptr_array_add(sched->dead_jobs, job);
    sched->dirty = true;
}

/*
 * Tells jobs that cannot be stopped, and so must stay out of the guarantees'
 * cells, when the guarantees leave no room for them at all.
 */
void
ms_job_recheck_waiting(struct ms_sched *sched)
{
    MS_LIST_EACH(link, &sched->jobs)
    {
        struct ms_job *job = MS_CONTAINER(link, struct ms_job, link);
        if (job->state == MS_JOB_WAITING && !ms_job_stoppable(job) &&
            !ms_job_could_ever_fit(sched, job, false)) {
            ms_job_finish(sched, job, MS_OUTCOME_NEVER_FITS, no_room_detail);
        }
    }
}

void
ms_job_wait(struct ms_sched *sched, struct ms_job *job)
{
    if (sched->out) {
        ms_job_finish(sched, job, MS_OUTCOME_DC_OUT, "its data centre is out of service");
        return;
    }
    job->state = MS_JOB_WAITING;
    job->phase_until = INT64_MAX;
    job->guaranteed = false;
    ms_account_enqueue(sched, job);
    ms_set_timer(sched, ms_gang_next(job, sched->now));
}

/* The reason to refuse a new job at once, or -1. */
static int
refusal(const struct ms_sched *sched, const struct ms_job *job, char *detail, size_t size)
{
    const struct ms_account *account = job->account;
    if (!account->defined) {
        snprintf(detail, size, "no rule creates the client account %s", account->name);
        return MS_OUTCOME_NO_ACCOUNT;
    }
    if (sched->out) {
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
    if (!ms_job_could_ever_fit(sched, job, false)) {
        g_strlcpy(detail, no_room_detail, size);
        return MS_OUTCOME_NEVER_FITS;
    }
    uint32_t bound = account->limit_queued > 0 ? account->limit_queued : sched->limits.queue_max;
    if (account->waiting >= bound) {
        snprintf(detail, size, "%u jobs of client account %s wait already", account->waiting,
                 account->name);
        return MS_OUTCOME_LIMIT;
    }
    return -1;
}

/* Handles a submission whose id is already known here; true when it is. */
static bool
submit_again(struct ms_sched *sched, const struct ms_submit_event *submit, const char *id)
{
    struct ms_job *job = ms_job_find(sched, id);
    if (job != NULL) {
        if (!ms_job_set_payload(sched, job, &submit->spec)) {
            return true;
        }
        job->submitted = true;
        if (job->state == MS_JOB_ABORTING && job->after == MS_AFTER_FORGET) {
            bool retry = job->spec.idempotent || !job->may_have_run;
            job->after = retry ? MS_AFTER_RETRY : MS_AFTER_OUTCOME;
        }
        job->spec.detached |= submit->spec.detached;
        return true;
    }
    const struct ms_recent *recent = g_hash_table_lookup(sched->recent_index, id);
    if (recent != NULL) {
        emit_outcome(sched, recent);
        return true;
    }
    return false;
}

/*
 * A non-idempotent job that an earlier holder may have started waits for the
 * servers to report it; ms_adopt_check() decides when they do not.
 */
static void
wait_for_reports(struct ms_sched *sched, struct ms_job *job)
{
    job->may_have_run = true;
    job->state = MS_JOB_ADOPTING;
    job->phase_until = sched->now + 2 * sched->limits.lease_ms;
    ms_set_timer(sched, job->phase_until);
}

void
ms_job_submit(struct ms_sched *sched, const struct ms_submit_event *submit)
{
    char id[MS_ID_MAX];
    char detail[MS_DETAIL_MAX] = "";
    snprintf(id, sizeof(id), "%s/%s", submit->spec.account, submit->spec.key);
    if (submit_again(sched, submit, id)) {
        return;
    }
    struct ms_job *job = ms_job_new(sched, &submit->spec, id);
    if (job == NULL || !ms_job_set_payload(sched, job, &submit->spec)) {
        g_error("event=out_of_memory where=submit id=%s", id);
    }
    job->submitted = true;
    if (submit->may_have_run && !job->spec.idempotent) {
        wait_for_reports(sched, job);
        return;
    }
    job->may_have_run = submit->may_have_run;
    int code = refusal(sched, job, detail, sizeof(detail));
    if (code >= 0) {
        ms_job_finish(sched, job, (enum ms_outcome_code)code, detail);
        return;
    }
    ms_job_wait(sched, job);
}

void
ms_job_cancel(struct ms_sched *sched, struct ms_job *job)
{
    const char *detail = "the caller cancelled the job";
    if (job->state == MS_JOB_WAITING) {
        ms_job_finish(sched, job, MS_OUTCOME_CANCELLED, detail);
        return;
    }
    ms_gang_abort(sched, job, MS_AFTER_OUTCOME, MS_OUTCOME_CANCELLED, detail);
}

/* Emits the outcome of the job ID again, if it is still kept. */
void
ms_job_ask(struct ms_sched *sched, const char *id)
{
    const struct ms_recent *recent = g_hash_table_lookup(sched->recent_index, id);
    if (recent != NULL) {
        emit_outcome(sched, recent);
    }
}
