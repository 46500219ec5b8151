/*
 * account.c - client accounts of stored jobs; see account.h.
 */
#include <glib.h>

#include "batch/account.h"

#define UNLIMITED (INT64_MAX / 4) /* room of a resource without a limit; sums do not overflow */

void
ms_account_set_policy(struct ms_batch_account *account, const struct ms_policy *policy)
{
    account->rule = policy != NULL ? ms_policy_find_account(policy, account->name) : NULL;
    const struct ms_resources *cap = account->rule != NULL ? &account->rule->cap : NULL;
    account->capped = cap != NULL && (cap->cpu_millis > 0 || cap->memory_mb > 0 || cap->accels > 0);
}

/* Whether AMOUNT stays within CAP, in each resource. */
static bool
is_within(const struct ms_resources *cap, const struct ms_resources *amount)
{
    return (cap->cpu_millis <= 0 || amount->cpu_millis <= cap->cpu_millis) &&
           (cap->memory_mb <= 0 || amount->memory_mb <= cap->memory_mb) &&
           (cap->accels <= 0 || amount->accels <= cap->accels);
}

bool
ms_account_is_over_cap(const struct ms_batch_account *account)
{
    return account->capped && !is_within(&account->rule->cap, &account->allocated);
}

/* Room under CAP, one resource, for another task; what is being released is reserved first. */
static int64_t
free_room(int64_t cap, int64_t allocated, int64_t releasing, int64_t reserved)
{
    return cap > 0 ? cap - allocated - MAX(reserved - releasing, 0) : UNLIMITED;
}

/* How many tasks that need REQUEST of one resource each, at most LIMIT, fit into ROOM. */
static uint32_t
count_fitting(int64_t room, int64_t request, uint32_t limit)
{
    if (request <= 0) {
        return limit;
    }
    return (uint32_t)MIN(MAX(room, 0) / request, (int64_t)limit);
}

uint32_t
ms_account_max_tasks(const struct ms_batch_account *account, const struct ms_resources *request,
                     uint32_t limit)
{
    if (!account->capped) {
        return limit;
    }
    if (ms_account_is_over_cap(account)) {
        return 0;
    }
    const struct ms_resources *cap = &account->rule->cap;
    const struct ms_resources *used = &account->allocated;
    const struct ms_resources *releasing = &account->releasing;
    const struct ms_resources *reserved = &account->reserved;
    int64_t cpu =
        free_room(cap->cpu_millis, used->cpu_millis, releasing->cpu_millis, reserved->cpu_millis);
    int64_t memory =
        free_room(cap->memory_mb, used->memory_mb, releasing->memory_mb, reserved->memory_mb);
    int64_t accels = free_room(cap->accels, used->accels, releasing->accels, reserved->accels);
    limit = count_fitting(cpu, request->cpu_millis, limit);
    limit = count_fitting(memory, request->memory_mb, limit);
    return count_fitting(accels, request->accels, limit);
}

/*
 * What is missing of one resource with the limit CAP.  Room that is reserved counts only if the
 * resource is requested.
 */
static int64_t
missing_amount(int64_t cap, int64_t used, int64_t reserved, int64_t request)
{
    if (cap <= 0) {
        return -UNLIMITED;
    }
    return used + request + (request > 0 ? reserved : 0) - cap;
}

struct ms_resources
ms_account_missing(const struct ms_batch_account *account, const struct ms_resources *request,
                   uint32_t count)
{
    if (!account->capped) {
        return (struct ms_resources){-UNLIMITED, -UNLIMITED, -UNLIMITED};
    }
    const struct ms_resources *cap = &account->rule->cap;
    const struct ms_resources *reserved = &account->reserved;
    struct ms_resources used = account->allocated;
    ms_resources_add(&used, &account->releasing, -1);
    return (struct ms_resources){
        missing_amount(cap->cpu_millis, used.cpu_millis, reserved->cpu_millis,
                       request->cpu_millis * count),
        missing_amount(cap->memory_mb, used.memory_mb, reserved->memory_mb,
                       request->memory_mb * count),
        missing_amount(cap->accels, used.accels, reserved->accels, request->accels * count),
    };
}

bool
ms_account_reserve(struct ms_batch_account *account, const struct ms_resources *request,
                   uint32_t count)
{
    struct ms_resources reserved = account->reserved;
    ms_resources_add(&reserved, request, count);
    if (!account->capped || !is_within(&account->rule->cap, &reserved)) {
        return false;
    }
    account->reserved = reserved;
    return true;
}

bool
ms_account_step_fits(const struct ms_step *step, const struct ms_resources *cap)
{
    struct ms_resources need = {0, 0, 0};
    ms_resources_add(&need, &step->task_resources, step->gang ? step->task_count : 1);
    return is_within(cap, &need);
}

bool
ms_account_job_fits(const struct ms_batch_spec *spec, const struct ms_account_rule *rule)
{
    for (size_t i = 0; rule != NULL && i < spec->step_count; i++) {
        if (!ms_account_step_fits(&spec->steps[i], &rule->cap)) {
            return false;
        }
    }
    return true;
}
