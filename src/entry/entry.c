/*
 * entry.c - the decision thread of an entry host: handles messages of the other
 * threads, runs timers, and shuts down.
 */
#include <stdio.h>
#include <string.h>

#include "entry/private.h"
#include "obs/clock.h"
#include "obs/log.h"

#define MESSAGE_RING_SLOTS 16384
#define SLEEP_MAX_MS 250 /* longest sleep of the decision thread */
/* Long polls: a read of each stream waits this long for records. */
#define JOBS_READ_WAIT_MS 1000
#define RULES_READ_WAIT_MS 1800
#define SERVERS_READ_WAIT_MS 2000
/* Pauses between two reads; those of the jobs stream are in private.h. */
#define RULES_PAUSE_MS 0
#define SERVERS_PAUSE_MS 300

#define DRAIN_SHARE 0.6   /* of shutdown_s: limit of the wait for open calls */
#define DRAIN_MIN_MS 2500 /* the load balancer needs this long to notice */

/* Begins a graceful shutdown; check_shutdown() ends it. */
static void
begin_shutdown(struct ms_entry *entry)
{
    if (entry->draining) {
        return;
    }
    ms_log(MS_LOG_NOTICE, "event=shutdown_begin calls=%u", entry->open_call_count);
    entry->draining = true;
    entry->drain_deadline =
        entry->now + (int64_t)((double)entry->settings->shutdown_s * 1000.0 * DRAIN_SHARE);
    entry->drain_started_at = entry->now;
    ms_leader_resign(entry);
    ms_entry_peers_leave(entry);
    ms_http_frontend_close_connections(entry->http_frontend);
}

/* Ends the shutdown when no calls are open any more, or when its deadline has passed. */
static void
check_shutdown(struct ms_entry *entry)
{
    if (!entry->draining) {
        return;
    }
    bool timed_out = entry->now >= entry->drain_deadline;
    bool idle = entry->open_call_count == 0 && entry->now - entry->drain_started_at >= DRAIN_MIN_MS;
    if (timed_out || idle) {
        ms_log(MS_LOG_NOTICE, "event=shutdown_end late=%d calls=%u", timed_out,
               entry->open_call_count);
        atomic_store(&entry->finished, true);
    }
}

static void
handle_append(struct ms_entry *entry, struct ms_append *append)
{
    ms_counter_add(
        entry->counters,
        append->result == MS_KEYED_LOG_OK ? MS_COUNT_LOG_APPENDS : MS_COUNT_LOG_APPENDS_FAILED, 1);
    ms_histogram_observe(entry->counters, MS_HISTOGRAM_APPEND, entry->now - append->queued_at);
    switch (append->kind) {
    case MS_APPEND_ACCEPT:
    case MS_APPEND_CANCEL:
    case MS_APPEND_EARLY_CANCEL:
        ms_requests_append_done(entry, append);
        break;
    case MS_APPEND_HOST_RECORD:
        break; /* repeated by ms_entry_peers_tick() */
    case MS_APPEND_LEADER_CLAIM:
    case MS_APPEND_WRITER_EPOCH:
    case MS_APPEND_JOB_STATE:
    case MS_APPEND_LEADER_RENEW:
    case MS_APPEND_LEADER_RESIGN:
        ms_leader_append_done(entry, append);
        break;
    }
}

static void
handle_message(struct ms_entry *entry, struct ms_entry_message *message)
{
    switch (message->kind) {
    case MS_ENTRY_CALL:
        ms_requests_handle(entry, message->call);
        break;
    case MS_ENTRY_SNAPSHOT:
    case MS_ENTRY_RECORDS:
    case MS_ENTRY_READ_FAILED:
        ms_streams_apply_message(entry, message);
        break;
    case MS_ENTRY_APPENDED:
        handle_append(entry, message->append);
        break;
    case MS_ENTRY_ORDER_ANSWER:
        if (entry->engine != NULL) {
            ms_engine_on_order_answer(entry->engine, message->order, message->order_result,
                                      message->server_clock_ms, entry->now);
        }
        break;
    case MS_ENTRY_LEASE_ANSWER:
        if (entry->engine != NULL) {
            ms_engine_on_renewal_answer(entry->engine, message->order, message->order_result,
                                        message->report, message->order_sent_at, entry->now);
        }
        break;
    case MS_ENTRY_ADVICE_ANSWER:
        if (entry->engine != NULL) {
            ms_engine_on_advice_answer(entry->engine, message->order, message->advice, entry->now);
        }
        break;
    case MS_ENTRY_FORWARDED:
        ms_entry_peers_forward_done(entry, message->forward);
        break;
    case MS_ENTRY_SHUTDOWN:
        begin_shutdown(entry);
        break;
    }
    ms_entry_message_free(message);
}

/* Sets the gauges about servers and waiting work; they are 0 unless this host is the leader. */
static void
set_gauges(struct ms_entry *entry)
{
    static const enum ms_counter exclusion_gauges[MS_SERVER_EXCLUSION_COUNT] = {
        [MS_SERVER_USABLE] = MS_GAUGE_SERVERS,
        [MS_SERVER_UNLISTED] = MS_GAUGE_SERVERS_UNLISTED,
        [MS_SERVER_UNFENCED] = MS_GAUGE_SERVERS_UNFENCED,
        [MS_SERVER_UNRESPONSIVE] = MS_GAUGE_SERVERS_UNRESPONSIVE,
        [MS_SERVER_DRAINING] = MS_GAUGE_SERVERS_DRAINING,
        [MS_SERVER_UNKNOWN_RUNS] = MS_GAUGE_SERVERS_UNKNOWN_RUNS,
        [MS_SERVER_LEASE_FROZEN] = MS_GAUGE_SERVERS_LEASE_FROZEN,
        [MS_SERVER_QUARANTINED] = MS_GAUGE_SERVERS_QUARANTINED,
        [MS_SERVER_DC_OUT] = MS_GAUGE_SERVERS_DC_OUT,
    };
    struct ms_engine_stats stats = {0};
    if (entry->engine != NULL) {
        ms_engine_stats(entry->engine, &stats);
    }
    for (size_t i = 0; i < MS_SERVER_EXCLUSION_COUNT; i++) {
        ms_counter_set(entry->counters, exclusion_gauges[i], stats.servers_by_exclusion[i]);
    }
    ms_counter_set(entry->counters, MS_GAUGE_TASKS_RUNNING, stats.tasks_active);
    ms_counter_set(entry->counters, MS_GAUGE_ORDERS_UNANSWERED, stats.orders_unanswered);
    ms_counter_set(entry->counters, MS_GAUGE_OLDEST_ORDER_MS, (uint64_t)stats.oldest_order_ms);
    ms_counter_set(entry->counters, MS_GAUGE_ORDERS_HELD_PASSES, stats.orders_held_total);
    ms_counter_set(entry->counters, MS_GAUGE_ADVICE_ASKED, stats.advice_asked);
    ms_counter_set(entry->counters, MS_GAUGE_ADVICE_ANSWERED, stats.advice_answered);
    ms_counter_set(entry->counters, MS_GAUGE_ADVICE_GIVEN_UP, stats.advice_given_up);
    ms_counter_set(entry->counters, MS_GAUGE_ADVICE_TOOK_MS, (uint64_t)stats.advice_took_ms);
    ms_counter_set(entry->counters, MS_GAUGE_JOBS_WAITING, stats.units_waiting);
    ms_counter_set(entry->counters, MS_GAUGE_UNITS_OVER_SHARE, stats.units_over_share);
    ms_counter_set(entry->counters, MS_GAUGE_LONGEST_WAIT_MS, (uint64_t)stats.longest_wait_ms);
}

static void
run_timers(struct ms_entry *entry)
{
    ms_leader_tick(entry);
    ms_entry_peers_tick(entry);
    if (entry->leader_state == MS_PLACING) {
        ms_engine_tick(entry->engine, entry->now, ms_clock_unix_ms());
    }
    ms_actions_run(entry);
    ms_requests_resume_refreshed(entry);
    ms_http_frontend_set_ready(entry->http_frontend, ms_requests_is_ready(entry));
    check_shutdown(entry);
}

/* When run_timers() is due next. */
static int64_t
next_wakeup(const struct ms_entry *entry)
{
    int64_t next = entry->now + SLEEP_MAX_MS;
    if (entry->leader_state == MS_PLACING) {
        next = MIN(next, ms_engine_next_tick(entry->engine));
        next = MIN(next, entry->next_renewal_at);
    }
    return next;
}

static void *
entry_thread(void *opaque)
{
    struct ms_entry *entry = opaque;
    int64_t next_gauges_at = 0;
    while (!atomic_load(&entry->finished)) {
        struct ms_entry_message *message = NULL;
        int64_t wait = next_wakeup(entry) - ms_clock_boot_ms();
        ms_ring_wait(entry->message_ring, (int)CLAMP(wait, 0, SLEEP_MAX_MS));
        entry->now = ms_clock_boot_ms();
        while ((message = ms_ring_pop(entry->message_ring)) != NULL) {
            entry->now = ms_clock_boot_ms();
            handle_message(entry, message);
        }
        run_timers(entry);
        if (entry->now >= next_gauges_at) {
            next_gauges_at = entry->now + 1000;
            set_gauges(entry);
            ms_account_metrics_update(entry);
        }
    }
    return NULL;
}

static void
free_append_list(gpointer opaque)
{
    g_ptr_array_unref(opaque);
}

static struct ms_entry *
entry_new(const struct ms_entry_settings *settings, struct ms_counters *counters)
{
    struct ms_entry *entry = g_new0(struct ms_entry, 1);
    entry->settings = settings;
    entry->counters = counters;
    entry->now = ms_clock_boot_ms();
    entry->last_leader_record_at = entry->now;
    snprintf(entry->claim_name, sizeof(entry->claim_name), "%s/%" G_GINT64_FORMAT "%s",
             settings->name, g_get_real_time(),
             settings->cpu_cores < MS_LOW_CPU_CORES ? MS_LOW_CPU_SUFFIX : "");
    entry->table = ms_job_table_new();
    entry->dcs_out_of_service = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    entry->refused_jobs = ms_refused_jobs_new();
    entry->calls_awaiting_refresh = g_ptr_array_new();
    entry->pending_appends =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_append_list);
    entry->message_ring = ms_ring_new(MESSAGE_RING_SLOTS);
    /* Assumed until the first leader record is read. */
    entry->earlier_leases_until = entry->now + settings->lease_max_ms * 2;
    return entry;
}

static bool
start_threads(struct ms_entry *entry)
{
    static const struct {
        int64_t wait_ms;
        int64_t pause_ms;
    } reads[MS_STREAM_COUNT] = {{JOBS_READ_WAIT_MS, MS_JOBS_PAUSE_FOLLOWING_MS},
                                {RULES_READ_WAIT_MS, RULES_PAUSE_MS},
                                {SERVERS_READ_WAIT_MS, SERVERS_PAUSE_MS}};
    const char *log = entry->settings->log_address;
    for (int i = 0; i < MS_STREAM_COUNT; i++) {
        entry->stream_readers[i] = ms_stream_reader_start(
            log, (enum ms_stream)i, entry->message_ring, reads[i].wait_ms, reads[i].pause_ms);
        if (entry->stream_readers[i] == NULL) {
            return false;
        }
    }
    entry->unfenced_appender = ms_appender_start(log, entry->message_ring, false);
    entry->fenced_appender = ms_appender_start(log, entry->message_ring, true);
    entry->order_sender = ms_order_sender_start(entry->message_ring,
                                                ms_entry_server_connections_max(entry->settings));
    entry->forwarder = ms_forwarder_start(entry->message_ring);
    return entry->unfenced_appender != NULL && entry->fenced_appender != NULL &&
           entry->order_sender != NULL && entry->forwarder != NULL;
}

static void
entry_free(struct ms_entry *entry)
{
    struct ms_entry_message *message = NULL;
    for (int i = 0; i < MS_STREAM_COUNT; i++) {
        ms_stream_reader_stop(entry->stream_readers[i]);
    }
    ms_appender_stop(entry->unfenced_appender);
    ms_appender_stop(entry->fenced_appender);
    ms_order_sender_stop(entry->order_sender);
    ms_forwarder_stop(entry->forwarder);
    while (entry->message_ring != NULL && (message = ms_ring_pop(entry->message_ring)) != NULL) {
        ms_entry_message_free(message);
    }
    ms_engine_free(entry->engine);
    ms_job_table_free(entry->table);
    ms_policy_free(entry->policy);
    g_hash_table_destroy(entry->dcs_out_of_service);
    g_hash_table_destroy(entry->pending_appends);
    ms_refused_jobs_free(entry->refused_jobs);
    g_ptr_array_unref(entry->calls_awaiting_refresh);
    ms_ring_free(entry->message_ring);
    g_free(entry);
}

struct ms_entry *
ms_entry_start(const struct ms_entry_settings *settings, struct ms_counters *counters, char *error,
               size_t size)
{
    struct ms_entry *entry = entry_new(settings, counters);
    if (entry->message_ring == NULL || !start_threads(entry)) {
        snprintf(error, size, "cannot create the message queue or start a worker thread");
        goto fail;
    }
    entry->http_frontend =
        ms_http_frontend_start(settings, counters, entry->message_ring, error, size);
    if (entry->http_frontend == NULL) {
        goto fail;
    }
    if (pthread_create(&entry->thread, NULL, entry_thread, entry) != 0) {
        snprintf(error, size, "cannot start the decision thread");
        ms_http_frontend_stop(entry->http_frontend);
        goto fail;
    }
    ms_stream_reader_enable(entry->stream_readers[MS_STREAM_JOBS], true);
    ms_stream_reader_enable(entry->stream_readers[MS_STREAM_RULES], true);
    return entry;

fail:
    entry_free(entry);
    return NULL;
}

void
ms_entry_shutdown(struct ms_entry *entry)
{
    struct ms_entry_message *message = ms_entry_message_new(MS_ENTRY_SHUTDOWN);
    while (!ms_ring_push(entry->message_ring, message)) {
        g_usleep(1000);
    }
}

bool
ms_entry_finished(const struct ms_entry *entry)
{
    return atomic_load(&entry->finished);
}

void
ms_entry_stop(struct ms_entry *entry)
{
    if (entry == NULL) {
        return;
    }
    atomic_store(&entry->finished, true);
    ms_ring_wake(entry->message_ring);
    pthread_join(entry->thread, NULL);
    ms_http_frontend_stop(entry->http_frontend);
    entry_free(entry);
}
