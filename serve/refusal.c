/*
 * Which refusals say that a call wasn't run. A faulty endpoint may write an
 * earlier refusal again on a connection that is kept, and run the call.
 */
#include "serve/serve.h"

bool
call_may_have_been_sent(const call_t *c, const ep_t *p)
{
	int i;

	/* What other instances tried isn't known in full. */
	if (c->ntried > TRIED_MAX || (c->from_instance && c->sends > 0))
		return true;
	for (i = 0; i < c->ntried; i++)
		if (c->tried[i] == p || c->tried[i]->kind == EP_PEER)
			return true;
	return false;
}

bool
refusal_counts(const call_t *c, const ep_conn_t *w, const answer_head_t *a)
{
	bool own = w->unused || a->call_id != NULL;

	/* Another instance says so in a field of its own. */
	if (w->ep->kind == EP_PEER)
		return false;
	if (!own)
		log_limited(LOG_WARNING, "refusal-unattributed",
		    "request=%s endpoint=%s", c->request.id, w->ep->entry.id);
	return own;
}
