#include "serve/allowances.h"
#include "serve/blame.h"
#include "serve/buffers.h"
#include "serve/call_route.h"
#include "serve/limits.h"
#include "serve/organisation.h"
#include "serve/peer_call.h"
#include "serve/prompt_cost.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum {
	CALLS_MAX = 4000,	      /* in progress; each uses some KB */
	DEFAULT_REMAINING_MS = 10000, /* if the caller states none */
	TIMEOUT_SLACK_MS = 30, /* the caller detects its own timeout first */
	/* The rules excuse cut answers to calls sent before this. */
	DRAIN_STREAMS_MS = 3000,
};

call_t *
call_get(serve_t *s, handle_t id)
{
	call_t **c = id != 0 ? table_get(s->calls, id) : NULL;

	return c != NULL ? *c : NULL;
}

bool
call_idempotent(const call_t *c)
{
	switch (c->route.kind) {
	case ROUTE_SAFE:
		return true;
	case ROUTE_STREAM:
		return c->route.resumable;
	case ROUTE_UNSAFE:
		break;
	}
	return false;
}

/*
 * Routes of a host are sorted by descending prefix length, so the first match
 * is the longest.
 */
const route_t *
call_find_route(const config_t *c, const char *host, const char *target)
{
	size_t n = strcspn(host, ":");
	int i;

	for (i = 0; i < c->nroute; i++) {
		const route_t *r = &c->route[i];

		if (strlen(r->host) == n &&
		    strncasecmp(r->host, host, n) == 0 &&
		    strncmp(r->prefix, target, strlen(r->prefix)) == 0)
			return r;
	}
	return NULL;
}

/*
 * Hashing the id sends a call that is sent again, and one that goes on with its
 * stream, to the same service.
 */
const char *
call_pick_service(const route_t *r, const char *id)
{
	int i, sum = 0, at;

	for (i = 0; i < r->ntarget; i++)
		sum += r->target[i].weight;
	if (r->ntarget == 0)
		return "";
	if (sum <= 0)
		return r->target[0].service;
	at = (int)(hash_str(id, 1) % (uint64_t)sum);
	for (i = 0; i < r->ntarget - 1; i++) {
		at -= r->target[i].weight;
		if (at < 0)
			break;
	}
	return r->target[i].service;
}

static void
on_alarm(void *arg)
{
	call_timer_fired(arg);
}

static call_t *
call_new(caller_conn_t *cc, const call_head_t *request, const route_t *r,
    const organisation_t *organisation)
{
	serve_t *s = cc->s;
	call_t *c = calloc(1, sizeof(*c)), **at;
	const char *stream;
	ms_t remaining =
	    request->remaining >= 0 ? request->remaining : DEFAULT_REMAINING_MS;

	if (c == NULL)
		abort();
	c->s = s;
	c->id = table_add(s->calls);
	if (c->id == 0) {
		free(c);
		return NULL;
	}
	at = table_get(s->calls, c->id);
	*at = c;
	c->caller = cc;
	cc->call = c->id;
	c->request = *request;
	c->request.id = g_strdup(request->id);
	c->request.resumes = g_strdup(request->resumes);
	c->request.host = "";
	c->config = config_ref(s->config);
	c->organisation = organisation;
	c->route = *r;
	stream = request->resumes[0] != '\0' ? request->resumes : request->id;
	c->service = call_pick_service(r, stream);
	c->method = http_method_str(cc->http->parser.method);
	c->fingerprint = call_fingerprint(request, &cc->http->head, c->method,
	    organisation != NULL ? organisation->name : NULL,
	    hasher_sum(&cc->body_hash));
	c->body = cc->body;
	memset(&cc->body, 0, sizeof(cc->body));
	buffers_call_began(c, cc);
	c->received_at = c->arrived_at = s->loop.now;
	c->deadline = c->received_at + remaining + TIMEOUT_SLACK_MS;
	if (r->timeout > 0 && c->received_at + r->timeout < c->deadline)
		c->deadline = c->received_at + r->timeout;
	c->last_event_id = request->resume_after;
	c->resume_event_id = request->resume_after;
	c->alarm = (alarm_t){ .fn = on_alarm, .arg = c };
	c->stream_id = hash_str(stream, 0);
	c->resubmitted = remaining_is_reduced(s, r, remaining);
	return c;
}

/*
 * Send an error answer of this instance.
 * @param c NULL: the request didn't become a call
 */
static void
answer_error(
    caller_conn_t *cc, const call_t *c, int status, const char *why, ms_t retry)
{
	buf_t lines = { 0 };

	if (retry > 0)
		buf_fmt(&lines, "Retry-After: %.3f\r\n", (double)retry / 1000);
	if (cc->s->leaving || !cc->http->keep_alive)
		buf_str(&lines, "Connection: close\r\n");
	if (cc->from_instance && c != NULL)
		peer_answer_encode(c, NULL, retry, &lines);
	else if (cc->from_instance)
		peer_refusal_encode(&lines);
	buf_add(&lines, "", 1);
	caller_answer(cc, status, lines.p, why);
	buf_free(&lines);
}

static void
refuse_request(
    caller_conn_t *cc, const char *id, int status, const char *why, ms_t retry)
{
	log_limited(LOG_NOTICE, "refused",
	    "request=%s status=%d why=\"%s\" config=%" PRId64, id, status, why,
	    cc->s->config != NULL ? cc->s->config->version : -1);
	answer_error(cc, NULL, status, why, retry);
	caller_answer_done(cc);
}

/* @return whether a request that can't become a call was answered */
static bool
refuse_unusable(caller_conn_t *cc, const call_head_t *request)
{
	serve_t *s = cc->s;

	if (head_count(&cc->http->head, "Host") != 1)
		refuse_request(cc, request->id, 400, "one Host is needed", 0);
	else if (request->id[0] == '\0')
		refuse_request(cc, "-", 400, "a Request-Id is needed", 0);
	else if (s->config == NULL)
		refuse_request(
		    cc, request->id, 503, "no configuration is known yet", 300);
	else if (s->leaving && s->loop.now >= serve_gives_up_at(s))
		refuse_request(cc, request->id, 503, "the instance ends",
		    RETRY_ELSEWHERE_MS);
	else
		return false;
	return true;
}

refusal_t
call_refusal(const serve_t *s, const head_t *h, const call_head_t *request,
    const route_t *r, bool from_instance, const organisation_t **organisation)
{
	const char *why;

	if (r == NULL)
		return (refusal_t){ 404, "no route", 0 };
	why = organisation_find(s->config, r, h, from_instance, organisation);
	/* Accepted where it came in: another instance may know it. */
	if (why != NULL && from_instance)
		return (refusal_t){ 503, why, RETRY_ELSEWHERE_MS };
	if (why != NULL)
		return (refusal_t){ 401, why, 0 };
	if (s->leaving && r->kind == ROUTE_STREAM &&
	    s->loop.now - s->leaving_since >= DRAIN_STREAMS_MS)
		return (refusal_t){ 503,
			"the instance ends before the answer may",
			RETRY_ELSEWHERE_MS };
	if (request->unusable_model)
		return (refusal_t){ 503, "the model isn't in the configuration",
			s->conf.heartbeat };
	return (refusal_t){ 0 };
}

/* @return whether a request was answered that its route doesn't allow */
static bool
refuse_on_route(caller_conn_t *cc, const call_head_t *request, const route_t *r,
    const organisation_t **organisation)
{
	refusal_t f = call_refusal(cc->s, &cc->http->head, request, r,
	    cc->from_instance, organisation);

	if (f.status == 0)
		return false;
	if (f.status == 401)
		organisation_count_refused();
	refuse_request(cc, request->id, f.status, f.why, f.retry);
	return true;
}

void
call_start(caller_conn_t *cc)
{
	serve_t *s = cc->s;
	const head_t *h = &cc->http->head;
	call_head_t request;
	const char *why;
	const route_t *r;
	const organisation_t *organisation = NULL;
	call_t *c;

	call_head_decode(&request, h);
	if (refuse_unusable(cc, &request))
		return;
	r = call_find_route(s->config, request.host, head_target(h));
	if (refuse_on_route(cc, &request, r, &organisation))
		return;
	c = call_new(cc, &request, r, organisation);
	if (c == NULL) {
		refuse_request(
		    cc, request.id, 503, "the instance is full", FULL_RETRY_MS);
		return;
	}
	if (strlen(c->service) >= ID_MAX) {
		call_answer_error(
		    c, 503, "the route's service has too long a name", 0);
		return;
	}
	why = cc->from_instance ? peer_call_take(c, h) : NULL;
	if (why != NULL) {
		call_answer_error(c, 503, why, 0);
		return;
	}
	/* The instance that got it from its caller has counted it. */
	if (!c->from_instance)
		demand_add_call(s, c);
	if (!allowance_ask(c))
		call_allowed(c);
}

void
call_allowed(call_t *c)
{
	serve_t *s = c->s;

	if (c->software == 0 && !stream_bind(c))
		return;
	/* Calls already waiting go first, by priority. */
	if (s->wait_queue != NULL) {
		c->state = CALL_WAITING;
		call_queue_add(c);
		call_queue_wake(s);
		alarm_set(&s->loop, &c->alarm, c->deadline);
		return;
	}
	call_dispatch(c);
}

/* The request for an endpoint. @return the time that it states, -1: none */
static ms_t
encode_for_endpoint(call_t *c)
{
	serve_t *s = c->s;
	ms_t remaining_ms =
	    c->request.remaining >= 0
		? c->request.remaining - (s->loop.now - c->received_at)
		: -1;
	call_forward_t send = { .head = &c->caller->http->head,
		.method = c->method,
		.endpoint = c->ep->entry.id,
		.remaining = remaining_ms,
		.priority = -1,
		.resume_after = c->last_event_id > c->resume_event_id
				    ? c->last_event_id
				    : -1,
		.body = buf_len(&c->body),
		.has_organisations = c->config->has_organisations,
		.organisation =
		    c->organisation != NULL ? c->organisation->name : NULL };

	if (c->request.remaining >= 0 &&
	    remaining_ms > c->deadline - s->loop.now)
		send.remaining = c->deadline - s->loop.now;
	if (c->request.remaining >= 0 && send.remaining < 1)
		send.remaining = 1;
	if (c->request.model[0] != '\0')
		send.priority = call_priority(c);
	call_forward_encode(&c->conn->http->out, &send);
	return send.remaining;
}

/* What the endpoint has to do for the call. */
static void
reserve(call_t *c, const choice_t *ch)
{
	serve_t *s = c->s;
	ep_t *p = c->ep;
	int kv_tokens = c->request.prompt + c->request.output;

	workload_reserve(&p->workload, &s->average_speed, &c->reservation,
	    ch->uncached_tokens, kv_tokens);
	c->token_cost = p->workload.paced
			    ? prompt_cost(s, c->service, c->request.model)
			    : 0;
	if (p->kind == EP_PEER)
		return;
	limits_spend(p);
	workload_prompt_sent(&p->workload, &s->average_speed,
	    &s->workload_limits, ch->uncached_tokens, s->loop.now);
	p->sent_tokens += (uint32_t)ch->uncached_tokens;
	peers_load_changed(s, p);
	prefix_record(p, c, s->loop.now);
}

static const char *
domain_sent_to(const call_t *c)
{
	if (c->ep->kind == EP_PEER)
		return "-";
	return strcmp(c->ep->entry.domain, c->s->conf.domain) == 0 ? "own"
								   : "other";
}

static void
count_sent(const call_t *c)
{
	char name[64];

	snprintf(name, sizeof(name), "ebonypitch_sent_total{domain=\"%s\"}",
	    domain_sent_to(c));
	counter_add(
	    counter_get(name, "Calls sent to endpoints, by failure domain."),
	    1);
}

static void
log_sent(const call_t *c, const choice_t *ch, ms_t remaining)
{
	const ep_t *p = c->ep;

	if (c->request.resumes[0] != '\0' || c->nevent > 0)
		log_limited(LOG_NOTICE, "resume",
		    "request=%s resumes=%s after=%" PRId64
		    " endpoint=%s software=%s",
		    c->request.id,
		    c->request.resumes[0] != '\0' ? c->request.resumes
						  : c->request.id,
		    c->last_event_id, p->entry.id, p->entry.software);
	log_limited(LOG_INFO, "sent",
	    "request=%s route=%s %s=%s from=%s send=%d fresh=%d first_ms=%.0f "
	    "left_ms=%" PRId64 " entry_age_ms=%" PRId64
	    " kept=%d software=%s events=%d config=%" PRId64 " domain=%s",
	    c->request.id, c->route.name,
	    p->kind == EP_PEER ? "instance_to" : "endpoint", p->entry.id,
	    c->from_instance ? "instance" : "caller", c->attempts,
	    ch->uncached_tokens, c->reservation.predicted_ms, remaining,
	    p->kind == EP_PEER ? -1 : c->s->loop.now - p->entry_read_at,
	    !c->conn->unused, p->entry.software, c->nevent,
	    c->s->config->version, domain_sent_to(c));
}

/* Count the attempt and note where it goes. */
static void
begin_attempt(call_t *c, const choice_t *ch)
{
	serve_t *s = c->s;
	int at;

	c->ep = ch->ep;
	c->state = CALL_CONNECTING;
	c->sent_at = c->last_activity_at = s->loop.now;
	c->silent = c->silence_counted = false;
	c->look_at = 0;
	c->answered_by = NULL;
	memset(&c->through, 0, sizeof(c->through));
	memset(&c->reading, 0, sizeof(c->reading));
	at = call_tried_index(c, ch->ep);
	if (at == -1)
		at = c->ntried++ % TRIED_MAX;
	c->tried[at] = ch->ep;
	c->return_at[at] = 0;
	/* Where it goes through another instance, that one spends. */
	if (c->attempts++ > 0 && ch->ep->kind == EP_DIRECT)
		retry_budget_spend(s, c);
	if (c->trial && ch->ep->kind == EP_DIRECT)
		blame_trial_sent(c);
	c->had_run_before = c->may_have_run;
	ch->ep->ncall++;
	breaker_sent(&ch->ep->breaker, s->loop.now);
}

static void
send_to(call_t *c, const choice_t *ch)
{
	ms_t remaining = -1;

	call_queue_remove(c);
	begin_attempt(c, ch);
	reserve(c, ch);
	c->conn->http->parser.no_body = strcmp(c->method, "HEAD") == 0;
	switch (c->ep->kind) {
	case EP_DIRECT:
		remaining = encode_for_endpoint(c);
		break;
	case EP_PEER:
		counter_add(counter_get("ebonypitch_calls_handed_over_total",
				"Calls handed to other instances."),
		    1);
		peer_call_encode(c, &c->conn->http->out);
		break;
	}
	buf_add(
	    &c->conn->http->out, c->body.p + c->body.off, buf_len(&c->body));
	log_sent(c, ch, remaining);
	count_sent(c);
	if (c->conn->unused) {
		/* Its deadline may pass while the process is stopped. */
		c->conn->http->send_by = c->deadline;
	} else {
		call_sent(c);
		http_conn_flush(c->conn->http);
	}
	call_set_timer(c);
}

/*
 * Choose an endpoint and get a connection to it. Returns NULL if the call can't
 * be sent now.
 */
static ep_conn_t *
acquire(call_t *c, void (*choose)(call_t *, choice_t *), choice_t *out)
{
	ep_conn_t *w = NULL;

	c->s->search++;
	for (;;) {
		choose(c, out);
		if (out->kind != CHOICE_SEND)
			break;
		/* There, a refusal can only be to this send. */
		if (out->ep->kind == EP_DIRECT &&
		    call_may_have_been_sent(c, out->ep))
			w = pool_connect(c->s, out->ep, c, &answer_ops);
		else
			w = pool_acquire(c->s, out->ep, c, &answer_ops);
		if (w != NULL)
			break;
		out->ep->no_conn_in = c->s->search;
	}
	return w;
}

bool
call_may_return(const call_t *c)
{
	int i;

	for (i = 0; i < c->ntried && i < TRIED_MAX; i++)
		if (c->return_at[i] != 0)
			return true;
	return false;
}

void
call_allow_return(call_t *c, ms_t at)
{
	int i = call_tried_index(c, c->ep);

	if (i != -1 && c->ep->kind == EP_DIRECT)
		c->return_at[i] = at;
}

ep_conn_t *
call_find_replacement(call_t *c, choice_t *out)
{
	ep_conn_t *w = acquire(c, choose_endpoint, out);

	if (w == NULL && call_may_return(c))
		w = acquire(c, choose_return, out);
	return w;
}

void
call_replace_attempt(call_t *c, ep_conn_t *w, const choice_t *ch)
{
	c->left_silent = true;
	call_allow_return(c, c->s->loop.now);
	/* Closed first: the endpoint then cancels its run. */
	call_end_attempt(c, false);
	c->answer_body.off = c->answer_body.len = 0;
	c->conn = w;
	send_to(c, ch);
}

/* Where it was granted, else where it may be sent by what is known here. */
static ep_conn_t *
acquire_any(call_t *c, choice_t *out)
{
	ep_conn_t *w = NULL;

	if (c->ask.granted != NULL)
		w = acquire(c, choose_granted, out);
	c->ask.granted = NULL;
	if (w == NULL)
		w = acquire(c, choose_endpoint, out);
	if (w != NULL || !call_may_return(c))
		return w;
	w = acquire(c, choose_return, out);
	if (w != NULL)
		log_limited(LOG_NOTICE, "silence",
		    "request=%s endpoint=%s decision=return events=%d "
		    "after_ms=%" PRId64,
		    c->request.id, out->ep->entry.id, c->nevent,
		    c->s->loop.now - c->received_at);
	return w;
}

void
call_dispatch(call_t *c)
{
	serve_t *s = c->s;
	choice_t ch = { 0 };
	ep_conn_t *w;

	if (blame_stops_call(c))
		return;
	if (c->ask.granted == NULL && ask_begin(c))
		return;
	w = acquire_any(c, &ch);
	if (w != NULL) {
		c->conn = w;
		send_to(c, &ch);
		return;
	}
	switch (ch.kind) {
	case CHOICE_SEND:
		break;
	case CHOICE_WAIT:
		c->state = CALL_WAITING;
		c->wait_reason = ch.reason;
		call_queue_add(c);
		alarm_set(&s->loop, &c->alarm, c->deadline);
		return;
	case CHOICE_REFUSE:
	case CHOICE_NONE:
		call_queue_remove(c);
		call_give_up(c, ch.reason, ch.retry_ms);
		return;
	}
}

void
call_give_up(call_t *c, const char *why, ms_t retry)
{
	if (c->may_have_run)
		call_answer_error(c, 502, why, 0);
	else
		call_answer_error(
		    c, 503, why, retry > 0 ? retry : FULL_RETRY_MS);
}

void
call_end_attempt(call_t *c, bool keep)
{
	ep_conn_t *w = c->conn;

	if (c->ep != NULL) {
		workload_release(&c->ep->workload, &c->reservation);
		c->ep->ncall--;
		peers_load_changed(c->s, c->ep);
	}
	c->ep = NULL;
	c->conn = NULL;
	if (w == NULL)
		return;
	if (keep)
		pool_release(w);
	else
		pool_close(w);
}

void
call_finish(call_t *c, const char *outcome)
{
	serve_t *s = c->s;
	caller_conn_t *cc = c->caller;

	log_limited(LOG_INFO, "done",
	    "request=%s route=%s model=%s/%s outcome=%s status=%d sends=%d "
	    "first_ms=%" PRId64 " whole_ms=%" PRId64
	    " events=%d pause_ms=%" PRId64,
	    c->request.id, c->route.name, c->request.model, c->request.adapter,
	    outcome, c->status, c->attempts,
	    c->first_at != 0 ? c->first_at - c->received_at : -1,
	    s->loop.now - c->received_at, c->nevent, c->pause);
	count_outcome(c, outcome);
	call_end_attempt(c, false);
	call_queue_remove(c);
	stream_lookup_end(c);
	ask_end(c);
	allowance_end(c);
	alarm_stop(&s->loop, &c->alarm);
	table_del(s->calls, c->id);
	buf_free(&c->body);
	buffers_call_ended(c);
	buf_free(&c->answer_head);
	buf_free(&c->answer_body);
	c->service = "";
	memset(&c->route, 0, sizeof(c->route));
	config_unref(c->config);
	loop_free_later(&s->loop, (char *)c->request.id);
	loop_free_later(&s->loop, (char *)c->request.resumes);
	loop_free_later(&s->loop, c);
	if (cc != NULL)
		caller_answer_done(cc);
}

void
call_answer_error(call_t *c, int status, const char *why, ms_t retry)
{
	caller_conn_t *cc = c->caller;

	if (c->head_sent) {
		/*
		 * Part of the answer was sent: only closing the connection can
		 * signal the error.
		 */
		call_abort_answer(c, why);
		return;
	}
	c->status = status;
	log_limited(LOG_NOTICE, "answered",
	    "request=%s status=%d why=\"%s\" retry_ms=%" PRId64
	    " sends=%d ran=%d after_ms=%" PRId64 " endpoint=%s",
	    c->request.id, status, why, retry, c->attempts, c->may_have_run,
	    c->s->loop.now - c->received_at, c->ep ? c->ep->entry.id : "-");
	call_end_attempt(c, false);
	answer_error(cc, c, status, why, retry);
	call_finish(c, status == 503 || status == 429 ? "refused" : "failed");
}

void
call_abort_answer(call_t *c, const char *why)
{
	caller_conn_t *cc = c->caller;

	log_limited(LOG_NOTICE, "cut",
	    "request=%s why=\"%s\" failure=\"%s\" events=%d after_ms=%" PRId64
	    " config=%" PRId64 " config_age_ms=%" PRId64,
	    c->request.id, why, c->failure != NULL ? c->failure : "none",
	    c->nevent, c->s->loop.now - c->received_at, c->s->config->version,
	    c->s->loop.now - c->s->config_read_at);
	counter_add(counter_get("ebonypitch_cuts_total",
			"Answers ended without their last chunk."),
	    1);
	c->caller = NULL;
	call_finish(c, "cut");
	caller_cut_answer(cc);
}

void
call_caller_gone(call_t *c)
{
	c->caller = NULL;
	call_finish(c, "caller-left");
}
