/**
 * @file claims.h
 * Within the package: what waits for buckets, and the commit of one bucket.
 * claims.c takes work in and says when; commit.c reads, writes and answers.
 */
#ifndef PLATFORM_CLAIMS_H
#define PLATFORM_CLAIMS_H

#include "store/bucket.h"

#include <pthread.h>

enum {
	BACKOFF_MAX_MS = 2000,
	OUTAGE_RETRY_MIN_MS = 200, /* earliest time to come back in an outage */
};

typedef enum work_kind {
	WORK_ASK,
	WORK_SETTLE
} work_kind_t;

/** An ask or an outcome, from the ring until it is answered or written. */
typedef struct work {
	work_kind_t kind;
	uint64_t tag;
	ms_t received_at;
	char ask_id[ASK_ID_MAX]; /* of an ask; a settle may have one */
	claim_ask_t ask;
	claim_settle_t settle;
	claim_answer_t answer; /* once the commit stands */
	bool maybe_written;    /* a write that may take effect has its claim */
	bool taken_over; /* the claim was made by another ask of its request */
} work_t;

/** A bucket and what waits for it. */
typedef struct bucket_queue {
	bucket_t bucket;
	char key[32];
	GPtrArray *waiting; /* of work_t, in the order they came */
	int nask;
	ms_t not_before;
	bool pending; /* it stands in claims->busy */
} bucket_queue_t;

struct claims {
	claims_opts_t o;
	claims_store_t store;
	platform_t *platform;
	bucket_limits_t limits;
	ring_t *ring;
	bucket_queue_t *queue; /* NULL until the number of buckets is known */
	int nqueue;
	GPtrArray
	    *early_settles; /* of work_t, outcomes that came before that */
	GPtrArray *pending; /* of slot_t that something waits for */
	int nsettle;
	uint64_t incarnation, serial;
	rng_t rng;
	backoff_t backoff;
	ms_t retry_at;	   /* 0: the platform answers */
	ms_t commit_delay; /* group commit's span now */
	pthread_t thread;
	int stop;
	counter_t *outcome[CLAIM_NOT_OWNER + 1];
	counter_t *writes, *reads, *conflicts, *lost, *given_up;
};

ms_t claims_now(const claims_t *c);
void claims_work_free(work_t *w);
/** Do all that waits for a bucket and write it; what can't be done stays. */
void claims_commit(claims_t *c, bucket_queue_t *s);
/** Answer an ask with 'not claimed'. @return true if the work is over. */
bool claims_reject(claims_t *c, work_t *w, ms_t retry_after);
/** Turn down the asks that came before @p upto. */
void claims_reject_asks(
    claims_t *c, bucket_queue_t *s, ms_t upto, ms_t retry_after);
/** When to come back in an outage, from now. */
ms_t claims_retry_after(const claims_t *c);
/** The number of buckets in use, or -1 while the platform is away. */
int claims_bucket_count(claims_t *c);

#endif
