/*
 * Endpoints may not check fencing tokens, so orders of two holders must be a
 * lease apart. Simulated instances freeze and restart, and their writes to the
 * store or the answers are lost or late; a seed drives each run.
 */
#include "policy/leadership.h"

#include <glib.h>
#include <string.h>

/* The store's object. Writes may take effect late or go unanswered. */
typedef struct object {
	int64_t revision;
	int owner;
	bool settled, released;
} object_t;

enum {
	INSTANCES = 5,
	LEASE = 3000, /* ms */
	END = 200000, /* ms of a run */
	LATE_WRITES = 12,
};

/* A write that takes effect later. */
typedef struct late_write {
	ms_t at;
	int who;
	int64_t revision; /* condition */
	bool settled, pending;
} late_write_t;

typedef struct simulation {
	object_t object;
	int64_t last_revision;
	leadership_t leadership[INSTANCES];
	ms_t frozen_until[INSTANCES];
	late_write_t late_write[LATE_WRITES];
	int last_holder;
	ms_t last_order;
	int64_t last_token;
	int orders, changes;
} simulation_t;

static bool
write_object(simulation_t *w, int who, int64_t revision, bool settled)
{
	if (w->object.revision != revision)
		return false;
	w->object.revision = ++w->last_revision;
	w->object.owner = who;
	w->object.settled = settled;
	w->object.released = false;
	return true;
}

static void
apply_late_writes(simulation_t *w, ms_t now)
{
	int i;

	for (i = 0; i < LATE_WRITES; i++)
		if (w->late_write[i].pending && now >= w->late_write[i].at) {
			w->late_write[i].pending = false;
			write_object(w, w->late_write[i].who,
			    w->late_write[i].revision,
			    w->late_write[i].settled);
		}
}

static void
order(simulation_t *w, int i, ms_t now)
{
	leadership_t *t = &w->leadership[i];

	if (!leadership_may_order(t, now))
		return;
	w->orders++;
	if (w->last_holder != i && w->last_holder != -1) {
		w->changes++;
		/* Endpoints don't check tokens, so a lease must pass. */
		g_assert_cmpint(now - w->last_order, >=, LEASE);
	}
	if (w->last_holder != i)
		g_assert_cmpint(t->token, >, w->last_token);
	g_assert_cmpint(t->token, >=, w->last_token);
	w->last_holder = i;
	w->last_order = now;
	w->last_token = t->token;
}

/* One step of an instance. Its write or the answer may be lost or late. */
static void
step(simulation_t *w, int i, ms_t now, GRand *g)
{
	leadership_t *t = &w->leadership[i];
	int chance = g_rand_int_range(g, 0, 100);
	bool take, ok;
	int64_t condition;

	order(w, i, now);
	take = leadership_may_take_over(t, now);
	if (!take && !leadership_renewal_due(t, now)) {
		if (!t->held && chance < 30)
			leadership_observe(t, w->object.revision,
			    w->object.owner == i && w->object.revision != 0,
			    w->object.settled, w->object.released, now);
		return;
	}
	condition = t->revision;
	if (chance < 8) { /* the request is lost */
		if (take)
			t->read = false;
		return;
	}
	if (chance < 14) { /* takes effect seconds later, no answer */
		w->late_write[g_rand_int_range(g, 0, LATE_WRITES)] =
		    (late_write_t){ now + g_rand_int_range(g, 1000, 6000), i,
			    condition, leadership_settled(t, now), true };
		if (take)
			t->read = false;
		return;
	}
	ok = write_object(w, i, condition, leadership_settled(t, now));
	if (chance < 20) { /* takes effect, no answer */
		if (take)
			t->read = false;
		return;
	}
	if (ok && take) {
		leadership_taken_over(t, w->object.revision, now);
	} else if (ok) {
		leadership_renewed(t, w->object.revision, now);
	} else {
		leadership_observe(t, w->object.revision, w->object.owner == i,
		    w->object.settled, w->object.released, now);
		if (t->held && t->own_machine)
			leadership_renewed(
			    t, w->object.revision, t->renewed_at);
		else
			leadership_lost(t);
	}
}

/* @return how often the holder changed */
static int
run(guint32 seed)
{
	simulation_t w = { .last_holder = -1 };
	GRand *g = g_rand_new_with_seed(seed);
	ms_t now;
	int i;

	for (i = 0; i < INSTANCES; i++)
		leadership_init(&w.leadership[i], LEASE);
	for (now = 0; now < END; now += 50) {
		apply_late_writes(&w, now);
		for (i = 0; i < INSTANCES; i++) {
			if (g_rand_int_range(g, 0, 1000) == 0)
				w.frozen_until[i] =
				    now + g_rand_int_range(g, 500, 8000);
			if (g_rand_int_range(g, 0, 2500) == 0) {
				/* It restarts without any state. */
				leadership_init(&w.leadership[i], LEASE);
			}
			if (now >= w.frozen_until[i])
				step(&w, i, now, g);
		}
	}
	g_assert_cmpint(w.orders, >, 200);
	g_rand_free(g);
	return w.changes;
}

static void
holders_are_a_lease_apart(void)
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

/* A renewal that the holder announced shortens the wait for a take-over. */
static void
announced_renewal_shortens_the_wait(void)
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
restarted_process_continues_at_once(void)
{
	leadership_t t;

	leadership_init(&t, LEASE);
	leadership_observe(&t, 5, true, true, false, 100);
	g_assert_true(leadership_may_take_over(&t, 100));
	leadership_taken_over(&t, 6, 100);
	g_assert_true(leadership_may_order(&t, 101));
	/* Not if the previous process was still waiting itself. */
	leadership_init(&t, LEASE);
	leadership_observe(&t, 5, true, false, false, 100);
	leadership_taken_over(&t, 6, 100);
	g_assert_false(leadership_may_order(&t, 101));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/leadership/holders-are-a-lease-apart", holders_are_a_lease_apart);
	g_test_add_func("/leadership/frozen-holder-orders-nothing",
	    frozen_holder_orders_nothing);
	g_test_add_func("/leadership/announced-renewal-shortens-the-wait",
	    announced_renewal_shortens_the_wait);
	g_test_add_func("/leadership/restarted-process-continues-at-once",
	    restarted_process_continues_at_once);
	return g_test_run();
}
