#include "policy/policy.h"

#include <stdlib.h>
#include <string.h>
#include <glib.h>

enum {
	MOST = 64, /* workers, and items */
};

/* A fleet whose engines obey each round of orders at once. */
typedef struct fleet {
	place_worker_t worker[MOST];
	place_item_t item[MOST];
	uint8_t held[MOST * MOST];
	place_input_t in;
	place_output_t out;
	int moves;
} fleet_t;

static fleet_t *
fleet_of(int nworker, int ndomain, uint32_t memory_mb)
{
	fleet_t *f = g_new0(fleet_t, 1);
	int i;

	for (i = 0; i < nworker; i++) {
		place_worker_t *w = &f->worker[i];

		g_snprintf(w->id, ID_MAX, "w%d", i);
		g_snprintf(w->domain, ID_MAX, "d%d", i % ndomain);
		str_copy(w->service, ID_MAX, "llm");
		w->memory_mb = memory_mb;
		w->slots = 10;
		w->usable = true;
	}
	f->in = (place_input_t){ .worker = f->worker,
		.nworker = nworker,
		.item = f->item,
		.state = f->held,
		.move_weight = 100,
		.hysteresis = 20,
		.model_loads_left = 1000,
		.adapter_loads_left = 1000 };
	return f;
}

static int
add(fleet_t *f, const char *name, uint32_t memory_mb, int copies, int base)
{
	place_item_t *it = &f->item[f->in.nitem];

	str_copy(it->name, ID_MAX, name);
	str_copy(it->service, ID_MAX, "llm");
	it->version = 1;
	it->memory_mb = memory_mb;
	it->copies_min = copies;
	it->base = base;
	it->wanted = true;
	return f->in.nitem++;
}

static uint8_t *
held(fleet_t *f, int worker, int item)
{
	return &f->held[worker * f->in.nitem + item];
}

static int
copies(fleet_t *f, int item, place_state_t what)
{
	int w, n = 0;

	for (w = 0; w < f->in.nworker; w++)
		n += *held(f, w, item) == what && f->worker[w].usable;
	return n;
}

/* A worker's memory with everything that is, comes or goes. */
static void
check_memory(fleet_t *f)
{
	int w, i;

	for (w = 0; w < f->in.nworker; w++) {
		int64_t mb = 0;

		for (i = 0; i < f->in.nitem; i++)
			if (*held(f, w, i) != PLACE_NONE)
				mb += f->item[i].memory_mb;
		g_assert_cmpint(mb, <=, f->worker[w].memory_mb);
	}
}

/* One round: the orders go out, then they are all obeyed. */
static int
round_of(fleet_t *f)
{
	int i;

	g_assert_cmpint(place_step(&f->in, &f->out, NULL), ==, 0);
	for (i = 0; i < f->out.nmove; i++) {
		place_move_t *m = &f->out.move[i];
		uint8_t *h = held(f, m->worker, m->item);

		g_assert_cmpint(
		    *h, ==, m->kind == MOVE_LOAD ? PLACE_NONE : PLACE_READY);
		*h = m->kind == MOVE_LOAD ? PLACE_LOADING : PLACE_UNLOADING;
	}
	check_memory(f);
	for (i = 0; i < f->in.nworker * f->in.nitem; i++) {
		if (f->held[i] == PLACE_LOADING)
			f->held[i] = PLACE_READY;
		else if (f->held[i] == PLACE_UNLOADING)
			f->held[i] = PLACE_NONE;
	}
	f->moves += f->out.nmove;
	return f->out.nmove;
}

static void
settle(fleet_t *f)
{
	int i;

	for (i = 0; i < 50 && round_of(f) > 0; i++)
		;
	g_assert_cmpint(i, <, 50);
}

static void
done(fleet_t *f)
{
	place_output_clear(&f->out);
	g_free(f);
}

static void
two_domains_and_then_rest(void)
{
	fleet_t *f = fleet_of(4, 2, 100);
	int i, a, b;

	a = add(f, "a", 40, 2, -1);
	b = add(f, "b", 40, 1, -1);
	add(f, "b-fine", 5, 1, b);
	settle(f);
	for (i = 0; i < f->in.nitem; i++)
		g_assert_cmpint(copies(f, i, PLACE_READY), ==, 2);
	g_assert_cmpint(*held(f, 0, a) + *held(f, 2, a), ==, PLACE_READY);
	g_assert_cmpint(f->moves, ==, 6);
	done(f);
}

/* A new version needs an old copy's room; the name is ready throughout. */
static void
versions_change_without_a_gap(void)
{
	fleet_t *f = fleet_of(2, 2, 100);
	int i, old, next, fine;

	old = add(f, "a", 60, 2, -1);
	fine = add(f, "a-fine", 5, 1, old);
	next = add(f, "a", 60, 2, -1);
	f->item[next].wanted = false;
	settle(f);
	g_assert_cmpint(copies(f, old, PLACE_READY), ==, 2);
	f->item[next].wanted = true;
	f->item[next].version = 2;
	f->item[old].wanted = false;
	f->item[fine].base = next;
	for (i = 0; i < 20; i++) {
		round_of(f);
		g_assert_cmpint(
		    copies(f, old, PLACE_READY) + copies(f, next, PLACE_READY),
		    >=, 1);
		g_assert_cmpint(copies(f, fine, PLACE_READY), >=, 1);
	}
	g_assert_cmpint(copies(f, old, PLACE_READY), ==, 0);
	g_assert_cmpint(copies(f, next, PLACE_READY), ==, 2);
	g_assert_cmpint(copies(f, fine, PLACE_READY), ==, 2);
	done(f);
}

static void
withdrawn_adapters_go_before_their_base(void)
{
	fleet_t *f = fleet_of(2, 2, 100);
	int base = add(f, "a", 40, 2, -1), fine = add(f, "f", 5, 1, base);
	int i;

	settle(f);
	f->item[base].wanted = f->item[fine].wanted = false;
	round_of(f);
	g_assert_cmpint(f->out.nmove, ==, 4);
	for (i = 0; i < f->out.nmove; i++) {
		g_assert_cmpint(f->out.move[i].reason, ==, REASON_WITHDRAWN);
		g_assert_cmpint(f->out.move[i].kind, ==, MOVE_UNLOAD);
	}
	g_assert_cmpint(f->out.move[0].item, ==, fine);
	done(f);
}

static void
a_lost_domain_is_repaired_elsewhere(void)
{
	fleet_t *f = fleet_of(6, 3, 100);
	int i, item[4];

	for (i = 0; i < 4; i++)
		item[i] = add(f, (char[]){ 'a' + i, 0 }, 30, 2, -1);
	settle(f);
	f->worker[0].usable = f->worker[3].usable = false;
	settle(f);
	for (i = 0; i < 4; i++)
		g_assert_cmpint(copies(f, item[i], PLACE_READY), ==, 2);
	done(f);
}

/*
 * With one load a round, the most urgent goes first: many calls without a
 * slot weigh more than a second failure domain.
 */
static void
the_budget_goes_by_urgency(void)
{
	static const move_reason_t want[] = { REASON_FIRST_COPY, REASON_REPAIR,
		REASON_DEMAND, REASON_SPREAD };
	fleet_t *f = fleet_of(8, 2, 100);
	int i, hot, spread, repair;

	hot = add(f, "hot", 20, 1, -1);
	spread = add(f, "spread", 20, 1, -1);
	repair = add(f, "repair", 20, 2, -1);
	add(f, "new", 20, 1, -1);
	*held(f, 0, hot) = *held(f, 1, hot) = PLACE_READY;
	*held(f, 2, spread) = *held(f, 4, spread) = PLACE_READY;
	*held(f, 3, repair) = PLACE_READY;
	f->item[hot].demand = 30;
	f->in.model_loads_left = 1;
	for (i = 0; i < (int)G_N_ELEMENTS(want); i++) {
		do
			g_assert_cmpint(round_of(f), ==, 1);
		while (i > 0 && f->out.move[0].reason == want[i - 1]);
		g_assert_cmpint(f->out.move[0].reason, ==, want[i]);
	}
	done(f);
}

static void
quiet_hours_allow_only_needed_moves(void)
{
	fleet_t *f = fleet_of(4, 2, 100);
	int a = add(f, "a", 30, 2, -1);

	settle(f);
	f->in.quiet = true;
	f->item[a].demand = 40;
	g_assert_cmpint(round_of(f), ==, 0);
	f->worker[0].usable = f->worker[2].usable = false;
	g_assert_cmpint(round_of(f), ==, 1);
	g_assert_cmpint(f->out.move[0].reason, ==, REASON_REPAIR);
	done(f);
}

static void
demand_moves_few_copies_and_wobble_none(void)
{
	fleet_t *f = fleet_of(12, 3, 100);
	int i, j, wobble;

	for (i = 0; i < 20; i++) {
		add(f, (char[]){ 'a' + i, 0 }, 20, 2, -1);
		f->item[i].demand = 3;
	}
	settle(f);
	f->moves = 0;
	for (j = 0; j < 20; j++) {
		wobble = j % 2 == 0 ? 1 : -1;
		for (i = 0; i < 20; i++)
			f->item[i].demand = 3 + 0.3 * wobble;
		round_of(f);
	}
	g_assert_cmpint(f->moves, ==, 0);
	f->item[7].demand = 30;
	settle(f);
	/* 30 calls want four workers of ten slots: two more copies, or a
	 * third where those are shared; each takes at most one place. */
	g_assert_cmpint(f->moves, >=, 2);
	g_assert_cmpint(f->moves, <=, 6);
	for (i = 0; i < f->out.nmove; i++)
		g_assert_cmpint(f->out.move[i].item, ==, 7);
	done(f);
}

/* Free memory lies in pieces: a copy is given a second place first. */
static void
room_is_made_by_shifting_a_copy(void)
{
	fleet_t *f = fleet_of(3, 1, 100);
	int a, b, c, big;

	a = add(f, "a", 50, 1, -1);
	b = add(f, "b", 50, 1, -1);
	c = add(f, "c", 50, 1, -1);
	big = add(f, "big", 100, 1, -1);
	*held(f, 0, a) = *held(f, 1, b) = *held(f, 2, c) = PLACE_READY;
	settle(f);
	g_assert_cmpint(copies(f, big, PLACE_READY), ==, 1);
	g_assert_cmpint(copies(f, a, PLACE_READY), ==, 1);
	g_assert_cmpint(copies(f, b, PLACE_READY), ==, 1);
	g_assert_cmpint(copies(f, c, PLACE_READY), ==, 1);
	done(f);
}

static void
a_note_that_does_not_fit_is_told(void)
{
	static const struct {
		const char *why;
		int mb, copies;
		bool fits;
	} rows[] = {
		{ "beside the first", 60, 1, true },
		{ "a copy on each worker", 30, 2, true },
		{ "larger than any worker", 101, 1, false },
		{ "no second place", 60, 2, false },
		{ "more copies than workers", 10, 3, false },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		fleet_t *f = fleet_of(2, 2, 100);
		char *report = NULL;

		add(f, "first", 60, 1, -1);
		add(f, "next", rows[i].mb, rows[i].copies, -1);
		g_test_message("%s", rows[i].why);
		g_assert_cmpint(place_fits(&f->in, &report), ==, rows[i].fits);
		g_assert_cmpint(report != NULL, ==, !rows[i].fits);
		free(report);
		done(f);
	}
}

/* What must hold of each move, whatever happened before. */
static void
check_move(fleet_t *f, const place_move_t *m, const int *ready)
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
		base = i == it->base && *held(f, m->worker, i) == PLACE_READY;
	g_assert_true(base);
}

static void
shake(fleet_t *f, rng_t *rng)
{
	int i, n = f->in.nworker * f->in.nitem;

	for (i = 0; i < n; i++) {
		if (rng_unit(rng) < 0.4)
			continue; /* late */
		if (f->held[i] == PLACE_LOADING)
			f->held[i] =
			    rng_unit(rng) < 0.9 ? PLACE_READY : PLACE_NONE;
		else if (f->held[i] == PLACE_UNLOADING)
			f->held[i] = PLACE_NONE;
	}
	for (i = 0; i < f->in.nitem; i++)
		if (rng_unit(rng) < 0.1)
			f->item[i].demand = 25 * rng_unit(rng);
	i = (int)(rng_unit(rng) * f->in.nworker);
	f->worker[i].usable = rng_unit(rng) < 0.8;
}

static void
nothing_breaks_however_orders_fare(void)
{
	int seed, round, i, ready[MOST];
	rng_t rng;

	for (seed = 1; seed <= 30; seed++) {
		fleet_t *f = fleet_of(9, 3, 100);

		rng.s = seed;
		for (i = 0; i < 10; i++)
			add(f, (char[]){ 'a' + i, 0 }, 15 + i, 1 + i % 2, -1);
		for (i = 0; i < 10; i++)
			add(f, (char[]){ 'A' + i, 0 }, 3, 1, i % 5);
		f->in.move_weight = 50;
		for (round = 0; round < 60; round++) {
			place_step(&f->in, &f->out, NULL);
			for (i = 0; i < f->in.nitem; i++)
				ready[i] = copies(f, i, PLACE_READY);
			for (i = 0; i < f->out.nmove; i++) {
				place_move_t *m = &f->out.move[i];

				check_move(f, m, ready);
				ready[m->item] -= m->kind == MOVE_UNLOAD;
				*held(f, m->worker, m->item) =
				    m->kind == MOVE_LOAD ? PLACE_LOADING
							 : PLACE_UNLOADING;
			}
			check_memory(f);
			shake(f, &rng);
		}
		done(f);
	}
}

/* A list of copies and a matrix say the same. */
static void
lists_and_matrices_agree(void)
{
	fleet_t *f = fleet_of(6, 3, 100);
	place_copy_t list[MOST];
	place_input_t in;
	place_output_t out = { 0 };
	int i, n = 0;

	for (i = 0; i < 8; i++)
		add(f, (char[]){ 'a' + i, 0 }, 20, 2, -1);
	settle(f);
	f->item[3].demand = 50;
	f->worker[1].usable = false;
	for (i = 0; i < f->in.nworker * f->in.nitem; i++)
		if (f->held[i] != PLACE_NONE)
			list[n++] = (place_copy_t){ i / f->in.nitem,
				i % f->in.nitem, f->held[i] };
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
	done(f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/place/two-domains", two_domains_and_then_rest);
	g_test_add_func("/place/versions", versions_change_without_a_gap);
	g_test_add_func(
	    "/place/withdrawn", withdrawn_adapters_go_before_their_base);
	g_test_add_func(
	    "/place/lost-domain", a_lost_domain_is_repaired_elsewhere);
	g_test_add_func("/place/urgency", the_budget_goes_by_urgency);
	g_test_add_func("/place/quiet", quiet_hours_allow_only_needed_moves);
	g_test_add_func(
	    "/place/few-moves", demand_moves_few_copies_and_wobble_none);
	g_test_add_func("/place/shift", room_is_made_by_shifting_a_copy);
	g_test_add_func("/place/fits", a_note_that_does_not_fit_is_told);
	g_test_add_func("/place/shaken", nothing_breaks_however_orders_fare);
	g_test_add_func("/place/list", lists_and_matrices_agree);
	return g_test_run();
}
