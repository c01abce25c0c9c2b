/*
 * Moves planned by place_step(): which copies are loaded and unloaded, and that
 * no worker's memory is exceeded on the way.
 */
#include "policy/policy.h"

#include <stdlib.h>
#include <string.h>
#include <glib.h>

enum {
	ITEMS_MAX = 64, /* also the most workers */
};

/* A fleet whose engines carry out all orders of a round at once. */
typedef struct test_fleet {
	place_worker_t worker[ITEMS_MAX];
	place_item_t item[ITEMS_MAX];
	uint8_t state[ITEMS_MAX * ITEMS_MAX];
	place_input_t in;
	place_output_t out;
	int moves;
} test_fleet_t;

static test_fleet_t *
new_fleet(int nworker, int ndomain, uint32_t memory_mb)
{
	test_fleet_t *f = g_new0(test_fleet_t, 1);
	int i;

	for (i = 0; i < nworker; i++) {
		place_worker_t *w = &f->worker[i];

		g_snprintf(w->id, ID_MAX, "w%d", i);
		g_snprintf(w->domain, ID_MAX, "d%d", i % ndomain);
		str_set(w->service, ID_MAX, "llm");
		w->memory_mb = memory_mb;
		w->slots = 10;
		w->usable = true;
	}
	f->in = (place_input_t){ .worker = f->worker,
		.nworker = nworker,
		.item = f->item,
		.state = f->state,
		.move_weight = 100,
		.hysteresis = 20,
		.model_loads_left = 1000,
		.adapter_loads_left = 1000 };
	return f;
}

static int
add_item(
    test_fleet_t *f, const char *name, uint32_t memory_mb, int copies, int base)
{
	place_item_t *it = &f->item[f->in.nitem];

	str_set(it->name, ID_MAX, name);
	str_set(it->service, ID_MAX, "llm");
	it->version = 1;
	it->memory_mb = memory_mb;
	it->copies_min = copies;
	it->base = base;
	it->wanted = true;
	return f->in.nitem++;
}

static uint8_t *
copy_at(test_fleet_t *f, int worker, int item)
{
	return &f->state[worker * f->in.nitem + item];
}

static int
count_copies(test_fleet_t *f, int item, place_state_t what)
{
	int w, n = 0;

	for (w = 0; w < f->in.nworker; w++)
		n += *copy_at(f, w, item) == what && f->worker[w].usable;
	return n;
}

/* What is resident, loading or unloading fits on each worker. */
static void
check_memory(test_fleet_t *f)
{
	int w, i;

	for (w = 0; w < f->in.nworker; w++) {
		int64_t mb = 0;

		for (i = 0; i < f->in.nitem; i++)
			if (*copy_at(f, w, i) != PLACE_NONE)
				mb += f->item[i].memory_mb;
		g_assert_cmpint(mb, <=, f->worker[w].memory_mb);
	}
}

/* Plans one step and carries it out. @return the number of moves */
static int
run_round(test_fleet_t *f)
{
	int i;

	g_assert_cmpint(place_step(&f->in, &f->out, NULL), ==, 0);
	for (i = 0; i < f->out.nmove; i++) {
		place_move_t *m = &f->out.move[i];
		uint8_t *state = copy_at(f, m->worker, m->item);

		g_assert_cmpint(*state, ==,
		    m->kind == MOVE_LOAD ? PLACE_NONE : PLACE_READY);
		*state = m->kind == MOVE_LOAD ? PLACE_LOADING : PLACE_UNLOADING;
	}
	check_memory(f);
	for (i = 0; i < f->in.nworker * f->in.nitem; i++) {
		if (f->state[i] == PLACE_LOADING)
			f->state[i] = PLACE_READY;
		else if (f->state[i] == PLACE_UNLOADING)
			f->state[i] = PLACE_NONE;
	}
	f->moves += f->out.nmove;
	return f->out.nmove;
}

static void
run_until_stable(test_fleet_t *f)
{
	int i;

	for (i = 0; i < 50 && run_round(f) > 0; i++)
		;
	g_assert_cmpint(i, <, 50);
}

static void
free_fleet(test_fleet_t *f)
{
	place_output_clear(&f->out);
	g_free(f);
}

static void
two_copies_in_two_domains(void)
{
	test_fleet_t *f = new_fleet(4, 2, 100);
	int i, a, b;

	a = add_item(f, "a", 40, 2, -1);
	b = add_item(f, "b", 40, 1, -1);
	add_item(f, "b-fine", 5, 1, b);
	run_until_stable(f);
	for (i = 0; i < f->in.nitem; i++)
		g_assert_cmpint(count_copies(f, i, PLACE_READY), ==, 2);
	g_assert_cmpint(*copy_at(f, 0, a) + *copy_at(f, 2, a), ==, PLACE_READY);
	g_assert_cmpint(f->moves, ==, 6);
	free_fleet(f);
}

/*
 * A new version fits only in place of an old copy. Some version of the name
 * must stay ready throughout.
 */
static void
name_stays_ready_during_version_change(void)
{
	test_fleet_t *f = new_fleet(2, 2, 100);
	int i, old, next, adapter;

	old = add_item(f, "a", 60, 2, -1);
	adapter = add_item(f, "a-fine", 5, 1, old);
	next = add_item(f, "a", 60, 2, -1);
	f->item[next].wanted = false;
	run_until_stable(f);
	g_assert_cmpint(count_copies(f, old, PLACE_READY), ==, 2);
	f->item[next].wanted = true;
	f->item[next].version = 2;
	f->item[old].wanted = false;
	f->item[adapter].base = next;
	for (i = 0; i < 20; i++) {
		run_round(f);
		g_assert_cmpint(count_copies(f, old, PLACE_READY) +
				    count_copies(f, next, PLACE_READY),
		    >=, 1);
		g_assert_cmpint(count_copies(f, adapter, PLACE_READY), >=, 1);
	}
	g_assert_cmpint(count_copies(f, old, PLACE_READY), ==, 0);
	g_assert_cmpint(count_copies(f, next, PLACE_READY), ==, 2);
	g_assert_cmpint(count_copies(f, adapter, PLACE_READY), ==, 2);
	free_fleet(f);
}

static void
adapters_are_unloaded_before_their_base(void)
{
	test_fleet_t *f = new_fleet(2, 2, 100);
	int base = add_item(f, "a", 40, 2, -1),
	    adapter = add_item(f, "f", 5, 1, base);
	int i;

	run_until_stable(f);
	f->item[base].wanted = f->item[adapter].wanted = false;
	run_round(f);
	g_assert_cmpint(f->out.nmove, ==, 4);
	for (i = 0; i < f->out.nmove; i++) {
		g_assert_cmpint(f->out.move[i].reason, ==, REASON_WITHDRAWN);
		g_assert_cmpint(f->out.move[i].kind, ==, MOVE_UNLOAD);
	}
	g_assert_cmpint(f->out.move[0].item, ==, adapter);
	free_fleet(f);
}

static void
lost_domain_is_repaired(void)
{
	test_fleet_t *f = new_fleet(6, 3, 100);
	int i, item[4];

	for (i = 0; i < 4; i++)
		item[i] = add_item(f, (char[]){ 'a' + i, 0 }, 30, 2, -1);
	run_until_stable(f);
	f->worker[0].usable = f->worker[3].usable = false;
	run_until_stable(f);
	for (i = 0; i < 4; i++)
		g_assert_cmpint(count_copies(f, item[i], PLACE_READY), ==, 2);
	free_fleet(f);
}

/*
 * With one load a round, the most urgent goes first: many calls without a
 * slot outweigh a second failure domain.
 */
static void
load_budget_goes_to_the_most_urgent(void)
{
	static const move_reason_t want[] = { REASON_FIRST_COPY, REASON_REPAIR,
		REASON_DEMAND, REASON_SPREAD };
	test_fleet_t *f = new_fleet(8, 2, 100);
	int i, hot, spread, repair;

	hot = add_item(f, "hot", 20, 1, -1);
	spread = add_item(f, "spread", 20, 1, -1);
	repair = add_item(f, "repair", 20, 2, -1);
	add_item(f, "new", 20, 1, -1);
	*copy_at(f, 0, hot) = *copy_at(f, 1, hot) = PLACE_READY;
	*copy_at(f, 2, spread) = *copy_at(f, 4, spread) = PLACE_READY;
	*copy_at(f, 3, repair) = PLACE_READY;
	f->item[hot].demand = 30;
	f->in.model_loads_left = 1;
	for (i = 0; i < (int)G_N_ELEMENTS(want); i++) {
		do
			g_assert_cmpint(run_round(f), ==, 1);
		while (i > 0 && f->out.move[0].reason == want[i - 1]);
		g_assert_cmpint(f->out.move[0].reason, ==, want[i]);
	}
	free_fleet(f);
}

static void
quiet_hours_allow_only_needed_moves(void)
{
	test_fleet_t *f = new_fleet(4, 2, 100);
	int a = add_item(f, "a", 30, 2, -1);

	run_until_stable(f);
	f->in.quiet = true;
	f->item[a].demand = 40;
	g_assert_cmpint(run_round(f), ==, 0);
	f->worker[0].usable = f->worker[2].usable = false;
	g_assert_cmpint(run_round(f), ==, 1);
	g_assert_cmpint(f->out.move[0].reason, ==, REASON_REPAIR);
	free_fleet(f);
}

static void
small_demand_changes_cause_no_moves(void)
{
	test_fleet_t *f = new_fleet(12, 3, 100);
	int i, j, sign;

	for (i = 0; i < 20; i++) {
		add_item(f, (char[]){ 'a' + i, 0 }, 20, 2, -1);
		f->item[i].demand = 3;
	}
	run_until_stable(f);
	f->moves = 0;
	for (j = 0; j < 20; j++) {
		sign = j % 2 == 0 ? 1 : -1;
		for (i = 0; i < 20; i++)
			f->item[i].demand = 3 + 0.3 * sign;
		run_round(f);
	}
	g_assert_cmpint(f->moves, ==, 0);
	f->item[7].demand = 30;
	run_until_stable(f);
	/*
	 * 30 calls need four workers of ten slots, and two have a copy: two
	 * more loads, or three as the slots are shared. Each load takes the
	 * memory of at most one copy.
	 */
	g_assert_cmpint(f->moves, >=, 2);
	g_assert_cmpint(f->moves, <=, 6);
	for (i = 0; i < f->out.nmove; i++)
		g_assert_cmpint(f->out.move[i].item, ==, 7);
	free_fleet(f);
}

/* The free memory is fragmented: a second copy is loaded elsewhere first. */
static void
copy_is_relocated_to_make_room(void)
{
	test_fleet_t *f = new_fleet(3, 1, 100);
	int a, b, c, big;

	a = add_item(f, "a", 50, 1, -1);
	b = add_item(f, "b", 50, 1, -1);
	c = add_item(f, "c", 50, 1, -1);
	big = add_item(f, "big", 100, 1, -1);
	*copy_at(f, 0, a) = *copy_at(f, 1, b) = *copy_at(f, 2, c) = PLACE_READY;
	run_until_stable(f);
	g_assert_cmpint(count_copies(f, big, PLACE_READY), ==, 1);
	g_assert_cmpint(count_copies(f, a, PLACE_READY), ==, 1);
	g_assert_cmpint(count_copies(f, b, PLACE_READY), ==, 1);
	g_assert_cmpint(count_copies(f, c, PLACE_READY), ==, 1);
	free_fleet(f);
}

static void
fits_reports_missing_copies(void)
{
	static const struct {
		const char *what;
		int mb, copies;
		bool fits;
	} rows[] = {
		{ "beside the first", 60, 1, true },
		{ "a copy on each worker", 30, 2, true },
		{ "larger than any worker", 101, 1, false },
		{ "no room for the second copy", 60, 2, false },
		{ "more copies than workers", 10, 3, false },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		test_fleet_t *f = new_fleet(2, 2, 100);
		char *report = NULL;

		add_item(f, "first", 60, 1, -1);
		add_item(f, "next", rows[i].mb, rows[i].copies, -1);
		g_test_message("%s", rows[i].what);
		g_assert_cmpint(place_fits(&f->in, &report), ==, rows[i].fits);
		g_assert_cmpint(report != NULL, ==, !rows[i].fits);
		free(report);
		free_fleet(f);
	}
}

/* Invariants of every move. */
static void
check_move(test_fleet_t *f, const place_move_t *m, const int *ready)
{
	const place_item_t *it = &f->item[m->item];
	bool base = it->base == -1;
	int i;

	g_assert_true(f->worker[m->worker].usable);
	if (m->kind == MOVE_UNLOAD) {
		g_assert_true(!it->wanted || ready[m->item] > 1 || !base);
		return;
	}
	g_assert_true(it->wanted);
	for (i = 0; i < f->in.nitem && !base; i++)
		base =
		    i == it->base && *copy_at(f, m->worker, i) == PLACE_READY;
	g_assert_true(base);
}

static void
apply_random_outcomes(test_fleet_t *f, rng_t *rng)
{
	int i, n = f->in.nworker * f->in.nitem;

	for (i = 0; i < n; i++) {
		if (rng_unit(rng) < 0.4)
			continue; /* not done yet */
		if (f->state[i] == PLACE_LOADING)
			f->state[i] =
			    rng_unit(rng) < 0.9 ? PLACE_READY : PLACE_NONE;
		else if (f->state[i] == PLACE_UNLOADING)
			f->state[i] = PLACE_NONE;
	}
	for (i = 0; i < f->in.nitem; i++)
		if (rng_unit(rng) < 0.1)
			f->item[i].demand = 25 * rng_unit(rng);
	i = (int)(rng_unit(rng) * f->in.nworker);
	f->worker[i].usable = rng_unit(rng) < 0.8;
}

static void
invariants_hold_under_random_outcomes(void)
{
	int seed, round, i, ready[ITEMS_MAX];
	rng_t rng;

	for (seed = 1; seed <= 30; seed++) {
		test_fleet_t *f = new_fleet(9, 3, 100);

		rng.s = seed;
		for (i = 0; i < 10; i++)
			add_item(
			    f, (char[]){ 'a' + i, 0 }, 15 + i, 1 + i % 2, -1);
		for (i = 0; i < 10; i++)
			add_item(f, (char[]){ 'A' + i, 0 }, 3, 1, i % 5);
		f->in.move_weight = 50;
		for (round = 0; round < 60; round++) {
			place_step(&f->in, &f->out, NULL);
			for (i = 0; i < f->in.nitem; i++)
				ready[i] = count_copies(f, i, PLACE_READY);
			for (i = 0; i < f->out.nmove; i++) {
				place_move_t *m = &f->out.move[i];

				check_move(f, m, ready);
				ready[m->item] -= m->kind == MOVE_UNLOAD;
				*copy_at(f, m->worker, m->item) =
				    m->kind == MOVE_LOAD ? PLACE_LOADING
							 : PLACE_UNLOADING;
			}
			check_memory(f);
			apply_random_outcomes(f, &rng);
		}
		free_fleet(f);
	}
}

/* The same copies, given as a list or as a matrix, lead to the same moves. */
static void
list_and_matrix_give_equal_moves(void)
{
	test_fleet_t *f = new_fleet(6, 3, 100);
	place_copy_t list[ITEMS_MAX];
	place_input_t in;
	place_output_t out = { 0 };
	int i, n = 0;

	for (i = 0; i < 8; i++)
		add_item(f, (char[]){ 'a' + i, 0 }, 20, 2, -1);
	run_until_stable(f);
	f->item[3].demand = 50;
	f->worker[1].usable = false;
	for (i = 0; i < f->in.nworker * f->in.nitem; i++)
		if (f->state[i] != PLACE_NONE)
			list[n++] = (place_copy_t){ i / f->in.nitem,
				i % f->in.nitem, f->state[i] };
	in = f->in;
	in.state = NULL;
	in.copy = list;
	in.ncopy = n;
	g_assert_cmpint(place_step(&f->in, &f->out, NULL), ==, 0);
	g_assert_cmpint(place_step(&in, &out, NULL), ==, 0);
	g_assert_cmpint(out.nmove, >, 0);
	g_assert_cmpint(out.nmove, ==, f->out.nmove);
	g_assert_cmpint(
	    memcmp(out.move, f->out.move, out.nmove * sizeof(*out.move)), ==,
	    0);
	place_output_clear(&out);
	free_fleet(f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/place/two-domains", two_copies_in_two_domains);
	g_test_add_func(
	    "/place/versions", name_stays_ready_during_version_change);
	g_test_add_func(
	    "/place/withdrawn", adapters_are_unloaded_before_their_base);
	g_test_add_func("/place/lost-domain", lost_domain_is_repaired);
	g_test_add_func("/place/urgency", load_budget_goes_to_the_most_urgent);
	g_test_add_func("/place/quiet", quiet_hours_allow_only_needed_moves);
	g_test_add_func(
	    "/place/stability", small_demand_changes_cause_no_moves);
	g_test_add_func("/place/relocation", copy_is_relocated_to_make_room);
	g_test_add_func("/place/fits", fits_reports_missing_copies);
	g_test_add_func(
	    "/place/random-outcomes", invariants_hold_under_random_outcomes);
	g_test_add_func("/place/list", list_and_matrix_give_equal_moves);
	return g_test_run();
}
