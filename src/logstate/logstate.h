/*
 * logstate.h - replicated state built from the records of the platform's log.
 *
 * Every host applies the same records in offset order and therefore has the
 * same state: rules, run tokens, accepted jobs, outcomes, and the leader of each
 * data centre.  Does no I/O.  Not thread-safe.
 *
 * The version of an item is the offset of the record that last changed it, plus
 * one; 0 means "none".
 */
#ifndef MS_LOGSTATE_H
#define MS_LOGSTATE_H

#include <glib.h>

#include "config/rules_file.h"
#include "wire/inner.pb-c.h"

#define MS_OUTCOMES_MAX 20000                  /* outcomes kept; the oldest are dropped */
#define MS_RULE_HISTORY_MAX 1000               /* rule changes kept for `rules history` */
#define MS_SNAPSHOT_PART_MAX_BYTES (48 * 1024) /* bytes of data in one snapshot record */

/*
 * The current form of one rule.  A removed rule keeps its entry, because later
 * changes of the rule name the version that they replace.
 */
struct ms_rule_entry {
    char key[MS_RULE_KEY_MAX];
    struct ms_rule_line parsed;
    uint64_t version; /* of its last change, including its removal */
    bool removed;
};

/* One change of a rule that was found in the log. */
struct ms_rule_history_entry {
    uint64_t version; /* of the record of the change, whether or not it took effect */
    bool accepted;    /* it took effect; otherwise REASON says why it did not */
    char key[MS_RULE_KEY_MAX];
    char text[MS_RULE_LINE_MAX]; /* the rule line; "" for a removal */
    char requester[MS_RULE_LINE_MAX];
    char reason[MS_DETAIL_MAX]; /* "" when it took effect */
};

/* An accepted job without an outcome. */
struct ms_accepted_job {
    struct ms_job_spec spec;       /* owns its payload; its deadline_ms is not a point in time */
    int64_t remaining_deadline_ms; /* left when the record was written; 0: no deadline */
    char dc[MS_NAME_MAX];          /* data centre that runs the job */
    uint64_t version;
};

/* The leader of a data centre, as of the last claim in the log. */
struct ms_dc_epoch {
    char dc[MS_NAME_MAX];
    char leader[MS_NAME_MAX]; /* host that wrote the claim */
    uint64_t epoch;           /* version of the claim */
};

/* Effect of one record. */
enum ms_applied_kind {
    MS_APPLIED_NO_EFFECT = 0, /* a duplicate or malformed record, for instance */
    MS_APPLIED_RULE,
    MS_APPLIED_RULE_CONFLICT, /* not applied: malformed or based on an outdated version */
    MS_APPLIED_TOKEN,
    MS_APPLIED_TOKEN_CONFLICT, /* another holder has the token, or the job has an outcome */
    MS_APPLIED_ACCEPT,
    MS_APPLIED_ACCEPT_CONFLICT, /* based on an outdated version, or the job has an outcome */
    MS_APPLIED_OUTCOME,
    MS_APPLIED_EPOCH,
    MS_APPLIED_SNAPSHOT, /* a part of a snapshot; changes no item */
};

struct ms_applied_record {
    enum ms_applied_kind kind;
    const Ms__Wire__LogRecord *record; /* valid during the callback only */
    uint64_t version;
};

struct ms_logstate;

struct ms_logstate *ms_logstate_new(void);
void ms_logstate_free(struct ms_logstate *state);

/*
 * Offset of the next record to apply.  It decreases only when an incomplete
 * state is replaced by ms_logstate_restore_snapshot().
 */
uint64_t ms_logstate_next_offset(const struct ms_logstate *state);

/* Whether no record is missing: all were applied from offset 0 or since a snapshot. */
bool ms_logstate_is_complete(const struct ms_logstate *state);

/*
 * Applies the record at OFFSET.  Returns MS_E_CONFLICT when OFFSET is not
 * ms_logstate_next_offset().  A record that cannot be decoded counts as applied and has
 * no effect.  While the state is incomplete, records are deferred and applied
 * once a snapshot has been read.  FUNCTION is called for each decoded record in
 * order when it is applied, also if it has no effect; it may be NULL.  It is
 * called twice for the record that completes a snapshot that is restored.
 */
enum ms_result
ms_logstate_apply(struct ms_logstate *state, uint64_t offset, const uint8_t *bytes, size_t length,
                  void (*function)(void *opaque, const struct ms_applied_record *applied),
                  void *opaque);

/*
 * Continues at OFFSET because the log has no earlier records any more.  Returns
 * true when records were missed, so that a snapshot is needed.
 */
bool ms_logstate_skip_to(struct ms_logstate *state, uint64_t offset);

/*
 * Packs the state, without the rule history.  The caller frees the result with
 * g_byte_array_unref().
 */
GByteArray *ms_logstate_pack_snapshot(const struct ms_logstate *state);

/*
 * Replaces the state by a packed snapshot unless the state is complete and at
 * least as new; then it returns MS_E_CONFLICT.  Returns MS_E_INVALID when the
 * bytes cannot be decoded.
 */
enum ms_result ms_logstate_restore_snapshot(struct ms_logstate *state, const uint8_t *bytes,
                                            size_t length);

/* The newest complete snapshot in the log is the state before this offset; 0: no snapshot. */
uint64_t ms_logstate_newest_snapshot_offset(const struct ms_logstate *state);

/* Look-ups; NULL when absent.  Valid until the next change of the state. */
const struct ms_rule_entry *ms_logstate_rule(const struct ms_logstate *state, const char *key);
const Ms__Wire__Token *ms_logstate_token(const struct ms_logstate *state, const char *id);
const struct ms_accepted_job *ms_logstate_accepted_job(const struct ms_logstate *state,
                                                       const char *id);
const Ms__Wire__Outcome *ms_logstate_outcome(const struct ms_logstate *state, const char *id);
const struct ms_dc_epoch *ms_logstate_epoch(const struct ms_logstate *state, const char *dc);

/* Version of the last change of any guarantee, or of any rule; 0: none. */
uint64_t ms_logstate_guarantees_version(const struct ms_logstate *state);
uint64_t ms_logstate_rules_version(const struct ms_logstate *state);

/* Whether a rule takes the data centre DC out of service. */
bool ms_logstate_dc_is_out(const struct ms_logstate *state, const char *dc);

/*
 * All rules that are not removed, sorted by key.  The caller frees the array but
 * not its items, which are struct ms_rule_entry.
 */
GPtrArray *ms_logstate_active_rules(const struct ms_logstate *state);

/*
 * Ids of all accepted jobs without an outcome.  The caller frees the array but
 * not its items, which are strings.
 */
GPtrArray *ms_logstate_accepted_job_ids(const struct ms_logstate *state);

/* Changes of rules, oldest first; items are struct ms_rule_history_entry. */
const GQueue *ms_logstate_rule_history(const struct ms_logstate *state);

/* Number of items kept, for metrics. */
struct ms_logstate_counts {
    size_t rules;
    size_t tokens;
    size_t accepted_jobs;
    size_t outcomes;
};
void ms_logstate_counts(const struct ms_logstate *state, struct ms_logstate_counts *counts);

#endif
