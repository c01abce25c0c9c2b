/**
 * @file outcome.h
 * The outcome of a call that has ended.
 */
#ifndef OUTCOME_H
#define OUTCOME_H

#include "endpoint/endpoint.h"

/** What was observed of a call. */
typedef struct call_facts {
	bool plain;
	bool cancelled;
	bool sent;	 /* a byte of the request may have been sent */
	bool complete;	 /* the answer was received completely */
	bool end_marker; /* engine: the stream's end marker was received */
	int status;	 /* HTTP status, 0 if none was received */
	const char *body;
	size_t len;
} call_facts_t;

/**
 * Determine a call's outcome.
 * @param not_run set to true if nothing was sent, or if the endpoint said that
 * it didn't run the call; else to false
 */
call_outcome_t call_classify(const call_facts_t *f, bool *not_run);

#endif
