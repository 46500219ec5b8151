/*
 * clock.h - the clock of a host.
 */
#ifndef MS_CLOCK_H
#define MS_CLOCK_H

#include <time.h>

#include <glib.h>

/* Milliseconds of a clock that does not run backwards. */
static inline int64_t
ms_clock_ms(void)
{
    return g_get_monotonic_time() / 1000;
}

/* Milliseconds of a clock that does not run backwards and counts suspension. */
static inline int64_t
ms_clock_boot_ms(void)
{
    struct timespec now;
    clock_gettime(CLOCK_BOOTTIME, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/* Unix milliseconds. */
static inline int64_t
ms_clock_unix_ms(void)
{
    return g_get_real_time() / 1000;
}

#endif
