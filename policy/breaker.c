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
breaker_success(breaker_t *b)
{
	b->failures_in_row = 0;
	b->open_ms = 0;
	b->open_until = 0;
	b->probing = false;
	b->failure_share -= share_step * b->failure_share;
	if (b->calls_seen < SEEN_ENOUGH)
		b->calls_seen++;
}

void
breaker_failure(breaker_t *b, bool hard, ms_t now)
{
	b->failure_share += share_step * (1 - b->failure_share);
	if (b->calls_seen < SEEN_ENOUGH)
		b->calls_seen++;
	if (!hard)
		return;
	b->failures_in_row++;
	if (b->failures_in_row < IN_A_ROW && !b->probing)
		return;
	b->probing = false;
	b->open_ms = b->open_ms == 0 ? SPAN_FIRST : 2 * b->open_ms;
	if (b->open_ms > SPAN_MOST)
		b->open_ms = SPAN_MOST;
	b->open_until = now + b->open_ms;
}

bool
breaker_allows(const breaker_t *b, ms_t now)
{
	if (b->open_until == 0)
		return true;
	return now >= b->open_until && !b->probing;
}

void
breaker_sent(breaker_t *b, ms_t now)
{
	if (b->open_until != 0 && now >= b->open_until) {
		b->probing = true;
		/* If the try itself is lost, another follows. */
		b->open_until = now + SPAN_MOST;
	}
}

double
breaker_time_factor(const breaker_t *b, double usual_share)
{
	double over = b->failure_share - usual_share;

	if (b->calls_seen < SEEN_ENOUGH || over <= 0)
		return 1;
	return 1 + share_cost * over;
}
