/*
 * route.c - choice of a data centre for a job.
 *
 * From the summaries of a few dozen bytes that the placing hosts send: the own
 * data centre first when it has room now, then others of the region, then any;
 * when none has room, the one with the shortest queue for its size.
 */
#include <string.h>

#include "node/private.h"

/* Cost of leaving the region, in jobs waiting per server. */
#define REGION_COST 2.0
#define OTHER_DC_COST 0.1
/* Cost of a data centre without room now. */
#define NO_ROOM_COST 1.0

bool
ms_route_tried(const struct ms_pending *pending, const char *dc)
{
    for (uint32_t i = 0; i < pending->tried_count; i++) {
        if (strcmp(pending->tried[i], dc) == 0) {
            return true;
        }
    }
    return false;
}

/* Tasks of SPEC that fit on one empty server. */
static uint32_t
tasks_on(const struct ms_listed *listed, const struct ms_job_spec *spec)
{
    return spec->accels == 0 ? listed->slots : MIN(listed->slots, listed->accels / spec->accels);
}

/* Whether the listed servers of DC, all empty, could hold the job. */
bool
ms_route_could_fit(const struct ms_node *node, const char *dc, const struct ms_job_spec *spec)
{
    GHashTable *racks = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter iterator;
    gpointer value = NULL;
    uint32_t total = 0;
    uint32_t best_server = 0;
    uint32_t best_rack = 0;
    g_hash_table_iter_init(&iterator, node->servers);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct ms_listed *listed = value;
        if (strcmp(listed->dc, dc) != 0) {
            continue;
        }
        uint32_t fit = tasks_on(listed, spec);
        uint32_t rack = GPOINTER_TO_UINT(g_hash_table_lookup(racks, listed->rack)) + fit;
        g_hash_table_insert(racks, (gpointer)listed->rack, GUINT_TO_POINTER(rack));
        total += fit;
        best_server = MAX(best_server, fit);
        best_rack = MAX(best_rack, rack);
    }
    g_hash_table_destroy(racks);
    switch (spec->adjacency) {
    case MS_ADJACENT_SERVER:
        return best_server >= spec->tasks;
    case MS_ADJACENT_RACK:
        return best_rack >= spec->tasks;
    case MS_ADJACENT_DC:
        break;
    }
    return total >= spec->tasks;
}

static bool
has_room_now(const struct ms_summary *summary, const struct ms_job_spec *spec)
{
    uint32_t accels = spec->tasks * spec->accels;
    uint32_t free_accels =
        spec->adjacency == MS_ADJACENT_DC ? summary->accels_free : summary->rack_free_max;
    return free_accels >= accels && summary->slots_free >= spec->tasks && summary->waiting == 0;
}

static double
cost_of(const struct ms_node *node, const char *dc, const struct ms_job_spec *spec,
        const struct ms_summary *summary)
{
    double cost = (double)summary->waiting / (double)MAX(summary->servers, 1);
    if (!has_room_now(summary, spec)) {
        cost += NO_ROOM_COST;
    }
    if (strcmp(dc, node->settings->dc) != 0) {
        cost += OTHER_DC_COST;
    }
    if (strcmp(ms_members_region(node, dc), node->settings->region) != 0) {
        cost += REGION_COST;
    }
    return cost;
}

/* A guarantee of the account in DC draws its jobs there. */
static bool
has_guarantee(const struct ms_node *node, const char *account, const char *dc)
{
    GPtrArray *rules = ms_logstate_rules(node->log);
    bool found = false;
    for (guint i = 0; i < rules->len && !found; i++) {
        const struct ms_rule *rule =
            &((const struct ms_rule_entry *)g_ptr_array_index(rules, i))->line.rule;
        found = rule->kind == MS_RULE_GUARANTEE && strcmp(rule->account, account) == 0 &&
                strcmp(rule->dc, dc) == 0;
    }
    g_ptr_array_free(rules, TRUE);
    return found;
}

/* Guaranteed capacity counts as room: it can be reclaimed. */
#define GUARANTEE_BONUS 1.05

/*
 * The best data centre for PENDING that has a placing host, is in service and
 * has not refused the job; NULL when there is none.
 */
const char *
ms_route_choose(const struct ms_node *node, const struct ms_pending *pending)
{
    const char *best = NULL;
    double best_cost = 0;
    GHashTableIter iterator;
    gpointer key = NULL;
    g_hash_table_iter_init(&iterator, node->regions);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        const char *dc = key;
        struct ms_summary summary;
        if (ms_route_tried(pending, dc) || ms_logstate_dc_out(node->log, dc) ||
            !ms_members_summary(node, dc, &summary)) {
            continue;
        }
        if (!pending->spec.idempotent && !ms_members_dc_has_log(node, dc)) {
            continue; /* it could not get the run token */
        }
        double cost = cost_of(node, dc, &pending->spec, &summary);
        if (!ms_route_could_fit(node, dc, &pending->spec)) {
            cost += 1000; /* only when nothing else is left to say so */
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
