/*
 * server_types.c - names of run ends and order results; freeing of server reports.
 */
#include <glib.h>

#include "batch/server_types.h"

/* Names in log lines.  They stay as they are, though some differ from the constants' names. */

const char *
ms_run_end_name(enum ms_run_end how)
{
    static const char *const names[] = {"done", "failed", "stopped", "lapsed", "broken", "alone"};
    return names[how];
}

const char *
ms_order_result_name(enum ms_order_result result)
{
    static const char *const names[] = {"ok",         "no_answer", "fenced",    "old",
                                        "late",       "no_room",   "no_ticket", "unhealthy",
                                        "other_life", "rejected",  "withdrawn"};
    return names[result];
}

void
ms_server_report_free(struct ms_server_report *report)
{
    if (report == NULL) {
        return;
    }
    g_free(report->running);
    g_free(report->ended);
    g_free(report);
}

const char *
ms_server_exclusion_name(enum ms_server_exclusion exclusion)
{
    static const char *const names[MS_SERVER_EXCLUSION_COUNT] = {
        "usable",       "unlisted",     "unfenced",    "unresponsive", "draining",
        "unknown_runs", "lease_frozen", "quarantined", "dc_out"};
    return names[exclusion];
}
