/**
 * @file system.h
 * For tests: a small deployment of real processes with stand-ins.
 */
#ifndef SYSTEM_H
#define SYSTEM_H

#include "tests/proc.h"

#include <glib.h>

enum {
	ENTRIES_MAX = 8,
	WORKERS_MAX = 24,
	START_MS = 20000
};

typedef struct system_opts {
	int nentry;   /* entry instances */
	int ndomain;  /* failure domains they and the workers go over */
	int nengine;  /* workers of "llm" */
	int nservice; /* workers of "web", which may not be repeated */
	bool no_fencing;
	int memory_mb; /* of an engine */
	int slots;     /* of an engine */
	int token_ms, first_ms;
	int work_ms; /* of a plain call */
	int list_lag_ms;
	const char *settings; /* further INI, read last */
} system_opts_t;

typedef struct entry_proc {
	char id[ID_MAX];
	char *caller, *peer, *operator; /* addresses */
	char *file;			/* its settings */
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

/** Start all and wait until each entry is ready. */
system_t *system_start(const system_opts_t *o);
/** Kill all that is left and free. */
void system_stop(system_t *s);
/** (Re)start the daemons of an entry; the list knows it already. */
void system_start_controld(system_t *s, int entry);
void system_start_entryd(system_t *s, int entry);
/** (Re)start a worker's process, with empty memory. */
void system_start_worker(system_t *s, int worker);
/** Put an instance on the platform's list, or take it off. */
void system_set_listed(system_t *s, const char *id, bool on, bool leaving);

/** Hand a note in at an entry's controld. @return its number, 0: refused. */
uint64_t system_apply_note(system_t *s, int entry, const char *text);
/** Wait until an entry's controld says that note n is in force. */
bool system_in_force(system_t *s, int entry, uint64_t n, ms_t span);
/** A first note with models m0.. (8000 MB), and adapters a0.. on m0. */
uint64_t system_apply_first_note(system_t *s, int nmodel, int nadapter);
/** Set faults of a stand-in by its control URL. */
void system_set_faults(const char *addr, const char *json);
/** A number out of a stand-in's JSON page; -1 if it isn't there. */
int64_t system_json_int(const char *addr, const char *path, const char *name);

/** What became of a call, as its caller sees it. */
typedef struct outcome {
	int status;   /* 0: the connection was cut */
	bool whole;   /* a model's answer: complete and this prompt's own */
	bool foreign; /* holds a token that isn't this prompt's */
	bool error_event;
	int tokens;
	char ran[16];	   /* Ebonypitch-Ran */
	char code[64];	   /* of an error */
	char last_id[400]; /* of the last event */
	ms_t took;
	int64_t retry_after;
} outcome_t;

/** A streamed chat call for N tokens. @p prompt is made unlike others. */
outcome_t system_chat(const char *caller_addr, const char *model,
    const char *prompt, int tokens, ms_t timeout);
/** The same, asking again while told that it wasn't run, as callers do. */
outcome_t system_chat_retry(const char *caller_addr, const char *model,
    const char *prompt, int tokens, ms_t timeout);
/** The same as the first with further headers, or resuming. */
outcome_t system_chat_with(const char *caller_addr, const char *model,
    const char *prompt, int tokens, const char *headers, ms_t timeout);
/** Check an answer's body against its prompt, tokens from @p from on. */
void outcome_check(
    outcome_t *o, const char *body, const char *prompt, int from, int tokens);
/** A plain call to "web". */
outcome_t system_plain_call(
    const char *caller_addr, const char *path, const char *key, ms_t timeout);
/** A call on a thread of its own. */
typedef struct background {
	const char *addr;
	char prompt[64];  /* or the key of a plain call */
	const char *path; /* of a plain call, NULL for a chat with m0 */
	int tokens;
	bool retry; /* ask again while told "not run" */
	ms_t timeout;
	outcome_t outcome; /* once joined */
	GThread *thread;
} background_t;
/** Start what the fields say; @p b must stay until it is joined. */
void background_start(background_t *b);
void background_join(background_t *b, int n);

/** How often a plain call of that key ran, over all services; -1 unknown. */
int system_run_count(system_t *s, const char *key);

#endif
