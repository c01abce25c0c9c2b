#include "platform/platform.h"

bool
claims_ask(claims_t *c, uint64_t tag, const claim_ask_t *ask)
{
	(void)c;
	(void)tag;
	(void)ask;
	return false;
}

bool
claims_settle(claims_t *c, uint64_t tag, const claim_settle_t *s)
{
	(void)c;
	(void)tag;
	(void)s;
	return false;
}
