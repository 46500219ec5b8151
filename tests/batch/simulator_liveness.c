/*
 * simulator_liveness.c - the invariant that jobs make progress when they could, checked from
 * the simulator's own records.
 *
 * Ends of runs may be known to the servers only.  A task whose successful end was acknowledged
 * is done for certain; one whose end was not may be done or has to run again.  A job counts as
 * able to run only if each step that can be its next one under either reading could run.
 */
#include <string.h>

#include "batch/simulator_private.h"

/* The longest time that a task waits for leases after the last fault. */
#define SETTLE_MS EARLIER_LEASES_MS
#define CAP_SETTLE_MS 4000 /* a cap that was replaced may be in force for so long */
#define IDLE_MAX_MS 3000   /* how long a job may be without a run although it could run */

void
simulator_set_liveness(struct simulator *simulator, enum simulator_liveness liveness)
{
    simulator->liveness = liveness;
}

/* Whether the tasks of step STEP of SPEC are in the set DONE: all, or as few as MEMBERS. */
static bool
step_done(const struct ms_batch_spec *spec, uint32_t step, GHashTable *done, uint32_t members)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < spec->steps[step].task_count; i++) {
        char task[MS_TASK_NAME_MAX];
        ms_task_name_format(task, spec->id, 0, step, i);
        count += g_hash_table_contains(done, task);
    }
    return count >= members;
}

/* Whether the step is done for certain; one acknowledged end counts for a whole gang. */
static bool
certainly_done(const struct simulator *simulator, const struct ms_batch_spec *spec, uint32_t step)
{
    uint32_t members = spec->steps[step].gang ? 1 : spec->steps[step].task_count;
    return step_done(spec, step, simulator->acked_done, members);
}

/* Whether the step may be the next one of its job. */
static bool
may_be_due(const struct simulator *simulator, const struct ms_batch_spec *spec, uint32_t step)
{
    const struct ms_step *due = &spec->steps[step];
    for (size_t i = 0; i < due->depends_on_count; i++) {
        uint32_t earlier = due->depends_on[i];
        if (!step_done(spec, earlier, simulator->done_tasks, spec->steps[earlier].task_count)) {
            return false;
        }
    }
    return !certainly_done(simulator, spec, step);
}

static bool
has_run(const struct simulator *simulator, const char *id)
{
    size_t length = strlen(id);
    for (size_t i = 0; i < simulator->server_count; i++) {
        const GArray *runs = simulator->servers[i].runs;
        for (guint k = 0; k < runs->len; k++) {
            const char *task = g_array_index(runs, struct run, k).task;
            if (strncmp(task, id, length) == 0 && task[length] == '.') {
                return true;
            }
        }
    }
    return false;
}

static bool
usable(const struct simulator *simulator, const struct simulated_server *server)
{
    return simulated_server_reachable(simulator, server) && !server->unlisted &&
           !server->entry.draining;
}

uint32_t
simulator_count_usable_servers(const struct simulator *simulator)
{
    uint32_t count = 0;
    for (size_t i = 0; i < simulator->server_count; i++) {
        count += usable(simulator, &simulator->servers[i]);
    }
    return count;
}

static uint32_t
priority_of(const struct simulator *simulator, const struct ms_batch_spec *spec)
{
    return ms_policy_find_queue(simulator->policy, spec->queue)->priority;
}

/* Resources of SERVER that are used by runs of PRIORITY and above. */
static struct ms_resources
used_resources(const struct simulator *simulator, const struct simulated_server *server,
               uint32_t priority)
{
    struct ms_resources used = {0, 0, 0};
    for (guint i = 0; i < server->runs->len; i++) {
        const char *task = g_array_index(server->runs, struct run, i).task;
        char *id = g_strndup(task, strcspn(task, "."));
        if (priority_of(simulator, g_hash_table_lookup(simulator->specs, id)) <= priority) {
            ms_resources_add(&used, &simulator_find_step(simulator, task)->task_resources, 1);
        }
        g_free(id);
    }
    return used;
}

/* Whether under half of each resource of the usable servers is in use. */
static bool
under_half_used(const struct simulator *simulator)
{
    struct ms_resources free = {0, 0, 0};
    struct ms_resources used = {0, 0, 0};
    for (size_t i = 0; i < simulator->server_count; i++) {
        const struct simulated_server *server = &simulator->servers[i];
        if (usable(simulator, server)) {
            struct ms_resources now_used = used_resources(simulator, server, UINT32_MAX);
            ms_resources_add(&free, &server->entry.capacity, 1);
            ms_resources_add(&free, &now_used, -1);
            ms_resources_add(&used, &now_used, 1);
        }
    }
    return free.cpu_millis > used.cpu_millis && free.memory_mb > used.memory_mb &&
           free.accels > used.accels;
}

/* Whether the unit of STEP (the whole gang, or one task) fits twice over. */
static bool
fits_twice(const struct simulator *simulator, const struct ms_batch_spec *spec,
           const struct ms_step *step)
{
    bool preempt = simulator->liveness == SIMULATOR_LIVENESS_PREEMPTIBLE;
    uint32_t priority = preempt ? priority_of(simulator, spec) : UINT32_MAX;
    uint32_t missing = 2 * (step->gang ? step->task_count : 1);
    for (size_t i = 0; i < simulator->server_count && missing > 0; i++) {
        const struct simulated_server *server = &simulator->servers[i];
        if (!usable(simulator, server)) {
            continue;
        }
        struct ms_resources used = used_resources(simulator, server, priority);
        struct ms_resources available = server->entry.capacity;
        ms_resources_add(&available, &used, -1);
        while (missing > 0 && ms_resources_fit(&available, &step->task_resources)) {
            ms_resources_add(&available, &step->task_resources, -1);
            missing--;
        }
    }
    return missing == 0;
}

/*
 * Whether the open job could run and does not; an account that uses half of its cap may be kept
 * from starting more.  *STEP_INDEX is set to the first step that may
 * be due.
 */
static bool
is_idle(const struct simulator *simulator, const struct ms_batch_spec *spec, uint32_t *step_index)
{
    if (g_hash_table_contains(simulator->cancelled, spec->id) ||
        simulator_job_phase(simulator, spec->id) != MS_PHASE_OPEN || has_run(simulator, spec->id) ||
        simulator_uses_half_of_cap(simulator, spec->account, CAP_SETTLE_MS)) {
        return false;
    }
    bool found = false;
    for (uint32_t i = 0; i < spec->step_count; i++) {
        if (!may_be_due(simulator, spec, i)) {
            continue;
        }
        if (!fits_twice(simulator, spec, &spec->steps[i])) {
            return false;
        }
        *step_index = found ? *step_index : i;
        found = true;
    }
    return found;
}

/* Writes to the trace what STEP, which could run, needs. */
static void
trace_idle_step(const struct simulator *simulator, const struct ms_batch_spec *spec,
                const struct ms_step *step)
{
    const struct ms_resources *needs = &step->task_resources;
    if (simulator->trace != NULL) {
        fprintf(simulator->trace,
                "%8" G_GINT64_FORMAT " model idle %s queue=%s tasks=%u gang=%d"
                " cpu_millis=%" G_GINT64_FORMAT " memory_mb=%" G_GINT64_FORMAT
                " accels=%" G_GINT64_FORMAT " servers=%u\n",
                simulator->now, spec->id, spec->queue, step->task_count, step->gang,
                needs->cpu_millis, needs->memory_mb, needs->accels,
                simulator_count_usable_servers(simulator));
    }
}

static void
check_job(struct simulator *simulator, const struct ms_batch_spec *spec)
{
    uint32_t step = 0;
    if (!is_idle(simulator, spec, &step)) {
        g_hash_table_remove(simulator->idle_since, spec->id);
        return;
    }
    const int64_t *since = g_hash_table_lookup(simulator->idle_since, spec->id);
    if (since == NULL) {
        g_hash_table_insert(simulator->idle_since, g_strdup(spec->id),
                            g_memdup2(&simulator->now, sizeof(simulator->now)));
        return;
    }
    int64_t idle_ms = simulator->now - *since;
    simulator->counts.idle_ms_max = MAX(simulator->counts.idle_ms_max, idle_ms);
    if (idle_ms >= IDLE_MAX_MS) {
        char task[MS_TASK_NAME_MAX];
        ms_task_name_format(task, spec->id, 0, step, 0);
        trace_idle_step(simulator, spec, &spec->steps[step]);
        simulator_report_violation(simulator, "could run and did not for 3 s", task);
    }
}

void
simulator_check_progress(struct simulator *simulator)
{
    if (simulator->liveness == SIMULATOR_LIVENESS_UNCHECKED) {
        return;
    }
    bool settled = simulator->now >= simulator->faults_until + SETTLE_MS;
    if (!settled || simulator->engine == NULL || !under_half_used(simulator)) {
        g_hash_table_remove_all(simulator->idle_since);
        return;
    }
    GHashTableIter iterator;
    gpointer spec = NULL;
    g_hash_table_iter_init(&iterator, simulator->specs);
    while (g_hash_table_iter_next(&iterator, NULL, &spec)) {
        check_job(simulator, spec);
    }
}
