/*
 * failure_detector.c - decides when a host without heartbeats counts as failed.
 */
#include <math.h>
#include <string.h>

#include "membership/failure_detector.h"

void
ms_detector_init(struct ms_failure_detector *detector, enum ms_detector_kind kind,
                 int64_t max_timeout_ms, double deviation_factor, int64_t now)
{
    memset(detector, 0, sizeof(*detector));
    detector->kind = kind;
    detector->max_timeout_ms = max_timeout_ms;
    detector->deviation_factor = deviation_factor;
    detector->last_heartbeat_at = now;
}

static double
mean(const double *values)
{
    double sum = 0;
    for (int i = 0; i < MS_DETECTOR_SAMPLES; i++) {
        sum += values[i];
    }
    return sum / MS_DETECTOR_SAMPLES;
}

void
ms_detector_heartbeat(struct ms_failure_detector *detector, int64_t now)
{
    uint32_t slot = detector->gap_count % MS_DETECTOR_SAMPLES;
    detector->gaps[slot] = (double)(now - detector->last_heartbeat_at);
    detector->last_heartbeat_at = now;
    detector->gap_count++;
    detector->gap_means[slot] = mean(detector->gaps);
}

static double
standard_deviation(const double *values, double average)
{
    double sum = 0;
    for (int i = 0; i < MS_DETECTOR_SAMPLES; i++) {
        sum += (values[i] - average) * (values[i] - average);
    }
    return sqrt(sum / MS_DETECTOR_SAMPLES);
}

int64_t
ms_detector_timeout_ms(const struct ms_failure_detector *detector)
{
    /* All of gap_means[] are means of a full gaps[] only after two rounds of the buffers. */
    if (detector->kind == MS_DETECTOR_FIXED_TIMEOUT ||
        detector->gap_count < 2 * MS_DETECTOR_SAMPLES) {
        return detector->max_timeout_ms;
    }
    double average = mean(detector->gaps);
    double timeout_ms = 0;
    switch (detector->kind) {
    case MS_DETECTOR_FIXED_TIMEOUT:
        return detector->max_timeout_ms;
    case MS_DETECTOR_MEAN_DEVIATIONS:
        timeout_ms =
            average + detector->deviation_factor * standard_deviation(detector->gaps, average);
        break;
    case MS_DETECTOR_DOUBLE_MOVING_AVERAGE:
        timeout_ms = 2 * average - mean(detector->gap_means);
        break;
    }
    return timeout_ms < (double)detector->max_timeout_ms ? (int64_t)ceil(timeout_ms)
                                                         : detector->max_timeout_ms;
}

bool
ms_detector_suspects(const struct ms_failure_detector *detector, int64_t now)
{
    return now - detector->last_heartbeat_at > ms_detector_timeout_ms(detector);
}
