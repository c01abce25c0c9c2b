/**
 * @file tcp.h
 * Calls on a connected socket, and what is known of its end.
 *
 * Linux reports a failure of a connection once, to the call that happens to
 * come next: a send, a peek or a look at SO_ERROR. Afterwards recv() returns 0,
 * as after an orderly end. So all of these calls are made here, each with the
 * connection's tcp_end_t, which only becomes worse.
 */
#ifndef TCP_H
#define TCP_H

#include <stdbool.h>
#include <stddef.h>

/** How a connection ended, from the best to the worst. */
typedef enum tcp_end {
	TCP_END_NONE,	   /* it goes on */
	TCP_END_ORDERLY,   /* the peer's FIN was read, and nothing failed */
	TCP_END_TIMED_OUT, /* the peer can't be reached any more */
	TCP_END_RESET,	   /* by the peer */
	TCP_END_FAILED,	   /* for another reason */
} tcp_end_t;

static inline bool
tcp_is_broken(tcp_end_t end)
{
	return end > TCP_END_ORDERLY;
}

/** @return e.g. "reset", for a log line */
const char *tcp_end_text(tcp_end_t end);

/*
 * Each call updates *@p end. On a connection that is known to be broken,
 * tcp_read() and tcp_peek() still return what had arrived before.
 */

/**
 * Read up to @p n bytes.
 * @return their number; 0: there are none now, or *@p end tells why
 */
size_t tcp_read(int fd, tcp_end_t *end, void *p, size_t n);
/** @return the bytes that could be read now, up to @p n; none is consumed. */
size_t tcp_peek(int fd, tcp_end_t *end, void *p, size_t n);
/**
 * Send up to @p n bytes.
 * @return their number; 0: the socket takes none now, or *@p end tells why
 */
size_t tcp_write(int fd, tcp_end_t *end, const void *p, size_t n);
/** Look for a failure that no call has reported yet. */
void tcp_check(int fd, tcp_end_t *end);

#endif
