/*
 * log_appender.c - threads that append records to the jobs stream of the log.
 */
#include <pthread.h>
#include <stdatomic.h>

#include "entry/log_appender.h"
#include "obs/clock.h"
#include "obs/log.h"

#define RING_SLOTS 4096
#define GROUP_MAX 256 /* requests batched into one append call */

/*
 * The timeout of a call is TIMEOUT_FACTOR times what the last call took, and twice
 * the last timeout after a call without an answer, within TIMEOUT_MIN_MS and
 * TIMEOUT_MAX_MS.  It is cut to the time left for the requests of the call, but
 * never below TIMEOUT_FLOOR_MS.
 */
#define TIMEOUT_MIN_MS 300
#define TIMEOUT_FLOOR_MS 100
#define TIMEOUT_MAX_MS 1200
#define TIMEOUT_FACTOR 3

#define RETRY_DELAY_MS 60 /* pause between two attempts */
#define IDLE_WAIT_MS 1000 /* longest sleep while the queue is empty */

/* Name of the fenced writer in the log. */
#define WRITER_NAME "placing"

struct ms_appender {
    struct ms_keyed_log_client *client;
    struct ms_ring *ring;    /* requests: struct ms_append */
    struct ms_ring *answers; /* owned by the caller of ms_appender_start() */
    bool fenced;
    _Atomic uint64_t epoch; /* FENCED: the only epoch whose requests are appended */
    uint64_t writer_epoch;  /* FENCED: epoch that `sequence` belongs to */
    uint64_t sequence;      /* FENCED: sequence number of the next append */
    /*
     * FENCED: the first sequence number in each epoch.  It differs between processes, so that
     * the log accepts appends of one of them only, should two have claimed the same epoch.
     */
    uint64_t first_sequence;
    int64_t timeout_ms; /* timeout of the next call */
    pthread_t thread;
    atomic_bool stopping;
};

/* Returns APPEND with RESULT to the decision thread; waits while its queue is full. */
static void
answer(struct ms_appender *appender, struct ms_append *append, enum ms_keyed_log_result result)
{
    struct ms_entry_message *message = ms_entry_message_new(MS_ENTRY_APPENDED);
    append->result = result;
    message->append = append;
    while (!ms_ring_push(appender->answers, message) && !atomic_load(&appender->stopping)) {
        g_usleep(1000);
    }
}

/* Returns the records of all requests of GROUP in one list, which does not own them. */
static GPtrArray *
join_records(const GPtrArray *group)
{
    GPtrArray *records = g_ptr_array_new();
    for (guint i = 0; i < group->len; i++) {
        const struct ms_append *append = g_ptr_array_index(group, i);
        for (guint k = 0; k < append->records->len; k++) {
            g_ptr_array_add(records, g_ptr_array_index(append->records, k));
        }
    }
    return records;
}

static void
log_failure(const struct ms_appender *appender, enum ms_keyed_log_result result, guint requests)
{
    ms_log(MS_LOG_NOTICE, "event=append_failed writer=%s result=%s requests=%u %s",
           appender->fenced ? "placing" : "open", ms_keyed_log_result_name(result), requests,
           ms_keyed_log_last_outcome(appender->client));
}

/*
 * After a call that ended with RESULT: removes the requests whose deadline would
 * pass before the next attempt from GROUP and answers them, with NO_ANSWER if an
 * earlier attempt may have stored their records and with REFUSED otherwise.
 */
static void
answer_expired(struct ms_appender *appender, GPtrArray *group, enum ms_keyed_log_result result)
{
    int64_t now = ms_clock_boot_ms();
    for (guint i = 0; i < group->len;) {
        struct ms_append *append = g_ptr_array_index(group, i);
        append->may_be_stored |= result == MS_KEYED_LOG_NO_ANSWER;
        if (now + RETRY_DELAY_MS < append->deadline_at) {
            i++;
            continue;
        }
        g_ptr_array_remove_index(group, i);
        answer(appender, append,
               append->may_be_stored ? MS_KEYED_LOG_NO_ANSWER : MS_KEYED_LOG_REFUSED);
    }
}

/* Answers all requests of GROUP and empties it; END_OFFSET is as from ms_keyed_log_append(). */
static void
answer_all(struct ms_appender *appender, GPtrArray *group, enum ms_keyed_log_result result,
           uint64_t end_offset)
{
    for (guint i = 0; i < group->len; i++) {
        struct ms_append *append = g_ptr_array_index(group, i);
        append->end_offset = end_offset;
        answer(appender, append, result);
    }
    g_ptr_array_set_size(group, 0);
}

/* Appends RECORDS in one call of at most MAX_MS, and sets the timeout of the next call. */
static enum ms_keyed_log_result
call_log(struct ms_appender *appender, const GPtrArray *records,
         const struct ms_keyed_log_writer *writer, uint64_t expected_end, int64_t max_ms,
         uint64_t *end_offset)
{
    int64_t started_at = ms_clock_boot_ms();
    int64_t timeout_ms = MAX(MIN(appender->timeout_ms, max_ms), TIMEOUT_FLOOR_MS);
    enum ms_keyed_log_result result = ms_keyed_log_append(
        appender->client, MS_STREAM_JOBS, records, writer, expected_end, timeout_ms, end_offset);
    int64_t next_timeout_ms = TIMEOUT_FACTOR * (ms_clock_boot_ms() - started_at);
    if (result == MS_KEYED_LOG_NO_ANSWER) {
        next_timeout_ms = 2 * appender->timeout_ms;
    }
    appender->timeout_ms = CLAMP(next_timeout_ms, TIMEOUT_MIN_MS, TIMEOUT_MAX_MS);
    return result;
}

/* Returns the time left until the latest deadline of GROUP. */
static int64_t
remaining_ms(const GPtrArray *group)
{
    int64_t latest = 0;
    for (guint i = 0; i < group->len; i++) {
        const struct ms_append *append = g_ptr_array_index(group, i);
        latest = MAX(latest, append->deadline_at);
    }
    return latest - ms_clock_boot_ms();
}

/*
 * Appends GROUP without a fence, and repeats the call until it succeeds, the stream turns out
 * to end elsewhere, or the deadline of each request has passed.
 */
static void
append_unfenced(struct ms_appender *appender, GPtrArray *group)
{
    while (group->len > 0 && !atomic_load(&appender->stopping)) {
        GPtrArray *records = join_records(group);
        uint64_t end_offset = 0;
        const struct ms_append *first = g_ptr_array_index(group, 0);
        enum ms_keyed_log_result result = call_log(appender, records, NULL, first->expected_end,
                                                   remaining_ms(group), &end_offset);
        g_ptr_array_unref(records);
        if (result == MS_KEYED_LOG_OK || result == MS_KEYED_LOG_END_MISMATCH) {
            answer_all(appender, group, result, end_offset);
            return;
        }
        log_failure(appender, result, group->len);
        answer_expired(appender, group, result);
        if (group->len > 0) {
            g_usleep(RETRY_DELAY_MS * 1000);
        }
    }
}

/*
 * Appends GROUP, all of one epoch, and repeats the call with the same sequence number
 * until its outcome is known or the epoch is over.  Requests that are not known to be
 * appended are answered with FENCED.
 */
static void
append_fenced(struct ms_appender *appender, GPtrArray *group)
{
    const struct ms_append *first = g_ptr_array_index(group, 0);
    uint64_t epoch = first->epoch;
    struct ms_keyed_log_writer writer = {.name = WRITER_NAME, .epoch = epoch};
    if (appender->writer_epoch != epoch) {
        appender->sequence = appender->first_sequence;
        appender->writer_epoch = epoch;
    }
    writer.sequence = appender->sequence;
    GPtrArray *records = join_records(group);
    enum ms_keyed_log_result result = MS_KEYED_LOG_FENCED;
    uint64_t end_offset = 0;
    while (!atomic_load(&appender->stopping) && atomic_load(&appender->epoch) == epoch) {
        result = call_log(appender, records, &writer, MS_KEYED_LOG_ANY_OFFSET, TIMEOUT_MAX_MS,
                          &end_offset);
        if (result == MS_KEYED_LOG_WRONG_SEQUENCE &&
            appender->sequence == appender->first_sequence &&
            end_offset == appender->first_sequence + 1) {
            appender->sequence = end_offset; /* an earlier attempt has set the writer's epoch */
            writer.sequence = end_offset;
            continue;
        }
        if (result == MS_KEYED_LOG_OK || result == MS_KEYED_LOG_FENCED ||
            result == MS_KEYED_LOG_WRONG_SEQUENCE) {
            break;
        }
        log_failure(appender, result, group->len);
        g_usleep(RETRY_DELAY_MS * 1000);
        result = MS_KEYED_LOG_FENCED;
    }
    if (result == MS_KEYED_LOG_WRONG_SEQUENCE) {
        log_failure(appender, result, group->len);
        result = MS_KEYED_LOG_FENCED; /* another process has appended in this epoch */
    }
    if (result == MS_KEYED_LOG_OK) {
        appender->sequence++;
    }
    g_ptr_array_unref(records);
    answer_all(appender, group, result, end_offset);
}

/* Whether APPEND cannot share a call with other requests. */
static bool
needs_own_call(const struct ms_append *append)
{
    return append->kind == MS_APPEND_WRITER_EPOCH ||
           append->expected_end != MS_KEYED_LOG_ANY_OFFSET;
}

/*
 * Fills GROUP with queued requests that may share one call; those of a fenced group
 * have the same epoch.  The first one that does not fit is left in *DEFERRED, with
 * which the next group begins.
 */
static void
collect_group(struct ms_appender *appender, GPtrArray *group, struct ms_append **deferred)
{
    while (group->len < GROUP_MAX) {
        struct ms_append *append = *deferred != NULL ? *deferred : ms_ring_pop(appender->ring);
        *deferred = NULL;
        if (append == NULL) {
            return;
        }
        const struct ms_append *first = group->len > 0 ? g_ptr_array_index(group, 0) : append;
        bool separate = needs_own_call(append) || needs_own_call(first);
        bool other_epoch = appender->fenced && append->epoch != first->epoch;
        if (append != first && (separate || other_epoch)) {
            *deferred = append;
            return;
        }
        g_ptr_array_add(group, append);
    }
}

static void *
append_thread(void *opaque)
{
    struct ms_appender *appender = opaque;
    GPtrArray *group = g_ptr_array_new();
    struct ms_append *deferred = NULL;
    while (!atomic_load(&appender->stopping)) {
        if (deferred == NULL) {
            ms_ring_wait(appender->ring, IDLE_WAIT_MS);
        }
        for (;;) {
            collect_group(appender, group, &deferred);
            if (group->len == 0) {
                break;
            }
            if (appender->fenced) {
                append_fenced(appender, group);
            }
            else {
                append_unfenced(appender, group);
            }
            g_ptr_array_set_size(group, 0);
        }
    }
    ms_append_free(deferred);
    g_ptr_array_unref(group);
    return NULL;
}

struct ms_appender *
ms_appender_start(const char *log_address, struct ms_ring *answers, bool fenced)
{
    struct ms_appender *appender = g_new0(struct ms_appender, 1);
    appender->client = ms_keyed_log_client_new(log_address);
    appender->ring = ms_ring_new(RING_SLOTS);
    appender->answers = answers;
    appender->fenced = fenced;
    appender->timeout_ms = TIMEOUT_MIN_MS;
    appender->first_sequence = (uint64_t)g_get_real_time();
    if (appender->client == NULL || appender->ring == NULL ||
        pthread_create(&appender->thread, NULL, append_thread, appender) != 0) {
        ms_keyed_log_client_free(appender->client);
        ms_ring_free(appender->ring);
        g_free(appender);
        return NULL;
    }
    return appender;
}

bool
ms_appender_push(struct ms_appender *appender, struct ms_append *append)
{
    return ms_ring_push(appender->ring, append);
}

void
ms_appender_set_epoch(struct ms_appender *appender, uint64_t epoch)
{
    atomic_store(&appender->epoch, epoch);
}

void
ms_appender_stop(struct ms_appender *appender)
{
    if (appender == NULL) {
        return;
    }
    atomic_store(&appender->stopping, true);
    ms_ring_wake(appender->ring);
    pthread_join(appender->thread, NULL);
    struct ms_append *append = NULL;
    while ((append = ms_ring_pop(appender->ring)) != NULL) {
        ms_append_free(append);
    }
    ms_keyed_log_client_free(appender->client);
    ms_ring_free(appender->ring);
    g_free(appender);
}
