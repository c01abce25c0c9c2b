#include "policy/policy.h"

#include <string.h>
#include <glib.h>

enum {
	SLOTS = 2,
	PROMISE = 2000, /* ms */
};

static admit_t *
shard(int queue_max)
{
	admit_opts_t o = { queue_max, 60000, 10, 7 };

	return admit_new(&o);
}

static void
report(admit_t *a, const char *id, const char *item, int in_flight, ms_t now)
{
	admit_resident_t held = { .version = 1 };
	admit_report_t r = { .slots = SLOTS,
		.in_flight = in_flight,
		.taken_at = now,
		.resident = &held,
		.nresident = 1 };

	str_copy(held.item, ID_MAX, item);
	str_copy(r.worker, ID_MAX, id);
	admit_report(a, &r, now);
}

static void
put(admit_t *a, uint64_t tag, const char *item, const char *caller, ms_t now)
{
	admit_ask_t q = { .tag = tag, .rank = 1, .deadline = now + PROMISE };

	str_copy(q.item, ID_MAX, item);
	str_copy(q.caller, ID_MAX, caller);
	admit_put(a, &q, now);
}

static void
grants_are_exact_and_the_rest_waits(void)
{
	admit_t *a = shard(8);
	admit_verdict_t v, first;
	int i;

	report(a, "w1", "m", 0, 0);
	for (i = 0; i < 3; i++)
		put(a, i, "m", "c", 10);
	g_assert_true(admit_next(a, &first, 10));
	g_assert_cmpint(first.outcome, ==, SLOT_GRANTED);
	g_assert_cmpstr(first.worker, ==, "w1");
	g_assert_cmpuint(first.version, ==, 1);
	g_assert_true(admit_next(a, &v, 10));
	g_assert_cmpuint(v.tag, ==, 1);
	g_assert_false(admit_next(a, &v, 10));
	g_assert_cmpint(admit_waiting(a), ==, 1);
	admit_release(a, first.slot, CALL_DONE, 50, 10, 200);
	g_assert_true(admit_next(a, &v, 200));
	g_assert_cmpuint(v.tag, ==, 2);
	g_assert_cmpint(v.outcome, ==, SLOT_GRANTED);
	/* a second release of the same slot gives nothing */
	admit_release(a, first.slot, CALL_DONE, 50, 10, 210);
	g_assert_cmpint(admit_free_slots(a, "w1"), ==, 0);
	admit_free(a);
}

static void
no_copy_is_said_at_once(void)
{
	admit_t *a = shard(8);
	admit_verdict_t v;

	report(a, "w1", "m", 0, 0);
	put(a, 1, "other", "c", 10);
	g_assert_true(admit_next(a, &v, 10));
	g_assert_cmpint(v.outcome, ==, SLOT_NO_COPY);
	admit_free(a);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/admit/exact", grants_are_exact_and_the_rest_waits);
	g_test_add_func("/admit/no-copy", no_copy_is_said_at_once);
	return g_test_run();
}
