/*
 * unit_advice.c - queues whose servers an outside service names.
 */
#include <string.h>

#include "batch/engine.h"
#include "batch/unit.h"
#include "ports/operator_records.h"
#include "ports/servers.h"

#define VALID_MS 3000
#define STEP_MS 20

/* An engine with servers, and what it has ordered. */
struct bed {
    struct ms_engine *engine;
    struct ms_stored_job job;
    int64_t now;
    uint32_t questions;
    uint32_t starts;
    char started_on[MS_NAME_MAX];
    char ticket[MS_TICKET_MAX];
    enum ms_order_result start_result; /* what servers answer to starts */
    const char *good;                  /* the server that the service names, or NULL */
    bool service_down;
};

static const struct ms_policy *
advised_policy(void)
{
    static struct ms_queue_rule queues[] = {{.name = "q0",
                                             .service = "service",
                                             .attempts_max = 3,
                                             .uses_advice = true,
                                             .ticket_valid_ms = VALID_MS}};
    static const struct ms_policy policy = {.version = 1, .queues = queues, .queue_count = 1};
    return &policy;
}

static void
add_server(struct bed *bed, const char *id)
{
    struct ms_directory_entry entry = {.start_unix_ms = 7, .capacity = {64000, 64000, 8}};
    g_strlcpy(entry.id, id, sizeof(entry.id));
    g_strlcpy(entry.address, "127.0.0.1:1", sizeof(entry.address));
    g_strlcpy(entry.dc, "dc", sizeof(entry.dc));
    g_strlcpy(entry.service, "service", sizeof(entry.service));
    ms_engine_update_server(bed->engine, &entry, bed->now);
}

static void
bed_set_up(struct bed *bed)
{
    struct ms_engine_limits limits;
    memset(bed, 0, sizeof(*bed));
    ms_engine_limits_defaults(&limits);
    bed->engine = ms_engine_new(&limits, 1, 0, 0);
    ms_engine_set_policy(bed->engine, advised_policy());
    add_server(bed, "one");
    add_server(bed, "two");
    g_strlcpy(bed->job.id, "job", sizeof(bed->job.id));
    bed->job.accepted = true;
    simple_spec(&bed->job.spec, "job", "q0", 1, 1);
    ms_engine_add_job(bed->engine, &bed->job, 0);
}

static void
bed_tear_down(struct bed *bed)
{
    ms_engine_free(bed->engine);
    ms_batch_spec_clear(&bed->job.spec);
}

static void
answer_question(struct bed *bed, const struct ms_engine_action *asked)
{
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct ms_advised_server));
    struct ms_advised_server row = {.ticket = ""};
    bed->questions++;
    ck_assert_str_eq(asked->task, "job.0.0");
    g_snprintf(row.ticket, sizeof(row.ticket), "ticket-%u", bed->questions);
    if (bed->good != NULL) {
        g_strlcpy(row.server_id, bed->good, sizeof(row.server_id));
        g_array_append_val(rows, row);
    }
    ms_engine_on_advice_answer(bed->engine, asked, bed->service_down ? NULL : rows, bed->now);
    g_array_unref(rows);
}

static void
answer_action(struct bed *bed, struct ms_engine_action *action)
{
    const struct ms_server_report report = {.start_unix_ms = 7, .clock_ms = bed->now};
    switch (action->kind) {
    case MS_ENGINE_RENEW_LEASE:
        ms_engine_on_renewal_answer(bed->engine, action, MS_ORDER_OK, &report, bed->now, bed->now);
        break;
    case MS_ENGINE_QUERY_ADVICE:
        answer_question(bed, action);
        break;
    case MS_ENGINE_STORE:
        ms_engine_on_stored(bed->engine, bed->now);
        break;
    case MS_ENGINE_START:
        bed->starts++;
        g_strlcpy(bed->started_on, action->server, sizeof(bed->started_on));
        g_strlcpy(bed->ticket, action->ticket, sizeof(bed->ticket));
        ms_engine_on_order_answer(bed->engine, action, bed->start_result, bed->now, bed->now);
        break;
    case MS_ENGINE_STOP:
    case MS_ENGINE_STEP_DOWN:
        break;
    }
}

/* Lets MS pass, or less: until a start was ordered. */
static void
bed_run(struct bed *bed, int64_t ms)
{
    int64_t end = bed->now + ms;
    uint32_t before = bed->starts;
    while (bed->now < end && bed->starts == before) {
        struct ms_engine_action *action = NULL;
        bed->now += STEP_MS;
        ms_engine_tick(bed->engine, bed->now, bed->now);
        for (int i = 0; i < 20 && (action = ms_engine_pop_action(bed->engine)) != NULL; i++) {
            answer_action(bed, action);
            ms_engine_action_free(action);
        }
    }
}

START_TEST(a_step_starts_where_the_service_says)
{
    struct bed bed;
    bed_set_up(&bed);
    bed.good = "two";
    bed_run(&bed, 2000);
    ck_assert_uint_eq(bed.starts, 1);
    ck_assert_uint_eq(bed.questions, 1);
    ck_assert_str_eq(bed.started_on, "two");
    ck_assert_str_eq(bed.ticket, "ticket-1");
    bed_tear_down(&bed);
}
END_TEST

START_TEST(nothing_starts_without_a_ticket)
{
    struct bed bed;
    bed_set_up(&bed);
    bed_run(&bed, 2000);
    ck_assert_uint_eq(bed.starts, 0);
    ck_assert_uint_eq(bed.questions, 1); /* what it says does not change */
    add_server(&bed, "three");
    bed.good = "three";
    bed_run(&bed, 2000);
    ck_assert_uint_eq(bed.questions, 2);
    ck_assert_str_eq(bed.started_on, "three");
    bed_tear_down(&bed);
}
END_TEST

START_TEST(a_service_that_is_away_is_asked_again)
{
    struct bed bed;
    bed_set_up(&bed);
    bed.good = "one";
    bed.service_down = true;
    bed_run(&bed, 1000);
    ck_assert_uint_eq(bed.starts, 0);
    ck_assert_uint_ge(bed.questions, 2);
    ck_assert_uint_le(bed.questions, 5); /* not without a pause */
    bed.service_down = false;
    bed_run(&bed, 1000);
    ck_assert_str_eq(bed.started_on, "one");
    bed_tear_down(&bed);
}
END_TEST

START_TEST(a_refused_ticket_is_asked_for_anew)
{
    struct bed bed;
    bed_set_up(&bed);
    bed.good = "one";
    bed.start_result = MS_ORDER_INVALID_TICKET;
    bed_run(&bed, 2000);
    ck_assert_str_eq(bed.ticket, "ticket-1");
    bed.start_result = MS_ORDER_OK;
    bed_run(&bed, 2000);
    ck_assert_uint_eq(bed.starts, 2);
    ck_assert_str_eq(bed.ticket, "ticket-2");
    bed_tear_down(&bed);
}
END_TEST

START_TEST(advice_is_decoded)
{
    static const char good[] = "{\"good\":[[\"i-1\",\"t-1\"],[\"i-2\",7],[\"i-3\",\"t-3\"]]}";
    GArray *rows = ms_advice_decode_answer(good, strlen(good));
    ck_assert_ptr_nonnull(rows);
    ck_assert_uint_eq(rows->len, 2); /* the row without a text is left out */
    ck_assert_str_eq(g_array_index(rows, struct ms_advised_server, 1).ticket, "t-3");
    g_array_unref(rows);
    ck_assert_ptr_null(ms_advice_decode_answer("{}", 2));
    ck_assert_ptr_null(ms_advice_decode_answer("[", 1));
}
END_TEST

START_TEST(an_advised_queue_is_decoded)
{
    static const char text[] =
        "{\"version\":3,\"routes\":[{\"name\":\"r\",\"pathPrefix\":\"/r/\",\"service\":\"s\","
        "\"advice\":{\"decideMs\":10,\"eachMs\":2,\"validMs\":4000}},"
        "{\"name\":\"q\",\"pathPrefix\":\"/q/\",\"service\":\"s\"}],\"tenants\":[]}";
    char error[MS_ERROR_TEXT_MAX];
    GBytes *bytes = g_bytes_new_static(text, strlen(text));
    struct ms_policy *policy = ms_policy_decode(bytes, error, sizeof(error));
    ck_assert_ptr_nonnull(policy);
    ck_assert(policy->queues[0].uses_advice);
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
    tcase_add_test(cases, a_step_starts_where_the_service_says);
    tcase_add_test(cases, nothing_starts_without_a_ticket);
    tcase_add_test(cases, a_service_that_is_away_is_asked_again);
    tcase_add_test(cases, a_refused_ticket_is_asked_for_anew);
    tcase_add_test(cases, advice_is_decoded);
    tcase_add_test(cases, an_advised_queue_is_decoded);
    return cases;
}
