/*
 * CPU time of a log line that is written and of one that is dropped because
 * its kind is over its rate limit.
 */
#include "serve/serve.h"

#include <fcntl.h>
#include <stdio.h>
#include <unistd.h>

enum {
	WRITTEN_LINES = 75, /* well below the burst that the limit allows */
	DROPPED_LINES = 1000000, /* far above it */
	ROUNDS = 200,
};

static double
cpu_seconds(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

/*
 * The line is as long as those of requests. The rounds use 100 kinds in turn,
 * so that the rate limit drops none.
 */
static double
written_cost(void)
{
	static char kind[ROUNDS][16];
	double total = 0, at;
	int r, i;

	for (r = 0; r < ROUNDS; r++) {
		snprintf(kind[r], sizeof(kind[r]), "kind-%d", r % 100);
		at = cpu_seconds();
		for (i = 0; i < WRITTEN_LINES; i++)
			log_limited(LOG_INFO, kind[r],
			    "request=%s route=%s endpoint=%s send=%d "
			    "fresh=%d first_ms=%d left_ms=%d",
			    "0123456789abcdef", "r-h67hy6t", "i-217e1745ed", 1,
			    i, 200, 4800);
		log_flush();
		total += cpu_seconds() - at;
	}
	return total / ((double)ROUNDS * WRITTEN_LINES);
}

static double
dropped_cost(void)
{
	double at = cpu_seconds();
	int i;

	for (i = 0; i < DROPPED_LINES; i++)
		log_limited(
		    LOG_INFO, "over", "request=%s n=%d", "0123456789abcdef", i);
	return (cpu_seconds() - at) / DROPPED_LINES;
}

int
main(void)
{
	int null = open("/dev/null", O_WRONLY), out = dup(STDOUT_FILENO);
	double a, b;

	if (null == -1 || out == -1)
		return 1;
	dup2(null, STDOUT_FILENO);
	log_open("ebonypitchd", "entry-1", "north");
	log_set_buffered();
	a = written_cost();
	b = dropped_cost();
	dprintf(out,
	    "written line: %.2f us; line dropped by the rate limit: %.3f us\n",
	    a * 1e6, b * 1e6);
	return 0;
}
