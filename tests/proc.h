/**
 * @file proc.h
 * For tests that start real processes: programs, free ports, HTTP, waits.
 */
#ifndef PROC_H
#define PROC_H

#include "base/base.h"

#include <sys/types.h>

/** A started program of build/bin; its stderr goes to build/testlog. */
typedef struct proc {
	char name[ID_MAX];
	pid_t pid;  /* 0 once it has been waited for */
	int status; /* of waitpid() */
} proc_t;

/** Start @p name with the arguments that follow, up to NULL. */
proc_t *proc_start(const char *name, ...) __attribute__((sentinel));
proc_t *proc_startv(const char *name, char *const args[]);
/** The next program started writes its output there, not to build/testlog. */
void proc_output(int fd);
void proc_signal(proc_t *p, int sig);
/** @return true once it has ended, within @p span ms. */
bool proc_ended(proc_t *p, ms_t span);
/** SIGKILL, wait, free. NULL is fine. */
void proc_kill(proc_t *p);

/** Take @p n ports that nobody listens on; each is given once. */
void ports_take(int *port, int n);
/** "127.0.0.1:port" in a g_malloc'd string. */
char *addr_of(int port);

typedef struct reply {
	int status; /* 0: no answer */
	char *body; /* g_malloc'd, never NULL */
	char *head; /* header lines, g_malloc'd, never NULL */
	size_t len;
} reply_t;
/** One HTTP call; @p headers are "Name: value" lines split by '\n', or NULL. */
reply_t http_call(const char *method, const char *addr, const char *path,
    const char *headers, const char *body, ms_t timeout);
void reply_clear(reply_t *r);
/** Value of a header in a reply, g_malloc'd, or NULL. */
char *reply_header(const reply_t *r, const char *name);

/** Ask until @p path answers with @p status. */
bool http_until(const char *addr, const char *path, int status, ms_t span);
typedef bool cond_t(void *user);
/** Wait for a condition, looking every 10 ms. */
bool eventually(cond_t *cond, void *user, ms_t span);

#endif
