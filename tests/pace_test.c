/*
 * The pace of an engine's streams. The loads are those of endpoints that become
 * slow for a moment, of models that cost little, and of prompts that come
 * faster than an endpoint reads them between two events.
 */
#include "policy/workload.h"

#include <glib.h>
#include <math.h>

enum {
	GAP_MS = 400,
	STEPS = 4,    /* of an event */
	CHUNK = 2048, /* tokens that an engine reads between two steps */
	STEP_MS = 8,
	RUN_MS = 20000,
	PROMPT = 1500, /* tokens */
};

static workload_t
paced_endpoint(int pace)
{
	workload_t wl;

	workload_init(&wl, 64, 100000);
	wl.paced = true;
	wl.stream = (pace_stream_t){ GAP_MS, STEPS };
	pace_report(&wl.pace, pace, 1);
	workload_refresh(&wl, 1);
	return wl;
}

/* Guards against a slow moment that is taken for lasting, or for nothing. */
static void
old_word_counts_less(void)
{
	pace_t p = { 0 };
	ms_t t;

	g_assert_cmpfloat(pace_now(&p, 5), ==, 1);
	for (t = 0; t < 10000; t += 100)
		pace_report(&p, 70, t + 1);
	pace_report(&p, 175, 10000);
	g_assert_cmpfloat(pace_now(&p, 10000), >, 1.7);
	g_assert_cmpfloat(pace_now(&p, 13000), <, 0.75);
	/* What was told before doesn't count, nor what is no number. */
	pace_report(&p, 425, 9000);
	pace_report(&p, 0, 10001);
	g_assert_cmpfloat(pace_now(&p, 10000), <, 1.8);
}

/* Guards against a window that forgets sends, or keeps them. */
static void
window_holds_a_pause(void)
{
	pace_window_t w = { 0 };

	pace_window_add(&w, 1000, 5000);
	pace_window_add(&w, 500, 5200);
	g_assert_cmpfloat(pace_window_sum(&w, 5300), ==, 1500);
	g_assert_cmpfloat(pace_window_sum(&w, 5420), ==, 500);
	g_assert_cmpfloat(pace_window_sum(&w, 5700), ==, 0);
	pace_window_add(&w, 7, 99000);
	g_assert_cmpfloat(pace_window_sum(&w, 99000), ==, 7);
}

/* An engine that reads prompts between steps; all it gets is one model's. */
typedef struct engine {
	double queue, pause, longest, factor;
	int step;
	ms_t free_at;
} engine_t;

static void
engine_run(engine_t *e, workload_t *wl, ms_t now)
{
	double chunk;

	while (e->free_at <= now) {
		chunk = fmin(e->queue, CHUNK);
		e->queue -= chunk;
		wl->own.prefill_tokens = (int)e->queue;
		chunk = (STEP_MS + chunk / PACE_REFERENCE_SPEED) * e->factor;
		e->free_at += (ms_t)ceil(chunk);
		e->pause += chunk;
		if (++e->step % STEPS != 0)
			continue;
		e->longest = fmax(e->longest, e->pause);
		e->pause = 0;
	}
}

/* @return the longest pause of a stream that runs at an endpoint all the while
 */
static double
longest_pause(int pace, double offered, bool paced, double *read)
{
	workload_t wl = paced_endpoint(pace);
	workload_limits_t limits = { 0.8, 200 };
	workload_average_t avg = { 0 };
	engine_t e = { .factor = pace / 100.0, .free_at = 1 };
	double due = 0, sent = 0;
	ms_t now;

	for (now = 1; now < RUN_MS; now++) {
		workload_refresh(&wl, now);
		engine_run(&e, &wl, now);
		due += offered;
		while (due >= PROMPT &&
		       (!paced || workload_send_delay_ms(
				      &wl, &avg, &limits, PROMPT, now) == 0)) {
			due -= PROMPT;
			sent += PROMPT;
			e.queue += PROMPT;
			wl.own.prefill_tokens = (int)e.queue;
			workload_prompt_sent(&wl, &avg, &limits, PROMPT, now);
		}
	}
	*read = sent / RUN_MS;
	return e.longest;
}

/*
 * Guards against pauses over the limit where more prompts come than a slow
 * endpoint reads between events, and against leaving it idle.
 */
static void
prompts_keep_to_the_pause(void)
{
	static const int pace[] = { 100, 170, 200 };
	double read;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(pace); i++) {
		double speed = PACE_REFERENCE_SPEED * 100 / pace[i];

		g_assert_cmpfloat(
		    longest_pause(pace[i], 1.5 * speed, false, &read), >,
		    GAP_MS);
		g_assert_cmpfloat(
		    longest_pause(pace[i], 1.5 * speed, true, &read), <=,
		    GAP_MS);
		g_assert_cmpfloat(read, >=, 0.35 * speed);
	}
}

/* Guards against a large prompt that is never sent. */
static void
large_prompt_goes_alone(void)
{
	workload_t wl = paced_endpoint(425);
	workload_limits_t limits = { 0.8, 200 };
	workload_average_t avg = { 0 };

	g_assert_cmpfloat(
	    workload_send_delay_ms(&wl, &avg, &limits, 9000, 10), ==, 0);
	wl.own.prefill_tokens = 3000;
	g_assert_cmpfloat(
	    workload_send_delay_ms(&wl, &avg, &limits, 9000, 10), >, 0);
}

/* Guards against taking a light model's prompts for those of a heavy one. */
static void
costs_are_learnt(void)
{
	GRand *r = g_rand_new_with_seed(7);
	pace_cost_t light = { 0 }, heavy = { 0 };
	int i;

	g_assert_cmpfloat(pace_cost_tokens(&heavy), ==, 1);
	for (i = 0; i < 200; i++) {
		/* Some met prompts that nobody knew of, some were cached. */
		double other =
		    g_rand_double(r) < 0.4 ? g_rand_double_range(r, 0.6, 4) : 1;

		pace_cost_sample(&heavy, 50 * other);
		pace_cost_sample(&light, 10 * other);
	}
	g_assert_cmpfloat(pace_cost_tokens(&heavy), >, 0.75);
	g_assert_cmpfloat(pace_cost_tokens(&heavy), <, 1.25);
	g_assert_cmpfloat(pace_cost_tokens(&light), >, 0.15);
	g_assert_cmpfloat(pace_cost_tokens(&light), <, 0.25);
	g_rand_free(r);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/pace/old_word_counts_less", old_word_counts_less);
	g_test_add_func("/pace/window_holds_a_pause", window_holds_a_pause);
	g_test_add_func(
	    "/pace/prompts_keep_to_the_pause", prompts_keep_to_the_pause);
	g_test_add_func(
	    "/pace/large_prompt_goes_alone", large_prompt_goes_alone);
	g_test_add_func("/pace/costs_are_learnt", costs_are_learnt);
	return g_test_run();
}
