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
#define REASON_MAX 64    /* bytes of a reason, with its NUL; longer ones are cut */

struct refusal {
    char id[MS_JOB_ID_MAX]; /* "": not in use, or logged */
    unsigned int status;
    char reason[REASON_MAX];
    int64_t refused_at;
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
                    const char *reason, int64_t now)
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
        g_hash_table_insert(refused->by_id, refusal->id, refusal);
    }
    refusal->status = status;
    g_strlcpy(refusal->reason, reason, sizeof(refusal->reason));
    refusal->refused_at = now;
}

void
ms_refused_jobs_stored(struct ms_refused_jobs *refused, const char *id, int64_t now)
{
    struct refusal *refusal = g_hash_table_lookup(refused->by_id, id);
    if (refusal == NULL) {
        return;
    }
    ms_log(MS_LOG_NOTICE,
           "event=refused_job_stored id=%s status=%u reason=\"%s\" refused_ms=%" G_GINT64_FORMAT,
           id, refusal->status, refusal->reason, now - refusal->refused_at);
    forget(refused, refusal);
}
