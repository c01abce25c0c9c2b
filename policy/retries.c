#include "policy/retries.h"

#include <string.h>

/* Instances disagree for a while on how many they are, and on the window. */
static const double budget_part = 0.6;

void
retries_init(retries_t *r, ms_t window)
{
	memset(r, 0, sizeof(*r));
	r->interval = 2 * window / RETRY_INTERVALS;
	if (r->interval < 1)
		r->interval = 1;
}

static void
forward(retries_t *r, ms_t now)
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
	forward(r, now);
	r->calls[r->current % RETRY_INTERVALS]++;
}

void
retries_add_retry(retries_t *r, ms_t now)
{
	forward(r, now);
	r->retries[r->current % RETRY_INTERVALS]++;
}

bool
retries_allowed(
    retries_t *r, double ratio, double extra, int instances, ms_t now)
{
	int i, asked = 0, again = 0;

	forward(r, now);
	/* The last window, with the part that is under way. */
	for (i = 0; i <= RETRY_INTERVALS / 2; i++) {
		int at =
		    (int)((r->current + RETRY_INTERVALS - i) % RETRY_INTERVALS);

		asked += r->calls[at];
		again += r->retries[at];
	}
	if (instances < 1)
		instances = 1;
	return again + 1 <= budget_part * (ratio * asked + extra / instances);
}
