#include "policy/pace.h"

#include <math.h>
#include <string.h>

enum {
	SLOT_MS = 50,
	STEP_MS = 11, /* of an engine that makes tokens for half a batch */
	SAMPLES_EARLY = 20,
	/* Hundredths that make sense. */
	PACE_MIN = 10,
	PACE_MAX = 5000,
};
/* A slow moment of a machine lasts some hundred ms. */
static const double report_decay_ms = 400;
static const double usual_decay_ms = 5000;
/* Of the pause; the rest is for what isn't known of an endpoint's queue. */
static const double gap_part = 0.9;
/*
 * Prompts that met others at their endpoint take longer than they cost, those
 * with a part in its cache shorter: the cost is taken from below the median.
 */
static const double cost_quantile = 0.35;
static const double cost_step = 0.08;
/* A model's cost is within this factor of the reference. */
static const double cost_range = 20;

void
pace_report(pace_t *p, int hundredths, ms_t at)
{
	double v = hundredths / 100.0, w;

	if (hundredths < PACE_MIN || hundredths > PACE_MAX || at < p->at)
		return;
	if (p->at == 0) {
		p->usual = v;
	} else {
		w = exp(-(double)(at - p->at) / usual_decay_ms);
		p->usual = w * p->usual + (1 - w) * v;
	}
	p->last = v;
	p->at = at;
}

double
pace_now(const pace_t *p, ms_t now)
{
	double w;

	if (p->at == 0)
		return 1;
	w = exp(-(double)(now - p->at) / report_decay_ms);
	return w * p->last + (1 - w) * p->usual;
}

void
pace_window_add(pace_window_t *w, double tokens, ms_t now)
{
	ms_t to = now / SLOT_MS, i;

	if (to - w->slot_at >= PACE_SLOTS)
		memset(w->slot, 0, sizeof(w->slot));
	else
		for (i = w->slot_at + 1; i <= to; i++)
			w->slot[i % PACE_SLOTS] = 0;
	if (to > w->slot_at)
		w->slot_at = to;
	w->slot[w->slot_at % PACE_SLOTS] += tokens;
}

double
pace_window_sum(const pace_window_t *w, ms_t now)
{
	ms_t to = now / SLOT_MS, i;
	double sum = 0;

	for (i = w->slot_at;
	     i > to - PACE_SLOTS && i >= 0 && i > w->slot_at - PACE_SLOTS; i--)
		sum += w->slot[i % PACE_SLOTS];
	return sum;
}

double
pace_room(const pace_stream_t *s, double speed, double factor)
{
	double ms = gap_part * (double)s->gap - s->steps * STEP_MS * factor;

	return ms > 0 ? ms * speed : 0;
}

void
pace_cost_sample(pace_cost_t *c, double us_per_token)
{
	double reference = 1000 / PACE_REFERENCE_SPEED, step = cost_step;

	us_per_token = fmin(
	    fmax(us_per_token, reference / cost_range), reference * cost_range);
	if (c->samples < SAMPLES_EARLY)
		c->samples++;
	if (c->samples == 1) {
		c->us_per_token = us_per_token;
		return;
	}
	/* The first samples move it further. */
	if (c->samples < SAMPLES_EARLY)
		step += 1.0 / c->samples;
	if (us_per_token > c->us_per_token)
		c->us_per_token *= 1 + step * cost_quantile;
	else
		c->us_per_token /= 1 + step * (1 - cost_quantile);
}

double
pace_cost_tokens(const pace_cost_t *c)
{
	return c->samples > 0 ? c->us_per_token * PACE_REFERENCE_SPEED / 1000
			      : 1;
}
