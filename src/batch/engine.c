/*
 * engine.c - creation of the engine, its action queue and its timers.
 */
#include <stdarg.h>
#include <string.h>

#include "batch/engine_late_start.h"
#include "batch/engine_private.h"

#define PLACE_INTERVAL_MIN_MS 20    /* minimum time between two placement passes */
#define SERVERS_EXAMINED_PER_MS 400 /* servers examined that lengthen this time by one ms */
#define PLACE_INTERVAL_MAX_MS 300   /* maximum time between two placement passes */
#define SCAN_INTERVAL_MAX_MS 200    /* maximum time between two scans of all servers */
#define SCAN_INTERVAL_MIN_MS 20     /* minimum time between two scans */
/*
 * Changes that are not urgent are stored together after this time.  Each end of a task of a wide
 * step would otherwise store the states of all its tasks again, which every host reads.
 */
#define STORE_DELAY_MS 300

void
ms_engine_limits_defaults(struct ms_engine_limits *limits)
{
    limits->lease_ms = 9000;
    limits->lease_max_ms = 10000;
    limits->gang_start_ms = 2200;
    limits->stop_grace_ms = 900;
    limits->start_early_ms = 0;
    limits->weigh_slow_stops = false;
    limits->ended_retention_ms = 150000;
}

static void
free_server(gpointer opaque)
{
    struct ms_batch_server *server = opaque;
    ms_late_start_forget_ends(server);
    g_free(server);
}

struct ms_engine *
ms_engine_new(const struct ms_engine_limits *limits, uint64_t epoch, int64_t earlier_leases_until,
              int64_t now)
{
    struct ms_engine *engine = g_new0(struct ms_engine, 1);
    engine->limits = *limits;
    engine->epoch = epoch;
    engine->now = now;
    engine->created_at = now;
    engine->earlier_leases_until = earlier_leases_until;
    engine->next_retry_at = INT64_MAX;
    engine->jobs_by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, ms_batch_job_free);
    engine->servers_by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_server);
    engine->accounts_by_name = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    engine->servers_by_index = g_ptr_array_new();
    engine->attention = g_array_new(FALSE, TRUE, sizeof(uint64_t));
    engine->storing = g_ptr_array_new();
    ms_list_link_init(&engine->jobs);
    ms_list_link_init(&engine->ended_jobs);
    ms_list_link_init(&engine->due_jobs);
    ms_list_link_init(&engine->servers);
    ms_list_link_init(&engine->dirty);
    ms_list_link_init(&engine->started);
    engine->actions = g_queue_new();
    return engine;
}

void
ms_engine_free(struct ms_engine *engine)
{
    if (engine == NULL) {
        return;
    }
    struct ms_engine_action *action = NULL;
    while ((action = g_queue_pop_head(engine->actions)) != NULL) {
        ms_engine_action_free(action);
    }
    g_queue_free(engine->actions);
    g_hash_table_destroy(engine->jobs_by_id);
    g_hash_table_destroy(engine->servers_by_id);
    g_hash_table_destroy(engine->accounts_by_name);
    g_ptr_array_unref(engine->servers_by_index);
    g_array_unref(engine->attention);
    g_ptr_array_unref(engine->storing);
    g_free(engine);
}

void
ms_engine_set_log(struct ms_engine *engine, void (*line)(void *opaque, const char *text),
                  void *opaque)
{
    engine->log_callback = line;
    engine->log_opaque = opaque;
}

void
ms_engine_log_event(struct ms_engine *engine, const char *format, ...)
{
    if (engine->log_callback == NULL) {
        return;
    }
    va_list arguments;
    va_start(arguments, format);
    char *text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    engine->log_callback(engine->log_opaque, text);
    g_free(text);
}

struct ms_engine_action *
ms_engine_push_action(struct ms_engine *engine, enum ms_engine_action_kind kind,
                      const struct ms_batch_server *server)
{
    struct ms_engine_action *action = g_new0(struct ms_engine_action, 1);
    action->kind = kind;
    action->epoch = engine->epoch;
    if (kind == MS_ENGINE_START || kind == MS_ENGINE_STOP) {
        action->queued_at = engine->now;
        action->orders_ahead = engine->orders.unanswered++;
    }
    if (server != NULL) {
        g_strlcpy(action->server, server->id, sizeof(action->server));
        g_strlcpy(action->address, server->entry.address, sizeof(action->address));
        action->incarnation = server->incarnation;
        action->clock_min_ms = ms_batch_server_clock_min(engine, server);
        action->fence = ms_batch_server_fence(engine, server);
    }
    g_queue_push_tail(engine->actions, action);
    return action;
}

void
ms_engine_step_down(struct ms_engine *engine, const char *reason)
{
    if (engine->stepped_down) {
        return;
    }
    engine->stepped_down = true;
    struct ms_engine_action *action = ms_engine_push_action(engine, MS_ENGINE_STEP_DOWN, NULL);
    action->reason = reason;
}

bool
ms_engine_sent_action(struct ms_engine *engine, const struct ms_engine_action *action)
{
    if (action->epoch == engine->epoch) {
        return true;
    }
    if (engine->late_answer_count == 0) {
        ms_engine_log_event(engine,
                            "event=late_answer server=%s task=%s sent_epoch=%" G_GUINT64_FORMAT,
                            action->server, action->task, action->epoch);
    }
    engine->late_answer_count++;
    return false;
}

struct ms_engine_action *
ms_engine_pop_action(struct ms_engine *engine)
{
    return g_queue_pop_head(engine->actions);
}

static void
free_store_record(gpointer opaque)
{
    struct ms_store_record *record = opaque;
    if (record->value != NULL) {
        g_bytes_unref(record->value);
    }
    g_free(record);
}

void
ms_engine_action_free(struct ms_engine_action *action)
{
    if (action == NULL) {
        return;
    }
    if (action->records != NULL) {
        g_ptr_array_set_free_func(action->records, free_store_record);
        g_ptr_array_unref(action->records);
    }
    if (action->candidates != NULL) {
        g_ptr_array_unref(action->candidates);
    }
    g_free(action->payload);
    g_free(action);
}

void
ms_engine_mark_dirty(struct ms_engine *engine, struct ms_batch_job *job, bool urgent)
{
    if (ms_list_is_empty(&engine->dirty)) {
        engine->dirty_since = engine->now;
    }
    ms_list_remove(&job->dirty_link);
    ms_list_append(&engine->dirty, &job->dirty_link);
    job->store_urgent |= urgent;
    engine->dirty_urgent |= urgent;
}

void
ms_engine_set_policy(struct ms_engine *engine, const struct ms_policy *policy)
{
    GHashTableIter iterator;
    gpointer job = NULL;
    gpointer account = NULL;
    engine->policy = policy;
    g_hash_table_iter_init(&iterator, engine->jobs_by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &job)) {
        ms_batch_job_resolve_queue(engine, job);
    }
    g_hash_table_iter_init(&iterator, engine->accounts_by_name);
    while (g_hash_table_iter_next(&iterator, NULL, &account)) {
        ms_account_set_policy(account, policy);
    }
    ms_order_set_policy(engine);
    engine->placement_due = true;
    /* A job may have failed as often as its queue, missing until now or changed, allows. */
    MS_LIST_FOREACH(link, &engine->jobs)
    {
        ms_batch_job_update_phase(engine, MS_CONTAINER_OF(link, struct ms_batch_job, jobs_link));
    }
}

void
ms_engine_set_dcs_out(struct ms_engine *engine, GHashTable *dcs)
{
    engine->dcs_out = dcs;
    engine->placement_due = true;
}

/* The ends that the store in progress contains may be acknowledged, and leases extended again. */
static void
note_server_stored(struct ms_engine *engine, struct ms_batch_server *server)
{
    if (server->ends_storing > server->ends_stored) {
        server->ends_stored = server->ends_storing;
        server->next_renewal_at = MIN(server->next_renewal_at, engine->now);
        ms_attention_add(engine, server);
    }
    if (server->unfreeze_storing) {
        ms_batch_server_finish_unfreeze(engine, server);
    }
}

/* Orders the starts of STEP whose runs the store in progress contains. */
static void
order_stored_starts(struct ms_engine *engine, struct ms_batch_step *step)
{
    for (uint32_t i = 0; step->active > 0 && i < step->spec->task_count; i++) {
        struct ms_batch_task *task = &step->tasks[i];
        task->unanswered_stored |= task->unanswered_packed;
        if (task->state == MS_BATCH_TASK_RECORDING && task->store_pending) {
            task->state = MS_BATCH_TASK_STARTING;
            engine->orders.to_come--;
            ms_attention_add(engine, task->server);
            task->next_order_at = engine->now;
            ms_batch_task_send_order(engine, task);
        }
    }
}

/* The same for all steps of JOB. */
static void
note_job_stored(struct ms_engine *engine, struct ms_batch_job *job)
{
    job->store_pending = false;
    for (guint i = 0; i < job->occurrences->len; i++) {
        struct ms_batch_occurrence *occurrence = g_ptr_array_index(job->occurrences, i);
        for (size_t s = 0; occurrence->steps != NULL && s < job->spec->step_count; s++) {
            order_stored_starts(engine, &occurrence->steps[s]);
        }
    }
}

/* Orders jobs as the engine learned of them. */
static gint
compare_sequences(gconstpointer left, gconstpointer right)
{
    const struct ms_batch_job *a = *(struct ms_batch_job *const *)left;
    const struct ms_batch_job *b = *(struct ms_batch_job *const *)right;
    return a->sequence < b->sequence ? -1 : a->sequence > b->sequence;
}

void
ms_engine_on_stored(struct ms_engine *engine, int64_t now)
{
    struct ms_batch_server *server = NULL;
    engine->now = MAX(engine->now, now);
    engine->store_pending = false;
    /* A server whose ends are not all stored, or whose lease is not NORMAL, needs attention. */
    for (uint32_t i = 0; (server = ms_attention_next(engine, i)) != NULL; i = server->index + 1) {
        note_server_stored(engine, server);
    }
    g_ptr_array_sort(engine->storing, compare_sequences);
    for (guint i = 0; i < engine->storing->len; i++) {
        note_job_stored(engine, g_ptr_array_index(engine->storing, i));
    }
    g_ptr_array_set_size(engine->storing, 0);
}

/* Runs the timers of the servers that need attention, of all servers if ALL, and of jobs. */
static void
scan(struct ms_engine *engine, bool all)
{
    struct ms_batch_server *server = NULL;
    for (guint i = 0; all && i < engine->servers_by_index->len; i++) {
        ms_batch_server_tick(engine, g_ptr_array_index(engine->servers_by_index, i));
    }
    for (uint32_t i = 0; !all && (server = ms_attention_next(engine, i)) != NULL;
         i = server->index + 1) {
        ms_batch_server_tick(engine, server);
    }
    MS_LIST_FOREACH(link, &engine->due_jobs)
    {
        ms_batch_job_add_due_occurrences(engine,
                                         MS_CONTAINER_OF(link, struct ms_batch_job, due_link));
    }
    ms_engine_store_started_jobs(engine);
    ms_engine_remove_expired_jobs(engine);
}

/* Minimum time until the next placement pass; longer after a pass that took much work. */
static int64_t
place_interval(const struct ms_engine *engine)
{
    int64_t interval =
        PLACE_INTERVAL_MIN_MS + (int64_t)(engine->servers_examined / SERVERS_EXAMINED_PER_MS);
    return MIN(interval, PLACE_INTERVAL_MAX_MS);
}

void
ms_engine_tick(struct ms_engine *engine, int64_t now, int64_t unix_ms)
{
    engine->now = MAX(engine->now, now);
    engine->unix_ms = unix_ms + engine->limits.start_early_ms;
    if (engine->now - engine->last_scan_at >= SCAN_INTERVAL_MIN_MS) {
        bool all = engine->now - engine->last_full_scan_at >= SCAN_INTERVAL_MAX_MS;
        engine->last_scan_at = engine->now;
        engine->last_full_scan_at = all ? engine->now : engine->last_full_scan_at;
        scan(engine, all);
    }
    if (engine->now - engine->last_placement_at >= PLACE_INTERVAL_MAX_MS) {
        /* A unit may have waited long enough to preempt others or to leave its preferred rack. */
        engine->placement_due = true;
    }
    if (engine->now >= engine->next_retry_at) {
        engine->placement_due = true;
        engine->next_retry_at = INT64_MAX;
    }
    if (engine->placement_due &&
        engine->now - engine->last_placement_at >= place_interval(engine)) {
        engine->placement_due = false;
        engine->last_placement_at = engine->now;
        ms_engine_run_placement(engine);
    }
    bool all_due = engine->now - engine->dirty_since >= STORE_DELAY_MS;
    if (!engine->store_pending && !ms_list_is_empty(&engine->dirty) &&
        (engine->dirty_urgent || all_due)) {
        ms_engine_store_dirty_jobs(engine, all_due);
    }
}

int64_t
ms_engine_next_tick(const struct ms_engine *engine)
{
    int64_t next = MIN(engine->last_full_scan_at + SCAN_INTERVAL_MAX_MS, engine->next_retry_at);
    if (engine->placement_due) {
        next = MIN(next, engine->last_placement_at + place_interval(engine));
    }
    if (!engine->store_pending && !ms_list_is_empty(&engine->dirty)) {
        int64_t due = engine->dirty_urgent ? engine->now : engine->dirty_since + STORE_DELAY_MS;
        next = MIN(next, due);
    }
    int64_t next_scan_at = engine->last_scan_at + SCAN_INTERVAL_MIN_MS;
    const struct ms_batch_server *server = NULL;
    /* A server with a renewal that is due at some time needs attention. */
    for (uint32_t i = 0; next > next_scan_at && (server = ms_attention_next(engine, i)) != NULL;
         i = server->index + 1) {
        if (!server->renewal_pending) {
            next = MIN(next, MAX(server->next_renewal_at, next_scan_at));
        }
    }
    return next;
}
