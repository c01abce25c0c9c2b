/**
 * @file peers.h
 * Test fixture: peer nodes in one process on free ports, and their clients.
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
	instances_t list; /* the entries, and workers added later */
} peers_t;

/**
 * Set up @p n nodes "e0".. in the domains "d0"..; none is started.
 * @param port their ports, or NULL to take free ones
 */
peers_t *peers_new(int n, int ndomain, const int *port);
/** Start node @p i. @param listed give it the list of instances, too */
void peers_start(peers_t *p, int i, bool listed);
/** Stop node @p i without notice, as a kill would. */
void peers_stop(peers_t *p, int i);
void peers_free(peers_t *p);
/** Add a worker to the list of instances. */
void peers_add_worker(
    peers_t *p, const char *id, const char *service, int domain, int port);
/** Wait until node @p i sees @p n members. @return whether it did in time. */
bool peers_wait_sees(peers_t *p, int i, int n, ms_t span);
/** Wait until all running nodes see each other. */
bool peers_wait_all_see(peers_t *p, ms_t span);

/** The client of an entry, with its queue of answers. */
typedef struct test_client {
	client_t *client;
	ring_t *answers;
	uint64_t tag;
	char broker[ID_MAX]; /* that granted the last slot */
} test_client_t;

/** Create a client at entry @p i; its view can be empty until it connects. */
test_client_t *test_client_new(peers_t *p, int i);
void test_client_free(test_client_t *a);
/** Wait until its view has @p n members that aren't leaving. */
bool test_client_wait_sees(test_client_t *a, int n, ms_t span);
/**
 * Request a slot from the brokers in order of rank, as an entry does, until one
 * is granted; release it. @return the ms taken, or -1 if none within @p span
 * ms.
 */
ms_t test_client_get_slot(test_client_t *a, ms_t span);

#endif
