/*
 * Prompt parts that crash endpoints: calls with such a part soon reach no
 * endpoint, and all other calls go on. Three daemons, of which each sees only
 * its own calls.
 */
#include "tests/fixture.h"

#include <stdlib.h>
#include <string.h>

enum {
	ENDPOINTS = 8,
	DAEMONS = 3,
	EVENTS = 8,
	EVENT_GAP_MS = 30,
	DOWN_MS = 1500,	     /* of an endpoint that crashed */
	STABILITY_MS = 3000, /* stability_window_ms of the daemons' settings */
	CRASHES_FREE = 5,    /* the bound holds from the fifth crash on */
	CRASHING_CALLS_MAX = 3, /* that reach endpoints from then on */
	SOUND_GAP_MS = 40,	/* between sound calls */
	CRASHING_GAP_MS = 150,	/* between calls that crash */
	SUBJECTS = 8,		/* parts that sound and crashing calls share */
	BEFORE_MS = 3000,
	SPAN_MS = 12000,
	ANSWER_MS = 7000,
	CRASH_GAP_MS = 600,  /* between unrelated crashes */
	CRASHES_AT_ONCE = 2, /* of these */
	TRIAL_MS = 25000,    /* by then a part is tried again */
	TRIAL_CALL_GAP_MS = 300,
};

static const uint64_t first_part = 0xf1, crashing_part = 0xdead;

/** A call that the test made. */
typedef struct made_call {
	caller_t *caller;
	bool crashing;
	ms_t at;
} made_call_t;

typedef struct traffic {
	fixture_t *st;
	GArray *calls; /* made_call_t */
	int n;
	ms_t crashing_gap; /* 0: none */
	ms_t next_sound, next_crashing;
	ms_t fifth_crash; /* 0: not yet */
} traffic_t;

static traffic_t *
traffic_new(int nendpoint)
{
	traffic_t *t = g_new0(traffic_t, 1);
	fixture_t *st = t->st = fixture_new();
	fake_endpoint_opts_t o = { .model = "m1",
		.events = EVENTS,
		.event_gap = EVENT_GAP_MS,
		.adapter_slots = 4,
		.changed = fixture_entry_changed,
		.arg = st };
	int i;

	fixture_put_config(st, "");
	for (i = 0; i < nendpoint; i++)
		fixture_add_endpoint(st, &o, "llm");
	for (i = 0; i < DAEMONS; i++)
		fixture_start_daemon(st, i, true);
	t->calls = g_array_new(FALSE, FALSE, sizeof(made_call_t));
	return t;
}

static void
traffic_free(traffic_t *t)
{
	guint i;

	for (i = 0; i < t->calls->len; i++)
		caller_free(g_array_index(t->calls, made_call_t, i).caller);
	g_array_free(t->calls, TRUE);
	fixture_free(t->st);
	g_free(t);
}

/* Call daemon after daemon; no two calls are alike. */
static caller_t *
make_call(traffic_t *t, bool crashing)
{
	char id[32], path[32], headers[256], part[32] = "";
	int n = t->n++;
	made_call_t m = { .crashing = crashing, .at = t->st->loop.now };

	if (crashing)
		snprintf(part, sizeof(part), "%" PRIx64 ":50,", crashing_part);
	snprintf(id, sizeof(id), "r%d", n);
	snprintf(path, sizeof(path), "/gen/%d", n);
	snprintf(headers, sizeof(headers),
	    "Model: m1\r\nToken-Usage: 320,20\r\nDeadline-Remaining: 5000\r\n"
	    "Prompt-Prefix: %" PRIx64 ":200,%s%x:100,%x:20\r\n",
	    first_part, part, 0x100 + n % SUBJECTS, 0x10000 + n);
	m.caller = caller_call(t->st, n % DAEMONS, "POST", path, id, headers);
	g_array_append_val(t->calls, m);
	return m.caller;
}

static void
set_crash_part(fixture_t *st, uint64_t part)
{
	int i;

	for (i = 0; i < st->nendpoint; i++)
		fake_endpoint_set_crash_part(st->endpoint[i], part, DOWN_MS);
}

static void
traffic_run(traffic_t *t, ms_t span)
{
	ms_t now = clock_now(&machine_clock), end = now + span;

	t->next_sound = t->next_crashing = now;
	for (; now < end; now = clock_now(&machine_clock)) {
		if (now >= t->next_sound) {
			make_call(t, false);
			t->next_sound += SOUND_GAP_MS;
		}
		if (t->crashing_gap > 0 && now >= t->next_crashing) {
			make_call(t, true);
			t->next_crashing += t->crashing_gap;
		}
		loop_turn(&t->st->loop, 5);
		if (t->fifth_crash == 0 &&
		    fixture_crashes(t->st) >= CRASHES_FREE)
			t->fifth_crash = t->st->loop.now;
	}
}

/* Calls with the crashing part that reached endpoints at or after @p from. */
static int
crashing_arrivals(const fixture_t *st, ms_t from)
{
	int i, n = 0;
	guint k;

	for (i = 0; i < st->nendpoint; i++) {
		const GPtrArray *r = fake_endpoint_executed(st->endpoint[i]);

		for (k = 0; k < r->len; k++) {
			const executed_call_t *e = r->pdata[k];

			n += e->at >= from &&
			     fake_endpoint_has_part(e, crashing_part);
		}
	}
	return n;
}

/* Wait for the answer to a call with the crashing part. */
static int
status_of_crashing(traffic_t *t)
{
	caller_t *c = make_call(t, true);

	caller_wait(c, ANSWER_MS);
	return c->done ? c->status : 0;
}

/* Make calls until the part is blamed by all daemons; then none crashes. */
static void
have_part_blamed(traffic_t *t)
{
	set_crash_part(t->st, crashing_part);
	t->crashing_gap = CRASHING_GAP_MS;
	traffic_run(t, BEFORE_MS);
	t->crashing_gap = 0;
	g_assert_cmpint(
	    fixture_counter_sum(t->st, "ebonypitch_prompt_parts_blamed"), ==,
	    DAEMONS);
}

/* Share of the sound calls made from @p from to @p to that were served. */
static double
sound_share(const traffic_t *t, ms_t from, ms_t to)
{
	int made = 0, served = 0;
	guint i;

	for (i = 0; i < t->calls->len; i++) {
		const made_call_t *m = &g_array_index(t->calls, made_call_t, i);

		if (m->crashing || m->at < from || m->at >= to)
			continue;
		made++;
		caller_wait(m->caller, ANSWER_MS);
		served += m->caller->done && m->caller->status == 200;
	}
	g_assert_cmpint(made, >=, 20);
	return (double)served / made;
}

/*
 * Guards against calls with one prompt part crashing endpoint after endpoint,
 * and against refusing the sound calls that share their other parts.
 */
static void
crashing_part_is_refused_and_sound_calls_go_on(void)
{
	traffic_t *t = traffic_new(ENDPOINTS);
	ms_t from = clock_now(&machine_clock), crashing_from, bound_from;
	double before, after;
	int late;

	traffic_run(t, BEFORE_MS);
	crashing_from = t->st->loop.now;
	set_crash_part(t->st, crashing_part);
	t->crashing_gap = CRASHING_GAP_MS;
	traffic_run(t, SPAN_MS);
	g_test_message("crashes=%d", fixture_crashes(t->st));
	bound_from = t->fifth_crash != 0 ? t->fifth_crash : crashing_from;
	late = crashing_arrivals(t->st, bound_from + STABILITY_MS);
	g_test_message("late=%d", late);
	g_assert_cmpint(late, <=, CRASHING_CALLS_MAX);
	before = sound_share(t, from, crashing_from);
	after = sound_share(
	    t, bound_from + (ms_t)2 * STABILITY_MS, t->st->loop.now);
	g_test_message("sound before=%.3f after=%.3f", before, after);
	g_assert_cmpfloat(after, >=, before / 2);
	traffic_free(t);
}

/*
 * Guards against blaming sound parts for crashes of endpoints that have another
 * cause, as each part is in some call that hasn't begun.
 */
static void
unrelated_crashes_blame_nothing(void)
{
	traffic_t *t = traffic_new(ENDPOINTS);
	rng_t rng = { 1 };
	int i, k;

	for (i = 0; i < 12; i++) {
		traffic_run(t, CRASH_GAP_MS);
		for (k = 0; k < CRASHES_AT_ONCE; k++)
			fake_endpoint_crash(
			    t->st->endpoint[rng_next(&rng) % ENDPOINTS],
			    DOWN_MS / 2);
	}
	traffic_run(t, CRASH_GAP_MS);
	g_test_message("crashes=%d", fixture_crashes(t->st));
	g_assert_cmpint(fixture_crashes(t->st), >=, 12);
	g_assert_cmpint(
	    fixture_counter_sum(t->st, "ebonypitch_endpoint_crashes_total"), >,
	    0);
	g_assert_cmpint(
	    fixture_counter_sum(t->st, "ebonypitch_parts_blamed_total"), ==, 0);
	traffic_free(t);
}

/* Guards against an instance that restarts and sends on what others refuse. */
static void
blame_is_known_after_a_restart(void)
{
	traffic_t *t = traffic_new(ENDPOINTS);
	ms_t from;
	int i;

	have_part_blamed(t);
	proc_kill(t->st->daemon[1]);
	fixture_start_daemon(t->st, 1, true);
	fixture_run(t->st, STABILITY_MS);
	from = clock_now(&machine_clock);
	for (i = 0; i < 2 * DAEMONS; i++)
		g_assert_cmpint(status_of_crashing(t), ==, 503);
	g_assert_cmpint(crashing_arrivals(t->st, from), ==, 0);
	traffic_free(t);
}

/* Guards against learning by further crashes after all instances ended. */
static void
blame_outlives_all_instances(void)
{
	traffic_t *t = traffic_new(ENDPOINTS);
	ms_t from;
	int i;

	have_part_blamed(t);
	/* The holder renews the lease, which has the blamed parts. */
	fixture_run(t->st, STABILITY_MS);
	for (i = 0; i < DAEMONS; i++)
		proc_kill(t->st->daemon[i]);
	for (i = 0; i < DAEMONS; i++)
		fixture_start_daemon(t->st, i, true);
	fixture_run(t->st, STABILITY_MS);
	from = clock_now(&machine_clock);
	for (i = 0; i < 2 * DAEMONS; i++)
		g_assert_cmpint(status_of_crashing(t), ==, 503);
	g_assert_cmpint(crashing_arrivals(t->st, from), ==, 0);
	traffic_free(t);
}

/* Guards against a part that stays refused though endpoints were repaired. */
static void
blamed_part_is_tried_again(void)
{
	traffic_t *t = traffic_new(ENDPOINTS);
	ms_t end;
	int i;

	have_part_blamed(t);
	set_crash_part(t->st, 0);
	end = clock_now(&machine_clock) + TRIAL_MS;
	while (status_of_crashing(t) != 200) {
		g_assert_cmpint(clock_now(&machine_clock), <, end);
		fixture_run(t->st, TRIAL_CALL_GAP_MS);
	}
	fixture_run(t->st, TRIAL_CALL_GAP_MS);
	for (i = 0; i < 2 * DAEMONS; i++)
		g_assert_cmpint(status_of_crashing(t), ==, 200);
	g_assert_cmpint(
	    fixture_counter_sum(t->st, "ebonypitch_prompt_parts_blamed"), ==,
	    0);
	traffic_free(t);
}

/* Guards against trials at all instances, each of which ends an endpoint. */
static void
trial_of_a_crashing_part_is_a_single_call(void)
{
	traffic_t *t = traffic_new(ENDPOINTS);
	ms_t from, end;

	have_part_blamed(t);
	from = clock_now(&machine_clock);
	end = from + TRIAL_MS;
	while (clock_now(&machine_clock) < end) {
		make_call(t, true);
		fixture_run(t->st, TRIAL_CALL_GAP_MS / DAEMONS);
	}
	g_assert_cmpint(crashing_arrivals(t->st, from), ==, 1);
	traffic_free(t);
}

#define T(name) g_test_add_func("/blame/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(crashing_part_is_refused_and_sound_calls_go_on);
	T(unrelated_crashes_blame_nothing);
	T(blame_is_known_after_a_restart);
	T(blame_outlives_all_instances);
	T(blamed_part_is_tried_again);
	T(trial_of_a_crashing_part_is_a_single_call);
	return g_test_run();
}
