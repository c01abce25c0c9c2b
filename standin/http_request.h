/**
 * @file http_request.h
 * A caller: one request on a connection of its own, and what came of it.
 */
#ifndef HTTP_REQUEST_H
#define HTTP_REQUEST_H

#include "net/net.h"

typedef struct patron patron_t;
/** The answer is whole, or the connection has ended. */
typedef void patron_fn(void *arg, patron_t *p);

struct patron {
	loop_t *loop;
	link_t *link;
	int status;
	buf_t body;
	char *head; /* of the answer: "Name: value" lines */
	bool done;  /* the answer is whole */
	bool ended; /* the connection closed */
	ms_t began, first, over;
	patron_fn *fn; /* told once, may be NULL */
	void *arg;
};

/** Send @p bytes to @p addr. @return NULL if no connection may be had */
patron_t *patron_open(
    loop_t *l, const char *addr, const char *bytes, patron_fn *fn, void *arg);
/** Close the connection, if it is open. */
void patron_leave(patron_t *p);
void patron_free(patron_t *p);
/** The body so far, ended by a zero byte; g_malloc'd. */
char *patron_text(const patron_t *p);

#endif
