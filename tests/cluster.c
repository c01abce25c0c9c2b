#include "tests/cluster.h"
#include "standin/daemon_settings.h"

#include <glib/gstdio.h>

enum {
	READY_MS = 15000, /* for four daemons on a busy machine */
	TURN_MS = 20,
	PORTS = 16,
};
static const double rate = 60; /* calls per second, as in sizes_text */

static const char sizes_text[] =
    "[deployment]\ndomains = north south\ndaemons = 4\nengines = 6\nplain = 3\n"
    "models = 8\nadapters = 3\nweights_mb = 200000\nadapter_slots = 4\n"
    "model_mb = 65000\nadapter_mb = 60\nload_ms = 600\nloads_per_s = 3\n"
    "slots = 32\nevents = 8\ngap_ms = 15\nplain_ms = 40\nrate = 60\n";

void
cluster_start_daemon(cluster_t *cluster, int i)
{
	if (cluster->daemon[i] != NULL)
		daemon_settings_end_bootstrap(cluster->env->settings[i]);
	proc_kill(cluster->daemon[i]);
	cluster->daemon[i] = proc_start(
	    cluster->program[i] != NULL ? cluster->program[i] : "ebonypitchd",
	    "--settings", cluster->env->settings[i], NULL);
}

cluster_t *
cluster_new(const char *more)
{
	return cluster_new_of(more, NULL);
}

cluster_t *
cluster_new_of(const char *more, const char *program)
{
	cluster_t *cluster = g_new0(cluster_t, 1);
	GString *ports = g_string_new(NULL);
	int port[PORTS], i;
	ms_t until;
	char *text;

	cluster->dir = g_dir_make_tmp("cluster-XXXXXX", NULL);
	cluster->sizes = g_build_filename(cluster->dir, "sizes.ini", NULL);
	text = g_strconcat(sizes_text, more, NULL);
	g_file_set_contents(cluster->sizes, text, -1, NULL);
	g_free(text);
	ports_take(port, PORTS);
	for (i = 0; i < PORTS; i++)
		g_string_append_printf(
		    ports, "%s%d", i > 0 ? "," : "", port[i]);
	cluster->env = environment_new(&(environment_opts_t){ .name = "cluster",
	    .sizes = cluster->sizes,
	    .dir = cluster->dir,
	    .ports = ports->str,
	    .bootstrap = true });
	g_string_free(ports, TRUE);
	for (i = 0; i < cluster->env->sizes.daemons; i++) {
		cluster->program[i] = program;
		cluster_start_daemon(cluster, i);
	}
	until = clock_now(&machine_clock) + READY_MS;
	while (!environment_ready(cluster->env) &&
	       clock_now(&machine_clock) < until)
		loop_turn(&cluster->env->loop, TURN_MS);
	g_assert_true(environment_ready(cluster->env));
	return cluster;
}

void
cluster_free(cluster_t *cluster)
{
	char *list = g_build_filename(cluster->dir, "daemons", NULL);
	int i;

	for (i = 0; i < cluster->env->sizes.daemons; i++) {
		proc_kill(cluster->daemon[i]);
		g_remove(cluster->env->settings[i]);
	}
	environment_free(cluster->env);
	g_remove(list);
	g_remove(cluster->sizes);
	g_rmdir(cluster->dir);
	g_free(list);
	g_free(cluster->sizes);
	g_free(cluster->dir);
	g_free(cluster);
}

void
cluster_run_load(cluster_t *cluster, ms_t span,
    void (*turn)(void *arg, ms_t since), void *arg)
{
	loadgen_opts_t o = {
		.span = span,
		.rate = rate,
		.seed = CLUSTER_SEED,
		.turn = turn,
		.arg = arg,
	};
	const loadgen_result_t *r = &cluster->result;

	environment_load_opts(cluster->env, &o);
	loadgen_run(&o, &cluster->result);
	g_test_message("seed %d calls %d served %d refused %d failed %d cut %d "
		       "lost %d retried %d orders %d starved %d of %d",
	    CLUSTER_SEED, r->calls, r->served, r->refused, r->failed, r->cut,
	    r->lost, r->retried, environment_orders(cluster->env), r->starved,
	    r->popular);
	g_test_message("streams %d begun %d resumed %d went on %d of several "
		       "versions %d",
	    r->streams, r->begun, r->resumed, r->resumed_served,
	    r->mixed_versions);
	g_assert_cmpint(r->calls, >, (int)(rate * (double)span / 1000 / 2));
	g_assert_cmpint(r->mismatched, ==, 0);
	g_assert_cmpint(r->doubled, ==, 0);
	g_assert_cmpint(r->ran_refused, ==, 0);
	g_assert_cmpint(r->mixed_versions, ==, 0);
	g_assert_cmpint(environment_overcommits(cluster->env), ==, 0);
}
