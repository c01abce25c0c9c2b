/**
 * @file net.h
 * One thread's event loop, and HTTP/1.1 connections on it.
 *
 * A callback may close any connection, its own included: memory goes back at
 * the end of the loop's turn.
 */
#ifndef NET_H
#define NET_H

#include "base/base.h"

#include <http_parser.h>
#include <netinet/in.h>

/** Bytes in order; what was taken from the front is dropped lazily. */
typedef struct buf {
	char *p;
	size_t off, len, cap; /* held: p[off .. len) */
} buf_t;

void buf_add(buf_t *b, const void *p, size_t n);
void buf_str(buf_t *b, const char *s);
void buf_fmt(buf_t *b, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void buf_take(buf_t *b, size_t n);
void buf_free(buf_t *b);
static inline size_t
buf_len(const buf_t *b)
{
	return b->len - b->off;
}

/** A timer, part of its owner. */
typedef struct alarm_ {
	ms_t at;
	int pos; /* in the heap from 1, 0: not set */
	void (*fn)(void *);
	void *arg;
} alarm_t;

/** A descriptor's callback, part of its owner. */
typedef struct watch {
	int fd;
	uint32_t events;
	void (*fn)(void *, uint32_t events);
	void *arg;
} watch_t;

typedef struct loop {
	int epoll_fd;
	ms_t now; /* clock at the start of this turn */
	bool stop;
	alarm_t **heap;
	int nheap, heap_room;
	void **deferred; /* freed at the end of the turn */
	int ndeferred, deferred_room;
	void (*turn)(void *); /* called at the end of each turn, may be NULL */
	void *turn_arg;
} loop_t;

/** @return 0, or -1 when out of descriptors. */
int loop_init(loop_t *l);
void loop_free(loop_t *l);
/** Run until l->stop is set. */
void loop_run(loop_t *l);
/** Handle what is ready, waiting up to @p span ms for it. */
void loop_turn(loop_t *l, ms_t span);
void loop_free_later(loop_t *l, void *p);
void alarm_set(loop_t *l, alarm_t *a, ms_t at);
void alarm_stop(loop_t *l, alarm_t *a);
int watch_add(loop_t *l, watch_t *w, uint32_t events);
void watch_set(loop_t *l, watch_t *w, uint32_t events);
void watch_del(loop_t *l, watch_t *w);

/** @return 0, or -1 if @p s isn't "1.2.3.4:80". */
int net_addr(const char *s, struct sockaddr_in *sa);
/** @return a listening non-blocking descriptor, or -1 with @p e set. */
int net_listen(const char *addr, err_t *e);
/** @return a bound non-blocking datagram descriptor, or -1 with @p e set. */
int net_datagram(const char *addr, err_t *e);

/* HTTP. A head's strings lie in one buffer, found by offset. */

enum {
	HEADERS_MAX = 100 /* fields in a head */
};

typedef struct field {
	uint32_t name, value; /* offsets into text */
} field_t;

typedef struct head {
	buf_t text;
	uint32_t target; /* of a request */
	field_t field[HEADERS_MAX];
	int nfield;
	bool too_many;
} head_t;

/** @return the first field's value, or NULL. */
const char *head_get(const head_t *h, const char *name);
int head_count(const head_t *h, const char *name);
static inline const char *
head_name(const head_t *h, int i)
{
	return h->text.p + h->field[i].name;
}
static inline const char *
head_value(const head_t *h, int i)
{
	return h->text.p + h->field[i].value;
}
static inline const char *
head_target(const head_t *h)
{
	return h->text.p + h->target;
}

typedef enum http_side {
	HTTP_SERVER,
	HTTP_CLIENT
} http_side_t;

/** Why a connection ended. */
typedef enum http_end {
	HTTP_END_EOF,		 /* closed in order */
	HTTP_END_RESET,		 /* reset, or given up by the kernel */
	HTTP_END_MALFORMED,	 /* not HTTP, or too much of it */
	HTTP_END_CONNECT_FAILED, /* was never made: no byte was sent */
} http_end_t;

typedef struct http_conn http_conn_t;

/** What its user is told; @p u is the user's own. */
typedef struct http_conn_ops {
	void (*head)(void *u, http_conn_t *k);
	void (*body)(void *u, http_conn_t *k, const char *p, size_t n);
	void (*done)(void *u, http_conn_t *k);
	/* A request that can't be served; to be answered with
	 * http_conn_finish(). */
	void (*bad)(void *u, http_conn_t *k, int status);
	/* The connection is closed; not called after http_conn_close(). */
	void (*end)(void *u, http_conn_t *k, http_end_t why);
	void (*connected)(
	    void *u, http_conn_t *k); /* a client's is made; or NULL */
	void (*drained)(
	    void *u, http_conn_t *k);		/* out became empty; or NULL */
	void (*begin)(void *u, http_conn_t *k); /* a message begins; or NULL */
} http_conn_ops_t;

struct http_conn {
	loop_t *loop;
	http_side_t side;
	const http_conn_ops_t *ops;
	void *user;
	watch_t watch;
	http_parser parser;
	head_t head;
	buf_t in, out;
	size_t head_max, body_max; /* bytes, 0: no bound */
	size_t head_bytes, body_bytes;
	bool connecting, closed;
	bool parse_stopped; /* no further message is parsed: one is being served
			     */
	bool paused;	    /* reading waits for the other side */
	bool in_message;    /* part of a message came */
	bool head_done;	    /* its head is whole; trailers are dropped */
	bool no_body;	    /* the answer to a HEAD */
	bool closing;	    /* closes when out is empty */
	bool surplus;	    /* bytes came after a whole message */
	bool keep_alive;    /* may carry another message */
	int refuse_status;  /* status for a malformed or oversized request */
	char last_byte; /* previous byte of a head, to find bare line feeds */
	ms_t last_io;	/* last byte in or out */
	ms_t message_start; /* the message that is under way */
	alarm_t alarm;	    /* of its end */
	bool lingering;
};

/** Take an accepted descriptor. @return NULL: closed, out of memory. */
http_conn_t *http_conn_accept(
    loop_t *l, int fd, const http_conn_ops_t *ops, void *user);
/** Start a connection. @return NULL if it failed at once. */
http_conn_t *http_conn_connect(loop_t *l, const struct sockaddr_in *to,
    const http_conn_ops_t *ops, void *user);
void http_conn_write(http_conn_t *k, const void *p, size_t n);
/**
 * Send what http_conn_write() and k->out gathered. If that fails, the end is
 * told later, from the loop.
 */
void http_conn_flush(http_conn_t *k);
/**
 * A server has answered: the next request may be parsed; or a client lets an
 * answer go by and reads the next.
 */
void http_conn_next(http_conn_t *k);
void http_conn_pause(http_conn_t *k, bool paused);
/** Close at once. */
void http_conn_close(http_conn_t *k);
/**
 * Close once all is sent, reading on for a moment so as not to reset. The
 * link's user hears no more of it.
 */
void http_conn_finish(http_conn_t *k);
/** Bound the silence after which the kernel gives a dead peer up. */
void http_conn_keepalive(http_conn_t *k, int idle_s, int every_s, int probes);

const char *http_reason(int status);

#endif
