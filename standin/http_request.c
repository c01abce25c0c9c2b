#include "standin/http_request.h"

#include <glib.h>
#include <string.h>

static void
on_head(void *u, link_t *k)
{
	patron_t *p = u;
	GString *t = g_string_new(NULL);
	int i;

	p->status = (int)k->parser.status_code;
	for (i = 0; i < k->head.nfield; i++)
		g_string_append_printf(t, "%s: %s\n", head_name(&k->head, i),
		    head_value(&k->head, i));
	g_free(p->head);
	p->head = g_string_free(t, FALSE);
}

static void
on_body(void *u, link_t *k, const char *bytes, size_t n)
{
	patron_t *p = u;

	(void)k;
	if (p->first == 0)
		p->first = clock_now(&machine_clock);
	buf_add(&p->body, bytes, n);
}

static void
over(patron_t *p)
{
	if (p->over != 0)
		return;
	p->over = clock_now(&machine_clock);
	if (p->fn != NULL)
		p->fn(p->arg, p);
}

static void
on_done(void *u, link_t *k)
{
	patron_t *p = u;

	(void)k;
	p->done = true;
	over(p);
}

static void
on_end(void *u, link_t *k, link_end_t why)
{
	patron_t *p = u;

	(void)k, (void)why;
	p->ended = true;
	p->link = NULL;
	over(p);
}

static const link_ops_t ops = {
	.head = on_head, .body = on_body, .done = on_done, .end = on_end
};

patron_t *
patron_open(
    loop_t *l, const char *addr, const char *bytes, patron_fn *fn, void *arg)
{
	patron_t *p = g_new0(patron_t, 1);
	struct sockaddr_in sa;

	p->loop = l;
	p->fn = fn;
	p->arg = arg;
	p->began = clock_now(&machine_clock);
	if (net_addr(addr, &sa) == 0)
		p->link = link_connect(l, &sa, &ops, p);
	if (p->link == NULL) {
		g_free(p);
		return NULL;
	}
	buf_str(&p->link->out, bytes);
	return p;
}

void
patron_leave(patron_t *p)
{
	if (p->link != NULL)
		link_close(p->link);
	p->link = NULL;
}

void
patron_free(patron_t *p)
{
	patron_leave(p);
	buf_free(&p->body);
	g_free(p->head);
	loop_bury(p->loop, p);
}

char *
patron_text(const patron_t *p)
{
	return g_strndup(p->body.p != NULL ? p->body.p + p->body.off : "",
	    buf_len(&p->body));
}
