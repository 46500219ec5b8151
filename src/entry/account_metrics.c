/*
 * account_metrics.c - the gauges of client accounts on the metrics address.
 */
#include <string.h>

#include "batch/account.h"
#include "entry/private.h"
#include "obs/account_gauges.h"

/* Orders accounts by whether they have a cap, those first, then by name. */
static gint
compare_accounts(gconstpointer left, gconstpointer right)
{
    const struct ms_batch_account *a = *(const struct ms_batch_account *const *)left;
    const struct ms_batch_account *b = *(const struct ms_batch_account *const *)right;
    if (a->capped != b->capped) {
        return a->capped ? -1 : 1;
    }
    return strcmp(a->name, b->name);
}

static void
fill_gauges(struct ms_account_gauges *gauges, const struct ms_batch_account *account)
{
    static const struct ms_resources no_cap;
    const struct ms_resources *cap = account->rule != NULL ? &account->rule->cap : &no_cap;
    int64_t *values = gauges->values;
    gauges->account = account->name;
    values[MS_ACCOUNT_USED_CPU_MILLIS] = account->allocated.cpu_millis;
    values[MS_ACCOUNT_USED_MEMORY_MB] = account->allocated.memory_mb;
    values[MS_ACCOUNT_USED_ACCELS] = account->allocated.accels;
    values[MS_ACCOUNT_CAP_CPU_MILLIS] = cap->cpu_millis;
    values[MS_ACCOUNT_CAP_MEMORY_MB] = cap->memory_mb;
    values[MS_ACCOUNT_CAP_ACCELS] = cap->accels;
    values[MS_ACCOUNT_TASKS_WAITING] = account->waiting_tasks;
    values[MS_ACCOUNT_UNITS_DELAYED_BY_CAP] = account->delayed_units;
}

void
ms_account_metrics_update(struct ms_entry *entry)
{
    if (entry->engine == NULL) {
        ms_http_frontend_set_account_metrics(entry->http_frontend, NULL);
        return;
    }
    GPtrArray *accounts = ms_engine_accounts(entry->engine);
    g_ptr_array_sort(accounts, compare_accounts);
    guint count = MIN(accounts->len, MS_ACCOUNT_GAUGES_ROWS_MAX);
    struct ms_account_gauges *gauges = g_new0(struct ms_account_gauges, count);
    for (guint i = 0; i < count; i++) {
        fill_gauges(&gauges[i], g_ptr_array_index(accounts, i));
    }
    ms_http_frontend_set_account_metrics(entry->http_frontend,
                                         ms_account_gauges_format(gauges, count));
    g_free(gauges);
    g_ptr_array_unref(accounts);
}
