#include "serve/blame.h"
#include "serve/prompt_cost.h"

#include <stdlib.h>
#include <string.h>

enum {
	/* Of an event, with those without an id before it. */
	EVENT_MAX = 1 << 20, /* bytes */
	EVENT_MAX_MS = 1000, /* from the first byte to the last */
	/* Events without a new id, on one attempt. */
	STRAY_MAX = 32,
	STRAY_MAX_MS = 1000, /* with no new id between them */
};

/* Returns the length of the first complete event, or 0. */
static size_t
event_end(const char *p, size_t n)
{
	size_t i;

	for (i = 0; i + 1 < n; i++) {
		if (p[i] != '\n')
			continue;
		if (p[i + 1] == '\n')
			return i + 2;
		if (i + 2 < n && p[i + 1] == '\r' && p[i + 2] == '\n')
			return i + 3;
	}
	return 0;
}

/* Returns the event's id, or -1. */
static int64_t
event_id(const char *p, size_t n)
{
	const char *end = p + n, *line = p, *next;

	for (; line < end; line = next) {
		next = memchr(line, '\n', (size_t)(end - line));
		next = next != NULL ? next + 1 : end;
		if (next - line > 3 && memcmp(line, "id:", 3) == 0)
			return strtoll(line + 3, NULL, 10);
	}
	return -1;
}

static void
first_event_received(call_t *c)
{
	ms_t now = c->s->loop.now;

	breaker_success(&c->ep->breaker);
	if (c->ep->kind == EP_DIRECT) {
		prompt_cost_observe(c);
		workload_first_event(&c->ep->workload, &c->s->average_speed,
		    &c->reservation, now - c->sent_at);
		peers_load_changed(c->s, c->ep);
		failure_rate_update(c->s, false);
	}
	if (c->first_at == 0)
		c->first_at = now;
}

/* Drops the @p n bytes of whole events. */
static void
consume_events(call_t *c, size_t n)
{
	buf_consume(&c->answer_body, n);
	c->reading.event_start = c->reading.event_parsed = 0;
	c->reading.event = (arrival_t){ 0 };
}

/* @return whether too many events without a new id have come. */
static bool
too_many_stray(call_t *c)
{
	ms_t now = c->s->loop.now;

	return ++c->reading.stray > STRAY_MAX ||
	       arrival_note(&c->reading.strays, now) > STRAY_MAX_MS;
}

/*
 * The stream had begun, and this attempt hasn't brought an event that goes on
 * with it: what comes without an id may be the text of an error.
 */
static bool
resume_unproved(const call_t *c)
{
	return c->nevent > 0 && c->reading.events == 0;
}

static bool
event_is_endless(call_t *c)
{
	ms_t now = c->s->loop.now;

	if (buf_len(&c->answer_body) == 0)
		return false;
	return arrival_note(&c->reading.event, now) > EVENT_MAX_MS ||
	       buf_len(&c->answer_body) > answer_memory_share(c, EVENT_MAX);
}

/*
 * Length of the bytes up to the end of the next event, or 0. Bytes that were
 * searched before aren't searched again: an event may come in many parts.
 */
static size_t
next_event_end(call_t *c)
{
	const char *p = c->answer_body.p + c->answer_body.off;
	size_t n = buf_len(&c->answer_body), end;
	size_t from = c->reading.event_parsed;

	/* The end is up to three bytes long. */
	from = from > c->reading.event_start + 2 ? from - 2
						 : c->reading.event_start;
	end = event_end(p + from, n - from);
	c->reading.event_parsed = end > 0 ? from + end : n;
	return end > 0 ? from + end : 0;
}

void
stream_body(call_t *c, const char *p, size_t n)
{
	ms_t now = c->s->loop.now;
	size_t end;

	buf_add(&c->answer_body, p, n);
	while ((end = next_event_end(c)) > 0) {
		const char *ev = c->answer_body.p + c->answer_body.off;
		int64_t id = event_id(
		    ev + c->reading.event_start, end - c->reading.event_start);
		bool old = id >= 0 && id <= c->last_event_id;

		if ((id < 0 || old) && too_many_stray(c)) {
			answer_is_endless(c);
			return;
		}
		if (id < 0 && resume_unproved(c)) {
			consume_events(c, end);
			continue;
		}
		if (id < 0) {
			/* It is forwarded with the event that follows it. */
			c->reading.event_start = end;
			continue;
		}
		if (c->reading.events++ == 0)
			first_event_received(c);
		else if (now - c->last_event_at > c->pause)
			c->pause = now - c->last_event_at;
		if (c->reading.events == 2)
			blame_call_began(c, now);
		c->last_event_at = now;
		if (old) {
			consume_events(c, end);
			continue;
		}
		if (c->last_event_id >= 0 && id > c->last_event_id + 1) {
			breaker_failure(&c->ep->breaker, false, now);
			call_attempt_failed(c, false, "an event is missing");
			return;
		}
		if (c->nevent == 0)
			stream_began(c);
		if (!c->head_sent)
			answer_forward_head(c, -1);
		answer_write_chunk(c, ev, end);
		c->last_event_id = id;
		c->nevent++;
		c->reading.strays = (arrival_t){ 0 };
		consume_events(c, end);
	}
	if (event_is_endless(c)) {
		answer_is_endless(c);
		return;
	}
	call_set_timer(c);
}

void
stream_done(call_t *c, bool keep)
{
	size_t n = buf_len(&c->answer_body);

	if (n > c->reading.event_start) {
		breaker_failure(&c->ep->breaker, false, c->s->loop.now);
		call_attempt_failed(
		    c, false, "the stream ended inside an event");
		return;
	}
	if (resume_unproved(c) && c->reading.stray > 0) {
		breaker_failure(&c->ep->breaker, false, c->s->loop.now);
		call_attempt_failed(
		    c, false, "the answer doesn't go on with the stream");
		return;
	}
	blame_call_completed(c);
	if (!c->head_sent) {
		/* A complete stream without events that have an id. */
		first_event_received(c);
		answer_forward_head(c, -1);
	}
	/* Events without an id at the end. */
	answer_write_chunk(c, c->answer_body.p + c->answer_body.off, n);
	call_end_attempt(c, keep);
	answer_write_last_chunk(c);
	http_conn_flush(c->caller->http);
	call_finish(c, "served");
}
