/*
 * account_order.c - the order between client accounts; see account_order.h.
 */
#include <string.h>

#include <glib.h>

#include "batch/account_order.h"

#define US_PER_MS 1000
#define US_PER_S 1000000

bool
ms_order_has_weights(const struct ms_policy *policy)
{
    for (size_t i = 0; policy != NULL && i < policy->account_count; i++) {
        if (policy->accounts[i].weight > 0) {
            return true;
        }
    }
    return false;
}

uint32_t
ms_order_weight(const struct ms_account_rule *rule)
{
    return rule != NULL && rule->weight > 0 ? rule->weight : 1;
}

int64_t
ms_order_total_weight(const struct ms_policy *policy)
{
    int64_t total = 0;
    for (size_t i = 0; policy != NULL && i < policy->account_count; i++) {
        total += ms_order_weight(&policy->accounts[i]);
    }
    return total;
}

int64_t
ms_order_virtual_us(int64_t accepted_ms, int64_t previous_us, uint32_t weight)
{
    int64_t arrival_us = accepted_ms * US_PER_MS;
    if (previous_us == INT64_MIN) {
        return arrival_us;
    }
    return MAX(arrival_us, previous_us + US_PER_S / (int64_t)weight);
}

int64_t
ms_order_ahead_ms(int64_t virtual_us, int64_t accepted_ms, int64_t unix_ms, int64_t known_ms)
{
    int64_t virtual_ms = virtual_us / US_PER_MS;
    int64_t ahead_of_clock = virtual_ms - unix_ms;
    int64_t ahead_of_arrival = virtual_ms - accepted_ms - known_ms;
    if (ahead_of_clock > 0 && ahead_of_arrival > 0) {
        return MIN(ahead_of_clock, ahead_of_arrival);
    }
    return MIN(MAX(ahead_of_clock, ahead_of_arrival), 0);
}

/* USED of CAPACITY in thousandths. */
static int64_t
permille(int64_t used, int64_t capacity)
{
    return capacity > 0 ? used * 1000 / capacity : 0;
}

int64_t
ms_order_relative_share(const struct ms_resources *allocated, const struct ms_resources *capacity,
                        uint32_t weight, int64_t total_weight)
{
    int64_t dominant = permille(allocated->cpu_millis, capacity->cpu_millis);
    dominant = MAX(dominant, permille(allocated->memory_mb, capacity->memory_mb));
    dominant = MAX(dominant, permille(allocated->accels, capacity->accels));
    return dominant * total_weight / (int64_t)weight;
}

void
ms_order_classify(struct ms_order_rank *rank, int64_t ahead_ms, int64_t relative_share)
{
    rank->share_step = (uint32_t)(relative_share / MS_ORDER_SHARE_STEP);
    if (ahead_ms > MS_ORDER_AHEAD_MAX_MS) {
        rank->order_class = MS_ORDER_BEYOND_RATE;
    }
    else if (ahead_ms < -MS_ORDER_SHARE_WAIT_MAX_MS) {
        rank->order_class = MS_ORDER_OVERDUE;
        rank->share_step = 0;
    }
    else {
        rank->order_class = MS_ORDER_WITHIN_RATE;
    }
}

static int
compare_int64(int64_t a, int64_t b)
{
    return a < b ? -1 : a > b;
}

int
ms_order_compare(const struct ms_order_rank *a, const struct ms_order_rank *b)
{
    if (a->priority != b->priority) {
        return a->priority < b->priority ? -1 : 1;
    }
    if (a->within_guarantee != b->within_guarantee) {
        return a->within_guarantee ? -1 : 1;
    }
    if (a->order_class != b->order_class) {
        return a->order_class < b->order_class ? -1 : 1;
    }
    if (a->share_step != b->share_step) {
        return a->share_step < b->share_step ? -1 : 1;
    }
    if (a->virtual_us != b->virtual_us) {
        return compare_int64(a->virtual_us, b->virtual_us);
    }
    if (a->accepted_ms != b->accepted_ms) {
        return compare_int64(a->accepted_ms, b->accepted_ms);
    }
    return strcmp(a->id, b->id);
}
