/*
 * account.c - client accounts: queue, limits and the correction of declared
 * run times.
 */
#include <string.h>

#include "sched.h"

/* Weight of the newest run in the moving mean of real to declared time. */
#define RUN_RATIO_WEIGHT 0.2
#define RUN_RATIO_MIN 0.01
#define RUN_RATIO_MAX 100.0
/* Assumed run time of a job that declares none. */
#define UNDECLARED_RUN_MS 60000

struct ms_account *
ms_account_get(struct ms_sched *sched, const char *name)
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
    account->run_ratio = 1.0;
    ms_link_init(&account->queue);
    ms_link_init(&account->link);
    struct ms_link *position = sched->accounts.next;
    while (position != &sched->accounts &&
           strcmp(MS_CONTAINER(position, struct ms_account, link)->name, name) < 0) {
        position = position->next;
    }
    ms_list_insert_before(position, &account->link);
    g_hash_table_insert(sched->account_index, account->name, account);
    return account;
}

/* Whether A goes before B in the queue of their account. */
static bool
goes_before(const struct ms_job *a, const struct ms_job *b)
{
    if (a->spec.job_class != b->spec.job_class) {
        return a->spec.job_class < b->spec.job_class;
    }
    return a->sequence < b->sequence;
}

void
ms_account_enqueue(struct ms_sched *sched, struct ms_job *job)
{
    struct ms_account *account = job->account;
    struct ms_link *position = account->queue.prev;
    /* New jobs usually belong at the end, so search from there. */
    while (position != &account->queue &&
           goes_before(job, MS_CONTAINER(position, struct ms_job, queue_link))) {
        position = position->prev;
    }
    ms_list_insert_before(position->next, &job->queue_link);
    account->waiting++;
    sched->dirty = true;
}

void
ms_account_dequeue(struct ms_job *job)
{
    if (ms_list_empty(&job->queue_link)) {
        return;
    }
    ms_list_remove(&job->queue_link);
    job->account->waiting--;
}

bool
ms_account_within_limits(const struct ms_account *account, const struct ms_job *job)
{
    uint32_t accels = job->spec.tasks * job->spec.accels;
    if (account->limit_accels > 0 && account->used_accels + accels > account->limit_accels) {
        return false;
    }
    return account->limit_running == 0 ||
           account->used_tasks + job->spec.tasks <= account->limit_running;
}

void
ms_account_observe_run(struct ms_account *account, const struct ms_job *job, int64_t ran_ms)
{
    if (job->spec.declared_ms <= 0) {
        return;
    }
    double ratio = (double)ran_ms / (double)job->spec.declared_ms;
    ratio = CLAMP(ratio, RUN_RATIO_MIN, RUN_RATIO_MAX);
    account->run_ratio += RUN_RATIO_WEIGHT * (ratio - account->run_ratio);
}

int64_t
ms_account_expected_ms(const struct ms_job *job)
{
    if (job->spec.declared_ms <= 0) {
        return UNDECLARED_RUN_MS;
    }
    return (int64_t)((double)job->spec.declared_ms * job->account->run_ratio);
}
