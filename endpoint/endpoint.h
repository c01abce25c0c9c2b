/**
 * @file endpoint.h
 * Engines and plain services: streamed calls, load reports, orders.
 * docs/INTERFACES.md has the wire.
 */
#ifndef ENDPOINT_H
#define ENDPOINT_H

#include "base/base.h"
#include "policy/policy.h"

/* Calls: one thread over libcurl's multi interface. call.c */

typedef struct endpoint endpoint_t;

typedef enum event_kind {
	EVENT_TOKEN, /* a checked token of a stream */
	EVENT_END,   /* the call has ended; the last event */
} event_kind_t;

typedef struct call_event {
	event_kind_t kind;
	uint64_t tag;	 /* the asker's */
	uint32_t offset; /* TOKEN: its place in the answer; END: the next */
	/* TOKEN text; END body, of a DONE stream "stop" or "length"; malloc'd,
	 * the receiver's, may be NULL at the END */
	char *text;
	size_t len;
	/* END */
	call_outcome_t outcome; /* DONE only with the end marker seen */
	bool sent;		/* a byte of the request may have gone out */
	bool not_run;		/* not sent, or the endpoint said so itself */
	bool connected;		/* false: the worker could not be reached */
	int status;		/* HTTP, 0 if none came */
	char type[ID_MAX];	/* content type */
	ms_t retry_after;	/* the endpoint's, 0 if none */
	char reason[128];
} call_event_t;

typedef struct call_spec {
	uint64_t tag;
	char addr[ADDR_MAX];
	char request[ID_MAX];
	ms_t timeout;		  /* altogether */
	ms_t first_token_timeout; /* until the first token, 0: only the timeout
				   */
	ms_t token_timeout;	  /* between tokens, then it counts as broken */
	bool plain;
	/* engine */
	char model[ID_MAX];
	char adapter[ID_MAX];
	uint64_t version;
	char *prompt; /* malloc'd, the endpoint thread's to free */
	uint32_t max_tokens;
	uint32_t offset; /* first token wanted */
	uint32_t rank;
	bool resume; /* read from offset the stream the engine still has */
	/* plain */
	char method[16];
	char path[256];
	char key[256]; /* Idempotency-Key or empty */
	char type[ID_MAX];
	/* May go out on a kept connection: saves a round trip, but if the
	 * endpoint closes that meanwhile, the outcome is UNKNOWN. */
	bool reuse;
	char *body; /* malloc'd, the endpoint thread's to free */
	size_t body_len;
} call_spec_t;

typedef struct endpoint_opts {
	const settings_t *settings;
	/* of call_event_t *; while it is full, streams are not read on */
	ring_t *events;
} endpoint_opts_t;

/** Starts the thread. */
endpoint_t *endpoint_new(const endpoint_opts_t *o, err_t *e);
/** Stops it; calls still in progress are dropped without an event. */
void endpoint_free(endpoint_t *p);
/**
 * Start a call. Tags of calls in progress must differ.
 * @param spec malloc'd; taken over unless the result is false.
 * @return false: ring full, nothing was sent.
 */
bool endpoint_start(endpoint_t *p, call_spec_t *spec);
/** Cancel a call, also at the engine; its END event still comes. */
void endpoint_cancel(endpoint_t *p, uint64_t tag);
void call_spec_free(call_spec_t *spec);
void call_event_free(call_event_t *ev);

/* Load reports: one thread asks all workers given to it. load.c */

typedef enum resident_state {
	RESIDENT_LOADING,
	RESIDENT_READY,
	RESIDENT_UNLOADING
} resident_state_t;

typedef struct resident {
	char model[ID_MAX];
	char adapter[ID_MAX];
	uint64_t version;
	resident_state_t state;
	uint32_t memory_mb;
} resident_t;

typedef struct load_report {
	char worker[ID_MAX];
	char incarnation[ID_MAX];
	bool reached;  /* false: this poll got no answer */
	ms_t taken_at; /* monotonic, ours */
	uint32_t in_flight, queued, slots;
	uint32_t memory_mb, used_mb;
	uint64_t last_order; /* highest order number it has seen */
	bool leaving;
	resident_t *resident;
	int nresident;
} load_report_t;

typedef struct load_target {
	char worker[ID_MAX];
	char addr[ADDR_MAX];
} load_target_t;

typedef struct load_poller load_poller_t;
/** @param reports ring of load_report_t *, freed with load_report_free(). */
load_poller_t *load_poller_new(const settings_t *s, ring_t *reports, err_t *e);
void load_poller_free(load_poller_t *l);
/** Replace the set of workers polled. */
void load_poller_set(load_poller_t *l, const load_target_t *t, int n);
void load_report_free(load_report_t *r);

/* Orders and state, blocking; an orders_t belongs to one thread. order.c */

typedef enum order_kind {
	ORDER_LOAD,
	ORDER_UNLOAD,
	ORDER_ROLE
} order_kind_t;

typedef struct order {
	order_kind_t kind;
	uint64_t number;
	uint64_t fence;
	char incarnation[ID_MAX]; /* of the one process it is meant for */
	char model[ID_MAX];
	char adapter[ID_MAX];
	uint64_t version;
	uint32_t memory_mb;
	char role[ID_MAX];
} order_t;

typedef struct orders orders_t;
orders_t *orders_new(ms_t timeout, err_t *e);
void orders_free(orders_t *o);
/**
 * Open a connection for the next orders to one engine process: asks over it
 * which one answers. Orders go over it until one fails.
 * @return 0; -1: another process is there, or none that answers.
 */
int orders_connect(
    orders_t *o, const char *addr, const char *incarnation, err_t *e);
/**
 * Send an order to the engine process that it names; another that answers at
 * @p addr, now or later, never gets it.
 * @return 0: the engine has taken it; -1: CONFLICT (it refused: stale fence
 * or number), FULL (no memory there), DOWN (not sent), UNKNOWN.
 */
int orders_send(orders_t *o, const char *addr, const order_t *order, err_t *e);
/** Ask for a load report now. */
int orders_read_load(
    orders_t *o, const char *addr, load_report_t *out, err_t *e);

#endif
