/*
 * Endpoints may not check fencing tokens, so orders of two holders must be a
 * lease apart. Simulated instances freeze and restart, and their writes to the
 * store or the answers are lost or late, and the store comes back from older
 * copies; a seed drives each run.
 */
#include "policy/leadership.h"

#include <glib.h>
#include <string.h>

/* The store's object. Writes may take effect late or go unanswered. */
typedef struct object {
	int64_t revision;
	int64_t era, first_era; /* known to its writer */
	int owner;
	bool settled, released;
} object_t;

enum {
	INSTANCES = 5,
	LEASE = 3000, /* ms */
	END = 200000, /* ms of a run */
	LATE_WRITES = 12,
	STEP = 50,    /* ms of simulated time */
	COPIES = 120, /* of the store, one for each step */
};

/** What a run does besides. */
typedef struct trouble {
	int drills;   /* returns from a copy, per thousand steps */
	bool no_eras; /* the store doesn't say when it did */
} trouble_t;

/** The store at some moment. */
typedef struct copy {
	object_t object;
	int64_t last_revision;
} copy_t;

/* A write that takes effect later. */
typedef struct late_write {
	ms_t at;
	int who;
	int64_t revision; /* condition */
	int64_t era;
	bool settled, pending;
} late_write_t;

typedef struct simulation {
	trouble_t trouble;
	object_t object;
	int64_t last_revision, era;
	copy_t copy[COPIES]; /* ring; ncopy taken so far */
	int ncopy;
	ms_t down_until;
	leadership_t leadership[INSTANCES];
	ms_t frozen_until[INSTANCES];
	late_write_t late_write[LATE_WRITES];
	int last_holder;
	ms_t last_order;
	int64_t last_token;
	int orders, changes;
} simulation_t;

static bool
write_object(
    simulation_t *w, int who, int64_t era, int64_t revision, bool settled)
{
	if (w->object.revision != revision)
		return false;
	w->object.revision = ++w->last_revision;
	w->object.era = era;
	w->object.first_era = w->leadership[who].first_era;
	w->object.owner = who;
	w->object.settled = settled;
	w->object.released = false;
	return true;
}

static void
apply_late_writes(simulation_t *w, ms_t now)
{
	int i;

	for (i = 0; i < LATE_WRITES; i++) {
		late_write_t *l = &w->late_write[i];

		if (!l->pending || now < l->at)
			continue;
		l->pending = false;
		write_object(w, l->who, l->era, l->revision, l->settled);
	}
}

/* The store comes back from a copy some seconds old. */
static void
drill(simulation_t *w, ms_t now, GRand *g)
{
	int age = g_rand_int_range(g, 1, COPIES);
	const copy_t *c;

	if (age > w->ncopy)
		return;
	c = &w->copy[(w->ncopy - age) % COPIES];
	w->object = c->object;
	w->last_revision = c->last_revision;
	w->era++;
	w->down_until = now + g_rand_int_range(g, 0, 800);
}

/*
 * An answer arrived. @return whether it is of the era that the instance knew
 * when it sent the request
 */
static bool
answer_counts(simulation_t *w, int i)
{
	leadership_t *t = &w->leadership[i];
	int64_t known = t->era;

	if (w->trouble.no_eras)
		return true;
	leadership_in_era(t, w->era);
	return known == 0 || known == w->era;
}

static void
observe(simulation_t *w, int i, ms_t now)
{
	lease_view_t v = { .revision = w->object.revision,
		.era = w->object.era,
		.first_era = w->object.first_era,
		.own = w->object.owner == i && w->object.revision != 0,
		.settled = w->object.settled,
		.released = w->object.released };

	leadership_observe(&w->leadership[i], &v, now);
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
		g_assert_cmpint(leadership_token(t), >, w->last_token);
	g_assert_cmpint(leadership_token(t), >=, w->last_token);
	w->last_holder = i;
	w->last_order = now;
	w->last_token = leadership_token(t);
}

/* A holder or another instance reads the object. */
static void
read_object(simulation_t *w, int i, ms_t now)
{
	leadership_t *t = &w->leadership[i];

	if (!answer_counts(w, i))
		return;
	observe(w, i, now);
	if (t->held && t->of_this_era && !t->own_machine)
		leadership_lost(t);
	if (leadership_must_restore(t) && !leadership_valid(t, now))
		leadership_lost(t);
}

/* One step of an instance. Its write or the answer may be lost or late. */
static void
step(simulation_t *w, int i, ms_t now, GRand *g)
{
	leadership_t *t = &w->leadership[i];
	int chance = g_rand_int_range(g, 0, 100);
	int64_t condition, era;
	bool take, ok;

	order(w, i, now);
	/* Instances tell each other. */
	leadership_earlier_era(
	    t, w->leadership[g_rand_int_range(g, 0, INSTANCES)].first_era);
	if (now < w->down_until)
		return;
	if (leadership_must_restore(t) && !leadership_valid(t, now))
		leadership_lost(t);
	take = leadership_may_take_over(t, now) || leadership_must_restore(t);
	if (!take && !leadership_renewal_due(t, now)) {
		if (t->held ? !t->read : chance < 30)
			read_object(w, i, now);
		return;
	}
	condition = t->revision;
	era = t->era;
	if (chance < 8) { /* the request is lost */
		if (take)
			t->read = false;
		return;
	}
	if (chance < 14) { /* takes effect seconds later, no answer */
		w->late_write[g_rand_int_range(g, 0, LATE_WRITES)] =
		    (late_write_t){ now + g_rand_int_range(g, 1000, 6000), i,
			    condition, era, leadership_settled(t, now), true };
		if (take)
			t->read = false;
		return;
	}
	ok = write_object(w, i, era, condition, leadership_settled(t, now));
	if (chance < 20) { /* takes effect, no answer */
		if (take)
			t->read = false;
		return;
	}
	if (!answer_counts(w, i))
		return;
	if (ok && take) {
		leadership_taken_over(t, w->object.revision, now);
	} else if (ok) {
		leadership_renewed(t, w->object.revision, now);
	} else {
		observe(w, i, now);
		if (t->held && t->own_machine && t->of_this_era)
			leadership_renewed(
			    t, w->object.revision, t->renewed_at);
		else if (!leadership_must_restore(t))
			leadership_lost(t);
	}
}

/* @return how often the holder changed */
static int
run(guint32 seed, const trouble_t *trouble)
{
	simulation_t w = { .trouble = *trouble, .last_holder = -1, .era = 4 };
	GRand *g = g_rand_new_with_seed(seed);
	ms_t now;
	int i;

	for (i = 0; i < INSTANCES; i++)
		leadership_init(&w.leadership[i], LEASE, true);
	for (now = 0; now < END; now += STEP) {
		if (g_rand_int_range(g, 0, 1000) < trouble->drills)
			drill(&w, now, g);
		w.copy[w.ncopy++ % COPIES] =
		    (copy_t){ w.object, w.last_revision };
		if (now >= w.down_until)
			apply_late_writes(&w, now);
		for (i = 0; i < INSTANCES; i++) {
			if (g_rand_int_range(g, 0, 1000) == 0)
				w.frozen_until[i] =
				    now + g_rand_int_range(g, 500, 8000);
			if (g_rand_int_range(g, 0, 2500) == 0) {
				/* It restarts without any state. */
				leadership_init(
				    &w.leadership[i], LEASE, now == 0);
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
	static const trouble_t none = { .no_eras = true };
	guint32 seed;
	int changes = 0;

	for (seed = 1; seed <= 300; seed++)
		changes += run(seed, &none);
	g_assert_cmpint(changes, >, 300);
}

/* Guards against holders in turn, and lower tokens, after a store's return. */
static void
holders_are_a_lease_apart_over_eras(void)
{
	static const trouble_t often[] = { { .drills = 0 }, { .drills = 2 },
		{ .drills = 8 }, { .drills = 30 } };
	guint32 seed;
	int changes = 0;
	size_t k;

	for (k = 0; k < G_N_ELEMENTS(often); k++)
		for (seed = 1; seed <= 300; seed++)
			changes += run(seed, &often[k]);
	g_assert_cmpint(changes, >, 300);
}

static void
frozen_holder_orders_nothing(void)
{
	leadership_t t;

	leadership_init(&t, LEASE, true);
	leadership_observe(&t, &(lease_view_t){ 0 }, 0);
	leadership_taken_over(&t, 7, 0);
	g_assert_true(leadership_may_order(&t, 100));
	g_assert_false(leadership_may_order(&t, LEASE));
}

/* Guards against orders by a lease that lapsed before the store lost it. */
static void
only_a_valid_holder_goes_on(void)
{
	leadership_t t;
	ms_t lapsed = LEASE / 2;

	leadership_init(&t, LEASE, true);
	leadership_in_era(&t, 4);
	leadership_observe(&t, &(lease_view_t){ 0 }, 0);
	leadership_taken_over(&t, 7, 0);
	leadership_in_era(&t, 5);
	leadership_observe(
	    &t, &(lease_view_t){ .revision = 3, .era = 4, .own = true }, 10);
	g_assert_true(leadership_must_restore(&t));
	leadership_taken_over(&t, 8, 10);
	g_assert_true(leadership_may_order(&t, 11));
	leadership_in_era(&t, 6);
	leadership_observe(&t,
	    &(lease_view_t){
		.revision = 3, .era = 4, .own = true, .settled = true },
	    lapsed + 10);
	leadership_taken_over(&t, 9, lapsed + 10);
	g_assert_false(leadership_may_order(&t, lapsed + 11));
	g_assert_cmpint(t.orders_from, >=, lapsed + 10 + LEASE);
}

/* A renewal that the holder announced shortens the wait for a take-over. */
static void
announced_renewal_shortens_the_wait(void)
{
	leadership_t a, b;

	leadership_init(&a, LEASE, true);
	leadership_init(&b, LEASE, true);
	leadership_peer_renewed(&a, 9, 1000);
	leadership_observe(&a, &(lease_view_t){ .revision = 9 }, 3000);
	leadership_observe(&b, &(lease_view_t){ .revision = 9 }, 3000);
	g_assert_true(leadership_may_take_over(&a, 3000));
	g_assert_false(leadership_may_take_over(&b, 3000));
	leadership_taken_over(&a, 10, 3000);
	g_assert_cmpint(a.orders_from, >=, 1000 + LEASE);
}

static void
restarted_process_continues_at_once(void)
{
	leadership_t t;

	leadership_init(&t, LEASE, true);
	leadership_observe(&t,
	    &(lease_view_t){ .revision = 5, .own = true, .settled = true },
	    100);
	g_assert_true(leadership_may_take_over(&t, 100));
	leadership_taken_over(&t, 6, 100);
	g_assert_true(leadership_may_order(&t, 101));
	/* Not if the previous process was still waiting itself. */
	leadership_init(&t, LEASE, true);
	leadership_observe(
	    &t, &(lease_view_t){ .revision = 5, .own = true }, 100);
	leadership_taken_over(&t, 6, 100);
	g_assert_false(leadership_may_order(&t, 101));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/leadership/holders-are-a-lease-apart", holders_are_a_lease_apart);
	g_test_add_func("/leadership/holders-are-a-lease-apart-over-eras",
	    holders_are_a_lease_apart_over_eras);
	g_test_add_func("/leadership/frozen-holder-orders-nothing",
	    frozen_holder_orders_nothing);
	g_test_add_func("/leadership/only-a-valid-holder-goes-on",
	    only_a_valid_holder_goes_on);
	g_test_add_func("/leadership/announced-renewal-shortens-the-wait",
	    announced_renewal_shortens_the_wait);
	g_test_add_func("/leadership/restarted-process-continues-at-once",
	    restarted_process_continues_at_once);
	return g_test_run();
}
