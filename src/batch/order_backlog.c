/*
 * order_backlog.c - how many starts the leader may order; see order_backlog.h.
 *
 * The time per order follows from Little's law: an order behind N others that is answered after
 * T ms shows that one takes T / N ms.  The age of the oldest order is not used: one server that
 * does not answer would make it high.
 */
#include <glib.h>

#include "batch/order_backlog.h"

#define SEND_SHARE 4           /* orders are to be sent within this part of gang_start_ms */
#define OPENING_DIVISOR 2      /* the room is this much smaller while connections are opened */
#define OPENING_MIN 64         /* so many servers to be opened count as many */
#define FREE_ORDERS 256        /* this many may always be unanswered */
#define IDLE_ORDERS 64         /* with fewer, a gang of any size may start */
#define ORDER_MS_INITIAL 1.0   /* until it is known */
#define SAMPLE_AHEAD_MIN 64    /* with fewer ahead, latency outweighs the time per order */
#define SAMPLE_WEIGHT 0.015625 /* of one answer: the mean is over some 64 */

void
ms_order_backlog_note_answer(struct ms_order_backlog *backlog, uint32_t ahead, int64_t answer_ms)
{
    if (ahead < SAMPLE_AHEAD_MIN) {
        return;
    }
    double sample = (double)answer_ms / (double)ahead;
    double mean = backlog->order_ms > 0 ? backlog->order_ms : ORDER_MS_INITIAL;
    backlog->order_ms = mean + SAMPLE_WEIGHT * (sample - mean);
}

uint32_t
ms_order_backlog_room(const struct ms_order_backlog *backlog, int64_t gang_start_ms)
{
    double order_ms = backlog->order_ms > 0 ? backlog->order_ms : ORDER_MS_INITIAL;
    double orders = MIN((double)gang_start_ms / SEND_SHARE / order_ms, (double)(UINT32_MAX / 2));
    uint32_t limit = MAX((uint32_t)orders, FREE_ORDERS);
    if (backlog->opening >= OPENING_MIN) {
        limit /= OPENING_DIVISOR;
    }
    uint32_t pending = backlog->unanswered + backlog->to_come;
    return limit > pending ? limit - pending : 0;
}

bool
ms_order_backlog_allows_gang(const struct ms_order_backlog *backlog, uint32_t members,
                             int64_t gang_start_ms)
{
    return backlog->unanswered + backlog->to_come < IDLE_ORDERS ||
           members <= ms_order_backlog_room(backlog, gang_start_ms);
}
