/*
 * settings.c - settings of mustardspread-entryd.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "config/toml_json.h"
#include "entry/settings.h"

/* A setting that is a string, and where it is stored in struct ms_entry_settings. */
struct text_key {
    const char *key;
    size_t offset;
    size_t size;       /* of the field, with the NUL */
    bool may_be_empty; /* or absent */
};

/* A setting that is a number from `min` to `max`; its field is an int64_t. */
struct number_key {
    const char *key;
    size_t offset;
    int64_t min;
    int64_t max;
    const char *unit;
    int64_t fallback; /* when the setting is absent; 0: it must be there */
};

/* A setting that is true or false, false if it is absent; its field is a bool. */
struct flag_key {
    const char *key;
    size_t offset;
};

#define DESCRIPTORS_DEFAULT 4096
/* Descriptors for files, the log, other entry hosts, metrics and the readiness probe. */
#define DESCRIPTORS_RESERVED 264

/* Entries of the tables below for settings whose key is the name of their field. */
#define TEXT(name)                                                                                 \
    {                                                                                              \
#name, offsetof(struct ms_entry_settings, name),                                           \
            sizeof(((struct ms_entry_settings *)0)->name), false                                   \
    }
#define NUMBER(name, min, max, unit)                                                               \
    {                                                                                              \
#name, offsetof(struct ms_entry_settings, name), min, max, unit, 0                         \
    }

static const struct text_key text_keys[] = {
    TEXT(name),
    TEXT(dc),
    TEXT(region),
    TEXT(caller_address),
    TEXT(ready_address),
    TEXT(metrics_address),
    TEXT(log_address),
    {"advice_address", offsetof(struct ms_entry_settings, advice_address), MS_ADDRESS_MAX, true},
};

static const struct number_key number_keys[] = {
    NUMBER(key_age_max_ms, 1000, 600000, "milliseconds"),
    NUMBER(lease_max_ms, 1000, 600000, "milliseconds"),
    NUMBER(gang_start_max_ms, 500, 600000, "milliseconds"),
    NUMBER(stop_grace_ms, 0, 600000, "milliseconds"),
    NUMBER(unknown_after_ms, 100, 600000, "milliseconds"),
    {"state_kept_s", offsetof(struct ms_entry_settings, ended_retention_s), 1, 1000000, "seconds",
     0},
    NUMBER(shutdown_s, 1, 3600, "seconds"),
    {"descriptors_max", offsetof(struct ms_entry_settings, descriptors_max), 512, 1000000,
     "file descriptors", DESCRIPTORS_DEFAULT},
};

static const struct flag_key flag_keys[] = {
    {"weigh_slow_stops", offsetof(struct ms_entry_settings, weigh_slow_stops)},
    {"compress_records", offsetof(struct ms_entry_settings, compress_records)},
};

static bool
is_known_key(const char *key)
{
    for (size_t i = 0; i < G_N_ELEMENTS(text_keys); i++) {
        if (strcmp(key, text_keys[i].key) == 0) {
            return true;
        }
    }
    for (size_t i = 0; i < G_N_ELEMENTS(number_keys); i++) {
        if (strcmp(key, number_keys[i].key) == 0) {
            return true;
        }
    }
    for (size_t i = 0; i < G_N_ELEMENTS(flag_keys); i++) {
        if (strcmp(key, flag_keys[i].key) == 0) {
            return true;
        }
    }
    return strcmp(key, "cpu_share") == 0;
}

/* Checks the values of the JSON object ROOT and stores them in SETTINGS. */
static enum ms_result
read_values(json_t *root, struct ms_entry_settings *settings, char *error, size_t size)
{
    const char *key = NULL;
    json_t *value = NULL;
    json_object_foreach(root, key, value)
    {
        if (!is_known_key(key)) {
            snprintf(error, size, "%s: unknown setting", key);
            return MS_E_INVALID;
        }
    }
    for (size_t i = 0; i < G_N_ELEMENTS(text_keys); i++) {
        const char *text = json_string_value(json_object_get(root, text_keys[i].key));
        char *field = (char *)settings + text_keys[i].offset;
        if (text_keys[i].may_be_empty && (text == NULL || text[0] == '\0')) {
            continue;
        }
        if (text == NULL || text[0] == '\0' ||
            g_strlcpy(field, text, text_keys[i].size) >= text_keys[i].size) {
            snprintf(error, size, "%s: must be a string of 1 to %zu bytes", text_keys[i].key,
                     text_keys[i].size - 1);
            return MS_E_INVALID;
        }
    }
    for (size_t i = 0; i < G_N_ELEMENTS(number_keys); i++) {
        const struct number_key *number = &number_keys[i];
        const json_t *given = json_object_get(root, number->key);
        double parsed = given != NULL ? json_number_value(given) : (double)number->fallback;
        bool missing = given == NULL && number->fallback == 0;
        if (missing || (given != NULL && !json_is_number(given)) || parsed < (double)number->min ||
            parsed > (double)number->max) {
            snprintf(error, size,
                     "%s: must be a number from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT " %s",
                     number->key, number->min, number->max, number->unit);
            return MS_E_INVALID;
        }
        *(int64_t *)(void *)((char *)settings + number->offset) = (int64_t)parsed;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(flag_keys); i++) {
        const json_t *given = json_object_get(root, flag_keys[i].key);
        if (given != NULL && !json_is_boolean(given)) {
            snprintf(error, size, "%s: must be true or false", flag_keys[i].key);
            return MS_E_INVALID;
        }
        *(bool *)(void *)((char *)settings + flag_keys[i].offset) = json_is_true(given);
    }
    settings->cpu_cores = json_number_value(json_object_get(root, "cpu_share"));
    if (settings->cpu_cores <= 0.0) {
        snprintf(error, size, "cpu_share: must be a number of cores above 0");
        return MS_E_INVALID;
    }
    return MS_OK;
}

enum ms_result
ms_entry_settings_parse(const char *text, struct ms_entry_settings *settings, char *error,
                        size_t size)
{
    memset(settings, 0, sizeof(*settings));
    char *json = ms_toml_to_json(text, error, size);
    if (json == NULL) {
        return MS_E_INVALID;
    }
    json_t *root = json_loads(json, 0, NULL);
    free(json);
    enum ms_result result = read_values(root, settings, error, size);
    json_decref(root);
    return result;
}

unsigned int
ms_entry_caller_connections_max(const struct ms_entry_settings *settings)
{
    return (unsigned int)((settings->descriptors_max - DESCRIPTORS_RESERVED) / 3);
}

long
ms_entry_server_connections_max(const struct ms_entry_settings *settings)
{
    return (long)(settings->descriptors_max - DESCRIPTORS_RESERVED) -
           (long)ms_entry_caller_connections_max(settings);
}
