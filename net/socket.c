#include "net/net.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	/* When the backlog is full, a caller's connect takes seconds. */
	BACKLOG = 1024
};

int
net_addr(const char *s, struct sockaddr_in *sa)
{
	char host[ADDR_MAX];
	uint16_t port;

	memset(sa, 0, sizeof(*sa));
	sa->sin_family = AF_INET;
	if (addr_split(s, host, sizeof(host), &port, NULL) == -1 ||
	    inet_pton(AF_INET, host, &sa->sin_addr) != 1)
		return -1;
	sa->sin_port = htons(port);
	return 0;
}

static int
bind_socket(const char *addr, int type, err_t *e)
{
	struct sockaddr_in sa;
	int fd, on = 1;

	if (net_addr(addr, &sa) == -1)
		return err_set(e, ERR_INVAL, "'%s' is not IP:port", addr);
	fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd == -1)
		return err_set(e, ERR_FULL, "socket: %s", strerror(errno));
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0)
		return fd;
	err_set(e, ERR_DOWN, "bind %s: %s", addr, strerror(errno));
	close(fd);
	return -1;
}

int
net_listen(const char *addr, err_t *e)
{
	int fd = bind_socket(addr, SOCK_STREAM, e);

	if (fd == -1 || listen(fd, BACKLOG) == 0)
		return fd;
	err_set(e, ERR_DOWN, "listen %s: %s", addr, strerror(errno));
	close(fd);
	return -1;
}

int
net_datagram(const char *addr, err_t *e)
{
	return bind_socket(addr, SOCK_DGRAM, e);
}
