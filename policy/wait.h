/**
 * @file wait.h
 * Whether a call waits for what no endpoint holds yet. It waits only if that
 * will be loaded in time, as far as is known; else it is refused at once, not
 * run, with the time after which to retry.
 */
#ifndef WAIT_H
#define WAIT_H

#include "base/base.h"

typedef struct wait_facts {
	ms_t waited;   /* since the call was received */
	ms_t time;     /* from then until its deadline */
	ms_t target;   /* from then until its first event is late */
	ms_t ready_in; /* until it is loaded, by the holder; -1: not known */
	ms_t load;     /* that a load takes */
	double first;  /* ms from then to the first event */
	bool asked;    /* a holder is there to be asked for it */
	bool adapter;  /* an adapter is missing; its model is loaded */
} wait_facts_t;

/**
 * @param retry set to the time after which the caller may retry, in ms
 * @return whether the call waits
 */
bool wait_for_load(const wait_facts_t *f, ms_t *retry);

#endif
