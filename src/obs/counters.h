/*
 * counters.h - metrics of a daemon: counters, gauges and histograms.
 *
 * Any thread may update them at any time; each value is updated atomically.
 * ms_counters_format_prometheus() formats all of them for Prometheus.
 */
#ifndef MS_COUNTERS_H
#define MS_COUNTERS_H

#include <glib.h>
#include <stdint.h>

/* Counters and gauges.  Their names and help texts are in counters.c. */
enum ms_counter {
    MS_COUNT_REQUESTS = 0,
    MS_COUNT_OUTCOME_DONE,
    MS_COUNT_OUTCOME_REFUSED,
    MS_COUNT_OUTCOME_UNKNOWN,
    MS_COUNT_BAD_REQUESTS,
    MS_COUNT_QUEUE_FULL,
    MS_COUNT_FORWARDED,
    MS_COUNT_JOBS_RESENT,
    MS_COUNT_TASK_OPS,
    MS_COUNT_TASK_OPS_FAILED,
    MS_COUNT_LEASE_RENEWALS,
    MS_COUNT_LEASE_RENEWALS_FAILED,
    MS_COUNT_SERVERS_LOST,
    MS_COUNT_LOG_APPENDS,
    MS_COUNT_LOG_RECORDS_APPENDED,
    MS_COUNT_LOG_APPENDS_FAILED,
    MS_COUNT_LOG_RECORDS_READ,
    MS_COUNT_LOG_READS_FAILED,
    MS_COUNT_SNAPSHOTS,
    MS_COUNT_PEER_BYTES_OUT,
    MS_COUNT_PEER_BYTES_IN,
    MS_COUNT_PEER_CONNECTIONS_LOST,
    MS_COUNT_TAKEOVERS,
    MS_COUNT_CORE_EVENTS,
    MS_COUNT_CORE_TIME_US,
    MS_COUNT_BACKEND_BYTES,
    MS_COUNT_PLATFORM_BYTES,
    MS_COUNT_LOG_LINES_LOST,
    MS_GAUGE_LEADER,
    MS_GAUGE_EPOCH,
    MS_GAUGE_APPLIED_OFFSET,
    MS_GAUGE_LOG_REACHABLE,
    MS_GAUGE_PEERS_ALIVE,
    MS_GAUGE_SERVERS,
    MS_GAUGE_ACCELS_FREE,
    MS_GAUGE_JOBS_WAITING,
    MS_GAUGE_UNITS_OVER_SHARE,
    MS_GAUGE_LONGEST_WAIT_MS,
    MS_GAUGE_SERVERS_UNLISTED,
    MS_GAUGE_SERVERS_UNFENCED,
    MS_GAUGE_SERVERS_UNRESPONSIVE,
    MS_GAUGE_SERVERS_DRAINING,
    MS_GAUGE_SERVERS_UNKNOWN_RUNS,
    MS_GAUGE_SERVERS_LEASE_FROZEN,
    MS_GAUGE_SERVERS_QUARANTINED,
    MS_GAUGE_SERVERS_DC_OUT,
    MS_GAUGE_TASKS_RUNNING,
    MS_GAUGE_ORDERS_UNANSWERED,
    MS_GAUGE_OLDEST_ORDER_MS,
    MS_GAUGE_ORDERS_HELD_PASSES,
    MS_GAUGE_ADVICE_ASKED,
    MS_GAUGE_ADVICE_ANSWERED,
    MS_GAUGE_ADVICE_GIVEN_UP,
    MS_GAUGE_ADVICE_TOOK_MS,
    MS_GAUGE_ACCELS_STRANDED,
    MS_GAUGE_GUARANTEES_UNMET,
    MS_GAUGE_REQUESTS_PENDING,
    MS_GAUGE_RUN_TOKENS,
    MS_GAUGE_ACCEPTED,
    MS_GAUGE_OUTCOMES,
    MS_COUNTER_COUNT
};

/* Histograms of durations, in milliseconds. */
enum ms_histogram {
    MS_HISTOGRAM_ANSWER = 0,  /* from the arrival of a request to its answer */
    MS_HISTOGRAM_APPEND,      /* from the request to append to the log to its result */
    MS_HISTOGRAM_START_DELAY, /* from when a task may start to its placement */
    MS_HISTOGRAM_COUNT
};

#define MS_HISTOGRAM_BUCKET_COUNT 14 /* upper bounds 1, 2, 4 ... 8192 ms, without +Inf */

struct ms_histogram_values {
    uint64_t buckets[MS_HISTOGRAM_BUCKET_COUNT + 1]; /* not cumulative; the last is +Inf */
    uint64_t sum;                                    /* milliseconds */
};

/* Initialised with zeros. */
struct ms_counters {
    uint64_t values[MS_COUNTER_COUNT];
    struct ms_histogram_values histograms[MS_HISTOGRAM_COUNT];
};

/* Adds a duration to a histogram.  A negative one counts as 0. */
void ms_histogram_observe(struct ms_counters *counters, enum ms_histogram histogram, int64_t ms);

void ms_counter_add(struct ms_counters *counters, enum ms_counter counter, uint64_t amount);
void ms_counter_set(struct ms_counters *counters, enum ms_counter counter, uint64_t value);
uint64_t ms_counter_get(const struct ms_counters *counters, enum ms_counter counter);

/* Formats all metrics in the Prometheus text format; the result is freed with g_free(). */
char *ms_counters_format_prometheus(const struct ms_counters *counters);

#endif
