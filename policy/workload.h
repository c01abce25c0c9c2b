/**
 * @file workload.h
 * A model of one endpoint: prompts are read one after another between the
 * tokens of the batch, and prompts and output share its memory. It is fed by
 * this instance's own calls, by what other instances tell of theirs, and by
 * what the endpoint itself says.
 */
#ifndef WORKLOAD_H
#define WORKLOAD_H

#include "base/base.h"

/** What one instance has at an endpoint. */
typedef struct workload_share {
	int prefill_tokens; /* prompt tokens of calls without a first event */
	int running;	    /* calls on their way */
	int kv_tokens;	    /* tokens that they take, output included */
} workload_share_t;

/**
 * Prompts read without a pause keep all streams of the endpoint waiting: one
 * after another they would miss their gaps and never end. So prompts are sent
 * at a part of the endpoint's pace, and only so many at once.
 */
typedef struct workload_limits {
	double prefill_share; /* of the pace that prompts may take, 0..1 */
	double stream_gap_ms; /* ms that a stream may wait between its events */
} workload_limits_t;

typedef struct workload {
	workload_share_t own, others;
	double
	    bucket_tokens; /* tokens sent and not yet worked off at that part */
	ms_t bucket_at;
	double arrival_rate; /* tokens a ms that came of late */
	ms_t arrival_rate_at;
	double prefill_speed; /* prompt tokens read in a ms, 0: not learnt */
	double plain_call_ms; /* ms of a plain call alone, 0: not learnt */
	int slots;	      /* calls in one batch */
	int kv_capacity;      /* tokens of memory, 0: a plain service */
	int reported_running, reported_waiting; /* by the endpoint, -1: never */
	ms_t reported_at;
	double prediction_error; /* mean |predicted - seen| / seen */
} workload_t;

/** One call's part; given back when the call ends. */
typedef struct workload_reservation {
	int prefill_tokens, kv_tokens;
	bool active;
	int queued_tokens;   /* tokens before and with it when it was sent */
	double predicted_ms; /* ms to the first event */
} workload_reservation_t;

/** Paces of all endpoints together, for those that have none of their own. */
typedef struct workload_average {
	double prefill_speed, plain_call_ms;
} workload_average_t;

void workload_init(workload_t *b, int slots, int capacity);
/**
 * ms until the first event (or the whole answer of a plain call) of a call
 * with @p fresh prompt tokens to be read.
 */
double workload_predict_ms(
    const workload_t *b, const workload_average_t *u, int fresh);
/** Tokens were sent there, by this instance or another one. */
void workload_prompt_sent(workload_t *b, const workload_average_t *u,
    const workload_limits_t *bo, int tokens, ms_t now);
/**
 * ms until a call with @p fresh tokens may be sent, 0: now. One that is too
 * large for the bounds goes to an endpoint that has nothing to read.
 */
double workload_send_delay_ms(const workload_t *b, const workload_average_t *u,
    const workload_limits_t *bo, int fresh, ms_t now);
/** Weights of what a call costs beside its own first event. */
typedef struct workload_cost_weights {
	double own_output; /* ms of its own output that prompts delay */
	double
	    other_streams; /* ms that its prompt delays streams there, each */
} workload_cost_weights_t;

/**
 * What a call costs at the endpoint, in ms: its output goes slower where many
 * prompts are read, and its prompt holds up the streams that run there. So
 * long streams gather where few prompts go.
 */
double workload_cost_ms(const workload_t *b, const workload_average_t *u,
    const workload_cost_weights_t *w, int fresh, int output, ms_t now);
/** Prompt tokens a ms that may be sent there. */
double workload_prompt_rate(const workload_t *b, const workload_average_t *u,
    const workload_limits_t *bo);
/** Tokens of memory that are free beside what is promised. */
int workload_kv_free(const workload_t *b);
/** Share of its slots in use. */
double workload_slot_use(const workload_t *b);
void workload_reserve(workload_t *b, const workload_average_t *u,
    workload_reservation_t *t, int fresh, int memory);
/** The first event came @p took ms after the call was sent: learn. */
void workload_first_event(
    workload_t *b, workload_average_t *u, workload_reservation_t *t, ms_t took);
void workload_release(workload_t *b, workload_reservation_t *t);
/** A plain call took so long. */
void workload_plain_done(workload_t *b, workload_average_t *u, ms_t took);
void workload_set_reported(
    workload_t *b, int running, int waiting, int slots, ms_t now);

#endif
