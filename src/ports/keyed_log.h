/*
 * keyed_log.h - port: client of the platform's log of keyed records.
 *
 * The log has several streams.  A stream keeps the newest record of each key
 * permanently, and all records for a limited time.  Calls block; a client must
 * only be used by one thread.  The adapter in platform/ defines these functions.
 */
#ifndef MS_PORT_KEYED_LOG_H
#define MS_PORT_KEYED_LOG_H

#include <glib.h>
#include <stdint.h>

#include "batch/engine.h"

enum ms_stream {
    MS_STREAM_JOBS = 0, /* written by the entry hosts: stored jobs and the leader */
    MS_STREAM_RULES,    /* the operators' configuration */
    MS_STREAM_SERVERS,  /* the directory of backend servers */
    MS_STREAM_COUNT
};

/* Result of a call; "append" or "read" marks results that only that call has. */
enum ms_keyed_log_result {
    MS_KEYED_LOG_OK = 0,
    MS_KEYED_LOG_REFUSED,        /* the call failed and had no effect */
    MS_KEYED_LOG_NO_ANSWER,      /* the call may have had its effect, or may still have it later */
    MS_KEYED_LOG_FENCED,         /* append: a higher epoch of the writer is in force */
    MS_KEYED_LOG_WRONG_SEQUENCE, /* append: the sequence number is not the next one */
    MS_KEYED_LOG_END_MISMATCH,   /* append: the stream does not end at the expected offset */
    MS_KEYED_LOG_EXPIRED,        /* read: the records have expired */
    MS_KEYED_LOG_MALFORMED,      /* the answer is malformed */
};

/* Name of RESULT as it is logged. */
const char *ms_keyed_log_result_name(enum ms_keyed_log_result result);

struct ms_keyed_log_record {
    char key[MS_KEYED_LOG_KEY_MAX]; /* "" when the key is longer than any key in use */
    GBytes *value;                  /* NULL: the key was removed */
};

/* Records that a call returned. */
struct ms_keyed_log_batch {
    GArray *records;      /* struct ms_keyed_log_record */
    uint64_t next_offset; /* offset of the record to read next */
    bool at_end;          /* read: the stream had no more records at the time of the answer */
    bool complete;        /* snapshot: no item was left out as unreadable */
};

/*
 * A writer, as the log knows it.  The log refuses appends with an epoch lower than
 * the highest one of that name, and appends whose sequence number is not the next
 * one in its epoch.
 */
struct ms_keyed_log_writer {
    const char *name;
    uint64_t epoch;
    uint64_t sequence;
};

/* ms_keyed_log_append(): append at whatever offset the stream ends. */
#define MS_KEYED_LOG_ANY_OFFSET UINT64_MAX

struct ms_keyed_log_client;

/* Creates a client of the log at ADDRESS ("IP:PORT"); NULL when libcurl fails. */
struct ms_keyed_log_client *ms_keyed_log_client_new(const char *address);
void ms_keyed_log_client_free(struct ms_keyed_log_client *client);

struct ms_keyed_log_batch *ms_keyed_log_batch_new(void);
void ms_keyed_log_batch_free(struct ms_keyed_log_batch *batch);

/*
 * Reads the newest record of each key.  The next offset is where the stream
 * ended when the first page was read, so reading on from there also returns the
 * changes made while the other pages were read.
 */
enum ms_keyed_log_result ms_keyed_log_read_snapshot(struct ms_keyed_log_client *client,
                                                    enum ms_stream stream,
                                                    struct ms_keyed_log_batch *batch);

/*
 * Reads records from offset FROM on.  When there are none, the log waits up to
 * WAIT_MS for a record before it answers; an answer without records thus means
 * that none was appended for that long.
 */
enum ms_keyed_log_result ms_keyed_log_read(struct ms_keyed_log_client *client,
                                           enum ms_stream stream, uint64_t from, int64_t wait_ms,
                                           struct ms_keyed_log_batch *batch);

/*
 * Appends RECORDS (struct ms_store_record), all of them or none.
 *
 * WRITER may be NULL: then the append is not fenced.  With a writer and no
 * records only the writer's epoch is set.  Unless EXPECTED_END is
 * MS_KEYED_LOG_ANY_OFFSET, nothing is appended when the stream ends at another offset.
 *
 * *END_OFFSET becomes the offset at which the stream then ends, also for
 * MS_KEYED_LOG_END_MISMATCH; for MS_KEYED_LOG_WRONG_SEQUENCE it is the sequence number that the log
 * expects.
 */
enum ms_keyed_log_result ms_keyed_log_append(struct ms_keyed_log_client *client,
                                             enum ms_stream stream, const GPtrArray *records,
                                             const struct ms_keyed_log_writer *writer,
                                             uint64_t expected_end, int64_t timeout_ms,
                                             uint64_t *end_offset);

/*
 * How the last call ended, for the log: "status=HTTP_STATUS", or "error=CODE sent=0_OR_1" with
 * libcurl's code when there was no answer.  Valid until the next call.
 */
const char *ms_keyed_log_last_outcome(const struct ms_keyed_log_client *client);

#endif
