/*
 * inspect.c - statistics, explanations of single jobs and the invariant checker.
 */
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "sched.h"

/* Returns the waiting job that needs the most accelerators in all, or NULL. */
static struct ms_job *
largest_waiting(const struct ms_sched *sched)
{
    struct ms_job *largest = NULL;
    MS_LIST_FOREACH(link, &sched->jobs)
    {
        struct ms_job *job = MS_CONTAINER_OF(link, struct ms_job, link);
        if (job->state != MS_JOB_WAITING) {
            continue;
        }
        if (largest == NULL ||
            job->spec.tasks * job->spec.accels > largest->spec.tasks * largest->spec.accels) {
            largest = job;
        }
    }
    return largest;
}

void
ms_sched_stats(const struct ms_sched *sched, struct ms_sched_stats *stats)
{
    *stats = (struct ms_sched_stats){.dc_out = sched->dc_out};
    uint32_t *rack_free = g_new0(uint32_t, MAX(sched->rack_capacities->len, 1));
    MS_LIST_FOREACH(link, &sched->servers)
    {
        const struct ms_server *server = MS_CONTAINER_OF(link, struct ms_server, link);
        stats->quarantined += server->state == MS_SERVER_QUARANTINED ? 1 : 0;
        MS_LIST_FOREACH(task_link, &server->tasks)
        {
            stats->running++;
        }
        if (server->state != MS_SERVER_UP) {
            continue;
        }
        stats->servers++;
        stats->accels += server->accels;
        stats->accels_free += (uint32_t)MAX(server->accels_free, 0);
        stats->slots_free += (uint32_t)MAX(server->slots_free, 0);
        rack_free[server->rack_id] += (uint32_t)MAX(server->accels_free, 0);
        stats->rack_free_max = MAX(stats->rack_free_max, rack_free[server->rack_id]);
    }
    g_free(rack_free);
    MS_LIST_FOREACH(link, &sched->accounts)
    {
        stats->waiting += MS_CONTAINER_OF(link, struct ms_account, link)->waiting_count;
    }
    MS_LIST_FOREACH(link, &sched->guarantees)
    {
        stats->guarantees_unmet +=
            MS_CONTAINER_OF(link, struct ms_guarantee, link)->satisfied ? 0 : 1;
    }
    const struct ms_job *job = largest_waiting(sched);
    if (job != NULL) {
        /* The cast is safe: this changes only the scratch space of placement. */
        uint32_t fit = ms_place_count_fitting((struct ms_sched *)sched, job);
        uint32_t usable = fit * job->spec.accels;
        stats->largest_waiting = job->spec.tasks * job->spec.accels;
        stats->stranded = stats->accels_free - MIN(usable, stats->accels_free);
    }
}

/* Describes the state of JOB for people. */
static const char *
describe_state(const struct ms_job *job)
{
    switch (job->state) {
    case MS_JOB_WAITING:
        return job->wait_reason[0] != '\0' ? job->wait_reason : "it has just been queued";
    case MS_JOB_RECLAIMING:
        return "other work is being stopped to make room";
    case MS_JOB_AWAITING_TOKEN:
        return "it waits for its run token";
    case MS_JOB_PREPARING:
        return "its tasks are being prepared";
    case MS_JOB_STARTING:
        return "its tasks are being started";
    case MS_JOB_RUNNING:
        return "all its tasks run";
    case MS_JOB_ABORTING:
        return job->outcome_detail;
    case MS_JOB_ADOPTING:
        return "it waits for servers to report its other tasks";
    }
    return "";
}

static const char *
state_name(enum ms_job_state state)
{
    static const char *const names[] = {"waiting",  "reclaiming", "token",    "preparing",
                                        "starting", "running",    "stopping", "adopting"};
    return names[state];
}

enum ms_result
ms_sched_explain(const struct ms_sched *sched, const char *id, char *text, size_t size)
{
    const struct ms_job *job = ms_job_find(sched, id);
    if (job != NULL) {
        const struct ms_server *server = job->tasks[0].server;
        snprintf(text, size, "%s in %s: %s (attempt %u%s%s)", state_name(job->state), sched->dc,
                 describe_state(job), job->attempt, server != NULL ? ", first task on " : "",
                 server != NULL ? server->name : "");
        return MS_OK;
    }
    const struct ms_kept_outcome *outcome = g_hash_table_lookup(sched->kept_outcome_index, id);
    if (outcome != NULL) {
        snprintf(text, size, "ended in %s: %s, %s (ran on %s)", sched->dc,
                 ms_outcome_name(outcome->code), outcome->detail, outcome->server);
        return MS_OK;
    }
    return MS_E_NOTFOUND;
}

/* Writes the description of a violated invariant to TEXT; always returns false. */
static bool G_GNUC_PRINTF(3, 4) report_violation(char *text, size_t size, const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(text, size, format, arguments);
    va_end(arguments);
    return false;
}

/* Checks the counters and the capacity of SERVER against its tasks. */
static bool
check_server(const struct ms_server *server, char *text, size_t size)
{
    int32_t slots = (int32_t)server->slots;
    int32_t accels = (int32_t)server->accels;
    uint32_t nonpreemptible_slots = 0;
    uint32_t nonpreemptible_accels = 0;
    bool has_aborting_task = false;
    MS_LIST_FOREACH(link, &server->tasks)
    {
        const struct ms_task *task = MS_CONTAINER_OF(link, struct ms_task, server_link);
        slots -= 1;
        accels -= (int32_t)task->job->spec.accels;
        has_aborting_task |= task->job->state == MS_JOB_ABORTING;
        if (task->cell == NULL && !ms_job_preemptible(task->job)) {
            nonpreemptible_slots += 1;
            nonpreemptible_accels += task->job->spec.accels;
        }
    }
    if (slots != server->slots_free || accels != server->accels_free) {
        return report_violation(text, size, "server %s: free counts differ from its tasks",
                                server->name);
    }
    if (nonpreemptible_slots != server->nonpreemptible_slots ||
        nonpreemptible_accels != server->nonpreemptible_accels) {
        return report_violation(
            text, size, "server %s: non-preemptible counts differ from its tasks", server->name);
    }
    if ((slots < 0 || accels < 0) && !has_aborting_task && server->state == MS_SERVER_UP) {
        return report_violation(text, size, "server %s: overcommitted", server->name);
    }
    if (server->state == MS_SERVER_UP &&
        (server->cell_slots + nonpreemptible_slots > server->slots ||
         server->cell_accels + nonpreemptible_accels > server->accels)) {
        return report_violation(text, size, "server %s: its cells cannot all be reclaimed",
                                server->name);
    }
    return true;
}

/* Checks that the cells of GUARANTEE agree with their tasks and with `satisfied`. */
static bool
check_guarantee(const struct ms_guarantee *guarantee, char *text, size_t size)
{
    for (uint32_t i = 0; i < guarantee->rule.tasks; i++) {
        const struct ms_cell *cell = &guarantee->cells[i];
        if (cell->task != NULL &&
            (cell->task->cell != cell || cell->task->server != cell->server ||
             strcmp(cell->task->job->account->name, guarantee->rule.account) != 0)) {
            return report_violation(text, size, "guarantee %s: cell %u and its task disagree",
                                    guarantee->rule.name, i);
        }
        if (cell->server == NULL && guarantee->satisfied) {
            return report_violation(text, size, "guarantee %s: met, but cell %u is unbound",
                                    guarantee->rule.name, i);
        }
    }
    return true;
}

/* Checks that the tasks of JOB agree with its state, and are adjacent as asked for. */
static bool
check_job(const struct ms_job *job, char *text, size_t size)
{
    const struct ms_server *first_server = NULL;
    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        const struct ms_task *task = &job->tasks[i];
        bool charged = task->server != NULL;
        if (charged != !ms_list_is_empty(&task->server_link)) {
            return report_violation(
                text, size, "job %s: task %u and the list of its server disagree", job->id, i);
        }
        if (job->state == MS_JOB_WAITING && charged) {
            return report_violation(text, size, "job %s: waiting, but task %u holds resources",
                                    job->id, i);
        }
        if (job->state == MS_JOB_RUNNING && job->spec.tasks > 1 && task->state != MS_TASK_RUNNING &&
            task->state != MS_TASK_FINISHED) {
            return report_violation(text, size, "job %s: running, but task %u is not", job->id, i);
        }
        if (!charged) {
            continue;
        }
        first_server = first_server == NULL ? task->server : first_server;
        if (job->spec.adjacency == MS_ADJACENT_RACK &&
            task->server->rack_id != first_server->rack_id) {
            return report_violation(text, size, "job %s: its tasks are in several racks", job->id);
        }
        if (job->spec.adjacency == MS_ADJACENT_SERVER && task->server != first_server) {
            return report_violation(text, size, "job %s: its tasks are on several servers",
                                    job->id);
        }
    }
    return true;
}

enum ms_result
ms_sched_check(const struct ms_sched *sched, char *text, size_t size)
{
    bool consistent = true;
    MS_LIST_FOREACH(link, &sched->servers)
    {
        consistent =
            consistent && check_server(MS_CONTAINER_OF(link, struct ms_server, link), text, size);
    }
    MS_LIST_FOREACH(link, &sched->guarantees)
    {
        consistent = consistent &&
                     check_guarantee(MS_CONTAINER_OF(link, struct ms_guarantee, link), text, size);
    }
    MS_LIST_FOREACH(link, &sched->jobs)
    {
        consistent =
            consistent && check_job(MS_CONTAINER_OF(link, struct ms_job, link), text, size);
    }
    return consistent ? MS_OK : MS_E_CONFLICT;
}
