/*
 * counters.c - metrics of a daemon: counters, gauges and histograms.
 */
#include <ck_pr.h>

#include "obs/counters.h"

/* Name, type and help text in the Prometheus format; names get the prefix "mustardspread_". */
struct description {
    const char *name;
    const char *type;
    const char *help;
};

static const struct description descriptions[MS_COUNTER_COUNT] = {
    [MS_COUNT_REQUESTS] = {"requests_total", "counter", "Job submissions by callers"},
    [MS_COUNT_OUTCOME_DONE] = {"outcomes_done_total", "counter", "Answers: done"},
    [MS_COUNT_OUTCOME_REFUSED] = {"outcomes_refused_total", "counter", "Answers: did not run"},
    [MS_COUNT_OUTCOME_UNKNOWN] = {"outcomes_unknown_total", "counter", "Answers: unknown"},
    [MS_COUNT_BAD_REQUESTS] = {"bad_requests_total", "counter", "Malformed requests"},
    [MS_COUNT_QUEUE_FULL] = {"busy_total", "counter", "Requests refused because a ring was full"},
    [MS_COUNT_FORWARDED] = {"forwarded_total", "counter", "Calls sent on to another host"},
    [MS_COUNT_JOBS_RESENT] = {"resent_total", "counter", "Jobs sent again"},
    [MS_COUNT_TASK_OPS] = {"task_ops_total", "counter", "Task operations sent to servers"},
    [MS_COUNT_TASK_OPS_FAILED] = {"task_ops_failed_total", "counter", "Those without an answer"},
    [MS_COUNT_LEASE_RENEWALS] = {"syncs_total", "counter", "Lease renewals answered"},
    [MS_COUNT_LEASE_RENEWALS_FAILED] = {"syncs_failed_total", "counter",
                                        "Lease renewals not answered"},
    [MS_COUNT_SERVERS_LOST] = {"servers_lost_total", "counter", "Backend servers lost"},
    [MS_COUNT_LOG_APPENDS] = {"log_appends_total", "counter", "Append calls to the log"},
    [MS_COUNT_LOG_RECORDS_APPENDED] = {"log_append_records_total", "counter", "Records appended"},
    [MS_COUNT_LOG_APPENDS_FAILED] = {"log_appends_failed_total", "counter",
                                     "Append calls that failed"},
    [MS_COUNT_LOG_RECORDS_READ] = {"log_records_read_total", "counter", "Records read"},
    [MS_COUNT_LOG_READS_FAILED] = {"log_reads_failed_total", "counter", "Read calls that failed"},
    [MS_COUNT_SNAPSHOTS] = {"snapshots_total", "counter", "Snapshots published"},
    [MS_COUNT_PEER_BYTES_OUT] = {"peer_bytes_out_total", "counter", "Bytes sent to hosts"},
    [MS_COUNT_PEER_BYTES_IN] = {"peer_bytes_in_total", "counter", "Bytes received from hosts"},
    [MS_COUNT_PEER_CONNECTIONS_LOST] = {"peers_lost_total", "counter", "Host connections lost"},
    [MS_COUNT_TAKEOVERS] = {"takeovers_total", "counter", "Times this host began to place work"},
    [MS_COUNT_CORE_EVENTS] = {"steps_total", "counter", "Events given to the decision core"},
    [MS_COUNT_CORE_TIME_US] = {"step_microseconds_total", "counter", "Time spent in the core"},
    [MS_COUNT_BACKEND_BYTES] = {"backend_bytes_total", "counter", "Bytes to and from servers"},
    [MS_COUNT_PLATFORM_BYTES] = {"platform_bytes_total", "counter", "Bytes to and from the log"},
    [MS_COUNT_LOG_LINES_LOST] = {"log_lines_lost_total", "counter",
                                 "Log lines refused by the ring"},
    [MS_GAUGE_LEADER] = {"holder", "gauge", "1 while this host places the work of its data centre"},
    [MS_GAUGE_EPOCH] = {"epoch", "gauge", "Epoch of that claim"},
    [MS_GAUGE_APPLIED_OFFSET] = {"log_applied_offset", "gauge", "Next log offset to apply"},
    [MS_GAUGE_LOG_REACHABLE] = {"log_reachable", "gauge", "1 while the log answers"},
    [MS_GAUGE_PEERS_ALIVE] = {"peers_alive", "gauge", "Other hosts that are heard"},
    [MS_GAUGE_SERVERS] = {"servers", "gauge", "Backend servers held and usable"},
    [MS_GAUGE_ACCELS_FREE] = {"accels_free", "gauge", "Free accelerators"},
    [MS_GAUGE_JOBS_WAITING] = {"jobs_waiting", "gauge", "Jobs waiting in this data centre"},
    [MS_GAUGE_UNITS_OVER_SHARE] = {"units_over_share", "gauge",
                                   "Waiting units that go after others because of their account"},
    [MS_GAUGE_LONGEST_WAIT_MS] = {"longest_wait_milliseconds", "gauge",
                                  "Longest time that tasks of a step wait and none is placed"},
    [MS_GAUGE_SERVERS_UNLISTED] = {"servers_unlisted", "gauge", "Servers not in the directory"},
    [MS_GAUGE_SERVERS_UNFENCED] = {"servers_unfenced", "gauge",
                                   "Servers that have not confirmed the leader's fence"},
    [MS_GAUGE_SERVERS_UNRESPONSIVE] = {"servers_unresponsive", "gauge",
                                       "Servers without an answer"},
    [MS_GAUGE_SERVERS_DRAINING] = {"servers_draining", "gauge", "Servers that will shut down"},
    [MS_GAUGE_SERVERS_UNKNOWN_RUNS] = {"servers_unknown_runs", "gauge",
                                       "Servers with runs that no record allows"},
    [MS_GAUGE_SERVERS_LEASE_FROZEN] = {"servers_lease_frozen", "gauge",
                                       "Servers whose lease is not extended yet"},
    [MS_GAUGE_SERVERS_QUARANTINED] = {"servers_quarantined", "gauge", "Servers in quarantine"},
    [MS_GAUGE_SERVERS_DC_OUT] = {"servers_dc_out", "gauge",
                                 "Servers of data centres that are out of service"},
    [MS_GAUGE_ORDERS_UNANSWERED] = {"orders_unanswered", "gauge",
                                    "Starts and stops without an answer from their server"},
    [MS_GAUGE_OLDEST_ORDER_MS] = {"oldest_order_milliseconds", "gauge",
                                  "Age of the oldest start or stop without an answer"},
    [MS_GAUGE_ORDERS_HELD_PASSES] = {"orders_held_passes", "gauge",
                                     "Placement passes of this term that held back starts as"
                                     " orders were behind"},
    [MS_GAUGE_ADVICE_ASKED] = {"advice_calls", "gauge", "Calls to the advice service in this term"},
    [MS_GAUGE_ADVICE_ANSWERED] = {"advice_calls_answered", "gauge",
                                  "Of these: calls that were answered"},
    [MS_GAUGE_ADVICE_GIVEN_UP] = {"advice_calls_given_up", "gauge",
                                  "Of these: calls that were given up by their time limit"},
    [MS_GAUGE_ADVICE_TOOK_MS] = {"advice_call_milliseconds", "gauge",
                                 "Time of the last call to the advice service that was answered"},
    [MS_GAUGE_TASKS_RUNNING] = {"tasks_running", "gauge", "Tasks that hold resources"},
    [MS_GAUGE_ACCELS_STRANDED] = {"accels_stranded", "gauge",
                                  "Free accelerators that the largest waiting gang cannot use"},
    [MS_GAUGE_GUARANTEES_UNMET] = {"guarantees_unmet", "gauge", "Guarantees without all cells"},
    [MS_GAUGE_REQUESTS_PENDING] = {"requests_pending", "gauge",
                                   "Jobs that this entry host follows"},
    [MS_GAUGE_RUN_TOKENS] = {"state_tokens", "gauge", "Run tokens without an outcome"},
    [MS_GAUGE_ACCEPTED] = {"state_accepted", "gauge", "Accepted jobs without an outcome"},
    [MS_GAUGE_OUTCOMES] = {"state_outcomes", "gauge", "Outcomes kept"},
};

void
ms_counter_add(struct ms_counters *counters, enum ms_counter counter, uint64_t amount)
{
    ck_pr_add_64(&counters->values[counter], amount);
}

void
ms_counter_set(struct ms_counters *counters, enum ms_counter counter, uint64_t value)
{
    ck_pr_store_64(&counters->values[counter], value);
}

uint64_t
ms_counter_get(const struct ms_counters *counters, enum ms_counter counter)
{
    return ck_pr_load_64(&counters->values[counter]);
}

static const struct description histogram_descriptions[MS_HISTOGRAM_COUNT] = {
    [MS_HISTOGRAM_ANSWER] = {"answer_milliseconds", "histogram", "Time to answer a request"},
    [MS_HISTOGRAM_APPEND] = {"append_milliseconds", "histogram", "Time of an append to the log"},
    [MS_HISTOGRAM_START_DELAY] = {"start_delay_milliseconds", "histogram",
                                  "Time from a task's turn to its placing"},
};

void
ms_histogram_observe(struct ms_counters *counters, enum ms_histogram histogram, int64_t ms)
{
    struct ms_histogram_values *values = &counters->histograms[histogram];
    uint64_t duration = ms > 0 ? (uint64_t)ms : 0;
    size_t bucket = 0;
    while (bucket < MS_HISTOGRAM_BUCKET_COUNT && duration > (UINT64_C(1) << bucket)) {
        bucket++;
    }
    ck_pr_add_64(&values->buckets[bucket], 1);
    ck_pr_add_64(&values->sum, duration);
}

static void
write_histogram(GString *text, const struct description *description,
                const struct ms_histogram_values *values)
{
    uint64_t cumulative = 0;
    g_string_append_printf(text, "# HELP mustardspread_%s %s\n# TYPE mustardspread_%s %s\n",
                           description->name, description->help, description->name,
                           description->type);
    for (size_t i = 0; i <= MS_HISTOGRAM_BUCKET_COUNT; i++) {
        char bound[32] = "+Inf";
        if (i < MS_HISTOGRAM_BUCKET_COUNT) {
            g_snprintf(bound, sizeof(bound), "%" G_GUINT64_FORMAT, (guint64)UINT64_C(1) << i);
        }
        cumulative += ck_pr_load_64(&values->buckets[i]);
        g_string_append_printf(text, "mustardspread_%s_bucket{le=\"%s\"} %" G_GUINT64_FORMAT "\n",
                               description->name, bound, cumulative);
    }
    g_string_append_printf(text,
                           "mustardspread_%s_sum %" G_GUINT64_FORMAT
                           "\nmustardspread_%s_count %" G_GUINT64_FORMAT "\n",
                           description->name, ck_pr_load_64(&values->sum), description->name,
                           cumulative);
}

char *
ms_counters_format_prometheus(const struct ms_counters *counters)
{
    GString *text = g_string_new(NULL);
    for (int i = 0; i < MS_COUNTER_COUNT; i++) {
        const struct description *description = &descriptions[i];
        g_string_append_printf(text,
                               "# HELP mustardspread_%s %s\n# TYPE mustardspread_%s %s\n"
                               "mustardspread_%s %" G_GUINT64_FORMAT "\n",
                               description->name, description->help, description->name,
                               description->type, description->name,
                               ms_counter_get(counters, (enum ms_counter)i));
    }
    for (int i = 0; i < MS_HISTOGRAM_COUNT; i++) {
        write_histogram(text, &histogram_descriptions[i], &counters->histograms[i]);
    }
    return g_string_free(text, FALSE);
}
