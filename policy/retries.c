#include "policy/retries.h"

#include <string.h>

/*
 * Part of the budget that is used: instances may disagree for a while on how
 * many they are, and on where a window starts.
 */
static const double usable_share = 0.6;

void
retries_init(retries_t *r, ms_t window)
{
	memset(r, 0, sizeof(*r));
	r->interval = 2 * window / RETRY_INTERVALS;
	if (r->interval < 1)
		r->interval = 1;
}

/* Make the interval of @p now the current one; clear those passed over. */
static void
advance(retries_t *r, ms_t now)
{
	int64_t at = now / r->interval;

	if (at - r->current >= RETRY_INTERVALS)
		r->current = at - RETRY_INTERVALS;
	while (r->current < at) {
		r->current++;
		r->calls[r->current % RETRY_INTERVALS] = 0;
		r->retries[r->current % RETRY_INTERVALS] = 0;
	}
}

void
retries_add_call(retries_t *r, ms_t now)
{
	advance(r, now);
	r->calls[r->current % RETRY_INTERVALS]++;
}

void
retries_add_retry(retries_t *r, ms_t now)
{
	advance(r, now);
	r->retries[r->current % RETRY_INTERVALS]++;
}

bool
retries_allow(retries_t *r, int wanted, double ratio, double extra,
    int instances, ms_t now)
{
	int i, calls = 0, retries = 0;

	advance(r, now);
	/* The last window, and the interval in progress. */
	for (i = 0; i <= RETRY_INTERVALS / 2; i++) {
		int at =
		    (int)((r->current + RETRY_INTERVALS - i) % RETRY_INTERVALS);

		calls += r->calls[at];
		retries += r->retries[at];
	}
	if (instances < 1)
		instances = 1;
	return retries + wanted <=
	       usable_share * (ratio * calls + extra / instances);
}

bool
retries_allowed(
    retries_t *r, double ratio, double extra, int instances, ms_t now)
{
	return retries_allow(r, 1, ratio, extra, instances, now);
}
