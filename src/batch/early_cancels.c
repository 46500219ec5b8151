/*
 * early_cancels.c - the stored cancellations of jobs that are not in the log; see early_cancels.h.
 */
#include "batch/early_cancels.h"

#include <string.h>

#include "wire/batch.pb-c.h"

struct ms_early_cancels {
    GHashTable *by_key; /* owns the items */
    GHashTable *by_id;  /* job id -> GPtrArray of items */
};

static void
free_items(gpointer items)
{
    g_ptr_array_unref(items);
}

struct ms_early_cancels *
ms_early_cancels_new(void)
{
    struct ms_early_cancels *cancels = g_new0(struct ms_early_cancels, 1);
    cancels->by_key = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    cancels->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_items);
    return cancels;
}

void
ms_early_cancels_free(struct ms_early_cancels *cancels)
{
    if (cancels == NULL) {
        return;
    }
    g_hash_table_destroy(cancels->by_id);
    g_hash_table_destroy(cancels->by_key);
    g_free(cancels);
}

bool
ms_early_cancel_key(const char *id, const struct ms_early_cancel_scope *scope,
                    char out[MS_EARLY_CANCEL_KEY_MAX])
{
    /* No name has a line feed; the item itself says which queue and account it is of. */
    char *text = g_strdup_printf("%s\n%s\n%d", scope->queue, scope->account, scope->any_account);
    int length =
        g_snprintf(out, MS_EARLY_CANCEL_KEY_MAX, "%s/%08x", id, (unsigned int)g_str_hash(text));
    g_free(text);
    return strlen(id) < MS_JOB_ID_MAX && length < MS_EARLY_CANCEL_KEY_MAX;
}

uint8_t *
ms_early_cancel_pack(const char *id, const struct ms_early_cancel_scope *scope, size_t *length)
{
    Ms__Batch__EarlyCancelRecord record = MS__BATCH__EARLY_CANCEL_RECORD__INIT;
    record.id = (char *)id;
    record.queue = (char *)scope->queue;
    record.account = (char *)scope->account;
    record.any_account = scope->any_account;
    *length = ms__batch__early_cancel_record__get_packed_size(&record);
    uint8_t *bytes = g_malloc(*length + 1);
    ms__batch__early_cancel_record__pack(&record, bytes);
    return bytes;
}

/* Adds ITEM to the items of its job. */
static void
add_to_job(struct ms_early_cancels *cancels, struct ms_early_cancel *item)
{
    GPtrArray *items = g_hash_table_lookup(cancels->by_id, item->id);
    if (items == NULL) {
        items = g_ptr_array_new();
        g_hash_table_insert(cancels->by_id, g_strdup(item->id), items);
    }
    g_ptr_array_add(items, item);
}

struct ms_early_cancel *
ms_early_cancels_apply(struct ms_early_cancels *cancels, const char *key, const uint8_t *value,
                       size_t length, uint32_t snapshot_number)
{
    Ms__Batch__EarlyCancelRecord *record =
        ms__batch__early_cancel_record__unpack(NULL, length, value);
    if (record == NULL || strlen(key) >= MS_EARLY_CANCEL_KEY_MAX ||
        strlen(record->id) >= MS_JOB_ID_MAX || strlen(record->queue) >= MS_NAME_MAX ||
        strlen(record->account) >= MS_NAME_MAX) {
        ms__batch__early_cancel_record__free_unpacked(record, NULL);
        return NULL;
    }
    struct ms_early_cancel *item = g_hash_table_lookup(cancels->by_key, key);
    if (item == NULL) {
        item = g_new0(struct ms_early_cancel, 1);
        g_strlcpy(item->key, key, sizeof(item->key));
        g_strlcpy(item->id, record->id, sizeof(item->id));
        g_strlcpy(item->queue, record->queue, sizeof(item->queue));
        g_strlcpy(item->account, record->account, sizeof(item->account));
        item->any_account = record->any_account;
        g_hash_table_insert(cancels->by_key, item->key, item);
        add_to_job(cancels, item);
    }
    item->snapshot_number = snapshot_number;
    ms__batch__early_cancel_record__free_unpacked(record, NULL);
    return item;
}

void
ms_early_cancels_remove(struct ms_early_cancels *cancels, const char *key)
{
    struct ms_early_cancel *item = g_hash_table_lookup(cancels->by_key, key);
    if (item == NULL) {
        return;
    }
    GPtrArray *items = g_hash_table_lookup(cancels->by_id, item->id);
    g_ptr_array_remove(items, item);
    if (items->len == 0) {
        g_hash_table_remove(cancels->by_id, item->id);
    }
    g_hash_table_remove(cancels->by_key, item->key);
}

void
ms_early_cancels_drop_missing(struct ms_early_cancels *cancels, uint32_t snapshot_number)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
    g_hash_table_iter_init(&iterator, cancels->by_key);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct ms_early_cancel *item = value;
        if (item->snapshot_number != snapshot_number) {
            g_ptr_array_add(keys, g_strdup(item->key));
        }
    }
    for (guint i = 0; i < keys->len; i++) {
        ms_early_cancels_remove(cancels, g_ptr_array_index(keys, i));
    }
    g_ptr_array_unref(keys);
}

void
ms_early_cancels_note_read(struct ms_early_cancels *cancels, const char *key, int64_t now)
{
    struct ms_early_cancel *item = g_hash_table_lookup(cancels->by_key, key);
    if (item != NULL && item->read_at == 0) {
        item->read_at = now;
    }
}

bool
ms_early_cancels_contain(const struct ms_early_cancels *cancels, const char *key)
{
    return g_hash_table_contains(cancels->by_key, key);
}

bool
ms_early_cancels_match(const struct ms_early_cancels *cancels, const char *id,
                       const struct ms_batch_spec *spec)
{
    const GPtrArray *items = g_hash_table_lookup(cancels->by_id, id);
    for (guint i = 0; items != NULL && i < items->len; i++) {
        const struct ms_early_cancel *item = g_ptr_array_index(items, i);
        if (strcmp(item->queue, spec->queue) == 0 &&
            (item->any_account || strcmp(item->account, spec->account) == 0)) {
            return true;
        }
    }
    return false;
}

uint32_t
ms_early_cancels_count(const struct ms_early_cancels *cancels, const char *account)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    uint32_t count = 0;
    g_hash_table_iter_init(&iterator, cancels->by_key);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct ms_early_cancel *item = value;
        count += strcmp(item->account, account) == 0;
    }
    return count;
}

void
ms_early_cancels_find_old(const struct ms_early_cancels *cancels, int64_t read_before,
                          GPtrArray *found)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, cancels->by_key);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct ms_early_cancel *item = value;
        if (item->read_at < read_before) {
            g_ptr_array_add(found, item);
        }
    }
}
