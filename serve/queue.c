#include "serve/organisation.h"

#include <string.h>

enum {
	RETRY_INTERVAL_MS = 15, /* capacity may return without an event */
};

/* Orders calls by priority, then by the end of the target latency. */
static bool
goes_before(const call_t *a, const call_t *b)
{
	int rank_a = call_rank(a), rank_b = call_rank(b);

	if (rank_a != rank_b)
		return rank_a < rank_b;
	return a->received_at + a->route.target_latency <
	       b->received_at + b->route.target_latency;
}

void
call_queue_add(call_t *c)
{
	serve_t *s = c->s;
	call_t **at;

	if (c->queued)
		return;
	for (at = &s->wait_queue; *at != NULL && !goes_before(c, *at);
	     at = &(*at)->next_waiting)
		;
	c->next_waiting = *at;
	*at = c;
	c->queued = true;
	if (s->queue_alarm.pos == 0)
		alarm_set(
		    &s->loop, &s->queue_alarm, s->loop.now + RETRY_INTERVAL_MS);
}

void
call_queue_remove(call_t *c)
{
	call_t **at;

	if (!c->queued)
		return;
	for (at = &c->s->wait_queue; *at != c; at = &(*at)->next_waiting)
		;
	*at = c->next_waiting;
	c->next_waiting = NULL;
	c->queued = false;
}

double
call_queue_prompt_tokens(const serve_t *s, const char *model)
{
	const call_t *o;
	double sum = 0;

	for (o = s->wait_queue; o != NULL; o = o->next_waiting)
		if (model == NULL || strcmp(o->request.model, model) == 0)
			sum += o->request.prompt;
	return sum;
}

double
call_queue_tokens_ahead(const call_t *c)
{
	const serve_t *s = c->s;
	const call_t *o;
	double tokens_here = 0, all = call_queue_prompt_tokens(s, NULL),
	       tokens_elsewhere = 0, model_share;
	int i;

	for (o = s->wait_queue; o != NULL && o != c; o = o->next_waiting)
		if (strcmp(o->request.model, c->request.model) == 0 &&
		    (c->queued || goes_before(o, c)))
			tokens_here += o->request.prompt;
	for (i = 0; i < s->peers.npeer; i++)
		if (peer_alive(s, s->peers.peer[i]))
			tokens_elsewhere += s->peers.peer[i]->queued_tokens;
	/*
	 * Assumes that their queues have the same mix of models as ours and
	 * that half of their calls go first.
	 */
	model_share =
	    all > 0 ? call_queue_prompt_tokens(s, c->request.model) / all : 0;
	return tokens_here + tokens_elsewhere * model_share / 2;
}

int
call_queue_calls_ahead(const call_t *c)
{
	const call_t *o;
	int n = 0;

	for (o = c->s->wait_queue; o != NULL && o != c; o = o->next_waiting)
		n += strcmp(o->service, c->service) == 0 &&
		     strcmp(o->request.model, c->request.model) == 0 &&
		     (c->queued || goes_before(o, c));
	return n;
}

void
call_queue_dispatch(serve_t *s)
{
	handle_t id[QUEUE_SCAN_MAX];
	call_t *c;
	int i, n = 0;

	/*
	 * Dispatching one call may end others, so look each up by its handle.
	 */
	for (c = s->wait_queue; c != NULL && n < QUEUE_SCAN_MAX;
	     c = c->next_waiting)
		id[n++] = c->id;
	for (i = 0; i < n; i++) {
		c = call_get(s, id[i]);
		if (c != NULL && c->queued)
			call_dispatch(c);
	}
	if (s->wait_queue != NULL)
		alarm_set(
		    &s->loop, &s->queue_alarm, s->loop.now + RETRY_INTERVAL_MS);
	else
		alarm_stop(&s->loop, &s->queue_alarm);
}

void
call_queue_wake(serve_t *s)
{
	if (s->wait_queue != NULL)
		s->queue_woken = true;
}

static void
on_alarm(void *arg)
{
	call_queue_dispatch(arg);
}

void
call_queue_init(serve_t *s)
{
	s->queue_alarm = (alarm_t){ .fn = on_alarm, .arg = s };
}
