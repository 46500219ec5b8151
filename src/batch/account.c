/*
 * account.c - client accounts of stored jobs; see account.h.
 */
#include "batch/account.h"

void
ms_account_set_policy(struct ms_batch_account *account, const struct ms_policy *policy)
{
    account->rule = policy != NULL ? ms_policy_find_account(policy, account->name) : NULL;
}
