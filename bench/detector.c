/*
 * detector.c - failure detectors on recorded heartbeat gaps.
 *
 * usage: bench-detector FILE HEARTBEAT_MS
 *
 * FILE has one gap in milliseconds a line, of one pair of hosts, which sent a
 * heartbeat every HEARTBEAT_MS (bench/gaps.py records such files).  For each detector prints wrong
 * suspicions an hour and the mean time from a failure to its detection, which
 * is the limit less the mean time since the last heartbeat, half a gap.
 */
#include <stdio.h>
#include <stdlib.h>

#include "membership/failure_detector.h"

#define GAPS_MAX 200000

static void
run(const char *name, enum ms_detector_kind kind, int64_t fixed_ms, double k, const int64_t *gaps,
    int count)
{
    struct ms_failure_detector detector;
    int64_t now = 0;
    int wrong = 0;
    int judged = 0;
    double limits = 0;
    ms_detector_init(&detector, kind, fixed_ms, k, now);
    for (int i = 0; i < count; i++) {
        now += gaps[i];
        if (i >= 2 * MS_DETECTOR_SAMPLES) {
            wrong += ms_detector_suspects(&detector, now) ? 1 : 0;
            limits += (double)ms_detector_timeout_ms(&detector) - (double)gaps[i] / 2;
            judged++;
        }
        ms_detector_heartbeat(&detector, now);
    }
    double hours = (double)now / 3600000.0;
    printf("detector=%s heartbeats=%d wrong_per_hour=%.1f detection_ms=%.0f\n", name, judged,
           wrong / (hours > 0 ? hours : 1), judged > 0 ? limits / judged : 0);
}

int
main(int argc, char **argv)
{
    static int64_t gaps[GAPS_MAX];
    int count = 0;
    long gap = 0;
    FILE *file = argc == 3 ? fopen(argv[1], "r") : NULL;
    int64_t heartbeat = argc == 3 ? atoi(argv[2]) : 0;
    if (file == NULL) {
        fprintf(stderr, "usage: bench-detector FILE HEARTBEAT_MS\n");
        return 2;
    }
    while (count < GAPS_MAX && fscanf(file, "%ld", &gap) == 1) {
        gaps[count++] = gap;
    }
    fclose(file);
    run("fixed_2_heartbeats", MS_DETECTOR_FIXED_TIMEOUT, 2 * heartbeat, 0, gaps, count);
    run("fixed_4_heartbeats", MS_DETECTOR_FIXED_TIMEOUT, 4 * heartbeat, 0, gaps, count);
    run("mean_4_deviations", MS_DETECTOR_MEAN_DEVIATIONS, 100 * heartbeat, 4, gaps, count);
    run("mean_8_deviations", MS_DETECTOR_MEAN_DEVIATIONS, 100 * heartbeat, 8, gaps, count);
    run("double_average", MS_DETECTOR_DOUBLE_MOVING_AVERAGE, 100 * heartbeat, 0, gaps, count);
    return 0;
}
