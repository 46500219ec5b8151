/*
 * log_appender.h - threads that append records to the jobs stream of the log.
 *
 * The unfenced ("open") appender writes what any entry host may write: accepted
 * jobs, cancellations, claims to become the leader and records of hosts.  It
 * batches many requests into one call.
 *
 * The fenced appender writes for the leader.  Its calls carry the writer's
 * epoch and a sequence number, and only one call is under way at a time; it is
 * repeated until its outcome is known.  So the log neither reorders nor duplicates
 * appends, even when it carries out a call late.
 */
#ifndef MS_ENTRY_LOG_APPENDER_H
#define MS_ENTRY_LOG_APPENDER_H

#include "entry/message.h"
#include "obs/ring.h"

struct ms_appender;

/*
 * Starts an appender for the log at LOG_ADDRESS ("IP:PORT"); the results go to
 * ANSWERS, which the caller keeps.  Returns NULL on failure.
 */
struct ms_appender *ms_appender_start(const char *log_address, struct ms_ring *answers,
                                      bool fenced);

/*
 * Queues APPEND and takes ownership of it; it comes back in an MS_ENTRY_APPENDED
 * message.  Returns false, and leaves APPEND to the caller, when the queue is full.
 */
bool ms_appender_push(struct ms_appender *appender, struct ms_append *append);

/*
 * Sets the epoch of the fenced appender: requests of any other epoch are not
 * appended and come back with MS_KEYED_LOG_FENCED.
 */
void ms_appender_set_epoch(struct ms_appender *appender, uint64_t epoch);

/* Stops the thread and frees the appender; requests that are still queued are lost. */
void ms_appender_stop(struct ms_appender *appender);

#endif
