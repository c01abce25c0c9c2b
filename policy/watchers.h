/**
 * @file watchers.h
 * Which instances watch the store for fresh answers, and how often they ask.
 * The store charges for each answer and each change is one, so where instances
 * are many a few watch and announce to the others what must be known at once;
 * the others get copies that may be seconds old, at a tenth of the price.
 */
#ifndef WATCHERS_H
#define WATCHERS_H

#include "base/base.h"

/** The deployment, as far as it decides. */
typedef struct watchers {
	int npeer;   /* other instances */
	int ndomain; /* failure domains */
	ms_t drain;  /* an endpoint that leaves gets no call after it */
} watchers_t;

/** @return whether only some instances of each domain watch */
bool watchers_by_domain(const watchers_t *w);
/** @return instances that watch: of each domain, or of all */
int watchers_count(const watchers_t *w);
/** @return ms between the fresh answers to one instance */
ms_t watchers_interval(const watchers_t *w);
/**
 * @return ms after which a watch is answered without a change, so that it is
 * known how long ago the store answered
 */
ms_t watchers_timeout(const watchers_t *w);
/**
 * @param heartbeat ms between the claims of a watching instance
 * @return ms for which a fresh answer to it covers the others; see coverage.h
 */
ms_t watchers_cover(const watchers_t *w, ms_t heartbeat);
/** @return ms between the old copies sent to one instance */
ms_t watchers_copy_interval(const watchers_t *w);

#endif
