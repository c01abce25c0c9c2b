#define _GNU_SOURCE
#include "stage.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

int64_t
stage_now(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void
stage_sleep(int ms)
{
	usleep((useconds_t)ms * 1000);
}

void
stage_die(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	vfprintf(stderr, fmt, ap);
	va_end(ap);
	fputc('\n', stderr);
	exit(2);
}

static struct sockaddr_in
address(const char *text)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	char host[64];
	const char *colon = strrchr(text, ':');

	if (colon == NULL)
		stage_die("%s: not IP:PORT", text);
	snprintf(host, sizeof(host), "%.*s", (int)(colon - text), text);
	if (inet_pton(AF_INET, host, &sa.sin_addr) != 1)
		stage_die("%s: not IP:PORT", text);
	sa.sin_port = htons((uint16_t)atoi(colon + 1));
	return sa;
}

int
stage_listen(const char *addr, int rcvbuf)
{
	struct sockaddr_in sa = address(addr);
	int fd = socket(AF_INET, SOCK_STREAM, 0), on = 1;

	signal(SIGPIPE, SIG_IGN);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (rcvbuf > 0)
		setsockopt(
		    fd, SOL_SOCKET, SO_RCVBUF, &rcvbuf, sizeof(rcvbuf));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) == -1 ||
	    listen(fd, 128) == -1)
		stage_die("%s: %s", addr, strerror(errno));
	return fd;
}

int
stage_connect(const char *addr)
{
	struct sockaddr_in sa = address(addr);
	int fd = socket(AF_INET, SOCK_STREAM, 0), on = 1;

	signal(SIGPIPE, SIG_IGN);
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) == -1) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return fd;
}

typedef struct served {
	int fd;
	void (*fn)(int);
} served_t;

static void *
serve_one(void *arg)
{
	served_t s = *(served_t *)arg;

	free(arg);
	s.fn(s.fd);
	close(s.fd);
	return NULL;
}

void
stage_serve(int listener, void (*fn)(int fd))
{
	for (;;) {
		served_t *s = malloc(sizeof(*s));
		int on = 1;
		pthread_t t;

		s->fn = fn;
		s->fd = accept(listener, NULL, NULL);
		if (s->fd == -1) {
			free(s);
			continue;
		}
		setsockopt(s->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		if (pthread_create(&t, NULL, serve_one, s) != 0)
			stage_die("no thread");
		pthread_detach(t);
	}
}

bool
stage_write(int fd, const void *p, size_t n)
{
	const char *at = p;

	while (n > 0) {
		ssize_t k = send(fd, at, n, MSG_NOSIGNAL);

		if (k == -1 && errno == EINTR)
			continue;
		if (k <= 0)
			return false;
		at += k;
		n -= (size_t)k;
	}
	return true;
}

bool
stage_printf(int fd, const char *fmt, ...)
{
	va_list ap;
	char *text;
	int n;
	bool ok;

	va_start(ap, fmt);
	n = vasprintf(&text, fmt, ap);
	va_end(ap);
	if (n == -1)
		return false;
	ok = stage_write(fd, text, (size_t)n);
	free(text);
	return ok;
}

static bool
read_bytes(int fd, void *p, size_t n)
{
	char *at = p;

	while (n > 0) {
		ssize_t k = recv(fd, at, n, 0);

		if (k == -1 && errno == EINTR)
			continue;
		if (k <= 0)
			return false;
		at += k;
		n -= (size_t)k;
	}
	return true;
}

static bool
read_until(int fd, char *to, size_t size, const char *end)
{
	size_t n = 0, k = strlen(end);

	while (n + 1 < size) {
		if (!read_bytes(fd, to + n, 1))
			return false;
		to[++n] = '\0';
		if (n >= k && strcmp(to + n - k, end) == 0)
			return true;
	}
	return false;
}

bool
stage_read_head(int fd, stage_msg_t *m)
{
	m->body = NULL;
	m->len = 0;
	m->head[0] = '\0';
	return read_until(fd, m->head, sizeof(m->head), "\r\n\r\n");
}

bool
stage_read_exactly(int fd, stage_msg_t *m, size_t n)
{
	m->body = realloc(m->body, m->len + n + 1);
	if (m->body == NULL)
		stage_die("no memory");
	while (n > 0) {
		ssize_t k = recv(fd, m->body + m->len, n, 0);

		if (k == -1 && errno == EINTR)
			continue;
		if (k <= 0)
			break;
		m->len += (size_t)k;
		n -= (size_t)k;
	}
	m->body[m->len] = '\0';
	return n == 0;
}

bool
stage_read_body(int fd, stage_msg_t *m)
{
	char v[64], line[64];
	size_t n;

	if (strcasecmp(stage_field(m, "Transfer-Encoding", v, sizeof(v)),
		"chunked") != 0) {
		stage_field(m, "Content-Length", v, sizeof(v));
		return stage_read_exactly(fd, m, (size_t)atoll(v));
	}
	for (;;) {
		if (!read_until(fd, line, sizeof(line), "\r\n"))
			return false;
		n = (size_t)strtoull(line, NULL, 16);
		if (n > 0 && !stage_read_exactly(fd, m, n))
			return false;
		if (!read_bytes(fd, line, 2))
			return false;
		if (n == 0)
			return true;
	}
}

void
stage_msg_free(stage_msg_t *m)
{
	free(m->body);
	m->body = NULL;
	m->len = 0;
}

char *
stage_field(const stage_msg_t *m, const char *name, char *to, size_t size)
{
	const char *p = m->head;
	size_t n = strlen(name);

	to[0] = '\0';
	while ((p = strstr(p, "\r\n")) != NULL) {
		p += 2;
		if (strncasecmp(p, name, n) != 0 || p[n] != ':')
			continue;
		p += n + 1;
		p += strspn(p, " ");
		snprintf(to, size, "%.*s", (int)strcspn(p, "\r\n"), p);
		break;
	}
	return to;
}

int
stage_status(const stage_msg_t *m)
{
	const char *p = strchr(m->head, ' ');

	return p != NULL ? atoi(p) : 0;
}

int
stage_call(const char *addr, const char *method, const char *target,
    const char *body)
{
	static stage_msg_t m;
	int fd = stage_connect(addr), status = 0;

	if (fd == -1)
		return 0;
	if (stage_printf(fd,
		"%s %s HTTP/1.1\r\nHost: %s\r\n"
		"Content-Type: application/json\r\n"
		"Content-Length: %zu\r\n\r\n%s",
		method, target, addr, strlen(body), body) &&
	    stage_read_head(fd, &m)) {
		status = stage_status(&m);
		stage_read_body(fd, &m);
		stage_msg_free(&m);
	}
	close(fd);
	return status;
}
