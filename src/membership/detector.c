/*
 * detector.c - when a silent host counts as gone.
 */
#include <math.h>
#include <string.h>

#include "membership/detector.h"

void
ms_detector_init(struct ms_detector *detector, enum ms_detector_kind kind, int64_t fixed_ms,
                 double deviations, int64_t now)
{
    memset(detector, 0, sizeof(*detector));
    detector->kind = kind;
    detector->fixed_ms = fixed_ms;
    detector->deviations = deviations;
    detector->last_heard = now;
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
ms_detector_heard(struct ms_detector *detector, int64_t now)
{
    uint32_t slot = detector->count % MS_DETECTOR_SAMPLES;
    detector->gaps[slot] = (double)(now - detector->last_heard);
    detector->last_heard = now;
    detector->count++;
    detector->averages[slot] = mean(detector->gaps);
}

static double
deviation(const double *values, double average)
{
    double sum = 0;
    for (int i = 0; i < MS_DETECTOR_SAMPLES; i++) {
        sum += (values[i] - average) * (values[i] - average);
    }
    return sqrt(sum / MS_DETECTOR_SAMPLES);
}

int64_t
ms_detector_limit(const struct ms_detector *detector)
{
    if (detector->kind == MS_DETECTOR_FIXED || detector->count < 2 * MS_DETECTOR_SAMPLES) {
        return detector->fixed_ms;
    }
    double average = mean(detector->gaps);
    double limit = 0;
    switch (detector->kind) {
    case MS_DETECTOR_FIXED:
        return detector->fixed_ms;
    case MS_DETECTOR_DEVIATIONS:
        limit = average + detector->deviations * deviation(detector->gaps, average);
        break;
    case MS_DETECTOR_DOUBLE_AVERAGE:
        limit = 2 * average - mean(detector->averages);
        break;
    }
    return limit < (double)detector->fixed_ms ? (int64_t)ceil(limit) : detector->fixed_ms;
}

bool
ms_detector_suspects(const struct ms_detector *detector, int64_t now)
{
    return now - detector->last_heard > ms_detector_limit(detector);
}
