/*
 * clock.h - clocks, in milliseconds.
 */
#ifndef MS_CLOCK_H
#define MS_CLOCK_H

#include <time.h>

#include <glib.h>

/* Monotonic clock; it stops while the machine is suspended. */
static inline int64_t
ms_clock_monotonic_ms(void)
{
    return g_get_monotonic_time() / 1000;
}

/* Monotonic clock that also counts the time while the machine is suspended. */
static inline int64_t
ms_clock_boot_ms(void)
{
    struct timespec now;
    clock_gettime(CLOCK_BOOTTIME, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/* Wall clock: milliseconds since 1970-01-01 UTC. */
static inline int64_t
ms_clock_unix_ms(void)
{
    return g_get_real_time() / 1000;
}

#endif
