/*
 * engine_place.c - which waiting work starts where.
 *
 * A unit is a gang, or tasks of one step that are alike.  Units are looked at in order of their
 * queue's priority, then of arrival.  Each is tried at rising levels:
 *
 *     free        it fits into what is free: it starts
 *     soon        it fits once stops that were ordered are done: it waits, and
 *                 the room is kept for it
 *     reclaim     it fits if work of lower priority is stopped: that is ordered
 *     keep        it fits once running work has ended: room is kept for it, so
 *                 that smaller units do not take it again and again
 */
#include <stdlib.h>
#include <string.h>

#include "batch/engine_private.h"

#define RECLAIM_TOP_WAIT_MS 300 /* before a unit of the top priority stops others */
#define RECLAIM_WAIT_SHARE 0.4  /* of a lower unit's slack, before it stops others */
#define RECLAIM_WASTE_TOP 2500  /* core-seconds that a unit of the top priority may waste */
#define RECLAIM_WASTE 600       /* the same for a lower one */
#define STOP_OVERHEAD 40        /* core-seconds that each stop counts for besides */
#define ACCEL_CORES 8           /* cores that an accelerator counts for as work */
#define KEEP_WAIT_MS 300        /* before room is kept for a unit */
#define KEEPERS_MAX 6           /* units that room is kept for in one pass */
#define KEEP_IDLE_PERCENT 12    /* of all servers may be kept free for waiting units */
#define SHARE_WHOLE 1000
#define NOTE_MS 1000       /* between two lines about the passes */
#define WAITERS_MAX 24     /* units tried beyond free room in one pass */
#define FAR_WAIT_SHARE 1.0 /* of the estimate: wait for a place near the data */
#define FAR_WAIT_MAX_MS 6000
#define FAR_WAIT_TOP_MS 900 /* the same for a unit of the top priority */
#define PENALTY_FAR 1000000
#define PENALTY_SUSPECT 100000
#define PENALTY_COLD 50000
#define PENALTY_SLOW 70000
#define NO_PLAN INT64_MAX
#define VICTIMS_MAX 128 /* tasks of one server that are looked at */

enum level { LEVEL_FREE = 0, LEVEL_SOON, LEVEL_RECLAIM, LEVEL_KEEP };

struct unit {
    struct ms_bstep *step;
    struct ms_btask **tasks; /* `count` tasks of the step */
    uint32_t count;
    bool gang; /* all of them, or none */
};

/* State of one pass. */
struct pass {
    struct ms_engine *engine;
    GPtrArray *servers;   /* usable ms_bserver */
    GHashTable *racks;    /* rack -> GPtrArray of ms_bserver */
    GHashTable *accounts; /* account -> struct account_use */
    uint32_t keepers;
    const struct unit *unit; /* the unit being placed */
    bool entitled;           /* the unit is within its account's guarantee */
    int64_t kept_idle;       /* free room that is kept, in thousandths of a server */
    uint32_t waiters;        /* units that were tried beyond free room */
    bool counted;            /* `reclaimable` of the servers is right for: */
    uint32_t counted_priority;
    bool counted_entitled;
};

/* Accelerators of an account's work of the top priority. */
struct account_use {
    int64_t guaranteed;
    int64_t asked; /* by jobs that have not ended */
    int64_t used;
};

static uint32_t
priority_of(const struct ms_bjob *job)
{
    return job->queue != NULL ? job->queue->priority : UINT32_MAX;
}

/* Whether VICTIM may be stopped for the unit being placed. */
static bool
may_stop(const struct pass *pass, const struct ms_btask *victim)
{
    const struct ms_bjob *owner = ms_btask_job(victim);
    const struct ms_bjob *claimant = pass->unit->step->occurrence->job;
    if ((victim->state != MS_BTASK_STARTING && victim->state != MS_BTASK_RUNNING) ||
        victim->adopted || victim->step->spec->lasting) {
        return false;
    }
    if (priority_of(owner) > priority_of(claimant)) {
        return true;
    }
    const struct account_use *use = g_hash_table_lookup(pass->accounts, owner->spec->account);
    return pass->entitled && owner != claimant && priority_of(owner) == 0 && use != NULL &&
           use->used > use->guaranteed;
}

/* What of SERVER the unit being placed can have at LEVEL. */
static struct ms_resources
available(const struct ms_bserver *server, enum level level)
{
    struct ms_resources room = server->entry.capacity;
    ms_resources_add(&room, &server->reserved, -1);
    if (level == LEVEL_KEEP) {
        return room;
    }
    ms_resources_add(&room, &server->used, -1);
    ms_resources_add(&room, &server->stopping, 1);
    if (level == LEVEL_RECLAIM) {
        ms_resources_add(&room, &server->reclaimable, 1);
        return room;
    }
    if (level == LEVEL_FREE) {
        struct ms_resources now = server->entry.capacity;
        ms_resources_add(&now, &server->used, -1);
        room.cpu_millis = MIN(room.cpu_millis, now.cpu_millis);
        room.memory_mb = MIN(room.memory_mb, now.memory_mb);
        room.accels = MIN(room.accels, now.accels);
    }
    return room;
}

/* Tasks of STEP that are on SERVER. */
static uint32_t
tasks_there(const struct ms_bstep *step, const struct ms_bserver *server)
{
    uint32_t count = 0;
    MS_LIST_EACH(link, (struct ms_link *)&server->tasks)
    {
        count += MS_CONTAINER(link, struct ms_btask, server_link)->step == step;
    }
    return count;
}

static bool
avoided(const struct ms_btask *task, const struct ms_bserver *server)
{
    for (uint32_t i = 0; i < MIN(task->avoid_count, MS_AVOID_MAX); i++) {
        if (strcmp(task->avoid[i], server->id) == 0) {
            return true;
        }
    }
    return false;
}

/* Whether tasks of STEP may be on SERVER at all. */
static bool
allowed(const struct ms_bstep *step, const struct ms_bserver *server)
{
    const struct ms_queue_rule *queue = step->occurrence->job->queue;
    return queue != NULL && strcmp(queue->service, server->entry.service) == 0 &&
           ms_bserver_has_label(server, step->spec->label);
}

/* How many tasks of STEP SERVER can take at LEVEL, up to MOST. */
static uint32_t
fits(const struct pass *pass, const struct ms_bserver *server, enum level level, uint32_t most)
{
    const struct ms_bstep *step = pass->unit->step;
    if (!allowed(step, server)) {
        return 0;
    }
    if (step->spec->per_server_max > 0) {
        uint32_t there = tasks_there(step, server);
        uint32_t limit = step->spec->per_server_max;
        most = MIN(most, there < limit ? limit - there : 0);
    }
    struct ms_resources room = available(server, level);
    uint32_t count = 0;
    while (count < most && ms_resources_fit(&room, &step->spec->each)) {
        ms_resources_add(&room, &step->spec->each, -1);
        count++;
    }
    return count;
}

/* Core-seconds that a stop of TASK's unit would throw away. */
static int64_t
waste_of(const struct ms_engine *engine, const struct ms_btask *task)
{
    const struct ms_resources *each = &task->step->spec->each;
    int64_t cores = each->cpu_millis / 1000 + each->accels * ACCEL_CORES;
    int64_t ran = task->began_at > 0 ? engine->now - task->began_at : 0;
    int64_t waste = task->step->spec->checkpoints ? 0 : cores * ran / 1000;
    int64_t count = task->step->spec->gang ? task->step->spec->count : 1;
    return (waste + STOP_OVERHEAD) * count;
}

/* The cheapest task on SERVER to stop, or NULL; *WASTE is its cost. */
static struct ms_btask *
cheapest_victim(const struct pass *pass, const struct ms_bserver *server, int64_t *waste)
{
    struct ms_btask *victim = NULL;
    MS_LIST_EACH(link, (struct ms_link *)&server->tasks)
    {
        struct ms_btask *task = MS_CONTAINER(link, struct ms_btask, server_link);
        if (!may_stop(pass, task)) {
            continue;
        }
        int64_t cost = waste_of(pass->engine, task);
        if (victim == NULL || cost < *waste) {
            victim = task;
            *waste = cost;
        }
    }
    return victim;
}

struct victim {
    const struct ms_btask *task;
    int64_t waste;
};

static int
by_waste(const void *left, const void *right)
{
    const struct victim *a = left;
    const struct victim *b = right;
    return a->waste < b->waste ? -1 : a->waste > b->waste;
}

/* Core-seconds thrown away to make room for one task of the unit on SERVER. */
static int64_t
reclaim_cost(const struct pass *pass, const struct ms_bserver *server)
{
    const struct ms_resources *each = &pass->unit->step->spec->each;
    struct ms_resources room = available(server, LEVEL_SOON);
    struct victim victims[VICTIMS_MAX];
    size_t count = 0;
    int64_t cost = 0;
    if (ms_resources_fit(&room, each)) {
        return 0;
    }
    MS_LIST_EACH(link, (struct ms_link *)&server->tasks)
    {
        const struct ms_btask *task = MS_CONTAINER(link, struct ms_btask, server_link);
        if (count < VICTIMS_MAX && may_stop(pass, task)) {
            victims[count].task = task;
            victims[count].waste = waste_of(pass->engine, task);
            count++;
        }
    }
    qsort(victims, count, sizeof(*victims), by_waste);
    for (size_t i = 0; i < count && !ms_resources_fit(&room, each); i++) {
        ms_resources_add(&room, &victims[i].task->step->spec->each, 1);
        cost += victims[i].waste;
    }
    return cost;
}

/* Milliseconds until the work on SERVER has ended, by its estimates. */
static int64_t
busy_ms(const struct ms_engine *engine, const struct ms_bserver *server)
{
    int64_t longest = 0;
    MS_LIST_EACH(link, (struct ms_link *)&server->tasks)
    {
        const struct ms_btask *task = MS_CONTAINER(link, struct ms_btask, server_link);
        longest = MAX(longest, ms_btask_rest_ms(engine, task));
    }
    return longest;
}

/* What the room for one task on SERVER costs at LEVEL; lower is better. */
static int64_t
cost_of(const struct pass *pass, const struct ms_bserver *server, enum level level)
{
    struct ms_resources room;
    switch (level) {
    case LEVEL_FREE:
    case LEVEL_SOON:
        room = available(server, LEVEL_FREE);
        return room.accels * 100 + room.cpu_millis / 10000;
    case LEVEL_RECLAIM:
        return reclaim_cost(pass, server);
    case LEVEL_KEEP:
        return busy_ms(pass->engine, server);
    }
    return 0;
}

/* How much worse than others SERVER is for TASK: far, slow, or not sound. */
static int64_t
penalty_of(const struct pass *pass, const struct ms_btask *task, const struct ms_bserver *server)
{
    const struct ms_engine *engine = pass->engine;
    const struct ms_step *spec = pass->unit->step->spec;
    int64_t penalty = 0;
    if (spec->rack[0] != '\0' && strcmp(spec->rack, server->entry.rack) != 0) {
        penalty += PENALTY_FAR;
    }
    if (engine->now < server->slow_until) {
        penalty += PENALTY_SLOW;
    }
    if (engine->now < server->suspect_until) {
        penalty += PENALTY_SUSPECT;
    }
    if (avoided(task, server)) {
        penalty += 2 * PENALTY_SUSPECT;
    }
    if (server->entry.cold_ms > 0) {
        penalty += PENALTY_COLD;
    }
    return penalty;
}

/* A plan is the field `planned` of each server. */
static void
clear_plan(const struct pass *pass)
{
    for (guint i = 0; i < pass->servers->len; i++) {
        struct ms_bserver *server = g_ptr_array_index(pass->servers, i);
        server->planned = 0;
    }
}

struct ranked {
    struct ms_bserver *server;
    uint32_t fit;
    int64_t cost;
    int64_t score; /* cost and penalty */
};

static int
by_score(const void *left, const void *right)
{
    const struct ranked *a = left;
    const struct ranked *b = right;
    return a->score < b->score ? -1 : a->score > b->score;
}

/*
 * Plans the unit on SERVERS at LEVEL.  Returns the sum of the scores of the
 * tasks' servers, or NO_PLAN when not all tasks fit; of tasks that are no gang
 * some are enough at the level of free room.
 */
static int64_t
plan_on(const struct pass *pass, const GPtrArray *servers, enum level level)
{
    const struct unit *unit = pass->unit;
    const struct ms_btask *task = unit->tasks[0];
    struct ranked *ranked = g_new(struct ranked, servers->len + 1);
    guint found = 0;
    uint32_t room = 0;
    for (guint i = 0; i < servers->len; i++) {
        struct ms_bserver *server = g_ptr_array_index(servers, i);
        uint32_t fit = fits(pass, server, level, unit->count);
        if (fit > 0) {
            ranked[found].server = server;
            ranked[found].fit = fit;
            found++;
            room += fit;
        }
    }
    pass->engine->place_work += servers->len;
    bool part = !unit->gang && level == LEVEL_FREE;
    pass->engine->plan_cost = 0;
    uint32_t left = part ? MIN(unit->count, room) : unit->count;
    bool enough = room >= left && left > 0;
    int64_t sum = 0;
    for (guint i = 0; enough && i < found; i++) {
        ranked[i].cost = cost_of(pass, ranked[i].server, level);
        ranked[i].score = ranked[i].cost + penalty_of(pass, task, ranked[i].server);
    }
    if (enough) {
        qsort(ranked, found, sizeof(*ranked), by_score);
    }
    for (guint i = 0; enough && i < found && left > 0; i++) {
        uint32_t planned = MIN(ranked[i].fit, left);
        ranked[i].server->planned = planned;
        left -= planned;
        sum += ranked[i].score * planned;
        pass->engine->plan_cost += ranked[i].cost * planned;
    }
    g_free(ranked);
    return enough && left == 0 ? sum : NO_PLAN;
}

/* Whether the unit may by now run far from its data or over several racks. */
static bool
may_be_far(const struct pass *pass)
{
    const struct ms_bstep *step = pass->unit->step;
    int64_t wait = (int64_t)((double)step->spec->estimate_ms * FAR_WAIT_SHARE);
    bool top = priority_of(step->occurrence->job) == 0;
    wait = MIN(wait, top ? FAR_WAIT_TOP_MS : FAR_WAIT_MAX_MS);
    return pass->engine->now - step->ready_since >= wait;
}

/* Free accelerators of SERVERS. */
static int64_t
rack_room(const GPtrArray *servers)
{
    int64_t room = 0;
    for (guint i = 0; i < servers->len; i++) {
        room += available(g_ptr_array_index(servers, i), LEVEL_FREE).accels;
    }
    return room;
}

/* Plans the unit within one rack: at the least cost, else the fullest. */
static int64_t
plan_in_rack(const struct pass *pass, enum level level)
{
    const struct ms_step *spec = pass->unit->step->spec;
    const char *best = NULL;
    int64_t best_cost = NO_PLAN;
    GHashTableIter iterator;
    gpointer key = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, pass->racks);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        clear_plan(pass);
        int64_t cost = plan_on(pass, value, level);
        if (cost == NO_PLAN) {
            continue;
        }
        if (level == LEVEL_FREE || level == LEVEL_SOON) {
            /* The fullest rack, but slow and failing servers count against it. */
            cost += rack_room(value) - pass->engine->plan_cost;
        }
        if (spec->rack[0] != '\0' && strcmp(spec->rack, key) == 0) {
            cost = -1; /* its data is here */
        }
        if (best == NULL || cost < best_cost || (cost == best_cost && strcmp(key, best) < 0)) {
            best = key;
            best_cost = cost;
        }
    }
    clear_plan(pass);
    return best != NULL ? plan_on(pass, g_hash_table_lookup(pass->racks, best), level) : NO_PLAN;
}

/* Plans the unit on servers of the rack of its data. */
static int64_t
plan_near(const struct pass *pass, enum level level)
{
    const GPtrArray *servers = g_hash_table_lookup(pass->racks, pass->unit->step->spec->rack);
    return servers != NULL ? plan_on(pass, servers, level) : NO_PLAN;
}

/* Plans the unit; NO_PLAN, or the cost. */
static int64_t
plan(const struct pass *pass, enum level level)
{
    const struct ms_step *spec = pass->unit->step->spec;
    int64_t cost = NO_PLAN;
    clear_plan(pass);
    bool in_rack = spec->same_rack && pass->unit->gang;
    if (in_rack) {
        cost = plan_in_rack(pass, level);
    }
    else if (spec->rack[0] != '\0') {
        cost = plan_near(pass, level);
    }
    if (cost != NO_PLAN || ((in_rack || spec->rack[0] != '\0') && !may_be_far(pass))) {
        return cost;
    }
    clear_plan(pass);
    return plan_on(pass, pass->servers, level);
}

static void
begin_task(struct ms_engine *engine, struct ms_btask *task, struct ms_bserver *server, uint32_t run)
{
    char name[MS_TASK_NAME_MAX];
    task->run = run;
    task->waited_ms = engine->now - task->step->ready_since;
    ms_btask_assign(engine, task, server);
    ms_engine_note(engine,
                   "event=place task=%s run=%u server=%s dc=%s rack=%s priority=%u"
                   " waited_ms=%" G_GINT64_FORMAT " heard_age_ms=%" G_GINT64_FORMAT,
                   ms_btask_name(task, name), run, server->id, server->entry.dc, server->entry.rack,
                   priority_of(ms_btask_job(task)), engine->now - task->step->ready_since,
                   engine->now - server->heard_at);
}

/* Starts the unit's tasks where they are planned; returns how many. */
static uint32_t
start_unit(const struct pass *pass)
{
    struct ms_engine *engine = pass->engine;
    const struct unit *unit = pass->unit;
    struct ms_bjob *job = unit->step->occurrence->job;
    uint32_t gang_run = 0;
    for (uint32_t i = 0; unit->gang && i < unit->count; i++) {
        gang_run = MAX(gang_run, unit->tasks[i]->run);
    }
    uint32_t index = 0;
    for (guint i = 0; i < pass->servers->len; i++) {
        struct ms_bserver *server = g_ptr_array_index(pass->servers, i);
        for (uint32_t k = 0; k < server->planned; k++, index++) {
            struct ms_btask *task = unit->tasks[index];
            begin_task(engine, task, server, 1 + (unit->gang ? gang_run : task->run));
        }
    }
    job->begun = true;
    ms_engine_dirty(engine, job, true);
    return index;
}

/* Keeps the planned room from units that come later in this pass. */
static void
reserve_unit(const struct pass *pass)
{
    for (guint i = 0; i < pass->servers->len; i++) {
        struct ms_bserver *server = g_ptr_array_index(pass->servers, i);
        ms_resources_add(&server->reserved, &pass->unit->step->spec->each, server->planned);
    }
}

/* Orders stops on SERVER until the planned tasks fit. */
static void
make_room(const struct pass *pass, struct ms_bserver *server)
{
    struct ms_resources need = {0, 0, 0};
    ms_resources_add(&need, &pass->unit->step->spec->each, server->planned);
    for (;;) {
        struct ms_resources room = available(server, LEVEL_SOON);
        int64_t waste = 0;
        struct ms_btask *victim = cheapest_victim(pass, server, &waste);
        if (ms_resources_fit(&room, &need) || victim == NULL) {
            return;
        }
        struct ms_bstep *step = victim->step;
        ms_btask_stop_unit(pass->engine, victim, "reclaimed");
        for (uint32_t i = 0; i < step->spec->count; i++) {
            struct ms_btask *task = &step->tasks[i];
            if (task->state == MS_BTASK_STOPPING && (step->spec->gang || task == victim)) {
                ms_resources_add(&task->server->stopping, &step->spec->each, 1);
            }
        }
    }
}

static void
reclaim_unit(const struct pass *pass)
{
    for (guint i = 0; i < pass->servers->len; i++) {
        struct ms_bserver *server = g_ptr_array_index(pass->servers, i);
        if (server->planned > 0) {
            make_room(pass, server);
        }
    }
}

/* Time that the unit may wait before its job misses its aim. */
static int64_t
slack_ms(const struct ms_bstep *step)
{
    const struct ms_queue_rule *queue = step->occurrence->job->queue;
    double stretch = MAX(queue->stretch - 1.0, 0.0);
    return queue->target_ms + (int64_t)(stretch * (double)step->spec->estimate_ms);
}

/* Whether stops that throw away WASTE core-seconds are worth it by now. */
static bool
may_reclaim(const struct pass *pass, int64_t waited, int64_t waste)
{
    const struct ms_bstep *step = pass->unit->step;
    if (priority_of(step->occurrence->job) == 0) {
        return waited >= RECLAIM_TOP_WAIT_MS && (pass->entitled || waste <= RECLAIM_WASTE_TOP);
    }
    return (double)waited >= RECLAIM_WAIT_SHARE * (double)slack_ms(step) && waste <= RECLAIM_WASTE;
}

/* Whether the unit's account asks for no more than it was guaranteed. */
static bool
is_entitled(const struct pass *pass, const struct ms_bstep *step)
{
    const struct ms_bjob *job = step->occurrence->job;
    const struct account_use *use = g_hash_table_lookup(pass->accounts, job->spec->account);
    return priority_of(job) == 0 && use != NULL && use->asked <= use->guaranteed;
}

/* Recounts what may be stopped on each server for units like the present one. */
static void
count_reclaimable(struct pass *pass)
{
    uint32_t priority = priority_of(pass->unit->step->occurrence->job);
    if (pass->counted && pass->counted_priority == priority &&
        pass->counted_entitled == pass->entitled) {
        return;
    }
    pass->counted = true;
    pass->counted_priority = priority;
    pass->counted_entitled = pass->entitled;
    for (guint i = 0; i < pass->servers->len; i++) {
        struct ms_bserver *server = g_ptr_array_index(pass->servers, i);
        memset(&server->reclaimable, 0, sizeof(server->reclaimable));
        MS_LIST_EACH(link, &server->tasks)
        {
            const struct ms_btask *task = MS_CONTAINER(link, struct ms_btask, server_link);
            if (may_stop(pass, task)) {
                ms_resources_add(&server->reclaimable, &task->step->spec->each, 1);
            }
        }
    }
}

/* Share, in thousandths, of SERVER that the plan would keep although it is free. */
static int64_t
idle_share(const struct pass *pass, const struct ms_bserver *server)
{
    struct ms_resources free = available(server, LEVEL_FREE);
    struct ms_resources planned = {0, 0, 0};
    const struct ms_resources *whole = &server->entry.capacity;
    ms_resources_add(&planned, &pass->unit->step->spec->each, server->planned);
    int64_t cpu =
        MIN(planned.cpu_millis, free.cpu_millis) * SHARE_WHOLE / MAX(whole->cpu_millis, 1);
    int64_t memory =
        MIN(planned.memory_mb, free.memory_mb) * SHARE_WHOLE / MAX(whole->memory_mb, 1);
    int64_t accels = MIN(planned.accels, free.accels) * SHARE_WHOLE / MAX(whole->accels, 1);
    return MAX(MAX(cpu, memory), MAX(accels, 0));
}

/*
 * Whether the planned room may be kept: not so much of it may lie idle for units
 * that wait that the others starve.
 */
static bool
may_keep(struct pass *pass)
{
    int64_t idle = 0;
    int64_t total = 0;
    for (guint i = 0; i < pass->servers->len; i++) {
        const struct ms_bserver *server = g_ptr_array_index(pass->servers, i);
        idle += idle_share(pass, server);
        total += SHARE_WHOLE;
    }
    if ((pass->kept_idle + idle) * 100 > total * KEEP_IDLE_PERCENT) {
        return false;
    }
    pass->kept_idle += idle;
    return true;
}

/* Tries the unit at the levels beyond free room. */
static void
wait_unit(struct pass *pass, const struct unit *unit)
{
    struct ms_engine *engine = pass->engine;
    int64_t waited = engine->now - unit->step->ready_since;
    engine->units_waiting++;
    if (pass->waiters++ >= WAITERS_MAX) {
        return;
    }
    if (plan(pass, LEVEL_SOON) != NO_PLAN) {
        reserve_unit(pass);
        return;
    }
    if (may_reclaim(pass, waited, 0)) {
        count_reclaimable(pass);
        if (plan(pass, LEVEL_RECLAIM) != NO_PLAN && may_reclaim(pass, waited, engine->plan_cost)) {
            reclaim_unit(pass);
            reserve_unit(pass);
            pass->counted = false;
            return;
        }
    }
    if (waited >= KEEP_WAIT_MS && pass->keepers < KEEPERS_MAX &&
        plan(pass, LEVEL_KEEP) != NO_PLAN && may_keep(pass)) {
        pass->keepers++;
        reserve_unit(pass);
    }
}

/* Starts what fits of the unit; the rest waits. */
static void
place_unit(struct pass *pass, const struct unit *unit)
{
    struct unit rest = *unit;
    pass->unit = &rest;
    pass->entitled = is_entitled(pass, unit->step);
    while (rest.count > 0 && plan(pass, LEVEL_FREE) != NO_PLAN) {
        uint32_t started = start_unit(pass);
        rest.tasks += started;
        rest.count -= started;
    }
    if (rest.count == 0) {
        pass->unit = NULL;
        return;
    }
    if (!rest.gang) {
        rest.count = 1; /* room is made for one after the other */
    }
    wait_unit(pass, &rest);
    pass->unit = NULL;
}

/* Places what is waiting of STEP. */
static void
place_step(struct pass *pass, struct ms_bstep *step)
{
    struct ms_engine *engine = pass->engine;
    bool gang = step->spec->gang;
    struct ms_btask **alike = g_new(struct ms_btask *, step->spec->count);
    uint32_t count = 0;
    for (uint32_t i = 0; i < step->spec->count; i++) {
        struct ms_btask *task = &step->tasks[i];
        if (task->state != MS_BTASK_WAITING || engine->now < task->not_before) {
            continue;
        }
        if (gang || task->avoid_count == 0) {
            alike[count++] = task;
            continue;
        }
        /* A task that has failed somewhere is not like the others. */
        const struct unit unit = {.step = step, .tasks = &task, .count = 1, .gang = false};
        place_unit(pass, &unit);
    }
    if (count > 0 && (!gang || count == step->spec->count)) {
        const struct unit unit = {.step = step, .tasks = alike, .count = count, .gang = gang};
        place_unit(pass, &unit);
    }
    g_free(alike);
}

static void
collect_servers(struct pass *pass)
{
    struct ms_engine *engine = pass->engine;
    MS_LIST_EACH(link, &engine->servers)
    {
        struct ms_bserver *server = MS_CONTAINER(link, struct ms_bserver, link);
        memset(&server->reserved, 0, sizeof(server->reserved));
        memset(&server->stopping, 0, sizeof(server->stopping));
        server->planned = 0;
        if (!ms_bserver_usable(engine, server)) {
            continue;
        }
        MS_LIST_EACH(task_link, &server->tasks)
        {
            const struct ms_btask *task = MS_CONTAINER(task_link, struct ms_btask, server_link);
            if (task->state == MS_BTASK_STOPPING) {
                ms_resources_add(&server->stopping, &task->step->spec->each, 1);
            }
        }
        g_ptr_array_add(pass->servers, server);
        GPtrArray *rack = g_hash_table_lookup(pass->racks, server->entry.rack);
        if (rack == NULL) {
            rack = g_ptr_array_new();
            g_hash_table_insert(pass->racks, server->entry.rack, rack);
        }
        g_ptr_array_add(rack, server);
    }
}

static gint
by_priority(gconstpointer left, gconstpointer right)
{
    const struct ms_bstep *a = *(struct ms_bstep *const *)left;
    const struct ms_bstep *b = *(struct ms_bstep *const *)right;
    uint32_t a_priority = priority_of(a->occurrence->job);
    uint32_t b_priority = priority_of(b->occurrence->job);
    if (a_priority != b_priority) {
        return a_priority < b_priority ? -1 : 1;
    }
    int64_t a_at = a->occurrence->job->spec->accepted_ms;
    int64_t b_at = b->occurrence->job->spec->accepted_ms;
    if (a_at != b_at) {
        return a_at < b_at ? -1 : 1;
    }
    return strcmp(a->occurrence->job->id, b->occurrence->job->id);
}

/* What each account has and asks for at the top priority. */
static void
collect_accounts(struct pass *pass)
{
    struct ms_engine *engine = pass->engine;
    MS_LIST_EACH(link, &engine->jobs)
    {
        const struct ms_bjob *job = MS_CONTAINER(link, struct ms_bjob, link);
        if (job->phase != MS_PHASE_OPEN || priority_of(job) != 0) {
            continue;
        }
        struct account_use *use = g_hash_table_lookup(pass->accounts, job->spec->account);
        if (use == NULL) {
            const struct ms_account_rule *rule =
                ms_policy_account(engine->policy, job->spec->account);
            use = g_new0(struct account_use, 1);
            use->guaranteed = rule != NULL ? rule->guaranteed_accels : 0;
            g_hash_table_insert(pass->accounts, (gpointer)job->spec->account, use);
        }
        for (guint i = 0; i < job->occurrences->len; i++) {
            const struct ms_occurrence *occurrence = g_ptr_array_index(job->occurrences, i);
            for (size_t k = 0; occurrence->steps != NULL && k < job->spec->step_count; k++) {
                const struct ms_bstep *step = &occurrence->steps[k];
                use->asked += step->spec->each.accels * step->spec->count;
                use->used += step->spec->each.accels * step->active;
            }
        }
    }
}

static void
collect_steps(struct ms_engine *engine, GPtrArray *steps)
{
    MS_LIST_EACH(link, &engine->jobs)
    {
        struct ms_bjob *job = MS_CONTAINER(link, struct ms_bjob, link);
        for (guint i = 0; job->phase == MS_PHASE_OPEN && i < job->occurrences->len; i++) {
            struct ms_occurrence *occurrence = g_ptr_array_index(job->occurrences, i);
            for (size_t s = 0; occurrence->steps != NULL && s < job->spec->step_count; s++) {
                struct ms_bstep *step = &occurrence->steps[s];
                if (!ms_bstep_ready(engine, step)) {
                    continue;
                }
                if (step->ready_since == 0) {
                    step->ready_since = engine->now;
                }
                g_ptr_array_add(steps, step);
            }
        }
    }
}

/* A line a second about what waits, and how much room is free or kept for it. */
static void
note_pass(const struct pass *pass)
{
    struct ms_engine *engine = pass->engine;
    int64_t free = 0;
    if (engine->units_waiting == 0 || engine->now - engine->noted_at < NOTE_MS) {
        return;
    }
    engine->noted_at = engine->now;
    for (guint i = 0; i < pass->servers->len; i++) {
        const struct ms_bserver *server = g_ptr_array_index(pass->servers, i);
        free += server->entry.capacity.accels - server->used.accels;
    }
    ms_engine_note(engine,
                   "event=placing waiting=%u servers=%u accels_free=%" G_GINT64_FORMAT
                   " keepers=%u kept_servers=%" G_GINT64_FORMAT,
                   engine->units_waiting, pass->servers->len, free, pass->keepers,
                   pass->kept_idle / SHARE_WHOLE);
}

void
ms_engine_place(struct ms_engine *engine)
{
    struct pass pass = {.engine = engine};
    engine->place_work = 0;
    GPtrArray *steps = g_ptr_array_new();
    pass.servers = g_ptr_array_new();
    pass.racks =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_ptr_array_unref);
    pass.accounts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    collect_servers(&pass);
    if (engine->policy != NULL) {
        collect_accounts(&pass);
    }
    collect_steps(engine, steps);
    g_ptr_array_sort(steps, by_priority);
    engine->units_waiting = 0;
    for (guint i = 0; i < steps->len; i++) {
        place_step(&pass, g_ptr_array_index(steps, i));
    }
    note_pass(&pass);
    g_hash_table_destroy(pass.racks);
    g_hash_table_destroy(pass.accounts);
    g_ptr_array_unref(pass.servers);
    g_ptr_array_unref(steps);
}
