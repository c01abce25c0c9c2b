/*
 * A worker's memory must never be exceeded, although orders, their answers and
 * load reports may be lost, late or out of date. If the ledger released memory
 * too early, a late load would exceed it.
 */
#include "policy/policy.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* Sequences of steps on one ledger, one letter per step. */

enum {
	ITEM_MB = 60,
	CAPACITY = 100
};

static const ledger_item_t item_a = { "a", "", 1, ITEM_MB };
static const ledger_item_t item_b = { "b", "", 1, ITEM_MB };
static const ledger_sender_t test_sender = { "planner", 7 };

static bool
apply_step(ledger_t *l, char c, uint64_t *load, uint64_t *unload)
{
	ledger_report_t r = { "i1", CAPACITY, l->last_order, &item_a, 0 };
	err_t e;

	switch (c) {
	case 'l': /* load a */
		*load = ledger_order_load(l, &item_a, &test_sender, &e);
		return *load > 0;
	case 'L': /* load b, which doesn't fit beside a */
		return ledger_order_load(l, &item_b, &test_sender, &e) > 0;
	case 'u': /* unload a */
		*unload = ledger_order_unload(l, &item_a, &test_sender, &e);
		return *unload > 0;
	case 't': /* the load's answer: accepted */
		return ledger_record_answer(l, *load, SEND_ACCEPTED);
	case 'n': /* the load's answer: not run */
		return ledger_record_answer(l, *load, SEND_NOT_RUN);
	case '?': /* no answer to the load is received */
		return ledger_record_answer(l, *load, SEND_NO_ANSWER);
	case 'T': /* the unload's answer: accepted */
		return ledger_record_answer(l, *unload, SEND_ACCEPTED);
	case 'r': /* a current report without a */
		return ledger_apply_report(l, &r);
	case 'R': /* a current report with a */
		r.nitem = 1;
		return ledger_apply_report(l, &r);
	case 'o': /* a report older than the last order, without a */
		r.last_order--;
		return ledger_apply_report(l, &r);
	case 'O': /* a report older than the last order, with a */
		r.last_order--;
		r.nitem = 1;
		return ledger_apply_report(l, &r);
	case 'b': /* another order is numbered */
		l->last_order++;
		return true;
	case 'i': /* the engine was restarted, and holds nothing */
		r.incarnation = "i2";
		return ledger_apply_report(l, &r);
	}
	g_assert_not_reached();
}

static void
step_sequences(void)
{
	/*
	 * steps: letters as above; after '!', the step must change nothing.
	 * mb: reserved after all steps.
	 */
	static const struct {
		const char *what, *steps;
		bool fencing;
		int mb;
	} rows[] = {
		{ "a load reserves memory before it is sent", "l!L", false,
		    ITEM_MB },
		{ "its answer settles a load", "lt!r", false, ITEM_MB },
		{ "a refused load releases its memory", "ln", false, 0 },
		{ "no answer: stays reserved, unfenced", "l!?b!r", false,
		    ITEM_MB },
		{ "no answer: neither item can be loaded, unfenced",
		    "l!?b!r!l!L", false, ITEM_MB },
		{ "no answer: can't be unloaded, unfenced", "l!?b!r!u", false,
		    ITEM_MB },
		{ "no answer, but a report lists it", "l!?Ru!Tr", false, 0 },
		{ "no answer, and a report shows it gone", "l!?r", false, 0 },
		{ "an older report proves nothing", "l!?!o!O", false, ITEM_MB },
		{ "a higher number settles a load, fenced", "l!?br", true, 0 },
		{ "an unload settles a load, fenced", "l!?u!or", true, 0 },
		{ "an unload's answer releases nothing", "ltu!T", true,
		    ITEM_MB },
		{ "an older report doesn't prove an unload", "ltu!T!o", true,
		    ITEM_MB },
		{ "an unload may be repeated", "ltu!o!Ru!o", false, ITEM_MB },
		{ "a report proves a repeated unload", "ltu!o!Ru!or", false,
		    0 },
		{ "a resident item that is gone stays reserved", "lt!r!r", true,
		    ITEM_MB },
		{ "a report newer than an unload releases it", "lt!rur", true,
		    0 },
		{ "a load's answer after the unload", "lu!tr", true, 0 },
		{ "a restart releases all", "l!?i", false, 0 },
		{ "an answer after a restart changes nothing", "l!?i!t", false,
		    0 },
		{ "an item loaded without order is reserved", "R", true,
		    ITEM_MB },
		{ "an item loaded without order can be unloaded", "Rur", true,
		    0 },
	};
	uint64_t load, unload;
	const char *s;
	ledger_t *l;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		l = ledger_new("w", rows[i].fencing);
		l->memory_mb = CAPACITY;
		str_set(l->incarnation, sizeof(l->incarnation), "i1");
		load = unload = 0;
		for (s = rows[i].steps; *s != '\0'; s++) {
			bool expected = *s != '!';

			s += !expected;
			if (apply_step(l, *s, &load, &unload) != expected)
				g_error("%s: %s at '%s'", rows[i].what,
				    rows[i].steps, s);
		}
		if ((int)ledger_reserved_mb(l) != rows[i].mb)
			g_error("%s: %d MB reserved", rows[i].what,
			    (int)ledger_reserved_mb(l));
		ledger_free(l);
	}
}

static void
json_round_trip(void)
{
	ledger_t *l = ledger_new("w-1", true), *m;
	err_t e = { 0 };
	char *a, *b;

	l->memory_mb = CAPACITY;
	ledger_order_load(l, &item_a, &test_sender, &e);
	a = ledger_encode(l);
	m = ledger_decode(a, strlen(a), &e);
	b = ledger_encode(m);
	g_assert_cmpstr(a, ==, b);
	g_assert_null(ledger_decode(a, strlen(a) - 1, &e));
	g_assert_cmpint(e.code, ==, ERR_PROTO);
	g_assert_null(ledger_decode("{\"worker\":\"w\"}", 14, &e));
	free(a);
	free(b);
	ledger_free(l);
	ledger_free(m);
}

/*
 * A simulation with random interleavings and faults. Its engine carries out
 * every load that arrives and never refuses one for lack of memory, so only
 * the ledger keeps it within its capacity.
 */
enum {
	SIM_ITEMS = 5,
	SIM_PLANNERS = 3,
	ORDERS_IN_FLIGHT_MAX = 64,
	OLD_REPORTS = 6, /* reports may be this many orders old */
	SIM_STEPS = 300,
	SIM_RUNS = 1500,
	RECOVERY_ROUNDS = 30, /* of one planner without faults */
};

typedef enum fault {
	FAULT_NONE,
	FAULT_NO_WRITE_AHEAD, /* orders are sent before the ledger is written */
	FAULT_SENDER_GONE,    /* a dead sender's loads are released */
	FAULT_LATER_PROCESS,  /* an order may reach a later engine process */
	FAULT_STALE_REPORT,   /* a report's age is ignored */
} fault_t;

static const ledger_item_t items[SIM_ITEMS] = { { "m0", "", 1, 40 },
	{ "m1", "", 1, 30 }, { "m1", "", 2, 35 }, { "m0", "x", 1, 10 },
	{ "m2", "", 1, 45 } };

typedef struct snapshot {
	uint64_t last_order;
	int copies[SIM_ITEMS];
} snapshot_t;

typedef struct sim_order {
	bool used, arrived;
	bool awaited; /* the sender waits for the answer */
	uint64_t number;
	int item, incarnation;
	bool load, accepted;
} sim_order_t;

typedef enum planner_stage {
	STAGE_IDLE,
	STAGE_READ,
	STAGE_SEND,
	STAGE_WAIT
} planner_stage_t;

typedef struct planner_sim {
	planner_stage_t stage;
	char id[ID_MAX];
	ledger_t *l;
	uint64_t version;
	sim_order_t order;
	int net_index; /* index of its order in in_flight */
} planner_sim_t;

typedef struct sim {
	rng_t rng;
	fault_t fault;
	bool fencing, faults, over_capacity;
	char *stored; /* the ledger in the store */
	uint64_t version;
	uint64_t max_fencing_token;    /* accepted by the engine */
	int incarnation, incarnations; /* current, and how many */
	snapshot_t now, past[OLD_REPORTS];
	int npast;
	sim_order_t in_flight[ORDERS_IN_FLIGHT_MAX];
	planner_sim_t planner[SIM_PLANNERS];
	GHashTable *dead_senders;
} sim_t;

static bool
chance(sim_t *sim, int percent)
{
	return (int)(rng_next(&sim->rng) % 100) < percent;
}

static int
used_mb(const sim_t *sim)
{
	int i, mb = 0;

	for (i = 0; i < SIM_ITEMS; i++)
		mb += sim->now.copies[i] * (int)items[i].memory_mb;
	return mb;
}

static void
save_snapshot(sim_t *sim)
{
	if (sim->npast == OLD_REPORTS)
		memmove(sim->past, sim->past + 1,
		    sizeof(sim->past[0]) * --sim->npast);
	sim->past[sim->npast++] = sim->now;
}

/* Hands an order to the engine. @return true if it accepted it */
static bool
deliver(sim_t *sim, const sim_order_t *s)
{
	if (s->incarnation != sim->incarnation &&
	    sim->fault != FAULT_LATER_PROCESS)
		return false;
	if (sim->fencing && s->number <= sim->max_fencing_token)
		return false;
	save_snapshot(sim);
	sim->max_fencing_token = MAX(sim->max_fencing_token, s->number);
	sim->now.last_order = MAX(sim->now.last_order, s->number);
	if (s->load)
		sim->now.copies[s->item]++;
	else if (sim->now.copies[s->item] > 0)
		sim->now.copies[s->item]--;
	sim->over_capacity = sim->over_capacity || used_mb(sim) > CAPACITY;
	return true;
}

static void
network_step(sim_t *sim)
{
	sim_order_t *s =
	    &sim->in_flight[rng_next(&sim->rng) % ORDERS_IN_FLIGHT_MAX];

	if (!s->used || s->arrived)
		return;
	if (sim->faults && chance(sim, 15)) {
		s->used = false; /* lost */
		return;
	}
	s->accepted = deliver(sim, s);
	/* The network may deliver twice, except loads without fencing. */
	if (sim->faults && (sim->fencing || !s->load) && chance(sim, 20))
		deliver(sim, s);
	s->arrived = true;
	if (!s->awaited || (sim->faults && chance(sim, 20)))
		s->used = false; /* the answer isn't awaited, or is lost */
}

static void
engine_restart(sim_t *sim)
{
	memset(&sim->now, 0, sizeof(sim->now));
	sim->npast = 0;
	sim->max_fencing_token = 0;
	sim->incarnation = ++sim->incarnations;
}

static bool
store_ledger(sim_t *sim, planner_sim_t *p)
{
	char *text;

	if (p->version != sim->version || (sim->faults && chance(sim, 5)))
		return false;
	text = ledger_encode(p->l);
	free(sim->stored);
	sim->stored = text;
	p->version = ++sim->version;
	return !(sim->faults &&
		 chance(sim, 5)); /* written, but the answer was lost */
}

static void
read_ledger(sim_t *sim, planner_sim_t *p)
{
	err_t e;
	int i;

	ledger_free(p->l);
	p->l = ledger_decode(sim->stored, strlen(sim->stored), &e);
	p->version = sim->version;
	for (i = p->l->nreservation - 1;
	     sim->fault == FAULT_SENDER_GONE && i >= 0; i--)
		if (p->l->reservation[i].state == RESERVATION_UNSETTLED &&
		    g_hash_table_contains(
			sim->dead_senders, p->l->reservation[i].sender))
			p->l->reservation[i] =
			    p->l->reservation[--p->l->nreservation];
}

/* Requests a report and applies it. @return true if the ledger changed */
static bool
apply_report(sim_t *sim, planner_sim_t *p)
{
	int i, back = (int)(rng_next(&sim->rng) % (sim->npast + 1));
	const snapshot_t *s =
	    sim->faults && back > 0 ? &sim->past[sim->npast - back] : &sim->now;
	ledger_item_t seen[SIM_ITEMS];
	char incarnation[ID_MAX];
	ledger_report_t r = { incarnation, CAPACITY, s->last_order, seen, 0 };

	snprintf(incarnation, sizeof(incarnation), "%d", sim->incarnation);
	for (i = 0; i < SIM_ITEMS; i++)
		if (s->copies[i] > 0)
			seen[r.nitem++] = items[i];
	if (sim->fault == FAULT_STALE_REPORT)
		r.last_order = p->l->last_order;
	return ledger_apply_report(p->l, &r);
}

static void
choose_order(sim_t *sim, planner_sim_t *p)
{
	ledger_sender_t by = { p->id, 1 };
	int i = (int)(rng_next(&sim->rng) % SIM_ITEMS);
	err_t e;

	p->order = (sim_order_t){ .used = true, .awaited = true, .item = i };
	p->order.load = ledger_find(p->l, &items[i]) == NULL;
	p->order.number = p->order.load
			      ? ledger_order_load(p->l, &items[i], &by, &e)
			      : ledger_order_unload(p->l, &items[i], &by, &e);
	p->order.incarnation = atoi(p->l->incarnation);
}

static bool
send_order(sim_t *sim, planner_sim_t *p)
{
	for (p->net_index = 0; p->net_index < ORDERS_IN_FLIGHT_MAX;
	     p->net_index++)
		if (!sim->in_flight[p->net_index].used)
			break;
	if (p->net_index == ORDERS_IN_FLIGHT_MAX)
		return false;
	sim->in_flight[p->net_index] = p->order;
	return true;
}

static void
take_answer(sim_t *sim, planner_sim_t *p)
{
	sim_order_t *s = &sim->in_flight[p->net_index];
	send_outcome_t how;

	p->stage = STAGE_IDLE;
	if (!s->used || s->number != p->order.number)
		return; /* the order or its answer was lost */
	if (!s->arrived) {
		s->awaited = false; /* timed out */
		return;
	}
	how = s->accepted ? SEND_ACCEPTED : SEND_NOT_RUN;
	s->used = false;
	read_ledger(sim, p);
	if (ledger_record_answer(p->l, p->order.number, how))
		store_ledger(sim, p);
}

static void
planner_step(sim_t *sim, planner_sim_t *p)
{
	bool stored;

	switch (p->stage) {
	case STAGE_IDLE:
		read_ledger(sim, p);
		p->stage = STAGE_READ;
		return;
	case STAGE_READ:
		p->stage = STAGE_IDLE;
		if (apply_report(sim, p) && !store_ledger(sim, p))
			return;
		choose_order(sim, p);
		if (p->order.number == 0)
			return;
		stored =
		    sim->fault == FAULT_NO_WRITE_AHEAD || store_ledger(sim, p);
		p->stage = stored ? STAGE_SEND : STAGE_IDLE;
		return;
	case STAGE_SEND:
		p->stage = send_order(sim, p) ? STAGE_WAIT : STAGE_IDLE;
		if (sim->fault == FAULT_NO_WRITE_AHEAD)
			store_ledger(sim, p);
		return;
	case STAGE_WAIT:
		take_answer(sim, p);
		return;
	}
}

static void
planner_kill(sim_t *sim, planner_sim_t *p)
{
	g_hash_table_add(sim->dead_senders, g_strdup(p->id));
	if (p->stage == STAGE_WAIT && sim->in_flight[p->net_index].used &&
	    sim->in_flight[p->net_index].number == p->order.number)
		sim->in_flight[p->net_index].awaited = false;
	p->stage = STAGE_IDLE;
	snprintf(p->id, sizeof(p->id), "p%" PRIu64, rng_next(&sim->rng));
}

static void
sim_init(sim_t *sim, uint64_t seed, bool fencing, fault_t fault)
{
	ledger_t *l = ledger_new("w", fencing);
	int i;

	memset(sim, 0, sizeof(*sim));
	sim->rng.s = seed;
	sim->fencing = fencing;
	sim->fault = fault;
	sim->faults = true;
	sim->stored = ledger_encode(l);
	sim->version = 1;
	sim->dead_senders =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 0; i < SIM_PLANNERS; i++)
		planner_kill(sim, &sim->planner[i]);
	ledger_free(l);
}

static void
sim_clear(sim_t *sim)
{
	int i;

	for (i = 0; i < SIM_PLANNERS; i++)
		ledger_free(sim->planner[i].l);
	free(sim->stored);
	g_hash_table_destroy(sim->dead_senders);
}

static void
sim_run(sim_t *sim)
{
	int i, draw;

	for (i = 0; i < SIM_STEPS && !sim->over_capacity; i++) {
		draw = (int)(rng_next(&sim->rng) % 1000);
		if (draw < 500)
			planner_step(sim,
			    &sim->planner[rng_next(&sim->rng) % SIM_PLANNERS]);
		else if (draw < 985)
			network_step(sim);
		else if (draw < 995)
			planner_kill(sim,
			    &sim->planner[rng_next(&sim->rng) % SIM_PLANNERS]);
		else
			engine_restart(sim);
	}
}

/* What a planner does for a wanted item when there are no more faults. */
static void
make_resident(sim_t *sim, planner_sim_t *p, int i)
{
	ledger_sender_t by = { p->id, 1 };
	reservation_t *res;
	err_t e;

	read_ledger(sim, p);
	if (apply_report(sim, p))
		store_ledger(sim, p);
	res = ledger_find(p->l, &items[i]);
	if (res != NULL && res->state == RESERVATION_RESIDENT &&
	    sim->now.copies[i] > 0)
		return;
	p->order = (sim_order_t){ .item = i, .load = res == NULL };
	p->order.number = res == NULL
			      ? ledger_order_load(p->l, &items[i], &by, &e)
			      : ledger_order_unload(p->l, &items[i], &by, &e);
	p->order.incarnation = sim->incarnation;
	if (p->order.number == 0 || !store_ledger(sim, p) ||
	    !deliver(sim, &p->order))
		return;
	if (ledger_record_answer(p->l, p->order.number, SEND_ACCEPTED))
		store_ledger(sim, p);
}

static bool
all_resident(const sim_t *sim)
{
	return sim->now.copies[0] == 1 && sim->now.copies[3] == 1 &&
	       sim->now.copies[4] == 1;
}

/* Without faults, unloads m1 and makes m0, its adapter and m2 resident. */
static bool
sim_recovers(sim_t *sim)
{
	planner_sim_t *p = &sim->planner[0];
	ledger_sender_t by = { p->id, 1 };
	err_t e;
	int i, r;

	sim->faults = false;
	memset(sim->in_flight, 0, sizeof(sim->in_flight));
	for (r = 0; r < RECOVERY_ROUNDS && !all_resident(sim); r++) {
		read_ledger(sim, p);
		if (apply_report(sim, p))
			store_ledger(sim, p);
		for (i = 1; i <= 2; i++) {
			p->order = (sim_order_t){ .item = i,
				.incarnation = sim->incarnation };
			p->order.number =
			    ledger_order_unload(p->l, &items[i], &by, &e);
			if (p->order.number > 0 && store_ledger(sim, p))
				deliver(sim, &p->order);
		}
		make_resident(sim, p, 0);
		make_resident(sim, p, 3);
		make_resident(sim, p, 4);
	}
	return all_resident(sim);
}

static uint64_t
first_seed(void)
{
	const char *s = g_getenv("LEDGER_SEED");

	return s == NULL ? 1 : g_ascii_strtoull(s, NULL, 10);
}

static void
memory_stays_within_capacity(gconstpointer arg)
{
	bool fencing = GPOINTER_TO_INT(arg);
	uint64_t seed = first_seed();
	int i, unsettled_mb = 0;
	sim_t sim;

	g_test_message("seeds %" PRIu64 " and on (LEDGER_SEED)", seed);
	for (i = 0; i < SIM_RUNS; i++, seed++) {
		sim_init(&sim, seed, fencing, FAULT_NONE);
		sim_run(&sim);
		if (sim.over_capacity)
			g_error("seed %" PRIu64 ": %d MB of %d", seed,
			    used_mb(&sim), CAPACITY);
		if (!sim_recovers(&sim) && fencing)
			g_error("seed %" PRIu64 ": not resident", seed);
		if (sim.over_capacity)
			g_error("seed %" PRIu64 ": %d MB of %d at the end",
			    seed, used_mb(&sim), CAPACITY);
		read_ledger(&sim, &sim.planner[0]);
		unsettled_mb += (int)ledger_unsettled_mb(sim.planner[0].l);
		sim_clear(&sim);
	}
	g_test_message("%.1f MB of %d unsettled at the end of a run",
	    (double)unsettled_mb / SIM_RUNS, CAPACITY);
	if (fencing)
		g_assert_cmpint(unsettled_mb, ==, 0);
}

/*
 * The simulation must notice each of these faults: with one of them seeded,
 * some run takes the engine over its capacity.
 */
static void
seeded_fault_is_found(gconstpointer arg)
{
	fault_t fault = (fault_t)GPOINTER_TO_INT(arg);
	uint64_t seed = first_seed();
	bool found = false;
	sim_t sim;
	int i;

	for (i = 0; i < SIM_RUNS && !found; i++, seed++) {
		sim_init(&sim, seed, i % 2 == 0, fault);
		sim_run(&sim);
		found = sim.over_capacity;
		sim_clear(&sim);
	}
	g_test_message("found in run %d", i);
	g_assert_true(found);
}

int
main(int argc, char **argv)
{
	static const struct {
		const char *path;
		fault_t fault;
	} rows[] = {
		{ "/ledger/finds/no-write-ahead", FAULT_NO_WRITE_AHEAD },
		{ "/ledger/finds/sender-gone-settles", FAULT_SENDER_GONE },
		{ "/ledger/finds/order-to-a-later-process",
		    FAULT_LATER_PROCESS },
		{ "/ledger/finds/report-of-any-age", FAULT_STALE_REPORT },
	};
	size_t i;

	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ledger/step-sequences", step_sequences);
	g_test_add_func("/ledger/json", json_round_trip);
	g_test_add_data_func("/ledger/capacity/fenced", GINT_TO_POINTER(1),
	    memory_stays_within_capacity);
	g_test_add_data_func("/ledger/capacity/unfenced", GINT_TO_POINTER(0),
	    memory_stays_within_capacity);
	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		g_test_add_data_func(rows[i].path,
		    GINT_TO_POINTER((int)rows[i].fault), seeded_fault_is_found);
	return g_test_run();
}
