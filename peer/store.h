/**
 * @file store.h
 * What a daemon knows of members, workers and shards, with a change log. One
 * thread uses a store; any thread may read the views made of it. Private to
 * peer/.
 */
#ifndef PEER_STORE_H
#define PEER_STORE_H

#include "peer/conn.h"

#include <glib.h>

/** An immutable, reference-counted message that views share. */
typedef struct msg {
	int refs;
	ProtobufCMessage *m;
} msg_t;

/** Copy the message @p m. @return the copy, with one reference. */
msg_t *msg_copy(const void *m);
msg_t *msg_ref(msg_t *m);
void msg_unref(msg_t *m);

typedef struct store store_t;

typedef enum record_kind {
	RECORD_MEMBER,
	RECORD_WORKER,
	RECORD_DIGEST,
} record_kind_t;

/**
 * Common head of all records: when they changed, and how. A change of mere load
 * statistics is sent less often than an urgent one.
 */
typedef struct record {
	record_kind_t kind;
	store_t *store;
	uint64_t urgent_change; /* number of the last urgent change, 0: none */
	uint64_t stats_change;	/* of the last change of statistics */
	GList urgent_link, stats_link;
	handle_t from; /* connection that brought the last change, 0: none */
} record_t;

typedef struct member {
	record_t rec;
	msg_t *msg;
	const Wire__Member *m; /* content of msg */
	uint64_t seq;	       /* the highest received */
	ms_t heard_at;	       /* when seq last increased */
	bool announce;	       /* a peer says it is gone: relay it again */
	bool suspect; /* connection lost, or a peer says it is gone: probe */
	/* from the platform's list */
	bool listed;
	uint64_t left_incarnation; /* listed as leaving, 0: none */
	/* connecting */
	uint64_t height; /* member_height(), 0: not computed yet */
	conn_t *conn;
	backoff_t backoff;
	ms_t dial_at;
} member_t;

typedef struct worker {
	record_t rec;
	msg_t *msg;
	const Wire__Worker *w;
	uint64_t list_hash; /* of its item in our last list, 0: none */
	ms_t missing_since; /* from our own lists, 0: it is listed */
	ms_t gone_at;
} worker_t;

typedef struct digest {
	record_t rec;
	msg_t *msg;
	const Wire__Digest *d;
	ms_t received_at;
} digest_t;

struct store {
	const msclock_t *clock;
	int shard_workers;
	GHashTable *member;	/* id -> member_t */
	GHashTable *worker;	/* id -> worker_t */
	GHashTable *digest;	/* shard's key -> digest_t */
	uint64_t change;	/* number of the last change of any kind */
	uint64_t urgent_change; /* number of the last urgent change */
	/* records, the latest change first */
	GQueue by_urgent_change, by_stats_change;
	handle_t from; /* connection whose frame is handled, or 0 */
	bool workers_known;
	/* derived from members and workers by store_update_shards() */
	bool shards_stale;
	uint64_t shards_version; /* counts the updates */
	Wire__Worker **sorted_workers;
	worker_t **sorted_records; /* in the same order */
	int nworker;
	shard_t *shard;
	int nshard;
};

enum {
	SHARD_KEY_MAX = 2 * ID_MAX + 16, /* bytes of a shard's key */
	/* Least time between two views, in multiples of the cost of one. */
	VIEW_INTERVAL_FACTOR = 100,
	VIEW_INTERVAL_MAX_MS = 3000, /* it is no longer than that */
};

/**
 * Time from one view to the next, which limits the cost of views of a large
 * fleet.
 * @param cost ms of processor time that a view took
 */
ms_t view_interval(ms_t cost);

store_t *store_new(const msclock_t *clock, int shard_workers);
void store_free(store_t *s);

member_t *store_find_member(store_t *s, const char *id);
/**
 * Merge a member's record: the higher (incarnation, seq) wins; at the same,
 * gone wins over live. @return the member, or NULL if the record is invalid.
 */
member_t *store_merge_member(store_t *s, const Wire__Member *m);
/** Mark a member as gone: there is no contact to it. */
void store_mark_gone(store_t *s, member_t *r);
/** Is it heard, by this daemon or by a peer? */
bool member_live(const member_t *r);
/** Has it, or the platform's list, announced that it leaves? */
bool member_leaving(const member_t *r);
/** Merge a worker's record: the higher stamp wins. */
void store_merge_worker(store_t *s, const Wire__Worker *w);
/** Apply the platform's list as this daemon read it. */
void store_apply_list(store_t *s, const instances_t *l);
/** Merge a digest: the higher (term, seq) wins. */
void store_merge_digest(store_t *s, const Wire__Digest *d);
/** @return the shard as of the last store_update_shards(), or NULL. */
const shard_t *store_find_shard(
    const store_t *s, const char *service, const char *domain, uint32_t index);
/** @return the shard's digest, or NULL. */
const digest_t *store_find_digest(store_t *s, const shard_t *shard);
/** Remove expired records of what is gone. */
void store_purge(store_t *s);
/** Recompute shards and their brokers if members or workers changed. */
void store_update_shards(store_t *s);
/** @return a malloc'd array of the @p n live members. */
Wire__Member **store_live_members(store_t *s, int *n);
/** @return a view of the store, with one reference. */
view_t *store_make_view(store_t *s, catalogue_t *c);

/* catalogue.c */

/**
 * @return the catalogue in message @p m, or what its note makes of @p have;
 * NULL on error.
 */
catalogue_t *catalogue_from_message(const catalogue_t *have,
    const Wire__Catalogue *m, const settings_t *s, err_t *e);

/* view.c */

/** Write a shard's key to @p buf. @return @p buf */
const char *shard_key(char buf[SHARD_KEY_MAX], const char *service,
    const char *domain, uint32_t index);
/**
 * Divide workers into shards of at most @p cap; sorts @p w by shard.
 * @return malloc'd shards without brokers.
 */
shard_t *shards_make(Wire__Worker **w, int n, int cap, int *nshard);
/** Set the broker of each shard. */
void shards_assign_brokers(shard_t *s, int n, Wire__Member *const *m, int nm);
/**
 * Rank the members that can be brokers by rendezvous hashing of @p key, those
 * of @p domain first (NULL: no preference).
 * @return the index of the member of that rank, or -1.
 */
int members_rank(const char *key, const char *domain, Wire__Member *const *m,
    int nm, int rank);

#endif
