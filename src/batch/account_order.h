/*
 * account_order.h - the order between client accounts of waiting work of one priority.
 *
 * The weight of an account is its guaranteed rate in jobs per second, and its share of the
 * service while capacity is short.  The order uses two values:
 *
 *     virtual arrival   of a job: the later of its arrival and the virtual arrival of the job
 *                       before it of its account plus 1/weight s.  Jobs that arrive faster than
 *                       the account's weight lie ahead of its rate, by the difference between
 *                       their virtual arrival and the present.
 *     relative share    of an account: its dominant share (the largest, over the resources, of
 *                       what its tasks have allocated over the capacity of the usable servers),
 *                       divided by the part of the service that its weight stands for
 *
 * Within one priority, work within its account's guarantee goes first.  Then work that is overdue
 * goes first, by virtual arrival; then other work, by coarse steps of the relative share of its
 * account, then by virtual arrival; and last the work beyond its account's rate, in the same way.
 * Bounds that follow:
 *
 *     Work within the rate of an account below its share does not wait behind work of an account
 *     above its share, except work that is within a guarantee, or has waited for
 *     MS_ORDER_SHARE_WAIT_MAX_MS after its virtual arrival.
 *     Work that is overdue (MS_ORDER_SHARE_WAIT_MAX_MS after its virtual arrival) waits only for
 *     work within a guarantee and for work of its priority with an earlier virtual arrival.  The
 *     latter is finite, so no account starves.
 *
 * Neither value depends on how often a job's tasks are started: a preempted or retried job is
 * charged once.  Both follow from the records of the log and the configuration, so that a
 * new leader arrives at the same order.
 *
 * While no account has a weight, the order is that of arrival.  While some have one, the
 * weight of the others is 1.
 */
#ifndef MS_BATCH_ACCOUNT_ORDER_H
#define MS_BATCH_ACCOUNT_ORDER_H

#include "batch/policy.h"

#define MS_ORDER_WHOLE_SHARE 1000 /* relative share of an account that uses just its part */

/* Work lies beyond its account's rate if it is ahead of it by more than this. */
#define MS_ORDER_AHEAD_MAX_MS 1000

/*
 * Work is overdue, and its account's share no longer counts, this long after its virtual arrival.
 * Waits of accounts with a high share would otherwise have no bound while others' work arrives.
 */
#define MS_ORDER_SHARE_WAIT_MAX_MS 4000

/*
 * Relative shares are compared in steps of this size: accounts below their share are equal, so
 * that small differences do not count.
 */
#define MS_ORDER_SHARE_STEP MS_ORDER_WHOLE_SHARE

/* Work of a lower class goes first. */
enum ms_order_class {
    MS_ORDER_OVERDUE = 0, /* by virtual arrival alone */
    MS_ORDER_WITHIN_RATE,
    MS_ORDER_BEYOND_RATE, /* after all other work of its priority */
};

/* Position of a step among the waiting steps of a placement pass. */
struct ms_order_rank {
    uint32_t priority;
    bool within_guarantee;
    enum ms_order_class order_class;
    uint32_t share_step; /* relative share of its account, in steps of MS_ORDER_SHARE_STEP */
    int64_t virtual_us;  /* virtual arrival of its job, Unix time */
    int64_t accepted_ms; /* arrival of its job, Unix time */
    const char *id;      /* of its job */
};

/* Whether any account of POLICY, which may be NULL, has a weight. */
bool ms_order_has_weights(const struct ms_policy *policy);

/* The weight of the account with RULE, which may be NULL, while some account has one. */
uint32_t ms_order_weight(const struct ms_account_rule *rule);

/* Sum of the weights of all accounts of POLICY. */
int64_t ms_order_total_weight(const struct ms_policy *policy);

/*
 * Virtual arrival in microseconds of a job that arrived at ACCEPTED_MS, after a job of its
 * account with the virtual arrival PREVIOUS_US (INT64_MIN: none).
 */
int64_t ms_order_virtual_us(int64_t accepted_ms, int64_t previous_us, uint32_t weight);

/*
 * Milliseconds by which a job lies ahead of its account's rate at UNIX_MS, negative if it should
 * have been served already.  It has been known for KNOWN_MS.  The clock of the host that accepted
 * it may be wrong: counted from the present and from its arrival, the smaller lead or delay is
 * returned, and 0 if one is a lead and the other a delay.
 */
int64_t ms_order_ahead_ms(int64_t virtual_us, int64_t accepted_ms, int64_t unix_ms,
                          int64_t known_ms);

/* The relative share of an account of WEIGHT, of TOTAL_WEIGHT, that has ALLOCATED of CAPACITY. */
int64_t ms_order_relative_share(const struct ms_resources *allocated,
                                const struct ms_resources *capacity, uint32_t weight,
                                int64_t total_weight);

/* Sets the class and the share step of RANK. */
void ms_order_classify(struct ms_order_rank *rank, int64_t ahead_ms, int64_t relative_share);

/* Less than, equal to or greater than 0 if A goes before, with or after B. */
int ms_order_compare(const struct ms_order_rank *a, const struct ms_order_rank *b);

#endif
