/*
 * claim.h - which host places the work of a data centre.
 *
 * One host at a time claims its data centre under an epoch.  The epoch is the
 * version of a record in the platform's log, so a later claim is higher.
 * Where the log cannot be reached a host claims under the last known epoch;
 * backend servers then let it in only after the old holder's leases lapsed.
 * Pure: no I/O, no clock.
 */
#ifndef MS_CLAIM_H
#define MS_CLAIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Another host of the same data centre. */
struct ms_claim_host {
    const char *name;
    bool alive;
    bool draining;
    bool claims;
    uint64_t epoch; /* of its claim */
};

struct ms_claim_view {
    const char *self;
    const char *dc;
    const struct ms_claim_host *hosts;
    size_t host_count;
    bool draining; /* this host is shutting down */
    bool settled;  /* others had the time to be heard since the start */
    bool log_reachable;
    bool claims;          /* this host claims now */
    uint64_t epoch;       /* of that claim */
    bool asked;           /* an epoch record of this host is on its way */
    bool asked_too_long;  /* ... for longer than the log usually takes */
    const char *log_host; /* holder of the last epoch in the log, or NULL */
    uint64_t log_epoch;
};

enum ms_claim_decision {
    MS_CLAIM_STAY = 0,
    MS_CLAIM_ASK,       /* append an epoch record */
    MS_CLAIM_TENTATIVE, /* claim under the last known epoch */
    MS_CLAIM_STEP_DOWN,
};

enum ms_claim_decision ms_claim_decide(const struct ms_claim_view *view);

/*
 * The host that is to claim DC: the live one with the highest rendezvous hash
 * (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
 * IEEE/ACM Transactions on Networking 1998).
 */
const char *ms_claim_winner(const struct ms_claim_view *view);

/* Whether A's hash for KEY is above B's. */
bool ms_rendezvous_above(const char *key, const char *a, const char *b);

#endif
