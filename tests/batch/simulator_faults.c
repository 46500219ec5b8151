/*
 * simulator_faults.c - faults of the simulator: random ones, and those that a test asks for.
 *
 * Each fault notes until when it lasts, so that simulator_liveness.c knows when all are over.
 * The faults of the first scenarios draw a random number whatever their probability is,
 * those added later only if it is not 0: the random stream of a seed stays as it was.
 */
#include <string.h>

#include "batch/simulator_private.h"

#define DIRECTORY_ENTRY_TIMEOUT_MS 4500 /* when the entry of an unreachable server expires */
#define ENTRY_LAG_LIMIT_MS 1900         /* a directory entry is less late than this */
#define LEADER_SERIES_INTERVAL_MS 3000  /* at most, between two losses of a series */
#define LEADER_SERIES_MAX 4             /* losses of one series: all within 12 s */

/* Whether a fault occurs; unlike simulator_chance() this draws nothing if PER_MILLE is 0. */
static bool
occurs(struct simulator *simulator, int per_mille)
{
    return per_mille > 0 && simulator_chance(simulator, per_mille);
}

/* A random time of 1 to 1 + SPREAD seconds from now. */
static int64_t
random_time(struct simulator *simulator, uint32_t spread_ms)
{
    return simulator->now + 1000 + simulator_random(&simulator->random_state, spread_ms);
}

void
simulator_note_fault(struct simulator *simulator, int64_t until)
{
    simulator->faults_until = MAX(simulator->faults_until, until);
}

/* Removes the entry of SERVER from the directory; the server itself goes on. */
static void
unlist_server(struct simulator *simulator, struct simulated_server *server)
{
    simulator_trace(simulator, server, "unlist", "");
    server->unlisted = true;
    if (simulator->engine != NULL) {
        ms_engine_unlist_server(simulator->engine, server->entry.id, simulator->now);
    }
}

/* Publishes the entry of SERVER, also after its expiry. */
static void
list_server(struct simulator *simulator, struct simulated_server *server)
{
    server->unlisted = false;
    server->entry_due_at = 0;
    server->shows_former = false;
    server->entry.clock_ms = simulated_server_clock(simulator, server);
    if (simulator->engine != NULL) {
        ms_engine_update_server(simulator->engine, &server->entry, simulator->now);
    }
}

/* Removes SERVER, which has shut down or was lost, for good. */
static void
remove_server(struct simulator *simulator, struct simulated_server *server)
{
    server->removed = true;
    unlist_server(simulator, server);
}

/* Makes SERVER disappear for good; its directory entry expires later. */
static void
lose_server(struct simulator *simulator, struct simulated_server *server)
{
    simulator_trace(simulator, server, "vanish", "");
    simulated_server_clear(simulator, server);
    server->lost = true;
    server->unlist_at = simulator->now + DIRECTORY_ENTRY_TIMEOUT_MS;
    simulator_note_fault(simulator, server->unlist_at);
}

/* How long the directory takes to show a start; draws no random number. */
static int64_t
entry_lag_ms(const struct simulator *simulator)
{
    return simulator->now % ENTRY_LAG_LIMIT_MS;
}

static void
restart_server(struct simulator *simulator, struct simulated_server *server)
{
    simulator_trace(simulator, server, "crash", "");
    simulated_server_clear(simulator, server);
    server->entry.start_unix_ms += 100000;
    simulator_note_fault(simulator, simulator->now);
    if (!server->unlisted) {
        server->entry_due_at = simulator->now + entry_lag_ms(simulator);
    }
}

static void
disconnect_server(struct simulator *simulator, struct simulated_server *server, int64_t until)
{
    simulator_trace(simulator, server, "disconnect", "");
    server->unreachable_from = simulator->now;
    server->unreachable_until = until;
    simulator_note_fault(simulator, until);
}

static void
stall_server(struct simulator *simulator, struct simulated_server *server, int64_t until)
{
    simulator_trace(simulator, server, "hang", "");
    server->stalled_until = until;
    simulator_note_fault(simulator, until);
}

static void
silence_server(struct simulator *simulator, struct simulated_server *server, int64_t until)
{
    simulator_trace(simulator, server, "silence", "");
    server->silent_until = until;
    simulator_note_fault(simulator, until);
}

/*
 * Disconnects SERVER until its directory entry has expired.  The entry returns up to 2 s before
 * or after the connection.
 */
static void
expire_directory_entry(struct simulator *simulator, struct simulated_server *server)
{
    server->unlist_at = simulator->now + DIRECTORY_ENTRY_TIMEOUT_MS;
    int64_t reachable_at = server->unlist_at + 2000;
    reachable_at += simulator_random(&simulator->random_state, 4000);
    server->relist_at = reachable_at - 2000;
    server->relist_at += simulator_random(&simulator->random_state, 4000);
    disconnect_server(simulator, server, reachable_at);
    simulator_note_fault(simulator, server->relist_at);
}

/* Lets the directory entry of SERVER expire and return as expire_directory_entry() has set. */
static void
update_directory_entry(struct simulator *simulator, struct simulated_server *server)
{
    if (!server->unlisted && simulator->now >= server->unlist_at) {
        unlist_server(simulator, server);
    }
    if (simulator->now >= server->relist_at) {
        simulator_trace(simulator, server, "relist", "");
        server->relist_at = 0;
        list_server(simulator, server);
    }
}

static void
drain_server(struct simulator *simulator, struct simulated_server *server)
{
    server->entry.draining = true;
    server->shutdown_at = simulator->now + 4000;
    simulator_note_fault(simulator, server->shutdown_at);
    if (!server->unlisted) {
        server->draining_since = simulator->now;
        list_server(simulator, server);
    }
}

/* Causes random faults of SERVER, and completes the removal of one that shut down or was lost. */
static void
inject_server_faults(struct simulator *simulator, struct simulated_server *server)
{
    const struct simulator_faults *faults = &simulator->faults;
    if (server->removed) {
        return;
    }
    if (server->shutdown_at > 0 && simulator->now >= server->shutdown_at) {
        simulated_server_clear(simulator, server);
        remove_server(simulator, server);
        return;
    }
    if (server->lost) {
        if (simulator->now >= server->unlist_at) {
            remove_server(simulator, server);
        }
        return;
    }
    if (simulator_chance(simulator, faults->server_loss)) {
        lose_server(simulator, server);
        return;
    }
    if (simulator_chance(simulator, faults->server_restart)) {
        restart_server(simulator, server);
    }
    if (server->entry_due_at > 0 && simulator->now >= server->entry_due_at && !server->unlisted) {
        list_server(simulator, server);
    }
    if (simulator_chance(simulator, faults->run_stall)) {
        stall_server(simulator, server, random_time(simulator, 5000));
    }
    if (occurs(simulator, faults->server_silence)) {
        silence_server(simulator, server, random_time(simulator, 14000));
    }
    if (simulator_chance(simulator, faults->server_disconnect)) {
        disconnect_server(simulator, server, random_time(simulator, 5000));
    }
    if (simulator_chance(simulator, faults->server_drain) && !server->entry.draining) {
        drain_server(simulator, server);
    }
    if (server->relist_at > 0) {
        update_directory_entry(simulator, server);
    }
    else if (occurs(simulator, faults->directory_expiry)) {
        expire_directory_entry(simulator, server);
    }
}

/* A random server with a run of a gang, or NULL if there is none. */
static struct simulated_server *
random_gang_server(struct simulator *simulator)
{
    struct simulated_server *servers[SIMULATOR_SERVERS_MAX];
    uint32_t count = 0;
    for (size_t i = 0; i < simulator->server_count; i++) {
        struct simulated_server *server = &simulator->servers[i];
        bool has_gang = false;
        for (guint k = 0; k < server->runs->len; k++) {
            has_gang |= g_array_index(server->runs, struct run, k).gang;
        }
        if (has_gang) {
            servers[count++] = server;
        }
    }
    return count > 0 ? servers[simulator_random(&simulator->random_state, count)] : NULL;
}

/* Causes random faults of servers that run a member of a gang. */
static void
inject_gang_faults(struct simulator *simulator)
{
    struct simulated_server *server = NULL;
    if (occurs(simulator, simulator->faults.gang_server_loss) &&
        (server = random_gang_server(simulator)) != NULL) {
        lose_server(simulator, server);
    }
    if (occurs(simulator, simulator->faults.gang_stall) &&
        (server = random_gang_server(simulator)) != NULL) {
        stall_server(simulator, server, random_time(simulator, 5000));
    }
}

/* Cancels a random submitted job, possibly one that has ended, or none. */
static void
cancel_random_job(struct simulator *simulator)
{
    GHashTableIter iterator;
    gpointer id = NULL;
    g_hash_table_iter_init(&iterator, simulator->specs);
    uint32_t skip =
        simulator_random(&simulator->random_state, g_hash_table_size(simulator->specs) + 1);
    while (g_hash_table_iter_next(&iterator, &id, NULL)) {
        if (skip-- == 0) {
            simulator_cancel_job(simulator, id);
            return;
        }
    }
}

/* The leader is lost, and there is none, or the next loss is pending, until UNTIL. */
static void
note_leader_loss(struct simulator *simulator, int64_t until)
{
    if (!simulator->leader_losses_expected) {
        simulator_note_fault(simulator, until);
    }
}

/* Loses the leader, as part of a series of losses or on its own. */
static void
inject_leader_faults(struct simulator *simulator)
{
    if (simulator->engine != NULL && simulator_chance(simulator, simulator->faults.leader_change)) {
        simulator_change_leader(simulator, 500 + simulator_random(&simulator->random_state, 3000));
    }
    if (simulator->leader_losses_left == 0 &&
        occurs(simulator, simulator->faults.leader_change_series)) {
        simulator->leader_losses_left =
            2 + simulator_random(&simulator->random_state, LEADER_SERIES_MAX - 1);
        simulator->next_leader_loss_at = simulator->now;
    }
    if (simulator->leader_losses_left == 0 || simulator->now < simulator->next_leader_loss_at) {
        return;
    }
    if (simulator->engine != NULL) {
        simulator_change_leader(simulator, 500 + simulator_random(&simulator->random_state, 1500));
    }
    simulator->leader_losses_left--;
    simulator->next_leader_loss_at = random_time(simulator, LEADER_SERIES_INTERVAL_MS - 1000);
    if (simulator->leader_losses_left > 0) {
        note_leader_loss(simulator, simulator->next_leader_loss_at);
    }
}

void
simulator_inject_faults(struct simulator *simulator)
{
    for (size_t i = 0; i < simulator->server_count; i++) {
        inject_server_faults(simulator, &simulator->servers[i]);
    }
    inject_gang_faults(simulator);
    if (simulator_chance(simulator, simulator->faults.log_outage)) {
        simulator->log_outage_until = random_time(simulator, 3000);
        simulator_note_fault(simulator, simulator->log_outage_until);
    }
    inject_leader_faults(simulator);
    simulator_inject_term_end(simulator);
    if (simulator_chance(simulator, simulator->faults.job_cancellation)) {
        cancel_random_job(simulator);
    }
}

void
simulator_end_term(struct simulator *simulator, int64_t leases_until, int64_t delay_ms)
{
    ms_engine_free(simulator->engine);
    simulator->engine = NULL;
    simulator->earlier_leases_until = MAX(simulator->earlier_leases_until, leases_until);
    simulator->new_leader_at = simulator->now + delay_ms;
    note_leader_loss(simulator, simulator->new_leader_at);
    simulator->counts.leader_changes++;
}

void
simulator_change_leader(struct simulator *simulator, int64_t delay_ms)
{
    simulator_end_term(simulator, simulator->now + EARLIER_LEASES_MS, delay_ms);
}

void
simulator_set_faults(struct simulator *simulator, const struct simulator_faults *faults)
{
    simulator->faults = *faults;
}

void
simulator_disable_faults(struct simulator *simulator)
{
    memset(&simulator->faults, 0, sizeof(simulator->faults));
}

void
simulator_disable_server_faults(struct simulator *simulator, int per_mille)
{
    simulator_disable_faults(simulator);
    simulator->faults.leader_change_series = per_mille;
    simulator->leader_losses_expected = true;
}

void
simulator_disconnect_server(struct simulator *simulator, size_t index, int64_t ms)
{
    disconnect_server(simulator, &simulator->servers[index], simulator->now + ms);
}

void
simulator_lose_server(struct simulator *simulator, size_t index)
{
    lose_server(simulator, &simulator->servers[index]);
}

void
simulator_restart_server(struct simulator *simulator, size_t index)
{
    restart_server(simulator, &simulator->servers[index]);
}

void
simulator_silence_server(struct simulator *simulator, size_t index, int64_t ms)
{
    silence_server(simulator, &simulator->servers[index], simulator->now + ms);
}

void
simulator_stop_log(struct simulator *simulator, int64_t ms)
{
    simulator->log_outage_until = simulator->now + ms;
    simulator_note_fault(simulator, simulator->log_outage_until);
}

void
simulator_stall_runs(struct simulator *simulator, size_t index, int64_t ms)
{
    stall_server(simulator, &simulator->servers[index], simulator->now + ms);
}

void
simulator_drain_and_unlist_server(struct simulator *simulator, size_t index, int64_t ms)
{
    struct simulated_server *server = &simulator->servers[index];
    server->entry.draining = true;
    server->draining_since = simulator->now;
    list_server(simulator, server);
    simulator_disconnect_server(simulator, index, ms);
    unlist_server(simulator, server);
}

void
simulator_relist_server(struct simulator *simulator, size_t index)
{
    list_server(simulator, &simulator->servers[index]);
}
