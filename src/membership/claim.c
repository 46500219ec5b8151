/*
 * claim.c - leader election among the hosts of one data centre.
 */
#include <string.h>

#include <glib.h>

#include "membership/claim.h"

bool
ms_rendezvous_ranks_higher(const char *key, const char *a, const char *b)
{
    char *text_a = g_strdup_printf("%s|%s", key, a);
    char *text_b = g_strdup_printf("%s|%s", key, b);
    char *hash_a = g_compute_checksum_for_string(G_CHECKSUM_SHA256, text_a, -1);
    char *hash_b = g_compute_checksum_for_string(G_CHECKSUM_SHA256, text_b, -1);
    bool ranks_higher = strcmp(hash_a, hash_b) > 0;
    g_free(text_a);
    g_free(text_b);
    g_free(hash_a);
    g_free(hash_b);
    return ranks_higher;
}

const char *
ms_claim_preferred_host(const struct ms_claim_input *view)
{
    const char *preferred = view->draining ? NULL : view->self;
    for (size_t i = 0; i < view->host_count; i++) {
        const struct ms_claim_host *host = &view->hosts[i];
        if (!host->alive || host->draining) {
            continue;
        }
        if (preferred == NULL || ms_rendezvous_ranks_higher(view->dc, host->name, preferred)) {
            preferred = host->name;
        }
    }
    return preferred;
}

/* Whether the claim of HOST takes precedence over that of this host. */
static bool
outranks(const struct ms_claim_input *view, const struct ms_claim_host *host)
{
    if (host->epoch != view->epoch) {
        return host->epoch > view->epoch;
    }
    return ms_rendezvous_ranks_higher(view->dc, host->name, view->self);
}

static enum ms_claim_decision
decide_as_leader(const struct ms_claim_input *view)
{
    if (view->draining) {
        return MS_CLAIM_STEP_DOWN;
    }
    if (view->log_epoch > view->epoch && view->log_leader != NULL &&
        strcmp(view->log_leader, view->self) != 0) {
        return MS_CLAIM_STEP_DOWN;
    }
    for (size_t i = 0; i < view->host_count; i++) {
        const struct ms_claim_host *host = &view->hosts[i];
        if (host->alive && host->is_leader && outranks(view, host)) {
            return MS_CLAIM_STEP_DOWN;
        }
    }
    /* A claim that was made without the log needs an epoch record once the log is back. */
    bool confirmed = view->log_leader != NULL && strcmp(view->log_leader, view->self) == 0 &&
                     view->log_epoch == view->epoch;
    return !confirmed && view->log_reachable && !view->epoch_requested ? MS_CLAIM_APPEND_EPOCH
                                                                       : MS_CLAIM_NO_CHANGE;
}

enum ms_claim_decision
ms_claim_decide(const struct ms_claim_input *view)
{
    if (view->is_leader) {
        return decide_as_leader(view);
    }
    if (view->draining || !view->startup_grace_over) {
        return MS_CLAIM_NO_CHANGE;
    }
    /* There is a leader already. */
    for (size_t i = 0; i < view->host_count; i++) {
        const struct ms_claim_host *host = &view->hosts[i];
        if (host->alive && host->is_leader && !host->draining) {
            return MS_CLAIM_NO_CHANGE;
        }
    }
    const char *preferred = ms_claim_preferred_host(view);
    if (preferred == NULL || strcmp(preferred, view->self) != 0) {
        return MS_CLAIM_NO_CHANGE;
    }
    if (!view->log_reachable || (view->epoch_requested && view->epoch_request_overdue)) {
        return MS_CLAIM_WITHOUT_LOG;
    }
    return view->epoch_requested ? MS_CLAIM_NO_CHANGE : MS_CLAIM_APPEND_EPOCH;
}
