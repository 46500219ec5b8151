/*
 * dispatch.c - dispatches jobs to leaders.
 *
 * A job is dispatched to one leader at a time and sent again until that host
 * confirms receipt.  A token bucket limits the rate of repeated sends, so that
 * a host that comes back does not get all pending jobs at once.
 */
#include <stdio.h>
#include <string.h>

#include "node/private.h"
#include "wire/convert.h"

#define RESEND_MS 1000         /* an unconfirmed job is sent again after this time */
#define RESENDS_PER_S 200.0    /* rate of the token bucket, for all jobs of this host */
#define RESEND_BURST 400.0     /* size of the token bucket */
#define UNROUTABLE_MAX_MS 8000 /* a job is refused after this long without a leader */

/* Takes one token from the bucket; false when it is empty. */
static bool
take_resend_budget(struct ms_node *node)
{
    double elapsed = (double)(node->now - node->last_refill_at) / 1000.0;
    node->last_refill_at = node->now;
    node->resend_budget = MIN(node->resend_budget + elapsed * RESENDS_PER_S, RESEND_BURST);
    if (node->resend_budget < 1) {
        return false;
    }
    node->resend_budget -= 1;
    return true;
}

/* Sends the job to the leader HOST of data centre DC. */
static void
send_submit(struct ms_node *node, struct ms_pending_job *pending, const char *dc, const char *host)
{
    Ms__Wire__Envelope envelope;
    Ms__Wire__Submit submit;
    Ms__Wire__Spec spec;
    char trace_parent[MS_TRACE_PARENT_MAX];
    g_strlcpy(pending->dc, dc, sizeof(pending->dc));
    g_strlcpy(pending->leader_host, host, sizeof(pending->leader_host));
    pending->confirmed = false;
    pending->last_sent_at = node->now;
    pending->send_count++;
    ms_counter_add(node->counters,
                   pending->send_count == 1 ? MS_COUNT_FORWARDED : MS_COUNT_JOBS_RESENT, 1);
    ms_span_format_traceparent(&pending->span, trace_parent, sizeof(trace_parent));
    if (strcmp(host, node->settings->name) == 0) {
        ms_dc_leader_submit(node, &pending->spec, host, pending->may_have_run, trace_parent);
        return;
    }
    ms__wire__envelope__init(&envelope);
    ms__wire__submit__init(&submit);
    ms_spec_to_wire(&pending->spec, node->now, &spec);
    submit.spec = &spec;
    submit.trace_parent = trace_parent;
    submit.may_have_run = pending->may_have_run;
    envelope.body_case = MS__WIRE__ENVELOPE__BODY_SUBMIT;
    envelope.submit = &submit;
    ms_peers_send(node->peers, host, &envelope);
}

/*
 * The only data centre that may run the job: the one whose leader has its
 * run token, else the one that it was accepted for.  NULL when any may.
 */
static const char *
required_dc(const struct ms_node *node, const struct ms_pending_job *pending)
{
    const Ms__Wire__Token *token = ms_logstate_token(node->logstate, pending->id);
    if (token != NULL) {
        return token->dc;
    }
    const struct ms_accepted_job *accept = ms_logstate_accepted_job(node->logstate, pending->id);
    return accept != NULL ? accept->dc : NULL;
}

static bool
deadline_passed(const struct ms_node *node, const struct ms_pending_job *pending)
{
    return pending->spec.deadline_ms > 0 && pending->spec.deadline_ms <= node->now;
}

/*
 * Called while there is no leader to dispatch PENDING to.  An accepted job goes on
 * waiting; any other is finished after UNROUTABLE_MAX_MS, or at its deadline.
 */
static void
handle_unroutable(struct ms_node *node, struct ms_pending_job *pending)
{
    if (pending->unroutable_since == 0) {
        pending->unroutable_since = node->now;
    }
    bool timed_out = node->now - pending->unroutable_since >= UNROUTABLE_MAX_MS;
    if (pending->accepted || (!timed_out && !deadline_passed(node, pending))) {
        return;
    }
    if (pending->excluded_dc_count > 0) {
        struct ms_call_outcome outcome = pending->last_refusal;
        ms_jobs_correct_ran(pending, &outcome);
        ms_jobs_finish(node, pending, &outcome);
        return;
    }
    ms_jobs_refuse(node, pending, MS_OUTCOME_UNAVAILABLE,
                   "no leader of a data centre can be reached");
}

void
ms_dispatch_job(struct ms_node *node, struct ms_pending_job *pending)
{
    const char *required = required_dc(node, pending);
    const char *dc = required != NULL ? required : ms_route_choose_dc(node, pending);
    if (dc == NULL && pending->excluded_dc_count > 0) {
        /* Every data centre that could take it has refused. */
        struct ms_call_outcome outcome = pending->last_refusal;
        ms_jobs_correct_ran(pending, &outcome);
        ms_jobs_finish(node, pending, &outcome);
        return;
    }
    const char *host = dc != NULL ? ms_members_leader(node, dc) : NULL;
    if (host == NULL) {
        handle_unroutable(node, pending);
        return;
    }
    pending->unroutable_since = 0;
    if (pending->send_count > 0 && !take_resend_budget(node)) {
        return; /* the next tick tries again */
    }
    send_submit(node, pending, dc, host);
}

bool
ms_dispatch_is_due(const struct ms_node *node, const struct ms_pending_job *pending)
{
    if (!pending->has_spec || pending->awaiting_acceptance) {
        return false;
    }
    if (pending->leader_host[0] == '\0') {
        /* With a run token, the outcome is expected in the log: sent again only after RESEND_MS. */
        bool awaits_logged_outcome = pending->last_sent_at > 0 && pending->send_count > 0 &&
                                     ms_logstate_token(node->logstate, pending->id) != NULL;
        return !awaits_logged_outcome || node->now - pending->last_sent_at >= RESEND_MS;
    }
    const char *leader = ms_members_leader(node, pending->dc);
    if (leader != NULL && strcmp(leader, pending->leader_host) != 0) {
        return true;
    }
    return !pending->confirmed && node->now - pending->last_sent_at >= RESEND_MS;
}
