/*
 * More models are listed, or asked for, than all endpoints hold. Each test is
 * named for the load that it plays, in simulated time.
 */
#include "tests/assign_fleet.h"

enum {
	EPS = 15,
	PLACES = 45, /* three at each endpoint */
	LISTED = 80,
	LOAD_MS = 1500,
	UNLOAD_MS = 150,
	ROUNDS_MS = 500, /* that may be lost to rounds and reports */
	CALM_MS = 40000,
};

/* Endpoints full of the first listed models, before any call. */
static sim_t *
full_fleet(int listed)
{
	sim_t *f = sim_new(EPS, 200000, listed, 65000);

	sim_run(f, 20000);
	return f;
}

static int
resident(const sim_t *f)
{
	int m, n = 0;

	for (m = 0; m < f->nmodel; m++)
		n += sim_copies(f, m) > 0;
	return n;
}

/* Guards against unloading anything before there is a call. */
static void
nobody_asks(void)
{
	sim_t *f = full_fleet(LISTED);
	int orders = f->orders;

	g_assert_cmpint(resident(f), ==, PLACES);
	g_assert_cmpint(sim_loads(f), ==, PLACES);
	sim_run(f, CALM_MS);
	g_assert_cmpint(f->orders, ==, orders);
	sim_free(f);
}

/*
 * Guards against models that are never loaded since all memory holds models
 * that nobody asks for.
 */
static void
more_listed_than_room(void)
{
	sim_t *f = full_fleet(LISTED);
	int m;

	for (m = 60; m < 72; m++)
		f->model[m].offered = 2000;
	sim_run(f, 10000);
	for (m = 60; m < 72; m++) {
		g_assert_cmpint(sim_copies(f, m), >=, 1);
		g_assert_cmpint(f->model[m].longest_missing, <=,
		    UNLOAD_MS + LOAD_MS + ROUNDS_MS);
	}
	sim_free(f);
}

/* Guards against a rare model that waits, or that costs others their copy. */
static void
rare_model_asked_once_a_minute(void)
{
	sim_t *f = full_fleet(LISTED);
	int m;

	for (m = 0; m < 20; m++)
		f->model[m].offered = 4000;
	f->model[70].asked_every = 60000;
	sim_run(f, 200000);
	g_assert_cmpint(
	    f->model[70].longest_missing, <=, UNLOAD_MS + LOAD_MS + ROUNDS_MS);
	g_assert_cmpint(f->model[70].loads, <=, 2);
	for (m = 0; m < 20; m++)
		g_assert_cmpint(f->model[m].longest_missing, ==, 0);
	sim_free(f);
}

/* Guards against a popular model that keeps one copy beside unused ones. */
static void
popular_model_beside_unused_ones(void)
{
	sim_t *f = full_fleet(LISTED);

	f->model[3].offered = 60000;
	sim_run(f, 15000);
	/* None has more than an endpoint's throughput. */
	g_assert_cmpfloat(
	    sim_copies(f, 3) * f->tokens_per_s, >=, f->model[3].offered);
	g_assert_cmpint(f->model[3].loads, <=, 12);
	sim_free(f);
}

/*
 * Guards against models that are unloaded for a popular one although memory
 * holds all listed ones: whoever asks for them next would wait for a load.
 */
static void
popular_model_where_all_listed_fit(void)
{
	sim_t *f = full_fleet(30);
	int m;

	f->model[3].offered = 120000;
	f->model[4].offered = 1000;
	sim_run(f, CALM_MS);
	for (m = 0; m < 30; m++)
		g_assert_cmpint(sim_copies(f, m), >=, 1);
	/* Also where a lost endpoint's models have to be placed again. */
	f->ep[0].lost = true;
	for (m = 0; m < 30; m++)
		f->model[m].offered += 200;
	sim_run(f, CALM_MS);
	for (m = 0; m < 30; m++)
		g_assert_cmpint(sim_copies(f, m), >=, 1);
	sim_free(f);
}

/* Guards against more loads than the models that moved need. */
static void
demand_moves_by_seven_places(void)
{
	sim_t *f = full_fleet(LISTED);
	int m, before;

	for (m = 0; m < 30; m++)
		f->model[m].offered = 3000;
	sim_run(f, CALM_MS);
	before = sim_loads(f);
	for (m = 0; m < 7; m++) {
		f->model[m].offered = 0;
		f->model[60 + m].offered = 3000;
	}
	sim_run(f, CALM_MS);
	for (m = 60; m < 67; m++)
		g_assert_cmpint(f->model[m].longest_missing, <=,
		    UNLOAD_MS + LOAD_MS + ROUNDS_MS);
	g_assert_cmpint(sim_loads(f) - before, <=, 2 * 7);
	sim_free(f);
}

/* Guards against copies that come and go while demand is steady. */
static void
steady_demand_that_fits(void)
{
	sim_t *f = full_fleet(LISTED);
	int m, orders;

	for (m = 0; m < PLACES; m++)
		f->model[m + 20].offered = 500 + 40 * m;
	sim_run(f, CALM_MS);
	for (m = 0; m < PLACES; m++)
		g_assert_cmpint(sim_copies(f, m + 20), >=, 1);
	orders = f->orders;
	sim_run(f, 2 * CALM_MS);
	g_assert_cmpint(f->orders, ==, orders);
	sim_free(f);
}

/*
 * Guards against models that starve, and against copies that are unloaded
 * before they have served, where twice as many are asked for as fit.
 */
static void
twice_as_many_asked_for_as_fit(void)
{
	sim_t *f = full_fleet(2 * PLACES);
	ms_t turn = SIM_STAY_MS + UNLOAD_MS + LOAD_MS;
	int m, before, ms = 120000;

	for (m = 0; m < 2 * PLACES; m++)
		f->model[m].offered = 1000;
	sim_run(f, CALM_MS);
	before = sim_loads(f);
	sim_run(f, ms);
	for (m = 0; m < 2 * PLACES; m++)
		g_assert_cmpint(
		    f->model[m].longest_missing, <=, 2 * turn + ROUNDS_MS);
	/* Each place changes at most once in a turn. */
	g_assert_cmpint(
	    sim_loads(f) - before, <=, (int)(PLACES * (ms / turn + 1)));
	sim_free(f);
}

/* Guards against popular models that lose their turn to rare ones. */
static void
popular_ones_among_twice_as_many(void)
{
	sim_t *f = full_fleet(2 * PLACES);
	int m;

	for (m = 0; m < 2 * PLACES; m++)
		f->model[m].offered = m < 10 ? 15000 : 100;
	sim_run(f, CALM_MS);
	for (m = 0; m < 10; m++)
		f->model[m].longest_missing = 0;
	sim_run(f, 120000);
	for (m = 0; m < 10; m++)
		g_assert_cmpint(f->model[m].longest_missing, ==, 0);
	for (m = 10; m < 2 * PLACES; m++)
		g_assert_cmpint(f->model[m].loads, >=, 1);
	sim_free(f);
}

/* Guards against turns beyond the weight store's rate. */
static void
loads_slower_than_the_turns(void)
{
	sim_t *f = full_fleet(2 * PLACES);
	ms_t bound;
	int m;

	f->loads_per_s = 2;
	bound = (ms_t)(2 * PLACES / f->loads_per_s * 1000) + LOAD_MS;
	for (m = 0; m < 2 * PLACES; m++)
		f->model[m].offered = 1000;
	/* apply() checks the rate. */
	sim_run(f, 200000);
	for (m = 0; m < 2 * PLACES; m++)
		g_assert_cmpint(f->model[m].longest_missing, <=, bound);
	sim_free(f);
}

/* Guards against a model that keeps one copy for more adapters than places. */
static void
adapters_over_their_places(void)
{
	sim_t *f = full_fleet(LISTED);

	f->model[2].offered = 6000;
	f->model[2].copies_min = 3;
	sim_run(f, 20000);
	g_assert_cmpint(sim_copies(f, 2), >=, 2);
	sim_free(f);
}

/* Guards against last copies lost with their endpoint that don't come back. */
static void
endpoint_lost_with_last_copies(void)
{
	sim_t *f = full_fleet(LISTED);
	int m;

	for (m = 0; m < 30; m++)
		f->model[m].offered = 3000;
	sim_run(f, CALM_MS);
	f->ep[0].lost = f->ep[1].lost = true;
	sim_run(f, 20000);
	for (m = 0; m < 30; m++) {
		g_assert_cmpint(sim_copies(f, m), >=, 1);
		/* Six of them may have been there, at most four on one. */
		g_assert_cmpint(f->model[m].longest_missing, <=,
		    2 * (UNLOAD_MS + LOAD_MS + ROUNDS_MS));
	}
	sim_free(f);
}

/* Guards against room that one unload doesn't make, and is then lost. */
static void
large_model_needs_the_room_of_two(void)
{
	sim_t *f = sim_new(4, 200000, 20, 42700);
	int m;

	f->model[19].weights_mb = 72700;
	sim_run(f, 20000);
	for (m = 0; m < 6; m++)
		f->model[m].offered = 2000;
	f->model[18].offered = 500;
	f->model[19].offered = 500;
	sim_run(f, 20000);
	g_assert_cmpint(sim_copies(f, 19), >=, 1);
	g_assert_cmpint(f->model[19].longest_missing, <=,
	    2 * UNLOAD_MS + LOAD_MS + ROUNDS_MS);
	sim_free(f);
}

/* Guards against further unloads while one waits for the calls that run. */
static void
unloads_that_wait_for_calls(void)
{
	sim_t *f = full_fleet(LISTED);
	int m, unloads = 0;

	f->unload = 3000;
	for (m = 60; m < 66; m++)
		f->model[m].offered = 2000;
	sim_run(f, 20000);
	for (m = 0; m < LISTED; m++)
		unloads += f->model[m].unloads;
	for (m = 60; m < 66; m++)
		g_assert_cmpint(sim_copies(f, m), >=, 1);
	/* Room that takes long may be made at a second endpoint, too. */
	g_assert_cmpint(unloads, <=, 2 * 6);
	sim_free(f);
}

/* Bad input: a model of no size or too large, an endpoint without memory. */
static void
models_and_endpoints_without_a_size(void)
{
	sim_t *f = sim_new(3, 200000, 8, 65000);

	f->model[1].weights_mb = 0;
	f->model[2].weights_mb = 500000;
	f->model[3].weights_mb = -5;
	f->ep[2].memory_mb = 0;
	f->model[1].offered = f->model[2].offered = 1000;
	f->model[3].offered = f->model[4].offered = 1000;
	sim_run(f, 20000);
	g_assert_cmpint(sim_copies(f, 1), ==, 0);
	g_assert_cmpint(sim_copies(f, 2), ==, 0);
	g_assert_cmpint(sim_copies(f, 3), ==, 0);
	g_assert_cmpint(sim_copies(f, 4), >=, 1);
	g_assert_cmpint(f->ep[2].nheld, ==, 0);
	sim_free(f);
}

/* sim_run() checks memory and rate; here over random fleets and demand. */
static void
random_fleets(void)
{
	GRand *g = g_rand_new_with_seed(17);
	int round, m, k;

	for (round = 0; round < 40; round++) {
		int nmodel = g_rand_int_range(g, 5, 60);
		sim_t *f =
		    sim_new(g_rand_int_range(g, 2, 12), 200000, nmodel, 42700);

		f->loads_per_s = g_rand_double_range(g, 1, 20);
		for (m = 0; m < nmodel; m++) {
			f->model[m].weights_mb =
			    g_rand_double_range(g, 30000, 80000);
			f->model[m].load = g_rand_int_range(g, 1000, 9000);
			f->model[m].copies_min = g_rand_int_range(g, 0, 3);
		}
		for (k = 0; k < 5; k++) {
			for (m = 0; m < nmodel; m++)
				f->model[m].offered =
				    g_rand_int_range(g, 0, 3) == 0
					? g_rand_double_range(g, 0, 20000)
					: 0;
			sim_run(f, 15000);
		}
		sim_free(f);
	}
	g_rand_free(g);
}

/* The times that callers are told: no later than the model is ready. */
static void
turn_is_predicted(void)
{
	sim_t *f = full_fleet(2 * PLACES);
	int m, known = 0, missing = 0, i;

	for (m = 0; m < 2 * PLACES; m++)
		f->model[m].offered = 1000;
	sim_run(f, CALM_MS);
	for (i = 0; i < 100; i++) {
		sim_run(f, SIM_STEP_MS);
		for (m = 0; m < 2 * PLACES; m++) {
			if (f->last[m].copies > 0 || f->last[m].rooms > 0)
				continue;
			missing++;
			known += f->last[m].turn_in >= 0;
			g_assert_cmpint(f->last[m].turn_in, <=,
			    2 * (SIM_STAY_MS + UNLOAD_MS + LOAD_MS));
		}
	}
	g_test_message("known %d of %d", known, missing);
	g_assert_cmpint(known, >, 0);
	sim_free(f);
}

#define T(name) g_test_add_func("/assign-turns/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(nobody_asks);
	T(more_listed_than_room);
	T(rare_model_asked_once_a_minute);
	T(popular_model_beside_unused_ones);
	T(popular_model_where_all_listed_fit);
	T(demand_moves_by_seven_places);
	T(steady_demand_that_fits);
	T(twice_as_many_asked_for_as_fit);
	T(popular_ones_among_twice_as_many);
	T(loads_slower_than_the_turns);
	T(adapters_over_their_places);
	T(endpoint_lost_with_last_copies);
	T(large_model_needs_the_room_of_two);
	T(unloads_that_wait_for_calls);
	T(models_and_endpoints_without_a_size);
	T(random_fleets);
	T(turn_is_predicted);
	return g_test_run();
}
