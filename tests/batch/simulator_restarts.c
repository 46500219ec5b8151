/*
 * simulator_restarts.c - starts that reach a server which has restarted unseen, is then cut off,
 * and whose leader resigns or is lost soon after.
 *
 * The directory shows the entry from before such a restart for a while, so the start's lease
 * deadline is on a clock that does not exist any more.
 */
#include "batch/simulator_private.h"

#define CUT_MIN_MS 11000 /* longer than the longest lease, on a slow clock too */
#define CUT_SPREAD_MS 10000
#define ONE_WAY_MAX_MS 4000     /* for which calls still arrive at a server that gets cut off */
#define LEADER_END_MAX_MS 2000  /* from such a start to the end of its leader's term */
#define ENTRY_LAG_MAX_MS 1900   /* until the directory shows a restart */
#define ENTRY_EXPIRY_MS 4500    /* until the entry of a server without contact to it expires */
#define CALL_DURATION_MS 1000   /* at most, from the sender of a leader's host to the server */
#define NEW_LEADER_MAX_MS 5000  /* at most, from the end of a term to the next leader */
#define RESTARTED_PERCENT 75    /* of the servers that are cut off */
#define TERM_END_PERCENT 70     /* of the starts at such servers: the leader's term ends soon */
#define RESIGNATION_PERCENT 60  /* of the ends of terms */
#define HIDDEN_ENTRY_PERCENT 40 /* of the servers: they lose contact to the directory as well */

static uint32_t
draw(struct simulator *simulator, uint32_t below)
{
    return simulator_random(&simulator->random_state, below);
}

struct ms_directory_entry
simulator_listed_entry(const struct simulator *simulator, const struct simulated_server *server)
{
    struct ms_directory_entry entry = server->entry;
    if (server->shows_former) {
        entry.start_unix_ms = server->former_start_unix_ms;
        entry.clock_ms =
            simulated_server_clock_since(simulator, server, server->former_clock_started_at);
    }
    return entry;
}

/* Restarts SERVER; the directory does not show it before `entry_due_at`. */
static void
restart_unseen(struct simulator *simulator, struct simulated_server *server)
{
    simulator_trace(simulator, server, "crash-unseen", "");
    if (!server->shows_former) {
        server->shows_former = true;
        server->former_start_unix_ms = server->entry.start_unix_ms;
        server->former_clock_started_at = server->clock_started_at;
    }
    simulated_server_clear(simulator, server);
    server->entry.start_unix_ms += 100000;
    server->entry_due_at = simulator->now + 1 + draw(simulator, ENTRY_LAG_MAX_MS);
}

/* Lets the entry of SERVER, as the directory shows it, expire; it returns at about UNTIL. */
static void
hide_from_directory(struct simulator *simulator, struct simulated_server *server, int64_t until)
{
    server->entry_due_at = 0;
    server->unlist_at = simulator->now + 1 + draw(simulator, ENTRY_EXPIRY_MS);
    server->relist_at = until + draw(simulator, 2000);
    simulator_note_fault(simulator, server->relist_at);
}

/*
 * No answer of SERVER arrives from now on.  By chance calls still do for a while, or until the
 * answers do too.
 */
static void
cut_off(struct simulator *simulator, struct simulated_server *server, int64_t arrives_at)
{
    int64_t until = arrives_at + CUT_MIN_MS + draw(simulator, CUT_SPREAD_MS);
    server->silent_until = until;
    switch (draw(simulator, 3)) {
    case 0: /* in both directions as soon as the start has arrived */
        server->unreachable_from = arrives_at + 1;
        server->unreachable_until = until;
        break;
    case 1: /* a while later */
        server->unreachable_from = arrives_at + 1 + draw(simulator, ONE_WAY_MAX_MS);
        server->unreachable_until = until;
        break;
    default: /* in one direction only */
        break;
    }
    simulator_note_fault(simulator, until);
    if (draw(simulator, 100) < HIDDEN_ENTRY_PERCENT) {
        hide_from_directory(simulator, server, until);
    }
}

void
simulator_strike_start(struct simulator *simulator, struct simulated_server *server,
                       const struct event *start)
{
    bool in_service = !server->removed && !server->lost && !server->unlisted &&
                      server->relist_at == 0 && simulated_server_reachable(simulator, server) &&
                      simulator->now >= server->silent_until;
    if (!in_service || simulator->faults.struck_start == 0 ||
        !simulator_chance(simulator, simulator->faults.struck_start)) {
        return;
    }
    simulator->counts.struck_starts++;
    if (draw(simulator, 100) < RESTARTED_PERCENT) {
        restart_unseen(simulator, server);
    }
    simulator_trace(simulator, server, "cut", start->action->task);
    cut_off(simulator, server, start->due_at);
    if (simulator->term_ends_at == 0 && draw(simulator, 100) < TERM_END_PERCENT) {
        simulator->term_ends_at = start->due_at + draw(simulator, LEADER_END_MAX_MS);
    }
}

/* Calls that are on their way take up to CALL_DURATION_MS. */
static void
slow_calls_under_way(struct simulator *simulator)
{
    for (guint i = 0; i < simulator->events->len; i++) {
        struct event *event = g_ptr_array_index(simulator->events, i);
        if (event->kind == EVENT_ORDER_ARRIVES && !event->delayed && !event->unsent) {
            int64_t latest = event->sent_at + CALL_DURATION_MS;
            int64_t spread = MAX(latest - event->due_at, 0);
            event->due_at += draw(simulator, (uint32_t)spread + 1);
            simulator_note_fault(simulator, event->due_at);
        }
    }
}

/*
 * The leader is lost, after its last renewal of its term by up to what it may go on without one;
 * others take the states of jobs that it has stored as signs of life too.
 */
static void
lose_silent_leader(struct simulator *simulator)
{
    int64_t heard_at = simulator->now - draw(simulator, LEADER_RENEWAL_TIMEOUT_MS);
    heard_at = MAX(heard_at, simulator->state_stored_at);
    simulator_end_term(simulator, heard_at + EARLIER_LEASES_MS,
                       500 + draw(simulator, NEW_LEADER_MAX_MS));
}

void
simulator_resign_leader(struct simulator *simulator, int64_t delay_ms)
{
    simulator_end_term(simulator, simulator->now + RESIGNED_LEASES_MS, delay_ms);
    simulator->counts.resignations++;
}

void
simulator_inject_term_end(struct simulator *simulator)
{
    if (simulator->term_ends_at == 0 || simulator->now < simulator->term_ends_at) {
        return;
    }
    simulator->term_ends_at = 0;
    if (simulator->engine == NULL) {
        return;
    }
    slow_calls_under_way(simulator);
    if (draw(simulator, 100) < RESIGNATION_PERCENT) {
        simulator_resign_leader(simulator, 50 + draw(simulator, NEW_LEADER_MAX_MS));
    }
    else {
        lose_silent_leader(simulator);
    }
}
