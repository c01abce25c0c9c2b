/*
 * One daemon, and endpoints or a store that answer with bytes without end.
 * Guards against a daemon that keeps such bytes until it is out of memory, or
 * reads them until its caller's deadline.
 */
#include "standin/endless_peer.h"
#include "standin/http_server.h"
#include "tests/fixture.h"

#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <glib/gstdio.h>

enum {
	MANY_CALLS = 80,      /* fewer than connections to an endpoint */
	CALLS = 6,	      /* at once */
	CALL_MS = 8000,	      /* time that a caller gives its call */
	ANSWER_MAX_MS = 4000, /* well before that */
	QUIET_MS = 300,
	NEW_VERSIONS = 40,
	LARGE_ANSWER = 6 << 20, /* bytes, more than the daemon holds */
	LARGE_EVENT = 200 << 10,
	/*
	 * Memory that a call may use above that of an idle daemon: what is held
	 * of its answer, at most 1 MB, and as much that isn't sent yet, both in
	 * buffers that double as they grow.
	 */
	CALL_MEMORY_KB = 4 << 10,
	MEMORY_SLACK_KB = 16 << 10,
	MEMORY_LIMIT_KB = 260 << 10, /* limits.memory_mb of the settings */
};

/* By the hashes of their ids, this endpoint is preferred to ep-0. */
static const char peer_id[] = "endless-26";

typedef struct endless_case {
	const char *name;
	endless_kind_t kind;
	bool slow, stream;
} endless_case_t;

typedef struct scene {
	fixture_t *st;
	endless_peer_t *peer;
	char *addr, *log;
	long idle_kb;
	uint64_t sent; /* by the peer, when it was last asked */
	ms_t sent_at;  /* when that was last more */
} scene_t;

/* Routes whose timeouts are as long as the time that the callers give. */
static const char long_routes[] =
    ",{\"name\":\"long\",\"host\":\"h.example\",\"path_prefix\":\"/long/\","
    "\"kind\":\"unsafe\",\"timeout_ms\":8000,\"target_latency_ms\":300,"
    "\"priority\":2,\"service\":\"app\",\"max_attempts\":2},"
    "{\"name\":\"longsafe\",\"host\":\"h.example\",\"path_prefix\":"
    "\"/longsafe/\",\"kind\":\"safe\",\"timeout_ms\":8000,"
    "\"target_latency_ms\":300,\"priority\":2,\"service\":\"app\","
    "\"max_attempts\":2},"
    "{\"name\":\"gen2\",\"host\":\"h.example\",\"path_prefix\":\"/gen2/\","
    "\"kind\":\"streaming\",\"timeout_ms\":8000,\"target_latency_ms\":3000,"
    "\"priority\":1,\"service\":\"llm\",\"max_attempts\":3,\"sticky\":true,"
    "\"resumable\":true,\"gap_aim_ms\":400},"
    "{\"name\":\"gen3\",\"host\":\"h.example\",\"path_prefix\":\"/gen3/\","
    "\"kind\":\"streaming\",\"timeout_ms\":8000,\"target_latency_ms\":3000,"
    "\"priority\":1,\"service\":\"llm\",\"max_attempts\":1,\"sticky\":true,"
    "\"resumable\":false,\"gap_aim_ms\":400}";

static const char plain_headers[] = "Deadline-Remaining: 8000\r\n";
static const char stream_headers[] =
    "Model: m1\r\nToken-Usage: 100,20\r\nDeadline-Remaining: 8000\r\n";

static const fake_endpoint_opts_t plain = { .plain_ms = 20 };
static const fake_endpoint_opts_t stream = {
	.model = "m1", .events = 8, .event_gap = 20, .adapter_slots = 4
};

/* The peak of the daemon's memory stays in bounds, and it runs. */
static void
assert_memory(const scene_t *s, int calls)
{
	long peak,
	    bound = s->idle_kb + calls * CALL_MEMORY_KB + MEMORY_SLACK_KB;

	g_assert_false(proc_ended(s->st->daemon[0], 0));
	peak = proc_memory_kb(s->st->daemon[0], "VmHWM:");
	g_test_message("memory: idle %ld KB, peak %ld KB", s->idle_kb, peak);
	g_assert_cmpint(peak, <, bound);
	g_assert_cmpint(peak, <, MEMORY_LIMIT_KB);
}

static int
count_lines(const scene_t *s, const char *part)
{
	char *text = NULL, *at;
	int n = 0;

	g_assert_true(g_file_get_contents(s->log, &text, NULL, NULL));
	for (at = text; (at = strstr(at, part)) != NULL; at += strlen(part))
		n++;
	g_free(text);
	return n;
}

static void
start_logged_daemon(scene_t *s)
{
	int fd;

	s->log = g_build_filename(s->st->dir, "daemon.log", NULL);
	fd = open(s->log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0666);
	g_assert_cmpint(fd, !=, -1);
	proc_output(fd);
	fixture_start_daemon(s->st, 0, true);
	close(fd);
	s->idle_kb = proc_memory_kb(s->st->daemon[0], "VmRSS:");
}

static void
put_peer_entry(
    scene_t *s, const char *id, const char *service, const char *models)
{
	char *text = g_strdup_printf(
	    "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"north\","
	    "\"version\":\"v1\",\"slots\":100,\"state\":\"ready\","
	    "\"cold_left_ms\":0,\"born\":1000,\"seq\":1%s}",
	    service, s->addr, models);

	fake_store_put(s->st->store, "servers", id, text);
	g_free(text);
}

static scene_t *
scene_new(
    endless_kind_t kind, bool slow, const char *service, const char *models)
{
	scene_t *s = g_new0(scene_t, 1);
	int port;

	s->st = fixture_new();
	ports_take(&port, 1);
	s->addr = addr_of(port);
	s->peer = endless_peer_new(&s->st->loop, s->addr, kind, slow);
	fixture_put_config(s->st, long_routes);
	put_peer_entry(s, peer_id, service, models);
	start_logged_daemon(s);
	return s;
}

static void
scene_free(scene_t *s)
{
	g_remove(s->log);
	if (s->peer != NULL)
		endless_peer_free(s->peer);
	fixture_free(s->st);
	g_free(s->addr);
	g_free(s->log);
	g_free(s);
}

static bool
endpoint_is_known(void *arg)
{
	scene_t *s = arg;

	return count_lines(s, "endpoint=ep-0 service=") > 0;
}

/* Neither a success nor a status that promises that it hasn't run. */
static void
assert_failed(const caller_t *c)
{
	g_test_message("status %d, done %d, %zu bytes, after %d ms", c->status,
	    c->done, buf_len(&c->body), (int)(c->ended_at - c->started_at));
	if (c->done)
		g_assert_cmpint(c->status, ==, 502);
	g_assert_cmpint(c->ended_at - c->started_at, <=, ANSWER_MAX_MS);
}

static bool
peer_has_request(void *arg)
{
	return endless_peer_requests(((scene_t *)arg)->peer) > 0;
}

static bool
failure_is_logged(void *arg)
{
	return count_lines(arg, "event=attempt-failed request=once") > 0;
}

static bool
peer_has_no_connection(void *arg)
{
	return endless_peer_open(((scene_t *)arg)->peer) == 0;
}

/* A sound endpoint in another domain, so that the other one is preferred. */
static void
add_sound_endpoint(scene_t *s, bool engine)
{
	const char *service = engine ? "llm" : "app";
	int i = fixture_add_endpoint(s->st, engine ? &stream : &plain, service);
	char *text =
	    fake_endpoint_entry(s->st->endpoint[i], service, "south", false);

	fake_store_put(s->st->store, "servers", s->st->id[i], text);
	g_free(text);
	g_assert_true(
	    fixture_run_until(s->st, endpoint_is_known, s, ANSWER_MAX_MS));
}

static caller_t *
call_case(scene_t *s, const endless_case_t *k, const char *id, bool once)
{
	const char *path = k->stream ? (once ? "/gen3/a" : "/gen2/a")
				     : (once ? "/long/a" : "/longsafe/a");

	return caller_call(s->st, 0, "POST", path, id,
	    k->stream ? stream_headers : plain_headers);
}

/* The sound endpoint answered, and nothing of another answer was passed on. */
static void
assert_served(const endless_case_t *k, const caller_t *c)
{
	char *body = client_request_body(c), *at;
	int i = 0;

	g_test_message("status %d, done %d, after %d ms", c->status, c->done,
	    (int)(c->ended_at - c->started_at));
	g_assert_true(c->done);
	g_assert_cmpint(c->status, ==, 200);
	g_assert_cmpint(c->ended_at - c->started_at, <=, ANSWER_MAX_MS);
	if (!k->stream)
		g_assert_true(g_str_has_suffix(body, " by ep-0"));
	for (at = body; k->stream && *at != '\0'; i++) {
		int id = 0;

		g_assert_cmpint(sscanf(at, "id: %d\ndata:", &id), ==, 1);
		g_assert_cmpint(id, ==, i + 1);
		at = strstr(at, "\n\n");
		g_assert_nonnull(at);
		at += 2;
	}
	g_assert_cmpint(i, ==, k->stream ? stream.events : 0);
	g_free(body);
}

/*
 * Guards against an answer without end that is kept, passed on as a success,
 * or read until the caller's deadline, and against a breaker that ignores it.
 */
static void
endless_answer_fails_its_attempt(gconstpointer user)
{
	const endless_case_t *k = user;
	scene_t *s = scene_new(k->kind, k->slow, k->stream ? "llm" : "app",
	    k->stream ? ",\"models\":[{\"name\":\"m1\",\"version\":1,"
			"\"adapters\":[]}]"
		      : "");
	caller_t *once = call_case(s, k, "once", true), *c[CALLS];
	char id[16];
	int i, requests;

	g_assert_true(
	    fixture_run_until(s->st, peer_has_request, s, ANSWER_MAX_MS));
	add_sound_endpoint(s, k->stream);
	for (i = 0; i < CALLS; i++) {
		g_snprintf(id, sizeof(id), "r%d", i);
		c[i] = call_case(s, k, id, false);
	}
	g_assert_true(caller_wait(once, CALL_MS + 1000));
	assert_failed(once);
	/* Lines are written after the answer. */
	g_assert_true(
	    fixture_run_until(s->st, failure_is_logged, s, ANSWER_MAX_MS));
	g_assert_cmpint(
	    count_lines(s, "event=attempt-failed request=once"), ==, 1);
	for (i = 0; i < CALLS; i++) {
		g_assert_true(caller_wait(c[i], CALL_MS + 1000));
		/* Part of a signed body was passed on: no other can follow. */
		if (k->kind == ENDLESS_SIGNED)
			assert_failed(c[i]);
		else
			assert_served(k, c[i]);
		caller_free(c[i]);
	}
	requests = endless_peer_requests(s->peer);
	g_assert_cmpint(requests, >=, 3);
	if (!k->stream) {
		/* The breaker is open. */
		c[0] = call_case(s, k, "next", false);
		g_assert_true(caller_wait(c[0], CALL_MS + 1000));
		assert_served(k, c[0]);
		caller_free(c[0]);
		g_assert_cmpint(endless_peer_requests(s->peer), ==, requests);
	}
	assert_memory(s, 1 + CALLS);
	/* Nothing that was given up is still being read. */
	g_assert_true(
	    fixture_run_until(s->st, peer_has_no_connection, s, ANSWER_MAX_MS));
	caller_free(once);
	scene_free(s);
}

/*
 * Guards against bytes after a complete answer that spoil it, or the next one
 * on its connection.
 */
static void
endless_bytes_after_an_answer_belong_to_none(gconstpointer user)
{
	scene_t *s =
	    scene_new(ENDLESS_SURPLUS, GPOINTER_TO_INT(user), "app", "");
	int i;

	for (i = 0; i < CALLS; i++) {
		caller_t *c = caller_call(
		    s->st, 0, "POST", "/long/a", "once", plain_headers);
		char *body;

		g_assert_true(caller_wait(c, CALL_MS));
		body = client_request_body(c);
		g_assert_cmpint(c->status, ==, 200);
		g_assert_cmpstr(body, ==, "abc");
		g_free(body);
		caller_free(c);
		fixture_run(s->st, 150);
	}
	fixture_run(s->st, 150);
	assert_memory(s, 1);
	g_assert_cmpint(endless_peer_open(s->peer), ==, 0);
	g_assert_cmpint(count_lines(s, "event=answer-surplus"), >=, CALLS);
	scene_free(s);
}

static void
expect_plain_call(scene_t *s, const char *id)
{
	caller_t *c =
	    caller_call(s->st, 0, "POST", "/long/a", id, plain_headers);

	g_assert_true(caller_wait(c, CALL_MS));
	g_assert_cmpint(c->status, ==, 200);
	g_assert_cmpint(c->ended_at - c->started_at, <=, ANSWER_MAX_MS);
	caller_free(c);
}

static bool
last_config_is_known(void *arg)
{
	scene_t *s = arg;
	char *part =
	    g_strdup_printf("event=config version=%d ", s->st->config_version);
	bool known = count_lines(s, part) > 0;

	g_free(part);
	return known;
}

/*
 * Guards against a store whose answers to lists, watches and writes don't end:
 * the daemon serves with what it knows, in bounded memory, and goes on when
 * the store is sound again.
 */
static void
endless_store_answers_are_dropped(gconstpointer user)
{
	const endless_case_t *k = user;
	scene_t *s = g_new0(scene_t, 1);
	fixture_t *st = s->st = fixture_new();
	ms_t end;
	int i;

	fixture_put_config(st, long_routes);
	fixture_add_endpoint(st, &plain, "app");
	start_logged_daemon(s);
	expect_plain_call(s, "before");
	fake_store_free(st->store);
	loop_turn(&st->loop, 0);
	s->peer = endless_peer_new(&st->loop, st->store_addr, k->kind, k->slow);
	end = clock_now(&machine_clock) + CALL_MS;
	while (count_lines(s, "event=store-answer-dropped") < 4) {
		expect_plain_call(s, "meanwhile");
		g_assert_cmpint(clock_now(&machine_clock), <, end);
	}
	assert_memory(s, CALLS);
	endless_peer_free(s->peer);
	s->peer = NULL;
	loop_turn(&st->loop, 0);
	st->store = fake_store_new(&st->loop, st->store_addr);
	fixture_put_entry(st, 0, "app", false);
	/* Its revisions have to get past those of the first store. */
	for (i = 0; i < NEW_VERSIONS; i++)
		fixture_put_config(st, long_routes);
	g_assert_true(fixture_run_until(st, last_config_is_known, s, CALL_MS));
	expect_plain_call(s, "after");
	scene_free(s);
}

static bool
answers_are_dropped(void *arg)
{
	return endless_peer_requests(((scene_t *)arg)->peer) >= 2 &&
	       count_lines(arg, "event=endpoint-answer-dropped") >= 2;
}

/*
 * Guards against an endpoint whose answer to an order or a report doesn't end:
 * the daemon's memory stays bounded and calls at other endpoints are served.
 */
static void
endless_order_answers_are_dropped(gconstpointer user)
{
	const endless_case_t *k = user;
	scene_t *s = scene_new(k->kind, k->slow, "llm", ",\"models\":[]");
	caller_t *c;

	fixture_add_endpoint(s->st, &plain, "app");
	g_assert_true(
	    fixture_run_until(s->st, endpoint_is_known, s, ANSWER_MAX_MS));
	c = caller_call(s->st, 0, "POST", "/gen2/a", "r1", stream_headers);
	g_assert_true(
	    fixture_run_until(s->st, answers_are_dropped, s, CALL_MS));
	expect_plain_call(s, "r2");
	g_assert_true(c->status == 0 || c->status == 503);
	caller_free(c);
	assert_memory(s, CALLS);
	scene_free(s);
}

static bool
entries_are_known(void *arg)
{
	return count_lines(arg, "endpoint=second service=") > 0 &&
	       count_lines(arg, "endpoint=third service=") > 0;
}

static bool
all_calls_arrived(void *arg)
{
	return endless_peer_requests(((scene_t *)arg)->peer) == MANY_CALLS;
}

/* The peer couldn't send a byte for as long as it takes to be read again. */
static bool
nothing_is_read(void *arg)
{
	scene_t *s = arg;
	ms_t now = clock_now(&machine_clock);

	if (endless_peer_sent(s->peer) != s->sent) {
		s->sent = endless_peer_sent(s->peer);
		s->sent_at = now;
	}
	return now - s->sent_at > QUIET_MS;
}

/*
 * Guards against a bound for each call that many calls exceed together: their
 * callers don't read, so the daemon holds what it may of each answer.
 */
static void
many_endless_answers_fit_the_memory(void)
{
	scene_t *s = scene_new(ENDLESS_SIGNED, false, "app", "");
	caller_t *c[MANY_CALLS];
	char id[16];
	int i;

	/* One endpoint doesn't get that many connections. */
	put_peer_entry(s, "second", "app", "");
	put_peer_entry(s, "third", "app", "");
	g_assert_true(
	    fixture_run_until(s->st, entries_are_known, s, ANSWER_MAX_MS));
	for (i = 0; i < MANY_CALLS; i++) {
		g_snprintf(id, sizeof(id), "r%d", i);
		c[i] =
		    caller_call(s->st, 0, "POST", "/long/a", id, plain_headers);
		http_conn_pause(c[i]->http, true);
	}
	g_assert_true(
	    fixture_run_until(s->st, all_calls_arrived, s, ANSWER_MAX_MS));
	g_assert_true(
	    fixture_run_until(s->st, nothing_is_read, s, ANSWER_MAX_MS));
	g_assert_false(proc_ended(s->st->daemon[0], 0));
	g_test_message(
	    "peak %ld KB", proc_memory_kb(s->st->daemon[0], "VmHWM:"));
	/* A quarter for what is held, and as much for what isn't sent. */
	g_assert_cmpint(proc_memory_kb(s->st->daemon[0], "VmHWM:"), <,
	    s->idle_kb + MEMORY_LIMIT_KB / 2);
	for (i = 0; i < MANY_CALLS; i++)
		caller_free(c[i]);
	scene_free(s);
}

/* A sound endpoint with large answers. */

static char
large_byte(size_t at)
{
	return (char)('a' + at % 23);
}

static void
add_large(buf_t *out, size_t n)
{
	char *bytes = g_malloc(n);
	size_t i;

	for (i = 0; i < n; i++)
		bytes[i] = large_byte(i);
	buf_add(out, bytes, n);
	g_free(bytes);
}

static void
answer_large(server_conn_t *c)
{
	http_conn_t *k = c->http;
	const char *id = head_get(&k->head, "Request-Id");
	bool events = strncmp(head_target(&k->head), "/gen", 4) == 0;
	char line[64];
	int i, n;

	buf_fmt(&k->out,
	    "HTTP/1.1 %s\r\nRequest-Id: %s\r\nServer-Signature: s1\r\n",
	    strstr(head_target(&k->head), "error") != NULL ? "500 Error"
							   : "200 OK",
	    id);
	if (!events) {
		buf_fmt(&k->out, "Content-Length: %d\r\n\r\n", LARGE_ANSWER);
		add_large(&k->out, LARGE_ANSWER);
	} else {
		buf_str(&k->out, "Content-Type: text/event-stream\r\n"
				 "Transfer-Encoding: chunked\r\n\r\n");
		for (i = 1; i <= CALLS; i++) {
			n = g_snprintf(line, sizeof(line), "id: %d\ndata: ", i);
			buf_fmt(&k->out, "%x\r\n%s", LARGE_EVENT + n + 2, line);
			add_large(&k->out, LARGE_EVENT);
			buf_str(&k->out, "\n\n\r\n");
		}
		buf_str(&k->out, "0\r\n\r\n");
	}
	http_conn_flush(k);
	http_conn_next(k);
}

static const http_server_ops_t large_ops = { .size = sizeof(server_conn_t),
	.done = answer_large };

static void
assert_large(const char *p, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (p[i] != large_byte(i))
			g_error("byte %zu differs", i);
}

static void
assert_large_events(const caller_t *c)
{
	const char *p = c->body.p + c->body.off;
	char line[64];
	int i, n;

	for (i = 1; i <= CALLS; i++) {
		n = g_snprintf(line, sizeof(line), "id: %d\ndata: ", i);
		g_assert_cmpint(memcmp(p, line, (size_t)n), ==, 0);
		assert_large(p + n, LARGE_EVENT);
		p += n + LARGE_EVENT + 2;
	}
	g_assert_true(p == c->body.p + c->body.len);
}

typedef struct large_case {
	const char *path, *headers;
	int status;
	bool events;
} large_case_t;

static const large_case_t large_answer = { "/long/a", plain_headers, 200,
	false };
static const large_case_t large_events = { "/gen3/a", stream_headers, 200,
	true };
static const large_case_t large_error = { "/longsafe/error", plain_headers, 500,
	false };

/*
 * Guards against limits that cut a sound answer that is merely large, and
 * against a large error that is followed by another attempt's answer.
 */
static void
large_answers_pass_unchanged(gconstpointer user)
{
	const large_case_t *k = user;
	bool events = k->events;
	scene_t *s = g_new0(scene_t, 1);
	http_server_t server;
	caller_t *c[CALLS];
	char id[16];
	int i, port;

	s->st = fixture_new();
	ports_take(&port, 1);
	s->addr = addr_of(port);
	http_server_open(&server, &s->st->loop, s->addr, &large_ops, NULL);
	fixture_put_config(s->st, long_routes);
	put_peer_entry(s, peer_id, events ? "llm" : "app",
	    events ? ",\"models\":[{\"name\":\"m1\",\"version\":1,"
		     "\"adapters\":[]}]"
		   : "");
	if (k->status != 200)
		put_peer_entry(s, "second", "app", "");
	start_logged_daemon(s);
	for (i = 0; i < CALLS; i++) {
		g_snprintf(id, sizeof(id), "r%d", i);
		c[i] = caller_call(s->st, 0, "POST", k->path, id, k->headers);
	}
	for (i = 0; i < CALLS; i++) {
		g_assert_true(caller_wait(c[i], CALL_MS));
		g_assert_true(c[i]->done);
		g_assert_cmpint(c[i]->status, ==, k->status);
		if (events) {
			assert_large_events(c[i]);
		} else {
			g_assert_cmpuint(
			    buf_len(&c[i]->body), ==, LARGE_ANSWER);
			assert_large(
			    c[i]->body.p + c[i]->body.off, LARGE_ANSWER);
		}
		caller_free(c[i]);
	}
	assert_memory(s, CALLS);
	http_server_close(&server);
	scene_free(s);
}

static const endless_case_t answers[] = {
	{ "status-line", ENDLESS_STATUS_LINE, false, false },
	{ "status-line-slow", ENDLESS_STATUS_LINE, true, false },
	{ "field", ENDLESS_FIELD, false, false },
	{ "field-slow", ENDLESS_FIELD, true, false },
	{ "fields", ENDLESS_FIELDS, false, false },
	{ "fields-slow", ENDLESS_FIELDS, true, false },
	{ "interim", ENDLESS_INTERIM, false, false },
	{ "interim-slow", ENDLESS_INTERIM, true, false },
	{ "foreign", ENDLESS_FOREIGN, false, false },
	{ "foreign-chunked", ENDLESS_FOREIGN_CHUNKED, false, false },
	{ "foreign-chunked-slow", ENDLESS_FOREIGN_CHUNKED, true, false },
	{ "foreign-answers", ENDLESS_FOREIGN_ANSWERS, false, false },
	{ "foreign-answers-slow", ENDLESS_FOREIGN_ANSWERS, true, false },
	{ "unsigned", ENDLESS_UNSIGNED, false, false },
	{ "unsigned-slow", ENDLESS_UNSIGNED, true, false },
	{ "unsigned-length", ENDLESS_UNSIGNED_LENGTH, false, false },
	/* A slow one can't be told from a sound answer that takes long. */
	{ "signed", ENDLESS_SIGNED, false, false },
	{ "not-executed", ENDLESS_NOT_EXECUTED, false, false },
	{ "not-executed-slow", ENDLESS_NOT_EXECUTED, true, false },
	{ "busy", ENDLESS_BUSY, false, false },
	{ "chunk-extension", ENDLESS_CHUNK_EXTENSION, false, false },
	{ "chunk-extension-slow", ENDLESS_CHUNK_EXTENSION, true, false },
	{ "trailers", ENDLESS_TRAILERS, false, false },
	{ "trailers-slow", ENDLESS_TRAILERS, true, false },
	{ "event", ENDLESS_EVENT, false, true },
	{ "event-slow", ENDLESS_EVENT, true, true },
	{ "first-event", ENDLESS_FIRST_EVENT, false, true },
	{ "first-event-slow", ENDLESS_FIRST_EVENT, true, true },
	{ "events-without-id", ENDLESS_NO_ID, false, true },
	{ "events-without-id-slow", ENDLESS_NO_ID, true, true },
	{ "events-with-same-id", ENDLESS_SAME_ID, false, true },
	{ "events-with-same-id-slow", ENDLESS_SAME_ID, true, true },
	{ "stream-foreign", ENDLESS_FOREIGN_CHUNKED, false, true },
};

static const endless_case_t others[] = {
	{ "status-line", ENDLESS_STATUS_LINE, false, false },
	{ "fields", ENDLESS_FIELDS, false, false },
	{ "interim", ENDLESS_INTERIM, false, false },
	{ "json", ENDLESS_JSON, false, false },
	{ "json-slow", ENDLESS_JSON, true, false },
	{ "trailers", ENDLESS_TRAILERS, false, false },
};

static void
add_cases(const char *path, const endless_case_t *k, size_t n, GTestDataFunc fn)
{
	size_t i;

	for (i = 0; i < n; i++) {
		char *name = g_strdup_printf("%s/%s", path, k[i].name);

		g_test_add_data_func(name, &k[i], fn);
		g_free(name);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	add_cases("/endless/answer", answers, G_N_ELEMENTS(answers),
	    endless_answer_fails_its_attempt);
	add_cases("/endless/store", others, G_N_ELEMENTS(others),
	    endless_store_answers_are_dropped);
	add_cases("/endless/order", others, G_N_ELEMENTS(others),
	    endless_order_answers_are_dropped);
	g_test_add_data_func("/endless/surplus", GINT_TO_POINTER(0),
	    endless_bytes_after_an_answer_belong_to_none);
	g_test_add_data_func("/endless/surplus-slow", GINT_TO_POINTER(1),
	    endless_bytes_after_an_answer_belong_to_none);
	g_test_add_func(
	    "/endless/many-answers", many_endless_answers_fit_the_memory);
	g_test_add_data_func("/endless/sound/large-answer", &large_answer,
	    large_answers_pass_unchanged);
	g_test_add_data_func("/endless/sound/large-events", &large_events,
	    large_answers_pass_unchanged);
	g_test_add_data_func("/endless/sound/large-error", &large_error,
	    large_answers_pass_unchanged);
	return g_test_run();
}
