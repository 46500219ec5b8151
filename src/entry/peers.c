/*
 * peers.c - the list of entry hosts, and forwarding of calls to them.
 *
 * Each host writes a host record to the jobs stream when it starts, repeats it while
 * it is up, and removes it when it shuts down.  A host that cannot reach the log, or
 * whose configuration may be outdated, forwards its callers' calls to the listed hosts,
 * one after the other, first in its own data centre, then elsewhere.  The host that
 * receives a forwarded call answers or refuses it, but does not forward it again.  A
 * job has the same id at every host, so a call may also be forwarded after an attempt
 * whose outcome is unknown.
 */
#include <string.h>

#include "entry/private.h"
#include "obs/log.h"

#define ANNOUNCE_INTERVAL_MS 15000    /* between two records of one host */
#define ANNOUNCE_RETRY_MS 4000        /* the same until the newest record was read back */
#define HOST_TIMEOUT_MS 50000         /* a host without a record for this long is considered lost */
#define PRUNE_INTERVAL_MS 10000       /* the leader removes such hosts' records this often */
#define FORWARD_ATTEMPTS_MAX 3        /* forwards per call */
#define FORWARD_TIMEOUT_MS 450        /* for the answer to one forward */
#define FORWARD_BACKOFF_MS 1500       /* no forwards to a host for this long after one failed */
#define APPEND_FAILURE_RECENT_MS 1000 /* after a failed append calls are forwarded first */
#define APPEND_FAILURES_MAX 3 /* after so many failures in a row calls are refused at once */

/* Appends this host's record; VALUE NULL removes it. */
static void
push_host_record(struct ms_entry *entry, GBytes *value)
{
    struct ms_append *append = ms_append_new(MS_APPEND_HOST_RECORD);
    append->queued_at = entry->now;
    append->deadline_at = entry->now + ANNOUNCE_RETRY_MS / 2;
    ms_append_add_record(append, MS_KEY_HOST, entry->settings->name, value);
    if (!ms_appender_push(entry->unfenced_appender, append)) {
        ms_log(MS_LOG_WARNING, "event=append_queue_full writer=open");
        ms_append_free(append);
    }
}

/* Writes this host's record, from which other hosts learn its address. */
static void
announce(struct ms_entry *entry)
{
    struct ms_entry_host self = {.last_seen_at = 0};
    size_t length = 0;
    bool first_time = entry->last_announce_at == 0;
    entry->last_announce_at = entry->now;
    if (strlen(MS_KEY_HOST) + strlen(entry->settings->name) >= MS_KEYED_LOG_KEY_MAX) {
        if (first_time) {
            ms_log(MS_LOG_WARNING, "event=host_not_listed reason=name_too_long max=%zu",
                   MS_KEYED_LOG_KEY_MAX - strlen(MS_KEY_HOST) - 1);
        }
        return;
    }
    g_strlcpy(self.address, entry->settings->caller_address, sizeof(self.address));
    g_strlcpy(self.dc, entry->settings->dc, sizeof(self.dc));
    g_strlcpy(self.region, entry->settings->region, sizeof(self.region));
    uint8_t *bytes = ms_host_record_pack(&self, g_get_real_time() / 1000, &length);
    push_host_record(entry, g_bytes_new_take(bytes, length));
}

/* Removes the records of lost hosts from the log; the leader does this. */
static void
prune_hosts(struct ms_entry *entry)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    struct ms_append *append = ms_append_new(MS_APPEND_HOST_RECORD);
    entry->last_prune_at = entry->now;
    append->queued_at = entry->now;
    append->deadline_at = entry->now + ANNOUNCE_RETRY_MS;
    g_hash_table_iter_init(&iterator, entry->table->hosts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct ms_entry_host *host = value;
        if (entry->jobs_current_at - host->last_seen_at > HOST_TIMEOUT_MS) {
            ms_log(MS_LOG_NOTICE, "event=host_gone peer=%s heard_age_ms=%" G_GINT64_FORMAT,
                   host->name, entry->now - host->last_seen_at);
            ms_append_add_record(append, MS_KEY_HOST, host->name, NULL);
        }
    }
    if (append->records->len == 0 || !ms_appender_push(entry->unfenced_appender, append)) {
        ms_append_free(append);
    }
}

void
ms_entry_peers_tick(struct ms_entry *entry)
{
    const struct ms_entry_host *self =
        g_hash_table_lookup(entry->table->hosts, entry->settings->name);
    if (!entry->jobs_loaded || !entry->reachable[MS_STREAM_JOBS] || entry->draining) {
        return;
    }
    bool confirmed = self != NULL && self->last_seen_at >= entry->last_announce_at &&
                     strcmp(self->address, entry->settings->caller_address) == 0;
    int64_t interval = confirmed ? ANNOUNCE_INTERVAL_MS : ANNOUNCE_RETRY_MS;
    if (entry->last_announce_at == 0 || entry->now - entry->last_announce_at >= interval) {
        announce(entry);
    }
    if (entry->leader_state == MS_PLACING &&
        entry->now - entry->last_prune_at >= PRUNE_INTERVAL_MS) {
        prune_hosts(entry);
        ms_early_cancels_prune(entry);
    }
}

void
ms_entry_peers_leave(struct ms_entry *entry)
{
    push_host_record(entry, NULL);
}

/* Whether HOST may get a forward: another host, up, and without a recent failure. */
static bool
can_forward_to(const struct ms_entry *entry, const struct ms_entry_host *host)
{
    return strcmp(host->name, entry->settings->name) != 0 && entry->now >= host->no_forward_until &&
           entry->jobs_current_at - host->last_seen_at <= HOST_TIMEOUT_MS;
}

/*
 * Rank of HOST for the next forward, the lowest first.  The first forward prefers the own
 * data centre.  Later ones prefer other data centres of the region, because the whole own
 * data centre may be cut off from the log.
 */
static uint32_t
distance_rank(const struct ms_entry *entry, const struct ms_entry_host *host, uint32_t forwards)
{
    bool same_dc = strcmp(host->dc, entry->settings->dc) == 0;
    bool same_region = strcmp(host->region, entry->settings->region) == 0;
    if (same_dc) {
        return forwards == 0 ? 0 : 2;
    }
    return same_region ? 1 : 3;
}

/* The host for the next forward, or NULL. */
static struct ms_entry_host *
choose_host(const struct ms_entry *entry, uint32_t forwards)
{
    struct ms_entry_host *best = NULL;
    uint64_t best_rank = UINT64_MAX;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, entry->table->hosts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct ms_entry_host *host = value;
        if (!can_forward_to(entry, host)) {
            continue;
        }
        /* Chooses varying hosts of one rank; the factor is that of multiplicative hashing. */
        uint32_t tie_break = (g_str_hash(host->name) ^ entry->forward_count) * 2654435761u;
        uint64_t rank = (uint64_t)distance_rank(entry, host, forwards) << 32 | tie_break;
        if (rank < best_rank) {
            best = host;
            best_rank = rank;
        }
    }
    return best;
}

bool
ms_entry_peers_can_forward(const struct ms_entry *entry, const struct ms_entry_call *call)
{
    return !call->from_peer && call->forward_count < FORWARD_ATTEMPTS_MAX &&
           entry->now + FORWARD_TIMEOUT_MS <= call->arrived_at + MS_CALL_ATTEMPTS_MAX_MS &&
           entry->now + FORWARD_TIMEOUT_MS < call->deadline_at &&
           choose_host(entry, call->forward_count) != NULL;
}

bool
ms_entry_peers_append_failed_recently(const struct ms_entry *entry)
{
    return entry->append_failed_at != 0 &&
           entry->now - entry->append_failed_at < APPEND_FAILURE_RECENT_MS;
}

bool
ms_entry_peers_log_unavailable(const struct ms_entry *entry)
{
    return ms_entry_peers_append_failed_recently(entry) &&
           entry->consecutive_append_failures >= APPEND_FAILURES_MAX;
}

bool
ms_entry_peers_forward(struct ms_entry *entry, struct ms_entry_call *call, const char *reason)
{
    if (!ms_entry_peers_can_forward(entry, call)) {
        return false;
    }
    const struct ms_entry_host *host = choose_host(entry, call->forward_count);
    struct ms_forward *forward = g_new0(struct ms_forward, 1);
    forward->call = call;
    g_strlcpy(forward->peer, host->name, sizeof(forward->peer));
    g_strlcpy(forward->peer_address, host->address, sizeof(forward->peer_address));
    forward->method = call->method;
    forward->host = g_strdup(call->host);
    forward->path = g_strdup(call->path);
    forward->key = g_strdup(call->key);
    forward->body = g_bytes_new(call->raw_body->data, call->raw_body->len);
    forward->config_version = entry->policy != NULL ? entry->policy->version : 0;
    forward->timeout_ms = FORWARD_TIMEOUT_MS;
    if (!ms_forwarder_push(entry->forwarder, forward)) {
        ms_log(MS_LOG_WARNING, "event=forward_queue_full path=%s", call->path);
        ms_forward_free(forward);
        return false;
    }
    call->forward = forward;
    call->forward_count++;
    entry->forward_count++;
    ms_counter_add(entry->counters, MS_COUNT_FORWARDED, 1);
    ms_log(MS_LOG_INFO,
           "event=forward path=%s peer=%s reason=%s try=%u waited_ms=%" G_GINT64_FORMAT, call->path,
           host->name, reason, call->forward_count, entry->now - call->arrived_at);
    return true;
}

void
ms_entry_peers_detach_forward(struct ms_entry_call *call)
{
    if (call->forward != NULL) {
        call->forward->call = NULL;
        call->forward = NULL;
    }
}

void
ms_entry_peers_forward_done(struct ms_entry *entry, struct ms_forward *forward)
{
    struct ms_entry_call *call = forward->call;
    bool refused = forward->status == MS_STATUS_UNAVAILABLE;
    /* 504 is what a host answers; other server errors come from an intermediary. */
    bool outcome_unknown = (forward->status >= MS_STATUS_SERVER_ERROR && !refused) ||
                           (forward->status == 0 && !forward->not_sent);
    if (forward->status == 0 || refused || outcome_unknown) {
        struct ms_entry_host *host = g_hash_table_lookup(entry->table->hosts, forward->peer);
        ms_log(MS_LOG_NOTICE, "event=forward_failed path=%s peer=%s status=%u unsent=%d",
               forward->path, forward->peer, forward->status, forward->not_sent);
        if (host != NULL) {
            host->no_forward_until = entry->now + FORWARD_BACKOFF_MS;
        }
        if (call != NULL) {
            call->forward = NULL;
            call->may_have_run |= outcome_unknown && call->method != MS_METHOD_GET;
            ms_requests_retry(entry, call);
        }
        return;
    }
    if (call != NULL) {
        call->response_body = forward->response_body;
        forward->response_body = NULL;
        ms_requests_answer(entry, call, forward->status, "forwarded");
    }
}
