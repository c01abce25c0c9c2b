#include "net/net.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <unistd.h>

enum {
	EVENTS_PER_TURN = 128, /* descriptors handled in one turn */
	MAX_WAIT_MS = 5000     /* so that a stepped clock is noticed */
};

int
loop_init(loop_t *l)
{
	*l = (loop_t){ 0 };
	l->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	l->now = l->handled_until = clock_now(&machine_clock);
	return l->epoll_fd == -1 ? -1 : 0;
}

static void
free_deferred(loop_t *l)
{
	int i;

	for (i = 0; i < l->ndeferred; i++)
		free(l->deferred[i]);
	l->ndeferred = 0;
}

void
loop_free(loop_t *l)
{
	free_deferred(l);
	free(l->deferred);
	free(l->heap);
	close(l->epoll_fd);
}

void
loop_free_later(loop_t *l, void *p)
{
	if (l->ndeferred == l->deferred_room) {
		l->deferred_room = l->deferred_room ? l->deferred_room * 2 : 64;
		l->deferred = realloc(
		    l->deferred, l->deferred_room * sizeof(*l->deferred));
		if (l->deferred == NULL)
			abort();
	}
	l->deferred[l->ndeferred++] = p;
}

/* A binary heap whose root is at index 1: the parent of i is i / 2. */
static void
heap_put(loop_t *l, int i, alarm_t *a)
{
	l->heap[i] = a;
	a->pos = i;
}

static void
sift_up(loop_t *l, int i)
{
	alarm_t *a = l->heap[i];

	for (; i > 1 && l->heap[i / 2]->at > a->at; i /= 2)
		heap_put(l, i, l->heap[i / 2]);
	heap_put(l, i, a);
}

static void
sift_down(loop_t *l, int i)
{
	alarm_t *a = l->heap[i];
	int c;

	for (; (c = 2 * i) <= l->nheap; i = c) {
		if (c < l->nheap && l->heap[c + 1]->at < l->heap[c]->at)
			c++;
		if (l->heap[c]->at >= a->at)
			break;
		heap_put(l, i, l->heap[c]);
	}
	heap_put(l, i, a);
}

void
alarm_stop(loop_t *l, alarm_t *a)
{
	int i = a->pos;
	alarm_t *last;

	if (i == 0)
		return;
	a->pos = 0;
	last = l->heap[l->nheap--];
	if (last == a)
		return;
	heap_put(l, i, last);
	sift_up(l, i);
	sift_down(l, last->pos);
}

void
alarm_set(loop_t *l, alarm_t *a, ms_t at)
{
	a->at = at;
	if (a->pos != 0) {
		sift_up(l, a->pos);
		sift_down(l, a->pos);
		return;
	}
	if (l->nheap + 1 >= l->heap_room) {
		l->heap_room = l->heap_room ? l->heap_room * 2 : 64;
		l->heap = realloc(l->heap, l->heap_room * sizeof(alarm_t *));
		if (l->heap == NULL)
			abort();
	}
	heap_put(l, ++l->nheap, a);
	sift_up(l, l->nheap);
}

int
watch_add(loop_t *l, watch_t *w, uint32_t events)
{
	struct epoll_event ev = { .events = events, .data.ptr = w };

	w->events = events;
	l->nwatch++;
	return epoll_ctl(l->epoll_fd, EPOLL_CTL_ADD, w->fd, &ev);
}

void
watch_set(loop_t *l, watch_t *w, uint32_t events)
{
	struct epoll_event ev = { .events = events, .data.ptr = w };

	if (w->events == events)
		return;
	w->events = events;
	epoll_ctl(l->epoll_fd, EPOLL_CTL_MOD, w->fd, &ev);
}

void
watch_del(loop_t *l, watch_t *w)
{
	if (w->fd == -1)
		return;
	l->nwatch--;
	epoll_ctl(l->epoll_fd, EPOLL_CTL_DEL, w->fd, NULL);
	close(w->fd);
	w->fd = -1;
}

/* The time until the next alarm, at most @p span. */
static ms_t
time_to_wait(const loop_t *l, ms_t span)
{
	ms_t wait = span;

	if (l->nheap > 0 && l->heap[1]->at - l->now < wait)
		wait = l->heap[1]->at - l->now;
	return wait > 0 ? wait : 0;
}

/*
 * The n descriptors that a wait reported have been handled: note until when
 * nothing that was ready is left. The wait began at or after @p from.
 */
static void
note_handled(loop_t *l, int n, ms_t from, ms_t wait)
{
	if (n == -1)
		return;
	if (n < EVENTS_PER_TURN) {
		/* A wait without an event lasted to its end. */
		l->handled_until = n == 0 ? from + wait : from;
		l->round_left = 0;
		return;
	}
	/*
	 * More may be ready. Waits report ready descriptors in turn, so all
	 * that were ready when a round began have been handled when as many
	 * were handled as were watched then.
	 */
	if (l->round_left <= 0) {
		l->round_left = l->nwatch;
		l->round_from = from;
	}
	l->round_left -= n;
	if (l->round_left <= 0)
		l->handled_until = l->round_from;
}

void
loop_turn(loop_t *l, ms_t span)
{
	struct epoll_event ev[EVENTS_PER_TURN];
	ms_t wait = time_to_wait(l, span), from = l->now;
	int i, n;

	n = epoll_wait(l->epoll_fd, ev, EVENTS_PER_TURN, (int)wait);
	l->now = clock_now(&machine_clock);
	l->late = l->now - from - wait;
	for (i = 0; i < n; i++) {
		watch_t *w = ev[i].data.ptr;

		/* A callback earlier in this turn may have closed it. */
		if (w->fd != -1)
			w->fn(w->arg, ev[i].events);
	}
	note_handled(l, n, from, wait);
	/*
	 * The process may have stood still: an alarm that became due later may
	 * be for something that is ready by now, so it waits for the next turn.
	 */
	while (l->nheap > 0 && l->heap[1]->at <= l->handled_until) {
		alarm_t *a = l->heap[1];

		alarm_stop(l, a);
		a->fn(a->arg);
	}
	if (l->turn != NULL)
		l->turn(l->turn_arg);
	free_deferred(l);
}

void
loop_run(loop_t *l)
{
	while (!l->stop)
		loop_turn(l, MAX_WAIT_MS);
}
