#include "serve/serve.h"

#include <stdlib.h>
#include <string.h>

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

	workload_first_event(&c->ep->workload, &c->s->average_speed,
	    &c->reservation, now - c->sent_at);
	peers_load_changed(c->s, c->ep);
	breaker_success(&c->ep->breaker);
	failure_rate_update(c->s, false);
	if (c->first_at == 0)
		c->first_at = now;
}

void
stream_body(call_t *c, const char *p, size_t n)
{
	ms_t now = c->s->loop.now;
	size_t end;

	buf_add(&c->answer_body, p, n);
	while ((end = event_end(c->answer_body.p + c->answer_body.off,
		    buf_len(&c->answer_body))) > 0) {
		const char *ev = c->answer_body.p + c->answer_body.off;
		int64_t id = event_id(ev, end);

		if (c->last_event_at < c->sent_at || c->nevent == 0)
			first_event_received(c);
		c->last_event_at = now;
		if (id >= 0 && c->last_event_id >= 0 &&
		    id <= c->last_event_id) {
			buf_consume(&c->answer_body, end);
			continue;
		}
		if (id >= 0 && c->last_event_id >= 0 &&
		    id > c->last_event_id + 1) {
			breaker_failure(&c->ep->breaker, false, now);
			call_attempt_failed(c, false, "an event is missing");
			return;
		}
		if (c->nevent == 0)
			stream_began(c);
		if (!c->head_sent)
			answer_forward_head(c, -1);
		answer_write_chunk(c, ev, end);
		if (id >= 0)
			c->last_event_id = id;
		c->nevent++;
		buf_consume(&c->answer_body, end);
	}
	call_set_timer(c);
}

void
stream_done(call_t *c, bool keep)
{
	if (!c->head_sent && buf_len(&c->answer_body) == 0) {
		/* A complete stream without events. */
		first_event_received(c);
		answer_forward_head(c, -1);
	}
	if (buf_len(&c->answer_body) > 0) {
		breaker_failure(&c->ep->breaker, false, c->s->loop.now);
		call_attempt_failed(
		    c, false, "the stream ended inside an event");
		return;
	}
	call_end_attempt(c, keep);
	answer_write_last_chunk(c);
	http_conn_flush(c->caller->http);
	call_finish(c, "served");
}
