#include "policy/shard.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
	GRANTS_MAX = 1 << 20, /* of a shard at a time */
	CALL_DELAY_MS = 1000, /* until a granted call has reached its worker */
	ARRIVAL_INTERVAL_MS = 1000,
	NEXT_MAX_MS = 1000,	/* longest time between two admit_next() */
	BUDGET_INITIAL = 10,	/* retries allowed before any success */
	BUDGET_MAX = 100,	/* retries that can be saved up */
	NO_COPY_RETRY_MS = 100, /* Retry-After; a copy may be loading */
};

/*
 * Extra load, as a share of the slots, accepted at a worker that likely has
 * the prefix cached.
 */
static const double prefix_load_margin = 0.25;
/*
 * Factor on an estimated wait: later requests of a more urgent priority, or
 * of callers with fewer requests, are granted first.
 */
static const double wait_factor = 1.5;
/* Weight of one call in the average time to the first token. */
static const double first_token_weight = 0.125;
/* Weight of one interval in the average arrival rate. */
static const double arrival_rate_weight = 0.2;

admit_t *
admit_new(const admit_opts_t *o)
{
	admit_t *a = calloc(1, sizeof(*a));

	if (a == NULL)
		return NULL;
	a->opts = *o;
	a->rng.s = o->seed;
	a->salt = rng_next(&a->rng);
	a->grants = table_new(sizeof(grant_t), GRANTS_MAX);
	a->budget = (budget_t){ o->retry_share, BUDGET_INITIAL, BUDGET_MAX };
	if (a->grants == NULL) {
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
	for (i = 0; i < a->nworker; i++)
		worker_clear(&a->worker[i]);
	free(a->worker);
	table_free(a->grants);
	free(a->queue);
	free(a->verdict);
	free(a);
}

/* Grants */

static void
grant_drop(admit_t *a, handle_t h)
{
	grant_t *g = table_get(a->grants, h);
	grant_t *before = table_get(a->grants, g->prev);
	grant_t *after = table_get(a->grants, g->next);

	if (before != NULL)
		before->next = g->next;
	else
		a->oldest = g->next;
	if (after != NULL)
		after->prev = g->prev;
	else
		a->newest = g->prev;
	if (a->worker[g->worker].probe == h)
		a->worker[g->worker].probe = 0;
	table_del(a->grants, h);
	a->dispatch_due = true;
}

static handle_t
grant_add(admit_t *a, int worker, ms_t now)
{
	handle_t h = table_add(a->grants);
	grant_t *g = table_get(a->grants, h);
	grant_t *newest;

	if (g == NULL)
		return 0;
	*g =
	    (grant_t){ .worker = worker, .granted_at = now, .prev = a->newest };
	newest = table_get(a->grants, a->newest);
	if (newest != NULL)
		newest->next = h;
	else
		a->oldest = h;
	a->newest = h;
	return h;
}

/* Load with one more call, scaled up for a worker slower than the average. */
static double
load_with(const admit_t *a, const worker_t *w, ms_t now)
{
	double load = (double)(worker_in_flight(w) + 1) / w->slots;

	if (a->first_token_ms > 0 && w->first_token_ms > a->first_token_ms &&
	    now - w->first_token_at < SPEED_MAX_AGE_MS)
		load *= w->first_token_ms / a->first_token_ms;
	return load;
}

/*
 * The worker for a request: the least loaded of a nonempty mask, or one that
 * likely has its prefix cached.
 */
static int
choose_worker(admit_t *a, const queued_request_t *q, uint64_t mask, ms_t now)
{
	int i, best = -1, cached = -1;
	double load, least = 0, cached_least = 0;
	uint64_t tie = 0, t;

	for (i = 0; i < a->nworker; i++) {
		if ((mask >> i & 1) == 0)
			continue;
		load = load_with(a, &a->worker[i], now);
		t = rng_next(&a->rng);
		if (best == -1 || load < least || (load == least && t > tie)) {
			best = i;
			least = load;
			tie = t;
		}
		if (worker_has_prefix(&a->worker[i], q->prefix) &&
		    (cached == -1 || load < cached_least)) {
			cached = i;
			cached_least = load;
		}
	}
	if (cached != -1 && cached_least <= least + prefix_load_margin)
		return cached;
	return best;
}

static bool
grant(admit_t *a, int at, int worker, ms_t now)
{
	queued_request_t q = a->queue[at];
	worker_t *w = &a->worker[worker];
	const holding_t *item;
	admit_verdict_t *v;
	handle_t h = grant_add(a, worker, now);

	if (h == 0)
		return false;
	v = shard_add_verdict(a, q.tag, SLOT_GRANTED);
	if (v == NULL) {
		grant_drop(a, h);
		return false;
	}
	queue_remove(a, at);
	if (q.start_vtime > a->caller_vtime)
		a->caller_vtime = q.start_vtime;
	queue_charge_item(a, q.item);
	if (w->circuit != CIRCUIT_CLOSED) {
		w->circuit = CIRCUIT_PROBE;
		w->probe = h;
	}
	w->own_grants++;
	worker_add_prefix(w, q.prefix);
	v->slot = h ^ a->salt;
	str_set(v->worker, ID_MAX, w->id);
	item = worker_holds(w, q.item);
	v->version = item == NULL ? 0 : item->version;
	v->wait = shard_expected_wait(a, q.mask, a->nqueue, q.priority, now);
	return true;
}

/*
 * The next request that a free worker can take: by priority, then the item with
 * the fewest grants, then the queue's order. @return -1 if there is none.
 */
static int
next_request(const admit_t *a, uint64_t available, uint64_t free)
{
	uint64_t round, least = 0, current_round = (uint64_t)a->item_vtime;
	int i, best = -1;

	for (i = 0; i < a->nqueue; i++) {
		const queued_request_t *q = &a->queue[i];

		if (best != -1 && q->priority != a->queue[best].priority)
			break;
		if ((shard_prefer_available(q->mask, available) & free) == 0)
			continue;
		round = (uint64_t)queue_item_start(a, q->item);
		if (best == -1 || round < least) {
			best = i;
			least = round;
		}
		if (least == current_round)
			break;
	}
	return best;
}

static void
dispatch(admit_t *a, ms_t now)
{
	uint64_t available, free;
	int i;

	while (a->nqueue > 0 && (free = shard_with_free_slots(a)) != 0) {
		available = shard_available(a, now);
		i = next_request(a, available, free);
		if (i == -1)
			break;
		free &= shard_prefer_available(a->queue[i].mask, available);
		if (!grant(
			a, i, choose_worker(a, &a->queue[i], free, now), now))
			break;
	}
	a->dispatch_due = false;
}

/* Requests for slots */

static bool
in_time(const admit_t *a, const queued_request_t *q, int ahead, ms_t now)
{
	ms_t wait = shard_expected_wait(a, q->mask, ahead, q->priority, now);

	return (ms_t)((double)wait * wait_factor) + shard_first_token_ms(a) <=
	       q->deadline - now;
}

static void
count_arrival(admit_t *a, uint32_t priority, ms_t now)
{
	ms_t span = now - a->arrivals_since;
	double rate;
	int i;

	a->arrival_count[priority < PRIORITIES ? priority : PRIORITIES - 1]++;
	if (span < ARRIVAL_INTERVAL_MS)
		return;
	for (i = 0; i < PRIORITIES; i++) {
		rate = (double)a->arrival_count[i] / (double)span;
		a->arrival_rate[i] +=
		    arrival_rate_weight * (rate - a->arrival_rate[i]);
		a->arrival_count[i] = 0;
	}
	a->arrivals_since = now;
}

/* An insertion may make the requests at the end of the queue too late. */
static void
refuse_late_tail(admit_t *a, ms_t now)
{
	const queued_request_t *q;

	while (a->nqueue > 1) {
		q = &a->queue[a->nqueue - 1];
		if (in_time(a, q, a->nqueue - 1, now))
			break;
		queue_refuse(a, a->nqueue - 1, SLOT_LATE, now);
	}
}

void
admit_put(admit_t *a, const admit_request_t *req, ms_t now)
{
	queued_request_t q = { .priority = req->priority,
		.deadline = req->deadline,
		.seq = a->seq++,
		.tag = req->tag,
		.prefix = req->prefix,
		.caller = hash_str(req->caller, 0) };
	admit_verdict_t *v;
	int at;

	if (req->item[0] != '\0')
		q.item = hash_str(req->item, 0);
	if (req->avoid[0] != '\0')
		q.avoid = hash_str(req->avoid, 0);
	count_arrival(a, q.priority, now);
	q.mask = shard_holders(a, q.item, q.avoid);
	if (q.mask == 0) {
		v = shard_add_verdict(a, q.tag, SLOT_NO_COPY);
		if (v != NULL)
			v->retry_after = NO_COPY_RETRY_MS;
		return;
	}
	if (req->retry && !budget_spend(&a->budget)) {
		shard_refuse(a, &q, SLOT_RETRY_BUDGET, now);
		return;
	}
	queue_charge(a, &q);
	at = queue_position(a, &q);
	if (!in_time(a, &q, at, now) &&
	    (at > 0 || (q.mask & shard_with_free_slots(a)) == 0)) {
		queue_uncharge(a, &q);
		shard_refuse(a, &q, SLOT_LATE, now);
		return;
	}
	if (a->queue == NULL)
		a->queue = calloc(a->opts.queue_max + 1, sizeof(*a->queue));
	if (a->queue == NULL) {
		queue_uncharge(a, &q);
		shard_refuse(a, &q, SLOT_FULL, now);
		return;
	}
	queue_insert(a, at, &q);
	dispatch(a, now);
	if (a->nqueue > a->opts.queue_max)
		queue_refuse(a, a->nqueue - 1, SLOT_FULL, now);
	refuse_late_tail(a, now);
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
	queue_uncharge(a, &a->queue[i]);
	queue_remove(a, i);
}

/* End grants that were never released. */
static void
expire_grants(admit_t *a, ms_t now)
{
	grant_t *g;

	while ((g = table_get(a->grants, a->oldest)) != NULL &&
	       now - g->granted_at >= a->opts.grant_ms) {
		a->worker[g->worker].own_grants--;
		grant_drop(a, a->oldest);
	}
}

/* The workers' items changed: update which workers can take each request. */
static void
update_masks(admit_t *a, ms_t now)
{
	int i;

	memset(a->backlog, 0, sizeof(a->backlog));
	for (i = 0; i < a->nqueue; i++) {
		queued_request_t *q = &a->queue[i];

		q->mask = shard_holders(a, q->item, q->avoid);
		queue_count_backlog(a, q, 1);
	}
	for (i = a->nqueue - 1; i >= 0; i--)
		if (a->queue[i].mask == 0)
			queue_refuse(a, i, SLOT_NO_COPY, now);
}

static bool
worker_grow(admit_t *a)
{
	int room = a->worker_capacity == 0 ? 8 : 2 * a->worker_capacity;
	worker_t *w = realloc(a->worker, room * sizeof(*w));

	if (w == NULL)
		return false;
	a->worker = w;
	a->worker_capacity = room;
	return true;
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
	if (i == a->worker_capacity && !worker_grow(a))
		return -1;
	if (i == a->nworker)
		a->nworker++;
	memset(&a->worker[i], 0, sizeof(a->worker[i]));
	str_set(a->worker[i].id, ID_MAX, id);
	a->worker[i].id_hash = hash_str(id, 0);
	return i;
}

void
admit_report(admit_t *a, const admit_report_t *r, ms_t now)
{
	int at = shard_find_worker(a, hash_str(r->worker, 0));
	int known = 0, settled = 0;
	const grant_t *g;
	handle_t h;
	bool was_leaving;

	if (at == -1)
		at = worker_add(a, r->worker);
	if (at == -1)
		return;
	for (h = a->oldest; h != 0; h = g->next) {
		g = table_get(a->grants, h);
		if (g->worker != at || g->granted_at > r->taken_at)
			continue;
		known++;
		if (g->granted_at + CALL_DELAY_MS <= r->taken_at)
			settled++;
	}
	was_leaving = a->worker[at].leaving;
	worker_report(&a->worker[at], r, known, settled);
	a->dispatch_due = true;
	if (!worker_set_holding(&a->worker[at], r->resident, r->nresident) &&
	    was_leaving == r->leaving)
		return;
	update_masks(a, now);
}

void
admit_remove_worker(admit_t *a, const char *worker)
{
	int at = shard_find_worker(a, hash_str(worker, 0));
	const grant_t *g;
	handle_t h, after;

	if (at == -1)
		return;
	for (h = a->oldest; h != 0; h = after) {
		g = table_get(a->grants, h);
		after = g->next;
		if (g->worker == at)
			grant_drop(a, h);
	}
	worker_clear(&a->worker[at]);
	update_masks(a, a->dispatched_at);
}

/* The median time to the first token of the other workers in use. */
static double
median_first_token_ms(const admit_t *a, int except)
{
	double v[WORKERS_MAX], x;
	int i, j, n = 0;

	for (i = 0; i < a->nworker; i++) {
		const worker_t *w = &a->worker[i];

		if (i == except || w->id[0] == '\0' || w->first_token_ms == 0 ||
		    w->circuit != CIRCUIT_CLOSED)
			continue;
		x = w->first_token_ms;
		for (j = n++; j > 0 && v[j - 1] > x; j--)
			v[j] = v[j - 1];
		v[j] = x;
	}
	return n == 0 ? 0 : v[n / 2];
}

/* May another worker be ejected? At least half of them stay in use. */
static bool
may_eject(const admit_t *a)
{
	int i, n = 0, ejected = 0;

	for (i = 0; i < a->nworker; i++) {
		if (a->worker[i].id[0] == '\0')
			continue;
		n++;
		if (a->worker[i].circuit != CIRCUIT_CLOSED)
			ejected++;
	}
	return 2 * (ejected + 1) <= n;
}

static void
average_first_token(admit_t *a, double first)
{
	if (a->first_token_ms == 0)
		a->first_token_ms = first;
	a->first_token_deviation_ms +=
	    first_token_weight *
	    (fabs(first - a->first_token_ms) - a->first_token_deviation_ms);
	a->first_token_ms += first_token_weight * (first - a->first_token_ms);
}

void
admit_release(admit_t *a, handle_t slot, call_outcome_t outcome, ms_t first,
    uint32_t tokens, ms_t now)
{
	handle_t h = slot ^ a->salt;
	grant_t *g = table_get(a->grants, h);
	worker_t *w;
	double usual;
	bool probed;

	if (g == NULL)
		return; /* expired, dropped or another broker's */
	w = &a->worker[g->worker];
	probed = w->probe == h;
	worker_grant_ended(w, outcome, g->granted_at, first, tokens, now);
	usual = median_first_token_ms(a, g->worker);
	worker_update_circuit(w, usual, probed, may_eject(a), &a->rng, now);
	if (first >= 0)
		average_first_token(a, (double)first);
	if (outcome == CALL_DONE)
		budget_add_success(&a->budget);
	grant_drop(a, h);
}

/* Refuse the requests that would be late even with a slot now. */
static void
refuse_late(admit_t *a, ms_t now)
{
	ms_t latest = now + shard_first_token_ms(a);
	int i;

	for (i = a->nqueue - 1; i >= 0; i--)
		if (a->queue[i].deadline <= latest)
			queue_refuse(a, i, SLOT_LATE, now);
}

bool
admit_next(admit_t *a, admit_verdict_t *v, ms_t now)
{
	expire_grants(a, now);
	if (a->nqueue > 0 && (a->dispatch_due || now != a->dispatched_at)) {
		dispatch(a, now);
		refuse_late(a, now);
	}
	a->dispatched_at = now;
	if (a->nverdict == 0)
		return false;
	*v = a->verdict[a->verdict_first];
	a->verdict_first = (a->verdict_first + 1) % a->verdict_capacity;
	a->nverdict--;
	return true;
}

static ms_t
earlier(ms_t a, ms_t b)
{
	return a < b ? a : b;
}

ms_t
admit_due(const admit_t *a, ms_t now)
{
	table_t *grants = a->grants;
	const grant_t *g = table_get(grants, a->oldest);
	ms_t due = now + NEXT_MAX_MS;
	int i;

	if (a->nverdict > 0)
		return now;
	if (g != NULL)
		due = earlier(due, g->granted_at + a->opts.grant_ms);
	if (a->nqueue == 0)
		return due;
	for (i = 0; i < a->nqueue; i++)
		due = earlier(
		    due, a->queue[i].deadline - shard_first_token_ms(a));
	for (i = 0; i < a->nworker; i++)
		if (a->worker[i].circuit == CIRCUIT_OPEN &&
		    a->worker[i].retry_at > now)
			due = earlier(due, a->worker[i].retry_at);
	return due > now ? due : now + 1;
}

int
admit_queue_length(const admit_t *a)
{
	return a->nqueue;
}

ms_t
admit_expected_wait(const admit_t *a, const char *item, ms_t now)
{
	uint64_t mask =
	    shard_holders(a, item[0] == '\0' ? 0 : hash_str(item, 0), 0);

	return shard_expected_wait(a, mask, a->nqueue, 1, now);
}

int
admit_free_slots(const admit_t *a, const char *worker)
{
	int i = shard_find_worker(a, hash_str(worker, 0));

	return i == -1 ? 0 : worker_free_slots(&a->worker[i]);
}

bool
admit_ejected(const admit_t *a, const char *worker, ms_t now)
{
	int i = shard_find_worker(a, hash_str(worker, 0));

	return i != -1 && (a->worker[i].circuit != CIRCUIT_CLOSED ||
			      !worker_available(&a->worker[i], now));
}
