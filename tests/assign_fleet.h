/**
 * @file assign_fleet.h
 * Endpoints that carry out the orders of assign_orders() in simulated time, and
 * demand for their models.
 */
#ifndef ASSIGN_FLEET_H
#define ASSIGN_FLEET_H

#include "policy/assign.h"

#include <glib.h>

enum {
	SIM_HELD_MAX = 12, /* models at one endpoint */
	SIM_CACHED_MAX = 8,
	SIM_STEP_MS = 100, /* between rounds */
	SIM_ORDERS = 6,	   /* in one round */
	SIM_STAY_MS = 4000,
};

typedef struct sim_copy {
	int model;
	copy_state_t state;
	ms_t done_at, loaded_at;
} sim_copy_t;

typedef struct sim_ep {
	double memory_mb;
	sim_copy_t held[SIM_HELD_MAX];
	int nheld;
	int cached[SIM_CACHED_MAX];
	int ncached;
	int room_for;
	ms_t room_since, busy_until;
	bool lost; /* it takes no part any more */
} sim_ep_t;

typedef struct sim_model {
	double weights_mb;
	ms_t load;
	double offered;	  /* tokens per second that callers ask for */
	ms_t asked_every; /* of a rare one: one call so often, 0: none */
	int copies_min;
	/* What the planner knows. */
	double demand, interest;
	ms_t missing_since, asked_at;
	/* What happened. */
	ms_t longest_missing;
	int loads, unloads;
} sim_model_t;

typedef struct sim {
	sim_ep_t *ep;
	int nep;
	sim_model_t *model;
	int nmodel;
	ms_t now, unload;
	double tokens_per_s;
	double loads_per_s; /* from the weight store */
	GArray *fetched_at; /* ms_t */
	int orders;
	assign_model_t *last; /* the planner's view after the last round */
} sim_t;

sim_t *sim_new(int nep, double memory_mb, int nmodel, double weights_mb);
void sim_free(sim_t *f);
/** Put a copy at an endpoint at once. */
void sim_hold(sim_t *f, int ep, int model);
/**
 * Run rounds for @p span ms. Fails if an endpoint's memory or the weight
 * store's rate is exceeded.
 */
void sim_run(sim_t *f, ms_t span);
/** @return ready copies of a model */
int sim_copies(const sim_t *f, int model);
/** @return loads so far, of all models */
int sim_loads(const sim_t *f);

#endif
