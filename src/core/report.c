/*
 * report.c - figures, explanations and the invariant checker.
 */
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "sched.h"

/* Job whose tasks together ask for the most accelerators, or NULL. */
static struct ms_job *
largest_waiting(const struct ms_sched *sched)
{
    struct ms_job *largest = NULL;
    MS_LIST_EACH(link, &sched->jobs)
    {
        struct ms_job *job = MS_CONTAINER(link, struct ms_job, link);
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
    *stats = (struct ms_sched_stats){.dc_out = sched->out};
    uint32_t *rack_free = g_new0(uint32_t, MAX(sched->rack_totals->len, 1));
    MS_LIST_EACH(link, &sched->servers)
    {
        const struct ms_server *server = MS_CONTAINER(link, struct ms_server, link);
        stats->quarantined += server->state == MS_SERVER_QUARANTINED ? 1 : 0;
        MS_LIST_EACH(task_link, &server->tasks)
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
    MS_LIST_EACH(link, &sched->accounts)
    {
        stats->waiting += MS_CONTAINER(link, struct ms_account, link)->waiting;
    }
    MS_LIST_EACH(link, &sched->guarantees)
    {
        stats->guarantees_unmet += MS_CONTAINER(link, struct ms_guarantee, link)->met ? 0 : 1;
    }
    const struct ms_job *job = largest_waiting(sched);
    if (job != NULL) {
        /* Placement scratch space is not part of the observable state. */
        uint32_t fit = ms_place_capacity((struct ms_sched *)sched, job);
        uint32_t usable = fit * job->spec.accels;
        stats->largest_waiting = job->spec.tasks * job->spec.accels;
        stats->stranded = stats->accels_free - MIN(usable, stats->accels_free);
    }
}

static const char *
state_sentence(const struct ms_job *job)
{
    switch (job->state) {
    case MS_JOB_WAITING:
        return job->wait_reason[0] != '\0' ? job->wait_reason : "it has just arrived";
    case MS_JOB_RECLAIMING:
        return "other work is being stopped to make room";
    case MS_JOB_TOKEN:
        return "it waits for its run token";
    case MS_JOB_PREPARING:
        return "its tasks are being prepared";
    case MS_JOB_STARTING:
        return "its tasks are being started";
    case MS_JOB_RUNNING:
        return "all its tasks run";
    case MS_JOB_ABORTING:
        return job->detail;
    case MS_JOB_ADOPTING:
        return "its other tasks are being looked for";
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
                 state_sentence(job), job->attempt, server != NULL ? ", first task on " : "",
                 server != NULL ? server->name : "");
        return MS_OK;
    }
    const struct ms_recent *recent = g_hash_table_lookup(sched->recent_index, id);
    if (recent != NULL) {
        snprintf(text, size, "ended in %s: %s, %s (ran on %s)", sched->dc,
                 ms_outcome_name(recent->code), recent->detail, recent->server);
        return MS_OK;
    }
    return MS_E_NOTFOUND;
}

/* Writes a violation to TEXT and returns false. */
static bool G_GNUC_PRINTF(3, 4) violated(char *text, size_t size, const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(text, size, format, arguments);
    va_end(arguments);
    return false;
}

static bool
check_server(const struct ms_server *server, char *text, size_t size)
{
    int32_t slots = (int32_t)server->slots;
    int32_t accels = (int32_t)server->accels;
    uint32_t fixed_slots = 0;
    uint32_t fixed_accels = 0;
    bool room_coming = false;
    MS_LIST_EACH(link, &server->tasks)
    {
        const struct ms_task *task = MS_CONTAINER(link, struct ms_task, server_link);
        slots -= 1;
        accels -= (int32_t)task->job->spec.accels;
        room_coming |= task->job->state == MS_JOB_ABORTING;
        if (task->cell == NULL && !ms_job_stoppable(task->job)) {
            fixed_slots += 1;
            fixed_accels += task->job->spec.accels;
        }
    }
    if (slots != server->slots_free || accels != server->accels_free) {
        return violated(text, size, "server %s: free counts differ from its tasks", server->name);
    }
    if (fixed_slots != server->fixed_slots || fixed_accels != server->fixed_accels) {
        return violated(text, size, "server %s: fixed counts differ from its tasks", server->name);
    }
    if ((slots < 0 || accels < 0) && !room_coming && server->state == MS_SERVER_UP) {
        return violated(text, size, "server %s: overcommitted", server->name);
    }
    if (server->state == MS_SERVER_UP && (server->cell_slots + fixed_slots > server->slots ||
                                          server->cell_accels + fixed_accels > server->accels)) {
        return violated(text, size, "server %s: its cells cannot all be reclaimed", server->name);
    }
    return true;
}

static bool
check_guarantee(const struct ms_guarantee *guarantee, char *text, size_t size)
{
    for (uint32_t i = 0; i < guarantee->rule.tasks; i++) {
        const struct ms_cell *cell = &guarantee->cells[i];
        if (cell->task != NULL &&
            (cell->task->cell != cell || cell->task->server != cell->server ||
             strcmp(cell->task->job->account->name, guarantee->rule.account) != 0)) {
            return violated(text, size, "guarantee %s: cell %u is occupied wrongly",
                            guarantee->rule.name, i);
        }
        if (cell->server == NULL && guarantee->met) {
            return violated(text, size, "guarantee %s: met without cell %u", guarantee->rule.name,
                            i);
        }
    }
    return true;
}

static bool
check_job(const struct ms_job *job, char *text, size_t size)
{
    const struct ms_server *first = NULL;
    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        const struct ms_task *task = &job->tasks[i];
        bool charged = task->server != NULL;
        if (charged != !ms_list_empty(&task->server_link)) {
            return violated(text, size, "job %s: task %u is charged by halves", job->id, i);
        }
        if (job->state == MS_JOB_WAITING && charged) {
            return violated(text, size, "job %s: waits, but task %u holds resources", job->id, i);
        }
        if (job->state == MS_JOB_RUNNING && job->spec.tasks > 1 && task->state != MS_TASK_RUNNING &&
            task->state != MS_TASK_FINISHED) {
            return violated(text, size, "job %s: runs without task %u", job->id, i);
        }
        if (!charged) {
            continue;
        }
        first = first == NULL ? task->server : first;
        if (job->spec.adjacency == MS_ADJACENT_RACK && task->server->rack_id != first->rack_id) {
            return violated(text, size, "job %s: its tasks are in several racks", job->id);
        }
        if (job->spec.adjacency == MS_ADJACENT_SERVER && task->server != first) {
            return violated(text, size, "job %s: its tasks are on several servers", job->id);
        }
    }
    return true;
}

enum ms_result
ms_sched_check(const struct ms_sched *sched, char *text, size_t size)
{
    bool good = true;
    MS_LIST_EACH(link, &sched->servers)
    {
        good = good && check_server(MS_CONTAINER(link, struct ms_server, link), text, size);
    }
    MS_LIST_EACH(link, &sched->guarantees)
    {
        good = good && check_guarantee(MS_CONTAINER(link, struct ms_guarantee, link), text, size);
    }
    MS_LIST_EACH(link, &sched->jobs)
    {
        good = good && check_job(MS_CONTAINER(link, struct ms_job, link), text, size);
    }
    return good ? MS_OK : MS_E_CONFLICT;
}
