/*
 * The table of endpoints: their entries in the store, and the orders that the
 * entries may not show yet.
 */
#include "serve/keepers.h"
#include "serve/limits.h"
#include "serve/reach.h"

#include <stdlib.h>
#include <string.h>

enum {
	REMOVED_KEEP_MS = 20000, /* until a removed endpoint is freed */
	ENTRY_LAG_MS = 150,	 /* an entry may lack an order this recent */
};

void
ep_table_init(ep_table_t *f)
{
	memset(f, 0, sizeof(*f));
	f->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	f->by_tag = g_hash_table_new(g_direct_hash, g_direct_equal);
}

ep_t *
ep_find(const ep_table_t *f, const char *id)
{
	return g_hash_table_lookup(f->by_id, id);
}

ep_t *
ep_find_tag(const ep_table_t *f, uint32_t tag)
{
	return g_hash_table_lookup(f->by_tag, GUINT_TO_POINTER(tag));
}

static ep_t *
add_endpoint(serve_t *s, const endpoint_entry_t *en)
{
	ep_table_t *f = &s->endpoints;
	const service_def_t *d = config_service(s->config, en->service);
	ep_t *p = calloc(1, sizeof(*p));

	if (p == NULL)
		abort();
	p->entry = *en;
	p->hash = hash_str(en->id, 0);
	p->tag = (uint32_t)p->hash;
	p->leaving = leaving_recall(&f->said_leaving, p->hash);
	workload_init(
	    &p->workload, en->slots, d != NULL && d->engine ? d->kv_tokens : 0);
	if (f->nep == f->capacity) {
		f->capacity = f->capacity ? 2 * f->capacity : 32;
		f->ep = realloc(f->ep, f->capacity * sizeof(ep_t *));
		if (f->ep == NULL)
			abort();
	}
	f->ep[f->nep++] = p;
	g_hash_table_insert(f->by_id, p->entry.id, p);
	g_hash_table_insert(f->by_tag, GUINT_TO_POINTER(p->tag), p);
	s->ep_added_at = s->loop.now;
	return p;
}

/* A new process with the same id doesn't know of earlier orders. */
static void
endpoint_restarted(serve_t *s, ep_t *p, const endpoint_entry_t *en)
{
	log_limited(LOG_NOTICE, "endpoint-restarted",
	    "endpoint=%s born=%" PRId64 " before=%" PRId64, en->id,
	    en->started_at, p->entry.started_at);
	pool_close_idle(p);
	reach_forget(s, p);
	p->nknown = 0;
	p->order_count = 0;
	/* An earlier start is an old copy of the entry. */
	if (en->started_at <= p->latest_start)
		return;
	memset(&p->breaker, 0, sizeof(p->breaker));
	limits_forget(p);
	retry_after_restarted(&p->retry_after, en->started_at);
}

static void
update_says_leaving(const serve_t *s, ep_t *p)
{
	p->says_leaving =
	    leaving_holds(&p->leaving, p->entry.started_at, s->loop.now);
	if (!p->says_leaving)
		p->said_leaving_here = false;
}

/*
 * Is an entry that was read in a new era older than what is known of the
 * endpoint? Revisions can't tell.
 */
static bool
entry_is_older(const ep_t *p, const endpoint_entry_t *en)
{
	bool known_later = !p->listed || p->told_leaving;

	if (en->started_at != p->entry.started_at)
		return en->started_at < p->entry.started_at;
	return known_later ? en->write_count <= p->entry.write_count
			   : en->write_count < p->entry.write_count;
}

static bool
pass_over(serve_t *s, ep_t *p, const object_t *o, const endpoint_entry_t *en)
{
	if (p->era == s->store_era || !entry_is_older(p, en) ||
	    store_era_settled_for(s) > 0)
		return false;
	log_limited(LOG_NOTICE, "entry-older",
	    "endpoint=%s era=%" PRId64 " before=%" PRId64 " revision=%" PRId64
	    " writes=%" PRId64 " known=%" PRId64 " listed=%d leaving=%d",
	    o->name, s->store_era, p->era, o->revision, en->write_count,
	    p->entry.write_count, p->listed, p->entry.leaving);
	p->passed_over = true;
	p->missing_at = 0;
	return true;
}

bool
ep_entry_passed_over(const serve_t *s, const char *id)
{
	const ep_t *p = ep_find(&s->endpoints, id);

	return p != NULL && p->passed_over;
}

static const departure_t *
departure_of(const ep_table_t *f, uint32_t tag, int64_t era, int64_t after)
{
	int i;

	for (i = 0; i < DEPARTURES_MAX; i++) {
		const departure_t *d = &f->departure[i];

		if (d->tag == tag && d->era == era && d->revision > after)
			return d;
	}
	return NULL;
}

static void
note_departure(ep_table_t *f, uint32_t tag, int64_t era, int64_t revision)
{
	if (departure_of(f, tag, era, revision - 1) != NULL)
		return;
	f->departure[f->next_departure] = (departure_t){ tag, era, revision };
	f->next_departure = (f->next_departure + 1) % DEPARTURES_MAX;
}

static void
apply_departure(serve_t *s, const ep_t *p)
{
	const departure_t *d =
	    departure_of(&s->endpoints, p->tag, p->era, p->revision);

	if (d != NULL)
		ep_peer_saw_leaving(s, d->tag, d->era, d->revision);
}

bool
ep_update_entry(serve_t *s, const object_t *o, ms_t written_after)
{
	endpoint_entry_t en;
	err_t e = { 0 };
	ep_t *p = ep_find(&s->endpoints, o->name);
	bool was_ready, is_new = p == NULL;

	if (entry_decode(&en, o->name, o->spec, &e) == -1) {
		log_limited(LOG_WARNING, "entry-unreadable",
		    "endpoint=%s revision=%" PRId64 " why=\"%s\"", o->name,
		    o->revision, e.text);
		return false;
	}
	if (p != NULL && p->era == s->store_era && o->revision <= p->revision &&
	    p->listed) {
		p->missing_at = 0;
		return false;
	}
	if (p != NULL && pass_over(s, p, o, &en))
		return false;
	if (p == NULL)
		p = add_endpoint(s, &en);
	else if (p->entry.started_at != en.started_at)
		endpoint_restarted(s, p, &en);
	was_ready = p->listed && !p->entry.leaving;
	if (strcmp(p->entry.addr, en.addr) != 0)
		pool_close_idle(p);
	p->entry = en;
	if (en.started_at > p->latest_start)
		p->latest_start = en.started_at;
	leaving_show(&p->leaving, en.started_at, s->loop.now);
	update_says_leaving(s, p);
	if (en.holds.partial)
		log_limited(LOG_ERR, "entry-partial",
		    "endpoint=%s why=\"it holds more than there is room for, "
		    "or has too long a name there: it isn't ordered\"",
		    en.id);
	p->software = software_hash(en.service, en.software);
	if (software_add(&s->software, hash_str(en.service, 0), p->software,
		s->loop.now))
		streams_version_added(s);
	p->era = s->store_era;
	p->revision = o->revision;
	p->told_leaving = false;
	p->passed_over = false;
	p->listed = true;
	p->missing_at = 0;
	p->entry_read_at = s->loop.now;
	p->entry_written_after = written_after;
	ep_mark_shown(p);
	p->workload.slots = en.slots;
	net_addr(en.addr, &p->sa);
	if (is_new || was_ready != !en.leaving)
		log_limited(LOG_NOTICE, "endpoint",
		    "endpoint=%s service=%s software=%s addr=%s domain=%s "
		    "state=%s by=%s revision=%" PRId64 " models=%d",
		    en.id, en.service, en.software, en.addr, en.domain,
		    en.leaving ? "leaving" : "ready",
		    store_watch_source(&s->endpoints_watch), o->revision,
		    en.holds.nmodel);
	if (en.leaving && p->leaving_since == 0)
		p->leaving_since = s->loop.now;
	if (!en.leaving)
		p->leaving_since = 0;
	if (en.leaving)
		pool_close_idle(p);
	if (is_new)
		apply_departure(s, p);
	return is_new || was_ready != !en.leaving;
}

void
ep_entry_gone(serve_t *s, const char *id, int64_t revision, bool may_return)
{
	ep_t *p = ep_find(&s->endpoints, id);

	if (p != NULL && !p->listed) {
		p->era = s->store_era;
		p->passed_over = false;
	}
	if (p == NULL || !p->listed)
		return;
	if (may_return && !p->entry.leaving) {
		if (p->missing_at == 0)
			p->missing_at = s->loop.now;
		p->missing_revision = revision;
		return;
	}
	p->listed = false;
	if (revision > p->revision || p->era != s->store_era)
		p->revision = revision;
	p->era = s->store_era;
	p->passed_over = false;
	p->leaving_since = s->loop.now;
	p->removed_at = s->loop.now;
	reach_forget(s, p);
	pool_close_idle(p);
	log_limited(LOG_NOTICE, "endpoint",
	    "endpoint=%s state=gone by=%s entry_age_ms=%" PRId64
	    " revision=%" PRId64,
	    id, store_watch_source(&s->endpoints_watch),
	    s->loop.now - p->entry_read_at, revision);
}

void
ep_peer_saw_leaving(serve_t *s, uint32_t tag, int64_t era, int64_t revision)
{
	ep_t *p = ep_find_tag(&s->endpoints, tag);

	if (store_era_is_ours(s, era))
		era = s->store_era;
	if (p == NULL)
		note_departure(&s->endpoints, tag, era, revision);
	if (p == NULL || !ep_usable(p) || era < p->era ||
	    (era == p->era && revision <= p->revision))
		return;
	log_limited(LOG_NOTICE, "endpoint",
	    "endpoint=%s state=leaving told=1 revision=%" PRId64
	    " before=%" PRId64,
	    p->entry.id, revision, p->revision);
	p->era = era;
	p->revision = revision;
	p->told_leaving = true;
	p->entry.leaving = true;
	pool_close_idle(p);
}

static void
note_statement(serve_t *s, ep_t *p, int64_t started_at, ms_t made_at, bool here)
{
	leaving_statement_t said = { .started_at = started_at,
		.connected_at = clock_wall() - (s->loop.now - made_at) };
	bool known = p->says_leaving;

	leaving_say(&p->leaving, &said, s->loop.now);
	update_says_leaving(s, p);
	if (known)
		return;
	log_limited(LOG_NOTICE, "endpoint",
	    "endpoint=%s state=leaving said=1 told=%d revision=%" PRId64
	    " born=%" PRId64 " by=%" PRId64 " holds=%d",
	    p->entry.id, !here, p->revision, p->entry.started_at, started_at,
	    p->says_leaving);
	if (!p->says_leaving)
		return;
	counter_add(counter_get("ebonypitch_endpoints_leaving_total",
			"Endpoints that said in an answer that they leave."),
	    1);
	pool_close_idle(p);
}

void
ep_says_leaving(serve_t *s, ep_t *p, int64_t started_at, ms_t made_at)
{
	note_statement(s, p, started_at, made_at, true);
	if (p->said_leaving_here || !p->says_leaving)
		return;
	p->said_leaving_here = true;
	s->peers.state_due = true;
}

void
ep_said_leaving_elsewhere(serve_t *s, ep_t *p, int64_t started_at, ms_t made_at)
{
	note_statement(s, p, started_at, made_at, false);
}

void
ep_table_purge(serve_t *s)
{
	ep_table_t *f = &s->endpoints;
	int i;

	for (i = f->nep - 1; i >= 0; i--) {
		ep_t *p = f->ep[i];

		update_says_leaving(s, p);
		if (p->missing_at != 0 &&
		    s->loop.now - p->missing_at > ENTRY_RETURN_MS)
			ep_entry_gone(
			    s, p->entry.id, p->missing_revision, false);
		if (p->listed || p->ncall > 0 || p->nconn > 0 ||
		    retry_after_left(&p->retry_after, s->loop.now) > 0 ||
		    s->loop.now - p->removed_at < REMOVED_KEEP_MS)
			continue;
		log_limited(LOG_NOTICE, "endpoint",
		    "endpoint=%s state=freed said=%d born=%" PRId64,
		    p->entry.id, p->leaving.said_at != 0, p->entry.started_at);
		leaving_remember(&f->said_leaving, p->hash, &p->leaving);
		g_hash_table_remove(f->by_id, p->entry.id);
		g_hash_table_remove(f->by_tag, GUINT_TO_POINTER(p->tag));
		plan_forget_endpoint(s, p);
		peers_forget_endpoint(s, p);
		keepers_forget_endpoint(s, p);
		f->ep[i] = f->ep[--f->nep];
		limits_forget(p);
		loop_free_later(&s->loop, p);
	}
}

bool
ep_usable(const ep_t *p)
{
	return p->listed && !p->entry.leaving && !p->says_leaving;
}

bool
ep_leaves(const ep_t *p)
{
	return p->listed && !ep_usable(p);
}

bool
ep_entry_may_lag(const ep_t *p, const known_order_t *l)
{
	return p->entry_written_after < l->effective_at + ENTRY_LAG_MS;
}

bool
order_is_for(const known_order_t *l, const char *model, const char *adapter)
{
	return strcmp(l->model, model) == 0 && strcmp(l->adapter, adapter) == 0;
}

bool
order_undoes(const known_order_t *m, const known_order_t *l)
{
	return !m->load && strcmp(m->model, l->model) == 0 &&
	       (m->adapter[0] == '\0' || strcmp(m->adapter, l->adapter) == 0);
}

bool
ep_entry_lists(const ep_t *p, const char *model, const char *adapter)
{
	const holding_set_t *h = &p->entry.holds;
	int i, m = -1;

	for (i = 0; i < h->nmodel; i++)
		if (strcmp(h->model[i], model) == 0)
			m = i;
	if (*adapter == '\0' || m == -1)
		return m != -1;
	for (i = 0; i < h->nadapter; i++)
		if (h->adapter[i].model == m &&
		    strcmp(h->adapter[i].name, adapter) == 0)
			return true;
	return false;
}

void
ep_mark_shown(ep_t *p)
{
	int i;

	for (i = 0; i < p->nknown; i++) {
		known_order_t *l = &p->known[i];

		if (!l->load || l->reloaded ||
		    !ep_entry_lists(p, l->model, l->adapter))
			continue;
		/* Cached weights load faster than estimated. */
		if (p->entry_read_at < l->effective_at)
			l->effective_at = p->entry_read_at;
		/* An entry from before the load may list an earlier load. */
		l->shown |= p->entry_written_after >= l->effective_at;
	}
}

/* Drop the oldest order, but keep loads not shown yet if possible. */
static void
drop_oldest_order(ep_t *p)
{
	int i, at = 0;

	for (i = p->nknown - 1; i >= 0; i--)
		if (!p->known[i].load || p->known[i].shown)
			at = i;
	p->nknown--;
	memmove(p->known + at, p->known + at + 1,
	    (size_t)(p->nknown - at) * sizeof(p->known[0]));
}

/* Is an unload of the same recorded? */
static bool
unload_is_known(const ep_t *p, const known_order_t *l)
{
	int i;

	for (i = 0; i < p->nknown; i++)
		if (order_undoes(&p->known[i], l))
			return true;
	return false;
}

bool
ep_add_order(ep_t *p, const known_order_t *l)
{
	int i;

	if (l->order_count > p->order_count)
		p->order_count = l->order_count;
	for (i = 0; i < p->nknown; i++)
		if (p->known[i].order_count == l->order_count &&
		    p->known[i].load == l->load &&
		    order_is_for(&p->known[i], l->model, l->adapter))
			return false;
	if (p->nknown == KNOWN_ORDERS_MAX)
		drop_oldest_order(p);
	p->known[p->nknown] = *l;
	p->known[p->nknown].reloaded = l->load && unload_is_known(p, l);
	p->nknown++;
	return true;
}

bool
ep_holds(const ep_t *p, const char *model, const char *adapter, ms_t now)
{
	bool holds = ep_entry_lists(p, model, adapter);
	int i;

	/* Apply the orders that the entry may not show yet. */
	for (i = 0; i < p->nknown; i++) {
		const known_order_t *l = &p->known[i];

		if (!ep_entry_may_lag(p, l) || strcmp(l->model, model) != 0)
			continue;
		if (strcmp(l->adapter, adapter) == 0)
			holds = l->load && now >= l->effective_at;
		else if (l->adapter[0] == '\0' && !l->load)
			holds = false;
	}
	return holds;
}
