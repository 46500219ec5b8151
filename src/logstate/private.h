/*
 * private.h - the struct behind logstate.h.
 */
#ifndef MS_LOGSTATE_PRIVATE_H
#define MS_LOGSTATE_PRIVATE_H

#include "logstate/logstate.h"

/* Parts of a snapshot that is being read from the log. */
struct ms_part_set {
    uint64_t as_of;
    uint32_t parts;
    uint32_t received;
    GByteArray **data; /* `parts` items, NULL where missing */
};

/* A record that waits for a snapshot. */
struct ms_held_record {
    uint64_t offset;
    GBytes *bytes;
};

struct ms_logstate {
    uint64_t next;
    bool complete;  /* nothing before `next` is missing */
    uint64_t begin; /* first offset that was read after a gap */
    uint64_t guarantees_version;
    uint64_t rules_version; /* of the last rule change that was taken */
    uint64_t snapshot_offset;
    GHashTable *rules;     /* key -> ms_rule_entry */
    GHashTable *tokens;    /* id -> Ms__Wire__Token, owned */
    GHashTable *accepts;   /* id -> ms_accept_entry */
    GHashTable *dones;     /* id -> Ms__Wire__Outcome, owned */
    GQueue *done_order;    /* ids, oldest first; strings owned here */
    GHashTable *epochs;    /* data centre -> ms_epoch_entry */
    GQueue *history;       /* ms_history_entry */
    GHashTable *part_sets; /* publisher -> ms_part_set */
    GQueue *held;          /* ms_held_record, while not complete */
};

void ms_part_set_free(void *set);
void ms_token_free(void *token);
void ms_outcome_free(void *outcome);
void ms_accept_free(void *accept);
Ms__Wire__Token *ms_token_copy(const Ms__Wire__Token *token);
Ms__Wire__Outcome *ms_outcome_copy(const Ms__Wire__Outcome *outcome);
void ms_logstate_put_done(struct ms_logstate *state, const Ms__Wire__Outcome *outcome);
struct ms_accept_entry *ms_accept_new(const Ms__Wire__Accept *accept, uint64_t version);
void ms_accept_to_wire(const struct ms_accept_entry *entry, Ms__Wire__Accept *accept,
                       Ms__Wire__Spec *spec);
void ms_logstate_clear(struct ms_logstate *state);

/* Takes one part; true when a whole snapshot was restored with it. */
bool ms_snapshot_take_part(struct ms_logstate *state, const Ms__Wire__SnapshotPart *part);

#endif
