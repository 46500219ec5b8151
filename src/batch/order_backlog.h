/*
 * order_backlog.h - how many starts the leader may order, given how far its orders are behind.
 *
 * Orders that are queued faster than they are sent delay all later ones.  A gang must not start
 * in part: its starts have to reach the servers, and if one does not, so have the stops of the
 * others.  Pure functions; the engine keeps the state.
 */
#ifndef MS_BATCH_ORDER_BACKLOG_H
#define MS_BATCH_ORDER_BACKLOG_H

#include <stdbool.h>
#include <stdint.h>

/* Orders (starts and stops) of one leader. */
struct ms_order_backlog {
    uint32_t unanswered; /* queued for the sender and not answered */
    uint32_t to_come;    /* starts whose runs are being stored */
    uint32_t opening;    /* servers whose first answer to this leader is awaited */
    double order_ms;     /* time that one order takes while others wait for it, 0: not known */
};

/*
 * Updates the time per order: an order that was queued behind AHEAD others has been answered
 * after ANSWER_MS.
 */
void ms_order_backlog_note_answer(struct ms_order_backlog *backlog, uint32_t ahead,
                                  int64_t answer_ms);

/*
 * How many more starts may be ordered now, so that all are sent within a quarter of
 * GANG_START_MS, or an eighth while connections to many servers are being opened.
 */
uint32_t ms_order_backlog_room(const struct ms_order_backlog *backlog, int64_t gang_start_ms);

/* Whether a gang of MEMBERS tasks may be started; one that exceeds the room waits for its turn. */
bool ms_order_backlog_allows_gang(const struct ms_order_backlog *backlog, uint32_t members,
                                  int64_t gang_start_ms);

#endif
