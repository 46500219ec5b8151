/*
 * run_speed.c - the rate of progress of a run.
 */
#include "batch/run_speed.h"

#include <glib.h>

#define WINDOW_MIN_MS 900    /* shorter windows depend on when reports arrive */
#define FIRST_PERCENT_MIN 3  /* progress in the first window, which gives the normal rate */
#define WINDOW_PERCENT_MIN 6 /* progress expected in a later one: a third of it is measurable */
#define FALL_FACTOR 3        /* a rate this many times below the normal one has fallen */
#define NORMAL_FACTOR 2      /* a rate at most this many times below is normal again */

int64_t
ms_run_speed_normal(const struct ms_run_speed *speed)
{
    return speed->normal_ms > 0
               ? (int64_t)speed->normal_percent * MS_RATE_SCALE_MS / speed->normal_ms
               : 0;
}

int64_t
ms_run_speed_present(const struct ms_run_speed *speed)
{
    int64_t rate = speed->fell_at != 0 ? speed->recent_rate : ms_run_speed_normal(speed);
    return speed->normal_ms > 0 ? MAX(rate, 1) : 0;
}

static void
start_window(struct ms_run_speed *speed, int64_t now, uint32_t percent)
{
    speed->window_since = now;
    speed->window_percent = percent;
}

/* The run has gained GAINED percent in a window of ELAPSED_MS. */
static void
end_window(struct ms_run_speed *speed, int64_t elapsed_ms, uint32_t gained)
{
    int64_t normal = ms_run_speed_normal(speed);
    int64_t rate = (int64_t)gained * MS_RATE_SCALE_MS / elapsed_ms;
    speed->recent_rate = rate;
    if (rate * FALL_FACTOR <= normal) {
        speed->fell_at = speed->fell_at != 0 ? speed->fell_at : speed->window_since;
        return;
    }
    if (rate * NORMAL_FACTOR < normal) {
        return; /* neither: such a window changes nothing */
    }
    if (rate >= normal * NORMAL_FACTOR) {
        /* The server was slow before: what was taken for the normal rate was not. */
        speed->normal_ms = 0;
        speed->normal_percent = 0;
    }
    speed->fell_at = 0;
    speed->normal_ms += elapsed_ms;
    speed->normal_percent += gained;
}

void
ms_run_speed_note(struct ms_run_speed *speed, int64_t now, uint32_t percent)
{
    if (percent == 0) {
        return; /* it has not begun: it restores a checkpoint, or its gang is incomplete */
    }
    if (speed->measured_since == 0 || percent < speed->window_percent) {
        *speed = (struct ms_run_speed){.measured_since = now};
        start_window(speed, now, percent);
        return;
    }
    int64_t elapsed_ms = now - speed->window_since;
    uint32_t gained = percent - speed->window_percent;
    int64_t expected = elapsed_ms * ms_run_speed_normal(speed) / MS_RATE_SCALE_MS;
    uint32_t needed = speed->normal_ms > 0 ? WINDOW_PERCENT_MIN : FIRST_PERCENT_MIN;
    if (elapsed_ms < WINDOW_MIN_MS || MAX(expected, (int64_t)gained) < needed) {
        return;
    }
    end_window(speed, elapsed_ms, gained);
    start_window(speed, now, percent);
}
