/*
 * call.h - one request of a caller or an operator, on its way to the node and
 * back.
 *
 * The HTTP thread creates a call, pushes it to the node and suspends its
 * connection.  The node fills in the reply and hands the call back with
 * ms_call_answer(); from then on it belongs to the HTTP thread again.
 */
#ifndef MS_CALL_H
#define MS_CALL_H

#include <glib.h>

#include "mustardspread/mustardspread.h"

#define MS_TRACE_PARENT_MAX 64 /* bytes of a W3C traceparent value */

enum ms_call_kind {
    MS_CALL_SUBMIT = 0,  /* .spec, .payload, .wait_ms, .start_within_ms */
    MS_CALL_JOB,         /* .id, .wait_ms: outcome or state of a job */
    MS_CALL_CANCEL,      /* .id */
    MS_CALL_EXPLAIN,     /* .id */
    MS_CALL_RULES_APPLY, /* .text, .replace_all, .check_only */
    MS_CALL_RULES_SHOW,
    MS_CALL_RULES_HISTORY,
    MS_CALL_RULES_RELAY, /* .text: a copy of the state from another host */
    MS_CALL_STATE_COPY,  /* the packed state, base64 */
    MS_CALL_STATUS,
    MS_CALL_READY,
};

/* The outcome of a job, as told to a caller. */
struct ms_call_outcome {
    bool pending; /* no outcome yet; the rest is not set but detail */
    enum ms_outcome_code code;
    enum ms_ran ran;
    char detail[MS_DETAIL_MAX];
    char dc[MS_NAME_MAX];
    char server[MS_NAME_MAX];
    int64_t queued_ms;
    int64_t ran_ms;
    int64_t retry_after_ms; /* 0: no advice */
    GBytes *output;         /* NULL when there is none */
};

struct ms_call {
    enum ms_call_kind kind;
    void *connection;        /* struct MHD_Connection */
    struct ms_job_spec spec; /* payload points into `payload` */
    GBytes *payload;
    char id[MS_ID_MAX];
    char trace_parent[MS_TRACE_PARENT_MAX];
    int64_t start_within_ms; /* 0: no limit */
    int64_t wait_ms;
    char *text;
    bool replace_all; /* the rules not in the text are removed */
    bool check_only;

    /* Set by the node. */
    int64_t arrived_at;             /* milliseconds of the node's clock */
    int64_t answer_by;              /* when to answer "pending" */
    unsigned int status;            /* HTTP status */
    struct ms_call_outcome outcome; /* SUBMIT, JOB, CANCEL */
    char *json;                     /* reply body of all other kinds */
};

struct ms_call *ms_call_new(enum ms_call_kind kind);
void ms_call_free(struct ms_call *call);

/* Hands CALL back to the HTTP thread, which sends the reply. */
void ms_call_answer(struct ms_call *call);

#endif
