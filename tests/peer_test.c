/*
 * Frames from the network, the division of workers into shards, and membership
 * merged from lists and records that arrive late or out of order.
 */
#include "peer/broker.h"
#include "tests/peers.h"

#include <stdlib.h>
#include <string.h>
#include <glib.h>

enum {
	FRAME_MAX_BYTES = 65536,
	SEED = 20260731,
	ROUNDS = 20000,
};

/* Frames */

static Wire__Frame *
sample_frame(void)
{
	static Wire__Frame f;
	static Wire__SlotRequest req;

	wire__frame__init(&f);
	wire__slot_request__init(&req);
	req.request = "r-1";
	req.model = "m1";
	req.remaining_ms = 1500;
	f.version = WIRE_VERSION;
	f.call = 77;
	f.body_case = WIRE__FRAME__BODY_SLOT_REQUEST;
	f.slot_request = &req;
	return &f;
}

typedef enum verdict {
	FRAME_COMPLETE,
	FRAME_INCOMPLETE,
	FRAME_INVALID
} verdict_t;

static verdict_t
unpack(const uint8_t *buf, size_t len)
{
	err_t e = { ERR_NONE, "" };
	size_t used = 0;
	Wire__Frame *f = frame_unpack(buf, len, FRAME_MAX_BYTES, &used, &e);

	if (f == NULL) {
		g_assert_cmpuint(used, ==, 0);
		return e.code == ERR_NONE ? FRAME_INCOMPLETE : FRAME_INVALID;
	}
	g_assert_cmpuint(used, <=, len);
	wire__frame__free_unpacked(f, NULL);
	return FRAME_COMPLETE;
}

static void
frames_table(void)
{
	static const struct {
		const char *what, *bytes;
		size_t len;
		verdict_t verdict;
	} rows[] = {
		{ "nothing", "", 0, FRAME_INCOMPLETE },
		{ "half a length", "\0\0", 2, FRAME_INCOMPLETE },
		{ "truncated", "\0\0\0\5\10\1", 6, FRAME_INCOMPLETE },
		{ "zero length", "\0\0\0\0", 4, FRAME_INVALID },
		{ "oversized", "\1\0\0\0", 4, FRAME_INVALID },
		{ "length all ones", "\377\377\377\377", 4, FRAME_INVALID },
		{ "garbage", "\0\0\0\3\377\377\377", 7, FRAME_INVALID },
		{ "version missing", "\0\0\0\2\20\1", 6, FRAME_INVALID },
		{ "version 2", "\0\0\0\2\10\2", 6, FRAME_INVALID },
		{ "version 1, no body", "\0\0\0\2\10\1", 6, FRAME_COMPLETE },
		{ "unknown field 500", "\0\0\0\5\10\1\240\37\7", 9,
		    FRAME_COMPLETE },
		{ "body cut inside", "\0\0\0\4\10\1\202\1", 8, FRAME_INVALID },
		{ "HTTP", "GET / HTTP/1.1\r\n\r\n", 18, FRAME_INVALID },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		g_test_message("%s", rows[i].what);
		g_assert_cmpint(
		    unpack((const uint8_t *)rows[i].bytes, rows[i].len), ==,
		    rows[i].verdict);
	}
}

static void
prefixes_are_incomplete(void)
{
	uint8_t buf[256];
	size_t n = frame_pack(sample_frame(), buf), i;

	g_assert_cmpuint(n, ==, frame_size(sample_frame()));
	for (i = 0; i < n; i++)
		g_assert_cmpint(unpack(buf, i), ==, FRAME_INCOMPLETE);
	g_assert_cmpint(unpack(buf, n), ==, FRAME_COMPLETE);
}

static void
flipped_bits(void)
{
	uint8_t clean[256], buf[256];
	size_t n = frame_pack(sample_frame(), clean);
	rng_t rng = { SEED };
	int i, j, flips;

	for (i = 0; i < ROUNDS; i++) {
		memcpy(buf, clean, n);
		flips = 1 + (int)(rng_next(&rng) % 4);
		for (j = 0; j < flips; j++)
			buf[rng_next(&rng) % n] ^= 1 << (rng_next(&rng) % 8);
		unpack(buf, n);
		unpack(buf, rng_next(&rng) % (n + 1));
	}
}

/* Shards */

static Wire__Worker *
make_worker(int i)
{
	Wire__Worker *w = calloc(1, sizeof(*w));

	wire__worker__init(w);
	w->id = g_strdup_printf("w%d", i);
	w->service = g_strdup("llm");
	w->domain = g_strdup_printf("d%d", i % 3);
	return w;
}

static Wire__Member *
make_member(int i)
{
	Wire__Member *m = calloc(1, sizeof(*m));

	wire__member__init(m);
	m->id = g_strdup_printf("e%d", i);
	m->domain = g_strdup_printf("d%d", i % 3);
	m->incarnation = 1;
	return m;
}

/* @param skip number of the worker to leave out, or -1 */
static view_t *
make_view(int nworker, int skip, int nmember)
{
	catalogue_t *c = catalogue_new();
	Wire__View *v = calloc(1, sizeof(*v));
	view_t *made;
	int i;

	wire__view__init(v);
	v->worker = calloc(nworker + 1, sizeof(void *));
	v->member = calloc(nmember + 1, sizeof(void *));
	for (i = 0; i < nworker; i++)
		if (i != skip)
			v->worker[v->n_worker++] = make_worker(i);
	for (i = 0; i < nmember; i++)
		v->member[v->n_member++] = make_member(i);
	made = view_new(v, c, 8, 0);
	catalogue_unref(c);
	return made;
}

static uint32_t
shard_of(const view_t *v, const char *id)
{
	int i, j;

	for (i = 0; i < v->nshard; i++)
		for (j = 0; j < v->shard[i].n; j++)
			if (strcmp(v->wire->worker[v->shard[i].first + j]->id,
				id) == 0)
				return v->shard[i].index;
	return UINT32_MAX;
}

static void
shards_partition_workers(void)
{
	static const int sizes[] = { 0, 1, 7, 24, 25, 100, 1000 };
	size_t i;
	int j, total;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		view_t *v = make_view(sizes[i], -1, 6);

		for (j = 0, total = 0; j < v->nshard; j++) {
			const shard_t *s = &v->shard[j];

			g_assert_cmpint(s->first, ==, total);
			g_assert_cmpint(s->n, >, 0);
			g_assert_cmpint(s->n, <=, 8);
			total += s->n;
			/* the broker is of the shard's domain */
			g_assert_cmpstr(
			    view_member(v, s->broker)->domain, ==, s->domain);
			g_assert_cmpstr(
			    view_broker(v, s, 0)->id, ==, s->broker);
		}
		g_assert_cmpint(total, ==, sizes[i]);
		view_unref(v);
	}
}

static void
worker_removal_moves_few(void)
{
	enum {
		N = 300
	};
	view_t *all = make_view(N, -1, 6);
	int skip, i, moved = 0;

	for (skip = 0; skip < N; skip += 30) {
		view_t *less = make_view(N, skip, 6);

		for (i = 0; i < N; i++) {
			const char *id = all->wire->worker[i]->id;

			moved += shard_of(less, id) != UINT32_MAX &&
				 shard_of(less, id) != shard_of(all, id);
		}
		view_unref(less);
	}
	/*
	 * On average a removal moves fewer than 8 workers, the size of a shard,
	 * of the 100 in its domain.
	 */
	g_assert_cmpint(moved, <, 8 * N / 30);
	view_unref(all);
}

static void
broker_of_other_domain(void)
{
	view_t *v = make_view(9, -1, 1);
	int i;

	for (i = 0; i < v->nshard; i++) {
		g_assert_cmpstr(v->shard[i].broker, ==, "e0");
		g_assert_null(view_broker(v, &v->shard[i], 1));
	}
	view_unref(v);
	v = make_view(9, -1, 0);
	g_assert_cmpstr(v->shard[0].broker, ==, "");
	g_assert_null(view_claim_owner(v, "claims/1", 0));
	view_unref(v);
}

/* Membership */

static void
newer_records_win(void)
{
	static const struct {
		const char *what;
		uint64_t incarnation, seq;
		bool gone, leaving;
		bool live, is_leaving; /* expected */
	} rows[] = {
		{ "first record", 5, 1, false, false, true, false },
		{ "older incarnation says gone", 4, 9, true, false, true,
		    false },
		{ "leaving", 5, 2, false, true, true, true },
		{ "an older record", 5, 1, false, false, true, true },
		{ "a newer record without leaving", 5, 3, false, false, true,
		    true },
		{ "gone, same seq", 5, 3, true, false, false, true },
		{ "live, same seq", 5, 3, false, false, false, true },
		{ "live, higher seq", 5, 4, false, false, true, true },
		{ "gone, lower seq", 5, 3, true, false, true, true },
		{ "restarted", 6, 1, false, false, true, false },
		{ "no incarnation", 0, 99, true, false, true, false },
	};
	msclock_t clock = { CLOCK_FAKE, 1000 };
	store_t *s = store_new(&clock, 8);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		Wire__Member m = WIRE__MEMBER__INIT;
		member_t *r;

		g_test_message("%s", rows[i].what);
		m.id = "e1";
		m.domain = "d0";
		m.incarnation = rows[i].incarnation;
		m.seq = rows[i].seq;
		m.gone = rows[i].gone;
		m.leaving = rows[i].leaving;
		store_merge_member(s, &m);
		r = store_find_member(s, "e1");
		g_assert_cmpint(member_live(r), ==, rows[i].live);
		g_assert_cmpint(member_leaving(r), ==, rows[i].is_leaving);
	}
	store_free(s);
}

/*
 * Two members lost contact to a third at different times. The record of the
 * first to notice is older than what the second has; the second may not take
 * the third for live without a probe.
 */
static void
late_gone_record_raises_suspicion(void)
{
	msclock_t clock = { CLOCK_FAKE, 1000 };
	store_t *s = store_new(&clock, 8);
	Wire__Member m = WIRE__MEMBER__INIT;
	member_t *r;

	m.id = "e1";
	m.domain = "d0";
	m.incarnation = 5;
	m.seq = 10;
	r = store_merge_member(s, &m);
	m.seq = 8;
	m.gone = true;
	store_merge_member(s, &m);
	g_assert_true(member_live(r));
	g_assert_true(r->suspect);
	store_mark_gone(s, r);
	g_assert_false(r->suspect);
	store_free(s);
}

static void
apply_entry_list(store_t *s, const char *id, bool on, bool leaving)
{
	instance_t i = { .role = ROLE_ENTRY, .leaving = leaving };
	instances_t l = { &i, on ? 1 : 0 };

	str_set(i.id, ID_MAX, id);
	str_set(i.domain, ID_MAX, "d0");
	str_set(i.peer_addr, ADDR_MAX, "127.0.0.1:1");
	store_apply_list(s, &l);
}

static void
merge_record(store_t *s, uint64_t incarnation, uint64_t seq)
{
	Wire__Member m = WIRE__MEMBER__INIT;

	m.id = "e1";
	m.domain = "d0";
	m.incarnation = incarnation;
	m.seq = seq;
	store_merge_member(s, &m);
}

static void
list_and_heartbeats(void)
{
	msclock_t clock = { CLOCK_FAKE, 1000 };
	store_t *s = store_new(&clock, 8);
	view_t *v;
	catalogue_t *c = catalogue_new();

	/* listed but never heard: not live */
	apply_entry_list(s, "e1", true, false);
	g_assert_false(member_live(store_find_member(s, "e1")));
	v = store_make_view(s, c);
	g_assert_cmpuint(v->wire->n_member, ==, 0);
	view_unref(v);
	/* heard: live, also when the list doesn't have it */
	merge_record(s, 3, 1);
	apply_entry_list(s, "e2", true, false);
	g_assert_true(member_live(store_find_member(s, "e1")));
	/* the list, which may lag, says leaving: true until it restarts */
	apply_entry_list(s, "e1", true, true);
	g_assert_true(member_leaving(store_find_member(s, "e1")));
	merge_record(s, 3, 2);
	g_assert_true(member_leaving(store_find_member(s, "e1")));
	merge_record(s, 4, 1);
	apply_entry_list(s, "e1", true, true);
	g_assert_false(member_leaving(store_find_member(s, "e1")));
	/* gone and unlisted for a minute: its record expires */
	apply_entry_list(s, "e1", false, false);
	store_mark_gone(s, store_find_member(s, "e1"));
	clock.fake_now += 61000;
	store_purge(s);
	g_assert_null(store_find_member(s, "e1"));
	catalogue_unref(c);
	store_free(s);
}

static void
list_workers(store_t *s, const char *ids)
{
	instance_t w[8] = { 0 };
	instances_t l = { w, 0 };

	for (; *ids != '\0'; ids++) {
		instance_t *i = &w[l.n++];

		i->role = ROLE_WORKER;
		g_snprintf(i->id, ID_MAX, "w%c", *ids);
		str_set(i->service, ID_MAX, "web");
		str_set(i->domain, ID_MAX, "d0");
		str_set(i->addr, ADDR_MAX, "127.0.0.1:1");
	}
	store_apply_list(s, &l);
}

static char *
worker_ids(store_t *s)
{
	GString *g = g_string_new(NULL);
	int i;

	store_update_shards(s);
	for (i = 0; i < s->nworker; i++)
		g_string_append(g, s->sorted_workers[i]->id + 1);
	return g_string_free(g, FALSE);
}

static void
expect_workers(store_t *s, const char *ids)
{
	char *got = worker_ids(s);

	g_assert_cmpstr(got, ==, ids);
	g_free(got);
}

static void
stale_lists_restore_nothing(void)
{
	msclock_t clock = { CLOCK_FAKE, 1000 };
	store_t *s = store_new(&clock, 8);
	Wire__Worker w = WIRE__WORKER__INIT;

	list_workers(s, "ab");
	expect_workers(s, "ab");
	/* a peer's newer list has c; our older one doesn't remove it */
	w.id = "wc";
	w.service = "web";
	w.domain = "d0";
	w.stamp = (uint64_t)clock_wall() + 60000;
	store_merge_worker(s, &w);
	list_workers(s, "ab");
	expect_workers(s, "abc");
	/* it is removed after 10 s of lists without it */
	clock.fake_now += 5000;
	list_workers(s, "ab");
	expect_workers(s, "abc");
	clock.fake_now += 10000;
	list_workers(s, "ab");
	expect_workers(s, "ab");
	/* one that leaves our list is removed at once; an older record of
	 * it changes nothing */
	list_workers(s, "b");
	expect_workers(s, "b");
	w.id = "wa";
	w.stamp = 1;
	store_merge_worker(s, &w);
	expect_workers(s, "b");
	store_free(s);
}

/* Guards against a view that grows old because making one took long once. */
static void
views_are_renewed(void)
{
	g_assert_cmpint(view_interval(0), ==, 0);
	g_assert_cmpint(view_interval(2), ==, 2 * VIEW_INTERVAL_FACTOR);
	g_assert_cmpint(view_interval(200), ==, VIEW_INTERVAL_MAX_MS);
}

/* Threads of nodes and a client in one process, mainly for TSan. */

static void
nodes_and_a_client(void)
{
	peers_t *p = peers_new(4, 2, NULL);
	test_client_t *a;
	int i;

	log_level(LOG_WARNING);
	for (i = 0; i < p->n; i++)
		peers_start(p, i, true);
	g_assert_true(peers_wait_all_see(p, 10000));
	a = test_client_new(p, 1);
	g_assert_true(test_client_wait_sees(a, 4, 10000));
	node_leave(p->node[0]);
	g_assert_true(test_client_wait_sees(a, 3, 10000));
	test_client_free(a);
	peers_free(p);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/peer/frames", frames_table);
	g_test_add_func("/peer/prefixes", prefixes_are_incomplete);
	g_test_add_func("/peer/flipped-bits", flipped_bits);
	g_test_add_func("/peer/shards", shards_partition_workers);
	g_test_add_func("/peer/worker-removal", worker_removal_moves_few);
	g_test_add_func("/peer/broker-of-other-domain", broker_of_other_domain);
	g_test_add_func("/peer/newer-records-win", newer_records_win);
	g_test_add_func("/peer/suspect", late_gone_record_raises_suspicion);
	g_test_add_func("/peer/list-and-heartbeats", list_and_heartbeats);
	g_test_add_func("/peer/stale-lists", stale_lists_restore_nothing);
	g_test_add_func("/peer/view-interval", views_are_renewed);
	g_test_add_func("/peer/nodes-and-a-client", nodes_and_a_client);
	return g_test_run();
}
