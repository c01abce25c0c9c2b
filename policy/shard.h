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
	WORKERS_MAX = 64, /* in a shard: bits of a mask */
	FLOWS = 1024,	  /* callers and models told apart by hash */
	RANKS = 3,
};

/* An ask that waits. Sorted by rank, fair round, deadline, arrival. */
typedef struct waiting {
	uint32_t rank;
	uint64_t round;
	ms_t deadline;
	uint64_t seq;
	uint64_t tag;
	uint64_t mask; /* workers that may take it */
	uint64_t item, caller, avoid, prefix;
	double start; /* virtual time */
} waiting_t;

typedef struct grant {
	int worker;
	ms_t at;
	handle_t before, after; /* in order of time */
} grant_t;

struct admit {
	admit_opts_t opts;
	worker_t *worker;
	int worker_room;
	int nworker; /* places used so far, some may be free again */

	waiting_t *queue; /* made when the first call asks */
	int nqueue;
	double backlog[WORKERS_MAX]; /* asks a worker's share is */
	uint64_t seq;
	bool look;	/* something changed since no ask could be granted */
	ms_t looked_at; /* the last admit_next() */

	/* Virtual times: callers share by asks, items by grants. */
	double caller_now, caller_last, caller_finish[FLOWS];
	double item_now, item_finish[FLOWS];

	table_t *grants;
	handle_t oldest, newest;
	uint64_t salt; /* another broker's handles don't fit ours */

	double first;	/* ms to the first token, over the shard */
	double late;	/* its mean deviation */
	ms_t second_at; /* arrivals are counted since */
	int arrived[RANKS];
	double arrivals[RANKS]; /* a ms, on average */
	ms_t booked; /* the last refused caller was told to come then */
	budget_t budget;
	rng_t rng;

	admit_verdict_t *verdict; /* ring of those not taken yet */
	int verdict_room, verdict_first, nverdict;
};

/** @return a worker's place, or -1. */
int shard_worker(const admit_t *a, uint64_t id_hash);
/** Workers that hold an item (0: all), without the avoided if others do. */
uint64_t shard_mask(const admit_t *a, uint64_t item, uint64_t avoid);
/** Workers that aren't ejected; workers with a free slot. */
uint64_t shard_open(const admit_t *a, ms_t now);
uint64_t shard_free(const admit_t *a);
/** Those of a mask that are open, or all of it if none is. */
uint64_t shard_usable(uint64_t mask, uint64_t open);
/** Time to the first token once a slot is there, with some margin. */
ms_t shard_first(const admit_t *a);
/** Expected wait for a slot behind the first @p ahead of the queue. */
ms_t shard_wait(
    const admit_t *a, uint64_t mask, int ahead, uint32_t rank, ms_t now);
/** @return a new verdict at the end of the ring, or NULL. */
admit_verdict_t *shard_verdict(
    admit_t *a, uint64_t tag, slot_outcome_t outcome);
void shard_refuse(admit_t *a, const waiting_t *q, slot_outcome_t why, ms_t now);

/** Where the ask belongs in the queue. */
int queue_place(const admit_t *a, const waiting_t *q);
/** An ask is charged to its caller: that one's next starts later. */
void queue_charge(admit_t *a, waiting_t *q);
/** What wasn't run isn't charged. */
void queue_uncharge(admit_t *a, const waiting_t *q);
/** When an item's next ask is due, by the grants that it has had. */
double queue_item_start(const admit_t *a, uint64_t item);
void queue_charge_item(admit_t *a, uint64_t item);
/** Count an ask (sign 1) in its workers' backlog, or out (-1). */
void queue_share(admit_t *a, const waiting_t *q, int sign);
void queue_insert(admit_t *a, int at, const waiting_t *q);
void queue_remove(admit_t *a, int at);
void queue_refuse(admit_t *a, int at, slot_outcome_t why, ms_t now);

#endif
