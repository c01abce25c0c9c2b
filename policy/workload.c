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
workload_init(workload_t *b, int slots, int capacity)
{
	memset(b, 0, sizeof(*b));
	b->slots = slots > 0 ? slots : 1;
	b->kv_capacity = capacity;
	b->reported_running = b->reported_waiting = -1;
}

static double
pace(const workload_t *b, const workload_average_t *u)
{
	if (b->prefill_speed > 0)
		return b->prefill_speed;
	return u->prefill_speed > 0 ? u->prefill_speed : pace_first;
}

static double
work(const workload_t *b, const workload_average_t *u)
{
	if (b->plain_call_ms > 0)
		return b->plain_call_ms;
	return u->plain_call_ms > 0 ? u->plain_call_ms : work_first;
}

double
workload_predict_ms(const workload_t *b, const workload_average_t *u, int fresh)
{
	int running = b->own.running + b->others.running;
	/* Calls that fill all slots before this one. */
	int rounds = running / b->slots;

	if (b->kv_capacity == 0)
		return work(b, u) * (1 + rounds) *
		       (1 + 0.1 * running / b->slots);
	return STEP_MS +
	       (b->own.prefill_tokens + b->others.prefill_tokens + fresh) /
		   pace(b, u);
}

/* What is left of the level, and the rate at which it goes. */
static double
level(const workload_t *b, const workload_average_t *u,
    const workload_limits_t *bo, ms_t now)
{
	double v = b->bucket_tokens - (double)(now - b->bucket_at) *
					  pace(b, u) * bo->prefill_share;

	return v > 0 ? v : 0;
}

/* Tokens a ms, as of late. */
static double
flow(const workload_t *b, ms_t now)
{
	return b->arrival_rate *
	       exp(-(double)(now - b->arrival_rate_at) / flow_ms);
}

void
workload_prompt_sent(workload_t *b, const workload_average_t *u,
    const workload_limits_t *bo, int tokens, ms_t now)
{
	b->bucket_tokens = level(b, u, bo, now) + tokens;
	b->bucket_at = now;
	b->arrival_rate = flow(b, now) + tokens / flow_ms;
	b->arrival_rate_at = now;
}

double
workload_cost_ms(const workload_t *b, const workload_average_t *u,
    const workload_cost_weights_t *w, int fresh, int output, ms_t now)
{
	double read, busy;
	int running = b->own.running + b->others.running;

	if (b->kv_capacity == 0)
		return 0;
	read = fresh / pace(b, u);
	busy = fmin(flow(b, now) / pace(b, u), busy_most);
	return w->own_output * output * STEP_MS * busy / (1 - busy) +
	       w->other_streams * running * read;
}

double
workload_send_delay_ms(const workload_t *b, const workload_average_t *u,
    const workload_limits_t *bo, int fresh, ms_t now)
{
	double rate = pace(b, u) * bo->prefill_share, most, v;

	if (b->kv_capacity == 0)
		return 0;
	most = pace(b, u) * bo->stream_gap_ms;
	v = level(b, u, bo, now);
	if (v + fresh <= most)
		return 0;
	if (fresh >= most)
		return v / rate;
	return (v + fresh - most) / rate;
}

double
workload_prompt_rate(const workload_t *b, const workload_average_t *u,
    const workload_limits_t *bo)
{
	return pace(b, u) * bo->prefill_share;
}

int
workload_kv_free(const workload_t *b)
{
	if (b->kv_capacity == 0)
		return INT32_MAX;
	return (int)(b->kv_capacity * memory_used) - b->own.kv_tokens -
	       b->others.kv_tokens;
}

double
workload_slot_use(const workload_t *b)
{
	return (double)(b->own.running + b->others.running) / b->slots;
}

void
workload_reserve(workload_t *b, const workload_average_t *u,
    workload_reservation_t *t, int fresh, int memory)
{
	t->prefill_tokens = fresh;
	t->kv_tokens = memory;
	t->active = true;
	t->queued_tokens =
	    b->own.prefill_tokens + b->others.prefill_tokens + fresh;
	t->predicted_ms = workload_predict_ms(b, u, fresh);
	b->own.prefill_tokens += fresh;
	b->own.kv_tokens += memory;
	b->own.running++;
}

static void
learn(double *to, double sample)
{
	*to = *to > 0 ? *to + learn_weight * (sample - *to) : sample;
}

void
workload_first_event(
    workload_t *b, workload_average_t *u, workload_reservation_t *t, ms_t took)
{
	double sample,
	    mid = u->prefill_speed > 0 ? u->prefill_speed : pace_first;

	if (!t->active)
		return;
	b->own.prefill_tokens -= t->prefill_tokens;
	t->prefill_tokens = 0;
	if (took < 1)
		took = 1;
	learn(&b->prediction_error,
	    fabs(t->predicted_ms - (double)took) / (double)took);
	if (t->queued_tokens < SAMPLE_TOKENS || took <= STEP_MS)
		return;
	sample = t->queued_tokens / (double)(took - STEP_MS);
	sample = fmin(fmax(sample, mid / pace_spread), mid * pace_spread);
	learn(&b->prefill_speed, sample);
	u->prefill_speed =
	    u->prefill_speed > 0
		? u->prefill_speed + 0.02 * (sample - u->prefill_speed)
		: sample;
}

void
workload_release(workload_t *b, workload_reservation_t *t)
{
	if (!t->active)
		return;
	b->own.prefill_tokens -= t->prefill_tokens;
	b->own.kv_tokens -= t->kv_tokens;
	b->own.running--;
	memset(t, 0, sizeof(*t));
}

void
workload_plain_done(workload_t *b, workload_average_t *u, ms_t took)
{
	learn(&b->plain_call_ms, (double)took);
	learn(&u->plain_call_ms, (double)took);
}

void
workload_set_reported(
    workload_t *b, int running, int waiting, int slots, ms_t now)
{
	b->reported_running = running;
	b->reported_waiting = waiting;
	b->reported_at = now;
	if (slots > 0)
		b->slots = slots;
}
