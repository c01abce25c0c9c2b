#include "base/base.h"

#include <time.h>

const msclock_t machine_clock = { CLOCK_MACHINE, 0 };

static ms_t
read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (ms_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

ms_t
clock_now(const msclock_t *c)
{
	switch (c->kind) {
	case CLOCK_FAKE:
		return c->fake_now;
	case CLOCK_MACHINE:
		break;
	}
	return read_clock(CLOCK_BOOTTIME);
}

ms_t
clock_thread(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (ms_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

ms_t
clock_wall(void)
{
	return read_clock(CLOCK_REALTIME);
}

void
clock_sleep(ms_t span)
{
	struct timespec ts = { span / 1000, span % 1000 * 1000000 };

	while (nanosleep(&ts, &ts) == -1)
		;
}
