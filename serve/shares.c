/*
 * Shares of endpoints' workload that other instances report. Where instances
 * are few, each sends its shares to all others. Where they are many, it sends
 * them within its failure domain only, and one instance of the domain, the
 * relay, sends their sum to the other domains.
 */
#include "serve/shares.h"

#include <string.h>

enum {
	MISSED_SUMS_MAX = 16, /* some 4 s, as for missed heartbeats */
};

uint32_t
domain_hash(const char *domain)
{
	uint32_t h = (uint32_t)hash_str(domain, 0);

	/* 0 marks a digest that isn't a sum. */
	return h != 0 ? h : 1;
}

static void
adjust_others(ep_t *p, const workload_share_t *old, const workload_share_t *now)
{
	workload_share_t *o = &p->workload.others;

	o->prefill_tokens += now->prefill_tokens - old->prefill_tokens;
	o->running += now->running - old->running;
	o->kv_tokens += now->kv_tokens - old->kv_tokens;
}

void
shares_forget(peer_t *p)
{
	static const workload_share_t none;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, p->share);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		peer_share_t *sh = v;

		adjust_others(sh->ep, &sh->share, &none);
	}
	g_hash_table_remove_all(p->share);
}

static peer_t *
sum_at(const serve_t *s, int i)
{
	return g_ptr_array_index(s->peers.domain_sums, i);
}

void
peers_forget_endpoint(serve_t *s, const ep_t *ep)
{
	int i;

	for (i = 0; i < s->peers.npeer; i++)
		g_hash_table_remove(s->peers.peer[i]->share, ep);
	for (i = 0; i < (int)s->peers.domain_sums->len; i++)
		g_hash_table_remove(sum_at(s, i)->share, ep);
}

/* @param same_domain the share is part of this domain's sum */
static void
apply_share(
    serve_t *s, peer_t *p, const Digest__Digest *d, size_t i, bool same_domain)
{
	ep_t *ep = ep_find_tag(&s->endpoints, d->endpoint[i]);
	workload_share_t now = { (int)d->prefill_tokens[i], (int)d->running[i],
		(int)d->kv_units[i] * KV_UNIT_TOKENS };
	peer_share_t *sh;
	int32_t fresh;

	if (ep == NULL)
		return;
	sh = g_hash_table_lookup(p->share, ep);
	if (sh == NULL) {
		sh = g_new0(peer_share_t, 1);
		sh->ep = ep;
		sh->sent_tokens = d->sent_tokens[i];
		g_hash_table_insert(p->share, ep, sh);
	}
	/* A running total, so that a lost datagram loses no tokens. */
	fresh = (int32_t)(d->sent_tokens[i] - sh->sent_tokens);
	if (fresh > 0) {
		workload_prompt_sent(&ep->workload, &s->average_speed,
		    &s->workload_limits, fresh, s->loop.now);
		if (same_domain)
			ep->domain_sent_tokens += (uint32_t)fresh;
	}
	sh->sent_tokens = d->sent_tokens[i];
	if (now.running < sh->share.running ||
	    now.prefill_tokens < sh->share.prefill_tokens)
		call_queue_wake(s);
	adjust_others(ep, &sh->share, &now);
	sh->share = now;
	sh->in_full_digest = true;
}

/* A full digest lists every share that isn't zero. */
static void
clear_unlisted(peer_t *p)
{
	static const workload_share_t none;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, p->share);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		peer_share_t *sh = v;

		if (sh->in_full_digest) {
			sh->in_full_digest = false;
			continue;
		}
		/* The total of sent tokens stays. */
		adjust_others(sh->ep, &sh->share, &none);
		sh->share = none;
	}
}

static bool
lists_match(const Digest__Digest *d)
{
	size_t n = d->n_endpoint;

	return d->n_prefill_tokens == n && d->n_running == n &&
	       d->n_kv_units == n && d->n_sent_tokens == n;
}

static void
apply_shares(serve_t *s, peer_t *p, const Digest__Digest *d, bool same_domain)
{
	size_t i;

	for (i = 0; i < d->n_endpoint; i++)
		apply_share(s, p, d, i, same_domain);
	if (d->full)
		clear_unlisted(p);
}

void
shares_apply(serve_t *s, peer_t *p, const Digest__Digest *d)
{
	if (lists_match(d))
		apply_shares(s, p, d, peer_same_domain(s, p));
}

static peer_t *
domain_sum_get(serve_t *s, uint32_t domain)
{
	peer_t *p;
	guint i;

	for (i = 0; i < s->peers.domain_sums->len; i++)
		if (sum_at(s, (int)i)->hash == domain)
			return sum_at(s, (int)i);
	p = g_new0(peer_t, 1);
	p->hash = domain;
	p->share =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	g_ptr_array_add(s->peers.domain_sums, p);
	return p;
}

void
domain_sum_apply(serve_t *s, const Digest__Digest *d)
{
	peer_t *p;

	if (d->sum_domain == domain_hash(s->conf.domain) || !lists_match(d))
		return;
	p = domain_sum_get(s, d->sum_domain);
	if (p->incarnation != d->incarnation) {
		/* Another relay or a new process: its totals are separate. */
		shares_forget(p);
		p->incarnation = d->incarnation;
	} else if ((int32_t)(d->sequence - p->sequence) <= 0) {
		return;
	}
	p->sequence = d->sequence;
	p->last_heard_at = s->loop.now;
	apply_shares(s, p, d, false);
}

void
domain_sums_expire(serve_t *s)
{
	int i;

	for (i = 0; i < (int)s->peers.domain_sums->len; i++)
		if (s->loop.now - sum_at(s, i)->last_heard_at >
		    (ms_t)MISSED_SUMS_MAX * DOMAIN_SUM_INTERVAL_MS)
			shares_forget(sum_at(s, i));
}

void
domain_sum_own(const serve_t *s, const ep_t *ep, workload_share_t *to)
{
	int i;

	*to = ep->workload.own;
	for (i = 0; i < s->peers.npeer; i++) {
		const peer_t *p = s->peers.peer[i];
		const peer_share_t *sh;

		if (!peer_same_domain(s, p) || !peer_alive(s, p))
			continue;
		sh = g_hash_table_lookup(p->share, ep);
		if (sh == NULL)
			continue;
		to->prefill_tokens += sh->share.prefill_tokens;
		to->running += sh->share.running;
		to->kv_tokens += sh->share.kv_tokens;
	}
}
