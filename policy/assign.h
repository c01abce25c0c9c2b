/**
 * @file assign.h
 * Assigns models to endpoints. What is asked for has at least one copy, or gets
 * one in its turn; models in demand have copies in proportion to it; listed
 * models that nobody asks for take what memory is left; and no endpoint is
 * given more than its memory holds. See docs/design/placement.md.
 *
 * Copies and cached weights are lists by endpoint, and models are indexes, so
 * that a round is linear in endpoints, models and copies.
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

typedef struct assign_copy {
	int model; /* -1: a model that isn't listed */
	copy_state_t state;
	ms_t stays; /* ms until it may make room for others */
} assign_copy_t;

typedef struct assign_model {
	double weights_mb; /* not above 0: it is never loaded */
	double demand;	   /* tokens per second, lately */
	double interest;   /* tokens per second, over a longer time */
	bool unserved;	   /* a call found no copy */
	ms_t waited;	   /* for which it was asked for and had no copy */
	int copies_min;	   /* that its adapters need */
	/* Set by assign_orders(). */
	int copies, target;
	int rooms; /* endpoints where room for it is made */
	/*
	 * Asked for, without a copy and without room made for it: ms until it
	 * may replace another copy; -1: not known.
	 */
	ms_t turn_in;
} assign_model_t;

typedef struct assign_ep {
	bool usable;	     /* its copies serve calls */
	bool accepts_order;  /* can take an order now */
	double free_mb;	     /* not taken by copies held or possibly loading */
	double tokens_per_s; /* throughput */
	int copy, ncopy;     /* its part of assign_input_t.copy */
	int cached, ncached; /* its part of assign_input_t.cached */
	/*
	 * The model for which room is being made here, -1: none. Set by
	 * assign_orders(), to be passed to the next round.
	 */
	int room_for;
	ms_t room_age; /* ms since then */
	/* Set by assign_orders(): the demand that its copies serve. */
	double assigned_demand;
} assign_ep_t;

typedef struct assign_input {
	assign_model_t *model;
	int nmodel;
	assign_ep_t *ep;
	int nep;
	assign_copy_t *copy;
	const int *cached;     /* models whose weights are cached there */
	bool endpoints_stable; /* none was added recently */
	int fetches;  /* loads from the weight store allowed now; updated */
	bool all_fit; /* set by assign_orders(): memory holds all listed models
		       */
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
	bool fetched;  /* a load that isn't from the endpoint's cache */
} assign_order_t;

/**
 * The orders to send now, at most one for each endpoint.
 * @param in updated as if they were accepted
 * @return their number, at most @p most
 */
int assign_orders(assign_input_t *in, assign_order_t *out, int most);
const char *assign_reason_name(assign_reason_t r);

#endif
