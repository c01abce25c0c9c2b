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
typedef struct burden_share {
	int unread;  /* prompt tokens of calls without a first event */
	int running; /* calls on their way */
	int memory;  /* tokens that they take, output included */
} burden_share_t;

/**
 * Prompts read without a pause keep all streams of the endpoint waiting: one
 * after another they would miss their gaps and never end. So prompts are sent
 * at a part of the endpoint's pace, and only so many at once.
 */
typedef struct burden_bounds {
	double part; /* of the pace that prompts may take, 0..1 */
	double gap;  /* ms that a stream may wait between its events */
} burden_bounds_t;

typedef struct burden {
	burden_share_t own, others;
	double level; /* tokens sent and not yet worked off at that part */
	ms_t level_at;
	double flow; /* tokens a ms that came of late */
	ms_t flow_at;
	double pace;  /* prompt tokens read in a ms, 0: not learnt */
	double work;  /* ms of a plain call alone, 0: not learnt */
	int slots;    /* calls in one batch */
	int capacity; /* tokens of memory, 0: a plain service */
	int said_running, said_waiting; /* by the endpoint, -1: never */
	ms_t said_at;
	double error; /* mean |predicted - seen| / seen */
} burden_t;

/** One call's part; given back when the call ends. */
typedef struct burden_ticket {
	int unread, memory;
	bool on;
	int queue;	  /* tokens before and with it when it was sent */
	double predicted; /* ms to the first event */
} burden_ticket_t;

/** Paces of all endpoints together, for those that have none of their own. */
typedef struct burden_usual {
	double pace, work;
} burden_usual_t;

void burden_init(burden_t *b, int slots, int capacity);
/**
 * ms until the first event (or the whole answer of a plain call) of a call
 * with @p fresh prompt tokens to be read.
 */
double burden_first(const burden_t *b, const burden_usual_t *u, int fresh);
/** Tokens were sent there, by this instance or another one. */
void burden_pour(burden_t *b, const burden_usual_t *u,
    const burden_bounds_t *bo, int tokens, ms_t now);
/**
 * ms until a call with @p fresh tokens may be sent, 0: now. One that is too
 * large for the bounds goes to an endpoint that has nothing to read.
 */
double burden_wait(const burden_t *b, const burden_usual_t *u,
    const burden_bounds_t *bo, int fresh, ms_t now);
/** Weights of what a call costs beside its own first event. */
typedef struct burden_weights {
	double stream; /* ms of its own output that prompts delay */
	double others; /* ms that its prompt delays streams there, each */
} burden_weights_t;

/**
 * What a call costs at the endpoint, in ms: its output goes slower where many
 * prompts are read, and its prompt holds up the streams that run there. So
 * long streams gather where few prompts go.
 */
double burden_cost(const burden_t *b, const burden_usual_t *u,
    const burden_weights_t *w, int fresh, int output, ms_t now);
/** Prompt tokens a ms that may be sent there. */
double burden_rate(
    const burden_t *b, const burden_usual_t *u, const burden_bounds_t *bo);
/** Tokens of memory that are free beside what is promised. */
int burden_room(const burden_t *b);
/** Share of its slots in use. */
double burden_fill(const burden_t *b);
void burden_send(burden_t *b, const burden_usual_t *u, burden_ticket_t *t,
    int fresh, int memory);
/** The first event came @p took ms after the call was sent: learn. */
void burden_first_seen(
    burden_t *b, burden_usual_t *u, burden_ticket_t *t, ms_t took);
void burden_end(burden_t *b, burden_ticket_t *t);
/** A plain call took so long. */
void burden_plain_seen(burden_t *b, burden_usual_t *u, ms_t took);
void burden_said(burden_t *b, int running, int waiting, int slots, ms_t now);

#endif
