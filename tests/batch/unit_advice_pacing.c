/*
 * unit_advice_pacing.c - tests of the calls to an advice service that handles one call at a time.
 *
 * The engine runs alone with some servers and the service, modelled here.  A call that the engine
 * has given up still takes its turn at the service.  Tasks end as soon as they have started.
 */
#include <string.h>

#include "batch/advice_pacing.h"
#include "batch/engine.h"
#include "batch/unit.h"

#define TICK_MS 20
#define SERVER_COUNT 32
#define JOBS_MAX 12
#define WIDE_TASKS 16 /* so many that a call asks about as many servers as it may */
#define CALLS_MAX 64

/* The advice service, and the rule of its queue. */
struct service {
    int64_t decide_ms;
    int64_t each_ms;
    int64_t valid_ms;
    int64_t slowness; /* how many times longer than that it takes */
    bool advises_nobody;
};

struct call {
    struct ms_engine_action *query;
    int64_t ends_at;     /* the service is done with it */
    int64_t given_up_at; /* the engine waits for it no longer */
    bool given_up;
};

struct fixture {
    struct service service;
    struct ms_queue_rule queue;
    struct ms_policy policy;
    struct ms_engine *engine;
    struct ms_stored_job jobs[JOBS_MAX];
    uint32_t job_count;
    int64_t now;
    struct call calls[CALLS_MAX];
    uint32_t call_count;
    int64_t busy_until; /* the service handles calls until then */
    uint32_t asked_count;
    uint32_t given_up_count;
    uint32_t starts[JOBS_MAX];
    GArray *ends[SERVER_COUNT]; /* struct ms_reported_end, not acknowledged */
    uint64_t positions[SERVER_COUNT];
};

static uint32_t
server_index(const char *id)
{
    return (uint32_t)g_ascii_strtoull(id + strlen("s"), NULL, 10);
}

static void
fixture_init(struct fixture *fixture, struct service service)
{
    struct ms_engine_limits limits;
    memset(fixture, 0, sizeof(*fixture));
    fixture->now = 1000;
    fixture->service = service;
    fixture->queue = (struct ms_queue_rule){.name = "q0",
                                            .service = "service",
                                            .failures_max = 3,
                                            .uses_advice = true,
                                            .advice_decide_ms = service.decide_ms,
                                            .advice_each_ms = service.each_ms,
                                            .ticket_valid_ms = service.valid_ms};
    fixture->policy = (struct ms_policy){.version = 1, .queues = &fixture->queue, .queue_count = 1};
    ms_engine_limits_defaults(&limits);
    fixture->engine = ms_engine_new(&limits, 1, 0, fixture->now);
    ms_engine_set_policy(fixture->engine, &fixture->policy);
    for (uint32_t i = 0; i < SERVER_COUNT; i++) {
        struct ms_directory_entry entry = {.start_unix_ms = 7,
                                           .address = "127.0.0.1:1",
                                           .dc = "dc",
                                           .service = "service",
                                           .clock_ms = fixture->now,
                                           .capacity = {64000, 64000, 8}};
        g_snprintf(entry.id, sizeof(entry.id), "s%u", i);
        ms_engine_update_server(fixture->engine, &entry, fixture->now);
        fixture->ends[i] = g_array_new(FALSE, TRUE, sizeof(struct ms_reported_end));
    }
}

static void
fixture_clear(struct fixture *fixture)
{
    ms_engine_free(fixture->engine);
    for (uint32_t i = 0; i < fixture->job_count; i++) {
        ms_batch_spec_clear(&fixture->jobs[i].spec);
    }
    for (uint32_t i = 0; i < fixture->call_count; i++) {
        ms_engine_action_free(fixture->calls[i].query);
    }
    for (uint32_t i = 0; i < SERVER_COUNT; i++) {
        g_array_unref(fixture->ends[i]);
    }
}

static void
add_job(struct fixture *fixture, uint32_t task_count)
{
    struct ms_stored_job *job = &fixture->jobs[fixture->job_count];
    ck_assert_uint_lt(fixture->job_count, JOBS_MAX);
    g_snprintf(job->id, sizeof(job->id), "job%u", fixture->job_count++);
    job->accepted = true;
    simple_spec(&job->spec, job->id, "q0", task_count, 1);
    ms_engine_add_job(fixture->engine, job, fixture->now);
}

/* The service takes QUERY, after the calls that it has. */
static void
take_query(struct fixture *fixture, const struct ms_engine_action *query)
{
    const struct service *service = &fixture->service;
    struct call *call = &fixture->calls[fixture->call_count++];
    ck_assert_uint_lt(fixture->call_count, CALLS_MAX);
    int64_t own_ms =
        (service->decide_ms + service->each_ms * query->candidates->len) * service->slowness;
    fixture->busy_until = MAX(fixture->busy_until, fixture->now) + own_ms;
    fixture->asked_count++;
    call->query = g_memdup2(query, sizeof(*query));
    call->query->candidates = g_ptr_array_ref(query->candidates);
    call->ends_at = fixture->busy_until;
    call->given_up_at = fixture->now + query->advice_call.limit_ms;
    call->given_up = false;
}

/* The service advises each server that QUERY names, or none. */
static void
answer_query(struct fixture *fixture, const struct ms_engine_action *query)
{
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct ms_advised_server));
    for (guint i = 0; !fixture->service.advises_nobody && i < query->candidates->len; i++) {
        struct ms_advised_server row = {.ticket = "ticket"};
        g_strlcpy(row.server_id, g_ptr_array_index(query->candidates, i), sizeof(row.server_id));
        g_array_append_val(rows, row);
    }
    ms_engine_on_advice_answer(fixture->engine, query, rows, fixture->now);
    g_array_unref(rows);
}

static void
handle_calls(struct fixture *fixture)
{
    for (uint32_t i = 0; i < fixture->call_count;) {
        struct call *call = &fixture->calls[i];
        if (!call->given_up && call->ends_at <= fixture->now) {
            answer_query(fixture, call->query);
        }
        else if (!call->given_up && call->given_up_at <= fixture->now) {
            call->given_up = true;
            fixture->given_up_count++;
            ms_engine_on_advice_answer(fixture->engine, call->query, NULL, fixture->now);
        }
        if (call->ends_at > fixture->now) {
            i++;
            continue;
        }
        ms_engine_action_free(call->query);
        *call = fixture->calls[--fixture->call_count];
    }
}

static void
answer_renewal(struct fixture *fixture, const struct ms_engine_action *renewal)
{
    uint32_t index = server_index(renewal->server);
    GArray *ends = fixture->ends[index];
    while (ends->len > 0 &&
           g_array_index(ends, struct ms_reported_end, 0).position <= renewal->ack_position) {
        g_array_remove_index(ends, 0);
    }
    struct ms_server_report report = {.start_unix_ms = 7,
                                      .clock_ms = fixture->now,
                                      .ended = (struct ms_reported_end *)(void *)ends->data,
                                      .ended_count = ends->len};
    ms_engine_on_renewal_answer(fixture->engine, renewal, MS_ORDER_OK, &report, fixture->now,
                                fixture->now);
}

/* A server carries out START; the run ends at once. */
static void
answer_start(struct fixture *fixture, const struct ms_engine_action *start)
{
    uint32_t index = server_index(start->server);
    struct ms_reported_end end = {
        .position = ++fixture->positions[index], .run = start->run, .end = MS_RUN_END_DONE};
    g_strlcpy(end.task, start->task, sizeof(end.task));
    g_array_append_val(fixture->ends[index], end);
    fixture->starts[g_ascii_strtoull(start->task + strlen("job"), NULL, 10)]++;
    ck_assert_str_eq(start->ticket, "ticket");
    ms_engine_on_order_answer(fixture->engine, start, MS_ORDER_OK, fixture->now, fixture->now);
}

static void
answer(void *opaque, const struct ms_engine_action *action)
{
    struct fixture *fixture = opaque;
    switch (action->kind) {
    case MS_ENGINE_RENEW_LEASE:
        answer_renewal(fixture, action);
        break;
    case MS_ENGINE_START:
        answer_start(fixture, action);
        break;
    case MS_ENGINE_QUERY_ADVICE:
        take_query(fixture, action);
        break;
    case MS_ENGINE_STORE:
        ms_engine_on_stored(fixture->engine, fixture->now);
        break;
    case MS_ENGINE_STOP:
    case MS_ENGINE_WITHDRAW:
    case MS_ENGINE_STEP_DOWN:
        break;
    }
}

static void
run(struct fixture *fixture, int64_t ms)
{
    for (int64_t until = fixture->now + ms; fixture->now < until; fixture->now += TICK_MS) {
        handle_calls(fixture);
        ms_engine_tick(fixture->engine, fixture->now, fixture->now);
        answer_queued_actions(fixture->engine, answer, fixture);
    }
}

/* How many of the jobs have started. */
static uint32_t
count_started(const struct fixture *fixture)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < fixture->job_count; i++) {
        count += fixture->starts[i] > 0;
    }
    return count;
}

/* Guards against a burst after which no job of an advised queue starts any more (review/12). */
START_TEST(jobs_start_after_a_burst_at_a_slow_advice_service)
{
    struct fixture fixture;
    fixture_init(&fixture, (struct service){
                               .decide_ms = 600, .each_ms = 80, .valid_ms = 10000, .slowness = 1});
    for (int i = 0; i < 6; i++) {
        add_job(&fixture, WIDE_TASKS);
        run(&fixture, i < 4 ? 400 : 4000); /* four at once, then at their usual pace */
    }
    run(&fixture, 14000);
    ck_assert_uint_eq(count_started(&fixture), 6);
    ck_assert_uint_eq(fixture.given_up_count, 0);
    fixture_clear(&fixture);
}
END_TEST

/* Guards against a limit that is shorter than one call: no job started, also without a burst. */
START_TEST(jobs_start_if_one_call_takes_longer_than_the_margin)
{
    struct fixture fixture;
    fixture_init(
        &fixture,
        (struct service){.decide_ms = 6000, .each_ms = 100, .valid_ms = 30000, .slowness = 1});
    add_job(&fixture, WIDE_TASKS);
    run(&fixture, 12000);
    ck_assert_uint_eq(count_started(&fixture), 1);
    ck_assert_uint_eq(fixture.given_up_count, 0);
    fixture_clear(&fixture);
}
END_TEST

/* Guards against calls that are given up and repeated for good, if the rule's times are too low. */
START_TEST(jobs_start_if_the_service_is_slower_than_its_rule)
{
    struct fixture fixture;
    fixture_init(&fixture, (struct service){
                               .decide_ms = 300, .each_ms = 50, .valid_ms = 20000, .slowness = 10});
    for (int i = 0; i < 4; i++) {
        add_job(&fixture, WIDE_TASKS);
    }
    run(&fixture, 120000);
    ck_assert_uint_eq(count_started(&fixture), 4);
    ck_assert_uint_le(fixture.given_up_count, 4);
    fixture_clear(&fixture);
}
END_TEST

/* The same if the rule does not tell the times. */
START_TEST(jobs_start_if_the_rule_tells_no_times)
{
    struct fixture fixture;
    fixture_init(&fixture, (struct service){
                               .decide_ms = 600, .each_ms = 80, .valid_ms = 10000, .slowness = 1});
    fixture.queue.advice_decide_ms = 0;
    fixture.queue.advice_each_ms = 0;
    for (int i = 0; i < 4; i++) {
        add_job(&fixture, WIDE_TASKS);
        run(&fixture, 400);
    }
    run(&fixture, 60000);
    ck_assert_uint_eq(count_started(&fixture), 4);
    fixture_clear(&fixture);
}
END_TEST

/* Guards against tickets that are never used, as they count as expired from the beginning. */
START_TEST(tickets_of_a_short_validity_are_used)
{
    struct fixture fixture;
    fixture_init(&fixture,
                 (struct service){.decide_ms = 100, .each_ms = 10, .valid_ms = 400, .slowness = 1});
    add_job(&fixture, 1);
    run(&fixture, 5000);
    ck_assert_uint_eq(count_started(&fixture), 1);
    fixture_clear(&fixture);
}
END_TEST

/*
 * Guards against steps that get no answer as more urgent ones, which the service advises nobody
 * for, are asked for again and again.
 */
START_TEST(each_step_gets_a_first_answer_in_turn)
{
    struct fixture fixture;
    fixture_init(&fixture, (struct service){.decide_ms = 1000,
                                            .each_ms = 100,
                                            .valid_ms = 4000,
                                            .slowness = 1,
                                            .advises_nobody = true});
    for (int i = 0; i < 3; i++) {
        add_job(&fixture, 1);
        run(&fixture, 100);
    }
    run(&fixture, 2000);
    fixture.service.advises_nobody = false;
    run(&fixture, 4000);
    ck_assert_uint_eq(count_started(&fixture), 3);
    fixture_clear(&fixture);
}
END_TEST

/* A short call does not wait for the one before; a long one does, as it would only wait there. */
START_TEST(one_long_call_is_sent_at_a_time)
{
    const struct ms_queue_rule slow = {.advice_decide_ms = 600, .advice_each_ms = 80};
    const struct ms_queue_rule fast = {.advice_decide_ms = 20, .advice_each_ms = 1};
    struct ms_advice_pacing pacing = {0};
    struct ms_advice_call first;
    struct ms_advice_call second;
    ck_assert(ms_advice_begin_call(&pacing, &slow, 30, 0, &first));
    ck_assert_int_ge(first.limit_ms, 600 + 80 * 30);
    ck_assert(!ms_advice_begin_call(&pacing, &fast, 30, 0, &second));
    ms_advice_end_call(&pacing, &first, MS_ADVICE_ANSWERED, 3000, 3000);
    ck_assert(ms_advice_begin_call(&pacing, &fast, 30, 3000, &first));
    ck_assert(ms_advice_begin_call(&pacing, &fast, 30, 3000, &second));
    ck_assert_int_eq(second.ahead_ms, first.service_ms);
}
END_TEST

/* After a call that was given up, the next one is smaller, later, and waited for longer. */
START_TEST(calls_shrink_after_one_was_given_up)
{
    const struct ms_queue_rule queue = {
        .advice_decide_ms = 300, .advice_each_ms = 50, .ticket_valid_ms = 10000};
    struct ms_advice_pacing pacing = {0};
    struct ms_advice_call call;
    uint32_t size = ms_advice_call_size(&pacing, &queue, 1);
    ck_assert(ms_advice_begin_call(&pacing, &queue, size, 0, &call));
    int64_t limit_ms = call.limit_ms;
    ms_advice_end_call(&pacing, &call, MS_ADVICE_GIVEN_UP, limit_ms, limit_ms);
    ck_assert_uint_lt(ms_advice_call_size(&pacing, &queue, 1), size);
    ck_assert(!ms_advice_begin_call(&pacing, &queue, size, limit_ms + 100, &call));
    ck_assert(ms_advice_begin_call(&pacing, &queue, size, limit_ms + 10000, &call));
    ck_assert_int_gt(call.limit_ms, limit_ms);
}
END_TEST

/* A step of many tasks is asked for at once, within what its tickets' validity allows. */
START_TEST(call_covers_what_its_step_needs)
{
    struct ms_queue_rule queue = {
        .advice_decide_ms = 600, .advice_each_ms = 80, .ticket_valid_ms = 10000};
    struct ms_advice_pacing pacing = {0};
    ck_assert_uint_eq(ms_advice_call_size(&pacing, &queue, WIDE_TASKS), 30);
    ck_assert_uint_lt(ms_advice_call_size(&pacing, &queue, 1), 10);
    queue.ticket_valid_ms = 1000;
    ck_assert_uint_eq(ms_advice_call_size(&pacing, &queue, WIDE_TASKS), 1);
}
END_TEST

TCase *
advice_pacing_cases(void)
{
    TCase *cases = tcase_create("advice pacing");
    tcase_add_test(cases, jobs_start_after_a_burst_at_a_slow_advice_service);
    tcase_add_test(cases, jobs_start_if_one_call_takes_longer_than_the_margin);
    tcase_add_test(cases, jobs_start_if_the_service_is_slower_than_its_rule);
    tcase_add_test(cases, jobs_start_if_the_rule_tells_no_times);
    tcase_add_test(cases, tickets_of_a_short_validity_are_used);
    tcase_add_test(cases, each_step_gets_a_first_answer_in_turn);
    tcase_add_test(cases, one_long_call_is_sent_at_a_time);
    tcase_add_test(cases, calls_shrink_after_one_was_given_up);
    tcase_add_test(cases, call_covers_what_its_step_needs);
    return cases;
}
