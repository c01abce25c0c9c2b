/**
 * @file retries.h
 * One instance's share of a service's retry budget. The budget holds over all
 * instances and in any period of the window's length.
 */
#ifndef RETRIES_H
#define RETRIES_H

#include "base/base.h"

enum {
	RETRY_INTERVALS = 32 /* in two windows */
};

typedef struct retries {
	ms_t interval;	 /* length of one */
	int64_t current; /* index of the current interval since time 0 */
	/* Ring of counts per interval. */
	int calls[RETRY_INTERVALS], retries[RETRY_INTERVALS];
} retries_t;

/** @param window the budget's window in ms */
void retries_init(retries_t *r, ms_t window);
/** A call for the service arrived. */
void retries_add_call(retries_t *r, ms_t now);
/** A call is sent again. */
void retries_add_retry(retries_t *r, ms_t now);
/**
 * May so many calls be sent again?
 * @param wanted how many
 * @param ratio retries per call
 * @param extra retries per window beyond that, for all instances together
 * @param instances the number of instances that share the budget
 */
bool retries_allow(retries_t *r, int wanted, double ratio, double extra,
    int instances, ms_t now);
/** The same for one call. */
bool retries_allowed(
    retries_t *r, double ratio, double extra, int instances, ms_t now);

#endif
