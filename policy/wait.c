#include "policy/wait.h"

enum {
	/* The holder says in that time when it will be loaded. */
	ANSWER_MS = 300,
	/* A load takes longer than announced, a little. */
	RETRY_SLACK_MS = 50,
};

/* A call that can't be sent by this part of its time is refused. */
static const double time_part = 0.8;

static bool
in_time(const wait_facts_t *f, ms_t ready_in)
{
	return (double)(f->waited + ready_in) + f->first <=
	       time_part * (double)f->time;
}

bool
wait_for_load(const wait_facts_t *f, ms_t *retry)
{
	ms_t ready_in = f->ready_in >= 0 ? f->ready_in : f->load;

	*retry = ready_in + RETRY_SLACK_MS;
	if (!in_time(f, ready_in))
		return false;
	/* An adapter is loaded in no time once there is a slot for it. */
	if (f->adapter)
		return f->waited < f->target;
	return f->ready_in >= 0 || (f->asked && f->waited < ANSWER_MS);
}
