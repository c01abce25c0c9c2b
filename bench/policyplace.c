/*
 * Simulation that compares placement with simpler policies: generated demand,
 * engines that carry out every order, steps of one second. Prints CSV.
 */
#include "bench/events.h"
#include "policy/policy.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
	WORKERS = 32,
	ITEMS = 160,
	SECONDS = 2 * 3600,
	BURST_EVERY_S = 600, /* interval at which bursts start */
	BURST_S = 600,	     /* length of a burst */
	RISE_S = 120, /* time to rise to tenfold demand, and to fall back */
	LOST_FROM_S = 1800, /* when a failure domain is lost */
	LOST_TO_S = 3600,   /* when it returns */
	WORKER_MB = 160000,
	SLOTS = 16,
	FILL_ROUNDS = 12,
	SEEDS = 3,
};

static const double mean_load = 0.55;	      /* share of all slots */
static const double demand_ewma_weight = 0.1; /* per second, for the planner */
static const double noise_weight = 0.1;	      /* of new noise, per second */
static const double drift_max_factor = 4;     /* on the mean; least: 1/4 */
static const double target_utilisation = 0.85;

typedef struct deployment {
	const char *name;
	int workers, domains, models, adapters, copies_min;
	double load_s; /* time of a load within loads_at_once */
	int loads_at_once, adapters_at_once;
	int64_t move_weight, hysteresis;
} deployment_t;

static const deployment_t deployments[] = {
	{ "granite-ridge", 18, 3, 20, 110, 2, 1.5, 3, 24, 400, 30 },
	{ "tostadero", 12, 4, 25, 70, 1, 7.3, 11, 90, 40, 10 },
};

typedef enum scenario {
	STEADY,
	BURST,
	DRIFT,
	LOST,
	NSCENARIO
} scenario_t;
static const char *const scenarios[] = { "steady", "burst", "drift",
	"lost-domain" };

typedef enum policy {
	EVEN,  /* fill memory evenly, never move */
	CHASE, /* copies in proportion to demand, at once */
	LAZY,  /* as CHASE, but unload only when a load lacks room */
	OURS,  /* the policy under test */
	NPOLICY
} policy_t;
static const char *const policies[] = { "even", "chase", "lazy", "ours" };

typedef struct sim {
	const deployment_t *d;
	scenario_t scenario;
	policy_t policy;
	place_worker_t worker[WORKERS];
	place_item_t item[ITEMS];
	uint8_t state[WORKERS * ITEMS];
	float move_left_s[WORKERS * ITEMS]; /* until an order is done */
	double mean[ITEMS], phase[ITEMS], noise[ITEMS], demand[ITEMS];
	double planner_demand[ITEMS];
	int burst; /* item in a burst; -1: none */
	int burst_at;
	int now;
	rng_t rng;
	bool lacked_room, lacked_room_before; /* this step, last step */
	place_input_t in;
	place_output_t out;
	double wanted, served;
	double servable; /* if every worker held every item */
	int64_t model_moves, adapter_moves;
	int64_t by_reason[REASON_SURPLUS + 1][2];
	int64_t unreachable_s; /* item-seconds without a ready copy */
} sim_t;

static double
normal(rng_t *r)
{
	double u = rng_unit(r) + 1e-12;

	return sqrt(-2 * log(u)) * cos(2 * M_PI * rng_unit(r));
}

static uint8_t *
copy_state(sim_t *s, int w, int i)
{
	return &s->state[w * s->in.nitem + i];
}

static void
make_workers(sim_t *s)
{
	int i;

	for (i = 0; i < s->d->workers; i++) {
		place_worker_t *w = &s->worker[i];

		snprintf(w->id, ID_MAX, "w%d", i);
		snprintf(w->domain, ID_MAX, "d%d", i % s->d->domains);
		str_set(w->service, ID_MAX, "llm");
		w->memory_mb = WORKER_MB;
		w->slots = SLOTS;
		w->usable = true;
	}
}

/* Demand falls as 1/rank; half of a model's calls are for its adapters. */
static void
make_items(sim_t *s)
{
	static const uint32_t sizes[] = { 16000, 28000, 40000, 60000 };
	int i, n = s->d->models + s->d->adapters;
	double sum = 0, total = s->d->workers * SLOTS * mean_load;

	for (i = 0; i < n; i++) {
		place_item_t *it = &s->item[i];
		bool model = i < s->d->models;

		snprintf(it->name, ID_MAX, "%c%d", model ? 'm' : 'a', i);
		str_set(it->service, ID_MAX, "llm");
		it->version = 1;
		it->wanted = true;
		it->base = model ? -1 : (int)(rng_unit(&s->rng) * s->d->models);
		it->copies_min = model ? s->d->copies_min : 1;
		it->memory_mb =
		    model ? sizes[(int)(rng_unit(&s->rng) * 4)] : 400;
		s->mean[i] = model ? 1.0 / (2 + i) : 0;
		s->phase[i] = 2 * M_PI * rng_unit(&s->rng);
		sum += s->mean[i];
	}
	for (i = 0; i < s->d->models; i++)
		s->mean[i] *= total / sum;
	for (i = s->d->models; i < n; i++) {
		int j, siblings = 0, base = s->item[i].base;

		for (j = s->d->models; j < n; j++)
			siblings += s->item[j].base == base;
		s->mean[i] = s->mean[base] / 2 / siblings;
	}
	for (i = s->d->models; i < n; i++)
		s->mean[s->item[i].base] -= s->mean[i];
	s->in.nitem = n;
}

/* Demand of this second */

static double
demand_factor(sim_t *s, int i)
{
	int model = s->item[i].base == -1 ? i : s->item[i].base;
	double t, f = 1;

	if (s->scenario == DRIFT)
		f = pow(drift_max_factor,
		    sin(2 * M_PI * s->now / SECONDS * 2 + s->phase[model]));
	if (model == s->burst) {
		t = s->now - s->burst_at;
		if (t < RISE_S)
			f *= 1 + 9 * t / RISE_S;
		else if (t < BURST_S - RISE_S)
			f *= 10;
		else
			f *= 1 + 9 * (BURST_S - t) / RISE_S;
	}
	return f;
}

/* The planner's demand for a model includes that for its adapters. */
static void
set_planner_demand(sim_t *s)
{
	int i;

	for (i = 0; i < s->in.nitem; i++)
		s->item[i].demand = 0;
	for (i = 0; i < s->in.nitem; i++) {
		s->item[i].demand += s->planner_demand[i];
		if (s->item[i].base != -1)
			s->item[s->item[i].base].demand += s->planner_demand[i];
	}
}

static void
draw_demand(sim_t *s)
{
	int i;

	if (s->scenario == BURST && s->now % BURST_EVERY_S == 0) {
		/*
		 * Not the two largest models: ten times the demand of the
		 * largest is about all slots.
		 */
		s->burst = 2 + (int)(rng_unit(&s->rng) * (s->d->models - 2));
		s->burst_at = s->now;
	}
	if (s->scenario == LOST)
		for (i = 0; i < s->d->workers; i++)
			s->worker[i].usable = i % s->d->domains != 0 ||
					      s->now < LOST_FROM_S ||
					      s->now >= LOST_TO_S;
	for (i = 0; i < s->in.nitem; i++) {
		double m = s->mean[i] * demand_factor(s, i);

		/* Autocorrelated noise with the variance of a Poisson count. */
		s->noise[i] += -noise_weight * s->noise[i] +
			       sqrt(2 * noise_weight) * normal(&s->rng);
		s->demand[i] = m + sqrt(m) * s->noise[i];
		if (s->demand[i] < 0)
			s->demand[i] = 0;
		s->planner_demand[i] +=
		    demand_ewma_weight * (s->demand[i] - s->planner_demand[i]);
	}
	set_planner_demand(s);
}

/* Served demand: the slots of the copies are filled in rounds. */

static bool
serves(sim_t *s, int w, int i)
{
	int base = s->item[i].base;

	return s->worker[w].usable && *copy_state(s, w, i) == PLACE_READY &&
	       (base == -1 || *copy_state(s, w, base) == PLACE_READY);
}

static void
serve(sim_t *s)
{
	double spare[WORKERS], left[ITEMS], room, part;
	double slots = 0, demand = 0;
	int w, i, round, copies;

	for (w = 0; w < s->d->workers; w++) {
		spare[w] = SLOTS;
		slots += s->worker[w].usable ? SLOTS : 0;
	}
	for (i = 0; i < s->in.nitem; i++) {
		left[i] = s->demand[i];
		s->wanted += s->demand[i];
		demand += s->demand[i];
		copies = 0;
		for (w = 0; w < s->d->workers; w++)
			copies += serves(s, w, i);
		s->unreachable_s += copies == 0;
	}
	s->servable += demand < slots ? demand : slots;
	for (round = 1; round <= FILL_ROUNDS; round++)
		for (i = 0; i < s->in.nitem; i++) {
			double want = left[i] * round / FILL_ROUNDS;

			room = 0;
			for (w = 0; w < s->d->workers; w++)
				if (serves(s, w, i))
					room += spare[w];
			if (want > room)
				want = room;
			if (want <= 0)
				continue;
			for (w = 0; w < s->d->workers; w++) {
				if (!serves(s, w, i))
					continue;
				part = want * spare[w] / room;
				spare[w] -= part;
				left[i] -= part;
				s->served += part;
			}
		}
}

/* Orders */

static void
start_move(sim_t *s, int w, int i, move_kind_t kind, int loading)
{
	bool model = s->item[i].base == -1;
	int limit = model ? s->d->loads_at_once : s->d->adapters_at_once;
	float t = model ? (float)s->d->load_s : 0.02f;

	*copy_state(s, w, i) =
	    kind == MOVE_LOAD ? PLACE_LOADING : PLACE_UNLOADING;
	if (kind == MOVE_UNLOAD)
		t = 1;
	else if (loading >= limit)
		t *= (float)(loading + 1) / (float)limit;
	s->move_left_s[w * s->in.nitem + i] = t;
	if (model)
		s->model_moves++;
	else
		s->adapter_moves++;
}

static void
advance_second(sim_t *s)
{
	int k;

	for (k = 0; k < s->d->workers * s->in.nitem; k++) {
		if (s->state[k] != PLACE_LOADING &&
		    s->state[k] != PLACE_UNLOADING)
			continue;
		s->move_left_s[k] -= 1;
		if (s->move_left_s[k] <= 0)
			s->state[k] = s->state[k] == PLACE_LOADING ? PLACE_READY
								   : PLACE_NONE;
	}
	/* A lost worker returns empty. */
	for (k = 0; k < s->d->workers; k++)
		if (!s->worker[k].usable)
			memset(copy_state(s, k, 0), PLACE_NONE, s->in.nitem);
}

static int
loading(sim_t *s, bool model)
{
	int k, n = 0;

	for (k = 0; k < s->d->workers * s->in.nitem; k++)
		n += s->state[k] == PLACE_LOADING &&
		     (s->item[k % s->in.nitem].base == -1) == model;
	return n;
}

static void
plan_ours(sim_t *s)
{
	int k;

	s->in.model_loads_left = s->d->loads_at_once - loading(s, true);
	s->in.adapter_loads_left = s->d->adapters_at_once;
	if (place_step(&s->in, &s->out, NULL) == -1)
		abort();
	for (k = 0; k < s->out.nmove; k++)
		s->by_reason[s->out.move[k].reason][s->out.move[k].kind]++;
	for (k = 0; k < s->out.nmove; k++)
		start_move(s, s->out.move[k].worker, s->out.move[k].item,
		    s->out.move[k].kind, 0);
}

/* CHASE and LAZY. */

static int64_t
free_mb(sim_t *s, int w)
{
	int64_t mb = s->worker[w].memory_mb;
	int i;

	for (i = 0; i < s->in.nitem; i++)
		if (*copy_state(s, w, i) != PLACE_NONE)
			mb -= s->item[i].memory_mb;
	return mb;
}

static int
copies_of(sim_t *s, int i, bool ready)
{
	int w, n = 0;

	for (w = 0; w < s->d->workers; w++)
		n += s->worker[w].usable &&
		     (*copy_state(s, w, i) == PLACE_READY ||
			 (!ready && *copy_state(s, w, i) == PLACE_LOADING));
	return n;
}

/* Copies for the demand, and all remaining memory in proportion to demand. */
static void
chase_targets(sim_t *s, int *target)
{
	double memory = 0, weight = 0;
	int i;

	for (i = 0; i < s->d->workers; i++)
		memory += s->worker[i].usable ? WORKER_MB : 0;
	for (i = 0; i < s->in.nitem; i++) {
		memory -= (double)s->item[i].copies_min * s->item[i].memory_mb;
		weight += s->item[i].base == -1
			      ? s->item[i].demand * s->item[i].memory_mb
			      : 0;
	}
	for (i = 0; i < s->in.nitem; i++) {
		double need = s->item[i].demand / (SLOTS * target_utilisation);
		double share = memory > 0 && s->item[i].base == -1
				   ? s->item[i].demand * memory / weight * 0.9
				   : 0;

		target[i] = (int)s->item[i].copies_min;
		if (need > target[i])
			target[i] = (int)ceil(need);
		if (share > target[i])
			target[i] = (int)share;
		if (target[i] > s->d->workers)
			target[i] = s->d->workers;
	}
}

static void
chase_unload(sim_t *s, int w, int i)
{
	int j;

	for (j = 0; j < s->in.nitem; j++)
		if (s->item[j].base == i && *copy_state(s, w, j) == PLACE_READY)
			start_move(s, w, j, MOVE_UNLOAD, 0);
	start_move(s, w, i, MOVE_UNLOAD, 0);
}

static void
chase_item(sim_t *s, int i, int target)
{
	bool model = s->item[i].base == -1;
	int w, best, n = copies_of(s, i, false);

	/* LAZY unloads only after a load that lacked room. */
	while (n > target && copies_of(s, i, true) > target &&
	       (s->policy == CHASE || s->lacked_room_before)) {
		for (best = -1, w = 0; w < s->d->workers; w++)
			if (s->worker[w].usable &&
			    *copy_state(s, w, i) == PLACE_READY &&
			    (best == -1 || free_mb(s, w) < free_mb(s, best)))
				best = w;
		chase_unload(s, best, i);
		n--;
	}
	while (n < target) {
		if (loading(s, model) >=
		    (model ? s->d->loads_at_once : s->d->adapters_at_once))
			return;
		for (best = -1, w = 0; w < s->d->workers; w++)
			if (s->worker[w].usable &&
			    *copy_state(s, w, i) == PLACE_NONE &&
			    (model || *copy_state(s, w, s->item[i].base) ==
					  PLACE_READY) &&
			    free_mb(s, w) >= s->item[i].memory_mb &&
			    (best == -1 || free_mb(s, w) > free_mb(s, best)))
				best = w;
		if (best == -1) {
			s->lacked_room = true;
			return;
		}
		start_move(s, best, i, MOVE_LOAD, 0);
		n++;
	}
}

static void
plan_chase(sim_t *s)
{
	int target[ITEMS], i;

	chase_targets(s, target);
	s->lacked_room_before = s->lacked_room;
	s->lacked_room = false;
	for (i = 0; i < s->in.nitem; i++)
		chase_item(s, i, target[i]);
}

/* EVEN: fill the memory evenly before the start. */
static void
fill_even(sim_t *s)
{
	int i, w, best, round;

	for (round = 0; round < s->d->workers; round++)
		for (i = 0; i < s->d->models; i++) {
			for (best = -1, w = 0; w < s->d->workers; w++)
				if (*copy_state(s, w, i) == PLACE_NONE &&
				    free_mb(s, w) >=
					s->item[i].memory_mb + 8000 &&
				    (best == -1 ||
					free_mb(s, w) > free_mb(s, best)))
					best = w;
			if (best != -1)
				*copy_state(s, best, i) = PLACE_READY;
		}
	for (i = s->d->models; i < s->in.nitem; i++)
		for (w = 0; w < s->d->workers; w++)
			if (*copy_state(s, w, s->item[i].base) == PLACE_READY &&
			    free_mb(s, w) >= s->item[i].memory_mb)
				*copy_state(s, w, i) = PLACE_READY;
}

static void
plan(sim_t *s)
{
	switch (s->policy) {
	case EVEN:
		break;
	case CHASE:
	case LAZY:
		plan_chase(s);
		break;
	case OURS:
		plan_ours(s);
		break;
	case NPOLICY:
		break;
	}
}

/* Five minutes of placement that aren't counted. */
static void
warm_up(sim_t *s)
{
	int i;

	for (i = 0; i < s->in.nitem; i++)
		s->planner_demand[i] = s->mean[i];
	set_planner_demand(s);
	if (s->policy == EVEN)
		fill_even(s);
	for (i = 0; i < 300; i++) {
		plan(s);
		advance_second(s);
	}
	s->model_moves = s->adapter_moves = 0;
	memset(s->by_reason, 0, sizeof(s->by_reason));
}

static void
report_reasons(const sim_t *s)
{
	int r;

	if (s->policy != OURS)
		return;
	fprintf(stderr, "%s %s", s->d->name, scenarios[s->scenario]);
	for (r = 0; r <= REASON_SURPLUS; r++)
		fprintf(stderr, " %s=%" PRId64 "/%" PRId64, move_reason_name(r),
		    s->by_reason[r][MOVE_LOAD], s->by_reason[r][MOVE_UNLOAD]);
	fputc('\n', stderr);
}

static void
run(const deployment_t *d, scenario_t scenario, policy_t policy, int64_t weight,
    uint64_t seed)
{
	sim_t *s = calloc_or_abort(1, sizeof(*s));
	double hours = SECONDS / 3600.0;

	s->d = d;
	s->scenario = scenario;
	s->policy = policy;
	s->rng.s = seed;
	s->burst = -1;
	s->in = (place_input_t){ .worker = s->worker,
		.nworker = d->workers,
		.item = s->item,
		.state = s->state,
		.move_weight = weight,
		.hysteresis = d->hysteresis };
	make_workers(s);
	make_items(s);
	warm_up(s);
	for (s->now = 0; s->now < SECONDS; s->now++) {
		draw_demand(s);
		plan(s);
		advance_second(s);
		serve(s);
	}
	printf("%s,%s,%s,%" PRId64 ",%" PRIu64 ",%.3f,%.3f,%.3f,%.1f,%.1f,%.1f,"
	       "%" PRId64 "\n",
	    d->name, scenarios[scenario], policies[policy], weight, seed,
	    100 * s->served / s->wanted, 100 * s->served / s->servable,
	    s->served / SECONDS / d->workers,
	    (double)(s->model_moves + s->adapter_moves) / hours,
	    (double)s->model_moves / hours, (double)s->adapter_moves / hours,
	    s->unreachable_s);
	report_reasons(s);
	place_output_clear(&s->out);
	free(s);
}

/* policyplace [curve]: all policies; with "curve", OURS by move weight. */
int
main(int argc, char **argv)
{
	static const int64_t weights[] = { 0, 10, 20, 40, 80, 160, 400, 800,
		1600 };
	const deployment_t *d;
	int k, p, seed;
	size_t i, j;

	(void)argv;
	printf("deployment,scenario,policy,weight,seed,attainment_percent,"
	       "of_possible_percent,served_per_worker,moves_h,model_moves_h,"
	       "adapter_moves_h,"
	       "unreachable_s\n");
	for (i = 0; i < sizeof(deployments) / sizeof(deployments[0]); i++)
		for (seed = 1; seed <= SEEDS; seed++) {
			d = &deployments[i];
			for (j = 0; argc > 1 &&
				    j < sizeof(weights) / sizeof(weights[0]);
			     j++)
				run(d, BURST, OURS, weights[j], seed);
			for (k = 0; argc == 1 && k < NSCENARIO; k++)
				for (p = 0; p < NPOLICY; p++)
					run(d, k, p, d->move_weight, seed);
		}
	return 0;
}
