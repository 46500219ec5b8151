/*
 * run_speed.h - the rate of progress of a run, and how it compares with its own earlier rate.
 *
 * Reports give whole percents.  A run is measured over windows long enough to tell a third of
 * its normal rate from the normal rate.  Rates are in percent per MS_RATE_SCALE_MS.
 */
#ifndef MS_BATCH_RUN_SPEED_H
#define MS_BATCH_RUN_SPEED_H

#include <stdint.h>

#define MS_RATE_SCALE_MS 1000000

/* Rate of one run on one server; all zero for a run without a report of progress. */
struct ms_run_speed {
    int64_t measured_since;  /* first report of progress, 0: none yet */
    int64_t window_since;    /* start of the current window */
    uint32_t window_percent; /* progress at that time */
    int64_t normal_ms;       /* time of the windows at the normal rate */
    uint32_t normal_percent; /* progress in them */
    int64_t recent_rate;     /* of the last window */
    int64_t fell_at;         /* since when its rate is a third of the normal one, 0: it is not */
    int64_t weighed_at;      /* when a stop was last weighed */
};

/* A report received at NOW says that the run is at PERCENT. */
void ms_run_speed_note(struct ms_run_speed *speed, int64_t now, uint32_t percent);

/* The normal rate of the run on its server, without the time since it fell; 0: not known. */
int64_t ms_run_speed_normal(const struct ms_run_speed *speed);

/* Its present rate: at least 1, or 0 if it is not known. */
int64_t ms_run_speed_present(const struct ms_run_speed *speed);

#endif
