/**
 * @file load.h
 * Load tool: the plan of calls, the check of their answers, the records of the
 * stand-in endpoints and the final report.
 */
#ifndef BENCH_LOAD_H
#define BENCH_LOAD_H

#include "base/base.h"

#include <glib.h>
#include <jansson.h>

typedef enum job_kind {
	JOB_STREAM,  /* chat, streamed */
	JOB_CHAT,    /* chat, answered in one JSON body */
	JOB_KEYED,   /* plain, with an Idempotency-Key */
	JOB_UNKEYED, /* plain, without a key */
} job_kind_t;

/** Result of a call over all its tries. */
typedef enum verdict {
	VERDICT_OPEN,	    /* no result yet */
	VERDICT_WHOLE,	    /* complete and correct answer */
	VERDICT_REFUSED,    /* an error that says: not run */
	VERDICT_FAILED,	    /* an error that says: ran and failed */
	VERDICT_UNKNOWN,    /* an error that says: may have run */
	VERDICT_UNANSWERED, /* connection lost and a retry isn't safe */
	VERDICT_LOST,	    /* no answer after all retries */
	VERDICT_CUT,	    /* ended without its end marker or an error */
	VERDICT_DOUBLED,    /* a part was received twice */
	VERDICT_FOREIGN,    /* a part doesn't belong to this call's answer */
	VERDICT_N
} verdict_t;

/** @return the name as it is printed. */
const char *verdict_name(verdict_t v);

/** Check of one answer, which the prompt determines. answer.c */
typedef struct answer_check {
	const char *prompt;
	uint32_t total_tokens; /* of the whole answer */
	uint32_t next_token;
	bool ended; /* end marker received */
	bool error; /* error event received */
	bool error_not_run;
	char error_code[ID_MAX]; /* of that event */
	bool doubled, foreign;
	char call_id[ID_MAX]; /* of the call, from the first event */
	char event_id[1024];  /* last event's id, to resume with */
	/* Parser: the current line, the current event's data and kind. */
	GString *line, *data;
	bool in_error_event;
} answer_check_t;

void answer_init(answer_check_t *a, const char *prompt, uint32_t total);
void answer_clear(answer_check_t *a);
/** Prepare for the rest of the same answer on a new connection. */
void answer_resume(answer_check_t *a);
/** Parse @p n bytes of an event stream. @return number of new tokens. */
int answer_feed(answer_check_t *a, const char *p, size_t n);
/** Check a complete JSON answer. */
void answer_check_json(answer_check_t *a, const char *p, size_t n);
/** @return VERDICT_OPEN if the stream ended without end marker or error. */
verdict_t answer_verdict(const answer_check_t *a);

/** Options of the plan. plan.c */
typedef struct plan_opts {
	double rate;	     /* calls a second between bursts */
	double burst_factor; /* factor on the rate during a burst */
	ms_t span_ms;	     /* duration of the arrivals */
	double plain_share;  /* share of calls to the plain service, 0 to 1 */
	double skew;	     /* exponent of the models' popularity */
	uint32_t tokens;     /* mean number in an answer */
	int callers;
	uint64_t seed;
} plan_opts_t;

/** A planned call and its result. */
typedef struct job {
	uint32_t number;
	ms_t start_ms; /* arrival, ms from the start of the run */
	job_kind_t kind;
	const char *model;
	char *prompt;	 /* path, for a plain call */
	uint32_t tokens; /* of the answer */
	int caller;
	/* result */
	verdict_t verdict;
	int tries, resumes;
	int64_t first_us, whole_us; /* first token and end, us after start_ms */
	bool in_time;
	char error_code[ID_MAX]; /* of the error answer; empty if none */
} job_t;

/** @return @p n jobs by arrival time; free with plan_free(). */
job_t *plan_make(
    const plan_opts_t *o, const char *const *model, int nmodel, int *n);
void plan_free(job_t *job, int n);

enum {
	ENGINES_MAX = 256,
	CODES_MAX = 16
};

/** Loads and unloads of one engine process; a restarted one counts from 0. */
typedef struct engine_moves {
	char incarnation[ID_MAX];
	int64_t moves;
} engine_moves_t;

/** Sum of the stand-in endpoints' records. records.c */
typedef struct records {
	int asked, read; /* endpoints */
	engine_moves_t engine[ENGINES_MAX];
	int64_t loads, unloads, overcommits, peak_mb;
	int64_t ran_twice;   /* plain calls run more than once */
	int64_t ran_refused; /* reported as not run, but ran */
	int64_t not_ran;     /* answered, but never ran */
} records_t;

/** Add the records of the engines at @p addr, a NULL-terminated list. */
void records_engines(records_t *r, const char *const *addr);
/** Moves between two readings, of the processes alive at the second. */
int64_t records_moves(const records_t *before, const records_t *after);
/** Compare the plain services' records with the results of @p n jobs. */
void records_services(
    records_t *r, const char *const *addr, const job_t *job, int n);

/** Totals of a run. print.c */
typedef struct tally {
	int calls;
	int by_verdict[VERDICT_N];
	int in_time;
	char error_code[CODES_MAX][ID_MAX]; /* of final errors */
	int error_count[CODES_MAX];
	int nerror;
	int retries, resumes, moved;
	int accelerators;
	double seconds;
	uint64_t tokens;
	histo_t first, gap, whole, plain; /* us */
	records_t before, after;
} tally_t;

/**
 * @param kills entries were killed: calls without a key may be unanswered and
 * records may be missing
 * @return true if no call was lost, cut, doubled, foreign or run unsafely and
 * no engine exceeded its memory.
 */
bool tally_good(const tally_t *t, bool kills);
void tally_print(const tally_t *t, bool good);
void tally_print_json(const tally_t *t, bool good);

#endif
