/*
 * Which answers of the store count when it comes back from an older copy, and
 * what is forgotten then.
 */
#include "serve/plan.h"

#include <glib.h>
#include <string.h>

enum {
	LEASE_MS = 3000,
	ERA = 8,
};

typedef struct instance {
	serve_t s;
	plan_t p;
	peer_t peer, *peers[1];
} instance_t;

static instance_t *
instance_new(void)
{
	instance_t *t = g_new0(instance_t, 1);
	store_watch_t *w[] = { &t->s.config_watch, &t->s.endpoints_watch,
		&t->s.instances_watch };
	size_t i;

	g_assert_cmpint(loop_init(&t->s.loop), ==, 0);
	t->s.plan = &t->p;
	t->p.s = &t->s;
	leadership_init(&t->p.leadership, LEASE_MS, true);
	software_init(&t->s.software, 0);
	t->peers[0] = &t->peer;
	t->s.peers.peer = t->peers;
	t->s.peers.npeer = 1;
	for (i = 0; i < G_N_ELEMENTS(w); i++) {
		w[i]->s = &t->s;
		w[i]->kind = (object_kind_t)i;
		w[i]->as_of = w[i]->changed_revision = w[i]->peer_revision =
		    100;
		w[i]->first_listed_at = 1;
	}
	t->peer.revision = 90;
	return t;
}

static void
instance_free(instance_t *t)
{
	alarm_stop(&t->s.loop, &t->s.config_watch.alarm);
	alarm_stop(&t->s.loop, &t->s.endpoints_watch.alarm);
	alarm_stop(&t->s.loop, &t->s.instances_watch.alarm);
	loop_free(&t->s.loop);
	g_free(t);
}

/*
 * Guards against a write that met a revision given out again, or was lost
 * after it was acknowledged, being taken as done.
 */
static void
answers_of_another_era_don_t_count(void)
{
	instance_t *t = instance_new();
	serve_t *s = &t->s;

	g_assert_true(store_era_accept(s, 0, 0)); /* a store without eras */
	g_assert_true(store_era_accept(s, 0, ERA));
	g_assert_true(store_era_accept(s, ERA, ERA));
	g_assert_true(store_era_accept(s, ERA, 0)); /* not said */
	g_assert_cmpint(s->store_era, ==, ERA);
	g_assert_false(store_era_accept(s, ERA, ERA + 1));
	g_assert_cmpint(s->store_era, ==, ERA + 1);
	g_assert_false(store_era_accept(s, ERA, ERA)); /* late */
	g_assert_false(store_era_accept(s, ERA + 1, ERA));
	g_assert_cmpint(s->store_era, ==, ERA + 1);
	g_assert_true(store_era_accept(s, ERA + 1, ERA + 1));
	/* Sent before any era was known: it is of the era that it names. */
	g_assert_true(store_era_accept(s, 0, ERA + 1));
	instance_free(t);
}

/* Guards against a revision of an earlier era that is used in a later one. */
static void
revisions_are_forgotten(void)
{
	instance_t *t = instance_new();
	serve_t *s = &t->s;
	const store_watch_t *w[] = { &s->config_watch, &s->endpoints_watch,
		&s->instances_watch };
	size_t i;

	store_era_accept(s, 0, ERA);
	for (i = 0; i < G_N_ELEMENTS(w); i++)
		g_assert_cmpint(w[i]->as_of, ==, 100);
	t->p.leadership.read = true;
	leadership_peer_renewed(&t->p.leadership, 70, 1);
	software_add(&s->software, 1, 2, s->loop.now);
	software_mark_stored(&s->software, 2, s->loop.now);
	store_era_accept(s, ERA, ERA + 1);
	for (i = 0; i < G_N_ELEMENTS(w); i++) {
		g_assert_cmpint(w[i]->as_of, ==, 0);
		g_assert_cmpint(w[i]->changed_revision, ==, 0);
		g_assert_cmpint(w[i]->peer_revision, ==, 0);
		g_assert_cmpint(w[i]->regained_at, !=, 0);
	}
	g_assert_cmpint(t->peer.revision, ==, 0);
	g_assert_false(t->p.leadership.read);
	g_assert_cmpint(t->p.leadership.peer_revision, ==, 0);
	g_assert_cmpint(t->p.leadership.era, ==, ERA + 1);
	g_assert_cmpint(t->p.leadership.first_era, ==, ERA);
	g_assert_false(software_is_stored(&s->software, 2));
	instance_free(t);
}

/* Guards against revisions of an instance in another era, or without eras. */
static void
revisions_of_other_instances(void)
{
	instance_t *t = instance_new();
	serve_t *s = &t->s;

	g_assert_true(store_era_is_ours(s, 0));
	store_era_accept(s, 0, ERA);
	/* It may be of a version that names none; nothing was lost yet. */
	g_assert_true(store_era_is_ours(s, 0));
	g_assert_true(store_era_is_ours(s, ERA));
	g_assert_false(store_era_is_ours(s, ERA - 1));
	g_assert_false(store_era_is_ours(s, ERA + 1));
	store_era_accept(s, ERA, ERA + 1);
	g_assert_false(store_era_is_ours(s, 0));
	g_assert_false(store_era_is_ours(s, ERA));
	g_assert_true(store_era_is_ours(s, ERA + 1));
	instance_free(t);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/store-era/answers-of-another-era-don-t-count",
	    answers_of_another_era_don_t_count);
	g_test_add_func(
	    "/store-era/revisions-are-forgotten", revisions_are_forgotten);
	g_test_add_func("/store-era/revisions-of-other-instances",
	    revisions_of_other_instances);
	return g_test_run();
}
