/*
 * engine_collect.c - what a placement pass works with: the usable servers, the accelerators
 * that each account uses, and the steps that are ready, in the order in which they are tried.
 */
#include <string.h>

#include "batch/engine_placement.h"

/*
 * After a takeover the servers answer one after the other.  For this long work is only started
 * where there is room, and none is stopped to make room, while listed servers are still to answer.
 */
#define FIRST_ANSWERS_WAIT_MS 1500

/* Whether SERVER is listed and was not heard by this leader, but may answer at any moment. */
static bool
is_about_to_answer(const struct ms_batch_server *server)
{
    return server->listed && !server->fence_confirmed && !server->unresponsive &&
           !server->entry.draining;
}

void
ms_collect_servers(struct ms_placement_pass *pass)
{
    struct ms_engine *engine = pass->engine;
    engine->orders.opening = 0;
    bool taking_over = engine->now - engine->created_at < FIRST_ANSWERS_WAIT_MS;
    MS_LIST_FOREACH(link, &engine->servers)
    {
        struct ms_batch_server *server =
            MS_CONTAINER_OF(link, struct ms_batch_server, servers_link);
        pass->awaits_servers |= taking_over && is_about_to_answer(server);
        engine->orders.opening += is_about_to_answer(server);
        memset(&server->reserved, 0, sizeof(server->reserved));
        memset(&server->releasing, 0, sizeof(server->releasing));
        memset(&server->lasting, 0, sizeof(server->lasting));
        server->planned_task_count = 0;
        if (!ms_batch_server_usable(engine, server)) {
            continue;
        }
        MS_LIST_FOREACH(task_link, &server->tasks)
        {
            const struct ms_batch_task *task =
                MS_CONTAINER_OF(task_link, struct ms_batch_task, server_link);
            const struct ms_step *spec = task->step->spec;
            if (task->state == MS_BATCH_TASK_STOPPING) {
                ms_resources_add(&server->releasing, &spec->task_resources, 1);
                ms_resources_add(&ms_batch_task_job(task)->account->releasing,
                                 &spec->task_resources, 1);
            }
            else if (spec->long_running) {
                ms_resources_add(&server->lasting, &spec->task_resources, 1);
            }
        }
        g_ptr_array_add(pass->servers, server);
        GPtrArray *rack = g_hash_table_lookup(pass->racks, server->entry.rack);
        if (rack == NULL) {
            rack = g_ptr_array_new();
            g_hash_table_insert(pass->racks, server->entry.rack, rack);
        }
        g_ptr_array_add(rack, server);
    }
}

static gint
compare_steps(gconstpointer left, gconstpointer right)
{
    const struct ms_batch_step *a = *(struct ms_batch_step *const *)left;
    const struct ms_batch_step *b = *(struct ms_batch_step *const *)right;
    return ms_order_compare(&a->rank, &b->rank);
}

/* Collects the accelerators that each account requests and has allocated at the top priority. */
static void
collect_accounts(struct ms_placement_pass *pass)
{
    struct ms_engine *engine = pass->engine;
    MS_LIST_FOREACH(link, &engine->jobs)
    {
        const struct ms_batch_job *job = MS_CONTAINER_OF(link, struct ms_batch_job, jobs_link);
        if (job->phase != MS_PHASE_OPEN || ms_batch_job_priority(job) != 0) {
            continue;
        }
        struct ms_account_usage *usage = g_hash_table_lookup(pass->accounts, job->spec->account);
        if (usage == NULL) {
            const struct ms_account_rule *rule =
                ms_policy_find_account(engine->policy, job->spec->account);
            usage = g_new0(struct ms_account_usage, 1);
            usage->guaranteed = rule != NULL ? rule->guaranteed_accels : 0;
            g_hash_table_insert(pass->accounts, (gpointer)job->spec->account, usage);
        }
        for (guint i = 0; i < job->occurrences->len; i++) {
            const struct ms_batch_occurrence *occurrence = g_ptr_array_index(job->occurrences, i);
            for (size_t k = 0; occurrence->steps != NULL && k < job->spec->step_count; k++) {
                const struct ms_batch_step *step = &occurrence->steps[k];
                usage->requested += step->spec->task_resources.accels * step->spec->task_count;
                usage->allocated += step->spec->task_resources.accels * step->active;
            }
        }
    }
}

/*
 * Since when STEP, which is ready, has been ready.  A first step of a job that is not repeated has
 * been so since this host learned of the job, also if another host led then.
 */
static int64_t
ready_since(const struct ms_engine *engine, const struct ms_batch_step *step)
{
    bool at_once = step->spec->depends_on_count == 0 && step->occurrence->due_ms == 0;
    return at_once ? step->occurrence->job->accepted_at : engine->now;
}

/* Whether a member that is still assigned to a server keeps STEP, a gang, from being placed. */
static bool
is_blocked_gang(const struct ms_batch_step *step)
{
    return step->spec->gang && step->waiting > 0 && step->active > 0;
}

/* Updates since when tasks of STEP wait and none was placed; WAITS: some wait now. */
static void
update_unplaced_since(const struct ms_engine *engine, struct ms_batch_step *step, bool waits)
{
    if (!waits) {
        step->unplaced_since = 0;
    }
    else if (step->unplaced_since == 0) {
        step->unplaced_since = engine->now;
    }
}

/* Logs the number of open jobs whose queue the policy does not have, if it has changed. */
static void
log_missing_queues(struct ms_engine *engine, uint32_t count, const struct ms_batch_job *example)
{
    if (count == engine->jobs_without_queue) {
        return;
    }
    engine->jobs_without_queue = count;
    ms_engine_log_event(engine, "event=queue_missing jobs=%u id=%s queue=%s", count,
                        example != NULL ? example->id : "",
                        example != NULL ? example->spec->queue : "");
}

/* Collects the steps that have tasks ready to be placed; a job without a queue waits. */
static void
collect_ready_steps(struct ms_placement_pass *pass, GPtrArray *steps)
{
    struct ms_engine *engine = pass->engine;
    uint32_t without_queue = 0;
    const struct ms_batch_job *last_without_queue = NULL;
    MS_LIST_FOREACH(link, &engine->jobs)
    {
        struct ms_batch_job *job = MS_CONTAINER_OF(link, struct ms_batch_job, jobs_link);
        if (job->queue == NULL && job->phase == MS_PHASE_OPEN) {
            without_queue++;
            last_without_queue = job;
            continue;
        }
        for (guint i = 0; job->phase == MS_PHASE_OPEN && i < job->occurrences->len; i++) {
            struct ms_batch_occurrence *occurrence = g_ptr_array_index(job->occurrences, i);
            for (size_t s = 0; occurrence->steps != NULL && s < job->spec->step_count; s++) {
                struct ms_batch_step *step = &occurrence->steps[s];
                bool ready = ms_batch_step_ready(engine, step);
                bool blocked = is_blocked_gang(step);
                update_unplaced_since(engine, step, ready || blocked);
                if (blocked) {
                    g_ptr_array_add(pass->blocked_gangs, step);
                }
                if (!ready) {
                    continue;
                }
                if (step->ready_since == 0) {
                    step->ready_since = ready_since(engine, step);
                }
                g_ptr_array_add(steps, step);
            }
        }
    }
    log_missing_queues(engine, without_queue, last_without_queue);
}

/* Whether the step has the top priority and its account requests no more than its guarantee. */
static bool
is_within_guarantee(const struct ms_placement_pass *pass, const struct ms_batch_step *step)
{
    const struct ms_batch_job *job = step->occurrence->job;
    const struct ms_account_usage *usage = g_hash_table_lookup(pass->accounts, job->spec->account);
    return ms_batch_job_priority(job) == 0 && usage != NULL &&
           usage->requested <= usage->guaranteed;
}

void
ms_collect_steps(struct ms_placement_pass *pass, GPtrArray *steps)
{
    if (pass->engine->policy != NULL) {
        collect_accounts(pass);
    }
    collect_ready_steps(pass, steps);
    ms_order_begin_pass(pass);
    for (guint i = 0; i < steps->len; i++) {
        struct ms_batch_step *step = g_ptr_array_index(steps, i);
        step->within_guarantee = is_within_guarantee(pass, step);
        ms_order_rank_step(pass->engine, step);
    }
    g_ptr_array_sort(steps, compare_steps);
}
