#include "policy/buffer_account.h"

/*
 * Of the memory, for requests. Answers have a quarter, and tables, code and
 * what the allocator can't use have the rest.
 */
static const double requests_part = 0.35;
static const double large_part = 0.75; /* of that */

void
buffer_account_init(buffer_account_t *a, size_t memory)
{
	a->bound = (size_t)((double)memory * requests_part);
	a->large_bound = (size_t)((double)a->bound * large_part);
}

static size_t *
class_of(buffer_account_t *a, size_t bytes)
{
	return bytes > BUFFER_SMALL_MAX ? &a->large : &a->small;
}

void
buffer_account_change(buffer_account_t *a, size_t *held, size_t bytes)
{
	*class_of(a, *held) -= *held;
	*held = bytes;
	*class_of(a, bytes) += bytes;
}

size_t
buffer_account_over(const buffer_account_t *a)
{
	size_t all = a->small + a->large;
	size_t over = all > a->bound ? all - a->bound : 0;
	size_t large =
	    a->large > a->large_bound ? a->large - a->large_bound : 0;

	return over > large ? over : large;
}

double
buffer_account_weight(
    const buffer_account_t *a, size_t held, ms_t age, bool *relevant)
{
	*relevant = held > BUFFER_SMALL_MAX || a->small + a->large > a->bound;
	return (double)held * (double)(age + 1);
}
