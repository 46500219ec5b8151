/*
 * backfill.c - servers kept for a gang that has waited long.
 *
 * A few gangs at a time, those blocked longest, get a set of servers each.
 * Nothing else starts there, except urgent work, work that can be checkpointed
 * (the gang stops it when it can start), and work that is expected to end in
 * half the time left, as declared run times are far off
 * (EASY backfill: Lifka, "The ANL/IBM SP Scheduling System", JSSPP 1995, with
 * run times corrected as in Tsafrir et al., "Backfilling Using System-Generated
 * Predictions Rather than User Runtime Estimates", IEEE TPDS 2007).
 */
#include "sched.h"

/* Run times may be longer than expected by this factor. */
#define OVERRUN_FACTOR 2

/* Gives all kept servers back; the gangs get new ones in the next pass. */
void
ms_backfill_clear(struct ms_sched *sched)
{
    MS_LIST_EACH(link, &sched->servers)
    {
        struct ms_server *server = MS_CONTAINER(link, struct ms_server, link);
        if (server->kept_for != NULL) {
            server->kept_for->keeps = false;
            server->kept_for = NULL;
        }
    }
    sched->keeper_count = 0;
    sched->dirty = true;
}

/* Gives the servers kept for JOB back. */
void
ms_backfill_release(struct ms_sched *sched, struct ms_job *job)
{
    if (!job->keeps) {
        return;
    }
    MS_LIST_EACH(link, &sched->servers)
    {
        struct ms_server *server = MS_CONTAINER(link, struct ms_server, link);
        if (server->kept_for == job) {
            server->kept_for = NULL;
        }
    }
    job->keeps = false;
    sched->keeper_count--;
    sched->dirty = true;
}

bool
ms_backfill_admits(const struct ms_sched *sched, const struct ms_server *server,
                   const struct ms_job *job)
{
    if (server->kept_for == NULL || server->kept_for == job) {
        return true;
    }
    if (job->keeps) {
        return false; /* it has servers of its own */
    }
    if (job->spec.job_class == MS_CLASS_URGENT) {
        return true;
    }
    if (job->spec.checkpointable && job->yielded < MS_YIELDS_MAX) {
        return job->spec.tasks == 1;
    }
    return sched->now + OVERRUN_FACTOR * ms_account_expected_ms(job) <=
           server->kept_for->keeps_until;
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
    if (!ms_server_usable(server, job) || (server->kept_for != NULL && server->kept_for != job)) {
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
in_group(const struct ms_server *server, const struct ms_server *anchor,
         enum ms_adjacency adjacency)
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
        if (!in_group(server, anchor, job->spec.adjacency) || fit_when_free(server, job) == 0) {
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

/* Keeps servers for JOB if it has waited long; true when that is new. */
bool
ms_backfill_consider(struct ms_sched *sched, struct ms_job *job)
{
    if (job->spec.tasks < 2 || job->keeps || sched->keeper_count >= MS_KEEPERS_MAX) {
        return false;
    }
    if (sched->now - job->submitted_at < sched->limits.backfill_wait_ms) {
        ms_set_timer(sched, job->submitted_at + sched->limits.backfill_wait_ms);
        return false;
    }
    struct group_choice choice;
    if (!best_group(sched, job, &choice)) {
        return false;
    }
    collect_group(sched, job, choice.anchor);
    for (guint i = 0; i < sched->candidates->len; i++) {
        struct ms_server *server = g_ptr_array_index(sched->candidates, i);
        server->kept_for = job;
    }
    job->keeps = true;
    job->keeps_until = choice.free_at;
    sched->keeper_count++;
    return true;
}
