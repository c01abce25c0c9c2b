/**
 * @file loadgen.h
 * Callers who come at a steady rate, whatever becomes of the earlier ones, and
 * what they were told against what the endpoints ran.
 */
#ifndef LOADGEN_H
#define LOADGEN_H

#include "standin/fake_endpoint.h"
#include "standin/client_request.h"

typedef struct loadgen_opts {
	loop_t *loop;
	char *const *entries; /* addresses that tell where to call */
	int nentries;
	fake_endpoint_t *const *endpoint;
	int nendpoint;
	const char *host;
	const model_spec_t *models;
	int nmodel, adapters; /* of each model */
	int events;	      /* in a whole stream */
	double rate;	      /* calls a second */
	ms_t span;
	/* Called each turn with the time since the first call, or NULL. */
	void (*turn)(void *arg, ms_t since);
	void *arg;
} loadgen_opts_t;

typedef struct loadgen_result {
	int calls, served, refused, failed;
	int retried;	 /* came back after a refusal or a lost connection */
	int cut;	 /* an answer that began and didn't end */
	int lost;	 /* a call that was taken and got no answer */
	int mismatched;	 /* an answer to another call, or events out of order */
	int doubled;	 /* a call that may run once ran more often */
	int ran_refused; /* "not run", and it ran */
	int popular;	 /* models and adapters that were asked for often */
	int starved;	 /* of these, never served */
	histo_t first, whole; /* ms */
} loadgen_result_t;

/** Call for the span, then wait for the last answers. */
void loadgen_run(const loadgen_opts_t *o, loadgen_result_t *r);

#endif
