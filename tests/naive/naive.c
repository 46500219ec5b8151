/*
 * naive.c - the naive version: first fit in order of arrival.
 */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "naive/naive.h"

#define RETRY_MS 100
#define LEASE_MS 3000
#define START_MS 2000
#define SERVERS_MAX 4096

struct slot {
    char name[MS_NAME_MAX];
    char rack[MS_NAME_MAX];
    int slots;
    int accels;
    bool up;
    int64_t lost_until;
};

enum phase { WAITING = 0, TOKEN, PREPARING, STARTING, RUNNING, STOPPING };

struct member {
    int server; /* index, -1: none */
    bool prepared;
    bool started;
};

struct work {
    char id[MS_ID_MAX];
    struct ms_job_spec spec;
    enum phase phase;
    uint32_t attempt;
    uint32_t failures;
    uint32_t finished;
    bool cancelled;
    bool started_once;
    int64_t not_before;
    int64_t until;
    int64_t submitted_at;
    int64_t started_at;
    struct member members[MS_GANG_MAX];
};

struct naive {
    char dc[MS_NAME_MAX];
    struct slot servers[SERVERS_MAX];
    int server_count;
    GPtrArray *queue; /* work, in order of arrival */
    GPtrArray *dead;
    GArray *actions;
    GPtrArray *memory; /* server lists of token actions */
    bool out;
    bool paused;
    int64_t now;
};

struct naive *
naive_new(const char *dc)
{
    struct naive *naive = g_new0(struct naive, 1);
    g_strlcpy(naive->dc, dc, sizeof(naive->dc));
    naive->queue = g_ptr_array_new();
    naive->dead = g_ptr_array_new_with_free_func(g_free);
    naive->actions = g_array_new(FALSE, TRUE, sizeof(struct ms_action));
    naive->memory = g_ptr_array_new_with_free_func(g_free);
    return naive;
}

void
naive_free(struct naive *naive)
{
    for (guint i = 0; i < naive->queue->len; i++) {
        g_free(g_ptr_array_index(naive->queue, i));
    }
    g_ptr_array_free(naive->queue, TRUE);
    g_ptr_array_free(naive->dead, TRUE);
    g_array_free(naive->actions, TRUE);
    g_ptr_array_free(naive->memory, TRUE);
    g_free(naive);
}

static struct ms_action *
emit(struct naive *naive, enum ms_action_kind kind, const char *id)
{
    g_array_set_size(naive->actions, naive->actions->len + 1);
    struct ms_action *action =
        &g_array_index(naive->actions, struct ms_action, naive->actions->len - 1);
    action->kind = kind;
    g_strlcpy(action->id, id, sizeof(action->id));
    return action;
}

static void
emit_op(struct naive *naive, const struct work *work, uint32_t member, enum ms_task_op op)
{
    struct ms_action *action = emit(naive, MS_ACTION_TASK, work->id);
    action->task.op = op;
    action->task.server = naive->servers[work->members[member].server].name;
    action->task.member_index = member;
    action->task.attempt = work->attempt;
    action->task.spec = &work->spec;
}

static int
server_index(const struct naive *naive, const char *name)
{
    for (int i = 0; i < naive->server_count; i++) {
        if (strcmp(naive->servers[i].name, name) == 0) {
            return i;
        }
    }
    return -1;
}

static struct work *
find(const struct naive *naive, const char *id)
{
    for (guint i = 0; i < naive->queue->len; i++) {
        struct work *work = g_ptr_array_index(naive->queue, i);
        if (strcmp(work->id, id) == 0) {
            return work;
        }
    }
    return NULL;
}

static void
release(struct naive *naive, struct work *work, uint32_t member)
{
    struct member *place = &work->members[member];
    if (place->server >= 0) {
        naive->servers[place->server].slots += 1;
        naive->servers[place->server].accels += (int)work->spec.accels;
        place->server = -1;
    }
}

static void
finish(struct naive *naive, struct work *work, enum ms_outcome_code code, enum ms_ran ran)
{
    struct ms_action *action = emit(naive, MS_ACTION_OUTCOME, work->id);
    action->outcome.code = code;
    action->outcome.ran = ran;
    action->outcome.detail = "";
    action->outcome.server = "";
    action->outcome.spec = &work->spec;
    g_ptr_array_remove(naive->queue, work);
    g_ptr_array_add(naive->dead, work);
}

static bool
holds(const struct work *work)
{
    for (uint32_t i = 0; i < work->spec.tasks; i++) {
        if (work->members[i].server >= 0) {
            return true;
        }
    }
    return false;
}

static void
settle_stopped(struct naive *naive, struct work *work)
{
    if (holds(work)) {
        return;
    }
    bool again = work->spec.idempotent || !work->started_once;
    if (work->cancelled) {
        finish(naive, work, MS_OUTCOME_CANCELLED, work->started_once ? MS_RAN_YES : MS_RAN_NO);
    }
    else if (naive->out && (again || !work->started_once)) {
        finish(naive, work, MS_OUTCOME_DC_OUT, work->started_once ? MS_RAN_YES : MS_RAN_NO);
    }
    else if (!again || work->failures >= 3) {
        finish(naive, work, work->failures > 0 ? MS_OUTCOME_FAILED : MS_OUTCOME_LOST_CONTACT,
               work->failures > 0 ? MS_RAN_YES : MS_RAN_UNKNOWN);
    }
    else {
        work->phase = WAITING;
        work->not_before = naive->now + RETRY_MS;
    }
}

static void
stop(struct naive *naive, struct work *work)
{
    work->phase = STOPPING;
    work->until = INT64_MAX;
    for (uint32_t i = 0; i < work->spec.tasks; i++) {
        struct member *member = &work->members[i];
        if (member->server < 0) {
            continue;
        }
        if (naive->servers[member->server].up) {
            emit_op(naive, work, i, MS_OP_STOP);
            emit_op(naive, work, i, MS_OP_WITHHOLD_LEASE);
        }
    }
    settle_stopped(naive, work);
}

static bool
fits(const struct slot *server, const struct ms_job_spec *spec, int already)
{
    return server->up && server->slots > already &&
           server->accels >= (int)spec->accels * (already + 1);
}

/* First fit in list order, within the group of server ANCHOR. */
static bool
place_near(struct naive *naive, struct work *work, int anchor)
{
    uint32_t placed = 0;
    for (int i = 0; i < naive->server_count && placed < work->spec.tasks; i++) {
        const struct slot *server = &naive->servers[i];
        if (work->spec.adjacency == MS_ADJACENT_SERVER && i != anchor) {
            continue;
        }
        if (work->spec.adjacency == MS_ADJACENT_RACK &&
            strcmp(server->rack, naive->servers[anchor].rack) != 0) {
            continue;
        }
        for (int n = 0; placed < work->spec.tasks && fits(server, &work->spec, n); n++) {
            work->members[placed++].server = i;
        }
    }
    if (placed == work->spec.tasks) {
        for (uint32_t i = 0; i < placed; i++) {
            naive->servers[work->members[i].server].slots -= 1;
            naive->servers[work->members[i].server].accels -= (int)work->spec.accels;
        }
        return true;
    }
    for (uint32_t i = 0; i < placed; i++) {
        work->members[i].server = -1;
    }
    return false;
}

static bool
place(struct naive *naive, struct work *work)
{
    if (work->spec.adjacency == MS_ADJACENT_DC) {
        return naive->server_count > 0 && place_near(naive, work, 0);
    }
    for (int i = 0; i < naive->server_count; i++) {
        if (naive->servers[i].up && place_near(naive, work, i)) {
            return true;
        }
    }
    return false;
}

static void
launch(struct naive *naive, struct work *work)
{
    bool single = work->spec.tasks == 1;
    work->phase = single ? STARTING : PREPARING;
    work->until = naive->now + START_MS;
    work->started_once |= single;
    for (uint32_t i = 0; i < work->spec.tasks; i++) {
        emit_op(naive, work, i, single ? MS_OP_START : MS_OP_PREPARE);
    }
}

static void
begin(struct naive *naive, struct work *work)
{
    work->attempt++;
    work->finished = 0;
    work->started_at = naive->now;
    for (uint32_t i = 0; i < work->spec.tasks; i++) {
        work->members[i].prepared = false;
        work->members[i].started = false;
    }
    if (work->spec.idempotent) {
        launch(naive, work);
        return;
    }
    const char **servers = g_new0(const char *, work->spec.tasks);
    for (uint32_t i = 0; i < work->spec.tasks; i++) {
        servers[i] = naive->servers[work->members[i].server].name;
    }
    g_ptr_array_add(naive->memory, servers);
    work->phase = TOKEN;
    work->until = INT64_MAX;
    struct ms_action *action = emit(naive, MS_ACTION_TOKEN, work->id);
    action->token.attempt = work->attempt;
    action->token.spec = &work->spec;
    action->token.servers = servers;
    action->token.server_count = work->spec.tasks;
}

static void
pass(struct naive *naive)
{
    if (naive->out || naive->paused) {
        return;
    }
    for (guint i = 0; i < naive->queue->len; i++) {
        struct work *work = g_ptr_array_index(naive->queue, i);
        if (work->phase == WAITING && work->not_before <= naive->now && place(naive, work)) {
            begin(naive, work);
        }
    }
}

static void
submit(struct naive *naive, const struct ms_submit_event *event)
{
    char id[MS_ID_MAX];
    g_snprintf(id, sizeof(id), "%s/%s", event->spec.account, event->spec.key);
    if (find(naive, id) != NULL) {
        return;
    }
    struct work *work = g_new0(struct work, 1);
    g_strlcpy(work->id, id, sizeof(work->id));
    work->spec = event->spec;
    work->submitted_at = naive->now;
    work->until = INT64_MAX;
    for (int i = 0; i < MS_GANG_MAX; i++) {
        work->members[i].server = -1;
    }
    g_ptr_array_add(naive->queue, work);
    if (naive->out) {
        finish(naive, work, MS_OUTCOME_DC_OUT, MS_RAN_NO);
    }
}

static void
server_up(struct naive *naive, const struct ms_server_event *event)
{
    int index = server_index(naive, event->name);
    if (index < 0) {
        index = naive->server_count++;
        g_strlcpy(naive->servers[index].name, event->name, MS_NAME_MAX);
        g_strlcpy(naive->servers[index].rack, event->rack, MS_NAME_MAX);
        naive->servers[index].slots = (int)event->slots;
        naive->servers[index].accels = (int)event->accels;
    }
    naive->servers[index].up = true;
}

static void
server_lost(struct naive *naive, const char *name)
{
    int index = server_index(naive, name);
    if (index < 0) {
        return;
    }
    naive->servers[index].up = false;
    naive->servers[index].lost_until = naive->now + LEASE_MS;
    for (guint i = 0; i < naive->queue->len; i++) {
        struct work *work = g_ptr_array_index(naive->queue, i);
        for (uint32_t m = 0; m < work->spec.tasks; m++) {
            if (work->members[m].server == index && work->phase != STOPPING) {
                stop(naive, work);
                break;
            }
        }
    }
}

static void
all_out(struct naive *naive)
{
    for (guint i = naive->queue->len; i > 0; i--) {
        struct work *work = g_ptr_array_index(naive->queue, i - 1);
        if (work->phase == WAITING) {
            finish(naive, work, MS_OUTCOME_DC_OUT, work->started_once ? MS_RAN_YES : MS_RAN_NO);
        }
        else if (work->phase == TOKEN || work->phase == PREPARING) {
            stop(naive, work);
        }
    }
}

static void
member_event(struct naive *naive, const struct ms_event *event)
{
    struct work *work = find(naive, event->task.id);
    uint32_t index = event->task.member_index;
    if (work == NULL || work->attempt != event->task.attempt || index >= work->spec.tasks ||
        work->members[index].server < 0) {
        if (event->kind == MS_EVENT_TASK_ENDED) {
            struct ms_action *action = emit(naive, MS_ACTION_TASK, event->task.id);
            action->task.op = MS_OP_ACK;
            action->task.server = event->task.server;
            action->task.member_index = index;
            action->task.attempt = event->task.attempt;
        }
        return;
    }
    struct member *member = &work->members[index];
    uint32_t ready = 0;
    switch (event->kind) {
    case MS_EVENT_TASK_PREPARED:
        member->prepared = true;
        for (uint32_t i = 0; i < work->spec.tasks; i++) {
            ready += work->members[i].prepared ? 1 : 0;
        }
        if (work->phase == PREPARING && ready == work->spec.tasks) {
            work->phase = STARTING;
            work->started_once = true;
            work->until = naive->now + START_MS;
            for (uint32_t i = 0; i < work->spec.tasks; i++) {
                emit_op(naive, work, i, MS_OP_GO);
            }
        }
        break;
    case MS_EVENT_TASK_STARTED:
        member->started = true;
        for (uint32_t i = 0; i < work->spec.tasks; i++) {
            ready += work->members[i].started ? 1 : 0;
        }
        if (work->phase == STARTING && ready == work->spec.tasks) {
            work->phase = RUNNING;
            work->until = INT64_MAX;
        }
        break;
    case MS_EVENT_TASK_REFUSED:
        release(naive, work, index);
        if (work->phase != STOPPING) {
            stop(naive, work);
        }
        else {
            settle_stopped(naive, work);
        }
        break;
    case MS_EVENT_TASK_ENDED:
        if (naive->servers[member->server].up) {
            emit_op(naive, work, index, MS_OP_ACK);
        }
        release(naive, work, index);
        if (work->phase == STOPPING) {
            settle_stopped(naive, work);
        }
        else if (event->task.result == MS_TASK_OK) {
            if (++work->finished == work->spec.tasks) {
                finish(naive, work, MS_OUTCOME_DONE, MS_RAN_YES);
            }
        }
        else {
            work->failures += event->task.result == MS_TASK_FAILED ? 1 : 0;
            stop(naive, work);
        }
        break;
    default:
        break;
    }
}

/* Ends members on servers that have been lost for a lease; start time limits. */
static void
timers(struct naive *naive)
{
    for (guint i = naive->queue->len; i > 0; i--) {
        struct work *work = g_ptr_array_index(naive->queue, i - 1);
        bool changed = false;
        for (uint32_t m = 0; m < work->spec.tasks; m++) {
            int server = work->members[m].server;
            if (server >= 0 && !naive->servers[server].up &&
                naive->servers[server].lost_until <= naive->now) {
                release(naive, work, m);
                changed = true;
            }
        }
        if (work->phase != STOPPING && (work->until <= naive->now || changed)) {
            stop(naive, work);
        }
        else if (changed) {
            settle_stopped(naive, work);
        }
    }
}

void
naive_step(struct naive *naive, const struct ms_event *event, int64_t now)
{
    struct work *work = NULL;
    g_array_set_size(naive->actions, 0);
    g_ptr_array_set_size(naive->dead, 0);
    g_ptr_array_set_size(naive->memory, 0);
    naive->now = MAX(naive->now, now);
    switch (event->kind) {
    case MS_EVENT_RULE:
        if (event->rule.kind == MS_RULE_DC && strcmp(event->rule.name, naive->dc) == 0) {
            naive->out = event->rule.out_of_service;
            if (naive->out) {
                all_out(naive);
            }
        }
        break;
    case MS_EVENT_SERVER_UP:
        server_up(naive, &event->server);
        break;
    case MS_EVENT_SERVER_LOST:
        server_lost(naive, event->server.name);
        break;
    case MS_EVENT_SUBMIT:
        submit(naive, &event->submit);
        break;
    case MS_EVENT_CANCEL:
        work = find(naive, event->job);
        if (work != NULL && work->phase == WAITING) {
            finish(naive, work, MS_OUTCOME_CANCELLED, MS_RAN_NO);
        }
        else if (work != NULL) {
            work->cancelled = true;
            stop(naive, work);
        }
        break;
    case MS_EVENT_TOKEN_ANSWER:
        work = find(naive, event->token.id);
        if (work != NULL && work->phase == TOKEN) {
            if (event->token.answer == MS_TOKEN_GRANTED) {
                launch(naive, work);
            }
            else {
                for (uint32_t i = 0; i < work->spec.tasks; i++) {
                    release(naive, work, i);
                }
                settle_stopped(naive, work);
            }
        }
        break;
    case MS_EVENT_PAUSE:
        naive->paused = event->pause;
        break;
    case MS_EVENT_TASK_PREPARED:
    case MS_EVENT_TASK_STARTED:
    case MS_EVENT_TASK_REFUSED:
    case MS_EVENT_TASK_ENDED:
        member_event(naive, event);
        break;
    default:
        break;
    }
    timers(naive);
    pass(naive);
}

size_t
naive_action_count(const struct naive *naive)
{
    return naive->actions->len;
}

const struct ms_action *
naive_action(const struct naive *naive, size_t index)
{
    return &g_array_index(naive->actions, struct ms_action, index);
}

int64_t
naive_next_tick(const struct naive *naive)
{
    int64_t next = INT64_MAX;
    for (guint i = 0; i < naive->queue->len; i++) {
        const struct work *work = g_ptr_array_index(naive->queue, i);
        next = MIN(next, work->until);
        if (work->phase == WAITING && work->not_before > naive->now) {
            next = MIN(next, work->not_before);
        }
        for (uint32_t m = 0; m < work->spec.tasks; m++) {
            int server = work->members[m].server;
            if (server >= 0 && !naive->servers[server].up) {
                next = MIN(next, naive->servers[server].lost_until);
            }
        }
    }
    return next;
}

void
naive_fragmentation(const struct naive *naive, uint32_t *free_accels, uint32_t *stranded,
                    uint32_t *largest_waiting)
{
    const struct work *largest = NULL;
    *free_accels = 0;
    *stranded = 0;
    *largest_waiting = 0;
    for (int i = 0; i < naive->server_count; i++) {
        *free_accels += naive->servers[i].up ? (uint32_t)naive->servers[i].accels : 0;
    }
    for (guint i = 0; i < naive->queue->len; i++) {
        const struct work *work = g_ptr_array_index(naive->queue, i);
        if (work->phase == WAITING &&
            (largest == NULL ||
             work->spec.tasks * work->spec.accels > largest->spec.tasks * largest->spec.accels)) {
            largest = work;
        }
    }
    if (largest == NULL || largest->spec.accels == 0) {
        return;
    }
    *largest_waiting = largest->spec.tasks * largest->spec.accels;
    uint32_t best = 0;
    for (int anchor = 0; anchor < naive->server_count; anchor++) {
        uint32_t fit = 0;
        for (int i = 0; i < naive->server_count; i++) {
            const struct slot *server = &naive->servers[i];
            bool near = largest->spec.adjacency == MS_ADJACENT_DC ||
                        (largest->spec.adjacency == MS_ADJACENT_RACK &&
                         strcmp(server->rack, naive->servers[anchor].rack) == 0) ||
                        i == anchor;
            for (int n = 0; near && fits(server, &largest->spec, n); n++) {
                fit++;
            }
        }
        best = MAX(best, fit);
    }
    *stranded = *free_accels - MIN(best * largest->spec.accels, *free_accels);
}
