/*
 * world_server.c - fake backend servers, and the promises checked on them.
 */
#include <string.h>

#include "naive/world_private.h"

#define OUT_GRACE_MS 3000    /* starts after a data centre was taken out */
#define PARTIAL_SLACK_MS 200 /* beyond a lease, for messages on the way */

static void
note_partial(struct world *world, struct world_job *job)
{
    bool partial = job->running > 0 && job->running < job->spec.tasks;
    if (partial && job->partial_since < 0) {
        job->partial_since = world->now;
    }
    if (job->partial_since >= 0 &&
        world->now - job->partial_since > WORLD_LEASE_MS + PARTIAL_SLACK_MS) {
        world_violated(world,
                       "gang %s ran with only part of its members for %" G_GINT64_FORMAT " ms",
                       job->id, world->now - job->partial_since);
    }
    if (!partial) {
        job->partial_since = -1;
    }
}

static void
note_start(struct world *world, unsigned int dc, struct task *task)
{
    struct world_job *job = world_job_of(world, task->id);
    job->starts[task->member]++;
    if (!job->spec.idempotent && !job->spec.checkpointable && job->starts[task->member] > 1) {
        world_violated(world, "non-idempotent job %s: member %u started twice", job->id,
                       task->member);
    }
    if (job->ended_at >= 0 && job->ran == MS_RAN_NO) {
        world_violated(world, "job %s started after it was answered with not run", job->id);
    }
    const struct dc *where = &world->dcs[dc];
    if (where->out && world->now - where->out_since > OUT_GRACE_MS) {
        world_violated(world, "job %s started in %s, out for %" G_GINT64_FORMAT " ms", job->id,
                       where->name, world->now - where->out_since);
    }
    if (job->running_attempt != task->attempt) {
        job->running_attempt = task->attempt;
    }
    job->running++;
    note_partial(world, job);
    if (job->running == job->spec.tasks && job->started_at < 0) {
        job->started_at = world->now;
    }
}

void
world_note_end(struct world *world, const struct task *task)
{
    struct world_job *job = world_job_of(world, task->id);
    bool useful = task->result == MS_TASK_OK || task->result == MS_TASK_CHECKPOINTED;
    job->running--;
    note_partial(world, job);
    if (useful) {
        struct run run = {task->started_at, world->now, task->spec.accels};
        g_array_append_val(world->runs, run);
    }
    if (task->result == MS_TASK_CHECKPOINTED) {
        job->progress[task->member] = task->resumed_from + world->now - task->started_at;
    }
}

struct task *
world_find_task(const struct server *server, const char *id, uint32_t member, uint32_t attempt)
{
    for (guint i = 0; i < server->tasks->len; i++) {
        struct task *task = g_ptr_array_index(server->tasks, i);
        if (task->member == member && task->attempt == attempt && strcmp(task->id, id) == 0) {
            return task;
        }
    }
    return NULL;
}

void
world_task_end(struct world *world, unsigned int dc, struct server *server, struct task *task,
               enum ms_task_result result)
{
    if (task->state == MS_REPORTED_ENDED) {
        return;
    }
    bool ran = task->state == MS_REPORTED_RUNNING;
    task->state = MS_REPORTED_ENDED;
    task->result = ran ? result : MS_TASK_NOT_STARTED;
    if (ran) {
        world_note_end(world, task);
    }
    world_answer(world, dc, server, MS_EVENT_TASK_ENDED, task);
}

/* A gang resumes from the last checkpoint that all its members have. */
static int64_t
common_progress(const struct world_job *job)
{
    int64_t least = job->progress[0];
    for (uint32_t i = 1; i < job->spec.tasks; i++) {
        least = MIN(least, job->progress[i]);
    }
    return least;
}

static void
task_start(struct world *world, unsigned int dc, unsigned int index, struct task *task)
{
    struct world_job *job = world_job_of(world, task->id);
    struct server *server = &world->dcs[dc].servers[index];
    task->state = MS_REPORTED_RUNNING;
    task->started_at = world->now;
    task->resumed_from = common_progress(job);
    note_start(world, dc, task);
    int64_t left = MAX(job->run_ms - common_progress(job), 1);
    bool fails = server->fails || job->fails;
    task->fails = fails;
    struct event *end = world_schedule(world, world->now + (fails ? 5 : left), TASK_END, dc, index);
    end->job = job;
    end->member = task->member;
    end->attempt = task->attempt;
    end->timer = task->timer = end->number;
}

static bool
has_room(const struct world *world, const struct server *server, const struct ms_job_spec *spec)
{
    uint32_t slots = 0;
    uint32_t accels = 0;
    for (guint i = 0; i < server->tasks->len; i++) {
        const struct task *task = g_ptr_array_index(server->tasks, i);
        if (task->state != MS_REPORTED_ENDED) {
            slots++;
            accels += task->spec.accels;
        }
    }
    return slots < world->options.slots && accels + spec->accels <= world->options.accels;
}

static struct task *
task_new(struct world *world, struct server *server, const struct event *event)
{
    struct task *task = g_new0(struct task, 1);
    g_strlcpy(task->id, event->job->id, MS_ID_MAX);
    task->member = event->member;
    task->attempt = event->attempt;
    task->spec = event->job->spec;
    task->lease_until = world->now + WORLD_LEASE_MS;
    g_ptr_array_add(server->tasks, task);
    struct event *lease = world_schedule(world, task->lease_until, LEASE, event->dc, event->server);
    lease->job = event->job;
    lease->member = task->member;
    lease->attempt = task->attempt;
    return task;
}

void
world_carry_out(struct world *world, const struct event *event)
{
    struct server *server = &world->dcs[event->dc].servers[event->server];
    struct task *task = world_find_task(server, event->job->id, event->member, event->attempt);
    struct task stranger = {.member = event->member, .attempt = event->attempt};
    bool starts = event->op == MS_OP_START || event->op == MS_OP_PREPARE || event->op == MS_OP_GO;
    g_strlcpy(stranger.id, event->job->id, MS_ID_MAX);
    if (server->cut || (event->fence != server->fence && !starts)) {
        return;
    }
    if (event->fence != server->fence) {
        return; /* fenced off; the old holder is gone in this world */
    }
    if (event->op == MS_OP_ACK) {
        if (task != NULL && task->state == MS_REPORTED_ENDED) {
            g_ptr_array_remove(server->tasks, task);
        }
        return;
    }
    char key[MS_ID_MAX + 32];
    g_snprintf(key, sizeof(key), "%s#%u#%u", event->job->id, event->member, event->attempt);
    if (event->op == MS_OP_PREPARE || event->op == MS_OP_START) {
        if (task == NULL && g_hash_table_contains(server->decided, key)) {
            return; /* a doubled message, after the task's end or refusal */
        }
        if (task == NULL && !has_room(world, server, &event->job->spec)) {
            g_hash_table_add(server->decided, g_strdup(key));
            world_answer(world, event->dc, server, MS_EVENT_TASK_REFUSED, &stranger);
            return;
        }
        if (task == NULL) {
            task = task_new(world, server, event);
            g_hash_table_add(server->decided, g_strdup(key));
            if (event->op == MS_OP_START) {
                task_start(world, event->dc, event->server, task);
            }
        }
        world_answer(world, event->dc, server,
                     event->op == MS_OP_START ? MS_EVENT_TASK_STARTED : MS_EVENT_TASK_PREPARED,
                     task);
        return;
    }
    if (task == NULL && event->op != MS_OP_GO && event->op != MS_OP_THROTTLE) {
        /* A stop that overtook its start: remembered, so that the start is refused. */
        task = task_new(world, server, event);
        g_hash_table_add(server->decided, g_strdup(key));
        task->state = MS_REPORTED_PREPARED;
        world_task_end(world, event->dc, server, task, MS_TASK_NOT_STARTED);
        return;
    }
    if (task == NULL) {
        world_answer(world, event->dc, server, MS_EVENT_TASK_REFUSED, &stranger);
        return;
    }
    if (event->op == MS_OP_GO) {
        if (task->state == MS_REPORTED_PREPARED) {
            task_start(world, event->dc, event->server, task);
        }
        world_answer(world, event->dc, server, MS_EVENT_TASK_STARTED, task);
    }
    else if (event->op == MS_OP_STOP) {
        world_task_end(world, event->dc, server, task, MS_TASK_STOPPED);
    }
    else if (event->op == MS_OP_CHECKPOINT) {
        world_task_end(world, event->dc, server, task, MS_TASK_CHECKPOINTED);
    }
}
