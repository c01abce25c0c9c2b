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
	/* A watch ends by itself, and an answer covers, for so many eighths. */
	TIMEOUT_EIGHTHS = 3,
	COVER_EIGHTHS = 7,
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
watchers_timeout(const watchers_t *w)
{
	return w->drain * TIMEOUT_EIGHTHS / DRAIN_DIVISOR;
}

ms_t
watchers_cover(const watchers_t *w, ms_t heartbeat)
{
	ms_t v = w->drain * COVER_EIGHTHS / DRAIN_DIVISOR;
	ms_t claims =
	    watchers_interval(w) + watchers_timeout(w) + heartbeat * 3 / 2;

	/* So many would overload the store if each asked it for itself. */
	return watchers_by_domain(w) && claims > v ? claims : v;
}

ms_t
watchers_copy_interval(const watchers_t *w)
{
	ms_t v = (ms_t)COPY_PER_PEER_MS * w->npeer;

	return v > COPY_INTERVAL_MS ? v : COPY_INTERVAL_MS;
}
