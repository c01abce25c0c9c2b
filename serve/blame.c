/* What becomes of calls with something that crashes endpoints. */
#include "serve/blame.h"
#include "serve/reach.h"

#include <stdlib.h>

enum {
	/* At least, between decisions, and more for each crash remembered. */
	DECIDE_INTERVAL_MS = 20,
	DECIDE_PER_CRASH_MS = 2,
	/*
	 * The holder repeats what is blamed each second, and a second later
	 * for each so many instances.
	 */
	REPEAT_PEERS = 64,
	/* Within it, most suspects of sound calls are cleared. */
	HOLD_MS = 300,
	EVENT_AGE_MS = 10,   /* an endpoint that lives so long didn't crash */
	RETRY_MIN_MS = 1000, /* told to callers of refused calls */
};

/** How a kind of suspect is named in logs, metrics and answers. */
static const struct {
	const char *key;		      /* in logs */
	const char *blamed, *cleared, *trial; /* events */
	const char *counter, *help;
	const char *refusal, *hold;
} text[SUSPECT_KINDS] = {
	[SUSPECT_PART] = { "part", "part-blamed", "part-cleared", "part-trial",
	    "ebonypitch_parts_blamed_total",
	    "Prompt parts blamed, by this instance or another.",
	    "a part of its prompt crashes endpoints",
	    "a part of its prompt may crash endpoints" },
	[SUSPECT_REQUEST] = { "fingerprint", "request-blamed",
	    "request-cleared", "request-trial",
	    "ebonypitch_requests_blamed_total",
	    "Requests blamed, by this instance or another.",
	    "the request crashes endpoints",
	    "the request may crash endpoints" },
};

static void
count_calls(const char *how)
{
	char name[96];

	snprintf(name, sizeof(name),
	    "ebonypitch_blamed_calls_total{how=\"%s\"}", how);
	counter_add(counter_get(name, "Calls with something blamed."), 1);
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

/* All suspects of a call; @p began: without the parts of its prompt. */
static int
suspects_of(const call_t *c, bool began, suspect_t *list)
{
	int i, n = began ? 0 : call_shared_parts(&c->request);

	for (i = 0; i < n; i++)
		list[i] = (suspect_t){ SUSPECT_PART, c->request.part[i].id };
	list[n++] = (suspect_t){ SUSPECT_REQUEST, c->fingerprint };
	return n;
}

int
call_suspects(const call_t *c, suspect_t *list)
{
	return suspects_of(c, call_began(c), list);
}

/* What of a call is blamed, NULL: nothing. */
static blamed_t *
blamed_of(const call_t *c, bool began)
{
	blame_t *b = &c->s->blame->blame;
	suspect_t list[CALL_SUSPECTS_MAX];
	blamed_t *p = NULL;
	int i, n = b->nblamed > 0 ? suspects_of(c, began, list) : 0;

	for (i = 0; i < n && p == NULL; i++)
		p = blame_find(b, list[i]);
	return p;
}

/* Calls that wait or were sent, and may crash an endpoint; not trials. */
static void
end_blamed_calls(serve_t *s)
{
	handle_t h, next;

	for (h = table_next(s->calls, 0); h != 0; h = next) {
		call_t *c = call_get(s, h);
		const blamed_t *p =
		    c->trial ? NULL : blamed_of(c, call_began(c));

		next = table_next(s->calls, h);
		if (p == NULL)
			continue;
		count_calls("ended");
		call_give_up(c, text[p->what.kind].refusal, RETRY_MIN_MS);
	}
}

void
blame_enforce(serve_t *s)
{
	blame_t *b = &s->blame->blame;
	bool any = false;
	int i;

	for (i = 0; i < b->nblamed; i++) {
		blamed_t *p = &b->blamed[i];

		if (p->enforced)
			continue;
		p->enforced = any = true;
		counter_add(counter_get(text[p->what.kind].counter,
				text[p->what.kind].help),
		    1);
		log_limited(LOG_WARNING, text[p->what.kind].blamed,
		    "%s=%" PRIx64 " crash_ago_ms=%" PRId64
		    " trials=%d trial_in_ms=%" PRId64,
		    text[p->what.kind].key, p->what.id,
		    s->loop.now - p->crash_at, p->trials,
		    p->trial_at - s->loop.now);
	}
	if (any)
		end_blamed_calls(s);
}

void
blame_log_cleared(suspect_t what, const char *why)
{
	log_limited(LOG_WARNING, text[what.kind].cleared,
	    "%s=%" PRIx64 " why=\"%s\"", text[what.kind].key, what.id, why);
	counter_add(counter_get("ebonypitch_blame_cleared_total",
			"Blamed parts and requests with which a call passed."),
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

static void
passed(serve_t *s, suspect_t what, ms_t at, const char *why)
{
	bool was_blamed = blame_passed(&s->blame->blame, what, at, true);

	if (s->blame->blame.cleared)
		blame_evidence_changed(s);
	if (!was_blamed)
		return;
	blame_log_cleared(what, why);
	blame_send_blamed(s);
}

void
blame_call_began(call_t *c, ms_t at)
{
	suspect_t list[CALL_SUSPECTS_MAX];
	int i, n = suspects_of(c, false, list);

	for (i = 0; i < n; i++)
		if (list[i].kind == SUSPECT_PART)
			passed(c->s, list[i], at, "a call began");
	if (c->s->blame->blame.nnews > 0)
		blame_send_news(c->s);
}

void
blame_call_completed(call_t *c)
{
	ms_t now = c->s->loop.now;
	suspect_t request = { SUSPECT_REQUEST, c->fingerprint };

	if (!call_began(c))
		blame_call_began(c, now);
	passed(c->s, request, now, "a call was completed");
	if (c->s->blame->blame.nnews > 0)
		blame_send_news(c->s);
}

/* May the call be sent as a trial? Asks for the next one if it may not. */
static bool
is_trial(call_t *c, blamed_t *p)
{
	serve_t *s = c->s;
	ms_t now = s->loop.now;

	if (c->trial || c->attempts > 0)
		return c->trial && c->attempts == 0;
	/* The instance that it would go through grants its own trials only. */
	if (reach_lost(s, c->service))
		return false;
	if (plan_holder_valid(s) && blame_trial_due(p, now)) {
		blame_trial_granted(p, now);
	} else if (now < p->trial_granted_until) {
		p->trial_granted_until = 0;
	} else {
		if (!plan_holder_valid(s) && blame_trial_due(p, now))
			blame_ask_trial(s, p->what);
		return false;
	}
	c->trial = true;
	return true;
}

void
blame_trial_sent(call_t *c)
{
	serve_t *s = c->s;
	blamed_t *p = blamed_of(c, false);

	if (p == NULL)
		return;
	blame_trial_started(p, s->loop.now);
	blame_send_blamed(s);
	log_limited(LOG_WARNING, text[p->what.kind].trial,
	    "request=%s %s=%" PRIx64 " trials=%d endpoint=%s", c->request.id,
	    text[p->what.kind].key, p->what.id, p->trials, c->ep->entry.id);
}

static void
refuse_blamed(call_t *c, const blamed_t *p)
{
	ms_t retry = p->trial_at - c->s->loop.now;

	count_calls("refused");
	call_queue_remove(c);
	call_give_up(c, text[p->what.kind].refusal,
	    retry > RETRY_MIN_MS ? retry : RETRY_MIN_MS);
}

/* Crashes that something of it is a suspect of, by what is known now. */
static int
most_crashes(const call_t *c)
{
	const blame_t *b = &c->s->blame->blame;
	suspect_t list[CALL_SUSPECTS_MAX];
	int i, crashes, most = 0, n = suspects_of(c, false, list);

	for (i = 0; i < n; i++) {
		crashes = blame_crash_count(b, list[i]);
		if (crashes > most)
			most = crashes;
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
	suspect_kind_t kind;

	if (c->crashes == 0 || (!c->suspected && c->crashes < 2) ||
	    most_crashes(c) == 0)
		return false;
	call_queue_remove(c);
	kind =
	    call_shared_parts(&c->request) > 0 ? SUSPECT_PART : SUSPECT_REQUEST;
	if (s->loop.now >= c->crashed_at + HOLD_MS) {
		count_calls("not-repeated");
		call_give_up(c, text[kind].hold, 0);
		return true;
	}
	c->state = CALL_WAITING;
	c->wait_reason = text[kind].hold;
	call_queue_add(c);
	alarm_set(&s->loop, &c->alarm, c->deadline);
	return true;
}

bool
blame_stops_call(call_t *c)
{
	blamed_t *p = blamed_of(c, false);

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
	char id[17];
	int i;

	for (i = 0; i < b->nblamed; i++) {
		const blamed_t *p = &b->blamed[i];

		snprintf(id, sizeof(id), "%016" PRIx64, p->what.id);
		json_array_append_new(list,
		    json_pack("[s,I,i,I,i]", id, p->crash_at + offset,
			p->trials, p->trial_at + offset, (int)p->what.kind));
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
		const char *id = json_string_value(json_array_get(item, 0));
		/* Missing, it is a part. */
		json_int_t kind = json_integer_value(json_array_get(item, 4));
		blamed_t p = { .crash_at =
				   json_integer_value(json_array_get(item, 1)) -
				   offset,
			.trials =
			    (int)json_integer_value(json_array_get(item, 2)),
			.trial_at =
			    json_integer_value(json_array_get(item, 3)) -
			    offset };

		if (id == NULL || kind < 0 || kind >= SUSPECT_KINDS)
			continue;
		/* The writer's clock may be ahead of ours. */
		if (p.crash_at > s->loop.now)
			p.crash_at = s->loop.now;
		p.what =
		    (suspect_t){ (suspect_kind_t)kind, strtoull(id, NULL, 16) };
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
	if (f->ticks++ % (1 + s->peers.npeer / REPEAT_PEERS) != 0 ||
	    f->blame.nblamed == 0)
		return;
	/* Instances that have just started learn it from the holder. */
	if (plan_holder_valid(s))
		blame_send_blamed(s);
	else
		blame_tell_holder(s);
}

void
blame_feed_init(serve_t *s)
{
	blame_feed_t *f = calloc(1, sizeof(*f));

	if (f == NULL)
		abort();
	f->s = s;
	blame_init(&f->blame);
	f->checks = g_ptr_array_new();
	f->decide_alarm = (alarm_t){ .fn = on_decide_alarm, .arg = s };
	s->blame = f;
	blame_send_init(s);
}
