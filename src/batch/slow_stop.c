/*
 * slow_stop.c - weighs what the stop of a run on a slow server gains against what it throws away.
 */
#include "batch/slow_stop.h"

#include <glib.h>

/*
 * Most servers are slow for 5 to 12 s.  One that is slow for clearly longer is expected to stay
 * slow for as long again.
 */
#define SLOW_TYPICAL_MS 9000       /* expected duration of a slow phase */
#define SLOW_REMAINING_MIN_MS 2000 /* expected remainder of one that lasts longer than that */
#define SLOW_LASTING_MS 15000      /* from here on, expected to last for as long again */
#define RESTART_MS 1000            /* a stop, the report of it, a placement and another start */
#define GAIN_MIN_MS 1000           /* a smaller gain is within the error of the rates */
#define REAL_PROGRESS_MS 500    /* a run with more to redo than this is not stopped without room */
#define PRICE_PERCENT 100       /* core-seconds to be gained for 100 thrown away */
#define PRICE_URGENT_PERCENT 25 /* the same where the job would miss its target otherwise */
#define STOPS_COUNTED_MAX 8u    /* bounds the price of further stops */
#define CPU_MILLIS_MS_PER_CORE_S 1000000

int64_t
ms_slow_remaining_ms(int64_t slow_for_ms)
{
    if (slow_for_ms >= SLOW_LASTING_MS) {
        return slow_for_ms;
    }
    return MAX(SLOW_TYPICAL_MS - slow_for_ms, SLOW_REMAINING_MIN_MS);
}

/* Time until RUN ends on its server, which is expected to be as fast as before after a while. */
static int64_t
time_here_ms(const struct ms_slow_run *run)
{
    int64_t slow_ms = ms_slow_remaining_ms(run->slow_for_ms);
    int64_t done_ms = slow_ms * MS_SLOWDOWN_NONE / run->slowdown;
    if (done_ms >= run->remaining_ms) {
        return run->remaining_ms * run->slowdown / MS_SLOWDOWN_NONE;
    }
    return slow_ms + run->remaining_ms - done_ms;
}

struct ms_stop_weight
ms_slow_run_weigh(const struct ms_slow_run *run)
{
    struct ms_stop_weight weight;
    int64_t wait_ms = run->has_room ? 0 : run->wait_ms;
    int64_t here_ms = time_here_ms(run);
    int64_t elsewhere_ms = wait_ms + RESTART_MS + run->redo_ms + run->remaining_ms;
    /* The time spent on a server that is slow for long is lost either way. */
    bool lasting = run->slow_for_ms >= SLOW_LASTING_MS;
    int64_t lost_ms = lasting ? run->redo_ms : MAX(run->spent_ms, run->redo_ms);
    bool urgent = here_ms > run->due_in_ms && elsewhere_ms < here_ms;
    int64_t price = urgent ? PRICE_URGENT_PERCENT : PRICE_PERCENT;
    price *= 1 + MIN(run->earlier_stops, STOPS_COUNTED_MAX);
    weight.gain_ms = here_ms - elsewhere_ms;
    weight.lost_core_s =
        MAX(run->spent_ms, run->redo_ms) * run->cpu_millis / CPU_MILLIS_MS_PER_CORE_S;
    weight.pays = weight.gain_ms >= GAIN_MIN_MS && weight.gain_ms * 100 >= lost_ms * price &&
                  (run->has_room || run->redo_ms <= REAL_PROGRESS_MS);
    return weight;
}
