/*
 * logstate.h - the state that the records of the platform's log add up to.
 *
 * Every host applies the same records in offset order and so holds the same
 * state: rules, run tokens, accepted jobs, outcomes, and which host places the
 * work of each data centre.  No I/O.  One thread at a time.
 *
 * Versions are log offsets plus one, so that 0 means "none".
 */
#ifndef MS_LOGSTATE_H
#define MS_LOGSTATE_H

#include <glib.h>

#include "config/rules.h"
#include "wire/inner.pb-c.h"

#define MS_DONE_MAX 20000                /* outcomes kept; the oldest go first */
#define MS_HISTORY_MAX 1000              /* rule changes kept for `rules history` */
#define MS_SNAPSHOT_PART_MAX (48 * 1024) /* bytes of one part in the log */

/* One rule as it stands. */
struct ms_rule_entry {
    char key[MS_RULE_KEY_MAX];
    struct ms_rule_line line;
    uint64_t version; /* of its last change, also when that removed it */
    bool removed;
};

struct ms_history_entry {
    uint64_t version; /* of the change itself, taken or not */
    bool taken;       /* false: another change came first */
    char key[MS_RULE_KEY_MAX];
    char text[MS_RULE_LINE_MAX];
    char requester[MS_RULE_LINE_MAX];
    char reason[MS_DETAIL_MAX]; /* why it was not taken */
};

struct ms_accept_entry {
    struct ms_job_spec spec; /* owns its payload */
    int64_t deadline_left_ms;
    char dc[MS_NAME_MAX];
    uint64_t version;
};

struct ms_epoch_entry {
    char dc[MS_NAME_MAX];
    char host[MS_NAME_MAX];
    uint64_t number;
};

/* What one record did. */
enum ms_applied_kind {
    MS_APPLIED_NOTHING = 0, /* a double, or a record that came too late */
    MS_APPLIED_RULE,
    MS_APPLIED_RULE_LOST, /* another change of the rule came first */
    MS_APPLIED_TOKEN,
    MS_APPLIED_TOKEN_LOST,
    MS_APPLIED_ACCEPT,
    MS_APPLIED_ACCEPT_LOST,
    MS_APPLIED_DONE,
    MS_APPLIED_EPOCH,
    MS_APPLIED_SNAPSHOT,
};

struct ms_applied {
    enum ms_applied_kind kind;
    const Ms__Wire__LogRecord *record;
    uint64_t version;
};

struct ms_logstate;

struct ms_logstate *ms_logstate_new(void);
void ms_logstate_free(struct ms_logstate *state);

/* Offset of the next record to apply; only ever rises. */
uint64_t ms_logstate_next(const struct ms_logstate *state);

/* Whether the state is complete: read from offset 0 or from a snapshot. */
bool ms_logstate_complete(const struct ms_logstate *state);

/*
 * Applies the record at OFFSET, which must be ms_logstate_next().  A record
 * that cannot be decoded counts as applied and does nothing.  While no
 * snapshot has been found in a log whose beginning is gone, records are kept
 * and applied once one is.  CALLBACK is called for each record that takes
 * effect, in order; it may be NULL.
 */
enum ms_result ms_logstate_apply(struct ms_logstate *state, uint64_t offset, const uint8_t *bytes,
                                 size_t length,
                                 void (*callback)(void *opaque, const struct ms_applied *applied),
                                 void *opaque);

/*
 * Says that the log now begins at OFFSET, so that reading goes on from there.
 * Returns true when records were missed and a snapshot is needed.
 */
bool ms_logstate_skip_to(struct ms_logstate *state, uint64_t offset);

/* Packs the whole state; the caller frees it with g_byte_array_unref(). */
GByteArray *ms_logstate_snapshot(const struct ms_logstate *state);

/*
 * Replaces the state by a packed snapshot if that is newer.  Returns
 * MS_E_CONFLICT when the present state is as new, MS_E_INVALID when the bytes
 * cannot be decoded.
 */
enum ms_result ms_logstate_restore(struct ms_logstate *state, const uint8_t *bytes, size_t length);

/* Offset that the newest complete snapshot in the log stands for, or 0. */
uint64_t ms_logstate_snapshot_offset(const struct ms_logstate *state);

/* Look-ups; NULL when absent.  Valid until the next change of the state. */
const struct ms_rule_entry *ms_logstate_rule(const struct ms_logstate *state, const char *key);
const Ms__Wire__Token *ms_logstate_token(const struct ms_logstate *state, const char *id);
const struct ms_accept_entry *ms_logstate_accept(const struct ms_logstate *state, const char *id);
const Ms__Wire__Outcome *ms_logstate_done(const struct ms_logstate *state, const char *id);
const struct ms_epoch_entry *ms_logstate_epoch(const struct ms_logstate *state, const char *dc);
uint64_t ms_logstate_guarantees_version(const struct ms_logstate *state);
uint64_t ms_logstate_rules_version(const struct ms_logstate *state);
bool ms_logstate_dc_out(const struct ms_logstate *state, const char *dc);

/* All rules in force, by key; entries are struct ms_rule_entry. */
GPtrArray *ms_logstate_rules(const struct ms_logstate *state);

/* Ids of all accepted jobs without an outcome. */
GPtrArray *ms_logstate_accepted_ids(const struct ms_logstate *state);

/* Changes of rules, oldest first; entries are struct ms_history_entry. */
const GQueue *ms_logstate_history(const struct ms_logstate *state);

/* Number of items kept, for metrics. */
struct ms_logstate_counts {
    size_t rules;
    size_t tokens;
    size_t accepts;
    size_t dones;
};
void ms_logstate_counts(const struct ms_logstate *state, struct ms_logstate_counts *counts);

#endif
