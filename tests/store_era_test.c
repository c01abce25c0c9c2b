/*
 * Which answers of the store count when it comes back from an older copy, and
 * what is forgotten then.
 */
#include "serve/plan.h"
#include "serve/blame.h"
#include "serve/prompt_cost.h"
#include "serve/reach.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	LEASE_MS = 3000,
	ERA = 8,
};

typedef struct instance {
	serve_t s;
	plan_t p;
	peer_t peer, *peers[1];
} instance_t;

static void
on_alarm(void *arg)
{
	(void)arg;
}

/* Instances stay until the program ends, with all that their modules keep. */
static GPtrArray *instances;

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
	reach_init(&t->s);
	prompt_costs_init(&t->s);
	blame_feed_init(&t->s);
	ep_table_init(&t->s.endpoints);
	t->s.calls = table_new(sizeof(call_t *), 8);
	t->s.demand = g_hash_table_new(g_str_hash, g_str_equal);
	t->peers[0] = &t->peer;
	t->s.peers.peer = t->peers;
	t->s.peers.npeer = 1;
	for (i = 0; i < G_N_ELEMENTS(w); i++) {
		w[i]->s = &t->s;
		w[i]->alarm.fn = on_alarm;
		w[i]->kind = (object_kind_t)i;
		w[i]->as_of = w[i]->changed_revision = w[i]->peer_revision =
		    100;
		w[i]->first_listed_at = 1;
	}
	t->peer.revision = 90;
	g_ptr_array_add(instances, t);
	return t;
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
}

/** What is known of an endpoint as the store returns, and its entry then. */
typedef struct entry_case {
	const char *name;
	bool leaving; /* as read, with seq 4; else read ready, with seq 3 */
	bool told;    /* then a peer told that it leaves */
	bool gone;    /* then its entry was deleted */
	int64_t born, seq; /* of the copy's entry, which is ready */
	bool usable;	   /* the endpoint */
	bool used;	   /* the copy's entry */
} entry_case_t;

enum {
	BORN = 1000
};

static const entry_case_t entry_cases[] = {
	{ "same", false, false, false, BORN, 3, true, true },
	{ "older", false, false, false, BORN, 2, true, false },
	{ "newer", false, false, false, BORN, 4, true, true },
	{ "before_it_left", true, false, false, BORN, 3, false, false },
	{ "ready_again", true, false, false, BORN, 5, true, true },
	{ "told_leaving", false, true, false, BORN, 3, false, false },
	{ "told_leaving_written_again", false, true, false, BORN, 4, true,
	    true },
	{ "gone", false, false, true, BORN, 3, false, false },
	{ "gone_written_again", false, false, true, BORN, 4, true, true },
	{ "earlier_start", false, false, false, BORN - 1, 9, true, false },
	{ "later_start", true, false, false, BORN + 1, 1, true, true },
};

static void
read_entry(
    serve_t *s, int64_t revision, int64_t born, int64_t seq, bool leaving)
{
	object_t o = { .name = "ep", .revision = revision };

	o.spec = json_pack("{s:s,s:s,s:s,s:i,s:s,s:I,s:I}", "service", "app",
	    "address", "127.0.0.1:9", "zone", "north", "slots", 4, "state",
	    leaving ? "draining" : "ready", "born", (json_int_t)born, "seq",
	    (json_int_t)seq);
	ep_update_entry(s, &o, 0);
	json_decref(o.spec);
}

/* Guards against an entry of the copy that hides what is known since. */
static void
entry_of_the_copy(gconstpointer which)
{
	const entry_case_t *x = which;
	instance_t *t = instance_new();
	serve_t *s = &t->s;
	const ep_t *p;

	s->conf.heartbeat = 1200;
	store_era_accept(s, 0, ERA);
	read_entry(s, 50, BORN, 3, false);
	p = ep_find(&s->endpoints, "ep");
	if (x->leaving)
		read_entry(s, 60, BORN, 4, true);
	if (x->told)
		ep_peer_saw_leaving(s, p->tag, ERA, 60);
	if (x->gone)
		ep_entry_gone(s, "ep", 60, false);
	store_era_accept(s, ERA, ERA + 1);
	read_entry(s, 40, x->born, x->seq, false);
	g_assert_cmpint(ep_usable(p), ==, x->usable);
	g_assert_cmpint(ep_entry_passed_over(s, "ep"), ==, !x->used);
	/* Once an endpoint that has ended would be gone, it counts. */
	s->loop.now =
	    s->store_era_at + 3 * s->conf.heartbeat + ENTRY_RETURN_MS + 1;
	read_entry(s, 40, x->born, x->seq, false);
	g_assert_true(ep_usable(p));
}

/*
 * Guards against using an endpoint that was announced to leave before a copy of
 * the store showed it.
 */
static void
announced_before_it_was_known(void)
{
	instance_t *t = instance_new();
	serve_t *s = &t->s;
	uint32_t tag = (uint32_t)hash_str("ep", 0);

	store_era_accept(s, 0, ERA);
	ep_peer_saw_leaving(s, tag, ERA, 60);
	read_entry(s, 50, BORN, 3, false);
	g_assert_false(ep_usable(ep_find(&s->endpoints, "ep")));
	/* It is back. */
	read_entry(s, 70, BORN + 1, 1, false);
	g_assert_true(ep_usable(ep_find(&s->endpoints, "ep")));
}

/* Guards against holding an earlier end against an endpoint that is back. */
static void
announced_before_it_came_back(void)
{
	instance_t *t = instance_new();
	serve_t *s = &t->s;
	uint32_t tag = (uint32_t)hash_str("ep", 0);

	store_era_accept(s, 0, ERA);
	ep_peer_saw_leaving(s, tag, ERA, 60);
	read_entry(s, 70, BORN, 1, false);
	g_assert_true(ep_usable(ep_find(&s->endpoints, "ep")));
}

/* @return whether the instance connected to its store */
static bool
store_was_asked(serve_t *s, int listener)
{
	int i;

	for (i = 0; i < 20; i++) {
		int fd;

		loop_turn(&s->loop, 5);
		fd = accept(listener, NULL, NULL);
		if (fd != -1) {
			close(fd);
			return true;
		}
	}
	return false;
}

/* Guards against giving up, by a revision given out again, another's lease. */
static void
lost_lease_isn_t_released(void)
{
	instance_t *t = instance_new();
	serve_t *s = &t->s;
	struct sockaddr_in sa;
	socklen_t len = sizeof(sa);
	int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	sa = (struct sockaddr_in){ .sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	g_assert_cmpint(
	    bind(listener, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	g_assert_cmpint(listen(listener, 4), ==, 0);
	getsockname(listener, (struct sockaddr *)&sa, &len);
	s->store = sa;
	store_era_accept(s, 0, ERA);
	leadership_observe(&t->p.leadership, &(lease_view_t){ 0 }, 0);
	leadership_taken_over(&t->p.leadership, 7, clock_now(&machine_clock));
	store_era_accept(s, ERA, ERA + 1);
	g_assert_true(t->p.leadership.held);
	lease_release(&t->p);
	g_assert_false(t->p.leadership.held);
	g_assert_false(store_was_asked(s, listener));
	/* One that it holds in this era is given up. */
	leadership_observe(&t->p.leadership, &(lease_view_t){ 0 }, 0);
	leadership_taken_over(&t->p.leadership, 8, clock_now(&machine_clock));
	lease_release(&t->p);
	g_assert_true(store_was_asked(s, listener));
	close(listener);
}

int
main(int argc, char **argv)
{
	size_t i;

	g_test_init(&argc, &argv, NULL);
	instances = g_ptr_array_new();
	for (i = 0; i < G_N_ELEMENTS(entry_cases); i++) {
		char *path =
		    g_strdup_printf("/store-era/entry/%s", entry_cases[i].name);

		g_test_add_data_func(path, &entry_cases[i], entry_of_the_copy);
		g_free(path);
	}
	g_test_add_func("/store-era/announced-before-it-was-known",
	    announced_before_it_was_known);
	g_test_add_func("/store-era/announced-before-it-came-back",
	    announced_before_it_came_back);
	g_test_add_func(
	    "/store-era/lost-lease-isn-t-released", lost_lease_isn_t_released);
	g_test_add_func("/store-era/answers-of-another-era-don-t-count",
	    answers_of_another_era_don_t_count);
	g_test_add_func(
	    "/store-era/revisions-are-forgotten", revisions_are_forgotten);
	g_test_add_func("/store-era/revisions-of-other-instances",
	    revisions_of_other_instances);
	return g_test_run();
}
