/*
 * failure_detectors.c - evaluates failure detectors on recorded gaps between heartbeats.
 *
 * usage: bench-detector FILE HEARTBEAT_MS
 *
 * FILE holds one gap in milliseconds a line, recorded between two hosts of which
 * one sent a heartbeat every HEARTBEAT_MS (bench/heartbeat_gaps.py records such files).
 * Prints for each detector the false suspicions an hour and the mean time from a
 * failure to its detection.  A failure comes half a gap after the last heartbeat
 * on average, so this time is the timeout of the detector less half a gap.
 */
#include <stdio.h>
#include <stdlib.h>

#include "membership/failure_detector.h"

#define GAPS_MAX 200000

/*
 * Feeds the gaps to a detector and prints its line.  The first 2 * MS_DETECTOR_SAMPLES gaps
 * only fill its history: suspicions and timeouts count after them.
 */
static void
evaluate_detector(const char *name, enum ms_detector_kind kind, int64_t max_timeout_ms,
                  double deviation_factor, const int64_t *gaps_ms, int gap_count)
{
    struct ms_failure_detector detector;
    int64_t now = 0;
    int false_suspicion_count = 0;
    int checked_count = 0;
    double detection_ms_sum = 0;
    ms_detector_init(&detector, kind, max_timeout_ms, deviation_factor, now);
    for (int i = 0; i < gap_count; i++) {
        now += gaps_ms[i];
        if (i >= 2 * MS_DETECTOR_SAMPLES) {
            false_suspicion_count += ms_detector_suspects(&detector, now) ? 1 : 0;
            detection_ms_sum += (double)ms_detector_timeout_ms(&detector) - (double)gaps_ms[i] / 2;
            checked_count++;
        }
        ms_detector_heartbeat(&detector, now);
    }
    double duration_hours = (double)now / 3600000.0;
    printf("detector=%s heartbeats=%d wrong_per_hour=%.1f detection_ms=%.0f\n", name, checked_count,
           false_suspicion_count / (duration_hours > 0 ? duration_hours : 1),
           checked_count > 0 ? detection_ms_sum / checked_count : 0);
}

int
main(int argc, char **argv)
{
    static int64_t gaps_ms[GAPS_MAX];
    int gap_count = 0;
    long gap_ms = 0;
    FILE *file = argc == 3 ? fopen(argv[1], "r") : NULL;
    int64_t heartbeat_ms = argc == 3 ? atoi(argv[2]) : 0;
    if (file == NULL) {
        fprintf(stderr, "usage: bench-detector FILE HEARTBEAT_MS\n");
        return 2;
    }
    while (gap_count < GAPS_MAX && fscanf(file, "%ld", &gap_ms) == 1) {
        gaps_ms[gap_count++] = gap_ms;
    }
    fclose(file);
    evaluate_detector("fixed_2_heartbeats", MS_DETECTOR_FIXED_TIMEOUT, 2 * heartbeat_ms, 0, gaps_ms,
                      gap_count);
    evaluate_detector("fixed_4_heartbeats", MS_DETECTOR_FIXED_TIMEOUT, 4 * heartbeat_ms, 0, gaps_ms,
                      gap_count);
    evaluate_detector("mean_4_deviations", MS_DETECTOR_MEAN_DEVIATIONS, 100 * heartbeat_ms, 4,
                      gaps_ms, gap_count);
    evaluate_detector("mean_8_deviations", MS_DETECTOR_MEAN_DEVIATIONS, 100 * heartbeat_ms, 8,
                      gaps_ms, gap_count);
    evaluate_detector("double_average", MS_DETECTOR_DOUBLE_MOVING_AVERAGE, 100 * heartbeat_ms, 0,
                      gaps_ms, gap_count);
    return 0;
}
