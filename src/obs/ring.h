/*
 * ring.h - a bounded queue of pointers between threads.
 *
 * Any number of threads may push; one thread pops.  The popping thread sleeps
 * on a file descriptor that becomes readable when something was pushed.  A
 * full ring refuses the push, and the caller decides what that means.
 */
#ifndef MS_RING_H
#define MS_RING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct ms_ring;

/* Creates a ring of CAPACITY slots, a power of two; NULL when that fails. */
struct ms_ring *ms_ring_new(unsigned int capacity);

/* Frees the ring, not what is still in it. */
void ms_ring_free(struct ms_ring *ring);

/* Pushes ITEM (not NULL).  Returns false when the ring is full. */
bool ms_ring_push(struct ms_ring *ring, void *item);

/* The same, but a waiting thread is not woken: it finds ITEM when it next looks. */
bool ms_ring_push_quietly(struct ms_ring *ring, void *item);

/* Pops the oldest item, or returns NULL when there is none. */
void *ms_ring_pop(struct ms_ring *ring);

/* The descriptor to poll for reading. */
int ms_ring_fd(const struct ms_ring *ring);

/* Clears the descriptor's readable state; call before popping until NULL. */
void ms_ring_clear(struct ms_ring *ring);

/* Waits until something was pushed, or TIMEOUT_MS have passed. */
void ms_ring_wait(struct ms_ring *ring, int timeout_ms);

/* Makes a waiting ms_ring_wait() or poll return. */
void ms_ring_wake(struct ms_ring *ring);

/* Pushes that were refused since the start. */
uint64_t ms_ring_refused(const struct ms_ring *ring);

#endif
