/**
 * @file breaker.h
 * Circuit breaker of an endpoint, driven by the outcomes of its calls. Status
 * checks aren't used: endpoints fail calls while their check succeeds, and the
 * reverse.
 */
#ifndef BREAKER_H
#define BREAKER_H

#include "base/base.h"

typedef struct breaker {
	int failures_in_row;  /* hard ones */
	double failure_share; /* of failed calls, moving average */
	int calls_seen;	      /* up to what a share needs */
	ms_t open_until;      /* 0: closed */
	ms_t open_ms;	      /* how long it was opened last; doubles */
	bool probing;	      /* one call is under way as a probe */
} breaker_t;

void breaker_success(breaker_t *b);
/** @param hard the connection failed or no response came */
void breaker_failure(breaker_t *b, bool hard, ms_t now);
/** May a call be sent? An open breaker admits one probe after open_until. */
bool breaker_allows(const breaker_t *b, ms_t now);
/** A call is sent; it is the probe if the breaker is open. */
void breaker_sent(breaker_t *b, ms_t now);
/**
 * @param usual_share of failed calls, over all endpoints
 * @return the factor on the endpoint's predicted time, at least 1
 */
double breaker_time_factor(const breaker_t *b, double usual_share);

#endif
