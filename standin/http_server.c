#include "standin/http_server.h"

#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>

static void
on_head(void *u, http_conn_t *k)
{
	server_conn_t *v = u;

	(void)k;
	v->body.off = v->body.len = 0;
	if (v->server->ops->head != NULL)
		v->server->ops->head(v);
}

static void
on_body(void *u, http_conn_t *k, const char *p, size_t n)
{
	server_conn_t *v = u;

	(void)k;
	buf_add(&v->body, p, n);
}

static void
on_done(void *u, http_conn_t *k)
{
	server_conn_t *v = u;

	(void)k;
	v->server->ops->done(v);
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
	server_conn_t *v = p;

	buf_free(&v->body);
	loop_free_later(v->server->loop, v);
}

void
server_conn_forget(server_conn_t *v)
{
	alarm_stop(v->server->loop, &v->alarm);
	if (v->server->ops->end != NULL)
		v->server->ops->end(v);
	g_ptr_array_remove(v->server->conns, v);
}

void
server_conn_close(server_conn_t *v)
{
	http_conn_close(v->link);
	server_conn_forget(v);
}

static void
on_connect(void *arg, uint32_t ev)
{
	http_server_t *b = arg;
	int fd;

	(void)ev;
	while ((fd = accept(b->listener.fd, NULL, NULL)) != -1) {
		server_conn_t *v = calloc(1, b->ops->size);

		if (v == NULL)
			abort();
		b->accepted++;
		v->server = b;
		v->link = http_conn_accept(b->loop, fd, &ops, v);
		g_ptr_array_add(b->conns, v);
	}
}

void
http_server_open(http_server_t *b, loop_t *l, const char *addr,
    const http_server_ops_t *o, void *owner)
{
	err_t e = { 0 };

	*b = (http_server_t){ .loop = l, .ops = o, .owner = owner };
	b->conns = g_ptr_array_new_with_free_func(free_conn);
	b->listener = (watch_t){ net_listen(addr, &e), 0, on_connect, b };
	if (b->listener.fd == -1)
		g_error("%s", e.text);
	watch_add(l, &b->listener, EPOLLIN);
}

void
http_server_close(http_server_t *b)
{
	guint i;

	watch_del(b->loop, &b->listener);
	for (i = 0; i < b->conns->len; i++) {
		server_conn_t *v = b->conns->pdata[i];

		alarm_stop(b->loop, &v->alarm);
		http_conn_close(v->link);
	}
	g_ptr_array_free(b->conns, TRUE);
}
