/*
 * sched.c - creation and step function of the scheduler.
 *
 * A step applies one event to a server, a job or a rule.  Then it runs the
 * timers that are due, binds unbound guarantee cells, and starts the waiting
 * jobs that can start in one scheduling pass.  Cells follow the virtual private
 * clusters of Zhao et al., "HiveD: Sharing a GPU Cluster for Deep Learning with
 * Guarantees", OSDI 2020, reduced to cells of one task each.  Leases with fencing
 * follow Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for
 * Distributed File Cache Consistency", SOSP 1989.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sched.h"

#define INITIAL_ACTION_CAPACITY 64

static void *
default_alloc(void *opaque, size_t size)
{
    (void)opaque;
    return malloc(size);
}

static void
default_release(void *opaque, void *memory)
{
    (void)opaque;
    free(memory);
}

/* Allocates with the caller's allocator; NULL when memory runs out.  Not zeroed. */
void *
ms_sched_alloc(struct ms_sched *sched, size_t size)
{
    return sched->allocator.alloc(sched->allocator.opaque, size);
}

/* Frees MEMORY from ms_sched_alloc(); NULL is allowed. */
void
ms_sched_release(struct ms_sched *sched, void *memory)
{
    if (memory != NULL) {
        sched->allocator.release(sched->allocator.opaque, memory);
    }
}

void
ms_sched_defaults(struct ms_sched_limits *limits)
{
    *limits = (struct ms_sched_limits){
        .lease_ms = 3000,
        .gang_start_ms = 2000,
        .checkpoint_ms = 1500,
        .retry_base_ms = 100,
        .retry_max_ms = 10000,
        .attempts_max = 6,
        .job_fail_servers = 3,
        .server_fail_jobs = 3,
        .quarantine_ms = 10000,
        .backfill_wait_ms = 2000,
        .queue_max = 2000,
        .recent_max = 4096,
    };
}

static bool
limits_valid(const struct ms_sched_limits *limits)
{
    return limits->lease_ms > 0 && limits->gang_start_ms > 0 && limits->checkpoint_ms >= 0 &&
           limits->retry_base_ms > 0 && limits->retry_max_ms >= limits->retry_base_ms &&
           limits->attempts_max > 0 && limits->job_fail_servers > 0 &&
           limits->job_fail_servers <= MS_FAILURE_HISTORY_MAX && limits->server_fail_jobs > 0 &&
           limits->server_fail_jobs <= MS_FAILURE_HISTORY_MAX && limits->quarantine_ms > 0 &&
           limits->backfill_wait_ms >= 0 && limits->queue_max > 0;
}

struct ms_sched *
ms_sched_new(const char *dc, const struct ms_sched_limits *limits,
             const struct ms_allocator *allocator)
{
    struct ms_allocator effective = {.alloc = default_alloc, .release = default_release};
    if (allocator != NULL) {
        effective = *allocator;
    }
    struct ms_sched *sched = effective.alloc(effective.opaque, sizeof(*sched));
    if (sched == NULL) {
        return NULL;
    }
    memset(sched, 0, sizeof(*sched));
    sched->allocator = effective;
    ms_sched_defaults(&sched->limits);
    if (limits != NULL) {
        sched->limits = *limits;
    }
    if (!limits_valid(&sched->limits)) {
        ms_sched_release(sched, sched);
        return NULL;
    }
    g_strlcpy(sched->dc, dc, sizeof(sched->dc));
    sched->next_timer = INT64_MAX;
    ms_list_link_init(&sched->servers);
    ms_list_link_init(&sched->jobs);
    ms_list_link_init(&sched->accounts);
    ms_list_link_init(&sched->guarantees);
    ms_list_link_init(&sched->kept_outcomes);
    sched->server_index = g_hash_table_new(g_str_hash, g_str_equal);
    sched->job_index = g_hash_table_new(g_str_hash, g_str_equal);
    sched->account_index = g_hash_table_new(g_str_hash, g_str_equal);
    sched->kept_outcome_index = g_hash_table_new(g_str_hash, g_str_equal);
    sched->rack_index = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    sched->rack_capacities = g_array_new(FALSE, TRUE, sizeof(struct ms_rack_capacity));
    sched->candidate_servers = g_ptr_array_new();
    sched->retired_jobs = g_ptr_array_new();
    sched->retired_outcomes = g_ptr_array_new();
    return sched;
}

/* Frees the jobs and outcomes that only the actions of the last step pointed into. */
static void
free_retired(struct ms_sched *sched)
{
    for (guint i = 0; i < sched->retired_jobs->len; i++) {
        ms_job_free(sched, g_ptr_array_index(sched->retired_jobs, i));
    }
    g_ptr_array_set_size(sched->retired_jobs, 0);
    for (guint i = 0; i < sched->retired_outcomes->len; i++) {
        ms_kept_outcome_free(sched, g_ptr_array_index(sched->retired_outcomes, i));
    }
    g_ptr_array_set_size(sched->retired_outcomes, 0);
}

/* Empties the action array and frees what the actions own. */
static void
release_actions(struct ms_sched *sched)
{
    for (size_t i = 0; i < sched->action_count; i++) {
        if (sched->actions[i].kind == MS_ACTION_TOKEN) {
            ms_sched_release(sched, (void *)sched->actions[i].token.servers);
        }
    }
    sched->action_count = 0;
}

void
ms_sched_free(struct ms_sched *sched)
{
    if (sched == NULL) {
        return;
    }
    release_actions(sched);
    free_retired(sched);
    MS_LIST_FOREACH(link, &sched->jobs)
    {
        ms_job_free(sched, MS_CONTAINER_OF(link, struct ms_job, link));
    }
    MS_LIST_FOREACH(link, &sched->kept_outcomes)
    {
        ms_kept_outcome_free(sched, MS_CONTAINER_OF(link, struct ms_kept_outcome, link));
    }
    MS_LIST_FOREACH(link, &sched->guarantees)
    {
        ms_guarantee_free(sched, MS_CONTAINER_OF(link, struct ms_guarantee, link));
    }
    MS_LIST_FOREACH(link, &sched->accounts)
    {
        ms_sched_release(sched, MS_CONTAINER_OF(link, struct ms_account, link));
    }
    MS_LIST_FOREACH(link, &sched->servers)
    {
        ms_sched_release(sched, MS_CONTAINER_OF(link, struct ms_server, link));
    }
    g_hash_table_destroy(sched->server_index);
    g_hash_table_destroy(sched->job_index);
    g_hash_table_destroy(sched->account_index);
    g_hash_table_destroy(sched->kept_outcome_index);
    g_hash_table_destroy(sched->rack_index);
    g_array_free(sched->rack_capacities, TRUE);
    g_ptr_array_free(sched->candidate_servers, TRUE);
    g_ptr_array_free(sched->retired_jobs, TRUE);
    g_ptr_array_free(sched->retired_outcomes, TRUE);
    ms_sched_release(sched, sched->actions);
    ms_sched_release(sched, sched);
}

/*
 * Appends an action of KIND for the job ID, zeroed otherwise, and returns it for
 * the caller to fill in.  The pointer is valid until the next call.  If memory
 * runs out, the process aborts: the state has changed already, and would be
 * inconsistent without its action.
 */
struct ms_action *
ms_emit_action(struct ms_sched *sched, enum ms_action_kind kind, const char *id)
{
    if (sched->action_count == sched->action_capacity) {
        size_t capacity = MAX(sched->action_capacity * 2, INITIAL_ACTION_CAPACITY);
        struct ms_action *resized = ms_sched_alloc(sched, capacity * sizeof(*resized));
        if (resized == NULL) {
            g_error("event=out_of_memory where=actions count=%zu", capacity);
        }
        if (sched->action_count > 0) {
            memcpy(resized, sched->actions, sched->action_count * sizeof(*resized));
        }
        ms_sched_release(sched, sched->actions);
        sched->actions = resized;
        sched->action_capacity = capacity;
    }
    struct ms_action *action = &sched->actions[sched->action_count++];
    memset(action, 0, sizeof(*action));
    action->kind = kind;
    g_strlcpy(action->id, id, sizeof(action->id));
    return action;
}

/* Appends the action that sends OP for TASK to its server; TASK must be charged. */
void
ms_emit_task_action(struct ms_sched *sched, const struct ms_task *task, enum ms_task_op op)
{
    struct ms_action *action = ms_emit_action(sched, MS_ACTION_TASK, task->job->id);
    action->task.op = op;
    action->task.server = task->server->name;
    action->task.member_index = (uint32_t)(task - task->job->tasks);
    action->task.attempt = task->job->attempt;
    action->task.spec = &task->job->spec;
}

/* Makes run_timers() run in the first step at or after the time AT. */
void
ms_set_timer(struct ms_sched *sched, int64_t at)
{
    sched->next_timer = MIN(sched->next_timer, at);
}

struct ms_server *
ms_server_find(const struct ms_sched *sched, const char *name)
{
    return g_hash_table_lookup(sched->server_index, name);
}

struct ms_job *
ms_job_find(const struct ms_sched *sched, const char *id)
{
    return g_hash_table_lookup(sched->job_index, id);
}

/*
 * Runs the timers of SERVER.  When it has been lost for the length of a lease,
 * the leases of its tasks have expired, and the tasks are ended.
 */
static void
run_server_timers(struct ms_sched *sched, struct ms_server *server)
{
    if (server->state == MS_SERVER_LOST) {
        if (sched->now < server->leases_end_at) {
            ms_set_timer(sched, server->leases_end_at);
            return;
        }
        MS_LIST_FOREACH(link, &server->tasks)
        {
            struct ms_task *task = MS_CONTAINER_OF(link, struct ms_task, server_link);
            struct ms_task_event lease_expired = {.result = MS_TASK_LEASE_EXPIRED};
            ms_gang_task_ended(sched, task, &lease_expired);
        }
        return;
    }
    ms_health_run_timers(sched, server);
}

/* Runs the timers that are due and computes the time of the next one. */
static void
run_timers(struct ms_sched *sched)
{
    if (sched->now < sched->next_timer) {
        return;
    }
    sched->next_timer = INT64_MAX;
    MS_LIST_FOREACH(link, &sched->servers)
    {
        run_server_timers(sched, MS_CONTAINER_OF(link, struct ms_server, link));
    }
    MS_LIST_FOREACH(link, &sched->jobs)
    {
        ms_gang_run_timers(sched, MS_CONTAINER_OF(link, struct ms_job, link));
    }
    /* The timers above may have ended any job, so this takes a second loop. */
    MS_LIST_FOREACH(link, &sched->jobs)
    {
        ms_set_timer(sched,
                     ms_gang_next_timer(MS_CONTAINER_OF(link, struct ms_job, link), sched->now));
    }
}

enum ms_result
ms_sched_step(struct ms_sched *sched, const struct ms_event *event, int64_t now)
{
    release_actions(sched);
    free_retired(sched);
    sched->now = MAX(sched->now, now);
    enum ms_result result = ms_sched_apply_event(sched, event);
    if (result != MS_OK) {
        return result;
    }
    run_timers(sched);
    if (sched->cells_dirty && !sched->paused) {
        ms_guarantee_bind_all(sched);
    }
    if (sched->queue_dirty && !sched->paused) {
        sched->queue_dirty = false;
        ms_queue_run_pass(sched);
    }
    if (sched->queue_dirty && !sched->paused) {
        /* The pass changed state that an earlier part of it had read: run another soon. */
        ms_set_timer(sched, sched->now + 1);
    }
    return MS_OK;
}

size_t
ms_sched_action_count(const struct ms_sched *sched)
{
    return sched->action_count;
}

const struct ms_action *
ms_sched_action(const struct ms_sched *sched, size_t index)
{
    return &sched->actions[index];
}

int64_t
ms_sched_next_tick(const struct ms_sched *sched)
{
    return sched->next_timer;
}
