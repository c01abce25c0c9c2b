#include "tests/peer_site.h"

#include <stdlib.h>
#include <string.h>

enum {
	SETTLE_MS = 2500, /* until all daemons know each other */
	LOST_MS = 4000,	  /* by then the daemon knows that it is cut */
};
const char *const peer_model =
    "Model: m1\r\nToken-Usage: 100,80\r\nDeadline-Remaining: 5000\r\n";
const char *const peer_brief = "Deadline-Remaining: 1900\r\n";

static bool
is_lost(void *arg)
{
	fixture_t *st = arg;

	caller_free(
	    caller_expect(st, 200, "GET", "/safe/a", "warm", peer_brief));
	return fixture_counter(st, 0, "ebonypitch_reach_lost_total") >= 2;
}

peer_site_t
peer_site_uncut(ms_t plain_ms, const fake_endpoint_opts_t *llm)
{
	fake_endpoint_opts_t app = { .plain_ms = plain_ms };
	peer_site_t t = { .st = fixture_new() };
	int i;

	t.links = links_new(t.st);
	fixture_put_config(t.st, "");
	for (i = 0; i < PEER_APPS; i++)
		fixture_add_endpoint(t.st, &app, "app");
	for (i = 0; i < 2; i++)
		fixture_add_endpoint(t.st, llm, "llm");
	for (i = 0; i < PEER_DAEMONS; i++)
		fixture_start_daemon(t.st, i, true);
	fixture_run(t.st, SETTLE_MS);
	return t;
}

peer_site_t
peer_site_with(ms_t plain_ms, const fake_endpoint_opts_t *llm)
{
	peer_site_t t = peer_site_uncut(plain_ms, llm);
	caller_t *c;

	links_set(t.links, 0, LINK_RESET);
	c = caller_expect(t.st, 200, "POST", "/gen/a", "warm-gen", peer_model);
	caller_free(c);
	g_assert_true(fixture_run_until(t.st, is_lost, t.st, LOST_MS));
	return t;
}

peer_site_t
peer_site_new(ms_t plain_ms)
{
	fake_endpoint_opts_t llm = { .model = "m1",
		.events = PEER_EVENTS,
		.event_gap = PEER_EVENT_GAP_MS,
		.adapter_slots = 4 };

	return peer_site_with(plain_ms, &llm);
}

void
peer_site_free(peer_site_t *t)
{
	fixture_stop_daemons(t->st);
	links_free(t->links);
	fixture_free(t->st);
}

const executed_call_t *
run_of(const fixture_t *st, const char *id)
{
	const executed_call_t *found = NULL;
	int i;
	guint k;

	for (i = 0; i < st->nendpoint; i++) {
		const GPtrArray *x = fake_endpoint_executed(st->endpoint[i]);

		for (k = 0; k < x->len; k++) {
			const executed_call_t *r = x->pdata[k];

			if (strcmp(r->id, id) != 0)
				continue;
			g_assert_null(found);
			found = r;
		}
	}
	return found;
}

int
arrivals_since(const fixture_t *st, int endpoint, ms_t from)
{
	const GArray *a = fake_endpoint_arrivals(st->endpoint[endpoint]);
	int n = 0;
	guint i;

	for (i = 0; i < a->len; i++)
		n += g_array_index(a, ms_t, i) >= from;
	return n;
}

int64_t
taken_by(fixture_t *st, int daemon)
{
	return fixture_counter(st, daemon, "ebonypitch_calls_taken_over_total");
}

int
send_through(fixture_t *st, const char *method, const char *path,
    const char *id, const char *headers, caller_t **c)
{
	int64_t before = taken_by(st, 1);

	*c = caller_call(st, 0, method, path, id, headers);
	fixture_run(st, PEER_EVENTS * PEER_EVENT_GAP_MS / 4);
	return taken_by(st, 1) > before ? 1 : 2;
}

void
assert_all_events(const caller_t *c)
{
	GString *want = g_string_new(NULL);
	char *body = client_request_body(c);
	int i;

	for (i = 1; i <= PEER_EVENTS; i++)
		g_string_append_printf(
		    want, "id: %d\ndata: token %d\n\n", i, i);
	g_assert_cmpstr(body, ==, want->str);
	g_string_free(want, TRUE);
	g_free(body);
}

bool
left_has_run(void *arg)
{
	return run_of(arg, "left") != NULL;
}
