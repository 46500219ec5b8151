/*
 * account.h - what the tasks of each client account use over all servers, and its cap.
 *
 * The engine adds the resources of a task when it assigns the task to a server, also one that
 * is restored from the log, and subtracts them when the task leaves its server.  They
 * therefore include all that may run: starts that are stored but not ordered, orders without
 * an answer, runs being stopped, and runs on servers that do not answer until their leases
 * have expired.
 */
#ifndef MS_BATCH_ACCOUNT_H
#define MS_BATCH_ACCOUNT_H

#include "batch/policy.h"
#include "core/list.h"

/* A client account with at least one stored job. */
struct ms_batch_account {
    char name[MS_NAME_MAX];             /* "": jobs of callers without a key */
    const struct ms_account_rule *rule; /* from the current policy, or NULL */
    struct ms_resources allocated;      /* of its tasks that are assigned to a server */
    struct ms_list_link jobs; /* struct ms_batch_job, known ones by arrival, also ended ones */
    bool jobs_unsorted;       /* JOBS are to be sorted, and their virtual arrivals computed */
    int64_t relative_share;   /* of the last pass, see account_order.h; only with weights */
};

/* Looks up the rule of ACCOUNT in POLICY, which may be NULL and has to outlive the rule. */
void ms_account_set_policy(struct ms_batch_account *account, const struct ms_policy *policy);

#endif
