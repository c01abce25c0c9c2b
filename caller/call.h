#ifndef CALL_H
#define CALL_H

#include "caller/caller.h"

#include <pthread.h>
#include <glib.h>
#include <microhttpd.h>

/** How far the server has come with a connection's request. */
typedef enum phase {
	PHASE_HEAD,	/* headers are there */
	PHASE_BODY,	/* reading the body */
	PHASE_ROUTING,	/* the router has it */
	PHASE_ANSWERED, /* a response is queued */
} phase_t;

struct call {
	request_t request;
	char id[ID_MAX];
	ms_t received_at;
	ms_t started; /* the first byte was there */
	handle_t tag;
	int refs;

	/* The server thread's. */
	server_t *server;
	phase_t phase;
	char *uri;
	GString *body;
	bool too_large, too_slow;
	struct MHD_Connection *connection;

	/* Under the lock: what router and server share. */
	pthread_mutex_t lock;
	bool suspended;
	bool begun, streaming, ended, disconnected;
	int status;
	char type[ID_MAX];
	ran_t ran;
	ms_t retry_after;
	GString *output;
	size_t sent_len; /* of output */
};

call_t *call_new(server_t *s, const char *uri);
/** Suspend the connection. @return false: there is something to send. */
bool call_suspend_until_begun(call_t *c);
/** Copy out what there is. @return bytes, 0 (suspended), or -1 at the end. */
ssize_t call_read(call_t *c, char *buf, size_t max);
/** The caller went away, or the answer is out. */
bool call_close(call_t *c);

/** Read path, headers and body into c->request. @return false: *f says why. */
bool request_parse(call_t *c, const settings_t *s, const char *path,
    const char *method, call_error_t *f);

#endif
