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
	T(call_with_nowhere_to_go_is_refused_at_once);
	T(malformed_retry_after_is_ignored);
	return g_test_run();
}
