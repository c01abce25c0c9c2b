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
	DAEMONS_MAX = 64
};

/** Sizes of a deployment, from its file. */
typedef struct deployment_sizes {
	char domains[512];
	int daemons, engines, plain, models, adapters;
	int weights_mb, adapter_slots, model_mb, adapter_mb, load_ms;
	int loads_per_s, slots, events, gap_ms, plain_ms, rate;
} deployment_sizes_t;

typedef struct environment {
	loop_t loop;
	deployment_sizes_t sizes;
	const char *dir;
	char *store, *host;
	char **ports;	/* ports */
	int ports_used; /* taken of them */
	fake_store_t *fake_store;
	char **domain;
	model_spec_t *models;
	fake_endpoint_t **endpoint;
	char **endpoint_domain; /* domain of each hand */
	int nendpoint;
	char *caller[DAEMONS_MAX], *ready[DAEMONS_MAX], *entries[DAEMONS_MAX];
	char *settings[DAEMONS_MAX]; /* paths */
	bool is_ready[DAEMONS_MAX];
	int probed;
	client_request_t *probe;
	alarm_t probe_alarm;
} environment_t;

typedef struct environment_opts {
	const char *name, *sizes; /* of the deployment, and its file */
	const char *dir;	  /* settings files go there, and a list */
	const char *ports;	  /* free ones, "P,P,..." */
} environment_opts_t;

/** Ends the program if the sizes can't be read or the ports are too few. */
environment_t *environment_new(const environment_opts_t *o);
/** Have all daemons been ready once? */
bool environment_ready(const environment_t *env);
/** Fill in all but what the caller of this decides: span, rate, hooks. */
void environment_load_opts(environment_t *env, loadgen_opts_t *o);
/** Orders beyond an endpoint's memory or places, of all. */
int environment_overcommits(const environment_t *env);
int environment_orders(const environment_t *env);
void environment_free(environment_t *env);

#endif
