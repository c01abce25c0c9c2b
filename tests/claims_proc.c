/*
 * Claims on the stand-in platform, with faults at each step of a commit: a key
 * must not be granted twice, and no outcome may be lost. An owner is a claims_t
 * with its own thread. Its store can pause it in the middle of a commit, as if
 * the process were paused.
 */
#include "store/platform.h"
#include "tests/proc.h"

#include <stdlib.h>
#include <string.h>
#include <glib.h>

enum {
	START_MS = 5000,
	WAIT_MS = 5000, /* then the test fails */
	REQUESTS_MAX = 512,
	SERVICE_MS = 1500,	 /* timeout of a call */
	OUTAGE_ANSWER_MS = 1000, /* limit for answers during an outage */
};

typedef enum write_fault {
	FAULT_NONE,
	FAULT_PAUSE_BEFORE, /* pause before the write is sent */
	FAULT_PAUSE_AFTER,  /* pause after the write, before its reply */
	FAULT_LOSE_REPLY,   /* lose the reply of the write, then go offline */
} write_fault_t;

typedef struct owner {
	settings_t s;
	claims_t *claims;
	platform_t *p;
	GMutex lock;
	GCond fault_changed;
	write_fault_t write_fault;
	bool paused;  /* the thread waits in the store */
	bool offline; /* the platform is unreachable, after FAULT_LOSE_REPLY */
	int nrequest;
	bool answered[REQUESTS_MAX];
	claim_answer_t answer[REQUESTS_MAX];
} owner_t;

typedef struct fixture {
	proc_t *proc;
	char *addr;
	settings_t s;
	owner_t *a, *b;
} fixture_t;

/* A store with faults */

static int
faulty_get(void *user, const char *key, object_t *out, err_t *e)
{
	owner_t *o = user;

	if (o->offline)
		return err_set(e, ERR_DOWN, "away");
	return platform_get(o->p, key, out, e);
}

static void
pause_if(owner_t *o, write_fault_t fault)
{
	g_mutex_lock(&o->lock);
	while (o->write_fault == fault) {
		o->paused = true;
		g_cond_wait(&o->fault_changed, &o->lock);
	}
	o->paused = false;
	g_mutex_unlock(&o->lock);
}

static int
faulty_put(void *user, const char *key, const char *value, size_t len,
    uint64_t expect, uint64_t *version, err_t *e)
{
	owner_t *o = user;
	int rc;

	if (o->offline)
		return err_set(e, ERR_DOWN, "away");
	pause_if(o, FAULT_PAUSE_BEFORE);
	rc = platform_put(o->p, key, value, len, expect, version, e);
	pause_if(o, FAULT_PAUSE_AFTER);
	if (o->write_fault == FAULT_LOSE_REPLY) {
		o->write_fault = FAULT_NONE;
		o->offline = true;
		return err_set(e, ERR_UNKNOWN, "no reply");
	}
	return rc;
}

static void
set_write_fault(owner_t *o, write_fault_t fault)
{
	g_mutex_lock(&o->lock);
	o->write_fault = fault;
	g_cond_broadcast(&o->fault_changed);
	g_mutex_unlock(&o->lock);
}

static void
on_answer(void *user, uint64_t tag, const claim_answer_t *a)
{
	owner_t *o = user;

	g_mutex_lock(&o->lock);
	g_assert_false(o->answered[tag]);
	o->answer[tag] = *a;
	o->answered[tag] = true;
	g_mutex_unlock(&o->lock);
}

static owner_t *
owner_new(fixture_t *b)
{
	owner_t *o = g_new0(owner_t, 1);
	claims_store_t store = { faulty_get, faulty_put, o };
	claims_opts_t opts = { .settings = &o->s,
		.clock = &machine_clock,
		.done = on_answer,
		.user = o,
		.store = &store };
	platform_opts_t po = { .timeout = b->s.platform.timeout_ms };

	o->s = b->s;
	str_set(po.addr, sizeof(po.addr), b->addr);
	g_assert_nonnull(o->p = platform_new(&po, NULL));
	g_assert_nonnull(o->claims = claims_new(&opts, NULL));
	return o;
}

static void
owner_free(owner_t *o)
{
	int i;

	set_write_fault(o, FAULT_NONE);
	claims_free(o->claims);
	platform_free(o->p);
	for (i = 0; i < o->nrequest; i++)
		free(o->answer[i].reply);
	g_free(o);
}

static void
setup(fixture_t *b, const void *arg)
{
	int port;

	(void)arg;
	ports_take(&port, 1);
	b->addr = addr_of(port);
	b->proc = proc_start("standin-platform", "--listen", b->addr, NULL);
	g_assert_true(http_until(b->addr, "/control/stats", 200, START_MS));
	settings_init(&b->s);
	b->s.platform.timeout_ms = 2000;
	b->s.claims.buckets = 2;
	b->s.nservice = 1;
	str_set(b->s.service[0].name, ID_MAX, "shop");
	b->s.service[0].timeout_ms = SERVICE_MS;
	b->a = owner_new(b);
	b->b = owner_new(b);
}

static void
teardown(fixture_t *b, const void *arg)
{
	(void)arg;
	owner_free(b->a);
	owner_free(b->b);
	proc_kill(b->proc);
	g_free(b->addr);
}

/* Apply changed settings. */
static void
recreate_owners(fixture_t *b)
{
	owner_free(b->a);
	owner_free(b->b);
	b->a = owner_new(b);
	b->b = owner_new(b);
}

static void
set_platform_faults(fixture_t *b, const char *json)
{
	reply_t r =
	    http_call("POST", b->addr, "/control/faults", NULL, json, START_MS);

	g_assert_cmpint(r.status, ==, 200);
	reply_clear(&r);
}

/* @p body is the hash; 1 for the first call of a key */
static int
request_claim_with_body(
    owner_t *o, const char *key, const char *request, uint64_t body)
{
	claim_request_t q = { .service = "shop", .body_hash = body };

	str_set(q.key, sizeof(q.key), key);
	str_set(q.request, sizeof(q.request), request);
	g_assert_cmpint(o->nrequest, <, REQUESTS_MAX);
	g_assert_true(claims_request(o->claims, (uint64_t)o->nrequest, &q));
	return o->nrequest++;
}

static int
request_claim(owner_t *o, const char *key, const char *request)
{
	return request_claim_with_body(o, key, request, 1);
}

typedef struct wait {
	owner_t *o;
	int n;
} wait_t;

static bool
is_answered(void *user)
{
	wait_t *w = user;
	bool yes;

	g_mutex_lock(&w->o->lock);
	yes = w->o->answered[w->n];
	g_mutex_unlock(&w->o->lock);
	return yes;
}

static bool
is_paused(void *user)
{
	owner_t *o = user;
	bool yes;

	g_mutex_lock(&o->lock);
	yes = o->paused;
	g_mutex_unlock(&o->lock);
	return yes;
}

static const claim_answer_t *
answer_of(owner_t *o, int n)
{
	wait_t w = { o, n };

	g_assert_true(eventually(is_answered, &w, WAIT_MS));
	return &o->answer[n];
}

static claim_outcome_t
outcome(owner_t *o, const char *key, const char *request)
{
	return answer_of(o, request_claim(o, key, request))->outcome;
}

static void
settle(owner_t *o, const char *key, const char *request, call_outcome_t how,
    const char *reply, size_t len)
{
	claim_settle_t s = { .service = "shop",
		.outcome = how,
		.status = 201,
		.type = "text/plain" };

	str_set(s.key, sizeof(s.key), key);
	str_set(s.request, sizeof(s.request), request);
	if (reply != NULL) {
		s.reply = g_memdup2(reply, len);
		s.len = len;
	}
	g_assert_true(claims_settle(o->claims, 0, &s));
}

typedef struct until {
	owner_t *o;
	const char *key;
	claim_outcome_t want;
	claim_outcome_t forbidden;
	int tries;
} until_t;

static bool
outcome_is(void *user)
{
	until_t *u = user;
	char request[ID_MAX];
	claim_outcome_t got;

	snprintf(request, sizeof(request), "again-%p-%d", user, u->tries++);
	got = outcome(u->o, u->key, request);
	g_assert_cmpint(got, !=, u->forbidden);
	return got == u->want;
}

static void
concurrent_requests_grant_once(fixture_t *b, const void *arg)
{
	int i, n[2], fresh;
	char key[ID_MAX];

	(void)arg;
	for (i = 0; i < 100; i++) {
		snprintf(key, sizeof(key), "key%d", i);
		n[0] = request_claim(b->a, key, "a");
		n[1] = request_claim(b->b, key, "b");
		fresh = (answer_of(b->a, n[0])->outcome == CLAIM_FRESH) +
			(answer_of(b->b, n[1])->outcome == CLAIM_FRESH);
		g_assert_cmpint(fresh, ==, 1);
		fresh = (answer_of(b->a, n[0])->outcome == CLAIM_RUNNING) +
			(answer_of(b->b, n[1])->outcome == CLAIM_RUNNING);
		g_assert_cmpint(fresh, ==, 1);
	}
}

/*
 * An owner whose settings have another number of buckets uses the stored one.
 */
static void
bucket_counts_differ(fixture_t *b, const void *arg)
{
	char key[ID_MAX];
	int i;

	(void)arg;
	g_assert_cmpint(outcome(b->a, "first", "a"), ==, CLAIM_FRESH);
	owner_free(b->b);
	b->s.claims.buckets = 7;
	b->b = owner_new(b);
	for (i = 0; i < 20; i++) {
		snprintf(key, sizeof(key), "key%d", i);
		g_assert_cmpint(outcome(b->a, key, "a"), ==, CLAIM_FRESH);
		g_assert_cmpint(outcome(b->b, key, "b"), ==, CLAIM_RUNNING);
	}
}

/* After each outcome, a repeat gets the same answer from any owner. */
static void
repeats_get_the_outcome(fixture_t *b, const void *arg)
{
	static const char reply[] = "bin\0ary \xff";
	static const struct {
		call_outcome_t how;
		size_t len;
		claim_outcome_t expected;
		size_t expected_len;
	} rows[] = {
		{ CALL_DONE, sizeof(reply), CLAIM_DONE, sizeof(reply) },
		{ CALL_DONE, 0, CLAIM_DONE, 0 },
		{ CALL_DONE, 1 << 20, CLAIM_DONE, 0 },
		{ CALL_FAILED, sizeof(reply), CLAIM_DONE, sizeof(reply) },
		{ CALL_UNKNOWN, 0, CLAIM_UNKNOWN, 0 },
		{ CALL_CANCELLED, 0, CLAIM_UNKNOWN, 0 },
		{ CALL_REFUSED, 0, CLAIM_FRESH, 0 },
	};
	static char big[1 << 20];
	size_t i;

	(void)arg;
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		char key[] = "k\xe9y \"0\"";
		until_t u = { b->b, key, rows[i].expected, CLAIM_MISMATCH, 0 };
		const claim_answer_t *a;

		key[5] = (char)('0' + i);
		g_assert_cmpint(outcome(b->a, key, "first"), ==, CLAIM_FRESH);
		g_assert_cmpint(outcome(b->b, key, "x"), ==, CLAIM_RUNNING);
		g_assert_cmpint(
		    answer_of(b->b, request_claim_with_body(b->b, key, "y", 2))
			->outcome,
		    ==, CLAIM_MISMATCH);
		settle(b->a, key, "first", rows[i].how,
		    rows[i].len == sizeof(big) ? big : reply, rows[i].len);
		g_assert_true(eventually(outcome_is, &u, WAIT_MS));
		a = answer_of(b->b, b->b->nrequest - 1);
		g_assert_cmpuint(a->len, ==, rows[i].expected_len);
		if (rows[i].expected != CLAIM_DONE)
			continue;
		g_assert_cmpint(a->status, ==, 201);
		g_assert_cmpstr(a->type, ==, "text/plain");
		g_assert_cmpstr(a->first_request, ==, "first");
		if (a->len > 0)
			g_assert_cmpmem(a->reply, a->len, reply, sizeof(reply));
		g_assert_cmpint(
		    answer_of(b->a, request_claim_with_body(b->a, key, "y", 2))
			->outcome,
		    ==, CLAIM_MISMATCH);
	}
}

/*
 * The first claim request goes to owner A during a fault; then another call
 * asks B for the same key until the answer is the expected last one.
 */
static void
faults_during_commit(fixture_t *b, const void *arg)
{
	static const struct {
		const char *what;
		write_fault_t write_fault;
		const char *fault, *repair;
		bool b_meanwhile;
		claim_outcome_t meanwhile; /* B's answer during the fault */
		claim_outcome_t first;	   /* A's answer */
		claim_outcome_t after;	   /* B's last answer */
	} rows[] = {
		{ "paused before its write", FAULT_PAUSE_BEFORE, "{}", "{}",
		    true, CLAIM_FRESH, CLAIM_RUNNING, CLAIM_RUNNING },
		{ "paused after its write", FAULT_PAUSE_AFTER, "{}", "{}", true,
		    CLAIM_RUNNING, CLAIM_FRESH, CLAIM_RUNNING },
		{ "reply lost", FAULT_NONE, "{\"drop_replies\":1}", "{}", false,
		    CLAIM_FRESH, CLAIM_FRESH, CLAIM_RUNNING },
		{ "three replies lost", FAULT_NONE, "{\"drop_replies\":3}",
		    "{}", false, CLAIM_FRESH, CLAIM_FRESH, CLAIM_RUNNING },
		{ "reply lost, then outage", FAULT_LOSE_REPLY, "{}", "{}",
		    false, CLAIM_FRESH, CLAIM_DOWN, CLAIM_FRESH },
		{ "outage", FAULT_NONE, "{\"outage_ms\":-1}",
		    "{\"outage_ms\":0}", true, CLAIM_DOWN, CLAIM_DOWN,
		    CLAIM_FRESH },
		{ "write delayed", FAULT_NONE, "{\"hang_ms\":-1}",
		    "{\"hang_ms\":0}", false, CLAIM_FRESH, CLAIM_DOWN,
		    CLAIM_FRESH },
		{ "old state read", FAULT_NONE, "{\"stale_reads\":1}",
		    "{\"stale_reads\":0}", true, CLAIM_RUNNING, CLAIM_FRESH,
		    CLAIM_RUNNING },
	};
	size_t i;

	(void)arg;
	b->s.platform.timeout_ms = 500;
	recreate_owners(b);
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		char key[ID_MAX];
		until_t u = { b->b, key, rows[i].after, CLAIM_DONE, 0 };
		int n;

		g_test_message("%s", rows[i].what);
		snprintf(key, sizeof(key), "warm%zu", i);
		g_assert_true(eventually(outcome_is,
		    &(until_t){ b->a, key, CLAIM_FRESH, CLAIM_DONE, 0 },
		    WAIT_MS));
		snprintf(key, sizeof(key), "row%zu", i);
		set_platform_faults(b, rows[i].fault);
		set_write_fault(b->a, rows[i].write_fault);
		n = request_claim(b->a, key, "first");
		if (rows[i].write_fault == FAULT_PAUSE_BEFORE ||
		    rows[i].write_fault == FAULT_PAUSE_AFTER)
			g_assert_true(eventually(is_paused, b->a, WAIT_MS));
		else
			answer_of(b->a, n);
		if (rows[i].b_meanwhile)
			g_assert_cmpint(
			    outcome(b->b, key, "other"), ==, rows[i].meanwhile);
		set_write_fault(b->a, FAULT_NONE);
		g_assert_cmpint(answer_of(b->a, n)->outcome, ==, rows[i].first);
		set_platform_faults(b, rows[i].repair);
		b->a->offline = false;
		if (rows[i].meanwhile != CLAIM_FRESH || !rows[i].b_meanwhile)
			g_assert_true(eventually(outcome_is, &u, WAIT_MS));
	}
}

static void
outage_rejects_at_once(fixture_t *b, const void *arg)
{
	until_t u = { b->a, "k9", CLAIM_FRESH, CLAIM_UNKNOWN, 0 };
	ms_t start = clock_now(&machine_clock);
	char key[ID_MAX];
	int i, n;

	(void)arg;
	g_assert_cmpint(outcome(b->a, "held", "h"), ==, CLAIM_FRESH);
	set_platform_faults(b, "{\"outage_ms\":-1}");
	for (i = 0; i < 10; i++) {
		snprintf(key, sizeof(key), "k%d", i);
		n = request_claim(b->a, key, "x");
		g_assert_cmpint(answer_of(b->a, n)->outcome, ==, CLAIM_DOWN);
		g_assert_cmpint(answer_of(b->a, n)->retry_after, >, 0);
	}
	g_assert_cmpint(clock_now(&machine_clock) - start, <, OUTAGE_ANSWER_MS);
	/* An outcome received meanwhile is kept and written afterwards. */
	settle(b->a, "held", "h", CALL_DONE, "ok", 2);
	set_platform_faults(b, "{\"outage_ms\":0}");
	g_assert_true(eventually(outcome_is, &u, WAIT_MS));
	u = (until_t){ b->b, "held", CLAIM_DONE, CLAIM_FRESH, 0 };
	g_assert_true(eventually(outcome_is, &u, WAIT_MS));
}

/* An entry was killed before it sent the call: the claim is never settled. */
static void
unsettled_claim_after_kill(fixture_t *b, const void *arg)
{
	until_t u = { b->b, "k", CLAIM_UNKNOWN, CLAIM_FRESH, 0 };

	(void)arg;
	g_assert_cmpint(outcome(b->a, "k", "first"), ==, CLAIM_FRESH);
	owner_free(b->a);
	g_assert_cmpint(outcome(b->b, "k", "second"), ==, CLAIM_RUNNING);
	g_assert_true(eventually(outcome_is, &u, SERVICE_MS + WAIT_MS));
	b->a = owner_new(b);
	g_assert_cmpint(outcome(b->a, "k", "third"), ==, CLAIM_UNKNOWN);
}

static void
outcomes_expire(fixture_t *b, const void *arg)
{
	until_t u = { NULL, "k", CLAIM_FRESH, CLAIM_UNKNOWN, 0 };
	ms_t start;

	(void)arg;
	b->s.claims.keep_ms = 1000;
	recreate_owners(b);
	u.o = b->a;
	g_assert_cmpint(outcome(b->a, "k", "first"), ==, CLAIM_FRESH);
	start = clock_now(&machine_clock);
	settle(b->a, "k", "first", CALL_DONE, NULL, 0);
	/* An owner that learns of the claim later keeps it longer. */
	g_assert_true(eventually(outcome_is, &u, WAIT_MS));
	g_assert_cmpint(
	    clock_now(&machine_clock) - start, >=, b->s.claims.keep_ms);
}

static void
full_bucket_rejects(fixture_t *b, const void *arg)
{
	char key[ID_MAX];
	int i, n, held;

	(void)arg;
	b->s.claims.buckets = 1;
	b->s.claims.bucket_max = 4096;
	b->s.claims.keep_ms = 1000;
	recreate_owners(b);
	for (held = 0; held < 64; held++) {
		snprintf(key, sizeof(key), "k%d", held);
		n = request_claim(b->a, key, "x");
		if (answer_of(b->a, n)->outcome != CLAIM_FRESH)
			break;
	}
	g_assert_cmpint(held, >, 4);
	g_assert_cmpint(answer_of(b->a, n)->outcome, ==, CLAIM_DOWN);
	g_assert_cmpint(answer_of(b->a, n)->retry_after, >, 0);
	/* The bucket has room for all outcomes, and running claims stay. */
	settle(b->a, "k0", "x", CALL_DONE, "reply", 5);
	for (i = 1; i < held; i++) {
		snprintf(key, sizeof(key), "k%d", i);
		g_assert_cmpint(outcome(b->b, key, "y"), ==, CLAIM_RUNNING);
	}
	/* Once the settled claim expires, another one fits. */
	{
		until_t u = { b->a, "new", CLAIM_FRESH, CLAIM_DONE, 0 };

		g_assert_true(eventually(outcome_is, &u, WAIT_MS));
	}
}

static void
add(const char *name, void (*run)(fixture_t *, const void *))
{
	g_test_add(name, fixture_t, NULL, setup, run, teardown);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	add("/claims/concurrent-asks", concurrent_requests_grant_once);
	add("/claims/settings-differ", bucket_counts_differ);
	add("/claims/repeats", repeats_get_the_outcome);
	add("/claims/faults", faults_during_commit);
	add("/claims/outage", outage_rejects_at_once);
	add("/claims/unsettled", unsettled_claim_after_kill);
	add("/claims/expiry", outcomes_expire);
	add("/claims/full-bucket", full_bucket_rejects);
	return g_test_run();
}
