/* Release notes applied through real controld processes: concurrent applies,
 * lost replies, outages and reading back. */
#include "tests/system.h"

#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

enum {
	CALL_MS = 20000,
	CONCURRENT_APPLIES = 6,
	TEXT_MAX = 512,
};

static reply_t
apply(system_t *s, int entry, const char *path, const char *text)
{
	return http_call("POST", s->entry[entry].operator, path,
	    "X-User: tester", text, CALL_MS);
}

/* Write note n, on base n - 1, which adds a model. */
static void
note_text(char *buf, uint64_t n, const char *id)
{
	g_snprintf(buf, TEXT_MAX,
	    "[note]\nid = %s\nbase = %d\n[add model m-%s]\nservice = llm\n"
	    "version = 1\nmemory_mb = 100\n",
	    id, (int)n - 1, id);
}

static int64_t
note_number(const char *body)
{
	json_t *j = json_loads(body, 0, NULL);
	int64_t n = json_integer_value(json_object_get(j, "number"));

	json_decref(j);
	return n;
}

static int64_t
head_number(system_t *s)
{
	return system_json_int(
	    s->platform_addr, "/v1/objects/note/head", "number");
}

static void
refusals_give_the_reason(void)
{
	static const struct {
		const char *what, *text;
		int status;
		const char *expected;
	} rows[] = {
		{ "not INI", "hello\n", 400, "1: not an INI line" },
		{ "all errors are reported",
		    "[note]\nid = a\nbase = 0\n[add model m]\nservice = no\n"
		    "version = 1\nmemory_mb = 5\n[withdraw model q]\n"
		    "reason = r\n",
		    400, "5: service 'no' is unknown\\n9: there is no" },
		{ "a later base",
		    "[note]\nid = a\nbase = 7\n[add model m]\nservice = llm\n"
		    "version = 1\nmemory_mb = 5\n",
		    409, "the head is 0" },
		{ "larger than any worker",
		    "[note]\nid = a\nbase = 0\n[add model m]\nservice = llm\n"
		    "version = 1\nmemory_mb = 1001\n",
		    400, "m: 0 of 1 copies of 1001 MB fit" },
		{ "more copies than workers",
		    "[note]\nid = a\nbase = 0\n[add model m]\nservice = llm\n"
		    "version = 1\nmemory_mb = 5\ncopies = 3\n",
		    400, "once applied: m: 2 of 3 copies" },
		{ "all together too large",
		    "[note]\nid = a\nbase = 0\n[add model m]\nservice = llm\n"
		    "version = 1\nmemory_mb = 700\n[add model n]\n"
		    "service = llm\nversion = 1\nmemory_mb = 700\n"
		    "[add model o]\nservice = llm\nversion = 1\n"
		    "memory_mb = 400\n",
		    400, "0 of 1 copies of 400 MB fit" },
	};
	system_opts_t o = { .nengine = 2, .nservice = 0, .memory_mb = 1000 };
	system_t *s = system_start(&o);
	size_t i, k;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		for (k = 0; k < 2; k++) {
			reply_t r = apply(s, 0,
			    k == 0 ? "/v1/notes" : "/v1/notes/check",
			    rows[i].text);

			if (r.status != rows[i].status ||
			    strstr(r.body, rows[i].expected) == NULL)
				g_error("%s: %d %s", rows[i].what, r.status,
				    r.body);
			reply_clear(&r);
		}
	g_assert_cmpint(head_number(s), ==, -1);
	system_stop(s);
}

/*
 * A note whose models fit before and after it, but not while the old version is
 * still loaded beside the new one, must be refused.
 */
static void
note_must_fit_while_applied(void)
{
	system_opts_t o = { .nengine = 1, .memory_mb = 1000 };
	system_t *s = system_start(&o);
	reply_t r = apply(s, 0, "/v1/notes",
	    "[note]\nid = one\nbase = 0\n[add model m]\nservice = llm\n"
	    "version = 1\nmemory_mb = 600\n");

	g_assert_cmpint(r.status, ==, 200);
	reply_clear(&r);
	r = apply(s, 0, "/v1/notes",
	    "[note]\nid = two\nbase = 1\n[change model m]\nversion = 2\n");
	g_assert_cmpint(r.status, ==, 400);
	g_assert_nonnull(strstr(r.body, "while it is applied: m: "));
	g_assert_null(strstr(r.body, "once applied"));
	reply_clear(&r);
	g_assert_cmpint(head_number(s), ==, 1);
	system_stop(s);
}

static void
repeated_apply_is_idempotent(void)
{
	system_opts_t o = { .nengine = 1 };
	system_t *s = system_start(&o);
	char text[TEXT_MAX];
	reply_t r;
	int i;

	note_text(text, 1, "a");
	for (i = 0; i < 4; i++) {
		r = apply(s, i % 2, "/v1/notes", text);
		g_assert_cmpint(r.status, ==, 200);
		g_assert_cmpint(note_number(r.body), ==, 1);
		reply_clear(&r);
		if (i == 2) {
			char later[TEXT_MAX];

			note_text(later, 2, "b");
			r = apply(s, 0, "/v1/notes", later);
			g_assert_cmpint(note_number(r.body), ==, 2);
			reply_clear(&r);
		}
	}
	g_strlcat(text, "copies = 1\n", sizeof(text));
	r = apply(s, 0, "/v1/notes", text);
	g_assert_cmpint(r.status, ==, 409);
	g_assert_nonnull(
	    strstr(r.body, "accepted as note 1 with another text"));
	reply_clear(&r);
	g_assert_cmpint(head_number(s), ==, 2);
	system_stop(s);
}

typedef struct concurrent_apply {
	system_t *s;
	int entry;
	char text[TEXT_MAX];
	reply_t r;
} concurrent_apply_t;

static gpointer
run_apply(gpointer user)
{
	concurrent_apply_t *a = user;

	a->r = apply(a->s, a->entry, "/v1/notes", a->text);
	return NULL;
}

static void
one_concurrent_note_wins(void)
{
	system_opts_t o = { .nengine = 1 };
	system_t *s = system_start(&o);
	concurrent_apply_t racer[CONCURRENT_APPLIES];
	GThread *thread[CONCURRENT_APPLIES];
	char id[ID_MAX], won[TEXT_MAX];
	int n, i, wins;

	for (n = 1; n <= 4; n++) {
		for (i = 0; i < CONCURRENT_APPLIES; i++) {
			racer[i] =
			    (concurrent_apply_t){ .s = s, .entry = i % 2 };
			g_snprintf(id, sizeof(id), "n%d-%d", n, i);
			note_text(racer[i].text, (uint64_t)n, id);
			thread[i] = g_thread_new("racer", run_apply, &racer[i]);
		}
		for (i = 0; i < CONCURRENT_APPLIES; i++)
			g_thread_join(thread[i]);
		for (i = wins = 0; i < CONCURRENT_APPLIES; i++)
			if (racer[i].r.status == 200) {
				wins++;
				g_snprintf(won, sizeof(won),
				    "note %d 'n%d-%d' by tester", n, n, i);
			}
		g_assert_cmpint(wins, ==, 1);
		for (i = 0; i < CONCURRENT_APPLIES; i++) {
			if (racer[i].r.status != 200) {
				g_assert_cmpint(racer[i].r.status, ==, 409);
				g_assert_nonnull(strstr(racer[i].r.body, won));
			}
			reply_clear(&racer[i].r);
		}
		g_assert_cmpint(head_number(s), ==, n);
	}
	system_stop(s);
}

/*
 * Writes to the platform take effect but k of its replies are lost. The note
 * must still be accepted once, and never be reported as refused.
 */
static void
lost_replies_are_resolved(void)
{
	system_opts_t o = { .nengine = 1, .nentry = 1 };
	system_t *s = system_start(&o);
	char text[TEXT_MAX], id[ID_MAX], fault[TEXT_MAX];
	reply_t r;
	int k;

	for (k = 1; k <= 8; k++) {
		g_snprintf(id, sizeof(id), "k%d", k);
		note_text(text, (uint64_t)k, id);
		g_snprintf(fault, sizeof(fault), "{\"drop_replies\":%d}", k);
		system_set_faults(s->platform_addr, fault);
		r = apply(s, 0, "/v1/notes", text);
		if (r.status != 200) {
			/* The error must say to apply the same note
			 * again, which must succeed. */
			g_assert_cmpint(r.status, ==, 503);
			g_assert_nonnull(strstr(r.body, "same apply again"));
			system_set_faults(
			    s->platform_addr, "{\"drop_replies\":0}");
			reply_clear(&r);
			r = apply(s, 0, "/v1/notes", text);
		}
		g_assert_cmpint(r.status, ==, 200);
		g_assert_cmpint(note_number(r.body), ==, k);
		g_assert_cmpint(head_number(s), ==, k);
		reply_clear(&r);
	}
	system_stop(s);
}

/*
 * An acceptor died after it wrote note/1 and before it set the head. The next
 * apply, of another note or of the same one, must complete that note, or no
 * other could ever be accepted.
 */
static void
unfinished_note_is_completed(void)
{
	static const char *const applied[] = { "another note",
		"the same note" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(applied); i++) {
		system_opts_t o = { .nengine = 1, .nentry = 1 };
		system_t *s = system_start(&o);
		char text[TEXT_MAX], other[TEXT_MAX], *body;
		json_t *j;
		reply_t r;

		note_text(text, 1, "orphan");
		note_text(other, 1, "other");
		j = json_pack("{s:i,s:s,s:s,s:i,s:s}", "number", 1, "id",
		    "orphan", "who", "dead", "at", 5, "text", text);
		body = json_dumps(j, 0);
		r = http_call("PUT", s->platform_addr, "/v1/objects/note/1",
		    "If-None-Match: *\nX-User: t", body, CALL_MS);
		g_assert_cmpint(r.status, ==, 200);
		reply_clear(&r);
		/* It isn't accepted yet, so it can't be read. */
		r = http_call("GET", s->entry[0].operator, "/v1/notes/1", NULL,
		    NULL, CALL_MS);
		g_assert_cmpint(r.status, ==, 404);
		reply_clear(&r);
		r = apply(s, 0, "/v1/notes", i == 0 ? other : text);
		g_assert_cmpint(r.status, ==, i == 0 ? 409 : 200);
		if (i == 0)
			g_assert_nonnull(
			    strstr(r.body, "note 1 'orphan' by dead"));
		reply_clear(&r);
		g_assert_cmpint(head_number(s), ==, 1);
		free(body);
		json_decref(j);
		system_stop(s);
	}
}

static void
outage_is_reported(void)
{
	system_opts_t o = { .nengine = 1, .nentry = 1 };
	system_t *s = system_start(&o);
	char text[TEXT_MAX];
	reply_t r;

	note_text(text, 1, "a");
	system_set_faults(s->platform_addr, "{\"outage_ms\":-1}");
	r = apply(s, 0, "/v1/notes", text);
	g_assert_cmpint(r.status, ==, 503);
	reply_clear(&r);
	system_set_faults(s->platform_addr, "{\"outage_ms\":0}");
	g_assert_cmpint(head_number(s), ==, -1);
	r = apply(s, 0, "/v1/notes", text);
	g_assert_cmpint(r.status, ==, 200);
	reply_clear(&r);
	system_stop(s);
}

static char *
note_state(system_t *s, int entry, int n)
{
	char *path = g_strdup_printf("/v1/notes/%d/status", n), *state;
	reply_t r = http_call(
	    "GET", s->entry[entry].operator, path, NULL, NULL, CALL_MS);
	json_t *j = json_loads(r.body, 0, NULL);

	state = g_strdup(json_string_value(json_object_get(j, "state")));
	json_decref(j);
	reply_clear(&r);
	g_free(path);
	return state;
}

typedef struct expected_state {
	system_t *s;
	const char *state;
} expected_state_t;

static bool
has_state(void *user)
{
	expected_state_t *w = user;
	char *state = note_state(w->s, 0, 1);
	bool equal = g_strcmp0(state, w->state) == 0;

	g_free(state);
	return equal;
}

/* A note isn't in force while an instance that hasn't taken it is paused. */
static void
status_never_overstates(void)
{
	system_opts_t o = { .nengine = 1, .nentry = 3 };
	system_t *s = system_start(&o);
	expected_state_t spreading = { s, "spreading" },
			 in_force = { s, "in force" };
	char text[TEXT_MAX], *state;
	reply_t r;
	int i;

	proc_signal(s->entry[2].controld, SIGSTOP);
	note_text(text, 1, "a");
	r = apply(s, 0, "/v1/notes", text);
	g_assert_cmpint(r.status, ==, 200);
	reply_clear(&r);
	g_assert_true(eventually(has_state, &spreading, START_MS));
	for (i = 0; i < 20; i++) {
		state = note_state(s, 0, 1);
		g_assert_cmpstr(state, !=, "in force");
		g_free(state);
		clock_sleep(100);
	}
	proc_signal(s->entry[2].controld, SIGCONT);
	g_assert_true(eventually(has_state, &in_force, START_MS));
	system_stop(s);
}

static int
run_tool(system_t *s, const char *file, const char *const *words)
{
	char *args[16];
	proc_t *p;
	int n = 0, rc;

	if (s != NULL) {
		args[n++] = "--addr";
		args[n++] = "127.0.0.1:1"; /* refuses; the next is tried */
		args[n++] = "--addr";
		args[n++] = s->entry[0].operator;
	}
	for (; *words != NULL; words++)
		args[n++] =
		    (char *)(strcmp(*words, "FILE") == 0 ? file : *words);
	args[n] = NULL;
	p = proc_startv("ebonypitch", args);
	g_assert_true(proc_ended(p, CALL_MS));
	rc = WIFEXITED(p->status) ? WEXITSTATUS(p->status) : -1;
	proc_kill(p);
	return rc;
}

static void
tool_exit_codes(void)
{
	static const struct {
		bool addr;
		int exit;
		const char *words[6];
	} rows[] = {
		{ true, 0, { "note", "check", "FILE" } },
		{ true, 0, { "note", "apply", "FILE" } },
		{ true, 0, { "note", "apply", "FILE" } },
		{ true, 1, { "note", "check", "build/testlog/none.ini" } },
		{ true, 0, { "note", "status", "1" } },
		{ true, 1, { "note", "status", "2" } },
		{ true, 2, { "note", "status", "x" } },
		{ true, 0, { "note", "list" } },
		{ true, 0, { "note", "show", "1", "--json" } },
		{ true, 0, { "status" } },
		{ true, 0, { "status", "--json" } },
		{ true, 0, { "audit", "--kind", "note" } },
		{ true, 2, { "nothing" } },
		{ false, 2, { "status" } },
		{ false, 0, { "--help" } },
		{ false, 3, { "--addr", "127.0.0.1:1", "status" } },
		{ false, 0,
		    { "settings", "check", "settings/granite-ridge.ini",
			"build/testlog/own.ini" } },
		{ false, 1, { "settings", "check", "FILE" } },
	};
	system_opts_t o = { .nengine = 1, .nentry = 1 };
	system_t *s = system_start(&o);
	char text[TEXT_MAX], *file = "build/testlog/note.ini";
	size_t i;

	note_text(text, 1, "a");
	g_assert_true(g_file_set_contents(file, text, -1, NULL));
	g_assert_true(g_file_set_contents("build/testlog/none.ini",
	    "[note]\nid = none\nbase = 0\n", -1, NULL));
	g_assert_true(g_file_set_contents("build/testlog/own.ini",
	    "[instance]\nid = e\ndomain = nh-concord\nsecret = s\n"
	    "caller_addr = 127.0.0.1:1\npeer_addr = 127.0.0.1:2\n"
	    "operator_addr = 127.0.0.1:3\n[platform]\naddr = 127.0.0.1:4\n",
	    -1, NULL));
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		int rc = run_tool(rows[i].addr ? s : NULL, file, rows[i].words);

		if (rc != rows[i].exit)
			g_error("%s %s: exit %d", rows[i].words[0],
			    rows[i].words[1], rc);
	}
	system_stop(s);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/note/refusals", refusals_give_the_reason);
	g_test_add_func(
	    "/note/fits-while-applied", note_must_fit_while_applied);
	g_test_add_func("/note/repeated-apply", repeated_apply_is_idempotent);
	g_test_add_func("/note/concurrent-applies", one_concurrent_note_wins);
	g_test_add_func("/note/lost-replies", lost_replies_are_resolved);
	g_test_add_func("/note/unfinished", unfinished_note_is_completed);
	g_test_add_func("/note/outage", outage_is_reported);
	g_test_add_func("/note/status", status_never_overstates);
	g_test_add_func("/note/tool-exit-codes", tool_exit_codes);
	return g_test_run();
}
