/*
 * early_cancels.c - stores the cancellation of a job that the log does not have, and removes such
 * cancellations when no submission of their job can come any more.
 */
#include <string.h>

#include "entry/private.h"

/* Cancellations of one account that are kept at a time; they live as long as ended jobs. */
#define ACCOUNT_MAX 1000
#define REMOVALS_MAX 200 /* in one append */
#define REMOVAL_DEADLINE_MS 4000

void
ms_early_cancel_store(struct ms_entry *entry, struct ms_entry_call *call, const char *id,
                      const struct ms_early_cancel_scope *scope)
{
    char key[MS_EARLY_CANCEL_KEY_MAX];
    const struct ms_early_cancels *cancels = entry->table->early_cancels;
    if (!ms_early_cancel_key(id, scope, key) || ms_early_cancels_contain(cancels, key)) {
        ms_requests_answer(entry, call, MS_STATUS_GONE, "no_such_job");
        return;
    }
    if (!entry->reachable[MS_STREAM_JOBS]) {
        ms_requests_forward_or_refuse(entry, call, "log_unreachable");
        return;
    }
    if (ms_early_cancels_count(cancels, scope->account) >= ACCOUNT_MAX) {
        ms_requests_answer(entry, call, MS_STATUS_UNAVAILABLE, "too_many_early_cancels");
        return;
    }
    size_t length = 0;
    uint8_t *bytes = ms_early_cancel_pack(id, scope, &length);
    ms_requests_append(entry, call, MS_APPEND_EARLY_CANCEL, key, g_bytes_new_take(bytes, length));
}

void
ms_early_cancel_read(struct ms_entry *entry, const char *key)
{
    ms_early_cancels_note_read(entry->table->early_cancels, key, entry->now);
    ms_requests_record_read(entry, key, MS_APPEND_EARLY_CANCEL);
}

/* Whether ITEM, or another one, cancels its job, and no state in the log says so yet. */
static bool
is_needed(const struct ms_entry *entry, const struct ms_early_cancel *item)
{
    const struct ms_stored_job *job = ms_job_table_find(entry->table, item->id);
    return job != NULL && job->accepted && job->cancelled && job->phase == MS_PHASE_OPEN;
}

void
ms_early_cancels_prune(struct ms_entry *entry)
{
    GPtrArray *old = g_ptr_array_new();
    struct ms_append *append = ms_append_new(MS_APPEND_HOST_RECORD);
    append->queued_at = entry->now;
    append->deadline_at = entry->now + REMOVAL_DEADLINE_MS;
    ms_early_cancels_find_old(entry->table->early_cancels,
                              entry->now - ms_leader_ended_retention_ms(entry), old);
    for (guint i = 0; i < old->len && append->records->len < REMOVALS_MAX; i++) {
        const struct ms_early_cancel *item = g_ptr_array_index(old, i);
        if (!is_needed(entry, item)) {
            ms_append_add_record(append, MS_KEY_EARLY_CANCEL, item->key, NULL);
        }
    }
    if (append->records->len == 0 || !ms_appender_push(entry->unfenced_appender, append)) {
        ms_append_free(append);
    }
    g_ptr_array_unref(old);
}
