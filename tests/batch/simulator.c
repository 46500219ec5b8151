/*
 * simulator.c - clock, events and the log of the simulator.
 */
#include <stdio.h>
#include <string.h>

#include "batch/simulator_private.h"

#define NETWORK_LATENCY_MS 2
#define LOG_STORE_MS 6        /* time that the log takes to store records */
#define ORDER_TIMEOUT_MS 1000 /* after which the engine is told that there is no answer */
#define FAULT_INTERVAL_MS 100
#define SERVER_ACCELS 8
#define SERVER_CPU_MILLIS 64000
#define SERVER_MEMORY_MB 256000
#define LEASE_MAX_MS 10000 /* longest lease that a server grants */
#define UPTIME_MS 1000000  /* of each server at the start */

uint32_t
simulator_random(uint64_t *state, uint32_t below)
{
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    return (uint32_t)((*state >> 16) % below);
}

static struct ms_policy *
make_policy(void)
{
    struct ms_policy *policy = g_new0(struct ms_policy, 1);
    policy->version = 1;
    policy->queue_count = 3;
    policy->queues = g_new0(struct ms_queue_rule, 3);
    for (uint32_t i = 0; i < 3; i++) {
        struct ms_queue_rule *queue = &policy->queues[i];
        snprintf(queue->name, sizeof(queue->name), "q%u", i);
        g_strlcpy(queue->service, "service", sizeof(queue->service));
        queue->priority = i;
        queue->failures_max = TASK_FAILURES_MAX;
        queue->stretch = 3.0;
        queue->target_ms = 1000;
    }
    policy->account_count = 2;
    policy->accounts = g_new0(struct ms_account_rule, 2);
    g_strlcpy(policy->accounts[0].name, "account", sizeof(policy->accounts[0].name));
    policy->accounts[0].guaranteed_accels = 16;
    policy->accounts[0].keys = g_new0(char *, 1);
    g_strlcpy(policy->accounts[1].name, "other", sizeof(policy->accounts[1].name));
    policy->accounts[1].keys = g_new0(char *, 1);
    return policy;
}

static void
init_server(struct simulator *simulator, size_t index)
{
    struct simulated_server *server = &simulator->servers[index];
    struct ms_directory_entry *entry = &server->entry;
    snprintf(entry->id, sizeof(entry->id), "server-%zu", index);
    g_strlcpy(entry->address, "1.2.3.4:5", sizeof(entry->address));
    g_strlcpy(entry->dc, index % 2 == 0 ? "dc-a" : "dc-b", sizeof(entry->dc));
    g_strlcpy(entry->service, "service", sizeof(entry->service));
    snprintf(entry->rack, sizeof(entry->rack), "rack-%zu", index / 4);
    g_strlcpy(entry->labels[0], "kind", sizeof(entry->labels[0]));
    g_strlcpy(entry->labels[1], entry->rack, sizeof(entry->labels[1]));
    entry->label_count = 2;
    entry->capacity = (struct ms_resources){SERVER_CPU_MILLIS, SERVER_MEMORY_MB, SERVER_ACCELS};
    entry->start_unix_ms = 1000 + (int64_t)index;
    server->clock_started_at = -UPTIME_MS;
    server->runs = g_array_new(FALSE, TRUE, sizeof(struct run));
    server->ended = g_array_new(FALSE, TRUE, sizeof(struct ms_reported_end));
    server->closed_runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static void
trace_engine_event(void *opaque, const char *text)
{
    const struct simulator *simulator = opaque;
    fprintf(simulator->trace, "%8" G_GINT64_FORMAT " e%" G_GUINT64_FORMAT " %s\n", simulator->now,
            simulator->epoch, text);
}

static void
create_engine(struct simulator *simulator)
{
    struct ms_engine_limits limits;
    ms_engine_limits_defaults(&limits);
    limits.lease_ms = SIMULATOR_LEASE_MS;
    limits.weigh_slow_stops = simulator->speeds.weigh_slow_stops;

    simulator->epoch++;
    simulator->generation++;
    simulator->engine =
        ms_engine_new(&limits, simulator->epoch, simulator->earlier_leases_until, simulator->now);
    if (simulator->trace != NULL) {
        ms_engine_set_log(simulator->engine, trace_engine_event, simulator);
    }
    if (simulator->log_callback != NULL) {
        ms_engine_set_log(simulator->engine, simulator->log_callback, simulator->log_opaque);
    }
    ms_engine_set_policy(simulator->engine, simulator->policy);
    for (size_t i = 0; i < simulator->server_count; i++) {
        struct simulated_server *server = &simulator->servers[i];
        if (!server->lost) {
            server->entry.clock_ms = simulated_server_clock(simulator, server);
        }
        if (!server->removed && !server->unlisted) {
            struct ms_directory_entry entry = simulator_listed_entry(simulator, server);
            ms_engine_update_server(simulator->engine, &entry, simulator->now);
        }
    }
    ms_engine_end_directory_snapshot(simulator->engine, simulator->now);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, simulator->table->jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        ms_engine_add_job(simulator->engine, value, simulator->now);
    }
}

static void
free_spec(gpointer opaque)
{
    ms_batch_spec_clear(opaque);
    g_free(opaque);
}

struct simulator *
simulator_new(uint64_t seed, size_t servers, const struct simulator_faults *faults, FILE *trace)
{
    const struct simulator_speeds speeds = {0};
    return simulator_new_with_speeds(seed, servers, faults, &speeds, trace);
}

struct simulator *
simulator_new_with_speeds(uint64_t seed, size_t servers, const struct simulator_faults *faults,
                          const struct simulator_speeds *speeds, FILE *trace)
{
    struct simulator *simulator = g_new0(struct simulator, 1);
    simulator->speeds = *speeds;
    simulator->random_state = seed * 0x9e3779b97f4a7c15u + 1;
    simulator->faults = *faults;
    simulator->trace = trace;
    simulator->now = 1000;
    simulator->server_count = servers;
    simulator->table = ms_job_table_new();
    simulator->policy = make_policy();
    simulator->cap_changes = simulator_new_cap_changes();
    simulator->events = g_ptr_array_new();
    simulator->specs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_spec);
    simulator->acked_done = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    simulator->done_tasks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    simulator->acked_failures = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    simulator->cancelled = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    simulator->idle_since = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    for (size_t i = 0; i < servers; i++) {
        init_server(simulator, i);
    }
    create_engine(simulator);
    return simulator;
}

static void
free_event(struct event *event)
{
    ms_engine_action_free(event->action);
    ms_server_report_free(event->report);
    g_free(event);
}

void
simulator_free(struct simulator *simulator)
{
    ms_engine_free(simulator->engine);
    for (guint i = 0; i < simulator->events->len; i++) {
        free_event(g_ptr_array_index(simulator->events, i));
    }
    g_ptr_array_unref(simulator->events);
    for (size_t i = 0; i < simulator->server_count; i++) {
        g_array_unref(simulator->servers[i].runs);
        g_array_unref(simulator->servers[i].ended);
        g_hash_table_destroy(simulator->servers[i].closed_runs);
    }
    g_array_unref(simulator->cap_changes);
    ms_job_table_free(simulator->table);
    ms_policy_free(simulator->policy);
    g_hash_table_destroy(simulator->specs);
    g_hash_table_destroy(simulator->acked_done);
    g_hash_table_destroy(simulator->done_tasks);
    g_hash_table_destroy(simulator->acked_failures);
    g_hash_table_destroy(simulator->cancelled);
    g_hash_table_destroy(simulator->idle_since);
    g_free(simulator);
}

static void
push_event(struct simulator *simulator, struct event *event)
{
    event->sequence = simulator->next_sequence++;
    g_ptr_array_add(simulator->events, event);
}

static struct simulated_server *
find_server(struct simulator *simulator, const char *id)
{
    for (size_t i = 0; i < simulator->server_count; i++) {
        if (strcmp(simulator->servers[i].entry.id, id) == 0) {
            return &simulator->servers[i];
        }
    }
    return NULL;
}

/* Lets the server carry out ORDER, and schedules the arrival of its answer. */
static void
carry_out_order(struct simulator *simulator, struct event *order)
{
    struct simulated_server *server = find_server(simulator, order->action->server);
    struct event *answer = g_new0(struct event, 1);
    answer->kind = EVENT_ANSWER_ARRIVES;
    answer->generation = order->generation;
    answer->action = order->action;
    answer->sent_at = order->sent_at;
    order->action = NULL;
    bool reachable = simulated_server_reachable(simulator, server);
    answer->due_at = simulator->now + NETWORK_LATENCY_MS;
    answer->result = MS_ORDER_NO_ANSWER;
    if (reachable) {
        answer->clock_ms = simulated_server_clock(simulator, server);
        struct event start = {
            .action = answer->action, .delayed = order->delayed, .sent_at = order->sent_at};
        if (answer->action->fence < server->fence) {
            answer->result = MS_ORDER_FENCED;
        }
        else {
            server->fence = answer->action->fence;
            answer->result = MS_ORDER_OK;
            switch (answer->action->kind) {
            case MS_ENGINE_START:
                answer->result = simulated_server_start(simulator, server, &start);
                server->lease_deadline = MAX(server->lease_deadline, answer->action->deadline_ms);
                break;
            case MS_ENGINE_STOP:
                simulated_server_stop(simulator, server, answer->action);
                break;
            default:
                simulated_server_acknowledge_ends(simulator, server, answer->action->ack_position);
                server->lease_deadline = MAX(server->lease_deadline, answer->action->deadline_ms);
                answer->report = simulated_server_report(simulator, server);
                break;
            }
            server->lease_deadline = MIN(server->lease_deadline,
                                         simulated_server_clock(simulator, server) + LEASE_MAX_MS);
        }
    }
    bool answer_lost = order->delayed ||
                       simulator_chance(simulator, simulator->faults.answer_loss) ||
                       simulator->now < server->silent_until;
    if (answer_lost) {
        simulator_note_fault(simulator, simulator->now + ORDER_TIMEOUT_MS);
    }
    if (!reachable || answer_lost) {
        answer->result = MS_ORDER_NO_ANSWER;
        answer->clock_ms = 0;
        answer->due_at = simulator->now + ORDER_TIMEOUT_MS;
        ms_server_report_free(answer->report);
        answer->report = NULL;
    }
    if (order->delayed) {
        free_event(answer); /* the engine has already been told that there is no answer */
        return;
    }
    push_event(simulator, answer);
}

/* Applies stored records to the job table; not removals, so ended jobs keep their phase there. */
static void
apply_records(struct simulator *simulator, const GPtrArray *records)
{
    for (guint i = 0; i < records->len; i++) {
        const struct ms_store_record *record = g_ptr_array_index(records, i);
        struct ms_stored_job *job = NULL;
        gsize length = 0;
        const uint8_t *value =
            record->value != NULL ? g_bytes_get_data(record->value, &length) : NULL;
        if (record->value != NULL && ms_job_table_apply(simulator->table, record->key, value,
                                                        length, &job) == MS_CHANGED_STATE) {
            job->state_read_at = simulator->now;
        }
    }
}

/* Schedules the arrival of a copy of ACTION for when the engine no longer waits for it. */
static void
push_delayed_order(struct simulator *simulator, const struct ms_engine_action *action)
{
    struct event *copy = g_new0(struct event, 1);
    copy->kind = EVENT_ORDER_ARRIVES;
    copy->due_at = simulator->now + 2000 + simulator_random(&simulator->random_state, 10000);
    simulator_note_fault(simulator, copy->due_at);
    copy->epoch = simulator->epoch;
    copy->delayed = true;
    copy->sent_at = simulator->now;
    copy->action = g_new0(struct ms_engine_action, 1);
    *copy->action = *action;
    copy->action->payload = g_strdup(action->payload);
    push_event(simulator, copy);
}

/* Takes the actions that the engine has queued and schedules the events that they cause. */
static void
process_actions(struct simulator *simulator)
{
    struct ms_engine_action *action = NULL;
    while (simulator->engine != NULL &&
           (action = ms_engine_pop_action(simulator->engine)) != NULL) {
        struct event *event = g_new0(struct event, 1);
        event->generation = simulator->generation;
        event->epoch = simulator->epoch;
        event->action = action;
        event->sent_at = simulator->now;
        if (action->kind == MS_ENGINE_STEP_DOWN) {
            free_event(event);
            simulator_report_violation(simulator, "the current leader stepped down", "");
            continue;
        }
        if (action->kind == MS_ENGINE_WITHDRAW) {
            simulator_withdraw_start(simulator, action);
            free_event(event);
            continue;
        }
        if (action->kind == MS_ENGINE_STORE) {
            event->kind = EVENT_RECORDS_STORED;
            simulator->counts.states_stored += action->records->len;
            event->due_at = MAX(simulator->now, simulator->log_outage_until) + LOG_STORE_MS;
            push_event(simulator, event);
            continue;
        }
        event->kind = EVENT_ORDER_ARRIVES;
        event->due_at =
            simulator->now + NETWORK_LATENCY_MS + simulator_random(&simulator->random_state, 3);
        bool delayed = simulator_chance(simulator, simulator->faults.order_delay);
        if (delayed || simulator_chance(simulator, simulator->faults.order_loss)) {
            if (delayed && action->kind != MS_ENGINE_QUERY_ADVICE) {
                push_delayed_order(simulator, action);
            }
            event->kind = EVENT_ANSWER_ARRIVES;
            event->result = MS_ORDER_NO_ANSWER;
            event->due_at = simulator->now + ORDER_TIMEOUT_MS;
            simulator_note_fault(simulator, event->due_at);
        }
        else {
            simulator_queue_order(simulator, event);
            if (action->kind == MS_ENGINE_START && !event->unsent) {
                simulator_strike_start(simulator, find_server(simulator, action->server), event);
            }
        }
        push_event(simulator, event);
    }
}

/* The engine of the next term may be on the same host, which then also gets late answers. */
static void
deliver_answer(struct simulator *simulator, struct event *event)
{
    if (simulator->engine == NULL) {
        return;
    }
    if (event->action->kind == MS_ENGINE_RENEW_LEASE) {
        ms_engine_on_renewal_answer(simulator->engine, event->action, event->result, event->report,
                                    event->sent_at, simulator->now);
    }
    else {
        ms_engine_on_order_answer(simulator->engine, event->action, event->result, event->clock_ms,
                                  simulator->now);
    }
}

static void
handle_event(struct simulator *simulator, struct event *event)
{
    switch (event->kind) {
    case EVENT_ORDER_ARRIVES:
        if (event->unsent && (simulator->engine == NULL || event->epoch != simulator->epoch)) {
            break; /* the host was lost, or drops orders of terms that are over */
        }
        carry_out_order(simulator, event);
        break;
    case EVENT_ANSWER_ARRIVES:
        deliver_answer(simulator, event);
        break;
    case EVENT_RECORDS_STORED:
        /* The log rejects records of leaders of earlier epochs. */
        if (event->epoch == simulator->epoch) {
            apply_records(simulator, event->action->records);
            simulator->state_stored_at = simulator->now;
            if (simulator->engine != NULL && event->generation == simulator->generation) {
                ms_engine_on_stored(simulator->engine, simulator->now);
            }
        }
        break;
    }
}

/* Handles the events that are due, the earliest first. */
static void
handle_due_events(struct simulator *simulator)
{
    for (;;) {
        guint next_index = UINT_MAX;
        for (guint i = 0; i < simulator->events->len; i++) {
            const struct event *event = g_ptr_array_index(simulator->events, i);
            const struct event *next =
                next_index != UINT_MAX ? g_ptr_array_index(simulator->events, next_index) : NULL;
            if (event->due_at <= simulator->now &&
                (next == NULL || event->due_at < next->due_at ||
                 (event->due_at == next->due_at && event->sequence < next->sequence))) {
                next_index = i;
            }
        }
        if (next_index == UINT_MAX) {
            return;
        }
        struct event *event = g_ptr_array_remove_index(simulator->events, next_index);
        handle_event(simulator, event);
        free_event(event);
        process_actions(simulator);
    }
}

void
simulator_run(struct simulator *simulator, int64_t ms)
{
    int64_t until = simulator->now + ms;
    while (simulator->now < until && simulator->violation[0] == '\0') {
        simulator->now++;
        simulator_learn_caps(simulator);
        handle_due_events(simulator);
        for (size_t i = 0; i < simulator->server_count; i++) {
            simulated_server_tick(simulator, &simulator->servers[i]);
        }
        if (simulator->now % FAULT_INTERVAL_MS == 0) {
            simulator_inject_faults(simulator);
            simulator_check_progress(simulator);
        }
        if (simulator->engine == NULL && simulator->now >= simulator->new_leader_at &&
            simulator->now >= simulator->log_outage_until) {
            create_engine(simulator);
        }
        if (simulator->engine != NULL && simulator->now >= ms_engine_next_tick(simulator->engine)) {
            ms_engine_tick(simulator->engine, simulator->now, simulator->now);
        }
        process_actions(simulator);
    }
}

/* Stores a record in the log and tells the engine about an accepted or cancelled job. */
static void
store_record(struct simulator *simulator, const char *prefix, const char *id, const uint8_t *value,
             size_t length)
{
    char key[MS_KEYED_LOG_KEY_MAX];
    struct ms_stored_job *job = NULL;
    snprintf(key, sizeof(key), "%s%s", prefix, id);
    enum ms_table_change changed = ms_job_table_apply(simulator->table, key, value, length, &job);
    if (changed == MS_CHANGED_ACCEPTED) {
        job->accepted_read_at = simulator->now;
    }
    if (simulator->engine == NULL) {
        return;
    }
    if (changed == MS_CHANGED_ACCEPTED) {
        ms_engine_add_job(simulator->engine, job, simulator->now);
    }
    else if (changed == MS_CHANGED_CANCELLED) {
        ms_engine_cancel_job(simulator->engine, id, simulator->now);
    }
}

void
simulator_set_weight(struct simulator *simulator, const char *account, uint32_t weight)
{
    struct ms_policy *policy = simulator->policy;
    size_t index = 0;
    while (index < policy->account_count && strcmp(policy->accounts[index].name, account) != 0) {
        index++;
    }
    if (index == policy->account_count) {
        policy->account_count++;
        policy->accounts = g_renew(struct ms_account_rule, policy->accounts, policy->account_count);
        policy->accounts[index] = (struct ms_account_rule){.keys = g_new0(char *, 1)};
        g_strlcpy(policy->accounts[index].name, account, sizeof(policy->accounts[index].name));
    }
    policy->accounts[index].weight = weight;
    if (simulator->engine != NULL) {
        ms_engine_set_policy(simulator->engine, policy);
    }
}

void
simulator_submit_job(struct simulator *simulator, struct ms_batch_spec *spec)
{
    size_t length = 0;
    spec->accepted_ms = simulator->now;
    uint8_t *bytes = ms_batch_spec_pack(spec, &length);
    g_hash_table_insert(simulator->specs, g_strdup(spec->id), g_memdup2(spec, sizeof(*spec)));
    store_record(simulator, MS_KEY_JOB, spec->id, bytes, length);
    g_free(bytes);
    memset(spec, 0, sizeof(*spec));
}

void
simulator_cancel_job(struct simulator *simulator, const char *id)
{
    static const uint8_t mark[] = "x";
    if (!g_hash_table_contains(simulator->cancelled, id)) {
        g_hash_table_insert(simulator->cancelled, g_strdup(id),
                            g_memdup2(&simulator->now, sizeof(simulator->now)));
    }
    store_record(simulator, MS_KEY_CANCEL, id, mark, 1);
}

void
simulator_set_speed(struct simulator *simulator, size_t index, int64_t percent)
{
    simulator->servers[index].speed = percent;
}

void
simulator_slow_server(struct simulator *simulator, size_t index, int64_t factor, int64_t ms)
{
    simulator->servers[index].slow_factor = factor;
    simulator->servers[index].slow_until = simulator->now + ms;
}

void
simulator_set_log(struct simulator *simulator, void (*line)(void *opaque, const char *text),
                  void *opaque)
{
    simulator->log_callback = line;
    simulator->log_opaque = opaque;
    if (simulator->engine != NULL) {
        ms_engine_set_log(simulator->engine, line, opaque);
    }
}

const char *
simulator_violation(const struct simulator *simulator)
{
    return simulator->violation;
}

enum ms_phase
simulator_job_phase(const struct simulator *simulator, const char *id)
{
    const struct ms_stored_job *job = ms_job_table_find(simulator->table, id);
    return job != NULL ? ms_stored_job_phase(job) : MS_PHASE_OPEN;
}

void
simulator_counts(const struct simulator *simulator, struct simulator_counts *counts)
{
    *counts = simulator->counts;
}
