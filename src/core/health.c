/*
 * health.c - attribution of failures to servers or to jobs.
 *
 * A server on which server_fail_jobs distinct jobs fail with no success in between
 * is quarantined, and later gets one job as a probe.  A job that fails on
 * job_fail_servers distinct servers is at fault itself.  When a server is
 * quarantined, the failures on it no longer count against the jobs that have not
 * ended yet.
 */
#include <string.h>

#include "sched.h"

/* Upper bound of the time in quarantine, which doubles until a task succeeds after it. */
#define QUARANTINE_MAX_MS 600000

/* Whether job ID is in the failure record of SERVER already. */
static bool
failure_recorded(const struct ms_server *server, const char *id)
{
    for (uint32_t i = 0; i < server->failed_job_count; i++) {
        if (strcmp(server->failed_jobs[i], id) == 0) {
            return true;
        }
    }
    return false;
}

/* Whether JOB has failed on SERVER and should be placed on other servers. */
bool
ms_health_job_avoids(const struct ms_job *job, const struct ms_server *server)
{
    for (uint32_t i = 0; i < job->failed_server_count; i++) {
        if (strcmp(job->failed_servers[i], server->name) == 0) {
            return true;
        }
    }
    return false;
}

/* Removes the failure on SERVER from the record of JOB, if there is one. */
static void
retract_failure(struct ms_job *job, const struct ms_server *server)
{
    for (uint32_t i = 0; i < job->failed_server_count; i++) {
        if (strcmp(job->failed_servers[i], server->name) != 0) {
            continue;
        }
        job->failed_server_count--;
        job->failed_attempts -= MIN(job->failed_attempts, 1);
        memmove(job->failed_servers[i], job->failed_servers[job->failed_server_count], MS_NAME_MAX);
        return;
    }
}

/* Removes the failure on SERVER from the record of every job that has not ended. */
static void
retract_failures(struct ms_sched *sched, const struct ms_server *server)
{
    MS_LIST_FOREACH(link, &sched->jobs)
    {
        retract_failure(MS_CONTAINER_OF(link, struct ms_job, link), server);
    }
}

/*
 * Quarantines SERVER, twice as long as the last time if no task has succeeded since,
 * unbinds its cells, cancels reservations and retracts the failures of jobs on it.
 */
static void
quarantine(struct ms_sched *sched, struct ms_server *server)
{
    if (server->quarantine_length_ms == 0) {
        server->quarantine_length_ms = sched->limits.quarantine_ms;
    }
    else {
        server->quarantine_length_ms = MIN(server->quarantine_length_ms * 2, QUARANTINE_MAX_MS);
    }
    server->state = MS_SERVER_QUARANTINED;
    server->probe_at = sched->now + server->quarantine_length_ms;
    server->failed_job_count = 0;
    ms_set_timer(sched, server->probe_at);
    ms_guarantee_unbind_server(sched, server);
    ms_backfill_server_unusable(sched, server);
    sched->cells_dirty = true;
    retract_failures(sched, server);
}

/*
 * Lets JOB use the servers on which it has failed again, if it would not fit on the
 * others.  The number of its attempts stays bounded all the same.
 */
void
ms_health_relax_avoidance(const struct ms_sched *sched, struct ms_job *job)
{
    if (job->failed_server_count > 0 && !ms_job_fits_empty_dc(sched, job, true)) {
        job->failed_server_count = 0;
    }
}

/*
 * Handles the failure of a task of JOB on SERVER, which is PROBING.  Only a job placed
 * in that phase is a probe.  The failure of an earlier one belongs to the cause of the
 * past quarantine, and counts neither against SERVER nor against JOB.
 */
static void
record_failure_while_probing(struct ms_sched *sched, struct ms_server *server, struct ms_job *job)
{
    if (job->placed_at < server->probe_at) {
        retract_failure(job, server);
        ms_set_timer(sched, sched->now); /* the time for an unused probe may have passed */
        return;
    }
    quarantine(sched, server);
}

/* Records the failure of a task of JOB on SERVER; may quarantine SERVER. */
void
ms_health_record_failure(struct ms_sched *sched, struct ms_server *server, struct ms_job *job)
{
    if (!ms_health_job_avoids(job, server) && job->failed_server_count < MS_FAILURE_HISTORY_MAX) {
        g_strlcpy(job->failed_servers[job->failed_server_count], server->name, MS_NAME_MAX);
        job->failed_server_count++;
    }
    if (server->state == MS_SERVER_PROBING) {
        record_failure_while_probing(sched, server, job);
        return;
    }
    if (server->state != MS_SERVER_UP || failure_recorded(server, job->id)) {
        return;
    }
    g_strlcpy(server->failed_jobs[server->failed_job_count], job->id, MS_ID_MAX);
    server->failed_job_count++;
    if (server->failed_job_count >= sched->limits.server_fail_jobs) {
        quarantine(sched, server);
    }
}

/*
 * Records the success of a task on SERVER; ends the probing of SERVER.  Unless SERVER
 * is in quarantine, its next quarantine is as short as the first.
 */
void
ms_health_record_success(struct ms_sched *sched, struct ms_server *server)
{
    server->failed_job_count = 0;
    if (server->state != MS_SERVER_QUARANTINED) {
        server->quarantine_length_ms = 0;
    }
    if (server->state == MS_SERVER_PROBING) {
        server->state = MS_SERVER_UP;
        sched->cells_dirty = true;
        sched->queue_dirty = true;
    }
}

/*
 * Returns a server to service without a probe, if no suitable job came for
 * quarantine_length_ms.  Does nothing while a task is charged to it.
 */
static void
end_unused_probe(struct ms_sched *sched, struct ms_server *server)
{
    if (!ms_list_is_empty(&server->tasks)) {
        return;
    }
    if (sched->now < server->probe_at + server->quarantine_length_ms) {
        ms_set_timer(sched, server->probe_at + server->quarantine_length_ms);
        return;
    }
    server->state = MS_SERVER_UP;
    sched->cells_dirty = true;
    sched->queue_dirty = true;
}

/* Runs the quarantine and probe timers of SERVER. */
void
ms_health_run_timers(struct ms_sched *sched, struct ms_server *server)
{
    if (server->state == MS_SERVER_PROBING) {
        end_unused_probe(sched, server);
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
    ms_set_timer(sched, server->probe_at + server->quarantine_length_ms);
    sched->queue_dirty = true;
}

/*
 * Whether JOB may be the probe of SERVER, which runs one probe at a time.  JOB must
 * be preemptible, so that it can run again, and must not have failed before, as
 * another failure would not show that the server is at fault.
 */
bool
ms_health_may_probe(const struct ms_server *server, const struct ms_job *job)
{
    return ms_list_is_empty(&server->tasks) && job->failed_attempts_total == 0 &&
           ms_job_preemptible(job);
}
