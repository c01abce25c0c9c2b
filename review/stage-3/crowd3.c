/*
 * Clients for the scripts of this review; POSIX only.
 *
 * crowd3 unread ADDR...            ask the directory again and again on one
 *                                  connection to each address, and read nothing
 * crowd3 bodies N ADDR...          N connections to each address, each with a
 *                                  chunked body that stops short and stays open
 * crowd3 callers FILE HOST N S ADDR...
 *                                  N sound consumers at each address, for S
 *                                  seconds; each uses a new channel each time
 * crowd3 ready FILE S ADDR...      ask GET /v1/ready once a second, on a channel
 *                                  that is kept
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum {
	REOPEN_MS = 200,
	CONNECT_MS = 1000, /* consumers allow a new channel one second */
	BATCH = 400,	   /* pipelined requests */
};

typedef struct peer {
	struct sockaddr_in to;
	const char *name;
	int fd;
	int64_t reopen_at, sent_at, next_at;
	char *out;
	size_t len, off;
	char in[2048];
	size_t got;
	bool connected, answered;
	unsigned id;
} peer_t;

static volatile sig_atomic_t stop;

static void
on_stop(int sig)
{
	(void)sig;
	stop = 1;
}

static int64_t
now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static void
parse_addr(peer_t *p, const char *text)
{
	char ip[64];
	const char *colon = strrchr(text, ':');

	if (colon == NULL || (size_t)(colon - text) >= sizeof(ip))
		exit(2);
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	p->to.sin_family = AF_INET;
	p->to.sin_port = htons((uint16_t)atoi(colon + 1));
	if (inet_pton(AF_INET, ip, &p->to.sin_addr) != 1)
		exit(2);
	p->name = text;
	p->fd = -1;
}

static void
open_peer(peer_t *p, int rcvbuf)
{
	p->off = p->got = 0;
	p->connected = p->answered = false;
	p->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	if (p->fd == -1) {
		p->reopen_at = now_ms() + REOPEN_MS;
		return;
	}
	if (rcvbuf > 0)
		setsockopt(
		    p->fd, SOL_SOCKET, SO_RCVBUF, &rcvbuf, sizeof(rcvbuf));
	p->sent_at = now_ms();
	(void)!connect(p->fd, (struct sockaddr *)&p->to, sizeof(p->to));
}

static void
close_peer(peer_t *p)
{
	close(p->fd);
	p->fd = -1;
	p->reopen_at = now_ms() + REOPEN_MS;
}

/* What each connection sends, over and over (again) or once. */
typedef struct plan {
	bool again, reads;
	int rcvbuf;
} plan_t;

static void
run_crowd(peer_t *p, int n, const plan_t *plan)
{
	struct pollfd *f = calloc((size_t)n, sizeof(*f));
	char sink[65536];
	int i;

	while (!stop) {
		int64_t now = now_ms();

		for (i = 0; i < n; i++) {
			if (p[i].fd == -1 && now >= p[i].reopen_at)
				open_peer(&p[i], plan->rcvbuf);
			f[i].fd = p[i].fd;
			f[i].events = (short)((plan->reads ? POLLIN : 0) |
					      (p[i].off < p[i].len || plan->again
						      ? POLLOUT
						      : 0));
		}
		if (poll(f, (nfds_t)n, 50) <= 0)
			continue;
		for (i = 0; i < n; i++) {
			ssize_t got;

			if (f[i].fd == -1 || f[i].revents == 0)
				continue;
			if (f[i].revents & (POLLERR | POLLHUP)) {
				close_peer(&p[i]);
				continue;
			}
			if (f[i].revents & POLLIN) {
				got = recv(p[i].fd, sink, sizeof(sink), 0);
				if (got == 0 ||
				    (got == -1 && errno != EAGAIN)) {
					close_peer(&p[i]);
					continue;
				}
			}
			if (!(f[i].revents & POLLOUT))
				continue;
			if (p[i].off == p[i].len)
				p[i].off = 0;
			got = send(p[i].fd, p[i].out + p[i].off,
			    p[i].len - p[i].off, MSG_NOSIGNAL);
			if (got > 0)
				p[i].off += (size_t)got;
			else if (got == -1 && errno != EAGAIN)
				close_peer(&p[i]);
		}
	}
}

static void
unread(int n, char **addr)
{
	static const char one[] =
	    "GET /v1/resolve?name=h&region=r&zone=z HTTP/1.1\r\nHost: d\r\n\r\n";
	peer_t *p = calloc((size_t)n, sizeof(*p));
	char *text = malloc(BATCH * sizeof(one));
	size_t len = 0;
	int i;

	for (i = 0; i < BATCH; i++, len += sizeof(one) - 1)
		memcpy(text + len, one, sizeof(one) - 1);
	for (i = 0; i < n; i++) {
		parse_addr(&p[i], addr[i]);
		p[i].out = text;
		p[i].len = len;
	}
	run_crowd(p, n, &(plan_t){ .again = true, .rcvbuf = 4096 });
}

static void
bodies(int each, int n, char **addr)
{
	static char text[] =
	    "POST /v1/resolve HTTP/1.1\r\nHost: d\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n"
	    "10\r\n0123456789abcdef\r\n1\r\nx\r\n1\r\ny\r\n0\r\n";
	peer_t *p = calloc((size_t)(n * each), sizeof(*p));
	int i;

	for (i = 0; i < n * each; i++) {
		parse_addr(&p[i], addr[i % n]);
		p[i].out = text;
		p[i].len = sizeof(text) - 1;
	}
	run_crowd(p, n * each, &(plan_t){ .reads = true });
}

/* Sound consumers. */

static void
note(FILE *f, const peer_t *p, const char *what)
{
	int64_t now = now_ms();

	fprintf(f, "%lld %s u%u %s after_ms=%lld\n", (long long)now, p->name,
	    p->id, what, (long long)(now - p->sent_at));
	fflush(f);
}

static void
ask(peer_t *p, const char *host, unsigned id)
{
	if (p->out == NULL)
		p->out = malloc(512);
	p->id = id;
	p->len = (size_t)snprintf(p->out, 512,
	    "GET /read/%u HTTP/1.1\r\nHost: %s\r\nRequest-Id: u%u\r\n"
	    "Deadline-Remaining: 4000\r\nConnection: close\r\n\r\n",
	    id, host, id);
	open_peer(p, 0);
}

static void
callers(const char *file, const char *host, int each, int seconds, int n,
    char **addr)
{
	peer_t *p = calloc((size_t)(n * each), sizeof(*p));
	struct pollfd *f = calloc((size_t)(n * each), sizeof(*f));
	FILE *out = fopen(file, "w");
	int64_t until = now_ms() + seconds * 1000;
	unsigned id = 1;
	int i;

	if (out == NULL)
		exit(2);
	for (i = 0; i < n * each; i++) {
		parse_addr(&p[i], addr[i % n]);
		p[i].next_at = now_ms() + i * 37 % 500;
	}
	while (!stop && now_ms() < until) {
		int64_t now = now_ms();

		for (i = 0; i < n * each; i++) {
			peer_t *c = &p[i];

			if (c->fd == -1 && now >= c->next_at)
				ask(c, host, id++);
			/* An unread idempotent request is given up. */
			if (c->fd != -1 && now - c->sent_at > CONNECT_MS) {
				note(out, c,
				    c->connected ? "unread" : "no-channel");
				close_peer(c);
				c->next_at = now + 100;
			}
			f[i].fd = c->fd;
			f[i].events = (short)(c->off < c->len ? POLLOUT
							       : POLLIN);
		}
		if (poll(f, (nfds_t)(n * each), 20) <= 0)
			continue;
		for (i = 0; i < n * each; i++) {
			peer_t *c = &p[i];
			ssize_t got;
			char what[32];

			if (f[i].fd == -1 || f[i].revents == 0)
				continue;
			if (c->off < c->len) {
				got = send(c->fd, c->out + c->off,
				    c->len - c->off, MSG_NOSIGNAL);
				if (got > 0) {
					c->connected = true;
					c->off += (size_t)got;
				} else if (got == -1 && errno != EAGAIN) {
					note(out, c, "refused-channel");
					close_peer(c);
					c->next_at = now_ms() + 300;
				}
				continue;
			}
			got = recv(c->fd, c->in + c->got,
			    sizeof(c->in) - 1 - c->got, 0);
			if (got > 0) {
				c->got += (size_t)got;
				continue;
			}
			if (got == -1 && errno == EAGAIN)
				continue;
			c->in[c->got] = '\0';
			if (c->got > 12)
				snprintf(what, sizeof(what), "status=%d",
				    atoi(c->in + 9));
			else
				snprintf(what, sizeof(what), "cut");
			note(out, c, what);
			close_peer(c);
			c->next_at = now_ms() + 300;
		}
	}
}

static void
ready(const char *file, int seconds, int n, char **addr)
{
	static char text[] = "GET /v1/ready HTTP/1.1\r\nHost: d\r\n\r\n";
	peer_t *p = calloc((size_t)n, sizeof(*p));
	FILE *out = fopen(file, "w");
	int64_t until = now_ms() + seconds * 1000;
	struct timespec second = { 1, 0 };
	int i;

	if (out == NULL)
		exit(2);
	for (i = 0; i < n; i++)
		parse_addr(&p[i], addr[i]);
	while (!stop && now_ms() < until) {
		for (i = 0; i < n; i++) {
			struct pollfd f;
			char what[32] = "none";
			ssize_t got;

			if (p[i].fd == -1)
				open_peer(&p[i], 0);
			f = (struct pollfd){ p[i].fd, POLLOUT, 0 };
			p[i].sent_at = now_ms();
			poll(&f, 1, 500);
			(void)!send(
			    p[i].fd, text, sizeof(text) - 1, MSG_NOSIGNAL);
			f.events = POLLIN;
			poll(&f, 1, 500);
			got = recv(p[i].fd, p[i].in, sizeof(p[i].in) - 1, 0);
			if (got > 12) {
				p[i].in[got] = '\0';
				snprintf(what, sizeof(what), "ready=%d",
				    atoi(p[i].in + 9));
			}
			note(out, &p[i], what);
			if (got <= 0)
				close_peer(&p[i]);
		}
		nanosleep(&second, NULL);
	}
}

int
main(int argc, char **argv)
{
	signal(SIGTERM, on_stop);
	signal(SIGINT, on_stop);
	signal(SIGPIPE, SIG_IGN);
	if (argc > 2 && strcmp(argv[1], "unread") == 0)
		unread(argc - 2, argv + 2);
	else if (argc > 3 && strcmp(argv[1], "bodies") == 0)
		bodies(atoi(argv[2]), argc - 3, argv + 3);
	else if (argc > 6 && strcmp(argv[1], "callers") == 0)
		callers(argv[2], argv[3], atoi(argv[4]), atoi(argv[5]),
		    argc - 6, argv + 6);
	else if (argc > 4 && strcmp(argv[1], "ready") == 0)
		ready(argv[2], atoi(argv[3]), argc - 4, argv + 4);
	else
		return 2;
	return 0;
}
