#include "standin/memory.h"
#include "tests/fixture.h"
#include "tests/proc.h"
#include "tests/system.h"

#include <string.h>
#include <glib.h>

enum {
	WAIT_MS = 10000,
	CAPACITY_MB = 1000,
	STARTS = 50,
	POLLERS = 4,
};

/*
 * The stand-ins don't prevent faults of the system under test but record them.
 * The other tests and the load tool rely on these records, so they must show
 * over-commitment.
 */
static void
overcommitment_is_recorded(void)
{
	static const struct {
		order_kind_t kind;
		const char *model;
		uint32_t mb;
		uint64_t fencing_token;
		int status;
		uint32_t used, peak;
		uint64_t over;
	} rows[] = {
		{ ORDER_LOAD, "a", 600, 1, 202, 600, 600, 0 },
		{ ORDER_LOAD, "a", 600, 1, 202, 600, 600, 0 }, /* repeated */
		{ ORDER_LOAD, "a", 600, 2, 202, 600, 600, 0 }, /* resident */
		{ ORDER_LOAD, "b", 400, 3, 202, 1000, 1000, 0 },
		{ ORDER_LOAD, "c", 1, 2, 409, 1000, 1000, 0 }, /* stale */
		{ ORDER_LOAD, "c", 1, 4, 202, 1001, 1001, 1 },
		{ ORDER_UNLOAD, "b", 0, 5, 202, 601, 1001, 1 },
		{ ORDER_LOAD, "d", 400, 6, 202, 1001, 1001, 2 },
	};
	memory_t m;
	size_t i;

	memory_init(&m, CAPACITY_MB, true);
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		order_t o = { .kind = rows[i].kind,
			.number = rows[i].fencing_token,
			.fencing_token = rows[i].fencing_token,
			.version = 1,
			.memory_mb = rows[i].mb };
		item_t *load;

		str_set(o.model, sizeof(o.model), rows[i].model);
		g_assert_cmpint(
		    memory_order(&m, &o, &load), ==, rows[i].status);
		if (load != NULL)
			memory_fetched(&m, load);
		g_test_message("row %zu", i);
		g_assert_cmpuint(m.used_mb, ==, rows[i].used);
		g_assert_cmpuint(m.peak_mb, ==, rows[i].peak);
		g_assert_cmpuint(m.overcommits, ==, rows[i].over);
	}
}

/* The memory of an item that is loading or in use isn't free yet. */
static void
unload_waits_for_load_and_use(void)
{
	order_t load_it = { .kind = ORDER_LOAD,
		.number = 1,
		.model = "a",
		.version = 1,
		.memory_mb = 600 };
	order_t unload = {
		.kind = ORDER_UNLOAD, .number = 2, .model = "a", .version = 1
	};
	item_t *it, *none;
	memory_t m;

	memory_init(&m, CAPACITY_MB, false);
	memory_order(&m, &load_it, &it);
	memory_order(&m, &unload, &none);
	g_assert_cmpuint(m.used_mb, ==, 600);
	memory_fetched(&m, it);
	g_assert_cmpuint(m.used_mb, ==, 0);
	/* Without fencing, a delayed load takes effect after the unload. */
	memory_order(&m, &load_it, &it);
	memory_fetched(&m, it);
	item_use(it);
	memory_order(&m, &unload, &none);
	g_assert_cmpuint(m.used_mb, ==, 600);
	g_assert_null(memory_ready(&m, "a", "", 1));
	item_release(&m, it);
	g_assert_cmpuint(m.used_mb, ==, 0);
}

/* A call that ran twice has a count of two in the record. */
static void
double_run_is_recorded(void)
{
	char *addr;
	proc_t *p;
	int port, i;
	reply_t r;

	ports_take(&port, 1);
	addr = addr_of(port);
	p = proc_start("standin-service", "--listen", addr, NULL);
	g_assert_true(http_until(addr, "/v1/load", 200, WAIT_MS));
	for (i = 0; i < 2; i++) {
		r = http_call("POST", addr, "/calibrations/7",
		    "Idempotency-Key: k7", "{}", WAIT_MS);
		g_assert_cmpint(r.status, ==, 200);
		reply_clear(&r);
	}
	r = http_call("GET", addr, "/control/record", NULL, NULL, WAIT_MS);
	g_assert_nonnull(strstr(r.body, "\"count\":2"));
	reply_clear(&r);
	g_assert_cmpint(
	    system_json_int(addr, "/control/record", "started"), ==, 2);
	proc_kill(p);
	g_free(addr);
}

typedef struct poller {
	const char *addr;
	bool answered;
} poller_t;

/* Requests the load report without a pause until an answer comes. */
static gpointer
poll_until_answered(gpointer user)
{
	poller_t *p = user;
	ms_t end = clock_now(&machine_clock) + WAIT_MS;

	while (!p->answered && clock_now(&machine_clock) < end) {
		reply_t r =
		    http_call("GET", p->addr, "/v1/load", NULL, NULL, WAIT_MS);

		p->answered = r.status == 200;
		reply_clear(&r);
	}
	return NULL;
}

/*
 * A service is polled while it starts. A report requested as soon as its port
 * is open must not be answered from state that isn't set yet: the service
 * crashed then, and the test that had started it waited for it in vain.
 */
static void
service_answers_while_starting(void)
{
	poller_t poller[POLLERS];
	GThread *thread[POLLERS];
	int port, i, k;

	for (k = 0; k < STARTS; k++) {
		char *addr;
		proc_t *p;

		ports_take(&port, 1);
		addr = addr_of(port);
		for (i = 0; i < POLLERS; i++) {
			poller[i] = (poller_t){ .addr = addr };
			thread[i] = g_thread_new(
			    "poller", poll_until_answered, &poller[i]);
		}
		p = proc_start("standin-service", "--listen", addr, NULL);
		for (i = 0; i < POLLERS; i++)
			g_thread_join(thread[i]);
		for (i = 0; i < POLLERS; i++)
			g_assert_true(poller[i].answered);
		g_assert_false(proc_ended(p, 0));
		proc_kill(p);
		g_free(addr);
	}
}

/* Guards against daemons that can't bind as others run with another store. */
static void
two_stores_run_at_once(void)
{
	fixture_t *st[2];
	int i;

	for (i = 0; i < 2; i++) {
		st[i] = fixture_new();
		fixture_put_config(st[i], "");
		fixture_start_daemon(st[i], 0, true);
	}
	for (i = 0; i < 2; i++)
		fixture_free(st[i]);
}

/* Guards against an event after the last one, which a caller sees as wrong. */
static void
stream_taken_up_after_its_last_event_has_none(void)
{
	fixture_t *st = fixture_new();
	fake_endpoint_opts_t o = { .model = "m1", .events = 8, .event_gap = 5 };
	client_request_t *c;
	char *body;

	fixture_add_endpoint(st, &o, "llm");
	c = client_request_open(&st->loop, st->addr[0],
	    "POST /gen/a HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
	    "Model: m1\r\nLast-Event-Id: 8\r\nContent-Length: 0\r\n\r\n",
	    NULL, st);
	g_assert_nonnull(c);
	fixture_run(st, 300);
	g_assert_true(c->done);
	g_assert_cmpint(c->status, ==, 200);
	body = client_request_body(c);
	g_assert_cmpstr(body, ==, "");
	g_free(body);
	client_request_free(c);
	fixture_free(st);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/standin/overcommitment", overcommitment_is_recorded);
	g_test_add_func("/standin/unloading", unload_waits_for_load_and_use);
	g_test_add_func("/standin/double-run", double_run_is_recorded);
	g_test_add_func(
	    "/standin/request-at-start", service_answers_while_starting);
	g_test_add_func("/standin/two-stores", two_stores_run_at_once);
	g_test_add_func(
	    "/standin/stream_taken_up_after_its_last_event_has_none",
	    stream_taken_up_after_its_last_event_has_none);
	return g_test_run();
}
