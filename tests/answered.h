/**
 * @file answered.h
 * Callers that keep their connections, and a record of what became of each of
 * their requests.
 */
#ifndef ANSWERED_H
#define ANSWERED_H

#include "tests/fixture.h"

enum {
	ASKS_MAX = 16, /* requests on a connection */
};

/** A request that was sent whole. */
typedef struct ask {
	char id[32];
	ms_t sent_at; /* its last byte was handed to the socket */
	int status;
	bool answered;	 /* completely */
	bool after_end;	 /* sent after the daemon said that it would close, or
			    had closed */
	bool may_be_cut; /* the rules let the daemon give it up */
} ask_t;

/** A caller's connection; it is used until the daemon closes it. */
typedef struct kept {
	struct callers *of;
	http_conn_t *http; /* NULL: it has ended */
	ask_t ask[ASKS_MAX];
	int nask, nanswered;
	bool closes; /* the daemon announced that it closes */
	http_end_t why;
	ms_t ended_at, last_answer_at;
	int events; /* in the answers */
} kept_t;

/** All callers of a test. */
typedef struct callers {
	fixture_t *st;
	GPtrArray *kept;
	int serial;
} callers_t;

/** How the requests of a test ended. */
typedef struct outcomes {
	int asked, served, refused, failed;
	int crossed; /* sent as the daemon closed, and not passed on */
	int lost;
} outcomes_t;

/** Values of a configuration; a zero means the usual value. */
typedef struct conf {
	const char *service; /* of the plain routes */
	const char *split;   /* JSON of a traffic_split instead of it */
	bool without_plain;  /* drop the plain routes */
	bool without_service;
	int timeout, idle_timeout, head_timeout, head_max, body_max;
	int more; /* further routes */
} conf_t;

/** Write the next version of the configuration. */
void conf_put(fixture_t *st, const conf_t *o);
/** Wait until daemon 0 uses the last version written. */
void conf_wait(fixture_t *st);
/** Wait until daemon 0 may use @p n endpoints. */
void endpoints_wait(fixture_t *st, int n);
/**
 * A store, two plain endpoints (services app and app2), two engines (service
 * llm, not the same model on both) and daemon 0.
 * @param grace grace_s of the daemon's settings
 */
callers_t *callers_new(int grace, ms_t plain_ms, int events, ms_t gap);
void callers_free(callers_t *s);
/** Replace @p from by @p to in the daemon's settings file. */
void settings_edit(fixture_t *st, const char *from, const char *to);
/** @return a value of daemon 0's metrics, 0 if it isn't there */
double daemon_metric(fixture_t *st, const char *name);

kept_t *kept_open(callers_t *s);
/** Send a request. A POST has a body of four bytes. */
ask_t *kept_ask(
    kept_t *k, const char *method, const char *path, const char *headers);
/** Send the head of a POST and half of its body. */
void kept_ask_half(kept_t *k, const char *path);
/** Send the rest, which makes the request whole. */
ask_t *kept_ask_rest(kept_t *k);
/** Send more of a request. @param whole it is complete with these bytes */
ask_t *kept_send(kept_t *k, const char *bytes, bool whole);
/**
 * Send a request that the test writes itself.
 * @param head without Request-Id and the empty line at the end
 * @param whole it is complete with @p body
 */
ask_t *kept_ask_raw(kept_t *k, const char *head, const char *body, bool whole);
/** Condition: no request of a connection (kept_t) is without its answer. */
bool kept_is_answered(void *k);
/** Condition: the daemon has closed the connection (kept_t). */
bool kept_has_ended(void *k);
/** Condition: the same of all connections (callers_t). */
bool callers_are_answered(void *s);
/** Open connections with calls that run, wait and are half received. */
void callers_start_load(callers_t *s);
/** Complete what is half received, and use the idle connections. */
void callers_complete_load(callers_t *s);
/** @return whether it was sent as the daemon closed, and not passed on */
bool ask_crossed(const kept_t *k, const ask_t *a);
/** Count the outcomes and assert that no request was lost. */
outcomes_t callers_check(callers_t *s);

#endif
