/**
 * @file cut_site.h
 * Daemons that can be partitioned from the endpoints of the plain service, and
 * a steady flow of calls to all of them.
 */
#ifndef CUT_SITE_H
#define CUT_SITE_H

#include "tests/links.h"

/** Daemons, endpoints of the plain service, and calls to them. */
typedef struct site {
	fixture_t *st;
	links_t *links;
	GPtrArray *calls; /* caller_t */
	GArray *to;	  /* int, the daemon that each was sent to */
	GArray *safe;	  /* bool, of each */
	int ndaemon, n;
	ms_t from; /* calls sent before aren't counted */
} site_t;

site_t *site_new(int ndaemon, int nendpoint, ms_t plain_ms);
/** The same; the first @p nold daemons are of another program. */
site_t *site_new_of(
    int ndaemon, int nendpoint, ms_t plain_ms, const char *old, int nold);
void site_free(site_t *t);
/** Call daemon after daemon for @p span ms, every other call an unsafe one. */
void site_run(site_t *t, ms_t span);
/** Set the links of the first @p ncut daemons. */
void site_cut(site_t *t, int ncut, link_state_t how);
/** Check what must hold of each unsafe call: it runs once, and 503 is true. */
void site_check_promises(site_t *t);
/** Check that first tries at each daemon are served; one in 50 may fail. */
void site_check_served(site_t *t, ms_t from, ms_t to);
/** @return how often the endpoints ran a call */
int runs_of(const fixture_t *st, const char *id);

#endif
