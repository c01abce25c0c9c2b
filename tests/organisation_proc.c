/* Callers that name their organisation by a key: what reaches an endpoint. */
#include "tests/peer_site.h"

#include <string.h>

enum {
	APPLIED_MS = 1500, /* a configuration is in force by then */
};

static const char both[] =
    ",\"tenants\":[{\"name\":\"north hill\",\"api_keys\":[\"k1\",\"k2\"],"
    "\"priority\":1},{\"name\":\"south\",\"api_keys\":[\"k3\"]}]";
static const char one_withdrawn[] =
    ",\"tenants\":[{\"name\":\"north hill\",\"api_keys\":[\"k2\"],"
    "\"priority\":1},{\"name\":\"south\",\"api_keys\":[\"k3\"]}]";
static const char open_route[] =
    ",{\"name\":\"open\",\"host\":\"h.example\",\"path_prefix\":\"/open/\","
    "\"kind\":\"safe\",\"timeout_ms\":2000,\"target_latency_ms\":300,"
    "\"priority\":2,\"service\":\"app\",\"max_attempts\":2,"
    "\"allow_anonymous\":true}";

static void
put_organisations(peer_site_t *t, const char *organisations)
{
	t->st->organisations = organisations;
	fixture_put_config(t->st, open_route);
	fixture_run(t->st, APPLIED_MS);
}

static void
expect(const peer_site_t *t, int status, const char *path, const char *id,
    const char *headers)
{
	caller_t *c = caller_expect(t->st, status, "GET", path, id, headers);

	g_assert_null(strstr(c->headers, "k1"));
	caller_free(c);
	g_assert_true((run_of(t->st, id) != NULL) == (status == 200));
}

static peer_site_t
site_new(bool cut)
{
	fake_endpoint_opts_t llm = { .model = "m1", .adapter_slots = 4 };

	return cut ? peer_site_with(20, &llm) : peer_site_uncut(20, &llm);
}

/* Sends calls of all kinds to daemon 0, which may hand them to another one. */
static void
check_calls(peer_site_t *t)
{
	const executed_call_t *r;

	put_organisations(t, both);
	expect(t, 200, "/safe/a", "known",
	    "Authorization: Token k1\r\nTenant: south\r\n");
	r = run_of(t->st, "known");
	g_assert_nonnull(strstr(r->headers, "Tenant: north hill"));
	g_assert_null(strstr(r->headers, "south"));
	g_assert_null(strstr(r->headers, "k1"));
	g_assert_null(strstr(r->headers, "Authorization"));
	g_assert_null(strstr(r->headers, "Ebonypitch"));
	expect(t, 401, "/safe/a", "unknown", "Authorization: Token k7\r\n");
	expect(t, 401, "/safe/a", "missing", "Tenant: south\r\n");
	expect(t, 401, "/open/a", "wrong", "Authorization: Token k7\r\n");
	expect(t, 200, "/open/a", "anonymous", "Tenant: south\r\n");
	g_assert_null(strstr(run_of(t->st, "anonymous")->headers, "Tenant"));
	put_organisations(t, one_withdrawn);
	expect(t, 401, "/safe/a", "withdrawn", "Authorization: Token k1\r\n");
	expect(t, 200, "/safe/a", "other-key", "Authorization: Token k2\r\n");
	g_assert_cmpint(
	    fixture_counter(t->st, 0, "ebonypitch_unauthorised_requests_total"),
	    ==, 4);
	put_organisations(t, NULL);
	expect(t, 200, "/safe/a", "without", "Authorization: Token k1\r\n");
	g_assert_nonnull(strstr(
	    run_of(t->st, "without")->headers, "Authorization: Token k1"));
}

/* Guards against an endpoint that sees a key, or runs a call without one. */
static void
key_becomes_a_name(void)
{
	peer_site_t t = site_new(false);

	check_calls(&t);
	peer_site_free(&t);
}

/* Guards against the same of calls that another instance hands over. */
static void
key_becomes_a_name_through_another_instance(void)
{
	peer_site_t t = site_new(true);

	check_calls(&t);
	g_assert_cmpint(taken_by(t.st, 1) + taken_by(t.st, 2), >, 0);
	peer_site_free(&t);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/organisation/key_becomes_a_name", key_becomes_a_name);
	g_test_add_func(
	    "/organisation/key_becomes_a_name_through_another_instance",
	    key_becomes_a_name_through_another_instance);
	return g_test_run();
}
