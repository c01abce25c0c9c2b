#include "policy/keeper.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
	ASKS_MAX = 512,
	/* A call asks again well before. */
	ASK_TTL_MS = 400,
	/* By then the instance has reported the call, or never got the grant.
	 */
	GRANT_TTL_MS = 300,
	/* Shares are reported at each change and with each heartbeat. */
	SHARE_TTL_MS = 6000,
};

/* Adds room for one more element. */
static void *
grow(void *list, int n, int *room, size_t size)
{
	if (n < *room)
		return list;
	*room = *room == 0 ? 8 : *room * 2;
	list = realloc(list, (size_t)*room * size);
	if (list == NULL)
		abort();
	return list;
}

void
keeper_init(keeper_t *k, int slots, int kv_capacity)
{
	memset(k, 0, sizeof(*k));
	workload_init(&k->load, slots, kv_capacity);
}

void
keeper_free(keeper_t *k)
{
	free(k->ask);
	free(k->grant);
	free(k->share);
	memset(k, 0, sizeof(*k));
}

static int
find(const keeper_ask_t *list, int n, uint64_t asker, uint32_t call)
{
	int i;

	for (i = 0; i < n; i++)
		if (list[i].asker == asker && list[i].call == call)
			return i;
	return -1;
}

static void
remove_at(keeper_ask_t *list, int *n, int i)
{
	(*n)--;
	memmove(list + i, list + i + 1, (size_t)(*n - i) * sizeof(*list));
}

static void
add_load(keeper_t *k, const workload_share_t *s, int sign)
{
	k->load.others.prefill_tokens += sign * s->prefill_tokens;
	k->load.others.running += sign * s->running;
	k->load.others.kv_tokens += sign * s->kv_tokens;
}

static workload_share_t
share_of(const keeper_ask_t *a)
{
	return (workload_share_t){ a->tokens, 1, a->kv };
}

static bool
goes_before(const keeper_ask_t *a, const keeper_ask_t *b)
{
	return a->rank != b->rank ? a->rank < b->rank : a->late_at < b->late_at;
}

bool
keeper_granted(const keeper_t *k, uint64_t asker, uint32_t call)
{
	return find(k->grant, k->ngrant, asker, call) != -1;
}

bool
keeper_put(keeper_t *k, const keeper_ask_t *a)
{
	int at = find(k->ask, k->nask, a->asker, a->call);

	if (keeper_granted(k, a->asker, a->call))
		return true;
	if (at != -1) {
		k->ask[at].heard_at = a->heard_at;
		return true;
	}
	if (k->nask == ASKS_MAX)
		return false;
	k->ask = grow(k->ask, k->nask, &k->ask_room, sizeof(*k->ask));
	for (at = k->nask++; at > 0 && goes_before(a, &k->ask[at - 1]); at--)
		k->ask[at] = k->ask[at - 1];
	k->ask[at] = *a;
	return true;
}

static void
remove_grant(keeper_t *k, int at)
{
	workload_share_t s = share_of(&k->grant[at]);

	add_load(k, &s, -1);
	remove_at(k->grant, &k->ngrant, at);
}

void
keeper_remove(keeper_t *k, uint64_t asker, uint32_t call)
{
	int at = find(k->ask, k->nask, asker, call);

	if (at != -1)
		remove_at(k->ask, &k->nask, at);
	at = find(k->grant, k->ngrant, asker, call);
	if (at != -1)
		remove_grant(k, at);
}

void
keeper_report(
    keeper_t *k, uint64_t asker, const workload_share_t *share, ms_t now)
{
	keeper_share_t *s = NULL;
	int i;

	for (i = 0; i < k->nshare; i++)
		if (k->share[i].asker == asker)
			s = &k->share[i];
	if (s == NULL) {
		k->share =
		    grow(k->share, k->nshare, &k->share_room, sizeof(*s));
		s = &k->share[k->nshare++];
		*s = (keeper_share_t){ .asker = asker };
	}
	add_load(k, &s->share, -1);
	s->share = *share;
	s->heard_at = now;
	add_load(k, &s->share, 1);
}

/* ms until a call may be sent, -1: when another one ends. */
static double
delay_ms(
    const keeper_t *k, const keeper_rules_t *r, const keeper_ask_t *a, ms_t now)
{
	const workload_t *w = &k->load;
	double most =
	    w->slots * (1 + (w->kv_capacity == 0 ? r->plain_queue : 0));

	if (w->others.running > 0 &&
	    (w->others.running >= most || workload_kv_free(w) < a->kv))
		return -1;
	return workload_send_delay_ms(w, r->average, r->limits, a->tokens, now);
}

bool
keeper_next(keeper_t *k, const keeper_rules_t *r, ms_t now, keeper_ask_t *out)
{
	workload_share_t s;

	workload_refresh(&k->load, now);

	if (k->nask == 0 || delay_ms(k, r, &k->ask[0], now) != 0)
		return false;
	*out = k->ask[0];
	out->heard_at = now;
	remove_at(k->ask, &k->nask, 0);
	k->grant = grow(k->grant, k->ngrant, &k->grant_room, sizeof(*out));
	k->grant[k->ngrant++] = *out;
	s = share_of(out);
	add_load(k, &s, 1);
	workload_prompt_sent(&k->load, r->average, r->limits, out->tokens, now);
	return true;
}

double
keeper_next_in(const keeper_t *k, const keeper_rules_t *r, ms_t now)
{
	return k->nask > 0 ? delay_ms(k, r, &k->ask[0], now) : -1;
}

/* Calls ahead go first; a plain endpoint serves a slot's worth at a time. */
double
keeper_wait_ms(const keeper_t *k, const keeper_rules_t *r, uint64_t asker,
    uint32_t call, ms_t now)
{
	int i, at = find(k->ask, k->nask, asker, call);
	double tokens = 0, wait;

	if (at == -1)
		return 0;
	if (k->load.kv_capacity == 0)
		return workload_predict_ms(&k->load, r->average, 0) * (at + 1) /
		       k->load.slots;
	for (i = 0; i < at; i++)
		tokens += k->ask[i].tokens;
	wait = workload_send_delay_ms(
	    &k->load, r->average, r->limits, k->ask[at].tokens, now);
	return wait +
	       tokens / workload_prompt_rate(&k->load, r->average, r->limits);
}

void
keeper_expire(keeper_t *k, ms_t now)
{
	int i;

	for (i = k->nask - 1; i >= 0; i--)
		if (now - k->ask[i].heard_at > ASK_TTL_MS)
			remove_at(k->ask, &k->nask, i);
	for (i = k->ngrant - 1; i >= 0; i--)
		if (now - k->grant[i].heard_at > GRANT_TTL_MS)
			remove_grant(k, i);
	for (i = k->nshare - 1; i >= 0; i--) {
		if (now - k->share[i].heard_at <= SHARE_TTL_MS)
			continue;
		add_load(k, &k->share[i].share, -1);
		k->share[i] = k->share[--k->nshare];
	}
}

bool
keeper_idle(const keeper_t *k)
{
	return k->nask == 0 && k->ngrant == 0 && k->nshare == 0;
}
