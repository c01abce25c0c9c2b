/**
 * @file broker.h
 * The shards that this node brokers: slot requests, grants, load reports,
 * digests.
 * Runs in the node's thread and does no I/O. Private to peer/.
 */
#ifndef PEER_BROKER_H
#define PEER_BROKER_H

#include "peer/store.h"

enum {
	MISSED_POLLS_MAX = 4 /* in a row; then the worker is removed */
};

/** Slot requests for a model or adapter since this node became broker. */
typedef struct request_count {
	char model[ID_MAX], adapter[ID_MAX];
	uint32_t requests, refused;
} request_count_t;

/** Load of a worker as polled. */
typedef struct worker_report {
	load_report_t *last_report; /* of the last good poll, or NULL */
	int missed_polls;
	bool polled; /* the first poll has ended, or failed */
	char addr[ADDR_MAX];
} worker_report_t;

/** A shard that this node brokers. */
typedef struct broker {
	char key[SHARD_KEY_MAX];
	char service[ID_MAX], domain[ID_MAX];
	uint32_t index;
	bool owner; /* the store names this node; else it is a stand-in for
		     * brokers that don't answer */
	bool ready; /* first reports are in: requests are admitted */
	ms_t started_at, last_request_at;
	admit_t *admit;
	GHashTable *worker; /* id -> worker_report_t */
	GHashTable *demand; /* "model/adapter" -> request_count_t */
	/* the digest */
	uint64_t term, seq;
	uint64_t digest_hash; /* of the digest last stored */
	ms_t digest_built_at, digest_stored_at;
} broker_t;

typedef struct brokers brokers_t;

typedef struct brokers_opts {
	const settings_t *settings;
	const msclock_t *clock;
	store_t *store;
	const char *self; /* member id */
	/**
	 * Answer call @p call of connection @p conn.
	 * @return false if the connection is gone.
	 */
	bool (*answer)(void *user, handle_t conn, uint64_t call,
	    const Wire__SlotAnswer *a);
	void *user;
} brokers_opts_t;

brokers_t *brokers_new(const brokers_opts_t *o);
void brokers_free(brokers_t *b);
/** Handle a slot request; its verdict or SLOT_QUEUED is sent at once. */
void brokers_request(
    brokers_t *b, handle_t conn, uint64_t call, const Wire__SlotRequest *req);
/** Handle the release of a slot. */
void brokers_release(brokers_t *b, const Wire__SlotRelease *r);
/** Drop a connection's waiting requests with that request id. */
void brokers_cancel(brokers_t *b, handle_t conn, const char *request);
/** Drop the waiting requests of a closed connection. */
void brokers_conn_closed(brokers_t *b, handle_t conn);
/** Handle a load report. Takes ownership of @p r. */
void brokers_report(brokers_t *b, load_report_t *r);
/**
 * Open and close shards as the store assigns them, answer requests as due,
 * and put digests into the store.
 */
void brokers_tick(brokers_t *b);
/** @return the time at which brokers_tick() is due. */
ms_t brokers_due(const brokers_t *b);
/** Reject waiting and new requests; releases are still handled. */
void brokers_leave(brokers_t *b);
/** Drop all grants: load reports tell what is in flight. */
void brokers_reset(brokers_t *b);
/**
 * List the workers to poll in the malloc'd array @p t.
 * @return their number, or -1 if they haven't changed.
 */
int brokers_poll_targets(brokers_t *b, load_target_t **t);

/* digest.c */

/** Count a request, or a refusal, for a model or adapter. */
void broker_count_request(
    broker_t *k, const char *model, const char *adapter, bool refused);
/** Put a digest of k into the store if it is due. */
void digest_update(broker_t *k, store_t *s, const char *self);

#endif
