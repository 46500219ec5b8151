/*
 * members.c - the other hosts: which exist, which are alive, and which of them
 * are leaders.  Also claims leadership for this host and steps down.
 *
 * Hosts are known from the settings, from the platform's host list, which may
 * be out of date, and from the connections that they open.  A host is alive
 * while its heartbeats arrive; being in the list or missing from it never
 * makes a host alive or dead.
 */
#include <string.h>

#include "node/private.h"
#include "obs/log.h"

#define DEVIATION_FACTOR 6.0      /* for MS_DETECTOR_MEAN_DEVIATIONS, which is not used here */
#define CLAIM_GRACE_MARGIN_MS 500 /* added to half of host_timeout_ms before the first claim */

struct ms_host *
ms_members_find_host(const struct ms_node *node, const char *name)
{
    return g_hash_table_lookup(node->hosts, name);
}

static struct ms_host *
get_or_add_host(struct ms_node *node, const char *name)
{
    struct ms_host *host = ms_members_find_host(node, name);
    if (host == NULL) {
        host = g_new0(struct ms_host, 1);
        g_strlcpy(host->name, name, sizeof(host->name));
        g_hash_table_insert(node->hosts, host->name, host);
    }
    return host;
}

static void
set_dc_region(struct ms_node *node, const char *dc, const char *region)
{
    if (region[0] != '\0') {
        g_hash_table_replace(node->dc_regions, g_strdup(dc), g_strdup(region));
    }
}

const char *
ms_members_dc_region(const struct ms_node *node, const char *dc)
{
    const char *region = g_hash_table_lookup(node->dc_regions, dc);
    return region != NULL ? region : "";
}

/* Adds or updates a host.  An address from the settings is never replaced by a listed one. */
static void
add_host(struct ms_node *node, const char *name, const char *dc, const char *region,
         const char *address, bool configured)
{
    if (strcmp(name, node->settings->name) == 0) {
        return;
    }
    struct ms_host *host = get_or_add_host(node, name);
    g_strlcpy(host->dc, dc, sizeof(host->dc));
    g_strlcpy(host->region, region, sizeof(host->region));
    set_dc_region(node, dc, region);
    if (host->address_configured && !configured) {
        return;
    }
    host->address_configured |= configured;
    if (strcmp(host->address, address) != 0) {
        g_strlcpy(host->address, address, sizeof(host->address));
        ms_peers_add(node->peers, name, address);
    }
}

void
ms_members_init(struct ms_node *node)
{
    set_dc_region(node, node->settings->dc, node->settings->region);
    for (size_t i = 0; i < node->settings->peer_count; i++) {
        const struct ms_peer_setting *peer = &node->settings->peers[i];
        add_host(node, peer->name, peer->dc, peer->region, peer->address, true);
    }
}

/* Adds or updates one backend server from the platform's host list. */
static void
update_server(struct ms_node *node, const struct ms_host_list_entry *listed)
{
    struct ms_host_list_entry *known = g_hash_table_lookup(node->servers, listed->name);
    if (known == NULL) {
        known = g_memdup2(listed, sizeof(*listed));
        g_hash_table_insert(node->servers, known->name, known);
    }
    else {
        *known = *listed;
    }
    if (strcmp(listed->dc, node->settings->dc) == 0) {
        ms_dc_leader_server_listed(node, listed);
    }
}

/* Removes the servers whose names are not in LISTED_NAMES (a set). */
static void
remove_unlisted_servers(struct ms_node *node, GHashTable *listed_names)
{
    GHashTableIter iterator;
    gpointer key = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, node->servers);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        const struct ms_host_list_entry *listed = value;
        if (g_hash_table_contains(listed_names, key)) {
            continue;
        }
        if (strcmp(listed->dc, node->settings->dc) == 0) {
            ms_dc_leader_server_unlisted(node, listed->name);
        }
        g_hash_table_iter_remove(&iterator);
    }
}

/*
 * Applies the platform's host list, an array of struct ms_host_list_entry.  Servers that
 * are missing are removed, unless the list has no server at all.  Hosts are
 * never removed.
 */
void
ms_members_update_list(struct ms_node *node, const GArray *listed)
{
    GHashTable *listed_names = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < listed->len; i++) {
        const struct ms_host_list_entry *entry =
            &g_array_index(listed, struct ms_host_list_entry, i);
        set_dc_region(node, entry->dc, entry->region);
        if (entry->is_server) {
            update_server(node, entry);
            g_hash_table_add(listed_names, (gpointer)entry->name);
        }
        else {
            add_host(node, entry->name, entry->dc, entry->region, entry->address, false);
        }
    }
    if (g_hash_table_size(listed_names) > 0) {
        remove_unlisted_servers(node, listed_names);
    }
    g_hash_table_destroy(listed_names);
}

void
ms_members_on_peer_up(struct ms_node *node, const struct ms_peer_message *peer)
{
    struct ms_host *host = get_or_add_host(node, peer->name);
    g_strlcpy(host->dc, peer->dc, sizeof(host->dc));
    host->connected = true;
    host->heartbeat_received = false;
    ms_detector_init(&host->detector, MS_DETECTOR_FIXED_TIMEOUT, node->settings->host_timeout_ms,
                     DEVIATION_FACTOR, node->now);
    ms_log(MS_LOG_INFO, "event=peer_up peer=%s dc=%s", host->name, host->dc);
    node->next_heartbeat_at = 0; /* send heartbeats on the next tick */
}

void
ms_members_on_peer_down(struct ms_node *node, const char *name)
{
    struct ms_host *host = ms_members_find_host(node, name);
    if (host == NULL || !host->connected) {
        return;
    }
    host->connected = false;
    host->heartbeat_received = false;
    host->is_leader = false;
    ms_log(MS_LOG_NOTICE, "event=peer_down peer=%s dc=%s", host->name, host->dc);
    ms_jobs_host_lost(node, name);
}

/* Whether HOST is connected and its heartbeats arrive in time. */
bool
ms_host_is_alive(const struct ms_node *node, const struct ms_host *host)
{
    return host->connected && host->heartbeat_received &&
           !ms_detector_suspects(&host->detector, node->now);
}

static void
summary_from_wire(struct ms_dc_summary *summary, const Ms__Wire__Summary *message)
{
    summary->servers = message->servers;
    summary->accels = message->accels;
    summary->accels_free = message->accels_free;
    summary->slots_free = message->slots_free;
    summary->rack_free_max = message->rack_free_max;
    summary->waiting = message->waiting;
    summary->running = message->running;
    summary->quarantined = message->quarantined;
    summary->guarantees_unmet = message->guarantees_unmet;
}

void
ms_members_on_heartbeat(struct ms_node *node, const char *name,
                        const Ms__Wire__Heartbeat *heartbeat)
{
    struct ms_host *host = ms_members_find_host(node, name);
    if (host == NULL) {
        return;
    }
    host->heartbeat_received = true;
    host->draining = heartbeat->draining;
    host->is_leader = heartbeat->claims;
    host->epoch = heartbeat->epoch;
    host->next_offset = heartbeat->applied;
    host->log_reachable = heartbeat->log_reachable;
    if (host->incarnation != heartbeat->incarnation) {
        /* The process was restarted, so records sent earlier may not have been applied. */
        host->incarnation = heartbeat->incarnation;
        host->relayed_offset = 0;
    }
    if (heartbeat->summary != NULL) {
        summary_from_wire(&host->summary, heartbeat->summary);
    }
    if (node->trace_file != NULL) {
        /* A trace comment: the gaps are the input of the failure detector benchmark. */
        fprintf(node->trace_file, "# heartbeat peer=%s gap_ms=%" G_GINT64_FORMAT "\n", host->name,
                node->now - host->detector.last_heartbeat_at);
    }
    ms_detector_heartbeat(&host->detector, node->now);
    ms_records_relay_to(node, host);
}

static void
summary_to_wire(const struct ms_node *node, Ms__Wire__Summary *message)
{
    struct ms_dc_summary summary;
    ms_dc_leader_summary(node, &summary);
    ms__wire__summary__init(message);
    message->servers = summary.servers;
    message->accels = summary.accels;
    message->accels_free = summary.accels_free;
    message->slots_free = summary.slots_free;
    message->rack_free_max = summary.rack_free_max;
    message->waiting = summary.waiting;
    message->running = summary.running;
    message->quarantined = summary.quarantined;
    message->guarantees_unmet = summary.guarantees_unmet;
}

/* Sends a heartbeat to every connected host; that of a leader carries its load summary. */
void
ms_members_send_heartbeats(struct ms_node *node)
{
    Ms__Wire__Envelope envelope;
    Ms__Wire__Heartbeat heartbeat;
    Ms__Wire__Summary summary;
    GHashTableIter iterator;
    gpointer value = NULL;
    ms__wire__envelope__init(&envelope);
    ms__wire__heartbeat__init(&heartbeat);
    heartbeat.sequence = node->heartbeat_count++;
    heartbeat.applied =
        ms_logstate_is_complete(node->logstate) ? ms_logstate_next_offset(node->logstate) : 0;
    heartbeat.claims = node->leader.active;
    heartbeat.epoch = node->leader.epoch;
    heartbeat.draining = node->draining;
    heartbeat.log_reachable = node->log_reachable;
    heartbeat.incarnation = node->incarnation;
    if (node->leader.active) {
        summary_to_wire(node, &summary);
        heartbeat.summary = &summary;
    }
    envelope.body_case = MS__WIRE__ENVELOPE__BODY_HEARTBEAT;
    envelope.heartbeat = &heartbeat;
    g_hash_table_iter_init(&iterator, node->hosts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct ms_host *host = value;
        if (host->connected) {
            ms_peers_send(node->peers, host->name, &envelope);
        }
    }
    node->next_heartbeat_at = node->now + node->settings->heartbeat_ms;
}

/* Closes connections on which no heartbeat has arrived within the detector's timeout. */
static void
close_unresponsive_hosts(struct ms_node *node)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, node->hosts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct ms_host *host = value;
        if (host->connected && ms_detector_suspects(&host->detector, node->now)) {
            ms_log(MS_LOG_WARNING, "event=peer_silent peer=%s silent_ms=%" G_GINT64_FORMAT,
                   host->name, node->now - host->detector.last_heartbeat_at);
            ms_peers_close(node->peers, host->name);
            ms_members_on_peer_down(node, host->name);
        }
    }
}

/* Fills VIEW.  Returns the array that view->hosts points to; the caller frees it. */
static struct ms_claim_host *
fill_claim_view(const struct ms_node *node, struct ms_claim_input *view)
{
    struct ms_claim_host *hosts = g_new0(struct ms_claim_host, g_hash_table_size(node->hosts) + 1);
    const struct ms_dc_epoch *epoch = ms_logstate_epoch(node->logstate, node->settings->dc);
    GHashTableIter iterator;
    gpointer value = NULL;
    *view = (struct ms_claim_input){
        .self = node->settings->name,
        .dc = node->settings->dc,
        .hosts = hosts,
        .draining = node->draining,
        .startup_grace_over = node->now - node->started_at >=
                              node->settings->host_timeout_ms / 2 + CLAIM_GRACE_MARGIN_MS,
        .log_reachable = node->log_reachable,
        .is_leader = node->leader.active,
        .epoch = node->leader.epoch,
        .epoch_requested = node->epoch_requested,
        .epoch_request_overdue =
            node->epoch_requested &&
            node->now - node->last_epoch_requested_at > 2 * node->settings->append_timeout_ms,
        .log_leader = epoch != NULL ? epoch->leader : NULL,
        .log_epoch = epoch != NULL ? epoch->epoch : 0,
    };
    g_hash_table_iter_init(&iterator, node->hosts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct ms_host *host = value;
        if (strcmp(host->dc, node->settings->dc) != 0) {
            continue;
        }
        hosts[view->host_count++] = (struct ms_claim_host){
            .name = host->name,
            .alive = ms_host_is_alive(node, host),
            .draining = host->draining,
            .is_leader = host->is_leader,
            .epoch = host->epoch,
        };
    }
    return hosts;
}

/* Appends the epoch record that makes this host the leader once it is read back. */
static void
append_epoch_record(struct ms_node *node)
{
    Ms__Wire__LogRecord record;
    Ms__Wire__Epoch epoch;
    ms__wire__log_record__init(&record);
    ms__wire__epoch__init(&epoch);
    epoch.dc = (char *)node->settings->dc;
    epoch.host = (char *)node->settings->name;
    record.body_case = MS__WIRE__LOG_RECORD__BODY_EPOCH;
    record.epoch = &epoch;
    if (ms_records_append(node, &record, node->epoch_request_writer,
                          node->settings->append_timeout_ms)) {
        node->epoch_requested = true;
        node->last_epoch_requested_at = node->now;
    }
}

static void
carry_out_claim_decision(struct ms_node *node)
{
    struct ms_claim_input view;
    struct ms_claim_host *hosts = fill_claim_view(node, &view);
    enum ms_claim_decision decision = ms_claim_decide(&view);
    g_free(hosts);
    switch (decision) {
    case MS_CLAIM_NO_CHANGE:
        break;
    case MS_CLAIM_APPEND_EPOCH:
        append_epoch_record(node);
        break;
    case MS_CLAIM_WITHOUT_LOG:
        node->epoch_requested = false;
        ms_dc_leader_begin(node, view.log_epoch);
        break;
    case MS_CLAIM_STEP_DOWN:
        ms_dc_leader_end(node, node->draining ? "draining" : "another host claims leadership");
        break;
    }
    if (view.epoch_request_overdue && view.is_leader) {
        node->epoch_requested = false; /* append it again once the log is reachable */
    }
}

/* Closes connections to unresponsive hosts, claims leadership or steps down, sends heartbeats. */
void
ms_members_tick(struct ms_node *node)
{
    close_unresponsive_hosts(node);
    carry_out_claim_decision(node);
    if (node->now >= node->next_heartbeat_at) {
        ms_members_send_heartbeats(node);
    }
}

/*
 * Name of the leader of DC, or NULL when none is known.  This host comes first
 * if it is the leader; of several other live hosts that report being the leader,
 * the one with the highest epoch is returned.
 */
const char *
ms_members_leader(const struct ms_node *node, const char *dc)
{
    const struct ms_host *best = NULL;
    GHashTableIter iterator;
    gpointer value = NULL;
    if (strcmp(dc, node->settings->dc) == 0 && node->leader.active) {
        return node->settings->name;
    }
    g_hash_table_iter_init(&iterator, node->hosts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct ms_host *host = value;
        if (strcmp(host->dc, dc) != 0 || !host->is_leader || !ms_host_is_alive(node, host)) {
            continue;
        }
        if (best == NULL || host->epoch > best->epoch) {
            best = host;
        }
    }
    return best != NULL ? best->name : NULL;
}

/* For another data centre, the summary is that of its leader's last heartbeat. */
bool
ms_members_dc_summary(const struct ms_node *node, const char *dc, struct ms_dc_summary *summary)
{
    const char *leader = ms_members_leader(node, dc);
    if (leader == NULL) {
        return false;
    }
    if (strcmp(leader, node->settings->name) == 0) {
        ms_dc_leader_summary(node, summary);
        return true;
    }
    *summary = ms_members_find_host(node, leader)->summary;
    return true;
}

/*
 * Whether this host should do the work that KEY names: it is not draining, and
 * no live host that can reach the log and is not draining has a higher
 * rendezvous hash for KEY.  Hosts that agree on who is alive choose the same
 * host.
 */
bool
ms_members_is_rendezvous_winner(const struct ms_node *node, const char *key)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    if (node->draining) {
        return false;
    }
    g_hash_table_iter_init(&iterator, node->hosts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct ms_host *host = value;
        if (ms_host_is_alive(node, host) && !host->draining && host->log_reachable &&
            ms_rendezvous_ranks_higher(key, host->name, node->settings->name)) {
            return false;
        }
    }
    return true;
}

/* Whether any host of DC is alive; always true for the data centre of this host. */
bool
ms_members_dc_is_alive(const struct ms_node *node, const char *dc)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    if (strcmp(dc, node->settings->dc) == 0) {
        return true;
    }
    g_hash_table_iter_init(&iterator, node->hosts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct ms_host *host = value;
        if (strcmp(host->dc, dc) == 0 && ms_host_is_alive(node, host)) {
            return true;
        }
    }
    return false;
}

bool
ms_members_any_leader_has_log(const struct ms_node *node)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, node->hosts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct ms_host *host = value;
        if (host->is_leader && host->log_reachable && ms_host_is_alive(node, host)) {
            return true;
        }
    }
    return node->leader.active && node->log_reachable;
}

bool
ms_members_self_is_behind(const struct ms_node *node)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, node->hosts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct ms_host *host = value;
        if (ms_host_is_alive(node, host) &&
            host->next_offset > ms_logstate_next_offset(node->logstate)) {
            return true;
        }
    }
    return false;
}

bool
ms_members_dc_leader_has_log(const struct ms_node *node, const char *dc)
{
    const char *leader = ms_members_leader(node, dc);
    if (leader == NULL) {
        return false;
    }
    if (strcmp(leader, node->settings->name) == 0) {
        return node->log_reachable;
    }
    return ms_members_find_host(node, leader)->log_reachable;
}
