#include "policy/reach.h"

void
reach_ep_failed(reach_ep_t *e, ms_t now)
{
	e->way = WAY_FAILED;
	e->interval =
	    e->interval == 0 ? REACH_PROBE_INTERVAL_MS : 2 * e->interval;
	if (e->interval > REACH_PROBE_INTERVAL_MAX_MS)
		e->interval = REACH_PROBE_INTERVAL_MAX_MS;
	e->probe_at = now + e->interval;
}

void
reach_ep_connected(reach_ep_t *e)
{
	*e = (reach_ep_t){ 0 };
}

bool
reach_connected(reach_t *r)
{
	bool was_lost = r->lost;

	r->lost = false;
	r->nfailed = 0;
	return was_lost;
}

bool
reach_failed(reach_t *r, uint32_t endpoint, int open, ms_t now)
{
	int i, needed = r->nfailed + open;

	if (needed > REACH_FAILURES_NEEDED)
		needed = REACH_FAILURES_NEEDED;
	for (i = 0; i < r->nfailed && r->failed[i] != endpoint; i++)
		;
	if (i == r->nfailed && i < REACH_FAILURES_NEEDED)
		r->failed[r->nfailed++] = endpoint;
	if (r->lost || r->nfailed < needed)
		return false;
	r->lost = true;
	r->lost_at = now;
	return true;
}

void
reach_asked(reach_t *r, ms_t now)
{
	if (r->asked_at == 0)
		r->asked_at = now;
}

void
reach_heard(reach_t *r)
{
	r->asked_at = 0;
}

bool
reach_is_failing(const reach_t *r)
{
	return r->nfailed > 0;
}

ms_t
reach_quiet_at(const reach_t *r)
{
	if (r->asked_at == 0)
		return 0;
	return REACH_QUIET_MS +
	       (r->asked_at > r->probed_at ? r->asked_at : r->probed_at);
}

void
reach_probed(reach_t *r, ms_t now)
{
	r->probed_at = now;
}
