/*
 * unit_advice.c - tests of advised queues: the outside advice service names the servers that
 * may run a step.
 */
#include <string.h>

#include "batch/engine.h"
#include "batch/unit.h"
#include "ports/operator_records.h"
#include "ports/servers.h"

#define TICKET_VALID_MS 3000
#define TICK_MS 20

/* An engine with two servers and one job of one task, and a record of its actions. */
struct fixture {
    struct ms_engine *engine;
    struct ms_stored_job job;
    int64_t now;
    uint32_t query_count;
    uint32_t start_count;
    char last_start_server[MS_NAME_MAX];
    char ticket[MS_TICKET_MAX];
    enum ms_order_result start_result; /* the answer of servers to starts */
    const char *advised_server;        /* the server that the service advises, or NULL: none */
    bool service_down;
};

static const struct ms_policy *
advised_policy(void)
{
    static struct ms_queue_rule queues[] = {{.name = "q0",
                                             .service = "service",
                                             .failures_max = 3,
                                             .uses_advice = true,
                                             .ticket_valid_ms = TICKET_VALID_MS}};
    static const struct ms_policy policy = {.version = 1, .queues = queues, .queue_count = 1};
    return &policy;
}

static void
add_server(struct fixture *fixture, const char *id)
{
    struct ms_directory_entry entry = {.start_unix_ms = 7, .capacity = {64000, 64000, 8}};
    g_strlcpy(entry.id, id, sizeof(entry.id));
    g_strlcpy(entry.address, "127.0.0.1:1", sizeof(entry.address));
    g_strlcpy(entry.dc, "dc", sizeof(entry.dc));
    g_strlcpy(entry.service, "service", sizeof(entry.service));
    ms_engine_update_server(fixture->engine, &entry, fixture->now);
}

static void
fixture_set_up(struct fixture *fixture)
{
    struct ms_engine_limits limits;
    memset(fixture, 0, sizeof(*fixture));
    ms_engine_limits_defaults(&limits);
    fixture->engine = ms_engine_new(&limits, 1, 0, 0);
    ms_engine_set_policy(fixture->engine, advised_policy());
    add_server(fixture, "one");
    add_server(fixture, "two");
    g_strlcpy(fixture->job.id, "job", sizeof(fixture->job.id));
    fixture->job.accepted = true;
    simple_spec(&fixture->job.spec, "job", "q0", 1, 1);
    ms_engine_add_job(fixture->engine, &fixture->job, 0);
}

static void
fixture_tear_down(struct fixture *fixture)
{
    ms_engine_free(fixture->engine);
    ms_batch_spec_clear(&fixture->job.spec);
}

/* Answers a query as the advice service, with a new ticket each time. */
static void
answer_query(struct fixture *fixture, const struct ms_engine_action *query)
{
    GArray *servers = g_array_new(FALSE, TRUE, sizeof(struct ms_advised_server));
    struct ms_advised_server server = {.ticket = ""};
    fixture->query_count++;
    ck_assert_str_eq(query->task, "job.0.0");
    g_snprintf(server.ticket, sizeof(server.ticket), "ticket-%u", fixture->query_count);
    if (fixture->advised_server != NULL) {
        g_strlcpy(server.server_id, fixture->advised_server, sizeof(server.server_id));
        g_array_append_val(servers, server);
    }
    ms_engine_on_advice_answer(fixture->engine, query, fixture->service_down ? NULL : servers,
                               fixture->now);
    g_array_unref(servers);
}

static void
answer_action(struct fixture *fixture, struct ms_engine_action *action)
{
    const struct ms_server_report report = {.start_unix_ms = 7, .clock_ms = fixture->now};
    switch (action->kind) {
    case MS_ENGINE_RENEW_LEASE:
        ms_engine_on_renewal_answer(fixture->engine, action, MS_ORDER_OK, &report, fixture->now,
                                    fixture->now);
        break;
    case MS_ENGINE_QUERY_ADVICE:
        answer_query(fixture, action);
        break;
    case MS_ENGINE_STORE:
        ms_engine_on_stored(fixture->engine, fixture->now);
        break;
    case MS_ENGINE_START:
        fixture->start_count++;
        g_strlcpy(fixture->last_start_server, action->server, sizeof(fixture->last_start_server));
        g_strlcpy(fixture->ticket, action->ticket, sizeof(fixture->ticket));
        ms_engine_on_order_answer(fixture->engine, action, fixture->start_result, fixture->now,
                                  fixture->now);
        break;
    case MS_ENGINE_STOP:
    case MS_ENGINE_WITHDRAW:
    case MS_ENGINE_STEP_DOWN:
        break;
    }
}

/* Advances the clock by MS, or until a start is ordered. */
static void
fixture_run_until_start(struct fixture *fixture, int64_t ms)
{
    int64_t end_at = fixture->now + ms;
    uint32_t previous_start_count = fixture->start_count;
    while (fixture->now < end_at && fixture->start_count == previous_start_count) {
        struct ms_engine_action *action = NULL;
        fixture->now += TICK_MS;
        ms_engine_tick(fixture->engine, fixture->now, fixture->now);
        for (int i = 0; i < 20 && (action = ms_engine_pop_action(fixture->engine)) != NULL; i++) {
            answer_action(fixture, action);
            ms_engine_action_free(action);
        }
    }
}

/* Advances the clock until the advice service is queried; the query has no answer yet. */
static struct ms_engine_action *
fixture_next_query(struct fixture *fixture)
{
    for (int64_t end_at = fixture->now + 1000; fixture->now < end_at;) {
        struct ms_engine_action *action = NULL;
        fixture->now += TICK_MS;
        ms_engine_tick(fixture->engine, fixture->now, fixture->now);
        while ((action = ms_engine_pop_action(fixture->engine)) != NULL) {
            if (action->kind == MS_ENGINE_QUERY_ADVICE) {
                return action;
            }
            answer_action(fixture, action);
            ms_engine_action_free(action);
        }
    }
    ck_abort_msg("no query");
}

START_TEST(step_starts_on_advised_server)
{
    struct fixture fixture;
    fixture_set_up(&fixture);
    fixture.advised_server = "two";
    fixture_run_until_start(&fixture, 2000);
    ck_assert_uint_eq(fixture.start_count, 1);
    ck_assert_uint_eq(fixture.query_count, 1);
    ck_assert_str_eq(fixture.last_start_server, "two");
    ck_assert_str_eq(fixture.ticket, "ticket-1");
    fixture_tear_down(&fixture);
}
END_TEST

/* Without a ticket nothing may start; a server added later has to be asked about. */
START_TEST(nothing_starts_without_advised_server)
{
    struct fixture fixture;
    fixture_set_up(&fixture);
    fixture_run_until_start(&fixture, 2000);
    ck_assert_uint_eq(fixture.start_count, 0);
    ck_assert_uint_eq(fixture.query_count, 1); /* the same servers are not asked about again */
    add_server(&fixture, "three");
    fixture.advised_server = "three";
    fixture_run_until_start(&fixture, 2000);
    ck_assert_uint_eq(fixture.query_count, 2);
    ck_assert_str_eq(fixture.last_start_server, "three");
    fixture_tear_down(&fixture);
}
END_TEST

START_TEST(unavailable_service_is_queried_again)
{
    struct fixture fixture;
    fixture_set_up(&fixture);
    fixture.advised_server = "one";
    fixture.service_down = true;
    fixture_run_until_start(&fixture, 1000);
    ck_assert_uint_eq(fixture.start_count, 0);
    ck_assert_uint_ge(fixture.query_count, 2);
    ck_assert_uint_le(fixture.query_count, 5); /* there is a delay between queries */
    fixture.service_down = false;
    fixture_run_until_start(&fixture, 1000);
    ck_assert_str_eq(fixture.last_start_server, "one");
    fixture_tear_down(&fixture);
}
END_TEST

START_TEST(rejected_ticket_is_replaced)
{
    struct fixture fixture;
    fixture_set_up(&fixture);
    fixture.advised_server = "one";
    fixture.start_result = MS_ORDER_INVALID_TICKET;
    fixture_run_until_start(&fixture, 2000);
    ck_assert_str_eq(fixture.ticket, "ticket-1");
    fixture.start_result = MS_ORDER_OK;
    fixture_run_until_start(&fixture, 2000);
    ck_assert_uint_eq(fixture.start_count, 2);
    ck_assert_str_eq(fixture.ticket, "ticket-2");
    fixture_tear_down(&fixture);
}
END_TEST

/* A query answered while its queue was out of the policy left the step waiting for good. */
START_TEST(step_is_queried_again_after_its_queue_is_back)
{
    static const struct ms_policy no_queues = {.version = 2};
    struct fixture fixture;
    fixture_set_up(&fixture);
    struct ms_engine_action *query = fixture_next_query(&fixture);
    ms_engine_set_policy(fixture.engine, &no_queues);
    fixture.advised_server = "one";
    answer_query(&fixture, query);
    ms_engine_action_free(query);
    ms_engine_set_policy(fixture.engine, advised_policy());
    fixture_run_until_start(&fixture, 2000);
    ck_assert_str_eq(fixture.last_start_server, "one");
    fixture_tear_down(&fixture);
}
END_TEST

START_TEST(advice_answer_is_decoded)
{
    static const char answer[] = "{\"good\":[[\"i-1\",\"t-1\"],[\"i-2\",7],[\"i-3\",\"t-3\"]]}";
    GArray *servers = ms_advice_decode_answer(answer, strlen(answer));
    ck_assert_ptr_nonnull(servers);
    ck_assert_uint_eq(servers->len, 2); /* the row whose ticket is not a string is left out */
    ck_assert_str_eq(g_array_index(servers, struct ms_advised_server, 1).ticket, "t-3");
    g_array_unref(servers);
    ck_assert_ptr_null(ms_advice_decode_answer("{}", 2));
    ck_assert_ptr_null(ms_advice_decode_answer("[", 1));
}
END_TEST

START_TEST(advised_queue_is_decoded)
{
    static const char text[] =
        "{\"version\":3,\"routes\":[{\"name\":\"r\",\"pathPrefix\":\"/r/\",\"service\":\"s\","
        "\"advice\":{\"decideMs\":10,\"eachMs\":2,\"validMs\":4000}},"
        "{\"name\":\"q\",\"pathPrefix\":\"/q/\",\"service\":\"s\"}],\"tenants\":[]}";
    char error[MS_DETAIL_MAX];
    GBytes *bytes = g_bytes_new_static(text, strlen(text));
    struct ms_policy *policy = ms_policy_decode(bytes, error, sizeof(error));
    ck_assert_ptr_nonnull(policy);
    ck_assert(policy->queues[0].uses_advice);
    ck_assert_int_eq(policy->queues[0].advice_decide_ms, 10);
    ck_assert_int_eq(policy->queues[0].advice_each_ms, 2);
    ck_assert_int_eq(policy->queues[0].ticket_valid_ms, 4000);
    ck_assert(!policy->queues[1].uses_advice);
    ms_policy_free(policy);
    g_bytes_unref(bytes);
}
END_TEST

TCase *
advice_cases(void)
{
    TCase *cases = tcase_create("advice");
    tcase_add_test(cases, step_starts_on_advised_server);
    tcase_add_test(cases, nothing_starts_without_advised_server);
    tcase_add_test(cases, unavailable_service_is_queried_again);
    tcase_add_test(cases, rejected_ticket_is_replaced);
    tcase_add_test(cases, step_is_queried_again_after_its_queue_is_back);
    tcase_add_test(cases, advice_answer_is_decoded);
    tcase_add_test(cases, advised_queue_is_decoded);
    return cases;
}
