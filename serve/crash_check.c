/*
 * Was the end of a connection the end of its endpoint? A new connection that is
 * refused tells. The calls that had not begun there are evidence against parts
 * of their prompts; an end without such calls shows a common cause if others
 * end at the same moment.
 */
#include "serve/blame.h"

#include <stdlib.h>

enum {
	CHECK_TIMEOUT_MS = 400, /* without an answer nothing is known */
	/* Checks of an endpoint where no call is a suspect, at least. */
	CHECK_INTERVAL_MS = 500,
};

struct crash_check {
	serve_t *s;
	ep_t *ep;
	blame_crash_t crash;
	http_conn_t *http;
	alarm_t alarm;
};

static void
check_done(struct crash_check *k, const char *outcome)
{
	serve_t *s = k->s;

	log_limited(LOG_NOTICE, "crash-check",
	    "endpoint=%s outcome=%s suspects=%d after_ms=%" PRId64,
	    k->ep->entry.id, outcome, k->crash.nsuspect,
	    s->loop.now - k->crash.at);
	alarm_stop(&s->loop, &k->alarm);
	k->ep->crash_check = NULL;
	loop_free_later(&s->loop, k);
}

static void
on_connected(void *u, http_conn_t *http)
{
	struct crash_check *k = u;

	http_conn_close(http);
	check_done(k, "alive");
}

static void
on_end(void *u, http_conn_t *http, http_end_t why)
{
	struct crash_check *k = u;
	serve_t *s = k->s;

	(void)http, (void)why;
	counter_add(counter_get("ebonypitch_endpoint_crashes_total",
			"Endpoints that ended under calls."),
	    1);
	blame_add_crash(&s->blame->blame, &k->crash);
	blame_send_crash(s, &k->crash);
	blame_evidence_changed(s);
	check_done(k, "crashed");
}

static void
on_timeout(void *arg)
{
	struct crash_check *k = arg;

	http_conn_close(k->http);
	check_done(k, "unknown");
}

static const http_conn_ops_t ops = { .connected = on_connected, .end = on_end };

static struct crash_check *
check_start(call_t *c)
{
	serve_t *s = c->s;
	struct crash_check *k = calloc(1, sizeof(*k));

	if (k == NULL)
		abort();
	k->s = s;
	k->ep = c->ep;
	k->crash.endpoint = c->ep->tag;
	k->crash.at = s->loop.now;
	k->http = http_conn_connect(&s->loop, &c->ep->sa, &ops, k);
	if (k->http == NULL) {
		free(k);
		return NULL;
	}
	k->alarm = (alarm_t){ .fn = on_timeout, .arg = k };
	alarm_set(&s->loop, &k->alarm, s->loop.now + CHECK_TIMEOUT_MS);
	c->ep->crash_checked_at = s->loop.now;
	return k;
}

static void
add_suspect(blame_crash_t *crash, uint64_t part, uint32_t call)
{
	int i;

	for (i = 0; i < crash->nsuspect; i++)
		if (crash->suspect[i].part == part)
			return;
	if (crash->nsuspect < BLAME_SUSPECTS_MAX)
		crash->suspect[crash->nsuspect++] =
		    (blame_suspect_t){ part, call };
}

/* The call's parts may be the cause. */
static void
note_suspect(call_t *c, int nshared)
{
	const blame_t *b = &c->s->blame->blame;
	int i;

	c->crashes++;
	c->crashed_at = c->s->loop.now;
	for (i = 0; i < nshared; i++)
		c->suspected |= blame_crash_count(b, c->request.part[i].id) > 0;
}

void
crash_check(call_t *c)
{
	ep_t *p = c->ep;
	int i, n = call_began(c) ? 0 : call_shared_parts(&c->request);

	if (!ep_usable(p))
		return;
	if (c->reading.events == 1 && n == 0)
		blame_call_began(c, c->last_event_at);
	if (n > 0)
		note_suspect(c, n);
	else if (is_recent(
		     p->crash_checked_at, c->s->loop.now, CHECK_INTERVAL_MS))
		return;
	if (p->crash_check == NULL)
		p->crash_check = check_start(c);
	for (i = 0; p->crash_check != NULL && i < n; i++)
		add_suspect(&p->crash_check->crash, c->request.part[i].id,
		    (uint32_t)hash_str(c->request.id, 0));
}
