/**
 * @file http_server.h
 * A stand-in's server: it takes connections and gathers bodies of requests.
 */
#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include "net/net.h"

#include <glib.h>

typedef struct booth booth_t;

/** A connection; the first member of what its stand-in keeps of it. */
typedef struct visit {
	booth_t *booth;
	link_t *link;
	buf_t body;    /* of the request, so far */
	alarm_t alarm; /* the stand-in's; stopped when the visit ends */
} visit_t;

typedef struct booth_ops {
	size_t size;		  /* bytes of a visit, with what follows it */
	void (*head)(visit_t *v); /* a request began, may be NULL */
	void (*done)(visit_t *v); /* it is whole */
	void (*gone)(visit_t *v); /* the visit ends, may be NULL */
} booth_ops_t;

struct booth {
	loop_t *loop;
	const booth_ops_t *ops;
	void *owner;
	watch_t door;
	GPtrArray *visit;
	int visits; /* since the start */
};

/** Ends the program if it can't listen there. */
void booth_open(booth_t *b, loop_t *l, const char *addr, const booth_ops_t *ops,
    void *owner);
/** The connection has ended or was closed: forget the visit. */
void booth_drop(visit_t *v);
/** Close the connection, and forget the visit. */
void booth_hang_up(visit_t *v);
void booth_close(booth_t *b);

#endif
