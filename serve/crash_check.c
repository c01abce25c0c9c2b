/*
 * Was the end of a connection the end of its endpoint? A new connection that is
 * refused tells. Each call there is evidence against its whole request and, if
 * it hadn't begun, against the parts of its prompt.
 */
#include "serve/blame.h"

#include <stdlib.h>

enum {
	CHECK_TIMEOUT_MS = 400, /* without an answer nothing is known */
	/*
	 * At least, between checks of an endpoint: endpoints in trouble end
	 * many connections and live on, and each check costs another one.
	 */
	CHECK_INTERVAL_MS = 100,
	CHECK_INTERVAL_BEGUN_MS = 500, /* for calls that had begun */
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

/*
 * Requests of calls that have begun are less likely to be the cause: they leave
 * room for the others.
 */
static void
add_suspect(blame_crash_t *crash, suspect_t what, uint32_t call, bool began)
{
	int i, room = began ? BLAME_SUSPECTS_MAX / 2 : BLAME_SUSPECTS_MAX;

	for (i = 0; i < crash->nsuspect; i++)
		if (suspect_same(crash->suspect[i].what, what))
			return;
	if (crash->nsuspect < room)
		crash->suspect[crash->nsuspect++] =
		    (blame_suspect_t){ what, call };
}

/* The call may be the cause; it hadn't begun. */
static void
note_suspect(call_t *c, const suspect_t *list, int n)
{
	const blame_t *b = &c->s->blame->blame;
	int i;

	c->crashes++;
	c->crashed_at = c->s->loop.now;
	for (i = 0; i < n; i++)
		c->suspected |= blame_crash_count(b, list[i]) > 0;
}

void
crash_check(call_t *c)
{
	ep_t *p = c->ep;
	bool began = call_began(c);
	suspect_t list[CALL_SUSPECTS_MAX];
	int i, n = call_suspects(c, list);

	if (!ep_usable(p))
		return;
	if (c->reading.events == 1 && began)
		blame_call_began(c, c->last_event_at);
	if (!began)
		note_suspect(c, list, n);
	if (p->crash_check == NULL &&
	    !is_recent(p->crash_checked_at, c->s->loop.now,
		began ? CHECK_INTERVAL_BEGUN_MS : CHECK_INTERVAL_MS))
		p->crash_check = check_start(c);
	for (i = 0; p->crash_check != NULL && i < n; i++)
		add_suspect(&p->crash_check->crash, list[i],
		    (uint32_t)hash_str(c->request.id, 0), began);
}
