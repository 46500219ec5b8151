/*
 * caller_api.h - port: encoding of the HTTP API that callers use.
 *
 * The adapter in platform/ defines these functions and constants.
 */
#ifndef MS_PORT_CALLER_API_H
#define MS_PORT_CALLER_API_H

#include "batch/job_spec.h"
#include "batch/job_table.h"

extern const char *const ms_api_key_header;     /* request header with the caller's key */
extern const char *const ms_api_timeout_header; /* request header: ms that the caller waits */
extern const char *const ms_api_ready_path;     /* path of the load balancer's readiness probe */

/* The key in the value of the key header, or NULL.  Points into HEADER. */
const char *ms_api_parse_key(const char *header);

/* The value of the key header for KEY; freed with g_free(). */
char *ms_api_format_key(const char *key);

/*
 * Decodes a submitted job, all but its id, queue and account, which are not in
 * the body.  On MS_OK the caller frees SPEC with ms_batch_spec_clear();
 * otherwise ERROR (SIZE bytes) names the field or the position.
 */
enum ms_result ms_api_decode_job(const char *body, size_t length, struct ms_batch_spec *spec,
                                 char *error, size_t size);

/*
 * Encode the JSON body of an answer; freed with free().  STARTED: a task of the job was
 * assigned to a server.  WAITING: the number of waiting jobs of a queue.
 */
char *ms_api_encode_state(enum ms_phase phase, bool started);
char *ms_api_encode_waiting(uint32_t waiting);
char *ms_api_encode_error(const char *error);

#endif
