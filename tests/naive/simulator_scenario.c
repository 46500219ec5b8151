/*
 * simulator_scenario.c - schedules the scenario of a simulation and reads its results.
 */
#include <string.h>

#include "naive/simulator_private.h"

struct sim_job *
sim_submit_job(struct simulator *sim, int64_t at, unsigned int dc, const struct ms_job_spec *spec,
               int64_t run_time_ms)
{
    struct sim_job *job = g_new0(struct sim_job, 1);
    job->spec = *spec;
    g_snprintf(job->id, sizeof(job->id), "%s/%s", spec->account, spec->key);
    job->run_time_ms = run_time_ms;
    job->dc = dc;
    job->submitted_at = INT64_MAX;
    job->started_at = -1;
    job->ended_at = -1;
    job->partial_since = -1;
    job->token_dc = -1;
    g_ptr_array_add(sim->jobs, job);
    g_hash_table_insert(sim->jobs_by_id, job->id, job);
    sim_schedule(sim, at, EVENT_SUBMIT, 0, 0)->job = job;
    return job;
}

void
sim_cancel_job(struct simulator *sim, int64_t at, const char *id)
{
    sim_schedule(sim, at, EVENT_CANCEL, 0, 0)->job = sim_find_job(sim, id);
}

void
sim_set_rule(struct simulator *sim, int64_t at, const struct ms_rule *rule)
{
    struct ms_event message = {.kind = MS_EVENT_RULE, .rule = *rule};
    sim_schedule(sim, at, EVENT_RULE, 0, 0)->message = sim_copy_message(&message);
}

void
sim_disconnect_server(struct simulator *sim, int64_t at, int64_t until, unsigned int dc,
                      unsigned int server)
{
    sim_schedule(sim, at, EVENT_DISCONNECT, dc, server);
    sim_schedule(sim, until, EVENT_RECONNECT, dc, server);
}

void
sim_restart_server(struct simulator *sim, int64_t at, unsigned int dc, unsigned int server)
{
    sim_schedule(sim, at, EVENT_SERVER_RESTART, dc, server);
}

void
sim_fail_tasks(struct simulator *sim, int64_t at, int64_t until, unsigned int dc,
               unsigned int server)
{
    sim_schedule(sim, at, EVENT_TASKS_FAIL, dc, server);
    sim_schedule(sim, until, EVENT_TASKS_RECOVER, dc, server);
}

void
sim_log_outage(struct simulator *sim, int64_t at, int64_t until)
{
    sim_schedule(sim, at, EVENT_LOG_OUTAGE, 0, 0);
    sim_schedule(sim, until, EVENT_LOG_RECOVERY, 0, 0);
}

void
sim_change_leader(struct simulator *sim, int64_t at, unsigned int dc)
{
    sim_schedule(sim, at, EVENT_LEADER_CHANGE, dc, 0);
}

void
sim_server_leaving(struct simulator *sim, int64_t at, unsigned int dc, unsigned int server)
{
    sim_schedule(sim, at, EVENT_SERVER_LEAVING, dc, server);
}

void
sim_dc_outage(struct simulator *sim, int64_t at, int64_t until, unsigned int dc, int64_t grace_ms)
{
    struct ms_rule rule = {.kind = MS_RULE_DC, .out_of_service = true};
    g_strlcpy(rule.name, sim->dcs[dc].name, MS_NAME_MAX);
    sim_set_rule(sim, at, &rule);
    for (unsigned int s = 0; s < sim->options.servers_per_dc && at + grace_ms < until - 1; s++) {
        sim_disconnect_server(sim, at + grace_ms, until - 1, dc, s);
    }
    rule.out_of_service = false;
    sim_set_rule(sim, until, &rule);
}

const char *
sim_violation(const struct simulator *sim)
{
    return sim->violation[0] != '\0' ? sim->violation : NULL;
}

uint64_t
sim_event_count(const struct simulator *sim)
{
    return sim->handled_count;
}

GPtrArray *
sim_jobs(const struct simulator *sim)
{
    return sim->jobs;
}

/* Accelerator-milliseconds of PERIOD between FROM and TO. */
static double
overlap_accel_ms(int64_t from, int64_t to, const struct useful_period *period)
{
    int64_t overlap_from = MAX(from, period->from);
    int64_t overlap_to = MIN(to, period->to);
    return overlap_to > overlap_from ? (double)(overlap_to - overlap_from) * period->accels : 0;
}

double
sim_useful_accel_ms(const struct simulator *sim, int64_t from, int64_t to)
{
    double accel_ms = 0;
    for (guint i = 0; i < sim->useful_periods->len; i++) {
        accel_ms += overlap_accel_ms(from, to,
                                     &g_array_index(sim->useful_periods, struct useful_period, i));
    }
    return accel_ms;
}

double
sim_mean_fragmentation(const struct simulator *sim)
{
    return sim->fragmentation_sample_count > 0
               ? sim->fragmentation_sum / (double)sim->fragmentation_sample_count
               : 0;
}

static gint
compare_floats(gconstpointer a, gconstpointer b)
{
    float first = *(const float *)a;
    float second = *(const float *)b;
    return (first > second) - (first < second);
}

void
sim_step_times(const struct simulator *sim, size_t *count, double *p99, double *max)
{
    GArray *sorted = g_array_copy(sim->step_times_us);
    g_array_sort(sorted, compare_floats);
    *count = sorted->len;
    *p99 = sorted->len > 0 ? g_array_index(sorted, float, (guint)((double)sorted->len * 0.99)) : 0;
    *max = sorted->len > 0 ? g_array_index(sorted, float, sorted->len - 1) : 0;
    g_array_free(sorted, TRUE);
}

void
sim_explain(const struct simulator *sim, const struct sim_job *job, char *text, size_t size)
{
    const struct dc *dc = &sim->dcs[job->dc];
    if (dc->core == NULL || ms_sched_explain(dc->core, job->id, text, size) != MS_OK) {
        g_strlcpy(text, "the scheduler does not know it", size);
    }
}
