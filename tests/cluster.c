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
bed_start(bed_t *b, int i)
{
	proc_kill(b->daemon[i]);
	b->daemon[i] = proc_start(
	    "ebonypitchd", "--settings", b->ground->settings[i], NULL);
}

bed_t *
bed_new(const char *more)
{
	bed_t *b = g_new0(bed_t, 1);
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
	b->ground = ground_new(
	    &(ground_opts_t){ "crowd", b->sizes, b->dir, ports->str });
	g_string_free(ports, TRUE);
	for (i = 0; i < b->ground->z.daemons; i++)
		bed_start(b, i);
	until = clock_now(&machine_clock) + READY_MS;
	while (!ground_ready(b->ground) && clock_now(&machine_clock) < until)
		loop_turn(&b->ground->loop, TURN_MS);
	g_assert_true(ground_ready(b->ground));
	return b;
}

void
bed_free(bed_t *b)
{
	char *list = g_build_filename(b->dir, "daemons", NULL);
	int i;

	for (i = 0; i < b->ground->z.daemons; i++) {
		proc_kill(b->daemon[i]);
		g_remove(b->ground->settings[i]);
	}
	ground_free(b->ground);
	g_remove(list);
	g_remove(b->sizes);
	g_rmdir(b->dir);
	g_free(list);
	g_free(b->sizes);
	g_free(b->dir);
	g_free(b);
}

void
bed_call(bed_t *b, ms_t span, void (*turn)(void *arg, ms_t since), void *arg)
{
	loadgen_opts_t o = {
		.span = span, .rate = rate, .turn = turn, .arg = arg
	};
	const loadgen_result_t *r = &b->r;

	ground_load(b->ground, &o);
	loadgen_run(&o, &b->r);
	g_test_message("calls %d served %d refused %d failed %d cut %d lost %d "
		       "again %d orders %d starved %d of %d",
	    r->calls, r->served, r->refused, r->failed, r->cut, r->lost,
	    r->retried, ground_orders(b->ground), r->starved, r->popular);
	g_assert_cmpint(r->calls, >, (int)(rate * (double)span / 1000 / 2));
	g_assert_cmpint(r->mismatched, ==, 0);
	g_assert_cmpint(r->doubled, ==, 0);
	g_assert_cmpint(r->ran_refused, ==, 0);
	g_assert_cmpint(ground_over(b->ground), ==, 0);
}
