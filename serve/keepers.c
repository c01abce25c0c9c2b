/*
 * The endpoints whose load this instance keeps: it grants calls of all
 * instances there, one after the other, and so knows what is on the way.
 */
#include "serve/keepers.h"
#include "serve/prompt_cost.h"

#include <string.h>

enum {
	GRANT_INTERVAL_MIN_MS = 4,
	GRANT_INTERVAL_MAX_MS = 50,
	/* How long it is known which instance keeps an endpoint. */
	KEEPER_KNOWN_MS = 250,
	PACE_AGO_MAX_MS = 10000, /* an older word says nothing */
};

/* Calls that a plain endpoint may queue, as a part of its slots. */
static const double kept_plain_queue = 0.34;

/** An endpoint that is kept. */
typedef struct kept {
	ep_t *ep;
	keeper_t keeper;
} kept_t;

static void
kept_free(gpointer p)
{
	kept_t *k = p;

	keeper_free(&k->keeper);
	g_free(k);
}

static bool
may_keep(const serve_t *s, const peer_t *p)
{
	return p->keeps && p->ready && !p->leaving && peer_alive(s, p);
}

bool
keepers_used(const serve_t *s)
{
	return s->keepers->used;
}

/* Rendezvous hashing among those of the endpoint's domain, if it has any. */
static const peer_t *
choose_keeper(const serve_t *s, const ep_t *p, bool domain_only, bool *own)
{
	uint64_t most = 0, w;
	const peer_t *best = NULL;
	int i;

	*own = false;
	if (s->ready && !s->leaving &&
	    (!domain_only || strcmp(s->conf.domain, p->entry.domain) == 0)) {
		most = hash64(&p->hash, sizeof(p->hash), s->peers.hash);
		*own = true;
	}
	for (i = 0; i < s->peers.npeer; i++) {
		const peer_t *x = s->peers.peer[i];

		if (!may_keep(s, x) ||
		    (domain_only && strcmp(x->domain, p->entry.domain) != 0))
			continue;
		w = hash64(&p->hash, sizeof(p->hash), x->hash);
		if (w <= most)
			continue;
		most = w;
		best = x;
		*own = false;
	}
	return best;
}

bool
keeper_of(serve_t *s, ep_t *p, const peer_t **to)
{
	bool own;

	if (is_recent(p->keeper_at, s->loop.now, KEEPER_KNOWN_MS)) {
		*to = p->keeper_own ? NULL : peer_by_hash(s, p->keeper);
		return p->keeper_own || *to != NULL;
	}
	*to = choose_keeper(s, p, true, &own);
	if (*to == NULL && !own)
		*to = choose_keeper(s, p, false, &own);
	p->keeper_at = s->loop.now;
	p->keeper_own = own;
	p->keeper = *to != NULL ? (*to)->hash : 0;
	return own || *to != NULL;
}

static keeper_rules_t
rules(const serve_t *s)
{
	return (keeper_rules_t){ &s->average_speed, &s->workload_limits,
		kept_plain_queue };
}

static kept_t *
kept_get(serve_t *s, ep_t *p)
{
	kept_t *k = g_hash_table_lookup(s->keepers->kept, p);

	if (k == NULL) {
		k = g_new0(kept_t, 1);
		k->ep = p;
		keeper_init(
		    &k->keeper, p->workload.slots, p->workload.kv_capacity);
		g_hash_table_insert(s->keepers->kept, p, k);
	}
	k->keeper.load.slots = p->workload.slots;
	k->keeper.load.kv_capacity = p->workload.kv_capacity;
	k->keeper.load.prefill_speed = p->workload.prefill_speed;
	k->keeper.load.plain_call_ms = p->workload.plain_call_ms;
	k->keeper.load.paced = p->workload.paced;
	k->keeper.load.pace = p->workload.pace;
	k->keeper.load.stream = p->workload.stream;
	workload_refresh(&k->keeper.load, s->loop.now);
	return k;
}

static void
answer(serve_t *s, const kept_t *k, const keeper_ask_t *a, bool granted)
{
	keeper_rules_t r = rules(s);
	keeper_answer_t x = { .granted = granted };
	const peer_t *to;

	if (granted)
		x.backlog =
		    (ms_t)workload_predict_ms(&k->keeper.load, r.average, 0);
	else
		x.wait = (ms_t)keeper_wait_ms(
		    &k->keeper, &r, a->asker, a->call, s->loop.now);
	if (a->asker == s->peers.hash) {
		ask_answered(s, a->call, k->ep, &x);
		return;
	}
	to = peer_by_hash(s, a->asker);
	if (to != NULL)
		keeper_send_answer(s, &to->sa, k->ep, a->call, &x);
}

/* Grant all that may be sent now. @return ms until the next, -1: not known */
static double
grant(serve_t *s, kept_t *k)
{
	keeper_rules_t r = rules(s);
	keeper_ask_t a;

	while (keeper_next(&k->keeper, &r, s->loop.now, &a))
		answer(s, k, &a, true);
	return keeper_next_in(&k->keeper, &r, s->loop.now);
}

static void
grant_all(serve_t *s)
{
	GPtrArray *list = g_ptr_array_new();
	double least = GRANT_INTERVAL_MAX_MS;
	bool any = false;
	GHashTableIter it;
	gpointer v;
	guint i;

	g_hash_table_iter_init(&it, s->keepers->kept);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (((kept_t *)v)->keeper.nask > 0)
			g_ptr_array_add(list, v);
	for (i = 0; i < list->len; i++) {
		kept_t *k = list->pdata[i];
		double in;

		keeper_expire(&k->keeper, s->loop.now);
		in = grant(s, k);
		any |= k->keeper.nask > 0;
		if (in >= 0 && in < least)
			least = in;
	}
	g_ptr_array_free(list, TRUE);
	if (!any)
		return;
	if (least < GRANT_INTERVAL_MIN_MS)
		least = GRANT_INTERVAL_MIN_MS;
	alarm_set(&s->loop, &s->keepers->alarm, s->loop.now + (ms_t)least);
}

static void
on_alarm(void *arg)
{
	/* The loop turn that follows grants. */
	((serve_t *)arg)->keepers->due = true;
}

/* An ask is answered at once: by a grant in this loop turn, or by a wait. */
static void
receive_ask(serve_t *s, ep_t *p, const keeper_ask_t *a)
{
	kept_t *k = kept_get(s, p);

	s->keepers->due = true;
	if (keeper_granted(&k->keeper, a->asker, a->call)) {
		answer(s, k, a, true);
		return;
	}
	if (!keeper_put(&k->keeper, a))
		return;
	keeper_expire(&k->keeper, s->loop.now);
	grant(s, k);
	if (!keeper_granted(&k->keeper, a->asker, a->call))
		answer(s, k, a, false);
}

void
keeper_ask_here(serve_t *s, ep_t *p, const keeper_ask_t *a)
{
	receive_ask(s, p, a);
}

void
keeper_remove_here(serve_t *s, ep_t *p, uint32_t call)
{
	kept_t *k = g_hash_table_lookup(s->keepers->kept, p);

	if (k != NULL)
		keeper_remove(&k->keeper, s->peers.hash, call);
	s->keepers->due = true;
}

static void
receive_share(serve_t *s, const peer_t *p, ep_t *ep,
    const Digest__KeeperMessage *m, size_t i)
{
	workload_share_t share = { (int)m->prefill_tokens[i],
		(int)m->running[i], (int)m->kv_units[i] * KV_UNIT_TOKENS };

	if (i < m->n_pace && i < m->n_pace_ago &&
	    m->pace_ago[i] < PACE_AGO_MAX_MS)
		endpoint_pace_reported(
		    s, ep, (int)m->pace[i], s->loop.now - (ms_t)m->pace_ago[i]);
	keeper_report(&kept_get(s, ep)->keeper, p->hash, &share, s->loop.now);
	s->keepers->due = true;
}

static void
receive_parts(serve_t *s, const peer_t *p, const Digest__KeeperMessage *m)
{
	ms_t now = s->loop.now;
	ep_t *ep;
	kept_t *k;
	size_t i;

	for (i = 0; i < m->n_endpoint; i++)
		if ((ep = ep_find_tag(&s->endpoints, m->endpoint[i])) != NULL)
			receive_share(s, p, ep, m, i);
	for (i = 0; i < m->n_removed_call; i++) {
		ep = ep_find_tag(&s->endpoints, m->removed_endpoint[i]);
		k = ep != NULL ? g_hash_table_lookup(s->keepers->kept, ep)
			       : NULL;
		if (k != NULL)
			keeper_remove(&k->keeper, p->hash, m->removed_call[i]);
	}
	for (i = 0; i < m->n_ask_call; i++) {
		keeper_ask_t a = { .asker = p->hash,
			.call = m->ask_call[i],
			.tokens = (int)m->ask_tokens[i],
			.kv = (int)m->ask_kv_units[i] * KV_UNIT_TOKENS,
			.rank = (int)m->ask_rank[i],
			.late_at = now + m->ask_late_in[i],
			.heard_at = now };

		ep = ep_find_tag(&s->endpoints, m->ask_endpoint[i]);
		if (ep != NULL)
			receive_ask(s, ep, &a);
	}
}

static bool
lists_match(const Digest__KeeperMessage *m)
{
	size_t n = m->n_endpoint, a = m->n_ask_call, x = m->n_answer_call;

	return m->n_prefill_tokens == n && m->n_running == n &&
	       m->n_kv_units == n &&
	       m->n_removed_call == m->n_removed_endpoint &&
	       m->n_ask_endpoint == a && m->n_ask_tokens == a &&
	       m->n_ask_kv_units == a && m->n_ask_rank == a &&
	       m->n_ask_late_in == a && m->n_answer_endpoint == x &&
	       m->n_answer_wait == x && m->n_answer_backlog == x;
}

void
keepers_receive(
    serve_t *s, const Digest__KeeperMessage *m, const struct sockaddr_in *from)
{
	const peer_t *p = peer_at(s, from);
	size_t i;

	if (p == NULL || !lists_match(m))
		return;
	receive_parts(s, p, m);
	for (i = 0; i < m->n_answer_call; i++) {
		uint32_t wait = m->answer_wait[i];
		keeper_answer_t a = { .granted = wait == 0,
			.wait = wait == 0 ? 0 : wait - 1,
			.backlog = m->answer_backlog[i] };
		ep_t *ep = ep_find_tag(&s->endpoints, m->answer_endpoint[i]);

		if (ep == NULL)
			continue;
		if (i < m->n_answer_pace)
			endpoint_pace_reported(
			    s, ep, (int)m->answer_pace[i], s->loop.now);
		ask_answered(s, m->answer_call[i], ep, &a);
	}
}

void
keepers_load_changed(serve_t *s, ep_t *p)
{
	if (!s->keepers->used || p->kind != EP_DIRECT || p->share_unsent)
		return;
	p->share_unsent = true;
	g_ptr_array_add(s->keepers->changed, p);
}

static void
report_share(serve_t *s, ep_t *p)
{
	const peer_t *to;

	p->share_unsent = false;
	if (!keeper_of(s, p, &to))
		return;
	if (to != NULL) {
		keeper_send_share(s, &to->sa, p);
		return;
	}
	keeper_report(&kept_get(s, p)->keeper, s->peers.hash, &p->workload.own,
	    s->loop.now);
	s->keepers->due = true;
}

static void
report_shares(serve_t *s)
{
	GPtrArray *list = s->keepers->changed;
	guint i;

	for (i = 0; i < list->len; i++)
		report_share(s, list->pdata[i]);
	g_ptr_array_set_size(list, 0);
}

void
keepers_flush(serve_t *s)
{
	report_shares(s);
	if (s->keepers->due) {
		s->keepers->due = false;
		grant_all(s);
	}
	/* What is sent now changes shares again. */
	asks_decide(s);
	report_shares(s);
	keeper_send_all(s);
}

static gboolean
expire(gpointer key, gpointer value, gpointer user)
{
	kept_t *k = value;

	(void)key;
	keeper_expire(&k->keeper, ((serve_t *)user)->loop.now);
	return keeper_idle(&k->keeper);
}

/* Enough instances that keep, so that asking is worth it. */
static bool
many_keep(const serve_t *s)
{
	int i, n = 0;

	for (i = 0; i < s->peers.npeer; i++)
		n += may_keep(s, s->peers.peer[i]);
	return n >= LIVENESS_MANY_PEERS;
}

void
keepers_tick(serve_t *s)
{
	int i;

	s->keepers->used = many_keep(s);
	g_hash_table_foreach_remove(s->keepers->kept, expire, s);
	for (i = 0; i < s->endpoints.nep; i++)
		if (s->endpoints.ep[i]->workload.own.running > 0)
			keepers_load_changed(s, s->endpoints.ep[i]);
}

void
keepers_forget_endpoint(serve_t *s, ep_t *p)
{
	g_hash_table_remove(s->keepers->kept, p);
	if (p->share_unsent)
		g_ptr_array_remove(s->keepers->changed, p);
	asks_forget_endpoint(s, p);
}

void
keepers_init(serve_t *s)
{
	struct keepers *k = g_new0(struct keepers, 1);

	k->kept = g_hash_table_new_full(
	    g_direct_hash, g_direct_equal, NULL, kept_free);
	k->asking = g_hash_table_new(g_direct_hash, g_direct_equal);
	k->changed = g_ptr_array_new();
	k->out = keeper_out_new();
	k->alarm = (alarm_t){ .fn = on_alarm, .arg = s };
	s->keepers = k;
}
