/**
 * @file fixture.h
 * A store and endpoints that speak the platform's protocol in this process,
 * daemons as real processes, and callers.
 */
#ifndef FIXTURE_H
#define FIXTURE_H

#include "net/net.h"
#include "standin/fake_endpoint.h"
#include "standin/client_request.h"
#include "standin/fake_store.h"
#include "tests/proc.h"

enum {
	FIXTURE_DAEMONS = 3,
	FIXTURE_ENDPOINTS = 8,
};

typedef struct fixture {
	loop_t loop;
	fake_store_t *store;
	fake_endpoint_t *endpoint[FIXTURE_ENDPOINTS];
	char *addr[FIXTURE_ENDPOINTS], *id[FIXTURE_ENDPOINTS];
	int nendpoint;
	proc_t *daemon[FIXTURE_DAEMONS];
	char *dir, *store_addr, *settings[FIXTURE_DAEMONS];
	char *caller[FIXTURE_DAEMONS], *ready[FIXTURE_DAEMONS];
	char *entries[FIXTURE_DAEMONS];
	int peer_port;
	int config_version;
} fixture_t;

/** What one caller sees; its arg is the stage. */
typedef client_request_t caller_t;

/** A store with a configuration, no endpoints, no daemons. */
fixture_t *fixture_new(void);
void fixture_free(fixture_t *st);
/** Let all of it run for @p span ms. */
void fixture_run(fixture_t *st, ms_t span);
/** Let it run until @p cond holds. @return whether it does, within @p span. */
bool fixture_run_until(fixture_t *st, cond_t *cond, void *arg, ms_t span);
/** For stage_until(): has the first endpoint got a call? @param st a stage */
bool fixture_call_ran(void *st);
/** An endpoint, listed in the store. @return its index. */
int fixture_add_endpoint(
    fixture_t *st, const fake_endpoint_opts_t *o, const char *service);
void fixture_put_entry(
    fixture_t *st, int endpoint, const char *service, bool leaving);
/** Start daemon @p i and wait until it is ready, if it should be. */
void fixture_start_daemon(fixture_t *st, int i, bool wait_ready);
/** Write the next configuration. @param more further routes, JSON, or "". */
void fixture_put_config(fixture_t *st, const char *more);

/** Send a request's bytes to daemon @p i. */
caller_t *caller_send(fixture_t *st, int i, const char *bytes);
/** A plain call: "GET /safe/x" or "POST /once/x" and the like. */
caller_t *caller_call(fixture_t *st, int i, const char *method,
    const char *path, const char *id, const char *headers);
/** The same, to daemon 0; wait, and assert the status of the answer. */
caller_t *caller_expect(fixture_t *st, int status, const char *method,
    const char *path, const char *id, const char *headers);
/** Wait for its answer or its end. */
bool caller_wait(caller_t *c, ms_t span);
void caller_close(caller_t *c);
void caller_free(caller_t *c);
/** Ask one of a daemon's pages. @return the status, 0: none. */
int page_status(fixture_t *st, const char *addr, const char *path, char **body);

#endif
