#include "policy/breaker.h"
#include "policy/retries.h"
#include "policy/workload.h"

#include <glib.h>

/* Tokens/ms of the endpoints in these patterns, and their bounds. */
static const double pace = 20;
static const workload_limits_t bounds = { 0.65, 200 };

static void
endpoint(workload_t *b)
{
	workload_init(b, 64, 100000);
	b->prefill_speed = pace;
}

/* Many callers at once: streams that run keep their gaps. */
static void
burst_of_prompts_leaves_the_gap(void)
{
	workload_average_t u = { 0 };
	workload_t b;
	ms_t now;
	int i, window[2000] = { 0 }, sum = 0;

	endpoint(&b);
	for (now = 0; now < 2000; now++) {
		while (
		    workload_send_delay_ms(&b, &u, &bounds, 1500, now) == 0) {
			workload_prompt_sent(&b, &u, &bounds, 1500, now);
			window[now] += 1500;
		}
		sum += window[now];
		/* Any span of the gap's length reads no longer than it and
		 * what may be sent in it. */
		if (now >= 200)
			sum -= window[now - 200];
		g_assert_cmpint(sum, <=,
		    (int)(pace * bounds.stream_gap_ms *
			  (1 + bounds.prefill_share)) +
			1500);
	}
	for (i = 0, sum = 0; i < 2000; i++)
		sum += window[i];
	/* And the endpoint isn't left idle. */
	g_assert_cmpint(
	    sum, >, (int)(pace * bounds.prefill_share * 2000 * 0.9));
}

/* One whose prompt is larger than the bound isn't starved. */
static void
largest_prompt_gets_its_turn(void)
{
	workload_average_t u = { 0 };
	workload_t b;
	double wait;

	endpoint(&b);
	workload_prompt_sent(&b, &u, &bounds, 3000, 0);
	wait = workload_send_delay_ms(&b, &u, &bounds, 9000, 0);
	g_assert_cmpfloat(wait, >, 0);
	g_assert_cmpfloat(
	    workload_send_delay_ms(&b, &u, &bounds, 9000, (ms_t)wait + 1), ==,
	    0);
}

static void
others_calls_count(void)
{
	workload_average_t u = { 0 };
	workload_t b;
	double alone, beside;

	endpoint(&b);
	alone = workload_predict_ms(&b, &u, 1000);
	b.others = (workload_share_t){ 4000, 3, 50000 };
	beside = workload_predict_ms(&b, &u, 1000);
	g_assert_cmpfloat(beside - alone, ==, 4000 / pace);
	g_assert_cmpint(workload_kv_free(&b), ==, 92000 - 50000);
}

static void
ticket_gives_all_back(void)
{
	workload_average_t u = { 0 };
	workload_reservation_t t = { 0 };
	workload_t b;

	endpoint(&b);
	workload_reserve(&b, &u, &t, 1500, 2000);
	g_assert_cmpint(b.own.prefill_tokens, ==, 1500);
	workload_first_event(&b, &u, &t, 100);
	g_assert_cmpint(b.own.prefill_tokens, ==, 0);
	g_assert_cmpint(b.own.kv_tokens, ==, 2000);
	workload_release(&b, &t);
	workload_release(&b, &t);
	g_assert_cmpint(b.own.kv_tokens, ==, 0);
	g_assert_cmpint(b.own.running, ==, 0);
}

/* An endpoint that reads at half the usual pace is known by it. */
static void
slow_endpoint_is_learnt(void)
{
	workload_average_t u = { 20, 0 };
	workload_t slow, usual;
	int i;

	endpoint(&slow);
	endpoint(&usual);
	for (i = 0; i < 40; i++) {
		workload_reservation_t t = { 0 };

		workload_reserve(&slow, &u, &t, 2000, 2000);
		workload_first_event(&slow, &u, &t, 215);
		workload_release(&slow, &t);
	}
	g_assert_cmpfloat(slow.prefill_speed, <, 11);
	g_assert_cmpfloat(workload_predict_ms(&slow, &u, 2000), >,
	    1.7 * workload_predict_ms(&usual, &u, 2000));
}

static void
plain_calls_wait_for_slots(void)
{
	workload_average_t u = { 0 };
	workload_t b;

	workload_init(&b, 6, 0);
	b.plain_call_ms = 60;
	g_assert_cmpfloat(workload_predict_ms(&b, &u, 0), <, 70);
	b.others.running = 6;
	g_assert_cmpfloat(workload_predict_ms(&b, &u, 0), >, 120);
}

/* Breaker */

static void
breaker_opens_and_tries_one(void)
{
	breaker_t b = { 0 };
	int i;

	for (i = 0; i < 2; i++)
		breaker_failure(&b, true, 100);
	g_assert_true(breaker_allows(&b, 100));
	breaker_failure(&b, true, 100);
	g_assert_false(breaker_allows(&b, 101));
	g_assert_true(breaker_allows(&b, 700));
	breaker_sent(&b, 700);
	g_assert_false(breaker_allows(&b, 701));
	breaker_success(&b);
	g_assert_true(breaker_allows(&b, 702));
}

static void
breaker_lost_try_isnt_the_last(void)
{
	breaker_t b = { 0 };
	int i;

	for (i = 0; i < 3; i++)
		breaker_failure(&b, true, 0);
	breaker_sent(&b, 600);
	breaker_failure(&b, true, 700);
	g_assert_false(breaker_allows(&b, 710));
	g_assert_true(breaker_allows(&b, 700 + 1000));
}

/* Fails part of its calls while it answers status checks well. */
static void
grey_endpoint_weighs_more(void)
{
	breaker_t grey = { 0 }, sound = { 0 };
	int i;

	for (i = 0; i < 40; i++) {
		breaker_success(&sound);
		if (i % 5 < 2)
			breaker_failure(&grey, false, i);
		else
			breaker_success(&grey);
	}
	g_assert_cmpfloat(breaker_time_factor(&sound, 0.05), ==, 1);
	g_assert_cmpfloat(breaker_time_factor(&grey, 0.05), >, 2);
	/* Where every endpoint fails so often, none is worse. */
	g_assert_cmpfloat(breaker_time_factor(&grey, 0.9), ==, 1);
}

/* Retries */

/* All instances together, some of them unknown to each other. */
static void
budget_holds_in_any_window(void)
{
	enum {
		N = 7,
		RATE = 4,
		END = 60000,
		WINDOW = 10000
	};
	retries_t r[N];
	static int asked[END], again[END];
	int64_t a = 0, b = 0, before = 0;
	GRand *g = g_rand_new_with_seed(5);
	int i, t;

	for (i = 0; i < N; i++)
		retries_init(&r[i], WINDOW);
	for (t = 0; t < END; t++)
		for (i = 0; i < N; i++) {
			if (g_rand_int_range(g, 0, 1000) < RATE) {
				retries_add_call(&r[i], t);
				asked[t]++;
			}
			/* Everything fails: each wants to send again. */
			while (retries_allowed(&r[i], 0.2, 54, 5, t)) {
				retries_add_retry(&r[i], t);
				again[t]++;
			}
		}
	for (t = 0; t < END; t++) {
		a += asked[t];
		b += again[t];
		if (t < WINDOW)
			continue;
		a -= asked[t - WINDOW];
		b -= again[t - WINDOW];
		before = t >= 2 * WINDOW ? a : 0;
		(void)before;
		g_assert_cmpfloat((double)b, <=, 0.2 * (double)a + 54);
	}
	g_rand_free(g);
}

static void
budget_returns_when_all_is_quiet(void)
{
	retries_t r;
	int i;

	retries_init(&r, 10000);
	for (i = 0; i < 100 && retries_allowed(&r, 0.2, 54, 1, 0); i++)
		retries_add_retry(&r, 0);
	g_assert_cmpint(i, >, 20);
	g_assert_false(retries_allowed(&r, 0.2, 54, 1, 5000));
	g_assert_true(retries_allowed(&r, 0.2, 54, 1, 11000));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/burden/burst-of-prompts-leaves-the-gap",
	    burst_of_prompts_leaves_the_gap);
	g_test_add_func("/burden/largest-prompt-gets-its-turn",
	    largest_prompt_gets_its_turn);
	g_test_add_func("/burden/others-calls-count", others_calls_count);
	g_test_add_func("/burden/ticket-gives-all-back", ticket_gives_all_back);
	g_test_add_func(
	    "/burden/slow-endpoint-is-learnt", slow_endpoint_is_learnt);
	g_test_add_func(
	    "/burden/plain-calls-wait-for-slots", plain_calls_wait_for_slots);
	g_test_add_func(
	    "/breaker/opens-and-tries-one", breaker_opens_and_tries_one);
	g_test_add_func(
	    "/breaker/lost-try-isnt-the-last", breaker_lost_try_isnt_the_last);
	g_test_add_func(
	    "/breaker/grey-endpoint-weighs-more", grey_endpoint_weighs_more);
	g_test_add_func(
	    "/retries/budget-holds-in-any-window", budget_holds_in_any_window);
	g_test_add_func("/retries/budget-returns-when-all-is-quiet",
	    budget_returns_when_all_is_quiet);
	return g_test_run();
}
