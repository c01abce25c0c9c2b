/**
 * @file drive.h
 * The load tool's run: calls in progress and where they are sent.
 */
#ifndef BENCH_DRIVE_H
#define BENCH_DRIVE_H

#include "bench/load.h"

#include "endpoint/multi.h"

/* A caller keeps the system's answer to which entry to use. */
typedef struct caller {
	char **entry;
	int nentry, next_entry;
	int64_t expires_us; /* us */
} caller_t;

typedef enum step {
	STEP_WAIT,
	STEP_ENTRIES,
	STEP_CALL,
	STEP_DONE
} step_t;

/* A call in progress. */
typedef struct active_call {
	job_t *job;
	step_t step;
	int64_t retry_at;   /* WAIT: us */
	int64_t deadline;   /* us, then it is lost */
	int64_t last_token; /* token, us */
	CURL *easy;
	struct curl_slist *headers;
	char *request_body; /* the request's body */
	GString *response;
	answer_check_t check;
	char ran[16];
	ms_t retry_after, max_age;
	int entry_tries;
	bool resuming;
} active_call_t;

typedef struct load {
	plan_opts_t plan;
	char *entries, *models, *engines, *services, *service, *direct, *domain;
	int promise_ms, gap_ms, timeout_ms, retries, accelerators, seconds;
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

/** The tool's one state. drive.c */
extern load_t load;

int64_t now_us(void);
bool is_chat(const job_t *j);

/** Requests. send.c */
void send_chat(active_call_t *a, const char *addr);
void send_resume(active_call_t *a, const char *addr);
void send_plain(active_call_t *a, const char *addr);
void send_entries(active_call_t *a, const char *addr);
void close_request(active_call_t *a);

/** Run the plan to its end. drive.c */
void run_plan(void);

#endif
