/*
 * Cost of policy/blame.c: a call that passes, a crash, and a decision, with few
 * crashes remembered and with full tables. Prints CSV.
 */
#include "policy/blame.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

enum {
	PASSES = 200000,
	DECISIONS = 20,
	FEW = 10,
	CRASH_GAP_MS = 120,
	PASS_GAP_MS = 10,
	CALLS_AT_CRASH = 4, /* sound requests in progress at each crash */
};

/*
 * Remember crashes. The first suspect is in three of them each time; the others
 * are in one, or in three, too.
 */
static ms_t
add_crashes(blame_t *b, int n, int suspects, bool all_return)
{
	ms_t at = 1;
	int i, k;

	for (i = 0; i < n; i++) {
		blame_crash_t c = { .endpoint = (uint32_t)i, .at = at };

		c.nsuspect = suspects;
		for (k = 0; k < suspects; k++)
			c.suspect[k] = (blame_suspect_t){
				{ SUSPECT_REQUEST,
				    (uint64_t)1 + (uint64_t)k * 1000 +
					(k == 0 || all_return ? i / 3 : i) },
				(uint32_t)(i * 100 + k)
			};
		blame_add_crash(b, &c);
		at += CRASH_GAP_MS;
	}
	return at;
}

static double
us_per(gint64 from, int n)
{
	return (double)(g_get_monotonic_time() - from) / n;
}

static void
measure(const char *name, int crashes, int suspects, bool all_return)
{
	blame_t *b = g_new0(blame_t, 1), *copy = g_new0(blame_t, 1);
	ms_t now = add_crashes(b, crashes, suspects, all_return) + 1000;
	double pass, decide = 0;
	gint64 from;
	int i;

	*copy = *b;
	from = g_get_monotonic_time();
	for (i = 0; i < PASSES; i++)
		blame_passed(copy,
		    (suspect_t){ SUSPECT_REQUEST, (uint64_t)(1 << 30) + i },
		    now + i / PASS_GAP_MS, true);
	pass = us_per(from, PASSES);
	for (i = 0; i < DECISIONS; i++) {
		*copy = *b;
		from = g_get_monotonic_time();
		blame_decide(copy, now);
		decide += us_per(from, DECISIONS);
	}
	printf("%s,%d,%d,%.3f,%.1f\n", name, crashes, suspects, pass, decide);
	g_free(b);
	g_free(copy);
}

int
main(void)
{
	printf("# tables_bytes=%zu\n", sizeof(blame_t));
	printf("case,crashes,suspects,pass_us,decide_us\n");
	measure("none", 0, 0, false);
	measure("few", FEW, CALLS_AT_CRASH, false);
	measure("full", BLAME_CRASHES_MAX, BLAME_SUSPECTS_MAX, false);
	measure("worst", BLAME_CRASHES_MAX, BLAME_SUSPECTS_MAX, true);
	return EXIT_SUCCESS;
}
