#include "tests/cut_site.h"

#include <stdlib.h>
#include <string.h>

enum {
	CALL_GAP_MS = 12,
	ANSWER_MS = 3000,
	SETTLE_MS = 800, /* until all daemons know each other */
};

site_t *
site_new(int ndaemon, int nendpoint, ms_t plain_ms)
{
	return site_new_of(ndaemon, nendpoint, plain_ms, NULL, 0);
}

site_t *
site_new_of(
    int ndaemon, int nendpoint, ms_t plain_ms, const char *old, int nold)
{
	site_t *t = g_new0(site_t, 1);
	fake_endpoint_opts_t app = { .plain_ms = plain_ms };
	int i;

	t->st = fixture_new();
	t->links = links_new(t->st);
	fixture_put_config(t->st, "");
	for (i = 0; i < nendpoint; i++)
		fixture_add_endpoint(t->st, &app, "app");
	for (i = 0; i < ndaemon; i++) {
		t->st->program[i] = i < nold ? old : NULL;
		fixture_start_daemon(t->st, i, true);
	}
	t->calls = g_ptr_array_new();
	t->to = g_array_new(FALSE, FALSE, sizeof(int));
	t->safe = g_array_new(FALSE, FALSE, sizeof(bool));
	t->ndaemon = ndaemon;
	fixture_run(t->st, SETTLE_MS);
	return t;
}

void
site_free(site_t *t)
{
	guint i;

	for (i = 0; i < t->calls->len; i++)
		caller_free(t->calls->pdata[i]);
	g_ptr_array_free(t->calls, TRUE);
	g_array_free(t->to, TRUE);
	g_array_free(t->safe, TRUE);
	fixture_stop_daemons(t->st);
	links_free(t->links);
	fixture_free(t->st);
	g_free(t);
}

static void
send_call(site_t *t, int daemon, bool safe)
{
	char id[32];

	snprintf(id, sizeof(id), "c%d", t->n++);
	g_ptr_array_add(
	    t->calls, caller_call(t->st, daemon, safe ? "GET" : "POST",
			  safe ? "/safe/a" : "/once/a", id,
			  "Deadline-Remaining: 1900\r\n"));
	g_array_append_val(t->to, daemon);
	g_array_append_val(t->safe, safe);
}

void
site_run(site_t *t, ms_t span)
{
	ms_t now = clock_now(&machine_clock), end = now + span, next = now;

	for (; now < end; now = clock_now(&machine_clock)) {
		if (now >= next) {
			send_call(
			    t, t->n % t->ndaemon, t->n / t->ndaemon % 2 == 0);
			next += CALL_GAP_MS;
		}
		loop_turn(&t->st->loop, 3);
	}
}

int
runs_of(const fixture_t *st, const char *id)
{
	int i, n = 0;
	guint k;

	for (i = 0; i < st->nendpoint; i++) {
		const GPtrArray *x = fake_endpoint_executed(st->endpoint[i]);

		for (k = 0; k < x->len; k++)
			n += strcmp(((executed_call_t *)x->pdata[k])->id, id) ==
			     0;
	}
	return n;
}

void
site_check_promises(site_t *t)
{
	char id[32];
	guint i;

	for (i = 0; i < t->calls->len; i++) {
		const caller_t *c = t->calls->pdata[i];

		caller_wait(t->calls->pdata[i], ANSWER_MS);
		if (g_array_index(t->safe, bool, i))
			continue;
		snprintf(id, sizeof(id), "c%u", i);
		g_assert_cmpint(runs_of(t->st, id), <=, 1);
		if (c->done && c->status == 503)
			g_assert_cmpint(runs_of(t->st, id), ==, 0);
		if (c->done && c->status == 200)
			g_assert_cmpint(runs_of(t->st, id), ==, 1);
	}
}

typedef struct share {
	int sent, served;
} share_t;

static share_t
share_of(site_t *t, int daemon, ms_t from, ms_t to)
{
	share_t s = { 0 };
	guint i;

	for (i = 0; i < t->calls->len; i++) {
		const caller_t *c = t->calls->pdata[i];

		if (g_array_index(t->to, int, i) != daemon ||
		    c->started_at < from || c->started_at >= to)
			continue;
		caller_wait(t->calls->pdata[i], ANSWER_MS);
		s.sent++;
		s.served += c->done && c->status == 200;
	}
	return s;
}

void
site_check_served(site_t *t, ms_t from, ms_t to)
{
	share_t s;
	int i;

	for (i = 0; i < t->ndaemon; i++) {
		s = share_of(t, i, from, to);
		g_test_message(
		    "daemon %d: %d of %d served", i, s.served, s.sent);
		g_assert_cmpint(s.sent, >, 10);
		g_assert_cmpint(s.sent - s.served, <=, 1 + s.sent / 50);
	}
}

void
site_cut(site_t *t, int ncut, link_state_t how)
{
	int i;

	for (i = 0; i < ncut; i++)
		links_set(t->links, i, how);
}
