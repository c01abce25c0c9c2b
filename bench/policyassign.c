/*
 * Processor time of one decision of assign_orders(): endpoints full of models
 * that nobody asks for, with demand on others. Prints CSV.
 */
#include "policy/assign.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum {
	HELD = 4,    /* models at each endpoint */
	CACHED = 12, /* further models whose weights are cached there */
	REPEATS = 50,
	ORDERS = 6,
};

typedef struct fleet_size {
	int nmodel, nep;
	double limit_ms; /* of the design */
} fleet_size_t;

static const fleet_size_t sizes[] = {
	{ 21, 18, 1 },
	{ 107, 90, 1 },
	{ 416, 240, 1 },
	{ 520, 2500, 23 },
	{ 520, 10000, 23 },
};

/** Which models have no copy, or too few. */
typedef enum load {
	LOAD_CALM,    /* as many as fit, all with enough copies */
	LOAD_MISSING, /* the half without a copy is asked for */
	LOAD_POPULAR, /* a few have far more demand than copies */
} load_t;

static const char *const load_name[] = { "calm", "missing", "popular" };

static double
cpu_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e3 + (double)t.tv_nsec / 1e6;
}

static void
fill(assign_input_t *in, assign_copy_t *copy, int *cached, load_t load)
{
	int e, i, m, held = load == LOAD_MISSING ? in->nmodel / 2 : in->nmodel;

	for (m = 0; m < in->nmodel; m++) {
		bool asked = load == LOAD_MISSING ? m >= held : m % 50 == 0;

		in->model[m] = (assign_model_t){ .weights_mb = 45000,
			.demand = !asked		 ? 0
				  : load == LOAD_POPULAR ? 1e6
							 : 1000,
			.unserved = asked && load == LOAD_MISSING };
		in->model[m].interest = in->model[m].demand;
	}
	for (e = 0; e < in->nep; e++) {
		in->ep[e] = (assign_ep_t){ .usable = true,
			.accepts_order = true,
			.free_mb = 20000,
			.tokens_per_s = 19000,
			.copy = e * HELD,
			.ncopy = HELD,
			.cached = e * CACHED,
			.ncached = CACHED,
			.room_for = -1 };
		for (i = 0; i < HELD; i++)
			copy[e * HELD + i] =
			    (assign_copy_t){ .model = (e * HELD + i) % held,
				    .state = COPY_READY };
		for (i = 0; i < CACHED; i++)
			cached[e * CACHED + i] = (e * 7 + i) % in->nmodel;
	}
}

static void
run(const fleet_size_t *z, load_t load)
{
	assign_copy_t *copy = calloc((size_t)z->nep * HELD, sizeof(*copy));
	int *cached = calloc((size_t)z->nep * CACHED, sizeof(*cached)), i, n;
	assign_input_t in = {
		.model = calloc((size_t)z->nmodel, sizeof(*in.model)),
		.nmodel = z->nmodel,
		.ep = calloc((size_t)z->nep, sizeof(*in.ep)),
		.nep = z->nep,
		.copy = copy,
		.cached = cached,
		.endpoints_stable = true,
	};
	assign_order_t order[ORDERS];
	double spent = 0, most = 0, begin;

	for (i = 0; i < REPEATS; i++) {
		fill(&in, copy, cached, load);
		in.fetches = 100;
		begin = cpu_ms();
		n = assign_orders(&in, order, ORDERS);
		begin = cpu_ms() - begin;
		spent += begin;
		most = begin > most ? begin : most;
	}
	printf("%d,%d,%s,%d,%.3f,%.3f,%.0f\n", z->nmodel, z->nep,
	    load_name[load], n, spent / REPEATS, most, z->limit_ms);
	free(copy);
	free(cached);
	free(in.model);
	free(in.ep);
}

int
main(void)
{
	size_t i;
	int load;

	printf("models,endpoints,load,orders,mean_ms,most_ms,limit_ms\n");
	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++)
		for (load = LOAD_CALM; load <= LOAD_POPULAR; load++)
			run(&sizes[i], (load_t)load);
	return 0;
}
