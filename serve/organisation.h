/**
 * @file organisation.h
 * Whose calls come in. Callers name their organisation by an API key; from then
 * on the call carries the organisation of its own configuration, and endpoints
 * and other instances are told its name.
 */
#ifndef SERVE_ORGANISATION_H
#define SERVE_ORGANISATION_H

#include "serve/serve.h"

/**
 * Find the organisation of a request that a caller or, if @p from_instance,
 * another instance sent.
 * @param out the organisation of @p c; NULL: none is needed
 * @return NULL, or why the request isn't allowed
 */
const char *organisation_find(const config_t *c, const route_t *r,
    const head_t *h, bool from_instance, const organisation_t **out);
/** A request was refused for its key. */
void organisation_count_refused(void);
/**
 * The call's rank among others: its organisation's priority goes before its
 * route's.
 * @return 0: the most urgent
 */
int call_rank(const call_t *c);

#endif
