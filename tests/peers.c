#include "tests/peers.h"

#include <glib.h>

peers_t *
peers_new(int n, int ndomain)
{
	peers_t *p = g_new0(peers_t, 1);
	int port[PEERS_MOST], i;

	g_assert_cmpint(n, <=, PEERS_MOST);
	ports_take(port, n);
	p->n = n;
	p->ndomain = ndomain;
	p->list.item = p->item;
	for (i = 0; i < n; i++) {
		settings_t *s = &p->set[i];
		instance_t *e = &p->item[p->list.n++];

		settings_init(s);
		s->nservice = 1;
		g_snprintf(s->service[0].name, ID_MAX, "web");
		s->service[0].kind = SERVICE_PLAIN;
		g_snprintf(s->instance.id, ID_MAX, "e%d", i);
		g_snprintf(s->instance.domain, ID_MAX, "d%d", i % ndomain);
		g_snprintf(
		    s->instance.peer_addr, ADDR_MAX, "127.0.0.1:%d", port[i]);
		str_copy(e->id, ID_MAX, s->instance.id);
		str_copy(e->domain, ID_MAX, s->instance.domain);
		str_copy(e->peer_addr, ADDR_MAX, s->instance.peer_addr);
		e->role = ROLE_ENTRY;
	}
	return p;
}

void
peers_start(peers_t *p, int i, bool listed)
{
	node_opts_t o = { .settings = &p->set[i], .clock = &machine_clock };
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
peers_worker(
    peers_t *p, const char *id, const char *service, int domain, int port)
{
	instance_t *w = &p->item[p->list.n++];

	str_copy(w->id, ID_MAX, id);
	str_copy(w->service, ID_MAX, service);
	g_snprintf(w->domain, ID_MAX, "d%d", domain);
	g_snprintf(w->addr, ADDR_MAX, "127.0.0.1:%d", port);
	w->role = ROLE_WORKER;
	w->slots = 2;
}

typedef struct sight {
	node_t *node;
	size_t n;
} sight_t;

static bool
sees(void *user)
{
	sight_t *s = user;
	view_t *v = node_view(s->node);
	bool yes = v->wire->n_member == s->n;

	view_unref(v);
	return yes;
}

bool
peers_see(peers_t *p, int i, int n, ms_t span)
{
	sight_t s = { p->node[i], n };

	return eventually(sees, &s, span);
}

bool
peers_settle(peers_t *p, ms_t span)
{
	int i, running = 0;

	for (i = 0; i < p->n; i++)
		running += p->node[i] != NULL;
	for (i = 0; i < p->n; i++)
		if (p->node[i] != NULL && !peers_see(p, i, running, span))
			return false;
	return true;
}
