/*
 * settings.h - settings of the daemon mustardspreadd.  They are read from a TOML
 * file, which docs/SETTINGS.md describes.
 */
#ifndef MS_SETTINGS_H
#define MS_SETTINGS_H

#include "mustardspread/mustardspread.h"

#define MS_ADDRESS_MAX 128 /* bytes of "IP:PORT" or a base URL, including the NUL */
#define MS_PEERS_MAX 512   /* largest number of [[peer]] tables */

/*
 * Another host of the system, from a [[peer]] table of the file.  Such hosts are
 * known before the first read of the platform's host list.
 */
struct ms_peer_setting {
    char name[MS_NAME_MAX];
    char dc[MS_NAME_MAX];
    char region[MS_NAME_MAX];
    char address[MS_ADDRESS_MAX]; /* its peer_address, IP:PORT */
};

/*
 * Field names, those of `limits` included, are the keys of the file; `peers` holds
 * its [[peer]] tables.
 */
struct ms_settings {
    char name[MS_NAME_MAX];              /* of this host */
    char dc[MS_NAME_MAX];                /* data centre of this host */
    char region[MS_NAME_MAX];            /* region of the data centre */
    char caller_address[MS_ADDRESS_MAX]; /* IP:PORT to listen on for callers (HTTP) */
    char peer_address[MS_ADDRESS_MAX];   /* IP:PORT to listen on for other hosts */
    char platform_url[MS_ADDRESS_MAX];   /* base URL of the platform */
    int64_t heartbeat_ms;                /* interval of heartbeats between hosts */
    int64_t host_timeout_ms;   /* time without a message after which a host counts as failed */
    int64_t sync_wait_ms;      /* longest time that a server delays its answer to a renewal */
    int64_t server_timeout_ms; /* time without an answer after which a server counts as lost */
    int64_t log_poll_ms;       /* longest time that a read of the log waits for records */
    int64_t append_timeout_ms; /* time limit of an append to the log */
    int64_t host_list_ms;      /* interval of reads of the host list */
    int64_t snapshot_records;  /* records since the last snapshot that cause a new one */
    int64_t log_retention_ms;  /* how long the platform keeps records */
    int64_t drain_ms;          /* time limit of a graceful shutdown */
    int64_t rehome_ms; /* time without contact after which a data centre's jobs are relocated */
    struct ms_sched_limits limits;
    struct ms_peer_setting *peers;
    size_t peer_count;
};

/*
 * Parses and checks the TEXT of a settings file.  On success fills SETTINGS; the
 * caller frees its contents with ms_settings_clear().  On MS_E_INVALID, ERROR
 * (SIZE bytes) names the line, or the key with its unit and range.
 */
enum ms_result ms_settings_parse(const char *text, struct ms_settings *settings, char *error,
                                 size_t size);

/* Frees what SETTINGS owns, but not the struct itself. */
void ms_settings_clear(struct ms_settings *settings);

#endif
