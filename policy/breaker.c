#include "policy/breaker.h"

enum {
	HARD_FAILURES_MAX = 3, /* hard failures in a row that open it */
	OPEN_FIRST_MS = 500,   /* an endpoint restarts within that time */
	OPEN_MAX_MS = 6000,    /* bounds the time until a recovery is noticed */
	SHARE_CALLS_MIN = 5,   /* calls before the failure share is used */
};
/* Weight of one call in the moving average. */
static const double call_weight = 0.15;
/* Added to the time factor per unit of share above the usual one. */
static const double share_time_factor = 8;

void
breaker_success(breaker_t *b)
{
	b->failures_in_row = 0;
	b->open_ms = 0;
	b->open_until = 0;
	b->probing = false;
	b->failure_share -= call_weight * b->failure_share;
	if (b->calls_seen < SHARE_CALLS_MIN)
		b->calls_seen++;
}

void
breaker_failure(breaker_t *b, bool hard, ms_t now)
{
	b->failure_share += call_weight * (1 - b->failure_share);
	if (b->calls_seen < SHARE_CALLS_MIN)
		b->calls_seen++;
	if (!hard)
		return;
	b->failures_in_row++;
	if (b->failures_in_row < HARD_FAILURES_MAX && !b->probing)
		return;
	b->probing = false;
	b->open_ms = b->open_ms == 0 ? OPEN_FIRST_MS : 2 * b->open_ms;
	if (b->open_ms > OPEN_MAX_MS)
		b->open_ms = OPEN_MAX_MS;
	b->open_until = now + b->open_ms;
}

bool
breaker_allows(const breaker_t *b, ms_t now)
{
	return now >= b->open_until;
}

void
breaker_sent(breaker_t *b, ms_t now)
{
	if (b->open_until != 0 && now >= b->open_until) {
		b->probing = true;
		/* Another one then, if this one ends without an outcome. */
		b->open_until = now + OPEN_MAX_MS;
	}
}

double
breaker_time_factor(const breaker_t *b, double usual_share)
{
	double excess = b->failure_share - usual_share;

	if (b->calls_seen < SHARE_CALLS_MIN || excess <= 0)
		return 1;
	return 1 + share_time_factor * excess;
}
