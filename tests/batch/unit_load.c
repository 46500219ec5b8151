/*
 * unit_load.c - tests of the leader under load: starts are held back while orders are behind.
 *
 * The engine runs alone; the test answers its renewals at once, and its orders when it decides
 * to.
 */
#include <stdio.h>
#include <string.h>

#include "batch/engine.h"
#include "batch/order_backlog.h"
#include "batch/unit.h"
#include "entry/order_queue.h"

#define EPOCH 1
#define TICK_MS 10
#define GANG_START_MS 2800
#define SERVER_COUNT 600
#define GANG_COUNT 60
#define GANG_TASKS 10
#define SINGLES_COUNT 1500

struct fixture {
    struct ms_engine *engine;
    int64_t now;
    bool answers_orders;
    GPtrArray *orders; /* struct ms_engine_action without an answer */
    uint32_t starts;
    uint32_t stops;
    struct ms_stored_job *jobs;
    size_t job_count;
};

static const struct ms_policy *
one_queue_policy(void)
{
    static struct ms_queue_rule queues[] = {
        {.name = "q0", .service = "service", .failures_max = 9}};
    static const struct ms_policy policy = {.version = 1, .queues = queues, .queue_count = 1};
    return &policy;
}

static void
list_server(struct fixture *fixture, uint32_t number)
{
    struct ms_directory_entry entry = {.capacity = {64000, 256000, 8}, .start_unix_ms = 1};
    snprintf(entry.id, sizeof(entry.id), "server-%u", number);
    g_strlcpy(entry.address, "10.0.0.1:80", sizeof(entry.address));
    g_strlcpy(entry.service, "service", sizeof(entry.service));
    ms_engine_update_server(fixture->engine, &entry, fixture->now);
}

static struct fixture *
new_fixture(void)
{
    struct fixture *fixture = g_new0(struct fixture, 1);
    struct ms_engine_limits limits;
    ms_engine_limits_defaults(&limits);
    limits.gang_start_ms = GANG_START_MS;
    fixture->now = 1000;
    fixture->orders = g_ptr_array_new_with_free_func((GDestroyNotify)ms_engine_action_free);
    fixture->jobs = g_new0(struct ms_stored_job, GANG_COUNT + SINGLES_COUNT);
    fixture->engine = ms_engine_new(&limits, EPOCH, 0, fixture->now);
    ms_engine_set_policy(fixture->engine, one_queue_policy());
    for (uint32_t i = 0; i < SERVER_COUNT; i++) {
        list_server(fixture, i);
    }
    ms_engine_end_directory_snapshot(fixture->engine, fixture->now);
    return fixture;
}

static void
free_fixture(struct fixture *fixture)
{
    ms_engine_free(fixture->engine);
    for (size_t i = 0; i < fixture->job_count; i++) {
        ms_batch_spec_clear(&fixture->jobs[i].spec);
    }
    g_ptr_array_unref(fixture->orders);
    g_free(fixture->jobs);
    g_free(fixture);
}

/* Answers all orders as carried out. */
static void
answer_orders(struct fixture *fixture)
{
    for (guint i = 0; i < fixture->orders->len; i++) {
        ms_engine_on_order_answer(fixture->engine, g_ptr_array_index(fixture->orders, i),
                                  MS_ORDER_OK, fixture->now, fixture->now);
    }
    g_ptr_array_set_size(fixture->orders, 0);
}

static void
carry_out(struct fixture *fixture, struct ms_engine_action *action)
{
    struct ms_server_report report = {.start_unix_ms = 1, .clock_ms = fixture->now};
    switch (action->kind) {
    case MS_ENGINE_START:
    case MS_ENGINE_STOP:
        fixture->starts += action->kind == MS_ENGINE_START;
        fixture->stops += action->kind == MS_ENGINE_STOP;
        g_ptr_array_add(fixture->orders, action);
        return;
    case MS_ENGINE_RENEW_LEASE:
        if (!action->server_has_tasks) {
            ms_engine_on_renewal_answer(fixture->engine, action, MS_ORDER_OK, &report, fixture->now,
                                        fixture->now);
        }
        break;
    case MS_ENGINE_STORE:
        ms_engine_on_stored(fixture->engine, fixture->now);
        break;
    case MS_ENGINE_WITHDRAW:
    case MS_ENGINE_QUERY_ADVICE:
    case MS_ENGINE_STEP_DOWN:
        break;
    }
    ms_engine_action_free(action);
}

/* Lets MS pass. */
static void
run(struct fixture *fixture, int64_t ms)
{
    for (int64_t until = fixture->now + ms; fixture->now < until; fixture->now += TICK_MS) {
        struct ms_engine_action *action = NULL;
        ms_engine_tick(fixture->engine, fixture->now, fixture->now);
        while ((action = ms_engine_pop_action(fixture->engine)) != NULL) {
            carry_out(fixture, action);
        }
        if (fixture->answers_orders) {
            answer_orders(fixture);
        }
    }
}

static void
submit(struct fixture *fixture, uint32_t tasks, int64_t accels, bool gang)
{
    struct ms_stored_job *job = &fixture->jobs[fixture->job_count];
    snprintf(job->id, sizeof(job->id), "job%zu", fixture->job_count++);
    simple_spec(&job->spec, job->id, "q0", tasks, accels);
    job->spec.steps[0].gang = gang;
    job->spec.accepted_ms = (int64_t)fixture->job_count;
    job->accepted = true;
    ms_engine_add_job(fixture->engine, job, fixture->now);
}

static uint32_t
count_unanswered(const struct fixture *fixture)
{
    struct ms_engine_stats stats;
    ms_engine_stats(fixture->engine, &stats);
    return stats.orders_unanswered;
}

/* Of a gang's starts, all have to be sent within a quarter of gang_start_ms. */
START_TEST(room_follows_from_gang_start_time_and_speed)
{
    struct ms_order_backlog backlog = {.unanswered = 0};
    /* One ms per order is assumed until it is known. */
    ck_assert_uint_eq(ms_order_backlog_room(&backlog, GANG_START_MS), 700);
    backlog.unanswered = 300;
    backlog.to_come = 200;
    ck_assert_uint_eq(ms_order_backlog_room(&backlog, GANG_START_MS), 200);
    ck_assert(ms_order_backlog_allows_gang(&backlog, 200, GANG_START_MS));
    ck_assert(!ms_order_backlog_allows_gang(&backlog, 201, GANG_START_MS));
    backlog.opening = 1000;
    ck_assert_uint_eq(ms_order_backlog_room(&backlog, GANG_START_MS), 0);
    backlog.opening = 0;
    backlog.order_ms = 0.25;
    ck_assert_uint_eq(ms_order_backlog_room(&backlog, GANG_START_MS), 2300);
    backlog.order_ms = 20; /* however slow, 256 orders may be unanswered */
    ck_assert_uint_eq(ms_order_backlog_room(&backlog, GANG_START_MS), 0);
    backlog.unanswered = backlog.to_come = 0;
    ck_assert_uint_eq(ms_order_backlog_room(&backlog, GANG_START_MS), 256);
    /* A gang that is wider than that must not wait for good. */
    ck_assert(ms_order_backlog_allows_gang(&backlog, 4000, GANG_START_MS));
}
END_TEST

/* Latency must not count as time that an order takes: a far data centre would hold gangs back. */
START_TEST(speed_is_measured_only_behind_other_orders)
{
    struct ms_order_backlog backlog = {.unanswered = 0};
    for (int i = 0; i < 1000; i++) {
        ms_order_backlog_note_answer(&backlog, 5, 400);
    }
    ck_assert_uint_eq(ms_order_backlog_room(&backlog, GANG_START_MS), 700);
    for (int i = 0; i < 1000; i++) {
        ms_order_backlog_note_answer(&backlog, 500, 1000);
    }
    ck_assert_uint_eq(ms_order_backlog_room(&backlog, GANG_START_MS), 350);
    for (int i = 0; i < 1000; i++) {
        ms_order_backlog_note_answer(&backlog, 500, 50);
    }
    ck_assert_uint_gt(ms_order_backlog_room(&backlog, GANG_START_MS), 6000);
}
END_TEST

/*
 * Load: 60 gangs of 10 tasks and 1,500 single tasks at once, whose 2,100 starts have no answer
 * yet.  All were ordered together before, so that starts, and the stops of incomplete gangs,
 * waited behind each other for longer than a gang may wait for its members.
 */
START_TEST(starts_are_held_back_while_orders_are_behind)
{
    struct fixture *fixture = new_fixture();
    run(fixture, 100);
    for (int i = 0; i < GANG_COUNT; i++) {
        submit(fixture, GANG_TASKS, 4, true);
    }
    submit(fixture, SINGLES_COUNT, 1, false);
    run(fixture, 600);
    ck_assert_uint_eq(count_unanswered(fixture), fixture->starts);
    ck_assert_uint_le(fixture->starts, GANG_START_MS / 4);
    ck_assert_uint_gt(fixture->starts, GANG_START_MS / 4 - GANG_TASKS);
    ck_assert_uint_eq(fixture->stops, 0);
    answer_orders(fixture);
    ck_assert_uint_eq(count_unanswered(fixture), 0);
    fixture->answers_orders = true;
    run(fixture, 2000);
    ck_assert_uint_eq(fixture->starts, GANG_COUNT * GANG_TASKS + SINGLES_COUNT);
    free_fixture(fixture);
}
END_TEST

/* Load: 60 gangs of 13 tasks, 780 starts.  A gang must not be ordered in part. */
START_TEST(held_gangs_start_whole)
{
    struct fixture *fixture = new_fixture();
    run(fixture, 100);
    for (int i = 0; i < GANG_COUNT; i++) {
        submit(fixture, GANG_TASKS + 3, 4, true); /* 53 of these gangs fit into 700 orders */
    }
    run(fixture, 600);
    ck_assert_uint_eq(fixture->starts, 53 * (GANG_TASKS + 3));
    answer_orders(fixture);
    fixture->answers_orders = true;
    run(fixture, 1000);
    ck_assert_uint_eq(fixture->starts, GANG_COUNT * (GANG_TASKS + 3));
    free_fixture(fixture);
}
END_TEST

/*
 * Load: the same as in starts_are_held_back_while_orders_are_behind, and no order is answered.
 * Gangs whose starts are not confirmed in time must be stopped while other starts are held back.
 */
START_TEST(incomplete_gang_is_stopped_in_time)
{
    struct fixture *fixture = new_fixture();
    run(fixture, 100);
    for (int i = 0; i < GANG_COUNT; i++) {
        submit(fixture, GANG_TASKS, 4, true);
    }
    submit(fixture, SINGLES_COUNT, 1, false);
    run(fixture, 200);
    ck_assert_uint_eq(fixture->stops, 0);
    run(fixture, GANG_START_MS + 100);
    ck_assert_uint_ge(fixture->stops, GANG_COUNT * GANG_TASKS);
    free_fixture(fixture);
}
END_TEST

/*
 * Load: a gang on 8 servers, one of them out of reach from before the gang's start until long
 * after a change of the leader.  The new leader waited for that server's lease to expire; the
 * other members waited alone for longer than they may.
 */
START_TEST(new_leader_stops_gang_that_never_started_whole)
{
    static const struct simulator_faults no_faults;
    struct simulator *simulator = simulator_new(31, 8, &no_faults, NULL);
    struct ms_batch_spec spec;
    struct simulator_counts counts;
    simulator_run(simulator, 200);
    simulator_disconnect_server(simulator, 3, 15000);
    simple_spec(&spec, "gang", "q1", 8, 8);
    spec.steps[0].gang = true;
    spec.steps[0].estimate_ms = 2000;
    simulator_submit_job(simulator, &spec);
    simulator_run(simulator, 100);
    simulator_counts(simulator, &counts);
    ck_assert_uint_eq(counts.starts, 7);
    simulator_change_leader(simulator, 1200);
    simulator_run(simulator, 1200 + 1400); /* the servers would end the runs 3 s after the starts */
    simulator_counts(simulator, &counts);
    /* The first one ends as stopped; the model then ends the others as a broken gang. */
    ck_assert_uint_ge(counts.stopped, 1);
    simulator_run(simulator, 30000);
    expect_phase(simulator, "gang", MS_PHASE_SUCCEEDED);
    simulator_free(simulator);
}
END_TEST

/* Adds an order of KIND for TASK to QUEUE. */
static void
add_order(GQueue *queue, enum ms_engine_action_kind kind, const char *task)
{
    struct ms_order_command *command = g_new0(struct ms_order_command, 1);
    command->order = g_new0(struct ms_engine_action, 1);
    command->order->kind = kind;
    g_strlcpy(command->order->task, task, sizeof(command->order->task));
    ms_order_queue_add(queue, command);
}

/*
 * Load: more orders to one server than it has connections.  The stop of a gang's member must not
 * wait behind starts of other tasks, and must not be sent before the start of the same task.
 */
START_TEST(stops_go_ahead_of_starts_of_other_tasks)
{
    GQueue *queue = g_queue_new();
    GString *sent = g_string_new(NULL);
    add_order(queue, MS_ENGINE_START, "a");
    add_order(queue, MS_ENGINE_START, "b");
    add_order(queue, MS_ENGINE_STOP, "x");
    add_order(queue, MS_ENGINE_STOP, "a");
    add_order(queue, MS_ENGINE_STOP, "y");
    add_order(queue, MS_ENGINE_START, "c");
    for (GList *item = queue->head; item != NULL; item = item->next) {
        const struct ms_engine_action *order = ((struct ms_order_command *)item->data)->order;
        g_string_append_printf(sent, "%s%s ", order->kind == MS_ENGINE_STOP ? "-" : "+",
                               order->task);
    }
    ck_assert_str_eq(sent->str, "-x +a -a -y +b +c ");
    g_string_free(sent, TRUE);
    g_queue_free_full(queue, ms_order_command_free);
}
END_TEST

TCase *
load_cases(void)
{
    TCase *cases = tcase_create("load");
    tcase_add_test(cases, room_follows_from_gang_start_time_and_speed);
    tcase_add_test(cases, speed_is_measured_only_behind_other_orders);
    tcase_add_test(cases, starts_are_held_back_while_orders_are_behind);
    tcase_add_test(cases, held_gangs_start_whole);
    tcase_add_test(cases, incomplete_gang_is_stopped_in_time);
    tcase_add_test(cases, new_leader_stops_gang_that_never_started_whole);
    tcase_add_test(cases, stops_go_ahead_of_starts_of_other_tasks);
    return cases;
}
