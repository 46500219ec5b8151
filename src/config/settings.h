/*
 * settings.h - the daemon's settings file.  docs/SETTINGS.md is its manual.
 */
#ifndef MS_SETTINGS_H
#define MS_SETTINGS_H

#include "mustardspread/mustardspread.h"

#define MS_ADDRESS_MAX 128 /* bytes of "IP:PORT" or a base URL */
#define MS_PEERS_MAX 512   /* hosts of the system */

/* Another host of the system, known before the platform was ever reached. */
struct ms_peer_setting {
    char name[MS_NAME_MAX];
    char dc[MS_NAME_MAX];
    char region[MS_NAME_MAX];
    char address[MS_ADDRESS_MAX];
};

struct ms_settings {
    char name[MS_NAME_MAX];
    char dc[MS_NAME_MAX];
    char region[MS_NAME_MAX];
    char caller_address[MS_ADDRESS_MAX]; /* IP:PORT to listen on */
    char peer_address[MS_ADDRESS_MAX];   /* IP:PORT to listen on */
    char platform_url[MS_ADDRESS_MAX];
    int64_t heartbeat_ms;      /* between hosts */
    int64_t host_timeout_ms;   /* silence after which a host counts as gone */
    int64_t sync_wait_ms;      /* longest wait of a lease renewal at a server */
    int64_t server_timeout_ms; /* silence after which a server counts as lost */
    int64_t log_poll_ms;       /* longest wait of a read of the log */
    int64_t append_timeout_ms;
    int64_t host_list_ms;     /* between reads of the host list */
    int64_t snapshot_records; /* records after which a snapshot is published */
    int64_t log_retention_ms; /* how long the platform keeps records */
    int64_t drain_ms;         /* longest graceful shutdown */
    int64_t rehome_ms;        /* silence of a data centre before its jobs move */
    struct ms_sched_limits limits;
    struct ms_peer_setting *peers;
    size_t peer_count;
};

/*
 * Reads and checks TEXT.  On success fills SETTINGS, to be cleared with
 * ms_settings_clear().  On MS_E_INVALID ERROR names the line or the key, with
 * its unit and range.
 */
enum ms_result ms_settings_parse(const char *text, struct ms_settings *settings, char *error,
                                 size_t size);

void ms_settings_clear(struct ms_settings *settings);

#endif
