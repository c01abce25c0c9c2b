/**
 * @file client_request.h
 * A caller's request on a connection of its own, and its outcome.
 */
#ifndef CLIENT_REQUEST_H
#define CLIENT_REQUEST_H

#include "net/net.h"

typedef struct client_request client_request_t;
/** Called when the answer is complete or the connection has ended. */
typedef void client_request_fn(void *arg, client_request_t *p);

struct client_request {
	loop_t *loop;
	http_conn_t *http;
	int status;
	buf_t body;
	char *headers; /* of the answer, one "Name: value" a line */
	bool done;     /* the answer is complete */
	bool closed;   /* the connection has ended */
	ms_t started_at, first_byte_at, ended_at; /* 0: not yet */
	client_request_fn *fn;			  /* called once, may be NULL */
	void *arg;
};

/**
 * Connect to @p addr and send @p bytes.
 * @return NULL if the connection can't be started.
 */
client_request_t *client_request_open(loop_t *l, const char *addr,
    const char *bytes, client_request_fn *fn, void *arg);
/** Close the connection if it is open. */
void client_request_close(client_request_t *p);
void client_request_free(client_request_t *p);
/** @return the body received so far as a NUL-terminated string, g_malloc'd. */
char *client_request_body(const client_request_t *p);

#endif
