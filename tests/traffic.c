#include "tests/traffic.h"

#include <stdlib.h>

enum {
	CALL_GAP_MS = 25,
	ANSWER_MS = 3000,
};

traffic_t *
traffic_new(int nendpoint, int ndaemon)
{
	traffic_t *t = g_new0(traffic_t, 1);
	fake_endpoint_opts_t app = { .plain_ms = 20 };
	int i;

	t->st = fixture_new();
	fixture_put_config(t->st, "");
	for (i = 0; i < nendpoint; i++)
		fixture_add_endpoint(t->st, &app, "app");
	for (i = 0; i < ndaemon; i++)
		fixture_start_daemon(t->st, i, true);
	t->calls = g_ptr_array_new();
	t->daemons = ndaemon;
	return t;
}

void
traffic_free(traffic_t *t)
{
	caller_list_free(t->calls);
	fixture_free(t->st);
	g_free(t);
}

void
traffic_run(traffic_t *t, ms_t span)
{
	ms_t now = clock_now(&machine_clock), end = now + span, next = now;
	char id[32];

	for (; now < end; now = clock_now(&machine_clock)) {
		if (now >= next) {
			snprintf(id, sizeof(id), "r%d", t->n);
			g_ptr_array_add(t->calls,
			    caller_call(t->st,
				t->first + t->n++ % (t->daemons - t->first),
				"GET", "/safe/a", id,
				"Deadline-Remaining: 1900\r\n"));
			next += CALL_GAP_MS;
		}
		loop_turn(&t->st->loop, 5);
	}
}

int
arrivals(const fixture_t *st, int endpoint, ms_t from, ms_t to)
{
	const GArray *a = fake_endpoint_arrivals(st->endpoint[endpoint]);
	guint i;
	int n = 0;

	for (i = 0; i < a->len; i++)
		n += g_array_index(a, ms_t, i) >= from &&
		     g_array_index(a, ms_t, i) < to;
	return n;
}

int
count_unserved(traffic_t *t, guint from)
{
	guint i;
	int n = 0;

	for (i = from; i < t->calls->len; i++) {
		caller_t *c = t->calls->pdata[i];

		caller_wait(c, ANSWER_MS);
		n += !c->done || c->status != 200;
	}
	return n;
}
