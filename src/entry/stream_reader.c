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
    struct ms_log_client *client;
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
    bool read_now; /* PAUSING: end the pause at once */
    atomic_bool stopping;
};

/* Sleeps for MS, or until `wake` is signalled. */
static void
sleep_ms(struct ms_stream_reader *follow, int64_t ms)
{
    g_mutex_lock(&follow->lock);
    if (!atomic_load(&follow->stopping)) {
        g_cond_wait_until(&follow->wake, &follow->lock, g_get_monotonic_time() + ms * 1000);
    }
    g_mutex_unlock(&follow->lock);
}

/*
 * Pauses between two reads.  Returns true when ms_stream_reader_read_now() ended the pause;
 * a restart, a new length of the pause and a stop end it as well.
 */
static bool
pause_between_reads(struct ms_stream_reader *follow)
{
    int64_t pause_ms = atomic_load(&follow->pause_ms);
    int64_t until = g_get_monotonic_time() + pause_ms * 1000;
    g_mutex_lock(&follow->lock);
    follow->pausing = true;
    while (pause_ms > 0 && !follow->read_now && !follow->restart &&
           pause_ms == atomic_load(&follow->pause_ms) && !atomic_load(&follow->stopping)) {
        if (!g_cond_wait_until(&follow->wake, &follow->lock, until)) {
            break;
        }
    }
    bool read_now = follow->read_now;
    follow->read_now = false;
    follow->pausing = false;
    g_mutex_unlock(&follow->lock);
    return read_now;
}

/* Sends MESSAGE to the decision thread; waits while its queue is full. */
static void
push(struct ms_stream_reader *follow, struct ms_entry_message *message)
{
    message->stream = follow->stream;
    while (!ms_ring_push(follow->ring, message) && !atomic_load(&follow->stopping)) {
        sleep_ms(follow, 1);
    }
}

static void
push_failed(struct ms_stream_reader *follow, enum ms_log_result result)
{
    struct ms_entry_message *message = ms_entry_message_new(MS_ENTRY_READ_FAILED);
    message->log_result = result;
    push(follow, message);
}

/* Reads the newest record of each key; *NEXT is the offset to read on from. */
static bool
read_snapshot(struct ms_stream_reader *follow, uint64_t *next)
{
    struct ms_log_batch *batch = ms_log_batch_new();
    int64_t sent_at = ms_clock_boot_ms();
    enum ms_log_result result = ms_log_read_snapshot(follow->client, follow->stream, batch);
    if (result != MS_LOG_OK) {
        ms_log_batch_free(batch);
        push_failed(follow, result);
        return false;
    }
    *next = batch->next_offset;
    struct ms_entry_message *message = ms_entry_message_new(MS_ENTRY_SNAPSHOT);
    message->batch = batch;
    message->current_at = sent_at;
    push(follow, message);
    return true;
}

/*
 * Reads records from the offset *NEXT on and advances it; *AT_END is set when the read
 * has reached the end of the stream.
 */
static enum ms_log_result
read_records(struct ms_stream_reader *follow, uint64_t *next, int64_t wait_ms, bool *at_end)
{
    struct ms_log_batch *batch = ms_log_batch_new();
    int64_t sent_at = ms_clock_boot_ms();
    enum ms_log_result result = ms_log_read(follow->client, follow->stream, *next, wait_ms, batch);
    if (result != MS_LOG_OK) {
        ms_log_batch_free(batch);
        push_failed(follow, result);
        return result;
    }
    *next = batch->next_offset;
    struct ms_entry_message *message = ms_entry_message_new(MS_ENTRY_RECORDS);
    /* An answer without records means that the stream had none until the wait was over. */
    if (batch->at_end) {
        message->current_at = batch->records->len == 0 ? sent_at + wait_ms : sent_at;
    }
    *at_end = batch->at_end;
    message->batch = batch;
    push(follow, message);
    return result;
}

/* Returns and clears the request to start over; *ON tells whether reading is on. */
static bool
take_restart(struct ms_stream_reader *follow, bool *on)
{
    g_mutex_lock(&follow->lock);
    bool restart = follow->restart;
    follow->restart = false;
    *on = follow->on;
    g_mutex_unlock(&follow->lock);
    return restart;
}

static void *
follow_thread(void *opaque)
{
    struct ms_stream_reader *follow = opaque;
    uint64_t next = 0;
    bool has_position = false; /* NEXT is valid */
    int64_t retry_ms = RETRY_MIN_MS;
    int64_t wait_ms = follow->wait_ms;
    while (!atomic_load(&follow->stopping)) {
        bool on = false;
        if (take_restart(follow, &on)) {
            has_position = false;
        }
        if (!on) {
            sleep_ms(follow, OFF_POLL_MS);
            continue;
        }
        enum ms_log_result result = MS_LOG_OK;
        bool at_end = true;
        if (!has_position) {
            has_position = read_snapshot(follow, &next);
            result = has_position ? MS_LOG_OK : MS_LOG_REFUSED;
        }
        else {
            result = read_records(follow, &next, wait_ms, &at_end);
        }
        if (result == MS_LOG_OK) {
            retry_ms = RETRY_MIN_MS;
            bool read_now = at_end && pause_between_reads(follow);
            wait_ms = read_now ? 0 : follow->wait_ms;
            continue;
        }
        if (result == MS_LOG_EXPIRED || result == MS_LOG_MALFORMED) {
            has_position = false;
            continue;
        }
        wait_ms = 0; /* the first read after a failure is answered at once */
        sleep_ms(follow, retry_ms);
        retry_ms = MIN(retry_ms * 2, RETRY_MAX_MS);
    }
    return NULL;
}

struct ms_stream_reader *
ms_stream_reader_start(const char *log_address, enum ms_stream stream, struct ms_ring *ring,
                       int64_t wait_ms, int64_t pause_ms)
{
    struct ms_stream_reader *follow = g_new0(struct ms_stream_reader, 1);
    follow->client = ms_log_client_new(log_address);
    follow->stream = stream;
    follow->ring = ring;
    follow->wait_ms = wait_ms;
    follow->pause_ms = pause_ms;
    g_mutex_init(&follow->lock);
    g_cond_init(&follow->wake);
    if (follow->client == NULL ||
        pthread_create(&follow->thread, NULL, follow_thread, follow) != 0) {
        ms_log_client_free(follow->client);
        g_free(follow);
        return NULL;
    }
    return follow;
}

void
ms_stream_reader_enable(struct ms_stream_reader *follow, bool on)
{
    g_mutex_lock(&follow->lock);
    follow->restart |= on;
    follow->on = on;
    g_cond_signal(&follow->wake);
    g_mutex_unlock(&follow->lock);
}

void
ms_stream_reader_set_pause(struct ms_stream_reader *follow, int64_t pause_ms)
{
    atomic_store(&follow->pause_ms, pause_ms);
    g_mutex_lock(&follow->lock);
    g_cond_signal(&follow->wake);
    g_mutex_unlock(&follow->lock);
}

bool
ms_stream_reader_read_now(struct ms_stream_reader *follow)
{
    g_mutex_lock(&follow->lock);
    bool pausing = follow->pausing;
    follow->read_now |= pausing;
    if (pausing) {
        g_cond_signal(&follow->wake);
    }
    g_mutex_unlock(&follow->lock);
    return pausing;
}

void
ms_stream_reader_stop(struct ms_stream_reader *follow)
{
    if (follow == NULL) {
        return;
    }
    atomic_store(&follow->stopping, true);
    g_mutex_lock(&follow->lock);
    g_cond_signal(&follow->wake);
    g_mutex_unlock(&follow->lock);
    pthread_join(follow->thread, NULL);
    ms_log_client_free(follow->client);
    g_mutex_clear(&follow->lock);
    g_cond_clear(&follow->wake);
    g_free(follow);
}
