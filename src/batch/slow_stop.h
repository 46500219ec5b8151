/*
 * slow_stop.h - whether it pays to stop a run on a slow server, so that it runs elsewhere.
 */
#ifndef MS_BATCH_SLOW_STOP_H
#define MS_BATCH_SLOW_STOP_H

#include <stdbool.h>
#include <stdint.h>

#define MS_SLOWDOWN_NONE 100 /* a slowdown is the normal rate in percent of the present one */

/* A run on a slow server: of one task, or of a whole gang. */
struct ms_slow_run {
    int64_t remaining_ms; /* run time that it still needs, at the normal rate */
    int64_t redo_ms;      /* run time at the normal rate since its last checkpoint */
    int64_t spent_ms;     /* run time spent on that */
    int64_t slowdown;     /* at least MS_SLOWDOWN_NONE */
    int64_t slow_for_ms;  /* for how long its server has been slow */
    bool has_room;        /* there is free room for it on servers that are not slow */
    int64_t wait_ms;      /* without room: expected wait for it */
    int64_t due_in_ms;    /* until its job misses its target; INT64_MAX: it has no urgent target */
    int64_t cpu_millis;   /* that it uses, accelerators counted as cores */
    uint32_t earlier_stops; /* how often it has been stopped as its server was slow */
};

struct ms_stop_weight {
    int64_t gain_ms;     /* by so much sooner it is expected to end elsewhere */
    int64_t lost_core_s; /* core-seconds of work that the stop throws away */
    bool pays;
};

struct ms_stop_weight ms_slow_run_weigh(const struct ms_slow_run *run);

/* For how much longer a server is expected to be slow that has been slow for SLOW_FOR_MS. */
int64_t ms_slow_remaining_ms(int64_t slow_for_ms);

#endif
