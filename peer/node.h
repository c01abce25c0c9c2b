/**
 * @file node.h
 * The node's state, shared by its source files. Only its thread uses what
 * isn't marked as locked or atomic. Private to peer/.
 */
#ifndef PEER_NODE_H
#define PEER_NODE_H

#include "peer/broker.h"

#include <pthread.h>

struct node {
	const settings_t *settings;
	const msclock_t *clock;
	audit_t *audit;
	pthread_t thread;
	bool started;
	ring_t *commands; /* of cmd_t */
	ring_t *reports;  /* of load_report_t */
	load_poller_t *loads;
	net_t *net;
	store_t *store;
	brokers_t *brokers;
	table_t *pending_claims; /* of pending_claim_t */

	ms_t now, heartbeat_at, links_at, probe_at, seed_at, purge_at;
	uint64_t heartbeats;
	uint64_t links_change; /* the store's urgent_change at links_tick() */
	bool announce;	       /* send a heartbeat to all at once */
	member_t *primary;     /* upstream that gets and sends load stats */
	Wire__Member self;
	bool alone; /* unused */
	/* domain -> ms_t *: the last Hello or heartbeat from there */
	GHashTable *domain_heard_at;
	rng_t rng;

	catalogue_t *catalogue;
	char *catalogue_json; /* made when first requested, or NULL */
	char *note;	      /* that turned note_base into the next, or NULL */
	size_t note_len;
	uint64_t note_base;
	ms_t catalogue_requested_at; /* 0: no request is pending */
	bool catalogue_confirmed;    /* by the platform or by peers */
	uint64_t ready_catalogue;    /* highest number of a ready peer */

	uint64_t published_change; /* the store's change in the view */
	ms_t publish_at;
	bool publish_pending;

	pthread_mutex_t lock;
	/* guarded by lock */
	view_t *view;
	claims_t *claims;
	/* atomic */
	bool stop, leave, is_root, ready;
	int entry_conns;
};

/* member.c: membership. */

void member_handle_hello(node_t *n, conn_t *c, const Wire__Hello *h);
void member_handle_heartbeat(node_t *n, conn_t *c, const Wire__Heartbeat *h);
void member_handle_leaving(node_t *n, const Wire__Leaving *l);
void member_conn_opened(node_t *n, conn_t *c);
void member_conn_closed(node_t *n, conn_t *c);
/** Merge a member's record that a peer relayed. */
void member_merge(node_t *n, const Wire__Member *m);
/** Detect silent peers, dial and send heartbeats as they are due. */
void member_tick(node_t *n);
/** Close all connections and start a new incarnation. */
void member_rejoin(node_t *n);
/** Dial a member unless there is a connection or a dial in progress. */
void member_dial(node_t *n, member_t *r);
/**
 * Check by a bare TCP connect whether a member still listens. After a Hello
 * both sides would send their whole state, on many connections at once.
 */
void member_probe(node_t *n, member_t *r);
/**
 * Send a heartbeat.
 * @param want_stats request load statistics from the peer.
 * @param unneeded tell the peer that the connection isn't needed and closes.
 */
void member_send_heartbeat(
    node_t *n, conn_t *c, bool want_stats, bool unneeded);

/* links.c: which members are connected. */

/** Orders a domain's members: those with the greatest heights are its roots. */
uint64_t member_height(const char *id, const char *domain);
/** Dial the members this node relays with; close unneeded connections. */
void links_tick(node_t *n);

/* relay.c: sending of changes. */

/** Merge the records of a view into the store. */
void relay_merge_view(node_t *n, const Wire__View *v);
/** Send on each connection what is due. */
void relay_tick(node_t *n);
/** @return the time at which relay_tick() is due. */
ms_t relay_due(node_t *n);
/** Send what has changed since the last time on this connection. */
void relay_send_changes(node_t *n, conn_t *c, bool with_stats);

/* catalogue.c: catalogues from the platform and from peers; the number in use
 * never decreases. */

/** A peer reported the number of its catalogue: request it if it is newer. */
void catalogue_handle_number(node_t *n, conn_t *c, uint64_t number);
/** Send the note or the whole catalogue to a peer that requests it. */
void catalogue_handle_request(
    node_t *n, conn_t *c, const Wire__CatalogueRequest *a);
/** Use a catalogue, or apply a note, that a peer sent. */
void catalogue_handle(node_t *n, conn_t *c, const Wire__Catalogue *m);
/** Request it from another peer if the last one didn't answer in time. */
void catalogue_tick(node_t *n);
/** Use @p c if its number is higher. Takes over the reference. */
void catalogue_install(node_t *n, catalogue_t *c);
/** Keep a copy of the note that turns catalogue @p base into the next. */
void catalogue_set_note(node_t *n, uint64_t base, const char *text, size_t len);

#endif
