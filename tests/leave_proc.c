/* A leaving instance gets no new calls, and a planned stop aborts no call. */
#include "tests/system.h"

#include <glib.h>
#include <signal.h>
#include <string.h>

enum {
	CALL_MS = 30000,
	LEAVE_KNOWN_MS = 3000, /* by then all know that it leaves */
	STOP_MS = 30000,
	IN_FORCE_MS = 14000,
	CHATS = 8,
	TOKENS = 500,
};

static system_t *
start_system(void)
{
	system_opts_t o = { .nentry = 3,
		.ndomain = 3,
		.nengine = 3,
		.nservice = 2,
		/* one copy has room for all calls: none is refused */
		.slots = 32,
		.token_ms = 10,
		.work_ms = 2000 };
	system_t *s = system_start(&o);

	system_apply_first_note(s, 1, 0);
	return s;
}

static void
start_calls(background_t *c, const char *addr, const char *name)
{
	int i;

	for (i = 0; i < CHATS; i++) {
		c[i] = (background_t){ .addr = addr,
			.path = i % 4 == 3 ? "/slow" : NULL,
			.tokens = TOKENS,
			.timeout = CALL_MS };
		snprintf(c[i].prompt, sizeof(c[i].prompt), "%s-%d", name, i);
		background_start(&c[i]);
	}
}

static void
check_calls(background_t *c)
{
	int i;

	background_join(c, CHATS);
	for (i = 0; i < CHATS; i++) {
		g_test_message("%s: %d %s tokens=%d", c[i].prompt,
		    c[i].outcome.status, c[i].outcome.code,
		    c[i].outcome.tokens);
		g_assert_cmpint(c[i].outcome.status, ==, 200);
		g_assert_true(c[i].outcome.whole);
	}
}

/* Does the entry list of @p entry contain an address? */
static bool
lists_address(const char *entry, const char *addr)
{
	reply_t r = http_call("GET", entry, "/v1/entries", NULL, NULL, CALL_MS);
	bool found = strstr(r.body, addr) != NULL;

	reply_clear(&r);
	return found;
}

static void
stop_entry(system_t *s, int n)
{
	proc_signal(s->entry[n].entryd, SIGTERM);
	proc_signal(s->entry[n].controld, SIGTERM);
}

/*
 * An entry stops while the platform still lists it as live and callers keep its
 * address. It must be off the entry list within 2 s and refuse late calls, and
 * its calls in progress must end whole.
 */
static void
stopped_entry_gets_no_new_calls(void)
{
	system_t *s = start_system();
	background_t c[CHATS];
	outcome_t got;
	ms_t from, delisted_ms = 0;

	start_calls(c, s->entry[0].caller, "leave");
	clock_sleep(300);
	from = clock_now(&machine_clock);
	stop_entry(s, 0);
	while (clock_now(&machine_clock) - from < LEAVE_KNOWN_MS) {
		if (delisted_ms == 0 &&
		    !lists_address(s->entry[1].caller, s->entry[0].caller))
			delisted_ms = clock_now(&machine_clock) - from;
		clock_sleep(20);
	}
	g_test_message(
	    "removed from the list after %" PRId64 " ms", delisted_ms);
	g_assert_cmpint(delisted_ms, >, 0);
	g_assert_cmpint(delisted_ms, <=, 2000);
	got = system_chat(s->entry[0].caller, "m0", "late", 5, CALL_MS);
	g_test_message("late call: %d %s %s", got.status, got.code, got.ran);
	g_assert_true(got.status == 0 ||
		      (got.status == 503 && strcmp(got.ran, "no") == 0));
	check_calls(c);
	g_assert_true(proc_ended(s->entry[0].entryd, STOP_MS));
	g_assert_true(proc_ended(s->entry[0].controld, STOP_MS));
	g_assert_cmpint(s->entry[0].entryd->status, ==, 0);
	g_assert_cmpint(s->entry[0].controld->status, ==, 0);
	got = system_chat(s->entry[1].caller, "m0", "after", 5, CALL_MS);
	g_assert_true(got.whole);
	system_stop(s);
}

/*
 * Two entries stop at once while the platform is down. Their calls in progress
 * must still end whole.
 */
static void
two_entries_stop_in_an_outage(void)
{
	system_t *s = start_system();
	background_t c[CHATS], d[CHATS];
	int i;

	start_calls(c, s->entry[0].caller, "two-a");
	start_calls(d, s->entry[1].caller, "two-b");
	clock_sleep(500);
	system_set_faults(s->platform_addr, "{\"outage_ms\":-1}");
	stop_entry(s, 0);
	stop_entry(s, 1);
	check_calls(c);
	check_calls(d);
	system_set_faults(s->platform_addr, "{\"outage_ms\":0}");
	for (i = 0; i < 2; i++) {
		g_assert_true(proc_ended(s->entry[i].entryd, STOP_MS));
		g_assert_true(proc_ended(s->entry[i].controld, STOP_MS));
	}
	system_stop(s);
}

/*
 * The planner's instance stops while the models of a note are loaded. Another
 * planner must bring the note in force, and calls in progress must end whole.
 */
static void
planner_stops_while_note_loads(void)
{
	system_t *s = start_system();
	background_t c[CHATS];
	reply_t r;
	int planner, other;

	r = http_call("GET", s->platform_addr, "/v1/objects/lease/planner",
	    NULL, NULL, CALL_MS);
	for (planner = 0; planner + 1 < s->nentry; planner++) {
		char *held = g_strdup_printf("\"%s\"", s->entry[planner].id);
		bool found = strstr(r.body, held) != NULL;

		g_free(held);
		if (found)
			break;
	}
	reply_clear(&r);
	other = (planner + 1) % s->nentry;
	start_calls(c, s->entry[planner].caller, "note");
	clock_sleep(300);
	g_assert_cmpuint(
	    system_apply_note(s, other,
		"[note]\nid = second\nbase = 1\n[change model m0]\nversion = "
		"2\n[add model m7]\nservice = llm\nversion = 1\nmemory_mb = "
		"9000\ncopies = 2\n[add model m8]\nservice = llm\nversion = "
		"1\nmemory_mb = 9000\ncopies = 2\n"),
	    ==, 2);
	stop_entry(s, planner);
	system_set_listed(s, s->entry[planner].id, true, true);
	g_assert_true(system_in_force(s, other, 2, IN_FORCE_MS));
	g_assert_true(
	    system_chat_retry(s->entry[other].caller, "m8", "eight", 5, CALL_MS)
		.whole);
	check_calls(c);
	g_assert_true(proc_ended(s->entry[planner].entryd, STOP_MS));
	g_assert_true(proc_ended(s->entry[planner].controld, STOP_MS));
	system_stop(s);
}

static void
post_leave(system_t *s, int worker)
{
	reply_t r = http_call("POST", s->worker[worker].addr, "/control/leave",
	    NULL, "{}", CALL_MS);

	g_assert_cmpint(r.status / 100, ==, 2);
	reply_clear(&r);
}

/*
 * A worker announces that it leaves before the platform lists it so. Once that
 * is known no call may be started on it, and those in progress must end whole.
 */
static void
leaving_worker_gets_no_new_calls(void)
{
	system_t *s = start_system();
	background_t c[CHATS];
	int64_t before, after;
	outcome_t got;
	int i;

	start_calls(c, s->entry[0].caller, "worker");
	clock_sleep(300);
	post_leave(s, 0);
	clock_sleep(LEAVE_KNOWN_MS);
	before =
	    system_json_int(s->worker[0].addr, "/control/record", "started");
	for (i = 0; i < 30; i++) {
		got = system_chat(
		    s->entry[i % 3].caller, "m0", "new", 3, CALL_MS);
		g_assert_true(got.whole);
	}
	after =
	    system_json_int(s->worker[0].addr, "/control/record", "started");
	g_assert_cmpint(before, >=, 0);
	g_assert_cmpint(after, ==, before);
	check_calls(c);
	system_stop(s);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/leave/entry", stopped_entry_gets_no_new_calls);
	g_test_add_func(
	    "/leave/two-in-an-outage", two_entries_stop_in_an_outage);
	g_test_add_func("/leave/worker", leaving_worker_gets_no_new_calls);
	g_test_add_func("/leave/in-a-note", planner_stops_while_note_loads);
	return g_test_run();
}
