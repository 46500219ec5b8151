/*
 * job_table.h - contents of the keyed log: stored jobs, their states, the entry hosts and the
 * leader.
 *
 * The leader is the one entry host that places tasks.  Every entry host maintains this
 * table by following one keyed stream of the platform's log.  Keys:
 *
 *     lead     the leader and its epoch (LeadRecord)
 *     j/ID     a job as accepted (JobRecord); all records of a job are equal
 *     c/ID     the job was cancelled (its value has no meaning)
 *     s/ID     the job's state (StateRecord); only the leader writes it
 *     e/ID/..  a job that was not in the log is cancelled (EarlyCancelRecord, early_cancels.h)
 *     h/NAME   an entry host is up (HostRecord); the host writes it periodically
 *
 * A record without a value removes its key.  Applying a record twice, or an accepted job
 * or a cancellation late, changes nothing.
 */
#ifndef MS_BATCH_JOB_TABLE_H
#define MS_BATCH_JOB_TABLE_H

#include <glib.h>

#include "batch/early_cancels.h"
#include "batch/job_spec.h"

#define MS_KEY_LEADER "lead"
#define MS_KEY_JOB "j/"
#define MS_KEY_CANCEL "c/"
#define MS_KEY_STATE "s/"
#define MS_KEY_HOST "h/"
#define MS_KEYED_LOG_KEY_MAX 64 /* bytes of a record's key, with its NUL */
#define MS_LEADER_NAME_MAX 96   /* bytes of ms_leader.name, with its NUL */

/* Phase of a stored job; the numbers are stored. */
enum ms_phase {
    MS_PHASE_OPEN = 0, /* not ended */
    MS_PHASE_SUCCEEDED,
    MS_PHASE_FAILED,
    MS_PHASE_CANCELLED,
};

/* A job, as known from the records read so far; these may arrive in any order. */
struct ms_stored_job {
    char id[MS_JOB_ID_MAX];
    bool accepted; /* its JobRecord was read, so `spec` is set */
    struct ms_batch_spec spec;
    bool cancelled;
    enum ms_phase phase; /* from the newest StateRecord; see also ms_stored_job_phase() */
    bool started;        /* a server has started a task of it; from the newest StateRecord */
    GBytes *state;       /* newest StateRecord in its stored form, or NULL */
    /* Set by the owner of the table, on its own clock, not by ms_job_table_apply(). */
    int64_t accepted_read_at; /* when its specification was read, 0: not known */
    int64_t state_read_at;    /* when `state` was read */
    uint32_t snapshot_number; /* newest snapshot, or records after it, that had the job */
};

/* Kind of a LeadRecord; the numbers are stored. */
enum ms_leader_record_kind {
    MS_LEADER_CLAIM = 0, /* valid if its epoch is one above the current one, or there was none */
    MS_LEADER_RENEW,     /* the leader is alive */
    MS_LEADER_RESIGN,    /* the leader has stopped placing tasks */
};

/* The current leader.  `name` is "" if there is none. */
struct ms_leader {
    /*
     * "HOST/START", where START is the process's start in Unix us; a host with little CPU time
     * appends MS_LOW_CPU_SUFFIX (entry/private.h).
     */
    char name[MS_LEADER_NAME_MAX];
    uint64_t epoch;
    bool resigned;
};

#define MS_HOST_ADDRESS_MAX 64 /* bytes of "IP:PORT", with its NUL */

/* An entry host. */
struct ms_entry_host {
    char name[MS_NAME_MAX];
    char address[MS_HOST_ADDRESS_MAX]; /* where it accepts requests of callers */
    char dc[MS_NAME_MAX];
    char region[MS_NAME_MAX];
    /* Set by the owner of the table, on its own clock, not by ms_job_table_apply(). */
    int64_t last_seen_at;     /* when its last record was read */
    int64_t no_forward_until; /* no requests are forwarded to it before */
    uint32_t snapshot_number; /* as that of a job */
};

struct ms_job_table {
    GHashTable *jobs;  /* id -> ms_stored_job */
    GHashTable *hosts; /* name -> ms_entry_host */
    struct ms_early_cancels *early_cancels;
    struct ms_leader leader;
    uint32_t snapshot_number; /* number of snapshots that were begun */
};

/* What a record has changed in the table. */
enum ms_table_change {
    MS_CHANGED_NOTHING = 0,
    MS_CHANGED_ACCEPTED,
    MS_CHANGED_CANCELLED,
    MS_CHANGED_STATE,
    MS_CHANGED_LEADER,
    MS_CHANGED_EARLY_CANCEL, /* the item's key follows MS_KEY_EARLY_CANCEL; it has no job yet */
    MS_CHANGED_HOST,         /* the host's name follows MS_KEY_HOST in the record's key */
    MS_CHANGED_UNREADABLE,   /* the record is malformed and was ignored */
};

struct ms_job_table *ms_job_table_new(void);
void ms_job_table_free(struct ms_job_table *table);

/*
 * Applies one record; an empty VALUE removes the key.  *JOB is set to the job if the
 * result is MS_CHANGED_ACCEPTED, MS_CHANGED_CANCELLED or MS_CHANGED_STATE.
 */
enum ms_table_change ms_job_table_apply(struct ms_job_table *table, const char *key,
                                        const uint8_t *value, size_t length,
                                        struct ms_stored_job **job);

/*
 * Starts a snapshot of all keys, whose records are then applied.  ms_job_table_end_snapshot()
 * drops the jobs and hosts of which it had no record: their removal was missed.  Returns the
 * number of jobs that were dropped.
 */
void ms_job_table_begin_snapshot(struct ms_job_table *table);
guint ms_job_table_end_snapshot(struct ms_job_table *table);

/* The job, or NULL; owned by the table. */
struct ms_stored_job *ms_job_table_find(const struct ms_job_table *table, const char *id);

/* Phase that callers see: an open job that was cancelled counts as cancelled at once. */
enum ms_phase ms_stored_job_phase(const struct ms_stored_job *job);

/* The number of accepted open jobs of QUEUE of which no task was assigned to a server yet. */
uint32_t ms_job_table_count_waiting(const struct ms_job_table *table, const char *queue);

/* Encodes the HostRecord of HOST; UNIX_MS is the time of day.  Freed with g_free(). */
uint8_t *ms_host_record_pack(const struct ms_entry_host *host, int64_t unix_ms, size_t *length);

/* Encodes a LeadRecord of the leader NAME (see struct ms_leader); freed with g_free(). */
uint8_t *ms_leader_record_pack(const char *name, uint64_t epoch, enum ms_leader_record_kind kind,
                               size_t *length);

#endif
