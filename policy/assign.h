/**
 * @file assign.h
 * Assigns models to endpoints: each model has at least one copy, models in
 * demand have copies in proportion to their demand, and no endpoint is given
 * more than its memory holds.
 */
#ifndef ASSIGN_H
#define ASSIGN_H

#include "base/base.h"

/** The copy of a model at an endpoint. */
typedef enum copy_state {
	COPY_NONE,
	COPY_READY,
	COPY_LOADING,
	COPY_UNLOADING,
} copy_state_t;

typedef struct assign_model {
	double weights_mb;
	double demand;	     /* tokens per second */
	bool unserved;	     /* a call found no copy */
	int copies_min;	     /* that its adapters need */
	int pending_unloads; /* unloads in progress that make room for it */
	/* Set by assign_next_order(). */
	int copies, target;
} assign_model_t;

typedef struct assign_ep {
	bool usable;	     /* its copies serve calls */
	bool accepts_order;  /* can take an order now */
	double free_mb;	     /* not taken by copies held or possibly loading */
	double tokens_per_s; /* throughput */
	/* Set by assign_next_order(): the demand that its copies serve. */
	double assigned_demand;
} assign_ep_t;

typedef struct assign_input {
	assign_model_t *model;
	int nmodel;
	assign_ep_t *ep;
	int nep;
	const uint8_t *state;  /* copy_state_t, at [ep * nmodel + model] */
	const uint8_t *cached; /* likewise: weights are cached there */
	bool endpoints_stable; /* none was added recently */
	bool may_fetch;	       /* a load from the weight store is allowed */
} assign_input_t;

typedef enum assign_reason {
	ASSIGN_REPAIR,	    /* it has no copy */
	ASSIGN_DEMAND,	    /* too few copies for its demand */
	ASSIGN_SECOND_COPY, /* a second copy in free memory */
	ASSIGN_MAKE_ROOM,   /* an unload that makes room for a load */
} assign_reason_t;

typedef struct assign_order {
	bool load; /* or unload */
	int ep, model;
	assign_reason_t reason;
	int for_model; /* the model that an unload makes room for */
} assign_order_t;

/** @return true with the next order to send, or false if none is needed */
bool assign_next_order(assign_input_t *in, assign_order_t *out);
const char *assign_reason_name(assign_reason_t r);

#endif
