/*
 * queue.c - which waiting job goes next.
 *
 * Urgent jobs of all client accounts go first, then the account with the least
 * use in proportion to its share (weighted max-min fairness over the dominant
 * resource: Ghodsi et al., "Dominant Resource Fairness", NSDI 2011).  Within an
 * account the order is class, then arrival; a job that cannot start does not
 * stop smaller ones behind it, except as backfill.c says.
 */
#include <stdio.h>
#include <string.h>

#include "sched.h"

/* Shapes that found no place in the present pass. */
#define MEMO_MAX 32

struct failed_shape {
    uint32_t tasks;
    uint32_t accels;
    enum ms_adjacency adjacency;
    bool stoppable;
    bool urgent;
    int64_t expected_ms; /* run time, which decides about kept servers */
};

struct pass {
    struct failed_shape failed[MEMO_MAX];
    size_t failed_count;
    GHashTable *exhausted; /* accounts with nothing more to start */
};

/*
 * Whether a shape that is no harder to place than JOB's found no place.  The
 * job for which servers are kept may use those, so nothing is known about it.
 */
static bool
known_to_fail(const struct pass *pass, const struct ms_job *job)
{
    if (job->keeps) {
        return false;
    }
    bool urgent = job->spec.job_class == MS_CLASS_URGENT;
    int64_t expected = ms_account_expected_ms(job);
    for (size_t i = 0; i < pass->failed_count; i++) {
        const struct failed_shape *shape = &pass->failed[i];
        if (job->spec.tasks >= shape->tasks && job->spec.accels >= shape->accels &&
            job->spec.adjacency == shape->adjacency &&
            (shape->stoppable || !ms_job_stoppable(job)) && (shape->urgent || !urgent) &&
            expected >= shape->expected_ms) {
            return true;
        }
    }
    return false;
}

static void
remember_failure(struct pass *pass, const struct ms_job *job)
{
    if (pass->failed_count == MEMO_MAX || job->failed_count > 0) {
        return;
    }
    pass->failed[pass->failed_count++] = (struct failed_shape){
        .tasks = job->spec.tasks,
        .accels = job->spec.accels,
        .adjacency = job->spec.adjacency,
        .stoppable = ms_job_stoppable(job),
        .urgent = job->spec.job_class == MS_CLASS_URGENT,
        .expected_ms = ms_account_expected_ms(job),
    };
}

/* A job smaller than half of a cell looks for other room before it takes one. */
static bool
prefers_cells(const struct ms_sched *sched, const struct ms_job *job)
{
    MS_LIST_EACH(link, &sched->guarantees)
    {
        const struct ms_rule *rule = &MS_CONTAINER(link, struct ms_guarantee, link)->rule;
        if (strcmp(rule->account, job->account->name) == 0 && job->spec.accels * 2 > rule->accels) {
            return true;
        }
    }
    return false;
}

static bool
try_ordinary(struct ms_sched *sched, struct pass *pass, struct ms_job *job)
{
    if (known_to_fail(pass, job)) {
        return false;
    }
    if (ms_place(sched, job)) {
        return true;
    }
    remember_failure(pass, job);
    return false;
}

/* Finds servers for JOB by every way that is open to it. */
static bool
find_place(struct ms_sched *sched, struct pass *pass, struct ms_job *job)
{
    if (prefers_cells(sched, job)) {
        if (ms_guarantee_place(sched, job) || try_ordinary(sched, pass, job)) {
            return true;
        }
    }
    else if (try_ordinary(sched, pass, job) || ms_guarantee_place(sched, job)) {
        return true;
    }
    if (job->spec.job_class == MS_CLASS_URGENT) {
        return ms_place_by_stopping(sched, job, MS_VICTIMS_LESS_URGENT);
    }
    /* A gang that has waited starts at the cost of work that loses nothing. */
    if (job->keeps) {
        return ms_place_by_stopping(sched, job, MS_VICTIMS_RESUMABLE);
    }
    return false;
}

static bool
find_and_begin(struct ms_sched *sched, struct pass *pass, struct ms_job *job)
{
    if (!find_place(sched, pass, job)) {
        return false;
    }
    ms_gang_begin(sched, job);
    return true;
}

/* Starts JOB if it may start now; says why not in job->wait_reason. */
static bool
try_start(struct ms_sched *sched, struct pass *pass, struct ms_job *job)
{
    if (job->not_before > sched->now) {
        return false;
    }
    if (!ms_account_within_limits(job->account, job)) {
        snprintf(job->wait_reason, sizeof(job->wait_reason), "client account %s is at its limit",
                 job->account->name);
        return false;
    }
    if (find_and_begin(sched, pass, job)) {
        return true;
    }
    snprintf(job->wait_reason, sizeof(job->wait_reason),
             "no %s has room for %u tasks of %u accelerators",
             ms_adjacency_name(job->spec.adjacency), job->spec.tasks, job->spec.accels);
    return ms_backfill_consider(sched, job) && find_and_begin(sched, pass, job);
}

/* Starts the first job of ACCOUNT that can start. */
static bool
start_one(struct ms_sched *sched, struct pass *pass, struct ms_account *account, bool urgent_only)
{
    uint32_t looked_at = 0;
    MS_LIST_EACH(link, &account->queue)
    {
        struct ms_job *job = MS_CONTAINER(link, struct ms_job, queue_link);
        if (urgent_only && job->spec.job_class != MS_CLASS_URGENT) {
            return false;
        }
        if (try_start(sched, pass, job)) {
            return true;
        }
        if (++looked_at == MS_PASS_DEPTH) {
            return false;
        }
    }
    return false;
}

/* Use of ACCOUNT in proportion to its share. */
static double
weighted_use(const struct ms_account *account)
{
    return (double)(account->used_accels + account->used_tasks) / (double)account->share;
}

static struct ms_account *
next_account(const struct ms_sched *sched, const struct pass *pass)
{
    struct ms_account *best = NULL;
    MS_LIST_EACH(link, &sched->accounts)
    {
        struct ms_account *account = MS_CONTAINER(link, struct ms_account, link);
        if (account->waiting == 0 || g_hash_table_contains(pass->exhausted, account)) {
            continue;
        }
        if (best == NULL || weighted_use(account) < weighted_use(best)) {
            best = account;
        }
    }
    return best;
}

static void
run_pass(struct ms_sched *sched, struct pass *pass, bool urgent_only)
{
    struct ms_account *account = NULL;
    while ((account = next_account(sched, pass)) != NULL) {
        if (!start_one(sched, pass, account, urgent_only)) {
            g_hash_table_add(pass->exhausted, account);
        }
    }
    g_hash_table_remove_all(pass->exhausted);
}

/* Starts every waiting job that may start now. */
void
ms_queue_pass(struct ms_sched *sched)
{
    if (sched->out) {
        return;
    }
    bool any_waiting = false;
    MS_LIST_EACH(link, &sched->accounts)
    {
        any_waiting |= MS_CONTAINER(link, struct ms_account, link)->waiting > 0;
    }
    if (!any_waiting) {
        return;
    }
    struct pass pass = {.exhausted = g_hash_table_new(NULL, NULL)};
    run_pass(sched, &pass, true);
    run_pass(sched, &pass, false);
    g_hash_table_destroy(pass.exhausted);
}
