/**
 * @file peers.h
 * For tests: several nodes of one process on free ports, and clients.
 */
#ifndef PEERS_H
#define PEERS_H

#include "peer/peer.h"
#include "tests/proc.h"

enum {
	PEERS_MAX = 32
};

typedef struct peers {
	int n, ndomain;
	int port[PEERS_MAX];
	settings_t settings[PEERS_MAX];
	node_t *node[PEERS_MAX]; /* NULL: not running */
	instance_t instance[2 * PEERS_MAX];
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
void peers_add_worker(
    peers_t *p, const char *id, const char *service, int domain, int port);
/** Does node @p i see @p n live members? Waits for it. */
bool peers_wait_sees(peers_t *p, int i, int n, ms_t span);
/** All running nodes see each other. */
bool peers_wait_all_see(peers_t *p, ms_t span);

/** An entry's client and what it was answered last. */
typedef struct test_client {
	client_t *client;
	ring_t *answers;
	uint64_t tag;
	char broker[ID_MAX]; /* that answered the last ask */
} test_client_t;

/** A client at entry @p i; it has found a home when this returns. */
test_client_t *test_client_new(peers_t *p, int i);
void test_client_free(test_client_t *a);
/** Its view has @p n live members that don't leave. */
bool test_client_wait_sees(test_client_t *a, int n, ms_t span);
/**
 * Ask for a slot as an entry does, through the ranks, until one is granted
 * and given back. @return ms that took, or -1 after @p span.
 */
ms_t test_client_get_slot(test_client_t *a, ms_t span);

#endif
