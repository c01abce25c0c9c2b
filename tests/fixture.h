/**
 * @file fixture.h
 * A store and endpoints that speak the platform's protocol in this process,
 * daemons as real processes, and callers.
 */
#ifndef FIXTURE_H
#define FIXTURE_H

#include "net/net.h"
#include "standin/fake_endpoint.h"
#include "standin/http_request.h"
#include "standin/fake_store.h"
#include "tests/proc.h"

enum {
	STAGE_DAEMONS = 3,
	STAGE_HANDS = 8,
};

typedef struct stage {
	loop_t loop;
	fake_store_t *shelf;
	fake_endpoint_t *hand[STAGE_HANDS];
	char *addr[STAGE_HANDS], *id[STAGE_HANDS];
	int nhand;
	proc_t *daemon[STAGE_DAEMONS];
	char *dir, *store, *settings[STAGE_DAEMONS];
	char *caller[STAGE_DAEMONS], *ready[STAGE_DAEMONS];
	char *entries[STAGE_DAEMONS];
	int peer_port;
	int version;
} stage_t;

/** What one caller sees; its arg is the stage. */
typedef http_request_t caller_t;

/** A store with a configuration, no endpoints, no daemons. */
stage_t *stage_new(void);
void stage_free(stage_t *st);
/** Let all of it run for @p span ms. */
void stage_run(stage_t *st, ms_t span);
/** Let it run until @p cond holds. @return whether it does, within @p span. */
bool stage_until(stage_t *st, cond_t *cond, void *arg, ms_t span);
/** For stage_until(): has the first endpoint got a call? @param st a stage */
bool stage_has_run(void *st);
/** An endpoint, listed in the store. @return its index. */
int stage_hand(stage_t *st, const fake_endpoint_opts_t *o, const char *service);
void stage_entry(stage_t *st, int hand, const char *service, bool leaving);
/** Start daemon @p i and wait until it is ready, if it should be. */
void stage_daemon(stage_t *st, int i, bool wait_ready);
/** Write the next configuration. @param more further routes, JSON, or "". */
void stage_config(stage_t *st, const char *more);

/** Send a request's bytes to daemon @p i. */
caller_t *caller_send(stage_t *st, int i, const char *bytes);
/** A plain call: "GET /safe/x" or "POST /once/x" and the like. */
caller_t *caller_call(stage_t *st, int i, const char *method, const char *path,
    const char *id, const char *headers);
/** The same, to daemon 0; wait, and assert the status of the answer. */
caller_t *caller_told(stage_t *st, int status, const char *method,
    const char *path, const char *id, const char *headers);
/** Wait for its answer or its end. */
bool caller_wait(caller_t *c, ms_t span);
void caller_leave(caller_t *c);
void caller_free(caller_t *c);
/** Ask one of a daemon's pages. @return the status, 0: none. */
int page_status(stage_t *st, const char *addr, const char *path, char **body);

#endif
