/*
 * leader.c - leader election among the entry hosts.
 *
 * One host at a time, the leader, places jobs.  A host becomes the leader by claiming
 * the next epoch with a record in the jobs stream; the first claim of an epoch in log
 * order wins.  The leader renews its epoch with further records.  If none arrives for
 * LEADER_TIMEOUT_MS although the log can be read, another host claims the next epoch.
 *
 * A claim is conditional: it is appended only if the stream still ends at the offset
 * up to which the claimant has read.  A claim that the log carries out late thus
 * fails, because the leader has renewed its epoch in the meantime.
 *
 * A process has at most one term in an epoch, so the epoch identifies the term.  Fencing
 * tokens, the sequence numbers of the fenced writer and late answers rely on this.  A leader
 * that has stepped down may still read renewals of its own, which the log has carried out
 * late; it does not lead again until it has claimed another epoch.
 *
 * A takeover has these steps: fence the earlier leader's writer, read all that was
 * written before the fence, create the engine, read the server directory, start to
 * place.  The engine fences each server before it uses it.
 *
 * A host with little CPU (MS_LOW_CPU_CORES) cannot keep up with many unresponsive
 * servers.  It claims later than the others, and its name in claims has a suffix by
 * which another host recognises it and takes over from it.
 *
 * A leader that cannot renew its epoch places no new work, as each start has to be
 * stored first, but goes on renewing the servers' leases for RENEWAL_TIMEOUT_MS.  From
 * this bound its successor knows when the runs at servers that it cannot reach have
 * ended.
 */
#include <string.h>

#include "entry/private.h"
#include "obs/log.h"

#define RENEW_INTERVAL_MS 250  /* between two renewals of the epoch */
#define LEADER_TIMEOUT_MS 900  /* without a renewal: the leader is considered lost */
#define CLAIM_DELAY_STEP_MS 60 /* hosts delay their claims by multiples of this */
#define CLAIM_DELAY_STEPS 6
#define LOW_CPU_CLAIM_DELAY_MS 1500   /* additional delay of a low-CPU host */
#define LOW_CPU_TERM_MIN_MS 2000      /* a low-CPU leader is not replaced earlier */
#define CLAIM_TIMEOUT_MS 1500         /* a claim without effect is repeated after this */
#define RENEWAL_TIMEOUT_MS 2500       /* a leader steps down this long after its last renewal */
#define CLOCK_RATE_SLACK 1.03         /* a server's clock may run 2 % slow */
#define LEASE_END_MARGIN_MS 500       /* added to the end of an earlier leader's leases */
#define TAKEOVER_STEP_TIMEOUT_MS 8000 /* the host resigns if a takeover step takes longer */
#define LEASE_MAX_MS 8000 /* outlasts outages of seconds; bounds the wait for a lost server */
#define LEASE_LIMIT_MARGIN_MS 500 /* our leases are this much shorter than servers permit */
#define GANG_START_SHARE 0.7      /* of gang_start_max_ms: an incomplete gang is stopped after it */
/* Ended jobs are kept this much longer than ended_retention_s. */
#define ENDED_RETENTION_MARGIN_S 30

/* Whether the newest valid claim is this process's. */
static bool
is_self_leader(const struct ms_entry *entry)
{
    return strcmp(entry->table->leader.name, entry->claim_name) == 0;
}

/* Enters STATE, and reads the jobs stream as often as it requires. */
static void
set_state(struct ms_entry *entry, enum ms_leader_state state)
{
    static const char *const names[] = {"following",   "claiming", "fencing",
                                        "catching_up", "listing",  "placing"};
    ms_log(MS_LOG_NOTICE,
           "event=lead state=%s epoch=%" G_GUINT64_FORMAT
           " holder=%s heard_age_ms=%" G_GINT64_FORMAT,
           names[state], entry->table->leader.epoch, entry->table->leader.name,
           entry->now - entry->last_leader_record_at);
    entry->leader_state = state;
    ms_stream_reader_set_pause(entry->stream_readers[MS_STREAM_JOBS],
                               state == MS_FOLLOWING ? MS_JOBS_PAUSE_FOLLOWING_MS
                                                     : MS_JOBS_PAUSE_PLACING_MS);
    entry->leader_state_since = entry->now;
    ms_counter_set(entry->counters, MS_GAUGE_LEADER, state == MS_PLACING);
    ms_counter_set(entry->counters, MS_GAUGE_EPOCH, entry->table->leader.epoch);
}

/* Length of the leases that this host requests as leader. */
static int64_t
lease_ms(const struct ms_entry *entry)
{
    return MIN(entry->settings->lease_max_ms - LEASE_LIMIT_MARGIN_MS, LEASE_MAX_MS);
}

/* Queues a fenced append of a leader record of kind RECORD; WRITER_EPOCH has no record. */
static void
push_fenced(struct ms_entry *entry, enum ms_append_kind kind, enum ms_leader_record_kind record)
{
    struct ms_append *append = ms_append_new(kind);
    append->epoch = entry->term_epoch;
    append->queued_at = entry->now;
    if (kind != MS_APPEND_WRITER_EPOCH) {
        size_t length = 0;
        uint8_t *bytes = ms_leader_record_pack(entry->claim_name, append->epoch, record, &length);
        ms_append_add_record(append, MS_KEY_LEADER, "", g_bytes_new_take(bytes, length));
    }
    if (!ms_appender_push(entry->fenced_appender, append)) {
        ms_log(MS_LOG_WARNING, "event=append_queue_full writer=placing");
        ms_append_free(append);
    }
}

/* Claims the next epoch, on condition that the stream ends at the offset read up to. */
static void
push_claim(struct ms_entry *entry)
{
    struct ms_append *append = ms_append_new(MS_APPEND_LEADER_CLAIM);
    size_t length = 0;
    uint8_t *bytes = ms_leader_record_pack(entry->claim_name, entry->table->leader.epoch + 1,
                                           MS_LEADER_CLAIM, &length);
    ms_append_add_record(append, MS_KEY_LEADER, "", g_bytes_new_take(bytes, length));
    append->queued_at = entry->now;
    append->expected_end = entry->jobs_next_offset;
    append->deadline_at = entry->now + CLAIM_TIMEOUT_MS / 2;
    entry->claim_retry_offset = 0;
    set_state(entry, MS_CLAIMING);
    if (!ms_appender_push(entry->unfenced_appender, append)) {
        ms_log(MS_LOG_WARNING, "event=append_queue_full writer=open");
        ms_append_free(append);
    }
}

/*
 * When the leases that the leader of the newest epoch grants have expired, if it was heard now. One
 * that has RESIGNED renews none any more.
 */
static int64_t
leases_end(const struct ms_entry *entry, bool resigned)
{
    int64_t longest_lease =
        (int64_t)((double)lease_ms(entry) * CLOCK_RATE_SLACK) + LEASE_END_MARGIN_MS;
    return entry->now + longest_lease + (resigned ? 0 : RENEWAL_TIMEOUT_MS);
}

/*
 * Notes that the leader of the newest epoch was heard now.  It, or a leader before it, may have
 * runs at servers that we cannot reach until `earlier_leases_until`.
 */
static void
note_leader_heard(struct ms_entry *entry, bool resigned)
{
    entry->last_leader_record_at = entry->now;
    entry->earlier_leader_resigned = resigned;
    entry->earlier_leases_until = MAX(leases_end(entry, resigned), entry->older_leases_until);
}

void
ms_leader_job_state_applied(struct ms_entry *entry)
{
    if (entry->engine == NULL) {
        entry->earlier_leases_until = MAX(leases_end(entry, false), entry->earlier_leases_until);
    }
}

/* Notes that a record of another epoch than before was read. */
static void
note_new_epoch(struct ms_entry *entry)
{
    if (entry->newest_epoch != 0) {
        entry->older_leases_until = entry->earlier_leases_until;
    }
    entry->newest_epoch = entry->table->leader.epoch;
    entry->newest_epoch_since = entry->now;
}

/* This host is no longer the leader: its own leases now count as an earlier leader's. */
static void
end_term(struct ms_entry *entry, bool resigned)
{
    ms_engine_free(entry->engine);
    entry->engine = NULL;
    ms_stream_reader_enable(entry->stream_readers[MS_STREAM_SERVERS], false);
    ms_order_sender_set_min_epoch(entry->order_sender, UINT64_MAX);
    entry->renewal_in_flight = false; /* an answer to a renewal of this epoch will be ignored */
    note_leader_heard(entry, resigned);
    set_state(entry, MS_FOLLOWING);
}

/* Our claim was read from the log: starts the first step, the fence. */
static void
begin_takeover(struct ms_entry *entry)
{
    ms_counter_add(entry->counters, MS_COUNT_TAKEOVERS, 1);
    entry->last_renewal_at = entry->now;
    entry->term_epoch = entry->table->leader.epoch;
    set_state(entry, MS_FENCING);
    ms_appender_set_epoch(entry->fenced_appender, entry->term_epoch);
    push_fenced(entry, MS_APPEND_WRITER_EPOCH, MS_LEADER_RENEW);
}

void
ms_leader_step_down(struct ms_entry *entry, const char *reason)
{
    if (entry->leader_state <= MS_CLAIMING) {
        return;
    }
    ms_log(MS_LOG_NOTICE, "event=lead_end reason=%s epoch=%" G_GUINT64_FORMAT, reason,
           entry->term_epoch);
    ms_appender_set_epoch(entry->fenced_appender, 0);
    end_term(entry, false);
}

void
ms_leader_record_applied(struct ms_entry *entry)
{
    bool is_leader = is_self_leader(entry) && !entry->table->leader.resigned;
    bool is_term_epoch = entry->table->leader.epoch == entry->term_epoch;
    bool is_new_epoch = entry->table->leader.epoch != entry->newest_epoch;
    if (is_new_epoch) {
        note_new_epoch(entry);
    }
    if (entry->leader_state > MS_CLAIMING && !(is_leader && is_term_epoch)) {
        ms_leader_step_down(entry, "another_holder");
    }
    else if (is_leader && entry->leader_state <= MS_CLAIMING && is_term_epoch) {
        ms_log(MS_LOG_NOTICE, "event=late_renewal epoch=%" G_GUINT64_FORMAT, entry->term_epoch);
    }
    else if (is_leader && entry->leader_state <= MS_CLAIMING && !entry->draining) {
        begin_takeover(entry); /* first: it logs the age of the earlier leader's last record */
        entry->last_leader_record_at = entry->now;
        return;
    }
    if (!is_leader && entry->leader_state == MS_CLAIMING) {
        set_state(entry, MS_FOLLOWING); /* another host's claim won */
    }
    if (!is_leader) {
        /*
         * If its resignation is the first record of its epoch that we read, we may not know of
         * the leader before it, which may still renew leases.
         */
        note_leader_heard(entry, entry->table->leader.resigned && !is_new_epoch);
    }
}

int64_t
ms_leader_ended_retention_ms(const struct ms_entry *entry)
{
    return (entry->settings->ended_retention_s + ENDED_RETENTION_MARGIN_S) * 1000;
}

static void
create_engine(struct ms_entry *entry)
{
    struct ms_engine_limits limits;
    ms_engine_limits_defaults(&limits);
    limits.lease_ms = lease_ms(entry);
    limits.lease_max_ms = entry->settings->lease_max_ms;
    limits.gang_start_ms = (int64_t)((double)entry->settings->gang_start_max_ms * GANG_START_SHARE);
    limits.stop_grace_ms = entry->settings->stop_grace_ms;
    limits.weigh_slow_stops = entry->settings->weigh_slow_stops;
    limits.ended_retention_ms = ms_leader_ended_retention_ms(entry);
    int64_t earlier_leases_until = entry->term_epoch > 1 ? entry->earlier_leases_until : 0;
    ms_log(MS_LOG_NOTICE,
           "event=earlier_leases epoch=%" G_GUINT64_FORMAT " left_ms=%" G_GINT64_FORMAT
           " leader=%s",
           entry->term_epoch, MAX(earlier_leases_until - entry->now, 0),
           entry->earlier_leader_resigned ? "resigned" : "silent");
    entry->engine = ms_engine_new(&limits, entry->term_epoch, earlier_leases_until, entry->now);
    ms_engine_set_log(entry->engine, ms_actions_log, entry);
    ms_engine_set_policy(entry->engine, entry->policy);
    ms_engine_set_dcs_out(entry->engine, entry->dcs_out_of_service);
    ms_order_sender_set_min_epoch(entry->order_sender, entry->term_epoch);
}

/* The engine has the servers of the directory; it now gets the jobs, and placing starts. */
void
ms_leader_directory_loaded(struct ms_entry *entry)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, entry->table->jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        ms_engine_add_job(entry->engine, value, entry->now);
    }
    set_state(entry, MS_PLACING);
    entry->next_renewal_at = entry->now;
}

void
ms_leader_append_done(struct ms_entry *entry, const struct ms_append *append)
{
    if (append->kind == MS_APPEND_LEADER_CLAIM) {
        if (append->result != MS_KEYED_LOG_OK) {
            ms_log(MS_LOG_NOTICE, "event=claim_failed result=%s read_to=%" G_GUINT64_FORMAT,
                   ms_keyed_log_result_name(append->result), append->expected_end);
            entry->claim_retry_offset =
                append->result == MS_KEYED_LOG_END_MISMATCH ? append->end_offset : 0;
        }
        return;
    }
    if (entry->leader_state <= MS_CLAIMING || append->epoch != entry->term_epoch) {
        return;
    }
    if (append->result == MS_KEYED_LOG_FENCED) {
        ms_leader_step_down(entry, "writer_fenced");
        return;
    }
    entry->last_renewal_at = MAX(entry->last_renewal_at, append->queued_at);
    switch (append->kind) {
    case MS_APPEND_WRITER_EPOCH:
        entry->catch_up_offset = append->end_offset;
        set_state(entry, MS_CATCHING_UP);
        break;
    case MS_APPEND_LEADER_RENEW:
        entry->renewal_in_flight = false;
        break;
    case MS_APPEND_JOB_STATE:
        if (entry->engine != NULL) {
            ms_engine_on_stored(entry->engine, entry->now);
        }
        break;
    case MS_APPEND_ACCEPT:
    case MS_APPEND_CANCEL:
    case MS_APPEND_EARLY_CANCEL:
    case MS_APPEND_LEADER_CLAIM:
    case MS_APPEND_LEADER_RESIGN:
    case MS_APPEND_HOST_RECORD:
        break;
    }
}

/*
 * Delay of this host's claims, so that hosts rarely claim at the same time.  Low-CPU
 * hosts come last; among the others the order changes with the epoch.
 */
static int64_t
claim_delay(const struct ms_entry *entry)
{
    guint hash = g_str_hash(entry->claim_name) * 31u + (guint)entry->table->leader.epoch;
    int64_t low_cpu_delay =
        entry->settings->cpu_cores < MS_LOW_CPU_CORES ? LOW_CPU_CLAIM_DELAY_MS : 0;
    return (int64_t)(hash % CLAIM_DELAY_STEPS) * CLAIM_DELAY_STEP_MS + low_cpu_delay;
}

/* Whether the leader is a low-CPU host that this host, which is not one, should replace. */
static bool
should_replace_low_cpu_leader(const struct ms_entry *entry)
{
    return entry->settings->cpu_cores >= MS_LOW_CPU_CORES &&
           g_str_has_suffix(entry->table->leader.name, MS_LOW_CPU_SUFFIX) &&
           entry->now - entry->newest_epoch_since >= LOW_CPU_TERM_MIN_MS + claim_delay(entry);
}

/* Whether the leader is an earlier process of this host, which has ended. */
static bool
leader_is_earlier_process(const struct ms_entry *entry)
{
    const char *leader_name = entry->table->leader.name;
    size_t length = strlen(entry->settings->name);
    return strncmp(leader_name, entry->settings->name, length) == 0 && leader_name[length] == '/' &&
           !is_self_leader(entry);
}

/* Claims the next epoch if the leader is lost, has resigned or should be replaced. */
static void
claim_tick(struct ms_entry *entry)
{
    const struct ms_leader *leader = &entry->table->leader;
    bool may_claim = entry->jobs_loaded && entry->policy != NULL && !entry->draining &&
                     entry->jobs_readable_since != 0 &&
                     entry->now - entry->jobs_current_at < LEADER_TIMEOUT_MS;
    if (!may_claim) {
        return;
    }
    int64_t since_record_ms =
        entry->now - MAX(entry->last_leader_record_at, entry->jobs_readable_since);
    bool vacant = leader->epoch == 0 || leader->resigned;
    int64_t timeout_ms = (vacant ? 0 : LEADER_TIMEOUT_MS) + claim_delay(entry);
    if (leader_is_earlier_process(entry)) {
        timeout_ms = 0;
    }
    bool retry_offset_reached =
        entry->claim_retry_offset != 0 && entry->jobs_next_offset >= entry->claim_retry_offset;
    bool claim_pending = entry->leader_state == MS_CLAIMING &&
                         entry->now - entry->leader_state_since < CLAIM_TIMEOUT_MS &&
                         !retry_offset_reached;
    if ((since_record_ms >= timeout_ms || should_replace_low_cpu_leader(entry)) && !claim_pending) {
        push_claim(entry);
    }
}

/* Renews the epoch, or steps down if that has failed for too long. */
static void
renew_tick(struct ms_entry *entry)
{
    if (entry->now - entry->last_renewal_at > RENEWAL_TIMEOUT_MS) {
        ms_leader_step_down(entry, "renewals_failed");
        return;
    }
    if (!entry->renewal_in_flight && entry->now >= entry->next_renewal_at) {
        entry->renewal_in_flight = true;
        entry->next_renewal_at = entry->now + RENEW_INTERVAL_MS;
        push_fenced(entry, MS_APPEND_LEADER_RENEW, MS_LEADER_RENEW);
    }
}

void
ms_leader_tick(struct ms_entry *entry)
{
    switch (entry->leader_state) {
    case MS_FOLLOWING:
    case MS_CLAIMING:
        claim_tick(entry);
        return;
    case MS_CATCHING_UP:
        if (entry->jobs_next_offset >= entry->catch_up_offset) {
            create_engine(entry);
            set_state(entry, MS_LISTING);
            ms_stream_reader_enable(entry->stream_readers[MS_STREAM_SERVERS], true);
        }
        break;
    case MS_FENCING:
    case MS_LISTING:
    case MS_PLACING:
        break;
    }
    if (entry->leader_state < MS_PLACING &&
        entry->now - entry->leader_state_since > TAKEOVER_STEP_TIMEOUT_MS) {
        ms_leader_resign(entry); /* another host may succeed */
        return;
    }
    renew_tick(entry);
}

void
ms_leader_resign(struct ms_entry *entry)
{
    if (entry->leader_state <= MS_CLAIMING) {
        return;
    }
    push_fenced(entry, MS_APPEND_LEADER_RESIGN, MS_LEADER_RESIGN);
    end_term(entry, true);
}
