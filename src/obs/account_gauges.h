/*
 * account_gauges.h - gauges of client accounts, each with the label "account".
 */
#ifndef MS_ACCOUNT_GAUGES_H
#define MS_ACCOUNT_GAUGES_H

#include <glib.h>
#include <stdint.h>

/* Accounts shown: each adds MS_ACCOUNT_GAUGE_COUNT lines. */
#define MS_ACCOUNT_GAUGES_ROWS_MAX 64

/* Their names and help texts are in account_gauges.c. */
enum ms_account_gauge {
    MS_ACCOUNT_USED_CPU_MILLIS = 0,
    MS_ACCOUNT_USED_MEMORY_MB,
    MS_ACCOUNT_USED_ACCELS,
    MS_ACCOUNT_CAP_CPU_MILLIS, /* caps: 0 if there is no limit */
    MS_ACCOUNT_CAP_MEMORY_MB,
    MS_ACCOUNT_CAP_ACCELS,
    MS_ACCOUNT_TASKS_WAITING,
    MS_ACCOUNT_UNITS_DELAYED_BY_CAP,
    MS_ACCOUNT_GAUGE_COUNT
};

struct ms_account_gauges {
    const char *account;
    int64_t values[MS_ACCOUNT_GAUGE_COUNT];
};

/*
 * Formats the gauges of the first MS_ACCOUNT_GAUGES_ROWS_MAX of COUNT accounts in the Prometheus
 * text format; the result is freed with g_free().
 */
char *ms_account_gauges_format(const struct ms_account_gauges *accounts, size_t count);

#endif
