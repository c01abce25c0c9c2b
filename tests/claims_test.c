/*
 * Two owners that grant the same key would run a call twice. Several owners of
 * the same buckets share a store that loses, delays and reorders requests; a
 * seed drives the simulation. During a call to the store other owners run, as
 * if the calling one were frozen in the middle of a commit.
 */
#include "store/bucket.h"

#include <stdlib.h>
#include <string.h>
#include <glib.h>

enum {
	OWNERS = 4,
	KEYS = 120,
	ACTIVE_KEYS = 8,      /* keys in use at a time */
	RECENT_REQUESTS = 24, /* only the newest requests change state */
	BUCKETS = 6,
	REQUESTS = 4000,
	STEPS = 9000,
	DEPTH_MAX = 3,
	LATE_MAX = 16,
	SEEDS = 24,
	TIMEOUT_MS = 10000,
	COMMIT_DELAY_MAX_MS = 250, /* longest delay of a commit */
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
	CALL_ENDED
} call_state_t;

/* One request at an entry. */
typedef struct request {
	int key;
	int tries;
	call_state_t state;
} request_t;

typedef struct simulation {
	settings_t s;
	msclock_t clock;
	rng_t rng;
	bool conditional; /* the store checks versions */
	bool retries;	  /* entries stop waiting and ask another owner */
	bool faults_off;  /* the store works */
	ms_t sent_after;  /* of the next claim request; 0: just now */
	uint64_t version;
	version_t now[BUCKETS + 1],
	    previous[BUCKETS + 1]; /* the last is the number of buckets */
	late_t late[LATE_MAX];
	int nlate;
	claims_t *owner[OWNERS];
	bool stepping[OWNERS];
	int depth;
	request_t request[REQUESTS];
	int nrequest;
	int holder[KEYS]; /* request that ran or may run, or -1 */
	bool done[KEYS];  /* its outcome was passed to an owner */
	claim_outcome_t last;
	int granted, granted_twice, wrong_reply, answers[CLAIM_NOT_OWNER + 1];
} simulation_t;

static bool
chance(simulation_t *w, int percent)
{
	return (int)(rng_next(&w->rng) % 100) < percent;
}

static int
random_below(simulation_t *w, int n)
{
	return (int)(rng_next(&w->rng) % (uint64_t)n);
}

static void
step_owner(simulation_t *w, int owner)
{
	if (w->stepping[owner])
		return;
	w->stepping[owner] = true;
	claims_step(w->owner[owner], 0);
	w->stepping[owner] = false;
}

static void advance_request(simulation_t *w);

/* Run entries and other owners while one owner waits for the store. */
static void
run_others(simulation_t *w)
{
	if (w->faults_off || w->depth >= DEPTH_MAX)
		return;
	w->depth++;
	while (chance(w, 50)) {
		advance_request(w);
		step_owner(w, random_below(w, OWNERS));
	}
	w->depth--;
}

static bool
store_value(
    simulation_t *w, int b, const char *value, size_t len, uint64_t expect)
{
	if (w->conditional && expect != w->now[b].version)
		return false;
	free(w->previous[b].value);
	w->previous[b] = w->now[b];
	w->now[b].value = g_memdup2(value, len + 1);
	w->now[b].len = len;
	w->now[b].version = ++w->version;
	return true;
}

static void
apply_late_write(simulation_t *w)
{
	late_t l;

	if (w->nlate == 0)
		return;
	l = w->late[--w->nlate];
	store_value(w, l.bucket, l.value, l.len, l.expect);
	free(l.value);
}

static int
bucket_index(const char *key)
{
	return strcmp(key, "claims/buckets") == 0
		   ? BUCKETS
		   : atoi(key + strlen("claims/"));
}

static int
fake_get(void *user, const char *key, object_t *out, err_t *e)
{
	simulation_t *w = user;
	int b = bucket_index(key);
	const version_t *v = &w->now[b];

	run_others(w);
	if (!w->faults_off && chance(w, 4))
		return err_set(e, ERR_DOWN, "down");
	if (!w->faults_off && chance(w, 6))
		return err_set(e, ERR_UNKNOWN, "lost");
	if (!w->faults_off && chance(w, 10))
		v = &w->previous[b];
	if (v->version == 0)
		return err_set(e, ERR_NOT_FOUND, "none");
	out->key = strdup(key);
	out->value = g_memdup2(v->value, v->len + 1);
	out->len = v->len;
	out->version = v->version;
	run_others(w);
	return 0;
}

static int
fake_put(void *user, const char *key, const char *value, size_t len,
    uint64_t expect, uint64_t *version, err_t *e)
{
	simulation_t *w = user;
	int b = bucket_index(key);

	run_others(w);
	if (!w->faults_off && chance(w, 4))
		return err_set(e, ERR_DOWN, "down");
	if (!w->faults_off && chance(w, 4))
		return err_set(e, ERR_FULL, "rate");
	if (!w->faults_off && chance(w, 4))
		return err_set(e, ERR_UNKNOWN, "request lost");
	if (!w->faults_off && w->nlate < LATE_MAX && chance(w, 5)) {
		w->late[w->nlate++] =
		    (late_t){ b, expect, g_memdup2(value, len + 1), len };
		return err_set(e, ERR_UNKNOWN, "late");
	}
	if (!store_value(w, b, value, len, expect))
		return err_set(e, ERR_CONFLICT, "moved");
	*version = w->version;
	run_others(w);
	if (!w->faults_off && chance(w, 8))
		return err_set(e, ERR_UNKNOWN, "reply lost");
	return 0;
}

static void
name_of(char *buf, size_t size, const char *what, int n)
{
	snprintf(buf, size, "%s%d", what, n);
}

static void
settle(simulation_t *w, int n, call_outcome_t how)
{
	claim_settle_t s = { .service = "shop", .outcome = how, .status = 200 };

	name_of(s.key, sizeof(s.key), "key", w->request[n].key);
	name_of(s.request, sizeof(s.request), "req", n);
	if (how == CALL_DONE) {
		s.reply = strdup(s.request);
		s.len = strlen(s.reply);
	}
	if (!claims_settle(w->owner[random_below(w, OWNERS)], 0, &s))
		free(s.reply);
}

static void
check_done(simulation_t *w, int key, const claim_answer_t *a)
{
	char want[ID_MAX];

	name_of(want, sizeof(want), "req", w->holder[key]);
	if (w->holder[key] == -1 || !w->done[key] || a->len != strlen(want) ||
	    memcmp(a->reply, want, a->len) != 0)
		w->wrong_reply++;
}

static void
answered(void *user, uint64_t tag, const claim_answer_t *a)
{
	simulation_t *w = user;
	int n = (int)(tag >> 8);
	request_t *r = &w->request[n];

	w->answers[a->outcome]++;
	/* An entry accepts only the answer to its last claim request, once. */
	if (r->state == CALL_WAITING && r->tries == (int)(tag & 255)) {
		w->last = a->outcome;
		r->state = CALL_ENDED;
		if (a->outcome == CLAIM_FRESH) {
			r->state = CALL_RUNNING;
			w->granted++;
			if (w->holder[r->key] != -1)
				w->granted_twice++;
			w->holder[r->key] = n;
			w->done[r->key] = false;
		} else if (a->outcome == CLAIM_DONE) {
			check_done(w, r->key, a);
		}
	}
	free(a->reply);
}

static void
request_claim(simulation_t *w, int n, int owner)
{
	claim_request_t q = {
		.service = "shop", .body_hash = 7, .sent_after = w->sent_after
	};
	request_t *r = &w->request[n];

	name_of(q.key, sizeof(q.key), "key", r->key);
	name_of(q.request, sizeof(q.request), "req", n);
	r->tries++;
	claims_request(
	    w->owner[owner], (uint64_t)n << 8 | (uint64_t)r->tries, &q);
}

static int
new_request(simulation_t *w, int key)
{
	request_t *r = &w->request[w->nrequest];

	*r = (request_t){ .key = key };
	return w->nrequest++;
}

/* Change the state of a recent request. */
static void
advance_request(simulation_t *w)
{
	int n = w->nrequest - 1 -
		random_below(w, MIN(w->nrequest, RECENT_REQUESTS) + 1);
	request_t *r = &w->request[n < 0 ? 0 : n];

	if (n < 0)
		return;
	if (r->state == CALL_WAITING && w->retries) {
		if (r->tries < 3) {
			request_claim(w, n, random_below(w, OWNERS));
		} else {
			r->state = CALL_ENDED;
			settle(w, n, CALL_REFUSED);
		}
	} else if (r->state == CALL_RUNNING) {
		r->state = CALL_ENDED;
		if (chance(w, 40)) {
			/* It was not run. */
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
simulation_init(simulation_t *w, uint64_t seed)
{
	claims_store_t faulty_store = { fake_get, fake_put, w };
	claims_opts_t o = { .settings = &w->s,
		.clock = &w->clock,
		.done = answered,
		.user = w,
		.store = &faulty_store,
		.stepped = true };
	int i;

	settings_init(&w->s);
	w->s.nservice = 1;
	str_set(w->s.service[0].name, ID_MAX, "shop");
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
simulation_free(simulation_t *w)
{
	int i;

	for (i = 0; i < OWNERS; i++)
		claims_free(w->owner[i]);
	for (i = 0; i <= BUCKETS; i++) {
		free(w->now[i].value);
		free(w->previous[i].value);
	}
	while (w->nlate > 0)
		free(w->late[--w->nlate].value);
	free(w);
}

static void
simulation_run(simulation_t *w)
{
	int i, n;

	for (i = 0; i < STEPS; i++) {
		if (chance(w, 20) && w->nrequest < REQUESTS / 2) {
			n = new_request(w, i * (KEYS - ACTIVE_KEYS) / STEPS +
					       random_below(w, ACTIVE_KEYS));
			request_claim(w, n, random_below(w, OWNERS));
		}
		if (chance(w, 30))
			advance_request(w);
		if (chance(w, 10))
			apply_late_write(w);
		if (chance(w, 60))
			step_owner(w, random_below(w, OWNERS));
		w->clock.fake_now += random_below(w, 40);
	}
}

static void
run_without_faults(simulation_t *w)
{
	int i, o;

	w->faults_off = true;
	for (i = 0; i < 30; i++) {
		w->clock.fake_now += 300;
		for (o = 0; o < OWNERS; o++)
			step_owner(w, o);
	}
	while (w->nlate > 0)
		apply_late_write(w);
}

static simulation_t *
simulate(uint64_t seed, bool conditional, bool retries)
{
	simulation_t *w = calloc(1, sizeof(*w));

	w->conditional = conditional;
	w->retries = retries;
	simulation_init(w, seed);
	simulation_run(w);
	run_without_faults(w);
	return w;
}

/* At the end, each owner must know the state of each key. */
static void
check_end(simulation_t *w)
{
	int key, owner;

	for (key = 0; key < KEYS; key++) {
		for (owner = 0; owner < OWNERS; owner++) {
			int n = new_request(w, key);

			request_claim(w, n, owner);
			step_owner(w, owner);
			w->clock.fake_now += COMMIT_DELAY_MAX_MS;
			step_owner(w, owner);
			g_assert_cmpint(w->request[n].state, !=, CALL_WAITING);
			if (w->holder[key] == -1 ||
			    w->request[n].state == CALL_RUNNING) {
				/* The claim of a request that was answered
				 * "not run" is removed, so a retry runs. */
				g_assert_cmpint(w->last, ==, CLAIM_FRESH);
				w->holder[key] = -1;
				settle(w, n, CALL_REFUSED);
				run_without_faults(w);
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
each_key_is_granted_once(void)
{
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		simulation_t *w = simulate(seed, true, seed % 2 == 0);

		g_assert_cmpint(w->granted, >, KEYS / 2);
		g_assert_cmpint(w->answers[CLAIM_DONE], >, 0);
		g_assert_cmpint(w->answers[CLAIM_DOWN], >, 0);
		g_assert_cmpint(w->granted_twice, ==, 0);
		g_assert_cmpint(w->wrong_reply, ==, 0);
		if (!w->retries)
			check_end(w);
		simulation_free(w);
	}
}

/* The simulation finds double grants if the store ignores versions. */
static void
unconditional_store_is_detected(void)
{
	int doubled = 0;
	uint64_t seed;

	for (seed = 1; seed <= SEEDS && doubled == 0; seed++) {
		simulation_t *w = simulate(seed, false, seed % 2 == 0);

		doubled += w->granted_twice;
		simulation_free(w);
	}
	g_assert_cmpint(doubled, >, 0);
}

static simulation_t *
idle_simulation(void)
{
	simulation_t *w = calloc(1, sizeof(*w));

	w->conditional = true;
	w->faults_off = true;
	simulation_init(w, 1);
	run_without_faults(w);
	return w;
}

/* Request a claim that was sent that long ago. */
static void
request_sent(simulation_t *w, int n, int owner, ms_t ago)
{
	w->sent_after = w->clock.fake_now - ago;
	request_claim(w, n, owner);
	w->sent_after = 0;
}

/*
 * Guards against a key that is refused for good because owners that stood still
 * granted, later, requests for which no entry waited any more. The call of
 * request 0 was answered "not run".
 */
static void
request_nobody_waits_for_is_not_granted(void)
{
	simulation_t *w = idle_simulation();
	ms_t late = claims_wait(&w->s) + 1;
	int n = new_request(w, 0);

	request_sent(w, n, 0, late);
	request_sent(w, n, 1, late);
	step_owner(w, 0);
	step_owner(w, 1);
	run_without_faults(w);
	g_assert_cmpint(w->answers[CLAIM_DOWN], ==, 2);
	request_claim(w, new_request(w, 0), 2);
	run_without_faults(w);
	g_assert_cmpint(w->last, ==, CLAIM_FRESH);
	simulation_free(w);
}

/* The entry of a request that waited for less still waits. */
static void
request_in_time_is_granted(void)
{
	simulation_t *w = idle_simulation();
	ms_t ago = claims_wait(&w->s) - 2 * COMMIT_DELAY_MAX_MS;
	request_sent(w, new_request(w, 0), 0, ago);
	step_owner(w, 0);
	g_assert_cmpint(w->last, ==, CLAIM_FRESH);
	simulation_free(w);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_level(LOG_ERR);
	g_test_add_func("/claims/random-faults", each_key_is_granted_once);
	g_test_add_func("/claims/random-faults-unconditional-store",
	    unconditional_store_is_detected);
	g_test_add_func("/claims/request-nobody-waits-for",
	    request_nobody_waits_for_is_not_granted);
	g_test_add_func("/claims/request-in-time", request_in_time_is_granted);
	return g_test_run();
}
