/*
 * reference_scheduler.h - the reference scheduler that the decision core is compared with.
 *
 * It places jobs first fit, in order of arrival.  It takes the same events and
 * emits the same actions as the decision core, respects the adjacency that a
 * job asks for, starts gangs in two phases (prepare, then start) and requests
 * run tokens, so that both run in the same simulator.  It has no guarantees,
 * shares, classes, reservations, quarantine or preemption.
 */
#ifndef MS_REFERENCE_SCHEDULER_H
#define MS_REFERENCE_SCHEDULER_H

#include "mustardspread/mustardspread.h"

struct ref_sched;

/* These functions correspond to the ms_sched_ functions of mustardspread.h. */
struct ref_sched *ref_sched_new(const char *dc);
void ref_sched_free(struct ref_sched *sched);
void ref_sched_step(struct ref_sched *sched, const struct ms_event *event, int64_t now);
size_t ref_sched_action_count(const struct ref_sched *sched);
const struct ms_action *ref_sched_action(const struct ref_sched *sched, size_t index);
int64_t ref_sched_next_tick(const struct ref_sched *sched);

/*
 * Reads the fragmentation, as in struct ms_sched_stats: the available accelerators, how
 * many of them the largest waiting job cannot use, and how many this job asks for (0: no
 * job with accelerators waits).
 */
void ref_sched_fragmentation(const struct ref_sched *sched, uint32_t *available_accels,
                             uint32_t *stranded, uint32_t *largest_waiting);

#endif
