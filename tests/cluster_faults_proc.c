/*
 * Runs load on a small deployment while one component fails, and checks the
 * callers' answers against what the endpoints ran.
 */
#include "tests/cluster.h"

#include <signal.h>

enum {
	LOAD_MS = 6000,
	FAULT_AT_MS = 1500,	/* when the fault begins, after the start */
	FAULT_MS = 2000,	/* how long the fault lasts */
	EXIT_TIMEOUT_MS = 9000, /* a daemon's grace period and some slack */
};

/** A fault during the load; every field may be unset. */
typedef struct scenario {
	const char *sizes; /* other than the defaults, or NULL */
	void (*begin)(cluster_t *b), (*end)(cluster_t *b);
	endpoint_fault_t endpoint; /* of one engine and one plain endpoint */
	store_fault_t store;
} scenario_t;

typedef struct run {
	cluster_t *b;
	const scenario_t *scenario;
	bool fault_begun, fault_ended;
} run_t;

static void
set_faults(cluster_t *b, endpoint_fault_t endpoint, store_fault_t store)
{
	fake_endpoint_set_fault(b->env->endpoint[0], endpoint);
	fake_endpoint_set_fault(
	    b->env->endpoint[b->env->nendpoint - 1], endpoint);
	fake_store_set_fault(b->env->store, store);
}

static void
on_turn(void *arg, ms_t since)
{
	run_t *p = arg;
	const scenario_t *t = p->scenario;

	if (!p->fault_begun && since >= FAULT_AT_MS) {
		p->fault_begun = true;
		set_faults(p->b, t->endpoint, t->store);
		if (t->begin != NULL)
			t->begin(p->b);
	}
	if (!p->fault_ended && since >= FAULT_AT_MS + FAULT_MS) {
		p->fault_ended = true;
		set_faults(p->b, ENDPOINT_OK, STORE_OK);
		if (t->end != NULL)
			t->end(p->b);
	}
}

/* Runs the load with the scenario's fault and checks what must always hold. */
static cluster_t *
run_scenario(const scenario_t *t)
{
	run_t p = { cluster_new(t->sizes != NULL ? t->sizes : ""), t, 0, 0 };

	cluster_run_load(p.b, LOAD_MS, on_turn, &p);
	return p.b;
}

/* Checks what must also hold unless a daemon is killed. */
static void
assert_none_cut_or_lost(const cluster_t *b)
{
	g_assert_cmpint(b->result.cut, ==, 0);
	g_assert_cmpint(b->result.lost, ==, 0);
}

static void
assert_served_share(const cluster_t *b, double share)
{
	g_assert_cmpfloat(b->result.served, >=, share * b->result.calls);
}

static void
no_faults(void)
{
	cluster_t *b = run_scenario(&(scenario_t){ 0 });

	assert_none_cut_or_lost(b);
	g_assert_cmpint(b->result.failed, ==, 0);
	assert_served_share(b, 0.98);
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
	    run_scenario(&(scenario_t){ .begin = kill_one, .end = start_one });

	/* Only calls in progress there are lost, some 100 ms of its load. */
	assert_served_share(b, 0.9);
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
	    run_scenario(&(scenario_t){ .begin = kill_all, .end = start_all });

	/* The daemons are down for FAULT_MS of LOAD_MS and while they start. */
	assert_served_share(b, 0.5);
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
	    run_scenario(&(scenario_t){ .begin = freeze_two, .end = thaw_two });

	assert_none_cut_or_lost(b);
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
		g_assert_true(proc_ended(b->daemon[i], EXIT_TIMEOUT_MS));
		g_assert_cmpint(b->daemon[i]->status, ==, 0);
		cluster_start_daemon(b, i);
	}
}

static void
daemons_are_restarted_gracefully(void)
{
	cluster_t *b =
	    run_scenario(&(scenario_t){ .begin = stop_two, .end = start_two });

	assert_none_cut_or_lost(b);
	assert_served_share(b, 0.97);
	cluster_free(b);
}

static void
store_is_silent(void)
{
	cluster_t *b = run_scenario(&(scenario_t){ .store = STORE_SILENT });

	assert_none_cut_or_lost(b);
	assert_served_share(b, 0.95);
	cluster_free(b);
}

static void
store_is_busy(void)
{
	cluster_t *b = run_scenario(&(scenario_t){ .store = STORE_BUSY });

	assert_none_cut_or_lost(b);
	assert_served_share(b, 0.95);
	cluster_free(b);
}

static void
compact_store(cluster_t *b)
{
	fake_store_compact(b->env->store);
}

static void
store_compacts_its_history(void)
{
	cluster_t *b = run_scenario(
	    &(scenario_t){ .begin = compact_store, .end = compact_store });

	assert_none_cut_or_lost(b);
	assert_served_share(b, 0.97);
	cluster_free(b);
}

static void
run_endpoint_fault(endpoint_fault_t fault, double share)
{
	cluster_t *b = run_scenario(&(scenario_t){ .endpoint = fault });

	g_assert_cmpint(b->result.lost, ==, 0);
	assert_served_share(b, share);
	cluster_free(b);
}

static void
endpoints_reset(void)
{
	run_endpoint_fault(ENDPOINT_RESET, 0.95);
}

static void
endpoints_refuse(void)
{
	run_endpoint_fault(ENDPOINT_NOT_RUN, 0.95);
}

static void
endpoints_break_streams(void)
{
	run_endpoint_fault(ENDPOINT_CUT_STREAM, 0.98);
}

static void
endpoints_answer_twice(void)
{
	run_endpoint_fault(ENDPOINT_EXTRA_ANSWER, 0.95);
}

static void
endpoints_answer_other_calls_first(void)
{
	run_endpoint_fault(ENDPOINT_FOREIGN_ANSWER, 0.85);
}

/* Callers use twice as many adapters as there are adapter slots. */
static void
more_adapters_than_slots_are_all_served(void)
{
	cluster_t *b = run_scenario(&(scenario_t){
	    .sizes = "engines = 2\nmodels = 2\nadapters = 8\n" });

	assert_none_cut_or_lost(b);
	/* Two engines of four adapter slots each. */
	g_assert_cmpint(b->result.popular, >, 8);
	g_assert_cmpint(b->result.starved, ==, 0);
	/*
	 * Each order must serve a call or two: orders mustn't just replace each
	 * other.
	 */
	g_assert_cmpint(environment_orders(b->env), <, b->result.calls);
	cluster_free(b);
}

#define T(name) g_test_add_func("/cluster_faults/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(no_faults);
	T(daemon_is_killed);
	T(all_daemons_are_killed);
	T(daemons_are_frozen);
	T(daemons_are_restarted_gracefully);
	T(store_is_silent);
	T(store_is_busy);
	T(store_compacts_its_history);
	T(more_adapters_than_slots_are_all_served);
	T(endpoints_reset);
	T(endpoints_refuse);
	T(endpoints_break_streams);
	T(endpoints_answer_twice);
	T(endpoints_answer_other_calls_first);
	return g_test_run();
}
