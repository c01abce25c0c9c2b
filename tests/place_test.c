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
	place_in_t in;
	place_out_t out;
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
	f->in = (place_in_t){ .worker = f->worker,
		.nworker = nworker,
		.item = f->item,
		.held = f->held,
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
copies(fleet_t *f, int item, place_held_t what)
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
			if (*held(f, w, i) != HELD_NO)
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
		    *h, ==, m->kind == MOVE_LOAD ? HELD_NO : HELD_READY);
		*h = m->kind == MOVE_LOAD ? HELD_COMING : HELD_GOING;
	}
	check_memory(f);
	for (i = 0; i < f->in.nworker * f->in.nitem; i++) {
		if (f->held[i] == HELD_COMING)
			f->held[i] = HELD_READY;
		else if (f->held[i] == HELD_GOING)
			f->held[i] = HELD_NO;
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
	place_out_clear(&f->out);
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
		g_assert_cmpint(copies(f, i, HELD_READY), ==, 2);
	g_assert_cmpint(*held(f, 0, a) + *held(f, 2, a), ==, HELD_READY);
	g_assert_cmpint(f->moves, ==, 6);
	done(f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/place/two-domains", two_domains_and_then_rest);
	return g_test_run();
}
