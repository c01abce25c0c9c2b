/**
 * @file control.h
 * controld's duties that join several packages: following the platform,
 * planning residency, sending orders behind the ledger.
 */
#ifndef CONTROL_H
#define CONTROL_H

#include "base/base.h"
#include "endpoint/endpoint.h"
#include "peer/peer.h"
#include "store/platform.h"

/** Follows head, catalogue and instance list for a node; its own thread. */
typedef struct follower follower_t;
typedef struct follower_opts {
	const settings_t *settings;
	node_t *node;
} follower_opts_t;
follower_t *follower_new(const follower_opts_t *o, err_t *e);
void follower_free(follower_t *f);

/** Holds the planner's lease when it can, plans and orders; its thread. */
typedef struct planner planner_t;
typedef struct planner_opts {
	const settings_t *settings;
	const msclock_t *clock;
	node_t *node;
	audit_t *audit;
} planner_opts_t;
planner_t *planner_new(const planner_opts_t *o, err_t *e);
void planner_free(planner_t *p);

#endif
