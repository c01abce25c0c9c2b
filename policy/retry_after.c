#include "policy/retry_after.h"

enum {
	CLOCKS_APART_MS = 500, /* the endpoint's and ours, at most */
};

void
retry_after_asked(retry_after_t *r, ms_t span, ms_t now, int64_t wall)
{
	r->asked_at = wall;
	if (now + span > r->until)
		r->until = now + span;
}

void
retry_after_restarted(retry_after_t *r, int64_t started_at)
{
	if (started_at > r->asked_at + CLOCKS_APART_MS)
		*r = (retry_after_t){ 0 };
}

ms_t
retry_after_left(const retry_after_t *r, ms_t now)
{
	return r->until > now ? r->until - now : 0;
}
