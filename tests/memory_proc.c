#include "tests/control.h"

#include <glib.h>
#include <signal.h>

enum {
	MEMORY_MB = 1000,
	SETTLE_MS = 30000, /* bound on waits; not a figure to be met */
};

typedef struct want {
	rig_t *r;
	const char *item;
	uint64_t version;
	int least, most;
} want_t;

static bool
is_there(void *user)
{
	want_t *w = user;
	int n = rig_ready_copies(w->r, w->item, w->version);

	return n >= w->least && n <= w->most;
}

static void
await(rig_t *r, const char *item, uint64_t version, int least, int most)
{
	want_t w = { r, item, version, least, most };

	if (!eventually(is_there, &w, SETTLE_MS))
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
/* On two workers a's new version fits only once beside b. */
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
	await(r, "a", 1, 1, 3);
	await(r, "b", 1, 1, 3);
	await(r, "x", 1, 1, 3);
	g_assert_cmpint(rig_apply_note(r, 1, second_note), ==, 2);
	await(r, "b", 2, 1, 3);
	await(r, "b", 1, 0, 0);
	await(r, "x", 1, 0, 0);
	rig_check_memory(r);
	rig_stop(r);
}

/* Note n > 2: another version of b. */
static void
next_note(rig_t *r, int at, uint64_t n)
{
	char *text = g_strdup_printf(
	    "[note]\nid = n%d\nbase = %d\n[change model b]\nversion = %d\n",
	    (int)n, (int)n - 1, (int)n);

	g_assert_cmpint(rig_apply_note(r, at, text), ==, n);
	g_free(text);
}

static void
await_first(rig_t *r)
{
	await(r, "a", 1, 1, 3);
	await(r, "b", 1, 1, 3);
	await(r, "x", 1, 1, 3);
}

static bool
no_doubt(void *user)
{
	return rig_doubtful_mb(user) == 0;
}

/* Orders that are lost or late, or whose answers are. */
static void
orders_go_wrong(gconstpointer arg)
{
	static const struct {
		const char *what, *fault;
		int engines; /* that have it */
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
		await_first(r);
		for (k = 0; k < rows[i].engines; k++)
			rig_set_faults(r->engine_addr[k], rows[i].fault);
		rig_apply_note(r, 0, second_note);
		await(r, "b", 2, 1, 3);
		for (k = 0; k < 3; k++)
			rig_set_faults(r->engine_addr[k],
			    "{\"late_orders_ms\":0,\"lose_orders\":0}");
		await(r, "b", 1, 0, 0);
		await(r, "x", 1, 0, 0);
		rig_check_memory(r);
		g_test_message("%s: %d MB doubtful", rows[i].what,
		    (int)rig_doubtful_mb(r));
		rig_stop(r);
	}
}

static bool
has_ledger(void *user)
{
	return rig_doubtful_mb(user) > 0;
}

/*
 * A planner is stopped after it wrote a ledger, with its order on the way to
 * a slow engine. It wakes up long after another took over, and goes on.
 */
static void
planner_wakes_late(gconstpointer arg)
{
	rig_t *r = rig_start(2, 3, MEMORY_MB, GPOINTER_TO_INT(arg));
	int i;

	rig_start_control(r, 0);
	rig_apply_note(r, 0, first_note);
	await_first(r);
	for (i = 0; i < 3; i++)
		rig_set_faults(r->engine_addr[i], "{\"delay_ms\":400}");
	rig_apply_note(r, 0, second_note);
	g_assert_true(eventually(has_ledger, r, SETTLE_MS));
	proc_signal(r->control[0], SIGSTOP);
	for (i = 0; i < 3; i++)
		rig_set_faults(r->engine_addr[i], "{\"delay_ms\":0}");
	rig_start_control(r, 1);
	await(r, "b", 2, 1, 3);
	next_note(r, 1, 3);
	await(r, "b", 3, 1, 3);
	proc_signal(r->control[0], SIGCONT);
	for (i = 4; i < 7; i++) {
		next_note(r, 1, (uint64_t)i);
		await(r, "b", (uint64_t)i, 1, 3);
	}
	await(r, "b", 5, 0, 0);
	rig_check_memory(r);
	g_test_message("%d MB doubtful", (int)rig_doubtful_mb(r));
	rig_stop(r);
}

/* Whoever finds no lease takes it; the one that had it doesn't know yet. */
static void
lose_lease(rig_t *r)
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

/* Two planners that both hold themselves for the holder. */
static void
two_planners(gconstpointer arg)
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
	await_first(r);
	rig_apply_note(r, 0, second_note);
	for (n = 3; n < 9; n++) {
		lose_lease(r);
		next_note(r, 0, n);
		for (i = 0; i < 3; i++)
			rig_set_faults(
			    r->engine_addr[i], n % 2 == 0 ? "{\"delay_ms\":30}"
							  : "{\"delay_ms\":0}");
		await(r, "b", n, 1, 3);
	}
	await(r, "b", n - 2, 0, 0);
	rig_check_memory(r);
	rig_stop(r);
}

/* Each planner dies in turn while versions change. */
static void
planners_die(gconstpointer arg)
{
	rig_t *r = rig_start(2, 3, MEMORY_MB, GPOINTER_TO_INT(arg));
	uint64_t n;

	rig_start_control(r, 0);
	rig_start_control(r, 1);
	rig_apply_note(r, 0, first_note);
	await_first(r);
	rig_apply_note(r, 0, second_note);
	for (n = 3; n < 7; n++) {
		int at = (int)(n % 2);

		next_note(r, at, n);
		/* Some of its orders are out by then, some aren't. */
		clock_sleep((ms_t)(40 * (n - 2)));
		rig_start_control(r, at);
		await(r, "b", n, 1, 3);
	}
	await(r, "b", n - 2, 0, 0);
	rig_check_memory(r);
	g_test_message("%d MB doubtful", (int)rig_doubtful_mb(r));
	rig_stop(r);
}

static void
engines_restart(gconstpointer arg)
{
	rig_t *r = rig_start(1, 3, MEMORY_MB, GPOINTER_TO_INT(arg));
	int i;

	rig_start_control(r, 0);
	rig_apply_note(r, 0, first_note);
	await_first(r);
	for (i = 0; i < 3; i++) {
		rig_start_engine(r, i);
		await_first(r);
	}
	rig_check_memory(r);
	g_assert_true(eventually(no_doubt, r, SETTLE_MS));
	rig_stop(r);
}

static int64_t
orders_of(rig_t *r)
{
	int64_t n = 0;
	int i;

	for (i = 0; i < r->nengine; i++)
		n += rig_json_int(
		    r->engine_addr[i], "/control/record", "orders");
	return n;
}

/* No ledger, no order; what is resident stays; it goes on afterwards. */
static void
platform_is_down(gconstpointer arg)
{
	rig_t *r = rig_start(1, 3, MEMORY_MB, GPOINTER_TO_INT(arg));
	int64_t before;

	rig_start_control(r, 0);
	rig_apply_note(r, 0, first_note);
	await_first(r);
	rig_apply_note(r, 0, second_note);
	rig_set_faults(r->platform_addr, "{\"outage_ms\":-1}");
	/* An order may have been on its way; a new engine gets none. */
	rig_start_engine(r, 0);
	before = rig_json_int(r->engine_addr[0], "/control/record", "orders");
	clock_sleep(2000);
	g_assert_cmpint(
	    rig_json_int(r->engine_addr[0], "/control/record", "orders"), ==,
	    before);
	g_assert_cmpint(rig_ready_copies(r, "a", 1), >=, 1);
	rig_set_faults(
	    r->platform_addr, "{\"outage_ms\":0,\"drop_replies\":4}");
	await(r, "b", 2, 1, 3);
	await(r, "b", 1, 0, 0);
	rig_check_memory(r);
	g_assert_cmpint(orders_of(r), >, before);
	rig_stop(r);
}

/* All of it together, by a seed. */
static void
all_goes_wrong(gconstpointer arg)
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
	await_first(r);
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
			next_note(r, 0, n++);
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
	g_test_message("%d MB of %d doubtful when the faults end",
	    (int)rig_doubtful_mb(r), 4 * MEMORY_MB);
	/* Without fencing what is stuck needs new engine processes. */
	for (k = 0; k < 4 && !fencing; k++)
		rig_start_engine(r, k);
	await(r, "a", 1, 1, 4);
	await(r, "b", n - 1, 1, 4);
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
		{ "orders-go-wrong", orders_go_wrong },
		{ "planner-wakes-late", planner_wakes_late },
		{ "two-planners", two_planners },
		{ "planners-die", planners_die },
		{ "engines-restart", engines_restart },
		{ "platform-is-down", platform_is_down },
		{ "all-goes-wrong", all_goes_wrong },
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
