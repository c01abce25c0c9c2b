/**
 * @file outcome.h
 * What may be said of a call once it has ended.
 */
#ifndef OUTCOME_H
#define OUTCOME_H

#include "endpoint/endpoint.h"

/** What was seen of a call. */
typedef struct call_facts {
	bool plain;
	bool cancelled;
	bool sent;	 /* a byte of the request may have gone out */
	bool complete;	 /* the answer came to its end */
	bool end_marker; /* engine: with the end marker of its own stream */
	int status;	 /* HTTP, 0 if none came */
	const char *body;
	size_t len;
} call_facts_t;

/**
 * Judge a call.
 * @param not_run set only if nothing was sent or the endpoint said so.
 */
call_outcome_t call_classify(const call_facts_t *f, bool *not_run);

#endif
