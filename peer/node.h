/**
 * @file node.h
 * The node's state, shared by its source files. All but what the lock guards
 * is its thread's. Inside peer/ only.
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
	table_t *pending_claims; /* claims asked, of claiming_t */

	ms_t now, heartbeat_at, links_at, probe_at, seed_at, purge_at;
	uint64_t heartbeats;
	uint64_t links_change; /* the store's change when last looked at */
	bool announce;	       /* to be told at once: a heartbeat to all */
	member_t *primary;     /* upstream whose figures are taken, or NULL */
	Wire__Member self;
	bool alone; /* no settings name any other daemon */
	GHashTable
	    *domain_heard_at; /* domain -> ms_t *, last frame from there */
	rng_t rng;

	catalogue_t *catalogue;
	char *catalogue_json; /* the catalogue as JSON, once asked for */
	char *note;	      /* that made it of the one before, or NULL */
	size_t note_len;
	uint64_t note_base;
	ms_t catalogue_asked_at;  /* for a catalogue */
	bool catalogue_confirmed; /* the catalogue: by platform or peers */
	uint64_t ready_catalogue; /* highest that a ready peer told */

	uint64_t published_change; /* the store's change that the view has */
	ms_t publish_at;
	bool publish_pending;

	pthread_mutex_t lock;
	/* under the lock */
	view_t *view;
	claims_t *claims;
	/* atomic */
	bool stop, leave, is_root, ready;
	int entry_conns;
};

/* member.c: who is there. */

void member_handle_hello(node_t *n, conn_t *c, const Wire__Hello *h);
void member_handle_heartbeat(node_t *n, conn_t *c, const Wire__Heartbeat *h);
void member_handle_leaving(node_t *n, const Wire__Leaving *l);
void member_conn_opened(node_t *n, conn_t *c);
void member_conn_closed(node_t *n, conn_t *c);
/** Take in a record that somebody relayed. */
void member_merge(node_t *n, const Wire__Member *m);
/** Silence, dialling, heartbeats: whatever is due. */
void member_tick(node_t *n);
/** Forget connections, and start as a new incarnation. */
void member_rejoin(node_t *n);
/** Dial a member unless it is connected or being dialled. */
void member_dial(node_t *n, member_t *r);
/**
 * Look by a bare TCP connect whether it still listens: a Hello would bring a
 * whole copy of what the two know, many of them at once.
 */
void member_probe(node_t *n, member_t *r);
/** Send a heartbeat. @p bye: the connection is closed after it. */
void member_send_heartbeat(node_t *n, conn_t *c, bool figures, bool bye);

/* links.c: who is connected with whom. */

/** The higher one is nearer to its domain's roots. */
uint64_t member_height(const char *id, const char *domain);
/** Dial whom this node relays with or through, close what isn't needed. */
void links_tick(node_t *n);

/* relay.c: what goes to whom. */

void relay_merge_view(node_t *n, const Wire__View *v);
/** Send each connection what is due on it. */
void relay_tick(node_t *n);
/** When relay_tick() has something to send. */
ms_t relay_due(node_t *n);
/** Send a connection all that has changed since the last time. */
void relay_send_changes(node_t *n, conn_t *c, bool with_figures);

/* catalogue.c: the catalogue's number goes up, from whomever it comes. */

void catalogue_handle_number(node_t *n, conn_t *c, uint64_t number);
void catalogue_handle_ask(node_t *n, conn_t *c, const Wire__CatalogueAsk *a);
void catalogue_handle(node_t *n, conn_t *c, const Wire__Catalogue *m);
void catalogue_tick(node_t *n);
/** Takes @p c over. */
void catalogue_install(node_t *n, catalogue_t *c);
void catalogue_set_note(node_t *n, uint64_t base, const char *text, size_t len);

#endif
