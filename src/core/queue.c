/*
 * queue.c - the scheduling pass: which waiting job starts next.
 *
 * Urgent jobs of all client accounts are tried first, then the others.  The next
 * job comes from the account with the fewest charged accelerators plus charged
 * tasks in proportion to its share.  This is weighted max-min fairness and follows
 * Ghodsi et al., "Dominant Resource Fairness", NSDI 2011.  Within an account the
 * order is class, then arrival.  A job that cannot start does not block the jobs
 * behind it, unless it is a gang for which servers are reserved (backfill.c).
 */
#include <stdio.h>
#include <string.h>

#include "sched.h"

/* Most job shapes remembered in one pass as not placeable. */
#define FAILED_SHAPES_MAX 32

/* The properties of an unplaceable job that matter for placement. */
struct failed_shape {
    uint32_t tasks;
    uint32_t accels;
    enum ms_adjacency adjacency;
    bool preemptible;
    bool urgent;
    bool failed_before;  /* a job that has failed may not probe a server, others may */
    int64_t expected_ms; /* run time, which decides whether reserved servers may be used */
};

/* State of one scheduling pass. */
struct queue_pass {
    struct failed_shape failed[FAILED_SHAPES_MAX];
    size_t failed_count;
    GHashTable *exhausted; /* set of accounts that cannot start another job */
};

/*
 * Whether a shape at least as easy to place as JOB's has failed in this pass.
 * A job with a reservation may use servers that are closed to the others, so
 * their failures tell nothing about it.
 */
static bool
known_to_fail(const struct queue_pass *pass, const struct ms_job *job)
{
    if (job->has_reservation) {
        return false;
    }
    bool urgent = job->spec.job_class == MS_CLASS_URGENT;
    bool failed_before = job->failed_attempts_total > 0;
    int64_t expected = ms_job_expected_run_ms(job);
    for (size_t i = 0; i < pass->failed_count; i++) {
        const struct failed_shape *shape = &pass->failed[i];
        if (job->spec.tasks >= shape->tasks && job->spec.accels >= shape->accels &&
            job->spec.adjacency == shape->adjacency &&
            (shape->preemptible || !ms_job_preemptible(job)) && (shape->urgent || !urgent) &&
            (!shape->failed_before || failed_before) && expected >= shape->expected_ms) {
            return true;
        }
    }
    return false;
}

/*
 * Records that a job of JOB's shape cannot be placed in this pass.  A job that
 * avoids servers on which it failed is left out: others may still use those.
 */
static void
remember_failure(struct queue_pass *pass, const struct ms_job *job)
{
    if (pass->failed_count == FAILED_SHAPES_MAX || job->failed_server_count > 0) {
        return;
    }
    pass->failed[pass->failed_count++] = (struct failed_shape){
        .tasks = job->spec.tasks,
        .accels = job->spec.accels,
        .adjacency = job->spec.adjacency,
        .preemptible = ms_job_preemptible(job),
        .urgent = job->spec.job_class == MS_CLASS_URGENT,
        .failed_before = job->failed_attempts_total > 0,
        .expected_ms = ms_job_expected_run_ms(job),
    };
}

/*
 * Whether JOB tries its account's cells first.  A job whose tasks need at most
 * half the accelerators of a cell tries other free resources first, so that it
 * does not use up a cell.
 */
static bool
prefers_cells(const struct ms_sched *sched, const struct ms_job *job)
{
    MS_LIST_FOREACH(link, &sched->guarantees)
    {
        const struct ms_rule *rule = &MS_CONTAINER_OF(link, struct ms_guarantee, link)->rule;
        if (strcmp(rule->account, job->account->name) == 0 && job->spec.accels * 2 > rule->accels) {
            return true;
        }
    }
    return false;
}

/* Places JOB outside cells and without preemption, if that is possible. */
static bool
try_outside_cells(struct ms_sched *sched, struct queue_pass *pass, struct ms_job *job)
{
    if (known_to_fail(pass, job)) {
        return false;
    }
    if (ms_place_job(sched, job)) {
        return true;
    }
    remember_failure(pass, job);
    return false;
}

/* Places JOB in any way that it may use: free servers, cells, or preemption. */
static bool
place_job(struct ms_sched *sched, struct queue_pass *pass, struct ms_job *job)
{
    if (prefers_cells(sched, job)) {
        if (ms_guarantee_place_job(sched, job) || try_outside_cells(sched, pass, job)) {
            return true;
        }
    }
    else if (try_outside_cells(sched, pass, job) || ms_guarantee_place_job(sched, job)) {
        return true;
    }
    if (job->spec.job_class == MS_CLASS_URGENT) {
        return ms_place_preempting(sched, job, MS_PREEMPT_NOT_URGENT);
    }
    /* A gang with a reservation may preempt work that resumes from a checkpoint. */
    if (job->has_reservation) {
        return ms_place_preempting(sched, job, MS_PREEMPT_CHECKPOINTABLE);
    }
    return false;
}

static bool
place_and_start(struct ms_sched *sched, struct queue_pass *pass, struct ms_job *job)
{
    if (!place_job(sched, pass, job)) {
        return false;
    }
    ms_gang_start_job(sched, job);
    return true;
}

/*
 * Starts JOB if it can start now; otherwise stores the reason in
 * job->wait_reason, except during a backoff.
 */
static bool
try_start(struct ms_sched *sched, struct queue_pass *pass, struct ms_job *job)
{
    if (job->retry_at > sched->now) {
        return false;
    }
    if (!ms_account_within_limits(job->account, job)) {
        snprintf(job->wait_reason, sizeof(job->wait_reason), "client account %s is at its limit",
                 job->account->name);
        return false;
    }
    if (place_and_start(sched, pass, job)) {
        return true;
    }
    snprintf(job->wait_reason, sizeof(job->wait_reason),
             "no %s has room for %u tasks of %u accelerators",
             ms_adjacency_name(job->spec.adjacency), job->spec.tasks, job->spec.accels);
    return ms_backfill_try_reserve(sched, job) && place_and_start(sched, pass, job);
}

/* Starts the first job of ACCOUNT that can start; returns whether there is one. */
static bool
start_one(struct ms_sched *sched, struct queue_pass *pass, struct ms_account *account,
          bool urgent_only)
{
    uint32_t examined = 0;
    MS_LIST_FOREACH(link, &account->queue)
    {
        struct ms_job *job = MS_CONTAINER_OF(link, struct ms_job, queue_link);
        if (urgent_only && job->spec.job_class != MS_CLASS_URGENT) {
            return false;
        }
        if (try_start(sched, pass, job)) {
            return true;
        }
        if (++examined == MS_ACCOUNT_SCAN_MAX) {
            return false;
        }
    }
    return false;
}

/* Charged accelerators and tasks of ACCOUNT, divided by its share. */
static double
charged_per_share(const struct ms_account *account)
{
    return (double)(account->charged_accels + account->charged_tasks) / (double)account->share;
}

/* Returns the account, of those that may start a job, with the least charged per share. */
static struct ms_account *
next_account(const struct ms_sched *sched, const struct queue_pass *pass)
{
    struct ms_account *best = NULL;
    MS_LIST_FOREACH(link, &sched->accounts)
    {
        struct ms_account *account = MS_CONTAINER_OF(link, struct ms_account, link);
        if (account->waiting_count == 0 || g_hash_table_contains(pass->exhausted, account)) {
            continue;
        }
        if (best == NULL || charged_per_share(account) < charged_per_share(best)) {
            best = account;
        }
    }
    return best;
}

/* Starts jobs until no account can start another one; with URGENT_ONLY, urgent jobs. */
static void
start_jobs(struct ms_sched *sched, struct queue_pass *pass, bool urgent_only)
{
    struct ms_account *account = NULL;
    while ((account = next_account(sched, pass)) != NULL) {
        if (!start_one(sched, pass, account, urgent_only)) {
            g_hash_table_add(pass->exhausted, account);
        }
    }
    g_hash_table_remove_all(pass->exhausted);
}

/* Starts the waiting jobs that can start now. */
void
ms_queue_run_pass(struct ms_sched *sched)
{
    if (sched->dc_out) {
        return;
    }
    bool any_waiting = false;
    MS_LIST_FOREACH(link, &sched->accounts)
    {
        any_waiting |= MS_CONTAINER_OF(link, struct ms_account, link)->waiting_count > 0;
    }
    if (!any_waiting) {
        return;
    }
    struct queue_pass pass = {.exhausted = g_hash_table_new(NULL, NULL)};
    start_jobs(sched, &pass, true);
    start_jobs(sched, &pass, false);
    g_hash_table_destroy(pass.exhausted);
}
