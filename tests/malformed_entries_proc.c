/*
 * Another writer leaves malformed entries among those of the endpoints. The
 * daemons go on reading all others, and none ends by itself.
 */
#include "tests/fixture.h"

#include <signal.h>
#include <string.h>

enum {
	ENDPOINTS = 4,
	READ_MS = 1500,
	CALLS = 12,
	ANSWER_MS = 4000,
	DEEP = 5000,
};

/** An entry that another writer left. */
typedef struct malformed {
	const char *name;
	const char *spec; /* NULL: deeply nested */
} malformed_t;

#define FIELDS \
	"\"service\":\"app\",\"zone\":\"north\",\"state\":\"ready\",\"seq\":1"

static const malformed_t malformed[] = {
	{ "a deep one", NULL },
	{ "a-nul", "\"\\u0000\\u0008x\\u0000\\u0001\\u0002\"" },
	{ "a-nul-key", "{\"\\u0000\":1}" },
	{ "a-large-number", "{\"slots\":99999999999999999999," FIELDS "}" },
	{ "a-larger-number", "{\"slots\":1e999," FIELDS "}" },
	{ "a-surrogate", "{\"address\":\"\\ud800\"," FIELDS "}" },
	{ "bytes", "{\"address\":\"\xff\xfe\"," FIELDS "}" },
	{ "z-last/port?&",
	    "{\"address\":\"127.0.0.1:99999\",\"slots\":4," FIELDS "}" },
	{ "z-last-slots",
	    "{\"address\":\"127.0.0.1:9\",\"slots\":0," FIELDS "}" },
};

static char *
deep_spec(void)
{
	char *open = g_strnfill(DEEP, '['), *close = g_strnfill(DEEP, ']');
	char *text = g_strconcat(open, close, NULL);

	g_free(open);
	g_free(close);
	return text;
}

static void
put_malformed(fixture_t *st, const malformed_t *o)
{
	char *deep = deep_spec();

	fake_store_put_text(
	    st->store, "servers", o->name, o->spec != NULL ? o->spec : deep);
	g_free(deep);
}

static fixture_t *
start(int page, bool malformed_first)
{
	fake_endpoint_opts_t o = { .plain_ms = 10 };
	fixture_t *st = fixture_new();
	size_t k;
	int i;

	fake_store_set_page(st->store, page);
	fixture_put_config(st, "");
	for (k = 0; malformed_first && k < G_N_ELEMENTS(malformed); k++)
		put_malformed(st, &malformed[k]);
	for (i = 0; i < ENDPOINTS; i++)
		fixture_add_endpoint(st, &o, "app");
	fixture_start_daemon(st, 0, true);
	fixture_run(st, READ_MS);
	return st;
}

/* All calls are served. */
static void
make_calls(fixture_t *st)
{
	static int serial;
	char id[24];
	int i;

	for (i = 0; i < CALLS; i++) {
		caller_t *c;

		snprintf(id, sizeof(id), "p%d", ++serial);
		c = caller_call(st, 0, "POST", "/once/a", id,
		    "Deadline-Remaining: 2000\r\n");
		g_assert_true(caller_wait(c, ANSWER_MS));
		g_assert_cmpint(c->status, ==, 200);
		caller_free(c);
	}
	g_assert_false(proc_ended(st->daemon[0], 0));
}

static guint
runs_of(const fixture_t *st, int endpoint)
{
	return fake_endpoint_executed(st->endpoint[endpoint])->len;
}

static int
busiest(const fixture_t *st)
{
	int i, most = 0;

	for (i = 1; i < st->nendpoint; i++)
		if (runs_of(st, i) > runs_of(st, most))
			most = i;
	return most;
}

/* The endpoint that got most calls leaves, and another one joins. */
static void
assert_follows(fixture_t *st)
{
	fake_endpoint_opts_t o = { .plain_ms = 1 };
	guint before;
	int leaver;

	make_calls(st);
	leaver = busiest(st);
	before = runs_of(st, leaver);
	g_assert_cmpuint(before, >, 0);
	fixture_put_entry(st, leaver, "app", true);
	fixture_add_endpoint(st, &o, "app");
	fixture_run(st, READ_MS);
	make_calls(st);
	g_assert_cmpuint(runs_of(st, leaver), ==, before);
	g_assert_cmpint(
	    fixture_counter(st, 0, "ebonypitch_endpoints"), ==, ENDPOINTS);
}

/* Guards against a watch that gets the same malformed entry again and again. */
static void
malformed_entry_in_a_watch(gconstpointer which)
{
	fixture_t *st = start(0, false);

	put_malformed(st, which);
	fixture_run(st, READ_MS);
	assert_follows(st);
	fixture_free(st);
}

/* Guards against a daemon that never gets ready, or ends, after its start. */
static void
malformed_entries_in_a_list(void)
{
	fixture_t *st = start(0, true);

	assert_follows(st);
	fixture_free(st);
}

/* Guards against a list that ends with a page of malformed entries. */
static void
malformed_entries_over_pages(void)
{
	int page;

	for (page = 1; page <= 3; page++) {
		fixture_t *st = start(page, true);

		assert_follows(st);
		fixture_free(st);
	}
}

/** An endpoint leaves between two pages of the daemon's first list. */
typedef struct leave {
	fixture_t *st;
	bool done;
} leave_t;

static void
leave_once(void *arg)
{
	leave_t *l = arg;

	if (!l->done)
		fixture_put_entry(l->st, 0, "app", true);
	l->done = true;
}

/* Guards against a change to an earlier page of a list that no watch shows. */
static void
change_between_pages(void)
{
	fake_endpoint_opts_t o = { .plain_ms = 10 };
	fixture_t *st = fixture_new();
	leave_t l = { .st = st };
	int i;

	fake_store_set_page(st->store, 1);
	fixture_put_config(st, "");
	for (i = 0; i < ENDPOINTS; i++)
		fixture_add_endpoint(st, &o, "app");
	fake_store_set_page_fn(st->store, leave_once, &l);
	fixture_start_daemon(st, 0, true);
	fixture_run(st, READ_MS);
	g_assert_true(l.done);
	g_assert_cmpint(
	    fixture_counter(st, 0, "ebonypitch_endpoints"), ==, ENDPOINTS - 1);
	make_calls(st);
	g_assert_cmpuint(runs_of(st, 0), ==, 0);
	fixture_free(st);
}

int
main(int argc, char **argv)
{
	size_t k;

	g_test_init(&argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN);
	for (k = 0; k < G_N_ELEMENTS(malformed); k++) {
		char *path = g_strdup_printf(
		    "/malformed_entries/malformed_entry_in_a_watch/%zu", k + 1);

		g_test_add_data_func(
		    path, &malformed[k], malformed_entry_in_a_watch);
		g_free(path);
	}
	g_test_add_func("/malformed_entries/malformed_entries_in_a_list",
	    malformed_entries_in_a_list);
	g_test_add_func("/malformed_entries/malformed_entries_over_pages",
	    malformed_entries_over_pages);
	g_test_add_func(
	    "/malformed_entries/change_between_pages", change_between_pages);
	return g_test_run();
}
