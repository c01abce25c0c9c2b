/**
 * @file drive.h
 * Load tool: calls in progress and the entries they are sent to.
 */
#ifndef BENCH_DRIVE_H
#define BENCH_DRIVE_H

#include "bench/load.h"

#include "endpoint/multi.h"

/* A simulated caller with its cached answer of GET /v1/entries. */
typedef struct caller {
	char **entry;
	int nentry, next_entry;
	int64_t expires_us; /* then it asks for the list again */
} caller_t;

typedef enum step {
	STEP_WAIT,    /* until the next try */
	STEP_ENTRIES, /* GET /v1/entries is in progress */
	STEP_CALL,    /* the call's request is in progress */
	STEP_DONE
} step_t;

/* A call in progress. */
typedef struct active_call {
	job_t *job;
	step_t step;
	int64_t retry_at;   /* in STEP_WAIT: us */
	int64_t deadline;   /* us; a call without a result by then is lost */
	int64_t last_token; /* time of the last token, us; 0: none */
	CURL *easy;
	struct curl_slist *headers;
	char *request_body;
	GString *response;
	answer_check_t check;
	char ran[16]; /* header Ebonypitch-Ran of the response */
	ms_t retry_after, max_age;
	int entry_tries;
	bool resuming;
} active_call_t;

/* Options and state of the run. */
typedef struct load {
	plan_opts_t plan;
	char *entries, *models, *engines, *services, *service, *direct, *domain;
	int target_latency_ms, gap_ms, timeout_ms, retries, accelerators,
	    seconds;
	int tokens, seed;
	gboolean json, kills;
	char **seed_entry, **model;
	int nseed, nmodel;
	caller_t *caller;
	job_t *job;
	int njob;
	GPtrArray *active;
	multi_t multi;
	int64_t start; /* us */
	tally_t tally;
} load_t;

/** The only instance. drive.c */
extern load_t load;

/** @return monotonic time, us. */
int64_t now_us(void);
bool is_chat(const job_t *j);

/** Send a request of @p a to @p addr. send.c */
void send_chat(active_call_t *a, const char *addr);
void send_resume(active_call_t *a, const char *addr);
void send_plain(active_call_t *a, const char *addr);
void send_entries(active_call_t *a, const char *addr);
/** Cancel the request, if one is in progress, and free it. */
void close_request(active_call_t *a);

/** Send the calls of the plan and wait until all have a result. drive.c */
void run_plan(void);

#endif
