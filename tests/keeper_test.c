/*
 * Who may send to an endpoint next, by the instance that keeps its load; and
 * what that is worth where many instances send with old views of it.
 */
#include "policy/keeper.h"

#include <glib.h>
#include <math.h>
#include <string.h>

enum {
	SLOTS = 6,
	ENGINE_SLOTS = 64,
	KV = 100000,
	PROMPT = 2000,
};

static const workload_average_t average = { .prefill_speed = 20,
	.plain_call_ms = 30 };
static const workload_limits_t limits = { 0.8, 200 };
static const keeper_rules_t rules = { &average, &limits, 0.34 };

static keeper_ask_t
plain_ask(uint64_t asker, uint32_t call, int rank, ms_t late_at)
{
	return (keeper_ask_t){ .asker = asker,
		.call = call,
		.rank = rank,
		.late_at = late_at,
		.heard_at = 1000 };
}

static int
grant_all(keeper_t *k, ms_t now)
{
	keeper_ask_t a;
	int n = 0;

	while (keeper_next(k, &rules, now, &a))
		n++;
	return n;
}

/*
 * Guards against a plain endpoint that turns calls away since each of many
 * instances sees a free slot.
 */
static void
many_instances_ask_for_six_slots(void)
{
	keeper_t k;
	keeper_ask_t a;
	uint32_t i;

	keeper_init(&k, SLOTS, 0);
	for (i = 0; i < 50; i++) {
		a = plain_ask(i, i, 2, 5000 - (ms_t)i);
		g_assert_true(keeper_put(&k, &a));
	}
	g_assert_cmpint(grant_all(&k, 1000), ==, 9);
	g_assert_cmpint(k.load.others.running, ==, 9);
	/* The one that would be late first goes next, once a call has ended. */
	keeper_remove(&k, 49, 49);
	g_assert_true(keeper_next(&k, &rules, 1001, &a));
	g_assert_cmpint(a.call, ==, 40);
	g_assert_false(keeper_next(&k, &rules, 1001, &a));
	keeper_free(&k);
}

/* Guards against an urgent call behind those that can wait. */
static void
rank_goes_before_time(void)
{
	keeper_t k;
	keeper_ask_t a;

	keeper_init(&k, SLOTS, 0);
	a = plain_ask(1, 1, 2, 1100);
	keeper_put(&k, &a);
	a = plain_ask(2, 2, 0, 9000);
	keeper_put(&k, &a);
	a = plain_ask(3, 3, 0, 8000);
	keeper_put(&k, &a);
	g_assert_true(keeper_next(&k, &rules, 1000, &a));
	g_assert_cmpint(a.call, ==, 3);
	g_assert_true(keeper_next(&k, &rules, 1000, &a));
	g_assert_cmpint(a.call, ==, 2);
	keeper_free(&k);
}

/* Guards against a prompt too many: all streams there would stand still. */
static void
prompts_are_granted_at_the_endpoint_s_speed(void)
{
	keeper_t k;
	keeper_ask_t a = {
		.tokens = PROMPT, .kv = 2200, .late_at = 9000, .heard_at = 1000
	};
	ms_t now;
	int n, all = 0;

	keeper_init(&k, ENGINE_SLOTS, KV);
	for (n = 0; n < 40; n++) {
		a.asker = (uint64_t)n;
		a.call = (uint32_t)n;
		keeper_put(&k, &a);
	}
	for (now = 1000; now < 2000; now += 5)
		all += grant_all(&k, now);
	/* 200 ms of prompts at once, then 0.8 of 20 tokens a ms. */
	g_assert_cmpint(all, >=, 8);
	g_assert_cmpint(
	    all, <=, (int)((200 * 20 + 0.8 * 20 * 1000) / PROMPT) + 1);
	grant_all(&k, now);
	g_assert_cmpfloat(keeper_next_in(&k, &rules, now), >, 0);
	keeper_free(&k);
}

/* Guards against load that is kept after its instance has gone. */
static void
lost_grants_and_silent_instances_are_forgotten(void)
{
	keeper_t k;
	keeper_ask_t a;
	workload_share_t share = { 0, 4, 0 };
	ms_t now = 1000;

	keeper_init(&k, SLOTS, 0);
	a = plain_ask(1, 1, 0, 5000);
	keeper_put(&k, &a);
	g_assert_cmpint(grant_all(&k, now), ==, 1);
	keeper_report(&k, 2, &share, now);
	g_assert_cmpint(k.load.others.running, ==, 5);
	now += 500;
	keeper_expire(&k, now);
	g_assert_cmpint(k.load.others.running, ==, 4);
	now += 7000;
	keeper_expire(&k, now);
	g_assert_cmpint(k.load.others.running, ==, 0);
	g_assert_true(keeper_idle(&k));
	keeper_free(&k);
}

/* Guards against a call that counts twice, or is granted twice. */
static void
repeated_asks_count_once(void)
{
	keeper_t k;
	keeper_ask_t a = plain_ask(1, 1, 0, 5000);
	workload_share_t one = { 0, 1, 0 };

	keeper_init(&k, SLOTS, 0);
	keeper_put(&k, &a);
	keeper_put(&k, &a);
	g_assert_cmpint(grant_all(&k, 1000), ==, 1);
	keeper_put(&k, &a);
	g_assert_cmpint(k.nask, ==, 0);
	g_assert_true(keeper_granted(&k, 1, 1));
	/* It begins: its instance reports it in its share. */
	keeper_remove(&k, 1, 1);
	keeper_report(&k, 1, &one, 1000);
	g_assert_cmpint(k.load.others.running, ==, 1);
	keeper_free(&k);
}

/* Guards against waits that tell nothing: they grow with the calls ahead. */
static void
wait_is_predicted(void)
{
	keeper_t k;
	keeper_ask_t a = { .tokens = PROMPT, .kv = 2200, .heard_at = 1000 };
	double before = -1;
	uint32_t i;

	keeper_init(&k, ENGINE_SLOTS, KV);
	for (i = 0; i < 30; i++) {
		a.asker = i;
		a.call = i;
		a.late_at = 5000 + (ms_t)i;
		keeper_put(&k, &a);
	}
	grant_all(&k, 1000);
	for (i = 5; i < 30; i++) {
		double wait = keeper_wait_ms(&k, &rules, i, i, 1000);

		g_assert_cmpfloat(wait, >, before);
		before = wait;
	}
	g_assert_cmpfloat(before, <, 30 * PROMPT / (0.8 * 20));
	keeper_free(&k);
}

/* A load with old views. */

enum {
	ENDPOINTS = 240,
	MODELS = 120,
	COPIES = 6,    /* of each model */
	VIEW_MS = 400, /* age of what all know of an endpoint, at most */
	RUN_MS = 20000,
	CLUMP = 3,     /* calls that come together */
	BUSY_MS = 400, /* queue in which streams miss their pauses */
};
static const double use = 0.35; /* of all endpoints' speed */

typedef enum way {
	OLD_VIEW,
	ASK_TWO
} way_t;

static double
backlog(const double *at, const double *queued, int e, double now)
{
	double left = queued[e] - (now - at[e]) * average.prefill_speed;

	return left > 0 ? left : 0;
}

/* @return the share of prompts that meet a long queue */
static double
busy_share(way_t way)
{
	static double queued[ENDPOINTS], at[ENDPOINTS], view[ENDPOINTS];
	static int holder[MODELS][COPIES];
	GRand *g = g_rand_new_with_seed(5);
	double rate = use * ENDPOINTS * average.prefill_speed / PROMPT;
	int m, c, n = 0, busy = 0;
	double now, next = 0;

	memset(queued, 0, sizeof(queued));
	memset(at, 0, sizeof(at));
	memset(view, 0, sizeof(view));
	for (m = 0; m < MODELS; m++)
		for (c = 0; c < COPIES; c++)
			holder[m][c] = g_rand_int_range(g, 0, ENDPOINTS);
	for (now = 0; now < RUN_MS; now++) {
		if (fmod(now, VIEW_MS) == 0)
			for (c = 0; c < ENDPOINTS; c++)
				view[c] = backlog(at, queued, c, now);
		for (; next <= now;
		     next += -log(g_rand_double(g)) * CLUMP / rate)
			for (c = 0; c < CLUMP; c++) {
				int i, best = -1, second = -1;

				m = g_rand_int_range(g, 0, MODELS);
				for (i = 0; i < COPIES; i++) {
					int e = holder[m][i];

					if (best == -1 ||
					    view[e] < view[best]) {
						second = best;
						best = e;
					} else if (second == -1 ||
						   view[e] < view[second]) {
						second = e;
					}
				}
				if (way == ASK_TWO &&
				    backlog(at, queued, second, now) <
					backlog(at, queued, best, now))
					best = second;
				queued[best] = backlog(at, queued, best, now);
				at[best] = now;
				n++;
				busy += queued[best] + PROMPT >
					BUSY_MS * average.prefill_speed;
				queued[best] += PROMPT;
			}
	}
	g_rand_free(g);
	return (double)busy / n;
}

/*
 * Guards against many instances that see the same endpoint free and all send
 * there, though a third of all endpoints' speed is used.
 */
static void
herd_with_old_views(void)
{
	double old = busy_share(OLD_VIEW), asked = busy_share(ASK_TWO);

	g_test_message("busy: old view %.3f, two asked %.3f", old, asked);
	g_assert_cmpfloat(asked, <, old / 2);
}

#define T(name) g_test_add_func("/keeper/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(many_instances_ask_for_six_slots);
	T(rank_goes_before_time);
	T(prompts_are_granted_at_the_endpoint_s_speed);
	T(lost_grants_and_silent_instances_are_forgotten);
	T(repeated_asks_count_once);
	T(wait_is_predicted);
	T(herd_with_old_views);
	return g_test_run();
}
