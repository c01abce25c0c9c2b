/*
 * Requests of each kind that come late in grace_s, to the instance that stops
 * and through another one: each is served, or refused as not run and isn't run.
 */
#include "tests/answered.h"
#include "tests/peer_site.h"

#include <arpa/inet.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	GRACE_S = 4,
	PLAIN_MS = 600, /* an endpoint that is silent for longer is replaced */
	EVENTS = 40,
	GAP_MS = 30,
	WARM = 3,
	DEAD_MS = 3000, /* by then the others know it */
	FROM_MS = 1700, /* after SIGTERM */
	TO_MS = 3450,	/* the daemon gives up 3.5 s after it */
	STEP_MS = 125,
	STEPS = (TO_MS - FROM_MS) / STEP_MS + 1,
	END_MS = 9000,
	WAIT_MS = 6000,
	KNOWN_MS = 1500,   /* until the daemons know each other */
	CONNECT_MS = 2500, /* the listeners close 3 s after SIGTERM */
	LATE_MS = 3100,
	ELAPSED_MS = 1500, /* at the other instance; less than is allowed */
};

#define STREAM \
	"Model: m1\r\nToken-Usage: 100,80\r\nDeadline-Remaining: 5000\r\n"

typedef struct kind {
	const char *method, *path, *headers;
} kind_t;

/* The routes of callers_new() and of peer_site_with(). */
static const char *const safe_path[] = { "/plain/a", "/safe/a" };

static kind_t kinds[] = {
	{ "GET", "", "Deadline-Remaining: 1900\r\n" },
	{ "POST", "/once/a", "Deadline-Remaining: 1900\r\n" },
	{ "POST", "/gen/a", STREAM },
	{ "POST", "/gen1/a", STREAM },
};

static ms_t
now(void)
{
	return clock_now(&machine_clock);
}

static void
run_to(fixture_t *st, ms_t at)
{
	if (at > now())
		fixture_run(st, at - now());
}

static int
runs_of(const fixture_t *st, const char *id)
{
	int i, n = 0;
	guint j;

	for (i = 0; i < st->nendpoint; i++) {
		const GPtrArray *r = fake_endpoint_executed(st->endpoint[i]);

		for (j = 0; j < r->len; j++)
			n += strcmp(((executed_call_t *)r->pdata[j])->id, id) ==
			     0;
	}
	return n;
}

static void
assert_served_or_refused(
    const fixture_t *st, const kind_t *k, const char *id, int status)
{
	g_test_message(
	    "%s %s: status %d, %d runs", k->path, id, status, runs_of(st, id));
	if (status != 200)
		g_assert_cmpint(status, ==, 503);
	g_assert_cmpint(runs_of(st, id), ==, status == 200);
}

static bool
daemon_has_ended(void *arg)
{
	return proc_ended(arg, 0);
}

/*
 * Guards against requests that are passed on too late to be answered before
 * the process ends.
 */
static void
at_the_instance_that_stops(void)
{
	callers_t *s = callers_new(GRACE_S, PLAIN_MS, EVENTS, GAP_MS);
	kept_t *c[STEPS][G_N_ELEMENTS(kinds)];
	size_t k;
	int i;
	ms_t term;

	kinds[0].path = safe_path[0];

	for (i = 0; i < WARM; i++)
		for (k = 0; k < G_N_ELEMENTS(kinds); k++)
			kept_ask(kept_open(s), kinds[k].method, kinds[k].path,
			    kinds[k].headers);
	g_assert_true(
	    fixture_run_until(s->st, callers_are_answered, s, WAIT_MS));
	proc_signal(s->st->daemon[0], SIGTERM);
	term = now();
	run_to(s->st, term + FROM_MS - STEP_MS);
	for (i = 0; i < STEPS; i++)
		for (k = 0; k < G_N_ELEMENTS(kinds); k++) {
			c[i][k] = kept_open(s);
			if (i % 4 == 3)
				fixture_run(s->st, 1);
		}
	for (i = 0; i < STEPS; i++) {
		run_to(s->st, term + FROM_MS + i * STEP_MS);
		for (k = 0; k < G_N_ELEMENTS(kinds); k++)
			if (c[i][k]->http != NULL)
				kept_ask(c[i][k], kinds[k].method,
				    kinds[k].path, kinds[k].headers);
	}
	g_assert_true(fixture_run_until(
	    s->st, daemon_has_ended, s->st->daemon[0], END_MS));
	fixture_run(s->st, 50);
	callers_check(s);
	for (i = 0; i < STEPS; i++)
		for (k = 0; k < G_N_ELEMENTS(kinds); k++) {
			const ask_t *a = &c[i][k]->ask[0];

			if (c[i][k]->nask > 0 && !ask_crossed(c[i][k], a))
				assert_served_or_refused(
				    s->st, &kinds[k], a->id, a->status);
		}
	callers_free(s);
}

/*
 * Guards against the same where another instance hands its calls to the one
 * that stops, on connections that it keeps.
 */
static void
through_another_instance(void)
{
	fake_endpoint_opts_t llm = { .model = "m1",
		.events = EVENTS,
		.event_gap = GAP_MS,
		.adapter_slots = 4 };
	peer_site_t t = peer_site_with(PLAIN_MS, &llm);
	caller_t *c[STEPS][G_N_ELEMENTS(kinds)], *first;
	char id[32];
	size_t k;
	int i;
	ms_t term;

	kinds[0].path = safe_path[1];

	/* Only one instance is left to go through. */
	proc_kill(t.st->daemon[2]);
	t.st->daemon[2] = NULL;
	fixture_run(t.st, DEAD_MS);
	for (i = 0; i < WARM; i++) {
		first = caller_expect(t.st, 200, "GET", "/safe/a", "warm2",
		    "Deadline-Remaining: 1900\r\n");
		caller_free(first);
	}
	proc_signal(t.st->daemon[1], SIGTERM);
	term = now();
	for (i = 0; i < STEPS; i++) {
		run_to(t.st, term + i * (TO_MS / STEPS));
		for (k = 0; k < G_N_ELEMENTS(kinds); k++) {
			snprintf(id, sizeof(id), "through-%d-%zu", i, k);
			c[i][k] = caller_call(t.st, 0, kinds[k].method,
			    kinds[k].path, id, kinds[k].headers);
		}
	}
	for (i = 0; i < STEPS; i++)
		for (k = 0; k < G_N_ELEMENTS(kinds); k++) {
			snprintf(id, sizeof(id), "through-%d-%zu", i, k);
			g_assert_true(caller_wait(c[i][k], WAIT_MS));
			assert_served_or_refused(
			    t.st, &kinds[k], id, c[i][k]->status);
			caller_free(c[i][k]);
		}
	peer_site_free(&t);
}

/* A connection to the port for instances, as daemon @p from makes it. */
static int
connect_as(const fixture_t *st, int from, int to)
{
	char ip[ADDR_MAX], addr[ADDR_MAX + 8];
	struct sockaddr_in own, sa;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert_cmpint(net_addr(st->caller[from], &own), ==, 0);
	own.sin_port = 0;
	g_assert_cmpint(bind(fd, (struct sockaddr *)&own, sizeof(own)), ==, 0);
	g_assert_cmpint(net_addr(st->caller[to], &sa), ==, 0);
	inet_ntop(AF_INET, &sa.sin_addr, ip, sizeof(ip));
	snprintf(addr, sizeof(addr), "%s:%d", ip, st->peer_port);
	g_assert_cmpint(net_addr(addr, &sa), ==, 0);
	g_assert_cmpint(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	return fd;
}

/*
 * Guards against a call that another instance had for long before it handed it
 * over: it came late to the one that stops.
 */
static void
handed_over_after_a_while(void)
{
	callers_t *s = callers_new(GRACE_S, PLAIN_MS, EVENTS, GAP_MS);
	fixture_t *st = s->st;
	char text[512], answer[4096] = "";
	ssize_t n;
	int i, fd;
	ms_t term;

	for (i = 0; i < WARM; i++)
		kept_ask(kept_open(s), "POST", "/once/a", kinds[1].headers);
	fixture_start_daemon(st, 1, true);
	g_assert_true(fixture_run_until(st, callers_are_answered, s, WAIT_MS));
	fixture_run(st, KNOWN_MS);
	proc_signal(st->daemon[0], SIGTERM);
	term = now();
	run_to(st, term + CONNECT_MS);
	fd = connect_as(st, 1, 0);
	run_to(st, term + LATE_MS);
	n = snprintf(text, sizeof(text),
	    "POST /once/a HTTP/1.1\r\nHost: h.example\r\n"
	    "Request-Id: handed\r\nDeadline-Remaining: 4000\r\n"
	    "Ebonypitch-Call: elapsed=%d config=%d sends=0 software=0\r\n"
	    "Content-Length: 0\r\n\r\n",
	    ELAPSED_MS, st->config_version);
	g_assert_cmpint(send(fd, text, (size_t)n, MSG_NOSIGNAL), ==, n);
	g_assert_true(
	    fixture_run_until(st, daemon_has_ended, st->daemon[0], END_MS));
	n = recv(fd, answer, sizeof(answer) - 1, MSG_DONTWAIT);
	g_assert_cmpint(n, >, 0);
	g_test_message("%s", answer);
	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 503 "));
	g_assert_cmpint(runs_of(st, "handed"), ==, 0);
	close(fd);
	callers_free(s);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/grace/at_the_instance_that_stops", at_the_instance_that_stops);
	g_test_add_func(
	    "/grace/through_another_instance", through_another_instance);
	g_test_add_func(
	    "/grace/handed_over_after_a_while", handed_over_after_a_while);
	return g_test_run();
}
