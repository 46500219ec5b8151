/*
 * unit_term.c - tests of a host that leads again shortly after an earlier term: answers to
 * calls of the earlier term arrive in the next one, whose engine counts servers anew.
 *
 * Two engines stand for the two terms; the answers to the first one's actions are given to the
 * second.
 */
#include <string.h>

#include "batch/engine_private.h"
#include "batch/unit.h"

#define EARLIER_EPOCH 4
#define EPOCH 5
#define START_UNIX_MS 5000
#define RESTARTS 1100   /* of one server */
#define SKIPPED_AT 100  /* restart at which the fences up to the last ones are skipped */
#define LAST_FENCES 500 /* that are left then in the epoch */

/* The engines of two terms, each with the same server and job. */
struct fixture {
    struct ms_engine *earlier;
    struct ms_engine *engine; /* of the present term */
    struct ms_stored_job job;
    int64_t now;
};

static struct ms_engine *
new_engine(const struct fixture *fixture, uint64_t epoch)
{
    static struct ms_queue_rule queues[] = {
        {.name = "q0", .service = "service", .failures_max = 9, .uses_advice = true}};
    static const struct ms_policy policy = {.version = 1, .queues = queues, .queue_count = 1};
    struct ms_engine_limits limits;
    struct ms_directory_entry entry = {.start_unix_ms = START_UNIX_MS,
                                       .id = "one",
                                       .address = "127.0.0.1:1",
                                       .dc = "dc",
                                       .service = "service",
                                       .capacity = {64000, 64000, 8}};
    ms_engine_limits_defaults(&limits);
    struct ms_engine *engine = ms_engine_new(&limits, epoch, 0, fixture->now);
    ms_engine_set_policy(engine, &policy);
    ms_engine_update_server(engine, &entry, fixture->now);
    ms_engine_add_job(engine, &fixture->job, fixture->now);
    ms_engine_tick(engine, fixture->now, fixture->now);
    return engine;
}

static void
fixture_init(struct fixture *fixture)
{
    memset(fixture, 0, sizeof(*fixture));
    fixture->now = 1000;
    g_strlcpy(fixture->job.id, "job", sizeof(fixture->job.id));
    fixture->job.accepted = true;
    simple_spec(&fixture->job.spec, "job", "q0", 1, 1);
    fixture->earlier = new_engine(fixture, EARLIER_EPOCH);
    fixture->engine = new_engine(fixture, EPOCH);
}

static void
fixture_clear(struct fixture *fixture)
{
    ms_engine_free(fixture->earlier);
    ms_engine_free(fixture->engine);
    ms_batch_spec_clear(&fixture->job.spec);
}

/* Removes the next action of KIND from ENGINE; frees those before it.  NULL: there is none. */
static struct ms_engine_action *
pop_action(struct ms_engine *engine, enum ms_engine_action_kind kind)
{
    struct ms_engine_action *action = NULL;
    while ((action = ms_engine_pop_action(engine)) != NULL && action->kind != kind) {
        ms_engine_action_free(action);
    }
    return action;
}

/* ENGINE gets RESULT, with an empty report, as the answer to RENEWAL; frees RENEWAL. */
static void
answer_renewal(struct fixture *fixture, struct ms_engine *engine, struct ms_engine_action *renewal,
               enum ms_order_result result)
{
    const struct ms_server_report report = {.start_unix_ms = START_UNIX_MS,
                                            .clock_ms = fixture->now};
    ck_assert_ptr_nonnull(renewal);
    ms_engine_on_renewal_answer(engine, renewal, result, result == MS_ORDER_OK ? &report : NULL,
                                fixture->now, fixture->now);
    ms_engine_action_free(renewal);
}

static uint32_t
count_unfenced(const struct fixture *fixture)
{
    struct ms_engine_stats stats;
    ms_engine_stats(fixture->engine, &stats);
    return stats.servers_by_exclusion[MS_SERVER_UNFENCED];
}

/*
 * A server that has answered the earlier term has not seen the fence of this one: it would
 * still carry out late orders of the earlier term beside ours.
 */
START_TEST(renewal_answer_of_an_earlier_term_does_not_confirm_the_fence)
{
    struct fixture fixture;
    fixture_init(&fixture);
    answer_renewal(&fixture, fixture.engine, pop_action(fixture.earlier, MS_ENGINE_RENEW_LEASE),
                   MS_ORDER_OK);
    ck_assert_uint_eq(count_unfenced(&fixture), 1);
    answer_renewal(&fixture, fixture.engine, pop_action(fixture.engine, MS_ENGINE_RENEW_LEASE),
                   MS_ORDER_OK);
    ck_assert_uint_eq(count_unfenced(&fixture), 0);
    fixture_clear(&fixture);
}
END_TEST

/* Servers refuse late calls of the earlier term as fenced: the present leader must not resign. */
START_TEST(refusal_of_an_earlier_term_does_not_end_this_one)
{
    struct fixture fixture;
    fixture_init(&fixture);
    struct ms_engine_action *order = pop_action(fixture.earlier, MS_ENGINE_RENEW_LEASE);
    struct ms_engine_action *renewal = pop_action(fixture.engine, MS_ENGINE_RENEW_LEASE);
    order->kind = MS_ENGINE_STOP;
    ms_engine_on_order_answer(fixture.engine, order, MS_ORDER_FENCED, 0, fixture.now);
    order->kind = MS_ENGINE_RENEW_LEASE;
    answer_renewal(&fixture, fixture.engine, order, MS_ORDER_FENCED);
    ck_assert_ptr_null(pop_action(fixture.engine, MS_ENGINE_STEP_DOWN));
    answer_renewal(&fixture, fixture.engine, renewal, MS_ORDER_FENCED);
    struct ms_engine_action *step_down = pop_action(fixture.engine, MS_ENGINE_STEP_DOWN);
    ck_assert_ptr_nonnull(step_down);
    ms_engine_action_free(step_down);
    fixture_clear(&fixture);
}
END_TEST

/* The same server id and incarnation number in another term may be another incarnation. */
START_TEST(other_incarnation_of_an_earlier_term_does_not_reset_the_server)
{
    struct fixture fixture;
    fixture_init(&fixture);
    struct ms_engine_action *order = pop_action(fixture.earlier, MS_ENGINE_RENEW_LEASE);
    answer_renewal(&fixture, fixture.engine, pop_action(fixture.engine, MS_ENGINE_RENEW_LEASE),
                   MS_ORDER_OK);
    answer_renewal(&fixture, fixture.engine, order, MS_ORDER_OTHER_INCARNATION);
    struct ms_engine_stats stats;
    ms_engine_stats(fixture.engine, &stats);
    ck_assert_uint_eq(stats.servers_usable, 1);
    fixture_clear(&fixture);
}
END_TEST

/* A late answer counted the open questions of the next term down below 0: none was asked again. */
START_TEST(advice_for_an_earlier_term_leaves_the_open_questions_alone)
{
    struct fixture fixture;
    fixture_init(&fixture);
    answer_renewal(&fixture, fixture.earlier, pop_action(fixture.earlier, MS_ENGINE_RENEW_LEASE),
                   MS_ORDER_OK);
    fixture.now += 1000;
    ms_engine_tick(fixture.earlier, fixture.now, fixture.now);
    struct ms_engine_action *query = pop_action(fixture.earlier, MS_ENGINE_QUERY_ADVICE);
    ck_assert_ptr_nonnull(query);
    ms_engine_on_advice_answer(fixture.engine, query, NULL, fixture.now);
    ms_engine_action_free(query);
    answer_renewal(&fixture, fixture.engine, pop_action(fixture.engine, MS_ENGINE_RENEW_LEASE),
                   MS_ORDER_OK);
    ms_engine_tick(fixture.engine, fixture.now, fixture.now);
    query = pop_action(fixture.engine, MS_ENGINE_QUERY_ADVICE);
    ck_assert_ptr_nonnull(query);
    ms_engine_action_free(query);
    fixture_clear(&fixture);
}
END_TEST

/* Takes the actions of ENGINE up to a STEP_DOWN; returns the highest fence, 0 if it steps down. */
static uint64_t
next_fence(struct ms_engine *engine, int64_t now)
{
    struct ms_engine_action *action = NULL;
    uint64_t fence = 0;
    bool stepped_down = false;
    ms_engine_tick(engine, now, now);
    while (!stepped_down && (action = ms_engine_pop_action(engine)) != NULL) {
        fence = MAX(fence, action->fence);
        stepped_down = action->kind == MS_ENGINE_STEP_DOWN;
        ms_engine_action_free(action);
    }
    return stepped_down ? 0 : fence;
}

/* Leaves LAST_FENCES fences in the epoch of ENGINE for server "one", as if it had used the others.
 */
static void
skip_fences(struct ms_engine *engine)
{
    struct ms_batch_server *server = ms_engine_get_or_add_server(engine, "one");
    server->fence_number = MS_FENCES_PER_EPOCH - LAST_FENCES;
}

/*
 * Each incarnation of a server needs a higher fence than the one before: else it carries out
 * late orders to that one, and a task runs twice.  A leader that has used up the fences of its
 * epoch ends its term; its successor has further ones.
 */
START_TEST(fence_rises_with_each_of_many_restarts_of_a_server)
{
    struct ms_engine_limits limits;
    struct ms_directory_entry entry = {
        .id = "one", .address = "127.0.0.1:1", .dc = "dc", .service = "service"};
    uint64_t last_fence = 0;
    uint64_t epoch = 1;
    ms_engine_limits_defaults(&limits);
    struct ms_engine *engine = ms_engine_new(&limits, epoch, 0, 0);
    for (int64_t restart = 1; restart <= RESTARTS; restart++) {
        if (restart == SKIPPED_AT) {
            skip_fences(engine);
        }
        entry.start_unix_ms = restart * 1000;
        ms_engine_update_server(engine, &entry, restart * 1000);
        uint64_t fence = next_fence(engine, restart * 1000 + 100);
        if (fence == 0) {
            ms_engine_free(engine);
            engine = ms_engine_new(&limits, ++epoch, 0, restart * 1000 + 200);
            ms_engine_update_server(engine, &entry, restart * 1000 + 200);
            fence = next_fence(engine, restart * 1000 + 300);
        }
        ck_assert_msg(fence > last_fence, "restart %d: fence %d after %d", (int)restart, (int)fence,
                      (int)last_fence);
        last_fence = fence;
    }
    ck_assert_uint_eq(epoch, 2);
    ms_engine_free(engine);
}
END_TEST

TCase *
term_cases(void)
{
    TCase *cases = tcase_create("term");
    tcase_add_test(cases, renewal_answer_of_an_earlier_term_does_not_confirm_the_fence);
    tcase_add_test(cases, refusal_of_an_earlier_term_does_not_end_this_one);
    tcase_add_test(cases, other_incarnation_of_an_earlier_term_does_not_reset_the_server);
    tcase_add_test(cases, advice_for_an_earlier_term_leaves_the_open_questions_alone);
    tcase_add_test(cases, fence_rises_with_each_of_many_restarts_of_a_server);
    return cases;
}
