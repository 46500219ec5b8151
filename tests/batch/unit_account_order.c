/*
 * unit_account_order.c - tests of the order between client accounts: its functions, and in the
 * simulator what it does to loads of several accounts.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "batch/account_order.h"
#include "batch/unit.h"
#include "batch/simulator_private.h"
#include "batch/engine_private.h"

#define RECLAIM_MS 2900                 /* by which the users want a guarantee to be met */
#define PREFIX_MAX (MS_JOB_ID_MAX - 12) /* of a job id, without its number */
#define RANDOM_RANKS 60
#define RANK_ID_MAX 16

static const struct simulator_faults no_faults;

/* ---- functions ---- */

/* Jobs that arrive faster than the weight must lie further and further ahead. */
START_TEST(virtual_arrivals_of_a_burst_are_spaced_by_the_weight)
{
    int64_t virtual_us = INT64_MIN;
    for (int64_t i = 0; i < 10; i++) {
        virtual_us = ms_order_virtual_us(1000, virtual_us, 4);
        ck_assert_int_eq(virtual_us, 1000000 + i * 250000);
    }
    ck_assert_int_eq(ms_order_ahead_ms(virtual_us, 1000, 1000, 0), 2250);
}
END_TEST

/* An account must not save up what it did not send, nor pay for it. */
START_TEST(virtual_arrival_is_never_before_the_arrival)
{
    int64_t first_us = ms_order_virtual_us(1000, INT64_MIN, 1);
    ck_assert_int_eq(first_us, 1000000);
    ck_assert_int_eq(ms_order_virtual_us(60000, first_us, 1), 60000000);
}
END_TEST

/* A wrong clock of the accepting host or of the leader must not make work late or overdue. */
START_TEST(wrong_clocks_do_not_move_work_off_its_rate)
{
    /* The accepting host is a minute ahead, then a minute behind; known for 100 ms. */
    ck_assert_int_eq(ms_order_ahead_ms(160000000, 160000, 100000, 100), 0);
    ck_assert_int_eq(ms_order_ahead_ms(40000000, 40000, 100000, 100), -100);
    /* Three seconds ahead of its rate by both. */
    ck_assert_int_eq(ms_order_ahead_ms(163000000, 160000, 100000, 0), 3000);
}
END_TEST

/* The resource of which an account has most counts, in relation to its part of the weights. */
START_TEST(share_is_that_of_the_dominant_resource)
{
    const struct ms_resources capacity = {100000, 1000, 10};
    const struct ms_resources allocated = {10000, 50, 5};
    ck_assert_int_eq(ms_order_relative_share(&allocated, &capacity, 1, 2), 1000);
    ck_assert_int_eq(ms_order_relative_share(&allocated, &capacity, 2, 4), 1000);
    ck_assert_int_eq(ms_order_relative_share(&allocated, &capacity, 4, 5), 625);
}
END_TEST

/* Memory and cores count as accelerators do. */
START_TEST(any_resource_can_be_the_dominant_one)
{
    const struct ms_resources capacity = {100000, 1000, 10};
    const struct ms_resources cores = {60000, 50, 1};
    const struct ms_resources memory = {10000, 700, 1};
    const struct ms_resources no_accels = {100000, 1000, 0};
    ck_assert_int_eq(ms_order_relative_share(&cores, &capacity, 1, 1), 600);
    ck_assert_int_eq(ms_order_relative_share(&memory, &capacity, 1, 1), 700);
    ck_assert_int_eq(ms_order_relative_share(&memory, &no_accels, 1, 1), 700);
}
END_TEST

/* While some account has a weight, those without one count with 1. */
START_TEST(missing_weight_counts_as_one)
{
    struct ms_account_rule rules[] = {{.weight = 3}, {.weight = 0}};
    struct ms_policy policy = {.accounts = rules, .account_count = 2};
    ck_assert(ms_order_has_weights(&policy));
    ck_assert_int_eq(ms_order_total_weight(&policy), 4);
    ck_assert_uint_eq(ms_order_weight(&rules[0]), 3);
    ck_assert_uint_eq(ms_order_weight(&rules[1]), 1);
    ck_assert_uint_eq(ms_order_weight(NULL), 1);
    rules[0].weight = 0;
    ck_assert(!ms_order_has_weights(&policy));
    ck_assert(!ms_order_has_weights(NULL));
}
END_TEST

static struct ms_order_rank
make_rank(int64_t accepted_ms, int64_t virtual_us, const char *id)
{
    return (struct ms_order_rank){
        .priority = 1, .accepted_ms = accepted_ms, .virtual_us = virtual_us, .id = id};
}

/* Neither a share nor a lead may hold back work within a guarantee, or of a higher priority. */
START_TEST(priority_and_guarantee_stand_above_the_order_between_accounts)
{
    struct ms_order_rank guaranteed = make_rank(9000, 90000000, "b");
    struct ms_order_rank other = make_rank(1000, 1000000, "a");
    guaranteed.within_guarantee = true;
    ms_order_classify(&guaranteed, 80000, 5000);
    ms_order_classify(&other, -60000, 0);
    ck_assert_int_lt(ms_order_compare(&guaranteed, &other), 0);
    ck_assert_int_gt(ms_order_compare(&other, &guaranteed), 0);
    guaranteed.within_guarantee = false;
    guaranteed.priority = 0;
    ck_assert_int_lt(ms_order_compare(&guaranteed, &other), 0);
}
END_TEST

/* The account below its share goes first; small differences leave it to the virtual arrival. */
START_TEST(account_below_its_share_goes_first)
{
    struct ms_order_rank below = make_rank(3000, 3000000, "c");
    struct ms_order_rank above = make_rank(1000, 1000000, "a");
    struct ms_order_rank less_below = make_rank(2000, 2000000, "b");
    ms_order_classify(&below, -100, 0);
    ms_order_classify(&less_below, -1100, MS_ORDER_WHOLE_SHARE - 1);
    ms_order_classify(&above, -2100, MS_ORDER_WHOLE_SHARE);
    ck_assert_int_lt(ms_order_compare(&below, &above), 0);
    ck_assert_int_lt(ms_order_compare(&less_below, &below), 0);
}
END_TEST

/* Work beyond its account's rate goes after all other work of its priority, whatever the shares. */
START_TEST(work_beyond_the_rate_goes_last)
{
    struct ms_order_rank beyond =
        make_rank(1000, 1000000 + 1000 * MS_ORDER_AHEAD_MAX_MS + 1000, "a");
    struct ms_order_rank within = make_rank(1100, 1000000 + 1000 * MS_ORDER_AHEAD_MAX_MS, "b");
    ms_order_classify(&beyond, MS_ORDER_AHEAD_MAX_MS + 1, 0);
    ms_order_classify(&within, MS_ORDER_AHEAD_MAX_MS, 9000);
    ck_assert_int_eq(beyond.order_class, MS_ORDER_BEYOND_RATE);
    ck_assert_int_eq(within.order_class, MS_ORDER_WITHIN_RATE);
    ck_assert_int_lt(ms_order_compare(&within, &beyond), 0);
}
END_TEST

/*
 * Work that has waited for MS_ORDER_SHARE_WAIT_MAX_MS after its virtual arrival must not wait
 * behind work with a later virtual arrival, whatever the shares; without that bound, an account
 * above its share could wait for as long as work of others arrives.
 */
START_TEST(wait_behind_later_work_is_bounded)
{
    uint64_t random_state = 4711;
    const int64_t now_ms = 100000;
    for (int i = 0; i < 10000; i++) {
        int64_t overdue_ms = MS_ORDER_SHARE_WAIT_MAX_MS + 1 + simulator_random(&random_state, 9000);
        int64_t virtual_ms = now_ms - overdue_ms;
        int64_t later_ms = virtual_ms + 1 + simulator_random(&random_state, 20000);
        struct ms_order_rank overdue = make_rank(virtual_ms, virtual_ms * 1000, "z");
        struct ms_order_rank later = make_rank(later_ms, later_ms * 1000, "a");
        ms_order_classify(&overdue, -overdue_ms, simulator_random(&random_state, 10000));
        ms_order_classify(&later, later_ms - now_ms, simulator_random(&random_state, 10000));
        ck_assert_int_lt(ms_order_compare(&overdue, &later), 0);
    }
}
END_TEST

/* Sorting relies on an order that is total: antisymmetric and transitive. */
START_TEST(order_is_total)
{
    uint64_t random_state = 42;
    char ids[RANDOM_RANKS][RANK_ID_MAX];
    struct ms_order_rank ranks[RANDOM_RANKS];
    for (int i = 0; i < RANDOM_RANKS; i++) {
        snprintf(ids[i], sizeof(ids[i]), "job%d", i);
        ranks[i] = make_rank(simulator_random(&random_state, 3), simulator_random(&random_state, 3),
                             ids[i]);
        ranks[i].priority = simulator_random(&random_state, 2);
        ranks[i].within_guarantee = simulator_random(&random_state, 2) == 0;
        ms_order_classify(&ranks[i], (int64_t)simulator_random(&random_state, 20000) - 10000,
                          simulator_random(&random_state, 4000));
    }
    for (int a = 0; a < RANDOM_RANKS; a++) {
        for (int b = 0; b < RANDOM_RANKS; b++) {
            int order = ms_order_compare(&ranks[a], &ranks[b]);
            ck_assert((order == 0) == (a == b));
            ck_assert((order < 0) == (ms_order_compare(&ranks[b], &ranks[a]) > 0));
            for (int c = 0; order < 0 && c < RANDOM_RANKS; c++) {
                bool b_before_c = ms_order_compare(&ranks[b], &ranks[c]) < 0;
                ck_assert(!b_before_c || ms_order_compare(&ranks[a], &ranks[c]) < 0);
            }
        }
    }
}
END_TEST

/* ---- simulator ---- */

/* Submits COUNT jobs PREFIX0, ... of ACCOUNT to QUEUE, each of one task of ACCELS accelerators. */
static void
submit_jobs(struct simulator *simulator, const char *account, const char *prefix, const char *queue,
            int count, int64_t accels)
{
    for (int i = 0; i < count; i++) {
        struct ms_batch_spec spec;
        char id[MS_JOB_ID_MAX];
        snprintf(id, sizeof(id), "%s%d", prefix, i);
        simple_spec(&spec, id, queue, 1, accels);
        g_strlcpy(spec.account, account, sizeof(spec.account));
        simulator_submit_job(simulator, &spec);
    }
}

/* Run time of each task: the mean of those that the simulator draws. */
static int64_t
mean_run_ms(void *opaque, const char *task)
{
    (void)opaque;
    (void)task;
    return 1750;
}

/* How many of the jobs PREFIX0, ..., PREFIX(COUNT - 1) have succeeded. */
static int
count_succeeded(const struct simulator *simulator, const char *prefix, int count)
{
    int succeeded = 0;
    for (int i = 0; i < count; i++) {
        char id[MS_JOB_ID_MAX];
        snprintf(id, sizeof(id), "%s%d", prefix, i);
        succeeded += simulator_job_phase(simulator, id) == MS_PHASE_SUCCEEDED;
    }
    return succeeded;
}

/*
 * Load: 2 servers; account "hot" of weight 2 sends 60 jobs at once, "calm" of weight 2 one job
 * every 500 ms after that.  The calm account's jobs must be served beside the backlog, in
 * which they would all wait for 20 s in order of arrival.
 */
START_TEST(account_that_sends_too_much_delays_its_own_work)
{
    const struct simulator_speeds speeds = {.run_ms = mean_run_ms};
    struct simulator *simulator = simulator_new_with_speeds(51, 2, &no_faults, &speeds, NULL);
    simulator_set_weight(simulator, "hot", 2);
    simulator_set_weight(simulator, "calm", 2);
    submit_jobs(simulator, "hot", "hot", "q1", 60, 4);
    simulator_run(simulator, 200);
    for (int i = 0; i < 8; i++) {
        char prefix[PREFIX_MAX];
        snprintf(prefix, sizeof(prefix), "calm%d-", i);
        submit_jobs(simulator, "calm", prefix, "q1", 1, 4);
        simulator_run(simulator, 500);
    }
    simulator_run(simulator, 6000);
    ck_assert_str_eq(simulator_violation(simulator), "");
    for (int i = 0; i < 8; i++) {
        char id[MS_JOB_ID_MAX];
        snprintf(id, sizeof(id), "calm%d-0", i);
        ck_assert_int_eq(simulator_job_phase(simulator, id), MS_PHASE_SUCCEEDED);
    }
    ck_assert_int_lt(count_succeeded(simulator, "hot", 60), 60);
    simulator_free(simulator);
}
END_TEST

/*
 * Load: 4 servers; account "hot" of weight 1 of 10 sends 32 jobs at once that fill all servers, and
 * nobody else sends any.  A share and a rate must not leave capacity idle.
 */
START_TEST(idle_capacity_is_lent)
{
    struct simulator *simulator = simulator_new(52, 4, &no_faults, NULL);
    struct simulator_counts counts;
    simulator_set_weight(simulator, "hot", 1);
    simulator_set_weight(simulator, "idle", 9);
    submit_jobs(simulator, "hot", "hot", "q2", 32, 1);
    simulator_run(simulator, 400);
    simulator_counts(simulator, &counts);
    ck_assert_uint_eq(counts.starts, 32);
    simulator_run(simulator, 4000);
    ck_assert_str_eq(simulator_violation(simulator), "");
    ck_assert_int_eq(count_succeeded(simulator, "hot", 32), 32);
    simulator_free(simulator);
}
END_TEST

/*
 * Load: 1 server; "large" of weight 1 of 9 sends a job that takes a quarter of the server for a
 * minute, then a second one; "busy" of weight 8 sends two jobs every 250 ms, which keep the rest of
 * the server full for 15 s.  The second job of the large account, which is above its share, must
 * not wait for as long as the others' work arrives.
 */
START_TEST(account_above_its_share_is_not_starved)
{
    struct simulator *simulator = simulator_new(53, 1, &no_faults, NULL);
    simulator_set_weight(simulator, "large", 1);
    simulator_set_weight(simulator, "busy", 8);
    struct ms_batch_spec spec;
    simple_spec(&spec, "lasting", "q1", 1, 2);
    g_strlcpy(spec.account, "large", sizeof(spec.account));
    simulator_submit_job(simulator, &spec);
    simulator_run(simulator, 100);
    g_array_index(simulator->servers[0].runs, struct run, 0).ends_at = simulator->now + 60000;
    submit_jobs(simulator, "busy", "first", "q1", 6, 1);
    simulator_run(simulator, 1100);
    simple_spec(&spec, "second", "q1", 1, 2);
    g_strlcpy(spec.account, "large", sizeof(spec.account));
    simulator_submit_job(simulator, &spec);
    for (int i = 0; i < 60; i++) {
        char prefix[PREFIX_MAX];
        snprintf(prefix, sizeof(prefix), "busy%d-", i);
        submit_jobs(simulator, "busy", prefix, "q1", 2, 2);
        simulator_run(simulator, 250);
    }
    ck_assert_str_eq(simulator_violation(simulator), "");
    ck_assert_int_eq(simulator_job_phase(simulator, "second"), MS_PHASE_SUCCEEDED);
    simulator_free(simulator);
}
END_TEST

/* Writes the ids of the jobs in TRACE, in the order of their first starts, to ORDER. */
static void
list_starts(const char *trace, GString *order)
{
    GHashTable *seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    char **lines = g_strsplit(trace, "\n", -1);
    for (size_t i = 0; lines[i] != NULL; i++) {
        const char *task = strstr(lines[i], "event=place task=");
        if (task == NULL) {
            continue;
        }
        task += strlen("event=place task=");
        char *id = g_strndup(task, strcspn(task, "."));
        if (g_hash_table_add(seen, g_strdup(id))) {
            g_string_append_printf(order, "%s ", id);
        }
        g_free(id);
    }
    g_strfreev(lines);
    g_hash_table_destroy(seen);
}

/*
 * Starts of two backlogs on a busy server.  TAKE_OVER_MS: when the leader is lost, 0: never.  The
 * caller frees the result.
 */
static char *
run_two_backlogs(int64_t take_over_ms)
{
    char *trace = NULL;
    size_t trace_size = 0;
    FILE *stream = open_memstream(&trace, &trace_size);
    struct simulator *simulator = simulator_new(54, 1, &no_faults, stream);
    GString *order = g_string_new(NULL);
    simulator_set_weight(simulator, "a", 5);
    simulator_set_weight(simulator, "b", 2);
    submit_jobs(simulator, "", "first", "q0", 1, 8); /* keeps the server busy until 3 s at least */
    simulator_run(simulator, 50);
    g_array_index(simulator->servers[0].runs, struct run, 0).ends_at = simulator->now + 3000;
    submit_jobs(simulator, "a", "a", "q1", 6, 8);
    submit_jobs(simulator, "b", "b", "q1", 6, 8);
    simulator_run(simulator, 500);
    if (take_over_ms > 0) {
        simulator_change_leader(simulator, take_over_ms);
    }
    simulator_run(simulator, 40000);
    ck_assert_str_eq(simulator_violation(simulator), "");
    simulator_free(simulator);
    ck_assert_int_eq(fclose(stream), 0);
    list_starts(trace, order);
    free(trace);
    return g_string_free(order, FALSE);
}

/*
 * Load: 1 server and 12 jobs of two accounts, each of which takes the server.  A new leader must
 * go on in the order of the earlier one, which it only has from the log.
 */
START_TEST(order_is_the_same_after_a_takeover)
{
    char *expected = run_two_backlogs(0);
    char *order = run_two_backlogs(50);
    ck_assert_str_eq(order, expected);
    ck_assert_ptr_nonnull(strstr(expected, "b5"));
    g_free(order);
    g_free(expected);
}
END_TEST

/* The virtual arrival of job ID, in the engine. */
static int64_t
virtual_us_of(const struct simulator *simulator, const char *id)
{
    const struct ms_batch_job *job = g_hash_table_lookup(simulator->engine->jobs_by_id, id);
    return job->virtual_us;
}

/*
 * Load: 1 server; account "a" of weight 2 has one job that is preempted twice, then sends a
 * second one.  Its preempted runs must not count as work that it has sent.
 */
START_TEST(retries_are_charged_once)
{
    struct simulator *simulator = simulator_new(55, 1, &no_faults, NULL);
    struct simulator_counts counts;
    simulator_set_weight(simulator, "a", 2);
    submit_jobs(simulator, "a", "low", "q2", 1, 8);
    simulator_run(simulator, 100);
    int64_t virtual_us = virtual_us_of(simulator, "low0");
    for (int i = 0; i < 2; i++) {
        char prefix[PREFIX_MAX];
        simulator_stall_runs(simulator, 0, 300);
        snprintf(prefix, sizeof(prefix), "urgent%d-", i);
        submit_jobs(simulator, "other", prefix, "q0", 1, 8);
        simulator_run(simulator, 4500);
    }
    simulator_counts(simulator, &counts);
    ck_assert_uint_ge(counts.stopped, 1);
    ck_assert_int_eq(virtual_us_of(simulator, "low0"), virtual_us);
    submit_jobs(simulator, "a", "next", "q2", 1, 8);
    simulator_change_leader(simulator, 20);
    simulator_run(simulator, 200);
    ck_assert_int_eq(virtual_us_of(simulator, "low0"), virtual_us);
    ck_assert_int_lt(virtual_us_of(simulator, "next0"), simulator->now * 1000);
    ck_assert_str_eq(simulator_violation(simulator), "");
    simulator_free(simulator);
}
END_TEST

/*
 * Load: 2 servers full of jobs of the lowest priority of account "calm"; account "hot" of weight 1
 * sends 30 jobs of the top priority at once.  Those within its rate may preempt the calm
 * account's jobs; those beyond it must not.
 */
START_TEST(work_beyond_the_rate_does_not_preempt_other_accounts)
{
    struct simulator *simulator = simulator_new(56, 2, &no_faults, NULL);
    struct simulator_counts counts;
    simulator_set_weight(simulator, "hot", 1);
    simulator_set_weight(simulator, "calm", 16);
    submit_jobs(simulator, "calm", "calm", "q2", 16, 1);
    simulator_run(simulator, 300);
    simulator_stall_runs(simulator, 0, 100000);
    simulator_stall_runs(simulator, 1, 100000);
    submit_jobs(simulator, "hot", "hot", "q0", 30, 1);
    simulator_run(simulator, 1000);
    simulator_counts(simulator, &counts);
    /* Two at once, and one more after each second. */
    ck_assert_uint_ge(counts.stopped, 2);
    ck_assert_uint_le(counts.stopped, 3);
    ck_assert_str_eq(simulator_violation(simulator), "");
    simulator_free(simulator);
}
END_TEST

/*
 * Load: as above, but the jobs of the lowest priority are the hot account's own: an account may
 * preempt its own work however much it sends.
 */
START_TEST(work_beyond_the_rate_preempts_its_own_account)
{
    struct simulator *simulator = simulator_new(57, 2, &no_faults, NULL);
    struct simulator_counts counts;
    simulator_set_weight(simulator, "hot", 1);
    submit_jobs(simulator, "hot", "low", "q2", 16, 1);
    simulator_run(simulator, 300);
    simulator_stall_runs(simulator, 0, 100000);
    simulator_stall_runs(simulator, 1, 100000);
    submit_jobs(simulator, "hot", "hot", "q0", 16, 1);
    simulator_run(simulator, 800);
    simulator_counts(simulator, &counts);
    ck_assert_uint_eq(counts.stopped, 16);
    ck_assert_str_eq(simulator_violation(simulator), "");
    simulator_free(simulator);
}
END_TEST

/*
 * Load: 2 servers full of another account's jobs; account "account", which is guaranteed 16
 * accelerators and has weight 1, sends 16 jobs of the top priority at once.  A guarantee stands
 * above rates: all of them must start at once.
 */
START_TEST(guarantee_stands_above_the_rate)
{
    struct simulator *simulator = simulator_new(58, 2, &no_faults, NULL);
    struct simulator_counts counts;
    simulator_set_weight(simulator, "account", 1);
    simulator_set_weight(simulator, "calm", 16);
    submit_jobs(simulator, "calm", "calm", "q2", 16, 1);
    simulator_run(simulator, 300);
    simulator_stall_runs(simulator, 0, 100000);
    simulator_stall_runs(simulator, 1, 100000);
    submit_jobs(simulator, "account", "owed", "q0", 16, 1);
    simulator_run(simulator, 800);
    simulator_counts(simulator, &counts);
    ck_assert_uint_eq(counts.stopped, 16);
    ck_assert_str_eq(simulator_violation(simulator), "");
    simulator_free(simulator);
}
END_TEST

/*
 * Load: 2 servers full of a job of "calm" with 16 tasks that run until they are stopped, of which
 * MAX_UNAVAILABLE may be away (0: no limit); then "account", which is guaranteed 16 accelerators,
 * sends a job of 4 tasks of QUEUE.  Returns how many lines of the next RECLAIM_MS have TEXT.
 */
static uint32_t
count_beside_long_running(uint32_t max_unavailable, const char *queue, const char *text)
{
    char *trace = NULL;
    size_t trace_size = 0;
    uint32_t count = 0;
    FILE *stream = open_memstream(&trace, &trace_size);
    struct simulator *simulator = simulator_new(60, 2, &no_faults, stream);
    struct ms_batch_spec spec;
    simple_spec(&spec, "lasting", "q2", 16, 1);
    g_strlcpy(spec.account, "calm", sizeof(spec.account));
    spec.steps[0].long_running = true;
    spec.steps[0].max_unavailable = max_unavailable;
    simulator_submit_job(simulator, &spec);
    simulator_run(simulator, 300);
    simulator_stall_runs(simulator, 0, 100000);
    simulator_stall_runs(simulator, 1, 100000);
    simple_spec(&spec, "owed", queue, 4, 1);
    simulator_submit_job(simulator, &spec);
    simulator_run(simulator, RECLAIM_MS);
    ck_assert_str_eq(simulator_violation(simulator), "");
    simulator_free(simulator);
    ck_assert_int_eq(fclose(stream), 0);
    for (const char *at = trace; (at = strstr(at, text)) != NULL; at++) {
        count++;
    }
    free(trace);
    return count;
}

/* Guards against a guarantee that is never met as long-running tasks hold everything (review/15).
 */
START_TEST(guarantee_is_reclaimed_from_long_running_tasks)
{
    ck_assert_uint_ge(count_beside_long_running(0, "q0", " start owed."), 4);
}
END_TEST

/* Work without a guarantee does not stop them, whatever its priority. */
START_TEST(long_running_tasks_are_not_stopped_without_a_guarantee)
{
    ck_assert_uint_eq(count_beside_long_running(0, "q1", "reason=reclaimed"), 0);
}
END_TEST

/* Nor does a guarantee if too many tasks of their step are away already: these are not at work. */
START_TEST(long_running_tasks_stay_if_too_many_of_their_step_are_away)
{
    ck_assert_uint_eq(count_beside_long_running(4, "q0", "reason=reclaimed"), 0);
}
END_TEST

/* Load: 1 busy server and jobs of three accounts.  Without weights the order is that of arrival. */
START_TEST(without_weights_the_order_is_that_of_arrival)
{
    char *trace = NULL;
    size_t trace_size = 0;
    FILE *stream = open_memstream(&trace, &trace_size);
    struct simulator *simulator = simulator_new(59, 1, &no_faults, stream);
    GString *order = g_string_new(NULL);
    submit_jobs(simulator, "x", "first", "q1", 1, 8);
    for (int i = 0; i < 3; i++) {
        char prefix[PREFIX_MAX];
        simulator_run(simulator, 20);
        snprintf(prefix, sizeof(prefix), "x%d-", i);
        submit_jobs(simulator, "x", prefix, "q1", 2, 8);
        simulator_run(simulator, 20);
        snprintf(prefix, sizeof(prefix), "y%d-", i);
        submit_jobs(simulator, "y", prefix, "q1", 1, 8);
    }
    simulator_run(simulator, 40000);
    ck_assert_str_eq(simulator_violation(simulator), "");
    simulator_free(simulator);
    ck_assert_int_eq(fclose(stream), 0);
    list_starts(trace, order);
    ck_assert_str_eq(order->str, "first0 x0-0 x0-1 y0-0 x1-0 x1-1 y1-0 x2-0 x2-1 y2-0 ");
    g_string_free(order, TRUE);
    free(trace);
}
END_TEST

TCase *
account_order_cases(void)
{
    TCase *cases = tcase_create("account_order");
    tcase_add_test(cases, virtual_arrivals_of_a_burst_are_spaced_by_the_weight);
    tcase_add_test(cases, virtual_arrival_is_never_before_the_arrival);
    tcase_add_test(cases, wrong_clocks_do_not_move_work_off_its_rate);
    tcase_add_test(cases, share_is_that_of_the_dominant_resource);
    tcase_add_test(cases, any_resource_can_be_the_dominant_one);
    tcase_add_test(cases, missing_weight_counts_as_one);
    tcase_add_test(cases, priority_and_guarantee_stand_above_the_order_between_accounts);
    tcase_add_test(cases, account_below_its_share_goes_first);
    tcase_add_test(cases, work_beyond_the_rate_goes_last);
    tcase_add_test(cases, wait_behind_later_work_is_bounded);
    tcase_add_test(cases, order_is_total);
    tcase_add_test(cases, account_that_sends_too_much_delays_its_own_work);
    tcase_add_test(cases, idle_capacity_is_lent);
    tcase_add_test(cases, account_above_its_share_is_not_starved);
    tcase_add_test(cases, order_is_the_same_after_a_takeover);
    tcase_add_test(cases, retries_are_charged_once);
    tcase_add_test(cases, work_beyond_the_rate_does_not_preempt_other_accounts);
    tcase_add_test(cases, work_beyond_the_rate_preempts_its_own_account);
    tcase_add_test(cases, guarantee_stands_above_the_rate);
    tcase_add_test(cases, guarantee_is_reclaimed_from_long_running_tasks);
    tcase_add_test(cases, long_running_tasks_are_not_stopped_without_a_guarantee);
    tcase_add_test(cases, long_running_tasks_stay_if_too_many_of_their_step_are_away);
    tcase_add_test(cases, without_weights_the_order_is_that_of_arrival);
    return cases;
}
