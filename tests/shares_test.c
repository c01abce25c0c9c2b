/*
 * With many instances, a few watch the store for the others of their domain,
 * and domains send each other the sum of their instances' shares.
 */
#include "serve/shares.h"

#include <string.h>

enum {
	DOMAINS = 3,
	PER_DOMAIN = 8,
	STRONG = 500, /* thousandths of a core */
	WEAK = 120,
};

typedef struct fixture {
	serve_t s;
	ep_t ep;
} fixture_t;

/* From the view of "d0-7", which is weak; "d0-0" and "d0-1" are strong. */
static void
set_up(fixture_t *t, int per_domain)
{
	int d, i;

	memset(t, 0, sizeof(*t));
	t->s.loop.now = t->s.endpoints_watch.coverage.at = 50000;
	t->s.conf.cpu_share = WEAK / 1000.0;
	g_strlcpy(t->s.conf.domain, "d0", sizeof(t->s.conf.domain));
	g_strlcpy(t->s.conf.instance, "d0-7", sizeof(t->s.conf.instance));
	t->s.peers.domain_sums = g_ptr_array_new();
	ep_table_init(&t->s.endpoints);
	g_strlcpy(t->ep.entry.id, "i-1", sizeof(t->ep.entry.id));
	t->ep.tag = 77;
	g_hash_table_insert(
	    t->s.endpoints.by_tag, GUINT_TO_POINTER(t->ep.tag), &t->ep);
	t->s.peers.peer = g_new0(peer_t *, DOMAINS * per_domain);
	for (d = 0; d < DOMAINS; d++)
		for (i = 0; i < per_domain; i++) {
			peer_t *p = g_new0(peer_t, 1);

			g_snprintf(p->instance, ID_MAX, "d%d-%d", d, i);
			if (strcmp(p->instance, t->s.conf.instance) == 0) {
				g_free(p);
				continue;
			}
			g_snprintf(p->domain, ID_MAX, "d%d", d);
			p->last_heard_at = t->s.loop.now;
			p->ready = true;
			p->cpu_millis = i < 2 ? STRONG : WEAK;
			p->share = g_hash_table_new_full(
			    g_direct_hash, g_direct_equal, NULL, g_free);
			t->s.peers.peer[t->s.peers.npeer++] = p;
		}
}

static peer_t *
find_peer(fixture_t *t, const char *instance)
{
	int i;

	for (i = 0; i < t->s.peers.npeer; i++)
		if (strcmp(t->s.peers.peer[i]->instance, instance) == 0)
			return t->s.peers.peer[i];
	g_assert_not_reached();
}

static void
tear_down(fixture_t *t)
{
	int i;

	for (i = 0; i < t->s.peers.npeer; i++) {
		g_hash_table_destroy(t->s.peers.peer[i]->share);
		g_free(t->s.peers.peer[i]);
	}
	for (i = 0; i < (int)t->s.peers.domain_sums->len; i++) {
		peer_t *p = g_ptr_array_index(t->s.peers.domain_sums, i);

		g_hash_table_destroy(p->share);
		g_free(p);
	}
	g_ptr_array_free(t->s.peers.domain_sums, TRUE);
	g_free(t->s.peers.peer);
	g_hash_table_destroy(t->s.endpoints.by_id);
	g_hash_table_destroy(t->s.endpoints.by_tag);
}

static void
strongest_instances_watch_for_their_domain(void)
{
	fixture_t t;
	store_watch_t f = { .s = &t.s, .kind = KIND_CONFIG };

	set_up(&t, PER_DOMAIN);
	g_assert_true(store_watch_is_relayed(&f));
	f.kind = KIND_ENDPOINTS;
	g_assert_true(store_watch_is_relayed(&f));
	/* "d0-0" and "d0-1" watch; the weak ones rank after them by name. */
	g_assert_cmpint(watchers_ranked_before(&t.s), ==, 7);
	g_strlcpy(t.s.conf.instance, "d0-2", sizeof(t.s.conf.instance));
	g_assert_cmpint(watchers_ranked_before(&t.s), ==, 2);
	/* Watchers of another domain may be unreachable with it. */
	g_strlcpy(t.s.conf.domain, "d9", sizeof(t.s.conf.domain));
	g_assert_false(store_watch_is_relayed(&f));
	tear_down(&t);
}

/* Guards against relying on instances that don't say that they watch. */
static void
uncovered_instance_watches_itself(void)
{
	fixture_t t;
	store_watch_t f = { .s = &t.s, .kind = KIND_CONFIG };

	set_up(&t, PER_DOMAIN);
	t.s.endpoints_watch.coverage.at = 0;
	g_assert_false(store_watch_is_relayed(&f));
	f.kind = KIND_ENDPOINTS;
	g_assert_false(store_watch_is_relayed(&f));
	tear_down(&t);
}

/* Watchers lose the store: the next ones replace them. */
static void
watcher_without_store_is_replaced(void)
{
	fixture_t t;
	store_watch_t f = { .s = &t.s, .kind = KIND_CONFIG };

	set_up(&t, PER_DOMAIN);
	g_strlcpy(t.s.conf.instance, "d0-2", sizeof(t.s.conf.instance));
	g_assert_true(store_watch_is_relayed(&f));
	find_peer(&t, "d0-0")->lost_store = true;
	g_assert_false(store_watch_is_relayed(&f));
	find_peer(&t, "d0-0")->lost_store = false;
	find_peer(&t, "d0-1")->last_heard_at = 0;
	g_assert_false(store_watch_is_relayed(&f));
	tear_down(&t);
}

/*
 * After a broken watch, each of many instances watches for fresh answers once
 * only: if all did so for seconds, they would be charged for every answer.
 */
static void
broken_watch_makes_each_instance_watch_once(void)
{
	fixture_t t;
	store_watch_t f = { .s = &t.s, .kind = KIND_ENDPOINTS };

	set_up(&t, PER_DOMAIN);
	t.s.watch_broken_at = t.s.loop.now;
	g_assert_false(store_watch_is_relayed(&f));
	f.fresh_watch_at = t.s.loop.now;
	g_assert_true(store_watch_is_relayed(&f));
	tear_down(&t);
}

static void
few_instances_all_watch_the_configuration(void)
{
	fixture_t t;
	store_watch_t f = { .s = &t.s, .kind = KIND_CONFIG };

	set_up(&t, 3);
	g_assert_cmpint(t.s.peers.npeer, <, DOMAIN_RELAY_MIN_PEERS);
	g_assert_false(store_watch_is_relayed(&f));
	tear_down(&t);
}

/* A digest with a single endpoint in its lists. */
typedef struct sample {
	uint32_t tag, prefill_tokens, running, kv_units, sent_tokens;
	Digest__Digest d;
} sample_t;

static const Digest__Digest *
digest(sample_t *o, uint32_t incarnation, uint32_t sequence)
{
	digest__digest__init(&o->d);
	o->d.incarnation = incarnation;
	o->d.sequence = sequence;
	o->d.n_endpoint = o->d.n_prefill_tokens = o->d.n_running =
	    o->d.n_kv_units = o->d.n_sent_tokens = 1;
	o->d.endpoint = &o->tag;
	o->d.prefill_tokens = &o->prefill_tokens;
	o->d.running = &o->running;
	o->d.kv_units = &o->kv_units;
	o->d.sent_tokens = &o->sent_tokens;
	return &o->d;
}

static const Digest__Digest *
sum(sample_t *o, const char *domain, uint32_t incarnation, uint32_t sequence)
{
	digest(o, incarnation, sequence);
	o->d.sum_domain = domain_hash(domain);
	return &o->d;
}

static void
each_domain_s_sum_counts_once(void)
{
	fixture_t t;
	sample_t o = {
		.tag = 77, .prefill_tokens = 900, .running = 4, .kv_units = 10
	};

	set_up(&t, PER_DOMAIN);
	domain_sum_apply(&t.s, sum(&o, "d1", 5, 1));
	domain_sum_apply(&t.s, sum(&o, "d2", 6, 1));
	g_assert_cmpint(t.ep.workload.others.running, ==, 8);
	g_assert_cmpint(t.ep.workload.others.prefill_tokens, ==, 1800);
	g_assert_cmpint(
	    t.ep.workload.others.kv_tokens, ==, 2 * 10 * KV_UNIT_TOKENS);
	/* A later digest, and an earlier one that arrives after it. */
	o.running = 1;
	domain_sum_apply(&t.s, sum(&o, "d1", 5, 9));
	o.running = 30;
	domain_sum_apply(&t.s, sum(&o, "d1", 5, 8));
	g_assert_cmpint(t.ep.workload.others.running, ==, 5);
	/* The sum of the own domain is ignored: its instances send their
	 * shares. */
	domain_sum_apply(&t.s, sum(&o, "d0", 7, 1));
	g_assert_cmpint(t.ep.workload.others.running, ==, 5);
	tear_down(&t);
}

static void
new_relay_replaces_the_previous_one(void)
{
	fixture_t t;
	sample_t o = { .tag = 77, .running = 4, .sent_tokens = 1000 };

	set_up(&t, PER_DOMAIN);
	domain_sum_apply(&t.s, sum(&o, "d1", 5, 100));
	o.running = 3;
	o.sent_tokens = 900000;
	domain_sum_apply(&t.s, sum(&o, "d1", 8, 1));
	g_assert_cmpint(t.ep.workload.others.running, ==, 3);
	/* A new process's first total isn't taken as prompts just sent. */
	g_assert_cmpint(t.ep.workload.others.prefill_tokens, ==, 0);
	tear_down(&t);
}

static void
silent_domain_s_sum_expires(void)
{
	fixture_t t;
	sample_t o = { .tag = 77, .running = 4 };

	set_up(&t, PER_DOMAIN);
	domain_sum_apply(&t.s, sum(&o, "d1", 5, 1));
	t.s.loop.now += 3000;
	domain_sums_expire(&t.s);
	g_assert_cmpint(t.ep.workload.others.running, ==, 4);
	t.s.loop.now += 2000;
	domain_sums_expire(&t.s);
	g_assert_cmpint(t.ep.workload.others.running, ==, 0);
	tear_down(&t);
}

/* The relay adds up live instances of its own domain only. */
static void
sum_covers_the_own_domain_only(void)
{
	fixture_t t;
	workload_share_t got;
	sample_t o = { .tag = 77, .running = 2, .sent_tokens = 10 };

	set_up(&t, PER_DOMAIN);
	t.ep.workload.own.running = 1;
	shares_apply(&t.s, find_peer(&t, "d0-1"), digest(&o, 1, 1));
	o.sent_tokens = 510;
	shares_apply(&t.s, find_peer(&t, "d0-1"), digest(&o, 1, 2));
	shares_apply(&t.s, find_peer(&t, "d0-3"), digest(&o, 2, 1));
	shares_apply(&t.s, find_peer(&t, "d1-0"), digest(&o, 3, 1));
	domain_sum_own(&t.s, &t.ep, &got);
	g_assert_cmpint(got.running, ==, 5);
	g_assert_cmpint(t.ep.domain_sent_tokens, ==, 500);
	find_peer(&t, "d0-3")->last_heard_at = 0;
	domain_sum_own(&t.s, &t.ep, &got);
	g_assert_cmpint(got.running, ==, 3);
	tear_down(&t);
}

static void
strongest_live_instance_is_the_relay(void)
{
	fixture_t t;

	set_up(&t, PER_DOMAIN);
	g_assert_cmpstr(domain_relay(&t.s, "d1")->instance, ==, "d1-0");
	g_assert_false(is_domain_relay(&t.s));
	find_peer(&t, "d1-0")->leaving = true;
	g_assert_cmpstr(domain_relay(&t.s, "d1")->instance, ==, "d1-1");
	t.s.conf.cpu_share = 1;
	g_assert_true(is_domain_relay(&t.s));
	t.s.leaving = true;
	g_assert_false(is_domain_relay(&t.s));
	tear_down(&t);
}

#define T(name) g_test_add_func("/shares/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(strongest_instances_watch_for_their_domain);
	T(uncovered_instance_watches_itself);
	T(watcher_without_store_is_replaced);
	T(broken_watch_makes_each_instance_watch_once);
	T(few_instances_all_watch_the_configuration);
	T(each_domain_s_sum_counts_once);
	T(new_relay_replaces_the_previous_one);
	T(silent_domain_s_sum_expires);
	T(sum_covers_the_own_domain_only);
	T(strongest_live_instance_is_the_relay);
	return g_test_run();
}
