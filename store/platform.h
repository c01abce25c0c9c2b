/**
 * @file platform.h
 * Client of the platform: its object API and instance list, and the leases,
 * claims and audit trail kept there. Calls block; a platform_t belongs to one
 * thread. The protocol is in docs/INTERFACES.md.
 */
#ifndef STORE_PLATFORM_H
#define STORE_PLATFORM_H

#include "base/base.h"
#include "policy/policy.h"

typedef struct platform platform_t;

typedef struct platform_opts {
	char addr[ADDR_MAX];
	ms_t timeout;	   /* of one request */
	char user[ID_MAX]; /* sent as X-User, for the platform's audit */
} platform_opts_t;

typedef struct object {
	char *key;
	char *value;
	size_t len;
	uint64_t version;
	bool deleted; /* only from a watch */
} object_t;

typedef struct objects {
	object_t *item;
	int n;
	uint64_t version; /* of the listing; a watch continues from it */
} objects_t;

platform_t *platform_new(const platform_opts_t *o, err_t *e);
void platform_free(platform_t *p);
/**
 * Read an object; release it with object_clear().
 * @return 0, or -1: NOT_FOUND, DOWN, UNKNOWN (try again), FULL (rate limit)
 */
int platform_get(platform_t *p, const char *key, object_t *out, err_t *e);
/**
 * Write an object if its version is still @p expect.
 * @param expect version to replace, 0 to create
 * @param version set to the new version, may be NULL
 * @return 0, or -1: CONFLICT; FULL (rate limit) and DOWN (both: not written);
 * UNKNOWN (written or not: read and compare)
 */
int platform_put(platform_t *p, const char *key, const char *value, size_t len,
    uint64_t expect, uint64_t *version, err_t *e);
int platform_delete(platform_t *p, const char *key, uint64_t expect, err_t *e);
int platform_list(platform_t *p, const char *prefix, objects_t *out, err_t *e);
/**
 * Get the changes after version @p since; waits up to @p wait ms for one.
 * @param out empty if there was none
 * @return 0, or -1: NOT_FOUND if @p since is too old, else as platform_get()
 */
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

/* Leases. lease.c */

/** A lease kept as an object on the platform, with a fencing token. */
typedef struct lease {
	char name[ID_MAX];
	char holder[ID_MAX];
	ms_t ttl; /* the lease ends so long after its last renewal */
	const msclock_t *clock;
	uint64_t writer_id; /* random; tells our writes from those of another
			     * process with our id */
	uint64_t write_seq; /* of our last write, whether it succeeded or not */
	uint64_t fencing_token; /* 0: not held */
	uint64_t version;	/* of our last successful write */
	ms_t held_until;	/* monotonic; earlier than the ttl's end */
	/* version last seen of another holder's lease, and when (our clock) */
	uint64_t seen_version;
	ms_t seen_at;
} lease_t;

void lease_init(lease_t *l, const char *name, const char *holder, ms_t ttl,
    const msclock_t *clock);
/**
 * Acquire the lease, or renew it while it is held.
 * @return 0 if held, or -1: CONFLICT (held by another), or why the platform
 * failed
 */
int lease_acquire(lease_t *l, platform_t *p, err_t *e);
/**
 * @return true while the lease is held by our own clock. Memory on workers must
 * never depend on that: the ledger and the fencing token protect it.
 */
bool lease_held(const lease_t *l);
/** Release the lease; it counts as not held whatever the result is. */
int lease_drop(lease_t *l, platform_t *p, err_t *e);

/* Claims. claims.c */

/** The answer to a request for the right to run a call at most once. */
typedef enum claim_outcome {
	CLAIM_FRESH,	 /* granted and stored: send the call */
	CLAIM_DONE,	 /* a repeat; the answer has the first call's outcome */
	CLAIM_RUNNING,	 /* a repeat; the first call hasn't ended */
	CLAIM_UNKNOWN,	 /* a repeat; the first call's outcome can't be known */
	CLAIM_MISMATCH,	 /* the key was used with another body */
	CLAIM_DOWN,	 /* not claimed and not run; retry later */
	CLAIM_NOT_OWNER, /* another instance owns the bucket */
} claim_outcome_t;

enum {
	ATTEMPT_ID_MAX = 48
};

/** A request for a claim: the right to run a call that may run only once. */
typedef struct claim_request {
	char key[256];
	char service[ID_MAX];
	char request[ID_MAX];
	uint64_t body_hash;
	/* the entry sent it no earlier, ms on the owner's clock; 0: just now */
	ms_t sent_after;
} claim_request_t;

/** The outcome of a claimed call. */
typedef struct claim_settle {
	char key[256];
	char service[ID_MAX];
	char request[ID_MAX];
	call_outcome_t outcome; /* CALL_REFUSED removes the claim */
	int status;
	char type[ID_MAX];
	char *reply; /* malloc'd, freed by claims_t */
	size_t len;
	/* if set, only a claim that the request of this id holds */
	char attempt_id[ATTEMPT_ID_MAX];
} claim_settle_t;

typedef struct claim_answer {
	claim_outcome_t outcome;
	int status;
	char type[ID_MAX];
	char *reply; /* malloc'd, freed by the receiver */
	size_t len;
	ms_t retry_after;
	char first_request[ID_MAX];
	/*
	 * Set if the claim was made for this claim request. If the answer can't
	 * be delivered, settle the claim as CALL_REFUSED with this id: by the
	 * call's request id alone that could remove a claim that another claim
	 * request of the call was granted meanwhile.
	 */
	char attempt_id[ATTEMPT_ID_MAX];
} claim_answer_t;

/** Called once per claim request on the claims thread; must not block. */
typedef void claim_done_t(void *user, uint64_t tag, const claim_answer_t *a);

/** Storage of the buckets; same contract as platform_get() and _put(). */
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
	const claims_store_t *store; /* NULL: the platform in the settings */
	bool stepped;  /* no thread; the owner calls claims_step() */
	uint64_t seed; /* of attempt ids, unique per process; 0: random */
} claims_opts_t;

/** Starts the claims thread. */
claims_t *claims_new(const claims_opts_t *o, err_t *e);
void claims_free(claims_t *c);
/** @return false if the ring is full; treat that as CLAIM_DOWN */
bool claims_request(claims_t *c, uint64_t tag, const claim_request_t *req);
/** @return ms for which an entry waits for the answer to a claim request */
ms_t claims_wait(const settings_t *s);
/**
 * Record an outcome. Takes over s->reply unless the result is false.
 * @return false if the ring is full
 */
bool claims_settle(claims_t *c, uint64_t tag, const claim_settle_t *s);
/** Wait up to @p wait ms for work, and run the commits that are due. */
void claims_step(claims_t *c, ms_t wait);
/**
 * @return the bucket of a key by the number of buckets in the settings, to find
 * the key's owner. The object that holds the claim is found by the number that
 * is stored on the platform.
 */
int claims_bucket(const settings_t *s, const char *service, const char *key);

/* Audit trail. audit.c */

/** Writes records to the platform from its own thread; memory is bounded. */
typedef struct audit audit_t;
typedef struct audit_record {
	int64_t at;	   /* wall clock, ms */
	char who[ID_MAX];  /* operator or instance */
	char kind[ID_MAX]; /* note, order, lease, claim, membership */
	char subject[256]; /* note id, worker, lease or key */
	char model[ID_MAX];
	uint64_t number; /* note, order or fencing token */
	char what[256];	 /* what changed */
	char result[ID_MAX];
} audit_record_t;
audit_t *audit_new(const settings_t *s, err_t *e);
void audit_free(audit_t *a);
/** Never blocks. If the ring is full, the loss is counted and recorded. */
void audit_add(audit_t *a, const audit_record_t *r);
/** Which records to read; empty fields match everything. */
typedef struct audit_filter {
	int64_t from, to; /* wall clock, ms; 0: no limit */
	char subject[256];
	char model[ID_MAX];
	char kind[ID_MAX];
} audit_filter_t;
/** @return a JSON array as text, malloc'd, oldest first; NULL on error */
char *audit_read(platform_t *p, const audit_filter_t *f, err_t *e);

#endif
