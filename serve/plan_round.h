/**
 * @file plan_round.h
 * One placement round of the holder: what it knows of a service, as lists of
 * indexes. Internal to the files that plan.
 */
#ifndef PLAN_ROUND_H
#define PLAN_ROUND_H

#include "serve/plan.h"

enum {
	/* Tokens/s, until a speed was measured. */
	DEFAULT_PREFILL_SPEED = 15000,
};

/** Demand of all instances for one adapter. */
typedef struct adapter_demand {
	char adapter[16];
	int model;
	double work;
	bool unserved;
	bool all_tried; /* a call has tried all copies: load one more */
	int copies;
	const dispatcher_t *counted_at; /* the last one, while counting */
} adapter_demand_t;

typedef struct plan_round {
	plan_t *p;
	const service_def_t *def;
	assign_model_t *model;
	plan_model_t **kept; /* by model */
	assign_ep_t *ep;
	dispatcher_t **dispatcher; /* by endpoint */
	int nep;
	GArray *copy;		/* assign_copy_t, by endpoint */
	GArray *cached;		/* int: models, by endpoint */
	GArray *adapter;	/* adapter_demand_t */
	GHashTable *adapter_at; /* index + 1, by adapter_key() */
} plan_round_t;

/** Gather what decides. The result must be freed. plan_input.c */
void round_init(plan_round_t *r, plan_t *p, const service_def_t *def);
void round_free(plan_round_t *r);
/** @return the demand for an adapter, NULL: none */
adapter_demand_t *round_adapter(
    const plan_round_t *r, int model, const char *adapter);

/** Keep how long models have been asked for. plan_model.c */
plan_model_t *plan_model(plan_t *p, const char *service, const char *model);
/** Update what is kept of the models before a round decides. */
void round_read_models(plan_round_t *r);
/** Keep what the round found of missing models. */
void round_keep_models(plan_round_t *r);

/** Order adapters. plan_adapters.c */
void order_adapters(plan_round_t *r);

#endif
