/*
 * settings.h - settings of mustardspread-entryd, read from TOML; documented in
 * docs/SETTINGS.md.
 */
#ifndef MS_ENTRY_SETTINGS_H
#define MS_ENTRY_SETTINGS_H

#include "config/settings.h"

/*
 * The names of the fields are the keys of the settings, except for cpu_cores (the key is
 * "cpu_share") and ended_retention_s ("state_kept_s").
 */
struct ms_entry_settings {
    char name[MS_NAME_MAX];
    char dc[MS_NAME_MAX];
    char region[MS_NAME_MAX];
    char caller_address[MS_ADDRESS_MAX];
    char ready_address[MS_ADDRESS_MAX];
    char metrics_address[MS_ADDRESS_MAX];
    char log_address[MS_ADDRESS_MAX];
    char advice_address[MS_ADDRESS_MAX]; /* of the advice service, "" without one */
    int64_t key_age_max_ms;              /* a revoked API key must be refused after this */
    int64_t lease_max_ms;                /* longest lease that a backend server grants */
    int64_t gang_start_max_ms;           /* a server stops a gang that is incomplete after this */
    int64_t stop_grace_ms;               /* longest time that stopping a run takes */
    bool weigh_slow_stops;               /* a stop of a run on a slow server has to pay */
    bool compress_records;               /* jobs and their states are stored compressed */
    int64_t unknown_after_ms;            /* every host knows an accepted job after this */
    double cpu_cores;                    /* CPU cores that this host may use; may be a fraction */
    int64_t ended_retention_s;           /* how long the state of an ended job can be queried */
    int64_t shutdown_s;                  /* time allowed for a graceful shutdown */
    int64_t descriptors_max;             /* file descriptors that this process may open */
};

/*
 * Parses the TOML document TEXT.  On MS_E_INVALID, ERROR (SIZE bytes) says which line or
 * key is wrong and what is expected.
 */
enum ms_result ms_entry_settings_parse(const char *text, struct ms_entry_settings *settings,
                                       char *error, size_t size);

/* How many connections of callers this host accepts at a time. */
unsigned int ms_entry_caller_connections_max(const struct ms_entry_settings *settings);
/* How many connections to backend servers this host opens at a time. */
long ms_entry_server_connections_max(const struct ms_entry_settings *settings);

#endif
