/*
 * counters.h - the daemon's counters and gauges.
 *
 * Each is a name, a help line and a 64-bit value that any thread may change.
 * ms_counters_text() writes them in the Prometheus text format.
 */
#ifndef MS_COUNTERS_H
#define MS_COUNTERS_H

#include <glib.h>
#include <stdint.h>

enum ms_counter {
    MS_COUNT_REQUESTS = 0,
    MS_COUNT_OUTCOME_DONE,
    MS_COUNT_OUTCOME_REFUSED,
    MS_COUNT_OUTCOME_UNKNOWN,
    MS_COUNT_BAD_REQUESTS,
    MS_COUNT_BUSY,
    MS_COUNT_FORWARDED,
    MS_COUNT_RESENT,
    MS_COUNT_TASK_OPS,
    MS_COUNT_TASK_OPS_FAILED,
    MS_COUNT_SYNCS,
    MS_COUNT_SYNCS_FAILED,
    MS_COUNT_SERVERS_LOST,
    MS_COUNT_APPENDS,
    MS_COUNT_APPEND_RECORDS,
    MS_COUNT_APPENDS_FAILED,
    MS_COUNT_RECORDS_READ,
    MS_COUNT_READS_FAILED,
    MS_COUNT_SNAPSHOTS,
    MS_COUNT_PEER_BYTES_OUT,
    MS_COUNT_PEER_BYTES_IN,
    MS_COUNT_PEERS_LOST,
    MS_COUNT_TAKEOVERS,
    MS_COUNT_STEPS,
    MS_COUNT_STEP_US,
    MS_COUNT_BACKEND_BYTES,
    MS_COUNT_PLATFORM_BYTES,
    MS_COUNT_LOG_LINES_LOST,
    MS_GAUGE_HOLDER,
    MS_GAUGE_EPOCH,
    MS_GAUGE_APPLIED,
    MS_GAUGE_LOG_REACHABLE,
    MS_GAUGE_PEERS_ALIVE,
    MS_GAUGE_SERVERS,
    MS_GAUGE_ACCELS_FREE,
    MS_GAUGE_WAITING,
    MS_GAUGE_RUNNING,
    MS_GAUGE_STRANDED,
    MS_GAUGE_GUARANTEES_UNMET,
    MS_GAUGE_PENDING,
    MS_GAUGE_TOKENS,
    MS_GAUGE_ACCEPTS,
    MS_GAUGE_DONES,
    MS_COUNTER_COUNT
};

/* Histograms of durations, in milliseconds. */
enum ms_histogram {
    MS_HISTOGRAM_ANSWER = 0,  /* from a request's arrival to its answer */
    MS_HISTOGRAM_APPEND,      /* from an append's request to its end */
    MS_HISTOGRAM_START_DELAY, /* from a task's turn to its placing */
    MS_HISTOGRAM_COUNT
};

#define MS_BUCKET_COUNT 14 /* upper bounds 1, 2, 4 ... 8192 ms; more goes to +Inf */

struct ms_histogram_values {
    uint64_t buckets[MS_BUCKET_COUNT + 1];
    uint64_t sum;
};

struct ms_counters {
    uint64_t values[MS_COUNTER_COUNT];
    struct ms_histogram_values histograms[MS_HISTOGRAM_COUNT];
};

/* Adds a duration to a histogram; negative ones count as 0. */
void ms_histogram_observe(struct ms_counters *counters, enum ms_histogram histogram, int64_t ms);

void ms_counter_add(struct ms_counters *counters, enum ms_counter counter, uint64_t amount);
void ms_counter_set(struct ms_counters *counters, enum ms_counter counter, uint64_t value);
uint64_t ms_counter_get(const struct ms_counters *counters, enum ms_counter counter);

/* The text of all counters and histograms; freed with g_free(). */
char *ms_counters_text(const struct ms_counters *counters);

#endif
