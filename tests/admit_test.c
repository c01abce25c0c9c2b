/*
 * Admission in one shard: which requests for a slot are granted, queued or
 * refused, and on which worker.
 */
#include "policy/policy.h"

#include <malloc.h>
#include <string.h>
#include <glib.h>

enum {
	SLOTS = 2,
	TARGET_LATENCY_MS = 2000,
};

/* Grants expire after 60 s; retries may be 10 % of the successful calls. */
static admit_t *
new_shard(int queue_max)
{
	admit_opts_t o = { queue_max, 60000, 10, 7 };

	return admit_new(&o);
}

static void
send_report(
    admit_t *a, const char *id, const char *item, int in_flight, ms_t now)
{
	admit_resident_t held = { .version = 1 };
	admit_report_t r = { .slots = SLOTS,
		.in_flight = in_flight,
		.taken_at = now,
		.resident = &held,
		.nresident = 1 };

	str_set(held.item, ID_MAX, item);
	str_set(r.worker, ID_MAX, id);
	admit_report(a, &r, now);
}

static void
put(admit_t *a, uint64_t tag, const char *item, const char *caller, ms_t now)
{
	admit_request_t q = {
		.tag = tag, .priority = 1, .deadline = now + TARGET_LATENCY_MS
	};

	str_set(q.item, ID_MAX, item);
	str_set(q.caller, ID_MAX, caller);
	admit_put(a, &q, now);
}

static void
grants_match_slots_and_others_wait(void)
{
	admit_t *a = new_shard(8);
	admit_verdict_t v, first;
	int i;

	send_report(a, "w1", "m", 0, 0);
	for (i = 0; i < 3; i++)
		put(a, i, "m", "c", 10);
	g_assert_true(admit_next(a, &first, 10));
	g_assert_cmpint(first.outcome, ==, SLOT_GRANTED);
	g_assert_cmpstr(first.worker, ==, "w1");
	g_assert_cmpuint(first.version, ==, 1);
	g_assert_true(admit_next(a, &v, 10));
	g_assert_cmpuint(v.tag, ==, 1);
	g_assert_false(admit_next(a, &v, 10));
	g_assert_cmpint(admit_queue_length(a), ==, 1);
	admit_release(a, first.slot, CALL_DONE, 50, 10, 200);
	g_assert_true(admit_next(a, &v, 200));
	g_assert_cmpuint(v.tag, ==, 2);
	g_assert_cmpint(v.outcome, ==, SLOT_GRANTED);
	/* A second release of the same slot has no effect. */
	admit_release(a, first.slot, CALL_DONE, 50, 10, 210);
	g_assert_cmpint(admit_free_slots(a, "w1"), ==, 0);
	admit_free(a);
}

static void
no_copy_is_refused_at_once(void)
{
	admit_t *a = new_shard(8);
	admit_verdict_t v;

	send_report(a, "w1", "m", 0, 0);
	put(a, 1, "other", "c", 10);
	g_assert_true(admit_next(a, &v, 10));
	g_assert_cmpint(v.outcome, ==, SLOT_NO_COPY);
	admit_free(a);
}

static admit_verdict_t
next(admit_t *a, ms_t now)
{
	admit_verdict_t v;

	g_assert_true(admit_next(a, &v, now));
	return v;
}

/* Request a slot and get it. */
static handle_t
take_slot(admit_t *a, uint64_t tag, ms_t now)
{
	admit_verdict_t v;

	put(a, tag, "m", "c", now);
	v = next(a, now);
	g_assert_cmpint(v.outcome, ==, SLOT_GRANTED);
	return v.slot;
}

static size_t
heap_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return m.uordblks + m.hblkhd;
}

/*
 * A node that sees no other members brokers every shard of the design
 * target's fleet; their state must fit in the daemon's memory.
 */
static void
lone_broker_fits_in_memory(void)
{
	enum {
		SHARDS = 1250,
		WORKERS = 8,
		HEAP_MAX = 64 << 20 /* bytes */
	};
	static admit_t *a[SHARDS];
	size_t before = heap_bytes();
	char id[ID_MAX];
	int i, w;

	for (i = 0; i < SHARDS; i++) {
		a[i] = new_shard(512);
		for (w = 0; w < WORKERS; w++) {
			g_snprintf(id, ID_MAX, "w%d", w);
			send_report(a[i], id, "m", 0, 0);
		}
	}
	g_assert_cmpuint(heap_bytes() - before, <, HEAP_MAX);
	for (i = 0; i < SHARDS; i++)
		admit_free(a[i]);
}

/* A request that can't be met is refused at once, with a Retry-After. */
static void
late_requests_are_refused_at_once(void)
{
	admit_t *a = new_shard(8);
	admit_request_t q = { .tag = 9, .item = "m", .deadline = 300 };
	admit_verdict_t v;

	send_report(a, "w1", "m", 0, 0);
	take_slot(a, 1, 0);
	take_slot(a, 2, 0);
	admit_put(a, &q, 0);
	v = next(a, 0);
	g_assert_cmpuint(v.tag, ==, 9);
	g_assert_cmpint(v.outcome, ==, SLOT_LATE);
	g_assert_cmpint(v.retry_after, >, 0);
	/* With a free slot it is granted. */
	send_report(a, "w2", "m", 0, 0);
	admit_put(a, &q, 0);
	g_assert_cmpint(next(a, 0).outcome, ==, SLOT_GRANTED);
	admit_free(a);
}

/* A queued request is refused when its deadline passes, not later. */
static void
waiting_ends_at_the_deadline(void)
{
	admit_t *a = new_shard(8);
	admit_verdict_t v;
	ms_t due;

	send_report(a, "w1", "m", 0, 0);
	take_slot(a, 1, 0);
	take_slot(a, 2, 0);
	put(a, 3, "m", "c", 0);
	g_assert_false(admit_next(a, &v, 0));
	due = admit_due(a, 0);
	while (due < TARGET_LATENCY_MS) {
		g_assert_false(admit_next(a, &v, due));
		due = admit_due(a, due);
	}
	g_assert_cmpint(due, ==, TARGET_LATENCY_MS);
	v = next(a, due);
	g_assert_cmpint(v.outcome, ==, SLOT_LATE);
	admit_free(a);
}

static void
full_queue_keeps_the_more_urgent(void)
{
	admit_t *a = new_shard(1);
	admit_request_t q = { .item = "m", .deadline = TARGET_LATENCY_MS };
	admit_verdict_t v;

	send_report(a, "w1", "m", 0, 0);
	take_slot(a, 1, 0);
	take_slot(a, 2, 0);
	q.tag = 3;
	q.priority = 2;
	admit_put(a, &q, 0);
	q.tag = 4;
	q.priority = 0;
	admit_put(a, &q, 0);
	v = next(a, 0);
	g_assert_cmpuint(v.tag, ==, 3);
	g_assert_cmpint(v.outcome, ==, SLOT_FULL);
	g_assert_false(admit_next(a, &v, 0));
	admit_cancel(a, 4, 0);
	g_assert_cmpint(admit_queue_length(a), ==, 0);
	admit_free(a);
}

/*
 * Requests go by priority; within one priority, a caller's flood doesn't delay
 * the others.
 */
static void
queue_is_fair(void)
{
	admit_t *a = new_shard(64);
	admit_verdict_t v;
	handle_t slot[SLOTS];
	admit_request_t urgent = { .tag = 90, .item = "m", .deadline = 60000 };
	admit_request_t q = { .item = "m", .priority = 1, .deadline = 50000 };
	uint64_t flood = 0;
	ms_t now = 10;
	int i, other = -1;

	send_report(a, "w1", "m", 0, 0);
	slot[0] = take_slot(a, 1, 0);
	slot[1] = take_slot(a, 2, 0);
	str_set(q.caller, ID_MAX, "flood");
	for (i = 0; i < 20; i++) {
		q.tag = i;
		admit_put(a, &q, now);
	}
	q.tag = 50;
	str_set(q.caller, ID_MAX, "other");
	admit_put(a, &q, now);
	admit_put(a, &urgent, now);
	for (i = 0; i < 10; i++) {
		now += 20;
		admit_release(a, slot[i % SLOTS], CALL_DONE, 5, 1, now);
		v = next(a, now);
		g_assert_cmpint(v.outcome, ==, SLOT_GRANTED);
		if (i == 0)
			g_assert_cmpuint(v.tag, ==, 90);
		else if (v.tag == 50)
			other = i;
		else
			g_assert_cmpuint(v.tag, ==, flood++);
		slot[i % SLOTS] = v.slot;
	}
	/* After at most one round of the flood. */
	g_assert_cmpint(other, >, 0);
	g_assert_cmpint(other, <=, 5);
	admit_free(a);
}

/* Many requests for a model don't delay another model on the same workers. */
static void
models_share_the_workers(void)
{
	admit_t *a = new_shard(128);
	admit_resident_t held[] = { { "m", 1 }, { "n", 1 } };
	admit_report_t r = { "w1", SLOTS, 0, 0, false, held, 2 };
	admit_request_t q = { .item = "m", .deadline = 900000 };
	handle_t slot;
	admit_verdict_t v;
	int i;

	admit_report(a, &r, 0);
	take_slot(a, 1000, 0);
	slot = take_slot(a, 1001, 0);
	for (i = 0; i < 100; i++) {
		q.tag = i;
		g_snprintf(q.caller, ID_MAX, "c%d", i);
		admit_put(a, &q, 0);
	}
	q.tag = 500;
	str_set(q.item, ID_MAX, "n");
	str_set(q.caller, ID_MAX, "late");
	admit_put(a, &q, 0);
	for (i = 1; i < 40; i++) {
		admit_release(a, slot, CALL_DONE, 5, 1, i);
		v = next(a, i);
		if (v.tag == 500)
			break;
		slot = v.slot;
	}
	g_assert_cmpint(i, <=, 20);
	admit_free(a);
}

static void
grants_expire(void)
{
	admit_t *a = new_shard(8);
	handle_t slot;

	send_report(a, "w1", "m", 0, 0);
	slot = take_slot(a, 1, 0);
	g_assert_cmpint(admit_free_slots(a, "w1"), ==, 1);
	g_assert_cmpint(admit_due(a, 59999), ==, 60000);
	put(a, 2, "none", "c", 60000);
	next(a, 60000);
	g_assert_cmpint(admit_free_slots(a, "w1"), ==, 2);
	admit_release(a, slot, CALL_DONE, 5, 1, 60001);
	g_assert_cmpint(admit_free_slots(a, "w1"), ==, 2);
	admit_free(a);
}

/* Reports show an earlier broker's calls, and releases that were lost. */
static void
reports_correct_the_counts(void)
{
	admit_t *a = new_shard(8);
	ms_t now;

	send_report(a, "w1", "m", 2, 0);
	g_assert_cmpint(admit_free_slots(a, "w1"), ==, 0);
	send_report(a, "w1", "m", 1, 100);
	g_assert_cmpint(admit_free_slots(a, "w1"), ==, 1);
	take_slot(a, 1, 200);
	/* Of the two calls, one is this broker's. */
	send_report(a, "w1", "m", 2, 300);
	g_assert_cmpint(admit_free_slots(a, "w1"), ==, 0);
	/* Taken before the grant, so it counts only the other broker's. */
	send_report(a, "w1", "m", 1, 150);
	g_assert_cmpint(admit_free_slots(a, "w1"), ==, 0);
	/* Both calls have ended, but the grant was never released. */
	send_report(a, "w1", "m", 0, 400);
	g_assert_cmpint(admit_free_slots(a, "w1"), ==, 1);
	for (now = 2000; now < 3000; now += 250)
		send_report(a, "w1", "m", 0, now);
	g_assert_cmpint(admit_free_slots(a, "w1"), ==, 2);
	admit_free(a);
}

static void
other_brokers_slot_is_ignored(void)
{
	admit_opts_t o = { 8, 60000, 10, 8 };
	admit_t *a = new_shard(8), *b = admit_new(&o);
	handle_t slot;

	send_report(a, "w1", "m", 0, 0);
	send_report(b, "w1", "m", 0, 0);
	slot = take_slot(a, 1, 0);
	take_slot(b, 1, 0);
	admit_release(b, slot, CALL_DONE, 5, 1, 10);
	g_assert_cmpint(admit_free_slots(b, "w1"), ==, 1);
	admit_free(a);
	admit_free(b);
}

/*
 * Run one call; on the faulty worker it ends with @p how and has its first
 * token after @p first ms. @return whether it ran there.
 */
static bool
call(admit_t *a, const char *faulty, call_outcome_t how, ms_t first, ms_t *now)
{
	admit_verdict_t v;
	bool is_faulty;

	send_report(a, "w1", "m", 0, *now);
	send_report(a, "w2", "m", 0, *now);
	send_report(a, "w3", "m", 0, *now);
	put(a, 1, "m", "c", *now);
	v = next(a, *now);
	g_assert_cmpint(v.outcome, ==, SLOT_GRANTED);
	is_faulty = strcmp(v.worker, faulty) == 0;
	*now += 10;
	admit_release(a, v.slot, is_faulty ? how : CALL_DONE,
	    is_faulty ? first : 50, 1, *now);
	return is_faulty;
}

static void
faulty_workers_are_ejected_and_readmitted(void)
{
	static const struct {
		call_outcome_t how;
		ms_t first;
	} rows[] = { { CALL_FAILED, -1 }, { CALL_UNKNOWN, -1 },
		{ CALL_DONE, 500 } };
	size_t i;
	int n, hits;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		admit_t *a = new_shard(8);
		ms_t now = 0;

		for (n = 0; n < 1000; n++)
			call(a, "w2", rows[i].how, rows[i].first, &now);
		g_assert_true(admit_ejected(a, "w2", now));
		for (hits = 0, n = 0; n < 100; n++)
			hits += call(a, "w2", rows[i].how, rows[i].first, &now);
		g_assert_cmpint(hits, <=, 2);
		/* It works again; a probe notices. */
		now += 60000;
		for (hits = 0, n = 0; n < 100; n++)
			hits += call(a, "w2", CALL_DONE, 50, &now);
		g_assert_false(admit_ejected(a, "w2", now));
		g_assert_cmpint(hits, >, 20);
		admit_free(a);
	}
}

static void
not_all_workers_are_ejected(void)
{
	admit_t *a = new_shard(8);
	admit_verdict_t v;
	ms_t now = 0;
	int n, out = 0;

	for (n = 0; n < 200; n++) {
		now += 10;
		send_report(a, "w1", "m", 0, now);
		send_report(a, "w2", "m", 0, now);
		put(a, n, "m", "c", now);
		v = next(a, now);
		g_assert_cmpint(v.outcome, ==, SLOT_GRANTED);
		admit_release(a, v.slot, CALL_FAILED, -1, 0, now + 5);
	}
	out += admit_ejected(a, "w1", now);
	out += admit_ejected(a, "w2", now);
	g_assert_cmpint(out, <=, 1);
	admit_free(a);
}

static void
prefix_and_avoided_worker_are_respected(void)
{
	admit_t *a = new_shard(8);
	admit_request_t q = { .item = "m", .deadline = 60000, .prefix = 77 };
	admit_verdict_t v;
	char first_worker[ID_MAX];
	int i;

	for (i = 0; i < 4; i++)
		send_report(a, (char[]){ 'w', '1' + i, 0 }, "m", 0, 0);
	admit_put(a, &q, 0);
	v = next(a, 0);
	str_set(first_worker, ID_MAX, v.worker);
	admit_release(a, v.slot, CALL_DONE, 50, 1, 10);
	for (i = 0; i < 20; i++) {
		admit_put(a, &q, 10);
		v = next(a, 10);
		g_assert_cmpstr(v.worker, ==, first_worker);
		admit_release(a, v.slot, CALL_DONE, 50, 1, 20);
	}
	str_set(q.avoid, ID_MAX, first_worker);
	admit_put(a, &q, 20);
	g_assert_cmpstr(next(a, 20).worker, !=, first_worker);
	for (i = 0; i < 4; i++)
		if (first_worker[1] != '1' + i)
			admit_remove_worker(a, (char[]){ 'w', '1' + i, 0 });
	/* The only worker left. */
	admit_put(a, &q, 30);
	g_assert_cmpstr(next(a, 30).worker, ==, first_worker);
	admit_free(a);
}

static void
retries_have_a_budget(void)
{
	admit_t *a = new_shard(8);
	admit_request_t q = { .item = "m", .deadline = 60000, .retry = true };
	admit_verdict_t v;
	int i, granted = 0;

	send_report(a, "w1", "m", 0, 0);
	for (i = 0; i < 100; i++) {
		admit_put(a, &q, 0);
		v = next(a, 0);
		granted += v.outcome == SLOT_GRANTED;
		if (v.outcome == SLOT_GRANTED)
			admit_release(a, v.slot, CALL_FAILED, -1, 0, 0);
		else
			g_assert_cmpint(v.outcome, ==, SLOT_RETRY_BUDGET);
	}
	g_assert_cmpint(granted, <=, 10);
	admit_free(a);
}

/* Requests are refused once no worker has the model: by unload or departure. */
static void
requests_are_refused_when_no_copy_is_left(void)
{
	admit_t *a = new_shard(8);
	int i;

	for (i = 0; i < 2; i++) {
		send_report(a, "w1", "m", 0, 0);
		send_report(a, "w2", "other", 0, 0);
		take_slot(a, 1, 0);
		take_slot(a, 2, 0);
		put(a, 3, "m", "c", 0);
		if (i == 0)
			send_report(a, "w1", "other", 2, 1);
		else
			admit_remove_worker(a, "w1");
		g_assert_cmpint(next(a, 1).outcome, ==, SLOT_NO_COPY);
		admit_remove_worker(a, "w1");
	}
	admit_free(a);
}

/*
 * Twice the load that four slots can serve for 30 s, then half of it: the
 * target is that 95 % of the slots are used by calls in time, and that 5 s
 * after the overload every call is granted.
 */
static void
overload_is_served_and_ends(void)
{
	enum {
		HOLD = 1000, /* ms that a call takes */
		OVER = 30000,
		END = 45000
	};
	admit_t *a = new_shard(64);
	handle_t ends[END + HOLD + 1][SLOTS * 2] = { 0 };
	int requested = 0, met = 0, after = 0, after_met = 0, gap, i;
	ms_t requested_at[1024], now;
	admit_verdict_t v;

	for (now = 0; now < END; now++) {
		if (now % 250 == 0) {
			send_report(a, "w1", "m",
			    admit_queue_length(a) > 0 ? 2 : 0, now - 100);
			send_report(a, "w2", "m",
			    admit_queue_length(a) > 0 ? 2 : 0, now - 100);
		}
		for (i = 0; i < SLOTS * 2 && ends[now][i] != 0; i++)
			admit_release(a, ends[now][i], CALL_DONE, 50, 1, now);
		gap = now < OVER ? HOLD / SLOTS / 4 : HOLD / SLOTS;
		if (now % gap == 0) {
			requested_at[requested] = now;
			after += now >= OVER + 5000;
			put(a, requested++, "m", "c", now);
		}
		while (admit_next(a, &v, now)) {
			if (v.outcome != SLOT_GRANTED)
				continue;
			g_assert_cmpint(now + 50 - requested_at[v.tag], <=,
			    TARGET_LATENCY_MS);
			met += now < OVER;
			after_met += requested_at[v.tag] >= OVER + 5000;
			for (i = 0; ends[now + HOLD][i] != 0; i++)
				;
			ends[now + HOLD][i] = v.slot;
		}
	}
	g_assert_cmpint(met, >=, OVER / HOLD * SLOTS * 2 * 95 / 100);
	g_assert_cmpint(after_met, ==, after);
	admit_free(a);
}

int
main(int argc, char **argv)
{
	static const struct {
		const char *name;
		void (*test)(void);
	} tests[] = {
		{ "/admit/grants-match-slots",
		    grants_match_slots_and_others_wait },
		{ "/admit/no-copy", no_copy_is_refused_at_once },
		{ "/admit/late", late_requests_are_refused_at_once },
		{ "/admit/deadline", waiting_ends_at_the_deadline },
		{ "/admit/full", full_queue_keeps_the_more_urgent },
		{ "/admit/fair", queue_is_fair },
		{ "/admit/models", models_share_the_workers },
		{ "/admit/expiry", grants_expire },
		{ "/admit/reports", reports_correct_the_counts },
		{ "/admit/other-brokers-slot", other_brokers_slot_is_ignored },
		{ "/admit/faulty-worker",
		    faulty_workers_are_ejected_and_readmitted },
		{ "/admit/not-all-ejected", not_all_workers_are_ejected },
		{ "/admit/prefix", prefix_and_avoided_worker_are_respected },
		{ "/admit/budget", retries_have_a_budget },
		{ "/admit/no-copy-left",
		    requests_are_refused_when_no_copy_is_left },
		{ "/admit/memory", lone_broker_fits_in_memory },
		{ "/admit/overload", overload_is_served_and_ends },
	};
	size_t i;

	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < G_N_ELEMENTS(tests); i++)
		g_test_add_func(tests[i].name, tests[i].test);
	return g_test_run();
}
