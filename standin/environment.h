/**
 * @file environment.h
 * The surroundings of a deployment's daemons on one machine: store, endpoints
 * and the daemons' settings files. Their sizes come from a file.
 */
#ifndef ENVIRONMENT_H
#define ENVIRONMENT_H

#include "standin/loadgen.h"
#include "standin/fake_store.h"

enum {
	DAEMONS_MAX = 64
};

/** Sizes of a deployment, as in its file. */
typedef struct deployment_sizes {
	char domains[512]; /* names, separated by spaces */
	int daemons, engines, plain, models, adapters;
	int weights_mb, adapter_slots, model_mb, adapter_mb, load_ms;
	int loads_per_s, slots, events, gap_ms, plain_ms, rate;
	int versions; /* of the engines' software, 1 if unset */
} deployment_sizes_t;

typedef struct environment {
	loop_t loop;
	deployment_sizes_t sizes;
	const char *dir;
	bool bootstrap; /* in the daemons' settings */
	char *store_addr, *host;
	char **ports;	/* free ones, from the options */
	int ports_used; /* of these */
	fake_store_t *store;
	char **domain;
	model_spec_t *models;
	fake_endpoint_t **endpoint;
	char **endpoint_domain; /* failure domain of each */
	int nendpoint;
	/* Addresses that each daemon listens on. */
	char *caller[DAEMONS_MAX], *ready[DAEMONS_MAX], *entries[DAEMONS_MAX];
	char *settings[DAEMONS_MAX]; /* paths */
	bool is_ready[DAEMONS_MAX];
	int config; /* version of the configuration */
	int probed; /* daemon that the readiness probe asks */
	client_request_t *probe;
	alarm_t probe_alarm;
} environment_t;

typedef struct environment_opts {
	const char *name, *sizes; /* name, and path of the size file */
	const char *dir;	  /* for the settings files and their list */
	const char *ports;	  /* free ones, as "P,P,..." */
	bool bootstrap;		  /* in the daemons' settings */
} environment_opts_t;

/**
 * Start the store and the endpoints and write the settings files. Ends the
 * program if the sizes can't be read or the ports are too few.
 */
environment_t *environment_new(const environment_opts_t *o);
/** @return whether each daemon has been ready at least once. */
bool environment_ready(const environment_t *env);
/**
 * Write the next configuration: callers have keys of two organisations.
 * @param valid of LOADGEN_KEYS, how many are
 * @param rate calls a second that the first one may send, 0: any
 */
void environment_put_organisations(environment_t *env, int valid, int rate);
/** Fill in the options except span and callback; rate only if it is unset. */
void environment_load_opts(environment_t *env, loadgen_opts_t *o);
/** @return orders carried out beyond an endpoint's memory or adapter slots. */
int environment_overcommits(const environment_t *env);
/** @return orders that all endpoints have received. */
int environment_orders(const environment_t *env);
void environment_free(environment_t *env);

#endif
