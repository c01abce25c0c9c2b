/**
 * @file environment.h
 * What surrounds a deployment's daemons: store, endpoints, and the settings
 * files that the daemons are started with, of sizes that a file gives.
 */
#ifndef ENVIRONMENT_H
#define ENVIRONMENT_H

#include "standin/loadgen.h"
#include "standin/fake_store.h"

enum {
	DAEMONS = 64
};

/** Sizes of a deployment, from its file. */
typedef struct sizes {
	char domains[512];
	int daemons, engines, plain, models, adapters;
	int weights_mb, adapter_slots, model_mb, adapter_mb, load_ms;
	int loads_per_s, slots, events, gap_ms, plain_ms, rate;
} sizes_t;

typedef struct ground {
	loop_t loop;
	sizes_t z;
	const char *dir;
	char *store, *host;
	char **given; /* ports */
	int ngiven;   /* taken of them */
	fake_store_t *shelf;
	char **domain;
	model_spec_t *ware;
	fake_endpoint_t **hand;
	char **place; /* domain of each hand */
	int nhand;
	char *caller[DAEMONS], *ready[DAEMONS], *entries[DAEMONS];
	char *settings[DAEMONS]; /* paths */
	bool is_ready[DAEMONS];
	int asked;
	http_request_t *asking;
	alarm_t ask;
} ground_t;

typedef struct ground_opts {
	const char *name, *sizes; /* of the deployment, and its file */
	const char *dir;	  /* settings files go there, and a list */
	const char *ports;	  /* free ones, "P,P,..." */
} ground_opts_t;

/** Ends the program if the sizes can't be read or the ports are too few. */
ground_t *ground_new(const ground_opts_t *o);
/** Have all daemons been ready once? */
bool ground_ready(const ground_t *y);
/** Fill in all but what the caller of this decides: span, rate, hooks. */
void ground_load(ground_t *y, loadgen_opts_t *o);
/** Orders beyond an endpoint's memory or places, of all. */
int ground_over(const ground_t *y);
int ground_orders(const ground_t *y);
void ground_free(ground_t *y);

#endif
