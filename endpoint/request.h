/**
 * @file request.h
 * The HTTP requests of calls.
 */
#ifndef REQUEST_H
#define REQUEST_H

#include "endpoint/endpoint.h"

#include <curl/curl.h>

/** A transfer and what it points into. */
typedef struct request {
	CURL *easy;
	struct curl_slist *headers;
	char *json;
} request_t;

/** @return 0, or -1: INVAL (can't stand in a request), INTERNAL. */
int request_init_call(request_t *r, const call_spec_t *spec, err_t *e);
/** Ask an engine to cancel a stream. */
int request_init_cancel(request_t *r, const call_spec_t *spec, err_t *e);
void request_clear(request_t *r);

#endif
