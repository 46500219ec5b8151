/*
 * ring.h - bounded queue of pointers between threads.
 *
 * Any number of threads may push; one thread pops.  The popping thread waits on
 * a file descriptor that becomes readable when an item was pushed.  Pushing to
 * a full ring fails instead of blocking.
 */
#ifndef MS_RING_H
#define MS_RING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct ms_ring;

/* Creates a ring with CAPACITY slots, a power of two.  Returns NULL on failure. */
struct ms_ring *ms_ring_new(unsigned int capacity);

/* Frees the ring but not the items that are still in it.  NULL is allowed. */
void ms_ring_free(struct ms_ring *ring);

/* Pushes ITEM, which is not NULL, and wakes the popping thread.  Returns false if RING is full. */
bool ms_ring_push(struct ms_ring *ring, void *item);

/* Like ms_ring_push(), but does not wake the popping thread. */
bool ms_ring_push_no_wake(struct ms_ring *ring, void *item);

/* Removes and returns the oldest item, or returns NULL if RING is empty. */
void *ms_ring_pop(struct ms_ring *ring);

/* The descriptor that becomes readable; owned by RING. */
int ms_ring_fd(const struct ms_ring *ring);

/*
 * Makes the descriptor unreadable until the next push.  To be called before the
 * items are popped: then an item pushed meanwhile makes it readable again.
 */
void ms_ring_clear_wakeup(struct ms_ring *ring);

/* Waits until the descriptor is readable, then clears it, or until TIMEOUT_MS have passed. */
void ms_ring_wait(struct ms_ring *ring, int timeout_ms);

/* Makes the descriptor readable, which ends a waiting ms_ring_wait() or poll(). */
void ms_ring_wake(struct ms_ring *ring);

/* Number of pushes that failed because RING was full. */
uint64_t ms_ring_refused_count(const struct ms_ring *ring);

#endif
