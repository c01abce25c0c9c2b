#include "policy/wait.h"
#include "serve/explain.h"
#include "serve/keepers.h"
#include "serve/limits.h"
#include "serve/peer_call.h"
#include "serve/prompt_cost.h"
#include "serve/reach.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
	ADAPTER_WAIT_MS = 400, /* adapter load and the order's round trip */
	RETRY_AFTER_MIN_MS = 50,
	SLOT_WAIT_MS = 100,   /* typical time until a slot is free */
	KEEPER_WAIT_MS = 300, /* for so long a wait that was told is used */
	/*
	 * Calls received in this time after the instance began to leave may
	 * use the whole grace period.
	 */
	DRAIN_FULL_SERVICE_MS = 2000,
};
/*
 * Rendezvous hashing of the prompt's group adds up to ten times this, in ms, to
 * an endpoint's cost.
 */
static const double preference_step_ms = 4;
/*
 * Traffic to another failure domain costs the operators money and adds latency:
 * a price in ms where endpoints don't tell their pace, so that it isn't known
 * well enough when they are late.
 */
static const double remote_engine_ms = 60, remote_plain_ms = 5;
/* Of an answer, for an output token with what an event has around it. */
static const double answer_bytes_per_token = 30;
/* Estimated time of one output token in a half-full batch. */
static const double output_token_ms = 12;
/* Prompt tokens per ms, until a speed was measured. */
static const double default_prefill_speed = 15;
/* A call must be expected to end within this part of the remaining grace. */
static const double drain_grace_part = 0.6;
/* After this time an endpoint's cache is assumed to have evicted a prefix. */
enum {
	PREFIX_TTL_MS = 20000
};

int
call_tried_index(const call_t *c, const ep_t *p)
{
	int i;

	for (i = 0; i < c->ntried && i < TRIED_MAX; i++)
		if (c->tried[i] == p)
			return i;
	return -1;
}

/* Whether the call's earlier attempts exclude the endpoint. */
static bool
is_excluded(const call_t *c, const ep_t *p, bool returning)
{
	int at = call_tried_index(c, p);

	if (!returning)
		return at != -1;
	return at == -1 || c->return_at[at] == 0 ||
	       c->s->loop.now < c->return_at[at];
}

/* The key covers all parts up to the given one, the model and the adapter. */
static uint64_t
prefix_key(const call_t *c, int upto)
{
	uint64_t h =
	    hash_str(c->request.adapter, hash_str(c->request.model, 0));
	int i;

	for (i = 0; i <= upto; i++)
		h = hash64(&c->request.part[i].id, sizeof(uint64_t), h);
	return h;
}

static sent_prefix_t *
prefix_slot(const ep_t *p, uint64_t key)
{
	return (sent_prefix_t *)&p->prefix[key % PREFIX_SLOTS];
}

void
prefix_record(ep_t *p, const call_t *c, ms_t now)
{
	int i;

	for (i = 0; i < c->request.npart; i++) {
		uint64_t key = prefix_key(c, i);

		*prefix_slot(p, key) = (sent_prefix_t){ key, now };
	}
}

/* Prompt tokens that the endpoint probably still has in its prefix cache. */
static int
cached_tokens(const ep_t *p, const uint64_t *key, const call_t *c, ms_t now)
{
	int i, sum = 0;

	for (i = 0; i < c->request.npart; i++) {
		const sent_prefix_t *k = prefix_slot(p, key[i]);

		if (k->key != key[i] || now - k->sent_at > PREFIX_TTL_MS)
			break;
		sum += c->request.part[i].tokens;
	}
	return sum;
}

/* An endpoint that may take the call. */
typedef struct candidate {
	ep_t *ep;
	double cost_ms;
	double first_ms;     /* predicted time to the first event */
	int uncached_tokens; /* prompt tokens not in its cache */
} candidate_t;

/* Those of this instance's failure domain, or of the others. */
typedef struct side {
	candidate_t best;
	candidate_t asked[ASKED_MAX]; /* the cheapest first */
	int nasked;
	double least_ms; /* until the first event, below 0: none */
	double round_trip_ms;
} side_t;

enum {
	HOME,
	REMOTE,
};

typedef struct scan {
	/* Collect the best endpoints, full ones too, to ask at them. */
	bool asking;
	side_t side[2];
	candidate_t best;	    /* of both, by weigh_domains() */
	explanation_t *explanation; /* NULL: the call is served */
	bool returning; /* only endpoints that the call may return to */
	/* Not those whose software version isn't in the lease yet. */
	bool only_stored;
	int nunstored; /* that hold what the call needs, and were left out */
	int nusable, nholding, ntried, nfull, nbroken;
	int nmodel;	/* that hold the model, with or without the adapter */
	int nunreached; /* that this instance can't connect to */
	int nclosed;	/* of nfull: they want no call now, or need a permit */
	ep_t *limited;	/* the best of those that need a permit */
	double limited_cost;
	double least_first_ms; /* least prediction of all endpoints */
	double least_wait_ms;  /* least time until one accepts the call */
	double prefill_rate;   /* prompt tokens per ms, of all holders */
} scan_t;

/* What the endpoint has to read for the call. */
static int
tokens_to_read(const call_t *c, const ep_t *p, const uint64_t *key, ms_t now)
{
	int tokens = c->request.prompt - cached_tokens(p, key, c, now);

	if (!p->workload.paced)
		return tokens;
	return (int)(tokens * prompt_cost(c->s, c->service, c->request.model));
}

static bool
is_remote(const serve_t *s, const ep_t *p)
{
	return strcmp(p->entry.domain, s->conf.domain) != 0;
}

static double
endpoint_cost(const call_t *c, uint64_t group, const candidate_t *x)
{
	const serve_t *s = c->s;
	const ep_t *p = x->ep;
	bool engine = c->request.model[0] != '\0';
	double cost_ms =
	    x->first_ms + workload_cost_ms(&p->workload, &s->average_speed,
			      &s->cost_weights, x->uncached_tokens,
			      c->request.output, s->loop.now);

	cost_ms *= breaker_time_factor(&p->breaker, s->failure_rate);
	/*
	 * By rendezvous hashing, prompts that share a prefix prefer the same
	 * endpoints.
	 */
	cost_ms += preference_step_ms *
		   (double)(hash64(&p->hash, 8, group) % 1000) / 100;
	if (is_remote(s, p) && !p->workload.paced)
		cost_ms += engine ? remote_engine_ms : remote_plain_ms;
	return cost_ms;
}

static void
note_wait(scan_t *sc, double wait_ms)
{
	if (sc->least_wait_ms == 0 || wait_ms < sc->least_wait_ms)
		sc->least_wait_ms = wait_ms;
}

/* An endpoint that takes the call once there is a permit. */
static void
consider_limited(const call_t *c, ep_t *p, double cost_ms, scan_t *sc)
{
	sc->nfull++;
	sc->nclosed++;
	note_wait(sc, (double)limits_wait_ms(c, p));
	if (sc->limited != NULL && cost_ms >= sc->limited_cost)
		return;
	sc->limited = p;
	sc->limited_cost = cost_ms;
}

static bool
is_candidate(const call_t *c, const ep_t *p)
{
	return ep_usable(p) && strcmp(p->entry.service, c->service) == 0 &&
	       (c->software == 0 || p->software == c->software);
}

static bool
holds_for(const call_t *c, const ep_t *p)
{
	return c->request.model[0] == '\0' ||
	       ep_holds(
		   p, c->request.model, c->request.adapter, c->s->loop.now);
}

bool
choose_may_serve(const call_t *c, const ep_t *p)
{
	return is_candidate(c, p) && holds_for(c, p);
}

/* Keep the endpoints of least cost. */
static void
add_asked(side_t *d, candidate_t x)
{
	int i;

	if (d->nasked == ASKED_MAX &&
	    x.cost_ms >= d->asked[ASKED_MAX - 1].cost_ms)
		return;
	if (d->nasked < ASKED_MAX)
		d->nasked++;
	for (i = d->nasked - 1; i > 0 && d->asked[i - 1].cost_ms > x.cost_ms;
	     i--)
		d->asked[i] = d->asked[i - 1];
	d->asked[i] = x;
}

static void
add_best(candidate_t *best, candidate_t x)
{
	if (best->ep == NULL || x.cost_ms < best->cost_ms)
		*best = x;
}

static void
note_expected(side_t *d, const ep_t *p, double expected_ms)
{
	if (d->least_ms >= 0 && expected_ms >= d->least_ms)
		return;
	d->least_ms = expected_ms;
	d->round_trip_ms = p->connect_ms;
}

static domain_choice_t
domains_of(const call_t *c, const scan_t *sc)
{
	return (domain_choice_t){ .home_ms = sc->side[HOME].least_ms,
		.remote_ms = sc->side[REMOTE].least_ms,
		.left_ms = call_first_event_limit(c) -
			   (double)(c->s->loop.now - c->received_at),
		.round_trip_ms = sc->side[REMOTE].round_trip_ms,
		.bytes = (double)buf_len(&c->body) +
			 c->request.output * answer_bytes_per_token };
}

/*
 * Choose between the endpoints at home and elsewhere. Where they don't tell
 * their pace their costs decide.
 */
static void
weigh_domains(const call_t *c, scan_t *sc)
{
	domain_choice_t d;
	domain_decision_t decision;
	candidate_t x;
	int i;

	if (c->request.model[0] != '\0' && service_is_paced(c->s, c->service)) {
		d = domains_of(c, sc);
		decision = domain_decide(&d);
		if (sc->explanation != NULL) {
			sc->explanation->weighed = true;
			sc->explanation->domains = d;
			sc->explanation->decision = decision;
		}
		switch (decision) {
		case DOMAIN_STAY:
			sc->side[REMOTE].best.ep = NULL;
			sc->side[REMOTE].nasked = 0;
			break;
		case DOMAIN_LEAVE:
			sc->side[REMOTE].best.cost_ms += domain_price_ms(&d);
			for (i = 0; i < sc->side[REMOTE].nasked; i++)
				sc->side[REMOTE].asked[i].cost_ms +=
				    domain_price_ms(&d);
			break;
		case DOMAIN_ABSENT:
			break;
		}
	}
	for (i = 0; i < sc->side[REMOTE].nasked; i++)
		add_asked(&sc->side[HOME], sc->side[REMOTE].asked[i]);
	sc->best = sc->side[HOME].best;
	x = sc->side[REMOTE].best;
	if (x.ep != NULL)
		add_best(&sc->best, x);
}

/* The wait that the instance which keeps the endpoint's load told lately. */
static double
keeper_wait_left(const ep_t *p, ms_t now)
{
	return is_recent(p->keeper_wait_at, now, KEEPER_WAIT_MS)
		   ? (double)(p->keeper_wait - (now - p->keeper_wait_at))
		   : 0;
}

/* @param v what the call sees of the endpoint, to be filled in */
static verdict_t
judge_endpoint(call_t *c, ep_t *p, const uint64_t *key, uint64_t group,
    scan_t *sc, endpoint_view_t *v)
{
	serve_t *s = c->s;
	ms_t now = s->loop.now;
	bool engine = c->request.model[0] != '\0';
	side_t *side = &sc->side[v->remote ? REMOTE : HOME];
	candidate_t x = { .ep = p, .uncached_tokens = c->request.prompt };

	if (!is_candidate(c, p))
		return VERDICT_UNUSABLE;
	if (sc->only_stored && !software_is_stored(&s->software, p->software)) {
		sc->nunstored += holds_for(c, p);
		return VERDICT_UNSTORED;
	}
	sc->nusable++;
	if (!holds_for(c, p)) {
		sc->nmodel += c->request.adapter[0] != '\0' &&
			      ep_holds(p, c->request.model, "", s->loop.now);
		return VERDICT_NOT_HELD;
	}
	sc->nholding++;
	if (p->reach.way != WAY_OPEN) {
		sc->nunreached++;
		return VERDICT_UNREACHED;
	}
	if (is_excluded(c, p, sc->returning)) {
		sc->ntried++;
		return VERDICT_TRIED;
	}
	/*
	 * The silence that a call left also counts there, once for each call;
	 * nothing better is at hand for a call that returns.
	 */
	if (!sc->returning && !breaker_allows(&p->breaker, now)) {
		sc->nbroken++;
		return VERDICT_FAILING;
	}
	if (engine)
		x.uncached_tokens = tokens_to_read(c, p, key, now);
	workload_refresh(&p->workload, now);
	x.first_ms = workload_predict_ms(
	    &p->workload, &s->average_speed, x.uncached_tokens);
	v->first_ms = x.first_ms;
	if (sc->least_first_ms == 0 || x.first_ms < sc->least_first_ms)
		sc->least_first_ms = x.first_ms;
	if (sc->asking && p->no_conn_in != s->search &&
	    retry_after_left(&p->retry_after, now) == 0 && limits_allow(s, p)) {
		v->wait_ms =
		    workload_send_delay_ms(&p->workload, &s->average_speed,
			&s->workload_limits, x.uncached_tokens, now);
		if (p->workload.paced)
			v->wait_ms = fmax(v->wait_ms, keeper_wait_left(p, now));
		x.cost_ms = v->wait_ms + endpoint_cost(c, group, &x);
		v->cost_ms = x.cost_ms;
		note_expected(side, p, v->wait_ms + x.first_ms);
		add_asked(side, x);
		return VERDICT_CANDIDATE;
	}
	if (p->no_conn_in == s->search ||
	    (engine &&
		workload_kv_free(&p->workload) <
		    c->request.prompt + c->request.output &&
		p->workload.own.running + p->workload.others.running > 0) ||
	    workload_slot_use(&p->workload) >=
		1 + (engine ? 0 : plain_queue_factor)) {
		sc->nfull++;
		return VERDICT_FULL;
	}
	if (retry_after_left(&p->retry_after, now) > 0) {
		sc->nfull++;
		sc->nclosed++;
		v->wait_ms = (double)retry_after_left(&p->retry_after, now);
		note_wait(sc, v->wait_ms);
		return VERDICT_CLOSED;
	}
	if (!limits_allow(s, p)) {
		consider_limited(c, p, endpoint_cost(c, group, &x), sc);
		return VERDICT_NO_PERMIT;
	}
	v->wait_ms = workload_send_delay_ms(&p->workload, &s->average_speed,
	    &s->workload_limits, x.uncached_tokens, now);
	note_expected(side, p, v->wait_ms + x.first_ms);
	sc->prefill_rate += workload_prompt_rate(
	    &p->workload, &s->average_speed, &s->workload_limits);
	if (v->wait_ms > 0) {
		sc->nfull++;
		note_wait(sc, v->wait_ms);
		return VERDICT_LATER;
	}
	x.cost_ms = endpoint_cost(c, group, &x);
	v->cost_ms = x.cost_ms;
	add_best(&side->best, x);
	return VERDICT_CANDIDATE;
}

static void
consider_endpoint(
    call_t *c, ep_t *p, const uint64_t *key, uint64_t group, scan_t *sc)
{
	endpoint_view_t v = { .ep = p, .remote = is_remote(c->s, p) };
	explanation_t *x = sc->explanation;

	v.verdict = judge_endpoint(c, p, key, group, sc, &v);
	if (x != NULL && strcmp(p->entry.service, c->service) == 0)
		x->endpoint[x->nendpoint++] = v;
}

static void
consider_endpoints(call_t *c, const uint64_t *key, uint64_t group, scan_t *sc)
{
	const ep_table_t *f = &c->s->endpoints;
	int i;

	if (sc->explanation != NULL)
		sc->explanation->nendpoint = 0;
	for (i = 0; i < f->nep; i++)
		consider_endpoint(c, f->ep[i], key, group, sc);
}

/* Would the call outlast this instance? Then another one has to serve it. */
static bool
outlasts_instance(const call_t *c, double first_ms)
{
	const serve_t *s = c->s;
	ms_t remaining_ms =
	    s->leaving_since + s->conf.bounds.grace - s->loop.now;
	double whole_ms = first_ms + c->request.output * output_token_ms;

	return s->leaving &&
	       c->arrived_at >= s->leaving_since + DRAIN_FULL_SERVICE_MS &&
	       whole_ms > (double)remaining_ms * drain_grace_part;
}

/* Refuses a call at once if its first event can't come in time. */
static bool
refuse_if_too_late(const call_t *c, double first_ms, choice_t *out)
{
	ms_t elapsed_ms = c->s->loop.now - c->received_at;
	double limit_ms = call_first_event_limit(c);

	if (first_ms + (double)elapsed_ms <= limit_ms)
		return false;
	out->kind = CHOICE_REFUSE;
	out->reason = "no endpoint can answer in time";
	out->retry_ms = (ms_t)(first_ms + (double)elapsed_ms - limit_ms) +
			RETRY_AFTER_MIN_MS;
	return true;
}

/* Prompt tokens per ms. */
static double
prefill_speed(const serve_t *s)
{
	return s->average_speed.prefill_speed > 0
		   ? s->average_speed.prefill_speed
		   : default_prefill_speed;
}

/* No endpoint holds what the call needs: wait for a load, or refuse. */
static void
choose_load(call_t *c, const scan_t *sc, choice_t *out)
{
	serve_t *s = c->s;
	const service_def_t *d = config_service(s->config, c->service);
	const model_conf_t *m = service_model(d, c->request.model);
	wait_facts_t f = { .waited = s->loop.now - c->received_at,
		.time = c->deadline - c->received_at,
		.target = c->route.target_latency,
		.ready_in = -1,
		.load = ADAPTER_WAIT_MS,
		.first = c->request.prompt / prefill_speed(s),
		.asked = plan_has_holder(s),
		.adapter = sc->nmodel > 0 };

	plan_request(s, c, false);
	out->reason = "no endpoint holds the model yet";
	if (m == NULL) {
		out->reason = "the model isn't in the configuration";
		return;
	}
	if (!f.adapter) {
		f.load += m->load;
		f.ready_in =
		    plan_model_ready_in(s, c->service, c->request.model);
	}
	if (wait_for_load(&f, &out->retry_ms))
		out->kind = CHOICE_WAIT;
}

static void
choose_none(call_t *c, const scan_t *sc, choice_t *out)
{
	serve_t *s = c->s;
	ms_t now = s->loop.now;

	out->kind = CHOICE_NONE;
	out->retry_ms = RETRY_AFTER_MIN_MS;
	if (s->leaving && now - s->leaving_since > DRAIN_FULL_SERVICE_MS) {
		out->reason = "the instance ends, and nothing is free now";
		return;
	}
	if (sc->nusable == 0) {
		out->reason =
		    c->software != 0
			? "no endpoint has the software that began the stream"
			: "no endpoint of the service is there";
		out->retry_ms = s->conf.heartbeat;
		return;
	}
	if (sc->nholding == 0) {
		choose_load(c, sc, out);
		return;
	}
	if (sc->nfull > 0) {
		double wait_ms =
		    sc->least_wait_ms > 0 ? sc->least_wait_ms : SLOT_WAIT_MS;

		/*
		 * Calls queued ahead of it, here and on other instances, go
		 * first.
		 */
		if (sc->prefill_rate > 0)
			wait_ms +=
			    call_queue_tokens_ahead(c) / sc->prefill_rate;
		out->reason = sc->nclosed == sc->nfull
				  ? "its endpoints take no more calls now"
				  : "all endpoints are full";
		out->retry_ms = (ms_t)wait_ms + RETRY_AFTER_MIN_MS;
		if ((double)(now - c->received_at) + wait_ms +
			sc->least_first_ms <=
		    call_first_event_limit(c))
			out->kind = CHOICE_WAIT;
		return;
	}
	if (sc->nbroken + sc->nunreached > 0) {
		out->reason = "the endpoints that hold it fail";
		if (now - c->received_at + SLOT_WAIT_MS <
		    c->route.target_latency / 2)
			out->kind = CHOICE_WAIT;
		return;
	}
	out->reason = "every endpoint that may be tried was";
	/* Another endpoint that holds the model can soon load the adapter. */
	if (c->request.adapter[0] != '\0' && sc->nusable > sc->ntried &&
	    now - c->received_at + ADAPTER_WAIT_MS <
		call_first_event_limit(c)) {
		plan_request(s, c, true);
		out->kind = CHOICE_WAIT;
	}
}

static void
scan_endpoints(call_t *c, scan_t *sc)
{
	serve_t *s = c->s;
	uint64_t key[PREFIX_MAX] = { 0 }, group = 0;
	int i;

	/* After a loss of all instances, only the lease says who began it. */
	sc->only_stored = c->route.resumable && c->software == 0 &&
			  software_unstored(&s->software);
	for (i = 0; i < c->request.npart; i++)
		key[i] = prefix_key(c, i);
	/* The last part is unique to the call; the group is what it shares. */
	if (c->request.npart > 1)
		group = key[c->request.npart - 2];
	else
		group =
		    hash_str(c->request.adapter, hash_str(c->request.model, 0));
	sc->side[HOME].least_ms = sc->side[REMOTE].least_ms = -1;
	consider_endpoints(c, key, group, sc);
	if (sc->nholding == 0 && sc->nunstored > 0) {
		sc->only_stored = false;
		consider_endpoints(c, key, group, sc);
	}
	weigh_domains(c, sc);
	if (sc->explanation == NULL && sc->limited != NULL &&
	    (sc->best.ep == NULL || sc->limited_cost < sc->best.cost_ms))
		limits_want(c, sc->limited);
}

static void
choose_best(const scan_t *sc, choice_t *out)
{
	out->kind = CHOICE_SEND;
	out->ep = sc->best.ep;
	out->first_ms = (ms_t)sc->best.first_ms;
	out->uncached_tokens = sc->best.uncached_tokens;
}

/* The best endpoint, unless the answer would come too late there. */
static void
choose_found(const call_t *c, const scan_t *sc, choice_t *out)
{
	if (outlasts_instance(c, sc->best.first_ms)) {
		out->kind = CHOICE_REFUSE;
		out->reason = "the instance ends before the answer would";
		out->retry_ms = RETRY_ELSEWHERE_MS;
		return;
	}
	if (c->request.model[0] != '\0' &&
	    refuse_if_too_late(c, sc->best.first_ms, out))
		return;
	choose_best(sc, out);
}

static void
choose_own(call_t *c, choice_t *out)
{
	scan_t sc = { 0 };

	*out = (choice_t){ 0 };
	if (c->attempts > 0 &&
	    (c->ntried >= c->route.attempts || !retry_budget_allows(c->s, c))) {
		out->kind = CHOICE_NONE;
		out->reason = "no further attempt is allowed";
		out->unreached = c->unmade > 0;
		return;
	}
	scan_endpoints(c, &sc);
	out->unreached = sc.nunreached > 0 || c->unmade > 0;
	out->all_unreached = sc.nunreached > 0 && sc.nunreached == sc.nholding;
	if (sc.best.ep == NULL) {
		choose_none(c, &sc, out);
		return;
	}
	choose_found(c, &sc, out);
}

int
choose_candidates(call_t *c, ep_t **candidate, int *tokens)
{
	scan_t sc = { .asking = true };
	int i;

	/* Of a call that may not be sent, and of an instance that ends, the
	 * usual choice decides. */
	if (c->s->leaving ||
	    (c->attempts > 0 && (c->ntried >= c->route.attempts ||
				    !retry_budget_allows(c->s, c))))
		return 0;
	c->s->search++;
	scan_endpoints(c, &sc);
	for (i = 0; i < sc.side[HOME].nasked; i++) {
		candidate[i] = sc.side[HOME].asked[i].ep;
		tokens[i] = sc.side[HOME].asked[i].uncached_tokens;
	}
	return sc.side[HOME].nasked;
}

void
choose_granted(call_t *c, choice_t *out)
{
	serve_t *s = c->s;
	ep_t *p = c->ask.granted;
	uint64_t key[PREFIX_MAX] = { 0 };
	int i, tokens = c->request.prompt;

	*out = (choice_t){ .kind = CHOICE_NONE,
		.reason = "the endpoint takes no more calls now" };
	if (p == NULL || !choose_may_serve(c, p) || p->reach.way != WAY_OPEN ||
	    p->no_conn_in == s->search)
		return;
	for (i = 0; i < c->request.npart; i++)
		key[i] = prefix_key(c, i);
	if (c->request.model[0] != '\0')
		tokens = tokens_to_read(c, p, key, s->loop.now);
	workload_refresh(&p->workload, s->loop.now);
	out->kind = CHOICE_SEND;
	out->ep = p;
	out->uncached_tokens = tokens;
	out->first_ms =
	    (ms_t)workload_predict_ms(&p->workload, &s->average_speed, tokens);
}

/*
 * An instance that can connect to endpoints that this one can't may serve the
 * call, whether others are full here or not.
 */
void
choose_endpoint(call_t *c, choice_t *out)
{
	choice_t other;

	choose_own(c, out);
	c->unreached = out->unreached;
	if (out->kind == CHOICE_SEND || !out->unreached ||
	    !peer_call_choose(c, &other))
		return;
	if (other.kind == CHOICE_SEND || out->all_unreached)
		*out = other;
}

/*
 * Its answer may be late, and this instance may end before it: giving the call
 * up is worse.
 */
void
choose_return(call_t *c, choice_t *out)
{
	scan_t sc = { .returning = true };

	*out = (choice_t){ .kind = CHOICE_WAIT,
		.reason = "the endpoint that it left isn't free" };
	if (!retry_budget_allows(c->s, c)) {
		out->reason = "no further attempt is allowed";
		return;
	}
	scan_endpoints(c, &sc);
	if (sc.best.ep != NULL)
		choose_best(&sc, out);
}

void
choose_explain(call_t *c, explanation_t *x)
{
	serve_t *s = c->s;
	scan_t sc = { .asking = keepers_used(s) && !s->leaving,
		.explanation = x };
	int i, k;

	x->endpoint =
	    calloc((size_t)s->endpoints.nep + 1, sizeof(*x->endpoint));
	if (x->endpoint == NULL)
		abort();
	x->asks = sc.asking;
	s->search++;
	scan_endpoints(c, &sc);
	if (sc.best.ep != NULL)
		choose_found(c, &sc, &x->choice);
	for (i = 0; i < x->nendpoint; i++) {
		endpoint_view_t *v = &x->endpoint[i];

		v->chosen = v->ep == sc.best.ep;
		for (k = 0; k < sc.side[HOME].nasked; k++)
			v->chosen |= v->ep == sc.side[HOME].asked[k].ep;
	}
}
