/*
 * call.h - an HTTP request of a caller or operator to mustardspreadd, and the
 * node's reply to it.
 *
 * The HTTP thread creates a call, suspends its connection and pushes the call
 * to the node, which then owns it.  The node fills in the reply and returns
 * the call with ms_call_complete(); from then on the HTTP thread owns it again.
 */
#ifndef MS_CALL_H
#define MS_CALL_H

#include <glib.h>

#include "mustardspread/mustardspread.h"

#define MS_TRACE_PARENT_MAX 64 /* bytes of a W3C traceparent value */

/* Kinds of calls, with the fields of struct ms_call that each one sets. */
enum ms_call_kind {
    MS_CALL_SUBMIT = 0,  /* .spec, .payload, .wait_ms, .start_within_ms */
    MS_CALL_JOB_STATUS,  /* .id, .wait_ms: outcome of a job, or that it is pending */
    MS_CALL_CANCEL,      /* .id, .wait_ms: as JOB_STATUS, after cancelling the job */
    MS_CALL_EXPLAIN,     /* .id */
    MS_CALL_RULES_APPLY, /* .request_body, .replace_all, .check_only */
    MS_CALL_RULES_SHOW,
    MS_CALL_RULES_HISTORY,
    MS_CALL_STATE_RESTORE, /* .request_body: a state copied from another host, to be restored */
    MS_CALL_STATE_SAVE,    /* replies with the packed state, in base64 */
    MS_CALL_STATUS,
    MS_CALL_READINESS,
};

/* The outcome of a job, as reported to a caller. */
struct ms_call_outcome {
    bool pending; /* no outcome yet; of the other fields only detail is set */
    enum ms_outcome_code code;
    enum ms_ran ran;
    char detail[MS_DETAIL_MAX];
    char dc[MS_NAME_MAX];
    char server[MS_NAME_MAX];
    int64_t queued_ms;      /* from submission to the last start, or to the end if it had none */
    int64_t ran_ms;         /* from the last start to the end */
    int64_t retry_after_ms; /* time after which the caller may retry, 0: not given */
    GBytes *output;         /* NULL if there is none */
};

struct ms_call {
    enum ms_call_kind kind;
    void *connection;                       /* struct MHD_Connection */
    struct ms_job_spec spec;                /* SUBMIT; spec.payload points into `payload` */
    GBytes *payload;                        /* NULL if there is none */
    char id[MS_ID_MAX];                     /* "account/key" of the job */
    char trace_parent[MS_TRACE_PARENT_MAX]; /* SUBMIT: traceparent header, "" if none */
    int64_t start_within_ms;                /* latest start after arrival, 0: no limit */
    int64_t wait_ms;    /* how long to wait for the outcome before "pending" is sent */
    char *request_body; /* RULES_APPLY, STATE_RESTORE; owned */
    bool replace_all;   /* RULES_APPLY: rules that are not in request_body are removed */
    bool check_only;    /* RULES_APPLY: request_body is checked, no rule is changed */

    /* Set by the node. */
    int64_t arrived_at;       /* milliseconds of the node's clock */
    int64_t deadline_at;      /* node's clock; "pending" is sent if there is no outcome by then */
    unsigned int http_status; /* of the reply */
    struct ms_call_outcome outcome; /* SUBMIT, JOB_STATUS, CANCEL */
    char *response_body;            /* of all other kinds; freed with free() */
};

/* Creates a call with all other fields zero; to be freed with ms_call_free(). */
struct ms_call *ms_call_new(enum ms_call_kind kind);

/* Frees CALL and everything it owns.  NULL is allowed. */
void ms_call_free(struct ms_call *call);

/* Returns CALL to the HTTP thread, which sends the reply.  The node must not use it afterwards. */
void ms_call_complete(struct ms_call *call);

#endif
