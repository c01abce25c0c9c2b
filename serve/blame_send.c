/*
 * What instances tell each other of what crashes endpoints. A datagram may be
 * lost, so each report is sent several times; receivers join the repeats.
 */
#include "serve/blame.h"
#include "serve/spread.h"

enum {
	SENDS = 3, /* of each report */
	SEND_INTERVAL_MS = 60,
	/* With all that else may be in a datagram they have DATAGRAM_MAX. */
	REPORTS_PER_DATAGRAM = 10,
	ASK_INTERVAL_MS = 1000, /* for one suspect */
	/*
	 * An instance waits before it tells of a passing, as another one may
	 * have told the same: a random time, up to this for each instance.
	 */
	NEWS_DELAY_PER_PEER_MS = 2,
	NEWS_DELAY_MAX_MS = 100,
	CHECKERS_MAX = 16, /* instances asked whether an endpoint has ended */
};

/** Kind of evidence. */
typedef enum evidence_kind {
	EVIDENCE_CRASH,
	EVIDENCE_PASSED,
} evidence_kind_t;

/** Evidence of this instance that is still to be sent. */
typedef struct unsent_evidence {
	evidence_kind_t kind;
	int sends; /* left */
	union {
		blame_crash_t crash;
		struct {
			suspect_t what;
			ms_t at;
		} passed;
	};
} unsent_evidence_t;

/** A message and the arrays of its fields. */
typedef struct message {
	Digest__Blame m;
	Digest__EndpointCrash crash[REPORTS_PER_DATAGRAM];
	Digest__EndpointCrash *crash_list[REPORTS_PER_DATAGRAM];
	uint64_t suspect[REPORTS_PER_DATAGRAM][BLAME_SUSPECTS_MAX];
	uint32_t call[REPORTS_PER_DATAGRAM][BLAME_SUSPECTS_MAX];
	uint32_t kind[REPORTS_PER_DATAGRAM][BLAME_SUSPECTS_MAX];
	uint64_t passed[BLAME_NEWS_MAX];
	uint32_t passed_ago[BLAME_NEWS_MAX], passed_kind[BLAME_NEWS_MAX];
	Digest__Blamed blamed[BLAME_MAX];
	Digest__Blamed *blamed_list[BLAME_MAX];
} message_t;

static void
message_init(message_t *t)
{
	int i;

	digest__blame__init(&t->m);
	t->m.crash = t->crash_list;
	t->m.passed = t->passed;
	t->m.passed_ago = t->passed_ago;
	t->m.passed_kind = t->passed_kind;
	t->m.blamed = t->blamed_list;
	for (i = 0; i < REPORTS_PER_DATAGRAM; i++)
		t->crash_list[i] = &t->crash[i];
	for (i = 0; i < BLAME_MAX; i++)
		t->blamed_list[i] = &t->blamed[i];
}

static uint32_t
age(const serve_t *s, ms_t at)
{
	return at < s->loop.now ? (uint32_t)(s->loop.now - at) : 0;
}

static void
add_crash(const serve_t *s, message_t *t, const blame_crash_t *c)
{
	size_t at = t->m.n_crash;
	Digest__EndpointCrash *to = &t->crash[at];
	int i;

	digest__endpoint_crash__init(to);
	to->endpoint = c->endpoint;
	to->ago = age(s, c->at);
	for (i = 0; i < c->nsuspect; i++) {
		t->suspect[at][i] = c->suspect[i].what.id;
		t->kind[at][i] = c->suspect[i].what.kind;
		t->call[at][i] = c->suspect[i].call;
	}
	to->suspect = t->suspect[at];
	to->kind = t->kind[at];
	to->call = t->call[at];
	to->n_suspect = to->n_kind = to->n_call = (size_t)c->nsuspect;
	t->m.n_crash++;
}

static void
add_passed(const serve_t *s, message_t *t, suspect_t what, ms_t at)
{
	size_t n = t->m.n_passed;

	t->passed[n] = what.id;
	t->passed_kind[n] = what.kind;
	t->passed_ago[n] = age(s, at);
	t->m.n_passed = t->m.n_passed_ago = t->m.n_passed_kind = n + 1;
}

static void
add_blamed(const serve_t *s, message_t *t)
{
	const blame_t *b = &s->blame->blame;
	int i;

	for (i = 0; i < b->nblamed; i++) {
		const blamed_t *p = &b->blamed[i];
		Digest__Blamed *to = &t->blamed[i];

		digest__blamed__init(to);
		to->id = p->what.id;
		to->kind = p->what.kind;
		to->crash_ago = age(s, p->crash_at);
		to->trials = (uint32_t)p->trials;
		to->trial_in = p->trial_at > s->loop.now
				   ? (uint32_t)(p->trial_at - s->loop.now)
				   : 0;
	}
	t->m.n_blamed = (size_t)b->nblamed;
}

static void
message_send(serve_t *s, Digest__Blame *m, const struct sockaddr_in *to)
{
	Digest__Digest d = DIGEST__DIGEST__INIT;

	d.blame = m;
	spread_to(s, &d, to);
}

static void
message_spread(serve_t *s, Digest__Blame *m)
{
	Digest__Digest d = DIGEST__DIGEST__INIT;

	d.blame = m;
	spread(s, &d, &m->pass_on);
}

/* Sending. */

static bool
has_room(const message_t *t, const unsent_evidence_t *e)
{
	switch (e->kind) {
	case EVIDENCE_CRASH:
		return t->m.n_crash < REPORTS_PER_DATAGRAM;
	case EVIDENCE_PASSED:
		return t->m.n_passed < BLAME_NEWS_MAX;
	}
	return false;
}

static void
add_evidence(const serve_t *s, message_t *t, const unsent_evidence_t *e)
{
	switch (e->kind) {
	case EVIDENCE_CRASH:
		add_crash(s, t, &e->crash);
		break;
	case EVIDENCE_PASSED:
		add_passed(s, t, e->passed.what, e->passed.at);
		break;
	}
}

static void
take_news(blame_feed_t *f)
{
	unsent_evidence_t news = { .kind = EVIDENCE_PASSED, .sends = SENDS };

	while (f->news_due &&
	       blame_next_news(&f->blame, &news.passed.what, &news.passed.at))
		g_array_append_val(f->unsent, news);
	f->news_due = false;
}

/* Send all that is due, in as many datagrams as it takes. */
static void
send_due(void *arg)
{
	serve_t *s = arg;
	blame_feed_t *f = s->blame;
	static message_t t;
	guint i;

	take_news(f);
	message_init(&t);
	for (i = 0; i < f->unsent->len; i++) {
		unsent_evidence_t *e =
		    &g_array_index(f->unsent, unsent_evidence_t, i);

		if (!has_room(&t, e)) {
			message_spread(s, &t.m);
			message_init(&t);
		}
		add_evidence(s, &t, e);
		if (--e->sends == 0)
			g_array_remove_index(f->unsent, i--);
	}
	if (f->blamed_sends > 0) {
		f->blamed_sends--;
		add_blamed(s, &t);
	}
	if (t.m.n_crash + t.m.n_passed + t.m.n_blamed > 0)
		message_spread(s, &t.m);
	if (f->unsent->len > 0 || f->blamed_sends > 0)
		alarm_set(
		    &s->loop, &f->send_alarm, s->loop.now + SEND_INTERVAL_MS);
}

static void
send_by(serve_t *s, ms_t at)
{
	alarm_t *a = &s->blame->send_alarm;

	if (a->pos == 0 || a->at > at)
		alarm_set(&s->loop, a, at);
}

void
blame_send_crash(serve_t *s, const blame_crash_t *c)
{
	unsent_evidence_t e = {
		.kind = EVIDENCE_CRASH, .sends = SENDS, .crash = *c
	};

	g_array_append_val(s->blame->unsent, e);
	send_by(s, s->loop.now);
}

int
blame_ask_check(serve_t *s, uint32_t endpoint)
{
	Digest__Blame m = DIGEST__BLAME__INIT;
	int i, n = s->peers.npeer, asked = 0;
	uint64_t from = rng_next(&s->rng);

	m.check_asked = &endpoint;
	m.n_check_asked = 1;
	for (i = 0; i < n && asked < CHECKERS_MAX; i++) {
		const peer_t *p =
		    s->peers.peer[(from + (uint64_t)i) % (uint64_t)n];

		if (!peer_alive(s, p) || p->leaving)
			continue;
		message_send(s, &m, &p->sa);
		asked++;
	}
	return asked;
}

void
blame_send_check(serve_t *s, uint32_t endpoint, check_result_t result,
    const struct sockaddr_in *to)
{
	Digest__Blame m = DIGEST__BLAME__INIT;
	uint32_t v = result;

	m.checked = &endpoint;
	m.check_result = &v;
	m.n_checked = m.n_check_result = 1;
	message_send(s, &m, to);
}

void
blame_send_blamed(serve_t *s)
{
	s->blame->blamed_sends = SENDS;
	send_by(s, s->loop.now);
}

void
blame_tell_holder(serve_t *s)
{
	const blame_t *b = &s->blame->blame;
	const peer_t *holder = live_holder(s);
	static message_t t;
	int i;

	for (i = 0; i < b->nblamed && b->blamed[i].holder_knows; i++)
		;
	if (i == b->nblamed || holder == NULL)
		return;
	message_init(&t);
	add_blamed(s, &t);
	message_send(s, &t.m, &holder->sa);
}

void
blame_send_news(serve_t *s)
{
	int most = NEWS_DELAY_PER_PEER_MS * s->peers.npeer;

	if (s->blame->news_due)
		return;
	s->blame->news_due = true;
	if (most > NEWS_DELAY_MAX_MS)
		most = NEWS_DELAY_MAX_MS;
	send_by(s, s->loop.now + (ms_t)(rng_unit(&s->rng) * most));
}

void
blame_ask_trial(serve_t *s, suspect_t what)
{
	Digest__Blame m = DIGEST__BLAME__INIT;
	blamed_t *p = blame_find(&s->blame->blame, what);
	uint32_t kind = what.kind;
	const peer_t *holder = live_holder(s);

	if (p == NULL || holder == NULL ||
	    is_recent(p->trial_asked_at, s->loop.now, ASK_INTERVAL_MS))
		return;
	p->trial_asked_at = s->loop.now;
	m.trial_asked = &what.id;
	m.trial_asked_kind = &kind;
	m.n_trial_asked = m.n_trial_asked_kind = 1;
	message_send(s, &m, &holder->sa);
}

/* What other instances send. */

/* The suspect at an index of two lists. @return false: of no known kind */
static bool
suspect_read(const uint64_t *id, const uint32_t *kind, size_t nkind, size_t at,
    suspect_t *to)
{
	uint32_t k = at < nkind ? kind[at] : SUSPECT_PART;

	*to = (suspect_t){ (suspect_kind_t)k, id[at] };
	return k < SUSPECT_KINDS;
}

static void
receive_crash(serve_t *s, const Digest__EndpointCrash *m)
{
	blame_crash_t c = { .endpoint = m->endpoint,
		.at = s->loop.now - (ms_t)m->ago };
	size_t i;

	for (i = 0; i < m->n_suspect && i < m->n_call && i < BLAME_SUSPECTS_MAX;
	     i++)
		if (suspect_read(m->suspect, m->kind, m->n_kind, i,
			&c.suspect[c.nsuspect].what))
			c.suspect[c.nsuspect++].call = m->call[i];
	blame_add_crash(&s->blame->blame, &c);
}

static void
receive_blamed(serve_t *s, const Digest__Blamed *m, bool from_holder)
{
	blamed_t p = { .what = { (suspect_kind_t)m->kind, m->id },
		.crash_at = s->loop.now - (ms_t)m->crash_ago,
		.trials = (int)m->trials,
		.trial_at = s->loop.now + (ms_t)m->trial_in };
	blamed_t *known;

	if (m->kind >= SUSPECT_KINDS)
		return;
	blame_adopt(&s->blame->blame, &p);
	known = blame_find(&s->blame->blame, p.what);
	if (known != NULL)
		known->holder_knows |= from_holder;
}

static void
grant_trials(serve_t *s, const Digest__Blame *m, const struct sockaddr_in *from)
{
	size_t i;

	for (i = 0; i < m->n_trial_asked && plan_holder_valid(s); i++) {
		Digest__Blame answer = DIGEST__BLAME__INIT;
		suspect_t what;
		uint32_t kind;
		blamed_t *p;

		if (!suspect_read(m->trial_asked, m->trial_asked_kind,
			m->n_trial_asked_kind, i, &what))
			continue;
		p = blame_find(&s->blame->blame, what);
		if (p == NULL || !blame_trial_due(p, s->loop.now))
			continue;
		blame_trial_granted(p, s->loop.now);
		kind = what.kind;
		answer.trial_granted = &what.id;
		answer.trial_granted_kind = &kind;
		answer.n_trial_granted = answer.n_trial_granted_kind = 1;
		message_send(s, &answer, from);
	}
}

static void
receive_checks(
    serve_t *s, const Digest__Blame *m, const struct sockaddr_in *from)
{
	size_t i;

	for (i = 0; i < m->n_check_asked; i++)
		crash_check_asked(s, m->check_asked[i], from);
	for (i = 0; i < m->n_checked && i < m->n_check_result; i++)
		if (m->check_result[i] <= CHECK_UNKNOWN)
			crash_check_answered(s, m->checked[i],
			    (check_result_t)m->check_result[i]);
}

void
blame_receive(serve_t *s, Digest__Blame *m, const struct sockaddr_in *from)
{
	Digest__Digest copy = DIGEST__DIGEST__INIT;
	blame_t *b = &s->blame->blame;
	const peer_t *peer = peer_at(s, from);
	suspect_t what;
	size_t i;

	if (peer == NULL)
		return;
	copy.blame = m;
	spread_on(s, &copy, &m->pass_on);
	for (i = 0; i < m->n_passed && i < m->n_passed_ago; i++)
		if (suspect_read(m->passed, m->passed_kind, m->n_passed_kind, i,
			&what) &&
		    blame_passed(
			b, what, s->loop.now - (ms_t)m->passed_ago[i], false))
			blame_log_cleared(what, "told by an instance");
	for (i = 0; i < m->n_crash; i++)
		receive_crash(s, m->crash[i]);
	for (i = 0; i < m->n_blamed; i++)
		receive_blamed(s, m->blamed[i], peer->holder);
	receive_checks(s, m, from);
	grant_trials(s, m, from);
	for (i = 0; i < m->n_trial_granted; i++) {
		blamed_t *p = NULL;

		if (suspect_read(m->trial_granted, m->trial_granted_kind,
			m->n_trial_granted_kind, i, &what))
			p = blame_find(b, what);
		if (p != NULL)
			p->trial_granted_until = s->loop.now + BLAME_GRANT_MS;
	}
	if (b->nnews > 0)
		blame_send_news(s);
	blame_enforce(s);
	blame_evidence_changed(s);
}

void
blame_send_init(serve_t *s)
{
	s->blame->unsent = g_array_new(FALSE, FALSE, sizeof(unsent_evidence_t));
	s->blame->send_alarm = (alarm_t){ .fn = send_due, .arg = s };
}
