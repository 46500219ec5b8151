/*
 * account.c - client accounts: queues, limits and expected run times.
 */
#include <string.h>

#include "sched.h"

/* Weight of the latest run in the moving mean of actual over declared run time. */
#define RUN_RATIO_WEIGHT 0.2
/* Bounds of the ratio of a single run. */
#define RUN_RATIO_MIN 0.01
#define RUN_RATIO_MAX 100.0
/* Expected run time of a job that declares none. */
#define UNDECLARED_RUN_MS 60000

/*
 * Returns the account NAME.  An unknown one is created, with no limits and not
 * yet defined by a rule; NULL when memory runs out.
 */
struct ms_account *
ms_account_get_or_create(struct ms_sched *sched, const char *name)
{
    struct ms_account *account = g_hash_table_lookup(sched->account_index, name);
    if (account != NULL) {
        return account;
    }
    account = ms_sched_alloc(sched, sizeof(*account));
    if (account == NULL) {
        return NULL;
    }
    memset(account, 0, sizeof(*account));
    g_strlcpy(account->name, name, sizeof(account->name));
    account->share = 1;
    account->run_time_ratio = 1.0;
    ms_list_link_init(&account->queue);
    ms_list_link_init(&account->link);
    struct ms_list_link *position = sched->accounts.next;
    while (position != &sched->accounts &&
           strcmp(MS_CONTAINER_OF(position, struct ms_account, link)->name, name) < 0) {
        position = position->next;
    }
    ms_list_insert_before(position, &account->link);
    g_hash_table_insert(sched->account_index, account->name, account);
    return account;
}

/* Whether A precedes B in the queue of their account: by class, then arrival. */
static bool
queued_before(const struct ms_job *a, const struct ms_job *b)
{
    if (a->spec.job_class != b->spec.job_class) {
        return a->spec.job_class < b->spec.job_class;
    }
    return a->sequence < b->sequence;
}

/* Inserts JOB into the queue of its account, in the order of queued_before(). */
void
ms_account_enqueue(struct ms_sched *sched, struct ms_job *job)
{
    struct ms_account *account = job->account;
    struct ms_list_link *position = account->queue.prev;
    /* New jobs usually belong near the end, so search backwards. */
    while (position != &account->queue &&
           queued_before(job, MS_CONTAINER_OF(position, struct ms_job, queue_link))) {
        position = position->prev;
    }
    ms_list_insert_before(position->next, &job->queue_link);
    account->waiting_count++;
    sched->queue_dirty = true;
}

/* Removes JOB from the queue of its account; no effect when it is not queued. */
void
ms_account_dequeue(struct ms_job *job)
{
    if (ms_list_is_empty(&job->queue_link)) {
        return;
    }
    ms_list_remove(&job->queue_link);
    job->account->waiting_count--;
}

/* Whether ACCOUNT stays within its limits when JOB starts as well. */
bool
ms_account_within_limits(const struct ms_account *account, const struct ms_job *job)
{
    uint32_t accels = job->spec.tasks * job->spec.accels;
    if (account->limit_accels > 0 && account->charged_accels + accels > account->limit_accels) {
        return false;
    }
    return account->limit_running == 0 ||
           account->charged_tasks + job->spec.tasks <= account->limit_running;
}

/*
 * Updates the run time ratio of ACCOUNT after JOB ran for RAN_MS.  Jobs without
 * a declared run time do not count.
 */
void
ms_account_record_run_time(struct ms_account *account, const struct ms_job *job, int64_t ran_ms)
{
    if (job->spec.declared_ms <= 0) {
        return;
    }
    double ratio = (double)ran_ms / (double)job->spec.declared_ms;
    ratio = CLAMP(ratio, RUN_RATIO_MIN, RUN_RATIO_MAX);
    account->run_time_ratio += RUN_RATIO_WEIGHT * (ratio - account->run_time_ratio);
}

/* Expected run time of JOB: the declared one, corrected by its account's ratio. */
int64_t
ms_job_expected_run_ms(const struct ms_job *job)
{
    if (job->spec.declared_ms <= 0) {
        return UNDECLARED_RUN_MS;
    }
    return (int64_t)((double)job->spec.declared_ms * job->account->run_time_ratio);
}
