/*
 * job_json.h - JSON of job submissions and outcomes.
 */
#ifndef MS_JOB_JSON_H
#define MS_JOB_JSON_H

#include "caller/call.h"

#define MS_CALL_WAIT_MAX_MS 120000    /* longest wait_ms of one request */
#define MS_CALL_WAIT_DEFAULT_MS 60000 /* wait_ms of a submission that does not set it */

/*
 * Fills CALL, of kind SUBMIT, from the request body TEXT.  Returns MS_E_INVALID
 * with the field and the reason in ERROR, of SIZE bytes, if TEXT is not valid;
 * CALL must then only be freed.
 */
enum ms_result ms_json_parse_job(const char *text, size_t length, struct ms_call *call, char *error,
                                 size_t size);

/* Returns the outcome of the job ID as a JSON object; to be freed with free(). */
char *ms_json_format_outcome(const char *id, const struct ms_call_outcome *outcome);

#endif
