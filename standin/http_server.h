/**
 * @file http_server.h
 * A stand-in's server: it takes connections and gathers bodies of requests.
 */
#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include "net/net.h"

#include <glib.h>

typedef struct http_server http_server_t;

/** A connection; the first member of what its stand-in keeps of it. */
typedef struct server_conn {
	http_server_t *server;
	http_conn_t *http;
	buf_t body;    /* of the request, so far */
	alarm_t alarm; /* the stand-in's; stopped when the visit ends */
} server_conn_t;

typedef struct http_server_ops {
	size_t size; /* bytes of a visit, with what follows it */
	void (*head)(server_conn_t *c); /* a request began, may be NULL */
	void (*done)(server_conn_t *c); /* it is whole */
	void (*end)(server_conn_t *c);	/* the visit ends, may be NULL */
} http_server_ops_t;

struct http_server {
	loop_t *loop;
	const http_server_ops_t *ops;
	void *owner;
	watch_t listener;
	GPtrArray *conns;
	int accepted; /* since the start */
};

/** Ends the program if it can't listen there. */
void http_server_open(http_server_t *s, loop_t *l, const char *addr,
    const http_server_ops_t *ops, void *owner);
/** The connection has ended or was closed: forget the visit. */
void server_conn_forget(server_conn_t *c);
/** Close the connection, and forget the visit. */
void server_conn_close(server_conn_t *c);
void http_server_close(http_server_t *s);

#endif
