/*
 * span.h - distributed tracing: one span for each operation on a job at a host.
 *
 * Identifiers have the form of the W3C traceparent header.  A span is logged as
 * one line when it ends; the newest MS_SPANS_MAX are kept in memory for
 * `explain`.
 */
#ifndef MS_SPAN_H
#define MS_SPAN_H

#include <glib.h>

#include "mustardspread/mustardspread.h"

#define MS_SPANS_MAX 4096
#define MS_TRACE_ID_SIZE 33 /* 32 hexadecimal digits and a NUL */
#define MS_SPAN_ID_SIZE 17  /* 16 hexadecimal digits and a NUL */

struct ms_span {
    char job_id[MS_ID_MAX];
    char trace_id[MS_TRACE_ID_SIZE];
    char span_id[MS_SPAN_ID_SIZE];
    char parent_span_id[MS_SPAN_ID_SIZE]; /* "" for the first span of a trace */
    const char *name;                     /* of the operation; static string */
    char note[MS_DETAIL_MAX];             /* how it ended, "" before */
    int64_t start_ms;                     /* Unix milliseconds */
    int64_t duration_ms;
};

/* The spans that are kept in memory. */
struct ms_spans;

struct ms_spans *ms_spans_new(void);
void ms_spans_free(struct ms_spans *spans);

/*
 * Starts a span of the job with the id JOB.  TRACE_PARENT is the traceparent
 * header of the caller; if it is NULL or malformed, the span starts a new trace.
 * NAME is not copied.
 */
void ms_span_begin(struct ms_span *span, const char *job, const char *name,
                   const char *trace_parent);

/* Ends SPAN, logs it and keeps a copy in SPANS. */
void ms_span_end(struct ms_spans *spans, struct ms_span *span, const char *note);

/* Writes the traceparent header for calls made within SPAN; TEXT has at least 64 bytes. */
void ms_span_format_traceparent(const struct ms_span *span, char *text, size_t size);

/* Appends the kept spans of the job with the id JOB to TEXT, one line each. */
void ms_spans_append_text(const struct ms_spans *spans, const char *job, GString *text);

#endif
