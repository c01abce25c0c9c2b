#include "policy/shard.h"

#include <stdlib.h>
#include <string.h>

enum {
	CALLER_ROUND_REQUESTS = 4, /* of one caller in a fair round */
	ITEM_ROUND_GRANTS = 16,	   /* of one item in a fair round */
	SLOT_DEFAULT_MS = 2000,	   /* assumed until calls have ended */
	RETRY_AFTER_MIN_MS = 100,  /* bounds of Retry-After */
	RETRY_AFTER_MAX_MS = 60000,
};

/* Least share of the slots that is planned for refused callers' retries. */
static const double retry_share_min = 0.1;
/* Least share of the slots that a low priority is expected to get. */
static const double priority_share_min = 0.02;

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

uint64_t
shard_holders(const admit_t *a, uint64_t item, uint64_t avoid)
{
	uint64_t mask = 0, others;
	int i;

	for (i = 0; i < a->nworker; i++) {
		const worker_t *w = &a->worker[i];

		if (w->id[0] != '\0' && !w->leaving &&
		    (item == 0 || worker_holds(w, item) != NULL))
			mask |= 1ull << i;
	}
	i = avoid == 0 ? -1 : shard_find_worker(a, avoid);
	others = i == -1 ? mask : mask & ~(1ull << i);
	return others != 0 ? others : mask;
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

uint64_t
shard_prefer_available(uint64_t mask, uint64_t available)
{
	return (mask & available) != 0 ? mask & available : mask;
}

/* Slots that become free per ms on the workers of a mask. */
static double
slot_rate(const admit_t *a, uint64_t mask)
{
	double rate = 0;
	int i;

	for (i = 0; i < a->nworker; i++) {
		const worker_t *w = &a->worker[i];

		if (mask >> i & 1)
			rate += w->slots /
				(w->slot_ms > 0 ? w->slot_ms : SLOT_DEFAULT_MS);
	}
	return rate > 0 ? rate : 1.0 / SLOT_DEFAULT_MS;
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

ms_t
shard_first_token_ms(const admit_t *a)
{
	return (ms_t)(a->first_token_ms + a->first_token_deviation_ms);
}

/* The share of the slots that calls of more urgent priorities leave. */
static double
priority_share(const admit_t *a, uint32_t priority)
{
	uint64_t all = shard_holders(a, 0, 0);
	double higher = 0, left;
	uint32_t i;

	for (i = 0; i < priority && i < PRIORITIES; i++)
		higher += a->arrival_rate[i];
	left = 1 - higher / slot_rate(a, all);
	return left > priority_share_min ? left : priority_share_min;
}

ms_t
shard_expected_wait(
    const admit_t *a, uint64_t mask, int ahead, uint32_t priority, ms_t now)
{
	uint64_t use = shard_prefer_available(mask, shard_available(a, now));
	double requests = 0;

	if (ahead == 0 && (use & shard_with_free_slots(a)) != 0)
		return 0;
	if (a->nqueue > 0)
		requests = backlog(a, use) * ahead / a->nqueue;
	return (ms_t)((requests + 1) / slot_rate(a, use) /
		      priority_share(a, priority));
}

/* Verdicts */

admit_verdict_t *
shard_add_verdict(admit_t *a, uint64_t tag, slot_outcome_t outcome)
{
	admit_verdict_t *v;
	int i, capacity;

	if (a->nverdict == a->verdict_capacity) {
		capacity =
		    a->verdict_capacity == 0 ? 64 : 2 * a->verdict_capacity;
		v = calloc(capacity, sizeof(*v));
		if (v == NULL)
			return NULL;
		for (i = 0; i < a->nverdict; i++)
			v[i] = a->verdict[(a->verdict_first + i) %
					  a->verdict_capacity];
		free(a->verdict);
		a->verdict = v;
		a->verdict_capacity = capacity;
		a->verdict_first = 0;
	}
	v = &a->verdict[(a->verdict_first + a->nverdict++) %
			a->verdict_capacity];
	*v = (admit_verdict_t){ .tag = tag, .outcome = outcome };
	return v;
}

/*
 * The Retry-After of a refused caller in ms: not before the queue is short
 * enough, and spaced at the rate of the slots that new calls leave. Jitter
 * takes off up to 40 %.
 */
static ms_t
retry_after(admit_t *a, uint64_t mask, ms_t too_late_by, ms_t now)
{
	double rate =
	    slot_rate(a, shard_prefer_available(mask, shard_available(a, now)));
	double left = rate * priority_share(a, PRIORITIES);
	ms_t after;

	if (left < rate * retry_share_min)
		left = rate * retry_share_min;
	if (a->last_retry_at < now)
		a->last_retry_at = now;
	if (a->last_retry_at < now + RETRY_AFTER_MAX_MS)
		a->last_retry_at += (ms_t)(1 / left) + 1;
	after = a->last_retry_at - now;
	if (after < too_late_by)
		after = too_late_by;
	if (after < RETRY_AFTER_MIN_MS)
		after = RETRY_AFTER_MIN_MS;
	if (after > RETRY_AFTER_MAX_MS)
		after = RETRY_AFTER_MAX_MS;
	return (ms_t)((double)after * (0.6 + 0.4 * rng_unit(&a->rng)));
}

void
shard_refuse(
    admit_t *a, const queued_request_t *q, slot_outcome_t why, ms_t now)
{
	ms_t wait =
	    shard_expected_wait(a, q->mask, a->nqueue, q->priority, now);
	ms_t too_late_by = wait + shard_first_token_ms(a) - (q->deadline - now);
	admit_verdict_t *v = shard_add_verdict(a, q->tag, why);

	if (v == NULL)
		return;
	v->wait = wait;
	v->retry_after = retry_after(a, q->mask, too_late_by, now);
}

/* The queue */

static bool
sorts_before(const queued_request_t *x, const queued_request_t *y)
{
	if (x->priority != y->priority)
		return x->priority < y->priority;
	if (x->round != y->round)
		return x->round < y->round;
	if (x->deadline != y->deadline)
		return x->deadline < y->deadline;
	return x->seq < y->seq;
}

int
queue_position(const admit_t *a, const queued_request_t *q)
{
	int low = 0, high = a->nqueue;

	while (low < high) {
		int mid = (low + high) / 2;

		if (sorts_before(&a->queue[mid], q))
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

void
queue_count_backlog(admit_t *a, const queued_request_t *q, int sign)
{
	int i, n = __builtin_popcountll(q->mask);

	for (i = 0; i < a->nworker; i++)
		if (q->mask >> i & 1)
			a->backlog[i] += (double)sign / n;
}

void
queue_charge(admit_t *a, queued_request_t *q)
{
	double *finish = &a->caller_finish[q->caller % FLOW_BUCKETS];

	q->start_vtime = *finish > a->caller_vtime ? *finish : a->caller_vtime;
	q->round = (uint64_t)q->start_vtime;
	*finish = q->start_vtime + 1.0 / CALLER_ROUND_REQUESTS;
	if (*finish > a->caller_vtime_max)
		a->caller_vtime_max = *finish;
}

void
queue_uncharge(admit_t *a, const queued_request_t *q)
{
	a->caller_finish[q->caller % FLOW_BUCKETS] -=
	    1.0 / CALLER_ROUND_REQUESTS;
}

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
	a->item_finish[item % FLOW_BUCKETS] = start + 1.0 / ITEM_ROUND_GRANTS;
}

void
queue_insert(admit_t *a, int at, const queued_request_t *q)
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
	queued_request_t q = a->queue[at];

	queue_remove(a, at);
	queue_uncharge(a, &q);
	shard_refuse(a, &q, why, now);
}
