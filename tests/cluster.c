#include "tests/cluster.h"

#include <glib/gstdio.h>

enum {
	READY_MS = 15000, /* four daemons on a busy machine */
	TURN_MS = 20,
	PORTS = 16,
};
static const double rate = 60;

static const char sizes_text[] =
    "[deployment]\ndomains = north south\ndaemons = 4\nengines = 6\nplain = 3\n"
    "models = 8\nadapters = 3\nweights_mb = 200000\nadapter_slots = 4\n"
    "model_mb = 65000\nadapter_mb = 60\nload_ms = 600\nloads_per_s = 3\n"
    "slots = 32\nevents = 8\ngap_ms = 15\nplain_ms = 40\nrate = 60\n";

void
cluster_start_daemon(cluster_t *b, int i)
{
	proc_kill(b->daemon[i]);
	b->daemon[i] =
	    proc_start("ebonypitchd", "--settings", b->env->settings[i], NULL);
}

cluster_t *
cluster_new(const char *more)
{
	cluster_t *b = g_new0(cluster_t, 1);
	GString *ports = g_string_new(NULL);
	int port[PORTS], i;
	ms_t until;
	char *text;

	b->dir = g_dir_make_tmp("crowd-XXXXXX", NULL);
	b->sizes = g_build_filename(b->dir, "sizes.ini", NULL);
	text = g_strconcat(sizes_text, more, NULL);
	g_file_set_contents(b->sizes, text, -1, NULL);
	g_free(text);
	ports_take(port, PORTS);
	for (i = 0; i < PORTS; i++)
		g_string_append_printf(
		    ports, "%s%d", i > 0 ? "," : "", port[i]);
	b->env = environment_new(
	    &(environment_opts_t){ "crowd", b->sizes, b->dir, ports->str });
	g_string_free(ports, TRUE);
	for (i = 0; i < b->env->sizes.daemons; i++)
		cluster_start_daemon(b, i);
	until = clock_now(&machine_clock) + READY_MS;
	while (!environment_ready(b->env) && clock_now(&machine_clock) < until)
		loop_turn(&b->env->loop, TURN_MS);
	g_assert_true(environment_ready(b->env));
	return b;
}

void
cluster_free(cluster_t *b)
{
	char *list = g_build_filename(b->dir, "daemons", NULL);
	int i;

	for (i = 0; i < b->env->sizes.daemons; i++) {
		proc_kill(b->daemon[i]);
		g_remove(b->env->settings[i]);
	}
	environment_free(b->env);
	g_remove(list);
	g_remove(b->sizes);
	g_rmdir(b->dir);
	g_free(list);
	g_free(b->sizes);
	g_free(b->dir);
	g_free(b);
}

void
cluster_run_load(
    cluster_t *b, ms_t span, void (*turn)(void *arg, ms_t since), void *arg)
{
	loadgen_opts_t o = {
		.span = span, .rate = rate, .turn = turn, .arg = arg
	};
	const loadgen_result_t *r = &b->result;

	environment_load_opts(b->env, &o);
	loadgen_run(&o, &b->result);
	g_test_message("calls %d served %d refused %d failed %d cut %d lost %d "
		       "again %d orders %d starved %d of %d",
	    r->calls, r->served, r->refused, r->failed, r->cut, r->lost,
	    r->retried, environment_orders(b->env), r->starved, r->popular);
	g_assert_cmpint(r->calls, >, (int)(rate * (double)span / 1000 / 2));
	g_assert_cmpint(r->mismatched, ==, 0);
	g_assert_cmpint(r->doubled, ==, 0);
	g_assert_cmpint(r->ran_refused, ==, 0);
	g_assert_cmpint(environment_overcommits(b->env), ==, 0);
}
