/*
 * leader_cost.c - processor time that the engine of the leader needs in a large deployment.
 *
 * usage: bench-leader [SEED [SECONDS [SERVERS [LOAD [SEND_US [fifo]]]]]]
 *
 * Runs the engine alone, in simulated time and without a network: each order and each renewal
 * gets its answer after NETWORK_MS.  The load is that of docs/design/hard-load.md, in
 * proportion to SERVERS (3,000 if left out), with run times of LOAD percent (120).  In the middle
 * of SECONDS (120) the leader is lost; a new engine restores the stored states LEADER_GAP_MS later.
 *
 * With SEND_US, each order and each renewal takes the sender that many microseconds, and the first
 * one to a server after a loss of the leader OPEN_FACTOR times as long.  They are sent as
 * src/entry/order_sender.c does it: stops, then starts, then renewals; with "fifo", in the order
 * in which they were queued.  One start in 1,000 meets a server that is out of reach for a while.
 * Then gang_wait_max_ms is the longest time that a gang with a running member waited for the
 * others, and gangs_alone the number that waited for longer than GANG_TIMEOUT_MS.
 *
 * Prints key=value lines.  phase=steady is before the loss (without the first WARM_UP_MS),
 * phase=takeover the first TAKEOVER_MS of the new engine, phase=after the rest.  cpu_ms_per_s is
 * processor time per simulated second; 10 are 1 % of a core.  The hashes cover all actions in
 * their order: two builds that decide alike print the same ones.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "batch/engine.h"
#include "batch/job_table.h"

#define NETWORK_MS 2
#define LOG_STORE_MS 6
#define STOP_MS 60 /* time that a server takes to stop a run */
#define LEASE_MS 9000
#define GANG_START_MS 2800
#define GANG_TIMEOUT_MS 4000
#define OPEN_FACTOR 4
#define UNREACHABLE_PERMILLE 1 /* of the starts, with SEND_US: its server does not get it */
#define UNREACHABLE_MS 4500    /* nor anything else for this time */
#define NO_ANSWER_MS 500       /* after which the engine learns of that */
#define WARM_UP_MS 20000
#define LEADER_GAP_MS 3000
#define TAKEOVER_MS 10000
#define SERVERS_PER_RACK 8
#define REFERENCE_SERVERS 3000 /* to which the job rates below belong */
#define SLOTS 262144           /* of the calendar, 1 ms each: longer than any run */
#define SLOW_TASK_PERMILLE 30
#define SLOW_TASK_FACTOR 7
#define MEMORY_MB 256000
#define SAMPLE_MS 100
#define NS_PER_MS 1000000.0

/* What the engine does; processor time is counted for each. */
enum duty {
    DUTY_PLACEMENT = 0,
    DUTY_SCAN,
    DUTY_RENEWAL_ANSWER,
    DUTY_ORDER_ANSWER,
    DUTY_STORE,
    DUTY_STORED,
    DUTY_NEXT_TICK,
    DUTY_JOBS,
    DUTY_RESTORE,
    DUTY_COUNT
};

static const char *const duty_names[DUTY_COUNT] = {
    "placement", "scan",      "renewal_answer", "order_answer", "store",
    "stored",    "next_tick", "jobs",           "restore",
};

enum phase { PHASE_WARM_UP = 0, PHASE_STEADY, PHASE_TAKEOVER, PHASE_AFTER, PHASE_COUNT };

static const char *const phase_names[PHASE_COUNT] = {"warm_up", "steady", "takeover", "after"};

struct totals {
    int64_t duration_ms;
    int64_t cpu_ns[DUTY_COUNT];
    int64_t longest_ns[DUTY_COUNT];
    uint64_t calls[DUTY_COUNT];
    uint64_t renewals;
    uint64_t starts;
    uint64_t stops;
    uint64_t log_lines;
    uint64_t units_waiting; /* sum over all samples */
    uint64_t samples;
};

/* A run of a gang whose members have not all started. */
struct gang_start {
    uint32_t missing;
    int64_t first_at;
    bool alone; /* counted: a member waited for longer than GANG_TIMEOUT_MS */
};

struct fake_server {
    struct ms_directory_entry entry;
    GArray *runs;                     /* struct fake_run */
    GArray *ended;                    /* struct ms_reported_end */
    struct ms_engine_action *renewal; /* that waits for a run to end, or NULL */
    int64_t renewal_sent_at;
    uint64_t last_position;
    uint64_t last_serial;    /* of its runs and renewals */
    uint64_t renewal_serial; /* of `renewal` */
    bool connected;          /* the leader has a connection to it */
    int64_t unreachable_until;
};

struct fake_run {
    char task[MS_TASK_NAME_MAX];
    uint32_t run;
    uint64_t serial;
    int64_t started_at;
    int64_t ends_at;
    bool stopping;
    const struct gang_start *gang; /* of the members started with it, or NULL */
};

enum event_kind { EVENT_ARRIVES = 0, EVENT_ANSWER, EVENT_POLL_ENDS, EVENT_RUN_ENDS, EVENT_STORED };

struct event {
    enum event_kind kind;
    struct ms_engine_action *action; /* owned */
    struct ms_server_report *report;
    enum ms_order_result result;
    int64_t sent_at;
    struct fake_server *server;
    uint64_t serial; /* of the run that ends, or of the renewal whose wait ends */
    uint64_t epoch;
};

struct bench {
    int64_t now;
    uint64_t random_state;
    struct ms_engine *engine;
    uint64_t epoch;
    struct ms_job_table *table;
    struct ms_policy policy;
    struct fake_server *servers;
    size_t server_count;
    GHashTable *servers_by_id;
    GHashTable *gang_durations; /* "JOB/RUN" -> run time of all members */
    GPtrArray **slots;          /* calendar of events */
    int64_t load_percent;
    int64_t send_us;         /* 0: everything is sent at once */
    bool fifo;               /* orders and renewals are sent in the order of their queueing */
    GQueue *unsent[3];       /* struct event: stops, starts, renewals; all in the first if `fifo` */
    int64_t sender_us_left;  /* processor time that the sender has at `now` */
    GHashTable *gang_starts; /* "JOB/RUN" -> struct gang_start */
    int64_t gang_wait_max_ms;
    uint32_t gangs_alone;
    uint32_t job_count;
    double due[3]; /* jobs owed of each kind */
    enum phase phase;
    struct totals totals[PHASE_COUNT];
    uint64_t action_hash;
};

static struct bench bench;

static uint32_t
random_below(uint32_t below)
{
    bench.random_state ^= bench.random_state << 13;
    bench.random_state ^= bench.random_state >> 7;
    bench.random_state ^= bench.random_state << 17;
    return (uint32_t)((bench.random_state >> 16) % below);
}

static int64_t
cpu_ns(void)
{
    struct timespec time;
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return (int64_t)time.tv_sec * 1000000000 + time.tv_nsec;
}

/* Counts the time since FROM for DUTY; returns it. */
static int64_t
count_time(enum duty duty, int64_t from)
{
    int64_t spent = cpu_ns() - from;
    struct totals *totals = &bench.totals[bench.phase];
    totals->cpu_ns[duty] += spent;
    totals->longest_ns[duty] = MAX(totals->longest_ns[duty], spent);
    totals->calls[duty]++;
    return spent;
}

/* The linker redirects the engine's calls to these two (-Wl,--wrap in the Makefile). */
void __real_ms_engine_run_placement(struct ms_engine *engine);
void __wrap_ms_engine_run_placement(struct ms_engine *engine);
void __real_ms_engine_store_dirty_jobs(struct ms_engine *engine);
void __wrap_ms_engine_store_dirty_jobs(struct ms_engine *engine);

static int64_t inner_ns; /* time that the wrapped functions took in the current tick */

void
__wrap_ms_engine_run_placement(struct ms_engine *engine)
{
    int64_t from = cpu_ns();
    __real_ms_engine_run_placement(engine);
    inner_ns += count_time(DUTY_PLACEMENT, from);
}

void
__wrap_ms_engine_store_dirty_jobs(struct ms_engine *engine)
{
    int64_t from = cpu_ns();
    __real_ms_engine_store_dirty_jobs(engine);
    inner_ns += count_time(DUTY_STORE, from);
}

static struct event *
schedule(int64_t at, enum event_kind kind)
{
    struct event *event = g_new0(struct event, 1);
    size_t slot = (size_t)(MAX(at, bench.now + 1) % SLOTS);
    event->kind = kind;
    event->epoch = bench.epoch;
    if (bench.slots[slot] == NULL) {
        bench.slots[slot] = g_ptr_array_new();
    }
    g_ptr_array_add(bench.slots[slot], event);
    return event;
}

static int64_t
server_clock(void)
{
    return bench.now + 1000000;
}

static struct ms_server_report *
make_report(const struct fake_server *server)
{
    struct ms_server_report *report = g_new0(struct ms_server_report, 1);
    report->start_unix_ms = server->entry.start_unix_ms;
    report->clock_ms = server_clock();
    report->running = g_new0(struct ms_reported_run, server->runs->len + 1);
    report->ended = g_new0(struct ms_reported_end, server->ended->len + 1);
    for (guint i = 0; i < server->runs->len; i++) {
        const struct fake_run *run = &g_array_index(server->runs, struct fake_run, i);
        struct ms_reported_run *row = &report->running[report->running_count++];
        g_strlcpy(row->task, run->task, sizeof(row->task));
        row->run = run->run;
        if (run->gang != NULL && run->gang->missing > 0) {
            continue; /* no progress before all members run */
        }
        row->percent = (uint32_t)(100 * (bench.now - run->started_at) /
                                  MAX(run->ends_at - run->started_at, 1));
    }
    for (guint i = 0; i < server->ended->len; i++) {
        report->ended[report->ended_count++] =
            g_array_index(server->ended, struct ms_reported_end, i);
    }
    return report;
}

static void
answer_renewal(struct fake_server *server, struct ms_engine_action *renewal, int64_t sent_at)
{
    struct event *event = schedule(bench.now + NETWORK_MS, EVENT_ANSWER);
    event->action = renewal;
    event->report = make_report(server);
    event->sent_at = sent_at;
}

/* Answers the renewal that waits at SERVER, if any. */
static void
end_poll(struct fake_server *server)
{
    if (server->renewal != NULL) {
        answer_renewal(server, server->renewal, server->renewal_sent_at);
        server->renewal = NULL;
    }
}

static void
end_run(struct fake_server *server, uint64_t serial)
{
    for (guint i = 0; i < server->runs->len; i++) {
        const struct fake_run *run = &g_array_index(server->runs, struct fake_run, i);
        if (run->serial != serial) {
            continue;
        }
        struct ms_reported_end end = {.position = ++server->last_position, .run = run->run};
        end.end = run->stopping ? MS_RUN_END_STOPPED : MS_RUN_END_DONE;
        g_strlcpy(end.task, run->task, sizeof(end.task));
        g_array_append_val(server->ended, end);
        g_array_remove_index_fast(server->runs, i);
        end_poll(server);
        return;
    }
}

/* The run time of the task, which is the same for all members of a gang. */
static int64_t
run_time(const char *task, uint32_t run)
{
    char id[MS_JOB_ID_MAX];
    uint32_t occurrence = 0;
    uint32_t step = 0;
    uint32_t index = 0;
    ms_task_name_parse(task, id, &occurrence, &step, &index);
    const struct ms_stored_job *job = ms_job_table_find(bench.table, id);
    const struct ms_step *spec = &job->spec.steps[step];
    char *key = g_strdup_printf("%s/%u", id, run);
    int64_t *known = spec->gang ? g_hash_table_lookup(bench.gang_durations, key) : NULL;
    if (known != NULL) {
        g_free(key);
        return *known;
    }
    /* Speeds of 0.8, 1 and 1.25 of the normal one. */
    static const double factors[] = {1.25, 1, 0.8};
    double base = (double)spec->estimate_ms * (double)bench.load_percent / 100.0 *
                  factors[random_below(G_N_ELEMENTS(factors))];
    if (random_below(1000) < SLOW_TASK_PERMILLE) {
        base *= SLOW_TASK_FACTOR;
    }
    int64_t duration = (int64_t)base + (int64_t)random_below(200);
    if (spec->gang) {
        int64_t *value = g_new(int64_t, 1);
        *value = duration;
        g_hash_table_insert(bench.gang_durations, key, value);
    }
    else {
        g_free(key);
    }
    return duration;
}

/* A member of the gang START, or all of them, have waited until now. */
static void
note_gang_wait(struct gang_start *start)
{
    int64_t wait_ms = bench.now - start->first_at;
    bench.gang_wait_max_ms = MAX(bench.gang_wait_max_ms, wait_ms);
    if (wait_ms > GANG_TIMEOUT_MS && !start->alone) {
        start->alone = true;
        bench.gangs_alone++;
    }
}

/* A member of the gang of TASK, if it is one, has started or, if STOPPED, is stopped. */
static const struct gang_start *
note_gang_member(const char *task, uint32_t run, bool stopped)
{
    char id[MS_JOB_ID_MAX];
    uint32_t occurrence = 0;
    uint32_t step = 0;
    uint32_t index = 0;
    ms_task_name_parse(task, id, &occurrence, &step, &index);
    const struct ms_stored_job *job = ms_job_table_find(bench.table, id);
    if (job == NULL || !job->spec.steps[step].gang) {
        return NULL;
    }
    char *key = g_strdup_printf("%s/%u", id, run);
    struct gang_start *start = g_hash_table_lookup(bench.gang_starts, key);
    if (start == NULL) {
        start = g_new0(struct gang_start, 1);
        start->missing = job->spec.steps[step].task_count;
        start->first_at = bench.now;
        g_hash_table_insert(bench.gang_starts, g_strdup(key), start);
    }
    bool incomplete = start->missing > 0;
    start->missing -= !stopped && incomplete;
    if (incomplete && (stopped || start->missing == 0)) {
        note_gang_wait(start);
    }
    g_free(key);
    return start;
}

static void
start_run(struct fake_server *server, const struct ms_engine_action *order)
{
    struct fake_run run = {.gang = note_gang_member(order->task, order->run, false),
                           .run = order->run,
                           .serial = ++server->last_serial};
    g_strlcpy(run.task, order->task, sizeof(run.task));
    run.started_at = bench.now;
    run.ends_at = bench.now + run_time(order->task, order->run);
    g_array_append_val(server->runs, run);
    struct event *event = schedule(run.ends_at, EVENT_RUN_ENDS);
    event->server = server;
    event->serial = run.serial;
}

static void
stop_run(struct fake_server *server, const struct ms_engine_action *order)
{
    for (guint i = 0; i < server->runs->len; i++) {
        struct fake_run *run = &g_array_index(server->runs, struct fake_run, i);
        if (run->run == order->run && strcmp(run->task, order->task) == 0 && !run->stopping) {
            run->stopping = true;
            note_gang_member(order->task, order->run, true);
            struct event *event = schedule(bench.now + STOP_MS, EVENT_RUN_ENDS);
            event->server = server;
            event->serial = run->serial;
        }
    }
}

/* ACTION, sent at SENT_AT, arrives at its server. */
static void
carry_out(struct ms_engine_action *action, int64_t sent_at)
{
    struct fake_server *server = g_hash_table_lookup(bench.servers_by_id, action->server);
    if (bench.send_us > 0 && action->kind == MS_ENGINE_START &&
        random_below(1000) < UNREACHABLE_PERMILLE) {
        server->unreachable_until = bench.now + UNREACHABLE_MS;
    }
    if (bench.now < server->unreachable_until) {
        struct event *event = schedule(bench.now + NO_ANSWER_MS, EVENT_ANSWER);
        event->action = action;
        event->sent_at = sent_at;
        event->result = MS_ORDER_NO_ANSWER;
        return;
    }
    if (action->kind != MS_ENGINE_RENEW_LEASE) {
        if (action->kind == MS_ENGINE_START) {
            start_run(server, action);
        }
        else {
            stop_run(server, action);
        }
        struct event *event = schedule(bench.now + NETWORK_MS, EVENT_ANSWER);
        event->action = action;
        event->sent_at = sent_at;
        return;
    }
    while (server->ended->len > 0 &&
           g_array_index(server->ended, struct ms_reported_end, 0).position <=
               action->ack_position) {
        g_array_remove_index(server->ended, 0);
    }
    end_poll(server);
    if (action->long_poll_ms > 0 && server->ended->len == 0) {
        server->renewal = action;
        server->renewal_sent_at = sent_at;
        struct event *event = schedule(bench.now + action->long_poll_ms, EVENT_POLL_ENDS);
        event->server = server;
        event->serial = server->renewal_serial = ++server->last_serial;
        return;
    }
    answer_renewal(server, action, sent_at);
}

static void
count_log_line(void *opaque, const char *text)
{
    (void)opaque;
    (void)text;
    bench.totals[bench.phase].log_lines++;
}

static void
hash_bytes(const void *bytes, size_t length)
{
    const uint8_t *data = bytes;
    for (size_t i = 0; i < length; i++) {
        bench.action_hash = (bench.action_hash ^ data[i]) * 0x100000001b3u;
    }
}

static void
hash_action(const struct ms_engine_action *action)
{
    hash_bytes(&bench.now, sizeof(bench.now));
    hash_bytes(&action->kind, sizeof(action->kind));
    hash_bytes(action->server, strlen(action->server));
    hash_bytes(action->task, strlen(action->task));
    hash_bytes(&action->run, sizeof(action->run));
    hash_bytes(&action->deadline_ms, sizeof(action->deadline_ms));
    hash_bytes(&action->ack_position, sizeof(action->ack_position));
    hash_bytes(&action->long_poll_ms, sizeof(action->long_poll_ms));
    for (guint i = 0; action->records != NULL && i < action->records->len; i++) {
        const struct ms_store_record *record = g_ptr_array_index(action->records, i);
        gsize length = 0;
        const void *data = record->value != NULL ? g_bytes_get_data(record->value, &length) : "";
        hash_bytes(record->key, strlen(record->key));
        hash_bytes(data, length);
    }
}

static void
store_records(const struct ms_engine_action *action)
{
    for (guint i = 0; i < action->records->len; i++) {
        const struct ms_store_record *record = g_ptr_array_index(action->records, i);
        gsize length = 0;
        const void *data = record->value != NULL ? g_bytes_get_data(record->value, &length) : "";
        struct ms_stored_job *job = NULL;
        ms_job_table_apply(bench.table, record->key, data, length, &job);
    }
}

/* Sends ACTION now. */
static void
send_action(struct ms_engine_action *action)
{
    struct event *event = schedule(bench.now + NETWORK_MS, EVENT_ARRIVES);
    event->action = action;
    event->sent_at = bench.now;
}

/* Answers the start that WITHDRAWAL names if the sender has not sent it; frees WITHDRAWAL. */
static void
withdraw_start(struct ms_engine_action *withdrawal)
{
    GQueue *unsent = bench.unsent[bench.fifo ? 0 : 1];
    for (GList *item = unsent->head; item != NULL; item = item->next) {
        struct ms_engine_action *order = item->data;
        if (order->kind == MS_ENGINE_START && order->run == withdrawal->run &&
            strcmp(order->task, withdrawal->task) == 0) {
            struct event *event = schedule(bench.now, EVENT_ANSWER);
            event->action = order;
            event->sent_at = bench.now;
            event->result = MS_ORDER_WITHDRAWN;
            g_queue_delete_link(unsent, item);
            break;
        }
    }
    ms_engine_action_free(withdrawal);
}

/* Queues ACTION for the sender. */
static void
queue_action(struct ms_engine_action *action)
{
    size_t queue = action->kind == MS_ENGINE_STOP ? 0 : action->kind == MS_ENGINE_START ? 1 : 2;
    if (bench.send_us == 0) {
        send_action(action);
        return;
    }
    g_queue_push_tail(bench.unsent[bench.fifo ? 0 : queue], action);
}

/* Sends what the sender manages in one millisecond. */
static void
run_sender(void)
{
    bench.sender_us_left = MIN(bench.sender_us_left + 1000, 1000);
    while (bench.send_us > 0 && bench.sender_us_left > 0) {
        struct ms_engine_action *action = NULL;
        for (size_t i = 0; i < G_N_ELEMENTS(bench.unsent) && action == NULL; i++) {
            action = g_queue_pop_head(bench.unsent[i]);
        }
        if (action == NULL) {
            return;
        }
        if (action->epoch < bench.epoch || bench.engine == NULL) {
            ms_engine_action_free(action);
            continue;
        }
        struct fake_server *server = g_hash_table_lookup(bench.servers_by_id, action->server);
        bench.sender_us_left -= bench.send_us * (server->connected ? 1 : OPEN_FACTOR);
        server->connected = true;
        send_action(action);
    }
}

static void
run_actions(void)
{
    struct ms_engine_action *action = NULL;
    struct totals *totals = &bench.totals[bench.phase];
    while ((action = ms_engine_pop_action(bench.engine)) != NULL) {
        hash_action(action);
        totals->renewals += action->kind == MS_ENGINE_RENEW_LEASE;
        totals->starts += action->kind == MS_ENGINE_START;
        totals->stops += action->kind == MS_ENGINE_STOP;
        if (action->kind == MS_ENGINE_STORE) {
            schedule(bench.now + LOG_STORE_MS, EVENT_STORED)->action = action;
        }
        else if (action->kind == MS_ENGINE_STEP_DOWN) {
            fprintf(stderr, "the engine stepped down: %s\n", action->reason);
            exit(EXIT_FAILURE);
        }
        else if (action->kind == MS_ENGINE_WITHDRAW) {
            withdraw_start(action);
        }
        else {
            queue_action(action);
        }
    }
}

/* Passes the answer in EVENT to the engine. */
static void
answer(const struct event *event)
{
    const struct ms_engine_action *action = event->action;
    bool is_renewal = action->kind == MS_ENGINE_RENEW_LEASE;
    int64_t from = cpu_ns();
    if (bench.engine == NULL) {
        return;
    }
    if (is_renewal) {
        ms_engine_on_renewal_answer(bench.engine, action, event->result, event->report,
                                    event->sent_at, bench.now);
    }
    else {
        ms_engine_on_order_answer(bench.engine, action, event->result, server_clock(), bench.now);
    }
    count_time(is_renewal ? DUTY_RENEWAL_ANSWER : DUTY_ORDER_ANSWER, from);
}

static void
handle_event(struct event *event)
{
    switch (event->kind) {
    case EVENT_ARRIVES:
        carry_out(event->action, event->sent_at);
        break;
    case EVENT_ANSWER:
        answer(event);
        ms_server_report_free(event->report);
        ms_engine_action_free(event->action);
        break;
    case EVENT_POLL_ENDS:
        if (event->server->renewal != NULL && event->server->renewal_serial == event->serial) {
            end_poll(event->server);
        }
        break;
    case EVENT_RUN_ENDS:
        end_run(event->server, event->serial);
        break;
    case EVENT_STORED:
        store_records(event->action);
        ms_engine_action_free(event->action);
        if (bench.engine != NULL && event->epoch == bench.epoch) {
            int64_t from = cpu_ns();
            ms_engine_on_stored(bench.engine, bench.now);
            count_time(DUTY_STORED, from);
        }
        break;
    }
    g_free(event);
}

/* Handles the events that are due now; returns whether there were any. */
static bool
handle_events(void)
{
    GPtrArray *events = bench.slots[bench.now % SLOTS];
    bench.slots[bench.now % SLOTS] = NULL;
    for (guint i = 0; events != NULL && i < events->len; i++) {
        handle_event(g_ptr_array_index(events, i));
    }
    if (events == NULL) {
        return false;
    }
    g_ptr_array_unref(events);
    return true;
}

/* One kind of job; RATE is the number submitted in a second. */
struct job_kind {
    double rate;
    const char *queue;
    const char *account;
    uint32_t tasks;
    bool gang;
    int64_t run_ms;
    struct ms_resources resources;
};

static const struct job_kind job_kinds[] = {
    {15, "q1", "training", 13, true, 8500, {52000, 140000, 1}},
    {65, "q0", "urgent", 5, true, 2500, {15000, 30000, 1}},
    {12, "q2", "archive", 39, false, 9500, {12000, 20000, 1}},
};

static void
submit_job(const struct job_kind *kind)
{
    char key[MS_KEYED_LOG_KEY_MAX];
    struct ms_batch_spec spec = {.step_count = 1, .accepted_ms = bench.now};
    struct ms_stored_job *job = NULL;
    size_t length = 0;
    snprintf(spec.id, sizeof(spec.id), "j-%08x-%04x-%u", bench.job_count * 2654435761u,
             random_below(65536), bench.job_count);
    bench.job_count++;
    g_strlcpy(spec.queue, kind->queue, sizeof(spec.queue));
    g_strlcpy(spec.account, kind->account, sizeof(spec.account));
    spec.payload = g_strdup("{\"image\":\"trainer\",\"args\":[\"--seed\",\"1\"]}");
    spec.steps = g_new0(struct ms_step, 1);
    spec.steps[0].task_count = kind->tasks;
    spec.steps[0].gang = kind->gang;
    spec.steps[0].estimate_ms = kind->run_ms;
    spec.steps[0].task_resources = kind->resources;
    uint8_t *bytes = ms_batch_spec_pack(&spec, &length);
    snprintf(key, sizeof(key), "%s%s", MS_KEY_JOB, spec.id);
    ms_job_table_apply(bench.table, key, bytes, length, &job);
    job->accepted_read_at = bench.now;
    if (bench.engine != NULL) {
        int64_t from = cpu_ns();
        ms_engine_add_job(bench.engine, job, bench.now);
        count_time(DUTY_JOBS, from);
    }
    g_free(bytes);
    ms_batch_spec_clear(&spec);
}

/* Submits the jobs that are due; returns whether there were any. */
static bool
submit_jobs(void)
{
    bool any = false;
    for (size_t i = 0; i < G_N_ELEMENTS(job_kinds); i++) {
        bench.due[i] += job_kinds[i].rate * (double)bench.server_count / REFERENCE_SERVERS / 1000.0;
        for (; bench.due[i] >= 1; bench.due[i]--) {
            submit_job(&job_kinds[i]);
            any = true;
        }
    }
    return any;
}

static void
make_servers(size_t count)
{
    bench.server_count = count;
    bench.servers = g_new0(struct fake_server, count);
    bench.servers_by_id = g_hash_table_new(g_str_hash, g_str_equal);
    for (size_t i = 0; i < count; i++) {
        struct ms_directory_entry *entry = &bench.servers[i].entry;
        snprintf(entry->id, sizeof(entry->id), "server-%04zu", i);
        snprintf(entry->address, sizeof(entry->address), "10.1.%zu.%zu:8100", i / 250, i % 250);
        snprintf(entry->dc, sizeof(entry->dc), "dc-%zu", i * 6 / count);
        snprintf(entry->rack, sizeof(entry->rack), "rack-%03zu", i / SERVERS_PER_RACK);
        g_strlcpy(entry->service, "service", sizeof(entry->service));
        g_strlcpy(entry->labels[0], "kind", sizeof(entry->labels[0]));
        g_strlcpy(entry->labels[1], entry->rack, sizeof(entry->labels[1]));
        entry->label_count = 2;
        entry->capacity = (struct ms_resources){64000, MEMORY_MB, 8};
        entry->start_unix_ms = 1000 + (int64_t)i;
        bench.servers[i].runs = g_array_new(FALSE, TRUE, sizeof(struct fake_run));
        bench.servers[i].ended = g_array_new(FALSE, TRUE, sizeof(struct ms_reported_end));
        g_hash_table_insert(bench.servers_by_id, entry->id, &bench.servers[i]);
    }
}

static void
make_policy(void)
{
    bench.policy.version = 1;
    bench.policy.queue_count = 3;
    bench.policy.queues = g_new0(struct ms_queue_rule, 3);
    for (uint32_t i = 0; i < 3; i++) {
        struct ms_queue_rule *queue = &bench.policy.queues[i];
        snprintf(queue->name, sizeof(queue->name), "q%u", i);
        g_strlcpy(queue->service, "service", sizeof(queue->service));
        queue->priority = i;
        queue->failures_max = 3;
        queue->stretch = 3.0;
        queue->target_ms = 1000;
    }
    bench.policy.account_count = 3;
    bench.policy.accounts = g_new0(struct ms_account_rule, 3);
    g_strlcpy(bench.policy.accounts[0].name, "urgent", MS_NAME_MAX);
    bench.policy.accounts[0].guaranteed_accels = (int64_t)(264 * bench.server_count / 350);
    g_strlcpy(bench.policy.accounts[1].name, "training", MS_NAME_MAX);
    g_strlcpy(bench.policy.accounts[2].name, "archive", MS_NAME_MAX);
}

/* Starts the engine of a new leader. */
static void
start_engine(void)
{
    struct ms_engine_limits limits;
    GHashTableIter iterator;
    gpointer job = NULL;
    ms_engine_limits_defaults(&limits);
    limits.lease_ms = LEASE_MS;
    limits.gang_start_ms = GANG_START_MS;
    int64_t from = cpu_ns();
    bench.epoch++;
    bench.engine =
        ms_engine_new(&limits, bench.epoch, bench.epoch > 1 ? bench.now + LEASE_MS : 0, bench.now);
    ms_engine_set_log(bench.engine, count_log_line, NULL);
    ms_engine_set_policy(bench.engine, &bench.policy);
    ms_engine_begin_directory_snapshot(bench.engine);
    for (size_t i = 0; i < bench.server_count; i++) {
        bench.servers[i].connected = false;
        bench.servers[i].entry.clock_ms = server_clock();
        ms_engine_update_server(bench.engine, &bench.servers[i].entry, bench.now);
    }
    ms_engine_end_directory_snapshot(bench.engine, bench.now);
    g_hash_table_iter_init(&iterator, bench.table->jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &job)) {
        ms_engine_add_job(bench.engine, job, bench.now);
    }
    count_time(DUTY_RESTORE, from);
}

/* One step of the decision thread; returns when the next one is due. */
static int64_t
step_engine(void)
{
    int64_t from = cpu_ns();
    inner_ns = 0;
    ms_engine_tick(bench.engine, bench.now, bench.now + 1000000);
    struct totals *totals = &bench.totals[bench.phase];
    int64_t rest = cpu_ns() - from - inner_ns;
    totals->cpu_ns[DUTY_SCAN] += rest;
    totals->longest_ns[DUTY_SCAN] = MAX(totals->longest_ns[DUTY_SCAN], rest);
    totals->calls[DUTY_SCAN]++;
    run_actions();
    from = cpu_ns();
    int64_t next = ms_engine_next_tick(bench.engine);
    count_time(DUTY_NEXT_TICK, from);
    return next;
}

/* Runs until UNTIL, counting for PHASE. */
static void
run_until(enum phase phase, int64_t until)
{
    bench.phase = phase;
    struct totals *totals = &bench.totals[phase];
    int64_t next = 0;
    totals->duration_ms += until - bench.now;
    for (; bench.now < until; bench.now++) {
        run_sender();
        bool woken = handle_events();
        woken |= submit_jobs();
        if (bench.engine == NULL) {
            continue;
        }
        if (woken || bench.now >= next) {
            next = step_engine();
        }
        if (bench.now % SAMPLE_MS == 0) {
            struct ms_engine_stats stats;
            ms_engine_stats(bench.engine, &stats);
            totals->units_waiting += stats.units_waiting;
            totals->samples++;
        }
    }
}

static void
print_phase(enum phase phase)
{
    const struct totals *totals = &bench.totals[phase];
    double seconds = (double)totals->duration_ms / 1000.0;
    int64_t sum_ns = 0;
    for (int i = 0; i < DUTY_COUNT; i++) {
        sum_ns += totals->cpu_ns[i];
    }
    printf("phase=%s seconds=%.0f cpu_ms_per_s=%.1f renewals_per_s=%.0f starts_per_s=%.0f"
           " stops_per_s=%.1f log_lines_per_s=%.0f units_waiting=%.0f\n",
           phase_names[phase], seconds, (double)sum_ns / NS_PER_MS / seconds,
           (double)totals->renewals / seconds, (double)totals->starts / seconds,
           (double)totals->stops / seconds, (double)totals->log_lines / seconds,
           (double)totals->units_waiting / (double)totals->samples);
    for (int i = 0; i < DUTY_COUNT; i++) {
        printf("phase=%s duty=%s cpu_ms_per_s=%.2f calls_per_s=%.0f longest_ms=%.2f\n",
               phase_names[phase], duty_names[i], (double)totals->cpu_ns[i] / NS_PER_MS / seconds,
               (double)totals->calls[i] / seconds, (double)totals->longest_ns[i] / NS_PER_MS);
    }
}

/* Prints what the servers run, as a check that the load is the intended one. */
static void
print_load(const char *at)
{
    uint64_t runs = 0;
    for (size_t i = 0; i < bench.server_count; i++) {
        runs += bench.servers[i].runs->len;
    }
    printf("at=%s runs=%" G_GUINT64_FORMAT " jobs_stored=%u gang_wait_max_ms=%" G_GINT64_FORMAT
           " gangs_alone=%u actions_hash=%016" G_GINT64_MODIFIER "x\n",
           at, runs, g_hash_table_size(bench.table->jobs), bench.gang_wait_max_ms,
           bench.gangs_alone, bench.action_hash);
}

int
main(int argc, char **argv)
{
    uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
    int64_t seconds = argc > 2 ? strtoll(argv[2], NULL, 10) : 120;
    size_t servers = argc > 3 ? strtoull(argv[3], NULL, 10) : REFERENCE_SERVERS;
    bench.load_percent = argc > 4 ? strtoll(argv[4], NULL, 10) : 120;
    int64_t loss_at = seconds * 1000 / 2;
    if (servers == 0 || loss_at <= WARM_UP_MS + TAKEOVER_MS) {
        fprintf(
            stderr,
            "usage: bench-leader [SEED [SECONDS (over 60) [SERVERS [LOAD [SEND_US [fifo]]]]]]\n");
        return 2;
    }
    bench.random_state = seed * 0x9e3779b97f4a7c15u + 1;
    bench.slots = g_new0(GPtrArray *, SLOTS);
    bench.table = ms_job_table_new();
    bench.send_us = argc > 5 ? strtoll(argv[5], NULL, 10) : 0;
    bench.fifo = argc > 6;
    for (size_t i = 0; i < G_N_ELEMENTS(bench.unsent); i++) {
        bench.unsent[i] = g_queue_new();
    }
    bench.gang_starts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    bench.gang_durations = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    make_servers(servers);
    make_policy();
    start_engine();
    run_until(PHASE_WARM_UP, WARM_UP_MS);
    run_until(PHASE_STEADY, loss_at);
    print_load("loss");
    ms_engine_free(bench.engine);
    bench.engine = NULL;
    run_until(PHASE_STEADY, loss_at + LEADER_GAP_MS);
    bench.totals[PHASE_STEADY].duration_ms -= LEADER_GAP_MS;
    bench.phase = PHASE_TAKEOVER;
    start_engine();
    run_until(PHASE_TAKEOVER, bench.now + TAKEOVER_MS);
    run_until(PHASE_AFTER, seconds * 1000);
    print_load("end");
    print_phase(PHASE_STEADY);
    print_phase(PHASE_TAKEOVER);
    print_phase(PHASE_AFTER);
    return EXIT_SUCCESS;
}
