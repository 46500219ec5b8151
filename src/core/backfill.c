/*
 * backfill.c - servers reserved for gangs that have waited long.
 *
 * Up to MS_RESERVATIONS_MAX gangs that have waited for backfill_wait_ms get a set of
 * servers reserved each.  Another job that has no reservation may start there if it
 * is urgent; if it is a single task that can be checkpointed and was preempted less
 * than MS_BACKFILL_PREEMPTIONS_MAX times (the gang preempts it when it can start);
 * or, when it cannot be checkpointed or was preempted that often, if it is expected
 * to end in half the time that is left before the gang can start, as declared run
 * times are inaccurate (EASY backfill: Lifka, "The ANL/IBM SP Scheduling System",
 * JSSPP 1995, with run times corrected as in Tsafrir et al., "Backfilling Using
 * System-Generated Predictions Rather than User Runtime Estimates", IEEE TPDS 2007).
 */
#include "sched.h"

/* Margin on the expected run time of a backfilled job, as it may run longer. */
#define RUN_TIME_MARGIN 2

/*
 * Cancels all reservations.  Gangs that still wait get new ones in the next pass
 * over the queue.
 */
static void
release_all(struct ms_sched *sched)
{
    MS_LIST_FOREACH(link, &sched->servers)
    {
        struct ms_server *server = MS_CONTAINER_OF(link, struct ms_server, link);
        if (server->reserved_for != NULL) {
            server->reserved_for->has_reservation = false;
            server->reserved_for = NULL;
        }
    }
    sched->reservation_count = 0;
    sched->queue_dirty = true;
}

/*
 * Called when SERVER takes no new tasks any more.  Cancels all reservations if it is
 * reserved, as the gang cannot start on the servers that it has reserved.
 */
void
ms_backfill_server_unusable(struct ms_sched *sched, const struct ms_server *server)
{
    if (server->reserved_for != NULL) {
        release_all(sched);
    }
}

/* Cancels the reservation of JOB, if it has one. */
void
ms_backfill_release_job(struct ms_sched *sched, struct ms_job *job)
{
    if (!job->has_reservation) {
        return;
    }
    MS_LIST_FOREACH(link, &sched->servers)
    {
        struct ms_server *server = MS_CONTAINER_OF(link, struct ms_server, link);
        if (server->reserved_for == job) {
            server->reserved_for = NULL;
        }
    }
    job->has_reservation = false;
    sched->reservation_count--;
    sched->queue_dirty = true;
}

/* Whether a reservation on SERVER lets JOB start there; free resources are not checked. */
bool
ms_backfill_allows_job(const struct ms_sched *sched, const struct ms_server *server,
                       const struct ms_job *job)
{
    if (server->reserved_for == NULL || server->reserved_for == job) {
        return true;
    }
    if (job->has_reservation) {
        return false; /* JOB has a reservation of its own, on other servers */
    }
    if (job->spec.job_class == MS_CLASS_URGENT) {
        return true;
    }
    if (job->spec.checkpointable && job->backfill_preemptions < MS_BACKFILL_PREEMPTIONS_MAX) {
        return job->spec.tasks == 1;
    }
    return sched->now + RUN_TIME_MARGIN * ms_job_expected_run_ms(job) <=
           server->reserved_for->reserved_start_at;
}

/* Time at which the last task now charged to SERVER is expected to end. */
static int64_t
expected_free_at(const struct ms_sched *sched, const struct ms_server *server)
{
    int64_t latest = sched->now;
    MS_LIST_FOREACH(link, &server->tasks)
    {
        const struct ms_job *job = MS_CONTAINER_OF(link, struct ms_task, server_link)->job;
        int64_t started = job->started_at > 0 ? job->started_at : sched->now;
        latest = MAX(latest, started + ms_job_expected_run_ms(job));
    }
    return latest;
}

/*
 * Number of tasks of JOB that fit on SERVER when it is empty; 0 when it does not
 * accept JOB or is reserved for another gang.  Cells are left out for a job that is
 * not preemptible.
 */
static uint32_t
fit_when_empty(const struct ms_server *server, const struct ms_job *job)
{
    if (!ms_server_accepts_job(server, job) ||
        (server->reserved_for != NULL && server->reserved_for != job)) {
        return 0;
    }
    uint32_t slots = server->slots;
    uint32_t accels = server->accels;
    if (!ms_job_preemptible(job)) {
        slots -= server->cell_slots;
        accels -= server->cell_accels;
    }
    return job->spec.accels == 0 ? slots : MIN(slots, accels / job->spec.accels);
}

/* The group of servers (server, rack or data centre) on which a gang can start first. */
struct group_choice {
    const struct ms_server *anchor; /* any server of the group; NULL: the data centre */
    int64_t free_at;                /* when enough of its servers are expected to be free */
};

/* Whether SERVER is in the same group as ANCHOR; a NULL anchor stands for the data centre. */
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

/* Orders servers by the wait in ms that collect_earliest_servers() left in sort_key. */
static int
compare_wait(const void *a, const void *b)
{
    const struct ms_server *left = *(struct ms_server *const *)a;
    const struct ms_server *right = *(struct ms_server *const *)b;
    return (left->sort_key > right->sort_key) - (left->sort_key < right->sort_key);
}

/*
 * Fills sched->candidate_servers with servers of ANCHOR's group, in the order in which
 * they are expected to be free, until they hold all of JOB.  Returns the time at
 * which the last of them is free, or INT64_MAX if the group cannot hold JOB.
 */
static int64_t
collect_earliest_servers(struct ms_sched *sched, const struct ms_job *job,
                         const struct ms_server *anchor)
{
    g_ptr_array_set_size(sched->candidate_servers, 0);
    MS_LIST_FOREACH(link, &sched->servers)
    {
        struct ms_server *server = MS_CONTAINER_OF(link, struct ms_server, link);
        if (!in_group(server, anchor, job->spec.adjacency) || fit_when_empty(server, job) == 0) {
            continue;
        }
        int64_t wait_ms = expected_free_at(sched, server) - sched->now;
        server->sort_key = (int32_t)MIN(wait_ms, INT32_MAX);
        g_ptr_array_add(sched->candidate_servers, server);
    }
    qsort(sched->candidate_servers->pdata, sched->candidate_servers->len, sizeof(gpointer),
          compare_wait);
    uint32_t fit = 0;
    for (guint i = 0; i < sched->candidate_servers->len; i++) {
        const struct ms_server *server = g_ptr_array_index(sched->candidate_servers, i);
        fit += fit_when_empty(server, job);
        if (fit >= job->spec.tasks) {
            g_ptr_array_set_size(sched->candidate_servers, (gint)i + 1);
            return sched->now + server->sort_key;
        }
    }
    return INT64_MAX;
}

/* Finds the group on which JOB can start first; false if no group can hold it. */
static bool
find_earliest_group(struct ms_sched *sched, const struct ms_job *job, struct group_choice *choice)
{
    choice->free_at = INT64_MAX;
    choice->anchor = NULL;
    if (job->spec.adjacency == MS_ADJACENT_DC) {
        choice->free_at = collect_earliest_servers(sched, job, NULL);
        return choice->free_at != INT64_MAX;
    }
    uint32_t last_rack = UINT32_MAX;
    MS_LIST_FOREACH(link, &sched->servers)
    {
        const struct ms_server *server = MS_CONTAINER_OF(link, struct ms_server, link);
        if (job->spec.adjacency == MS_ADJACENT_RACK && server->rack_id == last_rack) {
            continue; /* the previous server stood for the same group */
        }
        last_rack = server->rack_id;
        int64_t free_at = collect_earliest_servers(sched, job, server);
        if (free_at < choice->free_at) {
            choice->free_at = free_at;
            choice->anchor = server;
        }
    }
    return choice->free_at != INT64_MAX;
}

/*
 * Reserves servers for JOB if it is a gang that has waited for backfill_wait_ms.
 * Returns whether it made a new reservation.
 */
bool
ms_backfill_try_reserve(struct ms_sched *sched, struct ms_job *job)
{
    if (job->spec.tasks < 2 || job->has_reservation ||
        sched->reservation_count >= MS_RESERVATIONS_MAX) {
        return false;
    }
    if (sched->now - job->submitted_at < sched->limits.backfill_wait_ms) {
        ms_set_timer(sched, job->submitted_at + sched->limits.backfill_wait_ms);
        return false;
    }
    struct group_choice choice;
    if (!find_earliest_group(sched, job, &choice)) {
        return false;
    }
    collect_earliest_servers(sched, job, choice.anchor);
    for (guint i = 0; i < sched->candidate_servers->len; i++) {
        struct ms_server *server = g_ptr_array_index(sched->candidate_servers, i);
        server->reserved_for = job;
    }
    job->has_reservation = true;
    job->reserved_start_at = choice.free_at;
    sched->reservation_count++;
    return true;
}
