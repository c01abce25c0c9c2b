/**
 * @file demand.h
 * Calls in progress wanted of each model and adapter, from what the brokers
 * tell in their digests. One thread's.
 */
#ifndef DEMAND_H
#define DEMAND_H

#include "peer/peer.h"

#include <glib.h>

typedef struct demand {
	GHashTable *by_name;  /* name to its running figures */
	GHashTable *counters; /* counters as last read, by broker and item */
	double in_progress;   /* calls, smoothed */
	double rate;	      /* calls a second, smoothed */
	ms_t updated_at;
} demand_t;

void demand_init(demand_t *d);
void demand_destroy(demand_t *d);
/** Take in a view's digests. */
void demand_update(demand_t *d, const view_t *v, ms_t now);
/** @return calls in progress wanted of a model or adapter, on average. */
double demand_calls(const demand_t *d, const char *name);

#endif
