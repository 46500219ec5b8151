/*
 * failure_detector.h - decides when a host without heartbeats counts as failed.
 *
 * There are three ways to choose the timeout; docs/DESIGN.md compares them on
 * recorded gaps between heartbeats.  No I/O and no clock: the caller passes
 * the time, in milliseconds of a monotonic clock.
 */
#ifndef MS_FAILURE_DETECTOR_H
#define MS_FAILURE_DETECTOR_H

#include <stdbool.h>
#include <stdint.h>

#define MS_DETECTOR_SAMPLES 64 /* number of latest gaps that the statistics cover */

/* How the timeout is chosen.  A gap is the time between two heartbeats. */
enum ms_detector_kind {
    MS_DETECTOR_FIXED_TIMEOUT = 0,    /* a constant */
    MS_DETECTOR_MEAN_DEVIATIONS,      /* mean of the gaps + k standard deviations */
    MS_DETECTOR_DOUBLE_MOVING_AVERAGE /* double moving average of the gaps, without a
                                         safety margin: Ceretta Nunes, "Self-Tuned
                                         Failure Detector" */
};

/* Heartbeat history of one host. */
struct ms_failure_detector {
    enum ms_detector_kind kind;
    int64_t max_timeout_ms;  /* FIXED_TIMEOUT: the timeout; other kinds: the timeout
                                until enough gaps are known, and its upper bound */
    double deviation_factor; /* MEAN_DEVIATIONS: the factor k */
    int64_t last_heartbeat_at;
    uint32_t gap_count;                    /* heartbeats since ms_detector_init() */
    double gaps[MS_DETECTOR_SAMPLES];      /* ring buffer: latest gaps, in ms */
    double gap_means[MS_DETECTOR_SAMPLES]; /* ring buffer: mean of gaps[] after each heartbeat */
};

/* Starts as if a heartbeat had arrived at NOW. */
void ms_detector_init(struct ms_failure_detector *detector, enum ms_detector_kind kind,
                      int64_t max_timeout_ms, double deviation_factor, int64_t now);

/* Records a heartbeat that arrived at NOW. */
void ms_detector_heartbeat(struct ms_failure_detector *detector, int64_t now);

/* Time in ms without a heartbeat after which the host counts as failed. */
int64_t ms_detector_timeout_ms(const struct ms_failure_detector *detector);

/* Whether the host counts as failed at NOW. */
bool ms_detector_suspects(const struct ms_failure_detector *detector, int64_t now);

#endif
