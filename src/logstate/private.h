/*
 * private.h - data structures and functions shared by the files of src/logstate.
 */
#ifndef MS_LOGSTATE_PRIVATE_H
#define MS_LOGSTATE_PRIVATE_H

#include "logstate/logstate.h"

/* The parts of a snapshot that have been read from the log so far. */
struct ms_partial_snapshot {
    uint64_t as_of; /* it is the state before the record at this offset */
    uint32_t part_count;
    uint32_t received_count;
    GByteArray **data; /* part_count items, NULL where missing */
};

/* A record that is to be applied once a snapshot has been restored. */
struct ms_deferred_record {
    uint64_t offset;
    GBytes *bytes;
};

struct ms_logstate {
    uint64_t next_offset;          /* offset of the next record */
    bool complete;                 /* see ms_logstate_is_complete() */
    uint64_t gap_end;              /* offset of the first record after the last gap */
    uint64_t guarantees_version;   /* of the last change of a guarantee */
    uint64_t rules_version;        /* of the last change of a rule */
    uint64_t snapshot_offset;      /* highest `as_of` of the complete snapshots in the log */
    GHashTable *rules;             /* key -> ms_rule_entry */
    GHashTable *tokens;            /* job id -> Ms__Wire__Token */
    GHashTable *accepted_jobs;     /* job id -> ms_accepted_job */
    GHashTable *outcomes;          /* job id -> Ms__Wire__Outcome */
    GQueue *outcome_order;         /* job ids of `outcomes`, oldest first */
    GHashTable *epochs;            /* data centre -> ms_dc_epoch */
    GQueue *rule_history;          /* ms_rule_history_entry, oldest first */
    GHashTable *partial_snapshots; /* publisher -> ms_partial_snapshot */
    GQueue *deferred_records;      /* ms_deferred_record, while not complete */
};

/* Free an item; usable as GDestroyNotify. */
void ms_partial_snapshot_free(void *memory);
void ms_token_free(void *token);
void ms_outcome_free(void *outcome);
void ms_accepted_job_free(void *memory);

/* Deep copies, to be freed with ms_token_free() and ms_outcome_free(). */
Ms__Wire__Token *ms_token_copy(const Ms__Wire__Token *token);
Ms__Wire__Outcome *ms_outcome_copy(const Ms__Wire__Outcome *outcome);

/* Adds a copy of OUTCOME and drops the oldest outcomes beyond MS_OUTCOMES_MAX. */
void ms_logstate_add_outcome(struct ms_logstate *state, const Ms__Wire__Outcome *outcome);

/* Copies ACCEPT with its payload.  Returns NULL when its spec is invalid. */
struct ms_accepted_job *ms_accepted_job_new(const Ms__Wire__Accept *accept, uint64_t version);

/* Fills ACCEPT and SPEC, which refer to the strings and the payload of ENTRY. */
void ms_accepted_job_to_wire(const struct ms_accepted_job *entry, Ms__Wire__Accept *accept,
                             Ms__Wire__Spec *spec);

/*
 * Removes all items except the rule history and what was read while the state was
 * incomplete.  Offsets and versions stay as they are.
 */
void ms_logstate_clear(struct ms_logstate *state);

/* Adds one part.  Returns true when it completed a snapshot that was then restored. */
bool ms_snapshot_add_part(struct ms_logstate *state, const Ms__Wire__SnapshotPart *part);

#endif
