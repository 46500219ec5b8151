/*
 * unit_lost_answer.c - tests of starts that are carried out though their answer is lost, beside
 * reports that were made before and arrive after.
 *
 * The engine runs with a model of three servers, which are told of each call and answer it after
 * delays that a scenario sets.  All scenarios are played: each order of the events "start sent,
 * start carried out, report made, report received", for tasks and gangs, also over a takeover.
 */
#include <string.h>

#include "batch/engine.h"
#include "batch/unit.h"

#define STEP_MS 50
#define START_UNIX_MS 5000
#define CALL_TIMEOUT_MS 1000
#define LEASE_MAX_MS 10000
#define RUN_MS 2000
#define SETTLE_MS 2000    /* before the job of the test is added */
#define QUIET_MS 8000     /* no call is slow, and no start on its way any more */
#define SCENARIO_MS 16000 /* by then the job has to be done */
/* The same if its server drains: no copy of the start may come any more before it runs elsewhere.
 */
#define DRAINED_SCENARIO_MS (SCENARIO_MS + MS_ORDER_TIMEOUT_MS + MS_ORDER_LATE_MS)
#define CALLS_MAX 64
#define RUNS_MAX 8
#define OTHER "other." /* tasks with one run on each server, which keeps reports coming */
#define OTHER_ACCELS 5

enum { SERVER_COUNT = 3, GANG_SIZE = 2 };

/* The orders of the four events, by number; see note_order_of_events(). */
enum { MADE_AFTER_SENT = 3, EVENT_ORDERS = 6 };

/* What becomes of further copies of the start, while calls are disturbed. */
enum next_copy { NEXT_DONE = 0, NEXT_REFUSED, NEXT_LOST, NEXT_COPY_COUNT };

struct scenario {
    bool gang;
    bool closed; /* the connection of the start is closed when it is carried out */
    bool drains; /* the server drains from then on, so that new runs go elsewhere */
    enum next_copy next_copy;
    int64_t disturbed_ms;   /* for how long calls are slow or lost, from SETTLE_MS on */
    int64_t start_out;      /* until the first start arrives and is carried out */
    int64_t renewal_out;    /* until a renewal arrives, and its report is made */
    int64_t renewal_back;   /* from then until the report is received */
    int64_t job_at;         /* when the job is added, after SETTLE_MS */
    int64_t takeover_after; /* from the job's addition until another leader takes over, 0: never */
};

struct run {
    char task[MS_TASK_NAME_MAX];
    uint32_t number;
    int64_t ends_at;
};

/* A server: its runs, the ends that it reports, and what it refuses. */
struct server {
    struct run runs[RUNS_MAX];
    size_t run_count;
    struct ms_reported_end ends[CALLS_MAX];
    size_t end_count;
    uint64_t acked;
    uint64_t fence;
    int64_t lease_end;
};

/* A call under way; REPORT is what the server has answered. */
struct call {
    struct ms_engine_action *action;
    int64_t sent_at, arrives_at, answers_at;
    bool has_arrived, is_answered;
    bool is_lost; /* carried out, but no answer reaches the caller */
    enum ms_order_result result;
    struct ms_reported_run running[RUNS_MAX];
    struct ms_server_report report;
};

struct fixture {
    const struct scenario *scenario;
    struct ms_engine *engine;
    struct ms_stored_job jobs[2]; /* OTHER and the one of the test */
    GBytes *states[2];
    struct server servers[SERVER_COUNT];
    struct call calls[CALLS_MAX];
    int64_t now, disturbed_at;
    uint64_t epoch;
    size_t starts_seen;                /* of the job of the test */
    int64_t first_sent_at;             /* its first start */
    const struct server *first_server; /* that it was sent to */
    int64_t first_done_at;             /* 0: not carried out yet */
    size_t runs_at_once; /* the most runs that one of its tasks had at the same time */
    bool job_done;
    bool *orders_met; /* the orders of the four events that were played, by number */
};

static const char *const server_ids[SERVER_COUNT] = {"a", "b", "c"};

static bool
is_disturbed(const struct fixture *fixture)
{
    int64_t passed = fixture->now - fixture->disturbed_at;
    return passed >= 0 && passed < fixture->scenario->disturbed_ms;
}

static void
note_job_end(void *opaque, const char *text)
{
    struct fixture *fixture = opaque;
    fixture->job_done |= strstr(text, "event=job_end id=job ") != NULL;
}

static void
list_server(struct fixture *fixture, size_t index, bool draining)
{
    struct ms_directory_entry entry = {.start_unix_ms = START_UNIX_MS,
                                       .address = "127.0.0.1:1",
                                       .dc = "dc",
                                       .service = "service",
                                       .clock_ms = fixture->now,
                                       .draining = draining,
                                       .capacity = {64000, 64000, 8}};
    g_strlcpy(entry.id, server_ids[index], sizeof(entry.id));
    ms_engine_update_server(fixture->engine, &entry, fixture->now);
}

static void
create_engine(struct fixture *fixture)
{
    static struct ms_queue_rule queues[] = {
        {.name = "q0", .service = "service", .failures_max = 9}};
    static const struct ms_policy policy = {.version = 1, .queues = queues, .queue_count = 1};
    struct ms_engine_limits limits;
    ms_engine_limits_defaults(&limits);
    fixture->epoch++;
    fixture->engine =
        ms_engine_new(&limits, fixture->epoch, fixture->epoch > 1 ? fixture->now + LEASE_MAX_MS : 0,
                      fixture->now);
    ms_engine_set_policy(fixture->engine, &policy);
    ms_engine_set_log(fixture->engine, note_job_end, fixture);
    for (size_t i = 0; i < SERVER_COUNT; i++) {
        list_server(fixture, i,
                    fixture->scenario->drains && &fixture->servers[i] == fixture->first_server);
    }
}

static void
add_job(struct fixture *fixture, size_t index)
{
    fixture->jobs[index].state = fixture->states[index];
    ms_engine_add_job(fixture->engine, &fixture->jobs[index], fixture->now);
}

static void
fixture_init(struct fixture *fixture, const struct scenario *scenario, bool *orders_met)
{
    memset(fixture, 0, sizeof(*fixture));
    fixture->scenario = scenario;
    fixture->orders_met = orders_met;
    fixture->now = 1000;
    fixture->disturbed_at = fixture->now + SETTLE_MS;
    create_engine(fixture);
    g_strlcpy(fixture->jobs[0].id, "other", sizeof(fixture->jobs[0].id));
    g_strlcpy(fixture->jobs[1].id, "job", sizeof(fixture->jobs[1].id));
    simple_spec(&fixture->jobs[0].spec, "other", "q0", SERVER_COUNT, OTHER_ACCELS);
    simple_spec(&fixture->jobs[1].spec, "job", "q0", scenario->gang ? GANG_SIZE : 1, 3);
    fixture->jobs[1].spec.steps[0].gang = scenario->gang;
    fixture->jobs[0].accepted = fixture->jobs[1].accepted = true;
    add_job(fixture, 0);
}

static void
fixture_clear(struct fixture *fixture)
{
    ms_engine_free(fixture->engine);
    for (size_t i = 0; i < CALLS_MAX; i++) {
        if (fixture->calls[i].action != NULL) {
            ms_engine_action_free(fixture->calls[i].action);
        }
    }
    for (size_t i = 0; i < 2; i++) {
        ms_batch_spec_clear(&fixture->jobs[i].spec);
        if (fixture->states[i] != NULL) {
            g_bytes_unref(fixture->states[i]);
        }
    }
}

/* Keeps the states of the jobs that the records of STORE contain. */
static void
keep_states(struct fixture *fixture, const struct ms_engine_action *store)
{
    for (guint i = 0; i < store->records->len; i++) {
        const struct ms_store_record *record = g_ptr_array_index(store->records, i);
        size_t index = strstr(record->key, "other") != NULL ? 0 : 1;
        if (record->value != NULL) {
            if (fixture->states[index] != NULL) {
                g_bytes_unref(fixture->states[index]);
            }
            fixture->states[index] = g_bytes_ref(record->value);
        }
    }
}

static void
end_run(struct server *server, size_t index, enum ms_run_end how)
{
    struct ms_reported_end *end = &server->ends[server->end_count++];
    ck_assert_uint_lt(server->end_count, CALLS_MAX);
    end->position = server->end_count;
    end->run = server->runs[index].number;
    end->end = how;
    g_strlcpy(end->task, server->runs[index].task, sizeof(end->task));
    server->runs[index] = server->runs[--server->run_count];
}

/* Whether RUN of TASK or a later one was stopped or has ended on SERVER. */
static bool
is_barred(const struct server *server, const char *task, uint32_t run)
{
    for (size_t i = 0; i < server->end_count; i++) {
        if (strcmp(server->ends[i].task, task) == 0 && server->ends[i].run >= run) {
            return true;
        }
    }
    return false;
}

static struct run *
find_run(struct server *server, const char *task)
{
    for (size_t i = 0; i < server->run_count; i++) {
        if (strcmp(server->runs[i].task, task) == 0) {
            return &server->runs[i];
        }
    }
    return NULL;
}

static enum ms_order_result
apply_start(struct fixture *fixture, struct server *server, const struct ms_engine_action *order)
{
    const struct run *present = find_run(server, order->task);
    if (is_barred(server, order->task, order->run)) {
        return MS_ORDER_STALE_RUN;
    }
    if (order->deadline_ms <= fixture->now) {
        return MS_ORDER_DEADLINE_PASSED;
    }
    server->lease_end = MAX(server->lease_end, order->deadline_ms);
    if (present != NULL) {
        return present->number == order->run ? MS_ORDER_OK : MS_ORDER_STALE_RUN;
    }
    bool is_other = g_str_has_prefix(order->task, OTHER);
    struct run *run = &server->runs[server->run_count++];
    ck_assert_uint_lt(server->run_count, RUNS_MAX);
    g_strlcpy(run->task, order->task, sizeof(run->task));
    run->number = order->run;
    run->ends_at = is_other ? INT64_MAX : fixture->now + RUN_MS;
    if (!is_other && server == fixture->first_server && fixture->first_done_at == 0) {
        fixture->first_done_at = fixture->now;
    }
    size_t at_once = 0;
    for (size_t i = 0; i < SERVER_COUNT; i++) {
        at_once += find_run(&fixture->servers[i], order->task) != NULL;
    }
    fixture->runs_at_once = MAX(fixture->runs_at_once, at_once);
    return MS_ORDER_OK;
}

/* A stop bars its run, also one that is not there. */
static enum ms_order_result
apply_stop(struct server *server, const struct ms_engine_action *order)
{
    struct run *run = find_run(server, order->task);
    if (run == NULL && !is_barred(server, order->task, order->run)) {
        struct run *never_started = &server->runs[server->run_count++];
        g_strlcpy(never_started->task, order->task, sizeof(never_started->task));
        never_started->number = order->run;
        run = never_started;
    }
    if (run != NULL && run->number <= order->run) {
        end_run(server, (size_t)(run - server->runs), MS_RUN_END_STOPPED);
    }
    return MS_ORDER_OK;
}

static void
make_report(const struct fixture *fixture, struct server *server, struct call *call)
{
    server->acked = MAX(server->acked, call->action->ack_position);
    server->lease_end = MAX(server->lease_end, call->action->deadline_ms);
    for (size_t i = 0; i < server->run_count; i++) {
        g_strlcpy(call->running[i].task, server->runs[i].task, sizeof(call->running[i].task));
        call->running[i].run = server->runs[i].number;
        call->running[i].percent = (uint32_t)(fixture->now / STEP_MS % 100); /* never stalled */
    }
    call->report = (struct ms_server_report){.start_unix_ms = START_UNIX_MS,
                                             .clock_ms = fixture->now,
                                             .running = call->running,
                                             .running_count = server->run_count,
                                             .ended = server->ends + server->acked,
                                             .ended_count = server->end_count - server->acked};
}

static struct server *
server_of(struct fixture *fixture, const struct ms_engine_action *action)
{
    return &fixture->servers[action->server[0] - server_ids[0][0]];
}

/* CALL reaches its server, also if its caller has given it up. */
static void
arrive(struct fixture *fixture, struct call *call)
{
    struct server *server = server_of(fixture, call->action);
    call->has_arrived = true;
    if (call->result == MS_ORDER_UNAVAILABLE) {
        return;
    }
    if (call->action->fence < server->fence) {
        call->result = MS_ORDER_FENCED;
        return;
    }
    server->fence = call->action->fence;
    if (call->action->kind == MS_ENGINE_START) {
        call->result = apply_start(fixture, server, call->action);
    }
    else if (call->action->kind == MS_ENGINE_STOP) {
        call->result = apply_stop(server, call->action);
    }
    else {
        make_report(fixture, server, call);
    }
}

/* Notes in which order a report, made and received after ARRIVED_AT, met the first start. */
static void
note_order_of_events(struct fixture *fixture, const struct call *report)
{
    if (server_of(fixture, report->action) != fixture->first_server && fixture->starts_seen > 0) {
        return;
    }
    int64_t made = report->arrives_at, received = fixture->now;
    int64_t sent = fixture->starts_seen > 0 ? fixture->first_sent_at : INT64_MAX;
    int64_t done = fixture->first_done_at != 0 ? fixture->first_done_at : INT64_MAX;
    int number = made >= done       ? MADE_AFTER_SENT + 2
                 : made >= sent     ? MADE_AFTER_SENT + (received >= done)
                 : received >= sent ? 1 + (received >= done)
                                    : 0;
    fixture->orders_met[number] = true;
}

/* The caller of CALL gets its answer, or gives it up. */
static void
answer(struct fixture *fixture, struct call *call)
{
    const struct ms_engine_action *action = call->action;
    bool is_lost = call->is_lost || call->answers_at >= call->sent_at + CALL_TIMEOUT_MS;
    call->is_answered = true;
    if (action->epoch != fixture->epoch) {
        return;
    }
    if (action->kind == MS_ENGINE_RENEW_LEASE) {
        bool has_report = !is_lost && call->result == MS_ORDER_OK;
        if (has_report) {
            note_order_of_events(fixture, call);
        }
        ms_engine_on_renewal_answer(fixture->engine, action,
                                    is_lost ? MS_ORDER_NO_ANSWER : call->result,
                                    has_report ? &call->report : NULL, call->sent_at, fixture->now);
        return;
    }
    ms_engine_on_order_answer(fixture->engine, action, is_lost ? MS_ORDER_NO_ANSWER : call->result,
                              is_lost ? 0 : fixture->now, fixture->now);
}

static void
set_fate_of_next_copy(const struct scenario *scenario, struct call *call)
{
    if (scenario->next_copy == NEXT_REFUSED) {
        call->result = MS_ORDER_UNAVAILABLE;
    }
    else if (scenario->next_copy == NEXT_LOST) {
        call->is_lost = true;
        call->arrives_at += scenario->start_out;
        call->answers_at += CALL_TIMEOUT_MS;
    }
}

static void
set_fate_of_start(struct fixture *fixture, struct call *call)
{
    const struct scenario *scenario = fixture->scenario;
    if (g_str_has_prefix(call->action->task, OTHER)) {
        return;
    }
    if (fixture->starts_seen == 0) {
        fixture->first_sent_at = fixture->now;
        fixture->first_server = server_of(fixture, call->action);
        call->is_lost = true;
        if (scenario->drains) {
            list_server(fixture, (size_t)(fixture->first_server - fixture->servers), true);
        }
        call->arrives_at = fixture->now + scenario->start_out;
        call->answers_at = fixture->now + CALL_TIMEOUT_MS;
        if (scenario->closed && scenario->start_out < CALL_TIMEOUT_MS) {
            call->answers_at = call->arrives_at;
        }
    }
    else if (call->action->run == 1 && strcmp(call->action->task, "job.0.0.0") == 0 &&
             is_disturbed(fixture)) {
        set_fate_of_next_copy(scenario, call);
    }
    fixture->starts_seen++;
}

/* Sends ACTION, which the call owns from now on. */
static void
send_call(struct fixture *fixture, struct ms_engine_action *action)
{
    struct call *call = fixture->calls;
    while (call->action != NULL) {
        call++;
        ck_assert(call < fixture->calls + CALLS_MAX);
    }
    memset(call, 0, sizeof(*call));
    call->action = action;
    call->sent_at = call->arrives_at = call->answers_at = fixture->now;
    if (action->kind == MS_ENGINE_RENEW_LEASE) {
        call->arrives_at += action->long_poll_ms;
        call->answers_at = call->arrives_at;
        if (is_disturbed(fixture)) {
            call->arrives_at = fixture->now + fixture->scenario->renewal_out;
            call->answers_at = MIN(call->arrives_at + fixture->scenario->renewal_back,
                                   fixture->now + CALL_TIMEOUT_MS);
        }
    }
    else if (action->kind == MS_ENGINE_START) {
        set_fate_of_start(fixture, call);
    }
}

/* Carries out ACTION, which is freed. */
static void
carry_out(struct fixture *fixture, struct ms_engine_action *action)
{
    switch (action->kind) {
    case MS_ENGINE_START:
    case MS_ENGINE_STOP:
    case MS_ENGINE_RENEW_LEASE:
        send_call(fixture, action);
        return;
    case MS_ENGINE_STORE:
        keep_states(fixture, action);
        ms_engine_on_stored(fixture->engine, fixture->now);
        break;
    case MS_ENGINE_STEP_DOWN:
        ck_abort_msg("the only leader has stepped down: %s", action->reason);
        break;
    case MS_ENGINE_WITHDRAW: /* no call waits to be sent */
    case MS_ENGINE_QUERY_ADVICE:
        break;
    }
    ms_engine_action_free(action);
}

static void
process_calls(struct fixture *fixture)
{
    for (struct call *call = fixture->calls; call < fixture->calls + CALLS_MAX; call++) {
        if (call->action != NULL && !call->has_arrived && fixture->now >= call->arrives_at) {
            arrive(fixture, call);
        }
        if (call->action != NULL && !call->is_answered && fixture->now >= call->answers_at) {
            answer(fixture, call);
        }
        if (call->has_arrived && call->is_answered) {
            ms_engine_action_free(call->action);
            memset(call, 0, sizeof(*call));
        }
    }
}

static void
end_runs(struct fixture *fixture, struct server *server)
{
    for (size_t i = server->run_count; i-- > 0;) {
        if (fixture->now >= server->lease_end) {
            end_run(server, i, MS_RUN_END_LEASE_EXPIRED);
        }
        else if (fixture->now >= server->runs[i].ends_at) {
            end_run(server, i, MS_RUN_END_DONE);
        }
    }
}

static void
take_over(struct fixture *fixture)
{
    ms_engine_free(fixture->engine);
    create_engine(fixture);
    add_job(fixture, 0);
    add_job(fixture, 1);
}

static void
run(struct fixture *fixture, int64_t until)
{
    for (; fixture->now < until; fixture->now += STEP_MS) {
        struct ms_engine_action *action = NULL;
        process_calls(fixture);
        for (size_t i = 0; i < SERVER_COUNT; i++) {
            end_runs(fixture, &fixture->servers[i]);
        }
        ms_engine_tick(fixture->engine, fixture->now, fixture->now);
        while ((action = ms_engine_pop_action(fixture->engine)) != NULL) {
            carry_out(fixture, action);
        }
    }
}

static void
play(const struct scenario *scenario, bool *orders_met)
{
    struct fixture fixture;
    fixture_init(&fixture, scenario, orders_met);
    run(&fixture, fixture.disturbed_at + scenario->job_at);
    add_job(&fixture, 1);
    if (scenario->takeover_after != 0) {
        run(&fixture, fixture.now + scenario->takeover_after);
        take_over(&fixture);
    }
    run(&fixture, fixture.disturbed_at + QUIET_MS);
    if (!fixture.job_done) {
        run(&fixture,
            fixture.disturbed_at + (scenario->drains ? DRAINED_SCENARIO_MS : SCENARIO_MS));
    }
    if (fixture.runs_at_once > 1 || !fixture.job_done) {
        ck_abort_msg("runs at once: %zu, done: %d; gang %d closed %d drains %d next_copy %d "
                     "disturbed_ms %d start_out %d "
                     "renewal_out %d renewal_back %d job_at %d takeover_after %d",
                     fixture.runs_at_once, fixture.job_done, scenario->gang, scenario->closed,
                     scenario->drains, scenario->next_copy, (int)scenario->disturbed_ms,
                     (int)scenario->start_out, (int)scenario->renewal_out,
                     (int)scenario->renewal_back, (int)scenario->job_at,
                     (int)scenario->takeover_after);
    }
    fixture_clear(&fixture);
}

/* Plays all delays of the calls with the rest of SCENARIO as it is. */
static void
play_all_delays(struct scenario scenario, bool *orders_met)
{
    static const int64_t start_delays[] = {0, 200, 900, 1400, 2500};
    static const int64_t renewal_delays[] = {0, 100, 700};
    static const int64_t job_times[] = {0, 150, 400};
    for (size_t s = 0; s < G_N_ELEMENTS(start_delays); s++) {
        for (size_t r = 0; r < 9; r++) {
            for (size_t j = 0; j < G_N_ELEMENTS(job_times); j++) {
                scenario.start_out = start_delays[s];
                scenario.renewal_out = renewal_delays[r / 3];
                scenario.renewal_back = renewal_delays[r % 3];
                scenario.job_at = job_times[j];
                play(&scenario, orders_met);
            }
        }
    }
}

/* Plays all scenarios of a task or a GANG, with a takeover AFTER its job was added (0: none). */
static void
play_all(bool gang, int64_t after)
{
    bool orders_met[EVENT_ORDERS] = {false};
    for (int i = 0; i < 8 * NEXT_COPY_COUNT; i++) {
        struct scenario scenario = {.gang = gang,
                                    .closed = i % 2,
                                    .drains = i / 2 % 2,
                                    .disturbed_ms = i / 4 % 2 == 0 ? 4000 : 1500,
                                    .next_copy = (enum next_copy)(i / 8),
                                    .takeover_after = after};
        play_all_delays(scenario, orders_met);
    }
    /* The reports to a later leader are made after its predecessor has sent the start. */
    for (size_t i = after == 0 ? 0 : MADE_AFTER_SENT; i < EVENT_ORDERS; i++) {
        ck_assert_msg(orders_met[i], "order %zu of the events was not played", i);
    }
}

/* A report that was made before the start was carried out must not tell that the run is gone. */
START_TEST(run_whose_start_had_no_answer_is_not_taken_for_absent)
{
    play_all(false, 0);
}
END_TEST

/* The same for a gang: one member whose start had no answer, the other one was started. */
START_TEST(gang_whose_start_had_no_answer_is_not_taken_for_absent)
{
    play_all(true, 0);
}
END_TEST

/* The next leader asks the servers: a start of its predecessor may still arrive meanwhile. */
START_TEST(run_whose_start_had_no_answer_survives_a_takeover)
{
    static const int64_t times[] = {100, 700, 2000};
    play_all(_i % 2 != 0, times[_i / 2]);
}
END_TEST

TCase *
lost_answer_cases(void)
{
    TCase *cases = tcase_create("lost answer");
    tcase_set_timeout(cases, 60);
    tcase_add_test(cases, run_whose_start_had_no_answer_is_not_taken_for_absent);
    tcase_add_test(cases, gang_whose_start_had_no_answer_is_not_taken_for_absent);
    tcase_add_loop_test(cases, run_whose_start_had_no_answer_survives_a_takeover, 0, 6);
    return cases;
}
