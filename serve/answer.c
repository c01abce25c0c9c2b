#include "serve/allowances.h"
#include "serve/blame.h"
#include "serve/keepers.h"
#include "serve/limits.h"
#include "serve/peer_call.h"
#include "serve/prompt_cost.h"
#include "serve/reach.h"

#include <stdlib.h>
#include <string.h>

enum {
	ANSWER_HELD_MAX = 1 << 20, /* bytes; a larger answer is streamed */
	/* A busy endpoint in another domain needs that long. */
	CONNECT_TIMEOUT_MS = 400,
	UNSENT_MAX = 256 << 10, /* bytes; above it the endpoint isn't read */
	/* Each of a call's buffers may have this part of the memory. */
	MEMORY_PARTS = 4,
	MEMORY_SHARE_MIN = 16 << 10, /* bytes, for any number of calls */
	ANSWER_MAX = 64 << 20,	     /* bytes of a body for the caller */
	/* Of bodies that aren't for the caller, on one attempt. */
	DROPPED_MAX = 8 << 20, /* bytes of each */
	DROPPED_MAX_MS = 1000,
	FOREIGN_MAX = 4, /* answers to other calls */
	/* Shorter silence is normal. */
	FIRST_SILENCE_MIN_MS = 1000, /* before a first event */
	PLAIN_SILENCE_MIN_MS = 700,  /* before a plain answer */
	GAP_SILENCE_MIN_MS = 1000,   /* between events */
	LOOK_INTERVAL_MS = 250,	     /* between looks for a replacement */
	REFUSED_RETRY_MS = 500, /* per send, until a refused call returns */
};
/* Silence longer than the expected time by this factor is a failure. */
static const double first_silence_factor = 5, plain_silence_factor = 8,
		    gap_silence_factor = 3;

bool
call_may_retry(const call_t *c)
{
	return call_idempotent(c) &&
	       (c->ntried < c->route.attempts || call_may_return(c)) &&
	       retry_budget_allows(c->s, c);
}

/* Part of a plain body was sent to the caller: no other run can complete it. */
static bool
plain_body_begun(const call_t *c)
{
	return c->head_sent && c->nevent == 0;
}

/* How long an endpoint may be silent while it is sound. */
static ms_t
endpoint_silence_limit(const call_t *c)
{
	double v;

	if (c->request.model[0] == '\0') {
		v = c->reservation.predicted_ms * plain_silence_factor;
		return v > PLAIN_SILENCE_MIN_MS ? (ms_t)v
						: PLAIN_SILENCE_MIN_MS;
	}
	if (c->first_at == 0 || c->last_event_at < c->sent_at) {
		v = c->reservation.predicted_ms * first_silence_factor;
		return v > FIRST_SILENCE_MIN_MS ? (ms_t)v
						: FIRST_SILENCE_MIN_MS;
	}
	v = (double)c->route.target_gap * gap_silence_factor;
	return v > GAP_SILENCE_MIN_MS ? (ms_t)v : GAP_SILENCE_MIN_MS;
}

/*
 * Another instance replaces a silent endpoint by itself, and its own queue may
 * hold the call for as long as ours would.
 */
static ms_t
instance_silence_limit(const call_t *c)
{
	ms_t limit = 2 * endpoint_silence_limit(c);
	ms_t queue =
	    (ms_t)call_first_event_limit(c) - (c->sent_at - c->received_at);

	return c->first_at == 0 && queue > 0 ? limit + queue : limit;
}

/*
 * How long there may be silence before another endpoint is looked for; 0:
 * until the call's deadline, as none can take over.
 */
static ms_t
silence_limit(const call_t *c)
{
	if (!call_idempotent(c) || plain_body_begun(c) ||
	    (c->ntried >= c->route.attempts && !call_may_return(c)))
		return 0;
	switch (c->ep->kind) {
	case EP_DIRECT:
		break;
	case EP_PEER:
		return instance_silence_limit(c);
	}
	return endpoint_silence_limit(c);
}

/*
 * When the endpoint's silence is next acted on; 0: not before the deadline. One
 * that isn't read isn't silent.
 */
static ms_t
silence_due_at(const call_t *c)
{
	ms_t limit_ms = silence_limit(c), at;

	if (limit_ms == 0 || (c->conn != NULL && c->conn->http->paused))
		return 0;
	at = c->last_activity_at + limit_ms;
	return at > c->look_at ? at : c->look_at;
}

void
call_set_timer(call_t *c)
{
	ms_t at = c->deadline, silence_at;

	if (c->state == CALL_CONNECTING && c->sent_at + CONNECT_TIMEOUT_MS < at)
		at = c->sent_at + CONNECT_TIMEOUT_MS;
	if (c->state == CALL_ALLOWANCE && allowance_next(c) < at)
		at = allowance_next(c);
	if (c->state == CALL_LOCATING && stream_lookup_next(c) < at)
		at = stream_lookup_next(c);
	if (c->state == CALL_ASKING && ask_next(c) < at)
		at = ask_next(c);
	silence_at = c->state == CALL_SENT || c->state == CALL_RELAYING
			 ? silence_due_at(c)
			 : 0;
	if (silence_at != 0 && silence_at < at)
		at = silence_at;
	alarm_set(&c->s->loop, &c->alarm, at);
}

/* Unread bytes show that the endpoint wasn't silent. */
static void
log_silence(
    const call_t *c, const char *decision, const char *why, const char *to)
{
	ms_t now = c->s->loop.now;

	log_limited(LOG_NOTICE, "silence",
	    "request=%s endpoint=%s decision=%s why=\"%s\" to=%s send=%d "
	    "events=%d after_ms=%" PRId64 " silent_ms=%" PRId64
	    " unread=%zu late_ms=%" PRId64,
	    c->request.id, c->ep->entry.id, decision, why, to, c->attempts,
	    c->nevent, now - c->sent_at, now - c->last_activity_at,
	    http_conn_unread(c->conn->http), c->s->loop.late);
}

/*
 * Could the call return to its endpoint, if the replacement refuses it or is
 * silent, too? Not to one that leaves: it only completes what it runs.
 */
static bool
may_leave(const call_t *c, choice_t *out)
{
	if (ep_leaves(c->ep))
		out->reason = "the endpoint leaves, and the call can't return";
	else if (!retry_budget_allows_return(c->s, c))
		out->reason = "no further attempt is allowed";
	else
		return true;
	return false;
}

/*
 * A sound endpoint may be silent for a while and go on. So its attempt goes on
 * too until another endpoint can take the call.
 */
static bool
replace_silent(call_t *c)
{
	ms_t now = c->s->loop.now;
	bool noticed = c->silent;
	choice_t ch = { 0 };
	ep_conn_t *w = NULL;

	if (!c->silence_counted)
		breaker_failure(&c->ep->breaker, true, now);
	c->silent = c->silence_counted = true;
	if (may_leave(c, &ch))
		w = call_find_replacement(c, &ch);
	if (w == NULL) {
		if (!noticed)
			log_silence(c, "keep", ch.reason, "-");
		c->look_at = now + LOOK_INTERVAL_MS;
		return false;
	}
	c->failure = "the endpoint is silent";
	log_silence(c, "replace", c->failure, w->ep->entry.id);
	call_replace_attempt(c, w, &ch);
	return true;
}

static void
not_connected(call_t *c)
{
	if (c->ep->kind == EP_PEER)
		return;
	c->unmade++;
	reach_note_failed(c->s, c->ep);
}

void
call_timer_fired(call_t *c)
{
	ms_t now = c->s->loop.now, silence_at;

	if (now >= c->deadline) {
		if (c->may_have_run)
			call_answer_error(c, 504, "no answer in time", 0);
		else
			call_answer_error(c, 503,
			    c->wait_reason ? c->wait_reason
					   : "not sent in time",
			    FULL_RETRY_MS);
		return;
	}
	switch (c->state) {
	case CALL_ALLOWANCE:
		allowance_timer(c);
		return;
	case CALL_LOCATING:
		stream_lookup_timer(c);
		return;
	case CALL_WAITING:
		return;
	case CALL_ASKING:
		ask_timer(c);
		return;
	case CALL_CONNECTING:
		if (now >= c->sent_at + CONNECT_TIMEOUT_MS) {
			breaker_failure(&c->ep->breaker, true, now);
			not_connected(c);
			call_attempt_failed(c, true, "no connection in time");
			return;
		}
		break;
	case CALL_SENT:
	case CALL_RELAYING:
		silence_at = silence_due_at(c);
		if (silence_at != 0 && now >= silence_at && replace_silent(c))
			return;
		break;
	}
	call_set_timer(c);
}

/* Append the ids of the prompt's parts that other calls may share, or "-". */
static void
shared_parts_text(buf_t *out, const call_head_t *r)
{
	int i, n = call_shared_parts(r);

	for (i = 0; i < n; i++)
		buf_fmt(out, "%s%" PRIx64, i > 0 ? "," : "", r->part[i].id);
	if (n == 0)
		buf_fmt(out, "-");
}

/*
 * Unread bytes or a paused connection show that the endpoint wasn't silent. An
 * attempt that had begun, with events of its own, didn't crash its endpoint.
 */
static void
log_attempt_failed(const call_t *c, bool not_run, const char *why)
{
	http_conn_t *k = c->conn != NULL ? c->conn->http : NULL;
	ms_t now = c->s->loop.now;
	buf_t parts = { 0 };

	shared_parts_text(&parts, &c->request);
	log_limited(LOG_NOTICE, "attempt-failed",
	    "request=%s endpoint=%s why=\"%s\" not_run=%d send=%d events=%d "
	    "after_ms=%" PRId64 " silent_ms=%" PRId64
	    " unread=%zu paused=%d late_ms=%" PRId64
	    " began=%d parts=%s fingerprint=%016" PRIx64,
	    c->request.id, c->ep != NULL ? c->ep->entry.id : "-", why, not_run,
	    c->attempts, c->nevent, now - c->sent_at, now - c->last_activity_at,
	    k != NULL ? http_conn_unread(k) : 0, k != NULL && k->paused,
	    c->s->loop.late, c->reading.events > 0, parts.p, c->fingerprint);
	buf_free(&parts);
}

void
call_attempt_failed(call_t *c, bool not_run, const char *why)
{
	log_attempt_failed(c, not_run, why);
	c->failure = why;
	if (not_run && c->left_silent)
		call_allow_return(
		    c, c->s->loop.now + REFUSED_RETRY_MS * c->attempts);
	call_end_attempt(c, false);
	if (not_run && !c->had_run_before)
		c->may_have_run = false;
	c->answer_body.off = c->answer_body.len = 0;
	if (plain_body_begun(c)) {
		call_abort_answer(c, why);
		return;
	}
	if (not_run || call_may_retry(c) || call_may_return(c)) {
		call_dispatch(c);
		return;
	}
	call_give_up(c, why, 0);
}

void
answer_is_endless(call_t *c)
{
	breaker_failure(&c->ep->breaker, true, c->s->loop.now);
	failure_rate_update(c->s, true);
	call_attempt_failed(c, false, "the answer doesn't end");
}

size_t
answer_memory_share(const call_t *c, size_t max)
{
	size_t share = ((size_t)c->s->conf.memory_mb << 20) / MEMORY_PARTS /
		       table_count(c->s->calls);

	if (share < MEMORY_SHARE_MIN)
		share = MEMORY_SHARE_MIN;
	return share < max ? share : max;
}

/* Callbacks of connections to endpoints. */

static call_t *
conn_call(ep_conn_t *w)
{
	return call_get(w->s, w->call);
}

static void
bytes_received(call_t *c)
{
	if (c->silent) {
		log_silence(c, "over", "the endpoint goes on", "-");
		c->silent = false;
		breaker_success(&c->ep->breaker);
	}
	c->last_activity_at = c->s->loop.now;
	if (c->ep->kind == EP_DIRECT)
		reach_note_heard(c->s, c->ep);
}

/* The request leaves now, and may run. */
void
call_sent(call_t *c)
{
	int i = call_tried_index(c, c->ep);

	c->state = CALL_SENT;
	c->may_have_run = true;
	if (c->ep->kind == EP_PEER)
		return;
	c->sends++;
	if (i != -1)
		c->reached[i] = true;
	reach_note_asked(c->s, c->ep);
}

static void
on_connected(void *u, http_conn_t *k)
{
	ep_conn_t *w = u;
	call_t *c = conn_call(w);

	(void)k;
	if (c == NULL)
		return;
	if (w->ep->kind == EP_DIRECT)
		reach_note_connected(w->s, w->ep, w->made_at);
	if (w->ep->kind == EP_DIRECT && !ep_usable(w->ep)) {
		log_limited(LOG_NOTICE, "connected-late",
		    "request=%s endpoint=%s after_ms=%" PRId64, c->request.id,
		    w->ep->entry.id, w->s->loop.now - c->sent_at);
		call_attempt_failed(
		    c, true, "the endpoint left before it was connected to");
		return;
	}
	call_sent(c);
	c->last_activity_at = w->s->loop.now;
	call_set_timer(c);
}

/*
 * A caller reads these statuses as "not run", so such an answer counts only if
 * the endpoint states that explicitly.
 */
static bool
implies_not_run(int status)
{
	return status == 503 || status == 429 || status == 408 || status == 421;
}

/* The caller gets no byte of such a body, whether it is complete or not. */
static bool
body_is_dropped(const call_t *c)
{
	return !c->response.authentic || c->response.not_run ||
	       implies_not_run(c->response.status) ||
	       (c->head_sent && c->route.kind == ROUTE_STREAM &&
		   !c->response.stream);
}

static void
begin_dropped(call_t *c, http_conn_t *k)
{
	k->body_max = DROPPED_MAX;
	arrival_note(&c->reading.dropped, c->s->loop.now);
}

/* The endpoint turned the call away, and may want no other one for a while. */
static void
note_closed(const call_t *c, const answer_head_t *a)
{
	ep_t *p = c->ep;

	if (a->closed <= 0 && !a->closed_malformed)
		return;
	log_limited(a->closed_malformed ? LOG_WARNING : LOG_NOTICE,
	    "endpoint-closed", "endpoint=%s request=%s for_ms=%" PRId64,
	    p->entry.id, c->request.id, a->closed);
	if (a->closed_malformed)
		return;
	counter_add(counter_get("ebonypitch_endpoint_closed_total",
			"Answers of endpoints that want no call for a while."),
	    1);
	retry_after_asked(
	    &p->retry_after, a->closed, c->s->loop.now, clock_wall());
}

/* What the endpoint says of itself, in an answer to whichever call. */
static void
note_any_head(const call_t *c, ep_conn_t *w, const answer_head_t *a)
{
	if (w->ep->kind == EP_PEER)
		return;
	if (a->leaving)
		ep_says_leaving(w->s, w->ep, w->started_at, w->made_at);
	note_closed(c, a);
}

/* The same, in an answer to the call that is under way. */
static void
note_own_head(call_t *c, ep_conn_t *w, const answer_head_t *a)
{
	if (a->pace > 0) {
		/* Who keeps the endpoint's load hears of another pace at once.
		 */
		if (a->pace != w->ep->pace_reported)
			keepers_load_changed(w->s, w->ep);
		w->ep->pace_reported = a->pace;
		w->ep->pace_reported_at = w->s->loop.now;
		endpoint_pace_reported(w->s, w->ep, a->pace, w->s->loop.now);
	}
	if (a->running >= 0)
		workload_set_reported(&w->ep->workload, a->running, a->waiting,
		    a->slots, w->s->loop.now);
	limits_observe(c, &a->limit);
}

static void
on_head(void *u, http_conn_t *k)
{
	ep_conn_t *w = u;
	call_t *c = conn_call(w);
	answer_head_t a;

	if (c == NULL)
		return;
	answer_head_decode(&a, &k->head, k->parser.status_code);
	note_any_head(c, w, &a);
	w->discarding =
	    a.call_id != NULL && strcmp(a.call_id, c->request.id) != 0;
	if (w->discarding) {
		log_limited(LOG_WARNING, "answer-foreign",
		    "request=%s endpoint=%s answer_to=%s", c->request.id,
		    w->ep->entry.id, a.call_id);
		begin_dropped(c, k);
		if (++c->reading.foreign > FOREIGN_MAX)
			answer_is_endless(c);
		return;
	}
	bytes_received(c);
	w->idle_timeout = a.idle;
	c->response.status = k->parser.status_code;
	c->response.authentic =
	    a.signature != NULL && a.call_id != NULL && !a.encoded;
	c->response.not_run = a.not_run && refusal_counts(c, w, &a);
	c->answered_by = w->ep;
	switch (w->ep->kind) {
	case EP_DIRECT:
		note_own_head(c, w, &a);
		break;
	case EP_PEER:
		peer_answer_read(c, &k->head, c->response.status);
		break;
	}
	c->response.stream =
	    a.events && c->response.status == 200 && c->response.authentic;
	c->response.dropped = body_is_dropped(c);
	k->body_max = c->response.stream ? 0 : ANSWER_MAX;
	if (c->response.dropped)
		begin_dropped(c, k);
	if (c->head_sent)
		return;
	c->answer_head.off = c->answer_head.len = 0;
	c->status = c->response.status;
	answer_store_head(c, &k->head, c->response.status);
}

/* Read the endpoint only while the caller takes what was read. */
static void
pause_if_behind(call_t *c)
{
	bool behind =
	    buf_len(&c->caller->http->out) > answer_memory_share(c, UNSENT_MAX);

	if (behind == c->conn->http->paused)
		return;
	http_conn_pause(c->conn->http, behind);
	/* An event that is cut by this may take any time. */
	if (behind)
		c->reading.event = (arrival_t){ 0 };
	call_set_timer(c);
}

static void
on_body(void *u, http_conn_t *k, const char *p, size_t n)
{
	ep_conn_t *w = u;
	call_t *c = conn_call(w);

	(void)k;
	if (c == NULL)
		return;
	if (w->discarding || c->response.dropped) {
		if (arrival_note(&c->reading.dropped, w->s->loop.now) >
		    DROPPED_MAX_MS)
			answer_is_endless(c);
		else if (!w->discarding)
			bytes_received(c);
		return;
	}
	bytes_received(c);
	if (c->response.stream) {
		stream_body(c, p, n);
	} else if (!c->head_sent) {
		buf_add(&c->answer_body, p, n);
		if (buf_len(&c->answer_body) >
		    answer_memory_share(c, ANSWER_HELD_MAX)) {
			answer_forward_head(c, -1);
			answer_write_chunk(
			    c, c->answer_body.p, c->answer_body.len);
			buf_free(&c->answer_body);
		}
	} else {
		answer_write_chunk(c, p, n);
	}
	c = conn_call(w);
	if (c == NULL || c->conn != w)
		return;
	http_conn_flush(c->caller->http);
	c = conn_call(w);
	if (c != NULL && c->conn == w)
		pause_if_behind(c);
}

void
call_caller_drained(call_t *c)
{
	if (c->conn == NULL || !c->conn->http->paused)
		return;
	http_conn_pause(c->conn->http, false);
	/* The endpoint may have sent all the while. */
	c->last_activity_at = c->s->loop.now;
	call_set_timer(c);
}

static void
forward_answer(call_t *c, bool keep)
{
	serve_t *s = c->s;
	bool succeeded = c->response.status < 500;
	bool direct = c->ep->kind == EP_DIRECT;
	char why[32];

	if (succeeded || !direct)
		breaker_success(&c->ep->breaker);
	else
		breaker_failure(&c->ep->breaker, false, s->loop.now);
	if (direct)
		failure_rate_update(s, !succeeded);
	if (c->response.status / 100 == 2)
		blame_call_completed(c);
	if (c->request.model[0] == '\0' && succeeded && direct)
		workload_plain_done(&c->ep->workload, &s->average_speed,
		    s->loop.now - c->sent_at);
	if (!succeeded && direct && !c->head_sent && call_may_retry(c)) {
		snprintf(why, sizeof(why), "status %d", c->response.status);
		log_attempt_failed(c, false, why);
		c->failure = "the endpoint answered with an error";
		c->answer_body.off = c->answer_body.len = 0;
		call_end_attempt(c, keep);
		call_dispatch(c);
		return;
	}
	call_end_attempt(c, keep);
	if (c->head_sent) {
		answer_write_chunk(
		    c, c->answer_body.p, buf_len(&c->answer_body));
		answer_write_last_chunk(c);
	} else {
		c->first_at = s->loop.now;
		answer_forward_head(c, (int64_t)buf_len(&c->answer_body));
		buf_add(&c->caller->http->out, c->answer_body.p,
		    buf_len(&c->answer_body));
	}
	http_conn_flush(c->caller->http);
	call_finish(c, succeeded ? "served" : "endpoint-failed");
}

static void
answer_complete(call_t *c, bool keep)
{
	ms_t now = c->s->loop.now;

	if (c->response.not_run) {
		/*
		 * A busy endpoint isn't faulty: its refusal updates the
		 * workload model, not the circuit breaker.
		 */
		c->may_have_run = c->had_run_before;
		call_attempt_failed(c, true, "the endpoint refused it");
		return;
	}
	if (c->response.stream) {
		call_t *same = c;

		stream_done(same, keep);
		return;
	}
	if (peer_answer_refuses(c)) {
		peer_answer_refused(c, keep);
		return;
	}
	if (!c->response.authentic || implies_not_run(c->response.status) ||
	    (c->head_sent && c->route.kind == ROUTE_STREAM)) {
		if (!c->through.own)
			breaker_failure(&c->ep->breaker, false, now);
		call_attempt_failed(
		    c, false, "the answer isn't the endpoint's own");
		return;
	}
	forward_answer(c, keep);
}

static void
on_done(void *u, http_conn_t *k)
{
	ep_conn_t *w = u;
	call_t *c = conn_call(w);
	bool keep;

	if (c == NULL) {
		pool_close(w);
		return;
	}
	if (w->discarding) {
		/*
		 * The next answer may be ours; the connection is closed after
		 * it.
		 */
		w->discarding = false;
		w->tainted = true;
		http_conn_next(k);
		return;
	}
	/*
	 * If the answer came before the whole request was sent, the rest of the
	 * request would be read as another one: don't reuse the connection.
	 */
	keep = http_conn_reusable(k) && !w->tainted;
	if (k->surplus)
		log_limited(LOG_WARNING, "answer-surplus",
		    "request=%s endpoint=%s", c->request.id, w->ep->entry.id);
	answer_complete(c, keep);
}

static void
on_end(void *u, http_conn_t *k, http_end_t why)
{
	ep_conn_t *w = u;
	call_t *c = conn_call(w);
	static const char *const text[] = { "the connection was closed",
		"the connection was reset", "the answer is malformed",
		"the connection wasn't made", "the answer doesn't end" };

	if (c == NULL || c->conn != w) {
		pool_remove(w);
		return;
	}
	if (why == HTTP_END_MALFORMED || why == HTTP_END_ENDLESS)
		log_limited(LOG_WARNING, "answer-refused",
		    "request=%s endpoint=%s reason=%s status=%d", c->request.id,
		    w->ep->entry.id, http_conn_fault(k), k->parser.status_code);
	breaker_failure(&c->ep->breaker, true, w->s->loop.now);
	switch (w->ep->kind) {
	case EP_DIRECT:
		failure_rate_update(w->s, true);
		if (why == HTTP_END_CONNECT_FAILED)
			not_connected(c);
		if (why == HTTP_END_EOF || why == HTTP_END_RESET)
			crash_check(c);
		break;
	case EP_PEER:
		/* It may have sent the call on, and hasn't said so. */
		if (why != HTTP_END_CONNECT_FAILED && c->answered_by == NULL)
			c->sends++;
		break;
	}
	c->conn = NULL;
	pool_remove(w);
	call_attempt_failed(c, why == HTTP_END_CONNECT_FAILED, text[why]);
}

const http_conn_ops_t answer_ops = {
	.connected = on_connected,
	.head = on_head,
	.body = on_body,
	.done = on_done,
	.end = on_end,
};
