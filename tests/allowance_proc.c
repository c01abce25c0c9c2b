/* An organisation's allowance over three daemons, one of which gives it. */
#include "tests/peer_site.h"

#include <string.h>

enum {
	APPLIED_MS = 2500, /* a configuration is in force, and members known */
	CALLS = 90,
	RATE = 4, /* calls a second */
	BURST = 8,
	WAIT_MS = 8000,
	TAKE_OVER_MS = 4000, /* by then another instance gives */
};

static const char organisations[] =
    ",\"tenants\":[{\"name\":\"small\",\"api_keys\":[\"k1\"],"
    "\"rate_per_s\":4,\"burst\":8},"
    "{\"name\":\"large\",\"api_keys\":[\"k2\"]}]";

static peer_site_t
site_new(void)
{
	fake_endpoint_opts_t llm = { .model = "m1", .adapter_slots = 4 };
	peer_site_t t = peer_site_uncut(5, &llm);

	t.st->organisations = organisations;
	fixture_put_config(t.st, "");
	fixture_run(t.st, APPLIED_MS);
	return t;
}

typedef struct outcome {
	int served, over, other;
} outcome_t;

/* Sends calls to the daemons that run, in turn. */
static outcome_t
send_calls(const peer_site_t *t, const char *key, const char *name, int n)
{
	GPtrArray *list = g_ptr_array_new();
	outcome_t o = { 0 };
	char id[32], headers[80];
	int i;

	snprintf(headers, sizeof(headers),
	    "Authorization: Token %s\r\nDeadline-Remaining: 1900\r\n", key);
	for (i = 0; i < n; i++) {
		int to = i % PEER_DAEMONS;

		if (t->st->daemon[to] == NULL)
			continue;
		snprintf(id, sizeof(id), "%s-%d", name, i);
		g_ptr_array_add(list,
		    caller_call(t->st, to, "GET", "/safe/a", id, headers));
		fixture_run(t->st, 5);
	}
	for (i = 0; i < (int)list->len; i++) {
		caller_t *c = list->pdata[i];

		g_assert_true(caller_wait(c, WAIT_MS));
		o.served += c->status == 200;
		o.over += c->status == 429;
		o.other += c->status != 200 && c->status != 429;
		if (c->status == 429)
			g_assert_nonnull(strstr(c->headers, "Retry-After: "));
	}
	caller_list_free(list);
	return o;
}

/* Guards against each instance allowing the whole, and against refusals of an
 * organisation without a limit. */
static void
sum_of_all_instances(void)
{
	peer_site_t t = site_new();
	outcome_t o = send_calls(&t, "k1", "small", CALLS);

	g_assert_cmpint(o.other, ==, 0);
	/* Sent in half a second: no window of 8 s has more. */
	g_assert_cmpint(o.served, <=, 8 * RATE + BURST);
	g_assert_cmpint(o.served, >=, BURST / 2);
	g_assert_cmpint(o.over, >, CALLS / 2);
	o = send_calls(&t, "k2", "large", CALLS);
	g_assert_cmpint(o.served, ==, CALLS);
	peer_site_free(&t);
}

/* Guards against an organisation that nobody serves once its giver is gone. */
static void
giver_is_killed(void)
{
	peer_site_t t = site_new();
	outcome_t o;
	int i;

	for (i = 0; i < PEER_DAEMONS; i++) {
		if (i > 0) {
			proc_kill(t.st->daemon[i - 1]);
			t.st->daemon[i - 1] = NULL;
		}
		fixture_run(t.st, TAKE_OVER_MS);
		o = send_calls(&t, "k1", i == 0 ? "a" : i == 1 ? "b" : "c", 6);
		g_assert_cmpint(o.other, ==, 0);
		g_assert_cmpint(o.served, >, 0);
	}
	peer_site_free(&t);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/allowances/sum_of_all_instances", sum_of_all_instances);
	g_test_add_func("/allowances/giver_is_killed", giver_is_killed);
	return g_test_run();
}
