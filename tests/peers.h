/**
 * @file peers.h
 * For tests: several nodes of one process on free ports, and clients.
 */
#ifndef PEERS_H
#define PEERS_H

#include "peer/peer.h"
#include "tests/proc.h"

enum {
	PEERS_MOST = 32
};

typedef struct peers {
	int n, ndomain;
	settings_t set[PEERS_MOST];
	node_t *node[PEERS_MOST]; /* NULL: not running */
	instance_t item[2 * PEERS_MOST];
	instances_t list; /* of the entries, and of workers added later */
} peers_t;

/** @p n nodes "e0".. over domains "d0"..; none is started. */
peers_t *peers_new(int n, int ndomain);
/** Start one; @p listed: it is given the list as the platform would. */
void peers_start(peers_t *p, int i, bool listed);
/** End one at once, as a kill does. */
void peers_stop(peers_t *p, int i);
void peers_free(peers_t *p);
void peers_worker(
    peers_t *p, const char *id, const char *service, int domain, int port);
/** Does node @p i see @p n live members? Waits for it. */
bool peers_see(peers_t *p, int i, int n, ms_t span);
/** All running nodes see each other. */
bool peers_settle(peers_t *p, ms_t span);

#endif
