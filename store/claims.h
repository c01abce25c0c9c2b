/**
 * @file claims.h
 * Internal to store/: claim requests and outcomes queued per bucket, and the
 * commit of one bucket. claims.c queues the work and schedules commits;
 * commit.c reads and writes the objects and answers the requests.
 */
#ifndef STORE_CLAIMS_H
#define STORE_CLAIMS_H

#include "store/bucket.h"

#include <pthread.h>

enum {
	BACKOFF_MAX_MS = 2000,	   /* between tries in an outage */
	OUTAGE_RETRY_MIN_MS = 200, /* least retry_after in an outage */
};

typedef enum work_kind {
	WORK_CLAIM,
	WORK_SETTLE
} work_kind_t;

/** A claim request, or an outcome to be written; queued until done. */
typedef struct work {
	work_kind_t kind;
	uint64_t tag;
	ms_t received_at;
	char attempt_id[ATTEMPT_ID_MAX]; /* always set for a request */
	claim_request_t claim;
	claim_settle_t settle;
	claim_answer_t answer; /* sent once the commit has succeeded */
	bool maybe_written;    /* the claim, by a put of unknown outcome */
	bool taken_over;       /* the claim, from another request of the call */
} work_t;

/** A bucket and the work that waits for its commit. */
typedef struct bucket_queue {
	bucket_t bucket;
	char key[32];
	GPtrArray *waiting; /* of work_t, in order of arrival */
	int nrequest;	    /* claim requests in waiting */
	ms_t not_before;    /* earliest next commit */
	bool pending;	    /* listed in claims.pending */
} bucket_queue_t;

struct claims {
	claims_opts_t o;
	claims_store_t store;
	platform_t *platform;
	bucket_limits_t limits;
	ring_t *ring;
	/* one per bucket; NULL until the number of buckets is known */
	bucket_queue_t *queue;
	int nqueue;
	GPtrArray *early_settles;     /* of work_t, outcomes from before then */
	GPtrArray *pending;	      /* of bucket_queue_t with waiting work */
	int nsettle;		      /* outcomes not yet written */
	uint64_t incarnation, serial; /* make up attempt_id */
	rng_t rng;
	backoff_t backoff;
	ms_t retry_at;	   /* next try in an outage; 0: no outage */
	ms_t commit_delay; /* current delay of group commit */
	pthread_t thread;
	int stop;
	counter_t *outcome[CLAIM_NOT_OWNER + 1]; /* by claim_outcome_t */
	counter_t *writes, *reads, *conflicts, *lost, *given_up;
};

ms_t claims_now(const claims_t *c);
void claims_work_free(work_t *w);
/** Process a bucket's work and write the object; failed work stays queued. */
void claims_commit(claims_t *c, bucket_queue_t *s);
/** Answer a request with CLAIM_DOWN. @return true if the work can be freed */
bool claims_reject(claims_t *c, work_t *w, ms_t retry_after);
/** Reject the requests received up to @p upto. */
void claims_reject_requests(
    claims_t *c, bucket_queue_t *s, ms_t upto, ms_t retry_after);
/** @return ms until a request should be retried in an outage */
ms_t claims_retry_after(const claims_t *c);
/** @return the number of buckets in use, or -1 in an outage */
int claims_bucket_count(claims_t *c);

#endif
