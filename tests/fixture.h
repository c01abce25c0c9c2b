/**
 * @file fixture.h
 * Test fixture: a store and endpoints that speak the platform's protocol and
 * run in the test program, up to four daemons as real processes, and callers.
 */
#ifndef FIXTURE_H
#define FIXTURE_H

#include "net/net.h"
#include "standin/fake_endpoint.h"
#include "standin/client_request.h"
#include "standin/fake_store.h"
#include "tests/proc.h"

enum {
	FIXTURE_DAEMONS = 4,
	FIXTURE_ENDPOINTS = 24,
};

typedef struct fixture {
	loop_t loop;
	fake_store_t *store;
	fake_endpoint_t *endpoint[FIXTURE_ENDPOINTS];
	char *addr[FIXTURE_ENDPOINTS], *id[FIXTURE_ENDPOINTS];
	const char *domain[FIXTURE_ENDPOINTS]; /* "north", as the daemons' */
	const char *service[FIXTURE_ENDPOINTS];
	int nendpoint;
	proc_t *daemon[FIXTURE_DAEMONS];
	/* Under build/bin; NULL: "ebonypitchd". For daemons started later. */
	const char *program[FIXTURE_DAEMONS];
	char *dir, *store_addr;
	char *settings[FIXTURE_DAEMONS]; /* paths of the files */
	/* The daemons' addresses for calls, readiness and the entry list. */
	char *caller[FIXTURE_DAEMONS], *ready[FIXTURE_DAEMONS];
	char *entries[FIXTURE_DAEMONS];
	/* Set by links_new(): the store's address for each daemon, and the
	   addresses of the endpoints that it is shown there. */
	char *view_addr[FIXTURE_DAEMONS];
	char *link_addr[FIXTURE_DAEMONS][FIXTURE_ENDPOINTS];
	/* The same for all, as each has its own IP; used at the first start. */
	int peer_port;
	int config_version;
	/* Of daemons and configurations from now on, 0: the usual. */
	int memory_mb, max_fds, body_max;
	/* For configurations put from now on, as ",\"tenants\":[...]"; NULL:
	 * none. */
	const char *organisations;
	bool no_bootstrap; /* in the settings of daemons started from now on */
} fixture_t;

/** A caller's request; its arg is the fixture. */
typedef client_request_t caller_t;

/** Start the store, without configuration, endpoints or daemons. */
fixture_t *fixture_new(void);
void fixture_free(fixture_t *st);
/** Run the event loop for @p span ms. */
void fixture_run(fixture_t *st, ms_t span);
/** Run until @p cond holds. @return whether it did within @p span ms. */
bool fixture_run_until(fixture_t *st, cond_t *cond, void *arg, ms_t span);
/**
 * Condition for fixture_run_until(): the first endpoint has run a call.
 * @param st the fixture
 */
bool fixture_call_ran(void *st);
/** Start an endpoint and put its entry into the store. @return its index. */
int fixture_add_endpoint(
    fixture_t *st, const fake_endpoint_opts_t *o, const char *service);
/** Write the store entry of an endpoint. */
void fixture_put_entry(
    fixture_t *st, int endpoint, const char *service, bool leaving);
/**
 * Write the entry of an endpoint again; to be given to it as its changed
 * function. @param arg the fixture
 */
void fixture_entry_changed(void *arg, fake_endpoint_t *ep);
/** Start daemon @p i and, if @p wait_ready, wait until it is ready. */
void fixture_start_daemon(fixture_t *st, int i, bool wait_ready);
/** Kill all daemons that run. */
void fixture_stop_daemons(fixture_t *st);
/**
 * Write the next version of the configuration.
 * @param more further routes as ",{...}" JSON text, or ""
 */
void fixture_put_config(fixture_t *st, const char *more);

/** Send the bytes of a request to daemon @p i. */
caller_t *caller_send(fixture_t *st, int i, const char *bytes);
/** Send a call, e.g. GET /safe/x; a POST has a body of four bytes. */
caller_t *caller_call(fixture_t *st, int i, const char *method,
    const char *path, const char *id, const char *headers);
/** Send a call to daemon 0, wait for the answer and assert its status. */
caller_t *caller_expect(fixture_t *st, int status, const char *method,
    const char *path, const char *id, const char *headers);
/** Wait for the answer or the end of the connection, at most @p span ms. */
bool caller_wait(caller_t *c, ms_t span);
void caller_close(caller_t *c);
void caller_free(caller_t *c);
/** Free a list of callers, and these. */
void caller_list_free(GPtrArray *calls);
/**
 * Get one of a daemon's pages.
 * @param body set to the body, g_malloc'd; may be NULL
 * @return the status, 0 without a complete answer
 */
int page_status(fixture_t *st, const char *addr, const char *path, char **body);
/** @return a counter or gauge of a daemon, 0: it has none */
int64_t fixture_counter(fixture_t *st, int daemon, const char *name);
/** @return its sum over the daemons that were started */
int64_t fixture_counter_sum(fixture_t *st, const char *name);
/** @return crashes of all endpoints so far */
int fixture_crashes(const fixture_t *st);

#endif
