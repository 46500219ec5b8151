/*
 * engine_speed.c - tells slow servers from tasks with much work, and stops runs on slow servers
 * if that pays.
 *
 * The tasks of one step differ in their work, some by a factor of 7, and servers differ in
 * speed.  A single run that is slower than its siblings therefore says little.  A server counts
 * as slow for certain if the rate of a run on it has fallen to a third, or if several runs of
 * several steps lag behind their siblings and none runs normally.  Weaker evidence only makes
 * the server one that is chosen last.
 *
 * All members of a gang progress together: a gang whose rate has fallen says that one of its
 * servers is slow, not which one.
 */
#include <stdlib.h>
#include <string.h>

#include "batch/engine_placement.h"
#include "batch/engine_speed.h"
#include "batch/slow_stop.h"

#define SLOW_MS 8000         /* how long a slow server is chosen last after the evidence */
#define PEER_RATE_MS 500     /* the median rate of a step is computed at most this often */
#define PEERS_MIN 3          /* runs of a step for a median rate */
#define LAGGING_FACTOR 3     /* a run this many times slower than the median lags */
#define NORMAL_FACTOR 2      /* a run at most this many times slower is normal */
#define LAGGING_RUNS_MIN 2   /* runs of several steps that make a server slow for certain */
#define SLOWDOWN_MIN 200     /* of a slow server, see MS_SLOWDOWN_NONE */
#define SLOWDOWN_MAX 1000    /* the rate of a run that hardly progresses is imprecise */
#define ONSET_MARGIN_MS 900  /* a window that starts this long after the onset lies after it */
#define CLAIM_MARGIN_MS 1000 /* from the end of a stop until the run is placed again */
#define WAIT_MIN_MS 1000     /* least wait for room that is expected where there is none */

/* What a run says about the speed of its server. */
enum speed_vote {
    VOTE_NONE = 0,
    VOTE_NORMAL,  /* it is not slow */
    VOTE_STEADY,  /* it is not slower than when the run began */
    VOTE_LAGGING, /* the run is much slower than its siblings */
    VOTE_FELL,    /* the run is much slower than it was */
};

struct server_evidence {
    uint32_t fell;                           /* runs, not of gangs, whose rate has fallen */
    uint32_t gangs_fell;                     /* members of gangs whose rate has fallen */
    uint32_t lagging;                        /* runs that lag behind their siblings */
    uint32_t normal;                         /* runs at a normal rate */
    const struct ms_batch_step *latest_step; /* of the slow run that was added last */
    bool several_steps;                      /* the slow runs are of several steps */
    int64_t slowdown;                        /* the least one of the slow runs */
    int64_t fell_since;                      /* since when the first rate has fallen, 0: none */
    int64_t lagging_since;                   /* since when all those that lag do so */
    int64_t since;                           /* from when on the server is known to be slow */
};

void
ms_speed_on_progress(struct ms_engine *engine, struct ms_batch_task *task, const char *checkpoint)
{
    if (!engine->limits.weigh_slow_stops) {
        return;
    }
    struct ms_batch_step *step = task->step;
    ms_run_speed_note(&task->speed, engine->now, task->progress_percent);
    if (checkpoint[0] == '\0' || strcmp(checkpoint, task->checkpoint) == 0) {
        return;
    }
    uint32_t first = step->spec->gang ? 0 : task->index;
    uint32_t last = step->spec->gang ? step->spec->task_count - 1 : task->index;
    for (uint32_t i = first; i <= last; i++) {
        step->tasks[i].checkpoint_percent = task->progress_percent;
    }
}

int64_t
ms_speed_percent_ms(const struct ms_batch_task *task)
{
    int64_t rate = ms_run_speed_normal(&task->speed);
    return rate > 0 ? MS_RATE_SCALE_MS / rate : 0;
}

static int
compare_rates(const void *left, const void *right)
{
    const int64_t a = *(const int64_t *)left;
    const int64_t b = *(const int64_t *)right;
    return a < b ? -1 : a > b;
}

/* The median of the normal rates of STEP's runs; 0 if there are too few. */
static int64_t
median_rate(const struct ms_batch_step *step)
{
    int64_t *rates = g_new(int64_t, step->spec->task_count);
    uint32_t count = 0;
    for (uint32_t i = 0; i < step->spec->task_count; i++) {
        const struct ms_batch_task *task = &step->tasks[i];
        int64_t rate = ms_run_speed_normal(&task->speed);
        if (task->state == MS_BATCH_TASK_RUNNING && rate > 0) {
            rates[count++] = rate;
        }
    }
    qsort(rates, count, sizeof(*rates), compare_rates);
    int64_t median = count >= PEERS_MIN ? rates[count / 2] : 0;
    g_free(rates);
    return median;
}

/* The same, computed from time to time only, as a step may have thousands of tasks. */
static int64_t
peer_rate(const struct ms_engine *engine, struct ms_batch_step *step)
{
    if (step->spec->gang || step->active < PEERS_MIN) {
        return 0;
    }
    if (step->peer_rate_at == 0 || engine->now - step->peer_rate_at >= PEER_RATE_MS) {
        step->peer_rate = median_rate(step);
        step->peer_rate_at = engine->now;
    }
    return step->peer_rate;
}

/* Whether the rate of TASK says anything about its server. */
static bool
is_measured(const struct ms_batch_task *task)
{
    const struct ms_step *spec = task->step->spec;
    return task->state == MS_BATCH_TASK_RUNNING && !spec->long_running && !spec->best_effort &&
           ms_run_speed_normal(&task->speed) > 0;
}

/* What TASK says about its server; *SLOWDOWN is set if it says that the server is slow. */
static enum speed_vote
vote_of(const struct ms_engine *engine, const struct ms_batch_task *task, int64_t *slowdown)
{
    if (!is_measured(task)) {
        return VOTE_NONE;
    }
    int64_t rate = ms_run_speed_present(&task->speed);
    int64_t peers = peer_rate(engine, task->step);
    bool fell = task->speed.fell_at != 0;
    if (fell || peers >= rate * LAGGING_FACTOR) {
        int64_t normal = fell ? ms_run_speed_normal(&task->speed) : peers;
        *slowdown = CLAMP(normal * MS_SLOWDOWN_NONE / rate, SLOWDOWN_MIN, SLOWDOWN_MAX);
        return fell ? VOTE_FELL : VOTE_LAGGING;
    }
    if (peers == 0) {
        return VOTE_STEADY;
    }
    return peers <= rate * NORMAL_FACTOR ? VOTE_NORMAL : VOTE_NONE;
}

static void
add_slow_run(struct server_evidence *evidence, const struct ms_batch_task *task,
             enum speed_vote vote, int64_t slowdown)
{
    const struct ms_run_speed *speed = &task->speed;
    bool first = evidence->latest_step == NULL;
    if (vote == VOTE_FELL) {
        evidence->fell_since =
            evidence->fell_since == 0 ? speed->fell_at : MIN(evidence->fell_since, speed->fell_at);
    }
    else {
        /* Any of them may lag because of its work: the youngest one proves the least. */
        evidence->lagging_since = MAX(evidence->lagging_since, speed->measured_since);
    }
    evidence->slowdown = first ? slowdown : MIN(evidence->slowdown, slowdown);
    evidence->several_steps |= !first && evidence->latest_step != task->step;
    evidence->latest_step = task->step;
    if (vote == VOTE_LAGGING) {
        evidence->lagging++;
    }
    else if (task->step->spec->gang) {
        evidence->gangs_fell++;
    }
    else {
        evidence->fell++;
    }
}

/*
 * Whether the window of TASK that ended last lies after ONSET, the time from when on other runs
 * are slow; 0: there are none.
 */
static bool
measured_after(const struct ms_batch_task *task, int64_t onset)
{
    return onset == 0 || task->speed.window_since >= onset + ONSET_MARGIN_MS;
}

/* Whether VOTE of TASK speaks against the server being slow since ONSET. */
static bool
denies_slowness(const struct ms_batch_task *task, enum speed_vote vote, int64_t onset)
{
    switch (vote) {
    case VOTE_NORMAL:
        return measured_after(task, onset);
    case VOTE_STEADY:
        return onset != 0 && task->speed.measured_since < onset && measured_after(task, onset);
    case VOTE_NONE:
    case VOTE_LAGGING:
    case VOTE_FELL:
        return false;
    }
    return false;
}

/* Whether TASK belongs to a gang that another server holds back. */
static bool
is_explained(const struct ms_engine *engine, const struct ms_batch_task *task)
{
    const struct ms_batch_step *step = task->step;
    return step->spec->gang && engine->now < step->slow_server_until &&
           step->slow_server != task->server;
}

/* SERVER is slow for certain: it is what holds back the gangs on it. */
static void
explain_gangs(const struct ms_engine *engine, struct ms_batch_server *server)
{
    MS_LIST_FOREACH(link, &server->tasks)
    {
        struct ms_batch_step *step = MS_CONTAINER_OF(link, struct ms_batch_task, server_link)->step;
        if (step->spec->gang && !(engine->now < step->slow_server_until)) {
            step->slow_server = server;
        }
        if (step->slow_server == server) {
            step->slow_server_until = server->slow_until;
        }
    }
}

/* Collects what the runs on SERVER say. */
static struct server_evidence
collect_evidence(const struct ms_engine *engine, struct ms_batch_server *server)
{
    struct server_evidence evidence = {0};
    int64_t slowdown = 0;
    MS_LIST_FOREACH(link, &server->tasks)
    {
        const struct ms_batch_task *task = MS_CONTAINER_OF(link, struct ms_batch_task, server_link);
        enum speed_vote vote = vote_of(engine, task, &slowdown);
        if ((vote == VOTE_LAGGING || vote == VOTE_FELL) && !is_explained(engine, task)) {
            add_slow_run(&evidence, task, vote, slowdown);
        }
    }
    evidence.since = evidence.fell_since != 0 ? evidence.fell_since : evidence.lagging_since;
    MS_LIST_FOREACH(other, &server->tasks)
    {
        const struct ms_batch_task *task =
            MS_CONTAINER_OF(other, struct ms_batch_task, server_link);
        enum speed_vote vote = vote_of(engine, task, &slowdown);
        evidence.normal += denies_slowness(task, vote, evidence.since);
    }
    return evidence;
}

static uint32_t
count_slow(const struct server_evidence *evidence)
{
    return evidence->fell + evidence->gangs_fell + evidence->lagging;
}

static bool
is_certain(const struct server_evidence *evidence)
{
    bool several_lag = evidence->several_steps && evidence->normal == 0 &&
                       count_slow(evidence) >= LAGGING_RUNS_MIN;
    return evidence->fell > evidence->normal || several_lag;
}

static void
clear_slow(struct ms_batch_server *server)
{
    server->slow_until = 0;
    server->slow_since = 0;
    server->slowdown = 0;
}

static void
log_slow(struct ms_engine *engine, const struct ms_batch_server *server,
         const struct server_evidence *evidence)
{
    ms_engine_log_event(
        engine,
        "event=server_slow server=%s slow=%u fair=%u fell=%u gangs=%u lagging=%u"
        " certain=%d slowdown_percent=%" G_GINT64_FORMAT " since_ms=%" G_GINT64_FORMAT,
        server->id, count_slow(evidence), evidence->normal, evidence->fell, evidence->gangs_fell,
        evidence->lagging, is_certain(evidence), evidence->slowdown, engine->now - evidence->since);
}

void
ms_speed_update_server(struct ms_engine *engine, struct ms_batch_server *server)
{
    struct server_evidence evidence = collect_evidence(engine, server);
    if (engine->now >= server->slow_until) {
        clear_slow(server);
    }
    if (count_slow(&evidence) + evidence.normal == 0) {
        return;
    }
    if (count_slow(&evidence) <= evidence.normal) {
        clear_slow(server);
        return;
    }
    bool certain = is_certain(&evidence);
    if (server->slow_until == 0 || (certain && server->slowdown == 0)) {
        log_slow(engine, server, &evidence);
    }
    server->slow_until = engine->now + SLOW_MS;
    server->slow_since =
        server->slowdown > 0 ? MIN(server->slow_since, evidence.since) : evidence.since;
    server->slowdown = certain ? evidence.slowdown : 0;
    if (certain) {
        explain_gangs(engine, server);
    }
}

/* Resources that one server has for members of the unit of TASK, the unit's own ones included. */
static struct ms_resources
room_on(const struct ms_engine *engine, const struct ms_batch_task *task,
        struct ms_batch_server *server, uint32_t *own_members)
{
    struct ms_resources room = ms_capacity_available(server, MS_LEVEL_FREE);
    if (engine->now < server->claimed_until) {
        ms_resources_add(&room, &server->claimed, -1);
    }
    *own_members = 0;
    MS_LIST_FOREACH(link, &server->tasks)
    {
        const struct ms_batch_task *other =
            MS_CONTAINER_OF(link, struct ms_batch_task, server_link);
        *own_members += task->step->spec->gang && other->step == task->step;
    }
    ms_resources_add(&room, &task->step->spec->task_resources, *own_members);
    return room;
}

/* How many members of the unit of TASK, at most LIMIT, may run on SERVER after a stop. */
static uint32_t
members_on(const struct ms_engine *engine, const struct ms_batch_task *task,
           struct ms_batch_server *server, uint32_t limit)
{
    const struct ms_step *spec = task->step->spec;
    bool wrong_rack = spec->rack[0] != '\0' && strcmp(spec->rack, server->entry.rack) != 0;
    if (server == task->server || engine->now < server->slow_until || wrong_rack ||
        !ms_batch_server_usable(engine, server) ||
        !ms_capacity_is_eligible(engine, task->step, server, MS_LEVEL_FREE)) {
        return 0;
    }
    uint32_t own_members = 0;
    uint32_t count = 0;
    struct ms_resources room = room_on(engine, task, server, &own_members);
    if (spec->per_server_max > 0) {
        limit = MIN(limit, spec->per_server_max);
    }
    while (count < limit && ms_resources_fit(&room, &spec->task_resources)) {
        ms_resources_add(&room, &spec->task_resources, -1);
        count++;
    }
    return count;
}

/* Members of the unit of TASK: all of its gang, or just itself. */
static uint32_t
member_count(const struct ms_batch_task *task)
{
    return task->step->spec->gang ? task->step->spec->task_count : 1;
}

/*
 * Finds free room for the unit of TASK on servers that are not slow, and sets their
 * `planned_task_count`; RACK is NULL or the only one that counts.
 */
static bool
find_room_in(struct ms_engine *engine, const struct ms_batch_task *task, const char *rack)
{
    uint32_t missing = member_count(task);
    MS_LIST_FOREACH(link, &engine->servers)
    {
        struct ms_batch_server *server =
            MS_CONTAINER_OF(link, struct ms_batch_server, servers_link);
        bool counts = rack == NULL || strcmp(rack, server->entry.rack) == 0;
        server->planned_task_count =
            counts && missing > 0 ? members_on(engine, task, server, missing) : 0;
        missing -= server->planned_task_count;
    }
    return missing == 0;
}

/* The same; a gang that should run in one rack needs its room in one. */
static bool
find_room(struct ms_engine *engine, const struct ms_batch_task *task)
{
    if (!task->step->spec->gang || !task->step->spec->same_rack) {
        return find_room_in(engine, task, NULL);
    }
    GHashTable *tried = g_hash_table_new(g_str_hash, g_str_equal);
    bool found = false;
    MS_LIST_FOREACH(link, &engine->servers)
    {
        const char *rack = MS_CONTAINER_OF(link, struct ms_batch_server, servers_link)->entry.rack;
        if (!found && g_hash_table_add(tried, (gpointer)rack)) {
            found = find_room_in(engine, task, rack);
        }
        if (found) {
            break;
        }
    }
    g_hash_table_destroy(tried);
    return found;
}

/* Keeps the room that find_room() has found from being counted on for other runs. */
static void
claim_room(struct ms_engine *engine, const struct ms_batch_task *task)
{
    MS_LIST_FOREACH(link, &engine->servers)
    {
        struct ms_batch_server *server =
            MS_CONTAINER_OF(link, struct ms_batch_server, servers_link);
        if (server->planned_task_count == 0) {
            continue;
        }
        if (engine->now >= server->claimed_until) {
            memset(&server->claimed, 0, sizeof(server->claimed));
        }
        ms_resources_add(&server->claimed, &task->step->spec->task_resources,
                         server->planned_task_count);
        server->claimed_until = engine->now + engine->limits.stop_grace_ms + CLAIM_MARGIN_MS;
    }
}

void
ms_speed_begin_pass(struct ms_engine *engine)
{
    memset(engine->waiting_since, 0, sizeof(engine->waiting_since));
}

void
ms_speed_note_waiting(struct ms_engine *engine, const struct ms_batch_step *step)
{
    uint32_t priority =
        MIN(ms_batch_job_priority(step->occurrence->job), MS_PRIORITIES_OBSERVED - 1);
    int64_t *since = &engine->waiting_since[priority];
    if (step->unplaced_since > 0 && (*since == 0 || step->unplaced_since < *since)) {
        *since = step->unplaced_since;
    }
}

/* The wait that work of the priority of TASK or a higher one sees at present. */
static int64_t
expected_wait_ms(const struct ms_engine *engine, const struct ms_batch_task *task)
{
    uint32_t priority =
        MIN(ms_batch_job_priority(ms_batch_task_job(task)), MS_PRIORITIES_OBSERVED - 1);
    int64_t wait_ms = WAIT_MIN_MS;
    for (uint32_t i = 0; i <= priority; i++) {
        if (engine->waiting_since[i] > 0) {
            wait_ms = MAX(wait_ms, engine->now - engine->waiting_since[i]);
        }
    }
    return wait_ms;
}

/* Time until the job of TASK misses the target of its queue, if it is of the top priority. */
static int64_t
due_in_ms(const struct ms_engine *engine, const struct ms_batch_task *task)
{
    const struct ms_batch_step *step = task->step;
    const struct ms_queue_rule *queue = ms_batch_task_job(task)->queue;
    if (queue == NULL || queue->priority != 0 || step->ready_since == 0) {
        return INT64_MAX;
    }
    int64_t run_ms = (int64_t)(queue->stretch * (double)step->spec->estimate_ms);
    return MAX(step->ready_since + queue->target_ms + run_ms - engine->now, 0);
}

/*
 * Whether TASK, which says VOTE, is slowed down by its server, or by that of another member of its
 * gang; CERTAIN: its own server is slow for certain.
 */
static bool
is_slowed(const struct ms_batch_task *task, enum speed_vote vote, bool certain)
{
    switch (vote) {
    case VOTE_FELL:
        return certain || task->step->spec->gang;
    case VOTE_LAGGING:
        return certain;
    case VOTE_STEADY:
        /* It has never been faster, as it began when the server was slow. */
        return certain && task->speed.measured_since >= task->server->slow_since;
    case VOTE_NONE:
    case VOTE_NORMAL:
        return false;
    }
    return false;
}

/* Fills in RUN but for the room; false if the server of TASK is not known to be slow. */
static bool
describe_run(const struct ms_engine *engine, const struct ms_batch_task *task,
             struct ms_slow_run *run)
{
    const struct ms_batch_server *server = task->server;
    const struct ms_step *spec = task->step->spec;
    bool certain = engine->now < server->slow_until && server->slowdown > 0;
    int64_t slowdown = 0;
    enum speed_vote vote = vote_of(engine, task, &slowdown);
    if (!is_slowed(task, vote, certain)) {
        return false;
    }
    bool fell = vote == VOTE_FELL;
    run->slowdown = fell ? slowdown : server->slowdown;
    /* Up to the end of the last window: since then the server may have become fast again. */
    int64_t since = fell ? task->speed.fell_at : server->slow_since;
    run->slow_for_ms = MAX(task->speed.window_since - since, 0);
    int64_t rate = ms_run_speed_present(&task->speed) * run->slowdown / MS_SLOWDOWN_NONE;
    uint32_t redo = task->progress_percent - MIN(task->checkpoint_percent, task->progress_percent);
    uint32_t own = task->progress_percent - MIN(task->resumed_percent, task->progress_percent);
    run->remaining_ms = (int64_t)(100 - MIN(task->progress_percent, 100)) * MS_RATE_SCALE_MS / rate;
    run->redo_ms = (int64_t)redo * MS_RATE_SCALE_MS / rate;
    run->spent_ms = (engine->now - task->running_since) * MIN(redo, own) / MAX(own, 1);
    run->due_in_ms = due_in_ms(engine, task);
    run->cpu_millis = (spec->task_resources.cpu_millis +
                       spec->task_resources.accels * MS_ACCEL_CORE_EQUIVALENT * 1000) *
                      member_count(task);
    run->earlier_stops = task->slow_stops;
    return true;
}

static void
stop_unit(struct ms_engine *engine, struct ms_batch_task *task, const struct ms_stop_weight *weight)
{
    struct ms_batch_step *step = task->step;
    char *reason =
        g_strdup_printf("slow_server gain_ms=%" G_GINT64_FORMAT " lost_core_s=%" G_GINT64_FORMAT,
                        weight->gain_ms, weight->lost_core_s);
    for (uint32_t i = 0; step->spec->gang && i < step->spec->task_count; i++) {
        step->tasks[i].slow_stops++;
    }
    task->slow_stops += !step->spec->gang;
    ms_batch_task_stop_unit(engine, task, reason);
    g_free(reason);
}

bool
ms_speed_leave_slow_server(struct ms_engine *engine, struct ms_batch_task *task)
{
    struct ms_slow_run run = {.has_room = true};
    /* A run is weighed once for each report, as nothing changes in between. */
    if (!is_measured(task) || task->server->unresponsive ||
        task->speed.weighed_at >= task->server->last_report_at) {
        return false;
    }
    task->speed.weighed_at = engine->now;
    if (!describe_run(engine, task, &run) || !ms_slow_run_weigh(&run).pays) {
        return false;
    }
    run.has_room = find_room(engine, task);
    run.wait_ms = expected_wait_ms(engine, task);
    struct ms_stop_weight weight = ms_slow_run_weigh(&run);
    if (!weight.pays) {
        return false;
    }
    if (run.has_room) {
        claim_room(engine, task);
    }
    stop_unit(engine, task, &weight);
    return true;
}
