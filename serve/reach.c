#include "serve/reach.h"
#include "serve/blame.h"

#include <stdlib.h>
#include <string.h>

enum {
	PROBES_AT_ONCE = 3, /* of a service */
	PROBES_PER_INTERVAL = 2,
	PROBE_TIMEOUT_MS = 400,
	TAGS_MAX = 64,	 /* endpoints named in a digest */
	UNFIT_MS = 1000, /* for so long most engines can't be reached */
};

/* The average follows a change within some ten connections. */
static const double connect_weight = 0.2;

/** The state for one service. */
typedef struct service_reach {
	serve_t *s;
	char service[ID_MAX];
	reach_t reach;
	int nshut;	  /* endpoints that aren't open, at least */
	int next;	  /* index of the endpoint that is probed next */
	int nprobe;	  /* under way */
	ms_t unfit_since; /* most can't be reached, 0: they can */
} service_reach_t;

/** The state of all services. */
struct reach_feed {
	GHashTable *by_name; /* service_reach_t */
	reach_tags_t tags;
	alarm_t alarm;
};

/** A connection that carries nothing. */
typedef struct probe {
	serve_t *s;
	service_reach_t *way;
	uint32_t endpoint;
	http_conn_t *http;
	alarm_t alarm;
	ms_t begun;
} probe_t;

uint32_t
reach_tag(const char *service)
{
	return (uint32_t)hash_str(service, 0);
}

static service_reach_t *
find(const serve_t *s, const char *service)
{
	return g_hash_table_lookup(s->reach->by_name, service);
}

static service_reach_t *
find_or_add(serve_t *s, const char *service)
{
	service_reach_t *w = find(s, service);

	if (w != NULL)
		return w;
	w = g_new0(service_reach_t, 1);
	w->s = s;
	str_set(w->service, ID_MAX, service);
	g_hash_table_insert(s->reach->by_name, w->service, w);
	return w;
}

static bool
is_of(const ep_t *p, const char *service)
{
	return ep_usable(p) && strcmp(p->entry.service, service) == 0;
}

static int
count_usable(const serve_t *s, const char *service)
{
	int i, n = 0;

	for (i = 0; i < s->endpoints.nep; i++)
		n += is_of(s->endpoints.ep[i], service);
	return n;
}

/* What others are told. */

static void
tag_set(serve_t *s, GArray *list, uint32_t tag, bool listed)
{
	guint i;

	for (i = 0; i < list->len; i++)
		if (g_array_index(list, uint32_t, i) == tag)
			break;
	if (listed == (i < list->len) || (listed && i == TAGS_MAX))
		return;
	if (listed)
		g_array_append_val(list, tag);
	else
		g_array_remove_index_fast(list, i);
	s->peers.state_due = true;
}

static void
log_way(const service_reach_t *w)
{
	log_limited(LOG_NOTICE, "reach",
	    "service=%s state=%s usable=%d lost_ms=%" PRId64, w->service,
	    w->reach.lost ? "lost" : "regained", count_usable(w->s, w->service),
	    w->s->loop.now - w->reach.lost_at);
}

/* Wake up after silence, and while endpoints are to be probed. */
static void
set_alarm(service_reach_t *w)
{
	serve_t *s = w->s;
	alarm_t *a = &s->reach->alarm;
	ms_t at = w->reach.lost || w->nshut > 0
		      ? w->reach.probed_at + REACH_PROBE_INTERVAL_MS
		      : reach_quiet_at(&w->reach);

	if (at != 0 && (a->pos == 0 || a->at > at))
		alarm_set(&s->loop, a, at);
}

/* All endpoints of a service, but one, come into doubt or out of it. */
static void
set_doubt(service_reach_t *w, bool doubted)
{
	serve_t *s = w->s;
	int i;

	for (i = 0; i < s->endpoints.nep; i++) {
		ep_t *p = s->endpoints.ep[i];

		if (strcmp(p->entry.service, w->service) == 0 &&
		    p->reach.way != WAY_FAILED)
			p->reach.way = doubted ? WAY_DOUBTED : WAY_OPEN;
	}
}

static void
way_lost(service_reach_t *w)
{
	set_doubt(w, true);
	tag_set(w->s, w->s->reach->tags.service, reach_tag(w->service), true);
	log_way(w);
	counter_add(counter_get("ebonypitch_reach_lost_total",
			"Times the way to a service's endpoints was lost."),
	    1);
	call_queue_wake(w->s);
}

static void
way_regained(service_reach_t *w)
{
	set_doubt(w, false);
	tag_set(w->s, w->s->reach->tags.service, reach_tag(w->service), false);
	log_way(w);
	call_queue_wake(w->s);
}

/* Probes. */

static void way_failed(service_reach_t *w, ep_t *p);

static void
probe_end(probe_t *k)
{
	alarm_stop(&k->s->loop, &k->alarm);
	k->way->nprobe--;
	loop_free_later(&k->s->loop, k);
}

static void
probe_failed(probe_t *k)
{
	ep_t *p = ep_find_tag(&k->s->endpoints, k->endpoint);

	probe_end(k);
	if (p != NULL)
		way_failed(k->way, p);
}

static void
on_connected(void *u, http_conn_t *http)
{
	probe_t *k = u;
	ep_t *p = ep_find_tag(&k->s->endpoints, k->endpoint);

	http_conn_close(http);
	probe_end(k);
	if (p != NULL)
		reach_note_connected(k->s, p, k->begun);
}

static void
on_end(void *u, http_conn_t *http, http_end_t why)
{
	(void)http, (void)why;
	probe_failed(u);
}

static void
on_timeout(void *arg)
{
	probe_t *k = arg;

	http_conn_close(k->http);
	probe_failed(k);
}

static const http_conn_ops_t ops = { .connected = on_connected, .end = on_end };

static void
probe_start(service_reach_t *w, const ep_t *p)
{
	serve_t *s = w->s;
	probe_t *k = calloc(1, sizeof(*k));

	if (k == NULL)
		abort();
	*k = (probe_t){
		.s = s, .way = w, .endpoint = p->tag, .begun = s->loop.now
	};
	k->http = http_conn_connect(&s->loop, &p->sa, &ops, k);
	if (k->http == NULL) {
		free(k);
		return;
	}
	counter_add(counter_get("ebonypitch_reach_probes_total",
			"Connections to endpoints that only find out whether "
			"they are made."),
	    1);
	k->alarm = (alarm_t){ .fn = on_timeout, .arg = k };
	alarm_set(&s->loop, &k->alarm, s->loop.now + PROBE_TIMEOUT_MS);
	w->nprobe++;
}

/** Which endpoints are probed. */
typedef enum probe_filter {
	PROBE_OPEN, /* that may be reached */
	PROBE_SHUT, /* that can't be reached */
	PROBE_DUE,  /* the same, if it is time to */
} probe_filter_t;

static bool
is_probed(const ep_t *p, probe_filter_t which, ms_t now)
{
	switch (which) {
	case PROBE_OPEN:
		return p->reach.way == WAY_OPEN;
	case PROBE_SHUT:
		return p->reach.way != WAY_OPEN;
	case PROBE_DUE:
		return p->reach.way == WAY_FAILED && now >= p->reach.probe_at;
	}
	return false;
}

/* Probe up to @p n endpoints, in turn. */
static void
probe_some(service_reach_t *w, int n, probe_filter_t which)
{
	const ep_table_t *f = &w->s->endpoints;
	int i, at = w->next;

	for (i = 0; i < f->nep && n > 0 && w->nprobe < PROBES_AT_ONCE; i++) {
		const ep_t *p = f->ep[(at + i) % f->nep];

		if (!is_of(p, w->service) ||
		    !is_probed(p, which, w->s->loop.now))
			continue;
		w->next = (at + i + 1) % f->nep;
		probe_start(w, p);
		n--;
	}
	reach_probed(&w->reach, w->s->loop.now);
}

static int
count_shut(const service_reach_t *w)
{
	const ep_table_t *f = &w->s->endpoints;
	int i, n = 0;

	for (i = 0; i < f->nep; i++)
		n += is_of(f->ep[i], w->service) &&
		     f->ep[i]->reach.way != WAY_OPEN;
	return n;
}

static int
count_failed(const service_reach_t *w)
{
	const ep_table_t *f = &w->s->endpoints;
	int i, n = 0;

	for (i = 0; i < f->nep; i++)
		n += is_of(f->ep[i], w->service) &&
		     f->ep[i]->reach.way == WAY_FAILED;
	return n;
}

static void
update_unfit(service_reach_t *w, int nshut)
{
	if (2 * nshut <= count_usable(w->s, w->service))
		w->unfit_since = 0;
	else if (w->unfit_since == 0)
		w->unfit_since = w->s->loop.now;
}

static void
probe_if_due(service_reach_t *w)
{
	ms_t now = w->s->loop.handled_until, at = reach_quiet_at(&w->reach);

	if (w->reach.lost || w->nshut > 0) {
		if (now - w->reach.probed_at < REACH_PROBE_INTERVAL_MS)
			return;
		w->nshut = count_shut(w);
		update_unfit(w, w->nshut);
		/* Without endpoints there is no way to lose. */
		if (w->nshut == 0 && reach_connected(&w->reach))
			way_regained(w);
		else
			probe_some(w, PROBES_PER_INTERVAL,
			    w->reach.lost ? PROBE_SHUT : PROBE_DUE);
	} else if (at != 0 && now >= at) {
		probe_some(w, PROBES_AT_ONCE, PROBE_OPEN);
	}
}

static void
on_alarm(void *arg)
{
	serve_t *s = arg;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, s->reach->by_name);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		probe_if_due(v);
		set_alarm(v);
	}
}

bool
reach_has_other(const serve_t *s, const ep_t *p)
{
	int i;

	for (i = 0; i < s->endpoints.nep; i++)
		if (s->endpoints.ep[i] != p && ep_usable(s->endpoints.ep[i]))
			return true;
	return false;
}

void
reach_probe_other_service(serve_t *s, const ep_t *p)
{
	int i, n = s->endpoints.nep,
	       at = n > 0 ? (int)(rng_next(&s->rng) % (uint64_t)n) : 0;

	for (i = 0; i < n; i++) {
		const ep_t *o = s->endpoints.ep[(at + i) % n];

		if (!ep_usable(o) ||
		    strcmp(o->entry.service, p->entry.service) == 0)
			continue;
		probe_start(find_or_add(s, o->entry.service), o);
		return;
	}
}

void
reach_check(serve_t *s, ep_t *p)
{
	service_reach_t *w = find_or_add(s, p->entry.service);

	if (p->reach.way != WAY_OPEN || reach_is_failing(&w->reach) ||
	    is_recent(w->reach.probed_at, s->loop.now, REACH_QUIET_MS))
		return;
	reach_probed(&w->reach, s->loop.now);
	probe_start(w, p);
}

/* What connections show. */

static void
way_failed(service_reach_t *w, ep_t *p)
{
	serve_t *s = w->s;
	bool first = !reach_is_failing(&w->reach);
	bool known = p->reach.way == WAY_FAILED;
	int open = count_usable(s, w->service) - count_failed(w);

	reach_ep_failed(&p->reach, s->loop.now);
	w->nshut++;
	tag_set(s, s->reach->tags.endpoint, p->tag, true);
	set_alarm(w);
	if (known)
		return;
	if (reach_failed(&w->reach, p->tag, open, s->loop.now))
		way_lost(w);
	else if (first)
		probe_some(w, PROBES_AT_ONCE, PROBE_OPEN);
}

void
reach_note_failed(serve_t *s, ep_t *p)
{
	way_failed(find_or_add(s, p->entry.service), p);
}

void
reach_note_connected(serve_t *s, ep_t *p, ms_t begun)
{
	service_reach_t *w = find_or_add(s, p->entry.service);
	bool was_shut = p->reach.way != WAY_OPEN;

	reach_forget(s, p);
	p->connect_ms +=
	    connect_weight * ((double)(s->loop.now - begun) - p->connect_ms);
	if (reach_connected(&w->reach))
		way_regained(w);
	if (was_shut) {
		/* Failures of the way say nothing of the endpoint. */
		breaker_success(&p->breaker);
		call_queue_wake(s);
		probe_some(w, PROBES_AT_ONCE, PROBE_SHUT);
	}
	crash_check_others(s, p, begun);
}

void
reach_forget(serve_t *s, ep_t *p)
{
	if (p->reach.way == WAY_OPEN)
		return;
	reach_ep_connected(&p->reach);
	tag_set(s, s->reach->tags.endpoint, p->tag, false);
}

void
reach_note_asked(serve_t *s, const ep_t *p)
{
	service_reach_t *w = find_or_add(s, p->entry.service);

	reach_asked(&w->reach, s->loop.now);
	set_alarm(w);
}

void
reach_note_heard(serve_t *s, const ep_t *p)
{
	reach_heard(&find_or_add(s, p->entry.service)->reach);
}

/* What others ask. */

bool
reach_lost(const serve_t *s, const char *service)
{
	const service_reach_t *w = find(s, service);

	return w != NULL && w->reach.lost;
}

int
reach_unreached(const serve_t *s)
{
	int i, n = 0;

	for (i = 0; i < s->endpoints.nep; i++)
		n += ep_usable(s->endpoints.ep[i]) &&
		     s->endpoints.ep[i]->reach.way != WAY_OPEN;
	return n;
}

const reach_tags_t *
reach_tags(const serve_t *s)
{
	return &s->reach->tags;
}

/* Could another instance order better? */
static bool
a_peer_is_fitter(const serve_t *s, const service_reach_t *w)
{
	int i;

	for (i = 0; i < s->peers.npeer; i++) {
		const peer_t *p = s->peers.peer[i];

		if (peer_alive(s, p) && p->ready && !p->leaving &&
		    !p->lost_store &&
		    !peer_lists(p->unreached_service, reach_tag(w->service)) &&
		    2 * (int)p->unreached_endpoint->len < w->nshut)
			return true;
	}
	return false;
}

bool
reach_unfit_to_order(const serve_t *s)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, s->reach->by_name);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const service_reach_t *w = v;
		const service_def_t *d = config_service(s->config, w->service);

		if (w->unfit_since != 0 && d != NULL && d->engine &&
		    s->loop.now - w->unfit_since >= UNFIT_MS &&
		    a_peer_is_fitter(s, w))
			return true;
	}
	return false;
}

void
reach_init(serve_t *s)
{
	s->reach = g_new0(struct reach_feed, 1);
	s->reach->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	s->reach->tags.service = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	s->reach->tags.endpoint = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	s->reach->alarm = (alarm_t){ .fn = on_alarm, .arg = s };
}
