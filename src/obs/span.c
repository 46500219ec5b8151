/*
 * span.c - distributed tracing: one span for each operation on a job at a host.
 */
#include <stdio.h>
#include <string.h>

#include "obs/log.h"
#include "obs/span.h"

struct ms_spans {
    GQueue *recent; /* struct ms_span, oldest first */
};

struct ms_spans *
ms_spans_new(void)
{
    struct ms_spans *spans = g_new0(struct ms_spans, 1);
    spans->recent = g_queue_new();
    return spans;
}

void
ms_spans_free(struct ms_spans *spans)
{
    g_queue_free_full(spans->recent, g_free);
    g_free(spans);
}

/* Writes DIGITS random hexadecimal digits, a multiple of 8, and a NUL. */
static void
random_hex(char *text, size_t digits)
{
    for (size_t i = 0; i < digits; i += 8) {
        snprintf(text + i, 9, "%08x", g_random_int());
    }
}

/* Whether TEXT is a traceparent: 2, 32, 16 and 2 hexadecimal digits joined by "-". */
static bool
valid_traceparent(const char *text)
{
    static const char pattern[] = "hh-hhhhhhhhhhhhhhhhhhhhhhhhhhhhhhhh-hhhhhhhhhhhhhhhh-hh";
    if (strlen(text) != sizeof(pattern) - 1) {
        return false;
    }
    for (size_t i = 0; pattern[i] != '\0'; i++) {
        bool valid = pattern[i] == 'h' ? g_ascii_isxdigit(text[i]) : text[i] == '-';
        if (!valid) {
            return false;
        }
    }
    return true;
}

void
ms_span_begin(struct ms_span *span, const char *job, const char *name, const char *trace_parent)
{
    memset(span, 0, sizeof(*span));
    g_strlcpy(span->job_id, job, sizeof(span->job_id));
    span->name = name;
    span->start_ms = g_get_real_time() / 1000;
    random_hex(span->span_id, 16);
    if (trace_parent != NULL && valid_traceparent(trace_parent)) {
        memcpy(span->trace_id, trace_parent + 3, 32);
        memcpy(span->parent_span_id, trace_parent + 36, 16);
        return;
    }
    random_hex(span->trace_id, 32);
}

void
ms_span_end(struct ms_spans *spans, struct ms_span *span, const char *note)
{
    span->duration_ms = g_get_real_time() / 1000 - span->start_ms;
    g_strlcpy(span->note, note, sizeof(span->note));
    char *quoted = ms_log_quote(span->note);
    ms_log(MS_LOG_INFO,
           "event=span name=%s job=%s trace=%s span=%s parent=%s duration_ms=%" G_GINT64_FORMAT
           " note=%s",
           span->name, span->job_id, span->trace_id, span->span_id, span->parent_span_id,
           span->duration_ms, quoted);
    g_free(quoted);
    g_queue_push_tail(spans->recent, g_memdup2(span, sizeof(*span)));
    if (g_queue_get_length(spans->recent) > MS_SPANS_MAX) {
        g_free(g_queue_pop_head(spans->recent));
    }
}

void
ms_span_format_traceparent(const struct ms_span *span, char *text, size_t size)
{
    snprintf(text, size, "00-%s-%s-01", span->trace_id, span->span_id);
}

void
ms_spans_append_text(const struct ms_spans *spans, const char *job, GString *text)
{
    for (GList *node = spans->recent->head; node != NULL; node = node->next) {
        const struct ms_span *span = node->data;
        if (strcmp(span->job_id, job) != 0) {
            continue;
        }
        g_string_append_printf(
            text,
            "span %s start=%" G_GINT64_FORMAT " duration_ms=%" G_GINT64_FORMAT " trace=%s: %s\n",
            span->name, span->start_ms, span->duration_ms, span->trace_id, span->note);
    }
}
