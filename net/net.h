/**
 * @file net.h
 * A single-threaded event loop and HTTP/1.1 connections that run on it.
 *
 * A callback may close any connection, its own included: the memory is freed
 * at the end of the loop's turn, which is one wait for events and the
 * callbacks for them.
 *
 * An alarm runs after the callbacks of all descriptors that were ready when it
 * became due: what an alarm calls late or silent hasn't just not been read yet,
 * though the process was stopped or had much to do.
 */
#ifndef NET_H
#define NET_H

#include "base/base.h"
#include "net/buf.h"
#include "net/http_head.h"
#include "net/http_reader.h"
#include "net/tcp.h"

#include <netinet/in.h>

/** A one-shot timer, embedded in its owner. */
typedef struct alarm_ {
	ms_t at; /* monotonic clock */
	int pos; /* index in the heap, from 1; 0: not set */
	void (*fn)(void *);
	void *arg;
} alarm_t;

/** A descriptor and its callback, embedded in its owner. */
typedef struct watch {
	int fd;
	uint32_t events; /* EPOLL* */
	void (*fn)(void *, uint32_t events);
	void *arg;
} watch_t;

typedef struct loop {
	int epoll_fd;
	ms_t now;  /* monotonic clock when this turn's wait ended */
	ms_t late; /* this turn began so long after the planned time, < 0:
		      before */
	/*
	 * All that was ready by then has been handled; before now. Silence can
	 * be judged only up to this time.
	 */
	ms_t handled_until;
	/* More was ready than a turn handles: a round over all descriptors. */
	ms_t round_from; /* when it began */
	int round_left;	 /* descriptors until it ends, <= 0: none */
	int nwatch;	 /* watched descriptors */
	bool stop;
	alarm_t **heap; /* earliest alarm at index 1 */
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
/** free() @p p at the end of this turn. */
void loop_free_later(loop_t *l, void *p);
/** Set or move @p a to expire at @p at on the monotonic clock. */
void alarm_set(loop_t *l, alarm_t *a, ms_t at);
void alarm_stop(loop_t *l, alarm_t *a);
/** Start watching w->fd. @return 0, or -1 with errno set. */
int watch_add(loop_t *l, watch_t *w, uint32_t events);
/** Change the events that are watched for. */
void watch_set(loop_t *l, watch_t *w, uint32_t events);
/** Stop watching and close the descriptor. */
void watch_del(loop_t *l, watch_t *w);

/** @return 0, or -1 if @p s isn't "1.2.3.4:80". */
int net_addr(const char *s, struct sockaddr_in *sa);
/** @return a listening non-blocking descriptor, or -1 with @p e set. */
int net_listen(const char *addr, err_t *e);
/** @return a bound non-blocking datagram descriptor, or -1 with @p e set. */
int net_datagram(const char *addr, err_t *e);

/** Why a connection ended. */
typedef enum http_end {
	HTTP_END_EOF,		 /* closed by the peer */
	HTTP_END_RESET,		 /* reset, or timed out in the kernel */
	HTTP_END_MALFORMED,	 /* invalid, or not requested */
	HTTP_END_CONNECT_FAILED, /* not established: no byte was sent */
	HTTP_END_ENDLESS,	 /* over a limit of a client's connection */
} http_end_t;

enum {
	ARRIVAL_GAP_MS = 250
};

/**
 * For how long parts of something have been arriving. A silence counts for
 * ARRIVAL_GAP_MS at most: a sound peer may be silent between two parts.
 */
typedef struct arrival {
	ms_t last; /* when the last part arrived, 0: none has */
	ms_t busy;
} arrival_t;

/** A part has arrived. @return the time so far, in ms */
static inline ms_t
arrival_note(arrival_t *a, ms_t now)
{
	ms_t gap = a->last != 0 ? now - a->last : 0;

	a->busy += gap < ARRIVAL_GAP_MS ? gap : ARRIVAL_GAP_MS;
	a->last = now;
	return a->busy;
}

typedef struct http_conn http_conn_t;

/** Callbacks of a connection; @p u is the user's pointer. */
typedef struct http_conn_ops {
	/* The head of a message is complete. */
	void (*head)(void *u, http_conn_t *c);
	/* A part of the body arrived. */
	void (*body)(void *u, http_conn_t *c, const char *p, size_t n);
	/* The message is complete; http_conn_next() goes on to the next. */
	void (*done)(void *u, http_conn_t *c);
	/*
	 * A server received an invalid or oversized request, see
	 * http_conn_fault(): answer with @p status and http_conn_finish().
	 */
	void (*bad)(void *u, http_conn_t *c, int status);
	/* The connection ended; not called after http_conn_close(). */
	void (*end)(void *u, http_conn_t *c, http_end_t why);
	/* A client's connection is established; may be NULL. */
	void (*connected)(void *u, http_conn_t *c);
	/* The buffer out became empty; may be NULL. */
	void (*drained)(void *u, http_conn_t *c);
	/* The first byte of a message was parsed; may be NULL. */
	void (*begin)(void *u, http_conn_t *c);
	/* A server read bytes, and the message goes on; may be NULL. */
	void (*read)(void *u, http_conn_t *c);
} http_conn_ops_t;

struct http_conn {
	loop_t *loop;
	http_side_t side;
	const http_conn_ops_t *ops;
	void *user;
	watch_t watch;
	tcp_end_t tcp_end; /* kept by each call on the socket */
	http_reader_t parser;
	head_t head;
	buf_t in, out;
	size_t body_max; /* bytes, 0: no limit */
	size_t message_bytes, body_bytes;
	/* Bytes that a client read since the last head, chunk or body part. */
	size_t frame_bytes;
	arrival_t frame; /* of these bytes */
	bool connecting, closed;
	bool parse_stopped; /* until http_conn_next() */
	bool parsing;	    /* messages that came together are being handled */
	bool paused;	    /* by http_conn_pause(): nothing is read */
	bool in_message;    /* a message has begun and isn't complete */
	bool head_done;	    /* its head is complete */
	bool closing;	    /* close when out is empty */
	bool surplus;	    /* bytes arrived after a complete message */
	bool keep_alive;    /* the connection may carry another message */
	ms_t last_io;	    /* when the last byte was received or sent */
	ms_t message_start; /* when the current message began */
	/*
	 * A connection made later isn't used: no callback, nothing is sent. An
	 * alarm of its user ends it. 0: none
	 */
	ms_t send_by;
	alarm_t alarm;	/* for a delayed end and for lingering */
	bool lingering; /* shut down for writing, reads are discarded */
};

/** Serve an accepted descriptor. @return the connection, never NULL. */
http_conn_t *http_conn_accept(
    loop_t *l, int fd, const http_conn_ops_t *ops, void *user);
/** Start to connect. @return NULL if that failed at once. */
http_conn_t *http_conn_connect(loop_t *l, const struct sockaddr_in *to,
    const http_conn_ops_t *ops, void *user);
/** The same from an address of this machine, with any port. */
http_conn_t *http_conn_connect_from(loop_t *l, const struct sockaddr_in *from,
    const struct sockaddr_in *to, const http_conn_ops_t *ops, void *user);
/**
 * @return whether the connection may carry another message: a complete one says
 * so, nothing followed it, all was sent, and no call on the socket has failed
 */
bool http_conn_reusable(const http_conn_t *c);
/** @return why a message was refused, e.g. "status", for a log line */
const char *http_conn_fault(const http_conn_t *c);
/** Append to the buffer out. */
void http_conn_write(http_conn_t *c, const void *p, size_t n);
/**
 * Send the buffer out as far as the socket takes it. If that fails, the end
 * callback is called later, from the loop: a client first reads what came
 * before.
 */
void http_conn_flush(http_conn_t *c);
/**
 * Parse the next message: a server calls it when it has answered, a client
 * when it is done with an answer.
 */
void http_conn_next(http_conn_t *c);
/** Free the memory of the last message's head, if it is large. */
void http_conn_release(http_conn_t *c);
/** Stop or resume reading, for flow control. */
void http_conn_pause(http_conn_t *c, bool paused);
/** @return bytes received that weren't read yet, at most some KB. */
size_t http_conn_unread(http_conn_t *c);
/** Close at once, without the end callback. */
void http_conn_close(http_conn_t *c);
/** The same by a reset, which drops what isn't sent. */
void http_conn_reset(http_conn_t *c);
/**
 * Close once all is sent. Reading goes on for a moment, since unread data
 * would reset the connection and lose the answer. No callback is called any
 * more.
 */
void http_conn_finish(http_conn_t *c);
/** Set the TCP keep-alive that finds a dead peer; times in seconds. */
void http_conn_keepalive(http_conn_t *c, int idle_s, int every_s, int probes);

#endif
