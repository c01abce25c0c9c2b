/*
 * Texts and lists of any length that the pages allow are taken whole: what is
 * cut may be taken for something else.
 */
#include "tests/fixture.h"

#include <signal.h>
#include <string.h>

enum {
	CALLS = 12,
	ANSWER_MS = 4000,
	ID_BYTES = 300,
	READ_MS = 1500,
};

/* 64 bytes with its first slash. */
#define LONG "/granite-ridge/new-england/friction-survey/trailers/calibration"

#define ROUTE(name, prefix, kind, more)                                   \
	",{\"name\":\"" name "\",\"host\":\"h.example\",\"path_prefix\":" \
	"\"" prefix "\",\"kind\":\"" kind "\",\"timeout_ms\":2000,"       \
	"\"target_latency_ms\":300,\"priority\":2,\"max_attempts\":2" more "}"

static fixture_t *
start(const char *routes)
{
	fake_endpoint_opts_t o = { .plain_ms = 20 };
	fixture_t *st = fixture_new();
	int i;

	fixture_put_config(st, routes);
	for (i = 0; i < 3; i++)
		fixture_add_endpoint(st, &o, "app");
	fixture_start_daemon(st, 0, true);
	fixture_run(st, READ_MS);
	return st;
}

static guint
runs(const fixture_t *st)
{
	guint n = 0;
	int i;

	for (i = 0; i < st->nendpoint; i++)
		n += fake_endpoint_executed(st->endpoint[i])->len;
	return n;
}

/*
 * Guards against an unsafe call that goes by a safe route whose prefix is the
 * same in its first bytes, and runs again when its answer is lost.
 */
static void
unsafe_route_with_a_long_prefix(void)
{
	fixture_t *st = start(ROUTE("history", LONG "/history/", "safe",
	    ",\"service\":\"app\"") ROUTE("records", LONG "/records/", "unsafe",
	    ",\"service\":\"app\""));
	char id[16];
	int i;

	for (i = 0; i < st->nendpoint; i++)
		fake_endpoint_set_fault(st->endpoint[i], ENDPOINT_RESET);
	for (i = 0; i < CALLS; i++) {
		guint before = runs(st);
		caller_t *c;

		snprintf(id, sizeof(id), "u%d", i);
		c = caller_call(st, 0, "POST", LONG "/records/1", id,
		    "Deadline-Remaining: 2000\r\n");
		g_assert_true(caller_wait(c, ANSWER_MS));
		g_assert_cmpuint(runs(st) - before, <=, 1);
		caller_free(c);
	}
	g_assert_cmpuint(runs(st), >, 0);
	fixture_free(st);
}

/* Guards against an answer that is taken for one to another call. */
static void
long_request_id(void)
{
	fixture_t *st = start("");
	char id[ID_BYTES + 1];

	memset(id, 'a', ID_BYTES);
	id[ID_BYTES] = '\0';
	caller_free(caller_expect(
	    st, 200, "POST", "/once/a", id, "Deadline-Remaining: 2000\r\n"));
	g_assert_cmpuint(runs(st), ==, 1);
	fixture_free(st);
}

#define UNUSED(n) "{\"service\":\"s" n "\",\"weight\":0},"

/* Guards against a split that loses its last services. */
static void
split_among_many_services(void)
{
	fixture_t *st = start(ROUTE("split", "/split/", "safe",
	    ",\"traffic_split\":[" UNUSED("1") UNUSED("2") UNUSED("3")
		UNUSED("4") UNUSED("5") UNUSED("6") UNUSED("7") UNUSED("8")
		    UNUSED("9") "{\"service\":\"app\",\"weight\":100}]"));

	caller_free(caller_expect(st, 200, "GET", "/split/a", "s1", ""));
	fixture_free(st);
}

#define NAME_OF_64 \
	"a234567890123456789012345678901234567890123456789012345678901234"

/*
 * Guards against a call that goes by a route with a shorter prefix, or to a
 * service whose name has the same first bytes.
 */
static void
unusable_route_hides_no_other(void)
{
	fixture_t *st = start(ROUTE("none", "/safe/none/", "safe", "") ROUTE(
	    "long", "/safe/long/", "safe", ",\"service\":\"" NAME_OF_64 "\""));

	caller_free(caller_expect(st, 503, "GET", "/safe/none/a", "n1", ""));
	caller_free(caller_expect(st, 503, "GET", "/safe/long/a", "n2", ""));
	caller_free(caller_expect(st, 200, "GET", "/safe/a", "n3", ""));
	g_assert_cmpuint(runs(st), ==, 1);
	fixture_free(st);
}

/* Guards against a model whose name is cut to that of another. */
static void
long_model_is_refused_at_once(void)
{
	fake_endpoint_opts_t o = {
		.model = "m1", .events = 2, .event_gap = 10, .adapter_slots = 4
	};
	fixture_t *st = start("");

	fixture_add_endpoint(st, &o, "llm");
	fixture_run(st, READ_MS);
	caller_free(caller_expect(st, 503, "POST", "/gen/a", "m1",
	    "Model: " NAME_OF_64 "\r\nDeadline-Remaining: 2000\r\n"));
	caller_free(caller_expect(st, 503, "POST", "/gen/a", "m2",
	    "Model: m1/" NAME_OF_64 "\r\nDeadline-Remaining: 2000\r\n"));
	/* Nothing was asked of the endpoint that holds "m1". */
	g_assert_cmpuint(fake_endpoint_arrivals(st->endpoint[3])->len, ==, 0);
	fixture_free(st);
}

/* Guards against a request for a host that goes by another one's route. */
static void
long_host(void)
{
	fixture_t *st = start(
	    ",{\"name\":\"long\",\"host\":\"" NAME_OF_64
	    ".example\",\"path_prefix\":\"/safe/\",\"kind\":\"safe\","
	    "\"timeout_ms\":2000,\"target_latency_ms\":300,\"priority\":2,"
	    "\"max_attempts\":2,\"service\":\"app\"}");
	static const struct {
		const char *host;
		int status;
	} row[] = { { NAME_OF_64 ".example", 200 },
		{ NAME_OF_64 ".another", 404 }, { NAME_OF_64, 404 } };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(row); i++) {
		char *text = g_strdup_printf("GET /safe/a HTTP/1.1\r\n"
					     "Host: %s\r\nRequest-Id: "
					     "h%zu\r\n\r\n",
		    row[i].host, i);
		caller_t *c = caller_send(st, 0, text);

		g_assert_true(caller_wait(c, ANSWER_MS));
		g_assert_cmpint(c->status, ==, row[i].status);
		caller_free(c);
		g_free(text);
	}
	fixture_free(st);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN);
#define T(name) g_test_add_func("/long_text/" #name, name)
	T(unsafe_route_with_a_long_prefix);
	T(long_request_id);
	T(split_among_many_services);
	T(unusable_route_hides_no_other);
	T(long_model_is_refused_at_once);
	T(long_host);
	return g_test_run();
}
