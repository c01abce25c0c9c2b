/*
 * Review of LOST: further places at which an attempt, a request or a connection
 * may be given up on account of silence or a timer before it is certain that
 * something better exists.
 */
#include "tests/answered.h"
#include "tests/system.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	EVENTS = 8,
	LAST_EVENT = 3,	   /* before the silence */
	SILENCE_MS = 1800, /* of a stream; over the daemon's limit */
	PLAIN_SILENCE_MS = 1100,
	WAIT_MS = 6500, /* longer than any call's deadline */
	APPLY_MS = 400, /* until the daemon has read its settings */
	BIG_EVENT = 64 << 10,
	BIG_EVENTS = 200, /* more than all buffers hold */
	PIECE = 64 << 10,
	PIECES_MIN = 62, /* the buffers take some 66 */
	PIECES_MAX = 90,
	LISTENING = 10, /* state in /proc/net/tcp */
	CLOSE_WAIT = 8, /* state in /proc/net/tcp */
	READER_BUFFER = 64 << 10,
	UNREAD_MS = 12000, /* twice the idle limit of callers, and more */
	STOPPED_MS = 1500, /* until the daemon has stopped reading */
	SPAN_MS = 1000,	   /* in which processor time is measured */
	SPAN_TICKS_MAX = 25,
	GONE_MS = 500,
	NARROW_MAX = 9,	   /* endpoints, one more than a call remembers */
	NARROW_CALLS = 50, /* more than four for each */
	TOGETHER = 2300,   /* requests, in 64 KB */
	CHAT_MS = 12000,
	CHAT_TOKENS = 120,
	STOP_MS = 1500, /* over the entry's limits for a silent worker */
};

#define GEN "Model: m1\r\nToken-Usage: 100,20\r\nDeadline-Remaining: 5000\r\n"
#define PLAIN "Deadline-Remaining: 1900\r\n"

static const fake_endpoint_opts_t plain = { .plain_ms = 20 };
static const fake_endpoint_opts_t stream = {
	.model = "m1", .events = EVENTS, .event_gap = 20, .adapter_slots = 4
};
static const fake_endpoint_opts_t long_stream = {
	.model = "m1", .events = 200, .event_gap = 20, .adapter_slots = 4
};
static const fake_endpoint_opts_t big_stream = { .model = "m1",
	.events = BIG_EVENTS,
	.event_gap = 5,
	.event_bytes = BIG_EVENT,
	.adapter_slots = 4 };
static const fake_endpoint_opts_t pieces = {
	.model = "m1", .event_gap = 5, .event_bytes = PIECE, .adapter_slots = 4
};

static fixture_t *
one_daemon(const fake_endpoint_opts_t *o, int n, const char *service)
{
	fixture_t *st = fixture_new();

	fixture_put_config(st, "");
	while (n-- > 0)
		fixture_add_endpoint(st, o, service);
	fixture_start_daemon(st, 0, true);
	return st;
}

static int
silent_endpoint(const fixture_t *st)
{
	int i;

	for (i = 0; i < st->nendpoint; i++)
		if (fake_endpoint_is_silent(st->endpoint[i]))
			return i;
	return -1;
}

static bool
is_one_silent(void *st)
{
	return silent_endpoint(st) != -1;
}

/* Send a call to an endpoint that falls silent. @return which */
static int
call_and_fall_silent(fixture_t *st, const char *method, const char *path,
    const char *head, int64_t after, ms_t span, caller_t **c)
{
	int i, first;

	for (i = 0; i < st->nendpoint; i++)
		fake_endpoint_set_silence(st->endpoint[i], after, span);
	*c = caller_call(st, 0, method, path, "r1", head);
	g_assert_true(fixture_run_until(st, is_one_silent, st, 3000));
	first = silent_endpoint(st);
	for (i = 0; i < st->nendpoint; i++)
		fake_endpoint_set_silence(st->endpoint[i], -1, 0);
	return first;
}

static void
assert_stream(caller_t *c, int events)
{
	GString *want = g_string_new(NULL);
	char *body;
	int i;

	for (i = 1; i <= events; i++) {
		char *ev = fake_endpoint_event(i, 0);

		g_string_append(want, ev);
		g_free(ev);
	}
	g_assert_true(caller_wait(c, WAIT_MS));
	body = client_request_body(c);
	g_assert_cmpint(c->status, ==, 200);
	g_assert_cmpstr(body, ==, want->str);
	g_assert_true(c->done);
	g_free(body);
	g_string_free(want, TRUE);
}

static void
set_retry_budget(fixture_t *st, const char *extra)
{
	settings_edit(st, "budget_extra_tries: 54", extra);
	proc_signal(st->daemon[0], SIGHUP);
	fixture_run(st, APPLY_MS);
}

/* Guards against a silent endpoint that is left with no budget at all. */
static void
silence_without_a_retry_budget(void)
{
	fixture_t *st = one_daemon(&stream, 2, "llm");
	caller_t *c;
	int first;

	set_retry_budget(st, "budget_extra_tries: 0");
	first = call_and_fall_silent(
	    st, "POST", "/gen/a", GEN, LAST_EVENT, SILENCE_MS, &c);
	assert_stream(c, EVENTS);
	g_assert_cmpuint(
	    fake_endpoint_executed(st->endpoint[1 - first])->len, ==, 0);
	caller_free(c);
	fixture_free(st);
}

/*
 * Guards against a cut because leaving the silent endpoint took the last of the
 * retry budget: the replacement refuses, and the call can't return. 0.6 * (0.2
 * + 3) allows one further send.
 */
static void
stream_keeps_budget_for_its_return(void)
{
	fixture_t *st = one_daemon(&stream, 2, "llm");
	caller_t *c;
	int first;

	set_retry_budget(st, "budget_extra_tries: 3");
	first = call_and_fall_silent(
	    st, "POST", "/gen/a", GEN, LAST_EVENT, SILENCE_MS, &c);
	fake_endpoint_set_fault(st->endpoint[1 - first], ENDPOINT_NOT_RUN);
	assert_stream(c, EVENTS);
	caller_free(c);
	fixture_free(st);
}

/* The same of a plain call, which then gets a 504. */
static void
plain_call_keeps_budget_for_its_return(void)
{
	fixture_t *st = one_daemon(&plain, 2, "app");
	caller_t *c;
	int first;

	set_retry_budget(st, "budget_extra_tries: 3");
	first = call_and_fall_silent(
	    st, "GET", "/safe/a", PLAIN, 0, PLAIN_SILENCE_MS, &c);
	fake_endpoint_set_fault(st->endpoint[1 - first], ENDPOINT_NOT_RUN);
	g_assert_true(caller_wait(c, WAIT_MS));
	g_assert_cmpint(c->status, ==, 200);
	caller_free(c);
	fixture_free(st);
}

/*
 * Guards against a cut because the replacement takes the call and is silent for
 * good, while the endpoint that was left goes on after 1.8 s.
 */
static void
replacement_that_hangs(void)
{
	fixture_t *st = one_daemon(&stream, 2, "llm");
	caller_t *c;
	int first = call_and_fall_silent(
	    st, "POST", "/gen/a", GEN, LAST_EVENT, SILENCE_MS, &c);

	fake_endpoint_set_fault(st->endpoint[1 - first], ENDPOINT_SILENT);
	assert_stream(c, EVENTS);
	caller_free(c);
	fixture_free(st);
}

/* The same of a plain call with time for it. */
static void
plain_replacement_that_hangs(void)
{
	fixture_t *st = one_daemon(&plain, 2, "app");
	caller_t *c;
	int first = call_and_fall_silent(
	    st, "GET", "/safe/a", PLAIN, 0, PLAIN_SILENCE_MS, &c);

	fake_endpoint_set_fault(st->endpoint[1 - first], ENDPOINT_SILENT);
	g_assert_true(caller_wait(c, WAIT_MS));
	g_assert_cmpint(c->status, ==, 200);
	caller_free(c);
	fixture_free(st);
}

/*
 * Guards against a cut because the silent endpoint reports that it leaves: it
 * still completes its runs, but a call that left it may not return.
 */
static void
silent_endpoint_that_leaves(void)
{
	fixture_t *st = one_daemon(&stream, 2, "llm");
	caller_t *c;
	int first = call_and_fall_silent(
	    st, "POST", "/gen/a", GEN, LAST_EVENT, SILENCE_MS, &c);

	fixture_put_entry(st, first, "llm", true);
	fake_endpoint_set_fault(st->endpoint[1 - first], ENDPOINT_NOT_RUN);
	assert_stream(c, EVENTS);
	caller_free(c);
	fixture_free(st);
}

/* The same with the only endpoint: there is nothing to leave it for. */
static void
only_endpoint_is_silent_and_leaves(void)
{
	fixture_t *st = one_daemon(&stream, 1, "llm");
	caller_t *c;

	call_and_fall_silent(
	    st, "POST", "/gen/a", GEN, LAST_EVENT, SILENCE_MS, &c);
	fixture_put_entry(st, 0, "llm", true);
	assert_stream(c, EVENTS);
	caller_free(c);
	fixture_free(st);
}

/* The instance leaves while the only endpoint is silent. */
static void
silence_while_the_instance_leaves(void)
{
	fixture_t *st = one_daemon(&stream, 1, "llm");
	caller_t *c;

	call_and_fall_silent(
	    st, "POST", "/gen/a", GEN, LAST_EVENT, SILENCE_MS, &c);
	proc_signal(st->daemon[0], SIGTERM);
	assert_stream(c, EVENTS);
	caller_free(c);
	fixture_free(st);
}

/* The same, and the replacement refuses. */
static void
replacement_refuses_while_the_instance_leaves(void)
{
	fixture_t *st = one_daemon(&stream, 2, "llm");
	caller_t *c;
	int first = call_and_fall_silent(
	    st, "POST", "/gen/a", GEN, LAST_EVENT, SILENCE_MS, &c);

	fake_endpoint_set_fault(st->endpoint[1 - first], ENDPOINT_NOT_RUN);
	proc_signal(st->daemon[0], SIGTERM);
	assert_stream(c, EVENTS);
	caller_free(c);
	fixture_free(st);
}

/* GONE: a kept run ends when its caller leaves during the silence. */
static void
caller_leaves_during_the_silence(void)
{
	fixture_t *st = one_daemon(&long_stream, 1, "llm");
	const executed_call_t *r;
	caller_t *c;

	call_and_fall_silent(
	    st, "POST", "/gen/a", GEN, LAST_EVENT, SILENCE_MS, &c);
	/* The limit has passed: the call is kept, and looked for. */
	fixture_run(st, 1400);
	r = fake_endpoint_executed(st->endpoint[0])->pdata[0];
	g_assert_false(r->cancelled);
	caller_close(c);
	fixture_run(st, GONE_MS);
	g_assert_true(r->cancelled);
	caller_free(c);
	fixture_free(st);
}

/* Connections of callers that the daemon has open. */
static int
open_callers(fixture_t *st)
{
	int port = atoi(strrchr(st->caller[0], ':') + 1), i, n = 0;
	char *text, **line;

	g_assert_true(g_file_get_contents("/proc/net/tcp", &text, NULL, NULL));
	line = g_strsplit(text, "\n", -1);
	for (i = 1; line[i] != NULL; i++) {
		unsigned local, state;
		unsigned long inode;

		/* A socket that no process has open any more has no inode. */
		if (sscanf(line[i],
			"%*d: %*x:%x %*x:%*x %x %*x:%*x %*x:%*x %*x %*u %*d "
			"%lu",
			&local, &state, &inode) == 3 &&
		    (int)local == port && state != LISTENING && inode != 0)
			n++;
	}
	g_strfreev(line);
	g_free(text);
	return n;
}

static caller_t *
caller_that_doesnt_read(fixture_t *st)
{
	caller_t *c = caller_call(st, 0, "POST", "/gen/a", "r1", GEN);
	int bytes = READER_BUFFER;

	setsockopt(
	    c->http->watch.fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	http_conn_pause(c->http, true);
	return c;
}

/*
 * Guards against connections that last for ever: the caller never reads the
 * rest of its answer. The limit of idle connections, 5 s, is long over.
 */
static void
caller_that_never_reads(void)
{
	fixture_t *st = one_daemon(&big_stream, 1, "llm");
	caller_t *c = caller_that_doesnt_read(st);

	fixture_run(st, 1000);
	g_assert_cmpint(open_callers(st), ==, 1);
	fixture_run(st, UNREAD_MS);
	g_assert_cmpint(open_callers(st), ==, 0);
	caller_free(c);
	fixture_free(st);
}

/*
 * Does the daemon have a connection to endpoint 0 that the endpoint has closed
 * (CLOSE_WAIT), with bytes that it hasn't read?
 */
static bool
closed_and_unread(fixture_t *st)
{
	int port = atoi(strrchr(st->addr[0], ':') + 1), i;
	char *text, **line;
	bool found = false;

	g_assert_true(g_file_get_contents("/proc/net/tcp", &text, NULL, NULL));
	line = g_strsplit(text, "\n", -1);
	for (i = 1; line[i] != NULL; i++) {
		unsigned remote, state;
		unsigned long rx;

		if (sscanf(line[i], "%*d: %*x:%*x %*x:%x %x %*x:%lx", &remote,
			&state, &rx) == 3 &&
		    (int)remote == port)
			found |= state == CLOSE_WAIT && rx > 0;
	}
	g_strfreev(line);
	g_free(text);
	return found;
}

static long
processor_ticks(const proc_t *p)
{
	char *path = g_strdup_printf("/proc/%d/stat", (int)p->pid), *text;
	long user, sys;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	g_assert_cmpint(sscanf(strrchr(text, ')') + 2,
			    "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %ld "
			    "%ld",
			    &user, &sys),
	    ==, 2);
	g_free(text);
	g_free(path);
	return user + sys;
}

/*
 * The endpoint sends so many pieces of an answer and closes its connection; the
 * caller doesn't read. @return whether the daemon had stopped reading before
 * the end, but the end had come.
 */
static bool
closes_unread(int npiece)
{
	fake_endpoint_opts_t o = pieces;
	fixture_t *st;
	caller_t *c;
	long ticks = 0;
	bool reached;

	o.events = npiece;
	st = one_daemon(&o, 1, "llm");
	c = caller_that_doesnt_read(st);
	fixture_run(st, STOPPED_MS);
	fake_endpoint_free(st->endpoint[0]);
	st->nendpoint = 0;
	fixture_run(st, 50);
	reached = closed_and_unread(st);
	if (reached) {
		ticks = processor_ticks(st->daemon[0]);
		fixture_run(st, SPAN_MS);
		ticks = processor_ticks(st->daemon[0]) - ticks;
		g_assert_false(c->closed);
	}
	g_test_message("ticks in %d ms: %ld; %d pieces, reached %d", SPAN_MS,
	    ticks, npiece, reached);
	g_assert_cmpint(ticks, <, SPAN_TICKS_MAX);
	caller_free(c);
	g_free(st->addr[0]);
	g_free(st->id[0]);
	fixture_free(st);
	return reached;
}

/*
 * Guards against a loop that spins: an endpoint that isn't read, since the
 * caller is behind, closes its connection.
 */
static void
unread_endpoint_closes(void)
{
	int n;

	for (n = PIECES_MIN; n <= PIECES_MAX && !closes_unread(n); n += 2)
		;
	g_assert_cmpint(n, <=, PIECES_MAX);
}

static const char narrow_config[] =
    "{\"version\":1,\"routes\":[{\"name\":\"safe\",\"host\":\"h.example\","
    "\"path_prefix\":\"/safe/\",\"kind\":\"safe\",\"timeout_ms\":5000,"
    "\"target_latency_ms\":4000,\"priority\":2,\"service\":\"app\","
    "\"max_attempts\":2}],\"services\":[{\"name\":\"app\","
    "\"health_path\":\"/healthz\",\"max_connections\":4}],"
    "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":65536,"
    "\"header_timeout_ms\":700,\"idle_timeout_ms\":5000}}";

static bool
all_are_over(void *arg)
{
	caller_t **c = arg;
	int i;

	for (i = 0; i < NARROW_CALLS; i++)
		if (!c[i]->done && !c[i]->closed)
			return false;
	return true;
}

/*
 * Guards against a daemon that chooses among endpoints for ever: each has a
 * slot free, but this instance's share of its connections is in use, four each.
 * The call remembers only eight of them.
 */
static void
connections_in_use(int nendpoint)
{
	static const fake_endpoint_opts_t slow = { .plain_ms = 800 };
	fixture_t *st = fixture_new();
	fake_endpoint_t *more[NARROW_MAX];
	caller_t *c[NARROW_CALLS];
	int i, served = 0, port;
	char *text, *addr, id[16];

	fake_store_put(st->store, "config", "main", narrow_config);
	for (i = 0; i < nendpoint; i++) {
		fake_endpoint_opts_t o = slow;

		ports_take(&port, 1);
		addr = addr_of(port);
		snprintf(id, sizeof(id), "more-%d", i);
		o.addr = addr;
		o.id = id;
		more[i] = fake_endpoint_new(&st->loop, &o);
		text = fake_endpoint_entry(more[i], "app", "north", false);
		fake_store_put(st->store, "servers", id, text);
		g_free(text);
		g_free(addr);
	}
	fixture_start_daemon(st, 0, true);
	for (i = 0; i < NARROW_CALLS; i++) {
		snprintf(id, sizeof(id), "r%d", i);
		c[i] = caller_call(st, 0, "GET", "/safe/a", id,
		    "Deadline-Remaining: 4500\r\n");
	}
	fixture_run_until(st, all_are_over, c, WAIT_MS);
	for (i = 0; i < NARROW_CALLS; i++) {
		served += c[i]->done && c[i]->status == 200;
		caller_free(c[i]);
	}
	g_test_message("status: %d of %d served; ready page %d", served,
	    NARROW_CALLS, page_status(st, st->ready[0], "/v1/ready", NULL));
	g_assert_cmpint(served, ==, NARROW_CALLS);
	for (i = 0; i < nendpoint; i++)
		fake_endpoint_free(more[i]);
	fixture_free(st);
}

static void
connections_of_eight_endpoints_in_use(void)
{
	connections_in_use(8);
}

static void
connections_of_nine_endpoints_in_use(void)
{
	connections_in_use(NARROW_MAX);
}

/*
 * Guards against an end of the process: requests that were sent in one go are
 * each refused while the one before is still being handled.
 */
static void
many_requests_in_one_read(void)
{
	fixture_t *st = one_daemon(&plain, 1, "app");
	GString *t = g_string_new(NULL);
	caller_t *c;
	int i;

	for (i = 0; i < TOGETHER; i++)
		g_string_append(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	c = caller_send(st, 0, t->str);
	caller_wait(c, 2000);
	fixture_run(st, 500);
	g_assert_false(proc_ended(st->daemon[0], 0));
	g_assert_cmpint(
	    page_status(st, st->ready[0], "/v1/ready", NULL), ==, 200);
	caller_free(c);
	g_string_free(t, TRUE);
	fixture_free(st);
}

/* The product's own interface. */

static system_t *
small_system(int first_ms)
{
	system_opts_t o = { .nentry = 1,
		.ndomain = 1,
		.nengine = 1,
		.token_ms = 10,
		.first_ms = first_ms,
		.settings = "[service llm]\npromise_ms = 150\n" };
	system_t *s = system_start(&o);
	uint64_t n = system_apply_note(s, 0,
	    "[note]\nid = first\nbase = 0\n[add model m0]\nservice = llm\n"
	    "version = 1\nmemory_mb = 8000\ncopies = 1\nresumable = yes\n");

	g_assert_cmpuint(n, ==, 1);
	g_assert_true(system_in_force(s, 0, n, START_MS));
	/* Until the model is loaded. */
	g_assert_true(
	    system_chat_retry(s->entry[0].caller, "m0", "first", 5, CHAT_MS)
		.whole);
	return s;
}

/* Stop a process for a while during a chat, @p after ms after its start. */
static outcome_t
chat_with_a_stop(system_t *s, proc_t *p, ms_t after)
{
	background_t c = { .addr = s->entry[0].caller,
		.tokens = CHAT_TOKENS,
		.timeout = CHAT_MS };

	str_set(c.prompt, sizeof(c.prompt), "stopped");
	background_start(&c);
	clock_sleep(after);
	proc_signal(p, SIGSTOP);
	clock_sleep(STOP_MS);
	proc_signal(p, SIGCONT);
	background_join(&c, 1);
	g_test_message("status=%d tokens=%d whole=%d error=%d code=%s ran=%s "
		       "took=%d",
	    c.outcome.status, c.outcome.tokens, c.outcome.whole,
	    c.outcome.error_event, c.outcome.code, c.outcome.ran,
	    (int)c.outcome.took);
	return c.outcome;
}

/* Guards against an error because the only worker is silent for a while. */
static void
own_interface_worker_silent_in_a_stream(void)
{
	system_t *s = small_system(20);

	g_assert_true(chat_with_a_stop(s, s->worker[0].proc, 400).whole);
	system_stop(s);
}

/* The same before the first token. */
static void
own_interface_worker_silent_before_a_stream(void)
{
	system_t *s = small_system(300);

	g_assert_true(chat_with_a_stop(s, s->worker[0].proc, 100).whole);
	system_stop(s);
}

/*
 * Guards against a run that is ended as silent since entryd itself stood still:
 * the worker has sent all the while.
 */
static void
own_interface_entry_stands_still(void)
{
	system_t *s = small_system(20);
	reply_t r;

	g_assert_true(chat_with_a_stop(s, s->entry[0].entryd, 400).whole);
	r = http_call("GET", s->entry[0].caller, "/metrics", NULL, NULL, 2000);
	g_test_message("%d %s", r.status, r.body);
	g_assert_nonnull(strstr(r.body, "ebonypitch_endpoint_unknown_total 0"));
	reply_clear(&r);
	system_stop(s);
}

#define T(name) g_test_add_func("/review/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(silence_without_a_retry_budget);
	T(stream_keeps_budget_for_its_return);
	T(plain_call_keeps_budget_for_its_return);
	T(replacement_that_hangs);
	T(plain_replacement_that_hangs);
	T(silent_endpoint_that_leaves);
	T(only_endpoint_is_silent_and_leaves);
	T(silence_while_the_instance_leaves);
	T(replacement_refuses_while_the_instance_leaves);
	T(caller_leaves_during_the_silence);
	T(caller_that_never_reads);
	T(unread_endpoint_closes);
	T(connections_of_eight_endpoints_in_use);
	T(connections_of_nine_endpoints_in_use);
	T(many_requests_in_one_read);
	T(own_interface_worker_silent_in_a_stream);
	T(own_interface_worker_silent_before_a_stream);
	T(own_interface_entry_stands_still);
	return g_test_run();
}
