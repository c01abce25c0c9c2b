/**
 * @file system.h
 * Test fixture: a small deployment whose platform, workers and daemons are all
 * processes; platform and workers are stand-ins.
 */
#ifndef SYSTEM_H
#define SYSTEM_H

#include "tests/proc.h"

#include <glib.h>

enum {
	ENTRIES_MAX = 8,
	WORKERS_MAX = 24,
	START_MS = 20000 /* limit for a process to become ready */
};

/** A field that is 0 gets its default, except the numbers of workers. */
typedef struct system_opts {
	int nentry;   /* entry instances */
	int ndomain;  /* failure domains for entries and workers */
	int nengine;  /* workers of "llm" */
	int nservice; /* workers of "web", whose calls are never repeated */
	bool no_fencing;
	int memory_mb; /* of an engine */
	int slots;     /* of an engine */
	int token_ms, first_ms;
	int work_ms; /* of a plain call */
	int list_lag_ms;
	const char *settings; /* further settings, INI text, read last */
} system_opts_t;

typedef struct entry_proc {
	char id[ID_MAX];
	char *caller, *peer, *operator; /* addresses */
	char *file;			/* path of its settings */
	proc_t *controld, *entryd;
} entry_proc_t;

typedef struct worker_proc {
	char id[ID_MAX];
	char domain[ID_MAX];
	char *addr;
	bool engine;
	proc_t *proc;
} worker_proc_t;

typedef struct system {
	system_opts_t o;
	char *dir;
	char *platform_addr;
	proc_t *platform;
	entry_proc_t entry[ENTRIES_MAX];
	int nentry;
	worker_proc_t worker[WORKERS_MAX]; /* engines first */
	int nworker;
} system_t;

/** Start a deployment and wait until each entry is ready. */
system_t *system_start(const system_opts_t *o);
/** Kill the processes that still run, and free. */
void system_stop(system_t *s);
/** (Re)start a daemon of an entry that is already on the platform's list. */
void system_start_controld(system_t *s, int entry);
void system_start_entryd(system_t *s, int entry);
/** (Re)start a worker's process, with empty memory. */
void system_start_worker(system_t *s, int worker);
/** Put an instance on the platform's list, or take it off. */
void system_set_listed(system_t *s, const char *id, bool on, bool leaving);

/**
 * Submit a release note to an entry's controld.
 * @return its number, or 0 if it was refused
 */
uint64_t system_apply_note(system_t *s, int entry, const char *text);
/** Wait until an entry's controld reports note @p n as in force. */
bool system_in_force(system_t *s, int entry, uint64_t n, ms_t span);
/**
 * Apply a first note that adds models "m0".. of 8000 MB and adapters "a0".. of
 * m0, and wait until it is in force. @return its number.
 */
uint64_t system_apply_first_note(system_t *s, int nmodel, int nadapter);
/** Set faults of a stand-in, given as JSON. */
void system_set_faults(const char *addr, const char *json);
/** @return an integer member of a JSON page, or -1 if it is missing. */
int64_t system_json_int(const char *addr, const char *path, const char *name);

/** Outcome of a call, as its caller sees it. */
typedef struct outcome {
	int status; /* 0: no complete answer */
	/* A model's answer is complete and has only this prompt's tokens. */
	bool whole;
	bool foreign; /* has a token of another prompt */
	bool error_event;
	int tokens;
	char ran[16];	   /* Ebonypitch-Ran */
	char code[64];	   /* of an error */
	char last_id[400]; /* of the last event */
	ms_t took;
	int64_t retry_after;
} outcome_t;

/** Make a streamed chat call for @p tokens tokens. */
outcome_t system_chat(const char *caller_addr, const char *model,
    const char *prompt, int tokens, ms_t timeout);
/** The same; retries after the given delay while told that it wasn't run. */
outcome_t system_chat_retry(const char *caller_addr, const char *model,
    const char *prompt, int tokens, ms_t timeout);
/** The same as system_chat(), with further headers. */
outcome_t system_chat_with(const char *caller_addr, const char *model,
    const char *prompt, int tokens, const char *headers, ms_t timeout);
/** Check the body of an answer that starts at token @p from. */
void outcome_check(
    outcome_t *o, const char *body, const char *prompt, int from, int tokens);
/** Make a plain call to "web". @param key idempotency key, or NULL */
outcome_t system_plain_call(
    const char *caller_addr, const char *path, const char *key, ms_t timeout);
/** A call made by a thread of its own. */
typedef struct background {
	const char *addr;
	char prompt[64];  /* or the key of a plain call */
	const char *path; /* of a plain call, NULL for a chat with m0 */
	int tokens;
	bool retry; /* as system_chat_retry() */
	ms_t timeout;
	outcome_t outcome; /* valid once joined */
	GThread *thread;
} background_t;
/** Start the call; @p b must stay valid until background_join(). */
void background_start(background_t *b);
/** Wait for @p n calls. */
void background_join(background_t *b, int n);

/**
 * @return how often calls with that key ran on all services, or -1 if one of
 * them doesn't answer
 */
int system_run_count(system_t *s, const char *key);

#endif
