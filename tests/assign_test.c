#include "policy/assign.h"

#include <glib.h>
#include <string.h>

enum {
	EPS = 12,
	MODELS = 26,
};

typedef struct fleet {
	assign_ep_t ep[EPS];
	assign_model_t model[MODELS];
	uint8_t held[EPS * MODELS], hand[EPS * MODELS];
	assign_input_t in;
} fleet_t;

static void
put(fleet_t *f, int e, int m)
{
	f->held[e * MODELS + m] = COPY_READY;
	f->ep[e].free_mb -= f->model[m].weights_mb;
}

/* Three places an endpoint; two busy models on many, the others on one. */
static void
fleet(fleet_t *f)
{
	int e, m, next = 2;

	memset(f, 0, sizeof(*f));
	for (m = 0; m < MODELS; m++)
		f->model[m].weights_mb = 70000;
	for (e = 0; e < EPS; e++) {
		f->ep[e] = (assign_ep_t){ .usable = true,
			.accepts_order = true,
			.free_mb = 220000,
			.tokens_per_s = 19000 };
		put(f, e, e < 8 ? 0 : 1);
		put(f, e, next < MODELS ? next++ : 0);
		if (next < MODELS)
			put(f, e, next++);
	}
	f->in = (assign_input_t){ .model = f->model,
		.nmodel = MODELS,
		.ep = f->ep,
		.nep = EPS,
		.state = f->held,
		.cached = f->hand,
		.endpoints_stable = true,
		.may_fetch = true };
}

static int
copies(const fleet_t *f, int m)
{
	int e, n = 0;

	for (e = 0; e < EPS; e++)
		n += f->held[e * MODELS + m] == COPY_READY;
	return n;
}

/* Carry an order out at once. */
static void
obey(fleet_t *f, const assign_order_t *mv)
{
	uint8_t *h = &f->held[mv->ep * MODELS + mv->model];

	if (mv->load) {
		g_assert_cmpint(*h, ==, COPY_NONE);
		f->ep[mv->ep].free_mb -= f->model[mv->model].weights_mb;
		g_assert_cmpfloat(f->ep[mv->ep].free_mb, >=, 0);
		*h = COPY_READY;
	} else {
		g_assert_cmpint(*h, ==, COPY_READY);
		g_assert_cmpint(copies(f, mv->model), >, 1);
		f->ep[mv->ep].free_mb += f->model[mv->model].weights_mb;
		*h = COPY_NONE;
	}
}

static int
settle(fleet_t *f)
{
	assign_order_t mv;
	int n;

	for (n = 0; n < 200 && assign_next_order(&f->in, &mv); n++)
		obey(f, &mv);
	return n;
}

static void
busiest_moves_on(void)
{
	fleet_t f;
	int m;

	fleet(&f);
	f.model[0].demand = 100000;
	f.model[1].demand = 40000;
	settle(&f);
	g_assert_cmpint(copies(&f, 0), >=, 5);
	/* The demand goes to models that had one copy each. */
	f.model[0].demand = 500;
	f.model[1].demand = 500;
	f.model[2].demand = 100000;
	f.model[3].demand = 40000;
	g_assert_cmpint(settle(&f), <, 100);
	g_assert_cmpint(copies(&f, 2), >=, 4);
	g_assert_cmpint(copies(&f, 3), >=, 2);
	for (m = 0; m < MODELS; m++)
		g_assert_cmpint(copies(&f, m), >=, 1);
}

static void
steady_demand_moves_nothing(void)
{
	fleet_t f;
	assign_order_t mv;

	fleet(&f);
	f.model[0].demand = 60000;
	f.model[1].demand = 30000;
	settle(&f);
	f.model[0].demand *= 1.1;
	f.model[1].demand *= 0.95;
	settle(&f);
	g_assert_false(assign_next_order(&f.in, &mv));
}

/* Its only endpoint crashed: it comes back before any second copy. */
static void
lost_last_copy_is_repaired_first(void)
{
	fleet_t f;
	assign_order_t mv;

	fleet(&f);
	f.model[0].demand = 150000;
	f.model[5].unserved = true;
	memset(&f.held[0], 0, 0);
	f.ep[1].usable = false;
	g_assert_true(assign_next_order(&f.in, &mv));
	if (!mv.load) {
		g_assert_cmpint(mv.reason, ==, ASSIGN_MAKE_ROOM);
		g_assert_true(mv.for_model == 4 || mv.for_model == 5);
	} else {
		g_assert_cmpint(mv.reason, ==, ASSIGN_REPAIR);
	}
}

/* One copy gives way for one that is missing, not one at each look. */
static void
one_unload_for_one_copy(void)
{
	fleet_t f;
	assign_order_t mv;
	int unloads = 0, n;

	fleet(&f);
	f.model[0].demand = 100000;
	/* Models 4 and 5 have lost their endpoint. */
	f.ep[1].usable = false;
	for (n = 0; n < 50 && assign_next_order(&f.in, &mv); n++) {
		if (mv.load) {
			obey(&f, &mv);
			continue;
		}
		unloads++;
		f.held[mv.ep * MODELS + mv.model] = COPY_UNLOADING;
		f.model[mv.for_model].pending_unloads++;
		f.ep[mv.ep].accepts_order = false;
	}
	g_assert_cmpint(unloads, <=, 3);
}

static void
nothing_is_repaired_while_endpoints_come(void)
{
	fleet_t f;
	assign_order_t mv;

	fleet(&f);
	f.in.endpoints_stable = false;
	f.ep[1].usable = false;
	g_assert_false(assign_next_order(&f.in, &mv));
	f.model[4].unserved = f.model[5].unserved = true;
	g_assert_true(assign_next_order(&f.in, &mv));
}

static void
weight_store_is_spared(void)
{
	fleet_t f;
	assign_order_t mv;
	int e;

	fleet(&f);
	f.model[0].demand = 200000;
	f.in.may_fetch = false;
	g_assert_false(assign_next_order(&f.in, &mv));
	for (e = 0; e < EPS; e++)
		f.hand[e * MODELS + 0] = 1;
	g_assert_true(assign_next_order(&f.in, &mv));
}

static void
adapters_need_copies(void)
{
	fleet_t f;

	fleet(&f);
	f.model[1].demand = 1000;
	f.model[1].copies_min = 6;
	settle(&f);
	g_assert_cmpint(copies(&f, 1), >=, 5);
}

/* Random demand, failures and orders: never the last copy, never too much. */
static void
any_demand_keeps_the_bounds(void)
{
	GRand *g = g_rand_new_with_seed(11);
	int round, e, m;

	for (round = 0; round < 300; round++) {
		fleet_t f;

		fleet(&f);
		for (m = 0; m < MODELS; m++) {
			f.model[m].demand =
			    g_rand_boolean(g)
				? 0
				: g_rand_double_range(g, 0, 60000);
			f.model[m].unserved = g_rand_int_range(g, 0, 9) == 0;
		}
		for (e = 0; e < EPS; e++)
			f.ep[e].accepts_order = g_rand_int_range(g, 0, 4) != 0;
		g_assert_cmpint(settle(&f), <, 200);
	}
	g_rand_free(g);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/spread/busiest-moves-on", busiest_moves_on);
	g_test_add_func(
	    "/spread/steady-demand-moves-nothing", steady_demand_moves_nothing);
	g_test_add_func("/spread/lost-last-copy-is-repaired-first",
	    lost_last_copy_is_repaired_first);
	g_test_add_func(
	    "/spread/one-unload-for-one-copy", one_unload_for_one_copy);
	g_test_add_func("/spread/nothing-is-repaired-while-endpoints-come",
	    nothing_is_repaired_while_endpoints_come);
	g_test_add_func(
	    "/spread/weight-store-is-spared", weight_store_is_spared);
	g_test_add_func("/spread/adapters-need-copies", adapters_need_copies);
	g_test_add_func(
	    "/spread/any-demand-keeps-the-bounds", any_demand_keeps_the_bounds);
	return g_test_run();
}
