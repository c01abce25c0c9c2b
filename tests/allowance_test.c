/* An organisation's allowance over all instances: givers, members, and windows.
 */
#include "policy/allowance.h"
#include "policy/giver.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

static const allowance_limit_t limit = { 1000, 1000, 0, 8000 };

/* A pool with all of @p n instances as members, for @p span ms. */
static ms_t
members(allowance_pool_t *p, int n, int all, ms_t from, ms_t span)
{
	ms_t t;
	int i;

	for (t = from; t <= from + span; t += 100)
		for (i = 0; i < n; i++)
			allowance_heard(p, (uint64_t)i + 1, all, t);
	return from + span;
}

/* Guards against a giver that hands out more than the rate and the burst. */
static void
rate_and_burst(void)
{
	allowance_pool_t p = { 0 };
	allowance_t a = { 0 };
	ms_t now = members(&p, 4, 4, 1000, 3000), wait;
	double sum = 0;
	uint64_t call;
	int i;

	for (call = 1; allowance_take(&a, &p, &limit, 100, call, now) == 0;
	     call++)
		sum += 100;
	g_assert_cmpfloat(sum, <=, 0.75 * limit.burst);
	g_assert_cmpfloat(sum, >=, 0.6 * limit.burst);
	wait = allowance_take(&a, &p, &limit, 700, call, now);
	g_assert_cmpint(wait, >, 500);
	now = members(&p, 4, 4, now, 1000);
	for (sum = 0; allowance_take(&a, &p, &limit, 100, ++call, now) == 0;)
		sum += 100;
	g_assert_cmpfloat(sum, <=, 0.75 * limit.burst);
	g_assert_cmpfloat(sum, >=, 0.6 * limit.burst);
	/* The burst may be used again in the next window, not in this one. */
	for (i = 0, sum = 0; i < 80; i++) {
		now = members(&p, 4, 4, now, 100);
		while (allowance_take(&a, &p, &limit, 50, ++call, now) == 0)
			sum += 50;
	}
	g_assert_cmpfloat(sum, <=, 8 * limit.rate + limit.burst);
	g_assert_cmpfloat(sum, >=, 0.95 * 8 * limit.rate);
	allowance_pool_free(&p);
}

/* Guards against two givers that hand out the whole twice. */
static void
part_of_the_members(void)
{
	allowance_pool_t p = { 0 };
	allowance_t a = { 0 };
	ms_t now = members(&p, 3, 10, 1000, 10000);
	double sum = 0;
	uint64_t call = 0;

	while (allowance_take(&a, &p, &limit, 10, ++call, now) == 0)
		sum += 10;
	g_assert_cmpfloat(sum, <=, 0.3 * (0.75 * limit.burst));
	g_assert_cmpfloat(sum, >=, 0.25 * (0.75 * limit.burst));
	/* Members that fell silent count no more. */
	g_assert_cmpfloat(allowance_part(&p, now + 800), ==, 0);
	allowance_pool_free(&p);
}

/* Guards against counting a repeated ask twice, or tokens that came back. */
static void
repeats_and_returns(void)
{
	allowance_pool_t p = { 0 };
	allowance_t a = { 0 };
	ms_t now = members(&p, 2, 2, 1000, 3000);

	g_assert_cmpint(allowance_take(&a, &p, &limit, 700, 7, now), ==, 0);
	g_assert_cmpint(allowance_take(&a, &p, &limit, 700, 7, now), ==, 0);
	g_assert_cmpint(allowance_take(&a, &p, &limit, 900, 8, now), >, 0);
	allowance_give_back(&a, &p, &limit, 700, now, now);
	g_assert_cmpint(allowance_take(&a, &p, &limit, 700, 9, now), ==, 0);
	/* Nothing is left of it to be given back once more. */
	allowance_give_back(&a, &p, &limit, 5000, now, now);
	g_assert_cmpfloat(a.level, <=, 0.75 * limit.burst);
	allowance_pool_free(&p);
}

/* Guards against callers that are all told to come back at the same time. */
static void
returns_are_spread(void)
{
	allowance_pool_t p = { 0 };
	allowance_t a = { 0 };
	ms_t now = members(&p, 2, 2, 1000, 3000), first, second;

	g_assert_cmpint(allowance_take(&a, &p, &limit, 750, 1, now), ==, 0);
	first = allowance_take(&a, &p, &limit, 500, 2, now);
	second = allowance_take(&a, &p, &limit, 500, 3, now);
	g_assert_cmpint(first, >, 0);
	g_assert_cmpint(second, ==, 2 * first);
	allowance_pool_free(&p);
}

/* Guards against an old limit that still holds, or grants that block a new one.
 */
static void
lower_limit(void)
{
	const allowance_limit_t low = { 100, 100, 0, 8000 };
	allowance_pool_t p = { 0 };
	allowance_t a = { 0 };
	ms_t now = members(&p, 2, 2, 1000, 3000);
	double sum = 0;
	uint64_t call = 1;
	int i;

	allowance_take(&a, &p, &limit, 900, call, now);
	for (i = 0; i < 80; i++) {
		now = members(&p, 2, 2, now, 100);
		while (allowance_take(&a, &p, &low, 10, ++call, now) == 0)
			sum += 10;
	}
	g_assert_cmpfloat(sum, <=, 1100);
	g_assert_cmpfloat(sum, >=, 760);
	allowance_pool_free(&p);
}

/* Guards against a giver that hands out what came up while it stood still. */
static void
nothing_for_a_stall(void)
{
	allowance_pool_t p = { 0 };
	allowance_t a = { 0 };
	ms_t now = members(&p, 4, 4, 1000, 3000);

	g_assert_cmpint(allowance_take(&a, &p, &limit, 750, 1, now), ==, 0);
	/* The members' messages are read as it goes on. */
	now = members(&p, 4, 4, now + 7000, 0);
	g_assert_cmpint(allowance_take(&a, &p, &limit, 300, 2, now), >, 0);
	allowance_pool_free(&p);
}

/* The sum of calls of 5 that are granted now. */
static double
take_all(allowance_t *a, allowance_pool_t *p, const allowance_limit_t *l,
    uint64_t *call, ms_t now)
{
	double sum = 0;

	while (allowance_take(a, p, l, 5, ++*call, now) == 0)
		sum += 5;
	return sum;
}

/* Guards against a window that takes what was saved before it and its own
 * burst too. */
static void
saved_up_is_part_of_the_window(void)
{
	allowance_pool_t p = { 0 };
	allowance_t a = { 0 };
	ms_t now = members(&p, 4, 4, 1000, 10000), end = now + 8000;
	double sum = 0;
	uint64_t call = 0;

	for (; now < end; now = members(&p, 4, 4, now, 100))
		sum += take_all(&a, &p, &limit, &call, now);
	g_assert_cmpfloat(sum, <=, 8 * limit.rate + limit.burst);
	allowance_pool_free(&p);
}

/* Guards against several givers of a window that each exceed it for a large
 * call. */
static void
large_calls_at_new_givers(void)
{
	const allowance_limit_t l = { 1000, 1000, 17000, 8000 };
	double sum = 0;
	uint64_t call = 0;
	ms_t now = 1000, end;

	/* They change after 1.3 s, and leave the pause. */
	for (; now < 9000; now += ALLOWANCE_MEMBER_MS) {
		allowance_pool_t p = { 0 };
		allowance_t a = { 0 };

		for (end = now + 1300; now < end;
		     now = members(&p, 4, 4, now, 100))
			sum += take_all(&a, &p, &l, &call, now);
		allowance_pool_free(&p);
	}
	g_assert_cmpfloat(sum, <=, (8 * l.rate + l.burst) * 1.1 + l.slack);
}

/* Guards against saved tokens that are used by two, as members change givers.
 */
static void
saved_up_is_lost_with_the_members(void)
{
	allowance_pool_t p = { 0 };
	allowance_t a = { 0 };
	ms_t now = members(&p, 10, 10, 1000, 4000);
	uint64_t call = 0;

	/* Six of ten change; the rest are told of within 100 ms. */
	now = members(&p, 4, 10, now, ALLOWANCE_MEMBER_MS + 100);
	g_assert_cmpfloat(
	    take_all(&a, &p, &limit, &call, now), <=, 0.4 * limit.rate / 10);
	allowance_pool_free(&p);
}

/* Guards against a gain from time in which members weren't heard: another
 * giver may have served them. */
static void
nothing_for_a_silence(void)
{
	allowance_pool_t p = { 0 };
	allowance_t a = { 0 };
	ms_t now = members(&p, 4, 4, 1000, 3000);
	uint64_t call = 0;

	take_all(&a, &p, &limit, &call, now);
	now = members(&p, 4, 4, now + 650, 0);
	g_assert_cmpfloat(
	    take_all(&a, &p, &limit, &call, now), <=, limit.rate / 4);
	allowance_pool_free(&p);
}

/* Guards against more than the bound while two givers count the members. */
static void
change_of_giver_within_the_bound(void)
{
	const allowance_limit_t l = { 1000, 100, 0, 8000 };
	allowance_pool_t p[2] = { 0 };
	allowance_t a[2] = { 0 };
	ms_t now = members(&p[0], 4, 4, 1000, 10000), begun = now;
	double sum = 0;
	uint64_t call = 0;

	for (; now < begun + 8000; now += 100) {
		members(&p[now >= begun + 4000], 4, 4, now, 0);
		sum += take_all(&a[0], &p[0], &l, &call, now);
		sum += take_all(&a[1], &p[1], &l, &call, now);
	}
	g_assert_cmpfloat(sum, <=, (8 * l.rate + l.burst) * 1.1);
	allowance_pool_free(&p[0]);
	allowance_pool_free(&p[1]);
}

/* Guards against memory that grows with each instance that ever asked. */
static void
silent_members_are_forgotten(void)
{
	allowance_pool_t p = { 0 };
	int i;

	for (i = 0; i < 1000; i++)
		allowance_heard(&p, (uint64_t)i + 1, 4, 1000 + i * 800);
	g_assert_cmpint(p.nmember, <=, 4);
	allowance_pool_free(&p);
}

/* Guards against instances that two givers count at the same time, again and
 * again. */
static void
second_change_waits(void)
{
	const giver_candidate_t c[] = { { 1, 1 }, { 2, 1 }, { 3, 1 } };
	giver_t g = { 0 };
	uint64_t first = giver_choose(&g, 0, 9, c, 3, 8000, false, 1000);

	giver_told(&g, 1000);
	giver_silent(&g, 1250);
	g_assert_cmpuint(
	    giver_choose(&g, 0, 9, c, 3, 8000, false, 1250), !=, first);
	giver_told(&g, 1300);
	giver_silent(&g, 1550);
	/* By then the one before may still count this instance. */
	g_assert_cmpuint(
	    giver_choose(&g, 0, 2, c, 3, 8000, false, 1550), ==, 0);
	g_assert_cmpuint(
	    giver_choose(&g, 0, 2, c, 3, 8000, false, 2000), !=, 0);
}

/*
 * Random orders of events. Instances exchange messages that are lost, doubled
 * and late; they end, stand still, and are cut into halves.
 */
enum {
	STEP_MS = 10,
	SPAN_MS = 14000,
	WINDOW_MS = 8000,
	WARM_MS = 3000,
	TELL_MS = 200,
	REPEAT_MS = 40,
	SILENT_MS = 250,
	DEAF_MS = 300,
	GIVEN_UP_MS = 700,
	NOTICED_MS = 1500, /* until others see that an instance is gone */
	WAITING_MAX = 6,
	BINS = SPAN_MS / 100 + 1,
};

typedef struct waiting {
	uint32_t number; /* 0: none */
	double amount;
	ms_t begun, asked;
	bool heard; /* its giver answers */
} waiting_t;

typedef struct instance {
	allowance_pool_t pool;
	allowance_t allowance;
	giver_t giver;
	bool dead;
	ms_t gone_until, gone_since; /* dead or standing still */
	ms_t deaf_until, told_at;
	uint32_t incarnation, number;
	waiting_t waiting[WAITING_MAX];
	int half;
} instance_t;

typedef struct message {
	ms_t at;
	int from, to;
	uint32_t incarnation, number; /* 0: only a member */
	double amount;
	bool answer;
	ms_t wait;
} message_t;

typedef struct play {
	GRand *r;
	int n;
	instance_t *x;
	giver_candidate_t *candidate;
	GArray *message;
	allowance_limit_t limit;
	ms_t now, cut_from, cut_until;
	double loss, used[BINS], asked[BINS];
	/* Changes of what counts in the window that begins with each bin. */
	double window[BINS + 1];
	double load;
	int first, last; /* instances that callers send to */
} play_t;

static bool
gone(const play_t *p, int i)
{
	return p->now < p->x[i].gone_until;
}

static bool
cut(const play_t *p, int a, int b)
{
	return p->now >= p->cut_from && p->now < p->cut_until &&
	       p->x[a].half != p->x[b].half;
}

static void
post(play_t *p, message_t m)
{
	int copies = g_rand_double(p->r) < p->loss ? 0 : 1;

	copies += g_rand_double(p->r) < p->loss / 4;
	while (copies-- > 0) {
		m.at = p->now + 1 +
		       (g_rand_double(p->r) < p->loss / 4
			       ? g_rand_int_range(p->r, 0, 100)
			       : g_rand_int_range(p->r, 0, 3));
		g_array_append_val(p->message, m);
	}
}

/* A call counts in the windows that hold its sending and its run. */
static void
run(play_t *p, const waiting_t *w)
{
	ms_t from = (p->now - WINDOW_MS) / 100 + 1;

	p->used[p->now / 100] += w->amount;
	p->window[from > 0 ? from : 0] += w->amount;
	p->window[w->begun / 100 + 1] -= w->amount;
}

static void
deliver(play_t *p, const message_t *m)
{
	instance_t *to = &p->x[m->to];
	message_t back;
	int i;

	if (cut(p, m->from, m->to) || p->now < to->deaf_until)
		return;
	if (!m->answer) {
		allowance_heard(&to->pool, (uint64_t)m->from + 1, p->n, p->now);
		if (m->number == 0)
			return;
		back = *m;
		back.answer = true;
		back.from = m->to;
		back.to = m->from;
		back.wait = allowance_take(&to->allowance, &to->pool, &p->limit,
		    m->amount,
		    allowance_key(
			(uint64_t)m->from + 1, m->incarnation, m->number),
		    p->now);
		post(p, back);
		return;
	}
	for (i = 0; i < WAITING_MAX; i++) {
		waiting_t *w = &to->waiting[i];

		if (w->number == 0 || w->number != m->number ||
		    to->incarnation != m->incarnation)
			continue;
		if (m->wait == 0)
			run(p, w);
		w->number = 0;
	}
}

static void
deliver_all(play_t *p)
{
	guint i;

	for (i = 0; i < p->message->len;) {
		message_t m = g_array_index(p->message, message_t, i);

		if (m.at > p->now || gone(p, m.to)) {
			/* What comes to one that stands still waits for it. */
			if (m.at <= p->now && p->x[m.to].dead)
				g_array_remove_index_fast(p->message, i);
			else
				i++;
			continue;
		}
		g_array_remove_index_fast(p->message, i);
		deliver(p, &m);
	}
}

static int
candidates(const play_t *p, int own)
{
	int i, n = 0;

	for (i = 0; i < p->n; i++) {
		bool away =
		    gone(p, i) && p->now - p->x[i].gone_since > NOTICED_MS;
		bool far = cut(p, own, i) && p->now - p->cut_from > NOTICED_MS;

		if (i == own || (!away && !far))
			p->candidate[n++] =
			    (giver_candidate_t){ (uint64_t)i + 1,
				    i % 10 == 0 ? 4 : 1 };
	}
	return n;
}

/* Send an ask, or only that this instance is a member. */
static void
tell(play_t *p, int i, waiting_t *w)
{
	instance_t *x = &p->x[i];
	uint64_t to = giver_choose(&x->giver, 0, (uint64_t)i + 1, p->candidate,
	    candidates(p, i), p->limit.window, false, p->now);
	message_t m = { .from = i, .incarnation = x->incarnation };

	if (to == 0)
		return;
	giver_told(&x->giver, p->now);
	x->told_at = p->now;
	m.to = (int)to - 1;
	if (w != NULL) {
		m.number = w->number;
		m.amount = w->amount;
		w->asked = p->now;
	}
	post(p, m);
}

static void
step_instance(play_t *p, int i)
{
	instance_t *x = &p->x[i];
	int k;

	for (k = 0; k < WAITING_MAX; k++) {
		waiting_t *w = &x->waiting[k];

		if (w->number == 0)
			continue;
		if (p->now - w->begun >= GIVEN_UP_MS) {
			w->number = 0;
			continue;
		}
		if (p->now - w->begun >= SILENT_MS && !w->heard) {
			w->heard = true;
			giver_silent(&x->giver, p->now);
		}
		if (p->now - w->asked >= REPEAT_MS)
			tell(p, i, w);
	}
	if (p->now - x->told_at >= TELL_MS)
		tell(p, i, NULL);
}

static void
call(play_t *p, int i, double amount)
{
	instance_t *x = &p->x[i];
	int k;

	p->asked[p->now / 100] += amount;
	for (k = 0; k < WAITING_MAX; k++)
		if (x->waiting[k].number == 0) {
			x->waiting[k] = (waiting_t){ .number = ++x->number,
				.amount = amount,
				.begun = p->now };
			tell(p, i, &x->waiting[k]);
			return;
		}
}

static void
come_back(play_t *p, int i)
{
	instance_t *x = &p->x[i];

	allowance_pool_reset(&x->pool);
	x->deaf_until = p->now + DEAF_MS;
	x->gone_until = 0;
	if (!x->dead)
		return;
	x->dead = false;
	x->deaf_until = 0;
	x->incarnation++;
	memset(&x->giver, 0, sizeof(x->giver));
	memset(x->waiting, 0, sizeof(x->waiting));
}

/* The giver of most, or any instance. */
static int
victim(play_t *p)
{
	const instance_t *x = &p->x[g_rand_int_range(p->r, 0, p->n)];

	return g_rand_boolean(p->r) && x->giver.instance != 0
		   ? (int)x->giver.instance - 1
		   : g_rand_int_range(p->r, 0, p->n);
}

static void
trouble(play_t *p)
{
	int i = victim(p);

	switch (g_rand_int_range(p->r, 0, 3)) {
	case 0:
	case 1:
		if (gone(p, i))
			return;
		p->x[i].dead = g_rand_boolean(p->r);
		p->x[i].gone_since = p->now;
		p->x[i].gone_until = p->now + g_rand_int_range(p->r, 500, 7000);
		return;
	case 2:
		if (p->cut_until != 0)
			return;
		p->cut_from = p->now;
		p->cut_until = p->now + g_rand_int_range(p->r, 500, 6000);
		return;
	}
}

static play_t
play_new(int n, uint32_t seed, double load)
{
	play_t p = { .r = g_rand_new_with_seed(seed),
		.n = n,
		.limit = { 20000, 20000, 17000, WINDOW_MS },
		.load = load,
		.last = n };
	int i;

	p.x = g_new0(instance_t, n);
	p.candidate = g_new0(giver_candidate_t, n);
	p.message = g_array_new(FALSE, FALSE, sizeof(message_t));
	for (i = 0; i < n; i++) {
		p.x[i].half = g_rand_boolean(p.r);
		p.x[i].told_at = -i % TELL_MS;
	}
	return p;
}

static void
play_free(play_t *p)
{
	int i;

	for (i = 0; i < p->n; i++)
		allowance_pool_free(&p->x[i].pool);
	g_free(p->x);
	g_free(p->candidate);
	g_array_free(p->message, TRUE);
	g_rand_free(p->r);
}

static void
play_step(play_t *p)
{
	double due = p->load * p->limit.rate * STEP_MS / 1000, amount;
	int i;

	deliver_all(p);
	for (i = 0; i < p->n; i++) {
		if (p->x[i].gone_until != 0 && !gone(p, i))
			come_back(p, i);
		if (!gone(p, i))
			step_instance(p, i);
	}
	while (p->now >= WARM_MS && due > 0) {
		amount = 100 + 500 * g_rand_double(p->r);
		i = g_rand_int_range(p->r, p->first, p->last);
		if (g_rand_double(p->r) < due / amount && !gone(p, i))
			call(p, i, amount);
		due -= amount;
	}
}

static double
sum(const double *v, ms_t from, ms_t to)
{
	double all = 0;
	ms_t i;

	for (i = from / 100; i < to / 100 && i < BINS; i++)
		all += v[i];
	return all;
}

/* The bound of the operators: a tenth and the slack beyond the allowance. */
static double
play_bound(const play_t *p)
{
	return (p->limit.rate * 8 + p->limit.burst) * 1.1 + p->limit.slack;
}

static void
random_orders(int n, int plays, uint32_t from)
{
	double most = 0, v;
	int i;
	ms_t t;

	for (i = 0; i < plays; i++) {
		play_t p = play_new(n, from + (uint32_t)i, 0.3);
		ms_t hot = g_rand_int_range(p.r, WARM_MS, SPAN_MS);

		p.loss = g_rand_double(p.r) * 0.2;
		for (p.now = 0; p.now < SPAN_MS; p.now += STEP_MS) {
			if (p.now > WARM_MS &&
			    g_rand_double(p.r) < STEP_MS / 2500.0)
				trouble(&p);
			if (p.now >= hot)
				p.load = 5;
			play_step(&p);
		}
		for (t = 0, v = 0; t <= (SPAN_MS - WINDOW_MS) / 100; t++) {
			v += p.window[t];
			if (v > most * play_bound(&p))
				most = v / play_bound(&p);
			if (v > play_bound(&p))
				g_test_message("seed %u, window from %" PRId64,
				    from + (uint32_t)i, t * 100);
			g_assert_cmpfloat(v, <=, play_bound(&p));
		}
		play_free(&p);
	}
	g_test_message("%d instances: at most %.3f of the bound", n, most);
}

/* Guards against allowances that are exceeded where instances fail. */
static void
bound_holds_in_random_orders(void)
{
	random_orders(3, 9000, 1);
	random_orders(30, 900, 20001);
	random_orders(85, 92, 30001);
	random_orders(300, 8, 40001);
}

/* Guards against refusals within the allowance, wherever the calls come in. */
static void
allowance_is_usable(void)
{
	static const int size[] = { 3, 30, 85, 300 };
	size_t k;

	for (k = 0; k < G_N_ELEMENTS(size); k++) {
		play_t p = play_new(size[k], 5, 0.9);

		for (p.now = 0; p.now < SPAN_MS; p.now += STEP_MS) {
			/* From now on a third of the instances get all calls.
			 */
			if (p.now == 8000)
				p.last = (size[k] + 2) / 3;
			play_step(&p);
		}
		g_assert_cmpfloat(sum(p.used, WARM_MS, 8000), >=,
		    0.95 * sum(p.asked, WARM_MS, 8000));
		g_assert_cmpfloat(sum(p.used, 8000, 10000), >=,
		    0.9 * sum(p.asked, 8000, 10000));
		g_assert_cmpfloat(sum(p.used, 10000, SPAN_MS - 500), >=,
		    0.95 * sum(p.asked, 10000, SPAN_MS - 500));
		play_free(&p);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/allowance/rate_and_burst", rate_and_burst);
	g_test_add_func("/allowance/part_of_the_members", part_of_the_members);
	g_test_add_func("/allowance/repeats_and_returns", repeats_and_returns);
	g_test_add_func("/allowance/returns_are_spread", returns_are_spread);
	g_test_add_func("/allowance/lower_limit", lower_limit);
	g_test_add_func("/allowance/nothing_for_a_stall", nothing_for_a_stall);
	g_test_add_func("/allowance/saved_up_is_part_of_the_window",
	    saved_up_is_part_of_the_window);
	g_test_add_func(
	    "/allowance/large_calls_at_new_givers", large_calls_at_new_givers);
	g_test_add_func("/allowance/saved_up_is_lost_with_the_members",
	    saved_up_is_lost_with_the_members);
	g_test_add_func(
	    "/allowance/nothing_for_a_silence", nothing_for_a_silence);
	g_test_add_func("/allowance/change_of_giver_within_the_bound",
	    change_of_giver_within_the_bound);
	g_test_add_func("/allowance/silent_members_are_forgotten",
	    silent_members_are_forgotten);
	g_test_add_func("/allowance/second_change_waits", second_change_waits);
	g_test_add_func("/allowance/bound_holds_in_random_orders",
	    bound_holds_in_random_orders);
	g_test_add_func("/allowance/allowance_is_usable", allowance_is_usable);
	return g_test_run();
}
