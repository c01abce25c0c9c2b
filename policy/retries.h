/**
 * @file retries.h
 * One instance's part of the budget for sending calls again. The budget holds
 * over all instances and in each span of the window's length.
 */
#ifndef RETRIES_H
#define RETRIES_H

#include "base/base.h"

enum {
	RETRY_INTERVALS = 32 /* of two windows */
};

typedef struct retries {
	ms_t interval;	 /* length of one */
	int64_t current; /* number of the current one */
	int calls[RETRY_INTERVALS], retries[RETRY_INTERVALS];
} retries_t;

void retries_init(retries_t *r, ms_t window);
/** A call for the service came. */
void retries_add_call(retries_t *r, ms_t now);
/** A call is sent once more. */
void retries_add_retry(retries_t *r, ms_t now);
/**
 * May one more be sent again?
 * @param extra repeats in a window beside the share, for all instances
 */
bool retries_allowed(
    retries_t *r, double ratio, double extra, int instances, ms_t now);

#endif
