/* ebonypitch explain: where a daemon would send a request, without sending it.
 */
#include "tests/fixture.h"

#include <jansson.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

enum {
	WAIT_MS = 5000,
	ENGINES = 3,
};

static const fake_endpoint_opts_t engine = {
	.model = "m1", .events = 8, .event_gap = 20, .adapter_slots = 4
};

static fixture_t *
start(void)
{
	fixture_t *st = fixture_new();
	int i;

	fixture_put_config(st, "");
	for (i = 0; i < ENGINES; i++)
		fixture_add_endpoint(st, &engine, "llm");
	fixture_start_daemon(st, 0, true);
	return st;
}

/* @return what the command says of a request to h.example */
static json_t *
explain(fixture_t *st, const char *path, const char *model)
{
	char *addr = g_strdup_printf(
	    "%.*s:9464", (int)strcspn(st->caller[0], ":"), st->caller[0]);
	char *target = g_strdup_printf("h.example%s", path);
	char *field = g_strdup_printf("Model: %s", model), *file;
	char *args[] = { "--addr", addr, "--json", "explain", target, field,
		"Token-Usage: 100,20", "Request-Id: x", NULL };
	int fd = g_file_open_tmp(NULL, &file, NULL);
	json_error_t e;
	json_t *j;
	proc_t *p;

	proc_output(fd);
	p = proc_startv("ebonypitch", args);
	g_assert_true(proc_ended(p, WAIT_MS));
	g_assert_true(WIFEXITED(p->status));
	g_assert_cmpint(WEXITSTATUS(p->status), ==, 0);
	proc_kill(p);
	j = json_load_file(file, 0, &e);
	g_assert_nonnull(j);
	close(fd);
	unlink(file);
	g_free(file);
	g_free(addr);
	g_free(target);
	g_free(field);
	return j;
}

static const char *
text(json_t *j, const char *key)
{
	const char *s = json_string_value(json_object_get(j, key));

	return s == NULL ? "" : s;
}

/* Guards against an explanation that sends, orders or leaves something out. */
static void
nothing_is_sent(void)
{
	fixture_t *st = start();
	json_t *j = explain(st, "/gen/a", "m1"), *p;
	int chosen = 0, i;
	size_t k;

	g_assert_cmpstr(text(j, "service"), ==, "llm");
	g_assert_cmpstr(text(j, "action"), ==, "send to the chosen endpoint");
	g_assert_cmpint(
	    json_array_size(json_object_get(j, "endpoints")), ==, ENGINES);
	json_array_foreach(json_object_get(j, "endpoints"), k, p)
	{
		g_assert_cmpstr(text(p, "verdict"), ==, "candidate");
		chosen += json_is_true(json_object_get(p, "chosen"));
	}
	g_assert_cmpint(chosen, ==, 1);
	json_decref(j);
	j = explain(st, "/gen/a", "m9");
	g_assert_true(g_str_has_prefix(text(j, "action"), "wait for a load"));
	json_decref(j);
	j = explain(st, "/elsewhere", "m1");
	g_assert_cmpint(
	    json_integer_value(json_object_get(j, "status")), ==, 404);
	json_decref(j);
	fixture_run(st, 300);
	for (i = 0; i < ENGINES; i++) {
		g_assert_cmpint(
		    fake_endpoint_executed(st->endpoint[i])->len, ==, 0);
		g_assert_cmpint(
		    fake_endpoint_orders(st->endpoint[i])->len, ==, 0);
	}
	fixture_free(st);
}

/* Guards against another choice than that of the call that follows. */
static void
the_call_goes_there(void)
{
	fixture_t *st = start();
	json_t *j = explain(st, "/gen/a", "m1"), *p;
	caller_t *c = caller_expect(st, 200, "POST", "/gen/a", "x",
	    "Model: m1\r\nToken-Usage: 100,20\r\n");
	size_t k;
	int i;

	json_array_foreach(json_object_get(j, "endpoints"), k, p)
	{
		for (i = 0; i < ENGINES; i++)
			if (strcmp(text(p, "endpoint"), st->id[i]) == 0)
				g_assert_cmpint(
				    fake_endpoint_executed(st->endpoint[i])
					->len,
				    ==,
				    json_is_true(json_object_get(p, "chosen")));
	}
	json_decref(j);
	caller_free(c);
	fixture_free(st);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/explain/nothing_is_sent", nothing_is_sent);
	g_test_add_func("/explain/the_call_goes_there", the_call_goes_there);
	return g_test_run();
}
