/**
 * @file load.h
 * The load tool's parts: the plan of calls, the check of answers, what the
 * endpoints' records say, and the table at the end.
 */
#ifndef BENCH_LOAD_H
#define BENCH_LOAD_H

#include "base/base.h"

#include <glib.h>
#include <jansson.h>

typedef enum job_kind {
	JOB_STREAM,  /* chat, streamed */
	JOB_CHAT,    /* chat, answered whole */
	JOB_KEYED,   /* plain, with an Idempotency-Key */
	JOB_UNKEYED, /* plain, without */
} job_kind_t;

/** What became of a call, all its tries together. */
typedef enum verdict {
	VERDICT_OPEN,
	VERDICT_WHOLE,
	VERDICT_REFUSED,    /* told: not run */
	VERDICT_FAILED,	    /* told: ran and failed */
	VERDICT_UNKNOWN,    /* told: may have run */
	VERDICT_UNANSWERED, /* connection died and asking again isn't safe */
	VERDICT_LOST,	    /* no answer, however often asked */
	VERDICT_CUT,	    /* ended without its end marker or an error */
	VERDICT_DOUBLED,    /* a part came twice */
	VERDICT_FOREIGN,    /* a part isn't of this call's answer */
	VERDICT_N
} verdict_t;

const char *verdict_name(verdict_t v);

/** A piece of an answer checked against the prompt. answer.c */
typedef struct answer_check {
	const char *prompt;
	uint32_t total_tokens; /* tokens of the whole */
	uint32_t next_token;
	bool ended; /* end marker seen */
	bool error; /* an explicit error event */
	bool error_not_run;
	char error_code[ID_MAX]; /* of the error */
	bool doubled, foreign;
	char call_id[ID_MAX]; /* of the call, from the first event */
	char event_id[1024];  /* last event's id, to resume with */
	GString *line, *data;
	bool is_error;
} answer_check_t;

void answer_init(answer_check_t *a, const char *prompt, uint32_t total);
void answer_clear(answer_check_t *a);
/** A new connection goes on with the same answer. */
void answer_resume(answer_check_t *a);
/** Take bytes of an event stream. @return tokens that came. */
int answer_feed(answer_check_t *a, const char *p, size_t n);
/** Check a JSON answer that came whole. */
void answer_check_json(answer_check_t *a, const char *p, size_t n);
/** @return OPEN when the stream just broke off. */
verdict_t answer_verdict(const answer_check_t *a);

/** The plan. plan.c */
typedef struct plan_opts {
	double rate;	     /* calls a second between bursts */
	double burst_factor; /* factor on it during a burst */
	ms_t span_ms;	     /* of the whole plan */
	double plain_share;  /* share of calls to the plain service */
	double skew;	     /* exponent of the models' popularity */
	uint32_t tokens;     /* of an answer, on average */
	int callers;
	uint64_t seed;
} plan_opts_t;

typedef struct job {
	uint32_t number;
	ms_t start_ms; /* from the start */
	job_kind_t kind;
	const char *model;
	char *prompt;	 /* or a plain call's path */
	uint32_t tokens; /* of the answer */
	int caller;
	/* what came of it */
	verdict_t verdict;
	int tries, resumes;
	int64_t first_us, whole_us; /* us after at */
	bool in_time;
	char error_code[ID_MAX]; /* of an error it was told */
} job_t;

/** @return jobs in the order of their times, g_free'd by the caller. */
job_t *plan_make(
    const plan_opts_t *o, const char *const *model, int nmodel, int *n);
void plan_free(job_t *job, int n);

enum {
	ENGINES_MAX = 256,
	CODES_MAX = 16
};

/** An engine process's own counts; another process begins anew. */
typedef struct engine_moves {
	char incarnation[ID_MAX];
	int64_t moves;
} engine_moves_t;

/** What the endpoints' records say. records.c */
typedef struct records {
	int asked, read;
	engine_moves_t engine[ENGINES_MAX];
	int64_t loads, unloads, overcommits, peak_mb;
	int64_t ran_twice;   /* plain calls */
	int64_t ran_refused; /* told "not run", and it ran */
	int64_t not_ran;     /* answered, and it never ran */
} records_t;

void records_engines(records_t *r, const char *const *addr);
/** Moves between two readings, by the processes that still live. */
int64_t records_moves(const records_t *before, const records_t *after);
void records_services(
    records_t *r, const char *const *addr, const job_t *job, int n);

/** The table. print.c */
typedef struct tally {
	int calls;
	int by_verdict[VERDICT_N];
	int in_time;
	char error_code[CODES_MAX][ID_MAX]; /* errors told in the end */
	int error_count[CODES_MAX];
	int nerror;
	int retries, resumes, moved;
	int accelerators;
	double seconds;
	uint64_t tokens;
	histo_t first, gap, whole, plain; /* us */
	records_t before, after;
} tally_t;

/** @return true when nothing was lost, cut, doubled, foreign or unsafe. */
bool tally_good(const tally_t *t, bool kills);
void tally_print(const tally_t *t, bool good);
void tally_print_json(const tally_t *t, bool good);

#endif
