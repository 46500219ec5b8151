/*
 * claim.h - leader election among the hosts of one data centre.
 *
 * The leader places the work of the data centre.  A host becomes the leader by
 * appending an epoch record to the platform's log and reading it back.  The
 * version of that record (its log offset plus one) is the epoch of the claim,
 * so a later claim has a higher epoch.
 *
 * While the log cannot be reached, a host claims leadership under the last
 * known epoch.  Backend servers then accept it only after the leases of the
 * previous leader have expired.
 *
 * No I/O and no clock.
 */
#ifndef MS_CLAIM_H
#define MS_CLAIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Another host of the same data centre, as its last heartbeat describes it. */
struct ms_claim_host {
    const char *name;
    bool alive;
    bool draining;
    bool is_leader; /* it reports that it is the leader */
    uint64_t epoch; /* of its claim */
};

/* What the decision is based on. */
struct ms_claim_input {
    const char *self;
    const char *dc;
    const struct ms_claim_host *hosts;
    size_t host_count;
    bool draining;           /* this host is shutting down */
    bool startup_grace_over; /* since this host started, heartbeats of all live hosts had time to
                                arrive */
    bool log_reachable;
    bool is_leader;       /* this host is the leader now */
    uint64_t epoch;       /* of its claim */
    bool epoch_requested; /* this host appended an epoch record and has not read it back yet */
    bool epoch_request_overdue; /* ... and more time has passed than the log usually takes */
    const char *log_leader;     /* leader according to the last epoch record, or NULL */
    uint64_t log_epoch;         /* number of that epoch, or 0 */
};

enum ms_claim_decision {
    MS_CLAIM_NO_CHANGE = 0, /* no change: remain the leader, or remain without a claim */
    MS_CLAIM_APPEND_EPOCH,  /* append an epoch record */
    MS_CLAIM_WITHOUT_LOG,   /* become the leader under the last known epoch, without the log */
    MS_CLAIM_STEP_DOWN,     /* stop being the leader */
};

/* Decides what this host does next; it has no side effects. */
enum ms_claim_decision ms_claim_decide(const struct ms_claim_input *view);

/*
 * Name of the host that should become the leader when there is none: the live
 * host, not draining, with the highest rendezvous hash for the data centre
 * (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
 * IEEE/ACM Transactions on Networking 1998).  NULL when there is no such host;
 * otherwise the name points into VIEW.
 */
const char *ms_claim_preferred_host(const struct ms_claim_input *view);

/* Whether the rendezvous hash of host A for KEY is higher than that of host B. */
bool ms_rendezvous_ranks_higher(const char *key, const char *a, const char *b);

#endif
