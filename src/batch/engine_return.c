/*
 * engine_return.c - places tasks that may only return to the servers that they had, as copies of
 * their earlier starts may still be carried out there; see engine_late_start.h.
 *
 * A gang returns as a whole, or not at all: each member to its own server.
 */
#include "batch/engine_cap.h"
#include "batch/engine_late_start.h"
#include "batch/engine_placement.h"

#define FAILURES_THERE_MAX 2 /* failures and refusals of a task after which it waits instead */

/*
 * Whether TASK had better wait than return to SERVER, which seems to fail whatever it runs: that
 * would use up the attempts, of which a task that runs until it is stopped has no limit.
 */
static bool
would_fail_there(const struct ms_batch_task *task, const struct ms_batch_server *server)
{
    bool others_fail = server->consecutive_failed_jobs > 1;
    bool fails_again = ms_batch_task_avoid_count(task, server) >= FAILURES_THERE_MAX;
    return !task->step->spec->long_running && (others_fail || fails_again);
}

/* The server that TASK may return to, NULL: none. */
static struct ms_batch_server *
server_to_return_to(const struct ms_engine *engine, const struct ms_batch_task *task)
{
    struct ms_batch_server *server = NULL;
    switch (ms_late_start_find_scope(engine, task, &server)) {
    case MS_LATE_START_NONE:
        server = task->last_server; /* of another member of a gang that has to return */
        break;
    case MS_LATE_START_ONE_SERVER:
        break;
    case MS_LATE_START_NOWHERE:
        return NULL;
    }
    bool suitable =
        server != NULL && ms_batch_server_usable(engine, server) && !would_fail_there(task, server);
    return suitable ? server : NULL;
}

/* Whether the servers of the current unit's tasks have room for all of them. */
static bool
has_room(const struct ms_placement_pass *pass, struct ms_batch_server *const *servers)
{
    uint32_t count = pass->unit->count;
    for (uint32_t i = 0; i < count; i++) {
        uint32_t wanted = 0;
        for (uint32_t k = 0; k < count; k++) {
            wanted += servers[k] == servers[i];
        }
        if (ms_capacity_max_tasks(pass, servers[i], MS_LEVEL_FREE, wanted) < wanted) {
            return false;
        }
    }
    return true;
}

/* Sets SERVERS, one for each task of the current unit; returns whether each has one. */
static bool
find_servers(const struct ms_placement_pass *pass, struct ms_batch_server **servers)
{
    const struct ms_unit *unit = pass->unit;
    for (uint32_t i = 0; i < unit->count; i++) {
        servers[i] = server_to_return_to(pass->engine, unit->tasks[i]);
        if (servers[i] == NULL) {
            return false;
        }
    }
    return true;
}

void
ms_place_return_unit(struct ms_placement_pass *pass, const struct ms_unit *unit)
{
    struct ms_batch_server **servers = g_new(struct ms_batch_server *, unit->count);
    bool allowed = ms_cap_max_tasks(unit) >= unit->count &&
                   ms_place_orderable_count(pass, unit) >= unit->count;
    pass->unit = unit;
    if (allowed && find_servers(pass, servers) && has_room(pass, servers)) {
        ms_place_start(pass, servers, unit->count);
    }
    else {
        pass->engine->units_waiting++;
        ms_explain_begin_unit(pass, MS_OUTCOME_LATE_START);
        ms_explain_unit(pass);
    }
    pass->unit = NULL;
    g_free(servers);
}
