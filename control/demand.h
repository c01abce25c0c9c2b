/**
 * @file demand.h
 * Demand for each model and adapter, in concurrent calls, computed from the
 * brokers' digests. Used by one thread.
 */
#ifndef DEMAND_H
#define DEMAND_H

#include "peer/peer.h"

#include <glib.h>

typedef struct demand {
	GHashTable *by_name;  /* model or adapter to its item_rate_t */
	GHashTable *counters; /* last readings, by broker and item */
	double in_progress;   /* calls, smoothed */
	double rate;	      /* calls per second, smoothed */
	ms_t updated_at;
} demand_t;

void demand_init(demand_t *d);
void demand_destroy(demand_t *d);
/** Update the rates from the digests of a view. */
void demand_update(demand_t *d, const view_t *v, ms_t now);
/** @return the mean number of concurrent calls to a model or adapter. */
double demand_calls(const demand_t *d, const char *name);

#endif
