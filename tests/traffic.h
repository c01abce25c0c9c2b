/**
 * @file traffic.h
 * A steady flow of plain calls to all daemons of a fixture.
 */
#ifndef TRAFFIC_H
#define TRAFFIC_H

#include "tests/fixture.h"

typedef struct traffic {
	fixture_t *st;
	GPtrArray *calls; /* caller_t */
	int n, daemons;
	int first; /* daemons before it get no calls */
} traffic_t;

/** Start endpoints of the plain service, and daemons. */
traffic_t *traffic_new(int nendpoint, int ndaemon);
void traffic_free(traffic_t *t);
/** Call daemon after daemon for @p span ms. */
void traffic_run(traffic_t *t, ms_t span);
/** @return calls that reached the endpoint from @p from on, before @p to */
int arrivals(const fixture_t *st, int endpoint, ms_t from, ms_t to);
/**
 * Wait for the calls made from index @p from on.
 * @return how many weren't answered with 200
 */
int count_unserved(traffic_t *t, guint from);

#endif
