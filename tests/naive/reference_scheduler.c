/*
 * reference_scheduler.c - the reference scheduler: first fit in order of arrival.
 */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "naive/reference_scheduler.h"

#define RETRY_DELAY_MS 100    /* before the next attempt to run a stopped job */
#define LEASE_MS 3000         /* SIM_LEASE_MS: tasks of a lost server run no longer */
#define START_TIMEOUT_MS 2000 /* for all members to prepare, and again to start */
#define SERVERS_MAX 4096

struct ref_server {
    char name[MS_NAME_MAX];
    char rack[MS_NAME_MAX];
    int available_slots;
    int available_accels;
    bool up;
    int64_t leases_expired_at; /* when not up: no task runs there any more */
};

enum job_phase {
    JOB_WAITING = 0,
    JOB_AWAITING_TOKEN,
    JOB_PREPARING,
    JOB_STARTING,
    JOB_RUNNING,
    JOB_STOPPING
};

struct member {
    int server; /* index of the server where it is allocated, -1: none */
    bool prepared;
    bool started;
};

struct job {
    char id[MS_ID_MAX];
    struct ms_job_spec spec;
    enum job_phase phase;
    uint32_t attempt;
    uint32_t failure_count;  /* attempts that a failed task ended */
    uint32_t finished_count; /* members of the attempt that succeeded */
    bool cancelled;
    bool started_once;       /* an order to start was sent in some attempt */
    int64_t next_attempt_at; /* WAITING: not before this time */
    int64_t phase_deadline;  /* PREPARING, STARTING: the attempt is stopped then */
    int64_t submitted_at;
    int64_t started_at;
    struct member members[MS_GANG_MAX];
};

struct ref_sched {
    char dc[MS_NAME_MAX];
    struct ref_server servers[SERVERS_MAX];
    int server_count;
    GPtrArray *jobs;       /* struct job, in order of arrival */
    GPtrArray *ended_jobs; /* freed at the next step: actions point to them */
    GArray *actions;
    GPtrArray *token_server_lists; /* server arrays that token actions point to */
    bool out_of_service;
    bool paused;
    int64_t now;
};

struct ref_sched *
ref_sched_new(const char *dc)
{
    struct ref_sched *sched = g_new0(struct ref_sched, 1);
    g_strlcpy(sched->dc, dc, sizeof(sched->dc));
    sched->jobs = g_ptr_array_new();
    sched->ended_jobs = g_ptr_array_new_with_free_func(g_free);
    sched->actions = g_array_new(FALSE, TRUE, sizeof(struct ms_action));
    sched->token_server_lists = g_ptr_array_new_with_free_func(g_free);
    return sched;
}

void
ref_sched_free(struct ref_sched *sched)
{
    for (guint i = 0; i < sched->jobs->len; i++) {
        g_free(g_ptr_array_index(sched->jobs, i));
    }
    g_ptr_array_free(sched->jobs, TRUE);
    g_ptr_array_free(sched->ended_jobs, TRUE);
    g_array_free(sched->actions, TRUE);
    g_ptr_array_free(sched->token_server_lists, TRUE);
    g_free(sched);
}

static struct ms_action *
add_action(struct ref_sched *sched, enum ms_action_kind kind, const char *id)
{
    g_array_set_size(sched->actions, sched->actions->len + 1);
    struct ms_action *action =
        &g_array_index(sched->actions, struct ms_action, sched->actions->len - 1);
    action->kind = kind;
    g_strlcpy(action->id, id, sizeof(action->id));
    return action;
}

static void
add_task_op(struct ref_sched *sched, const struct job *job, uint32_t member_index,
            enum ms_task_op op)
{
    struct ms_action *action = add_action(sched, MS_ACTION_TASK, job->id);
    action->task.op = op;
    action->task.server = sched->servers[job->members[member_index].server].name;
    action->task.member_index = member_index;
    action->task.attempt = job->attempt;
    action->task.spec = &job->spec;
}

static int
server_index(const struct ref_sched *sched, const char *name)
{
    for (int i = 0; i < sched->server_count; i++) {
        if (strcmp(sched->servers[i].name, name) == 0) {
            return i;
        }
    }
    return -1;
}

static struct job *
find_job(const struct ref_sched *sched, const char *id)
{
    for (guint i = 0; i < sched->jobs->len; i++) {
        struct job *job = g_ptr_array_index(sched->jobs, i);
        if (strcmp(job->id, id) == 0) {
            return job;
        }
    }
    return NULL;
}

static void
release_resources(struct ref_sched *sched, struct job *job, uint32_t member_index)
{
    struct member *member = &job->members[member_index];
    if (member->server >= 0) {
        sched->servers[member->server].available_slots += 1;
        sched->servers[member->server].available_accels += (int)job->spec.accels;
        member->server = -1;
    }
}

static void
finish_job(struct ref_sched *sched, struct job *job, enum ms_outcome_code code, enum ms_ran ran)
{
    struct ms_action *action = add_action(sched, MS_ACTION_OUTCOME, job->id);
    action->outcome.code = code;
    action->outcome.ran = ran;
    action->outcome.detail = "";
    action->outcome.server = "";
    action->outcome.spec = &job->spec;
    g_ptr_array_remove(sched->jobs, job);
    g_ptr_array_add(sched->ended_jobs, job);
}

static bool
has_resources(const struct job *job)
{
    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        if (job->members[i].server >= 0) {
            return true;
        }
    }
    return false;
}

/*
 * Ends a job that is being stopped, or queues it for another attempt.  Does
 * nothing while a member still has resources.
 */
static void
finish_or_retry(struct ref_sched *sched, struct job *job)
{
    if (has_resources(job)) {
        return;
    }
    bool may_run_again = job->spec.idempotent || !job->started_once;
    if (job->cancelled) {
        finish_job(sched, job, MS_OUTCOME_CANCELLED, job->started_once ? MS_RAN_YES : MS_RAN_NO);
    }
    else if (sched->out_of_service && (may_run_again || !job->started_once)) {
        finish_job(sched, job, MS_OUTCOME_DC_OUT, job->started_once ? MS_RAN_YES : MS_RAN_NO);
    }
    else if (!may_run_again || job->failure_count >= 3) {
        finish_job(sched, job, job->failure_count > 0 ? MS_OUTCOME_FAILED : MS_OUTCOME_LOST_CONTACT,
                   job->failure_count > 0 ? MS_RAN_YES : MS_RAN_UNKNOWN);
    }
    else {
        job->phase = JOB_WAITING;
        job->next_attempt_at = sched->now + RETRY_DELAY_MS;
    }
}

/* Stops the members of a job; those on lost servers end when their leases expire. */
static void
stop_job(struct ref_sched *sched, struct job *job)
{
    job->phase = JOB_STOPPING;
    job->phase_deadline = INT64_MAX;
    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        struct member *member = &job->members[i];
        if (member->server < 0) {
            continue;
        }
        if (sched->servers[member->server].up) {
            add_task_op(sched, job, i, MS_OP_STOP);
            add_task_op(sched, job, i, MS_OP_WITHHOLD_LEASE);
        }
    }
    finish_or_retry(sched, job);
}

/* Whether one more task fits on SERVER, besides PLACED_COUNT tasks that are not allocated yet. */
static bool
fits(const struct ref_server *server, const struct ms_job_spec *spec, int placed_count)
{
    return server->up && server->available_slots > placed_count &&
           server->available_accels >= (int)spec->accels * (placed_count + 1);
}

/*
 * Allocates the tasks first fit in list order, on servers that are adjacent to server
 * ANCHOR as the job asks.  Allocates all of them or none.
 */
static bool
place_near_anchor(struct ref_sched *sched, struct job *job, int anchor)
{
    uint32_t placed = 0;
    for (int i = 0; i < sched->server_count && placed < job->spec.tasks; i++) {
        const struct ref_server *server = &sched->servers[i];
        if (job->spec.adjacency == MS_ADJACENT_SERVER && i != anchor) {
            continue;
        }
        if (job->spec.adjacency == MS_ADJACENT_RACK &&
            strcmp(server->rack, sched->servers[anchor].rack) != 0) {
            continue;
        }
        for (int n = 0; placed < job->spec.tasks && fits(server, &job->spec, n); n++) {
            job->members[placed++].server = i;
        }
    }
    if (placed == job->spec.tasks) {
        for (uint32_t i = 0; i < placed; i++) {
            sched->servers[job->members[i].server].available_slots -= 1;
            sched->servers[job->members[i].server].available_accels -= (int)job->spec.accels;
        }
        return true;
    }
    for (uint32_t i = 0; i < placed; i++) {
        job->members[i].server = -1;
    }
    return false;
}

static bool
place_job(struct ref_sched *sched, struct job *job)
{
    if (job->spec.adjacency == MS_ADJACENT_DC) {
        return sched->server_count > 0 && place_near_anchor(sched, job, 0);
    }
    for (int i = 0; i < sched->server_count; i++) {
        if (sched->servers[i].up && place_near_anchor(sched, job, i)) {
            return true;
        }
    }
    return false;
}

/* Sends the first orders of an attempt: a start, or a prepare for each member of a gang. */
static void
start_members(struct ref_sched *sched, struct job *job)
{
    bool is_single = job->spec.tasks == 1;
    job->phase = is_single ? JOB_STARTING : JOB_PREPARING;
    job->phase_deadline = sched->now + START_TIMEOUT_MS;
    job->started_once |= is_single;
    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        add_task_op(sched, job, i, is_single ? MS_OP_START : MS_OP_PREPARE);
    }
}

/*
 * Begins an attempt of a placed job.  A job that is not idempotent needs its run token
 * before its first order.
 */
static void
begin_attempt(struct ref_sched *sched, struct job *job)
{
    job->attempt++;
    job->finished_count = 0;
    job->started_at = sched->now;
    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        job->members[i].prepared = false;
        job->members[i].started = false;
    }
    if (job->spec.idempotent) {
        start_members(sched, job);
        return;
    }
    const char **servers = g_new0(const char *, job->spec.tasks);
    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        servers[i] = sched->servers[job->members[i].server].name;
    }
    g_ptr_array_add(sched->token_server_lists, servers);
    job->phase = JOB_AWAITING_TOKEN;
    job->phase_deadline = INT64_MAX;
    struct ms_action *action = add_action(sched, MS_ACTION_TOKEN, job->id);
    action->token.attempt = job->attempt;
    action->token.spec = &job->spec;
    action->token.servers = servers;
    action->token.server_count = job->spec.tasks;
}

static void
start_waiting_jobs(struct ref_sched *sched)
{
    if (sched->out_of_service || sched->paused) {
        return;
    }
    for (guint i = 0; i < sched->jobs->len; i++) {
        struct job *job = g_ptr_array_index(sched->jobs, i);
        if (job->phase == JOB_WAITING && job->next_attempt_at <= sched->now &&
            place_job(sched, job)) {
            begin_attempt(sched, job);
        }
    }
}

static void
submit_job(struct ref_sched *sched, const struct ms_submit_event *event)
{
    char id[MS_ID_MAX];
    g_snprintf(id, sizeof(id), "%s/%s", event->spec.account, event->spec.key);
    if (find_job(sched, id) != NULL) {
        return;
    }
    struct job *job = g_new0(struct job, 1);
    g_strlcpy(job->id, id, sizeof(job->id));
    job->spec = event->spec;
    job->submitted_at = sched->now;
    job->phase_deadline = INT64_MAX;
    for (int i = 0; i < MS_GANG_MAX; i++) {
        job->members[i].server = -1;
    }
    g_ptr_array_add(sched->jobs, job);
    if (sched->out_of_service) {
        finish_job(sched, job, MS_OUTCOME_DC_OUT, MS_RAN_NO);
    }
}

static void
handle_server_up(struct ref_sched *sched, const struct ms_server_event *event)
{
    int index = server_index(sched, event->name);
    if (index < 0) {
        index = sched->server_count++;
        g_strlcpy(sched->servers[index].name, event->name, MS_NAME_MAX);
        g_strlcpy(sched->servers[index].rack, event->rack, MS_NAME_MAX);
        sched->servers[index].available_slots = (int)event->slots;
        sched->servers[index].available_accels = (int)event->accels;
    }
    sched->servers[index].up = true;
}

static void
handle_server_lost(struct ref_sched *sched, const char *name)
{
    int index = server_index(sched, name);
    if (index < 0) {
        return;
    }
    sched->servers[index].up = false;
    sched->servers[index].leases_expired_at = sched->now + LEASE_MS;
    for (guint i = 0; i < sched->jobs->len; i++) {
        struct job *job = g_ptr_array_index(sched->jobs, i);
        for (uint32_t m = 0; m < job->spec.tasks; m++) {
            if (job->members[m].server == index && job->phase != JOB_STOPPING) {
                stop_job(sched, job);
                break;
            }
        }
    }
}

/* The data centre goes out of service: ends waiting jobs, stops those not yet started. */
static void
handle_dc_out(struct ref_sched *sched)
{
    for (guint i = sched->jobs->len; i > 0; i--) {
        struct job *job = g_ptr_array_index(sched->jobs, i - 1);
        if (job->phase == JOB_WAITING) {
            finish_job(sched, job, MS_OUTCOME_DC_OUT, job->started_once ? MS_RAN_YES : MS_RAN_NO);
        }
        else if (job->phase == JOB_AWAITING_TOKEN || job->phase == JOB_PREPARING) {
            stop_job(sched, job);
        }
    }
}

/*
 * Handles an answer of a server.  The end of an unknown task is acknowledged, else the
 * server would report it again.
 */
static void
handle_task_event(struct ref_sched *sched, const struct ms_event *event)
{
    struct job *job = find_job(sched, event->task.id);
    uint32_t index = event->task.member_index;
    if (job == NULL || job->attempt != event->task.attempt || index >= job->spec.tasks ||
        job->members[index].server < 0) {
        if (event->kind == MS_EVENT_TASK_ENDED) {
            struct ms_action *action = add_action(sched, MS_ACTION_TASK, event->task.id);
            action->task.op = MS_OP_ACK;
            action->task.server = event->task.server;
            action->task.member_index = index;
            action->task.attempt = event->task.attempt;
        }
        return;
    }
    struct member *member = &job->members[index];
    uint32_t ready_count = 0;
    switch (event->kind) {
    case MS_EVENT_TASK_PREPARED:
        member->prepared = true;
        for (uint32_t i = 0; i < job->spec.tasks; i++) {
            ready_count += job->members[i].prepared ? 1 : 0;
        }
        if (job->phase == JOB_PREPARING && ready_count == job->spec.tasks) {
            job->phase = JOB_STARTING;
            job->started_once = true;
            job->phase_deadline = sched->now + START_TIMEOUT_MS;
            for (uint32_t i = 0; i < job->spec.tasks; i++) {
                add_task_op(sched, job, i, MS_OP_GO);
            }
        }
        break;
    case MS_EVENT_TASK_STARTED:
        member->started = true;
        for (uint32_t i = 0; i < job->spec.tasks; i++) {
            ready_count += job->members[i].started ? 1 : 0;
        }
        if (job->phase == JOB_STARTING && ready_count == job->spec.tasks) {
            job->phase = JOB_RUNNING;
            job->phase_deadline = INT64_MAX;
        }
        break;
    case MS_EVENT_TASK_REFUSED:
        release_resources(sched, job, index);
        if (job->phase != JOB_STOPPING) {
            stop_job(sched, job);
        }
        else {
            finish_or_retry(sched, job);
        }
        break;
    case MS_EVENT_TASK_ENDED:
        if (sched->servers[member->server].up) {
            add_task_op(sched, job, index, MS_OP_ACK);
        }
        release_resources(sched, job, index);
        if (job->phase == JOB_STOPPING) {
            finish_or_retry(sched, job);
        }
        else if (event->task.result == MS_TASK_OK) {
            if (++job->finished_count == job->spec.tasks) {
                finish_job(sched, job, MS_OUTCOME_DONE, MS_RAN_YES);
            }
        }
        else {
            job->failure_count += event->task.result == MS_TASK_FAILED ? 1 : 0;
            stop_job(sched, job);
        }
        break;
    default:
        break;
    }
}

/* Ends members on servers whose leases have expired, and attempts past their deadline. */
static void
handle_timeouts(struct ref_sched *sched)
{
    for (guint i = sched->jobs->len; i > 0; i--) {
        struct job *job = g_ptr_array_index(sched->jobs, i - 1);
        bool changed = false;
        for (uint32_t m = 0; m < job->spec.tasks; m++) {
            int server = job->members[m].server;
            if (server >= 0 && !sched->servers[server].up &&
                sched->servers[server].leases_expired_at <= sched->now) {
                release_resources(sched, job, m);
                changed = true;
            }
        }
        if (job->phase != JOB_STOPPING && (job->phase_deadline <= sched->now || changed)) {
            stop_job(sched, job);
        }
        else if (changed) {
            finish_or_retry(sched, job);
        }
    }
}

void
ref_sched_step(struct ref_sched *sched, const struct ms_event *event, int64_t now)
{
    struct job *job = NULL;
    g_array_set_size(sched->actions, 0);
    g_ptr_array_set_size(sched->ended_jobs, 0);
    g_ptr_array_set_size(sched->token_server_lists, 0);
    sched->now = MAX(sched->now, now);
    switch (event->kind) {
    case MS_EVENT_RULE:
        if (event->rule.kind == MS_RULE_DC && strcmp(event->rule.name, sched->dc) == 0) {
            sched->out_of_service = event->rule.out_of_service;
            if (sched->out_of_service) {
                handle_dc_out(sched);
            }
        }
        break;
    case MS_EVENT_SERVER_UP:
        handle_server_up(sched, &event->server);
        break;
    case MS_EVENT_SERVER_LOST:
        handle_server_lost(sched, event->server.name);
        break;
    case MS_EVENT_SUBMIT:
        submit_job(sched, &event->submit);
        break;
    case MS_EVENT_CANCEL:
        job = find_job(sched, event->job);
        if (job != NULL && job->phase == JOB_WAITING) {
            finish_job(sched, job, MS_OUTCOME_CANCELLED, MS_RAN_NO);
        }
        else if (job != NULL) {
            job->cancelled = true;
            stop_job(sched, job);
        }
        break;
    case MS_EVENT_TOKEN_ANSWER:
        job = find_job(sched, event->token.id);
        if (job != NULL && job->phase == JOB_AWAITING_TOKEN) {
            if (event->token.answer == MS_TOKEN_GRANTED) {
                start_members(sched, job);
            }
            else {
                for (uint32_t i = 0; i < job->spec.tasks; i++) {
                    release_resources(sched, job, i);
                }
                finish_or_retry(sched, job);
            }
        }
        break;
    case MS_EVENT_PAUSE:
        sched->paused = event->pause;
        break;
    case MS_EVENT_TASK_PREPARED:
    case MS_EVENT_TASK_STARTED:
    case MS_EVENT_TASK_REFUSED:
    case MS_EVENT_TASK_ENDED:
        handle_task_event(sched, event);
        break;
    default:
        break;
    }
    handle_timeouts(sched);
    start_waiting_jobs(sched);
}

size_t
ref_sched_action_count(const struct ref_sched *sched)
{
    return sched->actions->len;
}

const struct ms_action *
ref_sched_action(const struct ref_sched *sched, size_t index)
{
    return &g_array_index(sched->actions, struct ms_action, index);
}

int64_t
ref_sched_next_tick(const struct ref_sched *sched)
{
    int64_t next = INT64_MAX;
    for (guint i = 0; i < sched->jobs->len; i++) {
        const struct job *job = g_ptr_array_index(sched->jobs, i);
        next = MIN(next, job->phase_deadline);
        if (job->phase == JOB_WAITING && job->next_attempt_at > sched->now) {
            next = MIN(next, job->next_attempt_at);
        }
        for (uint32_t m = 0; m < job->spec.tasks; m++) {
            int server = job->members[m].server;
            if (server >= 0 && !sched->servers[server].up) {
                next = MIN(next, sched->servers[server].leases_expired_at);
            }
        }
    }
    return next;
}

void
ref_sched_fragmentation(const struct ref_sched *sched, uint32_t *available_accels,
                        uint32_t *stranded, uint32_t *largest_waiting)
{
    const struct job *largest = NULL;
    *available_accels = 0;
    *stranded = 0;
    *largest_waiting = 0;
    for (int i = 0; i < sched->server_count; i++) {
        *available_accels +=
            sched->servers[i].up ? (uint32_t)sched->servers[i].available_accels : 0;
    }
    for (guint i = 0; i < sched->jobs->len; i++) {
        const struct job *job = g_ptr_array_index(sched->jobs, i);
        if (job->phase == JOB_WAITING &&
            (largest == NULL ||
             job->spec.tasks * job->spec.accels > largest->spec.tasks * largest->spec.accels)) {
            largest = job;
        }
    }
    if (largest == NULL || largest->spec.accels == 0) {
        return;
    }
    *largest_waiting = largest->spec.tasks * largest->spec.accels;
    uint32_t most_tasks = 0;
    for (int anchor = 0; anchor < sched->server_count; anchor++) {
        uint32_t task_count = 0;
        for (int i = 0; i < sched->server_count; i++) {
            const struct ref_server *server = &sched->servers[i];
            bool adjacent = largest->spec.adjacency == MS_ADJACENT_DC ||
                            (largest->spec.adjacency == MS_ADJACENT_RACK &&
                             strcmp(server->rack, sched->servers[anchor].rack) == 0) ||
                            i == anchor;
            for (int n = 0; adjacent && fits(server, &largest->spec, n); n++) {
                task_count++;
            }
        }
        most_tasks = MAX(most_tasks, task_count);
    }
    *stranded = *available_accels - MIN(most_tasks * largest->spec.accels, *available_accels);
}
