/**
 * @file platform.h
 * The platform: object API, instance list, leases, claims, audit. Calls
 * block; a platform_t belongs to one thread. docs/INTERFACES.md has the wire.
 */
#ifndef PLATFORM_H
#define PLATFORM_H

#include "base/base.h"
#include "policy/policy.h"

typedef struct platform platform_t;

typedef struct platform_opts {
	char addr[ADDR_MAX];
	ms_t timeout;
	char user[ID_MAX]; /* X-User on each write, for its own audit */
} platform_opts_t;

typedef struct object {
	char *key;
	char *value;
	size_t len;
	uint64_t version;
	bool deleted; /* from a watch */
} object_t;

typedef struct objects {
	object_t *item;
	int n;
	uint64_t version; /* of the whole: where a watch goes on */
} objects_t;

platform_t *platform_new(const platform_opts_t *o, err_t *e);
void platform_free(platform_t *p);
/** @return 0, or -1: NOT_FOUND, DOWN, UNKNOWN (reads: try again), FULL. */
int platform_get(platform_t *p, const char *key, object_t *out, err_t *e);
/**
 * Conditional write. @param expect version to replace, 0 to create.
 * @return 0, or -1: CONFLICT; FULL (rate limit, nothing done); DOWN (nothing
 * done); UNKNOWN (done or not: read and compare).
 */
int platform_put(platform_t *p, const char *key, const char *value, size_t len,
    uint64_t expect, uint64_t *version, err_t *e);
int platform_delete(platform_t *p, const char *key, uint64_t expect, err_t *e);
int platform_list(platform_t *p, const char *prefix, objects_t *out, err_t *e);
/** Changes after @p since; waits up to @p wait ms. Empty when none came. */
int platform_watch(platform_t *p, const char *prefix, uint64_t since, ms_t wait,
    objects_t *out, err_t *e);
void object_clear(object_t *o);
void objects_clear(objects_t *o);

typedef enum instance_role {
	ROLE_ENTRY,
	ROLE_WORKER
} instance_role_t;

typedef struct instance {
	char id[ID_MAX];
	instance_role_t role;
	char domain[ID_MAX];
	bool leaving;
	char service[ID_MAX]; /* worker */
	char addr[ADDR_MAX];  /* worker's engine, or entry's caller address */
	char peer_addr[ADDR_MAX];
	char operator_addr[ADDR_MAX];
	uint32_t memory_mb;
	uint32_t slots;
} instance_t;

typedef struct instances {
	instance_t *item;
	int n;
} instances_t;

int platform_instances(platform_t *p, instances_t *out, err_t *e);
void instances_clear(instances_t *l);

/** A lease object with a fencing number. lease.c */
typedef struct lease {
	char name[ID_MAX];
	char holder[ID_MAX];
	ms_t ttl;
	const msclock_t *clock;
	uint64_t writer_id; /* tells our writes from a namesake's */
	uint64_t write_seq; /* number of our last write, sent or done */
	uint64_t fence;	    /* 0: not held */
	uint64_t version;   /* of our last write that stood */
	ms_t held_until;    /* on the monotonic clock; short of the ttl */
	/* what was last seen of another's, and when, on our clock */
	uint64_t seen_version;
	ms_t seen_at;
} lease_t;

void lease_init(lease_t *l, const char *name, const char *holder, ms_t ttl,
    const msclock_t *clock);
/** Take or renew. @return 0 when held; -1: CONFLICT (another's), DOWN ... */
int lease_acquire(lease_t *l, platform_t *p, err_t *e);
/** Is it still ours by our own clock? Never a ground for memory safety. */
bool lease_held(const lease_t *l);
int lease_drop(lease_t *l, platform_t *p, err_t *e);

/** Claims of calls that may run once. claims.c */
typedef enum claim_outcome {
	CLAIM_FRESH,	/* durable and yours: send the call */
	CLAIM_DONE,	/* a repeat: here is the first one's outcome */
	CLAIM_RUNNING,	/* the first one hasn't ended */
	CLAIM_UNKNOWN,	/* the first one's outcome can't be known */
	CLAIM_MISMATCH, /* same key, another body */
	CLAIM_DOWN,	/* not claimed, not run; come back */
	CLAIM_NOT_OWNER,
} claim_outcome_t;

enum {
	ASK_ID_MAX = 48
};

typedef struct claim_ask {
	char key[256];
	char service[ID_MAX];
	char request[ID_MAX];
	uint64_t body_hash;
} claim_ask_t;

typedef struct claim_settle {
	char key[256];
	char service[ID_MAX];
	char request[ID_MAX];
	call_outcome_t outcome; /* REFUSED gives the claim up */
	int status;
	char type[ID_MAX];
	char *reply; /* malloc'd, the service's to free */
	size_t len;
	char ask_id[ASK_ID_MAX]; /* only if the claim has this mark */
} claim_settle_t;

typedef struct claim_answer {
	claim_outcome_t outcome;
	int status;
	char type[ID_MAX];
	char *reply; /* malloc'd, the receiver's to free */
	size_t len;
	ms_t retry_after;
	char first_request[ID_MAX];
	/*
	 * Of a claim made for this ask alone. An answer that can't be handed
	 * on gives the claim up by a settle with this mark; by the request it
	 * might take it from another ask that was granted meanwhile.
	 */
	char ask_id[ASK_ID_MAX];
} claim_answer_t;

/** Called once per ask on the claims thread; must not block. */
typedef void claim_done_t(void *user, uint64_t tag, const claim_answer_t *a);

/** Where the buckets are kept: as platform_get() and platform_put(). */
typedef struct claims_store {
	int (*get)(void *user, const char *key, object_t *out, err_t *e);
	int (*put)(void *user, const char *key, const char *value, size_t len,
	    uint64_t expect, uint64_t *version, err_t *e);
	void *user;
} claims_store_t;

typedef struct claims claims_t;
typedef struct claims_opts {
	const settings_t *settings;
	const msclock_t *clock;
	claim_done_t *done;
	void *user;
	const claims_store_t *store; /* NULL: the settings' platform */
	bool stepped;  /* no thread: claims_step() is called instead */
	uint64_t seed; /* names this process's claims; 0: a random one */
} claims_opts_t;

/** Starts the claims thread. */
claims_t *claims_new(const claims_opts_t *o, err_t *e);
void claims_free(claims_t *c);
/** @return false when its ring is full: answer CLAIM_DOWN. */
bool claims_ask(claims_t *c, uint64_t tag, const claim_ask_t *ask);
bool claims_settle(claims_t *c, uint64_t tag, const claim_settle_t *s);
/** Take in what was asked, and write what is due. Waits up to @p wait ms. */
void claims_step(claims_t *c, ms_t wait);
/**
 * The bucket of a key by the settings, for finding its owner. Which object
 * the claim is in goes by the number that stands on the platform.
 */
int claims_bucket(const settings_t *s, const char *service, const char *key);

/** The audit trail. audit.c: bounded in memory, written by its thread. */
typedef struct audit audit_t;
typedef struct audit_record {
	int64_t at;	   /* wall clock, ms */
	char who[ID_MAX];  /* operator or instance */
	char kind[ID_MAX]; /* note, order, lease, claim, membership */
	char subject[256]; /* note id, worker, lease, key */
	char model[ID_MAX];
	uint64_t number; /* note, order or fencing number */
	char what[256];	 /* what changed */
	char result[ID_MAX];
} audit_record_t;
audit_t *audit_new(const settings_t *s, err_t *e);
void audit_free(audit_t *a);
/** Never blocks; a record that doesn't fit is counted and said. */
void audit_add(audit_t *a, const audit_record_t *r);
/** Filter of a read-back; empty fields match everything. */
typedef struct audit_filter {
	int64_t from, to;
	char subject[256];
	char model[ID_MAX];
	char kind[ID_MAX];
} audit_filter_t;
/** @return JSON array text, malloc'd, oldest first. */
char *audit_read(platform_t *p, const audit_filter_t *f, err_t *e);

#endif
