/*
 * advice_pacing.c - pacing of the calls to the advice service; see advice_pacing.h.
 */
#include "batch/advice_pacing.h"

#include <glib.h>

#define CALL_SERVERS_MAX 30 /* servers in one call */
/* A call about more servers than its step needs takes no longer than this. */
#define CALL_TARGET_MS 1000
#define PENDING_MAX 4           /* calls at the service; further ones gain nothing */
#define PENDING_MAX_MS 300      /* time that all of them take, if there are several */
#define LIMIT_MARGIN_MS 4000    /* for the network, and for calls of an earlier term of this host */
#define LIMIT_FACTOR 2          /* of the time that the service needs */
#define SLOWNESS_LIMIT_MS 16000 /* what a slow service can add to the limit */
#define SLOWNESS_MIN 100        /* percent */
#define SLOWNESS_MAX 6400       /* percent */
#define SERVICE_MIN_MS 100      /* of a call: its rule may tell no times */
#define RETRY_MS 300            /* delay after a call without advice */
#define PAUSE_MAX_MS 10000      /* delay after a call that was given up */

static int64_t
slowness_percent(const struct ms_advice_pacing *pacing)
{
    return MAX(pacing->slowness_percent, SLOWNESS_MIN);
}

/* SERVICE_MS as it has turned out to be. */
static int64_t
real_ms(const struct ms_advice_pacing *pacing, int64_t service_ms)
{
    return service_ms * slowness_percent(pacing) / 100;
}

static int64_t
service_ms(const struct ms_queue_rule *queue, uint32_t server_count)
{
    int64_t ms = queue->advice_decide_ms + queue->advice_each_ms * server_count;
    return MAX(ms, SERVICE_MIN_MS);
}

/* The most servers about which a call takes at most MS. */
static int64_t
servers_within(const struct ms_advice_pacing *pacing, const struct ms_queue_rule *queue, int64_t ms)
{
    int64_t each_ms = real_ms(pacing, queue->advice_each_ms);
    return each_ms > 0 ? (ms - real_ms(pacing, queue->advice_decide_ms)) / each_ms
                       : CALL_SERVERS_MAX;
}

uint32_t
ms_advice_call_size(const struct ms_advice_pacing *pacing, const struct ms_queue_rule *queue,
                    uint32_t task_count)
{
    /* The service advises some of the servers only, so more are asked about than are needed. */
    int64_t needed = MIN(2 * (int64_t)task_count, CALL_SERVERS_MAX);
    int64_t size = CLAMP(servers_within(pacing, queue, CALL_TARGET_MS), needed, CALL_SERVERS_MAX);
    /* Tickets of this call should hold until those of the next one are there as well. */
    int64_t within_validity = servers_within(pacing, queue, queue->ticket_valid_ms / 2);
    return (uint32_t)MAX(queue->ticket_valid_ms > 0 ? MIN(size, within_validity) : size, 1);
}

bool
ms_advice_begin_call(struct ms_advice_pacing *pacing, const struct ms_queue_rule *queue,
                     uint32_t server_count, int64_t now, struct ms_advice_call *call)
{
    int64_t own_ms = service_ms(queue, server_count);
    int64_t all_ms = pacing->pending_ms + own_ms;
    bool soon = pacing->pending < PENDING_MAX && real_ms(pacing, all_ms) <= PENDING_MAX_MS;
    if (now < pacing->retry_at || (pacing->pending > 0 && !soon)) {
        return false;
    }
    int64_t slower_ms = real_ms(pacing, all_ms) - all_ms;
    call->service_ms = own_ms;
    call->ahead_ms = pacing->pending_ms;
    call->limit_ms =
        LIMIT_MARGIN_MS + LIMIT_FACTOR * all_ms + MIN(LIMIT_FACTOR * slower_ms, SLOWNESS_LIMIT_MS);
    pacing->pending++;
    pacing->pending_ms += own_ms;
    pacing->asked_total++;
    return true;
}

/* A call that should have taken EXPECTED_MS was answered after TOOK_MS. */
static void
observe_time(struct ms_advice_pacing *pacing, int64_t expected_ms, int64_t took_ms)
{
    pacing->last_took_ms = took_ms;
    int64_t observed = took_ms * 100 / expected_ms;
    pacing->slowness_percent =
        CLAMP((slowness_percent(pacing) + observed) / 2, SLOWNESS_MIN, SLOWNESS_MAX);
}

void
ms_advice_end_call(struct ms_advice_pacing *pacing, const struct ms_advice_call *call,
                   enum ms_advice_end end, int64_t took_ms, int64_t now)
{
    pacing->pending--;
    pacing->pending_ms -= call->service_ms;
    switch (end) {
    case MS_ADVICE_ANSWERED:
        pacing->answered_total++;
        observe_time(pacing, call->ahead_ms + call->service_ms, took_ms);
        break;
    case MS_ADVICE_REFUSED:
        pacing->retry_at = now + RETRY_MS;
        break;
    case MS_ADVICE_GIVEN_UP:
        /* The service may be busy with it for as long again. */
        pacing->given_up_total++;
        pacing->slowness_percent = MIN(2 * slowness_percent(pacing), SLOWNESS_MAX);
        pacing->retry_at = now + CLAMP(real_ms(pacing, call->service_ms), RETRY_MS, PAUSE_MAX_MS);
        break;
    }
}
