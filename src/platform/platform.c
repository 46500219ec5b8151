/*
 * platform.c - the platform's append-only log and host list.
 */
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#include "node/message.h"
#include "obs/clock.h"
#include "obs/log.h"
#include "platform/http.h"
#include "platform/platform.h"

#define APPEND_RING_SLOTS 8192
#define APPEND_BATCH_MAX 200 /* records in one append */
#define APPEND_BATCH_BYTES (1 << 20)
#define READ_BATCH_MAX 1000 /* records in one read */
#define RETRY_MIN_MS 50
#define RETRY_MAX_MS 1000
#define REPLY_SLACK_MS 1000 /* beyond the wait that a read asks for */
#define IDLE_MS 100

struct append {
    GByteArray *bytes;
    int64_t give_up_at; /* milliseconds of the monotonic clock */
};

struct ms_platform {
    const struct ms_settings *settings;
    struct ms_counters *counters;
    struct ms_ring *node_ring;
    struct ms_ring *appends; /* struct append */
    pthread_t reader;
    pthread_t writer;
    atomic_bool stopping;
    atomic_uint_fast64_t next;   /* offset that the reader asks for */
    bool reachable;              /* reader thread only */
    char hosts_tag[MS_NAME_MAX]; /* ETag of the last host list, reader only */
};

static void
tell_reachable(struct ms_platform *platform, bool reachable)
{
    if (platform->reachable == reachable) {
        return;
    }
    platform->reachable = reachable;
    struct ms_message *message = ms_message_new(MS_MESSAGE_LOG_STATE);
    message->reachable = reachable;
    ms_message_send(platform->node_ring, &platform->stopping, message);
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

/* Handles one answer to a read; returns false when it is not usable. */
static bool
take_records(struct ms_platform *platform, const json_t *answer, uint64_t asked)
{
    const json_t *records = json_object_get(answer, "records");
    int64_t first = ms_json_int(answer, "first", -1);
    int64_t begin = ms_json_int(answer, "begin", 0);
    if (!json_is_array(records) || first < 0) {
        return false;
    }
    if ((uint64_t)begin > asked) {
        struct ms_message *gap = ms_message_new(MS_MESSAGE_LOG_BEGINS);
        gap->offset = (uint64_t)begin;
        ms_message_send(platform->node_ring, &platform->stopping, gap);
    }
    size_t count = json_array_size(records);
    if (count == 0) {
        return true;
    }
    ms_counter_add(platform->counters, MS_COUNT_RECORDS_READ, count);
    struct ms_message *message = ms_message_new(MS_MESSAGE_LOG_RECORDS);
    message->records.first_offset = (uint64_t)first;
    message->records.records = decode_records(records);
    atomic_compare_exchange_strong(&platform->next, &asked, (uint64_t)first + count);
    ms_message_send(platform->node_ring, &platform->stopping, message);
    return true;
}

/* Reads the log once; false when it could not be reached. */
static bool
read_log(struct ms_platform *platform, struct ms_http *http, bool fresh, bool wait)
{
    uint64_t from = atomic_load(&platform->next);
    long status = 0;
    int64_t wait_ms = wait ? platform->settings->log_poll_ms : 0;
    char *url =
        g_strdup_printf("%s/log?from=%" G_GUINT64_FORMAT "&wait_ms=%" G_GINT64_FORMAT "&max=%d",
                        platform->settings->platform_url, from, wait_ms, READ_BATCH_MAX);
    ms_http_prepare(http, url, NULL, (long)wait_ms + REPLY_SLACK_MS, fresh);
    json_t *answer = ms_http_run(http, &status);
    ms_counter_add(platform->counters, MS_COUNT_PLATFORM_BYTES, ms_http_bytes(http));
    bool good = status == 200 && take_records(platform, answer, from);
    json_decref(answer);
    g_free(url);
    if (!good) {
        ms_counter_add(platform->counters, MS_COUNT_READS_FAILED, 1);
    }
    return good;
}

static bool
read_listed(const json_t *entry, struct ms_listed *listed)
{
    char role[MS_NAME_MAX];
    char state[MS_NAME_MAX];
    memset(listed, 0, sizeof(*listed));
    ms_json_text(entry, "name", listed->name, sizeof(listed->name));
    ms_json_text(entry, "dc", listed->dc, sizeof(listed->dc));
    ms_json_text(entry, "region", listed->region, sizeof(listed->region));
    ms_json_text(entry, "address", listed->address, sizeof(listed->address));
    ms_json_text(entry, "rack", listed->rack, sizeof(listed->rack));
    ms_json_text(entry, "role", role, sizeof(role));
    ms_json_text(entry, "state", state, sizeof(state));
    listed->slots = (uint32_t)ms_json_int(entry, "slots", 0);
    listed->accels = (uint32_t)ms_json_int(entry, "accels", 0);
    listed->is_server = strcmp(role, "server") == 0;
    listed->leaving = strcmp(state, "leaving") == 0;
    return listed->name[0] != '\0' && listed->dc[0] != '\0' && listed->address[0] != '\0';
}

static void
read_hosts(struct ms_platform *platform, struct ms_http *http)
{
    long status = 0;
    char *url = g_strdup_printf("%s/hosts", platform->settings->platform_url);
    ms_http_prepare(http, url, NULL, REPLY_SLACK_MS, false);
    ms_http_if_changed(http, platform->hosts_tag);
    json_t *answer = ms_http_run(http, &status);
    ms_counter_add(platform->counters, MS_COUNT_PLATFORM_BYTES, ms_http_bytes(http));
    ms_http_tag(http, platform->hosts_tag, sizeof(platform->hosts_tag));
    const json_t *hosts = json_object_get(answer, "hosts");
    if (status == 200 && json_is_array(hosts)) {
        struct ms_message *message = ms_message_new(MS_MESSAGE_HOSTS);
        message->listed = g_array_new(FALSE, FALSE, sizeof(struct ms_listed));
        size_t index = 0;
        json_t *entry = NULL;
        json_array_foreach((json_t *)hosts, index, entry)
        {
            struct ms_listed listed;
            if (read_listed(entry, &listed)) {
                g_array_append_val(message->listed, listed);
            }
        }
        ms_message_send(platform->node_ring, &platform->stopping, message);
    }
    json_decref(answer);
    g_free(url);
}

static void *
reader_thread(void *opaque)
{
    struct ms_platform *platform = opaque;
    struct ms_http *http = ms_http_new();
    int64_t hosts_at = 0;
    int64_t delay = RETRY_MIN_MS;
    bool failed = true; /* the first read does not wait */
    while (!atomic_load(&platform->stopping)) {
        if (ms_clock_ms() >= hosts_at) {
            read_hosts(platform, http);
            hosts_at = ms_clock_ms() + platform->settings->host_list_ms;
        }
        bool good = read_log(platform, http, failed, !failed);
        tell_reachable(platform, good);
        failed = !good;
        if (good) {
            delay = RETRY_MIN_MS;
            continue;
        }
        g_usleep((gulong)delay * 1000);
        delay = MIN(delay * 2, RETRY_MAX_MS);
    }
    ms_http_free(http);
    return NULL;
}

static void
append_free(struct append *append)
{
    g_byte_array_unref(append->bytes);
    g_free(append);
}

/* Moves queued appends into BATCH, up to the bounds of one call. */
static void
fill_batch(struct ms_platform *platform, GQueue *batch)
{
    size_t bytes = 0;
    for (GList *node = batch->head; node != NULL; node = node->next) {
        bytes += ((struct append *)node->data)->bytes->len;
    }
    while (g_queue_get_length(batch) < APPEND_BATCH_MAX && bytes < APPEND_BATCH_BYTES) {
        struct append *append = ms_ring_pop(platform->appends);
        if (append == NULL) {
            return;
        }
        bytes += append->bytes->len;
        g_queue_push_tail(batch, append);
    }
}

/* Drops what has waited too long. */
static void
drop_expired(GQueue *batch)
{
    GList *node = batch->head;
    while (node != NULL) {
        GList *next = node->next;
        struct append *append = node->data;
        if (append->give_up_at <= ms_clock_ms()) {
            append_free(append);
            g_queue_delete_link(batch, node);
        }
        node = next;
    }
}

static json_t *
batch_body(const GQueue *batch)
{
    json_t *records = json_array();
    for (GList *node = batch->head; node != NULL; node = node->next) {
        struct append *append = node->data;
        char *encoded = g_base64_encode(append->bytes->data, append->bytes->len);
        json_array_append_new(records, json_string(encoded));
        g_free(encoded);
    }
    json_t *body = json_object();
    json_object_set_new(body, "records", records);
    return body;
}

static bool
append_batch(struct ms_platform *platform, struct ms_http *http, const GQueue *batch, bool fresh)
{
    long status = 0;
    char *url = g_strdup_printf("%s/log", platform->settings->platform_url);
    ms_http_prepare(http, url, batch_body(batch), (long)platform->settings->append_timeout_ms,
                    fresh);
    json_t *answer = ms_http_run(http, &status);
    ms_counter_add(platform->counters, MS_COUNT_PLATFORM_BYTES, ms_http_bytes(http));
    json_decref(answer);
    g_free(url);
    ms_counter_add(platform->counters, MS_COUNT_APPENDS, 1);
    if (status != 200) {
        ms_counter_add(platform->counters, MS_COUNT_APPENDS_FAILED, 1);
        return false;
    }
    ms_counter_add(platform->counters, MS_COUNT_APPEND_RECORDS,
                   g_queue_get_length((GQueue *)batch));
    return true;
}

/* Appends in batches: while one call is under way the next batch gathers. */
static void *
writer_thread(void *opaque)
{
    struct ms_platform *platform = opaque;
    struct ms_http *http = ms_http_new();
    GQueue *batch = g_queue_new();
    int64_t delay = RETRY_MIN_MS;
    bool failed = false;
    while (!atomic_load(&platform->stopping)) {
        fill_batch(platform, batch);
        drop_expired(batch);
        if (g_queue_is_empty(batch)) {
            ms_ring_wait(platform->appends, IDLE_MS * 10);
            continue;
        }
        if (append_batch(platform, http, batch, failed)) {
            g_queue_clear_full(batch, (GDestroyNotify)append_free);
            delay = RETRY_MIN_MS;
            failed = false;
            continue;
        }
        failed = true;
        g_usleep((gulong)delay * 1000);
        delay = MIN(delay * 2, RETRY_MAX_MS);
    }
    g_queue_free_full(batch, (GDestroyNotify)append_free);
    ms_http_free(http);
    return NULL;
}

struct ms_platform *
ms_platform_start(const struct ms_settings *settings, struct ms_counters *counters,
                  struct ms_ring *node_ring)
{
    struct ms_platform *platform = g_new0(struct ms_platform, 1);
    platform->settings = settings;
    platform->counters = counters;
    platform->node_ring = node_ring;
    platform->appends = ms_ring_new(APPEND_RING_SLOTS);
    if (platform->appends == NULL) {
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
    ms_ring_free(platform->appends);
    g_free(platform);
    return NULL;
}

void
ms_platform_stop(struct ms_platform *platform)
{
    if (platform == NULL) {
        return;
    }
    atomic_store(&platform->stopping, true);
    ms_ring_wake(platform->appends);
    pthread_join(platform->reader, NULL);
    pthread_join(platform->writer, NULL);
    struct append *append = NULL;
    while ((append = ms_ring_pop(platform->appends)) != NULL) {
        append_free(append);
    }
    ms_ring_free(platform->appends);
    g_free(platform);
}

bool
ms_platform_append(struct ms_platform *platform, GByteArray *bytes, int64_t give_up_ms)
{
    struct append *append = g_new0(struct append, 1);
    append->bytes = bytes;
    append->give_up_at = ms_clock_ms() + give_up_ms;
    if (!ms_ring_push(platform->appends, append)) {
        append_free(append);
        return false;
    }
    return true;
}

void
ms_platform_seek(struct ms_platform *platform, uint64_t offset)
{
    atomic_store(&platform->next, offset);
}
