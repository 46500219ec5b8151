/*
 * platform_client.c - client of the platform's append-only log and host list.
 */
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#include "config/address.h"
#include "node/message.h"
#include "obs/clock.h"
#include "obs/log.h"
#include "platform/http.h"
#include "platform/json_list.h"
#include "platform/platform_client.h"

#define HOST_RESOURCES_MAX 1000000   /* slots and accelerators of one server */
#define APPEND_RING_SLOTS 8192       /* records that wait to be appended */
#define APPEND_BATCH_MAX 200         /* records per append call */
#define APPEND_BATCH_BYTES (1 << 20) /* no more records are added from this size on */
#define READ_BATCH_MAX 1000          /* records per read call */
#define RETRY_MIN_MS 50     /* first backoff after a failure; doubled after each further one */
#define RETRY_MAX_MS 1000   /* longest backoff */
#define REPLY_SLACK_MS 1000 /* time for an answer, beyond the wait that a read asks for */
#define IDLE_MS 100         /* the writer waits 10 times as long for a record to append */

/* A record that waits to be appended. */
struct pending_append {
    GByteArray *record;  /* packed */
    int64_t deadline_at; /* monotonic clock, ms; the record is dropped then */
};

struct ms_platform_client {
    const struct ms_settings *settings;
    struct ms_counters *counters;
    struct ms_ring *node_ring;
    struct ms_ring *append_ring; /* struct pending_append */
    pthread_t reader;
    pthread_t writer;
    atomic_bool stopping;
    atomic_uint_fast64_t next_offset; /* offset of the next read */
    bool reachable;                   /* last state reported to the node; reader thread only */
    char hosts_etag[MS_NAME_MAX];     /* ETag of the last host list; reader thread only */
};

/* Sends a message to the node when the log becomes reachable or unreachable. */
static void
report_reachable(struct ms_platform_client *platform, bool reachable)
{
    if (platform->reachable == reachable) {
        return;
    }
    platform->reachable = reachable;
    struct ms_message *message = ms_message_new(MS_MESSAGE_LOG_REACHABLE);
    message->reachable = reachable;
    ms_message_push(platform->node_ring, &platform->stopping, message);
}

static GPtrArray *
decode_records(const json_t *records)
{
    GPtrArray *decoded = g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
    size_t index = 0;
    json_t *record = NULL;
    json_array_foreach((json_t *)records, index, record)
    {
        gsize length = 0;
        guchar *bytes =
            g_base64_decode(json_is_string(record) ? json_string_value(record) : "", &length);
        g_ptr_array_add(decoded, g_bytes_new_take(bytes, length));
    }
    return decoded;
}

/*
 * Sends the records in the answer to a read from offset FROM to the node, and tells
 * it when the log no longer has that offset.  Returns false when ANSWER is malformed.
 */
static bool
handle_records(struct ms_platform_client *platform, const json_t *answer, uint64_t from)
{
    const json_t *records = json_object_get(answer, "records");
    int64_t first = ms_json_get_int(answer, "first", -1);
    int64_t begin = ms_json_get_int(answer, "begin", 0);
    if (!json_is_array(records) || first < 0) {
        return false;
    }
    if ((uint64_t)begin > from) {
        struct ms_message *truncated = ms_message_new(MS_MESSAGE_LOG_TRUNCATED);
        truncated->offset = (uint64_t)begin;
        ms_message_push(platform->node_ring, &platform->stopping, truncated);
    }
    size_t count = json_array_size(records);
    if (count == 0) {
        return true;
    }
    ms_counter_add(platform->counters, MS_COUNT_LOG_RECORDS_READ, count);
    struct ms_message *message = ms_message_new(MS_MESSAGE_LOG_RECORDS);
    message->records.first_offset = (uint64_t)first;
    message->records.records = decode_records(records);
    /* Fails, as it should, if ms_platform_read_from() has set another offset meanwhile. */
    atomic_compare_exchange_strong(&platform->next_offset, &from, (uint64_t)first + count);
    ms_message_push(platform->node_ring, &platform->stopping, message);
    return true;
}

/* Reads the log once; returns false when that fails.  WAIT: wait if there is no new record. */
static bool
read_log(struct ms_platform_client *platform, struct ms_http *http, bool fresh_connection,
         bool wait)
{
    uint64_t from = atomic_load(&platform->next_offset);
    long status = 0;
    int64_t wait_ms = wait ? platform->settings->log_poll_ms : 0;
    char *url =
        g_strdup_printf("%s/log?from=%" G_GUINT64_FORMAT "&wait_ms=%" G_GINT64_FORMAT "&max=%d",
                        platform->settings->platform_url, from, wait_ms, READ_BATCH_MAX);
    ms_http_prepare(http, url, NULL, (long)wait_ms + REPLY_SLACK_MS, fresh_connection);
    json_t *answer = ms_http_run(http, &status);
    ms_counter_add(platform->counters, MS_COUNT_PLATFORM_BYTES, ms_http_transferred_bytes(http));
    bool ok = status == 200 && handle_records(platform, answer, from);
    json_decref(answer);
    g_free(url);
    if (!ok) {
        ms_counter_add(platform->counters, MS_COUNT_LOG_READS_FAILED, 1);
    }
    return ok;
}

/* Whether libcurl can call TEXT: its port is in range, for example. */
static bool
is_url(const char *text)
{
    CURLU *url = curl_url();
    bool valid = url != NULL && curl_url_set(url, CURLUPART_URL, text, 0) == CURLUE_OK;
    curl_url_cleanup(url);
    return valid;
}

/* Reads an entry of the host list; returns false when it is unusable. */
static bool
parse_host(const json_t *entry, struct ms_host_list_entry *host)
{
    char role[MS_NAME_MAX];
    char state[MS_NAME_MAX];
    memset(host, 0, sizeof(*host));
    ms_json_copy_string(entry, "name", host->name, sizeof(host->name));
    ms_json_copy_string(entry, "dc", host->dc, sizeof(host->dc));
    ms_json_copy_string(entry, "region", host->region, sizeof(host->region));
    ms_json_copy_string(entry, "address", host->address, sizeof(host->address));
    ms_json_copy_string(entry, "rack", host->rack, sizeof(host->rack));
    ms_json_copy_string(entry, "role", role, sizeof(role));
    ms_json_copy_string(entry, "state", state, sizeof(state));
    host->slots = (uint32_t)CLAMP(ms_json_get_int(entry, "slots", 0), 0, HOST_RESOURCES_MAX);
    host->accels = (uint32_t)CLAMP(ms_json_get_int(entry, "accels", 0), 0, HOST_RESOURCES_MAX);
    host->is_server = strcmp(role, "server") == 0;
    host->leaving = strcmp(state, "leaving") == 0;
    struct sockaddr_in address;
    bool callable =
        host->is_server ? is_url(host->address) : ms_address_parse(host->address, &address);
    return host->name[0] != '\0' && host->dc[0] != '\0' && callable;
}

/* Reads the host list and sends it to the node if it has changed. */
static void
read_hosts(struct ms_platform_client *platform, struct ms_http *http)
{
    long status = 0;
    char *url = g_strdup_printf("%s/hosts", platform->settings->platform_url);
    ms_http_prepare(http, url, NULL, REPLY_SLACK_MS, false);
    ms_http_set_if_none_match(http, platform->hosts_etag);
    size_t skipped = 0;
    json_t *answer = NULL;
    json_decref(ms_http_run(http, &status));
    if (status == 200) {
        answer = ms_json_load_list((const char *)http->response_body->data,
                                   http->response_body->len, "hosts", &skipped);
    }
    ms_counter_add(platform->counters, MS_COUNT_PLATFORM_BYTES, ms_http_transferred_bytes(http));
    const json_t *hosts = json_object_get(answer, "hosts");
    if (status == 200 && !json_is_array(hosts)) {
        ms_log(MS_LOG_WARNING, "event=host_list_unreadable bytes=%u", http->response_body->len);
    }
    if (json_is_array(hosts)) {
        /* Of a list that could be read only: the next read would not return it again. */
        ms_http_get_etag(http, platform->hosts_etag, sizeof(platform->hosts_etag));
        struct ms_message *message = ms_message_new(MS_MESSAGE_HOST_LIST);
        message->host_list = g_array_new(FALSE, FALSE, sizeof(struct ms_host_list_entry));
        size_t index = 0;
        json_t *entry = NULL;
        json_array_foreach((json_t *)hosts, index, entry)
        {
            struct ms_host_list_entry host;
            if (parse_host(entry, &host)) {
                g_array_append_val(message->host_list, host);
            }
            else {
                skipped++;
            }
        }
        if (skipped > 0) {
            ms_log(MS_LOG_WARNING, "event=host_list_entries_unusable entries=%zu", skipped);
        }
        ms_message_push(platform->node_ring, &platform->stopping, message);
    }
    json_decref(answer);
    g_free(url);
}

static void *
reader_thread(void *opaque)
{
    struct ms_platform_client *platform = opaque;
    struct ms_http *http = ms_http_new();
    int64_t next_hosts_at = 0;
    int64_t retry_delay_ms = RETRY_MIN_MS;
    bool last_failed = true; /* so that the first read does not wait for a new record */
    while (!atomic_load(&platform->stopping)) {
        if (ms_clock_monotonic_ms() >= next_hosts_at) {
            read_hosts(platform, http);
            next_hosts_at = ms_clock_monotonic_ms() + platform->settings->host_list_ms;
        }
        bool ok = read_log(platform, http, last_failed, !last_failed);
        report_reachable(platform, ok);
        last_failed = !ok;
        if (ok) {
            retry_delay_ms = RETRY_MIN_MS;
            continue;
        }
        g_usleep((gulong)retry_delay_ms * 1000);
        retry_delay_ms = MIN(retry_delay_ms * 2, RETRY_MAX_MS);
    }
    ms_http_free(http);
    return NULL;
}

static void
append_free(struct pending_append *append)
{
    g_byte_array_unref(append->record);
    g_free(append);
}

/* Moves records from the ring into BATCH, up to the limits of one append call. */
static void
fill_batch(struct ms_platform_client *platform, GQueue *batch)
{
    size_t batch_bytes = 0;
    for (GList *item = batch->head; item != NULL; item = item->next) {
        batch_bytes += ((struct pending_append *)item->data)->record->len;
    }
    while (g_queue_get_length(batch) < APPEND_BATCH_MAX && batch_bytes < APPEND_BATCH_BYTES) {
        struct pending_append *append = ms_ring_pop(platform->append_ring);
        if (append == NULL) {
            return;
        }
        batch_bytes += append->record->len;
        g_queue_push_tail(batch, append);
    }
}

/* Drops records whose deadline has passed. */
static void
drop_expired(GQueue *batch)
{
    GList *item = batch->head;
    while (item != NULL) {
        GList *next = item->next;
        struct pending_append *append = item->data;
        if (append->deadline_at <= ms_clock_monotonic_ms()) {
            append_free(append);
            g_queue_delete_link(batch, item);
        }
        item = next;
    }
}

/* The request body that appends BATCH. */
static json_t *
encode_batch(const GQueue *batch)
{
    json_t *records = json_array();
    for (GList *item = batch->head; item != NULL; item = item->next) {
        struct pending_append *append = item->data;
        char *encoded = g_base64_encode(append->record->data, append->record->len);
        json_array_append_new(records, json_string(encoded));
        g_free(encoded);
    }
    json_t *body = json_object();
    json_object_set_new(body, "records", records);
    return body;
}

/* Appends the records of BATCH in one call; returns false when that fails. */
static bool
append_batch(struct ms_platform_client *platform, struct ms_http *http, const GQueue *batch,
             bool fresh_connection)
{
    long status = 0;
    char *url = g_strdup_printf("%s/log", platform->settings->platform_url);
    ms_http_prepare(http, url, encode_batch(batch), (long)platform->settings->append_timeout_ms,
                    fresh_connection);
    json_t *answer = ms_http_run(http, &status);
    ms_counter_add(platform->counters, MS_COUNT_PLATFORM_BYTES, ms_http_transferred_bytes(http));
    json_decref(answer);
    g_free(url);
    ms_counter_add(platform->counters, MS_COUNT_LOG_APPENDS, 1);
    if (status != 200) {
        ms_counter_add(platform->counters, MS_COUNT_LOG_APPENDS_FAILED, 1);
        return false;
    }
    ms_counter_add(platform->counters, MS_COUNT_LOG_RECORDS_APPENDED,
                   g_queue_get_length((GQueue *)batch));
    return true;
}

/* Appends in batches: records that are queued during one call form the next batch. */
static void *
writer_thread(void *opaque)
{
    struct ms_platform_client *platform = opaque;
    struct ms_http *http = ms_http_new();
    GQueue *batch = g_queue_new();
    int64_t retry_delay_ms = RETRY_MIN_MS;
    bool last_failed = false;
    while (!atomic_load(&platform->stopping)) {
        fill_batch(platform, batch);
        drop_expired(batch);
        if (g_queue_is_empty(batch)) {
            ms_ring_wait(platform->append_ring, IDLE_MS * 10);
            continue;
        }
        if (append_batch(platform, http, batch, last_failed)) {
            g_queue_clear_full(batch, (GDestroyNotify)append_free);
            retry_delay_ms = RETRY_MIN_MS;
            last_failed = false;
            continue;
        }
        last_failed = true;
        g_usleep((gulong)retry_delay_ms * 1000);
        retry_delay_ms = MIN(retry_delay_ms * 2, RETRY_MAX_MS);
    }
    g_queue_free_full(batch, (GDestroyNotify)append_free);
    ms_http_free(http);
    return NULL;
}

struct ms_platform_client *
ms_platform_start(const struct ms_settings *settings, struct ms_counters *counters,
                  struct ms_ring *node_ring)
{
    struct ms_platform_client *platform = g_new0(struct ms_platform_client, 1);
    platform->settings = settings;
    platform->counters = counters;
    platform->node_ring = node_ring;
    platform->append_ring = ms_ring_new(APPEND_RING_SLOTS);
    if (platform->append_ring == NULL) {
        goto fail;
    }
    if (pthread_create(&platform->reader, NULL, reader_thread, platform) != 0) {
        goto fail;
    }
    if (pthread_create(&platform->writer, NULL, writer_thread, platform) != 0) {
        atomic_store(&platform->stopping, true);
        pthread_join(platform->reader, NULL);
        goto fail;
    }
    return platform;

fail:
    ms_ring_free(platform->append_ring);
    g_free(platform);
    return NULL;
}

void
ms_platform_stop(struct ms_platform_client *platform)
{
    if (platform == NULL) {
        return;
    }
    atomic_store(&platform->stopping, true);
    ms_ring_wake(platform->append_ring);
    pthread_join(platform->reader, NULL);
    pthread_join(platform->writer, NULL);
    struct pending_append *append = NULL;
    while ((append = ms_ring_pop(platform->append_ring)) != NULL) {
        append_free(append);
    }
    ms_ring_free(platform->append_ring);
    g_free(platform);
}

bool
ms_platform_append(struct ms_platform_client *platform, GByteArray *bytes, int64_t retry_timeout_ms)
{
    struct pending_append *append = g_new0(struct pending_append, 1);
    append->record = bytes;
    append->deadline_at = ms_clock_monotonic_ms() + retry_timeout_ms;
    if (!ms_ring_push(platform->append_ring, append)) {
        append_free(append);
        return false;
    }
    return true;
}

void
ms_platform_read_from(struct ms_platform_client *platform, uint64_t offset)
{
    atomic_store(&platform->next_offset, offset);
}
