#include "serve/serve.h"

#include <string.h>

enum {
	LOAD_GUESS_MS = 400, /* an adapter's load and the way there */
	RETRY_LEAST_MS = 50,
	BUSY_MS = 100,	       /* a place frees within about that */
	LEAVE_SERVE_MS = 2000, /* calls that came until then have all of
				  the grace */
};
/* An endpoint further down a prompt's list must be this much quicker. */
static const double rank_ms = 4;
/* A way to another domain costs the operators, and the call some ms. */
static const double far_engine_ms = 60, far_plain_ms = 5;
/* A token of output in a batch that is half full, by estimate. */
static const double token_ms = 12;
/* Part of what is left of the grace that a call may be expected to take. */
static const double leave_part = 0.6;
/* Prompts come back within this, or their parts have yielded. */
enum {
	PREFIX_MS = 20000
};

static bool
among(ep_t *const *list, int n, const ep_t *p)
{
	int i;

	for (i = 0; i < n && i < TRIED_MAX; i++)
		if (list[i] == p)
			return true;
	return false;
}

/* Parts are kept in order, for one model and adapter. */
static uint64_t
part_key(const call_t *c, int upto)
{
	uint64_t h =
	    hash_str(c->request.adapter, hash_str(c->request.model, 0));
	int i;

	for (i = 0; i <= upto; i++)
		h = hash64(&c->request.part[i].id, sizeof(uint64_t), h);
	return h;
}

static sent_prefix_t *
kept_slot(const ep_t *p, uint64_t key)
{
	return (sent_prefix_t *)&p->prefix[key % PREFIX_SLOTS];
}

void
prefix_record(ep_t *p, const call_t *c, ms_t now)
{
	int i;

	for (i = 0; i < c->request.npart; i++) {
		uint64_t key = part_key(c, i);

		*kept_slot(p, key) = (sent_prefix_t){ key, now };
	}
}

/* Tokens of the prompt that the endpoint needn't read again. */
static int
kept_tokens(const ep_t *p, const uint64_t *key, const call_t *c, ms_t now)
{
	int i, sum = 0;

	for (i = 0; i < c->request.npart; i++) {
		const sent_prefix_t *k = kept_slot(p, key[i]);

		if (k->key != key[i] || now - k->sent_at > PREFIX_MS)
			break;
		sum += c->request.part[i].tokens;
	}
	return sum;
}

typedef struct scan {
	ep_t *best;
	double cost, first;
	int fresh;
	int usable, holding, tried, full, broken;
	double shortest; /* predicted first event anywhere */
	double wait;	 /* until one may take it, least */
	double pace;	 /* tokens a ms that those which hold it take */
} scan_t;

static void
look(call_t *c, ep_t *p, const uint64_t *key, uint64_t group, scan_t *sc)
{
	serve_t *s = c->s;
	ms_t now = s->loop.now;
	bool engine = c->request.model[0] != '\0';
	int fresh = c->request.prompt;
	double first, cost, wait;

	if (!ep_usable(p) || strcmp(p->entry.service, c->service) != 0)
		return;
	sc->usable++;
	if (engine && !ep_holds(p, c->request.model, c->request.adapter, now))
		return;
	sc->holding++;
	if (among(c->tried, c->attempts, p)) {
		sc->tried++;
		return;
	}
	if (!breaker_allows(&p->breaker, now)) {
		sc->broken++;
		return;
	}
	if (engine)
		fresh -= kept_tokens(p, key, c, now);
	first = workload_predict_ms(&p->workload, &s->average_speed, fresh);
	if (sc->shortest == 0 || first < sc->shortest)
		sc->shortest = first;
	if (among(c->pool_full, c->npool_full, p) ||
	    (engine &&
		workload_kv_free(&p->workload) <
		    c->request.prompt + c->request.output &&
		p->workload.own.running + p->workload.others.running > 0) ||
	    workload_slot_use(&p->workload) >=
		1 + (engine ? 0 : plain_queue_factor)) {
		sc->full++;
		return;
	}
	wait = workload_send_delay_ms(
	    &p->workload, &s->average_speed, &s->bounds, fresh, now);
	sc->pace +=
	    workload_prompt_rate(&p->workload, &s->average_speed, &s->bounds);
	if (wait > 0) {
		sc->full++;
		if (sc->wait == 0 || wait < sc->wait)
			sc->wait = wait;
		return;
	}
	cost = first + workload_cost_ms(&p->workload, &s->average_speed,
			   &s->weights, fresh, c->request.output, now);
	cost *= breaker_weight(&p->breaker, s->failure_rate);
	/* Prompts with the same parts tend to the same endpoints. */
	cost += rank_ms * (double)(hash64(&p->hash, 8, group) % 1000) / 100;
	if (strcmp(p->entry.domain, s->site.domain) != 0)
		cost += engine ? far_engine_ms : far_plain_ms;
	if (sc->best != NULL && cost >= sc->cost)
		return;
	sc->best = p;
	sc->cost = cost;
	sc->first = first;
	sc->fresh = fresh;
}

/* Would it last beyond the end of this instance? Another one takes it. */
static bool
outlasts(const call_t *c, double first)
{
	const serve_t *s = c->s;
	ms_t left = s->leaving_since + s->site.bounds.grace - s->loop.now;
	double whole = first + c->request.output * token_ms;

	return s->leaving &&
	       c->received_at >= s->leaving_since + LEAVE_SERVE_MS &&
	       whole > (double)left * leave_part;
}

/* Refuse at once what wouldn't come in time. */
static bool
too_late(const call_t *c, double first, choice_t *out)
{
	ms_t gone = c->s->loop.now - c->received_at;
	double bound = call_first_event_limit(c);

	if (first + (double)gone <= bound)
		return false;
	out->kind = CHOICE_REFUSE;
	out->reason = "no endpoint can answer in time";
	out->retry_ms = (ms_t)(first + (double)gone - bound) + RETRY_LEAST_MS;
	return true;
}

static void
nowhere(call_t *c, const scan_t *sc, choice_t *out)
{
	serve_t *s = c->s;
	ms_t now = s->loop.now;

	out->kind = CHOICE_NONE;
	out->retry_ms = RETRY_LEAST_MS;
	if (s->leaving && now - s->leaving_since > LEAVE_SERVE_MS) {
		out->reason = "the instance ends, and nothing is free now";
		return;
	}
	if (sc->usable == 0) {
		out->reason = "no endpoint of the service is there";
		out->retry_ms = s->site.heartbeat;
		return;
	}
	if (sc->holding == 0) {
		const service_def_t *d = config_service(s->config, c->service);
		const model_conf_t *m = service_model(d, c->request.model);
		ms_t need = c->request.adapter[0] != '\0' || m == NULL
				? LOAD_GUESS_MS
				: m->load + LOAD_GUESS_MS;

		plan_request(s, c, false);
		out->reason = "no endpoint holds the model yet";
		if (now - c->received_at + need < call_first_event_limit(c) ||
		    (c->state == CALL_WAITING &&
			now < c->received_at + c->route.promise))
			out->kind = CHOICE_WAIT;
		out->retry_ms = need;
		return;
	}
	if (sc->full > 0) {
		double wait = sc->wait > 0 ? sc->wait : BUSY_MS;

		/* Those before it go first, here and on other instances. */
		if (sc->pace > 0)
			wait += call_queue_tokens_ahead(c) / sc->pace;
		out->reason = "all endpoints are full";
		out->retry_ms = (ms_t)wait + RETRY_LEAST_MS;
		if ((double)(now - c->received_at) + wait + sc->shortest <=
		    call_first_event_limit(c))
			out->kind = CHOICE_WAIT;
		return;
	}
	if (sc->broken > 0) {
		out->reason = "the endpoints that hold it fail";
		if (now - c->received_at + BUSY_MS < c->route.promise / 2)
			out->kind = CHOICE_WAIT;
		return;
	}
	out->reason = "every endpoint that may be tried was";
	/* An adapter is soon at another one that holds the model. */
	if (c->request.adapter[0] != '\0' && sc->usable > sc->tried &&
	    now - c->received_at + LOAD_GUESS_MS < call_first_event_limit(c)) {
		plan_request(s, c, true);
		out->kind = CHOICE_WAIT;
	}
}

void
choose_endpoint(call_t *c, choice_t *out)
{
	serve_t *s = c->s;
	uint64_t key[PREFIX_MAX] = { 0 }, group = 0;
	scan_t sc = { 0 };
	int i;

	*out = (choice_t){ 0 };
	if (c->attempts > 0 &&
	    (c->attempts >= c->route.attempts || !retry_budget_allows(s, c))) {
		out->kind = CHOICE_NONE;
		out->reason = "no further attempt is allowed";
		return;
	}
	for (i = 0; i < c->request.npart; i++)
		key[i] = part_key(c, i);
	/* The last part is the call's own. */
	if (c->request.npart > 1)
		group = key[c->request.npart - 2];
	else
		group =
		    hash_str(c->request.adapter, hash_str(c->request.model, 0));
	for (i = 0; i < s->endpoints.nep; i++)
		look(c, s->endpoints.ep[i], key, group, &sc);
	if (sc.best == NULL) {
		nowhere(c, &sc, out);
		return;
	}
	if (outlasts(c, sc.first)) {
		out->kind = CHOICE_REFUSE;
		out->reason = "the instance ends before the answer would";
		out->retry_ms = RETRY_ELSEWHERE_MS;
		return;
	}
	if (c->request.model[0] != '\0' && too_late(c, sc.first, out))
		return;
	out->kind = CHOICE_SEND;
	out->ep = sc.best;
	out->first_ms = (ms_t)sc.first;
	out->uncached_tokens = sc.fresh;
}
