#include "policy/policy.h"
#include "policy/worker.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
	WORKERS_MAX = 64,      /* in a shard: bits of a mask */
	GRANTS_MAX = 1 << 20,  /* in flight in a shard */
	FLOWS = 1024,	       /* callers and models told apart by hash */
	ROUND_ASKS = 4,	       /* asks of one caller in a fair round */
	ROUND_MODEL_ASKS = 16, /* asks of one model in a fair round */
	HOLD_GUESS_MS = 2000,  /* a call's time until some have ended */
	RETRY_LEAST_MS = 100,  /* least Retry-After */
	RETRY_MOST_MS = 30000, /* longest Retry-After */
	REACH_MS = 1000,       /* by then a granted call is at its worker */
	IDLE_DUE_MS = 1000,    /* longest time between two looks */
	BUDGET_FIRST = 10,     /* retries before any success */
	BUDGET_MOST = 100,     /* retries saved up */
};

/* Load may be higher by this share where a prefix is likely cached. */
static const double affine_load = 0.25;
/* Of what a refused caller is told, half of the slots are for others. */
static const double return_share = 0.5;

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
	worker_t worker[WORKERS_MAX];
	int nworker; /* places used so far, some may be free again */

	waiting_t *queue;
	int nqueue;
	double backlog[WORKERS_MAX]; /* asks a worker's share is */
	uint64_t seq;
	bool look;	/* something changed since no ask could be granted */
	ms_t looked_at; /* the last admit_next() */

	double virtual_now, virtual_last;
	double caller_finish[FLOWS], item_finish[FLOWS];

	table_t *grants;
	handle_t oldest, newest;
	uint64_t salt; /* another broker's handles don't fit ours */

	double first; /* ms to the first token, over the shard */
	double late;  /* its mean deviation */
	ms_t booked;  /* the last refused caller was told to come then */
	budget_t budget;
	rng_t rng;

	admit_verdict_t *verdict; /* ring of those not taken yet */
	int verdict_room, verdict_first, nverdict;
};

admit_t *
admit_new(const admit_opts_t *o)
{
	admit_t *a = calloc(1, sizeof(*a));

	if (a == NULL)
		return NULL;
	a->opts = *o;
	a->rng.s = o->seed;
	a->salt = rng_next(&a->rng);
	a->queue = calloc(o->queue_max + 1, sizeof(*a->queue));
	a->grants = table_new(sizeof(grant_t), GRANTS_MAX);
	a->budget = (budget_t){ o->retry_share, BUDGET_FIRST, BUDGET_MOST };
	if (a->queue == NULL || a->grants == NULL) {
		admit_free(a);
		return NULL;
	}
	return a;
}

void
admit_free(admit_t *a)
{
	int i;

	if (a == NULL)
		return;
	for (i = 0; i < WORKERS_MAX; i++)
		free(a->worker[i].holding);
	table_free(a->grants);
	free(a->queue);
	free(a->verdict);
	free(a);
}

/* Workers */

static int
worker_index(const admit_t *a, uint64_t id_hash)
{
	int i;

	for (i = 0; i < a->nworker; i++)
		if (a->worker[i].id_hash == id_hash && a->worker[i].id[0] != 0)
			return i;
	return -1;
}

static int
worker_add(admit_t *a, const char *id)
{
	int i;

	for (i = 0; i < a->nworker; i++)
		if (a->worker[i].id[0] == '\0')
			break;
	if (i == WORKERS_MAX)
		return -1;
	if (i == a->nworker)
		a->nworker++;
	memset(&a->worker[i], 0, sizeof(a->worker[i]));
	str_copy(a->worker[i].id, ID_MAX, id);
	a->worker[i].id_hash = hash_str(id, 0);
	return i;
}

/* Workers that hold an item; an empty item is held by all. */
static uint64_t
mask_of(const admit_t *a, uint64_t item, uint64_t avoid)
{
	uint64_t mask = 0, rest;
	int i;

	for (i = 0; i < a->nworker; i++) {
		const worker_t *w = &a->worker[i];

		if (w->id[0] != '\0' && !w->leaving &&
		    (item == 0 || worker_holds(w, item) != NULL))
			mask |= 1ull << i;
	}
	i = avoid == 0 ? -1 : worker_index(a, avoid);
	rest = i == -1 ? mask : mask & ~(1ull << i);
	return rest != 0 ? rest : mask;
}

static uint64_t
open_mask(const admit_t *a, ms_t now)
{
	uint64_t mask = 0;
	int i;

	for (i = 0; i < a->nworker; i++)
		if (a->worker[i].id[0] != '\0' &&
		    worker_open(&a->worker[i], now))
			mask |= 1ull << i;
	return mask;
}

static uint64_t
free_mask(const admit_t *a)
{
	uint64_t mask = 0;
	int i;

	for (i = 0; i < a->nworker; i++)
		if (a->worker[i].id[0] != '\0' &&
		    worker_free(&a->worker[i]) > 0)
			mask |= 1ull << i;
	return mask;
}

/* Those that aren't ejected, unless that leaves none. */
static uint64_t
usable(uint64_t mask, uint64_t open)
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
			rate +=
			    w->slots / (w->hold > 0 ? w->hold : HOLD_GUESS_MS);
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
static ms_t
first_token(const admit_t *a)
{
	return (ms_t)(a->first + a->late);
}

/* Expected wait for a slot behind the first @p ahead of the queue. */
static ms_t
expected_wait(const admit_t *a, uint64_t mask, int ahead, ms_t now)
{
	uint64_t use = usable(mask, open_mask(a, now));
	double asks = 0;

	if (ahead == 0 && (use & free_mask(a)) != 0)
		return 0;
	if (a->nqueue > 0)
		asks = backlog(a, use) * ahead / a->nqueue;
	return (ms_t)((asks + 1) / drain(a, use));
}

/* Verdicts */

static admit_verdict_t *
verdict_add(admit_t *a, uint64_t tag, slot_outcome_t outcome)
{
	admit_verdict_t *v;
	int i, room;

	if (a->nverdict == a->verdict_room) {
		room = a->verdict_room == 0 ? 64 : 2 * a->verdict_room;
		v = calloc(room, sizeof(*v));
		if (v == NULL)
			return NULL;
		for (i = 0; i < a->nverdict; i++)
			v[i] = a->verdict[(a->verdict_first + i) %
					  a->verdict_room];
		free(a->verdict);
		a->verdict = v;
		a->verdict_room = room;
		a->verdict_first = 0;
	}
	v = &a->verdict[(a->verdict_first + a->nverdict++) % a->verdict_room];
	*v = (admit_verdict_t){ .tag = tag, .outcome = outcome };
	return v;
}

/*
 * When coming back is worth it: not before the queue is short enough, and
 * one after the other at a share of the rate at which slots become free.
 */
static ms_t
come_back(admit_t *a, uint64_t mask, ms_t excess, ms_t now)
{
	double rate = drain(a, usable(mask, open_mask(a, now)));
	ms_t after;

	if (a->booked < now)
		a->booked = now;
	if (a->booked < now + RETRY_MOST_MS)
		a->booked += (ms_t)(1 / (rate * return_share)) + 1;
	after = a->booked - now;
	if (after < excess)
		after = excess;
	if (after < RETRY_LEAST_MS)
		after = RETRY_LEAST_MS;
	if (after > RETRY_MOST_MS)
		after = RETRY_MOST_MS;
	return (ms_t)((double)after * (0.8 + 0.4 * rng_unit(&a->rng)));
}

static void
refuse(admit_t *a, const waiting_t *q, slot_outcome_t why, ms_t now)
{
	ms_t wait = expected_wait(a, q->mask, a->nqueue, now);
	ms_t excess = wait + first_token(a) - (q->deadline - now);
	admit_verdict_t *v = verdict_add(a, q->tag, why);

	if (v == NULL)
		return;
	v->wait = wait;
	v->retry_after = come_back(a, q->mask, excess, now);
}

/* The queue */

static bool
goes_before(const waiting_t *x, const waiting_t *y)
{
	if (x->rank != y->rank)
		return x->rank < y->rank;
	if (x->round != y->round)
		return x->round < y->round;
	if (x->deadline != y->deadline)
		return x->deadline < y->deadline;
	return x->seq < y->seq;
}

static int
place_in_queue(const admit_t *a, const waiting_t *q)
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

static void
share_backlog(admit_t *a, const waiting_t *q, int sign)
{
	int i, n = __builtin_popcountll(q->mask);

	for (i = 0; i < a->nworker; i++)
		if (q->mask >> i & 1)
			a->backlog[i] += (double)sign / n;
}

/* A flow's virtual start; the ask is charged to it. */
static double
flow_charge(admit_t *a, double *finish, double cost)
{
	double start = *finish > a->virtual_now ? *finish : a->virtual_now;

	*finish = start + cost;
	if (*finish > a->virtual_last)
		a->virtual_last = *finish;
	return start;
}

static void
charge(admit_t *a, waiting_t *q)
{
	double c = flow_charge(
	    a, &a->caller_finish[q->caller % FLOWS], 1.0 / ROUND_ASKS);
	double i = flow_charge(
	    a, &a->item_finish[q->item % FLOWS], 1.0 / ROUND_MODEL_ASKS);

	q->start = c > i ? c : i;
	q->round = (uint64_t)q->start;
}

/* What wasn't run isn't charged. */
static void
uncharge(admit_t *a, const waiting_t *q)
{
	a->caller_finish[q->caller % FLOWS] -= 1.0 / ROUND_ASKS;
	a->item_finish[q->item % FLOWS] -= 1.0 / ROUND_MODEL_ASKS;
}

static void
queue_insert(admit_t *a, int at, const waiting_t *q)
{
	memmove(
	    &a->queue[at + 1], &a->queue[at], (a->nqueue - at) * sizeof(*q));
	a->queue[at] = *q;
	a->nqueue++;
	share_backlog(a, q, 1);
}

static void
queue_remove(admit_t *a, int at)
{
	share_backlog(a, &a->queue[at], -1);
	a->nqueue--;
	memmove(&a->queue[at], &a->queue[at + 1],
	    (a->nqueue - at) * sizeof(a->queue[0]));
	if (a->nqueue == 0) {
		memset(a->backlog, 0, sizeof(a->backlog));
		a->virtual_now = a->virtual_last;
	}
}

static void
queue_refuse(admit_t *a, int at, slot_outcome_t why, ms_t now)
{
	waiting_t q = a->queue[at];

	queue_remove(a, at);
	uncharge(a, &q);
	refuse(a, &q, why, now);
}

/* Grants */

static void
grant_drop(admit_t *a, handle_t h)
{
	grant_t *g = table_get(a->grants, h);
	grant_t *before = table_get(a->grants, g->before);
	grant_t *after = table_get(a->grants, g->after);

	if (before != NULL)
		before->after = g->after;
	else
		a->oldest = g->after;
	if (after != NULL)
		after->before = g->before;
	else
		a->newest = g->before;
	if (a->worker[g->worker].probe == h)
		a->worker[g->worker].probe = 0;
	table_del(a->grants, h);
	a->look = true;
}

static handle_t
grant_add(admit_t *a, int worker, ms_t now)
{
	handle_t h = table_add(a->grants);
	grant_t *g = table_get(a->grants, h);
	grant_t *newest;

	if (g == NULL)
		return 0;
	*g = (grant_t){ .worker = worker, .at = now, .before = a->newest };
	newest = table_get(a->grants, a->newest);
	if (newest != NULL)
		newest->after = h;
	else
		a->oldest = h;
	a->newest = h;
	return h;
}

/* Load with one more call; a slow worker counts as more loaded. */
static double
load_with(const admit_t *a, const worker_t *w)
{
	double load = (double)(worker_in_flight(w) + 1) / w->slots;

	if (w->first > 0 && a->first > 0 && w->first > a->first)
		load *= w->first / a->first;
	return load;
}

/* The worker for an ask among those of a mask that isn't empty. */
static int
choose(admit_t *a, const waiting_t *q, uint64_t mask)
{
	int i, best = -1, likely = -1;
	double load, least = 0, likely_least = 0;
	uint64_t tie = 0, t;

	for (i = 0; i < a->nworker; i++) {
		if ((mask >> i & 1) == 0)
			continue;
		load = load_with(a, &a->worker[i]);
		t = rng_next(&a->rng);
		if (best == -1 || load < least || (load == least && t > tie)) {
			best = i;
			least = load;
			tie = t;
		}
		if (worker_has_prefix(&a->worker[i], q->prefix) &&
		    (likely == -1 || load < likely_least)) {
			likely = i;
			likely_least = load;
		}
	}
	if (likely != -1 && likely_least <= least + affine_load)
		return likely;
	return best;
}

static bool
grant(admit_t *a, int at, int worker, ms_t now)
{
	waiting_t q = a->queue[at];
	worker_t *w = &a->worker[worker];
	const holding_t *held;
	admit_verdict_t *v;
	handle_t h = grant_add(a, worker, now);

	if (h == 0)
		return false;
	v = verdict_add(a, q.tag, SLOT_GRANTED);
	if (v == NULL) {
		grant_drop(a, h);
		return false;
	}
	queue_remove(a, at);
	if (q.start > a->virtual_now)
		a->virtual_now = q.start;
	if (w->circuit != CIRCUIT_CLOSED) {
		w->circuit = CIRCUIT_PROBE;
		w->probe = h;
	}
	w->mine++;
	worker_served(w, q.prefix);
	v->slot = h ^ a->salt;
	str_copy(v->worker, ID_MAX, w->id);
	held = worker_holds(w, q.item);
	v->version = held == NULL ? 0 : held->version;
	v->wait = expected_wait(a, q.mask, a->nqueue, now);
	return true;
}

/* Grant what can be granted, in the queue's order. */
static void
dispatch(admit_t *a, ms_t now)
{
	uint64_t open = open_mask(a, now), free = free_mask(a), can;
	int i = 0;

	while (i < a->nqueue && free != 0) {
		can = usable(a->queue[i].mask, open) & free;
		if (can == 0 ||
		    !grant(a, i, choose(a, &a->queue[i], can), now)) {
			i++;
			continue;
		}
		open = open_mask(a, now);
		free = free_mask(a);
	}
	a->look = false;
}

/* Asks */

/* The last in the queue may have become certain to be late. */
static void
trim(admit_t *a, ms_t now)
{
	const waiting_t *q;

	while (a->nqueue > 1) {
		q = &a->queue[a->nqueue - 1];
		if (expected_wait(a, q->mask, a->nqueue - 1, now) +
			first_token(a) <=
		    q->deadline - now)
			break;
		queue_refuse(a, a->nqueue - 1, SLOT_LATE, now);
	}
}

void
admit_put(admit_t *a, const admit_ask_t *ask, ms_t now)
{
	waiting_t q = { .rank = ask->rank,
		.deadline = ask->deadline,
		.seq = a->seq++,
		.tag = ask->tag,
		.prefix = ask->prefix,
		.caller = hash_str(ask->caller, 0) };
	admit_verdict_t *v;
	int at;

	if (ask->item[0] != '\0')
		q.item = hash_str(ask->item, 0);
	if (ask->avoid[0] != '\0')
		q.avoid = hash_str(ask->avoid, 0);
	q.mask = mask_of(a, q.item, q.avoid);
	if (q.mask == 0) {
		v = verdict_add(a, q.tag, SLOT_NO_COPY);
		if (v != NULL)
			v->retry_after = RETRY_LEAST_MS;
		return;
	}
	if (ask->retry && !budget_spend(&a->budget)) {
		refuse(a, &q, SLOT_RETRY_BUDGET, now);
		return;
	}
	charge(a, &q);
	at = place_in_queue(a, &q);
	if (expected_wait(a, q.mask, at, now) + first_token(a) >
		q.deadline - now &&
	    (at > 0 || (q.mask & free_mask(a)) == 0)) {
		uncharge(a, &q);
		refuse(a, &q, SLOT_LATE, now);
		return;
	}
	queue_insert(a, at, &q);
	dispatch(a, now);
	if (a->nqueue > a->opts.queue_max)
		queue_refuse(a, a->nqueue - 1, SLOT_FULL, now);
	trim(a, now);
}

void
admit_cancel(admit_t *a, uint64_t tag, ms_t now)
{
	int i;

	(void)now;
	for (i = 0; i < a->nqueue; i++)
		if (a->queue[i].tag == tag)
			break;
	if (i == a->nqueue)
		return;
	uncharge(a, &a->queue[i]);
	queue_remove(a, i);
}

static void
lapse(admit_t *a, ms_t now)
{
	grant_t *g;

	while ((g = table_get(a->grants, a->oldest)) != NULL &&
	       now - g->at >= a->opts.grant_ms) {
		a->worker[g->worker].mine--;
		grant_drop(a, a->oldest);
	}
}

/* Who may take what has changed. */
static void
remask(admit_t *a, ms_t now)
{
	int i;

	memset(a->backlog, 0, sizeof(a->backlog));
	for (i = 0; i < a->nqueue; i++) {
		waiting_t *q = &a->queue[i];

		q->mask = mask_of(a, q->item, q->avoid);
		share_backlog(a, q, 1);
	}
	for (i = a->nqueue - 1; i >= 0; i--)
		if (a->queue[i].mask == 0)
			queue_refuse(a, i, SLOT_NO_COPY, now);
}

void
admit_report(admit_t *a, const admit_report_t *r, ms_t now)
{
	int at = worker_index(a, hash_str(r->worker, 0));
	int known = 0, settled = 0;
	const grant_t *g;
	handle_t h;
	bool was;

	if (at == -1)
		at = worker_add(a, r->worker);
	if (at == -1)
		return;
	for (h = a->oldest; h != 0; h = g->after) {
		g = table_get(a->grants, h);
		if (g->worker != at || g->at > r->taken_at)
			continue;
		known++;
		if (g->at + REACH_MS <= r->taken_at)
			settled++;
	}
	was = a->worker[at].leaving;
	worker_report(&a->worker[at], r, known, settled);
	a->look = true;
	if (!worker_set_holding(&a->worker[at], r->resident, r->nresident) &&
	    was == r->leaving)
		return;
	remask(a, now);
}

void
admit_forget(admit_t *a, const char *worker)
{
	int at = worker_index(a, hash_str(worker, 0));
	const grant_t *g;
	handle_t h, after;

	if (at == -1)
		return;
	for (h = a->oldest; h != 0; h = after) {
		g = table_get(a->grants, h);
		after = g->after;
		if (g->worker == at)
			grant_drop(a, h);
	}
	free(a->worker[at].holding);
	memset(&a->worker[at], 0, sizeof(a->worker[at]));
	remask(a, a->looked_at);
}

static double
median_first(const admit_t *a, int but)
{
	double v[WORKERS_MAX], x;
	int i, j, n = 0;

	for (i = 0; i < a->nworker; i++) {
		const worker_t *w = &a->worker[i];

		if (i == but || w->id[0] == '\0' || w->first == 0 ||
		    w->circuit != CIRCUIT_CLOSED)
			continue;
		x = w->first;
		for (j = n++; j > 0 && v[j - 1] > x; j--)
			v[j] = v[j - 1];
		v[j] = x;
	}
	return n == 0 ? 0 : v[n / 2];
}

/* At least half of the workers stay in use. */
static bool
may_eject(const admit_t *a)
{
	int i, n = 0, out = 0;

	for (i = 0; i < a->nworker; i++) {
		if (a->worker[i].id[0] == '\0')
			continue;
		n++;
		if (a->worker[i].circuit != CIRCUIT_CLOSED)
			out++;
	}
	return 2 * (out + 1) <= n;
}

void
admit_release(admit_t *a, handle_t slot, call_outcome_t how, ms_t first,
    uint32_t tokens, ms_t now)
{
	handle_t h = slot ^ a->salt;
	grant_t *g = table_get(a->grants, h);
	worker_t *w;
	double usual, off;
	bool probed;

	if (g == NULL)
		return; /* lapsed, forgotten or another broker's */
	w = &a->worker[g->worker];
	probed = w->probe == h;
	worker_ended(w, how, g->at, first, tokens, now);
	usual = median_first(a, g->worker);
	worker_judge(w, usual, probed, may_eject(a), &a->rng, now);
	if (first >= 0) {
		off = fabs((double)first - a->first);
		a->late += (off - a->late) / 8;
		a->first += ((double)first - a->first) / 8;
	}
	if (how == CALL_DONE)
		budget_success(&a->budget);
	grant_drop(a, h);
}

/* Refuse those that can't be met even if a slot came free now. */
static void
refuse_late(admit_t *a, ms_t now)
{
	ms_t latest = now + first_token(a);
	int i;

	for (i = a->nqueue - 1; i >= 0; i--)
		if (a->queue[i].deadline <= latest)
			queue_refuse(a, i, SLOT_LATE, now);
}

bool
admit_next(admit_t *a, admit_verdict_t *v, ms_t now)
{
	lapse(a, now);
	if (a->nqueue > 0 && (a->look || now != a->looked_at)) {
		dispatch(a, now);
		refuse_late(a, now);
	}
	a->looked_at = now;
	if (a->nverdict == 0)
		return false;
	*v = a->verdict[a->verdict_first];
	a->verdict_first = (a->verdict_first + 1) % a->verdict_room;
	a->nverdict--;
	return true;
}

static ms_t
sooner(ms_t a, ms_t b)
{
	return a < b ? a : b;
}

ms_t
admit_due(const admit_t *a, ms_t now)
{
	table_t *grants = a->grants;
	const grant_t *g = table_get(grants, a->oldest);
	ms_t due = now + IDLE_DUE_MS;
	int i;

	if (a->nverdict > 0)
		return now;
	if (g != NULL)
		due = sooner(due, g->at + a->opts.grant_ms);
	if (a->nqueue == 0)
		return due;
	for (i = 0; i < a->nqueue; i++)
		due = sooner(due, a->queue[i].deadline - first_token(a));
	for (i = 0; i < a->nworker; i++)
		if (a->worker[i].circuit == CIRCUIT_OPEN &&
		    a->worker[i].retry_at > now)
			due = sooner(due, a->worker[i].retry_at);
	return due > now ? due : now + 1;
}

int
admit_waiting(const admit_t *a)
{
	return a->nqueue;
}

ms_t
admit_wait(const admit_t *a, const char *item, ms_t now)
{
	uint64_t mask = mask_of(a, item[0] == '\0' ? 0 : hash_str(item, 0), 0);

	return expected_wait(a, mask, a->nqueue, now);
}

int
admit_free_slots(const admit_t *a, const char *worker)
{
	int i = worker_index(a, hash_str(worker, 0));

	return i == -1 ? 0 : worker_free(&a->worker[i]);
}

bool
admit_ejected(const admit_t *a, const char *worker, ms_t now)
{
	int i = worker_index(a, hash_str(worker, 0));

	return i != -1 && (a->worker[i].circuit != CIRCUIT_CLOSED ||
			      !worker_open(&a->worker[i], now));
}
