#define _GNU_SOURCE /* accept4() */
#include "standin/http_server.h"

#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>

static void
on_head(void *u, http_conn_t *k)
{
	server_conn_t *c = u;

	(void)k;
	c->body.off = c->body.len = 0;
	if (c->server->ops->head != NULL)
		c->server->ops->head(c);
}

static void
on_body(void *u, http_conn_t *k, const char *p, size_t n)
{
	server_conn_t *c = u;

	(void)k;
	buf_add(&c->body, p, n);
}

static void
on_done(void *u, http_conn_t *k)
{
	server_conn_t *c = u;

	(void)k;
	c->server->ops->done(c);
}

static void
on_bad(void *u, http_conn_t *k, int status)
{
	(void)k, (void)status;
	server_conn_close(u);
}

static void
on_end(void *u, http_conn_t *k, http_end_t why)
{
	(void)k, (void)why;
	server_conn_forget(u);
}

static const http_conn_ops_t ops = { .head = on_head,
	.body = on_body,
	.done = on_done,
	.bad = on_bad,
	.end = on_end };

static void
free_conn(gpointer p)
{
	server_conn_t *c = p;

	buf_free(&c->body);
	loop_free_later(c->server->loop, c);
}

void
server_conn_forget(server_conn_t *c)
{
	alarm_stop(c->server->loop, &c->alarm);
	if (c->server->ops->end != NULL)
		c->server->ops->end(c);
	g_ptr_array_remove(c->server->conns, c);
}

void
server_conn_close(server_conn_t *c)
{
	http_conn_close(c->http);
	server_conn_forget(c);
}

static void
on_connect(void *arg, uint32_t ev)
{
	http_server_t *s = arg;
	int fd;

	(void)ev;
	while ((fd = accept4(s->listener.fd, NULL, NULL,
		    SOCK_NONBLOCK | SOCK_CLOEXEC)) != -1) {
		server_conn_t *c = calloc(1, s->ops->size);

		if (c == NULL)
			abort();
		s->accepted++;
		c->server = s;
		c->http = http_conn_accept(s->loop, fd, &ops, c);
		g_ptr_array_add(s->conns, c);
	}
}

void
http_server_open(http_server_t *s, loop_t *l, const char *addr,
    const http_server_ops_t *o, void *owner)
{
	err_t e = { 0 };

	*s = (http_server_t){ .loop = l, .ops = o, .owner = owner };
	s->conns = g_ptr_array_new_with_free_func(free_conn);
	s->listener = (watch_t){ net_listen(addr, &e), 0, on_connect, s };
	if (s->listener.fd == -1)
		g_error("%s", e.text);
	watch_add(l, &s->listener, EPOLLIN);
}

void
http_server_close(http_server_t *s)
{
	guint i;

	watch_del(s->loop, &s->listener);
	for (i = 0; i < s->conns->len; i++) {
		server_conn_t *c = s->conns->pdata[i];

		alarm_stop(s->loop, &c->alarm);
		http_conn_close(c->http);
	}
	g_ptr_array_free(s->conns, TRUE);
}
