/**
 * @file call.h
 * A call as the HTTP server sees it. Private to caller/.
 */
#ifndef CALL_H
#define CALL_H

#include "caller/caller.h"

#include <pthread.h>
#include <glib.h>
#include <microhttpd.h>

/** The server's progress with a request. */
typedef enum phase {
	PHASE_HEAD,	/* headers are read */
	PHASE_BODY,	/* reading the body */
	PHASE_ROUTING,	/* passed to the router */
	PHASE_ANSWERED, /* a response is queued */
} phase_t;

struct call {
	request_t request;
	char id[ID_MAX];
	ms_t received_at;
	ms_t started; /* when the request line was read */
	handle_t tag;
	int refs;

	/* Used by the server's thread only. */
	server_t *server;
	phase_t phase;
	char *uri;
	GString *body;
	bool too_large, too_slow;
	struct MHD_Connection *connection;

	/* Shared by router and server, under the lock. */
	pthread_mutex_t lock;
	bool suspended;
	bool begun, streaming, ended, disconnected;
	int status;
	char type[ID_MAX];
	ran_t ran;
	ms_t retry_after;
	GString *output;
	size_t sent_len; /* bytes of output already sent */
};

call_t *call_new(server_t *s, const char *uri);
/**
 * Suspends the connection until the answer begins.
 * @return false: it has begun already; the connection isn't suspended.
 */
bool call_suspend_until_begun(call_t *c);
/**
 * Copies pending output to @p buf.
 * @return bytes; 0: none yet, the connection is suspended; -1: end of answer.
 */
ssize_t call_read(call_t *c, char *buf, size_t max);
/**
 * The connection is closed or the answer is sent.
 * @return true: the router hadn't ended the answer yet.
 */
bool call_close(call_t *c);

/**
 * Parses path, headers and body into c->request.
 * @return false: invalid; @p f holds the error answer.
 */
bool request_parse(call_t *c, const settings_t *s, const char *path,
    const char *method, call_error_t *f);

#endif
