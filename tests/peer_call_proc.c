/*
 * Calls that an instance without a way to the endpoints hands to another one:
 * what reaches the endpoint and the caller.
 */
#include "tests/peer_site.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum {
	CANCEL_MS = 1000,
	UNREAD_MAX_KB = 8000, /* that a daemon may grow by for one call */
};

/* Guards against changing a call or its answer on the way. */
static void
call_and_answer_are_unchanged(void)
{
	peer_site_t t = peer_site_new(20);
	const executed_call_t *r;
	caller_t *c = caller_expect(t.st, 200, "POST", "/once/a?b=c", "same",
	    "Authorization: Bearer x\r\nX-Own: kept\r\nHold: evil\r\n"
	    "Length-Hint: 12\r\nDeadline-Remaining: 1900\r\n");

	r = run_of(t.st, "same");
	g_assert_nonnull(r);
	g_assert_true(g_str_has_prefix(r->headers, "/once/a?b=c\n"));
	g_assert_nonnull(strstr(r->headers, "Authorization: Bearer x"));
	g_assert_nonnull(strstr(r->headers, "X-Own: kept"));
	g_assert_nonnull(strstr(r->headers, "Length-Hint: 12"));
	g_assert_nonnull(strstr(r->headers, "Host: h.example"));
	g_assert_nonnull(strstr(r->headers, "Expect-Instance: ep-"));
	g_assert_null(strstr(r->headers, "evil"));
	g_assert_null(strstr(r->headers, "Ebonypitch"));
	g_assert_cmpstr(r->body, ==, "body");
	g_assert_cmpint(r->time_left, <=, 1900);
	g_assert_cmpint(r->time_left, >, 1000);
	g_assert_nonnull(strstr(c->headers, "Server-Signature: s"));
	g_assert_nonnull(strstr(c->headers, "Request-Id: same"));
	g_assert_null(strstr(c->headers, "Ebonypitch"));
	caller_free(c);
	peer_site_free(&t);
}

/* Guards against giving the caller's time again to the next instance. */
static void
time_goes_on_from_the_first_instance(void)
{
	fake_endpoint_opts_t llm = { .model = "m1", .adapter_slots = 4 };
	peer_site_t t = peer_site_uncut(20, &llm);
	caller_t *c;

	/* The first connection isn't made in 400 ms. */
	links_set(t.links, 0, LINK_HANGING);
	c = caller_expect(t.st, 200, "POST", "/once/a", "time", peer_brief);
	g_assert_cmpint(run_of(t.st, "time")->time_left, <=, 1900 - 350);
	caller_free(c);
	peer_site_free(&t);
}

/* Guards against believing a caller that its call was handed over. */
static void
forged_field_is_ignored(void)
{
	peer_site_t t = peer_site_new(20);
	const executed_call_t *r;
	char id[16];
	int i;

	for (i = 0; i < 2; i++) {
		caller_t *c;

		snprintf(id, sizeof(id), "forged%d", i);
		c = caller_call(t.st, i, "GET", "/safe/a", id,
		    "Ebonypitch-Call: elapsed=100000 sends=9 "
		    "tried=ep-0,ep-1\r\n"
		    "Deadline-Remaining: 1900\r\n");
		g_assert_true(caller_wait(c, PEER_ANSWER_MS));
		g_assert_cmpint(c->status, ==, 200);
		caller_free(c);
		r = run_of(t.st, id);
		g_assert_nonnull(r);
		g_assert_null(strstr(r->headers, "Ebonypitch"));
	}
	peer_site_free(&t);
}

/* Guards against taking calls on the internal port from anybody. */
static void
internal_port_is_for_instances(void)
{
	peer_site_t t = peer_site_new(20);
	char addr[ADDR_MAX];
	client_request_t *c;

	snprintf(addr, sizeof(addr), "%.*s:%d",
	    (int)strcspn(t.st->caller[1], ":"), t.st->caller[1],
	    t.st->peer_port);
	c = client_request_open(&t.st->loop, addr,
	    "GET /safe/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: "
	    "intruder\r\n"
	    "Ebonypitch-Call: elapsed=0 sends=0\r\n\r\n",
	    NULL, t.st);
	g_assert_nonnull(c);
	fixture_run(t.st, 500);
	g_assert_true(c->closed);
	g_assert_false(c->done);
	g_assert_null(run_of(t.st, "intruder"));
	client_request_free(c);
	peer_site_free(&t);
}

static bool
is_cancelled(void *arg)
{
	const executed_call_t *r = run_of(arg, "left");

	return r != NULL && r->cancelled;
}

/* Guards against runs for callers that have left. */
static void
caller_that_leaves_ends_its_run(void)
{
	peer_site_t t = peer_site_new(20);
	caller_t *c;
	int i;

	for (i = 0; i < PEER_APPS; i++)
		fake_endpoint_set_fault(t.st->endpoint[i], ENDPOINT_SILENT);
	c = caller_call(t.st, 0, "POST", "/once/a", "left", peer_brief);
	g_assert_true(
	    fixture_run_until(t.st, left_has_run, t.st, PEER_ANSWER_MS));
	caller_close(c);
	g_assert_true(fixture_run_until(t.st, is_cancelled, t.st, CANCEL_MS));
	caller_free(c);
	peer_site_free(&t);
}

/* Guards against an answer that is collected on the way. */
static void
events_pass_as_they_arrive(void)
{
	peer_site_t t = peer_site_new(20);
	caller_t *c =
	    caller_call(t.st, 0, "POST", "/gen/a", "events", peer_model);

	g_assert_true(caller_wait(c, PEER_ANSWER_MS));
	g_assert_cmpint(c->status, ==, 200);
	assert_all_events(c);
	g_assert_cmpint(c->ended_at - c->first_byte_at, >,
	    PEER_EVENTS * PEER_EVENT_GAP_MS / 2);
	caller_free(c);
	peer_site_free(&t);
}

/* Guards against a stream that can be taken up only where it began. */
static void
stream_is_taken_up_at_another_instance(void)
{
	peer_site_t t = peer_site_new(20);
	caller_t *c, *rest;
	char *body, *at, headers[256];
	int i, last = 0;

	i = send_through(t.st, "POST", "/gen/a", "first", peer_model, &c);
	body = client_request_body(c);
	for (at = body; (at = strstr(at, "id: ")) != NULL; at++)
		last = atoi(at + 4);
	g_free(body);
	g_assert_cmpint(last, >, 0);
	g_assert_cmpint(last, <, PEER_EVENTS);
	caller_close(c);
	snprintf(headers, sizeof(headers),
	    "%sResumes: first\r\nLast-Event-Id: %d\r\n", peer_model, last);
	/* At the one that it didn't go through, and at the one that is cut. */
	for (i = 3 - i; i >= 0; i -= i == 0 ? 1 : i) {
		rest = caller_call(t.st, i, "POST", "/gen/a",
		    i == 0 ? "third" : "second", headers);
		g_assert_true(caller_wait(rest, PEER_ANSWER_MS));
		g_assert_cmpint(rest->status, ==, 200);
		body = client_request_body(rest);
		snprintf(headers + 200, 40, "id: %d\n", last + 1);
		g_assert_true(g_str_has_prefix(body, headers + 200));
		snprintf(headers + 200, 40, "id: %d\n", PEER_EVENTS);
		g_assert_nonnull(strstr(body, headers + 200));
		g_free(body);
		caller_free(rest);
	}
	caller_free(c);
	peer_site_free(&t);
}

static long
resident_kb(const proc_t *p)
{
	char *path = g_strdup_printf("/proc/%d/statm", (int)p->pid), *text;
	long pages = 0;

	if (g_file_get_contents(path, &text, NULL, NULL)) {
		pages = strtol(strchr(text, ' ') + 1, NULL, 10);
		g_free(text);
	}
	g_free(path);
	return pages * (sysconf(_SC_PAGESIZE) / 1024);
}

/* Guards against holding what a caller doesn't read, at either instance. */
static void
caller_that_does_not_read_slows_the_endpoint(void)
{
	fake_endpoint_opts_t llm = { .model = "m1",
		.events = 300,
		.event_gap = 5,
		.event_bytes = 60000,
		.adapter_slots = 4 };
	peer_site_t t = peer_site_with(20, &llm);
	long before[PEER_DAEMONS], most = 0;
	caller_t *c;
	int i;

	for (i = 0; i < PEER_DAEMONS; i++)
		before[i] = resident_kb(t.st->daemon[i]);
	c = caller_call(t.st, 0, "POST", "/gen/a", "slow", peer_model);
	http_conn_pause(c->http, true);
	fixture_run(t.st, 3000);
	for (i = 0; i < PEER_DAEMONS; i++) {
		long grown = resident_kb(t.st->daemon[i]) - before[i];

		g_test_message("daemon %d: %ld kB more", i, grown);
		if (grown > most)
			most = grown;
	}
	g_assert_cmpint(most, <, UNREAD_MAX_KB);
	caller_close(c);
	caller_free(c);
	peer_site_free(&t);
}

/* Guards against an instance that gets all calls of those that are cut. */
static void
calls_are_spread(void)
{
	peer_site_t t = peer_site_new(100);
	int64_t before[PEER_DAEMONS];
	caller_t *c[60];
	char id[16];
	int i;

	for (i = 1; i < PEER_DAEMONS; i++)
		before[i] = taken_by(t.st, i);
	for (i = 0; i < 60; i++) {
		snprintf(id, sizeof(id), "spread%d", i);
		c[i] = caller_call(t.st, 0, "GET", "/safe/a", id, peer_brief);
		fixture_run(t.st, 15);
	}
	for (i = 0; i < 60; i++) {
		g_assert_true(caller_wait(c[i], PEER_ANSWER_MS));
		g_assert_cmpint(c[i]->status, ==, 200);
		caller_free(c[i]);
	}
	for (i = 1; i < PEER_DAEMONS; i++)
		g_assert_cmpint(taken_by(t.st, i) - before[i], >=, 20);
	peer_site_free(&t);
}

/* Guards against forgetting what an answer said that another one passed on. */
static void
leaving_that_was_passed_on_binds(void)
{
	peer_site_t t = peer_site_new(20);
	ms_t from;
	int i;

	fake_endpoint_set_headers(t.st->endpoint[0], "Server-Leaving: 1\r\n");
	for (i = 0; i < 12; i++) {
		char id[16];
		caller_t *c;

		snprintf(id, sizeof(id), "leave%d", i);
		c = caller_call(t.st, 0, "GET", "/safe/a", id, peer_brief);
		g_assert_true(caller_wait(c, PEER_ANSWER_MS));
		g_assert_cmpint(c->status, ==, 200);
		caller_free(c);
	}
	links_set(t.links, 0, LINK_OPEN);
	fixture_run(t.st, 1500);
	from = clock_now(&machine_clock);
	for (i = 0; i < 12; i++) {
		char id[16];

		snprintf(id, sizeof(id), "after%d", i);
		caller_free(
		    caller_expect(t.st, 200, "GET", "/safe/a", id, peer_brief));
	}
	g_assert_cmpint(arrivals_since(t.st, 0, from), ==, 0);
	peer_site_free(&t);
}

/* Guards against more attempts than the route allows, counted together. */
static void
attempts_are_counted_once(void)
{
	peer_site_t t = peer_site_new(20);
	int i, n = 0;
	caller_t *c;
	ms_t from = clock_now(&machine_clock);

	for (i = 0; i < PEER_APPS; i++)
		fake_endpoint_set_fault(t.st->endpoint[i], ENDPOINT_RESET);
	c = caller_call(t.st, 0, "GET", "/safe/a", "tries", peer_brief);
	g_assert_true(caller_wait(c, PEER_ANSWER_MS));
	g_assert_cmpint(c->status, ==, 502);
	for (i = 0; i < PEER_APPS; i++)
		n += arrivals_since(t.st, i, from);
	g_assert_cmpint(n, <=, 2); /* max_attempts */
	caller_free(c);
	peer_site_free(&t);
}

/* Guards against forgetting the attempts of the first instance. */
static void
attempts_before_count(void)
{
	fake_endpoint_opts_t llm = { .model = "m1", .adapter_slots = 4 };
	peer_site_t t = peer_site_uncut(20, &llm);
	caller_t *c;
	int i, n = 0;

	for (i = 0; i < PEER_APPS; i++)
		fake_endpoint_set_fault(t.st->endpoint[i], ENDPOINT_SILENT);
	c = caller_call(t.st, 0, "GET", "/safe/a", "left", peer_brief);
	g_assert_true(
	    fixture_run_until(t.st, left_has_run, t.st, PEER_ANSWER_MS));
	for (i = 0; i < PEER_APPS; i++)
		fake_endpoint_set_fault(t.st->endpoint[i], ENDPOINT_RESET);
	links_set(t.links, 0, LINK_RESET);
	g_assert_true(caller_wait(c, PEER_ANSWER_MS));
	for (i = 0; i < PEER_APPS; i++)
		n += arrivals_since(t.st, i, 0);
	g_assert_cmpint(n, ==, 2); /* max_attempts */
	caller_free(c);
	peer_site_free(&t);
}

/* Guards against refusing without the time after which to retry. */
static void
refusal_of_the_other_instance_is_told(void)
{
	peer_site_t t = peer_site_new(20);
	caller_t *c;
	int i;

	for (i = 0; i < PEER_APPS; i++) {
		fake_endpoint_set_fault(t.st->endpoint[i], ENDPOINT_NOT_RUN);
		fake_endpoint_set_headers(
		    t.st->endpoint[i], "Retry-After: 4\r\n");
	}
	for (i = 0; i < 8; i++) {
		char id[16];

		snprintf(id, sizeof(id), "closed%d", i);
		c = caller_call(t.st, 0, "POST", "/once/a", id, peer_brief);
		g_assert_true(caller_wait(c, PEER_ANSWER_MS));
		g_assert_cmpint(c->status, ==, 503);
		g_assert_null(run_of(t.st, id));
		if (i == 7) {
			char *at = strstr(c->headers, "Retry-After: ");

			g_assert_nonnull(at);
			g_assert_cmpfloat(
			    g_ascii_strtod(at + strlen("Retry-After: "), NULL),
			    >, 2);
		}
		caller_free(c);
	}
	peer_site_free(&t);
}

/*
 * Guards against acting on an older configuration than the instance that the
 * caller has called.
 */
static void
older_configuration_is_not_used(void)
{
	peer_site_t t = peer_site_new(20);
	fake_endpoint_opts_t app = { .plain_ms = 20 };
	int i, deep = fixture_add_endpoint(t.st, &app, "app2");
	caller_t *c;

	fixture_run(t.st, 500);
	for (i = 1; i < PEER_DAEMONS; i++)
		fake_store_silence_view(t.st->store, t.st->view_addr[i], true);
	fixture_put_config(t.st,
	    ",{\"name\":\"deep\",\"host\":\"h.example\",\"path_prefix\":"
	    "\"/safe/deep/\",\"kind\":\"safe\",\"timeout_ms\":2000,"
	    "\"target_latency_ms\":300,\"priority\":2,\"service\":\"app2\","
	    "\"max_attempts\":2}");
	fixture_run(t.st, 300);
	c = caller_call(t.st, 0, "GET", "/safe/deep/a", "deep", peer_brief);
	g_assert_true(caller_wait(c, PEER_ANSWER_MS));
	g_assert_cmpint(c->status, ==, 503);
	g_assert_null(run_of(t.st, "deep"));
	caller_free(c);
	for (i = 1; i < PEER_DAEMONS; i++)
		fake_store_silence_view(t.st->store, t.st->view_addr[i], false);
	fixture_run(t.st, 4000);
	c = caller_call(t.st, 0, "GET", "/safe/deep/a", "deeper", peer_brief);
	g_assert_true(caller_wait(c, PEER_ANSWER_MS));
	g_assert_cmpint(c->status, ==, 200);
	g_assert_cmpint(
	    (int)fake_endpoint_executed(t.st->endpoint[deep])->len, ==, 1);
	caller_free(c);
	peer_site_free(&t);
}

/* Guards against going the long way when the short one is back. */
static void
calls_go_directly_again(void)
{
	peer_site_t t = peer_site_new(20);
	int64_t before;
	int i;

	links_set(t.links, 0, LINK_OPEN);
	fixture_run(t.st, 1500);
	before = fixture_counter(t.st, 0, "ebonypitch_calls_handed_over_total");
	for (i = 0; i < 5; i++)
		caller_free(caller_expect(
		    t.st, 200, "GET", "/safe/a", "direct", peer_brief));
	g_assert_cmpint(
	    fixture_counter(t.st, 0, "ebonypitch_calls_handed_over_total"), ==,
	    before);
	peer_site_free(&t);
}

#define T(name) g_test_add_func("/peer_call/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(call_and_answer_are_unchanged);
	T(time_goes_on_from_the_first_instance);
	T(forged_field_is_ignored);
	T(internal_port_is_for_instances);
	T(caller_that_leaves_ends_its_run);
	T(events_pass_as_they_arrive);
	T(stream_is_taken_up_at_another_instance);
	T(caller_that_does_not_read_slows_the_endpoint);
	T(calls_are_spread);
	T(leaving_that_was_passed_on_binds);
	T(attempts_are_counted_once);
	T(attempts_before_count);
	T(refusal_of_the_other_instance_is_told);
	T(older_configuration_is_not_used);
	T(calls_go_directly_again);
	return g_test_run();
}
