#include "policy/workload.h"

#include <math.h>
#include <string.h>

/* Used until the first answers were seen. */
static const double pace_first = 15; /* tokens/ms: a large accelerator's */
static const double work_first = 40; /* ms */
/* Weight of one sample: some ten answers settle it. */
static const double learn_weight = 0.15;
/* A sample is bounded to this factor around the usual pace. */
static const double pace_spread = 6;
/* Samples of short prompts tell of steps, not of reading. */
enum {
	SAMPLE_TOKENS = 200,
	STEP_MS = 15, /* a step of the batch: the least time to an event */
};
/* What came within about that counts as the flow of prompts. */
static const double flow_ms = 1500;
/* Beyond that a stream hardly moves; it bounds the estimate. */
static const double busy_most = 0.9;
/* Share of the memory left for what grows beyond its estimate. */
static const double memory_used = 0.92;

void
burden_init(burden_t *b, int slots, int capacity)
{
	memset(b, 0, sizeof(*b));
	b->slots = slots > 0 ? slots : 1;
	b->capacity = capacity;
	b->said_running = b->said_waiting = -1;
}

static double
pace(const burden_t *b, const burden_usual_t *u)
{
	if (b->pace > 0)
		return b->pace;
	return u->pace > 0 ? u->pace : pace_first;
}

static double
work(const burden_t *b, const burden_usual_t *u)
{
	if (b->work > 0)
		return b->work;
	return u->work > 0 ? u->work : work_first;
}

double
burden_first(const burden_t *b, const burden_usual_t *u, int fresh)
{
	int running = b->own.running + b->others.running;
	/* Calls that fill all slots before this one. */
	int rounds = running / b->slots;

	if (b->capacity == 0)
		return work(b, u) * (1 + rounds) *
		       (1 + 0.1 * running / b->slots);
	return STEP_MS +
	       (b->own.unread + b->others.unread + fresh) / pace(b, u);
}

/* What is left of the level, and the rate at which it goes. */
static double
level(const burden_t *b, const burden_usual_t *u, const burden_bounds_t *bo,
    ms_t now)
{
	double v =
	    b->level - (double)(now - b->level_at) * pace(b, u) * bo->part;

	return v > 0 ? v : 0;
}

/* Tokens a ms, as of late. */
static double
flow(const burden_t *b, ms_t now)
{
	return b->flow * exp(-(double)(now - b->flow_at) / flow_ms);
}

void
burden_pour(burden_t *b, const burden_usual_t *u, const burden_bounds_t *bo,
    int tokens, ms_t now)
{
	b->level = level(b, u, bo, now) + tokens;
	b->level_at = now;
	b->flow = flow(b, now) + tokens / flow_ms;
	b->flow_at = now;
}

double
burden_cost(const burden_t *b, const burden_usual_t *u,
    const burden_weights_t *w, int fresh, int output, ms_t now)
{
	double read, busy;
	int running = b->own.running + b->others.running;

	if (b->capacity == 0)
		return 0;
	read = fresh / pace(b, u);
	busy = fmin(flow(b, now) / pace(b, u), busy_most);
	return w->stream * output * STEP_MS * busy / (1 - busy) +
	       w->others * running * read;
}

double
burden_wait(const burden_t *b, const burden_usual_t *u,
    const burden_bounds_t *bo, int fresh, ms_t now)
{
	double rate = pace(b, u) * bo->part, most, v;

	if (b->capacity == 0)
		return 0;
	most = pace(b, u) * bo->gap;
	v = level(b, u, bo, now);
	if (v + fresh <= most)
		return 0;
	if (fresh >= most)
		return v / rate;
	return (v + fresh - most) / rate;
}

double
burden_rate(
    const burden_t *b, const burden_usual_t *u, const burden_bounds_t *bo)
{
	return pace(b, u) * bo->part;
}

int
burden_room(const burden_t *b)
{
	if (b->capacity == 0)
		return INT32_MAX;
	return (int)(b->capacity * memory_used) - b->own.memory -
	       b->others.memory;
}

double
burden_fill(const burden_t *b)
{
	return (double)(b->own.running + b->others.running) / b->slots;
}

void
burden_send(burden_t *b, const burden_usual_t *u, burden_ticket_t *t, int fresh,
    int memory)
{
	t->unread = fresh;
	t->memory = memory;
	t->on = true;
	t->queue = b->own.unread + b->others.unread + fresh;
	t->predicted = burden_first(b, u, fresh);
	b->own.unread += fresh;
	b->own.memory += memory;
	b->own.running++;
}

static void
learn(double *to, double sample)
{
	*to = *to > 0 ? *to + learn_weight * (sample - *to) : sample;
}

void
burden_first_seen(burden_t *b, burden_usual_t *u, burden_ticket_t *t, ms_t took)
{
	double sample, mid = u->pace > 0 ? u->pace : pace_first;

	if (!t->on)
		return;
	b->own.unread -= t->unread;
	t->unread = 0;
	if (took < 1)
		took = 1;
	learn(&b->error, fabs(t->predicted - (double)took) / (double)took);
	if (t->queue < SAMPLE_TOKENS || took <= STEP_MS)
		return;
	sample = t->queue / (double)(took - STEP_MS);
	sample = fmin(fmax(sample, mid / pace_spread), mid * pace_spread);
	learn(&b->pace, sample);
	u->pace = u->pace > 0 ? u->pace + 0.02 * (sample - u->pace) : sample;
}

void
burden_end(burden_t *b, burden_ticket_t *t)
{
	if (!t->on)
		return;
	b->own.unread -= t->unread;
	b->own.memory -= t->memory;
	b->own.running--;
	memset(t, 0, sizeof(*t));
}

void
burden_plain_seen(burden_t *b, burden_usual_t *u, ms_t took)
{
	learn(&b->work, (double)took);
	learn(&u->work, (double)took);
}

void
burden_said(burden_t *b, int running, int waiting, int slots, ms_t now)
{
	b->said_running = running;
	b->said_waiting = waiting;
	b->said_at = now;
	if (slots > 0)
		b->slots = slots;
}
