/*
 * All daemons are killed at once while endpoints of two software versions
 * serve, or the old version's have just left. Callers take their streams up at
 * the daemons that return: a stream goes on at the version that began it, or is
 * refused as not run.
 */
#include "tests/take_up.h"

#include <signal.h>
#include <string.h>

enum {
	STREAMS = 6,
	SLOW_GAP_MS = 45,     /* streams that last as long as callers wait */
	ROUNDS = 6,	      /* of attempts to take the streams up */
	ROUND_MS = 400,	      /* between these */
	STORE_AWAY_MS = 1500, /* after the return */
	HOLDER_LATE_MS = 1500,
	WAIT_MS = 8000,
	LEASE_MS = 2500, /* longer than from one renewal to the next */
};

static void
kill_all(fixture_t *st)
{
	int i;

	for (i = 0; i < DAEMONS; i++)
		proc_signal(st->daemon[i], SIGKILL);
	for (i = 0; i < DAEMONS; i++)
		daemon_kill(st, i);
	st->no_bootstrap = true;
}

static bool
all_listen(void *arg)
{
	fixture_t *st = arg;
	int i;

	for (i = 0; i < DAEMONS; i++)
		if (st->daemon[i] != NULL && daemon_gauge(st, i, "ready") == -1)
			return false;
	return true;
}

static void
start_all_but(fixture_t *st, int late)
{
	int i;

	for (i = 0; i < DAEMONS; i++)
		if (st->daemon[i] == NULL && i != late)
			fixture_start_daemon(st, i, false);
	g_assert_true(fixture_run_until(st, all_listen, st, WAIT_MS));
}

static void
start_all(fixture_t *st)
{
	start_all_but(st, -1);
}

static int
holder(fixture_t *st)
{
	int i;

	for (i = 0; i < DAEMONS; i++)
		if (st->daemon[i] != NULL && daemon_gauge(st, i, "holder") == 1)
			return i;
	g_assert_not_reached();
}

/*
 * Take the streams up at all daemons, again and again. stream_goes_on() checks
 * each attempt. @return how many go on
 */
static int
take_up_often(fixture_t *st, stream_t *x, int n)
{
	int served = 0, i;

	for (i = 0; i < ROUNDS && served < n; i++) {
		served +=
		    streams_take_up(x + served, n - served, 0, DAEMONS - 1, 1);
		if (served > 0)
			break;
		fixture_run(st, ROUND_MS);
	}
	return served;
}

/* All streams begin at the old version, of which @p old endpoints serve. */
static fixture_t *
begin_at_old_version(stream_t *x, int old, int new)
{
	versions_opts_t o = { DAEMONS, old, new, SLOW_GAP_MS };
	fixture_t *st = versions_start_with(&o);
	int i;

	versions_prefer(st, "v1");
	streams_begin(st, x, STREAMS, 0);
	for (i = 0; i < STREAMS; i++)
		g_assert_cmpstr(x[i].began, ==, "v1");
	return st;
}

/* The entries of the old version's endpoints go; the runs there go on. */
static void
remove_old_entries(fixture_t *st, int old)
{
	int i;

	for (i = 1; i <= old; i++)
		fake_store_del(st->store, "servers", st->id[i]);
}

/* Guards against streams of the old version that go on at the new one. */
static void
old_version_left(gconstpointer before)
{
	stream_t x[STREAMS];
	fixture_t *st = begin_at_old_version(x, 1, 3);

	remove_old_entries(st, 1);
	fixture_run(st, GPOINTER_TO_INT(before));
	kill_all(st);
	streams_lose(x, STREAMS);
	start_all(st);
	g_assert_cmpint(take_up_often(st, x, STREAMS), ==, 0);
	assert_stream_begins(st, 0);
	fixture_free(st);
}

/* Guards against a guess while two versions serve. */
static void
two_versions_serve(void)
{
	stream_t x[STREAMS];
	fixture_t *st = begin_at_old_version(x, 2, 2);

	kill_all(st);
	streams_lose(x, STREAMS);
	start_all(st);
	versions_prefer(st, "v2");
	take_up_often(st, x, STREAMS);
	assert_stream_begins(st, 0);
	fixture_free(st);
}

/*
 * Guards against the history of a lease from before a version joined: the store
 * came back from an older copy.
 */
static void
lease_of_a_copy_lacks_a_version(void)
{
	versions_opts_t o = { DAEMONS, 1, 0, SLOW_GAP_MS };
	fixture_t *st = versions_start_with(&o);
	stream_t x[STREAMS];

	fake_store_begin_eras(st->store);
	fixture_run(st, LEASE_MS);
	fake_store_keep_copy(st->store);
	versions_add(st, 1, "v2", SLOW_GAP_MS);
	daemons_wait_endpoints(st, 3);
	remove_old_entries(st, 1);
	daemons_wait_endpoints(st, 2);
	streams_begin(st, x, STREAMS, 0);
	g_assert_cmpstr(x[0].began, ==, "v2");
	kill_all(st);
	streams_lose(x, STREAMS);
	fake_store_return_to_copy(st->store);
	start_all(st);
	g_assert_cmpint(take_up_often(st, x, STREAMS), ==, 0);
	fixture_free(st);
}

/* Guards against refusals for good where a single version has served. */
static void
one_version_goes_on(void)
{
	versions_opts_t o = { DAEMONS, 3, 0, SLOW_GAP_MS };
	fixture_t *st = versions_start_with(&o);
	stream_t x[STREAMS];

	streams_begin(st, x, STREAMS, 0);
	kill_all(st);
	streams_lose(x, STREAMS);
	start_all(st);
	g_assert_cmpint(take_up_often(st, x, STREAMS), >, 0);
	fixture_free(st);
}

/* Guards against a guess while the lease, or anything else, can't be read. */
static void
store_away_at_the_return(gconstpointer fault)
{
	stream_t x[STREAMS];
	fixture_t *st = begin_at_old_version(x, 1, 3);

	remove_old_entries(st, 1);
	fixture_run(st, EVENT_GAP_MS);
	kill_all(st);
	streams_lose(x, STREAMS);
	fake_store_set_fault(st->store, GPOINTER_TO_INT(fault));
	start_all(st);
	fixture_run(st, STORE_AWAY_MS);
	fake_store_set_fault(st->store, STORE_OK);
	g_assert_cmpint(take_up_often(st, x, STREAMS), ==, 0);
	assert_stream_begins(st, 0);
	fixture_free(st);
}

/* Guards against a guess where the store serves all but the lease. */
static void
lease_away_at_the_return(void)
{
	stream_t x[STREAMS];
	fixture_t *st = begin_at_old_version(x, 1, 3);

	remove_old_entries(st, 1);
	fixture_run(st, EVENT_GAP_MS);
	kill_all(st);
	streams_lose(x, STREAMS);
	fake_store_refuse_kind(st->store, "ebonypitch-leases");
	start_all(st);
	g_assert_cmpint(take_up_often(st, x, STREAMS), ==, 0);
	fake_store_refuse_kind(st->store, NULL);
	g_assert_cmpint(take_up_often(st, x, STREAMS), ==, 0);
	fixture_free(st);
}

/* Guards against a guess by a store that has forgotten lease and history. */
static void
store_forgets(gconstpointer lease_too)
{
	stream_t x[STREAMS];
	fixture_t *st = begin_at_old_version(x, 1, 3);

	remove_old_entries(st, 1);
	fixture_run(st, EVENT_GAP_MS);
	kill_all(st);
	streams_lose(x, STREAMS);
	fake_store_compact(st->store);
	if (GPOINTER_TO_INT(lease_too))
		fake_store_del(st->store, "ebonypitch-leases", "planner");
	start_all(st);
	g_assert_cmpint(take_up_often(st, x, STREAMS), ==, 0);
	assert_stream_begins(st, 0);
	fixture_free(st);
}

/* Guards against a guess by daemons that return before the holder. */
static void
holder_returns_late(void)
{
	stream_t x[STREAMS];
	fixture_t *st = begin_at_old_version(x, 1, 3);
	int late = holder(st), at = late == 0 ? 1 : 0;

	remove_old_entries(st, 1);
	fixture_run(st, EVENT_GAP_MS);
	kill_all(st);
	streams_lose(x, STREAMS);
	start_all_but(st, late);
	g_assert_cmpint(streams_take_up(x, STREAMS, at, at, 1), ==, 0);
	fixture_run(st, HOLDER_LATE_MS);
	start_all(st);
	g_assert_cmpint(take_up_often(st, x, STREAMS), ==, 0);
	fixture_free(st);
}

/* Guards against a guess from a list that shows one version's entries first. */
static void
new_entries_are_read_first(void)
{
	stream_t x[STREAMS];
	fixture_t *st = begin_at_old_version(x, 2, 2);
	int i;

	kill_all(st);
	streams_lose(x, STREAMS);
	remove_old_entries(st, 2);
	start_all(st);
	g_assert_cmpint(streams_take_up(x, STREAMS, 0, DAEMONS - 1, 1), ==, 0);
	for (i = 1; i <= 2; i++)
		fixture_put_entry(st, i, "llm", false);
	take_up_often(st, x, STREAMS);
	fixture_free(st);
}

/*
 * Guards against a version that nothing remembers: it appeared after the last
 * renewal of the lease, and its endpoints end with the daemons.
 */
static void
version_appears_before_the_lease_is_renewed(void)
{
	versions_opts_t o = { DAEMONS, 2, 0, SLOW_GAP_MS };
	fixture_t *st = versions_start_with(&o);
	stream_t x[STREAMS];
	int i;

	fixture_run(st, LEASE_MS);
	fake_store_refuse_kind(st->store, "ebonypitch-leases");
	for (i = 1; i <= 2; i++) {
		st->domain[i] = "south";
		fixture_put_entry(st, i, "llm", false);
	}
	versions_add(st, 2, "v2", SLOW_GAP_MS);
	daemons_wait_endpoints(st, st->nendpoint);
	streams_begin(st, x, STREAMS, 0);
	kill_all(st);
	streams_lose(x, STREAMS);
	for (i = 3; i <= 4; i++)
		fake_store_del(st->store, "servers", st->id[i]);
	fake_store_refuse_kind(st->store, NULL);
	start_all(st);
	take_up_often(st, x, STREAMS);
	assert_stream_begins(st, 0);
	fixture_free(st);
}

/* Guards against a new version that isn't used at all. */
static void
new_version_is_used(void)
{
	versions_opts_t o = { DAEMONS, 2, 0, EVENT_GAP_MS };
	fixture_t *st = versions_start_with(&o);
	stream_t x[STREAMS];
	int i;

	for (i = 1; i <= 2; i++) {
		st->domain[i] = "south";
		fixture_put_entry(st, i, "llm", false);
	}
	versions_add(st, 2, "v2", EVENT_GAP_MS);
	daemons_wait_endpoints(st, st->nendpoint);
	fixture_run(st, LEASE_MS);
	streams_begin(st, x, STREAMS, 0);
	g_assert_cmpstr(x[0].began, ==, "v2");
	for (i = 0; i < STREAMS; i++)
		g_assert_true(stream_goes_on(&x[i]));
	fixture_free(st);
}

#define T(name) g_test_add_func("/rejoin/" #name, name)
#define TP(path, fn, arg) \
	g_test_add_data_func("/rejoin/" path, GINT_TO_POINTER(arg), fn)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(two_versions_serve);
	TP("old-version-left/100", old_version_left, 100);
	TP("old-version-left/2000", old_version_left, 2000);
	TP("old-version-left/3500", old_version_left, 3500);
	T(lease_of_a_copy_lacks_a_version);
	T(one_version_goes_on);
	TP("store/silent", store_away_at_the_return, STORE_SILENT);
	TP("store/busy", store_away_at_the_return, STORE_BUSY);
	TP("store/reset", store_away_at_the_return, STORE_RESET);
	T(lease_away_at_the_return);
	TP("store-forgets/history", store_forgets, 0);
	TP("store-forgets/lease", store_forgets, 1);
	T(holder_returns_late);
	T(new_entries_are_read_first);
	T(version_appears_before_the_lease_is_renewed);
	T(new_version_is_used);
	return g_test_run();
}
