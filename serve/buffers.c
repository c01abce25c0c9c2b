#include "serve/buffers.h"

enum {
	/* A connection and what the kernel keeps for it, about. */
	CONN_BYTES = 4096,
	/* Of the body: itself, and the copy that is sent to an endpoint. */
	BODY_COPIES = 2,
	FULL_RETRY_AFTER_S = 1,
	/* A caller that reads nothing for so long may lose its connection. */
	UNREAD_MS = 1000,
	/* The request of a caller that has just connected is on its way. */
	QUIET_MS = 200,
};

void
buffers_init(serve_t *s)
{
	buffer_account_init(&s->buffers, (size_t)s->conf.memory_mb << 20);
}

static void
count_ended(const char *why)
{
	char name[96];

	snprintf(name, sizeof(name),
	    "ebonypitch_requests_ended_total{why=\"%s\"}", why);
	counter_add(counter_get(name,
			"Incomplete requests and idle connections that were "
			"ended to make room."),
	    1);
}

static size_t
held_now(const caller_conn_t *cc)
{
	const http_conn_t *k = cc->http;

	return CONN_BYTES + k->head.text.cap + k->parser.line.cap + k->in.cap +
	       k->out.cap + BODY_COPIES * cc->body.cap;
}

static bool
has_unread(const caller_conn_t *cc)
{
	return cc->call == 0 && !cc->from_instance &&
	       buf_len(&cc->http->out) > 0;
}

static bool
is_arriving(const caller_conn_t *cc)
{
	return cc->call == 0 && cc->http->in_message && !cc->http->closing;
}

/* The incomplete request or unread answer that makes room, NULL: none. */
static caller_conn_t *
heaviest(const serve_t *s)
{
	caller_conn_t *best = NULL;
	double most = 0, weight;
	bool relevant;
	int i;

	for (i = 0; i < s->ncaller; i++) {
		caller_conn_t *cc = s->caller[i];

		if (!is_arriving(cc) && !has_unread(cc))
			continue;
		weight = buffer_account_weight(&s->buffers, cc->held,
		    s->loop.now - cc->http->message_start, &relevant);
		if (!relevant || (best != NULL && weight <= most))
			continue;
		best = cc;
		most = weight;
	}
	return best;
}

bool
buffers_request_grew(caller_conn_t *cc)
{
	serve_t *s = cc->s;
	caller_conn_t *end;

	buffer_account_change(&s->buffers, &cc->held, held_now(cc));
	while (buffer_account_over(&s->buffers) > 0) {
		end = heaviest(s);
		/* Calls hold all of it: what comes in doesn't fit. */
		if (end == NULL)
			end = cc;
		log_limited(LOG_NOTICE, "request-ended",
		    "why=memory held=%zu age_ms=%" PRId64 " all=%zu unread=%zu",
		    end->held, s->loop.now - end->http->message_start,
		    s->buffers.small + s->buffers.large,
		    buf_len(&end->http->out));
		count_ended("memory");
		/* An answer more would only be unread, too. */
		if (end != cc && has_unread(end)) {
			caller_reset(end);
			continue;
		}
		caller_refuse(end, 503, FULL_RETRY_AFTER_S,
		    "the instance has no memory for the request");
		if (end == cc)
			return false;
	}
	return true;
}

void
buffers_request_ended(caller_conn_t *cc)
{
	buffer_account_change(&cc->s->buffers, &cc->held,
	    buf_len(&cc->http->out) > 0 ? held_now(cc) : 0);
}

void
buffers_conn_freed(caller_conn_t *cc)
{
	buffer_account_change(&cc->s->buffers, &cc->held, 0);
}

void
buffers_call_began(call_t *c, caller_conn_t *cc)
{
	buffer_account_change(
	    &c->s->buffers, &c->held, BODY_COPIES * c->body.cap);
	buffer_account_change(&c->s->buffers, &cc->held, held_now(cc));
}

void
buffers_call_ended(call_t *c)
{
	buffer_account_change(&c->s->buffers, &c->held, 0);
}

/* When the connection's request began, or its last one ended. */
static ms_t
unused_since(const caller_conn_t *cc)
{
	return is_arriving(cc) ? cc->http->message_start : cc->http->last_io;
}

/*
 * An answer that is being read is delivered, and what has just come is read
 * first.
 */
static bool
may_be_closed(const caller_conn_t *cc, ms_t unused)
{
	if (cc->call != 0 || cc->from_instance)
		return false;
	if (has_unread(cc))
		return unused >= UNREAD_MS;
	if (is_arriving(cc))
		return unused > 0;
	return !cc->http->closing && unused >= QUIET_MS &&
	       http_conn_unread(cc->http) == 0;
}

bool
buffers_free_descriptor(serve_t *s)
{
	caller_conn_t *best = NULL;
	int i;

	for (i = 0; i < s->ncaller; i++) {
		caller_conn_t *cc = s->caller[i];
		ms_t since = unused_since(cc);

		if ((best == NULL || since < unused_since(best)) &&
		    may_be_closed(cc, s->loop.now - since))
			best = cc;
	}
	if (best == NULL)
		return false;
	log_limited(LOG_NOTICE, "request-ended",
	    "why=descriptors held=%zu age_ms=%" PRId64 " callers=%d",
	    best->held, s->loop.now - unused_since(best), s->ncaller);
	count_ended("descriptors");
	if (has_unread(best))
		caller_reset(best);
	else
		caller_drop(best);
	return true;
}
