/**
 * @file control.h
 * Parts of controld that use several packages: following the platform's
 * objects, planning which worker holds which model, and sending orders once
 * the ledger is written.
 */
#ifndef CONTROL_H
#define CONTROL_H

#include "base/base.h"
#include "endpoint/endpoint.h"
#include "peer/peer.h"
#include "store/platform.h"

/**
 * Reads the head, the catalogue and the instance list from the platform and
 * passes them to a node. Root nodes (see node_is_root()) watch the head, the
 * others only poll. Has its own thread.
 */
typedef struct follower follower_t;
typedef struct follower_opts {
	const settings_t *settings;
	node_t *node;
} follower_opts_t;
follower_t *follower_new(const follower_opts_t *o, err_t *e);
void follower_free(follower_t *f);

/**
 * Competes for the planner lease; while it holds it, plans placements and sends
 * orders to the workers. Has its own thread.
 */
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
