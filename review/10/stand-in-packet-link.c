/*
 * packet-link LISTEN TARGET GAP_MS
 * A link that carries requests in packets of 1,448 bytes, GAP_MS from one to
 * the next. GAP_MS 0: what was sent at once arrives at once.
 */
#include "stage.h"

#include <pthread.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	PACKET = 1448,
	BYTES = 65536,
};

static const char *target;
static int gap_ms;

static bool
forward(int to, const char *p, size_t n)
{
	size_t at, k;

	if (gap_ms == 0)
		return stage_write(to, p, n);
	for (at = 0; at < n; at += k) {
		k = n - at < PACKET ? n - at : PACKET;
		if (at > 0)
			stage_sleep(gap_ms);
		if (!stage_write(to, p + at, k))
			return false;
	}
	return true;
}

typedef struct pair {
	int from, to;
} pair_t;

static void *
answers(void *arg)
{
	pair_t p = *(pair_t *)arg;
	char b[4096];
	ssize_t n;

	while ((n = recv(p.from, b, sizeof(b), 0)) > 0 &&
	       stage_write(p.to, b, (size_t)n))
		;
	shutdown(p.to, SHUT_WR);
	return NULL;
}

static void
serve(int fd)
{
	int to = stage_connect(target);
	pair_t back = { to, fd };
	char *b = malloc(BYTES);
	pthread_t t;
	ssize_t n;

	if (to == -1 || pthread_create(&t, NULL, answers, &back) != 0)
		return;
	while ((n = recv(fd, b, BYTES, 0)) > 0 && forward(to, b, (size_t)n))
		;
	shutdown(to, SHUT_WR);
	pthread_join(t, NULL);
	close(to);
	free(b);
}

int
main(int argc, char **argv)
{
	if (argc != 4)
		stage_die("usage: packet-link LISTEN TARGET GAP_MS");
	target = argv[2];
	gap_ms = atoi(argv[3]);
	stage_serve(stage_listen(argv[1], 0), serve);
	return 0;
}
