/* What becomes of calls with a part that crashes endpoints. */
#include "serve/blame.h"

#include <stdlib.h>

enum {
	/* At least, between decisions, and more for each crash remembered. */
	DECIDE_INTERVAL_MS = 20,
	DECIDE_PER_CRASH_MS = 2,
	/*
	 * The holder repeats the blamed parts each second, and a second later
	 * for each so many instances.
	 */
	REPEAT_PEERS = 64,
	/* Within it, most parts of sound calls are cleared. */
	HOLD_MS = 300,
	EVENT_AGE_MS = 10,   /* an endpoint that lives so long didn't crash */
	RETRY_MIN_MS = 1000, /* told to callers of refused calls */
};
static const char *const refusal = "a part of its prompt crashes endpoints";

static void
count_calls(const char *how)
{
	char name[96];

	snprintf(name, sizeof(name),
	    "ebonypitch_blamed_calls_total{how=\"%s\"}", how);
	counter_add(counter_get(name, "Calls with a blamed prompt part."), 1);
}

/* Decisions. */

static void
on_decide_alarm(void *arg)
{
	serve_t *s = arg;

	if (blame_decide(&s->blame->blame, s->loop.now))
		blame_send_blamed(s);
	blame_enforce(s);
	blame_evidence_changed(s);
}

void
blame_evidence_changed(serve_t *s)
{
	blame_feed_t *f = s->blame;
	ms_t at = blame_decide_at(&f->blame, s->loop.now);
	ms_t least = s->loop.now + DECIDE_INTERVAL_MS +
		     (ms_t)DECIDE_PER_CRASH_MS * f->blame.ncrash;

	if (at == 0 || f->decide_alarm.pos != 0)
		return;
	if (at < least)
		at = least;
	alarm_set(&s->loop, &f->decide_alarm, at);
}

static blamed_part_t *
blamed_part_of(const call_t *c)
{
	blame_t *b = &c->s->blame->blame;
	int i, n = b->nblamed > 0 ? call_shared_parts(&c->request) : 0;

	for (i = 0; i < n; i++) {
		blamed_part_t *p = blame_find(b, c->request.part[i].id);

		if (p != NULL)
			return p;
	}
	return NULL;
}

/* Calls that wait, and those sent that have not begun; not trials. */
static void
end_blamed_calls(serve_t *s)
{
	handle_t h, next;

	for (h = table_next(s->calls, 0); h != 0; h = next) {
		call_t *c = call_get(s, h);

		next = table_next(s->calls, h);
		if (c->trial || call_began(c) || blamed_part_of(c) == NULL)
			continue;
		count_calls("ended");
		call_give_up(c, refusal, RETRY_MIN_MS);
	}
}

void
blame_enforce(serve_t *s)
{
	blame_t *b = &s->blame->blame;
	bool any = false;
	int i;

	for (i = 0; i < b->nblamed; i++) {
		blamed_part_t *p = &b->blamed[i];

		if (p->enforced)
			continue;
		p->enforced = any = true;
		counter_add(counter_get("ebonypitch_parts_blamed_total",
				"Prompt parts blamed, by this instance or "
				"another."),
		    1);
		log_limited(LOG_WARNING, "part-blamed",
		    "part=%" PRIx64 " crash_ago_ms=%" PRId64
		    " trials=%d trial_in_ms=%" PRId64,
		    p->part, s->loop.now - p->crash_at, p->trials,
		    p->trial_at - s->loop.now);
	}
	if (any)
		end_blamed_calls(s);
}

void
blame_log_cleared(uint64_t part, const char *why)
{
	log_limited(LOG_WARNING, "part-cleared", "part=%" PRIx64 " why=\"%s\"",
	    part, why);
	counter_add(counter_get("ebonypitch_blame_cleared_total",
			"Blamed parts with which a call began."),
	    1);
}

/* Calls. */

bool
call_began(const call_t *c)
{
	/* An endpoint that crashes may just have sent one event. */
	return c->reading.events > 1 ||
	       (c->reading.events == 1 &&
		   c->s->loop.now - c->last_event_at >= EVENT_AGE_MS);
}

void
blame_call_began(call_t *c, ms_t at)
{
	serve_t *s = c->s;
	blame_t *b = &s->blame->blame;
	int i, n = call_shared_parts(&c->request);

	for (i = 0; i < n; i++) {
		uint64_t part = c->request.part[i].id;

		if (!blame_part_began(b, part, at, true))
			continue;
		blame_log_cleared(part, "a call began");
		blame_send_blamed(s);
	}
	if (b->nnews > 0)
		blame_send_news(s);
}

/* May the call be sent as a trial? Asks for the next one if it may not. */
static bool
is_trial(call_t *c, blamed_part_t *p)
{
	serve_t *s = c->s;
	ms_t now = s->loop.now;

	if (c->trial || c->attempts > 0)
		return c->trial && c->attempts == 0;
	if (plan_holder_valid(s) && blame_trial_due(p, now)) {
		blame_trial_granted(p, now);
	} else if (now < p->trial_granted_until) {
		p->trial_granted_until = 0;
	} else {
		if (!plan_holder_valid(s) && blame_trial_due(p, now))
			blame_ask_trial(s, p->part);
		return false;
	}
	c->trial = true;
	return true;
}

void
blame_trial_sent(call_t *c)
{
	serve_t *s = c->s;
	blamed_part_t *p = blamed_part_of(c);

	if (p == NULL)
		return;
	blame_trial_started(p, s->loop.now);
	blame_send_blamed(s);
	log_limited(LOG_WARNING, "part-trial",
	    "request=%s part=%" PRIx64 " trials=%d endpoint=%s", c->request.id,
	    p->part, p->trials, c->ep->entry.id);
}

static void
refuse_blamed(call_t *c, const blamed_part_t *p)
{
	ms_t retry = p->trial_at - c->s->loop.now;

	count_calls("refused");
	call_queue_remove(c);
	call_give_up(c, refusal, retry > RETRY_MIN_MS ? retry : RETRY_MIN_MS);
}

/* Crashes that its parts are suspects of, by what is known now. */
static int
most_crashes(const call_t *c)
{
	const blame_t *b = &c->s->blame->blame;
	int i, n, most = 0;

	for (i = 0; i < call_shared_parts(&c->request); i++) {
		n = blame_crash_count(b, c->request.part[i].id);
		if (n > most)
			most = n;
	}
	return most;
}

/*
 * A call whose endpoint crashed before it began goes on only if it isn't a
 * likely cause: each repeat of the one that is ends another endpoint.
 */
static bool
hold_suspect(call_t *c)
{
	serve_t *s = c->s;

	if (c->crashes == 0 || (!c->suspected && c->crashes < 2) ||
	    most_crashes(c) == 0)
		return false;
	call_queue_remove(c);
	if (s->loop.now >= c->crashed_at + HOLD_MS) {
		count_calls("not-repeated");
		call_give_up(c, "a part of its prompt may crash endpoints", 0);
		return true;
	}
	c->state = CALL_WAITING;
	c->wait_reason = "a part of its prompt may crash endpoints";
	call_queue_add(c);
	alarm_set(&s->loop, &c->alarm, c->deadline);
	return true;
}

bool
blame_stops_call(call_t *c)
{
	blamed_part_t *p = blamed_part_of(c);

	if (p != NULL && !is_trial(c, p)) {
		refuse_blamed(c, p);
		return true;
	}
	return hold_suspect(c);
}

/* What lasts. Times in the lease are of the wall clock. */

json_t *
blame_json(const serve_t *s)
{
	const blame_t *b = &s->blame->blame;
	json_int_t offset = clock_wall() - s->loop.now;
	json_t *list = json_array();
	char part[17];
	int i;

	for (i = 0; i < b->nblamed; i++) {
		const blamed_part_t *p = &b->blamed[i];

		snprintf(part, sizeof(part), "%016" PRIx64, p->part);
		json_array_append_new(
		    list, json_pack("[s,I,i,I]", part, p->crash_at + offset,
			      p->trials, p->trial_at + offset));
	}
	return list;
}

void
blame_merge_json(serve_t *s, const json_t *list)
{
	json_int_t offset = clock_wall() - s->loop.now;
	const json_t *item;
	size_t i;

	json_array_foreach(list, i, item)
	{
		const char *part = json_string_value(json_array_get(item, 0));
		blamed_part_t p = { .crash_at = json_integer_value(
						    json_array_get(item, 1)) -
						offset,
			.trials =
			    (int)json_integer_value(json_array_get(item, 2)),
			.trial_at =
			    json_integer_value(json_array_get(item, 3)) -
			    offset };

		if (part == NULL)
			continue;
		/* The writer's clock may be ahead of ours. */
		if (p.crash_at > s->loop.now)
			p.crash_at = s->loop.now;
		p.part = strtoull(part, NULL, 16);
		blame_adopt(&s->blame->blame, &p);
	}
	blame_enforce(s);
	if (s->blame->blame.nnews > 0)
		blame_send_news(s);
}

void
blame_tick(serve_t *s)
{
	blame_feed_t *f = s->blame;

	blame_expire(&f->blame, s->loop.now);
	/* Instances that have just started learn it from the holder. */
	if (f->ticks++ % (1 + s->peers.npeer / REPEAT_PEERS) == 0 &&
	    plan_holder_valid(s) && f->blame.nblamed > 0)
		blame_send_blamed(s);
}

void
blame_feed_init(serve_t *s)
{
	blame_feed_t *f = calloc(1, sizeof(*f));

	if (f == NULL)
		abort();
	f->s = s;
	blame_init(&f->blame);
	f->decide_alarm = (alarm_t){ .fn = on_decide_alarm, .arg = s };
	s->blame = f;
	blame_send_init(s);
}
