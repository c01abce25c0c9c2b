#include "serve/serve.h"
#include "serve/digest.pb-c.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <jansson.h>

enum {
	BEAT_MS = 500,	   /* a sign of life, for few instances */
	WHOLE_BEATS = 3,   /* each so many beats one tells all */
	SHARE_EACH_MS = 3, /* between shares, for each instance */
	SHARE_LEAST_MS = 15,
	BEAT_EACH_MS = 12,   /* more for each further instance: a datagram
				costs its receiver some 30 us */
	MEMORY_UNIT = 16,    /* tokens; shares are told in it */
	ALIVE_BEATS = 4,     /* beats missed by one that is gone */
	DATAGRAM_MAX = 8192, /* bytes */
	TAKEN_MS = 3000,     /* an entry shows an order within that */
	WANTS_MS = 15,	     /* between wants: an order takes as long */
	WRITE_MS = 2000,     /* an answer of the store */
	SILENT_MS = 20000,   /* an instance's object is removed after */
	JOIN_MS = 300,	     /* its own object is looked at so often */
};

static ms_t
beat_ms(const serve_t *s)
{
	ms_t v = (ms_t)BEAT_EACH_MS * s->peers.npeer;

	return v > BEAT_MS ? v : BEAT_MS;
}

bool
peer_alive(const serve_t *s, const peer_t *p)
{
	return p->heard_at != 0 && !p->goodbye &&
	       s->loop.now - p->heard_at < ALIVE_BEATS * beat_ms(s);
}

int
peers_alive(const serve_t *s)
{
	int i, n = 1;

	for (i = 0; i < s->peers.npeer; i++)
		n += peer_alive(s, s->peers.peer[i]);
	return n;
}

int
peers_before(const serve_t *s)
{
	int i, n = 0;

	for (i = 0; i < s->peers.npeer; i++) {
		const peer_t *p = s->peers.peer[i];

		n += peer_alive(s, p) && !p->leaving &&
		     strcmp(p->instance, s->site.instance) < 0;
	}
	return n;
}

/* Shares that others have at endpoints. */

static void
shift(ep_t *p, const burden_share_t *old, const burden_share_t *now)
{
	burden_share_t *o = &p->burden.others;

	o->unread += now->unread - old->unread;
	o->running += now->running - old->running;
	o->memory += now->memory - old->memory;
}

static void
forget_shares(peer_t *p)
{
	static const burden_share_t none;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, p->share);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		peer_share_t *sh = v;

		shift(sh->ep, &sh->share, &none);
	}
	g_hash_table_remove_all(p->share);
}

void
peers_forget(serve_t *s, const ep_t *ep)
{
	int i;

	for (i = 0; i < s->peers.npeer; i++)
		g_hash_table_remove(s->peers.peer[i]->share, ep);
}

static void
take_share(serve_t *s, peer_t *p, const Digest__Digest *d, size_t i)
{
	ep_t *ep = eps_by_tag(&s->fleet, d->endpoint[i]);
	burden_share_t now = { (int)d->unread[i], (int)d->running[i],
		(int)d->memory[i] * MEMORY_UNIT };
	peer_share_t *sh;
	int32_t fresh;

	if (ep == NULL)
		return;
	sh = g_hash_table_lookup(p->share, ep);
	if (sh == NULL) {
		sh = g_new0(peer_share_t, 1);
		sh->ep = ep;
		sh->sent = d->sent[i];
		g_hash_table_insert(p->share, ep, sh);
	}
	/* Counted since its start, so that a lost datagram loses nothing. */
	fresh = (int32_t)(d->sent[i] - sh->sent);
	if (fresh > 0)
		burden_pour(&ep->burden, &s->usual_pace, &s->bounds, fresh,
		    s->loop.now);
	sh->sent = d->sent[i];
	if (now.running < sh->share.running || now.unread < sh->share.unread)
		line_wake(s);
	shift(ep, &sh->share, &now);
	sh->share = now;
	sh->told = true;
}

/* A whole digest names every share that isn't none. */
static void
drop_untold(peer_t *p)
{
	static const burden_share_t none;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, p->share);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		peer_share_t *sh = v;

		if (sh->told) {
			sh->told = false;
			continue;
		}
		/* Its count of what was sent stays. */
		shift(sh->ep, &sh->share, &none);
		sh->share = none;
	}
}

static peer_t *
find(serve_t *s, const char *instance)
{
	int i;

	for (i = 0; i < s->peers.npeer; i++)
		if (strcmp(s->peers.peer[i]->instance, instance) == 0)
			return s->peers.peer[i];
	return NULL;
}

static peer_t *
find_hash(serve_t *s, uint64_t hash)
{
	int i;

	for (i = 0; i < s->peers.npeer; i++)
		if (s->peers.peer[i]->hash == hash)
			return s->peers.peer[i];
	return NULL;
}

static peer_t *
add(serve_t *s, const char *instance, const char *ip)
{
	peers_t *ps = &s->peers;
	peer_t *p = g_new0(peer_t, 1);
	char addr[ADDR_MAX + 8];

	str_copy(p->instance, ID_MAX, instance);
	p->hash = hash_str(instance, 0);
	str_copy(p->ip, ADDR_MAX, ip);
	snprintf(addr, sizeof(addr), "%s:%d", ip, s->site.peer_port);
	if (net_addr(addr, &p->sa) == -1) {
		g_free(p);
		return NULL;
	}
	p->known_at = s->loop.now;
	p->share =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	p->demand = g_array_new(FALSE, FALSE, sizeof(demand_told_t));
	if (ps->npeer == ps->room) {
		ps->room = ps->room ? 2 * ps->room : 16;
		ps->peer = g_renew(peer_t *, ps->peer, ps->room);
	}
	ps->peer[ps->npeer++] = p;
	return p;
}

static void
drop(serve_t *s, peer_t *p)
{
	int i;

	for (i = 0; i < s->peers.npeer; i++)
		if (s->peers.peer[i] == p)
			s->peers.peer[i] = s->peers.peer[--s->peers.npeer];
	note(LOG_NOTICE, "instance", "instance_known=%s state=forgotten",
	    p->instance);
	forget_shares(p);
	g_hash_table_destroy(p->share);
	g_array_free(p->demand, TRUE);
	g_free(p);
}

/* What is told. */

static size_t
pack(serve_t *s, Digest__Digest *d, uint8_t *to)
{
	d->sender = s->peers.hash;
	d->incarnation = s->peers.incarnation;
	d->sequence = ++s->peers.sequence;
	d->ready = s->ready;
	d->leaving = s->leaving;
	d->holder = plan_tells(s);
	d->lease = plan_lease(s);
	d->waiting = (uint32_t)line_tokens(s, NULL);
	d->config_news = s->follow_config.news;
	d->endpoint_news = s->follow_endpoints.news;
	if (digest__digest__get_packed_size(d) > DATAGRAM_MAX) {
		note(LOG_WARNING, "digest-cut", "shares=%zu demands=%zu",
		    d->n_endpoint, d->n_demand);
		d->n_demand = 0;
	}
	if (digest__digest__get_packed_size(d) > DATAGRAM_MAX)
		d->n_endpoint = d->n_unread = d->n_running = d->n_memory =
		    d->n_sent = 0;
	return digest__digest__pack(d, to);
}

static void
post(serve_t *s, const struct sockaddr_in *to, const uint8_t *p, size_t n)
{
	/* A datagram that is lost is made good by the next. */
	sendto(s->peers.watch.fd, p, n, MSG_DONTWAIT | MSG_NOSIGNAL,
	    (const struct sockaddr *)to, sizeof(*to));
}

static void
post_all(serve_t *s, Digest__Digest *d)
{
	static uint8_t bytes[DATAGRAM_MAX];
	size_t n = pack(s, d, bytes);
	int i;

	for (i = 0; i < s->peers.npeer; i++)
		post(s, &s->peers.peer[i]->sa, bytes, n);
}

/* A digest in the making; each list holds one kind of its entries. */
typedef struct parcel {
	Digest__Digest d;
	Digest__Card card;
	GArray *endpoint, *unread, *running, *memory, *sent;
	GPtrArray *demand, *taken;
} parcel_t;

static void
parcel_init(parcel_t *c)
{
	GArray **list[] = { &c->endpoint, &c->unread, &c->running, &c->memory,
		&c->sent };
	size_t i;

	digest__digest__init(&c->d);
	for (i = 0; i < sizeof(list) / sizeof(list[0]); i++)
		*list[i] = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	c->demand = g_ptr_array_new_with_free_func(g_free);
	c->taken = g_ptr_array_new_with_free_func(g_free);
}

static void
parcel_close(parcel_t *c)
{
	Digest__Digest *d = &c->d;

	d->n_endpoint = d->n_unread = d->n_running = d->n_memory = d->n_sent =
	    c->endpoint->len;
	d->endpoint = (uint32_t *)(void *)c->endpoint->data;
	d->unread = (uint32_t *)(void *)c->unread->data;
	d->running = (uint32_t *)(void *)c->running->data;
	d->memory = (uint32_t *)(void *)c->memory->data;
	d->sent = (uint32_t *)(void *)c->sent->data;
	d->n_demand = c->demand->len;
	d->demand = (Digest__Demand **)c->demand->pdata;
	d->n_taken = c->taken->len;
	d->taken = (Digest__Taken **)c->taken->pdata;
}

static void
parcel_free(parcel_t *c)
{
	GArray *list[] = { c->endpoint, c->unread, c->running, c->memory,
		c->sent };
	size_t i;

	for (i = 0; i < sizeof(list) / sizeof(list[0]); i++)
		g_array_free(list[i], TRUE);
	g_ptr_array_free(c->demand, TRUE);
	g_ptr_array_free(c->taken, TRUE);
}

static void
put_card(serve_t *s, parcel_t *c)
{
	digest__card__init(&c->card);
	c->card.instance = s->site.instance;
	c->card.ip = s->site.ip;
	c->card.domain = s->site.domain;
	c->card.caller_addr = s->site.caller_addr;
	c->d.card = &c->card;
}

static void
put_shares(serve_t *s, parcel_t *c, bool all)
{
	int i;

	for (i = 0; i < s->fleet.nep; i++) {
		ep_t *p = s->fleet.ep[i];
		const burden_share_t *o = &p->burden.own;
		uint32_t v[] = { p->tag, (uint32_t)o->unread,
			(uint32_t)o->running,
			(uint32_t)(o->memory + MEMORY_UNIT - 1) / MEMORY_UNIT,
			p->sent };

		if (all ? o->running == 0 && p->sent == 0 : !p->touched)
			continue;
		p->touched = false;
		g_array_append_val(c->endpoint, v[0]);
		g_array_append_val(c->unread, v[1]);
		g_array_append_val(c->running, v[2]);
		g_array_append_val(c->memory, v[3]);
		g_array_append_val(c->sent, v[4]);
	}
}

static void
put_demand(serve_t *s, parcel_t *c, bool only_waiting)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, s->demand);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		demand_t *d = v;
		double work = demand_now(s, d);
		bool waits =
		    d->waiting_at != 0 && s->loop.now - d->waiting_at < BEAT_MS;
		Digest__Demand *m;

		if (only_waiting ? !waits : work < 1 && !waits)
			continue;
		m = g_new(Digest__Demand, 1);
		digest__demand__init(m);
		m->service = d->service;
		m->model = d->model;
		m->adapter = d->adapter;
		m->work = (uint32_t)work;
		m->waiting = waits;
		g_ptr_array_add(c->demand, m);
	}
}

static void
put_taken(serve_t *s, parcel_t *c)
{
	peers_t *ps = &s->peers;
	int i, kept = 0;

	for (i = 0; i < ps->ntaken; i++) {
		taken_t *t = &ps->taken[i];
		Digest__Taken *m;

		if (s->loop.now - t->since > TAKEN_MS)
			continue;
		ps->taken[kept] = *t;
		t = &ps->taken[kept++];
		m = g_new(Digest__Taken, 1);
		digest__taken__init(m);
		m->endpoint = t->endpoint;
		m->orders = (uint64_t)t->what.orders;
		m->model = t->what.model;
		m->adapter = t->what.adapter;
		m->load = t->what.load;
		m->in_ms = t->what.at > s->loop.now
			       ? (uint32_t)(t->what.at - s->loop.now)
			       : 0;
		g_ptr_array_add(c->taken, m);
	}
	ps->ntaken = kept;
}

/** How much a digest tells. */
typedef enum telling {
	TELL_SHARES, /* what changed at endpoints */
	TELL_LIFE,   /* a sign of life, with that */
	TELL_WHOLE,  /* all, and who we are */
	TELL_GOODBYE,
} telling_t;

static void
tell(serve_t *s, telling_t how)
{
	bool whole = how == TELL_WHOLE || how == TELL_GOODBYE;
	parcel_t c;

	parcel_init(&c);
	put_shares(s, &c, whole);
	if (how != TELL_SHARES || s->peers.tell_taken)
		put_taken(s, &c);
	if (whole)
		put_card(s, &c);
	s->peers.tell_taken = s->peers.tell_shares = false;
	s->peers.tell_news = false;
	s->peers.share_at = s->loop.now;
	c.d.whole = whole;
	c.d.goodbye = how == TELL_GOODBYE;
	parcel_close(&c);
	if (how != TELL_SHARES || c.d.n_endpoint > 0 || c.d.n_taken > 0)
		post_all(s, &c.d);
	parcel_free(&c);
}

void
peers_tell(serve_t *s)
{
	tell(s, TELL_WHOLE);
}

void
peers_goodbye(serve_t *s)
{
	tell(s, TELL_GOODBYE);
}

void
peers_taken(serve_t *s, ep_t *p, const learnt_t *l)
{
	peers_t *ps = &s->peers;

	if (ps->ntaken == TAKEN_KEPT) {
		memmove(ps->taken, ps->taken + 1,
		    (TAKEN_KEPT - 1) * sizeof(ps->taken[0]));
		ps->ntaken--;
	}
	ps->taken[ps->ntaken++] = (taken_t){ p->tag, *l, s->loop.now };
	ps->tell_taken = true;
}

/* Demand goes to the holder alone. */
static void
tell_demand(serve_t *s, bool all)
{
	static uint8_t bytes[DATAGRAM_MAX];
	parcel_t c;
	size_t n;
	int i;

	s->peers.tell_wants = false;
	s->peers.wants_at = s->loop.now;
	parcel_init(&c);
	put_demand(s, &c, !all);
	c.d.all_demand = all;
	parcel_close(&c);
	n = c.d.n_demand > 0 ? pack(s, &c.d, bytes) : 0;
	for (i = 0; i < s->peers.npeer && n > 0; i++)
		if (s->peers.peer[i]->holder)
			post(s, &s->peers.peer[i]->sa, bytes, n);
	parcel_free(&c);
}

static void
share_due(void *arg)
{
	serve_t *s = arg;

	s->peers.tell_shares = true;
}

void
peers_touched(serve_t *s, ep_t *p)
{
	peers_t *ps = &s->peers;
	ms_t span = (ms_t)SHARE_EACH_MS * ps->npeer;

	p->touched = true;
	line_wake(s);
	if (span < SHARE_LEAST_MS)
		span = SHARE_LEAST_MS;
	if (s->loop.now - ps->share_at >= span)
		ps->tell_shares = true;
	else if (ps->share.pos == 0)
		alarm_set(&s->loop, &ps->share, ps->share_at + span);
}

void
peers_turn(serve_t *s)
{
	if (s->peers.tell_news)
		tell(s, TELL_LIFE);
	else if (s->peers.tell_taken || s->peers.tell_shares)
		tell(s, TELL_SHARES);
	if (s->peers.tell_wants && !plan_holder(s) &&
	    s->loop.now - s->peers.wants_at >= WANTS_MS)
		tell_demand(s, false);
}

/* What others tell. */

static void
take_demand(serve_t *s, peer_t *p, const Digest__Digest *d)
{
	size_t i;

	if (!plan_holder(s))
		return;
	if (d->all_demand)
		g_array_set_size(p->demand, 0);
	for (i = 0; i < d->n_demand; i++) {
		const Digest__Demand *m = d->demand[i];
		demand_told_t t = { .work = m->work,
			.waiting = m->waiting,
			.at = s->loop.now };

		str_copy(t.service, ID_MAX, m->service);
		str_copy(t.model, ID_MAX, m->model);
		str_copy(t.adapter, ID_MAX, m->adapter);
		if (!d->all_demand)
			t.work = 0;
		g_array_append_val(p->demand, t);
		if (t.waiting)
			plan_wanted(s);
	}
}

static void
take_taken(serve_t *s, const Digest__Digest *d)
{
	bool some = false;
	size_t i;

	for (i = 0; i < d->n_taken; i++) {
		const Digest__Taken *m = d->taken[i];
		ep_t *ep = eps_by_tag(&s->fleet, m->endpoint);
		learnt_t l = { .orders = (int64_t)m->orders,
			.load = m->load,
			.at = s->loop.now + m->in_ms };

		if (ep == NULL)
			continue;
		str_copy(l.model, ID_MAX, m->model);
		str_copy(l.adapter, sizeof(l.adapter), m->adapter);
		some |= ep_learn(ep, &l);
	}
	if (some)
		calls_retry(s);
}

/* @return the sender, or NULL: not known, or it is an old digest. */
static peer_t *
sender(serve_t *s, const Digest__Digest *d, const struct sockaddr_in *from)
{
	char ip[ADDR_MAX];
	peer_t *p = find_hash(s, d->sender);

	inet_ntop(AF_INET, &from->sin_addr, ip, sizeof(ip));
	if (d->sender == s->peers.hash)
		return NULL;
	if (p != NULL && strcmp(p->ip, ip) != 0) {
		/* The instance has another address now. */
		drop(s, p);
		p = NULL;
	}
	if (p == NULL && d->card != NULL)
		p = add(s, d->card->instance, ip);
	if (p == NULL)
		return NULL;
	if (p->incarnation == d->incarnation &&
	    (int32_t)(d->sequence - p->sequence) <= 0)
		return NULL;
	if (p->incarnation != d->incarnation)
		forget_shares(p);
	p->incarnation = d->incarnation;
	p->sequence = d->sequence;
	if (d->card != NULL) {
		str_copy(p->domain, ID_MAX, d->card->domain);
		str_copy(p->caller_addr, ADDR_MAX, d->card->caller_addr);
	}
	return p;
}

static void
take(serve_t *s, const Digest__Digest *d, const struct sockaddr_in *from)
{
	peer_t *p = sender(s, d, from);
	bool was;
	size_t i, n = d->n_endpoint;

	if (p == NULL || d->n_unread != n || d->n_running != n ||
	    d->n_memory != n || d->n_sent != n)
		return;
	was = peer_alive(s, p) && p->ready && !p->leaving;
	p->heard_at = s->loop.now;
	p->ready = d->ready;
	p->leaving = d->leaving;
	p->holder = d->holder;
	p->goodbye = d->goodbye;
	p->waiting = (int)d->waiting;
	if (d->holder)
		plan_told(s, d->lease);
	if (was != (p->ready && !p->leaving && !p->goodbye))
		note(LOG_NOTICE, "instance",
		    "instance_known=%s state=%s holder=%d", p->instance,
		    p->goodbye	 ? "gone"
		    : p->leaving ? "leaving"
		    : p->ready	 ? "ready"
				 : "starting",
		    p->holder);
	if (p->goodbye) {
		forget_shares(p);
		return;
	}
	for (i = 0; i < n; i++)
		take_share(s, p, d, i);
	if (d->whole)
		drop_untold(p);
	take_demand(s, p, d);
	take_taken(s, d);
	follow_news(&s->follow_config, d->config_news);
	follow_news(&s->follow_endpoints, d->endpoint_news);
}

static void
readable(void *arg, uint32_t ev)
{
	serve_t *s = arg;
	static uint8_t bytes[DATAGRAM_MAX];
	struct sockaddr_in from;
	socklen_t len;
	ssize_t n;

	(void)ev;
	for (;;) {
		Digest__Digest *d;

		len = sizeof(from);
		n = recvfrom(s->peers.watch.fd, bytes, sizeof(bytes),
		    MSG_DONTWAIT, (struct sockaddr *)&from, &len);
		if (n <= 0)
			return;
		d = digest__digest__unpack(NULL, (size_t)n, bytes);
		if (d == NULL) {
			note(LOG_WARNING, "digest-unreadable", "bytes=%zd", n);
			continue;
		}
		take(s, d, &from);
		digest__digest__free_unpacked(d, NULL);
	}
}

/* Objects in the store: who there may be. */

static void
written(void *arg, int status, const char *text, size_t len)
{
	serve_t *s = arg;

	(void)text, (void)len;
	s->peers.writing = NULL;
	if (status < 200 || status > 299)
		note(LOG_WARNING, "instance-object", "status=%d", status);
}

/* Write our own object unless it stands in the store as it should. */
static void
join(serve_t *s)
{
	peers_t *ps = &s->peers;
	buf_t b = { 0 };
	json_t *j;
	char *spec;

	if (ps->writing != NULL || s->follow_instances.ever == 0 ||
	    ps->object > 0 || s->leaving)
		return;
	j = json_pack("{s:s,s:s,s:s}", "ip", s->site.ip, "domain",
	    s->site.domain, "caller_addr", s->site.caller_addr);
	spec = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	/* -1: it is there with other content. */
	objects_put(&b, KIND_INSTANCES, s->site.instance, ps->object, spec,
	    s->site.store_addr);
	free(spec);
	ps->writing = webcall(s, &s->store, &b, WRITE_MS, written, s);
}

void
peers_object(serve_t *s, const object_t *o)
{
	json_t *j = o->spec != NULL ? json_loads(o->spec, 0, NULL) : NULL;
	const char *ip = json_string_value(json_object_get(j, "ip"));
	const char *caller =
	    json_string_value(json_object_get(j, "caller_addr"));
	const char *domain = json_string_value(json_object_get(j, "domain"));
	bool self = strcmp(o->name, s->site.instance) == 0;
	peer_t *p = find(s, o->name);

	if (self)
		s->peers.object =
		    o->gone ? 0
		    : ip != NULL && caller != NULL &&
			    strcmp(ip, s->site.ip) == 0 &&
			    strcmp(caller, s->site.caller_addr) == 0
			? o->revision
			: -1;
	else if (o->gone && p != NULL && !peer_alive(s, p))
		drop(s, p);
	else if (o->gone && p != NULL)
		p->revision = 0;
	else if (!o->gone && ip != NULL) {
		if (p != NULL && strcmp(p->ip, ip) != 0 && !peer_alive(s, p)) {
			drop(s, p);
			p = NULL;
		}
		if (p == NULL)
			p = add(s, o->name, ip);
		if (p != NULL) {
			p->revision = o->revision;
			if (p->heard_at == 0 && caller != NULL) {
				str_copy(p->caller_addr, ADDR_MAX, caller);
				str_copy(p->domain, ID_MAX,
				    domain != NULL ? domain : "");
			}
		}
	}
	json_decref(j);
}

void
peers_sweep(serve_t *s, GHashTable *names)
{
	int i;

	if (!g_hash_table_contains(names, s->site.instance))
		s->peers.object = 0;
	for (i = s->peers.npeer - 1; i >= 0; i--) {
		peer_t *p = s->peers.peer[i];

		if (!g_hash_table_contains(names, p->instance) &&
		    !peer_alive(s, p))
			drop(s, p);
	}
}

static void
removed(void *arg, int status, const char *text, size_t len)
{
	(void)arg, (void)text, (void)len;
	note(LOG_NOTICE, "instance-removed", "status=%d", status);
}

/* The holder removes what is long silent. */
static void
prune(serve_t *s)
{
	int i;

	for (i = 0; i < s->peers.npeer; i++) {
		peer_t *p = s->peers.peer[i];
		ms_t since = p->heard_at != 0 ? p->heard_at : p->known_at;
		buf_t b = { 0 };

		if (p->revision == 0 || s->loop.now - since < SILENT_MS)
			continue;
		objects_delete(&b, KIND_INSTANCES, p->instance, p->revision,
		    s->site.store_addr);
		p->revision = 0;
		p->known_at = s->loop.now;
		webcall(s, &s->store, &b, WRITE_MS, removed, s);
	}
}

static void
beat(void *arg)
{
	serve_t *s = arg;
	int i;

	alarm_set(&s->loop, &s->peers.beat, s->loop.now + beat_ms(s));
	for (i = 0; i < s->peers.npeer; i++)
		if (!peer_alive(s, s->peers.peer[i]))
			forget_shares(s->peers.peer[i]);
	join(s);
	if (plan_holder(s))
		prune(s);
	else
		tell_demand(s, true);
	tell(s, s->peers.beats++ % WHOLE_BEATS == 0 ? TELL_WHOLE : TELL_LIFE);
}

int
peers_open(serve_t *s, err_t *e)
{
	peers_t *ps = &s->peers;
	char addr[ADDR_MAX + 8];

	snprintf(addr, sizeof(addr), "%s:%d", s->site.ip, s->site.peer_port);
	ps->watch = (watch_t){ net_datagram(addr, e), 0, readable, s };
	if (ps->watch.fd == -1)
		return -1;
	ps->hash = hash_str(s->site.instance, 0);
	ps->incarnation = (uint32_t)rng_next(&s->rng);
	ps->beat = (alarm_t){ .fn = beat, .arg = s };
	ps->share = (alarm_t){ .fn = share_due, .arg = s };
	alarm_set(&s->loop, &ps->beat, s->loop.now + JOIN_MS);
	return watch_add(&s->loop, &ps->watch, EPOLLIN);
}
