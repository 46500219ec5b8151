/*
 * refused_jobs.c - the jobs whose submission this host has refused a short time ago.
 *
 * A ring of the newest refusals, and an index of it by job.
 */
#include <string.h>

#include <glib.h>

#include "batch/job_spec.h"
#include "entry/refused_jobs.h"
#include "obs/log.h"

#define REFUSALS_MAX 512 /* refusals that are kept */
#define RECORDS_MAX 8    /* records of refused submissions that are kept for each job */
#define REASON_MAX 64    /* bytes of a reason, with its NUL; longer ones are cut */

struct refusal {
    char id[MS_JOB_ID_MAX]; /* "": not in use, or logged */
    unsigned int status;
    char reason[REASON_MAX];
    int64_t refused_at;
    int64_t accepted_ms[RECORDS_MAX]; /* of the records of refused submissions; 0: not in use */
    size_t next_record;               /* index in accepted_ms to replace next */
};

struct ms_refused_jobs {
    struct refusal ring[REFUSALS_MAX];
    size_t next;       /* index of the refusal to replace next */
    GHashTable *by_id; /* id -> refusal in the ring */
};

struct ms_refused_jobs *
ms_refused_jobs_new(void)
{
    struct ms_refused_jobs *refused = g_new0(struct ms_refused_jobs, 1);
    refused->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    return refused;
}

void
ms_refused_jobs_free(struct ms_refused_jobs *refused)
{
    if (refused != NULL) {
        g_hash_table_destroy(refused->by_id);
        g_free(refused);
    }
}

static void
forget(struct ms_refused_jobs *refused, struct refusal *refusal)
{
    if (refusal->id[0] != '\0') {
        g_hash_table_remove(refused->by_id, refusal->id);
        refusal->id[0] = '\0';
    }
}

void
ms_refused_jobs_add(struct ms_refused_jobs *refused, const char *id, unsigned int status,
                    const char *reason, int64_t accepted_ms, int64_t now)
{
    struct refusal *refusal = g_hash_table_lookup(refused->by_id, id);
    if (id[0] == '\0' || strlen(id) >= sizeof(refusal->id)) {
        return; /* no job can have such an id */
    }
    if (refusal == NULL) {
        refusal = &refused->ring[refused->next];
        refused->next = (refused->next + 1) % REFUSALS_MAX;
        forget(refused, refusal);
        g_strlcpy(refusal->id, id, sizeof(refusal->id));
        memset(refusal->accepted_ms, 0, sizeof(refusal->accepted_ms));
        refusal->next_record = 0;
        g_hash_table_insert(refused->by_id, refusal->id, refusal);
    }
    refusal->status = status;
    g_strlcpy(refusal->reason, reason, sizeof(refusal->reason));
    refusal->refused_at = now;
    if (accepted_ms != 0) {
        refusal->accepted_ms[refusal->next_record] = accepted_ms;
        refusal->next_record = (refusal->next_record + 1) % RECORDS_MAX;
    }
}

/* Whether the record with ACCEPTED_MS is one of a submission that REFUSAL stands for. */
static bool
is_own_record(const struct refusal *refusal, int64_t accepted_ms)
{
    for (size_t i = 0; i < RECORDS_MAX; i++) {
        if (accepted_ms != 0 && refusal->accepted_ms[i] == accepted_ms) {
            return true;
        }
    }
    return false;
}

void
ms_refused_jobs_stored(struct ms_refused_jobs *refused, const char *id, int64_t accepted_ms,
                       int64_t now)
{
    struct refusal *refusal = g_hash_table_lookup(refused->by_id, id);
    if (refusal == NULL) {
        return;
    }
    ms_log(MS_LOG_NOTICE,
           "event=refused_job_stored id=%s status=%u reason=\"%s\" refused_ms=%" G_GINT64_FORMAT
           " record=%s",
           id, refusal->status, refusal->reason, now - refusal->refused_at,
           is_own_record(refusal, accepted_ms) ? "own" : "other");
    forget(refused, refusal);
}
