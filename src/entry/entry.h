/*
 * entry.h - an entry host of stored jobs: its decision thread.
 */
#ifndef MS_ENTRY_ENTRY_H
#define MS_ENTRY_ENTRY_H

#include "entry/settings.h"
#include "obs/counters.h"

struct ms_entry;

/* Starts all threads.  NULL, with ERROR, when that fails. */
struct ms_entry *ms_entry_start(const struct ms_entry_settings *settings,
                                struct ms_counters *counters, char *error, size_t size);

/* Begins a graceful shutdown; see ms_entry_finished(). */
void ms_entry_shutdown(struct ms_entry *entry);

/* Whether the shutdown is over. */
bool ms_entry_finished(const struct ms_entry *entry);

/* Stops all threads and frees ENTRY. */
void ms_entry_stop(struct ms_entry *entry);

#endif
