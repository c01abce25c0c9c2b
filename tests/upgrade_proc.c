/*
 * Daemons of the version in production and of this one side by side, while
 * instances are replaced in turn: digests, the lease, the instances' objects
 * and calls that are handed over are read by both.
 */
#include "tests/cluster.h"
#include "tests/cut_site.h"
#include "tests/take_up.h"

#include <signal.h>
#include <string.h>

enum {
	LOAD_MS = 16000,
	FIRST_MS = 1500, /* of a replacement */
	STEP_MS = 2500,	 /* between replacements */
	DAEMONS_OF_LOAD = 4,
	SITE_DAEMONS = 4,
	SITE_ENDPOINTS = 6,
	WINDOW_MS = 3000,
	COUNTED_MS = 2500,
	STREAMS = 6,
	ATTEMPTS = 6,
	WAIT_MS = 10000,
};

static const char old[] = "ebonypitchd-production";

static const char sizes[] = "versions = 2\nmodels = 6\nevents = 20\n"
			    "gap_ms = 20\n";

/** Daemons that are replaced in turn while load runs. */
typedef struct upgrade {
	cluster_t *b;
	const char *to; /* NULL: this version */
	int signal;
	bool all_at_once;
	bool config; /* a configuration is written at each step */
	int stopped, started;
} upgrade_t;

static void
write_config(upgrade_t *u)
{
	const char *text = fake_store_get(u->b->env->store, "config", "main");
	char *next, *at;
	int version;

	at = strstr(text, "\"version\":");
	g_assert_nonnull(at);
	version = atoi(at + strlen("\"version\":"));
	if (version == 0)
		version = atoi(at + strlen("\"version\": "));
	next = g_strdup_printf("%.*s\"version\":%d%s", (int)(at - text), text,
	    version + 1,
	    at + strlen("\"version\":") +
		strcspn(at + strlen("\"version\":"), ",}"));
	fake_store_put(u->b->env->store, "config", "main", next);
	g_free(next);
}

static void
start(upgrade_t *u, int i)
{
	u->b->program[i] = u->to;
	cluster_start_daemon(u->b, i);
	u->started++;
	if (u->config)
		write_config(u);
}

static void
replace_in_turn(void *arg, ms_t since)
{
	upgrade_t *u = arg;
	int i;

	if (u->started < u->stopped) {
		for (i = u->started; i < u->stopped; i++)
			if (!proc_ended(u->b->daemon[i], 0))
				return;
		while (u->started < u->stopped)
			start(u, u->started);
		return;
	}
	if (u->stopped == DAEMONS_OF_LOAD ||
	    since < FIRST_MS + u->stopped * STEP_MS)
		return;
	do
		proc_signal(u->b->daemon[u->stopped++], u->signal);
	while (u->all_at_once && u->stopped < DAEMONS_OF_LOAD);
}

/* cluster_run_load() checks what must always hold. */
static void
run_upgrade(upgrade_t u, const char *from, double served)
{
	u.b = cluster_new_of(sizes, from);
	cluster_run_load(u.b, LOAD_MS, replace_in_turn, &u);
	g_assert_cmpint(u.started, ==, DAEMONS_OF_LOAD);
	g_assert_cmpfloat(u.b->result.served, >=, served * u.b->result.calls);
	if (u.signal == SIGTERM) {
		g_assert_cmpint(u.b->result.cut, ==, 0);
		g_assert_cmpint(u.b->result.lost, ==, 0);
	}
	cluster_free(u.b);
}

/* Guards against calls lost while both versions serve. */
static void
instances_are_replaced_in_turn(void)
{
	run_upgrade((upgrade_t){ .signal = SIGTERM }, old, 0.9);
}

/* Guards against a version that can't be gone back to. */
static void
instances_are_replaced_by_the_version_before(void)
{
	run_upgrade((upgrade_t){ .signal = SIGTERM, .to = old }, NULL, 0.9);
}

/* The same under kills instead of stops. */
static void
instances_are_killed_and_replaced(void)
{
	run_upgrade((upgrade_t){ .signal = SIGKILL }, old, 0.85);
}

/* The same while configurations change. */
static void
configurations_change_during_the_upgrade(void)
{
	run_upgrade((upgrade_t){ .signal = SIGTERM, .config = true }, old, 0.9);
}

/* Guards against a new version that can't go on from the stored state. */
static void
all_are_killed_and_return_as_the_new_version(void)
{
	run_upgrade(
	    (upgrade_t){ .signal = SIGKILL, .all_at_once = true }, old, 0.6);
}

/* Calls to daemons that are cut off go through those of the other version. */
static void
handed_over(int ncut, int nold)
{
	site_t *t = site_new_of(SITE_DAEMONS, SITE_ENDPOINTS, 20, old, nold);
	ms_t from;

	site_run(t, 1000);
	site_cut(t, ncut, LINK_RESET);
	site_run(t, WINDOW_MS);
	from = clock_now(&machine_clock);
	site_run(t, COUNTED_MS);
	site_check_served(t, from, clock_now(&machine_clock));
	site_check_promises(t);
	site_free(t);
}

/* Guards against calls that a daemon of the old version can't hand over. */
static void
old_hands_over_to_new(void)
{
	handed_over(2, 2);
}

/* The other way: the first daemons are new, cut off, the others old. */
static void
new_hands_over_to_old(void)
{
	site_t *t = site_new_of(SITE_DAEMONS, SITE_ENDPOINTS, 20, NULL, 0);
	ms_t from;
	int i;

	for (i = 2; i < SITE_DAEMONS; i++) {
		proc_kill(t->st->daemon[i]);
		t->st->program[i] = old;
		fixture_start_daemon(t->st, i, true);
	}
	fixture_run(t->st, WINDOW_MS);
	site_cut(t, 2, LINK_RESET);
	site_run(t, WINDOW_MS);
	from = clock_now(&machine_clock);
	site_run(t, COUNTED_MS);
	site_check_served(t, from, clock_now(&machine_clock));
	site_check_promises(t);
	site_free(t);
}

/* Guards against a history of software versions that the new one can't read. */
static void
streams_are_taken_up_after_a_kill_of_the_old_version(void)
{
	fixture_t *st;
	stream_t x[STREAMS];
	int i, served;

	st = versions_start_of(&(versions_opts_t){ DAEMONS, 3, 0, 45 }, old);
	streams_begin(st, x, STREAMS, 0);
	for (i = 0; i < DAEMONS; i++)
		proc_signal(st->daemon[i], SIGKILL);
	st->no_bootstrap = true;
	for (i = 0; i < DAEMONS; i++) {
		daemon_kill(st, i);
		st->program[i] = NULL;
		fixture_start_daemon(st, i, true);
	}
	streams_lose(x, STREAMS);
	served = streams_take_up(x, STREAMS, 0, DAEMONS - 1, ATTEMPTS);
	g_assert_cmpint(served, >, 0);
	fixture_free(st);
}

#define T(name) g_test_add_func("/upgrade/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(instances_are_replaced_in_turn);
	T(instances_are_replaced_by_the_version_before);
	T(instances_are_killed_and_replaced);
	T(configurations_change_during_the_upgrade);
	T(all_are_killed_and_return_as_the_new_version);
	T(old_hands_over_to_new);
	T(new_hands_over_to_old);
	T(streams_are_taken_up_after_a_kill_of_the_old_version);
	return g_test_run();
}
