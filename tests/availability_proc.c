/*
 * Every model and adapter in force stays available, with a bounded
 * interruption, while a note is applied and while workers, controlds, a failure
 * domain or the platform fail.
 */
#include "tests/system.h"

#include <glib.h>
#include <signal.h>
#include <string.h>

enum {
	CALL_MS = 15000,
	MODELS = 4,
	ADAPTERS = 3,
	IN_FORCE_MS = 14000,	/* limit for a note to come into force */
	RECOVERY_MAX_MS = 5000, /* longest interruption of one item */
	TOKENS = 5,
};

/* Calls one model or adapter in a loop while something fails. */
typedef struct call_loop {
	system_t *s;
	char model[ID_MAX];
	int nentry; /* entries used, in turn */
	bool stop;
	int calls, succeeded, not_run, wrong;
	ms_t longest_gap; /* longest time without a complete answer */
	ms_t started_at;
	int64_t platform_calls; /* at the start */
	GThread *thread;
} call_loop_t;

static gpointer
run_call_loop(gpointer arg)
{
	call_loop_t *t = arg;
	ms_t last = clock_now(&machine_clock), now;
	char prompt[ID_MAX * 2];
	outcome_t o;

	while (!__atomic_load_n(&t->stop, __ATOMIC_ACQUIRE)) {
		snprintf(prompt, sizeof(prompt), "%s-%d", t->model, t->calls);
		o = system_chat(t->s->entry[t->calls % t->nentry].caller,
		    t->model, prompt, TOKENS, CALL_MS);
		t->calls++;
		now = clock_now(&machine_clock);
		if (o.whole) {
			t->succeeded++;
			if (now - last > t->longest_gap)
				t->longest_gap = now - last;
			last = now;
		} else if (strcmp(o.ran, "no") == 0) {
			t->not_run++;
			clock_sleep(o.retry_after > 0 ? o.retry_after : 20);
		} else if (o.status == 0) {
			clock_sleep(20); /* no answer: the entry is down */
		} else {
			t->wrong +=
			    o.foreign || o.status == 404 || o.status == 410;
		}
	}
	now = clock_now(&machine_clock);
	if (now - last > t->longest_gap)
		t->longest_gap = now - last;
	return NULL;
}

/* Requests that the platform received; a waiting watch counts as one. */
static int64_t
platform_calls(system_t *s)
{
	static const char *const kinds[] = { "reads", "writes", "watches" };
	int64_t n = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++)
		n += system_json_int(
		    s->platform_addr, "/control/stats", kinds[i]);
	return n;
}

static void
start_call_loops(
    system_t *s, call_loop_t *t, int nmodel, int nadapter, int nentry)
{
	int i;

	for (i = 0; i < nmodel + nadapter; i++) {
		memset(&t[i], 0, sizeof(t[i]));
		t[i].s = s;
		t[i].nentry = nentry;
		snprintf(t[i].model, ID_MAX, i < nmodel ? "m%d" : "a%d",
		    i < nmodel ? i : i - nmodel);
		t[i].started_at = clock_now(&machine_clock);
		t[i].platform_calls = platform_calls(s);
		t[i].thread = g_thread_new("call-loop", run_call_loop, &t[i]);
	}
}

static void
stop_call_loops(call_loop_t *t, int n, const char *what)
{
	int i;

	for (i = 0; i < n; i++)
		__atomic_store_n(&t[i].stop, true, __ATOMIC_RELEASE);
	g_test_message("%s: %" PRId64 " platform calls in %" PRId64 " ms", what,
	    platform_calls(t->s) - t->platform_calls,
	    clock_now(&machine_clock) - t->started_at);
	for (i = 0; i < n; i++) {
		g_thread_join(t[i].thread);
		g_test_message("%s %s: %d calls, %d whole, %d told not run, "
			       "without service %" PRId64 " ms",
		    what, t[i].model, t[i].calls, t[i].succeeded, t[i].not_run,
		    t[i].longest_gap);
		g_assert_cmpint(t[i].wrong, ==, 0);
		g_assert_cmpint(t[i].succeeded, >, 0);
		g_assert_cmpint(t[i].longest_gap, <=, RECOVERY_MAX_MS);
	}
}

static system_t *
start_system(void)
{
	system_opts_t o = { .nentry = 3, .ndomain = 3, .nengine = 6 };
	system_t *s = system_start(&o);

	system_apply_first_note(s, MODELS, ADAPTERS);
	return s;
}

/* Calls go on while a note changes every model and adapter. */
static void
calls_during_a_note(void)
{
	system_t *s = start_system();
	call_loop_t t[MODELS + ADAPTERS];
	GString *note = g_string_new("[note]\nid = second\nbase = 1\n");
	int i;

	for (i = 0; i < MODELS; i++)
		g_string_append_printf(
		    note, "[change model m%d]\nversion = 2\n", i);
	for (i = 0; i < ADAPTERS; i++)
		g_string_append_printf(
		    note, "[change adapter a%d]\nversion = 2\n", i);
	start_call_loops(s, t, MODELS, ADAPTERS, 3);
	g_assert_cmpuint(system_apply_note(s, 1, note->str), ==, 2);
	g_assert_true(system_in_force(s, 2, 2, IN_FORCE_MS));
	stop_call_loops(t, MODELS + ADAPTERS, "note");
	g_string_free(note, TRUE);
	system_stop(s);
}

/* Each worker in turn is killed and restarted without models. */
static void
any_worker_lost(void)
{
	system_t *s = start_system();
	call_loop_t t[MODELS + ADAPTERS];
	int i;

	for (i = 0; i < s->o.nengine; i++) {
		start_call_loops(s, t, MODELS, ADAPTERS, 3);
		clock_sleep(200);
		proc_signal(s->worker[i].proc, SIGKILL);
		clock_sleep(2500);
		stop_call_loops(t, MODELS + ADAPTERS, s->worker[i].id);
		system_start_worker(s, i);
		g_assert_true(
		    http_until(s->worker[i].addr, "/v1/load", 200, START_MS));
		g_assert_true(system_in_force(s, 0, 1, IN_FORCE_MS));
	}
	system_stop(s);
}

/* The entry whose controld holds the planner's lease. */
static int
planner_of(system_t *s)
{
	reply_t r = http_call("GET", s->platform_addr,
	    "/v1/objects/lease/planner", NULL, NULL, CALL_MS);
	int i, planner = -1;

	for (i = 0; i < s->nentry; i++) {
		char *held = g_strdup_printf("\"%s\"", s->entry[i].id);

		if (strstr(r.body, held) != NULL)
			planner = i;
		g_free(held);
	}
	reply_clear(&r);
	return planner;
}

typedef struct load_check {
	system_t *s;
	int entry;
} load_check_t;

/* Whether the first copies of all changes of note 2 are ready. */
static bool
is_loaded(void *user)
{
	load_check_t *l = user;
	reply_t r = http_call("GET", l->s->entry[l->entry].operator,
	    "/v1/notes/2/status", NULL, NULL, CALL_MS);
	bool loaded = strstr(r.body, "\"ready\":3,\"wanted\":3") != NULL;

	reply_clear(&r);
	return loaded;
}

/* The planner is killed or frozen while a note is applied. */
static void
planner_lost(int sig)
{
	system_t *s = start_system();
	call_loop_t t[MODELS + ADAPTERS];
	int planner = planner_of(s), other;
	ms_t lost_at;

	g_assert_cmpint(planner, >=, 0);
	other = (planner + 1) % s->nentry;
	start_call_loops(s, t, MODELS, ADAPTERS, 3);
	g_assert_cmpuint(
	    system_apply_note(s, other,
		"[note]\nid = second\nbase = 1\n[change model m0]\nversion = "
		"2\n[change model m1]\nversion = 2\n[add model m7]\nservice "
		"= llm\nversion = 1\nmemory_mb = 9000\ncopies = 2\n"),
	    ==, 2);
	lost_at = clock_now(&machine_clock);
	proc_signal(s->entry[planner].controld, sig);
	if (sig == SIGKILL) {
		/* The platform removes a dead instance from its list. */
		proc_signal(s->entry[planner].entryd, SIGKILL);
		system_set_listed(s, s->entry[planner].id, false, false);
	} else {
		/* A listed, silent instance hasn't confirmed the note. */
		load_check_t l = { s, other };

		g_assert_true(eventually(is_loaded, &l, IN_FORCE_MS));
		g_assert_false(system_in_force(s, other, 2, 1));
		proc_signal(s->entry[planner].controld, SIGCONT);
	}
	g_assert_true(system_in_force(
	    s, other, 2, lost_at + IN_FORCE_MS - clock_now(&machine_clock)));
	g_test_message("in force %" PRId64 " ms after the planner's loss",
	    clock_now(&machine_clock) - lost_at);
	g_assert_true(system_chat_retry(
	    s->entry[other].caller, "m7", "seven", TOKENS, CALL_MS)
			  .whole);
	stop_call_loops(t, MODELS + ADAPTERS, "planner");
	system_stop(s);
}

static void
planner_killed(void)
{
	planner_lost(SIGKILL);
}

static void
planner_frozen(void)
{
	planner_lost(SIGSTOP);
}

/* A controld is a broker of shards; other brokers take over its calls. */
static void
broker_lost(int sig)
{
	system_t *s = start_system();
	call_loop_t t[MODELS + ADAPTERS];
	int i;

	for (i = 0; i < s->nentry; i++) {
		start_call_loops(s, t, MODELS, ADAPTERS, 3);
		clock_sleep(300);
		proc_signal(s->entry[i].controld, sig);
		clock_sleep(3000);
		stop_call_loops(t, MODELS + ADAPTERS, s->entry[i].id);
		if (sig == SIGKILL)
			system_start_controld(s, i);
		else
			proc_signal(s->entry[i].controld, SIGCONT);
		g_assert_true(
		    http_until(s->entry[i].operator, "/readyz", 200, START_MS));
	}
	system_stop(s);
}

static void
broker_killed(void)
{
	broker_lost(SIGKILL);
}

static void
broker_frozen(void)
{
	broker_lost(SIGSTOP);
}

/* Without any broker, entries choose workers by their own call counts. */
static void
no_broker_left(void)
{
	system_t *s = start_system();
	call_loop_t t[MODELS + ADAPTERS];
	int i;

	start_call_loops(s, t, MODELS, ADAPTERS, 3);
	clock_sleep(300);
	for (i = 0; i < s->nentry; i++)
		proc_signal(s->entry[i].controld, SIGKILL);
	clock_sleep(3000);
	stop_call_loops(t, MODELS + ADAPTERS, "no broker");
	system_stop(s);
}

/* The entry and all workers of a failure domain are killed at once. */
static void
domain_killed(void)
{
	system_t *s = start_system();
	call_loop_t t[MODELS + ADAPTERS];
	int i, dead = 2;

	start_call_loops(s, t, MODELS, ADAPTERS, 2);
	clock_sleep(300);
	proc_signal(s->entry[dead].controld, SIGKILL);
	proc_signal(s->entry[dead].entryd, SIGKILL);
	for (i = 0; i < s->o.nengine; i++)
		if (i % s->o.ndomain == dead)
			proc_signal(s->worker[i].proc, SIGKILL);
	clock_sleep(4000);
	stop_call_loops(t, MODELS + ADAPTERS, "domain");
	system_stop(s);
}

/* Calls go on during a platform outage: ten minutes, scaled to ten seconds. */
static void
platform_outage(void)
{
	system_t *s = start_system();
	call_loop_t t[MODELS + ADAPTERS];

	start_call_loops(s, t, MODELS, ADAPTERS, 3);
	system_set_faults(s->platform_addr, "{\"outage_ms\":-1}");
	clock_sleep(5000);
	/* A controld restarted without state gets it from its peers. */
	proc_signal(s->entry[0].controld, SIGKILL);
	clock_sleep(200);
	system_start_controld(s, 0);
	clock_sleep(5000);
	stop_call_loops(t, MODELS + ADAPTERS, "outage");
	system_set_faults(s->platform_addr, "{\"outage_ms\":0}");
	g_assert_cmpuint(
	    system_apply_note(s, 0,
		"[note]\nid = after\nbase = 1\n[withdraw model m3]\n"
		"reason = r\n"),
	    ==, 2);
	g_assert_true(system_in_force(s, 1, 2, IN_FORCE_MS));
	system_stop(s);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/availability/note", calls_during_a_note);
	g_test_add_func("/availability/any-worker", any_worker_lost);
	g_test_add_func("/availability/planner-killed", planner_killed);
	g_test_add_func("/availability/planner-frozen", planner_frozen);
	g_test_add_func("/availability/broker-killed", broker_killed);
	g_test_add_func("/availability/broker-frozen", broker_frozen);
	g_test_add_func("/availability/no-broker-left", no_broker_left);
	g_test_add_func("/availability/domain-killed", domain_killed);
	g_test_add_func("/availability/platform-away", platform_outage);
	return g_test_run();
}
