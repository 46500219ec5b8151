/*
 * stream_reader.c - a thread that reads one stream of the log continuously.
 */
#include <pthread.h>
#include <stdatomic.h>

#include "entry/stream_reader.h"
#include "entry/message.h"
#include "obs/clock.h"

#define RETRY_MIN_MS 100 /* pause after a failed read; doubles up to RETRY_MAX_MS */
#define RETRY_MAX_MS 400
#define OFF_POLL_MS 500 /* longest sleep while switched off */

struct ms_stream_reader {
    struct ms_keyed_log_client *client;
    enum ms_stream stream;
    struct ms_ring *ring;
    int64_t wait_ms;          /* how long a read waits for records */
    _Atomic int64_t pause_ms; /* after a read that reached the end of the stream */
    pthread_t thread;
    GMutex lock; /* protects `on`, `restart`, `pausing` and `read_now` */
    GCond wake;  /* ends a sleep or pause of the thread */
    bool on;
    bool restart;  /* switched on again: start over with a snapshot */
    bool pausing;  /* in the pause between two reads */
    bool read_now; /* end the pause, or leave out the next one */
    atomic_bool stopping;
};

/* Sleeps for MS, or until `wake` is signalled. */
static void
sleep_ms(struct ms_stream_reader *reader, int64_t ms)
{
    g_mutex_lock(&reader->lock);
    if (!atomic_load(&reader->stopping)) {
        g_cond_wait_until(&reader->wake, &reader->lock, g_get_monotonic_time() + ms * 1000);
    }
    g_mutex_unlock(&reader->lock);
}

/*
 * Pauses between two reads.  Returns true when ms_stream_reader_read_now() ended the pause;
 * a restart, a new length of the pause and a stop end it as well.
 */
static bool
pause_between_reads(struct ms_stream_reader *reader)
{
    int64_t pause_ms = atomic_load(&reader->pause_ms);
    int64_t until = g_get_monotonic_time() + pause_ms * 1000;
    g_mutex_lock(&reader->lock);
    reader->pausing = true;
    while (pause_ms > 0 && !reader->read_now && !reader->restart &&
           pause_ms == atomic_load(&reader->pause_ms) && !atomic_load(&reader->stopping)) {
        if (!g_cond_wait_until(&reader->wake, &reader->lock, until)) {
            break;
        }
    }
    bool read_now = reader->read_now;
    reader->read_now = false;
    reader->pausing = false;
    g_mutex_unlock(&reader->lock);
    return read_now;
}

/* Sends MESSAGE to the decision thread; waits while its queue is full. */
static void
push(struct ms_stream_reader *reader, struct ms_entry_message *message)
{
    message->stream = reader->stream;
    while (!ms_ring_push(reader->ring, message) && !atomic_load(&reader->stopping)) {
        sleep_ms(reader, 1);
    }
}

static void
push_failed(struct ms_stream_reader *reader, enum ms_keyed_log_result result)
{
    struct ms_entry_message *message = ms_entry_message_new(MS_ENTRY_READ_FAILED);
    message->log_result = result;
    push(reader, message);
}

/* Reads the newest record of each key; *NEXT_OFFSET is the offset to read on from. */
static bool
read_snapshot(struct ms_stream_reader *reader, uint64_t *next_offset)
{
    struct ms_keyed_log_batch *batch = ms_keyed_log_batch_new();
    int64_t sent_at = ms_clock_boot_ms();
    enum ms_keyed_log_result result =
        ms_keyed_log_read_snapshot(reader->client, reader->stream, batch);
    if (result != MS_KEYED_LOG_OK) {
        ms_keyed_log_batch_free(batch);
        push_failed(reader, result);
        return false;
    }
    *next_offset = batch->next_offset;
    struct ms_entry_message *message = ms_entry_message_new(MS_ENTRY_SNAPSHOT);
    message->batch = batch;
    message->current_at = sent_at;
    push(reader, message);
    return true;
}

/*
 * Reads records from the offset *NEXT_OFFSET on and advances it; *AT_END is set when the read
 * has reached the end of the stream.
 */
static enum ms_keyed_log_result
read_records(struct ms_stream_reader *reader, uint64_t *next_offset, int64_t wait_ms, bool *at_end)
{
    struct ms_keyed_log_batch *batch = ms_keyed_log_batch_new();
    int64_t sent_at = ms_clock_boot_ms();
    enum ms_keyed_log_result result =
        ms_keyed_log_read(reader->client, reader->stream, *next_offset, wait_ms, batch);
    if (result != MS_KEYED_LOG_OK) {
        ms_keyed_log_batch_free(batch);
        push_failed(reader, result);
        return result;
    }
    *next_offset = batch->next_offset;
    struct ms_entry_message *message = ms_entry_message_new(MS_ENTRY_RECORDS);
    /* An answer without records means that the stream had none until the wait was over. */
    if (batch->at_end) {
        message->current_at = batch->records->len == 0 ? sent_at + wait_ms : sent_at;
    }
    *at_end = batch->at_end;
    message->batch = batch;
    push(reader, message);
    return result;
}

/* Returns and clears the request to start over; *ON tells whether reading is on. */
static bool
take_restart(struct ms_stream_reader *reader, bool *on)
{
    g_mutex_lock(&reader->lock);
    bool restart = reader->restart;
    reader->restart = false;
    *on = reader->on;
    g_mutex_unlock(&reader->lock);
    return restart;
}

static void *
reader_thread(void *opaque)
{
    struct ms_stream_reader *reader = opaque;
    uint64_t next_offset = 0;
    bool has_position = false; /* `next_offset` is valid */
    int64_t retry_ms = RETRY_MIN_MS;
    int64_t wait_ms = reader->wait_ms;
    while (!atomic_load(&reader->stopping)) {
        bool on = false;
        if (take_restart(reader, &on)) {
            has_position = false;
        }
        if (!on) {
            sleep_ms(reader, OFF_POLL_MS);
            continue;
        }
        enum ms_keyed_log_result result = MS_KEYED_LOG_OK;
        bool at_end = true;
        if (!has_position) {
            has_position = read_snapshot(reader, &next_offset);
            result = has_position ? MS_KEYED_LOG_OK : MS_KEYED_LOG_REFUSED;
        }
        else {
            result = read_records(reader, &next_offset, wait_ms, &at_end);
        }
        if (result == MS_KEYED_LOG_OK) {
            retry_ms = RETRY_MIN_MS;
            bool read_now = at_end && pause_between_reads(reader);
            wait_ms = read_now ? 0 : reader->wait_ms;
            continue;
        }
        if (result == MS_KEYED_LOG_EXPIRED || result == MS_KEYED_LOG_MALFORMED) {
            has_position = false;
            continue;
        }
        wait_ms = 0; /* the first read after a failure is answered at once */
        sleep_ms(reader, retry_ms);
        retry_ms = MIN(retry_ms * 2, RETRY_MAX_MS);
    }
    return NULL;
}

struct ms_stream_reader *
ms_stream_reader_start(const char *log_address, enum ms_stream stream, struct ms_ring *ring,
                       int64_t wait_ms, int64_t pause_ms)
{
    struct ms_stream_reader *reader = g_new0(struct ms_stream_reader, 1);
    reader->client = ms_keyed_log_client_new(log_address);
    reader->stream = stream;
    reader->ring = ring;
    reader->wait_ms = wait_ms;
    reader->pause_ms = pause_ms;
    g_mutex_init(&reader->lock);
    g_cond_init(&reader->wake);
    if (reader->client == NULL ||
        pthread_create(&reader->thread, NULL, reader_thread, reader) != 0) {
        ms_keyed_log_client_free(reader->client);
        g_free(reader);
        return NULL;
    }
    return reader;
}

void
ms_stream_reader_enable(struct ms_stream_reader *reader, bool on)
{
    g_mutex_lock(&reader->lock);
    reader->restart |= on;
    reader->on = on;
    g_cond_signal(&reader->wake);
    g_mutex_unlock(&reader->lock);
}

void
ms_stream_reader_set_pause(struct ms_stream_reader *reader, int64_t pause_ms)
{
    atomic_store(&reader->pause_ms, pause_ms);
    g_mutex_lock(&reader->lock);
    g_cond_signal(&reader->wake);
    g_mutex_unlock(&reader->lock);
}

bool
ms_stream_reader_read_now(struct ms_stream_reader *reader)
{
    g_mutex_lock(&reader->lock);
    bool pausing = reader->pausing;
    reader->read_now |= pausing;
    if (pausing) {
        g_cond_signal(&reader->wake);
    }
    g_mutex_unlock(&reader->lock);
    return pausing;
}

void
ms_stream_reader_read_again(struct ms_stream_reader *reader)
{
    g_mutex_lock(&reader->lock);
    reader->read_now = true;
    g_cond_signal(&reader->wake);
    g_mutex_unlock(&reader->lock);
}

void
ms_stream_reader_stop(struct ms_stream_reader *reader)
{
    if (reader == NULL) {
        return;
    }
    atomic_store(&reader->stopping, true);
    g_mutex_lock(&reader->lock);
    g_cond_signal(&reader->wake);
    g_mutex_unlock(&reader->lock);
    pthread_join(reader->thread, NULL);
    ms_keyed_log_client_free(reader->client);
    g_mutex_clear(&reader->lock);
    g_cond_clear(&reader->wake);
    g_free(reader);
}
