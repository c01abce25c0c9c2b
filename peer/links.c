#include "peer/node.h"

#include <string.h>

enum {
	ROOTS_PER_DOMAIN = 2,	  /* they connect to the other domains */
	UPSTREAMS_MAX = 2,	  /* members through which one gets changes */
	UNNEEDED_CLOSE_MS = 5000, /* until an unneeded connection is closed */
	ROOT_KEY_MAX = ID_MAX + 8,
};

/* A domain's highest live members, and gone ones that may be dialled. */
typedef struct roots {
	member_t *live[ROOTS_PER_DOMAIN], *dead[ROOTS_PER_DOMAIN];
	uint64_t live_height[ROOTS_PER_DOMAIN], dead_height[ROOTS_PER_DOMAIN];
	int nlive, ndead, count; /* count: all live members */
} roots_t;

uint64_t
member_height(const char *id, const char *domain)
{
	char key[ROOT_KEY_MAX];

	snprintf(key, sizeof(key), "relay/%s", domain);
	return route_score(hash_str(key, 0), hash_str(id, 0));
}

/* Insert into the two highest. @return how many there are */
static int
keep_highest(member_t **best, uint64_t *score, int n, member_t *r, uint64_t s)
{
	int at = 0;

	while (at < n && score[at] >= s)
		at++;
	if (at == 2)
		return n;
	if (at == 0) {
		best[1] = best[0];
		score[1] = score[0];
	}
	best[at] = r;
	score[at] = s;
	return n < 2 ? n + 1 : 2;
}

static bool
is_self(const node_t *n, const member_t *r)
{
	return strcmp(r->m->id, n->self.id) == 0;
}

/* @return domain -> roots_t */
static GHashTable *
find_roots(node_t *n)
{
	GHashTable *t =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, n->store->member);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		member_t *r = value;
		roots_t *k;

		if (r->msg == NULL)
			continue;
		if (r->height == 0)
			r->height = member_height(r->m->id, r->m->domain);
		k = g_hash_table_lookup(t, r->m->domain);
		if (k == NULL) {
			k = g_new0(roots_t, 1);
			g_hash_table_insert(t, g_strdup(r->m->domain), k);
		}
		if (r->suspect && r->conn == NULL && n->now >= r->dial_at)
			member_probe(n, r);
		k->count += member_live(r);
		if (member_live(r) && !member_leaving(r))
			k->nlive = keep_highest(
			    k->live, k->live_height, k->nlive, r, r->height);
		else if (!member_live(r) && !is_self(n, r) &&
			 (r->conn != NULL || n->now >= r->dial_at))
			k->ndead = keep_highest(
			    k->dead, k->dead_height, k->ndead, r, r->height);
	}
	return t;
}

/*
 * Each member has two upstreams among the higher members, chosen by rendezvous
 * hashing: a random recursive tree. Its depth is about log(members); a member
 * has two members below it on average and about 2 log(members) at most. One
 * that joins or leaves only changes the upstreams of members below it.
 * @return how many, 0 for the highest member; the first one is the primary.
 */
static int
select_upstreams(node_t *n, member_t **out)
{
	const char *own = n->settings->instance.domain;
	uint64_t height = member_height(n->self.id, own);
	uint64_t key = hash_str(n->self.id, UPSTREAMS_MAX);
	uint64_t score[UPSTREAMS_MAX] = { 0, 0 };
	GHashTableIter it;
	void *value;
	int found = 0;

	g_hash_table_iter_init(&it, n->store->member);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		member_t *r = value;

		if (!member_live(r) || r->height <= height ||
		    member_leaving(r) || strcmp(r->m->domain, own) != 0)
			continue;
		found = keep_highest(out, score, found, r,
		    route_score(key, hash_str(r->m->id, 0)));
	}
	return found;
}

/* Mark the connection to a member as needed, or dial it. */
static void
require_conn(node_t *n, member_t *r, bool want_stats)
{
	if (is_self(n, r))
		return;
	if (r->conn == NULL && n->now >= r->dial_at)
		member_dial(n, r);
	if (r->conn == NULL)
		return;
	r->conn->unneeded_since = 0;
	r->conn->request_stats = want_stats;
}

static void
mark_all_unneeded(node_t *n)
{
	conn_t *c;

	for (c = net_first(n->net); c != NULL; c = c->next) {
		c->request_stats = false;
		if (c->dialled && c->unneeded_since == 0)
			c->unneeded_since = n->now;
	}
}

static void
close_unneeded(node_t *n)
{
	conn_t *c;

	for (c = net_first(n->net); c != NULL; c = c->next) {
		if (c->state != CONN_OPEN || c->unneeded_since == 0 ||
		    n->now - c->unneeded_since < UNNEEDED_CLOSE_MS)
			continue;
		if (c->unneeded) {
			conn_close(c, "not_needed");
			continue;
		}
		/* Closed by the next call, when this has been sent. */
		member_send_heartbeat(n, c, false, true);
		c->unneeded = true;
	}
}

/*
 * Load statistics are requested over one connection only: by a root from the
 * root of the same index in each other domain, else from the primary upstream.
 */
static void
require_domain(node_t *n, const roots_t *k, int own_root)
{
	int i;

	for (i = 0; i < k->nlive; i++)
		require_conn(n, k->live[i], i == own_root || k->nlive == 1);
	for (i = 0; k->nlive == 0 && i < k->ndead; i++)
		require_conn(n, k->dead[i], true);
}

static int
own_root_index(const node_t *n, const roots_t *k)
{
	int i;

	for (i = 0; k != NULL && i < k->nlive; i++)
		if (is_self(n, k->live[i]))
			return i;
	return -1;
}

void
links_tick(node_t *n)
{
	GHashTable *t = find_roots(n);
	const roots_t *own =
	    g_hash_table_lookup(t, n->settings->instance.domain);
	member_t *upstream[UPSTREAMS_MAX] = { NULL, NULL };
	int nup = select_upstreams(n, upstream),
	    own_root = own_root_index(n, own), i;
	bool alone = own == NULL || own->count < 2;
	GHashTableIter it;
	void *value;

	mark_all_unneeded(n);
	for (i = 0; i < nup; i++)
		require_conn(n, upstream[i], i == 0);
	n->primary = nup > 0 ? upstream[0] : NULL;
	/* Alone in the domain: try the members that the list has. */
	for (i = 0; alone && own != NULL && i < own->ndead; i++)
		require_conn(n, own->dead[i], true);
	g_hash_table_iter_init(&it, t);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (value != own && (own_root != -1 || alone))
			require_domain(n, value, own_root == -1 ? 0 : own_root);
	g_hash_table_destroy(t);
	if (__atomic_exchange_n(&n->is_root, own_root != -1,
		__ATOMIC_RELAXED) != (own_root != -1))
		log_event(LOG_INFO, "relay", "root=%d", own_root != -1);
	close_unneeded(n);
}
