/*
 * engine_stats.c - what the engine tells about itself: counts and accounts.
 */
#include <string.h>

#include "batch/engine_private.h"

/* When the oldest order was queued that a task waits for, INT64_MAX: none. */
static int64_t
oldest_order_at(const struct ms_engine *engine)
{
    int64_t oldest = INT64_MAX;
    const struct ms_batch_server *server = NULL;
    /* A server of a task with such an order needs attention. */
    for (uint32_t i = 0; (server = ms_attention_next(engine, i)) != NULL; i = server->index + 1) {
        MS_LIST_FOREACH(link, (struct ms_list_link *)&server->tasks)
        {
            const struct ms_batch_task *task =
                MS_CONTAINER_OF(link, struct ms_batch_task, server_link);
            oldest = task->order_pending ? MIN(oldest, task->ordered_at) : oldest;
        }
    }
    return oldest;
}

void
ms_engine_stats(const struct ms_engine *engine, struct ms_engine_stats *stats)
{
    memset(stats, 0, sizeof(*stats));
    GHashTableIter iterator;
    gpointer job = NULL;
    g_hash_table_iter_init(&iterator, engine->jobs_by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &job)) {
        stats->jobs++;
        stats->tasks_active += ((const struct ms_batch_job *)job)->active_count;
    }
    MS_LIST_FOREACH(link, &engine->servers)
    {
        stats->servers++;
        stats->servers_by_exclusion[ms_batch_server_exclusion(
            engine, MS_CONTAINER_OF(link, struct ms_batch_server, servers_link))]++;
    }
    stats->servers_usable = stats->servers_by_exclusion[MS_SERVER_USABLE];
    stats->units_waiting = engine->units_waiting;
    stats->units_over_share = engine->units_over_share;
    stats->orders_unanswered = engine->orders.unanswered;
    stats->orders_held_total = engine->orders_held_total;
    stats->advice_asked = engine->advice_pacing.asked_total;
    stats->advice_answered = engine->advice_pacing.answered_total;
    stats->advice_given_up = engine->advice_pacing.given_up_total;
    stats->advice_took_ms = engine->advice_pacing.last_took_ms;
    int64_t ordered_at = oldest_order_at(engine);
    stats->oldest_order_ms = ordered_at != INT64_MAX ? engine->now - ordered_at : 0;
    if (engine->oldest_unplaced_since > 0) {
        stats->longest_wait_ms = engine->now - engine->oldest_unplaced_since;
    }
}

GPtrArray *
ms_engine_accounts(const struct ms_engine *engine)
{
    GPtrArray *accounts = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer account = NULL;
    g_hash_table_iter_init(&iterator, engine->accounts_by_name);
    while (g_hash_table_iter_next(&iterator, NULL, &account)) {
        g_ptr_array_add(accounts, account);
    }
    return accounts;
}
