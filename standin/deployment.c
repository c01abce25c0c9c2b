/*
 * Runs a deployment's store, endpoints and callers; tools/demo starts its
 * daemons.
 */
#include "standin/environment.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

enum {
	TURN_MS = 20,	  /* longest wait for events */
	READY_MS = 20000, /* for all daemons, on a busy machine */
};

typedef struct cli_opts {
	char *dir, *name, *sizes, *ports;
	int seconds;
} cli_opts_t;

static volatile sig_atomic_t stop;

static void
on_stop(int sig)
{
	(void)sig;
	stop = 1;
}

static int
print_result(const environment_t *env, const loadgen_result_t *r)
{
	int over = environment_overcommits(env);
	bool good = r->cut + r->lost + r->mismatched + r->doubled +
			    r->ran_refused + over ==
			0 &&
		    r->served > 0;

	printf("calls %d  served %d  refused %d  failed %d  retried %d\n",
	    r->calls, r->served, r->refused, r->failed, r->retried);
	printf("must be 0: cut %d  lost %d  mismatched %d  doubled %d  "
	       "ran but refused %d  over memory %d\n",
	    r->cut, r->lost, r->mismatched, r->doubled, r->ran_refused, over);
	printf("first event or answer: p50 %" PRId64 " ms  p99 %" PRId64
	       " ms; whole p99 %" PRId64 " ms; orders %d\n",
	    histo_quantile(&r->first, 0.5), histo_quantile(&r->first, 0.99),
	    histo_quantile(&r->whole, 0.99), environment_orders(env));
	printf("load: %s\n", good ? "good" : "BAD");
	return good ? 0 : 1;
}

static int
run_load(environment_t *env, int seconds)
{
	loadgen_opts_t o = { .span = (ms_t)seconds * 1000 };
	loadgen_result_t r;

	environment_load_opts(env, &o);
	loadgen_run(&o, &r);
	return print_result(env, &r);
}

static void
options(cli_opts_t *c, int argc, char **argv)
{
	const GOptionEntry entry[] = {
		{ "dir", 0, 0, G_OPTION_ARG_STRING, &c->dir,
		    "directory for the daemons' settings", "DIR" },
		{ "sizes", 0, 0, G_OPTION_ARG_STRING, &c->sizes,
		    "file with the sizes of the deployment", "FILE" },
		{ "name", 0, 0, G_OPTION_ARG_STRING, &c->name,
		    "name of the deployment", "NAME" },
		{ "ports", 0, 0, G_OPTION_ARG_STRING, &c->ports,
		    "free ports, for the store and each endpoint", "P,P,..." },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &c->seconds,
		    "duration of the load; 0: none, run until a signal", "N" },
		{ NULL, 0, 0, 0, NULL, NULL, NULL },
	};
	GOptionContext *x =
	    g_option_context_new("- store, endpoints and callers");
	GError *e = NULL;

	g_option_context_add_main_entries(x, entry, NULL);
	if (!g_option_context_parse(x, &argc, &argv, &e) || c->dir == NULL ||
	    c->sizes == NULL || c->name == NULL || c->ports == NULL) {
		fprintf(stderr, "standin-deployment: %s\n",
		    e != NULL ? e->message
			      : "--dir, --sizes, --name and --ports are "
				"required");
		exit(2);
	}
	g_option_context_free(x);
}

int
main(int argc, char **argv)
{
	cli_opts_t c = { 0 };
	environment_t *env;
	ms_t until;
	int rc = 0;

	options(&c, argc, argv);
	signal(SIGTERM, on_stop);
	signal(SIGINT, on_stop);
	env = environment_new(&(environment_opts_t){
	    .name = c.name, .sizes = c.sizes, .dir = c.dir, .ports = c.ports });
	printf("%d engines, %d plain endpoints, store at %s\n",
	    env->sizes.engines, env->sizes.plain, env->store_addr);
	fflush(stdout);
	until = env->loop.now + READY_MS;
	while (!stop && !environment_ready(env) && env->loop.now < until)
		loop_turn(&env->loop, TURN_MS);
	if (!environment_ready(env)) {
		printf(
		    "not all of %d daemons became ready\n", env->sizes.daemons);
		return 1;
	}
	printf("%d daemons are ready\n", env->sizes.daemons);
	fflush(stdout);
	if (c.seconds > 0)
		rc = run_load(env, c.seconds);
	fflush(stdout);
	while (!stop)
		loop_turn(&env->loop, TURN_MS);
	environment_free(env);
	return rc;
}
