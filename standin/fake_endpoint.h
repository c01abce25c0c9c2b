/**
 * @file fake_endpoint.h
 * Endpoints that speak the platform's protocol, on the caller's event loop:
 * plain answers, streams and orders, with faults to be set.
 */
#ifndef FAKE_ENDPOINT_H
#define FAKE_ENDPOINT_H

#include "net/net.h"

#include <glib.h>

typedef enum hand_fault {
	HAND_SOUND,
	HAND_RESET,    /* closes after it has taken a call, no answer */
	HAND_NOT_RUN,  /* 503, and says that it didn't run it */
	HAND_ERROR,    /* 500 of its own */
	HAND_BUSY,     /* 503 without a word on whether it ran */
	HAND_MUTE,     /* takes calls and says nothing */
	HAND_CUT,      /* breaks a stream off inside its third event */
	HAND_EXTRA,    /* a second answer after each */
	HAND_FOREIGN,  /* an answer to another call first */
	HAND_UNSIGNED, /* a success without its signature */
	HAND_UNFRAMED, /* no length: the end of the connection ends it */
	HAND_TORN,     /* no length, half of it, and a reset */
	HAND_EARLY,    /* answers a request before it has read its body */
} hand_fault_t;

/** A call that it ran. */
typedef struct run {
	char id[80];
	ms_t at;
	int64_t from;	/* last event that the caller had, -1: none */
	ms_t left;	/* time limit that it was given, -1: none */
	bool cancelled; /* its connection closed before the end */
	bool whole;
	char *head; /* names and values, a line each */
	char *body;
} run_t;

typedef struct order_seen {
	char op[16], model[ID_MAX], adapter[ID_MAX], holder[ID_MAX];
	int64_t expect, token;
	int status;
} order_seen_t;

typedef struct hand hand_t;

/** A model that endpoints may be ordered to hold. */
typedef struct ware {
	char name[ID_MAX];
	int mb, adapter_mb;
	ms_t load;
} ware_t;

typedef struct hand_opts {
	const char *id, *addr;
	const char *model; /* that it holds, NULL: a plain service */
	/* It carries out orders for these; none: it only counts them. */
	const ware_t *ware;
	int nware, weights_mb;
	/* What it holds has changed. */
	void (*changed)(void *arg, hand_t *h);
	void *arg;
	int events; /* in a stream */
	ms_t gap;   /* between them */
	ms_t work;  /* of a plain answer */
	int adapter_slots;
} hand_opts_t;

hand_t *hand_new(loop_t *l, const hand_opts_t *o);
void hand_fault(hand_t *h, hand_fault_t f);
/** Runs in order; run_t. */
const GPtrArray *hand_runs(const hand_t *h);
/** Orders in order; order_seen_t. */
const GPtrArray *hand_orders(const hand_t *h);
/** Hold a further model, without an order. */
void hand_hold(hand_t *h, const char *model);
const char *hand_id(const hand_t *h);
/** Orders that it took beyond its memory or its places. */
int hand_over(const hand_t *h);
/** Connections that were made to it. */
int hand_connections(const hand_t *h);
/** Content of its entry in the store, g_malloc'd. */
char *hand_entry(
    const hand_t *h, const char *service, const char *domain, bool leaving);
void hand_free(hand_t *h);

#endif
