/**
 * @file store.h
 * What one daemon knows of members, workers and shards, and what of it
 * changed since when. Of one thread; the views it makes go to any. Inside
 * peer/ only.
 */
#ifndef PEER_STORE_H
#define PEER_STORE_H

#include "peer/conn.h"

#include <glib.h>

/** An immutable message that views share; counted. */
typedef struct msg {
	int refs;
	ProtobufCMessage *m;
} msg_t;

/** A copy of @p m with one reference. */
msg_t *msg_copy(const void *m);
msg_t *msg_ref(msg_t *m);
void msg_unref(msg_t *m);

typedef struct store store_t;

typedef enum record_kind {
	RECORD_MEMBER,
	RECORD_WORKER,
	RECORD_DIGEST,
} record_kind_t;

/** What all records have in front: when they changed, and how. */
typedef struct record {
	record_kind_t kind;
	store_t *store;
	uint64_t urgent_change; /* change number of the last that isn't ... */
	uint64_t stats_change;	/* ... mere figures, and of the last that is */
	GList urgent_link, stats_link;
	handle_t from; /* connection that the last change came by */
} record_t;

typedef struct member {
	record_t rec;
	msg_t *msg;
	const Wire__Member *m; /* what msg holds */
	uint64_t seq;	       /* the highest that was heard */
	ms_t heard_at;	       /* when seq last went up */
	bool announce;	       /* somebody says it is gone, we hear it */
	bool suspect; /* lost or said to be gone: to be dialled once more */
	/* the platform's list */
	bool listed;
	uint64_t left_incarnation; /* incarnation it says leaving of, 0: none */
	/* the way to it */
	uint64_t height; /* see links.c, 0: not reckoned yet */
	conn_t *conn;
	backoff_t backoff;
	ms_t dial_at;
} member_t;

typedef struct worker {
	record_t rec;
	msg_t *msg;
	const Wire__Worker *w;
	uint64_t list_hash; /* of its entry in our own last list, 0: none */
	ms_t missing_since; /* since when our own lists don't have it */
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
	uint64_t change;	/* number of the last change */
	uint64_t urgent_change; /* ... of the last that isn't mere figures */
	GQueue by_urgent_change,
	    by_stats_change; /* records, last changed first */
	handle_t from;	     /* connection being read, 0: none */
	bool workers_known;
	/* made of members and workers, again when they change */
	bool shards_stale;
	uint64_t shards_version; /* times they were made */
	Wire__Worker **sorted_workers;
	worker_t **sorted_records; /* the same, as records */
	int nworker;
	shard_t *shard;
	int nshard;
};

enum {
	KEY_MAX = 2 * ID_MAX + 16, /* bytes of a shard's key */
	VIEW_INTERVAL_FACTOR =
	    100, /* views are this many times their cost apart */
};

store_t *store_new(const msclock_t *clock, int shard_workers);
void store_free(store_t *s);

member_t *store_find_member(store_t *s, const char *id);
/**
 * Take a member's record in: the higher (incarnation, seq) wins, gone wins
 * over live at the same. @return the member, or NULL if it makes no sense.
 */
member_t *store_merge_member(store_t *s, const Wire__Member *m);
/** Nobody hears it any more. */
void store_mark_gone(store_t *s, member_t *r);
bool member_live(const member_t *r);
bool member_leaving(const member_t *r);
/** The higher stamp wins. */
void store_merge_worker(store_t *s, const Wire__Worker *w);
/** Our own reading of the platform's list. */
void store_apply_list(store_t *s, const instances_t *l);
/** The higher (term, seq) wins. */
void store_merge_digest(store_t *s, const Wire__Digest *d);
/** @return the shard as it is shaped now, or NULL. */
const shard_t *store_find_shard(
    const store_t *s, const char *service, const char *domain, uint32_t index);
const digest_t *store_find_digest(store_t *s, const shard_t *shard);
/** Forget what has been gone for long. */
void store_purge(store_t *s);
/** Shards and their brokers are up to date after this. */
void store_update_shards(store_t *s);
/** The live members' messages, malloc'd. */
Wire__Member **store_live_members(store_t *s, int *n);
view_t *store_make_view(store_t *s, catalogue_t *c);

/* catalogue.c */

/** The catalogue that a message makes of @p have, or NULL. */
catalogue_t *catalogue_from_message(const catalogue_t *have,
    const Wire__Catalogue *m, const settings_t *s, err_t *e);

/* view.c */

const char *shard_key(
    char buf[KEY_MAX], const char *service, const char *domain, uint32_t index);
/** Sort workers into shards. @return malloc'd shards without brokers. */
shard_t *shards_make(Wire__Worker **w, int n, int cap, int *nshard);
void shards_assign_brokers(shard_t *s, int n, Wire__Member *const *m, int nm);
/** Order live members that don't leave; own domain first. */
int members_rank(const char *key, const char *domain, Wire__Member *const *m,
    int nm, int rank);

#endif
