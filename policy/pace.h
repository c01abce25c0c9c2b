/**
 * @file pace.h
 * How fast an endpoint works now, where endpoints tell it, and what that allows
 * to be sent there. An engine reads prompts in pieces between the steps that
 * make tokens: prompts that are read in the time between two events of a stream
 * are a pause in that stream. So the prompts sent there in the longest pause
 * that routes allow are bounded by what the endpoint reads in it.
 */
#ifndef PACE_H
#define PACE_H

#include "base/base.h"

enum {
	PACE_SLOTS = 8, /* of the time that sends are remembered for */
};

/** What an endpoint reports of its machine; zero: nothing yet. */
typedef struct pace {
	double last;  /* how long work takes, 1: as usual */
	double usual; /* its average over some seconds */
	ms_t at;      /* of last, 0: none */
} pace_t;

/**
 * An endpoint reported how long work takes.
 * @param hundredths 100: as usual
 * @param at of the report; older ones than the last are ignored
 */
void pace_report(pace_t *p, int hundredths, ms_t at);
/**
 * @return how long work takes now. A machine is slow for a moment only, so an
 * old report fades towards the average.
 */
double pace_now(const pace_t *p, ms_t now);

/** Work that was sent lately, in reference tokens; zero at first. */
typedef struct pace_window {
	double slot[PACE_SLOTS];
	ms_t slot_at; /* number of the newest one */
} pace_window_t;

void pace_window_add(pace_window_t *w, double tokens, ms_t now);
/** @return what was sent in the last 400 ms */
double pace_window_sum(const pace_window_t *w, ms_t now);

/** The streams of a service. */
typedef struct pace_stream {
	ms_t gap;  /* longest pause that its routes allow, 0: any */
	int steps; /* that make an event */
} pace_stream_t;

/**
 * @param speed prompt tokens per ms, now
 * @param factor how long work takes, now
 * @return prompt tokens that may be read between two events
 */
double pace_room(const pace_stream_t *s, double speed, double factor);

/**
 * What a prompt token of a model costs, compared with other models. Learnt from
 * prompts that were read alone. Zero at first.
 */
typedef struct pace_cost {
	double us_per_token; /* where work takes as long as usual */
	int samples;
} pace_cost_t;

/** Reference tokens that an endpoint reads in a ms while work takes as usual.
 */
#define PACE_REFERENCE_SPEED 20.0

/** @param us_per_token of one prompt, divided by pace_now() */
void pace_cost_sample(pace_cost_t *c, double us_per_token);
/** @return reference tokens for a token of the model, 1 if it isn't known */
double pace_cost_tokens(const pace_cost_t *c);

#endif
