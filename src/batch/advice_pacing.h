/*
 * advice_pacing.h - when the leader may call the advice service, about how many servers, and how
 * long it waits for the answer.
 *
 * The service handles the calls of one host one after the other, and a call that its caller has
 * given up still takes its turn.  So a call is sent only when the service can begin with it soon,
 * is waited for as long as the service needs, and is followed by smaller calls if the service turns
 * out to be slower than its queue's rule says.  Pure functions; the engine keeps the state.  Times
 * are in milliseconds.
 */
#ifndef MS_BATCH_ADVICE_PACING_H
#define MS_BATCH_ADVICE_PACING_H

#include <stdbool.h>
#include <stdint.h>

#include "batch/policy.h"

/* How a call has ended. */
enum ms_advice_end {
    MS_ADVICE_ANSWERED = 0,
    MS_ADVICE_REFUSED,  /* without advice, before its time limit */
    MS_ADVICE_GIVEN_UP, /* by its time limit */
};

/* A call to the service. */
struct ms_advice_call {
    int64_t service_ms; /* that it takes the service by the queue's rule */
    int64_t ahead_ms;   /* the same of the calls that were sent before and had not ended */
    int64_t limit_ms;   /* from when it is sent until it is given up */
};

/* Calls of one leader.  Initially zero. */
struct ms_advice_pacing {
    uint32_t pending;         /* calls that have not ended */
    int64_t pending_ms;       /* sum of their service_ms */
    int64_t slowness_percent; /* time taken, as a part of that by the rules; 0 counts as 100 */
    int64_t retry_at;         /* no call is sent before then */
    uint32_t asked_total;
    uint32_t answered_total;
    uint32_t given_up_total;
    int64_t last_took_ms; /* of the last call that was answered */
};

/* About how many servers to ask for a step of QUEUE with TASK_COUNT waiting tasks; 1 at least. */
uint32_t ms_advice_call_size(const struct ms_advice_pacing *pacing,
                             const struct ms_queue_rule *queue, uint32_t task_count);

/*
 * Whether a call for QUEUE about SERVER_COUNT servers may be sent at NOW; if so, it counts as sent
 * and is described in CALL.
 */
bool ms_advice_begin_call(struct ms_advice_pacing *pacing, const struct ms_queue_rule *queue,
                          uint32_t server_count, int64_t now, struct ms_advice_call *call);

/* CALL, sent TOOK_MS before NOW, has ended as END says. */
void ms_advice_end_call(struct ms_advice_pacing *pacing, const struct ms_advice_call *call,
                        enum ms_advice_end end, int64_t took_ms, int64_t now);

#endif
