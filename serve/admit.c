#include "serve/serve.h"

#include <string.h>

enum {
	/* A call with so much less time left than others was resubmitted. */
	RESUBMITTED_MS = 150,
	PRIORITY_BASE = 3, /* of 0..9; other senders' calls get 5 */
	PRIORITY_LAST = 9,
	PRIORITY_STEP = 3, /* from one organisation's priority to the next */
};
/*
 * Predictions are too low when several instances send at the same moment; the
 * rest of the target latency covers that. A resubmitted call may use all of it.
 */
static const double limit_part = 0.8, resubmitted_limit_part = 1.0;
/* Weight of one attempt in the moving average of failures. */
static const double failure_weight = 0.01;

int
call_priority(const call_t *c)
{
	int priority = PRIORITY_BASE + c->route.priority;

	if (c->config->has_organisations)
		priority = c->organisation != NULL
			       ? PRIORITY_STEP * c->organisation->priority +
				     c->route.priority
			       : PRIORITY_LAST;
	if (priority < 0)
		return 0;
	return priority > 9 ? 9 : priority;
}

double
call_first_event_limit(const call_t *c)
{
	double limit_ms =
	    (double)c->route.target_latency *
	    (c->resubmitted ? resubmitted_limit_part : limit_part);
	double deadline_ms =
	    (double)(c->deadline - c->received_at) * limit_part;

	/*
	 * An answer under way is continued even if it is late, and so is a call
	 * whose endpoint fell silent: it can't be refused any more.
	 */
	if (c->head_sent || c->silent || c->left_silent)
		return deadline_ms;
	return limit_ms < deadline_ms ? limit_ms : deadline_ms;
}

bool
remaining_is_reduced(serve_t *s, const route_t *r, ms_t remaining)
{
	ms_t *longest = g_hash_table_lookup(s->max_remaining, r->name);

	if (longest == NULL) {
		longest = g_new0(ms_t, 1);
		g_hash_table_insert(
		    s->max_remaining, g_strdup(r->name), longest);
	}
	if (remaining > *longest)
		*longest = remaining;
	return remaining < *longest - RESUBMITTED_MS;
}

void
failure_rate_update(serve_t *s, bool failed)
{
	s->failure_rate +=
	    failure_weight * ((failed ? 1 : 0) - s->failure_rate);
}

static retries_t *
retry_budget(serve_t *s, const char *service)
{
	retries_t *r = g_hash_table_lookup(s->retries, service);

	if (r != NULL)
		return r;
	r = g_new0(retries_t, 1);
	retries_init(r, s->conf.bounds.retry_window);
	g_hash_table_insert(s->retries, g_strdup(service), r);
	return r;
}

void
retry_budget_add_call(serve_t *s, const char *service)
{
	retries_add_call(retry_budget(s, service), s->loop.now);
}

static bool
budget_allows(serve_t *s, const call_t *c, int retries)
{
	const deployment_bounds_t *b = &s->conf.bounds;

	return retries_allow(retry_budget(s, c->service), retries,
	    b->retry_ratio, b->retry_extra, peers_alive(s), s->loop.now);
}

bool
retry_budget_allows(serve_t *s, const call_t *c)
{
	return budget_allows(s, c, 1);
}

bool
retry_budget_allows_return(serve_t *s, const call_t *c)
{
	return budget_allows(s, c, 2);
}

void
retry_budget_spend(serve_t *s, const call_t *c)
{
	retries_add_retry(retry_budget(s, c->service), s->loop.now);
}

void
count_outcome(const call_t *c, const char *outcome)
{
	char name[160];

	snprintf(name, sizeof(name), "ebonypitch_calls_total{outcome=\"%s\"}",
	    outcome);
	counter_add(counter_get(name, "Calls by how they ended."), 1);
	if (c->first_at != 0)
		histo_add(&c->s->first_ms, c->first_at - c->received_at);
	histo_add(&c->s->whole_ms, c->s->loop.now - c->received_at);
	if (c->nevent < 2)
		return;
	histo_add(&c->s->pause_ms, c->pause);
	if (c->route.target_gap > 0 && c->pause > c->route.target_gap)
		counter_add(counter_get("ebonypitch_streams_paused_total",
				"Streams with a pause over their route's."),
		    1);
}
