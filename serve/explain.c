#include "serve/explain.h"
#include "serve/call_route.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum {
	DEFAULT_REMAINING_MS = 10000, /* as for a call that states none */
};

static const char *
verdict_name(verdict_t v)
{
	switch (v) {
	case VERDICT_UNUSABLE:
		return "it leaves, or has another software version";
	case VERDICT_UNSTORED:
		return "its software version isn't in the lease yet";
	case VERDICT_NOT_HELD:
		return "it doesn't hold the model or adapter";
	case VERDICT_UNREACHED:
		return "this instance can't connect to it";
	case VERDICT_TRIED:
		return "the call was there";
	case VERDICT_FAILING:
		return "calls fail there";
	case VERDICT_FULL:
		return "full";
	case VERDICT_CLOSED:
		return "it takes no calls for a while";
	case VERDICT_NO_PERMIT:
		return "the rate that it names is used up";
	case VERDICT_LATER:
		return "its streams would pause too long";
	case VERDICT_CANDIDATE:
		return "candidate";
	}
	return "?";
}

static const char *
decision_name(domain_decision_t d)
{
	switch (d) {
	case DOMAIN_STAY:
		return "stay";
	case DOMAIN_LEAVE:
		return "leave";
	case DOMAIN_ABSENT:
		return "no endpoint at home";
	}
	return "?";
}

static ms_t
age(const serve_t *s, ms_t at)
{
	return at == 0 ? -1 : s->loop.now - at;
}

static json_t *
endpoint_json(const serve_t *s, const endpoint_view_t *v)
{
	const ep_t *p = v->ep;
	json_t *j = json_pack("{s:s, s:s, s:b, s:s, s:i, s:i, s:I, s:I}",
	    "endpoint", p->entry.id, "domain", p->entry.domain, "chosen",
	    (int)v->chosen, "verdict", verdict_name(v->verdict), "running",
	    p->workload.own.running + p->workload.others.running, "slots",
	    p->workload.slots, "entry_age_ms",
	    (json_int_t)age(s, p->entry_read_at), "load_age_ms",
	    (json_int_t)age(s, p->workload.reported_at));

	if (v->verdict >= VERDICT_FULL)
		json_object_set_new(j, "first_ms", json_real(v->first_ms));
	if (v->wait_ms > 0)
		json_object_set_new(j, "wait_ms", json_real(v->wait_ms));
	if (v->verdict == VERDICT_CANDIDATE)
		json_object_set_new(j, "cost_ms", json_real(v->cost_ms));
	if (p->workload.paced)
		json_object_update_new(
		    j, json_pack("{s:f, s:I}", "pace", p->workload.factor,
			   "pace_age_ms",
			   (json_int_t)age(s, p->workload.pace.at)));
	return j;
}

/* What a call without a candidate would do. */
static const char *
without_candidate(const explanation_t *x)
{
	bool held = false, full = false;
	int i;

	for (i = 0; i < x->nendpoint; i++) {
		verdict_t v = x->endpoint[i].verdict;

		held |= v > VERDICT_NOT_HELD;
		full |= v >= VERDICT_FULL;
	}
	if (x->nendpoint == 0)
		return "refuse: no endpoint of the service is known";
	if (!held)
		return "wait for a load: no endpoint holds the model";
	return full ? "wait, or refuse if it is late: all endpoints are full"
		    : "refuse: the endpoints that hold it fail";
}

static const char *
action(const explanation_t *x, int chosen)
{
	if (chosen == 0)
		return without_candidate(x);
	if (x->choice.kind == CHOICE_REFUSE)
		return "refuse";
	return x->asks ? "ask the keepers of the chosen endpoints"
		       : "send to the chosen endpoint";
}

static json_t *
explanation_json(const call_t *c, const explanation_t *x)
{
	json_t *list = json_array(), *j;
	int i, chosen = 0;

	for (i = 0; i < x->nendpoint; i++) {
		chosen += x->endpoint[i].chosen;
		json_array_append_new(
		    list, endpoint_json(c->s, &x->endpoint[i]));
	}
	j = json_pack("{s:s, s:s, s:i, s:s, s:f}", "route", c->route.name,
	    "service", c->service, "config", (int)c->config->version, "action",
	    action(x, chosen), "left_ms", call_first_event_limit(c));
	if (x->choice.kind == CHOICE_REFUSE)
		json_object_set_new(j, "why", json_string(x->choice.reason));
	if (c->organisation != NULL)
		json_object_set_new(
		    j, "organisation", json_string(c->organisation->name));
	if (x->weighed)
		json_object_set_new(j, "domains",
		    json_pack("{s:s, s:f, s:f, s:f, s:f}", "decision",
			decision_name(x->decision), "home_ms",
			x->domains.home_ms, "remote_ms", x->domains.remote_ms,
			"price_ms", domain_price_ms(&x->domains), "bytes",
			x->domains.bytes));
	json_object_set_new(j, "endpoints", list);
	return j;
}

static json_t *
refusal_json(const refusal_t *f)
{
	return json_pack("{s:s, s:i, s:s, s:I}", "action", "refuse", "status",
	    f->status, "why", f->why, "retry_ms", (json_int_t)f->retry);
}

/* A call that is in no table and on no connection. */
static json_t *
explain_call(serve_t *s, const call_head_t *request, const route_t *r,
    const organisation_t *organisation)
{
	ms_t now = s->loop.now;
	ms_t remaining =
	    request->remaining >= 0 ? request->remaining : DEFAULT_REMAINING_MS;
	explanation_t x = { 0 };
	call_t c = { .s = s,
		.request = *request,
		.config = s->config,
		.route = *r,
		.service = call_pick_service(r, request->id),
		.organisation = organisation,
		.received_at = now,
		.arrived_at = now,
		.deadline = now + remaining };
	json_t *j;

	if (r->timeout > 0 && r->timeout < remaining)
		c.deadline = now + r->timeout;
	choose_explain(&c, &x);
	j = explanation_json(&c, &x);
	free(x.endpoint);
	return j;
}

void
explain_request(serve_t *s, const head_t *h, const char *target, buf_t *out)
{
	const organisation_t *organisation = NULL;
	refusal_t f = { 503, "no configuration is known yet", 0 };
	const route_t *r = NULL;
	call_head_t request;
	json_t *j;
	char *text;

	call_head_decode(&request, h);
	if (s->config != NULL) {
		r = call_find_route(s->config, request.host, target);
		f = call_refusal(s, h, &request, r, false, &organisation);
	}
	j = f.status == 0 ? explain_call(s, &request, r, organisation)
			  : refusal_json(&f);
	text = json_dumps(j, JSON_INDENT(1) | JSON_REAL_PRECISION(6));
	buf_str(out, text);
	buf_str(out, "\n");
	free(text);
	json_decref(j);
}
