/**
 * @file liveness.h
 * How often instances send heartbeats, and after how long a silent one counts
 * as dead. Each datagram costs its receiver processor time, so the interval
 * grows with the number of receivers; where instances are many, those of the
 * same failure domain hear each other more often than those of others.
 */
#ifndef LIVENESS_H
#define LIVENESS_H

#include "base/base.h"

enum {
	/*
	 * From this many peers on, other domains get heartbeats and shares less
	 * often than one's own.
	 */
	LIVENESS_MANY_PEERS = 16,
};

/** The number of other instances. */
typedef struct liveness {
	int npeer;   /* in all domains */
	int ndomain; /* in our own domain */
} liveness_t;

/** @return ms between heartbeats to all instances */
ms_t liveness_interval(const liveness_t *l);
/** @return ms between heartbeats to those of our own domain */
ms_t liveness_domain_interval(const liveness_t *l);
/**
 * @param announced interval that an instance of our own domain sends at, 0: it
 * gave none
 * @return ms between its heartbeats
 */
ms_t liveness_peer_interval(
    const liveness_t *l, bool same_domain, ms_t announced);
/** @return ms of silence after which an instance counts as dead */
ms_t liveness_dead_after(ms_t interval);
/** @return ms of silence within which one that stopped isn't noticed */
ms_t liveness_fresh_for(ms_t interval);

#endif
