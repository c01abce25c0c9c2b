/**
 * @file assign.h
 * Which endpoint holds what: every model somewhere, the asked for ones in
 * proportion to their work, and no more than the memory holds.
 */
#ifndef ASSIGN_H
#define ASSIGN_H

#include "base/base.h"

typedef enum spread_held {
	SPREAD_NO,
	SPREAD_READY,
	SPREAD_COMING,
	SPREAD_GOING,
} spread_held_t;

typedef struct spread_model {
	double mb;
	double work;  /* tokens a second that are asked for */
	bool waiting; /* a call found it nowhere */
	int least;    /* copies that its adapters need */
	int making;   /* unloads under way that make room for it */
	/* Made by spread_next(). */
	int copies, target;
} spread_model_t;

typedef struct spread_ep {
	bool usable; /* what it holds serves calls */
	bool free;   /* takes an order now */
	double room; /* MB beside all that is or may come to be held */
	double pace; /* tokens a second that it works off */
	/* Made by spread_next(). */
	double work;
} spread_ep_t;

typedef struct spread_in {
	spread_model_t *model;
	int nmodel;
	spread_ep_t *ep;
	int nep;
	const uint8_t *held; /* held[ep * nmodel + model], spread_held_t */
	const uint8_t *hand; /* the same: its weights are quick to load */
	bool settled;	     /* no endpoint came just now */
	bool may_fetch;	     /* a load from the weight store is allowed now */
} spread_in_t;

typedef enum spread_reason {
	SPREAD_REPAIR, /* no copy is left */
	SPREAD_DEMAND, /* too few for what is asked */
	SPREAD_SECOND, /* a second copy where there is room */
	SPREAD_ROOM,   /* an unload that makes room */
} spread_reason_t;

typedef struct spread_move {
	bool load; /* or unload */
	int ep, model;
	spread_reason_t reason;
	int for_model; /* of an unload */
} spread_move_t;

/** @return true and the next order to give, or false: all is well. */
bool spread_next(spread_in_t *in, spread_move_t *out);
const char *spread_reason_name(spread_reason_t r);

#endif
