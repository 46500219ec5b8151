/*
 * simulator_action.c - executes the actions of a scheduler in the simulator.
 */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "naive/reference_scheduler.h"
#include "naive/simulator_private.h"

#define TOKEN_ANSWER_MS 5 /* until the log answers a request for a run token */

static unsigned int
find_server_index(const struct simulator *sim, unsigned int dc, const char *name)
{
    for (unsigned int s = 0; s < sim->options.servers_per_dc; s++) {
        if (strcmp(sim->dcs[dc].servers[s].name, name) == 0) {
            return s;
        }
    }
    return 0;
}

/* Sends an order to its server; it may be lost, duplicated or delayed.  Leases change at once. */
static void
apply_task_action(struct simulator *sim, unsigned int dc, const struct ms_action *action)
{
    const struct ms_task_action *op = &action->task;
    /* The name ends in the server's index with four digits; longer ones are looked up. */
    unsigned int server_index = (unsigned int)atoi(op->server + strlen(op->server) - 4);
    if (strcmp(sim->dcs[dc].servers[server_index].name, op->server) != 0) {
        server_index = find_server_index(sim, dc, op->server);
    }
    struct server *server = &sim->dcs[dc].servers[server_index];
    if (op->op == MS_OP_WITHHOLD_LEASE || op->op == MS_OP_RENEW_LEASE) {
        struct task *task = sim_find_task(server, action->id, op->member_index, op->attempt);
        if (task != NULL) {
            task->lease_withheld = op->op == MS_OP_WITHHOLD_LEASE;
        }
        return;
    }
    if (sim_chance(sim, sim->options.loss_probability)) {
        return;
    }
    int copies = sim_chance(sim, sim->options.duplicate_probability) ? 2 : 1;
    for (int i = 0; i < copies; i++) {
        struct event *event = sim_schedule(sim, sim->now + sim_random_delay(sim),
                                           EVENT_ORDER_ARRIVES, dc, server_index);
        event->op = op->op;
        event->fencing_token = server->fencing_token;
        event->member_index = op->member_index;
        event->attempt = op->attempt;
        event->job = sim_find_job(sim, action->id);
    }
}

/* Grants the run token to the first leader that asks for it, and to the same one again. */
static void
apply_token_action(struct simulator *sim, unsigned int dc, const struct ms_action *action)
{
    struct sim_job *job = sim_find_job(sim, action->id);
    struct ms_event message = {.kind = MS_EVENT_TOKEN_ANSWER};
    g_strlcpy(message.token.id, action->id, MS_ID_MAX);
    message.token.attempt = action->token.attempt;
    if (sim->log_outage) {
        message.token.answer = MS_TOKEN_UNAVAILABLE;
    }
    else if (job->token_dc < 0 ||
             (job->token_dc == (int)dc && job->token_leader_epoch == sim->dcs[dc].leader_epoch)) {
        job->token_dc = (int)dc;
        job->token_leader_epoch = sim->dcs[dc].leader_epoch;
        message.token.answer = MS_TOKEN_GRANTED;
    }
    else {
        message.token.answer = MS_TOKEN_DENIED;
    }
    sim_send_to_scheduler(sim, dc, &message, TOKEN_ANSWER_MS);
}

void
sim_dispatch(struct simulator *sim, struct sim_job *job, unsigned int dc, bool may_have_run)
{
    struct ms_event message = {.kind = MS_EVENT_SUBMIT};
    message.submit.spec = job->spec;
    message.submit.may_have_run = may_have_run;
    job->dc = dc;
    sim_send_to_scheduler(sim, dc, &message, 1);
}

/*
 * The data centre with the fewest waiting jobs among those in service that have not
 * refused the job; -1 when there is none.
 */
static int
choose_other_dc(struct simulator *sim, struct sim_job *job)
{
    int best = -1;
    uint32_t least_waiting = UINT32_MAX;
    for (unsigned int d = 0; d < sim->options.dc_count; d++) {
        struct ms_sched_stats stats = {0};
        if ((job->refused_by_dcs & (1U << d)) != 0 || sim->dcs[d].out_of_service) {
            continue;
        }
        if (sim->dcs[d].core != NULL) {
            ms_sched_stats(sim->dcs[d].core, &stats);
        }
        if (stats.waiting < least_waiting) {
            best = (int)d;
            least_waiting = stats.waiting;
        }
    }
    return best;
}

/*
 * Records the outcome of a job, or relocates the job when its data centre is out of
 * service and it may run elsewhere.
 */
static void
apply_outcome_action(struct simulator *sim, unsigned int dc, const struct ms_action *action)
{
    struct sim_job *job = sim_find_job(sim, action->id);
    const struct ms_outcome_action *outcome = &action->outcome;
    uint32_t start_count = 0;
    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        start_count += job->start_counts[i];
    }
    if (outcome->ran == MS_RAN_NO && job->token_dc == (int)dc) {
        job->token_dc = -1;
    }
    bool may_retry = outcome->ran == MS_RAN_NO || job->spec.idempotent;
    if (outcome->code == MS_OUTCOME_DC_OUT && may_retry) {
        job->refused_by_dcs |= 1U << dc;
        int target = choose_other_dc(sim, job);
        if (target >= 0) {
            sim_dispatch(sim, job, (unsigned int)target, start_count > 0);
            return;
        }
    }
    if (outcome->ran == MS_RAN_NO && start_count > 0) {
        sim_report_violation(sim, "job %s had started, but its outcome %s says that it did not run",
                             job->id, ms_outcome_name(outcome->code));
    }
    job->outcome_count++;
    /*
     * After a change of leader a job may get a second outcome: the new leader
     * knows the job only from a server's report, and no client waits for that
     * outcome.
     */
    bool same_leader =
        job->outcome_dc == dc && job->outcome_leader_epoch == sim->dcs[dc].leader_epoch;
    if (job->outcome_count > 1 && !same_leader) {
        return;
    }
    job->outcome_dc = dc;
    job->outcome_leader_epoch = sim->dcs[dc].leader_epoch;
    if (job->outcome_count > 1) {
        sim_report_violation(sim, "job %s got two outcomes: %s in dc %u, now %s in dc %u", job->id,
                             ms_outcome_name(job->code), job->dc, ms_outcome_name(outcome->code),
                             dc);
    }
    job->code = outcome->code;
    job->ran = outcome->ran;
    job->ended_at = sim->now;
}

void
sim_apply_action(struct simulator *sim, unsigned int dc, const struct ms_action *action)
{
    switch (action->kind) {
    case MS_ACTION_TASK:
        apply_task_action(sim, dc, action);
        break;
    case MS_ACTION_TOKEN:
        apply_token_action(sim, dc, action);
        break;
    case MS_ACTION_OUTCOME:
        apply_outcome_action(sim, dc, action);
        break;
    }
}
