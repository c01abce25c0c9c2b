/**
 * @file http_request.h
 * A caller: one request on a connection of its own, and what came of it.
 */
#ifndef HTTP_REQUEST_H
#define HTTP_REQUEST_H

#include "net/net.h"

typedef struct http_request http_request_t;
/** The answer is whole, or the connection has ended. */
typedef void http_request_fn(void *arg, http_request_t *p);

struct http_request {
	loop_t *loop;
	http_conn_t *link;
	int status;
	buf_t body;
	char *headers; /* of the answer: "Name: value" lines */
	bool done;     /* the answer is whole */
	bool closed;   /* the connection closed */
	ms_t started_at, first_byte_at, ended_at;
	http_request_fn *fn; /* told once, may be NULL */
	void *arg;
};

/** Send @p bytes to @p addr. @return NULL if no connection may be had */
http_request_t *http_request_open(loop_t *l, const char *addr,
    const char *bytes, http_request_fn *fn, void *arg);
/** Close the connection, if it is open. */
void http_request_close(http_request_t *p);
void http_request_free(http_request_t *p);
/** The body so far, ended by a zero byte; g_malloc'd. */
char *http_request_body(const http_request_t *p);

#endif
