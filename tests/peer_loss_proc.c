/*
 * Calls that an instance without a way to the endpoints has handed to another
 * one, which stops, leaves, freezes or loses its own way.
 */
#include "tests/peer_site.h"

#include <signal.h>
#include <string.h>

enum {
	ENTRY_READ_MS = 450, /* by then all daemons have read an entry */
};

/* Guards against losing a stream with the instance that it goes through. */
static void
stream_outlives_the_other_instance(void)
{
	peer_site_t t = peer_site_new(20);
	caller_t *c;
	int i = send_through(t.st, "POST", "/gen/a", "lives", peer_model, &c);

	proc_kill(t.st->daemon[i]);
	t.st->daemon[i] = NULL;
	g_assert_true(caller_wait(c, PEER_ANSWER_MS));
	g_assert_cmpint(c->status, ==, 200);
	assert_all_events(c);
	caller_free(c);
	peer_site_free(&t);
}

/* Guards against cutting a stream as the other instance leaves. */
static void
stream_ends_at_an_instance_that_leaves(void)
{
	peer_site_t t = peer_site_new(20);
	caller_t *c, *next;
	int i = send_through(t.st, "POST", "/gen/a", "ends", peer_model, &c);

	proc_signal(t.st->daemon[i], SIGTERM);
	fixture_run(t.st, 200);
	next = caller_call(t.st, 0, "GET", "/safe/a", "next", peer_brief);
	g_assert_true(caller_wait(next, PEER_ANSWER_MS));
	g_assert_cmpint(next->status, ==, 200);
	g_assert_true(caller_wait(c, PEER_ANSWER_MS));
	g_assert_cmpint(c->status, ==, 200);
	assert_all_events(c);
	caller_free(next);
	caller_free(c);
	peer_site_free(&t);
}

/* Guards against counting on an instance that is cut a second later. */
static void
other_instance_is_cut_too(void)
{
	peer_site_t t = peer_site_new(20);
	int i, served = 0;

	links_set(t.links, 1, LINK_RESET);
	for (i = 0; i < 20; i++) {
		char id[16];
		caller_t *c;

		snprintf(id, sizeof(id), "two%d", i);
		c = caller_call(t.st, i % 2, "GET", "/safe/a", id, peer_brief);
		g_assert_true(caller_wait(c, PEER_ANSWER_MS));
		served += c->status == 200;
		caller_free(c);
	}
	g_assert_cmpint(served, ==, 20);
	peer_site_free(&t);
}

/* Guards against reporting a call that may have run as not run. */
static void
unsafe_call_is_lost_with_the_other_instance(void)
{
	peer_site_t t = peer_site_new(600);
	caller_t *c =
	    caller_call(t.st, 0, "POST", "/once/a", "left", peer_brief);
	int i;

	g_assert_true(
	    fixture_run_until(t.st, left_has_run, t.st, PEER_ANSWER_MS));
	for (i = 1; i < PEER_DAEMONS; i++) {
		proc_kill(t.st->daemon[i]);
		t.st->daemon[i] = NULL;
	}
	g_assert_true(caller_wait(c, PEER_ANSWER_MS));
	g_assert_cmpint(c->status, ==, 502);
	g_assert_nonnull(run_of(t.st, "left"));
	caller_free(c);
	peer_site_free(&t);
}

/* Guards against waiting for an instance that has stopped. */
static void
frozen_instance_is_left(void)
{
	peer_site_t t = peer_site_new(20);
	caller_t *c[20];
	char id[16];
	int i, served = 0, frozen;

	frozen = send_through(t.st, "GET", "/safe/a", "one", peer_brief, &c[0]);
	caller_free(c[0]);
	proc_signal(t.st->daemon[frozen], SIGSTOP);
	for (i = 0; i < 20; i++) {
		snprintf(id, sizeof(id), "f%d", i);
		c[i] = caller_call(t.st, 0, "GET", "/safe/a", id, peer_brief);
		fixture_run(t.st, 100);
	}
	for (i = 0; i < 20; i++) {
		g_assert_true(caller_wait(c[i], PEER_ANSWER_MS));
		served += c[i]->status == 200;
		caller_free(c[i]);
	}
	g_test_message("%d of 20 served", served);
	g_assert_cmpint(served, ==, 20);
	proc_signal(t.st->daemon[frozen], SIGCONT);
	peer_site_free(&t);
}

/*
 * Guards against giving calls that run once to an instance that is silent and
 * not yet taken for dead.
 */
static void
silent_instance_gets_no_unsafe_call(void)
{
	peer_site_t t = peer_site_new(20);
	caller_t *c;
	char id[16];
	int i;

	proc_signal(t.st->daemon[1], SIGSTOP);
	fixture_run(t.st, 1200);
	for (i = 0; i < 10; i++) {
		snprintf(id, sizeof(id), "u%d", i);
		c = caller_call(t.st, 0, "POST", "/once/a", id, peer_brief);
		g_assert_true(caller_wait(c, PEER_ANSWER_MS));
		g_assert_cmpint(c->status, ==, 200);
		caller_free(c);
		fixture_run(t.st, 50);
	}
	proc_signal(t.st->daemon[1], SIGCONT);
	peer_site_free(&t);
}

/* Guards against going on with a stream at another software version. */
static void
stream_goes_on_at_its_software(void)
{
	peer_site_t t = peer_site_new(20);
	const executed_call_t *r;
	const GPtrArray *x;
	caller_t *c;
	int i, k, began = -1;
	guint n;

	/* Only an engine of another version is left. */
	i = send_through(t.st, "POST", "/gen/a", "began", peer_model, &c);
	for (k = PEER_LLM; k < PEER_LLM + 2; k++)
		if (fake_endpoint_executed(t.st->endpoint[k])->len > 0 &&
		    !((executed_call_t *)g_ptr_array_index(
			  fake_endpoint_executed(t.st->endpoint[k]),
			  fake_endpoint_executed(t.st->endpoint[k])->len - 1))
			 ->complete)
			began = k;
	g_assert_cmpint(began, >=, PEER_LLM);
	k = PEER_LLM + PEER_LLM + 1 - began;
	fake_endpoint_restart(t.st->endpoint[k], "v2");
	fixture_put_entry(t.st, k, "llm", false);
	fake_store_del(t.st->store, "servers", t.st->id[began]);
	fixture_run(t.st, ENTRY_READ_MS);
	proc_kill(t.st->daemon[i]);
	t.st->daemon[i] = NULL;
	g_assert_true(caller_wait(c, PEER_ANSWER_MS));
	g_assert_false(c->done);
	x = fake_endpoint_executed(t.st->endpoint[k]);
	for (n = 0; n < x->len; n++) {
		r = x->pdata[n];
		g_assert_cmpstr(r->id, !=, "began");
	}
	caller_free(c);
	peer_site_free(&t);
}

#define T(name) g_test_add_func("/peer_loss/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(stream_outlives_the_other_instance);
	T(stream_ends_at_an_instance_that_leaves);
	T(other_instance_is_cut_too);
	T(unsafe_call_is_lost_with_the_other_instance);
	T(frozen_instance_is_left);
	T(silent_instance_gets_no_unsafe_call);
	T(stream_goes_on_at_its_software);
	return g_test_run();
}
