/*
 * engine_capacity.c - available capacity of servers, and the cost of using it.
 */
#include <stdlib.h>
#include <string.h>

#include "batch/engine_placement.h"

/*
 * Core-seconds added to the preemption cost of a task.  They double with each preemption that it
 * has suffered: a task that has just been restarted would otherwise always be the cheapest one.
 */
#define STOP_OVERHEAD_CORE_S 40
#define STOP_OVERHEAD_DOUBLINGS 5
#define RESTRICTION_MS 1500       /* how long a preemption restricts its server */
#define PREEMPTIBLE_TASKS_MAX 128 /* tasks of one server that are considered for preemption */

uint32_t
ms_batch_job_priority(const struct ms_batch_job *job)
{
    return job->queue != NULL ? job->queue->priority : UINT32_MAX;
}

/* Whether TASK, which runs until it is stopped, does all of its work. */
static bool
is_at_work(const struct ms_batch_task *task)
{
    return task->state == MS_BATCH_TASK_RUNNING && task->progress_percent >= 100;
}

/*
 * Whether TASK, which runs until it is stopped, may be stopped for the current unit: only for one
 * within its account's guarantee, and while fewer tasks of its step are away than may be.
 */
static bool
may_stop_long_running(const struct ms_placement_pass *pass, const struct ms_batch_task *task)
{
    const struct ms_batch_step *step = task->step;
    if (!pass->within_guarantee || step->spec->max_unavailable == 0) {
        return pass->within_guarantee; /* the step has no such limit */
    }
    uint32_t away = 0;
    for (uint32_t i = 0; i < step->spec->task_count; i++) {
        away += &step->tasks[i] != task && !is_at_work(&step->tasks[i]);
    }
    return away < step->spec->max_unavailable;
}

/*
 * A task may be preempted if its priority is lower than that of the current unit.  A unit beyond
 * its account's rate may preempt tasks of its own account only, so that it does not delay others.
 * A unit within its account's guarantee that has waited long enough may also preempt tasks of the
 * top priority whose account uses more than its guarantee.  Tasks that run until they are stopped
 * give way to guarantees only, as nothing else would ever free what they use.
 */
bool
ms_capacity_may_preempt(const struct ms_placement_pass *pass, const struct ms_batch_task *task)
{
    const struct ms_batch_job *task_job = ms_batch_task_job(task);
    const struct ms_batch_job *job = pass->unit->step->occurrence->job;
    if ((task->state != MS_BATCH_TASK_STARTING && task->state != MS_BATCH_TASK_RUNNING) ||
        task->awaits_report ||
        (task->step->spec->long_running && !may_stop_long_running(pass, task))) {
        return false;
    }
    if (ms_batch_job_priority(task_job) > ms_batch_job_priority(job)) {
        return !pass->own_account_only || task_job->account == job->account;
    }
    const struct ms_account_usage *usage =
        g_hash_table_lookup(pass->accounts, task_job->spec->account);
    return pass->may_preempt_top && task_job != job && ms_batch_job_priority(task_job) == 0 &&
           usage != NULL && usage->allocated > usage->guaranteed;
}

struct ms_resources
ms_capacity_available(const struct ms_batch_server *server, enum ms_placement_level level)
{
    struct ms_resources available = server->capacity;
    if (level == MS_LEVEL_IDLE) {
        ms_resources_add(&available, &server->allocated, -1);
        return available;
    }
    ms_resources_add(&available, &server->reserved, -1);
    if (level == MS_LEVEL_RESERVE) {
        ms_resources_add(&available, &server->lasting, -1);
        return available;
    }
    ms_resources_add(&available, &server->allocated, -1);
    ms_resources_add(&available, &server->releasing, 1);
    if (level == MS_LEVEL_PREEMPT) {
        ms_resources_add(&available, &server->preemptible, 1);
        return available;
    }
    if (level == MS_LEVEL_FREE) {
        /* Reservations first take the resources that are being released. */
        struct ms_resources unallocated = server->capacity;
        ms_resources_add(&unallocated, &server->allocated, -1);
        available.cpu_millis = MIN(available.cpu_millis, unallocated.cpu_millis);
        available.memory_mb = MIN(available.memory_mb, unallocated.memory_mb);
        available.accels = MIN(available.accels, unallocated.accels);
    }
    return available;
}

/* The number of tasks of STEP on SERVER. */
static uint32_t
count_step_tasks(const struct ms_batch_step *step, const struct ms_batch_server *server)
{
    uint32_t count = 0;
    MS_LIST_FOREACH(link, (struct ms_list_link *)&server->tasks)
    {
        count += MS_CONTAINER_OF(link, struct ms_batch_task, server_link)->step == step;
    }
    return count;
}

bool
ms_capacity_has_conflict(const struct ms_batch_server *server, bool best_effort)
{
    MS_LIST_FOREACH(link, (struct ms_list_link *)&server->tasks)
    {
        const struct ms_step *other =
            MS_CONTAINER_OF(link, struct ms_batch_task, server_link)->step->spec;
        if (best_effort ? other->target_latency_ms > 0 : other->best_effort) {
            return true;
        }
    }
    return false;
}

/* Called when a task on SERVER is preempted, and again when it has ended. */
void
ms_batch_server_restrict(const struct ms_engine *engine, struct ms_batch_server *server,
                         uint32_t priority)
{
    bool restricted = engine->now < server->restricted_until;
    server->restricted_priority =
        restricted ? MIN(server->restricted_priority, priority) : priority;
    server->restricted_until = engine->now + RESTRICTION_MS;
}

bool
ms_capacity_is_eligible(const struct ms_engine *engine, const struct ms_batch_step *step,
                        const struct ms_batch_server *server, enum ms_placement_level level)
{
    if (level != MS_LEVEL_IDLE && engine->now < server->restricted_until &&
        ms_batch_job_priority(step->occurrence->job) > server->restricted_priority) {
        return false;
    }
    const struct ms_queue_rule *queue = step->occurrence->job->queue;
    return queue != NULL && strcmp(queue->service, server->entry.service) == 0 &&
           ms_batch_server_has_label(server, step->spec->label) &&
           ms_advice_allows(engine, step, server) &&
           !(step->spec->best_effort && ms_capacity_has_conflict(server, true));
}

uint32_t
ms_capacity_max_tasks(const struct ms_placement_pass *pass, const struct ms_batch_server *server,
                      enum ms_placement_level level, uint32_t limit)
{
    const struct ms_batch_step *step = pass->unit->step;
    struct ms_resources available = ms_capacity_available(server, level);
    /* The cheaper test first: in a full deployment it excludes most servers. */
    if (!ms_resources_fit(&available, &step->spec->task_resources) ||
        !ms_capacity_is_eligible(pass->engine, step, server, level)) {
        return 0;
    }
    if (step->spec->per_server_max > 0) {
        uint32_t existing = count_step_tasks(step, server);
        uint32_t per_server_max = step->spec->per_server_max;
        limit = MIN(limit, existing < per_server_max ? per_server_max - existing : 0);
    }
    uint32_t count = 0;
    while (count < limit && ms_resources_fit(&available, &step->spec->task_resources)) {
        ms_resources_add(&available, &step->spec->task_resources, -1);
        count++;
    }
    return count;
}

/* Whether USED is less than half of CAPACITY, of each resource. */
static bool
is_below_half(const struct ms_resources *used, const struct ms_resources *capacity)
{
    return used->cpu_millis * 2 < capacity->cpu_millis &&
           used->memory_mb * 2 < capacity->memory_mb && used->accels * 2 < capacity->accels;
}

bool
ms_capacity_is_ample(struct ms_placement_pass *pass)
{
    if (ms_fit_has_failed(pass, MS_FIT_AMPLE, MS_FIT_ANYWHERE)) {
        return false;
    }
    const uint32_t wanted = 2 * pass->unit->count;
    struct ms_resources capacity = {0, 0, 0};
    struct ms_resources used = {0, 0, 0};
    uint32_t fitting = 0;
    for (guint i = 0; i < pass->servers->len; i++) {
        const struct ms_batch_server *server = g_ptr_array_index(pass->servers, i);
        if (!ms_capacity_is_eligible(pass->engine, pass->unit->step, server, MS_LEVEL_IDLE)) {
            continue;
        }
        ms_resources_add(&capacity, &server->entry.capacity, 1);
        ms_resources_add(&used, &server->allocated, 1);
        if (fitting < wanted) {
            fitting += ms_capacity_max_tasks(pass, server, MS_LEVEL_IDLE, wanted - fitting);
        }
    }
    bool ample = fitting == wanted && is_below_half(&used, &capacity);
    if (!ample) {
        ms_fit_note_failed(pass, MS_FIT_AMPLE, MS_FIT_ANYWHERE);
    }
    return ample;
}

int64_t
ms_capacity_preemption_cost(const struct ms_engine *engine, const struct ms_batch_task *task)
{
    int64_t cost = task->step->spec->checkpoints ? 0 : ms_batch_task_work_core_s(engine, task);
    int64_t count = task->step->spec->gang ? task->step->spec->task_count : 1;
    int64_t overhead = (int64_t)STOP_OVERHEAD_CORE_S
                       << MIN(task->preemption_count, STOP_OVERHEAD_DOUBLINGS);
    return (cost + overhead) * count;
}

struct ms_batch_task *
ms_capacity_cheapest_preemptible(const struct ms_placement_pass *pass,
                                 const struct ms_batch_server *server, int64_t *cost)
{
    struct ms_batch_task *cheapest = NULL;
    MS_LIST_FOREACH(link, (struct ms_list_link *)&server->tasks)
    {
        struct ms_batch_task *task = MS_CONTAINER_OF(link, struct ms_batch_task, server_link);
        if (!ms_capacity_may_preempt(pass, task)) {
            continue;
        }
        int64_t task_cost = ms_capacity_preemption_cost(pass->engine, task);
        if (cheapest == NULL || task_cost < *cost) {
            cheapest = task;
            *cost = task_cost;
        }
    }
    return cheapest;
}

struct preemptible_task {
    const struct ms_batch_task *task;
    int64_t cost;
};

static int
compare_cost(const void *left, const void *right)
{
    const struct preemptible_task *a = left;
    const struct preemptible_task *b = right;
    return a->cost < b->cost ? -1 : a->cost > b->cost;
}

/* Core-seconds of work lost by preempting enough tasks on SERVER for one task of the unit. */
static int64_t
preemption_cost_on(const struct ms_placement_pass *pass, const struct ms_batch_server *server)
{
    const struct ms_resources *request = &pass->unit->step->spec->task_resources;
    struct ms_resources available = ms_capacity_available(server, MS_LEVEL_RELEASING);
    struct preemptible_task preemptible[PREEMPTIBLE_TASKS_MAX];
    size_t count = 0;
    int64_t total = 0;
    if (ms_resources_fit(&available, request)) {
        return 0;
    }
    MS_LIST_FOREACH(link, (struct ms_list_link *)&server->tasks)
    {
        const struct ms_batch_task *task = MS_CONTAINER_OF(link, struct ms_batch_task, server_link);
        if (count < PREEMPTIBLE_TASKS_MAX && ms_capacity_may_preempt(pass, task)) {
            preemptible[count].task = task;
            preemptible[count].cost = ms_capacity_preemption_cost(pass->engine, task);
            count++;
        }
    }
    qsort(preemptible, count, sizeof(*preemptible), compare_cost);
    for (size_t i = 0; i < count && !ms_resources_fit(&available, request); i++) {
        ms_resources_add(&available, &preemptible[i].task->step->spec->task_resources, 1);
        total += preemptible[i].cost;
    }
    return total;
}

/* Milliseconds until all tasks on SERVER have ended, as estimated. */
static int64_t
remaining_busy_ms(const struct ms_engine *engine, const struct ms_batch_server *server)
{
    int64_t longest = 0;
    MS_LIST_FOREACH(link, (struct ms_list_link *)&server->tasks)
    {
        const struct ms_batch_task *task = MS_CONTAINER_OF(link, struct ms_batch_task, server_link);
        longest = MAX(longest, ms_batch_task_remaining_ms(engine, task));
    }
    return longest;
}

int64_t
ms_capacity_cost(const struct ms_placement_pass *pass, const struct ms_batch_server *server,
                 enum ms_placement_level level)
{
    struct ms_resources available;
    switch (level) {
    case MS_LEVEL_FREE:
    case MS_LEVEL_RELEASING:
    case MS_LEVEL_IDLE:
        /* Best fit: the server with the least free capacity. */
        available = ms_capacity_available(server, MS_LEVEL_FREE);
        return available.accels * 100 + available.cpu_millis / 10000;
    case MS_LEVEL_PREEMPT:
        return preemption_cost_on(pass, server);
    case MS_LEVEL_RESERVE:
        return remaining_busy_ms(pass->engine, server);
    }
    return 0;
}

int64_t
ms_capacity_reserved_idle(const struct ms_placement_pass *pass,
                          const struct ms_batch_server *server)
{
    struct ms_resources free = ms_capacity_available(server, MS_LEVEL_FREE);
    struct ms_resources planned = {0, 0, 0};
    const struct ms_resources *capacity = &server->entry.capacity;
    ms_resources_add(&planned, &pass->unit->step->spec->task_resources, server->planned_task_count);
    int64_t cpu =
        MIN(planned.cpu_millis, free.cpu_millis) * MS_WHOLE_SERVER / MAX(capacity->cpu_millis, 1);
    int64_t memory =
        MIN(planned.memory_mb, free.memory_mb) * MS_WHOLE_SERVER / MAX(capacity->memory_mb, 1);
    int64_t accels = MIN(planned.accels, free.accels) * MS_WHOLE_SERVER / MAX(capacity->accels, 1);
    return MAX(MAX(cpu, memory), MAX(accels, 0));
}

/* Stops TASK, one member of what is preempted; see ms_capacity_preempt(). */
static void
preempt_member(struct ms_engine *engine, struct ms_batch_task *task, const char *reason,
               uint32_t restrict_to)
{
    const struct ms_resources *request = &task->step->spec->task_resources;
    bool runs = task->state == MS_BATCH_TASK_STARTING || task->state == MS_BATCH_TASK_RUNNING;
    ms_batch_task_stop(engine, task, reason);
    if (!runs) {
        return; /* it was not ordered yet, or its stop is in progress and counted */
    }
    task->preempted = restrict_to != MS_NO_RESTRICTION;
    task->preemptor_priority = restrict_to;
    task->preemption_count++;
    if (ms_batch_server_usable(engine, task->server)) {
        ms_resources_add(&task->server->releasing, request, 1);
        ms_resources_add(&ms_batch_task_job(task)->account->releasing, request, 1);
    }
}

void
ms_capacity_preempt(struct ms_engine *engine, struct ms_batch_task *task, const char *reason,
                    uint32_t restrict_to)
{
    struct ms_batch_step *step = task->step;
    for (uint32_t i = 0; step->spec->gang && i < step->spec->task_count; i++) {
        preempt_member(engine, &step->tasks[i], reason, restrict_to);
    }
    if (!step->spec->gang) {
        preempt_member(engine, task, reason, restrict_to);
    }
}

void
ms_capacity_update_preemptible(struct ms_placement_pass *pass)
{
    const struct ms_batch_job *job = pass->unit->step->occurrence->job;
    uint32_t priority = ms_batch_job_priority(job);
    const struct ms_batch_account *account = pass->own_account_only ? job->account : NULL;
    if (pass->preemptible_valid && pass->preemptible_priority == priority &&
        pass->preemptible_top == pass->may_preempt_top && pass->preemptible_account == account) {
        return;
    }
    pass->preemptible_valid = true;
    pass->preemptible_priority = priority;
    pass->preemptible_top = pass->may_preempt_top;
    pass->preemptible_account = account;
    for (guint i = 0; i < pass->servers->len; i++) {
        struct ms_batch_server *server = g_ptr_array_index(pass->servers, i);
        memset(&server->preemptible, 0, sizeof(server->preemptible));
        MS_LIST_FOREACH(link, &server->tasks)
        {
            const struct ms_batch_task *task =
                MS_CONTAINER_OF(link, struct ms_batch_task, server_link);
            if (ms_capacity_may_preempt(pass, task)) {
                ms_resources_add(&server->preemptible, &task->step->spec->task_resources, 1);
            }
        }
    }
}
