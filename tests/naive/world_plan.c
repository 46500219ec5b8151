/*
 * world_plan.c - what is to happen in a world, and what came of it.
 */
#include <string.h>

#include "naive/world_private.h"

struct world_job *
world_submit(struct world *world, int64_t at, unsigned int dc, const struct ms_job_spec *spec,
             int64_t run_ms)
{
    struct world_job *job = g_new0(struct world_job, 1);
    job->spec = *spec;
    g_snprintf(job->id, sizeof(job->id), "%s/%s", spec->account, spec->key);
    job->run_ms = run_ms;
    job->dc = dc;
    job->submitted_at = INT64_MAX;
    job->started_at = -1;
    job->ended_at = -1;
    job->partial_since = -1;
    job->token_dc = -1;
    g_ptr_array_add(world->jobs, job);
    g_hash_table_insert(world->job_index, job->id, job);
    world_schedule(world, at, SUBMIT, 0, 0)->job = job;
    return job;
}

void
world_cancel(struct world *world, int64_t at, const char *id)
{
    world_schedule(world, at, CANCEL, 0, 0)->job = world_job_of(world, id);
}

void
world_rule(struct world *world, int64_t at, const struct ms_rule *parsed)
{
    struct ms_event message = {.kind = MS_EVENT_RULE, .rule = *parsed};
    world_schedule(world, at, RULE, 0, 0)->message = world_message_copy(&message);
}

void
world_cut(struct world *world, int64_t at, int64_t until, unsigned int dc, unsigned int server)
{
    world_schedule(world, at, CUT, dc, server);
    world_schedule(world, until, UNCUT, dc, server);
}

void
world_restart(struct world *world, int64_t at, unsigned int dc, unsigned int server)
{
    world_schedule(world, at, RESTART, dc, server);
}

void
world_fail_tasks(struct world *world, int64_t at, int64_t until, unsigned int dc,
                 unsigned int server)
{
    world_schedule(world, at, FAILS, dc, server);
    world_schedule(world, until, WORKS, dc, server);
}

void
world_log_outage(struct world *world, int64_t at, int64_t until)
{
    world_schedule(world, at, OUTAGE, 0, 0);
    world_schedule(world, until, NO_OUTAGE, 0, 0);
}

void
world_takeover(struct world *world, int64_t at, unsigned int dc)
{
    world_schedule(world, at, TAKEOVER, dc, 0);
}

void
world_leave(struct world *world, int64_t at, unsigned int dc, unsigned int server)
{
    world_schedule(world, at, LEAVE, dc, server);
}

void
world_dc_away(struct world *world, int64_t at, int64_t until, unsigned int dc, int64_t grace_ms)
{
    struct ms_rule parsed = {.kind = MS_RULE_DC, .out_of_service = true};
    g_strlcpy(parsed.name, world->dcs[dc].name, MS_NAME_MAX);
    world_rule(world, at, &parsed);
    for (unsigned int s = 0; s < world->options.servers && at + grace_ms < until - 1; s++) {
        world_cut(world, at + grace_ms, until - 1, dc, s);
    }
    parsed.out_of_service = false;
    world_rule(world, until, &parsed);
}

const char *
world_violation(const struct world *world)
{
    return world->violation[0] != '\0' ? world->violation : NULL;
}

uint64_t
world_events(const struct world *world)
{
    return world->handled;
}

GPtrArray *
world_jobs(const struct world *world)
{
    return world->jobs;
}

static double
overlap(int64_t from, int64_t to, const struct run *run)
{
    int64_t begin = MAX(from, run->from);
    int64_t end = MIN(to, run->to);
    return end > begin ? (double)(end - begin) * run->weight : 0;
}

double
world_work(const struct world *world, int64_t from, int64_t to)
{
    double work = 0;
    for (guint i = 0; i < world->runs->len; i++) {
        work += overlap(from, to, &g_array_index(world->runs, struct run, i));
    }
    return work;
}

double
world_fragmentation(const struct world *world)
{
    return world->fragmentation_count > 0
               ? world->fragmentation_sum / (double)world->fragmentation_count
               : 0;
}

static gint
by_value(gconstpointer a, gconstpointer b)
{
    float left = *(const float *)a;
    float right = *(const float *)b;
    return (left > right) - (left < right);
}

void
world_step_times(const struct world *world, size_t *count, double *p99, double *max)
{
    GArray *sorted = g_array_copy(world->step_us);
    g_array_sort(sorted, by_value);
    *count = sorted->len;
    *p99 = sorted->len > 0 ? g_array_index(sorted, float, (guint)((double)sorted->len * 0.99)) : 0;
    *max = sorted->len > 0 ? g_array_index(sorted, float, sorted->len - 1) : 0;
    g_array_free(sorted, TRUE);
}

void
world_explain(const struct world *world, const struct world_job *job, char *text, size_t size)
{
    const struct dc *dc = &world->dcs[job->dc];
    if (dc->core == NULL || ms_sched_explain(dc->core, job->id, text, size) != MS_OK) {
        g_strlcpy(text, "no policy knows it", size);
    }
}
