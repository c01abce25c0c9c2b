#include "policy/call_limit.h"

#include <string.h>

enum {
	ASKER_LIFE_MS = 2000, /* an instance asks more often than that */
	NEXT_MIN_MS = 20,
	NEXT_MAX_MS = 5000,
	ASKERS_PER_PERIOD = 32, /* more ask less often */
	/* The giver is silent: an answer takes a round trip. */
	ANSWER_TIMEOUT_MS = 150,
	ALONE_AFTER_MS = 1000,
	OWN_LIFE_MS = 1000, /* of an own permit that isn't used */
};
/*
 * At a lower rate, or 0, the end of the limit would hardly be noticed, as only
 * an answer tells.
 */
static const double rate_min = 0.1;
/* A higher rate bounds nothing. */
static const double rate_max = 1e5;
/* A giver collects permits of so many seconds, but at least one. */
static const double burst_s = 0.25;
/*
 * Part of the rate that all use together without a giver. It comes on top of
 * what a giver that only some of them reach hands out.
 */
static const double alone_part = 0.5;

/* What is known. */

bool
call_limit_named(call_limit_t *l, double rate, ms_t sent_at, ms_t now)
{
	bool changed;

	if (rate > rate_max)
		return call_limit_absent(l, sent_at, now);
	/* The endpoint may have said this before it ended the limit. */
	if (!l->active && sent_at < l->at)
		return false;
	if (rate < rate_min)
		rate = rate_min;
	changed = !l->active || l->rate != rate;
	*l = (call_limit_t){ true, rate, now };
	return changed;
}

bool
call_limit_absent(call_limit_t *l, ms_t sent_at, ms_t now)
{
	/* It may have been said before the limit was named. */
	if (!l->active || sent_at <= l->at)
		return false;
	*l = (call_limit_t){ .at = now };
	return true;
}

bool
call_limit_adopt(call_limit_t *l, const call_limit_t *from)
{
	bool changed =
	    l->active != from->active || (l->active && l->rate != from->rate);

	if (from->at <= l->at)
		return false;
	*l = *from;
	return changed;
}

/* The giver. */

static int
count_askers(permit_giver_t *g, uint64_t from, ms_t now)
{
	int i, n = 0;
	bool known = false;

	for (i = 0; i < g->nasker; i++) {
		if (g->asker[i].instance == from) {
			g->asker[i].at = now;
			known = true;
		}
		if (now - g->asker[i].at < ASKER_LIFE_MS)
			g->asker[n++] = g->asker[i];
	}
	g->nasker = n;
	if (!known && n < PERMIT_ASKERS_MAX) {
		g->asker[n].instance = from;
		g->asker[n].at = now;
		g->nasker++;
	}
	return g->nasker;
}

/* Permits since the last answer. A new giver begins with none. */
static void
collect(permit_giver_t *g, double rate, ms_t now)
{
	double most = rate * burst_s > 1 ? rate * burst_s : 1;

	if (g->at != 0)
		g->permits += rate * (double)(now - g->at) / 1000;
	if (g->permits > most)
		g->permits = most;
	g->at = now;
}

static ms_t
clamp_next(double ms)
{
	if (ms < NEXT_MIN_MS)
		return NEXT_MIN_MS;
	return ms < NEXT_MAX_MS ? (ms_t)ms : NEXT_MAX_MS;
}

permit_answer_t
permit_give(
    permit_giver_t *g, const call_limit_t *l, uint64_t from, int want, ms_t now)
{
	permit_answer_t a = { 0 };
	int askers = count_askers(g, from, now), fair;

	collect(g, l->rate, now);
	/* No more than its part while others ask, too. */
	fair = (int)g->permits / askers > 1 ? (int)g->permits / askers : 1;
	a.permits = (int)g->permits;
	if (a.permits > want)
		a.permits = want;
	if (a.permits > fair)
		a.permits = fair;
	if (a.permits > PERMITS_MAX)
		a.permits = PERMITS_MAX;
	g->permits -= a.permits;
	a.next_ms = clamp_next((1 - g->permits) * 1000 / l->rate *
			       (1 + (double)askers / ASKERS_PER_PERIOD));
	a.turn_ms = (ms_t)((askers - 1) * 1000 / l->rate);
	a.share_ms = (ms_t)(askers * 1000 / l->rate);
	return a;
}

/* An instance that wants permits. */

bool
permits_available(permits_t *p, ms_t now)
{
	if (p->held > 0 && now >= p->expire_at)
		p->held = 0;
	return p->held > 0 || (p->alone && p->own >= 1);
}

void
permits_spend(permits_t *p)
{
	if (p->held > 0)
		p->held--;
	else if (p->own >= 1)
		p->own -= 1;
}

/*
 * This instance's part of the rate, while no giver answers. A permit isn't kept
 * for long, or all instances might use one at the same time.
 */
static void
collect_own(permits_t *p, double rate, ms_t now)
{
	if (p->own >= 1 && now - p->own_since >= OWN_LIFE_MS)
		p->own = 0;
	if (p->own < 1) {
		p->own += rate * (double)(now - p->own_at) / 1000;
		p->own_since = now;
	}
	if (p->own > 1)
		p->own = 1;
	p->own_at = now;
}

static void
be_alone(permits_t *p, double phase, ms_t now)
{
	if (p->alone)
		return;
	p->alone = true;
	p->own = phase < 1 ? phase : 0;
	p->own_at = now;
}

bool
permits_want(permits_t *p, const call_limit_t *l,
    const permit_sharers_t *sharers, ms_t now)
{
	int n = sharers->instances > 1 ? sharers->instances : 1;
	double rate = l->rate * alone_part / n;

	if (p->asked_at != 0 && now - p->asked_at >= ALONE_AFTER_MS)
		be_alone(p, sharers->phase, now);
	if (p->alone) {
		collect_own(p, rate, now);
		p->turn_ms = 0;
		p->share_ms = (ms_t)(1000 / rate);
	}
	if (now < p->ask_at)
		return false;
	p->ask_at = now + ANSWER_TIMEOUT_MS;
	if (p->asked_at == 0)
		p->asked_at = now;
	return true;
}

void
permits_answered(permits_t *p, const permit_answer_t *a, ms_t now)
{
	permits_available(p, now);
	p->held += a->permits;
	if (p->held > PERMITS_MAX)
		p->held = PERMITS_MAX;
	p->expire_at = now + PERMIT_LIFE_MS;
	p->ask_at = now + a->next_ms;
	p->turn_ms = a->turn_ms;
	p->share_ms = a->share_ms;
	p->asked_at = 0;
	p->alone = false;
}

ms_t
permits_wait_ms(const permits_t *p, int ahead, ms_t now)
{
	ms_t next = p->ask_at > now ? p->ask_at - now : 0;

	/* The giver's answer will tell. */
	if (p->asked_at != 0 && !p->alone)
		return 0;
	if (p->alone)
		next = (ms_t)((1 - p->own) * (double)p->share_ms);
	return next + p->turn_ms + ahead * p->share_ms;
}
