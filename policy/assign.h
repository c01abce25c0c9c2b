/**
 * @file assign.h
 * Which endpoint holds what: every model somewhere, the asked for ones in
 * proportion to their work, and no more than the memory holds.
 */
#ifndef ASSIGN_H
#define ASSIGN_H

#include "base/base.h"

typedef enum copy_state {
	COPY_NONE,
	COPY_READY,
	COPY_LOADING,
	COPY_UNLOADING,
} copy_state_t;

typedef struct assign_model {
	double weights_mb;
	double demand;	     /* tokens a second that are asked for */
	bool unserved;	     /* a call found it nowhere */
	int copies_min;	     /* copies that its adapters need */
	int pending_unloads; /* unloads under way that make room for it */
	/* Made by assign_next_order(). */
	int copies, target;
} assign_model_t;

typedef struct assign_ep {
	bool usable;	     /* what it holds serves calls */
	bool accepts_order;  /* takes an order now */
	double free_mb;	     /* MB beside all that is or may come to be held */
	double tokens_per_s; /* tokens a second that it works off */
	/* Made by assign_next_order(). */
	double assigned_demand;
} assign_ep_t;

typedef struct assign_input {
	assign_model_t *model;
	int nmodel;
	assign_ep_t *ep;
	int nep;
	const uint8_t *state;  /* held[ep * nmodel + model], copy_state_t */
	const uint8_t *cached; /* the same: its weights are quick to load */
	bool endpoints_stable; /* no endpoint came just now */
	bool may_fetch;	       /* a load from the weight store is allowed now */
} assign_input_t;

typedef enum assign_reason {
	ASSIGN_REPAIR,	    /* no copy is left */
	ASSIGN_DEMAND,	    /* too few for what is asked */
	ASSIGN_SECOND_COPY, /* a second copy where there is room */
	ASSIGN_MAKE_ROOM,   /* an unload that makes room */
} assign_reason_t;

typedef struct assign_order {
	bool load; /* or unload */
	int ep, model;
	assign_reason_t reason;
	int for_model; /* of an unload */
} assign_order_t;

/** @return true and the next order to give, or false: all is well. */
bool assign_next_order(assign_input_t *in, assign_order_t *out);
const char *assign_reason_name(assign_reason_t r);

#endif
