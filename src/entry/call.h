/*
 * call.h - one HTTP request of a caller, as the HTTP thread passes it to the
 * decision thread and gets it back with the answer.
 */
#ifndef MS_ENTRY_CALL_H
#define MS_ENTRY_CALL_H

#include <microhttpd.h>

#include "batch/job_spec.h"

enum ms_entry_method { MS_METHOD_GET = 0, MS_METHOD_POST, MS_METHOD_DELETE, MS_METHOD_OTHER };

struct ms_forward;
struct exchange;

/* Times are of ms_clock_boot_ms(). */
struct ms_entry_call {
    enum ms_entry_method method;
    char *host;                /* Host header, "" without one */
    char *path;                /* of the URL */
    char *key;                 /* API key, NULL when none was given */
    int64_t timeout_ms;        /* how long the caller waits for the answer */
    struct ms_batch_spec spec; /* POST: the decoded body */
    char error[MS_DETAIL_MAX]; /* POST: why the job is invalid, or "" */
    int64_t arrived_at;
    int64_t deadline_at;         /* the latest time to send the answer */
    int64_t refresh_deadline_at; /* end of the wait for a read of the log; 0: has not waited */
    const GByteArray *raw_body;  /* request body as received; owned by the HTTP thread */
    bool from_peer;              /* forwarded by another entry host */
    uint64_t min_config_version; /* FROM_PEER: configuration version of that host */
    uint32_t forward_count;      /* number of hosts that it was forwarded to */
    bool may_have_run;           /* an attempt had no answer, so it may have been carried out */
    struct ms_forward *forward;  /* the forwarding under way, or NULL */
    /* The answer. */
    unsigned int status; /* HTTP status */
    char *response_body; /* JSON, freed with free(); NULL for a default body */
    const char *reason; /* for the log and, on an error without a body, for the caller; not owned */
    struct MHD_Connection *connection; /* where the answer is sent; suspended until then */
    struct exchange *exchange;         /* of the HTTP thread, which owns it */
};

/* Frees CALL with all that it owns; NULL is ignored. */
void ms_entry_call_free(struct ms_entry_call *call);

/*
 * Returns CALL, with its answer filled in, to the HTTP thread, which sends the answer
 * and frees CALL.
 */
void ms_entry_call_answer(struct ms_entry_call *call);

#endif
