/*
 * engine_late_start.c - remembers unanswered copies of start orders; see engine_late_start.h.
 *
 * While a copy may be carried out, two things could make it a second run of its task:
 *
 * - The task is started elsewhere.  On the same server no second run comes beside it as long as
 *   this incarnation goes on, so the task may return there at once.  Elsewhere it may start once
 *   the server has reported its runs after the copy's time, or once a run that began at the last
 *   moment must have lost its lease.
 * - The end of the run is acknowledged, so that a start after it would come too late.  The end
 *   counts for the job as soon as it is reported; its acknowledgement waits for the copy's time. If
 *   the server starts again before that, the end is forgotten without having been acknowledged.
 */
#include "batch/engine_late_start.h"

#define IDLE_RENEWAL_MS 1000 /* between renewals of a silent server without tasks */

/* An end that must not be acknowledged before `until`. */
struct held_end {
    struct ms_list_link link; /* in server->held_ends, by position */
    uint64_t position;
    int64_t until;
};

/* Name of a task, taken apart. */
struct task_key {
    uint32_t occurrence;
    uint32_t step;
    uint32_t task;
};

static struct ms_late_start *
of_job(struct ms_list_link *link)
{
    return MS_CONTAINER_OF(link, struct ms_late_start, job_link);
}

static struct ms_late_start *
of_server(struct ms_list_link *link)
{
    return MS_CONTAINER_OF(link, struct ms_late_start, server_link);
}

static struct task_key
key_of(const struct ms_batch_task *task)
{
    return (struct task_key){task->step->occurrence->index, task->step->index, task->index};
}

static bool
is_of_step(const struct ms_late_start *late, const struct task_key *key)
{
    return late->occurrence == key->occurrence && late->step == key->step;
}

static bool
is_of_task(const struct ms_late_start *late, const struct task_key *key)
{
    return is_of_step(late, key) && late->task == key->task;
}

/* The job of the task NAME, whose indexes go to KEY; NULL if there is none. */
static struct ms_batch_job *
find_job(const struct ms_engine *engine, const char *name, struct task_key *key)
{
    char id[MS_JOB_ID_MAX];
    if (ms_task_name_parse(name, id, &key->occurrence, &key->step, &key->task) != MS_OK) {
        return NULL;
    }
    struct ms_batch_job *job = g_hash_table_lookup(engine->jobs_by_id, id);
    return job != NULL && key->step < job->spec->step_count ? job : NULL;
}

static struct ms_late_start *
get_or_add(struct ms_batch_job *job, const struct task_key *key, struct ms_batch_server *server)
{
    MS_LIST_FOREACH(link, &job->late_starts)
    {
        struct ms_late_start *late = of_job(link);
        if (late->server == server && is_of_task(late, key)) {
            return late;
        }
    }
    struct ms_late_start *late = g_new0(struct ms_late_start, 1);
    late->job = job;
    late->server = server;
    late->occurrence = key->occurrence;
    late->step = key->step;
    late->task = key->task;
    ms_list_append(&job->late_starts, &late->job_link);
    ms_list_append(&server->late_starts, &late->server_link);
    return late;
}

/*
 * A copy of the start of RUN of the task KEY of JOB may be carried out at SERVER until UNTIL; it is
 * ASSUMED, or known.
 */
static void
note(struct ms_engine *engine, struct ms_batch_job *job, const struct task_key *key, uint32_t run,
     struct ms_batch_server *server, int64_t until, bool assumed)
{
    if (job->spec->steps[key->step].speculative) {
        return; /* its tasks may have several runs at the same time */
    }
    struct ms_late_start *late = get_or_add(job, key, server);
    late->assumed = assumed && (late->assumed || late->until == 0);
    late->run = MAX(late->run, run);
    late->until = MAX(late->until, until);
    ms_attention_add(engine, server);
}

void
ms_late_start_on_no_answer(struct ms_engine *engine, struct ms_batch_server *server,
                           const struct ms_engine_action *order)
{
    struct task_key key;
    struct ms_batch_job *job = find_job(engine, order->task, &key);
    if (job == NULL) {
        return;
    }
    note(engine, job, &key, order->run, server, engine->now + MS_ORDER_LATE_MS, false);
    ms_engine_log_event(engine, "event=late_start_possible task=%s run=%u server=%s", order->task,
                        order->run, server->id);
    ms_engine_mark_dirty(engine, job, true); /* the next copy waits for that */
}

void
ms_late_start_assume(struct ms_engine *engine, const struct ms_batch_task *task,
                     struct ms_batch_server *server)
{
    struct task_key key = key_of(task);
    note(engine, ms_batch_task_job(task), &key, task->run, server,
         engine->created_at + MS_ORDER_TIMEOUT_MS + MS_ORDER_LATE_MS, true);
}

static void
free_late_start(struct ms_late_start *late)
{
    ms_list_remove(&late->job_link);
    ms_list_remove(&late->server_link);
    g_free(late);
}

/* LATE can be carried out no more, and no run of it is left unnoticed. */
static void
drop(struct ms_engine *engine, struct ms_late_start *late, const char *reason)
{
    ms_engine_log_event(engine, "event=late_start_over task=%s.%u.%u.%u run=%u server=%s reason=%s",
                        late->job->id, late->occurrence, late->step, late->task, late->run,
                        late->server->id, reason);
    free_late_start(late);
    engine->placement_due = true;
}

void
ms_late_start_on_seen(struct ms_engine *engine, const struct ms_batch_server *server,
                      const char *name, uint32_t run)
{
    struct task_key key;
    struct ms_batch_job *job = find_job(engine, name, &key);
    if (job == NULL) {
        return;
    }
    MS_LIST_FOREACH(link, &job->late_starts)
    {
        struct ms_late_start *late = of_job(link);
        if (late->assumed && late->server == server && late->run == run && is_of_task(late, &key)) {
            drop(engine, late, "seen");
        }
    }
}

void
ms_late_start_on_lapse(struct ms_engine *engine, const struct ms_batch_task *task,
                       const struct ms_batch_server *server)
{
    struct task_key key = key_of(task);
    if (task->start_confirmed) {
        return;
    }
    MS_LIST_FOREACH(link, &ms_batch_task_job(task)->late_starts)
    {
        struct ms_late_start *late = of_job(link);
        if (late->server == server && is_of_task(late, &key) && late->run == task->run) {
            drop(engine, late, "not_confirmed");
        }
    }
}

enum ms_late_start_scope
ms_late_start_find_scope(const struct ms_engine *engine, const struct ms_batch_task *task,
                         struct ms_batch_server **server)
{
    struct task_key key = key_of(task);
    *server = NULL;
    MS_LIST_FOREACH(link, &ms_batch_task_job(task)->late_starts)
    {
        const struct ms_late_start *late = of_job(link);
        if (!is_of_task(late, &key)) {
            continue;
        }
        if (*server != NULL || !ms_batch_server_usable(engine, late->server)) {
            return MS_LATE_START_NOWHERE;
        }
        *server = late->server;
    }
    return *server != NULL ? MS_LATE_START_ONE_SERVER : MS_LATE_START_NONE;
}

/* Until when a copy of the start of the task KEY of JOB, or of its gang, may come; 0: none is left.
 */
static int64_t
latest_copy(const struct ms_batch_job *job, const struct task_key *key)
{
    bool gang = job->spec->steps[key->step].gang;
    int64_t until = 0;
    MS_LIST_FOREACH(link, (struct ms_list_link *)&job->late_starts)
    {
        const struct ms_late_start *late = of_job(link);
        if (gang ? is_of_step(late, key) : is_of_task(late, key)) {
            until = MAX(until, late->until);
        }
    }
    return until;
}

void
ms_late_start_on_end(struct ms_engine *engine, struct ms_batch_server *server,
                     const struct ms_reported_end *end)
{
    struct task_key key;
    const struct ms_batch_job *job = find_job(engine, end->task, &key);
    bool counts = end->end == MS_RUN_END_DONE || end->end == MS_RUN_END_FAILED;
    int64_t until = job != NULL && counts ? latest_copy(job, &key) : 0;
    if (until <= engine->now) {
        return;
    }
    struct held_end *held = g_new0(struct held_end, 1);
    held->position = end->position;
    held->until = until;
    ms_list_append(&server->held_ends, &held->link);
    ms_engine_log_event(engine, "event=end_held task=%s run=%u server=%s for_ms=%" G_GINT64_FORMAT,
                        end->task, end->run, server->id, until - engine->now);
}

uint64_t
ms_late_start_held_end(const struct ms_batch_server *server)
{
    return ms_list_is_empty(&server->held_ends)
               ? 0
               : MS_CONTAINER_OF(server->held_ends.next, struct held_end, link)->position;
}

static void
free_held_end(struct held_end *held)
{
    ms_list_remove(&held->link);
    g_free(held);
}

void
ms_late_start_forget_ends(struct ms_batch_server *server)
{
    MS_LIST_FOREACH(link, &server->held_ends)
    {
        free_held_end(MS_CONTAINER_OF(link, struct held_end, link));
    }
}

void
ms_late_start_on_replaced(struct ms_engine *engine, struct ms_batch_server *server)
{
    MS_LIST_FOREACH(link, &server->late_starts)
    {
        drop(engine, of_server(link), "other_life");
    }
}

void
ms_late_start_on_report(struct ms_engine *engine, struct ms_batch_server *server, int64_t sent_at)
{
    MS_LIST_FOREACH(link, &server->late_starts)
    {
        struct ms_late_start *late = of_server(link);
        if (late->until <= sent_at) {
            drop(engine, late, "reported");
        }
    }
}

/* A renewal of SERVER, which may be idle, is due: its report tells of the runs that it has. */
static void
ask_for_report(const struct ms_engine *engine, struct ms_batch_server *server)
{
    if (!server->renewal_pending && server->next_renewal_at == INT64_MAX) {
        server->next_renewal_at = engine->now + (server->unresponsive ? IDLE_RENEWAL_MS : 0);
    }
}

/* The ends of SERVER whose time has come may be acknowledged. */
static void
release_ends(const struct ms_engine *engine, struct ms_batch_server *server)
{
    MS_LIST_FOREACH(link, &server->held_ends)
    {
        struct held_end *held = MS_CONTAINER_OF(link, struct held_end, link);
        if (held->until > engine->now) {
            return; /* all later ends wait for this one */
        }
        free_held_end(held);
        server->next_renewal_at = MIN(server->next_renewal_at, engine->now);
    }
}

void
ms_late_start_tick(struct ms_engine *engine, struct ms_batch_server *server)
{
    int64_t lease_ms = ms_batch_longest_lease_ms(engine);
    release_ends(engine, server);
    MS_LIST_FOREACH(link, &server->late_starts)
    {
        struct ms_late_start *late = of_server(link);
        if (engine->now >= late->until + lease_ms) {
            drop(engine, late, "lease_lapsed");
        }
        else if (engine->now >= late->until) {
            ask_for_report(engine, server);
        }
    }
}

void
ms_late_start_clear(struct ms_batch_job *job)
{
    MS_LIST_FOREACH(link, &job->late_starts)
    {
        free_late_start(of_job(link));
    }
}

void
ms_late_start_pack(const struct ms_engine *engine, const struct ms_batch_job *job,
                   Ms__Batch__StateRecord *record, GPtrArray *servers)
{
    GPtrArray *items = g_ptr_array_new();
    MS_LIST_FOREACH(link, (struct ms_list_link *)&job->late_starts)
    {
        const struct ms_late_start *late = of_job(link);
        Ms__Batch__LateStartRecord *item = g_new0(Ms__Batch__LateStartRecord, 1);
        ms__batch__late_start_record__init(item);
        item->occurrence = late->occurrence;
        item->step = late->step;
        item->task = late->task;
        item->run = late->run;
        item->server = ms_store_server_index(engine, servers, late->server);
        item->left_ms = late->until - engine->now;
        g_ptr_array_add(items, item);
    }
    record->n_late_starts = items->len;
    record->late_starts = (Ms__Batch__LateStartRecord **)g_ptr_array_free(items, FALSE);
}

void
ms_late_start_free_packed(Ms__Batch__StateRecord *record)
{
    for (size_t i = 0; i < record->n_late_starts; i++) {
        g_free(record->late_starts[i]);
    }
    g_free(record->late_starts);
}

void
ms_late_start_restore(struct ms_engine *engine, struct ms_batch_job *job,
                      const Ms__Batch__StateRecord *record, int64_t read_at)
{
    for (size_t i = 0; i < record->n_late_starts; i++) {
        const Ms__Batch__LateStartRecord *item = record->late_starts[i];
        const struct task_key key = {item->occurrence, item->step, item->task};
        int64_t until = read_at + MIN(item->left_ms, MS_ORDER_LATE_MS);
        if (item->server == 0 || item->server > record->n_servers ||
            item->step >= job->spec->step_count ||
            until + ms_batch_longest_lease_ms(engine) <= engine->now) {
            continue;
        }
        char **fields = g_strsplit(record->servers[item->server - 1], "/", 2);
        note(engine, job, &key, item->run, ms_engine_get_or_add_server(engine, fields[0]), until,
             false);
        g_strfreev(fields);
    }
}
