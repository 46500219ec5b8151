/*
 * stream_reader.h - a thread that reads one stream of the log continuously.
 *
 * It first reads a snapshot (the newest record of each key) and then the records
 * after it, by long polling.  It starts over with a new snapshot when records that it
 * has not read have expired.
 */
#ifndef MS_ENTRY_STREAM_READER_H
#define MS_ENTRY_STREAM_READER_H

#include <stdbool.h>

#include "obs/ring.h"
#include "ports/keyed_log.h"

struct ms_stream_reader;

/*
 * Starts the thread, switched off; it reads only while switched on.  The results go
 * to RING as MS_ENTRY_SNAPSHOT, MS_ENTRY_RECORDS and MS_ENTRY_READ_FAILED messages.  A
 * read waits up to WAIT_MS for records; PAUSE_MS is the pause after a read that
 * reached the end of the stream.  Returns NULL on failure.
 */
struct ms_stream_reader *ms_stream_reader_start(const char *log_address, enum ms_stream stream,
                                                struct ms_ring *ring, int64_t wait_ms,
                                                int64_t pause_ms);

/* ON: starts with a new snapshot.  Otherwise stops after the current read. */
void ms_stream_reader_enable(struct ms_stream_reader *reader, bool on);

/* Changes the pause between two reads; a pause that has begun ends at once. */
void ms_stream_reader_set_pause(struct ms_stream_reader *reader, int64_t pause_ms);

/*
 * Cuts the current pause between two reads short, so that the next read starts at
 * once.  Returns false when the thread is not pausing: then a read is under way, which
 * delivers new records as they arrive, or reading is off or backs off after a failure.
 */
bool ms_stream_reader_read_now(struct ms_stream_reader *reader);

/*
 * The same, but if a read is under way, the next one follows it without a pause and does not
 * wait for records.  So a read that has begun after this call ends soon.
 */
void ms_stream_reader_read_again(struct ms_stream_reader *reader);

void ms_stream_reader_stop(struct ms_stream_reader *reader);

#endif
