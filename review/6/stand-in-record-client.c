/*
 * record-client ADDR ID BYTES
 * A client that sends one calibration record of so many bytes and prints the
 * answer: its status, whether it is complete, and its length.
 */
#include "stage.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static char *body;
static size_t length;
static int fd;

static void *
send_body(void *arg)
{
	(void)arg;
	stage_write(fd, body, length);
	return NULL;
}

int
main(int argc, char **argv)
{
	static stage_msg_t m;
	char signature[128];
	pthread_t t;
	bool whole;

	if (argc != 4)
		stage_die("usage: record-client ADDR ID BYTES");
	length = (size_t)atoll(argv[3]);
	body = malloc(length);
	if (body == NULL)
		stage_die("no memory");
	memset(body, 'r', length);
	fd = stage_connect(argv[1]);
	if (fd == -1 ||
	    !stage_printf(fd,
		"POST /log/%s HTTP/1.1\r\nHost: records.example\r\n"
		"Request-Id: %s\r\nDeadline-Remaining: 4000\r\n"
		"Content-Length: %zu\r\n\r\n",
		argv[2], argv[2], length) ||
	    pthread_create(&t, NULL, send_body, NULL) != 0)
		stage_die("can't send");
	if (!stage_read_head(fd, &m)) {
		printf("status=0 signature= complete=0 bytes=0\n");
		return 0;
	}
	whole = stage_read_body(fd, &m);
	printf("status=%d signature=%s complete=%d bytes=%zu\n",
	    stage_status(&m),
	    stage_field(&m, "Server-Signature", signature, sizeof(signature)),
	    whole, m.len);
	return 0;
}
