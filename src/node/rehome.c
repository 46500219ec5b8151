/*
 * rehome.c - accepted jobs that move to another data centre.
 *
 * The acceptance in the log names the data centre that runs the job; a later
 * acceptance that names the version it replaces moves it.  Log order decides
 * when several hosts move the same job.
 */
#include <string.h>

#include "node/private.h"
#include "obs/log.h"
#include "wire/convert.h"

#define LOOK_MS 1000 /* between two looks for silent data centres */
#define MOVE_GIVE_UP_MS 5000

/*
 * Moves the accepted job ID away from its data centre.  Returns false when no
 * other one can take it, or the log's queue is full.
 */
bool
ms_rehome_move(struct ms_node *node, const char *id, const char *reason)
{
    const struct ms_accept_entry *entry = ms_logstate_accept(node->log, id);
    if (entry == NULL) {
        return false;
    }
    struct ms_pending probe = {.has_spec = true, .spec = entry->spec, .tried_count = 1};
    g_strlcpy(probe.tried[0], entry->dc, MS_NAME_MAX);
    const char *target = ms_route_choose(node, &probe);
    if (target == NULL || !ms_route_could_fit(node, target, &entry->spec)) {
        return false;
    }
    Ms__Wire__LogRecord record;
    Ms__Wire__Accept accept;
    Ms__Wire__Spec spec;
    ms__wire__log_record__init(&record);
    ms__wire__accept__init(&accept);
    ms_spec_to_wire(&entry->spec, node->now, &spec);
    accept.spec = &spec;
    accept.dc = (char *)target;
    accept.replaces = entry->version;
    record.body_case = MS__WIRE__LOG_RECORD__BODY_ACCEPT;
    record.accept = &accept;
    ms_log(MS_LOG_NOTICE, "event=job_moved job=%s from=%s to=%s reason=\"%s\"", id, entry->dc,
           target, reason);
    return ms_records_append(node, &record, NULL, MOVE_GIVE_UP_MS);
}

/* Notes when each data centre was last heard. */
static void
note_heard(struct ms_node *node)
{
    GHashTableIter iterator;
    gpointer key = NULL;
    g_hash_table_iter_init(&iterator, node->regions);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        bool known = g_hash_table_contains(node->dc_heard, key);
        if (!known || ms_members_dc_heard(node, key)) {
            g_hash_table_replace(node->dc_heard, g_strdup(key),
                                 g_memdup2(&node->now, sizeof(node->now)));
        }
    }
}

/* Moves one accepted job away from a data centre that is silent for long. */
static void
leave_silent(struct ms_node *node, const char *id)
{
    const struct ms_accept_entry *entry = ms_logstate_accept(node->log, id);
    const int64_t *heard = g_hash_table_lookup(node->dc_heard, entry->dc);
    if (heard == NULL || node->now - *heard < node->settings->rehome_ms ||
        ms_logstate_token(node->log, id) != NULL || !ms_members_first_alive(node, id)) {
        return;
    }
    ms_rehome_move(node, id, "its data centre is silent");
}

/* Looks once a second whether jobs have to move. */
void
ms_rehome_tick(struct ms_node *node)
{
    if (node->now < node->rehome_at) {
        return;
    }
    node->rehome_at = node->now + LOOK_MS;
    note_heard(node);
    if (!node->log_reachable) {
        return;
    }
    GPtrArray *ids = ms_logstate_accepted_ids(node->log);
    for (guint i = 0; i < ids->len; i++) {
        leave_silent(node, g_ptr_array_index(ids, i));
    }
    g_ptr_array_free(ids, TRUE);
}
