/**
 * @file shard.h
 * The state of one shard's admission: workers, the queue of slot requests,
 * grants and verdicts. Used by admit.c and shard.c only.
 */
#ifndef SHARD_H
#define SHARD_H

#include "policy/policy.h"
#include "policy/worker.h"

enum {
	WORKERS_MAX = 64,    /* in a shard: the bits of a mask */
	FLOW_BUCKETS = 1024, /* callers and items are hashed into these */
	PRIORITIES = 3,
};

/** A queued request. Sorted by priority, fair round, deadline and arrival. */
typedef struct queued_request {
	uint32_t priority;
	uint64_t round;
	ms_t deadline;
	uint64_t seq;
	uint64_t tag;
	uint64_t mask; /* workers that may take it */
	uint64_t item, caller, avoid, prefix;
	double start_vtime; /* caller's virtual time */
} queued_request_t;

/** A slot in use. */
typedef struct grant {
	int worker;
	ms_t granted_at;
	handle_t prev, next; /* by time of grant */
} grant_t;

struct admit {
	admit_opts_t opts;
	worker_t *worker;
	int worker_capacity;
	int nworker; /* elements used so far; some may be free again */

	queued_request_t *queue; /* allocated with the first request */
	int nqueue;
	/* Queued requests per worker; one that several can take is divided. */
	double backlog[WORKERS_MAX];
	uint64_t seq;
	bool dispatch_due;  /* a queued request may have become grantable */
	ms_t dispatched_at; /* the last admit_next() */

	/* Virtual times of fair queueing, per caller request and item grant. */
	double caller_vtime, caller_vtime_max, caller_finish[FLOW_BUCKETS];
	double item_vtime, item_finish[FLOW_BUCKETS];

	table_t *grants;
	handle_t oldest, newest;
	uint64_t salt; /* so that another broker's handles don't match */

	double first_token_ms;		 /* moving average over the shard */
	double first_token_deviation_ms; /* mean absolute deviation */
	ms_t arrivals_since;		 /* arrival_count counts from then */
	int arrival_count[PRIORITIES];
	double arrival_rate[PRIORITIES]; /* requests per ms, moving average */
	ms_t last_retry_at; /* when the last refused caller may come back */
	budget_t budget;
	rng_t rng;

	admit_verdict_t *verdict; /* ring of those not yet taken */
	int verdict_capacity, verdict_first, nverdict;
};

/** @return the worker's index, or -1 */
int shard_find_worker(const admit_t *a, uint64_t id_hash);
/**
 * @param item hash of its name, 0: any worker will do
 * @param avoid hash of a worker's id that is left out if others hold the item
 * @return the mask of the workers that hold an item and aren't leaving
 */
uint64_t shard_holders(const admit_t *a, uint64_t item, uint64_t avoid);
/** @return the mask of the workers that calls may be sent to */
uint64_t shard_available(const admit_t *a, ms_t now);
/** @return the mask of the workers with a free slot */
uint64_t shard_with_free_slots(const admit_t *a);
/** @return those of a mask that are available, or all of it if none is */
uint64_t shard_prefer_available(uint64_t mask, uint64_t available);
/** @return ms from a grant to the first token, with a margin */
ms_t shard_first_token_ms(const admit_t *a);
/** @return the expected ms to a slot behind the first @p ahead of the queue */
ms_t shard_expected_wait(
    const admit_t *a, uint64_t mask, int ahead, uint32_t priority, ms_t now);
/** @return a new verdict at the end of the ring, or NULL (out of memory) */
admit_verdict_t *shard_add_verdict(
    admit_t *a, uint64_t tag, slot_outcome_t outcome);
/** Add a verdict that refuses a request, with a wait and a Retry-After. */
void shard_refuse(
    admit_t *a, const queued_request_t *q, slot_outcome_t why, ms_t now);

/** @return the index where the request belongs in the queue */
int queue_position(const admit_t *a, const queued_request_t *q);
/** Charge a request to its caller, whose next one is placed later for it. */
void queue_charge(admit_t *a, queued_request_t *q);
/** Undo queue_charge() for a request that wasn't granted. */
void queue_uncharge(admit_t *a, const queued_request_t *q);
/** @return the item's virtual time: its next request is due then */
double queue_item_start(const admit_t *a, uint64_t item);
/** Charge a grant to its item. */
void queue_charge_item(admit_t *a, uint64_t item);
/** Add a request to the backlog of its workers (sign 1), or remove it (-1). */
void queue_count_backlog(admit_t *a, const queued_request_t *q, int sign);
void queue_insert(admit_t *a, int at, const queued_request_t *q);
void queue_remove(admit_t *a, int at);
/** Remove a request and refuse it. */
void queue_refuse(admit_t *a, int at, slot_outcome_t why, ms_t now);

#endif
