/*
 * early ADDR ID
 * A worker that answers a long request before it has read it whole, without a
 * length: the answer ends with its channel. It sends the first half of the
 * answer, waits a moment, reads the rest of the request, and sends the rest.
 * It prints what it does, a line each.
 */
#include "stage.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	READ_FIRST = 64 << 10, /* of the request's body */
	RCVBUF = 64 << 10,
	HALF = 400, /* bytes */
	PAUSE_MS = 600,
};

static const char *instance;

static void
print(const char *what, const char *id, size_t n)
{
	printf("%s request=%s bytes=%zu\n", what, id, n);
	fflush(stdout);
}

static void
serve(int fd)
{
	stage_msg_t *m = malloc(sizeof(*m));
	char id[128], length[32], expect[128], answer[2 * HALF + 1];
	size_t body;
	int i;

	if (!stage_read_head(fd, m))
		return;
	stage_field(m, "Request-Id", id, sizeof(id));
	stage_field(m, "Expect-Instance", expect, sizeof(expect));
	body = (size_t)atoll(
	    stage_field(m, "Content-Length", length, sizeof(length)));
	if (strcmp(expect, instance) != 0) {
		stage_printf(fd,
		    "HTTP/1.1 421 Misdirected\r\nRequest-Id: %s\r\n"
		    "Not-Executed: 1\r\nContent-Length: 0\r\n"
		    "Connection: close\r\n\r\n",
		    id);
		return;
	}
	if (!stage_read_exactly(fd, m, READ_FIRST < body ? READ_FIRST : body))
		return;
	print("run", id, m->len);
	for (i = 0; i < 2 * HALF; i++)
		answer[i] = (char)('a' + i % 26);
	stage_printf(fd,
	    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
	    "Server-Signature: s.%s\r\nContent-Type: text/plain\r\n"
	    "Connection: close\r\n\r\n",
	    id, id);
	stage_write(fd, answer, HALF);
	print("half", id, HALF);
	stage_sleep(PAUSE_MS);
	if (m->len < body && !stage_read_exactly(fd, m, body - m->len))
		return;
	stage_write(fd, answer + HALF, HALF);
	print("whole", id, 2 * HALF);
	free(m->body);
	free(m);
}

int
main(int argc, char **argv)
{
	if (argc != 3)
		stage_die("usage: early ADDR ID");
	instance = argv[2];
	stage_serve(stage_listen(argv[1], RCVBUF), serve);
	return 0;
}
