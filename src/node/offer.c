/*
 * offer.c - offers jobs to placing hosts.
 *
 * A job is with one placing host at a time and is sent again until that host
 * confirms it.  Repeats are paid from a budget, so that a host that comes back
 * is not met by all of them at once.
 */
#include <stdio.h>
#include <string.h>

#include "node/private.h"
#include "wire/convert.h"

#define RESEND_MS 1000      /* before an unconfirmed job is sent again */
#define RESENDS_PER_S 200.0 /* budget for jobs sent again, this host */
#define RESEND_BURST 400.0
#define UNROUTABLE_MS 8000 /* without a placing host before a refusal */

static bool
take_resend_budget(struct ms_node *node)
{
    double elapsed = (double)(node->now - node->resend_refilled_at) / 1000.0;
    node->resend_refilled_at = node->now;
    node->resend_budget = MIN(node->resend_budget + elapsed * RESENDS_PER_S, RESEND_BURST);
    if (node->resend_budget < 1) {
        return false;
    }
    node->resend_budget -= 1;
    return true;
}

/* Sends the job to the placing host HOST of data centre DC. */
static void
send_to(struct ms_node *node, struct ms_pending *pending, const char *dc, const char *host)
{
    Ms__Wire__Envelope envelope;
    Ms__Wire__Submit submit;
    Ms__Wire__Spec spec;
    char header[MS_TRACE_PARENT_MAX];
    g_strlcpy(pending->dc, dc, sizeof(pending->dc));
    g_strlcpy(pending->host, host, sizeof(pending->host));
    pending->received = false;
    pending->sent_at = node->now;
    pending->sends++;
    ms_counter_add(node->counters, pending->sends == 1 ? MS_COUNT_FORWARDED : MS_COUNT_RESENT, 1);
    ms_span_header(&pending->span, header, sizeof(header));
    if (strcmp(host, node->settings->name) == 0) {
        ms_hold_submit(node, &pending->spec, host, pending->uncertain, header);
        return;
    }
    ms__wire__envelope__init(&envelope);
    ms__wire__submit__init(&submit);
    ms_spec_to_wire(&pending->spec, node->now, &spec);
    submit.spec = &spec;
    submit.trace_parent = header;
    submit.may_have_run = pending->uncertain;
    envelope.body_case = MS__WIRE__ENVELOPE__BODY_SUBMIT;
    envelope.submit = &submit;
    ms_peers_send(node->peers, host, &envelope);
}

/* The data centre that alone may run the job, or NULL when any may. */
static const char *
bound_dc(const struct ms_node *node, const struct ms_pending *pending)
{
    const Ms__Wire__Token *token = ms_logstate_token(node->log, pending->id);
    if (token != NULL) {
        return token->dc;
    }
    const struct ms_accept_entry *accept = ms_logstate_accept(node->log, pending->id);
    return accept != NULL ? accept->dc : NULL;
}

static bool
deadline_passed(const struct ms_node *node, const struct ms_pending *pending)
{
    return pending->spec.deadline_ms > 0 && pending->spec.deadline_ms <= node->now;
}

/* No placing host can be reached: wait a while, then refuse. */
static void
cannot_route(struct ms_node *node, struct ms_pending *pending)
{
    if (pending->unroutable_since == 0) {
        pending->unroutable_since = node->now;
    }
    bool late = node->now - pending->unroutable_since >= UNROUTABLE_MS;
    if (pending->accepted || (!late && !deadline_passed(node, pending))) {
        return;
    }
    if (pending->tried_count > 0) {
        struct ms_call_outcome outcome = pending->last_refusal;
        ms_jobs_make_true(pending, &outcome);
        ms_jobs_finish(node, pending, &outcome);
        return;
    }
    ms_jobs_refuse(node, pending, MS_OUTCOME_UNAVAILABLE,
                   "no host that places work can be reached");
}

/* Offers the job to the best data centre, or to the one that it is bound to. */
void
ms_offer(struct ms_node *node, struct ms_pending *pending)
{
    const char *bound = bound_dc(node, pending);
    const char *dc = bound != NULL ? bound : ms_route_choose(node, pending);
    if (dc == NULL && pending->tried_count > 0) {
        /* Every data centre that can be reached has refused it. */
        struct ms_call_outcome outcome = pending->last_refusal;
        ms_jobs_make_true(pending, &outcome);
        ms_jobs_finish(node, pending, &outcome);
        return;
    }
    const char *host = dc != NULL ? ms_members_holder(node, dc) : NULL;
    if (host == NULL) {
        cannot_route(node, pending);
        return;
    }
    pending->unroutable_since = 0;
    if (pending->sends > 0 && !take_resend_budget(node)) {
        return; /* a later tick offers it */
    }
    send_to(node, pending, dc, host);
}

/* Whether PENDING has to be offered (again) now. */
bool
ms_offer_due(const struct ms_node *node, const struct ms_pending *pending)
{
    if (!pending->has_spec || pending->accepting) {
        return false;
    }
    if (pending->host[0] == '\0') {
        bool waits_for_log = pending->sent_at > 0 && pending->sends > 0 &&
                             ms_logstate_token(node->log, pending->id) != NULL;
        return !waits_for_log || node->now - pending->sent_at >= RESEND_MS;
    }
    const char *holder = ms_members_holder(node, pending->dc);
    if (holder != NULL && strcmp(holder, pending->host) != 0) {
        return true;
    }
    return !pending->received && node->now - pending->sent_at >= RESEND_MS;
}
