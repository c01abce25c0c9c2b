/**
 * @file links.h
 * Partitions between the daemons of a fixture and its endpoints: each daemon
 * is shown addresses of its own for the endpoints, with a link behind each.
 */
#ifndef LINKS_H
#define LINKS_H

#include "standin/fake_link.h"
#include "tests/fixture.h"

typedef struct links {
	fixture_t *st;
	/* NULL: the daemon hasn't been shown the endpoint yet */
	fake_link_t *link[FIXTURE_DAEMONS][FIXTURE_ENDPOINTS];
	link_state_t state[FIXTURE_DAEMONS]; /* of its links */
	struct links_view {
		struct links *links;
		int daemon;
	} view[FIXTURE_DAEMONS];
} links_t;

/** Put links before the endpoints; to be called before daemons start. */
links_t *links_new(fixture_t *st);
/** Set all links of a daemon, those to endpoints added later too. */
void links_set(links_t *l, int daemon, link_state_t state);
/** Set the link of a daemon to one endpoint. */
void links_set_one(links_t *l, int daemon, int endpoint, link_state_t state);
/** @return connections that a daemon has made to endpoints so far. */
int links_accepted(const links_t *l, int daemon);
/** To be called after fixture_stop_daemons(), before fixture_free(). */
void links_free(links_t *l);

#endif
