/*
 * ring.c - bounded queue of pointers between threads, based on ck_ring.
 *
 * ThreadSanitizer does not understand the memory fences of Concurrency Kit.
 * When it is enabled, each push is annotated as a release and each pop as an
 * acquire.
 */
#include <ck_pr.h>
#include <ck_ring.h>
#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "obs/ring.h"

#if defined(__SANITIZE_THREAD__)
#define MS_TSAN 1
#elif defined(__has_feature)
#if __has_feature(thread_sanitizer)
#define MS_TSAN 1
#endif
#endif

#ifdef MS_TSAN
void __tsan_acquire(void *address);
void __tsan_release(void *address);
#define ANNOTATE_RELEASE(address) __tsan_release(address)
#define ANNOTATE_ACQUIRE(address) __tsan_acquire(address)
#else
#define ANNOTATE_RELEASE(address) ((void)(address))
#define ANNOTATE_ACQUIRE(address) ((void)(address))
#endif

struct ms_ring {
    ck_ring_t ring;
    ck_ring_buffer_t *slots;
    int fd;             /* eventfd */
    unsigned int woken; /* 1: the eventfd was written and not cleared since; accessed with ck_pr */
    uint64_t refused;   /* pushes that failed; accessed with ck_pr */
};

struct ms_ring *
ms_ring_new(unsigned int capacity)
{
    struct ms_ring *ring = calloc(1, sizeof(*ring));
    if (ring == NULL) {
        return NULL;
    }
    ring->slots = calloc(capacity, sizeof(*ring->slots));
    ring->fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (ring->slots == NULL || ring->fd < 0) {
        goto fail;
    }
    ck_ring_init(&ring->ring, capacity);
    return ring;

fail:
    if (ring->fd >= 0) {
        close(ring->fd);
    }
    free(ring->slots);
    free(ring);
    return NULL;
}

void
ms_ring_free(struct ms_ring *ring)
{
    if (ring == NULL) {
        return;
    }
    close(ring->fd);
    free(ring->slots);
    free(ring);
}

void
ms_ring_wake(struct ms_ring *ring)
{
    uint64_t one = 1;
    ssize_t written = 0;
    /*
     * The consumer clears `woken` before it pops.  If it is still 1, the consumer has yet
     * to do so and then finds what was pushed before this.
     */
    ck_pr_fence_memory();
    if (ck_pr_fas_uint(&ring->woken, 1) != 0) {
        return;
    }
    do {
        written = write(ring->fd, &one, sizeof(one));
    } while (written < 0 && errno == EINTR);
}

bool
ms_ring_push_no_wake(struct ms_ring *ring, void *item)
{
    ANNOTATE_RELEASE(ring);
    if (!ck_ring_enqueue_mpsc(&ring->ring, ring->slots, item)) {
        ck_pr_inc_64(&ring->refused);
        return false;
    }
    return true;
}

bool
ms_ring_push(struct ms_ring *ring, void *item)
{
    if (!ms_ring_push_no_wake(ring, item)) {
        return false;
    }
    ms_ring_wake(ring);
    return true;
}

void *
ms_ring_pop(struct ms_ring *ring)
{
    void *item = NULL;
    if (!ck_ring_dequeue_mpsc(&ring->ring, ring->slots, &item)) {
        return NULL;
    }
    ANNOTATE_ACQUIRE(ring);
    return item;
}

int
ms_ring_fd(const struct ms_ring *ring)
{
    return ring->fd;
}

void
ms_ring_clear_wakeup(struct ms_ring *ring)
{
    uint64_t count = 0;
    ssize_t length = 0;
    do {
        length = read(ring->fd, &count, sizeof(count));
    } while (length < 0 && errno == EINTR);
    ck_pr_fas_uint(&ring->woken, 0);
    ck_pr_fence_memory();
}

void
ms_ring_wait(struct ms_ring *ring, int timeout_ms)
{
    struct pollfd poll_fd = {.fd = ring->fd, .events = POLLIN};
    if (poll(&poll_fd, 1, timeout_ms) > 0) {
        ms_ring_clear_wakeup(ring);
    }
}

uint64_t
ms_ring_refused_count(const struct ms_ring *ring)
{
    return ck_pr_load_64(&ring->refused);
}
