/*
 * Which calls leave their failure domain. The loads are a domain that gets more
 * than its endpoints serve while another has room, and one that gets less.
 */
#include "policy/domain_choice.h"

#include <glib.h>

enum {
	WORK_MS = 50, /* of a call at an endpoint */
	LEFT_MS = 2000,
	GOOD_MS = 500, /* of that */
	VIEW_MS = 250, /* age of what a domain knows of another */
	SPAN_MS = 20000,
	SETTLED_MS = 4000,
};

static domain_choice_t
call_of(double home_ms, double remote_ms)
{
	return (domain_choice_t){ .home_ms = home_ms,
		.remote_ms = remote_ms,
		.left_ms = LEFT_MS,
		.round_trip_ms = 2,
		.bytes = 8192 };
}

/* Guards against traffic between domains that makes no call good. */
static void
stays_while_in_good_time(void)
{
	domain_choice_t d = call_of(GOOD_MS, 10);

	g_assert_cmpint(domain_decide(&d), ==, DOMAIN_STAY);
	/* Later, in spite of a price: the caller gains more than it costs. */
	d.home_ms = 2 * GOOD_MS;
	g_assert_cmpint(domain_decide(&d), ==, DOMAIN_LEAVE);
	/* The same wait is in good time for a call that has more of it. */
	d.left_ms *= 2;
	g_assert_cmpint(domain_decide(&d), ==, DOMAIN_STAY);
}

/* Guards against leaving for less than the way and the bytes cost. */
static void
gain_below_the_price(void)
{
	domain_choice_t d = call_of(1000, 980);

	g_assert_cmpint(domain_decide(&d), ==, DOMAIN_LEAVE);
	d.bytes = 1 << 20;
	g_assert_cmpint(domain_decide(&d), ==, DOMAIN_STAY);
	d.bytes = 0;
	d.round_trip_ms = 40;
	g_assert_cmpint(domain_decide(&d), ==, DOMAIN_STAY);
	g_assert_cmpfloat(domain_price_ms(&d), ==, 40);
}

/* Guards against calls that wait at home for an endpoint that isn't there. */
static void
absent_at_home(void)
{
	domain_choice_t d = call_of(-1, 1900);

	g_assert_cmpint(domain_decide(&d), ==, DOMAIN_ABSENT);
	d = call_of(1900, -1);
	g_assert_cmpint(domain_decide(&d), ==, DOMAIN_STAY);
}

typedef struct play {
	double queue[2]; /* ms of work at home and elsewhere */
	double seen[VIEW_MS];
	int calls, left, late;
	int left_in[SPAN_MS / 1000]; /* in each second */
} play_t;

static void
add_call(play_t *p, ms_t now)
{
	domain_choice_t d =
	    call_of(p->queue[0] + WORK_MS, p->seen[now % VIEW_MS] + WORK_MS);
	int to = domain_decide(&d) == DOMAIN_LEAVE;

	p->calls++;
	p->left += to;
	p->left_in[now / 1000] += to;
	p->queue[to] += WORK_MS;
	p->late += p->queue[to] > LEFT_MS;
}

/* @param load ms of work that come in a ms, at home and elsewhere */
static play_t
play(double home, double elsewhere, ms_t span)
{
	play_t p = { 0 };
	double due = 0;
	ms_t now;

	for (now = 0; now < span; now++) {
		for (due += home; due >= WORK_MS; due -= WORK_MS)
			add_call(&p, now);
		p.seen[now % VIEW_MS] = p.queue[1];
		p.queue[1] += elsewhere;
		p.queue[0] = MAX(p.queue[0] - 1, 0);
		p.queue[1] = MAX(p.queue[1] - 1, 0);
	}
	return p;
}

/*
 * Guards against a domain that keeps what it can't serve, sends more than it
 * has to, or sends all and nothing in turn, as it knows the other one late.
 */
static void
surplus_leaves(void)
{
	play_t p = play(1.5, 0.3, SPAN_MS);
	int i, needed = p.calls / 3;

	g_assert_cmpint(p.late, ==, 0);
	g_assert_cmpint(p.left, >=, needed * 8 / 10);
	g_assert_cmpint(p.left, <=, needed * 11 / 10);
	for (i = SETTLED_MS / 1000; i < SPAN_MS / 1000; i++) {
		g_assert_cmpint(p.left_in[i], >=, 1000 * 0.5 / WORK_MS * 0.5);
		g_assert_cmpint(p.left_in[i], <=, 1000 * 0.5 / WORK_MS * 1.5);
	}
}

/* Guards against leaving a domain that serves its load itself. */
static void
nothing_leaves_below_capacity(void)
{
	play_t p = play(0.9, 0.1, SPAN_MS);

	g_assert_cmpint(p.left, ==, 0);
	g_assert_cmpint(p.late, ==, 0);
}

/* Guards against calls that move into a domain that is as full. */
static void
no_exchange_of_full_domains(void)
{
	play_t p = play(1.1, 1.1, SETTLED_MS);

	g_assert_cmpint(p.left, <=, p.calls / 20);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/domain_choice/stays_while_in_good_time",
	    stays_while_in_good_time);
	g_test_add_func(
	    "/domain_choice/gain_below_the_price", gain_below_the_price);
	g_test_add_func("/domain_choice/absent_at_home", absent_at_home);
	g_test_add_func("/domain_choice/surplus_leaves", surplus_leaves);
	g_test_add_func("/domain_choice/nothing_leaves_below_capacity",
	    nothing_leaves_below_capacity);
	g_test_add_func("/domain_choice/no_exchange_of_full_domains",
	    no_exchange_of_full_domains);
	return g_test_run();
}
