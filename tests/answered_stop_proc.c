/*
 * A request that a daemon has read whole gets a complete answer while the
 * daemon stops and when connections end. See docs/design/answered.md.
 */
#include "standin/http_server.h"
#include "tests/answered.h"

#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	GRACE_S = 4,
	LONG_GRACE_S = 8,
	SHORT_GRACE_S = 2,
	PLAIN_MS = 20,
	EVENTS = 20,
	GAP_MS = 20,
	END_MS = 9000, /* for the daemon to stop */
	BIG_BYTES = 1000000,
	BIG_ANSWERS = 7, /* more than the kernel buffers */
	MANY = 100,
};

#define STREAM "Model: m1\r\nToken-Usage: 100,20\r\n"

static ms_t
now(void)
{
	return clock_now(&machine_clock);
}

/* Run until @p at ms after SIGTERM, which came at @p term. */
static void
run_to(callers_t *s, ms_t term, ms_t at)
{
	if (term + at > now())
		fixture_run(s->st, term + at - now());
}

static ms_t
stop(callers_t *s)
{
	proc_signal(s->st->daemon[0], SIGTERM);
	return now();
}

static bool
has_stopped(void *arg)
{
	return proc_ended(((callers_t *)arg)->st->daemon[0], 0);
}

static void
wait_stopped(callers_t *s)
{
	g_assert_true(fixture_run_until(s->st, has_stopped, s, END_MS));
	g_assert_cmpint(s->st->daemon[0]->status, ==, 0);
	fixture_run(s->st, 50);
}

static void
wait_run(callers_t *s, int endpoint)
{
	const GPtrArray *r = fake_endpoint_executed(s->st->endpoint[endpoint]);
	int i;

	for (i = 0; i < 200 && r->len == 0; i++)
		fixture_run(s->st, 10);
	g_assert_cmpuint(r->len, >, 0);
}

/* Guards against calls in progress, waiting or half received that are lost. */
static void
calls_of_every_state(void)
{
	callers_t *s = callers_new(GRACE_S, 500, 60, 30);
	outcomes_t o;

	callers_start_load(s);
	stop(s);
	fixture_run(s->st, 100);
	callers_complete_load(s);
	o = callers_check(s);
	g_assert_cmpint(o.crossed, ==, 0);
	g_assert_cmpint(o.served, ==, o.asked);
	wait_stopped(s);
	callers_free(s);
}

/* Guards against signals and versions that disturb a stop. */
static void
signals_and_versions(void)
{
	callers_t *s = callers_new(GRACE_S, 500, 60, 30);
	outcomes_t o;
	int i;

	callers_start_load(s);
	conf_put(s->st, &(conf_t){ .service = "app2" });
	stop(s);
	for (i = 0; i < 8; i++) {
		conf_put(s->st, &(conf_t){ .timeout = 5000, .more = 50 * i });
		proc_signal(s->st->daemon[0], i % 2 ? SIGHUP : SIGTERM);
		fixture_run(s->st, 50);
	}
	callers_complete_load(s);
	o = callers_check(s);
	g_assert_cmpint(o.crossed, ==, 0);
	g_assert_cmpint(o.served, ==, o.asked);
	wait_stopped(s);
	callers_free(s);
}

/*
 * Callers that ask again as soon as they are answered, on the same connection
 * while it is open, else on a new one.
 */
static void
ask_until_stopped(callers_t *s, int n)
{
	kept_t *k[8];
	int i;

	for (i = 0; i < n; i++)
		k[i] = kept_open(s);
	while (!has_stopped(s)) {
		for (i = 0; i < n; i++) {
			if (!kept_is_answered(k[i]))
				continue;
			if (k[i]->http == NULL || k[i]->closes ||
			    k[i]->nask == ASKS_MAX)
				k[i] = kept_open(s);
			if (i % 3 == 2)
				kept_ask(k[i], "POST", "/gen/a", STREAM);
			else
				kept_ask(k[i], i % 3 ? "POST" : "GET",
				    i % 3 ? "/once/a" : "/plain/a", "");
		}
		loop_turn(&s->st->loop, 5);
	}
	fixture_run(s->st, 50);
}

/* Guards against losses among callers that use the daemon until it is gone. */
static void
callers_until_the_end(void)
{
	callers_t *s = callers_new(GRACE_S, PLAIN_MS, EVENTS, GAP_MS);

	stop(s);
	ask_until_stopped(s, 6);
	g_assert_cmpint(callers_check(s).served, >, 50);
	callers_free(s);
}

/* Guards against losses on connections kept open, used late or not at all. */
static void
kept_connections(void)
{
	static const ms_t at[] = { 0, 1000, 2000, 2900, 3100, 4000, 6000 };
	callers_t *s = callers_new(LONG_GRACE_S, PLAIN_MS, 260, 25);
	kept_t *k[2 * G_N_ELEMENTS(at)];
	size_t i;
	ms_t term;

	kept_ask(kept_open(s), "POST", "/gen/long", STREAM);
	for (i = 0; i < G_N_ELEMENTS(k); i++) {
		k[i] = kept_open(s);
		kept_ask(k[i], "GET", "/plain/a", "");
	}
	for (i = 0; i < G_N_ELEMENTS(k); i++)
		g_assert_true(
		    fixture_run_until(s->st, kept_is_answered, k[i], 3000));
	term = stop(s);
	for (i = 0; i < G_N_ELEMENTS(at); i++) {
		run_to(s, term, at[i]);
		kept_ask(k[2 * i], "POST", "/once/a", "");
		kept_ask(k[2 * i + 1], "POST", "/gen/a", STREAM)->may_be_cut =
		    at[i] < 3000;
	}
	wait_stopped(s);
	callers_check(s);
	callers_free(s);
}

/*
 * Guards against a connection that is closed although the answer under way,
 * whose head was sent before SIGTERM, didn't say so: the next request crosses.
 */
static void
head_sent_before(void)
{
	callers_t *s = callers_new(GRACE_S, PLAIN_MS, EVENTS, GAP_MS);
	kept_t *k = kept_open(s);
	outcomes_t o;

	kept_ask(k, "POST", "/gen/a", STREAM);
	while (k->events < 3)
		loop_turn(&s->st->loop, 20);
	stop(s);
	g_assert_true(fixture_run_until(s->st, kept_is_answered, k, 3000));
	g_assert_false(k->closes);
	kept_ask(k, "POST", "/once/a", "");
	g_assert_true(fixture_run_until(s->st, kept_is_answered, k, 3000));
	o = callers_check(s);
	g_assert_cmpint(o.served, ==, 2);
	g_assert_true(k->closes);
	wait_stopped(s);
	callers_free(s);
}

/*
 * Guards against a second request, read with the first, that is dropped when
 * the first one's answer ends.
 */
static void
second_request_in_a_segment(void)
{
	callers_t *s = callers_new(GRACE_S, PLAIN_MS, EVENTS, GAP_MS);
	kept_t *k = kept_open(s);

	kept_ask(k, "POST", "/gen/a", STREAM);
	kept_ask(k, "POST", "/once/a", "");
	while (k->events < 3)
		loop_turn(&s->st->loop, 20);
	stop(s);
	g_assert_true(fixture_run_until(s->st, kept_is_answered, k, 3000));
	g_assert_cmpint(callers_check(s).served, ==, 2);
	wait_stopped(s);
	callers_free(s);
}

/* Guards against losses on connections made as the listener closes. */
static void
new_connections(void)
{
	callers_t *s = callers_new(GRACE_S, PLAIN_MS, EVENTS, GAP_MS);
	ms_t term = stop(s);

	run_to(s, term, 2700);
	while (!has_stopped(s)) {
		kept_ask(kept_open(s), "POST", "/once/a", "");
		fixture_run(s->st, 3);
	}
	fixture_run(s->st, 50);
	g_assert_cmpint(callers_check(s).served, >, 5);
	callers_free(s);
}

/* An endpoint with large answers. */
static void
send_big(server_conn_t *c)
{
	static char body[BIG_BYTES];

	memset(body, 'x', sizeof(body));
	buf_fmt(&c->http->out,
	    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: s1\r\n"
	    "Content-Length: %d\r\n\r\n",
	    head_get(&c->http->head, "Request-Id"), BIG_BYTES);
	buf_add(&c->http->out, body, sizeof(body));
	http_conn_flush(c->http);
	http_conn_next(c->http);
}

static const http_server_ops_t big_ops = { .size = sizeof(server_conn_t),
	.done = send_big };

static bool
all_big_were_made(void *arg)
{
	fixture_t *st = arg;

	return (int)(daemon_metric(
			 st, "ebonypitch_calls_total{outcome=\"served\"}") +
		     daemon_metric(
			 st, "ebonypitch_calls_total{outcome=\"failed\"}")) ==
	       BIG_ANSWERS;
}

/*
 * Guards against an answer cut at the end of the process, before grace_s is
 * over, because its caller reads slowly. The last answers are errors, since
 * the daemon stops reading the endpoint when it holds too much.
 */
static void
slow_reader(void)
{
	callers_t *s = callers_new(LONG_GRACE_S, PLAIN_MS, EVENTS, GAP_MS);
	http_server_t big;
	int port, i;
	char *addr, *entry;
	kept_t *k;
	ms_t term;

	ports_take(&port, 1);
	addr = addr_of(port);
	http_server_open(&big, &s->st->loop, addr, &big_ops, NULL);
	entry = g_strdup_printf(
	    "{\"service\":\"big\",\"address\":\"%s\",\"zone\":\"north\","
	    "\"slots\":8,\"state\":\"ready\",\"born\":1,\"seq\":1}",
	    addr);
	fake_store_put(s->st->store, "servers", "ep-big", entry);
	endpoints_wait(s->st, 4);
	conf_put(s->st, &(conf_t){ .service = "big", .timeout = 400 });
	conf_wait(s->st);
	k = kept_open(s);
	for (i = 0; i < BIG_ANSWERS; i++)
		kept_ask(k, "POST", "/once/a", "");
	while (k->http->connecting)
		loop_turn(&s->st->loop, 1);
	http_conn_pause(k->http, true);
	g_assert_true(fixture_run_until(s->st, all_big_were_made, s->st, 5000));
	term = stop(s);
	run_to(s, term, 3600);
	http_conn_pause(k->http, false);
	g_assert_true(fixture_run_until(s->st, kept_is_answered, k, 3000));
	callers_check(s);
	g_assert_cmpint(k->nanswered, ==, BIG_ANSWERS);
	wait_stopped(s);
	http_server_close(&big);
	g_free(addr);
	g_free(entry);
	callers_free(s);
}

/*
 * Guards against calls given up before the last sixth of grace_s, and against
 * a plain one that then ends without an answer.
 */
static void
calls_that_outlast(gconstpointer grace)
{
	int grace_s = GPOINTER_TO_INT(grace);
	callers_t *s = callers_new(grace_s, PLAIN_MS, 400, 25);
	kept_t *stream = kept_open(s), *plain = kept_open(s);
	ms_t term;

	fake_endpoint_set_fault(s->st->endpoint[0], ENDPOINT_SILENT);
	kept_ask(stream, "POST", "/gen1/a", STREAM)->may_be_cut = true;
	kept_ask(plain, "POST", "/once/a", "");
	wait_run(s, 0);
	wait_run(s, 2);
	term = stop(s);
	wait_stopped(s);
	callers_check(s);
	g_test_message("given up after %" PRId64 " and %" PRId64 " ms",
	    plain->last_answer_at - term, stream->ended_at - term);
	g_assert_cmpint(plain->ask[0].status, ==, 502);
	g_assert_cmpint(plain->last_answer_at - term, >=, grace_s * 5000 / 6);
	g_assert_cmpint(stream->ended_at - term, >=, grace_s * 5000 / 6);
	callers_free(s);
}

/*
 * Guards against a stream that is begun later than 3 s after SIGTERM and cut
 * at the end of grace_s, which the rules don't excuse.
 */
static void
late_stream(void)
{
	callers_t *s = callers_new(5, PLAIN_MS, 260, 25);
	kept_t *late;
	ms_t term;

	kept_ask(kept_open(s), "POST", "/gen1/long", STREAM)->may_be_cut = true;
	wait_run(s, 2);
	term = stop(s);
	run_to(s, term, 2800);
	late = kept_open(s);
	run_to(s, term, 3150);
	kept_ask(late, "POST", "/gen1/late", STREAM);
	wait_stopped(s);
	callers_check(s);
	g_assert_cmpint(late->nanswered, ==, 1);
	callers_free(s);
}

/*
 * Guards against requests that are read, and passed on, in the daemon's last
 * moments and then left without an answer.
 */
static void
last_moments(void)
{
	callers_t *s = callers_new(GRACE_S, 500, EVENTS, GAP_MS);
	kept_t *k[MANY];
	ms_t term;
	int i;

	fake_endpoint_set_fault(s->st->endpoint[0], ENDPOINT_SILENT);
	kept_ask(kept_open(s), "POST", "/once/a", "");
	wait_run(s, 0);
	term = stop(s);
	run_to(s, term, 2800);
	for (i = 0; i < MANY; i++)
		k[i] = kept_open(s);
	for (i = 0; i < MANY; i++) {
		run_to(s, term, 3400 + 3 * i);
		kept_ask(k[i], "POST", "/once/a", "");
	}
	wait_stopped(s);
	callers_check(s);
	callers_free(s);
}

/*
 * Guards against an end, with most of grace_s left, while a request is being
 * received.
 */
static void
half_received(void)
{
	callers_t *s = callers_new(LONG_GRACE_S, PLAIN_MS, EVENTS, GAP_MS);
	kept_t *k = kept_open(s);
	ms_t term;

	kept_ask_half(k, "/once/a");
	fixture_run(s->st, 50);
	term = stop(s);
	run_to(s, term, 3500);
	kept_ask_rest(k);
	g_assert_true(fixture_run_until(s->st, kept_is_answered, k, 3000));
	g_assert_cmpint(callers_check(s).served, ==, 1);
	wait_stopped(s);
	callers_free(s);
}

/* Ends of connections. */

static int
connect_raw(callers_t *s)
{
	struct sockaddr_in sa;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert_cmpint(net_addr(s->st->caller[0], &sa), ==, 0);
	g_assert_cmpint(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	return fd;
}

static bool
is_at_end(void *fd)
{
	char c;

	return recv(*(int *)fd, &c, 1, MSG_DONTWAIT | MSG_PEEK) == 0;
}

static bool
is_reset(void *fd)
{
	struct pollfd p = { *(int *)fd, POLLIN, 0 };

	return poll(&p, 1, 0) == 1 && (p.revents & POLLERR) != 0;
}

/*
 * Guards against a request that crosses the close of an idle connection and is
 * read but not answered: the caller must see that it wasn't read.
 */
static void
idle_close(void)
{
	static const char request[] =
	    "POST /once/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: late\r\n"
	    "Content-Length: 4\r\n\r\nbody";
	callers_t *s = callers_new(GRACE_S, PLAIN_MS, EVENTS, GAP_MS);
	int fd;

	conf_put(s->st, &(conf_t){ .idle_timeout = 300 });
	conf_wait(s->st);
	fd = connect_raw(s);
	g_assert_true(fixture_run_until(s->st, is_at_end, &fd, 2000));
	g_assert_cmpint(send(fd, request, strlen(request), MSG_NOSIGNAL), ==,
	    strlen(request));
	g_assert_true(fixture_run_until(s->st, is_reset, &fd, 500));
	close(fd);
	callers_free(s);
}

/*
 * Guards against the close of a connection whose request has arrived and isn't
 * read yet.
 */
static void
request_at_the_idle_limit(void)
{
	callers_t *s = callers_new(GRACE_S, PLAIN_MS, EVENTS, GAP_MS);
	kept_t *k[MANY];
	outcomes_t o;
	int i;

	conf_put(s->st, &(conf_t){ .idle_timeout = 300 });
	conf_wait(s->st);
	for (i = 0; i < MANY; i++)
		k[i] = kept_open(s);
	fixture_run(s->st, 30);
	proc_signal(s->st->daemon[0], SIGSTOP);
	for (i = 0; i < MANY; i++)
		kept_ask(k[i], "GET", "/plain/a", "");
	fixture_run(s->st, 400);
	proc_signal(s->st->daemon[0], SIGCONT);
	g_assert_true(fixture_run_until(s->st, callers_are_answered, s, 5000));
	o = callers_check(s);
	g_assert_cmpint(o.crossed, ==, 0);
	callers_free(s);
}

/* Guards against losses when connections are used near their idle limit. */
static void
use_near_the_idle_limit(void)
{
	callers_t *s = callers_new(GRACE_S, PLAIN_MS, EVENTS, GAP_MS);
	kept_t *k[MANY];
	ms_t opened;
	int i;

	conf_put(s->st, &(conf_t){ .idle_timeout = 300 });
	conf_wait(s->st);
	opened = now();
	for (i = 0; i < MANY; i++)
		k[i] = kept_open(s);
	for (i = 0; i < MANY; i++) {
		run_to(s, opened, 240 + i);
		kept_ask(k[i], "GET", "/plain/a", "");
	}
	g_assert_true(fixture_run_until(s->st, callers_are_answered, s, 5000));
	callers_check(s);
	callers_free(s);
}

/* Guards against a close at a limit that a newer configuration has raised. */
static void
idle_limit_raised(void)
{
	callers_t *s = callers_new(GRACE_S, PLAIN_MS, EVENTS, GAP_MS);
	kept_t *k;

	conf_put(s->st, &(conf_t){ .idle_timeout = 1200 });
	conf_wait(s->st);
	k = kept_open(s);
	kept_ask(k, "GET", "/plain/a", "");
	g_assert_true(fixture_run_until(s->st, kept_is_answered, k, 3000));
	conf_put(s->st, &(conf_t){ .idle_timeout = 5000 });
	conf_wait(s->st);
	run_to(s, k->last_answer_at, 1500);
	kept_ask(k, "GET", "/plain/a", "");
	g_assert_true(fixture_run_until(s->st, kept_is_answered, k, 3000));
	g_assert_cmpint(callers_check(s).served, ==, 2);
	callers_free(s);
}

/* Guards against unanswered requests of less usual forms. */
static void
forms_of_requests(void)
{
	static const struct {
		const char *head, *body;
		bool closes;
	} form[] = {
		{ "GET /plain/a HTTP/1.1\r\nHost: h.example\r\n"
		  "Connection: close\r\n",
		    "", true },
		{ "GET /plain/a HTTP/1.0\r\nHost: h.example\r\n", "", true },
		{ "GET /plain/a HTTP/1.0\r\nHost: h.example\r\n"
		  "Connection: keep-alive\r\n",
		    "", false },
		{ "POST /gen/a HTTP/1.0\r\nHost: h.example\r\n"
		  "Model: m1\r\nToken-Usage: 100,20\r\n",
		    "", true },
		{ "HEAD /plain/a HTTP/1.1\r\nHost: h.example\r\n", "", false },
		{ "POST /once/a HTTP/1.1\r\nHost: h.example\r\n"
		  "Expect: 100-continue\r\nContent-Length: 4\r\n",
		    "body", false },
		{ "POST /once/a HTTP/1.1\r\nHost: h.example\r\n"
		  "Transfer-Encoding: chunked\r\n",
		    "4\r\nbody\r\n0\r\n\r\n", false },
	};
	callers_t *s = callers_new(GRACE_S, PLAIN_MS, EVENTS, GAP_MS);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(form); i++) {
		kept_t *k = kept_open(s);

		kept_ask_raw(k, form[i].head, form[i].body, true);
		g_assert_true(
		    fixture_run_until(s->st, kept_is_answered, k, 3000));
		g_assert_cmpint(k->nanswered, ==, 1);
		g_assert_cmpint(k->ask[0].status, ==, 200);
		if (form[i].closes)
			g_assert_true(
			    fixture_run_until(s->st, kept_has_ended, k, 3000));
		else
			kept_ask(k, "GET", "/plain/next", "");
	}
	g_assert_true(fixture_run_until(s->st, callers_are_answered, s, 3000));
	g_assert_cmpint(callers_check(s).served, ==, 7 + 4);
	callers_free(s);
}

/*
 * Guards against an answer that ends early and looks complete: without a
 * length, the end of the connection is the end of the answer.
 */
static void
cut_answer_without_a_length(void)
{
	callers_t *s = callers_new(GRACE_S, PLAIN_MS, EVENTS, GAP_MS);
	kept_t *k = kept_open(s);

	fake_endpoint_set_fault(s->st->endpoint[2], ENDPOINT_CUT_STREAM);
	kept_ask_raw(k,
	    "POST /gen1/a HTTP/1.0\r\nHost: h.example\r\n"
	    "Model: m1\r\nToken-Usage: 100,20\r\n",
	    "", true)
	    ->may_be_cut = true;
	g_assert_true(fixture_run_until(s->st, kept_has_ended, k, 3000));
	g_assert_cmpint(k->nanswered, ==, 0);
	callers_check(s);
	callers_free(s);
}

#define T(path, name) g_test_add_func("/answered-stop/" path, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T("calls_of_every_state", calls_of_every_state);
	T("signals_and_versions", signals_and_versions);
	T("callers_until_the_end", callers_until_the_end);
	T("kept_connections", kept_connections);
	T("head_sent_before", head_sent_before);
	T("second_request_in_a_segment", second_request_in_a_segment);
	T("new_connections", new_connections);
	T("slow_reader", slow_reader);
	g_test_add_data_func("/answered-stop/outlast/grace-4",
	    GINT_TO_POINTER(GRACE_S), calls_that_outlast);
	g_test_add_data_func("/answered-stop/outlast/grace-2",
	    GINT_TO_POINTER(SHORT_GRACE_S), calls_that_outlast);
	T("late_stream", late_stream);
	T("last_moments", last_moments);
	T("half_received", half_received);
	T("idle_close", idle_close);
	T("request_at_the_idle_limit", request_at_the_idle_limit);
	T("use_near_the_idle_limit", use_near_the_idle_limit);
	T("idle_limit_raised", idle_limit_raised);
	T("forms_of_requests", forms_of_requests);
	T("cut_answer_without_a_length", cut_answer_without_a_length);
	return g_test_run();
}
