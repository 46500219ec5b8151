/*
 * world_server.c - what the model's servers do, and what they must never see.
 */
#include <stdio.h>
#include <string.h>

#include "batch/world_private.h"

#define GANG_TIMEOUT_MS 3000
#define STOP_MS 300

bool
world_chance(struct world *world, int per_mille)
{
    return (int)world_random(&world->random, 1000) < per_mille;
}

void
world_break_promise(struct world *world, const char *rule, const char *task)
{
    if (world->broken[0] == '\0') {
        snprintf(world->broken, sizeof(world->broken), "%s: %s at %" G_GINT64_FORMAT, rule, task,
                 world->now);
    }
}

/* Traces what a server does. */
void
world_trace(const struct world *world, const struct model_server *server, const char *what,
            const char *task)
{
    if (world->line != NULL) {
        fprintf(world->line, "%8" G_GINT64_FORMAT " model %s %s %s\n", world->now, server->entry.id,
                what, task);
    }
}

/* The part of a task's name that its gang shares. */
static size_t
gang_length(const char *task)
{
    return (size_t)(strrchr(task, '.') - task) + 1;
}

static const struct ms_step *
step_of(const struct world *world, const char *task)
{
    char id[MS_JOB_ID_MAX];
    uint32_t number = 0;
    uint32_t step = 0;
    uint32_t index = 0;
    if (ms_task_name_parse(task, id, &number, &step, &index) != MS_OK) {
        return NULL;
    }
    const struct ms_batch_spec *spec = g_hash_table_lookup(world->specs, id);
    return spec != NULL && step < spec->step_count ? &spec->steps[step] : NULL;
}

static void
end_run(struct world *world, struct model_server *server, guint index, enum ms_run_end how)
{
    struct run *run = &g_array_index(server->runs, struct run, index);
    struct ms_reported_end row = {.position = ++server->positions, .run = run->run, .end = how};
    g_strlcpy(row.task, run->task, sizeof(row.task));
    g_array_append_val(server->ended, row);
    g_hash_table_insert(server->barred, g_strdup(run->task), GUINT_TO_POINTER(run->run));
    world_trace(world, server, ms_run_end_name(how), row.task);
    world->counts.done += how == MS_RUN_END_DONE;
    world->counts.failed += how == MS_RUN_END_FAILED;
    world->counts.stopped += how == MS_RUN_END_STOPPED;
    g_array_remove_index(server->runs, index);
}

/* Ends the other members of a gang after one has ended. */
static void
break_gang(struct world *world, const char *task, uint32_t number, enum ms_run_end how)
{
    size_t length = gang_length(task);
    for (size_t s = 0; s < world->server_count; s++) {
        struct model_server *server = &world->servers[s];
        for (guint i = server->runs->len; i > 0; i--) {
            const struct run *run = &g_array_index(server->runs, struct run, i - 1);
            if (run->run == number && strncmp(run->task, task, length) == 0) {
                end_run(world, server, i - 1, how);
            }
        }
    }
}

/* A gang that is complete begins to work. */
static void
begin_gang(struct world *world, const char *task, uint32_t number, uint32_t count)
{
    size_t length = gang_length(task);
    uint32_t present = 0;
    for (int pass = 0; pass < 2; pass++) {
        for (size_t s = 0; s < world->server_count; s++) {
            GArray *runs = world->servers[s].runs;
            for (guint i = 0; i < runs->len; i++) {
                struct run *run = &g_array_index(runs, struct run, i);
                if (run->run != number || strncmp(run->task, task, length) != 0) {
                    continue;
                }
                present += pass == 0;
                if (pass == 1) {
                    run->ends_at = world->now + 1500;
                }
            }
        }
        if (present < count) {
            return;
        }
    }
}

/* What a start must not break. */
static void
check_start(struct world *world, const struct model_server *server, const struct item *order)
{
    const char *task = order->action->task;
    const struct ms_step *step = step_of(world, task);
    char id[MS_JOB_ID_MAX];
    uint32_t number = 0;
    uint32_t step_number = 0;
    uint32_t index = 0;
    if (step == NULL || ms_task_name_parse(task, id, &number, &step_number, &index) != MS_OK) {
        world_break_promise(world, "started what nobody asked for", task);
        return;
    }
    const struct ms_batch_spec *spec = g_hash_table_lookup(world->specs, id);
    if (strcmp(spec->payload, order->action->payload) != 0) {
        world_break_promise(world, "another payload", task);
    }
    if (g_hash_table_contains(world->done, task)) {
        world_break_promise(world, "started after an acknowledged end", task);
    }
    if (GPOINTER_TO_UINT(g_hash_table_lookup(world->failed, task)) >= ATTEMPTS) {
        world_break_promise(world, "started after its last attempt", task);
    }
    for (size_t k = 0; k < step->depends_on_count; k++) {
        for (uint32_t i = 0; i < spec->steps[step->depends_on[k]].task_count; i++) {
            char earlier[MS_TASK_NAME_MAX];
            ms_task_name_format(earlier, id, number, step->depends_on[k], i);
            if (!g_hash_table_contains(world->ends, earlier)) {
                world_break_promise(world, "started before an earlier step was done", task);
            }
        }
    }
    for (size_t s = 0; s < world->server_count; s++) {
        const GArray *runs = world->servers[s].runs;
        for (guint i = 0; i < runs->len; i++) {
            if (strcmp(g_array_index(runs, struct run, i).task, task) == 0) {
                world_break_promise(world, "two runs at the same time", task);
            }
        }
    }
    struct ms_resources used = step->task_resources;
    for (guint i = 0; i < server->runs->len; i++) {
        const struct ms_step *other =
            step_of(world, g_array_index(server->runs, struct run, i).task);
        ms_resources_add(&used, &other->task_resources, 1);
    }
    if (!ms_resources_fit(&server->entry.capacity, &used)) {
        world_break_promise(world, "a server over its capacity", task);
    }
}

enum ms_order_result
world_serve_start(struct world *world, struct model_server *server, const struct item *order)
{
    const struct ms_engine_action *action = order->action;
    for (guint i = 0; i < server->runs->len; i++) {
        const struct run *run = &g_array_index(server->runs, struct run, i);
        if (strcmp(run->task, action->task) == 0 && run->run == action->run) {
            return MS_ORDER_OK;
        }
    }
    if (action->run <= GPOINTER_TO_UINT(g_hash_table_lookup(server->barred, action->task))) {
        return MS_ORDER_STALE_RUN;
    }
    if (action->deadline_ms <= world->now) {
        return MS_ORDER_DEADLINE_PASSED;
    }
    world_trace(world, server, "start", action->task);
    /*
     * A server that has just started anew knows no fence: until its first
     * renewal nothing can keep a late order from being carried out there.
     */
    bool unfenced_late = order->no_answer && server->fence <= action->fence && server->held == 0;
    if (!unfenced_late) {
        check_start(world, server, order);
    }
    const struct ms_step *step = step_of(world, action->task);
    struct run run = {.run = action->run, .came_at = world->now, .gang = step->gang};
    g_strlcpy(run.task, action->task, sizeof(run.task));
    run.fails = world_chance(world, world->faults.fail);
    run.ends_at = step->gang ? INT64_MAX : world->now + 500 + world_random(&world->random, 2500);
    g_array_append_val(server->runs, run);
    world->counts.starts++;
    if (step->gang) {
        begin_gang(world, run.task, run.run, step->task_count);
    }
    return MS_ORDER_OK;
}

void
world_serve_stop(struct world *world, struct model_server *server,
                 const struct ms_engine_action *action)
{
    uint32_t barred = GPOINTER_TO_UINT(g_hash_table_lookup(server->barred, action->task));
    g_hash_table_insert(server->barred, g_strdup(action->task),
                        GUINT_TO_POINTER(MAX(barred, action->run)));
    for (guint i = 0; i < server->runs->len; i++) {
        struct run *run = &g_array_index(server->runs, struct run, i);
        if (strcmp(run->task, action->task) == 0 && run->run <= action->run) {
            run->stopping = true;
            run->ends_at = MIN(run->ends_at, world->now + STOP_MS);
        }
    }
}

/* Takes note of the ends up to POSITION. */
void
world_acknowledge(struct world *world, struct model_server *server, uint64_t position)
{
    while (server->ended->len > 0) {
        const struct ms_reported_end *row =
            &g_array_index(server->ended, struct ms_reported_end, 0);
        if (row->position > position) {
            return;
        }
        if (row->position <= server->void_to) {
            g_array_remove_index(server->ended, 0);
            continue;
        }
        if (row->end == MS_RUN_END_DONE) {
            g_hash_table_add(world->done, g_strdup(row->task));
        }
        else if (row->end == MS_RUN_END_FAILED) {
            guint count = GPOINTER_TO_UINT(g_hash_table_lookup(world->failed, row->task));
            g_hash_table_insert(world->failed, g_strdup(row->task), GUINT_TO_POINTER(count + 1));
        }
        g_array_remove_index(server->ended, 0);
    }
}

static uint32_t
percent_of(const struct world *world, const struct run *run)
{
    return (uint32_t)((world->now - run->came_at) * 99 / MAX(run->ends_at - run->came_at, 1));
}

struct ms_server_report *
world_report_of(const struct world *world, const struct model_server *server)
{
    struct ms_server_report *report = g_new0(struct ms_server_report, 1);
    report->start_unix_ms = server->entry.start_unix_ms;
    report->clock_ms = world->now;
    report->running_count = server->runs->len;
    report->running = g_new0(struct ms_reported_run, server->runs->len + 1);
    for (guint i = 0; i < server->runs->len; i++) {
        const struct run *run = &g_array_index(server->runs, struct run, i);
        g_strlcpy(report->running[i].task, run->task, sizeof(report->running[i].task));
        report->running[i].run = run->run;
        report->running[i].percent = run->ends_at == INT64_MAX ? 0 : percent_of(world, run);
    }
    report->ended_count = server->ended->len;
    report->ended = g_new0(struct ms_reported_end, server->ended->len + 1);
    for (guint i = 0; i < server->ended->len; i++) {
        report->ended[i] = g_array_index(server->ended, struct ms_reported_end, i);
    }
    return report;
}

/* A millisecond passes in which the runs on SERVER make no progress. */
static void
stand_still(struct model_server *server)
{
    for (guint i = 0; i < server->runs->len; i++) {
        struct run *run = &g_array_index(server->runs, struct run, i);
        if (run->ends_at != INT64_MAX && !run->stopping) {
            run->came_at++;
            run->ends_at++;
        }
    }
}

/* Ends what is due on SERVER. */
void
world_run_server(struct world *world, struct model_server *server)
{
    if (world->now < server->hung_until) {
        stand_still(server);
    }
    if (world->now >= server->deadline && server->runs->len > 0) {
        /* A lease that ends with nothing under it leaves earlier ends as they are. */
        server->void_to = server->positions;
        while (server->runs->len > 0) {
            end_run(world, server, server->runs->len - 1, MS_RUN_END_LEASE_EXPIRED);
        }
    }
    for (guint i = 0; i < server->runs->len; i++) {
        struct run run = g_array_index(server->runs, struct run, i);
        bool alone =
            run.gang && run.ends_at == INT64_MAX && world->now - run.came_at >= GANG_TIMEOUT_MS;
        if (run.ends_at > world->now && !alone) {
            continue;
        }
        enum ms_run_end how = run.fails ? MS_RUN_END_FAILED : MS_RUN_END_DONE;
        how = run.stopping ? MS_RUN_END_STOPPED : how;
        how = alone ? MS_RUN_END_GANG_INCOMPLETE : how;
        if (how == MS_RUN_END_DONE && !run.gang) {
            g_hash_table_add(world->ends, g_strdup(run.task));
        }
        end_run(world, server, i, how);
        if (run.gang && how == MS_RUN_END_DONE) {
            const struct ms_step *step = step_of(world, run.task);
            for (uint32_t k = 0; k < step->task_count; k++) {
                char *name = g_strdup_printf("%.*s%u", (int)gang_length(run.task), run.task, k);
                g_hash_table_add(world->ends, name);
            }
            break_gang(world, run.task, run.run, MS_RUN_END_DONE);
        }
        else if (run.gang) {
            break_gang(world, run.task, run.run, MS_RUN_END_GANG_BROKEN);
        }
        return; /* the lists have changed: the rest at the next step */
    }
}

void
world_empty_server(struct model_server *server)
{
    g_array_set_size(server->runs, 0);
    g_array_set_size(server->ended, 0);
    g_hash_table_remove_all(server->barred);
    server->positions = 0;
    server->void_to = 0;
    server->fence = 0;
    server->held = 0;
    server->deadline = 0;
}
