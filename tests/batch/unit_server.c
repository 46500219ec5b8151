/*
 * unit_server.c - tests of which backend servers the engine may give tasks to.
 *
 * The engine runs alone; the test answers its orders for one server.
 */
#include <string.h>

#include "batch/unit.h"
#include "batch/engine.h"

#define TICK_MS 10
#define START_UNIX_MS 5000 /* start of the server's first incarnation */

/* An engine and one backend server, which answers every renewal while it is reachable. */
struct fixture {
    struct ms_engine *engine;
    struct ms_directory_entry entry; /* of the server, as it registers itself */
    bool reachable;
    int64_t now;
};

static void
fixture_init(struct fixture *fixture)
{
    struct ms_engine_limits limits;
    struct ms_directory_entry *entry = &fixture->entry;
    memset(fixture, 0, sizeof(*fixture));
    ms_engine_limits_defaults(&limits);
    fixture->engine = ms_engine_new(&limits, 1, 0, 0);
    fixture->reachable = true;
    fixture->now = 1000;
    entry->start_unix_ms = START_UNIX_MS;
    entry->capacity = (struct ms_resources){64000, 64000, 8};
    g_strlcpy(entry->id, "one", sizeof(entry->id));
    g_strlcpy(entry->address, "127.0.0.1:1", sizeof(entry->address));
    g_strlcpy(entry->dc, "dc", sizeof(entry->dc));
    g_strlcpy(entry->service, "service", sizeof(entry->service));
}

/* The server writes its directory entry. */
static void
heartbeat(struct fixture *fixture)
{
    fixture->entry.clock_ms = fixture->now;
    ms_engine_update_server(fixture->engine, &fixture->entry, fixture->now);
}

/* The server's directory entry expires. */
static void
expire_entry(struct fixture *fixture)
{
    ms_engine_unlist_server(fixture->engine, fixture->entry.id, fixture->now);
}

/* Advances the clock by MS and answers the renewals of the server's lease. */
static void
run(struct fixture *fixture, int64_t ms)
{
    int64_t until = fixture->now + ms;
    for (; fixture->now < until; fixture->now += TICK_MS) {
        int64_t now = fixture->now;
        struct ms_engine_action *action = NULL;
        ms_engine_tick(fixture->engine, now, now);
        while ((action = ms_engine_pop_action(fixture->engine)) != NULL) {
            struct ms_server_report report = {.start_unix_ms = fixture->entry.start_unix_ms,
                                              .clock_ms = now};
            ck_assert_int_eq(action->kind, MS_ENGINE_RENEW_LEASE);
            bool answers =
                fixture->reachable && strcmp(action->address, fixture->entry.address) == 0;
            ms_engine_on_renewal_answer(fixture->engine, action,
                                        answers ? MS_ORDER_OK : MS_ORDER_NO_ANSWER,
                                        answers ? &report : NULL, now, now);
            ms_engine_action_free(action);
        }
    }
}

static uint32_t
usable_servers(const struct fixture *fixture)
{
    struct ms_engine_stats stats;
    ms_engine_stats(fixture->engine, &stats);
    return stats.servers_usable;
}

/* A server without tasks stayed unresponsive after its directory entry expired behind a cut. */
START_TEST(idle_server_is_usable_again_after_its_entry_expired_behind_a_cut)
{
    struct fixture fixture;
    fixture_init(&fixture);
    heartbeat(&fixture);
    run(&fixture, 500);
    ck_assert_uint_eq(usable_servers(&fixture), 1);
    fixture.reachable = false;
    expire_entry(&fixture);
    run(&fixture, 2000);
    ck_assert_uint_eq(usable_servers(&fixture), 0);
    fixture.reachable = true;
    for (int i = 0; i < 4; i++) {
        heartbeat(&fixture);
        run(&fixture, 1500);
    }
    ck_assert_uint_eq(usable_servers(&fixture), 1);
    ms_engine_free(fixture.engine);
}
END_TEST

/* The server starts again under its id, after its time of day stepped back. */
static void
restart_with_earlier_start_time(struct fixture *fixture)
{
    fixture->entry.start_unix_ms = START_UNIX_MS - 2000;
}

/* A server whose time of day stepped back before it restarted stayed out of use. */
START_TEST(server_restarted_with_an_earlier_start_time_is_usable)
{
    struct fixture fixture;
    fixture_init(&fixture);
    heartbeat(&fixture);
    run(&fixture, 500);
    expire_entry(&fixture);
    restart_with_earlier_start_time(&fixture);
    run(&fixture, 500);
    ck_assert_uint_eq(usable_servers(&fixture), 0);
    heartbeat(&fixture);
    run(&fixture, 500);
    ck_assert_uint_eq(usable_servers(&fixture), 1);
    ms_engine_free(fixture.engine);
}
END_TEST

/* The same for one that now has another address, so that its earlier one no longer answers. */
START_TEST(server_restarted_at_another_address_with_an_earlier_start_time_is_usable)
{
    struct fixture fixture;
    fixture_init(&fixture);
    heartbeat(&fixture);
    run(&fixture, 500);
    expire_entry(&fixture);
    restart_with_earlier_start_time(&fixture);
    g_strlcpy(fixture.entry.address, "127.0.0.1:2", sizeof(fixture.entry.address));
    run(&fixture, 500);
    ck_assert_uint_eq(usable_servers(&fixture), 0);
    heartbeat(&fixture);
    run(&fixture, 500);
    ck_assert_uint_eq(usable_servers(&fixture), 1);
    ms_engine_free(fixture.engine);
}
END_TEST

/* A delayed entry of an earlier incarnation must not replace that of a server that answers. */
START_TEST(delayed_entry_of_earlier_incarnation_is_ignored)
{
    struct fixture fixture;
    fixture_init(&fixture);
    heartbeat(&fixture);
    run(&fixture, 500);
    struct ms_directory_entry earlier = fixture.entry;
    earlier.start_unix_ms = START_UNIX_MS - 2000;
    g_strlcpy(earlier.address, "127.0.0.1:2", sizeof(earlier.address));
    ms_engine_update_server(fixture.engine, &earlier, fixture.now);
    run(&fixture, 500);
    ck_assert_uint_eq(usable_servers(&fixture), 1);
    ms_engine_free(fixture.engine);
}
END_TEST

TCase *
server_cases(void)
{
    TCase *cases = tcase_create("server");
    tcase_add_test(cases, idle_server_is_usable_again_after_its_entry_expired_behind_a_cut);
    tcase_add_test(cases, server_restarted_with_an_earlier_start_time_is_usable);
    tcase_add_test(cases, server_restarted_at_another_address_with_an_earlier_start_time_is_usable);
    tcase_add_test(cases, delayed_entry_of_earlier_incarnation_is_ignored);
    return cases;
}
