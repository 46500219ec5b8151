/*
 * job_calls.c - handles queries of jobs and queues, and cancellations.
 *
 * Queries are answered from the table of jobs, which a read of the log may have to refresh
 * before.  A cancellation of a job that is not in the table is denied only after a read that
 * began when the call had arrived, and is stored first (early_cancels.c), as callers take the
 * denial for a confirmation and the submission may still be on its way.
 */
#include <string.h>

#include "entry/private.h"
#include "ports/caller_api.h"

#define REFRESH_WAIT_MAX_MS 300 /* a call waits at most this long for a read of the log */
#define DENIAL_WAIT_MAX_MS 600  /* the same for one that cancels an unknown job */
#define JOBS_AGE_MAX_SHARE 0.5  /* of unknown_after_ms: an older table denies no job to queries */

/* Whether the table of jobs is recent enough to say that a job does not exist. */
static bool
jobs_are_current(const struct ms_entry *entry)
{
    return entry->jobs_loaded && (double)(entry->now - entry->jobs_current_at) <
                                     (double)entry->settings->unknown_after_ms * JOBS_AGE_MAX_SHARE;
}

/*
 * Whether CALL may be answered that its job does not exist.  A caller takes that answer to a
 * cancellation for a confirmation, so that the log must have been read since it arrived: the
 * job may have been accepted just before by another host.
 */
static bool
may_deny_job(const struct ms_entry *entry, const struct ms_entry_call *call)
{
    if (call->method == MS_METHOD_DELETE) {
        return entry->jobs_loaded && entry->jobs_current_at >= call->arrived_at;
    }
    return jobs_are_current(entry);
}

/*
 * Whether a caller of QUEUE may see and cancel JOB: its account's own job, or, where QUEUE is open
 * to callers without a key, a job of this queue.
 */
static bool
may_see(const struct ms_stored_job *job, const struct ms_queue_rule *queue, const char *account)
{
    bool own = account[0] != '\0' && strcmp(job->spec.account, account) == 0;
    return own || (queue->allow_anonymous && strcmp(job->spec.queue, queue->name) == 0);
}

/* Returns the job ID if it exists and ACCOUNT may see it; otherwise answers CALL. */
static struct ms_stored_job *
find_job(struct ms_entry *entry, struct ms_entry_call *call, const struct ms_queue_rule *queue,
         const char *account, const char *id)
{
    struct ms_stored_job *job = ms_job_table_find(entry->table, id);
    bool known = job != NULL && job->accepted;
    if (known && may_see(job, queue, account)) {
        return job;
    }
    if (!known && call->method == MS_METHOD_DELETE && may_deny_job(entry, call)) {
        const struct ms_early_cancel_scope scope = {
            .queue = queue->name, .account = account, .any_account = queue->allow_anonymous};
        ms_early_cancel_store(entry, call, id, &scope);
    }
    else if (known || may_deny_job(entry, call)) {
        ms_requests_answer(entry, call, MS_STATUS_GONE, "no_such_job");
    }
    else {
        ms_requests_forward_or_refuse(entry, call, "jobs_not_current");
    }
    return NULL;
}

static void
cancel_job(struct ms_entry *entry, struct ms_entry_call *call, const struct ms_stored_job *job)
{
    if (job->cancelled || job->phase != MS_PHASE_OPEN) {
        ms_requests_answer(entry, call, MS_STATUS_OK, "ended_before");
        return;
    }
    if (!entry->reachable[MS_STREAM_JOBS]) {
        ms_requests_forward_or_refuse(entry, call, "log_unreachable");
        return;
    }
    static const char value[] = "cancelled";
    ms_requests_append(entry, call, MS_APPEND_CANCEL, job->id,
                       g_bytes_new_static(value, strlen(value)));
}

/*
 * Whether a read of the log may change the answer to CALL, which has not waited for one
 * yet: the job ID is not in the table, or its state is asked for and it has not ended.
 */
static bool
wants_refresh(const struct ms_entry *entry, const struct ms_entry_call *call, const char *id)
{
    const struct ms_stored_job *job = ms_job_table_find(entry->table, id);
    bool open = call->method == MS_METHOD_GET && job != NULL && job->accepted &&
                ms_stored_job_phase(job) == MS_PHASE_OPEN;
    return call->refresh_deadline_at == 0 && (job == NULL || open);
}

/* Makes CALL wait for a read of the log if that may change the answer; see wants_refresh(). */
static bool
await_refresh(struct ms_entry *entry, struct ms_entry_call *call, const char *id)
{
    struct ms_stream_reader *reader = entry->stream_readers[MS_STREAM_JOBS];
    int64_t wait_max_ms = REFRESH_WAIT_MAX_MS;
    if (!wants_refresh(entry, call, id)) {
        return false;
    }
    if (call->method == MS_METHOD_DELETE && entry->reachable[MS_STREAM_JOBS]) {
        ms_stream_reader_read_again(reader);
        wait_max_ms = DENIAL_WAIT_MAX_MS;
    }
    else if (!ms_stream_reader_read_now(reader)) {
        return false;
    }
    call->refresh_deadline_at = entry->now + wait_max_ms;
    g_ptr_array_add(entry->calls_awaiting_refresh, call);
    return true;
}

void
ms_job_calls_handle(struct ms_entry *entry, struct ms_entry_call *call,
                    const struct ms_queue_rule *queue, const char *account, const char *id)
{
    if (await_refresh(entry, call, id)) {
        return;
    }
    const struct ms_stored_job *job = find_job(entry, call, queue, account, id);
    if (job == NULL) {
        return;
    }
    if (call->method == MS_METHOD_DELETE) {
        cancel_job(entry, call, job);
        return;
    }
    call->response_body = ms_api_encode_state(ms_stored_job_phase(job), job->started);
    ms_requests_answer(entry, call, MS_STATUS_OK, "state");
}

void
ms_job_calls_answer_queue(struct ms_entry *entry, struct ms_entry_call *call,
                          const struct ms_queue_rule *queue)
{
    if (!jobs_are_current(entry)) {
        ms_requests_forward_or_refuse(entry, call, "jobs_not_current");
        return;
    }
    call->response_body =
        ms_api_encode_waiting(ms_job_table_count_waiting(entry->table, queue->name));
    ms_requests_answer(entry, call, MS_STATUS_OK, "waiting");
}
