/*
 * hold.c - placing the work of this data centre.
 *
 * Feeds the decision core with what the backend links, the log and the other
 * hosts tell, and carries out its actions.
 */
#include <stdio.h>
#include <string.h>

#include "node/private.h"
#include "obs/log.h"
#include "wire/convert.h"

#define SETTLE_MS 1500 /* longest wait for servers before starting work */
#define SETTLE_MIN_MS 50
#define DONE_OUTPUT_MAX (256u << 10) /* bytes of output kept in the log */
#define DONE_GIVE_UP_MS 3600000      /* an outcome is worth keeping for long */
#define TOKEN_GIVE_UP_MS 2000

static void carry_out(struct ms_node *node, const struct ms_action *action);

void
ms_hold_feed(struct ms_node *node, const struct ms_event *event)
{
    if (node->hold.stepping) {
        g_error("event=core_step_within_step kind=%d", event->kind);
    }
    if (node->record != NULL) {
        char *line = ms_trace_event(event, node->now);
        fprintf(node->record, "%s\n", line);
        ms_trace_release(line);
    }
    int64_t before = g_get_monotonic_time();
    enum ms_result result = ms_sched_step(node->hold.sched, event, node->now);
    ms_counter_add(node->counters, MS_COUNT_STEPS, 1);
    ms_counter_add(node->counters, MS_COUNT_STEP_US, (uint64_t)(g_get_monotonic_time() - before));
    if (result != MS_OK) {
        ms_log(MS_LOG_WARNING, "event=core_refused_event kind=%d reason=%s", event->kind,
               ms_result_name(result));
        return;
    }
    node->hold.stepping = true;
    size_t count = ms_sched_action_count(node->hold.sched);
    for (size_t i = 0; i < count; i++) {
        carry_out(node, ms_sched_action(node->hold.sched, i));
    }
    node->hold.stepping = false;
}

/* Asks the log for the run token of a non-idempotent job. */
static void
ask_token(struct ms_node *node, const struct ms_action *action)
{
    Ms__Wire__LogRecord record;
    Ms__Wire__Token token;
    char writer[MS_NAME_MAX];
    struct ms_token_wait *wait = g_new0(struct ms_token_wait, 1);
    g_strlcpy(wait->id, action->id, sizeof(wait->id));
    wait->attempt = action->token.attempt;
    wait->give_up_at = node->now + TOKEN_GIVE_UP_MS;
    ms__wire__log_record__init(&record);
    ms__wire__token__init(&token);
    token.id = (char *)action->id;
    token.dc = (char *)node->settings->dc;
    token.holder = (char *)node->settings->name;
    token.epoch = node->hold.epoch;
    token.attempt = action->token.attempt;
    token.servers = (char **)action->token.servers;
    token.n_servers = action->token.server_count;
    record.body_case = MS__WIRE__LOG_RECORD__BODY_TOKEN;
    record.token = &token;
    if (!node->log_reachable || !ms_records_append(node, &record, writer, TOKEN_GIVE_UP_MS)) {
        /* Answered from a later step: the core is in the middle of one. */
        wait->give_up_at = node->now;
        snprintf(writer, sizeof(writer), "none.%" G_GUINT64_FORMAT, ++node->writer_count);
    }
    g_hash_table_replace(node->token_writers, g_strdup(writer), wait);
}

void
ms_hold_token(struct ms_node *node, const char *writer, enum ms_token_answer answer)
{
    const struct ms_token_wait *wait = g_hash_table_lookup(node->token_writers, writer);
    if (wait == NULL) {
        return;
    }
    struct ms_event event = {.kind = MS_EVENT_TOKEN};
    g_strlcpy(event.token.id, wait->id, sizeof(event.token.id));
    event.token.attempt = wait->attempt;
    event.token.answer = answer;
    g_hash_table_remove(node->token_writers, writer);
    if (node->hold.active) {
        ms_hold_feed(node, &event);
    }
}

static void
outcome_to_wire(const struct ms_node *node, const struct ms_action *action,
                Ms__Wire__Outcome *message)
{
    const struct ms_outcome_action *outcome = &action->outcome;
    ms__wire__outcome__init(message);
    message->id = (char *)action->id;
    message->code = outcome->code;
    message->ran = outcome->ran;
    message->detail = (char *)outcome->detail;
    message->server = (char *)outcome->server;
    message->dc = (char *)node->settings->dc;
    message->output.data = (uint8_t *)outcome->output;
    message->output.len = outcome->output_len;
    message->queued_ms = outcome->queued_ms;
    message->ran_ms = outcome->ran_ms;
}

/* Puts the outcome of a job that must be remembered into the log. */
static void
log_outcome(struct ms_node *node, const Ms__Wire__Outcome *outcome)
{
    Ms__Wire__LogRecord record;
    Ms__Wire__Done done;
    Ms__Wire__Outcome kept = *outcome;
    if (kept.output.len > DONE_OUTPUT_MAX) {
        kept.output.len = 0;
        kept.output_omitted = true;
        kept.detail = "all tasks ended well; the output was too large for the log";
    }
    ms__wire__log_record__init(&record);
    ms__wire__done__init(&done);
    done.outcome = &kept;
    record.body_case = MS__WIRE__LOG_RECORD__BODY_DONE;
    record.done = &done;
    ms_records_append(node, &record, NULL, DONE_GIVE_UP_MS);
}

/* Tells the hosts whose callers wait for the job. */
static void
tell_followers(struct ms_node *node, const Ms__Wire__Outcome *outcome)
{
    Ms__Wire__Envelope envelope;
    GPtrArray *followers = g_hash_table_lookup(node->hold.followers, outcome->id);
    ms__wire__envelope__init(&envelope);
    envelope.body_case = MS__WIRE__ENVELOPE__BODY_OUTCOME;
    envelope.outcome = (Ms__Wire__Outcome *)outcome;
    for (guint i = 0; followers != NULL && i < followers->len; i++) {
        const char *name = g_ptr_array_index(followers, i);
        if (strcmp(name, node->settings->name) == 0) {
            ms_jobs_outcome(node, outcome);
        }
        else {
            ms_peers_send(node->peers, name, &envelope);
        }
    }
    g_hash_table_remove(node->hold.followers, outcome->id);
}

static void
job_ended(struct ms_node *node, const struct ms_action *action)
{
    const struct ms_outcome_action *outcome = &action->outcome;
    Ms__Wire__Outcome message;
    struct ms_span span;
    char note[MS_DETAIL_MAX];
    outcome_to_wire(node, action, &message);
    ms_span_begin(&span, action->id, "place", g_hash_table_lookup(node->hold.traces, action->id));
    g_hash_table_remove(node->hold.traces, action->id);
    span.start_ms -= outcome->queued_ms + outcome->ran_ms;
    snprintf(note, sizeof(note),
             "%s in %s on %s: waited %" G_GINT64_FORMAT " ms, ran %" G_GINT64_FORMAT " ms",
             ms_outcome_name(outcome->code), node->settings->dc, outcome->server,
             outcome->queued_ms, outcome->ran_ms);
    ms_span_end(node->spans, &span, note);
    bool accepted = ms_logstate_accept(node->log, action->id) != NULL;
    bool has_token = ms_logstate_token(node->log, action->id) != NULL;
    bool elsewhere = outcome->code == MS_OUTCOME_DUPLICATE;
    if (accepted && outcome->ran == MS_RAN_NO && outcome->code != MS_OUTCOME_CANCELLED &&
        ms_rehome_move(node, action->id, outcome->detail)) {
        g_hash_table_remove(node->hold.followers, action->id);
        return;
    }
    if (!elsewhere && (accepted || has_token)) {
        log_outcome(node, &message);
    }
    tell_followers(node, &message);
}

static void
task_action(struct ms_node *node, const struct ms_action *action)
{
    if (ms_backend_task(node->backend, action)) {
        return;
    }
    /* The core's time limits bring a lost operation up again. */
    ms_counter_add(node->counters, MS_COUNT_BUSY, 1);
    ms_log(MS_LOG_WARNING, "event=backend_ring_full job=%s op=%s", action->id,
           ms_op_name(action->task.op));
}

static void
carry_out(struct ms_node *node, const struct ms_action *action)
{
    switch (action->kind) {
    case MS_ACTION_TASK:
        task_action(node, action);
        break;
    case MS_ACTION_TOKEN:
        ask_token(node, action);
        break;
    case MS_ACTION_OUTCOME:
        job_ended(node, action);
        break;
    }
}

static void
feed_pause(struct ms_node *node, bool pause)
{
    struct ms_event event = {.kind = MS_EVENT_PAUSE, .pause = pause};
    ms_hold_feed(node, &event);
}

void
ms_hold_begin(struct ms_node *node, uint64_t epoch)
{
    if (node->hold.active) {
        return;
    }
    struct ms_hold *hold = &node->hold;
    hold->active = true;
    hold->epoch = epoch;
    hold->generation++;
    hold->since = node->now;
    hold->settled = false;
    hold->sched = ms_sched_new(node->settings->dc, &node->settings->limits, NULL);
    hold->followers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
    hold->traces = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    hold->held = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    ms_counter_add(node->counters, MS_COUNT_TAKEOVERS, 1);
    ms_log(MS_LOG_NOTICE, "event=claim dc=%s epoch=%" G_GUINT64_FORMAT, node->settings->dc, epoch);
    feed_pause(node, true);
    GPtrArray *rules = ms_logstate_rules(node->log);
    for (guint i = 0; i < rules->len; i++) {
        const struct ms_rule_entry *entry = g_ptr_array_index(rules, i);
        ms_hold_rule(node, &entry->line.rule);
    }
    g_ptr_array_free(rules, TRUE);
    ms_backend_claim(node->backend, hold->generation, epoch);
    GPtrArray *ids = ms_logstate_accepted_ids(node->log);
    for (guint i = 0; i < ids->len; i++) {
        ms_hold_accepted(node, g_ptr_array_index(ids, i));
    }
    g_ptr_array_free(ids, TRUE);
    ms_members_send_heartbeats(node);
}

/* The log has the record of a claim that was made without it. */
void
ms_hold_confirm(struct ms_node *node, uint64_t epoch)
{
    node->hold.epoch = epoch;
    ms_log(MS_LOG_NOTICE, "event=claim_confirmed dc=%s epoch=%" G_GUINT64_FORMAT,
           node->settings->dc, epoch);
    ms_members_send_heartbeats(node);
}

void
ms_hold_end(struct ms_node *node, const char *reason)
{
    struct ms_hold *hold = &node->hold;
    if (!hold->active) {
        return;
    }
    ms_log(MS_LOG_NOTICE, "event=claim_end dc=%s epoch=%" G_GUINT64_FORMAT " reason=\"%s\"",
           node->settings->dc, hold->epoch, reason);
    hold->active = false;
    ms_backend_release(node->backend);
    ms_sched_free(hold->sched);
    hold->sched = NULL;
    g_hash_table_destroy(hold->followers);
    g_hash_table_destroy(hold->traces);
    g_hash_table_destroy(hold->held);
    g_hash_table_remove_all(node->token_writers);
    ms_members_send_heartbeats(node);
    ms_jobs_host_lost(node, node->settings->name);
}

void
ms_hold_backend(struct ms_node *node, const struct ms_backend_message *message)
{
    if (!node->hold.active || message->generation != node->hold.generation) {
        return;
    }
    for (guint i = 0; i < message->events->len && node->hold.active; i++) {
        const struct ms_owned_event *owned = g_ptr_array_index(message->events, i);
        if (owned->event.kind == MS_EVENT_SERVER_UP) {
            g_hash_table_add(node->hold.held, g_strdup(owned->event.server.name));
        }
        if (owned->event.kind == MS_EVENT_SERVER_LOST) {
            g_hash_table_remove(node->hold.held, owned->event.server.name);
        }
        ms_hold_feed(node, &owned->event);
    }
}

static void
follow(struct ms_node *node, const char *id, const char *follower)
{
    GPtrArray *followers = g_hash_table_lookup(node->hold.followers, id);
    if (followers == NULL) {
        followers = g_ptr_array_new_with_free_func(g_free);
        g_hash_table_insert(node->hold.followers, g_strdup(id), followers);
    }
    for (guint i = 0; i < followers->len; i++) {
        if (strcmp(g_ptr_array_index(followers, i), follower) == 0) {
            return;
        }
    }
    g_ptr_array_add(followers, g_strdup(follower));
}

static void
send_received(struct ms_node *node, const char *id, const char *follower)
{
    Ms__Wire__Envelope envelope;
    Ms__Wire__Received received;
    ms__wire__envelope__init(&envelope);
    ms__wire__received__init(&received);
    received.id = (char *)id;
    envelope.body_case = MS__WIRE__ENVELOPE__BODY_RECEIVED;
    envelope.received = &received;
    ms_peers_send(node->peers, follower, &envelope);
}

void
ms_hold_submit(struct ms_node *node, const struct ms_job_spec *spec, const char *follower,
               bool may_have_run, const char *trace_parent)
{
    struct ms_event event = {.kind = MS_EVENT_SUBMIT};
    char id[MS_ID_MAX];
    snprintf(id, sizeof(id), "%s/%s", spec->account, spec->key);
    if (!node->hold.active) {
        return; /* the sender tries again elsewhere when it learns of it */
    }
    bool own = strcmp(follower, node->settings->name) == 0;
    follow(node, id, follower);
    if (trace_parent[0] != '\0') {
        g_hash_table_replace(node->hold.traces, g_strdup(id), g_strdup(trace_parent));
    }
    if (own) {
        ms_jobs_received(node, follower, id);
    }
    else {
        send_received(node, id, follower);
    }
    const Ms__Wire__Outcome *done = ms_logstate_done(node->log, id);
    if (done != NULL && !done->output_omitted) {
        tell_followers(node, done); /* it has ended, under an earlier holder too */
        return;
    }
    const Ms__Wire__Token *token = ms_logstate_token(node->log, id);
    bool other_holder =
        done != NULL || (token != NULL && (token->epoch != node->hold.epoch ||
                                           strcmp(token->holder, node->settings->name) != 0));
    event.submit.spec = *spec;
    /* A non-idempotent job cannot have run without a token in the log. */
    event.submit.may_have_run = spec->idempotent ? may_have_run : other_holder;
    ms_hold_feed(node, &event);
}

/* The host FOLLOWER wants the outcome of a job, which may have ended. */
void
ms_hold_follow(struct ms_node *node, const char *id, const char *follower)
{
    struct ms_event event = {.kind = MS_EVENT_ASK};
    char text[MS_DETAIL_MAX];
    if (!node->hold.active || ms_sched_explain(node->hold.sched, id, text, sizeof(text)) != MS_OK) {
        return;
    }
    follow(node, id, follower);
    g_strlcpy(event.job, id, sizeof(event.job));
    ms_hold_feed(node, &event);
}

void
ms_hold_cancel(struct ms_node *node, const char *id, const char *follower)
{
    struct ms_event event = {.kind = MS_EVENT_CANCEL};
    if (!node->hold.active) {
        return;
    }
    ms_hold_follow(node, id, follower);
    g_strlcpy(event.job, id, sizeof(event.job));
    ms_hold_feed(node, &event);
}

void
ms_hold_rule(struct ms_node *node, const struct ms_rule *rule)
{
    struct ms_event event = {.kind = MS_EVENT_RULE, .rule = *rule};
    if (node->hold.active) {
        ms_hold_feed(node, &event);
    }
}

/* Gives the core an accepted job of this data centre; takes one back that moved. */
void
ms_hold_accepted(struct ms_node *node, const char *id)
{
    const struct ms_accept_entry *entry = ms_logstate_accept(node->log, id);
    if (!node->hold.active || entry == NULL || strcmp(entry->dc, node->settings->dc) != 0) {
        return;
    }
    struct ms_job_spec spec = entry->spec;
    if (entry->deadline_left_ms > 0) {
        spec.deadline_ms = node->now + entry->deadline_left_ms;
    }
    ms_hold_submit(node, &spec, node->settings->name, false, "");
}

void
ms_hold_server_listed(struct ms_node *node, const struct ms_listed *listed)
{
    ms_backend_add(node->backend, listed->name, listed->address);
    if (listed->leaving && node->hold.active) {
        struct ms_event event = {.kind = MS_EVENT_SERVER_LEAVING};
        g_strlcpy(event.server.name, listed->name, sizeof(event.server.name));
        ms_hold_feed(node, &event);
    }
}

void
ms_hold_server_unlisted(struct ms_node *node, const char *name)
{
    ms_backend_remove(node->backend, name);
}

/* Servers of this data centre that should be held. */
static guint
listed_here(const struct ms_node *node)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    guint count = 0;
    g_hash_table_iter_init(&iterator, node->servers);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct ms_listed *listed = value;
        count += strcmp(listed->dc, node->settings->dc) == 0 ? 1 : 0;
    }
    return count;
}

void
ms_hold_tick(struct ms_node *node)
{
    struct ms_hold *hold = &node->hold;
    if (!hold->active) {
        return;
    }
    if (!hold->settled) {
        guint listed = listed_here(node);
        bool all = listed > 0 && g_hash_table_size(hold->held) >= listed;
        int64_t age = node->now - hold->since;
        if ((all && age >= SETTLE_MIN_MS) || age >= SETTLE_MS) {
            hold->settled = true;
            ms_log(MS_LOG_NOTICE,
                   "event=settled dc=%s servers=%u listed=%u age_ms=%" G_GINT64_FORMAT,
                   node->settings->dc, g_hash_table_size(hold->held), listed, age);
            feed_pause(node, false);
        }
    }
    if (node->now >= ms_sched_next_tick(hold->sched)) {
        struct ms_event event = {.kind = MS_EVENT_TICK};
        ms_hold_feed(node, &event);
    }
}

int64_t
ms_hold_next_tick(const struct ms_node *node)
{
    return node->hold.active ? ms_sched_next_tick(node->hold.sched) : INT64_MAX;
}

void
ms_hold_summary(const struct ms_node *node, struct ms_summary *summary)
{
    struct ms_sched_stats stats;
    memset(summary, 0, sizeof(*summary));
    if (!node->hold.active) {
        return;
    }
    ms_sched_stats(node->hold.sched, &stats);
    *summary = (struct ms_summary){
        .servers = stats.servers,
        .accels = stats.accels,
        .accels_free = stats.accels_free,
        .slots_free = stats.slots_free,
        .rack_free_max = stats.rack_free_max,
        .waiting = stats.waiting,
        .running = stats.running,
        .quarantined = stats.quarantined,
        .guarantees_unmet = stats.guarantees_unmet,
    };
}
