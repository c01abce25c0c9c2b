#include "policy/workload.h"

#include <math.h>
#include <string.h>

/*
 * Assumed until the first answers have been measured. The speed is in tokens
 * per ms, that of a large accelerator.
 */
static const double default_prefill_speed = 15;
static const double default_plain_call_ms = 40;
/* The average follows a change within some ten samples. */
static const double sample_weight = 0.15;
/* A sample is clamped to within this factor of the average speed. */
static const double sample_clamp_factor = 6;
enum {
	/* With shorter prompts the decoding step dominates the time. */
	SAMPLE_TOKENS_MIN = 200,
	STEP_MS = 15, /* one decoding step: the shortest time to an event */
};
/* Time constant of the arrival rate's exponential decay. */
static const double arrival_decay_ms = 1500;
/* Bounds the estimate: closer to 1 a stream hardly makes progress. */
static const double prefill_use_max = 0.9;
/* The rest of the KV cache is for calls that outgrow their estimate. */
static const double kv_usable_share = 0.92;

void
workload_init(workload_t *wl, int slots, int kv_capacity)
{
	memset(wl, 0, sizeof(*wl));
	wl->slots = slots > 0 ? slots : 1;
	wl->kv_capacity = kv_capacity;
	wl->reported_running = wl->reported_waiting = -1;
}

void
workload_refresh(workload_t *wl, ms_t now)
{
	wl->factor = pace_now(&wl->pace, now);
}

static double
prefill_speed(const workload_t *wl, const workload_average_t *avg)
{
	if (wl->paced)
		return PACE_REFERENCE_SPEED / (wl->factor > 0 ? wl->factor : 1);
	if (wl->prefill_speed > 0)
		return wl->prefill_speed;
	return avg->prefill_speed > 0 ? avg->prefill_speed
				      : default_prefill_speed;
}

static double
plain_call_ms(const workload_t *wl, const workload_average_t *avg)
{
	if (wl->plain_call_ms > 0)
		return wl->plain_call_ms;
	return avg->plain_call_ms > 0 ? avg->plain_call_ms
				      : default_plain_call_ms;
}

double
workload_predict_ms(
    const workload_t *wl, const workload_average_t *avg, int uncached)
{
	int running = wl->own.running + wl->others.running;
	/* Full batches that run before this call. */
	int rounds = running / wl->slots;

	/* A plain call takes 10 % longer for each batch in progress. */
	if (wl->kv_capacity == 0)
		return plain_call_ms(wl, avg) * (1 + rounds) *
		       (1 + 0.1 * running / wl->slots);
	return STEP_MS +
	       (wl->own.prefill_tokens + wl->others.prefill_tokens + uncached) /
		   prefill_speed(wl, avg);
}

/* Tokens left in the bucket at @p now. */
static double
bucket_tokens(const workload_t *wl, const workload_average_t *avg,
    const workload_limits_t *limits, ms_t now)
{
	double v = wl->bucket_tokens - (double)(now - wl->bucket_at) *
					   prefill_speed(wl, avg) *
					   limits->prefill_share;

	return v > 0 ? v : 0;
}

/* Prompt tokens per ms that arrived recently. */
static double
arrival_rate(const workload_t *wl, ms_t now)
{
	return wl->arrival_rate *
	       exp(-(double)(now - wl->arrival_rate_at) / arrival_decay_ms);
}

void
workload_prompt_sent(workload_t *wl, const workload_average_t *avg,
    const workload_limits_t *limits, int tokens, ms_t now)
{
	wl->bucket_tokens = bucket_tokens(wl, avg, limits, now) + tokens;
	wl->bucket_at = now;
	wl->arrival_rate = arrival_rate(wl, now) + tokens / arrival_decay_ms;
	wl->arrival_rate_at = now;
	pace_window_add(&wl->sent, tokens, now);
}

double
workload_cost_ms(const workload_t *wl, const workload_average_t *avg,
    const workload_cost_weights_t *weights, int uncached, int output, ms_t now)
{
	double prefill_ms, prefill_use;
	int running = wl->own.running + wl->others.running;

	if (wl->kv_capacity == 0)
		return 0;
	prefill_ms = uncached / prefill_speed(wl, avg);
	prefill_use = fmin(
	    arrival_rate(wl, now) / prefill_speed(wl, avg), prefill_use_max);
	return weights->own_output * output * STEP_MS * prefill_use /
		   (1 - prefill_use) +
	       weights->other_streams * running * prefill_ms;
}

/*
 * Prompts that aren't read yet, or were sent so lately that they are read in
 * the same pause, and the new one. A prompt that is too large by itself is sent
 * when there are no others.
 */
static double
paced_delay_ms(
    const workload_t *wl, const workload_average_t *avg, int uncached, ms_t now)
{
	double speed = prefill_speed(wl, avg);
	double room = pace_room(&wl->stream, speed, wl->factor);
	double queued = fmax(wl->own.prefill_tokens + wl->others.prefill_tokens,
	    pace_window_sum(&wl->sent, now));

	if (queued <= 0 || queued + uncached <= room)
		return 0;
	return fmin(queued, queued + uncached - room) / speed;
}

double
workload_send_delay_ms(const workload_t *wl, const workload_average_t *avg,
    const workload_limits_t *limits, int uncached, ms_t now)
{
	double rate = prefill_speed(wl, avg) * limits->prefill_share,
	       bucket_max, v;

	if (wl->kv_capacity == 0)
		return 0;
	if (wl->paced && wl->stream.gap > 0)
		return paced_delay_ms(wl, avg, uncached, now);
	bucket_max = prefill_speed(wl, avg) * limits->stream_gap_ms;
	v = bucket_tokens(wl, avg, limits, now);
	if (v + uncached <= bucket_max)
		return 0;
	if (uncached >= bucket_max)
		return v / rate;
	return (v + uncached - bucket_max) / rate;
}

double
workload_prompt_ms(
    const workload_t *wl, const workload_average_t *avg, int uncached)
{
	return STEP_MS + uncached / prefill_speed(wl, avg);
}

double
workload_prompt_rate(const workload_t *wl, const workload_average_t *avg,
    const workload_limits_t *limits)
{
	return prefill_speed(wl, avg) * limits->prefill_share;
}

int
workload_kv_free(const workload_t *wl)
{
	if (wl->kv_capacity == 0)
		return INT32_MAX;
	return (int)(wl->kv_capacity * kv_usable_share) - wl->own.kv_tokens -
	       wl->others.kv_tokens;
}

double
workload_slot_use(const workload_t *wl)
{
	return (double)(wl->own.running + wl->others.running) / wl->slots;
}

void
workload_reserve(workload_t *wl, const workload_average_t *avg,
    workload_reservation_t *r, int uncached, int kv_tokens)
{
	r->prefill_tokens = uncached;
	r->kv_tokens = kv_tokens;
	r->active = true;
	r->queued_tokens =
	    wl->own.prefill_tokens + wl->others.prefill_tokens + uncached;
	r->predicted_ms = workload_predict_ms(wl, avg, uncached);
	wl->own.prefill_tokens += uncached;
	wl->own.kv_tokens += kv_tokens;
	wl->own.running++;
}

static void
average_add(double *to, double sample)
{
	*to = *to > 0 ? *to + sample_weight * (sample - *to) : sample;
}

void
workload_first_event(workload_t *wl, workload_average_t *avg,
    workload_reservation_t *r, ms_t took)
{
	double sample, average = avg->prefill_speed > 0 ? avg->prefill_speed
							: default_prefill_speed;

	if (!r->active)
		return;
	wl->own.prefill_tokens -= r->prefill_tokens;
	r->prefill_tokens = 0;
	if (took < 1)
		took = 1;
	average_add(&wl->prediction_error,
	    fabs(r->predicted_ms - (double)took) / (double)took);
	if (r->queued_tokens < SAMPLE_TOKENS_MIN || took <= STEP_MS ||
	    wl->paced)
		return;
	sample = r->queued_tokens / (double)(took - STEP_MS);
	sample = fmin(fmax(sample, average / sample_clamp_factor),
	    average * sample_clamp_factor);
	average_add(&wl->prefill_speed, sample);
	/* This average takes the samples of all endpoints, with less weight. */
	avg->prefill_speed =
	    avg->prefill_speed > 0
		? avg->prefill_speed + 0.02 * (sample - avg->prefill_speed)
		: sample;
}

void
workload_release(workload_t *wl, workload_reservation_t *r)
{
	if (!r->active)
		return;
	wl->own.prefill_tokens -= r->prefill_tokens;
	wl->own.kv_tokens -= r->kv_tokens;
	wl->own.running--;
	memset(r, 0, sizeof(*r));
}

void
workload_plain_done(workload_t *wl, workload_average_t *avg, ms_t took)
{
	average_add(&wl->plain_call_ms, (double)took);
	average_add(&avg->plain_call_ms, (double)took);
}

void
workload_set_reported(
    workload_t *wl, int running, int waiting, int slots, ms_t now)
{
	wl->reported_running = running;
	wl->reported_waiting = waiting;
	wl->reported_at = now;
	if (slots > 0)
		wl->slots = slots;
}
