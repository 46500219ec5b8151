/*
 * place.c - choice of servers for the tasks of a job.
 *
 * Best fit over groups of servers.  The job's adjacency sets the kind of group:
 * one server, one rack or the data centre.  Of the groups that hold the whole
 * job, the one with the fewest free accelerators is chosen; within it, servers
 * with the fewest free accelerators are filled first.  This keeps whole servers
 * and whole racks free for later gangs.
 *
 * A task is charged to a server when the server is chosen: its slot and its
 * accelerators are subtracted from the server's free amounts.  When other work
 * is preempted for it, the free amounts are negative until that work has ended.
 */
#include <stdio.h>
#include <string.h>

#include "sched.h"

/* Returns the index of rack NAME in rack_capacities; a new name gets the next index. */
uint32_t
ms_rack_id(struct ms_sched *sched, const char *name)
{
    uint32_t id_plus_one = GPOINTER_TO_UINT(g_hash_table_lookup(sched->rack_index, name));
    if (id_plus_one > 0) {
        return id_plus_one - 1;
    }
    uint32_t count = g_hash_table_size(sched->rack_index);
    g_hash_table_insert(sched->rack_index, g_strdup(name), GUINT_TO_POINTER(count + 1));
    g_array_set_size(sched->rack_capacities, count + 1);
    return count;
}

/* Sets all rack totals to 0.  The array is empty (data is NULL) until a server is known. */
void
ms_rack_capacities_clear(const struct ms_sched *sched)
{
    if (sched->rack_capacities->len > 0) {
        memset(sched->rack_capacities->data, 0,
               sched->rack_capacities->len * sizeof(struct ms_rack_capacity));
    }
}

/* Whether JOB is preemptible: it may be stopped, and run again or resumed later. */
bool
ms_job_preemptible(const struct ms_job *job)
{
    return job->spec.idempotent || job->spec.checkpointable;
}

/*
 * Whether SERVER may take tasks of JOB, whatever its free resources: it is up, or
 * JOB may be its probe after quarantine, and JOB has not failed on it.
 */
bool
ms_server_accepts_job(const struct ms_server *server, const struct ms_job *job)
{
    if (ms_health_job_avoids(job, server)) {
        return false;
    }
    if (server->state == MS_SERVER_PROBING) {
        return ms_health_may_probe(server, job);
    }
    return server->state == MS_SERVER_UP;
}

/* Number of tasks of TASK_ACCELS accelerators each that fit into SLOTS and ACCELS. */
static int32_t
tasks_that_fit(int32_t slots, int32_t accels, uint32_t task_accels)
{
    if (slots <= 0 || accels < 0) {
        return 0;
    }
    if (task_accels == 0) {
        return slots;
    }
    return MIN(slots, accels / (int32_t)task_accels);
}

/*
 * Whether TASK may be preempted within SCOPE.  Tasks in a guarantee's cell and
 * tasks that are being stopped already never are.
 */
static bool
in_preempt_scope(const struct ms_task *task, enum ms_preempt_scope scope)
{
    const struct ms_job *job = task->job;
    bool urgent = job->spec.job_class == MS_CLASS_URGENT;
    if (task->cell != NULL || job->state == MS_JOB_ABORTING || !ms_job_preemptible(job)) {
        return false;
    }
    switch (scope) {
    case MS_PREEMPT_NONE:
        return false;
    case MS_PREEMPT_ANY:
        return true;
    case MS_PREEMPT_NOT_URGENT:
        return !urgent && job->state != MS_JOB_RECLAIMING;
    case MS_PREEMPT_CHECKPOINTABLE:
        return !urgent && job->spec.checkpointable && job->state == MS_JOB_RUNNING &&
               job->backfill_preemptions < MS_BACKFILL_PREEMPTIONS_MAX;
    }
    return false;
}

/* Slots and accelerators that preempting every task in SCOPE on SERVER would free. */
static void
preemptible_resources(const struct ms_server *server, enum ms_preempt_scope scope, int32_t *slots,
                      int32_t *accels)
{
    *slots = 0;
    *accels = 0;
    MS_LIST_FOREACH(link, &server->tasks)
    {
        const struct ms_task *task = MS_CONTAINER_OF(link, struct ms_task, server_link);
        if (in_preempt_scope(task, scope)) {
            *slots += 1;
            *accels += (int32_t)task->job->spec.accels;
        }
    }
}

/*
 * Number of tasks of JOB that fit on SERVER if the tasks in SCOPE are preempted.  A
 * job that is not preemptible may not use resources of cells, as the owner of a
 * cell could not get them back.  Urgent jobs that preempt ignore reservations.
 */
static int32_t
server_fit(const struct ms_sched *sched, const struct ms_server *server, const struct ms_job *job,
           enum ms_preempt_scope scope)
{
    if (!ms_server_accepts_job(server, job)) {
        return 0;
    }
    if (scope != MS_PREEMPT_NOT_URGENT && !ms_backfill_allows_job(sched, server, job)) {
        return 0;
    }
    int32_t slots = server->slots_free;
    int32_t accels = server->accels_free;
    if (scope != MS_PREEMPT_NONE) {
        int32_t preemptible_slots = 0;
        int32_t preemptible_accels = 0;
        preemptible_resources(server, scope, &preemptible_slots, &preemptible_accels);
        slots += preemptible_slots;
        accels += preemptible_accels;
    }
    if (!ms_job_preemptible(job)) {
        slots = MIN(slots,
                    (int32_t)(server->slots - server->cell_slots - server->nonpreemptible_slots));
        accels = MIN(accels, (int32_t)(server->accels - server->cell_accels -
                                       server->nonpreemptible_accels));
    }
    return tasks_that_fit(slots, accels, job->spec.accels);
}

static struct ms_rack_capacity *
rack_total(const struct ms_sched *sched, uint32_t rack_id)
{
    return &g_array_index(sched->rack_capacities, struct ms_rack_capacity, rack_id);
}

/*
 * Sets server->sort_key and the rack totals to the number of tasks of JOB that fit
 * there.  Returns the sum over all servers.
 */
static uint32_t
compute_fit(struct ms_sched *sched, const struct ms_job *job, enum ms_preempt_scope scope)
{
    uint32_t total = 0;
    ms_rack_capacities_clear(sched);
    MS_LIST_FOREACH(link, &sched->servers)
    {
        struct ms_server *server = MS_CONTAINER_OF(link, struct ms_server, link);
        server->sort_key = server_fit(sched, server, job, scope);
        struct ms_rack_capacity *rack = rack_total(sched, server->rack_id);
        rack->fitting_tasks += (uint32_t)server->sort_key;
        rack->free_accels += (uint32_t)MAX(server->accels_free, 0);
        total += (uint32_t)server->sort_key;
    }
    return total;
}

/*
 * Whether A is a tighter fit than B.  The rack with fewer free accelerators is
 * compared first, then the server, so that small jobs gather in few racks.
 */
static bool
fits_tighter(const struct ms_sched *sched, const struct ms_server *a, const struct ms_server *b)
{
    uint32_t rack_a = rack_total(sched, a->rack_id)->free_accels;
    uint32_t rack_b = rack_total(sched, b->rack_id)->free_accels;
    if (rack_a != rack_b) {
        return rack_a < rack_b;
    }
    return a->accels_free < b->accels_free;
}

/* Makes the tightest server that holds all of JOB the candidate; false if none does. */
static bool
collect_best_server(struct ms_sched *sched, const struct ms_job *job)
{
    struct ms_server *best = NULL;
    MS_LIST_FOREACH(link, &sched->servers)
    {
        struct ms_server *server = MS_CONTAINER_OF(link, struct ms_server, link);
        if (server->sort_key < (int32_t)job->spec.tasks) {
            continue;
        }
        if (best == NULL || fits_tighter(sched, server, best)) {
            best = server;
        }
    }
    if (best == NULL) {
        return false;
    }
    g_ptr_array_add(sched->candidate_servers, best);
    return true;
}

/* Adds the usable servers of the tightest rack that holds JOB; false if no rack does. */
static bool
collect_best_rack(struct ms_sched *sched, const struct ms_job *job)
{
    int best = -1;
    for (guint i = 0; i < sched->rack_capacities->len; i++) {
        const struct ms_rack_capacity *rack = rack_total(sched, i);
        if (rack->fitting_tasks < job->spec.tasks) {
            continue;
        }
        if (best < 0 || rack->free_accels < rack_total(sched, (uint32_t)best)->free_accels) {
            best = (int)i;
        }
    }
    if (best < 0) {
        return false;
    }
    MS_LIST_FOREACH(link, &sched->servers)
    {
        struct ms_server *server = MS_CONTAINER_OF(link, struct ms_server, link);
        if (server->rack_id == (uint32_t)best && server->sort_key > 0) {
            g_ptr_array_add(sched->candidate_servers, server);
        }
    }
    return true;
}

/* Adds every server on which at least one task fits. */
static void
collect_all_servers(struct ms_sched *sched)
{
    MS_LIST_FOREACH(link, &sched->servers)
    {
        struct ms_server *server = MS_CONTAINER_OF(link, struct ms_server, link);
        if (server->sort_key > 0) {
            g_ptr_array_add(sched->candidate_servers, server);
        }
    }
}

/* Orders servers by free accelerators, fewest first, then by name. */
static int
compare_free_accels(const void *a, const void *b)
{
    const struct ms_server *left = *(struct ms_server *const *)a;
    const struct ms_server *right = *(struct ms_server *const *)b;
    if (left->accels_free != right->accels_free) {
        return left->accels_free < right->accels_free ? -1 : 1;
    }
    return strcmp(left->name, right->name);
}

/* Charges the tasks of JOB to the candidates, fewest free accelerators first. */
static void
charge_to_candidates(struct ms_sched *sched, struct ms_job *job)
{
    qsort(sched->candidate_servers->pdata, sched->candidate_servers->len, sizeof(gpointer),
          compare_free_accels);
    uint32_t member = 0;
    for (guint i = 0; i < sched->candidate_servers->len && member < job->spec.tasks; i++) {
        struct ms_server *server = g_ptr_array_index(sched->candidate_servers, i);
        for (int32_t n = server->sort_key; n > 0 && member < job->spec.tasks; n--) {
            ms_task_charge(sched, &job->tasks[member], server, NULL);
            member++;
        }
    }
}

/*
 * Finds the best group for JOB and charges its tasks there, as if the tasks in
 * SCOPE had been preempted; false if there is none.  For MS_ADJACENT_DC, a rack
 * that holds the whole job is still preferred to servers of several racks.
 */
static bool
place_job(struct ms_sched *sched, struct ms_job *job, enum ms_preempt_scope scope)
{
    g_ptr_array_set_size(sched->candidate_servers, 0);
    if (compute_fit(sched, job, scope) < job->spec.tasks) {
        return false;
    }
    bool found = false;
    if (job->spec.tasks == 1 || job->spec.adjacency == MS_ADJACENT_SERVER) {
        found = collect_best_server(sched, job);
    }
    else if (job->spec.adjacency == MS_ADJACENT_RACK) {
        found = collect_best_rack(sched, job);
    }
    else {
        found = collect_best_rack(sched, job);
        if (!found) {
            collect_all_servers(sched);
            found = true;
        }
    }
    if (found) {
        charge_to_candidates(sched, job);
    }
    return found;
}

/* Charges the tasks of JOB to servers with free resources; false if it does not fit. */
bool
ms_place_job(struct ms_sched *sched, struct ms_job *job)
{
    return place_job(sched, job, MS_PREEMPT_NONE);
}

/* Places JOB, preempting as many tasks in SCOPE as needed; false if it does not fit. */
bool
ms_place_preempting(struct ms_sched *sched, struct ms_job *job, enum ms_preempt_scope scope)
{
    if (!place_job(sched, job, scope)) {
        return false;
    }
    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        ms_preempt_on_server(sched, job->tasks[i].server, job, scope);
    }
    return true;
}

/*
 * Whether A is preempted before B: the less urgent class first, then jobs that can
 * be checkpointed, then the ones started last, then the ones that arrived last.
 */
static bool
preempted_before(const struct ms_job *a, const struct ms_job *b)
{
    if (a->spec.job_class != b->spec.job_class) {
        return a->spec.job_class > b->spec.job_class;
    }
    if (a->spec.checkpointable != b->spec.checkpointable) {
        return a->spec.checkpointable;
    }
    if (a->started_at != b->started_at) {
        return a->started_at > b->started_at;
    }
    return a->sequence > b->sequence;
}

/* The task on SERVER that preempted_before() puts first, or NULL; never one of CLAIMANT's. */
static struct ms_task *
pick_preemptible_task(const struct ms_server *server, const struct ms_job *claimant,
                      enum ms_preempt_scope scope)
{
    struct ms_task *best = NULL;
    MS_LIST_FOREACH(link, &server->tasks)
    {
        struct ms_task *task = MS_CONTAINER_OF(link, struct ms_task, server_link);
        const struct ms_job *job = task->job;
        if (job == claimant || !in_preempt_scope(task, scope)) {
            continue;
        }
        if (best == NULL || preempted_before(job, best->job)) {
            best = task;
        }
    }
    return best;
}

/* Slots and accelerators of SERVER that are free once the jobs being aborted have ended. */
static void
resources_after_aborts(const struct ms_server *server, int32_t *slots, int32_t *accels)
{
    *slots = server->slots_free;
    *accels = server->accels_free;
    MS_LIST_FOREACH(link, &server->tasks)
    {
        const struct ms_task *task = MS_CONTAINER_OF(link, struct ms_task, server_link);
        if (task->job->state == MS_JOB_ABORTING) {
            *slots += 1;
            *accels += (int32_t)task->job->spec.accels;
        }
    }
}

/*
 * Preempts tasks in SCOPE on SERVER for CLAIMANT, whose tasks are charged there
 * already, until all charged tasks fit once the preempted ones have ended.
 */
void
ms_preempt_on_server(struct ms_sched *sched, struct ms_server *server,
                     const struct ms_job *claimant, enum ms_preempt_scope scope)
{
    for (;;) {
        int32_t slots = 0;
        int32_t accels = 0;
        resources_after_aborts(server, &slots, &accels);
        if (slots >= 0 && accels >= 0) {
            return;
        }
        struct ms_task *task = pick_preemptible_task(server, claimant, scope);
        if (task == NULL) {
            return;
        }
        char detail[MS_DETAIL_MAX];
        task->job->backfill_preemptions += scope == MS_PREEMPT_CHECKPOINTABLE ? 1 : 0;
        snprintf(detail, sizeof(detail), "stopped to make room for %.120s", claimant->id);
        ms_gang_abort(sched, task->job, MS_ABORT_RETRY, MS_OUTCOME_DONE, detail);
    }
}

/*
 * Adds TASK to (SIGN 1) or removes it from (SIGN -1) the server's totals of tasks
 * that are not preemptible and occupy no cell.
 */
static void
count_nonpreemptible(struct ms_server *server, const struct ms_task *task, int sign)
{
    if (task->cell != NULL || ms_job_preemptible(task->job)) {
        return;
    }
    server->nonpreemptible_slots += (uint32_t)sign;
    server->nonpreemptible_accels += (uint32_t)(sign * (int)task->job->spec.accels);
}

/*
 * Charges TASK to SERVER and to its account, in state CHARGED.  CELL is the cell
 * on SERVER that the task occupies, or NULL.
 */
void
ms_task_charge(struct ms_sched *sched, struct ms_task *task, struct ms_server *server,
               struct ms_cell *cell)
{
    (void)sched;
    uint32_t accels = task->job->spec.accels;
    task->server = server;
    task->state = MS_TASK_CHARGED;
    task->start_sent = false;
    task->lease_withheld = false;
    task->reported = false;
    task->stop_resend_at = INT64_MAX;
    task->cell = NULL;
    ms_list_append(&server->tasks, &task->server_link);
    server->slots_free -= 1;
    server->accels_free -= (int32_t)accels;
    task->job->account->charged_accels += accels;
    task->job->account->charged_tasks += 1;
    if (cell != NULL) {
        cell->task = task;
        task->cell = cell;
    }
    count_nonpreemptible(server, task, 1);
}

/*
 * Frees the resources of TASK and continues the start of RECLAIMING jobs that waited
 * for them.  Does nothing when the task is not charged.  The caller sets the new
 * task state.
 */
void
ms_task_discharge(struct ms_sched *sched, struct ms_task *task)
{
    struct ms_server *server = task->server;
    if (server == NULL) {
        return;
    }
    uint32_t accels = task->job->spec.accels;
    count_nonpreemptible(server, task, -1);
    if (task->cell != NULL) {
        task->cell->task = NULL;
        task->cell = NULL;
    }
    ms_list_remove(&task->server_link);
    server->slots_free += 1;
    server->accels_free += (int32_t)accels;
    task->job->account->charged_accels -= accels;
    task->job->account->charged_tasks -= 1;
    task->server = NULL;
    sched->queue_dirty = true;
    sched->cells_dirty = true;
    ms_gang_check_reclaiming(sched, server);
}

/* Detaches the task in CELL, which is being unbound; the task stays charged to its server. */
void
ms_cell_detach_task(struct ms_cell *cell)
{
    struct ms_task *task = cell->task;
    if (task == NULL) {
        return;
    }
    cell->task = NULL;
    task->cell = NULL;
    if (task->server != NULL) {
        count_nonpreemptible(task->server, task, 1);
    }
}

/* Attaches TASK, which occupies no cell, to CELL, which is bound to the task's server. */
void
ms_cell_attach_task(struct ms_cell *cell, struct ms_task *task)
{
    count_nonpreemptible(task->server, task, -1);
    cell->task = task;
    task->cell = cell;
}

/*
 * Whether JOB would fit if all servers of this data centre were empty.  With
 * AVOIDING, lost servers and those on which JOB has failed are left out.  Also true
 * while no server is known, and when JOB fits into a guarantee of its account.
 */
bool
ms_job_fits_empty_dc(const struct ms_sched *sched, const struct ms_job *job, bool avoiding)
{
    uint32_t total = 0;
    uint32_t best_on_server = 0;
    uint32_t best_in_rack = 0;
    ms_rack_capacities_clear(sched);
    MS_LIST_FOREACH(link, &sched->servers)
    {
        const struct ms_server *server = MS_CONTAINER_OF(link, struct ms_server, link);
        if (avoiding && (server->state == MS_SERVER_LOST || ms_health_job_avoids(job, server))) {
            continue;
        }
        int32_t slots = (int32_t)server->slots;
        int32_t accels = (int32_t)server->accels;
        if (!ms_job_preemptible(job)) {
            slots -= (int32_t)server->cell_slots;
            accels -= (int32_t)server->cell_accels;
        }
        uint32_t fit = (uint32_t)tasks_that_fit(slots, accels, job->spec.accels);
        struct ms_rack_capacity *rack = rack_total(sched, server->rack_id);
        rack->fitting_tasks += fit;
        total += fit;
        best_on_server = MAX(best_on_server, fit);
        best_in_rack = MAX(best_in_rack, rack->fitting_tasks);
    }
    if (ms_list_is_empty(&sched->servers) || ms_guarantee_fits_job(sched, job)) {
        return true;
    }
    switch (job->spec.adjacency) {
    case MS_ADJACENT_SERVER:
        return best_on_server >= job->spec.tasks;
    case MS_ADJACENT_RACK:
        return best_in_rack >= job->spec.tasks;
    case MS_ADJACENT_DC:
        break;
    }
    return total >= job->spec.tasks;
}

/* Largest number of tasks of JOB's shape and adjacency that could start together now. */
uint32_t
ms_place_count_fitting(struct ms_sched *sched, const struct ms_job *job)
{
    uint32_t total = compute_fit(sched, job, MS_PREEMPT_NONE);
    if (job->spec.adjacency == MS_ADJACENT_DC) {
        return total;
    }
    uint32_t best = 0;
    MS_LIST_FOREACH(link, &sched->servers)
    {
        const struct ms_server *server = MS_CONTAINER_OF(link, struct ms_server, link);
        uint32_t fit = job->spec.adjacency == MS_ADJACENT_SERVER
                           ? (uint32_t)server->sort_key
                           : rack_total(sched, server->rack_id)->fitting_tasks;
        best = MAX(best, fit);
    }
    return best;
}
