#include "entry/route.h"

#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sodium.h>

enum {
	RING_CALLS = 4096,
	RING_EVENTS = 16384,
	PENDING_MAX = 1 << 20,
	POLL_MS = 50,
	RING_BATCH = 512, /* items of one ring handled in a row */
	LOAD_INTERVAL_MS = 200,
	RETRY_BUDGET_MAX = 100, /* retries that may accumulate */
};

static void
on_answer(entry_t *en, answer_t *a)
{
	pending_t *found = table_get(en->pending, a->tag), p;
	route_t *r;

	if (found == NULL) {
		answer_free(a);
		return;
	}
	p = *found;
	table_del(en->pending, a->tag);
	r = route_get(en, p.route);
	if (p.kind == PENDING_SLOT && (r == NULL || r->stage != STAGE_SLOT)) {
		slot_return_grant(en, p.peer, a);
	} else if (r != NULL) {
		switch (p.kind) {
		case PENDING_SLOT:
			slot_answer(en, r, &p, a);
			break;
		case PENDING_CLAIM:
			route_claim_answer(en, r, a);
			break;
		case PENDING_SETTLE:
			route_claim_settled(en, r, a);
			break;
		case PENDING_RUN:
			break;
		}
	}
	answer_free(a);
}

static void
on_event(entry_t *en, call_event_t *ev)
{
	pending_t *p = table_get(en->pending, ev->tag);
	route_t *r = p == NULL ? NULL : route_get(en, p->route);

	if (r != NULL && r->run_tag == ev->tag) {
		switch (ev->kind) {
		case EVENT_TOKEN:
			run_token(en, r, ev);
			break;
		case EVENT_SILENT:
			run_silent(en, r);
			break;
		case EVENT_END:
			table_del(en->pending, ev->tag);
			run_end(en, r, ev);
			break;
		}
	} else if (ev->kind == EVENT_END) {
		table_del(en->pending, ev->tag);
	}
	free(ev->text);
	free(ev);
}

void
entry_update_view(entry_t *en)
{
	view_t *v = client_view(en->client);

	if (v == en->view) {
		view_unref(v);
		return;
	}
	holders_free(en->holders);
	view_unref(en->view);
	en->view = v;
	/* Once ready, calls use the older catalogue until the next arrives. */
	if (entry_view_ready(v))
		__atomic_store_n(&en->ready, true, __ATOMIC_RELAXED);
	en->holders = v == NULL ? NULL : holders_new(v);
}

static void
drain_rings(entry_t *en)
{
	void *item;
	int i;

	for (i = 0; i < RING_BATCH && (item = ring_pop(en->answers)) != NULL;
	     i++) {
		answer_t *a = item;

		if (a->kind == ANSWER_VIEW) {
			answer_free(a);
			entry_update_view(en);
		} else {
			on_answer(en, a);
		}
	}
	for (i = 0; i < RING_BATCH && (item = ring_pop(en->events)) != NULL;
	     i++)
		on_event(en, item);
	for (i = 0;
	     i < RING_BATCH && (item = ring_pop(en->disconnected)) != NULL;
	     i++) {
		route_caller_disconnected(en, item);
		call_unref(item);
	}
	for (i = 0; i < RING_BATCH && (item = ring_pop(en->calls)) != NULL; i++)
		route_new(en, item);
}

/* Answers the callers that still wait at the stop with an error. */
static void
fail_all(entry_t *en)
{
	handle_t h;
	void *item;

	for (h = table_next(en->routes, 0); h != 0;
	     h = table_next(en->routes, h)) {
		route_t *r = route_get(en, h);

		if (r->call != NULL)
			model_fail(en, r, r->maybe_sent ? RAN_UNKNOWN : RAN_NO,
			    "this entry has stopped");
	}
	while ((item = ring_pop(en->calls)) != NULL) {
		en->leaving = true;
		route_new(en, item);
	}
}

static void *
router_thread(void *arg)
{
	entry_t *en = arg;
	struct pollfd p[] = {
		{ ring_fd(en->calls), POLLIN, 0 },
		{ ring_fd(en->disconnected), POLLIN, 0 },
		{ ring_fd(en->events), POLLIN, 0 },
		{ ring_fd(en->answers), POLLIN, 0 },
	};
	ms_t load_sent_at = 0;

	while (!__atomic_load_n(&en->stop, __ATOMIC_ACQUIRE)) {
		ms_t now = clock_now(&machine_clock);

		if (now - load_sent_at >= LOAD_INTERVAL_MS) {
			client_report_load(en->client, en->ncalls, en->leaving);
			load_sent_at = now;
		}
		poll(p, sizeof(p) / sizeof(p[0]), POLL_MS);
		drain_rings(en);
	}
	fail_all(en);
	return NULL;
}

static bool
start_components(entry_t *en, err_t *e)
{
	endpoint_opts_t eo = { .settings = en->settings };
	client_opts_t co = { .settings = en->settings };
	server_opts_t so = { .settings = en->settings,
		.incarnation = en->o.incarnation };

	en->calls = ring_new(RING_CALLS);
	en->disconnected = ring_new(RING_CALLS);
	en->events = ring_new(RING_EVENTS);
	en->answers = ring_new(RING_EVENTS);
	en->routes = table_new(
	    sizeof(route_t *), (uint32_t)en->settings->caller.calls_max * 2);
	en->pending = table_new(sizeof(pending_t), PENDING_MAX);
	en->own_calls =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (en->calls == NULL || en->disconnected == NULL ||
	    en->events == NULL || en->answers == NULL || en->routes == NULL ||
	    en->pending == NULL) {
		err_set(e, ERR_INTERNAL, "out of memory or descriptors");
		return false;
	}
	eo.events = en->events;
	en->endpoint = endpoint_new(&eo, e);
	if (en->endpoint == NULL)
		return false;
	co.answers = en->answers;
	en->client = client_new(&co, e);
	if (en->client == NULL)
		return false;
	if (pthread_create(&en->thread, NULL, router_thread, en) != 0) {
		err_set(e, ERR_INTERNAL, "can't start a thread");
		return false;
	}
	so.calls = en->calls;
	so.disconnected = en->disconnected;
	so.pages = entry_pages(en);
	en->server = server_new(&so, e);
	return en->server != NULL;
}

entry_t *
entry_new(const entry_opts_t *o, err_t *e)
{
	entry_t *en = g_new0(entry_t, 1);

	if (sodium_init() == -1) {
		err_set(e, ERR_INTERNAL, "can't start libsodium");
		g_free(en);
		return NULL;
	}
	en->o = *o;
	en->settings = o->settings;
	en->rng.s = o->incarnation;
	en->retry_budget =
	    (budget_t){ .percent = o->settings->broker.retry_share,
		    .tokens = RETRY_BUDGET_MAX,
		    .max = RETRY_BUDGET_MAX };
	if (!start_components(en, e)) {
		entry_free(en);
		return NULL;
	}
	return en;
}

void
entry_drain(entry_t *en)
{
	if (__atomic_load_n(&en->leaving, __ATOMIC_RELAXED))
		return;
	en->leaving_since = clock_now(&machine_clock);
	__atomic_store_n(&en->leaving, true, __ATOMIC_RELEASE);
	log_event(LOG_NOTICE, "leaving", "calls=%d",
	    __atomic_load_n(&en->nroutes, __ATOMIC_RELAXED));
}

bool
entry_drained(entry_t *en)
{
	/* Callers may use a list with this entry for that long. */
	ms_t min_drain = en->settings->caller.entries_age_ms + POLL_MS;

	return clock_now(&machine_clock) - en->leaving_since >= min_drain &&
	       __atomic_load_n(&en->nroutes, __ATOMIC_ACQUIRE) == 0;
}

void
entry_free(entry_t *en)
{
	if (en->thread != 0) {
		__atomic_store_n(&en->stop, true, __ATOMIC_RELEASE);
		pthread_join(en->thread, NULL);
	}
	server_free(en->server);
	if (en->endpoint != NULL)
		endpoint_free(en->endpoint);
	if (en->client != NULL)
		client_free(en->client);
	holders_free(en->holders);
	view_unref(en->view);
	table_free(en->routes);
	table_free(en->pending);
	g_hash_table_destroy(en->own_calls);
	ring_free(en->calls);
	ring_free(en->disconnected);
	ring_free(en->events);
	ring_free(en->answers);
	g_free(en);
}
