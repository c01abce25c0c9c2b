#include "policy/policy.h"

enum {
	TRIES_MAX = 30 /* keeps the doubling from overflowing */
};

ms_t
backoff_next(backoff_t *b, rng_t *rng)
{
	ms_t bound = b->initial;
	int i;

	for (i = 0; i < b->tries && bound < b->max; i++)
		bound *= 2;
	if (bound > b->max)
		bound = b->max;
	if (b->tries < TRIES_MAX)
		b->tries++;
	return 1 + (ms_t)(rng_unit(rng) * (double)bound);
}

void
backoff_reset(backoff_t *b)
{
	b->tries = 0;
}

void
budget_add_success(budget_t *b)
{
	b->tokens += (double)b->percent / 100;
	if (b->tokens > b->max)
		b->tokens = b->max;
}

bool
budget_spend(budget_t *b)
{
	if (b->tokens < 1)
		return false;
	b->tokens -= 1;
	return true;
}
