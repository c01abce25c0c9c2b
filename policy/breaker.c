#include "policy/breaker.h"

enum {
	IN_A_ROW = 3,	  /* hard failures that open it */
	SPAN_FIRST = 500, /* ms open at first: a restart is as quick */
	SPAN_MOST = 6000, /* ms: a recovered one is found by then */
	SEEN_ENOUGH = 5,  /* calls before a share means something */
};
/* One call's weight in the share of failed ones. */
static const double share_step = 0.15;
/* Failed calls beyond the usual share count this much in time. */
static const double share_cost = 8;

void
breaker_good(breaker_t *b)
{
	b->bad = 0;
	b->span = 0;
	b->open_until = 0;
	b->trying = false;
	b->share -= share_step * b->share;
	if (b->seen < SEEN_ENOUGH)
		b->seen++;
}

void
breaker_bad(breaker_t *b, bool hard, ms_t now)
{
	b->share += share_step * (1 - b->share);
	if (b->seen < SEEN_ENOUGH)
		b->seen++;
	if (!hard)
		return;
	b->bad++;
	if (b->bad < IN_A_ROW && !b->trying)
		return;
	b->trying = false;
	b->span = b->span == 0 ? SPAN_FIRST : 2 * b->span;
	if (b->span > SPAN_MOST)
		b->span = SPAN_MOST;
	b->open_until = now + b->span;
}

bool
breaker_allows(const breaker_t *b, ms_t now)
{
	if (b->open_until == 0)
		return true;
	return now >= b->open_until && !b->trying;
}

void
breaker_sent(breaker_t *b, ms_t now)
{
	if (b->open_until != 0 && now >= b->open_until) {
		b->trying = true;
		/* If the try itself is lost, another follows. */
		b->open_until = now + SPAN_MOST;
	}
}

double
breaker_weight(const breaker_t *b, double usual_share)
{
	double over = b->share - usual_share;

	if (b->seen < SEEN_ENOUGH || over <= 0)
		return 1;
	return 1 + share_cost * over;
}
