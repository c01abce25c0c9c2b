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
	BACKOFF_MOST_MS = 2000,
	DOWN_LEAST_MS = 200, /* earliest time to come back in an outage */
};

typedef enum work_kind {
	WORK_ASK,
	WORK_SETTLE
} work_kind_t;

/** An ask or an outcome, from the ring until it is answered or written. */
typedef struct work {
	work_kind_t kind;
	uint64_t tag;
	ms_t came;
	char mark[CLAIM_MARK_MAX]; /* of an ask; a settle may have one */
	claim_ask_t ask;
	claim_settle_t settle;
	claim_answer_t answer; /* once the commit stands */
	bool doubt;	       /* a write that may take effect has its claim */
	bool taken; /* the claim was made by another ask of its request */
} work_t;

/** A bucket and what waits for it. */
typedef struct slot {
	bucket_t b;
	char key[32];
	GPtrArray *waiting; /* of work_t, in the order they came */
	int asks;
	ms_t not_before;
	bool busy; /* it stands in claims->busy */
} slot_t;

struct claims {
	claims_opts_t o;
	claims_store_t store;
	platform_t *platform;
	bucket_limits_t limits;
	ring_t *ring;
	slot_t *slot; /* NULL until the number of buckets is known */
	int nslot;
	GPtrArray *early; /* of work_t, outcomes that came before that */
	GPtrArray *busy;  /* of slot_t that something waits for */
	int nsettle;
	uint64_t incarnation, serial;
	rng_t rng;
	backoff_t backoff;
	ms_t down_until; /* 0: the platform answers */
	ms_t gather;	 /* group commit's span now */
	pthread_t thread;
	int stop;
	counter_t *outcome[CLAIM_NOT_OWNER + 1];
	counter_t *writes, *reads, *conflicts, *lost, *given_up;
};

ms_t claims_now(const claims_t *c);
void claims_work_free(work_t *w);
/** Do all that waits for a bucket and write it; what can't be done stays. */
void claims_commit(claims_t *c, slot_t *s);
/** Answer an ask with 'not claimed'. @return true if the work is over. */
bool claims_turn_down(claims_t *c, work_t *w, ms_t retry_after);
/** Turn down the asks that came before @p upto. */
void claims_turn_asks_down(claims_t *c, slot_t *s, ms_t upto, ms_t retry_after);
/** When to come back in an outage, from now. */
ms_t claims_come_back(const claims_t *c);
/** The number of buckets in use, or -1 while the platform is away. */
int claims_learn(claims_t *c);

#endif
