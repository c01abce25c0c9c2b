/**
 * @file call_route.h
 * What is known of a request before it becomes a call: its route, its service,
 * and whether it is refused for either.
 */
#ifndef SERVE_CALL_ROUTE_H
#define SERVE_CALL_ROUTE_H

#include "serve/serve.h"

/** @return the route with the longest prefix, NULL: none */
const route_t *call_find_route(
    const config_t *c, const char *host, const char *target);
/** @param id of the call, or of the one that began its stream */
const char *call_pick_service(const route_t *r, const char *id);

/** Why a request isn't served. */
typedef struct refusal {
	int status; /* 0: it is */
	const char *why;
	ms_t retry; /* for Retry-After, 0: none */
} refusal_t;

/**
 * @param r NULL: none was found
 * @param organisation set to the caller's, NULL if none is needed
 */
refusal_t call_refusal(const serve_t *s, const head_t *h,
    const call_head_t *request, const route_t *r, bool from_instance,
    const organisation_t **organisation);

#endif
