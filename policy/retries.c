#include "policy/retries.h"

#include <string.h>

/* Instances disagree for a while on how many they are, and on the window. */
static const double budget_part = 0.6;

void
retries_init(retries_t *r, ms_t window)
{
	memset(r, 0, sizeof(*r));
	r->part = 2 * window / RETRY_PARTS;
	if (r->part < 1)
		r->part = 1;
}

static void
forward(retries_t *r, ms_t now)
{
	int64_t at = now / r->part;

	if (at - r->at >= RETRY_PARTS)
		r->at = at - RETRY_PARTS;
	while (r->at < at) {
		r->at++;
		r->asked[r->at % RETRY_PARTS] = 0;
		r->again[r->at % RETRY_PARTS] = 0;
	}
}

void
retries_asked(retries_t *r, ms_t now)
{
	forward(r, now);
	r->asked[r->at % RETRY_PARTS]++;
}

void
retries_spent(retries_t *r, ms_t now)
{
	forward(r, now);
	r->again[r->at % RETRY_PARTS]++;
}

bool
retries_allowed(
    retries_t *r, double ratio, double extra, int instances, ms_t now)
{
	int i, asked = 0, again = 0;

	forward(r, now);
	/* The last window, with the part that is under way. */
	for (i = 0; i <= RETRY_PARTS / 2; i++) {
		int at = (int)((r->at + RETRY_PARTS - i) % RETRY_PARTS);

		asked += r->asked[at];
		again += r->again[at];
	}
	if (instances < 1)
		instances = 1;
	return again + 1 <= budget_part * (ratio * asked + extra / instances);
}
