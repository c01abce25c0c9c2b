/*
 * records-worker ADDR ID
 * A worker that answers each record with its id.
 */
#include "stage.h"

#include <stdlib.h>
#include <string.h>

static const char *instance;

static void
serve(int fd)
{
	stage_msg_t *m = malloc(sizeof(*m));
	char id[128], expect[128];

	while (stage_read_head(fd, m) && stage_read_body(fd, m)) {
		stage_field(m, "Request-Id", id, sizeof(id));
		stage_field(m, "Expect-Instance", expect, sizeof(expect));
		if (strcmp(expect, instance) != 0)
			stage_printf(fd,
			    "HTTP/1.1 421 Misdirected\r\nRequest-Id: %s\r\n"
			    "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
			    id);
		else
			stage_printf(fd,
			    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
			    "Server-Signature: s.%s\r\nContent-Length: %zu\r\n"
			    "\r\n%s",
			    id, id, strlen(id), id);
		stage_msg_free(m);
	}
	stage_msg_free(m);
	free(m);
}

int
main(int argc, char **argv)
{
	if (argc != 3)
		stage_die("usage: records-worker ADDR ID");
	instance = argv[2];
	stage_serve(stage_listen(argv[1], 0), serve);
	return 0;
}
