/**
 * @file broker.h
 * The shards that this node brokers: asks, grants, load reports, digests.
 * Of the node's thread, without I/O. Inside peer/ only.
 */
#ifndef PEER_BROKER_H
#define PEER_BROKER_H

#include "peer/store.h"

enum {
	MISSED_POLLS_MAX = 4 /* unanswered polls before a worker is left out */
};

/** What was asked for since the shard was taken up. */
typedef struct demand {
	char model[ID_MAX], adapter[ID_MAX];
	uint32_t asked, refused;
} demand_t;

/* One worker as its reports tell. */
typedef struct worker_report {
	load_report_t *last_report; /* that reached it, or NULL */
	int missed_polls;
	bool polled; /* a first poll has ended, whichever way */
	char addr[ADDR_MAX];
} worker_report_t;

/** A shard that this node brokers. */
typedef struct broker {
	char key[KEY_MAX];
	char service[ID_MAX], domain[ID_MAX];
	uint32_t index;
	bool owner; /* by the store's shape; else a stand-in */
	bool ready; /* first reports have come: asks are put */
	ms_t started_at, last_ask_at;
	admit_t *admit;
	GHashTable *worker; /* id -> reported_t */
	GHashTable *demand; /* "model/adapter" -> demand_t */
	/* its digest */
	uint64_t term, seq;
	uint64_t digest_hash; /* hash of the last one */
	ms_t digest_built_at, digest_stored_at;
} broker_t;

typedef struct brokers brokers_t;

typedef struct brokers_opts {
	const settings_t *settings;
	const msclock_t *clock;
	store_t *store;
	const char *self; /* member id */
	/** Answers call @p call of connection @p conn. false: it is gone. */
	bool (*answer)(void *user, handle_t conn, uint64_t call,
	    const Wire__SlotAnswer *a);
	void *user;
} brokers_opts_t;

brokers_t *brokers_new(const brokers_opts_t *o);
void brokers_free(brokers_t *b);
void brokers_ask(
    brokers_t *b, handle_t conn, uint64_t call, const Wire__SlotAsk *ask);
void brokers_release(brokers_t *b, const Wire__SlotRelease *r);
void brokers_cancel(brokers_t *b, handle_t conn, const char *request);
/** An asker is gone: what it waits for is given up. */
void brokers_conn_closed(brokers_t *b, handle_t conn);
/** Takes @p r over. */
void brokers_report(brokers_t *b, load_report_t *r);
/**
 * Take up and give up shards as the store has them, answer what is due, put
 * digests into the store.
 */
void brokers_tick(brokers_t *b);
/** When brokers_tick() has to be called again. */
ms_t brokers_due(const brokers_t *b);
/** Waiting asks and new ones are sent on; releases are still taken. */
void brokers_leave(brokers_t *b);
/** Forget all grants: the load reports tell what is in flight. */
void brokers_reset(brokers_t *b);
/**
 * The workers to ask for load reports, malloc'd.
 * @return how many, or -1 when they are as they were.
 */
int brokers_poll_targets(brokers_t *b, load_target_t **t);

/* digest.c */

void demand_add(
    broker_t *k, const char *model, const char *adapter, bool refused);
/** Put k's figures into the store, unless they were said a moment ago. */
void digest_update(broker_t *k, store_t *s, const char *self);

#endif
