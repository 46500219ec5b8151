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

/* Creates the server of EVENT in the state LOST; NULL when memory runs out. */
static struct ms_server *
server_new(struct ms_sched *sched, const struct ms_server_event *event)
{
    struct ms_server *server = ms_sched_alloc(sched, sizeof(*server));
    if (server == NULL) {
        return NULL;
    }
    memset(server, 0, sizeof(*server));
    g_strlcpy(server->name, event->name, sizeof(server->name));
    ms_list_link_init(&server->tasks);
    server->state = MS_SERVER_LOST;
    struct ms_list_link *position = sched->servers.next;
    while (position != &sched->servers &&
           strcmp(MS_CONTAINER_OF(position, struct ms_server, link)->name, server->name) < 0) {
        position = position->next;
    }
    ms_list_insert_before(position, &server->link);
    g_hash_table_insert(sched->server_index, server->name, server);
    return server;
}

/*
 * Handles a server that accepts orders of this leader from now on: updates its
 * capacity, and waits for reports of the tasks that it has before it gets new ones.
 */
static enum ms_result
handle_server_up(struct ms_sched *sched, const struct ms_server_event *event)
{
    if (event->name[0] == '\0') {
        return MS_E_INVALID;
    }
    struct ms_server *server = ms_server_find(sched, event->name);
    if (server == NULL) {
        server = server_new(sched, event);
    }
    if (server == NULL) {
        return MS_E_NOMEM;
    }
    ms_guarantee_unbind_server(sched, server);
    g_strlcpy(server->rack, event->rack, sizeof(server->rack));
    server->rack_id = ms_rack_id(sched, event->rack);
    server->slots_free += (int32_t)event->slots - (int32_t)server->slots;
    server->accels_free += (int32_t)event->accels - (int32_t)server->accels;
    server->slots = event->slots;
    server->accels = event->accels;
    server->state = MS_SERVER_SYNCING;
    server->reports_pending = event->reported_task_count;
    MS_LIST_FOREACH(link, &server->tasks)
    {
        MS_CONTAINER_OF(link, struct ms_task, server_link)->reported = false;
    }
    if (server->reports_pending == 0) {
        ms_adopt_finish_sync(sched, server);
    }
    return MS_OK;
}

/* Handles the loss of a server; its tasks stay charged until their leases expire. */
static void
handle_server_lost(struct ms_sched *sched, const char *name)
{
    struct ms_server *server = ms_server_find(sched, name);
    if (server == NULL || server->state == MS_SERVER_LOST) {
        return;
    }
    server->state = MS_SERVER_LOST;
    server->leases_end_at = sched->now + sched->limits.lease_ms;
    ms_set_timer(sched, server->leases_end_at);
    ms_guarantee_unbind_server(sched, server);
    ms_backfill_server_unusable(sched, server);
    ms_gang_server_lost(sched, server);
    sched->queue_dirty = true;
    sched->cells_dirty = true;
}

/* Handles a server that is to finish its tasks and accept no new ones. */
static void
handle_server_leaving(struct ms_sched *sched, const char *name)
{
    struct ms_server *server = ms_server_find(sched, name);
    if (server == NULL || server->state == MS_SERVER_LOST || server->state == MS_SERVER_LEAVING) {
        return;
    }
    server->state = MS_SERVER_LEAVING;
    ms_guarantee_unbind_server(sched, server);
    ms_backfill_server_unusable(sched, server);
    sched->cells_dirty = true;
    sched->queue_dirty = true;
}

/*
 * Called when the data centre goes out of service.  Ends every job that waits or
 * is not ordered to start yet with MS_OUTCOME_DC_OUT, so that its entry host can
 * submit it to another data centre.  Jobs that are starting or running continue.
 */
static void
refuse_unstarted_jobs(struct ms_sched *sched)
{
    char detail[MS_DETAIL_MAX];
    snprintf(detail, sizeof(detail), "data centre %s is out of service", sched->dc);
    MS_LIST_FOREACH(link, &sched->jobs)
    {
        struct ms_job *job = MS_CONTAINER_OF(link, struct ms_job, link);
        switch (job->state) {
        case MS_JOB_WAITING:
            ms_job_finish(sched, job, MS_OUTCOME_DC_OUT, detail);
            break;
        case MS_JOB_RECLAIMING:
        case MS_JOB_AWAITING_TOKEN:
        case MS_JOB_PREPARING:
            ms_gang_abort(sched, job, MS_ABORT_FINISH, MS_OUTCOME_DC_OUT, detail);
            break;
        case MS_JOB_STARTING:
        case MS_JOB_RUNNING:
        case MS_JOB_ABORTING:
        case MS_JOB_ADOPTING:
            break;
        }
    }
}

/* Applies a rule that was added, changed or removed. */
static void
apply_rule(struct ms_sched *sched, const struct ms_rule *rule)
{
    struct ms_account *account = NULL;
    switch (rule->kind) {
    case MS_RULE_ACCOUNT:
        account = ms_account_get_or_create(sched, rule->name);
        if (account != NULL) {
            account->has_rule = !rule->removed;
            account->share = MAX(rule->share, 1);
        }
        break;
    case MS_RULE_LIMIT:
        account = ms_account_get_or_create(sched, rule->name);
        if (account != NULL) {
            account->limit_accels = rule->removed ? 0 : rule->accels;
            account->limit_running = rule->removed ? 0 : rule->running;
            account->limit_queued = rule->removed ? 0 : rule->queued;
        }
        break;
    case MS_RULE_GUARANTEE:
        ms_guarantee_apply_rule(sched, rule);
        break;
    case MS_RULE_DC:
        if (strcmp(rule->name, sched->dc) == 0) {
            sched->dc_out = rule->out_of_service && !rule->removed;
            if (sched->dc_out) {
                refuse_unstarted_jobs(sched);
            }
        }
        break;
    }
    sched->queue_dirty = true;
}

/*
 * Returns the task that EVENT is about, or NULL if the event is outdated: the
 * job is unknown, or the task is of another attempt or on another server.
 */
static struct ms_task *
find_event_task(struct ms_sched *sched, const struct ms_task_event *event)
{
    struct ms_job *job = ms_job_find(sched, event->id);
    if (job == NULL || event->member_index >= job->spec.tasks || event->attempt != job->attempt) {
        return NULL;
    }
    struct ms_task *task = &job->tasks[event->member_index];
    if (task->server == NULL || strcmp(task->server->name, event->server) != 0) {
        return NULL;
    }
    return task;
}

/* Acknowledges the end of an unknown task, so that its server can forget it. */
static void
acknowledge_unknown(struct ms_sched *sched, const struct ms_task_event *event)
{
    struct ms_server *server = ms_server_find(sched, event->server);
    if (server == NULL || server->state == MS_SERVER_LOST) {
        return;
    }
    struct ms_action *action = ms_emit_action(sched, MS_ACTION_TASK, event->id);
    action->task.op = MS_OP_ACK;
    action->task.server = server->name;
    action->task.member_index = event->member_index;
    action->task.attempt = event->attempt;
}

/* Throttles a running task that uses more accelerators than it declared. */
static void
handle_usage(struct ms_sched *sched, const struct ms_task_event *event)
{
    struct ms_task *task = find_event_task(sched, event);
    if (task == NULL || task->state != MS_TASK_RUNNING) {
        return;
    }
    if (event->used_accels > task->job->spec.accels) {
        ms_emit_task_action(sched, task, MS_OP_THROTTLE);
    }
}

/* Passes an event about a known task to its handler; outdated ones have no effect. */
static void
handle_task_event(struct ms_sched *sched, enum ms_event_kind kind,
                  const struct ms_task_event *event)
{
    struct ms_task *task = find_event_task(sched, event);
    if (task == NULL) {
        if (kind == MS_EVENT_TASK_ENDED) {
            acknowledge_unknown(sched, event);
        }
        return;
    }
    switch (kind) {
    case MS_EVENT_TASK_PREPARED:
        ms_gang_task_prepared(sched, task);
        break;
    case MS_EVENT_TASK_STARTED:
        ms_gang_task_started(sched, task);
        break;
    case MS_EVENT_TASK_REFUSED:
        ms_gang_task_refused(sched, task);
        break;
    case MS_EVENT_TASK_ENDED:
        ms_gang_task_ended(sched, task, event);
        break;
    default:
        break;
    }
}

/* Handles the report of one task by a server that is SYNCING. */
static enum ms_result
handle_task_report(struct ms_sched *sched, const struct ms_task_event *event)
{
    char text[MS_DETAIL_MAX];
    struct ms_server *server = ms_server_find(sched, event->server);
    if (server == NULL || ms_job_spec_check(&event->spec, text, sizeof(text)) != MS_OK ||
        event->member_index >= event->spec.tasks) {
        return MS_E_INVALID;
    }
    if (server->state != MS_SERVER_SYNCING || server->reports_pending == 0) {
        return MS_E_CONFLICT;
    }
    ms_adopt_reported_task(sched, server, event);
    server->reports_pending--;
    if (server->reports_pending == 0) {
        ms_adopt_finish_sync(sched, server);
    }
    return MS_OK;
}

static enum ms_result
handle_submit(struct ms_sched *sched, const struct ms_submit_event *event)
{
    char text[MS_DETAIL_MAX];
    if (ms_job_spec_check(&event->spec, text, sizeof(text)) != MS_OK) {
        return MS_E_INVALID;
    }
    ms_job_submit(sched, event);
    return MS_OK;
}

static enum ms_result
apply_event(struct ms_sched *sched, const struct ms_event *event)
{
    struct ms_job *job = NULL;
    switch (event->kind) {
    case MS_EVENT_TICK:
        break;
    case MS_EVENT_RULE:
        apply_rule(sched, &event->rule);
        break;
    case MS_EVENT_SERVER_UP:
        return handle_server_up(sched, &event->server);
    case MS_EVENT_SERVER_LOST:
        handle_server_lost(sched, event->server.name);
        break;
    case MS_EVENT_SERVER_LEAVING:
        handle_server_leaving(sched, event->server.name);
        break;
    case MS_EVENT_TASK_REPORTED:
        return handle_task_report(sched, &event->task);
    case MS_EVENT_SUBMIT:
        return handle_submit(sched, &event->submit);
    case MS_EVENT_CANCEL:
        job = ms_job_find(sched, event->job);
        if (job != NULL) {
            ms_job_cancel(sched, job);
        }
        break;
    case MS_EVENT_QUERY_OUTCOME:
        ms_job_resend_outcome(sched, event->job);
        break;
    case MS_EVENT_TASK_PREPARED:
    case MS_EVENT_TASK_STARTED:
    case MS_EVENT_TASK_REFUSED:
    case MS_EVENT_TASK_ENDED:
        handle_task_event(sched, event->kind, &event->task);
        break;
    case MS_EVENT_USAGE:
        handle_usage(sched, &event->task);
        break;
    case MS_EVENT_TOKEN_ANSWER:
        job = ms_job_find(sched, event->token.id);
        if (job != NULL && job->state == MS_JOB_AWAITING_TOKEN &&
            job->attempt == event->token.attempt) {
            ms_gang_token_answered(sched, job, event->token.answer);
        }
        break;
    case MS_EVENT_PAUSE:
        sched->paused = event->pause;
        sched->queue_dirty = true;
        sched->cells_dirty = true;
        break;
    }
    return MS_OK;
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
    enum ms_result result = apply_event(sched, event);
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
