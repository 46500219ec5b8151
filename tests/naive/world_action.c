/*
 * world_action.c - what becomes of the actions of a policy in the model world.
 */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "naive/naive.h"
#include "naive/world_private.h"

#define TOKEN_MS 5

/* ---- the policy and its actions ---- */

static unsigned int
server_number(const struct world *world, unsigned int dc, const char *name)
{
    for (unsigned int s = 0; s < world->options.servers; s++) {
        if (strcmp(world->dcs[dc].servers[s].name, name) == 0) {
            return s;
        }
    }
    return 0;
}

static void
task_action(struct world *world, unsigned int dc, const struct ms_action *action)
{
    const struct ms_task_action *op = &action->task;
    /* Names end in the server's number. */
    unsigned int number = (unsigned int)atoi(op->server + strlen(op->server) - 4);
    if (strcmp(world->dcs[dc].servers[number].name, op->server) != 0) {
        number = server_number(world, dc, op->server);
    }
    struct server *server = &world->dcs[dc].servers[number];
    if (op->op == MS_OP_WITHHOLD_LEASE || op->op == MS_OP_RENEW_LEASE) {
        struct task *task = world_find_task(server, action->id, op->member_index, op->attempt);
        if (task != NULL) {
            task->withheld = op->op == MS_OP_WITHHOLD_LEASE;
        }
        return;
    }
    if (world_chance(world, world->options.lose)) {
        return;
    }
    int copies = world_chance(world, world->options.duplicate) ? 2 : 1;
    for (int i = 0; i < copies; i++) {
        struct event *event =
            world_schedule(world, world->now + world_delay(world), TO_SERVER, dc, number);
        event->op = op->op;
        event->fence = server->fence;
        event->member = op->member_index;
        event->attempt = op->attempt;
        event->job = world_job_of(world, action->id);
    }
}

static void
token_action(struct world *world, unsigned int dc, const struct ms_action *action)
{
    struct world_job *job = world_job_of(world, action->id);
    struct ms_event message = {.kind = MS_EVENT_TOKEN_ANSWER};
    g_strlcpy(message.token.id, action->id, MS_ID_MAX);
    message.token.attempt = action->token.attempt;
    if (world->outage) {
        message.token.answer = MS_TOKEN_UNAVAILABLE;
    }
    else if (job->token_dc < 0 ||
             (job->token_dc == (int)dc && job->token_life == world->dcs[dc].life)) {
        job->token_dc = (int)dc;
        job->token_life = world->dcs[dc].life;
        message.token.answer = MS_TOKEN_GRANTED;
    }
    else {
        message.token.answer = MS_TOKEN_DENIED;
    }
    world_to_policy(world, dc, &message, TOKEN_MS);
}

void
world_offer(struct world *world, struct world_job *job, unsigned int dc, bool may_have_run)
{
    struct ms_event message = {.kind = MS_EVENT_SUBMIT};
    message.submit.spec = job->spec;
    message.submit.may_have_run = may_have_run;
    job->dc = dc;
    world_to_policy(world, dc, &message, 1);
}

/* Another data centre for a job that was turned away; -1 when there is none. */
static int
elsewhere(struct world *world, struct world_job *job)
{
    int best = -1;
    uint32_t best_waiting = UINT32_MAX;
    for (unsigned int d = 0; d < world->options.dcs; d++) {
        struct ms_sched_stats stats = {0};
        if ((job->tried & (1U << d)) != 0 || world->dcs[d].out) {
            continue;
        }
        if (world->dcs[d].core != NULL) {
            ms_sched_stats(world->dcs[d].core, &stats);
        }
        if (stats.waiting < best_waiting) {
            best = (int)d;
            best_waiting = stats.waiting;
        }
    }
    return best;
}

static void
outcome_action(struct world *world, unsigned int dc, const struct ms_action *action)
{
    struct world_job *job = world_job_of(world, action->id);
    const struct ms_outcome_action *outcome = &action->outcome;
    uint32_t started = 0;
    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        started += job->starts[i];
    }
    if (outcome->ran == MS_RAN_NO && job->token_dc == (int)dc) {
        job->token_dc = -1;
    }
    bool retryable = outcome->ran == MS_RAN_NO || job->spec.idempotent;
    if (outcome->code == MS_OUTCOME_DC_OUT && retryable) {
        job->tried |= 1U << dc;
        int target = elsewhere(world, job);
        if (target >= 0) {
            world_offer(world, job, (unsigned int)target, started > 0);
            return;
        }
    }
    if (outcome->ran == MS_RAN_NO && started > 0) {
        world_violated(world, "job %s was answered with not run (%s), but it had started", job->id,
                       ms_outcome_name(outcome->code));
    }
    job->outcomes++;
    /*
     * A later holder may end again what an earlier one has ended: it knows the
     * job from a server's report only, and nobody waits for its answer.
     */
    bool same_holder = job->ended_dc == dc && job->ended_life == world->dcs[dc].life;
    if (job->outcomes > 1 && !same_holder) {
        return;
    }
    job->ended_dc = dc;
    job->ended_life = world->dcs[dc].life;
    if (job->outcomes > 1) {
        world_violated(world, "job %s was answered twice: %s in dc %u, now %s in dc %u", job->id,
                       ms_outcome_name(job->code), job->dc, ms_outcome_name(outcome->code), dc);
    }
    job->code = outcome->code;
    job->ran = outcome->ran;
    job->ended_at = world->now;
}

void
world_act(struct world *world, unsigned int dc, const struct ms_action *action)
{
    switch (action->kind) {
    case MS_ACTION_TASK:
        task_action(world, dc, action);
        break;
    case MS_ACTION_TOKEN:
        token_action(world, dc, action);
        break;
    case MS_ACTION_OUTCOME:
        outcome_action(world, dc, action);
        break;
    }
}
