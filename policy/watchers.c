#include "policy/watchers.h"

#include "policy/liveness.h"

enum {
	/* Watchers in all, so that one that fails doesn't hide a change. */
	WATCHERS_MIN = 3,
	/* With few instances, or few domains. */
	WATCHERS_FEW = 2,
	INTERVAL_MIN_MS = 250,
	INTERVAL_MAX_MS = 500,
	/* Of the time to notice an endpoint that leaves, one answer may take.
	 */
	DRAIN_DIVISOR = 8,
	COPY_INTERVAL_MS = 1200, /* with few instances */
	/* Copies are the fewer for each instance, the more there are. */
	COPY_PER_PEER_MS = 8,
};

bool
watchers_by_domain(const watchers_t *w)
{
	return w->npeer >= LIVENESS_MANY_PEERS;
}

int
watchers_count(const watchers_t *w)
{
	if (!watchers_by_domain(w) || w->ndomain < WATCHERS_MIN)
		return WATCHERS_FEW;
	return 1;
}

ms_t
watchers_interval(const watchers_t *w)
{
	ms_t v = w->drain / DRAIN_DIVISOR;

	return v < INTERVAL_MIN_MS   ? INTERVAL_MIN_MS
	       : v > INTERVAL_MAX_MS ? INTERVAL_MAX_MS
				     : v;
}

ms_t
watchers_copy_interval(const watchers_t *w)
{
	ms_t v = (ms_t)COPY_PER_PEER_MS * w->npeer;

	return v > COPY_INTERVAL_MS ? v : COPY_INTERVAL_MS;
}
