#include "policy/blame.h"

#include <string.h>

enum {
	/* Crashes of different calls that are needed to blame a part. */
	CRASHES_NEEDED = 3,
	/* To blame parts between which the evidence can't decide. */
	CRASHES_NEEDED_TIED = 5,
	/* Crashes closer to each other count as one. */
	CRASH_SPACING_MS = 100,
	/* Endpoints that end within it may have a common cause. */
	SAME_MOMENT_MS = 50,
	/* Within it, other instances report that calls with a suspect began. */
	DECISION_DELAY_MS = 250,
	SAME_CRASH_MS = 1000, /* between reports of the same crash */
	EVIDENCE_LIFE_MS = 600000,
	BLAME_LIFE_MS = 24 * 3600 * 1000, /* since the last crash */
	TRIAL_FIRST_MS = 15000,
	TRIAL_FACTOR = 4, /* between a trial and the next */
	TRIAL_MAX_MS = 3600 * 1000,
};

void
blame_init(blame_t *b)
{
	memset(b, 0, sizeof(*b));
}

/* Parts that began. */

static begun_part_t *
begun_slot(const blame_t *b, uint64_t part)
{
	return (begun_part_t *)&b
	    ->begun[hash64(&part, sizeof(part), 0) % BLAME_BEGUN_SLOTS];
}

/* The last time that a call with the part began, 0: not known. */
static ms_t
begun_at(const blame_t *b, uint64_t part)
{
	const begun_part_t *g = begun_slot(b, part);

	return g->part == part ? g->at : 0;
}

static void
add_news(blame_t *b, uint64_t part, ms_t crash_at)
{
	int i;

	for (i = 0; i < b->nnews && b->news[i].part != part; i++)
		;
	if (i == BLAME_NEWS_MAX)
		return;
	if (i == b->nnews)
		b->news[b->nnews++] = (blame_news_t){ .part = part };
	if (b->news[i].crash_at < crash_at)
		b->news[i].crash_at = crash_at;
}

/* Another instance has told all that the part began at @p at. */
static void
drop_news(blame_t *b, uint64_t part, ms_t at)
{
	int i;

	for (i = 0; i < b->nnews; i++)
		if (b->news[i].part == part && b->news[i].crash_at < at)
			b->news[i--] = b->news[--b->nnews];
}

bool
blame_next_news(blame_t *b, uint64_t *part, ms_t *at)
{
	while (b->nnews > 0) {
		*part = b->news[--b->nnews].part;
		*at = begun_at(b, *part);
		if (*at == 0)
			continue;
		begun_slot(b, *part)->told = true;
		return true;
	}
	return false;
}

/* Crashes. */

static int
find_suspect(const blame_crash_t *c, uint64_t part)
{
	int i;

	for (i = 0; i < c->nsuspect; i++)
		if (c->suspect[i].part == part)
			return i;
	return -1;
}

static void
remove_crash(blame_t *b, int i)
{
	memmove(b->crash + i, b->crash + i + 1,
	    (size_t)(--b->ncrash - i) * sizeof(b->crash[0]));
}

/* The record of the same crash, or a new one in the order of time. */
static blame_crash_t *
crash_record(blame_t *b, uint32_t endpoint, ms_t at)
{
	int i;

	for (i = 0; i < b->ncrash; i++) {
		ms_t apart = at - b->crash[i].at;

		if (b->crash[i].endpoint == endpoint && apart < SAME_CRASH_MS &&
		    -apart < SAME_CRASH_MS)
			return &b->crash[i];
	}
	if (b->ncrash == BLAME_CRASHES_MAX) {
		remove_crash(b, 0);
		b->dropped++;
	}
	for (i = b->ncrash; i > 0 && b->crash[i - 1].at > at; i--)
		;
	memmove(b->crash + i + 1, b->crash + i,
	    (size_t)(b->ncrash++ - i) * sizeof(b->crash[0]));
	b->crash[i] = (blame_crash_t){ .endpoint = endpoint, .at = at };
	return &b->crash[i];
}

/* Others may not know that the part has begun: tell them. */
static void
tell_begun(blame_t *b, uint64_t part, ms_t crash_at)
{
	const begun_part_t *g = begun_slot(b, part);

	if (g->part != part)
		return;
	if (g->at > crash_at)
		add_news(b, part, crash_at);
	else if (!g->told)
		add_news(b, part, 0);
}

void
blame_add_crash(blame_t *b, const blame_crash_t *c)
{
	blame_crash_t *r = crash_record(b, c->endpoint, c->at);
	int i;

	for (i = 0; i < c->nsuspect; i++) {
		uint64_t part = c->suspect[i].part;
		blamed_part_t *p = blame_find(b, part);

		tell_begun(b, part, c->at);
		if (begun_at(b, part) > c->at)
			continue;
		if (p != NULL && p->crash_at < c->at)
			p->crash_at = c->at;
		if (find_suspect(r, part) == -1 &&
		    r->nsuspect < BLAME_SUSPECTS_MAX)
			r->suspect[r->nsuspect++] = c->suspect[i];
	}
}

/*
 * The part is no suspect of crashes before @p at. @return the last of which it
 * was, 0: none
 */
static ms_t
remove_suspect(blame_t *b, uint64_t part, ms_t at)
{
	ms_t last = 0;
	int i, k;

	for (i = b->ncrash - 1; i >= 0; i--) {
		blame_crash_t *c = &b->crash[i];

		k = c->at < at ? find_suspect(c, part) : -1;
		if (k == -1)
			continue;
		if (last == 0)
			last = c->at;
		c->suspect[k] = c->suspect[--c->nsuspect];
	}
	return last;
}

bool
blame_part_began(blame_t *b, uint64_t part, ms_t at, bool own)
{
	begun_part_t *g = begun_slot(b, part);
	blamed_part_t *p = blame_find(b, part);
	bool cleared = p != NULL && p->crash_at < at;
	ms_t suspect_of;

	if (g->part != part)
		*g = (begun_part_t){ .part = part };
	if (at > g->at)
		g->at = at;
	suspect_of = remove_suspect(b, part, at);
	if (cleared && p->crash_at > suspect_of)
		suspect_of = p->crash_at;
	if (cleared)
		*p = b->blamed[--b->nblamed];
	if (own && suspect_of != 0)
		add_news(b, part, suspect_of);
	if (!own) {
		g->told = true;
		drop_news(b, part, at);
	}
	return cleared;
}

/* Decisions. */

static bool
is_blamed(const blame_t *b, uint64_t part)
{
	int i;

	for (i = 0; i < b->nblamed; i++)
		if (b->blamed[i].part == part)
			return true;
	return false;
}

/* A blamed part explains the crash. */
static bool
is_explained(const blame_t *b, const blame_crash_t *c)
{
	int i;

	for (i = 0; b->nblamed > 0 && i < c->nsuspect; i++)
		if (is_blamed(b, c->suspect[i].part))
			return true;
	return false;
}

/*
 * Did another endpoint end at the same moment without the part, and without a
 * blamed one? What ended both wasn't this part.
 */
static bool
has_common_cause(const blame_t *b, int at, uint64_t part)
{
	int i, step;

	for (step = -1; step <= 1; step += 2)
		for (i = at + step; i >= 0 && i < b->ncrash; i += step) {
			const blame_crash_t *c = &b->crash[i];
			ms_t apart = c->at - b->crash[at].at;

			if (apart > SAME_MOMENT_MS || -apart > SAME_MOMENT_MS)
				break;
			if (find_suspect(c, part) == -1 && !is_explained(b, c))
				return true;
		}
	return false;
}

/** The evidence against a part. */
typedef struct evidence {
	int crashes;  /* at different times and of different calls */
	ms_t last_at; /* the last of these */
	uint32_t call[CRASHES_NEEDED_TIED];
} evidence_t;

/* Repeats of one call may have another cause than the part. */
static bool
is_repeat(const evidence_t *v, uint32_t call)
{
	int i;

	for (i = 0; i < v->crashes && i < CRASHES_NEEDED_TIED; i++)
		if (v->call[i] == call)
			return true;
	return false;
}

static evidence_t
evidence_against(const blame_t *b, uint64_t part, ms_t until)
{
	evidence_t v = { 0 };
	int i, k;

	for (i = 0; i < b->ncrash && b->crash[i].at <= until; i++) {
		const blame_crash_t *c = &b->crash[i];

		k = find_suspect(c, part);
		if (k == -1 || is_explained(b, c) ||
		    has_common_cause(b, i, part) ||
		    is_repeat(&v, c->suspect[k].call) ||
		    (v.crashes > 0 && c->at - v.last_at < CRASH_SPACING_MS))
			continue;
		if (v.crashes < CRASHES_NEEDED_TIED)
			v.call[v.crashes] = c->suspect[k].call;
		v.crashes++;
		v.last_at = c->at;
	}
	return v;
}

int
blame_crash_count(const blame_t *b, uint64_t part)
{
	return evidence_against(b, part, INT64_MAX).crashes;
}

/* The evidence goes, too, or the part would be blamed again at once. */
static void
drop_oldest_blamed(blame_t *b)
{
	int i, at = 0;

	for (i = 1; i < b->nblamed; i++)
		if (b->blamed[i].crash_at < b->blamed[at].crash_at)
			at = i;
	remove_suspect(b, b->blamed[at].part, b->blamed[at].crash_at + 1);
	b->blamed[at] = b->blamed[--b->nblamed];
	b->dropped++;
}

static void
blame_part(blame_t *b, const blamed_part_t *p)
{
	if (b->nblamed == BLAME_PARTS_MAX)
		drop_oldest_blamed(b);
	b->blamed[b->nblamed++] = (blamed_part_t){ .part = p->part,
		.crash_at = p->crash_at,
		.trial_at = p->trial_at,
		.trials = p->trials };
}

/** The parts with the most evidence against them. */
typedef struct top_suspects {
	uint64_t part[BLAME_SUSPECTS_MAX];
	int npart;
	int crashes;
	ms_t begun_at; /* before the first of the crashes, 0: not known */
	ms_t last_at;
} top_suspects_t;

/*
 * A part on which calls have begun is less likely to be the cause than one on
 * which none is known to have begun, and one that last began long ago is more
 * likely than one that began just before the crashes.
 */
static void
consider_suspect(
    const blame_t *b, uint64_t part, ms_t until, top_suspects_t *top)
{
	evidence_t v = evidence_against(b, part, until);
	ms_t at = begun_at(b, part);
	int i;

	if (v.crashes < CRASHES_NEEDED)
		return;
	for (i = 0; i < top->npart; i++)
		if (top->part[i] == part)
			return;
	if (top->npart > 0 &&
	    (at > top->begun_at ||
		(at == top->begun_at && v.crashes < top->crashes)))
		return;
	if (at < top->begun_at || v.crashes > top->crashes)
		top->npart = 0;
	if (top->npart == BLAME_SUSPECTS_MAX)
		return;
	top->part[top->npart++] = part;
	top->crashes = v.crashes;
	top->begun_at = at;
	top->last_at = v.last_at;
}

bool
blame_decide(blame_t *b, ms_t now)
{
	ms_t until = now - DECISION_DELAY_MS;
	int i, k, n = 0;

	while (n < BLAME_PARTS_MAX) {
		top_suspects_t top = { 0 };

		for (i = 0; i < b->ncrash && b->crash[i].at <= until; i++) {
			if (is_explained(b, &b->crash[i]))
				continue;
			for (k = 0; k < b->crash[i].nsuspect; k++)
				consider_suspect(b, b->crash[i].suspect[k].part,
				    until, &top);
		}
		if (top.npart == 0 ||
		    (top.npart > 1 && top.crashes < CRASHES_NEEDED_TIED))
			break;
		for (i = 0; i < top.npart; i++)
			blame_part(b, &(blamed_part_t){ .part = top.part[i],
					  .crash_at = top.last_at,
					  .trial_at = now + TRIAL_FIRST_MS });
		n += top.npart;
	}
	return n > 0;
}

ms_t
blame_decide_at(const blame_t *b, ms_t now)
{
	int i;

	for (i = 0; i < b->ncrash; i++)
		if (b->crash[i].at + DECISION_DELAY_MS > now)
			return b->crash[i].at + DECISION_DELAY_MS;
	return 0;
}

blamed_part_t *
blame_find(blame_t *b, uint64_t part)
{
	int i;

	for (i = 0; i < b->nblamed; i++)
		if (b->blamed[i].part == part)
			return &b->blamed[i];
	return NULL;
}

void
blame_adopt(blame_t *b, const blamed_part_t *from)
{
	blamed_part_t *p = blame_find(b, from->part);

	if (begun_at(b, from->part) > from->crash_at) {
		add_news(b, from->part, from->crash_at);
		return;
	}
	if (p == NULL) {
		blame_part(b, from);
		return;
	}
	if (from->crash_at > p->crash_at)
		p->crash_at = from->crash_at;
	if (from->trials > p->trials) {
		p->trials = from->trials;
		p->trial_at = from->trial_at;
	}
}

bool
blame_trial_due(const blamed_part_t *p, ms_t now)
{
	return now >= p->trial_at;
}

void
blame_trial_granted(blamed_part_t *p, ms_t now)
{
	p->trial_at = now + BLAME_GRANT_MS;
}

void
blame_trial_started(blamed_part_t *p, ms_t now)
{
	ms_t delay = TRIAL_FIRST_MS;
	int i;

	p->trials++;
	for (i = 0; i < p->trials && delay < TRIAL_MAX_MS; i++)
		delay *= TRIAL_FACTOR;
	p->trial_at = now + (delay < TRIAL_MAX_MS ? delay : TRIAL_MAX_MS);
}

void
blame_expire(blame_t *b, ms_t now)
{
	int i;

	while (b->ncrash > 0 && now - b->crash[0].at > EVIDENCE_LIFE_MS)
		remove_crash(b, 0);
	for (i = b->nblamed - 1; i >= 0; i--)
		if (now - b->blamed[i].crash_at > BLAME_LIFE_MS)
			b->blamed[i] = b->blamed[--b->nblamed];
}
