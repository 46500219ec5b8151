/*
 * log.c - structured logs.
 */
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "obs/log.h"
#include "obs/ring.h"

#define LOG_RING_SLOTS 4096
#define WRITE_INTERVAL_MS 100 /* lines do not wake the thread; it polls the ring */

struct ms_log {
    char host[64];
    struct ms_ring *lines; /* char *; freed by the thread when written */
    struct ms_counters *counters;
    pthread_t thread;
    atomic_bool stopping;
};

static const char *
level_name(GLogLevelFlags level)
{
    switch (level & G_LOG_LEVEL_MASK) {
    case G_LOG_LEVEL_ERROR:
        return "error";
    case G_LOG_LEVEL_CRITICAL:
        return "critical";
    case G_LOG_LEVEL_WARNING:
        return "warning";
    case G_LOG_LEVEL_MESSAGE:
        return "notice";
    case G_LOG_LEVEL_INFO:
        return "info";
    default:
        return "debug";
    }
}

static const char *
field_value(const GLogField *fields, gsize count, const char *key)
{
    for (gsize i = 0; i < count; i++) {
        if (strcmp(fields[i].key, key) == 0) {
            return fields[i].value;
        }
    }
    return "";
}

/* GLogWriterFunc: formats a line and queues it, or writes a fatal one to standard error. */
static GLogWriterOutput
write_line(GLogLevelFlags level, const GLogField *fields, gsize count, gpointer opaque)
{
    struct ms_log *log = opaque;
    struct timespec now;
    struct tm utc;
    char timestamp[32];
    clock_gettime(CLOCK_REALTIME, &now);
    gmtime_r(&now.tv_sec, &utc);
    strftime(timestamp, sizeof(timestamp), "%Y-%m-%dT%H:%M:%S", &utc);
    char *line = g_strdup_printf("time=%s.%03dZ level=%s host=%s %s\n", timestamp,
                                 (int)(now.tv_nsec / 1000000), level_name(level), log->host,
                                 field_value(fields, count, "MESSAGE"));
    if ((level & (G_LOG_LEVEL_ERROR | G_LOG_FLAG_FATAL)) != 0) {
        fputs(line, stderr);
        fflush(stderr);
        g_free(line);
        return G_LOG_WRITER_HANDLED;
    }
    if (!ms_ring_push_no_wake(log->lines, line)) {
        ms_counter_add(log->counters, MS_COUNT_LOG_LINES_LOST, 1);
        g_free(line);
    }
    return G_LOG_WRITER_HANDLED;
}

/* Writes all queued lines. */
static void
write_queued_lines(struct ms_log *log)
{
    char *line = NULL;
    while ((line = ms_ring_pop(log->lines)) != NULL) {
        fputs(line, stdout);
        g_free(line);
    }
    fflush(stdout);
}

static void *
log_thread(void *opaque)
{
    struct ms_log *log = opaque;
    while (!atomic_load(&log->stopping)) {
        ms_ring_wait(log->lines, WRITE_INTERVAL_MS);
        write_queued_lines(log);
    }
    write_queued_lines(log);
    return NULL;
}

struct ms_log *
ms_log_start(const char *host, struct ms_counters *counters)
{
    struct ms_log *log = g_new0(struct ms_log, 1);
    g_strlcpy(log->host, host, sizeof(log->host));
    log->counters = counters;
    log->lines = ms_ring_new(LOG_RING_SLOTS);
    if (log->lines == NULL || pthread_create(&log->thread, NULL, log_thread, log) != 0) {
        ms_ring_free(log->lines);
        g_free(log);
        return NULL;
    }
    g_log_set_writer_func(write_line, log, NULL);
    return log;
}

void
ms_log_stop(struct ms_log *log)
{
    if (log == NULL) {
        return;
    }
    /* GLib can set the writer function only once, so LOG stays in use and is not freed. */
    atomic_store(&log->stopping, true);
    ms_ring_wake(log->lines);
    pthread_join(log->thread, NULL);
    write_queued_lines(log);
}

char *
ms_log_quote(const char *text)
{
    char *escaped = g_strescape(text, NULL);
    char *quoted = g_strdup_printf("\"%s\"", escaped);
    g_free(escaped);
    return quoted;
}
