/*
 * route.c - choice of a data centre for a job.
 *
 * The data centre with the lowest cost is chosen.  Costs are computed only from
 * the load summaries (a few dozen bytes) in the leaders' heartbeats, the host list
 * and the rules.  Of data centres with capacity now, this one is preferred, then
 * others of the region, then any other, unless the account has a guarantee in
 * another one.  Another region costs more than missing capacity: a job waits in
 * this region unless many others wait there.
 */
#include <string.h>

#include "node/private.h"

/* Costs, in waiting jobs per server, added to the waiting jobs per server of the data centre. */
#define REGION_COST 2.0      /* in another region */
#define OTHER_DC_COST 0.1    /* not the data centre of this host */
#define NO_CAPACITY_COST 1.0 /* the job cannot start now */

bool
ms_route_is_excluded(const struct ms_pending_job *pending, const char *dc)
{
    for (uint32_t i = 0; i < pending->excluded_dc_count; i++) {
        if (strcmp(pending->excluded_dcs[i], dc) == 0) {
            return true;
        }
    }
    return false;
}

/* Number of tasks of SPEC that fit on the empty server LISTED. */
static uint32_t
tasks_that_fit(const struct ms_host_list_entry *listed, const struct ms_job_spec *spec)
{
    return spec->accels == 0 ? listed->slots : MIN(listed->slots, listed->accels / spec->accels);
}

bool
ms_route_fits_empty_dc(const struct ms_node *node, const char *dc, const struct ms_job_spec *spec)
{
    GHashTable *racks = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter iterator;
    gpointer value = NULL;
    uint32_t total = 0;
    uint32_t max_per_server = 0;
    uint32_t max_per_rack = 0;
    g_hash_table_iter_init(&iterator, node->servers);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct ms_host_list_entry *listed = value;
        if (strcmp(listed->dc, dc) != 0) {
            continue;
        }
        uint32_t fit = tasks_that_fit(listed, spec);
        uint32_t rack_tasks = GPOINTER_TO_UINT(g_hash_table_lookup(racks, listed->rack)) + fit;
        g_hash_table_insert(racks, (gpointer)listed->rack, GUINT_TO_POINTER(rack_tasks));
        total += fit;
        max_per_server = MAX(max_per_server, fit);
        max_per_rack = MAX(max_per_rack, rack_tasks);
    }
    g_hash_table_destroy(racks);
    switch (spec->adjacency) {
    case MS_ADJACENT_SERVER:
        return max_per_server >= spec->tasks;
    case MS_ADJACENT_RACK:
        return max_per_rack >= spec->tasks;
    case MS_ADJACENT_DC:
        break;
    }
    return total >= spec->tasks;
}

/* Whether the job could start now, as far as the summary tells. */
static bool
can_start_now(const struct ms_dc_summary *summary, const struct ms_job_spec *spec)
{
    uint32_t accels = spec->tasks * spec->accels;
    uint32_t free_accels =
        spec->adjacency == MS_ADJACENT_DC ? summary->accels_free : summary->rack_free_max;
    return free_accels >= accels && summary->slots_free >= spec->tasks && summary->waiting == 0;
}

static double
dc_cost(const struct ms_node *node, const char *dc, const struct ms_job_spec *spec,
        const struct ms_dc_summary *summary)
{
    double cost = (double)summary->waiting / (double)MAX(summary->servers, 1);
    if (!can_start_now(summary, spec)) {
        cost += NO_CAPACITY_COST;
    }
    if (strcmp(dc, node->settings->dc) != 0) {
        cost += OTHER_DC_COST;
    }
    if (strcmp(ms_members_dc_region(node, dc), node->settings->region) != 0) {
        cost += REGION_COST;
    }
    return cost;
}

/* Whether ACCOUNT has a guarantee in DC; its jobs then prefer DC. */
static bool
has_guarantee(const struct ms_node *node, const char *account, const char *dc)
{
    GPtrArray *rules = ms_logstate_active_rules(node->logstate);
    bool found = false;
    for (guint i = 0; i < rules->len && !found; i++) {
        const struct ms_rule *rule =
            &((const struct ms_rule_entry *)g_ptr_array_index(rules, i))->parsed.rule;
        found = rule->kind == MS_RULE_GUARANTEE && strcmp(rule->account, account) == 0 &&
                strcmp(rule->dc, dc) == 0;
    }
    g_ptr_array_free(rules, TRUE);
    return found;
}

/*
 * Subtracted for a guarantee of the account.  Slightly more than NO_CAPACITY_COST,
 * because guaranteed capacity counts as available: work of others on it can be preempted.
 */
#define GUARANTEE_BONUS 1.05

/*
 * Considers the data centres that have a leader, are in service and are not
 * excluded.  When costs are equal, the name that sorts first wins.
 */
const char *
ms_route_choose_dc(const struct ms_node *node, const struct ms_pending_job *pending)
{
    const char *best = NULL;
    double best_cost = 0;
    GHashTableIter iterator;
    gpointer key = NULL;
    g_hash_table_iter_init(&iterator, node->dc_regions);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        const char *dc = key;
        struct ms_dc_summary summary;
        if (ms_route_is_excluded(pending, dc) || ms_logstate_dc_is_out(node->logstate, dc) ||
            !ms_members_dc_summary(node, dc, &summary)) {
            continue;
        }
        if (!pending->spec.idempotent && !ms_members_dc_leader_has_log(node, dc)) {
            continue; /* it could not append the run token */
        }
        double cost = dc_cost(node, dc, &pending->spec, &summary);
        if (!ms_route_fits_empty_dc(node, dc, &pending->spec)) {
            cost += 1000; /* a last resort: that data centre then refuses the job as too large */
        }
        if (pending->spec.accels > 0 && has_guarantee(node, pending->spec.account, dc)) {
            cost -= GUARANTEE_BONUS;
        }
        if (best == NULL || cost < best_cost || (cost == best_cost && strcmp(dc, best) < 0)) {
            best = dc;
            best_cost = cost;
        }
    }
    return best;
}
