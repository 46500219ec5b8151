/*
 * parse.h - the JSON body of a submission.
 */
#ifndef MS_PARSE_H
#define MS_PARSE_H

#include "caller/call.h"

#define MS_WAIT_MAX_MS 120000 /* longest wait of one call for an outcome */
#define MS_WAIT_DEFAULT_MS 60000

/*
 * Fills CALL (kind SUBMIT) from the body TEXT.  On MS_E_INVALID ERROR names
 * the field, and nothing else in CALL counts.
 */
enum ms_result ms_parse_submit(const char *text, size_t length, struct ms_call *call, char *error,
                               size_t size);

/* The JSON text of a job's outcome; freed with free(). */
char *ms_outcome_json(const char *id, const struct ms_call_outcome *outcome);

#endif
