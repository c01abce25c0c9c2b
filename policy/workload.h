/**
 * @file workload.h
 * Predicts how soon an endpoint answers a call. The model: prompts are
 * processed one after another between the decoding steps of the batch, and
 * prompts and output share the KV cache. Its inputs are this instance's own
 * calls, the calls that other instances report, and the endpoint's own load
 * headers.
 */
#ifndef WORKLOAD_H
#define WORKLOAD_H

#include "policy/pace.h"

/** The calls that one instance has at an endpoint. */
typedef struct workload_share {
	int prefill_tokens; /* prompt tokens of calls without a first event */
	int running;	    /* calls in progress */
	int kv_tokens;	    /* KV cache tokens they take, output included */
} workload_share_t;

/**
 * Limits on the rate of prompt tokens. Prompts processed without a pause stop
 * every stream of the endpoint: the streams would miss their gap limit one
 * after another and never end. So prompts are sent at a share of the
 * endpoint's prefill speed, and only so many at once.
 */
typedef struct workload_limits {
	double prefill_share; /* of the prefill speed for prompts, 0..1 */
	double stream_gap_ms; /* longest pause between a stream's events */
} workload_limits_t;

typedef struct workload {
	workload_share_t own, others;
	/* Leaky bucket of prompt tokens sent; drains at the limited rate. */
	double bucket_tokens;
	ms_t bucket_at;
	double arrival_rate; /* recent prompt tokens per ms */
	ms_t arrival_rate_at;
	double prefill_speed; /* prompt tokens per ms, 0: not measured */
	double plain_call_ms; /* of a plain call alone, 0: not measured */
	int slots;	      /* calls in one batch */
	/*
	 * Endpoints of its service tell how long work takes; all tokens are
	 * reference tokens then.
	 */
	bool paced;
	pace_t pace;
	double factor; /* of the pace, by workload_refresh() */
	pace_window_t sent;
	pace_stream_t stream;
	int kv_capacity;			/* tokens, 0: a plain service */
	int reported_running, reported_waiting; /* -1: never reported */
	ms_t reported_at;
	double prediction_error; /* mean |predicted - measured| / measured */
} workload_t;

/** What one call adds to its endpoint; taken off when the call ends. */
typedef struct workload_reservation {
	int prefill_tokens, kv_tokens;
	bool active;
	int queued_tokens;   /* prefill tokens up to and with this call */
	double predicted_ms; /* to the first event */
} workload_reservation_t;

/** Averages over all endpoints, for those without a measurement. */
typedef struct workload_average {
	double prefill_speed, plain_call_ms;
} workload_average_t;

void workload_init(workload_t *wl, int slots, int kv_capacity);
/** Update how long work takes there to @p now; call it before predictions. */
void workload_refresh(workload_t *wl, ms_t now);
/**
 * @param uncached prompt tokens that aren't cached at the endpoint
 * @return ms until the first event, or until the whole answer of a plain call
 */
double workload_predict_ms(
    const workload_t *wl, const workload_average_t *avg, int uncached);
/** Prompt tokens were sent there, by this instance or another one. */
void workload_prompt_sent(workload_t *wl, const workload_average_t *avg,
    const workload_limits_t *limits, int tokens, ms_t now);
/**
 * A prompt that exceeds the limits by itself may be sent once the bucket is
 * empty.
 * @return ms until a call with @p uncached tokens may be sent, 0: now
 */
double workload_send_delay_ms(const workload_t *wl,
    const workload_average_t *avg, const workload_limits_t *limits,
    int uncached, ms_t now);
/** Weights of the delays that a call causes beside its own first event. */
typedef struct workload_cost_weights {
	double own_output;    /* per ms that prompts delay its own output */
	double other_streams; /* per ms that it delays each other stream */
} workload_cost_weights_t;

/**
 * The delays that a call causes at the endpoint, weighted, in ms: its output
 * is slower where many prompts are processed, and its prompt delays the
 * streams that run there. Calls with a long output therefore go where few
 * prompts go.
 */
double workload_cost_ms(const workload_t *wl, const workload_average_t *avg,
    const workload_cost_weights_t *weights, int uncached, int output, ms_t now);
/** @return ms that a prompt takes there, once it is its turn */
double workload_prompt_ms(
    const workload_t *wl, const workload_average_t *avg, int uncached);
/** @return the prompt tokens per ms that may be sent there */
double workload_prompt_rate(const workload_t *wl, const workload_average_t *avg,
    const workload_limits_t *limits);
/** @return the KV cache tokens that aren't reserved, INT32_MAX if plain */
int workload_kv_free(const workload_t *wl);
/** @return calls in progress per slot; above 1 calls wait there */
double workload_slot_use(const workload_t *wl);
/** A call is sent: fill in its reservation and add it to the workload. */
void workload_reserve(workload_t *wl, const workload_average_t *avg,
    workload_reservation_t *r, int uncached, int kv_tokens);
/** The first event came @p took ms after the call was sent. */
void workload_first_event(workload_t *wl, workload_average_t *avg,
    workload_reservation_t *r, ms_t took);
/** The call ended. Releasing it again has no effect. */
void workload_release(workload_t *wl, workload_reservation_t *r);
/** A plain call was answered in @p took ms. */
void workload_plain_done(workload_t *wl, workload_average_t *avg, ms_t took);
/** The endpoint reported its load; @p slots is 0 if it didn't report them. */
void workload_set_reported(
    workload_t *wl, int running, int waiting, int slots, ms_t now);

#endif
