/**
 * @file domain_choice.h
 * Whether a call leaves its failure domain. Traffic between domains is slower
 * and costs money, so a call stays at home while it is served there in good
 * time, and leaves only if that saves its caller more than it costs. Each call
 * is weighed at the queue that it meets: as soon as enough have left, the rest
 * stays.
 */
#ifndef DOMAIN_CHOICE_H
#define DOMAIN_CHOICE_H

#include "base/base.h"

/** A call and the endpoints that hold what it needs. */
typedef struct domain_choice {
	double home_ms;	  /* to the first event at home, below 0: no endpoint */
	double remote_ms; /* the same in other domains */
	double left_ms;	  /* until the first event is late */
	double round_trip_ms; /* to the other domain */
	double bytes;	      /* of the request and the expected answer */
} domain_choice_t;

typedef enum domain_decision {
	DOMAIN_STAY,   /* nothing is gained elsewhere */
	DOMAIN_LEAVE,  /* the cheaper one, by domain_price_ms() */
	DOMAIN_ABSENT, /* no endpoint at home: the call has to leave */
} domain_decision_t;

domain_decision_t domain_decide(const domain_choice_t *d);
/** @return ms by which an endpoint of another domain is dearer for the call */
double domain_price_ms(const domain_choice_t *d);

#endif
