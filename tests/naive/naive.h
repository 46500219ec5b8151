/*
 * naive.h - the naive version: first fit in order of arrival.
 *
 * It speaks the same events and actions as the decision core, and keeps to the
 * adjacency that a job asks for, but knows no guarantees, shares, classes,
 * keeping of servers, quarantine or stopping of work.  It starts gangs in two
 * phases and takes run tokens, so that it can be compared in the same world.
 */
#ifndef MS_NAIVE_H
#define MS_NAIVE_H

#include "mustardspread/mustardspread.h"

struct naive;

struct naive *naive_new(const char *dc);
void naive_free(struct naive *naive);
void naive_step(struct naive *naive, const struct ms_event *event, int64_t now);
size_t naive_action_count(const struct naive *naive);
const struct ms_action *naive_action(const struct naive *naive, size_t index);
int64_t naive_next_tick(const struct naive *naive);

/* Free accelerators, and those that the largest waiting gang cannot use. */
void naive_fragmentation(const struct naive *naive, uint32_t *free_accels, uint32_t *stranded,
                         uint32_t *largest_waiting);

#endif
