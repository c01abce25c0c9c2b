/**
 * @file explain.h
 * Says where a call would go now, and why, without sending it. The endpoints
 * are judged by the code that sends calls (serve/choose.c); nothing is asked of
 * other instances, ordered or reserved.
 */
#ifndef SERVE_EXPLAIN_H
#define SERVE_EXPLAIN_H

#include "policy/domain_choice.h"
#include "serve/serve.h"

/** What an endpoint of the service is to a call. */
typedef enum verdict {
	VERDICT_UNUSABLE,  /* it leaves, or has another software version */
	VERDICT_UNSTORED,  /* its software version isn't in the lease yet */
	VERDICT_NOT_HELD,  /* it doesn't hold the model or adapter */
	VERDICT_UNREACHED, /* this instance can't connect to it */
	VERDICT_TRIED,	   /* the call was there */
	VERDICT_FAILING,   /* its circuit breaker is open */
	VERDICT_FULL,	   /* slots, connections or memory */
	VERDICT_CLOSED,	   /* it wants no calls for a while */
	VERDICT_NO_PERMIT, /* the rate of calls that it names is used up */
	VERDICT_LATER,	   /* its streams would pause for too long now */
	VERDICT_CANDIDATE,
} verdict_t;

/** An endpoint as a call sees it; times in ms. */
typedef struct endpoint_view {
	const ep_t *ep;
	verdict_t verdict;
	bool remote;	 /* in another failure domain */
	bool chosen;	 /* of the candidates: sent there, or asked at */
	double wait_ms;	 /* until it takes the call */
	double first_ms; /* from then to the first event; 0: not predicted */
	double cost_ms;	 /* what candidates are compared by */
} endpoint_view_t;

/** Where a call would go. */
typedef struct explanation {
	endpoint_view_t *endpoint; /* of the call's service */
	int nendpoint;
	choice_t choice; /* where a candidate is chosen at once */
	bool asks;	 /* their keepers decide between the chosen ones */
	bool weighed;	 /* whether to leave the domain was decided */
	domain_choice_t domains;
	domain_decision_t decision;
} explanation_t;

/**
 * Judge the endpoints for a call that isn't in progress. choose.c
 * @param x zero; its endpoints are to be freed by free()
 */
void choose_explain(call_t *c, explanation_t *x);
/**
 * Explain a request.
 * @param h its header fields
 * @param target its path
 * @param out where a JSON object is added
 */
void explain_request(
    serve_t *s, const head_t *h, const char *target, buf_t *out);

#endif
