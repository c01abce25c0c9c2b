/* Print free TCP ports of the loopback address, one a line. */
#include "base/base.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	PORT_MIN = 10000, /* both below the range for outgoing connections */
	PORT_MAX = 32000,
};

static bool
can_bind(int type, int port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int one = 1, fd = socket(AF_INET, type, 0);
	bool ok;

	if (type == SOCK_STREAM)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	ok = bind(fd, (struct sockaddr *)&a, sizeof(a)) == 0;
	close(fd);
	return ok;
}

/*
 * Tests reserve a TCP port by binding the UDP port of the same number, so both
 * must be free.
 */
static bool
is_free(int port)
{
	return can_bind(SOCK_DGRAM, port) && can_bind(SOCK_STREAM, port);
}

/* freeports [N] */
int
main(int argc, char **argv)
{
	int n = argc > 1 ? atoi(argv[1]) : 1, span = PORT_MAX - PORT_MIN;
	int port = PORT_MIN + (int)(getpid() * 97L % span), tried;

	for (tried = 0; n > 0 && tried < span; tried++) {
		if (++port >= PORT_MAX)
			port = PORT_MIN;
		if (is_free(port)) {
			printf("%d\n", port);
			n--;
		}
	}
	return n == 0 ? 0 : 1;
}
