/*
 * health.c - tells servers that fail everything from jobs that fail anywhere.
 *
 * A server on which distinct jobs fail in a row, with no success between, is
 * quarantined and later given one task as a probe.  A job that fails on
 * distinct servers is at fault itself.  Quarantine takes the failures seen on
 * that server back from the jobs that are still here.
 */
#include <string.h>

#include "sched.h"

#define QUARANTINE_MAX_MS 600000

static bool
remembers_job(const struct ms_server *server, const char *id)
{
    for (uint32_t i = 0; i < server->failed_count; i++) {
        if (strcmp(server->failed_jobs[i], id) == 0) {
            return true;
        }
    }
    return false;
}

/* Whether JOB failed on SERVER before and should go elsewhere. */
bool
ms_health_avoids(const struct ms_job *job, const struct ms_server *server)
{
    for (uint32_t i = 0; i < job->failed_count; i++) {
        if (strcmp(job->failed_servers[i], server->name) == 0) {
            return true;
        }
    }
    return false;
}

/* Takes the failure on SERVER back from every job that remembers it. */
static void
forgive_jobs(struct ms_sched *sched, const struct ms_server *server)
{
    MS_LIST_EACH(link, &sched->jobs)
    {
        struct ms_job *job = MS_CONTAINER(link, struct ms_job, link);
        for (uint32_t i = 0; i < job->failed_count; i++) {
            if (strcmp(job->failed_servers[i], server->name) != 0) {
                continue;
            }
            job->failed_count--;
            job->failures -= MIN(job->failures, 1);
            memmove(job->failed_servers[i], job->failed_servers[job->failed_count], MS_NAME_MAX);
            break;
        }
    }
}

static void
quarantine(struct ms_sched *sched, struct ms_server *server)
{
    if (server->quarantine_ms == 0) {
        server->quarantine_ms = sched->limits.quarantine_ms;
    }
    else {
        server->quarantine_ms = MIN(server->quarantine_ms * 2, QUARANTINE_MAX_MS);
    }
    server->state = MS_SERVER_QUARANTINED;
    server->probe_at = sched->now + server->quarantine_ms;
    server->failed_count = 0;
    ms_set_timer(sched, server->probe_at);
    ms_guarantee_unbind_server(sched, server);
    sched->cells_dirty = true;
    forgive_jobs(sched, server);
}

/*
 * Avoiding servers is a preference: a job that would not fit without them may
 * use them again.  Its number of attempts stays bounded.
 */
void
ms_health_relax(const struct ms_sched *sched, struct ms_job *job)
{
    if (job->failed_count > 0 && !ms_job_could_ever_fit(sched, job, true)) {
        job->failed_count = 0;
    }
}

void
ms_health_failed(struct ms_sched *sched, struct ms_server *server, struct ms_job *job)
{
    if (!ms_health_avoids(job, server) && job->failed_count < MS_FAIL_MEMORY) {
        g_strlcpy(job->failed_servers[job->failed_count], server->name, MS_NAME_MAX);
        job->failed_count++;
    }
    if (server->state == MS_SERVER_PROBING) {
        quarantine(sched, server);
        return;
    }
    if (server->state != MS_SERVER_UP || remembers_job(server, job->id)) {
        return;
    }
    g_strlcpy(server->failed_jobs[server->failed_count], job->id, MS_ID_MAX);
    server->failed_count++;
    if (server->failed_count >= sched->limits.server_fail_jobs) {
        quarantine(sched, server);
    }
}

void
ms_health_succeeded(struct ms_sched *sched, struct ms_server *server)
{
    server->failed_count = 0;
    if (server->state == MS_SERVER_PROBING) {
        server->state = MS_SERVER_UP;
        server->quarantine_ms = 0;
        sched->cells_dirty = true;
        sched->dirty = true;
    }
}

/* No job came to probe the server for long: it counts as well again. */
static void
end_probation(struct ms_sched *sched, struct ms_server *server)
{
    if (!ms_list_empty(&server->tasks)) {
        return;
    }
    if (sched->now < server->probe_at + server->quarantine_ms) {
        ms_set_timer(sched, server->probe_at + server->quarantine_ms);
        return;
    }
    server->state = MS_SERVER_UP;
    sched->cells_dirty = true;
    sched->dirty = true;
}

void
ms_health_tick(struct ms_sched *sched, struct ms_server *server)
{
    if (server->state == MS_SERVER_PROBING) {
        end_probation(sched, server);
        return;
    }
    if (server->state != MS_SERVER_QUARANTINED) {
        return;
    }
    if (server->probe_at > sched->now) {
        ms_set_timer(sched, server->probe_at);
        return;
    }
    server->state = MS_SERVER_PROBING;
    ms_set_timer(sched, server->probe_at + server->quarantine_ms);
    sched->dirty = true;
}

/*
 * Whether JOB may be the probe of SERVER: work that can be run again, and that
 * has not failed elsewhere, as its failure would prove nothing.
 */
bool
ms_health_probe_suits(const struct ms_server *server, const struct ms_job *job)
{
    return ms_list_empty(&server->tasks) && job->failures_total == 0 && ms_job_stoppable(job);
}
