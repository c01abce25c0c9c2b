#include "policy/policy.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* Table cases: steps against one ledger, one letter a step. */

enum {
	MB = 60,
	CAPACITY = 100
};

static const ledger_item_t item_a = { "a", "", 1, MB };
static const ledger_item_t item_b = { "b", "", 1, MB };
static const ledger_sender_t me = { "planner", 7 };

static bool
step(ledger_t *l, char c, uint64_t *load, uint64_t *unload)
{
	ledger_report_t r = { "i1", CAPACITY, l->last_order, &item_a, 0 };
	err_t e;

	switch (c) {
	case 'l': /* load a */
		*load = ledger_order_load(l, &item_a, &me, &e);
		return *load > 0;
	case 'L': /* load b, which fits only without a */
		return ledger_order_load(l, &item_b, &me, &e) > 0;
	case 'u': /* unload a */
		*unload = ledger_order_unload(l, &item_a, &me, &e);
		return *unload > 0;
	case 't': /* the load's answer */
		return ledger_record_answer(l, *load, SEND_ACCEPTED);
	case 'n':
		return ledger_record_answer(l, *load, SEND_NOT_RUN);
	case '?':
		return ledger_record_answer(l, *load, SEND_NO_ANSWER);
	case 'T': /* the unload's answer */
		return ledger_record_answer(l, *unload, SEND_ACCEPTED);
	case 'r': /* a report of now without a */
		return ledger_apply_report(l, &r);
	case 'R': /* a report of now with a */
		r.nitem = 1;
		return ledger_apply_report(l, &r);
	case 'o': /* reports older than the last order */
		r.last_order--;
		return ledger_apply_report(l, &r);
	case 'O':
		r.last_order--;
		r.nitem = 1;
		return ledger_apply_report(l, &r);
	case 'b': /* some other order gets a number */
		l->last_order++;
		return true;
	case 'i': /* another process of the engine, empty */
		r.incarnation = "i2";
		return ledger_apply_report(l, &r);
	}
	g_assert_not_reached();
}

static void
named_cases(void)
{
	/* A step in upper or lower case as above; '!' before it: it must not
	 * change anything. mb: reserved after all steps. */
	static const struct {
		const char *what, *steps;
		bool fencing;
		int mb;
	} rows[] = {
		{ "a load reserves before it is sent", "l!L", false, MB },
		{ "its own answer settles it", "lt!r", false, MB },
		{ "a refused load gives back", "ln", false, 0 },
		{ "a lost answer keeps it, unfenced", "l!?b!r", false, MB },
		{ "... for that same item only", "l!?b!r!l!L", false, MB },
		{ "... and nothing unloads it", "l!?b!r!u", false, MB },
		{ "it shows in a report", "l!?Ru!Tr", false, 0 },
		{ "it landed and is gone", "l!?r", false, 0 },
		{ "an older report says nothing", "l!?!o!O", false, MB },
		{ "a higher number settles it, fenced", "l!?br", true, 0 },
		{ "an unload settles it, fenced", "l!?u!or", true, 0 },
		{ "an unload's answer gives nothing back", "ltu!T", true, MB },
		{ "an older report doesn't either", "ltu!T!o", true, MB },
		{ "an unload is asked for again", "ltu!o!Ru!o", false, MB },
		{ "... until it is seen", "ltu!o!Ru!or", false, 0 },
		{ "an item that vanished stays reserved", "lt!r!r", true, MB },
		{ "... until an unload proves it", "lt!rur", true, 0 },
		{ "a late answer after the unload", "lu!tr", true, 0 },
		{ "a new process is empty", "l!?i", false, 0 },
		{ "... and the old one's answer is void", "l!?i!t", false, 0 },
		{ "an item nobody ordered counts", "R", true, MB },
		{ "... and can be unloaded", "Rur", true, 0 },
	};
	uint64_t load, unload;
	const char *s;
	ledger_t *l;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		l = ledger_new("w", rows[i].fencing);
		l->memory_mb = CAPACITY;
		str_copy(l->incarnation, sizeof(l->incarnation), "i1");
		load = unload = 0;
		for (s = rows[i].steps; *s != '\0'; s++) {
			bool must = *s != '!';

			s += !must;
			if (step(l, *s, &load, &unload) != must)
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
json_keeps_all(void)
{
	ledger_t *l = ledger_new("w-1", true), *m;
	err_t e = { 0 };
	char *a, *b;

	l->memory_mb = CAPACITY;
	ledger_order_load(l, &item_a, &me, &e);
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
 * Random interleavings. An engine adds memory for each load that lands, in
 * whatever state it is, and never refuses one for lack of room: the ledger
 * alone has to keep it within its capacity.
 */
enum {
	NITEM = 5,
	NPLANNER = 3,
	NET_MAX = 64,
	HISTORY = 6, /* a report may be this many landings old */
	STEPS = 300,
	RUNS = 1500,
	ROUNDS = 30, /* of the planner alone, to get all resident */
};

typedef enum fault {
	FAULT_NONE,
	FAULT_NO_WRITE_AHEAD, /* send, then write the ledger */
	FAULT_SENDER_GONE,    /* a dead sender's orders count as settled */
	FAULT_UNBOUND,	      /* an order may reach a later process */
	FAULT_ANY_REPORT,     /* a report's age is ignored */
} fault_t;

static const ledger_item_t items[NITEM] = { { "m0", "", 1, 40 },
	{ "m1", "", 1, 30 }, { "m1", "", 2, 35 }, { "m0", "x", 1, 10 },
	{ "m2", "", 1, 45 } };

typedef struct snapshot {
	uint64_t last_order;
	int copies[NITEM];
} snapshot_t;

typedef struct sent {
	bool used, landed, asked; /* asked: its sender waits for the answer */
	uint64_t number;
	int item, incarnation;
	bool load, taken;
} sent_t;

typedef enum stage {
	ST_IDLE,
	ST_READ,
	ST_SEND,
	ST_WAIT
} stage_t;

typedef struct planner_sim {
	stage_t stage;
	char id[ID_MAX];
	ledger_t *l;
	uint64_t version;
	sent_t order;
	int at; /* its order in the net */
} planner_sim_t;

typedef struct world {
	rng_t rng;
	fault_t fault;
	bool fencing, faults, broken;
	char *object; /* the ledger as kept */
	uint64_t version;
	uint64_t top; /* fence */
	int incarnation, born;
	snapshot_t now, past[HISTORY];
	int npast;
	sent_t net[NET_MAX];
	planner_sim_t planner[NPLANNER];
	GHashTable *dead;
} world_t;

static bool
chance(world_t *w, int percent)
{
	return (int)(rng_next(&w->rng) % 100) < percent;
}

static int
used_mb(const world_t *w)
{
	int i, mb = 0;

	for (i = 0; i < NITEM; i++)
		mb += w->now.copies[i] * (int)items[i].memory_mb;
	return mb;
}

static void
keep_past(world_t *w)
{
	if (w->npast == HISTORY)
		memmove(w->past, w->past + 1, sizeof(w->past[0]) * --w->npast);
	w->past[w->npast++] = w->now;
}

/* @return true if the engine took it. */
static bool
land(world_t *w, const sent_t *s)
{
	if (s->incarnation != w->incarnation && w->fault != FAULT_UNBOUND)
		return false;
	if (w->fencing && s->number <= w->top)
		return false;
	keep_past(w);
	w->top = MAX(w->top, s->number);
	w->now.last_order = MAX(w->now.last_order, s->number);
	if (s->load)
		w->now.copies[s->item]++;
	else if (w->now.copies[s->item] > 0)
		w->now.copies[s->item]--;
	w->broken = w->broken || used_mb(w) > CAPACITY;
	return true;
}

static void
net_step(world_t *w)
{
	sent_t *s = &w->net[rng_next(&w->rng) % NET_MAX];

	if (!s->used || s->landed)
		return;
	if (w->faults && chance(w, 15)) {
		s->used = false; /* lost */
		return;
	}
	s->taken = land(w, s);
	/* The network may double what a repeat can't harm. */
	if (w->faults && (w->fencing || !s->load) && chance(w, 20))
		land(w, s);
	s->landed = true;
	if (!s->asked || (w->faults && chance(w, 20)))
		s->used = false; /* nobody waits, or the answer is lost */
}

static void
engine_restart(world_t *w)
{
	memset(&w->now, 0, sizeof(w->now));
	w->npast = 0;
	w->top = 0;
	w->incarnation = ++w->born;
}

static bool
put(world_t *w, planner_sim_t *p)
{
	char *text;

	if (p->version != w->version || (w->faults && chance(w, 5)))
		return false;
	text = ledger_encode(p->l);
	free(w->object);
	w->object = text;
	p->version = ++w->version;
	return !(w->faults && chance(w, 5)); /* done, and nobody told */
}

static void
get(world_t *w, planner_sim_t *p)
{
	err_t e;
	int i;

	ledger_free(p->l);
	p->l = ledger_decode(w->object, strlen(w->object), &e);
	p->version = w->version;
	for (i = p->l->nreservation - 1;
	     w->fault == FAULT_SENDER_GONE && i >= 0; i--)
		if (p->l->reservation[i].state == RESERVATION_UNSETTLED &&
		    g_hash_table_contains(w->dead, p->l->reservation[i].sender))
			p->l->reservation[i] =
			    p->l->reservation[--p->l->nreservation];
}

/* @return true if the ledger changed. */
static bool
report(world_t *w, planner_sim_t *p)
{
	int i, back = (int)(rng_next(&w->rng) % (w->npast + 1));
	const snapshot_t *s =
	    w->faults && back > 0 ? &w->past[w->npast - back] : &w->now;
	ledger_item_t seen[NITEM];
	char incarnation[ID_MAX];
	ledger_report_t r = { incarnation, CAPACITY, s->last_order, seen, 0 };

	snprintf(incarnation, sizeof(incarnation), "%d", w->incarnation);
	for (i = 0; i < NITEM; i++)
		if (s->copies[i] > 0)
			seen[r.nitem++] = items[i];
	if (w->fault == FAULT_ANY_REPORT)
		r.last_order = p->l->last_order;
	return ledger_apply_report(p->l, &r);
}

static void
choose(world_t *w, planner_sim_t *p)
{
	ledger_sender_t by = { p->id, 1 };
	int i = (int)(rng_next(&w->rng) % NITEM);
	err_t e;

	p->order = (sent_t){ .used = true, .asked = true, .item = i };
	p->order.load = ledger_find(p->l, &items[i]) == NULL;
	p->order.number = p->order.load
			      ? ledger_order_load(p->l, &items[i], &by, &e)
			      : ledger_order_unload(p->l, &items[i], &by, &e);
	p->order.incarnation = atoi(p->l->incarnation);
}

static bool
send_it(world_t *w, planner_sim_t *p)
{
	for (p->at = 0; p->at < NET_MAX; p->at++)
		if (!w->net[p->at].used)
			break;
	if (p->at == NET_MAX)
		return false;
	w->net[p->at] = p->order;
	return true;
}

static void
answered(world_t *w, planner_sim_t *p)
{
	sent_t *s = &w->net[p->at];
	send_outcome_t how;

	p->stage = ST_IDLE;
	if (!s->used || s->number != p->order.number)
		return; /* lost */
	if (!s->landed) {
		s->asked = false; /* the wait is over */
		return;
	}
	how = s->taken ? SEND_ACCEPTED : SEND_NOT_RUN;
	s->used = false;
	get(w, p);
	if (ledger_record_answer(p->l, p->order.number, how))
		put(w, p);
}

static void
planner_step(world_t *w, planner_sim_t *p)
{
	bool good;

	switch (p->stage) {
	case ST_IDLE:
		get(w, p);
		p->stage = ST_READ;
		return;
	case ST_READ:
		p->stage = ST_IDLE;
		if (report(w, p) && !put(w, p))
			return;
		choose(w, p);
		if (p->order.number == 0)
			return;
		good = w->fault == FAULT_NO_WRITE_AHEAD || put(w, p);
		p->stage = good ? ST_SEND : ST_IDLE;
		return;
	case ST_SEND:
		p->stage = send_it(w, p) ? ST_WAIT : ST_IDLE;
		if (w->fault == FAULT_NO_WRITE_AHEAD)
			put(w, p);
		return;
	case ST_WAIT:
		answered(w, p);
		return;
	}
}

static void
planner_kill(world_t *w, planner_sim_t *p)
{
	g_hash_table_add(w->dead, g_strdup(p->id));
	if (p->stage == ST_WAIT && w->net[p->at].used &&
	    w->net[p->at].number == p->order.number)
		w->net[p->at].asked = false;
	p->stage = ST_IDLE;
	snprintf(p->id, sizeof(p->id), "p%" PRIu64, rng_next(&w->rng));
}

static void
world_open(world_t *w, uint64_t seed, bool fencing, fault_t fault)
{
	ledger_t *l = ledger_new("w", fencing);
	int i;

	memset(w, 0, sizeof(*w));
	w->rng.s = seed;
	w->fencing = fencing;
	w->fault = fault;
	w->faults = true;
	w->object = ledger_encode(l);
	w->version = 1;
	w->dead = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 0; i < NPLANNER; i++)
		planner_kill(w, &w->planner[i]);
	ledger_free(l);
}

static void
world_close(world_t *w)
{
	int i;

	for (i = 0; i < NPLANNER; i++)
		ledger_free(w->planner[i].l);
	free(w->object);
	g_hash_table_destroy(w->dead);
}

static void
world_run(world_t *w)
{
	int i, die;

	for (i = 0; i < STEPS && !w->broken; i++) {
		die = (int)(rng_next(&w->rng) % 1000);
		if (die < 500)
			planner_step(
			    w, &w->planner[rng_next(&w->rng) % NPLANNER]);
		else if (die < 985)
			net_step(w);
		else if (die < 995)
			planner_kill(
			    w, &w->planner[rng_next(&w->rng) % NPLANNER]);
		else
			engine_restart(w);
	}
}

/* One planner with faults ended: what it does for a wanted item. */
static void
want(world_t *w, planner_sim_t *p, int i)
{
	ledger_sender_t by = { p->id, 1 };
	reservation_t *h;
	err_t e;

	get(w, p);
	if (report(w, p))
		put(w, p);
	h = ledger_find(p->l, &items[i]);
	if (h != NULL && h->state == RESERVATION_RESIDENT &&
	    w->now.copies[i] > 0)
		return;
	p->order = (sent_t){ .item = i, .load = h == NULL };
	p->order.number = h == NULL
			      ? ledger_order_load(p->l, &items[i], &by, &e)
			      : ledger_order_unload(p->l, &items[i], &by, &e);
	p->order.incarnation = w->incarnation;
	if (p->order.number == 0 || !put(w, p) || !land(w, &p->order))
		return;
	if (ledger_record_answer(p->l, p->order.number, SEND_ACCEPTED))
		put(w, p);
}

static bool
all_resident(const world_t *w)
{
	return w->now.copies[0] == 1 && w->now.copies[3] == 1 &&
	       w->now.copies[4] == 1;
}

/* Get m0, its adapter and m2 resident; the others are withdrawn first. */
static bool
settles(world_t *w)
{
	planner_sim_t *p = &w->planner[0];
	ledger_sender_t by = { p->id, 1 };
	err_t e;
	int i, r;

	w->faults = false;
	memset(w->net, 0, sizeof(w->net));
	for (r = 0; r < ROUNDS && !all_resident(w); r++) {
		get(w, p);
		if (report(w, p))
			put(w, p);
		for (i = 1; i <= 2; i++) {
			p->order = (sent_t){ .item = i,
				.incarnation = w->incarnation };
			p->order.number =
			    ledger_order_unload(p->l, &items[i], &by, &e);
			if (p->order.number > 0 && put(w, p))
				land(w, &p->order);
		}
		want(w, p, 0);
		want(w, p, 3);
		want(w, p, 4);
	}
	return all_resident(w);
}

static uint64_t
first_seed(void)
{
	const char *s = g_getenv("LEDGER_SEED");

	return s == NULL ? 1 : g_ascii_strtoull(s, NULL, 10);
}

static void
never_over_capacity(gconstpointer arg)
{
	bool fencing = GPOINTER_TO_INT(arg);
	uint64_t seed = first_seed();
	int i, stuck = 0;
	world_t w;

	g_test_message("seeds %" PRIu64 " and on (LEDGER_SEED)", seed);
	for (i = 0; i < RUNS; i++, seed++) {
		world_open(&w, seed, fencing, FAULT_NONE);
		world_run(&w);
		if (w.broken)
			g_error("seed %" PRIu64 ": %d MB of %d", seed,
			    used_mb(&w), CAPACITY);
		if (!settles(&w) && fencing)
			g_error("seed %" PRIu64 ": not resident", seed);
		if (w.broken)
			g_error("seed %" PRIu64 ": %d MB of %d at the end",
			    seed, used_mb(&w), CAPACITY);
		get(&w, &w.planner[0]);
		stuck += (int)ledger_unsettled_mb(w.planner[0].l);
		world_close(&w);
	}
	g_test_message("%.1f MB of %d doubtful at the end of a run",
	    (double)stuck / RUNS, CAPACITY);
	if (fencing)
		g_assert_cmpint(stuck, ==, 0);
}

static void
fault_is_found(gconstpointer arg)
{
	fault_t fault = (fault_t)GPOINTER_TO_INT(arg);
	uint64_t seed = first_seed();
	bool found = false;
	world_t w;
	int i;

	for (i = 0; i < RUNS && !found; i++, seed++) {
		world_open(&w, seed, i % 2 == 0, fault);
		world_run(&w);
		found = w.broken;
		world_close(&w);
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
		{ "/ledger/finds/order-to-a-later-process", FAULT_UNBOUND },
		{ "/ledger/finds/report-of-any-age", FAULT_ANY_REPORT },
	};
	size_t i;

	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ledger/named-cases", named_cases);
	g_test_add_func("/ledger/json", json_keeps_all);
	g_test_add_data_func(
	    "/ledger/capacity/fenced", GINT_TO_POINTER(1), never_over_capacity);
	g_test_add_data_func("/ledger/capacity/unfenced", GINT_TO_POINTER(0),
	    never_over_capacity);
	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		g_test_add_data_func(rows[i].path,
		    GINT_TO_POINTER((int)rows[i].fault), fault_is_found);
	return g_test_run();
}
