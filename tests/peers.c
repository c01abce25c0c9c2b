#include "tests/peers.h"

#include <string.h>
#include <glib.h>

peers_t *
peers_new(int n, int ndomain, const int *port)
{
	peers_t *p = g_new0(peers_t, 1);
	int i;

	g_assert_cmpint(n, <=, PEERS_MAX);
	if (port == NULL)
		ports_take(p->port, n);
	else
		memcpy(p->port, port, n * sizeof(*port));
	p->n = n;
	p->ndomain = ndomain;
	p->list.item = p->instance;
	for (i = 0; i < n; i++) {
		settings_t *s = &p->settings[i];
		instance_t *e = &p->instance[p->list.n++];

		settings_init(s);
		s->nservice = 1;
		g_snprintf(s->service[0].name, ID_MAX, "web");
		s->service[0].kind = SERVICE_PLAIN;
		g_snprintf(s->instance.id, ID_MAX, "e%d", i);
		g_snprintf(s->instance.domain, ID_MAX, "d%d", i % ndomain);
		g_snprintf(s->instance.peer_addr, ADDR_MAX, "127.0.0.1:%d",
		    p->port[i]);
		str_set(e->id, ID_MAX, s->instance.id);
		str_set(e->domain, ID_MAX, s->instance.domain);
		str_set(e->peer_addr, ADDR_MAX, s->instance.peer_addr);
		e->role = ROLE_ENTRY;
	}
	return p;
}

void
peers_start(peers_t *p, int i, bool listed)
{
	node_opts_t o = { .settings = &p->settings[i],
		.clock = &machine_clock };
	err_t e;

	p->node[i] = node_new(&o, &e);
	g_assert_nonnull(p->node[i]);
	if (listed)
		node_set_instances(p->node[i], &p->list);
}

void
peers_stop(peers_t *p, int i)
{
	node_free(p->node[i]);
	p->node[i] = NULL;
}

void
peers_free(peers_t *p)
{
	int i;

	for (i = 0; i < p->n; i++)
		peers_stop(p, i);
	g_free(p);
}

void
peers_add_worker(
    peers_t *p, const char *id, const char *service, int domain, int port)
{
	instance_t *w = &p->instance[p->list.n++];

	str_set(w->id, ID_MAX, id);
	str_set(w->service, ID_MAX, service);
	g_snprintf(w->domain, ID_MAX, "d%d", domain);
	g_snprintf(w->addr, ADDR_MAX, "127.0.0.1:%d", port);
	w->role = ROLE_WORKER;
	w->slots = 2;
}

typedef struct node_view_size {
	node_t *node;
	size_t n;
} node_view_size_t;

static bool
node_sees(void *user)
{
	node_view_size_t *s = user;
	view_t *v = node_view(s->node);
	bool yes = v->wire->n_member == s->n;

	view_unref(v);
	return yes;
}

bool
peers_wait_sees(peers_t *p, int i, int n, ms_t span)
{
	node_view_size_t s = { p->node[i], n };

	return eventually(node_sees, &s, span);
}

/* Log the members that each node sees, for a failed test. */
static void
log_views(peers_t *p)
{
	size_t j;
	int i;

	for (i = 0; i < p->n; i++) {
		view_t *v = p->node[i] == NULL ? NULL : node_view(p->node[i]);
		GString *g = g_string_new(NULL);

		for (j = 0; v != NULL && j < v->wire->n_member; j++)
			g_string_append_printf(
			    g, " %s", v->wire->member[j]->id);
		g_test_message("e%d root=%d sees%s", i,
		    v != NULL && node_is_root(p->node[i]), g->str);
		g_string_free(g, TRUE);
		view_unref(v);
	}
}

bool
peers_wait_all_see(peers_t *p, ms_t span)
{
	int i, running = 0;

	for (i = 0; i < p->n; i++)
		running += p->node[i] != NULL;
	for (i = 0; i < p->n; i++)
		if (p->node[i] != NULL &&
		    !peers_wait_sees(p, i, running, span)) {
			log_views(p);
			return false;
		}
	return true;
}

typedef struct client_view_size {
	test_client_t *client;
	int n;
} client_view_size_t;

static bool
client_sees(void *user)
{
	client_view_size_t *c = user;
	view_t *v = client_view(c->client->client);
	size_t i;
	int n = 0;

	for (i = 0; i < v->wire->n_member; i++)
		n += !v->wire->member[i]->leaving;
	view_unref(v);
	return n == c->n;
}

bool
test_client_wait_sees(test_client_t *a, int n, ms_t span)
{
	client_view_size_t c = { a, n };

	return eventually(client_sees, &c, span);
}

test_client_t *
test_client_new(peers_t *p, int i)
{
	test_client_t *a = g_new0(test_client_t, 1);
	client_opts_t o = { .settings = &p->settings[i] };
	err_t e;

	o.answers = a->answers = ring_new(1024);
	a->client = client_new(&o, &e);
	g_assert_nonnull(a->client);
	return a;
}

void
test_client_free(test_client_t *a)
{
	answer_t *x;

	client_free(a->client);
	while ((x = ring_pop(a->answers)) != NULL)
		answer_free(x);
	ring_free(a->answers);
	g_free(a);
}

/* Take the answer to the last request; each must come exactly once. */
static answer_t *
take_answer(test_client_t *a)
{
	answer_t *x;

	while ((x = ring_wait(a->answers, 5000)) != NULL) {
		if (x->kind == ANSWER_SLOT) {
			g_assert_cmpuint(x->tag, ==, a->tag);
			return x;
		}
		answer_free(x);
	}
	g_error("no answer to a slot request");
	return NULL;
}

/*
 * Request a slot from the broker of that rank and release it.
 * @return whether it was granted
 */
static bool
request_slot(test_client_t *a, const view_t *v, const shard_t *s, int rank)
{
	const Wire__Member *m = view_broker(v, s, rank);
	Wire__SlotRequest req = WIRE__SLOT_REQUEST__INIT;
	Wire__SlotRelease r = WIRE__SLOT_RELEASE__INIT;
	const Wire__SlotAnswer *got;
	char *tried[8], request[32];
	answer_t *x;
	bool granted;

	if (m == NULL)
		return false;
	g_snprintf(request, sizeof(request), "r%" PRIu64, ++a->tag);
	req.request = request;
	req.service = (char *)s->service;
	req.domain = (char *)s->domain;
	req.index = s->index;
	req.remaining_ms = 2000;
	for (req.n_tried_brokers = 0; (int)req.n_tried_brokers < rank;
	     req.n_tried_brokers++)
		tried[req.n_tried_brokers] =
		    view_broker(v, s, (int)req.n_tried_brokers)->id;
	req.tried_brokers = tried;
	g_assert_true(
	    client_request_slot(a->client, a->tag, m->id, &req, 2000));
	x = take_answer(a);
	got = x->down ? NULL : x->frame->slot_answer;
	granted = got != NULL && got->outcome == SLOT_GRANTED;
	if (granted) {
		str_set(a->broker, sizeof(a->broker), m->id);
		r.slot = got->slot;
		r.worker = got->worker;
		client_release_slot(a->client, m->id, &r);
	}
	answer_free(x);
	return granted;
}

ms_t
test_client_get_slot(test_client_t *a, ms_t span)
{
	ms_t start = clock_now(&machine_clock), now = start;
	bool granted = false;
	int rank;

	while (!granted && now - start < span) {
		view_t *v = client_view(a->client);

		for (rank = 0; rank < 3 && v->nshard > 0 && !granted; rank++)
			granted = request_slot(a, v, &v->shard[0], rank);
		view_unref(v);
		now = clock_now(&machine_clock);
		if (!granted)
			clock_sleep(10);
	}
	return granted ? now - start : -1;
}
