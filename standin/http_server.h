/**
 * @file http_server.h
 * HTTP server of the in-process stand-ins: accepts connections on an event
 * loop and collects the body of each request.
 */
#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include "net/net.h"

#include <glib.h>

typedef struct http_server http_server_t;

/** A connection; the first member of the stand-in's own connection type. */
typedef struct server_conn {
	http_server_t *server;
	http_conn_t *http;
	buf_t body;    /* of the request, as far as received */
	alarm_t alarm; /* for the stand-in; stopped when the connection ends */
} server_conn_t;

typedef struct http_server_ops {
	size_t size; /* bytes of the stand-in's connection type */
	void (*head)(
	    server_conn_t *c); /* a request's head was read, may be NULL */
	void (*done)(server_conn_t *c); /* the request is complete */
	void (*end)(server_conn_t *c);	/* the connection ends, may be NULL */
} http_server_ops_t;

struct http_server {
	loop_t *loop;
	const http_server_ops_t *ops;
	void *owner;
	watch_t listener;
	GPtrArray *conns;
	int accepted; /* since the start */
};

/** Listen on @p addr. Ends the program if that fails. */
void http_server_open(http_server_t *s, loop_t *l, const char *addr,
    const http_server_ops_t *ops, void *owner);
/** Free the state of a connection that is already closed. */
void server_conn_forget(server_conn_t *c);
/** Close the connection and free its state. */
void server_conn_close(server_conn_t *c);
/** Stop listening, close all connections and free their state. */
void http_server_close(http_server_t *s);

#endif
