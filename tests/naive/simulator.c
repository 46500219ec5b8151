/*
 * simulator.c - the event queue of the simulator and the handling of its events.
 */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "naive/reference_scheduler.h"
#include "naive/simulator_private.h"

#define SAMPLE_MS 1000     /* between samples of the fragmentation */
#define LEADER_PAUSE_MS 50 /* a new leader starts no jobs for this time */

/* ---- the event queue, a binary heap ---- */

static bool
event_precedes(const struct event *a, const struct event *b)
{
    return a->due_at != b->due_at ? a->due_at < b->due_at : a->sequence < b->sequence;
}

static void
heap_push(struct simulator *sim, struct event *event)
{
    GPtrArray *heap = sim->event_queue;
    g_ptr_array_add(heap, event);
    guint i = heap->len - 1;
    while (i > 0 && event_precedes(heap->pdata[i], heap->pdata[(i - 1) / 2])) {
        gpointer other = heap->pdata[(i - 1) / 2];
        heap->pdata[(i - 1) / 2] = heap->pdata[i];
        heap->pdata[i] = other;
        i = (i - 1) / 2;
    }
}

static struct event *
heap_pop(struct simulator *sim)
{
    GPtrArray *heap = sim->event_queue;
    struct event *first = heap->pdata[0];
    heap->pdata[0] = heap->pdata[heap->len - 1];
    g_ptr_array_set_size(heap, (gint)heap->len - 1);
    guint i = 0;
    for (;;) {
        guint least = i;
        for (guint child = 2 * i + 1; child <= 2 * i + 2 && child < heap->len; child++) {
            if (event_precedes(heap->pdata[child], heap->pdata[least])) {
                least = child;
            }
        }
        if (least == i) {
            return first;
        }
        gpointer other = heap->pdata[least];
        heap->pdata[least] = heap->pdata[i];
        heap->pdata[i] = other;
        i = least;
    }
}

struct event *
sim_schedule(struct simulator *sim, int64_t at, enum event_kind kind, unsigned int dc,
             unsigned int server)
{
    struct event *event = g_new0(struct event, 1);
    event->due_at = MAX(at, sim->now);
    event->sequence = sim->next_sequence++;
    event->kind = kind;
    event->dc = dc;
    event->server = server;
    heap_push(sim, event);
    return event;
}

static void
event_free(void *memory)
{
    struct event *event = memory;
    g_free(event->message);
    g_free(event);
}

void
sim_report_violation(struct simulator *sim, const char *format, ...)
{
    if (sim->violation[0] != '\0') {
        return;
    }
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(sim->violation, sizeof(sim->violation), format, arguments);
    va_end(arguments);
}

/* ---- creation ---- */

static void step_scheduler(struct simulator *sim, unsigned int dc_index,
                           const struct ms_event *message);

struct ms_event *
sim_copy_message(const struct ms_event *message)
{
    return g_memdup2(message, sizeof(*message));
}

static void
create_scheduler(struct simulator *sim, struct dc *dc)
{
    if (sim->options.scheduler == SIM_SCHEDULER_CORE) {
        dc->core = ms_sched_new(dc->name, NULL, NULL);
    }
    else {
        dc->reference = ref_sched_new(dc->name);
    }
}

static void
free_scheduler(struct dc *dc)
{
    ms_sched_free(dc->core);
    dc->core = NULL;
    if (dc->reference != NULL) {
        ref_sched_free(dc->reference);
        dc->reference = NULL;
    }
}

/* Announces a server to the leader, under a new fencing token, and reports all its tasks. */
static void
connect_server(struct simulator *sim, unsigned int dc, struct server *server)
{
    struct ms_event message = {.kind = MS_EVENT_SERVER_UP};
    server->fencing_token++;
    server->known_to_leader = true;
    g_hash_table_remove_all(server->decided_starts);
    g_strlcpy(message.server.name, server->name, MS_NAME_MAX);
    g_strlcpy(message.server.rack, server->rack, MS_NAME_MAX);
    message.server.slots = sim->options.slots_per_server;
    message.server.accels = sim->options.accels_per_server;
    message.server.reported_task_count = server->tasks->len;
    step_scheduler(sim, dc, &message);
    /* Copied first: the actions of the scheduler may change the list. */
    GArray *reports = g_array_new(FALSE, FALSE, sizeof(struct ms_event));
    for (guint i = 0; i < server->tasks->len; i++) {
        const struct task *task = g_ptr_array_index(server->tasks, i);
        struct ms_event reported = {.kind = MS_EVENT_TASK_REPORTED};
        g_strlcpy(reported.task.server, server->name, MS_NAME_MAX);
        g_strlcpy(reported.task.id, task->id, MS_ID_MAX);
        reported.task.member_index = task->member_index;
        reported.task.attempt = task->attempt;
        reported.task.reported_state = task->state;
        reported.task.result = task->result;
        reported.task.spec = task->spec;
        g_array_append_val(reports, reported);
    }
    for (guint i = 0; i < reports->len; i++) {
        step_scheduler(sim, dc, &g_array_index(reports, struct ms_event, i));
    }
    g_array_free(reports, TRUE);
    if (server->leaving) {
        struct ms_event leaving = {.kind = MS_EVENT_SERVER_LEAVING};
        g_strlcpy(leaving.server.name, server->name, MS_NAME_MAX);
        step_scheduler(sim, dc, &leaving);
    }
}

struct simulator *
sim_new(const struct sim_options *options)
{
    struct simulator *sim = g_new0(struct simulator, 1);
    sim->options = *options;
    sim->random = g_rand_new_with_seed(options->seed);
    sim->event_queue = g_ptr_array_new();
    sim->jobs = g_ptr_array_new_with_free_func(g_free);
    sim->jobs_by_id = g_hash_table_new(g_str_hash, g_str_equal);
    sim->rules = g_ptr_array_new_with_free_func(g_free);
    sim->useful_periods = g_array_new(FALSE, FALSE, sizeof(struct useful_period));
    sim->step_times_us = g_array_new(FALSE, FALSE, sizeof(float));
    for (unsigned int d = 0; d < options->dc_count; d++) {
        struct dc *dc = &sim->dcs[d];
        g_snprintf(dc->name, sizeof(dc->name), "dc-%u", d + 1);
        dc->servers = g_new0(struct server, options->servers_per_dc);
        create_scheduler(sim, dc);
        for (unsigned int s = 0; s < options->servers_per_dc; s++) {
            struct server *server = &dc->servers[s];
            g_snprintf(server->name, MS_NAME_MAX, "%s-s%04u", dc->name, s);
            g_snprintf(server->rack, MS_NAME_MAX, "%s-r%u", dc->name,
                       s / options->servers_per_rack);
            server->tasks = g_ptr_array_new_with_free_func(g_free);
            server->decided_starts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
            connect_server(sim, d, server);
        }
        sim_schedule(sim, SIM_LEASE_RENEW_MS, EVENT_LEASE_RENEWAL, d, 0);
    }
    sim_schedule(sim, SAMPLE_MS, EVENT_SAMPLE, 0, 0);
    return sim;
}

void
sim_free(struct simulator *sim)
{
    g_ptr_array_foreach(sim->event_queue, (GFunc)(void (*)(void))event_free, NULL);
    g_ptr_array_free(sim->event_queue, TRUE);
    for (unsigned int d = 0; d < sim->options.dc_count; d++) {
        free_scheduler(&sim->dcs[d]);
        for (unsigned int s = 0; s < sim->options.servers_per_dc; s++) {
            g_ptr_array_free(sim->dcs[d].servers[s].tasks, TRUE);
            g_hash_table_destroy(sim->dcs[d].servers[s].decided_starts);
        }
        g_free(sim->dcs[d].servers);
    }
    g_ptr_array_free(sim->jobs, TRUE);
    g_hash_table_destroy(sim->jobs_by_id);
    g_ptr_array_free(sim->rules, TRUE);
    g_array_free(sim->useful_periods, TRUE);
    g_array_free(sim->step_times_us, TRUE);
    g_rand_free(sim->random);
    g_free(sim);
}

int
sim_random(struct simulator *sim, int from, int below)
{
    return g_rand_int_range(sim->random, from, below);
}

/* ---- messages ---- */

int64_t
sim_random_delay(struct simulator *sim)
{
    return sim->options.max_delay_ms > 1 ? sim_random(sim, 1, (int)sim->options.max_delay_ms) : 1;
}

bool
sim_chance(struct simulator *sim, double probability)
{
    return probability > 0 && g_rand_double(sim->random) < probability;
}

void
sim_send_to_scheduler(struct simulator *sim, unsigned int dc, const struct ms_event *message,
                      int64_t delay_ms)
{
    struct event *event = sim_schedule(sim, sim->now + delay_ms, EVENT_MESSAGE_ARRIVES, dc, 0);
    event->leader_epoch = sim->dcs[dc].leader_epoch;
    event->message = sim_copy_message(message);
}

void
sim_send_answer(struct simulator *sim, unsigned int dc, const struct server *server,
                enum ms_event_kind kind, const struct task *task)
{
    struct ms_event message = {.kind = kind};
    if (server->disconnected || sim_chance(sim, sim->options.loss_probability)) {
        return;
    }
    g_strlcpy(message.task.server, server->name, MS_NAME_MAX);
    g_strlcpy(message.task.id, task->id, MS_ID_MAX);
    message.task.member_index = task->member_index;
    message.task.attempt = task->attempt;
    message.task.result = task->result;
    sim_send_to_scheduler(sim, dc, &message, sim_random_delay(sim));
    if (sim_chance(sim, sim->options.duplicate_probability)) {
        sim_send_to_scheduler(sim, dc, &message, sim_random_delay(sim));
    }
}

struct sim_job *
sim_find_job(const struct simulator *sim, const char *id)
{
    return g_hash_table_lookup(sim->jobs_by_id, id);
}

/* Runs one step of a scheduler, executes its actions and schedules its next tick. */
static void
step_scheduler(struct simulator *sim, unsigned int dc_index, const struct ms_event *message)
{
    struct dc *dc = &sim->dcs[dc_index];
    char text[TEXT_MAX];
    if (sim->options.trace_file != NULL && dc_index == sim->options.trace_dc) {
        char *line = ms_trace_event(message, sim->now);
        fprintf(sim->options.trace_file, "%s\n", line);
        ms_trace_release(line);
    }
    int64_t started_us = g_get_monotonic_time();
    if (dc->core != NULL) {
        ms_sched_step(dc->core, message, sim->now);
    }
    else {
        ref_sched_step(dc->reference, message, sim->now);
    }
    float elapsed_us = (float)(g_get_monotonic_time() - started_us);
    g_array_append_val(sim->step_times_us, elapsed_us);
    size_t count =
        dc->core != NULL ? ms_sched_action_count(dc->core) : ref_sched_action_count(dc->reference);
    for (size_t i = 0; i < count; i++) {
        sim_apply_action(sim, dc_index,
                         dc->core != NULL ? ms_sched_action(dc->core, i)
                                          : ref_sched_action(dc->reference, i));
    }
    if (sim->options.check_invariants && dc->core != NULL &&
        ms_sched_check(dc->core, text, sizeof(text)) != MS_OK) {
        sim_report_violation(sim, "%s", text);
    }
    int64_t next_tick_at =
        dc->core != NULL ? ms_sched_next_tick(dc->core) : ref_sched_next_tick(dc->reference);
    /* Only the earliest tick needs an event, since each step computes the next one. */
    if (next_tick_at != INT64_MAX &&
        (dc->next_tick_at <= sim->now || next_tick_at < dc->next_tick_at)) {
        dc->next_tick_at = MAX(next_tick_at, sim->now + 1);
        sim_schedule(sim, MAX(next_tick_at, sim->now + 1), EVENT_TICK, dc_index, 0)->leader_epoch =
            dc->leader_epoch;
    }
}

/* ---- events ---- */

/*
 * Renews the leases of all tasks on connected servers, which also repeat the results that
 * have not been acknowledged.
 */
static void
renew_leases(struct simulator *sim, unsigned int dc)
{
    for (unsigned int s = 0; s < sim->options.servers_per_dc; s++) {
        struct server *server = &sim->dcs[dc].servers[s];
        if (server->disconnected || !server->known_to_leader) {
            continue;
        }
        for (guint i = 0; i < server->tasks->len; i++) {
            struct task *task = g_ptr_array_index(server->tasks, i);
            if (!task->lease_withheld) {
                task->lease_expires_at = sim->now + SIM_LEASE_MS;
            }
            if (task->state == MS_REPORTED_ENDED) {
                sim_send_answer(sim, dc, server, MS_EVENT_TASK_ENDED, task);
            }
        }
    }
    sim_schedule(sim, sim->now + SIM_LEASE_RENEW_MS, EVENT_LEASE_RENEWAL, dc, 0);
}

/* Ends a task whose lease has expired; otherwise schedules the next check for its expiry. */
static void
check_lease(struct simulator *sim, const struct event *event)
{
    struct server *server = &sim->dcs[event->dc].servers[event->server];
    struct task *task = sim_find_task(server, event->job->id, event->member_index, event->attempt);
    if (task == NULL || task->state == MS_REPORTED_ENDED) {
        return;
    }
    if (task->lease_expires_at <= sim->now) {
        sim_end_task(sim, event->dc, server, task, MS_TASK_LEASE_EXPIRED);
        return;
    }
    struct event *next =
        sim_schedule(sim, task->lease_expires_at, EVENT_LEASE_CHECK, event->dc, event->server);
    next->job = event->job;
    next->member_index = event->member_index;
    next->attempt = event->attempt;
}

static void
send_server_event(struct simulator *sim, unsigned int dc, const struct server *server,
                  enum ms_event_kind kind)
{
    struct ms_event message = {.kind = kind};
    g_strlcpy(message.server.name, server->name, MS_NAME_MAX);
    step_scheduler(sim, dc, &message);
}

/* All tasks of the server end; the leader learns it at once unless it is disconnected. */
static void
restart_server(struct simulator *sim, unsigned int dc, struct server *server)
{
    for (guint i = 0; i < server->tasks->len; i++) {
        struct task *task = g_ptr_array_index(server->tasks, i);
        if (task->state == MS_REPORTED_RUNNING) {
            task->state = MS_REPORTED_ENDED;
            task->result = MS_TASK_LEASE_EXPIRED;
            sim_record_task_end(sim, task);
        }
    }
    g_ptr_array_set_size(server->tasks, 0);
    server->restarted_while_disconnected = server->disconnected;
    if (!server->disconnected) {
        if (server->known_to_leader) {
            send_server_event(sim, dc, server, MS_EVENT_SERVER_LOST);
        }
        connect_server(sim, dc, server);
    }
}

/*
 * Replaces the scheduler of a data centre.  As after a real change of leader,
 * the new one knows only the rules of the log, the reports of the connected
 * servers and the jobs that are submitted again.
 */
static void
change_leader(struct simulator *sim, unsigned int dc_index)
{
    struct dc *dc = &sim->dcs[dc_index];
    struct ms_event pause = {.kind = MS_EVENT_PAUSE, .pause = true};
    free_scheduler(dc);
    create_scheduler(sim, dc);
    dc->leader_epoch++;
    dc->next_tick_at = 0;
    step_scheduler(sim, dc_index, &pause);
    for (guint i = 0; i < sim->rules->len; i++) {
        step_scheduler(sim, dc_index, g_ptr_array_index(sim->rules, i));
    }
    for (unsigned int s = 0; s < sim->options.servers_per_dc; s++) {
        struct server *server = &dc->servers[s];
        server->known_to_leader = false;
        if (!server->disconnected) {
            connect_server(sim, dc_index, server);
        }
    }
    for (guint i = 0; i < sim->jobs->len; i++) {
        struct sim_job *job = g_ptr_array_index(sim->jobs, i);
        if (job->dc == dc_index && job->submitted_at <= sim->now && job->ended_at < 0) {
            uint32_t start_count = 0;
            for (uint32_t m = 0; m < job->spec.tasks; m++) {
                start_count += job->start_counts[m];
            }
            /* A job that is not idempotent starts only with a run token. */
            sim_dispatch(sim, job, dc_index,
                         job->spec.idempotent ? start_count > 0 : job->token_dc >= 0);
        }
    }
    pause.pause = false;
    sim_send_to_scheduler(sim, dc_index, &pause, LEADER_PAUSE_MS);
}

/*
 * Passes a rule to all schedulers.  All data centres are updated before the first step,
 * because the steps may relocate jobs from one to another.
 */
static void
apply_rule(struct simulator *sim, const struct event *event)
{
    g_ptr_array_add(sim->rules, sim_copy_message(event->message));
    for (unsigned int d = 0; d < sim->options.dc_count; d++) {
        const struct ms_rule *rule = &event->message->rule;
        struct dc *dc = &sim->dcs[d];
        if (rule->kind == MS_RULE_DC && strcmp(rule->name, dc->name) == 0) {
            dc->out_of_service = rule->out_of_service;
            dc->out_of_service_since = sim->now;
        }
    }
    for (unsigned int d = 0; d < sim->options.dc_count; d++) {
        step_scheduler(sim, d, event->message);
    }
}

/* Adds one sample of each data centre in service, and schedules the next sample. */
static void
sample_fragmentation(struct simulator *sim)
{
    for (unsigned int d = 0; d < sim->options.dc_count; d++) {
        struct dc *dc = &sim->dcs[d];
        uint32_t available_accels = 0;
        uint32_t stranded = 0;
        uint32_t waiting = 0;
        if (dc->core != NULL) {
            struct ms_sched_stats stats;
            ms_sched_stats(dc->core, &stats);
            available_accels = stats.accels_free;
            stranded = stats.stranded;
            waiting = stats.largest_waiting;
        }
        else {
            ref_sched_fragmentation(dc->reference, &available_accels, &stranded, &waiting);
        }
        if (available_accels > 0 && waiting > 0 && !dc->out_of_service) {
            sim->fragmentation_sum += (double)stranded / available_accels;
            sim->fragmentation_sample_count++;
        }
    }
    sim_schedule(sim, sim->now + SAMPLE_MS, EVENT_SAMPLE, 0, 0);
}

static void
handle_event(struct simulator *sim, struct event *event)
{
    struct server *server = &sim->dcs[event->dc].servers[event->server];
    struct ms_event message = {.kind = MS_EVENT_TICK};
    switch (event->kind) {
    case EVENT_SUBMIT:
        event->job->submitted_at = sim->now;
        sim_dispatch(sim, event->job, event->job->dc, false);
        break;
    case EVENT_CANCEL:
        message.kind = MS_EVENT_CANCEL;
        g_strlcpy(message.job, event->job->id, MS_ID_MAX);
        step_scheduler(sim, event->job->dc, &message);
        break;
    case EVENT_RULE:
        apply_rule(sim, event);
        break;
    case EVENT_MESSAGE_ARRIVES:
        if (event->leader_epoch == sim->dcs[event->dc].leader_epoch) {
            step_scheduler(sim, event->dc, event->message);
        }
        break;
    case EVENT_ORDER_ARRIVES:
        sim_carry_out_order(sim, event);
        break;
    case EVENT_TASK_END: {
        struct task *task =
            sim_find_task(server, event->job->id, event->member_index, event->attempt);
        if (task != NULL && task->end_event_sequence == event->end_event_sequence) {
            sim_end_task(sim, event->dc, server, task,
                         task->will_fail ? MS_TASK_FAILED : MS_TASK_OK);
        }
        break;
    }
    case EVENT_LEASE_CHECK:
        check_lease(sim, event);
        break;
    case EVENT_LEASE_RENEWAL:
        renew_leases(sim, event->dc);
        break;
    case EVENT_DISCONNECT:
        server->disconnected = true;
        sim_schedule(sim, sim->now + SIM_SERVER_TIMEOUT_MS, EVENT_SERVER_TIMEOUT, event->dc,
                     event->server);
        break;
    case EVENT_SERVER_TIMEOUT:
        if (server->disconnected && server->known_to_leader) {
            server->known_to_leader = false;
            send_server_event(sim, event->dc, server, MS_EVENT_SERVER_LOST);
        }
        break;
    case EVENT_RECONNECT:
        server->disconnected = false;
        if (server->restarted_while_disconnected && server->known_to_leader) {
            send_server_event(sim, event->dc, server, MS_EVENT_SERVER_LOST);
            server->known_to_leader = false;
        }
        server->restarted_while_disconnected = false;
        if (!server->known_to_leader) {
            connect_server(sim, event->dc, server);
        }
        break;
    case EVENT_SERVER_RESTART:
        restart_server(sim, event->dc, server);
        break;
    case EVENT_TASKS_FAIL:
        server->fails_tasks = true;
        break;
    case EVENT_TASKS_RECOVER:
        server->fails_tasks = false;
        break;
    case EVENT_LOG_OUTAGE:
        sim->log_outage = true;
        break;
    case EVENT_LOG_RECOVERY:
        sim->log_outage = false;
        break;
    case EVENT_LEADER_CHANGE:
        change_leader(sim, event->dc);
        break;
    case EVENT_SERVER_LEAVING:
        server->leaving = true;
        send_server_event(sim, event->dc, server, MS_EVENT_SERVER_LEAVING);
        break;
    case EVENT_TICK:
        if (event->leader_epoch == sim->dcs[event->dc].leader_epoch) {
            step_scheduler(sim, event->dc, &message);
        }
        break;
    case EVENT_SAMPLE:
        sample_fragmentation(sim);
        break;
    }
}

void
sim_run(struct simulator *sim, int64_t until)
{
    while (sim->event_queue->len > 0 && sim->violation[0] == '\0') {
        if (((struct event *)sim->event_queue->pdata[0])->due_at > until) {
            break;
        }
        struct event *event = heap_pop(sim);
        sim->now = event->due_at;
        sim->handled_count++;
        handle_event(sim, event);
        event_free(event);
    }
    sim->now = MAX(sim->now, until);
}
