/*
 * early_cancels.h - cancellations of jobs that the log does not have when they are acknowledged.
 *
 * The submission of such a job may still be on its way: at a host that stands still, or as an
 * append without an answer.  The cancellation is stored under a key of its own and applies to
 * the job if that is accepted later: it is cancelled from the beginning.  It names the queue and
 * the client account, so that nobody can keep out another account's job.
 */
#ifndef MS_BATCH_EARLY_CANCELS_H
#define MS_BATCH_EARLY_CANCELS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "batch/job_spec.h"

#define MS_KEY_EARLY_CANCEL "e/"   /* followed by an item's key */
#define MS_EARLY_CANCEL_KEY_MAX 56 /* bytes of an item's key, with its NUL */

/* Whose job is cancelled. */
struct ms_early_cancel_scope {
    const char *queue;
    const char *account; /* of the caller, "" for one without a key */
    bool any_account;    /* the queue is open to callers without a key: any account's job */
};

/* One stored cancellation. */
struct ms_early_cancel {
    char key[MS_EARLY_CANCEL_KEY_MAX]; /* "ID/HASH", HASH of the queue and the account */
    char id[MS_JOB_ID_MAX];
    char queue[MS_NAME_MAX];
    char account[MS_NAME_MAX];
    bool any_account;
    int64_t read_at; /* set by the owner of the table, on its own clock */
    uint32_t snapshot_number;
};

struct ms_early_cancels;

struct ms_early_cancels *ms_early_cancels_new(void);
void ms_early_cancels_free(struct ms_early_cancels *cancels);

/* Writes the key of the cancellation of job ID in SCOPE to OUT; false: ID is too long. */
bool ms_early_cancel_key(const char *id, const struct ms_early_cancel_scope *scope,
                         char out[MS_EARLY_CANCEL_KEY_MAX]);
/* Encodes the record of that cancellation; freed with g_free(). */
uint8_t *ms_early_cancel_pack(const char *id, const struct ms_early_cancel_scope *scope,
                              size_t *length);

/* Applies a record under KEY, without a prefix; returns the item, or NULL if it is unreadable. */
struct ms_early_cancel *ms_early_cancels_apply(struct ms_early_cancels *cancels, const char *key,
                                               const uint8_t *value, size_t length,
                                               uint32_t snapshot_number);
void ms_early_cancels_remove(struct ms_early_cancels *cancels, const char *key);
/* Drops the items of other snapshots than SNAPSHOT_NUMBER. */
void ms_early_cancels_drop_missing(struct ms_early_cancels *cancels, uint32_t snapshot_number);

/* The item KEY was read at NOW; only the first time counts. */
void ms_early_cancels_note_read(struct ms_early_cancels *cancels, const char *key, int64_t now);
bool ms_early_cancels_contain(const struct ms_early_cancels *cancels, const char *key);
/* Whether an item cancels the job ID with SPEC. */
bool ms_early_cancels_match(const struct ms_early_cancels *cancels, const char *id,
                            const struct ms_batch_spec *spec);
/* The number of items of ACCOUNT. */
uint32_t ms_early_cancels_count(const struct ms_early_cancels *cancels, const char *account);
/* Adds to FOUND (struct ms_early_cancel, not owned) the items read before READ_BEFORE. */
void ms_early_cancels_find_old(const struct ms_early_cancels *cancels, int64_t read_before,
                               GPtrArray *found);

#endif
