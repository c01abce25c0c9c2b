#include "policy/retry_after.h"

void
retry_after_asked(retry_after_t *r, ms_t span, ms_t now)
{
	if (now + span > r->until)
		r->until = now + span;
}

ms_t
retry_after_left(const retry_after_t *r, ms_t now)
{
	return r->until > now ? r->until - now : 0;
}
