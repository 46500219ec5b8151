/*
 * span.h - traces: one span for each hop of a job.
 *
 * Identifiers follow the W3C traceparent header.  A span is logged as one line
 * and kept in memory for `explain`, up to a bound.
 */
#ifndef MS_SPAN_H
#define MS_SPAN_H

#include <glib.h>

#include "mustardspread/mustardspread.h"

#define MS_SPANS_KEPT 4096
#define MS_TRACE_ID_SIZE 33 /* 32 hexadecimal digits and a NUL */
#define MS_SPAN_ID_SIZE 17

struct ms_span {
    char job[MS_ID_MAX];
    char trace[MS_TRACE_ID_SIZE];
    char span[MS_SPAN_ID_SIZE];
    char parent[MS_SPAN_ID_SIZE]; /* "" for the first */
    const char *name;             /* static text */
    char note[MS_DETAIL_MAX];
    int64_t start_ms; /* wall clock, milliseconds since 1970 */
    int64_t duration_ms;
};

struct ms_spans;

struct ms_spans *ms_spans_new(void);
void ms_spans_free(struct ms_spans *spans);

/*
 * Starts a span of JOB.  TRACE_PARENT is the caller's header value; when it is
 * empty or malformed a new trace begins.
 */
void ms_span_begin(struct ms_span *span, const char *job, const char *name,
                   const char *trace_parent);

/* Ends SPAN: logs it and keeps a copy. */
void ms_span_end(struct ms_spans *spans, struct ms_span *span, const char *note);

/* The header value for what SPAN calls; TEXT has 64 bytes or more. */
void ms_span_header(const struct ms_span *span, char *text, size_t size);

/* Appends the spans of JOB to TEXT, one line each. */
void ms_spans_describe(const struct ms_spans *spans, const char *job, GString *text);

#endif
