/*
 * simulator_server.c - simulated backend servers, and the invariants checked on them.
 */
#include <string.h>

#include "naive/simulator_private.h"

/* Orders in flight may start tasks this long after their data centre went out of service. */
#define DC_OUT_GRACE_MS 3000
/* Messages in flight may keep part of a gang running this long after a lease has expired. */
#define MESSAGE_DELAY_MS 200

/* Invariant: a gang runs with only part of its members no longer than a lease. */
static void
check_partial_gang(struct simulator *sim, struct sim_job *job)
{
    bool is_partial = job->running_count > 0 && job->running_count < job->spec.tasks;
    if (is_partial && job->partial_since < 0) {
        job->partial_since = sim->now;
    }
    if (job->partial_since >= 0 &&
        sim->now - job->partial_since > SIM_LEASE_MS + MESSAGE_DELAY_MS) {
        sim_report_violation(
            sim, "gang %s ran with only part of its members for %" G_GINT64_FORMAT " ms", job->id,
            sim->now - job->partial_since);
    }
    if (!is_partial) {
        job->partial_since = -1;
    }
}

/*
 * Invariants: a job that is neither idempotent nor checkpointable starts once,
 * no job starts after an outcome that says that it did not run, and none starts
 * in a data centre that is out of service.
 */
static void
record_task_start(struct simulator *sim, unsigned int dc, struct task *task)
{
    struct sim_job *job = sim_find_job(sim, task->id);
    job->start_counts[task->member_index]++;
    if (!job->spec.idempotent && !job->spec.checkpointable &&
        job->start_counts[task->member_index] > 1) {
        sim_report_violation(sim, "non-idempotent job %s: member %u started twice", job->id,
                             task->member_index);
    }
    if (job->ended_at >= 0 && job->ran == MS_RAN_NO) {
        sim_report_violation(sim, "job %s started after an outcome that says that it did not run",
                             job->id);
    }
    const struct dc *start_dc = &sim->dcs[dc];
    if (start_dc->out_of_service && sim->now - start_dc->out_of_service_since > DC_OUT_GRACE_MS) {
        sim_report_violation(sim,
                             "job %s started in %s, out of service for %" G_GINT64_FORMAT " ms",
                             job->id, start_dc->name, sim->now - start_dc->out_of_service_since);
    }
    if (job->running_attempt != task->attempt) {
        job->running_attempt = task->attempt;
    }
    job->running_count++;
    check_partial_gang(sim, job);
    if (job->running_count == job->spec.tasks && job->started_at < 0) {
        job->started_at = sim->now;
    }
}

void
sim_record_task_end(struct simulator *sim, const struct task *task)
{
    struct sim_job *job = sim_find_job(sim, task->id);
    bool is_useful = task->result == MS_TASK_OK || task->result == MS_TASK_CHECKPOINTED;
    job->running_count--;
    check_partial_gang(sim, job);
    if (is_useful) {
        struct useful_period period = {task->started_at, sim->now, task->spec.accels};
        g_array_append_val(sim->useful_periods, period);
    }
    if (task->result == MS_TASK_CHECKPOINTED) {
        job->progress_ms[task->member_index] = task->resumed_from_ms + sim->now - task->started_at;
    }
}

struct task *
sim_find_task(const struct server *server, const char *id, uint32_t member_index, uint32_t attempt)
{
    for (guint i = 0; i < server->tasks->len; i++) {
        struct task *task = g_ptr_array_index(server->tasks, i);
        if (task->member_index == member_index && task->attempt == attempt &&
            strcmp(task->id, id) == 0) {
            return task;
        }
    }
    return NULL;
}

void
sim_end_task(struct simulator *sim, unsigned int dc, struct server *server, struct task *task,
             enum ms_task_result result)
{
    if (task->state == MS_REPORTED_ENDED) {
        return;
    }
    bool was_running = task->state == MS_REPORTED_RUNNING;
    task->state = MS_REPORTED_ENDED;
    task->result = was_running ? result : MS_TASK_NOT_STARTED;
    if (was_running) {
        sim_record_task_end(sim, task);
    }
    sim_send_answer(sim, dc, server, MS_EVENT_TASK_ENDED, task);
}

/* Progress at the last checkpoint that all members of the gang have; it resumes from there. */
static int64_t
gang_progress_ms(const struct sim_job *job)
{
    int64_t least_ms = job->progress_ms[0];
    for (uint32_t i = 1; i < job->spec.tasks; i++) {
        least_ms = MIN(least_ms, job->progress_ms[i]);
    }
    return least_ms;
}

/* Runs a prepared task and schedules its end; a task that will fail does so after 5 ms. */
static void
start_task(struct simulator *sim, unsigned int dc, unsigned int server_index, struct task *task)
{
    struct sim_job *job = sim_find_job(sim, task->id);
    struct server *server = &sim->dcs[dc].servers[server_index];
    task->state = MS_REPORTED_RUNNING;
    task->started_at = sim->now;
    task->resumed_from_ms = gang_progress_ms(job);
    record_task_start(sim, dc, task);
    int64_t remaining_ms = MAX(job->run_time_ms - gang_progress_ms(job), 1);
    bool will_fail = server->fails_tasks || job->always_fails;
    task->will_fail = will_fail;
    struct event *end = sim_schedule(sim, sim->now + (will_fail ? 5 : remaining_ms), EVENT_TASK_END,
                                     dc, server_index);
    end->job = job;
    end->member_index = task->member_index;
    end->attempt = task->attempt;
    end->end_event_sequence = task->end_event_sequence = end->sequence;
}

/* Whether the server has a slot and accelerators left for one more task. */
static bool
fits_on_server(const struct simulator *sim, const struct server *server,
               const struct ms_job_spec *spec)
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
    return slots < sim->options.slots_per_server &&
           accels + spec->accels <= sim->options.accels_per_server;
}

/* Adds a prepared task whose lease runs from now. */
static struct task *
add_task(struct simulator *sim, struct server *server, const struct event *event)
{
    struct task *task = g_new0(struct task, 1);
    g_strlcpy(task->id, event->job->id, MS_ID_MAX);
    task->member_index = event->member_index;
    task->attempt = event->attempt;
    task->spec = event->job->spec;
    task->lease_expires_at = sim->now + SIM_LEASE_MS;
    g_ptr_array_add(server->tasks, task);
    struct event *expiry =
        sim_schedule(sim, task->lease_expires_at, EVENT_LEASE_CHECK, event->dc, event->server);
    expiry->job = event->job;
    expiry->member_index = task->member_index;
    expiry->attempt = task->attempt;
    return task;
}

void
sim_carry_out_order(struct simulator *sim, const struct event *event)
{
    struct server *server = &sim->dcs[event->dc].servers[event->server];
    struct task *task = sim_find_task(server, event->job->id, event->member_index, event->attempt);
    struct task unknown_task = {.member_index = event->member_index, .attempt = event->attempt};
    bool is_start_op =
        event->op == MS_OP_START || event->op == MS_OP_PREPARE || event->op == MS_OP_GO;
    g_strlcpy(unknown_task.id, event->job->id, MS_ID_MAX);
    if (server->disconnected || (event->fencing_token != server->fencing_token && !is_start_op)) {
        return;
    }
    if (event->fencing_token != server->fencing_token) {
        return; /* stale: its leader is gone or has lost the server since */
    }
    if (event->op == MS_OP_ACK) {
        if (task != NULL && task->state == MS_REPORTED_ENDED) {
            g_ptr_array_remove(server->tasks, task);
        }
        return;
    }
    char decided_key[MS_ID_MAX + 32];
    g_snprintf(decided_key, sizeof(decided_key), "%s#%u#%u", event->job->id, event->member_index,
               event->attempt);
    if (event->op == MS_OP_PREPARE || event->op == MS_OP_START) {
        if (task == NULL && g_hash_table_contains(server->decided_starts, decided_key)) {
            return; /* a duplicate that arrives after the end or refusal of the task */
        }
        if (task == NULL && !fits_on_server(sim, server, &event->job->spec)) {
            g_hash_table_add(server->decided_starts, g_strdup(decided_key));
            sim_send_answer(sim, event->dc, server, MS_EVENT_TASK_REFUSED, &unknown_task);
            return;
        }
        if (task == NULL) {
            task = add_task(sim, server, event);
            g_hash_table_add(server->decided_starts, g_strdup(decided_key));
            if (event->op == MS_OP_START) {
                start_task(sim, event->dc, event->server, task);
            }
        }
        sim_send_answer(sim, event->dc, server,
                        event->op == MS_OP_START ? MS_EVENT_TASK_STARTED : MS_EVENT_TASK_PREPARED,
                        task);
        return;
    }
    if (task == NULL && event->op != MS_OP_GO && event->op != MS_OP_THROTTLE) {
        /* A stop that arrived before its start: recorded, so that the start is refused. */
        task = add_task(sim, server, event);
        g_hash_table_add(server->decided_starts, g_strdup(decided_key));
        task->state = MS_REPORTED_PREPARED;
        sim_end_task(sim, event->dc, server, task, MS_TASK_NOT_STARTED);
        return;
    }
    if (task == NULL) {
        sim_send_answer(sim, event->dc, server, MS_EVENT_TASK_REFUSED, &unknown_task);
        return;
    }
    if (event->op == MS_OP_GO) {
        if (task->state == MS_REPORTED_PREPARED) {
            start_task(sim, event->dc, event->server, task);
        }
        sim_send_answer(sim, event->dc, server, MS_EVENT_TASK_STARTED, task);
    }
    else if (event->op == MS_OP_STOP) {
        sim_end_task(sim, event->dc, server, task, MS_TASK_STOPPED);
    }
    else if (event->op == MS_OP_CHECKPOINT) {
        sim_end_task(sim, event->dc, server, task, MS_TASK_CHECKPOINTED);
    }
}
