#include "standin/http_server.h"

#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>

static void
on_head(void *u, link_t *k)
{
	visit_t *v = u;

	(void)k;
	v->body.off = v->body.len = 0;
	if (v->booth->ops->head != NULL)
		v->booth->ops->head(v);
}

static void
on_body(void *u, link_t *k, const char *p, size_t n)
{
	visit_t *v = u;

	(void)k;
	buf_add(&v->body, p, n);
}

static void
on_done(void *u, link_t *k)
{
	visit_t *v = u;

	(void)k;
	v->booth->ops->done(v);
}

static void
on_bad(void *u, link_t *k, int status)
{
	(void)k, (void)status;
	booth_hang_up(u);
}

static void
on_end(void *u, link_t *k, link_end_t why)
{
	(void)k, (void)why;
	booth_drop(u);
}

static const link_ops_t ops = { .head = on_head,
	.body = on_body,
	.done = on_done,
	.bad = on_bad,
	.end = on_end };

static void
free_visit(gpointer p)
{
	visit_t *v = p;

	buf_free(&v->body);
	loop_bury(v->booth->loop, v);
}

void
booth_drop(visit_t *v)
{
	alarm_stop(v->booth->loop, &v->alarm);
	if (v->booth->ops->gone != NULL)
		v->booth->ops->gone(v);
	g_ptr_array_remove(v->booth->visit, v);
}

void
booth_hang_up(visit_t *v)
{
	link_close(v->link);
	booth_drop(v);
}

static void
knock(void *arg, uint32_t ev)
{
	booth_t *b = arg;
	int fd;

	(void)ev;
	while ((fd = accept(b->door.fd, NULL, NULL)) != -1) {
		visit_t *v = calloc(1, b->ops->size);

		if (v == NULL)
			abort();
		b->visits++;
		v->booth = b;
		v->link = link_accept(b->loop, fd, &ops, v);
		g_ptr_array_add(b->visit, v);
	}
}

void
booth_open(
    booth_t *b, loop_t *l, const char *addr, const booth_ops_t *o, void *owner)
{
	err_t e = { 0 };

	*b = (booth_t){ .loop = l, .ops = o, .owner = owner };
	b->visit = g_ptr_array_new_with_free_func(free_visit);
	b->door = (watch_t){ net_listen(addr, &e), 0, knock, b };
	if (b->door.fd == -1)
		g_error("%s", e.text);
	watch_add(l, &b->door, EPOLLIN);
}

void
booth_close(booth_t *b)
{
	guint i;

	watch_del(b->loop, &b->door);
	for (i = 0; i < b->visit->len; i++) {
		visit_t *v = b->visit->pdata[i];

		alarm_stop(b->loop, &v->alarm);
		link_close(v->link);
	}
	g_ptr_array_free(b->visit, TRUE);
}
