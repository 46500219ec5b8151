/*
 * platform_client.h - client of the platform's append-only log and host list.
 *
 * A reader thread follows the log and the host list and pushes messages into
 * the node's ring; a writer thread appends records in batches.  The interface
 * of the platform, as used here:
 *
 *     GET  /log?from=N&wait_ms=W&max=M
 *          -> {"first": N, "records": ["base64", ...], "begin": B, "end": E}
 *     POST /log {"records": ["base64", ...]} -> {"first": N}
 *     GET  /hosts -> {"hosts": [{name, dc, region, address, role, rack, slots,
 *          accels, state}, ...]}, with an ETag; 304 when If-None-Match has it
 *
 * "first" is the offset of the first record returned or appended, "begin" the
 * offset of the oldest record that the log still has, "end" the offset after
 * the newest one.
 */
#ifndef MS_PLATFORM_CLIENT_H
#define MS_PLATFORM_CLIENT_H

#include "config/settings.h"
#include "obs/counters.h"
#include "obs/ring.h"

struct ms_platform_client;

/*
 * Starts both threads.  Messages go to NODE_RING.  SETTINGS, COUNTERS and the
 * ring must outlive the client.  Returns NULL when a thread cannot be started.
 */
struct ms_platform_client *ms_platform_start(const struct ms_settings *settings,
                                             struct ms_counters *counters,
                                             struct ms_ring *node_ring);

/* Stops both threads and frees PLATFORM; records not yet appended are dropped.  NULL is allowed. */
void ms_platform_stop(struct ms_platform_client *platform);

/*
 * Queues one packed record for appending; takes ownership of BYTES.  Returns false, and
 * frees BYTES, when the queue is full.  A failed append is retried for
 * RETRY_TIMEOUT_MS, after which the record is dropped.  A retry after an append
 * whose answer was lost puts the record into the log twice.
 */
bool ms_platform_append(struct ms_platform_client *platform, GByteArray *bytes,
                        int64_t retry_timeout_ms);

/* Makes the reader continue at OFFSET, ahead of or behind where it is. */
void ms_platform_read_from(struct ms_platform_client *platform, uint64_t offset);

#endif
