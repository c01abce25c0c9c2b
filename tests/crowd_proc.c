/*
 * Callers of a small deployment while one thing after the other fails: what
 * they were told against what the endpoints ran.
 */
#include "tests/bed.h"

#include <signal.h>

enum {
	SPAN_MS = 6000,
	AT_MS = 1500,  /* the fault begins ... */
	FOR_MS = 2000, /* ... and ends */
	END_MS = 9000, /* a daemon's grace, and some */
};

typedef struct test {
	bed_t *b;
	void (*begin)(bed_t *b), (*end)(bed_t *b);
	bool begun, ended;
} test_t;

static void
turn(void *arg, ms_t since)
{
	test_t *t = arg;

	if (!t->begun && since >= AT_MS) {
		t->begun = true;
		if (t->begin != NULL)
			t->begin(t->b);
	}
	if (!t->ended && since >= AT_MS + FOR_MS) {
		t->ended = true;
		if (t->end != NULL)
			t->end(t->b);
	}
}

static void
call_all(test_t *t)
{
	bed_call(t->b, SPAN_MS, turn, t);
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
	test_t t = { bed_new(""), NULL, NULL, 0, 0 };
	bed_t *b = t.b;

	call_all(&t);
	none_lost(b);
	g_assert_cmpint(b->r.failed, ==, 0);
	served_at_least(b, 0.98);
	bed_free(b);
}

static void
kill_one(bed_t *b)
{
	proc_signal(b->daemon[1], SIGKILL);
}

static void
start_one(bed_t *b)
{
	bed_start(b, 1);
}

static void
daemon_is_killed(void)
{
	test_t t = { bed_new(""), kill_one, start_one, 0, 0 };
	bed_t *b = t.b;

	call_all(&t);
	/* Lost is what was open there, some 100 ms of its calls. */
	served_at_least(b, 0.9);
	bed_free(b);
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
		bed_start(b, i);
}

static void
all_daemons_are_killed(void)
{
	test_t t = { bed_new(""), kill_all, start_all, 0, 0 };
	bed_t *b = t.b;

	call_all(&t);
	/* Away for FOR_MS of SPAN_MS, and the start. */
	served_at_least(b, 0.5);
	bed_free(b);
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
	test_t t = { bed_new(""), freeze_two, thaw_two, 0, 0 };
	bed_t *b = t.b;

	call_all(&t);
	none_lost(b);
	bed_free(b);
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
		bed_start(b, i);
	}
}

static void
daemons_are_stopped_as_planned(void)
{
	test_t t = { bed_new(""), stop_two, start_two, 0, 0 };
	bed_t *b = t.b;

	call_all(&t);
	none_lost(b);
	served_at_least(b, 0.97);
	bed_free(b);
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
	test_t t = { bed_new(""), store_silent, store_sound, 0, 0 };
	bed_t *b = t.b;

	call_all(&t);
	none_lost(b);
	served_at_least(b, 0.95);
	bed_free(b);
}

static void
store_is_busy(void)
{
	test_t t = { bed_new(""), store_busy, store_sound, 0, 0 };
	bed_t *b = t.b;

	call_all(&t);
	none_lost(b);
	served_at_least(b, 0.95);
	bed_free(b);
}

static void
forget_history(bed_t *b)
{
	shelf_compact(b->ground->shelf);
}

static void
store_forgets_its_history(void)
{
	test_t t = { bed_new(""), forget_history, forget_history, 0, 0 };
	bed_t *b = t.b;

	call_all(&t);
	none_lost(b);
	served_at_least(b, 0.97);
	bed_free(b);
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
	test_t t = { bed_new(""), fault, hands_sound, 0, 0 };
	bed_t *b = t.b;

	call_all(&t);
	g_assert_cmpint(b->r.lost, ==, 0);
	served_at_least(b, part);
	bed_free(b);
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

/* Twice as many adapters are asked for as there are places. */
static void
more_adapters_than_places_all_get_a_turn(void)
{
	test_t t = { bed_new("engines = 2\nmodels = 2\nadapters = 8\n"), NULL,
		NULL, 0, 0 };
	bed_t *b = t.b;

	call_all(&t);
	none_lost(b);
	/* Two engines of four places each. */
	g_assert_cmpint(b->r.wares, >, 8);
	g_assert_cmpint(b->r.starved, ==, 0);
	/* Each order for a call or two that it serves, not one for another. */
	g_assert_cmpint(ground_orders(b->ground), <, b->r.calls);
	bed_free(b);
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
	T(more_adapters_than_places_all_get_a_turn);
	T(endpoints_reset);
	T(endpoints_refuse);
	T(endpoints_break_streams_off);
	T(endpoints_answer_twice);
	T(endpoints_answer_others_first);
	return g_test_run();
}
