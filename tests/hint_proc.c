/*
 * What endpoints say of themselves in answers to calls: that they leave, and
 * that they want nothing for a while.
 */
#include "tests/traffic.h"

#include <stdlib.h>
#include <string.h>

enum {
	DAEMONS = 3,
	ANSWER_MS = 3000,
	TOLD_MS = 700,	  /* by then all daemons know that an endpoint leaves */
	GRACE_MS = 500,	  /* after a Retry-After */
	FREED_MS = 23000, /* a removed endpoint is forgotten by then */
	GRACE_CALLS = 2,  /* that may come after it */
	REFUSAL_MS = 400,
	CROSSING = 8, /* calls that are under way together */
};

/* Guards against calls to an endpoint that has said that it leaves. */
static void
leaving_endpoint_gets_no_call(void)
{
	traffic_t *t = traffic_new(2, DAEMONS);
	ms_t said;

	traffic_run(t, 1000);
	fake_endpoint_set_headers(t->st->endpoint[0], "Server-Leaving: 1\r\n");
	said = clock_now(&machine_clock);
	traffic_run(t, 3000);
	g_assert_cmpint(arrivals(t->st, 0, said + TOLD_MS, INT64_MAX), ==, 0);
	g_assert_cmpint(count_unserved(t, 0), ==, 0);
	traffic_free(t);
}

/* Guards against daemons that learn it only from their own calls. */
static void
daemon_is_told_that_an_endpoint_leaves(void)
{
	traffic_t *t = traffic_new(1, DAEMONS);
	caller_t *c;

	fixture_run(t->st, 2000);
	fake_endpoint_set_headers(t->st->endpoint[0], "Server-Leaving: 1\r\n");
	c = caller_expect(
	    t->st, 200, "GET", "/safe/a", "r1", "Deadline-Remaining: 1900\r\n");
	caller_free(c);
	fixture_run(t->st, TOLD_MS);
	c = caller_call(
	    t->st, 1, "GET", "/safe/a", "r2", "Deadline-Remaining: 1900\r\n");
	g_assert_true(caller_wait(c, ANSWER_MS));
	g_assert_cmpint(c->status, ==, 503);
	caller_free(c);
	traffic_free(t);
}

/* Guards against holding it against the next process of the endpoint. */
static void
next_process_gets_calls(void)
{
	traffic_t *t = traffic_new(1, DAEMONS);
	guint from;

	fake_endpoint_set_headers(t->st->endpoint[0], "Server-Leaving: 1\r\n");
	traffic_run(t, 1000);
	fake_endpoint_set_headers(t->st->endpoint[0], NULL);
	fake_endpoint_restart(t->st->endpoint[0], "v1");
	fixture_put_entry(t->st, 0, "app", false);
	fixture_run(t->st, 1500);
	from = t->calls->len;
	traffic_run(t, 1000);
	g_assert_cmpint(count_unserved(t, from), ==, 0);
	traffic_free(t);
}

/* Guards against calls to an endpoint that wants none for a while. */
static void
retry_after_of_an_endpoint_is_kept(void)
{
	traffic_t *t = traffic_new(2, 1);
	ms_t said;

	fake_endpoint_set_fault(t->st->endpoint[0], ENDPOINT_NOT_RUN);
	fake_endpoint_set_headers(t->st->endpoint[0], "Retry-After: 3\r\n");
	said = clock_now(&machine_clock);
	traffic_run(t, 3000);
	g_assert_cmpint(arrivals(t->st, 0, said, INT64_MAX), >, 0);
	g_assert_cmpint(
	    arrivals(t->st, 0, said + GRACE_MS, said + 3000), <=, GRACE_CALLS);
	g_assert_cmpint(count_unserved(t, 0), ==, 0);
	fake_endpoint_set_fault(t->st->endpoint[0], ENDPOINT_OK);
	traffic_run(t, 3000);
	g_assert_cmpint(
	    arrivals(t->st, 0, said + 3500, INT64_MAX), >, GRACE_CALLS);
	traffic_free(t);
}

/* Guards against an older copy of the entry undoing what was said. */
static void
retry_after_outlives_an_entry_with_an_earlier_start(void)
{
	traffic_t *t = traffic_new(2, 1);
	int64_t born = fake_endpoint_born(t->st->endpoint[0]);
	ms_t said;

	fake_endpoint_set_fault(t->st->endpoint[0], ENDPOINT_NOT_RUN);
	fake_endpoint_set_headers(t->st->endpoint[0], "Retry-After: 4\r\n");
	traffic_run(t, GRACE_MS);
	g_assert_cmpint(arrivals(t->st, 0, 0, INT64_MAX), >, 0);
	said = clock_now(&machine_clock);
	fake_endpoint_set_headers(t->st->endpoint[0], NULL);
	fake_endpoint_set_born(t->st->endpoint[0], born - 5000);
	fixture_put_entry(t->st, 0, "app", false);
	traffic_run(t, 1000);
	fake_endpoint_set_born(t->st->endpoint[0], born);
	fixture_put_entry(t->st, 0, "app", false);
	traffic_run(t, 1000);
	g_assert_cmpint(arrivals(t->st, 0, said, INT64_MAX), <=, GRACE_CALLS);
	traffic_free(t);
}

/* Guards against forgetting it with a removed endpoint that comes back. */
static void
retry_after_outlives_an_entry_that_is_away(void)
{
	traffic_t *t = traffic_new(2, 1);
	ms_t said;

	fake_endpoint_set_fault(t->st->endpoint[0], ENDPOINT_NOT_RUN);
	fake_endpoint_set_headers(t->st->endpoint[0], "Retry-After: 40\r\n");
	traffic_run(t, GRACE_MS);
	g_assert_cmpint(arrivals(t->st, 0, 0, INT64_MAX), >, 0);
	said = clock_now(&machine_clock);
	fake_endpoint_set_headers(t->st->endpoint[0], NULL);
	fake_store_del(t->st->store, "servers", t->st->id[0]);
	fixture_run(t->st, FREED_MS);
	fixture_put_entry(t->st, 0, "app", false);
	traffic_run(t, 1500);
	g_assert_cmpint(arrivals(t->st, 0, said, INT64_MAX), <=, GRACE_CALLS);
	traffic_free(t);
}

/* Guards against an answer that names a shorter time and comes later. */
static void
shorter_time_does_not_end_a_longer_one(void)
{
	traffic_t *t = traffic_new(2, 1);
	caller_t *c[CROSSING];
	char id[16];
	ms_t said;
	int i;

	/* Of calls that are under way together, the first is told more. */
	fake_endpoint_set_fault(t->st->endpoint[0], ENDPOINT_NOT_RUN);
	fake_endpoint_set_fault(t->st->endpoint[1], ENDPOINT_NOT_RUN);
	for (i = 0; i < 2; i++) {
		fake_endpoint_set_headers_once(
		    t->st->endpoint[i], "Retry-After: 4\r\n");
		fake_endpoint_set_headers(
		    t->st->endpoint[i], "Retry-After: 1\r\n");
	}
	for (i = 0; i < CROSSING; i++) {
		snprintf(id, sizeof(id), "x%d", i);
		c[i] = caller_call(t->st, 0, "POST", "/once/a", id,
		    "Deadline-Remaining: 1900\r\n");
	}
	for (i = 0; i < CROSSING; i++) {
		caller_wait(c[i], ANSWER_MS);
		caller_free(c[i]);
	}
	said = clock_now(&machine_clock);
	for (i = 0; i < 2; i++)
		g_assert_cmpint(arrivals(t->st, i, 0, INT64_MAX), >, 1);
	traffic_run(t, 3400);
	for (i = 0; i < 2; i++)
		g_assert_cmpint(
		    arrivals(t->st, i, said + GRACE_MS, said + 3400), <=,
		    GRACE_CALLS);
	traffic_free(t);
}

/* Guards against reading it only in answers to the call that is under way. */
static void
retry_after_in_a_late_answer_is_kept(void)
{
	traffic_t *t = traffic_new(2, 1);
	ms_t said;

	traffic_run(t, 500);
	fake_endpoint_set_headers_once(
	    t->st->endpoint[0], "Retry-After: 4\r\n");
	fake_endpoint_set_fault(t->st->endpoint[0], ENDPOINT_FOREIGN_REFUSAL);
	traffic_run(t, 200);
	said = clock_now(&machine_clock);
	fake_endpoint_set_fault(t->st->endpoint[0], ENDPOINT_OK);
	traffic_run(t, 2500);
	g_assert_cmpint(
	    arrivals(t->st, 0, said + GRACE_MS, INT64_MAX), <=, GRACE_CALLS);
	traffic_free(t);
}

/*
 * Guards against the entry of the very process that said it undoing it, as the
 * entry is read only afterwards.
 */
static void
retry_after_outlives_an_entry_that_is_read_late(void)
{
	traffic_t *t = traffic_new(2, 1);
	ms_t said;

	traffic_run(t, 500);
	fake_endpoint_restart(t->st->endpoint[0], "v1");
	fixture_run(t->st, 1200);
	fake_endpoint_set_headers(t->st->endpoint[0], "Retry-After: 5\r\n");
	fake_endpoint_set_fault(t->st->endpoint[0], ENDPOINT_NOT_RUN);
	traffic_run(t, 700);
	said = clock_now(&machine_clock);
	g_assert_cmpint(arrivals(t->st, 0, said - 900, said), >, 0);
	fake_endpoint_set_headers(t->st->endpoint[0], NULL);
	fixture_put_entry(t->st, 0, "app", false);
	fixture_run(t->st, 300);
	traffic_run(t, 2500);
	g_assert_cmpint(arrivals(t->st, 0, said, INT64_MAX), <=, GRACE_CALLS);
	traffic_free(t);
}

/* Guards against keeping from a new process what the one before asked for. */
static void
retry_after_ends_with_its_process(void)
{
	traffic_t *t = traffic_new(1, 1);
	guint from;

	fake_endpoint_set_headers(t->st->endpoint[0], "Retry-After: 30\r\n");
	fake_endpoint_set_fault(t->st->endpoint[0], ENDPOINT_NOT_RUN);
	traffic_run(t, 300);
	fixture_run(t->st, 1200);
	fake_endpoint_set_fault(t->st->endpoint[0], ENDPOINT_OK);
	fake_endpoint_restart(t->st->endpoint[0], "v1");
	fixture_put_entry(t->st, 0, "app", false);
	fixture_run(t->st, 1000);
	from = t->calls->len;
	traffic_run(t, 500);
	g_assert_cmpint(count_unserved(t, from), ==, 0);
	traffic_free(t);
}

/* Guards against calls that wait for an endpoint that wants none for long. */
static void
call_with_nowhere_to_go_is_refused_at_once(void)
{
	traffic_t *t = traffic_new(1, 1);
	caller_t *c;
	char *at;

	fake_endpoint_set_fault(t->st->endpoint[0], ENDPOINT_NOT_RUN);
	fake_endpoint_set_headers(t->st->endpoint[0], "Retry-After: 4\r\n");
	traffic_run(t, 500);
	c = caller_expect(t->st, 503, "GET", "/safe/a", "late",
	    "Deadline-Remaining: 1900\r\n");
	g_assert_cmpint(c->ended_at - c->started_at, <, REFUSAL_MS);
	at = strstr(c->headers, "Retry-After: ");
	g_assert_nonnull(at);
	g_assert_cmpfloat(
	    g_ascii_strtod(at + strlen("Retry-After: "), NULL), >, 2);
	caller_free(c);
	traffic_free(t);
}

/* Guards against a value that isn't a time closing an endpoint. */
static void
malformed_retry_after_is_ignored(void)
{
	static const char *const lines[] = { "Retry-After: -5\r\n",
		"Retry-After: soon\r\n", "Retry-After: NaN\r\n",
		"Retry-After: 1e9\r\n" };
	traffic_t *t = traffic_new(1, 1);
	guint from;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(lines); i++) {
		fake_endpoint_set_fault(t->st->endpoint[0], ENDPOINT_NOT_RUN);
		fake_endpoint_set_headers(t->st->endpoint[0], lines[i]);
		traffic_run(t, 200);
		fake_endpoint_set_fault(t->st->endpoint[0], ENDPOINT_OK);
		fixture_run(t->st, 500);
		from = t->calls->len;
		traffic_run(t, 500);
		g_assert_cmpint(count_unserved(t, from), ==, 0);
	}
	traffic_free(t);
}

#define T(name) g_test_add_func("/hint/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(leaving_endpoint_gets_no_call);
	T(daemon_is_told_that_an_endpoint_leaves);
	T(next_process_gets_calls);
	T(retry_after_of_an_endpoint_is_kept);
	T(retry_after_outlives_an_entry_with_an_earlier_start);
	T(retry_after_outlives_an_entry_that_is_away);
	T(shorter_time_does_not_end_a_longer_one);
	T(retry_after_in_a_late_answer_is_kept);
	T(retry_after_outlives_an_entry_that_is_read_late);
	T(retry_after_ends_with_its_process);
	T(call_with_nowhere_to_go_is_refused_at_once);
	T(malformed_retry_after_is_ignored);
	return g_test_run();
}
