/*
 * engine ADDR ID MODEL SILENCE_MS CUT_AFTER
 * A model worker that holds one model. Its streams have no length: they end
 * with their channel. Every 20th takes SILENCE_MS until the first event; with
 * CUT_AFTER above 0, the channel of these is reset after so many events.
 * It prints what it does, a line each.
 */
#include "stage.h"

#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

enum {
	EVENTS = 11,
	ONE_IN = 20, /* streams */
	FIRST_MS = 20, /* until the first event, of the others */
};

static const char *instance, *model;
static int silence_ms, cut_after;
static atomic_int nrun;

static void
print(const char *what, const char *id, int events)
{
	printf("%s request=%s events=%d\n", what, id, events);
	fflush(stdout);
}

static void
answer_report(int fd)
{
	char text[512];

	snprintf(text, sizeof(text),
	    "{\"stage\":\"both\",\"models\":[{\"name\":\"%s\",\"version\":1,"
	    "\"adapters\":[]}],\"busy\":false,\"seq\":0,\"waiting\":0,"
	    "\"running\":0,\"kv_used\":0,\"kv_total\":100000,\"handles\":0}",
	    model);
	stage_printf(fd,
	    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    strlen(text), text);
}

static void
run(int fd, const char *id, const char *from)
{
	struct linger hard = { 1, 0 };
	char text[4096];
	int first = *from != '\0' ? atoi(from) + 1 : 1;
	int last = EVENTS, i, n;
	bool slow = ++nrun % ONE_IN == 0;

	print(slow ? "slow-run" : "run", id, first);
	stage_sleep(slow ? silence_ms : FIRST_MS);
	if (slow && cut_after > 0 && first + cut_after - 1 < EVENTS)
		last = first + cut_after - 1;
	n = snprintf(text, sizeof(text),
	    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: s.%s\r\n"
	    "Content-Type: text/event-stream\r\nWeight-Versions: 1\r\n"
	    "Connection: close\r\n\r\n",
	    id, id);
	for (i = first; i <= last; i++)
		n += snprintf(text + n, sizeof(text) - (size_t)n,
		    "id: %d\ndata: piece %d\n\n", i, i);
	if (last < EVENTS)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
	print(last < EVENTS ? "reset" : "whole", id, last);
	/* Its channel is closed, or reset, as the thread ends. */
	stage_write(fd, text, (size_t)n);
}

static void
serve(int fd)
{
	stage_msg_t *m = malloc(sizeof(*m));
	char id[128], from[32], expect[128], asked[128];

	while (stage_read_head(fd, m) && stage_read_body(fd, m)) {
		stage_msg_free(m);
		if (strncmp(m->head, "GET /v1/report", 14) == 0) {
			answer_report(fd);
			continue;
		}
		if (strncmp(m->head, "POST /v1/order", 14) == 0) {
			print("order", "-", 0);
			stage_printf(fd,
			    "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n"
			    "\r\n");
			continue;
		}
		stage_field(m, "Request-Id", id, sizeof(id));
		stage_field(m, "Last-Event-Id", from, sizeof(from));
		stage_field(m, "Expect-Instance", expect, sizeof(expect));
		stage_field(m, "Model", asked, sizeof(asked));
		if (strcmp(expect, instance) != 0 ||
		    strcmp(asked, model) != 0) {
			stage_printf(fd,
			    "HTTP/1.1 421 Misdirected\r\nRequest-Id: %s\r\n"
			    "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
			    id);
			continue;
		}
		run(fd, id, from);
		break;
	}
	free(m);
}

int
main(int argc, char **argv)
{
	if (argc != 6)
		stage_die(
		    "usage: engine ADDR ID MODEL SILENCE_MS CUT_AFTER");
	instance = argv[2];
	model = argv[3];
	silence_ms = atoi(argv[4]);
	cut_after = atoi(argv[5]);
	stage_serve(stage_listen(argv[1], 0), serve);
	return 0;
}
