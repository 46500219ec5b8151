/*
 * append.h - threads that append to the log.
 *
 * The open appender writes what any host may write (accepted jobs,
 * cancellations, claims), many records a call.  The fenced appender writes for
 * the placing host: its calls carry the epoch and a sequence number, one at a
 * time, each repeated until its fate is known, so that a call that is carried
 * out late can neither overtake nor double another.
 */
#ifndef MS_ENTRY_APPEND_H
#define MS_ENTRY_APPEND_H

#include "entry/message.h"
#include "obs/ring.h"

struct ms_appender;

struct ms_appender *ms_appender_start(const char *log_address, struct ms_ring *answers,
                                      bool fenced);

/* Takes APPEND over; it comes back with an MS_ENTRY_APPENDED message. */
bool ms_appender_push(struct ms_appender *appender, struct ms_append *append);

/* Fenced: requests of epochs other than EPOCH are dropped with MS_LOG_FENCED. */
void ms_appender_epoch(struct ms_appender *appender, uint64_t epoch);

void ms_appender_stop(struct ms_appender *appender);

#endif
