/*
 * What instances tell each other of a call that one hands to another: a daemon
 * that is cut from all endpoints, and instances that are played by the test.
 */
#include "standin/daemon_settings.h"
#include "standin/fake_instance.h"
#include "tests/links.h"

#include <stdlib.h>
#include <string.h>

enum {
	APPS = 2,
	FAKES = 2,
	KNOWN_MS = 1000,     /* by then the daemon knows the other instances */
	ALL_KNOWN_MS = 2500, /* the same of several daemons */
	ANSWER_MS = 4000,
};
static const char *const brief = "Deadline-Remaining: 1900\r\n";
static const char *const model =
    "Model: m1\r\nToken-Usage: 100,80\r\nDeadline-Remaining: 5000\r\n";
#define SERVED "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: s1\r\n"

typedef struct site {
	fixture_t *st;
	links_t *links;
	fake_instance_t *fake[FAKES];
	int nfake;
} site_t;

/* @param how the links of all daemons are set so before their first call */
static site_t
site_with(int ndaemon, int nfake, link_state_t how)
{
	fake_endpoint_opts_t app = { .plain_ms = 20 };
	fake_endpoint_opts_t llm = {
		.model = "m1", .events = 40, .event_gap = 30, .adapter_slots = 4
	};
	site_t t = { .st = fixture_new(), .nfake = nfake };
	char name[16], *ip[FAKE_INSTANCE_TELLS] = { 0 };
	int i;

	t.links = links_new(t.st);
	fixture_put_config(t.st, "");
	for (i = 0; i < APPS; i++)
		fixture_add_endpoint(t.st, &app, "app");
	fixture_add_endpoint(t.st, &llm, "llm");
	for (i = 0; i < ndaemon; i++) {
		fixture_start_daemon(t.st, i, true);
		ip[i] = daemon_settings_ip(t.st->store_addr, i);
	}
	for (i = 0; i < nfake; i++) {
		char *own = daemon_settings_ip(t.st->store_addr, 50 + i);

		snprintf(name, sizeof(name), "fake-%d", i);
		t.fake[i] = fake_instance_new(
		    &t.st->loop, &(fake_instance_opts_t){ .name = name,
				     .ip = own,
				     .domain = "north",
				     .peer_port = t.st->peer_port,
				     .tell = { ip[0], ip[1] } });
		g_free(own);
	}
	for (i = 0; i < ndaemon; i++)
		g_free(ip[i]);
	fixture_run(t.st, ndaemon > 1 ? ALL_KNOWN_MS : KNOWN_MS);
	for (i = 0; i < ndaemon; i++)
		links_set(t.links, i, how);
	return t;
}

/* One daemon. */
static site_t
site_new(int nfake, link_state_t how)
{
	return site_with(1, nfake, how);
}

static void
site_free(site_t *t)
{
	int i;

	fixture_stop_daemons(t->st);
	for (i = 0; i < t->nfake; i++)
		fake_instance_free(t->fake[i]);
	links_free(t->links);
	fixture_free(t->st);
}

static const char *
call_at(const site_t *t, int fake, guint i)
{
	const GPtrArray *calls = fake_instance_calls(t->fake[fake]);

	g_assert_cmpint(calls->len, >, i);
	return calls->pdata[i];
}

/* A number in the field of a call. */
static int64_t
told(const char *call, const char *key, int base)
{
	const char *field = strstr(call, "Ebonypitch-Call: "), *at;
	char *word = g_strdup_printf(" %s=", key);

	g_assert_nonnull(field);
	at = strstr(field, word);
	g_assert_nonnull(at);
	field = at + strlen(word);
	g_free(word);
	return (int64_t)strtoull(field, NULL, base);
}

/* Guards against giving the caller's time again to the next instance. */
static void
time_goes_on_from_the_first_instance(void)
{
	site_t t = site_new(1, LINK_HANGING);
	caller_t *c;
	const char *call;

	fake_instance_set_answer(
	    t.fake[0], SERVED "Content-Length: 4\r\n\r\nbody", false);
	c = caller_expect(t.st, 200, "POST", "/once/a", "time", brief);
	call = call_at(&t, 0, 0);
	g_assert_nonnull(strstr(call, "Deadline-Remaining: 1900\n"));
	/* The first connection wasn't made in 400 ms. */
	g_assert_cmpint(told(call, "elapsed", 10), >=, 350);
	g_assert_cmpint(told(call, "elapsed", 10), <, 1900);
	g_assert_cmpint(told(call, "sends", 10), ==, 0);
	g_assert_cmpint(told(call, "config", 10), ==, t.st->config_version);
	g_assert_null(strstr(call, "tried="));
	g_assert_null(strstr(call, "Expect-Instance"));
	caller_free(c);
	site_free(&t);
}

static bool
is_running(void *arg)
{
	fixture_t *st = arg;
	int i, n = 0;

	for (i = 0; i < APPS; i++)
		n += (int)fake_endpoint_executed(st->endpoint[i])->len;
	return n > 0;
}

/* Guards against forgetting attempts that an endpoint may have got. */
static void
attempts_before_are_told(void)
{
	site_t t = site_new(1, LINK_OPEN);
	const char *call, *at;
	caller_t *c;
	int i;

	for (i = 0; i < APPS; i++)
		fake_endpoint_set_fault(t.st->endpoint[i], ENDPOINT_SILENT);
	fake_instance_set_answer(
	    t.fake[0], SERVED "Content-Length: 4\r\n\r\nbody", false);
	c = caller_call(t.st, 0, "GET", "/safe/a", "again", brief);
	g_assert_true(fixture_run_until(t.st, is_running, t.st, ANSWER_MS));
	links_set(t.links, 0, LINK_RESET);
	g_assert_true(caller_wait(c, ANSWER_MS));
	g_assert_cmpint(c->status, ==, 200);
	call = call_at(&t, 0, 0);
	g_assert_cmpint(told(call, "sends", 10), ==, 1);
	at = strstr(call, " tried=ep-");
	g_assert_nonnull(at);
	/* The one that refused a connection isn't named. */
	g_assert_cmpint((int)strcspn(at + 1, " ,\n"), ==, 10);
	g_assert_true(at[11] == '\n');
	caller_free(c);
	site_free(&t);
}

/* Guards against going on with a stream as if nothing had been sent. */
static void
stream_goes_on_at_a_second_instance(void)
{
	site_t t = site_new(2, LINK_RESET);
	const char *first = SERVED
	    "Content-Type: text/event-stream\r\n"
	    "Ebonypitch-Answer: sends=1 software=abc endpoint=ep-2\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n"
	    "11\r\nid: 1\ndata: one\n\n\r\n11\r\nid: 2\ndata: two\n\n\r\n";
	const char *call;
	caller_t *c;
	char *body;
	int i;

	for (i = 0; i < FAKES; i++)
		fake_instance_set_answer(t.fake[i], first, true);
	c = caller_call(t.st, 0, "POST", "/gen/a", "stream", model);
	caller_wait(c, ANSWER_MS);
	body = client_request_body(c);
	g_assert_cmpstr(body, ==, "id: 1\ndata: one\n\nid: 2\ndata: two\n\n");
	g_free(body);
	/* It was cut: the second one sent nothing new and closed, too. */
	g_assert_false(c->done);
	for (i = 0; i < FAKES; i++) {
		call = call_at(&t, i, 0);
		if (strstr(call, "Last-Event-Id: 2\n") == NULL)
			continue;
		g_assert_cmpint(told(call, "software", 16), ==, 0xabc);
		g_assert_cmpint(told(call, "sends", 10), ==, 1);
		break;
	}
	g_assert_cmpint(i, <, FAKES);
	caller_free(c);
	site_free(&t);
}

/* Guards against one more attempt than the route allows. */
static void
attempt_without_an_answer_is_counted(void)
{
	site_t t = site_new(2, LINK_RESET);
	caller_t *c;
	int i, n = 0;
	guint before[FAKES];

	for (i = 0; i < FAKES; i++)
		fake_instance_set_answer(
		    t.fake[i], SERVED "Content-Length: 4\r\n\r\nbody", false);
	/* The daemon learns that it is cut. */
	caller_free(caller_expect(t.st, 200, "GET", "/safe/a", "warm", brief));
	for (i = 0; i < FAKES; i++) {
		before[i] = fake_instance_calls(t.fake[i])->len;
		fake_instance_set_answer(t.fake[i], "", true);
	}
	c = caller_call(t.st, 0, "GET", "/safe/a", "gone", brief);
	g_assert_true(caller_wait(c, ANSWER_MS));
	g_assert_cmpint(c->status, ==, 502);
	for (i = 0; i < FAKES; i++)
		n += (int)told(call_at(&t, i, before[i]), "sends", 10);
	g_assert_cmpint(n, ==, 1);
	caller_free(c);
	site_free(&t);
}

/* Guards against using an endpoint whose leaving an answer has told. */
static void
leaving_in_an_answer_binds(void)
{
	site_t t = site_new(1, LINK_RESET);
	const GArray *arrivals;
	char answer[400];
	caller_t *c;
	ms_t from;
	guint k;
	int i;

	snprintf(answer, sizeof(answer),
	    SERVED
	    "Server-Leaving: 1\r\nEbonypitch-Answer: sends=1 software=1 "
	    "leaving=1 started=%" PRId64
	    " connected=0 endpoint=ep-0\r\nContent-Length: 4\r\n\r\nbody",
	    "%s", fake_endpoint_born(t.st->endpoint[0]));
	fake_instance_set_answer(t.fake[0], answer, false);
	c = caller_expect(t.st, 200, "GET", "/safe/a", "says", brief);
	g_assert_nonnull(strstr(c->headers, "Server-Leaving: 1"));
	g_assert_null(strstr(c->headers, "Ebonypitch"));
	caller_free(c);
	links_set(t.links, 0, LINK_OPEN);
	fixture_run(t.st, 1500);
	from = clock_now(&machine_clock);
	for (i = 0; i < 12; i++)
		caller_free(
		    caller_expect(t.st, 200, "GET", "/safe/a", "on", brief));
	arrivals = fake_endpoint_arrivals(t.st->endpoint[0]);
	for (k = 0; k < arrivals->len; k++)
		g_assert_cmpint(g_array_index(arrivals, ms_t, k), <, from);
	site_free(&t);
}

/* Guards against trusting what isn't an endpoint's answer. */
static void
unsigned_answer_is_no_success(void)
{
	static const char *const answers[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Signature: "
		"s1\r\n"
		"Content-Length: 4\r\n\r\nbody",
		"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 502 Bad\r\nEbonypitch-Answer: own=1 elsewhere=1\r\n"
		"Content-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nEbonypitch-Answer: own=1\r\n"
		"Content-Length: 0\r\n\r\n",
	};
	site_t t = site_new(1, LINK_RESET);
	char id[16];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(answers); i++) {
		caller_t *c;

		fake_instance_set_answer(t.fake[0], answers[i], true);
		snprintf(id, sizeof(id), "bad%zu", i);
		c = caller_call(t.st, 0, "POST", "/once/a", id, brief);
		g_assert_true(caller_wait(c, ANSWER_MS));
		/* It may have run. */
		g_assert_cmpint(c->status, ==, 502);
		caller_free(c);
		fixture_run(t.st, 700);
	}
	site_free(&t);
}

/*
 * Guards against an endpoint's refusal that an instance hands on: it may be an
 * earlier one, and the call may run there.
 */
static void
refusal_handed_on_isn_t_told(void)
{
	static const char *const answers[] = {
		"HTTP/1.1 503 Busy\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n"
		"Content-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n"
		"Content-Length: 0\r\n\r\n",
		"HTTP/1.1 421 Misdirected\r\nRequest-Id: %s\r\n"
		"Content-Length: 0\r\n\r\n",
	};
	site_t t = site_new(2, LINK_RESET);
	char id[16];
	size_t i;
	int k;

	for (i = 0; i < G_N_ELEMENTS(answers); i++) {
		guint before = fake_instance_calls(t.fake[0])->len +
			       fake_instance_calls(t.fake[1])->len;
		caller_t *c;

		for (k = 0; k < FAKES; k++)
			fake_instance_set_answer(t.fake[k], answers[i], false);
		snprintf(id, sizeof(id), "on%zu", i);
		c = caller_call(t.st, 0, "POST", "/once/a", id, brief);
		g_assert_true(caller_wait(c, ANSWER_MS));
		g_assert_cmpint(c->status, ==, 502);
		g_assert_cmpuint(fake_instance_calls(t.fake[0])->len +
				     fake_instance_calls(t.fake[1])->len -
				     before,
		    ==, 1);
		caller_free(c);
		fixture_run(t.st, 700);
	}
	site_free(&t);
}

/* Guards against a refusal that is told as a failure, or without its time. */
static void
refusal_is_told(void)
{
	site_t t = site_new(2, LINK_RESET);
	caller_t *c;
	char *at;
	int i;

	for (i = 0; i < FAKES; i++)
		fake_instance_set_answer(t.fake[i],
		    "HTTP/1.1 503 Busy\r\nRetry-After: 2.500\r\n"
		    "Ebonypitch-Answer: sends=0 own=1 elsewhere=0 "
		    "retry=2500\r\n"
		    "Content-Length: 0\r\n\r\n",
		    false);
	c = caller_expect(t.st, 503, "POST", "/once/a", "full", brief);
	at = strstr(c->headers, "Retry-After: ");
	g_assert_nonnull(at);
	g_assert_cmpfloat(
	    g_ascii_strtod(at + strlen("Retry-After: "), NULL), ==, 2.5);
	/* Another instance isn't asked for what this one refused. */
	g_assert_cmpint(fake_instance_calls(t.fake[0])->len +
			    fake_instance_calls(t.fake[1])->len,
	    ==, 1);
	caller_free(c);
	site_free(&t);
}

/* Guards against ending a call that yet another instance may take. */
static void
refusal_that_another_may_take(void)
{
	site_t t = site_new(2, LINK_RESET);
	int i, n = 0;

	fake_instance_set_answer(t.fake[0],
	    "HTTP/1.1 503 Busy\r\n"
	    "Ebonypitch-Answer: sends=0 own=1 elsewhere=1 retry=0\r\n"
	    "Content-Length: 0\r\n\r\n",
	    false);
	fake_instance_set_answer(
	    t.fake[1], SERVED "Content-Length: 4\r\n\r\nbody", false);
	for (i = 0; i < 10; i++) {
		char id[16];

		snprintf(id, sizeof(id), "take%d", i);
		caller_free(
		    caller_expect(t.st, 200, "POST", "/once/a", id, brief));
	}
	n = (int)fake_instance_calls(t.fake[0])->len;
	g_assert_cmpint(n, >, 0);
	g_assert_cmpint(fake_instance_calls(t.fake[1])->len, ==, 10);
	site_free(&t);
}

/* Guards against calls that travel on from an instance that is cut, too. */
static void
call_that_was_handed_over_stays(void)
{
	site_t t = site_with(2, 1, LINK_RESET);
	int i;

	fake_instance_set_answer(
	    t.fake[0], SERVED "Content-Length: 4\r\n\r\nbody", false);
	for (i = 0; i < 10; i++) {
		char id[16];

		snprintf(id, sizeof(id), "hop%d", i);
		caller_free(
		    caller_expect(t.st, 200, "POST", "/once/a", id, brief));
	}
	g_assert_cmpint(
	    fixture_counter(t.st, 1, "ebonypitch_calls_taken_over_total"), >,
	    0);
	g_assert_cmpint(
	    fixture_counter(t.st, 1, "ebonypitch_calls_handed_over_total"), ==,
	    0);
	site_free(&t);
}

/* Guards against giving most calls to an instance that is slow with them. */
static void
calls_go_where_fewer_wait(void)
{
	site_t t = site_new(2, LINK_RESET);
	caller_t *c[20];
	char id[16];
	int i;

	fake_instance_set_answer(
	    t.fake[1], SERVED "Content-Length: 4\r\n\r\nbody", false);
	for (i = 0; i < 20; i++) {
		snprintf(id, sizeof(id), "w%d", i);
		c[i] = caller_call(t.st, 0, "POST", "/once/a", id, brief);
		fixture_run(t.st, 40);
	}
	g_test_message("%u and %u calls", fake_instance_calls(t.fake[0])->len,
	    fake_instance_calls(t.fake[1])->len);
	g_assert_cmpint(fake_instance_calls(t.fake[0])->len, <=, 3);
	for (i = 0; i < 20; i++)
		caller_free(c[i]);
	site_free(&t);
}

#define T(name) g_test_add_func("/peer_field/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(time_goes_on_from_the_first_instance);
	T(attempts_before_are_told);
	T(stream_goes_on_at_a_second_instance);
	T(attempt_without_an_answer_is_counted);
	T(leaving_in_an_answer_binds);
	T(unsigned_answer_is_no_success);
	T(refusal_handed_on_isn_t_told);
	T(refusal_is_told);
	T(refusal_that_another_may_take);
	T(call_that_was_handed_over_stays);
	T(calls_go_where_fewer_wait);
	return g_test_run();
}
