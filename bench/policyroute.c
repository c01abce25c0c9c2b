/*
 * Discrete-event simulation that compares routing and the choice of a worker
 * with simpler policies: entries with stale load figures, prompts that share
 * prefixes, workers with small prefix caches, optionally one slow worker.
 * Prints CSV.
 */
#include "bench/events.h"
#include "policy/policy.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
	DOMAINS = 3,
	SHARDS = 6,
	SHARD_WORKERS = 8,
	WORKERS = SHARDS * SHARD_WORKERS,
	SLOTS = 8,
	ENTRIES = 6,
	TARGET_LATENCY_MS = 2000,
	HIT_MS = 60,   /* first token with the prefix cached */
	MISS_MS = 200, /* without */
	GAP_MS = 20,
	TOKENS = 100,
	PREFIXES = 600,
	CACHED_PREFIXES = 16, /* in a worker's cache */
	SAME_DOMAIN_MS = 1,
	OTHER_DOMAIN_MS = 3,
	CALLS_MAX = 1 << 17,
	WARM_MS = 30000,
	RUN_MS = 90000,
	SLOW_FACTOR = 10,
	SEEDS = 3,
};

static const double mean_load = 0.75;

typedef enum policy {
	RANDOM,
	ROUND_ROBIN,
	TWO_CHOICES, /* the less loaded of two random workers */
	OURS,	     /* the policy under test */
	NPOLICY
} policy_t;
static const char *const policies[] = { "random", "round-robin", "two-choices",
	"ours" };

typedef enum event_kind {
	ARRIVE,
	DELIVER, /* the call arrives at its broker or worker */
	FINISH,
	REPORT
} event_kind_t;

typedef struct call {
	ms_t arrived_at, started_at, first_at;
	int entry, shard, worker, tokens;
	uint64_t prefix;
	handle_t slot;
	bool tried[SHARDS];
} call_t;

typedef struct worker {
	int running;
	int waiting[CALLS_MAX / 16]; /* ring; unused by OURS */
	int head, tail;
	uint64_t cache[CACHED_PREFIXES]; /* most recent first */
	int slow_factor;
	int reported_in_flight; /* in flight at the last report */
} worker_t;

typedef struct sim {
	policy_t policy;
	ms_t report_interval; /* between two reports */
	rng_t rng;
	ms_t now;
	events_t events;
	call_t *call;
	int ncall, next_worker;
	worker_t worker[WORKERS];
	admit_t *admit[SHARDS];
	route_shard_t view[ENTRIES][SHARDS];
	ms_t viewed_at;
	histo_t first;
	int64_t arrived, met, hits, started, refused, other_domain;
} sim_t;

static const char *const domains[] = { "d0", "d1", "d2" };

static void
push(sim_t *s, ms_t at, event_kind_t kind, int call)
{
	events_push(&s->events, (event_t){ at, 0, kind, call, 0 });
}

static bool
measured(const sim_t *s, const call_t *c)
{
	return c->arrived_at >= WARM_MS && c->arrived_at < RUN_MS &&
	       s->now >= 0;
}

static ms_t
network_delay(int entry, int shard)
{
	return entry % DOMAINS == shard % DOMAINS ? SAME_DOMAIN_MS
						  : OTHER_DOMAIN_MS;
}

/* Put the prefix first. Returns true if it was in the cache. */
static bool
cache_touch(worker_t *w, uint64_t prefix)
{
	uint64_t was = prefix, next;
	int i;

	for (i = 0; i < CACHED_PREFIXES; i++) {
		next = w->cache[i];
		w->cache[i] = was;
		was = next;
		if (next == prefix)
			return true;
	}
	return false;
}

static void
start(sim_t *s, int i, int worker)
{
	call_t *c = &s->call[i];
	worker_t *w = &s->worker[worker];
	bool hit = cache_touch(w, c->prefix);

	w->running++;
	c->worker = worker;
	c->started_at = s->now;
	c->first_at = s->now + network_delay(c->entry, worker / SHARD_WORKERS) +
		      (ms_t)(hit ? HIT_MS : MISS_MS) * w->slow_factor;
	if (measured(s, c)) {
		s->started++;
		s->hits += hit;
		s->met += c->first_at - c->arrived_at <= TARGET_LATENCY_MS;
		histo_add(&s->first, c->first_at - c->arrived_at);
	}
	push(s, c->first_at + (ms_t)c->tokens * GAP_MS * w->slow_factor, FINISH,
	    i);
}

/* OURS: a broker for each shard. */

static int
pick_shard(sim_t *s, const call_t *c)
{
	route_shard_t *v = s->view[c->entry];
	int k, shard;

	for (k = 0; k < SHARDS; k++) {
		v[k].tried = c->tried[k];
		v[k].age = s->now - s->viewed_at;
	}
	shard = route_pick(
	    v, SHARDS, domains[c->entry % DOMAINS], c->prefix, &s->rng);
	if (shard != -1)
		v[shard].requests_since++;
	return shard;
}

static void
send_request(sim_t *s, int i)
{
	call_t *c = &s->call[i];

	c->shard = pick_shard(s, c);
	if (c->shard == -1) {
		s->refused += measured(s, c);
		return;
	}
	c->tried[c->shard] = true;
	s->other_domain += measured(s, c) &&
			   network_delay(c->entry, c->shard) == OTHER_DOMAIN_MS;
	push(s, s->now + network_delay(c->entry, c->shard), DELIVER, i);
}

static void
take_verdicts(sim_t *s, int shard)
{
	admit_verdict_t v;

	while (admit_next(s->admit[shard], &v, s->now)) {
		call_t *c = &s->call[v.tag];

		if (v.outcome != SLOT_GRANTED) {
			send_request(s, (int)v.tag);
			continue;
		}
		c->slot = v.slot;
		start(s, (int)v.tag, (int)strtol(v.worker + 1, NULL, 10));
	}
}

static void
broker_request(sim_t *s, int i)
{
	call_t *c = &s->call[i];
	admit_request_t q = { .tag = i,
		.item = "m",
		.priority = 1,
		.deadline = c->arrived_at + TARGET_LATENCY_MS,
		.prefix = c->prefix };

	snprintf(q.caller, ID_MAX, "e%d", c->entry);
	admit_put(s->admit[c->shard], &q, s->now);
	take_verdicts(s, c->shard);
}

/* The others: entries send calls directly to workers, which queue them. */

static int
in_flight(const worker_t *w)
{
	return w->running + w->tail - w->head;
}

static int
pick_worker(sim_t *s)
{
	int a = (int)(rng_unit(&s->rng) * WORKERS);
	int b = (int)(rng_unit(&s->rng) * WORKERS);

	switch (s->policy) {
	case RANDOM:
		return a;
	case ROUND_ROBIN:
		return s->next_worker++ % WORKERS;
	case TWO_CHOICES:
		return s->worker[a].reported_in_flight <=
			       s->worker[b].reported_in_flight
			   ? a
			   : b;
	case OURS:
	case NPOLICY:
		break;
	}
	return 0;
}

static void
serve(sim_t *s, int worker)
{
	worker_t *w = &s->worker[worker];
	int ring_size = (int)(sizeof(w->waiting) / sizeof(w->waiting[0]));

	while (w->running < SLOTS && w->head < w->tail)
		start(s, w->waiting[w->head++ % ring_size], worker);
}

static void
queue_on_worker(sim_t *s, int i)
{
	worker_t *w = &s->worker[s->call[i].worker];
	int ring_size = (int)(sizeof(w->waiting) / sizeof(w->waiting[0]));

	w->waiting[w->tail++ % ring_size] = i;
	serve(s, s->call[i].worker);
}

/* Events */

static void
arrive(sim_t *s)
{
	double rate = mean_load * WORKERS * SLOTS / (MISS_MS + TOKENS * GAP_MS);
	int i = s->ncall++;
	call_t *c = &s->call[i];

	*c = (call_t){ .arrived_at = s->now };
	c->entry = (int)(rng_unit(&s->rng) * ENTRIES);
	c->tokens = 1 + (int)(-TOKENS * log(1 - rng_unit(&s->rng)));
	/* Popularity falls as 1/rank: the logarithm is uniform. */
	c->prefix =
	    hash_str("p", (uint64_t)exp(rng_unit(&s->rng) * log(PREFIXES)));
	s->arrived += measured(s, c);
	if (s->policy == OURS) {
		send_request(s, i);
	} else {
		c->worker = pick_worker(s);
		push(s,
		    s->now + network_delay(c->entry, c->worker / SHARD_WORKERS),
		    DELIVER, i);
	}
	if (s->ncall < CALLS_MAX)
		push(s,
		    s->now + (ms_t)(0.5 - log(1 - rng_unit(&s->rng)) / rate),
		    ARRIVE, 0);
}

static void
finish(sim_t *s, int i)
{
	call_t *c = &s->call[i];
	int shard = c->worker / SHARD_WORKERS;

	s->worker[c->worker].running--;
	if (s->policy != OURS) {
		serve(s, c->worker);
		return;
	}
	admit_release(s->admit[shard], c->slot, CALL_DONE,
	    c->first_at - c->started_at, c->tokens, s->now);
	take_verdicts(s, shard);
}

/* Publish a shard's load to all entries and its workers' to its broker. */
static void
report(sim_t *s)
{
	admit_resident_t m = { "m", 1 };
	admit_report_t r = { .slots = SLOTS,
		.taken_at = s->now,
		.resident = &m,
		.nresident = 1 };
	int w, k, e;

	for (w = 0; w < WORKERS; w++) {
		s->worker[w].reported_in_flight = in_flight(&s->worker[w]);
		snprintf(r.worker, ID_MAX, "w%d", w);
		r.in_flight = s->worker[w].running;
		if (s->policy == OURS)
			admit_report(s->admit[w / SHARD_WORKERS], &r, s->now);
	}
	for (k = 0; k < SHARDS && s->policy == OURS; k++) {
		take_verdicts(s, k);
		for (e = 0; e < ENTRIES; e++) {
			route_shard_t *v = &s->view[e][k];

			v->domain = domains[k % DOMAINS];
			v->copies = SHARD_WORKERS;
			v->wait = admit_expected_wait(s->admit[k], "m", s->now);
			v->requests_since = 0;
			v->id_hash = hash64(&k, sizeof(k), 0);
			v->free_slots = 0;
			for (w = 0; w < SHARD_WORKERS; w++) {
				snprintf(r.worker, ID_MAX, "w%d",
				    k * SHARD_WORKERS + w);
				v->free_slots +=
				    admit_free_slots(s->admit[k], r.worker);
			}
		}
	}
	s->viewed_at = s->now;
	push(s, s->now + s->report_interval, REPORT, 0);
}

static void
handle_event(sim_t *s, const event_t *e)
{
	int k;

	s->now = e->at;
	switch ((event_kind_t)e->kind) {
	case ARRIVE:
		arrive(s);
		break;
	case DELIVER:
		if (s->policy == OURS)
			broker_request(s, e->call);
		else
			queue_on_worker(s, e->call);
		break;
	case FINISH:
		finish(s, e->call);
		break;
	case REPORT:
		report(s);
		break;
	}
	for (k = 0; k < SHARDS && s->policy == OURS; k++)
		if (admit_queue_length(s->admit[k]) > 0 &&
		    admit_due(s->admit[k], s->now) <= s->now + 1)
			take_verdicts(s, k);
}

static void
run(policy_t policy, ms_t age, bool slow, uint64_t seed)
{
	sim_t *s = calloc_or_abort(1, sizeof(*s));
	admit_opts_t o = { 512, 120000, 10, seed };
	event_t e;
	int k;

	s->policy = policy;
	s->report_interval = age;
	s->rng.s = seed;
	s->events.heap =
	    calloc_or_abort(4 * (size_t)CALLS_MAX, sizeof(event_t));
	s->call = calloc_or_abort(CALLS_MAX, sizeof(*s->call));
	for (k = 0; k < WORKERS; k++)
		s->worker[k].slow_factor = 1;
	s->worker[0].slow_factor = slow ? SLOW_FACTOR : 1;
	for (k = 0; k < SHARDS; k++) {
		o.seed = seed * SHARDS + k;
		s->admit[k] = admit_new(&o);
		if (s->admit[k] == NULL)
			abort();
	}
	push(s, 0, REPORT, 0);
	push(s, 1, ARRIVE, 0);
	while (s->events.n > 0 && s->now < RUN_MS + TARGET_LATENCY_MS) {
		e = events_pop(&s->events);
		handle_event(s, &e);
	}
	printf("%s,%" PRId64 ",%s,%" PRIu64 ",%" PRId64 ",%" PRId64
	       ",%.2f,%.1f,%.2f,%.1f\n",
	    policies[policy], age, slow ? "yes" : "no", seed,
	    histo_quantile(&s->first, 0.5), histo_quantile(&s->first, 0.99),
	    100.0 * (double)s->met / (double)s->arrived,
	    100.0 * (double)s->hits / (double)s->started,
	    100.0 * (double)s->refused / (double)s->arrived,
	    100.0 * (double)s->other_domain / (double)s->arrived);
	for (k = 0; k < SHARDS; k++)
		admit_free(s->admit[k]);
	free(s->call);
	free(s->events.heap);
	free(s);
}

int
main(void)
{
	static const ms_t ages[] = { 100, 1000, 5000 };
	int p, slow, seed;
	size_t i;

	printf("policy,report_age_ms,slow_worker,seed,first_p50_ms,"
	       "first_p99_ms,met_percent,prefix_hits_percent,refused_percent,"
	       "other_domain_percent\n");
	for (seed = 1; seed <= SEEDS; seed++)
		for (i = 0; i < sizeof(ages) / sizeof(ages[0]); i++)
			for (slow = 0; slow < 2; slow++)
				for (p = 0; p < NPOLICY; p++)
					run(p, ages[i], slow, seed);
	return 0;
}
