/**
 * @file bucket.h
 * Within the package: one object of claims, in memory. No I/O; the time is
 * passed in. Ages, not points in time, are written, so that instances need
 * no common clock: a reader goes on counting from the age it read, which can
 * only make a claim seem younger than it is.
 */
#ifndef PLATFORM_BUCKET_H
#define PLATFORM_BUCKET_H

#include "store/platform.h"

#include <glib.h>

enum {
	STORED_REPLY_MAX = 4096, /* bytes of a reply kept for repeats */
};

/** A claim as it stands in the object. */
typedef struct claim {
	char key[256];
	char service[ID_MAX];
	char request[ID_MAX];
	char ask_id[ASK_ID_MAX]; /* of the last ask that took it */
	uint64_t body_hash;
	ms_t since; /* on our clock: when claimed, once settled when settled */
	ms_t age;   /* as it stands in the object */
	bool settled;
	call_outcome_t outcome;
	int status;
	char type[ID_MAX];
	char *reply;
	size_t len;
	char *json; /* as in the object, up to the age */
	size_t reserved;
} claim_t;

typedef struct bucket {
	GHashTable *claims; /* of claim_t, by service and key */
	size_t reserved;    /* bytes of the object, at most */
	uint64_t version;   /* 0: there is no object */
	bool loaded;	    /* false: read the object before the next use */
	bool current;	    /* read or written in the commit under way */
} bucket_t;

/** How long claims of a service run at most, and are kept. */
typedef struct bucket_limits {
	const settings_t *settings;
	ms_t retention;
	size_t size_max;
} bucket_limits_t;

/** Free what is in memory. */
void bucket_clear(bucket_t *b);
/**
 * Take over what the object holds, NULL if there is none. The ages of claims
 * that were in memory before go on. @return 0 or -1 with PROTO.
 */
int bucket_decode(bucket_t *b, const object_t *o, ms_t now, err_t *e);
/** The object's new value, malloc'd. */
char *bucket_encode(bucket_t *b, ms_t now, size_t *len);
/** Drop the outcomes that were kept long enough. @return true if any. */
bool bucket_expire(bucket_t *b, const bucket_limits_t *l, ms_t now);
/** What a granted ask did to the bucket. */
typedef enum grant {
	GRANT_NONE,
	GRANT_ADDED,	  /* counts once the object is written */
	GRANT_TAKEN_OVER, /* as above; the request's claim had another mark */
	GRANT_EXISTING,	  /* it was there under this mark */
	GRANT_NONE_WRITE_AGE, /* none; the claim's age is to be written */
} grant_t;
/**
 * Ask for a claim. A claim of the same request under another mark is taken
 * over: the entry has asked elsewhere too, and runs the call once at most.
 */
grant_t bucket_claim(bucket_t *b, const bucket_limits_t *l,
    const claim_ask_t *ask, const char *mark, ms_t now, claim_answer_t *a);
typedef enum settle_result {
	SETTLE_DONE,
	SETTLE_REPEATED,
	SETTLE_NO_CLAIM, /* there is no such claim */
} settle_result_t;
/**
 * Enter an outcome. @param mark whose claim to give up, or NULL to go by the
 * request.
 */
settle_result_t bucket_settle(bucket_t *b, const bucket_limits_t *l,
    const claim_settle_t *s, const char *mark, ms_t now);

#endif
