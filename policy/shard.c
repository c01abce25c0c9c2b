#include "policy/shard.h"

#include <stdlib.h>
#include <string.h>

enum {
	ROUND_ASKS = 4,	       /* asks of one caller in a fair round */
	ROUND_MODEL_ASKS = 16, /* grants of one model in a fair round */
	HOLD_GUESS_MS = 2000,  /* a call's time until some have ended */
	RETRY_LEAST_MS = 100,  /* least Retry-After */
	RETRY_MOST_MS = 60000, /* longest Retry-After */
};

/* Least share of the slots that refused callers are told to come back for. */
static const double return_least = 0.1;
/* Least share of the slots that a low rank is expected to get. */
static const double share_least = 0.02;

/* Workers */

int
shard_find_worker(const admit_t *a, uint64_t id_hash)
{
	int i;

	for (i = 0; i < a->nworker; i++)
		if (a->worker[i].id_hash == id_hash && a->worker[i].id[0] != 0)
			return i;
	return -1;
}

/* Workers that hold an item; an empty item is held by all. */
uint64_t
shard_holders(const admit_t *a, uint64_t item, uint64_t avoid)
{
	uint64_t mask = 0, rest;
	int i;

	for (i = 0; i < a->nworker; i++) {
		const worker_t *w = &a->worker[i];

		if (w->id[0] != '\0' && !w->leaving &&
		    (item == 0 || worker_holds(w, item) != NULL))
			mask |= 1ull << i;
	}
	i = avoid == 0 ? -1 : shard_find_worker(a, avoid);
	rest = i == -1 ? mask : mask & ~(1ull << i);
	return rest != 0 ? rest : mask;
}

uint64_t
shard_available(const admit_t *a, ms_t now)
{
	uint64_t mask = 0;
	int i;

	for (i = 0; i < a->nworker; i++)
		if (a->worker[i].id[0] != '\0' &&
		    worker_available(&a->worker[i], now))
			mask |= 1ull << i;
	return mask;
}

uint64_t
shard_with_free_slots(const admit_t *a)
{
	uint64_t mask = 0;
	int i;

	for (i = 0; i < a->nworker; i++)
		if (a->worker[i].id[0] != '\0' &&
		    worker_free_slots(&a->worker[i]) > 0)
			mask |= 1ull << i;
	return mask;
}

/* Those that aren't ejected, unless that leaves none. */
uint64_t
shard_prefer_available(uint64_t mask, uint64_t open)
{
	return (mask & open) != 0 ? mask & open : mask;
}

/* Slots that become free in a ms on the workers of a mask. */
static double
drain(const admit_t *a, uint64_t mask)
{
	double rate = 0;
	int i;

	for (i = 0; i < a->nworker; i++) {
		const worker_t *w = &a->worker[i];

		if (mask >> i & 1)
			rate += w->slots /
				(w->slot_ms > 0 ? w->slot_ms : HOLD_GUESS_MS);
	}
	return rate > 0 ? rate : 1.0 / HOLD_GUESS_MS;
}

static double
backlog(const admit_t *a, uint64_t mask)
{
	double n = 0;
	int i;

	for (i = 0; i < a->nworker; i++)
		if (mask >> i & 1)
			n += a->backlog[i];
	return n;
}

/* Time to the first token once a slot is there, with some margin. */
ms_t
shard_first_token_ms(const admit_t *a)
{
	return (ms_t)(a->first_token_ms + a->first_token_deviation_ms);
}

/* The share of slots that calls of a higher rank leave. */
static double
share_left(const admit_t *a, uint32_t rank)
{
	uint64_t all = shard_holders(a, 0, 0);
	double higher = 0, left;
	uint32_t i;

	for (i = 0; i < rank && i < RANKS; i++)
		higher += a->arrival_rate[i];
	left = 1 - higher / drain(a, all);
	return left > share_least ? left : share_least;
}

/* Expected wait for a slot behind the first @p ahead of the queue. */
ms_t
shard_expected_wait(
    const admit_t *a, uint64_t mask, int ahead, uint32_t rank, ms_t now)
{
	uint64_t use = shard_prefer_available(mask, shard_available(a, now));
	double asks = 0;

	if (ahead == 0 && (use & shard_with_free_slots(a)) != 0)
		return 0;
	if (a->nqueue > 0)
		asks = backlog(a, use) * ahead / a->nqueue;
	return (ms_t)((asks + 1) / drain(a, use) / share_left(a, rank));
}

/* Verdicts */

admit_verdict_t *
shard_add_verdict(admit_t *a, uint64_t tag, slot_outcome_t outcome)
{
	admit_verdict_t *v;
	int i, room;

	if (a->nverdict == a->verdict_capacity) {
		room = a->verdict_capacity == 0 ? 64 : 2 * a->verdict_capacity;
		v = calloc(room, sizeof(*v));
		if (v == NULL)
			return NULL;
		for (i = 0; i < a->nverdict; i++)
			v[i] = a->verdict[(a->verdict_first + i) %
					  a->verdict_capacity];
		free(a->verdict);
		a->verdict = v;
		a->verdict_capacity = room;
		a->verdict_first = 0;
	}
	v = &a->verdict[(a->verdict_first + a->nverdict++) %
			a->verdict_capacity];
	*v = (admit_verdict_t){ .tag = tag, .outcome = outcome };
	return v;
}

/*
 * When coming back is worth it: not before the queue is short enough, and
 * one after the other at the rate of slots that new calls leave.
 */
static ms_t
come_back(admit_t *a, uint64_t mask, ms_t excess, ms_t now)
{
	double rate =
	    drain(a, shard_prefer_available(mask, shard_available(a, now)));
	double left = rate * share_left(a, RANKS);
	ms_t after;

	if (left < rate * return_least)
		left = rate * return_least;
	if (a->last_retry_at < now)
		a->last_retry_at = now;
	if (a->last_retry_at < now + RETRY_MOST_MS)
		a->last_retry_at += (ms_t)(1 / left) + 1;
	after = a->last_retry_at - now;
	if (after < excess)
		after = excess;
	if (after < RETRY_LEAST_MS)
		after = RETRY_LEAST_MS;
	if (after > RETRY_MOST_MS)
		after = RETRY_MOST_MS;
	return (ms_t)((double)after * (0.6 + 0.4 * rng_unit(&a->rng)));
}

void
shard_refuse(admit_t *a, const queued_ask_t *q, slot_outcome_t why, ms_t now)
{
	ms_t wait = shard_expected_wait(a, q->mask, a->nqueue, q->rank, now);
	ms_t excess = wait + shard_first_token_ms(a) - (q->deadline - now);
	admit_verdict_t *v = shard_add_verdict(a, q->tag, why);

	if (v == NULL)
		return;
	v->wait = wait;
	v->retry_after = come_back(a, q->mask, excess, now);
}

/* The queue */

static bool
goes_before(const queued_ask_t *x, const queued_ask_t *y)
{
	if (x->rank != y->rank)
		return x->rank < y->rank;
	if (x->round != y->round)
		return x->round < y->round;
	if (x->deadline != y->deadline)
		return x->deadline < y->deadline;
	return x->seq < y->seq;
}

int
queue_position(const admit_t *a, const queued_ask_t *q)
{
	int low = 0, high = a->nqueue;

	while (low < high) {
		int mid = (low + high) / 2;

		if (goes_before(&a->queue[mid], q))
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

void
queue_count_backlog(admit_t *a, const queued_ask_t *q, int sign)
{
	int i, n = __builtin_popcountll(q->mask);

	for (i = 0; i < a->nworker; i++)
		if (q->mask >> i & 1)
			a->backlog[i] += (double)sign / n;
}

/* An ask is charged to its caller: that one's next starts later. */
void
queue_charge(admit_t *a, queued_ask_t *q)
{
	double *finish = &a->caller_finish[q->caller % FLOW_BUCKETS];

	q->start_vtime = *finish > a->caller_vtime ? *finish : a->caller_vtime;
	q->round = (uint64_t)q->start_vtime;
	*finish = q->start_vtime + 1.0 / ROUND_ASKS;
	if (*finish > a->caller_vtime_max)
		a->caller_vtime_max = *finish;
}

/* What wasn't run isn't charged. */
void
queue_uncharge(admit_t *a, const queued_ask_t *q)
{
	a->caller_finish[q->caller % FLOW_BUCKETS] -= 1.0 / ROUND_ASKS;
}

/* When an item's next ask is due, by the grants that it has had. */
double
queue_item_start(const admit_t *a, uint64_t item)
{
	double finish = a->item_finish[item % FLOW_BUCKETS];

	return finish > a->item_vtime ? finish : a->item_vtime;
}

void
queue_charge_item(admit_t *a, uint64_t item)
{
	double start = queue_item_start(a, item);

	a->item_vtime = start;
	a->item_finish[item % FLOW_BUCKETS] = start + 1.0 / ROUND_MODEL_ASKS;
}

void
queue_insert(admit_t *a, int at, const queued_ask_t *q)
{
	memmove(
	    &a->queue[at + 1], &a->queue[at], (a->nqueue - at) * sizeof(*q));
	a->queue[at] = *q;
	a->nqueue++;
	queue_count_backlog(a, q, 1);
}

void
queue_remove(admit_t *a, int at)
{
	queue_count_backlog(a, &a->queue[at], -1);
	a->nqueue--;
	memmove(&a->queue[at], &a->queue[at + 1],
	    (a->nqueue - at) * sizeof(a->queue[0]));
	if (a->nqueue == 0) {
		memset(a->backlog, 0, sizeof(a->backlog));
		a->caller_vtime = a->caller_vtime_max;
	}
}

void
queue_refuse(admit_t *a, int at, slot_outcome_t why, ms_t now)
{
	queued_ask_t q = a->queue[at];

	queue_remove(a, at);
	queue_uncharge(a, &q);
	shard_refuse(a, &q, why, now);
}
