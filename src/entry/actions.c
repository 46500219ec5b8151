/*
 * actions.c - carries out the engine's actions, and passes the server directory to it.
 */
#include "entry/private.h"
#include "obs/log.h"
#include "ports/servers.h"
#include "wire/compress.h"

void
ms_actions_log(void *opaque, const char *text)
{
    struct ms_entry *entry = opaque;
    ms_log(MS_LOG_INFO, "%s epoch=%" G_GUINT64_FORMAT, text, entry->term_epoch);
}

/* Moves the records of ACTION, which is a STORE, to a fenced append and queues it. */
static void
push_job_states(struct ms_entry *entry, struct ms_engine_action *action)
{
    struct ms_append *append = ms_append_new(MS_APPEND_JOB_STATE);
    append->epoch = entry->term_epoch;
    append->queued_at = entry->now;
    for (guint i = 0; i < action->records->len; i++) {
        struct ms_store_record *record = g_ptr_array_index(action->records, i);
        if (entry->settings->compress_records && record->value != NULL) {
            record->value = ms_value_compress(record->value);
        }
        g_ptr_array_add(append->records, record);
    }
    g_ptr_array_set_size(action->records, 0);
    if (!ms_appender_push(entry->fenced_appender, append)) {
        /* The engine would wait for this append forever; a successor has a new engine. */
        ms_log(MS_LOG_WARNING, "event=append_queue_full writer=placing");
        ms_append_free(append);
        ms_leader_step_down(entry, "append_queue_full");
    }
}

void
ms_actions_run(struct ms_entry *entry)
{
    struct ms_engine_action *action = NULL;
    while (entry->engine != NULL && (action = ms_engine_pop_action(entry->engine)) != NULL) {
        switch (action->kind) {
        case MS_ENGINE_START:
            ms_histogram_observe(entry->counters, MS_HISTOGRAM_START_DELAY, action->queue_wait_ms);
            /* fall through */
        case MS_ENGINE_STOP:
        case MS_ENGINE_WITHDRAW:
        case MS_ENGINE_RENEW_LEASE:
            if (ms_order_sender_push(entry->order_sender, action, entry->term_epoch)) {
                continue; /* its answer, if it has one, returns it in a message */
            }
            ms_log(MS_LOG_WARNING, "event=order_queue_full server=%s", action->server);
            ms_engine_action_free(action);
            ms_leader_step_down(entry, "order_queue_full");
            return;
        case MS_ENGINE_QUERY_ADVICE:
            g_strlcpy(action->address, entry->settings->advice_address, sizeof(action->address));
            if (ms_order_sender_push(entry->order_sender, action, entry->term_epoch)) {
                continue;
            }
            ms_engine_on_advice_answer(entry->engine, action, NULL, entry->now);
            break;
        case MS_ENGINE_STORE:
            push_job_states(entry, action);
            break;
        case MS_ENGINE_STEP_DOWN:
            ms_leader_step_down(entry, action->reason);
            break;
        }
        ms_engine_action_free(action);
    }
}

void
ms_actions_apply_directory(struct ms_entry *entry, const struct ms_keyed_log_batch *batch,
                           bool snapshot)
{
    if (entry->engine == NULL) {
        return;
    }
    if (snapshot) {
        ms_engine_begin_directory_snapshot(entry->engine);
    }
    for (guint i = 0; i < batch->records->len; i++) {
        const struct ms_keyed_log_record *record =
            &g_array_index(batch->records, struct ms_keyed_log_record, i);
        struct ms_directory_entry server;
        char error[MS_DETAIL_MAX];
        if (record->value == NULL) {
            ms_engine_unlist_server(entry->engine, record->key, entry->now);
        }
        else if (ms_directory_decode(record->key, record->value, &server, error, sizeof(error)) ==
                 MS_OK) {
            ms_engine_update_server(entry->engine, &server, entry->now);
        }
        else {
            ms_log(MS_LOG_WARNING, "event=directory_entry_unusable server=%s error=\"%s\"",
                   record->key, error);
            ms_engine_unlist_server(entry->engine, record->key, entry->now);
        }
    }
    if (snapshot) {
        ms_engine_end_directory_snapshot(entry->engine, entry->now);
        if (entry->leader_state == MS_LISTING) {
            ms_leader_directory_loaded(entry);
        }
    }
}
