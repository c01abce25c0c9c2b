/*
 * Calls that ask before they are sent: at the two endpoints that look best by
 * what is known here, which may be old. The instances that keep these answer
 * with a grant, or with the time until one is likely.
 */
#include "serve/keepers.h"
#include "serve/organisation.h"
#include "serve/prompt_cost.h"

#include <string.h>

enum {
	/* Without an answer by then, the question is repeated. */
	REPEAT_MS = 25,
	/* Without any by then, the call goes by what is known here. */
	UNANSWERED_MS = 70,
	/* Time for the other answer, once a call is granted. */
	OTHER_MS = 8,
	/* A call that waits looks again for the endpoints to ask at. */
	ROUND_MS = 120,
	RETRY_SLACK_MS = 50,
	FURTHER_MAX = 3, /* rounds before a call is refused */
};

static void
count_ask(const char *result)
{
	char name[96];

	snprintf(
	    name, sizeof(name), "ebonypitch_asks_total{result=\"%s\"}", result);
	counter_add(counter_get(name, "Calls that asked, by how it ended."), 1);
}

static call_t *
asking_call(const serve_t *s, uint32_t number)
{
	return g_hash_table_lookup(
	    s->keepers->asking, GUINT_TO_POINTER(number));
}

/* Latest time at which the call can begin and still be in time. */
static ms_t
late_at(const call_t *c)
{
	return c->received_at + (ms_t)call_first_event_limit(c);
}

static void
send_ask(call_t *c, asked_t *a)
{
	serve_t *s = c->s;
	bool engine = c->request.model[0] != '\0';
	keeper_ask_t k = { .asker = s->peers.hash,
		.call = c->ask.number,
		.tokens = engine ? a->tokens : 0,
		.kv = engine ? c->request.prompt + c->request.output : 0,
		.rank = call_rank(c),
		.late_at = late_at(c),
		.heard_at = s->loop.now };
	const peer_t *to;

	a->sent_at = s->loop.now;
	if (!keeper_of(s, a->ep, &to))
		return;
	if (to != NULL)
		keeper_send_ask(s, &to->sa, a->ep, &k);
	else
		keeper_ask_here(s, a->ep, &k);
}

/* The grant isn't used. */
static void
give_back(serve_t *s, ep_t *p, uint32_t call)
{
	const peer_t *to;

	if (!keeper_of(s, p, &to))
		return;
	if (to != NULL)
		keeper_send_removed(s, &to->sa, p, call);
	else
		keeper_remove_here(s, p, call);
}

static void
take_back(call_t *c, asked_t *a)
{
	if (a->ep != NULL)
		give_back(c->s, a->ep, c->ask.number);
	a->ep = NULL;
}

static void
stop_asking(call_t *c)
{
	if (c->ask.number == 0)
		return;
	g_hash_table_remove(
	    c->s->keepers->asking, GUINT_TO_POINTER(c->ask.number));
	c->ask.number = 0;
}

void
ask_end(call_t *c)
{
	int i;

	if (c->ask.number == 0)
		return;
	for (i = 0; i < ASKED_MAX; i++)
		take_back(c, &c->ask.at[i]);
	stop_asking(c);
}

static void
begin_round(call_t *c, ep_t *const *candidate, const int *tokens, int n)
{
	serve_t *s = c->s;
	int i;

	c->ask.round_at = s->loop.now;
	for (i = 0; i < ASKED_MAX; i++)
		if (i >= n || c->ask.at[i].ep != candidate[i])
			take_back(c, &c->ask.at[i]);
	for (i = 0; i < n && c->ask.number != 0; i++) {
		asked_t *a = &c->ask.at[i];

		if (a->ep == NULL)
			*a = (asked_t){ .ep = candidate[i] };
		a->tokens = tokens[i];
		send_ask(c, a);
	}
}

/*
 * Asking may end at once, by a grant from this instance: the call may be sent
 * or have ended on return.
 */
bool
ask_begin(call_t *c)
{
	serve_t *s = c->s;
	ep_t *candidate[ASKED_MAX];
	int tokens[ASKED_MAX], n;

	if (!keepers_used(s) || c->ask.skip || c->from_instance ||
	    c->left_silent)
		return false;
	n = choose_candidates(c, candidate, tokens);
	if (n == 0) {
		ask_end(c);
		return false;
	}
	if (c->ask.number == 0) {
		if (++s->keepers->number == 0)
			s->keepers->number = 1;
		c->ask.number = s->keepers->number;
		c->ask.begun_at = s->loop.now;
		c->ask.granted_at = 0;
		memset(c->ask.at, 0, sizeof(c->ask.at));
		g_hash_table_insert(
		    s->keepers->asking, GUINT_TO_POINTER(c->ask.number), c);
	}
	call_queue_remove(c);
	c->state = CALL_ASKING;
	begin_round(c, candidate, tokens, n);
	call_set_timer(c);
	return true;
}

static void
send_granted(call_t *c, int best)
{
	asked_t a = c->ask.at[best];
	int i;

	for (i = 0; i < ASKED_MAX; i++)
		if (i != best)
			take_back(c, &c->ask.at[i]);
	count_ask("granted");
	/* The grant is used up whether the call can be sent or not. */
	c->ask.granted = a.ep;
	take_back(c, &c->ask.at[best]);
	stop_asking(c);
	call_dispatch(c);
}

/* Once the call is there. */
static ms_t
first_event_ms(const call_t *c, const asked_t *a)
{
	return c->request.model[0] == '\0'
		   ? 0
		   : (ms_t)workload_prompt_ms(
			 &a->ep->workload, &c->s->average_speed, a->tokens);
}

/*
 * What is known here of endpoints is old: those that look best may have a long
 * queue while others with the model are free. With the waits that were just
 * told, others may look better: ask there before the call is refused.
 * @return whether others are asked now
 */
static bool
ask_further(call_t *c)
{
	ep_t *candidate[ASKED_MAX];
	int tokens[ASKED_MAX], n, i, k, others = 0;

	if (c->ask.further >= FURTHER_MAX ||
	    !service_is_paced(c->s, c->service) || c->request.model[0] == '\0')
		return false;
	n = choose_candidates(c, candidate, tokens);
	for (i = 0; i < n; i++) {
		for (k = 0; k < ASKED_MAX; k++)
			if (c->ask.at[k].ep == candidate[i])
				break;
		others += k == ASKED_MAX;
	}
	if (others == 0)
		return false;
	c->ask.further++;
	c->ask.begun_at = c->s->loop.now;
	begin_round(c, candidate, tokens, n);
	return true;
}

/* All asked endpoints would take the call too late: refuse it now. */
static bool
refuse_if_late(call_t *c)
{
	ms_t least = -1, wait, now = c->s->loop.now;
	int i;

	for (i = 0; i < ASKED_MAX; i++) {
		const asked_t *a = &c->ask.at[i];

		if (a->ep == NULL)
			continue;
		if (!a->answered)
			return false;
		wait = a->wait + first_event_ms(c, a);
		if (least == -1 || wait < least)
			least = wait;
	}
	if (least == -1 || now + least <= late_at(c))
		return false;
	if (ask_further(c))
		return false;
	count_ask("late");
	ask_end(c);
	call_give_up(c, "all endpoints are full",
	    now + least - late_at(c) + RETRY_SLACK_MS);
	return true;
}

static void
decide(call_t *c, bool all_in_time)
{
	int i, best = -1;
	bool waiting = false;

	for (i = 0; i < ASKED_MAX; i++) {
		const asked_t *a = &c->ask.at[i];

		if (a->ep == NULL)
			continue;
		waiting |= !a->answered;
		if (a->granted &&
		    (best == -1 || a->backlog < c->ask.at[best].backlog))
			best = i;
	}
	if (best != -1 && (all_in_time || !waiting)) {
		send_granted(c, best);
		return;
	}
	if (best == -1 && refuse_if_late(c))
		return;
	call_set_timer(c);
}

void
ask_answered(serve_t *s, uint32_t call, ep_t *p, const keeper_answer_t *x)
{
	call_t *c = asking_call(s, call);
	asked_t *a = NULL;
	int i;

	for (i = 0; c != NULL && i < ASKED_MAX; i++)
		if (c->ask.at[i].ep == p)
			a = &c->ask.at[i];
	if (a == NULL) {
		/* Granted after the call had gone elsewhere. */
		if (x->granted)
			give_back(s, p, call);
		return;
	}
	p->keeper_wait = x->granted ? x->backlog : x->wait;
	p->keeper_wait_at = s->loop.now;
	a->answered = true;
	a->wait = x->wait;
	a->backlog = x->backlog;
	if (x->granted && !a->granted) {
		a->granted = true;
		if (c->ask.granted_at == 0)
			c->ask.granted_at = s->loop.now;
	}
	/* Decided at the end of the loop turn, as the caller may be asking. */
	s->keepers->decide = true;
}

void
asks_decide(serve_t *s)
{
	GHashTableIter it;
	GArray *list;
	gpointer v;
	guint i;

	if (!s->keepers->decide)
		return;
	s->keepers->decide = false;
	list = g_array_new(FALSE, FALSE, sizeof(handle_t));
	g_hash_table_iter_init(&it, s->keepers->asking);
	while (g_hash_table_iter_next(&it, NULL, &v))
		g_array_append_val(list, ((call_t *)v)->id);
	for (i = 0; i < list->len; i++) {
		call_t *c = call_get(s, g_array_index(list, handle_t, i));

		if (c != NULL && c->state == CALL_ASKING)
			decide(
			    c, c->ask.granted_at != 0 &&
				   s->loop.now - c->ask.granted_at >= OTHER_MS);
	}
	g_array_free(list, TRUE);
}

ms_t
ask_next(const call_t *c)
{
	ms_t at = c->ask.round_at + ROUND_MS;
	int i;

	if (c->ask.granted_at != 0)
		return c->ask.granted_at + OTHER_MS;
	for (i = 0; i < ASKED_MAX; i++) {
		const asked_t *a = &c->ask.at[i];

		if (a->ep != NULL && !a->answered &&
		    a->sent_at + REPEAT_MS < at)
			at = a->sent_at + REPEAT_MS;
	}
	return at;
}

void
ask_timer(call_t *c)
{
	ms_t now = c->s->loop.now;
	bool any = false;
	int i;

	if (c->ask.granted_at != 0) {
		decide(c, true);
		return;
	}
	for (i = 0; i < ASKED_MAX; i++)
		any |= c->ask.at[i].answered;
	if (!any && now - c->ask.begun_at >= UNANSWERED_MS) {
		count_ask("unanswered");
		ask_end(c);
		c->ask.skip = true;
		call_dispatch(c);
		return;
	}
	if (now - c->ask.round_at >= ROUND_MS) {
		call_dispatch(c);
		return;
	}
	for (i = 0; i < ASKED_MAX; i++)
		if (c->ask.at[i].ep != NULL && !c->ask.at[i].answered &&
		    now - c->ask.at[i].sent_at >= REPEAT_MS)
			send_ask(c, &c->ask.at[i]);
	call_set_timer(c);
}

void
asks_forget_endpoint(serve_t *s, const ep_t *p)
{
	GHashTableIter it;
	gpointer v;
	int i;

	g_hash_table_iter_init(&it, s->keepers->asking);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		call_t *c = v;

		for (i = 0; i < ASKED_MAX; i++)
			if (c->ask.at[i].ep == p)
				c->ask.at[i].ep = NULL;
		if (c->ask.granted == p)
			c->ask.granted = NULL;
	}
}
