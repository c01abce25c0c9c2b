#include "tests/links.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* The link for a daemon to the endpoint of this name. */
static fake_link_t *
link_to(links_t *l, int daemon, const char *name, char **addr)
{
	fixture_t *st = l->st;
	int i, port;

	for (i = 0; i < st->nendpoint && strcmp(st->id[i], name) != 0; i++)
		;
	if (i == st->nendpoint)
		return NULL;
	if (l->link[daemon][i] == NULL) {
		ports_take(&port, 1);
		st->link_addr[daemon][i] = addr_of(port);
		l->link[daemon][i] = fake_link_new(
		    &st->loop, st->link_addr[daemon][i], st->addr[i]);
		fake_link_set(l->link[daemon][i], l->state[daemon]);
	}
	*addr = st->link_addr[daemon][i];
	return l->link[daemon][i];
}

static char *
show(void *arg, const char *kind, const char *name, const char *spec)
{
	struct links_view *v = arg;
	char *addr, *text;
	json_t *j;

	if (strcmp(kind, "servers") != 0 ||
	    link_to(v->links, v->daemon, name, &addr) == NULL)
		return NULL;
	j = json_loads(spec, 0, NULL);
	if (j == NULL)
		return NULL;
	json_object_set_new(j, "address", json_string(addr));
	text = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	addr = g_strdup(text);
	free(text);
	return addr;
}

links_t *
links_new(fixture_t *st)
{
	links_t *l = g_new0(links_t, 1);
	int i, port;

	l->st = st;
	for (i = 0; i < FIXTURE_DAEMONS; i++) {
		l->view[i] = (struct links_view){ l, i };
		ports_take(&port, 1);
		st->view_addr[i] = addr_of(port);
		fake_store_add_view(
		    st->store, st->view_addr[i], show, &l->view[i]);
	}
	return l;
}

void
links_set(links_t *l, int daemon, link_state_t state)
{
	int i;

	l->state[daemon] = state;
	for (i = 0; i < FIXTURE_ENDPOINTS; i++)
		if (l->link[daemon][i] != NULL)
			fake_link_set(l->link[daemon][i], state);
}

void
links_set_one(links_t *l, int daemon, int endpoint, link_state_t state)
{
	g_assert_nonnull(l->link[daemon][endpoint]);
	fake_link_set(l->link[daemon][endpoint], state);
}

int
links_accepted(const links_t *l, int daemon)
{
	int i, n = 0;

	for (i = 0; i < FIXTURE_ENDPOINTS; i++)
		if (l->link[daemon][i] != NULL)
			n += fake_link_accepted(l->link[daemon][i]);
	return n;
}

void
links_free(links_t *l)
{
	int i, k;

	for (i = 0; i < FIXTURE_DAEMONS; i++)
		for (k = 0; k < FIXTURE_ENDPOINTS; k++)
			if (l->link[i][k] != NULL)
				fake_link_free(l->link[i][k]);
	g_free(l);
}
