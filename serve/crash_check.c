/*
 * Was the end of a connection the end of its endpoint? A new connection that is
 * refused doesn't tell by itself, as this instance may have lost its way to it.
 * So others are asked to connect, too: one that can refutes the crash, one that
 * can't, but can connect to another endpoint, confirms it. Each call there is
 * evidence against its whole request and, if it hadn't begun, against the parts
 * of its prompt.
 */
#include "serve/blame.h"
#include "serve/reach.h"

#include <stdlib.h>

enum {
	CHECK_TIMEOUT_MS = 400, /* without an answer nothing is known */
	/* For another endpoint to take a connection. */
	OTHERS_MS = 300,
	/* For the answers of other instances, which take OTHERS_MS, too. */
	CONFIRM_MS = 500,
	/*
	 * After one that confirms, for one that refutes: instances that lose
	 * their way together don't lose it at the same moment.
	 */
	REFUTE_MS = 20,
	ALONE_MS = 3000, /* without another instance to ask */
	ASKING_MAX = 16, /* instances that wait for one check */
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
	ms_t begun;
	http_conn_t *http; /* NULL: it was refused */
	alarm_t alarm;
	bool others; /* another endpoint has taken a connection since */
	/* Of this instance's own check. */
	bool own;
	blame_crash_t crash;
	int nasked, nunknown; /* other instances */
	bool confirmed;	      /* by one of them */
	/* Of a check that other instances asked for. */
	struct sockaddr_in asking[ASKING_MAX];
	int nasking;
};

static void
check_done(struct crash_check *k, const char *outcome)
{
	serve_t *s = k->s;

	log_limited(LOG_NOTICE, "crash-check",
	    "endpoint=%s outcome=%s suspects=%d after_ms=%" PRId64
	    " asked=%d unknown=%d others=%d for=%d",
	    k->ep->entry.id, outcome, k->crash.nsuspect, s->loop.now - k->begun,
	    k->nasked, k->nunknown, k->others, k->nasking);
	alarm_stop(&s->loop, &k->alarm);
	g_ptr_array_remove_fast(s->blame->checks, k);
	if (k->own)
		k->ep->crash_check = NULL;
	loop_free_later(&s->loop, k);
}

static void
count_crash(struct crash_check *k)
{
	serve_t *s = k->s;

	counter_add(counter_get("ebonypitch_endpoint_crashes_total",
			"Endpoints that ended under calls."),
	    1);
	blame_add_crash(&s->blame->blame, &k->crash);
	blame_send_crash(s, &k->crash);
	blame_evidence_changed(s);
	check_done(k, "crashed");
}

static void
answer(struct crash_check *k, check_result_t result)
{
	static const char *const outcome[] = { "connected", "refused",
		"unknown" };
	int i;

	for (i = 0; i < k->nasking; i++)
		blame_send_check(k->s, k->ep->tag, result, &k->asking[i]);
	check_done(k, outcome[result]);
}

static void
on_connected(void *u, http_conn_t *http)
{
	struct crash_check *k = u;

	http_conn_close(http);
	if (k->own)
		check_done(k, "alive");
	else
		answer(k, CHECK_CONNECTED);
}

static void
on_end(void *u, http_conn_t *http, http_end_t why)
{
	struct crash_check *k = u;
	serve_t *s = k->s;

	(void)http, (void)why;
	k->http = NULL;
	if (k->own)
		k->nasked = blame_ask_check(s, k->ep->tag);
	if (k->own && k->nasked == 0 && !reach_has_other(s, k->ep)) {
		count_crash(k);
		return;
	}
	alarm_set(&s->loop, &k->alarm,
	    s->loop.now + (k->own ? CONFIRM_MS : OTHERS_MS));
	reach_note_failed(s, k->ep);
	reach_probe_other_service(s, k->ep);
}

void
crash_check_others(serve_t *s, const ep_t *p, ms_t begun)
{
	GPtrArray *list = s->blame->checks;
	guint i;

	for (i = list->len; i-- > 0;) {
		struct crash_check *k = list->pdata[i];

		if (k->http != NULL || k->ep == p || begun < k->begun)
			continue;
		k->others = true;
		if (!k->own)
			answer(k, CHECK_REFUSED);
		else if (k->nasked == 0)
			count_crash(k);
	}
}

void
crash_check_answered(serve_t *s, uint32_t endpoint, check_result_t result)
{
	ep_t *p = ep_find_tag(&s->endpoints, endpoint);
	struct crash_check *k = p != NULL ? p->crash_check : NULL;

	if (k == NULL || k->http != NULL)
		return;
	switch (result) {
	case CHECK_CONNECTED:
		check_done(k, "refuted");
		break;
	case CHECK_REFUSED:
		if (!k->confirmed)
			alarm_set(&s->loop, &k->alarm, s->loop.now + REFUTE_MS);
		k->confirmed = true;
		break;
	case CHECK_UNKNOWN:
		/* If nobody reaches any endpoint, they have all ended. */
		if (++k->nunknown == k->nasked && !k->confirmed)
			count_crash(k);
		break;
	}
}

/* No other instance was known when the connection was refused. */
static void
ask_again(struct crash_check *k)
{
	ms_t now = k->s->loop.now;

	k->nasked = blame_ask_check(k->s, k->ep->tag);
	if (k->nasked == 0 && now - k->begun >= ALONE_MS)
		count_crash(k);
	else
		alarm_set(&k->s->loop, &k->alarm, now + CONFIRM_MS);
}

static void
on_timeout(void *arg)
{
	struct crash_check *k = arg;

	if (k->http != NULL)
		http_conn_close(k->http);
	if (!k->own)
		answer(k, CHECK_UNKNOWN);
	else if (k->http != NULL)
		check_done(k, "unknown");
	else if (k->confirmed)
		count_crash(k);
	else if (k->nasked == 0)
		ask_again(k);
	else
		check_done(k, "unconfirmed");
}

static const http_conn_ops_t ops = { .connected = on_connected, .end = on_end };

static struct crash_check *
check_start(serve_t *s, ep_t *p)
{
	struct crash_check *k = calloc(1, sizeof(*k));

	if (k == NULL)
		abort();
	k->s = s;
	k->ep = p;
	k->begun = s->loop.now;
	k->crash.endpoint = p->tag;
	k->crash.at = s->loop.now;
	k->http = http_conn_connect(&s->loop, &p->sa, &ops, k);
	if (k->http == NULL) {
		free(k);
		return NULL;
	}
	k->alarm = (alarm_t){ .fn = on_timeout, .arg = k };
	alarm_set(&s->loop, &k->alarm, s->loop.now + CHECK_TIMEOUT_MS);
	g_ptr_array_add(s->blame->checks, k);
	return k;
}

static struct crash_check *
check_for_others(const serve_t *s, const ep_t *p)
{
	const GPtrArray *list = s->blame->checks;
	guint i;

	for (i = 0; i < list->len; i++) {
		struct crash_check *k = list->pdata[i];

		if (k->ep == p && !k->own)
			return k;
	}
	return NULL;
}

void
crash_check_asked(serve_t *s, uint32_t endpoint, const struct sockaddr_in *from)
{
	ep_t *p = ep_find_tag(&s->endpoints, endpoint);
	struct crash_check *k;

	if (p == NULL || !p->listed)
		return;
	k = check_for_others(s, p);
	if (k == NULL)
		k = check_start(s, p);
	if (k != NULL && k->nasking < ASKING_MAX)
		k->asking[k->nasking++] = *from;
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

static void
check_own(serve_t *s, ep_t *p)
{
	p->crash_check = check_start(s, p);
	if (p->crash_check == NULL)
		return;
	p->crash_check->own = true;
	p->crash_checked_at = s->loop.now;
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
		check_own(c->s, p);
	for (i = 0; p->crash_check != NULL && i < n; i++)
		add_suspect(&p->crash_check->crash, list[i],
		    (uint32_t)hash_str(c->request.id, 0), began);
}
