/*
 * engine_advice.c - queues for which an external advice service selects the servers.
 *
 * Before a step of such a queue starts, the service is asked about some servers that
 * could run it.  It returns those that may, each with a ticket that the start order
 * carries.  The answer about a server applies to all tasks of the step and to one incarnation
 * of the server; tickets expire.  The service is slow and handles one call of a host at a time:
 * advice_pacing.h says when it is called, and about how many servers.
 */
#include <stdlib.h>
#include <string.h>

#include "batch/engine_private.h"

#define RETRY_MS 300          /* delay if there is no server to ask about */
#define TICKET_MARGIN_MS 500  /* a ticket is not used this shortly before it expires */
#define TICKET_MARGIN_PARTS 4 /* nor in the last of so many parts of a shorter validity */

/* Cached answer of the service about a server for one step. */
struct ms_advice_entry {
    uint32_t incarnation; /* incarnation of the server that the answer is about */
    bool allowed;         /* the server may run the step */
    int64_t valid_until;  /* if ALLOWED: end of the ticket's validity, 0: a server refused it */
    char ticket[MS_TICKET_MAX];
};

static const struct ms_queue_rule *
queue_of(const struct ms_batch_step *step)
{
    return step->occurrence->job->queue;
}

/* The cached answer about the current incarnation of SERVER, or NULL. */
static struct ms_advice_entry *
find_advice(const struct ms_batch_step *step, const struct ms_batch_server *server)
{
    struct ms_advice_entry *entry =
        step->advice != NULL ? g_hash_table_lookup(step->advice, server->id) : NULL;
    return entry != NULL && entry->incarnation == server->incarnation ? entry : NULL;
}

bool
ms_advice_allows(const struct ms_engine *engine, const struct ms_batch_step *step,
                 const struct ms_batch_server *server)
{
    if (queue_of(step) == NULL || !queue_of(step)->uses_advice) {
        return true;
    }
    const struct ms_advice_entry *entry = find_advice(step, server);
    return entry != NULL && entry->allowed && engine->now < entry->valid_until;
}

const char *
ms_advice_ticket(const struct ms_batch_step *step, const struct ms_batch_server *server)
{
    const struct ms_advice_entry *entry = find_advice(step, server);
    return entry != NULL ? entry->ticket : "";
}

void
ms_advice_invalidate_ticket(struct ms_batch_step *step, const struct ms_batch_server *server)
{
    struct ms_advice_entry *entry = find_advice(step, server);
    if (entry != NULL) {
        entry->valid_until = 0;
    }
}

/* Whether SERVER could run STEP, but there is no valid answer about it. */
static bool
needs_advice(const struct ms_engine *engine, const struct ms_batch_step *step,
             const struct ms_batch_server *server)
{
    const struct ms_advice_entry *entry = find_advice(step, server);
    bool is_known = entry != NULL && (!entry->allowed || engine->now < entry->valid_until);
    return !is_known && ms_batch_server_usable(engine, server) &&
           strcmp(queue_of(step)->service, server->entry.service) == 0 &&
           ms_batch_server_has_label(server, step->spec->label) &&
           ms_resources_fit(&server->entry.capacity, &step->spec->task_resources);
}

struct candidate {
    const struct ms_batch_server *server;
    bool in_data_rack;
    int64_t free_accels;
};

/* Orders servers in the rack of the step's data first, then by free accelerators, then by id. */
static int
compare_candidates(const void *left, const void *right)
{
    const struct candidate *a = left;
    const struct candidate *b = right;
    if (a->in_data_rack != b->in_data_rack) {
        return a->in_data_rack ? -1 : 1;
    }
    if (a->free_accels != b->free_accels) {
        return a->free_accels > b->free_accels ? -1 : 1;
    }
    return strcmp(a->server->id, b->server->id);
}

/* Ids of at most COUNT servers to ask about, the best first; owned by the caller. */
static GPtrArray *
choose_candidates(const struct ms_engine *engine, const struct ms_batch_step *step, uint32_t count)
{
    GArray *found = g_array_new(FALSE, FALSE, sizeof(struct candidate));
    GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
    MS_LIST_FOREACH(link, (struct ms_list_link *)&engine->servers)
    {
        const struct ms_batch_server *server =
            MS_CONTAINER_OF(link, struct ms_batch_server, servers_link);
        if (needs_advice(engine, step, server)) {
            struct candidate candidate = {
                .server = server,
                .in_data_rack = strcmp(step->spec->rack, server->entry.rack) == 0,
                .free_accels = server->entry.capacity.accels - server->allocated.accels};
            g_array_append_val(found, candidate);
        }
    }
    g_array_sort(found, compare_candidates);
    for (guint i = 0; i < MIN(found->len, count); i++) {
        g_ptr_array_add(ids, g_strdup(g_array_index(found, struct candidate, i).server->id));
    }
    g_array_unref(found);
    return ids;
}

/* Sends a call for STEP.  Returns false if the service may not be called now. */
static bool
ask(struct ms_engine *engine, struct ms_batch_step *step)
{
    const struct ms_queue_rule *queue = queue_of(step);
    struct ms_advice_pacing *pacing = &engine->advice_pacing;
    struct ms_advice_call call;
    GPtrArray *candidates =
        choose_candidates(engine, step, ms_advice_call_size(pacing, queue, step->waiting));
    if (candidates->len == 0) {
        g_ptr_array_unref(candidates);
        /* There are valid answers about all suitable servers. */
        step->advice_retry_at = engine->now + RETRY_MS;
        return true;
    }
    if (!ms_advice_begin_call(pacing, queue, candidates->len, engine->now, &call)) {
        g_ptr_array_unref(candidates);
        return false;
    }
    struct ms_engine_action *action = ms_engine_push_action(engine, MS_ENGINE_QUERY_ADVICE, NULL);
    g_snprintf(action->task, sizeof(action->task), "%s.%u.%u", step->occurrence->job->id,
               step->occurrence->index, step->index);
    action->candidates = candidates;
    action->advice_call = call;
    action->queued_at = engine->now;
    step->advice_pending = true;
    ms_engine_log_event(engine,
                        "event=advice_asked step=%s servers=%u service_ms=%" G_GINT64_FORMAT
                        " ahead_ms=%" G_GINT64_FORMAT " limit_ms=%" G_GINT64_FORMAT
                        " valid_ms=%" G_GINT64_FORMAT,
                        action->task, candidates->len, call.service_ms, call.ahead_ms,
                        call.limit_ms, queue->ticket_valid_ms);
    return true;
}

/* How much a step lacks advice: those that lack most are asked for first. */
enum advice_need {
    NEED_FIRST_ANSWER = 0, /* the service has never answered for it */
    NEED_TICKETS,          /* it has no valid ticket */
    NEED_MORE_SERVERS,     /* its tickets are for servers without room */
    NEED_COUNT
};

static enum advice_need
advice_need(const struct ms_engine *engine, const struct ms_batch_step *step)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    if (step->advice == NULL) {
        return NEED_FIRST_ANSWER;
    }
    g_hash_table_iter_init(&iterator, step->advice);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct ms_advice_entry *entry = value;
        if (entry->allowed && engine->now < entry->valid_until) {
            return NEED_MORE_SERVERS;
        }
    }
    return NEED_TICKETS;
}

/* Whether the service is to be asked for STEP, which has no call under way. */
static bool
wants_advice(const struct ms_engine *engine, const struct ms_batch_step *step)
{
    const struct ms_queue_rule *queue = queue_of(step);
    return queue != NULL && queue->uses_advice && step->waiting > 0 && !step->advice_pending &&
           engine->now >= step->advice_retry_at;
}

void
ms_advice_request(struct ms_engine *engine, const GPtrArray *steps)
{
    if (engine->now < engine->advice_pacing.retry_at) {
        return;
    }
    for (int need = NEED_FIRST_ANSWER; need < NEED_COUNT; need++) {
        for (guint i = 0; i < steps->len; i++) {
            struct ms_batch_step *step = g_ptr_array_index(steps, i);
            if (wants_advice(engine, step) && advice_need(engine, step) == (enum advice_need)need &&
                !ask(engine, step)) {
                return;
            }
        }
    }
}

/* The step of a QUERY_ADVICE action, or NULL if it no longer exists. */
static struct ms_batch_step *
find_step(const struct ms_engine *engine, const struct ms_engine_action *query)
{
    char *first_task = g_strdup_printf("%s.0", query->task);
    struct ms_batch_task *task = ms_engine_find_task(engine, first_task);
    g_free(first_task);
    return task != NULL ? task->step : NULL;
}

/* The row about SERVER, or NULL. */
static const struct ms_advised_server *
find_row(const GArray *rows, const char *server)
{
    for (guint i = 0; i < rows->len; i++) {
        const struct ms_advised_server *row = &g_array_index(rows, struct ms_advised_server, i);
        if (strcmp(row->server_id, server) == 0) {
            return row;
        }
    }
    return NULL;
}

/* Caches the answer about server ID: it may run STEP if ROWS has a row about it. */
static void
cache_advice(struct ms_engine *engine, struct ms_batch_step *step, const char *id,
             const GArray *rows)
{
    const struct ms_batch_server *server = g_hash_table_lookup(engine->servers_by_id, id);
    const struct ms_advised_server *row = find_row(rows, id);
    if (server == NULL) {
        return;
    }
    struct ms_advice_entry *entry = g_new0(struct ms_advice_entry, 1);
    entry->incarnation = server->incarnation;
    entry->allowed = row != NULL;
    if (row != NULL) {
        int64_t valid_ms = queue_of(step)->ticket_valid_ms;
        entry->valid_until =
            engine->now + valid_ms - MIN(TICKET_MARGIN_MS, valid_ms / TICKET_MARGIN_PARTS);
        g_strlcpy(entry->ticket, row->ticket, sizeof(entry->ticket));
    }
    if (step->advice == NULL) {
        step->advice = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    }
    g_hash_table_replace(step->advice, g_strdup(id), entry);
}

void
ms_engine_on_advice_answer(struct ms_engine *engine, const struct ms_engine_action *query,
                           const GArray *rows, int64_t now)
{
    engine->now = MAX(engine->now, now);
    if (!ms_engine_sent_action(engine, query)) {
        return;
    }
    struct ms_advice_pacing *pacing = &engine->advice_pacing;
    int64_t took_ms = engine->now - query->queued_at;
    enum ms_advice_end end = rows != NULL                            ? MS_ADVICE_ANSWERED
                             : took_ms < query->advice_call.limit_ms ? MS_ADVICE_REFUSED
                                                                     : MS_ADVICE_GIVEN_UP;
    ms_advice_end_call(pacing, &query->advice_call, end, took_ms, engine->now);
    struct ms_batch_step *step = find_step(engine, query);
    ms_engine_log_event(engine,
                        "event=advice_answer step=%s good=%d took_ms=%" G_GINT64_FORMAT
                        " given_up=%d slowness_percent=%" G_GINT64_FORMAT,
                        query->task, rows != NULL ? (int)rows->len : -1, took_ms,
                        end == MS_ADVICE_GIVEN_UP, pacing->slowness_percent);
    engine->placement_due = true;
    if (step == NULL) {
        return; /* it is complete */
    }
    step->advice_pending = false;
    if (rows == NULL || queue_of(step) == NULL) {
        return;
    }
    for (guint i = 0; i < query->candidates->len; i++) {
        cache_advice(engine, step, g_ptr_array_index(query->candidates, i), rows);
    }
}
