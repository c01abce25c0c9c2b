/*
 * An endpoint leaves while the instances that watch the store for the others
 * are killed, restarted or cut off from it. An instance that reads old copies
 * must have stopped calling it by the end of drain_ms all the same.
 */
#include "tests/take_up.h"
#include "tests/traffic.h"

#include <signal.h>

enum {
	READER = 3, /* it reads copies, as daemons 0 and 1 watch */
	WATCHERS = 2,
	DRAIN_MS = 2000, /* as in the daemons' settings */
	COPY_AGE_MS = 4000,
	WAIT_MS = 8000,
	SETTLED_MS = 2500, /* after the start */
	RESTART_MS = 300,
	AFTER_MS = 2500, /* of calls after drain_ms */
	TOLD_MS = 1000,	 /* by then others are told, before they ask */
	HANGS = 4,
	HANG_STEP_MS = 170,
};

/* That daemons before the reader run; NULL: this one. */
static const char *watcher_program;

static bool
reader_reads_copies(void *arg)
{
	return fixture_counter(arg, READER,
		   "ebonypitch_store_asks_total{kind=\"endpoints\","
		   "how=\"cheap-watch\"}") > 0;
}

/* Each daemon has its own way to the store; only the reader gets calls. */
static traffic_t *
start(int ndaemon)
{
	traffic_t *t = g_new0(traffic_t, 1);
	fixture_t *st = fixture_new();
	int i, port[FIXTURE_DAEMONS];

	t->st = st;
	t->calls = g_ptr_array_new();
	fake_store_set_copy_age(st->store, COPY_AGE_MS);
	fixture_put_config(st, "");
	for (i = 0; i < 2; i++)
		fixture_add_endpoint(
		    st, &(fake_endpoint_opts_t){ .plain_ms = 20 }, "app");
	ports_take(port, FIXTURE_DAEMONS);
	for (i = 0; i < FIXTURE_DAEMONS; i++) {
		if (i >= ndaemon && i != READER)
			continue;
		st->view_addr[i] = addr_of(port[i]);
		fake_store_add_view(st->store, st->view_addr[i], NULL, NULL);
		if (i != READER)
			st->program[i] = watcher_program;
		fixture_start_daemon(st, i, true);
		if (i == 0)
			g_assert_true(fixture_run_until(
			    st, daemon_is_holder, st, WAIT_MS));
	}
	t->first = READER;
	t->daemons = READER + 1;
	if (ndaemon > 0)
		g_assert_true(
		    fixture_run_until(st, reader_reads_copies, st, WAIT_MS));
	traffic_run(t, SETTLED_MS);
	return t;
}

/* The store removes endpoint 0, which goes on serving. */
static void
remove_and_check_once(traffic_t *t, void (*then)(traffic_t *))
{
	ms_t removed_at = clock_now(&machine_clock);
	guint from = t->calls->len;

	g_assert_cmpint(arrivals(t->st, 0, 0, removed_at), >, 0);
	fake_store_del(t->st->store, "servers", t->st->id[0]);
	if (then != NULL) {
		traffic_run(t, RESTART_MS);
		then(t);
	}
	traffic_run(t, DRAIN_MS + AFTER_MS);
	g_assert_cmpint(
	    arrivals(t->st, 0, removed_at + DRAIN_MS, INT64_MAX), ==, 0);
	g_assert_cmpint(count_unserved(t, from), ==, 0);
}

static void
remove_and_check(traffic_t *t, void (*then)(traffic_t *))
{
	remove_and_check_once(t, then);
	traffic_free(t);
}

static void
kill_watchers(traffic_t *t)
{
	int i;

	for (i = 0; i < WATCHERS; i++) {
		proc_kill(t->st->daemon[i]);
		t->st->daemon[i] = NULL;
	}
}

static void
restart_watchers(traffic_t *t)
{
	int i;

	for (i = 0; i < WATCHERS; i++)
		fixture_start_daemon(t->st, i, false);
}

/* Guards against waiting for watchers that are dead. */
static void
watchers_are_killed(void)
{
	traffic_t *t = start(WATCHERS);

	kill_watchers(t);
	remove_and_check(t, NULL);
}

/* Guards against relying on watchers that began after the endpoint left. */
static void
watchers_restart(void)
{
	traffic_t *t = start(WATCHERS);

	kill_watchers(t);
	remove_and_check(t, restart_watchers);
}

/* The same while a third one, which reads copies, too, goes on. */
static void
watchers_restart_beside_another(void)
{
	traffic_t *t = start(WATCHERS + 1);

	kill_watchers(t);
	remove_and_check(t, restart_watchers);
}

/* Guards against relying on watchers that the store doesn't answer. */
static void
watchers_are_cut_off(void)
{
	traffic_t *t = start(WATCHERS);
	int i;

	for (i = 0; i < WATCHERS; i++)
		fake_store_silence_view(
		    t->st->store, t->st->view_addr[i], true);
	remove_and_check(t, NULL);
}

/* Guards against relying on watchers that stand still. */
static void
watchers_are_frozen(void)
{
	traffic_t *t = start(WATCHERS);
	int i;

	for (i = 0; i < WATCHERS; i++)
		proc_signal(t->st->daemon[i], SIGSTOP);
	remove_and_check(t, NULL);
}

/*
 * Guards against an announcement that others don't take, as it names the entry
 * that they know: the watchers find the endpoint missing in a list.
 */
static void
watchers_list_without_it(void)
{
	traffic_t *t = start(WATCHERS);
	ms_t removed_at;

	fake_store_mute_watches(t->st->store, true);
	removed_at = clock_now(&machine_clock);
	fake_store_del(t->st->store, "servers", t->st->id[0]);
	fake_store_compact_kind(t->st->store, "servers");
	fake_store_mute_watches(t->st->store, false);
	traffic_run(t, DRAIN_MS + AFTER_MS);
	g_assert_cmpint(
	    arrivals(t->st, 0, removed_at + TOLD_MS, INT64_MAX), ==, 0);
	traffic_free(t);
}

/* Guards against relying on earlier versions, which don't say what they saw. */
static void
watchers_of_an_earlier_version_restart(void)
{
	traffic_t *t;

	watcher_program = "ebonypitchd-production";
	t = start(WATCHERS);
	kill_watchers(t);
	remove_and_check(t, restart_watchers);
}

/*
 * Guards against waiting for an answer on a connection on which nothing comes
 * any more, against using another such one next, and against taking that for an
 * outage of the store.
 */
static void
own_connections_hang(void)
{
	traffic_t *t = start(0);
	int i;

	/* What its connections are used for at that moment differs. */
	for (i = 0; i < HANGS; i++) {
		fixture_put_entry(t->st, 0, "app", false);
		traffic_run(t, SETTLED_MS + i * HANG_STEP_MS);
		fake_store_hang_connections(
		    t->st->store, t->st->view_addr[READER]);
		remove_and_check_once(t, NULL);
	}
	traffic_free(t);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/unwatched/watchers_are_killed", watchers_are_killed);
	g_test_add_func("/unwatched/watchers_restart", watchers_restart);
	g_test_add_func("/unwatched/watchers_restart_beside_another",
	    watchers_restart_beside_another);
	g_test_add_func(
	    "/unwatched/watchers_are_cut_off", watchers_are_cut_off);
	g_test_add_func("/unwatched/watchers_are_frozen", watchers_are_frozen);
	g_test_add_func(
	    "/unwatched/watchers_list_without_it", watchers_list_without_it);
	g_test_add_func("/unwatched/watchers_of_an_earlier_version_restart",
	    watchers_of_an_earlier_version_restart);
	g_test_add_func(
	    "/unwatched/own_connections_hang", own_connections_hang);
	return g_test_run();
}
