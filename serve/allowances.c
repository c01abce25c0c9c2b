#include "serve/allowances.h"

#include "policy/allowance.h"
#include "policy/giver.h"

#include <math.h>
#include <string.h>

enum {
	GROUPS_MAX = 32,
	ITEMS_MAX = 200,  /* in one datagram */
	TELL_MS = 200,	  /* members say that they are there */
	REPEAT_MS = 40,	  /* an ask without an answer is repeated */
	SILENT_MS = 250,  /* then another instance is asked */
	UNKNOWN_MS = 700, /* then the call is refused */
	UNKNOWN_RETRY_MS = 300,
	STALL_MS = 200,	  /* a loop turn that is so late */
	IGNORE_MS = 300,  /* what came meanwhile isn't answered */
	WINDOW_MS = 8000, /* if the settings give none */
	AMOUNT_MAX = 1 << 28,
};

typedef enum item_kind {
	ITEM_MEMBER,
	ITEM_LEFT,
	ITEM_ASK,
	ITEM_ANSWER,
	ITEM_BACK,
} item_kind_t;

/** A part of a message, to be sent at the end of the loop turn. */
typedef struct item {
	item_kind_t kind;
	struct sockaddr_in to;
	uint32_t value[3];
} item_t;

struct allowances {
	allowance_pool_t pool[GROUPS_MAX];
	giver_t giver[GROUPS_MAX];
	GHashTable
	    *by_organisation;	/* allowance_t, by the tag of an organisation */
	GHashTable *by_tag;	/* organisation_t of the configuration */
	const config_t *config; /* of by_tag */
	bool used;		/* an organisation has a limit */
	GHashTable *asking;	/* call_t, by its number */
	uint32_t number;	/* of the last call that asked */
	ms_t ignore_until;
	alarm_t alarm;
	GArray *out; /* item_t */
};

static uint32_t
tag_of(const organisation_t *o)
{
	return (uint32_t)hash_str(o->name, 0);
}

static void
count_ask(const char *result)
{
	char name[96];

	snprintf(name, sizeof(name),
	    "ebonypitch_allowance_asks_total{result=\"%s\"}", result);
	counter_add(counter_get(name,
			"Calls that asked for their organisation's allowance."),
	    1);
}

/* All instances there are, as far as the store and their messages tell. */
static int
instances(const serve_t *s)
{
	int i, n = 1;

	for (i = 0; i < s->peers.npeer; i++)
		n += s->peers.peer[i]->revision != 0 ||
		     peer_alive(s, s->peers.peer[i]);
	return n;
}

static uint32_t
group_of(const serve_t *s, const organisation_t *o)
{
	int n = giver_groups(instances(s));

	return (uint32_t)(hash_str(o->name, 1) %
			  (uint64_t)(n < GROUPS_MAX ? n : GROUPS_MAX));
}

static allowance_limit_t
limit_of(const serve_t *s, const organisation_t *o)
{
	const deployment_bounds_t *b = &s->conf.bounds;

	/* The slack is in tokens. */
	return (allowance_limit_t){ o->rate, o->burst,
		o->by_tokens ? b->allowance_slack : 0,
		b->allowance_window > 0 ? b->allowance_window : WINDOW_MS };
}

/* What the call counts. */
static double
amount_of(const call_t *c)
{
	double tokens = (double)c->request.prompt + c->request.output;

	if (!c->organisation->by_tokens)
		return 1;
	tokens = c->request.prompt <= 0 && c->request.output <= 0
		     ? c->organisation->plain_tokens
		     : fmax(tokens, 0);
	return fmin(tokens, AMOUNT_MAX);
}

/* The organisations of the configuration in force. */
static void
read_organisations(serve_t *s)
{
	struct allowances *a = s->allowances;
	int i;

	if (a->config == s->config)
		return;
	config_unref((config_t *)a->config);
	a->config = s->config != NULL ? config_ref(s->config) : NULL;
	a->used = false;
	g_hash_table_remove_all(a->by_tag);
	for (i = 0; s->config != NULL && i < s->config->norganisation; i++) {
		organisation_t *o = &s->config->organisation[i];

		a->used |= o->rate > 0;
		g_hash_table_insert(a->by_tag, GUINT_TO_POINTER(tag_of(o)), o);
	}
}

/* Messages. */

static void
add(serve_t *s, item_kind_t kind, const struct sockaddr_in *to, uint32_t v0,
    uint32_t v1, uint32_t v2)
{
	item_t i = { kind, *to, { v0, v1, v2 } };

	g_array_append_val(s->allowances->out, i);
}

/** A message under construction. */
typedef struct message {
	Digest__AllowanceMessage m;
	uint32_t list[10][ITEMS_MAX];
} message_t;

static void
put(message_t *t, const item_t *i)
{
	Digest__AllowanceMessage *m = &t->m;

	switch (i->kind) {
	case ITEM_MEMBER:
		t->list[0][m->n_member++] = i->value[0];
		break;
	case ITEM_LEFT:
		t->list[1][m->n_left++] = i->value[0];
		break;
	case ITEM_ASK:
		t->list[2][m->n_ask_call] = i->value[0];
		t->list[3][m->n_ask_call] = i->value[1];
		t->list[4][m->n_ask_call++] = i->value[2];
		break;
	case ITEM_ANSWER:
		t->list[5][m->n_answer_call] = i->value[0];
		t->list[6][m->n_answer_call++] = i->value[1];
		break;
	case ITEM_BACK:
		t->list[7][m->n_back_organisation] = i->value[0];
		t->list[8][m->n_back_organisation] = i->value[1];
		t->list[9][m->n_back_organisation++] = i->value[2];
		break;
	}
}

static void
send_message(serve_t *s, message_t *t, const struct sockaddr_in *to)
{
	static uint8_t bytes[DATAGRAM_MAX];
	Digest__AllowanceMessage *m = &t->m;
	Digest__Digest d = DIGEST__DIGEST__INIT;
	uint32_t **field[] = { &m->member, &m->left, &m->ask_call,
		&m->ask_organisation, &m->ask_amount, &m->answer_call,
		&m->answer_wait, &m->back_organisation, &m->back_amount,
		&m->back_ago };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(field); i++)
		*field[i] = t->list[i];
	m->n_ask_organisation = m->n_ask_amount = m->n_ask_call;
	m->n_answer_wait = m->n_answer_call;
	m->n_back_amount = m->n_back_ago = m->n_back_organisation;
	d.sender = s->peers.hash;
	d.incarnation = s->peers.incarnation;
	d.allowance = m;
	if (digest__digest__get_packed_size(&d) <= sizeof(bytes))
		send_datagram(s, to, bytes, digest__digest__pack(&d, bytes));
}

static bool
is_to(const item_t *i, const struct sockaddr_in *to)
{
	return i->to.sin_addr.s_addr == to->sin_addr.s_addr &&
	       i->to.sin_port == to->sin_port;
}

/* What is known of members is out of date, and so is what came meanwhile. */
static void
note_stall(serve_t *s)
{
	int i;

	if (s->loop.late <= STALL_MS ||
	    s->allowances->ignore_until >= s->loop.now + IGNORE_MS)
		return;
	s->allowances->ignore_until = s->loop.now + IGNORE_MS;
	for (i = 0; i < GROUPS_MAX; i++)
		if (s->allowances->pool[i].at != 0)
			allowance_pool_reset(&s->allowances->pool[i]);
}

void
allowances_flush(serve_t *s)
{
	static message_t t;
	GArray *out = s->allowances->out;
	guint i, kept, n;

	note_stall(s);
	while (out->len > 0) {
		struct sockaddr_in to = g_array_index(out, item_t, 0).to;

		digest__allowance_message__init(&t.m);
		for (i = kept = n = 0; i < out->len; i++) {
			const item_t *x = &g_array_index(out, item_t, i);

			if (n < ITEMS_MAX && is_to(x, &to)) {
				put(&t, x);
				n++;
			} else {
				g_array_index(out, item_t, kept++) = *x;
			}
		}
		g_array_set_size(out, kept);
		send_message(s, &t, &to);
	}
}

/* Which instance gives. */

static bool
may_give(const serve_t *s)
{
	return s->ready && !s->leaving &&
	       s->instances_watch.first_listed_at != 0 &&
	       s->loop.now >= s->allowances->ignore_until;
}

static int
candidates(const serve_t *s, giver_candidate_t **out)
{
	giver_candidate_t *c =
	    g_new(giver_candidate_t, (gsize)s->peers.npeer + 1);
	int i, n = 0;

	if (may_give(s))
		c[n++] = (giver_candidate_t){ s->peers.hash, own_cpu_share(s) };
	for (i = 0; i < s->peers.npeer; i++) {
		const peer_t *p = s->peers.peer[i];

		if (p->gives && p->ready && !p->leaving && peer_alive(s, p))
			c[n++] = (giver_candidate_t){ p->hash, p->cpu_millis };
	}
	*out = c;
	return giver_strong(c, n);
}

/* @return whether the present giver of a group gives no more, by its word */
static bool
has_ended(const serve_t *s, const giver_t *g)
{
	const peer_t *p;

	if (g->instance == s->peers.hash)
		return s->leaving;
	p = peer_by_hash(s, g->instance);
	return p != NULL && p->leaving;
}

static void
giver_changed(serve_t *s, uint32_t group, uint64_t before)
{
	const giver_t *g = &s->allowances->giver[group];
	const peer_t *old = peer_by_hash(s, before);
	const peer_t *now = peer_by_hash(s, g->instance);

	log_limited(LOG_NOTICE, "allowance-giver",
	    "group=%u instance_to=%s before=%s", group,
	    now != NULL ? now->instance : s->conf.instance,
	    old != NULL ? old->instance : "-");
	if (before == s->peers.hash)
		allowance_left(
		    &s->allowances->pool[group], s->peers.hash, s->loop.now);
	else if (old != NULL)
		add(s, ITEM_LEFT, &old->sa, group, 0, 0);
}

/*
 * The instance to ask, which counts this one as a member from now on.
 * @param to its address, unless it is this instance
 * @return its hash, 0: none now
 */
static uint64_t
join(serve_t *s, uint32_t group, struct sockaddr_in *to)
{
	giver_t *g = &s->allowances->giver[group];
	uint64_t before = g->instance, giver;
	allowance_limit_t l = limit_of(s, &(organisation_t){ 0 });
	giver_candidate_t *c;
	const peer_t *p;
	int n = candidates(s, &c);

	giver = giver_choose(g, group, s->peers.hash, c, n, l.window,
	    has_ended(s, g), s->loop.now);
	g_free(c);
	if (giver != 0 && giver != before)
		giver_changed(s, group, before);
	if (giver == s->peers.hash) {
		allowance_heard(&s->allowances->pool[group], giver,
		    instances(s), s->loop.now);
		giver_told(g, s->loop.now);
		return giver;
	}
	p = giver != 0 ? peer_by_hash(s, giver) : NULL;
	if (p == NULL)
		return 0;
	*to = p->sa;
	add(s, ITEM_MEMBER, to, group, 0, 0);
	giver_told(g, s->loop.now);
	return giver;
}

/* Giving. */

static allowance_t *
allowance_of(serve_t *s, uint32_t tag)
{
	GHashTable *t = s->allowances->by_organisation;
	allowance_t *a = g_hash_table_lookup(t, GUINT_TO_POINTER(tag));

	if (a == NULL) {
		a = g_new0(allowance_t, 1);
		g_hash_table_insert(t, GUINT_TO_POINTER(tag), a);
	}
	return a;
}

/* @return 0: granted, ms until there is room, or -1: not to be answered */
static ms_t
take(serve_t *s, uint32_t tag, double amount, uint64_t key)
{
	const organisation_t *o =
	    g_hash_table_lookup(s->allowances->by_tag, GUINT_TO_POINTER(tag));
	allowance_limit_t l;

	if (o == NULL)
		return -1;
	if (o->rate <= 0)
		return 0;
	l = limit_of(s, o);
	return allowance_take(allowance_of(s, tag),
	    &s->allowances->pool[group_of(s, o)], &l, amount, key, s->loop.now);
}

static void
take_back(serve_t *s, uint32_t tag, double amount, ms_t granted_at)
{
	const organisation_t *o =
	    g_hash_table_lookup(s->allowances->by_tag, GUINT_TO_POINTER(tag));
	allowance_limit_t l;

	if (o == NULL || o->rate <= 0)
		return;
	l = limit_of(s, o);
	allowance_give_back(allowance_of(s, tag),
	    &s->allowances->pool[group_of(s, o)], &l, amount, granted_at,
	    s->loop.now);
}

/* Asking. */

static call_t *
asking_call(const serve_t *s, uint32_t number)
{
	return g_hash_table_lookup(
	    s->allowances->asking, GUINT_TO_POINTER(number));
}

static void
stop_asking(call_t *c)
{
	if (c->allowance.number == 0)
		return;
	g_hash_table_remove(
	    c->s->allowances->asking, GUINT_TO_POINTER(c->allowance.number));
	c->allowance.number = 0;
}

/* @return whether the call was granted; else it has ended */
static bool
decide(call_t *c, ms_t wait)
{
	stop_asking(c);
	if (wait == 0) {
		c->allowance.granted_at = c->s->loop.now;
		count_ask("granted");
		return true;
	}
	count_ask("over");
	call_answer_error(c, 429, "over the organisation's allowance", wait);
	return false;
}

/* @return whether it was decided at once, as this instance gives */
static bool
send_ask(call_t *c, ms_t *wait)
{
	serve_t *s = c->s;
	uint32_t tag = tag_of(c->organisation);
	struct sockaddr_in to;

	c->allowance.asked_at = s->loop.now;
	c->allowance.giver = join(s, group_of(s, c->organisation), &to);
	if (c->allowance.giver == 0)
		return false;
	if (c->allowance.giver == s->peers.hash) {
		*wait = take(s, tag, c->allowance.amount,
		    allowance_key(s->peers.hash, s->peers.incarnation,
			c->allowance.number));
		return *wait >= 0;
	}
	add(s, ITEM_ASK, &to, c->allowance.number, tag,
	    (uint32_t)ceil(c->allowance.amount));
	return false;
}

bool
allowance_ask(call_t *c)
{
	serve_t *s = c->s;
	struct allowances *a = s->allowances;
	ms_t wait;

	/* The instance that handed it over has asked. */
	if (c->organisation == NULL || c->organisation->rate <= 0 ||
	    c->from_instance)
		return false;
	read_organisations(s);
	if (++a->number == 0)
		a->number = 1;
	c->allowance.number = a->number;
	c->allowance.amount = amount_of(c);
	c->allowance.begun_at = s->loop.now;
	g_hash_table_insert(a->asking, GUINT_TO_POINTER(a->number), c);
	c->state = CALL_ALLOWANCE;
	if (send_ask(c, &wait))
		return !decide(c, wait);
	call_set_timer(c);
	return true;
}

ms_t
allowance_next(const call_t *c)
{
	return c->allowance.asked_at + REPEAT_MS;
}

void
allowance_timer(call_t *c)
{
	serve_t *s = c->s;
	ms_t now = s->loop.now, waited = now - c->allowance.begun_at, wait;
	giver_t *g;

	if (waited >= UNKNOWN_MS) {
		stop_asking(c);
		count_ask("unanswered");
		call_answer_error(c, 503,
		    "no instance gives the organisation's allowance",
		    UNKNOWN_RETRY_MS);
		return;
	}
	g = &s->allowances->giver[group_of(s, c->organisation)];
	if (waited >= SILENT_MS && !c->allowance.silent) {
		c->allowance.silent = true;
		if (g->instance == c->allowance.giver &&
		    g->instance != s->peers.hash)
			giver_silent(g, now);
	}
	if (now >= allowance_next(c) && send_ask(c, &wait)) {
		if (decide(c, wait))
			call_allowed(c);
		return;
	}
	call_set_timer(c);
}

void
allowance_end(call_t *c)
{
	serve_t *s = c->s;
	uint32_t tag;
	const peer_t *to;

	stop_asking(c);
	if (c->allowance.granted_at == 0 || c->may_have_run)
		return;
	tag = tag_of(c->organisation);
	if (c->allowance.giver == s->peers.hash)
		take_back(s, tag, c->allowance.amount, c->allowance.granted_at);
	else if ((to = peer_by_hash(s, c->allowance.giver)) != NULL)
		add(s, ITEM_BACK, &to->sa, tag,
		    (uint32_t)ceil(c->allowance.amount),
		    (uint32_t)(s->loop.now - c->allowance.granted_at));
	c->allowance.granted_at = 0;
}

/* What other instances send. */

static bool
lists_match(const Digest__AllowanceMessage *m)
{
	return m->n_ask_organisation == m->n_ask_call &&
	       m->n_ask_amount == m->n_ask_call &&
	       m->n_answer_wait == m->n_answer_call &&
	       m->n_back_amount == m->n_back_organisation &&
	       m->n_back_ago == m->n_back_organisation;
}

/* Asks and other words of a member. */
static void
receive_asks(serve_t *s, const peer_t *p, uint32_t incarnation,
    const Digest__AllowanceMessage *m)
{
	struct allowances *a = s->allowances;
	ms_t wait;
	size_t i;

	for (i = 0; i < m->n_left; i++)
		if (m->left[i] < GROUPS_MAX)
			allowance_left(
			    &a->pool[m->left[i]], p->hash, s->loop.now);
	for (i = 0; i < m->n_member; i++)
		if (m->member[i] < GROUPS_MAX)
			allowance_heard(&a->pool[m->member[i]], p->hash,
			    instances(s), s->loop.now);
	for (i = 0; i < m->n_ask_call; i++) {
		wait = take(s, m->ask_organisation[i], m->ask_amount[i],
		    allowance_key(p->hash, incarnation, m->ask_call[i]));
		if (wait >= 0)
			add(s, ITEM_ANSWER, &p->sa, m->ask_call[i],
			    wait == 0 ? 0 : (uint32_t)wait + 1, 0);
	}
	for (i = 0; i < m->n_back_organisation; i++)
		take_back(s, m->back_organisation[i], m->back_amount[i],
		    s->loop.now - (ms_t)m->back_ago[i]);
}

void
allowances_receive(
    serve_t *s, const Digest__Digest *d, const struct sockaddr_in *from)
{
	const Digest__AllowanceMessage *m = d->allowance;
	const peer_t *p = peer_at(s, from);
	uint32_t wait;
	call_t *c;
	size_t i;

	if (p == NULL || !lists_match(m))
		return;
	note_stall(s);
	read_organisations(s);
	if (may_give(s))
		receive_asks(s, p, d->incarnation, m);
	for (i = 0; i < m->n_answer_call; i++) {
		c = asking_call(s, m->answer_call[i]);
		wait = m->answer_wait[i];
		if (c == NULL || c->allowance.giver != p->hash)
			continue;
		if (decide(c, wait == 0 ? 0 : (ms_t)wait - 1))
			call_allowed(c);
	}
}

/* Says that this instance is a member, where no ask has said so lately. */
static void
on_alarm(void *arg)
{
	serve_t *s = arg;
	struct allowances *a = s->allowances;
	struct sockaddr_in to;
	uint32_t group;
	int n = giver_groups(instances(s));

	alarm_set(&s->loop, &a->alarm, s->loop.now + TELL_MS);
	read_organisations(s);
	if (!a->used || s->instances_watch.first_listed_at == 0)
		return;
	for (group = 0; group < (uint32_t)n && group < GROUPS_MAX; group++)
		if (s->loop.now - a->giver[group].told_at >= TELL_MS / 2)
			join(s, group, &to);
}

void
allowances_init(serve_t *s)
{
	struct allowances *a = g_new0(struct allowances, 1);

	a->by_organisation =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	a->by_tag = g_hash_table_new(g_direct_hash, g_direct_equal);
	a->asking = g_hash_table_new(g_direct_hash, g_direct_equal);
	a->out = g_array_new(FALSE, FALSE, sizeof(item_t));
	a->number = (uint32_t)rng_next(&s->rng);
	a->alarm = (alarm_t){ .fn = on_alarm, .arg = s };
	s->allowances = a;
	alarm_set(&s->loop, &a->alarm, s->loop.now + TELL_MS);
}
