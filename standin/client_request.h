/**
 * @file client_request.h
 * A caller: one request on a connection of its own, and what came of it.
 */
#ifndef CLIENT_REQUEST_H
#define CLIENT_REQUEST_H

#include "net/net.h"

typedef struct client_request client_request_t;
/** The answer is whole, or the connection has ended. */
typedef void client_request_fn(void *arg, client_request_t *p);

struct client_request {
	loop_t *loop;
	http_conn_t *http;
	int status;
	buf_t body;
	char *headers; /* of the answer: "Name: value" lines */
	bool done;     /* the answer is whole */
	bool closed;   /* the connection closed */
	ms_t started_at, first_byte_at, ended_at;
	client_request_fn *fn; /* told once, may be NULL */
	void *arg;
};

/** Send @p bytes to @p addr. @return NULL if no connection may be had */
client_request_t *client_request_open(loop_t *l, const char *addr,
    const char *bytes, client_request_fn *fn, void *arg);
/** Close the connection, if it is open. */
void client_request_close(client_request_t *p);
void client_request_free(client_request_t *p);
/** The body so far, ended by a zero byte; g_malloc'd. */
char *client_request_body(const client_request_t *p);

#endif
