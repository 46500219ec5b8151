/*
 * entry.h - an entry host: accepts calls about stored jobs and, while it is the
 * leader, places the jobs on backend servers.
 */
#ifndef MS_ENTRY_ENTRY_H
#define MS_ENTRY_ENTRY_H

#include "entry/settings.h"
#include "obs/counters.h"

struct ms_entry;

/*
 * Starts all threads.  On failure returns NULL and sets ERROR (SIZE bytes).  SETTINGS and
 * COUNTERS must outlive the result, which is freed with ms_entry_stop().
 */
struct ms_entry *ms_entry_start(const struct ms_entry_settings *settings,
                                struct ms_counters *counters, char *error, size_t size);

/* Begins a graceful shutdown, and returns before it is over: poll ms_entry_finished(). */
void ms_entry_shutdown(struct ms_entry *entry);

/* Whether the graceful shutdown is over. */
bool ms_entry_finished(const struct ms_entry *entry);

/* Stops all threads and frees ENTRY. */
void ms_entry_stop(struct ms_entry *entry);

#endif
