/*
 * A call that may run only once runs at most once, and a call reported as not
 * run has not run, whatever fails during the call.
 */
#include "tests/system.h"

#include <glib.h>
#include <signal.h>
#include <string.h>

enum {
	CALL_MS = 15000,
	KEYS = 10,
	RACERS = 6,
	WORK_MS = 60
};

static void
start_plain(background_t *p, const char *addr, const char *key)
{
	*p = (background_t){
		.addr = addr, .path = "/enrol", .timeout = CALL_MS
	};
	str_set(p->prompt, sizeof(p->prompt), key);
	background_start(p);
}

static system_t *
start_system(void)
{
	system_opts_t o = {
		.nentry = 3, .ndomain = 3, .nservice = 3, .work_ms = WORK_MS
	};

	return system_start(&o);
}

/* Compares the answer with the runs that the services recorded. */
static void
check_run_count(system_t *s, const background_t *p)
{
	int runs = system_run_count(s, p->prompt);

	g_test_message("%s: %d %s ran=%s, ran %d times", p->prompt,
	    p->outcome.status, p->outcome.code, p->outcome.ran, runs);
	g_assert_cmpint(runs, <=, 1);
	if (strcmp(p->outcome.ran, "no") == 0)
		g_assert_cmpint(runs, ==, 0);
	if (p->outcome.status == 200)
		g_assert_cmpint(runs, ==, 1);
}

static void
same_key_at_once(void)
{
	system_t *s = start_system();
	background_t p[RACERS];
	char key[64];
	int i, k, done;

	for (k = 0; k < KEYS; k++) {
		snprintf(key, sizeof(key), "race-%d", k);
		for (i = 0; i < RACERS; i++)
			start_plain(&p[i], s->entry[i % s->nentry].caller, key);
		for (i = done = 0; i < RACERS; i++) {
			g_thread_join(p[i].thread);
			done += p[i].outcome.status == 200;
			/* Told to retry, or given the first call's answer. */
			g_assert_true(
			    p[i].outcome.status == 200 ||
			    strcmp(p[i].outcome.code, "running") == 0);
		}
		g_assert_cmpint(done, >=, 1);
		g_assert_cmpint(system_run_count(s, key), ==, 1);
	}
	system_stop(s);
}

/* Injects a fault while calls are in progress. */
typedef void fault_fn_t(system_t *s);

static void
lost_replies(system_t *s)
{
	system_set_faults(s->platform_addr, "{\"drop_replies\":3}");
}

static void
platform_outage(system_t *s)
{
	system_set_faults(s->platform_addr, "{\"outage_ms\":1500}");
}

static void
platform_slow(system_t *s)
{
	system_set_faults(s->platform_addr, "{\"delay_ms\":300}");
}

static void
entry_killed(system_t *s)
{
	proc_signal(s->entry[0].entryd, SIGKILL);
}

static void
controld_killed(system_t *s)
{
	proc_signal(s->entry[1].controld, SIGKILL);
}

static void
controld_frozen(system_t *s)
{
	proc_signal(s->entry[1].controld, SIGSTOP);
}

static void
controlds_frozen(system_t *s)
{
	int i;

	for (i = 0; i < s->nentry; i++)
		proc_signal(s->entry[i].controld, SIGSTOP);
}

static void
service_drops_replies(system_t *s)
{
	int i;

	for (i = 0; i < s->nworker; i++)
		system_set_faults(s->worker[i].addr, "{\"drop_replies\":2}");
}

static void
service_frozen(system_t *s)
{
	/* Not killed: that would lose the service's record of runs. */
	proc_signal(s->worker[0].proc, SIGSTOP);
}

static const struct {
	const char *name;
	fault_fn_t *fault;
} faults[] = {
	{ "platform-reply-lost", lost_replies },
	{ "platform-away", platform_outage },
	{ "platform-slow", platform_slow },
	{ "entry-killed", entry_killed },
	{ "controld-killed", controld_killed },
	{ "controld-frozen", controld_frozen },
	{ "all-controlds-frozen", controlds_frozen },
	{ "service-reply-lost", service_drops_replies },
	{ "service-frozen", service_frozen },
};

/* Delays from the start of the calls to the fault. */
static const int fault_delays_ms[] = { 0, 5, 20, 50 };

static void
recover(system_t *s)
{
	int i;

	system_set_faults(s->platform_addr, "{\"outage_ms\":0,\"delay_ms\":0,"
					    "\"drop_replies\":0}");
	for (i = 0; i < s->nentry; i++) {
		proc_signal(s->entry[i].controld, SIGCONT);
		if (proc_ended(s->entry[i].controld, 0))
			system_start_controld(s, i);
		if (proc_ended(s->entry[i].entryd, 0))
			system_start_entryd(s, i);
	}
	for (i = 0; i < s->nworker; i++) {
		proc_signal(s->worker[i].proc, SIGCONT);
		system_set_faults(s->worker[i].addr, "{\"drop_replies\":0}");
	}
	for (i = 0; i < s->nentry; i++)
		g_assert_true(
		    http_until(s->entry[i].caller, "/readyz", 200, START_MS));
}

static bool
retry_succeeds(void *user)
{
	const background_t *p = user;
	outcome_t got =
	    system_plain_call(p->addr, "/enrol", p->prompt, CALL_MS);

	g_test_message("%s once more: %d %s", p->prompt, got.status, got.code);
	return got.status == 200;
}

static void
fault_during_a_call(gconstpointer arg)
{
	size_t f = GPOINTER_TO_SIZE(arg), m;
	system_t *s = start_system();
	background_t p[3], again;
	int i;

	for (m = 0; m < G_N_ELEMENTS(fault_delays_ms); m++) {
		for (i = 0; i < 3; i++) {
			char key[64];

			snprintf(key, sizeof(key), "%s-%zu-%d", faults[f].name,
			    m, i);
			start_plain(&p[i], s->entry[i].caller, key);
		}
		clock_sleep(fault_delays_ms[m]);
		faults[f].fault(s);
		/* The caller retries at another entry. */
		start_plain(&again, s->entry[2].caller, p[0].prompt);
		g_thread_join(again.thread);
		for (i = 0; i < 3; i++)
			g_thread_join(p[i].thread);
		recover(s);
		for (i = 0; i < 3; i++) {
			/* The first key has two calls, and one answered "no"
			 * doesn't exclude a run of the other. */
			if (i == 0)
				g_assert_cmpint(
				    system_run_count(s, p[0].prompt), <=, 1);
			else
				check_run_count(s, &p[i]);
		}
		/* After recovery a retry must not run the call again. */
		for (i = 0; i < 3; i++) {
			outcome_t last = system_plain_call(
			    s->entry[2].caller, "/enrol", p[i].prompt, CALL_MS);

			g_test_message("%s again: %d %s ran=%s", p[i].prompt,
			    last.status, last.code, last.ran);
			g_assert_cmpint(
			    system_run_count(s, p[i].prompt), <=, 1);
			if (last.status == 200)
				g_assert_cmpint(
				    system_run_count(s, p[i].prompt), ==, 1);
			/* A call reported as not run leaves no claim that
			 * prevents a later run. */
			if (i > 0 && strcmp(p[i].outcome.ran, "no") == 0)
				g_assert_true(eventually(
				    retry_succeeds, &p[i], START_MS));
		}
	}
	system_stop(s);
}

/* Without a key there is no claim, yet the entry never sends a call twice. */
static void
calls_without_a_key(void)
{
	system_t *s = start_system();
	int64_t before = 0, after = 0;
	outcome_t got;
	int i, k, not_run = 0, calls = 20;

	for (i = 0; i < s->nworker; i++)
		before += system_json_int(
		    s->worker[i].addr, "/control/record", "started");
	service_drops_replies(s);
	for (k = 0; k < calls; k++) {
		got = system_plain_call(
		    s->entry[k % 3].caller, "/x", NULL, CALL_MS);
		not_run += strcmp(got.ran, "no") == 0;
	}
	for (i = 0; i < s->nworker; i++)
		after += system_json_int(
		    s->worker[i].addr, "/control/record", "started");
	g_assert_cmpint(after - before, ==, calls - not_run);
	system_stop(s);
}

int
main(int argc, char **argv)
{
	size_t i;

	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/once/same-key-at-once", same_key_at_once);
	g_test_add_func("/once/no-key", calls_without_a_key);
	for (i = 0; i < G_N_ELEMENTS(faults); i++) {
		char *name = g_strdup_printf("/once/%s", faults[i].name);

		g_test_add_data_func(
		    name, GSIZE_TO_POINTER(i), fault_during_a_call);
		g_free(name);
	}
	return g_test_run();
}
