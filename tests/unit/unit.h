/*
 * unit.h - test cases of the unit tests, one function for each file.
 */
#ifndef MS_TEST_UNIT_UNIT_H
#define MS_TEST_UNIT_UNIT_H

#include <check.h>

/* health.c: quarantine, probes and reservations of the decision core. */
TCase *core_health_cases(void);

/* http_loop.c: timeouts of HTTP exchanges when the loop's thread is delayed. */
TCase *http_loop_cases(void);

/* compress.c: compression of records in the log. */
TCase *compress_cases(void);

#endif
