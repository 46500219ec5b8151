/*
 * unit_fence.c - tests of the fences of calls to one server, and of what renewals acknowledge.
 *
 * The engine runs alone with one server.  The test takes each call from the engine and answers it
 * when it wants to.
 */
#include <string.h>

#include "batch/engine.h"
#include "batch/unit.h"

#define EPOCH 3
#define TICK_MS 10
#define TIMEOUT_MS 3000 /* until a call that is due has been queued */
#define JOBS_MAX 4

struct fixture {
    struct ms_engine *engine;
    struct ms_stored_job jobs[JOBS_MAX];
    size_t job_count;
    GQueue *calls; /* struct ms_engine_action: starts, stops and renewals without an answer */
    int64_t now;
    bool stepped_down;
};

static void
fixture_init(struct fixture *fixture)
{
    static struct ms_queue_rule queues[] = {
        {.name = "q0", .service = "service", .failures_max = 9}};
    static const struct ms_policy policy = {.version = 1, .queues = queues, .queue_count = 1};
    const struct ms_directory_entry entry = {.start_unix_ms = 5000,
                                             .id = "one",
                                             .address = "127.0.0.1:1",
                                             .dc = "dc",
                                             .service = "service",
                                             .clock_ms = 1000,
                                             .capacity = {64000, 64000, 8}};
    struct ms_engine_limits limits;
    memset(fixture, 0, sizeof(*fixture));
    ms_engine_limits_defaults(&limits);
    fixture->now = 1000;
    fixture->calls = g_queue_new();
    fixture->engine = ms_engine_new(&limits, EPOCH, 0, fixture->now);
    ms_engine_set_policy(fixture->engine, &policy);
    ms_engine_update_server(fixture->engine, &entry, fixture->now);
}

static void
free_call(gpointer call)
{
    ms_engine_action_free(call);
}

static void
fixture_clear(struct fixture *fixture)
{
    g_queue_free_full(fixture->calls, free_call);
    ms_engine_free(fixture->engine);
    for (size_t i = 0; i < fixture->job_count; i++) {
        ms_batch_spec_clear(&fixture->jobs[i].spec);
    }
}

static void
add_job(struct fixture *fixture, const char *id)
{
    struct ms_stored_job *job = &fixture->jobs[fixture->job_count++];
    g_strlcpy(job->id, id, sizeof(job->id));
    job->accepted = true;
    simple_spec(&job->spec, id, "q0", 1, 1);
    ms_engine_add_job(fixture->engine, job, fixture->now);
}

static void
tick(struct fixture *fixture)
{
    struct ms_engine_action *action = NULL;
    fixture->now += TICK_MS;
    ms_engine_tick(fixture->engine, fixture->now, fixture->now);
    while ((action = ms_engine_pop_action(fixture->engine)) != NULL) {
        fixture->stepped_down |= action->kind == MS_ENGINE_STEP_DOWN;
        if (action->kind == MS_ENGINE_START || action->kind == MS_ENGINE_STOP ||
            action->kind == MS_ENGINE_RENEW_LEASE) {
            g_queue_push_tail(fixture->calls, action);
            continue;
        }
        if (action->kind == MS_ENGINE_STORE) {
            ms_engine_on_stored(fixture->engine, fixture->now);
        }
        ms_engine_action_free(action);
    }
}

/* Takes the oldest call of KIND, once there is one; the caller frees it. */
static struct ms_engine_action *
take_call(struct fixture *fixture, enum ms_engine_action_kind kind)
{
    for (int64_t until = fixture->now + TIMEOUT_MS; fixture->now < until; tick(fixture)) {
        for (GList *item = fixture->calls->head; item != NULL; item = item->next) {
            struct ms_engine_action *call = item->data;
            if (call->kind == kind) {
                g_queue_delete_link(fixture->calls, item);
                return call;
            }
        }
    }
    ck_abort_msg("no call of kind %d", kind);
    return NULL;
}

/* Answers RENEWAL, and frees it: RUNNING, or nothing if NULL, runs; ENDED, or nothing, has ended.
 */
static void
answer_renewal(struct fixture *fixture, struct ms_engine_action *renewal,
               const struct ms_engine_action *running, const struct ms_engine_action *ended)
{
    struct ms_reported_run run = {.run = 1};
    struct ms_reported_end end = {.position = 1, .run = 1, .end = MS_RUN_END_DONE};
    struct ms_server_report report = {.start_unix_ms = 5000,
                                      .clock_ms = fixture->now,
                                      .running = &run,
                                      .running_count = running != NULL,
                                      .ended = &end,
                                      .ended_count = ended != NULL};
    g_strlcpy(run.task, running != NULL ? running->task : "", sizeof(run.task));
    g_strlcpy(end.task, ended != NULL ? ended->task : "", sizeof(end.task));
    ms_engine_on_renewal_answer(fixture->engine, renewal, MS_ORDER_OK, &report, fixture->now,
                                fixture->now);
    ms_engine_action_free(renewal);
}

static void
answer_order(struct fixture *fixture, const struct ms_engine_action *order,
             enum ms_order_result result)
{
    ms_engine_on_order_answer(fixture->engine, order, result, 0, fixture->now);
}

/* Job ID is started; returns its start, which has been answered and which the caller frees. */
static struct ms_engine_action *
start_job(struct fixture *fixture, const char *id)
{
    add_job(fixture, id);
    struct ms_engine_action *start = take_call(fixture, MS_ENGINE_START);
    answer_order(fixture, start, MS_ORDER_OK);
    return start;
}

/*
 * One job runs and another one has ended as done, which the server has reported; returns the next
 * renewal, without an answer yet.  START_OUT is set to the start of the job that runs.
 */
static struct ms_engine_action *
renewal_after_an_end(struct fixture *fixture, struct ms_engine_action **start_out)
{
    answer_renewal(fixture, take_call(fixture, MS_ENGINE_RENEW_LEASE), NULL, NULL);
    struct ms_engine_action *running = start_job(fixture, "long");
    struct ms_engine_action *ended = start_job(fixture, "short");
    answer_renewal(fixture, take_call(fixture, MS_ENGINE_RENEW_LEASE), running, ended);
    ms_engine_action_free(ended);
    *start_out = running;
    return take_call(fixture, MS_ENGINE_RENEW_LEASE);
}

/*
 * Guards against an end that a late copy of a renewal acknowledges, at an incarnation of the server
 * that carries out a later start: the start has to shut the copy out.
 */
START_TEST(start_has_a_higher_fence_than_acknowledgements_before_it)
{
    struct fixture fixture;
    struct ms_engine_action *running = NULL;
    fixture_init(&fixture);
    struct ms_engine_action *renewal = renewal_after_an_end(&fixture, &running);
    ck_assert_uint_eq(renewal->ack_position, 1);
    if (_i == 1) {
        struct ms_engine_action *copy = g_memdup2(renewal, sizeof(*renewal));
        answer_renewal(&fixture, copy, running, NULL); /* another copy may still arrive */
    }
    add_job(&fixture, "next");
    struct ms_engine_action *start = take_call(&fixture, MS_ENGINE_START);
    ck_assert_uint_gt(start->fence, renewal->fence);
    ms_engine_action_free(start);
    ms_engine_action_free(renewal);
    ms_engine_action_free(running);
    fixture_clear(&fixture);
}
END_TEST

/* Guards against renewals that acknowledge again what has been acknowledged. */
START_TEST(renewal_acknowledges_new_ends_only)
{
    struct fixture fixture;
    struct ms_engine_action *running = NULL;
    fixture_init(&fixture);
    struct ms_engine_action *acknowledging = renewal_after_an_end(&fixture, &running);
    answer_renewal(&fixture, acknowledging, running, NULL);
    for (int i = 0; i < 3; i++) {
        struct ms_engine_action *renewal = take_call(&fixture, MS_ENGINE_RENEW_LEASE);
        ck_assert_uint_eq(renewal->ack_position, 0);
        answer_renewal(&fixture, renewal, running, NULL);
    }
    ms_engine_action_free(running);
    fixture_clear(&fixture);
}
END_TEST

/* Guards against an acknowledgement whose fence is not below that of a start still on its way. */
START_TEST(renewal_acknowledges_nothing_while_a_start_is_pending)
{
    struct fixture fixture;
    fixture_init(&fixture);
    answer_renewal(&fixture, take_call(&fixture, MS_ENGINE_RENEW_LEASE), NULL, NULL);
    struct ms_engine_action *running = start_job(&fixture, "long");
    struct ms_engine_action *ended = start_job(&fixture, "short");
    struct ms_engine_action *renewal = take_call(&fixture, MS_ENGINE_RENEW_LEASE);
    add_job(&fixture, "next");
    struct ms_engine_action *start = take_call(&fixture, MS_ENGINE_START);
    answer_renewal(&fixture, renewal, running, ended);
    renewal = take_call(&fixture, MS_ENGINE_RENEW_LEASE);
    ck_assert_uint_eq(renewal->ack_position, 0);
    answer_order(&fixture, start, MS_ORDER_OK);
    answer_renewal(&fixture, renewal, running, ended);
    renewal = take_call(&fixture, MS_ENGINE_RENEW_LEASE);
    ck_assert_uint_eq(renewal->ack_position, 1);
    ms_engine_action_free(renewal);
    ms_engine_action_free(start);
    ms_engine_action_free(running);
    ms_engine_action_free(ended);
    fixture_clear(&fixture);
}
END_TEST

/*
 * Guards against an acknowledgement by what a server reported before it fell silent: it may have
 * started again since.
 */
START_TEST(renewal_after_one_without_an_answer_acknowledges_nothing)
{
    struct fixture fixture;
    struct ms_engine_action *running = NULL;
    fixture_init(&fixture);
    struct ms_engine_action *renewal = renewal_after_an_end(&fixture, &running);
    ck_assert_uint_eq(renewal->ack_position, 1);
    ms_engine_on_renewal_answer(fixture.engine, renewal, MS_ORDER_NO_ANSWER, NULL, fixture.now,
                                fixture.now);
    ms_engine_action_free(renewal);
    renewal = take_call(&fixture, MS_ENGINE_RENEW_LEASE);
    ck_assert_uint_eq(renewal->ack_position, 0);
    answer_renewal(&fixture, renewal, running, NULL);
    renewal = take_call(&fixture, MS_ENGINE_RENEW_LEASE);
    ck_assert_uint_eq(renewal->ack_position, 1);
    ms_engine_action_free(renewal);
    ms_engine_action_free(running);
    fixture_clear(&fixture);
}
END_TEST

/* Guards against a leader that resigns, as its own later call has overtaken an earlier one. */
START_TEST(overtaken_calls_are_repeated_with_the_higher_fence)
{
    struct fixture fixture;
    struct ms_engine_action *running = NULL;
    fixture_init(&fixture);
    struct ms_engine_action *renewal = renewal_after_an_end(&fixture, &running);
    add_job(&fixture, "next");
    struct ms_engine_action *start = take_call(&fixture, MS_ENGINE_START);
    ms_engine_on_renewal_answer(fixture.engine, renewal, MS_ORDER_FENCED, NULL, fixture.now,
                                fixture.now);
    struct ms_engine_action *again = take_call(&fixture, MS_ENGINE_RENEW_LEASE);
    ck_assert_uint_eq(again->fence, start->fence);
    ck_assert(!fixture.stepped_down);

    /* A start that a newer call has overtaken; the fence in the order stands for that. */
    start->fence--;
    answer_order(&fixture, start, MS_ORDER_FENCED);
    struct ms_engine_action *repeated = take_call(&fixture, MS_ENGINE_START);
    ck_assert_str_eq(repeated->task, start->task);
    ck_assert_uint_eq(repeated->run, start->run);
    ck_assert_uint_gt(repeated->fence, start->fence);
    ck_assert(!fixture.stepped_down);
    ms_engine_action_free(renewal);
    ms_engine_action_free(again);
    ms_engine_action_free(start);
    ms_engine_action_free(repeated);
    ms_engine_action_free(running);
    fixture_clear(&fixture);
}
END_TEST

/* A refusal of the highest fence tells of a leader of a later epoch. */
START_TEST(refusal_of_the_highest_fence_ends_the_term)
{
    struct fixture fixture;
    struct ms_engine_action *running = NULL;
    fixture_init(&fixture);
    struct ms_engine_action *renewal = renewal_after_an_end(&fixture, &running);
    ms_engine_on_renewal_answer(fixture.engine, renewal, MS_ORDER_FENCED, NULL, fixture.now,
                                fixture.now);
    tick(&fixture);
    ck_assert(fixture.stepped_down);
    ms_engine_action_free(renewal);
    ms_engine_action_free(running);
    fixture_clear(&fixture);
}
END_TEST

TCase *
fence_cases(void)
{
    TCase *cases = tcase_create("fence");
    tcase_add_loop_test(cases, start_has_a_higher_fence_than_acknowledgements_before_it, 0, 2);
    tcase_add_test(cases, renewal_acknowledges_new_ends_only);
    tcase_add_test(cases, renewal_acknowledges_nothing_while_a_start_is_pending);
    tcase_add_test(cases, renewal_after_one_without_an_answer_acknowledges_nothing);
    tcase_add_test(cases, overtaken_calls_are_repeated_with_the_higher_fence);
    tcase_add_test(cases, refusal_of_the_highest_fence_ends_the_term);
    return cases;
}
