/*
 * unit_withdraw.c - tests of starts that wait to be sent, and are withdrawn.
 *
 * The engine runs alone with two servers and one job.  The model of the order sender holds all
 * starts back until the test lets them go, as if the servers answered none; those that a WITHDRAW
 * names come back unsent.
 */
#include <string.h>

#include "batch/engine.h"
#include "batch/unit.h"
#include "entry/order_queue.h"

#define TICK_MS 10
#define SETTLE_MS 1000
#define LEASE_OVER_MS 15000 /* all leases have expired without a renewal for so long */
#define GANG_TASKS 2

enum { SERVER_COUNT = 2 };

struct fixture {
    struct ms_engine *engine;
    struct ms_directory_entry entries[SERVER_COUNT];
    struct ms_stored_job job;
    GQueue *waiting; /* struct ms_order_command: starts that have not been sent */
    int64_t now;
    bool answers_renewals;
    uint32_t start_count; /* starts that were sent */
    uint32_t withdrawn_count;
    uint32_t stop_count;
    bool run_lost;
};

static struct ms_account_rule accounts[] = {{.name = "account"}};

static void
set_policy(struct fixture *fixture, int64_t cap_accels)
{
    static struct ms_queue_rule queues[] = {
        {.name = "q0", .service = "service", .failures_max = 9}};
    static struct ms_policy policy = {
        .queues = queues, .queue_count = 1, .accounts = accounts, .account_count = 1};
    policy.version++;
    accounts[0].cap.accels = cap_accels;
    ms_engine_set_policy(fixture->engine, &policy);
}

static void
note_event(void *opaque, const char *text)
{
    struct fixture *fixture = opaque;
    fixture->run_lost |= strstr(text, "event=run_lost") != NULL;
}

static void
list_server(struct fixture *fixture, size_t index)
{
    ms_engine_update_server(fixture->engine, &fixture->entries[index], fixture->now);
}

/* A job of TASK_COUNT tasks, a gang if GANG; each task fills a server if it is one. */
static void
fixture_init(struct fixture *fixture, uint32_t task_count, bool gang)
{
    struct ms_engine_limits limits;
    memset(fixture, 0, sizeof(*fixture));
    ms_engine_limits_defaults(&limits);
    fixture->now = 1000;
    fixture->answers_renewals = true;
    fixture->waiting = g_queue_new();
    fixture->engine = ms_engine_new(&limits, 1, 0, fixture->now);
    ms_engine_set_log(fixture->engine, note_event, fixture);
    set_policy(fixture, 0);
    for (size_t i = 0; i < SERVER_COUNT; i++) {
        struct ms_directory_entry *entry = &fixture->entries[i];
        *entry = (struct ms_directory_entry){.start_unix_ms = 5000,
                                             .service = "service",
                                             .clock_ms = fixture->now,
                                             .capacity = {64000, 64000, 8}};
        g_snprintf(entry->id, sizeof(entry->id), "s%zu", i);
        g_snprintf(entry->dc, sizeof(entry->dc), "dc%zu", i);
        g_snprintf(entry->address, sizeof(entry->address), "127.0.0.1:%zu", i + 1);
        list_server(fixture, i);
    }
    g_strlcpy(fixture->job.id, "job", sizeof(fixture->job.id));
    fixture->job.accepted = true;
    simple_spec(&fixture->job.spec, "job", "q0", task_count, gang ? 8 : 1);
    fixture->job.spec.steps[0].gang = gang;
    ms_engine_add_job(fixture->engine, &fixture->job, fixture->now);
}

static void
fixture_clear(struct fixture *fixture)
{
    g_queue_free_full(fixture->waiting, ms_order_command_free);
    ms_engine_free(fixture->engine);
    ms_batch_spec_clear(&fixture->job.spec);
}

static void
answer_order(struct fixture *fixture, const struct ms_engine_action *order,
             enum ms_order_result result)
{
    int64_t clock_ms = result == MS_ORDER_OK ? fixture->now : 0;
    ms_engine_on_order_answer(fixture->engine, order, result, clock_ms, fixture->now);
}

static void
answer_renewal(struct fixture *fixture, const struct ms_engine_action *renewal)
{
    struct ms_server_report report = {.start_unix_ms = 5000, .clock_ms = fixture->now};
    if (fixture->answers_renewals) {
        ms_engine_on_renewal_answer(fixture->engine, renewal, MS_ORDER_OK, &report, fixture->now,
                                    fixture->now);
    }
    else {
        ms_engine_on_renewal_answer(fixture->engine, renewal, MS_ORDER_NO_ANSWER, NULL,
                                    fixture->now, fixture->now);
    }
}

/* Withdraws the start that ACTION names, if it waits. */
static void
withdraw(struct fixture *fixture, const struct ms_engine_action *action)
{
    struct ms_engine_action copy = *action;
    const struct ms_order_command withdrawal = {.order = &copy};
    struct ms_order_command *start = ms_order_queue_withdraw(fixture->waiting, &withdrawal);
    if (start != NULL) {
        fixture->withdrawn_count++;
        answer_order(fixture, start->order, MS_ORDER_WITHDRAWN);
        ms_order_command_free(start);
    }
}

/* Adds a copy of START to those that wait to be sent. */
static void
queue_start(struct fixture *fixture, const struct ms_engine_action *start)
{
    struct ms_order_command *command = g_new0(struct ms_order_command, 1);
    command->order = g_memdup2(start, sizeof(*start));
    command->order->payload = g_strdup(start->payload);
    ms_order_queue_add(fixture->waiting, command);
}

static void
answer(void *opaque, const struct ms_engine_action *action)
{
    struct fixture *fixture = opaque;
    switch (action->kind) {
    case MS_ENGINE_START:
        queue_start(fixture, action);
        break;
    case MS_ENGINE_STOP:
        fixture->stop_count++;
        answer_order(fixture, action, MS_ORDER_OK);
        break;
    case MS_ENGINE_WITHDRAW:
        withdraw(fixture, action);
        break;
    case MS_ENGINE_RENEW_LEASE:
        answer_renewal(fixture, action);
        break;
    case MS_ENGINE_STORE:
        ms_engine_on_stored(fixture->engine, fixture->now);
        break;
    case MS_ENGINE_QUERY_ADVICE:
    case MS_ENGINE_STEP_DOWN:
        break;
    }
}

static void
run(struct fixture *fixture, int64_t ms)
{
    for (int64_t until = fixture->now + ms; fixture->now < until;) {
        fixture->now += TICK_MS;
        ms_engine_tick(fixture->engine, fixture->now, fixture->now);
        answer_queued_actions(fixture->engine, answer, fixture);
    }
}

/* Runs until COUNT starts wait. */
static void
run_until_waiting(struct fixture *fixture, guint count)
{
    for (int i = 0; i < 100 && g_queue_get_length(fixture->waiting) < count; i++) {
        run(fixture, TICK_MS);
    }
    ck_assert_uint_eq(g_queue_get_length(fixture->waiting), count);
}

/* Sends the start that has waited longest; its answer is RESULT. */
static void
send_start(struct fixture *fixture, enum ms_order_result result)
{
    struct ms_order_command *start = g_queue_pop_head(fixture->waiting);
    fixture->start_count++;
    answer_order(fixture, start->order, result);
    ms_order_command_free(start);
}

static uint32_t
active_tasks(const struct fixture *fixture)
{
    struct ms_engine_stats stats;
    ms_engine_stats(fixture->engine, &stats);
    return stats.tasks_active;
}

/* Lists the server of the start that waits as draining. */
static void
drain_server_of_waiting_start(struct fixture *fixture)
{
    const struct ms_order_command *start = g_queue_peek_head(fixture->waiting);
    size_t index = strcmp(start->order->server, "s0") == 0 ? 0 : 1;
    fixture->entries[index].draining = true;
    fixture->entries[index].shutdown_in_ms = 8000;
    list_server(fixture, index);
}

/*
 * Guards against tasks that start long after their job was cancelled: their starts waited to be
 * sent.  They need no answer of the server, which may give none to renewals either.
 */
START_TEST(unsent_starts_of_a_cancelled_job_are_withdrawn)
{
    struct fixture fixture;
    fixture_init(&fixture, 5, false);
    run_until_waiting(&fixture, 5);
    fixture.answers_renewals = _i == 0;
    run(&fixture, SETTLE_MS);
    ms_engine_cancel_job(fixture.engine, "job", fixture.now);
    run(&fixture, SETTLE_MS);
    ck_assert_uint_eq(fixture.withdrawn_count, 5);
    ck_assert_uint_eq(active_tasks(&fixture), 0);
    fixture_clear(&fixture);
}
END_TEST

/* Guards against a task that starts on a server long after that was listed as draining. */
START_TEST(unsent_start_on_a_draining_server_is_withdrawn_and_the_task_goes_elsewhere)
{
    struct fixture fixture;
    fixture_init(&fixture, 1, false);
    run_until_waiting(&fixture, 1);
    char *first_server =
        g_strdup(((struct ms_order_command *)g_queue_peek_head(fixture.waiting))->order->server);
    drain_server_of_waiting_start(&fixture);
    run(&fixture, SETTLE_MS);
    ck_assert_uint_eq(fixture.withdrawn_count, 1);
    run_until_waiting(&fixture, 1);
    const struct ms_order_command *start = g_queue_peek_head(fixture.waiting);
    ck_assert_str_ne(start->order->server, first_server);
    ck_assert_uint_eq(start->order->run, 2);
    g_free(first_server);
    fixture_clear(&fixture);
}
END_TEST

/* Guards against a task that starts long after its data centre was taken out of service. */
START_TEST(unsent_start_in_a_data_centre_that_is_out_is_withdrawn)
{
    struct fixture fixture;
    GHashTable *dcs = g_hash_table_new(g_str_hash, g_str_equal);
    fixture_init(&fixture, 1, false);
    run_until_waiting(&fixture, 1);
    g_hash_table_add(dcs, "dc0");
    g_hash_table_add(dcs, "dc1");
    ms_engine_set_dcs_out(fixture.engine, dcs);
    run(&fixture, SETTLE_MS);
    ck_assert_uint_eq(fixture.withdrawn_count, 1);
    ck_assert_uint_eq(active_tasks(&fixture), 0);
    fixture_clear(&fixture);
    g_hash_table_destroy(dcs);
}
END_TEST

/* Guards against tasks that start above the cap of their account, long after it was lowered. */
START_TEST(unsent_starts_above_a_lowered_cap_are_withdrawn)
{
    struct fixture fixture;
    fixture_init(&fixture, 5, false);
    run_until_waiting(&fixture, 5);
    set_policy(&fixture, 3);
    run(&fixture, SETTLE_MS);
    ck_assert_uint_ge(fixture.withdrawn_count, 2);
    ck_assert_uint_le(g_queue_get_length(fixture.waiting), 3);
    ck_assert_uint_le(active_tasks(&fixture), 3);
    fixture_clear(&fixture);
}
END_TEST

/* Guards against a member of a gang that starts alone after another member was refused. */
START_TEST(unsent_start_of_a_gang_is_withdrawn_when_another_member_is_refused)
{
    struct fixture fixture;
    fixture_init(&fixture, GANG_TASKS, true);
    run_until_waiting(&fixture, GANG_TASKS);
    send_start(&fixture, MS_ORDER_UNAVAILABLE);
    run(&fixture, TICK_MS);
    ck_assert_uint_eq(fixture.withdrawn_count, 1);
    ck_assert_uint_eq(active_tasks(&fixture), 0);
    fixture_clear(&fixture);
}
END_TEST

/* Guards against a start of a run that was given up, as its server had not answered for long. */
START_TEST(unsent_start_of_a_lost_run_is_withdrawn)
{
    struct fixture fixture;
    fixture_init(&fixture, 2, false);
    run_until_waiting(&fixture, 2);
    fixture.answers_renewals = false;
    send_start(&fixture, MS_ORDER_NO_ANSWER); /* the server has not answered from now on */
    run(&fixture, LEASE_OVER_MS);
    ck_assert(fixture.run_lost);
    ck_assert_uint_ge(fixture.withdrawn_count, 1);
    const struct ms_order_command *start = g_queue_peek_head(fixture.waiting);
    ck_assert(start == NULL || start->order->run > 1);
    fixture_clear(&fixture);
}
END_TEST

/* Guards against a run that is taken for ended although its first start may be carried out. */
START_TEST(withdrawn_copy_of_an_unanswered_start_is_stopped)
{
    struct fixture fixture;
    fixture_init(&fixture, 1, false);
    run_until_waiting(&fixture, 1);
    send_start(&fixture, MS_ORDER_NO_ANSWER);
    run_until_waiting(&fixture, 1);
    ms_engine_cancel_job(fixture.engine, "job", fixture.now);
    run(&fixture, TICK_MS);
    ck_assert_uint_eq(fixture.withdrawn_count, 1);
    ck_assert_uint_ge(fixture.stop_count, 1);
    ck_assert_uint_eq(active_tasks(&fixture), 1); /* until the server's next report */
    fixture_clear(&fixture);
}
END_TEST

/* Guards against the loss of a start that was sent just before it was to be withdrawn. */
START_TEST(start_that_was_sent_is_not_withdrawn)
{
    struct fixture fixture;
    fixture_init(&fixture, 1, false);
    run_until_waiting(&fixture, 1);
    struct ms_order_command *sent = g_queue_pop_head(fixture.waiting);
    ms_engine_cancel_job(fixture.engine, "job", fixture.now);
    run(&fixture, TICK_MS);
    ck_assert_uint_eq(active_tasks(&fixture), 1);
    answer_order(&fixture, sent->order, MS_ORDER_OK);
    run(&fixture, SETTLE_MS);
    ck_assert_uint_eq(fixture.withdrawn_count, 0);
    ck_assert_uint_ge(fixture.stop_count, 1);
    ms_order_command_free(sent);
    fixture_clear(&fixture);
}
END_TEST

TCase *
withdraw_cases(void)
{
    TCase *cases = tcase_create("withdraw");
    tcase_add_loop_test(cases, unsent_starts_of_a_cancelled_job_are_withdrawn, 0, 2);
    tcase_add_test(cases,
                   unsent_start_on_a_draining_server_is_withdrawn_and_the_task_goes_elsewhere);
    tcase_add_test(cases, unsent_start_in_a_data_centre_that_is_out_is_withdrawn);
    tcase_add_test(cases, unsent_starts_above_a_lowered_cap_are_withdrawn);
    tcase_add_test(cases, unsent_start_of_a_gang_is_withdrawn_when_another_member_is_refused);
    tcase_add_test(cases, unsent_start_of_a_lost_run_is_withdrawn);
    tcase_add_test(cases, withdrawn_copy_of_an_unanswered_start_is_stopped);
    tcase_add_test(cases, start_that_was_sent_is_not_withdrawn);
    return cases;
}
