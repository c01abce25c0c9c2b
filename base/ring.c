#include "base/base.h"

#include <poll.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <ck_ring.h>

struct ring {
	ck_ring_t ck;
	ck_ring_buffer_t *buf;
	int fd;
	/*
	 * ThreadSanitizer doesn't see the fences of Concurrency Kit. This
	 * counter repeats their order in a form that it does see: writes
	 * before a push are visible after the pop.
	 */
	unsigned pushes;
};

ring_t *
ring_new(unsigned slots)
{
	ring_t *r = NULL;

	if (slots < 2 || (slots & (slots - 1)) != 0 ||
	    posix_memalign((void **)&r, CK_MD_CACHELINE, sizeof(*r)) != 0)
		return NULL;
	r->buf = calloc(slots, sizeof(*r->buf));
	r->fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (r->buf == NULL || r->fd == -1) {
		ring_free(r);
		return NULL;
	}
	ck_ring_init(&r->ck, slots);
	return r;
}

void
ring_free(ring_t *r)
{
	if (r == NULL)
		return;
	if (r->fd != -1)
		close(r->fd);
	free(r->buf);
	free(r);
}

bool
ring_push(ring_t *r, void *item)
{
	uint64_t one = 1;

	__atomic_add_fetch(&r->pushes, 1, __ATOMIC_RELEASE);
	if (!ck_ring_enqueue_mpmc(&r->ck, r->buf, item))
		return false;
	/* EAGAIN: the descriptor is readable already. */
	if (write(r->fd, &one, sizeof(one)) == -1)
		return true;
	return true;
}

static bool
dequeue(ring_t *r, void **item)
{
	if (!ck_ring_dequeue_mpmc(&r->ck, r->buf, item))
		return false;
	__atomic_load_n(&r->pushes, __ATOMIC_ACQUIRE);
	return true;
}

void *
ring_pop(ring_t *r)
{
	uint64_t count;
	void *item;

	if (dequeue(r, &item))
		return item;
	/*
	 * Clear the descriptor, then try again: an item pushed in between
	 * makes it readable again, so that no wakeup is lost.
	 */
	if (read(r->fd, &count, sizeof(count)) == -1)
		count = 0;
	if (dequeue(r, &item)) {
		count = 1;
		if (write(r->fd, &count, sizeof(count)) == -1)
			return item;
		return item;
	}
	return NULL;
}

void *
ring_wait(ring_t *r, ms_t span)
{
	struct pollfd p = { r->fd, POLLIN, 0 };
	ms_t end = clock_now(&machine_clock) + span;
	void *item;

	while ((item = ring_pop(r)) == NULL) {
		ms_t left = end - clock_now(&machine_clock);

		if (left <= 0)
			return NULL;
		poll(&p, 1, (int)left);
	}
	return item;
}

int
ring_fd(const ring_t *r)
{
	return r->fd;
}
