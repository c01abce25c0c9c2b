#include "policy/leadership.h"

#include <glib.h>
#include <string.h>

/* A store with one object, whose writes may land late or go unanswered. */
typedef struct slot {
	int64_t revision;
	int owner;
	bool settled, released;
} slot_t;

enum {
	INSTANCES = 5,
	LEASE = 3000,
	END = 200000,
	LATE = 12,
};

typedef struct late {
	ms_t at;
	int who;
	int64_t revision; /* condition */
	bool settled, on;
} late_t;

typedef struct world {
	slot_t slot;
	int64_t counter;
	leadership_t t[INSTANCES];
	ms_t frozen[INSTANCES]; /* until */
	late_t late[LATE];
	int last_holder;
	ms_t last_order;
	int64_t last_token;
	int orders, changes;
} world_t;

static bool
write_slot(world_t *w, int who, int64_t revision, bool settled)
{
	if (w->slot.revision != revision)
		return false;
	w->slot.revision = ++w->counter;
	w->slot.owner = who;
	w->slot.settled = settled;
	w->slot.released = false;
	return true;
}

static void
land_late(world_t *w, ms_t now)
{
	int i;

	for (i = 0; i < LATE; i++)
		if (w->late[i].on && now >= w->late[i].at) {
			w->late[i].on = false;
			write_slot(w, w->late[i].who, w->late[i].revision,
			    w->late[i].settled);
		}
}

static void
order(world_t *w, int i, ms_t now)
{
	leadership_t *t = &w->t[i];

	if (!leadership_may_order(t, now))
		return;
	w->orders++;
	if (w->last_holder != i && w->last_holder != -1) {
		w->changes++;
		/* Endpoints don't check tokens: time keeps them apart. */
		g_assert_cmpint(now - w->last_order, >=, LEASE);
	}
	if (w->last_holder != i)
		g_assert_cmpint(t->token, >, w->last_token);
	g_assert_cmpint(t->token, >=, w->last_token);
	w->last_holder = i;
	w->last_order = now;
	w->last_token = t->token;
}

/* One instance's turn: a write may be lost, its answer too, or come late. */
static void
step(world_t *w, int i, ms_t now, GRand *g)
{
	leadership_t *t = &w->t[i];
	int luck = g_rand_int_range(g, 0, 100);
	bool take, ok;
	int64_t condition;

	order(w, i, now);
	take = leadership_may_take_over(t, now);
	if (!take && !leadership_renewal_due(t, now)) {
		if (!t->held && luck < 30)
			leadership_observe(t, w->slot.revision,
			    w->slot.owner == i && w->slot.revision != 0,
			    w->slot.settled, w->slot.released, now);
		return;
	}
	condition = t->revision;
	if (luck < 8) { /* lost on the way */
		if (take)
			t->read = false;
		return;
	}
	if (luck < 14) { /* carried out seconds later, no answer */
		w->late[g_rand_int_range(g, 0, LATE)] =
		    (late_t){ now + g_rand_int_range(g, 1000, 6000), i,
			    condition, leadership_settled(t, now), true };
		if (take)
			t->read = false;
		return;
	}
	ok = write_slot(w, i, condition, leadership_settled(t, now));
	if (luck < 20) { /* done, not answered */
		if (take)
			t->read = false;
		return;
	}
	if (ok && take) {
		leadership_taken_over(t, w->slot.revision, now);
	} else if (ok) {
		leadership_renewed(t, w->slot.revision, now);
	} else {
		leadership_observe(t, w->slot.revision, w->slot.owner == i,
		    w->slot.settled, w->slot.released, now);
		if (t->held && t->own_machine)
			leadership_renewed(t, w->slot.revision, t->renewed_at);
		else
			leadership_lost(t);
	}
}

/* @return changes of the holder. */
static int
run(guint32 seed)
{
	world_t w = { .last_holder = -1 };
	GRand *g = g_rand_new_with_seed(seed);
	ms_t now;
	int i;

	for (i = 0; i < INSTANCES; i++)
		leadership_init(&w.t[i], LEASE);
	for (now = 0; now < END; now += 50) {
		land_late(&w, now);
		for (i = 0; i < INSTANCES; i++) {
			if (g_rand_int_range(g, 0, 1000) == 0)
				w.frozen[i] =
				    now + g_rand_int_range(g, 500, 8000);
			if (g_rand_int_range(g, 0, 2500) == 0) {
				/* Killed and started: it knows nothing. */
				leadership_init(&w.t[i], LEASE);
			}
			if (now >= w.frozen[i])
				step(&w, i, now, g);
		}
	}
	g_assert_cmpint(w.orders, >, 200);
	g_rand_free(g);
	return w.changes;
}

static void
two_holders_never_take_turns(void)
{
	guint32 seed;
	int changes = 0;

	for (seed = 1; seed <= 300; seed++)
		changes += run(seed);
	g_assert_cmpint(changes, >, 300);
}

static void
frozen_holder_orders_nothing(void)
{
	leadership_t t;

	leadership_init(&t, LEASE);
	leadership_observe(&t, 0, false, false, false, 0);
	leadership_taken_over(&t, 7, 0);
	g_assert_true(leadership_may_order(&t, 100));
	g_assert_false(leadership_may_order(&t, LEASE));
}

/* What the holder told of its renewals shortens the wait after it is gone. */
static void
told_renewal_counts_from_when_it_was_told(void)
{
	leadership_t a, b;

	leadership_init(&a, LEASE);
	leadership_init(&b, LEASE);
	leadership_peer_renewed(&a, 9, 1000);
	leadership_observe(&a, 9, false, false, false, 3000);
	leadership_observe(&b, 9, false, false, false, 3000);
	g_assert_true(leadership_may_take_over(&a, 3000));
	g_assert_false(leadership_may_take_over(&b, 3000));
	leadership_taken_over(&a, 10, 3000);
	g_assert_cmpint(a.orders_from, >=, 1000 + LEASE);
}

static void
own_machine_goes_on_at_once(void)
{
	leadership_t t;

	leadership_init(&t, LEASE);
	leadership_observe(&t, 5, true, true, false, 100);
	g_assert_true(leadership_may_take_over(&t, 100));
	leadership_taken_over(&t, 6, 100);
	g_assert_true(leadership_may_order(&t, 101));
	/* Not if the process before it was still waiting for another. */
	leadership_init(&t, LEASE);
	leadership_observe(&t, 5, true, false, false, 100);
	leadership_taken_over(&t, 6, 100);
	g_assert_false(leadership_may_order(&t, 101));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/tenure/two-holders-never-take-turns",
	    two_holders_never_take_turns);
	g_test_add_func("/tenure/frozen-holder-orders-nothing",
	    frozen_holder_orders_nothing);
	g_test_add_func("/tenure/told-renewal-counts",
	    told_renewal_counts_from_when_it_was_told);
	g_test_add_func(
	    "/tenure/own-machine-goes-on-at-once", own_machine_goes_on_at_once);
	return g_test_run();
}
