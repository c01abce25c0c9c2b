#include "policy/blame_table.h"

#include <limits.h>
#include <string.h>

enum {
	/* Crashes that are needed to blame a suspect. */
	CRASHES_NEEDED = 3,
	/* To blame suspects between which the evidence can't decide. */
	CRASHES_NEEDED_TIED = 5,
	/* Endpoints that end within it may have a common cause. */
	SAME_MOMENT_MS = 50,
	CRASH_SPACING_MS = 100, /* crashes closer to each other count as one */
	REQUEST_TRIALS = 2,
	/* Within it, other instances report that calls with a suspect passed.
	 */
	DECISION_DELAY_MS = 250,
	EVIDENCE_LIFE_MS = 600000,
	BLAME_LIFE_MS = 24 * 3600 * 1000, /* since the last crash */
	TRIAL_FIRST_MS = 15000,
	TRIAL_FACTOR = 4, /* between a trial and the next */
	TRIAL_MAX_MS = 3600 * 1000,
	/* What passed so recently is rather a victim of the crashes. */
	PASSED_RECENTLY_MS = 60000,
	COUNTERS = 32768, /* of crashes by suspect; a power of two */
};

/** How evidence against a kind of suspect is weighed. */
typedef struct blame_rule {
	int crashes; /* needed */
	/* Needed if a call with it passed shortly before them. */
	int crashes_after_passing;
	/* Crashes closer to each other count as one. */
	ms_t spacing;
	/* The same, if no call with it is known to have passed. */
	ms_t spacing_never_passed;
	/* Several crashes under one call count, not only the first. */
	bool repeats_count;
	int trials; /* at most */
} blame_rule_t;

static const blame_rule_t rules[SUSPECT_KINDS] = {
	[SUSPECT_PART] = { .crashes = CRASHES_NEEDED,
	    .crashes_after_passing = CRASHES_NEEDED,
	    .spacing = CRASH_SPACING_MS,
	    .spacing_never_passed = CRASH_SPACING_MS,
	    .trials = INT_MAX },
	[SUSPECT_REQUEST] = { .crashes = CRASHES_NEEDED,
	    .crashes_after_passing = CRASHES_NEEDED_TIED,
	    .spacing = CRASH_SPACING_MS,
	    .spacing_never_passed = 0,
	    .repeats_count = true,
	    .trials = REQUEST_TRIALS },
};

/* Decisions. */

static bool
is_blamed(const blame_t *b, suspect_t what)
{
	int i;

	for (i = 0; i < b->nblamed; i++)
		if (suspect_same(b->blamed[i].what, what))
			return true;
	return false;
}

/* A blamed suspect explains the crash. */
static bool
is_explained(const blame_t *b, const blame_crash_t *c)
{
	int i;

	for (i = 0; b->nblamed > 0 && i < c->nsuspect; i++)
		if (is_blamed(b, c->suspect[i].what))
			return true;
	return false;
}

/*
 * Did another endpoint end at the same moment without the suspect, and without
 * a blamed one? What ended both wasn't this suspect.
 */
static bool
has_common_cause(const blame_t *b, int at, suspect_t what)
{
	int i, step;

	for (step = -1; step <= 1; step += 2)
		for (i = at + step; i >= 0 && i < b->ncrash; i += step) {
			const blame_crash_t *c = &b->crash[i];
			ms_t apart = c->at - b->crash[at].at;

			if (apart > SAME_MOMENT_MS || -apart > SAME_MOMENT_MS)
				break;
			if (blame_find_suspect(c, what) == -1 &&
			    !is_explained(b, c))
				return true;
		}
	return false;
}

/** The evidence against a suspect. */
typedef struct evidence {
	int crashes; /* at different times, and of different calls if needed */
	ms_t first_at, last_at; /* of these */
	uint32_t call[CRASHES_NEEDED_TIED];
} evidence_t;

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
evidence_against(const blame_t *b, suspect_t what, ms_t until)
{
	const blame_rule_t *rule = &rules[what.kind];
	ms_t spacing = blame_passed_at(b, what) != 0
			   ? rule->spacing
			   : rule->spacing_never_passed;
	evidence_t v = { 0 };
	int i, k;

	for (i = 0; i < b->ncrash && b->crash[i].at <= until; i++) {
		const blame_crash_t *c = &b->crash[i];

		k = blame_find_suspect(c, what);
		if (k == -1 || is_explained(b, c) ||
		    has_common_cause(b, i, what) ||
		    (!rule->repeats_count && is_repeat(&v, c->suspect[k].call)))
			continue;
		if (v.crashes > 0 && c->at - v.last_at < spacing)
			continue;
		if (v.crashes == 0)
			v.first_at = c->at;
		if (v.crashes < CRASHES_NEEDED_TIED)
			v.call[v.crashes] = c->suspect[k].call;
		v.crashes++;
		v.last_at = c->at;
	}
	return v;
}

static int
crashes_needed(const blame_t *b, suspect_t what, const evidence_t *v)
{
	ms_t at = blame_passed_at(b, what);

	return at != 0 && v->first_at - at < PASSED_RECENTLY_MS
		   ? rules[what.kind].crashes_after_passing
		   : rules[what.kind].crashes;
}

int
blame_crash_count(const blame_t *b, suspect_t what)
{
	return evidence_against(b, what, INT64_MAX).crashes;
}

/* The evidence goes, too, or it would be blamed again at once. */
static void
drop_oldest_blamed(blame_t *b)
{
	int i, at = 0;

	for (i = 1; i < b->nblamed; i++)
		if (b->blamed[i].crash_at < b->blamed[at].crash_at)
			at = i;
	blame_remove_suspect(b, b->blamed[at].what, b->blamed[at].crash_at + 1);
	b->blamed[at] = b->blamed[--b->nblamed];
	b->dropped++;
}

static void
blame(blame_t *b, const blamed_t *p)
{
	if (b->nblamed == BLAME_MAX)
		drop_oldest_blamed(b);
	b->blamed[b->nblamed++] = (blamed_t){ .what = p->what,
		.crash_at = p->crash_at,
		.trial_at = p->trial_at,
		.trials = p->trials };
}

/** A suspect against which there is enough evidence. */
typedef struct candidate {
	suspect_t what;
	int crashes;
	ms_t passed_at; /* before the first of the crashes, 0: not known */
	ms_t last_at;
} candidate_t;

/** The most likely causes; the evidence can't decide between them. */
typedef struct top_candidates {
	candidate_t c[BLAME_SUSPECTS_MAX];
	int n;
} top_candidates_t;

/*
 * < 0: @p a is the more likely cause. A suspect that has passed is less likely
 * than one that isn't known to have, and one that passed long ago is more
 * likely than one that passed just before the crashes.
 */
static int
compare_candidates(const candidate_t *a, const candidate_t *b)
{
	if (a->passed_at != b->passed_at)
		return a->passed_at < b->passed_at ? -1 : 1;
	if (a->crashes != b->crashes)
		return a->crashes > b->crashes ? -1 : 1;
	/* A request is narrower: others with the same part may go on. */
	return (int)b->what.kind - (int)a->what.kind;
}

static void
consider_suspect(
    const blame_t *b, suspect_t what, ms_t until, top_candidates_t *top)
{
	evidence_t v = evidence_against(b, what, until);
	candidate_t c = { what, v.crashes, blame_passed_at(b, what),
		v.last_at };
	int i, order;

	if (v.crashes < crashes_needed(b, what, &v))
		return;
	for (i = 0; i < top->n; i++)
		if (suspect_same(top->c[i].what, what))
			return;
	order = top->n > 0 ? compare_candidates(&c, &top->c[0]) : -1;
	if (order > 0)
		return;
	if (order < 0)
		top->n = 0;
	if (top->n < BLAME_SUSPECTS_MAX)
		top->c[top->n++] = c;
}

/** Crashes by suspect; those that share a counter are counted together. */
typedef struct crash_counters {
	uint8_t n[COUNTERS];
} crash_counters_t;

static uint8_t *
counter_of(crash_counters_t *t, suspect_t what)
{
	return &t->n[hash64(&what.id, sizeof(what.id), what.kind) % COUNTERS];
}

static void
count_crashes(const blame_t *b, crash_counters_t *t)
{
	int i, k;

	memset(t, 0, sizeof(*t));
	for (i = 0; i < b->ncrash; i++)
		for (k = 0; k < b->crash[i].nsuspect; k++) {
			uint8_t *n = counter_of(t, b->crash[i].suspect[k].what);

			*n += *n < CRASHES_NEEDED;
		}
}

/* The most likely causes of the crashes that nothing explains yet. */
static top_candidates_t
top_candidates(const blame_t *b, crash_counters_t *counters, ms_t until)
{
	top_candidates_t top = { 0 };
	int i, k;

	for (i = 0; i < b->ncrash && b->crash[i].at <= until; i++) {
		const blame_crash_t *c = &b->crash[i];

		if (is_explained(b, c))
			continue;
		for (k = 0; k < c->nsuspect; k++)
			/* Most suspects are in one crash only. */
			if (*counter_of(counters, c->suspect[k].what) >=
			    CRASHES_NEEDED)
				consider_suspect(
				    b, c->suspect[k].what, until, &top);
	}
	return top;
}

bool
blame_decide(blame_t *b, ms_t now)
{
	ms_t until = now - DECISION_DELAY_MS;
	crash_counters_t counters;
	int i, n = 0;

	b->cleared = b->added = false;
	count_crashes(b, &counters);
	while (n < BLAME_MAX) {
		top_candidates_t top = top_candidates(b, &counters, until);

		if (top.n == 0 ||
		    (top.n > 1 && top.c[0].crashes < CRASHES_NEEDED_TIED))
			break;
		for (i = 0; i < top.n; i++)
			blame(b, &(blamed_t){ .what = top.c[i].what,
				     .crash_at = top.c[i].last_at,
				     .trial_at = now + TRIAL_FIRST_MS });
		n += top.n;
	}
	return n > 0;
}

ms_t
blame_decide_at(const blame_t *b, ms_t now)
{
	int i;

	if (b->cleared)
		return now;
	for (i = 0; i < b->ncrash; i++)
		if (b->crash[i].at + DECISION_DELAY_MS > now)
			return b->crash[i].at + DECISION_DELAY_MS;
	return b->added ? now : 0;
}

blamed_t *
blame_find(blame_t *b, suspect_t what)
{
	int i;

	for (i = 0; i < b->nblamed; i++)
		if (suspect_same(b->blamed[i].what, what))
			return &b->blamed[i];
	return NULL;
}

int
blame_count(const blame_t *b, suspect_kind_t kind)
{
	int i, n = 0;

	for (i = 0; i < b->nblamed; i++)
		n += b->blamed[i].what.kind == kind;
	return n;
}

/*
 * An instance that has just started may not know that calls with it passed
 * shortly before the crashes.
 */
static bool
knows_better(const blame_t *b, const blamed_t *from)
{
	const blame_rule_t *rule = &rules[from->what.kind];
	ms_t at = blame_passed_at(b, from->what);

	return at != 0 && from->crash_at - at < PASSED_RECENTLY_MS &&
	       rule->crashes_after_passing > rule->crashes &&
	       blame_crash_count(b, from->what) < rule->crashes_after_passing;
}

void
blame_adopt(blame_t *b, const blamed_t *from)
{
	blamed_t *p = blame_find(b, from->what);

	if (blame_passed_at(b, from->what) > from->crash_at) {
		blame_add_news(b, from->what, from->crash_at);
		return;
	}
	if (p == NULL) {
		if (!knows_better(b, from))
			blame(b, from);
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
blame_trial_due(const blamed_t *p, ms_t now)
{
	return now >= p->trial_at;
}

void
blame_trial_granted(blamed_t *p, ms_t now)
{
	p->trial_at = now + BLAME_GRANT_MS;
}

void
blame_trial_started(blamed_t *p, ms_t now)
{
	ms_t delay = TRIAL_FIRST_MS;
	int i;

	p->trials++;
	if (p->trials >= rules[p->what.kind].trials) {
		p->trial_at = now + BLAME_LIFE_MS;
		return;
	}
	for (i = 0; i < p->trials && delay < TRIAL_MAX_MS; i++)
		delay *= TRIAL_FACTOR;
	p->trial_at = now + (delay < TRIAL_MAX_MS ? delay : TRIAL_MAX_MS);
}

void
blame_expire(blame_t *b, ms_t now)
{
	int i;

	while (b->ncrash > 0 && now - b->crash[0].at > EVIDENCE_LIFE_MS)
		blame_remove_crash(b, 0);
	for (i = b->nblamed - 1; i >= 0; i--)
		if (now - b->blamed[i].crash_at > BLAME_LIFE_MS)
			b->blamed[i] = b->blamed[--b->nblamed];
}
