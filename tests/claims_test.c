/*
 * Claims in one process: several owners of the same buckets on a store that
 * loses, delays and reorders, driven by a seed. Where a call to the store
 * would wait, other owners go on: that is an owner frozen in mid-commit.
 */
#include "store/bucket.h"

#include <stdlib.h>
#include <string.h>
#include <glib.h>

enum {
	OWNERS = 4,
	KEYS = 120,
	WINDOW = 8,  /* keys in use at a time */
	RECENT = 24, /* requests that something may happen to */
	BUCKETS = 6,
	REQUESTS = 4000,
	STEPS = 9000,
	NEST_MAX = 3,
	LATE_MAX = 16,
	SEEDS = 24,
	TIMEOUT_MS = 10000,
	GATHER_MOST_MS = 250, /* claims wait that long for company */
};

typedef struct version {
	char *value;
	size_t len;
	uint64_t version;
} version_t;

typedef struct late {
	int bucket;
	uint64_t expect;
	char *value;
	size_t len;
} late_t;

typedef enum call_state {
	CALL_WAITING,
	CALL_RUNNING,
	CALL_OVER
} call_state_t;

/* What an entry does for one request. */
typedef struct request {
	int key;
	int tries;
	call_state_t state;
} request_t;

typedef struct world {
	settings_t s;
	msclock_t clock;
	rng_t rng;
	bool conditional; /* the store checks versions */
	bool timeouts;	  /* entries stop waiting and ask elsewhere */
	bool calm;	  /* no more faults */
	uint64_t version;
	version_t now[BUCKETS + 1],
	    before[BUCKETS + 1]; /* last: their number */
	late_t late[LATE_MAX];
	int nlate;
	claims_t *owner[OWNERS];
	bool inside[OWNERS];
	int nest;
	request_t request[REQUESTS];
	int nrequest;
	int holder[KEYS]; /* request that has run or may, or -1 */
	bool done[KEYS];  /* its outcome was handed in */
	claim_outcome_t last;
	int fresh, doubled, crossed, told[CLAIM_NOT_OWNER + 1];
} world_t;

static bool
chance(world_t *w, int percent)
{
	return (int)(rng_next(&w->rng) % 100) < percent;
}

static int
pick(world_t *w, int n)
{
	return (int)(rng_next(&w->rng) % (uint64_t)n);
}

static void
step(world_t *w, int owner)
{
	if (w->inside[owner])
		return;
	w->inside[owner] = true;
	claims_step(w->owner[owner], 0);
	w->inside[owner] = false;
}

static void go_on(world_t *w);

/* While one owner waits for the store, entries and other owners go on. */
static void
others_go_on(world_t *w)
{
	if (w->calm || w->nest >= NEST_MAX)
		return;
	w->nest++;
	while (chance(w, 50)) {
		go_on(w);
		step(w, pick(w, OWNERS));
	}
	w->nest--;
}

static bool
store(world_t *w, int b, const char *value, size_t len, uint64_t expect)
{
	if (w->conditional && expect != w->now[b].version)
		return false;
	free(w->before[b].value);
	w->before[b] = w->now[b];
	w->now[b].value = g_memdup2(value, len + 1);
	w->now[b].len = len;
	w->now[b].version = ++w->version;
	return true;
}

static void
land_late(world_t *w)
{
	late_t l;

	if (w->nlate == 0)
		return;
	l = w->late[--w->nlate];
	store(w, l.bucket, l.value, l.len, l.expect);
	free(l.value);
}

static int
index_of(const char *key)
{
	return strcmp(key, "claims/buckets") == 0
		   ? BUCKETS
		   : atoi(key + strlen("claims/"));
}

static int
fake_get(void *user, const char *key, object_t *out, err_t *e)
{
	world_t *w = user;
	int b = index_of(key);
	const version_t *v = &w->now[b];

	others_go_on(w);
	if (!w->calm && chance(w, 4))
		return err_set(e, ERR_DOWN, "down");
	if (!w->calm && chance(w, 6))
		return err_set(e, ERR_UNKNOWN, "lost");
	if (!w->calm && chance(w, 10))
		v = &w->before[b];
	if (v->version == 0)
		return err_set(e, ERR_NOT_FOUND, "none");
	out->key = strdup(key);
	out->value = g_memdup2(v->value, v->len + 1);
	out->len = v->len;
	out->version = v->version;
	others_go_on(w);
	return 0;
}

static int
fake_put(void *user, const char *key, const char *value, size_t len,
    uint64_t expect, uint64_t *version, err_t *e)
{
	world_t *w = user;
	int b = index_of(key);

	others_go_on(w);
	if (!w->calm && chance(w, 4))
		return err_set(e, ERR_DOWN, "down");
	if (!w->calm && chance(w, 4))
		return err_set(e, ERR_FULL, "rate");
	if (!w->calm && chance(w, 4))
		return err_set(e, ERR_UNKNOWN, "request lost");
	if (!w->calm && w->nlate < LATE_MAX && chance(w, 5)) {
		w->late[w->nlate++] =
		    (late_t){ b, expect, g_memdup2(value, len + 1), len };
		return err_set(e, ERR_UNKNOWN, "late");
	}
	if (!store(w, b, value, len, expect))
		return err_set(e, ERR_CONFLICT, "moved");
	*version = w->version;
	others_go_on(w);
	if (!w->calm && chance(w, 8))
		return err_set(e, ERR_UNKNOWN, "reply lost");
	return 0;
}

static void
name_of(char *buf, size_t size, const char *what, int n)
{
	snprintf(buf, size, "%s%d", what, n);
}

static void
settle(world_t *w, int n, call_outcome_t how)
{
	claim_settle_t s = { .service = "shop", .outcome = how, .status = 200 };

	name_of(s.key, sizeof(s.key), "key", w->request[n].key);
	name_of(s.request, sizeof(s.request), "req", n);
	if (how == CALL_DONE) {
		s.reply = strdup(s.request);
		s.len = strlen(s.reply);
	}
	if (!claims_settle(w->owner[pick(w, OWNERS)], 0, &s))
		free(s.reply);
}

static void
check_done(world_t *w, int key, const claim_answer_t *a)
{
	char want[ID_MAX];

	name_of(want, sizeof(want), "req", w->holder[key]);
	if (w->holder[key] == -1 || !w->done[key] || a->len != strlen(want) ||
	    memcmp(a->reply, want, a->len) != 0)
		w->crossed++;
}

static void
answered(void *user, uint64_t tag, const claim_answer_t *a)
{
	world_t *w = user;
	int n = (int)(tag >> 8);
	request_t *r = &w->request[n];

	w->told[a->outcome]++;
	/* An entry takes the answer to its last ask only, and only once. */
	if (r->state == CALL_WAITING && r->tries == (int)(tag & 255)) {
		w->last = a->outcome;
		r->state = CALL_OVER;
		if (a->outcome == CLAIM_FRESH) {
			r->state = CALL_RUNNING;
			w->fresh++;
			if (w->holder[r->key] != -1)
				w->doubled++;
			w->holder[r->key] = n;
			w->done[r->key] = false;
		} else if (a->outcome == CLAIM_DONE) {
			check_done(w, r->key, a);
		}
	}
	free(a->reply);
}

static void
ask(world_t *w, int n, int owner)
{
	claim_ask_t q = { .service = "shop", .body_hash = 7 };
	request_t *r = &w->request[n];

	name_of(q.key, sizeof(q.key), "key", r->key);
	name_of(q.request, sizeof(q.request), "req", n);
	r->tries++;
	claims_ask(w->owner[owner], (uint64_t)n << 8 | (uint64_t)r->tries, &q);
}

static int
new_request(world_t *w, int key)
{
	request_t *r = &w->request[w->nrequest];

	*r = (request_t){ .key = key };
	return w->nrequest++;
}

/* Something happens to a request under way. */
static void
go_on(world_t *w)
{
	int n = w->nrequest - 1 - pick(w, MIN(w->nrequest, RECENT) + 1);
	request_t *r = &w->request[n < 0 ? 0 : n];

	if (n < 0)
		return;
	if (r->state == CALL_WAITING && w->timeouts) {
		if (r->tries < 3) {
			ask(w, n, pick(w, OWNERS));
		} else {
			r->state = CALL_OVER;
			settle(w, n, CALL_REFUSED);
		}
	} else if (r->state == CALL_RUNNING) {
		r->state = CALL_OVER;
		if (chance(w, 40)) {
			/* It was not run after all. */
			w->holder[r->key] = -1;
			settle(w, n, CALL_REFUSED);
		} else if (chance(w, 70)) {
			w->done[r->key] = true;
			settle(w, n, CALL_DONE);
			if (chance(w, 30))
				settle(w, n, CALL_DONE);
		}
	}
}

static void
open_world(world_t *w, uint64_t seed)
{
	claims_store_t store_of = { fake_get, fake_put, w };
	claims_opts_t o = { .settings = &w->s,
		.clock = &w->clock,
		.done = answered,
		.user = w,
		.store = &store_of,
		.stepped = true };
	int i;

	settings_init(&w->s);
	w->s.nservice = 1;
	str_copy(w->s.service[0].name, ID_MAX, "shop");
	w->s.service[0].timeout_ms = TIMEOUT_MS;
	w->s.claims.buckets = BUCKETS;
	w->s.claims.commit_ms = w->s.claims.settle_ms = 0;
	w->clock = (msclock_t){ CLOCK_FAKE, 1000 };
	w->rng.s = seed;
	for (i = 0; i < OWNERS; i++) {
		o.seed = seed * OWNERS + i + 1;
		g_assert_nonnull(w->owner[i] = claims_new(&o, NULL));
	}
	for (i = 0; i < KEYS; i++)
		w->holder[i] = -1;
}

static void
close_world(world_t *w)
{
	int i;

	for (i = 0; i < OWNERS; i++)
		claims_free(w->owner[i]);
	for (i = 0; i <= BUCKETS; i++) {
		free(w->now[i].value);
		free(w->before[i].value);
	}
	while (w->nlate > 0)
		free(w->late[--w->nlate].value);
	free(w);
}

static void
run_world(world_t *w)
{
	int i, n;

	for (i = 0; i < STEPS; i++) {
		if (chance(w, 20) && w->nrequest < REQUESTS / 2) {
			n = new_request(
			    w, i * (KEYS - WINDOW) / STEPS + pick(w, WINDOW));
			ask(w, n, pick(w, OWNERS));
		}
		if (chance(w, 30))
			go_on(w);
		if (chance(w, 10))
			land_late(w);
		if (chance(w, 60))
			step(w, pick(w, OWNERS));
		w->clock.fake_now += pick(w, 40);
	}
}

static void
settle_down(world_t *w)
{
	int i, o;

	w->calm = true;
	for (i = 0; i < 30; i++) {
		w->clock.fake_now += 300;
		for (o = 0; o < OWNERS; o++)
			step(w, o);
	}
	while (w->nlate > 0)
		land_late(w);
}

static world_t *
world(uint64_t seed, bool conditional, bool timeouts)
{
	world_t *w = calloc(1, sizeof(*w));

	w->conditional = conditional;
	w->timeouts = timeouts;
	open_world(w, seed);
	run_world(w);
	settle_down(w);
	return w;
}

/* In the end each key tells what became of it, at each owner. */
static void
check_end(world_t *w)
{
	int key, owner;

	for (key = 0; key < KEYS; key++) {
		for (owner = 0; owner < OWNERS; owner++) {
			int n = new_request(w, key);

			ask(w, n, owner);
			step(w, owner);
			w->clock.fake_now += GATHER_MOST_MS;
			step(w, owner);
			g_assert_cmpint(w->request[n].state, !=, CALL_WAITING);
			if (w->holder[key] == -1 ||
			    w->request[n].state == CALL_RUNNING) {
				/* A claim of one that was told 'not run' is
				 * given up, so that a retry runs. */
				g_assert_cmpint(w->last, ==, CLAIM_FRESH);
				w->holder[key] = -1;
				settle(w, n, CALL_REFUSED);
				settle_down(w);
			} else if (w->done[key]) {
				g_assert_cmpint(w->last, ==, CLAIM_DONE);
			} else {
				g_assert_true(w->last == CLAIM_UNKNOWN ||
					      w->last == CLAIM_RUNNING);
			}
		}
	}
}

static void
no_key_is_fresh_twice(void)
{
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		world_t *w = world(seed, true, seed % 2 == 0);

		g_assert_cmpint(w->fresh, >, KEYS / 2);
		g_assert_cmpint(w->told[CLAIM_DONE], >, 0);
		g_assert_cmpint(w->told[CLAIM_DOWN], >, 0);
		g_assert_cmpint(w->doubled, ==, 0);
		g_assert_cmpint(w->crossed, ==, 0);
		if (!w->timeouts)
			check_end(w);
		close_world(w);
	}
}

static void
the_check_finds_the_fault(void)
{
	int doubled = 0;
	uint64_t seed;

	for (seed = 1; seed <= SEEDS && doubled == 0; seed++) {
		world_t *w = world(seed, false, seed % 2 == 0);

		doubled += w->doubled;
		close_world(w);
	}
	g_assert_cmpint(doubled, >, 0);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_level(LOG_ERR);
	g_test_add_func("/claims/seeds", no_key_is_fresh_twice);
	g_test_add_func(
	    "/claims/seeds-unconditional", the_check_finds_the_fault);
	return g_test_run();
}
