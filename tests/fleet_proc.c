/*
 * What instances report to each other where they are so many that one of each
 * failure domain passes it on.
 */
#include "tests/cluster.h"

#include <stdlib.h>
#include <string.h>

enum {
	RUN_MS = 12000,
	FAULT_AT_MS = 3000,
	CRASH_MS = 1000,     /* until an endpoint is back */
	STABILITY_MS = 3000, /* stability_window_ms of the daemons' settings */
	CRASHES_FREE = 5,    /* the bound holds from the fifth crash on */
	CRASHING_CALLS_MAX = 3, /* that reach endpoints from then on */
	PAGE_MS = 2000,
};
static const char sizes[] = "domains = a b c\ndaemons = 18\nengines = 8\n";
static const uint64_t crashing_part = LOADGEN_SUBJECT;

typedef struct run {
	cluster_t *cluster;
	ms_t fifth_crash; /* 0: not yet */
	bool begun;
} run_t;

/* Daemons on which a gauge has the value. */
static int
daemons_with(const cluster_t *cluster, const char *gauge, int64_t value)
{
	const environment_t *env = cluster->env;
	char *line = g_strdup_printf("\n%s %" PRId64 "\n", gauge, value);
	char addr[ADDR_MAX];
	int i, n = 0;

	for (i = 0; i < env->sizes.daemons; i++) {
		reply_t r;

		snprintf(addr, sizeof(addr), "%.*s:9464",
		    (int)strcspn(env->caller[i], ":"), env->caller[i]);
		r = http_call("GET", addr, "/metrics", NULL, NULL, PAGE_MS);
		n += strstr(r.body, line) != NULL;
		reply_clear(&r);
	}
	g_free(line);
	return n;
}

static void
crash_part_turn(void *arg, ms_t since)
{
	run_t *r = arg;
	environment_t *env = r->cluster->env;
	int i, n = 0;

	if (!r->begun && since >= FAULT_AT_MS) {
		r->begun = true;
		for (i = 0; i < env->nendpoint; i++)
			fake_endpoint_set_crash_part(
			    env->endpoint[i], crashing_part, CRASH_MS);
	}
	for (i = 0; i < env->nendpoint; i++)
		n += fake_endpoint_crashes(env->endpoint[i]);
	if (r->fifth_crash == 0 && n >= CRASHES_FREE)
		r->fifth_crash = env->loop.now;
}

static int
crashing_arrivals(const environment_t *env, ms_t from)
{
	int i, n = 0;
	guint k;

	for (i = 0; i < env->nendpoint; i++) {
		const GPtrArray *list =
		    fake_endpoint_executed(env->endpoint[i]);

		for (k = 0; k < list->len; k++) {
			const executed_call_t *e = list->pdata[k];

			n += e->at >= from &&
			     fake_endpoint_has_part(e, crashing_part);
		}
	}
	return n;
}

/* Guards against domains that don't learn which part crashes endpoints. */
static void
part_is_blamed_in_every_domain(void)
{
	run_t r = { .cluster = cluster_new(sizes) };

	cluster_run_load(r.cluster, RUN_MS, crash_part_turn, &r);
	g_assert_cmpint(
	    daemons_with(r.cluster, "ebonypitch_prompt_parts_blamed", 1), ==,
	    r.cluster->env->sizes.daemons);
	if (r.fifth_crash != 0)
		g_assert_cmpint(crashing_arrivals(r.cluster->env,
				    r.fifth_crash + STABILITY_MS),
		    <=, CRASHING_CALLS_MAX);
	cluster_free(r.cluster);
}

static void
limit_turn(void *arg, ms_t since)
{
	run_t *r = arg;

	if (r->begun || since < FAULT_AT_MS)
		return;
	r->begun = true;
	fake_endpoint_set_limit(r->cluster->env->endpoint[0], "0.5");
}

/* Guards against domains that don't learn of an endpoint's limit. */
static void
limit_is_known_in_every_domain(void)
{
	run_t r = { .cluster = cluster_new(sizes) };

	cluster_run_load(r.cluster, RUN_MS, limit_turn, &r);
	g_assert_cmpint(
	    daemons_with(r.cluster, "ebonypitch_endpoints_limited", 1), ==,
	    r.cluster->env->sizes.daemons);
	cluster_free(r.cluster);
}

#define T(name) g_test_add_func("/fleet/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(part_is_blamed_in_every_domain);
	T(limit_is_known_in_every_domain);
	return g_test_run();
}
