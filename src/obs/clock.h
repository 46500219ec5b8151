/*
 * clock.h - the clock of a host.
 */
#ifndef MS_CLOCK_H
#define MS_CLOCK_H

#include <glib.h>

/* Milliseconds of a clock that does not run backwards. */
static inline int64_t
ms_clock_ms(void)
{
    return g_get_monotonic_time() / 1000;
}

#endif
