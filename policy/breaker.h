/**
 * @file breaker.h
 * Whether an endpoint is used, from what its calls met. A status check says
 * little: endpoints fail calls while it is good, and the reverse.
 */
#ifndef BREAKER_H
#define BREAKER_H

#include "base/base.h"

typedef struct breaker {
	int failures_in_row;  /* failures in a row */
	double failure_share; /* of failed calls, decayed */
	int calls_seen;	      /* calls, up to a few */
	ms_t open_until;
	ms_t open_ms; /* of the last opening */
	bool probing; /* one call tries it */
} breaker_t;

void breaker_success(breaker_t *b);
/** @param hard the connection failed or nothing came */
void breaker_failure(breaker_t *b, bool hard, ms_t now);
/** May a call go there? An open one lets one through when its time is over. */
bool breaker_allows(const breaker_t *b, ms_t now);
/** A call goes there. */
void breaker_sent(breaker_t *b, ms_t now);
/** Factor on its predicted time, 1 for one without failures. */
double breaker_time_factor(const breaker_t *b, double usual_share);

#endif
