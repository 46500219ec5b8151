/*
 * backend.h - client of the backend servers of one data centre.
 *
 * One thread keeps a lease renewal ("sync", a long poll) open at every server
 * and sends task operations.  A server executes operations of one host at a time: it
 * is granted to the leader of its data centre.  The HTTP interface of a backend
 * server, as used here (times are in ms):
 *
 *     POST URL/sync {"holder", "epoch", "fence", "as_of", "withhold": [task...],
 *                    "wait_ms"}
 *       200 {"fence", "as_of", "new": bool, "slots", "accels", "rack",
 *            "leaving", "tasks": [...], "ended": [...], "usage": [...]}
 *       409 {"holder", "epoch"}: granted to another host, or the fence is out of date
 *     POST URL/ops {"fence", "call", "ops": [{"op", "id", "member", "attempt",
 *                   ...}]}
 *       200 {"results": ["ok" | "refused" ...]}, in the order of the ops
 *       409: the fence or the call is out of date; nothing was executed now
 *
 * "fence" is a fencing token: a sync with fence 0 asks the server for a grant,
 * and each new grant ("new": true) has a new fence.  A sync with the current
 * fence renews the leases of all tasks except those in "withhold".  The answer
 * with a new grant reports all tasks of the server ("tasks"), any other answer
 * only those that have ended ("ended").  An item of "withhold" is the task's id,
 * member and attempt as "ID#MEMBER#ATTEMPT".  "usage" tells how many accelerators
 * tasks really use ("used_accels").
 *
 * "call" increases with each call under one fence.  A server executes each call
 * once: a call with the same number gets the same answer again, one with a lower
 * number is out of date.  A call that is sent again or arrives late therefore
 * has no second effect.
 *
 * A lease is extended from the time, on the server's clock, of the last answer
 * that the host has received ("as_of"), so a renewal that was delayed on the
 * network extends nothing.  A server that is asked to stop an unknown task
 * records it as ended without a start, so a start that arrives later does
 * nothing.
 */
#ifndef MS_BACKEND_H
#define MS_BACKEND_H

#include "config/settings.h"
#include "mustardspread/mustardspread.h"
#include "obs/counters.h"
#include "obs/ring.h"

struct ms_backend;

/*
 * Starts the thread.  Events go to NODE_RING as MS_MESSAGE_BACKEND_EVENTS.  The
 * arguments must remain valid until ms_backend_stop().  Returns NULL on failure.
 */
struct ms_backend *ms_backend_start(const struct ms_settings *settings,
                                    struct ms_counters *counters, struct ms_ring *node_ring);

/* Stops the thread and frees everything it owns.  NULL is allowed. */
void ms_backend_stop(struct ms_backend *backend);

/*
 * The functions below queue a command for the thread.  They return false when
 * the queue is full; the command is then lost.
 */

/*
 * Requests grants from all servers for the leader with EPOCH.  GENERATION (not
 * 0) is returned with every event, so that the receiver can discard events of
 * an earlier call.  A second call replaces the first.
 */
bool ms_backend_acquire(struct ms_backend *backend, uint64_t generation, uint64_t epoch);

/* Stops renewing; servers may be granted to other hosts once the leases expire. */
bool ms_backend_release(struct ms_backend *backend);

/* Adds the server NAME with the base URL, or changes the URL of a known server. */
bool ms_backend_add_server(struct ms_backend *backend, const char *name, const char *url);

/* Removes the server NAME and reports it as lost if it was granted. */
bool ms_backend_remove_server(struct ms_backend *backend, const char *name);

/* Sends the task operation of ACTION, which is copied. */
bool ms_backend_send_task_op(struct ms_backend *backend, const struct ms_action *action);

#endif
