/**
 * @file fake_endpoint.h
 * An endpoint that speaks the platform's protocol on the event loop of the
 * program that creates it: plain answers, streams, load and unload orders, and
 * injected faults.
 */
#ifndef FAKE_ENDPOINT_H
#define FAKE_ENDPOINT_H

#include "net/net.h"

#include <glib.h>

typedef enum endpoint_fault {
	ENDPOINT_OK,
	ENDPOINT_RESET,		 /* closes the connection once a call is read */
	ENDPOINT_NOT_RUN,	 /* 503 that states the call wasn't run */
	ENDPOINT_ERROR,		 /* 500, signed */
	ENDPOINT_BUSY,		 /* 503 that doesn't state whether it ran */
	ENDPOINT_SILENT,	 /* reads calls and never answers */
	ENDPOINT_CUT_STREAM,	 /* closes in the middle of the third event */
	ENDPOINT_EXTRA_ANSWER,	 /* sends a second answer after each */
	ENDPOINT_FOREIGN_ANSWER, /* sends an answer to another call first */
	ENDPOINT_FOREIGN_REFUSAL, /* the same, 503 */
	ENDPOINT_UNNAMED_REFUSAL, /* the same, without an id */
	ENDPOINT_UNSIGNED,	  /* a success without a signature */
	ENDPOINT_NO_LENGTH,	  /* delimits the body by closing */
	ENDPOINT_TRUNCATED,	  /* the same; half a body, then a reset */
	ENDPOINT_EARLY_ANSWER,	  /* answers before the body is read */
	ENDPOINT_UNFRAMED,	  /* streams that end by closing */
	ENDPOINT_UNFRAMED_CUT,	  /* the same, closed inside the third event */
	ENDPOINT_TORN_HEAD,	  /* ends anywhere in a head, also by a reset */
	ENDPOINT_EARLY_RESET,	  /* half an answer before the body is read */
} endpoint_fault_t;

/** A call that the endpoint ran. */
typedef struct executed_call {
	char *id;
	char version[ID_MAX]; /* of the endpoint's software */
	ms_t at;
	int64_t last_event_id; /* of the request, -1: none */
	ms_t time_left;	       /* Deadline-Remaining in ms, -1: none */
	bool kept;	       /* its connection had carried a call before */
	bool cancelled; /* its connection closed before the answer ended */
	bool complete;
	char *headers; /* request target, then a "Name: value" line each */
	char *body;
} executed_call_t;

/** An order that the endpoint received, and how it was answered. */
typedef struct received_order {
	char op[16], model[ID_MAX], adapter[ID_MAX], holder[ID_MAX];
	int64_t expect_revision, token; /* expect_revision -1: none */
	int status;
	ms_t at;
} received_order_t;

typedef struct fake_endpoint fake_endpoint_t;

/** A model that endpoints may be ordered to load. */
typedef struct model_spec {
	char name[ID_MAX];
	int mb, adapter_mb;
	ms_t load_ms;
} model_spec_t;

typedef struct fake_endpoint_opts {
	const char *id, *addr;
	const char *model; /* loaded from the start, NULL: a plain service */
	/* Orders for these are carried out, others only recorded. */
	const model_spec_t *models;
	int nmodel, weights_mb;
	/* Called when the set of loaded models changes, may be NULL. */
	void (*changed)(void *arg, fake_endpoint_t *ep);
	void *arg;
	int events;	 /* in a stream */
	ms_t event_gap;	 /* ms between events */
	ms_t plain_ms;	 /* ms until a plain answer */
	int event_bytes; /* least length of an event */
	int adapter_slots;
	const char *version; /* of its software, NULL: "v1" */
} fake_endpoint_opts_t;

fake_endpoint_t *fake_endpoint_new(loop_t *l, const fake_endpoint_opts_t *o);
void fake_endpoint_set_fault(fake_endpoint_t *ep, endpoint_fault_t f);
/**
 * Let it fall silent once: as soon as a run has sent its event @p after (0: as
 * soon as a call has come, before its first event or plain answer), no run
 * sends anything for @p span ms. Then all go on. Connections stay open, and
 * calls are accepted all the while.
 * @param after -1: not at all
 */
void fake_endpoint_set_silence(fake_endpoint_t *ep, int64_t after, ms_t span);
bool fake_endpoint_is_silent(const fake_endpoint_t *ep);
/** @return the calls that it ran, in order: executed_call_t. */
const GPtrArray *fake_endpoint_executed(const fake_endpoint_t *ep);
/** @return the orders that it received, in order: received_order_t. */
const GPtrArray *fake_endpoint_orders(const fake_endpoint_t *ep);
/** Load a model without an order, at once. */
void fake_endpoint_add_model(fake_endpoint_t *ep, const char *model);
/**
 * Restart under the same id with software @p version and a later start time:
 * its connections close, and it holds what it held at its first start.
 */
void fake_endpoint_restart(fake_endpoint_t *ep, const char *version);
/**
 * Crash and come back after @p down ms as after fake_endpoint_restart(), with
 * the same software. Until then connections are refused.
 */
void fake_endpoint_crash(fake_endpoint_t *ep, ms_t down);
/**
 * From now on crash for @p down ms whenever a run begins to write on a prompt
 * that has this part, unless it is the last one. @param part 0: no part
 */
void fake_endpoint_set_crash_part(
    fake_endpoint_t *ep, uint64_t part, ms_t down);
/**
 * From now on crash for @p down ms whenever it runs a request: after its
 * plain_ms, or before an event of a stream.
 * @param target NULL: no request
 */
void fake_endpoint_set_crash_request(
    fake_endpoint_t *ep, const char *target, const char *body, ms_t down);
/** Set that event; before the first one if it isn't set. */
void fake_endpoint_set_crash_event(fake_endpoint_t *ep, int64_t event);
/**
 * Name a limit, the value of a Server-Limit field, in all answers from now on.
 * It isn't enforced. @param text copied; NULL: name none
 */
void fake_endpoint_set_limit(fake_endpoint_t *ep, const char *text);
/**
 * Add header lines to all answers to calls from now on, refusals too.
 * @param lines each ended by CRLF; copied; NULL: none
 */
void fake_endpoint_set_headers(fake_endpoint_t *ep, const char *lines);
/** The same for the next refusal only, instead of these. */
void fake_endpoint_set_headers_once(fake_endpoint_t *ep, const char *lines);
/** The same for answers to orders and reports. */
void fake_endpoint_set_control_headers(fake_endpoint_t *ep, const char *lines);
/** Show another start time from now on, without a restart. */
void fake_endpoint_set_born(fake_endpoint_t *ep, int64_t born);
int64_t fake_endpoint_born(const fake_endpoint_t *ep);
/** @return when each call arrived, refused ones too: ms_t. */
const GArray *fake_endpoint_arrivals(const fake_endpoint_t *ep);
/** @return crashes since the start. */
int fake_endpoint_crashes(const fake_endpoint_t *ep);
/** @return whether the call is this request. */
bool fake_endpoint_is_request(
    const executed_call_t *r, const char *target, const char *body);
/** @return whether the prompt of a call has the part, not as its last one. */
bool fake_endpoint_has_part(const executed_call_t *r, uint64_t part);
const char *fake_endpoint_version(const fake_endpoint_t *ep);
const char *fake_endpoint_id(const fake_endpoint_t *ep);
/** @return orders carried out beyond its memory or adapter slots. */
int fake_endpoint_overcommits(const fake_endpoint_t *ep);
/** @return calls that it refused as not run. */
int fake_endpoint_refused(const fake_endpoint_t *ep);
/** @return connections accepted since the start. */
int fake_endpoint_connections(const fake_endpoint_t *ep);
/**
 * Make its entry; its seq counts these.
 * @return the JSON text, g_malloc'd
 */
char *fake_endpoint_entry(
    fake_endpoint_t *ep, const char *service, const char *domain, bool leaving);
/** @return the text of an event of a stream, g_malloc'd. */
char *fake_endpoint_event(int64_t id, int bytes);
void fake_endpoint_free(fake_endpoint_t *ep);

#endif
