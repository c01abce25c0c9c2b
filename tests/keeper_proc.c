/*
 * Where instances are many, a call asks the instance that keeps an endpoint's
 * load before it is sent there: real daemons, some of which fail meanwhile.
 */
#include "tests/cluster.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

enum {
	RUN_MS = 9000,
	FAULT_AT_MS = 3000,
	FAULT_MS = 2500,
	DAEMONS = 18,
	FAILED = 6, /* daemons */
	PAGE_MS = 2000,
};
static const char sizes[] = "domains = a b c\ndaemons = 18\nengines = 8\n";

typedef struct run {
	cluster_t *cluster;
	int begin, end; /* signals; end 0: the daemons start again */
	bool begun, ended;
} run_t;

/* The sum of a counter over the daemons that answer. */
static int64_t
counter_sum(const cluster_t *cluster, const char *counter)
{
	const environment_t *env = cluster->env;
	char *line = g_strdup_printf("\n%s ", counter), *at;
	char addr[ADDR_MAX];
	int64_t sum = 0;
	int i;

	for (i = 0; i < env->sizes.daemons; i++) {
		reply_t r;

		snprintf(addr, sizeof(addr), "%.*s:9464",
		    (int)strcspn(env->caller[i], ":"), env->caller[i]);
		r = http_call("GET", addr, "/metrics", NULL, NULL, PAGE_MS);
		at = strstr(r.body, line);
		if (at != NULL)
			sum += strtoll(at + strlen(line), NULL, 10);
		reply_clear(&r);
	}
	g_free(line);
	return sum;
}

static void
fail_some(void *arg, ms_t since)
{
	run_t *r = arg;
	int i;

	if (!r->begun && r->begin != 0 && since >= FAULT_AT_MS) {
		r->begun = true;
		for (i = 0; i < FAILED; i++)
			proc_signal(r->cluster->daemon[i * 3], r->begin);
	}
	if (!r->ended && r->begun && since >= FAULT_AT_MS + FAULT_MS) {
		r->ended = true;
		for (i = 0; i < FAILED; i++)
			if (r->end != 0)
				proc_signal(r->cluster->daemon[i * 3], r->end);
			else
				cluster_start_daemon(r->cluster, i * 3);
	}
}

static cluster_t *
run(int begin, int end)
{
	run_t r = { .cluster = cluster_new(sizes), .begin = begin, .end = end };

	cluster_run_load(r.cluster, RUN_MS, fail_some, &r);
	return r.cluster;
}

/* Guards against calls that aren't granted although endpoints are free. */
static void
calls_are_granted(void)
{
	cluster_t *c = run(0, 0);
	int64_t granted, unanswered;

	granted = counter_sum(c, "ebonypitch_asks_total{result=\"granted\"}");
	unanswered =
	    counter_sum(c, "ebonypitch_asks_total{result=\"unanswered\"}");
	g_test_message(
	    "granted %d unanswered %d", (int)granted, (int)unanswered);
	g_assert_cmpint(granted, >=, c->result.calls / 2);
	g_assert_cmpint(unanswered, <=, c->result.calls / 50);
	g_assert_cmpfloat(c->result.served, >=, 0.98 * c->result.calls);
	cluster_free(c);
}

/* Guards against calls that wait for instances that have gone. */
static void
keepers_are_killed(void)
{
	cluster_t *c = run(SIGKILL, 0);

	g_assert_cmpfloat(c->result.served, >=, 0.85 * c->result.calls);
	cluster_free(c);
}

/* Guards against calls that wait for instances that stand still. */
static void
keepers_are_frozen(void)
{
	cluster_t *c = run(SIGSTOP, SIGCONT);

	g_assert_cmpfloat(c->result.served, >=, 0.8 * c->result.calls);
	cluster_free(c);
}

/* Guards against calls lost at a keeper that stops in an orderly way. */
static void
keepers_are_stopped(void)
{
	cluster_t *c = run(SIGTERM, 0);

	g_assert_cmpfloat(c->result.served, >=, 0.95 * c->result.calls);
	g_assert_cmpint(c->result.cut, ==, 0);
	g_assert_cmpint(c->result.lost, ==, 0);
	cluster_free(c);
}

#define T(name) g_test_add_func("/keeper-proc/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(calls_are_granted);
	T(keepers_are_killed);
	T(keepers_are_frozen);
	T(keepers_are_stopped);
	return g_test_run();
}
