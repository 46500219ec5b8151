/*
 * backend.h - the links to the backend servers of one data centre.
 *
 * One thread keeps a lease renewal ("sync") open at every server and sends
 * task operations.  The interface of a backend server, as used here:
 *
 *     POST URL/sync {"holder", "epoch", "fence", "as_of", "withhold": [task...],
 *                    "wait_ms"}
 *       200 {"fence", "as_of", "new": bool, "slots", "accels", "rack",
 *            "leaving", "tasks": [...], "ended": [...], "usage": [...]}
 *       409 {"holder", "epoch"}: held by another host
 *     POST URL/ops {"fence", "call", "ops": [{"op", "id", "member", "attempt",
 *                   ...}]}
 *       200 {"results": ["ok" | "refused" ...]}, in the order of the ops
 *       409: the fence or the call is out of date; nothing was done
 *
 * "call" counts up under one fence.  A server carries each call out once: the
 * same number again gets the same answer, a lower one is out of date.  So a
 * call that is sent again, or that arrives late, does nothing twice.
 *
 * A lease runs from the server's own time of its last answer that the holder
 * has received (`as_of`), so a renewal that was delayed on the way extends
 * nothing.  A server that is asked to stop a task that it does not know remembers it as ended
 * without a start, so a start that arrives late does nothing.
 */
#ifndef MS_BACKEND_H
#define MS_BACKEND_H

#include "config/settings.h"
#include "mustardspread/mustardspread.h"
#include "obs/counters.h"
#include "obs/ring.h"

struct ms_backend;

struct ms_backend *ms_backend_start(const struct ms_settings *settings,
                                    struct ms_counters *counters, struct ms_ring *node_ring);
void ms_backend_stop(struct ms_backend *backend);

/*
 * Holds the servers as EPOCH from now on.  GENERATION is given back with every
 * event.  A second call replaces the first.
 */
bool ms_backend_claim(struct ms_backend *backend, uint64_t generation, uint64_t epoch);

/* Gives the servers up; they may be held by others once the leases lapse. */
bool ms_backend_release(struct ms_backend *backend);

/* Adds the server NAME at URL, or changes its address. */
bool ms_backend_add(struct ms_backend *backend, const char *name, const char *url);
bool ms_backend_remove(struct ms_backend *backend, const char *name);

/* Sends one task operation.  Returns false when the queue is full. */
bool ms_backend_task(struct ms_backend *backend, const struct ms_action *action);

#endif
