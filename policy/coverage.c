#include "policy/coverage.h"

void
coverage_fresh(coverage_t *c, int64_t revision, ms_t now)
{
	if (revision > c->upto)
		c->upto = revision;
	c->at = now;
}

void
coverage_copy(coverage_t *c, int64_t revision)
{
	if (revision > c->upto)
		c->upto = revision;
}

bool
coverage_claimed(
    coverage_t *c, const coverage_claim_t *claim, ms_t limit, ms_t now)
{
	if (!coverage_holds(c, limit, now) || claim->from > c->upto)
		return false;
	if (claim->upto > c->upto)
		c->upto = claim->upto;
	if (now - claim->ago > c->at)
		c->at = now - claim->ago;
	return true;
}

bool
coverage_holds(const coverage_t *c, ms_t limit, ms_t now)
{
	return c->at != 0 && now - c->at < limit;
}
