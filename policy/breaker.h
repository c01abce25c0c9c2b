/**
 * @file breaker.h
 * Whether an endpoint is used, from what its calls met. A status check says
 * little: endpoints fail calls while it is good, and the reverse.
 */
#ifndef BREAKER_H
#define BREAKER_H

#include "base/base.h"

typedef struct breaker {
	int bad;      /* failures in a row */
	double share; /* of failed calls, decayed */
	int seen;     /* calls, up to a few */
	ms_t open_until;
	ms_t span;   /* of the last opening */
	bool trying; /* one call tries it */
} breaker_t;

void breaker_good(breaker_t *b);
/** @param hard the connection failed or nothing came */
void breaker_bad(breaker_t *b, bool hard, ms_t now);
/** May a call go there? An open one lets one through when its time is over. */
bool breaker_allows(const breaker_t *b, ms_t now);
/** A call goes there. */
void breaker_sent(breaker_t *b, ms_t now);
/** Factor on its predicted time, 1 for one without failures. */
double breaker_weight(const breaker_t *b, double usual_share);

#endif
