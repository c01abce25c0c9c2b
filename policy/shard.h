/**
 * @file shard.h
 * The state of one shard's admission: workers, waiting asks, grants, verdicts.
 * Used by admit.c and shard.c only.
 */
#ifndef SHARD_H
#define SHARD_H

#include "policy/policy.h"
#include "policy/worker.h"

enum {
	WORKERS_MAX = 64,    /* in a shard: bits of a mask */
	FLOW_BUCKETS = 1024, /* callers and models told apart by hash */
	RANKS = 3,
};

/* An ask that waits. Sorted by rank, fair round, deadline, arrival. */
typedef struct queued_ask {
	uint32_t rank;
	uint64_t round;
	ms_t deadline;
	uint64_t seq;
	uint64_t tag;
	uint64_t mask; /* workers that may take it */
	uint64_t item, caller, avoid, prefix;
	double start_vtime; /* virtual time */
} queued_ask_t;

typedef struct grant {
	int worker;
	ms_t granted_at;
	handle_t prev, next; /* in order of time */
} grant_t;

struct admit {
	admit_opts_t opts;
	worker_t *worker;
	int worker_capacity;
	int nworker; /* places used so far, some may be free again */

	queued_ask_t *queue; /* made when the first call asks */
	int nqueue;
	double backlog[WORKERS_MAX]; /* asks a worker's share is */
	uint64_t seq;
	bool dispatch_due; /* something changed since no ask could be granted */
	ms_t dispatched_at; /* the last admit_next() */

	/* Virtual times: callers share by asks, items by grants. */
	double caller_vtime, caller_vtime_max, caller_finish[FLOW_BUCKETS];
	double item_vtime, item_finish[FLOW_BUCKETS];

	table_t *grants;
	handle_t oldest, newest;
	uint64_t salt; /* another broker's handles don't fit ours */

	double first_token_ms; /* ms to the first token, over the shard */
	double first_token_deviation_ms; /* its mean deviation */
	ms_t arrivals_since;		 /* arrivals are counted since */
	int arrival_count[RANKS];
	double arrival_rate[RANKS]; /* a ms, on average */
	ms_t last_retry_at; /* the last refused caller was told to come then */
	budget_t budget;
	rng_t rng;

	admit_verdict_t *verdict; /* ring of those not taken yet */
	int verdict_capacity, verdict_first, nverdict;
};

/** @return a worker's place, or -1. */
int shard_find_worker(const admit_t *a, uint64_t id_hash);
/** Workers that hold an item (0: all), without the avoided if others do. */
uint64_t shard_holders(const admit_t *a, uint64_t item, uint64_t avoid);
/** Workers that aren't ejected; workers with a free slot. */
uint64_t shard_available(const admit_t *a, ms_t now);
uint64_t shard_with_free_slots(const admit_t *a);
/** Those of a mask that are open, or all of it if none is. */
uint64_t shard_prefer_available(uint64_t mask, uint64_t open);
/** Time to the first token once a slot is there, with some margin. */
ms_t shard_first_token_ms(const admit_t *a);
/** Expected wait for a slot behind the first @p ahead of the queue. */
ms_t shard_expected_wait(
    const admit_t *a, uint64_t mask, int ahead, uint32_t rank, ms_t now);
/** @return a new verdict at the end of the ring, or NULL. */
admit_verdict_t *shard_add_verdict(
    admit_t *a, uint64_t tag, slot_outcome_t outcome);
void shard_refuse(
    admit_t *a, const queued_ask_t *q, slot_outcome_t why, ms_t now);

/** Where the ask belongs in the queue. */
int queue_position(const admit_t *a, const queued_ask_t *q);
/** An ask is charged to its caller: that one's next starts later. */
void queue_charge(admit_t *a, queued_ask_t *q);
/** What wasn't run isn't charged. */
void queue_uncharge(admit_t *a, const queued_ask_t *q);
/** When an item's next ask is due, by the grants that it has had. */
double queue_item_start(const admit_t *a, uint64_t item);
void queue_charge_item(admit_t *a, uint64_t item);
/** Count an ask (sign 1) in its workers' backlog, or out (-1). */
void queue_count_backlog(admit_t *a, const queued_ask_t *q, int sign);
void queue_insert(admit_t *a, int at, const queued_ask_t *q);
void queue_remove(admit_t *a, int at);
void queue_refuse(admit_t *a, int at, slot_outcome_t why, ms_t now);

#endif
