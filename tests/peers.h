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
	int port[PEERS_MOST];
	settings_t set[PEERS_MOST];
	node_t *node[PEERS_MOST]; /* NULL: not running */
	instance_t item[2 * PEERS_MOST];
	instances_t list; /* of the entries, and of workers added later */
} peers_t;

/**
 * @p n nodes "e0".. over domains "d0"..; none is started.
 * @param port theirs, or NULL: free ones are taken.
 */
peers_t *peers_new(int n, int ndomain, const int *port);
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

/** An entry's client and what it was answered last. */
typedef struct asker {
	client_t *client;
	ring_t *answers;
	uint64_t tag;
	char broker[ID_MAX]; /* that answered the last ask */
} asker_t;

/** A client at entry @p i; it has found a home when this returns. */
asker_t *asker_new(peers_t *p, int i);
void asker_free(asker_t *a);
/** Its view has @p n live members that don't leave. */
bool asker_sees(asker_t *a, int n, ms_t span);
/**
 * Ask for a slot as an entry does, through the ranks, until one is granted
 * and given back. @return ms that took, or -1 after @p span.
 */
ms_t asker_grant(asker_t *a, ms_t span);

#endif
