#include "policy/liveness.h"

enum {
	INTERVAL_MIN_MS = 500, /* for few peers */
	/* A datagram costs its receiver some 30 us. */
	INTERVAL_PER_PEER_MS = 12,
	DEAD_INTERVALS = 4,
	FRESH_INTERVALS = 2,
};

static ms_t
interval_of(int npeer)
{
	ms_t v = (ms_t)INTERVAL_PER_PEER_MS * npeer;

	return v > INTERVAL_MIN_MS ? v : INTERVAL_MIN_MS;
}

ms_t
liveness_interval(const liveness_t *l)
{
	return interval_of(l->npeer);
}

ms_t
liveness_domain_interval(const liveness_t *l)
{
	return interval_of(
	    l->npeer < LIVENESS_MANY_PEERS ? l->npeer : l->ndomain);
}

ms_t
liveness_peer_interval(const liveness_t *l, bool same_domain, ms_t announced)
{
	return same_domain && announced > 0 ? announced : liveness_interval(l);
}

ms_t
liveness_dead_after(ms_t interval)
{
	return DEAD_INTERVALS * interval;
}

ms_t
liveness_fresh_for(ms_t interval)
{
	return FRESH_INTERVALS * interval;
}
