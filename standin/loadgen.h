/**
 * @file loadgen.h
 * Open-loop load generator: calls start at a steady mean rate whether or not
 * earlier ones have ended. Afterwards what callers were told is compared with
 * what the endpoints ran.
 */
#ifndef LOADGEN_H
#define LOADGEN_H

#include "standin/fake_endpoint.h"
#include "standin/client_request.h"

enum {
	/* Prompts share one of these parts after their first one. */
	LOADGEN_SUBJECT = 0x100, /* id of the first */
	LOADGEN_SUBJECTS = 16,
	LOADGEN_KEYS = 4, /* of callers, used in turn */
};
/** Of an API key, by its number. */
#define LOADGEN_KEY "key-%d"

typedef struct loadgen_opts {
	loop_t *loop;
	char *const *entries; /* addresses that answer GET /v1/resolve */
	int nentries;
	fake_endpoint_t *const *endpoint;
	int nendpoint;
	const char *host;
	const model_spec_t *models;
	int nmodel, adapters; /* of each model */
	int events;	      /* in a complete stream */
	double rate;	      /* calls per second */
	ms_t span;
	uint64_t seed; /* of the calls that are drawn, 0: from the clock */
	/* Called each turn of the loop with the ms since the start, or NULL. */
	void (*turn)(void *arg, ms_t since);
	void *arg;
} loadgen_opts_t;

typedef struct loadgen_result {
	int calls, served, refused, failed;
	int retried;	 /* attempts after a refusal or a refused connection */
	int cut;	 /* answers that began and didn't end */
	int lost;	 /* calls that were accepted and got no answer */
	int mismatched;	 /* answers to another call, or events out of order */
	int doubled;	 /* calls that may run once and ran more often */
	int ran_refused; /* calls reported as not run that had run */
	int popular;	 /* models and adapters with several calls */
	int starved;	 /* of these, those with no served call */
	int streams;	 /* new ones; a broken one that goes on isn't served */
	int begun;	 /* of these, those with a first event */
	int resumed;	 /* taken up at another daemon after a break */
	int resumed_served;   /* of these, those completed there */
	int mixed_versions;   /* streams with events of several versions */
	histo_t first, whole; /* ms to the first byte, to the end */
} loadgen_result_t;

/** Start calls for the span, then wait for the last answers. */
void loadgen_run(const loadgen_opts_t *o, loadgen_result_t *r);

#endif
