/*
 * account.h - what the tasks of each client account use over all servers, and its cap.
 *
 * The engine adds the resources of a task when it assigns the task to a server, also one that
 * is restored from the log, and subtracts them when the task leaves its server.  They
 * therefore include all that may run: starts that are stored but not ordered, orders without
 * an answer, runs being stopped, and runs on servers that do not answer until their leases
 * have expired.
 *
 * A resource of a cap that is 0 has no limit.
 */
#ifndef MS_BATCH_ACCOUNT_H
#define MS_BATCH_ACCOUNT_H

#include "batch/policy.h"
#include "core/list.h"

/* A client account that has or had a stored job; kept until the engine is freed. */
struct ms_batch_account {
    char name[MS_NAME_MAX];             /* "": jobs of callers without a key */
    const struct ms_account_rule *rule; /* from the current policy, or NULL */
    bool capped;                        /* the rule limits at least one resource */
    struct ms_resources allocated;      /* of its tasks that are assigned to a server */
    struct ms_list_link jobs; /* struct ms_batch_job, known ones by arrival, also ended ones */
    bool jobs_unsorted;       /* JOBS are to be sorted, and their virtual arrivals computed */
    /* Valid within one placement pass only. */
    struct ms_resources releasing; /* of its tasks being stopped on servers that answer */
    struct ms_resources reserved;  /* room under the cap for its units that wait */
    /* Of the last placement pass. */
    uint32_t waiting_tasks; /* ready to be placed, and not placed */
    uint32_t delayed_units; /* units that the cap kept from starting, in whole or in part */
    int64_t relative_share; /* see account_order.h; only with weights */
};

/* Looks up the rule of ACCOUNT in POLICY, which may be NULL and has to outlive the rule. */
void ms_account_set_policy(struct ms_batch_account *account, const struct ms_policy *policy);

/* Whether ACCOUNT uses more of a resource than its cap allows; nothing of it may start then. */
bool ms_account_is_over_cap(const struct ms_batch_account *account);

/* How many tasks that need REQUEST each, at most LIMIT, may start now. */
uint32_t ms_account_max_tasks(const struct ms_batch_account *account,
                              const struct ms_resources *request, uint32_t limit);

/*
 * What ACCOUNT, once its tasks being stopped have ended, lacks for COUNT tasks that need REQUEST
 * each: they fit unless a resource is positive.
 */
struct ms_resources ms_account_missing(const struct ms_batch_account *account,
                                       const struct ms_resources *request, uint32_t count);

/*
 * Reserves room under the cap of ACCOUNT for COUNT tasks that need REQUEST each.  Fails if
 * all that is reserved would then exceed the cap: it could not be used at the same time.
 */
bool ms_account_reserve(struct ms_batch_account *account, const struct ms_resources *request,
                        uint32_t count);

/* Whether STEP fits under CAP if nothing else runs: its whole gang, or one task of it. */
bool ms_account_step_fits(const struct ms_step *step, const struct ms_resources *cap);

/* Whether each step of SPEC fits under the cap of RULE, which may be NULL. */
bool ms_account_job_fits(const struct ms_batch_spec *spec, const struct ms_account_rule *rule);

#endif
