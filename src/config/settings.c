/*
 * settings.c - parser of the settings file of mustardspreadd.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "config/address.h"
#include "config/settings.h"
#include "config/toml_json.h"

#define DAY_MS (24LL * 3600 * 1000)

/* A required text setting: its key, the place of its field and its format. */
struct text_setting {
    const char *key;
    size_t offset;   /* of the field in struct ms_settings */
    size_t size;     /* of the field, in bytes */
    bool is_address; /* "IP:PORT" */
};

/* An optional number setting: its key, the place of its field, default and range. */
struct number_setting {
    const char *key;
    size_t offset;    /* of the field in struct ms_settings */
    int64_t fallback; /* value when the key is missing */
    int64_t min;
    int64_t max;
    const char *unit; /* for error messages */
    bool is_u32;      /* the field is a uint32_t, not an int64_t */
};

/*
 * Entries of the tables below.  The name of the field is also the key in the file.
 * LIMIT and LIMIT_U32 are for fields of `limits`.
 */
#define TEXT(name, address)                                                                        \
    {                                                                                              \
#name, offsetof(struct ms_settings, name), sizeof(((struct ms_settings *)0)->name),        \
            address                                                                                \
    }
#define NUMBER(name, fallback, min, max, unit)                                                     \
    {                                                                                              \
#name, offsetof(struct ms_settings, name), fallback, min, max, unit, false                 \
    }
#define LIMIT(name, fallback, min, max, unit)                                                      \
    {                                                                                              \
#name, offsetof(struct ms_settings, limits.name), fallback, min, max, unit, false          \
    }
#define LIMIT_U32(name, fallback, min, max, unit)                                                  \
    {                                                                                              \
#name, offsetof(struct ms_settings, limits.name), fallback, min, max, unit, true           \
    }

static const struct text_setting text_settings[] = {
    TEXT(name, false),          TEXT(dc, false),          TEXT(region, false),
    TEXT(caller_address, true), TEXT(peer_address, true), TEXT(platform_url, false),
};

static const struct number_setting number_settings[] = {
    NUMBER(heartbeat_ms, 500, 50, 10000, "milliseconds"),
    NUMBER(host_timeout_ms, 2000, 200, 60000, "milliseconds"),
    NUMBER(sync_wait_ms, 1000, 50, 10000, "milliseconds"),
    NUMBER(server_timeout_ms, 2000, 200, 60000, "milliseconds"),
    NUMBER(log_poll_ms, 1000, 50, 30000, "milliseconds"),
    NUMBER(append_timeout_ms, 1000, 50, 60000, "milliseconds"),
    NUMBER(host_list_ms, 2000, 100, 60000, "milliseconds"),
    NUMBER(snapshot_records, 2000, 10, 10000000, "records"),
    NUMBER(log_retention_ms, DAY_MS, 1000, 400 * DAY_MS, "milliseconds"),
    NUMBER(drain_ms, 30000, 100, 3600000, "milliseconds"),
    NUMBER(rehome_ms, 30000, 1000, 3600000, "milliseconds"),
    LIMIT(lease_ms, 3000, 500, 60000, "milliseconds"),
    LIMIT(gang_start_ms, 2000, 100, 60000, "milliseconds"),
    LIMIT(checkpoint_ms, 1500, 0, 600000, "milliseconds"),
    LIMIT(retry_base_ms, 100, 1, 60000, "milliseconds"),
    LIMIT(retry_max_ms, 10000, 1, 3600000, "milliseconds"),
    LIMIT(quarantine_ms, 10000, 100, 3600000, "milliseconds"),
    LIMIT(backfill_wait_ms, 2000, 0, 3600000, "milliseconds"),
    LIMIT_U32(attempts_max, 6, 1, 1000, "attempts"),
    LIMIT_U32(job_fail_servers, 3, 1, 8, "servers"),
    LIMIT_U32(server_fail_jobs, 3, 1, 8, "jobs"),
    LIMIT_U32(queue_max, 2000, 1, 1000000, "jobs"),
    LIMIT_U32(recent_max, 4096, 1, 1000000, "outcomes"),
};

/* Reads one setting into its field of SETTINGS. */
static enum ms_result
read_text(json_t *root, const struct text_setting *setting, struct ms_settings *settings,
          char *error, size_t size)
{
    json_t *value = json_object_get(root, setting->key);
    char *field = (char *)settings + setting->offset;
    if (!json_is_string(value) || json_string_length(value) == 0) {
        snprintf(error, size, "%s: must be a non-empty string", setting->key);
        return MS_E_INVALID;
    }
    if (g_strlcpy(field, json_string_value(value), setting->size) >= setting->size) {
        snprintf(error, size, "%s: must be at most %zu bytes long", setting->key,
                 setting->size - 1);
        return MS_E_INVALID;
    }
    struct sockaddr_in address;
    if (setting->is_address && !ms_address_parse(field, &address)) {
        snprintf(error, size, "%s: must be IP:PORT, not %s", setting->key, field);
        return MS_E_INVALID;
    }
    return MS_OK;
}

/* Reads one setting, or its default, into its field of SETTINGS. */
static enum ms_result
read_number(json_t *root, const struct number_setting *setting, struct ms_settings *settings,
            char *error, size_t size)
{
    json_t *value = json_object_get(root, setting->key);
    int64_t number = setting->fallback;
    if (value != NULL) {
        number = json_is_integer(value) ? json_integer_value(value) : INT64_MIN;
    }
    if (number < setting->min || number > setting->max) {
        snprintf(error, size,
                 "%s: must be a whole number of %s from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
                 setting->key, setting->unit, setting->min, setting->max);
        return MS_E_INVALID;
    }
    char *field = (char *)settings + setting->offset;
    if (setting->is_u32) {
        uint32_t number_u32 = (uint32_t)number;
        memcpy(field, &number_u32, sizeof(number_u32));
    }
    else {
        memcpy(field, &number, sizeof(number));
    }
    return MS_OK;
}

/* Whether KEY is a key of the settings file. */
static bool
is_known_key(const char *key)
{
    for (size_t i = 0; i < G_N_ELEMENTS(text_settings); i++) {
        if (strcmp(text_settings[i].key, key) == 0) {
            return true;
        }
    }
    for (size_t i = 0; i < G_N_ELEMENTS(number_settings); i++) {
        if (strcmp(number_settings[i].key, key) == 0) {
            return true;
        }
    }
    return strcmp(key, "peer") == 0;
}

/*
 * Copies the text KEY of TABLE, the [[peer]] table with the given INDEX, to OUT.
 * Returns false and writes ERROR if it is missing, empty or too long.
 */
static bool
read_peer_text(json_t *table, const char *key, char *out, size_t out_size, size_t index,
               char *error, size_t size)
{
    const char *value = json_string_value(json_object_get(table, key));
    if (value == NULL || value[0] == '\0' || g_strlcpy(out, value, out_size) >= out_size) {
        snprintf(error, size, "peer %zu: %s: must be a string of 1 to %zu bytes", index + 1, key,
                 out_size - 1);
        return false;
    }
    return true;
}

static enum ms_result
read_peers(json_t *root, struct ms_settings *settings, char *error, size_t size)
{
    json_t *array = json_object_get(root, "peer");
    size_t index = 0;
    json_t *table = NULL;
    if (array == NULL) {
        return MS_OK;
    }
    if (!json_is_array(array) || json_array_size(array) > MS_PEERS_MAX) {
        snprintf(error, size, "peer: must be at most %d [[peer]] tables", MS_PEERS_MAX);
        return MS_E_INVALID;
    }
    settings->peers = g_new0(struct ms_peer_setting, json_array_size(array) + 1);
    json_array_foreach(array, index, table)
    {
        struct ms_peer_setting *peer = &settings->peers[index];
        if (!read_peer_text(table, "name", peer->name, sizeof(peer->name), index, error, size) ||
            !read_peer_text(table, "dc", peer->dc, sizeof(peer->dc), index, error, size) ||
            !read_peer_text(table, "region", peer->region, sizeof(peer->region), index, error,
                            size) ||
            !read_peer_text(table, "address", peer->address, sizeof(peer->address), index, error,
                            size)) {
            return MS_E_INVALID;
        }
        struct sockaddr_in address;
        if (!ms_address_parse(peer->address, &address)) {
            snprintf(error, size, "peer %zu: address: must be IP:PORT", index + 1);
            return MS_E_INVALID;
        }
        settings->peer_count++;
    }
    return MS_OK;
}

/* Checks the relations between settings. */
static enum ms_result
check_relations(const struct ms_settings *settings, char *error, size_t size)
{
    if (settings->server_timeout_ms >= settings->limits.lease_ms) {
        snprintf(error, size,
                 "server_timeout_ms: must be below lease_ms, so that a server counts "
                 "as lost before its leases expire");
        return MS_E_INVALID;
    }
    if (settings->sync_wait_ms >= settings->server_timeout_ms) {
        snprintf(error, size, "sync_wait_ms: must be below server_timeout_ms");
        return MS_E_INVALID;
    }
    if (settings->host_timeout_ms < 2 * settings->heartbeat_ms) {
        snprintf(error, size, "host_timeout_ms: must be at least twice heartbeat_ms");
        return MS_E_INVALID;
    }
    if (settings->limits.retry_max_ms < settings->limits.retry_base_ms) {
        snprintf(error, size, "retry_max_ms: must be at least retry_base_ms");
        return MS_E_INVALID;
    }
    return MS_OK;
}

static enum ms_result
read_settings(json_t *root, struct ms_settings *settings, char *error, size_t size)
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
    for (size_t i = 0; i < G_N_ELEMENTS(text_settings); i++) {
        if (read_text(root, &text_settings[i], settings, error, size) != MS_OK) {
            return MS_E_INVALID;
        }
    }
    for (size_t i = 0; i < G_N_ELEMENTS(number_settings); i++) {
        if (read_number(root, &number_settings[i], settings, error, size) != MS_OK) {
            return MS_E_INVALID;
        }
    }
    if (read_peers(root, settings, error, size) != MS_OK) {
        return MS_E_INVALID;
    }
    return check_relations(settings, error, size);
}

enum ms_result
ms_settings_parse(const char *text, struct ms_settings *settings, char *error, size_t size)
{
    json_error_t json_error;
    memset(settings, 0, sizeof(*settings));
    char *json_text = ms_toml_to_json(text, error, size);
    if (json_text == NULL) {
        return MS_E_INVALID;
    }
    json_t *root = json_loads(json_text, 0, &json_error);
    free(json_text);
    if (!json_is_object(root)) {
        snprintf(error, size, "the settings are not a table");
        json_decref(root);
        return MS_E_INVALID;
    }
    enum ms_result result = read_settings(root, settings, error, size);
    json_decref(root);
    if (result != MS_OK) {
        ms_settings_clear(settings);
    }
    return result;
}

void
ms_settings_clear(struct ms_settings *settings)
{
    g_free(settings->peers);
    settings->peers = NULL;
    settings->peer_count = 0;
}
