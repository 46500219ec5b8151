/*
 * engine_attention.c - which servers a scan has to handle.
 *
 * Most servers of a large deployment only run tasks and wait for the answer to a renewal.  Until
 * an event changes that, none of their timers can become due: stalls count up to the last report,
 * and a lease matters only once the server is unresponsive.  Scans leave these out.  The others
 * have a bit in engine->attention, by their index, so that they are handled in the order of
 * engine->servers.  Each event that concerns a server sets its bit; a scan clears it if
 * needs_attention() finds no reason to keep it.  Every SCAN_INTERVAL_MAX_MS a scan handles all
 * servers.
 */
#include "batch/engine_private.h"

#define WORD_BITS 64

void
ms_attention_add(struct ms_engine *engine, const struct ms_batch_server *server)
{
    guint word = server->index / WORD_BITS;
    if (engine->attention->len <= word) {
        g_array_set_size(engine->attention, word + 1);
    }
    g_array_index(engine->attention, uint64_t, word) |= UINT64_C(1) << (server->index % WORD_BITS);
}

/* Whether time alone may make a timer of SERVER, or of a task on it, become due. */
static bool
needs_attention(const struct ms_engine *engine, const struct ms_batch_server *server)
{
    if (!server->fence_confirmed || server->unresponsive || server->entry.draining ||
        server->lapse_due || server->lease_state != MS_LEASE_NORMAL ||
        server->ends_seen != server->ends_stored || engine->now < server->slow_until ||
        !ms_list_is_empty(&server->late_starts) || !ms_list_is_empty(&server->held_ends)) {
        return true;
    }
    if (!server->renewal_pending && server->next_renewal_at != INT64_MAX) {
        return true;
    }
    MS_LIST_FOREACH(link, (struct ms_list_link *)&server->tasks)
    {
        const struct ms_batch_task *task = MS_CONTAINER_OF(link, struct ms_batch_task, server_link);
        if (task->state == MS_BATCH_TASK_STARTING ||
            (task->state == MS_BATCH_TASK_STOPPING && !task->stop_confirmed)) {
            return true;
        }
    }
    return false;
}

void
ms_attention_update(struct ms_engine *engine, const struct ms_batch_server *server)
{
    ms_attention_add(engine, server);
    if (!needs_attention(engine, server)) {
        g_array_index(engine->attention, uint64_t, server->index / WORD_BITS) &=
            ~(UINT64_C(1) << (server->index % WORD_BITS));
    }
}

struct ms_batch_server *
ms_attention_next(const struct ms_engine *engine, uint32_t index)
{
    guint word = index / WORD_BITS;
    if (word >= engine->attention->len) {
        return NULL;
    }
    uint64_t bits = g_array_index(engine->attention, uint64_t, word);
    bits &= UINT64_MAX << (index % WORD_BITS);
    while (bits == 0) {
        word++;
        if (word >= engine->attention->len) {
            return NULL;
        }
        bits = g_array_index(engine->attention, uint64_t, word);
    }
    return g_ptr_array_index(engine->servers_by_index,
                             word * WORD_BITS + (guint)__builtin_ctzll(bits));
}
