/*
 * The event loop: an alarm runs only after the descriptors that were ready when
 * it became due. The program replaces epoll_wait(), so that the process can
 * stand still at a given place of a turn.
 */
#include "net/net.h"

#include <errno.h>
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

enum {
	DUE_MS = 30,	/* until the alarm */
	PAST_MS = 40,	/* a standstill that ends after it */
	MANY = 300,	/* descriptors, more than one turn handles */
	PER_TURN = 128, /* descriptors that one turn handles */
	STOPS = 30,	/* stopped processes in a test */
	STOP_MS = 60,	/* a stopped process's alarm, after it is ready */
	CHILD_S = 5,	/* limit for one of them */
};

/* Where the next call of epoll_wait() lets the process stand still. */
typedef enum standstill {
	RUNNING,
	INTERRUPTED, /* while it waits; it then returns EINTR */
	AFTER_WAIT,  /* once it knows what is ready, before it returns */
} standstill_t;

static standstill_t standstill;
static int waits;	  /* calls of epoll_wait() */
static int bytes_to = -1; /* gets a byte during the standstill */

static void
stand_still(void)
{
	standstill = RUNNING;
	if (bytes_to != -1)
		g_assert_cmpint(write(bytes_to, "x", 1), ==, 1);
	clock_sleep(PAST_MS);
}

int
epoll_wait(int fd, struct epoll_event *ev, int max, int span)
{
	int n;

	waits++;
	if (standstill == INTERRUPTED) {
		stand_still();
		errno = EINTR;
		return -1;
	}
	n = (int)syscall(SYS_epoll_pwait, fd, ev, max, span, NULL, 0);
	if (standstill == AFTER_WAIT)
		stand_still();
	return n;
}

typedef struct watched watched_t;

typedef struct descriptor {
	watched_t *t;
	watch_t watch;
	int peer; /* the other end */
	bool handled;
} descriptor_t;

/** Descriptors that are watched, an alarm, and what ran before it. */
struct watched {
	loop_t l;
	descriptor_t d[MANY];
	int n;
	bool keep_ready; /* the callbacks read nothing */
	int nhandled;	 /* different descriptors */
	alarm_t alarm;
	int alarms;
	int handled_before; /* nhandled when the alarm ran */
	ms_t turn_now;	    /* of the first callback in this turn, 0: none */
};

static void
check_now(watched_t *t)
{
	if (t->turn_now == 0)
		t->turn_now = t->l.now;
	g_assert_cmpint(t->l.now, ==, t->turn_now);
}

static void
on_ready(void *arg, uint32_t ev)
{
	descriptor_t *d = arg;
	char byte;

	(void)ev;
	check_now(d->t);
	if (!d->t->keep_ready)
		g_assert_cmpint(read(d->watch.fd, &byte, 1), ==, 1);
	d->t->nhandled += !d->handled;
	d->handled = true;
}

static void
on_due(void *arg)
{
	watched_t *t = arg;

	check_now(t);
	g_assert_cmpint(t->l.now, >=, t->alarm.at);
	t->alarms++;
	t->handled_before = t->nhandled;
}

static watched_t *
watched_new(int n)
{
	watched_t *t = g_new0(watched_t, 1);
	int i, fd[2];

	g_assert_cmpint(loop_init(&t->l), ==, 0);
	for (i = 0; i < n; i++) {
		g_assert_cmpint(
		    socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fd), ==,
		    0);
		t->d[i] = (descriptor_t){ t, { fd[0], 0, on_ready, &t->d[i] },
			fd[1], false };
		g_assert_cmpint(
		    watch_add(&t->l, &t->d[i].watch, EPOLLIN), ==, 0);
	}
	t->n = n;
	t->alarm = (alarm_t){ .fn = on_due, .arg = t };
	alarm_set(&t->l, &t->alarm, t->l.now + DUE_MS);
	return t;
}

static void
watched_free(watched_t *t)
{
	int i;

	for (i = 0; i < t->n; i++) {
		watch_del(&t->l, &t->d[i].watch);
		close(t->d[i].peer);
	}
	loop_free(&t->l);
	g_free(t);
	bytes_to = -1;
}

static void
turn(watched_t *t)
{
	t->turn_now = 0;
	loop_turn(&t->l, 1000);
}

static void
check_standstill(standstill_t where)
{
	watched_t *t = watched_new(1);
	int turns;

	standstill = where;
	bytes_to = t->d[0].peer;
	if (where == AFTER_WAIT)
		/* The wait ends at once, with nothing to report. */
		loop_turn(&t->l, 0);
	for (turns = 0; t->alarms == 0 && turns < 4; turns++)
		turn(t);
	g_assert_cmpint(t->alarms, ==, 1);
	g_assert_cmpint(t->handled_before, ==, 1);
	watched_free(t);
}

/*
 * SIGSTOP and SIGCONT end epoll_wait() with EINTR. A peer that sent meanwhile
 * mustn't count as silent.
 */
static void
alarm_waits_after_an_interrupted_wait(void)
{
	check_standstill(INTERRUPTED);
}

/* The same if the process stands still between the wait and its clock. */
static void
alarm_waits_after_a_late_return(void)
{
	check_standstill(AFTER_WAIT);
}

/* Tells when it runs, and then what ran first, a descriptor or the alarm. */
static void
run_child(int bytes, int out, ms_t due)
{
	watched_t *t = watched_new(1);
	char first;

	g_assert_cmpint(dup2(bytes, t->d[0].watch.fd), !=, -1);
	/* dup2() closed the watched one: watch the new one. */
	g_assert_cmpint(watch_add(&t->l, &t->d[0].watch, EPOLLIN), ==, 0);
	alarm_set(&t->l, &t->alarm, due);
	g_assert_cmpint(write(out, "r", 1), ==, 1);
	while (t->alarms == 0)
		turn(t);
	first = t->handled_before > 0 ? 'd' : 'a';
	g_assert_cmpint(write(out, &first, 1), ==, 1);
	_exit(0);
}

/* @return 'd' or 'a', see run_child(), or 0 if it was stopped too late */
static char
stop_child(gulong after_us)
{
	ms_t due = clock_now(&machine_clock) + STOP_MS;
	int status, bytes[2], out[2];
	bool in_time = false;
	pid_t pid;
	char c;

	g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM, 0, bytes), ==, 0);
	g_assert_cmpint(pipe(out), ==, 0);
	pid = fork();
	g_assert_cmpint(pid, !=, -1);
	if (pid == 0) {
		alarm(CHILD_S);
		run_child(bytes[0], out[1], due);
	}
	close(out[1]);
	g_assert_cmpint(read(out[0], &c, 1), ==, 1);
	g_usleep(after_us);
	kill(pid, SIGSTOP);
	g_assert_cmpint(waitpid(pid, &status, WUNTRACED), ==, pid);
	if (WIFSTOPPED(status)) {
		g_assert_cmpint(write(bytes[1], "x", 1), ==, 1);
		in_time = clock_now(&machine_clock) < due;
		while (clock_now(&machine_clock) <= due)
			clock_sleep(1);
		kill(pid, SIGCONT);
		g_assert_cmpint(waitpid(pid, &status, 0), ==, pid);
	}
	g_assert_cmpint(status, ==, 0);
	g_assert_cmpint(read(out[0], &c, 1), ==, 1);
	close(out[0]);
	close(bytes[0]);
	close(bytes[1]);
	return in_time ? c : 0;
}

/*
 * A real stop, at different places of a turn: the child is stopped with its
 * alarm ahead, gets a byte, and goes on after the alarm's time.
 */
static void
stopped_process_reads_before_its_alarm(void)
{
	GRand *rand = g_rand_new_with_seed(4711);
	int stops = 0, tries;
	char first;

	for (tries = 0; stops < STOPS && tries < 10 * STOPS; tries++) {
		first = stop_child((gulong)g_rand_int_range(rand, 0, 2000));
		if (first == 0)
			continue;
		stops++;
		g_assert_true(first == 'd');
	}
	g_assert_cmpint(stops, ==, STOPS);
	g_rand_free(rand);
}

/* More descriptors are ready than one turn handles. */
static void
alarm_waits_for_all_that_is_ready(void)
{
	watched_t *t = watched_new(MANY);
	int i, turns;

	for (i = 0; i < MANY; i++)
		g_assert_cmpint(write(t->d[i].peer, "x", 1), ==, 1);
	clock_sleep(PAST_MS);
	for (turns = 0; t->alarms == 0 && turns < 10; turns++)
		turn(t);
	g_assert_cmpint(t->alarms, ==, 1);
	g_assert_cmpint(t->handled_before, ==, MANY);
	watched_free(t);
}

/*
 * Descriptors that are always ready don't put off an alarm for longer than
 * until each of them was handled.
 */
static void
permanent_load_doesnt_starve_alarms(void)
{
	static const int n[] = { 1, PER_TURN, PER_TURN + 1, MANY };
	size_t k;

	for (k = 0; k < G_N_ELEMENTS(n); k++) {
		watched_t *t = watched_new(n[k]);
		int i, turns;

		t->keep_ready = true;
		for (i = 0; i < n[k]; i++)
			g_assert_cmpint(write(t->d[i].peer, "x", 1), ==, 1);
		turn(t);
		clock_sleep(PAST_MS);
		/* A round that began before, one after, and a turn between. */
		for (turns = 0; t->alarms == 0 && turns < 20; turns++)
			turn(t);
		g_assert_cmpint(t->alarms, ==, 1);
		g_assert_cmpint(
		    turns, <=, 2 * ((n[k] + PER_TURN - 1) / PER_TURN) + 1);
		watched_free(t);
	}
}

/* Each system call costs: an alarm alone takes one turn and one wait. */
static void
alarm_alone_takes_one_wait(void)
{
	watched_t *t = watched_new(1);

	waits = 0;
	turn(t);
	g_assert_cmpint(t->alarms, ==, 1);
	g_assert_cmpint(waits, ==, 1);
	watched_free(t);
}

#define T(name) g_test_add_func("/loop/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(alarm_waits_after_an_interrupted_wait);
	T(alarm_waits_after_a_late_return);
	T(stopped_process_reads_before_its_alarm);
	T(alarm_waits_for_all_that_is_ready);
	T(permanent_load_doesnt_starve_alarms);
	T(alarm_alone_takes_one_wait);
	return g_test_run();
}
