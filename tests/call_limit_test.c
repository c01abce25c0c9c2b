/*
 * The rate of calls that an endpoint names: what is known of it, and how
 * instances share it.
 */
#include "platform/platform.h"
#include "policy/call_limit.h"

#include <glib.h>
#include <string.h>

enum {
	START = 1000000, /* ms */
	WINDOW_MS = 4000,
	EXTRA = 5, /* arrivals allowed beyond the limit's factor */
	INSTANCES_MAX = 90,
	ARRIVALS_MAX = 100000,
	STEP_MS = 5,
	MESSAGE_MS = 3, /* one way */
};
static const double factor = 1.5;

/* What is known of a limit. */

/* Guards against a limit that isn't noticed, or doesn't change or end. */
static void
limit_begins_changes_and_ends(void)
{
	call_limit_t l = { 0 };

	g_assert_false(call_limit_absent(&l, START, START + 10));
	g_assert_true(call_limit_named(&l, 2, START, START + 10));
	g_assert_false(call_limit_named(&l, 2, START + 5, START + 20));
	g_assert_true(call_limit_named(&l, 3.5, START + 5, START + 30));
	g_assert_true(l.active);
	g_assert_cmpfloat(l.rate, ==, 3.5);
	g_assert_true(call_limit_absent(&l, START + 31, START + 40));
	g_assert_false(l.active);
	g_assert_true(call_limit_named(&l, 1, START + 41, START + 50));
	g_assert_true(l.active);
}

/* Guards against an answer that overtook another one ending or beginning it. */
static void
late_answers_change_nothing(void)
{
	call_limit_t l = { 0 };

	call_limit_named(&l, 2, START, START + 100);
	/* Said before the limit was named, read after. */
	g_assert_false(call_limit_absent(&l, START + 90, START + 110));
	g_assert_true(l.active);
	g_assert_true(call_limit_absent(&l, START + 101, START + 120));
	/* Said before the limit ended. */
	g_assert_false(call_limit_named(&l, 2, START + 110, START + 130));
	g_assert_false(l.active);
}

/* Guards against an instance that knows less undoing what others know. */
static void
newer_news_of_others_count(void)
{
	call_limit_t l = { 0 }, none = { .at = START + 5 },
		     other = { true, 4, START + 10 };

	call_limit_named(&l, 2, START, START + 8);
	g_assert_false(call_limit_adopt(&l, &none));
	g_assert_true(call_limit_adopt(&l, &other));
	g_assert_cmpfloat(l.rate, ==, 4);
	g_assert_false(call_limit_adopt(&l, &other));
	none.at = START + 20;
	g_assert_true(call_limit_adopt(&l, &none));
	g_assert_false(l.active);
}

/* Guards against rates that stop an endpoint for ever, or bound nothing. */
static void
extreme_rates_are_bounded(void)
{
	call_limit_t l = { 0 };

	call_limit_named(&l, 0, START, START + 10);
	g_assert_true(l.active);
	g_assert_cmpfloat(l.rate, >, 0);
	g_assert_true(call_limit_named(&l, 1e9, START + 11, START + 20));
	g_assert_false(l.active);
}

static named_limit_t
decode(const char *value)
{
	char text[256];
	head_t h = { .nfield = 1 };
	answer_head_t a;

	/* A target that isn't there, then name and value. */
	memset(text, 0, sizeof(text));
	memcpy(text + 1, "Server-Limit", sizeof("Server-Limit"));
	str_set(text + 14, sizeof(text) - 14, value);
	h.text = (buf_t){ .p = text, .len = sizeof(text) };
	h.field[0].name = 1;
	h.field[0].value = 14;
	answer_head_decode(&a, &h, 200);
	return a.limit;
}

/* Guards against taking for a rate what isn't one. */
static void
malformed_values_say_nothing(void)
{
	static const char *const bad[] = { "", "-1", "+1", "NaN", "nan", "inf",
		"1e3", "1,5", "0x10", "1 2", ".", "two", "1.5s" };
	char huge[200];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++)
		g_assert_cmpint(decode(bad[i]).kind, ==, NAMED_LIMIT_MALFORMED);
	memset(huge, '9', sizeof(huge) - 1);
	huge[sizeof(huge) - 1] = '\0';
	g_assert_cmpint(decode(huge).kind, ==, NAMED_LIMIT_RATE);
	g_assert_cmpint(decode("1.3").kind, ==, NAMED_LIMIT_RATE);
	g_assert_cmpfloat(decode("1.3").rate, ==, 1.3);
	g_assert_cmpfloat(decode("0").rate, ==, 0);
	g_assert_cmpfloat(decode("7").rate, ==, 7);
}

/* A fleet that shares one limit. */

typedef struct asker {
	permits_t permits;
	bool cut; /* its messages to the giver are lost */
	bool asking;
	ms_t request_at, answer_at; /* arrival, 0: none under way */
	permit_answer_t answer;
	int want, waiting;
	double calls; /* a second */
	double due;   /* calls that have come, with the fraction */
	double phase;
} asker_t;

typedef struct fleet {
	call_limit_t limit;
	permit_giver_t giver;
	bool giver_down;
	int n;
	asker_t asker[INSTANCES_MAX];
	ms_t arrival[ARRIVALS_MAX];
	int narrival;
	ms_t now;
} fleet_t;

static fleet_t *
fleet_new(int n, double rate)
{
	fleet_t *f = g_new0(fleet_t, 1);
	int i;

	f->n = n;
	f->now = START;
	call_limit_named(&f->limit, rate, START, START);
	for (i = 0; i < n; i++)
		f->asker[i].phase = (double)i / n;
	return f;
}

static void
deliver(fleet_t *f, int i)
{
	asker_t *a = &f->asker[i];

	if (a->request_at != 0 && f->now >= a->request_at) {
		a->request_at = 0;
		if (!f->giver_down && !a->cut) {
			a->answer = permit_give(&f->giver, &f->limit,
			    (uint64_t)i + 1, a->want, f->now);
			a->answer_at = f->now + MESSAGE_MS;
		}
	}
	if (a->answer_at != 0 && f->now >= a->answer_at) {
		a->answer_at = 0;
		permits_answered(&a->permits, &a->answer, f->now);
	}
}

/* Each call waits for a permit; only so many wait. */
static void
step_asker(fleet_t *f, int i)
{
	asker_t *a = &f->asker[i];
	permit_sharers_t sharers = { f->n, a->phase };

	deliver(f, i);
	a->due += a->calls * STEP_MS / 1000;
	while (a->due >= 1) {
		a->due -= 1;
		if (a->waiting < 4)
			a->waiting++;
	}
	while (a->waiting > 0 && permits_available(&a->permits, f->now)) {
		permits_spend(&a->permits);
		a->waiting--;
		f->arrival[f->narrival++] = f->now;
	}
	if (a->waiting > 0 &&
	    permits_want(&a->permits, &f->limit, &sharers, f->now)) {
		a->want = a->waiting;
		a->request_at = f->now + MESSAGE_MS;
	}
}

static void
fleet_run(fleet_t *f, ms_t span)
{
	ms_t end = f->now + span;
	int i;

	for (; f->now < end; f->now += STEP_MS)
		for (i = 0; i < f->n; i++)
			step_asker(f, i);
}

static int
arrivals(const fleet_t *f, ms_t from, ms_t to)
{
	int i, n = 0;

	for (i = 0; i < f->narrival; i++)
		n += f->arrival[i] >= from && f->arrival[i] < to;
	return n;
}

static void
assert_kept(const fleet_t *f, double rate)
{
	int i, n;

	for (i = 0; i < f->narrival; i++) {
		n = arrivals(f, f->arrival[i], f->arrival[i] + WINDOW_MS);
		g_assert_cmpfloat(
		    n, <=, factor * rate * WINDOW_MS / 1000 + EXTRA);
	}
}

/* Guards against a sum over the limit, for any number of instances. */
static void
sum_is_bounded_and_used(void)
{
	static const int sizes[] = { 1, 3, 7, 89 };
	static const double rates[] = { 0.3, 1, 1.3, 7, 40 };
	size_t i, k;
	int j;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++)
		for (k = 0; k < G_N_ELEMENTS(rates); k++) {
			fleet_t *f = fleet_new(sizes[i], rates[k]);

			for (j = 0; j < f->n; j++)
				f->asker[j].calls = 4 * rates[k] / f->n + 0.2;
			fleet_run(f, 40000);
			assert_kept(f, rates[k]);
			/* Most of what the endpoint takes is used. */
			g_assert_cmpfloat(
			    f->narrival, >=, 0.7 * rates[k] * 40 - 2);
			g_free(f);
		}
}

/* Guards against an even split: one instance has all calls. */
static void
skewed_arrivals_get_the_whole_rate(void)
{
	fleet_t *f = fleet_new(7, 4);

	f->asker[3].calls = 20;
	fleet_run(f, 20000);
	assert_kept(f, 4);
	g_assert_cmpint(arrivals(f, START, f->now), >=, 4 * 20 * 7 / 10);
	g_free(f);
}

/* Guards against the shares staying where the calls were. */
static void
shares_follow_the_calls(void)
{
	fleet_t *f = fleet_new(7, 4);

	f->asker[3].calls = 20;
	fleet_run(f, 10000);
	f->asker[3].calls = 0;
	f->asker[5].calls = 20;
	fleet_run(f, 10000);
	assert_kept(f, 4);
	g_assert_cmpint(
	    arrivals(f, START + 10000, f->now), >=, 4 * 10 * 7 / 10);
	g_free(f);
}

/* Guards against a sum over the limit while some can't reach the giver. */
static void
instances_cut_off_keep_to_a_small_part(void)
{
	fleet_t *f = fleet_new(7, 2);
	int i;

	for (i = 0; i < f->n; i++)
		f->asker[i].calls = 3;
	f->asker[0].cut = f->asker[1].cut = f->asker[2].cut = true;
	fleet_run(f, 30000);
	assert_kept(f, 2);
	g_assert_cmpint(f->narrival, >, 2 * 30 / 2);
	g_free(f);
}

/* Guards against a standstill, and a burst, while there is no giver. */
static void
no_giver_means_a_part_of_the_rate(void)
{
	static const double rates[] = { 0.1, 1, 10 };
	size_t k;
	int i;

	for (k = 0; k < G_N_ELEMENTS(rates); k++) {
		fleet_t *f = fleet_new(7, rates[k]);

		for (i = 0; i < f->n; i++)
			f->asker[i].calls = 2 * rates[k];
		fleet_run(f, 5000);
		f->giver_down = true;
		fleet_run(f, 300000);
		assert_kept(f, rates[k]);
		g_assert_cmpfloat(arrivals(f, START + 5000, f->now), >=,
		    0.25 * rates[k] * 300);
		/* Another one begins with no permits. */
		f->giver = (permit_giver_t){ 0 };
		f->giver_down = false;
		fleet_run(f, 10000);
		assert_kept(f, rates[k]);
		g_free(f);
	}
}

/* Guards against a burst after the rate has fallen. */
static void
rate_may_fall(void)
{
	fleet_t *f = fleet_new(7, 40);
	ms_t fell;
	int i;

	for (i = 0; i < f->n; i++)
		f->asker[i].calls = 10;
	fleet_run(f, 5000);
	call_limit_named(&f->limit, 1, f->now, f->now);
	fell = f->now;
	fleet_run(f, 10000);
	/* Permits given before are used in their lifetime. */
	for (i = 0; i < 6; i++)
		g_assert_cmpfloat(
		    arrivals(f, fell + PERMIT_LIFE_MS + i * 1000,
			fell + PERMIT_LIFE_MS + i * 1000 + WINDOW_MS),
		    <=, factor * WINDOW_MS / 1000 + EXTRA);
	g_free(f);
}

/* Guards against calls that wait though they will get no permit in time. */
static void
wait_is_known_from_the_first_answer(void)
{
	call_limit_t l = { true, 1, START };
	permit_giver_t g = { 0 };
	permits_t p = { 0 };
	permit_sharers_t sharers = { 7, 0.5 };
	permit_answer_t a;
	int i;

	for (i = 1; i < 7; i++)
		permit_give(&g, &l, (uint64_t)i, 1, START + i);
	g_assert_true(permits_want(&p, &l, &sharers, START + 10));
	a = permit_give(&g, &l, 7, 1, START + 12);
	g_assert_cmpint(a.permits, ==, 0);
	permits_answered(&p, &a, START + 14);
	/* Seven ask, one a second is given. */
	g_assert_cmpint(permits_wait_ms(&p, 1, START + 14), >=, 7000);
	g_assert_false(permits_available(&p, START + 14));
}

/* Guards against a permit that is used long after it was given. */
static void
permits_expire(void)
{
	permits_t p = { 0 };
	permit_answer_t a = { .permits = 2, .next_ms = 20 };

	permits_answered(&p, &a, START);
	g_assert_true(permits_available(&p, START + PERMIT_LIFE_MS - 1));
	g_assert_false(permits_available(&p, START + PERMIT_LIFE_MS));
	g_assert_false(permits_available(&p, START + 1));
}

#define T(name) g_test_add_func("/call-limit/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(limit_begins_changes_and_ends);
	T(late_answers_change_nothing);
	T(newer_news_of_others_count);
	T(extreme_rates_are_bounded);
	T(malformed_values_say_nothing);
	T(sum_is_bounded_and_used);
	T(skewed_arrivals_get_the_whole_rate);
	T(shares_follow_the_calls);
	T(instances_cut_off_keep_to_a_small_part);
	T(no_giver_means_a_part_of_the_rate);
	T(rate_may_fall);
	T(wait_is_known_from_the_first_answer);
	T(permits_expire);
	return g_test_run();
}
