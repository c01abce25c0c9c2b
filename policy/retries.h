/**
 * @file retries.h
 * One instance's part of the budget for sending calls again. The budget holds
 * over all instances and in each span of the window's length.
 */
#ifndef RETRIES_H
#define RETRIES_H

#include "base/base.h"

enum {
	RETRY_PARTS = 32 /* of two windows */
};

typedef struct retries {
	ms_t part;  /* length of one */
	int64_t at; /* number of the current one */
	int asked[RETRY_PARTS], again[RETRY_PARTS];
} retries_t;

void retries_init(retries_t *r, ms_t window);
/** A call for the service came. */
void retries_asked(retries_t *r, ms_t now);
/** A call is sent once more. */
void retries_spent(retries_t *r, ms_t now);
/**
 * May one more be sent again?
 * @param extra repeats in a window beside the share, for all instances
 */
bool retries_allowed(
    retries_t *r, double ratio, double extra, int instances, ms_t now);

#endif
