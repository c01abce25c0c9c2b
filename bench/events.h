/**
 * @file events.h
 * Event queue of a discrete-event simulation, a binary heap.
 */
#ifndef EVENTS_H
#define EVENTS_H

#include "base/base.h"

#include <stdlib.h>

typedef struct event {
	ms_t at;
	uint64_t seq;
	int kind; /* defined by the simulation */
	int call;
	int try;
} event_t;

typedef struct events {
	event_t *heap; /* allocated by the user, large enough */
	int n;
	uint64_t seq;
} events_t;

/** calloc() that aborts when out of memory. */
static inline void *
calloc_or_abort(size_t n, size_t size)
{
	void *p = calloc(n, size);

	if (p == NULL)
		abort();
	return p;
}

static inline bool
event_before(const event_t *a, const event_t *b)
{
	return a->at != b->at ? a->at < b->at : a->seq < b->seq;
}

/** Events with equal times are popped in the order of their pushes. */
static inline void
events_push(events_t *v, event_t e)
{
	int i = v->n++;

	e.seq = v->seq++;
	while (i > 0 && event_before(&e, &v->heap[(i - 1) / 2])) {
		v->heap[i] = v->heap[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	v->heap[i] = e;
}

static inline event_t
events_pop(events_t *v)
{
	event_t top = v->heap[0], e = v->heap[--v->n];
	int i = 0, c;

	while ((c = 2 * i + 1) < v->n) {
		if (c + 1 < v->n && event_before(&v->heap[c + 1], &v->heap[c]))
			c++;
		if (!event_before(&v->heap[c], &e))
			break;
		v->heap[i] = v->heap[c];
		i = c;
	}
	v->heap[i] = e;
	return top;
}

#endif
