/*
 * unit.h - test cases of the unit tests, one function for each file.
 */
#ifndef MS_TEST_UNIT_UNIT_H
#define MS_TEST_UNIT_UNIT_H

#include <check.h>

/* health.c: quarantine, probes and reservations of the decision core. */
TCase *core_health_cases(void);

#endif
