/*
 * What instances tell each other of prompt parts that crash endpoints. A
 * datagram may be lost, so each report is sent several times; receivers join
 * the repeats.
 */
#include "serve/blame.h"
#include "serve/spread.h"

enum {
	SENDS = 3, /* of each report */
	SEND_INTERVAL_MS = 60,
	REPORTS_PER_DATAGRAM = 16,
	ASK_INTERVAL_MS = 1000, /* for one part */
	/*
	 * An instance waits before it tells of a beginning, as another one may
	 * have told the same: a random time, up to this for each instance.
	 */
	NEWS_DELAY_PER_PEER_MS = 2,
	NEWS_DELAY_MAX_MS = 100,
};

/** Kind of evidence. */
typedef enum evidence_kind {
	EVIDENCE_CRASH,
	EVIDENCE_BEGUN,
} evidence_kind_t;

/** Evidence of this instance that is still to be sent. */
typedef struct unsent_evidence {
	evidence_kind_t kind;
	int sends; /* left */
	union {
		blame_crash_t crash;
		struct {
			uint64_t part;
			ms_t at;
		} begun;
	};
} unsent_evidence_t;

/** A message and the arrays of its fields. */
typedef struct message {
	Digest__PromptBlame m;
	Digest__EndpointCrash crash[REPORTS_PER_DATAGRAM];
	Digest__EndpointCrash *crash_list[REPORTS_PER_DATAGRAM];
	uint64_t part[REPORTS_PER_DATAGRAM][BLAME_SUSPECTS_MAX];
	uint32_t call[REPORTS_PER_DATAGRAM][BLAME_SUSPECTS_MAX];
	uint64_t begun[BLAME_NEWS_MAX];
	uint32_t begun_ago[BLAME_NEWS_MAX];
	Digest__BlamedPart blamed[BLAME_PARTS_MAX];
	Digest__BlamedPart *blamed_list[BLAME_PARTS_MAX];
} message_t;

static void
message_init(message_t *t)
{
	int i;

	digest__prompt_blame__init(&t->m);
	t->m.crash = t->crash_list;
	t->m.begun = t->begun;
	t->m.begun_ago = t->begun_ago;
	t->m.blamed = t->blamed_list;
	for (i = 0; i < REPORTS_PER_DATAGRAM; i++)
		t->crash_list[i] = &t->crash[i];
	for (i = 0; i < BLAME_PARTS_MAX; i++)
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

	if (at == REPORTS_PER_DATAGRAM)
		return;
	digest__endpoint_crash__init(to);
	to->endpoint = c->endpoint;
	to->ago = age(s, c->at);
	for (i = 0; i < c->nsuspect; i++) {
		t->part[at][i] = c->suspect[i].part;
		t->call[at][i] = c->suspect[i].call;
	}
	to->part = t->part[at];
	to->call = t->call[at];
	to->n_part = to->n_call = (size_t)c->nsuspect;
	t->m.n_crash++;
}

static void
add_begun(const serve_t *s, message_t *t, uint64_t part, ms_t at)
{
	size_t n = t->m.n_begun;

	if (n == BLAME_NEWS_MAX)
		return;
	t->begun[n] = part;
	t->begun_ago[n] = age(s, at);
	t->m.n_begun = t->m.n_begun_ago = n + 1;
}

static void
add_blamed(const serve_t *s, message_t *t)
{
	const blame_t *b = &s->blame->blame;
	int i;

	for (i = 0; i < b->nblamed; i++) {
		const blamed_part_t *p = &b->blamed[i];
		Digest__BlamedPart *to = &t->blamed[i];

		digest__blamed_part__init(to);
		to->part = p->part;
		to->crash_ago = age(s, p->crash_at);
		to->trials = (uint32_t)p->trials;
		to->trial_in = p->trial_at > s->loop.now
				   ? (uint32_t)(p->trial_at - s->loop.now)
				   : 0;
	}
	t->m.n_blamed = (size_t)b->nblamed;
}

static void
message_send(serve_t *s, Digest__PromptBlame *m, const struct sockaddr_in *to)
{
	Digest__Digest d = DIGEST__DIGEST__INIT;

	d.blame = m;
	spread_to(s, &d, to);
}

static void
message_spread(serve_t *s, Digest__PromptBlame *m)
{
	Digest__Digest d = DIGEST__DIGEST__INIT;

	d.blame = m;
	spread(s, &d, &m->pass_on);
}

/* Sending. */

static void
send_due(void *arg)
{
	serve_t *s = arg;
	blame_feed_t *f = s->blame;
	static message_t t;
	unsent_evidence_t news = { .kind = EVIDENCE_BEGUN, .sends = SENDS };
	guint i;

	while (f->news_due &&
	       blame_next_news(&f->blame, &news.begun.part, &news.begun.at))
		g_array_append_val(f->unsent, news);
	f->news_due = false;
	message_init(&t);
	for (i = 0; i < f->unsent->len; i++) {
		unsent_evidence_t *e =
		    &g_array_index(f->unsent, unsent_evidence_t, i);

		switch (e->kind) {
		case EVIDENCE_CRASH:
			add_crash(s, &t, &e->crash);
			break;
		case EVIDENCE_BEGUN:
			add_begun(s, &t, e->begun.part, e->begun.at);
			break;
		}
		if (--e->sends == 0)
			g_array_remove_index(f->unsent, i--);
	}
	if (f->blamed_sends > 0) {
		f->blamed_sends--;
		add_blamed(s, &t);
	}
	if (t.m.n_crash + t.m.n_begun + t.m.n_blamed > 0)
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

void
blame_send_blamed(serve_t *s)
{
	s->blame->blamed_sends = SENDS;
	send_by(s, s->loop.now);
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
blame_ask_trial(serve_t *s, uint64_t part)
{
	Digest__PromptBlame m = DIGEST__PROMPT_BLAME__INIT;
	blamed_part_t *p = blame_find(&s->blame->blame, part);
	const peer_t *holder = live_holder(s);

	if (p == NULL || holder == NULL ||
	    is_recent(p->trial_asked_at, s->loop.now, ASK_INTERVAL_MS))
		return;
	p->trial_asked_at = s->loop.now;
	m.trial_asked = &part;
	m.n_trial_asked = 1;
	message_send(s, &m, &holder->sa);
}

/* What other instances send. */

static void
receive_crash(serve_t *s, const Digest__EndpointCrash *m)
{
	blame_crash_t c = { .endpoint = m->endpoint,
		.at = s->loop.now - (ms_t)m->ago };
	size_t i;

	for (i = 0; i < m->n_part && i < m->n_call && i < BLAME_SUSPECTS_MAX;
	     i++)
		c.suspect[c.nsuspect++] =
		    (blame_suspect_t){ m->part[i], m->call[i] };
	blame_add_crash(&s->blame->blame, &c);
}

static void
receive_blamed(serve_t *s, const Digest__BlamedPart *m)
{
	blamed_part_t p = { .part = m->part,
		.crash_at = s->loop.now - (ms_t)m->crash_ago,
		.trials = (int)m->trials,
		.trial_at = s->loop.now + (ms_t)m->trial_in };

	blame_adopt(&s->blame->blame, &p);
}

static void
grant_trials(
    serve_t *s, const Digest__PromptBlame *m, const struct sockaddr_in *from)
{
	size_t i;

	for (i = 0; i < m->n_trial_asked && plan_holder_valid(s); i++) {
		Digest__PromptBlame answer = DIGEST__PROMPT_BLAME__INIT;
		blamed_part_t *p =
		    blame_find(&s->blame->blame, m->trial_asked[i]);

		if (p == NULL || !blame_trial_due(p, s->loop.now))
			continue;
		blame_trial_granted(p, s->loop.now);
		answer.trial_granted = &m->trial_asked[i];
		answer.n_trial_granted = 1;
		message_send(s, &answer, from);
	}
}

void
blame_receive(
    serve_t *s, Digest__PromptBlame *m, const struct sockaddr_in *from)
{
	Digest__Digest copy = DIGEST__DIGEST__INIT;
	blame_t *b = &s->blame->blame;
	size_t i;

	if (peer_at(s, from) == NULL)
		return;
	copy.blame = m;
	spread_on(s, &copy, &m->pass_on);
	for (i = 0; i < m->n_begun && i < m->n_begun_ago; i++)
		if (blame_part_began(b, m->begun[i],
			s->loop.now - (ms_t)m->begun_ago[i], false))
			blame_log_cleared(m->begun[i], "told by an instance");
	for (i = 0; i < m->n_crash; i++)
		receive_crash(s, m->crash[i]);
	for (i = 0; i < m->n_blamed; i++)
		receive_blamed(s, m->blamed[i]);
	grant_trials(s, m, from);
	for (i = 0; i < m->n_trial_granted; i++) {
		blamed_part_t *p = blame_find(b, m->trial_granted[i]);

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
