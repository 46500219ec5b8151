/*
 * account_gauges.c - gauges of client accounts; see account_gauges.h.
 */
#include "obs/account_gauges.h"

/* Name and help text in the Prometheus format; names get the prefix "mustardspread_account_". */
struct description {
    const char *name;
    const char *help;
};

static const struct description descriptions[MS_ACCOUNT_GAUGE_COUNT] = {
    [MS_ACCOUNT_USED_CPU_MILLIS] = {"used_cpu_millis", "Thousandths of a core in use"},
    [MS_ACCOUNT_USED_MEMORY_MB] = {"used_memory_mb", "Memory in use"},
    [MS_ACCOUNT_USED_ACCELS] = {"used_accels", "Accelerators in use"},
    [MS_ACCOUNT_CAP_CPU_MILLIS] = {"cap_cpu_millis",
                                   "Limit of thousandths of a core in use, 0: none"},
    [MS_ACCOUNT_CAP_MEMORY_MB] = {"cap_memory_mb", "Limit of the memory, 0: none"},
    [MS_ACCOUNT_CAP_ACCELS] = {"cap_accels", "Limit of accelerators, 0: none"},
    [MS_ACCOUNT_TASKS_WAITING] = {"tasks_waiting", "Tasks that are ready and not placed"},
    [MS_ACCOUNT_UNITS_DELAYED_BY_CAP] = {"units_delayed_by_cap",
                                         "Gangs and groups of tasks that the cap delays"},
};

/* Appends VALUE of a label, with the characters escaped that the format requires. */
static void
append_label_value(GString *text, const char *value)
{
    for (const char *c = value; *c != '\0'; c++) {
        if (*c == '\n') {
            g_string_append(text, "\\n");
            continue;
        }
        if (*c == '"' || *c == '\\') {
            g_string_append_c(text, '\\');
        }
        g_string_append_c(text, *c);
    }
}

char *
ms_account_gauges_format(const struct ms_account_gauges *accounts, size_t count)
{
    GString *text = g_string_new(NULL);
    count = MIN(count, MS_ACCOUNT_GAUGES_ROWS_MAX);
    for (int i = 0; count > 0 && i < MS_ACCOUNT_GAUGE_COUNT; i++) {
        const struct description *description = &descriptions[i];
        g_string_append_printf(text,
                               "# HELP mustardspread_account_%s %s\n"
                               "# TYPE mustardspread_account_%s gauge\n",
                               description->name, description->help, description->name);
        for (size_t k = 0; k < count; k++) {
            g_string_append_printf(text, "mustardspread_account_%s{account=\"", description->name);
            append_label_value(text, accounts[k].account);
            g_string_append_printf(text, "\"} %" G_GINT64_FORMAT "\n", accounts[k].values[i]);
        }
    }
    return g_string_free(text, FALSE);
}
