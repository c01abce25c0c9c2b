/* Placement never exceeds a worker's memory, whatever fails on the way. */
#include "tests/control.h"

#include <glib.h>
#include <signal.h>

enum {
	MEMORY_MB = 1000,
	WAIT_MAX_MS = 30000, /* bound on waits; no performance target */
};

typedef struct expected_copies {
	rig_t *r;
	const char *item;
	uint64_t version;
	int min_copies, max_copies;
} expected_copies_t;

static bool
copies_as_expected(void *user)
{
	expected_copies_t *w = user;
	int n = rig_ready_copies(w->r, w->item, w->version);

	return n >= w->min_copies && n <= w->max_copies;
}

static void
await_copies(rig_t *r, const char *item, uint64_t version, int least, int most)
{
	expected_copies_t w = { r, item, version, least, most };

	if (!eventually(copies_as_expected, &w, WAIT_MAX_MS))
		g_error("%s version %d: %d copies ready, not %d to %d", item,
		    (int)version, rig_ready_copies(r, item, version), least,
		    most);
}

static const char first_note[] = "[note]\nid = first\nbase = 0\n"
				 "[add model a]\nservice = llm\nversion = 1\n"
				 "memory_mb = 600\n"
				 "[add model b]\nservice = llm\nversion = 1\n"
				 "memory_mb = 500\n"
				 "[add adapter x]\nmodel = a\nversion = 1\n"
				 "memory_mb = 50\n";
/* On one worker b's new version fits beside the old one, but not beside a. */
static const char second_note[] = "[note]\nid = second\nbase = 1\n"
				  "[change model b]\nversion = 2\n"
				  "[withdraw adapter x]\nreason = old\n";

static void
notes_are_loaded(gconstpointer arg)
{
	rig_t *r = rig_start(2, 3, MEMORY_MB, GPOINTER_TO_INT(arg));

	rig_start_control(r, 0);
	rig_start_control(r, 1);
	g_assert_cmpint(rig_apply_note(r, 0, first_note), ==, 1);
	await_copies(r, "a", 1, 1, 3);
	await_copies(r, "b", 1, 1, 3);
	await_copies(r, "x", 1, 1, 3);
	g_assert_cmpint(rig_apply_note(r, 1, second_note), ==, 2);
	await_copies(r, "b", 2, 1, 3);
	await_copies(r, "b", 1, 0, 0);
	await_copies(r, "x", 1, 0, 0);
	rig_check_memory(r);
	rig_stop(r);
}

/* Apply note n > 2, which gives b version n. */
static void
apply_next_note(rig_t *r, int at, uint64_t n)
{
	char *text = g_strdup_printf(
	    "[note]\nid = n%d\nbase = %d\n[change model b]\nversion = %d\n",
	    (int)n, (int)n - 1, (int)n);

	g_assert_cmpint(rig_apply_note(r, at, text), ==, n);
	g_free(text);
}

static void
await_first_note(rig_t *r)
{
	await_copies(r, "a", 1, 1, 3);
	await_copies(r, "b", 1, 1, 3);
	await_copies(r, "x", 1, 1, 3);
}

static bool
nothing_unsettled(void *user)
{
	return rig_unsettled_mb(user) == 0;
}

/*
 * Orders are lost or late, or their answers are, so the planner doesn't know
 * what an engine loaded. If it reused that memory too early, a late load would
 * exceed the engine's capacity.
 */
static void
orders_are_late_or_lost(gconstpointer arg)
{
	static const struct {
		const char *what, *fault;
		int engines; /* that have the fault */
	} rows[] = {
		{ "answers lost", "{\"late_orders_ms\":1}", 3 },
		{ "late", "{\"late_orders_ms\":400}", 3 },
		{ "later than the planner waits", "{\"late_orders_ms\":4000}",
		    1 },
		{ "lost", "{\"lose_orders\":1}", 1 },
	};
	size_t i;
	int k;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		rig_t *r = rig_start(1, 3, MEMORY_MB, GPOINTER_TO_INT(arg));

		for (k = 0; k < rows[i].engines; k++)
			rig_set_faults(r->engine_addr[k], rows[i].fault);
		rig_start_control(r, 0);
		rig_apply_note(r, 0, first_note);
		await_first_note(r);
		for (k = 0; k < rows[i].engines; k++)
			rig_set_faults(r->engine_addr[k], rows[i].fault);
		rig_apply_note(r, 0, second_note);
		await_copies(r, "b", 2, 1, 3);
		for (k = 0; k < 3; k++)
			rig_set_faults(r->engine_addr[k],
			    "{\"late_orders_ms\":0,\"lose_orders\":0}");
		await_copies(r, "b", 1, 0, 0);
		await_copies(r, "x", 1, 0, 0);
		rig_check_memory(r);
		g_test_message("%s: %d MB unsettled", rows[i].what,
		    (int)rig_unsettled_mb(r));
		rig_stop(r);
	}
}

static bool
has_unsettled(void *user)
{
	return rig_unsettled_mb(user) > 0;
}

/*
 * A planner is paused after it wrote a ledger, with its order on the way to a
 * slow engine. It resumes long after another planner took over. Its outdated
 * ledger and late orders must not exceed an engine's memory.
 */
static void
paused_planner_resumes(gconstpointer arg)
{
	rig_t *r = rig_start(2, 3, MEMORY_MB, GPOINTER_TO_INT(arg));
	int i;

	rig_start_control(r, 0);
	rig_apply_note(r, 0, first_note);
	await_first_note(r);
	for (i = 0; i < 3; i++)
		rig_set_faults(r->engine_addr[i], "{\"delay_ms\":400}");
	rig_apply_note(r, 0, second_note);
	g_assert_true(eventually(has_unsettled, r, WAIT_MAX_MS));
	proc_signal(r->control[0], SIGSTOP);
	for (i = 0; i < 3; i++)
		rig_set_faults(r->engine_addr[i], "{\"delay_ms\":0}");
	rig_start_control(r, 1);
	await_copies(r, "b", 2, 1, 3);
	apply_next_note(r, 1, 3);
	await_copies(r, "b", 3, 1, 3);
	proc_signal(r->control[0], SIGCONT);
	for (i = 4; i < 7; i++) {
		apply_next_note(r, 1, (uint64_t)i);
		await_copies(r, "b", (uint64_t)i, 1, 3);
	}
	await_copies(r, "b", 5, 0, 0);
	rig_check_memory(r);
	g_test_message("%d MB unsettled", (int)rig_unsettled_mb(r));
	rig_stop(r);
}

/* Delete the lease: another planner takes it before the old holder notices. */
static void
delete_lease(rig_t *r)
{
	reply_t a = http_call("GET", r->platform_addr,
	    "/v1/objects/lease/planner", NULL, NULL, 5000);
	char *tag = reply_header(&a, "ETag");
	char *head = g_strdup_printf("If-Match: %s\nX-User: t", tag);

	reply_clear(&a);
	a = http_call("DELETE", r->platform_addr, "/v1/objects/lease/planner",
	    head, NULL, 5000);
	reply_clear(&a);
	g_free(head);
	g_free(tag);
}

/*
 * Two planners believe that they hold the lease. The conditional writes of the
 * ledgers must keep their orders together within each engine's memory.
 */
static void
two_planners_hold_the_lease(gconstpointer arg)
{
	rig_t *r = rig_start(2, 3, MEMORY_MB, GPOINTER_TO_INT(arg));
	uint64_t n;
	int i;

	for (i = 0; i < 2; i++) {
		r->settings[i].platform.lease_ms = 4000;
		r->settings[i].place.plan_ms = 20;
		rig_start_control(r, i);
	}
	rig_apply_note(r, 0, first_note);
	await_first_note(r);
	rig_apply_note(r, 0, second_note);
	for (n = 3; n < 9; n++) {
		delete_lease(r);
		apply_next_note(r, 0, n);
		for (i = 0; i < 3; i++)
			rig_set_faults(
			    r->engine_addr[i], n % 2 == 0 ? "{\"delay_ms\":30}"
							  : "{\"delay_ms\":0}");
		await_copies(r, "b", n, 1, 3);
	}
	await_copies(r, "b", n - 2, 0, 0);
	rig_check_memory(r);
	rig_stop(r);
}

/*
 * Each planner in turn is killed and restarted while versions change. Its
 * successor doesn't know which orders were sent and must still load the version
 * without exceeding an engine's memory.
 */
static void
planners_restart(gconstpointer arg)
{
	rig_t *r = rig_start(2, 3, MEMORY_MB, GPOINTER_TO_INT(arg));
	uint64_t n;

	rig_start_control(r, 0);
	rig_start_control(r, 1);
	rig_apply_note(r, 0, first_note);
	await_first_note(r);
	rig_apply_note(r, 0, second_note);
	for (n = 3; n < 7; n++) {
		int at = (int)(n % 2);

		apply_next_note(r, at, n);
		/* By then some of its orders are sent and some aren't. */
		clock_sleep((ms_t)(40 * (n - 2)));
		rig_start_control(r, at);
		await_copies(r, "b", n, 1, 3);
	}
	await_copies(r, "b", n - 2, 0, 0);
	rig_check_memory(r);
	g_test_message("%d MB unsettled", (int)rig_unsettled_mb(r));
	rig_stop(r);
}

/*
 * Each engine in turn restarts with empty memory. Its models must be loaded
 * again, and no reservation for the old process may stay unsettled.
 */
static void
engines_restart(gconstpointer arg)
{
	rig_t *r = rig_start(1, 3, MEMORY_MB, GPOINTER_TO_INT(arg));
	int i;

	rig_start_control(r, 0);
	rig_apply_note(r, 0, first_note);
	await_first_note(r);
	for (i = 0; i < 3; i++) {
		rig_start_engine(r, i);
		await_first_note(r);
	}
	rig_check_memory(r);
	g_assert_true(eventually(nothing_unsettled, r, WAIT_MAX_MS));
	rig_stop(r);
}

static int64_t
total_orders(rig_t *r)
{
	int64_t n = 0;
	int i;

	for (i = 0; i < r->nengine; i++)
		n += rig_json_int(
		    r->engine_addr[i], "/control/record", "orders");
	return n;
}

/*
 * While ledgers can't be written no order is sent, and resident models stay.
 * Planning resumes after the outage.
 */
static void
platform_is_down(gconstpointer arg)
{
	rig_t *r = rig_start(1, 3, MEMORY_MB, GPOINTER_TO_INT(arg));
	int64_t before;

	rig_start_control(r, 0);
	rig_apply_note(r, 0, first_note);
	await_first_note(r);
	rig_apply_note(r, 0, second_note);
	rig_set_faults(r->platform_addr, "{\"outage_ms\":-1}");
	/* An order may have been in flight; a new engine process gets none. */
	rig_start_engine(r, 0);
	before = rig_json_int(r->engine_addr[0], "/control/record", "orders");
	clock_sleep(2000);
	g_assert_cmpint(
	    rig_json_int(r->engine_addr[0], "/control/record", "orders"), ==,
	    before);
	g_assert_cmpint(rig_ready_copies(r, "a", 1), >=, 1);
	rig_set_faults(
	    r->platform_addr, "{\"outage_ms\":0,\"drop_replies\":4}");
	await_copies(r, "b", 2, 1, 3);
	await_copies(r, "b", 1, 0, 0);
	rig_check_memory(r);
	g_assert_cmpint(total_orders(r), >, before);
	rig_stop(r);
}

/* All these faults together, at random from a fixed seed. */
static void
random_faults(gconstpointer arg)
{
	static const char *const faults[] = { "{\"late_orders_ms\":300}",
		"{\"late_orders_ms\":0}", "{\"lose_orders\":1}",
		"{\"delay_ms\":900}", "{\"delay_ms\":0}",
		"{\"freeze_ms\":600}" };
	bool fencing = GPOINTER_TO_INT(arg);
	rig_t *r = rig_start(2, 4, MEMORY_MB, fencing);
	rng_t rng = { .s = 20261203 };
	uint64_t n = 3;
	int i, k;

	rig_start_control(r, 0);
	rig_start_control(r, 1);
	rig_apply_note(r, 0, first_note);
	await_first_note(r);
	rig_apply_note(r, 0, second_note);
	for (i = 0; i < 24; i++) {
		k = (int)(rng_next(&rng) % 4);
		rig_set_faults(r->engine_addr[k],
		    faults[rng_next(&rng) % G_N_ELEMENTS(faults)]);
		if (rng_next(&rng) % 4 == 0)
			rig_start_control(r, k % 2);
		if (rng_next(&rng) % 4 == 0)
			proc_signal(r->control[k % 2],
			    rng_next(&rng) % 2 == 0 ? SIGSTOP : SIGCONT);
		if (rng_next(&rng) % 3 == 0)
			apply_next_note(r, 0, n++);
		if (rng_next(&rng) % 8 == 0)
			rig_start_engine(r, k);
		if (rng_next(&rng) % 6 == 0)
			rig_set_faults(
			    r->platform_addr, "{\"drop_replies\":2}");
		clock_sleep((ms_t)(rng_next(&rng) % 400));
		rig_check_memory(r);
	}
	for (k = 0; k < 4; k++)
		rig_set_faults(r->engine_addr[k],
		    "{\"late_orders_ms\":0,\"lose_orders\":0,\"delay_ms\":0}");
	proc_signal(r->control[0], SIGCONT);
	proc_signal(r->control[1], SIGCONT);
	g_test_message("%d MB of %d unsettled when the faults end",
	    (int)rig_unsettled_mb(r), 4 * MEMORY_MB);
	/* Without fencing, unsettled orders need new engine processes. */
	for (k = 0; k < 4 && !fencing; k++)
		rig_start_engine(r, k);
	await_copies(r, "a", 1, 1, 4);
	await_copies(r, "b", n - 1, 1, 4);
	rig_check_memory(r);
	rig_stop(r);
}

int
main(int argc, char **argv)
{
	static const struct {
		const char *what;
		GTestDataFunc run;
	} rows[] = {
		{ "notes-are-loaded", notes_are_loaded },
		{ "orders-are-late-or-lost", orders_are_late_or_lost },
		{ "paused-planner-resumes", paused_planner_resumes },
		{ "two-planners-hold-the-lease", two_planners_hold_the_lease },
		{ "planners-restart", planners_restart },
		{ "engines-restart", engines_restart },
		{ "platform-is-down", platform_is_down },
		{ "random-faults", random_faults },
	};
	char *path;
	size_t i;
	int fencing;

	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		for (fencing = 0; fencing < 2; fencing++) {
			path = g_strdup_printf("/memory/%s/%s", rows[i].what,
			    fencing ? "fenced" : "unfenced");
			g_test_add_data_func(
			    path, GINT_TO_POINTER(fencing), rows[i].run);
			g_free(path);
		}
	return g_test_run();
}
