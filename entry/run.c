#include "entry/route.h"

#include <stdlib.h>
#include <string.h>

enum {
	BUSY_RETRY_MS = 500,
};

static void
count_own_call(entry_t *en, const char *worker, int by)
{
	int n =
	    GPOINTER_TO_INT(g_hash_table_lookup(en->own_calls, worker)) + by;

	if (n <= 0)
		g_hash_table_remove(en->own_calls, worker);
	else
		g_hash_table_insert(
		    en->own_calls, g_strdup(worker), GINT_TO_POINTER(n));
}

static void
fill_model(const route_t *r, call_spec_t *s)
{
	const request_t *q = call_request(r->call);

	str_set(s->model, ID_MAX, r->model);
	str_set(s->adapter, ID_MAX, r->adapter);
	s->version = r->version;
	s->prompt = strdup(q->prompt == NULL ? "" : q->prompt);
	s->max_tokens = q->max_tokens;
	s->offset = r->offset;
	s->priority = q->priority;
	/* A worker silent for longer is frozen or unreachable. */
	s->report_silence = true;
	s->token_timeout = r->service->target_latency_ms;
	s->first_token_timeout = 2 * r->service->target_latency_ms;
	if (s->resume)
		s->first_token_timeout = r->service->target_latency_ms / 2;
}

static void
fill_plain(const route_t *r, call_spec_t *s)
{
	const request_t *q = call_request(r->call);

	s->plain = true;
	str_set(s->method, sizeof(s->method), q->method);
	str_set(s->path, sizeof(s->path), q->target);
	str_set(s->key, sizeof(s->key), q->key);
	str_set(s->type, sizeof(s->type), q->type);
	s->body = malloc(q->body_len + 1);
	if (s->body != NULL)
		memcpy(s->body, q->body, q->body_len + 1);
	s->body_len = s->body == NULL ? 0 : q->body_len;
}

static void
free_spec(call_spec_t *s)
{
	free(s->prompt);
	free(s->body);
	free(s);
}

void
run_start(entry_t *en, route_t *r, bool resume)
{
	call_spec_t *s = calloc(1, sizeof(*s));
	ms_t now = clock_now(&machine_clock);
	handle_t tag;

	g_assert(r->service != NULL);
	r->stage = STAGE_RUN;
	tag = route_add_pending(en, r, PENDING_RUN, r->broker);
	if (s == NULL || tag == 0 || r->expires_at <= now) {
		free(s);
		table_del(en->pending, tag);
		route_fail(en, r, 503, "too_late",
		    r->maybe_sent ? RAN_UNKNOWN : RAN_NO, BUSY_RETRY_MS,
		    "no time or room is left for it");
		return;
	}
	/* Each run has its own id, so that a late answer to an earlier run
	 * isn't taken for this one's. */
	if (!resume && r->runs > 0)
		snprintf(
		    r->stream, ID_MAX, "%.58s-r%d", call_id(r->call), r->runs);
	r->runs++;
	r->run_started_at = now;
	r->first_token_at = 0;
	r->run_tag = tag;
	r->resuming = resume;
	s->tag = tag;
	s->resume = resume;
	s->timeout = r->expires_at - now;
	str_set(s->addr, ADDR_MAX, r->addr);
	str_set(s->request, ID_MAX, r->stream);
	if (r->model[0] != '\0' || resume)
		fill_model(r, s);
	else
		fill_plain(r, s);
	count_own_call(en, r->worker, 1);
	if (endpoint_start(en->endpoint, s))
		return;
	free_spec(s);
	count_own_call(en, r->worker, -1);
	table_del(en->pending, tag);
	route_fail(en, r, 503, "overloaded",
	    r->maybe_sent ? RAN_UNKNOWN : RAN_NO, BUSY_RETRY_MS,
	    "this entry has no room for another call");
}

void
run_token(entry_t *en, route_t *r, call_event_t *ev)
{
	ms_t now = clock_now(&machine_clock);

	r->maybe_sent = true;
	/* The stream parser of endpoint/ checks id and order too. */
	if (r->stage != STAGE_RUN || ev->offset != r->offset)
		return;
	if (r->first_token_at == 0)
		r->first_token_at = now;
	if (!r->begun)
		model_begin(en, r);
	r->offset++;
	r->tokens++;
	model_token(en, r, ev->text);
}

void
run_silent(entry_t *en, route_t *r)
{
	if (r->stage == STAGE_RUN && slot_other_worker(en, r))
		endpoint_leave_silent(en->endpoint, r->run_tag);
}

/* Tries another worker, if tries, retry budget and time allow. */
static bool
retry_run(entry_t *en, route_t *r)
{
	ms_t min_deadline;

	if (r->runs_without_token >= RUNS_MAX ||
	    r->expires_at <= clock_now(&machine_clock) ||
	    !budget_spend(&en->retry_budget))
		return false;
	str_set(r->avoid, ID_MAX, r->worker);
	/* The shard may have no other copy, so the others are tried first. */
	r->deferred_shard = r->shard;
	r->ntried = 0;
	/*
	 * The target latency is missed; a late answer is better than an
	 * unknown outcome.
	 */
	min_deadline =
	    clock_now(&machine_clock) + r->service->target_latency_ms;
	if (r->deadline < min_deadline)
		r->deadline = min_deadline;
	slot_request(en, r);
	return true;
}

static bool
may_repeat(const route_t *r)
{
	if (r->model[0] != '\0')
		return r->resumable || !r->begun;
	switch (r->service->repeat) {
	case REPEAT_SAFE:
		return true;
	case REPEAT_KEYED:
		return call_request(r->call)->key[0] != '\0';
	case REPEAT_NEVER:
		break;
	}
	return false;
}

static void
model_ended(entry_t *en, route_t *r, const call_event_t *ev)
{
	if (ev->outcome == CALL_DONE) {
		budget_add_success(&en->retry_budget);
		model_done(en, r,
		    ev->text != NULL && strcmp(ev->text, "length") == 0
			? "length"
			: "stop");
		return;
	}
	/*
	 * The connection broke, but the worker may still have the stream. A run
	 * that brought tokens is resumed there: that is no extra work for the
	 * worker and isn't charged to the retry budget. One without tokens is
	 * resumed once, and charged.
	 */
	if (ev->outcome == CALL_UNKNOWN && r->begun && ev->connected &&
	    (r->first_token_at != 0 ||
		(!r->resuming && r->runs_without_token < RUNS_MAX &&
		    budget_spend(&en->retry_budget)))) {
		run_start(en, r, true);
		return;
	}
	slot_release(en, r, ev->outcome);
	if (r->model[0] != '\0' && ev->outcome != CALL_FAILED &&
	    may_repeat(r) && retry_run(en, r))
		return;
	model_fail(en, r,
	    ev->not_run && !r->maybe_sent	     ? RAN_NO
	    : ev->outcome == CALL_FAILED || r->begun ? RAN_YES
						     : RAN_UNKNOWN,
	    ev->reason);
}

static void
plain_ended(entry_t *en, route_t *r, const call_event_t *ev)
{
	ran_t ran = RAN_YES;

	if (ev->outcome == CALL_DONE)
		budget_add_success(&en->retry_budget);
	slot_release(en, r, ev->outcome);
	if ((ev->not_run || (ev->outcome == CALL_UNKNOWN && may_repeat(r))) &&
	    retry_run(en, r))
		return;
	if (ev->not_run && !r->maybe_sent)
		ran = RAN_NO;
	else if (ev->outcome == CALL_UNKNOWN || ev->not_run)
		ran = RAN_UNKNOWN;
	if (r->claimed)
		route_settle_claim(en, r, ev);
	if (ev->status > 0 && ran == RAN_YES && r->call != NULL) {
		call_reply(r->call, ev->status,
		    ev->type[0] == '\0' ? "application/octet-stream" : ev->type,
		    ran, ev->text == NULL ? "" : ev->text, ev->len);
		route_finish(en, r);
	} else if (ran == RAN_NO) {
		route_fail(en, r, 503, "unavailable", ran,
		    ev->retry_after > 0 ? ev->retry_after : BUSY_RETRY_MS,
		    ev->reason);
	} else {
		route_fail(en, r, 504, "outcome_unknown", ran, 0, ev->reason);
	}
}

void
run_end(entry_t *en, route_t *r, call_event_t *ev)
{
	if (ev->sent && !ev->not_run)
		r->maybe_sent = true;
	count_own_call(en, r->worker, -1);
	r->runs_without_token =
	    r->first_token_at != 0 ? 0 : r->runs_without_token + 1;
	r->run_tag = 0;
	if (r->call != NULL && call_disconnected(r->call) && !r->claimed) {
		slot_release(en, r,
		    ev->outcome == CALL_DONE ? CALL_DONE : CALL_CANCELLED);
		route_finish(en, r);
	} else if (r->model[0] == '\0' && r->service != NULL &&
		   r->service->kind == SERVICE_PLAIN) {
		plain_ended(en, r, ev);
	} else {
		model_ended(en, r, ev);
	}
}
