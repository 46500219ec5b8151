/*
 * refused_jobs.h - the jobs whose submission this host has refused a short time ago.
 *
 * A refused job must not run, unless another submission of it was accepted.  A host that
 * reads the record of a job that it has refused logs this, and whether the record is one that it
 * had appended for a refused submission itself: then the refusal was wrong.
 */
#ifndef MS_ENTRY_REFUSED_JOBS_H
#define MS_ENTRY_REFUSED_JOBS_H

#include <stdbool.h>
#include <stdint.h>

struct ms_refused_jobs;

struct ms_refused_jobs *ms_refused_jobs_new(void);
void ms_refused_jobs_free(struct ms_refused_jobs *refused);

/*
 * Notes that job ID was refused at NOW with the HTTP status STATUS for REASON.  ACCEPTED_MS is
 * that of the record which was to be appended for this submission, 0: none.  Only the newest
 * refusals are kept, a few hundred.
 */
void ms_refused_jobs_add(struct ms_refused_jobs *refused, const char *id, unsigned int status,
                         const char *reason, int64_t accepted_ms, int64_t now);

/*
 * Job ID was read from the log at NOW, in a record with ACCEPTED_MS: logs it, once, if the job
 * was refused.
 */
void ms_refused_jobs_stored(struct ms_refused_jobs *refused, const char *id, int64_t accepted_ms,
                            int64_t now);

#endif
