#include "policy/blame_table.h"

#include <string.h>

enum {
	SAME_CRASH_MS = 1000, /* between reports of the same crash */
};

void
blame_init(blame_t *b)
{
	memset(b, 0, sizeof(*b));
}

/* Suspects that passed. */

static passed_t *
passed_slot(const blame_t *b, suspect_t what)
{
	uint64_t h = hash64(&what.id, sizeof(what.id), 0);

	return (passed_t *)&b->passed[what.kind][h % BLAME_PASSED_SLOTS];
}

ms_t
blame_passed_at(const blame_t *b, suspect_t what)
{
	const passed_t *g = passed_slot(b, what);

	return g->id == what.id ? g->at : 0;
}

void
blame_add_news(blame_t *b, suspect_t what, ms_t crash_at)
{
	int i;

	for (i = 0; i < b->nnews && !suspect_same(b->news[i].what, what); i++)
		;
	if (i == BLAME_NEWS_MAX)
		return;
	if (i == b->nnews)
		b->news[b->nnews++] = (blame_news_t){ .what = what };
	if (b->news[i].crash_at < crash_at)
		b->news[i].crash_at = crash_at;
}

/* Another instance has told all that it passed at @p at. */
static void
drop_news(blame_t *b, suspect_t what, ms_t at)
{
	int i;

	for (i = 0; i < b->nnews; i++)
		if (suspect_same(b->news[i].what, what) &&
		    b->news[i].crash_at < at)
			b->news[i--] = b->news[--b->nnews];
}

bool
blame_next_news(blame_t *b, suspect_t *what, ms_t *at)
{
	while (b->nnews > 0) {
		*what = b->news[--b->nnews].what;
		*at = blame_passed_at(b, *what);
		if (*at == 0)
			continue;
		passed_slot(b, *what)->told = true;
		return true;
	}
	return false;
}

/* Crashes. */

int
blame_find_suspect(const blame_crash_t *c, suspect_t what)
{
	int i;

	for (i = 0; i < c->nsuspect; i++)
		if (suspect_same(c->suspect[i].what, what))
			return i;
	return -1;
}

void
blame_remove_crash(blame_t *b, int i)
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
		blame_remove_crash(b, 0);
		b->dropped++;
	}
	for (i = b->ncrash; i > 0 && b->crash[i - 1].at > at; i--)
		;
	memmove(b->crash + i + 1, b->crash + i,
	    (size_t)(b->ncrash++ - i) * sizeof(b->crash[0]));
	b->crash[i] = (blame_crash_t){ .endpoint = endpoint, .at = at };
	return &b->crash[i];
}

/* Others may not know that it has passed: tell them. */
static void
tell_passed(blame_t *b, suspect_t what, ms_t crash_at)
{
	const passed_t *g = passed_slot(b, what);

	if (g->id != what.id)
		return;
	if (g->at > crash_at)
		blame_add_news(b, what, crash_at);
	else if (!g->told)
		blame_add_news(b, what, 0);
}

void
blame_add_crash(blame_t *b, const blame_crash_t *c)
{
	blame_crash_t *r = crash_record(b, c->endpoint, c->at);
	int i;

	b->added = true;
	for (i = 0; i < c->nsuspect; i++) {
		suspect_t what = c->suspect[i].what;
		blamed_t *p = blame_find(b, what);

		tell_passed(b, what, c->at);
		if (blame_passed_at(b, what) > c->at)
			continue;
		if (p != NULL && p->crash_at < c->at)
			p->crash_at = c->at;
		if (blame_find_suspect(r, what) == -1 &&
		    r->nsuspect < BLAME_SUSPECTS_MAX)
			r->suspect[r->nsuspect++] = c->suspect[i];
	}
}

ms_t
blame_remove_suspect(blame_t *b, suspect_t what, ms_t at)
{
	ms_t last = 0;
	int i, k;

	for (i = b->ncrash - 1; i >= 0; i--) {
		blame_crash_t *c = &b->crash[i];

		k = c->at < at ? blame_find_suspect(c, what) : -1;
		if (k == -1)
			continue;
		if (last == 0)
			last = c->at;
		c->suspect[k] = c->suspect[--c->nsuspect];
	}
	return last;
}

bool
blame_passed(blame_t *b, suspect_t what, ms_t at, bool own)
{
	passed_t *g = passed_slot(b, what);
	blamed_t *p = blame_find(b, what);
	bool cleared = p != NULL && p->crash_at < at;
	ms_t suspect_of;

	if (g->id != what.id)
		*g = (passed_t){ .id = what.id };
	if (at > g->at)
		g->at = at;
	suspect_of = blame_remove_suspect(b, what, at);
	b->cleared |= suspect_of != 0;
	if (cleared && p->crash_at > suspect_of)
		suspect_of = p->crash_at;
	if (cleared)
		*p = b->blamed[--b->nblamed];
	if (own && suspect_of != 0)
		blame_add_news(b, what, suspect_of);
	if (!own) {
		g->told = true;
		drop_news(b, what, at);
	}
	return cleared;
}
