/* Common parts of the scenarios, and their choice. */
#define _GNU_SOURCE
#include "review/stage/scenario.h"

#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

loop_t loop;
bool trouble = true;
void (*traffic)(void);
GPtrArray *sent;

static FILE *record;
static char dir[200];
static ms_t begun;

void
note(const char *fmt, ...)
{
	va_list ap;

	fprintf(record, "%7.3f  ", (double)(loop.now - begun) / 1000);
	va_start(ap, fmt);
	vfprintf(record, fmt, ap);
	va_end(ap);
	fputc('\n', record);
	fflush(record);
}

void
cannot(const char *why)
{
	note("can't run: %s", why);
	fprintf(stderr, "can't run: %s\n", why);
	daemons_kill();
	exit(2);
}

const char *
directory(void)
{
	return dir;
}

const char *
address(int host, int port)
{
	static char text[8][32];
	static int at;
	int pid = (int)getpid();

	at = (at + 1) % 8;
	g_snprintf(text[at], sizeof(text[at]), "127.%d.%d.%d:%d",
	    1 + (pid >> 8) % 250, pid & 0xff, host, port);
	return text[at];
}

void
pump(ms_t span)
{
	ms_t until = loop.now + span;

	do {
		workers_tick();
		daemons_tick();
		if (traffic != NULL)
			traffic();
		loop_turn(&loop, 5);
	} while (loop.now < until);
}

static void
on_answer(void *arg, client_request_t *p)
{
	sent_t *t = arg;

	t->status = p->status;
	t->complete = p->done;
	t->ended_at = loop.now;
	note("client: %s %s at %s: %s%d after %" PRId64 " ms", t->id, t->path,
	    daemon_at[t->daemon].name,
	    p->done ? "answered " : "closed without an answer, ", p->status,
	    t->ended_at - t->at);
}

sent_t *
client_send(int i, const char *method, const char *path, const char *fields,
    const char *body, int remaining)
{
	static int count;
	sent_t *t = g_new0(sent_t, 1);
	char addr[64];
	buf_t b = { 0 };

	g_snprintf(
	    t->id, sizeof(t->id), "%08x%04x", (unsigned)getpid(), ++count);
	str_copy(t->path, sizeof(t->path), path);
	t->daemon = i;
	t->at = loop.now;
	g_snprintf(addr, sizeof(addr), "%s:8149", daemon_at[i].ip);
	buf_fmt(&b,
	    "%s %s HTTP/1.1\r\nHost: site.example\r\nRequest-Id: %s\r\n"
	    "Deadline-Remaining: %d\r\n%sContent-Length: %zu\r\n\r\n%s",
	    method, path, t->id, remaining, fields, strlen(body), body);
	buf_add(&b, "", 1);
	note("client: sends %s %s to %s", t->id, path, daemon_at[i].name);
	t->request = client_request_open(&loop, addr, b.p, on_answer, t);
	buf_free(&b);
	g_ptr_array_add(sent, t);
	return t;
}

static void
on_signal(int sig)
{
	(void)sig;
	daemons_kill();
	_exit(2);
}

int
main(int argc, char **argv)
{
	const char *off = getenv("TROUBLE");
	int rc = 2;

	if (argc != 4) {
		fprintf(stderr, "usage: stage SCENARIO DIRECTORY RECORD\n");
		return 2;
	}
	trouble = off == NULL || strcmp(off, "0") != 0;
	str_copy(dir, sizeof(dir), argv[2]);
	record = fopen(argv[3], "w");
	if (record == NULL || loop_init(&loop) == -1)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	begun = loop.now;
	sent = g_ptr_array_new();
	store_open();
	note("scenario %s, TROUBLE=%d", argv[1], trouble);
	rc = scenario_run(argv[1]);
	note("result: %s", rc == 0   ? "the rule held"
			   : rc == 1 ? "THE RULE WAS BROKEN"
				     : "the case couldn't run");
	daemons_kill();
	fclose(record);
	return rc;
}
