/*
 * Copies of models must follow the demand without endless moves, and neither a
 * last copy of a model that is asked for may be unloaded for another's demand,
 * nor an endpoint's memory exceeded.
 */
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
	uint8_t state[EPS * MODELS], cached[EPS * MODELS];
	/* The same as lists, for assign_orders(). */
	assign_copy_t copy[EPS * MODELS];
	int cached_model[EPS * MODELS];
	assign_input_t in;
} fleet_t;

static void
add_copy(fleet_t *f, int e, int m)
{
	f->state[e * MODELS + m] = COPY_READY;
	f->ep[e].free_mb -= f->model[m].weights_mb;
}

/* Three copies per endpoint: two busy models on many, the others on one. */
static void
init_fleet(fleet_t *f)
{
	int e, m, next = 2;

	memset(f, 0, sizeof(*f));
	for (m = 0; m < MODELS; m++)
		f->model[m].weights_mb = 70000;
	for (e = 0; e < EPS; e++) {
		f->ep[e] = (assign_ep_t){ .usable = true,
			.accepts_order = true,
			.free_mb = 220000,
			.tokens_per_s = 19000,
			.room_for = -1 };
		add_copy(f, e, e < 8 ? 0 : 1);
		add_copy(f, e, next < MODELS ? next++ : 0);
		if (next < MODELS)
			add_copy(f, e, next++);
	}
	f->in = (assign_input_t){ .model = f->model,
		.nmodel = MODELS,
		.ep = f->ep,
		.nep = EPS,
		.copy = f->copy,
		.cached = f->cached_model,
		.endpoints_stable = true,
		.fetches = 1 };
}

static int
copies(const fleet_t *f, int m)
{
	int e, n = 0;

	for (e = 0; e < EPS; e++)
		n += f->state[e * MODELS + m] == COPY_READY;
	return n;
}

static void
list_copies(fleet_t *f)
{
	int e, m, ncopy = 0, ncached = 0;

	for (e = 0; e < EPS; e++) {
		f->ep[e].copy = ncopy;
		f->ep[e].cached = ncached;
		for (m = 0; m < MODELS; m++) {
			uint8_t state = f->state[e * MODELS + m];

			if (state != COPY_NONE)
				f->copy[ncopy++] = (assign_copy_t){ m,
					(copy_state_t)state, 0 };
			if (f->cached[e * MODELS + m] != 0)
				f->cached_model[ncached++] = m;
		}
		f->ep[e].ncopy = ncopy - f->ep[e].copy;
		f->ep[e].ncached = ncached - f->ep[e].cached;
	}
}

/* The next order, which isn't applied but for the room that it makes. */
static bool
next_order(fleet_t *f, assign_order_t *out)
{
	assign_input_t in = f->in;
	assign_ep_t before[EPS];
	int e, n;

	list_copies(f);
	memcpy(before, f->ep, sizeof(before));
	n = assign_orders(&in, out, 1);
	for (e = 0; e < EPS; e++) {
		before[e].room_for = f->ep[e].room_for;
		f->ep[e] = before[e];
	}
	return n > 0;
}

static bool
is_asked_for(const fleet_t *f, int m)
{
	return f->model[m].demand > 0 || f->model[m].unserved;
}

/* Fewer usable endpoints may hold less than the listed models. */
static bool
all_fit(const fleet_t *f)
{
	int e, n = 0;

	for (e = 0; e < EPS; e++)
		n += f->ep[e].usable;
	return n == EPS;
}

/* Apply an order at once. */
static void
apply_order(fleet_t *f, const assign_order_t *order)
{
	uint8_t *h = &f->state[order->ep * MODELS + order->model];

	if (order->load) {
		g_assert_cmpint(*h, ==, COPY_NONE);
		f->ep[order->ep].free_mb -= f->model[order->model].weights_mb;
		g_assert_cmpfloat(f->ep[order->ep].free_mb, >=, 0);
		*h = COPY_READY;
	} else {
		g_assert_cmpint(*h, ==, COPY_READY);
		g_assert_true(copies(f, order->model) > 1 ||
			      (!is_asked_for(f, order->model) && !all_fit(f)));
		g_assert_true(is_asked_for(f, order->for_model));
		f->ep[order->ep].free_mb += f->model[order->model].weights_mb;
		*h = COPY_NONE;
	}
}

static int
run_orders(fleet_t *f)
{
	assign_order_t order;
	int n;

	for (n = 0; n < 200 && next_order(f, &order); n++)
		apply_order(f, &order);
	return n;
}

static void
copies_follow_demand(void)
{
	fleet_t f;
	int m;

	init_fleet(&f);
	f.model[0].demand = 100000;
	f.model[1].demand = 40000;
	run_orders(&f);
	g_assert_cmpint(copies(&f, 0), >=, 5);
	/* The demand moves to models that had one copy each. */
	f.model[0].demand = 500;
	f.model[1].demand = 500;
	f.model[2].demand = 100000;
	f.model[3].demand = 40000;
	g_assert_cmpint(run_orders(&f), <, 100);
	g_assert_cmpint(copies(&f, 2), >=, 4);
	g_assert_cmpint(copies(&f, 3), >=, 2);
	for (m = 0; m < MODELS; m++)
		g_assert_cmpint(copies(&f, m), >=, 1);
}

static void
steady_demand_causes_no_orders(void)
{
	fleet_t f;
	assign_order_t order;

	init_fleet(&f);
	f.model[0].demand = 60000;
	f.model[1].demand = 30000;
	run_orders(&f);
	f.model[0].demand *= 1.1;
	f.model[1].demand *= 0.95;
	run_orders(&f);
	g_assert_false(next_order(&f, &order));
}

/* A model whose only endpoint crashed is loaded before more copies. */
static void
missing_copy_is_loaded_first(void)
{
	fleet_t f;
	assign_order_t order;

	init_fleet(&f);
	f.model[0].demand = 150000;
	f.model[5].unserved = true;
	memset(&f.state[0], 0, 0);
	f.ep[1].usable = false;
	g_assert_true(next_order(&f, &order));
	if (!order.load) {
		g_assert_cmpint(order.reason, ==, ASSIGN_MAKE_ROOM);
		g_assert_true(order.for_model == 4 || order.for_model == 5);
	} else {
		g_assert_cmpint(order.reason, ==, ASSIGN_REPAIR);
	}
}

/* A missing copy causes one unload, not one at each call. */
static void
one_unload_for_one_copy(void)
{
	fleet_t f;
	assign_order_t order;
	int unloads = 0, n;

	init_fleet(&f);
	f.model[0].demand = 100000;
	f.model[4].demand = f.model[5].demand = 100;
	/* The endpoint of models 4 and 5 is unusable. */
	f.ep[1].usable = false;
	for (n = 0; n < 50 && next_order(&f, &order); n++) {
		if (order.load) {
			apply_order(&f, &order);
			continue;
		}
		unloads++;
		f.state[order.ep * MODELS + order.model] = COPY_UNLOADING;
		f.ep[order.ep].accepts_order = false;
	}
	/* One for each model that lacks a copy: 4, 5 and 0. */
	g_assert_cmpint(unloads, <=, 3);
}

static void
no_repair_while_endpoints_are_added(void)
{
	fleet_t f;
	assign_order_t order;

	init_fleet(&f);
	f.in.endpoints_stable = false;
	f.ep[1].usable = false;
	g_assert_false(next_order(&f, &order));
	/* Unless a call found no copy. */
	f.model[4].unserved = f.model[5].unserved = true;
	g_assert_true(next_order(&f, &order));
}

/* When nothing may be fetched, only cached weights are loaded. */
static void
weight_store_limit_is_kept(void)
{
	fleet_t f;
	assign_order_t order;
	int e;

	init_fleet(&f);
	f.model[0].demand = 200000;
	f.in.fetches = 0;
	g_assert_false(next_order(&f, &order));
	for (e = 0; e < EPS; e++)
		f.cached[e * MODELS + 0] = 1;
	g_assert_true(next_order(&f, &order));
}

static void
adapters_set_minimum_copies(void)
{
	fleet_t f;

	init_fleet(&f);
	f.model[1].demand = 1000;
	f.model[1].copies_min = 6;
	run_orders(&f);
	g_assert_cmpint(copies(&f, 1), >=, 5);
}

/*
 * Under random demand and endpoints that take no orders, no last copy is
 * unloaded and no memory overcommitted; apply_order() checks both.
 */
static void
random_demand_keeps_the_limits(void)
{
	GRand *g = g_rand_new_with_seed(11);
	int round, e, m;

	for (round = 0; round < 300; round++) {
		fleet_t f;

		init_fleet(&f);
		for (m = 0; m < MODELS; m++) {
			f.model[m].demand =
			    g_rand_boolean(g)
				? 0
				: g_rand_double_range(g, 0, 60000);
			f.model[m].unserved = g_rand_int_range(g, 0, 9) == 0;
		}
		for (e = 0; e < EPS; e++)
			f.ep[e].accepts_order = g_rand_int_range(g, 0, 4) != 0;
		g_assert_cmpint(run_orders(&f), <, 200);
	}
	g_rand_free(g);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/assign/copies-follow-demand", copies_follow_demand);
	g_test_add_func("/assign/steady-demand-causes-no-orders",
	    steady_demand_causes_no_orders);
	g_test_add_func("/assign/missing-copy-is-loaded-first",
	    missing_copy_is_loaded_first);
	g_test_add_func(
	    "/assign/one-unload-for-one-copy", one_unload_for_one_copy);
	g_test_add_func("/assign/no-repair-while-endpoints-are-added",
	    no_repair_while_endpoints_are_added);
	g_test_add_func(
	    "/assign/weight-store-limit-is-kept", weight_store_limit_is_kept);
	g_test_add_func(
	    "/assign/adapters-set-minimum-copies", adapters_set_minimum_copies);
	g_test_add_func("/assign/random-demand-keeps-the-limits",
	    random_demand_keeps_the_limits);
	return g_test_run();
}
