/*
 * policy.c - look-ups in the operators' rules for stored jobs.
 */
#include <string.h>

#include "batch/policy.h"

void
ms_policy_free(struct ms_policy *policy)
{
    if (policy == NULL) {
        return;
    }
    for (size_t i = 0; i < policy->account_count; i++) {
        g_strfreev(policy->accounts[i].keys);
    }
    g_free(policy->accounts);
    g_free(policy->queues);
    g_free(policy);
}

const struct ms_queue_rule *
ms_policy_find_route(const struct ms_policy *policy, const char *host, const char *path)
{
    const struct ms_queue_rule *best = NULL;
    size_t best_length = 0;
    size_t host_length = strcspn(host, ":");
    for (size_t i = 0; i < policy->queue_count; i++) {
        const struct ms_queue_rule *queue = &policy->queues[i];
        size_t length = strlen(queue->path_prefix);
        if (strlen(queue->host) == host_length &&
            g_ascii_strncasecmp(queue->host, host, host_length) == 0 &&
            strncmp(queue->path_prefix, path, length) == 0 &&
            (best == NULL || length > best_length)) {
            best = queue;
            best_length = length;
        }
    }
    return best;
}

const struct ms_queue_rule *
ms_policy_find_queue(const struct ms_policy *policy, const char *name)
{
    for (size_t i = 0; i < policy->queue_count; i++) {
        if (strcmp(policy->queues[i].name, name) == 0) {
            return &policy->queues[i];
        }
    }
    return NULL;
}

const struct ms_account_rule *
ms_policy_find_account_by_key(const struct ms_policy *policy, const char *key)
{
    for (size_t i = 0; i < policy->account_count; i++) {
        if (g_strv_contains((const gchar *const *)policy->accounts[i].keys, key)) {
            return &policy->accounts[i];
        }
    }
    return NULL;
}

const struct ms_account_rule *
ms_policy_find_account(const struct ms_policy *policy, const char *name)
{
    for (size_t i = 0; i < policy->account_count; i++) {
        if (strcmp(policy->accounts[i].name, name) == 0) {
            return &policy->accounts[i];
        }
    }
    return NULL;
}
