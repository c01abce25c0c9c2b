/**
 * @file request.h
 * HTTP requests for calls.
 */
#ifndef REQUEST_H
#define REQUEST_H

#include "endpoint/endpoint.h"

#include <curl/curl.h>

/** A transfer and the memory it refers to. */
typedef struct request {
	CURL *easy;
	struct curl_slist *headers;
	char *json;
} request_t;

/** @return 0, or -1: INVAL (a value that no request can hold), INTERNAL */
int request_init_call(request_t *r, const call_spec_t *spec, err_t *e);
/** Prepare a request that cancels a stream at the engine. */
int request_init_cancel(request_t *r, const call_spec_t *spec, err_t *e);
void request_clear(request_t *r);

#endif
