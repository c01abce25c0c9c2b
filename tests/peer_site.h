/**
 * @file peer_site.h
 * Three daemons, of which the first is cut from all endpoints and hands its
 * calls to the others.
 */
#ifndef PEER_SITE_H
#define PEER_SITE_H

#include "tests/links.h"

enum {
	PEER_DAEMONS = 3, /* the first one is cut */
	PEER_APPS = 2,
	PEER_LLM = PEER_APPS, /* index of the first engine */
	PEER_ANSWER_MS = 6000,
	PEER_EVENTS = 40, /* of a stream */
	PEER_EVENT_GAP_MS = 30,
};
/** Headers of a call to an engine, and of a plain one. */
extern const char *const peer_model, *const peer_brief;

typedef struct site {
	fixture_t *st;
	links_t *links;
} peer_site_t;

/** All daemons reach all endpoints. */
peer_site_t peer_site_uncut(ms_t plain_ms, const fake_endpoint_opts_t *llm);
/** Daemon 0 is cut from all endpoints and knows it. */
peer_site_t peer_site_with(ms_t plain_ms, const fake_endpoint_opts_t *llm);
/** The same, with engines whose streams have PEER_EVENTS. */
peer_site_t peer_site_new(ms_t plain_ms);
void peer_site_free(peer_site_t *t);
/** @return the only run of a call, NULL: none */
const executed_call_t *run_of(const fixture_t *st, const char *id);
/** Condition: the call "left" has run. @param st the fixture */
bool left_has_run(void *st);
int arrivals_since(const fixture_t *st, int endpoint, ms_t from);
/** Calls that a daemon has taken over. */
int64_t taken_by(fixture_t *st, int daemon);
/** Send a call to daemon 0. @return the daemon that it goes through */
int send_through(fixture_t *st, const char *method, const char *path,
    const char *id, const char *headers, caller_t **c);
/** The answer has all events of a stream, each once and in order. */
void assert_all_events(const caller_t *c);

#endif
