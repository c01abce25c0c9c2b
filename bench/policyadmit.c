/*
 * Discrete-event simulation that compares admission in one shard with simpler
 * policies: Poisson arrivals, workers that hold a slot until a call's last
 * token. Prints CSV.
 */
#include "bench/events.h"
#include "policy/policy.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
	WORKERS = 8,
	SLOTS = 16,
	TARGET_LATENCY_MS = 2000,
	CALLER_TIMEOUT_MS = 4000, /* then the try is given up */
	FIRST_MS = 150, /* to the first token; drawn from half to twice */
	GAP_MS = 20,	/* between tokens */
	TOKENS = 100,	/* mean, exponentially distributed */
	QUEUE_MAX = 512,
	/* Tuned by hand to the target latency and the service time. */
	SHORT_QUEUE_MAX = 64,
	CALLS_MAX = 1 << 18,
	TRIES_MAX = 4,
	RETRY_MS = 1000, /* without a Retry-After */
	REPORT_MS = 250,
	RELEASE_MS = 2, /* network delay of a release to the broker */
	WARM_MS = 20000,
	RUN_MS = 80000,
	SURGE_FROM_MS = 20000,
	SURGE_TO_MS = 60000,
	AFTER_MS = 180000,
	CALLERS = 40,
	SEEDS = 3,
};

static const double surge_load = 2, calm_load = 0.7, recovered_share = 0.99;

typedef enum policy {
	NO_ADMISSION, /* calls queue at the least loaded worker */
	FIFO,	      /* one queue per shard, QUEUE_MAX long */
	FIFO_SHORT,   /* the same, SHORT_QUEUE_MAX long */
	OURS,	      /* the policy under test */
	NPOLICY
} policy_t;
static const char *const policies[] = { "none", "fifo", "fifo-short", "ours" };

typedef enum event_kind {
	ARRIVE,
	RETRY,
	FIRST,
	FINISH,
	RELEASE,
	GIVE_UP,
	REPORT
} event_kind_t;

typedef enum stage {
	IDLE,
	WAITING,
	RUNNING,
	OVER
} stage_t;

typedef struct call {
	ms_t arrived_at, requested_at, started, first_at, finish_at;
	int try, tokens, worker, caller;
	uint32_t priority;
	handle_t slot;
	stage_t stage;
	bool met;
} call_t;

typedef struct queue {
	int *call;
	int first, n;
} queue_t;

typedef struct sim {
	policy_t policy;
	double load;
	bool surge, retries, flood;
	rng_t rng;
	ms_t now;
	events_t events;
	call_t *call; /* index 0 isn't a call */
	int ncall;
	admit_t *admit;
	queue_t fifo;		       /* of FIFO and FIFO_SHORT */
	queue_t worker_queue[WORKERS]; /* of NO_ADMISSION */
	int running[WORKERS];
	/* Results of the calls that arrived in the measured time. */
	int64_t arrived, met, requests, refused;
	int64_t other_arrived, other_met; /* of callers other than 0 */
	int64_t tokens, wasted;	  /* sent; of these, after a late first token */
	int64_t granted, held_ms; /* grants and their time in a slot */
	int64_t met_requests;	  /* first tokens in time, at any try */
	histo_t refusal;
	int first_try_met[4 * RUN_MS / 1000]; /* by second of arrival */
} sim_t;

/*
 * Calls per second that all slots can serve. 1.08 is the mean of the factor
 * that start() draws for FIRST_MS.
 */
static double
capacity(void)
{
	return WORKERS * SLOTS * 1000.0 / (FIRST_MS * 1.08 + TOKENS * GAP_MS);
}

static void
push(sim_t *s, ms_t at, event_kind_t kind, int call)
{
	events_push(
	    &s->events, (event_t){ at, 0, kind, call, s->call[call].try });
}

static void
queue_push(queue_t *q, int call)
{
	q->call[(q->first + q->n++) % CALLS_MAX] = call;
}

static int
queue_pop(queue_t *q)
{
	int c = q->call[q->first];

	q->first = (q->first + 1) % CALLS_MAX;
	q->n--;
	return c;
}

/* Calls */

static bool
measured(const sim_t *s, ms_t at)
{
	return at >= WARM_MS && at < (s->surge ? SURGE_TO_MS : RUN_MS);
}

static void
start(sim_t *s, int i, int worker)
{
	call_t *c = &s->call[i];
	double u = rng_unit(&s->rng);

	c->stage = RUNNING;
	c->worker = worker;
	c->started = s->now;
	c->first_at = s->now + (ms_t)(FIRST_MS * pow(2, 2 * u - 1));
	c->finish_at = c->first_at + (ms_t)c->tokens * GAP_MS;
	if (++s->running[worker] > SLOTS)
		abort();
	if (measured(s, c->requested_at)) {
		s->granted++;
		s->held_ms += c->finish_at - c->started + RELEASE_MS;
	}
	push(s, c->first_at, FIRST, i);
	push(s, c->finish_at, FINISH, i);
}

static void
retry_or_drop(sim_t *s, int i, ms_t after)
{
	call_t *c = &s->call[i];

	c->stage = OVER;
	if (!s->retries || c->try + 1 >= TRIES_MAX)
		return;
	c->stage = IDLE;
	c->try++;
	push(s, s->now + after, RETRY, i);
}

static void
on_refused(sim_t *s, int i, ms_t after)
{
	call_t *c = &s->call[i];

	if (measured(s, c->requested_at)) {
		s->refused++;
		histo_add(&s->refusal, s->now - c->requested_at);
	}
	retry_or_drop(s, i, after);
}

static void
take_verdicts(sim_t *s)
{
	admit_verdict_t v;

	while (admit_next(s->admit, &v, s->now)) {
		call_t *c = &s->call[v.tag];

		if (v.outcome != SLOT_GRANTED) {
			on_refused(s, (int)v.tag, v.retry_after);
			continue;
		}
		c->slot = v.slot;
		start(s, (int)v.tag, v.worker[1] - '0');
	}
}

/* The worker with the fewest calls, for all policies but OURS. */
static int
least_loaded(const sim_t *s)
{
	int w, best = 0;

	for (w = 1; w < WORKERS; w++)
		if (s->running[w] + s->worker_queue[w].n <
		    s->running[best] + s->worker_queue[best].n)
			best = w;
	return best;
}

static void
serve_fifo(sim_t *s)
{
	int i, w;

	while (s->fifo.n > 0 && s->running[w = least_loaded(s)] < SLOTS) {
		i = queue_pop(&s->fifo);
		if (s->call[i].stage == WAITING)
			start(s, i, w);
	}
}

static void
serve_worker_queue(sim_t *s, int w)
{
	int i;

	while (s->worker_queue[w].n > 0 && s->running[w] < SLOTS) {
		i = queue_pop(&s->worker_queue[w]);
		if (s->call[i].stage == WAITING)
			start(s, i, w);
	}
}

static void
request_slot(sim_t *s, int i)
{
	call_t *c = &s->call[i];
	admit_request_t q = { .tag = i,
		.item = "m",
		.priority = c->priority,
		.deadline = s->now + TARGET_LATENCY_MS,
		.retry = false };
	int w;

	c->requested_at = s->now;
	c->stage = WAITING;
	s->requests += measured(s, c->requested_at);
	push(s, s->now + CALLER_TIMEOUT_MS, GIVE_UP, i);
	switch (s->policy) {
	case OURS:
		snprintf(q.caller, ID_MAX, "c%d", c->caller);
		admit_put(s->admit, &q, s->now);
		take_verdicts(s);
		break;
	case FIFO:
	case FIFO_SHORT:
		if (s->fifo.n >=
		    (s->policy == FIFO ? QUEUE_MAX : SHORT_QUEUE_MAX)) {
			on_refused(s, i, RETRY_MS);
			break;
		}
		queue_push(&s->fifo, i);
		serve_fifo(s);
		break;
	case NO_ADMISSION:
		w = least_loaded(s);
		queue_push(&s->worker_queue[w], i);
		serve_worker_queue(s, w);
		break;
	case NPOLICY:
		break;
	}
}

static double
current_load(const sim_t *s)
{
	if (!s->surge)
		return s->load;
	return s->now >= SURGE_FROM_MS && s->now < SURGE_TO_MS ? surge_load
							       : calm_load;
}

static void
arrive(sim_t *s)
{
	call_t *c = &s->call[s->ncall];
	double rate = current_load(s) * capacity() / 1000,
	       u = rng_unit(&s->rng);

	*c = (call_t){ .arrived_at = s->now };
	c->tokens = 1 + (int)(-TOKENS * log(1 - rng_unit(&s->rng)));
	c->priority = u < 0.1 ? 0 : u < 0.8 ? 1 : 2;
	c->caller = (int)(rng_unit(&s->rng) * CALLERS);
	if (s->flood) {
		/* One caller sends three calls in four. */
		c->priority = 1;
		if (rng_unit(&s->rng) < 0.75)
			c->caller = 0;
	}
	s->arrived += measured(s, c->arrived_at);
	s->other_arrived += measured(s, c->arrived_at) && c->caller != 0;
	request_slot(s, s->ncall++);
	if (s->ncall < CALLS_MAX)
		push(s,
		    s->now + (ms_t)(0.5 - log(1 - rng_unit(&s->rng)) / rate),
		    ARRIVE, 0);
}

static void
release_slot(sim_t *s, int i, call_outcome_t how)
{
	call_t *c = &s->call[i];
	ms_t first = s->now >= c->first_at ? c->first_at - c->started : -1;
	int tokens_sent = s->now < c->first_at
			      ? 0
			      : (int)((s->now - c->first_at) / GAP_MS) + 1;

	s->running[c->worker]--;
	if (tokens_sent > c->tokens)
		tokens_sent = c->tokens;
	if (measured(s, c->requested_at)) {
		s->tokens += tokens_sent;
		if (c->first_at - c->requested_at > TARGET_LATENCY_MS)
			s->wasted += tokens_sent;
	}
	switch (s->policy) {
	case OURS:
		admit_release(
		    s->admit, c->slot, how, first, tokens_sent, s->now);
		take_verdicts(s);
		break;
	case FIFO:
	case FIFO_SHORT:
		serve_fifo(s);
		break;
	case NO_ADMISSION:
		serve_worker_queue(s, c->worker);
		break;
	case NPOLICY:
		break;
	}
}

/* Count a first token that is in time. */
static void
first_token(sim_t *s, const call_t *c)
{
	if (c->first_at - c->requested_at > TARGET_LATENCY_MS)
		return;
	s->met_requests += measured(s, c->requested_at);
	s->met += measured(s, c->arrived_at);
	s->other_met += measured(s, c->arrived_at) && c->caller != 0;
	if (c->try == 0)
		s->first_try_met[c->arrived_at / 1000]++;
}

static void
give_up(sim_t *s, int i)
{
	call_t *c = &s->call[i];

	if (c->stage == RUNNING && s->now >= c->first_at)
		return; /* the answer has begun */
	if (c->stage == WAITING) {
		if (s->policy == OURS)
			admit_cancel(s->admit, i, s->now);
		retry_or_drop(s, i, 1 + (ms_t)(rng_unit(&s->rng) * RETRY_MS));
	} else if (c->stage == RUNNING) {
		c->stage = OVER;
		release_slot(s, i, CALL_CANCELLED);
		retry_or_drop(s, i, 1 + (ms_t)(rng_unit(&s->rng) * RETRY_MS));
	}
}

static void
report(sim_t *s)
{
	admit_resident_t m = { "m", 1 };
	admit_report_t r = { .slots = SLOTS,
		.taken_at = s->now,
		.resident = &m,
		.nresident = 1 };
	int w;

	for (w = 0; w < WORKERS; w++) {
		snprintf(r.worker, ID_MAX, "w%d", w);
		r.in_flight = s->running[w];
		if (s->policy == OURS)
			admit_report(s->admit, &r, s->now);
	}
	if (s->policy == OURS)
		take_verdicts(s);
	push(s, s->now + REPORT_MS, REPORT, 0);
}

static void
handle_event(sim_t *s, const event_t *e)
{
	call_t *c = &s->call[e->call];

	s->now = e->at;
	if (e->try != c->try)
		return;
	switch ((event_kind_t)e->kind) {
	case ARRIVE:
		arrive(s);
		break;
	case RETRY:
		request_slot(s, e->call);
		break;
	case FIRST:
		if (c->stage == RUNNING)
			first_token(s, c);
		break;
	case FINISH:
		if (c->stage != RUNNING)
			break;
		c->stage = OVER;
		push(s, s->now + RELEASE_MS, RELEASE, e->call);
		break;
	case RELEASE:
		release_slot(s, e->call, CALL_DONE);
		break;
	case GIVE_UP:
		give_up(s, e->call);
		break;
	case REPORT:
		report(s);
		break;
	}
}

/*
 * Seconds after the surge from which on recovered_share of the calls that
 * arrive in any second get their first token in time at the first try.
 */
static int
recovery_seconds(const sim_t *s)
{
	int second, last = SURGE_TO_MS / 1000 - 1;
	int end = (SURGE_TO_MS + AFTER_MS) / 1000;
	int arrivals[(SURGE_TO_MS + AFTER_MS) / 1000 + 1] = { 0 };
	int i;

	for (i = 1; i < s->ncall; i++)
		if (s->call[i].arrived_at / 1000 < end)
			arrivals[s->call[i].arrived_at / 1000]++;
	for (second = SURGE_TO_MS / 1000; second < end; second++)
		if (s->first_try_met[second] <
		    recovered_share * arrivals[second])
			last = second;
	return last + 1 - SURGE_TO_MS / 1000;
}

static void
run(policy_t policy, double load, bool surge, bool retries, bool flood,
    uint64_t seed)
{
	sim_t *s = calloc_or_abort(1, sizeof(*s));
	admit_opts_t o = { QUEUE_MAX, 120000, 10, seed };
	ms_t end =
	    (surge ? SURGE_TO_MS + AFTER_MS : RUN_MS) + CALLER_TIMEOUT_MS;
	double seconds, slot_calls; /* calls that the slots can serve */
	event_t e;
	int w;

	s->policy = policy;
	s->load = load;
	s->surge = surge;
	s->retries = retries;
	s->flood = flood;
	s->rng.s = seed;
	s->events.heap =
	    calloc_or_abort(8 * (size_t)CALLS_MAX, sizeof(event_t));
	s->call = calloc_or_abort(CALLS_MAX, sizeof(*s->call));
	s->fifo.call = calloc_or_abort(CALLS_MAX, sizeof(int));
	for (w = 0; w < WORKERS; w++)
		s->worker_queue[w].call =
		    calloc_or_abort(CALLS_MAX, sizeof(int));
	s->ncall = 1;
	s->admit = admit_new(&o);
	push(s, 0, REPORT, 0);
	push(s, 1, ARRIVE, 0);
	while (s->events.n > 0 && s->now < end) {
		e = events_pop(&s->events);
		handle_event(s, &e);
	}
	seconds = ((surge ? SURGE_TO_MS : RUN_MS) - WARM_MS) / 1000.0;
	slot_calls = seconds * 1000 * WORKERS * SLOTS * (double)s->granted /
		     ((double)s->held_ms + 1);
	printf("%s,%s,%.1f,%s,%" PRIu64 ",%.1f,%.1f,%.1f,%.1f,%.1f,%" PRId64
	       ",%" PRId64 ",%d\n",
	    policies[policy],
	    surge   ? "surge"
	    : flood ? "flood"
		    : "constant",
	    surge ? surge_load : load, retries ? "yes" : "no", seed,
	    100.0 * (double)s->met_requests / slot_calls,
	    100.0 * (double)s->met / (double)s->arrived,
	    100.0 * (double)s->other_met / (double)s->other_arrived,
	    100.0 * (double)s->refused / (double)s->requests,
	    100.0 * (double)s->wasted / (double)(s->tokens + 1),
	    histo_quantile(&s->refusal, 0.5), histo_quantile(&s->refusal, 0.99),
	    surge ? recovery_seconds(s) : -1);
	admit_free(s->admit);
	for (w = 0; w < WORKERS; w++)
		free(s->worker_queue[w].call);
	free(s->fifo.call);
	free(s->call);
	free(s->events.heap);
	free(s);
}

int
main(void)
{
	static const double loads[] = { 0.5, 0.9, 1.2, 2 };
	int p, seed;
	size_t i;

	printf("policy,scenario,load,retries,seed,met_of_capacity_percent,"
	       "met_of_calls_percent,others_met_percent,refused_percent,"
	       "wasted_tokens_percent,refusal_p50_ms,refusal_p99_ms,"
	       "recovery_s\n");
	for (seed = 1; seed <= SEEDS; seed++)
		for (p = 0; p < NPOLICY; p++) {
			for (i = 0; i < sizeof(loads) / sizeof(loads[0]); i++) {
				run(p, loads[i], false, false, false, seed);
				run(p, loads[i], false, true, false, seed);
			}
			run(p, 2, false, false, true, seed);
			run(p, 2, true, false, false, seed);
			run(p, 2, true, true, false, seed);
		}
	return 0;
}
