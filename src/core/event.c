/*
 * event.c - applies the event of a step to a server, a task, a job or a rule.
 */
#include <stdio.h>
#include <string.h>

#include "sched.h"

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

enum ms_result
ms_sched_apply_event(struct ms_sched *sched, const struct ms_event *event)
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
