/*
 * engine_order.c - what the order between accounts needs from the engine: the virtual arrivals
 * of jobs and the relative shares of accounts; see account_order.h.
 */
#include <string.h>

#include "batch/engine_placement.h"

static struct ms_batch_job *
job_of(struct ms_list_link *link)
{
    return MS_CONTAINER_OF(link, struct ms_batch_job, account_link);
}

/* Whether A arrived before B; ids decide between equal times, as they are the same everywhere. */
static bool
arrived_before(const struct ms_batch_job *a, const struct ms_batch_job *b)
{
    if (a->spec->accepted_ms != b->spec->accepted_ms) {
        return a->spec->accepted_ms < b->spec->accepted_ms;
    }
    return strcmp(a->id, b->id) < 0;
}

static gint
compare_arrivals(gconstpointer left, gconstpointer right)
{
    const struct ms_batch_job *a = *(struct ms_batch_job *const *)left;
    const struct ms_batch_job *b = *(struct ms_batch_job *const *)right;
    return arrived_before(a, b) ? -1 : arrived_before(b, a);
}

/* Computes the virtual arrivals of the jobs of ACCOUNT from LINK on, until one is unchanged. */
static void
update_from(const struct ms_batch_account *account, struct ms_list_link *link)
{
    const struct ms_list_link *head = &account->jobs;
    int64_t previous_us = link->prev == head ? INT64_MIN : job_of(link->prev)->virtual_us;
    for (; link != head; link = link->next) {
        struct ms_batch_job *job = job_of(link);
        int64_t virtual_us = ms_order_virtual_us(job->spec->accepted_ms, previous_us,
                                                 ms_order_weight(account->rule));
        if (virtual_us == job->virtual_us) {
            return;
        }
        job->virtual_us = virtual_us;
        previous_us = virtual_us;
    }
}

/* Sorts the jobs of ACCOUNT by arrival and computes all their virtual arrivals. */
static void
sort_jobs(struct ms_batch_account *account)
{
    GPtrArray *jobs = g_ptr_array_new();
    MS_LIST_FOREACH(link, &account->jobs)
    {
        g_ptr_array_add(jobs, job_of(link));
        ms_list_remove(link);
    }
    g_ptr_array_sort(jobs, compare_arrivals);
    for (guint i = 0; i < jobs->len; i++) {
        struct ms_batch_job *job = g_ptr_array_index(jobs, i);
        job->virtual_us = INT64_MIN;
        ms_list_append(&account->jobs, &job->account_link);
    }
    update_from(account, account->jobs.next);
    g_ptr_array_unref(jobs);
}

/*
 * Jobs become known nearly in the order of arrival, except when a new leader reads them: those out
 * of order are sorted in, all at once, before the next pass that uses them.
 */
void
ms_order_add_job(const struct ms_engine *engine, struct ms_batch_job *job)
{
    struct ms_batch_account *account = job->account;
    struct ms_list_link *last = account->jobs.prev;
    account->jobs_unsorted |=
        !engine->has_weights || (last != &account->jobs && arrived_before(job, job_of(last)));
    job->virtual_us = INT64_MIN;
    ms_list_link_init(&job->account_link);
    ms_list_append(&account->jobs, &job->account_link);
    if (!account->jobs_unsorted) {
        update_from(account, &job->account_link);
    }
}

void
ms_order_remove_job(struct ms_batch_job *job)
{
    struct ms_list_link *next = job->account_link.next;
    ms_list_remove(&job->account_link);
    if (!job->account->jobs_unsorted) {
        update_from(job->account, next);
    }
}

void
ms_order_set_policy(struct ms_engine *engine)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    engine->has_weights = ms_order_has_weights(engine->policy);
    engine->total_weight = ms_order_total_weight(engine->policy);
    g_hash_table_iter_init(&iterator, engine->accounts_by_name);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct ms_batch_account *account = value;
        account->jobs_unsorted = true;
    }
}

void
ms_order_begin_pass(const struct ms_placement_pass *pass)
{
    const struct ms_engine *engine = pass->engine;
    struct ms_resources capacity = {0, 0, 0};
    GHashTableIter iterator;
    gpointer value = NULL;
    if (!engine->has_weights) {
        return;
    }
    for (guint i = 0; i < pass->servers->len; i++) {
        const struct ms_batch_server *server = g_ptr_array_index(pass->servers, i);
        ms_resources_add(&capacity, &server->entry.capacity, 1);
    }
    g_hash_table_iter_init(&iterator, engine->accounts_by_name);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct ms_batch_account *account = value;
        if (account->jobs_unsorted) {
            sort_jobs(account);
            account->jobs_unsorted = false;
        }
        account->relative_share = ms_order_relative_share(
            &account->allocated, &capacity, ms_order_weight(account->rule), engine->total_weight);
    }
}

int64_t
ms_order_step_ahead_ms(const struct ms_engine *engine, const struct ms_batch_step *step)
{
    const struct ms_batch_job *job = step->occurrence->job;
    return ms_order_ahead_ms(job->virtual_us, job->spec->accepted_ms, engine->unix_ms,
                             engine->now - job->accepted_at);
}

bool
ms_order_is_delayed(const struct ms_batch_step *step)
{
    const struct ms_order_rank *rank = &step->rank;
    return !rank->within_guarantee &&
           (rank->order_class == MS_ORDER_BEYOND_RATE || rank->share_step > 0);
}

void
ms_order_rank_step(const struct ms_engine *engine, struct ms_batch_step *step)
{
    const struct ms_batch_job *job = step->occurrence->job;
    struct ms_order_rank *rank = &step->rank;
    rank->priority = ms_batch_job_priority(job);
    rank->within_guarantee = step->within_guarantee;
    rank->accepted_ms = job->spec->accepted_ms;
    rank->id = job->id;
    rank->order_class = MS_ORDER_WITHIN_RATE;
    rank->share_step = 0;
    rank->virtual_us = 0;
    if (engine->has_weights) {
        ms_order_classify(rank, ms_order_step_ahead_ms(engine, step), job->account->relative_share);
        rank->virtual_us = job->virtual_us;
    }
}
