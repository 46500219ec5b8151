/*
 * backfill.c - servers kept for a gang that has waited long.
 *
 * One gang at a time, the oldest blocked one, gets a set of servers on which
 * nothing else starts unless it is expected to end before the gang can start
 * (EASY backfill: Lifka, "The ANL/IBM SP Scheduling System", JSSPP 1995, with
 * run times corrected as in Tsafrir et al., "Backfilling Using System-Generated
 * Predictions Rather than User Runtime Estimates", IEEE TPDS 2007).
 */
#include "sched.h"

void
ms_backfill_clear(struct ms_sched *sched)
{
    MS_LIST_EACH(link, &sched->servers)
    {
        MS_CONTAINER(link, struct ms_server, link)->kept_for = NULL;
    }
    sched->backfill_job = NULL;
    sched->dirty = true;
}

bool
ms_backfill_admits(const struct ms_sched *sched, const struct ms_server *server,
                   const struct ms_job *job)
{
    if (server->kept_for == NULL || server->kept_for == job) {
        return true;
    }
    if (job->spec.job_class == MS_CLASS_URGENT) {
        return true;
    }
    return sched->now + ms_account_expected_ms(job) <= sched->backfill_at;
}

/* When the last task that now runs on SERVER is expected to end. */
static int64_t
server_free_at(const struct ms_sched *sched, const struct ms_server *server)
{
    int64_t latest = sched->now;
    MS_LIST_EACH(link, &server->tasks)
    {
        const struct ms_job *job = MS_CONTAINER(link, struct ms_task, server_link)->job;
        int64_t started = job->started_at > 0 ? job->started_at : sched->now;
        latest = MAX(latest, started + ms_account_expected_ms(job));
    }
    return latest;
}

/* Tasks of JOB that SERVER holds once its present stoppable tasks have ended. */
static uint32_t
fit_when_free(const struct ms_server *server, const struct ms_job *job)
{
    if (!ms_server_usable(server, job)) {
        return 0;
    }
    uint32_t slots = server->slots;
    uint32_t accels = server->accels;
    if (!ms_job_stoppable(job)) {
        slots -= server->cell_slots;
        accels -= server->cell_accels;
    }
    return job->spec.accels == 0 ? slots : MIN(slots, accels / job->spec.accels);
}

/* A way to start the gang: the servers of one group, and when they are free. */
struct group_choice {
    const struct ms_server *anchor; /* any server of the group; NULL: all */
    int64_t free_at;
};

static bool
in_group(const struct ms_server *server, const struct ms_server *anchor, enum ms_adjacency adjacency)
{
    if (anchor == NULL || adjacency == MS_ADJACENT_DC) {
        return true;
    }
    if (adjacency == MS_ADJACENT_RACK) {
        return server->rack_id == anchor->rack_id;
    }
    return server == anchor;
}

static int
by_scratch(const void *a, const void *b)
{
    const struct ms_server *left = *(struct ms_server *const *)a;
    const struct ms_server *right = *(struct ms_server *const *)b;
    return (left->scratch > right->scratch) - (left->scratch < right->scratch);
}

/*
 * Collects the servers of the group around ANCHOR that are free earliest and
 * hold JOB together.  Returns when that is, or INT64_MAX if they never do.
 */
static int64_t
collect_group(struct ms_sched *sched, const struct ms_job *job, const struct ms_server *anchor)
{
    g_ptr_array_set_size(sched->candidates, 0);
    MS_LIST_EACH(link, &sched->servers)
    {
        struct ms_server *server = MS_CONTAINER(link, struct ms_server, link);
        if (!in_group(server, anchor, job->spec.adjacency) ||
            fit_when_free(server, job) == 0) {
            continue;
        }
        int64_t wait = server_free_at(sched, server) - sched->now;
        server->scratch = (int32_t)MIN(wait, INT32_MAX);
        g_ptr_array_add(sched->candidates, server);
    }
    qsort(sched->candidates->pdata, sched->candidates->len, sizeof(gpointer), by_scratch);
    uint32_t fit = 0;
    for (guint i = 0; i < sched->candidates->len; i++) {
        const struct ms_server *server = g_ptr_array_index(sched->candidates, i);
        fit += fit_when_free(server, job);
        if (fit >= job->spec.tasks) {
            g_ptr_array_set_size(sched->candidates, (gint)i + 1);
            return sched->now + server->scratch;
        }
    }
    return INT64_MAX;
}

static bool
best_group(struct ms_sched *sched, const struct ms_job *job, struct group_choice *choice)
{
    choice->free_at = INT64_MAX;
    choice->anchor = NULL;
    if (job->spec.adjacency == MS_ADJACENT_DC) {
        choice->free_at = collect_group(sched, job, NULL);
        return choice->free_at != INT64_MAX;
    }
    uint32_t last_rack = UINT32_MAX;
    MS_LIST_EACH(link, &sched->servers)
    {
        const struct ms_server *server = MS_CONTAINER(link, struct ms_server, link);
        if (job->spec.adjacency == MS_ADJACENT_RACK && server->rack_id == last_rack) {
            continue;
        }
        last_rack = server->rack_id;
        int64_t free_at = collect_group(sched, job, server);
        if (free_at < choice->free_at) {
            choice->free_at = free_at;
            choice->anchor = server;
        }
    }
    return choice->free_at != INT64_MAX;
}

/* Keeps servers for JOB when it has waited long and no other gang has them. */
void
ms_backfill_consider(struct ms_sched *sched, struct ms_job *job)
{
    if (job->spec.tasks < 2 || sched->backfill_job != NULL) {
        return;
    }
    if (sched->now - job->submitted_at < sched->limits.backfill_wait_ms) {
        ms_set_timer(sched, job->submitted_at + sched->limits.backfill_wait_ms);
        return;
    }
    struct group_choice choice;
    if (!best_group(sched, job, &choice)) {
        return;
    }
    collect_group(sched, job, choice.anchor);
    for (guint i = 0; i < sched->candidates->len; i++) {
        struct ms_server *server = g_ptr_array_index(sched->candidates, i);
        server->kept_for = job;
    }
    sched->backfill_job = job;
    sched->backfill_at = choice.free_at;
}
