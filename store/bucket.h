/**
 * @file bucket.h
 * Internal to store/: the in-memory copy of one object of claims. No I/O; the
 * caller passes the time in. The object stores ages instead of timestamps, so
 * that instances need no common clock: a reader counts on from the age it
 * read, so a claim can only seem younger than it is.
 */
#ifndef STORE_BUCKET_H
#define STORE_BUCKET_H

#include "store/platform.h"

#include <glib.h>

enum {
	STORED_REPLY_MAX = 4096, /* bytes; a longer reply isn't stored */
};

/** A claim. */
typedef struct claim {
	char key[256];
	char service[ID_MAX];
	char request[ID_MAX];
	char attempt_id[ATTEMPT_ID_MAX]; /* of the request that last got it */
	uint64_t body_hash;
	ms_t since; /* local clock; when it was claimed, then when settled */
	ms_t age;   /* ms, as stored in the object */
	bool settled;
	call_outcome_t outcome;
	int status;
	char type[ID_MAX];
	char *reply;
	size_t len;
	char *json;	 /* as in the object, but without the age */
	size_t reserved; /* bytes, with room for the age and an outcome */
} claim_t;

typedef struct bucket {
	GHashTable *claims; /* of claim_t, by service and key */
	size_t reserved;    /* upper bound of the object's bytes */
	uint64_t version;   /* 0: the object doesn't exist */
	bool loaded;	    /* false: must be read before the next use */
	bool current;	    /* read or written during this commit */
} bucket_t;

/** Timeouts of services, and limits of a bucket. */
typedef struct bucket_limits {
	const settings_t *settings;
	ms_t retention;	 /* of outcomes, from their settling */
	size_t size_max; /* bytes of the object */
} bucket_limits_t;

/** Free the claims and zero @p b. */
void bucket_clear(bucket_t *b);
/**
 * Replace the claims by those of the object; @p o is NULL if it doesn't exist.
 * A claim that was in memory before keeps its older age.
 * @return 0, or -1: PROTO.
 */
int bucket_decode(bucket_t *b, const object_t *o, ms_t now, err_t *e);
/** @return the object's new value, malloc'd */
char *bucket_encode(bucket_t *b, ms_t now, size_t *len);
/** Remove claims past their retention. @return true if any was removed */
bool bucket_expire(bucket_t *b, const bucket_limits_t *l, ms_t now);
/** What a claim request changed in the bucket. */
typedef enum grant {
	GRANT_NONE,	      /* not granted, nothing changed */
	GRANT_ADDED,	      /* valid once the object is written */
	GRANT_TAKEN_OVER,     /* as above; another request of the call had it */
	GRANT_EXISTING,	      /* the same request already has it */
	GRANT_NONE_WRITE_AGE, /* not granted; write the object for the claim's
				 age */
} grant_t;
/**
 * Request a claim. One that another claim request of the same call holds is
 * taken over: the entry then sent requests to two owners, and it runs the call
 * at most once.
 */
grant_t bucket_claim(bucket_t *b, const bucket_limits_t *l,
    const claim_request_t *req, const char *attempt_id, ms_t now,
    claim_answer_t *a);
typedef enum settle_result {
	SETTLE_DONE,
	SETTLE_REPEATED, /* it was settled before */
	SETTLE_NO_CLAIM, /* there is no such claim */
} settle_result_t;
/**
 * Record a call's outcome; CALL_REFUSED removes the claim.
 * @param attempt_id settle only a claim that this attempt holds; NULL: any of
 * the call
 */
settle_result_t bucket_settle(bucket_t *b, const bucket_limits_t *l,
    const claim_settle_t *s, const char *attempt_id, ms_t now);

#endif
