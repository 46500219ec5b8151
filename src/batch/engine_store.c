/*
 * engine_store.c - writes the states of jobs to records of the log and restores them.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "batch/engine_late_start.h"
#include "batch/engine_private.h"
#include "wire/batch.pb-c.h"

/* No job is added to a STORE, which is one append, beyond this size. */
#define STORE_BYTES_MAX (512 * 1024)

/* Status of a task as stored in a record. */
enum stored_status { STORED_WAITING = 0, STORED_ACTIVE, STORED_DONE };

/* Fields of StateRecord.servers; the last two follow only if the lease of the server is frozen. */
enum server_field { SERVER_ID = 0, SERVER_START, SERVER_FROZEN_EPOCH, SERVER_LEASE_LEFT_MS };

/* The text of SERVER in StateRecord.servers. */
static char *
server_text(const struct ms_engine *engine, const struct ms_batch_server *server)
{
    if (server->lease_state != MS_LEASE_FROZEN) {
        return g_strdup_printf("%s/%" G_GINT64_FORMAT, server->id, server->entry.start_unix_ms);
    }
    return g_strdup_printf("%s/%" G_GINT64_FORMAT "/%" G_GUINT64_FORMAT "/%" G_GINT64_FORMAT,
                           server->id, server->entry.start_unix_ms, engine->epoch,
                           MAX(server->frozen_until - engine->now, 0));
}

uint32_t
ms_store_server_index(const struct ms_engine *engine, GPtrArray *servers,
                      const struct ms_batch_server *server)
{
    char *text = server_text(engine, server);
    for (guint i = 0; i < servers->len; i++) {
        if (strcmp(g_ptr_array_index(servers, i), text) == 0) {
            g_free(text);
            return i + 1;
        }
    }
    g_ptr_array_add(servers, text);
    return servers->len;
}

/* Writes TASK to the arrays of RECORD at INDEX. */
static void
pack_task(const struct ms_engine *engine, struct ms_batch_task *task,
          Ms__Batch__OccurrenceRecord *record, size_t index, GPtrArray *servers)
{
    enum stored_status status = STORED_WAITING;
    if (task->state == MS_BATCH_TASK_DONE) {
        status = STORED_DONE;
    }
    else if (task->server != NULL) {
        status = STORED_ACTIVE;
        record->server[index] = ms_store_server_index(engine, servers, task->server);
        record->confirmed.data[index] =
            task->start_confirmed && ms_batch_server_holds_our_lease(engine, task->server);
        record->answered.data[index] = task->start_confirmed && !record->confirmed.data[index];
        if (record->confirmed.data[index]) {
            record->confirmed.len = record->n_run;
        }
        if (record->answered.data[index]) {
            record->answered.len = record->n_run;
        }
    }
    if (task->state == MS_BATCH_TASK_RECORDING) {
        task->store_pending = true;
    }
    task->unanswered_packed = task->order_unanswered;
    record->status.data[index] = (uint8_t)status;
    record->run[index] = task->run;
    record->failures[index] = task->failures;
    record->failed_run[index] = task->failed_run;
    if (task->failed_run != 0) {
        record->n_failed_run = record->n_run;
    }
    for (size_t i = 0; i < MS_LOST_RUNS_MAX && task->lost_runs[i] != 0; i++) {
        record->lost_run[i * record->n_run + index] = task->lost_runs[i];
        record->n_lost_run = MAX(record->n_lost_run, (i + 1) * record->n_run);
    }
    if (status != STORED_DONE) {
        record->checkpoint[index] = task->checkpoint;
    }
}

/* The record of OCCURRENCE, which borrows its checkpoints; see free_occurrence_record(). */
static Ms__Batch__OccurrenceRecord *
pack_occurrence(const struct ms_engine *engine, struct ms_batch_occurrence *occurrence,
                GPtrArray *servers)
{
    Ms__Batch__OccurrenceRecord *record = g_new0(Ms__Batch__OccurrenceRecord, 1);
    ms__batch__occurrence_record__init(record);
    record->number = occurrence->index;
    record->complete = occurrence->steps == NULL;
    if (record->complete) {
        return record;
    }
    const struct ms_batch_spec *spec = occurrence->job->spec;
    size_t count = 0;
    for (size_t s = 0; s < spec->step_count; s++) {
        count += spec->steps[s].task_count;
    }
    record->status.len = count;
    record->status.data = g_malloc0(count);
    record->confirmed.data = g_malloc0(count);
    record->answered.data = g_malloc0(count);
    record->n_run = record->n_failures = record->n_server = record->n_checkpoint = count;
    record->run = g_new0(uint32_t, count);
    record->failures = g_new0(uint32_t, count);
    record->failed_run = g_new0(uint32_t, count);
    record->server = g_new0(uint32_t, count);
    record->lost_run = g_new0(uint32_t, count * MS_LOST_RUNS_MAX);
    record->checkpoint = g_new0(char *, count);
    size_t index = 0;
    for (size_t s = 0; s < spec->step_count; s++) {
        for (uint32_t k = 0; k < spec->steps[s].task_count; k++, index++) {
            record->checkpoint[index] = "";
            pack_task(engine, &occurrence->steps[s].tasks[k], record, index, servers);
        }
    }
    return record;
}

static void
free_occurrence_record(Ms__Batch__OccurrenceRecord *record)
{
    g_free(record->status.data);
    g_free(record->confirmed.data);
    g_free(record->answered.data);
    g_free(record->run);
    g_free(record->failures);
    g_free(record->failed_run);
    g_free(record->server);
    g_free(record->lost_run);
    g_free(record->checkpoint);
    g_free(record);
}

/*
 * The state record of JOB.  A job that has ended is stored without its occurrences once no run of
 * it is left: until then the next leader has to know what its runs use.
 */
static GBytes *
pack_job_state(const struct ms_engine *engine, struct ms_batch_job *job)
{
    Ms__Batch__StateRecord record = MS__BATCH__STATE_RECORD__INIT;
    GPtrArray *servers = g_ptr_array_new_with_free_func(g_free);
    bool kept = job->phase == MS_PHASE_OPEN || job->active_count > 0;
    size_t count = kept ? job->occurrences->len : 0;
    record.phase = job->phase;
    record.begun = job->started;
    ms_list_remove(&job->started_link); /* this state tells of its start */
    record.n_occurrences = count;
    record.occurrences = g_new0(Ms__Batch__OccurrenceRecord *, count + 1);
    for (size_t i = 0; i < count; i++) {
        record.occurrences[i] =
            pack_occurrence(engine, g_ptr_array_index(job->occurrences, i), servers);
    }
    ms_late_start_pack(engine, job, &record, servers);
    record.n_servers = servers->len;
    record.servers = (char **)servers->pdata;
    size_t length = ms__batch__state_record__get_packed_size(&record);
    uint8_t *bytes = g_malloc(length + 1);
    ms__batch__state_record__pack(&record, bytes);
    for (size_t i = 0; i < count; i++) {
        free_occurrence_record(record.occurrences[i]);
    }
    g_free(record.occurrences);
    ms_late_start_free_packed(&record);
    g_ptr_array_unref(servers);
    /* An open job that has not started packs to 0 bytes, and an empty value removes the key. */
    if (length == 0) {
        static const uint8_t phase_open[] = {0x08, 0x00}; /* field 1 (phase) = 0, explicitly */
        g_free(bytes);
        return g_bytes_new_static(phase_open, sizeof(phase_open));
    }
    return g_bytes_new_take(bytes, length);
}

static void
add_store_record(GPtrArray *records, const char *prefix, const char *id, GBytes *value)
{
    struct ms_store_record *record = g_new0(struct ms_store_record, 1);
    snprintf(record->key, sizeof(record->key), "%s%s", prefix, id);
    record->value = value;
    g_ptr_array_add(records, record);
}

void
ms_engine_store_dirty_jobs(struct ms_engine *engine, bool all)
{
    struct ms_engine_action *action = ms_engine_push_action(engine, MS_ENGINE_STORE, NULL);
    size_t bytes = 0;
    bool more_urgent = false;
    action->records = g_ptr_array_new();
    MS_LIST_FOREACH(link, &engine->dirty)
    {
        struct ms_batch_job *job = MS_CONTAINER_OF(link, struct ms_batch_job, dirty_link);
        if (!all && !job->store_urgent) {
            continue;
        }
        if (bytes > STORE_BYTES_MAX) {
            more_urgent = engine->dirty_urgent;
            break;
        }
        ms_list_remove(&job->dirty_link);
        job->store_urgent = false;
        if (job->removing) {
            add_store_record(action->records, MS_KEY_CANCEL, job->id, NULL);
            add_store_record(action->records, MS_KEY_STATE, job->id, NULL);
            add_store_record(action->records, MS_KEY_JOB, job->id, NULL);
            /* The job table owns the spec and frees it once the removal is read back. */
            ms_engine_remove_job(engine, job);
            continue;
        }
        job->store_pending = true;
        g_ptr_array_add(engine->storing, job);
        GBytes *value = pack_job_state(engine, job);
        bytes += g_bytes_get_size(value);
        add_store_record(action->records, MS_KEY_STATE, job->id, value);
    }
    engine->store_pending = true;
    engine->dirty_urgent = more_urgent;
    if (!ms_list_is_empty(&engine->dirty)) {
        return; /* ends_storing stays: ends of the remaining jobs are not stored yet */
    }
    struct ms_batch_server *server = NULL;
    /* The others have no end that is not stored, and a lease that is NORMAL. */
    for (uint32_t i = 0; (server = ms_attention_next(engine, i)) != NULL; i = server->index + 1) {
        server->ends_storing = server->ends_seen;
        server->unfreeze_storing = server->lease_state == MS_LEASE_UNFREEZING;
    }
}

/*
 * Freezes the lease of SERVER, the server of a task of JOB, if the leader of the epoch before
 * has done so, for this incarnation of it: only then has nobody extended it since.  FIELDS
 * (enum server_field) was read at READ_AT.  The state is stored again without delay, as the next
 * leader relies on it only if this one has written it.
 */
static void
restore_frozen_lease(struct ms_engine *engine, struct ms_batch_job *job,
                     struct ms_batch_server *server, char **fields, int64_t read_at)
{
    bool same_start =
        server->entry.start_unix_ms == 0 ||
        server->entry.start_unix_ms == g_ascii_strtoll(fields[SERVER_START], NULL, 10);
    if (!same_start ||
        g_ascii_strtoull(fields[SERVER_FROZEN_EPOCH], NULL, 10) + 1 != engine->epoch) {
        return;
    }
    ms_batch_server_freeze_lease(server,
                                 read_at + g_ascii_strtoll(fields[SERVER_LEASE_LEFT_MS], NULL, 10));
    ms_engine_mark_dirty(engine, job, true);
}

/*
 * A record names the incarnation of SERVER that started at START_UNIX_MS, 0: none.  If the
 * directory or another record names another one, the first report decides which it is.
 */
static void
set_restored_start(struct ms_batch_server *server, int64_t start_unix_ms)
{
    int64_t known_unix_ms = server->entry.start_unix_ms;
    server->start_disputed |=
        start_unix_ms != 0 && known_unix_ms != 0 && start_unix_ms != known_unix_ms;
    if (server->start_disputed) {
        server->entry.start_unix_ms = 0;
    }
    else if (known_unix_ms == 0) {
        server->entry.start_unix_ms = start_unix_ms;
    }
}

/*
 * Assigns TASK to the server SERVER_REF of its record, which was read at READ_AT, and says whether
 * the server had CONFIRMED the start, or had only ANSWERED it.
 */
static void
restore_active(struct ms_engine *engine, struct ms_batch_task *task, const char *server_ref,
               int64_t read_at, bool confirmed, bool answered)
{
    char **fields = g_strsplit(server_ref, "/", 0);
    guint count = g_strv_length(fields);
    int64_t start_unix_ms =
        count > SERVER_START ? g_ascii_strtoll(fields[SERVER_START], NULL, 10) : 0;
    struct ms_batch_server *server =
        ms_engine_get_or_add_server(engine, count > SERVER_ID ? fields[SERVER_ID] : "");
    if (count > SERVER_LEASE_LEFT_MS) {
        restore_frozen_lease(engine, ms_batch_task_job(task), server, fields, read_at);
    }
    set_restored_start(server, start_unix_ms);
    if (server->start_disputed && !confirmed) {
        ms_batch_server_expect_late_start(engine, server); /* it has started again, it seems */
    }
    /*
     * The run may exist, even if the server has restarted since: an order may have reached
     * its new incarnation.  The first report of the server decides.
     */
    ms_batch_task_assign(engine, task, server);
    task->state = MS_BATCH_TASK_STARTING;
    engine->orders.to_come--;
    task->awaits_report = true;
    task->start_confirmed = confirmed;
    task->order_unanswered = !confirmed; /* as far as this leader knows */
    server->earlier_start_uncertain |= !confirmed;
    if (!confirmed && !answered) {
        ms_late_start_assume(engine, task, server);
    }
    g_strfreev(fields);
}

/* Restores the tasks of OCCURRENCE; STATE, read at READ_AT, is the record that contains RECORD. */
static void
restore_occurrence(struct ms_engine *engine, struct ms_batch_occurrence *occurrence,
                   const Ms__Batch__OccurrenceRecord *record, const Ms__Batch__StateRecord *state,
                   int64_t read_at)
{
    const struct ms_batch_spec *spec = occurrence->job->spec;
    size_t index = 0;
    for (size_t s = 0; s < spec->step_count; s++) {
        for (uint32_t k = 0; k < spec->steps[s].task_count; k++, index++) {
            struct ms_batch_task *task = &occurrence->steps[s].tasks[k];
            if (!record->complete && index >= record->status.len) {
                return;
            }
            if (record->complete || record->status.data[index] == STORED_DONE) {
                ms_batch_task_release(engine, task, MS_BATCH_TASK_DONE);
                continue;
            }
            if (index < record->n_run && index < record->n_failures) {
                task->run = record->run[index];
                task->failures = record->failures[index];
            }
            if (index < record->n_failed_run) {
                task->failed_run = record->failed_run[index];
            }
            for (size_t i = 0; i < MS_LOST_RUNS_MAX; i++) {
                size_t position = i * record->n_run + index;
                task->lost_runs[i] = position < record->n_lost_run ? record->lost_run[position] : 0;
            }
            if (index < record->n_checkpoint) {
                g_strlcpy(task->checkpoint, record->checkpoint[index], sizeof(task->checkpoint));
            }
            if (record->status.data[index] == STORED_ACTIVE && index < record->n_server &&
                record->server[index] > 0 && record->server[index] <= state->n_servers) {
                bool confirmed = index < record->confirmed.len && record->confirmed.data[index];
                bool answered = index < record->answered.len && record->answered.data[index];
                restore_active(engine, task, state->servers[record->server[index] - 1], read_at,
                               confirmed, answered);
            }
        }
    }
}

void
ms_engine_restore_job(struct ms_engine *engine, struct ms_batch_job *job, GBytes *state,
                      int64_t read_at)
{
    gsize length = 0;
    const uint8_t *data = g_bytes_get_data(state, &length);
    Ms__Batch__StateRecord *record = ms__batch__state_record__unpack(NULL, length, data);
    if (record == NULL) {
        ms_engine_log_event(engine, "event=state_unreadable id=%s bytes=%zu", job->id, length);
        return;
    }
    for (size_t i = 0; i < record->n_occurrences; i++) {
        const Ms__Batch__OccurrenceRecord *item = record->occurrences[i];
        if (item->number < MS_BATCH_OCCURRENCES_MAX) {
            restore_occurrence(engine, ms_batch_job_get_or_add_occurrence(job, item->number), item,
                               record, read_at);
        }
    }
    ms_late_start_restore(engine, job, record, read_at);
    ms__batch__state_record__free_unpacked(record, NULL);
}
