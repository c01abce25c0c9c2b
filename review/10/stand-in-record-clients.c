/*
 * record-clients N ADDR...
 * Clients that send N calibration records in all, each as one write, on
 * channels that are kept. A record is JSON text of some lines; its head has
 * 1,400 to 1,499 bytes. It prints a line for each record that isn't answered
 * with success, and then how many there were of each kind.
 */
#include "stage.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum {
	CLIENTS = 8,
	HEAD_MIN = 1400, /* bytes, without the empty line */
	HEAD_SPREAD = 100,
	PER_CHANNEL = 10,
};

static char **addr;
static int naddr, total;
static atomic_int next_record, count[600];

static size_t
write_record(char *to, size_t size, int n)
{
	static const char body[] = "{\n  \"trailer\": 7,\n  \"wheel_load\": 482,"
				   "\n  \"water_mm\": 0.5\n}\n";
	size_t head = HEAD_MIN + (size_t)n * 37 % HEAD_SPREAD, k;

	k = (size_t)snprintf(to, size,
	    "POST /log/r%06d HTTP/1.1\r\nHost: records.example\r\n"
	    "Request-Id: r%06d\r\nDeadline-Remaining: 4000\r\n"
	    "Content-Type: application/json\r\nContent-Length: %zu\r\n"
	    "Trace: ",
	    n, n, strlen(body));
	memset(to + k, 't', head - 2 - k);
	memcpy(to + head - 2, "\r\n\r\n", 4);
	memcpy(to + head + 2, body, strlen(body));
	return head + 2 + strlen(body);
}

static void *
client(void *arg)
{
	unsigned k = (unsigned)(size_t)arg;
	char text[4096], v[64];
	stage_msg_t *m = malloc(sizeof(*m));
	int fd = -1, used = 0, n, status;
	size_t size;

	while ((n = next_record++) < total) {
		if (fd == -1 || used++ == PER_CHANNEL) {
			if (fd != -1)
				close(fd);
			fd = stage_connect(addr[(k + (unsigned)n) %
						(unsigned)naddr]);
			used = 0;
		}
		status = 0;
		size = write_record(text, sizeof(text), n);
		if (fd != -1 && stage_write(fd, text, size) &&
		    stage_read_head(fd, m) && stage_read_body(fd, m))
			status = stage_status(m);
		count[status]++;
		if (status != 200)
			printf("record=r%06d status=%d text=%s\n", n, status,
			    m->body != NULL ? m->body : "");
		if (status == 0 ||
		    strcmp(stage_field(m, "Connection", v, sizeof(v)),
			"close") == 0) {
			close(fd);
			fd = -1;
		}
		stage_msg_free(m);
	}
	free(m);
	return NULL;
}

int
main(int argc, char **argv)
{
	pthread_t t[CLIENTS];
	size_t i;
	int own = 0;

	if (argc < 3)
		stage_die("usage: record-clients N ADDR...");
	total = atoi(argv[1]);
	addr = argv + 2;
	naddr = argc - 2;
	for (i = 0; i < CLIENTS; i++)
		pthread_create(&t[i], NULL, client, (void *)i);
	for (i = 0; i < CLIENTS; i++)
		pthread_join(t[i], NULL);
	for (i = 300; i < 500; i++)
		if (i != 408 && i != 421 && i != 429)
			own += count[i];
	printf("records=%d served=%d denied=%d other=%d\n", total, count[200],
	    own, total - count[200] - own);
	return 0;
}
