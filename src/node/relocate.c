/*
 * relocate.c - relocates accepted jobs to another data centre.
 *
 * The acceptance record in the log names the data centre that runs the job.  A
 * later acceptance that names the version it replaces relocates the job.  When
 * several hosts relocate the same job, the first of their records in the log wins.
 */
#include <string.h>

#include "node/private.h"
#include "obs/log.h"
#include "wire/convert.h"

#define CHECK_INTERVAL_MS 1000 /* between two checks for unresponsive data centres */
#define RELOCATE_APPEND_TIMEOUT_MS 5000

bool
ms_relocate_job(struct ms_node *node, const char *id, const char *reason)
{
    const struct ms_accepted_job *entry = ms_logstate_accepted_job(node->logstate, id);
    if (entry == NULL) {
        return false;
    }
    /* Describes the job to ms_route_choose_dc(), with its present data centre excluded. */
    struct ms_pending_job route_query = {
        .has_spec = true, .spec = entry->spec, .excluded_dc_count = 1};
    g_strlcpy(route_query.excluded_dcs[0], entry->dc, MS_NAME_MAX);
    const char *target = ms_route_choose_dc(node, &route_query);
    if (target == NULL || !ms_route_fits_empty_dc(node, target, &entry->spec)) {
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
    return ms_records_append(node, &record, NULL, RELOCATE_APPEND_TIMEOUT_MS);
}

/* Updates the time at which each data centre last had a live host; a new one starts with now. */
static void
update_last_alive(struct ms_node *node)
{
    GHashTableIter iterator;
    gpointer key = NULL;
    g_hash_table_iter_init(&iterator, node->dc_regions);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        bool known = g_hash_table_contains(node->dc_last_alive_at, key);
        if (!known || ms_members_dc_is_alive(node, key)) {
            g_hash_table_replace(node->dc_last_alive_at, g_strdup(key),
                                 g_memdup2(&node->now, sizeof(node->now)));
        }
    }
}

/*
 * Relocates an accepted job if its data centre had no live host for rehome_ms.  A
 * job with a run token may have started there and stays.  Only the host that wins
 * the rendezvous hash of the job does this.
 */
static void
relocate_if_dc_unresponsive(struct ms_node *node, const char *id)
{
    const struct ms_accepted_job *entry = ms_logstate_accepted_job(node->logstate, id);
    const int64_t *last_alive_at = g_hash_table_lookup(node->dc_last_alive_at, entry->dc);
    if (last_alive_at == NULL || node->now - *last_alive_at < node->settings->rehome_ms ||
        ms_logstate_token(node->logstate, id) != NULL ||
        !ms_members_is_rendezvous_winner(node, id)) {
        return;
    }
    ms_relocate_job(node, id, "its data centre is unresponsive");
}

void
ms_relocate_tick(struct ms_node *node)
{
    if (node->now < node->next_relocate_check_at) {
        return;
    }
    node->next_relocate_check_at = node->now + CHECK_INTERVAL_MS;
    update_last_alive(node);
    if (!node->log_reachable) {
        return;
    }
    GPtrArray *ids = ms_logstate_accepted_job_ids(node->logstate);
    for (guint i = 0; i < ids->len; i++) {
        relocate_if_dc_unresponsive(node, g_ptr_array_index(ids, i));
    }
    g_ptr_array_free(ids, TRUE);
}
