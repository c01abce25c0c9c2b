/*
 * The store comes back from a copy some seconds old, in a new era: what the
 * daemons had read there is newer than what it holds, and its revisions are
 * given out again.
 */
#include "tests/take_up.h"

#include <signal.h>
#include <string.h>

enum {
	ENGINES = 1, /* with fewer slots than there are adapters */
	PLAIN = 3,   /* endpoints of "app" */
	LEASE_MS = 3000,
	ORDER_GAP_MS = 120, /* between calls for other adapters */
	COPY_AGE_MS = 1000,
	AWAY_MS = 500,
	AFTER_MS = 7000, /* of orders after a return */
	/* Longer than the entry of an endpoint that has ended can stay. */
	SILENT_MS = 3 * 1200 + 2500,
	TAKE_OVERS = 4,
	READ_MS = 1500, /* until daemons have read what was written */
	WAIT_MS = 12000,
};

static const model_spec_t specs[] = { { "m1", 70000, 60, 300 },
	{ "m2", 70000, 60, 300 } };

/** A deployment in which the holder always has to order. */
typedef struct site {
	fixture_t *st;
	GPtrArray *calls; /* caller_t */
	int n;
	ms_t next_call;
} site_t;

static site_t *
site_new(const char *const program[DAEMONS])
{
	fake_endpoint_opts_t plain = { .plain_ms = 20 };
	site_t *t = g_new0(site_t, 1);
	fixture_t *st = t->st = fixture_new();
	fake_endpoint_opts_t engine = { .model = "m1",
		.models = specs,
		.nmodel = G_N_ELEMENTS(specs),
		.weights_mb = 200000,
		.adapter_slots = 4,
		.events = 2,
		.event_gap = 10,
		.changed = fixture_entry_changed,
		.arg = st };
	int i;

	fake_store_begin_eras(st->store);
	fixture_put_config(st, "");
	for (i = 0; i < PLAIN; i++)
		fixture_add_endpoint(st, &plain, "app");
	for (i = 0; i < ENGINES; i++)
		fixture_add_endpoint(st, &engine, "llm");
	for (i = 0; i < DAEMONS; i++) {
		st->program[i] = program != NULL ? program[i] : NULL;
		fixture_start_daemon(st, i, false);
	}
	for (i = 0; i < DAEMONS; i++) {
		daemon_wait_gauge(st, i, "instances", DAEMONS);
		daemon_wait_gauge(st, i, "endpoints", PLAIN + ENGINES);
		daemon_wait_gauge(st, i, "ready", 1);
	}
	g_assert_true(fixture_run_until(st, daemon_is_holder, st, WAIT_MS));
	t->calls = g_ptr_array_new();
	return t;
}

static void
site_free(site_t *t)
{
	caller_list_free(t->calls);
	fixture_free(t->st);
	g_free(t);
}

/* Make calls for ever other adapters. */
static void
site_run(site_t *t, ms_t span)
{
	ms_t end = clock_now(&machine_clock) + span, now;
	char id[24], head[160];

	while ((now = clock_now(&machine_clock)) < end) {
		int d = t->n % DAEMONS;

		if (now >= t->next_call) {
			t->next_call = now + ORDER_GAP_MS;
			snprintf(id, sizeof(id), "r%d", ++t->n);
			snprintf(head, sizeof(head),
			    "Model: m1/a%d\r\nToken-Usage: 40,6\r\n"
			    "Deadline-Remaining: 5000\r\n"
			    "Prompt-Prefix: f1:20,%x:20\r\n",
			    1 + t->n % 8, 0x1000 + t->n);
			if (t->st->daemon[d] != NULL)
				g_ptr_array_add(
				    t->calls, caller_call(t->st, d, "POST",
						  "/gen/a", id, head));
		}
		loop_turn(&t->st->loop, 5);
	}
}

static guint
orders_count(const fixture_t *st)
{
	guint n = 0;
	int i;

	for (i = PLAIN; i < st->nendpoint; i++)
		n += fake_endpoint_orders(st->endpoint[i])->len;
	return n;
}

/* Each endpoint was ordered by one holder a lease after the other. */
static void
assert_one_holder(const fixture_t *st)
{
	guint k;
	int i;

	for (i = PLAIN; i < st->nendpoint; i++) {
		const GPtrArray *a = fake_endpoint_orders(st->endpoint[i]);

		for (k = 1; k < a->len; k++) {
			const received_order_t *x = a->pdata[k - 1],
					       *y = a->pdata[k];

			g_assert_cmpint(y->token, >=, x->token);
			if (strcmp(x->holder, y->holder) == 0)
				continue;
			g_test_message("%s after %s: %d ms", y->holder,
			    x->holder, (int)(y->at - x->at));
			g_assert_cmpint(y->token, >, x->token);
			g_assert_cmpint(y->at - x->at, >=, LEASE_MS);
		}
	}
}

static int
holder_of(fixture_t *st)
{
	int i;

	g_assert_true(fixture_run_until(st, daemon_is_holder, st, WAIT_MS));
	for (i = 0; i < DAEMONS; i++)
		if (st->daemon[i] != NULL && daemon_gauge(st, i, "holder") == 1)
			return i;
	g_assert_not_reached();
}

/* Operator and endpoints write again what they wrote. */
static void
write_again(fixture_t *st)
{
	int i;

	fixture_put_config(st, "");
	for (i = 0; i < st->nendpoint; i++)
		fixture_put_entry(st, i, i < PLAIN ? "app" : "llm", false);
}

static void
store_returns(site_t *t)
{
	fake_store_set_fault(t->st->store, STORE_RESET);
	site_run(t, AWAY_MS);
	fake_store_return_to_copy(t->st->store);
	fake_store_set_fault(t->st->store, STORE_OK);
	write_again(t->st);
}

static bool
has_ended(void *daemon)
{
	return proc_ended(daemon, 0);
}

static void
stop_daemon(site_t *t, int i, int sig)
{
	proc_signal(t->st->daemon[i], sig);
	g_assert_true(
	    fixture_run_until(t->st, has_ended, t->st->daemon[i], WAIT_MS));
	daemon_kill(t->st, i);
	t->st->no_bootstrap = true;
}

static void
restart_daemon(site_t *t, int i, int sig)
{
	stop_daemon(t, i, sig);
	fixture_start_daemon(t->st, i, false);
}

/* Run until another daemon than @p old has ordered. */
static void
wait_next_orders(site_t *t, int old)
{
	char name[32];
	ms_t end = clock_now(&machine_clock) + WAIT_MS;
	int i;

	snprintf(name, sizeof(name), "entry-%d", old);
	while (clock_now(&machine_clock) < end) {
		site_run(t, 50);
		for (i = PLAIN; i < t->st->nendpoint; i++) {
			const GPtrArray *a =
			    fake_endpoint_orders(t->st->endpoint[i]);
			const received_order_t *o;

			if (a->len == 0)
				continue;
			o = a->pdata[a->len - 1];
			if (strcmp(o->holder, name) != 0)
				return;
		}
	}
	g_assert_not_reached();
}

/*
 * Guards against two holders when the lease that comes back names one that had
 * released it, and against tokens given out again.
 */
static void
lease_of_a_former_holder_returns(void)
{
	site_t *t = site_new(NULL);
	int old;

	site_run(t, 2 * COPY_AGE_MS);
	fake_store_keep_copy(t->st->store);
	site_run(t, COPY_AGE_MS);
	old = holder_of(t->st);
	restart_daemon(t, old, SIGTERM);
	wait_next_orders(t, old);
	daemon_wait_gauge(t->st, old, "ready", 1);
	store_returns(t);
	site_run(t, AFTER_MS);
	assert_one_holder(t->st);
	site_free(t);
}

/*
 * Guards against a holder that stops ordering though no other can have ordered,
 * and against lower tokens in its next lease.
 */
static void
holder_goes_on(void)
{
	site_t *t = site_new(NULL);
	int old;
	guint n;

	site_run(t, COPY_AGE_MS);
	fake_store_keep_copy(t->st->store);
	site_run(t, 2 * COPY_AGE_MS);
	old = holder_of(t->st);
	fake_store_return_to_copy(t->st->store);
	n = orders_count(t->st);
	site_run(t, LEASE_MS);
	g_assert_cmpuint(orders_count(t->st), >, n);
	g_assert_cmpint(holder_of(t->st), ==, old);
	restart_daemon(t, old, SIGKILL);
	site_run(t, AFTER_MS);
	assert_one_holder(t->st);
	site_free(t);
}

/* Guards against two holders after two returns in a row and a kill of all. */
static void
returns_twice_with_a_kill_of_all(void)
{
	site_t *t = site_new(NULL);
	guint n;
	int i;

	site_run(t, COPY_AGE_MS);
	fake_store_keep_copy(t->st->store);
	site_run(t, COPY_AGE_MS);
	store_returns(t);
	site_run(t, COPY_AGE_MS);
	for (i = 0; i < DAEMONS; i++)
		proc_signal(t->st->daemon[i], SIGKILL);
	for (i = 0; i < DAEMONS; i++)
		daemon_kill(t->st, i);
	t->st->no_bootstrap = true;
	store_returns(t);
	for (i = 0; i < DAEMONS; i++)
		fixture_start_daemon(t->st, i, false);
	for (i = 0; i < DAEMONS; i++)
		daemon_wait_gauge(t->st, i, "ready", 1);
	n = orders_count(t->st);
	site_run(t, AFTER_MS);
	g_assert_cmpuint(orders_count(t->st), >, n);
	assert_one_holder(t->st);
	site_free(t);
}

/* @return calls that an endpoint runs of 12 sent to all daemons */
static guint
runs_of(site_t *t, int endpoint)
{
	const GPtrArray *a = fake_endpoint_executed(t->st->endpoint[endpoint]);
	guint before = a->len;
	char id[24];
	int i;

	for (i = 0; i < 12; i++) {
		caller_t *c;

		snprintf(id, sizeof(id), "p%d", ++t->n);
		c = caller_call(t->st, i % DAEMONS, "POST", "/once/a", id,
		    "Deadline-Remaining: 2000\r\n");
		g_assert_true(caller_wait(c, WAIT_MS));
		g_assert_cmpint(c->status, ==, 200);
		caller_free(c);
	}
	return a->len - before;
}

/* Guards against a leaving endpoint's entry that counts as an old one. */
static void
endpoint_leaves_after_the_return(void)
{
	site_t *t = site_new(NULL);
	int i;

	/* Revisions of the lost seconds. */
	fake_store_keep_copy(t->st->store);
	for (i = 0; i < 20; i++)
		write_again(t->st);
	site_run(t, READ_MS);
	store_returns(t);
	site_run(t, READ_MS);
	fixture_put_entry(t->st, 0, "app", true);
	site_run(t, READ_MS);
	g_assert_cmpuint(runs_of(t, 0), ==, 0);
	site_free(t);
}

/*
 * Guards against a watch that goes on from a revision given out again, and
 * never shows what was written before it.
 */
static void
endpoint_leaves_below_the_watch(void)
{
	site_t *t = site_new(NULL);
	int i;

	fake_store_keep_copy(t->st->store);
	for (i = 0; i < 20; i++)
		write_again(t->st);
	site_run(t, READ_MS);
	/* All of this is written before a daemon is back at the store. */
	fake_store_return_to_copy(t->st->store);
	write_again(t->st);
	fixture_put_entry(t->st, 0, "app", true);
	for (i = 0; i < 40 * (PLAIN + ENGINES + 1); i++)
		fixture_put_config(t->st, "");
	site_run(t, READ_MS);
	g_assert_cmpuint(runs_of(t, 0), ==, 0);
	site_free(t);
}

/* Guards against calls to an endpoint that a daemon knows to be leaving. */
static void
entry_from_before_the_drain_returns(void)
{
	site_t *t = site_new(NULL);

	fake_store_keep_copy(t->st->store);
	fixture_put_entry(t->st, 0, "app", true);
	fake_store_del(t->st->store, "servers", t->st->id[1]);
	site_run(t, READ_MS);
	g_assert_cmpuint(runs_of(t, 0) + runs_of(t, 1), ==, 0);
	fake_store_return_to_copy(t->st->store);
	site_run(t, READ_MS);
	g_assert_cmpuint(runs_of(t, 0) + runs_of(t, 1), ==, 0);
	/* Written again later, it is of use again. */
	fixture_put_entry(t->st, 1, "app", false);
	site_run(t, READ_MS);
	g_assert_cmpuint(runs_of(t, 1), >, 0);
	site_free(t);
}

/* Guards against an entry that is held back for good. */
static void
entry_that_stays_is_used(void)
{
	site_t *t = site_new(NULL);

	fake_store_keep_copy(t->st->store);
	fixture_put_entry(t->st, 0, "app", true);
	site_run(t, READ_MS);
	fake_store_return_to_copy(t->st->store);
	site_run(t, READ_MS);
	g_assert_cmpuint(runs_of(t, 0), ==, 0);
	site_run(t, SILENT_MS + 2 * READ_MS);
	g_assert_cmpuint(runs_of(t, 0), >, 0);
	site_free(t);
}

static bool
all_objects_there(void *arg)
{
	fixture_t *st = arg;
	char name[32];
	int i;

	for (i = 0; i < DAEMONS; i++) {
		snprintf(name, sizeof(name), "entry-%d", i);
		if (fake_store_get(st->store, "ebonypitch-instances", name) ==
		    NULL)
			return false;
	}
	return true;
}

static const char more_route[] =
    ",{\"name\":\"more\",\"host\":\"h.example\",\"path_prefix\":\"/more/\","
    "\"kind\":\"safe\",\"timeout_ms\":2000,\"target_latency_ms\":300,"
    "\"priority\":2,\"service\":\"app\",\"max_attempts\":2}";

/*
 * Guards against a configuration that goes back, one that is overlooked as its
 * revision is lower, and instances' objects that stay lost.
 */
static void
configuration_and_objects(void)
{
	site_t *t = site_new(NULL);
	fixture_t *st = t->st;
	int i;

	g_assert_true(fixture_run_until(st, all_objects_there, st, WAIT_MS));
	for (i = 0; i < DAEMONS; i++) {
		char name[32];

		snprintf(name, sizeof(name), "entry-%d", i);
		fake_store_del(st->store, "ebonypitch-instances", name);
	}
	fake_store_keep_copy(st->store);
	g_assert_true(fixture_run_until(st, all_objects_there, st, WAIT_MS));
	for (i = 0; i < 20; i++)
		fixture_put_config(st, more_route);
	site_run(t, READ_MS);
	caller_free(caller_expect(st, 200, "GET", "/more/a", "m1", ""));
	fake_store_return_to_copy(st->store);
	site_run(t, READ_MS);
	caller_free(caller_expect(st, 200, "GET", "/more/a", "m2", ""));
	fixture_put_config(st, "");
	site_run(t, READ_MS);
	caller_free(caller_expect(st, 404, "GET", "/more/a", "m3", ""));
	g_assert_true(fixture_run_until(st, all_objects_there, st, WAIT_MS));
	site_free(t);
}

/*
 * Guards against revisions of a daemon that knows no eras being taken for
 * those of the present one.
 */
static void
beside_a_daemon_without_eras(void)
{
	static const char *const program[DAEMONS] = { NULL,
		"ebonypitchd-production", NULL };
	site_t *t = site_new(program);
	fixture_t *st = t->st;
	int i;

	fake_store_keep_copy(st->store);
	for (i = 0; i < 20; i++)
		write_again(st);
	/* A revision that no later change of this test reaches. */
	fixture_put_entry(st, 0, "app", true);
	site_run(t, READ_MS);
	fake_store_return_to_copy(st->store);
	fixture_put_entry(st, 0, "app", false);
	site_run(t, READ_MS);
	/* The former version ignores the entry; this one doesn't. */
	stop_daemon(t, 1, SIGTERM);
	st->program[1] = NULL;
	fixture_start_daemon(st, 1, false);
	daemon_wait_gauge(st, 1, "ready", 1);
	g_assert_cmpuint(runs_of(t, 0), >, 0);
	g_assert_cmpint(
	    fixture_counter(st, 0, "ebonypitch_store_eras_total"), ==, 1);
	fixture_put_entry(st, 0, "app", true);
	site_run(t, READ_MS);
	g_assert_cmpuint(runs_of(t, 0), ==, 0);
	site_free(t);
}

/*
 * Guards against orders of a daemon that knows no eras and of one that does
 * within a lease, and against tokens that fall between them, as each takes the
 * lease over from the other.
 */
static void
old_and_new_hold_in_turn(void)
{
	static const char *const program[DAEMONS] = { NULL,
		"ebonypitchd-production", "ebonypitchd-production" };
	site_t *t = site_new(program);
	bool held_by_new = false, held_by_old = false;
	int i;

	for (i = 0; i < TAKE_OVERS; i++) {
		int h = holder_of(t->st);

		site_run(t, COPY_AGE_MS);
		held_by_new |= program[h] == NULL;
		held_by_old |= program[h] != NULL;
		/* Then the other kind is there to take it over. */
		stop_daemon(t, h, i % 2 == 0 ? SIGKILL : SIGTERM);
		if (program[h] != NULL)
			stop_daemon(t, 3 - h, SIGKILL);
		wait_next_orders(t, h);
		fixture_start_daemon(t->st, h, false);
		if (program[h] != NULL)
			fixture_start_daemon(t->st, 3 - h, false);
		daemon_wait_gauge(t->st, h, "instances", DAEMONS);
	}
	assert_one_holder(t->st);
	g_assert_true(held_by_new && held_by_old);
	site_free(t);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN);
#define T(name) g_test_add_func("/store_era/" #name, name)
	T(lease_of_a_former_holder_returns);
	T(holder_goes_on);
	T(returns_twice_with_a_kill_of_all);
	T(endpoint_leaves_after_the_return);
	T(entry_from_before_the_drain_returns);
	T(entry_that_stays_is_used);
	T(configuration_and_objects);
	T(endpoint_leaves_below_the_watch);
	T(beside_a_daemon_without_eras);
	T(old_and_new_hold_in_turn);
	return g_test_run();
}
