/*
 * detector.h - when a silent host counts as gone.
 *
 * Three ways to choose the time limit; docs/DESIGN.md compares them on
 * recorded heartbeat gaps.  No I/O and no clock; times are milliseconds.
 */
#ifndef MS_DETECTOR_H
#define MS_DETECTOR_H

#include <stdbool.h>
#include <stdint.h>

#define MS_DETECTOR_SAMPLES 64 /* heartbeat gaps kept */

enum ms_detector_kind {
    MS_DETECTOR_FIXED = 0,     /* a constant */
    MS_DETECTOR_DEVIATIONS,    /* mean + k standard deviations */
    MS_DETECTOR_DOUBLE_AVERAGE /* second-order moving average, without margin:
                                  Ceretta Nunes, "Self-Tuned Failure Detector" */
};

struct ms_detector {
    enum ms_detector_kind kind;
    int64_t fixed_ms;  /* FIXED: the limit; otherwise the limit until the
                          samples are full, and never exceeded */
    double deviations; /* DEVIATIONS: k */
    int64_t last_heard;
    uint32_t count;                       /* gaps seen */
    double gaps[MS_DETECTOR_SAMPLES];     /* ring of gaps */
    double averages[MS_DETECTOR_SAMPLES]; /* ring of their means */
};

void ms_detector_init(struct ms_detector *detector, enum ms_detector_kind kind, int64_t fixed_ms,
                      double deviations, int64_t now);

/* Notes a heartbeat. */
void ms_detector_heard(struct ms_detector *detector, int64_t now);

/* Silence after which the host counts as gone. */
int64_t ms_detector_limit(const struct ms_detector *detector);

/* Whether the host counts as gone at NOW. */
bool ms_detector_suspects(const struct ms_detector *detector, int64_t now);

#endif
