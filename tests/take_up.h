/**
 * @file take_up.h
 * Test fixture: endpoints of two software versions, streams that daemons
 * forward, and callers that take them up again.
 */
#ifndef TAKE_UP_H
#define TAKE_UP_H

#include "tests/fixture.h"

enum {
	STREAMS_MAX = 12,
	DAEMONS = 3,
	EVENTS = 100,
	EVENT_GAP_MS = 20,
};

typedef struct versions_opts {
	int daemons;
	int v1, v2;	/* endpoints of each version */
	ms_t event_gap; /* between the events of a stream */
} versions_opts_t;

/**
 * Start daemons that know each other, one of them the holder. Endpoint 0 is of
 * another service: its entry shows how far the daemons have read the store.
 */
fixture_t *versions_start_with(const versions_opts_t *o);
/** The same with daemons of another program. */
fixture_t *versions_start_of(const versions_opts_t *o, const char *program);
/** The same, with an event each EVENT_GAP_MS. */
fixture_t *versions_start(int daemons, int v1, int v2);
/** Add endpoints of a version. */
void versions_add(fixture_t *st, int n, const char *version, ms_t event_gap);
/** Of endpoints that are equal otherwise, daemons prefer those of a version. */
void versions_prefer(fixture_t *st, const char *version);

/** @return a gauge of a daemon, -1: it can't be read */
int daemon_gauge(fixture_t *st, int daemon, const char *name);
void daemon_wait_gauge(fixture_t *st, int daemon, const char *name, int value);
void daemon_kill(fixture_t *st, int i);
/** Condition for fixture_run_until(): a daemon is the holder. */
bool daemon_is_holder(void *st);
/** Wait until each running daemon knows so many endpoints. */
void daemons_wait_endpoints(fixture_t *st, int n);
/**
 * Let the running daemons read what was written into the store since
 * fake_store_mute_watches(), and wait until each has. Endpoint 0 is removed and
 * added again for that.
 * @param is endpoints beside endpoint 0 after that
 */
void daemons_wait_store_read(fixture_t *st, int is);

/** A caller's stream, with the take-up that is in progress. */
typedef struct stream {
	fixture_t *st;
	caller_t *c;
	char id[24];	    /* of the attempt that brought the first event */
	char attempt[32];   /* of the current attempt */
	int last;	    /* event that the caller has */
	char began[ID_MAX]; /* version that began it */
} stream_t;

/** @return the last whole event of an answer, each one after the other. */
int stream_last_event(const caller_t *c, int from);
/** Begin streams at a daemon; each has brought its first event on return. */
void streams_begin(fixture_t *st, stream_t *x, int n, int daemon);
/** The caller's connection has ended before the answer. */
void stream_lose(stream_t *x);
void streams_lose(stream_t *x, int n);
/** Send a stream's call again, with these further header lines. */
void stream_send(
    stream_t *x, int daemon, const char *attempt, const char *headers);
void stream_take_up(stream_t *x, int daemon);
/**
 * Whether the stream goes on; it does so whole and only where it may. If not,
 * it is refused and isn't run.
 */
bool stream_goes_on(stream_t *x);
/**
 * Take streams up at daemons @p first to @p last. A caller that is refused
 * tries again, @p attempts times in all. @return how many streams go on.
 */
int streams_take_up(stream_t *x, int n, int first, int last, int attempts);
/** @return runs of an attempt at a version, or at any if NULL. */
int stream_runs_at(
    const fixture_t *st, const char *attempt, const char *version);
/** @return the endpoint that ran the attempt first. */
int stream_endpoint(const fixture_t *st, const char *attempt);
/** Condition for fixture_run_until(): the stream has a new event. */
bool stream_has_event(void *stream);
/** New streams begin there: what is refused is only the take-up. */
void assert_stream_begins(fixture_t *st, int daemon);

#endif
