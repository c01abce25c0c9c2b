/**
 * @file proc.h
 * Helpers of the tests that start real processes: programs, free ports, HTTP
 * requests and waiting.
 */
#ifndef PROC_H
#define PROC_H

#include "base/base.h"

#include <sys/types.h>

/** A process of a program in build/bin; its output goes to build/testlog. */
typedef struct proc {
	char name[ID_MAX];
	pid_t pid;  /* 0 once it has been reaped */
	int status; /* of waitpid() */
} proc_t;

/** Start program @p name with the arguments that follow, ended by NULL. */
proc_t *proc_start(const char *name, ...) __attribute__((sentinel));
/** The same; the arguments are an array that ends with NULL. */
proc_t *proc_startv(const char *name, char *const args[]);
/** Send the standard output of the next program to @p fd. */
void proc_output(int fd);
void proc_signal(proc_t *p, int sig);
/** Wait up to @p span ms. @return whether the process has ended. */
bool proc_ended(proc_t *p, ms_t span);
/** Kill the process with SIGKILL, reap it and free @p p, which may be NULL. */
void proc_kill(proc_t *p);
/** @return a value in KB of /proc/PID/status, by its field, e.g. "VmRSS:" */
long proc_memory_kb(const proc_t *p, const char *field);

/** Reserve @p n free ports; none is given out twice. */
void ports_take(int *port, int n);
/** @return "127.0.0.1:port", g_malloc'd. */
char *addr_of(int port);

typedef struct reply {
	int status; /* 0: no answer */
	char *body; /* g_malloc'd, never NULL */
	char *head; /* header lines, g_malloc'd, never NULL */
	size_t len;
} reply_t;
/**
 * Send a request and wait for the answer.
 * @param headers "Name: value" lines separated by '\n', or NULL
 * @param timeout ms
 */
reply_t http_call(const char *method, const char *addr, const char *path,
    const char *headers, const char *body, ms_t timeout);
void reply_clear(reply_t *r);
/** @return the value of a header of the reply, g_malloc'd, or NULL. */
char *reply_header(const reply_t *r, const char *name);

/**
 * GET @p path until it answers with @p status.
 * @return whether it did within @p span ms
 */
bool http_until(const char *addr, const char *path, int status, ms_t span);
typedef bool cond_t(void *user);
/** Check a condition every 10 ms. @return whether it held within @p span ms. */
bool eventually(cond_t *cond, void *user, ms_t span);

#endif
