#include "net/tcp.h"

#include <errno.h>
#include <sys/socket.h>

const char *
tcp_end_text(tcp_end_t end)
{
	switch (end) {
	case TCP_END_NONE:
		return "open";
	case TCP_END_ORDERLY:
		return "closed";
	case TCP_END_TIMED_OUT:
		return "timed-out";
	case TCP_END_RESET:
		return "reset";
	case TCP_END_FAILED:
		return "failed";
	}
	return "-";
}

static void
note_error(tcp_end_t *end, int error)
{
	tcp_end_t e;

	switch (error) {
	case ETIMEDOUT:
	case EHOSTUNREACH:
	case ENETUNREACH:
		e = TCP_END_TIMED_OUT;
		break;
	case ECONNRESET:
		e = TCP_END_RESET;
		break;
	default:
		e = TCP_END_FAILED;
		break;
	}
	if (*end < e)
		*end = e;
}

static bool
is_transient(int error)
{
	return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

/* Call recv(). @return what it returned; a failure is noted. */
static ssize_t
receive(int fd, tcp_end_t *end, void *p, size_t n, int flags)
{
	ssize_t got;

	do
		got = recv(fd, p, n, flags | MSG_DONTWAIT);
	while (got == -1 && errno == EINTR);
	if (got == -1 && !is_transient(errno))
		note_error(end, errno);
	return got;
}

void
tcp_check(int fd, tcp_end_t *end)
{
	int error = 0;
	socklen_t len = sizeof(error);

	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) == -1)
		error = errno;
	if (error != 0)
		note_error(end, error);
}

size_t
tcp_read(int fd, tcp_end_t *end, void *p, size_t n)
{
	ssize_t got = receive(fd, end, p, n, 0);

	if (got > 0)
		return (size_t)got;
	if (got == 0 && *end == TCP_END_NONE) {
		*end = TCP_END_ORDERLY;
		/* A reset may have followed the FIN. */
		tcp_check(fd, end);
	}
	return 0;
}

size_t
tcp_peek(int fd, tcp_end_t *end, void *p, size_t n)
{
	ssize_t got = receive(fd, end, p, n, MSG_PEEK);

	return got > 0 ? (size_t)got : 0;
}

size_t
tcp_write(int fd, tcp_end_t *end, const void *p, size_t n)
{
	ssize_t sent;

	do
		sent = send(fd, p, n, MSG_NOSIGNAL | MSG_DONTWAIT);
	while (sent == -1 && errno == EINTR);
	if (sent == -1 && !is_transient(errno))
		note_error(end, errno);
	return sent > 0 ? (size_t)sent : 0;
}
