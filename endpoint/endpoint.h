/**
 * @file endpoint.h
 * Client of engines and plain services: calls, load reports and orders. The
 * protocol is in docs/INTERFACES.md.
 */
#ifndef ENDPOINT_H
#define ENDPOINT_H

#include "base/base.h"
#include "policy/policy.h"

/* Calls: one thread over libcurl's multi interface. call.c */

typedef struct endpoint endpoint_t;

typedef enum event_kind {
	EVENT_TOKEN, /* the next token of a stream */
	/* no token for a timeout; repeated after each further one */
	EVENT_SILENT,
	EVENT_END, /* the call has ended; the last event */
} event_kind_t;

typedef struct call_event {
	event_kind_t kind;
	uint64_t tag;	 /* of the call_spec_t */
	uint32_t offset; /* TOKEN: of the token; END: of the next one */
	/* TOKEN: its text; END: the body, or of a DONE stream "stop" or
	 * "length", may be NULL. malloc'd, freed with the event */
	char *text;
	size_t len;
	/* END */
	call_outcome_t outcome; /* a stream is DONE only after its end marker */
	bool sent;		/* a byte of the request may have been sent */
	bool not_run;	   /* not sent, or the endpoint said it didn't run it */
	bool connected;	   /* false: no connection to the endpoint */
	int status;	   /* HTTP status, 0 if none was received */
	char type[ID_MAX]; /* content type */
	ms_t retry_after;  /* from the endpoint, 0 if none */
	char reason[128];
} call_event_t;

typedef struct call_spec {
	uint64_t tag;
	char addr[ADDR_MAX];
	char request[ID_MAX];
	ms_t timeout;		  /* of the whole call */
	ms_t first_token_timeout; /* 0: none */
	ms_t token_timeout;	  /* between two tokens, 0: none */
	/* Report a stream's silence and go on, instead of ending the call. */
	bool report_silence;
	bool plain;
	/* engine */
	char model[ID_MAX];
	char adapter[ID_MAX];
	uint64_t version;
	char *prompt; /* malloc'd, freed with the spec */
	uint32_t max_tokens;
	uint32_t offset;   /* of the first token wanted */
	uint32_t priority; /* 0 (urgent) to 2 (batch) */
	bool resume; /* read a stream that the engine keeps, from offset */
	/* plain */
	char method[16];
	char path[256];
	char key[256]; /* Idempotency-Key or empty */
	char type[ID_MAX];
	/* An idle connection may be reused. That saves a round trip, but if
	 * the endpoint closes it at that moment, the outcome is UNKNOWN. */
	bool reuse;
	char *body; /* malloc'd, freed with the spec */
	size_t body_len;
} call_spec_t;

typedef struct endpoint_opts {
	const settings_t *settings;
	/* of call_event_t *; while it is full, streams are paused */
	ring_t *events;
} endpoint_opts_t;

/** Starts the thread. */
endpoint_t *endpoint_new(const endpoint_opts_t *o, err_t *e);
/** Stops the thread; calls in progress end without an event. */
void endpoint_free(endpoint_t *p);
/**
 * Start a call. Calls in progress must have different tags.
 * @param spec malloc'd; taken over unless the result is false
 * @return false if the ring is full; nothing was sent
 */
bool endpoint_start(endpoint_t *p, call_spec_t *spec);
/** Cancel a call, also at the engine. Its END event still follows. */
void endpoint_cancel(endpoint_t *p, uint64_t tag);
/**
 * End a stream that is still silent. One that began isn't cancelled at the
 * engine, so that it can be resumed. Its END event still follows.
 */
void endpoint_leave_silent(endpoint_t *p, uint64_t tag);
void call_spec_free(call_spec_t *spec);
void call_event_free(call_event_t *ev);

/* Load reports: one thread polls a set of workers. load.c */

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
	bool reached;  /* false: this poll had no valid answer */
	ms_t taken_at; /* our monotonic clock, when it was requested */
	uint32_t in_flight, queued, slots;
	uint32_t memory_mb, used_mb;
	uint64_t last_order; /* highest order number received */
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

/* Orders. Calls block; an orders_t belongs to one thread. order.c */

typedef enum order_kind {
	ORDER_LOAD,
	ORDER_UNLOAD,
	ORDER_ROLE
} order_kind_t;

typedef struct order {
	order_kind_t kind;
	uint64_t number;
	uint64_t fencing_token;
	char incarnation[ID_MAX]; /* of the engine process it is for */
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
 * Connect to an engine process and verify its incarnation by a load report.
 * Orders use this connection until one fails.
 * @return 0, or -1: DOWN (another process, or no answer)
 */
int orders_connect(
    orders_t *o, const char *addr, const char *incarnation, err_t *e);
/**
 * Send an order to the engine process that it names. Another process that
 * answers at @p addr, now or later, never receives it.
 * @return 0 if the engine accepted it, or -1: CONFLICT (stale fencing token or
 * number), FULL (not enough memory), DOWN (not executed), UNKNOWN
 */
int orders_send(orders_t *o, const char *addr, const order_t *order, err_t *e);
/** Request a load report. @return 0, or -1 */
int orders_read_load(
    orders_t *o, const char *addr, load_report_t *out, err_t *e);

#endif
