/*
 * Callers of a small deployment while one thing after the other fails: what
 * they were told against what the endpoints ran.
 */
#include "tests/cluster.h"

#include <signal.h>

enum {
	SPAN_MS = 6000,
	AT_MS = 1500,  /* the fault begins ... */
	FOR_MS = 2000, /* ... and ends */
	END_MS = 9000, /* a daemon's grace, and some */
};

/** What goes wrong while callers call; each of it may be none. */
typedef struct trouble {
	const char *sizes; /* that differ from the bed's */
	void (*begin)(cluster_t *b), (*end)(cluster_t *b);
	endpoint_fault_t hand; /* of one engine and one plain endpoint */
	store_fault_t store;
} trouble_t;

typedef struct play {
	cluster_t *b;
	const trouble_t *trouble;
	bool begun, ended;
} play_t;

static void
set_faults(cluster_t *b, endpoint_fault_t hand, store_fault_t store)
{
	fake_endpoint_set_fault(b->env->endpoint[0], hand);
	fake_endpoint_set_fault(b->env->endpoint[b->env->nendpoint - 1], hand);
	fake_store_set_fault(b->env->fake_store, store);
}

static void
turn(void *arg, ms_t since)
{
	play_t *p = arg;
	const trouble_t *t = p->trouble;

	if (!p->begun && since >= AT_MS) {
		p->begun = true;
		set_faults(p->b, t->hand, t->store);
		if (t->begin != NULL)
			t->begin(p->b);
	}
	if (!p->ended && since >= AT_MS + FOR_MS) {
		p->ended = true;
		set_faults(p->b, ENDPOINT_OK, STORE_OK);
		if (t->end != NULL)
			t->end(p->b);
	}
}

/* Callers call through the trouble; what holds whatever fails is checked. */
static cluster_t *
play(const trouble_t *t)
{
	play_t p = { cluster_new(t->sizes != NULL ? t->sizes : ""), t, 0, 0 };

	cluster_run_load(p.b, SPAN_MS, turn, &p);
	return p.b;
}

/* What holds too where no process of ours is lost. */
static void
none_lost(const cluster_t *b)
{
	g_assert_cmpint(b->result.cut, ==, 0);
	g_assert_cmpint(b->result.lost, ==, 0);
}

static void
served_at_least(const cluster_t *b, double part)
{
	g_assert_cmpfloat(b->result.served, >=, part * b->result.calls);
}

static void
nothing_fails(void)
{
	cluster_t *b = play(&(trouble_t){ 0 });

	none_lost(b);
	g_assert_cmpint(b->result.failed, ==, 0);
	served_at_least(b, 0.98);
	cluster_free(b);
}

static void
kill_one(cluster_t *b)
{
	proc_signal(b->daemon[1], SIGKILL);
}

static void
start_one(cluster_t *b)
{
	cluster_start_daemon(b, 1);
}

static void
daemon_is_killed(void)
{
	cluster_t *b =
	    play(&(trouble_t){ .begin = kill_one, .end = start_one });

	/* Lost is what was open there, some 100 ms of its calls. */
	served_at_least(b, 0.9);
	cluster_free(b);
}

static void
kill_all(cluster_t *b)
{
	int i;

	for (i = 0; i < b->env->sizes.daemons; i++)
		proc_signal(b->daemon[i], SIGKILL);
}

static void
start_all(cluster_t *b)
{
	int i;

	for (i = 0; i < b->env->sizes.daemons; i++)
		cluster_start_daemon(b, i);
}

static void
all_daemons_are_killed(void)
{
	cluster_t *b =
	    play(&(trouble_t){ .begin = kill_all, .end = start_all });

	/* Away for FOR_MS of SPAN_MS, and the start. */
	served_at_least(b, 0.5);
	cluster_free(b);
}

static void
freeze_two(cluster_t *b)
{
	proc_signal(b->daemon[0], SIGSTOP);
	proc_signal(b->daemon[2], SIGSTOP);
}

static void
thaw_two(cluster_t *b)
{
	proc_signal(b->daemon[0], SIGCONT);
	proc_signal(b->daemon[2], SIGCONT);
}

static void
daemons_are_frozen(void)
{
	cluster_t *b =
	    play(&(trouble_t){ .begin = freeze_two, .end = thaw_two });

	none_lost(b);
	cluster_free(b);
}

static void
stop_two(cluster_t *b)
{
	proc_signal(b->daemon[0], SIGTERM);
	proc_signal(b->daemon[3], SIGTERM);
}

static void
start_two(cluster_t *b)
{
	int i;

	for (i = 0; i <= 3; i += 3) {
		g_assert_true(proc_ended(b->daemon[i], END_MS));
		g_assert_cmpint(b->daemon[i]->status, ==, 0);
		cluster_start_daemon(b, i);
	}
}

static void
daemons_are_stopped_as_planned(void)
{
	cluster_t *b =
	    play(&(trouble_t){ .begin = stop_two, .end = start_two });

	none_lost(b);
	served_at_least(b, 0.97);
	cluster_free(b);
}

static void
store_is_silent(void)
{
	cluster_t *b = play(&(trouble_t){ .store = STORE_SILENT });

	none_lost(b);
	served_at_least(b, 0.95);
	cluster_free(b);
}

static void
store_is_busy(void)
{
	cluster_t *b = play(&(trouble_t){ .store = STORE_BUSY });

	none_lost(b);
	served_at_least(b, 0.95);
	cluster_free(b);
}

static void
forget_history(cluster_t *b)
{
	fake_store_compact(b->env->fake_store);
}

static void
store_forgets_its_history(void)
{
	cluster_t *b = play(
	    &(trouble_t){ .begin = forget_history, .end = forget_history });

	none_lost(b);
	served_at_least(b, 0.97);
	cluster_free(b);
}

static void
with_hands(endpoint_fault_t fault, double part)
{
	cluster_t *b = play(&(trouble_t){ .hand = fault });

	g_assert_cmpint(b->result.lost, ==, 0);
	served_at_least(b, part);
	cluster_free(b);
}

static void
endpoints_reset(void)
{
	with_hands(ENDPOINT_RESET, 0.95);
}

static void
endpoints_refuse(void)
{
	with_hands(ENDPOINT_NOT_RUN, 0.95);
}

static void
endpoints_break_streams_off(void)
{
	with_hands(ENDPOINT_CUT_STREAM, 0.98);
}

static void
endpoints_answer_twice(void)
{
	with_hands(ENDPOINT_EXTRA_ANSWER, 0.95);
}

static void
endpoints_answer_others_first(void)
{
	with_hands(ENDPOINT_FOREIGN_ANSWER, 0.85);
}

/* Twice as many adapters are asked for as there are places. */
static void
more_adapters_than_places_all_get_a_turn(void)
{
	cluster_t *b = play(
	    &(trouble_t){ .sizes = "engines = 2\nmodels = 2\nadapters = 8\n" });

	none_lost(b);
	/* Two engines of four places each. */
	g_assert_cmpint(b->result.popular, >, 8);
	g_assert_cmpint(b->result.starved, ==, 0);
	/* Each order for a call or two that it serves, not one for another. */
	g_assert_cmpint(environment_orders(b->env), <, b->result.calls);
	cluster_free(b);
}

#define T(name) g_test_add_func("/crowd/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(nothing_fails);
	T(daemon_is_killed);
	T(all_daemons_are_killed);
	T(daemons_are_frozen);
	T(daemons_are_stopped_as_planned);
	T(store_is_silent);
	T(store_is_busy);
	T(store_forgets_its_history);
	T(more_adapters_than_places_all_get_a_turn);
	T(endpoints_reset);
	T(endpoints_refuse);
	T(endpoints_break_streams_off);
	T(endpoints_answer_twice);
	T(endpoints_answer_others_first);
	return g_test_run();
}
