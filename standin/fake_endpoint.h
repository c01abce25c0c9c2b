/**
 * @file fake_endpoint.h
 * Endpoints that speak the platform's protocol, on the caller's event loop:
 * plain answers, streams and orders, with faults to be set.
 */
#ifndef FAKE_ENDPOINT_H
#define FAKE_ENDPOINT_H

#include "net/net.h"

#include <glib.h>

typedef enum endpoint_fault {
	ENDPOINT_OK,
	ENDPOINT_RESET,	       /* closes after it has taken a call, no answer */
	ENDPOINT_NOT_RUN,      /* 503, and says that it didn't run it */
	ENDPOINT_ERROR,	       /* 500 of its own */
	ENDPOINT_BUSY,	       /* 503 without a word on whether it ran */
	ENDPOINT_SILENT,       /* takes calls and says nothing */
	ENDPOINT_CUT_STREAM,   /* breaks a stream off inside its third event */
	ENDPOINT_EXTRA_ANSWER, /* a second answer after each */
	ENDPOINT_FOREIGN_ANSWER, /* an answer to another call first */
	ENDPOINT_UNSIGNED,	 /* a success without its signature */
	ENDPOINT_NO_LENGTH, /* no length: the end of the connection ends it */
	ENDPOINT_TRUNCATED, /* no length, half of it, and a reset */
	ENDPOINT_EARLY_ANSWER, /* answers a request before it has read its body
				*/
} endpoint_fault_t;

/** A call that it ran. */
typedef struct executed_call {
	char id[80];
	ms_t at;
	int64_t last_event_id; /* last event that the caller had, -1: none */
	ms_t time_left;	       /* time limit that it was given, -1: none */
	bool cancelled;	       /* its connection closed before the end */
	bool complete;
	char *headers; /* names and values, a line each */
	char *body;
} executed_call_t;

typedef struct received_order {
	char op[16], model[ID_MAX], adapter[ID_MAX], holder[ID_MAX];
	int64_t expect_revision, token;
	int status;
} received_order_t;

typedef struct fake_endpoint fake_endpoint_t;

/** A model that endpoints may be ordered to hold. */
typedef struct model_spec {
	char name[ID_MAX];
	int mb, adapter_mb;
	ms_t load_ms;
} model_spec_t;

typedef struct fake_endpoint_opts {
	const char *id, *addr;
	const char *model; /* that it holds, NULL: a plain service */
	/* It carries out orders for these; none: it only counts them. */
	const model_spec_t *models;
	int nmodel, weights_mb;
	/* What it holds has changed. */
	void (*changed)(void *arg, fake_endpoint_t *h);
	void *arg;
	int events;	/* in a stream */
	ms_t event_gap; /* between them */
	ms_t plain_ms;	/* of a plain answer */
	int adapter_slots;
} fake_endpoint_opts_t;

fake_endpoint_t *fake_endpoint_new(loop_t *l, const fake_endpoint_opts_t *o);
void fake_endpoint_set_fault(fake_endpoint_t *h, endpoint_fault_t f);
/** Runs in order; run_t. */
const GPtrArray *fake_endpoint_executed(const fake_endpoint_t *h);
/** Orders in order; order_seen_t. */
const GPtrArray *fake_endpoint_orders(const fake_endpoint_t *h);
/** Hold a further model, without an order. */
void fake_endpoint_add_model(fake_endpoint_t *h, const char *model);
const char *fake_endpoint_id(const fake_endpoint_t *h);
/** Orders that it took beyond its memory or its places. */
int fake_endpoint_overcommits(const fake_endpoint_t *h);
/** Connections that were made to it. */
int fake_endpoint_connections(const fake_endpoint_t *h);
/** Content of its entry in the store, g_malloc'd. */
char *fake_endpoint_entry(const fake_endpoint_t *h, const char *service,
    const char *domain, bool leaving);
void fake_endpoint_free(fake_endpoint_t *h);

#endif
