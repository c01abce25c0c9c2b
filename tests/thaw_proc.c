/*
 * A daemon that was frozen handles what waits in its sockets before it counts
 * anything as late: the freeze was its own, not its peers' silence.
 */
#include "tests/fixture.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

enum {
	AT_ONCE = 8,	       /* calls in progress during a freeze */
	ROUNDS = 4,	       /* for each length of a freeze */
	ANSWER_MS = 6000,      /* limit for an answer after a freeze */
	IDLE_FREEZE_MS = 5300, /* over the idle limit of callers */
	HEAD_FREEZE_MS = 1000, /* over the limit for a request's head */
	CONNECT_MS = 300,      /* limit until a connection is being made */
	/* TCP sends a SYN that got no answer again after a second. */
	SYN_FREEZE_MS = 1400,
	PEER_FREEZE_MS = 2600, /* over the silence of a dead peer */
	TAKE_OVER_MS = 15000,  /* limit until another instance orders */
	LOG_MAX = 1 << 20,
};

static const fake_endpoint_opts_t plain = { .plain_ms = 100 };
static const fake_endpoint_opts_t stream = {
	.model = "m1", .events = 40, .event_gap = 60, .adapter_slots = 4
};
static const fake_endpoint_opts_t brief_stream = {
	.model = "m1", .events = 8, .event_gap = 20, .adapter_slots = 4
};

/** Calls that are in progress together, and their conditions. */
typedef struct calls {
	fixture_t *st;
	caller_t *c[AT_ONCE];
	guint ran; /* calls that the endpoint must have run */
} calls_t;

static fixture_t *
one_daemon(const fake_endpoint_opts_t *o, const char *service)
{
	fixture_t *st = fixture_new();

	fixture_put_config(st, "");
	fixture_add_endpoint(st, o, service);
	fixture_start_daemon(st, 0, true);
	return st;
}

static void
send_calls(calls_t *a, const char *method, const char *path, const char *head)
{
	static int serial;
	char id[24];
	int i;

	for (i = 0; i < AT_ONCE; i++) {
		snprintf(id, sizeof(id), "r%d", ++serial);
		a->c[i] = caller_call(a->st, 0, method, path, id, head);
	}
	a->ran += AT_ONCE;
}

static bool
all_ran(void *arg)
{
	calls_t *a = arg;

	return fake_endpoint_executed(a->st->endpoint[0])->len >= a->ran;
}

static bool
all_begun(void *arg)
{
	calls_t *a = arg;
	int i;

	for (i = 0; i < AT_ONCE; i++)
		if (buf_len(&a->c[i]->body) == 0)
			return false;
	return true;
}

static bool
all_over(void *arg)
{
	calls_t *a = arg;
	int i;

	for (i = 0; i < AT_ONCE; i++)
		if (!a->c[i]->done && !a->c[i]->closed)
			return false;
	return true;
}

/* Does the daemon wait for events? */
static bool
daemon_waits(void *arg)
{
	fixture_t *st = arg;
	char *path = g_strdup_printf("/proc/%d/stat", (int)st->daemon[0]->pid);
	char *text;
	bool waits;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	waits = strstr(text, ") S ") != NULL;
	g_free(text);
	g_free(path);
	return waits;
}

/*
 * Stops the daemon while it waits for events. Returns once it stands still:
 * what is sent from now on waits in its sockets.
 */
static void
stop(fixture_t *st)
{
	int status = 0;

	g_assert_true(fixture_run_until(st, daemon_waits, st, ANSWER_MS));
	proc_signal(st->daemon[0], SIGSTOP);
	g_assert_cmpint(waitpid(st->daemon[0]->pid, &status, WUNTRACED), ==,
	    st->daemon[0]->pid);
	g_assert_true(WIFSTOPPED(status));
}

/* Store, endpoints and callers run on meanwhile. */
static void
thaw_after(fixture_t *st, ms_t span)
{
	fixture_run(st, span);
	proc_signal(st->daemon[0], SIGCONT);
}

/* Each call is answered whole, and ran once. */
static void
assert_served(calls_t *a, const char *last)
{
	int i;

	g_assert_true(fixture_run_until(a->st, all_over, a, ANSWER_MS));
	for (i = 0; i < AT_ONCE; i++) {
		char *body = client_request_body(a->c[i]);

		g_assert_cmpint(a->c[i]->status, ==, 200);
		g_assert_true(a->c[i]->done);
		g_assert_nonnull(strstr(body, last));
		g_free(body);
		caller_free(a->c[i]);
	}
	g_assert_cmpuint(
	    fake_endpoint_executed(a->st->endpoint[0])->len, ==, a->ran);
}

/*
 * The only endpoint goes on sending: its streams mustn't count as silent, be
 * cut, or run again.
 */
static void
stream_goes_on(void)
{
	static const ms_t span[] = { 700, 1300, 2200 };
	calls_t a = { .st = one_daemon(&stream, "llm") };
	size_t k;
	int i;

	for (i = 0; i < ROUNDS; i++)
		for (k = 0; k < G_N_ELEMENTS(span); k++) {
			send_calls(&a, "POST", "/gen/a",
			    "Model: m1\r\nToken-Usage: 100,40\r\n"
			    "Deadline-Remaining: 6000\r\n");
			g_assert_true(
			    fixture_run_until(a.st, all_begun, &a, ANSWER_MS));
			stop(a.st);
			thaw_after(a.st, span[k]);
			assert_served(&a, "token 40\n");
		}
	fixture_free(a.st);
}

/*
 * The answers wait in the sockets, whole and sent in time. The callers get
 * them, not an error, though the silence limit or the deadline has passed
 * meanwhile: an answer can't be taken back by calling it late.
 */
static void
plain_answers_are_forwarded(void)
{
	static const struct {
		const char *method, *path, *head;
		ms_t span;
	} row[] = {
		{ "GET", "/safe/a", "", 900 },
		{ "GET", "/safe/a", "", 2300 },
		{ "GET", "/safe/brief/a", "", 700 },
		{ "POST", "/once/a", "Deadline-Remaining: 500\r\n", 900 },
	};
	calls_t a = { .st = one_daemon(&plain, "app") };
	size_t k;
	int i;

	for (i = 0; i < ROUNDS; i++)
		for (k = 0; k < G_N_ELEMENTS(row); k++) {
			send_calls(&a, row[k].method, row[k].path, row[k].head);
			g_assert_true(
			    fixture_run_until(a.st, all_ran, &a, ANSWER_MS));
			stop(a.st);
			thaw_after(a.st, row[k].span);
			assert_served(&a, "answer to r");
		}
	fixture_free(a.st);
}

/* A kept connection was idle for too long, but a whole request waits in it. */
static void
kept_connection_is_answered(void)
{
	calls_t a = { .st = one_daemon(&plain, "app") };
	int i;

	send_calls(&a, "GET", "/safe/a", "");
	g_assert_true(fixture_run_until(a.st, all_over, &a, ANSWER_MS));
	stop(a.st);
	for (i = 0; i < AT_ONCE; i++) {
		caller_t *c = a.c[i];

		g_assert_nonnull(c->http);
		buf_fmt(&c->http->out,
		    "GET /safe/b HTTP/1.1\r\nHost: h.example\r\n"
		    "Request-Id: again%d\r\n\r\n",
		    i);
		http_conn_next(c->http);
		http_conn_flush(c->http);
		c->done = false;
	}
	a.ran += AT_ONCE;
	thaw_after(a.st, IDLE_FREEZE_MS);
	assert_served(&a, "answer to again");
	fixture_free(a.st);
}

static bool
all_sent(void *arg)
{
	calls_t *a = arg;
	int i;

	for (i = 0; i < AT_ONCE; i++)
		if (a->c[i]->http == NULL || a->c[i]->http->connecting ||
		    buf_len(&a->c[i]->http->out) > 0)
			return false;
	return true;
}

/* The rest of a request's head came during the freeze: that is no 408. */
static void
half_read_request_is_answered(void)
{
	calls_t a = { .st = one_daemon(&plain, "app") };
	int i, k;

	for (k = 0; k < ROUNDS; k++) {
		for (i = 0; i < AT_ONCE; i++)
			a.c[i] = caller_send(
			    a.st, 0, "GET /safe/a HTTP/1.1\r\nHost: h.exa");
		g_assert_true(fixture_run_until(a.st, all_sent, &a, 1000));
		/* What came before these requests has been read after them. */
		for (i = 0; i < 2; i++)
			g_assert_cmpint(page_status(a.st, a.st->ready[0],
					    "/v1/ready", NULL),
			    ==, 200);
		stop(a.st);
		for (i = 0; i < AT_ONCE; i++) {
			buf_fmt(&a.c[i]->http->out,
			    "mple\r\nRequest-Id: p%d-%d\r\n\r\n", k, i);
			http_conn_flush(a.c[i]->http);
		}
		a.ran += AT_ONCE;
		thaw_after(a.st, HEAD_FREEZE_MS);
		assert_served(&a, "answer to p");
	}
	fixture_free(a.st);
}

/** A listener whose queue is full, so that the next SYN is dropped. */
typedef struct full_listener {
	fixture_t *st;
	int fd, filler, port;
	int conn; /* of the daemon, -1: none yet */
	char addr[ADDR_MAX];
} full_listener_t;

static void
listener_open(full_listener_t *f)
{
	struct sockaddr_in sa;

	ports_take(&f->port, 1);
	snprintf(f->addr, sizeof(f->addr), "127.0.0.1:%d", f->port);
	g_assert_cmpint(net_addr(f->addr, &sa), ==, 0);
	f->conn = -1;
	f->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	g_assert_cmpint(bind(f->fd, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	g_assert_cmpint(listen(f->fd, 0), ==, 0);
	f->filler = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	g_assert_cmpint(
	    connect(f->filler, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
}

/* Has a SYN been sent to the listener and not been answered? */
static bool
connection_pending(void *arg)
{
	full_listener_t *f = arg;
	char *text, *want = g_strdup_printf(" 0100007F:%04X 02 ", f->port);
	bool found;

	g_assert_true(g_file_get_contents("/proc/net/tcp", &text, NULL, NULL));
	found = strstr(text, want) != NULL;
	g_free(text);
	g_free(want);
	return found;
}

static bool
connection_accepted(void *arg)
{
	full_listener_t *f = arg;

	if (f->conn == -1)
		f->conn = accept(f->fd, NULL, NULL);
	return f->conn != -1;
}

/* A call whose connection is being made as the daemon stops. */
static caller_t *
stop_while_connecting(fixture_t *st, full_listener_t *f, const char *headers)
{
	char *entry;
	caller_t *c;

	listener_open(f);
	fixture_put_config(st, "");
	entry = g_strdup_printf(
	    "{\"service\":\"app\",\"address\":\"%s\",\"zone\":\"north\","
	    "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
	    "\"cold_left_ms\":0,\"born\":1000,\"seq\":1}",
	    f->addr);
	fake_store_put(st->store, "servers", "ep-0", entry);
	g_free(entry);
	fixture_start_daemon(st, 0, true);
	c = caller_call(st, 0, "POST", "/once/a", "r1", headers);
	g_assert_true(fixture_run_until(st, connection_pending, f, CONNECT_MS));
	stop(st);
	close(accept(f->fd, NULL, NULL));
	return c;
}

static void
listener_close(full_listener_t *f)
{
	close(f->conn);
	close(f->fd);
	close(f->filler);
}

/*
 * A connection to an endpoint was being made when the freeze began, and was
 * made during it, later than the limit: it is used.
 */
static void
connection_made_meanwhile_is_used(void)
{
	static const char answer[] =
	    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Signature: s1\r\n"
	    "Content-Length: 2\r\n\r\nok";
	fixture_t *st = fixture_new();
	full_listener_t f = { .st = st };
	caller_t *c =
	    stop_while_connecting(st, &f, "Deadline-Remaining: 5000\r\n");
	char got[16];

	thaw_after(st, SYN_FREEZE_MS);
	g_assert_true(connection_accepted(&f));
	fixture_run(st, 100);
	g_assert_cmpint(
	    recv(f.conn, got, sizeof(got), MSG_DONTWAIT), ==, (int)sizeof(got));
	g_assert_cmpint(memcmp(got, "POST /once/a", 12), ==, 0);
	g_assert_cmpint(write(f.conn, answer, sizeof(answer) - 1), ==,
	    (int)sizeof(answer) - 1);
	g_assert_true(caller_wait(c, 1000));
	g_assert_cmpint(c->status, ==, 200);
	caller_free(c);
	listener_close(&f);
	fixture_free(st);
}

/*
 * The same, but the call's deadline has passed: it isn't sent, and is refused
 * as not run.
 */
static void
connection_made_too_late_sends_nothing(void)
{
	fixture_t *st = fixture_new();
	full_listener_t f = { .st = st };
	caller_t *c =
	    stop_while_connecting(st, &f, "Deadline-Remaining: 900\r\n");
	char got[16];

	thaw_after(st, SYN_FREEZE_MS);
	g_assert_true(connection_accepted(&f));
	g_assert_true(caller_wait(c, 1000));
	g_assert_cmpint(c->status, ==, 503);
	g_assert_cmpint(recv(f.conn, got, sizeof(got), 0), ==, 0);
	caller_free(c);
	listener_close(&f);
	fixture_free(st);
}

/* Count a text in what the daemon has logged so far. */
static int
count_logged(int fd, const char *text)
{
	static char log[LOG_MAX];
	static size_t len;
	ssize_t n;
	int count = 0;
	char *p = log;

	while (len < sizeof(log) - 1 &&
	       (n = read(fd, log + len, sizeof(log) - 1 - len)) > 0)
		len += (size_t)n;
	log[len] = '\0';
	for (; (p = strstr(p, text)) != NULL; p++)
		count++;
	return count;
}

/* The peers' datagrams wait in the socket: the peers weren't gone. */
static void
peers_stay_known(void)
{
	static const char text[] = "instance_known=entry-1 state=ready";
	fixture_t *st = fixture_new();
	ms_t end = clock_now(&machine_clock) + ANSWER_MS;
	int out[2], i;

	fixture_put_config(st, "");
	fixture_add_endpoint(st, &plain, "app");
	g_assert_cmpint(pipe(out), ==, 0);
	g_assert_cmpint(fcntl(out[0], F_SETFL, O_NONBLOCK), ==, 0);
	proc_output(out[1]);
	fixture_start_daemon(st, 0, true);
	fixture_start_daemon(st, 1, true);
	while (count_logged(out[0], text) == 0) {
		g_assert_cmpint(clock_now(&machine_clock), <, end);
		fixture_run(st, 50);
	}
	for (i = 0; i < ROUNDS; i++) {
		stop(st);
		thaw_after(st, PEER_FREEZE_MS);
		fixture_run(st, 700);
	}
	g_assert_cmpint(count_logged(out[0], text), ==, 1);
	close(out[0]);
	close(out[1]);
	fixture_free(st);
}

static bool
has_holder(void *arg)
{
	return fake_store_get(((fixture_t *)arg)->store, "ebonypitch-leases",
		   "planner") != NULL;
}

static const received_order_t *
last_order(const fixture_t *st)
{
	const GPtrArray *orders = fake_endpoint_orders(st->endpoint[0]);

	return orders->len > 0 ? orders->pdata[orders->len - 1] : NULL;
}

/* Calls for an adapter that isn't loaded, until an order makes one succeed. */
static void
call_until_served(fixture_t *st, int daemon, const char *model)
{
	ms_t end = clock_now(&machine_clock) + TAKE_OVER_MS;
	char *head = g_strdup_printf("Model: %s\r\nToken-Usage: 100,20\r\n"
				     "Deadline-Remaining: 5000\r\n",
	    model);
	int status = 0;

	while (status != 200) {
		caller_t *c =
		    caller_call(st, daemon, "POST", "/gen/a", "h", head);

		g_assert_true(caller_wait(c, ANSWER_MS));
		status = c->status;
		caller_free(c);
		g_assert_cmpint(clock_now(&machine_clock), <, end);
	}
	g_free(head);
}

/*
 * The holder of the lease is frozen until another instance orders. A call that
 * needs an order waits in its socket: it mustn't order any more.
 */
static void
frozen_holder_orders_nothing(void)
{
	fixture_t *st = one_daemon(&brief_stream, "llm");
	const GPtrArray *orders = fake_endpoint_orders(st->endpoint[0]);
	int64_t old, token;
	caller_t *c;
	guint i;

	g_assert_true(fixture_run_until(st, has_holder, st, ANSWER_MS));
	fixture_start_daemon(st, 1, true);
	call_until_served(st, 0, "m1/a1");
	old = last_order(st)->token;
	stop(st);
	c = caller_call(st, 0, "POST", "/gen/a", "w",
	    "Model: m1/a3\r\nToken-Usage: 100,20\r\n");
	call_until_served(st, 1, "m1/a2");
	g_assert_cmpint(last_order(st)->token, >, old);
	thaw_after(st, 0);
	g_assert_true(caller_wait(c, ANSWER_MS));
	call_until_served(st, 0, "m1/a4");
	for (token = 0, i = 0; i < orders->len; i++) {
		const received_order_t *o = orders->pdata[i];

		g_assert_cmpint(o->token, >=, token);
		token = o->token;
	}
	caller_free(c);
	fixture_free(st);
}

#define T(name) g_test_add_func("/thaw/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(stream_goes_on);
	T(plain_answers_are_forwarded);
	T(kept_connection_is_answered);
	T(half_read_request_is_answered);
	T(connection_made_meanwhile_is_used);
	T(connection_made_too_late_sends_nothing);
	T(peers_stay_known);
	T(frozen_holder_orders_nothing);
	return g_test_run();
}
