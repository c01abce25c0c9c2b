/*
 * The endpoint client with stand-ins that fail while a call, an order or a load
 * report is under way: a call that ran must not be reported as not run, and no
 * token of another call may be delivered.
 */
#include "endpoint/endpoint.h"
#include "standin/token.h"
#include "tests/proc.h"
#include "tests/system.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <glib.h>
#include <jansson.h>

enum {
	TOKENS = 8,
	TIMEOUT_MS = 1500, /* of a call */
	TOKEN_TIMEOUT_MS = 400,
	WAIT_MS = 10000, /* then the test fails */
	EVENTS = 1024,
};

static const char prompt[] = "friction trace of runway 17 #8";

typedef struct fixture {
	proc_t *proc;
	char *addr;
	ring_t *events;
	endpoint_t *ep;
	settings_t settings;
	uint64_t tag;
} fixture_t;

/* The events of a call. */
typedef struct call_result {
	call_event_t *end;
	GString *text;
	uint32_t tokens;
	char id[ID_MAX];
} call_result_t;

static void
set_faults(const fixture_t *r, const char *faults)
{
	reply_t a = http_call(
	    "POST", r->addr, "/control/faults", NULL, faults, WAIT_MS);

	g_assert_cmpint(a.status, ==, 200);
	reply_clear(&a);
}

static json_t *
get_record(const fixture_t *r)
{
	reply_t a =
	    http_call("GET", r->addr, "/control/record", NULL, NULL, WAIT_MS);
	json_t *j = json_loads(a.body, 0, NULL);

	g_assert_nonnull(j);
	reply_clear(&a);
	return j;
}

/* How often the stand-in ran the call with this id. */
static int
run_count(const fixture_t *r, const char *id)
{
	json_t *j = get_record(r), *list, *item;
	size_t i;
	int n = 0;

	list = json_object_get(j, "calls");
	json_array_foreach(list, i, item) n +=
	    strcmp(json_string_value(json_object_get(item, "id")), id) == 0;
	list = json_object_get(j, "runs");
	json_array_foreach(list, i,
	    item) if (strcmp(json_string_value(json_object_get(item, "id")),
			  id) == 0) n +=
	    (int)json_integer_value(json_object_get(item, "count"));
	json_decref(j);
	return n;
}

static bool
is_ready(void *user)
{
	orders_t *o = orders_new(WAIT_MS, NULL);
	load_report_t rep;
	bool ready = orders_read_load(o, user, &rep, NULL) == 0 &&
		     rep.nresident == 1 &&
		     rep.resident[0].state == RESIDENT_READY;

	free(rep.resident);
	orders_free(o);
	return ready;
}

/* Address the order to the process that answers now. */
static void
set_incarnation(order_t *order, const char *addr)
{
	orders_t *o = orders_new(WAIT_MS, NULL);
	load_report_t rep;

	g_assert_cmpint(orders_read_load(o, addr, &rep, NULL), ==, 0);
	str_set(
	    order->incarnation, sizeof(order->incarnation), rep.incarnation);
	free(rep.resident);
	orders_free(o);
}

static void
load_model(const char *addr)
{
	order_t order = { .kind = ORDER_LOAD,
		.number = 1,
		.fencing_token = 1,
		.model = "m",
		.version = 2,
		.memory_mb = 1000 };
	orders_t *o = orders_new(WAIT_MS, NULL);

	set_incarnation(&order, addr);
	g_assert_cmpint(orders_send(o, addr, &order, NULL), ==, 0);
	orders_free(o);
	g_assert_true(eventually(is_ready, (void *)addr, WAIT_MS));
}

static void
fixture_start(
    fixture_t *r, const char *standin, const char *option, const char *value)
{
	int port;

	memset(r, 0, sizeof(*r));
	ports_take(&port, 1);
	r->addr = addr_of(port);
	r->proc = proc_start(
	    standin, "--listen", r->addr, "--id", "w1", option, value, NULL);
	g_assert_true(http_until(r->addr, "/v1/load", 200, WAIT_MS));
	if (strcmp(standin, "standin-engine") == 0)
		load_model(r->addr);
	settings_init(&r->settings);
	r->events = ring_new(EVENTS);
	r->ep =
	    endpoint_new(&(endpoint_opts_t){ &r->settings, r->events }, NULL);
	g_assert_nonnull(r->ep);
}

static void
fixture_stop(fixture_t *r)
{
	call_event_t *ev;

	endpoint_free(r->ep);
	while ((ev = ring_pop(r->events)) != NULL)
		call_event_free(ev);
	ring_free(r->events);
	proc_kill(r->proc);
	g_free(r->addr);
}

static call_spec_t *
spec_new(fixture_t *r, bool plain, const char *id)
{
	call_spec_t *s = calloc(1, sizeof(*s));

	s->tag = ++r->tag;
	str_set(s->addr, sizeof(s->addr), r->addr);
	str_set(s->request, sizeof(s->request), id);
	s->timeout = TIMEOUT_MS;
	s->token_timeout = TOKEN_TIMEOUT_MS;
	s->plain = plain;
	if (plain) {
		str_set(s->method, sizeof(s->method), "POST");
		str_set(s->path, sizeof(s->path), "/calibrations");
		str_set(s->key, sizeof(s->key), id);
		s->body = strdup("{\"trailer\":4}");
		s->body_len = strlen(s->body);
	} else {
		str_set(s->model, sizeof(s->model), "m");
		s->version = 2;
		s->prompt = strdup(prompt);
		s->max_tokens = 100;
	}
	return s;
}

static call_result_t
await_end(fixture_t *r, uint64_t tag)
{
	call_result_t g = { .text = g_string_new(NULL) };
	call_event_t *ev;

	while (g.end == NULL) {
		ev = ring_wait(r->events, WAIT_MS);
		g_assert_nonnull(ev);
		g_assert_cmpuint(ev->tag, ==, tag);
		if (ev->kind == EVENT_END) {
			g.end = ev;
			break;
		}
		g_string_append(g.text, ev->text);
		g.tokens++;
		call_event_free(ev);
	}
	return g;
}

static call_result_t
run_call(fixture_t *r, call_spec_t *s)
{
	uint64_t tag = s->tag;
	char id[ID_MAX];
	call_result_t g;

	str_set(id, sizeof(id), s->request);
	g_assert_true(endpoint_start(r->ep, s));
	g = await_end(r, tag);
	str_set(g.id, sizeof(g.id), id);
	return g;
}

static void
call_result_clear(call_result_t *g)
{
	call_event_free(g->end);
	g_string_free(g->text, TRUE);
}

/* The received tokens are those of the call's own answer, from an offset. */
static void
check_text(const call_result_t *g, uint32_t from)
{
	GString *want = g_string_new(NULL);
	char token[TOKEN_MAX];
	uint32_t k;

	for (k = 0; k < g->tokens; k++) {
		token_text(token, sizeof(token), prompt, from + k);
		g_string_append(want, token);
	}
	g_assert_cmpstr(g->text->str, ==, want->str);
	g_string_free(want, TRUE);
}

enum {
	ANY = -1
};

typedef struct row {
	const char *name, *faults;
	bool plain;
	call_outcome_t want;
	int ran;	  /* times, as recorded by the stand-in */
	int tokens;	  /* received, or ANY */
	const char *path; /* replaces the path or model */
} row_t;

static const row_t rows[] = {
	{ "engine, no fault", "{}", false, CALL_DONE, 1, TOKENS, NULL },
	{ "refused", "{\"refuse\":1}", false, CALL_REFUSED, 0, 0, NULL },
	{ "not resident", "{}", false, CALL_REFUSED, 0, 0, "other-model" },
	{ "reply dropped", "{\"drop_replies\":1}", false, CALL_UNKNOWN, 1, 0,
	    NULL },
	{ "cut before the first token", "{\"cut_after\":0}", false,
	    CALL_UNKNOWN, 1, 0, NULL },
	{ "cut after one", "{\"cut_after\":1}", false, CALL_UNKNOWN, 1, 1,
	    NULL },
	{ "cut before the end marker", "{\"cut_after\":8}", false, CALL_UNKNOWN,
	    1, TOKENS, NULL },
	{ "no end marker", "{\"no_end\":true}", false, CALL_UNKNOWN, 1, TOKENS,
	    NULL },
	{ "crossed with another answer", "{\"cross_events\":1}", false,
	    CALL_UNKNOWN, 1, 0, NULL },
	{ "events twice", "{\"double_events\":5}", false, CALL_DONE, 1, TOKENS,
	    NULL },
	{ "events twice, then cut", "{\"double_events\":5,\"cut_after\":4}",
	    false, CALL_UNKNOWN, 1, 4, NULL },
	{ "too slow between tokens", "{\"slow_factor\":40}", false,
	    CALL_UNKNOWN, 1, ANY, NULL },
	{ "slow before the first", "{\"delay_ms\":300}", false, CALL_DONE, 1,
	    TOKENS, NULL },
	{ "frozen", "{\"freeze_ms\":2500}", false, CALL_UNKNOWN, ANY, 0, NULL },

	{ "service, no fault", "{}", true, CALL_DONE, 1, 0, NULL },
	{ "service drops the reply", "{\"drop_replies\":1}", true, CALL_UNKNOWN,
	    1, 0, NULL },
	{ "service fails", "{\"fail\":1}", true, CALL_FAILED, 1, 0, NULL },
	{ "service is slow", "{\"delay_ms\":300}", true, CALL_DONE, 1, 0,
	    NULL },
	{ "service is frozen", "{\"freeze_ms\":2500}", true, CALL_UNKNOWN, ANY,
	    0, NULL },
	{ "path that can't be sent", "{}", true, CALL_REFUSED, 0, 0, "/a\nb" },
};

static void
check_row(gconstpointer user)
{
	const row_t *row = user;
	call_spec_t *s;
	fixture_t r;
	call_result_t g;

	fixture_start(&r, row->plain ? "standin-service" : "standin-engine",
	    row->plain ? NULL : "--token-ms", "15");
	s = spec_new(&r, row->plain, "call-1");
	if (row->path != NULL && row->plain)
		str_set(s->path, sizeof(s->path), row->path);
	else if (row->path != NULL)
		str_set(s->model, sizeof(s->model), row->path);
	set_faults(&r, row->faults);
	g = run_call(&r, s);
	g_test_message("%s: reason '%s'", row->name, g.end->reason);
	g_assert_cmpint(g.end->outcome, ==, row->want);
	check_text(&g, 0);
	if (row->tokens != ANY)
		g_assert_cmpuint(g.tokens, ==, row->tokens);
	g_assert_cmpuint(g.end->offset, ==, g.tokens);
	if (row->ran != ANY)
		g_assert_cmpint(run_count(&r, "call-1"), ==, row->ran);
	/* "Not run" must never be reported of a call that ran. */
	if (g.end->not_run)
		g_assert_cmpint(run_count(&r, "call-1"), ==, 0);
	g_assert_cmpint(g.end->not_run, ==, row->want == CALL_REFUSED);
	call_result_clear(&g);
	fixture_stop(&r);
}

static void
unreachable_endpoint(void)
{
	call_spec_t *s;
	fixture_t r;
	call_result_t g;

	fixture_start(&r, "standin-service", NULL, NULL);
	proc_signal(r.proc, SIGKILL);
	g_assert_true(proc_ended(r.proc, WAIT_MS));
	s = spec_new(&r, true, "call-1");
	g = run_call(&r, s);
	g_assert_cmpint(g.end->outcome, ==, CALL_REFUSED);
	g_assert_true(g.end->not_run);
	g_assert_false(g.end->sent);
	g_assert_false(g.end->connected);
	call_result_clear(&g);
	fixture_stop(&r);
}

/* A cut stream is resumed at its offset from the engine's copy. */
static void
cut_stream_is_resumed(void)
{
	call_spec_t *s;
	fixture_t r;
	call_result_t g;

	fixture_start(&r, "standin-engine", "--token-ms", "15");
	set_faults(&r, "{\"cut_after\":3}");
	g = run_call(&r, spec_new(&r, false, "call-1"));
	g_assert_cmpint(g.end->outcome, ==, CALL_UNKNOWN);
	g_assert_cmpuint(g.end->offset, ==, 3);
	call_result_clear(&g);
	set_faults(&r, "{\"cut_after\":-1}");
	s = spec_new(&r, false, "call-1");
	s->resume = true;
	s->offset = 3;
	g = run_call(&r, s);
	g_assert_cmpint(g.end->outcome, ==, CALL_DONE);
	g_assert_cmpstr(g.end->text, ==, "stop");
	g_assert_cmpuint(g.tokens, ==, TOKENS - 3);
	check_text(&g, 3);
	g_assert_cmpint(run_count(&r, "call-1"), ==, 1);
	call_result_clear(&g);
	fixture_stop(&r);
}

static void
restart(fixture_t *r)
{
	proc_kill(r->proc);
	r->proc = proc_start(
	    "standin-engine", "--listen", r->addr, "--id", "w1", NULL);
	g_assert_true(http_until(r->addr, "/v1/load", 200, WAIT_MS));
	load_model(r->addr);
}

/*
 * The engine is killed: the tokens received before are right, and the next call
 * doesn't fail on the idle connection to the old process.
 */
static void
engine_killed(void)
{
	call_event_t *ev;
	fixture_t r;
	call_result_t g;

	fixture_start(&r, "standin-engine", "--token-ms", "100");
	g_assert_true(endpoint_start(r.ep, spec_new(&r, false, "call-1")));
	ev = ring_wait(r.events, WAIT_MS);
	g_assert_cmpint(ev->kind, ==, EVENT_TOKEN);
	call_event_free(ev);
	proc_signal(r.proc, SIGKILL);
	g = await_end(&r, r.tag);
	g_assert_cmpint(g.end->outcome, ==, CALL_UNKNOWN);
	g_assert_true(g.end->connected);
	check_text(&g, 1);
	call_result_clear(&g);
	restart(&r);
	g = run_call(&r, spec_new(&r, false, "call-2"));
	g_assert_cmpint(g.end->outcome, ==, CALL_DONE);
	call_result_clear(&g);
	restart(&r);
	g = run_call(&r, spec_new(&r, false, "call-3"));
	g_assert_cmpint(g.end->outcome, ==, CALL_DONE);
	g_assert_cmpint(run_count(&r, "call-3"), ==, 1);
	call_result_clear(&g);
	fixture_stop(&r);
}

static bool
was_cancelled(void *user)
{
	json_t *j = get_record(user);
	bool is = json_is_true(json_object_get(
	    json_array_get(json_object_get(j, "calls"), 0), "cancelled"));

	json_decref(j);
	return is;
}

static void
cancel_reaches_the_engine(void)
{
	call_event_t *ev;
	call_spec_t *s;
	fixture_t r;
	call_result_t g;

	fixture_start(&r, "standin-engine", "--token-ms", "100");
	s = spec_new(&r, false, "call-1");
	g_assert_true(endpoint_start(r.ep, s));
	ev = ring_wait(r.events, WAIT_MS);
	g_assert_cmpint(ev->kind, ==, EVENT_TOKEN);
	call_event_free(ev);
	endpoint_cancel(r.ep, r.tag);
	g = await_end(&r, r.tag);
	g_assert_cmpint(g.end->outcome, ==, CALL_CANCELLED);
	g_assert_false(g.end->not_run);
	g_assert_true(eventually(was_cancelled, &r, WAIT_MS));
	call_result_clear(&g);
	fixture_stop(&r);
}

/* A full event ring pauses the stream; no event is lost. */
static void
slow_reader_loses_nothing(void)
{
	call_spec_t *s;
	fixture_t r;
	call_result_t g;

	fixture_start(&r, "standin-engine", "--token-ms", "1");
	endpoint_free(r.ep);
	ring_free(r.events);
	r.events = ring_new(4);
	r.ep = endpoint_new(&(endpoint_opts_t){ &r.settings, r.events }, NULL);
	s = spec_new(&r, false, "call-1");
	g_free(s->prompt);
	s->prompt = strdup("long #2000");
	s->max_tokens = 2000;
	s->timeout = WAIT_MS;
	g_assert_true(endpoint_start(r.ep, s));
	clock_sleep(TOKEN_TIMEOUT_MS * 2); /* longer than the token timeout */
	g = await_end(&r, r.tag);
	g_assert_cmpint(g.end->outcome, ==, CALL_DONE);
	g_assert_cmpuint(g.tokens, ==, 2000);
	call_result_clear(&g);
	fixture_stop(&r);
}

/* A service that answers one request, then closes on the next one. */
typedef struct dropper {
	int fd;
	bool keeps_listening; /* after the close */
	int requests;
} dropper_t;

static bool
read_request(int fd)
{
	char buf[4096];
	size_t n = 0;

	while (n < sizeof(buf) - 1) {
		ssize_t got = recv(fd, buf + n, sizeof(buf) - 1 - n, 0);

		if (got <= 0)
			return false;
		n += got;
		buf[n] = '\0';
		if (strstr(buf, "\"trailer\":4}") != NULL)
			return true;
	}
	return false;
}

static void *
dropper(void *user)
{
	static const char ok[] =
	    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
	dropper_t *d = user;
	int c = accept(d->fd, NULL, NULL);

	d->requests += read_request(c);
	g_assert_cmpint(send(c, ok, sizeof(ok) - 1, 0), ==, sizeof(ok) - 1);
	d->requests += read_request(c);
	if (!d->keeps_listening)
		close(d->fd);
	close(c);
	while (d->keeps_listening && (c = accept(d->fd, NULL, NULL)) != -1) {
		d->requests += read_request(c);
		send(c, ok, sizeof(ok) - 1, MSG_NOSIGNAL);
		close(c);
	}
	return NULL;
}

/*
 * libcurl by itself resends a request if a reused connection closes without an
 * answer. That would run a call twice, or report it as not run if only the
 * second try found no listener.
 */
static void
reused_connection_closes(gconstpointer keeps_listening)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	dropper_t d = { .fd = socket(AF_INET, SOCK_STREAM, 0),
		.keeps_listening = keeps_listening != NULL };
	pthread_t thread;
	int port, one = 1;
	fixture_t r;
	call_result_t g;

	ports_take(&port, 1);
	a.sin_port = htons(port);
	setsockopt(d.fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	g_assert_cmpint(bind(d.fd, (struct sockaddr *)&a, sizeof(a)), ==, 0);
	g_assert_cmpint(listen(d.fd, 8), ==, 0);
	pthread_create(&thread, NULL, dropper, &d);
	fixture_start(&r, "standin-service", NULL, NULL);
	g_free(r.addr);
	r.addr = addr_of(port);
	for (int i = 0; i < 2; i++) {
		call_spec_t *s = spec_new(&r, true, "call-1");

		s->reuse = true;
		g = run_call(&r, s);
		g_test_message("call %d: '%s'", i, g.end->reason);
		g_assert_cmpint(
		    g.end->outcome, ==, i == 0 ? CALL_DONE : CALL_UNKNOWN);
		g_assert_false(g.end->not_run);
		g_assert_true(g.end->sent);
		call_result_clear(&g);
	}
	shutdown(d.fd, SHUT_RDWR);
	pthread_join(thread, NULL);
	g_assert_cmpint(d.requests, ==, 2);
	fixture_stop(&r);
}

/* The reported result of an order must match what the engine did. */
static void
order_results(void)
{
	static const struct {
		const char *name, *faults;
		uint64_t fencing_token;
		err_code_t want;
	} table[] = {
		{ "taken", "{}", 2, ERR_NONE },
		{ "stale", "{}", 1, ERR_CONFLICT },
		{ "lost", "{\"lose_orders\":1}", 3, ERR_UNKNOWN },
		{ "late", "{\"late_orders_ms\":50}", 4, ERR_UNKNOWN },
		/* The load report is late, so the order isn't sent. */
		{ "too slow", "{\"late_orders_ms\":0,\"delay_ms\":1000}", 5,
		    ERR_DOWN },
		{ "taken again", "{\"delay_ms\":0}", 6, ERR_NONE },
	};
	orders_t *o = orders_new(500, NULL);
	size_t i;
	fixture_t r;

	fixture_start(&r, "standin-engine", "--fencing", "yes");
	for (i = 0; i < G_N_ELEMENTS(table); i++) {
		order_t order = { .kind = ORDER_ROLE,
			.number = 10 + i,
			.fencing_token = table[i].fencing_token };
		err_t e = { 0 };

		set_incarnation(&order, r.addr);
		set_faults(&r, table[i].faults);
		orders_send(o, r.addr, &order, &e);
		g_test_message("%s: '%s'", table[i].name, e.text);
		g_assert_cmpint(e.code, ==, table[i].want);
	}
	{
		order_t order = { .kind = ORDER_ROLE,
			.number = 98,
			.fencing_token = 98,
			.incarnation = "the one before" };
		err_t e = { 0 };

		orders_send(o, r.addr, &order, &e);
		g_assert_cmpint(e.code, ==, ERR_DOWN);
		g_assert_cmpint(
		    system_json_int(r.addr, "/control/record", "orders"), ==,
		    5); /* the load, and all but "lost", "too slow" */
	}
	proc_signal(r.proc, SIGKILL);
	g_assert_true(proc_ended(r.proc, WAIT_MS));
	{
		order_t order = { .kind = ORDER_ROLE, .number = 99 };
		err_t e = { 0 };

		orders_send(o, r.addr, &order, &e);
		g_assert_cmpint(e.code, ==, ERR_DOWN);
	}
	orders_free(o);
	fixture_stop(&r);
}

static void
load_reports_arrive(void)
{
	load_target_t t[2] = { { .worker = "w1" }, { .worker = "gone" } };
	ring_t *reports = ring_new(64);
	bool seen = false, missed = false;
	load_poller_t *l;
	fixture_t r;

	fixture_start(&r, "standin-engine", "--load-lag-ms", "50");
	r.settings.broker.load_poll_ms = 50;
	str_set(t[0].addr, sizeof(t[0].addr), r.addr);
	str_set(t[1].addr, sizeof(t[1].addr), "127.0.0.1:9");
	l = load_poller_new(&r.settings, reports, NULL);
	load_poller_set(l, t, 2);
	while (!seen || !missed) {
		load_report_t *rep = ring_wait(reports, WAIT_MS);

		g_assert_nonnull(rep);
		if (strcmp(rep->worker, "gone") == 0) {
			g_assert_false(rep->reached);
			missed = true;
		} else if (rep->reached && rep->nresident == 1) {
			g_assert_cmpstr(rep->worker, ==, "w1");
			g_assert_cmpuint(rep->used_mb, ==, 1000);
			g_assert_cmpuint(rep->resident[0].version, ==, 2);
			seen = true;
		}
		load_report_free(rep);
	}
	load_poller_free(l);
	for (load_report_t *rep; (rep = ring_pop(reports)) != NULL;)
		load_report_free(rep);
	ring_free(reports);
	fixture_stop(&r);
}

int
main(int argc, char **argv)
{
	size_t i;

	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		char *path =
		    g_strdup_printf("/endpoint/fault/%s", rows[i].name);

		g_strdelimit(path, " ,", '-');
		g_test_add_data_func(path, &rows[i], check_row);
		g_free(path);
	}
	g_test_add_func("/endpoint/unreachable", unreachable_endpoint);
	g_test_add_func("/endpoint/engine-killed", engine_killed);
	g_test_add_func("/endpoint/resumed", cut_stream_is_resumed);
	g_test_add_func("/endpoint/cancel", cancel_reaches_the_engine);
	g_test_add_func("/endpoint/slow-reader", slow_reader_loses_nothing);
	g_test_add_data_func("/endpoint/reused-connection-closes", NULL,
	    reused_connection_closes);
	g_test_add_data_func("/endpoint/reused-connection-closes-and-reopens",
	    "", reused_connection_closes);
	g_test_add_func("/endpoint/orders", order_results);
	g_test_add_func("/endpoint/load-reports", load_reports_arrive);
	return g_test_run();
}
