/*
 * The predicted load and times of endpoints, the breaker of one endpoint, and
 * the retry budget of all instances.
 */
#include "policy/breaker.h"
#include "policy/retries.h"
#include "policy/workload.h"

#include <glib.h>

/* Prompt tokens per ms of the endpoints in these tests, and their limits. */
static const double speed = 20;
static const workload_limits_t bounds = { 0.65, 200 };

static void
init_endpoint(workload_t *b)
{
	workload_init(b, 64, 100000);
	b->prefill_speed = speed;
}

/* When many prompts come at once, running streams keep their gap limit. */
static void
prompt_burst_keeps_stream_gaps(void)
{
	workload_average_t u = { 0 };
	workload_t b;
	ms_t now;
	int i, sent_tokens[2000] = { 0 }, sum = 0;

	init_endpoint(&b);
	for (now = 0; now < 2000; now++) {
		while (
		    workload_send_delay_ms(&b, &u, &bounds, 1500, now) == 0) {
			workload_prompt_sent(&b, &u, &bounds, 1500, now);
			sent_tokens[now] += 1500;
		}
		sum += sent_tokens[now];
		/* In a period of the gap's length at most one full bucket and
		 * the tokens that drain in that period are sent. */
		if (now >= 200)
			sum -= sent_tokens[now - 200];
		g_assert_cmpint(sum, <=,
		    (int)(speed * bounds.stream_gap_ms *
			  (1 + bounds.prefill_share)) +
			1500);
	}
	for (i = 0, sum = 0; i < 2000; i++)
		sum += sent_tokens[i];
	/* The endpoint is still kept busy. */
	g_assert_cmpint(
	    sum, >, (int)(speed * bounds.prefill_share * 2000 * 0.9));
}

/* A prompt larger than the limit is sent once the bucket is empty. */
static void
oversized_prompt_is_sent(void)
{
	workload_average_t u = { 0 };
	workload_t b;
	double wait;

	init_endpoint(&b);
	workload_prompt_sent(&b, &u, &bounds, 3000, 0);
	wait = workload_send_delay_ms(&b, &u, &bounds, 9000, 0);
	g_assert_cmpfloat(wait, >, 0);
	g_assert_cmpfloat(
	    workload_send_delay_ms(&b, &u, &bounds, 9000, (ms_t)wait + 1), ==,
	    0);
}

static void
calls_of_other_instances_count(void)
{
	workload_average_t u = { 0 };
	workload_t b;
	double alone, beside;

	init_endpoint(&b);
	alone = workload_predict_ms(&b, &u, 1000);
	b.others = (workload_share_t){ 4000, 3, 50000 };
	beside = workload_predict_ms(&b, &u, 1000);
	g_assert_cmpfloat(beside - alone, ==, 4000 / speed);
	g_assert_cmpint(workload_kv_free(&b), ==, 92000 - 50000);
}

static void
reservation_is_released_once(void)
{
	workload_average_t u = { 0 };
	workload_reservation_t t = { 0 };
	workload_t b;

	init_endpoint(&b);
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

/* An endpoint with half the usual prefill speed is predicted slower. */
static void
slow_endpoint_is_measured(void)
{
	workload_average_t u = { 20, 0 };
	workload_t slow, usual;
	int i;

	init_endpoint(&slow);
	init_endpoint(&usual);
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
breaker_opens_and_admits_one_probe(void)
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
breaker_probes_again_after_a_failed_probe(void)
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

/*
 * Guards against an endpoint that is never used again because its probe was
 * refused, or its caller left, or its deadline passed first.
 */
static void
breaker_probes_again_after_one_without_outcome(void)
{
	breaker_t b = { 0 };
	int i;

	for (i = 0; i < 3; i++)
		breaker_failure(&b, true, 0);
	breaker_sent(&b, 600);
	g_assert_false(breaker_allows(&b, 601));
	g_assert_false(breaker_allows(&b, 600 + 5999));
	g_assert_true(breaker_allows(&b, 600 + 6000));
	breaker_sent(&b, 7000);
	g_assert_false(breaker_allows(&b, 7001));
}

/* An endpoint fails part of its calls while its status checks succeed. */
static void
partly_failing_endpoint_costs_more(void)
{
	breaker_t failing = { 0 }, sound = { 0 };
	int i;

	for (i = 0; i < 40; i++) {
		breaker_success(&sound);
		if (i % 5 < 2)
			breaker_failure(&failing, false, i);
		else
			breaker_success(&failing);
	}
	g_assert_cmpfloat(breaker_time_factor(&sound, 0.05), ==, 1);
	g_assert_cmpfloat(breaker_time_factor(&failing, 0.05), >, 2);
	/* Not if all endpoints fail as often. */
	g_assert_cmpfloat(breaker_time_factor(&failing, 0.9), ==, 1);
}

/* Retries */

/*
 * The budget holds over all seven instances, though each assumes that only five
 * share it.
 */
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
			/* Every call fails, so every instance retries. */
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
budget_recovers_after_a_window(void)
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
	g_test_add_func("/workload/prompt-burst-keeps-stream-gaps",
	    prompt_burst_keeps_stream_gaps);
	g_test_add_func(
	    "/workload/oversized-prompt-is-sent", oversized_prompt_is_sent);
	g_test_add_func("/workload/calls-of-other-instances-count",
	    calls_of_other_instances_count);
	g_test_add_func("/workload/reservation-is-released-once",
	    reservation_is_released_once);
	g_test_add_func(
	    "/workload/slow-endpoint-is-measured", slow_endpoint_is_measured);
	g_test_add_func(
	    "/workload/plain-calls-wait-for-slots", plain_calls_wait_for_slots);
	g_test_add_func("/breaker/probes-again-after-one-without-outcome",
	    breaker_probes_again_after_one_without_outcome);
	g_test_add_func("/breaker/opens-and-admits-one-probe",
	    breaker_opens_and_admits_one_probe);
	g_test_add_func("/breaker/probes-again-after-a-failed-probe",
	    breaker_probes_again_after_a_failed_probe);
	g_test_add_func("/breaker/partly-failing-endpoint-costs-more",
	    partly_failing_endpoint_costs_more);
	g_test_add_func(
	    "/retries/budget-holds-in-any-window", budget_holds_in_any_window);
	g_test_add_func("/retries/budget-recovers-after-a-window",
	    budget_recovers_after_a_window);
	return g_test_run();
}
