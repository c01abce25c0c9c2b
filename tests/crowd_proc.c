/*
 * Callers of a small deployment while one thing after the other fails: what
 * they were told against what the endpoints ran.
 */
#include "standin/ground.h"
#include "tests/proc.h"

#include <signal.h>
#include <string.h>
#include <glib/gstdio.h>

enum {
	READY_MS = 15000, /* four daemons on a busy machine */
	SPAN_MS = 9000,
	AT_MS = 2500,  /* the fault begins ... */
	FOR_MS = 2500, /* ... and ends */
	TURN_MS = 20,
	PORTS = 16,
	END_MS = 9000, /* a daemon's grace, and some */
};
static const double rate = 60;

static const char sizes_text[] =
    "[yard]\ndomains = north south\ndaemons = 4\nengines = 6\nplain = 3\n"
    "models = 8\nadapters = 3\nweights_mb = 200000\nadapter_slots = 4\n"
    "model_mb = 65000\nadapter_mb = 60\nload_ms = 600\nloads_per_s = 3\n"
    "slots = 32\nevents = 8\ngap_ms = 15\nplain_ms = 40\nrate = 60\n";

typedef struct bed {
	char *dir, *sizes;
	ground_t *ground;
	proc_t *daemon[DAEMONS];
	void (*begin)(struct bed *b), (*end)(struct bed *b);
	bool begun, ended;
	crowd_result_t r;
} bed_t;

static void
start(bed_t *b, int i)
{
	proc_kill(b->daemon[i]);
	b->daemon[i] = proc_start(
	    "ebonypitchd", "--settings", b->ground->settings[i], NULL);
}

static bed_t *
set_up(void)
{
	bed_t *b = g_new0(bed_t, 1);
	GString *ports = g_string_new(NULL);
	int port[PORTS], i;
	ms_t until;

	b->dir = g_dir_make_tmp("crowd-XXXXXX", NULL);
	b->sizes = g_build_filename(b->dir, "sizes.ini", NULL);
	g_file_set_contents(b->sizes, sizes_text, -1, NULL);
	ports_take(port, PORTS);
	for (i = 0; i < PORTS; i++)
		g_string_append_printf(
		    ports, "%s%d", i > 0 ? "," : "", port[i]);
	b->ground = ground_new(
	    &(ground_opts_t){ "crowd", b->sizes, b->dir, ports->str });
	g_string_free(ports, TRUE);
	for (i = 0; i < b->ground->z.daemons; i++)
		start(b, i);
	until = clock_now(&machine_clock) + READY_MS;
	while (!ground_ready(b->ground) && clock_now(&machine_clock) < until)
		loop_turn(&b->ground->loop, TURN_MS);
	g_assert_true(ground_ready(b->ground));
	return b;
}

static void
tear_down(bed_t *b)
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

static void
turn(void *arg, ms_t since)
{
	bed_t *b = arg;

	if (!b->begun && since >= AT_MS) {
		b->begun = true;
		if (b->begin != NULL)
			b->begin(b);
	}
	if (!b->ended && since >= AT_MS + FOR_MS) {
		b->ended = true;
		if (b->end != NULL)
			b->end(b);
	}
}

/* What holds whatever fails. */
static void
call_all(bed_t *b)
{
	crowd_opts_t o = {
		.span = SPAN_MS, .rate = rate, .turn = turn, .arg = b
	};
	const crowd_result_t *r = &b->r;

	ground_load(b->ground, &o);
	crowd_run(&o, &b->r);
	g_test_message("calls %d served %d refused %d failed %d cut %d lost %d "
		       "again %d orders %d",
	    r->calls, r->served, r->refused, r->failed, r->cut, r->lost,
	    r->again, ground_orders(b->ground));
	g_assert_cmpint(r->calls, >, (int)(rate * SPAN_MS / 1000 / 2));
	g_assert_cmpint(r->mixed, ==, 0);
	g_assert_cmpint(r->doubled, ==, 0);
	g_assert_cmpint(r->untrue, ==, 0);
	g_assert_cmpint(ground_over(b->ground), ==, 0);
}

/* What holds too where no process of ours is lost. */
static void
none_lost(const bed_t *b)
{
	g_assert_cmpint(b->r.cut, ==, 0);
	g_assert_cmpint(b->r.lost, ==, 0);
}

static void
served_at_least(const bed_t *b, double part)
{
	g_assert_cmpfloat(b->r.served, >=, part * b->r.calls);
}

static void
nothing_fails(void)
{
	bed_t *b = set_up();

	call_all(b);
	none_lost(b);
	g_assert_cmpint(b->r.failed, ==, 0);
	served_at_least(b, 0.98);
	tear_down(b);
}

static void
kill_one(bed_t *b)
{
	proc_signal(b->daemon[1], SIGKILL);
}

static void
start_one(bed_t *b)
{
	start(b, 1);
}

static void
daemon_is_killed(void)
{
	bed_t *b = set_up();

	b->begin = kill_one;
	b->end = start_one;
	call_all(b);
	/* Lost is what was open there, some 100 ms of its calls. */
	served_at_least(b, 0.9);
	tear_down(b);
}

static void
kill_all(bed_t *b)
{
	int i;

	for (i = 0; i < b->ground->z.daemons; i++)
		proc_signal(b->daemon[i], SIGKILL);
}

static void
start_all(bed_t *b)
{
	int i;

	for (i = 0; i < b->ground->z.daemons; i++)
		start(b, i);
}

static void
all_daemons_are_killed(void)
{
	bed_t *b = set_up();

	b->begin = kill_all;
	b->end = start_all;
	call_all(b);
	/* Away for FOR_MS of SPAN_MS, and the start. */
	served_at_least(b, 0.5);
	tear_down(b);
}

static void
freeze_two(bed_t *b)
{
	proc_signal(b->daemon[0], SIGSTOP);
	proc_signal(b->daemon[2], SIGSTOP);
}

static void
thaw_two(bed_t *b)
{
	proc_signal(b->daemon[0], SIGCONT);
	proc_signal(b->daemon[2], SIGCONT);
}

static void
daemons_are_frozen(void)
{
	bed_t *b = set_up();

	b->begin = freeze_two;
	b->end = thaw_two;
	call_all(b);
	none_lost(b);
	tear_down(b);
}

static void
stop_two(bed_t *b)
{
	proc_signal(b->daemon[0], SIGTERM);
	proc_signal(b->daemon[3], SIGTERM);
}

static void
start_two(bed_t *b)
{
	int i;

	for (i = 0; i <= 3; i += 3) {
		g_assert_true(proc_ended(b->daemon[i], END_MS));
		g_assert_cmpint(b->daemon[i]->status, ==, 0);
		start(b, i);
	}
}

static void
daemons_are_stopped_as_planned(void)
{
	bed_t *b = set_up();

	b->begin = stop_two;
	b->end = start_two;
	call_all(b);
	none_lost(b);
	served_at_least(b, 0.97);
	tear_down(b);
}

static void
store_silent(bed_t *b)
{
	shelf_fault(b->ground->shelf, SHELF_SILENT);
}

static void
store_busy(bed_t *b)
{
	shelf_fault(b->ground->shelf, SHELF_BUSY);
}

static void
store_sound(bed_t *b)
{
	shelf_fault(b->ground->shelf, SHELF_SOUND);
}

static void
store_is_silent(void)
{
	bed_t *b = set_up();

	b->begin = store_silent;
	b->end = store_sound;
	call_all(b);
	none_lost(b);
	served_at_least(b, 0.95);
	tear_down(b);
}

static void
store_is_busy(void)
{
	bed_t *b = set_up();

	b->begin = store_busy;
	b->end = store_sound;
	call_all(b);
	none_lost(b);
	served_at_least(b, 0.95);
	tear_down(b);
}

static void
forget_history(bed_t *b)
{
	shelf_compact(b->ground->shelf);
}

static void
store_forgets_its_history(void)
{
	bed_t *b = set_up();

	b->begin = b->end = forget_history;
	call_all(b);
	none_lost(b);
	served_at_least(b, 0.97);
	tear_down(b);
}

/* One engine and one plain endpoint misbehave. */
static void
set_fault(bed_t *b, hand_fault_t f)
{
	hand_fault(b->ground->hand[0], f);
	hand_fault(b->ground->hand[b->ground->nhand - 1], f);
}

static void
hands_reset(bed_t *b)
{
	set_fault(b, HAND_RESET);
}

static void
hands_refuse(bed_t *b)
{
	set_fault(b, HAND_NOT_RUN);
}

static void
hands_cut(bed_t *b)
{
	set_fault(b, HAND_CUT);
}

static void
hands_extra(bed_t *b)
{
	set_fault(b, HAND_EXTRA);
}

static void
hands_foreign(bed_t *b)
{
	set_fault(b, HAND_FOREIGN);
}

static void
hands_sound(bed_t *b)
{
	set_fault(b, HAND_SOUND);
}

static void
with_hands(void (*fault)(bed_t *b), double part)
{
	bed_t *b = set_up();

	b->begin = fault;
	b->end = hands_sound;
	call_all(b);
	g_assert_cmpint(b->r.lost, ==, 0);
	served_at_least(b, part);
	tear_down(b);
}

static void
endpoints_reset(void)
{
	with_hands(hands_reset, 0.95);
}

static void
endpoints_refuse(void)
{
	with_hands(hands_refuse, 0.95);
}

static void
endpoints_break_streams_off(void)
{
	with_hands(hands_cut, 0.98);
}

static void
endpoints_answer_twice(void)
{
	with_hands(hands_extra, 0.95);
}

static void
endpoints_answer_others_first(void)
{
	with_hands(hands_foreign, 0.85);
}

#define T(name) g_test_add_func("/crowd/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(nothing_fails);
	T(daemon_is_killed);
	T(all_daemons_are_killed);
	T(daemons_are_frozen);
	T(daemons_are_stopped_as_planned);
	T(store_is_silent);
	T(store_is_busy);
	T(store_forgets_its_history);
	T(endpoints_reset);
	T(endpoints_refuse);
	T(endpoints_break_streams_off);
	T(endpoints_answer_twice);
	T(endpoints_answer_others_first);
	return g_test_run();
}
