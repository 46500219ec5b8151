/*
 * policy.h - the operators' rules for stored jobs: queues, accounts and API keys.
 * One version of the rules is in force at a time.
 */
#ifndef MS_BATCH_POLICY_H
#define MS_BATCH_POLICY_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "batch/job_spec.h"
#include "mustardspread/mustardspread.h"

#define MS_PATH_MAX 256 /* bytes of a queue's path prefix, with its NUL */

struct ms_queue_rule {
    char name[MS_NAME_MAX];
    char host[MS_PATH_MAX];        /* host name of the request, without a port */
    char path_prefix[MS_PATH_MAX]; /* of the request; the longest match selects the queue */
    char service[MS_NAME_MAX];     /* service name of the backend servers that run its tasks */
    uint32_t priority;     /* 0 is the top priority; a task may preempt those of larger numbers */
    uint32_t failures_max; /* failed runs of a task before the job fails */
    /* A job should take at most `stretch` times its critical path, plus `target_ms`. */
    double stretch;
    int64_t target_ms;
    bool allow_anonymous; /* accepts requests without an API key */
    bool uses_advice;     /* the advice service selects the servers for each step */
    /* If USES_ADVICE: the time of one call to it, and how long a ticket is valid after that. */
    int64_t advice_decide_ms;
    int64_t advice_each_ms; /* for each server that the call names */
    int64_t ticket_valid_ms;
};

struct ms_account_rule {
    char name[MS_NAME_MAX];
    char **keys;               /* API keys, NULL-terminated */
    int64_t guaranteed_accels; /* accelerators for its jobs of the top priority */
    struct ms_resources cap;   /* most that its tasks may use over all servers; 0: no limit */
    uint32_t weight; /* its share while capacity is short, and jobs a second; 0: not set */
};

struct ms_policy {
    uint64_t version;
    struct ms_queue_rule *queues;
    size_t queue_count;
    struct ms_account_rule *accounts;
    size_t account_count;
};

/* Frees POLICY with its queues and accounts, all allocated with GLib; NULL is ignored. */
void ms_policy_free(struct ms_policy *policy);

/*
 * The queue that serves HOST (compared without case; a port is ignored) and PATH, or NULL.
 * The queue with the longest matching prefix wins, the first one of equal length.
 */
const struct ms_queue_rule *ms_policy_find_route(const struct ms_policy *policy, const char *host,
                                                 const char *path);

/* The queue called NAME, or NULL. */
const struct ms_queue_rule *ms_policy_find_queue(const struct ms_policy *policy, const char *name);

/* The account with the API key KEY, or NULL. */
const struct ms_account_rule *ms_policy_find_account_by_key(const struct ms_policy *policy,
                                                            const char *key);

/* The account called NAME, or NULL. */
const struct ms_account_rule *ms_policy_find_account(const struct ms_policy *policy,
                                                     const char *name);

#endif
